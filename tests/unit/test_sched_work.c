#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fakes/fake_time.h"
#include "zinniarack/sched.h"

/*
 * Counts the workers and jobs that the scheduler core examines. The work of one
 * decision must be bounded, and must not grow with the backlog or with the
 * number of workers.
 */

#define BACKLOG 100000
#define WORKERS_MANY 800
#define WORKERS_FEW 50
/*
 * Maximum work of one zr_sched_decide(): its own bound, and the attempt to
 * place a job that it begins just before it reaches the bound.
 */
#define WORK_MAX (8192 + 256)
/* Maximum memory of a waiting job. */
#define JOB_BYTES_MAX 512
/* Maximum growth of the work for a start, with 16 times as many workers. */
#define GROWTH_MAX 2

/* A scheduler core with its configuration, and what it has started. */
struct core {
	struct fake_time *time;
	struct zr_sched *sched;
	struct zr_config config;
	struct zr_config_team team;
	struct zr_config_queue queue;
	zr_handle *jobs;
	uint32_t starts;
	zr_handle last_job; /* started last */
	uint32_t last_attempt;
};

static void on_start(void *ctx, const struct zr_sched_task *task,
		     const struct zr_job_spec *spec, const char *reason)
{
	struct core *core = ctx;

	(void)spec;
	(void)reason;
	core->starts++;
	core->last_job = task->job;
	core->last_attempt = task->attempt;
}

static void on_stop(void *ctx, const struct zr_sched_task *task,
		    enum zr_sched_stop_reason stop_reason)
{
	(void)ctx;
	(void)task;
	(void)stop_reason;
}

static void on_job_changed(void *ctx, zr_handle job, const char *job_id,
			   enum zr_job_state state, const char *reason)
{
	(void)ctx;
	(void)job;
	(void)job_id;
	(void)state;
	(void)reason;
}

static void add_workers(struct core *core, uint32_t workers)
{
	struct zr_sched_worker worker = {.capacity = {8000, 32000, 0}};
	char name[32];
	char rack[32];
	zr_handle handle;
	uint32_t i;

	worker.name = name;
	worker.rack = rack;
	for (i = 0; i < workers; i++) {
		snprintf(name, sizeof(name), "w%u", i);
		snprintf(rack, sizeof(rack), "r%u", i / 8);
		ck_assert_int_eq(
			zr_sched_worker_add(&handle, core->sched, &worker), 0);
	}
}

static struct core *core_new(uint32_t workers)
{
	struct core *core = calloc(1, sizeof(*core));
	struct zr_sched_options options = ZR_SCHED_OPTIONS_INIT;
	const struct zr_sched_sink sink = {on_start, on_stop, on_job_changed,
					   core};

	ck_assert_ptr_nonnull(core);
	core->time = fake_time_new();
	options.clock = fake_time_clock(core->time);
	options.sink = sink;
	ck_assert_int_eq(zr_sched_new(&core->sched, &options), 0);
	core->team.name = "prints";
	core->team.share = 1;
	core->queue.name = "prints";
	core->queue.team = "prints";
	core->config.teams = &core->team;
	core->config.teams_count = 1;
	core->config.queues = &core->queue;
	core->config.queues_count = 1;
	zr_sched_configure(core->sched, &core->config);
	add_workers(core, workers);
	core->jobs = calloc(BACKLOG, sizeof(*core->jobs));
	ck_assert_ptr_nonnull(core->jobs);
	return core;
}

static void core_free(struct core *core)
{
	zr_sched_free(core->sched);
	fake_time_free(core->time);
	free(core->jobs);
	free(core);
}

/* Adds jobs of many sizes and priorities. */
static void add_jobs(struct core *core, uint32_t count)
{
	struct zr_job_spec spec = {.tasks = 1, .kind = ZR_JOB_BATCH};
	char id[ZR_JOB_ID_MAX];
	uint32_t i;

	snprintf(spec.team, sizeof(spec.team), "prints");
	snprintf(spec.queue, sizeof(spec.queue), "prints");
	for (i = 0; i < count; i++) {
		snprintf(id, sizeof(id), "sapporo-1-%u", i);
		snprintf(spec.name, sizeof(spec.name), "n%u", i % 50);
		spec.worth = i % 100;
		spec.size.millicpus = 200 + i % 17 * 100;
		spec.size.memory_mb = 100 + i % 23 * 200;
		ck_assert_int_eq(zr_sched_job_add(&core->jobs[i], core->sched,
						  id, &spec),
				 0);
	}
}

static uint64_t count_work(const struct core *core)
{
	struct zr_sched_stats stats;

	zr_sched_stats(&stats, core->sched);
	return stats.workers_examined + stats.jobs_examined;
}

/* Starts tasks until no more job fits. */
static void fill_workers(struct core *core)
{
	do {
		uint64_t before = count_work(core);

		zr_sched_decide(core->sched, UINT32_MAX);
		ck_assert_uint_le(count_work(core) - before, WORK_MAX);
	} while (zr_sched_has_more(core->sched));
}

START_TEST(test_work_of_a_decision_is_bounded)
{
	struct core *core = core_new(WORKERS_MANY);

	add_jobs(core, BACKLOG);
	fill_workers(core);
	ck_assert_uint_gt(core->starts, WORKERS_MANY);
	core_free(core);
}
END_TEST

START_TEST(test_unchanged_backlog_is_not_examined_again)
{
	struct core *core = core_new(WORKERS_MANY);
	uint64_t before;

	add_jobs(core, BACKLOG);
	fill_workers(core);
	before = count_work(core);
	zr_sched_decide(core->sched, UINT32_MAX);
	ck_assert_uint_eq(count_work(core), before);
	core_free(core);
}
END_TEST

START_TEST(test_cancelling_examines_no_job_or_worker)
{
	struct core *core = core_new(WORKERS_FEW);
	struct zr_sched_stats stats;
	uint64_t before;
	uint32_t i;

	add_jobs(core, BACKLOG);
	fill_workers(core);
	before = count_work(core);
	for (i = 0; i < BACKLOG; i++)
		zr_sched_job_cancel(core->sched, core->jobs[i]);
	ck_assert_uint_eq(count_work(core), before);
	zr_sched_stats(&stats, core->sched);
	ck_assert_uint_eq(stats.waiting, 0);
	core_free(core);
}
END_TEST

START_TEST(test_memory_of_a_waiting_job_is_bounded)
{
	struct core *core = core_new(0);
	struct zr_sched_stats stats;

	add_jobs(core, BACKLOG);
	zr_sched_stats(&stats, core->sched);
	ck_assert_uint_le(stats.job_bytes / BACKLOG, JOB_BYTES_MAX);
	core_free(core);
}
END_TEST

/* Work for each start when all workers are full and one task at a time ends. */
static double work_per_start(uint32_t workers)
{
	struct core *core = core_new(workers);
	uint64_t before;
	uint32_t starts;
	double work;
	uint32_t i;

	add_jobs(core, BACKLOG);
	fill_workers(core);
	before = count_work(core);
	starts = core->starts;
	for (i = 0; i < 1000; i++) {
		zr_sched_task_ended(core->sched, core->last_job, 0,
				    core->last_attempt, ZR_SCHED_SUCCEEDED);
		zr_sched_decide(core->sched, UINT32_MAX);
	}
	ck_assert_uint_gt(core->starts, starts);
	work = (double)(count_work(core) - before) / (core->starts - starts);
	core_free(core);
	return work;
}

START_TEST(test_work_per_start_does_not_grow_with_workers)
{
	double few = work_per_start(WORKERS_FEW);
	double many = work_per_start(WORKERS_MANY);

	ck_assert_msg(many <= few * GROWTH_MAX,
		      "%.1f at %d workers, %.1f at %d", few, WORKERS_FEW, many,
		      WORKERS_MANY);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("sched_work");
	TCase *tcase = tcase_create("sched_work");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_set_timeout(tcase, 60);
	tcase_add_test(tcase, test_work_of_a_decision_is_bounded);
	tcase_add_test(tcase, test_unchanged_backlog_is_not_examined_again);
	tcase_add_test(tcase, test_cancelling_examines_no_job_or_worker);
	tcase_add_test(tcase, test_memory_of_a_waiting_job_is_bounded);
	tcase_add_test(tcase, test_work_per_start_does_not_grow_with_workers);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed != 0;
}

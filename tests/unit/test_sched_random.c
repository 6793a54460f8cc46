#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fakes/fake_time.h"
#include "fakes/rng.h"
#include "fakes/sched_model.h"

/*
 * Sends random events to the scheduler core and checks the invariants of
 * fakes/sched_model.h after each. ZR_SEED=N adds a run with seed N, and
 * ZR_STEPS=N sets the number of events of each run.
 */

#define STEPS 6000
#define WORKERS 12
#define JOBS_MAX 4096
#define RUNNING_MAX 4096
#define TEAMS 4
#define TASKS_MAX 6
#define DRAIN_ROUNDS 3000
#define DRAIN_ROUND_MS 1000

/* A task that the core has started. */
struct run_task {
	zr_handle job;
	char id[ZR_JOB_ID_MAX];
	uint32_t index;
	uint32_t attempt;
	zr_handle worker;
	bool stopping;
};

struct run_job {
	char id[ZR_JOB_ID_MAX];
	zr_handle handle;
	bool held;
	bool service;
	bool final;
};

struct run_worker {
	zr_handle handle;
	bool fails;
};

/* The core, its model and the state of one run. */
struct run {
	struct rng rng;
	struct fake_time *fake;
	struct sched_model *model;
	struct zr_sched *sched;
	struct zr_config config;
	struct zr_config_team teams[TEAMS];
	struct zr_config_queue queues[TEAMS];
	struct run_worker workers[WORKERS];
	struct run_job jobs[JOBS_MAX];
	uint32_t jobs_count;
	struct run_task running[RUNNING_MAX];
	uint32_t running_count;
	struct run_task last_ended;
	uint32_t starts;
	bool members_fail_together;
};

static char *team_names[TEAMS] = {"photo", "claims", "cards", "lookup"};

/* Sink */

static void on_start(void *ctx, const struct zr_sched_task *decided,
		     const struct zr_job_spec *spec, const char *reason)
{
	struct run *run = ctx;
	struct run_task *task = &run->running[run->running_count++];
	size_t length;

	(void)spec;
	(void)reason;
	ck_assert_uint_lt(run->running_count, RUNNING_MAX);
	task->job = decided->job;
	task->index = decided->index;
	task->attempt = decided->attempt;
	task->worker = decided->worker;
	task->stopping = false;
	length = strnlen(decided->job_id, sizeof(task->id) - 1);
	memcpy(task->id, decided->job_id, length);
	task->id[length] = '\0';
	run->starts++;
}

static void on_stop(void *ctx, const struct zr_sched_task *decided,
		    enum zr_sched_stop_reason stop_reason)
{
	struct run *run = ctx;
	uint32_t i;

	for (i = 0; i < run->running_count; i++) {
		struct run_task *task = &run->running[i];

		if (task->job == decided->job &&
		    task->index == decided->index &&
		    stop_reason != ZR_SCHED_STOP_THROTTLE)
			task->stopping = true;
	}
}

static void on_job_changed(void *ctx, zr_handle handle, const char *id,
			   enum zr_job_state state, const char *reason)
{
	struct run *run = ctx;

	(void)handle;
	(void)reason;
	if (zr_job_state_is_final(state))
		run->jobs[strtoul(id + 1, NULL, 10)].final = true;
}

/* Events */

static void configure(struct run *run, bool unlimited)
{
	uint32_t i;

	for (i = 0; i < TEAMS; i++) {
		struct zr_config_team *team = &run->teams[i];

		team->name = team_names[i];
		team->share = 1 + rng_below(&run->rng, 4);
		team->limit = (struct zr_resources){0};
		if (!unlimited && rng_chance(&run->rng, 50))
			team->limit.millicpus =
				8000 + rng_below(&run->rng, 60000);
		run->queues[i].name = team_names[i];
		run->queues[i].open = true;
		run->queues[i].team = team_names[i];
		run->queues[i].worth = rng_below(&run->rng, 20);
	}
	run->config.version++;
	run->config.policy = rng_chance(&run->rng, 50) ? ZR_POLICY_WAITING_FIRST
						       : ZR_POLICY_SHARES_FIRST;
	sched_model_configure(run->model, &run->config);
	ck_assert_int_eq(zr_sched_configure(run->sched, &run->config), 0);
}

static void set_allotment(struct run *run, bool unlimited)
{
	const char *team = team_names[rng_below(&run->rng, TEAMS)];
	struct zr_resources allotment = {0};

	if (!unlimited)
		allotment.millicpus = 8000 + rng_below(&run->rng, 40000);
	sched_model_set_allotment(run->model, team, &allotment);
	ck_assert_int_eq(zr_sched_set_allotment(run->sched, team, &allotment),
			 0);
}

static void add_worker(struct run *run, uint32_t i)
{
	char name[ZR_NAME_MAX];
	char rack[ZR_NAME_MAX];
	struct zr_sched_worker info = {
		.name = name,
		.rack = rack,
		.capacity = {16000, 32768, i % 3 ? 0 : 2},
	};
	zr_handle handle;

	snprintf(name, sizeof(name), "w%u", i);
	snprintf(rack, sizeof(rack), "r%u", i / 4);
	ck_assert_int_eq(zr_sched_worker_add(&handle, run->sched, &info), 0);
	sched_model_worker_add(run->model, handle, &info);
	run->workers[i].handle = handle;
	run->workers[i].fails = rng_chance(&run->rng, 10);
}

static void set_worker(struct run *run, uint32_t i,
		       enum zr_sched_worker_state state)
{
	zr_handle handle = run->workers[i].handle;

	sched_model_worker_set_state(run->model, handle, state);
	zr_sched_worker_set_state(run->sched, handle, state);
}

static void remove_tasks(struct run *run, zr_handle worker)
{
	uint32_t i = 0;

	while (i < run->running_count) {
		if (run->running[i].worker == worker)
			run->running[i] = run->running[--run->running_count];
		else
			i++;
	}
}

static void remove_worker(struct run *run, uint32_t i)
{
	zr_handle handle = run->workers[i].handle;

	remove_tasks(run, handle);
	sched_model_worker_remove(run->model, handle);
	zr_sched_worker_remove(run->sched, handle);
	run->workers[i].handle = ZR_HANDLE_NONE;
}

static void change_random_worker(struct run *run)
{
	uint32_t i = rng_below(&run->rng, WORKERS);

	if (!run->workers[i].handle)
		add_worker(run, i);
	else if (rng_chance(&run->rng, 20))
		remove_worker(run, i);
	else
		set_worker(run, i,
			   rng_chance(&run->rng, 60) ? ZR_SCHED_WORKER_UP
			   : rng_chance(&run->rng, 50)
				   ? ZR_SCHED_WORKER_LEAVING
				   : ZR_SCHED_WORKER_UNRESPONSIVE);
}

static struct zr_job_spec random_spec(struct run *run)
{
	static const enum zr_job_kind kinds[] = {ZR_JOB_BATCH, ZR_JOB_BATCH,
						 ZR_JOB_SERVICE, ZR_JOB_GANG};
	const char *team = team_names[rng_below(&run->rng, TEAMS)];
	struct rng *rng = &run->rng;
	struct zr_job_spec spec = {.command = "true"};

	spec.kind = kinds[rng_below(rng, 4)];
	spec.tasks = 1 + rng_below(rng, TASKS_MAX);
	spec.size.millicpus = 100 + rng_below(rng, 4000);
	spec.size.memory_mb = 64 + rng_below(rng, 8000);
	spec.size.accelerators = rng_chance(rng, 5);
	spec.worth = rng_below(rng, ZR_WORTH_MAX);
	spec.urgent = rng_chance(rng, 10);
	if (rng_chance(rng, 50))
		spec.run_ms = 1000 + rng_below(rng, 60000);

	/* Larger than any worker. */
	if (rng_chance(rng, 3))
		spec.size.millicpus = 17000;
	if (spec.kind == ZR_JOB_BATCH)
		spec.at_most_once = rng_chance(rng, 30);
	if (rng_chance(rng, 20))
		spec.deadline_ms = FAKE_TIME_START_MS +
				   fake_time_now_ms(run->fake) +
				   rng_below(rng, 600000);
	snprintf(spec.name, sizeof(spec.name), "n%u", rng_below(rng, 10));
	snprintf(spec.team, sizeof(spec.team), "%s", team);
	snprintf(spec.queue, sizeof(spec.queue), "%s", team);
	return spec;
}

static void hold_job(struct run *run, struct run_job *job, bool held)
{
	job->held = held;
	sched_model_job_hold(run->model, job->id, held);
	zr_sched_job_hold(run->sched, job->handle, held);
}

/*
 * Recovers the tasks of a job, as after a takeover: the job is added first, and
 * then tasks that have ended or that run on a worker.
 */
static void recover_job(struct run *run, struct run_job *job, uint32_t tasks)
{
	zr_handle worker = run->workers[rng_below(&run->rng, WORKERS)].handle;
	struct zr_sched_task decided = {
		.job = job->handle, .job_id = job->id, .worker = worker};
	uint32_t i;

	hold_job(run, job, true);
	for (i = 0; i < tasks; i++) {
		if (rng_chance(&run->rng, 40)) {
			sched_model_task_replay(run->model, job->id, i, 1,
						ZR_SCHED_SUCCEEDED);
			zr_sched_task_replay(run->sched, job->handle, i, 1,
					     ZR_SCHED_SUCCEEDED);
		} else if (worker && rng_chance(&run->rng, 20)) {
			decided.index = i;
			decided.attempt = 2;
			sched_model_task_adopt(run->model, job->id, i, 2,
					       worker);
			ck_assert_int_eq(zr_sched_task_adopt(run->sched,
							     job->handle, i, 2,
							     worker),
					 0);
			on_start(run, &decided, NULL, NULL);
		}
	}
}

static void add_job(struct run *run)
{
	struct zr_job_spec spec = random_spec(run);
	struct run_job *job;

	if (run->jobs_count == JOBS_MAX)
		return;
	job = &run->jobs[run->jobs_count];
	snprintf(job->id, sizeof(job->id), "j%u", run->jobs_count++);
	job->service = spec.kind == ZR_JOB_SERVICE;
	sched_model_job_add(run->model, job->id, &spec);
	ck_assert_int_eq(
		zr_sched_job_add(&job->handle, run->sched, job->id, &spec), 0);
	if (spec.kind == ZR_JOB_BATCH && rng_chance(&run->rng, 5))
		recover_job(run, job, spec.tasks);
}

static struct run_job *random_job(struct run *run)
{
	if (!run->jobs_count)
		return NULL;
	return &run->jobs[rng_below(&run->rng, run->jobs_count)];
}

static void cancel_job(struct run *run, struct run_job *job)
{
	bool final;

	if (!job || !job->handle)
		return;
	final = job->final;
	sched_model_job_cancel(run->model, job->id);
	ck_assert_int_eq(zr_sched_job_cancel(run->sched, job->handle) < 0,
			 final);
}

static void cancel_many(struct run *run)
{
	uint32_t i;

	for (i = 0; i < run->jobs_count; i++) {
		if (rng_chance(&run->rng, 50) && !run->jobs[i].final)
			cancel_job(run, &run->jobs[i]);
	}
}

static void remove_job(struct run *run, struct run_job *job)
{
	if (!job || !job->handle || !job->final)
		return;
	sched_model_job_remove(run->model, job->id);
	zr_sched_job_remove(run->sched, job->handle);
	job->handle = ZR_HANDLE_NONE;
}

static void end_task(struct run *run, uint32_t i, enum zr_sched_outcome outcome)
{
	struct run_task task = run->running[i];

	run->running[i] = run->running[--run->running_count];
	run->last_ended = task;
	sched_model_task_ended(run->model, task.id, task.index, task.attempt,
			       outcome);
	zr_sched_task_ended(run->sched, task.job, task.index, task.attempt,
			    outcome);
}

static bool fails_on(const struct run *run, zr_handle worker)
{
	uint32_t i;

	for (i = 0; i < WORKERS; i++) {
		if (run->workers[i].handle == worker)
			return run->workers[i].fails;
	}
	return false;
}

/* Ends a task as failed, and with it the other running tasks of its job. */
static void fail_task(struct run *run, uint32_t i)
{
	struct run_task task = run->running[i];

	end_task(run, i, ZR_SCHED_FAILED);
	if (!run->members_fail_together)
		return;
	for (i = run->running_count; i > 0; i--) {
		if (run->running[i - 1].job == task.job)
			end_task(run, i - 1, ZR_SCHED_FAILED);
	}
}

static void end_random_task(struct run *run)
{
	uint32_t i = rng_below(&run->rng, run->running_count);
	const struct run_task *task = &run->running[i];

	if (!run->running_count)
		return;
	if (task->stopping && rng_chance(&run->rng, 80))
		end_task(run, i, ZR_SCHED_STOPPED);
	else if (fails_on(run, task->worker) || rng_chance(&run->rng, 10))
		fail_task(run, i);
	else if (rng_chance(&run->rng, 5))
		end_task(run, i, ZR_SCHED_NOT_STARTED);
	else
		end_task(run, i, ZR_SCHED_SUCCEEDED);
}

/* Reports an end a second time; a later attempt may be running by then. */
static void repeat_end(struct run *run)
{
	const struct run_task *task = &run->last_ended;

	if (!task->job)
		return;
	sched_model_task_ended(run->model, task->id, task->index, task->attempt,
			       ZR_SCHED_FAILED);
	zr_sched_task_ended(run->sched, task->job, task->index, task->attempt,
			    ZR_SCHED_FAILED);
}

/*
 * Reports usage that was measured up to ten seconds ago, so that the reports of
 * a task are out of order.
 */
static void report_usage(struct run *run)
{
	uint32_t i = rng_below(&run->rng, run->running_count);
	const struct run_task *task = &run->running[i];
	const struct zr_resources used = {50 + rng_below(&run->rng, 6000),
					  32 + rng_below(&run->rng, 12000), 0};
	struct timespec now = zr_clock_now(fake_time_clock(run->fake));
	struct timespec at =
		zr_time_add_ms(now, -(int64_t)rng_below(&run->rng, 10000));

	if (!run->running_count || rng_chance(&run->rng, 10))
		task = &run->last_ended;
	if (!task->job)
		return;
	sched_model_task_usage(run->model, task->id, task->index, task->attempt,
			       &used);
	zr_sched_task_report_usage(run->sched, task->job, task->index,
				   task->attempt, &used, at);
}

static void decide(struct run *run, unsigned int max_starts)
{
	unsigned int started = zr_sched_decide(run->sched, max_starts);

	/* The last gang may exceed the maximum, since it starts as a whole. */
	ck_assert_uint_lt(started, max_starts + TASKS_MAX);
	sched_model_check_decisions(run->model);
}

static void step(struct run *run)
{
	uint32_t pick = rng_below(&run->rng, 1000);
	struct run_job *job = random_job(run);

	if (pick < 180)
		add_job(run);
	else if (pick < 480)
		decide(run, 1 + rng_below(&run->rng, 20));
	else if (pick < 700)
		end_random_task(run);
	else if (pick < 720)
		repeat_end(run);
	else if (pick < 850)
		report_usage(run);
	else if (pick < 880)
		cancel_job(run, job);
	else if (pick < 882)
		cancel_many(run);
	else if (pick < 912)
		change_random_worker(run);
	else if (pick < 922)
		configure(run, false);
	else if (pick < 932)
		set_allotment(run, false);
	else if (pick < 962 && job && job->handle)
		hold_job(run, job, !job->held);
	else
		remove_job(run, job);
	fake_time_advance(run->fake, rng_below(&run->rng, 200));
}

/* Removes all limits and holds, and cancels services: all jobs can end then. */
static void prepare_drain(struct run *run)
{
	static const struct zr_resources none = {0};
	uint32_t i;

	configure(run, true);
	for (i = 0; i < TEAMS; i++) {
		sched_model_set_allotment(run->model, team_names[i], &none);
		zr_sched_set_allotment(run->sched, team_names[i], &none);
	}
	for (i = 0; i < WORKERS; i++) {
		if (!run->workers[i].handle)
			add_worker(run, i);
		set_worker(run, i, ZR_SCHED_WORKER_UP);
		run->workers[i].fails = false;
	}
	for (i = 0; i < run->jobs_count; i++) {
		if (!run->jobs[i].handle)
			continue;
		hold_job(run, &run->jobs[i], false);
		if (run->jobs[i].service && !run->jobs[i].final)
			cancel_job(run, &run->jobs[i]);
	}
}

/* Starts what can start, and lets all running tasks succeed. */
static void drain_round(struct run *run)
{
	uint32_t i;

	decide(run, 1000);
	for (i = run->running_count; i > 0; i--)
		end_task(run, i - 1,
			 run->running[i - 1].stopping ? ZR_SCHED_STOPPED
						      : ZR_SCHED_SUCCEEDED);
	fake_time_advance(run->fake, DRAIN_ROUND_MS);
}

static void check_no_violation(const struct run *run, uint64_t seed,
			       uint32_t step_number)
{
	ck_assert_msg(!sched_model_total_violations(run->model),
		      "seed %llu step %u: %s (%u violations)",
		      (unsigned long long)seed, step_number,
		      sched_model_first_violation(run->model),
		      sched_model_total_violations(run->model));
}

static struct run *run_new(uint64_t seed)
{
	struct run *run = calloc(1, sizeof(*run));
	struct zr_sched_sink sink = {on_start, on_stop, on_job_changed, NULL};
	struct zr_sched_options options = ZR_SCHED_OPTIONS_INIT;
	uint32_t i;

	ck_assert_ptr_nonnull(run);
	sink.ctx = run;
	run->rng.state = seed;
	run->fake = fake_time_new();
	run->model = sched_model_new(fake_time_clock(run->fake), &sink);
	options.clock = fake_time_clock(run->fake);
	options.sink = sched_model_sink(run->model);
	ck_assert_int_eq(zr_sched_new(&run->sched, &options), 0);
	run->config.teams = run->teams;
	run->config.teams_count = TEAMS;
	run->config.queues = run->queues;
	run->config.queues_count = TEAMS;
	configure(run, false);
	for (i = 0; i < WORKERS; i++)
		add_worker(run, i);
	return run;
}

static void run_free(struct run *run)
{
	zr_sched_free(run->sched);
	sched_model_free(run->model);
	fake_time_free(run->fake);
	free(run);
}

static void run_seed(uint64_t seed, bool members_fail_together)
{
	const char *steps_text = getenv("ZR_STEPS");
	uint32_t steps =
		steps_text ? (uint32_t)strtoul(steps_text, NULL, 10) : STEPS;
	struct run *run = run_new(seed);
	uint32_t i;

	run->members_fail_together = members_fail_together;
	for (i = 0; i < steps; i++) {
		step(run);
		check_no_violation(run, seed, i);
	}
	prepare_drain(run);
	for (i = 0; i < DRAIN_ROUNDS; i++)
		drain_round(run);
	sched_model_check_drained(run->model);
	check_no_violation(run, seed, steps + i);
	printf("seed %llu: %u steps, %u jobs, %u starts\n",
	       (unsigned long long)seed, steps, run->jobs_count, run->starts);
	run_free(run);
}

static const uint64_t seeds[] = {1, 2, 3, 20261203, 424242};

START_TEST(test_random_events_violate_no_rule)
{
	run_seed(seeds[_i], false);
}
END_TEST

/* LOST: a gang was given up after one run in which several members failed. */
START_TEST(test_members_that_fail_together)
{
	run_seed(seeds[_i], true);
}
END_TEST

START_TEST(test_seed_of_the_environment)
{
	const char *seed = getenv("ZR_SEED");

	ck_assert_ptr_nonnull(seed);
	run_seed(strtoull(seed, NULL, 10), false);
	run_seed(strtoull(seed, NULL, 10), true);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("sched_random");
	TCase *tcase = tcase_create("sched_random");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_set_timeout(tcase, 60);
	tcase_add_loop_test(tcase, test_random_events_violate_no_rule, 0,
			    sizeof(seeds) / sizeof(*seeds));
	tcase_add_loop_test(tcase, test_members_that_fail_together, 0,
			    sizeof(seeds) / sizeof(*seeds));
	if (getenv("ZR_SEED"))
		tcase_add_test(tcase, test_seed_of_the_environment);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed != 0;
}

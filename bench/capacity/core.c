#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>

#include "capacity/capacity.h"
#include "fakes/fake_time.h"
#include "zinniarack/sched.h"

/* Memory and processor time of the scheduler core. */

#define TEAMS 32
#define JOB_NAMES 640
#define MAX_STARTS_PER_DECIDE 256
#define TASKS_PER_WORKER 24
#define REPLACE_ROUNDS 40
#define USAGE_REPORTS 20000
/* Of a worker's 30000 millicpus, so that it holds only one such task. */
#define WHOLE_WORKER_MILLICPUS 29000

/* A task that the core has started. */
struct started_task {
	zr_handle job;
	uint32_t index;
	uint32_t attempt;
};

/* A scheduler core under a fake clock, and the tasks that it has started. */
struct core {
	struct fake_time *time;
	struct zr_sched *sched;
	struct zr_config config;
	struct zr_config_team teams[TEAMS];
	struct zr_config_queue queues[TEAMS];
	char team_names[TEAMS][ZR_NAME_MAX];
	struct started_task *started;
	uint32_t started_count;
	uint32_t started_alloc;
	uint32_t job_count;
};

static void on_start(void *ctx, const struct zr_sched_task *task,
		     const struct zr_job_spec *spec, const char *reason)
{
	struct core *core = ctx;

	(void)spec;
	(void)reason;
	if (core->started_count == core->started_alloc)
		abort();
	core->started[core->started_count].job = task->job;
	core->started[core->started_count].index = task->index;
	core->started[core->started_count++].attempt = task->attempt;
}

static void on_stop(void *ctx, const struct zr_sched_task *task,
		    enum zr_sched_stop_reason reason)
{
	(void)ctx;
	(void)task;
	(void)reason;
}

static void on_job_changed(void *ctx, zr_handle job, const char *id,
			   enum zr_job_state state, const char *reason)
{
	(void)ctx;
	(void)job;
	(void)id;
	(void)state;
	(void)reason;
}

static void configure(struct core *core)
{
	int i;

	for (i = 0; i < TEAMS; i++) {
		snprintf(core->team_names[i], ZR_NAME_MAX, "team%d", i);
		core->teams[i].name = core->team_names[i];
		core->teams[i].share = 1;
		core->queues[i].name = core->team_names[i];
		core->queues[i].team = core->team_names[i];
		core->queues[i].open = true;
	}
	core->config.version = 1;
	core->config.teams = core->teams;
	core->config.teams_count = TEAMS;
	core->config.queues = core->queues;
	core->config.queues_count = TEAMS;
	if (zr_sched_configure(core->sched, &core->config) < 0)
		abort();
}

static struct core *core_new(uint32_t max_starts)
{
	struct zr_sched_options options = ZR_SCHED_OPTIONS_INIT;
	struct core *core = calloc(1, sizeof(*core));

	if (!core)
		abort();
	core->started_alloc = max_starts;
	core->started = calloc(max_starts + 1, sizeof(*core->started));
	if (!core->started)
		abort();
	core->time = fake_time_new();
	options.clock = fake_time_clock(core->time);
	options.sink.start = on_start;
	options.sink.stop = on_stop;
	options.sink.job_changed = on_job_changed;
	options.sink.ctx = core;
	if (zr_sched_new(&core->sched, &options) < 0)
		abort();
	configure(core);
	return core;
}

static void core_free(struct core *core)
{
	zr_sched_free(core->sched);
	fake_time_free(core->time);
	free(core->started);
	free(core);
}

static void add_workers(struct core *core, uint32_t count)
{
	char name[ZR_NAME_MAX];
	char rack[ZR_NAME_MAX];
	const struct zr_sched_worker info = {name, rack, {30000, 133120, 1}};
	zr_handle handle;
	uint32_t i;

	for (i = 0; i < count; i++) {
		snprintf(name, sizeof(name), "worker-%u", i);
		snprintf(rack, sizeof(rack), "rack-%u", i / 8);
		if (zr_sched_worker_add(&handle, core->sched, &info) < 0)
			abort();
	}
}

static void add_jobs(struct core *core, uint32_t count, uint32_t millicpus)
{
	struct zr_job_spec spec = {
		.kind = ZR_JOB_BATCH,
		.tasks = 1,
		.size = {millicpus, 2000, 0},
		.run_ms = 60000,
		.command = "print",
	};
	char id[ZR_JOB_ID_MAX];
	zr_handle handle;
	uint32_t i;

	for (i = 0; i < count; i++) {
		uint32_t number = core->job_count++;

		snprintf(id, sizeof(id), "sapporo-12-%u", number);
		snprintf(spec.name, ZR_NAME_MAX, "name%u", number % JOB_NAMES);
		snprintf(spec.team, ZR_NAME_MAX, "team%u", number % TEAMS);
		snprintf(spec.queue, ZR_NAME_MAX, "team%u", number % TEAMS);
		if (zr_sched_job_add(&handle, core->sched, id, &spec) < 0)
			abort();
	}
}

static void decide_all(struct core *core)
{
	while (zr_sched_decide(core->sched, MAX_STARTS_PER_DECIDE) ||
	       zr_sched_has_more(core->sched))
		;
}

static double heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return (double)info.uordblks + (double)info.hblkhd;
}

static void measure_workers(struct line *line)
{
	static const uint32_t sizes[] = {100, 200, 400, 800};
	size_t i;

	line->name = "core memory by workers, bytes";
	for (i = 0; i < 4; i++) {
		struct core *core = core_new(0);
		double before = heap_bytes();

		add_workers(core, sizes[i]);
		line_add(line, sizes[i], heap_bytes() - before);
		core_free(core);
	}
	line_fit(line);
}

static void measure_waiting(struct line *line)
{
	static const uint32_t sizes[] = {12500, 25000, 50000, 100000};
	size_t i;

	line->name = "core memory by waiting jobs, bytes";
	for (i = 0; i < 4; i++) {
		struct core *core = core_new(8);
		double before;

		add_workers(core, 1);
		/* The first job fills the only worker. */
		add_jobs(core, 1, WHOLE_WORKER_MILLICPUS);
		decide_all(core);
		before = heap_bytes();
		add_jobs(core, sizes[i], WHOLE_WORKER_MILLICPUS);
		decide_all(core);
		line_add(line, sizes[i], heap_bytes() - before);
		core_free(core);
	}
	line_fit(line);
}

static void measure_running(struct line *line)
{
	static const uint32_t sizes[] = {2375, 4750, 9500, 19000};
	size_t i;

	line->name = "core memory by running tasks of one-task jobs, bytes";
	for (i = 0; i < 4; i++) {
		struct core *core = core_new(sizes[i]);
		double before;

		add_workers(core, 800);
		before = heap_bytes();
		add_jobs(core, sizes[i], 1000);
		decide_all(core);
		if (core->started_count != sizes[i])
			abort();
		line_add(line, sizes[i], heap_bytes() - before);
		core_free(core);
	}
	line_fit(line);
}

/*
 * Ends @count tasks, beginning with the task started as number @first, and adds
 * as many jobs to the backlog; tasks from the backlog take the freed resources.
 */
static void replace_tasks(struct core *core, uint32_t count, uint32_t first)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		struct started_task *task = &core->started[first + i];

		zr_sched_task_ended(core->sched, task->job, task->index,
				    task->attempt, ZR_SCHED_SUCCEEDED);
		zr_sched_job_remove(core->sched, task->job);
	}
	add_jobs(core, count, 1200);
	decide_all(core);
	fake_time_advance(core->time, 50);
}

static void measure_job_cpu(struct line *line)
{
	static const uint32_t sizes[] = {50, 100, 200, 400, 800};
	size_t i;

	line->name = "processor time of a job in a full core (add, start, "
		     "end) by workers, us";
	for (i = 0; i < 5; i++) {
		uint32_t count = sizes[i] / 2;
		struct core *core = core_new(sizes[i] * (TASKS_PER_WORKER + 2) +
					     count * (REPLACE_ROUNDS + 2));
		double before;
		uint32_t started_before;
		uint32_t round;

		add_workers(core, sizes[i]);
		add_jobs(core, sizes[i] * TASKS_PER_WORKER, 1200);
		decide_all(core);
		add_jobs(core, sizes[i] * TASKS_PER_WORKER / 4, 1200);
		started_before = core->started_count;
		before = capacity_cpu_us();
		for (round = 0; round < REPLACE_ROUNDS; round++)
			replace_tasks(core, count, round * count);
		line_add(line, sizes[i],
			 (capacity_cpu_us() - before) /
				 (core->started_count - started_before));
		core_free(core);
	}
	line_fit(line);
}

static void measure_usage_report(struct line *line)
{
	static const uint32_t sizes[] = {2375, 4750, 9500, 19000};
	static const struct zr_resources used = {900, 1800, 0};
	size_t i;

	line->name = "processor time of a usage report by running tasks, us";
	for (i = 0; i < 4; i++) {
		struct core *core = core_new(sizes[i] * 2);
		struct timespec now;
		double before;
		uint32_t j;

		add_workers(core, 800);
		add_jobs(core, sizes[i], 1000);
		decide_all(core);
		now = zr_clock_now(fake_time_clock(core->time));
		before = capacity_cpu_us();
		for (j = 0; j < USAGE_REPORTS; j++) {
			struct started_task *task =
				&core->started[j % sizes[i]];

			zr_sched_task_report_usage(core->sched, task->job,
						   task->index, task->attempt,
						   &used, now);
		}
		line_add(line, sizes[i],
			 (capacity_cpu_us() - before) / USAGE_REPORTS);
		core_free(core);
	}
	line_fit(line);
}

void capacity_core(struct capacity *out)
{
	measure_workers(&out->worker_bytes);
	measure_waiting(&out->waiting_bytes);
	measure_running(&out->running_bytes);
	measure_job_cpu(&out->job_cpu_us);
	measure_usage_report(&out->usage_report_us);
}

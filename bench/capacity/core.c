#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>

#include "capacity/capacity.h"
#include "fakes/fake_time.h"
#include "zinniarack/sched.h"

/* Memory and processor time of the scheduler core. */

#define TEAMS 32
#define NAMES 640
#define DECIDE_STARTS 256
#define TASKS_PER_WORKER 24
#define CHURN_ROUNDS 40
#define REPORTS 20000
#define NOWHERE_MILLICPUS 29000

struct started {
	zr_handle job;
	uint32_t index;
	uint32_t attempt;
};

struct cell {
	struct fake_time *time;
	struct zr_sched *sched;
	struct zr_config config;
	struct zr_config_team teams[TEAMS];
	struct zr_config_queue queues[TEAMS];
	char names[TEAMS][ZR_NAME_MAX];
	struct started *started;
	uint32_t started_count;
	uint32_t started_room;
	uint32_t jobs;
};

static void on_start(void *ctx, const struct zr_sched_task *task,
		     const struct zr_job_spec *spec, const char *reason)
{
	struct cell *cell = ctx;

	(void)spec;
	(void)reason;
	if (cell->started_count == cell->started_room)
		abort();
	cell->started[cell->started_count].job = task->job;
	cell->started[cell->started_count].index = task->index;
	cell->started[cell->started_count++].attempt = task->attempt;
}

static void on_stop(void *ctx, const struct zr_sched_task *task,
		    enum zr_sched_stop_reason why)
{
	(void)ctx;
	(void)task;
	(void)why;
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

static void configure(struct cell *cell)
{
	int i;

	for (i = 0; i < TEAMS; i++) {
		snprintf(cell->names[i], ZR_NAME_MAX, "team%d", i);
		cell->teams[i].name = cell->names[i];
		cell->teams[i].share = 1;
		cell->queues[i].name = cell->names[i];
		cell->queues[i].team = cell->names[i];
		cell->queues[i].open = true;
	}
	cell->config.version = 1;
	cell->config.teams = cell->teams;
	cell->config.teams_count = TEAMS;
	cell->config.queues = cell->queues;
	cell->config.queues_count = TEAMS;
	if (zr_sched_configure(cell->sched, &cell->config) < 0)
		abort();
}

static struct cell *cell_new(uint32_t most_started)
{
	struct zr_sched_options options = ZR_SCHED_OPTIONS_INIT;
	struct cell *cell = calloc(1, sizeof(*cell));

	if (!cell)
		abort();
	cell->started_room = most_started;
	cell->started = calloc(most_started + 1, sizeof(*cell->started));
	if (!cell->started)
		abort();
	cell->time = fake_time_new();
	options.clock = fake_time_clock(cell->time);
	options.sink.start = on_start;
	options.sink.stop = on_stop;
	options.sink.job_changed = on_job_changed;
	options.sink.ctx = cell;
	if (zr_sched_new(&cell->sched, &options) < 0)
		abort();
	configure(cell);
	return cell;
}

static void cell_free(struct cell *cell)
{
	zr_sched_free(cell->sched);
	fake_time_free(cell->time);
	free(cell->started);
	free(cell);
}

static void add_workers(struct cell *cell, uint32_t count)
{
	char name[ZR_NAME_MAX];
	char rack[ZR_NAME_MAX];
	const struct zr_sched_worker info = {name, rack, {30000, 133120, 1}};
	zr_handle handle;
	uint32_t i;

	for (i = 0; i < count; i++) {
		snprintf(name, sizeof(name), "worker-%u", i);
		snprintf(rack, sizeof(rack), "rack-%u", i / 8);
		if (zr_sched_worker_add(&handle, cell->sched, &info) < 0)
			abort();
	}
}

static void add_jobs(struct cell *cell, uint32_t count, uint32_t millicpus)
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
		uint32_t number = cell->jobs++;

		snprintf(id, sizeof(id), "sapporo-12-%u", number);
		snprintf(spec.name, ZR_NAME_MAX, "name%u", number % NAMES);
		snprintf(spec.team, ZR_NAME_MAX, "team%u", number % TEAMS);
		snprintf(spec.queue, ZR_NAME_MAX, "team%u", number % TEAMS);
		if (zr_sched_job_add(&handle, cell->sched, id, &spec) < 0)
			abort();
	}
}

static void decide_all(struct cell *cell)
{
	while (zr_sched_decide(cell->sched, DECIDE_STARTS) ||
	       zr_sched_has_more(cell->sched))
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
		struct cell *cell = cell_new(0);
		double before = heap_bytes();

		add_workers(cell, sizes[i]);
		line_add(line, sizes[i], heap_bytes() - before);
		cell_free(cell);
	}
	line_fit(line);
}

static void measure_waiting(struct line *line)
{
	static const uint32_t sizes[] = {12500, 25000, 50000, 100000};
	size_t i;

	line->name = "core memory by waiting jobs, bytes";
	for (i = 0; i < 4; i++) {
		struct cell *cell = cell_new(8);
		double before;

		add_workers(cell, 1);
		/* The first job fills the only worker. */
		add_jobs(cell, 1, NOWHERE_MILLICPUS);
		decide_all(cell);
		before = heap_bytes();
		add_jobs(cell, sizes[i], NOWHERE_MILLICPUS);
		decide_all(cell);
		line_add(line, sizes[i], heap_bytes() - before);
		cell_free(cell);
	}
	line_fit(line);
}

static void measure_running(struct line *line)
{
	static const uint32_t sizes[] = {2375, 4750, 9500, 19000};
	size_t i;

	line->name = "core memory by running tasks of one-task jobs, bytes";
	for (i = 0; i < 4; i++) {
		struct cell *cell = cell_new(sizes[i]);
		double before;

		add_workers(cell, 800);
		before = heap_bytes();
		add_jobs(cell, sizes[i], 1000);
		decide_all(cell);
		if (cell->started_count != sizes[i])
			abort();
		line_add(line, sizes[i], heap_bytes() - before);
		cell_free(cell);
	}
	line_fit(line);
}

/* Ends a slice of the running tasks and starts as many of the backlog. */
static void churn(struct cell *cell, uint32_t slice, uint32_t from)
{
	uint32_t i;

	for (i = 0; i < slice; i++) {
		struct started *task = &cell->started[from + i];

		zr_sched_task_ended(cell->sched, task->job, task->index,
				    task->attempt, ZR_SCHED_SUCCEEDED);
		zr_sched_job_remove(cell->sched, task->job);
	}
	add_jobs(cell, slice, 1200);
	decide_all(cell);
	fake_time_advance(cell->time, 50);
}

static void measure_start(struct line *line)
{
	static const uint32_t sizes[] = {50, 100, 200, 400, 800};
	size_t i;

	line->name = "processor time of a job's way through the full core "
		     "(add, start, end) by workers, us";
	for (i = 0; i < 5; i++) {
		uint32_t slice = sizes[i] / 2;
		struct cell *cell = cell_new(sizes[i] * (TASKS_PER_WORKER + 2) +
					     slice * (CHURN_ROUNDS + 2));
		double before;
		uint32_t from;
		uint32_t round;

		add_workers(cell, sizes[i]);
		add_jobs(cell, sizes[i] * TASKS_PER_WORKER, 1200);
		decide_all(cell);
		add_jobs(cell, sizes[i] * TASKS_PER_WORKER / 4, 1200);
		from = cell->started_count;
		before = capacity_cpu_us();
		for (round = 0; round < CHURN_ROUNDS; round++)
			churn(cell, slice, round * slice);
		line_add(line, sizes[i],
			 (capacity_cpu_us() - before) /
				 (cell->started_count - from));
		cell_free(cell);
	}
	line_fit(line);
}

static void measure_report(struct line *line)
{
	static const uint32_t sizes[] = {2375, 4750, 9500, 19000};
	static const struct zr_resources used = {900, 1800, 0};
	size_t i;

	line->name = "processor time of a usage report by running tasks, us";
	for (i = 0; i < 4; i++) {
		struct cell *cell = cell_new(sizes[i] * 2);
		struct timespec now;
		double before;
		uint32_t j;

		add_workers(cell, 800);
		add_jobs(cell, sizes[i], 1000);
		decide_all(cell);
		now = zr_clock_now(fake_time_clock(cell->time));
		before = capacity_cpu_us();
		for (j = 0; j < REPORTS; j++) {
			struct started *task = &cell->started[j % sizes[i]];

			zr_sched_task_report_usage(cell->sched, task->job,
						   task->index, task->attempt,
						   &used, now);
		}
		line_add(line, sizes[i],
			 (capacity_cpu_us() - before) / REPORTS);
		cell_free(cell);
	}
	line_fit(line);
}

void capacity_core(struct capacity *out)
{
	measure_workers(&out->worker_bytes);
	measure_waiting(&out->waiting_bytes);
	measure_running(&out->running_bytes);
	measure_start(&out->start_us);
	measure_report(&out->report_us);
}

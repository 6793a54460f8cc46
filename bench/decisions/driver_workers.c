#include <stdio.h>
#include <stdlib.h>

#include "decisions/driver_private.h"

/* How workers answer the engine's decisions. */

/* A worker that fails everything does so after this time. */
#define FAIL_MS 1000
#define STOP_MS 200
#define CHECKPOINT_MS 800
/* Tasks of a hundred that do not end at a checkpoint until they are killed. */
#define STUBBORN_PERCENT 3
#define REPORT_FIRST_MS 2000
#define REPORT_EACH_MS 10000
#define REPORT_LAG_MS 3000
#define ENGINE_SPENT(driver, before) \
	((driver)->out->engine_ns += driver_wall_ns() - (before))

static int64_t now_ms(const struct driver *driver)
{
	return fake_time_now_ms(driver->time);
}

/* Events are kept from index 1 in a pool; 0 ends a list. */
static void grow_events(struct driver *driver)
{
	uint32_t room = driver->events_room ? driver->events_room * 2 : 4096;
	uint32_t i;

	driver->events =
		realloc(driver->events, room * sizeof(*driver->events));
	if (!driver->events)
		abort();
	for (i = driver->events_room ? driver->events_room : 1; i < room; i++) {
		driver->events[i].next = driver->events_free;
		driver->events_free = i;
	}
	driver->events_room = room;
}

static void schedule(struct driver *driver, int64_t after_ms,
		     struct event event)
{
	int64_t tick = (now_ms(driver) + after_ms) / TICK_MS + 1;
	uint32_t number;

	if (tick >= driver->buckets_count)
		return;
	if (!driver->events_free)
		grow_events(driver);
	number = driver->events_free;
	driver->events_free = driver->events[number].next;
	event.next = driver->buckets[tick];
	driver->events[number] = event;
	driver->buckets[tick] = number;
}

static struct bench_job *job_of(const struct driver *driver, const char *id,
				uint32_t *number)
{
	*number = (uint32_t)strtoul(id + 1, NULL, 10);
	return &driver->jobs[*number];
}

static void note_start(struct driver *driver, struct bench_job *job)
{
	const struct arrival *arrival = job->arrival;

	driver->out->starts++;
	job->starts++;
	if (job->started)
		return;
	job->started = true;
	driver->unstarted--;
	if (arrival->fault == ARRIVAL_SOUND)
		samples_add(&driver->out->wait_ms[arrival->kind],
			    (uint32_t)(now_ms(driver) - arrival->at_ms));
}

static void on_start(void *ctx, const struct zr_sched_task *named,
		     const struct zr_job_spec *spec, const char *reason)
{
	struct driver *driver = ctx;
	struct bench_worker *worker = driver_worker(driver, named->worker);
	struct event event = {0};
	struct bench_job *job = job_of(driver, named->job_id, &event.job);
	struct bench_task *task = &job->tasks[named->index];
	const struct arrival *arrival = job->arrival;

	(void)spec;
	(void)reason;
	note_start(driver, job);
	if (!task->left_ms)
		task->left_ms = arrival->run_ms;
	task->attempt = named->attempt;
	task->worker = named->worker;
	task->started_ms = now_ms(driver);
	task->stopping = false;
	zr_resources_add(&worker->used, &arrival->used);
	driver->out->bad_starts += worker->fails;
	event.index = named->index;
	event.attempt = named->attempt;
	event.type = EVENT_END;
	if (worker->fails || arrival->fault == ARRIVAL_FAILS)
		schedule(driver, FAIL_MS, event);
	else if (arrival->kind != ARRIVAL_SERVICE)
		schedule(driver, task->left_ms, event);
	event.type = EVENT_REPORT;
	schedule(driver, REPORT_FIRST_MS, event);
}

static void on_stop(void *ctx, const struct zr_sched_task *named,
		    enum zr_sched_stop_reason why)
{
	struct driver *driver = ctx;
	struct event event = {0};
	struct bench_job *job = job_of(driver, named->job_id, &event.job);
	struct bench_task *task = &job->tasks[named->index];
	int64_t ran = now_ms(driver) - task->started_ms;

	driver->out->preemptions += why == ZR_SCHED_STOP_PREEMPTED;
	driver->out->reliefs += why == ZR_SCHED_STOP_OVERCOMMIT ||
				why == ZR_SCHED_STOP_THROTTLE;
	if (why == ZR_SCHED_STOP_THROTTLE)
		return;
	event.index = named->index;
	event.attempt = named->attempt;
	event.type = EVENT_STOPPED;
	if (why == ZR_SCHED_STOP_CANCELLED || why == ZR_SCHED_STOP_OVERDUE) {
		schedule(driver, STOP_MS, event);
		return;
	}
	if (rng_chance(&driver->rng, STUBBORN_PERCENT))
		return;
	/* The checkpoint keeps what has run until now. */
	if (!task->stopping && task->left_ms > ran)
		task->left_ms -= ran;
	task->stopping = true;
	schedule(driver, CHECKPOINT_MS, event);
}

static void on_job_changed(void *ctx, zr_handle handle, const char *id,
			   enum zr_job_state state, const char *reason)
{
	struct driver *driver = ctx;
	uint32_t number;
	struct bench_job *job = job_of(driver, id, &number);

	(void)handle;
	(void)reason;
	job->parked = state == ZR_JOB_PARKED;
	if (!zr_job_state_is_final(state))
		return;
	job->final = true;
	job->done = state == ZR_JOB_SUCCEEDED;
	job->done_ms = now_ms(driver);
	if (!job->started && job->arrival->fault != ARRIVAL_TOO_LARGE)
		driver->unstarted--;
}

struct zr_sched_sink driver_sink(struct driver *driver)
{
	const struct zr_sched_sink sink = {
		.start = on_start,
		.stop = on_stop,
		.job_changed = on_job_changed,
		.ctx = driver,
	};

	return sink;
}

static void count_work(struct driver *driver, const struct bench_job *job,
		       const struct bench_task *task,
		       enum zr_sched_outcome outcome)
{
	double ran = (double)(now_ms(driver) - task->started_ms) *
		     job->arrival->used.millicpus;

	driver->spent += ran;
	if (outcome == ZR_SCHED_SUCCEEDED)
		return;
	if (task->stopping)
		ran = (double)CHECKPOINT_MS * job->arrival->used.millicpus;
	if (!job->arrival->cancel && job->arrival->fault == ARRIVAL_SOUND)
		driver->thrown += ran;
}

static void end_task(struct driver *driver, const struct event *event,
		     enum zr_sched_outcome outcome)
{
	struct bench_job *job = &driver->jobs[event->job];
	struct bench_task *task = &job->tasks[event->index];
	char id[ZR_JOB_ID_MAX];
	uint64_t before;

	count_work(driver, job, task, outcome);
	zr_resources_sub(&driver_worker(driver, task->worker)->used,
			 &job->arrival->used);
	task->worker = ZR_HANDLE_NONE;
	snprintf(id, sizeof(id), "j%u", event->job);
	if (driver->model)
		sched_model_task_ended(driver->model, id, event->index,
				       event->attempt, outcome);
	before = driver_wall_ns();
	driver->engine->task_ended(driver->state, job->handle, event->index,
				   event->attempt, outcome);
	ENGINE_SPENT(driver, before);
}

static enum zr_sched_outcome outcome_of(const struct driver *driver,
					const struct bench_job *job,
					const struct bench_task *task)
{
	if (job->arrival->fault == ARRIVAL_FAILS ||
	    driver_worker(driver, task->worker)->fails)
		return ZR_SCHED_FAILED;
	return ZR_SCHED_SUCCEEDED;
}

static void report(struct driver *driver, const struct event *event)
{
	struct bench_job *job = &driver->jobs[event->job];
	const struct zr_resources *used = &job->arrival->used;
	struct timespec now = zr_clock_now(fake_time_clock(driver->time));
	uint64_t before;
	char id[ZR_JOB_ID_MAX];

	snprintf(id, sizeof(id), "j%u", event->job);
	if (driver->model)
		sched_model_task_usage(driver->model, id, event->index,
				       event->attempt, used);
	before = driver_wall_ns();
	driver->engine->task_usage(
		driver->state, job->handle, event->index, event->attempt, used,
		zr_time_add_ms(
			now, -(int64_t)rng_below(&driver->rng, REPORT_LAG_MS)));
	ENGINE_SPENT(driver, before);
	schedule(driver, REPORT_EACH_MS, *event);
}

static void run_event(struct driver *driver, const struct event *event)
{
	struct bench_job *job = &driver->jobs[event->job];
	struct bench_task *task = &job->tasks[event->index];

	if (!task->worker || task->attempt != event->attempt)
		return;
	if (event->type == EVENT_REPORT)
		report(driver, event);
	else if (event->type == EVENT_STOPPED)
		end_task(driver, event, ZR_SCHED_STOPPED);
	else if (!task->stopping)
		end_task(driver, event, outcome_of(driver, job, task));
}

void driver_events_run(struct driver *driver, uint32_t bucket)
{
	uint32_t number = driver->buckets[bucket];

	while (number) {
		struct event event = driver->events[number];

		driver->events[number].next = driver->events_free;
		driver->events_free = number;
		run_event(driver, &event);
		number = event.next;
	}
}

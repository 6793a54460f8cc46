#include <stdio.h>
#include <stdlib.h>

#include "decisions/driver_private.h"

/* Behaviour of the workers: starts, stops, ends and usage reports of tasks. */

/* Time after which a task fails, on a failing worker or of a failing job. */
#define FAIL_AFTER_MS 1000
/* Time that a task takes to stop without a checkpoint. */
#define STOP_AFTER_MS 200
/* Time that a task takes to write a checkpoint and stop. */
#define CHECKPOINT_AFTER_MS 800
/*
 * Percentage of stop orders that a task ignores: it runs on until it ends or is
 * stopped without a checkpoint.
 */
#define CHECKPOINT_IGNORED_PERCENT 3
#define FIRST_USAGE_AFTER_MS 2000
#define USAGE_INTERVAL_MS 10000
/* Age that a usage report may have when it arrives. */
#define USAGE_DELAY_MAX_MS 3000
#define ADD_ENGINE_TIME(driver, started_ns) \
	((driver)->out->engine_ns += driver_wall_ns() - (started_ns))

static int64_t now_ms(const struct driver *driver)
{
	return fake_time_now_ms(driver->time);
}

/* Index 0 of the pool is not used: it ends a list. */
static void grow_events(struct driver *driver)
{
	uint32_t alloc = driver->events_alloc ? driver->events_alloc * 2 : 4096;
	uint32_t i;

	driver->events =
		realloc(driver->events, alloc * sizeof(*driver->events));
	if (!driver->events)
		abort();
	for (i = driver->events_alloc ? driver->events_alloc : 1; i < alloc;
	     i++) {
		driver->events[i].next = driver->free_event;
		driver->free_event = i;
	}
	driver->events_alloc = alloc;
}

static void schedule_event(struct driver *driver, int64_t after_ms,
			   struct event event)
{
	int64_t tick = (now_ms(driver) + after_ms) / TICK_MS + 1;
	uint32_t number;

	if (tick >= driver->tick_count)
		return;
	if (!driver->free_event)
		grow_events(driver);
	number = driver->free_event;
	driver->free_event = driver->events[number].next;
	event.next = driver->tick_events[tick];
	driver->events[number] = event;
	driver->tick_events[tick] = number;
}

/* Finds the job that add_job() named "j" and its number. */
static struct bench_job *find_job(const struct driver *driver, const char *id,
				  uint32_t *number)
{
	*number = (uint32_t)strtoul(id + 1, NULL, 10);
	return &driver->jobs[*number];
}

static void count_start(struct driver *driver, struct bench_job *job)
{
	const struct arrival *arrival = job->arrival;

	driver->out->starts++;
	job->starts++;
	if (job->started)
		return;
	job->started = true;
	driver->unstarted--;
	if (arrival->fault == ARRIVAL_NO_FAULT)
		samples_add(&driver->out->wait_ms[arrival->kind],
			    (uint32_t)(now_ms(driver) - arrival->arrives_at));
}

static void on_start(void *ctx, const struct zr_sched_task *info,
		     const struct zr_job_spec *spec, const char *reason)
{
	struct driver *driver = ctx;
	struct bench_worker *worker = driver_worker_get(driver, info->worker);
	struct event event = {0};
	struct bench_job *job = find_job(driver, info->job_id, &event.job);
	struct bench_task *task = &job->tasks[info->index];
	const struct arrival *arrival = job->arrival;

	(void)spec;
	(void)reason;
	count_start(driver, job);
	if (!task->remaining_ms)
		task->remaining_ms = arrival->run_ms;
	task->attempt = info->attempt;
	task->worker = info->worker;
	task->started_at = now_ms(driver);
	task->stopping = false;
	zr_resources_add(&worker->used, &arrival->used);
	driver->out->failing_worker_starts += worker->fails;
	event.task_index = info->index;
	event.attempt = info->attempt;
	event.type = EVENT_ENDED;
	if (worker->fails || arrival->fault == ARRIVAL_FAILS)
		schedule_event(driver, FAIL_AFTER_MS, event);
	else if (arrival->kind != ARRIVAL_SERVICE)
		schedule_event(driver, task->remaining_ms, event);
	event.type = EVENT_USAGE;
	schedule_event(driver, FIRST_USAGE_AFTER_MS, event);
}

static void on_stop(void *ctx, const struct zr_sched_task *info,
		    enum zr_sched_stop_reason reason)
{
	struct driver *driver = ctx;
	struct event event = {0};
	struct bench_job *job = find_job(driver, info->job_id, &event.job);
	struct bench_task *task = &job->tasks[info->index];
	int64_t ran_ms = now_ms(driver) - task->started_at;

	driver->out->preemptions += reason == ZR_SCHED_STOP_PREEMPTED;
	driver->out->overcommit_actions += reason == ZR_SCHED_STOP_OVERCOMMIT ||
					   reason == ZR_SCHED_STOP_THROTTLE;
	if (reason == ZR_SCHED_STOP_THROTTLE)
		return;
	event.task_index = info->index;
	event.attempt = info->attempt;
	event.type = EVENT_STOPPED;
	if (reason == ZR_SCHED_STOP_CANCELLED ||
	    reason == ZR_SCHED_STOP_OVERDUE) {
		schedule_event(driver, STOP_AFTER_MS, event);
		return;
	}
	if (rng_chance(&driver->rng, CHECKPOINT_IGNORED_PERCENT))
		return;
	/* The checkpoint saves the work up to now. */
	if (!task->stopping && task->remaining_ms > ran_ms)
		task->remaining_ms -= ran_ms;
	task->stopping = true;
	schedule_event(driver, CHECKPOINT_AFTER_MS, event);
}

static void on_job_changed(void *ctx, zr_handle handle, const char *id,
			   enum zr_job_state state, const char *reason)
{
	struct driver *driver = ctx;
	uint32_t number;
	struct bench_job *job = find_job(driver, id, &number);

	(void)handle;
	(void)reason;
	job->parked = state == ZR_JOB_PARKED;
	if (!zr_job_state_is_final(state))
		return;
	job->final = true;
	job->succeeded = state == ZR_JOB_SUCCEEDED;
	job->final_at = now_ms(driver);
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

static void count_cpu(struct driver *driver, const struct bench_job *job,
		      const struct bench_task *task,
		      enum zr_sched_outcome outcome)
{
	double cpu = (double)(now_ms(driver) - task->started_at) *
		     job->arrival->used.millicpus;

	driver->cpu_spent += cpu;
	if (outcome == ZR_SCHED_SUCCEEDED)
		return;
	if (task->stopping)
		cpu = (double)CHECKPOINT_AFTER_MS *
		      job->arrival->used.millicpus;
	if (!job->arrival->in_mass_cancel &&
	    job->arrival->fault == ARRIVAL_NO_FAULT)
		driver->cpu_wasted += cpu;
}

static void end_task(struct driver *driver, const struct event *event,
		     enum zr_sched_outcome outcome)
{
	struct bench_job *job = &driver->jobs[event->job];
	struct bench_task *task = &job->tasks[event->task_index];
	char id[ZR_JOB_ID_MAX];
	uint64_t started_ns;

	count_cpu(driver, job, task, outcome);
	zr_resources_sub(&driver_worker_get(driver, task->worker)->used,
			 &job->arrival->used);
	task->worker = ZR_HANDLE_NONE;
	snprintf(id, sizeof(id), "j%u", event->job);
	if (driver->model)
		sched_model_task_ended(driver->model, id, event->task_index,
				       event->attempt, outcome);
	started_ns = driver_wall_ns();
	driver->engine->task_ended(driver->state, job->handle,
				   event->task_index, event->attempt, outcome);
	ADD_ENGINE_TIME(driver, started_ns);
}

static enum zr_sched_outcome task_outcome(const struct driver *driver,
					  const struct bench_job *job,
					  const struct bench_task *task)
{
	if (job->arrival->fault == ARRIVAL_FAILS ||
	    driver_worker_get(driver, task->worker)->fails)
		return ZR_SCHED_FAILED;
	return ZR_SCHED_SUCCEEDED;
}

static void report_usage(struct driver *driver, const struct event *event)
{
	struct bench_job *job = &driver->jobs[event->job];
	const struct zr_resources *used = &job->arrival->used;
	struct timespec now = zr_clock_now(fake_time_clock(driver->time));
	uint64_t started_ns;
	char id[ZR_JOB_ID_MAX];

	snprintf(id, sizeof(id), "j%u", event->job);
	if (driver->model)
		sched_model_task_usage(driver->model, id, event->task_index,
				       event->attempt, used);
	started_ns = driver_wall_ns();
	driver->engine->task_usage(
		driver->state, job->handle, event->task_index, event->attempt,
		used,
		zr_time_add_ms(now, -(int64_t)rng_below(&driver->rng,
							USAGE_DELAY_MAX_MS)));
	ADD_ENGINE_TIME(driver, started_ns);
	schedule_event(driver, USAGE_INTERVAL_MS, *event);
}

static void deliver_event(struct driver *driver, const struct event *event)
{
	struct bench_job *job = &driver->jobs[event->job];
	struct bench_task *task = &job->tasks[event->task_index];

	if (!task->worker || task->attempt != event->attempt)
		return;
	if (event->type == EVENT_USAGE)
		report_usage(driver, event);
	else if (event->type == EVENT_STOPPED)
		end_task(driver, event, ZR_SCHED_STOPPED);
	else if (!task->stopping)
		end_task(driver, event, task_outcome(driver, job, task));
}

void driver_deliver_events(struct driver *driver, uint32_t tick)
{
	uint32_t number = driver->tick_events[tick];

	while (number) {
		struct event event = driver->events[number];

		driver->events[number].next = driver->free_event;
		driver->free_event = number;
		deliver_event(driver, &event);
		number = event.next;
	}
}

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cell/plan.h"
#include "zinniarack/errors.h"
#include "zinniarack/log.h"

/* A worker answers an order in a few milliseconds; later it has gone silent. */
#define ORDER_TIMEOUT_MS 400
/* A worker's clock may run this much slower than ours, in permille. */
#define CLOCK_SLOW_PERMILLE 25
#define PERMILLE 1000
#define LEASE_SLACK_MS 50
/* After an order that was not answered the worker gets no work for so long. */
#define SILENT_REST_MS 1000
#define REFUSED_REST_MS 300
/* Failures in a row, each of another job, that make a worker suspect. */
#define SUSPECT_FAILURES 2
#define SUSPECT_REST_MS 5000
/*
 * A member of a gang may join its run so late. Workers give up a member that
 * waits for others after three seconds; a start takes some of that.
 */
#define MEND_MS 1800

/* An order that is open. */
struct order {
	struct zr_cell_scheduler *scheduler;
	uint64_t term;
	zr_handle job;
	zr_handle worker;
	uint32_t task;
	uint32_t attempt;
};

/* Leases */

void zr_cell_worker_responded(struct zr_cell_scheduler *scheduler,
			      struct zr_cell_worker *worker, int64_t clock_ms)
{
	zr_chart_step(&worker->state, zr_charts()->worker,
		      worker->report.leaving ? ZR_WORKER_HEARD_LEAVING
					     : ZR_WORKER_HEARD);
	worker->failed_polls = 0;
	zr_cell_domain_responded(&scheduler->model, worker);
	if (clock_ms < 0)
		return;
	worker->clock_ms = clock_ms;
	worker->clock_at = zr_cell_now_ms(scheduler);
}

/* By our clock: when a span of a worker's clock is surely over. */
static int64_t surely_over(int64_t from, int64_t span)
{
	return from + span + span * CLOCK_SLOW_PERMILLE / PERMILLE +
	       LEASE_SLACK_MS;
}

static void extend_silence(const struct zr_cell_scheduler *scheduler,
			   struct zr_cell_worker *worker)
{
	int64_t until = surely_over(worker->clock_at, worker->lease_expires_ms -
							      worker->clock_ms);
	int64_t most = surely_over(zr_cell_now_ms(scheduler),
				   scheduler->options.limits.lease_max_ms);

	/* The clock may be that of a new life, which began at zero. */
	if (until > most)
		until = most;
	if (until > worker->runs_expire_at)
		worker->runs_expire_at = until;
}

int64_t zr_cell_lease_renew(struct zr_cell_scheduler *scheduler,
			    struct zr_cell_worker *worker)
{
	int64_t elapsed = zr_cell_now_ms(scheduler) - worker->clock_at;
	int64_t until =
		worker->clock_ms + elapsed + scheduler->options.limits.lease_ms;

	if (until > worker->lease_expires_ms)
		worker->lease_expires_ms = until;
	extend_silence(scheduler, worker);
	return worker->lease_expires_ms;
}

static void rest(struct zr_cell_scheduler *scheduler,
		 struct zr_cell_worker *worker, int64_t ms, const char *reason)
{
	int64_t until = zr_cell_now_ms(scheduler) + ms;

	if (until <= worker->backoff_until)
		return;
	worker->backoff_until = until;
	zr_log_decision("worker.rested worker=%s ms=%" PRId64 " reason=%s",
			worker->report.name, ms, reason);
}

/* Blame: failures of different jobs in a row are the worker's own. */

static void blame(struct zr_cell_scheduler *scheduler,
		  struct zr_cell_worker *worker, const struct zr_cell_job *job)
{
	if (worker->last_failed_job == job->self)
		return;
	worker->last_failed_job = job->self;
	if (++worker->failures >= SUSPECT_FAILURES)
		rest(scheduler, worker, SUSPECT_REST_MS, "failures");
}

static void praise(struct zr_cell_worker *worker)
{
	worker->failures = 0;
	worker->last_failed_job = ZR_HANDLE_NONE;
}

/* Ends of runs */

static uint32_t failures_of(const struct zr_cell_job *job,
			    const struct zr_cell_step_state *step,
			    uint32_t task)
{
	uint32_t sum = 0;
	uint32_t i;

	if (!zr_cell_step_is_gang(step))
		return job->tasks[task].failures;
	for (i = 0; i < step->spec->count; i++)
		sum += job->tasks[step->first + i].failures;
	return sum;
}

static void job_fail(struct zr_cell_scheduler *scheduler,
		     struct zr_cell_job *job, uint32_t task)
{
	if (zr_cell_job_has_ended(job))
		return;
	job->state = ZR_CELL_JOB_FAILED;
	job->ended_at = zr_cell_wall_ms(scheduler);
	zr_log_decision("job.failed job=%s queue=%s task=%" PRIu32
			" attempts=%" PRIu32,
			job->id, job->queue, task, job->attempts);
	zr_cell_job_mark_dirty(&scheduler->model, job);
	zr_cell_stop_job(scheduler, job, "job_failed");
}

/* Members that were started wait for one that never was. */
bool zr_cell_gang_can_be_completed(const struct zr_cell_scheduler *scheduler,
				   const struct zr_cell_job *job,
				   const struct zr_cell_step_state *step)
{
	uint32_t i;

	if (!step->begun_at || step->breaking || zr_cell_job_has_ended(job) ||
	    zr_cell_now_ms(scheduler) - step->begun_at > MEND_MS)
		return false;
	for (i = step->first; i < step->first + step->spec->count; i++) {
		const struct zr_cell_task *task = &job->tasks[i];

		if (task->state == ZR_TASK_WAITING &&
		    (task->started_at || task->finished))
			return false;
	}
	return true;
}

/* Members of a gang run only together: one that is away ends the others. */
static void check_gang(struct zr_cell_scheduler *scheduler,
		       struct zr_cell_job *job, struct zr_cell_step_state *step)
{
	uint32_t i;

	if (!zr_cell_step_is_gang(step) || !step->waiting ||
	    !step->active_tasks ||
	    zr_cell_gang_can_be_completed(scheduler, job, step))
		return;
	step->breaking = true;
	for (i = step->first; i < step->first + step->spec->count; i++)
		zr_cell_stop_run(scheduler, job, i, "gang_broken");
}

void zr_cell_stop_incomplete_gangs(struct zr_cell_scheduler *scheduler,
				   struct zr_cell_job *job)
{
	uint32_t i;

	for (i = 0; i < job->step_count; i++)
		check_gang(scheduler, job, &job->steps[i]);
}

void zr_cell_run_ended(struct zr_cell_scheduler *scheduler,
		       struct zr_cell_job *job, uint32_t task,
		       const char *reason)
{
	struct zr_cell_task *row = &job->tasks[task];
	struct zr_cell_step_state *step = zr_cell_task_step(job, task);
	const struct zr_cell_worker *worker =
		zr_cell_worker(&scheduler->model, row->worker);

	/* A worker that was told to stop a run refuses its attempt for good. */
	if (zr_cell_step_is_gang(step))
		row->avoid = row->worker;
	if (!row->finished || !worker)
		zr_log_decision("run.over job=%s task=%" PRIu32
				" attempt=%" PRIu32 " worker=%s reason=%s "
				"failures=%" PRIu32,
				job->id, task, row->attempt,
				worker ? worker->report.name : "-", reason,
				row->failures);
	zr_cell_task_end_run(&scheduler->model, job, task,
			     row->finished ? ZR_TASK_EVENT_DONE
					   : ZR_TASK_EVENT_GONE);
	zr_cell_job_mark_dirty(&scheduler->model, job);
	if (!(step->spec->flags & ZR_STEP_LONG_RUNNING) &&
	    failures_of(job, step, task) >= job->attempts && !row->finished)
		job_fail(scheduler, job, task);
	check_gang(scheduler, job, step);
	zr_cell_job_update(&scheduler->model, job, zr_cell_now_ms(scheduler),
			   zr_cell_wall_ms(scheduler));
	zr_cell_schedule_plan(scheduler);
}

/* One end as done stands for all members of a gang. */
static void mark_finished(struct zr_cell_job *job, uint32_t task)
{
	const struct zr_cell_step_state *step = zr_cell_task_step(job, task);
	uint32_t i;

	job->tasks[task].finished = true;
	if (!zr_cell_step_is_gang(step))
		return;
	for (i = step->first; i < step->first + step->spec->count; i++)
		job->tasks[i].finished = true;
}

static const char *const end_names[] = {
	[ZR_RUN_DONE] = "done",		 [ZR_RUN_FAILED] = "failed",
	[ZR_RUN_STOPPED] = "stopped",	 [ZR_RUN_LEASE_EXPIRED] = "lapsed",
	[ZR_RUN_GANG_BROKEN] = "broken", [ZR_RUN_GANG_TIMEOUT] = "alone",
};

/* Members that wait when their gang ends as done have nothing left to do. */
void zr_cell_gang_finish_waiting(struct zr_cell_model *model,
				 struct zr_cell_job *job,
				 const struct zr_cell_step_state *step)
{
	uint32_t i;

	for (i = step->first; i < step->first + step->spec->count; i++) {
		if (!job->tasks[i].finished ||
		    job->tasks[i].state != ZR_TASK_WAITING)
			continue;
		zr_cell_task_end_run(model, job, i, ZR_TASK_EVENT_DONE);
		zr_cell_job_mark_dirty(model, job);
	}
}

/* A run given up earlier has ended as done: its successor is not needed. */
static void take_late_done(struct zr_cell_scheduler *scheduler,
			   struct zr_cell_job *job, uint32_t task)
{
	struct zr_cell_task *row = &job->tasks[task];

	mark_finished(job, task);
	zr_log_decision("run.late_end job=%s task=%" PRIu32, job->id, task);
	if (row->state == ZR_TASK_WAITING)
		zr_cell_run_ended(scheduler, job, task, "done_late");
	else if (row->state != ZR_TASK_DONE)
		zr_cell_stop_run(scheduler, job, task, "done_late");
	zr_cell_gang_finish_waiting(&scheduler->model, job,
				    zr_cell_task_step(job, task));
	zr_cell_job_update(&scheduler->model, job, zr_cell_now_ms(scheduler),
			   zr_cell_wall_ms(scheduler));
}

static void note_outcome(struct zr_cell_scheduler *scheduler,
			 struct zr_cell_job *job, struct zr_cell_task *row,
			 struct zr_cell_worker *worker, uint32_t estimate_ms,
			 enum zr_run_outcome how)
{
	int64_t now = zr_cell_now_ms(scheduler);

	if (how == ZR_RUN_DONE) {
		praise(worker);
		if (!row->started_at)
			return;
		zr_histogram_observe(scheduler->run_ms,
				     (double)(now - row->started_at));
		zr_cell_slowdown_add_run(&scheduler->model, worker, estimate_ms,
					 now - row->started_at, now);
	} else if (how == ZR_RUN_FAILED) {
		row->failures++;
		row->avoid = worker->self;
		blame(scheduler, worker, job);
	}
}

void zr_cell_process_end(struct zr_cell_scheduler *scheduler,
			 struct zr_cell_worker *worker,
			 const struct zr_cell_run_end *end)
{
	struct zr_cell_task *row;
	struct zr_cell_job *job;
	uint32_t task;

	job = zr_cell_task_find(&task, &scheduler->model, &end->task);
	if (!job || !job->tasks)
		return;
	row = &job->tasks[task];
	if (row->worker != worker->self || row->attempt != end->attempt) {
		if (end->outcome == ZR_RUN_DONE)
			take_late_done(scheduler, job, task);
		return;
	}
	if (end->checkpoint[0])
		snprintf(row->checkpoint, sizeof(row->checkpoint), "%s",
			 end->checkpoint);
	note_outcome(scheduler, job, row, worker,
		     zr_cell_task_step(job, task)->spec->estimate_ms,
		     end->outcome);
	if (end->outcome == ZR_RUN_DONE) {
		mark_finished(job, task);
		zr_cell_gang_finish_waiting(&scheduler->model, job,
					    zr_cell_task_step(job, task));
	}
	zr_cell_run_ended(scheduler, job, task, end_names[end->outcome]);
}

/* Stops */

/* What an order that was answered is about. */
struct subject {
	struct zr_cell_job *job;
	struct zr_cell_task *task;
	struct zr_cell_worker *worker;
};

/* Whether the run that an order was about is still the task's open one. */
static bool find_subject(struct subject *out, const struct order *order)
{
	const struct zr_cell_scheduler *scheduler = order->scheduler;

	if (order->term != scheduler->term)
		return false;
	out->job = zr_cell_job(&scheduler->model, order->job);
	out->worker = zr_cell_worker(&scheduler->model, order->worker);
	if (!out->job || !out->job->tasks || !out->worker)
		return false;
	out->task = &out->job->tasks[order->task];
	return out->task->attempt == order->attempt &&
	       out->task->worker == order->worker;
}

static void on_stop(void *ctx, int error,
		    const struct zr_cell_request_reply *reply)
{
	struct order *order = ctx;
	struct zr_cell_scheduler *scheduler = order->scheduler;
	struct subject at;

	if (!zr_cell_call_done(scheduler) || !find_subject(&at, order) ||
	    at.task->state != ZR_TASK_STOPPING)
		goto out;
	at.task->stop_sent = false;
	if (error < 0) {
		scheduler->unanswered->value++;
		goto out;
	}
	zr_cell_worker_responded(scheduler, at.worker, reply->clock_ms);
	if (reply->status != ZR_REQUEST_ACCEPTED) {
		zr_log(ZR_LOG_WARN,
		       "stop.refused job=%s task=%" PRIu32
		       " worker=%s refusal=%d",
		       at.job->id, order->task, at.worker->report.name,
		       reply->status);
		goto out;
	}
	/* Barred now if it is not there yet: the next look tells. */
	at.task->stop_sent = true;
	if (at.task->visible_after == ZR_CELL_START_PENDING)
		at.task->visible_after = ++scheduler->events;
	zr_cell_poll_extra(scheduler, at.worker);
out:
	free(order);
}

static void on_stray_stop(void *ctx, int error,
			  const struct zr_cell_request_reply *reply)
{
	/* A run that is still listed at the next look is stopped again. */
	(void)error;
	(void)reply;
	zr_cell_call_done(ctx);
}

void zr_cell_stop_orphaned_run(struct zr_cell_scheduler *scheduler,
			       struct zr_cell_worker *worker,
			       const struct zr_cell_task_name *task,
			       uint32_t attempt)
{
	if (!zr_cell_is_owner(scheduler))
		return;
	scheduler->pending_calls++;
	worker->conn.ops->stop(worker->conn.impl, task, attempt,
			       scheduler->fencing_token, ORDER_TIMEOUT_MS,
			       on_stray_stop, scheduler);
}

static struct order *new_order(struct zr_cell_scheduler *scheduler,
			       const struct zr_cell_job *job, uint32_t task)
{
	struct order *order = calloc(1, sizeof(*order));

	if (!order)
		abort();
	order->scheduler = scheduler;
	order->term = scheduler->term;
	order->job = job->self;
	order->task = task;
	order->attempt = job->tasks[task].attempt;
	order->worker = job->tasks[task].worker;
	scheduler->pending_calls++;
	return order;
}

static void send_stop(struct zr_cell_scheduler *scheduler,
		      struct zr_cell_job *job, uint32_t task)
{
	struct zr_cell_task *row = &job->tasks[task];
	struct zr_cell_worker *worker =
		zr_cell_worker(&scheduler->model, row->worker);
	struct zr_cell_task_name name = zr_cell_task_name(job, task);

	if (row->stop_sent || !worker->conn.ops || !zr_cell_is_owner(scheduler))
		return;
	row->stop_sent = true;
	worker->conn.ops->stop(worker->conn.impl, &name, row->attempt,
			       scheduler->fencing_token, ORDER_TIMEOUT_MS,
			       on_stop, new_order(scheduler, job, task));
}

void zr_cell_stop_run(struct zr_cell_scheduler *scheduler,
		      struct zr_cell_job *job, uint32_t task,
		      const char *reason)
{
	struct zr_cell_task *row = &job->tasks[task];

	switch (row->state) {
	case ZR_TASK_PLACED:
		/* Not sent: the worker knows nothing of it. */
		zr_cell_run_ended(scheduler, job, task, reason);
		return;
	case ZR_TASK_STARTING:
	case ZR_TASK_RUNNING:
	case ZR_TASK_UNSURE:
		zr_log_decision("run.stop job=%s task=%" PRIu32
				" attempt=%" PRIu32 " worker=%s reason=%s",
				job->id, task, row->attempt,
				zr_cell_worker(&scheduler->model, row->worker)
					->report.name,
				reason);
		zr_cell_task_event(row, ZR_TASK_EVENT_STOP);
		send_stop(scheduler, job, task);
		return;
	default:
		return;
	}
}

void zr_cell_stop_job(struct zr_cell_scheduler *scheduler,
		      struct zr_cell_job *job, const char *reason)
{
	uint32_t i;

	for (i = 0; i < job->task_count && job->tasks; i++)
		zr_cell_stop_run(scheduler, job, i, reason);
}

void zr_cell_job_cancel(struct zr_cell_scheduler *scheduler,
			struct zr_cell_job *job)
{
	if (zr_cell_job_has_ended(job))
		return;
	job->state = ZR_CELL_JOB_CANCELLED;
	job->ended_at = zr_cell_wall_ms(scheduler);
	zr_log_decision("job.cancelled job=%s queue=%s open=%" PRIu32, job->id,
			job->queue, job->active_tasks);
	zr_cell_job_mark_dirty(&scheduler->model, job);
	zr_cell_stop_job(scheduler, job, "job_cancelled");
	zr_cell_job_update(&scheduler->model, job, zr_cell_now_ms(scheduler),
			   zr_cell_wall_ms(scheduler));
}

void zr_cell_stops_resend(struct zr_cell_scheduler *scheduler,
			  struct zr_cell_worker *worker)
{
	size_t i;

	for (i = 0; i < worker->run_count; i++) {
		struct zr_cell_ref ref = worker->runs[i];
		struct zr_cell_job *job =
			zr_cell_job(&scheduler->model, ref.job);

		if (job->tasks[ref.task].state == ZR_TASK_STOPPING)
			send_stop(scheduler, job, ref.task);
	}
}

/* Starts */

/* A start of which the worker has surely done nothing. */
static void start_undone(struct zr_cell_scheduler *scheduler,
			 struct zr_cell_job *job, uint32_t task,
			 const char *reason)
{
	scheduler->refused->value++;
	zr_cell_run_ended(scheduler, job, task, reason);
}

static void forget_pass(struct zr_cell_job *job, uint32_t task,
			zr_handle worker)
{
	struct zr_cell_step_state *step = zr_cell_task_step(job, task);

	zr_cell_permission_get_or_add(step, worker)->until = 0;
}

static void take_refusal(struct zr_cell_scheduler *scheduler,
			 struct zr_cell_job *job, uint32_t task,
			 struct zr_cell_worker *worker,
			 enum zr_request_status refusal)
{
	switch (refusal) {
	case ZR_REQUEST_FENCED:
		start_undone(scheduler, job, task, "fenced");
		zr_owner_step_down(scheduler->owner);
		return;
	case ZR_REQUEST_NO_PERMIT:
		forget_pass(job, task, worker->self);
		start_undone(scheduler, job, task, "no_permit");
		return;
	case ZR_REQUEST_UNHEALTHY:
		rest(scheduler, worker, SILENT_REST_MS, "unhealthy");
		start_undone(scheduler, job, task, "unhealthy");
		return;
	case ZR_REQUEST_OTHER_INCARNATION:
		rest(scheduler, worker, SILENT_REST_MS, "other_life");
		zr_cell_poll_soon(scheduler, worker, 0);
		start_undone(scheduler, job, task, "other_life");
		return;
	case ZR_REQUEST_NO_CAPACITY:
		rest(scheduler, worker, REFUSED_REST_MS, "no_room");
		zr_cell_poll_soon(scheduler, worker, 0);
		start_undone(scheduler, job, task, "no_room");
		return;
	case ZR_REQUEST_LEASE_EXPIRED:
		start_undone(scheduler, job, task, "late");
		return;
	case ZR_REQUEST_SUPERSEDED:
		start_undone(scheduler, job, task, "superseded");
		return;
	default:
		zr_log(ZR_LOG_ERROR,
		       "start.invalid job=%s task=%" PRIu32 " worker=%s",
		       job->id, task, worker->report.name);
		rest(scheduler, worker, SUSPECT_REST_MS, "invalid");
		start_undone(scheduler, job, task, "invalid");
	}
}

static void start_confirmed(struct zr_cell_scheduler *scheduler,
			    struct zr_cell_job *job, uint32_t task,
			    struct zr_cell_worker *worker)
{
	struct zr_cell_task *row = &job->tasks[task];
	const struct zr_cell_step_state *step = zr_cell_task_step(job, task);
	int64_t now = zr_cell_now_ms(scheduler);

	job->begun = true;
	row->visible_after = ++scheduler->events;
	if (row->state == ZR_TASK_STOPPING)
		return;
	zr_cell_task_event(row, ZR_TASK_EVENT_CONFIRMED);
	row->started_at = now;
	row->percent_at = now;
	if (step->ready_at != ZR_CELL_NEVER)
		zr_histogram_observe(scheduler->wait_ms,
				     (double)(now - step->ready_at));
	zr_cell_poll_soon(scheduler, worker, 0);
}

static void start_failed(struct zr_cell_scheduler *scheduler,
			 struct zr_cell_job *job, uint32_t task,
			 struct zr_cell_worker *worker, int error)
{
	scheduler->unanswered->value++;
	rest(scheduler, worker, SILENT_REST_MS, zr_error_name(error));
	if (error == ZR_E_UNREACHABLE || error == ZR_E_FULL ||
	    error == ZR_E_CANCELLED) {
		start_undone(scheduler, job, task, zr_error_name(error));
		return;
	}
	zr_cell_task_event(&job->tasks[task], ZR_TASK_EVENT_UNANSWERED);
	zr_log_decision("start.unanswered job=%s task=%" PRIu32
			" attempt=%" PRIu32 " worker=%s",
			job->id, task, job->tasks[task].attempt,
			worker->report.name);
	zr_cell_poll_extra(scheduler, worker);
}

static void on_start(void *ctx, int error,
		     const struct zr_cell_request_reply *reply)
{
	struct order *order = ctx;
	struct zr_cell_scheduler *scheduler = order->scheduler;
	struct subject at;

	if (!zr_cell_call_done(scheduler) || !find_subject(&at, order))
		goto out;
	if (error < 0) {
		start_failed(scheduler, at.job, order->task, at.worker, error);
		goto out;
	}
	zr_cell_worker_responded(scheduler, at.worker, reply->clock_ms);
	if (reply->status == ZR_REQUEST_ACCEPTED)
		start_confirmed(scheduler, at.job, order->task, at.worker);
	else
		take_refusal(scheduler, at.job, order->task, at.worker,
			     reply->status);
out:
	free(order);
}

static const char *permit_of(const struct zr_cell_step_state *step,
			     zr_handle worker)
{
	const struct zr_cell_permission *pass =
		zr_cell_permission_find(step, worker);

	return pass ? pass->ticket : "";
}

/* A checkpoint of any member is good for the whole gang. */
static const char *checkpoint_of(const struct zr_cell_job *job,
				 const struct zr_cell_step_state *step,
				 uint32_t task)
{
	const char *best = job->tasks[task].checkpoint;
	uint32_t i;

	if (!zr_cell_step_is_gang(step))
		return best;
	for (i = step->first; i < step->first + step->spec->count; i++) {
		if (strcmp(job->tasks[i].checkpoint, best) > 0)
			best = job->tasks[i].checkpoint;
	}
	return best;
}

static void send_start(struct zr_cell_scheduler *scheduler,
		       struct zr_cell_job *job, uint32_t task)
{
	struct zr_cell_task *row = &job->tasks[task];
	const struct zr_cell_step_state *step = zr_cell_task_step(job, task);
	struct zr_cell_worker *worker =
		zr_cell_worker(&scheduler->model, row->worker);
	struct zr_cell_start start = {
		.task = zr_cell_task_name(job, task),
		.attempt = row->attempt,
		.payload = job->spec.payload,
		.fencing_token = scheduler->fencing_token,
		.checkpoint = checkpoint_of(job, step, task),
		.ticket = permit_of(step, row->worker),
	};

	if (worker->report.leaving) {
		start_undone(scheduler, job, task, "worker_leaves");
		return;
	}
	start.lease_expires_ms = zr_cell_lease_renew(scheduler, worker);
	scheduler->starts->value++;
	zr_cell_task_event(row, ZR_TASK_EVENT_SENT);
	zr_cell_domain_start_sent(&scheduler->model, worker,
				  zr_cell_now_ms(scheduler));
	worker->conn.ops->start(worker->conn.impl, &start, ORDER_TIMEOUT_MS,
				on_start, new_order(scheduler, job, task));
}

void zr_cell_starts_send_persisted(struct zr_cell_scheduler *scheduler,
				   struct zr_cell_job *job)
{
	uint32_t i;

	if (!job->tasks)
		return;
	if (!zr_cell_is_owner(scheduler)) {
		scheduler->starts_deferred = true;
		return;
	}
	for (i = 0; i < job->task_count; i++) {
		if (job->tasks[i].state == ZR_TASK_PLACED &&
		    job->tasks[i].change <= job->persisted_change)
			send_start(scheduler, job, i);
	}
}

void zr_cell_starts_send_deferred(struct zr_cell_scheduler *scheduler)
{
	struct zr_cell_job *job;
	struct zr_cell_job *next;

	if (!scheduler->starts_deferred || !zr_cell_is_owner(scheduler))
		return;
	scheduler->starts_deferred = false;
	HASH_ITER (hh, scheduler->model.job_by_id, job, next)
		zr_cell_starts_send_persisted(scheduler, job);
}

void zr_cell_place_task(struct zr_cell_scheduler *scheduler,
			struct zr_cell_job *job, uint32_t task,
			struct zr_cell_worker *worker, uint32_t attempt)
{
	struct zr_cell_task *row = &job->tasks[task];

	zr_cell_task_begin_run(&scheduler->model, job, task, worker,
			       ZR_TASK_EVENT_PLACED);
	row->attempt = attempt;
	zr_cell_job_mark_dirty(&scheduler->model, job);
	row->change = job->change;
	row->started_at = 0;
}

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cell/plan.h"
#include "zinniarack/errors.h"
#include "zinniarack/log.h"

/* A look waits this long for an end; leases are renewed as often. */
#define LOOK_WAIT_MS 1000
/* A look that is answered later than its wait plus this was lost. */
#define LOOK_SLACK_MS 600
#define LOOK_RETRY_MS 250
/* Ends are confirmed this long after the last run of a worker is over. */
#define LAST_LOOK_MS 500
/* Leases are renewed this often while the store holds up the confirmation. */
#define RENEW_MS 700
/* A worker lists no more ends than this at a time. */
#define ENDS_MAX 500

struct look {
	struct zr_cell_scheduler *scheduler;
	uint64_t reign;
	zr_handle worker;
	uint64_t sent;
	bool beside; /* another look is open, and goes on */
};

void zr_cell_look_soon(struct zr_cell_scheduler *scheduler,
		       struct zr_cell_worker *worker, int64_t after_ms)
{
	int64_t due = zr_cell_now(scheduler) + after_ms;

	if (due < worker->look_due)
		worker->look_due = due;
	if (!after_ms)
		zr_cell_looks_due(scheduler, worker);
}

/* Runs that are placed and not sent are not there to be lost. */
static size_t count_sent(const struct zr_cell_scheduler *scheduler,
			 const struct zr_cell_worker *worker)
{
	size_t count = 0;
	size_t i;

	for (i = 0; i < worker->run_count; i++) {
		struct zr_cell_ref ref = worker->runs[i];
		const struct zr_cell_job *job =
			zr_cell_job(&scheduler->model, ref.job);

		if (job->tasks[ref.task].state != ZR_TASK_PLACED)
			count++;
	}
	return count;
}

static void lose_runs(struct zr_cell_scheduler *scheduler,
		      struct zr_cell_worker *worker, const char *reason)
{
	size_t i = 0;

	while (i < worker->run_count) {
		struct zr_cell_ref ref = worker->runs[i];
		struct zr_cell_job *job =
			zr_cell_job(&scheduler->model, ref.job);

		i++;
		if (job->tasks[ref.task].state == ZR_TASK_PLACED)
			continue;
		scheduler->lost->value++;
		zr_cell_run_over(scheduler, job, ref.task, reason);
		i = 0;
	}
}

/*
 * A start that was not answered may still be carried out, by the new life too:
 * only a stop there bars it.
 */
static void stop_unsettled(struct zr_cell_scheduler *scheduler,
			   struct zr_cell_worker *worker)
{
	size_t i;

	for (i = 0; i < worker->run_count; i++) {
		struct zr_cell_ref ref = worker->runs[i];
		struct zr_cell_job *job =
			zr_cell_job(&scheduler->model, ref.job);
		const struct zr_cell_task *row = &job->tasks[ref.task];

		if (row->state == ZR_TASK_UNSURE &&
		    row->settled == ZR_CELL_UNSETTLED)
			zr_cell_stop_run(scheduler, job, ref.task, "new_life");
	}
}

/*
 * Confirmed runs are not lost by this: a start may have reached the new life
 * before it was known. A look tells which of them are there.
 */
void zr_cell_new_life(struct zr_cell_scheduler *scheduler,
		      struct zr_cell_worker *worker, int64_t incarnation)
{
	zr_log_decision("worker.new_life worker=%s incarnation=%" PRId64
			" runs=%zu",
			worker->report.name, incarnation, worker->run_count);
	worker->report.incarnation = incarnation;
	worker->seen = 0;
	worker->confirmed = 0;
	worker->ack_count = 0;
	worker->clock_ms = -1;
	worker->lease_until_ms = 0;
	worker->failures = 0;
	stop_unsettled(scheduler, worker);
}

/* What a look shows */

static bool listed(const struct zr_cell_look_reply *reply,
		   const struct zr_cell_task_name *name, uint32_t attempt)
{
	size_t i;

	for (i = 0; i < reply->run_count; i++) {
		const struct zr_cell_run *run = &reply->runs[i];

		if (run->attempt == attempt && run->task.index == name->index &&
		    run->task.step == name->step &&
		    run->task.occurrence == name->occurrence &&
		    !strcmp(run->task.job, name->job))
			return true;
	}
	return false;
}

static void take_unlisted(struct zr_cell_scheduler *scheduler,
			  struct zr_cell_worker *worker,
			  const struct zr_cell_look_reply *reply, uint64_t sent)
{
	size_t i = 0;

	while (i < worker->run_count) {
		struct zr_cell_ref ref = worker->runs[i];
		struct zr_cell_job *job =
			zr_cell_job(&scheduler->model, ref.job);
		struct zr_cell_task *row = &job->tasks[ref.task];
		struct zr_cell_task_name name =
			zr_cell_task_name(job, ref.task);

		i++;
		if (row->state == ZR_TASK_PLACED ||
		    listed(reply, &name, row->attempt))
			continue;
		if (row->settled < sent) {
			scheduler->lost->value++;
			zr_cell_run_over(scheduler, job, ref.task, "not_there");
			i = 0;
		} else if (row->state == ZR_TASK_UNSURE) {
			zr_cell_stop_run(scheduler, job, ref.task,
					 "start_unanswered");
		}
	}
}

/* A run that nothing here asked for: a start that was carried out late. */
static void stop_stray(struct zr_cell_scheduler *scheduler,
		       struct zr_cell_worker *worker,
		       const struct zr_cell_run *run)
{
	zr_log_decision("run.stray job=%s step=%" PRIu32 " index=%" PRIu32
			" attempt=%" PRIu32 " worker=%s",
			run->task.job, run->task.step, run->task.index,
			run->attempt, worker->report.name);
	zr_cell_send_stray_stop(scheduler, worker, &run->task, run->attempt);
}

/* A batch task that stands still goes on elsewhere, from its checkpoint. */
static void check_progress(struct zr_cell_scheduler *scheduler,
			   struct zr_cell_worker *worker,
			   struct zr_cell_job *job, uint32_t task)
{
	struct zr_cell_task *row = &job->tasks[task];
	const struct zr_cell_step *step = zr_cell_task_step(job, task)->spec;
	int64_t now = zr_cell_now(scheduler);

	if (step->flags & (ZR_STEP_GANG | ZR_STEP_LASTING | ZR_STEP_FILLS))
		return;
	zr_cell_pace_progress(&scheduler->model, worker, step->estimate_ms,
			      now - row->started_at, row->percent, now);
	if (!zr_cell_pace_stalled(row, now))
		return;
	row->avoid = worker->self;
	zr_cell_stop_run(scheduler, job, task, "stalled");
}

static void take_run(struct zr_cell_scheduler *scheduler,
		     struct zr_cell_worker *worker,
		     const struct zr_cell_run *run)
{
	int64_t now = zr_cell_now(scheduler);
	struct zr_cell_task *row;
	struct zr_cell_job *job;
	uint32_t task;

	job = zr_cell_task_find(&task, &scheduler->model, &run->task);
	if (!job || !job->tasks || job->tasks[task].worker != worker->self ||
	    job->tasks[task].attempt != run->attempt ||
	    job->tasks[task].state == ZR_TASK_PLACED) {
		stop_stray(scheduler, worker, run);
		return;
	}
	row = &job->tasks[task];
	job->begun = true;
	if (run->checkpoint[0])
		snprintf(row->checkpoint, sizeof(row->checkpoint), "%s",
			 run->checkpoint);
	if (run->percent != row->percent) {
		row->percent = run->percent;
		row->percent_at = now;
	}
	if (row->state == ZR_TASK_UNSURE) {
		zr_cell_task_event(row, ZR_TASK_EVENT_CONFIRMED);
		row->settled = 0;
		row->started_at = now;
		row->percent_at = now;
	}
	if (zr_cell_job_over(job) || row->finished)
		zr_cell_stop_run(scheduler, job, task, "job_over");
	else if (row->state == ZR_TASK_RUNNING)
		check_progress(scheduler, worker, job, task);
}

static void wait_for(struct zr_cell_worker *worker,
		     const struct zr_cell_job *job)
{
	if (worker->ack_count == worker->ack_room) {
		worker->ack_room = worker->ack_room ? 2 * worker->ack_room : 8;
		worker->acks = realloc(
			worker->acks, worker->ack_room * sizeof(*worker->acks));
		if (!worker->acks)
			abort();
	}
	worker->acks[worker->ack_count++] =
		(struct zr_cell_ack){job->self, job->change};
}

static void take_ends(struct zr_cell_scheduler *scheduler,
		      struct zr_cell_worker *worker,
		      const struct zr_cell_look_reply *reply)
{
	size_t i;

	for (i = 0; i < reply->end_count; i++) {
		const struct zr_cell_end *end = &reply->ends[i];
		const struct zr_cell_job *job;

		if (end->number <= worker->seen)
			continue;
		worker->seen = end->number;
		zr_cell_take_end(scheduler, worker, end);
		job = zr_cell_job_find(&scheduler->model, end->task.job);
		if (job && job->change != job->written)
			wait_for(worker, job);
	}
}

static void take_look(struct zr_cell_scheduler *scheduler,
		      struct zr_cell_worker *worker,
		      const struct zr_cell_look_reply *reply, uint64_t sent)
{
	size_t i;

	/* An answer of the life before may come after one of the next. */
	if (reply->incarnation &&
	    reply->incarnation < worker->report.incarnation)
		return;
	if (reply->incarnation > worker->report.incarnation)
		zr_cell_new_life(scheduler, worker, reply->incarnation);
	zr_cell_heard(scheduler, worker, reply->clock_ms);
	take_ends(scheduler, worker, reply);
	for (i = 0; i < reply->run_count; i++)
		take_run(scheduler, worker, &reply->runs[i]);
	if (reply->end_count < ENDS_MAX)
		take_unlisted(scheduler, worker, reply, sent);
}

/* Sending looks */

static void schedule_next(struct zr_cell_scheduler *scheduler,
			  struct zr_cell_worker *worker)
{
	if (worker->run_count)
		zr_cell_look_soon(scheduler, worker, 0);
	else if (worker->confirmed < worker->seen || worker->ack_count)
		zr_cell_look_soon(scheduler, worker, LAST_LOOK_MS);
}

static void on_look(void *ctx, int error,
		    const struct zr_cell_look_reply *reply)
{
	struct look *look = ctx;
	struct zr_cell_scheduler *scheduler = look->scheduler;
	struct zr_cell_worker *worker;

	if (!zr_cell_call_ended(scheduler) || look->reign != scheduler->reign)
		goto out;
	worker = zr_cell_worker(&scheduler->model, look->worker);
	if (!worker)
		goto out;
	if (look->beside && error < 0)
		goto out;
	if (!look->beside)
		worker->looking = false;
	if (error < 0) {
		if (worker->state == ZR_WORKER_UP ||
		    worker->state == ZR_WORKER_LEAVING)
			zr_log_decision("worker.silent worker=%s error=%s "
					"runs=%zu",
					worker->report.name,
					zr_error_name(error),
					worker->run_count);
		zr_chart_step(&worker->state, zr_charts()->worker,
			      ZR_WORKER_SILENT);
		worker->unanswered++;
		zr_cell_look_soon(scheduler, worker, LOOK_RETRY_MS);
	} else if (reply->refusal == ZR_ORDER_FENCED) {
		zr_owner_give_up(scheduler->owner);
	} else if (reply->refusal == ZR_ORDER_OTHER_LIFE) {
		/* Another worker has the address: this one is no more. */
		worker->listed = false;
		lose_runs(scheduler, worker, "worker_replaced");
	} else if (reply->refusal != ZR_ORDER_TAKEN) {
		zr_log(ZR_LOG_WARN, "look.refused worker=%s refusal=%d",
		       worker->report.name, reply->refusal);
		zr_cell_look_soon(scheduler, worker, LOOK_RETRY_MS);
	} else {
		take_look(scheduler, worker, reply, look->sent);
		zr_cell_journal_flush(scheduler->journal);
		schedule_next(scheduler, worker);
	}
out:
	free(look);
}

static struct look *new_look(struct zr_cell_scheduler *scheduler,
			     const struct zr_cell_worker *worker)
{
	struct look *look = calloc(1, sizeof(*look));

	if (!look)
		abort();
	look->scheduler = scheduler;
	look->reign = scheduler->reign;
	look->worker = worker->self;
	look->sent = ++scheduler->events;
	scheduler->looks->value++;
	scheduler->open_calls++;
	return look;
}

static void send_look(struct zr_cell_scheduler *scheduler,
		      struct zr_cell_worker *worker)
{
	struct look *look = new_look(scheduler, worker);
	unsigned int wait_ms = LOOK_WAIT_MS;
	int64_t lease_until = -1;

	worker->look_sent_at = zr_cell_now(scheduler);
	worker->looking = true;
	worker->look_due = ZR_CELL_NEVER;
	/* A silent worker's lease is left to end, so that its tasks can go on.
	 */
	if (worker->clock_ms >= 0 && worker->run_count &&
	    !zr_cell_worker_silent(worker))
		lease_until = zr_cell_lease_until(scheduler, worker);
	/* The first look after a take-over, and the last one, do not wait. */
	if (worker->state == ZR_WORKER_UNKNOWN || !worker->run_count ||
	    worker->ack_count)
		wait_ms = 0;
	worker->orders.ops->look(worker->orders.impl, scheduler->token,
				 lease_until, worker->confirmed, wait_ms,
				 wait_ms + LOOK_SLACK_MS, on_look, look);
}

void zr_cell_look_beside(struct zr_cell_scheduler *scheduler,
			 struct zr_cell_worker *worker)
{
	struct look *look;

	if (!worker->looking) {
		zr_cell_look_soon(scheduler, worker, 0);
		return;
	}
	if (!worker->orders.ops || !zr_cell_may_order(scheduler))
		return;
	look = new_look(scheduler, worker);
	look->beside = true;
	worker->orders.ops->look(worker->orders.impl, scheduler->token, -1,
				 worker->confirmed, 0, LOOK_SLACK_MS, on_look,
				 look);
}

void zr_cell_looks_due(struct zr_cell_scheduler *scheduler,
		       struct zr_cell_worker *worker)
{
	int64_t now = zr_cell_now(scheduler);

	if (worker->state != ZR_WORKER_UP &&
	    worker->state != ZR_WORKER_LEAVING && now > worker->silent_until &&
	    count_sent(scheduler, worker)) {
		zr_log_decision("worker.lease_over worker=%s runs=%zu",
				worker->report.name, worker->run_count);
		lose_runs(scheduler, worker, "lease_over");
	}
	if (worker->looking || now < worker->look_due || !worker->orders.ops ||
	    !zr_cell_may_order(scheduler))
		return;
	/* Ends that are not kept yet would only be listed again. */
	if (worker->ack_count && now - worker->look_sent_at < RENEW_MS)
		return;
	send_look(scheduler, worker);
}

static bool ack_written(const struct zr_cell_scheduler *scheduler,
			const struct zr_cell_ack *ack)
{
	const struct zr_cell_job *job =
		zr_cell_job(&scheduler->model, ack->job);

	return !job || job->written >= ack->change;
}

static void check_acks(struct zr_cell_scheduler *scheduler,
		       struct zr_cell_worker *worker)
{
	size_t kept = 0;
	size_t i;

	for (i = 0; i < worker->ack_count; i++) {
		if (!ack_written(scheduler, &worker->acks[i]))
			worker->acks[kept++] = worker->acks[i];
	}
	worker->ack_count = kept;
	if (kept)
		return;
	worker->confirmed = worker->seen;
	schedule_next(scheduler, worker);
}

void zr_cell_acks_written(struct zr_cell_scheduler *scheduler)
{
	struct zr_cell_worker *worker;
	struct zr_cell_worker *next;

	HASH_ITER (hh, scheduler->model.worker_by_name, worker, next) {
		if (worker->ack_count)
			check_acks(scheduler, worker);
		else
			worker->confirmed = worker->seen;
	}
}

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cell/plan.h"
#include "zinniarack/errors.h"
#include "zinniarack/log.h"

/*
 * A poll is answered when a run ends, or after this time. Each poll renews the
 * run leases, so this is also the renewal interval.
 */
#define POLL_WAIT_MS 1000
/* Added to the wait time for the timeout of a poll. */
#define POLL_TIMEOUT_MARGIN_MS 600
#define POLL_RETRY_MS 250
/*
 * Timeout of a poll that shows the outcomes of starts. It is repeated until one
 * is answered, and the regular polls show the outcomes too.
 */
#define OUTCOME_POLL_TIMEOUT_MS 250
/* Time between two such polls while they have no response. */
#define OUTCOME_POLL_RETRY_MIN_MS 50
#define OUTCOME_POLL_RETRY_MAX_MS 400
/* Delay of the poll that acknowledges the ends after a worker's last run. */
#define FINAL_POLL_DELAY_MS 500
/* Lease renewal interval while some received ends are not persisted. */
#define LEASE_RENEWAL_MS 700
/* A poll acknowledges ends only this long after the answer of another one. */
#define CONFIRMED_MS 1000
/*
 * Time after which a worker no longer carries out a poll that had no response.
 * Workers have carried out requests up to 12 s late.
 */
#define LATE_POLL_MS 12500
/* Maximum number of ends that a worker lists in one reply. */
#define ENDS_MAX 500

/* A poll in flight. */
struct poll_call {
	struct zr_cell_call base;
	zr_handle worker;
	uint64_t sent_event;	/* event number of its sending */
	int64_t incarnation;	/* known when it was sent */
	int64_t last_end_acked; /* acknowledgement that it carries */
	bool extra; /* sent while a regular poll of the worker is in flight */
	int64_t sent_at;
	unsigned int timeout_ms;
	bool outcomes; /* sent by zr_cell_poll_outcomes(); it is extra too */
};

void zr_cell_worker_set_unconfirmed(struct zr_cell_scheduler *scheduler,
				    struct zr_cell_worker *worker, bool broke)
{
	worker->unconfirmed_event = ++scheduler->event_count;
	if (worker->silent_since != ZR_CELL_NEVER)
		return;
	worker->silent_since = zr_cell_now_ms(scheduler);
	worker->silence_broke = broke;
}

/* Whether a start has been sent of which it is not known where it arrived. */
static bool has_unconfirmed_start(const struct zr_cell_scheduler *scheduler,
				  const struct zr_cell_worker *worker)
{
	size_t i;

	for (i = 0; i < worker->run_count; i++) {
		struct zr_cell_ref ref = worker->runs[i];
		const struct zr_cell_task *entry =
			&zr_cell_job(&scheduler->term.model, ref.job)
				 ->tasks[ref.task];

		if (entry->state != ZR_TASK_PLACED && !entry->started_at)
			return true;
	}
	return false;
}

/*
 * Number up to which a poll may acknowledge ends. A worker that has restarted
 * numbers its ends from 1 again, so nothing is acknowledged before the last
 * known incarnation has answered, nor while a later one may have received a
 * start, whose end it may have numbered.
 */
static int64_t safe_ack(const struct zr_cell_scheduler *scheduler,
			const struct zr_cell_worker *worker)
{
	bool confirmed = worker->confirmed_event > worker->unconfirmed_event &&
			 zr_cell_now_ms(scheduler) - worker->confirmed_at <=
				 CONFIRMED_MS;

	return confirmed && !has_unconfirmed_start(scheduler, worker)
		       ? worker->last_end_acked
		       : 0;
}

void zr_cell_poll_soon(struct zr_cell_scheduler *scheduler,
		       struct zr_cell_worker *worker, int64_t after_ms)
{
	int64_t due = zr_cell_now_ms(scheduler) + after_ms;

	if (due < worker->poll_due_at)
		worker->poll_due_at = due;
	if (!after_ms)
		zr_cell_polls_process(scheduler, worker);
}

/*
 * A start that was not answered may still reach the restarted worker. A stop
 * makes the worker refuse it.
 */
static void stop_unanswered_starts(struct zr_cell_scheduler *scheduler,
				   struct zr_cell_worker *worker)
{
	size_t i;

	for (i = 0; i < worker->run_count; i++) {
		struct zr_cell_ref ref = worker->runs[i];
		struct zr_cell_job *job =
			zr_cell_job(&scheduler->term.model, ref.job);
		const struct zr_cell_task *entry = &job->tasks[ref.task];

		if (entry->state == ZR_TASK_UNCONFIRMED &&
		    entry->visible_after == ZR_CELL_START_PENDING)
			zr_cell_stop_run(scheduler, job, ref.task, "new_life");
	}
}

/*
 * A worker that has restarted may still carry out a poll that was sent to it
 * before that was known, and which acknowledges ends by the numbers of the
 * earlier incarnation. Nothing is placed there until this cannot happen any
 * more: the ends of its runs could be lost.
 */
static void wait_for_late_ack(const struct zr_cell_scheduler *scheduler,
			      struct zr_cell_worker *worker)
{
	if (worker->late_ack_until <= zr_cell_now_ms(scheduler))
		return;
	if (worker->late_ack_until > worker->backoff_until)
		worker->backoff_until = worker->late_ack_until;
	zr_log_decision("worker.backoff worker=%s ms=%" PRId64
			" reason=late_poll",
			worker->report.name,
			worker->late_ack_until - zr_cell_now_ms(scheduler));
}

/*
 * A poll whose connection broke before its timeout is not carried out later,
 * unless it was this scheduler that closed the connection.
 */
static void settle_ack(const struct zr_cell_scheduler *scheduler,
		       struct zr_cell_worker *worker,
		       const struct poll_call *call, int error)
{
	if (!call->last_end_acked || (error < 0 && !worker->conn.ops))
		return;
	if (error < 0 && zr_cell_now_ms(scheduler) - call->sent_at >=
				 (int64_t)call->timeout_ms)
		return;
	if (worker->late_ack_until == call->sent_at + LATE_POLL_MS)
		worker->late_ack_until = 0;
}

/*
 * Runs whose start was confirmed are not given up here: the start may have
 * reached the worker after its restart. The next poll shows which of them
 * exist.
 */
void zr_cell_worker_restarted(struct zr_cell_scheduler *scheduler,
			      struct zr_cell_worker *worker,
			      int64_t incarnation)
{
	zr_log_decision("worker.restarted worker=%s incarnation=%" PRId64
			" runs=%zu",
			worker->report.name, incarnation, worker->run_count);
	worker->report.incarnation = incarnation;
	zr_cell_worker_crashed(scheduler, worker, false);
	wait_for_late_ack(scheduler, worker);
	worker->last_end_processed = 0;
	worker->last_end_acked = 0;
	worker->last_ack_delivered = 0;
	worker->ack_count = 0;
	worker->clock_ms = -1;
	worker->lease_expires_ms = 0;
	worker->failures = 0;
	zr_cell_speed_worker_changed(scheduler, worker);
	stop_unanswered_starts(scheduler, worker);
}

/* Poll replies */

static bool is_listed(const struct zr_cell_poll_reply *reply,
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

/*
 * Whether a run that a poll does not list does not exist and cannot begin any
 * more: its start or its stop was answered before the poll was sent, or the
 * worker refuses its start as late since then.
 */
static bool cannot_exist(const struct zr_cell_task *entry,
			 const struct poll_call *call)
{
	return entry->visible_after < call->sent_event ||
	       (entry->sent_at && entry->start_expires_at < call->sent_at);
}

/*
 * Handle the active runs that the worker does not list. A start that was not
 * answered may still arrive, so that run is stopped.
 */
static void handle_unlisted_runs(struct zr_cell_scheduler *scheduler,
				 struct zr_cell_worker *worker,
				 const struct zr_cell_poll_reply *reply,
				 const struct poll_call *call)
{
	size_t i = 0;

	while (i < worker->run_count) {
		struct zr_cell_ref ref = worker->runs[i];
		struct zr_cell_job *job =
			zr_cell_job(&scheduler->term.model, ref.job);
		struct zr_cell_task *entry = &job->tasks[ref.task];
		struct zr_cell_task_name name =
			zr_cell_task_name(job, ref.task);

		i++;
		if (entry->state == ZR_TASK_PLACED ||
		    is_listed(reply, &name, entry->attempt))
			continue;
		if (cannot_exist(entry, call)) {
			scheduler->lost->value++;
			zr_cell_crash_run_missing(scheduler, worker, job,
						  ref.task);
			zr_cell_unanswered_settle(
				scheduler, job, ref.task,
				entry->crash_evidence ? ZR_UNANSWERED_LOST
						      : ZR_UNANSWERED_VOIDED);
			zr_cell_run_ended(scheduler, job, ref.task,
					  "not_there");
			i = 0;
		} else if (entry->state == ZR_TASK_UNCONFIRMED &&
			   entry->uncertain_event < call->sent_event) {
			zr_cell_stop_run(scheduler, job, ref.task,
					 "start_unanswered");
		}
	}
}

/*
 * Stop a run that the scheduler does not expect on this worker. Its start was
 * delayed and arrived after the scheduler had given it up.
 */
static void stop_orphaned_run(struct zr_cell_scheduler *scheduler,
			      struct zr_cell_worker *worker,
			      const struct zr_cell_run *run)
{
	scheduler->unanswered_metrics.orphans->value++;
	zr_log_decision("run.orphaned job=%s step=%" PRIu32 " index=%" PRIu32
			" attempt=%" PRIu32 " worker=%s",
			run->task.job, run->task.step, run->task.index,
			run->attempt, worker->report.name);
	zr_cell_stop_orphaned_run(scheduler, worker, &run->task, run->attempt);
}

/*
 * Stop a batch task that makes no progress, so that it resumes on another
 * worker from its checkpoint.
 */
static void check_progress(struct zr_cell_scheduler *scheduler,
			   struct zr_cell_worker *worker,
			   struct zr_cell_job *job, uint32_t task)
{
	struct zr_cell_task *entry = &job->tasks[task];
	const struct zr_cell_step_spec *step =
		zr_cell_task_step(job, task)->spec;
	int64_t now = zr_cell_now_ms(scheduler);

	if (step->flags &
	    (ZR_STEP_GANG | ZR_STEP_LONG_RUNNING | ZR_STEP_BEST_EFFORT))
		return;
	if (scheduler->options.worker_speed)
		zr_cell_speed_run_listed(scheduler, worker, job, task);
	else
		zr_cell_slowdown_add_progress(
			&scheduler->term.model, worker, step->estimate_ms,
			now - entry->started_at, entry->percent, now);
	if (!zr_cell_slowdown_is_stalled(entry, now))
		return;
	zr_cell_task_avoid_worker(scheduler, entry, worker->self,
				  ZR_CELL_AVOID_STOPPED_MS);
	zr_cell_stop_run(scheduler, job, task, "stalled");
}

static void handle_listed_run(struct zr_cell_scheduler *scheduler,
			      struct zr_cell_worker *worker,
			      const struct zr_cell_run *run)
{
	int64_t now = zr_cell_now_ms(scheduler);
	struct zr_cell_task *entry;
	struct zr_cell_job *job;
	uint32_t task;

	job = zr_cell_task_find(&task, &scheduler->term.model, &run->task);
	if (!job || !job->tasks || job->tasks[task].worker != worker->self ||
	    job->tasks[task].attempt != run->attempt ||
	    job->tasks[task].state == ZR_TASK_PLACED) {
		stop_orphaned_run(scheduler, worker, run);
		return;
	}
	entry = &job->tasks[task];
	zr_cell_crash_run_seen(scheduler, worker, job, task);
	zr_cell_unanswered_settle(scheduler, job, task,
				  entry->state == ZR_TASK_STOPPING
					  ? ZR_UNANSWERED_STOPPED
					  : ZR_UNANSWERED_RUNNING);
	job->has_started = true;
	if (zr_cell_run_saved(scheduler, job, task, worker, run->checkpoint))
		entry->saved_percent = (uint8_t)run->percent;
	if (run->percent != entry->percent) {
		entry->percent = run->percent;
		entry->percent_at = now;
	}
	if (entry->state == ZR_TASK_UNCONFIRMED) {
		zr_cell_task_event(entry, ZR_TASK_EVENT_CONFIRMED);
		entry->refused_starts = 0;
		/* Polls in flight may have been answered before the start. */
		entry->visible_after = ++scheduler->event_count;
		entry->started_at = now;
		entry->percent_at = now;
		entry->whole_run = false;
		zr_cell_speed_run_started(scheduler, entry, run->percent);
	}
	if (zr_cell_job_has_ended(job) || entry->finished)
		zr_cell_stop_run(scheduler, job, task, "job_over");
	else if (entry->state == ZR_TASK_RUNNING)
		check_progress(scheduler, worker, job, task);
}

/* Acknowledge the worker's ends only after the job's change is persisted. */
static void add_ack(struct zr_cell_worker *worker,
		    const struct zr_cell_job *job, uint32_t task)
{
	if (worker->ack_count == worker->ack_alloc) {
		worker->ack_alloc =
			worker->ack_alloc ? 2 * worker->ack_alloc : 8;
		worker->acks =
			realloc(worker->acks,
				worker->ack_alloc * sizeof(*worker->acks));
		if (!worker->acks)
			abort();
	}
	worker->acks[worker->ack_count++] =
		(struct zr_cell_ack){job->self, job->change, task};
}

/*
 * Adds what an end has changed. A task that has succeeded in an earlier run is
 * done only once its active run has ended: a later owner would start it again.
 */
static void add_end_ack(const struct zr_cell_scheduler *scheduler,
			struct zr_cell_worker *worker,
			const struct zr_cell_run_end *end)
{
	const struct zr_cell_job *job;
	uint32_t task;

	job = zr_cell_task_find(&task, &scheduler->term.model, &end->task);
	if (job && job->tasks && end->outcome == ZR_RUN_DONE &&
	    !zr_cell_step_is_lasting(zr_cell_task_step(job, task)) &&
	    job->tasks[task].state != ZR_TASK_DONE) {
		add_ack(worker, job, task);
		return;
	}
	job = zr_cell_job_find(&scheduler->term.model, end->task.job);
	if (job && job->change != job->persisted_change)
		add_ack(worker, job, ZR_CELL_ACK_NO_TASK);
}

static void handle_ends(struct zr_cell_scheduler *scheduler,
			struct zr_cell_worker *worker,
			const struct zr_cell_poll_reply *reply)
{
	size_t i;

	for (i = 0; i < reply->end_count; i++) {
		const struct zr_cell_run_end *end = &reply->ends[i];

		if (end->number <= worker->last_end_processed)
			continue;
		worker->last_end_processed = end->number;
		zr_cell_process_end(scheduler, worker, end);
		add_end_ack(scheduler, worker, end);
	}
}

static void confirm_worker(const struct zr_cell_scheduler *scheduler,
			   struct zr_cell_worker *worker,
			   const struct poll_call *call)
{
	if (call->sent_event > worker->confirmed_event)
		worker->confirmed_event = call->sent_event;
	worker->confirmed_at = zr_cell_now_ms(scheduler);
	if (call->incarnation == worker->report.incarnation &&
	    call->last_end_acked > worker->last_ack_delivered)
		worker->last_ack_delivered = call->last_end_acked;
}

/*
 * Applies the incarnation of a reply. Returns false if the reply is to be
 * ignored: the worker has sent it before it restarted.
 */
static bool accept_incarnation(struct zr_cell_scheduler *scheduler,
			       struct zr_cell_worker *worker,
			       int64_t incarnation)
{
	int64_t known = worker->report.incarnation;

	if (!incarnation)
		return true;
	if (incarnation < known && worker->incarnation_confirmed)
		return false;
	if (incarnation > known && known) {
		zr_cell_worker_restarted(scheduler, worker, incarnation);
	} else if (incarnation != known) {
		worker->report.incarnation = incarnation;
		zr_cell_speed_worker_changed(scheduler, worker);
	}
	worker->incarnation_confirmed = true;
	return true;
}

static void handle_poll_reply(struct zr_cell_scheduler *scheduler,
			      struct zr_cell_worker *worker,
			      const struct zr_cell_poll_reply *reply,
			      const struct poll_call *call)
{
	size_t i;

	if (!accept_incarnation(scheduler, worker, reply->incarnation))
		return;
	if (call->sent_event > worker->announced_event)
		worker->announced_event = 0;
	zr_cell_worker_responded(scheduler, worker, reply->clock_ms);
	confirm_worker(scheduler, worker, call);
	if (worker->unanswered_until &&
	    !zr_cell_unanswered_is_worse(&scheduler->term.model, worker)) {
		worker->unanswered_until = 0;
		zr_cell_schedule_plan(scheduler);
	}
	handle_ends(scheduler, worker, reply);
	for (i = 0; i < reply->run_count; i++)
		handle_listed_run(scheduler, worker, &reply->runs[i]);
	zr_cell_speed_poll_done(scheduler, worker);
	/*
	 * If the list of ends is full, a run that is not listed may have ended
	 * instead of being lost.
	 */
	if (reply->end_count < ENDS_MAX)
		handle_unlisted_runs(scheduler, worker, reply, call);
}

/* Poll requests */

static void schedule_next_poll(struct zr_cell_scheduler *scheduler,
			       struct zr_cell_worker *worker)
{
	if (worker->run_count)
		zr_cell_poll_soon(scheduler, worker, 0);
	else if (worker->last_ack_delivered < worker->last_end_processed)
		zr_cell_poll_soon(scheduler, worker, FINAL_POLL_DELAY_MS);
}

static void handle_poll_failure(struct zr_cell_scheduler *scheduler,
				struct zr_cell_worker *worker,
				const char *reason)
{
	if (worker->state == ZR_WORKER_UP || worker->state == ZR_WORKER_LEAVING)
		zr_log_decision("worker.silent worker=%s error=%s runs=%zu",
				worker->report.name, reason, worker->run_count);
	zr_chart_step(&worker->state, zr_charts()->worker,
		      ZR_WORKER_EVENT_UNRESPONSIVE);
	worker->failed_polls++;
	worker->lost_polls++;
	zr_cell_poll_soon(scheduler, worker, POLL_RETRY_MS);
}

static void on_poll_reply(void *ctx, int error,
			  const struct zr_cell_poll_reply *reply)
{
	struct poll_call *call = ctx;
	struct zr_cell_scheduler *scheduler = zr_cell_call_end(&call->base);
	struct zr_cell_worker *worker;

	if (!scheduler)
		goto out;
	worker = zr_cell_worker(&scheduler->term.model, call->worker);
	if (!worker)
		goto out;
	settle_ack(scheduler, worker, call, error);
	if (call->outcomes) {
		worker->outcome_poll_in_flight = false;
		worker->outcome_polls =
			error < 0 ? worker->outcome_polls + 1 : 0;
	}
	if (error < 0)
		zr_cell_worker_set_unconfirmed(
			scheduler, worker,
			zr_cell_now_ms(scheduler) - call->sent_at <
				(int64_t)call->timeout_ms);
	if (call->extra && error < 0)
		goto out;
	if (!call->extra)
		worker->poll_in_flight = false;
	if (error < 0) {
		handle_poll_failure(scheduler, worker, zr_error_name(error));
	} else if (reply->status == ZR_REQUEST_FENCED) {
		zr_owner_step_down(scheduler->owner);
	} else if (reply->status == ZR_REQUEST_WRONG_WORKER) {
		zr_cell_worker_replaced(scheduler, worker);
	} else if (reply->status != ZR_REQUEST_ACCEPTED) {
		zr_log(ZR_LOG_WARN, "poll.refused worker=%s refusal=%d",
		       worker->report.name, reply->status);
		/* A refused poll has not renewed the lease. */
		if (!call->extra)
			handle_poll_failure(scheduler, worker, "refused");
	} else {
		if (!call->extra)
			worker->lost_polls = 0;
		handle_poll_reply(scheduler, worker, reply, call);
		zr_cell_journal_flush(scheduler->journal);
		schedule_next_poll(scheduler, worker);
	}
out:
	free(call);
}

static struct poll_call *new_poll_call(struct zr_cell_scheduler *scheduler,
				       const struct zr_cell_worker *worker)
{
	struct poll_call *call = zr_cell_call_new(scheduler, sizeof(*call));

	call->worker = worker->self;
	call->sent_event = ++scheduler->event_count;
	call->incarnation = worker->report.incarnation;
	call->sent_at = zr_cell_now_ms(scheduler);
	scheduler->polls->value++;
	return call;
}

static void send_poll(struct zr_cell_scheduler *scheduler,
		      struct zr_cell_worker *worker)
{
	struct poll_call *call = new_poll_call(scheduler, worker);
	unsigned int wait_ms = POLL_WAIT_MS;
	int64_t lease_expires_ms = -1;

	worker->poll_sent_at = zr_cell_now_ms(scheduler);
	worker->poll_in_flight = true;
	worker->poll_due_at = ZR_CELL_NEVER;
	/*
	 * Let the leases of an unresponsive worker expire, so that its tasks
	 * can be placed on other workers. Only an answered poll shows which
	 * runs exist.
	 */
	if (worker->clock_ms >= 0 && worker->run_count &&
	    !worker->lease_withheld && !worker->lost_polls &&
	    !zr_cell_worker_unresponsive(worker))
		lease_expires_ms = zr_cell_lease_renew(scheduler, worker);
	/*
	 * Request an immediate reply in the first poll after a takeover, in the
	 * final poll of a worker without runs, while received ends are not
	 * persisted, when the poll only renews the leases, and after a poll
	 * without a response, as leases are renewed once the worker responds.
	 */
	if (worker->state == ZR_WORKER_UNKNOWN || !worker->run_count ||
	    worker->ack_count || worker->lost_polls ||
	    zr_cell_worker_unresponsive(worker))
		wait_ms = 0;
	call->timeout_ms = wait_ms + POLL_TIMEOUT_MARGIN_MS;
	/* Only one poll at a time acknowledges ends. */
	call->last_end_acked = safe_ack(scheduler, worker);
	if (call->last_end_acked)
		worker->late_ack_until = call->sent_at + LATE_POLL_MS;
	worker->conn.ops->poll(worker->conn.impl, scheduler->term.fencing_token,
			       lease_expires_ms, call->last_end_acked, wait_ms,
			       call->timeout_ms, on_poll_reply, call);
}

void zr_cell_poll_extra(struct zr_cell_scheduler *scheduler,
			struct zr_cell_worker *worker)
{
	struct poll_call *call;

	if (!worker->poll_in_flight) {
		zr_cell_poll_soon(scheduler, worker, 0);
		return;
	}
	if (!worker->conn.ops || !zr_cell_is_owner(scheduler))
		return;
	call = new_poll_call(scheduler, worker);
	call->extra = true;
	worker->conn.ops->poll(worker->conn.impl, scheduler->term.fencing_token,
			       -1, call->last_end_acked, 0,
			       POLL_TIMEOUT_MARGIN_MS, on_poll_reply, call);
}

void zr_cell_poll_outcomes(struct zr_cell_scheduler *scheduler,
			   struct zr_cell_worker *worker)
{
	struct poll_call *call;

	if (worker->outcome_poll_in_flight || !worker->conn.ops ||
	    !zr_cell_is_owner(scheduler) ||
	    (worker->outcome_polls &&
	     zr_cell_now_ms(scheduler) - worker->outcome_poll_sent_at <
		     zr_cell_retry_delay_ms(worker->outcome_polls,
					    OUTCOME_POLL_RETRY_MIN_MS,
					    OUTCOME_POLL_RETRY_MAX_MS)))
		return;
	call = new_poll_call(scheduler, worker);
	call->extra = true;
	call->outcomes = true;
	worker->outcome_poll_in_flight = true;
	worker->outcome_poll_sent_at = call->sent_at;
	worker->conn.ops->poll(worker->conn.impl, scheduler->term.fencing_token,
			       -1, call->last_end_acked, 0,
			       OUTCOME_POLL_TIMEOUT_MS, on_poll_reply, call);
}

void zr_cell_polls_process(struct zr_cell_scheduler *scheduler,
			   struct zr_cell_worker *worker)
{
	int64_t now = zr_cell_now_ms(scheduler);

	/*
	 * Only a regular poll shows that a worker has stopped responding, so
	 * one is in flight or due while the worker may have runs.
	 */
	if (worker->poll_due_at == ZR_CELL_NEVER && !worker->poll_in_flight &&
	    zr_cell_worker_needs_poll(scheduler, worker))
		worker->poll_due_at = now;
	if (worker->poll_in_flight || now < worker->poll_due_at ||
	    !worker->conn.ops || !zr_cell_is_owner(scheduler))
		return;
	/* Until the ends are persisted, a poll would only list them again. */
	if (worker->ack_count && now - worker->poll_sent_at < LEASE_RENEWAL_MS)
		return;
	send_poll(scheduler, worker);
}

static bool is_ack_persisted(const struct zr_cell_scheduler *scheduler,
			     struct zr_cell_ack *ack)
{
	const struct zr_cell_job *job =
		zr_cell_job(&scheduler->term.model, ack->job);

	if (job && job->tasks && ack->task != ZR_CELL_ACK_NO_TASK) {
		if (job->tasks[ack->task].state != ZR_TASK_DONE &&
		    !zr_cell_job_has_ended(job))
			return false;
		ack->task = ZR_CELL_ACK_NO_TASK;
		ack->change = job->change;
	}
	return !job || job->persisted_change >= ack->change;
}

static void ack_persisted_ends(struct zr_cell_scheduler *scheduler,
			       struct zr_cell_worker *worker)
{
	size_t pending = 0;
	size_t i;

	for (i = 0; i < worker->ack_count; i++) {
		if (!is_ack_persisted(scheduler, &worker->acks[i]))
			worker->acks[pending++] = worker->acks[i];
	}
	worker->ack_count = pending;
	if (pending)
		return;
	worker->last_end_acked = worker->last_end_processed;
	schedule_next_poll(scheduler, worker);
}

void zr_cell_acks_process(struct zr_cell_scheduler *scheduler)
{
	struct zr_cell_worker *worker;
	struct zr_cell_worker *next;

	HASH_ITER (hh, scheduler->term.model.worker_by_name, worker, next) {
		if (worker->ack_count)
			ack_persisted_ends(scheduler, worker);
		else
			worker->last_end_acked = worker->last_end_processed;
	}
}

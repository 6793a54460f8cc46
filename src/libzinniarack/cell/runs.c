#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cell/plan.h"
#include "zinniarack/errors.h"
#include "zinniarack/log.h"

/* Workers respond within a few milliseconds; a slower one is unresponsive. */
#define REQUEST_TIMEOUT_MS 400
/*
 * Timeout of the first stops of a run whose start had no response in time. A
 * worker that needs longer confirms a later one.
 */
#define EARLY_STOP_TIMEOUT_MS 200
#define EARLY_STOPS 3
/* Time between two stops of a run while none is carried out. */
#define STOP_RETRY_MIN_MS 50
#define STOP_RETRY_MAX_MS 800
/*
 * Time for which a task is not placed again once two of its runs in a row have
 * not begun.
 */
#define REFUSED_RETRY_MIN_MS 50
#define REFUSED_RETRY_MAX_MS 1000
/* Maximum drift of a worker's clock: how much slower than ours it may run. */
#define CLOCK_DRIFT_PERMILLE 25
#define PERMILLE 1000
#define LEASE_MARGIN_MS 50
/*
 * Times for which a worker gets no tasks: after a request that failed or
 * reached another worker, and after a start for which it had no capacity.
 */
#define FAILED_BACKOFF_MS 1000
#define NO_CAPACITY_BACKOFF_MS 300
/*
 * Time for which the next run of a task avoids the worker on which the last one
 * has failed; doubled by each further failure.
 */
#define AVOID_MIN_MS 500
#define AVOID_MAX_MS 2000
/* Consecutive failures, each of another job, that make a worker suspect. */
#define SUSPECT_FAILURES 2
#define SUSPECT_BACKOFF_MS 5000
/*
 * Maximum part of a pool's workers that are suspect at a time. If more of them
 * fail runs, it is the jobs that are at fault.
 */
#define SUSPECT_PERCENT_MAX 50
#define PERCENT 100
/*
 * Members of a gang end as `alone` after 4,000 ms if the others have not begun.
 * Until GANG_JOIN_MS after its placement members may still join its run; if
 * some are not confirmed GANG_GIVE_UP_MS after it, the gang is stopped before
 * that.
 */
#define GANG_JOIN_MS 2500
#define GANG_GIVE_UP_MS 3200

/* A pending start or stop request. */
struct worker_request {
	struct zr_cell_call base;
	zr_handle job;
	zr_handle worker;
	uint32_t task;
	uint32_t attempt;
	int64_t clock_ms; /* the worker's clock as known when it was sent */
};

/* Leases */

void zr_cell_worker_responded(struct zr_cell_scheduler *scheduler,
			      struct zr_cell_worker *worker, int64_t clock_ms)
{
	zr_chart_step(&worker->state, zr_charts()->worker,
		      worker->report.leaving ? ZR_WORKER_EVENT_RESPONDED_LEAVING
					     : ZR_WORKER_EVENT_RESPONDED);
	worker->failed_polls = 0;
	worker->responded_at = zr_cell_now_ms(scheduler);
	if (worker->silent_since != ZR_CELL_NEVER) {
		worker->last_silent_since = worker->silent_since;
		worker->last_silence_broke = worker->silence_broke;
	}
	worker->silent_since = ZR_CELL_NEVER;
	zr_cell_domain_responded(&scheduler->term.model, worker);
	if (clock_ms < 0)
		return;
	worker->clock_ms = clock_ms;
	worker->clock_at = zr_cell_now_ms(scheduler);
}

/*
 * Records a response to a start or a stop. The clock of an incarnation does not
 * go back.
 */
static void record_response(struct zr_cell_scheduler *scheduler,
			    struct zr_cell_worker *worker,
			    const struct worker_request *request,
			    const struct zr_cell_request_reply *reply)
{
	bool restarted =
		reply->clock_ms >= 0 && reply->clock_ms < request->clock_ms;
	int64_t responded_at = worker->responded_at;
	int64_t silent_since = worker->silent_since;

	/* Another worker has responded, which uses the address now. */
	if (reply->status == ZR_REQUEST_WRONG_WORKER) {
		zr_cell_domain_responded(&scheduler->term.model, worker);
		return;
	}
	zr_cell_worker_responded(scheduler, worker, reply->clock_ms);
	if (!restarted)
		return;
	/* The incarnation that crashed has not responded. */
	worker->responded_at = responded_at;
	worker->silent_since = silent_since;
	zr_cell_worker_set_unconfirmed(scheduler, worker, true);
	zr_cell_poll_extra(scheduler, worker);
}

/*
 * Time on our clock by which @span_ms have certainly passed on the clock of a
 * worker since @from.
 */
static int64_t latest_end(int64_t from, int64_t span_ms)
{
	return from + span_ms + span_ms * CLOCK_DRIFT_PERMILLE / PERMILLE +
	       LEASE_MARGIN_MS;
}

static void extend_runs_expiry(const struct zr_cell_scheduler *scheduler,
			       struct zr_cell_worker *worker)
{
	int64_t expires_at = latest_end(
		worker->clock_at, worker->lease_expires_ms - worker->clock_ms);
	int64_t max = latest_end(zr_cell_now_ms(scheduler),
				 scheduler->options.limits.lease_max_ms);

	/*
	 * The clock of a restarted worker starts at zero, so limit the result.
	 */
	if (expires_at > max)
		expires_at = max;
	if (expires_at > worker->runs_expire_at)
		worker->runs_expire_at = expires_at;
}

int64_t zr_cell_lease_renew(struct zr_cell_scheduler *scheduler,
			    struct zr_cell_worker *worker)
{
	int64_t elapsed = zr_cell_now_ms(scheduler) - worker->clock_at;
	int64_t expires_ms =
		worker->clock_ms + elapsed + scheduler->options.limits.lease_ms;

	if (expires_ms > worker->lease_expires_ms)
		worker->lease_expires_ms = expires_ms;
	extend_runs_expiry(scheduler, worker);
	return worker->lease_expires_ms;
}

/* Places no tasks on a worker for @ms. */
static void back_off(struct zr_cell_scheduler *scheduler,
		     struct zr_cell_worker *worker, int64_t ms,
		     const char *reason)
{
	int64_t until = zr_cell_now_ms(scheduler) + ms;

	if (until <= worker->backoff_until)
		return;
	worker->backoff_until = until;
	zr_log_decision("worker.backoff worker=%s ms=%" PRId64 " reason=%s",
			worker->report.name, ms, reason);
}

/*
 * Suspect workers: consecutive failures of different jobs are taken for
 * failures of the worker.
 */

static bool is_suspect(const struct zr_cell_worker *worker, int64_t now)
{
	return worker->failures >= SUSPECT_FAILURES &&
	       worker->backoff_until > now;
}

/* Whether @worker may become suspect beside those of its pool that are. */
static bool may_suspect(const struct zr_cell_scheduler *scheduler,
			const struct zr_cell_worker *worker)
{
	struct zr_cell_worker *other;
	struct zr_cell_worker *next;
	int64_t now = zr_cell_now_ms(scheduler);
	unsigned int suspects = 1;
	unsigned int count = 0;

	HASH_ITER (hh, scheduler->term.model.worker_by_name, other, next) {
		if (strcmp(other->report.pool, worker->report.pool) != 0)
			continue;
		count++;
		suspects += other != worker && is_suspect(other, now);
	}
	return count == 1 || suspects * 100 <= count * SUSPECT_PERCENT_MAX;
}

static void record_failure(struct zr_cell_scheduler *scheduler,
			   struct zr_cell_worker *worker,
			   const struct zr_cell_job *job)
{
	if (worker->last_failed_job == job->self)
		return;
	worker->last_failed_job = job->self;
	if (++worker->failures >= SUSPECT_FAILURES &&
	    may_suspect(scheduler, worker))
		back_off(scheduler, worker, SUSPECT_BACKOFF_MS, "failures");
}

static void record_success(struct zr_cell_worker *worker)
{
	worker->failures = 0;
	worker->last_failed_job = ZR_HANDLE_NONE;
}

/*
 * Workers to avoid. A task goes back to the worker on which its last run has
 * ended after some time: no other may be able to run it.
 */

void zr_cell_task_avoid_worker(const struct zr_cell_scheduler *scheduler,
			       struct zr_cell_task *task, zr_handle worker,
			       int64_t ms)
{
	task->avoided_worker = worker;
	task->avoided_until = zr_cell_now_ms(scheduler) + ms;
}

/* Ends of runs */

/* Number of failed runs of a task, or of its gang. */
static uint32_t failures_of(const struct zr_cell_job *job,
			    const struct zr_cell_step_state *step,
			    uint32_t task)
{
	return zr_cell_step_is_gang(step) ? step->failed_runs
					  : job->tasks[task].failures;
}

/*
 * Members that fail in the same run of a gang have the same attempt. Returns
 * false if the run has been counted already.
 */
static bool count_failure(struct zr_cell_job *job, uint32_t task,
			  uint32_t attempt)
{
	struct zr_cell_step_state *step = zr_cell_task_step(job, task);
	struct zr_cell_task *entry = &job->tasks[task];

	if (attempt <= entry->failed_attempt)
		return false;
	entry->failed_attempt = attempt;
	entry->failures++;
	if (!zr_cell_step_is_gang(step))
		return true;
	if (attempt <= step->failed_attempt)
		return false;
	step->failed_attempt = attempt;
	step->failed_runs++;
	return true;
}

static void fail_job(struct zr_cell_scheduler *scheduler,
		     struct zr_cell_job *job, uint32_t task)
{
	if (zr_cell_job_has_ended(job))
		return;
	job->state = ZR_CELL_JOB_FAILED;
	job->ended_at = zr_cell_wall_ms(scheduler);
	zr_log_decision("job.failed job=%s queue=%s task=%" PRIu32
			" attempt=%" PRIu32 " failures=%" PRIu32
			" failed_runs=%" PRIu32 " attempts=%" PRIu32
			" crashes=%" PRIu32 " possible_crashes=%" PRIu32,
			job->id, job->queue, task, job->tasks[task].attempt,
			job->tasks[task].failures,
			failures_of(job, zr_cell_task_step(job, task), task),
			job->attempts, job->tasks[task].crashes,
			job->tasks[task].possible_crashes);
	zr_cell_job_mark_dirty(&scheduler->term.model, job);
	zr_cell_stop_job(scheduler, job, "job_failed");
}

/*
 * Members that have started wait for the others. A member that waits to be
 * placed can join them only if it was not started before, and if none of them
 * has failed.
 */
bool zr_cell_gang_can_be_completed(const struct zr_cell_scheduler *scheduler,
				   const struct zr_cell_job *job,
				   const struct zr_cell_step_state *step)
{
	uint32_t i;

	if (!step->gang_placed_at || step->gang_stopping ||
	    (step->failed_attempt &&
	     step->failed_attempt == step->gang_attempt) ||
	    zr_cell_job_has_ended(job) ||
	    zr_cell_now_ms(scheduler) - step->gang_placed_at > GANG_JOIN_MS)
		return false;
	for (i = step->first_task; i < step->first_task + step->spec->count;
	     i++) {
		const struct zr_cell_task *task = &job->tasks[i];

		if (task->state == ZR_TASK_WAITING &&
		    (task->started_at || task->finished))
			return false;
	}
	return true;
}

void zr_cell_stop_gang(struct zr_cell_scheduler *scheduler,
		       struct zr_cell_job *job, struct zr_cell_step_state *step,
		       const char *reason)
{
	uint32_t i;

	step->gang_stopping = true;
	for (i = step->first_task; i < step->first_task + step->spec->count;
	     i++)
		zr_cell_stop_run(scheduler, job, i, reason);
}

static bool all_are_running(const struct zr_cell_job *job,
			    const struct zr_cell_step_state *step)
{
	uint32_t i;

	for (i = step->first_task; i < step->first_task + step->spec->count;
	     i++) {
		if (job->tasks[i].state != ZR_TASK_RUNNING)
			return false;
	}
	return true;
}

/* Stops a gang of which some members wait too long for the others. */
static void stop_if_waiting(struct zr_cell_scheduler *scheduler,
			    struct zr_cell_job *job, uint32_t task)
{
	struct zr_cell_step_state *step = zr_cell_task_step(job, task);

	if (!zr_cell_step_is_gang(step) || !step->gang_placed_at ||
	    step->gang_complete || step->gang_stopping ||
	    zr_cell_now_ms(scheduler) - step->gang_placed_at < GANG_GIVE_UP_MS)
		return;
	if (job->tasks[task].finished || all_are_running(job, step))
		step->gang_complete = true;
	else
		zr_cell_stop_gang(scheduler, job, step, "gang_broken");
}

/* Stops the gang if a member is missing and can no longer join its run. */
static void stop_if_incomplete(struct zr_cell_scheduler *scheduler,
			       struct zr_cell_job *job,
			       struct zr_cell_step_state *step)
{
	if (zr_cell_step_is_gang(step) && step->waiting && step->active_tasks &&
	    !zr_cell_gang_can_be_completed(scheduler, job, step))
		zr_cell_stop_gang(scheduler, job, step, "gang_broken");
}

void zr_cell_stop_incomplete_gangs(struct zr_cell_scheduler *scheduler,
				   struct zr_cell_job *job)
{
	uint32_t i;

	for (i = 0; i < job->step_count; i++)
		stop_if_incomplete(scheduler, job, &job->steps[i]);
}

void zr_cell_run_ended(struct zr_cell_scheduler *scheduler,
		       struct zr_cell_job *job, uint32_t task,
		       const char *reason)
{
	struct zr_cell_task *entry = &job->tasks[task];
	struct zr_cell_step_state *step = zr_cell_task_step(job, task);
	const struct zr_cell_worker *worker =
		zr_cell_worker(&scheduler->term.model, entry->worker);
	bool stopped = entry->state == ZR_TASK_STOPPING;
	bool given_up = zr_cell_crash_charge(job, entry);

	/* A run of which nothing shows that it began is not charged. */
	if (entry->started_at)
		zr_cell_past_use_charge(scheduler, job, task);
	entry->placed_at = 0;
	/*
	 * A worker that has stopped a run never accepts the same attempt again.
	 */
	if (zr_cell_step_is_gang(step))
		entry->avoided_worker = entry->worker;
	if (!entry->finished || !worker)
		zr_log_decision("run.ended job=%s task=%" PRIu32
				" attempt=%" PRIu32 " worker=%s reason=%s "
				"failures=%" PRIu32 " failed_runs=%" PRIu32,
				job->id, task, entry->attempt,
				worker ? worker->report.name : "-", reason,
				entry->failures, failures_of(job, step, task));
	zr_cell_task_end_run(&scheduler->term.model, job, task,
			     entry->finished ? ZR_TASK_EVENT_DONE
					     : ZR_TASK_EVENT_GONE);
	zr_cell_job_mark_dirty(&scheduler->term.model, job);
	if (zr_cell_step_is_lasting(step))
		zr_cell_lasting_run_ended(scheduler, step, entry, stopped);
	else if (failures_of(job, step, task) >= job->attempts)
		given_up = true;
	if (given_up && !entry->finished)
		fail_job(scheduler, job, task);
	stop_if_incomplete(scheduler, job, step);
	zr_cell_job_update(&scheduler->term.model, job,
			   zr_cell_now_ms(scheduler),
			   zr_cell_wall_ms(scheduler));
	zr_cell_schedule_plan(scheduler);
}

/* If one member of a gang has succeeded, the gang is finished. */
static void mark_finished(struct zr_cell_job *job, uint32_t task)
{
	const struct zr_cell_step_state *step = zr_cell_task_step(job, task);
	uint32_t i;

	job->tasks[task].finished = true;
	if (!zr_cell_step_is_gang(step))
		return;
	for (i = step->first_task; i < step->first_task + step->spec->count;
	     i++)
		job->tasks[i].finished = true;
}

static const char *const outcome_names[] = {
	[ZR_RUN_DONE] = "done",		 [ZR_RUN_FAILED] = "failed",
	[ZR_RUN_STOPPED] = "stopped",	 [ZR_RUN_LEASE_EXPIRED] = "lapsed",
	[ZR_RUN_GANG_BROKEN] = "broken", [ZR_RUN_GANG_TIMEOUT] = "alone",
};

/* Members that wait to be placed need not run if their gang has finished. */
void zr_cell_gang_finish_waiting(struct zr_cell_model *model,
				 struct zr_cell_job *job,
				 const struct zr_cell_step_state *step)
{
	uint32_t i;

	for (i = step->first_task; i < step->first_task + step->spec->count;
	     i++) {
		if (!job->tasks[i].finished ||
		    job->tasks[i].state != ZR_TASK_WAITING)
			continue;
		zr_cell_task_end_run(model, job, i, ZR_TASK_EVENT_DONE);
		zr_cell_job_mark_dirty(model, job);
	}
}

/* A run that was considered lost has succeeded: a later run is not needed. */
static void handle_late_success(struct zr_cell_scheduler *scheduler,
				struct zr_cell_job *job, uint32_t task)
{
	struct zr_cell_task *entry = &job->tasks[task];

	if (zr_cell_step_is_lasting(zr_cell_task_step(job, task)))
		return;
	mark_finished(job, task);
	zr_log_decision("run.late_end job=%s task=%" PRIu32, job->id, task);
	if (entry->state == ZR_TASK_WAITING)
		zr_cell_run_ended(scheduler, job, task, "done_late");
	else if (entry->state != ZR_TASK_DONE)
		zr_cell_stop_run(scheduler, job, task, "done_late");
	zr_cell_gang_finish_waiting(&scheduler->term.model, job,
				    zr_cell_task_step(job, task));
	zr_cell_job_update(&scheduler->term.model, job,
			   zr_cell_now_ms(scheduler),
			   zr_cell_wall_ms(scheduler));
}

/* Whether a task may still be started, as may a member of its gang. */
static bool may_start(const struct zr_cell_job *job, uint32_t task)
{
	const struct zr_cell_step_state *step = zr_cell_task_step(job, task);
	uint32_t first = zr_cell_step_is_gang(step) ? step->first_task : task;
	uint32_t count = zr_cell_step_least_tasks(step);
	uint32_t i;

	for (i = first; i < first + count; i++) {
		if (job->tasks[i].state == ZR_TASK_WAITING ||
		    job->tasks[i].state == ZR_TASK_PLACED)
			return true;
	}
	return false;
}

/*
 * A run that was considered lost has failed. If that was the last one that the
 * job allows, an active run may go on, but none may start.
 */
static void handle_late_failure(struct zr_cell_scheduler *scheduler,
				struct zr_cell_job *job, uint32_t task,
				uint32_t attempt)
{
	const struct zr_cell_step_state *step = zr_cell_task_step(job, task);

	if (zr_cell_step_is_lasting(step) || job->tasks[task].finished ||
	    zr_cell_job_has_ended(job) || !count_failure(job, task, attempt))
		return;
	zr_log_decision("run.late_failure job=%s task=%" PRIu32
			" attempt=%" PRIu32 " failures=%" PRIu32
			" failed_runs=%" PRIu32,
			job->id, task, attempt, job->tasks[task].failures,
			failures_of(job, step, task));
	zr_cell_job_mark_dirty(&scheduler->term.model, job);
	if (failures_of(job, step, task) < job->attempts ||
	    !may_start(job, task))
		return;
	fail_job(scheduler, job, task);
	zr_cell_job_update(&scheduler->term.model, job,
			   zr_cell_now_ms(scheduler),
			   zr_cell_wall_ms(scheduler));
}

static void record_outcome(struct zr_cell_scheduler *scheduler,
			   struct zr_cell_job *job, uint32_t task,
			   struct zr_cell_worker *worker,
			   enum zr_run_outcome outcome)
{
	struct zr_cell_task *entry = &job->tasks[task];
	int64_t now = zr_cell_now_ms(scheduler);

	if (outcome == ZR_RUN_DONE) {
		record_success(worker);
		/* The time that a long-running task has run says nothing. */
		if (!entry->started_at ||
		    zr_cell_step_is_lasting(zr_cell_task_step(job, task)))
			return;
		zr_histogram_observe(scheduler->run_ms,
				     (double)(now - entry->started_at));
		if (scheduler->options.worker_speed)
			zr_cell_speed_run_done(scheduler, worker, job, task);
		else
			zr_cell_slowdown_add_run(
				&scheduler->term.model, worker,
				zr_cell_task_step(job, task)->spec->estimate_ms,
				now - entry->started_at, now);
		zr_cell_summary_add_run(
			scheduler, job,
			zr_cell_task_step(job, task)->spec->estimate_ms,
			now - entry->started_at);
	} else if (outcome == ZR_RUN_FAILED) {
		if (count_failure(job, task, entry->attempt))
			record_failure(scheduler, worker, job);
		zr_cell_task_avoid_worker(
			scheduler, entry, worker->self,
			zr_cell_retry_delay_ms(entry->failures, AVOID_MIN_MS,
					       AVOID_MAX_MS));
	}
}

bool zr_cell_run_saved(struct zr_cell_scheduler *scheduler,
		       struct zr_cell_job *job, uint32_t task,
		       const struct zr_cell_worker *worker,
		       const char *checkpoint)
{
	struct zr_cell_task *entry = &job->tasks[task];
	int error;

	if (!checkpoint[0] ||
	    !strcmp(zr_cell_task_checkpoint(entry), checkpoint))
		return false;
	error = zr_cell_task_set_checkpoint(entry, checkpoint);
	if (!error)
		return true;
	scheduler->refused_checkpoints->value++;
	if (entry->refused_checkpoint_attempt != entry->attempt)
		zr_log(ZR_LOG_WARN,
		       "checkpoint.refused job=%s task=%" PRIu32
		       " attempt=%" PRIu32 " worker=%s bytes=%zu error=%s",
		       job->id, task, entry->attempt, worker->report.name,
		       strlen(checkpoint), zr_error_name(error));
	entry->refused_checkpoint_attempt = entry->attempt;
	return false;
}

void zr_cell_process_end(struct zr_cell_scheduler *scheduler,
			 struct zr_cell_worker *worker,
			 const struct zr_cell_run_end *end)
{
	struct zr_cell_task *entry;
	struct zr_cell_job *job;
	uint32_t task;

	job = zr_cell_task_find(&task, &scheduler->term.model, &end->task);
	if (!job || !job->tasks)
		return;
	entry = &job->tasks[task];
	if (entry->worker != worker->self || entry->attempt != end->attempt) {
		if (end->outcome == ZR_RUN_DONE)
			handle_late_success(scheduler, job, task);
		else if (end->outcome == ZR_RUN_FAILED)
			handle_late_failure(scheduler, job, task, end->attempt);
		return;
	}
	/* It has ended before its worker can have crashed. */
	entry->crash_evidence = 0;
	zr_cell_past_use_charge(scheduler, job, task);
	zr_cell_unanswered_settle(scheduler, job, task, ZR_UNANSWERED_ENDED);
	zr_cell_run_saved(scheduler, job, task, worker, end->checkpoint);
	record_outcome(scheduler, job, task, worker, end->outcome);
	if (end->outcome == ZR_RUN_DONE &&
	    !zr_cell_step_is_lasting(zr_cell_task_step(job, task))) {
		mark_finished(job, task);
		zr_cell_gang_finish_waiting(&scheduler->term.model, job,
					    zr_cell_task_step(job, task));
	}
	zr_cell_run_ended(scheduler, job, task, outcome_names[end->outcome]);
}

int64_t zr_cell_task_remaining_ms(const struct zr_cell_task *task,
				  uint32_t estimate_ms, int64_t now)
{
	int64_t left = estimate_ms;

	if (task->percent)
		left = (int64_t)estimate_ms *
		       (PERCENT - (int64_t)task->percent) / PERCENT;
	else if (task->started_at)
		left -= now - task->started_at;
	return left > 0 ? left : 0;
}

/* Stops */

/* The task and the worker of a completed request. */
struct request_target {
	struct zr_cell_job *job;
	struct zr_cell_task *task;
	struct zr_cell_worker *worker;
};

/* Returns false if the request was for a run that is no longer active. */
static bool find_target(struct request_target *out,
			const struct zr_cell_scheduler *scheduler,
			const struct worker_request *request)
{
	out->job = zr_cell_job(&scheduler->term.model, request->job);
	out->worker = zr_cell_worker(&scheduler->term.model, request->worker);
	if (!out->job || !out->job->tasks || !out->worker)
		return false;
	out->task = &out->job->tasks[request->task];
	return out->task->attempt == request->attempt &&
	       out->task->worker == request->worker;
}

static void on_stop(void *ctx, int error,
		    const struct zr_cell_request_reply *reply)
{
	struct worker_request *request = ctx;
	struct zr_cell_scheduler *scheduler = zr_cell_call_end(&request->base);
	struct request_target target;

	if (!scheduler || !find_target(&target, scheduler, request) ||
	    target.task->state != ZR_TASK_STOPPING)
		goto out;
	target.task->stop_sent = false;
	if (error < 0) {
		scheduler->unanswered->value++;
		scheduler->unanswered_metrics.stops->value++;
		zr_cell_worker_set_unconfirmed(
			scheduler, target.worker,
			zr_cell_now_ms(scheduler) - target.task->stop_sent_at <
				EARLY_STOP_TIMEOUT_MS);
		goto out;
	}
	record_response(scheduler, target.worker, request, reply);
	if (reply->status == ZR_REQUEST_WRONG_WORKER) {
		zr_cell_worker_replaced(scheduler, target.worker);
		goto out;
	}
	if (reply->status != ZR_REQUEST_ACCEPTED) {
		zr_log(ZR_LOG_WARN,
		       "stop.refused job=%s task=%" PRIu32
		       " worker=%s refusal=%d",
		       target.job->id, request->task,
		       target.worker->report.name, reply->status);
		goto out;
	}
	/*
	 * The worker will refuse the start if it has not arrived yet, so the
	 * next poll shows whether the run exists.
	 */
	target.task->stop_sent = true;
	if (target.task->visible_after == ZR_CELL_START_PENDING)
		target.task->visible_after = ++scheduler->event_count;
	if (target.task->uncertain_event)
		zr_cell_poll_outcomes(scheduler, target.worker);
	else
		zr_cell_poll_extra(scheduler, target.worker);
out:
	free(request);
}

static void on_orphan_stopped(void *ctx, int error,
			      const struct zr_cell_request_reply *reply)
{
	/* If the next poll still lists the run, it is stopped again. */
	(void)error;
	(void)reply;
	zr_cell_call_done(ctx);
}

void zr_cell_stop_orphaned_run(struct zr_cell_scheduler *scheduler,
			       struct zr_cell_worker *worker,
			       const struct zr_cell_task_name *task,
			       uint32_t attempt)
{
	/* Without a connection, a later poll lists the run again. */
	if (!worker->conn.ops || !zr_cell_is_owner(scheduler))
		return;
	scheduler->pending_calls++;
	worker->conn.ops->stop(
		worker->conn.impl, task, attempt, scheduler->term.fencing_token,
		REQUEST_TIMEOUT_MS, on_orphan_stopped, scheduler);
}

static struct worker_request *new_request(struct zr_cell_scheduler *scheduler,
					  const struct zr_cell_job *job,
					  uint32_t task)
{
	struct worker_request *request =
		zr_cell_call_new(scheduler, sizeof(*request));

	request->job = job->self;
	request->task = task;
	request->attempt = job->tasks[task].attempt;
	request->worker = job->tasks[task].worker;
	request->clock_ms =
		zr_cell_worker(&scheduler->term.model, request->worker)
			->clock_ms;
	return request;
}

static void send_stop(struct zr_cell_scheduler *scheduler,
		      struct zr_cell_job *job, uint32_t task)
{
	struct zr_cell_task *entry = &job->tasks[task];
	struct zr_cell_worker *worker =
		zr_cell_worker(&scheduler->term.model, entry->worker);
	struct zr_cell_task_name name = zr_cell_task_name(job, task);
	int64_t now = zr_cell_now_ms(scheduler);
	unsigned int timeout_ms = REQUEST_TIMEOUT_MS;

	if (entry->stop_sent || !worker->conn.ops ||
	    !zr_cell_is_owner(scheduler) ||
	    (entry->stops &&
	     now - entry->stop_sent_at <
		     zr_cell_retry_delay_ms(entry->stops, STOP_RETRY_MIN_MS,
					    STOP_RETRY_MAX_MS)))
		return;
	entry->stop_sent = true;
	entry->stop_sent_at = now;
	if (entry->uncertain_event && entry->stops < EARLY_STOPS)
		timeout_ms = EARLY_STOP_TIMEOUT_MS;
	worker->conn.ops->stop(worker->conn.impl, &name, entry->attempt,
			       scheduler->term.fencing_token, timeout_ms,
			       on_stop, new_request(scheduler, job, task));
	entry->stops++;
}

void zr_cell_stop_run(struct zr_cell_scheduler *scheduler,
		      struct zr_cell_job *job, uint32_t task,
		      const char *reason)
{
	struct zr_cell_task *entry = &job->tasks[task];

	switch (entry->state) {
	case ZR_TASK_PLACED:
		/* The start has not been sent yet. */
		zr_cell_run_ended(scheduler, job, task, reason);
		return;
	case ZR_TASK_STARTING:
	case ZR_TASK_RUNNING:
	case ZR_TASK_UNCONFIRMED:
		zr_log_decision(
			"run.stop job=%s task=%" PRIu32 " attempt=%" PRIu32
			" worker=%s reason=%s",
			job->id, task, entry->attempt,
			zr_cell_worker(&scheduler->term.model, entry->worker)
				->report.name,
			reason);
		zr_cell_task_event(entry, ZR_TASK_EVENT_STOP);
		zr_cell_bound_stop(scheduler, entry);
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
	zr_cell_job_mark_dirty(&scheduler->term.model, job);
	zr_cell_stop_job(scheduler, job, "job_cancelled");
	zr_cell_job_update(&scheduler->term.model, job,
			   zr_cell_now_ms(scheduler),
			   zr_cell_wall_ms(scheduler));
}

void zr_cell_stops_resend(struct zr_cell_scheduler *scheduler,
			  struct zr_cell_worker *worker)
{
	bool polls = false;
	size_t i;

	for (i = 0; i < worker->run_count; i++) {
		struct zr_cell_ref ref = worker->runs[i];
		struct zr_cell_job *job =
			zr_cell_job(&scheduler->term.model, ref.job);

		stop_if_waiting(scheduler, job, ref.task);
		if (job->tasks[ref.task].state == ZR_TASK_STOPPING)
			send_stop(scheduler, job, ref.task);
		polls |= zr_cell_unanswered_needs_poll(scheduler, worker, job,
						       ref.task);
	}
	if (polls)
		zr_cell_poll_outcomes(scheduler, worker);
}

/* Starts */

/* Ends a run whose start the worker has certainly not carried out. */
static void abandon_start(struct zr_cell_scheduler *scheduler,
			  struct zr_cell_job *job, uint32_t task,
			  const char *reason)
{
	struct zr_cell_task *entry = &job->tasks[task];

	scheduler->refused->value++;
	entry->crash_evidence = 0;
	if (++entry->refused_starts > 1)
		entry->retry_at =
			zr_cell_now_ms(scheduler) +
			zr_cell_retry_delay_ms(entry->refused_starts - 1,
					       REFUSED_RETRY_MIN_MS,
					       REFUSED_RETRY_MAX_MS);
	zr_cell_unanswered_settle(scheduler, job, task, ZR_UNANSWERED_ANSWERED);
	zr_cell_run_ended(scheduler, job, task, reason);
}

static void invalidate_ticket(struct zr_cell_job *job, uint32_t task,
			      zr_handle worker)
{
	struct zr_cell_step_state *step = zr_cell_task_step(job, task);

	zr_cell_permission_get_or_add(step, worker)->expires_at = 0;
}

static void handle_start_refusal(struct zr_cell_scheduler *scheduler,
				 struct zr_cell_job *job, uint32_t task,
				 struct zr_cell_worker *worker,
				 enum zr_request_status status)
{
	switch (status) {
	case ZR_REQUEST_FENCED:
		abandon_start(scheduler, job, task, "fenced");
		zr_owner_step_down(scheduler->owner);
		return;
	case ZR_REQUEST_NO_PERMIT:
		invalidate_ticket(job, task, worker->self);
		abandon_start(scheduler, job, task, "no_permit");
		return;
	case ZR_REQUEST_UNHEALTHY:
		back_off(scheduler, worker, FAILED_BACKOFF_MS, "unhealthy");
		abandon_start(scheduler, job, task, "unhealthy");
		return;
	case ZR_REQUEST_WRONG_WORKER:
		back_off(scheduler, worker, FAILED_BACKOFF_MS, "other_life");
		zr_cell_poll_soon(scheduler, worker, 0);
		abandon_start(scheduler, job, task, "other_life");
		return;
	case ZR_REQUEST_NO_CAPACITY:
		back_off(scheduler, worker, NO_CAPACITY_BACKOFF_MS, "no_room");
		zr_cell_poll_soon(scheduler, worker, 0);
		abandon_start(scheduler, job, task, "no_room");
		return;
	case ZR_REQUEST_LEASE_EXPIRED:
		abandon_start(scheduler, job, task, "late");
		return;
	case ZR_REQUEST_SUPERSEDED:
		abandon_start(scheduler, job, task, "superseded");
		return;
	default:
		zr_log(ZR_LOG_ERROR,
		       "start.invalid job=%s task=%" PRIu32 " worker=%s",
		       job->id, task, worker->report.name);
		back_off(scheduler, worker, SUSPECT_BACKOFF_MS, "invalid");
		abandon_start(scheduler, job, task, "invalid");
	}
}

static void handle_start_accepted(struct zr_cell_scheduler *scheduler,
				  struct zr_cell_job *job, uint32_t task,
				  struct zr_cell_worker *worker)
{
	struct zr_cell_task *entry = &job->tasks[task];
	const struct zr_cell_step_state *step = zr_cell_task_step(job, task);
	int64_t now = zr_cell_now_ms(scheduler);

	job->has_started = true;
	entry->visible_after = ++scheduler->event_count;
	zr_cell_unanswered_settle(scheduler, job, task, ZR_UNANSWERED_ANSWERED);
	if (entry->state == ZR_TASK_STOPPING)
		return;
	zr_cell_unanswered_add_answer(&scheduler->term.model, job, task, now);
	zr_cell_task_event(entry, ZR_TASK_EVENT_CONFIRMED);
	entry->refused_starts = 0;
	entry->started_at = now;
	entry->percent_at = now;
	scheduler->evacuation_metrics.moved->value += entry->evacuating;
	entry->evacuating = false;
	zr_cell_speed_run_started(scheduler, entry, 0);
	if (step->ready_at != ZR_CELL_NEVER)
		zr_histogram_observe(scheduler->wait_ms,
				     (double)(now - step->ready_at));
	zr_cell_poll_soon(scheduler, worker, 0);
}

static void handle_start_error(struct zr_cell_scheduler *scheduler,
			       struct zr_cell_job *job, uint32_t task,
			       struct zr_cell_worker *worker, int error)
{
	zr_cell_worker_set_unconfirmed(
		scheduler, worker,
		zr_cell_now_ms(scheduler) - job->tasks[task].sent_at <
			REQUEST_TIMEOUT_MS);
	worker->unanswered_until =
		zr_cell_now_ms(scheduler) + FAILED_BACKOFF_MS;
	if (error == ZR_E_UNREACHABLE || error == ZR_E_FULL ||
	    error == ZR_E_CANCELLED) {
		abandon_start(scheduler, job, task, zr_error_name(error));
		return;
	}
	/* A poll may have shown the run. */
	if (job->tasks[task].state == ZR_TASK_RUNNING)
		return;
	zr_cell_unanswered_set_uncertain(scheduler, &job->tasks[task]);
	zr_log_decision("start.unanswered job=%s task=%" PRIu32
			" attempt=%" PRIu32 " worker=%s error=%s",
			job->id, task, job->tasks[task].attempt,
			worker->report.name, zr_error_name(error));
	zr_cell_poll_outcomes(scheduler, worker);
}

/* Counts a response or its lack, also for a run that is given up by now. */
static void count_start(struct zr_cell_scheduler *scheduler,
			const struct worker_request *request, bool answered)
{
	struct zr_cell_worker *worker =
		zr_cell_worker(&scheduler->term.model, request->worker);

	scheduler->unanswered->value += !answered;
	if (worker)
		zr_cell_unanswered_add_start(&scheduler->term.model, worker,
					     answered);
}

static void on_start(void *ctx, int error,
		     const struct zr_cell_request_reply *reply)
{
	struct worker_request *request = ctx;
	struct zr_cell_scheduler *scheduler = zr_cell_call_end(&request->base);
	struct request_target target;

	if (!scheduler)
		goto out;
	count_start(scheduler, request, !error);
	if (!find_target(&target, scheduler, request))
		goto out;
	if (error < 0) {
		handle_start_error(scheduler, target.job, request->task,
				   target.worker, error);
		goto out;
	}
	record_response(scheduler, target.worker, request, reply);
	if (reply->status == ZR_REQUEST_ACCEPTED)
		handle_start_accepted(scheduler, target.job, request->task,
				      target.worker);
	else
		handle_start_refusal(scheduler, target.job, request->task,
				     target.worker, reply->status);
out:
	free(request);
}

static const char *ticket_of(const struct zr_cell_step_state *step,
			     zr_handle worker)
{
	const struct zr_cell_permission *permission =
		zr_cell_permission_find(step, worker);

	return permission && permission->ticket ? permission->ticket : "";
}

/* A gang resumes from the highest checkpoint of all its members. */
static const char *checkpoint_of(const struct zr_cell_job *job,
				 const struct zr_cell_step_state *step,
				 uint32_t task)
{
	const char *best = zr_cell_task_checkpoint(&job->tasks[task]);
	uint32_t i;

	if (!zr_cell_step_is_gang(step))
		return best;
	for (i = step->first_task; i < step->first_task + step->spec->count;
	     i++) {
		const char *other = zr_cell_task_checkpoint(&job->tasks[i]);

		if (strcmp(other, best) > 0)
			best = other;
	}
	return best;
}

static void send_start(struct zr_cell_scheduler *scheduler,
		       struct zr_cell_job *job, uint32_t task)
{
	struct zr_cell_task *entry = &job->tasks[task];
	const struct zr_cell_step_state *step = zr_cell_task_step(job, task);
	struct zr_cell_worker *worker =
		zr_cell_worker(&scheduler->term.model, entry->worker);
	struct zr_cell_start start = {
		.task = zr_cell_task_name(job, task),
		.attempt = entry->attempt,
		.payload = job->spec.payload,
		.fencing_token = scheduler->term.fencing_token,
		.checkpoint = checkpoint_of(job, step, task),
		.ticket = ticket_of(step, entry->worker),
	};

	if (worker->report.leaving) {
		abandon_start(scheduler, job, task, "worker_leaves");
		return;
	}
	if (!zr_cell_evacuations_allow(scheduler, worker,
				       zr_cell_now_ms(scheduler))) {
		abandon_start(scheduler, job, task, "evacuation");
		return;
	}
	/* Its capacity has shrunk since the task was placed. */
	if (zr_cell_worker_overcommitted(worker)) {
		abandon_start(scheduler, job, task, "capacity_shrunk");
		return;
	}
	/* A start would renew the lease of what else runs there. */
	if (worker->lease_withheld || zr_cell_worker_unresponsive(worker)) {
		abandon_start(scheduler, job, task, "unresponsive");
		return;
	}
	/* Its address has changed since to one that cannot be used. */
	if (!worker->conn.ops) {
		abandon_start(scheduler, job, task, "no_connection");
		return;
	}
	start.lease_expires_ms = zr_cell_lease_renew(scheduler, worker);
	scheduler->starts->value++;
	entry->sent_at = zr_cell_now_ms(scheduler);
	entry->start_expires_at = worker->runs_expire_at;
	entry->whole_run = !start.checkpoint[0];
	zr_cell_task_event(entry, ZR_TASK_EVENT_SENT);
	zr_cell_domain_start_sent(&scheduler->term.model, worker,
				  zr_cell_now_ms(scheduler));
	worker->conn.ops->start(worker->conn.impl, &start, REQUEST_TIMEOUT_MS,
				on_start, new_request(scheduler, job, task));
}

void zr_cell_starts_send_persisted(struct zr_cell_scheduler *scheduler,
				   struct zr_cell_job *job)
{
	uint32_t i;

	if (!job->tasks)
		return;
	if (!zr_cell_is_owner(scheduler) ||
	    !zr_cell_evacuations_known(scheduler)) {
		scheduler->term.starts_deferred = true;
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

	if (!scheduler->term.starts_deferred || !zr_cell_is_owner(scheduler) ||
	    !zr_cell_evacuations_known(scheduler))
		return;
	scheduler->term.starts_deferred = false;
	HASH_ITER (hh, scheduler->term.model.job_by_id, job, next)
		zr_cell_starts_send_persisted(scheduler, job);
}

void zr_cell_place_task(struct zr_cell_scheduler *scheduler,
			struct zr_cell_job *job, uint32_t task,
			struct zr_cell_worker *worker, uint32_t attempt)
{
	struct zr_cell_task *entry = &job->tasks[task];

	zr_cell_unanswered_begin_run(zr_cell_task_step(job, task), attempt);
	zr_cell_task_begin_run(&scheduler->term.model, job, task, worker,
			       ZR_TASK_EVENT_PLACED);
	entry->attempt = attempt;
	zr_cell_job_mark_dirty(&scheduler->term.model, job);
	entry->change = job->change;
	entry->started_at = 0;
	entry->evacuation_logged = 0;
	zr_cell_bound_placement(scheduler, entry);
	if (scheduler->term.model.use.enabled)
		entry->placed_at = zr_cell_now_ms(scheduler);
}

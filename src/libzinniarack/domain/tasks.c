#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "domain/private.h"
#include "zinniarack/errors.h"
#include "zinniarack/log.h"

#define START_RETRY_MS 500
#define REASON_MAX 160
/* Delay of the next pass of the core if the last one hit its work limit. */
#define DECIDE_AGAIN_MS 1
/*
 * Number of calls that fail to reach the worker until the start counts as
 * failed, so that the core can pick another worker.
 */
#define UNREACHABLE_MAX 3

enum decision_kind {
	DECISION_START,
	DECISION_STOP,
	DECISION_JOB_ENDED,
};

/*
 * A decision of the core. The sink only queues decisions, as the core must not
 * be called from its own sink.
 */
struct domain_decision {
	struct domain_decision *next;
	enum decision_kind kind;
	char job_id[ZR_JOB_ID_MAX];
	zr_handle job;
	uint32_t index;
	uint32_t attempt;
	zr_handle worker;
	struct zr_resources size;
	enum zr_sched_stop_reason why;
	enum zr_job_state state;
	char reason[REASON_MAX];
};

/* The sink */

static struct domain_decision *add_decision(struct zr_domain *domain,
					    enum decision_kind kind)
{
	struct domain_decision *decision = calloc(1, sizeof(*decision));

	if (!decision)
		abort();
	decision->kind = kind;
	LL_APPEND(domain->decisions, decision);
	return decision;
}

static void copy_task(struct domain_decision *decision,
		      const struct zr_sched_task *task)
{
	snprintf(decision->job_id, sizeof(decision->job_id), "%s",
		 task->job_id);
	decision->job = task->job;
	decision->index = task->index;
	decision->attempt = task->attempt;
	decision->worker = task->worker;
	decision->size = task->reserved;
}

static void on_start(void *ctx, const struct zr_sched_task *task,
		     const struct zr_job_spec *spec, const char *reason)
{
	struct domain_decision *decision = add_decision(ctx, DECISION_START);

	(void)spec;
	copy_task(decision, task);
	snprintf(decision->reason, REASON_MAX, "%s", reason);
}

static void on_stop(void *ctx, const struct zr_sched_task *task,
		    enum zr_sched_stop_reason why)
{
	struct domain_decision *decision = add_decision(ctx, DECISION_STOP);

	copy_task(decision, task);
	decision->why = why;
}

static void on_job_changed(void *ctx, zr_handle job, const char *job_id,
			   enum zr_job_state state, const char *reason)
{
	struct domain_decision *decision;

	zr_log_decision("job job=%s state=%s reason=\"%s\"", job_id,
			zr_job_state_name(state), reason);
	if (!zr_job_state_is_final(state))
		return;
	decision = add_decision(ctx, DECISION_JOB_ENDED);
	decision->job = job;
	snprintf(decision->job_id, sizeof(decision->job_id), "%s", job_id);
	decision->state = state;
	snprintf(decision->reason, REASON_MAX, "%s", reason);
}

struct zr_sched_sink zr_domain_sink(struct zr_domain *domain)
{
	const struct zr_sched_sink sink = {
		.start = on_start,
		.stop = on_stop,
		.job_changed = on_job_changed,
		.ctx = domain,
	};

	return sink;
}

/* Starting tasks */

/**
 * struct domain_start - the start of a task, until its outcome is known
 * @domain: the domain; NULL once the ownership has ended
 * @number: number of the job
 * @index: index of the task in the job
 * @attempt: number of the attempt
 * @worker: handle of the worker
 * @size: resources reserved for the task
 * @in_flight: whether an append or a call to the worker is in flight
 * @may_have_started: whether the response to a call was lost, so that the task
 *	may run
 * @unreachable_count: number of calls that did not reach the worker
 * @unconfirmed_until: time until which a call whose response was lost may still
 *	start the task
 * @timer: delays the next call
 */
struct domain_start {
	struct domain_start *prev;
	struct domain_start *next;
	struct zr_domain *domain;
	uint64_t number;
	uint32_t index;
	uint32_t attempt;
	zr_handle worker;
	struct zr_resources size;
	bool in_flight;
	bool may_have_started;
	unsigned int unreachable_count;
	struct timespec unconfirmed_until;
	struct zr_timer *timer;
};

static void send_start(struct domain_start *start);

static void format_task_id(char out[ZR_TASK_ID_MAX], const char *job_id,
			   uint32_t index, uint32_t attempt)
{
	snprintf(out, ZR_TASK_ID_MAX, "%s/%" PRIu32 "/%" PRIu32, job_id, index,
		 attempt);
}

static void free_start(struct domain_start *start)
{
	if (start->domain)
		DL_DELETE(start->domain->starts, start);
	zr_timer_free(start->timer);
	free(start);
}

/* A start with a call in flight is freed when the call ends. */
void zr_domain_starts_clear(struct zr_domain *domain)
{
	struct domain_start *start;
	struct domain_start *next;

	DL_FOREACH_SAFE(domain->starts, start, next)
	{
		DL_DELETE(domain->starts, start);
		start->domain = NULL;
		if (!start->in_flight)
			free_start(start);
	}
}

static void on_start_retry(void *ctx)
{
	send_start(ctx);
}

static void retry_start(struct domain_start *start)
{
	zr_timer_start(start->timer, START_RETRY_MS, 0);
}

void zr_domain_task_ended(struct domain_job *job, uint32_t index,
			  uint32_t attempt, enum zr_sched_outcome outcome)
{
	struct zr_domain *domain = job->domain;

	if (job->placements[index].attempt == attempt)
		job->placements[index].worker = ZR_HANDLE_NONE;
	zr_sched_task_ended(domain->sched, job->handle, index, attempt,
			    outcome);
	zr_allotments_task_ended(domain->allotments, job->spec.team);
	zr_domain_decide(domain);
}

static void ignore_result(void *ctx, int error)
{
	(void)ctx;
	(void)error;
}

/*
 * Handles a start that has failed for good: no call can start the task any
 * more. If a call whose response was lost may have started it, an at-most-once
 * task counts as lost, not as not started.
 */
static void start_failed(struct domain_start *start, struct domain_job *job)
{
	zx_task_ended ended = {
		.number = start->number,
		.index = start->index,
		.attempt = start->attempt,
		.outcome = ZR_SCHED_NOT_STARTED,
		.result = "",
	};
	uint32_t index = start->index;
	uint32_t attempt = start->attempt;

	if (job->spec.at_most_once && start->may_have_started)
		ended.outcome = ZR_SCHED_LOST;
	if (job->spec.at_most_once)
		zr_domain_persist_task_end(job, &ended, ignore_result, NULL);
	free_start(start);
	zr_domain_task_ended(job, index, attempt,
			     (enum zr_sched_outcome)ended.outcome);
}

/* The job of a start; NULL if the attempt is not the current one any more. */
static struct domain_job *find_job(const struct domain_start *start)
{
	struct domain_job *job;

	if (!start->domain)
		return NULL;
	job = zr_domain_job_find(start->domain, start->number);
	if (!job || !job->handle ||
	    job->placements[start->index].attempt != start->attempt ||
	    job->placements[start->index].worker != start->worker)
		return NULL;
	return job;
}

static void stop_task(struct zr_domain *domain, const struct domain_job *job,
		      uint32_t index)
{
	const struct domain_placement *placement = &job->placements[index];
	char id[ZR_TASK_ID_MAX];

	format_task_id(id, job->id, index, placement->attempt);
	zr_fleet_stop(domain->fleet, placement->worker, id,
		      placement->stop_mode);
}

static void mark_unconfirmed(struct domain_start *start)
{
	const struct zr_clock *clock = start->domain->options.clock;

	start->may_have_started = true;
	start->unconfirmed_until =
		zr_time_add_ms(zr_clock_now(clock),
			       ZR_FLEET_LEASE_MS + ZR_FLEET_CLOCK_MARGIN_MS);
}

/*
 * Whether to send the start again. While an earlier call may still arrive at
 * the worker, a rejection does not show that the task won't run.
 */
static bool must_retry(struct domain_start *start, int error)
{
	const struct zr_clock *clock = start->domain->options.clock;

	if (error == ZR_E_OUTCOME_UNKNOWN) {
		mark_unconfirmed(start);
		return true;
	}
	if (error == ZR_E_NOT_OWNER)
		return true;
	if (error == ZR_E_UNREACHABLE &&
	    ++start->unreachable_count < UNREACHABLE_MAX)
		return true;
	return start->may_have_started &&
	       zr_time_cmp(zr_clock_now(clock), start->unconfirmed_until) < 0;
}

static void on_start_response(void *ctx, int error)
{
	struct domain_start *start = ctx;
	struct domain_job *job = find_job(start);

	start->in_flight = false;
	if (!job || error == ZR_E_CANCELLED) {
		free_start(start);
		return;
	}
	if (!error) {
		if (job->placements[start->index].stop_requested)
			stop_task(start->domain, job, start->index);
		free_start(start);
		return;
	}
	if (error == ZR_E_FENCED) {
		zr_owner_step_down(start->domain->owner);
		free_start(start);
		return;
	}
	zr_log_decision("start.failed task=%s/%u/%u error=%s", job->id,
			start->index, start->attempt, zr_error_name(error));
	if (must_retry(start, error))
		retry_start(start);
	else
		start_failed(start, job);
}

static void send_start(struct domain_start *start)
{
	struct domain_job *job = find_job(start);
	char id[ZR_TASK_ID_MAX];
	struct zr_worker_start message = {0};

	if (!job) {
		free_start(start);
		return;
	}
	/* The core stopped the task before any call could start it. */
	if (job->placements[start->index].stop_requested &&
	    !start->may_have_started) {
		start_failed(start, job);
		return;
	}
	format_task_id(id, job->id, start->index, start->attempt);
	message.id = id;
	message.size = start->size;
	message.service =
		job->spec.kind == ZR_JOB_SERVICE ? job->spec.name : "";
	message.command = job->spec.command;
	start->in_flight = true;
	zr_fleet_start(start->domain->fleet, start->worker, &message,
		       on_start_response, start);
}

static void on_start_persisted(void *ctx, int error)
{
	struct domain_start *start = ctx;
	struct domain_job *job = find_job(start);

	start->in_flight = false;
	if (error < 0 || !job) {
		free_start(start);
		return;
	}
	job->start_recorded = true;
	send_start(start);
}

static void persist_intent(struct domain_start *start)
{
	zx_record record = {.kind = ZX_RECORD_INTENT};
	zx_intent *intent = &record.zx_record_u.intent;

	intent->number = start->number;
	intent->index = start->index;
	intent->attempt = start->attempt;
	start->in_flight = true;
	zr_domain_persist(start->domain, &record, on_start_persisted, start);
}

static void persist_begun(struct domain_start *start)
{
	zx_record record = {.kind = ZX_RECORD_BEGUN};

	record.zx_record_u.begun.number = start->number;
	start->in_flight = true;
	zr_domain_persist(start->domain, &record, on_start_persisted, start);
}

static struct domain_start *add_start(struct zr_domain *domain,
				      const struct domain_job *job,
				      const struct domain_decision *decision)
{
	struct domain_start *start = calloc(1, sizeof(*start));

	if (!start)
		abort();
	start->domain = domain;
	start->number = job->number;
	start->index = decision->index;
	start->attempt = decision->attempt;
	start->worker = decision->worker;
	start->size = decision->size;
	start->timer =
		zr_timer_new(domain->options.timers, on_start_retry, start);
	DL_APPEND(domain->starts, start);
	return start;
}

static void set_placement(struct domain_job *job,
			  const struct domain_decision *decision)
{
	struct domain_placement *placement = &job->placements[decision->index];

	placement->attempt = decision->attempt;
	placement->worker = decision->worker;
	placement->ended = false;
	placement->succeeded = false;
	placement->stop_requested = false;
}

static void apply_start(struct zr_domain *domain, struct domain_job *job,
			const struct domain_decision *decision)
{
	const struct zr_host *host =
		zr_fleet_host(domain->fleet, decision->worker);
	struct domain_start *start = add_start(domain, job, decision);

	zr_log_decision("place task=%s/%u/%u worker=%s reason=\"%s\"", job->id,
			decision->index, decision->attempt,
			host ? host->name : "gone", decision->reason);
	domain->starts_sent->value++;
	set_placement(job, decision);
	zr_domain_job_mark_sent(job);
	if (job->spec.at_most_once)
		persist_intent(start);
	else if (!job->start_recorded)
		persist_begun(start);
	else
		send_start(start);
}

/* Stopping tasks */

static enum zr_worker_stop_mode stop_mode(enum zr_sched_stop_reason why)
{
	switch (why) {
	case ZR_SCHED_STOP_PREEMPTED:
	case ZR_SCHED_STOP_OVERCOMMIT:
	case ZR_SCHED_STOP_DRAINED:
		return ZR_WORKER_CHECKPOINT;
	case ZR_SCHED_STOP_THROTTLE:
		return ZR_WORKER_THROTTLE;
	default:
		return ZR_WORKER_STOP;
	}
}

static void apply_stop(struct zr_domain *domain, struct domain_job *job,
		       const struct domain_decision *decision)
{
	struct domain_placement *placement = &job->placements[decision->index];
	char id[ZR_TASK_ID_MAX];

	format_task_id(id, decision->job_id, decision->index,
		       decision->attempt);
	if (placement->attempt == decision->attempt &&
	    decision->why != ZR_SCHED_STOP_THROTTLE) {
		placement->stop_requested = true;
		placement->stop_mode = stop_mode(decision->why);
	}
	zr_log_decision("stop task=%s reason=%s", id,
			zr_sched_stop_reason_name(decision->why));
	zr_fleet_stop(domain->fleet, decision->worker, id,
		      stop_mode(decision->why));
}

/* Applying decisions */

static void apply_decision(struct zr_domain *domain,
			   const struct domain_decision *decision)
{
	struct domain_job *job =
		zr_domain_job_find_by_id(domain, decision->job_id);

	if (!job)
		return;
	switch (decision->kind) {
	case DECISION_START:
		apply_start(domain, job, decision);
		break;
	case DECISION_STOP:
		apply_stop(domain, job, decision);
		break;
	case DECISION_JOB_ENDED:
		zr_domain_job_set_final(job, decision->state, decision->reason);
		break;
	}
}

void zr_domain_apply_decisions(struct zr_domain *domain)
{
	struct domain_decision *decision;

	while (domain->decisions) {
		decision = domain->decisions;
		LL_DELETE(domain->decisions, decision);
		apply_decision(domain, decision);
		free(decision);
	}
}

void zr_domain_decide(struct zr_domain *domain)
{
	zr_sched_decide(domain->sched, UINT32_MAX);
	zr_domain_apply_decisions(domain);
	if (domain->sched && zr_sched_has_more(domain->sched))
		zr_timer_start(domain->decide_timer, DECIDE_AGAIN_MS, 0);
}

void zr_domain_decisions_clear(struct zr_domain *domain)
{
	struct domain_decision *decision;

	while (domain->decisions) {
		decision = domain->decisions;
		LL_DELETE(domain->decisions, decision);
		free(decision);
	}
}

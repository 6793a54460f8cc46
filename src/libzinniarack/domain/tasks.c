#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "domain/private.h"
#include "zinniarack/errors.h"
#include "zinniarack/log.h"

#define START_RETRY_MS 500

enum decision_kind {
	DECISION_START,
	DECISION_STOP,
	DECISION_FINAL,
};

/* What the core decided, until it has returned and may be called again. */
struct domain_decision {
	struct domain_decision *next;
	enum decision_kind kind;
	char job_id[ZR_JOB_ID_MAX];
	zr_handle job;
	uint32_t index;
	uint32_t attempt;
	zr_handle worker;
	struct zr_resources size;
	enum zr_sched_stop why;
	enum zr_job_state state;
	const char *reason;
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
	decision->reason = reason;
}

static void on_stop(void *ctx, const struct zr_sched_task *task,
		    enum zr_sched_stop why)
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
	if (!zr_job_state_final(state))
		return;
	decision = add_decision(ctx, DECISION_FINAL);
	decision->job = job;
	snprintf(decision->job_id, sizeof(decision->job_id), "%s", job_id);
	decision->state = state;
	decision->reason = reason;
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

struct start {
	struct zr_domain *domain;
	uint64_t epoch;
	uint64_t number;
	uint32_t index;
	uint32_t attempt;
	zr_handle worker;
	struct zr_resources size;
	struct zr_timer *timer;
};

static void send_start(struct start *start);

static void format_task_id(char out[ZR_TASK_ID_MAX], const char *job_id,
			   uint32_t index, uint32_t attempt)
{
	snprintf(out, ZR_TASK_ID_MAX, "%s/%" PRIu32 "/%" PRIu32, job_id, index,
		 attempt);
}

static void end_start(struct start *start)
{
	zr_timer_free(start->timer);
	free(start);
}

static void on_start_retry(void *ctx)
{
	send_start(ctx);
}

static void end_task(struct domain_job *job, uint32_t index, uint32_t attempt,
		     enum zr_sched_outcome outcome)
{
	struct zr_domain *domain = job->domain;

	if (job->placements[index].attempt == attempt)
		job->placements[index].worker = ZR_HANDLE_NONE;
	zr_sched_task_ended(domain->sched, job->handle, index, attempt,
			    outcome);
	zr_sched_decide(domain->sched, UINT32_MAX);
	zr_domain_drain(domain);
}

static struct domain_job *job_of(const struct start *start)
{
	if (start->domain->epoch != start->epoch)
		return NULL;
	return zr_domain_job_find(start->domain, start->number);
}

static void on_started(void *ctx, int error)
{
	struct start *start = ctx;
	struct domain_job *job = job_of(start);

	if (!job || !error) {
		end_start(start);
		return;
	}
	if (error == ZR_E_OUTCOME_UNKNOWN) {
		/* The task's id lets the worker see a repeated start. */
		zr_timer_start(start->timer, START_RETRY_MS, 0);
		return;
	}
	zr_log_decision("start.refused task=%s/%u/%u error=%s", job->id,
			start->index, start->attempt, zr_error_name(error));
	if (error == ZR_E_FENCED)
		zr_owner_give_up(start->domain->owner);
	else
		end_task(job, start->index, start->attempt,
			 ZR_SCHED_NOT_STARTED);
	end_start(start);
}

static void send_start(struct start *start)
{
	struct domain_job *job = job_of(start);
	char id[ZR_TASK_ID_MAX];
	struct zr_worker_start message = {0};

	if (!job || job->placements[start->index].worker != start->worker) {
		end_start(start);
		return;
	}
	format_task_id(id, job->id, start->index, start->attempt);
	message.id = id;
	message.size = start->size;
	message.service =
		job->spec.kind == ZR_JOB_SERVICE ? job->spec.name : "";
	message.command = job->spec.command;
	zr_fleet_start(start->domain->fleet, start->worker, &message,
		       on_started, start);
}

static void on_intent_kept(void *ctx, int error)
{
	if (error < 0)
		end_start(ctx);
	else
		send_start(ctx);
}

static void keep_intent(struct start *start)
{
	zx_record record = {.kind = ZX_RECORD_INTENT};
	zx_intent *intent = &record.zx_record_u.intent;

	intent->number = start->number;
	intent->index = start->index;
	intent->attempt = start->attempt;
	zr_domain_keep(start->domain, &record, on_intent_kept, start);
}

static void carry_out_start(struct zr_domain *domain, struct domain_job *job,
			    const struct domain_decision *decision)
{
	const struct zr_host *host =
		zr_fleet_host(domain->fleet, decision->worker);
	struct domain_placement *placement = &job->placements[decision->index];
	struct start *start = calloc(1, sizeof(*start));

	if (!start)
		abort();
	zr_log_decision("place task=%s/%u/%u worker=%s reason=\"%s\"", job->id,
			decision->index, decision->attempt,
			host ? host->name : "gone", decision->reason);
	domain->starts->value++;
	placement->attempt = decision->attempt;
	placement->worker = decision->worker;
	start->domain = domain;
	start->epoch = domain->epoch;
	start->number = job->number;
	start->index = decision->index;
	start->attempt = decision->attempt;
	start->worker = decision->worker;
	start->size = decision->size;
	start->timer =
		zr_timer_new(domain->options.timers, on_start_retry, start);
	if (job->spec.at_most_once)
		keep_intent(start);
	else
		send_start(start);
}

/* Stopping tasks */

static enum zr_worker_stop_mode mode_of(enum zr_sched_stop why)
{
	switch (why) {
	case ZR_SCHED_STOP_PREEMPTED:
	case ZR_SCHED_STOP_RELIEF:
	case ZR_SCHED_STOP_DRAINED:
		return ZR_WORKER_CHECKPOINT;
	case ZR_SCHED_STOP_THROTTLE:
		return ZR_WORKER_THROTTLE;
	default:
		return ZR_WORKER_STOP;
	}
}

static void carry_out_stop(struct zr_domain *domain,
			   const struct domain_decision *decision)
{
	char id[ZR_TASK_ID_MAX];

	format_task_id(id, decision->job_id, decision->index,
		       decision->attempt);
	zr_log_decision("stop task=%s reason=%s", id,
			zr_sched_stop_name(decision->why));
	zr_fleet_stop(domain->fleet, decision->worker, id,
		      mode_of(decision->why));
}

/* Carrying out */

static struct domain_job *find_by_id(const struct zr_domain *domain,
				     const char *id)
{
	const char *numbers = id + strlen(domain->name) + 1;
	char *end;
	uint64_t epoch = strtoull(numbers, &end, 10);

	return zr_domain_job_find(domain,
				  epoch << 32 | strtoull(end + 1, NULL, 10));
}

static void carry_out(struct zr_domain *domain,
		      const struct domain_decision *decision)
{
	struct domain_job *job = find_by_id(domain, decision->job_id);

	if (!job)
		return;
	switch (decision->kind) {
	case DECISION_START:
		carry_out_start(domain, job, decision);
		break;
	case DECISION_STOP:
		carry_out_stop(domain, decision);
		break;
	case DECISION_FINAL:
		zr_domain_job_final(job, decision->state, decision->reason);
		break;
	}
}

void zr_domain_drain(struct zr_domain *domain)
{
	struct domain_decision *decision;

	while (domain->decisions) {
		decision = domain->decisions;
		LL_DELETE(domain->decisions, decision);
		carry_out(domain, decision);
		free(decision);
	}
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

/* Reports of workers */

struct task_ref {
	struct domain_job *job;
	uint32_t index;
	uint32_t attempt;
};

static bool parse_task_id(struct task_ref *out, const struct zr_domain *domain,
			  const char *id)
{
	const char *slash = strchr(id, '/');
	size_t length = strlen(domain->name);
	char *end;

	if (!slash || strncmp(id, domain->name, length) || id[length] != '-')
		return false;
	out->job = find_by_id(domain, id);
	out->index = (uint32_t)strtoul(slash + 1, &end, 10);
	if (*end != '/')
		return false;
	out->attempt = (uint32_t)strtoul(end + 1, NULL, 10);
	return out->job && out->index < out->job->spec.tasks;
}

static void take_running(struct zr_domain *domain, zr_handle worker,
			 const struct zr_worker_task *task)
{
	struct domain_placement *placement;
	struct task_ref ref;

	if (!parse_task_id(&ref, domain, task->id) || !ref.job->handle) {
		zr_fleet_stop(domain->fleet, worker, task->id, ZR_WORKER_STOP);
		return;
	}
	placement = &ref.job->placements[ref.index];
	if (placement->worker == worker && placement->attempt == ref.attempt) {
		zr_sched_task_usage(domain->sched, ref.job->handle, ref.index,
				    ref.attempt, &task->used,
				    zr_clock_now(domain->options.clock));
		return;
	}
	if (zr_sched_task_adopt(domain->sched, ref.job->handle, ref.index,
				ref.attempt, worker) < 0) {
		zr_fleet_stop(domain->fleet, worker, task->id, ZR_WORKER_STOP);
		return;
	}
	placement->worker = worker;
	placement->attempt = ref.attempt;
	placement->intent = false;
}

struct end_kept {
	struct zr_domain *domain;
	zr_handle worker;
	uint64_t sequence;
};

static void on_end_kept(void *ctx, int error)
{
	struct end_kept *kept = ctx;

	if (!error)
		zr_fleet_acknowledge(kept->domain->fleet, kept->worker,
				     kept->sequence);
	free(kept);
}

static void keep_end(struct zr_domain *domain, zr_handle worker,
		     const struct zr_worker_end *end,
		     const struct task_ref *ref, enum zr_sched_outcome outcome)
{
	zx_record record = {.kind = ZX_RECORD_TASK_ENDED};
	zx_task_ended *ended = &record.zx_record_u.task_ended;
	struct end_kept *kept = calloc(1, sizeof(*kept));

	if (!kept)
		abort();
	kept->domain = domain;
	kept->worker = worker;
	kept->sequence = end->sequence;
	ended->number = ref->job->number;
	ended->index = ref->index;
	ended->attempt = ref->attempt;
	ended->outcome = outcome;
	ended->result = end->result ? end->result : "";
	zr_domain_keep(domain, &record, on_end_kept, kept);
}

static enum zr_sched_outcome outcome_of(const struct zr_worker_end *end)
{
	if (end->succeeded)
		return ZR_SCHED_SUCCEEDED;
	return end->stopped ? ZR_SCHED_STOPPED : ZR_SCHED_FAILED;
}

static void take_end(struct zr_domain *domain, zr_handle worker,
		     const struct zr_worker_end *end)
{
	enum zr_sched_outcome outcome = outcome_of(end);
	struct domain_placement *placement;
	struct task_ref ref;

	if (!parse_task_id(&ref, domain, end->id) || !ref.job->handle) {
		zr_fleet_acknowledge(domain->fleet, worker, end->sequence);
		return;
	}
	placement = &ref.job->placements[ref.index];
	if (placement->attempt > ref.attempt ||
	    (placement->attempt == ref.attempt && !placement->worker &&
	     !placement->intent))
		return; /* told before, and not yet kept */
	if (placement->worker == ZR_HANDLE_NONE)
		zr_sched_task_adopt(domain->sched, ref.job->handle, ref.index,
				    ref.attempt, worker);
	placement->attempt = ref.attempt;
	placement->intent = false;
	if (end->result && *end->result) {
		free(ref.job->result);
		ref.job->result = strdup(end->result);
	}
	keep_end(domain, worker, end, &ref, outcome);
	end_task(ref.job, ref.index, ref.attempt, outcome);
}

void zr_domain_report(void *ctx, zr_handle worker,
		      const struct zr_worker_report *report)
{
	struct zr_domain *domain = ctx;
	size_t i;

	for (i = 0; i < report->task_count; i++)
		take_running(domain, worker, &report->tasks[i]);
	for (i = 0; i < report->end_count; i++)
		take_end(domain, worker, &report->ends[i]);
	zr_domain_drain(domain);
}

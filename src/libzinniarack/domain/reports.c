#include <stdlib.h>
#include <string.h>

#include "domain/private.h"
#include "zinniarack/errors.h"
#include "zinniarack/log.h"

/* The attempt that a task id names. */
struct task_ref {
	struct domain_job *job;
	uint32_t index;
	uint32_t attempt;
};

static bool parse_task_id(struct task_ref *out, const struct zr_domain *domain,
			  const char *id)
{
	const char *slash = strchr(id, '/');
	char job_id[ZR_JOB_ID_MAX] = "";
	char *end;

	if (!slash || slash - id >= ZR_JOB_ID_MAX)
		return false;
	memcpy(job_id, id, (size_t)(slash - id));
	out->job = zr_domain_job_find_by_id(domain, job_id);
	out->index = (uint32_t)strtoul(slash + 1, &end, 10);
	if (*end != '/')
		return false;
	out->attempt = (uint32_t)strtoul(end + 1, NULL, 10);
	return out->job && out->index < out->job->spec.tasks;
}

static void handle_running_task(struct zr_domain *domain, zr_handle worker,
				const struct zr_worker_task *task)
{
	struct domain_placement *placement;
	struct task_ref ref;

	/* Stop tasks of jobs that are unknown or have ended. */
	if (!parse_task_id(&ref, domain, task->id) || !ref.job->handle) {
		zr_fleet_stop(domain->fleet, worker, task->id, ZR_WORKER_STOP);
		return;
	}
	placement = &ref.job->placements[ref.index];
	if (placement->worker == worker && placement->attempt == ref.attempt) {
		zr_sched_task_report_usage(domain->sched, ref.job->handle,
					   ref.index, ref.attempt, &task->used,
					   zr_clock_now(domain->options.clock));
		/* The earlier stop was lost, or arrived before the start. */
		if (placement->stop_requested)
			zr_fleet_stop(domain->fleet, worker, task->id,
				      placement->stop_mode);
		return;
	}
	if (zr_sched_task_adopt(domain->sched, ref.job->handle, ref.index,
				ref.attempt, worker) < 0) {
		zr_fleet_stop(domain->fleet, worker, task->id, ZR_WORKER_STOP);
		return;
	}
	zr_log_decision("adopt task=%s", task->id);
	placement->worker = worker;
	placement->attempt = ref.attempt;
	placement->intent_pending = false;
	placement->ended = false;
	placement->succeeded = false;
}

/* Context of the end of a task that is being persisted. */
struct end_append {
	struct zr_domain *domain;
	zr_handle worker;
	uint64_t sequence;
};

static void on_end_persisted(void *ctx, int error)
{
	struct end_append *append = ctx;

	if (!error)
		zr_fleet_acknowledge(append->domain->fleet, append->worker,
				     append->sequence);
	free(append);
}

void zr_domain_persist_task_end(struct domain_job *job,
				const zx_task_ended *ended,
				zr_journal_done_fn done, void *ctx)
{
	zx_record record = {.kind = ZX_RECORD_TASK_ENDED};

	record.zx_record_u.task_ended = *ended;
	zr_domain_persist(job->domain, &record, done, ctx);
}

static void persist_end(struct zr_domain *domain, zr_handle worker,
			const struct zr_worker_end *end,
			const struct task_ref *ref,
			enum zr_sched_outcome outcome)
{
	struct end_append *append = calloc(1, sizeof(*append));
	char result[ZX_RESULT_MAX + 1] = "";
	const zx_task_ended ended = {
		.number = ref->job->number,
		.index = ref->index,
		.attempt = ref->attempt,
		.outcome = outcome,
		.result = result,
	};

	if (!append)
		abort();
	append->domain = domain;
	append->worker = worker;
	append->sequence = end->sequence;
	if (end->result)
		strncpy(result, end->result, ZX_RESULT_MAX);
	zr_domain_persist_task_end(ref->job, &ended, on_end_persisted, append);
}

static enum zr_sched_outcome outcome_of(const struct zr_worker_end *end)
{
	if (end->succeeded)
		return ZR_SCHED_SUCCEEDED;
	return end->stopped ? ZR_SCHED_STOPPED : ZR_SCHED_FAILED;
}

static void handle_end(struct zr_domain *domain, zr_handle worker,
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
	/* A later attempt has superseded the one that ended. */
	if (placement->attempt > ref.attempt) {
		zr_fleet_acknowledge(domain->fleet, worker, end->sequence);
		return;
	}
	persist_end(domain, worker, end, &ref, outcome);
	if (placement->attempt == ref.attempt && placement->ended)
		return;
	if (placement->worker == ZR_HANDLE_NONE)
		zr_sched_task_adopt(domain->sched, ref.job->handle, ref.index,
				    ref.attempt, worker);
	placement->attempt = ref.attempt;
	placement->intent_pending = false;
	placement->ended = true;
	placement->succeeded = end->succeeded;
	if (end->result)
		zr_domain_job_set_result(ref.job, ref.index, end->result);
	zr_domain_task_ended(ref.job, ref.index, ref.attempt, outcome);
}

void zr_domain_on_report(void *ctx, zr_handle worker,
			 const struct zr_worker_report *report)
{
	struct zr_domain *domain = ctx;
	size_t i;

	for (i = 0; i < report->task_count; i++)
		handle_running_task(domain, worker, &report->tasks[i]);
	for (i = 0; i < report->end_count; i++)
		handle_end(domain, worker, &report->ends[i]);
	if (domain->recovering && zr_fleet_reconciled(domain->fleet))
		zr_domain_check_recovery(domain);
	zr_domain_decide(domain);
}

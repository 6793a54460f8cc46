#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "domain/convert.h"
#include "domain/private.h"
#include "zinniarack/errors.h"
#include "zinniarack/log.h"

/* Workers that are recorded in the journal */

static struct domain_worker *find_worker(const struct zr_domain *domain,
					 const char *name)
{
	struct domain_worker *worker;

	HASH_FIND_STR(domain->workers, name, worker);
	return worker;
}

static struct domain_worker *add_worker(struct zr_domain *domain,
					const char *name, bool persisted)
{
	struct domain_worker *worker = calloc(1, sizeof(*worker));

	if (!worker)
		abort();
	snprintf(worker->name, sizeof(worker->name), "%s", name);
	worker->persisted = persisted;
	HASH_ADD_STR(domain->workers, name, worker);
	return worker;
}

static void remove_worker(struct zr_domain *domain,
			  struct domain_worker *worker)
{
	HASH_DEL(domain->workers, worker);
	free(worker);
}

void zr_domain_workers_clear(struct zr_domain *domain)
{
	while (domain->workers)
		remove_worker(domain, domain->workers);
}

/* Context of a worker record that is being persisted. */
struct worker_append {
	struct zr_domain *domain;
	char name[ZR_NAME_MAX];
};

static void on_worker_persisted(void *ctx, int error)
{
	struct worker_append *append = ctx;
	struct domain_worker *worker = NULL;

	if (!error)
		worker = find_worker(append->domain, append->name);
	if (worker)
		worker->persisted = true;
	free(append);
}

static void persist_worker(struct zr_domain *domain, const struct zr_host *host,
			   bool gone)
{
	struct worker_append *append = calloc(1, sizeof(*append));
	zx_record record = {.kind = ZX_RECORD_WORKER};
	zx_worker_record *worker = &record.zx_record_u.worker;

	if (!append)
		abort();
	append->domain = domain;
	snprintf(append->name, sizeof(append->name), "%s", host->name);
	worker->name = (char *)host->name;
	worker->rack = (char *)host->rack;
	worker->address = (char *)host->address;
	zr_convert_resources_to_xdr(&worker->capacity, &host->capacity);
	worker->slots = host->slots;
	worker->gone = gone;
	zr_domain_persist(domain, &record, on_worker_persisted, append);
}

zr_handle zr_domain_on_worker_up(void *ctx, const struct zr_host *host)
{
	const struct zr_sched_worker added = {
		.name = host->name,
		.rack = host->rack,
		.capacity = host->capacity,
	};
	struct zr_domain *domain = ctx;
	struct domain_worker *worker = find_worker(domain, host->name);
	zr_handle handle;

	if (!worker) {
		add_worker(domain, host->name, false);
		persist_worker(domain, host, false);
		return ZR_HANDLE_NONE;
	}
	/*
	 * No task may run on the worker before its record is persisted, since
	 * the next owner waits only for the reports of recorded workers.
	 */
	if (!worker->persisted)
		return ZR_HANDLE_NONE;
	if (zr_sched_worker_add(&handle, domain->sched, &added) < 0)
		return ZR_HANDLE_NONE;
	zr_log(ZR_LOG_INFO, "worker.up worker=%s", host->name);
	return handle;
}

void zr_domain_on_worker_gone(void *ctx, const char *name)
{
	struct zr_domain *domain = ctx;
	struct domain_worker *worker = find_worker(domain, name);
	struct zr_host host = {.kind = ZR_HOST_WORKER};

	if (!worker)
		return;
	snprintf(host.name, sizeof(host.name), "%s", name);
	remove_worker(domain, worker);
	persist_worker(domain, &host, true);
}

/* Replaying the journal */

static void replay_worker(struct zr_domain *domain,
			  const zx_worker_record *record)
{
	struct zr_host host = {.kind = ZR_HOST_WORKER};

	snprintf(host.name, sizeof(host.name), "%s", record->name);
	snprintf(host.domain, sizeof(host.domain), "%s", domain->name);
	snprintf(host.rack, sizeof(host.rack), "%s", record->rack);
	snprintf(host.address, sizeof(host.address), "%s", record->address);
	host.capacity.millicpus = record->capacity.millicpus;
	host.capacity.memory_mb = record->capacity.memory_mb;
	host.capacity.accelerators = record->capacity.accelerators;
	host.slots = record->slots;
	add_worker(domain, host.name, true);
	zr_fleet_expect_report(domain->fleet, &host);
}

/* Holds a job whose tasks may run on workers that have not reported yet. */
static void hold_started_job(struct domain_job *job)
{
	job->start_recorded = true;
	job->on_hold = true;
	zr_domain_job_mark_sent(job);
	zr_sched_job_hold(job->domain->sched, job->handle, true);
}

static void replay_accepted(struct zr_domain *domain,
			    const zx_accepted *accepted)
{
	struct zr_job_spec spec;
	struct domain_job *job;

	if (zr_convert_spec_from_xdr(&spec, &accepted->spec) < 0)
		return;
	job = zr_domain_job_new(domain, accepted->number, &spec);
	if (zr_domain_job_admit(job) < 0) {
		zr_log(ZR_LOG_ERROR, "job.not_admitted job=%s", job->id);
		return;
	}
	if (accepted->begun)
		hold_started_job(job);
}

static void replay_begun(struct zr_domain *domain, const zx_begun *begun)
{
	struct domain_job *job = zr_domain_job_find(domain, begun->number);

	if (job && job->handle)
		hold_started_job(job);
}

static void replay_intent(struct zr_domain *domain, const zx_intent *intent)
{
	struct domain_job *job = zr_domain_job_find(domain, intent->number);

	if (!job || !job->handle || intent->index >= job->spec.tasks)
		return;
	job->placements[intent->index].attempt = intent->attempt;
	job->placements[intent->index].intent_pending = true;
	hold_started_job(job);
}

static void replay_task_ended(struct zr_domain *domain,
			      const zx_task_ended *ended)
{
	struct domain_job *job = zr_domain_job_find(domain, ended->number);
	struct domain_placement *placement;

	if (!job || !job->handle || ended->index >= job->spec.tasks)
		return;
	placement = &job->placements[ended->index];
	if (placement->ended && placement->attempt >= ended->attempt)
		return; /* the same end, or a later one, was replayed before */
	placement->attempt = ended->attempt;
	placement->intent_pending = false;
	placement->ended = true;
	placement->succeeded = ended->outcome == ZR_SCHED_SUCCEEDED;
	zr_domain_job_set_result(job, ended->index, ended->result);
	zr_sched_task_replay(domain->sched, job->handle, ended->index,
			     ended->attempt,
			     (enum zr_sched_outcome)ended->outcome);
}

static void replay_job_ended(struct zr_domain *domain,
			     const zx_job_ended *ended)
{
	struct domain_job *job = zr_domain_job_find(domain, ended->number);

	if (!job)
		return;
	job->final_state = (enum zr_job_state)ended->state;
	free(job->reason);
	job->reason = strdup(ended->reason);
	zr_domain_job_final_persisted(job, ended->ended_ms);
}

static void replay_record(void *ctx, const zx_record *record)
{
	struct zr_domain *domain = ctx;

	switch (record->kind) {
	case ZX_RECORD_ACCEPTED:
		replay_accepted(domain, &record->zx_record_u.accepted);
		break;
	case ZX_RECORD_INTENT:
		replay_intent(domain, &record->zx_record_u.intent);
		break;
	case ZX_RECORD_TASK_ENDED:
		replay_task_ended(domain, &record->zx_record_u.task_ended);
		break;
	case ZX_RECORD_JOB_ENDED:
		replay_job_ended(domain, &record->zx_record_u.job_ended);
		break;
	case ZX_RECORD_BEGUN:
		replay_begun(domain, &record->zx_record_u.begun);
		break;
	case ZX_RECORD_WORKER:
		replay_worker(domain, &record->zx_record_u.worker);
		break;
	}
}

static void on_loaded(void *ctx, int error)
{
	struct zr_domain *domain = ctx;

	if (error < 0) {
		zr_log(ZR_LOG_ERROR, "journal.load_failed domain=%s error=%s",
		       domain->name, zr_error_name(error));
		zr_owner_step_down(domain->owner);
		return;
	}
	zr_log(ZR_LOG_INFO, "journal.loaded domain=%s jobs=%u", domain->name,
	       HASH_COUNT(domain->jobs));
	domain->loaded = true;
	zr_domain_jobs_remove_expired(domain);
	/*
	 * During the replay, the core decides the end of each job for which the
	 * ends of all tasks were persisted, but not that of the job itself.
	 */
	zr_domain_apply_decisions(domain);
	domain->recovering = true;
	zr_allotments_begin(domain->allotments);
}

/*
 * Contacts the workers, which must not happen before the allotments are known:
 * the core adopts the tasks that run on the workers, and these would exceed the
 * team's limit in the core.
 */
void zr_domain_on_allotments_ready(void *ctx)
{
	struct zr_domain *domain = ctx;

	zr_fleet_begin(domain->fleet, domain->epoch,
		       domain->handed_over ? 0 : ZR_OWNER_GRACE_MS);
}

void zr_domain_start_recovery(struct zr_domain *domain)
{
	zr_journal_load(domain->journal, replay_record, on_loaded, domain);
}

/* Releasing held jobs */

/* Counts tasks as lost that have an intent but that no worker has reported. */
static void resolve_intents(struct domain_job *job)
{
	uint32_t i;

	for (i = 0; i < job->spec.tasks; i++) {
		struct domain_placement *placement = &job->placements[i];

		if (!placement->intent_pending)
			continue;
		placement->intent_pending = false;
		zr_log_decision("intent.lost task=%s/%u/%u", job->id, i,
				placement->attempt);
		zr_sched_task_replay(job->domain->sched, job->handle, i,
				     placement->attempt, ZR_SCHED_LOST);
	}
}

/* Whether each task runs on a known worker or has succeeded. */
static bool all_tasks_known(const struct domain_job *job)
{
	uint32_t i;

	for (i = 0; i < job->spec.tasks; i++) {
		const struct domain_placement *placement = &job->placements[i];

		if (!placement->worker && !placement->succeeded)
			return false;
	}
	return true;
}

static void release_job(struct domain_job *job)
{
	job->on_hold = false;
	resolve_intents(job);
	zr_sched_job_hold(job->domain->sched, job->handle, false);
}

void zr_domain_check_recovery(struct zr_domain *domain)
{
	bool reconciled = zr_fleet_reconciled(domain->fleet);
	struct domain_job *job;
	struct domain_job *next;

	HASH_ITER (hh, domain->jobs, job, next) {
		if (job->on_hold && job->handle &&
		    (reconciled || all_tasks_known(job)))
			release_job(job);
	}
	if (!reconciled)
		return;
	domain->recovering = false;
	zr_log(ZR_LOG_INFO, "domain.recovered domain=%s epoch=%" PRIu64,
	       domain->name, domain->epoch);
}

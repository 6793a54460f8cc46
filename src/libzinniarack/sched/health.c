#include "sched/internal.h"

#include <string.h>

/**
 * DOC: Failures of jobs and workers
 *
 * A failed task may be the fault of its job or of its worker. When several
 * different jobs fail on a worker and none succeeds in between, the worker
 * becomes suspect, and its failures no longer count against these jobs. A job
 * that fails on several workers, none of which is suspect, is at fault itself.
 * A failed run of a gang is one failure, on the worker whose member fails
 * first.
 *
 * A suspect worker gets no tasks but probes: one ordinary task at a time, at
 * growing intervals. The first probe that succeeds ends the suspicion.
 */

/* Shortest and longest interval between probes, in milliseconds. */
#define PROBE_INTERVAL_MIN_MS 5000
#define PROBE_INTERVAL_MAX_MS 600000
/* Interval between scans for workers whose probe is due, in milliseconds. */
#define PROBE_SCAN_MS 1000

bool zr_sched_job_avoids_worker(const struct zr_sched_job *job,
				zr_handle worker)
{
	unsigned int i;

	for (i = 0; i < job->failed_on_count; i++) {
		if (job->failed_on[i] == worker)
			return true;
	}
	return false;
}

/* No longer counts a failure on a worker against a job. */
static void remove_failure(struct zr_sched_job *job, zr_handle worker)
{
	unsigned int i;

	for (i = 0; i < job->failed_on_count; i++) {
		if (job->failed_on[i] != worker)
			continue;
		job->failed_on[i] = job->failed_on[--job->failed_on_count];
		if (job->consecutive_failures)
			job->consecutive_failures--;
		return;
	}
}

/* Suspect workers */

/* The failures were the fault of the worker, not of these jobs. */
static void clear_job_failures(struct zr_sched *sched,
			       const struct zr_sched_worker_entry *entry,
			       zr_handle worker)
{
	unsigned int i;

	for (i = 0; i < entry->failed_job_count; i++) {
		struct zr_sched_job *job =
			zr_sched_job_get(sched, entry->failed_jobs[i]);

		if (job)
			remove_failure(job, worker);
	}
}

static void set_suspect(struct zr_sched *sched, zr_handle worker)
{
	struct zr_sched_worker_entry *entry =
		zr_sched_worker_entry_get(sched, worker);

	entry->suspect = true;
	entry->probe_interval_ms = PROBE_INTERVAL_MIN_MS;
	entry->next_probe_at = sched->now + entry->probe_interval_ms;
	sched->suspect_count++;
	clear_job_failures(sched, entry, worker);
	zr_sched_index_update(sched, worker);
}

static void extend_probe_interval(const struct zr_sched *sched,
				  struct zr_sched_worker_entry *entry)
{
	entry->probing = false;
	entry->probe_interval_ms *= 2;
	if (entry->probe_interval_ms > PROBE_INTERVAL_MAX_MS)
		entry->probe_interval_ms = PROBE_INTERVAL_MAX_MS;
	entry->next_probe_at = sched->now + entry->probe_interval_ms;
}

static void clear_worker_failures(struct zr_sched *sched, zr_handle worker)
{
	struct zr_sched_worker_entry *entry =
		zr_sched_worker_entry_get(sched, worker);

	entry->failed_job_count = 0;
	entry->probing = false;
	if (!entry->suspect)
		return;
	entry->suspect = false;
	sched->suspect_count--;
	zr_sched_index_update(sched, worker);
}

static bool has_failed(const struct zr_sched_worker_entry *entry, zr_handle job)
{
	unsigned int i;

	for (i = 0; i < entry->failed_job_count; i++) {
		if (entry->failed_jobs[i] == job)
			return true;
	}
	return false;
}

/* Outcomes */

void zr_sched_health_task_succeeded(struct zr_sched *sched, zr_handle handle,
				    zr_handle worker, bool probe)
{
	struct zr_sched_job *job = zr_sched_job_get(sched, handle);
	const struct zr_sched_worker_entry *entry =
		zr_sched_worker_entry_get(sched, worker);

	job->consecutive_failures = 0;
	/*
	 * The success of a task that started before the worker became suspect
	 * does not show that the worker works now.
	 */
	if (!entry->suspect || probe)
		clear_worker_failures(sched, worker);
}

/*
 * A run of a gang counts once, however many of its members fail. Returns false
 * if it has been counted already.
 */
static bool count_job_failure(struct zr_sched_job *job, zr_handle worker)
{
	if (job->run_failed)
		return false;
	job->run_failed = job->kind == ZR_JOB_GANG;
	if (job->consecutive_failures < UINT8_MAX)
		job->consecutive_failures++;
	if (!zr_sched_job_avoids_worker(job, worker) &&
	    job->failed_on_count < ZR_SCHED_FAILED_ON_MAX)
		job->failed_on[job->failed_on_count++] = worker;
	return true;
}

void zr_sched_health_task_failed(struct zr_sched *sched, zr_handle handle,
				 zr_handle worker, bool probe,
				 enum zr_sched_outcome outcome)
{
	struct zr_sched_job *job = zr_sched_job_get(sched, handle);
	struct zr_sched_worker_entry *entry =
		zr_sched_worker_entry_get(sched, worker);

	if (entry->suspect) {
		if (probe)
			extend_probe_interval(sched, entry);
		return;
	}
	if (outcome == ZR_SCHED_FAILED && !count_job_failure(job, worker))
		return;
	if (!has_failed(entry, handle))
		entry->failed_jobs[entry->failed_job_count++] = handle;
	if (entry->failed_job_count == ZR_SCHED_SUSPECT_FAILURES)
		set_suspect(sched, worker);
}

/* Probes */

bool zr_sched_probe_is_due(const struct zr_sched *sched,
			   const struct zr_sched_worker_entry *entry)
{
	return entry->suspect && !entry->probing &&
	       entry->state == ZR_SCHED_WORKER_UP &&
	       entry->next_probe_at <= sched->now;
}

/*
 * Returns the first worker after @from whose probe is due. Ends with @until if
 * the scan reaches it first, with ZR_HANDLE_NONE at the end of the table.
 */
static zr_handle next_probe_due(struct zr_sched *sched, zr_handle from,
				zr_handle until)
{
	zr_handle worker = from;

	while ((worker = zr_table_next(sched->workers, worker))) {
		sched->stats.workers_examined++;
		if (zr_sched_probe_is_due(
			    sched, zr_sched_worker_entry_get(sched, worker)) ||
		    worker == until)
			break;
	}
	return worker;
}

void zr_sched_probes_process(struct zr_sched *sched)
{
	zr_handle previous = sched->probe_worker;
	zr_handle worker;

	if (!sched->suspect_count || sched->now < sched->probe_scan_at)
		return;
	sched->probe_scan_at = sched->now + PROBE_SCAN_MS;
	worker = next_probe_due(sched, previous, ZR_HANDLE_NONE);
	if (!worker)
		worker = next_probe_due(sched, ZR_HANDLE_NONE, previous);
	sched->probe_worker = worker;
	if (worker)
		zr_sched_freed_add(sched, worker);
}

zr_handle zr_sched_probe_find(struct zr_sched *sched,
			      const struct zr_sched_job *job,
			      const struct zr_resources *need)
{
	const struct zr_sched_worker_entry *entry =
		zr_sched_worker_entry_get(sched, sched->probe_worker);
	struct zr_resources available;

	/*
	 * A probe may fail, so the job must not be urgent and its tasks must be
	 * allowed to run again.
	 */
	if (!entry || job->kind != ZR_JOB_BATCH || job->urgent ||
	    job->at_most_once)
		return ZR_HANDLE_NONE;
	sched->stats.workers_examined++;
	available = zr_sched_worker_entry_free_resources(entry);
	if (!zr_sched_probe_is_due(sched, entry) ||
	    !zr_resources_fit(need, &available))
		return ZR_HANDLE_NONE;
	return sched->probe_worker;
}

#include "sched/internal.h"

#include <string.h>

/**
 * DOC: Blame
 *
 * A failure may be the fault of the job or of the worker. Different jobs that
 * fail in a row make a worker suspect, and what failed there is no longer held
 * against those jobs. A job that fails on different workers which are not
 * suspect is at fault itself. A suspect worker gets one probe at a time, at
 * growing intervals, until one succeeds.
 */

/* First and longest interval between probes, in milliseconds. */
#define PROBE_FIRST_MS 5000
#define PROBE_LONGEST_MS 600000
/* Interval between looks for workers whose probe is due, in milliseconds. */
#define PROBE_LOOK_MS 1000

bool zr_sched_blame_avoids(const struct zr_sched_job *job, zr_handle worker)
{
	unsigned int i;

	for (i = 0; i < job->failed_on_count; i++) {
		if (job->failed_on[i] == worker)
			return true;
	}
	return false;
}

static void forget_worker(struct zr_sched_job *job, zr_handle worker)
{
	unsigned int i;

	for (i = 0; i < job->failed_on_count; i++) {
		if (job->failed_on[i] != worker)
			continue;
		job->failed_on[i] = job->failed_on[--job->failed_on_count];
		if (job->failures)
			job->failures--;
		return;
	}
}

/* Suspect workers */

static void forgive_jobs(struct zr_sched *sched,
			 const struct zr_sched_host *host, zr_handle worker)
{
	unsigned int i;

	for (i = 0; i < host->failed_count; i++) {
		struct zr_sched_job *job =
			zr_sched_job_row(sched, host->failed[i]);

		if (job)
			forget_worker(job, worker);
	}
}

static void suspect(struct zr_sched *sched, zr_handle worker)
{
	struct zr_sched_host *host = zr_sched_host_row(sched, worker);

	host->suspect = true;
	host->probe_delay = PROBE_FIRST_MS;
	host->probe_at = sched->now + host->probe_delay;
	sched->suspects++;
	forgive_jobs(sched, host, worker);
	zr_sched_index_update(sched, worker);
}

static void probe_failed(const struct zr_sched *sched,
			 struct zr_sched_host *host)
{
	host->probing = false;
	host->probe_delay *= 2;
	if (host->probe_delay > PROBE_LONGEST_MS)
		host->probe_delay = PROBE_LONGEST_MS;
	host->probe_at = sched->now + host->probe_delay;
}

static void clear_worker(struct zr_sched *sched, zr_handle worker)
{
	struct zr_sched_host *host = zr_sched_host_row(sched, worker);

	host->failed_count = 0;
	host->probing = false;
	if (!host->suspect)
		return;
	host->suspect = false;
	sched->suspects--;
	zr_sched_index_update(sched, worker);
}

static bool has_failed(const struct zr_sched_host *host, zr_handle job)
{
	unsigned int i;

	for (i = 0; i < host->failed_count; i++) {
		if (host->failed[i] == job)
			return true;
	}
	return false;
}

/* Outcomes */

void zr_sched_blame_succeeded(struct zr_sched *sched, zr_handle handle,
			      zr_handle worker, bool probe)
{
	struct zr_sched_job *job = zr_sched_job_row(sched, handle);
	const struct zr_sched_host *host = zr_sched_host_row(sched, worker);

	job->failures = 0;
	/* What began before it was suspect proves nothing. */
	if (!host->suspect || probe)
		clear_worker(sched, worker);
}

static void blame_job(struct zr_sched_job *job, zr_handle worker)
{
	if (job->failures < UINT8_MAX)
		job->failures++;
	if (zr_sched_blame_avoids(job, worker))
		return;
	if (job->failed_on_count < ZR_SCHED_FAILED_ON_MAX)
		job->failed_on[job->failed_on_count++] = worker;
}

void zr_sched_blame_failed(struct zr_sched *sched, zr_handle handle,
			   zr_handle worker, bool probe,
			   enum zr_sched_outcome outcome)
{
	struct zr_sched_job *job = zr_sched_job_row(sched, handle);
	struct zr_sched_host *host = zr_sched_host_row(sched, worker);

	if (host->suspect) {
		if (probe)
			probe_failed(sched, host);
		return;
	}
	if (outcome == ZR_SCHED_FAILED)
		blame_job(job, worker);
	if (!has_failed(host, handle))
		host->failed[host->failed_count++] = handle;
	if (host->failed_count == ZR_SCHED_SUSPECT_FAILURES)
		suspect(sched, worker);
}

/* Probes */

bool zr_sched_probe_due(const struct zr_sched *sched,
			const struct zr_sched_host *host)
{
	return host->suspect && !host->probing &&
	       host->state == ZR_SCHED_WORKER_UP &&
	       host->probe_at <= sched->now;
}

/* The suspect worker after the last one whose next probe is due. */
static zr_handle next_due(struct zr_sched *sched, zr_handle from,
			  zr_handle until)
{
	zr_handle worker = from;

	while ((worker = zr_table_next(sched->workers, worker))) {
		sched->stats.workers_examined++;
		if (zr_sched_probe_due(sched,
				       zr_sched_host_row(sched, worker)) ||
		    worker == until)
			break;
	}
	return worker;
}

void zr_sched_probes_due(struct zr_sched *sched)
{
	zr_handle last = sched->probe_worker;
	zr_handle worker;

	if (!sched->suspects || sched->now < sched->probe_at)
		return;
	sched->probe_at = sched->now + PROBE_LOOK_MS;
	worker = next_due(sched, last, ZR_HANDLE_NONE);
	if (!worker)
		worker = next_due(sched, ZR_HANDLE_NONE, last);
	sched->probe_worker = worker;
	if (worker)
		zr_sched_queue_freed(sched, worker);
}

zr_handle zr_sched_probe_find(struct zr_sched *sched,
			      const struct zr_sched_job *job,
			      const struct zr_resources *need)
{
	const struct zr_sched_host *host =
		zr_sched_host_row(sched, sched->probe_worker);
	struct zr_resources room;

	/* Nothing that anybody waits for, or that cannot be run again. */
	if (!host || job->kind != ZR_JOB_BATCH || job->urgent ||
	    job->at_most_once)
		return ZR_HANDLE_NONE;
	sched->stats.workers_examined++;
	room = zr_sched_host_free(host);
	if (!zr_sched_probe_due(sched, host) || !zr_resources_fit(need, &room))
		return ZR_HANDLE_NONE;
	return sched->probe_worker;
}

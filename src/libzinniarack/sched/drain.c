#include "sched/internal.h"

/**
 * DOC: Draining
 *
 * Batch jobs and gangs on a leaving worker run on to their end. Services have
 * no end, so their replicas migrate: they are stopped one after the other and
 * started elsewhere. A replica is stopped only while all replicas of its
 * service run and another worker can hold it, so that a migration never leaves
 * a service more than one replica short.
 */

/* Interval between scans of leaving workers, in milliseconds. */
#define DRAIN_SCAN_MS 1000
/*
 * Number of searches for a worker after which a scan ends; the next scan goes
 * on with the next leaving worker.
 */
#define SEARCHES_MAX 64
/* Maximum number of unfinished stops of a worker that is being drained. */
#define STOPS_MAX 4

static bool has_no_stopping_task(const struct zr_sched_job *job)
{
	uint32_t i;

	for (i = 0; i < job->tasks; i++) {
		if (job->task_entries[i].state == ZR_SCHED_TASK_STOPPING)
			return false;
	}
	return true;
}

/*
 * Whether a replica of the job may be stopped to run elsewhere: all replicas
 * are running, and a stopped one may be started again.
 */
static bool may_migrate(const struct zr_sched_job *job)
{
	return job->kind == ZR_JOB_SERVICE && !job->at_most_once &&
	       !job->cancelled && !job->held && !job->abandoned &&
	       job->running == job->tasks && has_no_stopping_task(job);
}

/*
 * Stops a replica if another worker can hold it. The resources there are held
 * until the replica has ended and are then claimed for its next run, so that no
 * other task can use them.
 */
static void try_migrate(struct zr_sched *sched, zr_handle handle)
{
	struct zr_sched_placement *placement =
		zr_sched_placement_get(sched, handle);
	const struct zr_sched_job *job =
		zr_sched_job_get(sched, placement->job);
	struct zr_resources need = zr_sched_job_need(job);
	zr_handle worker = zr_sched_fit_find(sched, job, &need);

	if (!worker)
		return;
	placement->migrate_to = worker;
	placement->migrate_size = need;
	zr_sched_worker_entry_hold(sched, worker, &need);
	zr_sched_stop(sched, handle, ZR_SCHED_STOP_DRAINED);
}

void zr_sched_drain_release(struct zr_sched *sched,
			    const struct zr_sched_placement *placement)
{
	if (!zr_sched_worker_entry_get(sched, placement->migrate_to))
		return;
	zr_sched_worker_entry_unhold(sched, placement->migrate_to,
				     &placement->migrate_size);
	zr_sched_freed_add(sched, placement->migrate_to);
}

void zr_sched_drain_claim(struct zr_sched *sched,
			  const struct zr_sched_placement *placement)
{
	const struct zr_sched_job *job =
		zr_sched_job_get(sched, placement->job);
	const struct zr_sched_worker_entry *entry =
		zr_sched_worker_entry_get(sched, placement->migrate_to);

	if (!entry || entry->state != ZR_SCHED_WORKER_UP || job->held ||
	    job->cancelled || job->abandoned ||
	    !zr_sched_job_waiting_count(job) || job->list != ZR_SCHED_LIST_NONE)
		return;
	zr_sched_claim_add(sched, placement->job, placement->migrate_to,
			   &placement->migrate_size,
			   "migrated from a leaving worker");
}

/* Returns the number of searches for a worker. */
static unsigned int drain_worker(struct zr_sched *sched, zr_handle worker)
{
	const struct zr_sched_worker_entry *entry =
		zr_sched_worker_entry_get(sched, worker);
	zr_handle handle = entry->first_placement;
	unsigned int searches = 0;

	for (; handle && entry->unfinished_stops < STOPS_MAX;
	     handle = zr_sched_placement_get(sched, handle)->next) {
		const struct zr_sched_job *job = zr_sched_job_get(
			sched, zr_sched_placement_get(sched, handle)->job);

		if (!may_migrate(job))
			continue;
		searches++;
		try_migrate(sched, handle);
	}
	return searches;
}

void zr_sched_drains_process(struct zr_sched *sched)
{
	zr_handle *worker = &sched->drain_cursor;
	unsigned int searches = 0;

	if (!sched->leaving_count || sched->now < sched->drain_scan_at)
		return;
	sched->drain_scan_at = sched->now + DRAIN_SCAN_MS;
	while (searches < SEARCHES_MAX &&
	       (*worker = zr_table_next(sched->workers, *worker))) {
		if (zr_sched_worker_entry_get(sched, *worker)->state ==
		    ZR_SCHED_WORKER_LEAVING)
			searches += drain_worker(sched, *worker);
	}
}

#include "sched/internal.h"

/**
 * DOC: Moves of services
 *
 * Batches and gangs on a leaving worker go on to their end. Services have no
 * end, so their replicas are stopped one after the other, to be started
 * elsewhere: only while all of a service's replicas run and a worker has room
 * for one more, so that a service never misses more than the one that moves.
 */

/* Leaving workers are looked at again after this time. */
#define DRAIN_RETRY_MS 1000
/* Searches for room in one look; the next look goes on from there. */
#define SEARCHES_MAX 64
/* Tasks that a worker stops at a time so as to be drained. */
#define STOPS_MAX 4

static bool none_stops(const struct zr_sched_job *job)
{
	uint32_t i;

	for (i = 0; i < job->tasks; i++) {
		if (job->slots[i].state == ZR_SCHED_TASK_STOPPING)
			return false;
	}
	return true;
}

/* Whether all replicas run, and the one that is stopped may start again. */
static bool may_move(const struct zr_sched_job *job)
{
	return job->kind == ZR_JOB_SERVICE && !job->at_most_once &&
	       !job->cancelled && !job->held && !job->given_up &&
	       job->running == job->tasks && none_stops(job);
}

/* The room is held until the replica has ended, and then claimed for it, so
 * that no two moves, and no other work, count on the same room. */
static void try_move(struct zr_sched *sched, zr_handle handle)
{
	struct zr_sched_placement *placement =
		zr_sched_placement_row(sched, handle);
	const struct zr_sched_job *job =
		zr_sched_job_row(sched, placement->job);
	struct zr_resources need = zr_sched_job_need(job);
	zr_handle worker = zr_sched_fit_find(sched, job, &need);

	if (!worker)
		return;
	placement->moves_to = worker;
	placement->moves_with = need;
	zr_sched_host_hold(sched, worker, &need);
	zr_sched_stop(sched, handle, ZR_SCHED_STOP_DRAINED);
}

void zr_sched_drain_ended(struct zr_sched *sched,
			  const struct zr_sched_placement *placement)
{
	if (!zr_sched_host_row(sched, placement->moves_to))
		return;
	zr_sched_host_unhold(sched, placement->moves_to,
			     &placement->moves_with);
	zr_sched_queue_freed(sched, placement->moves_to);
}

void zr_sched_drain_moved(struct zr_sched *sched,
			  const struct zr_sched_placement *placement)
{
	const struct zr_sched_job *job =
		zr_sched_job_row(sched, placement->job);
	const struct zr_sched_host *host =
		zr_sched_host_row(sched, placement->moves_to);

	if (!host || host->state != ZR_SCHED_WORKER_UP || job->held ||
	    job->cancelled || job->given_up || !zr_sched_job_waiting(job) ||
	    job->place != ZR_SCHED_PLACE_NONE)
		return;
	zr_sched_claim_add(sched, placement->job, placement->moves_to,
			   &placement->moves_with, "moved as its worker left");
}

/* Returns the number of searches for room. */
static unsigned int drain(struct zr_sched *sched, zr_handle worker)
{
	const struct zr_sched_host *host = zr_sched_host_row(sched, worker);
	zr_handle handle = host->first;
	unsigned int searches = 0;

	for (; handle && host->stops < STOPS_MAX;
	     handle = zr_sched_placement_row(sched, handle)->next) {
		const struct zr_sched_job *job = zr_sched_job_row(
			sched, zr_sched_placement_row(sched, handle)->job);

		if (!may_move(job))
			continue;
		searches++;
		try_move(sched, handle);
	}
	return searches;
}

void zr_sched_drains_due(struct zr_sched *sched)
{
	zr_handle *worker = &sched->drain_cursor;
	unsigned int searches = 0;

	if (!sched->leaving || sched->now < sched->drain_at)
		return;
	sched->drain_at = sched->now + DRAIN_RETRY_MS;
	while (searches < SEARCHES_MAX &&
	       (*worker = zr_table_next(sched->workers, *worker))) {
		if (zr_sched_host_row(sched, *worker)->state ==
		    ZR_SCHED_WORKER_LEAVING)
			searches += drain(sched, *worker);
	}
}

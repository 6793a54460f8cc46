#include "sched/internal.h"

#include <stdlib.h>
#include <string.h>

/**
 * DOC: Gangs
 *
 * The tasks of a gang start together or not at all. When the workers cannot
 * take all of them now, resources are reserved on the workers on which they are
 * expected to become free first. Only one gang at a time has a reservation, and
 * only for a limited time.
 *
 * Meanwhile tasks that are expected to end before the gang can start may run on
 * the reserved resources (backfill). Expected run times may be wrong, so
 * backfill tasks are preempted once they alone keep the gang from starting.
 */

/* Maximum age of a reservation, in milliseconds. */
#define RESERVATION_MS 120000
/* Maximum number of members whose workers one backfill search examines. */
#define BACKFILL_SEARCH_MAX 16

/* Starting at once */

/* Holds resources for up to @count members. Returns the number that fit. */
static uint32_t hold_available(struct zr_sched *sched,
			       const struct zr_sched_job *job,
			       const struct zr_resources *need,
			       zr_handle *members, uint32_t count)
{
	uint32_t held;

	for (held = 0; held < count; held++) {
		zr_handle worker = zr_sched_fit_find(sched, job, need);

		if (!worker)
			break;
		zr_sched_worker_entry_hold(sched, worker, need);
		members[held] = worker;
	}
	return held;
}

static void unhold_members(struct zr_sched *sched,
			   const struct zr_resources *need,
			   const zr_handle *members, uint32_t count)
{
	uint32_t i;

	for (i = 0; i < count; i++)
		zr_sched_worker_entry_unhold(sched, members[i], need);
}

/* Starts a run: a task on each of the workers, on what is held there. */
static unsigned int start_members(struct zr_sched *sched, zr_handle handle,
				  const struct zr_resources *need,
				  const zr_handle *members, uint32_t count)
{
	struct zr_sched_job *job = zr_sched_job_get(sched, handle);
	zr_handle placement;
	unsigned int starts = 0;
	uint32_t i;

	job->run_failed = false;
	job->backoff_attempt = 0;
	for (i = 0; i < count; i++) {
		zr_sched_worker_entry_unhold(sched, members[i], need);
		starts += zr_sched_task_start(&placement, sched, handle,
					      members[i],
					      "all tasks of the gang fit") == 0;
	}
	zr_sched_job_update_list(sched, handle, true);
	return starts;
}

/* The reservation */

/*
 * Clears the reservation and frees its array of members. A caller that has set
 * @members to NULL keeps the array.
 */
static void clear_reservation(struct zr_sched *sched)
{
	struct zr_sched_job *job =
		zr_sched_job_get(sched, sched->reservation.job);

	job->reserving = false;
	free(sched->reservation.members);
	memset(&sched->reservation, 0, sizeof(sched->reservation));
}

static void drop_reservation(struct zr_sched *sched)
{
	struct zr_sched_gang_reservation *reservation = &sched->reservation;
	uint32_t i;

	unhold_members(sched, &reservation->size, reservation->members,
		       reservation->count);
	for (i = 0; i < reservation->count; i++) {
		if (zr_sched_worker_entry_get(sched, reservation->members[i]))
			zr_sched_freed_add(sched, reservation->members[i]);
	}
	clear_reservation(sched);
}

/*
 * Holds the resources immediately, even while running tasks still use them, so
 * that no other task gets what these tasks free when they end.
 */
static void hold_members(struct zr_sched *sched,
			 const struct zr_sched_forecast *forecast)
{
	struct zr_sched_gang_reservation *reservation = &sched->reservation;
	uint32_t i;

	for (i = 0; i < reservation->count; i++) {
		reservation->members[i] = forecast->members[i].worker;
		zr_sched_worker_entry_hold(sched, reservation->members[i],
					   &reservation->size);
	}
	reservation->expires_at = sched->now + RESERVATION_MS;
	reservation->ready_at = forecast->members[reservation->count - 1].at;
	if (reservation->ready_at > reservation->expires_at)
		reservation->ready_at = reservation->expires_at;
}

static bool begin_reservation(struct zr_sched *sched, zr_handle handle,
			      const struct zr_resources *need,
			      zr_handle *members, uint32_t count)
{
	struct zr_sched_job *job = zr_sched_job_get(sched, handle);
	struct zr_sched_forecast forecast = {.alloc = 2 * count};

	forecast.members = calloc(forecast.alloc, sizeof(*forecast.members));
	if (!forecast.members)
		return false;
	zr_sched_forecast_compute(&forecast, sched, need, count);
	if (forecast.count < count) {
		free(forecast.members);
		return false;
	}
	sched->reservation.job = handle;
	sched->reservation.size = *need;
	sched->reservation.members = members;
	sched->reservation.count = count;
	hold_members(sched, &forecast);
	free(forecast.members);
	job->reserving = true;
	zr_sched_job_update_list(sched, handle, true);
	job->wait = ZR_SCHED_WAIT_GANG;
	zr_sched_classes_unblock(sched, ZR_HANDLE_NONE,
				 ZR_SCHED_WAIT_NO_CAPACITY);
	return true;
}

unsigned int zr_sched_gang_try(struct zr_sched *sched, zr_handle handle,
			       const struct zr_resources *need)
{
	const struct zr_sched_job *job = zr_sched_job_get(sched, handle);
	uint32_t count = zr_sched_job_waiting_count(job);
	zr_handle *members = calloc(count, sizeof(*members));
	unsigned int starts = 0;
	uint32_t held;

	if (!members)
		return 0;
	held = hold_available(sched, job, need, members, count);
	if (held == count) {
		starts = start_members(sched, handle, need, members, count);
	} else {
		unhold_members(sched, need, members, held);
		if (!sched->reservation.job &&
		    begin_reservation(sched, handle, need, members, count))
			return 0;
	}
	free(members);
	return starts;
}

void zr_sched_gang_release(struct zr_sched *sched, zr_handle job,
			   zr_handle worker)
{
	zr_handle owner = sched->reservation.job;
	uint32_t i;

	if (!owner)
		return;
	if (owner == job) {
		drop_reservation(sched);
		return;
	}
	for (i = 0; i < sched->reservation.count; i++) {
		if (sched->reservation.members[i] != worker)
			continue;
		drop_reservation(sched);
		zr_sched_job_update_list(sched, owner, true);
		return;
	}
}

/* Starting a gang on its reservation */

/* What a worker would have reserved and held without its backfill tasks. */
static struct zr_resources
used_without_backfill(const struct zr_sched *sched,
		      const struct zr_sched_worker_entry *entry)
{
	struct zr_resources used = entry->reserved;
	zr_handle handle = entry->first_placement;

	zr_resources_add(&used, &entry->held);
	while (handle) {
		const struct zr_sched_placement *placement =
			zr_sched_placement_get(sched, handle);

		if (placement->backfill)
			zr_resources_sub(&used, &placement->reserved);
		handle = placement->next;
	}
	return used;
}

/* Whether what is reserved and held on a worker is within its capacity. */
static bool fits_capacity(const struct zr_sched *sched, zr_handle worker,
			  bool ignore_backfill)
{
	const struct zr_sched_worker_entry *entry =
		zr_sched_worker_entry_get(sched, worker);
	struct zr_resources used = entry->reserved;

	if (ignore_backfill)
		used = used_without_backfill(sched, entry);
	else
		zr_resources_add(&used, &entry->held);
	return zr_resources_fit(&used, &entry->capacity);
}

static bool all_members_fit(const struct zr_sched *sched, bool ignore_backfill)
{
	uint32_t i;

	for (i = 0; i < sched->reservation.count; i++) {
		if (!fits_capacity(sched, sched->reservation.members[i],
				   ignore_backfill))
			return false;
	}
	return true;
}

/* Preempts backfill tasks of a worker until the gang's tasks fit. */
static void preempt_backfill(struct zr_sched *sched, zr_handle worker)
{
	zr_handle handle =
		zr_sched_worker_entry_get(sched, worker)->first_placement;

	while (handle && !fits_capacity(sched, worker, false)) {
		const struct zr_sched_placement *placement =
			zr_sched_placement_get(sched, handle);
		zr_handle next = placement->next;

		if (placement->backfill && !placement->stop_sent) {
			sched->stats.preemptions++;
			zr_sched_stop(sched, handle, ZR_SCHED_STOP_PREEMPTED);
		}
		handle = next;
	}
}

static unsigned int start_reserved(struct zr_sched *sched)
{
	const struct zr_sched_gang_reservation reservation = sched->reservation;
	zr_handle *members = reservation.members;
	unsigned int starts;

	sched->reservation.members = NULL;
	clear_reservation(sched);
	starts = start_members(sched, reservation.job, &reservation.size,
			       members, reservation.count);
	free(members);
	return starts;
}

/*
 * Whether the gang may still start on its reservation. It may not if the
 * estimated size of its tasks has grown or its team would exceed its limit.
 */
static bool may_start_reserved(const struct zr_sched *sched)
{
	const struct zr_sched_job *job =
		zr_sched_job_get(sched, sched->reservation.job);
	struct zr_resources need = zr_sched_job_need(job);

	return zr_resources_fit(&need, &sched->reservation.size) &&
	       zr_sched_team_has_quota(
		       zr_sched_team_get(sched, job->profile->team), &need,
		       sched->reservation.count);
}

unsigned int zr_sched_gang_process(struct zr_sched *sched, unsigned int max)
{
	struct zr_sched_gang_reservation *reservation = &sched->reservation;
	zr_handle handle = reservation->job;
	struct zr_sched_job *job = zr_sched_job_get(sched, handle);
	uint32_t i;

	if (!handle)
		return 0;
	if (reservation->expires_at <= sched->now ||
	    !may_start_reserved(sched)) {
		drop_reservation(sched);
		zr_sched_job_back_off(sched, job);
		zr_sched_job_update_list(sched, handle, true);
		return 0;
	}
	if (!all_members_fit(sched, true))
		return 0;
	for (i = 0; i < reservation->count; i++)
		preempt_backfill(sched, reservation->members[i]);
	if (!all_members_fit(sched, false))
		return 0;
	if (reservation->count > max) {
		sched->has_more = true;
		return 0;
	}
	return start_reserved(sched);
}

/*
 * Stops the tasks that still run. When they have ended, the gang starts again
 * as a whole.
 */
void zr_sched_gang_stop_incomplete(struct zr_sched *sched, zr_handle handle)
{
	const struct zr_sched_job *job = zr_sched_job_get(sched, handle);
	uint32_t i;

	if (job->kind != ZR_JOB_GANG || job->cancelled || !job->running ||
	    job->running + job->ended == job->tasks)
		return;
	for (i = 0; i < job->tasks; i++) {
		if (job->task_entries[i].state == ZR_SCHED_TASK_RUNNING)
			zr_sched_stop(sched, job->task_entries[i].placement,
				      ZR_SCHED_STOP_PREEMPTED);
	}
}

/* Backfill */

/*
 * Whether a task fits beside what is reserved on a worker. What is held there
 * does not count, since backfill runs on resources that are held for the gang.
 */
static bool may_backfill(const struct zr_sched *sched,
			 const struct zr_sched_job *job, zr_handle worker,
			 const struct zr_resources *need)
{
	const struct zr_sched_worker_entry *entry =
		zr_sched_worker_entry_get(sched, worker);
	struct zr_resources used = entry->reserved;

	zr_resources_add(&used, need);
	return zr_resources_fit(&used, &entry->capacity) &&
	       !zr_sched_job_avoids_worker(job, worker);
}

zr_handle zr_sched_backfill_find(struct zr_sched *sched,
				 const struct zr_sched_job *job,
				 const struct zr_resources *need)
{
	struct zr_sched_gang_reservation *reservation = &sched->reservation;
	int64_t run_ms = zr_sched_job_run_ms(job);
	uint32_t i;

	if (!reservation->job || job->at_most_once ||
	    job->kind != ZR_JOB_BATCH || run_ms == INT64_MAX ||
	    sched->now + run_ms > reservation->ready_at)
		return ZR_HANDLE_NONE;
	for (i = 0; i < reservation->count && i < BACKFILL_SEARCH_MAX; i++) {
		reservation->cursor =
			(reservation->cursor + 1) % reservation->count;
		sched->stats.workers_examined++;
		if (may_backfill(sched, job,
				 reservation->members[reservation->cursor],
				 need))
			return reservation->members[reservation->cursor];
	}
	return ZR_HANDLE_NONE;
}

#include "sched/internal.h"

#include <stdlib.h>
#include <string.h>

/**
 * DOC: Gangs
 *
 * All tasks of a gang start together or none does. When there is no room for
 * all, room is reserved for one gang at a time, up to a time limit, on the
 * workers that are expected to have it first. Work that is expected to end
 * before the gang can start may run there; run times are wrong, so it is
 * preempted when only it is in the way.
 */

/* Room is reserved for one gang so long, in milliseconds. */
#define RESERVATION_MS 120000
/* Members whose workers are looked at for one backfill. */
#define BACKFILL_SEARCH_MAX 16

/* Room that is there now */

static uint32_t gather(struct zr_sched *sched, const struct zr_sched_job *job,
		       const struct zr_resources *need, zr_handle *members,
		       uint32_t count)
{
	uint32_t got;

	for (got = 0; got < count; got++) {
		zr_handle worker = zr_sched_fit_find(sched, job, need);

		if (!worker)
			break;
		zr_sched_host_hold(sched, worker, need);
		members[got] = worker;
	}
	return got;
}

static void let_go(struct zr_sched *sched, const struct zr_resources *need,
		   const zr_handle *members, uint32_t count)
{
	uint32_t i;

	for (i = 0; i < count; i++)
		zr_sched_host_unhold(sched, members[i], need);
}

static unsigned int start_members(struct zr_sched *sched, zr_handle handle,
				  const struct zr_resources *need,
				  const zr_handle *members, uint32_t count)
{
	zr_handle placement;
	unsigned int starts = 0;
	uint32_t i;

	for (i = 0; i < count; i++) {
		zr_sched_host_unhold(sched, members[i], need);
		starts += zr_sched_task_start(&placement, sched, handle,
					      members[i],
					      "all of its gang fit") == 0;
	}
	zr_sched_job_route(sched, handle, true);
	return starts;
}

/* The reservation */

static void end_reservation(struct zr_sched *sched)
{
	struct zr_sched_job *job = zr_sched_job_row(sched, sched->gang.job);

	job->reserving = false;
	free(sched->gang.members);
	memset(&sched->gang, 0, sizeof(sched->gang));
}

static void give_back(struct zr_sched *sched)
{
	struct zr_sched_reservation *gang = &sched->gang;
	uint32_t i;

	let_go(sched, &gang->size, gang->members, gang->count);
	for (i = 0; i < gang->count; i++) {
		if (zr_sched_host_row(sched, gang->members[i]))
			zr_sched_queue_freed(sched, gang->members[i]);
	}
	end_reservation(sched);
}

/* Room is held at once, also where tasks still run, so that it goes to
 * nothing else when they end. */
static void hold_members(struct zr_sched *sched,
			 const struct zr_sched_forecast *forecast)
{
	struct zr_sched_reservation *gang = &sched->gang;
	uint32_t i;

	for (i = 0; i < gang->count; i++) {
		gang->members[i] = forecast->members[i].worker;
		zr_sched_host_hold(sched, gang->members[i], &gang->size);
	}
	gang->until = sched->now + RESERVATION_MS;
	gang->ready_by = forecast->members[gang->count - 1].at;
	if (gang->ready_by > gang->until)
		gang->ready_by = gang->until;
}

static bool begin_reservation(struct zr_sched *sched, zr_handle handle,
			      const struct zr_resources *need,
			      zr_handle *members, uint32_t count)
{
	struct zr_sched_job *job = zr_sched_job_row(sched, handle);
	struct zr_sched_forecast forecast = {.room = 2 * count};

	forecast.members = calloc(forecast.room, sizeof(*forecast.members));
	if (!forecast.members)
		return false;
	zr_sched_foresee(&forecast, sched, need, count);
	if (forecast.count < count) {
		free(forecast.members);
		return false;
	}
	sched->gang.job = handle;
	sched->gang.size = *need;
	sched->gang.members = members;
	sched->gang.count = count;
	hold_members(sched, &forecast);
	free(forecast.members);
	job->reserving = true;
	zr_sched_job_route(sched, handle, true);
	job->wait = ZR_SCHED_WAIT_GANG;
	zr_sched_queue_unblock(sched, ZR_HANDLE_NONE, ZR_SCHED_WAIT_NO_ROOM);
	return true;
}

unsigned int zr_sched_gang_try(struct zr_sched *sched, zr_handle handle,
			       const struct zr_resources *need)
{
	const struct zr_sched_job *job = zr_sched_job_row(sched, handle);
	uint32_t count = zr_sched_job_waiting(job);
	zr_handle *members = calloc(count, sizeof(*members));
	unsigned int starts = 0;
	uint32_t got;

	if (!members)
		return 0;
	got = gather(sched, job, need, members, count);
	if (got == count) {
		starts = start_members(sched, handle, need, members, count);
	} else {
		let_go(sched, need, members, got);
		if (!sched->gang.job &&
		    begin_reservation(sched, handle, need, members, count))
			return 0;
	}
	free(members);
	return starts;
}

void zr_sched_gang_drop(struct zr_sched *sched, zr_handle job, zr_handle worker)
{
	zr_handle owner = sched->gang.job;
	uint32_t i;

	if (!owner)
		return;
	if (owner == job) {
		give_back(sched);
		return;
	}
	for (i = 0; i < sched->gang.count; i++) {
		if (sched->gang.members[i] != worker)
			continue;
		give_back(sched);
		zr_sched_job_route(sched, owner, true);
		return;
	}
}

/* Starting what is reserved */

/* What a worker will have in use when those that lend it room have gone. */
static struct zr_resources
used_without_backfill(const struct zr_sched *sched,
		      const struct zr_sched_host *host)
{
	struct zr_resources used = host->reserved;
	zr_handle handle = host->first;

	zr_resources_add(&used, &host->held);
	while (handle) {
		const struct zr_sched_placement *placement =
			zr_sched_placement_row(sched, handle);

		if (placement->backfill)
			zr_resources_sub(&used, &placement->reserved);
		handle = placement->next;
	}
	return used;
}

static bool has_room(const struct zr_sched *sched, zr_handle worker,
		     bool but_for_backfill)
{
	const struct zr_sched_host *host = zr_sched_host_row(sched, worker);
	struct zr_resources used = host->reserved;

	if (but_for_backfill)
		used = used_without_backfill(sched, host);
	else
		zr_resources_add(&used, &host->held);
	return zr_resources_fit(&used, &host->capacity);
}

static bool all_have_room(const struct zr_sched *sched, bool but_for_backfill)
{
	uint32_t i;

	for (i = 0; i < sched->gang.count; i++) {
		if (!has_room(sched, sched->gang.members[i], but_for_backfill))
			return false;
	}
	return true;
}

static void stop_backfill(struct zr_sched *sched, zr_handle worker)
{
	zr_handle handle = zr_sched_host_row(sched, worker)->first;

	while (handle && !has_room(sched, worker, false)) {
		const struct zr_sched_placement *placement =
			zr_sched_placement_row(sched, handle);
		zr_handle next = placement->next;

		if (placement->backfill && !placement->told_to_stop) {
			sched->stats.preemptions++;
			zr_sched_stop(sched, handle, ZR_SCHED_STOP_PREEMPTED);
		}
		handle = next;
	}
}

static unsigned int start_reserved(struct zr_sched *sched)
{
	const struct zr_sched_reservation gang = sched->gang;
	zr_handle *members = gang.members;
	unsigned int starts;

	sched->gang.members = NULL;
	end_reservation(sched);
	starts =
		start_members(sched, gang.job, &gang.size, members, gang.count);
	free(members);
	return starts;
}

static bool still_allowed(const struct zr_sched *sched)
{
	const struct zr_sched_job *job =
		zr_sched_job_row(sched, sched->gang.job);
	struct zr_resources need = zr_sched_job_need(job);

	return zr_resources_fit(&need, &sched->gang.size) &&
	       zr_sched_team_allows(
		       zr_sched_team_row(sched, job->profile->team), &need,
		       sched->gang.count);
}

unsigned int zr_sched_gang_due(struct zr_sched *sched, unsigned int most)
{
	struct zr_sched_reservation *gang = &sched->gang;
	zr_handle handle = gang->job;
	struct zr_sched_job *job = zr_sched_job_row(sched, handle);
	uint32_t i;

	if (!handle)
		return 0;
	if (gang->until <= sched->now || !still_allowed(sched)) {
		give_back(sched);
		zr_sched_job_delay(sched, job);
		zr_sched_job_route(sched, handle, true);
		return 0;
	}
	if (!all_have_room(sched, true))
		return 0;
	for (i = 0; i < gang->count; i++)
		stop_backfill(sched, gang->members[i]);
	if (!all_have_room(sched, false))
		return 0;
	if (gang->count > most) {
		sched->more = true;
		return 0;
	}
	return start_reserved(sched);
}

/* A gang that misses a member is stopped, to start whole again. */
void zr_sched_gang_check(struct zr_sched *sched, zr_handle handle)
{
	const struct zr_sched_job *job = zr_sched_job_row(sched, handle);
	uint32_t i;

	if (job->kind != ZR_JOB_GANG || job->cancelled || !job->running ||
	    job->running + job->ended == job->tasks)
		return;
	for (i = 0; i < job->tasks; i++) {
		if (job->slots[i].state == ZR_SCHED_TASK_RUNNING)
			zr_sched_stop(sched, job->slots[i].placement,
				      ZR_SCHED_STOP_PREEMPTED);
	}
}

/* Backfill */

static bool may_lend(const struct zr_sched *sched,
		     const struct zr_sched_job *job, zr_handle worker,
		     const struct zr_resources *need)
{
	const struct zr_sched_host *host = zr_sched_host_row(sched, worker);
	struct zr_resources used = host->reserved;

	zr_resources_add(&used, need);
	return zr_resources_fit(&used, &host->capacity) &&
	       !zr_sched_blame_avoids(job, worker);
}

zr_handle zr_sched_backfill_find(struct zr_sched *sched,
				 const struct zr_sched_job *job,
				 const struct zr_resources *need)
{
	struct zr_sched_reservation *gang = &sched->gang;
	int64_t run = zr_sched_job_run_ms(job);
	uint32_t i;

	if (!gang->job || job->at_most_once || job->kind != ZR_JOB_BATCH ||
	    run == INT64_MAX || sched->now + run > gang->ready_by)
		return ZR_HANDLE_NONE;
	for (i = 0; i < gang->count && i < BACKFILL_SEARCH_MAX; i++) {
		gang->cursor = (gang->cursor + 1) % gang->count;
		sched->stats.workers_examined++;
		if (may_lend(sched, job, gang->members[gang->cursor], need))
			return gang->members[gang->cursor];
	}
	return ZR_HANDLE_NONE;
}

#include "sched/core.h"

#include <stdlib.h>
#include <string.h>

/**
 * DOC: Gangs
 *
 * All tasks of a gang start together or none does. When there is no room for
 * all, one gang at a time gathers room as it becomes free, up to a time limit.
 * Work that is expected to end before the gang can start may run on the
 * gathered room; run times are wrong, so it is preempted when it has not ended
 * by then.
 */

/* Room is gathered for one gang so long, in milliseconds. */
#define RESERVATION_MS 120000
/* Members whose workers are looked at for one backfill. */
#define BACKFILL_SEARCH_MAX 16
/* Tasks of a worker whose ends are foreseen. */
#define FORESEEN_MAX 64

/* Gathering room */

static uint32_t gather(struct zr_sched *sched, const struct zr_sched_job *job,
		       const struct zr_resources *need, zr_handle *members,
		       uint32_t got, uint32_t count)
{
	for (; got < count; got++) {
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

/* When room for all is to be expected */

struct foreseen {
	int64_t at;
	struct zr_resources room;
};

static int by_time(const void *a, const void *b)
{
	const struct foreseen *first = a;
	const struct foreseen *second = b;

	return (first->at > second->at) - (first->at < second->at);
}

static unsigned int foresee_ends(const struct zr_sched *sched,
				 const struct zr_sched_host *host,
				 struct foreseen *ends)
{
	zr_handle handle = host->first;
	unsigned int count = 0;

	for (; handle && count < FORESEEN_MAX;
	     handle = zr_sched_placement_row(sched, handle)->next) {
		const struct zr_sched_placement *placement =
			zr_sched_placement_row(sched, handle);
		int64_t run = zr_sched_job_run_ms(
			zr_sched_job_row(sched, placement->job));

		if (run == INT64_MAX)
			continue;
		ends[count].at = placement->started_ms + run;
		ends[count++].room = placement->reserved;
	}
	qsort(ends, count, sizeof(*ends), by_time);
	return count;
}

/* Adds the times at which a worker can take a member each. */
static uint32_t foresee_worker(const struct zr_sched *sched,
			       const struct zr_sched_host *host,
			       const struct zr_resources *need,
			       struct foreseen *times, uint32_t room_for)
{
	struct foreseen ends[FORESEEN_MAX];
	unsigned int count = foresee_ends(sched, host, ends);
	struct zr_resources room = zr_sched_host_free(host);
	uint32_t added = 0;
	unsigned int i;

	for (i = 0; i < count; i++) {
		zr_resources_add(&room, &ends[i].room);
		while (added < room_for && zr_resources_fit(need, &room)) {
			zr_resources_sub(&room, need);
			times[added++].at = ends[i].at;
		}
	}
	return added;
}

static int64_t foresee(const struct zr_sched *sched,
		       const struct zr_sched_reservation *gang)
{
	uint32_t missing = gang->count - gang->got;
	uint32_t limit = gang->count + missing;
	uint32_t known = 0;
	int64_t at = gang->until;
	zr_handle worker = ZR_HANDLE_NONE;
	struct foreseen *times = calloc(limit, sizeof(*times));

	if (!times)
		return sched->now;
	while ((worker = zr_table_next(sched->workers, worker))) {
		const struct zr_sched_host *host =
			zr_sched_host_row(sched, worker);

		if (host->state != ZR_SCHED_WORKER_UP || host->suspect)
			continue;
		if (known > missing) {
			qsort(times, known, sizeof(*times), by_time);
			known = missing;
		}
		known += foresee_worker(sched, host, &gang->size, times + known,
					limit - known);
	}
	qsort(times, known, sizeof(*times), by_time);
	if (known >= missing && missing && times[missing - 1].at < at)
		at = times[missing - 1].at;
	free(times);
	return at;
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

	let_go(sched, &gang->size, gang->members, gang->got);
	for (i = 0; i < gang->got; i++) {
		if (zr_sched_host_row(sched, gang->members[i]))
			zr_sched_queue_freed(sched, gang->members[i]);
	}
	end_reservation(sched);
}

static void begin_reservation(struct zr_sched *sched, zr_handle handle,
			      const struct zr_resources *need,
			      zr_handle *members, uint32_t got, uint32_t count)
{
	struct zr_sched_job *job = zr_sched_job_row(sched, handle);
	struct zr_sched_reservation *gang = &sched->gang;

	gang->job = handle;
	gang->size = *need;
	gang->members = members;
	gang->got = got;
	gang->count = count;
	gang->until = sched->now + RESERVATION_MS;
	gang->ready_by = foresee(sched, gang);
	gang->freed = sched->freed;
	job->reserving = true;
	zr_sched_job_route(sched, handle, true);
	job->wait = ZR_SCHED_WAIT_GANG;
	zr_sched_queue_unblock(sched, ZR_HANDLE_NONE, ZR_SCHED_WAIT_NO_ROOM);
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
	got = gather(sched, job, need, members, 0, count);
	if (got < count && !sched->gang.job) {
		begin_reservation(sched, handle, need, members, got, count);
		return 0;
	}
	if (got == count)
		starts = start_members(sched, handle, need, members, count);
	else
		let_go(sched, need, members, got);
	free(members);
	return starts;
}

void zr_sched_gang_drop(struct zr_sched *sched, zr_handle job, zr_handle worker)
{
	struct zr_sched_reservation *gang = &sched->gang;
	uint32_t i = 0;

	if (!gang->job)
		return;
	if (gang->job == job) {
		give_back(sched);
		return;
	}
	while (i < gang->got) {
		if (gang->members[i] != worker) {
			i++;
			continue;
		}
		zr_sched_host_unhold(sched, worker, &gang->size);
		gang->members[i] = gang->members[--gang->got];
		gang->freed = UINT64_MAX; /* look for another worker */
	}
}

/* Starting what is reserved */

/* Whether a worker has the room but for tasks that lend it; those stop. */
static bool clear_backfill(struct zr_sched *sched, zr_handle worker)
{
	const struct zr_sched_host *host = zr_sched_host_row(sched, worker);
	struct zr_resources used = host->reserved;
	zr_handle handle = host->first;

	zr_resources_add(&used, &host->held);
	if (zr_resources_fit(&used, &host->capacity))
		return true;
	while (handle) {
		const struct zr_sched_placement *placement =
			zr_sched_placement_row(sched, handle);
		zr_handle next = placement->next;

		if (placement->backfill && !placement->told_to_stop) {
			sched->stats.preemptions++;
			zr_sched_stop(sched, handle, ZR_SCHED_STOP_PREEMPTED);
		}
		handle = next;
	}
	return false;
}

static bool all_clear(struct zr_sched *sched)
{
	bool clear = true;
	uint32_t i;

	for (i = 0; i < sched->gang.got; i++)
		clear &= clear_backfill(sched, sched->gang.members[i]);
	return clear;
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

	if (!handle)
		return 0;
	if (gang->until <= sched->now || !still_allowed(sched)) {
		give_back(sched);
		zr_sched_job_delay(sched, job);
		zr_sched_job_route(sched, handle, true);
		return 0;
	}
	if (gang->freed != sched->freed) {
		gang->got = gather(sched, job, &gang->size, gang->members,
				   gang->got, gang->count);
		gang->freed = sched->freed;
	}
	if (gang->got < gang->count || !all_clear(sched))
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

	if (!gang->got || gang->got == gang->count || job->at_most_once ||
	    job->kind != ZR_JOB_BATCH || run == INT64_MAX ||
	    sched->now + run > gang->ready_by)
		return ZR_HANDLE_NONE;
	for (i = 0; i < gang->got && i < BACKFILL_SEARCH_MAX; i++) {
		gang->cursor = (gang->cursor + 1) % gang->got;
		sched->stats.workers_examined++;
		if (may_lend(sched, job, gang->members[gang->cursor], need))
			return gang->members[gang->cursor];
	}
	return ZR_HANDLE_NONE;
}

#include "sched/internal.h"

#include <stdlib.h>

/**
 * DOC: Forecast
 *
 * Foresees where and when there will be room for the members of a gang, from
 * the expected ends of running tasks.
 */

/* Tasks of a worker whose ends are foreseen. */
#define FORESEEN_MAX 64

static int by_time(const void *a, const void *b)
{
	const struct zr_sched_foreseen *first = a;
	const struct zr_sched_foreseen *second = b;

	if (first->at != second->at)
		return first->at < second->at ? -1 : 1;
	return (first->worker > second->worker) -
	       (first->worker < second->worker);
}

static unsigned int foresee_ends(const struct zr_sched *sched,
				 const struct zr_sched_host *host,
				 struct zr_sched_foreseen *ends)
{
	zr_handle handle = host->first;
	unsigned int count = 0;

	for (; handle && count < FORESEEN_MAX;
	     handle = zr_sched_placement_row(sched, handle)->next) {
		const struct zr_sched_placement *placement =
			zr_sched_placement_row(sched, handle);
		int64_t run = zr_sched_job_run_ms(
			zr_sched_job_row(sched, placement->job));

		ends[count].at = INT64_MAX;
		if (run != INT64_MAX)
			ends[count].at = placement->started_ms + run;
		ends[count++].room = placement->reserved;
	}
	qsort(ends, count, sizeof(*ends), by_time);
	return count;
}

static void foresee_members(struct zr_sched_forecast *forecast,
			    zr_handle worker, struct zr_resources *room,
			    const struct zr_resources *need, int64_t at)
{
	while (forecast->count < forecast->room &&
	       zr_resources_fit(need, room)) {
		zr_resources_sub(room, need);
		forecast->members[forecast->count].worker = worker;
		forecast->members[forecast->count++].at = at;
	}
}

/* Adds the times at which a worker can take a member each. */
static void foresee_worker(struct zr_sched_forecast *forecast,
			   const struct zr_sched *sched, zr_handle worker,
			   const struct zr_resources *need)
{
	const struct zr_sched_host *host = zr_sched_host_row(sched, worker);
	struct zr_sched_foreseen ends[FORESEEN_MAX];
	unsigned int count = foresee_ends(sched, host, ends);
	struct zr_resources room = zr_sched_host_free(host);
	unsigned int i;

	foresee_members(forecast, worker, &room, need, sched->now);
	for (i = 0; i < count; i++) {
		zr_resources_add(&room, &ends[i].room);
		foresee_members(forecast, worker, &room, need, ends[i].at);
	}
}

/* Keeps the earliest members only, whenever the array has filled. */
void zr_sched_foresee(struct zr_sched_forecast *forecast,
		      struct zr_sched *sched, const struct zr_resources *need,
		      uint32_t wanted)
{
	zr_handle worker = ZR_HANDLE_NONE;

	while ((worker = zr_table_next(sched->workers, worker))) {
		const struct zr_sched_host *host =
			zr_sched_host_row(sched, worker);

		sched->stats.workers_examined++;
		if (host->state != ZR_SCHED_WORKER_UP || host->suspect)
			continue;
		foresee_worker(forecast, sched, worker, need);
		if (forecast->count <= wanted)
			continue;
		qsort(forecast->members, forecast->count,
		      sizeof(*forecast->members), by_time);
		forecast->count = wanted;
	}
	qsort(forecast->members, forecast->count, sizeof(*forecast->members),
	      by_time);
}

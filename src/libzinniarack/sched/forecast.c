#include "sched/internal.h"

#include <stdlib.h>

/**
 * DOC: Forecast
 *
 * Predicts on which workers and when there will be free resources for the
 * members of a gang, from the expected ends of running tasks.
 */

/* Maximum number of running tasks considered for one worker. */
#define TASKS_MAX 64

static int by_time(const void *a, const void *b)
{
	const struct zr_sched_forecast_entry *first = a;
	const struct zr_sched_forecast_entry *second = b;

	if (first->at != second->at)
		return first->at < second->at ? -1 : 1;
	return (first->worker > second->worker) -
	       (first->worker < second->worker);
}

/* Lists the expected ends of a worker's tasks, soonest first. */
static unsigned int predict_ends(const struct zr_sched *sched,
				 const struct zr_sched_worker_entry *entry,
				 struct zr_sched_forecast_entry *ends)
{
	zr_handle handle = entry->first_placement;
	unsigned int count = 0;

	for (; handle && count < TASKS_MAX;
	     handle = zr_sched_placement_get(sched, handle)->next) {
		const struct zr_sched_placement *placement =
			zr_sched_placement_get(sched, handle);
		int64_t run_ms = zr_sched_job_run_ms(
			zr_sched_job_get(sched, placement->job));

		ends[count].at = INT64_MAX;
		if (run_ms != INT64_MAX)
			ends[count].at = placement->started_at + run_ms;
		ends[count++].resources = placement->reserved;
	}
	qsort(ends, count, sizeof(*ends), by_time);
	return count;
}

/*
 * Adds as many members as fit into @available and subtracts their resources
 * from it.
 */
static void add_members(struct zr_sched_forecast *forecast, zr_handle worker,
			struct zr_resources *available,
			const struct zr_resources *need, int64_t at)
{
	while (forecast->count < forecast->alloc &&
	       zr_resources_fit(need, available)) {
		zr_resources_sub(available, need);
		forecast->members[forecast->count].worker = worker;
		forecast->members[forecast->count++].at = at;
	}
}

/*
 * Adds an entry for each member that a worker can hold, now or when one of its
 * tasks ends.
 */
static void add_worker_members(struct zr_sched_forecast *forecast,
			       const struct zr_sched *sched, zr_handle worker,
			       const struct zr_resources *need)
{
	const struct zr_sched_worker_entry *entry =
		zr_sched_worker_entry_get(sched, worker);
	struct zr_sched_forecast_entry ends[TASKS_MAX];
	unsigned int count = predict_ends(sched, entry, ends);
	struct zr_resources available =
		zr_sched_worker_entry_free_resources(entry);
	unsigned int i;

	add_members(forecast, worker, &available, need, sched->now);
	for (i = 0; i < count; i++) {
		zr_resources_add(&available, &ends[i].resources);
		add_members(forecast, worker, &available, need, ends[i].at);
	}
}

/*
 * Whenever the array holds more than @count members, it is sorted and cut to
 * the soonest @count, so that its length stays bounded.
 */
void zr_sched_forecast_compute(struct zr_sched_forecast *forecast,
			       struct zr_sched *sched,
			       const struct zr_resources *need, uint32_t count)
{
	zr_handle worker = ZR_HANDLE_NONE;

	while ((worker = zr_table_next(sched->workers, worker))) {
		const struct zr_sched_worker_entry *entry =
			zr_sched_worker_entry_get(sched, worker);

		sched->stats.workers_examined++;
		if (entry->state != ZR_SCHED_WORKER_UP || entry->suspect)
			continue;
		add_worker_members(forecast, sched, worker, need);
		if (forecast->count <= count)
			continue;
		qsort(forecast->members, forecast->count,
		      sizeof(*forecast->members), by_time);
		forecast->count = count;
	}
	qsort(forecast->members, forecast->count, sizeof(*forecast->members),
	      by_time);
}

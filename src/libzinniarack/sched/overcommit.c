#include "sched/internal.h"

#include <stdlib.h>

/**
 * DOC: Overcommitted workers and teams
 *
 * Usage reports can raise the reservations on a worker above its capacity. Then
 * tasks are throttled or stopped, lowest priority first. If only processor time
 * exceeds the capacity, tasks that use more than was reserved at their start
 * are throttled back to that amount. If memory or accelerators exceed it too,
 * or no task can be throttled, tasks are checkpointed and stopped. Tasks of a
 * team over its limit are stopped in the same order.
 */

static bool exceeds(const struct zr_resources *reserved,
		    const struct zr_resources *capacity)
{
	return !zr_resources_fit(reserved, capacity);
}

static bool is_running(const struct zr_sched *sched,
		       const struct zr_sched_placement *placement)
{
	return zr_sched_job_get(sched, placement->job)
		       ->task_entries[placement->index]
		       .state == ZR_SCHED_TASK_RUNNING;
}

/*
 * A throttled task is assumed to use no more than its reservation at the start,
 * until a report made more than a grace period later shows that it does.
 */
static bool throttle_is_effective(const struct zr_sched_placement *placement)
{
	return placement->throttled_at &&
	       (placement->millicpus <= placement->initial_reserved.millicpus ||
		placement->reported_at <=
			placement->throttled_at + ZR_SCHED_STOP_GRACE_MS);
}

/* The reservation of a task once its pending stop or throttle takes effect. */
static struct zr_resources
expected_reservation(const struct zr_sched *sched,
		     const struct zr_sched_placement *placement)
{
	struct zr_resources reservation = {0};

	if (!is_running(sched, placement))
		return reservation;
	reservation = placement->reserved;
	if (throttle_is_effective(placement))
		reservation.millicpus = placement->initial_reserved.millicpus;
	return reservation;
}

/* The worker's reservations once pending stops and throttles take effect. */
static struct zr_resources
expected_worker_total(const struct zr_sched *sched,
		      const struct zr_sched_worker_entry *entry)
{
	struct zr_resources sum = {0};
	zr_handle handle = entry->first_placement;

	while (handle) {
		const struct zr_sched_placement *placement =
			zr_sched_placement_get(sched, handle);
		struct zr_resources reservation =
			expected_reservation(sched, placement);

		zr_resources_add(&sum, &reservation);
		handle = placement->next;
	}
	return sum;
}

static bool can_throttle(const struct zr_sched_placement *placement)
{
	return !placement->throttled_at &&
	       placement->reserved.millicpus >
		       placement->initial_reserved.millicpus;
}

/*
 * Returns the rank by which tasks are stopped, lowest first: backfill tasks,
 * then other tasks by priority, then urgent tasks by priority, and last
 * at-most-once tasks, since they cannot run again.
 */
static uint32_t eviction_rank(const struct zr_sched *sched,
			      const struct zr_sched_placement *placement)
{
	const struct zr_sched_job *job =
		zr_sched_job_get(sched, placement->job);
	uint32_t rank = job->effective_priority;

	if (placement->backfill)
		return 0;
	if (job->at_most_once)
		return rank + (1u << 20);
	return rank + (job->urgent ? 1u << 10 : 0);
}

/*
 * Finds the running task to stop first or, with @throttle, to throttle first.
 */
static zr_handle find_lowest_rank(const struct zr_sched *sched,
				  const struct zr_sched_worker_entry *entry,
				  bool throttle)
{
	zr_handle lowest = ZR_HANDLE_NONE;
	zr_handle handle = entry->first_placement;
	uint32_t lowest_rank = UINT32_MAX;

	while (handle) {
		const struct zr_sched_placement *placement =
			zr_sched_placement_get(sched, handle);
		uint32_t rank = eviction_rank(sched, placement);

		if (is_running(sched, placement) && rank < lowest_rank &&
		    (!throttle || can_throttle(placement))) {
			lowest = handle;
			lowest_rank = rank;
		}
		handle = placement->next;
	}
	return lowest;
}

/* Throttles or stops one task. Returns false when there is none. */
static bool reduce_worker_load(struct zr_sched *sched,
			       const struct zr_sched_worker_entry *entry,
			       const struct zr_resources *sum)
{
	bool must_stop = sum->memory_mb > entry->capacity.memory_mb ||
			 sum->accelerators > entry->capacity.accelerators;
	enum zr_sched_stop_reason reason = ZR_SCHED_STOP_THROTTLE;
	zr_handle victim = ZR_HANDLE_NONE;

	if (!must_stop)
		victim = find_lowest_rank(sched, entry, true);
	if (!victim) {
		reason = ZR_SCHED_STOP_OVERCOMMIT;
		victim = find_lowest_rank(sched, entry, false);
	}
	if (!victim)
		return false;
	sched->stats.overcommit_actions++;
	zr_sched_stop(sched, victim, reason);
	return true;
}

void zr_sched_overcommit_resolve(struct zr_sched *sched, zr_handle worker)
{
	const struct zr_sched_worker_entry *entry =
		zr_sched_worker_entry_get(sched, worker);
	struct zr_resources sum;

	if (!exceeds(&entry->reserved, &entry->capacity))
		return;
	do {
		sum = expected_worker_total(sched, entry);
	} while (exceeds(&sum, &entry->capacity) &&
		 reduce_worker_load(sched, entry, &sum));
}

/* Teams over their limit */

struct victim {
	zr_handle placement;
	uint32_t rank; /* see eviction_rank() */
	int64_t started_at;
};

/* Orders by rank, lowest first, then by start, latest first. */
static int compare_victims(const void *a, const void *b)
{
	const struct victim *first = a;
	const struct victim *second = b;

	if (first->rank != second->rank)
		return first->rank < second->rank ? -1 : 1;
	return (first->started_at < second->started_at) -
	       (first->started_at > second->started_at);
}

/*
 * Lists the team's running tasks in @victims, in the order in which to stop
 * them, and adds the reservations of those already stopping to @stopping.
 */
static uint32_t collect_victims(const struct zr_sched *sched, zr_handle team,
				struct victim *victims,
				struct zr_resources *stopping)
{
	zr_handle handle = ZR_HANDLE_NONE;
	uint32_t count = 0;

	while ((handle = zr_table_next(sched->placements, handle))) {
		const struct zr_sched_placement *placement =
			zr_sched_placement_get(sched, handle);
		const struct zr_sched_job *job =
			zr_sched_job_get(sched, placement->job);

		if (job->profile->team != team)
			continue;
		if (!is_running(sched, placement)) {
			zr_resources_add(stopping, &placement->reserved);
			continue;
		}
		victims[count].placement = handle;
		victims[count].rank = eviction_rank(sched, placement);
		victims[count++].started_at = placement->started_at;
	}
	qsort(victims, count, sizeof(*victims), compare_victims);
	return count;
}

static bool remains_over_limit(const struct zr_sched_team *team,
			       const struct zr_resources *stopping)
{
	struct zr_sched_team remaining = *team;

	zr_resources_sub(&remaining.used, stopping);
	return zr_sched_team_is_over_limit(&remaining);
}

/*
 * Scans all placements. This is cheap enough, as it is done only when the
 * configuration or a limit changes.
 */
void zr_sched_team_enforce_limit(struct zr_sched *sched, zr_handle handle)
{
	const struct zr_sched_team *team = zr_sched_team_get(sched, handle);
	struct zr_resources stopping = {0};
	struct victim *victims;
	uint32_t count;
	uint32_t i;

	if (!zr_sched_team_is_over_limit(team))
		return;
	victims = calloc(zr_table_count(sched->placements), sizeof(*victims));
	if (!victims)
		return;
	count = collect_victims(sched, handle, victims, &stopping);
	for (i = 0; i < count && remains_over_limit(team, &stopping); i++) {
		const struct zr_sched_placement *placement =
			zr_sched_placement_get(sched, victims[i].placement);

		zr_resources_add(&stopping, &placement->reserved);
		sched->stats.overcommit_actions++;
		zr_sched_stop(sched, victims[i].placement,
			      ZR_SCHED_STOP_OVERCOMMIT);
	}
	free(victims);
}

#include "sched/internal.h"

#include <stdlib.h>

/**
 * DOC: Relief
 *
 * Reports can raise what is reserved on a worker past its capacity. Then tasks
 * make way, least worth first: those that use more processor time than they
 * were given are throttled, others are checkpointed and stopped.
 */

static bool over(const struct zr_resources *reserved,
		 const struct zr_resources *capacity)
{
	return !zr_resources_fit(reserved, capacity);
}

static bool is_running(const struct zr_sched *sched,
		       const struct zr_sched_placement *placement)
{
	return zr_sched_job_row(sched, placement->job)
		       ->slots[placement->index]
		       .state == ZR_SCHED_TASK_RUNNING;
}

/* A throttle counts until a report, made after it, shows no effect. */
static bool throttle_counts(const struct zr_sched_placement *placement)
{
	return placement->throttled_ms &&
	       (placement->millicpus <= placement->base.millicpus ||
		placement->seen_ms <=
			placement->throttled_ms + ZR_SCHED_STOP_GRACE_MS);
}

/* What a task will have once what was decided of it has taken effect. */
static struct zr_resources expected(const struct zr_sched *sched,
				    const struct zr_sched_placement *placement)
{
	struct zr_resources room = {0};

	if (!is_running(sched, placement))
		return room;
	room = placement->reserved;
	if (throttle_counts(placement))
		room.millicpus = placement->base.millicpus;
	return room;
}

static struct zr_resources expected_sum(const struct zr_sched *sched,
					const struct zr_sched_host *host)
{
	struct zr_resources sum = {0};
	zr_handle handle = host->first;

	while (handle) {
		const struct zr_sched_placement *placement =
			zr_sched_placement_row(sched, handle);
		struct zr_resources room = expected(sched, placement);

		zr_resources_add(&sum, &room);
		handle = placement->next;
	}
	return sum;
}

static bool may_throttle(const struct zr_sched_placement *placement)
{
	return !placement->throttled_ms &&
	       placement->reserved.millicpus > placement->base.millicpus;
}

/* Work that cannot be run again goes last, then the order is of worth. */
static uint32_t rank_of(const struct zr_sched *sched,
			const struct zr_sched_placement *placement)
{
	const struct zr_sched_job *job =
		zr_sched_job_row(sched, placement->job);
	uint32_t rank = job->rank;

	if (placement->backfill)
		return 0;
	if (job->at_most_once)
		return rank + (1u << 20);
	return rank + (job->urgent ? 1u << 10 : 0);
}

static zr_handle least_worth(const struct zr_sched *sched,
			     const struct zr_sched_host *host, bool throttle)
{
	zr_handle least = ZR_HANDLE_NONE;
	zr_handle handle = host->first;
	uint32_t least_rank = UINT32_MAX;

	while (handle) {
		const struct zr_sched_placement *placement =
			zr_sched_placement_row(sched, handle);
		uint32_t rank = rank_of(sched, placement);

		if (is_running(sched, placement) && rank < least_rank &&
		    (!throttle || may_throttle(placement))) {
			least = handle;
			least_rank = rank;
		}
		handle = placement->next;
	}
	return least;
}

static bool relieve_once(struct zr_sched *sched,
			 const struct zr_sched_host *host,
			 const struct zr_resources *sum)
{
	bool memory = sum->memory_mb > host->capacity.memory_mb ||
		      sum->accelerators > host->capacity.accelerators;
	enum zr_sched_stop why = ZR_SCHED_STOP_THROTTLE;
	zr_handle victim = ZR_HANDLE_NONE;

	if (!memory)
		victim = least_worth(sched, host, true);
	if (!victim) {
		why = ZR_SCHED_STOP_RELIEF;
		victim = least_worth(sched, host, false);
	}
	if (!victim)
		return false;
	sched->stats.reliefs++;
	zr_sched_stop(sched, victim, why);
	return true;
}

void zr_sched_relieve(struct zr_sched *sched, zr_handle worker)
{
	const struct zr_sched_host *host = zr_sched_host_row(sched, worker);
	struct zr_resources sum;

	if (!over(&host->reserved, &host->capacity))
		return;
	do {
		sum = expected_sum(sched, host);
	} while (over(&sum, &host->capacity) &&
		 relieve_once(sched, host, &sum));
}

/* Teams over their limit */

struct victim {
	zr_handle placement;
	uint32_t rank;
	int64_t started_ms;
};

/* Least worth first, then the youngest. */
static int by_worth(const void *a, const void *b)
{
	const struct victim *first = a;
	const struct victim *second = b;

	if (first->rank != second->rank)
		return first->rank < second->rank ? -1 : 1;
	return (first->started_ms < second->started_ms) -
	       (first->started_ms > second->started_ms);
}

/* Adds up what is stopping already, and lists what still runs. */
static uint32_t list_victims(const struct zr_sched *sched, zr_handle team,
			     struct victim *victims,
			     struct zr_resources *stopping)
{
	zr_handle handle = ZR_HANDLE_NONE;
	uint32_t count = 0;

	while ((handle = zr_table_next(sched->placements, handle))) {
		const struct zr_sched_placement *placement =
			zr_sched_placement_row(sched, handle);
		const struct zr_sched_job *job =
			zr_sched_job_row(sched, placement->job);

		if (job->profile->team != team)
			continue;
		if (!is_running(sched, placement)) {
			zr_resources_add(stopping, &placement->reserved);
			continue;
		}
		victims[count].placement = handle;
		victims[count].rank = rank_of(sched, placement);
		victims[count++].started_ms = placement->started_ms;
	}
	qsort(victims, count, sizeof(*victims), by_worth);
	return count;
}

static bool stays_over(const struct zr_sched_team *team,
		       const struct zr_resources *stopping)
{
	struct zr_sched_team left = *team;

	zr_resources_sub(&left.used, stopping);
	return zr_sched_team_over(&left);
}

/* Once for each lowered limit, so a walk over all running tasks is cheap. */
void zr_sched_team_relieve(struct zr_sched *sched, zr_handle handle)
{
	const struct zr_sched_team *team = zr_sched_team_row(sched, handle);
	struct zr_resources stopping = {0};
	struct victim *victims;
	uint32_t count;
	uint32_t i;

	if (!zr_sched_team_over(team))
		return;
	victims = calloc(zr_table_count(sched->placements), sizeof(*victims));
	if (!victims)
		return;
	count = list_victims(sched, handle, victims, &stopping);
	for (i = 0; i < count && stays_over(team, &stopping); i++) {
		const struct zr_sched_placement *placement =
			zr_sched_placement_row(sched, victims[i].placement);

		zr_resources_add(&stopping, &placement->reserved);
		sched->stats.reliefs++;
		zr_sched_stop(sched, victims[i].placement,
			      ZR_SCHED_STOP_RELIEF);
	}
	free(victims);
}

#include "sched/internal.h"

/**
 * DOC: Order
 *
 * Chooses the class to try next: the best by the policy of those that are not
 * blocked and of those that may fit a worker with freed room.
 */

/* Longest time for which the order of classes holds, in milliseconds. */
#define ORDER_MS 250

static struct zr_sched_candidate make_candidate(const struct zr_sched *sched,
						struct zr_sched_class *class)
{
	const struct zr_sched_team *team =
		zr_sched_team_row(sched, class->key.team);
	const struct zr_sched_lane *lane = &class->lanes[0];
	const struct zr_sched_job *job = zr_sched_job_row(sched, lane->head);
	struct zr_sched_candidate candidate = {
		.class = class,
		.urgent = class->key.urgent,
		.rank = lane->rank,
		.start_by = lane->start_by,
		.slack_ms = INT64_MAX,
		.weighted = team->dominant / team->share,
		.arrival = job->arrival,
	};

	if (lane->start_by != INT64_MAX)
		candidate.slack_ms = lane->start_by - sched->now;
	candidate.under_share = team->dominant * sched->total_share <
				(uint64_t)team->share * 1000000000u;
	return candidate;
}

static bool goes_first(const struct zr_sched *sched,
		       struct zr_sched_class *class,
		       const struct zr_sched_candidate *best,
		       struct zr_sched_candidate *candidate)
{
	const struct zr_sched_policy *policy = &sched->policy;

	*candidate = make_candidate(sched, class);
	return !best->class ||
	       policy->compare(policy->ctx, candidate, best) < 0;
}

static void order_team(const struct zr_sched *sched, struct zr_sched_team *team)
{
	struct zr_sched_candidate best = {0};
	struct zr_sched_candidate candidate;
	uint32_t i;

	for (i = 0; i < team->class_count; i++) {
		struct zr_sched_class *class = team->classes[i];

		if (!class->blocked &&
		    goes_first(sched, class, &best, &candidate))
			best = candidate;
	}
	team->best = best.class;
	team->stale = false;
}

static void order_all_again(struct zr_sched *sched)
{
	zr_handle team = ZR_HANDLE_NONE;

	sched->ordered_at = sched->now;
	while ((team = zr_table_next(sched->teams, team)))
		zr_sched_team_row(sched, team)->stale = true;
}

/* The best of the classes that are not blocked. */
static void take_best(struct zr_sched *sched, struct zr_sched_candidate *best)
{
	struct zr_sched_candidate candidate;
	zr_handle handle = ZR_HANDLE_NONE;

	if (sched->now - sched->ordered_at >= ORDER_MS)
		order_all_again(sched);
	while ((handle = zr_table_next(sched->teams, handle))) {
		struct zr_sched_team *team = zr_sched_team_row(sched, handle);

		if (team->stale)
			order_team(sched, team);
		if (team->best &&
		    goes_first(sched, team->best, best, &candidate))
			*best = candidate;
	}
}

/* Workers with freed room. One has room for few tasks, so that of the classes
 * that wait for room only the best that fits is tried, then the next. */

static bool may_get_work(const struct zr_sched *sched,
			 const struct zr_sched_host *host)
{
	if (host->suspect)
		return zr_sched_probe_due(sched, host);
	return host->state == ZR_SCHED_WORKER_UP;
}

void zr_sched_queue_freed(struct zr_sched *sched, zr_handle handle)
{
	struct zr_sched_host *host = zr_sched_host_row(sched, handle);

	if (host->freed || !may_get_work(sched, host))
		return;
	host->freed = true;
	host->next_freed = ZR_HANDLE_NONE;
	if (sched->freed_tail)
		zr_sched_host_row(sched, sched->freed_tail)->next_freed =
			handle;
	else
		sched->freed_head = handle;
	sched->freed_tail = handle;
	if (sched->freed_head == handle)
		sched->round++;
}

static void pop_freed(struct zr_sched *sched)
{
	struct zr_sched_host *host =
		zr_sched_host_row(sched, sched->freed_head);

	host->freed = false;
	sched->freed_head = host->next_freed;
	if (!sched->freed_head)
		sched->freed_tail = ZR_HANDLE_NONE;
	sched->round++;
}

void zr_sched_freed_drop(struct zr_sched *sched, zr_handle worker)
{
	zr_handle previous = ZR_HANDLE_NONE;
	zr_handle handle = sched->freed_head;
	const struct zr_sched_host *host = zr_sched_host_row(sched, worker);

	if (!host->freed)
		return;
	while (handle != worker) {
		previous = handle;
		handle = zr_sched_host_row(sched, handle)->next_freed;
	}
	if (!previous) {
		pop_freed(sched);
		return;
	}
	zr_sched_host_row(sched, previous)->next_freed = host->next_freed;
	if (sched->freed_tail == worker)
		sched->freed_tail = previous;
}

static bool may_use(const struct zr_sched *sched,
		    const struct zr_sched_class *class,
		    const struct zr_resources *room)
{
	return class->blocked == ZR_SCHED_WAIT_NO_ROOM &&
	       class->round != sched->round &&
	       zr_resources_fit(&class->refused, room);
}

/* The best of the classes that wait for room and may fit the first worker. */
static bool take_best_freed(struct zr_sched *sched,
			    struct zr_sched_candidate *best)
{
	const struct zr_sched_host *host =
		zr_sched_host_row(sched, sched->freed_head);
	struct zr_resources room = zr_sched_host_free(host);
	struct zr_sched_candidate candidate;
	struct zr_sched_class *class;
	struct zr_sched_class *next;

	if (!may_get_work(sched, host))
		return false;
	HASH_ITER (hh, sched->classes, class, next) {
		if (may_use(sched, class, &room) &&
		    goes_first(sched, class, best, &candidate))
			*best = candidate;
	}
	return best->class != NULL;
}

struct zr_sched_class *zr_sched_queue_best(struct zr_sched *sched)
{
	struct zr_sched_candidate best = {0};

	while (sched->freed_head && !take_best_freed(sched, &best))
		pop_freed(sched);
	take_best(sched, &best);
	if (best.class && best.class->blocked) {
		best.class->round = sched->round;
		zr_sched_class_unblock(sched, best.class);
	}
	return best.class;
}

/* A queue's worth has changed: its jobs take their place anew. */
static void queue_again(struct zr_sched *sched, zr_handle handle)
{
	struct zr_sched_job *job = zr_sched_job_row(sched, handle);
	uint32_t rank = zr_sched_job_rank(sched, job);
	bool queued = job->place == ZR_SCHED_PLACE_QUEUE;

	if (job->rank == rank)
		return;
	if (queued)
		zr_sched_queue_remove(sched, handle);
	job->rank = rank;
	if (queued)
		zr_sched_job_route(sched, handle, false);
}

void zr_sched_queues_configure(struct zr_sched *sched)
{
	struct zr_sched_class *class;
	struct zr_sched_class *next;
	zr_handle job = ZR_HANDLE_NONE;

	while ((job = zr_table_next(sched->jobs, job)))
		queue_again(sched, job);
	HASH_ITER (hh, sched->classes, class, next)
		class->blocked = ZR_SCHED_WAIT_NONE;
	order_all_again(sched);
}

#include "sched/internal.h"

/**
 * DOC: Order of classes
 *
 * Chooses the class to try next by the scheduling policy. Two sets of classes
 * compete: those that are not blocked, and those that are blocked for lack of
 * capacity but may fit a worker whose resources were freed.
 */

/*
 * Maximum age of a team's cached best class, in milliseconds: the slack and the
 * shares that determine the order change with time.
 */
#define REORDER_INTERVAL_MS 250

static struct zr_sched_order_key make_order_key(const struct zr_sched *sched,
						struct zr_sched_class *class)
{
	const struct zr_sched_team *team =
		zr_sched_team_get(sched, class->key.team);
	const struct zr_sched_job_list *list = &class->lists[0];
	const struct zr_sched_job *job = zr_sched_job_get(sched, list->head);
	struct zr_sched_order_key order_key = {
		.class = class,
		.urgent = class->key.urgent,
		.effective_priority = list->effective_priority,
		.latest_start = list->latest_start,
		.slack_ms = INT64_MAX,
		.weighted_share = team->dominant_share / team->share,
		.arrival = job->arrival,
	};

	if (list->latest_start != INT64_MAX)
		order_key.slack_ms = list->latest_start - sched->now;
	/* The dominant share is in parts per billion. */
	order_key.under_share = team->dominant_share * sched->total_share <
				(uint64_t)team->share * 1000000000u;
	return order_key;
}

/* Fills @order_key from @class. Returns whether the class goes before @best. */
static bool is_better(const struct zr_sched *sched,
		      struct zr_sched_class *class,
		      const struct zr_sched_order_key *best,
		      struct zr_sched_order_key *order_key)
{
	const struct zr_sched_policy *policy = &sched->policy;

	*order_key = make_order_key(sched, class);
	return !best->class ||
	       policy->compare(policy->ctx, order_key, best) < 0;
}

static void update_team_best(const struct zr_sched *sched,
			     struct zr_sched_team *team)
{
	struct zr_sched_order_key best = {0};
	struct zr_sched_order_key order_key;
	uint32_t i;

	for (i = 0; i < team->class_count; i++) {
		struct zr_sched_class *class = team->classes[i];

		if (!class->blocked &&
		    is_better(sched, class, &best, &order_key))
			best = order_key;
	}
	team->best = best.class;
	team->best_stale = false;
}

static void invalidate_all_teams(struct zr_sched *sched)
{
	zr_handle team = ZR_HANDLE_NONE;

	sched->ordered_at = sched->now;
	while ((team = zr_table_next(sched->teams, team)))
		zr_sched_team_get(sched, team)->best_stale = true;
}

/* Replaces @best by the best class that is not blocked if that goes first. */
static void consider_unblocked(struct zr_sched *sched,
			       struct zr_sched_order_key *best)
{
	struct zr_sched_order_key order_key;
	zr_handle handle = ZR_HANDLE_NONE;

	if (sched->now - sched->ordered_at >= REORDER_INTERVAL_MS)
		invalidate_all_teams(sched);
	while ((handle = zr_table_next(sched->teams, handle))) {
		struct zr_sched_team *team = zr_sched_team_get(sched, handle);

		if (team->best_stale)
			update_team_best(sched, team);
		if (team->best &&
		    is_better(sched, team->best, best, &order_key))
			*best = order_key;
	}
}

/*
 * Workers whose resources were freed. Such a worker can take only a few more
 * tasks. Therefore the classes blocked for lack of capacity are not all
 * unblocked, but tried for it one by one, the best first.
 */

static bool accepts_tasks(const struct zr_sched *sched,
			  const struct zr_sched_worker_entry *entry)
{
	if (entry->suspect)
		return zr_sched_probe_is_due(sched, entry);
	return entry->state == ZR_SCHED_WORKER_UP;
}

void zr_sched_freed_add(struct zr_sched *sched, zr_handle handle)
{
	struct zr_sched_worker_entry *entry =
		zr_sched_worker_entry_get(sched, handle);

	if (entry->in_freed_list || !accepts_tasks(sched, entry))
		return;
	entry->in_freed_list = true;
	entry->next_freed = ZR_HANDLE_NONE;
	if (sched->freed_tail)
		zr_sched_worker_entry_get(sched, sched->freed_tail)
			->next_freed = handle;
	else
		sched->freed_head = handle;
	sched->freed_tail = handle;
	if (sched->freed_head == handle)
		sched->freed_round++;
}

static void remove_first_freed(struct zr_sched *sched)
{
	struct zr_sched_worker_entry *entry =
		zr_sched_worker_entry_get(sched, sched->freed_head);

	entry->in_freed_list = false;
	sched->freed_head = entry->next_freed;
	if (!sched->freed_head)
		sched->freed_tail = ZR_HANDLE_NONE;
	sched->freed_round++;
}

void zr_sched_freed_remove(struct zr_sched *sched, zr_handle worker)
{
	zr_handle previous = ZR_HANDLE_NONE;
	zr_handle handle = sched->freed_head;
	const struct zr_sched_worker_entry *entry =
		zr_sched_worker_entry_get(sched, worker);

	if (!entry->in_freed_list)
		return;
	while (handle != worker) {
		previous = handle;
		handle = zr_sched_worker_entry_get(sched, handle)->next_freed;
	}
	if (!previous) {
		remove_first_freed(sched);
		return;
	}
	zr_sched_worker_entry_get(sched, previous)->next_freed =
		entry->next_freed;
	if (sched->freed_tail == worker)
		sched->freed_tail = previous;
}

/*
 * Whether a class is blocked for lack of capacity, may fit into @available and
 * has not been tried since the head of the freed list changed.
 */
static bool may_fit(const struct zr_sched *sched,
		    const struct zr_sched_class *class,
		    const struct zr_resources *available)
{
	return class->blocked == ZR_SCHED_WAIT_NO_CAPACITY &&
	       class->last_tried_round != sched->freed_round &&
	       zr_resources_fit(&class->min_refused, available);
}

/* Finds the best blocked class that may fit the first freed worker. */
static bool find_best_for_freed(struct zr_sched *sched,
				struct zr_sched_order_key *best)
{
	const struct zr_sched_worker_entry *entry =
		zr_sched_worker_entry_get(sched, sched->freed_head);
	struct zr_resources available =
		zr_sched_worker_entry_free_resources(entry);
	struct zr_sched_order_key order_key;
	struct zr_sched_class *class;
	struct zr_sched_class *next;

	if (!accepts_tasks(sched, entry))
		return false;
	HASH_ITER (hh, sched->classes, class, next) {
		if (may_fit(sched, class, &available) &&
		    is_better(sched, class, best, &order_key))
			*best = order_key;
	}
	return best->class != NULL;
}

struct zr_sched_class *zr_sched_queue_best(struct zr_sched *sched)
{
	struct zr_sched_order_key best = {0};

	while (sched->freed_head && !find_best_for_freed(sched, &best))
		remove_first_freed(sched);
	consider_unblocked(sched, &best);
	if (best.class && best.class->blocked) {
		best.class->last_tried_round = sched->freed_round;
		zr_sched_class_unblock(sched, best.class);
	}
	return best.class;
}

/* Updates a job's effective priority and requeues the job if it changed. */
static void update_priority(struct zr_sched *sched, zr_handle handle)
{
	struct zr_sched_job *job = zr_sched_job_get(sched, handle);
	uint32_t priority = zr_sched_job_effective_priority(sched, job);
	bool queued = job->list == ZR_SCHED_LIST_QUEUE;

	if (job->effective_priority == priority)
		return;
	if (queued)
		zr_sched_queue_remove(sched, handle);
	job->effective_priority = priority;
	if (queued)
		zr_sched_job_update_list(sched, handle, false);
}

void zr_sched_queues_configure(struct zr_sched *sched)
{
	struct zr_sched_class *class;
	struct zr_sched_class *next;
	zr_handle job = ZR_HANDLE_NONE;

	while ((job = zr_table_next(sched->jobs, job)))
		update_priority(sched, job);
	HASH_ITER (hh, sched->classes, class, next)
		class->blocked = ZR_SCHED_WAIT_NONE;
	invalidate_all_teams(sched);
}

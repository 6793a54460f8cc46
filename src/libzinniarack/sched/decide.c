#include "sched/internal.h"

/**
 * DOC: Scheduling pass
 *
 * zr_sched_decide() first processes what is due by now: stops, migrations,
 * backoff delays, probes, claims and the gang reservation. It then tries queued
 * jobs, the best class by the policy first, until every class is blocked or a
 * bound on starts or on examined records is reached.
 */

/* Maximum number of jobs of a class that are tried before it is blocked. */
#define CLASS_TRIES_MAX 4
/*
 * Interval after which urgent jobs that found no victims are tried again, in
 * milliseconds.
 */
#define URGENT_RETRY_MS 100

/**
 * enum try_outcome - result of trying a job
 * @TRY_PLACED: one or more of its tasks have started
 * @TRY_CLASS_CHANGED: the job has left its class, or one of its tasks got a
 *	claim
 * @TRY_NO_CAPACITY: no worker can take a task
 * @TRY_LIMIT: its team is at the upper limit
 * @TRY_DEFERRED: a gang with more tasks than this call may still start
 */
enum try_outcome {
	TRY_PLACED,
	TRY_CLASS_CHANGED,
	TRY_NO_CAPACITY,
	TRY_LIMIT,
	TRY_DEFERRED,
};

uint64_t zr_sched_examined_count(const struct zr_sched *sched)
{
	return sched->stats.workers_examined + sched->stats.jobs_examined;
}

void zr_sched_now_refresh(struct zr_sched *sched)
{
	sched->now = zr_time_to_ms(zr_clock_now(sched->clock));
}

/* Starting one task */

static zr_handle start_on(struct zr_sched *sched, zr_handle handle,
			  zr_handle worker, const char *reason)
{
	zr_handle placement = ZR_HANDLE_NONE;

	if (worker)
		zr_sched_task_start(&placement, sched, handle, worker, reason);
	return placement;
}

static bool start_probe(struct zr_sched *sched, zr_handle handle,
			const struct zr_resources *need)
{
	zr_handle worker;
	zr_handle placement;

	worker = zr_sched_probe_find(sched, zr_sched_job_get(sched, handle),
				     need);
	placement =
		start_on(sched, handle, worker, "probe of a suspect worker");
	if (!placement)
		return false;
	zr_sched_placement_get(sched, placement)->probe = true;
	zr_sched_worker_entry_get(sched, worker)->probing = true;
	sched->probe_worker = ZR_HANDLE_NONE;
	return true;
}

static bool start_backfill(struct zr_sched *sched, zr_handle handle,
			   const struct zr_resources *need)
{
	zr_handle worker = zr_sched_backfill_find(
		sched, zr_sched_job_get(sched, handle), need);
	zr_handle placement = start_on(sched, handle, worker,
				       "backfill, ends before the gang starts");

	if (!placement)
		return false;
	zr_sched_placement_get(sched, placement)->backfill = true;
	sched->stats.backfills++;
	return true;
}

static bool start_task(struct zr_sched *sched, zr_handle handle,
		       const struct zr_resources *need)
{
	zr_handle worker;

	if (sched->probe_worker && start_probe(sched, handle, need))
		return true;
	worker =
		zr_sched_fit_find(sched, zr_sched_job_get(sched, handle), need);
	if (worker)
		return start_on(sched, handle, worker, "best fit") !=
		       ZR_HANDLE_NONE;
	return start_backfill(sched, handle, need);
}

/* Trying one job */

static bool move_to_class(struct zr_sched *sched, zr_handle handle)
{
	zr_sched_queue_remove(sched, handle);
	zr_sched_job_update_list(sched, handle, false);
	return true;
}

/*
 * Removes a job from its class when it belongs to another class because its
 * estimated size has changed, or when it has to be parked.
 */
static bool remove_misplaced(struct zr_sched *sched, zr_handle handle)
{
	const struct zr_sched_job *job = zr_sched_job_get(sched, handle);

	if (!zr_sched_class_matches(job))
		return move_to_class(sched, handle);
	if (!sched->shape_count || zr_sched_job_is_schedulable(sched, job))
		return false;
	zr_sched_job_park(sched, handle,
			  zr_sched_job_unschedulable_reason(sched, job));
	return true;
}

/*
 * Whether a task can be refused without a search, because it needs at least as
 * much of every resource as the lowest need of the tasks refused before.
 */
static bool is_refused(const struct zr_sched_job *job,
		       const struct zr_resources *need,
		       const struct zr_resources *min_need)
{
	return job->kind != ZR_JOB_GANG && zr_resources_fit(min_need, need);
}

static enum try_outcome try_gang(struct zr_sched *sched, zr_handle handle,
				 const struct zr_resources *need,
				 unsigned int *starts, unsigned int max)
{
	if (zr_sched_job_waiting_count(zr_sched_job_get(sched, handle)) > max)
		return TRY_DEFERRED;
	*starts = zr_sched_gang_try(sched, handle, need);
	if (*starts)
		return TRY_PLACED;
	return zr_sched_job_get(sched, handle)->reserving ? TRY_CLASS_CHANGED
							  : TRY_NO_CAPACITY;
}

static enum try_outcome try_job(struct zr_sched *sched, zr_handle handle,
				unsigned int *starts, unsigned int max)
{
	const struct zr_sched_job *job = zr_sched_job_get(sched, handle);
	const struct zr_sched_team *team =
		zr_sched_team_get(sched, job->profile->team);
	struct zr_resources need = zr_sched_job_need(job);
	bool is_gang = job->kind == ZR_JOB_GANG;

	sched->stats.jobs_examined++;
	if (remove_misplaced(sched, handle))
		return TRY_CLASS_CHANGED;
	if (!zr_sched_team_has_quota(
		    team, &need, is_gang ? zr_sched_job_waiting_count(job) : 1))
		return TRY_LIMIT;
	if (is_gang)
		return try_gang(sched, handle, &need, starts, max);
	if (start_task(sched, handle, &need)) {
		*starts = 1;
		zr_sched_job_update_list(sched, handle, true);
		return TRY_PLACED;
	}
	if (!job->urgent || !zr_sched_preempt(sched, handle, &need))
		return TRY_NO_CAPACITY;
	zr_sched_job_update_list(sched, handle, true);
	return TRY_CLASS_CHANGED;
}

/* Trying one class */

/* Lowers each member of @min_need to that of @need if the latter is lower. */
static void lower_to(struct zr_resources *min_need,
		     const struct zr_resources *need)
{
	if (need->millicpus < min_need->millicpus)
		min_need->millicpus = need->millicpus;
	if (need->memory_mb < min_need->memory_mb)
		min_need->memory_mb = need->memory_mb;
	if (need->accelerators < min_need->accelerators)
		min_need->accelerators = need->accelerators;
}

/*
 * Returns the job after @handle in a class, ZR_HANDLE_NONE at the end.
 * @list_index is the index of the job's list and is updated.
 */
static zr_handle next_job(const struct zr_sched *sched,
			  const struct zr_sched_class *class,
			  uint32_t *list_index, zr_handle handle)
{
	zr_handle next = zr_sched_job_get(sched, handle)->next;

	if (!next && ++*list_index < class->list_count)
		next = class->lists[*list_index].head;
	return next;
}

/*
 * Returns what a class waits for after a job of it was refused; @wait is what
 * it waited for after the jobs before.
 */
static enum zr_sched_wait wait_reason(struct zr_sched *sched,
				      enum zr_sched_wait wait,
				      enum try_outcome outcome)
{
	if (outcome == TRY_DEFERRED) {
		sched->gang_deferred = true;
		return ZR_SCHED_WAIT_GANG;
	}
	return outcome == TRY_NO_CAPACITY ? ZR_SCHED_WAIT_NO_CAPACITY : wait;
}

/*
 * Tries the first jobs of a class until one of them starts, gets a claim or
 * leaves the class. Blocks the class if none does. Returns the number of
 * starts.
 */
static unsigned int try_class(struct zr_sched *sched,
			      struct zr_sched_class *class, unsigned int max)
{
	struct zr_resources min_need = {UINT32_MAX, UINT32_MAX, UINT32_MAX};
	enum try_outcome outcome;
	enum zr_sched_wait wait = ZR_SCHED_WAIT_LIMIT;
	zr_handle handle = class->lists[0].head;
	unsigned int starts = 0;
	uint32_t list_index = 0;
	unsigned int i;

	for (i = 0; i < CLASS_TRIES_MAX && handle; i++) {
		const struct zr_sched_job *job =
			zr_sched_job_get(sched, handle);
		struct zr_resources need = zr_sched_job_need(job);

		if (!is_refused(job, &need, &min_need)) {
			outcome = try_job(sched, handle, &starts, max);
			/* @class may be gone: it is freed with its last job. */
			if (outcome == TRY_PLACED ||
			    outcome == TRY_CLASS_CHANGED)
				return starts;
			wait = wait_reason(sched, wait, outcome);
			lower_to(&min_need, &need);
		}
		handle = next_job(sched, class, &list_index, handle);
	}
	zr_sched_class_block(sched, class, wait, &min_need);
	return 0;
}

/* Trying all classes */

static void unblock_urgent(struct zr_sched *sched)
{
	if (sched->now < sched->urgent_retry_at)
		return;
	sched->urgent_retry_at = sched->now + URGENT_RETRY_MS;
	zr_sched_classes_unblock_urgent(sched);
}

static void unblock_deferred_gangs(struct zr_sched *sched)
{
	if (!sched->gang_deferred)
		return;
	sched->gang_deferred = false;
	zr_sched_classes_unblock(sched, ZR_HANDLE_NONE, ZR_SCHED_WAIT_GANG);
}

static unsigned int try_classes(struct zr_sched *sched, unsigned int max)
{
	uint64_t limit = zr_sched_examined_count(sched) + ZR_SCHED_EXAMINED_MAX;
	struct zr_sched_class *class;
	unsigned int starts = 0;

	while ((class = zr_sched_queue_best(sched))) {
		if (starts >= max || zr_sched_examined_count(sched) >= limit) {
			sched->has_more = true;
			break;
		}
		starts += try_class(sched, class, max - starts);
	}
	return starts;
}

unsigned int zr_sched_decide(struct zr_sched *sched, unsigned int max_starts)
{
	unsigned int starts;

	zr_sched_now_refresh(sched);
	sched->has_more = false;
	zr_sched_stops_process(sched);
	zr_sched_drains_process(sched);
	zr_sched_backoff_process(sched);
	zr_sched_parked_recheck(sched);
	zr_sched_probes_process(sched);
	unblock_urgent(sched);
	unblock_deferred_gangs(sched);
	starts = zr_sched_claims_process(sched, max_starts);
	if (starts < max_starts)
		starts += zr_sched_gang_process(sched, max_starts - starts);
	if (starts < max_starts)
		starts += try_classes(sched, max_starts - starts);
	else
		sched->has_more = true;
	sched->has_more |= sched->gang_deferred;
	return starts;
}

bool zr_sched_has_more(const struct zr_sched *sched)
{
	return sched->has_more;
}

#include "sched/internal.h"

/**
 * DOC: Deciding
 *
 * First what falls due with time, then waiting work in its order, until no
 * class is left to try or a bound is met.
 */

/* Jobs of a class that are tried before the class is left alone. */
#define LOOK_AHEAD 4
/* Urgent work that found no victims is tried again after this time. */
#define URGENT_RETRY_MS 100

enum try_outcome {
	TRY_PLACED, /* one or more tasks have started */
	TRY_MOVED,  /* the job has left its place in the queue */
	TRY_NO_ROOM,
	TRY_LIMIT,
	TRY_LATER, /* more tasks than this decide may start */
};

uint64_t zr_sched_work(const struct zr_sched *sched)
{
	return sched->stats.workers_examined + sched->stats.jobs_examined;
}

void zr_sched_now_refresh(struct zr_sched *sched)
{
	sched->now = zr_time_to_ms(zr_clock_now(sched->clock));
}

/* One task */

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

	worker = zr_sched_probe_find(sched, zr_sched_job_row(sched, handle),
				     need);
	placement = start_on(sched, handle, worker, "probe of the worker");
	if (!placement)
		return false;
	zr_sched_placement_row(sched, placement)->probe = true;
	zr_sched_host_row(sched, worker)->probing = true;
	sched->probe_worker = ZR_HANDLE_NONE;
	return true;
}

static bool start_backfill(struct zr_sched *sched, zr_handle handle,
			   const struct zr_resources *need)
{
	zr_handle worker = zr_sched_backfill_find(
		sched, zr_sched_job_row(sched, handle), need);
	zr_handle placement =
		start_on(sched, handle, worker, "ends before the gang starts");

	if (!placement)
		return false;
	zr_sched_placement_row(sched, placement)->backfill = true;
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
		zr_sched_fit_find(sched, zr_sched_job_row(sched, handle), need);
	if (worker)
		return start_on(sched, handle, worker, "best fit") !=
		       ZR_HANDLE_NONE;
	return start_backfill(sched, handle, need);
}

/* One job */

static bool has_moved(struct zr_sched *sched, zr_handle handle)
{
	zr_sched_queue_remove(sched, handle);
	zr_sched_job_route(sched, handle, false);
	return true;
}

/* What is learned moves a job to another class; what changed may park it. */
static bool leaves_class(struct zr_sched *sched, zr_handle handle)
{
	const struct zr_sched_job *job = zr_sched_job_row(sched, handle);

	if (!zr_sched_class_matches(job))
		return has_moved(sched, handle);
	if (!sched->shape_count || zr_sched_job_could_run(sched, job))
		return false;
	zr_sched_job_park(sched, handle, zr_sched_job_obstacle(sched, job));
	return true;
}

/* What is as large as a task that was refused just now is refused too. */
static bool surely_refused(const struct zr_sched_job *job,
			   const struct zr_resources *need,
			   const struct zr_resources *least)
{
	return job->kind != ZR_JOB_GANG && zr_resources_fit(least, need);
}

static enum try_outcome try_gang(struct zr_sched *sched, zr_handle handle,
				 const struct zr_resources *need,
				 unsigned int *starts, unsigned int most)
{
	if (zr_sched_job_waiting(zr_sched_job_row(sched, handle)) > most)
		return TRY_LATER;
	*starts = zr_sched_gang_try(sched, handle, need);
	if (*starts)
		return TRY_PLACED;
	return zr_sched_job_row(sched, handle)->reserving ? TRY_MOVED
							  : TRY_NO_ROOM;
}

static enum try_outcome try_job(struct zr_sched *sched, zr_handle handle,
				unsigned int *starts, unsigned int most)
{
	const struct zr_sched_job *job = zr_sched_job_row(sched, handle);
	const struct zr_sched_team *team =
		zr_sched_team_row(sched, job->profile->team);
	struct zr_resources need = zr_sched_job_need(job);
	bool gang = job->kind == ZR_JOB_GANG;

	sched->stats.jobs_examined++;
	if (leaves_class(sched, handle))
		return TRY_MOVED;
	if (!zr_sched_team_allows(team, &need,
				  gang ? zr_sched_job_waiting(job) : 1))
		return TRY_LIMIT;
	if (gang)
		return try_gang(sched, handle, &need, starts, most);
	if (start_task(sched, handle, &need)) {
		*starts = 1;
		zr_sched_job_route(sched, handle, true);
		return TRY_PLACED;
	}
	if (!job->urgent || !zr_sched_preempt(sched, handle, &need))
		return TRY_NO_ROOM;
	zr_sched_job_route(sched, handle, true);
	return TRY_MOVED;
}

/* One class */

static void keep_least(struct zr_resources *least,
		       const struct zr_resources *need)
{
	if (need->millicpus < least->millicpus)
		least->millicpus = need->millicpus;
	if (need->memory_mb < least->memory_mb)
		least->memory_mb = need->memory_mb;
	if (need->accelerators < least->accelerators)
		least->accelerators = need->accelerators;
}

static zr_handle next_in_class(const struct zr_sched *sched,
			       const struct zr_sched_class *class,
			       uint32_t *lane, zr_handle handle)
{
	zr_handle next = zr_sched_job_row(sched, handle)->next;

	if (!next && ++*lane < class->lane_count)
		next = class->lanes[*lane].head;
	return next;
}

static enum zr_sched_wait wait_after(struct zr_sched *sched,
				     enum zr_sched_wait wait,
				     enum try_outcome outcome)
{
	if (outcome == TRY_LATER) {
		sched->gang_waits = true;
		return ZR_SCHED_WAIT_GANG;
	}
	return outcome == TRY_NO_ROOM ? ZR_SCHED_WAIT_NO_ROOM : wait;
}

static unsigned int try_class(struct zr_sched *sched,
			      struct zr_sched_class *class, unsigned int most)
{
	struct zr_resources least = {UINT32_MAX, UINT32_MAX, UINT32_MAX};
	enum try_outcome outcome;
	enum zr_sched_wait wait = ZR_SCHED_WAIT_LIMIT;
	zr_handle handle = class->lanes[0].head;
	unsigned int starts = 0;
	uint32_t lane = 0;
	unsigned int i;

	for (i = 0; i < LOOK_AHEAD && handle; i++) {
		const struct zr_sched_job *job =
			zr_sched_job_row(sched, handle);
		struct zr_resources need = zr_sched_job_need(job);

		if (!surely_refused(job, &need, &least)) {
			outcome = try_job(sched, handle, &starts, most);
			/* The class may be gone with its last job. */
			if (outcome == TRY_PLACED || outcome == TRY_MOVED)
				return starts;
			wait = wait_after(sched, wait, outcome);
			keep_least(&least, &need);
		}
		handle = next_in_class(sched, class, &lane, handle);
	}
	zr_sched_queue_block(sched, class, wait, &least);
	return 0;
}

/* All */

static void retry_urgent(struct zr_sched *sched)
{
	if (sched->now < sched->urgent_at)
		return;
	sched->urgent_at = sched->now + URGENT_RETRY_MS;
	zr_sched_queue_unblock_urgent(sched);
}

static void retry_gangs(struct zr_sched *sched)
{
	if (!sched->gang_waits)
		return;
	sched->gang_waits = false;
	zr_sched_queue_unblock(sched, ZR_HANDLE_NONE, ZR_SCHED_WAIT_GANG);
}

static unsigned int try_classes(struct zr_sched *sched, unsigned int most)
{
	uint64_t limit = zr_sched_work(sched) + ZR_SCHED_WORK_MAX;
	struct zr_sched_class *class;
	unsigned int starts = 0;

	while ((class = zr_sched_queue_best(sched))) {
		if (starts >= most || zr_sched_work(sched) >= limit) {
			sched->more = true;
			break;
		}
		starts += try_class(sched, class, most - starts);
	}
	return starts;
}

unsigned int zr_sched_decide(struct zr_sched *sched, unsigned int most_starts)
{
	unsigned int starts;

	zr_sched_now_refresh(sched);
	sched->more = false;
	zr_sched_stops_due(sched);
	zr_sched_drains_due(sched);
	zr_sched_jobs_due(sched);
	zr_sched_parked_review(sched);
	zr_sched_probes_due(sched);
	retry_urgent(sched);
	retry_gangs(sched);
	starts = zr_sched_claims_due(sched, most_starts);
	if (starts < most_starts)
		starts += zr_sched_gang_due(sched, most_starts - starts);
	if (starts < most_starts)
		starts += try_classes(sched, most_starts - starts);
	else
		sched->more = true;
	sched->more |= sched->gang_waits;
	return starts;
}

bool zr_sched_more(const struct zr_sched *sched)
{
	return sched->more;
}

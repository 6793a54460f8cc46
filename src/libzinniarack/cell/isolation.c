#include "cell/plan.h"
#include "zinniarack/log.h"

/*
 * A task that is suspected to crash its workers runs apart: no other job has a
 * run on the worker. If no worker is free of runs, one is drained for the job.
 */

/* Drained workers, as a divisor of all; the first may exceed it. */
#define DRAINING_DIVISOR 8
/* A worker is no longer drained unless a later pass renews that. */
#define DRAINING_MS 300
/* Time after which a suspect is placed beside other jobs. */
#define APART_WAIT_MS 2000

/* Number of runs of other jobs on a worker. */
static uint32_t count_others(const struct zr_cell_plan_item *item,
			     const struct zr_cell_worker *worker)
{
	uint32_t count = 0;
	size_t i;

	for (i = 0; i < worker->run_count; i++)
		count += worker->runs[i].job != item->job->self;
	return count;
}

bool zr_cell_isolation_required(const struct zr_cell_plan *plan,
				const struct zr_cell_plan_item *item)
{
	int64_t since = item->step->isolation_wanted_since;

	return !since || plan->now - since < APART_WAIT_MS;
}

bool zr_cell_isolation_allows(const struct zr_cell_plan_item *item,
			      const struct zr_cell_worker *worker,
			      bool required)
{
	return !required || !count_others(item, worker);
}

bool zr_cell_isolation_prefers(const struct zr_cell_plan_item *item,
			       const struct zr_cell_worker *worker,
			       const struct zr_cell_worker *best)
{
	return count_others(item, worker) < count_others(item, best);
}

uint32_t zr_cell_isolation_suspects(const struct zr_cell_plan_item *item)
{
	const struct zr_cell_step_state *step = item->step;
	uint32_t count = 0;
	uint32_t i;

	if (!item->job->has_suspects)
		return 0;
	for (i = step->first_task; i < step->first_task + step->spec->count;
	     i++) {
		const struct zr_cell_task *task = &item->job->tasks[i];

		count += task->state == ZR_TASK_WAITING && task->suspicion;
	}
	return count;
}

bool zr_cell_isolation_ready(const struct zr_cell_plan *plan,
			     const struct zr_cell_plan_item *item,
			     uint32_t suspects)
{
	bool required = zr_cell_isolation_required(plan, item);
	uint32_t slots = 0;
	size_t i;

	for (i = 0; i < item->eligible_count && slots < suspects; i++) {
		const struct zr_cell_candidate *candidate =
			item->eligible[i].candidate;

		if (zr_cell_eligible_is_valid(&item->eligible[i], plan->now) &&
		    zr_cell_isolation_allows(item, candidate->worker, required))
			slots += zr_cell_candidate_slots(item, candidate);
	}
	return slots >= suspects;
}

/* Estimated time until the last run of another job ends on a worker. */
static int64_t drain_ms(const struct zr_cell_plan *plan,
			const struct zr_cell_plan_item *item,
			const struct zr_cell_worker *worker)
{
	const struct zr_cell_model *model = &plan->scheduler->term.model;
	int64_t longest = 0;
	size_t i;

	for (i = 0; i < worker->run_count; i++) {
		struct zr_cell_ref ref = worker->runs[i];
		const struct zr_cell_job *job = zr_cell_job(model, ref.job);
		const struct zr_cell_task *entry = &job->tasks[ref.task];
		const struct zr_cell_step_spec *spec =
			zr_cell_task_step(job, ref.task)->spec;
		int64_t left_ms = spec->estimate_ms;

		if (ref.job == item->job->self)
			continue;
		if (spec->flags & ZR_STEP_LONG_RUNNING)
			return INT64_MAX;
		if (entry->started_at)
			left_ms -= plan->now - entry->started_at;
		if (left_ms > longest)
			longest = left_ms;
	}
	return longest;
}

static void drain(const struct zr_cell_plan *plan,
		  const struct zr_cell_plan_item *item,
		  struct zr_cell_worker *worker)
{
	worker->isolation_job = item->job->self;
	worker->isolation_until = plan->now + DRAINING_MS;
}

/* Renews the draining of a worker for the job; false: none is drained. */
static bool renew_draining(const struct zr_cell_plan *plan,
			   const struct zr_cell_plan_item *item)
{
	size_t i;

	for (i = 0; i < item->eligible_count; i++) {
		struct zr_cell_worker *worker =
			item->eligible[i].candidate->worker;

		if (worker->isolation_job != item->job->self ||
		    worker->isolated_runs)
			continue;
		drain(plan, item, worker);
		return true;
	}
	return false;
}

void zr_cell_isolation_wait(struct zr_cell_plan *plan,
			    const struct zr_cell_plan_item *item)
{
	struct zr_cell_worker *best = NULL;
	int64_t best_ms = INT64_MAX;
	size_t i;

	if (!item->step->isolation_wanted_since)
		item->step->isolation_wanted_since = plan->now;
	/* Once isolation is not required, it is placed beside other jobs. */
	if (!zr_cell_isolation_required(plan, item) ||
	    !zr_cell_reservation_renew(plan, item))
		return;
	if (renew_draining(plan, item) ||
	    plan->draining_count * DRAINING_DIVISOR > plan->candidate_count)
		return;
	for (i = 0; i < item->eligible_count; i++) {
		struct zr_cell_worker *worker =
			item->eligible[i].candidate->worker;
		int64_t ms = drain_ms(plan, item, worker);

		if (worker->isolation_job || ms >= best_ms)
			continue;
		best = worker;
		best_ms = ms;
	}
	if (!best)
		return;
	drain(plan, item, best);
	plan->draining_count++;
	zr_log_decision("worker.drained worker=%s job=%s step=%u runs=%zu",
			best->report.name, item->job->id, item->step->number,
			best->run_count);
}

#include <inttypes.h>
#include <stdlib.h>

#include "cell/plan.h"
#include "zinniarack/log.h"

/*
 * Long-running tasks have no end to wait for, so their age says nothing, and a
 * full cell must not keep them from starting again. A waiting one reserves what
 * becomes free on one worker. If that takes too long, it preempts less urgent
 * work: first what can resume from a checkpoint, then other tasks.
 */

/* Time that a task waits for free capacity before it preempts. */
#define PREEMPTION_WAIT_MS 1000
/*
 * Backoff after a run that lasted less than SHORT_RUN_MS. A task starts again
 * within 6 s of its last run.
 */
#define SHORT_RUN_MS 5000
#define RETRY_MIN_MS 100
#define RETRY_MAX_MS 3000

bool zr_cell_step_is_lasting(const struct zr_cell_step_state *step)
{
	return step->spec->flags & ZR_STEP_LONG_RUNNING;
}

void zr_cell_lasting_run_ended(const struct zr_cell_scheduler *scheduler,
			       struct zr_cell_step_state *step,
			       struct zr_cell_task *task, bool stopped)
{
	int64_t now = zr_cell_now_ms(scheduler);

	step->waiting_since = now;
	if (!task->started_at || stopped)
		return;
	if (now - task->started_at >= SHORT_RUN_MS) {
		task->short_runs = 0;
		return;
	}
	task->retry_at =
		now + zr_cell_retry_delay_ms(++task->short_runs, RETRY_MIN_MS,
					     RETRY_MAX_MS);
}

/* Whether a run may be stopped for a long-running task of @item. */
static bool is_preemptible(const struct zr_cell_plan_item *item,
			   const struct zr_cell_job *job, uint32_t task,
			   bool checkpoints)
{
	const struct zr_cell_task *entry = &job->tasks[task];
	uint32_t flags = zr_cell_task_step(job, task)->spec->flags;

	return entry->state == ZR_TASK_RUNNING && !entry->finished &&
	       job->priority > item->job->priority &&
	       ((flags & ZR_STEP_CHECKPOINTS) != 0) == checkpoints &&
	       !(flags &
		 (ZR_STEP_GANG | ZR_STEP_LONG_RUNNING | ZR_STEP_BEST_EFFORT));
}

/* What is free on a worker after stops, those of less urgent runs included. */
static struct zr_resources
free_after_preemption(struct zr_cell_plan *plan,
		      const struct zr_cell_plan_item *item,
		      const struct zr_cell_candidate *candidate)
{
	const struct zr_cell_model *model = &plan->scheduler->term.model;
	const struct zr_cell_worker *worker = candidate->worker;
	struct zr_resources sum = zr_cell_candidate_free(candidate);
	size_t i;

	for (i = 0; i < worker->run_count; i++) {
		struct zr_cell_ref ref = worker->runs[i];
		const struct zr_cell_job *job = zr_cell_job(model, ref.job);
		struct zr_resources need =
			zr_cell_need(zr_cell_task_step(job, ref.task)->spec);

		if (job->tasks[ref.task].state == ZR_TASK_STOPPING ||
		    is_preemptible(item, job, ref.task, true) ||
		    is_preemptible(item, job, ref.task, false))
			zr_cell_resources_add(&sum, &need);
	}
	return sum;
}

/* How soon a worker has capacity for one task; the highest is the best. */
enum suitability {
	NEVER,	    /* at least not soon */
	AFTER_RUNS, /* once enough of its runs have ended */
	AFTER_PREEMPTION,
	AFTER_STOPS, /* stops that have been sent */
};

static enum suitability suitability_of(struct zr_cell_plan *plan,
				       const struct zr_cell_plan_item *item,
				       struct zr_cell_candidate *candidate)
{
	uint32_t max_per_worker = item->step->spec->max_per_worker;
	struct zr_resources freeable;

	if (candidate->lasting_reserved ||
	    (max_per_worker &&
	     zr_cell_tasks_on(item, candidate->worker->self) >= max_per_worker))
		return NEVER;
	if (zr_cell_candidate_slots_after_stops(plan, item, candidate))
		return AFTER_STOPS;
	freeable = free_after_preemption(plan, item, candidate);
	if (zr_cell_fit_count(&freeable, &item->need))
		return AFTER_PREEMPTION;
	return zr_cell_candidate_slots_soon(plan, item, candidate) ? AFTER_RUNS
								   : NEVER;
}

static struct zr_cell_candidate *
choose_worker(enum suitability *out, struct zr_cell_plan *plan,
	      const struct zr_cell_plan_item *item)
{
	struct zr_cell_candidate *best = NULL;
	size_t i;

	*out = NEVER;
	for (i = 0; i < item->eligible_count; i++) {
		struct zr_cell_candidate *candidate =
			item->eligible[i].candidate;
		enum suitability suitability =
			suitability_of(plan, item, candidate);
		bool kept = zr_cell_reservation_has_worker(plan, item,
							   candidate->worker);

		if (suitability == NEVER || suitability < *out)
			continue;
		if (best && suitability == *out && !kept &&
		    (zr_cell_reservation_has_worker(plan, item, best->worker) ||
		     zr_cell_candidate_free(candidate).millicpus <=
			     zr_cell_candidate_free(best).millicpus))
			continue;
		best = candidate;
		*out = suitability;
	}
	return best;
}

static void preempt(struct zr_cell_plan *plan,
		    const struct zr_cell_plan_item *item,
		    struct zr_cell_candidate *candidate, bool checkpoints)
{
	struct zr_cell_scheduler *scheduler = plan->scheduler;
	struct zr_cell_worker *worker = candidate->worker;
	size_t i;

	for (i = 0; i < worker->run_count; i++) {
		struct zr_cell_ref ref = worker->runs[i];
		struct zr_cell_job *job =
			zr_cell_job(&scheduler->term.model, ref.job);

		if (zr_cell_candidate_slots_after_stops(plan, item, candidate))
			return;
		if (!is_preemptible(item, job, ref.task, checkpoints))
			continue;
		zr_cell_stop_run(scheduler, job, ref.task, "yields");
		/* The capacity after stops is computed anew. */
		candidate->preemption_class = -1;
	}
}

static void reserve(const struct zr_cell_plan *plan,
		    const struct zr_cell_plan_item *item,
		    struct zr_cell_candidate *candidate)
{
	zr_cell_resources_add(&candidate->reserved, &item->need);
	candidate->lasting_reserved = true;
	zr_cell_reservation_keep_worker(plan, item, candidate->worker);
}

/* Number of waiting tasks that may be placed now. */
static uint32_t count_ready(const struct zr_cell_plan *plan,
			    const struct zr_cell_plan_item *item)
{
	const struct zr_cell_step_state *step = item->step;
	uint32_t count = 0;
	uint32_t i;

	for (i = step->first_task; i < step->first_task + step->spec->count;
	     i++) {
		const struct zr_cell_task *task = &item->job->tasks[i];

		count += task->state == ZR_TASK_WAITING &&
			 plan->now >= task->retry_at;
	}
	return count < item->max_tasks ? count : item->max_tasks;
}

void zr_cell_lasting_reserve(struct zr_cell_plan *plan,
			     const struct zr_cell_plan_item *item)
{
	const struct zr_cell_step_state *step = item->step;
	int64_t since = step->waiting_since > step->ready_at
				? step->waiting_since
				: step->ready_at;
	uint32_t ready = count_ready(plan, item);
	uint32_t i;

	for (i = 0; i < ready; i++) {
		enum suitability suitability;
		struct zr_cell_candidate *candidate =
			choose_worker(&suitability, plan, item);

		if (!candidate || !zr_cell_reservation_renew(plan, item))
			return;
		if (suitability == AFTER_PREEMPTION &&
		    plan->now - since >= PREEMPTION_WAIT_MS) {
			zr_log_decision("lasting.preempts job=%s step=%" PRIu32
					" worker=%s waited_ms=%" PRId64,
					item->job->id, step->number,
					candidate->worker->report.name,
					plan->now - since);
			preempt(plan, item, candidate, true);
			preempt(plan, item, candidate, false);
		}
		reserve(plan, item, candidate);
	}
}

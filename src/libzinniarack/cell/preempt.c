#include "cell/plan.h"

/*
 * Computes how much of a gang a worker could take: with what is free now, with
 * what stops already sent will free, and with what stopping less urgent tasks
 * would free.
 */

/* A task that has been started more often is not preempted again. */
#define PREEMPTIBLE_STARTS_MAX 2
/* Beyond this progress a run ends by itself about as soon as by a stop. */
#define PREEMPTIBLE_PROGRESS_PERCENT 85

/*
 * Whether a task can be preempted by a step of @class: it must resume from a
 * checkpoint, and its step must not be a gang, long-running or best-effort.
 */
static bool is_preemptible(const struct zr_cell_plan *plan,
			   const struct zr_cell_job *job, uint32_t task,
			   int64_t class)
{
	const struct zr_cell_task *entry = &job->tasks[task];
	uint32_t flags = zr_cell_task_step(job, task)->spec->flags;

	return entry->state == ZR_TASK_RUNNING && !entry->finished &&
	       entry->percent < PREEMPTIBLE_PROGRESS_PERCENT &&
	       entry->attempt <= PREEMPTIBLE_STARTS_MAX &&
	       (flags & ZR_STEP_CHECKPOINTS) &&
	       !(flags &
		 (ZR_STEP_GANG | ZR_STEP_LONG_RUNNING | ZR_STEP_BEST_EFFORT)) &&
	       zr_cell_priority_class(job, plan->now) > class;
}

/*
 * Fills in @free_after_stops and @free_after_preemption of a candidate. The
 * result for the last class is cached, since most gangs of a pass are of the
 * same class.
 */
static void compute_freeable(struct zr_cell_plan *plan,
			     const struct zr_cell_plan_item *item,
			     struct zr_cell_candidate *candidate)
{
	const struct zr_cell_model *model = &plan->scheduler->term.model;
	const struct zr_cell_worker *worker = candidate->worker;
	int64_t class = zr_cell_priority_class(item->job, plan->now);
	size_t i;

	if (candidate->preemption_class == class)
		return;
	candidate->preemption_class = class;
	candidate->free_after_stops = candidate->free;
	candidate->free_after_preemption = candidate->free;
	for (i = 0; i < worker->run_count; i++) {
		struct zr_cell_ref ref = worker->runs[i];
		const struct zr_cell_job *job = zr_cell_job(model, ref.job);
		struct zr_resources need =
			zr_cell_need(zr_cell_task_step(job, ref.task)->spec);

		if (job->tasks[ref.task].state == ZR_TASK_STOPPING) {
			zr_cell_resources_add(&candidate->free_after_stops,
					      &need);
			zr_cell_resources_add(&candidate->free_after_preemption,
					      &need);
		} else if (is_preemptible(plan, job, ref.task, class)) {
			zr_cell_resources_add(&candidate->free_after_preemption,
					      &need);
		}
	}
}

/*
 * Number of members that fit into @free. Needs no check of tasks already on the
 * worker, since a gang that reserves capacity has none.
 */
static uint32_t count_members(const struct zr_cell_plan_item *item,
			      const struct zr_resources *free)
{
	uint32_t max_per_worker = item->step->spec->max_per_worker;
	uint32_t slots = zr_cell_fit_count(free, &item->need);

	return max_per_worker && max_per_worker < slots ? max_per_worker
							: slots;
}

uint32_t
zr_cell_candidate_slots_after_stops(struct zr_cell_plan *plan,
				    const struct zr_cell_plan_item *item,
				    struct zr_cell_candidate *candidate)
{
	struct zr_resources free;

	compute_freeable(plan, item, candidate);
	free = zr_cell_resources_subtract(&candidate->free_after_stops,
					  &candidate->reserved);
	return count_members(item, &free);
}

uint32_t
zr_cell_candidate_slots_after_preemption(struct zr_cell_plan *plan,
					 const struct zr_cell_plan_item *item,
					 struct zr_cell_candidate *candidate)
{
	struct zr_resources free;

	compute_freeable(plan, item, candidate);
	free = zr_cell_resources_subtract(&candidate->free_after_preemption,
					  &candidate->reserved);
	return count_members(item, &free);
}

void zr_cell_candidate_preempt(struct zr_cell_plan *plan,
			       const struct zr_cell_plan_item *item,
			       struct zr_cell_candidate *candidate,
			       uint32_t wanted)
{
	struct zr_cell_scheduler *scheduler = plan->scheduler;
	struct zr_cell_worker *worker = candidate->worker;
	size_t i;

	for (i = 0; i < worker->run_count; i++) {
		struct zr_cell_ref ref = worker->runs[i];
		struct zr_cell_job *job =
			zr_cell_job(&scheduler->term.model, ref.job);
		struct zr_resources need;

		if (zr_cell_candidate_slots_after_stops(plan, item,
							candidate) >= wanted)
			return;
		if (!is_preemptible(plan, job, ref.task,
				    candidate->preemption_class))
			continue;
		need = zr_cell_need(zr_cell_task_step(job, ref.task)->spec);
		zr_cell_resources_add(&candidate->free_after_stops, &need);
		zr_cell_stop_run(scheduler, job, ref.task, "yields");
	}
}

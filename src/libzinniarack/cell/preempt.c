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
 * A run without progress is not expected to end any more after this multiple of
 * its estimate.
 */
#define OVERDUE_FACTOR 2

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

/* The later one of the ends by the estimate and by the progress so far. */
static int64_t expected_rest_ms(const struct zr_cell_task *task,
				uint32_t estimate_ms, int64_t now)
{
	int64_t rest = zr_cell_task_remaining_ms(task, estimate_ms, now);
	int64_t age = now - task->started_at;
	int64_t whole_ms;

	if (!task->whole_run || !task->started_at)
		return rest;
	if (!task->percent)
		return age > OVERDUE_FACTOR * (int64_t)estimate_ms ? INT64_MAX
								   : rest;
	whole_ms = (task->percent_at - task->started_at) * 100 / task->percent;
	return whole_ms - age > rest ? whole_ms - age : rest;
}

static bool stays(const struct zr_cell_plan *plan,
		  const struct zr_cell_step_state *step,
		  const struct zr_cell_task *task)
{
	return zr_cell_step_is_lasting(step) ||
	       expected_rest_ms(task, step->spec->estimate_ms, plan->now) >
		       ZR_CELL_RESERVATION_MAX_MS;
}

/* Sums up the runs that are not being stopped and do not end soon. */
static void compute_staying(const struct zr_cell_plan *plan,
			    struct zr_cell_candidate *candidate)
{
	const struct zr_cell_worker *worker = candidate->worker;
	size_t i;

	for (i = 0; i < worker->run_count; i++) {
		struct zr_cell_ref ref = worker->runs[i];
		const struct zr_cell_job *job =
			zr_cell_job(&plan->scheduler->term.model, ref.job);
		const struct zr_cell_step_state *step =
			zr_cell_task_step(job, ref.task);
		const struct zr_cell_task *task = &job->tasks[ref.task];
		struct zr_resources need = zr_cell_need(step->spec);

		if (task->state == ZR_TASK_STOPPING || !stays(plan, step, task))
			continue;
		zr_cell_resources_add(&candidate->staying, &need);
		if (zr_cell_step_is_lasting(step))
			zr_cell_resources_add(&candidate->lasting, &need);
	}
	candidate->staying_known = true;
}

/* Number of members that fit beside what stays on a worker. */
static uint32_t slots_beside(const struct zr_cell_plan_item *item,
			     const struct zr_cell_candidate *candidate,
			     const struct zr_resources *staying)
{
	struct zr_resources free = zr_cell_resources_subtract(
		&candidate->worker->report.capacity, staying);

	return count_members(item, &free);
}

uint32_t zr_cell_candidate_slots_when_idle(const struct zr_cell_plan *plan,
					   const struct zr_cell_plan_item *item,
					   struct zr_cell_candidate *candidate)
{
	if (!candidate->staying_known)
		compute_staying(plan, candidate);
	return slots_beside(item, candidate, &candidate->lasting);
}

uint32_t zr_cell_candidate_slots_soon(const struct zr_cell_plan *plan,
				      const struct zr_cell_plan_item *item,
				      struct zr_cell_candidate *candidate)
{
	if (!candidate->staying_known)
		compute_staying(plan, candidate);
	return slots_beside(item, candidate, &candidate->staying);
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

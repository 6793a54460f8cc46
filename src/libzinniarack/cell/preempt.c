#include "cell/plan.h"

/*
 * What a worker could hold of a gang: what is free, what open stops will free,
 * and what comes free if tasks of later classes are stopped.
 */

/* A task is not stopped again and again. */
#define STARTS_MAX 2
/* A run that has come this far ends by itself about as soon as by a stop. */
#define NEARLY_DONE_PERCENT 85

static void add(struct zr_resources *to, const struct zr_resources *amount)
{
	to->millicpus += amount->millicpus;
	to->memory_mb += amount->memory_mb;
	to->accelerators += amount->accelerators;
}

/* Whether a run may be stopped for a step of @class. */
static bool yields(const struct zr_cell_plan *plan,
		   const struct zr_cell_job *job, uint32_t task, int64_t class)
{
	const struct zr_cell_task *row = &job->tasks[task];
	uint32_t flags = zr_cell_task_step(job, task)->spec->flags;

	return row->state == ZR_TASK_RUNNING && !row->finished &&
	       row->percent < NEARLY_DONE_PERCENT &&
	       row->attempt <= STARTS_MAX && (flags & ZR_STEP_CHECKPOINTS) &&
	       !(flags & (ZR_STEP_GANG | ZR_STEP_LASTING | ZR_STEP_FILLS)) &&
	       zr_cell_order_class(job, plan->now) > class;
}

/* Most gangs of a pass are of one class: the sums are kept for the last one. */
static void sum_up(struct zr_cell_plan *plan, const struct zr_cell_try *try,
		   struct zr_cell_spot *spot)
{
	const struct zr_cell_model *model = &plan->scheduler->model;
	const struct zr_cell_worker *worker = spot->worker;
	int64_t class = zr_cell_order_class(try->job, plan->now);
	size_t i;

	if (spot->reach_class == class)
		return;
	spot->reach_class = class;
	spot->soon = spot->left;
	spot->reach = spot->left;
	for (i = 0; i < worker->run_count; i++) {
		struct zr_cell_ref ref = worker->runs[i];
		const struct zr_cell_job *job = zr_cell_job(model, ref.job);
		struct zr_resources need =
			zr_cell_need(zr_cell_task_step(job, ref.task)->spec);

		if (job->tasks[ref.task].state == ZR_TASK_STOPPING) {
			add(&spot->soon, &need);
			add(&spot->reach, &need);
		} else if (yields(plan, job, ref.task, class)) {
			add(&spot->reach, &need);
		}
	}
}

/* A gang that gathers has no member anywhere yet. */
static uint32_t members(const struct zr_cell_try *try,
			const struct zr_resources *left)
{
	uint32_t spread = try->step->spec->spread;
	uint32_t slots = zr_cell_fits(left, &try->need);

	return spread && spread < slots ? spread : slots;
}

uint32_t zr_cell_spot_soon(struct zr_cell_plan *plan,
			   const struct zr_cell_try *try,
			   struct zr_cell_spot *spot)
{
	struct zr_resources left;

	sum_up(plan, try, spot);
	left = zr_cell_left_of(&spot->soon, &spot->held);
	return members(try, &left);
}

uint32_t zr_cell_spot_reach(struct zr_cell_plan *plan,
			    const struct zr_cell_try *try,
			    struct zr_cell_spot *spot)
{
	struct zr_resources left;

	sum_up(plan, try, spot);
	left = zr_cell_left_of(&spot->reach, &spot->held);
	return members(try, &left);
}

void zr_cell_spot_stop(struct zr_cell_plan *plan, const struct zr_cell_try *try,
		       struct zr_cell_spot *spot, uint32_t wanted)
{
	struct zr_cell_scheduler *scheduler = plan->scheduler;
	struct zr_cell_worker *worker = spot->worker;
	size_t i;

	for (i = 0; i < worker->run_count; i++) {
		struct zr_cell_ref ref = worker->runs[i];
		struct zr_cell_job *job =
			zr_cell_job(&scheduler->model, ref.job);
		struct zr_resources need;

		if (zr_cell_spot_soon(plan, try, spot) >= wanted)
			return;
		if (!yields(plan, job, ref.task, spot->reach_class))
			continue;
		need = zr_cell_need(zr_cell_task_step(job, ref.task)->spec);
		add(&spot->soon, &need);
		zr_cell_stop_run(scheduler, job, ref.task, "yields");
	}
}

#include <inttypes.h>

#include "cell/plan.h"
#include "zinniarack/log.h"

/*
 * Moves slow runs to other workers. A pass does so after it has placed all that
 * it can, so that moves use only what is left. The start of the task elsewhere
 * is an ordinary placement, once the run here has ended.
 */

/* A move starts again on the other worker: stop, journal write and start. */
#define RESTART_MS (ZR_CELL_STOP_MS + 50)
/* Time of a query to the adviser, which takes 0.4 to 0.8 s on small hosts. */
#define QUERY_MS 600
/*
 * What the other workers have to offer: slots on workers where the task may
 * run, or workers about which the adviser has not been queried, each worth a
 * third, since it permits about a quarter. One slot is not enough, as another
 * task may take it before the run here has ended.
 */
#define SLOT_WORTH 3
#define UNKNOWN_WORTH 1
#define WORTH_MIN 6
/*
 * Slow runs are considered this often, and so many at once: each one means to
 * look at all workers, and those that are moved compete for the same slots.
 */
#define INTERVAL_MS 50
#define CONSIDERED_MAX 3

/* Whether the rules allow to move a run, and it has not been moved before. */
static bool is_movable(const struct zr_cell_job *job, uint32_t task)
{
	const struct zr_cell_task *entry = &job->tasks[task];
	uint32_t flags = zr_cell_task_step(job, task)->spec->flags;

	/* The attempt is persisted, so the rule outlasts the owner. */
	return entry->state == ZR_TASK_RUNNING && !entry->finished &&
	       entry->attempt == 1 && (flags & ZR_STEP_CHECKPOINTS) &&
	       !(flags &
		 (ZR_STEP_GANG | ZR_STEP_LONG_RUNNING | ZR_STEP_BEST_EFFORT)) &&
	       !zr_cell_job_has_ended(job);
}

/* What a worker has to offer; 0 if the task cannot run there. */
static uint32_t worth_of(const struct zr_cell_plan_item *item,
			 const struct zr_cell_candidate *candidate)
{
	const struct zr_cell_permission *permission;
	uint32_t slots;

	if (candidate->slow || !zr_cell_candidate_matches(item, candidate))
		return 0;
	slots = zr_cell_candidate_slots(item, candidate);
	if (!slots || !item->queue.advised)
		return slots * SLOT_WORTH;
	permission =
		zr_cell_permission_find(item->step, candidate->worker->self);
	if (!permission)
		return UNKNOWN_WORTH;
	return permission->permitted ? slots * SLOT_WORTH : 0;
}

/* Finds the highest band with enough to offer; false if there is none. */
static bool find_band(int *out, const struct zr_cell_plan *plan,
		      const struct zr_cell_plan_item *item, zr_handle worker)
{
	uint32_t worth[ZR_SPEED_BANDS] = {0};
	uint32_t sum = 0;
	size_t i;
	int band;

	for (i = 0; i < plan->candidate_count; i++) {
		const struct zr_cell_candidate *candidate =
			&plan->candidates[i];

		if (candidate->worker->self == worker)
			continue;
		band = zr_cell_speed_item_band(item, candidate);
		worth[band - ZR_SPEED_BAND_MIN] += worth_of(item, candidate);
	}
	for (band = ZR_SPEED_BAND_MAX; band > ZR_SPEED_BAND_MIN; band--) {
		sum += worth[band - ZR_SPEED_BAND_MIN];
		if (sum >= WORTH_MIN)
			break;
	}
	*out = band;
	return sum >= WORTH_MIN;
}

static struct zr_speed_move describe(const struct zr_cell_plan *plan,
				     const struct zr_cell_plan_item *item,
				     const struct zr_cell_worker *worker,
				     uint32_t task, int band)
{
	const struct zr_speed_table *speeds = &plan->scheduler->speeds;
	const struct zr_cell_task *entry = &item->job->tasks[task];
	uint32_t estimate_ms = item->step->spec->estimate_ms;
	uint32_t class = item->step->speed_class;

	return (struct zr_speed_move){
		.cause = zr_speed_cause_of(speeds, &worker->speed,
					   &entry->progress, plan->now),
		.here_log2 = entry->progress.log2,
		.worker_log2 =
			zr_speed_worker_log2(speeds, &worker->speed, plan->now),
		.there_log2 = zr_speed_band_log2(band),
		.usual_here_ms = zr_speed_usual_ms(
			speeds, class, zr_cell_speed_place(item->step, worker),
			estimate_ms),
		.usual_there_ms = zr_speed_usual_ms(speeds, class,
						    ZR_SPEED_NEAR, estimate_ms),
		.percent = entry->percent,
		.saved_percent = entry->checkpoint ? entry->saved_percent : 0,
		.cost_ms = RESTART_MS + (item->queue.advised ? QUERY_MS : 0),
	};
}

static void move_run(struct zr_cell_plan *plan,
		     const struct zr_cell_plan_item *item, uint32_t task,
		     const struct zr_speed_move *move, int band)
{
	struct zr_cell_scheduler *scheduler = plan->scheduler;
	struct zr_cell_task *entry = &item->job->tasks[task];
	bool tail = move->cause == ZR_SPEED_CAUSE_TAIL;

	zr_log_decision("run.move job=%s task=%" PRIu32 " worker=%s cause=%s "
			"percent=%" PRIu32 " saved=%" PRIu32 " band=%d "
			"rest_ms=%" PRId64 " elsewhere_ms=%" PRId64,
			item->job->id, task,
			zr_cell_worker(&scheduler->term.model, entry->worker)
				->report.name,
			tail ? "tail" : "worker", move->percent,
			move->saved_percent, band, zr_speed_rest_here_ms(move),
			zr_speed_rest_there_ms(move));
	scheduler->moved[move->cause]->value++;
	item->step->has_moved = true;
	zr_cell_task_avoid_worker(scheduler, entry, entry->worker,
				  ZR_CELL_AVOID_STOPPED_MS);
	zr_cell_stop_run(scheduler, item->job, task,
			 tail ? "moved_tail" : "moved_slow_worker");
}

/* Whether it would be worth while with a worker of the fastest band. */
static bool is_worth(const struct zr_cell_plan *plan,
		     const struct zr_cell_plan_item *item,
		     const struct zr_cell_worker *worker, uint32_t task)
{
	struct zr_speed_move move =
		describe(plan, item, worker, task, plan->fastest_band);

	return zr_speed_should_move(&move);
}

static void consider(struct zr_cell_plan *plan, struct zr_cell_job *job,
		     uint32_t task)
{
	const struct zr_cell_worker *worker = zr_cell_worker(
		&plan->scheduler->term.model, job->tasks[task].worker);
	struct zr_cell_plan_item item;
	struct zr_speed_move move;
	int band;

	zr_cell_plan_item_set(plan, &item, zr_cell_task_step(job, task));
	if (!worker || !is_worth(plan, &item, worker, task) ||
	    !find_band(&band, plan, &item, worker->self))
		return;
	move = describe(plan, &item, worker, task, band);
	if (zr_speed_should_move(&move))
		move_run(plan, &item, task, &move, band);
}

void zr_cell_moves_plan(struct zr_cell_plan *plan)
{
	struct zr_cell_scheduler *scheduler = plan->scheduler;
	uint32_t considered = 0;

	if (plan->now < scheduler->term.moves_due_at)
		return;
	while (scheduler->term.slow_run_count && considered < CONSIDERED_MAX) {
		struct zr_cell_ref ref =
			scheduler->term
				.slow_runs[--scheduler->term.slow_run_count];
		struct zr_cell_job *job =
			zr_cell_ref_job(&scheduler->term.model, ref);

		if (!job || !is_movable(job, ref.task))
			continue;
		consider(plan, job, ref.task);
		considered++;
	}
	if (considered)
		scheduler->term.moves_due_at = plan->now + INTERVAL_MS;
}

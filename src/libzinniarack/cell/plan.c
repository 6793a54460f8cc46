#include "cell/plan.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "zinniarack/log.h"

bool zr_cell_step_is_gang(const struct zr_cell_step_row *step)
{
	return step->spec->flags & ZR_STEP_GANG;
}

static void log_placed(const struct zr_cell_plan *plan,
		       const struct zr_cell_try *try, uint32_t placed,
		       const char *names)
{
	const struct zr_cell_step_row *step = try->step;

	zr_log_decision("step.placed job=%s occurrence=%" PRIu32
			" step=%" PRIu32 " tasks=%" PRIu32 " left=%" PRIu32
			" waited_ms=%" PRId64 " version=%" PRIu64 " on=%s",
			try->job->id, step->occurrence, step->number, placed,
			step->waiting, plan->now - step->ready_at,
			plan->scheduler->config->version, names);
}

static void place(struct zr_cell_plan *plan, const struct zr_cell_try *try,
		  uint32_t most)
{
	char names[ZR_CELL_NAMES_MAX];
	uint32_t placed = zr_cell_spots_place(plan, try, most, names);

	if (placed)
		log_placed(plan, try, placed, names);
}

/* Members whose starts came to nothing start on other workers. */
static void mend(struct zr_cell_plan *plan, const struct zr_cell_try *try)
{
	char names[ZR_CELL_NAMES_MAX];
	uint32_t placed;

	if (!zr_cell_gang_mends(plan->scheduler, try->job, try->step)) {
		zr_cell_repair_gangs(plan->scheduler, try->job);
		return;
	}
	placed = zr_cell_spots_mend(plan, try, names);
	if (placed)
		log_placed(plan, try, placed, names);
	if (try->queue.advised && try->step->waiting)
		zr_cell_ask(plan, try);
}

static void try_gang(struct zr_cell_plan *plan, const struct zr_cell_try *try)
{
	uint32_t count = try->step->spec->count;
	struct zr_cell_gathered gathered;

	/* Its members start together: all must wait. */
	if (try->step->waiting < count) {
		mend(plan, try);
		return;
	}
	if (try->most < count)
		return;
	if (zr_cell_spots_room(plan, try) >= count) {
		place(plan, try, count);
		return;
	}
	/* Room that is there must still be there when the answer comes. */
	zr_cell_gather(&gathered, plan, try);
	if (try->queue.advised)
		zr_cell_ask_gang(plan, try, &gathered);
	zr_cell_gathered_clear(&gathered);
}

static void try_tasks(struct zr_cell_plan *plan, const struct zr_cell_try *try)
{
	place(plan, try, try->most);
	if (try->queue.advised && try->step->waiting)
		zr_cell_ask(plan, try);
}

/* A queue that is gone is as it was when the job was accepted. */
static void find_queue(struct zr_cell_try *try,
		       const struct zr_cell_config *config)
{
	const struct zr_cell_queue *queue =
		zr_cell_config_queue(config, try->job->queue);

	if (queue)
		try->queue = *queue;
	else
		snprintf(try->queue.pool, sizeof(try->queue.pool), "%s",
			 try->job->pool);
}

static void try_step(struct zr_cell_plan *plan, struct zr_cell_step_row *step)
{
	struct zr_cell_model *model = &plan->scheduler->model;
	struct zr_cell_try try = {
		.job = zr_cell_job(model, step->job),
		.step = step,
		.need = zr_cell_need(step->spec),
	};

	if (plan->now < step->ready_at || !step->waiting)
		return;
	try.most = zr_cell_client_room(zr_cell_client(model, try.job->client),
				       &step->spec->need);
	if (!try.most)
		return;
	find_queue(&try, plan->scheduler->config);
	zr_cell_spots_known(plan, &try);
	if (zr_cell_step_is_gang(step))
		try_gang(plan, &try);
	else
		try_tasks(plan, &try);
}

static int by_rank(struct zr_cell_step_row *a, struct zr_cell_step_row *b)
{
	if (a->rank != b->rank)
		return a->rank < b->rank ? -1 : 1;
	return 0;
}

static void rank_steps(struct zr_cell_plan *plan)
{
	struct zr_cell_model *model = &plan->scheduler->model;
	struct zr_cell_step_row *step;

	DL_FOREACH(model->ready, step)
	{
		step->rank = zr_cell_order_rank(zr_cell_job(model, step->job),
						plan->now);
	}
	DL_SORT(model->ready, by_rank);
}

void zr_cell_plan(struct zr_cell_scheduler *scheduler)
{
	struct zr_cell_plan plan = {.scheduler = scheduler,
				    .now = zr_cell_now_ms(scheduler)};
	struct zr_cell_step_row *step;
	struct zr_cell_step_row *next;

	scheduler->plan_due = false;
	if (scheduler->phase != ZR_CELL_ACTIVE || !scheduler->config ||
	    scheduler->releasing || !zr_cell_is_owner(scheduler))
		return;
	zr_cell_spots_find(&plan);
	rank_steps(&plan);
	DL_FOREACH_SAFE(scheduler->model.ready, step, next)
	{
		try_step(&plan, step);
		zr_cell_step_unlist_placed(&scheduler->model, step);
	}
	free(plan.spots);
	free(plan.known);
	zr_cell_journal_flush(scheduler->journal);
}

#include "cell/plan.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "zinniarack/log.h"

bool zr_cell_step_is_gang(const struct zr_cell_step_state *step)
{
	return step->spec->flags & ZR_STEP_GANG;
}

uint32_t zr_cell_step_least_tasks(const struct zr_cell_step_state *step)
{
	return zr_cell_step_is_gang(step) ? step->spec->count : 1;
}

static void log_placed(const struct zr_cell_plan *plan,
		       const struct zr_cell_plan_item *item, uint32_t placed,
		       const char *names)
{
	const struct zr_cell_step_state *step = item->step;

	zr_log_decision("step.placed job=%s occurrence=%" PRIu32
			" step=%" PRIu32 " tasks=%" PRIu32 " left=%" PRIu32
			" waited_ms=%" PRId64 " version=%" PRIu64 " on=%s",
			item->job->id, step->occurrence, step->number, placed,
			step->waiting, plan->now - step->ready_at,
			plan->scheduler->config->version, names);
}

static void place_and_log(struct zr_cell_plan *plan,
			  const struct zr_cell_plan_item *item,
			  uint32_t max_tasks)
{
	char names[ZR_CELL_NAMES_MAX];
	uint32_t placed = zr_cell_place_tasks(plan, item, max_tasks, names);

	if (placed)
		log_placed(plan, item, placed, names);
}

/*
 * Places members that did not start on other workers, so that they join the
 * run in which the other members wait, or stops the gang if that is too late.
 */
static void complete_gang(struct zr_cell_plan *plan,
			  const struct zr_cell_plan_item *item)
{
	char names[ZR_CELL_NAMES_MAX];
	uint32_t placed;

	if (!zr_cell_gang_can_be_completed(plan->scheduler, item->job,
					   item->step)) {
		zr_cell_stop_incomplete_gangs(plan->scheduler, item->job);
		return;
	}
	placed = zr_cell_place_missing_members(plan, item, names);
	if (placed)
		log_placed(plan, item, placed, names);
	if (item->queue.advised && item->step->waiting)
		zr_cell_query_adviser(plan, item);
}

/* Whether a member is not placed again yet, since its last run did not begin.
 */
static bool is_backing_off(const struct zr_cell_plan *plan,
			   const struct zr_cell_plan_item *item)
{
	const struct zr_cell_step_state *step = item->step;
	uint32_t i;

	for (i = step->first_task; i < step->first_task + step->spec->count;
	     i++) {
		if (plan->now < item->job->tasks[i].retry_at)
			return true;
	}
	return false;
}

static void place_gang(struct zr_cell_plan *plan,
		       struct zr_cell_plan_item *item)
{
	uint32_t count = item->step->spec->count;
	uint32_t suspects = zr_cell_isolation_suspects(item);
	bool isolated = zr_cell_isolation_ready(plan, item, suspects);
	struct zr_cell_gang_capacity capacity;

	/* The gang has a run already, but these members are not part of it. */
	if (item->step->waiting < count) {
		complete_gang(plan, item);
		return;
	}
	if (item->max_tasks < count || is_backing_off(plan, item))
		return;
	if (!isolated)
		zr_cell_isolation_wait(plan, item);
	if (isolated && zr_cell_plan_item_slots(plan, item) >= count) {
		zr_cell_gang_choose_band(plan, item, false);
		place_and_log(plan, item, count);
		return;
	}
	/*
	 * Slots that are free now have to be free when the adviser answers, so
	 * reserve them.
	 */
	zr_cell_gang_choose_band(plan, item, true);
	zr_cell_gang_reserve(&capacity, plan, item);
	if (item->queue.advised && !item->step->unfit)
		zr_cell_query_adviser_for_gang(plan, item, &capacity);
	zr_cell_gang_capacity_clear(&capacity);
}

static void place_independent_tasks(struct zr_cell_plan *plan,
				    const struct zr_cell_plan_item *item)
{
	place_and_log(plan, item, item->max_tasks);
	if (zr_cell_step_is_lasting(item->step) && item->step->waiting)
		zr_cell_lasting_reserve(plan, item);
	if (zr_cell_isolation_suspects(item))
		zr_cell_isolation_wait(plan, item);
	if (item->queue.advised && item->step->waiting)
		zr_cell_query_adviser(plan, item);
}

static void set_terms(struct zr_cell_job *job,
		      const struct zr_cell_queue *queue)
{
	snprintf(job->terms.pool, sizeof(job->terms.pool), "%s", queue->pool);
	job->terms.advised = queue->advised;
	job->terms.advise_ms = queue->advise_ms;
	job->terms.advise_worker_us = queue->advise_worker_us;
	job->terms.permit_ms = queue->permit_ms;
}

/* If the queue has been removed, the job goes on by its last terms. */
static void find_queue(struct zr_cell_plan_item *item,
		       const struct zr_cell_config *config)
{
	const struct zr_cell_queue *queue =
		zr_cell_config_queue(config, item->job->queue);
	const struct zr_cell_terms *terms = &item->job->terms;

	if (queue) {
		item->queue = *queue;
		set_terms(item->job, queue);
		return;
	}
	snprintf(item->queue.pool, sizeof(item->queue.pool), "%s", terms->pool);
	item->queue.advised = terms->advised;
	item->queue.advise_ms = terms->advise_ms;
	item->queue.advise_worker_us = terms->advise_worker_us;
	item->queue.permit_ms = terms->permit_ms;
}

void zr_cell_plan_item_set(struct zr_cell_plan *plan,
			   struct zr_cell_plan_item *item,
			   struct zr_cell_step_state *step)
{
	*item = (struct zr_cell_plan_item){
		.job = zr_cell_job(&plan->scheduler->term.model, step->job),
		.step = step,
		.need = zr_cell_need(step->spec),
	};
	find_queue(item, plan->scheduler->config);
	zr_cell_speed_set_item(plan, item);
}

static void place_step(struct zr_cell_plan *plan,
		       struct zr_cell_step_state *step)
{
	struct zr_cell_model *model = &plan->scheduler->term.model;
	const struct zr_cell_job *job = zr_cell_job(model, step->job);
	struct zr_cell_plan_item item;
	uint32_t max_tasks;

	if (plan->now < step->ready_at || !step->waiting)
		return;
	max_tasks = zr_cell_client_remaining_tasks(
		zr_cell_client(model, job->client), &step->spec->need);
	if (!max_tasks)
		return;
	zr_cell_plan_item_set(plan, &item, step);
	item.max_tasks = max_tasks;
	zr_cell_plan_item_find_eligible(plan, &item);
	zr_cell_step_update_unfit(plan, &item);
	if (zr_cell_step_is_gang(step))
		place_gang(plan, &item);
	else
		place_independent_tasks(plan, &item);
}

static int by_rank(struct zr_cell_step_state *a, struct zr_cell_step_state *b)
{
	if (a->rank != b->rank)
		return a->rank < b->rank ? -1 : 1;
	return 0;
}

static void rank_steps(struct zr_cell_plan *plan)
{
	struct zr_cell_model *model = &plan->scheduler->term.model;
	struct zr_cell_step_state *step;

	DL_FOREACH(model->ready, step)
	{
		const struct zr_cell_job *job = zr_cell_job(model, step->job);

		step->rank = zr_cell_priority_rank(
			job,
			zr_cell_client(model, job->client)->past_use_permille,
			plan->now);
	}
	DL_SORT(model->ready, by_rank);
}

void zr_cell_plan(struct zr_cell_scheduler *scheduler)
{
	struct zr_cell_plan plan = {.scheduler = scheduler,
				    .now = zr_cell_now_ms(scheduler),
				    .fastest_band = ZR_SPEED_BAND_MIN};
	struct zr_cell_step_state *step;
	struct zr_cell_step_state *next;

	scheduler->plan_scheduled = false;
	if (scheduler->phase != ZR_CELL_ACTIVE || !scheduler->config ||
	    scheduler->releasing || scheduler->term.hand_over_deadline_at ||
	    !zr_cell_is_owner(scheduler))
		return;
	zr_cell_model_update_due(&scheduler->term.model, plan.now,
				 zr_cell_wall_ms(scheduler));
	zr_cell_candidates_collect(&plan);
	rank_steps(&plan);
	DL_FOREACH_SAFE(scheduler->term.model.ready, step, next)
	{
		place_step(&plan, step);
		zr_cell_step_unlist_placed(&scheduler->term.model, step);
	}
	zr_cell_moves_plan(&plan);
	free(plan.candidates);
	free(plan.eligible);
	zr_cell_journal_flush(scheduler->journal);
}

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "cell/plan.h"
#include "zinniarack/log.h"

/*
 * A step that cannot be placed yet may reserve capacity or drain a worker,
 * which keeps others from what is free. Estimates of when running tasks end may
 * be wrong and permits may not come, so a reservation ends after a time, and
 * the next one begins after a backoff. While reservations leave most of a pool
 * unused, all steps of the pool pause, since their reservations would otherwise
 * follow each other.
 */

/* A reservation expires unless a later pass renews it. */
#define RENEWAL_MS 300
/*
 * Time after the last renewal in which nothing else may have been placed yet on
 * what was reserved.
 */
#define RESERVED_MS 600
/* Backoff after a reservation that was given up. */
#define RETRY_MIN_MS 1000
#define RETRY_MAX_MS 8000
/*
 * The users count a job as lost that has nothing running for 3 s while less
 * than half of its pool is in use.
 */
#define UNDERUSED_MAX_MS 2000
#define UNDERUSED_DIVISOR 2
#define PAUSE_MS 1000
/* Time after which a step that does not fit is logged: workers may be away. */
#define UNFIT_LOG_DELAY_MS 1000

void zr_cell_reservation_keep_worker(const struct zr_cell_plan *plan,
				     const struct zr_cell_plan_item *item,
				     struct zr_cell_worker *worker)
{
	worker->reserved_for_job = item->job->self;
	worker->reserved_for_step = item->step->number;
	worker->reserved_until = plan->now + RENEWAL_MS;
}

bool zr_cell_reservation_has_worker(const struct zr_cell_plan *plan,
				    const struct zr_cell_plan_item *item,
				    const struct zr_cell_worker *worker)
{
	return plan->now < worker->reserved_until &&
	       worker->reserved_for_job == item->job->self &&
	       worker->reserved_for_step == item->step->number;
}

/* Pools beyond ZR_CELL_POOLS_MAX share the last entry. */
static struct zr_cell_pool_use *get_or_add_pool(struct zr_cell_term *term,
						const char *name)
{
	struct zr_cell_pool_use *pool;
	size_t i;

	for (i = 0; i < term->pool_use_count; i++) {
		if (!strcmp(term->pool_use[i].pool, name))
			return &term->pool_use[i];
	}
	if (i == ZR_CELL_POOLS_MAX)
		return &term->pool_use[i - 1];
	pool = &term->pool_use[term->pool_use_count++];
	memset(pool, 0, sizeof(*pool));
	snprintf(pool->pool, sizeof(pool->pool), "%s", name);
	return pool;
}

static void update_pause(struct zr_cell_pool_use *pool, int64_t now)
{
	bool reserved =
		pool->reserved_at && now - pool->reserved_at <= RESERVED_MS;

	if (!reserved || UNDERUSED_DIVISOR * pool->used >= pool->capacity) {
		pool->underused_since = 0;
		return;
	}
	if (!pool->underused_since)
		pool->underused_since = now;
	if (now - pool->underused_since < UNDERUSED_MAX_MS)
		return;
	zr_log_decision("reservation.paused pool=%s used=%" PRIu64
			" capacity=%" PRIu64,
			pool->pool, pool->used, pool->capacity);
	pool->underused_since = 0;
	pool->paused_until = now + PAUSE_MS;
}

void zr_cell_reservation_begin_pass(struct zr_cell_plan *plan)
{
	struct zr_cell_term *term = &plan->scheduler->term;
	size_t i;

	for (i = 0; i < term->pool_use_count; i++) {
		term->pool_use[i].capacity = 0;
		term->pool_use[i].used = 0;
	}
}

void zr_cell_reservation_add_worker(struct zr_cell_plan *plan,
				    const struct zr_cell_worker *worker)
{
	struct zr_cell_pool_use *pool;

	if (!worker->registered)
		return;
	pool = get_or_add_pool(&plan->scheduler->term, worker->report.pool);
	pool->capacity += worker->report.capacity.millicpus;
	pool->used += worker->used_millicpus;
}

void zr_cell_reservation_update_pauses(struct zr_cell_plan *plan)
{
	struct zr_cell_term *term = &plan->scheduler->term;
	size_t i;

	for (i = 0; i < term->pool_use_count; i++)
		update_pause(&term->pool_use[i], plan->now);
}

static void give_up(const struct zr_cell_plan *plan,
		    const struct zr_cell_plan_item *item)
{
	struct zr_cell_reservation *reservation = &item->step->reservation;

	zr_log_decision("reservation.expired job=%s step=%" PRIu32
			" waited_ms=%" PRId64 " reserved_ms=%" PRId64,
			item->job->id, item->step->number,
			plan->now - item->step->ready_at,
			plan->now - reservation->since);
	plan->scheduler->expired_reservations->value++;
	reservation->since = 0;
	reservation->retry_at =
		plan->now + zr_cell_retry_delay_ms(++reservation->expired,
						   RETRY_MIN_MS, RETRY_MAX_MS);
}

bool zr_cell_reservation_renew(struct zr_cell_plan *plan,
			       const struct zr_cell_plan_item *item)
{
	struct zr_cell_reservation *reservation = &item->step->reservation;
	struct zr_cell_pool_use *pool =
		get_or_add_pool(&plan->scheduler->term, item->queue.pool);

	if (plan->now < pool->paused_until)
		reservation->since = 0;
	if (plan->now < pool->paused_until || plan->now < reservation->retry_at)
		return false;
	if (!reservation->since ||
	    plan->now - reservation->renewed_at >= RENEWAL_MS)
		reservation->since = plan->now;
	if (plan->now - reservation->since >= ZR_CELL_RESERVATION_MAX_MS) {
		give_up(plan, item);
		return false;
	}
	reservation->renewed_at = plan->now;
	pool->reserved_at = plan->now;
	return true;
}

void zr_cell_reservation_end(struct zr_cell_step_state *step)
{
	step->reservation = (struct zr_cell_reservation){0};
}

static bool fits_when_idle(struct zr_cell_plan *plan,
			   const struct zr_cell_plan_item *item)
{
	uint32_t wanted = zr_cell_step_least_tasks(item->step);
	uint32_t slots = 0;
	size_t i;

	for (i = 0; i < plan->candidate_count && slots < wanted; i++) {
		struct zr_cell_candidate *candidate = &plan->candidates[i];
		uint32_t more;

		if (!zr_cell_candidate_matches(item, candidate))
			continue;
		more = zr_cell_candidate_slots_when_idle(plan, item, candidate);
		slots += more < wanted ? more : wanted;
	}
	return slots >= wanted;
}

void zr_cell_step_update_unfit(struct zr_cell_plan *plan,
			       const struct zr_cell_plan_item *item)
{
	struct zr_cell_step_state *step = item->step;

	step->unfit = !step->active_tasks && !fits_when_idle(plan, item);
	if (!step->unfit) {
		step->unfit_since = 0;
		return;
	}
	if (!step->unfit_since)
		step->unfit_since = plan->now;
	if (step->unfit_logged ||
	    plan->now - step->unfit_since < UNFIT_LOG_DELAY_MS)
		return;
	step->unfit_logged = true;
	zr_log_decision("step.unfit job=%s step=%" PRIu32 " tasks=%" PRIu32
			" millicpus=%" PRIu32 " memory_mb=%" PRIu32
			" candidates=%zu",
			item->job->id, step->number, step->spec->count,
			item->need.millicpus, item->need.memory_mb,
			plan->candidate_count);
}

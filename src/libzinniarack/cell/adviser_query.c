#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cell/plan.h"
#include "zinniarack/errors.h"
#include "zinniarack/log.h"

/* Delay of the next query of a step after one that failed. */
#define QUERY_RETRY_MS 200
/*
 * A query times out this long after its answer was expected. After a failed
 * query, its proxy is not used for the same time.
 */
#define QUERY_TIMEOUT_MARGIN_MS 800
/*
 * A query names this many workers for each that is expected to be permitted,
 * since some lose their free resources before the adviser answers.
 */
#define SPARE_FACTOR 2
#define NAMED_MIN 10
#define GANG_NAMED_MIN 16
/*
 * Proxies are scarce. After a query that took LONG_QUERY_MS or more, a step
 * waits QUERY_PAUSE_MS before its next query, so that one query covers more
 * workers. A step whose job has used 1 / PAUSE_DIVISOR of its time objective
 * does not wait.
 */
#define LONG_QUERY_MS 40
#define QUERY_PAUSE_MS 300
#define PAUSE_DIVISOR 2
/* Delay until a step that found no workers to query about tries again. */
#define NO_TARGETS_RETRY_MS 10
#define PERMILLE 1000

/* A pending query to the adviser. */
struct query {
	struct zr_cell_call base;
	zr_handle job;
	uint32_t step;
	uint32_t permit_ms;
	int64_t sent_at;
	struct zr_cell_adviser_proxy_state *proxy;
	zr_handle named[ZR_CELL_ADVISE_MAX];
	size_t named_count;
};

/*
 * A worker that a query may name. @slots is the number of slots that it has or
 * can get, @without_preemption the part of them that needs no preemption,
 * @gang_reserved whether a gang has reserved capacity there, @order how its
 * speed suits the step, the lowest being the best, and @in_gang_domain whether
 * it is in the domain of the gang that queries.
 */
struct query_target {
	const struct zr_cell_worker *worker;
	uint32_t slots;
	uint32_t without_preemption;
	bool gang_reserved;
	int order;
	bool in_gang_domain;
};

/* Answers */

static void set_ticket(struct zr_cell_permission *permission,
		       const char *ticket)
{
	free(permission->ticket);
	permission->ticket = strdup(ticket);
	if (!permission->ticket)
		abort();
}

static void store_permissions(struct zr_cell_scheduler *scheduler,
			      struct zr_cell_step_state *step,
			      const struct query *query,
			      const struct zr_cell_permit *permits,
			      size_t count, int64_t until)
{
	size_t i;

	for (i = 0; i < query->named_count; i++)
		zr_cell_permission_get_or_add(step, query->named[i]);
	for (i = 0; i < count; i++) {
		struct zr_cell_worker *worker = zr_cell_worker_find(
			&scheduler->term.model, permits[i].worker);
		struct zr_cell_permission *permission;

		if (!worker)
			continue;
		if (zr_cell_permit_check(&permits[i]) < 0) {
			scheduler->refused_tickets->value++;
			continue;
		}
		permission = zr_cell_permission_get_or_add(step, worker->self);
		permission->permitted = true;
		permission->expires_at = until;
		set_ticket(permission, permits[i].ticket);
	}
}

static void update_proxy(struct zr_cell_scheduler *scheduler,
			 const struct query *query, int error)
{
	struct zr_cell_adviser_proxy_state *proxy = query->proxy;
	int64_t now = zr_cell_now_ms(scheduler);

	proxy->busy = false;
	zr_histogram_observe(scheduler->advice.answer_ms,
			     (double)(now - query->sent_at));
	if (!error) {
		proxy->failures = 0;
		return;
	}
	proxy->failures++;
	proxy->backoff_until = now + QUERY_TIMEOUT_MARGIN_MS;
	scheduler->advice.failed_queries->value++;
}

/* Gangs do not pause: they reserve capacity while they wait. */
static bool should_pause(const struct zr_cell_scheduler *scheduler,
			 const struct query *query,
			 const struct zr_cell_job *job)
{
	int64_t now = zr_cell_now_ms(scheduler);

	return !zr_cell_step_is_gang(&job->steps[query->step]) &&
	       now - query->sent_at >= LONG_QUERY_MS &&
	       (now - job->accepted_at) * PAUSE_DIVISOR <
		       zr_cell_priority_objective_ms(job);
}

static void handle_answer(struct zr_cell_scheduler *scheduler,
			  const struct query *query, struct zr_cell_job *job,
			  int error, const struct zr_cell_permit *permits,
			  size_t count, uint32_t validity_ms)
{
	struct zr_cell_step_state *step = &job->steps[query->step];
	int64_t now = zr_cell_now_ms(scheduler);

	step->pending_queries--;
	zr_log_decision("advice.answered job=%s step=%" PRIu32
			" host=%s error=%d named=%zu permitted=%zu "
			"took_ms=%" PRId64,
			job->id, step->number, query->proxy->proxy.name, error,
			query->named_count, count, now - query->sent_at);
	if (error < 0) {
		step->retry_at = now + QUERY_RETRY_MS;
		return;
	}
	if (should_pause(scheduler, query, job))
		step->retry_at = now + QUERY_PAUSE_MS;
	if (!validity_ms || validity_ms > query->permit_ms)
		validity_ms = query->permit_ms;
	store_permissions(scheduler, step, query, permits, count,
			  now + validity_ms);
	zr_cell_advice_record_answer(&scheduler->advice, job->queue,
				     query->named_count, count);
}

static void on_advice(void *ctx, int error,
		      const struct zr_cell_permit *permits, size_t count,
		      uint32_t validity_ms)
{
	struct query *query = ctx;
	struct zr_cell_scheduler *scheduler = query->base.scheduler;
	struct zr_cell_job *job;

	if (!zr_cell_call_done(scheduler)) {
		free(query);
		return;
	}
	update_proxy(scheduler, query, error);
	/* The proxy outlives the term. */
	job = zr_cell_call_is_current(&query->base)
		      ? zr_cell_job(&scheduler->term.model, query->job)
		      : NULL;
	if (job && query->step < job->step_count)
		handle_answer(scheduler, query, job, error, permits, count,
			      validity_ms);
	free(query);
	zr_cell_schedule_plan(scheduler);
}

/* Queries */

/* Workers of a gang's domain come before those that are faster than needed. */
static int query_order(const struct zr_cell_plan_item *item,
		       struct zr_cell_candidate *candidate)
{
	if (!item->by_speed)
		return 0;
	zr_cell_speed_set_order(item, candidate);
	return zr_cell_step_is_gang(item->step) ? candidate->shortfall
						: candidate->order;
}

/*
 * A permit decides where a step can run, so workers of suitable speed come
 * first. Slots that need no preemption count twice: they stop no other task.
 */
static int by_slots(const void *a, const void *b)
{
	const struct query_target *x = a;
	const struct query_target *y = b;
	uint32_t x_weight = x->slots + x->without_preemption;
	uint32_t y_weight = y->slots + y->without_preemption;

	if (x->gang_reserved != y->gang_reserved)
		return x->gang_reserved ? 1 : -1;
	if (x->order != y->order)
		return x->order < y->order ? -1 : 1;
	if (x->in_gang_domain != y->in_gang_domain)
		return x->in_gang_domain ? -1 : 1;
	if (x_weight != y_weight)
		return x_weight > y_weight ? -1 : 1;
	return strcmp(x->worker->report.name, y->worker->report.name);
}

/* Finds workers with slots that are permitted, but whose ticket has expired. */
static size_t find_expired(struct query_target *out,
			   const struct zr_cell_plan *plan,
			   const struct zr_cell_plan_item *item)
{
	size_t count = 0;
	size_t i;

	for (i = 0; i < item->eligible_count; i++) {
		struct zr_cell_candidate *candidate =
			item->eligible[i].candidate;
		uint32_t slots;

		if (zr_cell_eligible_is_valid(&item->eligible[i], plan->now))
			continue;
		slots = zr_cell_candidate_slots(item, candidate);
		if (slots)
			out[count++] = (struct query_target){
				candidate->worker,
				slots,
				slots,
				candidate->gang_reserved,
				query_order(item, candidate),
				false};
	}
	qsort(out, count, sizeof(*out), by_slots);
	return count;
}

/* Finds workers with slots about which no query has been answered. */
static size_t find_unqueried(struct query_target *out,
			     const struct zr_cell_plan *plan,
			     const struct zr_cell_plan_item *item)
{
	size_t count = 0;
	size_t i;

	for (i = 0; i < plan->candidate_count; i++) {
		struct zr_cell_candidate *candidate = &plan->candidates[i];
		uint32_t slots;

		if (zr_cell_permission_find(item->step,
					    candidate->worker->self))
			continue;
		slots = zr_cell_candidate_slots(item, candidate);
		if (slots && zr_cell_candidate_matches(item, candidate))
			out[count++] = (struct query_target){
				candidate->worker,
				slots,
				slots,
				candidate->gang_reserved,
				query_order(item, candidate),
				false};
	}
	qsort(out, count, sizeof(*out), by_slots);
	return count;
}

/* Number of targets, in their order, that have @wanted slots together. */
static size_t count_targets_for(const struct query_target *targets,
				size_t count, uint32_t wanted)
{
	uint32_t slots = 0;
	size_t i;

	for (i = 0; i < count && slots < wanted; i++)
		slots += targets[i].slots;
	return i;
}

static size_t unqueried_count(const struct zr_cell_plan *plan,
			      const struct zr_cell_plan_item *item,
			      const struct query_target *targets, size_t count,
			      uint32_t wanted)
{
	uint32_t permitted_permille = zr_cell_advice_permitted_permille(
		&plan->scheduler->advice, item->job->queue);
	size_t needed = count_targets_for(targets, count, wanted) *
			SPARE_FACTOR * PERMILLE / permitted_permille;

	if (needed < NAMED_MIN)
		needed = NAMED_MIN;
	return needed < count ? needed : count;
}

/*
 * Number of workers to name for a gang. A further query costs more than a
 * longer one, so a single one covers all missing slots.
 */
static size_t gang_target_count(const struct zr_cell_plan *plan,
				const struct zr_cell_plan_item *item,
				const struct query_target *targets,
				size_t count, uint32_t missing_slots)
{
	uint32_t permitted_permille = zr_cell_advice_permitted_permille(
		&plan->scheduler->advice, item->job->queue);
	uint64_t slots = 0;
	uint64_t needed;
	size_t i;

	for (i = 0; i < count; i++)
		slots += zr_cell_fit_count(&targets[i].worker->report.capacity,
					   &item->need);
	if (!slots)
		return 0;
	needed = (uint64_t)missing_slots * count * PERMILLE /
		 (slots * permitted_permille);
	if (needed < GANG_NAMED_MIN)
		needed = GANG_NAMED_MIN;
	return needed < count ? (size_t)needed : count;
}

static void send_query(struct zr_cell_plan *plan,
		       const struct zr_cell_plan_item *item,
		       const struct query_target *targets, size_t count,
		       struct zr_cell_adviser_proxy_state *proxy)
{
	struct zr_cell_scheduler *scheduler = plan->scheduler;
	struct query *query = zr_cell_call_new(scheduler, sizeof(*query));
	const char *names[ZR_CELL_ADVISE_MAX];
	size_t i;

	query->job = item->job->self;
	query->step = (uint32_t)(item->step - item->job->steps);
	query->permit_ms = item->queue.permit_ms;
	query->sent_at = plan->now;
	query->proxy = proxy;
	for (i = 0; i < count; i++) {
		names[i] = targets[i].worker->report.name;
		query->named[i] = targets[i].worker->self;
	}
	query->named_count = count;
	proxy->busy = true;
	item->step->pending_queries++;
	scheduler->advice.queries->value++;
	proxy->proxy.query(proxy->proxy.ctx, item->job->id,
			   item->step->occurrence, item->step->number, names,
			   count,
			   zr_cell_advice_query_ms(&item->queue, count) +
				   QUERY_TIMEOUT_MARGIN_MS,
			   on_advice, query);
}

/* Sends queries about targets, split over several proxies if that is faster. */
static void send_queries(struct zr_cell_plan *plan,
			 const struct zr_cell_plan_item *item,
			 const struct query_target *targets, size_t count)
{
	size_t size = zr_cell_advice_chunk_size(&plan->scheduler->advice,
						plan->now, count);
	size_t at;

	for (at = 0; at < count; at += size) {
		size_t named = count - at < size ? count - at : size;
		struct zr_cell_adviser_proxy_state *proxy =
			zr_cell_advice_pick_proxy(
				&plan->scheduler->advice, plan->now,
				zr_cell_advice_query_ms(&item->queue, named));

		if (!proxy)
			return;
		send_query(plan, item, targets + at, named, proxy);
	}
}

static struct query_target *new_targets(const struct zr_cell_plan *plan)
{
	struct query_target *targets =
		calloc(plan->candidate_count + 1, sizeof(*targets));

	if (!targets)
		abort();
	return targets;
}

/* Whether the step may send a query now and a proxy is available for it. */
static bool can_query(const struct zr_cell_plan *plan,
		      const struct zr_cell_plan_item *item)
{
	return !item->step->pending_queries &&
	       plan->now >= item->step->retry_at &&
	       zr_cell_advice_pick_proxy(
		       &plan->scheduler->advice, plan->now,
		       zr_cell_advice_query_ms(&item->queue, NAMED_MIN));
}

static void query_targets(struct zr_cell_plan *plan,
			  const struct zr_cell_plan_item *item,
			  const struct query_target *targets, size_t count)
{
	if (count)
		send_queries(plan, item, targets, count);
	else
		item->step->retry_at = plan->now + NO_TARGETS_RETRY_MS;
}

void zr_cell_query_adviser(struct zr_cell_plan *plan,
			   const struct zr_cell_plan_item *item)
{
	struct query_target *targets;
	uint32_t wanted = item->step->waiting;
	size_t expired;
	size_t count;

	if (!can_query(plan, item))
		return;
	targets = new_targets(plan);
	expired = find_expired(targets, plan, item);
	count = count_targets_for(targets, expired, wanted);
	if (count == expired) {
		size_t unqueried =
			find_unqueried(targets + expired, plan, item);

		count += unqueried_count(plan, item, targets + expired,
					 unqueried, wanted);
	}
	query_targets(plan, item, targets, count);
	free(targets);
}

/*
 * Finds the workers on which the gang has reserved capacity, if the ticket of
 * any of them expires before the capacity is free. All of them are queried, so
 * that their tickets expire at the same time.
 */
static size_t find_reserved(struct query_target *out,
			    const struct zr_cell_plan *plan,
			    const struct zr_cell_gang_capacity *capacity)
{
	int64_t start_at = plan->now + ZR_CELL_STOP_MS;
	bool expires = false;
	size_t count = 0;
	size_t i;

	for (i = 0; i < capacity->count; i++) {
		const struct zr_cell_gang_candidate *entry =
			&capacity->candidates[i];

		if (!entry->reserved_members)
			continue;
		expires |=
			!zr_cell_eligible_is_valid(entry->eligible, start_at);
		out[count++] = (struct query_target){entry->candidate->worker,
						     entry->reserved_members,
						     0,
						     false,
						     0,
						     false};
	}
	return expires ? count : 0;
}

/*
 * Finds the workers that have not been queried about, whether they have slots
 * or not, in the order of by_slots().
 */
static size_t find_gang_targets(struct query_target *out,
				struct zr_cell_plan *plan,
				const struct zr_cell_plan_item *item)
{
	size_t count = 0;
	size_t i;

	for (i = 0; i < plan->candidate_count; i++) {
		struct zr_cell_candidate *candidate = &plan->candidates[i];

		if (!zr_cell_permission_find(item->step,
					     candidate->worker->self) &&
		    zr_cell_candidate_matches(item, candidate))
			out[count++] = (struct query_target){
				candidate->worker,
				zr_cell_candidate_slots_after_preemption(
					plan, item, candidate),
				zr_cell_candidate_slots_after_stops(plan, item,
								    candidate),
				candidate->gang_reserved,
				query_order(item, candidate),
				zr_cell_in_gang_domain(item, candidate),
			};
	}
	qsort(out, count, sizeof(*out), by_slots);
	return count;
}

void zr_cell_query_adviser_for_gang(
	struct zr_cell_plan *plan, const struct zr_cell_plan_item *item,
	const struct zr_cell_gang_capacity *capacity)
{
	struct query_target *targets;
	size_t count = 0;

	if ((!capacity->missing_slots && !capacity->complete_soon) ||
	    !can_query(plan, item))
		return;
	targets = new_targets(plan);
	if (capacity->complete_soon)
		count = find_reserved(targets, plan, capacity);
	if (!count && capacity->missing_slots) {
		zr_cell_choose_gang_domain(plan, item);
		count = find_gang_targets(targets, plan, item);
		count = gang_target_count(plan, item, targets, count,
					  capacity->missing_slots);
	}
	query_targets(plan, item, targets, count);
	free(targets);
}

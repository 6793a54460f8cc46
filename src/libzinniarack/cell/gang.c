#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "cell/plan.h"
#include "zinniarack/log.h"

/*
 * A gang needs capacity for all its members at once. On a full cell,
 * independent tasks would take each slot as it becomes free, and the gang would
 * wait until the load falls. So it reserves what becomes free on many workers
 * until all members fit. If that takes too long, it preempts less urgent
 * tasks that can resume from a checkpoint: these lose only the time that the
 * stop and the resume take.
 */

/*
 * Gangs that wait for running tasks to end reserve at most this fraction of the
 * cell, as a divisor. The first gang may exceed it.
 */
#define WAITING_GANGS_DIVISOR 4
/*
 * Slots that a waiting gang reserves, in percent of its members: it uses those
 * that become free first.
 */
#define WAITING_GANG_PERCENT 130
/*
 * The adviser is queried until the permitted workers have the capacity for this
 * many copies of the gang. One more copy is added for each EXTRA_COPY_MS that
 * the gang has waited, if at least 1 / IDLE_PROXIES_DIVISOR of the adviser's
 * proxies are idle.
 */
#define PERMITTED_COPIES 3
#define EXTRA_COPY_MS 1000
#define IDLE_PROXIES_DIVISOR 3
/* The domain of a gang should fit this many copies of it. */
#define DOMAIN_COPIES 2
/*
 * A gang starts to preempt once it has waited for this fraction of its job's
 * objective, as a divisor.
 */
#define PREEMPTION_WAIT_DIVISOR 8

bool zr_cell_in_gang_domain(const struct zr_cell_plan_item *item,
			    const struct zr_cell_candidate *candidate)
{
	return item->step->gang_domain &&
	       candidate->worker->domain == item->step->gang_domain;
}

void zr_cell_gang_choose_band(struct zr_cell_plan *plan,
			      struct zr_cell_plan_item *item, bool preempting)
{
	uint32_t slots[ZR_SPEED_BANDS] = {0};
	size_t i;

	if (!item->by_speed)
		return;
	for (i = 0; i < item->eligible_count; i++) {
		struct zr_cell_candidate *candidate =
			item->eligible[i].candidate;
		uint32_t *sum =
			&slots[zr_cell_speed_item_band(item, candidate) -
			       ZR_SPEED_BAND_MIN];

		if (preempting)
			*sum += zr_cell_candidate_slots_after_preemption(
				plan, item, candidate);
		else if (zr_cell_eligible_is_valid(&item->eligible[i],
						   plan->now))
			*sum += zr_cell_candidate_slots(item, candidate);
	}
	item->wanted_band = zr_speed_gang_band(slots, item->step->spec->count,
					       item->needed_band);
	for (i = 0; i < item->eligible_count; i++)
		zr_cell_speed_set_order(item, item->eligible[i].candidate);
}

/* Slots of a gang by failure domain, on workers of some number of bands. */
struct domain_slots {
	uint32_t by_band[ZR_SPEED_BANDS][ZR_CELL_DOMAINS_MAX + 1];
	uint32_t sum[ZR_CELL_DOMAINS_MAX + 1];
};

static void count_slots(struct domain_slots *out, struct zr_cell_plan *plan,
			const struct zr_cell_plan_item *item)
{
	size_t i;

	memset(out, 0, sizeof(*out));
	for (i = 0; i < plan->candidate_count; i++) {
		struct zr_cell_candidate *candidate = &plan->candidates[i];
		uint32_t domain = candidate->worker->domain;
		int band = zr_cell_speed_item_band(item, candidate);

		if (zr_cell_candidate_matches(item, candidate))
			out->by_band[band - ZR_SPEED_BAND_MIN][domain] +=
				zr_cell_candidate_slots_after_preemption(
					plan, item, candidate);
	}
}

/* Adds the slots of a band to the sums; returns the highest sum. */
static uint32_t add_band(struct domain_slots *slots, int band, uint32_t count)
{
	uint32_t highest = 0;
	uint32_t i;

	for (i = 1; i <= count; i++) {
		slots->sum[i] += slots->by_band[band - ZR_SPEED_BAND_MIN][i];
		if (slots->sum[i] > highest)
			highest = slots->sum[i];
	}
	return highest;
}

/*
 * Sums the slots of the workers that are fast enough, and of slower ones until
 * a domain has @wanted.
 */
static void sum_slots(struct domain_slots *slots,
		      const struct zr_cell_plan_item *item, uint32_t count,
		      uint32_t wanted)
{
	int needed = item->by_speed ? item->needed_band : ZR_SPEED_BAND_MIN;
	uint32_t highest = 0;
	int band;

	for (band = ZR_SPEED_BAND_MAX;
	     band >= needed || (band >= ZR_SPEED_BAND_MIN && highest < wanted);
	     band--)
		highest = add_band(slots, band, count);
}

/*
 * Takes the first domain that fits the gang DOMAIN_COPIES times, or else the
 * one with the most slots. The search starts at a different domain for each
 * job, since the gangs cannot see which slots the others are about to take.
 */
void zr_cell_choose_gang_domain(struct zr_cell_plan *plan,
				const struct zr_cell_plan_item *item)
{
	uint32_t count = plan->scheduler->term.model.domain_count;
	uint32_t wanted = DOMAIN_COPIES * item->step->spec->count;
	struct domain_slots slots;
	uint32_t best = 0;
	uint32_t i;

	count_slots(&slots, plan, item);
	sum_slots(&slots, item, count, wanted);
	for (i = 0; i < count; i++) {
		uint32_t domain =
			1 + (zr_handle_index(item->job->self) + i) % count;

		if (slots.sum[domain] >= wanted) {
			best = domain;
			break;
		}
		if (!best || slots.sum[domain] > slots.sum[best])
			best = domain;
	}
	item->step->gang_domain = best;
}

static void collect_candidates(struct zr_cell_gang_capacity *out,
			       struct zr_cell_plan *plan,
			       const struct zr_cell_plan_item *item)
{
	size_t i;

	out->candidates =
		calloc(item->eligible_count + 1, sizeof(*out->candidates));
	if (!out->candidates)
		abort();
	out->count = item->eligible_count;
	for (i = 0; i < item->eligible_count; i++) {
		struct zr_cell_candidate *candidate =
			item->eligible[i].candidate;

		out->candidates[i] = (struct zr_cell_gang_candidate){
			.eligible = &item->eligible[i],
			.candidate = candidate,
			.already_reserved = zr_cell_reservation_has_worker(
				plan, item, candidate->worker),
			.shortfall = candidate->shortfall,
			.in_gang_domain =
				zr_cell_in_gang_domain(item, candidate),
			.slots_after_stops =
				zr_cell_candidate_slots_after_stops(plan, item,
								    candidate),
			.slots_after_preemption =
				zr_cell_candidate_slots_after_preemption(
					plan, item, candidate),
		};
	}
}

/*
 * Workers reserved in an earlier pass come first: with other workers, the tasks
 * preempted so far would have been stopped for nothing. Then those that are
 * fast enough, then those of the gang's domain, then those with the most slots
 * after stops, then those with the most slots after preemption.
 */
static int by_slots_after_stops(const void *a, const void *b)
{
	const struct zr_cell_gang_candidate *x = a;
	const struct zr_cell_gang_candidate *y = b;

	if (x->already_reserved != y->already_reserved)
		return x->already_reserved ? -1 : 1;
	if (x->shortfall != y->shortfall)
		return x->shortfall < y->shortfall ? -1 : 1;
	if (x->in_gang_domain != y->in_gang_domain)
		return x->in_gang_domain ? -1 : 1;
	if (x->slots_after_stops != y->slots_after_stops)
		return x->slots_after_stops > y->slots_after_stops ? -1 : 1;
	if (x->slots_after_preemption != y->slots_after_preemption)
		return x->slots_after_preemption > y->slots_after_preemption
			       ? -1
			       : 1;
	return strcmp(x->candidate->worker->report.name,
		      y->candidate->worker->report.name);
}

static int by_free_cpu(const void *a, const void *b)
{
	const struct zr_cell_gang_candidate *x = a;
	const struct zr_cell_gang_candidate *y = b;
	uint32_t x_free = zr_cell_candidate_free(x->candidate).millicpus;
	uint32_t y_free = zr_cell_candidate_free(y->candidate).millicpus;

	if (x->shortfall != y->shortfall)
		return x->shortfall < y->shortfall ? -1 : 1;
	if (x->in_gang_domain != y->in_gang_domain)
		return x->in_gang_domain ? -1 : 1;
	if (x_free != y_free)
		return x_free > y_free ? -1 : 1;
	return strcmp(x->candidate->worker->report.name,
		      y->candidate->worker->report.name);
}

static void reserve(const struct zr_cell_plan_item *item,
		    struct zr_cell_gang_candidate *entry, uint32_t members)
{
	struct zr_resources *reserved = &entry->candidate->reserved;

	entry->reserved_members += members;
	reserved->millicpus += members * item->need.millicpus;
	reserved->memory_mb += members * item->need.memory_mb;
	reserved->accelerators += members * item->need.accelerators;
}

/* Reserves capacity on a worker so that the next passes choose it again. */
static void reserve_across_passes(const struct zr_cell_plan *plan,
				  const struct zr_cell_plan_item *item,
				  struct zr_cell_gang_candidate *entry,
				  uint32_t members)
{
	reserve(item, entry, members);
	zr_cell_reservation_keep_worker(plan, item, entry->candidate->worker);
}

static uint32_t min_u32(uint32_t a, uint32_t b)
{
	return a < b ? a : b;
}

/* Whether all members fit once runs have ended that end soon. */
static bool fits_soon(const struct zr_cell_plan *plan,
		      const struct zr_cell_plan_item *item,
		      const struct zr_cell_gang_capacity *capacity)
{
	uint32_t wanted = item->step->spec->count;
	uint32_t slots = 0;
	size_t i;

	for (i = 0; i < capacity->count && slots < wanted; i++)
		slots += zr_cell_candidate_slots_soon(
			plan, item, capacity->candidates[i].candidate);
	return slots >= wanted;
}

/* Whether all members fit once sent stops have taken effect. */
static bool fits_after_stops(const struct zr_cell_plan_item *item,
			     const struct zr_cell_gang_capacity *capacity)
{
	uint32_t wanted = item->step->spec->count;
	uint32_t slots = 0;
	size_t i;

	for (i = 0; i < capacity->count && slots < wanted; i++)
		slots += capacity->candidates[i].slots_after_stops;
	return slots >= wanted;
}

/*
 * Assigns the members to workers on which they fit after stops. Without a
 * reservation, the adviser is queried about these workers all the same.
 */
static void assign_after_stops(const struct zr_cell_plan *plan,
			       const struct zr_cell_plan_item *item,
			       struct zr_cell_gang_capacity *capacity,
			       bool reserves)
{
	uint32_t wanted = item->step->spec->count;
	size_t i;

	for (i = 0; wanted; i++) {
		struct zr_cell_gang_candidate *entry = &capacity->candidates[i];
		uint32_t members = min_u32(entry->slots_after_stops, wanted);

		if (members && reserves)
			reserve_across_passes(plan, item, entry, members);
		else
			entry->reserved_members = members;
		wanted -= members;
	}
}

/* Whether all members fit once all preemptible tasks have been stopped. */
static bool fits_after_preemption(const struct zr_cell_plan_item *item,
				  const struct zr_cell_gang_capacity *capacity)
{
	uint32_t wanted = item->step->spec->count;
	uint32_t slots = 0;
	size_t i;

	for (i = 0; i < capacity->count && slots < wanted; i++)
		slots += capacity->candidates[i].slots_after_preemption;
	return slots >= wanted;
}

static void preempt_tasks(struct zr_cell_plan *plan,
			  const struct zr_cell_plan_item *item,
			  struct zr_cell_gang_capacity *capacity)
{
	uint32_t wanted = item->step->spec->count;
	size_t i;

	zr_log_decision("gang.preempts job=%s step=%" PRIu32 " tasks=%" PRIu32
			" waited_ms=%" PRId64,
			item->job->id, item->step->number, wanted,
			plan->now - item->step->ready_at);
	for (i = 0; wanted; i++) {
		struct zr_cell_gang_candidate *entry = &capacity->candidates[i];
		uint32_t members =
			min_u32(entry->slots_after_preemption, wanted);

		if (!members)
			continue;
		zr_cell_candidate_preempt(plan, item, entry->candidate,
					  members);
		reserve_across_passes(plan, item, entry, members);
		wanted -= members;
	}
}

/*
 * Number of workers on which a gang waits for free slots: those of its
 * domain if they could fit it DOMAIN_COPIES times when idle, or else all.
 */
static uint32_t
waiting_worker_count(const struct zr_cell_plan_item *item,
		     const struct zr_cell_gang_capacity *capacity,
		     uint32_t wanted)
{
	uint32_t slots = 0;
	uint32_t in_domain = 0;
	size_t i;

	for (i = 0; i < capacity->count; i++) {
		const struct zr_cell_gang_candidate *entry =
			&capacity->candidates[i];

		if (!entry->in_gang_domain)
			continue;
		in_domain++;
		slots += zr_cell_fit_count(
			&entry->candidate->worker->report.capacity,
			&item->need);
	}
	return in_domain && slots >= DOMAIN_COPIES * wanted
		       ? in_domain
		       : (uint32_t)capacity->count;
}

/*
 * Reserves capacity for up to @wanted members, @max on a worker, but no more
 * than it can hold. Returns the number of members.
 */
static uint32_t spread_members(const struct zr_cell_plan *plan,
			       const struct zr_cell_plan_item *item,
			       struct zr_cell_gang_capacity *capacity,
			       uint32_t wanted, uint32_t max)
{
	uint32_t reserved = 0;
	size_t i;

	for (i = 0; i < capacity->count && reserved < wanted; i++) {
		struct zr_cell_gang_candidate *entry = &capacity->candidates[i];
		uint32_t slots = zr_cell_candidate_slots_soon(plan, item,
							      entry->candidate);
		uint32_t members =
			min_u32(min_u32(slots - entry->reserved_members, max),
				wanted - reserved);

		reserve(item, entry, members);
		reserved += members;
	}
	return reserved;
}

/*
 * Reserves what becomes free until all members fit. The reservation is spread
 * over many workers, since on few of them the gang would have to wait for their
 * longest task.
 */
static void reserve_as_freed(struct zr_cell_plan *plan,
			     const struct zr_cell_plan_item *item,
			     struct zr_cell_gang_capacity *capacity)
{
	uint32_t wanted = item->step->spec->count * WAITING_GANG_PERCENT / 100;
	uint64_t millicpus = (uint64_t)wanted * item->need.millicpus;
	uint32_t worker_count;
	uint32_t members_per_worker;

	if (!capacity->count || (plan->waiting_gangs_millicpus &&
				 (plan->waiting_gangs_millicpus + millicpus) *
						 WAITING_GANGS_DIVISOR >
					 plan->capacity_millicpus))
		return;
	if (!zr_cell_reservation_renew(plan, item))
		return;
	worker_count = waiting_worker_count(item, capacity, wanted);
	members_per_worker = (wanted + worker_count - 1) / worker_count;
	qsort(capacity->candidates, capacity->count,
	      sizeof(*capacity->candidates), by_free_cpu);
	wanted -= spread_members(plan, item, capacity, wanted,
				 members_per_worker);
	/* Some workers hold less than their part. */
	spread_members(plan, item, capacity, wanted, wanted);
	plan->waiting_gangs_millicpus += millicpus;
}

/*
 * Number of slots for which permitted workers have to be found. Permissions of
 * a gang do not change, so it queries once for enough workers to fit it even if
 * other gangs reserve some of them.
 */
static uint32_t
count_missing_slots(const struct zr_cell_plan *plan,
		    const struct zr_cell_plan_item *item,
		    const struct zr_cell_gang_capacity *capacity)
{
	int64_t waited = plan->now - item->step->ready_at;
	uint32_t copies = PERMITTED_COPIES;
	uint32_t wanted;
	uint32_t slots = 0;
	size_t i;

	if (zr_cell_advice_idle_count(&plan->scheduler->advice, plan->now) >=
	    plan->scheduler->advice.count / IDLE_PROXIES_DIVISOR)
		copies += (uint32_t)(waited / EXTRA_COPY_MS);
	wanted = copies * item->step->spec->count;
	for (i = 0; i < capacity->count && slots < wanted; i++)
		slots += zr_cell_fit_count(
			&capacity->candidates[i]
				 .candidate->worker->report.capacity,
			&item->need);
	return slots < wanted ? wanted - slots : 0;
}

static bool should_preempt(const struct zr_cell_plan *plan,
			   const struct zr_cell_plan_item *item)
{
	int64_t waited = plan->now - item->step->ready_at;

	return waited * PREEMPTION_WAIT_DIVISOR >
	       zr_cell_priority_objective_ms(item->job);
}

void zr_cell_gang_reserve(struct zr_cell_gang_capacity *out,
			  struct zr_cell_plan *plan,
			  const struct zr_cell_plan_item *item)
{
	memset(out, 0, sizeof(*out));
	collect_candidates(out, plan, item);
	qsort(out->candidates, out->count, sizeof(*out->candidates),
	      by_slots_after_stops);
	out->missing_slots = count_missing_slots(plan, item, out);
	out->complete_soon = fits_after_stops(item, out);
	if (out->complete_soon) {
		assign_after_stops(plan, item, out,
				   zr_cell_reservation_renew(plan, item));
	} else if (should_preempt(plan, item) &&
		   fits_after_preemption(item, out)) {
		out->complete_soon = zr_cell_reservation_renew(plan, item);
		if (out->complete_soon)
			preempt_tasks(plan, item, out);
	} else if (fits_soon(plan, item, out)) {
		reserve_as_freed(plan, item, out);
	}
}

void zr_cell_gang_capacity_clear(struct zr_cell_gang_capacity *capacity)
{
	free(capacity->candidates);
}

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "cell/plan.h"
#include "zinniarack/log.h"

/*
 * A gang needs all its room at once. On a full cell single tasks take each
 * place as it comes free, and a gang would wait until the load falls. So it
 * holds what comes free, on many workers, until all members fit. When that
 * takes too long it stops tasks of later classes that can resume from a
 * checkpoint: they lose what a stop and a resume take.
 */

/* Draining gangs, but for the first, hold at most this part of the cell. */
#define DRAINING_PART 4
/* They hold a little more than they need: the first places free are taken. */
#define DRAIN_SPARE_PERCENT 130
/*
 * A gang knows of permitted workers that hold it this many times; while this
 * part of the hosts is idle, once more for each time it has waited so long.
 */
#define KNOWN_SPREAD 3
#define KNOW_MORE_MS 1000
#define IDLE_PART 3
/* A gang gathers in a domain that could hold it this many times. */
#define HOME_SPREAD 2
/* A gang stops others after this part of the time until it is late. */
#define PATIENCE_PART 8
/* A gang that is not tried again for so long has given its workers up. */
#define KEEP_MS 300

bool zr_cell_is_home(const struct zr_cell_try *try,
		     const struct zr_cell_spot *spot)
{
	return try->step->home && spot->worker->domain == try->step->home;
}

/* Gangs begin at different domains: what others are about to take is unseen. */
void zr_cell_choose_home(struct zr_cell_plan *plan,
			 const struct zr_cell_try *try)
{
	uint32_t count = plan->scheduler->model.domain_count;
	uint32_t wanted = HOME_SPREAD * try->step->spec->count;
	uint32_t reach[ZR_CELL_DOMAINS_MAX + 1] = {0};
	uint32_t best = 0;
	uint32_t i;

	for (i = 0; i < plan->spot_count; i++) {
		struct zr_cell_spot *spot = &plan->spots[i];

		if (zr_cell_spot_suits(try, spot))
			reach[spot->worker->domain] +=
				zr_cell_spot_reach(plan, try, spot);
	}
	for (i = 0; i < count; i++) {
		uint32_t domain =
			1 + (zr_handle_index(try->job->self) + i) % count;

		if (reach[domain] >= wanted) {
			best = domain;
			break;
		}
		if (!best || reach[domain] > reach[best])
			best = domain;
	}
	try->step->home = best;
}

static bool keeps(const struct zr_cell_plan *plan,
		  const struct zr_cell_try *try,
		  const struct zr_cell_worker *worker)
{
	return plan->now < worker->kept_until &&
	       worker->keeper == try->job->self &&
	       worker->keeper_step == try->step->number;
}

static void find_places(struct zr_cell_gathered *out, struct zr_cell_plan *plan,
			const struct zr_cell_try *try)
{
	size_t i;

	out->places = calloc(try->known_count + 1, sizeof(*out->places));
	if (!out->places)
		abort();
	out->count = try->known_count;
	for (i = 0; i < try->known_count; i++) {
		struct zr_cell_spot *spot = try->known[i].spot;

		out->places[i] = (struct zr_cell_place){
			.known = &try->known[i],
			.spot = spot,
			.kept = keeps(plan, try, spot->worker),
			.home = zr_cell_is_home(try, spot),
			.soon = zr_cell_spot_soon(plan, try, spot),
			.reach = zr_cell_spot_reach(plan, try, spot),
		};
	}
}

/*
 * Workers chosen before come first: others would be stopped for nothing. Then
 * those with room; among those without, where most can be had.
 */
static int by_soon(const void *a, const void *b)
{
	const struct zr_cell_place *x = a;
	const struct zr_cell_place *y = b;

	if (x->kept != y->kept)
		return x->kept ? -1 : 1;
	if (x->home != y->home)
		return x->home ? -1 : 1;
	if (x->soon != y->soon)
		return x->soon > y->soon ? -1 : 1;
	if (x->reach != y->reach)
		return x->reach > y->reach ? -1 : 1;
	return strcmp(x->spot->worker->report.name,
		      y->spot->worker->report.name);
}

static int by_room(const void *a, const void *b)
{
	const struct zr_cell_place *x = a;
	const struct zr_cell_place *y = b;
	uint32_t x_left = zr_cell_spot_left(x->spot).millicpus;
	uint32_t y_left = zr_cell_spot_left(y->spot).millicpus;

	if (x->home != y->home)
		return x->home ? -1 : 1;
	if (x_left != y_left)
		return x_left > y_left ? -1 : 1;
	return strcmp(x->spot->worker->report.name,
		      y->spot->worker->report.name);
}

static void hold(const struct zr_cell_try *try, struct zr_cell_place *place,
		 uint32_t members)
{
	struct zr_resources *held = &place->spot->held;

	place->chosen = members;
	held->millicpus += members * try->need.millicpus;
	held->memory_mb += members * try->need.memory_mb;
	held->accelerators += members * try->need.accelerators;
}

/* Holds room on a worker, and chooses it again in the next passes. */
static void keep(const struct zr_cell_plan *plan, const struct zr_cell_try *try,
		 struct zr_cell_place *place, uint32_t members)
{
	struct zr_cell_worker *worker = place->spot->worker;

	hold(try, place, members);
	worker->keeper = try->job->self;
	worker->keeper_step = try->step->number;
	worker->kept_until = plan->now + KEEP_MS;
}

static uint32_t least(uint32_t a, uint32_t b)
{
	return a < b ? a : b;
}

static bool take_soon(const struct zr_cell_plan *plan,
		      const struct zr_cell_try *try,
		      struct zr_cell_gathered *gathered)
{
	uint32_t wanted = try->step->spec->count;
	uint32_t sum = 0;
	size_t i;

	for (i = 0; i < gathered->count && sum < wanted; i++)
		sum += gathered->places[i].soon;
	if (sum < wanted)
		return false;
	for (i = 0; wanted; i++) {
		struct zr_cell_place *place = &gathered->places[i];
		uint32_t members = least(place->soon, wanted);

		if (members)
			keep(plan, try, place, members);
		wanted -= members;
	}
	return true;
}

/* Whether all members have room once everything that yields is stopped. */
static bool within_reach(const struct zr_cell_try *try,
			 const struct zr_cell_gathered *gathered)
{
	uint32_t wanted = try->step->spec->count;
	uint32_t held = 0;
	size_t i;

	for (i = 0; i < gathered->count && held < wanted; i++)
		held += gathered->places[i].reach;
	return held >= wanted;
}

static void stop_yielding(struct zr_cell_plan *plan,
			  const struct zr_cell_try *try,
			  struct zr_cell_gathered *gathered)
{
	uint32_t wanted = try->step->spec->count;
	size_t i;

	zr_log_decision("gang.makes_room job=%s step=%" PRIu32 " tasks=%" PRIu32
			" waited_ms=%" PRId64,
			try->job->id, try->step->number, wanted,
			plan->now - try->step->ready_at);
	for (i = 0; wanted; i++) {
		struct zr_cell_place *place = &gathered->places[i];
		uint32_t members = least(place->reach, wanted);

		if (!members)
			continue;
		zr_cell_spot_stop(plan, try, place->spot, members);
		keep(plan, try, place, members);
		wanted -= members;
	}
}

/* On how many workers a gang waits: those of its home, if they can hold it. */
static uint32_t drained_places(const struct zr_cell_try *try,
			       const struct zr_cell_gathered *gathered,
			       uint32_t wanted)
{
	uint32_t held = 0;
	uint32_t home = 0;
	size_t i;

	for (i = 0; i < gathered->count; i++) {
		const struct zr_cell_place *place = &gathered->places[i];

		if (!place->home)
			continue;
		home++;
		held += zr_cell_fits(&place->spot->worker->report.capacity,
				     &try->need);
	}
	return home && held >= HOME_SPREAD * wanted ? home
						    : (uint32_t)gathered->count;
}

/*
 * Holds what comes free on many workers until all members fit. On few workers
 * that would take as long as their longest task.
 */
static void drain(struct zr_cell_plan *plan, const struct zr_cell_try *try,
		  struct zr_cell_gathered *gathered)
{
	uint32_t wanted = try->step->spec->count * DRAIN_SPARE_PERCENT / 100;
	uint64_t millicpus = (uint64_t)wanted * try->need.millicpus;
	uint32_t places;
	uint32_t each;
	size_t i;

	if (!gathered->count ||
	    (plan->draining &&
	     (plan->draining + millicpus) * DRAINING_PART > plan->capacity))
		return;
	places = drained_places(try, gathered, wanted);
	each = (wanted + places - 1) / places;
	qsort(gathered->places, gathered->count, sizeof(*gathered->places),
	      by_room);
	for (i = 0; i < gathered->count && wanted; i++) {
		uint32_t members = least(each, wanted);

		hold(try, &gathered->places[i], members);
		wanted -= members;
	}
	plan->draining += millicpus;
}

/*
 * Where a gang is permitted does not change, so it learns once of workers that
 * would hold it even if others gather room on some of them.
 */
static uint32_t missing_known(const struct zr_cell_plan *plan,
			      const struct zr_cell_try *try,
			      const struct zr_cell_gathered *gathered)
{
	int64_t waited = plan->now - try->step->ready_at;
	uint32_t spread = KNOWN_SPREAD;
	uint32_t wanted;
	uint32_t held = 0;
	size_t i;

	if (zr_cell_advice_idle(&plan->scheduler->advice, plan->now) >=
	    plan->scheduler->advice.count / IDLE_PART)
		spread += (uint32_t)(waited / KNOW_MORE_MS);
	wanted = spread * try->step->spec->count;
	for (i = 0; i < gathered->count && held < wanted; i++)
		held += zr_cell_fits(
			&gathered->places[i].spot->worker->report.capacity,
			&try->need);
	return held < wanted ? wanted - held : 0;
}

static bool impatient(const struct zr_cell_plan *plan,
		      const struct zr_cell_try *try)
{
	int64_t waited = plan->now - try->step->ready_at;

	return waited * PATIENCE_PART > zr_cell_order_objective_ms(try->job);
}

void zr_cell_gather(struct zr_cell_gathered *out, struct zr_cell_plan *plan,
		    const struct zr_cell_try *try)
{
	memset(out, 0, sizeof(*out));
	find_places(out, plan, try);
	qsort(out->places, out->count, sizeof(*out->places), by_soon);
	out->missing = missing_known(plan, try, out);
	out->near = take_soon(plan, try, out);
	if (out->near)
		return;
	if (impatient(plan, try) && within_reach(try, out)) {
		stop_yielding(plan, try, out);
		out->near = true;
	} else {
		drain(plan, try, out);
	}
}

void zr_cell_gathered_clear(struct zr_cell_gathered *gathered)
{
	free(gathered->places);
}

#include "route/slot_escrow.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>
#include <xxhash.h>

#include "zinniarack/errors.h"

/* An asker that is silent for longer gets no part in the division. */
#define ASKS_WITHIN_MS 2000
/* What an entry daemon weighs without any demand. */
#define WEIGHT_LOCAL 1.0
#define WEIGHT_REMOTE 0.25
/* Part of a past peak that still counts at the next ask. */
#define DEMAND_DECAY 0.8
#define DEMAND_FORGOTTEN 0.1

struct demand {
	UT_hash_handle hh;
	char service[ZR_NAME_MAX];
	double slots;
};

struct holder {
	struct holder *prev;
	struct holder *next;
	uint32_t id;
	char entry[ZR_NAME_MAX];
	bool local;
	bool leaving;
	uint64_t incarnation;
	uint64_t sequence;
	struct timespec asked;
	struct timespec expires;
	struct demand *demand;
};

/* What one holder has of one worker. */
struct holding {
	struct holding *next;
	uint32_t holder;
	uint32_t slots;
};

struct worker {
	UT_hash_handle hh;
	char name[ZR_NAME_MAX];
	uint32_t slots;
	/* Slots that are surely nobody else's while earlier grants run. */
	uint32_t known;
	struct holding *holdings;
};

struct zr_slot_escrow {
	const struct zr_clock *clock;
	uint32_t last_holder;
	struct holder *holders;
	struct worker *workers;
	bool recovering;
	struct timespec recovered;
};

static struct timespec now(const struct zr_slot_escrow *escrow)
{
	return zr_clock_now(escrow->clock);
}

int zr_slot_escrow_new(struct zr_slot_escrow **out,
		       const struct zr_clock *clock)
{
	struct zr_slot_escrow *escrow = calloc(1, sizeof(*escrow));

	if (!escrow)
		return ZR_E_NOMEM;
	escrow->clock = clock;
	*out = escrow;
	return 0;
}

/* Workers */

static struct worker *get_worker(struct zr_slot_escrow *escrow,
				 const char *name)
{
	struct worker *worker;

	HASH_FIND_STR(escrow->workers, name, worker);
	if (worker)
		return worker;
	worker = calloc(1, sizeof(*worker));
	if (!worker)
		abort();
	snprintf(worker->name, sizeof(worker->name), "%s", name);
	HASH_ADD_STR(escrow->workers, name, worker);
	return worker;
}

static void free_worker(struct zr_slot_escrow *escrow, struct worker *worker)
{
	struct holding *holding;
	struct holding *next;

	LL_FOREACH_SAFE(worker->holdings, holding, next)
	free(holding);
	HASH_DEL(escrow->workers, worker);
	free(worker);
}

static struct holding *find_holding(const struct worker *worker,
				    uint32_t holder)
{
	struct holding *holding;

	LL_SEARCH_SCALAR(worker->holdings, holding, holder, holder);
	return holding;
}

static void set_holding(struct worker *worker, uint32_t holder, uint32_t slots)
{
	struct holding *holding = find_holding(worker, holder);

	if (holding && !slots) {
		LL_DELETE(worker->holdings, holding);
		free(holding);
		return;
	}
	if (!holding && slots) {
		holding = calloc(1, sizeof(*holding));
		if (!holding)
			abort();
		holding->holder = holder;
		LL_PREPEND(worker->holdings, holding);
	}
	if (holding)
		holding->slots = slots;
}

static void add_holding(struct worker *worker, uint32_t holder, uint32_t slots)
{
	const struct holding *holding = find_holding(worker, holder);

	set_holding(worker, holder, slots + (holding ? holding->slots : 0));
}

static uint32_t counted(const struct worker *worker)
{
	const struct holding *holding;
	uint32_t sum = 0;

	LL_FOREACH(worker->holdings, holding)
	sum += holding->slots;
	return sum;
}

void zr_slot_escrow_clear_capacity(struct zr_slot_escrow *escrow)
{
	struct worker *worker;
	struct worker *next;

	HASH_ITER (hh, escrow->workers, worker, next) {
		worker->slots = 0;
		if (!worker->holdings && !escrow->recovering)
			free_worker(escrow, worker);
	}
}

void zr_slot_escrow_set_capacity(struct zr_slot_escrow *escrow,
				 const char *worker, uint32_t slots)
{
	get_worker(escrow, worker)->slots = slots;
}

uint32_t zr_slot_escrow_outstanding(struct zr_slot_escrow *escrow,
				    const char *worker)
{
	return counted(get_worker(escrow, worker));
}

/* Holders */

static struct holder *find_holder(const struct zr_slot_escrow *escrow,
				  uint32_t id)
{
	struct holder *holder;

	DL_SEARCH_SCALAR(escrow->holders, holder, id, id);
	return holder;
}

static void free_holder(struct zr_slot_escrow *escrow, struct holder *holder)
{
	struct demand *demand;
	struct demand *next;

	HASH_ITER (hh, holder->demand, demand, next) {
		HASH_DEL(holder->demand, demand);
		free(demand);
	}
	DL_DELETE(escrow->holders, holder);
	free(holder);
}

static void expire_holder(struct zr_slot_escrow *escrow, struct holder *holder)
{
	struct worker *worker;
	struct worker *next;

	HASH_ITER (hh, escrow->workers, worker, next)
		set_holding(worker, holder->id, 0);
	free_holder(escrow, holder);
}

static void expire(struct zr_slot_escrow *escrow)
{
	struct holder *holder;
	struct holder *next;

	DL_FOREACH_SAFE(escrow->holders, holder, next)
	{
		if (zr_time_cmp(now(escrow), holder->expires) > 0)
			expire_holder(escrow, holder);
	}
	if (escrow->recovering &&
	    zr_time_cmp(now(escrow), escrow->recovered) > 0)
		escrow->recovering = false;
}

static int compare_holders(const struct holder *a, const struct holder *b)
{
	int order = strcmp(a->entry, b->entry);

	if (order)
		return order;
	return a->incarnation < b->incarnation ? -1 : 1;
}

static struct holder *get_holder(struct zr_slot_escrow *escrow,
				 const struct zr_slot_request *ask,
				 bool *out_new)
{
	struct holder *holder;

	*out_new = false;
	DL_FOREACH(escrow->holders, holder)
	{
		if (holder->incarnation == ask->incarnation &&
		    !strcmp(holder->entry, ask->entry))
			return holder;
	}
	holder = calloc(1, sizeof(*holder));
	if (!holder)
		abort();
	holder->id = ++escrow->last_holder;
	holder->incarnation = ask->incarnation;
	snprintf(holder->entry, sizeof(holder->entry), "%s", ask->entry);
	DL_INSERT_INORDER(escrow->holders, holder, compare_holders);
	*out_new = true;
	return holder;
}

/* Asks */

static void take_held(struct zr_slot_escrow *escrow,
		      const struct holder *holder, bool first,
		      const struct zr_slot_request *ask)
{
	struct worker *worker;
	struct worker *next;
	size_t i;

	HASH_ITER (hh, escrow->workers, worker, next)
		set_holding(worker, holder->id, 0);
	for (i = 0; i < ask->held_count; i++) {
		worker = get_worker(escrow, ask->held[i].worker);
		add_holding(worker, holder->id, ask->held[i].slots);
		if (first)
			worker->known += ask->held[i].slots;
	}
}

static struct demand *get_demand(struct holder *holder, const char *service)
{
	struct demand *demand;

	HASH_FIND_STR(holder->demand, service, demand);
	if (demand)
		return demand;
	demand = calloc(1, sizeof(*demand));
	if (!demand)
		abort();
	snprintf(demand->service, sizeof(demand->service), "%s", service);
	HASH_ADD_STR(holder->demand, service, demand);
	return demand;
}

static void take_demand(struct holder *holder,
			const struct zr_slot_request *ask)
{
	struct demand *demand;
	struct demand *next;
	size_t i;

	HASH_ITER (hh, holder->demand, demand, next) {
		demand->slots *= DEMAND_DECAY;
		if (demand->slots >= DEMAND_FORGOTTEN)
			continue;
		HASH_DEL(holder->demand, demand);
		free(demand);
	}
	for (i = 0; i < ask->demand_count; i++) {
		demand = get_demand(holder, ask->demand[i].service);
		if (demand->slots < ask->demand[i].slots)
			demand->slots = ask->demand[i].slots;
	}
}

int zr_slot_escrow_process_request(uint32_t *out_holder,
				   struct zr_slot_escrow *escrow,
				   const struct zr_slot_request *ask)
{
	struct holder *holder;
	bool first;

	expire(escrow);
	holder = get_holder(escrow, ask, &first);
	if (ask->sequence <= holder->sequence)
		return ZR_E_CONFLICT;
	holder->sequence = ask->sequence;
	holder->local = ask->local;
	holder->leaving = ask->leaving;
	holder->asked = now(escrow);
	holder->expires = zr_time_add_ms(now(escrow), ZR_GRANT_HOLD_MS);
	take_held(escrow, holder, first, ask);
	take_demand(holder, ask);
	*out_holder = holder->id;
	return 0;
}

/* Division */

/* Slots that may be granted at all. */
static uint32_t slots_of(const struct zr_slot_escrow *escrow,
			 const struct worker *worker)
{
	if (escrow->recovering && worker->known < worker->slots)
		return worker->known;
	return worker->slots;
}

static double weight_of(const struct zr_slot_escrow *escrow,
			const struct holder *holder,
			const char *const *services, size_t service_count)
{
	double weight = holder->local ? WEIGHT_LOCAL : WEIGHT_REMOTE;
	struct demand *demand;
	size_t i;

	if (holder->leaving ||
	    zr_time_diff_ms(now(escrow), holder->asked) > ASKS_WITHIN_MS)
		return 0;
	for (i = 0; i < service_count; i++) {
		HASH_FIND_STR(holder->demand, services[i], demand);
		if (demand)
			weight += demand->slots;
	}
	return weight;
}

/*
 * Systematic sampling: each holder gets the whole part of its share, and the
 * rest falls to other holders on other workers, as the worker's offset says.
 */
static uint32_t share_of(const struct zr_slot_escrow *escrow,
			 const struct worker *worker, uint32_t wanted,
			 const char *const *services, size_t service_count)
{
	XXH64_hash_t hash = XXH64(worker->name, strlen(worker->name), 0);
	double offset = (double)(hash >> 11) / (double)(1ULL << 53);
	const struct holder *holder;
	double total = 0;
	double before = 0;
	double after = 0;

	DL_FOREACH(escrow->holders, holder)
	total += weight_of(escrow, holder, services, service_count);
	if (total <= 0)
		return 0;
	DL_FOREACH(escrow->holders, holder)
	{
		before = after;
		after += weight_of(escrow, holder, services, service_count) *
			 slots_of(escrow, worker) / total;
		if (holder->id == wanted)
			break;
	}
	return (uint32_t)(floor(after + offset) - floor(before + offset));
}

static uint32_t free_slots(const struct zr_slot_escrow *escrow,
			   const struct worker *worker)
{
	uint32_t limit = slots_of(escrow, worker);
	uint32_t used = counted(worker);

	return used < limit ? limit - used : 0;
}

uint32_t zr_slot_escrow_grant(struct zr_slot_escrow *escrow, uint32_t holder,
			      const char *worker_name,
			      const char *const *services, size_t service_count)
{
	struct worker *worker = get_worker(escrow, worker_name);
	const struct holding *holding = find_holding(worker, holder);
	uint32_t held = holding ? holding->slots : 0;
	uint32_t share;
	uint32_t more;

	if (!find_holder(escrow, holder))
		return 0;
	share = share_of(escrow, worker, holder, services, service_count);
	if (share <= held)
		return share;
	more = free_slots(escrow, worker);
	if (more > share - held)
		more = share - held;
	set_holding(worker, holder, held + more);
	return held + more;
}

/* Ownership */

static void clear(struct zr_slot_escrow *escrow)
{
	struct worker *worker;
	struct worker *next;

	while (escrow->holders)
		free_holder(escrow, escrow->holders);
	HASH_ITER (hh, escrow->workers, worker, next)
		free_worker(escrow, worker);
}

void zr_slot_escrow_begin_term(struct zr_slot_escrow *escrow, bool recover)
{
	clear(escrow);
	escrow->recovering = recover;
	escrow->recovered = zr_time_add_ms(now(escrow), ZR_GRANT_HOLD_MS);
}

void zr_slot_escrow_free(struct zr_slot_escrow *escrow)
{
	if (!escrow)
		return;
	clear(escrow);
	free(escrow);
}

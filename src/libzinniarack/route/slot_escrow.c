#include "route/slot_escrow.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>
#include <xxhash.h>

#include "zinniarack/errors.h"

/* A holder that sends no request for this long gets no share of the slots. */
#define HOLDER_TIMEOUT_MS 2000
/* Weight of an entry daemon without demand; its demand in slots is added. */
#define BASE_WEIGHT_LOCAL 1.0
#define BASE_WEIGHT_REMOTE 0.25
/* Factor by which a past peak of the demand shrinks with each request. */
#define DEMAND_DECAY 0.8
/* Demand below this number of slots is removed. */
#define DEMAND_MIN 0.1

/* Demand of one holder for one service. */
struct demand {
	UT_hash_handle hh;
	char service[ZR_NAME_MAX];
	double slots;
};

/* An incarnation of an entry daemon, which may hold slots. */
struct holder {
	struct holder *prev;
	struct holder *next;
	uint32_t id;
	char entry[ZR_NAME_MAX];
	bool local;
	bool leaving;
	uint64_t incarnation;
	uint64_t sequence;
	struct timespec requested_at;
	struct timespec expires_at;
	struct demand *demand;
};

/* Slots of one worker that one holder may use. */
struct allocation {
	struct allocation *next;
	uint32_t holder;
	uint32_t slots;
};

struct worker {
	UT_hash_handle hh;
	char name[ZR_NAME_MAX];
	uint32_t slots;
	/*
	 * During recovery: slots that holders reported in their first request.
	 * No other holder can have them.
	 */
	uint32_t recovered_slots;
	struct allocation *allocations;
};

struct zr_slot_escrow {
	const struct zr_clock *clock;
	uint32_t last_holder_id;
	struct holder *holders;
	struct worker *workers;
	bool recovering;
	struct timespec recovery_ends_at;
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

static struct worker *get_or_add_worker(struct zr_slot_escrow *escrow,
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
	struct allocation *allocation;
	struct allocation *next;

	LL_FOREACH_SAFE(worker->allocations, allocation, next)
	free(allocation);
	HASH_DEL(escrow->workers, worker);
	free(worker);
}

static struct allocation *find_allocation(const struct worker *worker,
					  uint32_t holder)
{
	struct allocation *allocation;

	LL_SEARCH_SCALAR(worker->allocations, allocation, holder, holder);
	return allocation;
}

static void set_allocation(struct worker *worker, uint32_t holder,
			   uint32_t slots)
{
	struct allocation *allocation = find_allocation(worker, holder);

	if (allocation && !slots) {
		LL_DELETE(worker->allocations, allocation);
		free(allocation);
		return;
	}
	if (!allocation && slots) {
		allocation = calloc(1, sizeof(*allocation));
		if (!allocation)
			abort();
		allocation->holder = holder;
		LL_PREPEND(worker->allocations, allocation);
	}
	if (allocation)
		allocation->slots = slots;
}

static void add_allocation(struct worker *worker, uint32_t holder,
			   uint32_t slots)
{
	const struct allocation *allocation = find_allocation(worker, holder);

	set_allocation(worker, holder,
		       slots + (allocation ? allocation->slots : 0));
}

static uint32_t sum_allocations(const struct worker *worker)
{
	const struct allocation *allocation;
	uint32_t sum = 0;

	LL_FOREACH(worker->allocations, allocation)
	sum += allocation->slots;
	return sum;
}

void zr_slot_escrow_clear_capacity(struct zr_slot_escrow *escrow)
{
	struct worker *worker;
	struct worker *next;

	HASH_ITER (hh, escrow->workers, worker, next) {
		worker->slots = 0;
		if (!worker->allocations && !escrow->recovering)
			free_worker(escrow, worker);
	}
}

void zr_slot_escrow_set_capacity(struct zr_slot_escrow *escrow,
				 const char *worker, uint32_t slots)
{
	get_or_add_worker(escrow, worker)->slots = slots;
}

uint32_t zr_slot_escrow_outstanding(struct zr_slot_escrow *escrow,
				    const char *worker)
{
	return sum_allocations(get_or_add_worker(escrow, worker));
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

static void remove_holder(struct zr_slot_escrow *escrow, struct holder *holder)
{
	struct worker *worker;
	struct worker *next;

	HASH_ITER (hh, escrow->workers, worker, next)
		set_allocation(worker, holder->id, 0);
	free_holder(escrow, holder);
}

static void remove_expired_holders(struct zr_slot_escrow *escrow)
{
	struct holder *holder;
	struct holder *next;

	DL_FOREACH_SAFE(escrow->holders, holder, next)
	{
		if (zr_time_cmp(now(escrow), holder->expires_at) > 0)
			remove_holder(escrow, holder);
	}
	if (escrow->recovering &&
	    zr_time_cmp(now(escrow), escrow->recovery_ends_at) > 0)
		escrow->recovering = false;
}

static int compare_holders(const struct holder *a, const struct holder *b)
{
	int order = strcmp(a->entry, b->entry);

	if (order)
		return order;
	return a->incarnation < b->incarnation ? -1 : 1;
}

static struct holder *get_or_add_holder(struct zr_slot_escrow *escrow,
					const struct zr_slot_request *request,
					bool *out_new)
{
	struct holder *holder;

	*out_new = false;
	DL_FOREACH(escrow->holders, holder)
	{
		if (holder->incarnation == request->incarnation &&
		    !strcmp(holder->entry, request->entry))
			return holder;
	}
	holder = calloc(1, sizeof(*holder));
	if (!holder)
		abort();
	holder->id = ++escrow->last_holder_id;
	holder->incarnation = request->incarnation;
	snprintf(holder->entry, sizeof(holder->entry), "%s", request->entry);
	DL_INSERT_INORDER(escrow->holders, holder, compare_holders);
	*out_new = true;
	return holder;
}

/* Grant requests */

/* Replaces a holder's allocations by the slots that it reports as held. */
static void replace_allocations(struct zr_slot_escrow *escrow,
				const struct holder *holder, bool is_new,
				const struct zr_slot_request *request)
{
	struct worker *worker;
	struct worker *next;
	size_t i;

	HASH_ITER (hh, escrow->workers, worker, next)
		set_allocation(worker, holder->id, 0);
	for (i = 0; i < request->held_count; i++) {
		worker = get_or_add_worker(escrow, request->held[i].worker);
		add_allocation(worker, holder->id, request->held[i].slots);
		if (is_new)
			worker->recovered_slots += request->held[i].slots;
	}
}

static struct demand *get_or_add_demand(struct holder *holder,
					const char *service)
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

static void update_demand(struct holder *holder,
			  const struct zr_slot_request *request)
{
	struct demand *demand;
	struct demand *next;
	size_t i;

	HASH_ITER (hh, holder->demand, demand, next) {
		demand->slots *= DEMAND_DECAY;
		if (demand->slots >= DEMAND_MIN)
			continue;
		HASH_DEL(holder->demand, demand);
		free(demand);
	}
	for (i = 0; i < request->demand_count; i++) {
		demand = get_or_add_demand(holder, request->demand[i].service);
		if (demand->slots < request->demand[i].slots)
			demand->slots = request->demand[i].slots;
	}
}

int zr_slot_escrow_process_request(uint32_t *out_holder,
				   struct zr_slot_escrow *escrow,
				   const struct zr_slot_request *request)
{
	struct holder *holder;
	bool is_new;

	remove_expired_holders(escrow);
	holder = get_or_add_holder(escrow, request, &is_new);
	if (request->sequence <= holder->sequence)
		return ZR_E_CONFLICT;
	holder->sequence = request->sequence;
	holder->local = request->local;
	holder->leaving = request->leaving;
	holder->requested_at = now(escrow);
	holder->expires_at = zr_time_add_ms(now(escrow), ZR_GRANT_HOLD_MS);
	replace_allocations(escrow, holder, is_new, request);
	update_demand(holder, request);
	*out_holder = holder->id;
	return 0;
}

/* Division of the slots */

/* Returns the slots of a worker that may be granted at present. */
static uint32_t grantable_slots(const struct zr_slot_escrow *escrow,
				const struct worker *worker)
{
	if (escrow->recovering && worker->recovered_slots < worker->slots)
		return worker->recovered_slots;
	return worker->slots;
}

/* Returns the weight of a holder for a worker with these services. */
static double holder_weight(const struct zr_slot_escrow *escrow,
			    const struct holder *holder,
			    const char *const *services, size_t service_count)
{
	double weight = holder->local ? BASE_WEIGHT_LOCAL : BASE_WEIGHT_REMOTE;
	struct demand *demand;
	size_t i;

	if (holder->leaving ||
	    zr_time_diff_ms(now(escrow), holder->requested_at) >
		    HOLDER_TIMEOUT_MS)
		return 0;
	for (i = 0; i < service_count; i++) {
		HASH_FIND_STR(holder->demand, services[i], demand);
		if (demand)
			weight += demand->slots;
	}
	return weight;
}

/*
 * Divides the slots of a worker by weight, with systematic sampling: each
 * holder gets the integer part of its share, and the rest is rounded up or down
 * depending on an offset. The offset is a hash of the worker's name, so that
 * different holders get the remaining slots on different workers.
 */
static uint32_t holder_share(const struct zr_slot_escrow *escrow,
			     const struct worker *worker, uint32_t holder_id,
			     const char *const *services, size_t service_count)
{
	XXH64_hash_t hash = XXH64(worker->name, strlen(worker->name), 0);
	double offset = (double)(hash >> 11) / (double)(1ULL << 53);
	const struct holder *holder;
	double total = 0;
	double before = 0;
	double after = 0;

	DL_FOREACH(escrow->holders, holder)
	total += holder_weight(escrow, holder, services, service_count);
	if (total <= 0)
		return 0;
	DL_FOREACH(escrow->holders, holder)
	{
		before = after;
		after +=
			holder_weight(escrow, holder, services, service_count) *
			grantable_slots(escrow, worker) / total;
		if (holder->id == holder_id)
			break;
	}
	return (uint32_t)(floor(after + offset) - floor(before + offset));
}

static uint32_t free_slots(const struct zr_slot_escrow *escrow,
			   const struct worker *worker)
{
	uint32_t limit = grantable_slots(escrow, worker);
	uint32_t used = sum_allocations(worker);

	return used < limit ? limit - used : 0;
}

uint32_t zr_slot_escrow_grant(struct zr_slot_escrow *escrow, uint32_t holder,
			      const char *worker_name,
			      const char *const *services, size_t service_count)
{
	struct worker *worker = get_or_add_worker(escrow, worker_name);
	const struct allocation *allocation = find_allocation(worker, holder);
	uint32_t held = allocation ? allocation->slots : 0;
	uint32_t share;
	uint32_t extra_slots;

	if (!find_holder(escrow, holder))
		return 0;
	share = holder_share(escrow, worker, holder, services, service_count);
	if (share <= held)
		return share;
	extra_slots = free_slots(escrow, worker);
	if (extra_slots > share - held)
		extra_slots = share - held;
	set_allocation(worker, holder, held + extra_slots);
	return held + extra_slots;
}

/* Ownership */

static void remove_all(struct zr_slot_escrow *escrow)
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
	remove_all(escrow);
	escrow->recovering = recover;
	escrow->recovery_ends_at =
		zr_time_add_ms(now(escrow), ZR_GRANT_HOLD_MS);
}

void zr_slot_escrow_free(struct zr_slot_escrow *escrow)
{
	if (!escrow)
		return;
	remove_all(escrow);
	free(escrow);
}

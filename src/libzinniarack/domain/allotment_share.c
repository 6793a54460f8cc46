#include "domain/allotment_share.h"

/* A domain shrinks its allotment if its demand is below this part of it. */
#define SHRINK_DEMAND_PERCENT 40
/* Size to which it shrinks the allotment, relative to its demand. */
#define KEEP_DEMAND_PERCENT 150
/*
 * A domain keeps at least an even share divided by this, so that it can start
 * tasks of the team at once.
 */
#define KEEP_SHARE_DIVISOR 4
/*
 * If nothing of the limit is free, a domain above an even share gives up an
 * even share divided by this.
 */
#define YIELD_DIVISOR 8
#define PERCENT 100

static uint64_t max_u64(uint64_t a, uint64_t b)
{
	return a > b ? a : b;
}

static uint64_t min_u64(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

/*
 * The allotment that a domain aims at. The caller lowers it to what the limit
 * allows and raises it to what is in use.
 */
static uint64_t desired_allotment(uint64_t own, uint64_t demand,
				  uint64_t even_share, uint64_t free)
{
	uint64_t floor = max_u64(even_share / KEEP_SHARE_DIVISOR, 1);

	if (demand * PERCENT < own * SHRINK_DEMAND_PERCENT)
		return max_u64(
			floor,
			min_u64(own, demand * KEEP_DEMAND_PERCENT / PERCENT));
	if (!free && own > even_share)
		return max_u64(even_share, own - even_share / YIELD_DIVISOR);
	return max_u64(floor, max_u64(own, demand));
}

static uint32_t target_member(uint32_t limit, uint32_t own, uint32_t others,
			      uint32_t used, uint32_t demand,
			      unsigned int domain_count)
{
	uint64_t total = (uint64_t)own + others;
	uint64_t free = total < limit ? limit - total : 0;
	uint64_t next;

	if (!limit)
		return 0;
	if (total > limit)
		/* The limit was lowered: all domains shrink in proportion. */
		next = (uint64_t)own * limit / total;
	else
		next = min_u64(desired_allotment(own, demand,
						 limit / domain_count, free),
			       own + free);
	/* Resources in use are not given up before their tasks have ended. */
	return (uint32_t)(next < own ? max_u64(next, min_u64(used, own))
				     : next);
}

struct zr_resources zr_allotment_target(const struct zr_allotment_state *state)
{
	const struct zr_resources next = {
		.millicpus = target_member(
			state->limit.millicpus, state->own.millicpus,
			state->others.millicpus, state->used.millicpus,
			state->demand.millicpus, state->domain_count),
		.memory_mb = target_member(
			state->limit.memory_mb, state->own.memory_mb,
			state->others.memory_mb, state->used.memory_mb,
			state->demand.memory_mb, state->domain_count),
		.accelerators = target_member(
			state->limit.accelerators, state->own.accelerators,
			state->others.accelerators, state->used.accelerators,
			state->demand.accelerators, state->domain_count),
	};

	return state->yielded ? zr_allotment_min(&next, &state->own) : next;
}

static bool member_yields(uint32_t own, uint32_t next, uint32_t demand)
{
	return next < own && demand >= own;
}

bool zr_allotment_yields(const struct zr_allotment_state *state,
			 const struct zr_resources *next)
{
	return member_yields(state->own.millicpus, next->millicpus,
			     state->demand.millicpus) ||
	       member_yields(state->own.memory_mb, next->memory_mb,
			     state->demand.memory_mb) ||
	       member_yields(state->own.accelerators, next->accelerators,
			     state->demand.accelerators);
}

struct zr_resources zr_allotment_min(const struct zr_resources *a,
				     const struct zr_resources *b)
{
	const struct zr_resources min = {
		.millicpus = (uint32_t)min_u64(a->millicpus, b->millicpus),
		.memory_mb = (uint32_t)min_u64(a->memory_mb, b->memory_mb),
		.accelerators =
			(uint32_t)min_u64(a->accelerators, b->accelerators),
	};

	return min;
}

struct zr_resources zr_allotment_max(const struct zr_resources *a,
				     const struct zr_resources *b)
{
	const struct zr_resources max = {
		.millicpus = (uint32_t)max_u64(a->millicpus, b->millicpus),
		.memory_mb = (uint32_t)max_u64(a->memory_mb, b->memory_mb),
		.accelerators =
			(uint32_t)max_u64(a->accelerators, b->accelerators),
	};

	return max;
}

static bool is_exhausted(uint32_t limit, uint32_t amount)
{
	return limit && !amount;
}

struct zr_resources zr_allotment_as_limit(const struct zr_resources *limit,
					  const struct zr_resources *amount)
{
	const struct zr_resources nothing = {1, 1, 1};
	struct zr_resources core_limit = *amount;

	if (is_exhausted(limit->millicpus, amount->millicpus) ||
	    is_exhausted(limit->memory_mb, amount->memory_mb) ||
	    is_exhausted(limit->accelerators, amount->accelerators))
		return nothing;
	if (!limit->millicpus)
		core_limit.millicpus = 0;
	if (!limit->memory_mb)
		core_limit.memory_mb = 0;
	if (!limit->accelerators)
		core_limit.accelerators = 0;
	return core_limit;
}

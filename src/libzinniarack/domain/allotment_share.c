#include "domain/allotment_share.h"

/* A domain whose demand is less than this part of what it holds gives. */
#define GIVE_DEMAND_PERCENT 40
/* What it keeps above its demand when it gives. */
#define KEEP_PERCENT 150
/* It keeps at least this part of an even share, to start work at once. */
#define KEEP_SHARE_DIVISOR 4
/* When nothing is free, one above its even share gives this part of it. */
#define YIELD_DIVISOR 8
#define PERCENT 100

static uint64_t greater(uint64_t a, uint64_t b)
{
	return a > b ? a : b;
}

static uint64_t lesser(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

static uint64_t wanted(uint64_t own, uint64_t demand, uint64_t even,
		       uint64_t free)
{
	uint64_t floor = greater(even / KEEP_SHARE_DIVISOR, 1);

	if (demand * PERCENT < own * GIVE_DEMAND_PERCENT)
		return greater(floor,
			       lesser(own, demand * KEEP_PERCENT / PERCENT));
	if (!free && own > even)
		return greater(even, own - even / YIELD_DIVISOR);
	return greater(floor, greater(own, demand));
}

static uint32_t next_member(uint32_t limit, uint32_t own, uint32_t others,
			    uint32_t used, uint32_t demand,
			    unsigned int domains)
{
	uint64_t total = (uint64_t)own + others;
	uint64_t free = total < limit ? limit - total : 0;
	uint64_t next;

	if (!limit)
		return 0;
	if (total > limit)
		/* A lowered limit takes from each in proportion. */
		next = (uint64_t)own * limit / total;
	else
		next = lesser(wanted(own, demand, limit / domains, free),
			      own + free);
	/* What runs is held until it has ended. */
	return (uint32_t)(next < own ? greater(next, lesser(used, own)) : next);
}

struct zr_resources zr_allotment_next(const struct zr_allotment_state *state)
{
	const struct zr_resources next = {
		.millicpus = next_member(
			state->limit.millicpus, state->own.millicpus,
			state->others.millicpus, state->used.millicpus,
			state->demand.millicpus, state->domains),
		.memory_mb = next_member(
			state->limit.memory_mb, state->own.memory_mb,
			state->others.memory_mb, state->used.memory_mb,
			state->demand.memory_mb, state->domains),
		.accelerators = next_member(
			state->limit.accelerators, state->own.accelerators,
			state->others.accelerators, state->used.accelerators,
			state->demand.accelerators, state->domains),
	};

	return state->yielded ? zr_allotment_least(&next, &state->own) : next;
}

static bool yields(uint32_t own, uint32_t next, uint32_t demand)
{
	return next < own && demand >= own;
}

bool zr_allotment_yields(const struct zr_allotment_state *state,
			 const struct zr_resources *next)
{
	return yields(state->own.millicpus, next->millicpus,
		      state->demand.millicpus) ||
	       yields(state->own.memory_mb, next->memory_mb,
		      state->demand.memory_mb) ||
	       yields(state->own.accelerators, next->accelerators,
		      state->demand.accelerators);
}

struct zr_resources zr_allotment_least(const struct zr_resources *a,
				       const struct zr_resources *b)
{
	const struct zr_resources least = {
		.millicpus = (uint32_t)lesser(a->millicpus, b->millicpus),
		.memory_mb = (uint32_t)lesser(a->memory_mb, b->memory_mb),
		.accelerators =
			(uint32_t)lesser(a->accelerators, b->accelerators),
	};

	return least;
}

struct zr_resources zr_allotment_most(const struct zr_resources *a,
				      const struct zr_resources *b)
{
	const struct zr_resources most = {
		.millicpus = (uint32_t)greater(a->millicpus, b->millicpus),
		.memory_mb = (uint32_t)greater(a->memory_mb, b->memory_mb),
		.accelerators =
			(uint32_t)greater(a->accelerators, b->accelerators),
	};

	return most;
}

static bool lacks(uint32_t limit, uint32_t amount)
{
	return limit && !amount;
}

struct zr_resources zr_allotment_shown(const struct zr_resources *limit,
				       const struct zr_resources *amount)
{
	const struct zr_resources nothing = {1, 1, 1};
	struct zr_resources shown = *amount;

	if (lacks(limit->millicpus, amount->millicpus) ||
	    lacks(limit->memory_mb, amount->memory_mb) ||
	    lacks(limit->accelerators, amount->accelerators))
		return nothing;
	if (!limit->millicpus)
		shown.millicpus = 0;
	if (!limit->memory_mb)
		shown.memory_mb = 0;
	if (!limit->accelerators)
		shown.accelerators = 0;
	return shown;
}

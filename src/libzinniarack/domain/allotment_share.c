#include "domain/allotment_share.h"

#include <stdbool.h>

/* A domain that uses this much of what it holds asks for more. */
#define GROW_USED_PERCENT 80
/* One that uses less than this gives. */
#define GIVE_USED_PERCENT 40
/* What it keeps above its use when it gives. */
#define KEEP_PERCENT 150
/* It keeps at least this part of an even share, to start work at once. */
#define KEEP_SHARE_DIVISOR 4
#define PERCENT 100

static uint64_t greater(uint64_t a, uint64_t b)
{
	return a > b ? a : b;
}

static uint64_t lesser(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

static uint64_t wanted(uint64_t limit, uint64_t own, uint64_t used,
		       uint64_t even)
{
	uint64_t floor = greater(even / KEEP_SHARE_DIVISOR, 1);

	if (used * PERCENT >= own * GROW_USED_PERCENT)
		return greater(even, own + greater(limit / 8, 1));
	if (used * PERCENT < own * GIVE_USED_PERCENT)
		return greater(floor,
			       lesser(own, used * KEEP_PERCENT / PERCENT));
	return own;
}

static uint32_t next_member(uint32_t limit, uint32_t own, uint32_t others,
			    uint32_t used, unsigned int domains)
{
	uint64_t total = (uint64_t)own + others;
	uint64_t next;

	if (!limit)
		return 0;
	if (total > limit)
		/* A lowered limit takes from each in proportion. */
		next = (uint64_t)own * limit / total;
	else
		next = lesser(wanted(limit, own, used, limit / domains),
			      own + (limit - total));
	/* What runs is held until it has ended. */
	return (uint32_t)(next < own ? greater(next, lesser(used, own)) : next);
}

struct zr_resources zr_allotment_next(const struct zr_allotment_state *state)
{
	const struct zr_resources next = {
		.millicpus = next_member(state->limit.millicpus,
					 state->own.millicpus,
					 state->others.millicpus,
					 state->used.millicpus, state->domains),
		.memory_mb = next_member(state->limit.memory_mb,
					 state->own.memory_mb,
					 state->others.memory_mb,
					 state->used.memory_mb, state->domains),
		.accelerators = next_member(
			state->limit.accelerators, state->own.accelerators,
			state->others.accelerators, state->used.accelerators,
			state->domains),
	};

	return next;
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

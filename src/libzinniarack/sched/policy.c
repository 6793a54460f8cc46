#include "sched/internal.h"

/**
 * DOC: Orders of worth
 *
 * Both policies look at worth, slack before a deadline, share and age. Waiting
 * first puts urgent work and worth before shares; shares first gives room to
 * the team that has the least of its share, and orders by worth within a team.
 */

/* Work with less slack than this counts as pressed, in milliseconds. */
#define PRESSED_SLACK_MS INT64_C(900000)
/* Worth added to pressed work. */
#define PRESSED_WORTH 25
/* Weighted shares that differ by less count as alike, in parts per billion. */
#define SHARE_STEP 1000000u

static int by_number(uint64_t a, uint64_t b)
{
	return (a > b) - (a < b);
}

static bool pressed(const struct zr_sched_candidate *candidate)
{
	return candidate->slack_ms < PRESSED_SLACK_MS;
}

static uint32_t worth_of(const struct zr_sched_candidate *candidate)
{
	return candidate->rank + (pressed(candidate) ? PRESSED_WORTH : 0);
}

static int by_worth(const struct zr_sched_candidate *a,
		    const struct zr_sched_candidate *b)
{
	int order = by_number(worth_of(b), worth_of(a));

	if (order)
		return order;
	if (pressed(a) && pressed(b))
		return (a->start_by > b->start_by) -
		       (a->start_by < b->start_by);
	return (int)pressed(b) - (int)pressed(a);
}

static int by_share(const struct zr_sched_candidate *a,
		    const struct zr_sched_candidate *b)
{
	return by_number(a->weighted / SHARE_STEP, b->weighted / SHARE_STEP);
}

static int by_age(const struct zr_sched_candidate *a,
		  const struct zr_sched_candidate *b)
{
	return by_number(a->arrival, b->arrival);
}

static int waiting_first(void *ctx, const struct zr_sched_candidate *a,
			 const struct zr_sched_candidate *b)
{
	int order = (int)b->urgent - (int)a->urgent;

	(void)ctx;
	if (!order)
		order = by_worth(a, b);
	if (!order)
		order = by_share(a, b);
	return order ? order : by_age(a, b);
}

/* Urgency goes before shares only within a team's own share: otherwise a team
 * would take all by calling all its work urgent. */
static bool urgent_in_share(const struct zr_sched_candidate *candidate)
{
	return candidate->urgent && candidate->under_share;
}

static int shares_first(void *ctx, const struct zr_sched_candidate *a,
			const struct zr_sched_candidate *b)
{
	int order = (int)urgent_in_share(b) - (int)urgent_in_share(a);

	if (!order)
		order = by_share(a, b);
	return order ? order : waiting_first(ctx, a, b);
}

struct zr_sched_policy zr_sched_policy_of(enum zr_policy policy)
{
	const struct zr_sched_policy order = {
		.compare = policy == ZR_POLICY_SHARES_FIRST ? shares_first
							    : waiting_first,
	};

	return order;
}

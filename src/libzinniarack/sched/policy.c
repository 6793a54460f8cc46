#include "sched/internal.h"

/**
 * DOC: Scheduling policies
 *
 * Both policies compare the first jobs of classes by effective priority, slack
 * before the deadline, weighted share of the team and arrival. The policy
 * waiting-first puts urgent classes first, then compares priorities before
 * shares. The policy shares-first compares shares before priorities, so that
 * the team that uses least in proportion to its configured weight goes first.
 */

/* A class with less slack than this, in milliseconds, is boosted. */
#define DEADLINE_BOOST_SLACK_MS INT64_C(900000)
/* Added to the priority of a boosted class. */
#define DEADLINE_BOOST 25
/* Granularity at which weighted shares are compared, in parts per billion. */
#define SHARE_GRANULARITY 1000000u

static int compare_numbers(uint64_t a, uint64_t b)
{
	return (a > b) - (a < b);
}

static bool deadline_is_near(const struct zr_sched_order_key *order_key)
{
	return order_key->slack_ms < DEADLINE_BOOST_SLACK_MS;
}

static uint32_t boosted_priority(const struct zr_sched_order_key *order_key)
{
	return order_key->effective_priority +
	       (deadline_is_near(order_key) ? DEADLINE_BOOST : 0);
}

/*
 * Classes of equal priority are ordered by deadline if at least one of the
 * deadlines is near.
 */
static int compare_priority(const struct zr_sched_order_key *a,
			    const struct zr_sched_order_key *b)
{
	int order = compare_numbers(boosted_priority(b), boosted_priority(a));

	if (order)
		return order;
	if (deadline_is_near(a) && deadline_is_near(b))
		return (a->latest_start > b->latest_start) -
		       (a->latest_start < b->latest_start);
	return (int)deadline_is_near(b) - (int)deadline_is_near(a);
}

static int compare_share(const struct zr_sched_order_key *a,
			 const struct zr_sched_order_key *b)
{
	return compare_numbers(a->weighted_share / SHARE_GRANULARITY,
			       b->weighted_share / SHARE_GRANULARITY);
}

static int compare_arrival(const struct zr_sched_order_key *a,
			   const struct zr_sched_order_key *b)
{
	return compare_numbers(a->arrival, b->arrival);
}

static int compare_waiting_first(void *ctx, const struct zr_sched_order_key *a,
				 const struct zr_sched_order_key *b)
{
	int order = (int)b->urgent - (int)a->urgent;

	(void)ctx;
	if (!order)
		order = compare_priority(a, b);
	if (!order)
		order = compare_share(a, b);
	return order ? order : compare_arrival(a, b);
}

/*
 * Urgency counts before shares only while the team uses less than its fair
 * share; otherwise a team could take all capacity by marking all its jobs
 * urgent.
 */
static bool is_urgent_under_share(const struct zr_sched_order_key *order_key)
{
	return order_key->urgent && order_key->under_share;
}

static int compare_shares_first(void *ctx, const struct zr_sched_order_key *a,
				const struct zr_sched_order_key *b)
{
	int order =
		(int)is_urgent_under_share(b) - (int)is_urgent_under_share(a);

	if (!order)
		order = compare_share(a, b);
	return order ? order : compare_waiting_first(ctx, a, b);
}

struct zr_sched_policy zr_sched_policy_get(enum zr_policy policy)
{
	const struct zr_sched_policy configured = {
		.compare = policy == ZR_POLICY_SHARES_FIRST
				   ? compare_shares_first
				   : compare_waiting_first,
	};

	return configured;
}

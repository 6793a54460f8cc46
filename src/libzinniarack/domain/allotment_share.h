#ifndef ZR_DOMAIN_ALLOTMENT_SHARE_H
#define ZR_DOMAIN_ALLOTMENT_SHARE_H

#include <stdbool.h>

#include "zinniarack/job.h"

/**
 * DOC: How much of a limit a failure domain asks for, without any state
 */

/**
 * struct zr_allotment_state - where a team's limit stands
 * @limit: across the fleet; a zero member: no limit
 * @own: what this domain holds of it
 * @others: what all others hold
 * @used: what the team has running here
 * @demand: that, and what waits here
 * @domains: how many domains share it
 * @yielded: it has lately given what it wants itself, and takes nothing now
 */
struct zr_allotment_state {
	struct zr_resources limit;
	struct zr_resources own;
	struct zr_resources others;
	struct zr_resources used;
	struct zr_resources demand;
	unsigned int domains;
	bool yielded;
};

/** zr_allotment_next() - what this domain is to hold */
struct zr_resources zr_allotment_next(const struct zr_allotment_state *state);

/** zr_allotment_yields() - whether it gives, by @next, what it wants itself */
bool zr_allotment_yields(const struct zr_allotment_state *state,
			 const struct zr_resources *next);

/** zr_allotment_least() - the smaller of each member */
struct zr_resources zr_allotment_least(const struct zr_resources *a,
				       const struct zr_resources *b);

/** zr_allotment_most() - the larger of each member */
struct zr_resources zr_allotment_most(const struct zr_resources *a,
				      const struct zr_resources *b);

/**
 * zr_allotment_shown() - an amount as the core takes it
 * @limit: the limit; a zero member: none
 * @amount: what is held
 *
 * The core takes zero for no limit. A domain that holds nothing of a limit gets
 * the least amount of everything, on which no task fits.
 */
struct zr_resources zr_allotment_shown(const struct zr_resources *limit,
				       const struct zr_resources *amount);

#endif

#ifndef ZR_DOMAIN_ALLOTMENT_SHARE_H
#define ZR_DOMAIN_ALLOTMENT_SHARE_H

#include <stdbool.h>

#include "zinniarack/job.h"

/**
 * DOC: Computation of a domain's allotment
 *
 * Pure functions on the allotments and the demand of one team.
 */

/**
 * struct zr_allotment_state - allotments and demand of a team
 * @limit: the team's limit in the cluster; a member of 0 means no limit
 * @own: allotment of this domain
 * @others: sum of the allotments of all other domains
 * @used: resources of the team's running tasks in this domain
 * @demand: resources of its running and waiting tasks in this domain
 * @domain_count: number of domains that share the limit
 * @yielded: whether this domain has recently given up resources that it could
 *	use itself; its allotment then does not grow
 */
struct zr_allotment_state {
	struct zr_resources limit;
	struct zr_resources own;
	struct zr_resources others;
	struct zr_resources used;
	struct zr_resources demand;
	unsigned int domain_count;
	bool yielded;
};

/**
 * zr_allotment_target() - compute the allotment that this domain should have
 * @state: the allotments and demand of the team
 *
 * A domain takes what its demand needs, as far as the limit has resources that
 * are in no allotment. It gives up what is far above its demand. When all of
 * the limit is allotted, a domain above an even share of the limit gives up a
 * part of its allotment. No domain gives up resources that are in use.
 *
 * Return: the allotment; 0 in members without a limit.
 */
struct zr_resources zr_allotment_target(const struct zr_allotment_state *state);

/**
 * zr_allotment_yields() - whether a domain gives up resources that it could use
 * @state: the allotments and demand of the team
 * @next: the next allotment of the domain
 *
 * Return: true if, for any resource, @next is below the allotment of the domain
 * although the demand takes up all of it.
 */
bool zr_allotment_yields(const struct zr_allotment_state *state,
			 const struct zr_resources *next);

/** zr_allotment_min() - minimum of each member */
struct zr_resources zr_allotment_min(const struct zr_resources *a,
				     const struct zr_resources *b);

/** zr_allotment_max() - maximum of each member */
struct zr_resources zr_allotment_max(const struct zr_resources *a,
				     const struct zr_resources *b);

/**
 * zr_allotment_as_limit() - convert an allotment to a limit for the core
 * @limit: the team's limit in the cluster; a member of 0 means no limit
 * @amount: the allotment
 *
 * To the core, 0 means no limit. If the allotment of a limited resource is 0,
 * the result is therefore 1 of each resource, into which no task fits.
 *
 * Return: the limit.
 */
struct zr_resources zr_allotment_as_limit(const struct zr_resources *limit,
					  const struct zr_resources *amount);

#endif

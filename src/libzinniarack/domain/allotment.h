#ifndef ZR_DOMAIN_ALLOTMENT_H
#define ZR_DOMAIN_ALLOTMENT_H

#include "zinniarack/clock.h"
#include "zinniarack/config.h"
#include "zinniarack/store.h"
#include "zinniarack/timer.h"

/**
 * DOC: Allotments of teams' upper limits
 *
 * A team's upper limit holds across the fleet, but each failure domain decides
 * alone. The limit is therefore split: one record in the store says how much
 * of it each domain may use, and the sum is never over the limit. What a
 * domain has in force is never more than what the record says: it lowers what
 * is in force before it writes that it has given, and raises it after the
 * record says that it has taken. A domain that is cut off keeps what it has.
 */

struct zr_allotments;

/**
 * struct zr_allotments_events - how allotments act on a failure domain
 * @usage: what a team has running here, and that with what waits here
 * @set: a team's allotment is in force; a zero member sets no limit
 * @ready: the record has been read for the first time
 */
struct zr_allotments_events {
	void (*usage)(void *ctx, const char *team, struct zr_resources *used,
		      struct zr_resources *demand);
	void (*set)(void *ctx, const char *team,
		    const struct zr_resources *allotment);
	void (*ready)(void *ctx);
};

/**
 * struct zr_allotments_options - how to make them
 * @version: ZR_ALLOTMENTS_OPTIONS_VERSION
 * @timers: where timers come from
 * @store: the store, kept by reference
 * @domain: the failure domain
 * @events: called with @ctx
 * @ctx: passed to @events
 */
struct zr_allotments_options {
	unsigned int version;
	const struct zr_timers *timers;
	const struct zr_store *store;
	const char *domain;
	struct zr_allotments_events events;
	void *ctx;
};

#define ZR_ALLOTMENTS_OPTIONS_VERSION 1

int zr_allotments_new(struct zr_allotments **out,
		      const struct zr_allotments_options *options);

/** zr_allotments_begin() - the domain is owned; nothing is in force at first */
void zr_allotments_begin(struct zr_allotments *allotments);

/** zr_allotments_end() - the domain is owned no more */
void zr_allotments_end(struct zr_allotments *allotments);

/** zr_allotments_configure() - teams and limits; kept by reference */
void zr_allotments_configure(struct zr_allotments *allotments,
			     const struct zr_config *config);

/**
 * zr_allotments_task_ended() - work of a team has ended here
 * @allotments: the allotments
 * @team: the team
 *
 * Call it before the room is filled again: a domain that yields gives it.
 */
void zr_allotments_task_ended(struct zr_allotments *allotments,
			      const char *team);

/** zr_allotments_set_domain_count() - how many failure domains share the limits
 */
void zr_allotments_set_domain_count(struct zr_allotments *allotments,
				    unsigned int count);

void zr_allotments_free(struct zr_allotments *allotments);

/**
 * typedef zr_allotments_reclaim_fn - the fate of a recovery
 * @ctx: as given with it
 * @error: 0; ZR_E_NOT_FOUND when the domain has no allotment; ZR_E_CONFLICT
 *	when the record was changed meanwhile: try again; ZR_E_STORE_DOWN;
 *	ZR_E_OUTCOME_UNKNOWN: read it back by trying again
 */
typedef void (*zr_allotments_reclaim_fn)(void *ctx, int error);

/**
 * zr_allotments_reclaim() - give back what a lost failure domain held
 * @store: the store
 * @domain: the domain that is lost for good
 * @done: called once
 * @ctx: passed to @done
 *
 * For operators. If the domain is only cut off and its scheduler still runs,
 * teams can have up to its allotment running over their upper limits until it
 * reaches the store again.
 */
void zr_allotments_reclaim(const struct zr_store *store, const char *domain,
			   zr_allotments_reclaim_fn done, void *ctx);

#endif

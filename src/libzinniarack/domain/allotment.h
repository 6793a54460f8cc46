#ifndef ZR_DOMAIN_ALLOTMENT_H
#define ZR_DOMAIN_ALLOTMENT_H

#include "zinniarack/clock.h"
#include "zinniarack/config.h"
#include "zinniarack/store.h"
#include "zinniarack/timer.h"

/**
 * DOC: Allotments of team limits
 *
 * A team's limit applies to the whole cluster, but each failure domain
 * schedules on its own. The limit is therefore divided: an allotment is the
 * part of a team's limit that one domain may use. A single record in the store
 * holds all allotments, and domains change it by compare-and-swap. The
 * allotments of a team add up to no more than its limit, except after the limit
 * was lowered: resources in use are given up when their tasks end.
 *
 * A domain never applies more than the record grants it. To give resources
 * back, it lowers the applied allotment before it writes the record; to take
 * more, it raises the applied allotment after the write has succeeded. A domain
 * without connection to the store keeps its allotments.
 */

struct zr_allotments;

/**
 * struct zr_allotments_events - callbacks
 * @usage: returns the resources of a team's running tasks in this domain in
 *	@used, and those of its running and waiting tasks in @demand
 * @set: applies a team's allotment; a member of 0 means no limit
 * @ready: the record has been read for the first time, and the allotments have
 *	been applied
 */
struct zr_allotments_events {
	void (*usage)(void *ctx, const char *team, struct zr_resources *used,
		      struct zr_resources *demand);
	void (*set)(void *ctx, const char *team,
		    const struct zr_resources *allotment);
	void (*ready)(void *ctx);
};

/**
 * struct zr_allotments_options - parameters of the allotments of a domain
 * @version: ZR_ALLOTMENTS_OPTIONS_VERSION
 * @timers: timer factory
 * @store: store; must outlive the object
 * @domain: name of the failure domain
 * @events: callbacks
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

/**
 * zr_allotments_new() - create the allotments of a domain
 * @out: the object; free it with zr_allotments_free()
 * @options: parameters; copied
 *
 * Return: 0 or ZR_E_NOMEM.
 */
int zr_allotments_new(struct zr_allotments **out,
		      const struct zr_allotments_options *options);

/**
 * zr_allotments_begin() - start after the ownership was gained
 * @allotments: the allotments
 *
 * No task of a team with a limit can start before the record has been read.
 */
void zr_allotments_begin(struct zr_allotments *allotments);

/** zr_allotments_end() - stop, as the ownership has ended */
void zr_allotments_end(struct zr_allotments *allotments);

/**
 * zr_allotments_configure() - set the teams and their limits
 * @allotments: the allotments
 * @config: the configuration; must stay valid until the next call
 */
void zr_allotments_configure(struct zr_allotments *allotments,
			     const struct zr_config *config);

/**
 * zr_allotments_task_ended() - a task of a team has ended in this domain
 * @allotments: the allotments
 * @team_name: name of the team
 *
 * Must be called before other tasks are placed on the freed resources: if the
 * domain is giving back a part of the team's allotment, this call lowers the
 * applied allotment by the freed resources.
 */
void zr_allotments_task_ended(struct zr_allotments *allotments,
			      const char *team_name);

/**
 * zr_allotments_set_domain_count() - set the number of failure domains
 * @allotments: the allotments
 * @count: number of domains that share the limits
 */
void zr_allotments_set_domain_count(struct zr_allotments *allotments,
				    unsigned int count);

/** zr_allotments_free() - free once a call in flight has ended; accepts NULL */
void zr_allotments_free(struct zr_allotments *allotments);

/**
 * typedef zr_allotments_reclaim_fn - called with the outcome of a reclaim
 * @ctx: the context passed with the request
 * @error: 0; ZR_E_NOT_FOUND if the domain has no allotment; ZR_E_CONFLICT if
 *	the record was changed at the same time, so that the caller should
 *	retry; ZR_E_STORE_DOWN; ZR_E_PROTOCOL if the record can't be decoded;
 *	ZR_E_OUTCOME_UNKNOWN if the response was lost; a retry then finds out
 */
typedef void (*zr_allotments_reclaim_fn)(void *ctx, int error);

/**
 * zr_allotments_reclaim() - remove the allotments of a lost failure domain
 * @store: store
 * @domain: name of a domain that is lost permanently
 * @done: called once, with the outcome
 * @ctx: passed to @done
 *
 * For operators: the other domains can then use the resources. If the scheduler
 * of the domain still runs without connection to the store, teams can exceed
 * their limits by up to its allotments until it reaches the store again.
 */
void zr_allotments_reclaim(const struct zr_store *store, const char *domain,
			   zr_allotments_reclaim_fn done, void *ctx);

#endif

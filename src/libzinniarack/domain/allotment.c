#include "domain/allotment.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <xxhash.h>

#include "domain/allotment_record.h"
#include "domain/allotment_share.h"
#include "zinniarack/errors.h"
#include "zinniarack/log.h"

#define TICK_MS 2000
/* Interval of reads until the first one succeeds. */
#define FIRST_READ_MS 200
/*
 * Number of reads for which a domain does not raise its allotment of a team
 * after it gave up resources that the team's demand needs.
 */
#define YIELD_READS 3
/* Delay after a conflicting write; a jitter of up to the same time is added. */
#define CONFLICT_RETRY_MS 100

/**
 * struct team - applied allotment of a team
 * @applied: the limit that was last passed to &zr_allotments_events.set
 * @is_applied: whether a limit was passed since zr_allotments_begin()
 * @cooldown_reads: number of further reads during which @applied is not raised
 * @target: the allotment that the domain would have if none of the team's tasks
 *	were running
 */
struct team {
	UT_hash_handle hh;
	char name[ZR_NAME_MAX];
	struct zr_resources applied;
	bool is_applied;
	unsigned int cooldown_reads;
	struct zr_resources target;
};

/**
 * struct zr_allotments - allotments of a domain
 * @domain: name of the failure domain
 * @config: the configuration, or NULL
 * @domain_count: number of domains that share the limits
 * @teams: teams by name
 * @active: whether this process owns the domain
 * @ready: whether the record has been read since zr_allotments_begin()
 * @call_in_flight: whether a store call is in flight
 * @freeing: zr_allotments_free() was called; the call in flight frees this
 * @write_unconfirmed: whether a write with a lost response may yet take effect
 * @unconfirmed_revision: revision of the record that this write compares
 * @record: the record as last read, with the changes of this domain
 * @revision: store revision of the record as last read, 0 if it did not exist
 */
struct zr_allotments {
	struct zr_allotments_options options;
	char domain[ZR_NAME_MAX];
	struct zr_timer *timer;
	const struct zr_config *config;
	unsigned int domain_count;
	struct team *teams;
	bool active;
	bool ready;
	bool call_in_flight;
	bool freeing;
	bool write_unconfirmed;
	int64_t unconfirmed_revision;
	zx_allotments record;
	int64_t revision;
};

/* Applying allotments */

static struct team *get_or_add_team(struct zr_allotments *allotments,
				    const char *name)
{
	struct team *team;

	HASH_FIND_STR(allotments->teams, name, team);
	if (team)
		return team;
	team = calloc(1, sizeof(*team));
	if (!team)
		abort();
	snprintf(team->name, sizeof(team->name), "%s", name);
	HASH_ADD_STR(allotments->teams, name, team);
	return team;
}

/*
 * Passes a team's allotment to the core, unless it is unchanged or must not be
 * raised yet.
 */
static void apply_allotment(struct zr_allotments *allotments,
			    const struct zr_config_team *configured,
			    const struct zr_resources *amount)
{
	struct team *team = get_or_add_team(allotments, configured->name);
	struct zr_resources limit =
		zr_allotment_as_limit(&configured->limit, amount);

	if (team->is_applied &&
	    !memcmp(&team->applied, &limit, sizeof(team->applied)))
		return;
	/*
	 * Do not raise the limit: the unconfirmed write may still lower the
	 * allotment in the record.
	 */
	if (team->is_applied && allotments->write_unconfirmed &&
	    !zr_resources_fit(&limit, &team->applied))
		return;
	team->is_applied = true;
	team->applied = limit;
	allotments->options.events.set(allotments->options.ctx,
				       configured->name, &limit);
}

static struct zr_resources own_allotment(const struct zr_allotments *allotments,
					 const char *team)
{
	return zr_allotment_record_get(&allotments->record, team,
				       allotments->domain);
}

/* Applies the record's allotment of this domain to each team. */
static void apply_record(struct zr_allotments *allotments)
{
	const struct zr_config *config = allotments->config;
	uint32_t i;

	for (i = 0; config && i < config->teams_count; i++) {
		struct zr_resources amount =
			own_allotment(allotments, config->teams[i].name);

		apply_allotment(allotments, &config->teams[i], &amount);
	}
}

/* Changing the record */

/* Returns false if the result of the call must be ignored. */
static bool call_ended(struct zr_allotments *allotments)
{
	allotments->call_in_flight = false;
	if (!allotments->freeing)
		return allotments->active;
	zr_allotment_record_clear(&allotments->record);
	free(allotments);
	return false;
}

static void retry_soon(struct zr_allotments *allotments)
{
	uint64_t jitter_ms =
		XXH64(allotments->domain, strlen(allotments->domain),
		      (uint64_t)allotments->revision) %
		CONFLICT_RETRY_MS;

	zr_timer_start(allotments->timer,
		       CONFLICT_RETRY_MS + (unsigned int)jitter_ms, TICK_MS);
}

static void on_written(void *ctx, int error, const struct zr_store_reply *reply)
{
	struct zr_allotments *allotments = ctx;

	if (!call_ended(allotments))
		return;
	/* The next read shows whether an unconfirmed write took effect. */
	if (error < 0 && error != ZR_E_STORE_DOWN) {
		allotments->write_unconfirmed = true;
		allotments->unconfirmed_revision = allotments->revision;
	}
	if (!error && !reply->succeeded)
		retry_soon(allotments);
	if (error < 0 || !reply->succeeded)
		return;
	allotments->write_unconfirmed = false;
	apply_record(allotments);
}

static void write_record(struct zr_allotments *allotments)
{
	char *bytes;
	size_t length = zr_allotment_record_encode(&bytes, &allotments->record);
	const struct zr_store_compare compare = {ZR_ALLOTMENT_KEY,
						 allotments->revision};
	const struct zr_store_put put = {ZR_ALLOTMENT_KEY, bytes, length, 0};
	const struct zr_store_txn txn = {&compare, 1, &put, 1};

	allotments->call_in_flight = true;
	zr_store_commit(allotments->options.store, ZR_STORE_OTHER, &txn,
			on_written, allotments);
	free(bytes);
}

/*
 * Updates the record for a team, without writing it to the store. A reduction
 * is applied at once, before it is written. Returns whether the record changed.
 */
static bool update_team(struct zr_allotments *allotments,
			const struct zr_config_team *team)
{
	struct team *entry = get_or_add_team(allotments, team->name);
	struct zr_allotment_state state = {
		.limit = team->limit,
		.own = own_allotment(allotments, team->name),
		.others = zr_allotment_record_get_others(
			&allotments->record, team->name, allotments->domain),
		.domain_count = allotments->domain_count,
		.yielded = entry->cooldown_reads > 0,
	};
	struct zr_resources reduced;
	struct zr_resources next;
	struct zr_allotment_state idle_state;

	allotments->options.events.usage(allotments->options.ctx, team->name,
					 &state.used, &state.demand);
	next = zr_allotment_target(&state);
	entry->cooldown_reads -= entry->cooldown_reads > 0;
	idle_state = state;
	memset(&idle_state.used, 0, sizeof(idle_state.used));
	entry->target = zr_allotment_target(&idle_state);
	if (zr_allotment_yields(&state, &entry->target))
		entry->cooldown_reads = YIELD_READS;
	reduced = zr_allotment_min(&state.own, &next);
	apply_allotment(allotments, team, &reduced);
	if (!memcmp(&next, &state.own, sizeof(next)))
		return false;
	zr_allotment_record_set(&allotments->record, team->name,
				allotments->domain, &next);
	return true;
}

void zr_allotments_task_ended(struct zr_allotments *allotments,
			      const char *team_name)
{
	const struct zr_config_team *configured = NULL;
	struct zr_resources demand;
	struct zr_resources used;
	struct zr_resources limit;
	struct team *team;

	HASH_FIND_STR(allotments->teams, team_name, team);
	if (allotments->config)
		configured = zr_config_find_team(allotments->config, team_name);
	if (!team || !team->cooldown_reads || !configured ||
	    !allotments->active)
		return;
	allotments->options.events.usage(allotments->options.ctx, team_name,
					 &used, &demand);
	limit = zr_allotment_max(&used, &team->target);
	limit = zr_allotment_min(&limit, &team->applied);
	apply_allotment(allotments, configured, &limit);
}

static void update_record(struct zr_allotments *allotments)
{
	const struct zr_config *config = allotments->config;
	bool changed = false;
	uint32_t i;

	for (i = 0; config && i < config->teams_count; i++) {
		if (update_team(allotments, &config->teams[i]))
			changed = true;
	}
	/*
	 * Another write changes the revision, so an unconfirmed write can no
	 * longer take effect.
	 */
	if (changed || allotments->write_unconfirmed)
		write_record(allotments);
}

static void on_read(void *ctx, int error, const struct zr_store_reply *reply)
{
	struct zr_allotments *allotments = ctx;

	if (!call_ended(allotments) || error < 0)
		return;
	zr_allotment_record_clear(&allotments->record);
	allotments->revision = 0;
	zr_timer_start(allotments->timer, TICK_MS, TICK_MS);
	if (reply->count) {
		if (zr_allotment_record_decode(&allotments->record,
					       &reply->values[0]) < 0)
			return;
		allotments->revision = reply->values[0].mod_revision;
	}
	if (allotments->revision != allotments->unconfirmed_revision)
		allotments->write_unconfirmed = false;
	if (!allotments->ready)
		apply_record(allotments);
	if (!allotments->ready)
		allotments->options.events.ready(allotments->options.ctx);
	allotments->ready = true;
	update_record(allotments);
}

static void on_tick(void *ctx)
{
	struct zr_allotments *allotments = ctx;

	if (!allotments->active || allotments->call_in_flight)
		return;
	allotments->call_in_flight = true;
	zr_store_range(allotments->options.store, ZR_STORE_OTHER,
		       ZR_ALLOTMENT_KEY, false, on_read, allotments);
}

/* Lifecycle */

int zr_allotments_new(struct zr_allotments **out,
		      const struct zr_allotments_options *options)
{
	struct zr_allotments *allotments = calloc(1, sizeof(*allotments));

	if (!allotments)
		return ZR_E_NOMEM;
	allotments->options = *options;
	allotments->domain_count = 1;
	snprintf(allotments->domain, sizeof(allotments->domain), "%s",
		 options->domain);
	allotments->timer = zr_timer_new(options->timers, on_tick, allotments);
	*out = allotments;
	return 0;
}

static void clear_teams(struct zr_allotments *allotments)
{
	struct team *team;
	struct team *next;

	HASH_ITER (hh, allotments->teams, team, next) {
		HASH_DEL(allotments->teams, team);
		free(team);
	}
}

void zr_allotments_begin(struct zr_allotments *allotments)
{
	allotments->active = true;
	allotments->ready = false;
	zr_allotment_record_clear(&allotments->record);
	clear_teams(allotments);
	apply_record(allotments);
	zr_timer_start(allotments->timer, 0, FIRST_READ_MS);
}

void zr_allotments_end(struct zr_allotments *allotments)
{
	allotments->active = false;
	zr_timer_stop(allotments->timer);
}

/* Whether no limit is applied yet to a resource that now has one. */
static bool lacks_limit(const struct team *team,
			const struct zr_config_team *configured)
{
	const struct zr_resources *limit = &configured->limit;

	return !team->is_applied ||
	       (limit->millicpus && !team->applied.millicpus) ||
	       (limit->memory_mb && !team->applied.memory_mb) ||
	       (limit->accelerators && !team->applied.accelerators);
}

/* The allotment of a new team or limit is 0 until the record has one for it. */
void zr_allotments_configure(struct zr_allotments *allotments,
			     const struct zr_config *config)
{
	const struct zr_resources nothing = {0};
	uint32_t i;

	allotments->config = config;
	for (i = 0; allotments->active && i < config->teams_count; i++) {
		const struct zr_config_team *team = &config->teams[i];

		if (lacks_limit(get_or_add_team(allotments, team->name), team))
			apply_allotment(allotments, team, &nothing);
	}
	if (allotments->active)
		zr_timer_start(allotments->timer, 0, TICK_MS);
}

void zr_allotments_set_domain_count(struct zr_allotments *allotments,
				    unsigned int count)
{
	allotments->domain_count = count ? count : 1;
}

void zr_allotments_free(struct zr_allotments *allotments)
{
	if (!allotments)
		return;
	zr_timer_free(allotments->timer);
	clear_teams(allotments);
	allotments->active = false;
	allotments->freeing = true;
	if (allotments->call_in_flight)
		return;
	zr_allotment_record_clear(&allotments->record);
	free(allotments);
}

/* Reclaim by an operator */

/* A call of zr_allotments_reclaim() in progress. */
struct reclaim {
	const struct zr_store *store;
	char domain[ZR_NAME_MAX];
	zr_allotments_reclaim_fn done;
	void *ctx;
};

static void end_reclaim(struct reclaim *reclaim, int error)
{
	reclaim->done(reclaim->ctx, error);
	free(reclaim);
}

static void on_reclaimed(void *ctx, int error,
			 const struct zr_store_reply *reply)
{
	struct reclaim *reclaim = ctx;

	if (!error && !reply->succeeded)
		error = ZR_E_CONFLICT;
	if (!error)
		zr_log(ZR_LOG_WARN, "allotment.recovered domain=%s",
		       reclaim->domain);
	end_reclaim(reclaim, error);
}

static void write_reclaim(struct reclaim *reclaim, const zx_allotments *record,
			  int64_t revision)
{
	char *bytes;
	size_t length = zr_allotment_record_encode(&bytes, record);
	const struct zr_store_compare compare = {ZR_ALLOTMENT_KEY, revision};
	const struct zr_store_put put = {ZR_ALLOTMENT_KEY, bytes, length, 0};
	const struct zr_store_txn txn = {&compare, 1, &put, 1};

	zr_store_commit(reclaim->store, ZR_STORE_OTHER, &txn, on_reclaimed,
			reclaim);
	free(bytes);
}

static void on_reclaim_read(void *ctx, int error,
			    const struct zr_store_reply *reply)
{
	struct reclaim *reclaim = ctx;
	zx_allotments record = {0};

	if (!error && !reply->count)
		error = ZR_E_NOT_FOUND;
	if (!error)
		error = zr_allotment_record_decode(&record, &reply->values[0]);
	if (!error &&
	    !zr_allotment_record_drop_domain(&record, reclaim->domain))
		error = ZR_E_NOT_FOUND;
	if (error < 0)
		end_reclaim(reclaim, error);
	else
		write_reclaim(reclaim, &record, reply->values[0].mod_revision);
	zr_allotment_record_clear(&record);
}

void zr_allotments_reclaim(const struct zr_store *store, const char *domain,
			   zr_allotments_reclaim_fn done, void *ctx)
{
	struct reclaim *reclaim = calloc(1, sizeof(*reclaim));

	if (!reclaim)
		abort();
	reclaim->store = store;
	reclaim->done = done;
	reclaim->ctx = ctx;
	snprintf(reclaim->domain, sizeof(reclaim->domain), "%s", domain);
	zr_store_range(store, ZR_STORE_OTHER, ZR_ALLOTMENT_KEY, false,
		       on_reclaim_read, reclaim);
}

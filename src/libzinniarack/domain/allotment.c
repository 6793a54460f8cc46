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
#define FIRST_READ_MS 200
/* Readings for which a domain that has yielded takes nothing. */
#define YIELD_READS 3
/* When another writer was first, this long and as much again at random. */
#define CONFLICT_RETRY_MS 100

/* What this domain has in force for a team. */
struct team {
	UT_hash_handle hh;
	char name[ZR_NAME_MAX];
	struct zr_resources in_force;
	bool told;
	unsigned int yielded;
	struct zr_resources target;
};

struct zr_allotments {
	struct zr_allotments_options options;
	char domain[ZR_NAME_MAX];
	struct zr_timer *timer;
	const struct zr_config *config;
	unsigned int domains;
	struct team *teams;
	bool active;
	bool ready;
	bool call_open;
	bool freeing;
	/* A write that compares with @revision may still take effect. */
	bool uncertain;
	int64_t uncertain_revision;
	/* The record as last read, with this domain's changes to it. */
	zx_allotments record;
	int64_t revision;
};

/* In force */

static struct team *obtain_team(struct zr_allotments *allotments,
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

static void put_in_force(struct zr_allotments *allotments,
			 const struct zr_config_team *configured,
			 const struct zr_resources *amount)
{
	struct team *team = obtain_team(allotments, configured->name);
	struct zr_resources shown =
		zr_allotment_shown(&configured->limit, amount);

	if (team->told &&
	    !memcmp(&team->in_force, &shown, sizeof(team->in_force)))
		return;
	/* The open write may yet say that this domain has given. */
	if (team->told && allotments->uncertain &&
	    !zr_resources_fit(&shown, &team->in_force))
		return;
	team->told = true;
	team->in_force = shown;
	allotments->options.events.set(allotments->options.ctx,
				       configured->name, &shown);
}

static struct zr_resources held(const struct zr_allotments *allotments,
				const char *team)
{
	return zr_allotment_held(&allotments->record, team, allotments->domain);
}

/* Puts into force what the record says, or what is about to be given. */
static void enforce(struct zr_allotments *allotments)
{
	const struct zr_config *config = allotments->config;
	uint32_t i;

	for (i = 0; config && i < config->teams_count; i++) {
		struct zr_resources amount =
			held(allotments, config->teams[i].name);

		put_in_force(allotments, &config->teams[i], &amount);
	}
}

/* Changing the record */

static bool answered(struct zr_allotments *allotments)
{
	allotments->call_open = false;
	if (!allotments->freeing)
		return allotments->active;
	zr_allotment_record_clear(&allotments->record);
	free(allotments);
	return false;
}

static void retry_soon(struct zr_allotments *allotments)
{
	uint64_t jitter = XXH64(allotments->domain, strlen(allotments->domain),
				(uint64_t)allotments->revision) %
			  CONFLICT_RETRY_MS;

	zr_timer_start(allotments->timer,
		       CONFLICT_RETRY_MS + (unsigned int)jitter, TICK_MS);
}

static void on_written(void *ctx, int error, const struct zr_store_reply *reply)
{
	struct zr_allotments *allotments = ctx;

	if (!answered(allotments))
		return;
	/* Without a sure success, the next reading of the record tells. */
	if (error < 0 && error != ZR_E_STORE_DOWN) {
		allotments->uncertain = true;
		allotments->uncertain_revision = allotments->revision;
	}
	if (!error && !reply->succeeded)
		retry_soon(allotments);
	if (error < 0 || !reply->succeeded)
		return;
	allotments->uncertain = false;
	enforce(allotments);
}

static void write_record(struct zr_allotments *allotments)
{
	char *bytes;
	size_t length = zr_allotment_record_encode(&bytes, &allotments->record);
	const struct zr_store_compare compare = {ZR_ALLOTMENT_KEY,
						 allotments->revision};
	const struct zr_store_put put = {ZR_ALLOTMENT_KEY, bytes, length, 0};
	const struct zr_store_txn txn = {&compare, 1, &put, 1};

	allotments->call_open = true;
	zr_store_commit(allotments->options.store, ZR_STORE_OTHER, &txn,
			on_written, allotments);
	free(bytes);
}

/* Whether the record is to be changed for a team; gives before it says so. */
static bool adjust_team(struct zr_allotments *allotments,
			const struct zr_config_team *team)
{
	struct team *row = obtain_team(allotments, team->name);
	struct zr_allotment_state state = {
		.limit = team->limit,
		.own = held(allotments, team->name),
		.others = zr_allotment_others(&allotments->record, team->name,
					      allotments->domain),
		.domains = allotments->domains,
		.yielded = row->yielded > 0,
	};
	struct zr_resources less;
	struct zr_resources next;
	struct zr_allotment_state idle;

	allotments->options.events.usage(allotments->options.ctx, team->name,
					 &state.used, &state.demand);
	next = zr_allotment_next(&state);
	row->yielded -= row->yielded > 0;
	idle = state;
	memset(&idle.used, 0, sizeof(idle.used));
	row->target = zr_allotment_next(&idle);
	if (zr_allotment_yields(&state, &row->target))
		row->yielded = YIELD_READS;
	less = zr_allotment_least(&state.own, &next);
	put_in_force(allotments, team, &less);
	if (!memcmp(&next, &state.own, sizeof(next)))
		return false;
	zr_allotment_hold(&allotments->record, team->name, allotments->domain,
			  &next);
	return true;
}

void zr_allotments_task_ended(struct zr_allotments *allotments,
			      const char *name)
{
	const struct zr_config_team *configured = NULL;
	struct zr_resources demand;
	struct zr_resources used;
	struct zr_resources most;
	struct team *team;

	HASH_FIND_STR(allotments->teams, name, team);
	if (allotments->config)
		configured = zr_config_team(allotments->config, name);
	if (!team || !team->yielded || !configured || !allotments->active)
		return;
	allotments->options.events.usage(allotments->options.ctx, name, &used,
					 &demand);
	most = zr_allotment_most(&used, &team->target);
	most = zr_allotment_least(&most, &team->in_force);
	put_in_force(allotments, configured, &most);
}

static void adjust(struct zr_allotments *allotments)
{
	const struct zr_config *config = allotments->config;
	bool changed = false;
	uint32_t i;

	for (i = 0; config && i < config->teams_count; i++) {
		if (adjust_team(allotments, &config->teams[i]))
			changed = true;
	}
	/* Writing once more leaves an open write without effect. */
	if (changed || allotments->uncertain)
		write_record(allotments);
}

static void on_read(void *ctx, int error, const struct zr_store_reply *reply)
{
	struct zr_allotments *allotments = ctx;

	if (!answered(allotments) || error < 0)
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
	if (allotments->revision != allotments->uncertain_revision)
		allotments->uncertain = false;
	if (!allotments->ready)
		enforce(allotments);
	if (!allotments->ready)
		allotments->options.events.ready(allotments->options.ctx);
	allotments->ready = true;
	adjust(allotments);
}

static void on_tick(void *ctx)
{
	struct zr_allotments *allotments = ctx;

	if (!allotments->active || allotments->call_open)
		return;
	allotments->call_open = true;
	zr_store_range(allotments->options.store, ZR_STORE_OTHER,
		       ZR_ALLOTMENT_KEY, false, on_read, allotments);
}

/* Life */

int zr_allotments_new(struct zr_allotments **out,
		      const struct zr_allotments_options *options)
{
	struct zr_allotments *allotments = calloc(1, sizeof(*allotments));

	if (!allotments)
		return ZR_E_NOMEM;
	allotments->options = *options;
	allotments->domains = 1;
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
	enforce(allotments);
	zr_timer_start(allotments->timer, 0, FIRST_READ_MS);
}

void zr_allotments_end(struct zr_allotments *allotments)
{
	allotments->active = false;
	zr_timer_stop(allotments->timer);
}

/* Whether the core would take what is in force for no limit. */
static bool unlimited(const struct team *team,
		      const struct zr_config_team *configured)
{
	const struct zr_resources *limit = &configured->limit;

	return !team->told || (limit->millicpus && !team->in_force.millicpus) ||
	       (limit->memory_mb && !team->in_force.memory_mb) ||
	       (limit->accelerators && !team->in_force.accelerators);
}

/* A team or limit that is new has nothing here until the record says so. */
void zr_allotments_configure(struct zr_allotments *allotments,
			     const struct zr_config *config)
{
	const struct zr_resources nothing = {0};
	uint32_t i;

	allotments->config = config;
	for (i = 0; allotments->active && i < config->teams_count; i++) {
		const struct zr_config_team *team = &config->teams[i];

		if (unlimited(obtain_team(allotments, team->name), team))
			put_in_force(allotments, team, &nothing);
	}
	if (allotments->active)
		zr_timer_start(allotments->timer, 0, TICK_MS);
}

void zr_allotments_set_domain_count(struct zr_allotments *allotments,
				    unsigned int count)
{
	allotments->domains = count ? count : 1;
}

void zr_allotments_free(struct zr_allotments *allotments)
{
	if (!allotments)
		return;
	zr_timer_free(allotments->timer);
	clear_teams(allotments);
	allotments->active = false;
	allotments->freeing = true;
	if (allotments->call_open)
		return;
	zr_allotment_record_clear(&allotments->record);
	free(allotments);
}

/* Recovery by an operator */

struct recovery {
	const struct zr_store *store;
	char domain[ZR_NAME_MAX];
	zr_allotments_reclaim_fn done;
	void *ctx;
};

static void end_recovery(struct recovery *recovery, int error)
{
	recovery->done(recovery->ctx, error);
	free(recovery);
}

static void on_recovered(void *ctx, int error,
			 const struct zr_store_reply *reply)
{
	struct recovery *recovery = ctx;

	if (!error && !reply->succeeded)
		error = ZR_E_CONFLICT;
	if (!error)
		zr_log(ZR_LOG_WARN, "allotment.recovered domain=%s",
		       recovery->domain);
	end_recovery(recovery, error);
}

static void write_recovery(struct recovery *recovery,
			   const zx_allotments *record, int64_t revision)
{
	char *bytes;
	size_t length = zr_allotment_record_encode(&bytes, record);
	const struct zr_store_compare compare = {ZR_ALLOTMENT_KEY, revision};
	const struct zr_store_put put = {ZR_ALLOTMENT_KEY, bytes, length, 0};
	const struct zr_store_txn txn = {&compare, 1, &put, 1};

	zr_store_commit(recovery->store, ZR_STORE_OTHER, &txn, on_recovered,
			recovery);
	free(bytes);
}

static void on_record(void *ctx, int error, const struct zr_store_reply *reply)
{
	struct recovery *recovery = ctx;
	zx_allotments record = {0};

	if (!error && !reply->count)
		error = ZR_E_NOT_FOUND;
	if (!error)
		error = zr_allotment_record_decode(&record, &reply->values[0]);
	if (!error && !zr_allotment_drop(&record, recovery->domain))
		error = ZR_E_NOT_FOUND;
	if (error < 0)
		end_recovery(recovery, error);
	else
		write_recovery(recovery, &record,
			       reply->values[0].mod_revision);
	zr_allotment_record_clear(&record);
}

void zr_allotments_reclaim(const struct zr_store *store, const char *domain,
			   zr_allotments_reclaim_fn done, void *ctx)
{
	struct recovery *recovery = calloc(1, sizeof(*recovery));

	if (!recovery)
		abort();
	recovery->store = store;
	recovery->done = done;
	recovery->ctx = ctx;
	snprintf(recovery->domain, sizeof(recovery->domain), "%s", domain);
	zr_store_range(store, ZR_STORE_OTHER, ZR_ALLOTMENT_KEY, false,
		       on_record, recovery);
}

#include "config/watch.h"

#include <inttypes.h>
#include <stdlib.h>

#include "zinniarack/errors.h"
#include "zinniarack/log.h"

#define CONFIG_KEY "zr/config"
#define POLL_MS 1000

struct zr_config_watch {
	const struct zr_store *store;
	zr_config_changed_fn changed;
	void *ctx;
	struct zr_timer *timer;
	bool call_open;
	struct zr_config *current;
	int64_t mod_revision;
};

struct proposal {
	struct zr_config_watch *watch;
	uint64_t version;
	zr_config_proposed_fn done;
	void *ctx;
};

static uint64_t current_version(const struct zr_config_watch *watch)
{
	return watch->current ? watch->current->version : 0;
}

static void take(struct zr_config_watch *watch,
		 const struct zr_store_value *value)
{
	struct zr_config *former = watch->current;
	struct zr_config *config;

	if (value->mod_revision <= watch->mod_revision)
		return;
	if (zr_config_parse(&config, CONFIG_KEY, value->data, value->length)) {
		zr_log(ZR_LOG_ERROR, "config.unreadable detail=\"%s\"",
		       zr_error_last());
		return;
	}
	watch->mod_revision = value->mod_revision;
	if (config->version <= current_version(watch)) {
		zr_config_free(config);
		return;
	}
	watch->current = config;
	zr_log(ZR_LOG_INFO, "config.in_force version=%" PRIu64,
	       config->version);
	watch->changed(watch->ctx, config);
	zr_config_free(former);
}

static void on_read(void *ctx, int error, const struct zr_store_reply *reply)
{
	struct zr_config_watch *watch = ctx;

	watch->call_open = false;
	if (!error && reply->count)
		take(watch, &reply->values[0]);
}

static void on_tick(void *ctx)
{
	struct zr_config_watch *watch = ctx;

	if (watch->call_open)
		return;
	watch->call_open = true;
	zr_store_range(watch->store, ZR_STORE_CONFIG, CONFIG_KEY, false,
		       on_read, watch);
}

int zr_config_watch_new(struct zr_config_watch **out,
			const struct zr_timers *timers,
			const struct zr_store *store,
			zr_config_changed_fn changed, void *ctx)
{
	struct zr_config_watch *watch = calloc(1, sizeof(*watch));

	if (!watch)
		return ZR_E_NOMEM;
	watch->store = store;
	watch->changed = changed;
	watch->ctx = ctx;
	watch->timer = zr_timer_new(timers, on_tick, watch);
	zr_timer_start(watch->timer, 0, POLL_MS);
	*out = watch;
	return 0;
}

const struct zr_config *
zr_config_watch_current(const struct zr_config_watch *watch)
{
	return watch->current;
}

static void on_proposed(void *ctx, int error,
			const struct zr_store_reply *reply)
{
	struct proposal *proposal = ctx;
	struct zr_config_watch *watch = proposal->watch;
	uint64_t version = proposal->version;

	if (!error && !reply->succeeded) {
		if (reply->count)
			take(watch, &reply->values[0]);
		error = ZR_E_CONFLICT;
		version = current_version(watch);
	}
	if (!error)
		on_tick(watch);
	proposal->done(proposal->ctx, error, version);
	free(proposal);
}

static void commit(struct proposal *proposal, const char *text, size_t length)
{
	struct zr_config_watch *watch = proposal->watch;
	const struct zr_store_compare compare = {CONFIG_KEY,
						 watch->mod_revision};
	const struct zr_store_put put = {CONFIG_KEY, text, length, 0};
	const struct zr_store_txn txn = {&compare, 1, &put, 1};

	zr_store_commit(watch->store, ZR_STORE_CONFIG, &txn, on_proposed,
			proposal);
}

void zr_config_watch_propose(struct zr_config_watch *watch,
			     struct zr_config *config, uint64_t expected,
			     zr_config_proposed_fn done, void *ctx)
{
	struct proposal *proposal;
	size_t length;
	char *text;
	int error;

	if (expected != current_version(watch)) {
		done(ctx, ZR_E_CONFLICT, current_version(watch));
		return;
	}
	config->version = expected + 1;
	error = zr_config_print(&text, &length, config);
	if (error < 0) {
		done(ctx, error, expected);
		return;
	}
	proposal = calloc(1, sizeof(*proposal));
	if (!proposal)
		abort();
	proposal->watch = watch;
	proposal->version = config->version;
	proposal->done = done;
	proposal->ctx = ctx;
	commit(proposal, text, length);
	free(text);
}

void zr_config_watch_free(struct zr_config_watch *watch)
{
	if (!watch)
		return;
	zr_timer_free(watch->timer);
	zr_config_free(watch->current);
	free(watch);
}

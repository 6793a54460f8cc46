#include "config/watch.h"

#include <inttypes.h>
#include <openssl/rand.h>
#include <stdlib.h>
#include <string.h>

#include "config/watch_private.h"
#include "zinniarack/errors.h"
#include "zinniarack/log.h"

#define TICK_MS 200
/* The first process of a domain reads so often, the others when it is silent */
#define READ_EACH_MS 1000
#define READ_AFTER_MS 1600
#define READ_RANK_MS 400

struct timespec config_now(const struct zr_config_watch *watch)
{
	return zr_clock_now(watch->options.clock);
}

uint64_t config_version(const struct zr_config_watch *watch)
{
	return watch->current ? watch->current->version : 0;
}

/* Versions */

static void keep_former(struct zr_config_watch *watch)
{
	size_t i;

	zr_config_free(watch->former[CONFIG_FORMER_MAX - 1]);
	for (i = CONFIG_FORMER_MAX - 1; i > 0; i--)
		watch->former[i] = watch->former[i - 1];
	watch->former[0] = watch->current;
}

static void put_in_force(struct zr_config_watch *watch,
			 struct zr_config *config, char *text, size_t length,
			 const char *source)
{
	if (watch->current)
		keep_former(watch);
	free(watch->text);
	watch->current = config;
	watch->text = text;
	watch->length = length;
	watch->version->value = (int64_t)config->version;
	zr_log(ZR_LOG_INFO,
	       "config.in_force version=%" PRIu64 " author=%s source=%s",
	       config->version, zr_config_author(config), source);
	watch->options.changed(watch->options.ctx, config);
	config_settle_proposals(watch);
}

bool config_take_text(struct zr_config_watch *watch, const char *source,
		      const char *text, size_t length)
{
	struct zr_config *config;
	char *copy;

	watch->readable = !zr_config_parse(&config, source, text, length);
	if (!watch->readable) {
		zr_log(ZR_LOG_ERROR, "config.unreadable detail=\"%s\"",
		       zr_error_last());
		return false;
	}
	copy = malloc(length);
	if (config->version <= config_version(watch) || !copy) {
		zr_config_free(config);
		free(copy);
		return false;
	}
	memcpy(copy, text, length);
	put_in_force(watch, config, copy, length, source);
	return true;
}

bool config_take_value(struct zr_config_watch *watch,
		       const struct zr_store_value *value)
{
	if (value->mod_revision < watch->mod_revision)
		return false;
	watch->mod_revision = value->mod_revision;
	if (watch->current && value->length == watch->length &&
	    !memcmp(value->data, watch->text, watch->length))
		return false;
	return config_take_text(watch, "store", value->data, value->length);
}

/* Reads of the store */

static void on_read(void *ctx, int error, const struct zr_store_reply *reply)
{
	struct zr_config_watch *watch = ctx;
	bool taken;

	watch->reading = false;
	if (watch->freed) {
		free(watch);
		return;
	}
	if (error < 0)
		return;
	if (!reply->count) {
		if (!watch->current)
			config_confirm(watch, watch->asked);
		return;
	}
	if (reply->values[0].mod_revision < watch->mod_revision)
		return;
	taken = config_take_value(watch, &reply->values[0]);
	/* A value that cannot be read confirms nothing. */
	if (watch->readable)
		config_confirm(watch, watch->asked);
	if (taken && watch->options.spread)
		watch->options.spread(watch->options.ctx);
}

static void read_store(struct zr_config_watch *watch)
{
	watch->reading = true;
	watch->ever_read = true;
	watch->asked = config_now(watch);
	watch->reads->value++;
	zr_store_range(watch->options.store, ZR_STORE_CONFIG, CONFIG_KEY, false,
		       on_read, watch);
}

static bool read_is_due(const struct zr_config_watch *watch)
{
	unsigned int rank = config_rank(watch);
	struct timespec now = config_now(watch);
	int64_t after_ms =
		rank ? READ_AFTER_MS + READ_RANK_MS * rank : READ_EACH_MS;

	if (watch->reading)
		return false;
	if (watch->ever_read &&
	    zr_time_diff_ms(now, watch->asked) < READ_EACH_MS)
		return false;
	return !watch->confirmed.set ||
	       zr_time_diff_ms(now, watch->confirmed.at) >= after_ms;
}

static void on_tick(void *ctx)
{
	struct zr_config_watch *watch = ctx;

	config_try_candidate(watch);
	if (read_is_due(watch))
		read_store(watch);
}

/* Interface */

static void register_metrics(struct zr_config_watch *watch)
{
	struct zr_metrics *metrics = watch->options.metrics;

	watch->reads = zr_metrics_counter(
		metrics, "zinniarack_config_store_reads_total", NULL,
		"Reads of the configuration sent to the store.");
	watch->relayed = zr_metrics_counter(
		metrics, "zinniarack_config_relayed_total", NULL,
		"Versions of the configuration that came from a peer.");
	watch->version =
		zr_metrics_gauge(metrics, "zinniarack_config_version", NULL,
				 "Version of the configuration in force here.");
}

int zr_config_watch_new(struct zr_config_watch **out,
			const struct zr_config_watch_options *options)
{
	struct zr_config_watch *watch = calloc(1, sizeof(*watch));

	if (!watch)
		return ZR_E_NOMEM;
	watch->options = *options;
	watch->started = config_now(watch);
	if (RAND_bytes((unsigned char *)&watch->incarnation,
		       sizeof(watch->incarnation)) != 1) {
		free(watch);
		return zr_error_set(ZR_E_IO, "no randomness to be had");
	}
	register_metrics(watch);
	watch->timer = zr_timer_new(options->timers, on_tick, watch);
	zr_timer_start(watch->timer, 0, TICK_MS);
	*out = watch;
	return 0;
}

const struct zr_config *
zr_config_watch_current(const struct zr_config_watch *watch)
{
	return watch->current;
}

const struct zr_config *
zr_config_watch_former(const struct zr_config_watch *watch, uint64_t version)
{
	size_t i;

	for (i = 0; i < CONFIG_FORMER_MAX && watch->former[i]; i++) {
		if (watch->former[i]->version == version)
			return watch->former[i];
	}
	return NULL;
}

void zr_config_watch_free(struct zr_config_watch *watch)
{
	size_t i;

	if (!watch)
		return;
	zr_timer_free(watch->timer);
	config_proposals_free(watch);
	config_peers_free(watch);
	for (i = 0; i < CONFIG_FORMER_MAX; i++)
		zr_config_free(watch->former[i]);
	zr_config_free(watch->current);
	free(watch->text);
	free(watch->candidate);
	watch->freed = true;
	/* The store still answers an open read. */
	if (!watch->reading)
		free(watch);
}

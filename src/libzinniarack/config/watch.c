#include "config/watch.h"

#include <inttypes.h>
#include <openssl/rand.h>
#include <stdlib.h>
#include <string.h>

#include "config/watch_private.h"
#include "zinniarack/errors.h"
#include "zinniarack/log.h"

#define TICK_MS 200 /* period of checks whether a read is due */
/* Period of reads by the first process of a failure domain. */
#define READ_PERIOD_MS 1000
/*
 * The other processes learn from their peers what the first one read. They read
 * the store only when their version wasn't confirmed for this time, plus one
 * step for each process that reads before them.
 */
#define BACKUP_READ_MS 1600
#define BACKUP_READ_STEP_MS 400

struct timespec config_now(const struct zr_config_watch *watch)
{
	return zr_clock_now(watch->options.clock);
}

uint64_t config_version(const struct zr_config_watch *watch)
{
	return watch->current ? watch->current->version : 0;
}

/* Versions */

static void keep_previous(struct zr_config_watch *watch)
{
	size_t i;

	zr_config_free(watch->previous[CONFIG_PREVIOUS_MAX - 1]);
	for (i = CONFIG_PREVIOUS_MAX - 1; i > 0; i--)
		watch->previous[i] = watch->previous[i - 1];
	watch->previous[0] = watch->current;
}

static void apply(struct zr_config_watch *watch, struct zr_config *config,
		  char *text, size_t length, const char *source)
{
	if (watch->current)
		keep_previous(watch);
	free(watch->text);
	watch->current = config;
	watch->text = text;
	watch->length = length;
	watch->version->value = (int64_t)config->version;
	zr_log(ZR_LOG_INFO,
	       "config.applied version=%" PRIu64 " author=%s source=%s",
	       config->version, zr_config_author(config), source);
	watch->options.changed(watch->options.ctx, config);
	config_complete_proposals(watch);
}

bool config_apply_text(struct zr_config_watch *watch, const char *source,
		       const char *text, size_t length)
{
	struct zr_config *config;
	char *copy;

	watch->last_parsed = !zr_config_parse(&config, source, text, length);
	if (!watch->last_parsed) {
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
	apply(watch, config, copy, length, source);
	return true;
}

bool config_apply_value(struct zr_config_watch *watch,
			const struct zr_store_value *value)
{
	if (value->mod_revision < watch->mod_revision)
		return false;
	watch->mod_revision = value->mod_revision;
	if (watch->current && value->length == watch->length &&
	    !memcmp(value->data, watch->text, watch->length))
		return false;
	return config_apply_text(watch, "store", value->data, value->length);
}

/* Reads of the store */

static void on_read(void *ctx, int error, const struct zr_store_reply *reply)
{
	struct zr_config_watch *watch = ctx;
	bool applied;

	watch->read_in_flight = false;
	if (watch->free_after_read) {
		free(watch);
		return;
	}
	if (error < 0)
		return;
	if (!reply->count) {
		if (!watch->current)
			config_confirm(watch, watch->read_sent_at);
		return;
	}
	if (reply->values[0].mod_revision < watch->mod_revision)
		return;
	applied = config_apply_value(watch, &reply->values[0]);
	/* A value that can't be parsed confirms nothing: it may be newer. */
	if (watch->last_parsed)
		config_confirm(watch, watch->read_sent_at);
	if (applied && watch->options.notify_peers)
		watch->options.notify_peers(watch->options.ctx);
}

static void read_store(struct zr_config_watch *watch)
{
	watch->read_in_flight = true;
	watch->has_read = true;
	watch->read_sent_at = config_now(watch);
	watch->reads->value++;
	zr_store_range(watch->options.store, ZR_STORE_CONFIG, CONFIG_KEY, false,
		       on_read, watch);
}

static bool read_is_due(const struct zr_config_watch *watch)
{
	unsigned int rank = config_read_rank(watch);
	struct timespec now = config_now(watch);
	int64_t after_ms = rank ? BACKUP_READ_MS + BACKUP_READ_STEP_MS * rank
				: READ_PERIOD_MS;

	if (watch->read_in_flight)
		return false;
	if (watch->has_read &&
	    zr_time_diff_ms(now, watch->read_sent_at) < READ_PERIOD_MS)
		return false;
	return !watch->confirmed_at.is_set ||
	       zr_time_diff_ms(now, watch->confirmed_at.time) >= after_ms;
}

static void on_tick(void *ctx)
{
	struct zr_config_watch *watch = ctx;

	config_apply_candidate(watch);
	if (read_is_due(watch))
		read_store(watch);
}

/* Public functions */

static void register_metrics(struct zr_config_watch *watch)
{
	struct zr_metrics *metrics = watch->options.metrics;

	watch->reads = zr_metrics_get_or_add_counter(
		metrics, "zinniarack_config_store_reads_total", NULL,
		"Reads of the configuration sent to the store.");
	watch->relayed = zr_metrics_get_or_add_counter(
		metrics, "zinniarack_config_relayed_total", NULL,
		"Versions of the configuration that came from a peer.");
	watch->version = zr_metrics_get_or_add_gauge(
		metrics, "zinniarack_config_version", NULL,
		"Version of the configuration in force here.");
}

int zr_config_watch_new(struct zr_config_watch **out,
			const struct zr_config_watch_options *options)
{
	struct zr_config_watch *watch = calloc(1, sizeof(*watch));

	if (!watch)
		return ZR_E_NOMEM;
	watch->options = *options;
	watch->started_at = config_now(watch);
	if (RAND_bytes((unsigned char *)&watch->incarnation,
		       sizeof(watch->incarnation)) != 1) {
		free(watch);
		return zr_error_set(ZR_E_IO,
				    "the random number generator failed");
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
zr_config_watch_find_previous(const struct zr_config_watch *watch,
			      uint64_t version)
{
	size_t i;

	for (i = 0; i < CONFIG_PREVIOUS_MAX && watch->previous[i]; i++) {
		if (watch->previous[i]->version == version)
			return watch->previous[i];
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
	for (i = 0; i < CONFIG_PREVIOUS_MAX; i++)
		zr_config_free(watch->previous[i]);
	zr_config_free(watch->current);
	free(watch->text);
	free(watch->candidate);
	watch->free_after_read = true;
	/* on_read() frees the memory if a read is in flight. */
	if (!watch->read_in_flight)
		free(watch);
}

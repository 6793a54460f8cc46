#include "cell/config_poller.h"

#include <inttypes.h>
#include <stdlib.h>

#include "zinniarack/errors.h"
#include "zinniarack/log.h"

/*
 * A change must be in force within two seconds. A read on a connection that has
 * gone silent costs one second until a new connection is tried.
 */
#define POLL_MS 400
/* Reads open at once: one that hangs must not hold up the next. */
#define READS_MAX 3

struct zr_cell_current {
	const struct zr_clock *clock;
	const struct zr_cell_surroundings *surroundings;
	zr_cell_current_fn changed;
	void *ctx;
	struct zr_timer *timer;
	struct zr_cell_config *config;
	bool confirmed;
	bool reachable;
	struct timespec confirmed_at;
	unsigned int open_reads;
	bool freeing;
	struct zr_metric *version;
	struct zr_metric *failures;
};

struct reading {
	struct zr_cell_current *current;
	struct timespec sent_at;
};

static void free_current(struct zr_cell_current *current)
{
	zr_cell_config_free(current->config);
	free(current);
}

static void take_config(struct zr_cell_current *current,
			struct zr_cell_config *config, int64_t read_ms)
{
	struct zr_cell_config *before = current->config;

	if (before && config->version <= before->version) {
		zr_cell_config_free(config);
		return;
	}
	current->config = config;
	current->version->value = (int64_t)config->version;
	zr_log(ZR_LOG_INFO,
	       "config.in_force version=%" PRIu64 " before=%" PRIu64
	       " queues=%zu clients=%zu keys=%zu read_ms=%" PRId64,
	       config->version, before ? before->version : 0,
	       config->queue_count, config->client_count, config->key_count,
	       read_ms);
	current->changed(current->ctx, config);
	zr_cell_config_free(before);
}

static void take_value(struct zr_cell_current *current,
		       const struct zr_store_value *value, int64_t read_ms)
{
	struct zr_cell_config *config;
	int error = current->surroundings->config_decode(&config, value);

	if (!error)
		take_config(current, config, read_ms);
	else
		zr_log(ZR_LOG_ERROR,
		       "config.unreadable revision=%" PRId64 " error=%s",
		       value->mod_revision, zr_error_name(error));
}

/* -1 before the first confirmation. */
static int64_t logged_age_ms(const struct zr_cell_current *current)
{
	return current->confirmed ? zr_cell_current_age_ms(current) : -1;
}

static void note_store(struct zr_cell_current *current, int error)
{
	if (error < 0)
		current->failures->value++;
	if (current->reachable == !error)
		return;
	current->reachable = !error;
	if (error < 0)
		zr_log(ZR_LOG_WARN, "store.lost error=%s age_ms=%" PRId64,
		       zr_error_name(error), logged_age_ms(current));
	else
		zr_log(ZR_LOG_INFO, "store.regained age_ms=%" PRId64,
		       logged_age_ms(current));
}

static void on_read(void *ctx, int error, const struct zr_store_reply *reply)
{
	struct reading *reading = ctx;
	struct zr_cell_current *current = reading->current;
	struct timespec sent_at = reading->sent_at;

	free(reading);
	current->open_reads--;
	if (current->freeing) {
		if (!current->open_reads)
			free_current(current);
		return;
	}
	/* A read that hung since before a newer one succeeded is no news. */
	if (!error || !current->confirmed ||
	    zr_time_cmp(sent_at, current->confirmed_at) > 0)
		note_store(current, error);
	if (error < 0)
		return;
	if (reply->count)
		take_value(
			current, &reply->values[0],
			zr_time_diff_ms(zr_clock_now(current->clock), sent_at));
	if (!current->confirmed ||
	    zr_time_cmp(sent_at, current->confirmed_at) > 0)
		current->confirmed_at = sent_at;
	current->confirmed = true;
}

static void on_poll(void *ctx)
{
	struct zr_cell_current *current = ctx;
	struct reading *reading;

	if (current->open_reads >= READS_MAX)
		return;
	reading = calloc(1, sizeof(*reading));
	if (!reading)
		abort();
	reading->current = current;
	reading->sent_at = zr_clock_now(current->clock);
	current->open_reads++;
	zr_store_range(&current->surroundings->store, ZR_STORE_CONFIG,
		       current->surroundings->config_prefix, false, on_read,
		       reading);
}

const struct zr_cell_config *
zr_cell_current_config(const struct zr_cell_current *current)
{
	return current->config;
}

int64_t zr_cell_current_age_ms(const struct zr_cell_current *current)
{
	if (!current->confirmed)
		return INT64_MAX;
	return zr_time_diff_ms(zr_clock_now(current->clock),
			       current->confirmed_at);
}

int zr_cell_current_new(struct zr_cell_current **out,
			const struct zr_timers *timers,
			const struct zr_clock *clock,
			const struct zr_cell_surroundings *surroundings,
			struct zr_metrics *metrics, zr_cell_current_fn changed,
			void *ctx)
{
	struct zr_cell_current *current = calloc(1, sizeof(*current));

	if (!current)
		return ZR_E_NOMEM;
	current->clock = clock;
	current->surroundings = surroundings;
	current->changed = changed;
	current->ctx = ctx;
	current->reachable = true;
	current->version =
		zr_metrics_gauge(metrics, "zinniarack_config_version", NULL,
				 "Version of the configuration in force");
	current->failures = zr_metrics_counter(
		metrics, "zinniarack_config_reads_failed_total", NULL,
		"Reads of the configuration that failed");
	current->timer = zr_timer_new(timers, on_poll, current);
	zr_timer_start(current->timer, 0, POLL_MS);
	*out = current;
	return 0;
}

void zr_cell_current_free(struct zr_cell_current *current)
{
	if (!current)
		return;
	zr_timer_free(current->timer);
	current->freeing = true;
	if (!current->open_reads)
		free_current(current);
}

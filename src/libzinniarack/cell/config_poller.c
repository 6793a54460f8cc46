#include "cell/config_poller.h"

#include <inttypes.h>
#include <stdlib.h>

#include "zinniarack/errors.h"
#include "zinniarack/log.h"

/*
 * A change must be applied within 2 s. A read on a connection that hangs takes
 * 1 s before a new connection is tried.
 */
#define POLL_MS 400
/* Maximum number of reads in flight; a read that hangs must not delay others.
 */
#define READS_IN_FLIGHT_MAX 3

struct zr_cell_config_poller {
	const struct zr_clock *clock;
	const struct zr_cell_surroundings *platform;
	zr_cell_config_poller_fn changed;
	void *ctx;
	struct zr_timer *timer;
	struct zr_cell_config *config;
	bool confirmed;
	bool reachable;
	struct timespec confirmed_at;
	unsigned int reads_in_flight;
	bool freeing;
	struct zr_metric *version;
	struct zr_metric *failures;
};

struct config_read {
	struct zr_cell_config_poller *current;
	struct timespec sent_at;
};

static void free_current(struct zr_cell_config_poller *current)
{
	zr_cell_config_free(current->config);
	free(current);
}

static void apply_config(struct zr_cell_config_poller *current,
			 struct zr_cell_config *config, int64_t read_ms)
{
	struct zr_cell_config *previous = current->config;

	if (previous && config->version <= previous->version) {
		zr_cell_config_free(config);
		return;
	}
	current->config = config;
	current->version->value = (int64_t)config->version;
	zr_log(ZR_LOG_INFO,
	       "config.in_force version=%" PRIu64 " before=%" PRIu64
	       " queues=%zu clients=%zu keys=%zu read_ms=%" PRId64,
	       config->version, previous ? previous->version : 0,
	       config->queue_count, config->client_count, config->key_count,
	       read_ms);
	current->changed(current->ctx, config);
	zr_cell_config_free(previous);
}

static void decode_and_apply(struct zr_cell_config_poller *current,
			     const struct zr_store_value *value,
			     int64_t read_ms)
{
	struct zr_cell_config *config;
	int error = current->platform->config_decode(&config, value);

	if (!error)
		apply_config(current, config, read_ms);
	else
		zr_log(ZR_LOG_ERROR,
		       "config.unreadable revision=%" PRId64 " error=%s",
		       value->mod_revision, zr_error_name(error));
}

/* Return -1 before the first successful read. */
static int64_t logged_age_ms(const struct zr_cell_config_poller *current)
{
	return current->confirmed ? zr_cell_config_poller_age_ms(current) : -1;
}

static void update_reachable(struct zr_cell_config_poller *current, int error)
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
	struct config_read *config_read = ctx;
	struct zr_cell_config_poller *current = config_read->current;
	struct timespec sent_at = config_read->sent_at;

	free(config_read);
	current->reads_in_flight--;
	if (current->freeing) {
		if (!current->reads_in_flight)
			free_current(current);
		return;
	}
	/* Ignore the failure of a read sent before the last successful one. */
	if (!error || !current->confirmed ||
	    zr_time_cmp(sent_at, current->confirmed_at) > 0)
		update_reachable(current, error);
	if (error < 0)
		return;
	if (reply->count)
		decode_and_apply(
			current, &reply->values[0],
			zr_time_diff_ms(zr_clock_now(current->clock), sent_at));
	if (!current->confirmed ||
	    zr_time_cmp(sent_at, current->confirmed_at) > 0)
		current->confirmed_at = sent_at;
	current->confirmed = true;
}

static void on_poll(void *ctx)
{
	struct zr_cell_config_poller *current = ctx;
	struct config_read *config_read;

	if (current->reads_in_flight >= READS_IN_FLIGHT_MAX)
		return;
	config_read = calloc(1, sizeof(*config_read));
	if (!config_read)
		abort();
	config_read->current = current;
	config_read->sent_at = zr_clock_now(current->clock);
	current->reads_in_flight++;
	zr_store_range(&current->platform->store, ZR_STORE_CONFIG,
		       current->platform->config_prefix, false, on_read,
		       config_read);
}

const struct zr_cell_config *
zr_cell_config_poller_config(const struct zr_cell_config_poller *current)
{
	return current->config;
}

int64_t
zr_cell_config_poller_age_ms(const struct zr_cell_config_poller *current)
{
	if (!current->confirmed)
		return INT64_MAX;
	return zr_time_diff_ms(zr_clock_now(current->clock),
			       current->confirmed_at);
}

int zr_cell_config_poller_new(struct zr_cell_config_poller **out,
			      const struct zr_timers *timers,
			      const struct zr_clock *clock,
			      const struct zr_cell_surroundings *platform,
			      struct zr_metrics *metrics,
			      zr_cell_config_poller_fn changed, void *ctx)
{
	struct zr_cell_config_poller *current = calloc(1, sizeof(*current));

	if (!current)
		return ZR_E_NOMEM;
	current->clock = clock;
	current->platform = platform;
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

void zr_cell_config_poller_free(struct zr_cell_config_poller *current)
{
	if (!current)
		return;
	zr_timer_free(current->timer);
	current->freeing = true;
	if (!current->reads_in_flight)
		free_current(current);
}

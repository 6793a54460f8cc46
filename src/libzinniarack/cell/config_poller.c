#include "cell/config_poller.h"

#include <inttypes.h>
#include <stdlib.h>

#include "zinniarack/errors.h"
#include "zinniarack/log.h"

/*
 * A change must be applied within 2 s. A read on a connection that hangs takes
 * 1 s before a new connection is tried.
 */
#define POLL_INTERVAL_MS 400
/* Maximum number of reads in flight. A hanging read must not delay others. */
#define READS_IN_FLIGHT_MAX 3

struct zr_cell_config_poller {
	const struct zr_clock *clock;
	const struct zr_cell_platform *platform;
	zr_cell_config_poller_fn on_change;
	void *ctx;
	struct zr_timer *timer;
	struct zr_cell_config *config;
	bool has_read;
	bool store_reachable;
	struct timespec last_read_sent_at;
	unsigned int reads_in_flight;
	bool freeing;
	struct zr_metric *version;
	struct zr_metric *failures;
};

struct read_call {
	struct zr_cell_config_poller *poller;
	struct timespec sent_at;
};

static void free_poller(struct zr_cell_config_poller *poller)
{
	zr_cell_config_free(poller->config);
	free(poller);
}

static void apply_config(struct zr_cell_config_poller *poller,
			 struct zr_cell_config *config, int64_t read_ms)
{
	struct zr_cell_config *previous = poller->config;

	if (previous && config->version <= previous->version) {
		zr_cell_config_free(config);
		return;
	}
	poller->config = config;
	poller->version->value = (int64_t)config->version;
	zr_log(ZR_LOG_INFO,
	       "config.applied version=%" PRIu64 " before=%" PRIu64
	       " queues=%zu clients=%zu keys=%zu read_ms=%" PRId64,
	       config->version, previous ? previous->version : 0,
	       config->queue_count, config->client_count, config->key_count,
	       read_ms);
	poller->on_change(poller->ctx, config);
	zr_cell_config_free(previous);
}

static void decode_and_apply(struct zr_cell_config_poller *poller,
			     const struct zr_store_value *value,
			     int64_t read_ms)
{
	struct zr_cell_config *config;
	int error = poller->platform->config_decode(&config, value);

	if (!error)
		apply_config(poller, config, read_ms);
	else
		zr_log(ZR_LOG_ERROR,
		       "config.unreadable revision=%" PRId64 " error=%s",
		       value->mod_revision, zr_error_name(error));
}

/* Return -1 before the first successful read. */
static int64_t logged_age_ms(const struct zr_cell_config_poller *poller)
{
	return poller->has_read ? zr_cell_config_poller_age_ms(poller) : -1;
}

static void update_reachable(struct zr_cell_config_poller *poller, int error)
{
	if (error < 0)
		poller->failures->value++;
	if (poller->store_reachable == !error)
		return;
	poller->store_reachable = !error;
	if (error < 0)
		zr_log(ZR_LOG_WARN,
		       "store.unreachable error=%s age_ms=%" PRId64,
		       zr_error_name(error), logged_age_ms(poller));
	else
		zr_log(ZR_LOG_INFO, "store.reachable age_ms=%" PRId64,
		       logged_age_ms(poller));
}

static void on_read(void *ctx, int error, const struct zr_store_reply *reply)
{
	struct read_call *call = ctx;
	struct zr_cell_config_poller *poller = call->poller;
	struct timespec sent_at = call->sent_at;

	free(call);
	poller->reads_in_flight--;
	if (poller->freeing) {
		if (!poller->reads_in_flight)
			free_poller(poller);
		return;
	}
	/* Ignore the failure of a read sent before the last successful one. */
	if (!error || !poller->has_read ||
	    zr_time_cmp(sent_at, poller->last_read_sent_at) > 0)
		update_reachable(poller, error);
	if (error < 0)
		return;
	if (reply->count)
		decode_and_apply(
			poller, &reply->values[0],
			zr_time_diff_ms(zr_clock_now(poller->clock), sent_at));
	if (!poller->has_read ||
	    zr_time_cmp(sent_at, poller->last_read_sent_at) > 0)
		poller->last_read_sent_at = sent_at;
	poller->has_read = true;
}

static void on_poll(void *ctx)
{
	struct zr_cell_config_poller *poller = ctx;
	struct read_call *call;

	if (poller->reads_in_flight >= READS_IN_FLIGHT_MAX)
		return;
	call = calloc(1, sizeof(*call));
	if (!call)
		abort();
	call->poller = poller;
	call->sent_at = zr_clock_now(poller->clock);
	poller->reads_in_flight++;
	zr_store_range(&poller->platform->store, ZR_STORE_CONFIG,
		       poller->platform->config_prefix, false, on_read, call);
}

const struct zr_cell_config *
zr_cell_config_poller_config(const struct zr_cell_config_poller *poller)
{
	return poller->config;
}

int64_t zr_cell_config_poller_age_ms(const struct zr_cell_config_poller *poller)
{
	if (!poller->has_read)
		return INT64_MAX;
	return zr_time_diff_ms(zr_clock_now(poller->clock),
			       poller->last_read_sent_at);
}

int zr_cell_config_poller_new(struct zr_cell_config_poller **out,
			      const struct zr_timers *timers,
			      const struct zr_clock *clock,
			      const struct zr_cell_platform *platform,
			      struct zr_metrics *metrics,
			      zr_cell_config_poller_fn on_change, void *ctx)
{
	struct zr_cell_config_poller *poller = calloc(1, sizeof(*poller));

	if (!poller)
		return ZR_E_NOMEM;
	poller->clock = clock;
	poller->platform = platform;
	poller->on_change = on_change;
	poller->ctx = ctx;
	poller->store_reachable = true;
	poller->version = zr_metrics_get_or_add_gauge(
		metrics, "zinniarack_config_version", NULL,
		"Version of the configuration in force");
	poller->failures = zr_metrics_get_or_add_counter(
		metrics, "zinniarack_config_reads_failed_total", NULL,
		"Reads of the configuration that failed");
	poller->timer = zr_timer_new(timers, on_poll, poller);
	zr_timer_start(poller->timer, 0, POLL_INTERVAL_MS);
	*out = poller;
	return 0;
}

void zr_cell_config_poller_free(struct zr_cell_config_poller *poller)
{
	if (!poller)
		return;
	zr_timer_free(poller->timer);
	poller->freeing = true;
	if (!poller->reads_in_flight)
		free_poller(poller);
}

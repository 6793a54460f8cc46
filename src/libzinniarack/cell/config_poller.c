#include "cell/config_poller.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "zinniarack/errors.h"
#include "zinniarack/log.h"

/*
 * A watch reports a change at once and, when its wait is over, that there was
 * none. It may miss a change, so that the store is also asked at
 * CHECK_INTERVAL_MS whether the revision of the configuration is still the
 * known one. The store sends the configuration only if it is not: it may be
 * large, and links may be thin.
 */
#define WATCH_WAIT_MS 1000
#define CHECK_INTERVAL_MS 3000
/* Time after the end of its wait when a watch counts as failed. */
#define WATCH_OVERDUE_MS 200
/* Clocks may run at different rates, so part of the wait is not counted. */
#define WATCH_COUNTED_PERCENT 95
#define PERCENT 100
/*
 * Interval of checks without a working watch. A change must be applied within
 * 2 s. A call on a connection that hangs takes 1 s before a new connection is
 * tried.
 */
#define POLL_INTERVAL_MS 400
/*
 * The same while a response is arriving. A changed configuration may be on its
 * way, and a check would bring it a second time, over the same link.
 */
#define RECEIVING_INTERVAL_MS 2000
#define TICK_MS 200
/*
 * Maximum number of checks in flight. A hanging one must not delay others.
 * While a response is arriving there is one at most.
 */
#define CHECKS_IN_FLIGHT_MAX 3

struct zr_cell_config_poller {
	const struct zr_clock *clock;
	const struct zr_cell_platform *platform;
	zr_cell_config_poller_fn on_change;
	void *ctx;
	struct zr_timer *timer;
	struct zr_cell_config *config;
	bool has_read;
	bool store_reachable;
	struct timespec confirmed_at;
	struct timespec check_sent_at;
	unsigned int checks_in_flight;
	int64_t config_revision; /* last change of the configuration, 0: none */
	int64_t revision;   /* of the store, known to the last check or watch */
	struct call *watch; /* in flight; NULL: none */
	bool freeing;
	struct zr_metric *version;
	struct zr_metric *failures;
	struct zr_metric *ignored;
};

/* A check, a read or a watch in flight. */
struct call {
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
	poller->ignored->value = (int64_t)config->ignored;
	if (config->ignored)
		zr_log(ZR_LOG_ERROR,
		       "config.entries_ignored version=%" PRIu64
		       " count=%zu first=%s",
		       config->version, config->ignored, config->first_ignored);
	poller->on_change(poller->ctx, config);
	zr_cell_config_free(previous);
}

/* Returns false if the value is not a usable configuration. */
static bool decode_and_apply(struct zr_cell_config_poller *poller,
			     const struct zr_store_value *value,
			     int64_t read_ms)
{
	struct zr_cell_config *config;
	int error = poller->platform->config_decode(&config, value);

	if (error < 0) {
		zr_log(ZR_LOG_ERROR,
		       "config.unreadable revision=%" PRId64 " error=%s",
		       value->mod_revision, zr_error_name(error));
		return false;
	}
	apply_config(poller, config, read_ms);
	if (value->mod_revision > poller->config_revision)
		poller->config_revision = value->mod_revision;
	return true;
}

/* Other keys may begin with the prefix, and a deleted one has no value. */
static bool is_config(const struct zr_cell_config_poller *poller,
		      const struct zr_store_value *value)
{
	return !strcmp(value->key, poller->platform->config_prefix) &&
	       value->data;
}

/* Returns false if the reply has a configuration that is not usable. */
static bool apply_values(struct zr_cell_config_poller *poller,
			 const struct zr_store_reply *reply,
			 struct timespec sent_at)
{
	int64_t read_ms = zr_time_diff_ms(zr_clock_now(poller->clock), sent_at);
	bool usable = true;
	size_t i;

	for (i = 0; i < reply->count; i++) {
		if (is_config(poller, &reply->values[i]))
			usable = decode_and_apply(poller, &reply->values[i],
						  read_ms);
	}
	return usable;
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

/* Ends a call. Returns NULL if the poller is being freed. */
static struct zr_cell_config_poller *finish_call(struct call *call)
{
	struct zr_cell_config_poller *poller = call->poller;

	if (call == poller->watch)
		poller->watch = NULL;
	else
		poller->checks_in_flight--;
	free(call);
	if (!poller->freeing)
		return poller;
	if (!poller->checks_in_flight && !poller->watch)
		free_poller(poller);
	return NULL;
}

/*
 * Notes that the configuration in use was the newest one at @at. A document
 * that is not usable confirms nothing: it may withdraw keys.
 */
static void confirm(struct zr_cell_config_poller *poller, struct timespec at)
{
	if (!poller->has_read || zr_time_cmp(at, poller->confirmed_at) > 0)
		poller->confirmed_at = at;
	poller->has_read = true;
}

static void watch(struct zr_cell_config_poller *poller);
static void check(struct zr_cell_config_poller *poller);
static void read_config(struct zr_cell_config_poller *poller);

/*
 * Goes on after a reply. After a change a check comes first: a watch would
 * bring every change that was made during the transfer, a check the last one.
 */
static void follow(struct zr_cell_config_poller *poller,
		   const struct zr_store_reply *reply)
{
	if (reply->revision > poller->revision)
		poller->revision = reply->revision;
	if (poller->config_revision > poller->revision)
		poller->revision = poller->config_revision;
	if (reply->count)
		check(poller);
	else if (!poller->watch)
		watch(poller);
}

static bool has_config(const struct zr_cell_config_poller *poller,
		       const struct zr_store_reply *reply)
{
	size_t i;

	for (i = 0; i < reply->count; i++) {
		if (is_config(poller, &reply->values[i]))
			return true;
	}
	return false;
}

static void apply_reply(struct zr_cell_config_poller *poller, int error,
			const struct zr_store_reply *reply,
			struct timespec sent_at)
{
	/* Ignore the failure of a call sent before the last successful one. */
	if (!error || !poller->has_read ||
	    zr_time_cmp(sent_at, poller->confirmed_at) > 0)
		update_reachable(poller, error);
	if (error < 0 || !apply_values(poller, reply, sent_at))
		return;
	confirm(poller, sent_at);
	follow(poller, reply);
}

static void on_read(void *ctx, int error, const struct zr_store_reply *reply)
{
	struct call *call = ctx;
	struct timespec sent_at = call->sent_at;
	struct zr_cell_config_poller *poller = finish_call(call);

	if (poller)
		apply_reply(poller, error, reply, sent_at);
}

static void on_checked(void *ctx, int error, const struct zr_store_reply *reply)
{
	struct call *call = ctx;
	struct timespec sent_at = call->sent_at;
	struct zr_cell_config_poller *poller = finish_call(call);

	if (!poller)
		return;
	/* The configuration has been deleted, or the reply leaves it out. */
	if (!error && !reply->succeeded && !has_config(poller, reply))
		read_config(poller);
	else
		apply_reply(poller, error, reply, sent_at);
}

/*
 * The reply of a watch without changes was sent when its wait was over, so it
 * confirms the configuration at that time.
 */
static struct timespec watch_confirmed_at(const struct call *call)
{
	int64_t waited_ms = zr_time_diff_ms(zr_clock_now(call->poller->clock),
					    call->sent_at);

	return waited_ms < WATCH_WAIT_MS
		       ? call->sent_at
		       : zr_time_add_ms(call->sent_at,
					WATCH_WAIT_MS * WATCH_COUNTED_PERCENT /
						PERCENT);
}

static void on_watch(void *ctx, int error, const struct zr_store_reply *reply)
{
	struct call *call = ctx;
	struct timespec sent_at = call->sent_at;
	struct timespec confirmed_at = watch_confirmed_at(call);
	struct zr_cell_config_poller *poller = finish_call(call);

	if (!poller)
		return;
	if (error < 0 || !apply_values(poller, reply, sent_at)) {
		poller->revision = 0;
		return;
	}
	confirm(poller, reply->count ? sent_at : confirmed_at);
	follow(poller, reply);
}

static struct call *new_call(struct zr_cell_config_poller *poller)
{
	struct call *call = calloc(1, sizeof(*call));

	if (!call)
		abort();
	call->poller = poller;
	call->sent_at = zr_clock_now(poller->clock);
	return call;
}

static void watch(struct zr_cell_config_poller *poller)
{
	poller->watch = new_call(poller);
	zr_store_watch(&poller->platform->store,
		       poller->platform->config_prefix, poller->revision,
		       WATCH_WAIT_MS, on_watch, poller->watch);
}

static bool is_receiving(const struct zr_cell_config_poller *poller)
{
	return zr_store_receiving(&poller->platform->store);
}

static bool can_send(const struct zr_cell_config_poller *poller)
{
	return poller->checks_in_flight <
	       (is_receiving(poller) ? 1 : CHECKS_IN_FLIGHT_MAX);
}

/* Counts a check or a read that is about to be sent. */
static struct call *new_check(struct zr_cell_config_poller *poller)
{
	poller->checks_in_flight++;
	poller->check_sent_at = zr_clock_now(poller->clock);
	return new_call(poller);
}

static void read_config(struct zr_cell_config_poller *poller)
{
	if (!can_send(poller))
		return;
	zr_store_range(&poller->platform->store, ZR_STORE_CONFIG,
		       poller->platform->config_prefix, false, on_read,
		       new_check(poller));
}

/*
 * Asks whether the configuration has still the known revision. The reply brings
 * it if it has not.
 */
static void check(struct zr_cell_config_poller *poller)
{
	const struct zr_store_compare compare = {
		poller->platform->config_prefix, poller->config_revision};
	const struct zr_store_txn txn = {&compare, 1, NULL, 0};

	if (!poller->config_revision)
		read_config(poller);
	else if (can_send(poller))
		zr_store_commit(&poller->platform->store, ZR_STORE_CONFIG, &txn,
				on_checked, new_check(poller));
}

/* Whether a watch is in flight that has not failed as far as is known. */
static bool is_watching(const struct zr_cell_config_poller *poller)
{
	return poller->watch && poller->revision &&
	       zr_time_diff_ms(zr_clock_now(poller->clock),
			       poller->watch->sent_at) <
		       WATCH_WAIT_MS + WATCH_OVERDUE_MS;
}

static int64_t check_interval_ms(const struct zr_cell_config_poller *poller)
{
	if (is_watching(poller))
		return CHECK_INTERVAL_MS;
	return is_receiving(poller) ? RECEIVING_INTERVAL_MS : POLL_INTERVAL_MS;
}

static void on_tick(void *ctx)
{
	struct zr_cell_config_poller *poller = ctx;

	if (zr_time_diff_ms(zr_clock_now(poller->clock),
			    poller->check_sent_at) >= check_interval_ms(poller))
		check(poller);
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
			       poller->confirmed_at);
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
	poller->ignored = zr_metrics_get_or_add_gauge(
		metrics, "zinniarack_config_entries_ignored", NULL,
		"Entries of the configuration in force that cannot be used");
	poller->timer = zr_timer_new(timers, on_tick, poller);
	zr_timer_start(poller->timer, 0, TICK_MS);
	*out = poller;
	return 0;
}

void zr_cell_config_poller_free(struct zr_cell_config_poller *poller)
{
	if (!poller)
		return;
	zr_timer_free(poller->timer);
	poller->freeing = true;
	if (!poller->checks_in_flight && !poller->watch)
		free_poller(poller);
}

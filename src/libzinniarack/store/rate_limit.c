#include "store/rate_limit.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "zinniarack/errors.h"

#define TICK_MS 10
#define MS_PER_S 1000
/* Calls per second are then the same number of millitokens per ms. */
#define MILLITOKENS_PER_CALL MS_PER_S
#define LABELS_BYTES_MAX 64 /* with the final NUL */

enum call_kind {
	CALL_READ,
	CALL_WRITE,
	CALL_KIND_COUNT,
};

struct bucket {
	int64_t millitokens;
	int64_t calls_per_s;
};

/* A delayed call, with copies of its arguments. */
struct queued_call {
	struct queued_call *prev;
	struct queued_call *next;
	enum call_kind kind;
	enum zr_store_purpose purpose;
	char *key;
	bool prefix;
	struct zr_store_txn txn;
	zr_store_done_fn done;
	void *ctx;
	struct timespec expires_at;
	bool refused;
};

struct rate_limit {
	struct zr_store inner;
	struct zr_store_rate_limit_options options;
	struct bucket buckets[CALL_KIND_COUNT];
	struct timespec refilled_at;
	struct zr_timer *timer;
	struct queued_call *queues[ZR_STORE_PURPOSE_COUNT];
	unsigned int queued_count;
	struct zr_metric *delayed[ZR_STORE_PURPOSE_COUNT];
	struct zr_metric *refused[ZR_STORE_PURPOSE_COUNT];
};

/* Tokens */

static void refill(struct rate_limit *limit)
{
	struct timespec at = zr_clock_now(limit->options.clock);
	int64_t ms = zr_time_diff_ms(at, limit->refilled_at);
	int64_t full = (int64_t)limit->options.burst * MILLITOKENS_PER_CALL;
	int kind;

	if (ms <= 0)
		return;
	limit->refilled_at = at;
	for (kind = 0; kind < CALL_KIND_COUNT; kind++) {
		struct bucket *bucket = &limit->buckets[kind];

		bucket->millitokens += ms * bucket->calls_per_s *
				       MILLITOKENS_PER_CALL / MS_PER_S;
		if (bucket->millitokens > full)
			bucket->millitokens = full;
	}
}

static bool try_take_token(struct rate_limit *limit, enum call_kind kind)
{
	refill(limit);
	if (limit->buckets[kind].millitokens < MILLITOKENS_PER_CALL)
		return false;
	limit->buckets[kind].millitokens -= MILLITOKENS_PER_CALL;
	return true;
}

/*
 * Calls for ZR_STORE_LEASE, reads too, count as writes and are never delayed.
 * They may leave the bucket below zero, which delays other calls.
 */
static void take_lease_token(struct rate_limit *limit)
{
	refill(limit);
	limit->buckets[CALL_WRITE].millitokens -= MILLITOKENS_PER_CALL;
}

/* Queued calls */

static char *copy_string(const char *text)
{
	char *copy = strdup(text);

	if (!copy)
		abort();
	return copy;
}

static void copy_txn(struct zr_store_txn *out, const struct zr_store_txn *txn)
{
	struct zr_store_compare *compares =
		calloc(txn->compare_count + 1, sizeof(*compares));
	struct zr_store_put *puts = calloc(txn->put_count + 1, sizeof(*puts));
	size_t i;

	if (!compares || !puts)
		abort();
	for (i = 0; i < txn->compare_count; i++) {
		compares[i] = txn->compares[i];
		compares[i].key = copy_string(compares[i].key);
	}
	for (i = 0; i < txn->put_count; i++) {
		puts[i] = txn->puts[i];
		puts[i].key = copy_string(puts[i].key);
		if (!puts[i].data)
			continue;
		puts[i].data = malloc(puts[i].length + 1);
		if (!puts[i].data)
			abort();
		memcpy((void *)puts[i].data, txn->puts[i].data, puts[i].length);
	}
	*out = *txn;
	out->compares = compares;
	out->puts = puts;
}

static void free_call(struct queued_call *call)
{
	size_t i;

	for (i = 0; i < call->txn.compare_count; i++)
		free((char *)call->txn.compares[i].key);
	for (i = 0; i < call->txn.put_count; i++) {
		free((char *)call->txn.puts[i].key);
		free((void *)call->txn.puts[i].data);
	}
	free((void *)call->txn.compares);
	free((void *)call->txn.puts);
	free(call->key);
	free(call);
}

static void increment(struct zr_metric *metric)
{
	if (metric)
		metric->value++;
}

static struct queued_call *enqueue(struct rate_limit *limit,
				   enum call_kind kind,
				   enum zr_store_purpose purpose,
				   zr_store_done_fn done, void *ctx)
{
	struct queued_call *call = calloc(1, sizeof(*call));

	if (!call)
		abort();
	call->kind = kind;
	call->purpose = purpose;
	call->done = done;
	call->ctx = ctx;
	call->expires_at = zr_time_add_ms(zr_clock_now(limit->options.clock),
					  limit->options.max_wait_ms);
	/*
	 * A refused call is queued as well, and fails at the next tick: its
	 * callback must not run before the function that started it returns.
	 */
	call->refused = limit->queued_count >= limit->options.max_waiting;
	limit->queued_count++;
	DL_APPEND(limit->queues[purpose], call);
	increment(call->refused ? limit->refused[purpose]
				: limit->delayed[purpose]);
	zr_timer_start(limit->timer, TICK_MS, TICK_MS);
	return call;
}

static void dequeue(struct rate_limit *limit, struct queued_call *call)
{
	DL_DELETE(limit->queues[call->purpose], call);
	limit->queued_count--;
}

static void send_call(struct rate_limit *limit, struct queued_call *call)
{
	dequeue(limit, call);
	if (call->kind == CALL_READ)
		zr_store_range(&limit->inner, call->purpose, call->key,
			       call->prefix, call->done, call->ctx);
	else
		zr_store_commit(&limit->inner, call->purpose, &call->txn,
				call->done, call->ctx);
	free_call(call);
}

static void end_call(struct rate_limit *limit, struct queued_call *call,
		     int error)
{
	zr_store_done_fn done = call->done;
	void *ctx = call->ctx;

	dequeue(limit, call);
	free_call(call);
	done(ctx, error, NULL);
}

static bool must_fail(const struct rate_limit *limit,
		      const struct queued_call *call)
{
	return call->refused || zr_time_cmp(zr_clock_now(limit->options.clock),
					    call->expires_at) >= 0;
}

/*
 * Fails or sends the first queued call that is due; returns false if none is.
 * Both may change the queues, so each search starts from the beginning.
 */
static bool process_next_call(struct rate_limit *limit)
{
	struct queued_call *call;
	int purpose;

	for (purpose = 0; purpose < ZR_STORE_PURPOSE_COUNT; purpose++) {
		DL_FOREACH(limit->queues[purpose], call)
		{
			if (must_fail(limit, call)) {
				end_call(limit, call, ZR_E_STORE_DOWN);
				return true;
			}
			if (try_take_token(limit, call->kind)) {
				send_call(limit, call);
				return true;
			}
		}
	}
	return false;
}

static void on_tick(void *ctx)
{
	struct rate_limit *limit = ctx;

	while (process_next_call(limit))
		;
	if (!limit->queued_count)
		zr_timer_stop(limit->timer);
}

/* Whether a queued call must be sent before a new one for this purpose. */
static bool has_queued_before(const struct rate_limit *limit,
			      enum zr_store_purpose purpose)
{
	int i;

	for (i = 0; i <= (int)purpose; i++) {
		if (limit->queues[i])
			return true;
	}
	return false;
}

/* Whether a new call may be sent at once. Takes its token if so. */
static bool try_admit(struct rate_limit *limit, enum call_kind kind,
		      enum zr_store_purpose purpose)
{
	if (purpose == ZR_STORE_LEASE) {
		take_lease_token(limit);
		return true;
	}
	return !has_queued_before(limit, purpose) &&
	       try_take_token(limit, kind);
}

/* Operations */

static void limit_range(void *impl, enum zr_store_purpose purpose,
			const char *key, bool prefix, zr_store_done_fn done,
			void *ctx)
{
	struct rate_limit *limit = impl;
	struct queued_call *call;

	if (try_admit(limit, CALL_READ, purpose)) {
		zr_store_range(&limit->inner, purpose, key, prefix, done, ctx);
		return;
	}
	call = enqueue(limit, CALL_READ, purpose, done, ctx);
	call->key = copy_string(key);
	call->prefix = prefix;
}

static void limit_commit(void *impl, enum zr_store_purpose purpose,
			 const struct zr_store_txn *txn, zr_store_done_fn done,
			 void *ctx)
{
	struct rate_limit *limit = impl;
	struct queued_call *call;

	if (try_admit(limit, CALL_WRITE, purpose)) {
		zr_store_commit(&limit->inner, purpose, txn, done, ctx);
		return;
	}
	call = enqueue(limit, CALL_WRITE, purpose, done, ctx);
	copy_txn(&call->txn, txn);
}

static void limit_lease_grant(void *impl, int64_t ttl_ms, zr_store_done_fn done,
			      void *ctx)
{
	struct rate_limit *limit = impl;

	take_lease_token(limit);
	zr_store_lease_grant(&limit->inner, ttl_ms, done, ctx);
}

static void limit_lease_renew(void *impl, int64_t lease, zr_store_done_fn done,
			      void *ctx)
{
	struct rate_limit *limit = impl;

	take_lease_token(limit);
	zr_store_lease_renew(&limit->inner, lease, done, ctx);
}

static void limit_lease_revoke(void *impl, int64_t lease, zr_store_done_fn done,
			       void *ctx)
{
	struct rate_limit *limit = impl;

	take_lease_token(limit);
	zr_store_lease_revoke(&limit->inner, lease, done, ctx);
}

static bool limit_receiving(void *impl)
{
	const struct rate_limit *limit = impl;

	return zr_store_receiving(&limit->inner);
}

static void limit_free(void *impl)
{
	struct rate_limit *limit = impl;
	int purpose;

	zr_timer_free(limit->timer);
	for (purpose = 0; purpose < ZR_STORE_PURPOSE_COUNT; purpose++) {
		while (limit->queues[purpose])
			end_call(limit, limit->queues[purpose], ZR_E_CANCELLED);
	}
	zr_store_free(&limit->inner);
	free(limit);
}

static const struct zr_store_ops limit_ops = {
	.range = limit_range,
	.commit = limit_commit,
	.lease_grant = limit_lease_grant,
	.lease_renew = limit_lease_renew,
	.lease_revoke = limit_lease_revoke,
	.receiving = limit_receiving,
	.free = limit_free,
};

static void register_metrics(struct rate_limit *limit,
			     struct zr_metrics *metrics)
{
	char labels[LABELS_BYTES_MAX];
	int i;

	for (i = 0; i < ZR_STORE_PURPOSE_COUNT; i++) {
		snprintf(labels, sizeof(labels), "purpose=\"%s\"",
			 zr_store_purpose_name(i));
		limit->delayed[i] = zr_metrics_get_or_add_counter(
			metrics, "zinniarack_store_delayed_total", labels,
			"Store calls that waited for the budget.");
		limit->refused[i] = zr_metrics_get_or_add_counter(
			metrics, "zinniarack_store_refused_total", labels,
			"Store calls refused as too many waited.");
	}
}

int zr_store_rate_limit_new(struct zr_store *out, const struct zr_store *inner,
			    const struct zr_store_rate_limit_options *options)
{
	struct rate_limit *limit = calloc(1, sizeof(*limit));

	if (!limit)
		return ZR_E_NOMEM;
	limit->inner = *inner;
	limit->options = *options;
	limit->buckets[CALL_READ].calls_per_s = options->reads_per_s;
	limit->buckets[CALL_WRITE].calls_per_s = options->writes_per_s;
	limit->buckets[CALL_READ].millitokens =
		(int64_t)options->burst * MILLITOKENS_PER_CALL;
	limit->buckets[CALL_WRITE].millitokens =
		(int64_t)options->burst * MILLITOKENS_PER_CALL;
	limit->refilled_at = zr_clock_now(options->clock);
	limit->timer = zr_timer_new(options->timers, on_tick, limit);
	if (options->metrics)
		register_metrics(limit, options->metrics);
	out->ops = &limit_ops;
	out->impl = limit;
	return 0;
}

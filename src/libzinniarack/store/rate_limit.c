#include "store/rate_limit.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "zinniarack/errors.h"

#define TICK_MS 10
#define MS_PER_S 1000
#define TOKEN MS_PER_S
#define LABELS_MAX 64

enum kind {
	KIND_READ,
	KIND_WRITE,
	KINDS,
};

struct bucket {
	int64_t tokens;
	int64_t per_s;
};

/* A call that waits, with copies of what it asks. */
struct waiting {
	struct waiting *prev;
	struct waiting *next;
	enum kind kind;
	enum zr_store_purpose purpose;
	char *key;
	bool prefix;
	struct zr_store_txn txn;
	zr_store_done_fn done;
	void *ctx;
	struct timespec until;
	bool refused;
};

struct budget {
	struct zr_store inner;
	struct zr_store_budget_options options;
	struct bucket buckets[KINDS];
	struct timespec refilled;
	struct zr_timer *timer;
	struct waiting *queues[ZR_STORE_PURPOSES];
	unsigned int count;
	struct zr_metric *delayed[ZR_STORE_PURPOSES];
	struct zr_metric *refused[ZR_STORE_PURPOSES];
};

/* Tokens */

static void refill(struct budget *budget)
{
	struct timespec at = zr_clock_now(budget->options.clock);
	int64_t ms = zr_time_diff_ms(at, budget->refilled);
	int64_t full = (int64_t)budget->options.burst * TOKEN;
	int kind;

	if (ms <= 0)
		return;
	budget->refilled = at;
	for (kind = 0; kind < KINDS; kind++) {
		struct bucket *bucket = &budget->buckets[kind];

		bucket->tokens += ms * bucket->per_s * TOKEN / MS_PER_S;
		if (bucket->tokens > full)
			bucket->tokens = full;
	}
}

static bool take_token(struct budget *budget, enum kind kind)
{
	refill(budget);
	if (budget->buckets[kind].tokens < TOKEN)
		return false;
	budget->buckets[kind].tokens -= TOKEN;
	return true;
}

/* Leases go at once, and leave less for the rest. */
static void take_lease_token(struct budget *budget)
{
	refill(budget);
	budget->buckets[KIND_WRITE].tokens -= TOKEN;
}

/* Waiting calls */

static char *copy_text(const char *text)
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
		compares[i].key = copy_text(compares[i].key);
	}
	for (i = 0; i < txn->put_count; i++) {
		puts[i] = txn->puts[i];
		puts[i].key = copy_text(puts[i].key);
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

static void free_waiting(struct waiting *waiting)
{
	size_t i;

	for (i = 0; i < waiting->txn.compare_count; i++)
		free((char *)waiting->txn.compares[i].key);
	for (i = 0; i < waiting->txn.put_count; i++) {
		free((char *)waiting->txn.puts[i].key);
		free((void *)waiting->txn.puts[i].data);
	}
	free((void *)waiting->txn.compares);
	free((void *)waiting->txn.puts);
	free(waiting->key);
	free(waiting);
}

static void count_up(struct zr_metric *metric)
{
	if (metric)
		metric->value++;
}

static struct waiting *enqueue(struct budget *budget, enum kind kind,
			       enum zr_store_purpose purpose,
			       zr_store_done_fn done, void *ctx)
{
	struct waiting *waiting = calloc(1, sizeof(*waiting));

	if (!waiting)
		abort();
	waiting->kind = kind;
	waiting->purpose = purpose;
	waiting->done = done;
	waiting->ctx = ctx;
	waiting->until = zr_time_add_ms(zr_clock_now(budget->options.clock),
					budget->options.wait_ms);
	/* It is told at the next tick, as a call never ends before it began. */
	waiting->refused = budget->count >= budget->options.waiting_max;
	budget->count++;
	DL_APPEND(budget->queues[purpose], waiting);
	count_up(waiting->refused ? budget->refused[purpose]
				  : budget->delayed[purpose]);
	zr_timer_start(budget->timer, TICK_MS, TICK_MS);
	return waiting;
}

static void dequeue(struct budget *budget, struct waiting *waiting)
{
	DL_DELETE(budget->queues[waiting->purpose], waiting);
	budget->count--;
}

static void send_waiting(struct budget *budget, struct waiting *waiting)
{
	dequeue(budget, waiting);
	if (waiting->kind == KIND_READ)
		zr_store_range(&budget->inner, waiting->purpose, waiting->key,
			       waiting->prefix, waiting->done, waiting->ctx);
	else
		zr_store_commit(&budget->inner, waiting->purpose, &waiting->txn,
				waiting->done, waiting->ctx);
	free_waiting(waiting);
}

static void end_waiting(struct budget *budget, struct waiting *waiting,
			int error)
{
	zr_store_done_fn done = waiting->done;
	void *ctx = waiting->ctx;

	dequeue(budget, waiting);
	free_waiting(waiting);
	done(ctx, error, NULL);
}

static bool over(const struct budget *budget, const struct waiting *waiting)
{
	return waiting->refused ||
	       zr_time_cmp(zr_clock_now(budget->options.clock),
			   waiting->until) >= 0;
}

/* The next call to end or send; sending or ending one may add others. */
static bool serve_one(struct budget *budget)
{
	struct waiting *waiting;
	int purpose;

	for (purpose = 0; purpose < ZR_STORE_PURPOSES; purpose++) {
		DL_FOREACH(budget->queues[purpose], waiting)
		{
			if (over(budget, waiting)) {
				end_waiting(budget, waiting, ZR_E_STORE_DOWN);
				return true;
			}
			if (take_token(budget, waiting->kind)) {
				send_waiting(budget, waiting);
				return true;
			}
		}
	}
	return false;
}

static void on_tick(void *ctx)
{
	struct budget *budget = ctx;

	while (serve_one(budget))
		;
	if (!budget->count)
		zr_timer_stop(budget->timer);
}

static bool anyone_before(const struct budget *budget,
			  enum zr_store_purpose purpose)
{
	int i;

	for (i = 0; i <= (int)purpose; i++) {
		if (budget->queues[i])
			return true;
	}
	return false;
}

static bool may_go(struct budget *budget, enum kind kind,
		   enum zr_store_purpose purpose)
{
	if (purpose == ZR_STORE_LEASE) {
		take_lease_token(budget);
		return true;
	}
	return !anyone_before(budget, purpose) && take_token(budget, kind);
}

/* Operations */

static void budget_range(void *impl, enum zr_store_purpose purpose,
			 const char *key, bool prefix, zr_store_done_fn done,
			 void *ctx)
{
	struct budget *budget = impl;
	struct waiting *waiting;

	if (may_go(budget, KIND_READ, purpose)) {
		zr_store_range(&budget->inner, purpose, key, prefix, done, ctx);
		return;
	}
	waiting = enqueue(budget, KIND_READ, purpose, done, ctx);
	waiting->key = copy_text(key);
	waiting->prefix = prefix;
}

static void budget_commit(void *impl, enum zr_store_purpose purpose,
			  const struct zr_store_txn *txn, zr_store_done_fn done,
			  void *ctx)
{
	struct budget *budget = impl;
	struct waiting *waiting;

	if (may_go(budget, KIND_WRITE, purpose)) {
		zr_store_commit(&budget->inner, purpose, txn, done, ctx);
		return;
	}
	waiting = enqueue(budget, KIND_WRITE, purpose, done, ctx);
	copy_txn(&waiting->txn, txn);
}

static void budget_grant(void *impl, int64_t ttl_ms, zr_store_done_fn done,
			 void *ctx)
{
	struct budget *budget = impl;

	take_lease_token(budget);
	zr_store_lease_grant(&budget->inner, ttl_ms, done, ctx);
}

static void budget_keep(void *impl, int64_t lease, zr_store_done_fn done,
			void *ctx)
{
	struct budget *budget = impl;

	take_lease_token(budget);
	zr_store_lease_keep(&budget->inner, lease, done, ctx);
}

static void budget_revoke(void *impl, int64_t lease, zr_store_done_fn done,
			  void *ctx)
{
	struct budget *budget = impl;

	take_lease_token(budget);
	zr_store_lease_revoke(&budget->inner, lease, done, ctx);
}

static void budget_free(void *impl)
{
	struct budget *budget = impl;
	int purpose;

	zr_timer_free(budget->timer);
	for (purpose = 0; purpose < ZR_STORE_PURPOSES; purpose++) {
		while (budget->queues[purpose])
			end_waiting(budget, budget->queues[purpose],
				    ZR_E_CANCELLED);
	}
	zr_store_free(&budget->inner);
	free(budget);
}

static const struct zr_store_ops budget_ops = {
	.range = budget_range,
	.commit = budget_commit,
	.lease_grant = budget_grant,
	.lease_keep = budget_keep,
	.lease_revoke = budget_revoke,
	.free = budget_free,
};

static void register_metrics(struct budget *budget, struct zr_metrics *metrics)
{
	char labels[LABELS_MAX];
	int i;

	for (i = 0; i < ZR_STORE_PURPOSES; i++) {
		snprintf(labels, sizeof(labels), "purpose=\"%s\"",
			 zr_store_purpose_name(i));
		budget->delayed[i] = zr_metrics_counter(
			metrics, "zinniarack_store_delayed_total", labels,
			"Store calls that waited for the budget.");
		budget->refused[i] = zr_metrics_counter(
			metrics, "zinniarack_store_refused_total", labels,
			"Store calls refused as too many waited.");
	}
}

int zr_store_budget_new(struct zr_store *out, const struct zr_store *inner,
			const struct zr_store_budget_options *options)
{
	struct budget *budget = calloc(1, sizeof(*budget));

	if (!budget)
		return ZR_E_NOMEM;
	budget->inner = *inner;
	budget->options = *options;
	budget->buckets[KIND_READ].per_s = options->reads_per_s;
	budget->buckets[KIND_WRITE].per_s = options->writes_per_s;
	budget->buckets[KIND_READ].tokens = (int64_t)options->burst * TOKEN;
	budget->buckets[KIND_WRITE].tokens = (int64_t)options->burst * TOKEN;
	budget->refilled = zr_clock_now(options->clock);
	budget->timer = zr_timer_new(options->timers, on_tick, budget);
	if (options->metrics)
		register_metrics(budget, options->metrics);
	out->ops = &budget_ops;
	out->impl = budget;
	return 0;
}

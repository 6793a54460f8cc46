#include "store/health.h"

#include <stdlib.h>
#include <utlist.h>

#include "zinniarack/errors.h"

/*
 * A response is overdue when the call has been open for more than this multiple
 * of the smoothed response time, and for more than the minimum.
 */
#define OVERDUE_FACTOR 4
#define OVERDUE_MIN_MS 150
/*
 * A timer that fires so much later shows that the process did not run. With a
 * processor quota, pauses of up to 100 ms are normal.
 */
#define STALL_MIN_MS 200
/* A new sample has a weight of 1/8, as in TCP's round-trip estimate. */
#define SMOOTHING_DIVISOR 8
/*
 * A longer response time counts as this long: it is the time of a transfer, and
 * the next failure must not be noticed later for it.
 */
#define SAMPLE_MAX_MS 1000

struct zr_store_health {
	struct zr_store inner;
	const struct zr_clock *clock;
	struct call *open;  /* calls without a response, oldest first */
	double smoothed_ms; /* response time */
	/* When the latest call that got a response was sent. */
	struct timespec responded_sent_at;
	struct timespec resumed_at;
	bool failing;
	struct timespec failing_since;
	unsigned int open_count; /* callbacks to come or in progress */
	bool freeing;
};

struct call {
	struct call *prev;
	struct call *next;
	struct zr_store_health *health;
	struct timespec sent_at;
	zr_store_done_fn done;
	void *ctx;
};

static int64_t age_ms(const struct zr_store_health *health,
		      struct timespec since)
{
	return zr_time_diff_ms(zr_clock_now(health->clock), since);
}

/* Whether a call sent at the same time or later has got a response. */
static bool is_superseded(const struct zr_store_health *health,
			  const struct call *call)
{
	return zr_time_cmp(call->sent_at, health->responded_sent_at) <= 0;
}

static void record_result(struct zr_store_health *health,
			  const struct call *call, int error)
{
	bool failed = error == ZR_E_STORE_DOWN || error == ZR_E_OUTCOME_UNKNOWN;
	int64_t sample_ms = age_ms(health, call->sent_at);

	if (error == ZR_E_CANCELLED || is_superseded(health, call))
		return;
	if (failed) {
		if (!health->failing)
			health->failing_since = call->sent_at;
		health->failing = true;
		return;
	}
	health->responded_sent_at = call->sent_at;
	health->failing = false;
	if (sample_ms > SAMPLE_MAX_MS)
		sample_ms = SAMPLE_MAX_MS;
	health->smoothed_ms +=
		((double)sample_ms - health->smoothed_ms) / SMOOTHING_DIVISOR;
}

static void on_done(void *ctx, int error, const struct zr_store_reply *reply)
{
	struct call *call = ctx;
	struct zr_store_health *health = call->health;
	zr_store_done_fn done = call->done;
	void *done_ctx = call->ctx;

	DL_DELETE(health->open, call);
	record_result(health, call, error);
	free(call);
	done(done_ctx, error, reply);
	if (!--health->open_count && health->freeing)
		free(health);
}

static struct call *begin_call(struct zr_store_health *health,
			       zr_store_done_fn done, void *ctx)
{
	struct call *call = calloc(1, sizeof(*call));

	if (!call)
		abort();
	call->health = health;
	call->sent_at = zr_clock_now(health->clock);
	call->done = done;
	call->ctx = ctx;
	DL_APPEND(health->open, call);
	health->open_count++;
	return call;
}

static void health_range(void *impl, enum zr_store_purpose purpose,
			 const char *key, bool prefix, zr_store_done_fn done,
			 void *ctx)
{
	struct zr_store_health *health = impl;

	zr_store_range(&health->inner, purpose, key, prefix, on_done,
		       begin_call(health, done, ctx));
}

static void health_commit(void *impl, enum zr_store_purpose purpose,
			  const struct zr_store_txn *txn, zr_store_done_fn done,
			  void *ctx)
{
	struct zr_store_health *health = impl;

	zr_store_commit(&health->inner, purpose, txn, on_done,
			begin_call(health, done, ctx));
}

static void health_lease_grant(void *impl, int64_t ttl_ms,
			       zr_store_done_fn done, void *ctx)
{
	struct zr_store_health *health = impl;

	zr_store_lease_grant(&health->inner, ttl_ms, on_done,
			     begin_call(health, done, ctx));
}

static void health_lease_renew(void *impl, int64_t lease, zr_store_done_fn done,
			       void *ctx)
{
	struct zr_store_health *health = impl;

	zr_store_lease_renew(&health->inner, lease, on_done,
			     begin_call(health, done, ctx));
}

static void health_lease_revoke(void *impl, int64_t lease,
				zr_store_done_fn done, void *ctx)
{
	struct zr_store_health *health = impl;

	zr_store_lease_revoke(&health->inner, lease, on_done,
			      begin_call(health, done, ctx));
}

static void health_watch(void *impl, const char *prefix, int64_t after_revision,
			 unsigned int wait_ms, zr_store_done_fn done, void *ctx)
{
	struct zr_store_health *health = impl;

	zr_store_watch(&health->inner, prefix, after_revision, wait_ms, done,
		       ctx);
}

static bool health_receiving(void *impl)
{
	const struct zr_store_health *health = impl;

	return zr_store_receiving(&health->inner);
}

static void health_free(void *impl)
{
	struct zr_store_health *health = impl;

	health->freeing = true;
	/* Callbacks run in zr_store_free(); none of them may free health. */
	health->open_count++;
	zr_store_free(&health->inner);
	if (!--health->open_count)
		free(health);
}

static const struct zr_store_ops health_ops = {
	.range = health_range,
	.commit = health_commit,
	.lease_grant = health_lease_grant,
	.lease_renew = health_lease_renew,
	.lease_revoke = health_lease_revoke,
	.watch = health_watch,
	.receiving = health_receiving,
	.free = health_free,
};

/* The time for which this process could have read the response. */
static int64_t waited_ms(const struct zr_store_health *health,
			 const struct call *call)
{
	int64_t since_resumed_ms = age_ms(health, health->resumed_at);
	int64_t open_ms = age_ms(health, call->sent_at);

	return open_ms < since_resumed_ms ? open_ms : since_resumed_ms;
}

static int64_t overdue_ms(const struct zr_store_health *health)
{
	int64_t limit_ms = (int64_t)(health->smoothed_ms * OVERDUE_FACTOR);
	const struct call *call = health->open;
	int64_t open_ms;

	/* The own link is busy with a response: the store is not away. */
	if (zr_store_receiving(&health->inner))
		return 0;
	/*
	 * A call without a response says nothing about the connection if a
	 * later call got one.
	 */
	while (call && is_superseded(health, call))
		call = call->next;
	open_ms = call ? waited_ms(health, call) : 0;
	return open_ms > limit_ms && open_ms > OVERDUE_MIN_MS ? open_ms : 0;
}

int64_t zr_store_health_suspect_ms(const struct zr_store_health *health)
{
	int64_t waiting_ms = overdue_ms(health);
	int64_t failing_ms = 0;

	/* At least 1 ms, since 0 would mean that the connection is fine. */
	if (health->failing)
		failing_ms = age_ms(health, health->failing_since) + 1;
	return waiting_ms > failing_ms ? waiting_ms : failing_ms;
}

void zr_store_health_resumed(struct zr_store_health *health)
{
	health->resumed_at = zr_clock_now(health->clock);
}

bool zr_store_health_is_stall(int64_t late_ms)
{
	return late_ms >= STALL_MIN_MS;
}

int zr_store_health_new(struct zr_store_health **out,
			struct zr_store *out_store,
			const struct zr_store *inner,
			const struct zr_clock *clock)
{
	struct zr_store_health *health = calloc(1, sizeof(*health));

	if (!health)
		return ZR_E_NOMEM;
	health->inner = *inner;
	health->clock = clock;
	out_store->ops = &health_ops;
	out_store->impl = health;
	*out = health;
	return 0;
}

#include "store/health.h"

#include <stdlib.h>
#include <utlist.h>

#include "zinniarack/errors.h"

/* An answer is overdue after this multiple of the usual time, and at least: */
#define OVERDUE_FACTOR 4
#define OVERDUE_MIN_MS 150
/* Share of a new answer time in the smoothed one: an eighth, as for TCP. */
#define SMOOTHING 8

struct zr_store_health {
	struct zr_store inner;
	const struct zr_clock *clock;
	struct call *open; /* the oldest first */
	double usual_ms;
	struct timespec answered; /* when the latest answered call was sent */
	bool failing;
	struct timespec failing_since;
	unsigned int open_count;
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

static int64_t age_ms(const struct zr_store_health *health, struct timespec t)
{
	return zr_time_diff_ms(zr_clock_now(health->clock), t);
}

/* Whether a call was sent before one that has been answered since. */
static bool outdated(const struct zr_store_health *health,
		     const struct call *call)
{
	return zr_time_cmp(call->sent_at, health->answered) <= 0;
}

static void note(struct zr_store_health *health, const struct call *call,
		 int error)
{
	bool failed = error == ZR_E_STORE_DOWN || error == ZR_E_OUTCOME_UNKNOWN;

	if (error == ZR_E_CANCELLED || outdated(health, call))
		return;
	if (failed) {
		if (!health->failing)
			health->failing_since = call->sent_at;
		health->failing = true;
		return;
	}
	health->answered = call->sent_at;
	health->failing = false;
	health->usual_ms +=
		((double)age_ms(health, call->sent_at) - health->usual_ms) /
		SMOOTHING;
}

static void on_done(void *ctx, int error, const struct zr_store_reply *reply)
{
	struct call *call = ctx;
	struct zr_store_health *health = call->health;
	zr_store_done_fn done = call->done;
	void *done_ctx = call->ctx;

	DL_DELETE(health->open, call);
	note(health, call, error);
	free(call);
	done(done_ctx, error, reply);
	if (!--health->open_count && health->freeing)
		free(health);
}

static struct call *new_call(struct zr_store_health *health,
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
		       new_call(health, done, ctx));
}

static void health_commit(void *impl, enum zr_store_purpose purpose,
			  const struct zr_store_txn *txn, zr_store_done_fn done,
			  void *ctx)
{
	struct zr_store_health *health = impl;

	zr_store_commit(&health->inner, purpose, txn, on_done,
			new_call(health, done, ctx));
}

static void health_grant(void *impl, int64_t ttl_ms, zr_store_done_fn done,
			 void *ctx)
{
	struct zr_store_health *health = impl;

	zr_store_lease_grant(&health->inner, ttl_ms, on_done,
			     new_call(health, done, ctx));
}

static void health_keep(void *impl, int64_t lease, zr_store_done_fn done,
			void *ctx)
{
	struct zr_store_health *health = impl;

	zr_store_lease_renew(&health->inner, lease, on_done,
			     new_call(health, done, ctx));
}

static void health_revoke(void *impl, int64_t lease, zr_store_done_fn done,
			  void *ctx)
{
	struct zr_store_health *health = impl;

	zr_store_lease_revoke(&health->inner, lease, on_done,
			      new_call(health, done, ctx));
}

static void health_watch(void *impl, const char *prefix, int64_t after,
			 unsigned int wait_ms, zr_store_done_fn done, void *ctx)
{
	struct zr_store_health *health = impl;

	zr_store_watch(&health->inner, prefix, after, wait_ms, done, ctx);
}

static void health_free(void *impl)
{
	struct zr_store_health *health = impl;

	health->freeing = true;
	health->open_count++;
	zr_store_free(&health->inner);
	if (!--health->open_count)
		free(health);
}

static const struct zr_store_ops health_ops = {
	.range = health_range,
	.commit = health_commit,
	.lease_grant = health_grant,
	.lease_renew = health_keep,
	.lease_revoke = health_revoke,
	.watch = health_watch,
	.free = health_free,
};

static int64_t waits_ms(const struct zr_store_health *health)
{
	int64_t overdue = (int64_t)(health->usual_ms * OVERDUE_FACTOR);
	const struct call *call = health->open;
	int64_t waits;

	/* One lost answer among others says nothing of the way. */
	while (call && outdated(health, call))
		call = call->next;
	waits = call ? age_ms(health, call->sent_at) : 0;
	return waits > overdue && waits > OVERDUE_MIN_MS ? waits : 0;
}

int64_t zr_store_health_suspect_ms(const struct zr_store_health *health)
{
	int64_t waits = waits_ms(health);
	int64_t fails = 0;

	/* A failure of this very moment counts too. */
	if (health->failing)
		fails = age_ms(health, health->failing_since) + 1;
	return waits > fails ? waits : fails;
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

#include "domain/owner.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "zinniarack/charts.h"
#include "zinniarack/errors.h"
#include "zinniarack/job.h"
#include "zinniarack/log.h"

#define LEASE_MS 2000
#define RENEW_MS 500
#define STANDBY_POLL_MS 250
#define CLOCK_RATE_MARGIN_MS 100
#define KEY_MAX (ZR_NAME_MAX + 32)
#define EPOCH_TEXT_MAX 24

struct zr_owner {
	const struct zr_clock *clock;
	const struct zr_store *store;
	char name[ZR_NAME_MAX];
	char domain[ZR_NAME_MAX];
	char prefix[KEY_MAX];
	char owner_key[KEY_MAX];
	char epoch_key[KEY_MAX];
	char released_key[KEY_MAX];
	struct zr_owner_events events;
	void *ctx;
	struct zr_timer *timer;
	int state; /* enum zr_ownership_state */
	unsigned int open_calls;
	bool freeing;
	int64_t lease;
	struct timespec call_sent;
	struct timespec lease_until;
	uint64_t epoch;
	int64_t epoch_revision;
	uint64_t released_epoch;
	int64_t guard;
	void (*released)(void *ctx);
	void *released_ctx;
};

/* Whether the owner is still there to take the answer of its open call. */
static bool take_answer(struct zr_owner *owner)
{
	owner->open_calls--;
	if (!owner->freeing)
		return true;
	if (!owner->open_calls)
		free(owner);
	return false;
}

static void open_call(struct zr_owner *owner)
{
	owner->open_calls++;
	owner->call_sent = zr_clock_now(owner->clock);
}

/* The store counts from a later moment than the call's sending. */
static void extend_lease(struct zr_owner *owner)
{
	owner->lease_until = zr_time_add_ms(owner->call_sent,
					    LEASE_MS - CLOCK_RATE_MARGIN_MS);
}

static void step(struct zr_owner *owner, enum zr_ownership_event event)
{
	zr_chart_step(&owner->state, zr_charts()->ownership, event);
}

static void set_tick(struct zr_owner *owner, unsigned int after_ms)
{
	zr_timer_start(owner->timer, after_ms,
		       owner->state == ZR_OWNERSHIP_OWNING ? RENEW_MS
							   : STANDBY_POLL_MS);
}

static void step_down(struct zr_owner *owner, const char *reason)
{
	bool owned = owner->state == ZR_OWNERSHIP_OWNING;

	if (owned)
		step(owner, ZR_OWNERSHIP_LOST);
	else if (owner->state == ZR_OWNERSHIP_CAMPAIGNING)
		step(owner, ZR_OWNERSHIP_NOT_WON);
	owner->lease = 0;
	set_tick(owner, STANDBY_POLL_MS);
	if (!owned)
		return;
	zr_log(ZR_LOG_WARN, "domain.lost domain=%s epoch=%" PRIu64 " reason=%s",
	       owner->domain, owner->epoch, reason);
	owner->events.lost(owner->ctx);
}

/* Campaign */

static void on_campaign(void *ctx, int error,
			const struct zr_store_reply *reply)
{
	struct zr_owner *owner = ctx;
	struct zr_owner_gain gain = {0};

	if (!take_answer(owner) || owner->state != ZR_OWNERSHIP_CAMPAIGNING)
		return;
	if (error < 0 || !reply->succeeded) {
		/* An unknown outcome shows at the next read of the keys. */
		step(owner, ZR_OWNERSHIP_NOT_WON);
		return;
	}
	gain.handed_over = owner->released_epoch == owner->epoch;
	gain.epoch = ++owner->epoch;
	gain.guard = reply->revision;
	step(owner, ZR_OWNERSHIP_WON);
	owner->guard = gain.guard;
	set_tick(owner, RENEW_MS);
	zr_log(ZR_LOG_INFO,
	       "domain.gained domain=%s epoch=%" PRIu64 " handed_over=%d",
	       owner->domain, owner->epoch, gain.handed_over);
	owner->events.gained(owner->ctx, &gain);
}

static void campaign(struct zr_owner *owner)
{
	char epoch[EPOCH_TEXT_MAX];
	const struct zr_store_compare compares[] = {
		{owner->owner_key, 0},
		{owner->epoch_key, owner->epoch_revision},
	};
	const struct zr_store_put puts[] = {
		{owner->owner_key, owner->name, strlen(owner->name),
		 owner->lease},
		{owner->epoch_key, epoch,
		 (size_t)snprintf(epoch, sizeof(epoch), "%" PRIu64,
				  owner->epoch + 1),
		 0},
	};
	const struct zr_store_txn txn = {compares, 2, puts, 2};

	/* The lease runs since its grant was sent. */
	owner->open_calls++;
	zr_store_commit(owner->store, ZR_STORE_LEASE, &txn, on_campaign, owner);
}

static void on_granted(void *ctx, int error, const struct zr_store_reply *reply)
{
	struct zr_owner *owner = ctx;

	if (!take_answer(owner) || owner->state != ZR_OWNERSHIP_CAMPAIGNING)
		return;
	if (error < 0) {
		step(owner, ZR_OWNERSHIP_NOT_WON);
		return;
	}
	owner->lease = reply->lease;
	extend_lease(owner);
	campaign(owner);
}

static void on_keys(void *ctx, int error, const struct zr_store_reply *reply)
{
	struct zr_owner *owner = ctx;
	bool owned = false;
	size_t i;

	if (!take_answer(owner) || owner->state != ZR_OWNERSHIP_STANDBY ||
	    error < 0)
		return;
	owner->epoch = 0;
	owner->epoch_revision = 0;
	owner->released_epoch = 0;
	for (i = 0; i < reply->count; i++) {
		const struct zr_store_value *value = &reply->values[i];

		if (!strcmp(value->key, owner->owner_key)) {
			owned = true;
		} else if (!strcmp(value->key, owner->epoch_key)) {
			owner->epoch = strtoull(value->data, NULL, 10);
			owner->epoch_revision = value->mod_revision;
		} else if (!strcmp(value->key, owner->released_key)) {
			owner->released_epoch = strtoull(value->data, NULL, 10);
		}
	}
	if (owned)
		return;
	step(owner, ZR_OWNERSHIP_VACANT);
	open_call(owner);
	zr_store_lease_grant(owner->store, LEASE_MS, on_granted, owner);
}

/* Renewal */

static void on_kept(void *ctx, int error, const struct zr_store_reply *reply)
{
	struct zr_owner *owner = ctx;

	if (!take_answer(owner) || owner->state != ZR_OWNERSHIP_OWNING)
		return;
	if (error == ZR_E_NOT_FOUND || (!error && reply->ttl_ms <= 0))
		step_down(owner, "lease_ended");
	else if (!error)
		extend_lease(owner);
}

enum zr_owner_standing zr_owner_standing(const struct zr_owner *owner)
{
	int64_t past;

	if (owner->state != ZR_OWNERSHIP_OWNING)
		return ZR_OWNER_NONE;
	past = zr_time_diff_ms(zr_clock_now(owner->clock), owner->lease_until);
	if (past < 0)
		return ZR_OWNER_HELD;
	return past < ZR_OWNER_UNRENEWED_MS ? ZR_OWNER_UNRENEWED
					    : ZR_OWNER_NONE;
}

static void on_tick(void *ctx)
{
	struct zr_owner *owner = ctx;

	if (owner->state == ZR_OWNERSHIP_OWNING &&
	    zr_owner_standing(owner) == ZR_OWNER_NONE)
		step_down(owner, "unrenewed");
	if (owner->open_calls)
		return;
	if (owner->state == ZR_OWNERSHIP_STANDBY) {
		open_call(owner);
		zr_store_range(owner->store, ZR_STORE_LEASE, owner->prefix,
			       true, on_keys, owner);
	} else if (owner->state == ZR_OWNERSHIP_OWNING) {
		open_call(owner);
		zr_store_lease_keep(owner->store, owner->lease, on_kept, owner);
	}
}

int zr_owner_new(struct zr_owner **out, const struct zr_timers *timers,
		 const struct zr_clock *clock, const struct zr_store *store,
		 const char *domain, const char *name,
		 const struct zr_owner_events *events, void *ctx)
{
	struct zr_owner *owner = calloc(1, sizeof(*owner));

	if (!owner)
		return ZR_E_NOMEM;
	owner->clock = clock;
	owner->store = store;
	owner->events = *events;
	owner->ctx = ctx;
	snprintf(owner->name, sizeof(owner->name), "%s", name);
	snprintf(owner->domain, sizeof(owner->domain), "%s", domain);
	snprintf(owner->prefix, KEY_MAX, "zr/domain/%s/lead/", domain);
	snprintf(owner->owner_key, KEY_MAX, "zr/domain/%s/lead/owner", domain);
	snprintf(owner->epoch_key, KEY_MAX, "zr/domain/%s/lead/epoch", domain);
	snprintf(owner->released_key, KEY_MAX, "zr/domain/%s/lead/released",
		 domain);
	owner->timer = zr_timer_new(timers, on_tick, owner);
	set_tick(owner, 0);
	*out = owner;
	return 0;
}

uint64_t zr_owner_epoch(const struct zr_owner *owner)
{
	return owner->state == ZR_OWNERSHIP_OWNING ? owner->epoch : 0;
}

const char *zr_owner_key(const struct zr_owner *owner)
{
	return owner->owner_key;
}

void zr_owner_give_up(struct zr_owner *owner)
{
	step_down(owner, "another_owner");
}

/* Release */

static void on_revoked(void *ctx, int error, const struct zr_store_reply *reply)
{
	struct zr_owner *owner = ctx;
	void (*released)(void *ctx) = owner->released;
	void *released_ctx = owner->released_ctx;

	(void)error;
	(void)reply;
	if (take_answer(owner))
		released(released_ctx);
}

static void on_released(void *ctx, int error,
			const struct zr_store_reply *reply)
{
	struct zr_owner *owner = ctx;

	(void)reply;
	if (error == ZR_E_CANCELLED) {
		on_revoked(owner, error, NULL);
		return;
	}
	/* Without the mark, the next owner waits longer, and is as safe. */
	zr_store_lease_revoke(owner->store, owner->lease, on_revoked, owner);
}

/* Gives up the key and says so in one transaction. */
static void send_release(struct zr_owner *owner)
{
	char epoch[EPOCH_TEXT_MAX];
	int length = snprintf(epoch, sizeof(epoch), "%" PRIu64, owner->epoch);
	const struct zr_store_compare compare = {owner->owner_key,
						 owner->guard};
	const struct zr_store_put puts[] = {
		{owner->owner_key, NULL, 0, 0},
		{owner->released_key, epoch, (size_t)length, 0},
	};
	const struct zr_store_txn txn = {&compare, 1, puts, 2};

	owner->open_calls++;
	zr_store_commit(owner->store, ZR_STORE_LEASE, &txn, on_released, owner);
}

void zr_owner_release(struct zr_owner *owner, void (*done)(void *ctx),
		      void *ctx)
{
	bool owned = owner->state == ZR_OWNERSHIP_OWNING;
	int64_t lease = owner->lease;

	step_down(owner, "released");
	step(owner, ZR_OWNERSHIP_RELEASE);
	zr_timer_stop(owner->timer);
	if (!owned) {
		done(ctx);
		return;
	}
	owner->lease = lease;
	owner->released = done;
	owner->released_ctx = ctx;
	send_release(owner);
}

void zr_owner_free(struct zr_owner *owner)
{
	if (!owner)
		return;
	zr_timer_free(owner->timer);
	owner->timer = NULL;
	owner->freeing = true;
	if (!owner->open_calls)
		free(owner);
}

#include "domain/owner.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "zinniarack/errors.h"
#include "zinniarack/job.h"
#include "zinniarack/log.h"

#define LEASE_MS 2000
#define TICK_MS 500
#define KEY_MAX (ZR_NAME_MAX + 32)
#define EPOCH_TEXT_MAX 24

enum owner_state {
	OWNER_STANDBY,
	OWNER_CAMPAIGNING,
	OWNER_OWNING,
	OWNER_RELEASED,
};

struct zr_owner {
	const struct zr_clock *clock;
	const struct zr_store *store;
	char name[ZR_NAME_MAX];
	char domain[ZR_NAME_MAX];
	char prefix[KEY_MAX];
	char owner_key[KEY_MAX];
	char epoch_key[KEY_MAX];
	struct zr_owner_events events;
	void *ctx;
	struct zr_timer *timer;
	enum owner_state state;
	bool call_open;
	int64_t lease;
	uint64_t epoch;
	int64_t epoch_revision;
	void (*released)(void *ctx);
	void *released_ctx;
};

static void step_down(struct zr_owner *owner, const char *reason)
{
	bool owned = owner->state == OWNER_OWNING;

	owner->state = OWNER_STANDBY;
	owner->lease = 0;
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

	owner->call_open = false;
	if (owner->state != OWNER_CAMPAIGNING)
		return;
	if (error < 0 || !reply->succeeded) {
		/* An unknown outcome shows at the next read of the keys. */
		owner->state = OWNER_STANDBY;
		return;
	}
	owner->state = OWNER_OWNING;
	owner->epoch++;
	zr_log(ZR_LOG_INFO, "domain.gained domain=%s epoch=%" PRIu64,
	       owner->domain, owner->epoch);
	owner->events.gained(owner->ctx, owner->epoch, reply->revision);
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

	owner->call_open = true;
	zr_store_commit(owner->store, ZR_STORE_LEASE, &txn, on_campaign, owner);
}

static void on_granted(void *ctx, int error, const struct zr_store_reply *reply)
{
	struct zr_owner *owner = ctx;

	owner->call_open = false;
	if (owner->state != OWNER_CAMPAIGNING)
		return;
	if (error < 0) {
		owner->state = OWNER_STANDBY;
		return;
	}
	owner->lease = reply->lease;
	campaign(owner);
}

static void on_keys(void *ctx, int error, const struct zr_store_reply *reply)
{
	struct zr_owner *owner = ctx;
	bool owned = false;
	size_t i;

	owner->call_open = false;
	if (owner->state != OWNER_STANDBY || error < 0)
		return;
	owner->epoch = 0;
	owner->epoch_revision = 0;
	for (i = 0; i < reply->count; i++) {
		const struct zr_store_value *value = &reply->values[i];

		if (!strcmp(value->key, owner->owner_key)) {
			owned = true;
		} else if (!strcmp(value->key, owner->epoch_key)) {
			owner->epoch = strtoull(value->data, NULL, 10);
			owner->epoch_revision = value->mod_revision;
		}
	}
	if (owned)
		return;
	owner->state = OWNER_CAMPAIGNING;
	owner->call_open = true;
	zr_store_lease_grant(owner->store, LEASE_MS, on_granted, owner);
}

/* Renewal */

static void on_kept(void *ctx, int error, const struct zr_store_reply *reply)
{
	struct zr_owner *owner = ctx;

	owner->call_open = false;
	if (owner->state != OWNER_OWNING)
		return;
	if (error == ZR_E_NOT_FOUND || (!error && reply->ttl_ms <= 0))
		step_down(owner, "lease_ended");
	/* Other errors: the workers' fencing keeps a later owner apart. */
}

static void on_tick(void *ctx)
{
	struct zr_owner *owner = ctx;

	if (owner->call_open)
		return;
	if (owner->state == OWNER_STANDBY) {
		owner->call_open = true;
		zr_store_range(owner->store, ZR_STORE_LEASE, owner->prefix,
			       true, on_keys, owner);
	} else if (owner->state == OWNER_OWNING) {
		owner->call_open = true;
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
	owner->timer = zr_timer_new(timers, on_tick, owner);
	zr_timer_start(owner->timer, 0, TICK_MS);
	*out = owner;
	return 0;
}

uint64_t zr_owner_epoch(const struct zr_owner *owner)
{
	return owner->state == OWNER_OWNING ? owner->epoch : 0;
}

const char *zr_owner_key(const struct zr_owner *owner)
{
	return owner->owner_key;
}

void zr_owner_give_up(struct zr_owner *owner)
{
	step_down(owner, "another_owner");
}

static void on_revoked(void *ctx, int error, const struct zr_store_reply *reply)
{
	struct zr_owner *owner = ctx;

	(void)error;
	(void)reply;
	owner->released(owner->released_ctx);
}

void zr_owner_release(struct zr_owner *owner, void (*done)(void *ctx),
		      void *ctx)
{
	int64_t lease = owner->lease;

	step_down(owner, "released");
	owner->state = OWNER_RELEASED;
	zr_timer_stop(owner->timer);
	if (!lease) {
		done(ctx);
		return;
	}
	owner->released = done;
	owner->released_ctx = ctx;
	zr_store_lease_revoke(owner->store, lease, on_revoked, owner);
}

void zr_owner_free(struct zr_owner *owner)
{
	if (!owner)
		return;
	zr_timer_free(owner->timer);
	free(owner);
}

#include "domain/owner.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "zinniarack/charts.h"
#include "zinniarack/errors.h"
#include "zinniarack/job.h"
#include "zinniarack/log.h"

/*
 * Longest time that a watch call stays open. A longer wait would not be cheaper
 * for the store, but a broken watch would be noticed later.
 */
#define WATCH_WAIT_MS 2000
/*
 * The lease is treated as expired this much earlier, as the clocks of this host
 * and of the store may run at different rates.
 */
#define CLOCK_RATE_MARGIN_MS 100
#define KEY_MAX (ZR_NAME_MAX + 32)
#define EPOCH_TEXT_MAX 24
#define UNUSED_TEXT_MAX 48

/**
 * struct zr_owner - this process's part in the election
 * @prefix: prefix of the four keys below
 * @owner_key: names the owner; attached to its lease
 * @epoch_key: epoch of the last term
 * @released_key: last epoch whose owner released the domain
 * @unused_key: last epoch whose owner gave the domain back unused, and the
 *	number of such terms in a row
 * @holder: owner at the last read, or ""
 * @holder_revision: revision of @owner_key as @holder wrote it; if there is no
 *	owner, that of the read which showed it; 0: not read yet
 * @leftover_revision: revision of an owner key left by an earlier process of
 *	this host, 0 if there is none; a campaign replaces that key
 * @open_calls: number of store calls in flight, including the watch and
 *	renewals
 * @open_renewals: number of renewals in flight
 * @watching: whether a watch is in flight
 * @vacant: whether the last read found no owner
 * @vacant_since: time of the first of the consecutive reads without an owner
 * @watch_revision: store revision of the last read; the watch starts after it
 * @freeing: zr_owner_free() was called; the last call in flight frees this
 * @lease: id of the store lease, 0 if there is none
 * @call_sent_at: time at which the last read or grant was sent
 * @lease_expires_at: time until which @lease is certain to be valid
 * @epoch: epoch of the last term; while this process is the owner, that of its
 *	own term
 * @epoch_revision: revision of @epoch_key, which a campaign compares
 * @released_epoch: value of @released_key
 * @unused_terms: number of consecutive terms, up to that of @epoch, whose
 *	owners gave the domain back unused; does not count the own term
 * @owner_revision: revision of @owner_key as written by this process
 * @given_back_revision: @owner_revision of the last term given back unused; the
 *	key with this revision is not replaced
 * @given_back_lease: lease of that term
 * @release_done: @done of zr_owner_release(); called with @release_ctx
 */
struct zr_owner {
	struct zr_owner_options options;
	const struct zr_clock *clock;
	const struct zr_store *store;
	char name[ZR_NAME_MAX];
	char domain[ZR_NAME_MAX];
	char prefix[KEY_MAX];
	char owner_key[KEY_MAX];
	char epoch_key[KEY_MAX];
	char released_key[KEY_MAX];
	char unused_key[KEY_MAX];
	char holder[ZR_NAME_MAX];
	int64_t holder_revision;
	int64_t leftover_revision;
	struct zr_owner_events events;
	void *ctx;
	struct zr_timer *timer;
	int state; /* enum zr_ownership_state */
	unsigned int open_calls;
	unsigned int open_renewals;
	bool watching;
	bool vacant;
	struct timespec vacant_since;
	int64_t watch_revision;
	bool freeing;
	int64_t lease;
	struct timespec call_sent_at;
	struct timespec lease_expires_at;
	uint64_t epoch;
	int64_t epoch_revision;
	uint64_t released_epoch;
	unsigned int unused_terms;
	int64_t owner_revision;
	int64_t given_back_revision;
	int64_t given_back_lease;
	void (*release_done)(void *ctx);
	void *release_ctx;
};

static void read_keys(struct zr_owner *owner);
static void watch(struct zr_owner *owner);

/*
 * Counts a call as ended. Returns false if zr_owner_free() was called; the
 * caller must then not use @owner any more.
 */
static bool call_ended(struct zr_owner *owner)
{
	owner->open_calls--;
	if (!owner->freeing)
		return true;
	if (!owner->open_calls)
		free(owner);
	return false;
}

/* Counts a call that is about to be sent and notes the time. */
static void open_call(struct zr_owner *owner)
{
	owner->open_calls++;
	owner->call_sent_at = zr_clock_now(owner->clock);
}

/*
 * Extends the lease by its TTL, counted from @sent_at. The store counts the TTL
 * from a later time, so the lease does not expire there before it does here.
 */
static void extend_lease(struct zr_owner *owner, struct timespec sent_at)
{
	struct timespec until = zr_time_add_ms(
		sent_at, owner->options.lease_ms - CLOCK_RATE_MARGIN_MS);

	if (zr_time_cmp(until, owner->lease_expires_at) > 0)
		owner->lease_expires_at = until;
}

static void apply_event(struct zr_owner *owner, enum zr_ownership_event event)
{
	zr_chart_step(&owner->state, zr_charts()->ownership, event);
}

static void start_timer(struct zr_owner *owner, unsigned int after_ms)
{
	zr_timer_start(owner->timer, after_ms,
		       owner->state == ZR_OWNERSHIP_OWNING
			       ? owner->options.renew_ms
			       : owner->options.poll_ms);
}

static void step_down(struct zr_owner *owner, const char *reason)
{
	bool owned = owner->state == ZR_OWNERSHIP_OWNING;

	if (owned)
		apply_event(owner, ZR_OWNERSHIP_EVENT_LOST);
	else if (owner->state == ZR_OWNERSHIP_CAMPAIGNING)
		apply_event(owner, ZR_OWNERSHIP_EVENT_NOT_WON);
	owner->lease = 0;
	start_timer(owner, owner->options.poll_ms);
	if (!owned)
		return;
	zr_log(ZR_LOG_WARN, "domain.lost domain=%s epoch=%" PRIu64 " reason=%s",
	       owner->domain, owner->epoch, reason);
	owner->events.lost(owner->ctx);
}

/* Campaign */

static void on_campaign_committed(void *ctx, int error,
				  const struct zr_store_reply *reply)
{
	struct zr_owner *owner = ctx;
	struct zr_owner_term term = {0};

	if (!call_ended(owner) || owner->state != ZR_OWNERSHIP_CAMPAIGNING)
		return;
	if (error < 0 || !reply->succeeded) {
		/* If the outcome is unknown, the next read shows it. */
		apply_event(owner, ZR_OWNERSHIP_EVENT_NOT_WON);
		return;
	}
	term.handed_over = owner->released_epoch == owner->epoch;
	term.unused_terms = owner->unused_terms;
	term.epoch = ++owner->epoch;
	term.owner_revision = reply->revision;
	apply_event(owner, ZR_OWNERSHIP_EVENT_WON);
	owner->vacant = false;
	owner->owner_revision = term.owner_revision;
	snprintf(owner->holder, sizeof(owner->holder), "%s", owner->name);
	owner->holder_revision = owner->owner_revision;
	start_timer(owner, owner->options.renew_ms);
	zr_log(ZR_LOG_INFO,
	       "domain.gained domain=%s epoch=%" PRIu64
	       " handed_over=%d succeeds_itself=%d",
	       owner->domain, owner->epoch, term.handed_over,
	       owner->leftover_revision != 0);
	owner->events.gained(owner->ctx, &term);
}

static void campaign(struct zr_owner *owner)
{
	char epoch[EPOCH_TEXT_MAX];
	const struct zr_store_compare compares[] = {
		{owner->owner_key, owner->leftover_revision},
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

	/*
	 * Not open_call(), which would note the time: the lease counts from
	 * when its grant was sent.
	 */
	owner->open_calls++;
	zr_store_commit(owner->store, ZR_STORE_LEASE, &txn,
			on_campaign_committed, owner);
}

static void on_granted(void *ctx, int error, const struct zr_store_reply *reply)
{
	struct zr_owner *owner = ctx;

	if (!call_ended(owner) || owner->state != ZR_OWNERSHIP_CAMPAIGNING)
		return;
	if (error < 0) {
		apply_event(owner, ZR_OWNERSHIP_EVENT_NOT_WON);
		return;
	}
	owner->lease = reply->lease;
	owner->lease_expires_at = (struct timespec){0, 0};
	extend_lease(owner, owner->call_sent_at);
	campaign(owner);
}

/* Whether the owner key was left by a process of this host that crashed. */
static bool is_own_leftover(const struct zr_owner *owner,
			    const struct zr_store_value *value)
{
	return owner->options.single_instance &&
	       value->mod_revision != owner->given_back_revision &&
	       value->length == strlen(owner->name) &&
	       !memcmp(value->data, owner->name, value->length);
}

static void on_watched(void *ctx, int error, const struct zr_store_reply *reply)
{
	struct zr_owner *owner = ctx;

	(void)reply;
	owner->watching = false;
	if (!call_ended(owner) || owner->state != ZR_OWNERSHIP_STANDBY)
		return;
	/* After an error, the next poll reads the keys. */
	if (!error)
		read_keys(owner);
}

static void watch(struct zr_owner *owner)
{
	if (!owner->options.watch || owner->watching)
		return;
	owner->watching = true;
	owner->open_calls++;
	zr_store_watch(owner->store, owner->prefix, owner->watch_revision,
		       WATCH_WAIT_MS, on_watched, owner);
}

/*
 * If better suited hosts should get the domain first, sets the timer for a
 * later campaign and returns true.
 */
static bool delay_campaign(struct zr_owner *owner)
{
	unsigned int delay_ms =
		owner->events.campaign_delay_ms && !owner->leftover_revision
			? owner->events.campaign_delay_ms(owner->ctx)
			: 0;
	struct timespec now = zr_clock_now(owner->clock);
	int64_t remaining_ms;

	if (!owner->vacant)
		owner->vacant_since = now;
	owner->vacant = true;
	remaining_ms = delay_ms - zr_time_diff_ms(now, owner->vacant_since);
	if (remaining_ms <= 0)
		return false;
	start_timer(owner, (unsigned int)remaining_ms);
	return true;
}

/* The number of unused terms, if the last of them had the epoch @epoch. */
static unsigned int parse_unused(const struct zr_store_value *value,
				 uint64_t epoch)
{
	char text[UNUSED_TEXT_MAX];
	uint64_t last = 0;
	unsigned int terms = 0;

	snprintf(text, sizeof(text), "%.*s", (int)value->length,
		 (const char *)value->data);
	if (sscanf(text, "%" SCNu64 " %u", &last, &terms) != 2 || last != epoch)
		return 0;
	return terms;
}

void zr_owner_reconsider(struct zr_owner *owner)
{
	if (owner->state == ZR_OWNERSHIP_STANDBY && owner->vacant &&
	    !owner->open_calls && !delay_campaign(owner))
		start_timer(owner, 0);
}

static void on_keys(void *ctx, int error, const struct zr_store_reply *reply)
{
	struct zr_owner *owner = ctx;
	const struct zr_store_value *unused = NULL;
	bool has_owner = false;
	size_t i;

	if (!call_ended(owner) || owner->state != ZR_OWNERSHIP_STANDBY ||
	    error < 0)
		return;
	owner->watch_revision = reply->revision;
	owner->leftover_revision = 0;
	owner->holder[0] = '\0';
	owner->holder_revision = reply->revision;
	owner->epoch = 0;
	owner->epoch_revision = 0;
	owner->released_epoch = 0;
	for (i = 0; i < reply->count; i++) {
		const struct zr_store_value *value = &reply->values[i];

		if (!strcmp(value->key, owner->owner_key)) {
			has_owner = !is_own_leftover(owner, value);
			snprintf(owner->holder, sizeof(owner->holder), "%.*s",
				 (int)value->length, (const char *)value->data);
			owner->holder_revision = value->mod_revision;
			if (!has_owner)
				owner->leftover_revision = value->mod_revision;
		} else if (!strcmp(value->key, owner->epoch_key)) {
			owner->epoch = strtoull(value->data, NULL, 10);
			owner->epoch_revision = value->mod_revision;
		} else if (!strcmp(value->key, owner->released_key)) {
			owner->released_epoch = strtoull(value->data, NULL, 10);
		} else if (!strcmp(value->key, owner->unused_key)) {
			unused = value;
		}
	}
	owner->unused_terms = unused ? parse_unused(unused, owner->epoch) : 0;
	if (has_owner) {
		owner->vacant = false;
		watch(owner);
		return;
	}
	if (delay_campaign(owner))
		return;
	apply_event(owner, ZR_OWNERSHIP_EVENT_VACANT);
	open_call(owner);
	zr_store_lease_grant(owner->store, owner->options.lease_ms, on_granted,
			     owner);
}

static void read_keys(struct zr_owner *owner)
{
	open_call(owner);
	zr_store_range(owner->store, ZR_STORE_LEASE, owner->prefix, true,
		       on_keys, owner);
}

/* Renewal */

/* A lease renewal in flight; @sent_at and @lease as of its sending. */
struct renewal {
	struct zr_owner *owner;
	struct timespec sent_at;
	int64_t lease;
};

static void on_renewed(void *ctx, int error, const struct zr_store_reply *reply)
{
	struct renewal *renewal = ctx;
	struct zr_owner *owner = renewal->owner;
	struct timespec sent_at = renewal->sent_at;
	int64_t lease = renewal->lease;

	free(renewal);
	owner->open_renewals--;
	if (!call_ended(owner) || owner->state != ZR_OWNERSHIP_OWNING ||
	    lease != owner->lease)
		return;
	if (error == ZR_E_NOT_FOUND || (!error && reply->ttl_ms <= 0))
		step_down(owner, "lease_ended");
	else if (!error)
		extend_lease(owner, sent_at);
}

static void renew(struct zr_owner *owner)
{
	struct renewal *renewal;

	if (owner->open_renewals >= owner->options.renewals_max)
		return;
	renewal = calloc(1, sizeof(*renewal));
	if (!renewal)
		abort();
	renewal->owner = owner;
	renewal->sent_at = zr_clock_now(owner->clock);
	renewal->lease = owner->lease;
	owner->open_renewals++;
	owner->open_calls++;
	zr_store_lease_renew(owner->store, owner->lease, on_renewed, renewal);
}

enum zr_owner_lease_state zr_owner_lease_state(const struct zr_owner *owner)
{
	int64_t expired_ms;

	if (owner->state != ZR_OWNERSHIP_OWNING)
		return ZR_OWNER_LEASE_NONE;
	expired_ms = zr_time_diff_ms(zr_clock_now(owner->clock),
				     owner->lease_expires_at);
	if (expired_ms < 0)
		return ZR_OWNER_LEASE_VALID;
	return expired_ms < ZR_OWNER_GRACE_MS ? ZR_OWNER_LEASE_UNCONFIRMED
					      : ZR_OWNER_LEASE_NONE;
}

static void on_tick(void *ctx)
{
	struct zr_owner *owner = ctx;

	if (owner->state == ZR_OWNERSHIP_OWNING &&
	    zr_owner_lease_state(owner) == ZR_OWNER_LEASE_NONE)
		step_down(owner, "unrenewed");
	if (owner->state == ZR_OWNERSHIP_OWNING)
		renew(owner);
	else if (owner->state == ZR_OWNERSHIP_STANDBY && !owner->open_calls)
		read_keys(owner);
}

int zr_owner_new(struct zr_owner **out, const struct zr_timers *timers,
		 const struct zr_clock *clock, const struct zr_store *store,
		 const char *domain, const char *name,
		 const struct zr_owner_options *options,
		 const struct zr_owner_events *events, void *ctx)
{
	static const struct zr_owner_options defaults = ZR_OWNER_OPTIONS_INIT;
	struct zr_owner *owner = calloc(1, sizeof(*owner));

	if (!owner)
		return ZR_E_NOMEM;
	owner->options = options ? *options : defaults;
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
	snprintf(owner->unused_key, KEY_MAX, "zr/domain/%s/lead/unused",
		 domain);
	owner->timer = zr_timer_new(timers, on_tick, owner);
	start_timer(owner, 0);
	*out = owner;
	return 0;
}

uint64_t zr_owner_epoch(const struct zr_owner *owner)
{
	return owner->state == ZR_OWNERSHIP_OWNING ? owner->epoch : 0;
}

const char *zr_owner_holder(const struct zr_owner *owner)
{
	return owner->holder;
}

int64_t zr_owner_holder_revision(const struct zr_owner *owner)
{
	return owner->holder_revision;
}

const char *zr_owner_key(const struct zr_owner *owner)
{
	return owner->owner_key;
}

void zr_owner_step_down(struct zr_owner *owner)
{
	step_down(owner, "another_owner");
}

/* Giving back */

static void on_given_back_revoked(void *ctx, int error,
				  const struct zr_store_reply *reply)
{
	(void)error;
	(void)reply;
	/* If this failed, the lease expires. */
	call_ended(ctx);
}

static void on_given_back(void *ctx, int error,
			  const struct zr_store_reply *reply)
{
	struct zr_owner *owner = ctx;

	if (!call_ended(owner) || error == ZR_E_CANCELLED)
		return;
	if (error < 0 || !reply->succeeded)
		zr_log(ZR_LOG_WARN,
		       "domain.give_back_failed domain=%s error=%s",
		       owner->domain,
		       error < 0 ? zr_error_name(error) : "another_owner");
	owner->open_calls++;
	zr_store_lease_revoke(owner->store, owner->given_back_lease,
			      on_given_back_revoked, owner);
}

/* Deletes the owner key and writes @key, then goes on competing. */
static void give_back(struct zr_owner *owner, const char *key, const char *text,
		      const char *reason)
{
	const struct zr_store_compare compare = {owner->owner_key,
						 owner->owner_revision};
	const struct zr_store_put puts[] = {
		{owner->owner_key, NULL, 0, 0},
		{key, text, strlen(text), 0},
	};
	const struct zr_store_txn txn = {&compare, 1, puts, 2};

	owner->given_back_revision = owner->owner_revision;
	if (owner->state != ZR_OWNERSHIP_OWNING)
		return;
	owner->given_back_lease = owner->lease;
	step_down(owner, reason);
	owner->open_calls++;
	zr_store_commit(owner->store, ZR_STORE_LEASE, &txn, on_given_back,
			owner);
}

void zr_owner_give_back(struct zr_owner *owner)
{
	char unused[UNUSED_TEXT_MAX];

	snprintf(unused, sizeof(unused), "%" PRIu64 " %u", owner->epoch,
		 owner->unused_terms + 1);
	give_back(owner, owner->unused_key, unused, "not_loaded");
}

void zr_owner_hand_over(struct zr_owner *owner)
{
	char epoch[EPOCH_TEXT_MAX];

	snprintf(epoch, sizeof(epoch), "%" PRIu64, owner->epoch);
	give_back(owner, owner->released_key, epoch, "handed_over");
}

/* Release */

static void on_revoked(void *ctx, int error, const struct zr_store_reply *reply)
{
	struct zr_owner *owner = ctx;
	void (*release_done)(void *ctx) = owner->release_done;
	void *release_ctx = owner->release_ctx;

	(void)error;
	(void)reply;
	if (call_ended(owner))
		release_done(release_ctx);
}

static void on_released(void *ctx, int error,
			const struct zr_store_reply *reply)
{
	struct zr_owner *owner = ctx;

	(void)reply;
	/* The store is being freed, so no further call may be sent. */
	if (error == ZR_E_CANCELLED) {
		on_revoked(owner, error, NULL);
		return;
	}
	/*
	 * If the release was not recorded, the next owner only waits longer.
	 * Revoking the lease deletes the owner key in any case.
	 */
	zr_store_lease_revoke(owner->store, owner->lease, on_revoked, owner);
}

/* Deletes the owner key and records the release in one transaction. */
static void send_release(struct zr_owner *owner)
{
	char epoch[EPOCH_TEXT_MAX];
	int length = snprintf(epoch, sizeof(epoch), "%" PRIu64, owner->epoch);
	const struct zr_store_compare compare = {owner->owner_key,
						 owner->owner_revision};
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
	apply_event(owner, ZR_OWNERSHIP_EVENT_RELEASE);
	zr_timer_stop(owner->timer);
	if (!owned) {
		done(ctx);
		return;
	}
	/* step_down() has cleared the lease, which remains to be revoked. */
	owner->lease = lease;
	owner->release_done = done;
	owner->release_ctx = ctx;
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

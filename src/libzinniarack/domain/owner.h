#ifndef ZR_DOMAIN_OWNER_H
#define ZR_DOMAIN_OWNER_H

#include <stdbool.h>
#include <stdint.h>

#include "zinniarack/clock.h"
#include "zinniarack/store.h"
#include "zinniarack/timer.h"

/**
 * DOC: Ownership of a failure domain
 *
 * The schedulers of a failure domain compete for one key in the store that
 * hangs on a lease. Each change of owner raises the domain's epoch in the same
 * transaction, so no two owners ever have one epoch.
 */

struct zr_owner;

/** How long an owner goes on under its epoch when its store lease has ended. */
#define ZR_OWNER_UNRENEWED_MS 900000

/**
 * enum zr_owner_standing - what an owner may do now, by its own clock
 * @ZR_OWNER_NONE: nothing
 * @ZR_OWNER_UNRENEWED: its store lease may have ended: it may send only to
 *	workers that fence
 * @ZR_OWNER_HELD: its store lease holds
 */
enum zr_owner_standing {
	ZR_OWNER_NONE,
	ZR_OWNER_UNRENEWED,
	ZR_OWNER_HELD,
};

/**
 * struct zr_owner_gain - an ownership just gained
 * @epoch: its epoch
 * @guard: the revision that journal commits compare with the owner key
 * @handed_over: the owner before has released it and sends no more
 */
struct zr_owner_gain {
	uint64_t epoch;
	int64_t guard;
	bool handed_over;
};

/**
 * struct zr_owner_events - what the owner's module tells
 * @gained: this process owns the domain
 * @lost: it does so no more
 * @delay_ms: how long to leave a vacant domain to hosts that suit better; NULL:
 *	not at all
 */
struct zr_owner_events {
	void (*gained)(void *ctx, const struct zr_owner_gain *gain);
	void (*lost)(void *ctx);
	unsigned int (*delay_ms)(void *ctx);
};

/**
 * struct zr_owner_options - how to compete
 * @version: ZR_OWNER_OPTIONS_VERSION
 * @lease_ms: length of the owner's lease in the store
 * @renew_ms: how often it is renewed
 * @renewals_max: renewals open at once; a lost answer must not end the lease
 * @poll_ms: how often a standby looks whether there is an owner
 * @watch: standbys watch the owner key and poll only when the watch fails
 * @one_process: a host runs one process that competes, so an owner of this
 *	host's name is a process that has ended, and is succeeded at once
 */
struct zr_owner_options {
	unsigned int version;
	unsigned int lease_ms;
	unsigned int renew_ms;
	unsigned int renewals_max;
	unsigned int poll_ms;
	bool watch;
	bool one_process;
};

#define ZR_OWNER_OPTIONS_VERSION 1
#define ZR_OWNER_OPTIONS_INIT                                             \
	{                                                                 \
		ZR_OWNER_OPTIONS_VERSION, 2000, 500, 1, 250, false, false \
	}

/**
 * zr_owner_new() - compete for a failure domain
 * @out: to be freed with zr_owner_free()
 * @timers: where timers come from
 * @clock: the clock
 * @store: the store, kept by reference
 * @domain: the failure domain
 * @name: this host's name
 * @options: how to compete, NULL for the defaults
 * @events: called with @ctx
 * @ctx: passed to @events
 *
 * Return: 0 or ZR_E_NOMEM.
 */
int zr_owner_new(struct zr_owner **out, const struct zr_timers *timers,
		 const struct zr_clock *clock, const struct zr_store *store,
		 const char *domain, const char *name,
		 const struct zr_owner_options *options,
		 const struct zr_owner_events *events, void *ctx);

/** zr_owner_epoch() - the epoch while this process owns it, else 0 */
uint64_t zr_owner_epoch(const struct zr_owner *owner);

/** zr_owner_standing() - what it may do at this moment; ask before each send */
enum zr_owner_standing zr_owner_standing(const struct zr_owner *owner);

/**
 * zr_owner_holder() - name of the host that owned the domain when last read
 *
 * Return: "" when nobody did.
 */
const char *zr_owner_holder(const struct zr_owner *owner);

/** zr_owner_key() - the key that journal commits compare */
const char *zr_owner_key(const struct zr_owner *owner);

/** zr_owner_give_up() - step down after proof of another owner */
void zr_owner_give_up(struct zr_owner *owner);

/**
 * zr_owner_release() - end the ownership so that another host takes over now
 * @owner: the owner
 * @done: called once the store has answered or the call has failed
 * @ctx: passed to @done
 */
void zr_owner_release(struct zr_owner *owner, void (*done)(void *ctx),
		      void *ctx);

/** zr_owner_free() - stop; memory is freed once the open call has ended */
void zr_owner_free(struct zr_owner *owner);

#endif

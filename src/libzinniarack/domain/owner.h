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
 * Leader election between the schedulers of a failure domain. The owner is the
 * scheduler that has written the owner key; the key is attached to a store
 * lease, so the store deletes it when the owner stops renewing the lease. The
 * transaction that writes the owner key also increments the domain's epoch, so
 * no two ownerships share an epoch. Workers use the epoch as a fencing token.
 */

struct zr_owner;

/** Time for which an owner keeps its epoch after its store lease expired. */
#define ZR_OWNER_GRACE_MS 900000

/**
 * enum zr_owner_lease_state - state of the ownership lease by the local clock
 * @ZR_OWNER_LEASE_NONE: not the owner, or the grace period has passed: no call
 *	may be sent to a worker
 * @ZR_OWNER_LEASE_UNCONFIRMED: the store lease may have expired: calls may be
 *	sent only to workers that reject lower epochs
 * @ZR_OWNER_LEASE_VALID: the store lease is valid: calls may be sent to all
 *	workers
 */
enum zr_owner_lease_state {
	ZR_OWNER_LEASE_NONE,
	ZR_OWNER_LEASE_UNCONFIRMED,
	ZR_OWNER_LEASE_VALID,
};

/**
 * struct zr_owner_term - a term of ownership that has just started
 * @epoch: epoch of the term
 * @owner_revision: store revision of the owner key during the term; writes
 *	that must fail after the term compare the key with it
 * @handed_over: whether the previous owner released the domain, and so sends
 *	nothing more to workers
 * @unused_terms: number of terms directly before this one that ended with
 *	zr_owner_give_back(), by any host
 */
struct zr_owner_term {
	uint64_t epoch;
	int64_t owner_revision;
	bool handed_over;
	unsigned int unused_terms;
};

/**
 * struct zr_owner_events - callbacks
 * @gained: this process has become the owner
 * @lost: this process is no longer the owner
 * @campaign_delay_ms: returns for how many milliseconds a domain must have had
 *	no owner before this process competes for it, so that better suited
 *	hosts get it first; NULL for no delay
 */
struct zr_owner_events {
	void (*gained)(void *ctx, const struct zr_owner_term *term);
	void (*lost)(void *ctx);
	unsigned int (*campaign_delay_ms)(void *ctx);
};

/**
 * struct zr_owner_options - timing of the election
 * @version: ZR_OWNER_OPTIONS_VERSION
 * @lease_ms: TTL of the owner's store lease, in milliseconds
 * @renew_ms: interval of lease renewals, in milliseconds
 * @renewals_max: renewal calls that may be in flight at once; with more than
 *	one, a lost response does not cause the lease to expire
 * @poll_ms: interval at which a standby reads the owner key, in milliseconds
 * @watch: whether a standby watches the owner key, to notice its deletion at
 *	once; it then polls only while no watch is open
 * @single_instance: whether at most one process per host competes. An owner key
 *	with this host's name is then left over from a process that has exited,
 *	and is replaced without waiting for its lease to expire
 */
struct zr_owner_options {
	unsigned int version;
	unsigned int lease_ms;
	unsigned int renew_ms;
	unsigned int renewals_max;
	unsigned int poll_ms;
	bool watch;
	bool single_instance;
};

#define ZR_OWNER_OPTIONS_VERSION 1
#define ZR_OWNER_OPTIONS_INIT                                             \
	{                                                                 \
		ZR_OWNER_OPTIONS_VERSION, 2000, 500, 1, 250, false, false \
	}

/**
 * zr_owner_new() - start to compete for a failure domain
 * @out: the new object; free it with zr_owner_free()
 * @timers: timer factory
 * @clock: clock that lease times are measured with
 * @store: store; must outlive the object
 * @domain: name of the failure domain
 * @name: name of this host, written to the owner key
 * @options: timing, NULL for ZR_OWNER_OPTIONS_INIT
 * @events: callbacks; copied
 * @ctx: passed to @events
 *
 * Return: 0 or ZR_E_NOMEM.
 */
int zr_owner_new(struct zr_owner **out, const struct zr_timers *timers,
		 const struct zr_clock *clock, const struct zr_store *store,
		 const char *domain, const char *name,
		 const struct zr_owner_options *options,
		 const struct zr_owner_events *events, void *ctx);

/** zr_owner_epoch() - epoch of the current term, 0 if not the owner */
uint64_t zr_owner_epoch(const struct zr_owner *owner);

/**
 * zr_owner_lease_state() - check the ownership lease against the clock
 * @owner: the object
 *
 * Must be called before each call to a worker, since the lease may expire at
 * any moment.
 *
 * Return: the current state of the lease.
 */
enum zr_owner_lease_state zr_owner_lease_state(const struct zr_owner *owner);

/**
 * zr_owner_holder() - name of the host that owned the domain at the last read
 * @owner: the object
 *
 * Return: the name, or "" if the domain had no owner.
 */
const char *zr_owner_holder(const struct zr_owner *owner);

/**
 * zr_owner_holder_revision() - bound for what the present owner has written
 * @owner: the object
 *
 * Return: a store revision: what a former owner has written is not newer, and
 * what the holder writes is. 0 if the keys have not been read yet.
 */
int64_t zr_owner_holder_revision(const struct zr_owner *owner);

/** zr_owner_key() - store key of the owner, for comparison in transactions */
const char *zr_owner_key(const struct zr_owner *owner);

/** zr_owner_step_down() - step down because another owner was detected */
void zr_owner_step_down(struct zr_owner *owner);

/**
 * zr_owner_reconsider() - the campaign delay may have changed
 * @owner: the object
 *
 * If the domain has no owner and this process waits before it competes for it,
 * it waits for the rest of the new delay.
 */
void zr_owner_reconsider(struct zr_owner *owner);

/**
 * zr_owner_give_back() - give up a domain that was never put to use
 * @owner: the object
 *
 * For an owner that could not load the domain's state: it deletes the owner key
 * and goes on competing, after its campaign delay. It counts the unused term in
 * the store, for &struct zr_owner_term.unused_terms. If the term has just been
 * lost, only makes sure that its key is not replaced without waiting for its
 * lease to expire.
 */
void zr_owner_give_back(struct zr_owner *owner);

/**
 * zr_owner_hand_over() - leave the domain to a host that suits better
 * @owner: the object
 *
 * Deletes the owner key and records the release, as zr_owner_release() does,
 * but goes on competing, after its campaign delay.
 */
void zr_owner_hand_over(struct zr_owner *owner);

/**
 * zr_owner_release() - hand the domain over and stop competing
 * @owner: the object
 * @done: called once, when the store has responded or the call has failed
 * @ctx: passed to @done
 *
 * Deletes the owner key and records in the store that this epoch was released.
 * The next owner then knows that no more leases are granted under this epoch.
 */
void zr_owner_release(struct zr_owner *owner, void (*done)(void *ctx),
		      void *ctx);

/** zr_owner_free() - stop competing; frees once calls in flight have ended */
void zr_owner_free(struct zr_owner *owner);

#endif

#ifndef ZR_ROUTE_SLOT_ESCROW_H
#define ZR_ROUTE_SLOT_ESCROW_H

#include <stdbool.h>
#include <stdint.h>

#include "zinniarack/clock.h"
#include "zinniarack/job.h"

/**
 * DOC: Escrow of slots
 *
 * The scheduler's account of who may use the slots of the workers of its
 * domain. An entry daemon reports with each ask what it still holds; slots it
 * has not given back, or for which its last grant could still be in use, are
 * granted to nobody else.
 *
 * A new owner of the domain knows no earlier grants. Until the last of them
 * must have lapsed it regrants only slots that entry daemons report to hold.
 */

/** A grant serves new requests for this long after it was asked for. */
#define ZR_GRANT_LEASE_MS 10000
/** No request on a granted slot may take longer. */
#define ZR_GRANT_REQUEST_MS_MAX 10000
/** Allowance for clocks of unlike rates over one grant. */
#define ZR_GRANT_CLOCK_MARGIN_MS 500
/** From an answer until no request on its grants can be in progress. */
#define ZR_GRANT_HOLD_MS \
	(ZR_GRANT_LEASE_MS + ZR_GRANT_REQUEST_MS_MAX + ZR_GRANT_CLOCK_MARGIN_MS)

struct zr_slot_escrow;

/**
 * struct zr_slot_demand - slots an entry daemon could use for a service
 * @service: the service
 * @slots: how many at its peak since the last ask
 */
struct zr_slot_demand {
	const char *service;
	uint32_t slots;
};

/**
 * struct zr_slot_held - what an entry daemon holds of a worker
 * @worker: the worker
 * @slots: slots it may still use, or uses
 */
struct zr_slot_held {
	const char *worker;
	uint32_t slots;
};

/**
 * struct zr_slot_request - an entry daemon's ask
 * @entry: name of its host
 * @local: whether it stands in the scheduler's failure domain
 * @incarnation: which run of the daemon; a new run holds nothing of the old
 * @sequence: rises with each ask of an incarnation
 * @leaving: it is to get nothing more
 * @demand: per service
 * @demand_count: how many
 * @held: all that it holds
 * @held_count: how many
 */
struct zr_slot_request {
	const char *entry;
	bool local;
	uint64_t incarnation;
	uint64_t sequence;
	bool leaving;
	const struct zr_slot_demand *demand;
	size_t demand_count;
	const struct zr_slot_held *held;
	size_t held_count;
};

int zr_slot_escrow_new(struct zr_slot_escrow **out,
		       const struct zr_clock *clock);

/**
 * zr_slot_escrow_begin_term() - begin an ownership with nothing granted
 * @escrow: the escrow
 * @recover: an earlier owner may have granted slots
 */
void zr_slot_escrow_begin_term(struct zr_slot_escrow *escrow, bool recover);

/** zr_slot_escrow_clear_capacity() - no worker has slots until it is listed
 * again */
void zr_slot_escrow_clear_capacity(struct zr_slot_escrow *escrow);

/**
 * zr_slot_escrow_set_capacity() - how many slots a worker has for new grants
 * @escrow: the escrow
 * @worker: the worker
 * @slots: 0 withdraws what is granted on it
 */
void zr_slot_escrow_set_capacity(struct zr_slot_escrow *escrow,
				 const char *worker, uint32_t slots);

/**
 * zr_slot_escrow_process_request() - take an ask; the grants that answer it
 * follow
 * @out_holder: who asked, for zr_slot_escrow_grant()
 * @escrow: the escrow
 * @ask: the ask
 *
 * Return: 0, or ZR_E_CONFLICT for an ask older than one taken before.
 */
int zr_slot_escrow_process_request(uint32_t *out_holder,
				   struct zr_slot_escrow *escrow,
				   const struct zr_slot_request *ask);

/**
 * zr_slot_escrow_grant() - the slots of a worker that an asker may use
 * @escrow: the escrow
 * @holder: who asked
 * @worker: the worker
 * @services: services that run on it
 * @service_count: how many
 *
 * Return: the slots; fewer than it holds means: give the others back.
 */
uint32_t zr_slot_escrow_grant(struct zr_slot_escrow *escrow, uint32_t holder,
			      const char *worker, const char *const *services,
			      size_t service_count);

/** zr_slot_escrow_outstanding() - slots of a worker that may be in use */
uint32_t zr_slot_escrow_outstanding(struct zr_slot_escrow *escrow,
				    const char *worker);

void zr_slot_escrow_free(struct zr_slot_escrow *escrow);

#endif

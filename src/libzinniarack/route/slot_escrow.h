#ifndef ZR_ROUTE_SLOT_ESCROW_H
#define ZR_ROUTE_SLOT_ESCROW_H

#include <stdbool.h>
#include <stdint.h>

#include "zinniarack/clock.h"
#include "zinniarack/job.h"

/**
 * DOC: Escrow of slots
 *
 * Used by the scheduler of a failure domain to divide the slots of the domain's
 * workers among the entry daemons. Escrow means that a slot is reserved for one
 * entry daemon, which then uses it without asking the scheduler.
 *
 * With each grant request, an entry daemon reports the slots that it still
 * holds. A slot is granted to another entry daemon only after its holder has
 * returned it, or after every use of its last grant must have ended.
 *
 * A new owner of the domain doesn't know the grants of earlier owners. Until
 * those must have expired, it grants only slots that entry daemons report to
 * hold; this phase is called recovery.
 */

/** Lease of a grant, counted by the entry daemon from its request. */
#define ZR_GRANT_LEASE_MS 10000
/** Maximum duration of a short request on a granted slot. */
#define ZR_GRANT_REQUEST_MS_MAX 10000
/** Margin for hosts whose clocks run at different rates. */
#define ZR_GRANT_CLOCK_MARGIN_MS 500
/** Time after a grant until no short request on its slots can be running. */
#define ZR_GRANT_HOLD_MS \
	(ZR_GRANT_LEASE_MS + ZR_GRANT_REQUEST_MS_MAX + ZR_GRANT_CLOCK_MARGIN_MS)

struct zr_slot_escrow;

/**
 * struct zr_slot_demand - slots that an entry daemon could use for a service
 * @service: name of the service
 * @slots: peak number since its last grant request
 */
struct zr_slot_demand {
	const char *service;
	uint32_t slots;
};

/**
 * struct zr_slot_held - slots of a worker that an entry daemon holds
 * @worker: name of the worker
 * @slots: number of slots that it uses or may still use
 */
struct zr_slot_held {
	const char *worker;
	uint32_t slots;
};

/**
 * struct zr_slot_request - a grant request of an entry daemon
 * @entry: name of the entry daemon's host
 * @local: whether that host is in the scheduler's failure domain
 * @incarnation: incarnation of the entry daemon; a new one holds no slots of
 *	an earlier one
 * @sequence: increases with each request of an incarnation
 * @leaving: whether the entry daemon shuts down and gets no further slots
 * @demand: demand for each service
 * @demand_count: number of elements of @demand
 * @held: all slots that the entry daemon holds
 * @held_count: number of elements of @held
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
 * zr_slot_escrow_begin_term() - start a term of ownership without grants
 * @escrow: the escrow
 * @recover: whether an earlier owner may have granted slots
 */
void zr_slot_escrow_begin_term(struct zr_slot_escrow *escrow, bool recover);

/** zr_slot_escrow_clear_capacity() - set the slots of all workers to 0 */
void zr_slot_escrow_clear_capacity(struct zr_slot_escrow *escrow);

/**
 * zr_slot_escrow_set_capacity() - set the number of slots of a worker
 * @escrow: the escrow
 * @worker: name of the worker
 * @slots: number of slots; 0 revokes the grants on the worker
 */
void zr_slot_escrow_set_capacity(struct zr_slot_escrow *escrow,
				 const char *worker, uint32_t slots);

/**
 * zr_slot_escrow_process_request() - process a grant request
 * @out_holder: id of the entry daemon, for zr_slot_escrow_grant()
 * @escrow: the escrow
 * @request: the request
 *
 * Return: 0, or ZR_E_CONFLICT if this or a later request of the same
 * incarnation was already processed.
 */
int zr_slot_escrow_process_request(uint32_t *out_holder,
				   struct zr_slot_escrow *escrow,
				   const struct zr_slot_request *request);

/**
 * zr_slot_escrow_grant() - grant slots of a worker to an entry daemon
 * @escrow: the escrow
 * @holder: id from zr_slot_escrow_process_request()
 * @worker_name: name of the worker
 * @services: names of the services that run on the worker
 * @service_count: number of @services
 *
 * Return: the number of slots that the entry daemon may use. If this is less
 * than it holds, it must return the difference.
 */
uint32_t zr_slot_escrow_grant(struct zr_slot_escrow *escrow, uint32_t holder,
			      const char *worker_name,
			      const char *const *services,
			      size_t service_count);

/** zr_slot_escrow_outstanding() - slots of a worker that may be in use */
uint32_t zr_slot_escrow_outstanding(struct zr_slot_escrow *escrow,
				    const char *worker);

void zr_slot_escrow_free(struct zr_slot_escrow *escrow);

#endif

#ifndef ZR_DOMAIN_FLEET_H
#define ZR_DOMAIN_FLEET_H

#include <stdbool.h>

#include "domain/owner.h"
#include "zinniarack/clock.h"
#include "zinniarack/host_list.h"
#include "zinniarack/sched.h"
#include "zinniarack/worker.h"
#include "zinniarack/timer.h"

/**
 * DOC: Workers of a failure domain
 *
 * Keeps a running sync with each worker that the host list shows in the
 * domain, and with each that earlier owners have used: renews leases, takes
 * inventories and ends of tasks, and tells when a worker is heard, unheard,
 * leaving, or lost for good. A worker counts as lost only when the last lease
 * that it can have been given, by this owner or the one before, has lapsed.
 */

struct zr_fleet;

/**
 * struct zr_fleet_events - what the fleet tells
 * @standing: what this process may send now; asked before each send
 * @up: a worker answers; returns its handle in the core, or ZR_HANDLE_NONE to
 *	be asked again at its next answer
 * @report: a worker answered a sync; called after @up. Each end comes once
 *	for a handle and must be acknowledged once
 * @state: a worker is heard again, unheard, or leaving
 * @lost: a worker's last lease has lapsed, or it has restarted; its tasks run
 *	no more
 * @gone: no worker of that name is known any more
 * @fenced: a worker has seen a higher epoch than ours
 */
struct zr_fleet_events {
	enum zr_owner_lease_state (*standing)(void *ctx);
	zr_handle (*up)(void *ctx, const struct zr_host *host);
	void (*report)(void *ctx, zr_handle worker,
		       const struct zr_worker_report *report);
	void (*state)(void *ctx, zr_handle worker,
		      enum zr_sched_worker_state state);
	void (*lost)(void *ctx, zr_handle worker);
	void (*gone)(void *ctx, const char *name);
	void (*fenced)(void *ctx);
};

/** Makes the adapter of a worker; &zr_http_worker_new is one. */
typedef int (*zr_worker_new_fn)(struct zr_worker *out, void *ctx,
				const char *address);

/**
 * struct zr_fleet_options - how to make a fleet
 * @version: ZR_FLEET_OPTIONS_VERSION
 * @timers: where timers come from
 * @clock: the clock
 * @domain: the failure domain
 * @worker_new: makes the adapter of a worker
 * @worker_ctx: passed to @worker_new
 * @events: what the fleet tells
 * @ctx: passed to @events
 */
struct zr_fleet_options {
	unsigned int version;
	const struct zr_timers *timers;
	const struct zr_clock *clock;
	const char *domain;
	zr_worker_new_fn worker_new;
	void *worker_ctx;
	struct zr_fleet_events events;
	void *ctx;
};

#define ZR_FLEET_OPTIONS_VERSION 1

/** Lease that each sync gives to a worker's tasks. */
#define ZR_FLEET_LEASE_MS 10000
/** By how much clocks may drift apart during a lease. */
#define ZR_FLEET_MARGIN_MS 500

int zr_fleet_new(struct zr_fleet **out, const struct zr_fleet_options *options);

/**
 * zr_fleet_owe() - a worker that earlier owners have used
 * @fleet: the fleet
 * @host: the worker; may be missing from the host list
 */
void zr_fleet_owe(struct zr_fleet *fleet, const struct zr_host *host);

/**
 * zr_fleet_begin() - begin to sync under an epoch just gained
 * @fleet: the fleet
 * @epoch: the epoch
 * @rival_ms: how long the owner before may go on granting leases
 */
void zr_fleet_begin(struct zr_fleet *fleet, uint64_t epoch, int64_t rival_ms);

/** zr_fleet_end() - stop: the domain is owned no more */
void zr_fleet_end(struct zr_fleet *fleet);

/** zr_fleet_hosts() - take a new reading of the host list */
void zr_fleet_hosts(struct zr_fleet *fleet, const struct zr_host *hosts,
		    size_t count);

/**
 * zr_fleet_complete() - whether all that earlier owners started is known
 * @fleet: the fleet
 *
 * Return: whether each worker that they have used has answered under this
 * epoch or cannot run anything of theirs any more.
 */
bool zr_fleet_complete(const struct zr_fleet *fleet);

/**
 * zr_fleet_start() - send a start decision
 * @fleet: the fleet
 * @worker: where
 * @start: what; the epoch and lease are filled in
 * @done: called once
 * @ctx: passed to @done
 */
void zr_fleet_start(struct zr_fleet *fleet, zr_handle worker,
		    const struct zr_worker_start *start, zr_worker_done_fn done,
		    void *ctx);

/**
 * zr_fleet_acknowledge() - an end is kept in the journal, or needs not be
 * @fleet: the fleet
 * @worker: the worker that told it
 * @sequence: its sequence
 */
void zr_fleet_acknowledge(struct zr_fleet *fleet, zr_handle worker,
			  uint64_t sequence);

/** zr_fleet_stop() - send a stop decision */
void zr_fleet_stop(struct zr_fleet *fleet, zr_handle worker, const char *id,
		   enum zr_worker_stop_mode mode);

/**
 * zr_fleet_host() - the host behind a worker's handle
 * @fleet: the fleet
 * @worker: the handle
 *
 * Return: the host, or NULL.
 */
const struct zr_host *zr_fleet_host(const struct zr_fleet *fleet,
				    zr_handle worker);

/** zr_fleet_free() - stop and free */
void zr_fleet_free(struct zr_fleet *fleet);

#endif

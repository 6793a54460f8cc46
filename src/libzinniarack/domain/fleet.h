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
 * A fleet holds the workers of the host list and those that previous owners of
 * the domain used. It polls each worker with a long-running sync call, which
 * renews the lease of the worker's tasks and returns the tasks that run and
 * those that have ended. The fleet reports changes of a worker's state: up,
 * leaving, unresponsive or lost. A worker is lost once none of its tasks can
 * still run: when it has restarted, or when the last lease that this owner or
 * the previous one may have granted to it has expired.
 */

struct zr_fleet;

/**
 * struct zr_fleet_events - callbacks
 * @lease_state: returns the state of the ownership lease; called before each
 *	call to a worker
 * @up: a worker without a handle has responded. Returns its handle in the
 *	scheduler core, or ZR_HANDLE_NONE to be called again at the worker's
 *	next response
 * @report: a worker with a handle has responded to a sync. Each end of a task
 *	is passed once per handle, and must be acknowledged once by
 *	zr_fleet_acknowledge()
 * @state: the state of a worker has changed
 * @lost: a worker has restarted or its last lease has expired, so none of its
 *	tasks run; its handle is not used any more
 * @gone: a worker was removed from the fleet during a term of ownership
 * @fenced: a worker has seen a higher epoch than that of this owner
 */
struct zr_fleet_events {
	enum zr_owner_lease_state (*lease_state)(void *ctx);
	zr_handle (*up)(void *ctx, const struct zr_host *host);
	void (*report)(void *ctx, zr_handle worker,
		       const struct zr_worker_report *report);
	void (*state)(void *ctx, zr_handle worker,
		      enum zr_sched_worker_state state);
	void (*lost)(void *ctx, zr_handle worker);
	void (*gone)(void *ctx, const char *name);
	void (*fenced)(void *ctx);
};

/** Creates the adapter of a worker; an example is zr_http_worker_new(). */
typedef int (*zr_worker_new_fn)(struct zr_worker *out, void *ctx,
				const char *address);

/**
 * struct zr_fleet_options - parameters of a fleet
 * @version: ZR_FLEET_OPTIONS_VERSION
 * @timers: timer factory
 * @clock: clock that leases are measured with
 * @domain: name of the failure domain
 * @worker_new: creates the adapter of a worker, given its address
 * @worker_ctx: passed to @worker_new
 * @events: callbacks
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

/** Lease that a sync grants to the tasks of a worker. */
#define ZR_FLEET_LEASE_MS 10000
/** Maximum drift between a worker's clock and this host's during a lease. */
#define ZR_FLEET_CLOCK_MARGIN_MS 500

/**
 * zr_fleet_new() - create a fleet without workers
 * @out: the fleet; free it with zr_fleet_free()
 * @options: parameters; copied
 *
 * Return: 0 or ZR_E_NOMEM.
 */
int zr_fleet_new(struct zr_fleet **out, const struct zr_fleet_options *options);

/**
 * zr_fleet_expect_report() - add a worker that previous owners used
 * @fleet: the fleet
 * @host: the worker; need not be in the host list
 *
 * The worker may run tasks of previous owners until it reports to this owner or
 * its leases expire; see zr_fleet_reconciled().
 */
void zr_fleet_expect_report(struct zr_fleet *fleet, const struct zr_host *host);

/**
 * zr_fleet_begin() - start to sync with all workers under a new epoch
 * @fleet: the fleet
 * @epoch: the epoch
 * @predecessor_ms: time for which the previous owner may still grant leases, in
 *	milliseconds from now
 */
void zr_fleet_begin(struct zr_fleet *fleet, uint64_t epoch,
		    int64_t predecessor_ms);

/** zr_fleet_end() - stop syncing, as the ownership has ended */
void zr_fleet_end(struct zr_fleet *fleet);

/**
 * zr_fleet_set_hosts() - update the host list
 * @fleet: the fleet
 * @hosts: all hosts of the cluster; those that are not workers of the domain
 *	are ignored
 * @count: number of @hosts
 *
 * A worker that is no longer listed gets no new tasks. It is removed when it is
 * lost.
 */
void zr_fleet_set_hosts(struct zr_fleet *fleet, const struct zr_host *hosts,
			size_t count);

/**
 * zr_fleet_reconciled() - whether all tasks of previous owners are known
 * @fleet: the fleet
 *
 * Return: true if each worker that previous owners used has reported under this
 * epoch, or is lost.
 */
bool zr_fleet_reconciled(const struct zr_fleet *fleet);

/**
 * zr_fleet_start() - send the start of a task to a worker
 * @fleet: the fleet
 * @worker: handle of the worker
 * @start: the task; the fleet sets the epoch, the incarnation, the lease token
 *	and the duration of the lease
 * @done: called once, with the result of the adapter; with ZR_E_NOT_FOUND if no
 *	worker has the handle, or ZR_E_NOT_OWNER if the ownership lease does
 *	not allow the call
 * @ctx: passed to @done
 */
void zr_fleet_start(struct zr_fleet *fleet, zr_handle worker,
		    const struct zr_worker_start *start, zr_worker_done_fn done,
		    void *ctx);

/**
 * zr_fleet_acknowledge() - acknowledge the end of a task
 * @fleet: the fleet
 * @worker: handle of the worker that reported it
 * @sequence: sequence number of the end
 *
 * Call it once the end is persisted, or need not be. The worker then stops
 * reporting it.
 */
void zr_fleet_acknowledge(struct zr_fleet *fleet, zr_handle worker,
			  uint64_t sequence);

/**
 * zr_fleet_stop() - send the stop of a task to a worker
 * @fleet: the fleet
 * @worker: handle of the worker
 * @id: id of the task
 * @mode: how to stop it
 *
 * Nothing is sent if no worker has the handle or the ownership lease does not
 * allow it, and a failed call is not repeated: the caller repeats the stop as
 * long as the worker reports the task.
 */
void zr_fleet_stop(struct zr_fleet *fleet, zr_handle worker, const char *id,
		   enum zr_worker_stop_mode mode);

/**
 * zr_fleet_host() - host of a worker
 * @fleet: the fleet
 * @worker: handle of the worker
 *
 * Return: the host, or NULL if no worker has the handle.
 */
const struct zr_host *zr_fleet_host(const struct zr_fleet *fleet,
				    zr_handle worker);

/** zr_fleet_free() - free the fleet and its adapters; NULL is allowed */
void zr_fleet_free(struct zr_fleet *fleet);

#endif

#ifndef ZR_CELL_PEERS_H
#define ZR_CELL_PEERS_H

#include <uv.h>

#include "cell/relay.h"
#include "net/budget.h"
#include "cell/scheduler.h"
#include "zinniarack/cell.h"
#include "zinniarack/timer.h"

/**
 * DOC: Hosts of a cell
 *
 * Each host registers its RPC address and its size in the store under a lease,
 * and reads the registrations of the other hosts. The hosts send RPCs to the
 * host that owns the cell, to notify it of accepted jobs and to query job
 * states. The owner sends them its queries for the placement adviser, which
 * they forward: the adviser answers one query at a time from each host. A host
 * that does not reach the store sends its calls through another one.
 */

struct zr_cell_peers;

/**
 * struct zr_cell_peers_events - handlers for requests of other hosts
 * @on_job: a job or, if @record is NULL, a cancellation has been persisted;
 *	returns the result of zr_cell_scheduler_notify_job()
 * @query_state: query the state of a job of a client account, or of any if it
 *is empty; calls @done once
 * @serve_store: make a call to the store; calls @done once
 */
struct zr_cell_peers_events {
	bool (*on_job)(void *ctx, const char *job, const void *record,
		       size_t length);
	void (*query_state)(void *ctx, const char *job, const char *client,
			    zr_cell_state_fn done, void *done_ctx);
	void (*serve_store)(void *ctx, const zx_cell_store_args *args,
			    zr_cell_relay_done_fn done, void *done_ctx);
};

/**
 * typedef zr_cell_adviser_proxies_fn - receives the hosts that can query the
 * adviser
 * @ctx: as passed
 * @proxies: this host, then the others; valid during the call
 * @count: number of @proxies; 0: this host owns the cell no more
 *
 * What the proxies refer to is valid until the next call.
 */
typedef void (*zr_cell_adviser_proxies_fn)(
	void *ctx, const struct zr_cell_adviser_proxy *proxies, size_t count);

/**
 * zr_cell_peers_new() - register this host and serve the RPCs of the others
 * @out: the hosts; lives until the process exits
 * @loop: event loop
 * @timers: timer factory
 * @clock: a clock that keeps running while the host is suspended
 * @platform: callbacks into the platform; must outlive @out
 * @name: name of this host
 * @address: address to serve RPCs on
 * @processors: number of processors of this host
 * @on_proxies_changed: called after each read of the registrations while this
 *	host owns the cell, and when it no longer does
 * @events: handlers for requests of other hosts; copied
 * @ctx: passed to @on_proxies_changed and @events
 *
 * Return: 0, ZR_E_INVALID or ZR_E_ADDRESS_IN_USE.
 */
int zr_cell_peers_new(struct zr_cell_peers **out, uv_loop_t *loop,
		      const struct zr_timers *timers,
		      const struct zr_clock *clock,
		      const struct zr_cell_platform *platform, const char *name,
		      const char *address, double processors,
		      zr_cell_adviser_proxies_fn on_proxies_changed,
		      const struct zr_cell_peers_events *events, void *ctx);

/** zr_cell_peers_set_budget() - see zr_rpc_server_set_budget() */
void zr_cell_peers_set_budget(struct zr_cell_peers *peers,
			      struct zr_net_budget *budget);

/**
 * zr_cell_peers_notify() - notify the owner of a job or a cancellation
 * @peers: the hosts
 * @host: name of the host that owns the cell; nothing is sent if it is unknown
 * @job: job id
 * @record: encoded job record; NULL for a cancellation
 * @length: size of @record in bytes
 */
void zr_cell_peers_notify(struct zr_cell_peers *peers, const char *host,
			  const char *job, const void *record, size_t length);

/**
 * zr_cell_peers_query_state() - query a host for the state of a job
 * @peers: the hosts
 * @host: name of the host that owns the cell
 * @job: job id
 * @client: client account that may know it; empty: any
 * @done: called once, possibly before this function returns; error
 *	ZR_E_UNREACHABLE if @host is not registered, ZR_E_NOT_FOUND if it does
 *not know the job or if the job is not one of @client
 * @ctx: passed to @done
 */
void zr_cell_peers_query_state(struct zr_cell_peers *peers, const char *host,
			       const char *job, const char *client,
			       zr_cell_state_fn done, void *ctx);

/**
 * zr_cell_peers_relay() - make a call to the store through another host
 *
 * A &zr_cell_relay_send_fn whose context is the struct zr_cell_peers. The same
 * host is used again until a call through it fails.
 */
bool zr_cell_peers_relay(void *peers, const zx_cell_store_args *args,
			 unsigned int timeout_ms, zr_cell_relay_done_fn done,
			 void *done_ctx);

/**
 * zr_cell_peers_set_active() - set whether this host owns the cell
 * @peers: the hosts
 * @active: the host owns the cell, so it reads the registrations more often and
 *	reports them to &zr_cell_adviser_proxies_fn
 */
void zr_cell_peers_set_active(struct zr_cell_peers *peers, bool active);

/** zr_cell_peers_own_size() - processors of this host, in thousandths */
uint32_t zr_cell_peers_own_size(const struct zr_cell_peers *peers);

/**
 * zr_cell_peers_largest() - processors of the largest other host, in
 * thousandths
 *
 * Hosts whose registrations have expired count for some time; see
 * zr_cell_peer_sizes_end().
 */
uint32_t zr_cell_peers_largest(const struct zr_cell_peers *peers);

/**
 * zr_cell_peers_largest_registered() - processors of the largest other host
 * that is registered now, in thousandths; 0: none is
 */
uint32_t zr_cell_peers_largest_registered(const struct zr_cell_peers *peers);

/**
 * zr_cell_peers_settling() - whether this host has just started, so that hosts
 * that started with it may not be known yet; ends some reads of the
 * registrations later
 */
bool zr_cell_peers_settling(const struct zr_cell_peers *peers);

/**
 * zr_cell_peers_leave() - withdraw this host's registration and refuse to
 * forward queries to the adviser
 */
void zr_cell_peers_leave(struct zr_cell_peers *peers);

#endif

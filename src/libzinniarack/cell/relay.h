#ifndef ZR_CELL_RELAY_H
#define ZR_CELL_RELAY_H

#include "msg_cell.h"
#include "store/health.h"
#include "zinniarack/clock.h"
#include "zinniarack/metrics.h"
#include "zinniarack/store.h"
#include "zinniarack/timer.h"

/**
 * DOC: Access to the store through other hosts
 *
 * Wraps the store of a host. While the host's own connection to the store is
 * suspect, calls are sent to another host, which makes them on its connection;
 * calls that are already waiting for a response are sent there as well. So a
 * host that has lost the store, but not the other hosts, goes on accepting jobs
 * and keeps the ownership of the cell. Calls that wait because a large response
 * occupies the host's own link are not sent to other hosts: their copies would
 * share that link.
 *
 * A call may therefore be carried out twice. That is harmless for the calls of
 * a cell: reads and renewals can be repeated, transactions are conditional on
 * the revisions of what they write, and an unused lease expires.
 */

/** enum zr_cell_relay_kind - the operation of a relayed call */
enum zr_cell_relay_kind {
	ZR_CELL_RELAY_RANGE,
	ZR_CELL_RELAY_COMMIT,
	ZR_CELL_RELAY_GRANT,
	ZR_CELL_RELAY_RENEW,
	ZR_CELL_RELAY_REVOKE,
	ZR_CELL_RELAY_WATCH,
	ZR_CELL_RELAY_KIND_COUNT,
};

struct zr_cell_relay;

/**
 * typedef zr_cell_relay_done_fn - receives the result of a relayed call
 * @ctx: as passed with the call
 * @error: 0; ZR_E_UNREACHABLE if no host has received the call;
 *	ZR_E_OUTCOME_UNKNOWN if a host may have made it
 * @result: what the other host has replied; valid if @error is 0
 */
typedef void (*zr_cell_relay_done_fn)(void *ctx, int error,
				      const zx_cell_store_result *result);

/**
 * typedef zr_cell_relay_send_fn - sends a call to another host
 * @ctx: as passed to zr_cell_relay_set_sender()
 * @args: the call; copied
 * @timeout_ms: time after which @done is called in any case
 * @done: called once, never before this function returns
 * @done_ctx: passed to @done
 *
 * Return: false if no other host is known; @done is not called then.
 */
typedef bool (*zr_cell_relay_send_fn)(void *ctx, const zx_cell_store_args *args,
				      unsigned int timeout_ms,
				      zr_cell_relay_done_fn done,
				      void *done_ctx);

/**
 * zr_cell_relay_new() - wrap a store
 * @out: the relay, valid until @out_store is freed
 * @out_store: the wrapped store
 * @direct: the store to wrap; freed with @out_store
 * @health: health of the connection of @direct
 * @timers: timer factory
 * @clock: monotonic clock
 * @metrics: registry for the relay's metrics
 *
 * Return: 0 or ZR_E_NOMEM.
 */
int zr_cell_relay_new(struct zr_cell_relay **out, struct zr_store *out_store,
		      const struct zr_store *direct,
		      struct zr_store_health *health,
		      const struct zr_timers *timers,
		      const struct zr_clock *clock, struct zr_metrics *metrics);

/** zr_cell_relay_set_sender() - set how calls are sent to other hosts */
void zr_cell_relay_set_sender(struct zr_cell_relay *relay,
			      zr_cell_relay_send_fn send, void *ctx);

/**
 * zr_cell_relay_serve() - make a call for another host
 * @relay: the relay
 * @args: the call, from the network
 * @done: called once, possibly before this function returns; @error is always 0
 * @ctx: passed to @done
 *
 * Replies with ZR_E_STORE_DOWN at once if this host's own connection is suspect
 * too, and with ZR_E_INVALID if @args are not valid.
 */
void zr_cell_relay_serve(struct zr_cell_relay *relay,
			 const zx_cell_store_args *args,
			 zr_cell_relay_done_fn done, void *ctx);

#endif

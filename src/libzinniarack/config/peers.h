#ifndef ZR_CONFIG_PEERS_H
#define ZR_CONFIG_PEERS_H

#include <uv.h>

#include "config/watch.h"
#include "net/rpc_server.h"

/**
 * DOC: Status exchange between peers
 *
 * Sends &struct zr_config_peer_status over RPC, so that versions and
 * confirmations reach processes that don't read the store. Every process calls
 * entry daemons only: entry daemons call all others; a scheduler calls those of
 * its failure domain, and all while none of those responds. A request carries
 * the caller's status, the response that of the callee.
 */

struct zr_config_peers;

/**
 * zr_config_peers_new() - start the exchange with the peers
 * @out: the exchange; free with zr_config_peers_free() before @watch
 * @loop: event loop of the RPC clients
 * @timers: source of timers
 * @clock: the clock
 * @watch: the configuration watch
 * @entry: whether this process is an entry daemon
 * @name: name of this host; must outlive the exchange, as must @domain
 * @domain: failure domain of this host
 *
 * Return: 0 or ZR_E_NOMEM.
 */
int zr_config_peers_new(struct zr_config_peers **out, uv_loop_t *loop,
			const struct zr_timers *timers,
			const struct zr_clock *clock,
			struct zr_config_watch *watch, bool entry,
			const char *name, const char *domain);

/**
 * zr_config_peers_set_hosts() - process a read of the host list
 * @peers: the exchange
 * @hosts: entries of the list
 * @count: number of entries
 * @sent_at: when the read was sent
 *
 * Also passes the list to zr_config_watch_set_hosts().
 */
void zr_config_peers_set_hosts(struct zr_config_peers *peers,
			       const struct zr_host *hosts, size_t count,
			       struct timespec sent_at);

/** zr_config_peers_notify() - send the status to every peer at once */
void zr_config_peers_notify(struct zr_config_peers *peers);

/** The RPC service that responds to peers; its context is the watch. */
extern const struct zr_rpc_dispatch_entry zr_config_peers_dispatch_table[];

/** zr_config_peers_free() - stop the exchange, or do nothing for NULL */
void zr_config_peers_free(struct zr_config_peers *peers);

#endif

#ifndef ZR_CONFIG_PEERS_H
#define ZR_CONFIG_PEERS_H

#include <uv.h>

#include "config/watch.h"
#include "net/rpc_server.h"

/**
 * DOC: Relay of the configuration between peers
 *
 * Entry daemons exchange news of the configuration with each other, schedulers
 * with the entry daemons of their failure domain, and with all when none of
 * those answers. Each call carries the caller's news and is answered with the
 * callee's.
 */

struct zr_config_peers;

/**
 * zr_config_peers_new() - start to exchange news
 * @out: to be freed with zr_config_peers_free() before @watch
 * @loop: the loop it runs on
 * @timers: where timers come from
 * @clock: the clock
 * @watch: what the news are about
 * @entry: whether this is an entry daemon
 * @name: this host's name
 * @domain: its failure domain
 *
 * Return: 0 or ZR_E_NOMEM.
 */
int zr_config_peers_new(struct zr_config_peers **out, uv_loop_t *loop,
			const struct zr_timers *timers,
			const struct zr_clock *clock,
			struct zr_config_watch *watch, bool entry,
			const char *name, const char *domain);

/** zr_config_peers_set_hosts() - take a reading of the host list, asked at
 * @asked
 */
void zr_config_peers_set_hosts(struct zr_config_peers *peers,
			       const struct zr_host *hosts, size_t count,
			       struct timespec asked);

/** zr_config_peers_notify() - tell every peer at once */
void zr_config_peers_notify(struct zr_config_peers *peers);

/** The exchange as an RPC service; its context is the &zr_config_watch. */
extern const struct zr_rpc_service zr_config_peers_services[];

void zr_config_peers_free(struct zr_config_peers *peers);

#endif

#ifndef ZR_STORE_ETCD_H
#define ZR_STORE_ETCD_H

#include <uv.h>

#include "zinniarack/metrics.h"
#include "zinniarack/store.h"

/**
 * DOC: etcd adapter
 *
 * Calls the JSON gateway of etcd's v3 API: /v3/kv/range, /v3/kv/txn,
 * /v3/lease/grant, /v3/lease/keepalive and /v3/lease/revoke. Watches are not
 * supported.
 */

/**
 * zr_etcd_new() - create a store that calls an etcd gateway
 * @out: the store, to be freed with zr_store_free()
 * @loop: event loop of its calls
 * @address: IP address and port of the gateway
 * @metrics: registry for the counters of calls and failures, or NULL
 *
 * Return: 0, ZR_E_INVALID or ZR_E_NOMEM.
 */
int zr_etcd_new(struct zr_store *out, uv_loop_t *loop, const char *address,
		struct zr_metrics *metrics);

#endif

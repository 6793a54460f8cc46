#ifndef ZR_ROUTE_ONCE_STORE_H
#define ZR_ROUTE_ONCE_STORE_H

#include "route/once.h"
#include "zinniarack/store.h"

/**
 * DOC: Idempotency keys kept in the platform's store
 *
 * One value for each key, under a lease of a day: created before the send only
 * if there is none, replaced by the answer after it. All entry hosts see the
 * same, and a changed set of failure domains moves nothing. It costs two writes
 * for a request, so their rate is bounded for each process.
 */

struct zr_once_store;

/** Time for which a key is kept. */
#define ZR_ONCE_KEEP_MS (25LL * 3600 * 1000)

/**
 * struct zr_once_store_options - what it works with
 * @version: ZR_ONCE_STORE_OPTIONS_VERSION
 * @store: the store
 * @clock: the clock
 * @entry: name of this host
 * @incarnation: which run of the daemon
 * @per_s: requests with a key that may begin each second
 * @burst: and at once
 */
struct zr_once_store_options {
	unsigned int version;
	const struct zr_store *store;
	const struct zr_clock *clock;
	const char *entry;
	uint64_t incarnation;
	unsigned int per_s;
	unsigned int burst;
};

#define ZR_ONCE_STORE_OPTIONS_VERSION 1
#define ZR_ONCE_STORE_OPTIONS_INIT                                    \
	{                                                             \
		.version = ZR_ONCE_STORE_OPTIONS_VERSION, .per_s = 2, \
		.burst = 20,                                          \
	}

/**
 * zr_once_store_new() - homes of keys in the store
 * @out: for zr_once_send()
 * @options: what it works with; tables and strings are kept by reference
 *
 * Return: 0 or ZR_E_NOMEM.
 */
int zr_once_store_new(struct zr_once_backend *out,
		      const struct zr_once_store_options *options);

/** zr_once_store_free() - free it; the store has no open calls any more */
void zr_once_store_free(struct zr_once_backend *once);

#endif

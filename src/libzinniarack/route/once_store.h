#ifndef ZR_ROUTE_ONCE_STORE_H
#define ZR_ROUTE_ONCE_STORE_H

#include "route/once.h"
#include "zinniarack/store.h"

/**
 * DOC: Backend for idempotency keys in the platform's store
 *
 * Each idempotency key has one record in the store, which lives for at least 24
 * hours. The record is created before the request is sent, only if there is
 * none, and replaced with the response afterwards. All entry hosts read the
 * same records, so a change of the set of failure domains moves no key. Each
 * request costs two writes, so each process limits the rate of requests with a
 * key.
 */

struct zr_once_store;

/** Time to live of a lease; all records of one hour share a lease. */
#define ZR_ONCE_LEASE_MS (25LL * 3600 * 1000)

/**
 * struct zr_once_store_options - options of the backend
 * @version: ZR_ONCE_STORE_OPTIONS_VERSION
 * @store: the store
 * @clock: clock for leases and the rate limit
 * @entry: name of this host
 * @incarnation: incarnation of the entry daemon
 * @per_s: rate limit: requests with a key per second
 * @burst: rate limit: requests with a key at once
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
 * zr_once_store_new() - create a backend that uses the store
 * @out: the backend, for zr_once_send()
 * @options: options; tables and strings are kept by reference
 *
 * Return: 0 or ZR_E_NOMEM.
 */
int zr_once_store_new(struct zr_once_backend *out,
		      const struct zr_once_store_options *options);

/** zr_once_store_free() - free a backend that has no call in flight */
void zr_once_store_free(struct zr_once_backend *backend);

#endif

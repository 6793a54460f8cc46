#ifndef ZR_STORE_RATE_LIMIT_H
#define ZR_STORE_RATE_LIMIT_H

#include "zinniarack/clock.h"
#include "zinniarack/metrics.h"
#include "zinniarack/store.h"
#include "zinniarack/timer.h"

/**
 * DOC: Rate limit of store calls
 *
 * Wraps another store and limits the rate at which this process calls it, with
 * one token bucket for reads and one for writes. Calls over the rate are queued
 * and sent in the order of their &enum zr_store_purpose. Calls for
 * ZR_STORE_LEASE are never queued. Watches are not supported.
 *
 * A call that was queued for too long, or that found the queue full, ends with
 * ZR_E_STORE_DOWN: it certainly had no effect.
 */

/**
 * struct zr_store_rate_limit_options - limits of a process
 * @version: ZR_STORE_RATE_LIMIT_OPTIONS_VERSION
 * @timers: creates the timers
 * @clock: clock that the rates and waiting times are measured with
 * @writes_per_s: transactions and lease calls per second
 * @reads_per_s: reads per second
 * @burst: capacity of each bucket, in calls
 * @max_waiting: maximum number of queued calls
 * @max_wait_ms: maximum time that a call stays queued, in milliseconds
 * @metrics: registry for the counters of delayed and refused calls, or NULL
 */
struct zr_store_rate_limit_options {
	unsigned int version;
	const struct zr_timers *timers;
	const struct zr_clock *clock;
	unsigned int writes_per_s;
	unsigned int reads_per_s;
	unsigned int burst;
	unsigned int max_waiting;
	unsigned int max_wait_ms;
	struct zr_metrics *metrics;
};

#define ZR_STORE_RATE_LIMIT_OPTIONS_VERSION 1

/**
 * zr_store_rate_limit_new() - limit the rate of calls to a store
 * @out: the store with the limit
 * @inner: the store to call; freed with @out
 * @options: limits
 *
 * Return: 0 or ZR_E_NOMEM.
 */
int zr_store_rate_limit_new(struct zr_store *out, const struct zr_store *inner,
			    const struct zr_store_rate_limit_options *options);

#endif

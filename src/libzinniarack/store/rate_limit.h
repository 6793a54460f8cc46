#ifndef ZR_STORE_BUDGET_H
#define ZR_STORE_BUDGET_H

#include "zinniarack/clock.h"
#include "zinniarack/metrics.h"
#include "zinniarack/store.h"
#include "zinniarack/timer.h"

/**
 * DOC: Budget of store calls
 *
 * Stands before another store and bounds how many calls a second this process
 * makes. Calls over the rate wait, those with the lowest &enum
 * zr_store_purpose first in line; leases never wait. A call that waited too
 * long, or finds too many waiting, ends with ZR_E_STORE_DOWN: it surely took
 * no effect.
 */

/**
 * struct zr_store_budget_options - how much a process may call
 * @version: ZR_STORE_BUDGET_OPTIONS_VERSION
 * @timers: where timers come from
 * @clock: the clock
 * @writes_per_s: transactions and lease calls a second
 * @reads_per_s: reads a second
 * @burst: calls of either kind that may come at once
 * @waiting_max: calls that may wait
 * @wait_ms: how long one may wait
 * @metrics: where it counts, or NULL
 */
struct zr_store_budget_options {
	unsigned int version;
	const struct zr_timers *timers;
	const struct zr_clock *clock;
	unsigned int writes_per_s;
	unsigned int reads_per_s;
	unsigned int burst;
	unsigned int waiting_max;
	unsigned int wait_ms;
	struct zr_metrics *metrics;
};

#define ZR_STORE_BUDGET_OPTIONS_VERSION 1

/**
 * zr_store_budget_new() - put a budget before a store
 * @out: the store to use from now on
 * @inner: the store that does the work; freed with @out
 * @options: how much
 *
 * Return: 0 or ZR_E_NOMEM.
 */
int zr_store_budget_new(struct zr_store *out, const struct zr_store *inner,
			const struct zr_store_budget_options *options);

#endif

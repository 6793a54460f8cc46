#ifndef ZR_STORE_HEALTH_H
#define ZR_STORE_HEALTH_H

#include <stdbool.h>

#include "zinniarack/clock.h"
#include "zinniarack/store.h"

/**
 * DOC: Health of the connection to the store
 *
 * Wraps another store and measures the response times and failures of its
 * calls, so that a broken connection is detected before the calls reach their
 * timeouts. Watches are not measured: they are slow by design.
 */

struct zr_store_health;

/**
 * zr_store_health_new() - measure the calls to a store
 * @out: the measurement, valid until @out_store is freed
 * @out_store: the store whose calls are measured
 * @inner: the store to call; freed with @out_store
 * @clock: clock that response times are measured with
 *
 * Return: 0 or ZR_E_NOMEM.
 */
int zr_store_health_new(struct zr_store_health **out,
			struct zr_store *out_store,
			const struct zr_store *inner,
			const struct zr_clock *clock);

/**
 * zr_store_health_suspect_ms() - how long the connection has been suspect
 * @health: the measurement
 *
 * The connection is suspect while calls fail, or while the oldest open call has
 * waited several times longer than the recent response times. No call counts
 * as waiting while a response is arriving in parts (zr_store_receiving()): the
 * host's own link is busy then, and the store is not away.
 *
 * Return: milliseconds since the first call that failed or the oldest overdue
 * call was sent; 0 while the connection is not suspect.
 */
int64_t zr_store_health_suspect_ms(const struct zr_store_health *health);

/**
 * zr_store_health_resumed() - note that this process has not run for a while
 * @health: the measurement
 *
 * It was suspended or busy, and responses may be waiting to be read. The time
 * until now does not count as waiting.
 */
void zr_store_health_resumed(struct zr_store_health *health);

/**
 * zr_store_health_is_stall() - whether a timer fired so late that responses may
 * be waiting to be read
 * @late_ms: time since the timer was due, in milliseconds
 */
bool zr_store_health_is_stall(int64_t late_ms);

#endif

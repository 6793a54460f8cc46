#ifndef ZR_STORE_HEALTH_H
#define ZR_STORE_HEALTH_H

#include <stdbool.h>

#include "zinniarack/clock.h"
#include "zinniarack/store.h"

/**
 * DOC: Health of the way to the store
 *
 * Stands before another store and watches how its calls fare, so that a lost
 * way is noticed while calls still wait for their timeouts. Watches are left
 * out: they wait by intent.
 */

struct zr_store_health;

/**
 * zr_store_health_new() - watch the calls to a store
 * @out: the health
 * @out_store: the store to use from now on
 * @inner: the store that does the work; freed with @out_store
 * @clock: the clock
 *
 * Return: 0 or ZR_E_NOMEM.
 */
int zr_store_health_new(struct zr_store_health **out,
			struct zr_store *out_store,
			const struct zr_store *inner,
			const struct zr_clock *clock);

/**
 * zr_store_health_suspect_ms() - how long the way has been suspect
 * @health: the health
 *
 * It is suspect while calls fail, or while the oldest open one has waited
 * several times as long as answers have taken lately.
 *
 * Return: milliseconds, 0 while it is not suspect.
 */
int64_t zr_store_health_suspect_ms(const struct zr_store_health *health);

#endif

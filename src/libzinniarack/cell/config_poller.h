#ifndef ZR_CELL_CURRENT_H
#define ZR_CELL_CURRENT_H

#include "zinniarack/cell.h"
#include "zinniarack/clock.h"
#include "zinniarack/metrics.h"
#include "zinniarack/timer.h"

/**
 * DOC: The configuration in force at a host
 *
 * Reads the operators' configuration from the store at short intervals. A read
 * confirms that nothing newer was accepted before it was sent, which bounds how
 * long a withdrawn key can still be taken.
 */

struct zr_cell_current;

/** Called with each newer version; the one before is freed after the call. */
typedef void (*zr_cell_current_fn)(void *ctx,
				   const struct zr_cell_config *config);

int zr_cell_current_new(struct zr_cell_current **out,
			const struct zr_timers *timers,
			const struct zr_clock *clock,
			const struct zr_cell_surroundings *surroundings,
			struct zr_metrics *metrics, zr_cell_current_fn changed,
			void *ctx);

/** zr_cell_current_config() - the newest version known, NULL before the first
 */
const struct zr_cell_config *
zr_cell_current_config(const struct zr_cell_current *current);

/**
 * zr_cell_current_age_ms() - how old the last confirmation is
 *
 * Return: milliseconds; INT64_MAX before the first.
 */
int64_t zr_cell_current_age_ms(const struct zr_cell_current *current);

void zr_cell_current_free(struct zr_cell_current *current);

#endif

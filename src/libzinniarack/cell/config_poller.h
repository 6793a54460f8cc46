#ifndef ZR_CELL_CONFIG_POLLER_H
#define ZR_CELL_CONFIG_POLLER_H

#include "zinniarack/cell.h"
#include "zinniarack/clock.h"
#include "zinniarack/metrics.h"
#include "zinniarack/timer.h"

/**
 * DOC: Current configuration of a host
 *
 * Watches the operators' configuration in the store, and asks at intervals
 * whether it has changed. A response confirms that the configuration was
 * current when the request was sent. The age of that confirmation bounds how
 * long a withdrawn key is still accepted.
 */

struct zr_cell_config_poller;

/**
 * typedef zr_cell_config_poller_fn - receives each new version of the
 * configuration
 * @ctx: as passed
 * @config: the new version; valid until the next call returns, which frees it
 */
typedef void (*zr_cell_config_poller_fn)(void *ctx,
					 const struct zr_cell_config *config);

/**
 * zr_cell_config_poller_new() - start to poll for the configuration
 * @out: to be freed with zr_cell_config_poller_free()
 * @timers: timer factory
 * @clock: monotonic clock
 * @platform: callbacks into the platform; must outlive @out
 * @metrics: registry for the poller's metrics
 * @on_change: called with each new version
 * @ctx: passed to @on_change
 *
 * Return: 0 or ZR_E_NOMEM.
 */
int zr_cell_config_poller_new(struct zr_cell_config_poller **out,
			      const struct zr_timers *timers,
			      const struct zr_clock *clock,
			      const struct zr_cell_platform *platform,
			      struct zr_metrics *metrics,
			      zr_cell_config_poller_fn on_change, void *ctx);

/**
 * zr_cell_config_poller_config() - get the newest version that was read
 *
 * Return: the configuration, or NULL before the first successful read.
 */
const struct zr_cell_config *
zr_cell_config_poller_config(const struct zr_cell_config_poller *poller);

/**
 * zr_cell_config_poller_age_ms() - get the age of the last confirmation that
 * the configuration is current
 *
 * Return: milliseconds, or INT64_MAX before the first confirmation.
 */
int64_t
zr_cell_config_poller_age_ms(const struct zr_cell_config_poller *poller);

void zr_cell_config_poller_free(struct zr_cell_config_poller *poller);

#endif

#ifndef ZR_CONFIG_WATCH_H
#define ZR_CONFIG_WATCH_H

#include "zinniarack/clock.h"
#include "zinniarack/config.h"
#include "zinniarack/store.h"
#include "zinniarack/timer.h"

/**
 * DOC: Configuration in force
 *
 * Follows the configuration's key in the store. A process only ever takes a
 * higher version than the one it has.
 */

struct zr_config_watch;

/** Called with each higher version; @config lives until the next call. */
typedef void (*zr_config_changed_fn)(void *ctx, const struct zr_config *config);

/** Called once; @version is the one accepted, or the one in the way. */
typedef void (*zr_config_proposed_fn)(void *ctx, int error, uint64_t version);

/**
 * zr_config_watch_new() - follow the configuration
 * @out: to be freed with zr_config_watch_free()
 * @timers: where timers come from
 * @store: the store, kept by reference
 * @changed: called with @ctx
 * @ctx: passed to @changed
 *
 * Return: 0 or ZR_E_NOMEM.
 */
int zr_config_watch_new(struct zr_config_watch **out,
			const struct zr_timers *timers,
			const struct zr_store *store,
			zr_config_changed_fn changed, void *ctx);

/** zr_config_watch_current() - the version in force here, or NULL */
const struct zr_config *
zr_config_watch_current(const struct zr_config_watch *watch);

/**
 * zr_config_watch_propose() - make a document the next version
 * @watch: the watch
 * @config: the document; its version is set
 * @expected: the version it was made from
 * @done: called once: 0, ZR_E_CONFLICT when another change was first,
 *	ZR_E_STORE_DOWN, or ZR_E_OUTCOME_UNKNOWN
 * @ctx: passed to @done
 */
void zr_config_watch_propose(struct zr_config_watch *watch,
			     struct zr_config *config, uint64_t expected,
			     zr_config_proposed_fn done, void *ctx);

void zr_config_watch_free(struct zr_config_watch *watch);

#endif

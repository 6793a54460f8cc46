#ifndef ZINNIARACK_ENTRY_H
#define ZINNIARACK_ENTRY_H

#include <stdbool.h>
#include <uv.h>

#include "zinniarack/clock.h"
#include "zinniarack/settings.h"

/**
 * DOC: Entry daemon
 *
 * Serves callers and operators over HTTP. All are alike: any of them takes any
 * request.
 */

struct zr_entry;

/**
 * zr_entry_new() - start an entry daemon
 * @out: to be freed with zr_entry_free()
 * @loop: the loop it runs on
 * @clock: the clock
 * @settings: the host's settings, kept by reference
 *
 * Return: 0 or a negative error number; zr_error_last() holds the details.
 */
int zr_entry_new(struct zr_entry **out, uv_loop_t *loop,
		 const struct zr_clock *clock,
		 const struct zr_settings *settings);

/**
 * zr_entry_begin_shutdown() - begin a graceful shutdown
 * @entry: the daemon
 *
 * New requests are refused as not run, open ones are finished.
 */
void zr_entry_begin_shutdown(struct zr_entry *entry);

/**
 * zr_entry_finish_shutdown() - end a graceful shutdown, once nothing is open
 * @entry: the daemon
 *
 * Gives the slots back that were granted to it, and listens no more.
 */
void zr_entry_finish_shutdown(struct zr_entry *entry);

/** zr_entry_active_requests() - requests in progress */
unsigned int zr_entry_active_requests(const struct zr_entry *entry);

void zr_entry_free(struct zr_entry *entry);

#endif

#ifndef ZINNIARACK_ENTRY_H
#define ZINNIARACK_ENTRY_H

#include <stdbool.h>
#include <uv.h>

#include "zinniarack/clock.h"
#include "zinniarack/settings.h"

/**
 * DOC: Entry daemon
 *
 * Serves callers and operators over HTTP. Every entry daemon accepts every
 * request.
 */

struct zr_entry;

/**
 * zr_entry_new() - start an entry daemon
 * @out: the daemon, to be freed with zr_entry_free()
 * @loop: event loop
 * @clock: clock for leases and timeouts
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
 * New requests are refused as not run. Requests in progress are completed.
 */
void zr_entry_begin_shutdown(struct zr_entry *entry);

/**
 * zr_entry_finish_shutdown() - finish a graceful shutdown
 * @entry: the daemon
 *
 * Call it when no request is in progress any more. It releases the slots that
 * were granted to the daemon and closes the HTTP port.
 */
void zr_entry_finish_shutdown(struct zr_entry *entry);

/** zr_entry_active_requests() - number of requests in progress */
unsigned int zr_entry_active_requests(const struct zr_entry *entry);

void zr_entry_free(struct zr_entry *entry);

#endif

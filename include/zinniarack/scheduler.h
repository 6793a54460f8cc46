#ifndef ZINNIARACK_SCHEDULER_H
#define ZINNIARACK_SCHEDULER_H

#include <uv.h>

#include "zinniarack/clock.h"
#include "zinniarack/settings.h"

/**
 * DOC: Scheduler daemon
 *
 * One scheduler runs on each entry host. The schedulers of a failure domain
 * compete for its ownership; the owner is the active scheduler, the others are
 * standbys.
 */

struct zr_scheduler;

/**
 * zr_scheduler_new() - create and start a scheduler
 * @out: to be freed with zr_scheduler_free()
 * @loop: event loop on which it runs
 * @clock: source of time
 * @settings: settings of the host; kept by reference
 *
 * Return: 0 or a negative error number; zr_error_last() holds the details.
 */
int zr_scheduler_new(struct zr_scheduler **out, uv_loop_t *loop,
		     const struct zr_clock *clock,
		     const struct zr_settings *settings);

/**
 * zr_scheduler_stop() - shut down gracefully
 * @scheduler: the scheduler
 * @done: called once ownership of the failure domain has been released
 * @ctx: passed to @done
 */
void zr_scheduler_stop(struct zr_scheduler *scheduler, void (*done)(void *ctx),
		       void *ctx);

/** zr_scheduler_busy() - number of RPCs from entry daemons in progress */
unsigned int zr_scheduler_busy(const struct zr_scheduler *scheduler);

/**
 * zr_scheduler_free() - free a scheduler
 * @scheduler: may be NULL
 *
 * Runs the loop until it has no active handles.
 */
void zr_scheduler_free(struct zr_scheduler *scheduler);

#endif

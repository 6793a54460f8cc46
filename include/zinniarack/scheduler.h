#ifndef ZINNIARACK_SCHEDULER_H
#define ZINNIARACK_SCHEDULER_H

#include <uv.h>

#include "zinniarack/clock.h"
#include "zinniarack/settings.h"

/**
 * DOC: Scheduler daemon
 *
 * One runs on each entry host. Those of a failure domain compete to be its
 * active scheduler; the others stand by.
 */

struct zr_scheduler;

/**
 * zr_scheduler_new() - start a scheduler
 * @out: to be freed with zr_scheduler_free()
 * @loop: the loop it runs on
 * @clock: the clock
 * @settings: the host's settings, kept by reference
 *
 * Return: 0 or a negative error number; zr_error_last() holds the details.
 */
int zr_scheduler_new(struct zr_scheduler **out, uv_loop_t *loop,
		     const struct zr_clock *clock,
		     const struct zr_settings *settings);

/**
 * zr_scheduler_stop() - graceful shutdown
 * @scheduler: the scheduler
 * @done: called once the domain has been handed over
 * @ctx: passed to @done
 */
void zr_scheduler_stop(struct zr_scheduler *scheduler, void (*done)(void *ctx),
		       void *ctx);

/** zr_scheduler_busy() - calls of entry daemons in progress */
unsigned int zr_scheduler_busy(const struct zr_scheduler *scheduler);

void zr_scheduler_free(struct zr_scheduler *scheduler);

#endif

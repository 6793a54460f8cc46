#ifndef CELL_STAYS_H
#define CELL_STAYS_H

#include <stdint.h>

#include "cell/private.h"

/**
 * DOC: How long the tasks of an active scheduler stay in each state
 *
 * Checks that no state of a task that waits for an answer lasts longer than its
 * bound, whatever the scheduler does, and that nothing is repeated without
 * backoff. What has been seen is kept from one check to the next and is
 * forgotten while the scheduler is not active.
 *
 * The bounds follow from the lease of a run, 6,000 ms on a clock that may be 2%
 * slow, and from the time of a poll that shows the outcome, 2,000 ms:
 *
 * - a placement is persisted or taken back within 6,000 ms;
 * - a run whose start or stop has no outcome ends within 8,200 ms, or 14,200 ms
 *   if its worker goes on to respond but does not carry out the stop;
 * - a run ends if its worker has not responded for 8,200 ms;
 * - a query to the adviser is answered or given up within 2,000 ms;
 * - a job of which nothing runs does not wait for longer than 3,000 ms while
 *   what it may start fits twice into free capacity, its client account uses
 *   less than half of its limit, and less than half of its pool is in use,
 *   whatever is reserved (the users' rule LOST). Not judged are a suspect of
 *   crashes and a step that needs permits; a worker that runs a suspect, which
 *   must be alone there, has no free capacity;
 * - a run is started, or stopped, at most 8 times in 1,000 ms, and a worker's
 *   polls fail as often at most.
 */

struct cell_stays;

/** Called with the broken rule and the task, as `JOB.TASK`. */
typedef void (*cell_stays_violation_fn)(void *ctx, const char *rule,
					const char *task);

struct cell_stays *cell_stays_new(cell_stays_violation_fn violation, void *ctx);
void cell_stays_free(struct cell_stays *stays);

/** cell_stays_check() - look at the tasks; to be called each 10 ms or so */
void cell_stays_check(struct cell_stays *stays,
		      struct zr_cell_scheduler *scheduler);

/** cell_stays_forget() - the scheduler is suspended, or has ended */
void cell_stays_forget(struct cell_stays *stays);

#endif

#ifndef ZR_CELL_ACCEPT_H
#define ZR_CELL_ACCEPT_H

#include "cell/records.h"
#include "store/health.h"
#include "zinniarack/clock.h"
#include "zinniarack/metrics.h"
#include "zinniarack/timer.h"

/**
 * DOC: Acceptance of jobs
 *
 * Writes a job into the store before its caller is told that it was accepted.
 * Writes that come while others are open share a transaction. Acceptance needs
 * no scheduler, so it goes on during a take-over.
 *
 * What has been sent and not answered may be carried out later, so nothing is
 * sent while the way to the store is suspect: a job that waits then can be
 * refused, and soon, with the promise that it will not run.
 */

struct zr_cell_accept;

/** What became of a write. */
enum zr_cell_accepted {
	ZR_CELL_ACCEPTED,
	ZR_CELL_ACCEPTED_BEFORE, /* the store held that id */
	ZR_CELL_REFUSED,	 /* it is surely not in the store */
	ZR_CELL_UNDECIDED,	 /* it may be, or may come to be */
};

typedef void (*zr_cell_accept_fn)(void *ctx, enum zr_cell_accepted outcome);

int zr_cell_accept_new(struct zr_cell_accept **out,
		       const struct zr_timers *timers,
		       const struct zr_clock *clock,
		       const struct zr_store *store,
		       const struct zr_store_health *health,
		       struct zr_metrics *metrics);

/**
 * zr_cell_accept_job() - write a job
 * @accept: the acceptance
 * @id: the job's id
 * @record: the job, taken over
 * @wait_ms: how long its caller waits
 * @done: called once
 * @ctx: passed to @done
 */
void zr_cell_accept_job(struct zr_cell_accept *accept, const char *id,
			struct zr_cell_bytes record, unsigned int wait_ms,
			zr_cell_accept_fn done, void *ctx);

/** zr_cell_accept_open() - writes that are not settled */
unsigned int zr_cell_accept_open(const struct zr_cell_accept *accept);

void zr_cell_accept_free(struct zr_cell_accept *accept);

#endif

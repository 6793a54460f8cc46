#ifndef ZR_CELL_ACCEPTOR_H
#define ZR_CELL_ACCEPTOR_H

#include "cell/records.h"
#include "store/health.h"
#include "zinniarack/clock.h"
#include "zinniarack/metrics.h"
#include "zinniarack/timer.h"

/**
 * DOC: Acceptance of jobs
 *
 * Writes a submitted job to the store before its caller is told that the job
 * was accepted. Writes that arrive while transactions are in flight are batched
 * into the next one. Acceptance needs no active scheduler, so it continues
 * during a takeover.
 *
 * A write that was sent and not answered may still be applied later. Therefore
 * new jobs are not sent while the connection to the store is suspected to have
 * failed: a job that was never sent can be refused early, with the guarantee
 * that it will not run.
 */

struct zr_cell_acceptor;

/**
 * enum zr_cell_accept_outcome - outcome of writing a job
 * @ZR_CELL_ACCEPTED: the store holds the job
 * @ZR_CELL_ALREADY_ACCEPTED: the store already held a job of this id
 * @ZR_CELL_REFUSED: the job is not in the store and will not be written
 * @ZR_CELL_UNDECIDED: the write was sent and not answered, so the job may be in
 *	the store or may still be written
 */
enum zr_cell_accept_outcome {
	ZR_CELL_ACCEPTED,
	ZR_CELL_ALREADY_ACCEPTED,
	ZR_CELL_REFUSED,
	ZR_CELL_UNDECIDED,
};

typedef void (*zr_cell_acceptor_fn)(void *ctx,
				    enum zr_cell_accept_outcome outcome);

/**
 * zr_cell_acceptor_new() - create the acceptor of a host
 * @out: to be freed with zr_cell_acceptor_free()
 * @timers: timer factory
 * @clock: monotonic clock
 * @store: the store that writes go to
 * @health: health of the connection to @store
 * @metrics: registry for the acceptor's metrics
 *
 * Return: 0 or ZR_E_NOMEM.
 */
int zr_cell_acceptor_new(struct zr_cell_acceptor **out,
			 const struct zr_timers *timers,
			 const struct zr_clock *clock,
			 const struct zr_store *store,
			 const struct zr_store_health *health,
			 struct zr_metrics *metrics);

/**
 * zr_cell_acceptor_write_job() - write a job to the store
 * @acceptor: the acceptor
 * @id: job id
 * @record: encoded job record; ownership passes to the acceptor
 * @wait_ms: timeout after which @done is called in any case
 * @done: called once with the outcome
 * @ctx: passed to @done
 */
void zr_cell_acceptor_write_job(struct zr_cell_acceptor *acceptor,
				const char *id, struct zr_cell_buffer record,
				unsigned int wait_ms, zr_cell_acceptor_fn done,
				void *ctx);

/** zr_cell_acceptor_pending() - number of writes without an outcome yet */
unsigned int zr_cell_acceptor_pending(const struct zr_cell_acceptor *acceptor);

/** zr_cell_acceptor_is_writing() - whether a job's write has no outcome yet */
bool zr_cell_acceptor_is_writing(const struct zr_cell_acceptor *acceptor,
				 const char *id);

void zr_cell_acceptor_free(struct zr_cell_acceptor *acceptor);

#endif

#ifndef ZR_CELL_ADMITTER_H
#define ZR_CELL_ADMITTER_H

#include "cell/acceptor.h"
#include "cell/policy/admission.h"
#include "store/health.h"
#include "zinniarack/clock.h"
#include "zinniarack/metrics.h"
#include "zinniarack/timer.h"

/**
 * DOC: Admission of submissions on a host
 *
 * Decides, before a job is written, whether it is accepted, with the summary of
 * the load that the owner publishes. The summary is read from the store
 * regularly while jobs are submitted, more often while it shows a full cell.
 *
 * A job that would be rejected may have been accepted before: the first attempt
 * of its caller can have reached another host. So the store is asked first, and
 * without its answer the job is not rejected. Neither is it without a summary
 * of the present owner, or while the store may be out of reach.
 */

struct zr_cell_admitter;

/**
 * typedef zr_cell_admitter_fn - receives a decision
 * @ctx: as passed
 * @verdict: the decision; valid during the call
 */
typedef void (*zr_cell_admitter_fn)(void *ctx,
				    const struct zr_admission_verdict *verdict);

/**
 * struct zr_cell_admitter_options - dependencies of an admitter
 * @timers: timer factory
 * @clock: monotonic clock
 * @store: the store, for reads
 * @health: health of the connection to @store
 * @acceptor: the acceptor of this host, which knows the jobs that it is writing
 * @metrics: registry for the admitter's metrics
 */
struct zr_cell_admitter_options {
	const struct zr_timers *timers;
	const struct zr_clock *clock;
	const struct zr_store *store;
	const struct zr_store_health *health;
	const struct zr_cell_acceptor *acceptor;
	struct zr_metrics *metrics;
};

/**
 * struct zr_cell_submission - a job whose admission is decided
 * @id: its id
 * @client: its client account, or ""
 * @queue: its queue
 * @spec: the job
 * @term_revision: as for zr_cell_known_counts_update()
 */
struct zr_cell_submission {
	const char *id;
	const char *client;
	const struct zr_cell_queue *queue;
	const struct zr_cell_job_spec *spec;
	int64_t term_revision;
};

/**
 * zr_cell_admitter_new() - create the admitter of a host
 * @out: to be freed with zr_cell_admitter_free()
 * @options: copied; what it refers to must outlive the admitter
 *
 * Return: 0 or ZR_E_NOMEM.
 */
int zr_cell_admitter_new(struct zr_cell_admitter **out,
			 const struct zr_cell_admitter_options *options);

/**
 * zr_cell_admitter_decide() - decide whether a job is accepted
 * @admitter: the admitter
 * @submission: the job; not used after this function returns
 * @done: called once, possibly before this function returns and within 20 ms
 * @ctx: passed to @done
 */
void zr_cell_admitter_decide(struct zr_cell_admitter *admitter,
			     const struct zr_cell_submission *submission,
			     zr_cell_admitter_fn done, void *ctx);

/** zr_cell_admitter_free() - free it; decisions in progress are not made */
void zr_cell_admitter_free(struct zr_cell_admitter *admitter);

#endif

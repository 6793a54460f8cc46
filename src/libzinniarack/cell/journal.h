#ifndef ZR_CELL_JOURNAL_H
#define ZR_CELL_JOURNAL_H

#include "cell/model.h"
#include "cell/records.h"
#include "zinniarack/clock.h"
#include "zinniarack/metrics.h"
#include "zinniarack/store.h"
#include "zinniarack/timer.h"

/**
 * DOC: Journal of a cell
 *
 * Writes the progress of jobs to the store. A transaction covers several jobs,
 * and several transactions may be in flight, but never two with the same job.
 *
 * Each transaction is conditional on the revision of the owner key, so that the
 * writes of a scheduler that lost the ownership fail. It is also conditional on
 * the revision of each job's record: a write that timed out may still be
 * applied later, and must not overwrite a newer record then.
 */

struct zr_cell_journal;

/**
 * struct zr_cell_journal_events - callbacks of the journal
 * @persisted: the store holds the job's changes up to
 *	&struct zr_cell_job.persisted_change
 * @ownership_lost: a transaction failed because another scheduler owns the cell
 * @past_use_persisted: the store holds the record of past use that was set last
 */
struct zr_cell_journal_events {
	void (*persisted)(void *ctx, struct zr_cell_job *job);
	void (*ownership_lost)(void *ctx);
	void (*past_use_persisted)(void *ctx);
};

/**
 * zr_cell_journal_new() - create a closed journal
 * @out: the journal, to be freed with zr_cell_journal_free()
 * @timers: timer factory
 * @clock: monotonic clock
 * @store: the store; must outlive the journal
 * @model: the model whose jobs are written; must outlive the journal
 * @metrics: registry for the journal's metrics
 * @events: callbacks; copied
 * @ctx: passed to @events
 *
 * Return: 0 or ZR_E_NOMEM.
 */
int zr_cell_journal_new(struct zr_cell_journal **out,
			const struct zr_timers *timers,
			const struct zr_clock *clock,
			const struct zr_store *store,
			struct zr_cell_model *model, struct zr_metrics *metrics,
			const struct zr_cell_journal_events *events, void *ctx);

/**
 * zr_cell_journal_open() - allow writes after the cell has been gained
 * @journal: the journal
 * @owner_key: store key that names the owner; must stay valid until
 *	zr_cell_journal_close()
 * @owner_revision: revision of @owner_key while this scheduler owns the cell
 */
void zr_cell_journal_open(struct zr_cell_journal *journal,
			  const char *owner_key, int64_t owner_revision);

/**
 * zr_cell_journal_close() - stop writing and ignore the replies to
 * transactions in flight
 */
void zr_cell_journal_close(struct zr_cell_journal *journal);

/**
 * zr_cell_journal_flush() - send pending changes, or start the timer that sends
 * them after a batching or retry delay
 */
void zr_cell_journal_flush(struct zr_cell_journal *journal);

/** zr_cell_journal_idle() - whether no change is pending or in flight */
bool zr_cell_journal_idle(const struct zr_cell_journal *journal);

/**
 * zr_cell_journal_set_counts() - publish the number of waiting jobs of each
 * queue
 * @journal: the journal
 * @counts: encoded zx_cell_counts record; ownership passes to the journal
 */
void zr_cell_journal_set_counts(struct zr_cell_journal *journal,
				struct zr_cell_buffer counts);

/**
 * zr_cell_journal_set_past_use() - write the record of past use
 * @journal: the journal
 * @record: encoded zx_cell_past_use record; ownership passes to the journal
 *
 * Not to be called again before &struct
 * zr_cell_journal_events.past_use_persisted. The record is part of a
 * transaction that writes progress records, if there are any.
 */
void zr_cell_journal_set_past_use(struct zr_cell_journal *journal,
				  struct zr_cell_buffer record);

/**
 * zr_cell_journal_set_past_use_revision() - set the revision of the record of
 * past use in the store, as loaded; 0: there is none
 */
void zr_cell_journal_set_past_use_revision(struct zr_cell_journal *journal,
					   int64_t revision);

/**
 * zr_cell_journal_remove() - delete the progress record of an ended job
 * @journal: the journal
 * @id: job id
 *
 * Does nothing while too many deletions are pending; the record then stays in
 * the store until the next owner of the cell loads and deletes it.
 */
void zr_cell_journal_remove(struct zr_cell_journal *journal, const char *id);

void zr_cell_journal_free(struct zr_cell_journal *journal);

#endif

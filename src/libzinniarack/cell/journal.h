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
 * Writes where jobs stand into the store, several jobs in one transaction and
 * several transactions at once, but never two with the same job. Each write is
 * conditional on the owner key, so that a deposed scheduler's writes fail, and
 * on the job's own record, so that a write that was not answered and is carried
 * out late cannot undo a newer one.
 */

struct zr_cell_journal;

/**
 * struct zr_cell_journal_events - what the journal tells
 * @written: the store holds a job's changes up to its &zr_cell_job.written
 * @deposed: another scheduler owns the cell
 */
struct zr_cell_journal_events {
	void (*written)(void *ctx, struct zr_cell_job *job);
	void (*deposed)(void *ctx);
};

/**
 * zr_cell_journal_new() - make a journal that is closed
 * @out: to be freed with zr_cell_journal_free()
 * @timers: where timers come from
 * @clock: the clock
 * @store: the store, kept by reference
 * @model: whose jobs it writes
 * @metrics: where it counts
 * @events: called with @ctx
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
 * zr_cell_journal_open() - begin to write
 * @journal: the journal
 * @owner_key: the owner key, kept by reference
 * @guard: its revision while this scheduler owns the cell
 */
void zr_cell_journal_open(struct zr_cell_journal *journal,
			  const char *owner_key, int64_t guard);

/** zr_cell_journal_close() - write no more and ignore open answers */
void zr_cell_journal_close(struct zr_cell_journal *journal);

/** zr_cell_journal_flush() - send what has changed, as far as it may */
void zr_cell_journal_flush(struct zr_cell_journal *journal);

/** zr_cell_journal_idle() - whether the store holds everything */
bool zr_cell_journal_idle(const struct zr_cell_journal *journal);

/** zr_cell_journal_counts() - publish waiting jobs; @counts is taken over */
void zr_cell_journal_counts(struct zr_cell_journal *journal,
			    struct zr_cell_bytes counts);

/** zr_cell_journal_forget() - remove the record of a job that ended long ago */
void zr_cell_journal_forget(struct zr_cell_journal *journal, const char *id);

void zr_cell_journal_free(struct zr_cell_journal *journal);

#endif

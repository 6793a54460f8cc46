#ifndef ZR_DOMAIN_JOURNAL_H
#define ZR_DOMAIN_JOURNAL_H

#include <stdint.h>

#include "msg_journal.h"
#include "zinniarack/store.h"
#include "zinniarack/timer.h"

/**
 * DOC: Journal of a failure domain
 *
 * Records gather for a commit interval and go to the store in one chunk, in a
 * transaction that holds only while this process owns the domain. A chunk whose
 * answer was lost is read back before anything else is written.
 */

struct zr_journal;

/**
 * typedef zr_journal_done_fn - the fate of one record
 * @ctx: as given with it
 * @error: 0: it is kept; ZR_E_STORE_DOWN or ZR_E_NOT_OWNER: it is surely not
 *	kept; ZR_E_OUTCOME_UNKNOWN: the journal was freed before it was known
 */
typedef void (*zr_journal_done_fn)(void *ctx, int error);

/** Called for each record that a load finds, oldest first. */
typedef void (*zr_journal_record_fn)(void *ctx, const zx_record *record);

/**
 * zr_journal_new() - the journal of a domain that this process has gained
 * @out: to be freed with zr_journal_free()
 * @timers: where timers come from
 * @store: the store, kept by reference
 * @domain: the failure domain
 * @owner_key: key that shows the owner
 * @epoch: epoch of this ownership
 * @guard: revision of @owner_key while it lasts
 *
 * Return: 0 or ZR_E_NOMEM.
 */
int zr_journal_new(struct zr_journal **out, const struct zr_timers *timers,
		   const struct zr_store *store, const char *domain,
		   const char *owner_key, uint64_t epoch, int64_t guard);

/**
 * zr_journal_load() - read what earlier owners have kept
 * @journal: the journal
 * @record: called for each record
 * @done: called once at the end
 * @ctx: passed to both
 */
void zr_journal_load(struct zr_journal *journal, zr_journal_record_fn record,
		     zr_journal_done_fn done, void *ctx);

/**
 * zr_journal_append() - keep a record
 * @journal: the journal
 * @record: the record; encoded before this function returns
 * @done: called once its fate is known
 * @ctx: passed to @done
 *
 * Return: 0, ZR_E_FULL when too much waits, or ZR_E_PROTOCOL when the record
 * cannot be encoded; @done is then not called.
 */
int zr_journal_append(struct zr_journal *journal, const zx_record *record,
		      zr_journal_done_fn done, void *ctx);

/** zr_journal_free() - end all records that still wait */
void zr_journal_free(struct zr_journal *journal);

#endif

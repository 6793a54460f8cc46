#ifndef ZR_DOMAIN_JOURNAL_H
#define ZR_DOMAIN_JOURNAL_H

#include <stdbool.h>
#include <stdint.h>

#include "msg_journal.h"
#include "zinniarack/clock.h"
#include "zinniarack/store.h"
#include "zinniarack/timer.h"

/**
 * DOC: Journal of a failure domain
 *
 * Records gather for a commit interval and go to the store in one chunk, in a
 * transaction that holds only while this process owns the domain. The interval
 * grows with the load, so that the number of writes a second is bounded. A
 * chunk whose answer was lost is read back before anything else is written.
 *
 * Jobs fall into a fixed number of groups by their number. A snapshot of one
 * group at a time is written behind the log, and chunks that all snapshots
 * cover are deleted: a take-over reads a bounded number of values.
 */

struct zr_journal;

/** Groups of jobs, each with a snapshot of its own; part of the format. */
#define ZR_JOURNAL_GROUPS 16

/**
 * typedef zr_journal_done_fn - the fate of one record
 * @ctx: as given with it
 * @error: 0: it is kept; ZR_E_STORE_DOWN or ZR_E_NOT_OWNER: it is surely not
 *	kept; ZR_E_OUTCOME_UNKNOWN: the journal was freed before it was known
 */
typedef void (*zr_journal_done_fn)(void *ctx, int error);

/** Called for each record that a load finds: workers, then jobs by number. */
typedef void (*zr_journal_record_fn)(void *ctx, const zx_record *record);

/**
 * enum zr_journal_mode - what becomes of a record when the store is down
 * @ZR_JOURNAL_ONCE: it ends with ZR_E_STORE_DOWN
 * @ZR_JOURNAL_UNTIL_KEPT: it waits, in its order
 */
enum zr_journal_mode {
	ZR_JOURNAL_ONCE,
	ZR_JOURNAL_UNTIL_KEPT,
};

/**
 * struct zr_journal_options - the journal of a domain that was gained
 * @version: ZR_JOURNAL_OPTIONS_VERSION
 * @timers: where timers come from
 * @clock: the clock
 * @store: the store, kept by reference
 * @domain: the failure domain
 * @owner_key: key that shows the owner
 * @epoch: epoch of this ownership
 * @guard: revision of @owner_key while it lasts
 * @groups: groups of jobs; 0 for ZR_JOURNAL_GROUPS
 */
struct zr_journal_options {
	unsigned int version;
	const struct zr_timers *timers;
	const struct zr_clock *clock;
	const struct zr_store *store;
	const char *domain;
	const char *owner_key;
	uint64_t epoch;
	int64_t guard;
	unsigned int groups;
};

#define ZR_JOURNAL_OPTIONS_VERSION 1

/**
 * zr_journal_new() - make a journal
 * @out: to be freed with zr_journal_free()
 * @options: how
 *
 * Return: 0 or ZR_E_NOMEM.
 */
int zr_journal_new(struct zr_journal **out,
		   const struct zr_journal_options *options);

/**
 * zr_journal_load() - read what earlier owners have kept
 * @journal: the journal
 * @record: called for each record that matters still
 * @done: called once at the end
 * @ctx: passed to both
 */
void zr_journal_load(struct zr_journal *journal, zr_journal_record_fn record,
		     zr_journal_done_fn done, void *ctx);

/**
 * zr_journal_append() - keep a record
 * @journal: the journal
 * @mode: what becomes of it when the store is down
 * @record: the record; encoded before this function returns
 * @done: called once its fate is known
 * @ctx: passed to @done
 *
 * Return: 0, ZR_E_FULL when too much waits, or ZR_E_PROTOCOL when the record
 * cannot be encoded; @done is then not called. With ZR_JOURNAL_UNTIL_KEPT it
 * is never ZR_E_FULL.
 */
int zr_journal_append(struct zr_journal *journal, enum zr_journal_mode mode,
		      const zx_record *record, zr_journal_done_fn done,
		      void *ctx);

/** zr_journal_forget() - a job that has ended needs to be kept no more */
void zr_journal_forget(struct zr_journal *journal, uint64_t number);

/** zr_journal_idle() - whether nothing waits to be kept */
bool zr_journal_idle(const struct zr_journal *journal);

/** zr_journal_free() - end all records that still wait */
void zr_journal_free(struct zr_journal *journal);

#endif

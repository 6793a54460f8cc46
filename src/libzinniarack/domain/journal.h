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
 * A write-ahead log in the store, from which the next owner of the domain
 * recovers. Appended records are batched: each write to the store is one chunk
 * of all records that were appended since the previous write. Writes are
 * limited to a fixed rate, so chunks grow with the load. A chunk is written by
 * a transaction that fails once this process no longer owns the domain. If the
 * response to such a transaction is lost, the transaction is repeated until its
 * outcome is known, before anything else is written.
 *
 * The log is compacted by snapshots. Jobs are divided into a fixed number of
 * shards by their number, and each shard has a snapshot of its own; one shard
 * is written at a time. A snapshot covers all chunks that were committed when
 * it was built. A chunk is deleted once the snapshots of all shards cover it.
 * This bounds the number of values that a recovery reads. Snapshots hold only
 * live records: those that a recovery still needs.
 */

struct zr_journal;

/** Default number of job shards; part of the storage format. */
#define ZR_JOURNAL_SHARDS 16

/**
 * typedef zr_journal_done_fn - called with the result of an append or a load
 * @ctx: the context passed with the request
 * @error: 0: the record is committed; ZR_E_STORE_DOWN or ZR_E_NOT_OWNER: it is
 *	certain not to be committed; ZR_E_OUTCOME_UNKNOWN: the journal was freed
 *	before the outcome was known
 */
typedef void (*zr_journal_done_fn)(void *ctx, int error);

/**
 * Called for each live record that was loaded: the records of workers first,
 * then those of jobs in the order of their numbers.
 */
typedef void (*zr_journal_record_fn)(void *ctx, const zx_record *record);

/**
 * enum zr_journal_retry_mode - handling of a record if the store is down
 * @ZR_JOURNAL_FAIL_FAST: it fails with ZR_E_STORE_DOWN
 * @ZR_JOURNAL_RETRY: it is retried, in the order of appending
 */
enum zr_journal_retry_mode {
	ZR_JOURNAL_FAIL_FAST,
	ZR_JOURNAL_RETRY,
};

/**
 * struct zr_journal_options - parameters of a journal
 * @version: ZR_JOURNAL_OPTIONS_VERSION
 * @timers: timer factory
 * @clock: clock for the write rate and for backoff
 * @store: store; must outlive the journal
 * @domain: name of the failure domain
 * @owner_key: store key of the owner
 * @epoch: epoch of the current term of ownership
 * @owner_revision: store revision of @owner_key during the term
 * @shard_count: number of job shards; 0 for ZR_JOURNAL_SHARDS
 */
struct zr_journal_options {
	unsigned int version;
	const struct zr_timers *timers;
	const struct zr_clock *clock;
	const struct zr_store *store;
	const char *domain;
	const char *owner_key;
	uint64_t epoch;
	int64_t owner_revision;
	unsigned int shard_count;
};

#define ZR_JOURNAL_OPTIONS_VERSION 1

/**
 * zr_journal_new() - create a journal
 * @out: the journal; free it with zr_journal_free()
 * @options: parameters; copied
 *
 * Nothing is written before zr_journal_load() has succeeded.
 *
 * Return: 0 or ZR_E_NOMEM.
 */
int zr_journal_new(struct zr_journal **out,
		   const struct zr_journal_options *options);

/**
 * zr_journal_load() - read the records of previous owners from the store
 * @journal: the journal
 * @record: called for each live record once all have been read
 * @done: called once, after the last call of @record or on an error
 * @ctx: passed to @record and @done
 */
void zr_journal_load(struct zr_journal *journal, zr_journal_record_fn record,
		     zr_journal_done_fn done, void *ctx);

/**
 * zr_journal_append() - queue a record for the next chunk
 * @journal: the journal
 * @mode: what happens to it if the store is unavailable
 * @record: the record; encoded before this function returns
 * @done: called once, with the result
 * @ctx: passed to @done
 *
 * Return: 0, ZR_E_NOMEM, ZR_E_FULL if too many bytes are queued (only with
 * ZR_JOURNAL_FAIL_FAST), or ZR_E_PROTOCOL if the record can't be encoded. @done
 * is not called on an error.
 */
int zr_journal_append(struct zr_journal *journal,
		      enum zr_journal_retry_mode mode, const zx_record *record,
		      zr_journal_done_fn done, void *ctx);

/**
 * zr_journal_remove_job() - remove the records of a job that has ended
 * @journal: the journal
 * @number: number of the job
 *
 * The next snapshot of the job's shard leaves these records out.
 */
void zr_journal_remove_job(struct zr_journal *journal, uint64_t number);

/** zr_journal_idle() - whether all appended records are committed */
bool zr_journal_idle(const struct zr_journal *journal);

/** zr_journal_free() - fail all records that are not committed and free */
void zr_journal_free(struct zr_journal *journal);

#endif

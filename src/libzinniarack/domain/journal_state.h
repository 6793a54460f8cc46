#ifndef ZR_DOMAIN_JOURNAL_STATE_H
#define ZR_DOMAIN_JOURNAL_STATE_H

#include <stddef.h>
#include <stdint.h>

#include "msg_journal.h"

/**
 * DOC: Live records of the journal
 *
 * The records in the store that a recovery still needs, kept in memory. Records
 * that are not persisted yet are not included. Snapshots are written from this
 * state, and a recovery reads the store into it.
 */

struct zr_journal_state;

/**
 * zr_journal_state_new() - create an empty state
 * @out: the state; free it with zr_journal_state_free()
 * @shard_count: number of job shards
 *
 * Return: 0 or ZR_E_NOMEM.
 */
int zr_journal_state_new(struct zr_journal_state **out,
			 unsigned int shard_count);

/** zr_journal_state_shard_of_job() - shard of a job, by its number */
unsigned int zr_journal_state_shard_of_job(const struct zr_journal_state *state,
					   uint64_t number);

/** zr_journal_state_shard_of() - shard of a record; 0 for worker records */
unsigned int zr_journal_state_shard_of(const struct zr_journal_state *state,
				       const zx_record *record);

/**
 * zr_journal_state_apply() - add a record and remove those that it supersedes
 * @state: the state
 * @record: the record; ignored if it belongs to a job that is not known, or if
 *	it is the acceptance of a job that is known
 * @bytes: its encoding; copied
 * @length: number of @bytes
 */
void zr_journal_state_apply(struct zr_journal_state *state,
			    const zx_record *record, const char *bytes,
			    u_int length);

/** zr_journal_state_remove_job() - remove all records of a job */
void zr_journal_state_remove_job(struct zr_journal_state *state,
				 uint64_t number);

/** zr_journal_state_bytes() - total size of the encoded records */
size_t zr_journal_state_bytes(const struct zr_journal_state *state);

/** zr_journal_state_job_count() - number of jobs with records */
size_t zr_journal_state_job_count(const struct zr_journal_state *state);

/** Called with the encoding of a record. */
typedef void (*zr_journal_state_record_fn)(void *ctx, const char *bytes,
					   u_int length);

/**
 * zr_journal_state_for_each_in_shard() - visit the records of a shard
 * @state: the state
 * @shard: the shard
 * @each: called for each worker record (shard 0 only), then for the records of
 *	each job, ordered by job number
 * @ctx: passed to @each
 */
void zr_journal_state_for_each_in_shard(struct zr_journal_state *state,
					unsigned int shard,
					zr_journal_state_record_fn each,
					void *ctx);

/**
 * zr_journal_state_for_each() - visit all records
 * @state: the state
 * @each: called for each worker record, then for the records of each job,
 *	ordered by job number
 * @ctx: passed to @each
 */
void zr_journal_state_for_each(struct zr_journal_state *state,
			       zr_journal_state_record_fn each, void *ctx);

/** zr_journal_state_free() - free the state; NULL is allowed */
void zr_journal_state_free(struct zr_journal_state *state);

#endif

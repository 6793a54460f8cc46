#ifndef ZR_DOMAIN_JOURNAL_STATE_H
#define ZR_DOMAIN_JOURNAL_STATE_H

#include <stddef.h>
#include <stdint.h>

#include "msg_journal.h"

/**
 * DOC: Image of what the journal holds
 *
 * The records that matter still, as kept in the store: nothing that is only
 * decided or on its way. Snapshots are written from it, and a take-over is
 * told from it.
 */

struct zr_journal_state;

int zr_journal_state_new(struct zr_journal_state **out, unsigned int groups);

/** zr_journal_state_shard_of_job() - the group of a job's number */
unsigned int zr_journal_state_shard_of_job(const struct zr_journal_state *image,
					   uint64_t number);

/** zr_journal_state_shard_of() - the group of a record */
unsigned int zr_journal_state_shard_of(const struct zr_journal_state *image,
				       const zx_record *record);

/**
 * zr_journal_state_apply() - a record is kept
 * @image: the image
 * @record: the record
 * @bytes: its encoding; copied
 * @length: bytes of @bytes
 */
void zr_journal_state_apply(struct zr_journal_state *image,
			    const zx_record *record, const char *bytes,
			    u_int length);

/** zr_journal_state_remove_job() - a job needs to be remembered no more */
void zr_journal_state_remove_job(struct zr_journal_state *image,
				 uint64_t number);

/** zr_journal_state_bytes() - bytes of all records */
size_t zr_journal_state_bytes(const struct zr_journal_state *image);

/** zr_journal_state_job_count() - number of jobs */
size_t zr_journal_state_job_count(const struct zr_journal_state *image);

/** Called with the encoding of a record. */
typedef void (*zr_journal_state_record_fn)(void *ctx, const char *bytes,
					   u_int length);

/** zr_journal_state_for_each_in_shard() - call @each for all records of a
 * group, jobs by number */
void zr_journal_state_for_each_in_shard(struct zr_journal_state *image,
					unsigned int group,
					zr_journal_state_record_fn each,
					void *ctx);

/** zr_journal_state_for_each() - call @each for all records: workers, then jobs
 * by number */
void zr_journal_state_for_each(struct zr_journal_state *image,
			       zr_journal_state_record_fn each, void *ctx);

void zr_journal_state_free(struct zr_journal_state *image);

#endif

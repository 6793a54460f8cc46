#ifndef ZR_DOMAIN_JOURNAL_PRIVATE_H
#define ZR_DOMAIN_JOURNAL_PRIVATE_H

#include <stdbool.h>

#include "domain/journal.h"
#include "domain/journal_state.h"
#include "zinniarack/job.h"

/**
 * DOC: Private declarations of the journal
 *
 * journal.c writes the log. journal_snapshot.c writes snapshots and deletes the
 * chunks that they cover. journal_load.c reads both during recovery.
 */

#define JOURNAL_PREFIX_MAX (ZR_NAME_MAX + 32)
#define JOURNAL_KEY_MAX (JOURNAL_PREFIX_MAX + 40)
#define JOURNAL_SHARDS_MAX 64

/**
 * struct journal_position - position of a chunk in the log
 * @epoch: epoch of the owner that wrote it
 * @sequence: its number within the epoch, from 1
 */
struct journal_position {
	uint64_t epoch;
	uint64_t sequence;
};

/**
 * struct journal_entry - a record that is not committed yet
 * @mode: see zr_journal_append()
 * @bytes: its encoding
 * @length: length of @bytes
 * @done: see zr_journal_append()
 * @ctx: passed to @done
 */
struct journal_entry {
	struct journal_entry *prev;
	struct journal_entry *next;
	enum zr_journal_retry_mode mode;
	char *bytes;
	u_int length;
	zr_journal_done_fn done;
	void *ctx;
};

/**
 * struct journal_chunk - a chunk that the store holds
 * @position: position of the chunk in the log
 * @bytes: size of the chunk
 * @deleting: whether the transaction in flight deletes it
 */
struct journal_chunk {
	struct journal_chunk *next;
	struct journal_position position;
	size_t bytes;
	bool deleting;
};

/** Encoding of a part of a snapshot; each part is a value of its own. */
struct journal_part {
	char *bytes;
	size_t length;
};

/**
 * struct journal_snapshot - the snapshot that is being written
 * @active: whether a snapshot is being written
 * @position: last chunk that it covers
 * @parts: its parts; part 0 is written last, as it makes the others valid
 * @part_count: number of @parts
 * @next_part: index of the part to write next; @part_count when only part 0 is
 *	left
 */
struct journal_snapshot {
	bool active;
	struct journal_position position;
	struct journal_part *parts;
	u_int part_count;
	u_int next_part;
};

/**
 * struct journal_shard - snapshot of a shard in the store
 * @covered: last chunk that it covers
 * @slot: which of the two sets of part keys it uses, 0 or 1; the next snapshot
 *	uses the other one, so that an unfinished one leaves this one intact
 */
struct journal_shard {
	struct journal_position covered;
	u_int slot;
};

struct journal_load;

/**
 * struct zr_journal - the journal of a failure domain
 * @prefix: prefix of all keys of the domain
 * @last_committed: the last committed chunk
 * @sequence: number of the last chunk that was built
 * @state: the live records that are persisted
 * @loaded: whether zr_journal_load() has succeeded
 * @open_calls: store calls in flight
 * @freeing: zr_journal_free() was called; the last call in flight frees this
 * @load: the load in progress, or NULL
 * @queued: records that are not in a chunk yet, oldest first
 * @in_flight: records of @chunk
 * @pending_bytes: bytes of the records in @queued and @in_flight
 * @chunk_key: key of @chunk
 * @chunk: the chunk whose outcome is not known yet, or NULL
 * @chunk_length: length of @chunk
 * @chunk_maybe_committed: whether the response to a transaction of @chunk was
 *	lost, so that the store may hold the chunk already
 * @refilled_at: time up to which @tokens is computed
 * @tokens: tokens in the bucket of the write rate; a write takes TOKEN of them
 * @retry_at: time before which nothing is written, after a store failure
 * @failures: consecutive store failures, up to the backoff limit
 * @backoff_seed: seed of the backoff jitter
 * @log: chunks that the store holds, newest first
 * @log_chunks: number of chunks in @log
 * @log_bytes: total size of the chunks in @log
 * @shard_count: number of job shards
 * @shards: their snapshots in the store
 * @in_round: whether a round of snapshots, one per shard, is in progress
 * @trimming: whether chunks that the last round has covered may remain to be
 *	deleted
 * @next_shard: shard of the current or next snapshot
 * @snapshot_next: whether the next write is for the compaction even if records
 *	are queued, so that the two alternate
 * @snapshot: the snapshot that is being written
 */
struct zr_journal {
	struct zr_journal_options options;
	char prefix[JOURNAL_PREFIX_MAX];
	char owner_key[JOURNAL_KEY_MAX];
	struct journal_position last_committed;
	uint64_t sequence;
	struct zr_timer *timer;
	struct zr_journal_state *state;
	bool loaded;
	unsigned int open_calls;
	bool freeing;
	struct journal_load *load;

	struct journal_entry *queued;
	struct journal_entry *in_flight;
	size_t pending_bytes;
	char chunk_key[JOURNAL_KEY_MAX];
	char *chunk;
	size_t chunk_length;
	bool chunk_maybe_committed;

	struct timespec refilled_at;
	int64_t tokens;
	struct timespec retry_at;
	unsigned int failures;
	uint64_t backoff_seed;

	struct journal_chunk *log;
	size_t log_chunks;
	size_t log_bytes;
	unsigned int shard_count;
	struct journal_shard shards[JOURNAL_SHARDS_MAX];
	bool in_round;
	bool trimming;
	unsigned int next_shard;
	bool snapshot_next;
	struct journal_snapshot snapshot;
};

/** zr_journal_position_cmp() - compare positions as strcmp() does strings */
int zr_journal_position_cmp(const struct journal_position *a,
			    const struct journal_position *b);

/**
 * zr_journal_apply() - apply a committed record to the live records
 * @journal: the journal
 * @bytes: encoding of the record
 * @length: length of @bytes
 * @position: chunk of the record; NULL for a record of a snapshot. The record
 *	is skipped if the snapshot of its shard covers the chunk
 */
void zr_journal_apply(struct zr_journal *journal, const char *bytes,
		      u_int length, const struct journal_position *position);

/**
 * zr_journal_call_ended() - count a store call as ended
 * @journal: the journal; freed if it was waiting for this call
 *
 * Return: false if zr_journal_free() was called; the caller must then not use
 * the journal any more.
 */
bool zr_journal_call_ended(struct zr_journal *journal);

/** zr_journal_back_off() - delay the next write after a store failure */
void zr_journal_back_off(struct zr_journal *journal);

/**
 * zr_journal_add_chunk() - add a chunk that the store holds to the log
 * @journal: the journal
 * @position: its position, higher than that of all others
 * @bytes: its size
 */
void zr_journal_add_chunk(struct zr_journal *journal,
			  const struct journal_position *position,
			  size_t bytes);

/* journal_snapshot.c */

/** zr_journal_snapshot_key() - key of part 0 of a shard's snapshot */
void zr_journal_snapshot_key(char out[JOURNAL_KEY_MAX],
			     const struct zr_journal *journal,
			     unsigned int shard);

/** zr_journal_part_key() - key of a further part of a shard's snapshot */
void zr_journal_part_key(char out[JOURNAL_KEY_MAX],
			 const struct zr_journal *journal, unsigned int shard,
			 u_int slot, u_int part);

/** zr_journal_snapshot_is_due() - whether there is compaction work to write */
bool zr_journal_snapshot_is_due(const struct zr_journal *journal);

/**
 * zr_journal_snapshot_write() - write the next step of the compaction
 * @journal: the journal; no call may be in flight
 *
 * A step is one transaction: a part of a snapshot, or a deletion of chunks.
 */
void zr_journal_snapshot_write(struct zr_journal *journal);

/** zr_journal_snapshot_clear() - discard the snapshot that is being written */
void zr_journal_snapshot_clear(struct zr_journal *journal);

/* journal_load.c */

/** zr_journal_load_free() - free the load in progress, if any */
void zr_journal_load_free(struct zr_journal *journal);

#endif

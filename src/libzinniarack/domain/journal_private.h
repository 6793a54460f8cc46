#ifndef ZR_DOMAIN_JOURNAL_PRIVATE_H
#define ZR_DOMAIN_JOURNAL_PRIVATE_H

#include <stdbool.h>

#include "domain/image.h"
#include "domain/journal.h"
#include "zinniarack/job.h"

/**
 * DOC: What the files of the journal share
 *
 * journal.c: the log. snapshot.c: snapshots and what they make superfluous.
 * journal_load.c: reading both at a take-over.
 */

#define JOURNAL_PREFIX_MAX (ZR_NAME_MAX + 32)
#define JOURNAL_KEY_MAX (JOURNAL_PREFIX_MAX + 40)
#define JOURNAL_GROUPS_MAX 64

/** Where a chunk lies in the log. */
struct journal_position {
	uint64_t epoch;
	uint64_t sequence;
};

struct journal_entry {
	struct journal_entry *prev;
	struct journal_entry *next;
	enum zr_journal_mode mode;
	char *bytes;
	u_int length;
	zr_journal_done_fn done;
	void *ctx;
};

/** A chunk of the log; @deleting: the open transaction deletes it. */
struct journal_chunk {
	struct journal_chunk *next;
	struct journal_position position;
	size_t bytes;
	bool deleting;
};

struct journal_part {
	char *bytes;
	size_t length;
};

/**
 * struct journal_snapshot - the snapshot of a group that is being written
 * @active: whether one is
 * @position: what it covers
 * @parts: its values; the first goes last, as its head
 * @part_count: how many
 * @next_part: the part to write next
 */
struct journal_snapshot {
	bool active;
	struct journal_position position;
	struct journal_part *parts;
	u_int part_count;
	u_int next_part;
};

/**
 * struct journal_group - what the store holds of a group
 * @covered: chunks up to here are in its snapshot
 * @slot: which of two sets of part keys its snapshot uses
 */
struct journal_group {
	struct journal_position covered;
	u_int slot;
};

struct journal_load;

struct zr_journal {
	struct zr_journal_options options;
	char prefix[JOURNAL_PREFIX_MAX];
	char owner_key[JOURNAL_KEY_MAX];
	struct journal_position last;
	uint64_t sequence;
	struct zr_timer *timer;
	struct zr_image *image;
	bool loaded;
	unsigned int open_calls;
	bool freeing;
	struct journal_load *load;

	struct journal_entry *waiting;
	struct journal_entry *in_flight;
	size_t pending_bytes;
	char chunk_key[JOURNAL_KEY_MAX];
	char *chunk;
	size_t chunk_length;
	bool chunk_may_be_kept;

	struct timespec refilled;
	int64_t tokens;
	struct timespec retry_at;
	unsigned int failures;
	uint64_t epoch_seed;

	struct journal_chunk *log;
	size_t log_chunks;
	size_t log_bytes;
	unsigned int groups;
	struct journal_group group[JOURNAL_GROUPS_MAX];
	bool round;
	bool trim;
	unsigned int next_group;
	bool snapshot_turn;
	struct journal_snapshot snapshot;
};

int zr_journal_position_cmp(const struct journal_position *a,
			    const struct journal_position *b);
void zr_journal_apply(struct zr_journal *journal, const char *bytes,
		      u_int length, const struct journal_position *position);

/** zr_journal_answered() - whether the journal is still there for an answer */
bool zr_journal_answered(struct zr_journal *journal);
void zr_journal_back_off(struct zr_journal *journal);
void zr_journal_note_chunk(struct zr_journal *journal,
			   const struct journal_position *position,
			   size_t bytes);

/* snapshot.c */
void zr_journal_snapshot_key(char out[JOURNAL_KEY_MAX],
			     const struct zr_journal *journal,
			     unsigned int group);
void zr_journal_part_key(char out[JOURNAL_KEY_MAX],
			 const struct zr_journal *journal, unsigned int group,
			 u_int slot, u_int part);
bool zr_journal_snapshot_due(const struct zr_journal *journal);
void zr_journal_snapshot_write(struct zr_journal *journal);
void zr_journal_snapshot_clear(struct zr_journal *journal);

/* journal_load.c */
void zr_journal_load_free(struct zr_journal *journal);

#endif

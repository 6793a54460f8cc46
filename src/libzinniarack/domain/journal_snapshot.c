#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "domain/journal_private.h"
#include "zinniarack/errors.h"
#include "zinniarack/log.h"

/* Larger than any record, as a command is at most 64 KiB. */
#define PART_BYTES_MAX (256u << 10)
/* When the log is this long, a round of snapshots begins. */
#define LOG_CHUNKS_MAX 512
#define LOG_BYTES_MAX (1u << 20)
/* Chunks that one transaction deletes; stores bound its operations. */
#define DELETES_MAX 100

void zr_journal_snapshot_key(char out[JOURNAL_KEY_MAX],
			     const struct zr_journal *journal,
			     unsigned int group)
{
	snprintf(out, JOURNAL_KEY_MAX, "%ssnapshot/%02u", journal->prefix,
		 group);
}

void zr_journal_part_key(char out[JOURNAL_KEY_MAX],
			 const struct zr_journal *journal, unsigned int group,
			 u_int slot, u_int part)
{
	snprintf(out, JOURNAL_KEY_MAX, "%spart/%02u-%u-%04u", journal->prefix,
		 group, slot, part);
}

/* Building */

struct builder {
	struct journal_snapshot *snapshot;
	struct journal_part *part;
	u_int count;
};

#define COUNT_OFFSET (2 * sizeof(uint64_t) + 2 * sizeof(uint32_t))
#define HEADER_BYTES (COUNT_OFFSET + sizeof(uint32_t))

static void begin_part(struct builder *builder)
{
	struct journal_snapshot *snapshot = builder->snapshot;
	size_t count = snapshot->part_count + 1;

	snapshot->parts =
		realloc(snapshot->parts, count * sizeof(*snapshot->parts));
	if (!snapshot->parts)
		abort();
	builder->part = &snapshot->parts[snapshot->part_count++];
	builder->part->bytes = malloc(PART_BYTES_MAX);
	if (!builder->part->bytes)
		abort();
	builder->part->length = HEADER_BYTES;
	builder->count = 0;
}

static void set_count(struct builder *builder)
{
	XDR xdrs;

	xdrmem_create(&xdrs, builder->part->bytes + COUNT_OFFSET,
		      sizeof(uint32_t), XDR_ENCODE);
	xdr_u_int(&xdrs, &builder->count);
}

static void add_record(void *ctx, const char *bytes, u_int length)
{
	struct builder *builder = ctx;
	struct journal_part *part = builder->part;

	if (part->length + length > PART_BYTES_MAX ||
	    builder->count == ZX_LIST_MAX) {
		set_count(builder);
		begin_part(builder);
		part = builder->part;
	}
	memcpy(part->bytes + part->length, bytes, length);
	part->length += length;
	builder->count++;
}

/* Encodes as xdr_zx_snapshot() does; the count is there already. */
static void set_header(struct zr_journal *journal, struct journal_part *part,
		       u_int slot)
{
	struct journal_snapshot *snapshot = &journal->snapshot;
	u_quad_t epoch = snapshot->position.epoch;
	u_quad_t sequence = snapshot->position.sequence;
	u_int parts = snapshot->part_count;
	XDR xdrs;

	xdrmem_create(&xdrs, part->bytes, HEADER_BYTES, XDR_ENCODE);
	xdr_u_quad_t(&xdrs, &epoch);
	xdr_u_quad_t(&xdrs, &sequence);
	xdr_u_int(&xdrs, &parts);
	xdr_u_int(&xdrs, &slot);
}

static void build(struct zr_journal *journal)
{
	struct journal_snapshot *snapshot = &journal->snapshot;
	struct builder builder = {.snapshot = snapshot};
	u_int slot = !journal->group[journal->next_group].slot;
	u_int i;

	snapshot->active = true;
	snapshot->position = journal->last;
	begin_part(&builder);
	zr_image_each(journal->image, journal->next_group, add_record,
		      &builder);
	set_count(&builder);
	for (i = 0; i < snapshot->part_count; i++)
		set_header(journal, &snapshot->parts[i], slot);
	snapshot->next_part = 1;
}

void zr_journal_snapshot_clear(struct zr_journal *journal)
{
	struct journal_snapshot *snapshot = &journal->snapshot;
	u_int i;

	for (i = 0; i < snapshot->part_count; i++)
		free(snapshot->parts[i].bytes);
	free(snapshot->parts);
	memset(snapshot, 0, sizeof(*snapshot));
}

/* Rounds */

bool zr_journal_snapshot_due(const struct zr_journal *journal)
{
	size_t bytes_max = zr_image_bytes(journal->image) / 2;

	if (bytes_max < LOG_BYTES_MAX)
		bytes_max = LOG_BYTES_MAX;
	return journal->round || journal->trim ||
	       journal->log_chunks > LOG_CHUNKS_MAX ||
	       journal->log_bytes > bytes_max;
}

static struct journal_position least_covered(const struct zr_journal *journal)
{
	struct journal_position least = journal->group[0].covered;
	unsigned int i;

	for (i = 1; i < journal->groups; i++) {
		if (zr_journal_position_cmp(&journal->group[i].covered,
					    &least) < 0)
			least = journal->group[i].covered;
	}
	return least;
}

/* Takes covered chunks off the list, as many as one transaction deletes. */
static void drop_covered(struct zr_journal *journal)
{
	struct journal_position least = least_covered(journal);
	struct journal_chunk *chunk;
	struct journal_chunk *next;

	LL_FOREACH_SAFE(journal->log, chunk, next)
	{
		if (!chunk->deleting ||
		    zr_journal_position_cmp(&chunk->position, &least) > 0)
			continue;
		LL_DELETE(journal->log, chunk);
		journal->log_chunks--;
		journal->log_bytes -= chunk->bytes;
		free(chunk);
	}
}

static void group_done(struct zr_journal *journal)
{
	struct journal_group *group = &journal->group[journal->next_group];

	group->covered = journal->snapshot.position;
	group->slot = !group->slot;
	zr_journal_snapshot_clear(journal);
	if (++journal->next_group == journal->groups) {
		journal->next_group = 0;
		journal->round = false;
		journal->trim = true;
	}
}

/* Writing */

static void on_head(void *ctx, int error, const struct zr_store_reply *reply)
{
	struct zr_journal *journal = ctx;

	if (!zr_journal_answered(journal))
		return;
	if (error < 0) {
		zr_journal_back_off(journal);
		return;
	}
	journal->failures = 0;
	if (!reply->succeeded)
		return; /* no longer the owner */
	drop_covered(journal);
	group_done(journal);
}

static void on_part(void *ctx, int error, const struct zr_store_reply *reply)
{
	struct zr_journal *journal = ctx;

	if (!zr_journal_answered(journal))
		return;
	if (error < 0) {
		zr_journal_back_off(journal);
		return;
	}
	journal->failures = 0;
	if (reply->succeeded)
		journal->snapshot.next_part++;
}

static void commit(struct zr_journal *journal, const struct zr_store_put *puts,
		   size_t count, zr_store_done_fn done)
{
	const struct zr_store_compare guard = {journal->owner_key,
					       journal->options.guard};
	const struct zr_store_txn txn = {&guard, 1, puts, count};

	journal->open_calls++;
	zr_store_commit(journal->options.store, ZR_STORE_OTHER, &txn, done,
			journal);
}

static size_t add_deletes(struct zr_journal *journal, struct zr_store_put *puts,
			  char (*keys)[JOURNAL_KEY_MAX])
{
	struct journal_position least = least_covered(journal);
	struct journal_chunk *chunk;
	size_t count = 0;

	LL_FOREACH(journal->log, chunk)
	{
		chunk->deleting =
			count < DELETES_MAX &&
			zr_journal_position_cmp(&chunk->position, &least) <= 0;
		if (!chunk->deleting)
			continue;
		snprintf(keys[count], JOURNAL_KEY_MAX,
			 "%slog/%016" PRIx64 "-%016" PRIx64, journal->prefix,
			 chunk->position.epoch, chunk->position.sequence);
		memset(&puts[count], 0, sizeof(puts[count]));
		puts[count].key = keys[count];
		count++;
	}
	return count;
}

static void write_head(struct zr_journal *journal)
{
	struct zr_store_put puts[DELETES_MAX + 1];
	char keys[DELETES_MAX + 1][JOURNAL_KEY_MAX];
	size_t count = add_deletes(journal, puts, keys);

	zr_journal_snapshot_key(keys[count], journal, journal->next_group);
	puts[count] = (struct zr_store_put){
		keys[count],
		journal->snapshot.parts[0].bytes,
		journal->snapshot.parts[0].length,
		0,
	};
	commit(journal, puts, count + 1, on_head);
}

static void write_part(struct zr_journal *journal)
{
	u_int part = journal->snapshot.next_part;
	u_int slot = !journal->group[journal->next_group].slot;
	char key[JOURNAL_KEY_MAX];
	const struct zr_store_put put = {
		key,
		journal->snapshot.parts[part].bytes,
		journal->snapshot.parts[part].length,
		0,
	};

	zr_journal_part_key(key, journal, journal->next_group, slot, part);
	commit(journal, &put, 1, on_part);
}

static void on_trimmed(void *ctx, int error, const struct zr_store_reply *reply)
{
	struct zr_journal *journal = ctx;

	if (!zr_journal_answered(journal))
		return;
	if (error < 0)
		zr_journal_back_off(journal);
	else if (reply->succeeded)
		drop_covered(journal);
}

/* Deletes what a round that has ended left of the log. */
static void write_trim(struct zr_journal *journal)
{
	struct zr_store_put puts[DELETES_MAX];
	char keys[DELETES_MAX][JOURNAL_KEY_MAX];
	size_t count = add_deletes(journal, puts, keys);

	if (count)
		commit(journal, puts, count, on_trimmed);
	else
		journal->trim = false;
}

void zr_journal_snapshot_write(struct zr_journal *journal)
{
	if (journal->trim) {
		write_trim(journal);
		return;
	}
	if (!journal->snapshot.active) {
		journal->round = true;
		build(journal);
	}
	if (journal->snapshot.next_part < journal->snapshot.part_count)
		write_part(journal);
	else
		write_head(journal);
}

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "domain/journal_private.h"
#include "zinniarack/errors.h"

/* A value that was read; @shard and @part are set for a part of a snapshot. */
struct loaded_value {
	unsigned int shard;
	u_int part;
	char *bytes;
	size_t length;
};

/* The read of one part of a snapshot. */
struct part_read {
	struct zr_journal *journal;
	unsigned int shard;
	u_int part;
};

/**
 * struct journal_load - a load in progress
 * @record: see zr_journal_load()
 * @done: see zr_journal_load()
 * @ctx: passed to @record and @done
 * @open_reads: store reads in flight
 * @error: error of a read, or 0
 * @chunks: chunks of the log, oldest first
 * @chunk_count: number of @chunks
 * @parts: parts of snapshots, in order of arrival
 * @part_count: number of @parts
 *
 * Nothing is applied before all values are read, as the records of a part
 * depend on those of the parts before it, and chunks on the snapshots.
 */
struct journal_load {
	zr_journal_record_fn record;
	zr_journal_done_fn done;
	void *ctx;
	unsigned int open_reads;
	int error;
	struct loaded_value *chunks;
	size_t chunk_count;
	struct loaded_value *parts;
	size_t part_count;
};

void zr_journal_load_free(struct zr_journal *journal)
{
	struct journal_load *load = journal->load;
	size_t i;

	if (!load)
		return;
	for (i = 0; i < load->chunk_count; i++)
		free(load->chunks[i].bytes);
	for (i = 0; i < load->part_count; i++)
		free(load->parts[i].bytes);
	free(load->chunks);
	free(load->parts);
	free(load);
	journal->load = NULL;
}

/* Applying values */

static void apply_record(struct zr_journal *journal, zx_record *record,
			 const struct journal_position *position)
{
	u_int size = (u_int)xdr_sizeof((xdrproc_t)xdr_zx_record, record);
	char *bytes = malloc(size);
	XDR xdrs;

	if (!bytes)
		abort();
	xdrmem_create(&xdrs, bytes, size, XDR_ENCODE);
	if (xdr_zx_record(&xdrs, record))
		zr_journal_apply(journal, bytes, size, position);
	free(bytes);
}

static int apply_chunk(struct zr_journal *journal,
		       const struct loaded_value *loaded)
{
	struct journal_position position;
	zx_chunk chunk;
	XDR xdrs;
	u_int i;
	bool ok;

	memset(&chunk, 0, sizeof(chunk));
	xdrmem_create(&xdrs, loaded->bytes, (u_int)loaded->length, XDR_DECODE);
	ok = xdr_zx_chunk(&xdrs, &chunk);
	position.epoch = chunk.epoch;
	position.sequence = chunk.sequence;
	for (i = 0; ok && i < chunk.records.records_len; i++)
		apply_record(journal, &chunk.records.records_val[i], &position);
	if (ok)
		zr_journal_add_chunk(journal, &position, loaded->length);
	xdr_free((xdrproc_t)xdr_zx_chunk, (void *)&chunk);
	return ok ? 0
		  : zr_error_set(ZR_E_PROTOCOL,
				 "journal chunk could not be decoded");
}

static void report_record(void *ctx, const char *bytes, u_int length)
{
	struct zr_journal *journal = ctx;
	zx_record record;
	XDR xdrs;

	memset(&record, 0, sizeof(record));
	xdrmem_create(&xdrs, (char *)bytes, length, XDR_DECODE);
	if (xdr_zx_record(&xdrs, &record))
		journal->load->record(journal->load->ctx, &record);
	xdr_free((xdrproc_t)xdr_zx_record, (void *)&record);
}

/* The last chunk that any snapshot covers; the log may no longer hold it. */
static struct journal_position last_covered(const struct zr_journal *journal)
{
	struct journal_position last = journal->shards[0].covered;
	unsigned int i;

	for (i = 1; i < journal->shard_count; i++) {
		if (zr_journal_position_cmp(&journal->shards[i].covered,
					    &last) > 0)
			last = journal->shards[i].covered;
	}
	return last;
}

static int apply_part(struct zr_journal *journal,
		      const struct loaded_value *loaded)
{
	zx_snapshot snapshot;
	XDR xdrs;
	u_int i;
	bool ok;

	memset(&snapshot, 0, sizeof(snapshot));
	xdrmem_create(&xdrs, loaded->bytes, (u_int)loaded->length, XDR_DECODE);
	ok = xdr_zx_snapshot(&xdrs, &snapshot);
	for (i = 0; ok && i < snapshot.records.records_len; i++)
		apply_record(journal, &snapshot.records.records_val[i], NULL);
	xdr_free((xdrproc_t)xdr_zx_snapshot, (void *)&snapshot);
	return ok ? 0
		  : zr_error_set(ZR_E_PROTOCOL,
				 "journal snapshot could not be decoded");
}

static int compare_parts(const void *a, const void *b)
{
	const struct loaded_value *first = a;
	const struct loaded_value *second = b;

	if (first->shard != second->shard)
		return first->shard < second->shard ? -1 : 1;
	return (first->part > second->part) - (first->part < second->part);
}

static void finish_load(struct zr_journal *journal)
{
	struct journal_load *load = journal->load;
	zr_journal_done_fn done = load->done;
	void *ctx = load->ctx;
	int error = load->error;
	size_t i;

	journal->last_committed = last_covered(journal);
	if (load->part_count)
		qsort(load->parts, load->part_count, sizeof(*load->parts),
		      compare_parts);
	for (i = 0; !error && i < load->part_count; i++)
		error = apply_part(journal, &load->parts[i]);
	for (i = 0; !error && i < load->chunk_count; i++)
		error = apply_chunk(journal, &load->chunks[i]);
	if (!error)
		zr_journal_state_for_each(journal->state, report_record,
					  journal);
	zr_journal_load_free(journal);
	journal->loaded = !error;
	done(ctx, error);
}

/* Records the error of a read. Returns false if the journal is being freed. */
static bool record_read_error(struct zr_journal *journal, int error)
{
	if (!zr_journal_call_ended(journal))
		return false;
	if (error < 0)
		journal->load->error = error;
	return true;
}

/* Counts a read as handled; the last one finishes the load. */
static void finish_read(struct zr_journal *journal)
{
	if (!--journal->load->open_reads)
		finish_load(journal);
}

/* Reading values */

static void read_part(struct zr_journal *journal, unsigned int shard,
		      u_int part);

static void copy_value(struct loaded_value *out,
		       const struct zr_store_value *value)
{
	out->length = value->length;
	out->bytes = malloc(value->length + 1);
	if (!out->bytes)
		abort();
	memcpy(out->bytes, value->data, value->length);
}

static void add_part(const struct part_read *read,
		     const struct zr_store_value *value)
{
	struct journal_load *load = read->journal->load;
	size_t count = load->part_count + 1;
	struct loaded_value *loaded;

	load->parts = realloc(load->parts, count * sizeof(*load->parts));
	if (!load->parts)
		abort();
	loaded = &load->parts[load->part_count++];
	loaded->shard = read->shard;
	loaded->part = read->part;
	copy_value(loaded, value);
}

/*
 * Decodes the fields of zx_snapshot that precede the records, and reads the
 * further parts.
 */
static int handle_first_part(const struct part_read *read,
			     const struct zr_store_value *value)
{
	struct journal_shard *shard = &read->journal->shards[read->shard];
	u_quad_t epoch = 0;
	u_quad_t sequence = 0;
	u_int parts = 0;
	XDR xdrs;
	u_int i;

	xdrmem_create(&xdrs, value->data, (u_int)value->length, XDR_DECODE);
	if (!xdr_u_quad_t(&xdrs, &epoch) || !xdr_u_quad_t(&xdrs, &sequence) ||
	    !xdr_u_int(&xdrs, &parts) || !xdr_u_int(&xdrs, &shard->slot))
		return zr_error_set(ZR_E_PROTOCOL,
				    "%s: journal snapshot could not be decoded",
				    value->key);
	shard->covered.epoch = epoch;
	shard->covered.sequence = sequence;
	for (i = 1; i < parts; i++)
		read_part(read->journal, read->shard, i);
	return 0;
}

static int handle_part(const struct part_read *read,
		       const struct zr_store_reply *reply)
{
	/* Without a first part, the shard has no snapshot yet. */
	if (!reply->count)
		return read->part ? ZR_E_PROTOCOL : 0;
	add_part(read, &reply->values[0]);
	return read->part ? 0 : handle_first_part(read, &reply->values[0]);
}

static void on_part_read(void *ctx, int error,
			 const struct zr_store_reply *reply)
{
	struct part_read *read = ctx;
	struct zr_journal *journal = read->journal;

	if (record_read_error(journal, error)) {
		if (!error)
			error = handle_part(read, reply);
		if (error < 0)
			journal->load->error = error;
		finish_read(journal);
	}
	free(read);
}

static void read_part(struct zr_journal *journal, unsigned int shard,
		      u_int part)
{
	struct part_read *read = calloc(1, sizeof(*read));
	char key[JOURNAL_KEY_MAX];

	if (!read)
		abort();
	read->journal = journal;
	read->shard = shard;
	read->part = part;
	if (part)
		zr_journal_part_key(key, journal, shard,
				    journal->shards[shard].slot, part);
	else
		zr_journal_snapshot_key(key, journal, shard);
	journal->open_calls++;
	journal->load->open_reads++;
	zr_store_range(journal->options.store, ZR_STORE_RECOVERY, key, false,
		       on_part_read, read);
}

static void on_log_read(void *ctx, int error,
			const struct zr_store_reply *reply)
{
	struct zr_journal *journal = ctx;
	struct journal_load *load;
	size_t i;

	if (!record_read_error(journal, error))
		return;
	load = journal->load;
	if (!error)
		load->chunks = calloc(reply->count + 1, sizeof(*load->chunks));
	for (i = 0; !error && load->chunks && i < reply->count; i++)
		copy_value(&load->chunks[load->chunk_count++],
			   &reply->values[i]);
	finish_read(journal);
}

void zr_journal_load(struct zr_journal *journal, zr_journal_record_fn record,
		     zr_journal_done_fn done, void *ctx)
{
	struct journal_load *load = calloc(1, sizeof(*load));
	char prefix[JOURNAL_KEY_MAX];
	unsigned int i;

	if (!load)
		abort();
	load->record = record;
	load->done = done;
	load->ctx = ctx;
	journal->load = load;
	snprintf(prefix, sizeof(prefix), "%slog/", journal->prefix);
	journal->open_calls++;
	load->open_reads++;
	zr_store_range(journal->options.store, ZR_STORE_RECOVERY, prefix, true,
		       on_log_read, journal);
	for (i = 0; i < journal->shard_count; i++)
		read_part(journal, i, 0);
}

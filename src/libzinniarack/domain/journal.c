#include "domain/journal.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include <xxhash.h>

#include "domain/journal_private.h"
#include "zinniarack/errors.h"
#include "zinniarack/log.h"

#define TICK_MS 5
/* A chunk takes no further record once it has this size. */
#define CHUNK_BYTES_MAX (256u << 10)
/*
 * While more bytes than this are pending, further records that are not retried
 * are rejected with ZR_E_FULL.
 */
#define PENDING_BYTES_MAX (8u << 20)
/* Token bucket that limits a domain's writes to the store. */
#define WRITES_PER_S 18
#define WRITES_BURST 10
#define MS_PER_S 1000
/* Tokens per write; makes the refill per millisecond a whole number. */
#define TOKEN MS_PER_S
#define BACKOFF_MS 250
#define BACKOFF_MAX_MS 4000

int zr_journal_position_cmp(const struct journal_position *a,
			    const struct journal_position *b)
{
	if (a->epoch != b->epoch)
		return a->epoch < b->epoch ? -1 : 1;
	if (a->sequence != b->sequence)
		return a->sequence < b->sequence ? -1 : 1;
	return 0;
}

bool zr_journal_call_ended(struct zr_journal *journal)
{
	journal->open_calls--;
	if (!journal->freeing)
		return true;
	if (!journal->open_calls) {
		zr_journal_load_free(journal);
		free(journal);
	}
	return false;
}

void zr_journal_add_chunk(struct zr_journal *journal,
			  const struct journal_position *position, size_t bytes)
{
	struct journal_chunk *chunk = calloc(1, sizeof(*chunk));

	if (!chunk)
		abort();
	chunk->position = *position;
	chunk->bytes = bytes;
	LL_PREPEND(journal->log, chunk);
	journal->log_chunks++;
	journal->log_bytes += bytes;
	journal->last_committed = *position;
}

void zr_journal_apply(struct zr_journal *journal, const char *bytes,
		      u_int length, const struct journal_position *position)
{
	zx_record record;
	unsigned int shard;
	XDR xdrs;

	memset(&record, 0, sizeof(record));
	xdrmem_create(&xdrs, (char *)bytes, length, XDR_DECODE);
	if (xdr_zx_record(&xdrs, &record)) {
		shard = zr_journal_state_shard_of(journal->state, &record);
		if (!position ||
		    zr_journal_position_cmp(&journal->shards[shard].covered,
					    position) < 0)
			zr_journal_state_apply(journal->state, &record, bytes,
					       length);
	}
	xdr_free((xdrproc_t)xdr_zx_record, (void *)&record);
}

/* Write rate and backoff */

static struct timespec now(const struct zr_journal *journal)
{
	return zr_clock_now(journal->options.clock);
}

static void refill_tokens(struct zr_journal *journal)
{
	struct timespec current = now(journal);
	int64_t elapsed_ms = zr_time_diff_ms(current, journal->refilled_at);

	if (elapsed_ms <= 0)
		return;
	journal->refilled_at = current;
	journal->tokens += elapsed_ms * WRITES_PER_S * TOKEN / MS_PER_S;
	if (journal->tokens > (int64_t)WRITES_BURST * TOKEN)
		journal->tokens = (int64_t)WRITES_BURST * TOKEN;
}

static bool may_write(struct zr_journal *journal)
{
	refill_tokens(journal);
	return journal->tokens >= TOKEN &&
	       zr_time_cmp(now(journal), journal->retry_at) >= 0;
}

/* The jitter spreads the writes of all hosts when the store comes back. */
void zr_journal_back_off(struct zr_journal *journal)
{
	uint64_t seed = journal->backoff_seed ^ journal->failures;
	unsigned int limit_ms = BACKOFF_MS << journal->failures;
	uint64_t jitter_ms;

	if (limit_ms > BACKOFF_MAX_MS)
		limit_ms = BACKOFF_MAX_MS;
	else
		journal->failures++;
	jitter_ms = XXH64(journal->prefix, strlen(journal->prefix), seed) %
		    limit_ms;
	journal->retry_at = zr_time_add_ms(
		now(journal), limit_ms / 2 + (int64_t)jitter_ms / 2);
}

/* Completion of records */

static void complete_entry(struct zr_journal *journal,
			   struct journal_entry *entry, int error)
{
	journal->pending_bytes -= entry->length;
	entry->done(entry->ctx, error);
	free(entry->bytes);
	free(entry);
}

static void complete_entries(struct zr_journal *journal,
			     struct journal_entry *list, int error)
{
	struct journal_entry *entry;
	struct journal_entry *next;

	DL_FOREACH_SAFE(list, entry, next)
	{
		complete_entry(journal, entry, error);
	}
}

/* Removes the chunk in flight; the caller completes its records. */
static struct journal_entry *detach_chunk(struct zr_journal *journal)
{
	struct journal_entry *list = journal->in_flight;

	free(journal->chunk);
	journal->chunk = NULL;
	journal->in_flight = NULL;
	return list;
}

static void chunk_committed(struct zr_journal *journal)
{
	const struct journal_position position = {journal->options.epoch,
						  journal->sequence};
	struct journal_entry *entry;
	struct journal_entry *list;

	DL_FOREACH(journal->in_flight, entry)
	{
		zr_journal_apply(journal, entry->bytes, entry->length,
				 &position);
	}
	zr_journal_add_chunk(journal, &position, journal->chunk_length);
	journal->snapshot_next = true;
	list = detach_chunk(journal);
	complete_entries(journal, list, 0);
}

/* Fails records that are not retried and queues the others again, in order. */
static void chunk_failed(struct zr_journal *journal)
{
	struct journal_entry *list = detach_chunk(journal);
	struct journal_entry *failed = NULL;
	struct journal_entry *entry;
	struct journal_entry *next;

	DL_FOREACH_SAFE(list, entry, next)
	{
		if (entry->mode != ZR_JOURNAL_FAIL_FAST)
			continue;
		DL_DELETE(list, entry);
		DL_APPEND(failed, entry);
	}
	DL_CONCAT(list, journal->queued);
	journal->queued = list;
	complete_entries(journal, failed, ZR_E_STORE_DOWN);
}

/* Writing chunks */

/* Encodes the chunk as xdr_zx_chunk(): epoch, sequence, count, records. */
static void build_chunk(struct zr_journal *journal)
{
	u_quad_t epoch = journal->options.epoch;
	u_quad_t sequence = ++journal->sequence;
	size_t size = 2 * sizeof(uint64_t) + sizeof(uint32_t);
	struct journal_entry *entry;
	u_int count = 0;
	XDR xdrs;

	while (journal->queued && size < CHUNK_BYTES_MAX &&
	       count < ZX_LIST_MAX) {
		entry = journal->queued;
		DL_DELETE(journal->queued, entry);
		DL_APPEND(journal->in_flight, entry);
		size += entry->length;
		count++;
	}
	journal->chunk = malloc(size);
	if (!journal->chunk)
		abort();
	xdrmem_create(&xdrs, journal->chunk, (u_int)size, XDR_ENCODE);
	xdr_u_quad_t(&xdrs, &epoch);
	xdr_u_quad_t(&xdrs, &sequence);
	xdr_u_int(&xdrs, &count);
	DL_FOREACH(journal->in_flight, entry)
	{
		xdr_opaque(&xdrs, entry->bytes, entry->length);
	}
	journal->chunk_length = size;
	journal->chunk_maybe_committed = false;
	snprintf(journal->chunk_key, JOURNAL_KEY_MAX,
		 "%slog/%016" PRIx64 "-%016" PRIx64, journal->prefix,
		 journal->options.epoch, journal->sequence);
}

/* Whether the store has the chunk already, from a call without a response. */
static bool reply_has_chunk(const struct zr_journal *journal,
			    const struct zr_store_reply *reply)
{
	size_t i;

	for (i = 0; i < reply->count; i++) {
		if (!strcmp(reply->values[i].key, journal->chunk_key))
			return true;
	}
	return false;
}

static void on_committed(void *ctx, int error,
			 const struct zr_store_reply *reply)
{
	struct zr_journal *journal = ctx;

	if (!zr_journal_call_ended(journal))
		return;
	if (error < 0)
		zr_journal_back_off(journal);
	else
		journal->failures = 0;
	if (error < 0 && error != ZR_E_STORE_DOWN) {
		/* Safe to repeat, as it requires that the key not exist. */
		zr_log(ZR_LOG_WARN, "journal.response_lost key=%s",
		       journal->chunk_key);
		journal->chunk_maybe_committed = true;
		return;
	}
	if (error < 0 && journal->chunk_maybe_committed)
		return;
	if (error < 0)
		chunk_failed(journal);
	else if (reply->succeeded || reply_has_chunk(journal, reply))
		chunk_committed(journal);
	else
		complete_entries(journal, detach_chunk(journal),
				 ZR_E_NOT_OWNER);
}

static void send_chunk(struct zr_journal *journal)
{
	const struct zr_store_compare compares[] = {
		{journal->owner_key, journal->options.owner_revision},
		{journal->chunk_key, 0},
	};
	const struct zr_store_put put = {
		journal->chunk_key,
		journal->chunk,
		journal->chunk_length,
		0,
	};
	const struct zr_store_txn txn = {compares, 2, &put, 1};

	journal->open_calls++;
	zr_store_commit(journal->options.store, ZR_STORE_ACCEPT, &txn,
			on_committed, journal);
}

static void on_tick(void *ctx)
{
	struct zr_journal *journal = ctx;
	bool has_chunk = journal->chunk || journal->queued;
	bool snapshot_due = zr_journal_snapshot_is_due(journal);

	if (!journal->loaded || journal->open_calls ||
	    (!has_chunk && !snapshot_due) || !may_write(journal))
		return;
	journal->tokens -= TOKEN;
	/* While a chunk's outcome is unknown, only that chunk is written. */
	if (snapshot_due && !journal->chunk &&
	    (journal->snapshot_next || !has_chunk)) {
		journal->snapshot_next = false;
		zr_journal_snapshot_write(journal);
		return;
	}
	if (!journal->chunk)
		build_chunk(journal);
	send_chunk(journal);
}

static int encode_record(struct journal_entry *entry, const zx_record *record)
{
	u_int size =
		(u_int)xdr_sizeof((xdrproc_t)xdr_zx_record, (void *)record);
	XDR xdrs;

	entry->bytes = malloc(size);
	if (!entry->bytes)
		return ZR_E_NOMEM;
	xdrmem_create(&xdrs, entry->bytes, size, XDR_ENCODE);
	if (!xdr_zx_record(&xdrs, (zx_record *)record)) {
		free(entry->bytes);
		return zr_error_set(ZR_E_PROTOCOL,
				    "journal record could not be encoded");
	}
	entry->length = xdr_getpos(&xdrs);
	return 0;
}

int zr_journal_append(struct zr_journal *journal,
		      enum zr_journal_retry_mode mode, const zx_record *record,
		      zr_journal_done_fn done, void *ctx)
{
	struct journal_entry *entry;
	int error;

	if (mode == ZR_JOURNAL_FAIL_FAST &&
	    journal->pending_bytes > PENDING_BYTES_MAX)
		return zr_error_set(
			ZR_E_FULL,
			"journal full: too many records wait for the store");
	entry = calloc(1, sizeof(*entry));
	if (!entry)
		return ZR_E_NOMEM;
	error = encode_record(entry, record);
	if (error < 0) {
		free(entry);
		return error;
	}
	entry->mode = mode;
	entry->done = done;
	entry->ctx = ctx;
	journal->pending_bytes += entry->length;
	DL_APPEND(journal->queued, entry);
	return 0;
}

void zr_journal_remove_job(struct zr_journal *journal, uint64_t number)
{
	zr_journal_state_remove_job(journal->state, number);
}

bool zr_journal_idle(const struct zr_journal *journal)
{
	return !journal->queued && !journal->in_flight;
}

int zr_journal_new(struct zr_journal **out,
		   const struct zr_journal_options *options)
{
	struct zr_journal *journal = calloc(1, sizeof(*journal));

	if (!journal)
		return ZR_E_NOMEM;
	journal->options = *options;
	journal->shard_count =
		options->shard_count ? options->shard_count : ZR_JOURNAL_SHARDS;
	if (zr_journal_state_new(&journal->state, journal->shard_count) < 0) {
		free(journal);
		return ZR_E_NOMEM;
	}
	snprintf(journal->prefix, JOURNAL_PREFIX_MAX, "zr/domain/%s/",
		 options->domain);
	snprintf(journal->owner_key, JOURNAL_KEY_MAX, "%s", options->owner_key);
	journal->backoff_seed = options->epoch << 8;
	journal->refilled_at = now(journal);
	journal->tokens = (int64_t)WRITES_BURST * TOKEN;
	journal->timer = zr_timer_new(options->timers, on_tick, journal);
	zr_timer_start(journal->timer, TICK_MS, TICK_MS);
	*out = journal;
	return 0;
}

static void clear_log(struct zr_journal *journal)
{
	struct journal_chunk *chunk;
	struct journal_chunk *next;

	LL_FOREACH_SAFE(journal->log, chunk, next)
	{
		free(chunk);
	}
	journal->log = NULL;
}

void zr_journal_free(struct zr_journal *journal)
{
	struct journal_entry *waiting;

	if (!journal)
		return;
	journal->freeing = true;
	zr_timer_free(journal->timer);
	waiting = journal->queued;
	journal->queued = NULL;
	complete_entries(journal, detach_chunk(journal), ZR_E_OUTCOME_UNKNOWN);
	complete_entries(journal, waiting, ZR_E_NOT_OWNER);
	zr_journal_snapshot_clear(journal);
	zr_journal_state_free(journal->state);
	clear_log(journal);
	/* Frees the journal now if no call is in flight. */
	journal->open_calls++;
	zr_journal_call_ended(journal);
}

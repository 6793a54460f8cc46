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
#define CHUNK_BYTES_MAX (256u << 10)
#define PENDING_BYTES_MAX (8u << 20)
/* Writes that a domain may make: a burst at once, then at an even rate. */
#define WRITES_PER_S 18
#define WRITES_BURST 10
#define MS_PER_S 1000
#define TOKEN MS_PER_S
#define BACK_OFF_MS 250
#define BACK_OFF_MAX_MS 4000

int zr_journal_position_cmp(const struct journal_position *a,
			    const struct journal_position *b)
{
	if (a->epoch != b->epoch)
		return a->epoch < b->epoch ? -1 : 1;
	if (a->sequence != b->sequence)
		return a->sequence < b->sequence ? -1 : 1;
	return 0;
}

bool zr_journal_answered(struct zr_journal *journal)
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

void zr_journal_note_chunk(struct zr_journal *journal,
			   const struct journal_position *position,
			   size_t bytes)
{
	struct journal_chunk *chunk = calloc(1, sizeof(*chunk));

	if (!chunk)
		abort();
	chunk->position = *position;
	chunk->bytes = bytes;
	LL_PREPEND(journal->log, chunk);
	journal->log_chunks++;
	journal->log_bytes += bytes;
	journal->last = *position;
}

void zr_journal_apply(struct zr_journal *journal, const char *bytes,
		      u_int length, const struct journal_position *position)
{
	zx_record record;
	unsigned int group;
	XDR xdrs;

	memset(&record, 0, sizeof(record));
	xdrmem_create(&xdrs, (char *)bytes, length, XDR_DECODE);
	if (xdr_zx_record(&xdrs, &record)) {
		group = zr_image_group_of(journal->image, &record);
		if (!position ||
		    zr_journal_position_cmp(&journal->group[group].covered,
					    position) < 0)
			zr_image_apply(journal->image, &record, bytes, length);
	}
	xdr_free((xdrproc_t)xdr_zx_record, (void *)&record);
}

/* Rate of writes */

static struct timespec now(const struct zr_journal *journal)
{
	return zr_clock_now(journal->options.clock);
}

static void refill(struct zr_journal *journal)
{
	struct timespec at = now(journal);
	int64_t ms = zr_time_diff_ms(at, journal->refilled);

	if (ms <= 0)
		return;
	journal->refilled = at;
	journal->tokens += ms * WRITES_PER_S * TOKEN / MS_PER_S;
	if (journal->tokens > (int64_t)WRITES_BURST * TOKEN)
		journal->tokens = (int64_t)WRITES_BURST * TOKEN;
}

static bool may_write(struct zr_journal *journal)
{
	refill(journal);
	return journal->tokens >= TOKEN &&
	       zr_time_cmp(now(journal), journal->retry_at) >= 0;
}

/* Hosts whose store comes back must not all write at the same moment. */
void zr_journal_back_off(struct zr_journal *journal)
{
	uint64_t seed = journal->epoch_seed ^ journal->failures;
	unsigned int limit = BACK_OFF_MS << journal->failures;
	uint64_t jitter;

	if (limit > BACK_OFF_MAX_MS)
		limit = BACK_OFF_MAX_MS;
	else
		journal->failures++;
	jitter = XXH64(journal->prefix, strlen(journal->prefix), seed) % limit;
	journal->retry_at =
		zr_time_add_ms(now(journal), limit / 2 + (int64_t)jitter / 2);
}

/* Ends of records */

static void finish_entry(struct zr_journal *journal,
			 struct journal_entry *entry, int error)
{
	journal->pending_bytes -= entry->length;
	entry->done(entry->ctx, error);
	free(entry->bytes);
	free(entry);
}

static void finish_entries(struct zr_journal *journal,
			   struct journal_entry *list, int error)
{
	struct journal_entry *entry;
	struct journal_entry *next;

	DL_FOREACH_SAFE(list, entry, next)
	{
		finish_entry(journal, entry, error);
	}
}

static struct journal_entry *take_chunk(struct zr_journal *journal)
{
	struct journal_entry *list = journal->in_flight;

	free(journal->chunk);
	journal->chunk = NULL;
	journal->in_flight = NULL;
	return list;
}

static void chunk_kept(struct zr_journal *journal)
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
	zr_journal_note_chunk(journal, &position, journal->chunk_length);
	journal->snapshot_turn = true;
	list = take_chunk(journal);
	finish_entries(journal, list, 0);
}

/* Nothing of the chunk is kept: some of its records wait for another. */
static void chunk_refused(struct zr_journal *journal)
{
	struct journal_entry *list = take_chunk(journal);
	struct journal_entry *once = NULL;
	struct journal_entry *entry;
	struct journal_entry *next;

	DL_FOREACH_SAFE(list, entry, next)
	{
		if (entry->mode != ZR_JOURNAL_ONCE)
			continue;
		DL_DELETE(list, entry);
		DL_APPEND(once, entry);
	}
	DL_CONCAT(list, journal->waiting);
	journal->waiting = list;
	finish_entries(journal, once, ZR_E_STORE_DOWN);
}

/* Committing */

/* Encodes as xdr_zx_chunk() does: epoch, sequence, count, records. */
static void build_chunk(struct zr_journal *journal)
{
	u_quad_t epoch = journal->options.epoch;
	u_quad_t sequence = ++journal->sequence;
	size_t size = 2 * sizeof(uint64_t) + sizeof(uint32_t);
	struct journal_entry *entry;
	u_int count = 0;
	XDR xdrs;

	while (journal->waiting && size < CHUNK_BYTES_MAX &&
	       count < ZX_LIST_MAX) {
		entry = journal->waiting;
		DL_DELETE(journal->waiting, entry);
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
	journal->chunk_may_be_kept = false;
	snprintf(journal->chunk_key, JOURNAL_KEY_MAX,
		 "%slog/%016" PRIx64 "-%016" PRIx64, journal->prefix,
		 journal->options.epoch, journal->sequence);
}

static bool holds_chunk(const struct zr_journal *journal,
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

	if (!zr_journal_answered(journal))
		return;
	if (error < 0)
		zr_journal_back_off(journal);
	else
		journal->failures = 0;
	if (error < 0 && error != ZR_E_STORE_DOWN) {
		/* The transaction is safe to repeat: its key names it. */
		zr_log(ZR_LOG_WARN, "journal.answer_lost key=%s",
		       journal->chunk_key);
		journal->chunk_may_be_kept = true;
		return;
	}
	if (error < 0 && journal->chunk_may_be_kept)
		return;
	if (error < 0)
		chunk_refused(journal);
	else if (reply->succeeded || holds_chunk(journal, reply))
		chunk_kept(journal);
	else
		finish_entries(journal, take_chunk(journal), ZR_E_NOT_OWNER);
}

static void send_chunk(struct zr_journal *journal)
{
	const struct zr_store_compare compares[] = {
		{journal->owner_key, journal->options.guard},
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
	bool chunk = journal->chunk || journal->waiting;
	bool snapshot = zr_journal_snapshot_due(journal);

	if (!journal->loaded || journal->open_calls || (!chunk && !snapshot) ||
	    !may_write(journal))
		return;
	journal->tokens -= TOKEN;
	/* A chunk that may be kept already must be settled before all else. */
	if (snapshot && !journal->chunk && (journal->snapshot_turn || !chunk)) {
		journal->snapshot_turn = false;
		zr_journal_snapshot_write(journal);
		return;
	}
	if (!journal->chunk)
		build_chunk(journal);
	send_chunk(journal);
}

static int encode(struct journal_entry *entry, const zx_record *record)
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
		return zr_error_set(ZR_E_PROTOCOL, "record not encodable");
	}
	entry->length = xdr_getpos(&xdrs);
	return 0;
}

int zr_journal_append(struct zr_journal *journal, enum zr_journal_mode mode,
		      const zx_record *record, zr_journal_done_fn done,
		      void *ctx)
{
	struct journal_entry *entry;
	int error;

	if (mode == ZR_JOURNAL_ONCE &&
	    journal->pending_bytes > PENDING_BYTES_MAX)
		return zr_error_set(ZR_E_FULL, "too much waits for the store");
	entry = calloc(1, sizeof(*entry));
	if (!entry)
		return ZR_E_NOMEM;
	error = encode(entry, record);
	if (error < 0) {
		free(entry);
		return error;
	}
	entry->mode = mode;
	entry->done = done;
	entry->ctx = ctx;
	journal->pending_bytes += entry->length;
	DL_APPEND(journal->waiting, entry);
	return 0;
}

void zr_journal_forget(struct zr_journal *journal, uint64_t number)
{
	zr_image_forget(journal->image, number);
}

bool zr_journal_idle(const struct zr_journal *journal)
{
	return !journal->waiting && !journal->in_flight;
}

int zr_journal_new(struct zr_journal **out,
		   const struct zr_journal_options *options)
{
	struct zr_journal *journal = calloc(1, sizeof(*journal));

	if (!journal)
		return ZR_E_NOMEM;
	journal->options = *options;
	journal->groups = options->groups ? options->groups : ZR_JOURNAL_GROUPS;
	if (zr_image_new(&journal->image, journal->groups) < 0) {
		free(journal);
		return ZR_E_NOMEM;
	}
	snprintf(journal->prefix, JOURNAL_PREFIX_MAX, "zr/domain/%s/",
		 options->domain);
	snprintf(journal->owner_key, JOURNAL_KEY_MAX, "%s", options->owner_key);
	journal->epoch_seed = options->epoch << 8;
	journal->refilled = now(journal);
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
	waiting = journal->waiting;
	journal->waiting = NULL;
	finish_entries(journal, take_chunk(journal), ZR_E_OUTCOME_UNKNOWN);
	finish_entries(journal, waiting, ZR_E_NOT_OWNER);
	zr_journal_snapshot_clear(journal);
	zr_image_free(journal->image);
	clear_log(journal);
	/* Counts as an answer, so that the last one frees the journal. */
	journal->open_calls++;
	zr_journal_answered(journal);
}

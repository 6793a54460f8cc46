#include "domain/journal.h"

#include <inttypes.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "zinniarack/errors.h"
#include "zinniarack/job.h"
#include "zinniarack/log.h"

#define COMMIT_INTERVAL_MS 20
#define CHUNK_BYTES_MAX (512u << 10)
#define PENDING_BYTES_MAX (16u << 20)
#define PREFIX_MAX (ZR_NAME_MAX + 32)
#define KEY_MAX (PREFIX_MAX + 40)

struct entry {
	struct entry *next;
	char *bytes;
	u_int length;
	zr_journal_done_fn done;
	void *ctx;
};

struct zr_journal {
	const struct zr_store *store;
	char prefix[PREFIX_MAX];
	char owner_key[KEY_MAX];
	uint64_t epoch;
	int64_t guard;
	uint64_t sequence;
	struct zr_timer *timer;
	struct entry *waiting;
	struct entry *in_flight;
	size_t pending_bytes;
	char chunk_key[KEY_MAX];
	char *chunk;
	size_t chunk_length;
	bool chunk_may_be_kept;
	bool call_open;
	bool freeing;
	zr_journal_record_fn load_record;
	zr_journal_done_fn load_done;
	void *load_ctx;
};

static void send_chunk(struct zr_journal *journal);

/* Loading */

static int load_chunk(struct zr_journal *journal,
		      const struct zr_store_value *value)
{
	zx_chunk chunk;
	XDR xdrs;
	u_int i;

	memset(&chunk, 0, sizeof(chunk));
	xdrmem_create(&xdrs, value->data, (u_int)value->length, XDR_DECODE);
	if (!xdr_zx_chunk(&xdrs, &chunk)) {
		xdr_free((xdrproc_t)xdr_zx_chunk, &chunk);
		return zr_error_set(ZR_E_PROTOCOL, "%s: not a journal chunk",
				    value->key);
	}
	for (i = 0; i < chunk.records.records_len; i++)
		journal->load_record(journal->load_ctx,
				     &chunk.records.records_val[i]);
	xdr_free((xdrproc_t)xdr_zx_chunk, &chunk);
	return 0;
}

static void maybe_free(struct zr_journal *journal);

static void on_loaded(void *ctx, int error, const struct zr_store_reply *reply)
{
	struct zr_journal *journal = ctx;
	size_t i;

	journal->call_open = false;
	if (journal->freeing) {
		maybe_free(journal);
		return;
	}
	for (i = 0; !error && i < reply->count; i++)
		error = load_chunk(journal, &reply->values[i]);
	journal->load_done(journal->load_ctx, error);
}

void zr_journal_load(struct zr_journal *journal, zr_journal_record_fn record,
		     zr_journal_done_fn done, void *ctx)
{
	journal->load_record = record;
	journal->load_done = done;
	journal->load_ctx = ctx;
	journal->call_open = true;
	zr_store_range(journal->store, ZR_STORE_RECOVERY, journal->prefix, true,
		       on_loaded, journal);
}

/* Committing */

static void finish_entries(struct zr_journal *journal, struct entry **list,
			   int error)
{
	struct entry *entry = *list;
	struct entry *next;

	*list = NULL;
	for (; entry; entry = next) {
		next = entry->next;
		journal->pending_bytes -= entry->length;
		entry->done(entry->ctx, error);
		free(entry->bytes);
		free(entry);
	}
}

static void end_chunk(struct zr_journal *journal, int error)
{
	free(journal->chunk);
	journal->chunk = NULL;
	finish_entries(journal, &journal->in_flight, error);
}

/* Encodes as xdr_zx_chunk() does: epoch, sequence, count, records. */
static void build_chunk(struct zr_journal *journal)
{
	u_quad_t epoch = journal->epoch;
	u_quad_t sequence = ++journal->sequence;
	size_t size = 2 * sizeof(uint64_t) + sizeof(uint32_t);
	struct entry *entry;
	u_int count = 0;
	XDR xdrs;

	while (journal->waiting && size < CHUNK_BYTES_MAX &&
	       count < ZX_LIST_MAX) {
		entry = journal->waiting;
		LL_DELETE(journal->waiting, entry);
		LL_APPEND(journal->in_flight, entry);
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
	LL_FOREACH(journal->in_flight, entry)
	xdr_opaque(&xdrs, entry->bytes, entry->length);
	journal->chunk_length = size;
	journal->chunk_may_be_kept = false;
	snprintf(journal->chunk_key, KEY_MAX, "%s%016" PRIx64 "-%016" PRIx64,
		 journal->prefix, journal->epoch, journal->sequence);
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

	journal->call_open = false;
	if (journal->freeing) {
		maybe_free(journal);
		return;
	}
	if (error == ZR_E_OUTCOME_UNKNOWN) {
		/* The transaction is safe to repeat: its key names it. */
		zr_log(ZR_LOG_WARN, "journal.answer_lost key=%s",
		       journal->chunk_key);
		journal->chunk_may_be_kept = true;
		return;
	}
	if (error < 0 && journal->chunk_may_be_kept)
		return;
	if (error < 0)
		end_chunk(journal, ZR_E_STORE_DOWN);
	else if (reply->succeeded || holds_chunk(journal, reply))
		end_chunk(journal, 0);
	else
		end_chunk(journal, ZR_E_NOT_OWNER);
}

static void send_chunk(struct zr_journal *journal)
{
	const struct zr_store_compare compares[] = {
		{journal->owner_key, journal->guard},
		{journal->chunk_key, 0},
	};
	const struct zr_store_put put = {
		journal->chunk_key,
		journal->chunk,
		journal->chunk_length,
		0,
	};
	const struct zr_store_txn txn = {compares, 2, &put, 1};

	journal->call_open = true;
	zr_store_commit(journal->store, ZR_STORE_ACCEPT, &txn, on_committed,
			journal);
}

static void on_tick(void *ctx)
{
	struct zr_journal *journal = ctx;

	if (journal->call_open)
		return;
	if (!journal->chunk && !journal->waiting)
		return;
	if (!journal->chunk)
		build_chunk(journal);
	send_chunk(journal);
}

static int encode(struct entry *entry, const zx_record *record)
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

int zr_journal_append(struct zr_journal *journal, const zx_record *record,
		      zr_journal_done_fn done, void *ctx)
{
	struct entry *entry;
	int error;

	if (journal->pending_bytes > PENDING_BYTES_MAX)
		return zr_error_set(ZR_E_FULL, "too much waits for the store");
	entry = calloc(1, sizeof(*entry));
	if (!entry)
		return ZR_E_NOMEM;
	error = encode(entry, record);
	if (error < 0) {
		free(entry);
		return error;
	}
	entry->done = done;
	entry->ctx = ctx;
	journal->pending_bytes += entry->length;
	LL_APPEND(journal->waiting, entry);
	return 0;
}

int zr_journal_new(struct zr_journal **out, const struct zr_timers *timers,
		   const struct zr_store *store, const char *domain,
		   const char *owner_key, uint64_t epoch, int64_t guard)
{
	struct zr_journal *journal = calloc(1, sizeof(*journal));

	if (!journal)
		return ZR_E_NOMEM;
	journal->store = store;
	journal->epoch = epoch;
	journal->guard = guard;
	snprintf(journal->prefix, PREFIX_MAX, "zr/domain/%s/log/", domain);
	snprintf(journal->owner_key, KEY_MAX, "%s", owner_key);
	journal->timer = zr_timer_new(timers, on_tick, journal);
	zr_timer_start(journal->timer, COMMIT_INTERVAL_MS, COMMIT_INTERVAL_MS);
	*out = journal;
	return 0;
}

static void maybe_free(struct zr_journal *journal)
{
	if (journal->call_open)
		return;
	zr_timer_free(journal->timer);
	free(journal);
}

void zr_journal_free(struct zr_journal *journal)
{
	if (!journal)
		return;
	journal->freeing = true;
	zr_timer_stop(journal->timer);
	end_chunk(journal, ZR_E_OUTCOME_UNKNOWN);
	finish_entries(journal, &journal->waiting, ZR_E_NOT_OWNER);
	maybe_free(journal);
}

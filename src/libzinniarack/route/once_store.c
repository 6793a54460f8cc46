#include "route/once_store.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "msg_grants.h"
#include "zinniarack/errors.h"
#include "zinniarack/job.h"

#define PATH_LENGTH_MAX 512
/* Time for which new records share one lease. */
#define LEASE_SHARED_MS (3600LL * 1000)
/* Maximum size of an encoded record without its body. */
#define RECORD_OVERHEAD_MAX 512
#define MS_PER_S 1000.0

/**
 * struct zr_once_store - the backend
 * @options: its options
 * @lease: lease for new records; 0 before the first one
 * @lease_shared_until: when the next record needs a new lease
 * @tokens: number of requests that the rate limit allows now
 * @refilled_at: when @tokens was last increased
 */
struct zr_once_store {
	struct zr_once_store_options options;
	int64_t lease;
	struct timespec lease_shared_until;
	double tokens;
	struct timespec refilled_at;
};

/* A call of record_intent() in flight. */
struct pending_intent {
	struct zr_once_store *backend;
	char path[PATH_LENGTH_MAX];
	char run[ZX_ID_MAX + 1];
	uint64_t digest;
	zr_once_intent_fn done;
	void *ctx;
};

static struct timespec now(const struct zr_once_store *backend)
{
	return zr_clock_now(backend->options.clock);
}

/* Records */

static void format_path(char path[PATH_LENGTH_MAX],
			const struct zr_once_key *key)
{
	snprintf(path, PATH_LENGTH_MAX, "zinniarack/once/%s/%s", key->team,
		 key->key);
}

/* Formats an id of the request that is unique among all entry daemons. */
static void format_run_id(char run[ZX_ID_MAX + 1],
			  const struct zr_once_store *backend,
			  const struct zr_once_key *key)
{
	snprintf(run, ZX_ID_MAX + 1, "%.40s@%s@%" PRIx64, key->request_id,
		 backend->options.entry, backend->options.incarnation);
}

static void put_record(const struct zr_once_store *backend, const char *path,
		       int64_t expected, zx_once *record, zr_store_done_fn done,
		       void *ctx)
{
	size_t size_max = RECORD_OVERHEAD_MAX + record->body.body_len;
	struct zr_store_compare compare = {path, expected};
	struct zr_store_put put = {.key = path, .lease = backend->lease};
	const struct zr_store_txn txn = {&compare, 1, &put, 1};
	char *bytes = malloc(size_max);
	XDR xdrs;

	if (!bytes)
		abort();
	xdrmem_create(&xdrs, bytes, (u_int)size_max, XDR_ENCODE);
	if (!xdr_zx_once(&xdrs, record))
		abort();
	put.data = bytes;
	put.length = xdr_getpos(&xdrs);
	zr_store_commit(backend->options.store, ZR_STORE_INTENT, &txn, done,
			ctx);
	free(bytes);
}

static bool decode_record(zx_once *out, const struct zr_store_value *value)
{
	XDR xdrs;

	memset(out, 0, sizeof(*out));
	xdrmem_create(&xdrs, value->data, (u_int)value->length, XDR_DECODE);
	return xdr_zx_once(&xdrs, out);
}

/* Recording an intent */

static void finish(struct pending_intent *pending, int error,
		   enum zr_once_state state, int64_t version,
		   const struct zr_once_response *response)
{
	pending->done(pending->ctx, error, state, version, response);
	free(pending);
}

static void finish_with_record(struct pending_intent *pending,
			       const struct zr_store_value *value)
{
	struct zr_once_response response;
	zx_once record;

	if (!decode_record(&record, value)) {
		finish(pending, ZR_E_PROTOCOL, ZR_ONCE_UNCONFIRMED, 0, NULL);
	} else if (record.digest != pending->digest) {
		finish(pending, ZR_E_CONFLICT, ZR_ONCE_UNCONFIRMED, 0, NULL);
	} else if (!record.answered) {
		/*
		 * If the reply to this request's write was lost, the intent
		 * that was found may be its own.
		 */
		finish(pending, 0,
		       strcmp(record.run, pending->run) ? ZR_ONCE_UNCONFIRMED
							: ZR_ONCE_NEW,
		       value->mod_revision, NULL);
	} else {
		response.status = record.status;
		response.body = record.body.body_val;
		response.length = record.body.body_len;
		finish(pending, 0, ZR_ONCE_ANSWERED, 0, &response);
	}
	xdr_free((xdrproc_t)xdr_zx_once, &record);
}

static void on_read_back(void *ctx, int error,
			 const struct zr_store_reply *reply)
{
	struct pending_intent *pending = ctx;

	if (!error && reply->count)
		finish_with_record(pending, &reply->values[0]);
	else
		/* The intent may still be stored, but nobody runs it. */
		finish(pending, ZR_E_OUTCOME_UNKNOWN, ZR_ONCE_UNCONFIRMED, 0,
		       NULL);
}

static void on_intent(void *ctx, int error, const struct zr_store_reply *reply)
{
	struct pending_intent *pending = ctx;

	if (error == ZR_E_OUTCOME_UNKNOWN)
		zr_store_range(pending->backend->options.store, ZR_STORE_INTENT,
			       pending->path, false, on_read_back, pending);
	else if (error < 0)
		finish(pending, error, ZR_ONCE_UNCONFIRMED, 0, NULL);
	else if (reply->succeeded)
		finish(pending, 0, ZR_ONCE_NEW, reply->revision, NULL);
	else if (reply->count)
		finish_with_record(pending, &reply->values[0]);
	else
		finish(pending, ZR_E_PROTOCOL, ZR_ONCE_UNCONFIRMED, 0, NULL);
}

static void put_intent(struct pending_intent *pending)
{
	zx_once record = {
		.digest = pending->digest,
		.run = pending->run,
	};

	put_record(pending->backend, pending->path, 0, &record, on_intent,
		   pending);
}

static void on_lease(void *ctx, int error, const struct zr_store_reply *reply)
{
	struct pending_intent *pending = ctx;
	struct zr_once_store *backend = pending->backend;

	if (error < 0) {
		/* If a lease was created after all, it has no records. */
		finish(pending, ZR_E_STORE_DOWN, ZR_ONCE_UNCONFIRMED, 0, NULL);
		return;
	}
	backend->lease = reply->lease;
	backend->lease_shared_until =
		zr_time_add_ms(now(backend), LEASE_SHARED_MS);
	put_intent(pending);
}

/* Token bucket: returns false if the rate limit is reached. */
static bool take_token(struct zr_once_store *backend)
{
	int64_t ms = zr_time_diff_ms(now(backend), backend->refilled_at);

	backend->refilled_at = now(backend);
	backend->tokens += (double)ms / MS_PER_S * backend->options.per_s;
	if (backend->tokens > backend->options.burst)
		backend->tokens = backend->options.burst;
	if (backend->tokens < 1)
		return false;
	backend->tokens -= 1;
	return true;
}

static void record_intent(void *impl, const struct zr_once_key *key,
			  unsigned int timeout_ms, zr_once_intent_fn done,
			  void *ctx)
{
	struct zr_once_store *backend = impl;
	struct pending_intent *pending;

	(void)timeout_ms;
	if (!take_token(backend)) {
		done(ctx, ZR_E_FULL, ZR_ONCE_UNCONFIRMED, 0, NULL);
		return;
	}
	pending = calloc(1, sizeof(*pending));
	if (!pending)
		abort();
	pending->backend = backend;
	pending->digest = key->digest;
	pending->done = done;
	pending->ctx = ctx;
	format_path(pending->path, key);
	format_run_id(pending->run, backend, key);
	if (backend->lease &&
	    zr_time_cmp(now(backend), backend->lease_shared_until) < 0)
		put_intent(pending);
	else
		zr_store_lease_grant(backend->options.store, ZR_ONCE_LEASE_MS,
				     on_lease, pending);
}

/* Recording a response, deleting an intent */

static void on_written(void *ctx, int error, const struct zr_store_reply *reply)
{
	/*
	 * Best effort: if it failed, a repeated request is reported to have an
	 * unknown outcome.
	 */
	(void)ctx;
	(void)error;
	(void)reply;
}

static void record_response(void *impl, const struct zr_once_key *key,
			    const struct zr_once_response *response)
{
	struct zr_once_store *backend = impl;
	char path[PATH_LENGTH_MAX];
	char run[ZX_ID_MAX + 1];
	zx_once record = {
		.digest = key->digest,
		.run = run,
		.answered = TRUE,
		.status = response->status,
		.body = {(u_int)response->length, (char *)response->body},
	};

	if (response->length > ZX_ANSWER_MAX)
		return;
	format_path(path, key);
	format_run_id(run, backend, key);
	put_record(backend, path, key->version, &record, on_written, NULL);
}

static void delete_intent(void *impl, const struct zr_once_key *key)
{
	struct zr_once_store *backend = impl;
	char path[PATH_LENGTH_MAX];
	struct zr_store_compare compare = {path, key->version};
	const struct zr_store_put put = {.key = path};
	const struct zr_store_txn txn = {&compare, 1, &put, 1};

	/* The version is unknown if the result of the write is unknown. */
	if (!key->version)
		return;
	format_path(path, key);
	zr_store_commit(backend->options.store, ZR_STORE_INTENT, &txn,
			on_written, NULL);
}

int zr_once_store_new(struct zr_once_backend *out,
		      const struct zr_once_store_options *options)
{
	static const struct zr_once_ops ops = {
		.record_intent = record_intent,
		.record_response = record_response,
		.delete_intent = delete_intent,
	};
	struct zr_once_store *backend = calloc(1, sizeof(*backend));

	if (!backend)
		return ZR_E_NOMEM;
	backend->options = *options;
	backend->tokens = options->burst;
	backend->refilled_at = now(backend);
	out->ops = &ops;
	out->impl = backend;
	return 0;
}

void zr_once_store_free(struct zr_once_backend *backend)
{
	free(backend->impl);
	backend->impl = NULL;
}

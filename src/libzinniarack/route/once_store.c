#include "route/once_store.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "msg_grants.h"
#include "zinniarack/errors.h"
#include "zinniarack/job.h"

#define KEY_MAX 512
/* One lease serves the keys of so long. */
#define LEASE_SHARED_MS (3600LL * 1000)
#define RECORD_HEAD_MAX 512
#define MS_PER_S 1000.0

struct zr_once_store {
	struct zr_once_store_options options;
	int64_t lease;
	struct timespec lease_ends;
	double tokens;
	struct timespec refilled;
};

/* A begin on its way. */
struct begin {
	struct zr_once_store *home;
	char path[KEY_MAX];
	char run[ZX_ID_MAX + 1];
	uint64_t digest;
	zr_once_intent_fn done;
	void *ctx;
};

static struct timespec now(const struct zr_once_store *home)
{
	return zr_clock_now(home->options.clock);
}

/* Records */

static void path_of(char path[KEY_MAX], const struct zr_once_key *key)
{
	snprintf(path, KEY_MAX, "zinniarack/once/%s/%s", key->team, key->key);
}

static void run_of(char run[ZX_ID_MAX + 1], const struct zr_once_store *home,
		   const struct zr_once_key *key)
{
	snprintf(run, ZX_ID_MAX + 1, "%.40s@%s@%" PRIx64, key->request_id,
		 home->options.entry, home->options.incarnation);
}

static void put_record(const struct zr_once_store *home, const char *path,
		       int64_t expected, zx_once *record, zr_store_done_fn done,
		       void *ctx)
{
	size_t size = RECORD_HEAD_MAX + record->body.body_len;
	struct zr_store_compare compare = {path, expected};
	struct zr_store_put put = {.key = path, .lease = home->lease};
	const struct zr_store_txn txn = {&compare, 1, &put, 1};
	char *bytes = malloc(size);
	XDR xdrs;

	if (!bytes)
		abort();
	xdrmem_create(&xdrs, bytes, (u_int)size, XDR_ENCODE);
	if (!xdr_zx_once(&xdrs, record))
		abort();
	put.data = bytes;
	put.length = xdr_getpos(&xdrs);
	zr_store_commit(home->options.store, ZR_STORE_INTENT, &txn, done, ctx);
	free(bytes);
}

static bool read_record(zx_once *out, const struct zr_store_value *value)
{
	XDR xdrs;

	memset(out, 0, sizeof(*out));
	xdrmem_create(&xdrs, value->data, (u_int)value->length, XDR_DECODE);
	return xdr_zx_once(&xdrs, out);
}

/* Begin */

static void finish(struct begin *begin, int error, enum zr_once_state state,
		   int64_t version, const struct zr_once_response *answer)
{
	begin->done(begin->ctx, error, state, version, answer);
	free(begin);
}

static void finish_found(struct begin *begin,
			 const struct zr_store_value *value)
{
	struct zr_once_response answer;
	zx_once record;

	if (!read_record(&record, value)) {
		finish(begin, ZR_E_PROTOCOL, ZR_ONCE_UNCONFIRMED, 0, NULL);
	} else if (record.digest != begin->digest) {
		finish(begin, ZR_E_CONFLICT, ZR_ONCE_UNCONFIRMED, 0, NULL);
	} else if (!record.answered) {
		/* Our own, if the answer to its write was lost. */
		finish(begin, 0,
		       strcmp(record.run, begin->run) ? ZR_ONCE_UNCONFIRMED
						      : ZR_ONCE_NEW,
		       value->mod_revision, NULL);
	} else {
		answer.status = record.status;
		answer.body = record.body.body_val;
		answer.length = record.body.body_len;
		finish(begin, 0, ZR_ONCE_ANSWERED, 0, &answer);
	}
	xdr_free((xdrproc_t)xdr_zx_once, &record);
}

static void on_read_back(void *ctx, int error,
			 const struct zr_store_reply *reply)
{
	struct begin *begin = ctx;

	if (!error && reply->count)
		finish_found(begin, &reply->values[0]);
	else
		/* It may yet take effect: an intent that nobody runs. */
		finish(begin, ZR_E_OUTCOME_UNKNOWN, ZR_ONCE_UNCONFIRMED, 0,
		       NULL);
}

static void on_intent(void *ctx, int error, const struct zr_store_reply *reply)
{
	struct begin *begin = ctx;

	if (error == ZR_E_OUTCOME_UNKNOWN)
		zr_store_range(begin->home->options.store, ZR_STORE_INTENT,
			       begin->path, false, on_read_back, begin);
	else if (error < 0)
		finish(begin, error, ZR_ONCE_UNCONFIRMED, 0, NULL);
	else if (reply->succeeded)
		finish(begin, 0, ZR_ONCE_NEW, reply->revision, NULL);
	else if (reply->count)
		finish_found(begin, &reply->values[0]);
	else
		finish(begin, ZR_E_PROTOCOL, ZR_ONCE_UNCONFIRMED, 0, NULL);
}

static void put_intent(struct begin *begin)
{
	zx_once record = {
		.digest = begin->digest,
		.run = begin->run,
	};

	put_record(begin->home, begin->path, 0, &record, on_intent, begin);
}

static void on_lease(void *ctx, int error, const struct zr_store_reply *reply)
{
	struct begin *begin = ctx;
	struct zr_once_store *home = begin->home;

	if (error < 0) {
		/* At most a lease without keys was made. */
		finish(begin, ZR_E_STORE_DOWN, ZR_ONCE_UNCONFIRMED, 0, NULL);
		return;
	}
	home->lease = reply->lease;
	home->lease_ends = zr_time_add_ms(now(home), LEASE_SHARED_MS);
	put_intent(begin);
}

static bool take_token(struct zr_once_store *home)
{
	int64_t ms = zr_time_diff_ms(now(home), home->refilled);

	home->refilled = now(home);
	home->tokens += (double)ms / MS_PER_S * home->options.per_s;
	if (home->tokens > home->options.burst)
		home->tokens = home->options.burst;
	if (home->tokens < 1)
		return false;
	home->tokens -= 1;
	return true;
}

static void record_intent(void *impl, const struct zr_once_key *key,
			  unsigned int timeout_ms, zr_once_intent_fn done,
			  void *ctx)
{
	struct zr_once_store *home = impl;
	struct begin *begin;

	(void)timeout_ms;
	if (!take_token(home)) {
		done(ctx, ZR_E_FULL, ZR_ONCE_UNCONFIRMED, 0, NULL);
		return;
	}
	begin = calloc(1, sizeof(*begin));
	if (!begin)
		abort();
	begin->home = home;
	begin->digest = key->digest;
	begin->done = done;
	begin->ctx = ctx;
	path_of(begin->path, key);
	run_of(begin->run, home, key);
	if (home->lease && zr_time_cmp(now(home), home->lease_ends) < 0)
		put_intent(begin);
	else
		zr_store_lease_grant(home->options.store, ZR_ONCE_KEEP_MS,
				     on_lease, begin);
}

/* End */

static void on_ended(void *ctx, int error, const struct zr_store_reply *reply)
{
	/* Best effort: without it a repeat is told that it may have run. */
	(void)ctx;
	(void)error;
	(void)reply;
}

static void record_response(void *impl, const struct zr_once_key *key,
			    const struct zr_once_response *answer)
{
	struct zr_once_store *home = impl;
	char path[KEY_MAX];
	char run[ZX_ID_MAX + 1];
	zx_once record = {
		.digest = key->digest,
		.run = run,
		.answered = TRUE,
		.status = answer->status,
		.body = {(u_int)answer->length, (char *)answer->body},
	};

	if (answer->length > ZX_ANSWER_MAX)
		return;
	path_of(path, key);
	run_of(run, home, key);
	put_record(home, path, key->version, &record, on_ended, NULL);
}

static void delete_intent(void *impl, const struct zr_once_key *key)
{
	struct zr_once_store *home = impl;
	char path[KEY_MAX];
	struct zr_store_compare compare = {path, key->version};
	const struct zr_store_put put = {.key = path};
	const struct zr_store_txn txn = {&compare, 1, &put, 1};

	/* Of an intent that may not have been kept there is no version. */
	if (!key->version)
		return;
	path_of(path, key);
	zr_store_commit(home->options.store, ZR_STORE_INTENT, &txn, on_ended,
			NULL);
}

int zr_once_store_new(struct zr_once_backend *out,
		      const struct zr_once_store_options *options)
{
	static const struct zr_once_ops ops = {
		.record_intent = record_intent,
		.record_response = record_response,
		.delete_intent = delete_intent,
	};
	struct zr_once_store *home = calloc(1, sizeof(*home));

	if (!home)
		return ZR_E_NOMEM;
	home->options = *options;
	home->tokens = options->burst;
	home->refilled = now(home);
	out->ops = &ops;
	out->impl = home;
	return 0;
}

void zr_once_store_free(struct zr_once_backend *once)
{
	free(once->impl);
	once->impl = NULL;
}

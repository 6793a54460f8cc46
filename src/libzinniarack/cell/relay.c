#include "cell/relay.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "zinniarack/errors.h"
#include "zinniarack/log.h"

/* Interval at which calls that wait for a response are checked. */
#define CHECK_INTERVAL_MS 50
/* Timeout of a relayed call; the other host's store responds within 250 ms. */
#define RELAY_TIMEOUT_MS 500
/* Added to the wait of a relayed watch. */
#define WATCH_TIMEOUT_EXTRA_MS 300
/* Calls are not relayed for this time after no other host could make one. */
#define PAUSE_MS 300
/* Interval of calls that test the connection while it is suspect. */
#define PROBE_INTERVAL_MS 200
/* Other hosts that are tried for one call. */
#define ATTEMPTS_MAX 2
/* Longest wait of a watch that is made for another host. */
#define WATCH_WAIT_MAX_MS 30000

struct zr_cell_relay {
	struct zr_store direct;
	struct zr_store_health *health;
	const struct zr_clock *clock;
	zr_cell_relay_send_fn send;
	void *send_ctx;
	struct zr_timer *timer;
	bool timer_armed;
	struct timespec timer_due_at;
	bool relaying; /* calls are relayed, for the log */
	bool failing;  /* the last relayed call failed, for the log */
	struct timespec paused_until;
	struct timespec probed_at;
	struct call *calls;	    /* without a final result */
	unsigned int open;	    /* callbacks to come or in progress */
	unsigned int checked_count; /* calls that are not watches */
	bool freeing;
	struct zr_metric *relayed;
	struct zr_metric *failed;
	struct zr_metric *served;
};

/*
 * A call of this host. It ends with the first definite result of its paths, and
 * is freed when the last path has ended.
 */
struct call {
	struct call *prev;
	struct call *next;
	struct zr_cell_relay *relay;
	zx_cell_store_args args;
	zr_store_done_fn done;
	void *ctx;
	bool finished;
	bool made_directly;
	bool direct_pending;
	bool relay_pending;
	bool outcome_unknown; /* a path that failed may have had an effect */
	unsigned int attempts;
};

/* Copies of arguments */

static void *copy(const void *data, size_t length)
{
	void *bytes = malloc(length ? length : 1);

	if (!bytes)
		abort();
	if (length)
		memcpy(bytes, data, length);
	return bytes;
}

static char *copy_text(const char *text)
{
	return copy(text, strlen(text) + 1);
}

static void copy_txn(zx_cell_store_args *out, const struct zr_store_txn *txn)
{
	size_t i;

	out->compares.compares_val =
		calloc(txn->compare_count + 1, sizeof(zx_store_compare));
	out->puts.puts_val = calloc(txn->put_count + 1, sizeof(zx_store_put));
	if (!out->compares.compares_val || !out->puts.puts_val)
		abort();
	out->compares.compares_len = (u_int)txn->compare_count;
	out->puts.puts_len = (u_int)txn->put_count;
	for (i = 0; i < txn->compare_count; i++)
		out->compares.compares_val[i] =
			(zx_store_compare){copy_text(txn->compares[i].key),
					   txn->compares[i].mod_revision};
	for (i = 0; i < txn->put_count; i++) {
		const struct zr_store_put *put = &txn->puts[i];
		size_t length = put->data ? put->length : 0;

		out->puts.puts_val[i] = (zx_store_put){
			.key = copy_text(put->key),
			.present = put->data != NULL,
			.data = {(u_int)length, copy(put->data, length)},
			.lease = put->lease,
		};
	}
}

/* Calls over this host's own connection */

static void make_commit(const struct zr_store *store,
			const zx_cell_store_args *args, zr_store_done_fn done,
			void *ctx)
{
	struct zr_store_compare *compares =
		calloc(args->compares.compares_len + 1, sizeof(*compares));
	struct zr_store_put *puts =
		calloc(args->puts.puts_len + 1, sizeof(*puts));
	const struct zr_store_txn txn = {compares, args->compares.compares_len,
					 puts, args->puts.puts_len};
	u_int i;

	if (!compares || !puts)
		abort();
	for (i = 0; i < args->compares.compares_len; i++)
		compares[i] = (struct zr_store_compare){
			args->compares.compares_val[i].key,
			args->compares.compares_val[i].revision};
	for (i = 0; i < args->puts.puts_len; i++) {
		const zx_store_put *put = &args->puts.puts_val[i];

		/* An empty value has no data after decoding. */
		const void *data = put->data.data_len ? put->data.data_val : "";

		puts[i] = (struct zr_store_put){put->key,
						put->present ? data : NULL,
						put->data.data_len, put->lease};
	}
	zr_store_commit(store, (enum zr_store_purpose)args->purpose, &txn, done,
			ctx);
	free(compares);
	free(puts);
}

/* Makes a call over this host's own connection. @args->kind must be valid. */
static void make_call(const struct zr_store *store,
		      const zx_cell_store_args *args, zr_store_done_fn done,
		      void *ctx)
{
	switch ((enum zr_cell_relay_kind)args->kind) {
	case ZR_CELL_RELAY_RANGE:
		zr_store_range(store, (enum zr_store_purpose)args->purpose,
			       args->key, args->prefix, done, ctx);
		return;
	case ZR_CELL_RELAY_COMMIT:
		make_commit(store, args, done, ctx);
		return;
	case ZR_CELL_RELAY_GRANT:
		zr_store_lease_grant(store, args->number, done, ctx);
		return;
	case ZR_CELL_RELAY_RENEW:
		zr_store_lease_renew(store, args->number, done, ctx);
		return;
	case ZR_CELL_RELAY_REVOKE:
		zr_store_lease_revoke(store, args->number, done, ctx);
		return;
	case ZR_CELL_RELAY_WATCH:
		zr_store_watch(store, args->key, args->number, args->wait_ms,
			       done, ctx);
		return;
	case ZR_CELL_RELAY_KIND_COUNT:
		break;
	}
	abort();
}

static bool is_watch(const struct call *call)
{
	return call->args.kind == ZR_CELL_RELAY_WATCH;
}

/* Ends of calls */

static void free_relay(struct zr_cell_relay *relay)
{
	zr_timer_free(relay->timer);
	free(relay);
}

/* Frees a call whose paths have ended. */
static void release_call(struct call *call)
{
	struct zr_cell_relay *relay = call->relay;

	if (call->direct_pending || call->relay_pending || !call->finished)
		return;
	xdr_free((xdrproc_t)xdr_zx_cell_store_args, &call->args);
	free(call);
	if (!--relay->open && relay->freeing)
		free_relay(relay);
}

/* Reports the first definite result; later ones are ignored. */
static void finish_call(struct call *call, int error,
			const struct zr_store_reply *reply)
{
	if (!call->finished) {
		call->finished = true;
		DL_DELETE(call->relay->calls, call);
		call->relay->checked_count -= !is_watch(call);
		call->done(call->ctx, error, reply);
	}
	release_call(call);
}

static bool is_definite(int error)
{
	return error != ZR_E_STORE_DOWN && error != ZR_E_OUTCOME_UNKNOWN;
}

static bool relay_call(struct call *call);
static void call_directly(struct call *call);

/*
 * Handles a path that ended without a definite result: another path may have
 * one. The store may be slow instead of unreachable, so a call that could not
 * be relayed is made directly.
 */
static void fail_path(struct call *call, int error)
{
	call->outcome_unknown |= error == ZR_E_OUTCOME_UNKNOWN;
	if (call->finished || call->direct_pending || call->relay_pending) {
		release_call(call);
		return;
	}
	if (relay_call(call))
		return;
	if (!call->made_directly && !call->relay->freeing) {
		call_directly(call);
		return;
	}
	finish_call(call,
		    call->outcome_unknown ? ZR_E_OUTCOME_UNKNOWN
					  : ZR_E_STORE_DOWN,
		    NULL);
}

/* The path through another host */

static struct zr_store_value *values_from_result(const zx_cell_store_result *in)
{
	u_int count = in->values.values_len;
	struct zr_store_value *values = calloc(count + 1, sizeof(*values));
	u_int i;

	if (!values)
		abort();
	for (i = 0; i < count; i++) {
		const zx_store_value *value = &in->values.values_val[i];

		/* A NUL follows the value, as with the other adapters. */
		values[i].key = value->key;
		values[i].mod_revision = value->revision;
		values[i].length = value->data.data_len;
		if (!value->present)
			continue;
		values[i].data = calloc(1, values[i].length + 1);
		if (!values[i].data)
			abort();
		if (values[i].length)
			memcpy(values[i].data, value->data.data_val,
			       values[i].length);
	}
	return values;
}

static void finish_with_result(struct call *call,
			       const zx_cell_store_result *result)
{
	struct zr_store_value *values = values_from_result(result);
	const struct zr_store_reply reply = {
		.succeeded = result->succeeded,
		.revision = result->revision,
		.lease = result->lease,
		.ttl_ms = result->ttl_ms,
		.values = values,
		.count = result->values.values_len,
	};
	u_int i;

	finish_call(call, result->error, result->error < 0 ? NULL : &reply);
	for (i = 0; i < result->values.values_len; i++)
		free(values[i].data);
	free(values);
}

static void pause_relaying(struct zr_cell_relay *relay, int error)
{
	struct timespec now = zr_clock_now(relay->clock);

	relay->failed->value++;
	relay->paused_until = zr_time_add_ms(now, PAUSE_MS);
	if (!relay->failing)
		zr_log(ZR_LOG_WARN, "store.relay_failed error=%s pause_ms=%d",
		       zr_error_name(error), PAUSE_MS);
	relay->failing = true;
}

static void on_relayed(void *ctx, int error, const zx_cell_store_result *result)
{
	struct call *call = ctx;
	struct zr_cell_relay *relay = call->relay;

	call->relay_pending = false;
	if (!error && is_definite(result->error)) {
		relay->failing = false;
		finish_with_result(call, result);
		return;
	}
	if (!error)
		error = result->error;
	else if (error != ZR_E_UNREACHABLE)
		/* A reply that cannot be decoded does not tell the outcome. */
		error = ZR_E_OUTCOME_UNKNOWN;
	/* The store is down for the other host too, or no host is reachable. */
	if (error == ZR_E_STORE_DOWN || call->attempts == ATTEMPTS_MAX)
		pause_relaying(relay, error);
	fail_path(call, error);
}

static unsigned int relay_timeout_ms(const struct call *call)
{
	return is_watch(call) ? call->args.wait_ms + WATCH_TIMEOUT_EXTRA_MS
			      : RELAY_TIMEOUT_MS;
}

static bool can_relay(const struct zr_cell_relay *relay)
{
	return relay->send && !relay->freeing &&
	       zr_time_cmp(zr_clock_now(relay->clock), relay->paused_until) >=
		       0;
}

/* Sends a call to another host. Returns false if that is not possible now. */
static bool relay_call(struct call *call)
{
	struct zr_cell_relay *relay = call->relay;

	if (!can_relay(relay) || call->attempts == ATTEMPTS_MAX)
		return false;
	if (!relay->send(relay->send_ctx, &call->args, relay_timeout_ms(call),
			 on_relayed, call))
		return false;
	call->attempts++;
	call->relay_pending = true;
	relay->relayed->value++;
	return true;
}

/* The path over this host's own connection */

static void on_direct(void *ctx, int error, const struct zr_store_reply *reply)
{
	struct call *call = ctx;

	call->direct_pending = false;
	if (is_definite(error))
		finish_call(call, error, reply);
	else
		fail_path(call, error);
}

static void log_path(struct zr_cell_relay *relay, bool suspect)
{
	if (relay->relaying == suspect)
		return;
	relay->relaying = suspect;
	zr_log(ZR_LOG_INFO, "store.path relayed=%d suspect_ms=%lld", suspect,
	       (long long)zr_store_health_suspect_ms(relay->health));
}

static bool is_suspect(struct zr_cell_relay *relay)
{
	bool suspect = zr_store_health_suspect_ms(relay->health) > 0;

	log_path(relay, suspect);
	return suspect;
}

static void arm_timer(struct zr_cell_relay *relay)
{
	if (relay->timer_armed || !relay->checked_count)
		return;
	relay->timer_armed = true;
	relay->timer_due_at =
		zr_time_add_ms(zr_clock_now(relay->clock), CHECK_INTERVAL_MS);
	zr_timer_start(relay->timer, CHECK_INTERVAL_MS, 0);
}

/* Relays the calls that wait while the connection is suspect. */
static void on_check(void *ctx)
{
	struct zr_cell_relay *relay = ctx;
	int64_t late_ms = zr_time_diff_ms(zr_clock_now(relay->clock),
					  relay->timer_due_at);
	struct call *call;
	struct call *next;

	relay->timer_armed = false;
	if (zr_store_health_is_stall(late_ms))
		zr_store_health_resumed(relay->health);
	arm_timer(relay);
	/* What arrives on the own connection is not sent for a second time. */
	if (!is_suspect(relay) || zr_store_receiving(&relay->direct))
		return;
	DL_FOREACH_SAFE(relay->calls, call, next)
	{
		/* A watch waits by design; it is relayed when it has failed. */
		if (!call->attempts && !is_watch(call))
			relay_call(call);
	}
}

static struct call *new_call(struct zr_cell_relay *relay,
			     enum zr_cell_relay_kind kind,
			     zr_store_done_fn done, void *ctx)
{
	struct call *call = calloc(1, sizeof(*call));

	if (!call)
		abort();
	call->relay = relay;
	call->args.kind = kind;
	call->done = done;
	call->ctx = ctx;
	relay->open++;
	relay->checked_count += !is_watch(call);
	DL_APPEND(relay->calls, call);
	return call;
}

/* Reads of a single key, and transactions that only compare. */
static bool is_small_read(const struct call *call)
{
	return (call->args.kind == ZR_CELL_RELAY_RANGE && !call->args.prefix) ||
	       (call->args.kind == ZR_CELL_RELAY_COMMIT &&
		!call->args.puts.puts_len);
}

/*
 * Whether a relayed call is also made over this host's own connection, to find
 * out whether that works again. Only reads are, since their outcome matters to
 * nobody if it comes late.
 */
static bool should_probe(struct zr_cell_relay *relay, const struct call *call)
{
	struct timespec now = zr_clock_now(relay->clock);

	if (!is_small_read(call) ||
	    zr_time_diff_ms(now, relay->probed_at) < PROBE_INTERVAL_MS)
		return false;
	relay->probed_at = now;
	return true;
}

static void call_directly(struct call *call)
{
	call->made_directly = true;
	call->direct_pending = true;
	make_call(&call->relay->direct, &call->args, on_direct, call);
}

/* Sends a new call on its paths. */
static void start_call(struct call *call)
{
	struct zr_cell_relay *relay = call->relay;

	if (!call->args.key)
		call->args.key = copy_text("");
	arm_timer(relay);
	if (!is_suspect(relay) || !relay_call(call) ||
	    should_probe(relay, call))
		call_directly(call);
}

static void relay_range(void *impl, enum zr_store_purpose purpose,
			const char *key, bool prefix, zr_store_done_fn done,
			void *ctx)
{
	struct zr_cell_relay *relay = impl;
	struct call *call = new_call(relay, ZR_CELL_RELAY_RANGE, done, ctx);

	call->args.purpose = purpose;
	call->args.key = copy_text(key);
	call->args.prefix = prefix;
	start_call(call);
}

static void relay_commit(void *impl, enum zr_store_purpose purpose,
			 const struct zr_store_txn *txn, zr_store_done_fn done,
			 void *ctx)
{
	struct zr_cell_relay *relay = impl;
	struct call *call = new_call(relay, ZR_CELL_RELAY_COMMIT, done, ctx);

	call->args.purpose = purpose;
	copy_txn(&call->args, txn);
	start_call(call);
}

static void relay_lease_grant(void *impl, int64_t ttl_ms, zr_store_done_fn done,
			      void *ctx)
{
	struct zr_cell_relay *relay = impl;
	struct call *call = new_call(relay, ZR_CELL_RELAY_GRANT, done, ctx);

	call->args.number = ttl_ms;
	start_call(call);
}

static void relay_lease_renew(void *impl, int64_t lease, zr_store_done_fn done,
			      void *ctx)
{
	struct zr_cell_relay *relay = impl;
	struct call *call = new_call(relay, ZR_CELL_RELAY_RENEW, done, ctx);

	call->args.number = lease;
	start_call(call);
}

static void relay_lease_revoke(void *impl, int64_t lease, zr_store_done_fn done,
			       void *ctx)
{
	struct zr_cell_relay *relay = impl;
	struct call *call = new_call(relay, ZR_CELL_RELAY_REVOKE, done, ctx);

	call->args.number = lease;
	start_call(call);
}

static void relay_watch(void *impl, const char *prefix, int64_t after_revision,
			unsigned int wait_ms, zr_store_done_fn done, void *ctx)
{
	struct zr_cell_relay *relay = impl;
	struct call *call = new_call(relay, ZR_CELL_RELAY_WATCH, done, ctx);

	call->args.key = copy_text(prefix);
	call->args.number = after_revision;
	call->args.wait_ms = wait_ms;
	start_call(call);
}

static bool relay_receiving(void *impl)
{
	const struct zr_cell_relay *relay = impl;

	return zr_store_receiving(&relay->direct);
}

static void relay_free(void *impl)
{
	struct zr_cell_relay *relay = impl;

	relay->freeing = true;
	/* Callbacks run in zr_store_free(); none of them may free the relay. */
	relay->open++;
	zr_store_free(&relay->direct);
	while (relay->calls)
		finish_call(relay->calls, ZR_E_CANCELLED, NULL);
	if (!--relay->open)
		free_relay(relay);
}

static const struct zr_store_ops relay_ops = {
	.range = relay_range,
	.commit = relay_commit,
	.lease_grant = relay_lease_grant,
	.lease_renew = relay_lease_renew,
	.lease_revoke = relay_lease_revoke,
	.watch = relay_watch,
	.receiving = relay_receiving,
	.free = relay_free,
};

/* Calls for other hosts */

struct served_call {
	zr_cell_relay_done_fn done;
	void *ctx;
};

static void on_served(void *ctx, int error, const struct zr_store_reply *reply)
{
	struct served_call *served = ctx;
	zx_cell_store_result result = {.error = error};
	size_t i;

	result.values.values_val =
		calloc((reply ? reply->count : 0) + 1, sizeof(zx_store_value));
	if (!result.values.values_val)
		abort();
	if (reply) {
		result.succeeded = reply->succeeded;
		result.revision = reply->revision;
		result.lease = reply->lease;
		result.ttl_ms = reply->ttl_ms;
		result.values.values_len = (u_int)reply->count;
	}
	for (i = 0; reply && i < reply->count; i++) {
		const struct zr_store_value *value = &reply->values[i];

		result.values.values_val[i] = (zx_store_value){
			.key = value->key,
			.present = value->data != NULL,
			.data = {(u_int)(value->data ? value->length : 0),
				 value->data},
			.revision = value->mod_revision,
		};
	}
	served->done(served->ctx, 0, &result);
	free(result.values.values_val);
	free(served);
}

static bool is_valid(const zx_cell_store_args *args)
{
	return args->kind < ZR_CELL_RELAY_KIND_COUNT &&
	       args->purpose < ZR_STORE_PURPOSE_COUNT &&
	       args->wait_ms <= WATCH_WAIT_MAX_MS;
}

void zr_cell_relay_serve(struct zr_cell_relay *relay,
			 const zx_cell_store_args *args,
			 zr_cell_relay_done_fn done, void *ctx)
{
	struct served_call *served = calloc(1, sizeof(*served));

	if (!served)
		abort();
	served->done = done;
	served->ctx = ctx;
	relay->served->value++;
	if (!is_valid(args))
		on_served(served, ZR_E_INVALID, NULL);
	else if (zr_store_health_suspect_ms(relay->health))
		on_served(served, ZR_E_STORE_DOWN, NULL);
	else
		make_call(&relay->direct, args, on_served, served);
}

/* Creation */

void zr_cell_relay_set_sender(struct zr_cell_relay *relay,
			      zr_cell_relay_send_fn send, void *ctx)
{
	relay->send = send;
	relay->send_ctx = ctx;
}

int zr_cell_relay_new(struct zr_cell_relay **out, struct zr_store *out_store,
		      const struct zr_store *direct,
		      struct zr_store_health *health,
		      const struct zr_timers *timers,
		      const struct zr_clock *clock, struct zr_metrics *metrics)
{
	static const char name[] = "zinniarack_cell_store_relay_total";
	static const char help[] = "Calls to the store through other hosts";
	struct zr_cell_relay *relay = calloc(1, sizeof(*relay));

	if (!relay)
		return ZR_E_NOMEM;
	relay->direct = *direct;
	relay->health = health;
	relay->clock = clock;
	relay->timer = zr_timer_new(timers, on_check, relay);
	relay->relayed = zr_metrics_get_or_add_counter(
		metrics, name, "outcome=\"relayed\"", help);
	relay->failed = zr_metrics_get_or_add_counter(
		metrics, name, "outcome=\"failed\"", help);
	relay->served = zr_metrics_get_or_add_counter(
		metrics, name, "outcome=\"served\"", help);
	out_store->ops = &relay_ops;
	out_store->impl = relay;
	*out = relay;
	return 0;
}

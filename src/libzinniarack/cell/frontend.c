#include "cell/frontend.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "zinniarack/errors.h"
#include "zinniarack/log.h"

/* Assumed when a caller does not say how long it waits. */
#define DEFAULT_WAIT_MS 3000
/* Left of a caller's time to send the reply. */
#define REPLY_MS 150
/* A waiting-jobs count read from the store is used this long. */
#define COUNTS_AGE_MAX_MS 300
/* When to come back after the store could not be reached. */
#define STORE_RETRY_AFTER_MS 1000
#define CANCEL_TRIES_MAX 8
/* New calls are refused at once while the way has been suspect for longer. */
#define SUSPECT_MAX_MS 400

enum outcome_counter {
	COUNT_OK,
	COUNT_REFUSED,
	COUNT_UNDECIDED,
	COUNT_DENIED,
	COUNTERS,
};

struct zr_cell_front {
	struct zr_cell_front_options options;
	zx_cell_counts counts;
	bool counts_known;
	struct timespec counts_at;
	struct zr_metric *outcomes[COUNTERS];
	struct zr_histogram *accept_ms;
};

/* A call in progress; the exchange is NULL once the caller has gone. */
struct serving {
	struct zr_cell_front *front;
	struct zr_http_exchange *exchange;
	enum zr_call_kind kind;
	char job[ZR_NAME_MAX];
	char queue[ZR_NAME_MAX];
	char client[ZR_NAME_MAX];
	uint64_t version;
	struct timespec began;
	struct timespec give_up_at;
	struct zr_cell_bytes record;
	unsigned int tries;
};

static const char *const kind_names[] = {
	[ZR_CALL_SUBMIT] = "submit",   [ZR_CALL_STATE] = "state",
	[ZR_CALL_CANCEL] = "cancel",   [ZR_CALL_COUNT] = "count",
	[ZR_CALL_UNKNOWN] = "unknown",
};

static const char *const outcome_names[] = {
	[ZR_CALL_OK] = "ok",
	[ZR_CALL_BAD_REQUEST] = "bad_request",
	[ZR_CALL_UNAUTHORIZED] = "unauthorized",
	[ZR_CALL_NO_QUEUE] = "no_queue",
	[ZR_CALL_NO_JOB] = "no_job",
	[ZR_CALL_NOT_RUN] = "not_run",
	[ZR_CALL_UNKNOWN_END] = "undecided",
};

static enum outcome_counter counter_of(enum zr_call_outcome outcome)
{
	switch (outcome) {
	case ZR_CALL_OK:
		return COUNT_OK;
	case ZR_CALL_NOT_RUN:
		return COUNT_REFUSED;
	case ZR_CALL_UNKNOWN_END:
		return COUNT_UNDECIDED;
	default:
		return COUNT_DENIED;
	}
}

/* Replies */

static void log_call(const struct serving *serving,
		     const struct zr_call_result *result, int64_t took_ms)
{
	/* Reads that succeed change nothing and would fill the log. */
	if (result->outcome == ZR_CALL_OK && serving->kind != ZR_CALL_SUBMIT &&
	    serving->kind != ZR_CALL_CANCEL)
		return;
	zr_log_decision(
		"call.%s outcome=%s job=%s queue=%s client=%s "
		"version=%" PRIu64 " age_ms=%" PRId64 " took_ms=%" PRId64
		" reason=%s",
		kind_names[serving->kind], outcome_names[result->outcome],
		serving->job[0] ? serving->job : "-",
		serving->queue[0] ? serving->queue : "-",
		serving->client[0] ? serving->client : "-", serving->version,
		zr_cell_current_age_ms(serving->front->options.current),
		took_ms, result->reason ? result->reason : "-");
}

static void finish(struct serving *serving, const struct zr_call_result *result)
{
	struct zr_cell_front *front = serving->front;
	int64_t took_ms = zr_time_diff_ms(zr_clock_now(front->options.clock),
					  serving->began);

	front->outcomes[counter_of(result->outcome)]->value++;
	if (serving->kind == ZR_CALL_SUBMIT && result->outcome == ZR_CALL_OK)
		zr_histogram_observe(front->accept_ms, (double)took_ms);
	log_call(serving, result, took_ms);
	if (serving->exchange)
		front->options.codec->reply(serving->exchange, result);
	free(serving->record.data);
	free(serving);
}

static void finish_with(struct serving *serving, enum zr_call_outcome outcome,
			const char *reason)
{
	struct zr_call_result result = {.outcome = outcome, .reason = reason};

	if (outcome == ZR_CALL_NOT_RUN)
		result.retry_after_ms = STORE_RETRY_AFTER_MS;
	finish(serving, &result);
}

static void finish_state(struct serving *serving, enum zr_cell_job_state state)
{
	const struct zr_call_result result = {
		.outcome = ZR_CALL_OK, .has_state = true, .state = state};

	finish(serving, &result);
}

/* Tells the owner of the cell, which would else find out by its watch. */
static void tell_owner(struct serving *serving,
		       const struct zr_cell_bytes *record)
{
	const struct zr_cell_front_options *options = &serving->front->options;

	zr_cell_members_tell(options->members,
			     zr_cell_scheduler_holder(options->scheduler),
			     serving->job, record ? record->data : NULL,
			     record ? record->length : 0);
}

/* Submissions */

static void on_accepted(void *ctx, enum zr_cell_accepted outcome)
{
	struct serving *serving = ctx;

	switch (outcome) {
	case ZR_CELL_ACCEPTED:
		tell_owner(serving, &serving->record);
		finish_with(serving, ZR_CALL_OK, "accepted");
		return;
	case ZR_CELL_ACCEPTED_BEFORE:
		finish_with(serving, ZR_CALL_OK, "accepted_before");
		return;
	case ZR_CELL_REFUSED:
		finish_with(serving, ZR_CALL_NOT_RUN, "store_down");
		return;
	case ZR_CELL_UNDECIDED:
		finish_with(serving, ZR_CALL_UNKNOWN_END, "store_silent");
		return;
	}
}

static unsigned int left_ms(const struct serving *serving)
{
	int64_t left =
		zr_time_diff_ms(serving->give_up_at,
				zr_clock_now(serving->front->options.clock));

	return left > 0 ? (unsigned int)left : 0;
}

static void submit(struct serving *serving, const struct zr_call *call,
		   const struct zr_cell_config *config,
		   const struct zr_cell_queue *queue)
{
	struct zr_cell_front *front = serving->front;
	const struct zr_clock *clock = front->options.clock;
	struct zr_cell_job_spec spec;
	struct zr_cell_bytes bytes;
	zx_cell_job record = {
		.queue = (char *)queue->name,
		.client = serving->client,
		.pool = (char *)queue->pool,
		.accepted_ms = zr_time_to_ms(clock->realtime(clock->ctx)),
		.priority = queue->priority,
		.attempts = queue->attempts,
		.stretch_permille = queue->stretch_permille,
		.latency_target_ms = queue->latency_target_ms,
	};
	int error;

	if (call->body_length > config->body_bytes_max) {
		finish_with(serving, ZR_CALL_BAD_REQUEST, "body_too_large");
		return;
	}
	if (front->options.codec->job_spec(&spec, call->body,
					   call->body_length) < 0) {
		zr_log(ZR_LOG_INFO, "call.unreadable job=%s fault=%s",
		       serving->job, zr_error_last());
		finish_with(serving, ZR_CALL_BAD_REQUEST, "unreadable");
		return;
	}
	zr_cell_record_of(&record, &spec);
	error = zr_cell_encode(&bytes, (xdrproc_t)xdr_zx_cell_job, &record);
	zr_cell_record_clear(&record);
	zr_cell_job_spec_clear(&spec);
	if (error < 0) {
		finish_with(serving, ZR_CALL_BAD_REQUEST, "job_too_large");
		return;
	}
	serving->record.data = malloc(bytes.length);
	if (!serving->record.data)
		abort();
	serving->record.length = bytes.length;
	memcpy(serving->record.data, bytes.data, bytes.length);
	zr_cell_accept_job(front->options.accept, serving->job, bytes,
			   left_ms(serving), on_accepted, serving);
}

/* States */

static void on_in(void *ctx, int error, const struct zr_store_reply *reply)
{
	struct serving *serving = ctx;

	if (error < 0)
		finish_with(serving, ZR_CALL_NOT_RUN, "store_down");
	else if (reply->count)
		finish_state(serving, ZR_CELL_JOB_QUEUED);
	else
		finish_with(serving, ZR_CALL_NO_JOB, "no_job");
}

static void read_key(struct serving *serving, const char *prefix,
		     zr_store_done_fn done)
{
	char key[ZR_CELL_KEY_MAX];

	snprintf(key, sizeof(key), "%s%s", prefix, serving->job);
	zr_store_range(serving->front->options.store, ZR_STORE_OTHER, key,
		       false, done, serving);
}

static int read_progress(zx_cell_progress *out,
			 const struct zr_store_value *value)
{
	memset(out, 0, sizeof(*out));
	return zr_cell_decode(out, (xdrproc_t)xdr_zx_cell_progress, value->data,
			      value->length);
}

static void on_at(void *ctx, int error, const struct zr_store_reply *reply)
{
	struct serving *serving = ctx;
	enum zr_cell_job_state state;
	zx_cell_progress record;

	if (error < 0) {
		finish_with(serving, ZR_CALL_NOT_RUN, "store_down");
		return;
	}
	if (!reply->count) {
		read_key(serving, ZR_CELL_IN_PREFIX, on_in);
		return;
	}
	if (read_progress(&record, &reply->values[0]) < 0) {
		finish_with(serving, ZR_CALL_NOT_RUN, "progress_unreadable");
		return;
	}
	state = (enum zr_cell_job_state)record.state;
	xdr_free((xdrproc_t)xdr_zx_cell_progress, &record);
	finish_state(serving, state);
}

static void on_owner_state(void *ctx, int error, enum zr_cell_job_state state)
{
	struct serving *serving = ctx;

	if (error < 0)
		read_key(serving, ZR_CELL_AT_PREFIX, on_at);
	else
		finish_state(serving, state);
}

static void ask_owner(struct serving *serving)
{
	const struct zr_cell_front_options *options = &serving->front->options;

	zr_cell_members_state(options->members,
			      zr_cell_scheduler_holder(options->scheduler),
			      serving->job, on_owner_state, serving);
}

/* Cancellations */

static void read_for_cancel(struct serving *serving);

static void cancel_failed(struct serving *serving)
{
	if (left_ms(serving) && ++serving->tries < CANCEL_TRIES_MAX)
		read_for_cancel(serving);
	else
		finish_with(serving, ZR_CALL_UNKNOWN_END, "store_silent");
}

static void on_cancelled(void *ctx, int error,
			 const struct zr_store_reply *reply)
{
	struct serving *serving = ctx;

	if (error < 0)
		cancel_failed(serving);
	else if (reply->succeeded) {
		tell_owner(serving, NULL);
		finish_with(serving, ZR_CALL_OK, "cancelled");
	} else
		/* The job has ended meanwhile, or was cancelled before. */
		read_for_cancel(serving);
}

static void write_cancel(struct serving *serving, int64_t revision)
{
	char in_key[ZR_CELL_KEY_MAX];
	char key[ZR_CELL_KEY_MAX];
	const struct zr_store_compare compare = {in_key, revision};
	const struct zr_store_put put = {key, "1", 1, 0};
	const struct zr_store_txn txn = {&compare, 1, &put, 1};

	snprintf(in_key, sizeof(in_key), "%s%s", ZR_CELL_IN_PREFIX,
		 serving->job);
	snprintf(key, sizeof(key), "%s%s%s", ZR_CELL_IN_PREFIX, serving->job,
		 ZR_CELL_CANCEL_SUFFIX);
	zr_store_commit(serving->front->options.store, ZR_STORE_ACCEPT, &txn,
			on_cancelled, serving);
}

static void on_ended_job(void *ctx, int error,
			 const struct zr_store_reply *reply)
{
	struct serving *serving = ctx;

	if (error < 0)
		cancel_failed(serving);
	else if (reply->count)
		finish_with(serving, ZR_CALL_OK, "ended");
	else
		finish_with(serving, ZR_CALL_NO_JOB, "no_job");
}

static void on_job_for_cancel(void *ctx, int error,
			      const struct zr_store_reply *reply)
{
	struct serving *serving = ctx;

	if (error < 0)
		cancel_failed(serving);
	else if (reply->count)
		write_cancel(serving, reply->values[0].mod_revision);
	else
		read_key(serving, ZR_CELL_AT_PREFIX, on_ended_job);
}

static void read_for_cancel(struct serving *serving)
{
	read_key(serving, ZR_CELL_IN_PREFIX, on_job_for_cancel);
}

/* Counts of waiting jobs */

static void finish_count(struct serving *serving)
{
	const zx_cell_counts *counts = &serving->front->counts;
	struct zr_call_result result = {.outcome = ZR_CALL_OK,
					.has_count = true};
	u_int i;

	for (i = 0; i < counts->queues.queues_len; i++) {
		if (!strcmp(counts->queues.queues_val[i].queue, serving->queue))
			result.count = counts->queues.queues_val[i].jobs;
	}
	finish(serving, &result);
}

static void on_counts(void *ctx, int error, const struct zr_store_reply *reply)
{
	struct serving *serving = ctx;
	struct zr_cell_front *front = serving->front;
	zx_cell_counts counts = {0};

	if (error < 0) {
		finish_with(serving, ZR_CALL_NOT_RUN, "store_down");
		return;
	}
	if (reply->count &&
	    !zr_cell_decode(&counts, (xdrproc_t)xdr_zx_cell_counts,
			    reply->values[0].data, reply->values[0].length)) {
		xdr_free((xdrproc_t)xdr_zx_cell_counts, &front->counts);
		front->counts = counts;
		front->counts_known = true;
		front->counts_at = zr_clock_now(front->options.clock);
	}
	finish_count(serving);
}

static void count(struct serving *serving)
{
	struct zr_cell_front *front = serving->front;

	if (front->counts_known &&
	    zr_time_diff_ms(serving->began, front->counts_at) <
		    COUNTS_AGE_MAX_MS) {
		finish_count(serving);
		return;
	}
	zr_store_range(front->options.store, ZR_STORE_OTHER, ZR_CELL_COUNTS_KEY,
		       false, on_counts, serving);
}

/* Calls */

static void on_gone(void *ctx)
{
	struct serving *serving = ctx;

	serving->exchange = NULL;
}

static struct serving *new_serving(struct zr_cell_front *front,
				   struct zr_http_exchange *exchange,
				   const struct zr_call *call)
{
	struct serving *serving = calloc(1, sizeof(*serving));
	unsigned int wait_ms =
		call->deadline_ms ? call->deadline_ms : DEFAULT_WAIT_MS;

	if (!serving)
		abort();
	serving->front = front;
	serving->exchange = exchange;
	serving->kind = call->kind;
	serving->began = zr_clock_now(front->options.clock);
	serving->give_up_at = zr_time_add_ms(
		serving->began,
		wait_ms > REPLY_MS ? wait_ms - REPLY_MS : wait_ms);
	zr_http_on_gone(exchange, on_gone, serving);
	return serving;
}

/* Whether the caller may use the queue; the call ends here if not. */
static bool admit(struct serving *serving, const struct zr_call *call,
		  const struct zr_cell_config *config,
		  const struct zr_cell_queue *queue)
{
	const struct zr_cell_client *client =
		zr_cell_config_key(config, call->key);

	if (client)
		snprintf(serving->client, sizeof(serving->client), "%s",
			 client->name);
	if (queue->open || client)
		return true;
	finish_with(serving, ZR_CALL_UNAUTHORIZED, "unknown_key");
	return false;
}

static void dispatch(struct serving *serving, const struct zr_call *call,
		     const struct zr_cell_config *config,
		     const struct zr_cell_queue *queue)
{
	switch (call->kind) {
	case ZR_CALL_SUBMIT:
		submit(serving, call, config, queue);
		return;
	case ZR_CALL_STATE:
		ask_owner(serving);
		return;
	case ZR_CALL_CANCEL:
		read_for_cancel(serving);
		return;
	default:
		finish_with(serving, ZR_CALL_BAD_REQUEST, "unknown_call");
	}
}

void zr_cell_front_handle(void *ctx, struct zr_http_exchange *exchange)
{
	struct zr_cell_front *front = ctx;
	const struct zr_cell_current *current = front->options.current;
	const struct zr_cell_config *config = zr_cell_current_config(current);
	const struct zr_cell_queue *queue;
	struct serving *serving;
	struct zr_call call;

	front->options.codec->read(&call, exchange);
	serving = new_serving(front, exchange, &call);
	if (!config ||
	    zr_cell_current_age_ms(current) > front->options.key_age_max_ms) {
		finish_with(serving, ZR_CALL_NOT_RUN, "config_unconfirmed");
		return;
	}
	serving->version = config->version;
	if (zr_store_health_suspect_ms(front->options.health) >
	    SUSPECT_MAX_MS) {
		finish_with(serving, ZR_CALL_NOT_RUN, "store_suspect");
		return;
	}
	queue = zr_cell_config_route(config, call.host, call.path);
	if (!queue) {
		finish_with(serving, ZR_CALL_NO_QUEUE, "no_queue");
		return;
	}
	snprintf(serving->queue, sizeof(serving->queue), "%s", queue->name);
	if (!admit(serving, &call, config, queue))
		return;
	if (call.kind == ZR_CALL_COUNT) {
		count(serving);
		return;
	}
	if (front->options.codec->job_id(serving->job, call.path,
					 queue->prefix) < 0) {
		serving->job[0] = '\0';
		finish_with(serving, ZR_CALL_BAD_REQUEST, "bad_job_id");
		return;
	}
	dispatch(serving, &call, config, queue);
}

int zr_cell_front_new(struct zr_cell_front **out,
		      const struct zr_cell_front_options *options)
{
	static const char *const labels[COUNTERS] = {
		[COUNT_OK] = "outcome=\"ok\"",
		[COUNT_REFUSED] = "outcome=\"refused\"",
		[COUNT_UNDECIDED] = "outcome=\"undecided\"",
		[COUNT_DENIED] = "outcome=\"denied\"",
	};
	struct zr_cell_front *front = calloc(1, sizeof(*front));
	int i;

	if (!front)
		return ZR_E_NOMEM;
	front->options = *options;
	for (i = 0; i < COUNTERS; i++)
		front->outcomes[i] = zr_metrics_counter(
			options->metrics, "zinniarack_cell_calls_total",
			labels[i], "Calls of callers");
	front->accept_ms = zr_metrics_histogram(
		options->metrics, "zinniarack_cell_accept_ms", NULL,
		"Time until a caller was told that its job was accepted");
	*out = front;
	return 0;
}

void zr_cell_front_free(struct zr_cell_front *front)
{
	if (!front)
		return;
	xdr_free((xdrproc_t)xdr_zx_cell_counts, &front->counts);
	free(front);
}

#include "cell/frontend.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cell/counts.h"
#include "zinniarack/errors.h"
#include "zinniarack/log.h"

/* Deadline of a call whose caller does not set one. */
#define DEFAULT_DEADLINE_MS 3000
/* Part of a call's deadline that is reserved for sending the response. */
#define RESPONSE_RESERVE_MS 150
/* Maximum age of the cached counts of waiting jobs. */
#define COUNTS_AGE_MAX_MS 300
/* Retry-After of refused calls. */
#define STORE_RETRY_AFTER_MS 1000
#define CANCEL_ATTEMPTS_MAX 8
/*
 * New calls are refused when a failure of the connection to the store has been
 * suspected for longer than this.
 */
#define SUSPECT_MAX_MS 400

enum outcome_counter {
	COUNT_OK,
	COUNT_REFUSED,
	COUNT_UNDECIDED,
	COUNT_DENIED,
	OUTCOME_COUNTERS,
};

struct zr_cell_frontend {
	struct zr_cell_frontend_options options;
	struct zr_cell_known_counts counts;
	struct zr_metric *outcomes[OUTCOME_COUNTERS];
	struct zr_histogram *accept_ms;
};

/* A call in progress; exchange is NULL once the caller has disconnected. */
struct request {
	struct zr_cell_frontend *frontend;
	struct zr_http_exchange *exchange;
	enum zr_call_kind kind;
	char job[ZR_NAME_MAX];
	char queue[ZR_NAME_MAX];
	char client[ZR_NAME_MAX];
	bool open; /* the queue needs no key */
	uint64_t version;
	struct timespec started_at;
	struct timespec deadline;
	struct zr_cell_buffer record;
	struct zr_admission_verdict verdict; /* of a submission */
	unsigned int cancel_attempts;
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
	[ZR_CALL_REFUSED] = "not_run",
	[ZR_CALL_OVER_SHARE] = "not_run",
	[ZR_CALL_UNDECIDED] = "undecided",
};

static enum outcome_counter counter_for(enum zr_call_outcome outcome)
{
	switch (outcome) {
	case ZR_CALL_OK:
		return COUNT_OK;
	case ZR_CALL_REFUSED:
	case ZR_CALL_OVER_SHARE:
		return COUNT_REFUSED;
	case ZR_CALL_UNDECIDED:
		return COUNT_UNDECIDED;
	default:
		return COUNT_DENIED;
	}
}

/* Responses */

/* Times are from now on: when the job would have ended, and should have. */
static void log_rejection(const struct request *request,
			  const struct zr_call_result *result, int64_t took_ms)
{
	const struct zr_admission_verdict *verdict = &request->verdict;

	zr_log_decision("call.submit outcome=not_run job=%s queue=%s client=%s "
			"version=%" PRIu64 " took_ms=%" PRId64 " reason=%s "
			"wait_ms=%" PRId64 " finish_ms=%" PRId64
			" limit_ms=%" PRId64 " retry_after_ms=%u",
			request->job, request->queue,
			request->client[0] ? request->client : "-",
			request->version, took_ms, result->reason,
			verdict->wait_ms, verdict->finish_ms, verdict->limit_ms,
			result->retry_after_ms);
}

static void log_call(const struct request *request,
		     const struct zr_call_result *result, int64_t took_ms)
{
	/* Successful reads would flood the log. */
	if (result->outcome == ZR_CALL_OK && request->kind != ZR_CALL_SUBMIT &&
	    request->kind != ZR_CALL_CANCEL)
		return;
	if (request->verdict.reason != ZR_ADMISSION_ACCEPTED) {
		log_rejection(request, result, took_ms);
		return;
	}
	zr_log_decision(
		"call.%s outcome=%s job=%s queue=%s client=%s "
		"version=%" PRIu64 " age_ms=%" PRId64 " took_ms=%" PRId64
		" reason=%s",
		kind_names[request->kind], outcome_names[result->outcome],
		request->job[0] ? request->job : "-",
		request->queue[0] ? request->queue : "-",
		request->client[0] ? request->client : "-", request->version,
		zr_cell_config_poller_age_ms(
			request->frontend->options.config_poller),
		took_ms, result->reason ? result->reason : "-");
}

static void respond(struct request *request,
		    const struct zr_call_result *result)
{
	struct zr_cell_frontend *frontend = request->frontend;
	int64_t took_ms = zr_time_diff_ms(zr_clock_now(frontend->options.clock),
					  request->started_at);

	frontend->outcomes[counter_for(result->outcome)]->value++;
	if (request->kind == ZR_CALL_SUBMIT && result->outcome == ZR_CALL_OK)
		zr_histogram_observe(frontend->accept_ms, (double)took_ms);
	log_call(request, result, took_ms);
	if (request->exchange)
		frontend->options.codec->write_reply(request->exchange, result);
	free(request->record.data);
	free(request);
}

static void respond_with(struct request *request, enum zr_call_outcome outcome,
			 const char *reason)
{
	struct zr_call_result result = {.outcome = outcome, .reason = reason};

	if (outcome == ZR_CALL_REFUSED)
		result.retry_after_ms = STORE_RETRY_AFTER_MS;
	respond(request, &result);
}

static void respond_state(struct request *request, enum zr_cell_job_state state)
{
	const struct zr_call_result result = {
		.outcome = ZR_CALL_OK, .has_state = true, .state = state};

	respond(request, &result);
}

/*
 * Notify the owner of the cell of a persisted job or cancellation, which its
 * watch on the store would deliver later.
 */
static void notify_owner(struct request *request,
			 const struct zr_cell_buffer *record)
{
	const struct zr_cell_frontend_options *options =
		&request->frontend->options;

	zr_cell_peers_notify(options->peers,
			     zr_cell_scheduler_holder(options->scheduler),
			     request->job, record ? record->data : NULL,
			     record ? record->length : 0);
}

/* Submissions */

static void on_accepted(void *ctx, enum zr_cell_accept_outcome outcome)
{
	struct request *request = ctx;

	switch (outcome) {
	case ZR_CELL_ACCEPTED:
		notify_owner(request, &request->record);
		respond_with(request, ZR_CALL_OK, "accepted");
		return;
	case ZR_CELL_ALREADY_ACCEPTED:
		respond_with(request, ZR_CALL_OK, "accepted_before");
		return;
	case ZR_CELL_REFUSED:
		respond_with(request, ZR_CALL_REFUSED, "store_down");
		return;
	case ZR_CELL_UNDECIDED:
		respond_with(request, ZR_CALL_UNDECIDED, "store_silent");
		return;
	}
}

static unsigned int remaining_ms(const struct request *request)
{
	int64_t left =
		zr_time_diff_ms(request->deadline,
				zr_clock_now(request->frontend->options.clock));

	return left > 0 ? (unsigned int)left : 0;
}

/* The record is copied, since the owner is notified of it afterwards. */
static void write_job(struct request *request)
{
	struct zr_cell_buffer copy = {.length = request->record.length};

	copy.data = malloc(copy.length);
	if (!copy.data)
		abort();
	memcpy(copy.data, request->record.data, copy.length);
	zr_cell_acceptor_write_job(request->frontend->options.acceptor,
				   request->job, copy, remaining_ms(request),
				   on_accepted, request);
}

static void on_verdict(void *ctx, const struct zr_admission_verdict *verdict)
{
	struct request *request = ctx;
	struct zr_call_result result = {
		.outcome = ZR_CALL_REFUSED,
		.reason = "overload",
		.retry_after_ms = verdict->retry_after_ms,
	};

	if (verdict->reason == ZR_ADMISSION_ACCEPTED) {
		write_job(request);
		return;
	}
	request->verdict = *verdict;
	if (verdict->reason == ZR_ADMISSION_REJECTED_OVER_SHARE) {
		result.outcome = ZR_CALL_OVER_SHARE;
		result.reason = "over_share";
	}
	respond(request, &result);
}

static void decide_and_write(struct request *request,
			     const struct zr_cell_queue *queue,
			     const struct zr_cell_job_spec *spec)
{
	const struct zr_cell_frontend_options *options =
		&request->frontend->options;
	const struct zr_cell_submission submission = {
		.id = request->job,
		.client = request->client,
		.queue = queue,
		.spec = spec,
		.term_revision =
			zr_cell_scheduler_holder_revision(options->scheduler),
	};

	if (options->admitter)
		zr_cell_admitter_decide(options->admitter, &submission,
					on_verdict, request);
	else
		write_job(request);
}

static void submit(struct request *request, const struct zr_call *call,
		   const struct zr_cell_config *config,
		   const struct zr_cell_queue *queue)
{
	struct zr_cell_frontend *frontend = request->frontend;
	const struct zr_clock *clock = frontend->options.clock;
	struct zr_cell_job_spec spec;
	zx_cell_stored_job record = {
		.job = {.queue = (char *)queue->name,
			.client = request->client,
			.pool = (char *)queue->pool,
			.accepted_ms =
				zr_time_to_ms(clock->realtime(clock->ctx)),
			.priority = queue->priority,
			.attempts = queue->attempts,
			.stretch_permille = queue->stretch_permille,
			.latency_target_ms = queue->latency_target_ms},
		.advice = {.advised = queue->advised,
			   .advise_ms = queue->advise_ms,
			   .advise_worker_us = queue->advise_worker_us,
			   .permit_ms = queue->permit_ms},
	};
	int error;

	if (call->body_length > config->body_bytes_max) {
		respond_with(request, ZR_CALL_BAD_REQUEST, "body_too_large");
		return;
	}
	if (frontend->options.codec->parse_job_spec(&spec, call->body,
						    call->body_length) < 0) {
		zr_log(ZR_LOG_INFO, "call.invalid_body job=%s fault=%s",
		       request->job, zr_error_last());
		respond_with(request, ZR_CALL_BAD_REQUEST, "unreadable");
		return;
	}
	zr_cell_record_from_spec(&record.job, &spec);
	error = zr_cell_encode_job(&request->record, &record);
	zr_cell_record_clear(&record.job);
	if (error < 0) {
		request->record = (struct zr_cell_buffer){0};
		respond_with(request, ZR_CALL_BAD_REQUEST, "job_too_large");
	} else {
		decide_and_write(request, queue, &spec);
	}
	zr_cell_job_spec_clear(&spec);
}

/*
 * The account whose jobs the caller may know; empty: any. To others a job is
 * one that does not exist.
 */
static const char *account_of(const struct request *request)
{
	return request->open ? "" : request->client;
}

/* Returns 0 or an error; sets @out to whether the caller may know a job. */
static int may_know_job(bool *out, const struct request *request,
			const struct zr_store_value *value)
{
	zx_cell_stored_job record = {0};
	int error = zr_cell_decode_job(&record, value->data, value->length);

	if (error < 0)
		return error;
	*out = zr_cell_client_may_know(account_of(request), record.job.client);
	xdr_free((xdrproc_t)xdr_zx_cell_stored_job, &record);
	return 0;
}

/* State queries */

static void on_job_read(void *ctx, int error,
			const struct zr_store_reply *reply)
{
	struct request *request = ctx;
	bool may_know = false;

	if (error < 0)
		respond_with(request, ZR_CALL_REFUSED, "store_down");
	else if (!reply->count)
		respond_with(request, ZR_CALL_NO_JOB, "no_job");
	else if (may_know_job(&may_know, request, &reply->values[0]) < 0)
		respond_with(request, ZR_CALL_REFUSED, "job_unreadable");
	else if (may_know)
		respond_state(request, ZR_CELL_JOB_QUEUED);
	else
		respond_with(request, ZR_CALL_NO_JOB, "other_account");
}

static void read_key(struct request *request, const char *prefix,
		     zr_store_done_fn done)
{
	char key[ZR_CELL_KEY_MAX];

	snprintf(key, sizeof(key), "%s%s", prefix, request->job);
	zr_store_range(request->frontend->options.store, ZR_STORE_OTHER, key,
		       false, done, request);
}

static int decode_progress(zx_cell_progress *out,
			   const struct zr_store_value *value)
{
	memset(out, 0, sizeof(*out));
	return zr_cell_decode(out, (xdrproc_t)xdr_zx_cell_progress, value->data,
			      value->length);
}

static void on_progress_read(void *ctx, int error,
			     const struct zr_store_reply *reply)
{
	struct request *request = ctx;
	enum zr_cell_job_state state;
	zx_cell_progress record;
	bool may_know;

	if (error < 0) {
		respond_with(request, ZR_CALL_REFUSED, "store_down");
		return;
	}
	if (!reply->count) {
		read_key(request, ZR_CELL_JOB_PREFIX, on_job_read);
		return;
	}
	if (decode_progress(&record, &reply->values[0]) < 0) {
		respond_with(request, ZR_CALL_REFUSED, "progress_unreadable");
		return;
	}
	state = (enum zr_cell_job_state)record.state;
	may_know = zr_cell_client_may_know(account_of(request), record.client);
	xdr_free((xdrproc_t)xdr_zx_cell_progress, &record);
	if (may_know)
		respond_state(request, state);
	else
		respond_with(request, ZR_CALL_NO_JOB, "other_account");
}

static void on_owner_state(void *ctx, int error, enum zr_cell_job_state state)
{
	struct request *request = ctx;

	if (error < 0)
		read_key(request, ZR_CELL_PROGRESS_PREFIX, on_progress_read);
	else
		respond_state(request, state);
}

static void query_owner(struct request *request)
{
	const struct zr_cell_frontend_options *options =
		&request->frontend->options;

	zr_cell_peers_query_state(
		options->peers, zr_cell_scheduler_holder(options->scheduler),
		request->job, account_of(request), on_owner_state, request);
}

/* Cancellations */

static void read_for_cancel(struct request *request);

static void retry_cancel(struct request *request)
{
	if (remaining_ms(request) &&
	    ++request->cancel_attempts < CANCEL_ATTEMPTS_MAX)
		read_for_cancel(request);
	else
		respond_with(request, ZR_CALL_UNDECIDED, "store_silent");
}

static void on_cancelled(void *ctx, int error,
			 const struct zr_store_reply *reply)
{
	struct request *request = ctx;

	if (error < 0)
		retry_cancel(request);
	else if (reply->succeeded) {
		notify_owner(request, NULL);
		respond_with(request, ZR_CALL_OK, "cancelled");
	} else
		/* The job's record was deleted because the job has ended. */
		read_for_cancel(request);
}

static void write_cancel(struct request *request, int64_t revision)
{
	char job_key[ZR_CELL_KEY_MAX];
	char key[ZR_CELL_KEY_MAX];
	const struct zr_store_compare compare = {job_key, revision};
	const struct zr_store_put put = {key, "1", 1, 0};
	const struct zr_store_txn txn = {&compare, 1, &put, 1};

	snprintf(job_key, sizeof(job_key), "%s%s", ZR_CELL_JOB_PREFIX,
		 request->job);
	snprintf(key, sizeof(key), "%s%s%s", ZR_CELL_JOB_PREFIX, request->job,
		 ZR_CELL_CANCEL_SUFFIX);
	zr_store_commit(request->frontend->options.store, ZR_STORE_ACCEPT, &txn,
			on_cancelled, request);
}

static void on_progress_for_cancel(void *ctx, int error,
				   const struct zr_store_reply *reply)
{
	struct request *request = ctx;

	zx_cell_progress record;
	bool may_know;

	if (error < 0) {
		retry_cancel(request);
		return;
	}
	if (!reply->count) {
		respond_with(request, ZR_CALL_NO_JOB, "no_job");
		return;
	}
	if (decode_progress(&record, &reply->values[0]) < 0) {
		respond_with(request, ZR_CALL_REFUSED, "progress_unreadable");
		return;
	}
	may_know = zr_cell_client_may_know(account_of(request), record.client);
	xdr_free((xdrproc_t)xdr_zx_cell_progress, &record);
	if (may_know)
		respond_with(request, ZR_CALL_OK, "ended");
	else
		respond_with(request, ZR_CALL_NO_JOB, "other_account");
}

static void on_job_for_cancel(void *ctx, int error,
			      const struct zr_store_reply *reply)
{
	struct request *request = ctx;
	bool may_know = false;

	if (error < 0)
		retry_cancel(request);
	else if (reply->count &&
		 may_know_job(&may_know, request, &reply->values[0]) < 0)
		respond_with(request, ZR_CALL_REFUSED, "job_unreadable");
	else if (reply->count && !may_know)
		respond_with(request, ZR_CALL_NO_JOB, "other_account");
	else if (reply->count)
		write_cancel(request, reply->values[0].mod_revision);
	else
		read_key(request, ZR_CELL_PROGRESS_PREFIX,
			 on_progress_for_cancel);
}

static void read_for_cancel(struct request *request)
{
	read_key(request, ZR_CELL_JOB_PREFIX, on_job_for_cancel);
}

/* Counts of waiting jobs */

static int64_t now_ms(const struct zr_cell_frontend *frontend)
{
	return zr_time_to_ms(zr_clock_now(frontend->options.clock));
}

static void respond_count(struct request *request)
{
	struct zr_call_result result = {
		.outcome = ZR_CALL_OK,
		.has_count = true,
		.count = zr_cell_known_counts_get(&request->frontend->counts,
						  request->queue),
	};

	respond(request, &result);
}

static void on_counts(void *ctx, int error, const struct zr_store_reply *reply)
{
	struct request *request = ctx;
	struct zr_cell_frontend *frontend = request->frontend;
	int64_t term_revision =
		zr_cell_scheduler_holder_revision(frontend->options.scheduler);

	if (error < 0)
		respond_with(request, ZR_CALL_REFUSED, "store_down");
	else if (zr_cell_known_counts_update(&frontend->counts,
					     reply->count ? &reply->values[0]
							  : NULL,
					     term_revision, now_ms(frontend)))
		respond_count(request);
	else
		respond_with(request, ZR_CALL_REFUSED, "counts_outdated");
}

static void read_count(struct request *request)
{
	struct zr_cell_frontend *frontend = request->frontend;

	if (frontend->counts.known &&
	    now_ms(frontend) - frontend->counts.confirmed_at <
		    COUNTS_AGE_MAX_MS) {
		respond_count(request);
		return;
	}
	zr_store_range(frontend->options.store, ZR_STORE_OTHER,
		       ZR_CELL_COUNTS_KEY, false, on_counts, request);
}

/* Calls */

static void on_disconnect(void *ctx)
{
	struct request *request = ctx;

	request->exchange = NULL;
}

static struct request *new_request(struct zr_cell_frontend *frontend,
				   struct zr_http_exchange *exchange,
				   const struct zr_call *call)
{
	struct request *request = calloc(1, sizeof(*request));
	unsigned int wait_ms =
		call->deadline_ms ? call->deadline_ms : DEFAULT_DEADLINE_MS;

	if (!request)
		abort();
	request->frontend = frontend;
	request->exchange = exchange;
	request->kind = call->kind;
	request->started_at = zr_clock_now(frontend->options.clock);
	request->deadline = zr_time_add_ms(
		request->started_at, wait_ms > RESPONSE_RESERVE_MS
					     ? wait_ms - RESPONSE_RESERVE_MS
					     : wait_ms);
	zr_http_set_on_disconnect(exchange, on_disconnect, request);
	return request;
}

/* Check that the caller may use the queue; finish the call if not. */
static bool authorize(struct request *request, const struct zr_call *call,
		      const struct zr_cell_config *config,
		      const struct zr_cell_queue *queue)
{
	const struct zr_cell_client *client =
		zr_cell_config_key(config, call->key);

	if (client)
		snprintf(request->client, sizeof(request->client), "%s",
			 client->name);
	request->open = queue->open;
	if (queue->open || client)
		return true;
	respond_with(request, ZR_CALL_UNAUTHORIZED, "unknown_key");
	return false;
}

static void dispatch(struct request *request, const struct zr_call *call,
		     const struct zr_cell_config *config,
		     const struct zr_cell_queue *queue)
{
	switch (call->kind) {
	case ZR_CALL_SUBMIT:
		submit(request, call, config, queue);
		return;
	case ZR_CALL_STATE:
		query_owner(request);
		return;
	case ZR_CALL_CANCEL:
		read_for_cancel(request);
		return;
	default:
		respond_with(request, ZR_CALL_BAD_REQUEST, "unknown_call");
	}
}

void zr_cell_frontend_handle(void *ctx, struct zr_http_exchange *exchange)
{
	struct zr_cell_frontend *frontend = ctx;
	const struct zr_cell_config_poller *config_poller =
		frontend->options.config_poller;
	const struct zr_cell_config *config =
		zr_cell_config_poller_config(config_poller);
	const struct zr_cell_queue *queue;
	struct request *request;
	struct zr_call call;

	frontend->options.codec->parse_call(&call, exchange);
	request = new_request(frontend, exchange, &call);
	if (!config || zr_cell_config_poller_age_ms(config_poller) >
			       frontend->options.key_age_max_ms) {
		respond_with(request, ZR_CALL_REFUSED, "config_unconfirmed");
		return;
	}
	request->version = config->version;
	if (zr_store_health_suspect_ms(frontend->options.health) >
	    SUSPECT_MAX_MS) {
		respond_with(request, ZR_CALL_REFUSED, "store_suspect");
		return;
	}
	queue = zr_cell_config_route(config, call.host, call.path);
	if (!queue) {
		respond_with(request, ZR_CALL_NO_QUEUE, "no_queue");
		return;
	}
	snprintf(request->queue, sizeof(request->queue), "%s", queue->name);
	if (!authorize(request, &call, config, queue))
		return;
	if (call.kind == ZR_CALL_COUNT) {
		read_count(request);
		return;
	}
	if (frontend->options.codec->parse_job_id(request->job, call.path,
						  queue->prefix) < 0) {
		request->job[0] = '\0';
		respond_with(request, ZR_CALL_BAD_REQUEST, "bad_job_id");
		return;
	}
	dispatch(request, &call, config, queue);
}

int zr_cell_frontend_new(struct zr_cell_frontend **out,
			 const struct zr_cell_frontend_options *options)
{
	static const char *const labels[OUTCOME_COUNTERS] = {
		[COUNT_OK] = "outcome=\"ok\"",
		[COUNT_REFUSED] = "outcome=\"refused\"",
		[COUNT_UNDECIDED] = "outcome=\"undecided\"",
		[COUNT_DENIED] = "outcome=\"denied\"",
	};
	struct zr_cell_frontend *frontend = calloc(1, sizeof(*frontend));
	int i;

	if (!frontend)
		return ZR_E_NOMEM;
	frontend->options = *options;
	for (i = 0; i < OUTCOME_COUNTERS; i++)
		frontend->outcomes[i] = zr_metrics_get_or_add_counter(
			options->metrics, "zinniarack_cell_calls_total",
			labels[i], "Calls of callers");
	frontend->accept_ms = zr_metrics_get_or_add_histogram(
		options->metrics, "zinniarack_cell_accept_ms", NULL,
		"Time until a caller was told that its job was accepted");
	*out = frontend;
	return 0;
}

void zr_cell_frontend_free(struct zr_cell_frontend *frontend)
{
	if (!frontend)
		return;
	zr_cell_known_counts_clear(&frontend->counts);
	free(frontend);
}

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "route/private.h"
#include "route/slot_escrow.h"
#include "zinniarack/errors.h"

#define ATTEMPTS_MAX 3
#define ATTEMPT_ID_MAX (ZR_ROUTE_ID_MAX + 12)
/* Weight of a new sample in the moving averages of the latency. */
#define LATENCY_WEIGHT 0.2
/* Timeout of an attempt that may be repeated, in expected latencies. */
#define ATTEMPT_TIMEOUT_LATENCIES 8
#define ATTEMPT_TIMEOUT_MS_MIN 50
/* Full jitter: a retry's delay is random, up to this doubled per attempt. */
#define RETRY_DELAY_BASE_MS 4
/*
 * A worker counts an attempt's timeout from its arrival, the router from its
 * sending. Slots are held this much longer to cover the transit.
 */
#define TRANSIT_MARGIN_MS 50
#define STATUS_SERVER_ERROR 500

/**
 * struct route_attempt - an attempt to run a request on a worker
 * @prev: previous attempt of the router's @held_attempts
 * @next: next attempt of the router's @held_attempts
 * @router: the router
 * @worker: the worker
 * @service: service of the request
 * @usage: the service's use of slots in the worker's failure domain
 * @call: handle of the request, which may have ended already
 * @id: id of the attempt: the request's id and the attempt's number
 * @sent_at: when it was sent
 * @deadline: when it ends without a response
 * @hold_timer: releases the slot; NULL unless it is one of @held_attempts
 */
struct route_attempt {
	struct route_attempt *prev;
	struct route_attempt *next;
	struct zr_router *router;
	struct route_worker *worker;
	struct route_service *service;
	struct route_domain_usage *usage;
	zr_handle call;
	char id[ATTEMPT_ID_MAX];
	struct timespec sent_at;
	struct timespec deadline;
	struct zr_timer *hold_timer;
};

static struct route_call *find_call(const struct zr_router *router,
				    zr_handle handle)
{
	struct route_call **call = zr_table_get(router->calls, handle);

	return call ? *call : NULL;
}

static void free_call(struct route_call *call)
{
	route_queue_remove(call);
	zr_table_remove(call->router->calls, call->handle);
	call->service->ref_count--;
	zr_timer_free(call->retry_timer);
	free(call->body);
	free(call);
}

static void finish(struct route_call *call,
		   const struct zr_route_response *response)
{
	zr_route_done_fn done = call->done;
	void *ctx = call->ctx;

	free_call(call);
	done(ctx, response);
}

static void finish_error(struct route_call *call, int error)
{
	struct zr_route_response response = {.error = error};

	if (error == ZR_E_OVERLOADED)
		response.retry_after_ms =
			route_queue_retry_after_ms(call->router, call->service);
	if (error == ZR_E_OUTCOME_UNKNOWN)
		call->router->unknown_total->value++;
	else
		call->router->refused_total->value++;
	finish(call, &response);
}

void route_call_refuse(struct route_call *call, int error, const char *reason)
{
	route_report_decision(call->router, "refuse", call->id, call->service,
			      NULL, reason);
	finish_error(call, call->may_have_run ? ZR_E_OUTCOME_UNKNOWN : error);
}

/* End of an attempt */

static void release_slot(struct route_attempt *attempt)
{
	struct route_worker *worker = attempt->worker;
	struct zr_router *router = attempt->router;

	worker->in_use--;
	attempt->usage->in_use--;
	attempt->service->ref_count--;
	router->active_attempts--;
	if (attempt->hold_timer)
		DL_DELETE(router->held_attempts, attempt);
	zr_timer_free(attempt->hold_timer);
	free(attempt);
	if (!router->freeing)
		route_queue_dispatch_worker(router, worker);
}

static void on_hold_expired(void *ctx)
{
	release_slot(ctx);
}

/*
 * Keeps the slot of a failed attempt in use until its deadline, since the
 * worker may process the request until then.
 */
static void hold_slot(struct route_attempt *attempt)
{
	struct zr_router *router = attempt->router;
	int64_t ms = zr_time_diff_ms(attempt->deadline, route_now(router));

	if (router->freeing) {
		release_slot(attempt);
		return;
	}
	attempt->hold_timer =
		zr_timer_new(router->options.timers, on_hold_expired, attempt);
	zr_timer_start(attempt->hold_timer,
		       (unsigned int)(ms > 0 ? ms : 0) + TRANSIT_MARGIN_MS, 0);
	DL_APPEND(router->held_attempts, attempt);
}

void route_attempts_free(struct zr_router *router)
{
	while (router->held_attempts)
		release_slot(router->held_attempts);
}

static bool was_not_sent(int error)
{
	return error == ZR_E_UNREACHABLE || error == ZR_E_FULL ||
	       error == ZR_E_CANCELLED;
}

static double elapsed_ms(const struct route_attempt *attempt)
{
	struct timespec now = route_now(attempt->router);

	return (double)(now.tv_sec - attempt->sent_at.tv_sec) * 1e3 +
	       (double)(now.tv_nsec - attempt->sent_at.tv_nsec) / 1e6;
}

static void update_latency(struct route_attempt *attempt)
{
	struct route_service *service = attempt->service;
	struct route_worker *worker = attempt->worker;
	double ms = elapsed_ms(attempt);
	double difference;

	if (worker->latency_ms <= 0)
		worker->latency_ms = ms;
	worker->latency_ms += LATENCY_WEIGHT * (ms - worker->latency_ms);
	if (service->latency_ms <= 0)
		service->latency_ms = ms;
	difference = ms - service->latency_ms;
	service->latency_ms += LATENCY_WEIGHT * difference;
	service->deviation_ms +=
		LATENCY_WEIGHT * ((difference < 0 ? -difference : difference) -
				  service->deviation_ms);
}

/* Retries */

static void on_retry(void *ctx)
{
	struct route_call *call = ctx;
	struct route_worker *worker;
	const char *reason;

	worker = route_choose_worker(&reason, call);
	/* Use the worker that failed only if there is no other. */
	call->avoid_serial = 0;
	if (!worker)
		worker = route_choose_worker(&reason, call);
	if (worker)
		route_call_start(call, worker, reason);
	else
		route_queue_add(call);
}

/* Returns whether to retry; if so, takes the retry from the budget. */
static bool may_retry(const struct route_call *call, int error)
{
	int64_t remaining_ms =
		zr_time_diff_ms(call->deadline, route_now(call->router));

	if (call->router->freeing || call->attempts >= ATTEMPTS_MAX ||
	    (double)remaining_ms <= route_expected_ms(call->service))
		return false;
	if (!was_not_sent(error) && !call->idempotent)
		return false;
	return route_retry_budget_withdraw(call->router, call);
}

static void schedule_retry(struct route_call *call,
			   const struct route_worker *worker)
{
	struct zr_router *router = call->router;
	double max_delay_ms = RETRY_DELAY_BASE_MS << call->attempts;

	router->retried_total->value++;
	route_report_decision(router, "retry", call->id, call->service, worker,
			      "try_failed");
	call->avoid_serial = worker->serial;
	if (!call->retry_timer)
		call->retry_timer =
			zr_timer_new(router->options.timers, on_retry, call);
	zr_timer_start(call->retry_timer,
		       (unsigned int)(route_random(router) * max_delay_ms), 0);
}

static void handle_failure(struct route_call *call,
			   const struct route_worker *worker, int error)
{
	if (!was_not_sent(error))
		call->may_have_run = true;
	if (may_retry(call, error))
		schedule_retry(call, worker);
	else
		finish_error(call, call->may_have_run ? ZR_E_OUTCOME_UNKNOWN
						      : ZR_E_UNREACHABLE);
}

static void handle_response(struct route_call *call,
			    const struct zr_worker_client_response *response)
{
	const struct zr_route_response out = {
		.status = response->status,
		.body = response->body,
		.length = response->length,
	};

	finish(call, &out);
}

static void on_response(void *ctx, int error,
			const struct zr_worker_client_response *response)
{
	struct route_attempt *attempt = ctx;
	struct zr_router *router = attempt->router;
	struct route_worker *worker = attempt->worker;
	struct route_call *call = find_call(router, attempt->call);
	/* The worker has responded, if with too many bytes: it has finished. */
	bool was_complete = error == ZR_E_TOO_LARGE;

	if (!error && strcmp(response->id, attempt->id))
		error = ZR_E_PROTOCOL;
	if (error == ZR_E_PROTOCOL)
		router->mismatched_total->value++;
	if (error < 0 || response->status >= STATUS_SERVER_ERROR)
		route_health_record_failure(router, worker);
	else
		route_health_record_success(router, worker);
	if (!error)
		update_latency(attempt);
	if (call && error < 0)
		handle_failure(call, worker, error);
	else if (call)
		handle_response(call, response);
	if (!error || was_complete || was_not_sent(error))
		release_slot(attempt);
	else
		hold_slot(attempt);
}

/* Sending */

/*
 * Returns the timeout of an attempt, which leaves time for a second one if the
 * request may be sent again.
 */
static unsigned int attempt_timeout_ms(const struct route_call *call)
{
	int64_t remaining_ms =
		zr_time_diff_ms(call->deadline, route_now(call->router));
	double timeout =
		ATTEMPT_TIMEOUT_LATENCIES * route_expected_ms(call->service);

	if (remaining_ms > ZR_GRANT_REQUEST_MS_MAX)
		remaining_ms = ZR_GRANT_REQUEST_MS_MAX;
	if (remaining_ms < 1)
		remaining_ms = 1;
	if (!call->idempotent || call->attempts >= ATTEMPTS_MAX)
		return (unsigned int)remaining_ms;
	if (timeout < ATTEMPT_TIMEOUT_MS_MIN)
		timeout = ATTEMPT_TIMEOUT_MS_MIN;
	if (!call->service->latency_ms || timeout > (double)remaining_ms / 2)
		timeout = (double)remaining_ms / 2;
	/* If the time is too short for two attempts, use all of it. */
	if (timeout < 2 * route_expected_ms(call->service))
		return (unsigned int)remaining_ms;
	return (unsigned int)(timeout < 1 ? 1 : timeout);
}

static struct route_attempt *new_attempt(struct route_call *call,
					 struct route_worker *worker,
					 unsigned int timeout_ms)
{
	struct zr_router *router = call->router;
	struct route_attempt *attempt = calloc(1, sizeof(*attempt));

	if (!attempt)
		abort();
	attempt->router = router;
	attempt->worker = worker;
	attempt->service = call->service;
	attempt->usage = route_usage_get_or_add(call->service, worker->domain);
	attempt->call = call->handle;
	snprintf(attempt->id, sizeof(attempt->id), "%s.%u", call->id,
		 call->attempts);
	attempt->sent_at = route_now(router);
	attempt->deadline = zr_time_add_ms(attempt->sent_at, timeout_ms);
	worker->in_use++;
	if (++attempt->usage->in_use > attempt->usage->peak_in_use)
		attempt->usage->peak_in_use = attempt->usage->in_use;
	call->service->ref_count++;
	router->active_attempts++;
	router->sent_total->value++;
	return attempt;
}

void route_call_start(struct route_call *call, struct route_worker *worker,
		      const char *reason)
{
	unsigned int timeout_ms;
	struct zr_worker_client_call out;
	struct route_attempt *attempt;

	call->attempts++;
	timeout_ms = attempt_timeout_ms(call);
	route_report_decision(call->router, "route", call->id, call->service,
			      worker, reason);
	if (worker->health == ROUTE_EJECTED)
		worker->health = ROUTE_ON_TRIAL;
	attempt = new_attempt(call, worker, timeout_ms);
	out = (struct zr_worker_client_call){
		.service = call->service->name,
		.id = attempt->id,
		.body = call->body,
		.length = call->length,
		.timeout_ms = timeout_ms,
	};
	worker->client.ops->call(worker->client.impl, &out, on_response,
				 attempt);
}

static struct route_call *new_call(struct zr_router *router,
				   struct route_service *service,
				   const struct zr_route_request *request)
{
	struct route_call *call = calloc(1, sizeof(*call));

	if (!call)
		abort();
	call->router = router;
	call->service = service;
	snprintf(call->id, sizeof(call->id), "%s", request->id);
	snprintf(call->team_name, sizeof(call->team_name), "%s",
		 request->team ? request->team : "");
	call->share = request->share;
	call->worth = request->worth;
	call->length = request->length;
	call->body = malloc(request->length + 1);
	if (!call->body)
		abort();
	if (request->length)
		memcpy(call->body, request->body, request->length);
	call->deadline = zr_time_add_ms(route_now(router), request->timeout_ms);
	call->idempotent = request->idempotent;
	service->ref_count++;
	return call;
}

static zr_handle refuse_without_service(struct zr_router *router,
					const struct zr_route_request *request,
					zr_route_done_fn done, void *ctx)
{
	struct zr_route_response response = {.error = ZR_E_UNREACHABLE};
	struct zr_route_decision decision = {
		.action = "refuse",
		.request = request->id,
		.service = request->service,
		.worker = "",
		.reason = "no_grants",
	};

	if (router->workers) {
		response.error = ZR_E_NOT_FOUND;
		decision.reason = "no_replica";
	}
	router->refused_total->value++;
	router->options.on_decision(router->options.on_decision_ctx, &decision);
	done(ctx, &response);
	return ZR_HANDLE_NONE;
}

zr_handle zr_router_send(struct zr_router *router,
			 const struct zr_route_request *request,
			 zr_route_done_fn done, void *ctx)
{
	struct route_service *service =
		route_service_find(router, request->service);
	struct route_worker *worker = NULL;
	struct route_call *call;
	struct route_call **table_entry;
	const char *reason;
	zr_handle handle;

	if (!service || router->freeing)
		return refuse_without_service(router, request, done, ctx);
	call = new_call(router, service, request);
	call->done = done;
	call->ctx = ctx;
	if (zr_table_add(&handle, router->calls) < 0)
		abort();
	table_entry = zr_table_get(router->calls, handle);
	*table_entry = call;
	call->handle = handle;
	route_retry_budget_deposit(router, call);
	if (!service->waiting_calls)
		worker = route_choose_worker(&reason, call);
	if (worker)
		route_call_start(call, worker, reason);
	else
		route_queue_add(call);
	return find_call(router, handle) ? handle : ZR_HANDLE_NONE;
}

void zr_router_cancel(struct zr_router *router, zr_handle request)
{
	struct route_call *call = find_call(router, request);

	if (call)
		free_call(call);
}

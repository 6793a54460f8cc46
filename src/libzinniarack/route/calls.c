#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "route/private.h"
#include "route/slot_escrow.h"
#include "zinniarack/errors.h"

#define TRIES_MAX 3
#define TRY_ID_MAX (ZR_ROUTE_ID_MAX + 12)
#define LATENCY_WEIGHT 0.2
/* A try that may be repeated gets so many times the expected latency. */
#define TRY_LATENCIES 8
#define TRY_TIMEOUT_MS_MIN 50
/* Full jitter: a retry waits a random part of this, doubled each time. */
#define RETRY_DELAY_MS 4
/* A worker's deadline runs from the arrival of a try, ours from its sending. */
#define TRANSIT_MS 50
#define STATUS_FAILED 500

struct route_try {
	struct route_try *prev;
	struct route_try *next;
	struct zr_router *router;
	struct route_worker *worker;
	struct route_service *service;
	struct route_use *use;
	zr_handle call;
	char id[TRY_ID_MAX];
	struct timespec sent;
	struct timespec deadline;
	struct zr_timer *hold;
};

static struct route_call *find_call(const struct zr_router *router,
				    zr_handle handle)
{
	struct route_call **row = zr_table_get(router->calls, handle);

	return row ? *row : NULL;
}

static void free_call(struct route_call *call)
{
	route_queue_remove(call);
	zr_table_remove(call->router->calls, call->handle);
	call->service->calls--;
	zr_timer_free(call->retry);
	free(call->body);
	free(call);
}

static void finish(struct route_call *call,
		   const struct zr_route_response *answer)
{
	zr_route_done_fn done = call->done;
	void *ctx = call->ctx;

	free_call(call);
	done(ctx, answer);
}

static void finish_error(struct route_call *call, int error)
{
	struct zr_route_response answer = {.error = error};

	if (error == ZR_E_OVERLOADED)
		answer.retry_after_ms =
			route_queue_retry_after(call->router, call->service);
	if (error == ZR_E_OUTCOME_UNKNOWN)
		call->router->unknown->value++;
	else
		call->router->refused->value++;
	finish(call, &answer);
}

void route_call_refuse(struct route_call *call, int error, const char *reason)
{
	route_decided(call->router, "refuse", call->id, call->service, NULL,
		      reason);
	finish_error(call, call->may_have_run ? ZR_E_OUTCOME_UNKNOWN : error);
}

/* The end of a try */

static void release_slot(struct route_try *try)
{
	struct route_worker *worker = try->worker;
	struct zr_router *router = try->router;

	worker->in_use--;
	try->use->in_use--;
	try->service->calls--;
	router->busy--;
	if (try->hold)
		DL_DELETE(router->held, try);
	zr_timer_free(try->hold);
	free(try);
	if (!router->freeing)
		route_queue_pump_worker(router, worker);
}

static void on_held(void *ctx)
{
	release_slot(ctx);
}

/* The worker may be at work until the deadline it was told. */
static void hold_slot(struct route_try *try)
{
	struct zr_router *router = try->router;
	int64_t ms = zr_time_diff_ms(try->deadline, route_now(router));

	if (router->freeing) {
		release_slot(try);
		return;
	}
	try->hold = zr_timer_new(router->options.timers, on_held, try);
	zr_timer_start(try->hold, (unsigned int)(ms > 0 ? ms : 0) + TRANSIT_MS,
		       0);
	DL_APPEND(router->held, try);
}

void route_tries_free(struct zr_router *router)
{
	while (router->held)
		release_slot(router->held);
}

static bool never_sent(int error)
{
	return error == ZR_E_UNREACHABLE || error == ZR_E_FULL ||
	       error == ZR_E_CANCELLED;
}

static double elapsed_ms(const struct route_try *try)
{
	struct timespec now = route_now(try->router);

	return (double)(now.tv_sec - try->sent.tv_sec) * 1e3 +
	       (double)(now.tv_nsec - try->sent.tv_nsec) / 1e6;
}

static void learn_latency(struct route_try *try)
{
	struct route_service *service = try->service;
	struct route_worker *worker = try->worker;
	double ms = elapsed_ms(try);
	double off;

	if (worker->latency_ms <= 0)
		worker->latency_ms = ms;
	worker->latency_ms += LATENCY_WEIGHT * (ms - worker->latency_ms);
	if (service->latency_ms <= 0)
		service->latency_ms = ms;
	off = ms - service->latency_ms;
	service->latency_ms += LATENCY_WEIGHT * off;
	service->deviation_ms += LATENCY_WEIGHT * ((off < 0 ? -off : off) -
						   service->deviation_ms);
}

/* Retries */

static void on_retry(void *ctx)
{
	struct route_call *call = ctx;
	struct route_worker *worker;
	const char *reason;

	worker = route_choose(&reason, call);
	/* A worker that failed is better than none. */
	call->avoid = 0;
	if (!worker)
		worker = route_choose(&reason, call);
	if (worker)
		route_call_start(call, worker, reason);
	else
		route_queue_add(call);
}

static bool may_retry(const struct route_call *call, int error)
{
	int64_t left = zr_time_diff_ms(call->deadline, route_now(call->router));

	if (call->router->freeing || call->tries >= TRIES_MAX ||
	    (double)left <= route_expected_ms(call->service))
		return false;
	if (!never_sent(error) && !call->idempotent)
		return false;
	return route_budget_spend(call->router, call);
}

static void retry(struct route_call *call, const struct route_worker *worker)
{
	struct zr_router *router = call->router;
	double most = RETRY_DELAY_MS << call->tries;

	router->retried->value++;
	route_decided(router, "retry", call->id, call->service, worker,
		      "try_failed");
	call->avoid = worker->serial;
	if (!call->retry)
		call->retry =
			zr_timer_new(router->options.timers, on_retry, call);
	zr_timer_start(call->retry, (unsigned int)(route_random(router) * most),
		       0);
}

static void end_failed(struct route_call *call,
		       const struct route_worker *worker, int error)
{
	if (!never_sent(error))
		call->may_have_run = true;
	if (may_retry(call, error))
		retry(call, worker);
	else
		finish_error(call, call->may_have_run ? ZR_E_OUTCOME_UNKNOWN
						      : ZR_E_UNREACHABLE);
}

static void end_answered(struct route_call *call,
			 const struct zr_worker_client_response *answer)
{
	const struct zr_route_response out = {
		.status = answer->status,
		.body = answer->body,
		.length = answer->length,
	};

	finish(call, &out);
}

static void on_answer(void *ctx, int error,
		      const struct zr_worker_client_response *answer)
{
	struct route_try *try = ctx;
	struct zr_router *router = try->router;
	struct route_worker *worker = try->worker;
	struct route_call *call = find_call(router, try->call);
	bool whole = error == ZR_E_TOO_LARGE;

	if (!error && strcmp(answer->id, try->id))
		error = ZR_E_PROTOCOL;
	if (error == ZR_E_PROTOCOL)
		router->mismatched->value++;
	if (error < 0 || answer->status >= STATUS_FAILED)
		route_failed(router, worker);
	else
		route_succeeded(router, worker);
	if (!error)
		learn_latency(try);
	if (call && error < 0)
		end_failed(call, worker, error);
	else if (call)
		end_answered(call, answer);
	if (!error || whole || never_sent(error))
		release_slot(try);
	else
		hold_slot(try);
}

/* Sending */

static unsigned int try_timeout(const struct route_call *call)
{
	int64_t left = zr_time_diff_ms(call->deadline, route_now(call->router));
	double timeout = TRY_LATENCIES * route_expected_ms(call->service);

	if (left > ZR_GRANT_REQUEST_MS_MAX)
		left = ZR_GRANT_REQUEST_MS_MAX;
	if (left < 1)
		left = 1;
	if (!call->idempotent || call->tries >= TRIES_MAX)
		return (unsigned int)left;
	if (timeout < TRY_TIMEOUT_MS_MIN)
		timeout = TRY_TIMEOUT_MS_MIN;
	if (!call->service->latency_ms || timeout > (double)left / 2)
		timeout = (double)left / 2;
	/* Too little is left for two tries. */
	if (timeout < 2 * route_expected_ms(call->service))
		return (unsigned int)left;
	return (unsigned int)(timeout < 1 ? 1 : timeout);
}

static struct route_try *new_try(struct route_call *call,
				 struct route_worker *worker,
				 unsigned int timeout_ms)
{
	struct zr_router *router = call->router;
	struct route_try *try = calloc(1, sizeof(*try));

	if (!try)
		abort();
	try->router = router;
	try->worker = worker;
	try->service = call->service;
	try->use = route_use_of(call->service, worker->domain);
	try->call = call->handle;
	snprintf(try->id, sizeof(try->id), "%s.%u", call->id, call->tries);
	try->sent = route_now(router);
	try->deadline = zr_time_add_ms(try->sent, timeout_ms);
	worker->in_use++;
	if (++try->use->in_use > try->use->peak)
		try->use->peak = try->use->in_use;
	call->service->calls++;
	router->busy++;
	router->routed->value++;
	return try;
}

void route_call_start(struct route_call *call, struct route_worker *worker,
		      const char *reason)
{
	unsigned int timeout_ms;
	struct zr_worker_client_call out;
	struct route_try *try;

	call->tries++;
	timeout_ms = try_timeout(call);
	route_decided(call->router, "route", call->id, call->service, worker,
		      reason);
	if (worker->health == ROUTE_EJECTED)
		worker->health = ROUTE_ON_TRIAL;
	try = new_try(call, worker, timeout_ms);
	out = (struct zr_worker_client_call){
		.service = call->service->name,
		.id = try->id,
		.body = call->body,
		.length = call->length,
		.timeout_ms = timeout_ms,
	};
	worker->peer.ops->call(worker->peer.impl, &out, on_answer, try);
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
	service->calls++;
	return call;
}

static zr_handle refuse_unknown(struct zr_router *router,
				const struct zr_route_request *request,
				zr_route_done_fn done, void *ctx)
{
	struct zr_route_response answer = {.error = ZR_E_UNREACHABLE};
	struct zr_route_decision decision = {
		.action = "refuse",
		.request = request->id,
		.service = request->service,
		.worker = "",
		.reason = "no_grants",
	};

	if (router->workers) {
		answer.error = ZR_E_NOT_FOUND;
		decision.reason = "no_replica";
	}
	router->refused->value++;
	router->options.on_decision(router->options.on_decision_ctx, &decision);
	done(ctx, &answer);
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
	struct route_call **row;
	const char *reason;
	zr_handle handle;

	if (!service || router->freeing)
		return refuse_unknown(router, request, done, ctx);
	call = new_call(router, service, request);
	call->done = done;
	call->ctx = ctx;
	if (zr_table_add(&handle, router->calls) < 0)
		abort();
	row = zr_table_get(router->calls, handle);
	*row = call;
	call->handle = handle;
	route_budget_earn(router, call);
	if (!service->waiting)
		worker = route_choose(&reason, call);
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

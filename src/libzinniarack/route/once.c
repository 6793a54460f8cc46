#include "route/once.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "zinniarack/errors.h"

struct zr_once_call {
	struct zr_router *router;
	const struct zr_once_backend *backend;
	const struct zr_clock *clock;
	struct zr_route_request request;
	struct zr_once_key key;
	struct timespec deadline;
	zr_route_done_fn done;
	void *ctx;
};

static char *copy_string(const char *text)
{
	char *copy = strdup(text ? text : "");

	if (!copy)
		abort();
	return copy;
}

static uint64_t digest_request(const struct zr_route_request *request)
{
	XXH64_hash_t service =
		XXH64(request->service, strlen(request->service), 0);

	return XXH64(request->body, request->length, service);
}

static struct zr_once_call *new_call(const struct zr_route_request *request,
				     const char *key)
{
	struct zr_once_call *call = calloc(1, sizeof(*call));
	char *body = malloc(request->length + 1);

	if (!call || !body)
		abort();
	if (request->length)
		memcpy(body, request->body, request->length);
	call->request = *request;
	call->request.service = copy_string(request->service);
	call->request.id = copy_string(request->id);
	call->request.team = copy_string(request->team);
	call->request.body = body;
	call->request.idempotent = false;
	call->key.team = call->request.team;
	call->key.key = copy_string(key);
	call->key.digest = digest_request(request);
	call->key.request_id = call->request.id;
	return call;
}

static void free_call(struct zr_once_call *call)
{
	free((char *)call->request.service);
	free((char *)call->request.id);
	free((char *)call->request.team);
	free((void *)call->request.body);
	free((char *)call->key.key);
	free(call);
}

static void finish(struct zr_once_call *call,
		   const struct zr_route_response *response)
{
	call->done(call->ctx, response);
	free_call(call);
}

static void finish_error(struct zr_once_call *call, int error)
{
	const struct zr_route_response response = {.error = error};

	finish(call, &response);
}

static void on_response(void *ctx, const struct zr_route_response *response)
{
	struct zr_once_call *call = ctx;
	const struct zr_once_backend *backend = call->backend;
	const struct zr_once_response stored = {
		.status = response->status,
		.body = response->body,
		.length = response->length,
	};

	if (!response->error)
		backend->ops->record_response(backend->impl, &call->key,
					      &stored);
	else if (response->error != ZR_E_OUTCOME_UNKNOWN)
		/* The request did not run, so a repeated one may. */
		backend->ops->delete_intent(backend->impl, &call->key);
	finish(call, response);
}

/* Routes the request with the rest of its timeout. */
static void send_request(struct zr_once_call *call)
{
	int64_t remaining_ms =
		zr_time_diff_ms(call->deadline, zr_clock_now(call->clock));

	if (remaining_ms <= 0) {
		call->backend->ops->delete_intent(call->backend->impl,
						  &call->key);
		finish_error(call, ZR_E_UNREACHABLE);
		return;
	}
	call->request.timeout_ms = (unsigned int)remaining_ms;
	zr_router_send(call->router, &call->request, on_response, call);
}

static void finish_with_stored(struct zr_once_call *call,
			       const struct zr_once_response *stored)
{
	const struct zr_route_response response = {
		.status = stored->status,
		.body = stored->body,
		.length = stored->length,
	};

	finish(call, &response);
}

static void on_intent(void *ctx, int error, enum zr_once_state state,
		      int64_t version, const struct zr_once_response *response)
{
	struct zr_once_call *call = ctx;

	call->key.version = version;
	if (error == ZR_E_OUTCOME_UNKNOWN) {
		/* The intent may be stored, but the request isn't run. */
		call->backend->ops->delete_intent(call->backend->impl,
						  &call->key);
		error = ZR_E_UNREACHABLE;
	}
	if (error < 0)
		finish_error(call, error);
	else if (state == ZR_ONCE_NEW)
		send_request(call);
	else if (state == ZR_ONCE_ANSWERED)
		finish_with_stored(call, response);
	else
		finish_error(call, ZR_E_OUTCOME_UNKNOWN);
}

void zr_once_send(struct zr_router *router,
		  const struct zr_once_backend *backend,
		  const struct zr_clock *clock,
		  const struct zr_route_request *request, const char *key,
		  zr_route_done_fn done, void *ctx)
{
	struct zr_once_call *call = new_call(request, key);

	call->router = router;
	call->backend = backend;
	call->clock = clock;
	call->deadline =
		zr_time_add_ms(zr_clock_now(clock), request->timeout_ms);
	call->done = done;
	call->ctx = ctx;
	backend->ops->record_intent(backend->impl, &call->key,
				    request->timeout_ms, on_intent, call);
}

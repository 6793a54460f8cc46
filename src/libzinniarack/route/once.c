#include "route/once.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "zinniarack/errors.h"

struct zr_once_call {
	struct zr_router *router;
	const struct zr_once_backend *once;
	const struct zr_clock *clock;
	struct zr_route_request request;
	struct zr_once_key key;
	struct timespec deadline;
	zr_route_done_fn done;
	void *ctx;
};

static char *copy_text(const char *text)
{
	char *copy = strdup(text ? text : "");

	if (!copy)
		abort();
	return copy;
}

static uint64_t digest_of(const struct zr_route_request *request)
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
	call->request.service = copy_text(request->service);
	call->request.id = copy_text(request->id);
	call->request.team = copy_text(request->team);
	call->request.body = body;
	call->request.idempotent = false;
	call->key.team = call->request.team;
	call->key.key = copy_text(key);
	call->key.digest = digest_of(request);
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
		   const struct zr_route_response *answer)
{
	call->done(call->ctx, answer);
	free_call(call);
}

static void finish_error(struct zr_once_call *call, int error)
{
	const struct zr_route_response answer = {.error = error};

	finish(call, &answer);
}

static void on_routed(void *ctx, const struct zr_route_response *answer)
{
	struct zr_once_call *call = ctx;
	const struct zr_once_backend *once = call->once;
	const struct zr_once_response kept = {
		.status = answer->status,
		.body = answer->body,
		.length = answer->length,
	};

	if (!answer->error)
		once->ops->record_response(once->impl, &call->key, &kept);
	else if (answer->error != ZR_E_OUTCOME_UNKNOWN)
		once->ops->delete_intent(once->impl, &call->key);
	finish(call, answer);
}

static void run(struct zr_once_call *call)
{
	int64_t left =
		zr_time_diff_ms(call->deadline, zr_clock_now(call->clock));

	if (left <= 0) {
		call->once->ops->delete_intent(call->once->impl, &call->key);
		finish_error(call, ZR_E_UNREACHABLE);
		return;
	}
	call->request.timeout_ms = (unsigned int)left;
	zr_router_send(call->router, &call->request, on_routed, call);
}

static void reply_kept(struct zr_once_call *call,
		       const struct zr_once_response *kept)
{
	const struct zr_route_response answer = {
		.status = kept->status,
		.body = kept->body,
		.length = kept->length,
	};

	finish(call, &answer);
}

static void on_begun(void *ctx, int error, enum zr_once_state state,
		     int64_t version, const struct zr_once_response *answer)
{
	struct zr_once_call *call = ctx;

	call->key.version = version;
	if (error == ZR_E_OUTCOME_UNKNOWN) {
		/* The intent may be kept, but this request does not run. */
		call->once->ops->delete_intent(call->once->impl, &call->key);
		error = ZR_E_UNREACHABLE;
	}
	if (error < 0)
		finish_error(call, error);
	else if (state == ZR_ONCE_NEW)
		run(call);
	else if (state == ZR_ONCE_ANSWERED)
		reply_kept(call, answer);
	else
		finish_error(call, ZR_E_OUTCOME_UNKNOWN);
}

void zr_once_send(struct zr_router *router, const struct zr_once_backend *once,
		  const struct zr_clock *clock,
		  const struct zr_route_request *request, const char *key,
		  zr_route_done_fn done, void *ctx)
{
	struct zr_once_call *call = new_call(request, key);

	call->router = router;
	call->once = once;
	call->clock = clock;
	call->deadline =
		zr_time_add_ms(zr_clock_now(clock), request->timeout_ms);
	call->done = done;
	call->ctx = ctx;
	once->ops->record_intent(once->impl, &call->key, request->timeout_ms,
				 on_begun, call);
}

#include <stdio.h>
#include <stdlib.h>

#include "net/http_client.h"
#include "route/worker_client.h"
#include "zinniarack/errors.h"
#include "zinniarack/job.h"

#define PATH_MAX_BYTES (ZR_NAME_MAX + 16)
#define NUMBER_MAX 16
/* A connection unused for longer may have gone silent: do not reuse it. */
#define IDLE_TIMEOUT_MS 5000
#define ANSWER_BYTES_MAX (4u << 20)

struct
try {
	zr_peer_done_fn done;
	void *ctx;
};

static void on_answer(void *ctx, int error, const struct zr_http_answer *answer)
{
	struct try *try = ctx;
	struct zr_peer_answer out;

	if (!error) {
		out.id = answer->request_id;
		out.status = answer->status;
		out.body = answer->body;
		out.length = answer->body_length;
	}
	try->done(try->ctx, error, error < 0 ? NULL : &out);
	free(try);
}

static void call_peer(void *impl, const struct zr_peer_call *call,
		      zr_peer_done_fn done, void *ctx)
{
	struct try *try = calloc(1, sizeof(*try));
	char path[PATH_MAX_BYTES];
	char deadline[NUMBER_MAX];
	const struct zr_http_header_field headers[] = {
		{"X-Request-Id", call->id},
		{"X-Deadline-Ms", deadline},
	};
	const struct zr_http_call http = {
		.method = "POST",
		.path = path,
		.content_type = "application/octet-stream",
		.headers = headers,
		.header_count = sizeof(headers) / sizeof(headers[0]),
		.request_id = call->id,
		.body = call->body,
		.body_length = call->length,
		.timeout_ms = call->timeout_ms,
		/* The router retries; a client below it must not. */
		.idempotent = false,
	};

	if (!try)
		abort();
	try->done = done;
	try->ctx = ctx;
	snprintf(path, sizeof(path), "/v1/serve/%s", call->service);
	snprintf(deadline, sizeof(deadline), "%u", call->timeout_ms);
	zr_http_client_call(impl, &http, on_answer, try);
}

static void limit_peer(void *impl, unsigned int connections)
{
	zr_http_client_limit(impl, connections);
}

static void free_peer(void *impl)
{
	zr_http_client_free(impl);
}

int zr_http_peer_new(struct zr_peer *out, void *loop, const char *address)
{
	static const struct zr_peer_ops ops = {
		.call = call_peer,
		.limit = limit_peer,
		.free = free_peer,
	};
	struct zr_http_client_options options = ZR_HTTP_CLIENT_OPTIONS_INIT;
	struct zr_http_client *client;
	int error;

	options.idle_timeout_ms = IDLE_TIMEOUT_MS;
	options.max_answer_bytes = ANSWER_BYTES_MAX;
	error = zr_http_client_new(&client, loop, address, &options);
	if (error < 0)
		return error;
	out->ops = &ops;
	out->impl = client;
	return 0;
}

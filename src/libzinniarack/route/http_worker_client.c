#include <stdio.h>
#include <stdlib.h>

#include "net/http_client.h"
#include "route/worker_client.h"
#include "zinniarack/errors.h"
#include "zinniarack/job.h"

#define PATH_LENGTH_MAX (ZR_NAME_MAX + 16)
#define TIMEOUT_LENGTH_MAX 16
/*
 * A connection that was idle for longer isn't reused, since it may have been
 * dropped without notice.
 */
#define IDLE_TIMEOUT_MS 5000
#define RESPONSE_BYTES_MAX (4u << 20)

struct pending_call {
	zr_worker_client_done_fn done;
	void *ctx;
};

static void on_response(void *ctx, int error,
			const struct zr_http_response *http_response)
{
	struct pending_call *pending = ctx;
	struct zr_worker_client_response response;

	if (!error) {
		response.id = http_response->request_id;
		response.status = http_response->status;
		response.body = http_response->body;
		response.length = http_response->body_length;
	}
	pending->done(pending->ctx, error, error < 0 ? NULL : &response);
	free(pending);
}

static void call_worker(void *impl, const struct zr_worker_client_call *call,
			zr_worker_client_done_fn done, void *ctx)
{
	struct pending_call *pending = calloc(1, sizeof(*pending));
	char path[PATH_LENGTH_MAX];
	char timeout_ms[TIMEOUT_LENGTH_MAX];
	const struct zr_http_header_field headers[] = {
		{"X-Request-Id", call->id},
		{"X-Deadline-Ms", timeout_ms},
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
		/* The router retries; the HTTP client must not. */
		.idempotent = false,
	};

	if (!pending)
		abort();
	pending->done = done;
	pending->ctx = ctx;
	snprintf(path, sizeof(path), "/v1/serve/%s", call->service);
	snprintf(timeout_ms, sizeof(timeout_ms), "%u", call->timeout_ms);
	zr_http_client_call(impl, &http, on_response, pending);
}

static void limit_connections(void *impl, unsigned int connections)
{
	zr_http_client_set_max_connections(impl, connections);
}

static void free_client(void *impl)
{
	zr_http_client_free(impl);
}

int zr_http_worker_client_new(struct zr_worker_client *out, void *loop,
			      const char *address)
{
	static const struct zr_worker_client_ops ops = {
		.call = call_worker,
		.limit = limit_connections,
		.free = free_client,
	};
	struct zr_http_client_options options = ZR_HTTP_CLIENT_OPTIONS_INIT;
	struct zr_http_client *client;
	int error;

	options.idle_timeout_ms = IDLE_TIMEOUT_MS;
	options.max_response_bytes = RESPONSE_BYTES_MAX;
	error = zr_http_client_new(&client, loop, address, &options);
	if (error < 0)
		return error;
	out->ops = &ops;
	out->impl = client;
	return 0;
}

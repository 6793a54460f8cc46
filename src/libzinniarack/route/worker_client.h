#ifndef ZR_ROUTE_WORKER_CLIENT_H
#define ZR_ROUTE_WORKER_CLIENT_H

#include <stddef.h>

/**
 * DOC: Client of one worker
 *
 * The router sends attempts through this interface. The entry daemon uses the
 * HTTP implementation; tests use one whose responses are scripted.
 */

/**
 * struct zr_worker_client_call - one attempt of a short request
 * @service: name of the service
 * @id: id of this attempt; the worker returns it with its response
 * @body: body to send; copied
 * @length: bytes of @body
 * @timeout_ms: time from now until the attempt ends; also sent to the worker
 */
struct zr_worker_client_call {
	const char *service;
	const char *id;
	const void *body;
	size_t length;
	unsigned int timeout_ms;
};

/**
 * struct zr_worker_client_response - a complete response
 * @id: id of the attempt that it belongs to
 * @status: HTTP status
 * @body: body of the response
 * @length: bytes of @body
 */
struct zr_worker_client_response {
	const char *id;
	int status;
	const void *body;
	size_t length;
};

/**
 * typedef zr_worker_client_done_fn - called exactly once when an attempt ends
 * @ctx: as passed with the call
 * @error: 0; ZR_E_UNREACHABLE, ZR_E_FULL or ZR_E_CANCELLED: no byte was sent;
 *	ZR_E_OUTCOME_UNKNOWN: bytes may have been sent and no response came;
 *	ZR_E_PROTOCOL or ZR_E_TOO_LARGE: the response was invalid or too large
 * @response: NULL on an error, else valid during the call
 */
typedef void (*zr_worker_client_done_fn)(
	void *ctx, int error, const struct zr_worker_client_response *response);

/**
 * struct zr_worker_client_ops - operations of an implementation
 * @call: send an attempt; @done is not called before it returns
 * @limit: set the maximum number of open connections
 * @free: cancel open calls and free the client
 */
struct zr_worker_client_ops {
	void (*call)(void *impl, const struct zr_worker_client_call *call,
		     zr_worker_client_done_fn done, void *ctx);
	void (*limit)(void *impl, unsigned int connections);
	void (*free)(void *impl);
};

/**
 * struct zr_worker_client - client of one worker
 * @ops: operations of the implementation
 * @impl: passed to each operation
 */
struct zr_worker_client {
	const struct zr_worker_client_ops *ops;
	void *impl;
};

/** Creates the client for an address; returns 0 or a negative error number. */
typedef int (*zr_worker_client_new_fn)(struct zr_worker_client *out, void *ctx,
				       const char *address);

/** zr_http_worker_client_new() - create an HTTP client; @loop is a uv_loop_t */
int zr_http_worker_client_new(struct zr_worker_client *out, void *loop,
			      const char *address);

#endif

#ifndef ZR_ROUTE_WORKER_CLIENT_H
#define ZR_ROUTE_WORKER_CLIENT_H

#include <stddef.h>

/**
 * DOC: Peers of the router
 *
 * How the router reaches one worker. The daemon hands in HTTP, tests hand in
 * peers that a script answers for.
 */

/**
 * struct zr_worker_client_call - one try of a short request
 * @service: the service it is for
 * @id: id of this try, echoed by the worker
 * @body: what to send, copied
 * @length: bytes of @body
 * @timeout_ms: from now until the try is given up; passed on to the worker
 */
struct zr_worker_client_call {
	const char *service;
	const char *id;
	const void *body;
	size_t length;
	unsigned int timeout_ms;
};

/**
 * struct zr_worker_client_response - a whole answer
 * @id: id of the try that it answers
 * @status: HTTP status
 * @body: the body
 * @length: bytes of @body
 */
struct zr_worker_client_response {
	const char *id;
	int status;
	const void *body;
	size_t length;
};

/**
 * typedef zr_worker_client_done_fn - the end of a try, called exactly once
 * @ctx: as given with the call
 * @error: 0; ZR_E_UNREACHABLE, ZR_E_FULL or ZR_E_CANCELLED: no byte left;
 *	ZR_E_OUTCOME_UNKNOWN: bytes may have left and no answer came;
 *	ZR_E_PROTOCOL or ZR_E_TOO_LARGE: an answer came that cannot be used
 * @answer: NULL on an error, else valid during the call
 */
typedef void (*zr_worker_client_done_fn)(
	void *ctx, int error, const struct zr_worker_client_response *answer);

/**
 * struct zr_worker_client_ops - what an implementation offers
 * @call: send a try; @done is not called before it returns
 * @limit: keep at most so many connections open
 * @free: end open calls and free
 */
struct zr_worker_client_ops {
	void (*call)(void *impl, const struct zr_worker_client_call *call,
		     zr_worker_client_done_fn done, void *ctx);
	void (*limit)(void *impl, unsigned int connections);
	void (*free)(void *impl);
};

/**
 * struct zr_worker_client - a worker as the router reaches it
 * @ops: the implementation
 * @impl: passed to each operation
 */
struct zr_worker_client {
	const struct zr_worker_client_ops *ops;
	void *impl;
};

/** Makes the peer for an address; returns 0 or a negative error number. */
typedef int (*zr_worker_client_new_fn)(struct zr_worker_client *out, void *ctx,
				       const char *address);

/** zr_http_worker_client_new() - reach a worker over HTTP; @loop is a uv_loop_t
 */
int zr_http_worker_client_new(struct zr_worker_client *out, void *loop,
			      const char *address);

#endif

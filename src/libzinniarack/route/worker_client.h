#ifndef ZR_ROUTE_PEER_H
#define ZR_ROUTE_PEER_H

#include <stddef.h>

/**
 * DOC: Peers of the router
 *
 * How the router reaches one worker. The daemon hands in HTTP, tests hand in
 * peers that a script answers for.
 */

/**
 * struct zr_peer_call - one try of a short request
 * @service: the service it is for
 * @id: id of this try, echoed by the worker
 * @body: what to send, copied
 * @length: bytes of @body
 * @timeout_ms: from now until the try is given up; passed on to the worker
 */
struct zr_peer_call {
	const char *service;
	const char *id;
	const void *body;
	size_t length;
	unsigned int timeout_ms;
};

/**
 * struct zr_peer_answer - a whole answer
 * @id: id of the try that it answers
 * @status: HTTP status
 * @body: the body
 * @length: bytes of @body
 */
struct zr_peer_answer {
	const char *id;
	int status;
	const void *body;
	size_t length;
};

/**
 * typedef zr_peer_done_fn - the end of a try, called exactly once
 * @ctx: as given with the call
 * @error: 0; ZR_E_UNREACHABLE, ZR_E_FULL or ZR_E_CANCELLED: no byte left;
 *	ZR_E_OUTCOME_UNKNOWN: bytes may have left and no answer came;
 *	ZR_E_PROTOCOL or ZR_E_TOO_LARGE: an answer came that cannot be used
 * @answer: NULL on an error, else valid during the call
 */
typedef void (*zr_peer_done_fn)(void *ctx, int error,
				const struct zr_peer_answer *answer);

/**
 * struct zr_peer_ops - what an implementation offers
 * @call: send a try; @done is not called before it returns
 * @limit: keep at most so many connections open
 * @free: end open calls and free
 */
struct zr_peer_ops {
	void (*call)(void *impl, const struct zr_peer_call *call,
		     zr_peer_done_fn done, void *ctx);
	void (*limit)(void *impl, unsigned int connections);
	void (*free)(void *impl);
};

/**
 * struct zr_peer - a worker as the router reaches it
 * @ops: the implementation
 * @impl: passed to each operation
 */
struct zr_peer {
	const struct zr_peer_ops *ops;
	void *impl;
};

/** Makes the peer for an address; returns 0 or a negative error number. */
typedef int (*zr_peer_new_fn)(struct zr_peer *out, void *ctx,
			      const char *address);

/** zr_http_peer_new() - reach a worker over HTTP; @loop is a uv_loop_t */
int zr_http_peer_new(struct zr_peer *out, void *loop, const char *address);

#endif

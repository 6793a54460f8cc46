#ifndef ZR_ROUTE_ONCE_H
#define ZR_ROUTE_ONCE_H

#include "route/router.h"

/**
 * DOC: At-most-once requests with an idempotency key
 *
 * A backend stores a record for each idempotency key. Before a request is sent
 * to a worker, its record is created with the intent to run it; afterwards the
 * response is added. A repeated request gets the stored response. If there is
 * an intent without a response, the repeated request is not run: its outcome is
 * unknown. While the backend is unreachable, no request with a key is run.
 */

/**
 * enum zr_once_state - what the backend has found for a key
 */
enum zr_once_state {
	ZR_ONCE_NEW, /* the intent was stored now; the request may run */
	ZR_ONCE_UNCONFIRMED, /* an intent without a response: it may have run */
	ZR_ONCE_ANSWERED,    /* it has run, and its response is stored */
};

/**
 * struct zr_once_key - identifies one run of a request with an idempotency key
 * @team: team that sent the request
 * @key: the idempotency key; unique within the team
 * @digest: hash of the service and the body, to detect that the key is used for
 *	a different request
 * @request_id: id of the request that is being routed; a repeated request has
 *	the same key and a new id
 * @version: version of the stored intent as passed to the callback of
 *	@record_intent; 0 before
 */
struct zr_once_key {
	const char *team;
	const char *key;
	uint64_t digest;
	const char *request_id;
	int64_t version;
};

/**
 * struct zr_once_response - the stored response of a service
 * @status: HTTP status
 * @body: body of the response
 * @length: bytes of @body
 */
struct zr_once_response {
	int status;
	const void *body;
	size_t length;
};

/**
 * typedef zr_once_intent_fn - called with the result of recording an intent
 * @ctx: as passed with the call
 * @error: 0; ZR_E_CONFLICT: the key was used for a different request; any other
 *	error: the request must not run
 * @state: without an error, what was found
 * @version: with ZR_ONCE_NEW, version of the stored intent
 * @response: with ZR_ONCE_ANSWERED, the stored response; valid during the call
 */
typedef void (*zr_once_intent_fn)(void *ctx, int error,
				  enum zr_once_state state, int64_t version,
				  const struct zr_once_response *response);

/**
 * struct zr_once_ops - operations of a backend
 * @record_intent: store the intent unless the key has a record; @done is called
 *	exactly once, possibly before the function returns
 * @record_response: store the response
 * @delete_intent: delete the intent if this request stored it; called when no
 *	attempt was sent to a worker
 *
 * Recording a response and deleting an intent are best effort. If a response
 * isn't stored or an intent isn't deleted, a repeated request is reported to
 * have an unknown outcome.
 */
struct zr_once_ops {
	void (*record_intent)(void *impl, const struct zr_once_key *key,
			      unsigned int timeout_ms, zr_once_intent_fn done,
			      void *ctx);
	void (*record_response)(void *impl, const struct zr_once_key *key,
				const struct zr_once_response *response);
	void (*delete_intent)(void *impl, const struct zr_once_key *key);
};

/**
 * struct zr_once_backend - storage for idempotency keys
 * @ops: operations of the implementation
 * @impl: passed to each operation
 */
struct zr_once_backend {
	const struct zr_once_ops *ops;
	void *impl;
};

struct zr_once_call;

/**
 * zr_once_send() - route a request that must run at most once
 * @router: the router
 * @backend: storage for idempotency keys
 * @clock: clock for the request's timeout
 * @request: the request; copied. It is not sent again once a byte may have been
 *	sent to a worker
 * @key: its idempotency key
 * @done: called exactly once, possibly before this function returns
 * @ctx: passed to @done
 *
 * The request can't be cancelled: a repeated request needs its response even if
 * the caller has disconnected.
 */
void zr_once_send(struct zr_router *router,
		  const struct zr_once_backend *backend,
		  const struct zr_clock *clock,
		  const struct zr_route_request *request, const char *key,
		  zr_route_done_fn done, void *ctx);

#endif

#ifndef ZR_ROUTE_ONCE_H
#define ZR_ROUTE_ONCE_H

#include "route/router.h"

/**
 * DOC: Requests that run at most once for an idempotency key
 *
 * The home of a key keeps, durably, the intent to run its request before any
 * byte leaves for a worker, and the answer afterwards. A repeat gets the kept
 * answer. A repeat that finds an intent without an answer is never run: its
 * outcome is unknown. Without the home nothing is run.
 */

/**
 * enum zr_once_state - what the home of a key has found
 */
enum zr_once_state {
	ZR_ONCE_NEW,	     /* the intent is kept now; the request may run */
	ZR_ONCE_UNCONFIRMED, /* an intent without an answer: it may have run */
	ZR_ONCE_ANSWERED,    /* it has run; here is its answer */
};

/**
 * struct zr_once_key - names a request that must run at most once
 * @team: whose it is
 * @key: the idempotency key; each team has its own
 * @digest: of the service and the body; another one under the same key is
 *	another request
 * @request_id: id of this run of it
 * @version: of the intent of this run, as @record_intent gave it; 0 before
 */
struct zr_once_key {
	const char *team;
	const char *key;
	uint64_t digest;
	const char *request_id;
	int64_t version;
};

/**
 * struct zr_once_response - a service's answer as it is kept
 * @status: HTTP status
 * @body: the body
 * @length: bytes of @body
 */
struct zr_once_response {
	int status;
	const void *body;
	size_t length;
};

/**
 * typedef zr_once_intent_fn - what the home says
 * @ctx: as given with the call
 * @error: 0; ZR_E_CONFLICT: the key was used for another request; any other:
 *	nothing may be run
 * @state: without an error, what was found
 * @version: with ZR_ONCE_NEW, of the intent that is kept now
 * @answer: with ZR_ONCE_ANSWERED; valid during the call
 */
typedef void (*zr_once_intent_fn)(void *ctx, int error,
				  enum zr_once_state state, int64_t version,
				  const struct zr_once_response *answer);

/**
 * struct zr_once_ops - what the homes of keys offer
 * @record_intent: keep the intent, unless there is one; @done is called exactly
 *once, perhaps before it returns
 * @record_response: keep the answer
 * @delete_intent: forget the intent if it is this run's: nothing was sent to
 *any worker
 *
 * The last two are best effort. A lost answer or withdrawal leaves the intent,
 * so that a repeat is told that its outcome is unknown.
 */
struct zr_once_ops {
	void (*record_intent)(void *impl, const struct zr_once_key *key,
			      unsigned int timeout_ms, zr_once_intent_fn done,
			      void *ctx);
	void (*record_response)(void *impl, const struct zr_once_key *key,
				const struct zr_once_response *answer);
	void (*delete_intent)(void *impl, const struct zr_once_key *key);
};

/**
 * struct zr_once_backend - homes of keys and their implementation
 * @ops: the implementation
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
 * @once: the homes of keys
 * @clock: the clock
 * @request: the request, copied; never sent again once a byte may have left
 * @key: its idempotency key
 * @done: called exactly once, perhaps before this returns
 * @ctx: passed to @done
 *
 * A caller that goes away does not stop it: its repeat wants the answer.
 */
void zr_once_send(struct zr_router *router, const struct zr_once_backend *once,
		  const struct zr_clock *clock,
		  const struct zr_route_request *request, const char *key,
		  zr_route_done_fn done, void *ctx);

#endif

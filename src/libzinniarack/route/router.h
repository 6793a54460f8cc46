#ifndef ZR_ROUTE_ROUTER_H
#define ZR_ROUTE_ROUTER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "msg_grants.h"
#include "zinniarack/clock.h"
#include "zinniarack/metrics.h"

/**
 * DOC: Router of short requests
 *
 * Sends short requests to services on workers, on slots that the schedulers
 * have granted to this entry daemon. A grant that has lapsed is not used.
 */

struct zr_router;

/**
 * struct zr_route_request - a short request
 * @service: the service it is for
 * @id: id of our own, echoed by the worker
 * @body: what to send, copied
 * @length: bytes of @body
 * @timeout_ms: from now until the caller no longer needs an answer
 * @idempotent: may be sent again when its outcome is unknown
 */
struct zr_route_request {
	const char *service;
	const char *id;
	const void *body;
	size_t length;
	unsigned int timeout_ms;
	bool idempotent;
};

/**
 * typedef zr_route_done_fn - the answer to a short request
 * @ctx: as given with it
 * @error: 0; ZR_E_NOT_FOUND, ZR_E_OVERLOADED or ZR_E_UNREACHABLE: it did not
 *	run; ZR_E_OUTCOME_UNKNOWN or ZR_E_PROTOCOL: it may have run
 * @status: HTTP status of the service's answer
 * @body: the whole answer
 * @length: its length in bytes
 */
typedef void (*zr_route_done_fn)(void *ctx, int error, int status,
				 const void *body, size_t length);

/**
 * zr_router_new() - make a router without grants
 * @out: to be freed with zr_router_free()
 * @loop: the loop it runs on
 * @clock: the clock
 * @metrics: where it counts
 *
 * Return: 0 or ZR_E_NOMEM.
 */
int zr_router_new(struct zr_router **out, uv_loop_t *loop,
		  const struct zr_clock *clock, struct zr_metrics *metrics);

/**
 * zr_router_grants() - take the grants of a failure domain's scheduler
 * @router: the router
 * @domain: the failure domain
 * @result: its answer; replaces what it granted before
 * @asked: when the grants were asked for; their lease runs from there
 */
void zr_router_grants(struct zr_router *router, const char *domain,
		      const zx_grant_result *result, struct timespec asked);

/** zr_router_send() - route a request; @done is called exactly once */
void zr_router_send(struct zr_router *router,
		    const struct zr_route_request *request,
		    zr_route_done_fn done, void *ctx);

void zr_router_free(struct zr_router *router);

#endif

#ifndef ZR_ROUTE_ROUTER_H
#define ZR_ROUTE_ROUTER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "msg_grants.h"
#include "route/worker_client.h"
#include "zinniarack/clock.h"
#include "zinniarack/host_list.h"
#include "zinniarack/metrics.h"
#include "zinniarack/table.h"
#include "zinniarack/timer.h"

/**
 * DOC: Router of short requests
 *
 * Sends short requests to services on workers, on slots that the schedulers
 * have granted to this entry daemon. A grant that has lapsed is not used. A
 * slot stays in use until its answer has come or the worker has given the
 * request up by the deadline it was told.
 */

struct zr_router;

/** Longest id of a request, with the final NUL. */
#define ZR_ROUTE_ID_MAX 64

/**
 * struct zr_route_decision - a decision, for the log
 * @action: "route", "wait", "retry", "refuse", "eject" or "reinstate"
 * @request: the request or try, empty for a decision about a worker
 * @service: the service, empty for a decision about a worker
 * @worker: the worker, empty when none was chosen
 * @reason: why
 * @in_use: slots in use on the worker, before the decision
 * @slots: slots granted on the worker
 */
struct zr_route_decision {
	const char *action;
	const char *request;
	const char *service;
	const char *worker;
	const char *reason;
	uint32_t in_use;
	uint32_t slots;
};

/** Told of each decision. */
typedef void (*zr_route_decided_fn)(void *ctx,
				    const struct zr_route_decision *decision);

/**
 * struct zr_router_options - what a router works with
 * @version: ZR_ROUTER_OPTIONS_VERSION
 * @clock: the clock
 * @timers: timers
 * @metrics: where it counts
 * @entry: name of this host
 * @domain: its failure domain
 * @incarnation: which run of the daemon; also seeds its random choices
 * @peer_new: makes a peer for each worker
 * @peer_ctx: passed to @peer_new
 * @decided: told of each decision; NULL: write a log line
 * @decided_ctx: passed to @decided
 * @admission: refuse at once what cannot be answered in time
 * @protection: eject workers by outcome
 */
struct zr_router_options {
	unsigned int version;
	const struct zr_clock *clock;
	const struct zr_timers *timers;
	struct zr_metrics *metrics;
	const char *entry;
	const char *domain;
	uint64_t incarnation;
	zr_peer_new_fn peer_new;
	void *peer_ctx;
	zr_route_decided_fn decided;
	void *decided_ctx;
	bool admission;
	bool protection;
};

#define ZR_ROUTER_OPTIONS_VERSION 1
#define ZR_ROUTER_OPTIONS_INIT                                   \
	{                                                        \
		.version = ZR_ROUTER_OPTIONS_VERSION,            \
		.peer_new = zr_http_peer_new, .admission = true, \
		.protection = true,                              \
	}

/**
 * struct zr_route_request - a short request
 * @service: the service it is for
 * @id: id of our own; the tries' ids are made from it
 * @team: whose it is
 * @share: the team's weight when slots are short
 * @worth: within its team, more goes first
 * @body: what to send, copied
 * @length: bytes of @body
 * @timeout_ms: from now until the caller no longer needs an answer
 * @idempotent: may be sent again when its outcome is unknown
 */
struct zr_route_request {
	const char *service;
	const char *id;
	const char *team;
	uint32_t share;
	uint32_t worth;
	const void *body;
	size_t length;
	unsigned int timeout_ms;
	bool idempotent;
};

/**
 * struct zr_route_answer - the answer to a short request
 * @error: 0; ZR_E_NOT_FOUND, ZR_E_OVERLOADED, ZR_E_UNREACHABLE or
 *	ZR_E_SHUTTING_DOWN: it did not run; ZR_E_OUTCOME_UNKNOWN: it may have
 * @retry_after_ms: with ZR_E_OVERLOADED, when to come back
 * @status: HTTP status of the service's answer
 * @body: the whole answer
 * @length: its length in bytes
 */
struct zr_route_answer {
	int error;
	unsigned int retry_after_ms;
	int status;
	const void *body;
	size_t length;
};

/** Called exactly once for a request, perhaps before zr_router_send() returns
 */
typedef void (*zr_route_done_fn)(void *ctx,
				 const struct zr_route_answer *answer);

/**
 * zr_router_new() - make a router without grants
 * @out: to be freed with zr_router_free()
 * @options: what it works with; strings and tables are kept by reference
 *
 * Return: 0 or ZR_E_NOMEM.
 */
int zr_router_new(struct zr_router **out,
		  const struct zr_router_options *options);

/**
 * zr_router_ask() - what to ask a failure domain's scheduler for
 * @out: to be freed with zr_router_ask_free()
 * @router: the router
 * @domain: the failure domain
 *
 * One ask of a domain is open at a time, until zr_router_grants().
 *
 * Return: 0, or ZR_E_STATE while one is open.
 */
int zr_router_ask(zx_grant_args *out, struct zr_router *router,
		  const char *domain);

void zr_router_ask_free(zx_grant_args *ask);

/**
 * zr_router_grants() - take the grants of a failure domain's scheduler
 * @router: the router
 * @domain: the failure domain
 * @result: its answer, which replaces what it granted before; NULL: the ask
 *	was given up, and no answer to it may be taken any more
 * @asked: when the grants were asked for; their lease runs from there
 *
 * Return: whether to ask again at once, since the base of the ask was refused.
 */
bool zr_router_grants(struct zr_router *router, const char *domain,
		      const zx_grant_result *result, struct timespec asked);

/** zr_router_hosts() - take the host list's word about leaving workers */
void zr_router_hosts(struct zr_router *router, const struct zr_host *hosts,
		     size_t count);

/**
 * zr_router_send() - route a request
 * @router: the router
 * @request: the request, copied
 * @done: called exactly once, unless the request is cancelled before
 * @ctx: passed to @done
 *
 * Return: for zr_router_cancel(); ZR_HANDLE_NONE when it is already done.
 */
zr_handle zr_router_send(struct zr_router *router,
			 const struct zr_route_request *request,
			 zr_route_done_fn done, void *ctx);

/**
 * zr_router_cancel() - the caller is gone; its done is not called
 * @router: the router
 * @request: the request; one that is done is ignored
 *
 * What a worker has begun still uses its slot until it ends.
 */
void zr_router_cancel(struct zr_router *router, zr_handle request);

/** zr_router_leave() - give all slots back with the next asks; send no more */
void zr_router_leave(struct zr_router *router);

/** zr_router_busy() - tries whose worker may still be at work */
unsigned int zr_router_busy(const struct zr_router *router);

void zr_router_free(struct zr_router *router);

#endif

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
 * Sends short requests to services on workers. The scheduler of each failure
 * domain grants slots on its workers to the entry daemons; a slot carries one
 * request at a time. The router uses only slots that were granted to its entry
 * daemon, and none whose lease has expired.
 *
 * Each sending of a request to a worker is an attempt. An attempt occupies its
 * slot until the response arrives or, without a response, until the attempt's
 * deadline. The deadline is sent to the worker, which stops processing the
 * request at that time.
 *
 * Points in time are of the monotonic clock in the options.
 */

struct zr_router;

/** Maximum length of a request's id, including the final NUL. */
#define ZR_ROUTE_ID_MAX 64

/**
 * struct zr_route_decision - a decision, for the decision log
 * @action: "route", "wait", "retry", "refuse", "eject" or "reinstate"
 * @request: id of the request; empty for a decision about a worker
 * @service: name of the service; empty for a decision about a worker
 * @worker: name of the worker; empty when none was chosen
 * @reason: reason of the decision
 * @in_use: slots in use on the worker before the decision
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

/** Called for each decision. */
typedef void (*zr_route_decision_fn)(void *ctx,
				     const struct zr_route_decision *decision);

/**
 * struct zr_router_options - options of a router
 * @version: ZR_ROUTER_OPTIONS_VERSION
 * @clock: clock for leases and deadlines
 * @timers: timers for retries and deadlines
 * @metrics: registry for the router's counters
 * @entry: name of this host
 * @domain: failure domain of this host
 * @incarnation: incarnation of the entry daemon; also seeds random choices
 * @worker_client_new: creates the client of each worker
 * @worker_client_ctx: passed to @worker_client_new
 * @on_decision: called for each decision; NULL: write a log line
 * @on_decision_ctx: passed to @on_decision
 * @admission_control: whether to refuse requests at once if their response is
 *	expected too late
 * @outlier_ejection: whether to eject workers whose attempts fail
 */
struct zr_router_options {
	unsigned int version;
	const struct zr_clock *clock;
	const struct zr_timers *timers;
	struct zr_metrics *metrics;
	const char *entry;
	const char *domain;
	uint64_t incarnation;
	zr_worker_client_new_fn worker_client_new;
	void *worker_client_ctx;
	zr_route_decision_fn on_decision;
	void *on_decision_ctx;
	bool admission_control;
	bool outlier_ejection;
};

#define ZR_ROUTER_OPTIONS_VERSION 1
#define ZR_ROUTER_OPTIONS_INIT                                       \
	{                                                            \
		.version = ZR_ROUTER_OPTIONS_VERSION,                \
		.worker_client_new = zr_http_worker_client_new,      \
		.admission_control = true, .outlier_ejection = true, \
	}

/**
 * struct zr_route_request - a short request
 * @service: name of the service
 * @id: id of the request; the ids of its attempts are derived from it
 * @team: team that sends the request, or NULL
 * @share: weight of the team when slots are scarce
 * @worth: priority within the team, higher first
 * @body: body to send
 * @length: bytes of @body
 * @timeout_ms: time from now after which the caller needs no response
 * @idempotent: whether the request may be sent again after an attempt with
 *	unknown outcome
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
 * struct zr_route_response - the response to a short request
 * @error: 0; ZR_E_NOT_FOUND, ZR_E_OVERLOADED, ZR_E_UNREACHABLE or
 *	ZR_E_SHUTTING_DOWN: the request did not run; ZR_E_OUTCOME_UNKNOWN: it
 *	may have run
 * @retry_after_ms: with ZR_E_OVERLOADED, time after which to try again
 * @status: HTTP status of the service's response
 * @body: body of the service's response
 * @length: bytes of @body
 */
struct zr_route_response {
	int error;
	unsigned int retry_after_ms;
	int status;
	const void *body;
	size_t length;
};

/** Called once for a request, possibly before zr_router_send() returns. */
typedef void (*zr_route_done_fn)(void *ctx,
				 const struct zr_route_response *response);

/**
 * zr_router_new() - create a router without grants
 * @out: the router, to be freed with zr_router_free()
 * @options: options; strings and tables are kept by reference
 *
 * Return: 0 or ZR_E_NOMEM.
 */
int zr_router_new(struct zr_router **out,
		  const struct zr_router_options *options);

/**
 * zr_router_build_grant_request() - build a request to a domain's scheduler
 * @out: the request, to be freed with zr_router_free_grant_request()
 * @router: the router
 * @domain_name: name of the failure domain
 *
 * The request reports the slots that are held in the domain and the demand for
 * each service. There is one request per domain at a time: the next one may be
 * built after zr_router_process_grants().
 *
 * Return: 0, or ZR_E_STATE while another request is in flight.
 */
int zr_router_build_grant_request(zx_grant_args *out, struct zr_router *router,
				  const char *domain_name);

void zr_router_free_grant_request(zx_grant_args *request);

/**
 * zr_router_process_grants() - apply the result of a grant request
 * @router: the router
 * @domain_name: name of the failure domain
 * @result: the scheduler's result, which replaces its earlier grants; NULL: the
 *	request failed, and a result that still arrives must be ignored
 * @requested_at: when the request was built; the lease runs from there
 *
 * Return: whether to send another request at once, because the scheduler
 * refused the base of an incremental one.
 */
bool zr_router_process_grants(struct zr_router *router, const char *domain_name,
			      const zx_grant_result *result,
			      struct timespec requested_at);

/** zr_router_set_hosts() - update which workers are leaving */
void zr_router_set_hosts(struct zr_router *router, const struct zr_host *hosts,
			 size_t count);

/**
 * zr_router_send() - route a request
 * @router: the router
 * @request: the request; copied
 * @done: called exactly once, unless the request is cancelled before
 * @ctx: passed to @done
 *
 * Return: a handle for zr_router_cancel(), or ZR_HANDLE_NONE if @done was
 * already called.
 */
zr_handle zr_router_send(struct zr_router *router,
			 const struct zr_route_request *request,
			 zr_route_done_fn done, void *ctx);

/**
 * zr_router_cancel() - cancel a request; its done function is not called
 * @router: the router
 * @request: handle of the request; ignored if the request is done
 *
 * An attempt that was already sent occupies its slot until it ends.
 */
void zr_router_cancel(struct zr_router *router, zr_handle request);

/**
 * zr_router_leave() - release all granted slots
 * @router: the router
 *
 * No attempt is started any more. The next grant requests report only slots
 * that are still in use, and further grants are ignored.
 */
void zr_router_leave(struct zr_router *router);

/** zr_router_active_attempts() - number of attempts that occupy a slot */
unsigned int zr_router_active_attempts(const struct zr_router *router);

void zr_router_free(struct zr_router *router);

#endif

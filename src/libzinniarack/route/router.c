#include "route/router.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "net/http_client.h"
#include "zinniarack/errors.h"
#include "zinniarack/job.h"
#include "zinniarack/log.h"

#define REQUEST_ID_MAX 64
#define PATH_MAX_BYTES (ZR_NAME_MAX + 16)

/* Slots of one service on one worker. */
struct target {
	struct target *prev;
	struct target *next;
	struct zr_router *router;
	char service[ZR_NAME_MAX];
	char domain[ZR_NAME_MAX];
	char worker[ZR_NAME_MAX];
	struct zr_http_client *client;
	uint32_t slots;
	uint32_t in_use;
	struct timespec expires;
	bool granted;
};

struct zr_router {
	uv_loop_t *loop;
	const struct zr_clock *clock;
	struct target *targets;
	struct zr_metric *routed;
	struct zr_metric *refused;
	struct zr_metric *unknown;
	struct zr_metric *mismatched;
};

struct flight {
	struct target *target;
	char id[REQUEST_ID_MAX];
	zr_route_done_fn done;
	void *ctx;
};

int zr_router_new(struct zr_router **out, uv_loop_t *loop,
		  const struct zr_clock *clock, struct zr_metrics *metrics)
{
	struct zr_router *router = calloc(1, sizeof(*router));

	if (!router)
		return ZR_E_NOMEM;
	router->loop = loop;
	router->clock = clock;
	router->routed =
		zr_metrics_counter(metrics, "zinniarack_route_sent_total", NULL,
				   "Short requests sent.");
	router->refused = zr_metrics_counter(
		metrics, "zinniarack_route_refused_total", NULL,
		"Short requests refused; they did not run.");
	router->unknown = zr_metrics_counter(
		metrics, "zinniarack_route_unknown_total", NULL,
		"Short requests whose outcome is unknown.");
	router->mismatched = zr_metrics_counter(
		metrics, "zinniarack_route_mismatched_total", NULL,
		"Answers dropped because they bore another request's id.");
	*out = router;
	return 0;
}

/* Grants */

static struct target *find_target(struct zr_router *router, const char *domain,
				  const zx_grant *grant)
{
	struct target *target;

	DL_FOREACH(router->targets, target)
	{
		if (!strcmp(target->service, grant->service) &&
		    !strcmp(target->worker, grant->worker) &&
		    !strcmp(target->domain, domain))
			return target;
	}
	return NULL;
}

static struct target *add_target(struct zr_router *router, const char *domain,
				 const zx_grant *grant)
{
	struct zr_http_client_options options = ZR_HTTP_CLIENT_OPTIONS_INIT;
	struct target *target = calloc(1, sizeof(*target));

	if (!target)
		abort();
	options.max_connections = grant->slots;
	if (zr_http_client_new(&target->client, router->loop, grant->address,
			       &options) < 0) {
		free(target);
		return NULL;
	}
	target->router = router;
	snprintf(target->service, ZR_NAME_MAX, "%s", grant->service);
	snprintf(target->worker, ZR_NAME_MAX, "%s", grant->worker);
	snprintf(target->domain, ZR_NAME_MAX, "%s", domain);
	DL_APPEND(router->targets, target);
	return target;
}

static void remove_target(struct target *target)
{
	DL_DELETE(target->router->targets, target);
	zr_http_client_free(target->client);
	free(target);
}

void zr_router_grants(struct zr_router *router, const char *domain,
		      const zx_grant_result *result, struct timespec asked)
{
	struct target *target;
	struct target *next;
	u_int i;

	DL_FOREACH(router->targets, target)
	{
		if (!strcmp(target->domain, domain))
			target->granted = false;
	}
	for (i = 0; i < result->grants.grants_len; i++) {
		const zx_grant *grant = &result->grants.grants_val[i];

		target = find_target(router, domain, grant);
		if (!target)
			target = add_target(router, domain, grant);
		if (!target)
			continue;
		target->granted = true;
		target->slots = grant->slots;
		target->expires = zr_time_add_ms(asked, result->lease_ms);
	}
	DL_FOREACH_SAFE(router->targets, target, next)
	{
		if (!target->granted && !target->in_use)
			remove_target(target);
	}
}

/* Choice */

static bool usable(const struct target *target, const char *service)
{
	struct timespec now = zr_clock_now(target->router->clock);

	return target->granted && target->in_use < target->slots &&
	       !strcmp(target->service, service) &&
	       zr_time_cmp(now, target->expires) < 0;
}

static struct target *choose(struct zr_router *router, const char *service,
			     bool *out_known)
{
	struct target *best = NULL;
	struct target *target;

	*out_known = false;
	DL_FOREACH(router->targets, target)
	{
		if (!strcmp(target->service, service))
			*out_known = true;
		if (!usable(target, service))
			continue;
		if (!best || target->in_use < best->in_use)
			best = target;
	}
	return best;
}

/* Sending */

static void on_answer(void *ctx, int error, const struct zr_http_answer *answer)
{
	struct flight *flight = ctx;
	struct zr_router *router = flight->target->router;

	flight->target->in_use--;
	if (!error && strcmp(answer->request_id, flight->id)) {
		router->mismatched->value++;
		error = ZR_E_OUTCOME_UNKNOWN;
	}
	if (error == ZR_E_OUTCOME_UNKNOWN)
		router->unknown->value++;
	if (error < 0)
		flight->done(flight->ctx, error, 0, NULL, 0);
	else
		flight->done(flight->ctx, 0, answer->status, answer->body,
			     answer->body_length);
	free(flight);
}

static void send_to(struct target *target,
		    const struct zr_route_request *request,
		    zr_route_done_fn done, void *ctx)
{
	struct flight *flight = calloc(1, sizeof(*flight));
	char path[PATH_MAX_BYTES];
	const struct zr_http_header_field header = {"X-Request-Id",
						    request->id};
	const struct zr_http_call call = {
		.method = "POST",
		.path = path,
		.content_type = "application/octet-stream",
		.headers = &header,
		.header_count = 1,
		.body = request->body,
		.body_length = request->length,
		.timeout_ms = request->timeout_ms,
		.idempotent = request->idempotent,
	};

	if (!flight)
		abort();
	snprintf(path, sizeof(path), "/v1/serve/%s", request->service);
	snprintf(flight->id, sizeof(flight->id), "%s", request->id);
	flight->target = target;
	flight->done = done;
	flight->ctx = ctx;
	target->in_use++;
	target->router->routed->value++;
	zr_http_client_call(target->client, &call, on_answer, flight);
}

void zr_router_send(struct zr_router *router,
		    const struct zr_route_request *request,
		    zr_route_done_fn done, void *ctx)
{
	struct target *target;
	bool known;

	target = choose(router, request->service, &known);
	if (!target) {
		router->refused->value++;
		zr_log_decision("refuse request=%s service=%s reason=%s",
				request->id, request->service,
				known ? "no_free_slot" : "no_replica");
		done(ctx, known ? ZR_E_OVERLOADED : ZR_E_NOT_FOUND, 0, NULL, 0);
		return;
	}
	zr_log_decision("route request=%s service=%s worker=%s in_use=%u/%u "
			"reason=least_in_use",
			request->id, request->service, target->worker,
			target->in_use, target->slots);
	send_to(target, request, done, ctx);
}

void zr_router_free(struct zr_router *router)
{
	struct target *target;
	struct target *next;

	if (!router)
		return;
	DL_FOREACH_SAFE(router->targets, target, next)
	remove_target(target);
	free(router);
}

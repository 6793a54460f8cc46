#include "route/router.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "route/private.h"
#include "zinniarack/errors.h"
#include "zinniarack/log.h"

#define TICK_MS 10
/* Bits of a double's significand. */
#define RANDOM_BITS 53

static void log_decision(void *ctx, const struct zr_route_decision *decision)
{
	(void)ctx;
	zr_log_decision("%s request=%s service=%s worker=%s in_use=%u/%u "
			"reason=%s",
			decision->action, decision->request, decision->service,
			decision->worker, decision->in_use, decision->slots,
			decision->reason);
}

static void open_metrics(struct zr_router *router)
{
	struct zr_metrics *metrics = router->options.metrics;

	router->sent_total = zr_metrics_get_or_add_counter(
		metrics, "zinniarack_route_sent_total", NULL,
		"Tries of short requests sent.");
	router->refused_total = zr_metrics_get_or_add_counter(
		metrics, "zinniarack_route_refused_total", NULL,
		"Short requests refused; they did not run.");
	router->unknown_total = zr_metrics_get_or_add_counter(
		metrics, "zinniarack_route_unknown_total", NULL,
		"Short requests whose outcome is unknown.");
	router->mismatched_total = zr_metrics_get_or_add_counter(
		metrics, "zinniarack_route_mismatched_total", NULL,
		"Answers dropped because they bore another try's id.");
	router->retried_total = zr_metrics_get_or_add_counter(
		metrics, "zinniarack_route_retried_total", NULL,
		"Tries after the first.");
	router->ejected_total = zr_metrics_get_or_add_counter(
		metrics, "zinniarack_route_ejected_total", NULL,
		"Workers taken out of the choice by their outcomes.");
}

static void on_tick(void *ctx)
{
	route_queue_tick(ctx);
}

int zr_router_new(struct zr_router **out,
		  const struct zr_router_options *options)
{
	struct zr_router *router = calloc(1, sizeof(*router));

	if (!router)
		return ZR_E_NOMEM;
	if (zr_table_new(&router->calls, sizeof(struct route_call *)) < 0) {
		free(router);
		return ZR_E_NOMEM;
	}
	router->options = *options;
	if (!router->options.on_decision)
		router->options.on_decision = log_decision;
	router->random_state = options->incarnation | 1;
	open_metrics(router);
	router->tick = zr_timer_new(options->timers, on_tick, router);
	zr_timer_start(router->tick, TICK_MS, TICK_MS);
	*out = router;
	return 0;
}

struct timespec route_now(const struct zr_router *router)
{
	return zr_clock_now(router->options.clock);
}

/* xorshift64* */
double route_random(struct zr_router *router)
{
	uint64_t x = router->random_state;

	x ^= x >> 12;
	x ^= x << 25;
	x ^= x >> 27;
	router->random_state = x;
	return (double)((x * 0x2545f4914f6cdd1dULL) >> (64 - RANDOM_BITS)) /
	       (double)(1ULL << RANDOM_BITS);
}

void route_report_decision(struct zr_router *router, const char *action,
			   const char *request,
			   const struct route_service *service,
			   const struct route_worker *worker,
			   const char *reason)
{
	const struct zr_route_decision decision = {
		.action = action,
		.request = request,
		.service = service ? service->name : "",
		.worker = worker ? worker->name : "",
		.reason = reason,
		.in_use = worker ? worker->in_use : 0,
		.slots = worker ? worker->slots : 0,
	};

	router->options.on_decision(router->options.on_decision_ctx, &decision);
}

unsigned int zr_router_active_attempts(const struct zr_router *router)
{
	return router->active_attempts;
}

static void refuse_calls(struct zr_router *router)
{
	struct route_call **entry;
	zr_handle handle;

	while ((handle = zr_table_next(router->calls, ZR_HANDLE_NONE))) {
		entry = zr_table_get(router->calls, handle);
		route_call_refuse(*entry, ZR_E_SHUTTING_DOWN, "shutting_down");
	}
}

void zr_router_free(struct zr_router *router)
{
	if (!router)
		return;
	router->freeing = true;
	zr_timer_free(router->tick);
	route_attempts_free(router);
	route_workers_free(router);
	refuse_calls(router);
	route_services_free(router);
	route_retry_budgets_free(router);
	zr_table_free(router->calls);
	free(router);
}

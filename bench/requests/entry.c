#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include "net/http_server.h"
#include "net/uv_timers.h"
#include "requests/requests.h"
#include "route/router.h"
#include "route/slot_escrow.h"
#include "zinniarack/errors.h"

#define GRANT_INTERVAL_MS 500
#define CONNECTIONS_MAX 4096
#define TEXT_MAX 128

static struct {
	uv_loop_t loop;
	struct zr_timers timers;
	struct zr_router *router;
	unsigned long sequence;
	const struct bench_cell *cell;
} state;

static void on_response(void *ctx, const struct zr_route_response *response)
{
	struct zr_http_exchange *exchange = ctx;
	const char *name = zr_error_name(response->error);

	if (!response->error)
		zr_http_reply(exchange, response->status, "text/plain",
			      response->body, response->length);
	else
		zr_http_reply(exchange,
			      response->error == ZR_E_OUTCOME_UNKNOWN ? 502
								      : 503,
			      "text/plain", name, strlen(name));
}

static void reply_counts(struct zr_http_exchange *exchange)
{
	struct rusage usage;
	char text[TEXT_MAX];

	getrusage(RUSAGE_SELF, &usage);
	snprintf(text, sizeof(text), "cpu_us=%lld memory_kb=%ld",
		 (long long)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) *
				 1000000 +
			 usage.ru_utime.tv_usec + usage.ru_stime.tv_usec,
		 usage.ru_maxrss);
	zr_http_reply(exchange, 200, "text/plain", text, strlen(text));
}

static void on_request(void *ctx, struct zr_http_exchange *exchange)
{
	const char *timeout = zr_http_get_query_param(exchange, "timeout_ms");
	char id[ZR_ROUTE_ID_MAX];
	struct zr_route_request request = {
		.service = BENCH_SERVICE,
		.id = id,
		.team = "bench",
		.share = 1,
		.timeout_ms = timeout ? (unsigned int)atoi(timeout) : 1000,
		.idempotent = true,
	};

	(void)ctx;
	if (!strcmp(zr_http_get_path(exchange), "/counts")) {
		reply_counts(exchange);
		return;
	}
	snprintf(id, sizeof(id), "bench-%lu", ++state.sequence);
	request.body = zr_http_get_body(exchange, &request.length);
	zr_router_send(state.router, &request, on_response, exchange);
}

static void on_grant(uv_timer_t *timer)
{
	static zx_name service = (char *)BENCH_SERVICE;
	zx_grant grants[BENCH_WORKERS];
	zx_grant_result result = {.epoch = 1, .lease_ms = ZR_GRANT_LEASE_MS};
	int i;

	(void)timer;
	for (i = 0; i < BENCH_WORKERS; i++) {
		grants[i].worker = (char *)state.cell->workers[i];
		grants[i].address = (char *)state.cell->workers[i];
		grants[i].slots = BENCH_SLOTS_PER_WORKER;
		grants[i].services.services_len = 1;
		grants[i].services.services_val = &service;
	}
	result.grants.grants_len = BENCH_WORKERS;
	result.grants.grants_val = grants;
	zr_router_process_grants(state.router, "here", &result,
				 zr_clock_now(zr_clock_system()));
}

static void create_router(const struct bench_setup *setup)
{
	struct zr_router_options options = ZR_ROUTER_OPTIONS_INIT;

	state.timers = zr_uv_timers_for_loop(&state.loop);
	zr_metrics_new(&options.metrics);
	options.clock = zr_clock_system();
	options.timers = &state.timers;
	options.entry = "bench";
	options.domain = "here";
	options.incarnation = 1;
	options.worker_client_ctx = &state.loop;
	options.admission_control = setup->admission_control;
	options.outlier_ejection = setup->outlier_ejection;
	if (zr_router_new(&state.router, &options) < 0)
		abort();
}

void bench_entry_run(const struct bench_cell *cell,
		     const struct bench_setup *setup)
{
	struct zr_http_server_options options = ZR_HTTP_SERVER_OPTIONS_INIT;
	struct zr_http_server *server;
	uv_timer_t timer;

	signal(SIGPIPE, SIG_IGN);
	state.cell = cell;
	uv_loop_init(&state.loop);
	create_router(setup);
	uv_timer_init(&state.loop, &timer);
	on_grant(&timer);
	uv_timer_start(&timer, on_grant, GRANT_INTERVAL_MS, GRANT_INTERVAL_MS);
	options.max_connections = CONNECTIONS_MAX;
	if (zr_http_server_new(&server, &state.loop, cell->entry, &options,
			       on_request, NULL) < 0)
		abort();
	uv_run(&state.loop, UV_RUN_DEFAULT);
}

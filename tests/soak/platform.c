#include <argp.h>
#include <inttypes.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "soak.h"
#include "zinniarack/clock.h"
#include "zinniarack/errors.h"

#define TICK_MS 2
#define MAX_CONNECTIONS 4096

static struct {
	const char *address;
	int port;
	int advertised_port;
	int workers;
	int weight;
	int body_bytes;
	int added_routes;
	unsigned int violations;
} state = {.address = "127.0.0.1",
	   .workers = 8,
	   .weight = 1000,
	   .body_bytes = 256 * 1024};

int64_t soak_now_ms(void)
{
	return zr_time_to_ms(zr_clock_now(zr_clock_system()));
}

void soak_violation(const char *format, ...)
{
	va_list args;

	state.violations++;
	printf("VIOLATION ");
	va_start(args, format);
	vprintf(format, args);
	va_end(args);
	printf(" at %" PRId64 "\n", soak_now_ms());
}

void soak_reply(struct zr_http_exchange *exchange, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	zr_http_reply(exchange, status, "application/json", text, strlen(text));
	free(text);
	json_decref(body);
}

static int int_param(struct zr_http_exchange *exchange, const char *name)
{
	const char *text = zr_http_get_query_param(exchange, name);

	return text ? atoi(text) : 0;
}

static json_t *make_route(const char *name, const char *prefix)
{
	return json_pack("{s:s, s:s, s:s, s:s, s:i, s:i, s:f, s:i, "
			 "s:{s:i, s:i, s:i}}",
			 "name", name, "hostname", "q.example", "prefix",
			 prefix, "service", "pool", "priority", 1, "attempts",
			 SOAK_ATTEMPTS, "stretch", 2.0, "latency_target_ms",
			 1000, "advice", "decision_ms", 5, "period_ms", 1,
			 "validity_ms", 1500);
}

static json_t *make_open_route(void)
{
	json_t *route = make_route("open", "/open/");

	json_object_set_new(route, "public", json_true());
	return route;
}

static json_t *make_route_without_advice(void)
{
	json_t *route = make_route("plain", "/plain/");

	json_object_del(route, "advice");
	return route;
}

/*
 * Writes a new version of the configuration with the routes and @added more.
 * The second client account submits nothing.
 */
static void put_configuration(int added)
{
	static int version;
	json_t *routes = json_array();
	char prefix[32];
	int i;

	state.added_routes = added;
	json_array_append_new(routes, make_route("q", "/q/"));
	json_array_append_new(routes, make_open_route());
	json_array_append_new(routes, make_route_without_advice());
	for (i = 0; i < added; i++) {
		snprintf(prefix, sizeof(prefix), "/added/%d/", i);
		json_array_append_new(routes, make_route(prefix, prefix));
	}
	soak_store_put("op/config",
		       json_pack("{s:i, s:o, s:[{s:s, s:i, s:[s]}, "
				 "{s:s, s:i, s:[s]}], s:{s:i}}",
				 "version", ++version, "routes", routes,
				 "tenants", "name", "caller", "weight",
				 state.weight, "api_keys", "key-1", "name",
				 "other", "weight", 1, "api_keys", "key-2",
				 "limits", "max_body_bytes", state.body_bytes));
}

/*
 * `GET /fault?kind=KIND&ms=MS&much=N` injects a fault. The answer, also to any
 * other path, has the number of violations so far and of the routes that were
 * added to the configuration. Kinds, with the parameters that they use:
 *
 *	down MS		the store answers 503
 *	silent MS	the store doesn't answer
 *	slow MS N	the store answers N ms late
 *	lose N		the store applies N transactions without an answer
 *	forget		the store drops the event history
 *	restart N	worker N crashes and restarts
 *	capacity N	worker N % 100 gets N / 100 millicpus
 *	evacuate N	operators request the evacuation of worker N's zone
 *	restore N	they withdraw the request
 *	late MS N	the workers process N % of starts and stops late
 *	entry N		another writer changes the registration of a worker
 *	grow N		the configuration grows to N routes more than at first
 */
static void serve_control(void *ctx, struct zr_http_exchange *exchange)
{
	char kind[32] = "";
	int ms = int_param(exchange, "ms");
	int amount = int_param(exchange, "much");
	const char *text = zr_http_get_query_param(exchange, "kind");

	(void)ctx;
	if (text)
		snprintf(kind, sizeof(kind), "%s", text);
	if (!strcmp(kind, "down"))
		soak_store_down(ms, false);
	else if (!strcmp(kind, "silent"))
		soak_store_down(ms, true);
	else if (!strcmp(kind, "slow"))
		soak_store_slow(ms, amount);
	else if (!strcmp(kind, "lose"))
		soak_store_drop_replies((unsigned int)amount);
	else if (!strcmp(kind, "forget"))
		soak_store_compact();
	else if (!strcmp(kind, "restart"))
		soak_workers_restart(amount);
	else if (!strcmp(kind, "capacity"))
		soak_workers_set_capacity(amount % 100, (uint32_t)amount / 100);
	else if (!strcmp(kind, "evacuate") || !strcmp(kind, "restore"))
		soak_workers_evacuate(amount, !strcmp(kind, "evacuate"));
	else if (!strcmp(kind, "late"))
		soak_workers_delay_requests(ms, amount);
	else if (!strcmp(kind, "entry"))
		soak_workers_put_odd_entry(amount);
	else if (!strcmp(kind, "grow"))
		put_configuration(amount);
	soak_reply(exchange, 200,
		   json_pack("{s:i, s:i}", "violations", (int)state.violations,
			     "routes", state.added_routes));
}

static void on_tick(uv_timer_t *timer)
{
	(void)timer;
	soak_store_tick();
	soak_workers_tick();
}

static error_t parse_option(int key, char *arg, struct argp_state *argp_state)
{
	(void)argp_state;
	switch (key) {
	case 'p':
		state.port = atoi(arg);
		return 0;
	case 'r':
		state.advertised_port = atoi(arg);
		return 0;
	case 'w':
		state.workers = atoi(arg);
		return 0;
	case 's':
		state.weight = atoi(arg);
		return 0;
	case 'b':
		state.body_bytes = atoi(arg);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static int listen_on(uv_loop_t *loop, int offset, zr_http_handler_fn handler)
{
	struct zr_http_server_options options = ZR_HTTP_SERVER_OPTIONS_INIT;
	struct zr_http_server *server;
	char address[64];

	options.max_connections = MAX_CONNECTIONS;
	options.max_body_bytes = 8 << 20;
	snprintf(address, sizeof(address), "%s:%d", state.address,
		 state.port + offset);
	return zr_http_server_new(&server, loop, address, &options, handler,
				  NULL);
}

int main(int argc, char **argv)
{
	static const struct argp_option options[] = {
		{"port", 'p', "PORT", 0,
		 "Port of the store; adviser, control address and workers "
		 "follow",
		 0},
		{"reach", 'r', "PORT", 0,
		 "Port that the first worker registers, if not its own", 0},
		{"workers", 'w', "N", 0, "Number of workers", 0},
		{"weight", 's', "N", 0,
		 "Share of the callers, in jobs per second", 0},
		{"body-bytes", 'b', "BYTES", 0, "Largest body of a submission",
		 0},
		{0},
	};
	static const struct argp argp = {
		options, parse_option,
		NULL,	 "Stand-in for the users' platform in soak tests.",
		NULL,	 NULL,
		NULL};
	uv_loop_t *loop = uv_default_loop();
	uv_timer_t timer;

	signal(SIGPIPE, SIG_IGN);
	setvbuf(stdout, NULL, _IOLBF, 0);
	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	printf("attempts %d\n", SOAK_ATTEMPTS);
	put_configuration(0);
	if (listen_on(loop, 0, soak_store_serve) < 0 ||
	    listen_on(loop, 1, soak_adviser_serve) < 0 ||
	    listen_on(loop, 2, serve_control) < 0 ||
	    soak_workers_start(loop, state.address, state.port + 3,
			       state.advertised_port ? state.advertised_port
						     : state.port + 3,
			       state.workers) < 0) {
		fprintf(stderr, "%s\n", zr_error_last());
		return 1;
	}
	uv_timer_init(loop, &timer);
	uv_timer_start(&timer, on_tick, TICK_MS, TICK_MS);
	return uv_run(loop, UV_RUN_DEFAULT);
}

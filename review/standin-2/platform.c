/*
 * The platform: its store, which is that of the project's soak test, an address
 * where the operator and the workers write to it, and the placement adviser.
 *
 * The adviser permits every worker but those whose name is in REFUSED, and
 * answers a query after the time that the page gives for it.
 *
 * usage: platform STORE CONTROL ADVISER [REFUSED...]
 *
 * CONTROL serves POST /put/KEY, whose body is the value, DELETE /put/KEY, and
 * POST /down/MS, after which the store answers 503 for that time. Leases that
 * have run out by then end.
 */
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../../tests/soak/soak.h"
#include "zinniarack/clock.h"
#include "zinniarack/errors.h"

#define TICK_MS 2
#define PUT_PATH "/put/"
#define DOWN_PATH "/down/"

static char **refused;

int64_t soak_now_ms(void)
{
	return zr_time_to_ms(zr_clock_now(zr_clock_system()));
}

void soak_violation(const char *format, ...)
{
	va_list args;

	va_start(args, format);
	vprintf(format, args);
	va_end(args);
	printf("\n");
}

void soak_reply(struct zr_http_exchange *exchange, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	zr_http_reply(exchange, status, "application/json", text, strlen(text));
	free(text);
	json_decref(body);
}

static void serve_control(void *ctx, struct zr_http_exchange *exchange)
{
	const char *path = zr_http_get_path(exchange);
	size_t length;
	const char *text = zr_http_get_body(exchange, &length);
	json_t *value;

	(void)ctx;
	if (!strncmp(path, DOWN_PATH, strlen(DOWN_PATH))) {
		soak_store_down(strtoll(path + strlen(DOWN_PATH), NULL, 10),
				false);
		soak_reply(exchange, 200, json_object());
		return;
	}
	if (strncmp(path, PUT_PATH, strlen(PUT_PATH))) {
		soak_reply(exchange, 404, json_object());
		return;
	}
	path += strlen(PUT_PATH);
	if (!strcmp(zr_http_get_method(exchange), "DELETE")) {
		soak_store_remove(path);
	} else {
		value = json_loadb(text ? text : "", length, 0, NULL);
		if (!value) {
			soak_reply(exchange, 400, json_object());
			return;
		}
		soak_store_put(path, value);
	}
	soak_reply(exchange, 200, json_object());
}

static bool is_refused(const char *worker)
{
	char **name;

	for (name = refused; *name; name++) {
		if (!strcmp(*name, worker))
			return true;
	}
	return false;
}

/* A ticket names the step and the worker; the worker checks it. */
static void serve_adviser(void *ctx, struct zr_http_exchange *exchange)
{
	size_t length;
	const char *text = zr_http_get_body(exchange, &length);
	json_t *request = json_loadb(text ? text : "", length, 0, NULL);
	const char *step = json_string_value(json_object_get(request, "step"));
	json_t *good = json_array();
	char ticket[48];
	json_t *name;
	size_t i;

	(void)ctx;
	json_array_foreach (json_object_get(request, "workers"), i, name) {
		const char *worker = json_string_value(name);

		if (!worker || !step || is_refused(worker))
			continue;
		snprintf(ticket, sizeof(ticket), "%s/%s", step, worker);
		json_array_append_new(good,
				      json_pack("[s, s]", worker, ticket));
	}
	printf("advice step=%s permitted=%zu\n", step ? step : "-",
	       json_array_size(good));
	soak_reply(exchange, 200,
		   json_pack("{s:o, s:i}", "good", good, "validity_ms", 2500));
	json_decref(request);
}

static void on_tick(uv_timer_t *timer)
{
	(void)timer;
	soak_store_tick();
}

static int serve(uv_loop_t *loop, const char *address,
		 zr_http_handler_fn handler)
{
	struct zr_http_server_options options = ZR_HTTP_SERVER_OPTIONS_INIT;
	struct zr_http_server *server;

	return zr_http_server_new(&server, loop, address, &options, handler,
				  NULL);
}

int main(int argc, char **argv)
{
	uv_loop_t *loop = uv_default_loop();
	uv_timer_t timer;

	signal(SIGPIPE, SIG_IGN);
	setvbuf(stdout, NULL, _IOLBF, 0);
	if (argc < 4)
		return 2;
	refused = argv + 4;
	if (serve(loop, argv[1], soak_store_serve) < 0 ||
	    serve(loop, argv[2], serve_control) < 0 ||
	    serve(loop, argv[3], serve_adviser) < 0) {
		fprintf(stderr, "%s\n", zr_error_last());
		return 2;
	}
	uv_timer_init(loop, &timer);
	uv_timer_start(&timer, on_tick, TICK_MS, TICK_MS);
	return uv_run(loop, UV_RUN_DEFAULT);
}

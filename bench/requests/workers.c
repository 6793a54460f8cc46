#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net/http_server.h"
#include "requests/requests.h"

#define SLOW_FACTOR 20
#define TEXT_MAX 128

struct worker {
	struct zr_http_server *server;
	enum bench_fault fault;
	unsigned int in_progress;
};

/* A request being served. */
struct served_request {
	uv_timer_t timer;
	struct worker *worker;
	struct zr_http_exchange *exchange;
	bool responds;
};

static struct {
	uv_loop_t *loop;
	struct worker workers[BENCH_WORKERS];
	unsigned int serve_ms;
	unsigned int max_in_progress;
	unsigned long served;
} state;

static void on_closed(uv_handle_t *handle)
{
	free(handle->data);
}

static void reply(struct zr_http_exchange *exchange, int status)
{
	const char *id = zr_http_get_header(exchange, "x-request-id");
	size_t length;
	const void *body = zr_http_get_body(exchange, &length);

	zr_http_add_reply_header(exchange, "x-request-id", id ? id : "");
	zr_http_reply(exchange, status, "application/octet-stream", body,
		      length);
}

static void on_served(uv_timer_t *timer)
{
	struct served_request *request = timer->data;

	request->worker->in_progress--;
	if (request->responds)
		reply(request->exchange,
		      request->worker->fault == BENCH_FAULT_ERRORS ? 500 : 200);
	uv_close((uv_handle_t *)timer, on_closed);
}

static void reply_counts(struct zr_http_exchange *exchange)
{
	char text[TEXT_MAX];

	snprintf(text, sizeof(text), "served=%lu most=%u", state.served,
		 state.max_in_progress);
	zr_http_reply(exchange, 200, "text/plain", text, strlen(text));
}

/*
 * Returns how long the worker is busy with a request and sets whether it
 * responds after that. It does not respond once the deadline has passed.
 */
static unsigned int response_time_ms(struct served_request *request)
{
	const char *text =
		zr_http_get_header(request->exchange, "x-deadline-ms");
	unsigned int deadline = text ? (unsigned int)atoi(text) : 1000;
	unsigned int ms = state.serve_ms;

	if (request->worker->fault == BENCH_FAULT_SLOW)
		ms *= SLOW_FACTOR;
	request->responds =
		request->worker->fault != BENCH_FAULT_UNRESPONSIVE &&
		ms <= deadline;
	return request->responds ? ms : deadline;
}

static void on_request(void *ctx, struct zr_http_exchange *exchange)
{
	struct worker *worker = ctx;
	struct served_request *request;

	if (!strcmp(zr_http_get_path(exchange), "/counts")) {
		reply_counts(exchange);
		return;
	}
	request = calloc(1, sizeof(*request));
	if (!request)
		abort();
	state.served++;
	if (++worker->in_progress > state.max_in_progress)
		state.max_in_progress = worker->in_progress;
	request->worker = worker;
	request->exchange = exchange;
	uv_timer_init(state.loop, &request->timer);
	request->timer.data = request;
	uv_timer_start(&request->timer, on_served, response_time_ms(request),
		       0);
}

void bench_workers_run(const struct bench_cell *cell,
		       const struct bench_setup *setup)
{
	uv_loop_t loop;
	int i;

	signal(SIGPIPE, SIG_IGN);
	uv_loop_init(&loop);
	state.loop = &loop;
	state.serve_ms = setup->serve_ms;
	state.workers[0].fault = setup->fault;
	for (i = 0; i < BENCH_WORKERS; i++) {
		if (zr_http_server_new(&state.workers[i].server, &loop,
				       cell->workers[i], NULL, on_request,
				       &state.workers[i]) < 0)
			abort();
	}
	uv_run(&loop, UV_RUN_DEFAULT);
}

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
	unsigned int now;
};

/* A request being served. */
struct work {
	uv_timer_t timer;
	struct worker *worker;
	struct zr_http_exchange *exchange;
	bool answers;
};

static struct {
	uv_loop_t *loop;
	struct worker workers[BENCH_WORKERS];
	unsigned int serve_ms;
	unsigned int most;
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

static void on_end(uv_timer_t *timer)
{
	struct work *work = timer->data;

	work->worker->now--;
	if (work->answers)
		reply(work->exchange,
		      work->worker->fault == BENCH_FAILING ? 500 : 200);
	uv_close((uv_handle_t *)timer, on_closed);
}

static void reply_counts(struct zr_http_exchange *exchange)
{
	char text[TEXT_MAX];

	snprintf(text, sizeof(text), "served=%lu most=%u", state.served,
		 state.most);
	zr_http_reply(exchange, 200, "text/plain", text, strlen(text));
}

/* How long the worker is at work, and whether it answers then. */
static unsigned int plan(struct work *work)
{
	const char *text = zr_http_get_header(work->exchange, "x-deadline-ms");
	unsigned int deadline = text ? (unsigned int)atoi(text) : 1000;
	unsigned int ms = state.serve_ms;

	if (work->worker->fault == BENCH_SLOW)
		ms *= SLOW_FACTOR;
	work->answers = work->worker->fault != BENCH_SILENT && ms <= deadline;
	return work->answers ? ms : deadline;
}

static void on_request(void *ctx, struct zr_http_exchange *exchange)
{
	struct worker *worker = ctx;
	struct work *work;

	if (!strcmp(zr_http_get_path(exchange), "/counts")) {
		reply_counts(exchange);
		return;
	}
	work = calloc(1, sizeof(*work));
	if (!work)
		abort();
	state.served++;
	if (++worker->now > state.most)
		state.most = worker->now;
	work->worker = worker;
	work->exchange = exchange;
	uv_timer_init(state.loop, &work->timer);
	work->timer.data = work;
	uv_timer_start(&work->timer, on_end, plan(work), 0);
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

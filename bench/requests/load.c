#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net/http_client.h"
#include "requests/requests.h"
#include "zinniarack/errors.h"

#define TICK_MS 1
#define NS_PER_MS 1e6
#define NS_PER_S 1e9
/* A pool is searched from its front, so several small ones are used. */
#define POOLS 32
#define POOL_CONNECTIONS 64
/* What the load waits beyond a deadline to tell late from lost. */
#define GRACE_MS 2000
#define BODY_MAX 32
#define PATH_MAX_BYTES 64

struct load {
	const struct bench_load *options;
	struct bench_result *result;
	uv_loop_t loop;
	uv_timer_t timer;
	struct zr_http_client *clients[POOLS];
	unsigned int client_count;
	uint64_t started;
	unsigned int open;
	bool over;
	double *latencies;
	size_t latency_count;
	size_t latency_capacity;
};

struct request {
	struct load *load;
	uint64_t sent;
	char body[BODY_MAX];
};

static void send_one(struct load *load);

static void keep_latency(struct load *load, double ms)
{
	if (load->latency_count == load->latency_capacity) {
		load->latency_capacity = load->latency_capacity * 2 + 1024;
		load->latencies =
			reallocarray(load->latencies, load->latency_capacity,
				     sizeof(*load->latencies));
		if (!load->latencies)
			abort();
	}
	load->latencies[load->latency_count++] = ms;
}

static void count_answer(const struct request *request,
			 const struct zr_http_response *answer, double ms)
{
	struct bench_result *result = request->load->result;

	if (answer->status == 503) {
		result->refused++;
		return;
	}
	if (answer->status == 502) {
		result->unknown++;
		return;
	}
	keep_latency(request->load, ms);
	if (strcmp(answer->body, request->body))
		result->wrong++;
	else if (answer->status != 200)
		result->failed++;
	else if (ms <= request->load->options->timeout_ms)
		result->good++;
	else
		result->late++;
}

static void on_answer(void *ctx, int error,
		      const struct zr_http_response *answer)
{
	struct request *request = ctx;
	struct load *load = request->load;
	double ms = (double)(uv_hrtime() - request->sent) / NS_PER_MS;

	load->open--;
	if (!error)
		count_answer(request, answer, ms);
	else if (load->options->direct && error == ZR_E_OUTCOME_UNKNOWN)
		load->result->unknown++;
	else
		load->result->broken++;
	free(request);
	if (!load->over && !load->options->per_second)
		send_one(load);
	if (load->over && !load->open)
		uv_stop(&load->loop);
}

static void send_one(struct load *load)
{
	struct request *request = calloc(1, sizeof(*request));
	char path[PATH_MAX_BYTES];
	struct zr_http_call call = {
		.method = "POST",
		.path = path,
		.content_type = "text/plain",
		.timeout_ms = load->options->timeout_ms + GRACE_MS,
	};

	if (!request)
		abort();
	request->load = load;
	request->sent = uv_hrtime();
	snprintf(request->body, sizeof(request->body), "face %u",
		 load->result->offered);
	snprintf(path, sizeof(path), "/v1/serve/%s?timeout_ms=%u",
		 BENCH_SERVICE, load->options->timeout_ms);
	call.body = request->body;
	call.body_length = strlen(request->body);
	load->open++;
	zr_http_client_call(
		load->clients[load->result->offered++ % load->client_count],
		&call, on_answer, request);
}

static void on_tick(uv_timer_t *timer)
{
	struct load *load = timer->data;
	double elapsed = (double)(uv_hrtime() - load->started) / NS_PER_S;
	const struct bench_load *options = load->options;
	double due = elapsed * options->per_second;

	if (elapsed >= options->seconds) {
		load->over = true;
		load->result->seconds = elapsed;
		uv_timer_stop(timer);
		if (!load->open)
			uv_stop(&load->loop);
		return;
	}
	while (options->per_second && load->result->offered < due)
		send_one(load);
}

static void open_clients(struct load *load, const struct bench_cell *cell)
{
	struct zr_http_client_options options = ZR_HTTP_CLIENT_OPTIONS_INIT;
	unsigned int count = load->options->direct ? BENCH_WORKERS : POOLS;
	unsigned int i;

	options.max_connections = POOL_CONNECTIONS;
	options.max_waiting = 1 << 20;
	for (i = 0; i < count; i++) {
		const char *address =
			load->options->direct ? cell->workers[i] : cell->entry;

		if (zr_http_client_new(&load->clients[i], &load->loop, address,
				       &options) < 0)
			abort();
	}
	load->client_count = count;
}

static int compare(const void *a, const void *b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return left < right ? -1 : left > right;
}

static void report(struct load *load)
{
	size_t count = load->latency_count;

	if (!count)
		return;
	qsort(load->latencies, count, sizeof(*load->latencies), compare);
	load->result->p50_ms = load->latencies[count / 2];
	load->result->p99_ms = load->latencies[count * 99 / 100];
}

void bench_load_run(struct bench_result *out, const struct bench_cell *cell,
		    const struct bench_load *options)
{
	struct load load = {.options = options, .result = out};
	unsigned int i;

	memset(out, 0, sizeof(*out));
	uv_loop_init(&load.loop);
	open_clients(&load, cell);
	uv_timer_init(&load.loop, &load.timer);
	load.timer.data = &load;
	load.started = uv_hrtime();
	uv_timer_start(&load.timer, on_tick, TICK_MS, TICK_MS);
	for (i = 0; !options->per_second && i < options->in_flight; i++)
		send_one(&load);
	uv_run(&load.loop, UV_RUN_DEFAULT);
	report(&load);
	for (i = 0; i < load.client_count; i++)
		zr_http_client_free(load.clients[i]);
	uv_close((uv_handle_t *)&load.timer, NULL);
	uv_run(&load.loop, UV_RUN_DEFAULT);
	uv_loop_close(&load.loop);
	free(load.latencies);
}

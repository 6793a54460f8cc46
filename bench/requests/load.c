#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net/http_client.h"
#include "requests/requests.h"
#include "zinniarack/errors.h"

#define SEND_INTERVAL_MS 1
#define NS_PER_MS 1e6
#define NS_PER_S 1e9
/* A client searches its connections linearly, so several clients are used. */
#define CLIENT_COUNT 32
#define CONNECTIONS_PER_CLIENT 64
/* Time after the timeout for which a response still counts as late. */
#define LATE_RESPONSE_MS 2000
#define BODY_SIZE 32
#define PATH_SIZE 64

struct load {
	const struct bench_load *options;
	struct bench_result *result;
	uv_loop_t loop;
	uv_timer_t timer;
	struct zr_http_client *clients[CLIENT_COUNT];
	unsigned int client_count;
	uint64_t started_at_ns;
	unsigned int open_requests;
	bool stopping;
	double *latencies;
	size_t latency_count;
	size_t latency_alloc;
};

struct request {
	struct load *load;
	uint64_t sent_at_ns;
	char body[BODY_SIZE];
};

static void send_request(struct load *load);

static void add_latency(struct load *load, double ms)
{
	if (load->latency_count == load->latency_alloc) {
		load->latency_alloc = load->latency_alloc * 2 + 1024;
		load->latencies =
			reallocarray(load->latencies, load->latency_alloc,
				     sizeof(*load->latencies));
		if (!load->latencies)
			abort();
	}
	load->latencies[load->latency_count++] = ms;
}

static void count_response(const struct request *request,
			   const struct zr_http_response *response, double ms)
{
	struct bench_result *result = request->load->result;

	if (response->status == 503) {
		result->refused++;
		return;
	}
	if (response->status == 502) {
		result->outcome_unknown++;
		return;
	}
	add_latency(request->load, ms);
	if (strcmp(response->body, request->body))
		result->mismatched++;
	else if (response->status != 200)
		result->failed++;
	else if (ms <= request->load->options->timeout_ms)
		result->in_time++;
	else
		result->late++;
}

static void on_response(void *ctx, int error,
			const struct zr_http_response *response)
{
	struct request *request = ctx;
	struct load *load = request->load;
	double ms = (double)(uv_hrtime() - request->sent_at_ns) / NS_PER_MS;

	load->open_requests--;
	if (!error)
		count_response(request, response, ms);
	else if (load->options->direct && error == ZR_E_OUTCOME_UNKNOWN)
		load->result->outcome_unknown++;
	else
		load->result->no_response++;
	free(request);
	if (!load->stopping && !load->options->requests_per_s)
		send_request(load);
	if (load->stopping && !load->open_requests)
		uv_stop(&load->loop);
}

static void send_request(struct load *load)
{
	struct request *request = calloc(1, sizeof(*request));
	char path[PATH_SIZE];
	struct zr_http_call call = {
		.method = "POST",
		.path = path,
		.content_type = "text/plain",
		.timeout_ms = load->options->timeout_ms + LATE_RESPONSE_MS,
	};

	if (!request)
		abort();
	request->load = load;
	request->sent_at_ns = uv_hrtime();
	snprintf(request->body, sizeof(request->body), "face %u",
		 load->result->offered);
	snprintf(path, sizeof(path), "/v1/serve/%s?timeout_ms=%u",
		 BENCH_SERVICE, load->options->timeout_ms);
	call.body = request->body;
	call.body_length = strlen(request->body);
	load->open_requests++;
	zr_http_client_call(
		load->clients[load->result->offered++ % load->client_count],
		&call, on_response, request);
}

static void on_tick(uv_timer_t *timer)
{
	struct load *load = timer->data;
	double elapsed = (double)(uv_hrtime() - load->started_at_ns) / NS_PER_S;
	const struct bench_load *options = load->options;
	double due_count = elapsed * options->requests_per_s;

	if (elapsed >= options->seconds) {
		load->stopping = true;
		load->result->seconds = elapsed;
		uv_timer_stop(timer);
		if (!load->open_requests)
			uv_stop(&load->loop);
		return;
	}
	while (options->requests_per_s && load->result->offered < due_count)
		send_request(load);
}

static void open_clients(struct load *load, const struct bench_cell *cell)
{
	struct zr_http_client_options options = ZR_HTTP_CLIENT_OPTIONS_INIT;
	unsigned int count =
		load->options->direct ? BENCH_WORKERS : CLIENT_COUNT;
	unsigned int i;

	options.max_connections = CONNECTIONS_PER_CLIENT;
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

static int compare_latencies(const void *a, const void *b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return left < right ? -1 : left > right;
}

static void compute_percentiles(struct load *load)
{
	size_t count = load->latency_count;

	if (!count)
		return;
	qsort(load->latencies, count, sizeof(*load->latencies),
	      compare_latencies);
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
	load.started_at_ns = uv_hrtime();
	uv_timer_start(&load.timer, on_tick, SEND_INTERVAL_MS,
		       SEND_INTERVAL_MS);
	for (i = 0; !options->requests_per_s && i < options->in_flight; i++)
		send_request(&load);
	uv_run(&load.loop, UV_RUN_DEFAULT);
	compute_percentiles(&load);
	for (i = 0; i < load.client_count; i++)
		zr_http_client_free(load.clients[i]);
	uv_close((uv_handle_t *)&load.timer, NULL);
	uv_run(&load.loop, UV_RUN_DEFAULT);
	uv_loop_close(&load.loop);
	free(load.latencies);
}

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uv.h>

#include "capacity/capacity.h"
#include "capacity/server.h"
#include "msg_grants.h"
#include "msg_journal.h"
#include "worker/http_worker.h"
#include "zinniarack/config.h"

/* Sizes of messages, measured on messages that the real code encodes. */

#define SYNC_COUNT 400
#define START_COUNT 50
#define EPOCH 12
#define LEASE_TOKEN 1796300000000

/* Calls to a worker, one after the other. */
struct call_series {
	struct zr_worker worker;
	size_t remaining_calls;
	struct zr_worker_start start;
	bool failed;
};

static void send_sync(struct call_series *series);

static void on_report(void *ctx, int error,
		      const struct zr_worker_report *report)
{
	struct call_series *series = ctx;

	(void)report;
	if (error < 0)
		series->failed = true;
	else if (--series->remaining_calls)
		send_sync(series);
}

static void send_sync(struct call_series *series)
{
	const struct zr_worker_sync sync = {
		.epoch = EPOCH,
		.incarnation = EPOCH,
		.lease_token = LEASE_TOKEN,
		.lease_ms = 10000,
		.last_end_acked = 1000,
		.wait_ms = 500,
	};

	series->worker.ops->sync(series->worker.impl, &sync, on_report, series);
}

static void send_start(struct call_series *series);

static void on_started(void *ctx, int error)
{
	struct call_series *series = ctx;

	if (error < 0)
		series->failed = true;
	else if (--series->remaining_calls)
		send_start(series);
}

static void send_start(struct call_series *series)
{
	series->worker.ops->start(series->worker.impl, &series->start,
				  on_started, series);
}

/* Body of a sync response as tests/standins/worker.c sends it. */
static char *report_body(uint32_t tasks)
{
	json_t *list = json_array();
	char id[ZR_TASK_ID_MAX];
	json_t *report;
	char *body;
	uint32_t i;

	for (i = 0; i < tasks; i++) {
		snprintf(id, sizeof(id), "sapporo-12-%u/0/1", 100000 + i);
		json_array_append_new(list, json_pack("{s:s, s:i, s:i, s:i}",
						      "id", id, "millicpus",
						      1000, "memory_mb", 4000,
						      "accelerators", 0));
	}
	report = json_pack("{s:I, s:I, s:I, s:b, s:o, s:[]}", "epoch",
			   (json_int_t)EPOCH, "boot", (json_int_t)EPOCH,
			   "token", (json_int_t)LEASE_TOKEN, "fences", 1,
			   "tasks", list, "ends");
	body = json_dumps(report, JSON_COMPACT);
	json_decref(report);
	if (!body)
		abort();
	return body;
}

static void run_series(uv_loop_t *loop, struct call_series *series)
{
	while (series->remaining_calls && !series->failed)
		uv_run(loop, UV_RUN_ONCE);
	if (series->failed)
		abort();
}

static void measure_sync(struct capacity *out, uint32_t tasks)
{
	struct call_series series = {.remaining_calls = 1};
	char *body = report_body(tasks);
	struct server *server;
	uv_loop_t loop;
	size_t before[3];
	size_t after[3];
	double cpu_us;

	uv_loop_init(&loop);
	server = server_new(&loop);
	server_set_response(server, body, strlen(body));
	if (zr_http_worker_new(&series.worker, &loop, server_address(server)) <
	    0)
		abort();
	/* The first call opens the connection. */
	send_sync(&series);
	run_series(&loop, &series);
	server_get_counts(server, &before[0], &before[1], &before[2]);
	series.remaining_calls = SYNC_COUNT;
	cpu_us = capacity_cpu_us();
	send_sync(&series);
	run_series(&loop, &series);
	cpu_us = capacity_cpu_us() - cpu_us;
	server_get_counts(server, &after[0], &after[1], &after[2]);
	line_add(&out->sync_request_bytes, tasks,
		 (double)(after[0] - before[0]) / SYNC_COUNT);
	line_add(&out->sync_response_bytes, tasks,
		 (double)(after[1] - before[1]) / SYNC_COUNT);
	line_add(&out->sync_cpu_us, tasks, cpu_us / SYNC_COUNT);
	series.worker.ops->free(series.worker.impl);
	server_free(server);
	uv_run(&loop, UV_RUN_DEFAULT);
	uv_loop_close(&loop);
	free(body);
}

static void measure_start(struct capacity *out, uint32_t command_bytes)
{
	char *command = calloc(1, command_bytes + 1);
	struct call_series series = {.remaining_calls = START_COUNT};
	struct server *server;
	uv_loop_t loop;
	size_t counts[3];

	if (!command)
		abort();
	memset(command, 'x', command_bytes);
	series.start = (struct zr_worker_start){
		.epoch = EPOCH,
		.incarnation = EPOCH,
		.lease_token = LEASE_TOKEN,
		.id = "sapporo-12-100000/0/1",
		.size = {1000, 4000, 0},
		.lease_ms = 10000,
		.service = "",
		.command = command,
	};
	uv_loop_init(&loop);
	server = server_new(&loop);
	server_set_response(server, "{}", 2);
	if (zr_http_worker_new(&series.worker, &loop, server_address(server)) <
	    0)
		abort();
	send_start(&series);
	run_series(&loop, &series);
	server_get_counts(server, &counts[0], &counts[1], &counts[2]);
	line_add(&out->start_request_bytes, command_bytes,
		 (double)counts[0] / START_COUNT);
	series.worker.ops->free(series.worker.impl);
	server_free(server);
	uv_run(&loop, UV_RUN_DEFAULT);
	uv_loop_close(&loop);
	free(command);
}

static void measure_accepted_record(struct capacity *out,
				    uint32_t command_bytes)
{
	char *command = calloc(1, command_bytes + 1);
	zx_record record = {.kind = ZX_RECORD_ACCEPTED};
	zx_job_spec *spec = &record.zx_record_u.accepted.spec;

	if (!command)
		abort();
	memset(command, 'x', command_bytes);
	spec->name = "passport-reprint";
	spec->team = "photo";
	spec->queue = "reprints";
	spec->idempotency_key = "8f14e45f-ceea-467f-9c0e-1f2d3a4b5c6d";
	spec->command = command;
	line_add(&out->accepted_bytes, command_bytes,
		 (double)xdr_sizeof((xdrproc_t)xdr_zx_record, &record));
	free(command);
}

/*
 * Prints the sizes of grant messages: full, incremental at constant demand and
 * incremental at changing demand. The line is of the last, which the daemons
 * use.
 */
static void measure_grants(struct capacity *out, uint32_t workers)
{
	double request_bytes;
	double result_bytes;

	result_bytes =
		grant_message_bytes(&request_bytes, workers, false, false);
	printf("grants, %u workers, full: request %.0f, result %.0f bytes\n",
	       workers, request_bytes, result_bytes);
	result_bytes = grant_message_bytes(&request_bytes, workers, true, true);
	printf("grants, %u workers, incremental, constant demand: request "
	       "%.0f, result %.0f bytes\n",
	       workers, request_bytes, result_bytes);
	result_bytes =
		grant_message_bytes(&request_bytes, workers, true, false);
	printf("grants, %u workers, incremental: request %.0f, result "
	       "%.0f bytes\n",
	       workers, request_bytes, result_bytes);
	line_add(&out->grant_bytes, workers, request_bytes + result_bytes);
}

/* The host list as tests/standins/platform.c sends it, with workers only. */
static void measure_host_list(struct capacity *out, uint32_t hosts)
{
	json_t *list = json_array();
	json_t *body;
	char *text;
	uint32_t i;

	for (i = 0; i < hosts; i++)
		json_array_append_new(
			list,
			json_pack("{s:s, s:s, s:s, s:s, s:s, s:b, s:i, s:i, "
				  "s:i, s:i}",
				  "kind", "worker", "name", "worker-100",
				  "domain", "sapporo", "rack", "rack-12",
				  "address", "10.20.30.40:8080", "leaving", 0,
				  "millicpus", 30000, "memory_mb", 133120,
				  "accelerators", 1, "slots", 8));
	body = json_pack("{s:o}", "hosts", list);
	text = json_dumps(body, JSON_COMPACT);
	if (!text)
		abort();
	line_add(&out->host_list_bytes, hosts, (double)strlen(text));
	free(text);
	json_decref(body);
}

static void measure_config(struct capacity *out, uint32_t count)
{
	struct zr_config_team *teams = calloc(count, sizeof(*teams));
	struct zr_config_queue *queues = calloc(count, sizeof(*queues));
	struct zr_config_key *keys = calloc(count, sizeof(*keys));
	struct zr_config config = {
		.version = 850,
		.teams = teams,
		.teams_count = count,
		.queues = queues,
		.queues_count = count,
		.keys = keys,
		.keys_count = count,
	};
	size_t length;
	char *text;
	uint32_t i;

	for (i = 0; i < count; i++) {
		teams[i].name = "branch-muscat";
		teams[i].share = 4;
		teams[i].limit = (struct zr_resources){600000, 2400000, 40};
		queues[i].name = "reclaims-muscat";
		queues[i].team = "branch-muscat";
		queues[i].worth = 10;
		keys[i].id = "branch-muscat-2026";
		keys[i].team = "branch-muscat";
		keys[i].salt = "0123456789abcdef0123456789abcdef";
		keys[i].sha256 = "0123456789abcdef0123456789abcdef"
				 "0123456789abcdef0123456789abcdef";
	}
	if (zr_config_print(&text, &length, &config) < 0)
		abort();
	line_add(&out->config_bytes, count, (double)length);
	free(text);
	free(teams);
	free(queues);
	free(keys);
}

static void measure_polled_lists(struct capacity *out)
{
	static const uint32_t hosts[] = {100, 200, 400, 800};
	static const uint32_t teams[] = {4, 8, 16, 32};
	size_t i;

	out->host_list_bytes.name = "host list by hosts, bytes";
	out->config_bytes.name = "configuration by teams, bytes";
	for (i = 0; i < 4; i++) {
		measure_host_list(out, hosts[i]);
		measure_config(out, teams[i]);
	}
	line_fit(&out->host_list_bytes);
	line_fit(&out->config_bytes);
}

void capacity_wire(struct capacity *out)
{
	static const uint32_t tasks[] = {0, 6, 12, 24, 48};
	static const uint32_t command_sizes[] = {0, 64, 256, 1024};
	static const uint32_t workers[] = {25, 50, 100, 200};
	size_t i;

	out->sync_request_bytes.name =
		"sync request by tasks on the worker, bytes";
	out->sync_response_bytes.name =
		"sync response by tasks on the worker, bytes";
	out->sync_cpu_us.name =
		"processor time of a sync, with the bench's server, "
		"by tasks, us";
	out->start_request_bytes.name =
		"start request by bytes of command, bytes";
	out->accepted_bytes.name = "ACCEPTED record by bytes of command, bytes";
	out->grant_bytes.name =
		"grant request and result by workers granted, bytes";
	for (i = 0; i < 5; i++)
		measure_sync(out, tasks[i]);
	for (i = 0; i < 4; i++) {
		measure_start(out, command_sizes[i]);
		measure_accepted_record(out, command_sizes[i]);
		measure_grants(out, workers[i]);
	}
	line_fit(&out->sync_request_bytes);
	line_fit(&out->sync_response_bytes);
	line_fit(&out->sync_cpu_us);
	line_fit(&out->start_request_bytes);
	line_fit(&out->accepted_bytes);
	line_fit(&out->grant_bytes);
	measure_polled_lists(out);
}

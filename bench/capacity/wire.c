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

/* Bytes of messages on the wire, by encoding the real ones. */

#define SYNCS 400
#define STARTS 50
#define EPOCH 12
#define TOKEN 1796300000000

struct exchange {
	struct zr_worker worker;
	size_t left;
	struct zr_worker_start start;
	bool failed;
};

static void send_sync(struct exchange *exchange);

static void on_report(void *ctx, int error,
		      const struct zr_worker_report *report)
{
	struct exchange *exchange = ctx;

	(void)report;
	if (error < 0)
		exchange->failed = true;
	else if (--exchange->left)
		send_sync(exchange);
}

static void send_sync(struct exchange *exchange)
{
	const struct zr_worker_sync sync = {
		.epoch = EPOCH,
		.incarnation = EPOCH,
		.lease_token = TOKEN,
		.lease_ms = 10000,
		.last_end_acked = 1000,
		.wait_ms = 500,
	};

	exchange->worker.ops->sync(exchange->worker.impl, &sync, on_report,
				   exchange);
}

static void send_start(struct exchange *exchange);

static void on_started(void *ctx, int error)
{
	struct exchange *exchange = ctx;

	if (error < 0)
		exchange->failed = true;
	else if (--exchange->left)
		send_start(exchange);
}

static void send_start(struct exchange *exchange)
{
	exchange->worker.ops->start(exchange->worker.impl, &exchange->start,
				    on_started, exchange);
}

/* As tests/standins/worker.c answers a sync. */
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
			   "token", (json_int_t)TOKEN, "fences", 1, "tasks",
			   list, "ends");
	body = json_dumps(report, JSON_COMPACT);
	json_decref(report);
	if (!body)
		abort();
	return body;
}

static void run(uv_loop_t *loop, struct exchange *exchange)
{
	while (exchange->left && !exchange->failed)
		uv_run(loop, UV_RUN_ONCE);
	if (exchange->failed)
		abort();
}

static void sync_at(struct capacity *out, uint32_t tasks)
{
	struct exchange exchange = {.left = 1};
	char *body = report_body(tasks);
	struct server *server;
	uv_loop_t loop;
	size_t before[3];
	size_t after[3];
	double cpu;

	uv_loop_init(&loop);
	server = server_new(&loop);
	server_answer(server, body, strlen(body));
	if (zr_http_worker_new(&exchange.worker, &loop,
			       server_address(server)) < 0)
		abort();
	/* The first call opens the connection. */
	send_sync(&exchange);
	run(&loop, &exchange);
	server_counts(server, &before[0], &before[1], &before[2]);
	exchange.left = SYNCS;
	cpu = capacity_cpu_us();
	send_sync(&exchange);
	run(&loop, &exchange);
	cpu = capacity_cpu_us() - cpu;
	server_counts(server, &after[0], &after[1], &after[2]);
	line_add(&out->sync_out, tasks, (double)(after[0] - before[0]) / SYNCS);
	line_add(&out->sync_in, tasks, (double)(after[1] - before[1]) / SYNCS);
	line_add(&out->sync_us, tasks, cpu / SYNCS);
	exchange.worker.ops->free(exchange.worker.impl);
	server_free(server);
	uv_run(&loop, UV_RUN_DEFAULT);
	uv_loop_close(&loop);
	free(body);
}

static void start_at(struct capacity *out, uint32_t command_bytes)
{
	char *command = calloc(1, command_bytes + 1);
	struct exchange exchange = {.left = STARTS};
	struct server *server;
	uv_loop_t loop;
	size_t counts[3];

	if (!command)
		abort();
	memset(command, 'x', command_bytes);
	exchange.start = (struct zr_worker_start){
		.epoch = EPOCH,
		.incarnation = EPOCH,
		.lease_token = TOKEN,
		.id = "sapporo-12-100000/0/1",
		.size = {1000, 4000, 0},
		.lease_ms = 10000,
		.service = "",
		.command = command,
	};
	uv_loop_init(&loop);
	server = server_new(&loop);
	server_answer(server, "{}", 2);
	if (zr_http_worker_new(&exchange.worker, &loop,
			       server_address(server)) < 0)
		abort();
	send_start(&exchange);
	run(&loop, &exchange);
	server_counts(server, &counts[0], &counts[1], &counts[2]);
	line_add(&out->start_out, command_bytes, (double)counts[0] / STARTS);
	exchange.worker.ops->free(exchange.worker.impl);
	server_free(server);
	uv_run(&loop, UV_RUN_DEFAULT);
	uv_loop_close(&loop);
	free(command);
}

static void accepted_at(struct capacity *out, uint32_t command_bytes)
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

/* An ask and its answer, as they go on while demand differs at each ask. */
static void grants_at(struct capacity *out, uint32_t workers)
{
	double ask;
	double answer;

	answer = slots_bytes_at(&ask, workers, false, false);
	printf("slots, %u workers, all listed: ask %.0f, answer %.0f bytes\n",
	       workers, ask, answer);
	answer = slots_bytes_at(&ask, workers, true, true);
	printf("slots, %u workers, changes, even demand: ask %.0f, answer "
	       "%.0f bytes\n",
	       workers, ask, answer);
	answer = slots_bytes_at(&ask, workers, true, false);
	printf("slots, %u workers, changes: ask %.0f, answer %.0f bytes\n",
	       workers, ask, answer);
	line_add(&out->grant_bytes, workers, ask + answer);
}

/* As tests/standins/platform.c shows a worker. */
static void hosts_at(struct capacity *out, uint32_t hosts)
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
	line_add(&out->hosts_bytes, hosts, (double)strlen(text));
	free(text);
	json_decref(body);
}

static void config_at(struct capacity *out, uint32_t count)
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

static void lists(struct capacity *out)
{
	static const uint32_t hosts[] = {100, 200, 400, 800};
	static const uint32_t teams[] = {4, 8, 16, 32};
	size_t i;

	out->hosts_bytes.name = "host list by hosts, bytes";
	out->config_bytes.name = "configuration by teams, bytes";
	for (i = 0; i < 4; i++) {
		hosts_at(out, hosts[i]);
		config_at(out, teams[i]);
	}
	line_fit(&out->hosts_bytes);
	line_fit(&out->config_bytes);
}

void capacity_wire(struct capacity *out)
{
	static const uint32_t tasks[] = {0, 6, 12, 24, 48};
	static const uint32_t bytes[] = {0, 64, 256, 1024};
	static const uint32_t workers[] = {25, 50, 100, 200};
	size_t i;

	out->sync_out.name = "request of a sync by tasks on the worker, bytes";
	out->sync_in.name = "answer to a sync by tasks on the worker, bytes";
	out->sync_us.name =
		"processor time of a sync, with the bench's own end "
		"of the connection, by tasks, us";
	out->start_out.name = "request of a start by bytes of command, bytes";
	out->accepted_bytes.name = "ACCEPTED record by bytes of command, bytes";
	out->grant_bytes.name =
		"ask for slots and its answer by workers granted, bytes";
	for (i = 0; i < 5; i++)
		sync_at(out, tasks[i]);
	for (i = 0; i < 4; i++) {
		start_at(out, bytes[i]);
		accepted_at(out, bytes[i]);
		grants_at(out, workers[i]);
	}
	line_fit(&out->sync_out);
	line_fit(&out->sync_in);
	line_fit(&out->sync_us);
	line_fit(&out->start_out);
	line_fit(&out->accepted_bytes);
	line_fit(&out->grant_bytes);
	lists(out);
}

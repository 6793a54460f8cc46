/*
 * Stands in for workers in tests: one process serves several, one a port. A
 * command is `run MS [RESULT]`, `fail MS` or `serve MS [silent]`. Each task
 * that begins or ends adds a line to the ledger, which tests read to count
 * runs: what, the task, the worker, and the monotonic time in milliseconds.
 *
 * A short request adds none; GET /v1/serving gives how many are and were open,
 * and how many came in all.
 * It is given up when the deadline that came with it has passed. A silent
 * service takes requests and never answers.
 */
#include <argp.h>
#include <inttypes.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>

#include "net/http_server.h"
#include "zinniarack/clock.h"
#include "zinniarack/errors.h"
#include "zinniarack/job.h"

#define TICK_MS 10
#define USED_PERCENT 70
#define ADDRESS_MAX 64
#define RESULT_MAX 256
#define WORKERS_MAX 256

struct task {
	UT_hash_handle hh;
	char id[ZR_TASK_ID_MAX];
	char service[ZR_NAME_MAX];
	struct zr_resources size;
	struct timespec ends;
	bool fails;
	bool serves;
	unsigned int serve_ms;
	char result[RESULT_MAX];
	bool ended;
	bool succeeded;
	bool stopped;
	uint64_t sequence;
};

struct held_sync {
	struct held_sync *prev;
	struct held_sync *next;
	struct worker *worker;
	struct zr_http_exchange *exchange;
	struct timespec until;
	uint64_t acknowledged;
	uint64_t seen;
};

struct served {
	uv_timer_t timer;
	bool abandoned;
	struct worker *worker;
	struct zr_http_exchange *exchange;
};

struct worker {
	char name[ZR_NAME_MAX];
	struct zr_http_server *server;
	struct task *tasks;
	struct held_sync *syncs;
	uint64_t epoch;
	uint64_t boot;
	uint64_t sequence;
	struct timespec lease;
	unsigned int serving;
	unsigned int most_serving;
	unsigned int served;
};

static struct {
	unsigned int base_port;
	unsigned int count;
	const char *ledger_path;
	FILE *ledger;
	struct worker workers[WORKERS_MAX];
} state = {.count = 1};

static struct timespec now(void)
{
	return zr_clock_now(zr_clock_system());
}

static void note(const struct worker *worker, const char *what, const char *id)
{
	if (!state.ledger)
		return;
	fprintf(state.ledger, "%s %s %s %" PRId64 "\n", what, id, worker->name,
		zr_time_to_ms(now()));
	fflush(state.ledger);
}

static void reply_json(struct zr_http_exchange *exchange, int status,
		       json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);

	zr_http_reply(exchange, status, "application/json", text, strlen(text));
	free(text);
	json_decref(json);
}

static void reply_status(struct zr_http_exchange *exchange, int status)
{
	reply_json(exchange, status, json_object());
}

/* Tasks */

static void end_task(struct worker *worker, struct task *task, bool succeeded,
		     bool stopped)
{
	if (task->ended)
		return;
	task->ended = true;
	task->succeeded = succeeded;
	task->stopped = stopped;
	task->sequence = ++worker->sequence;
	note(worker, stopped ? "stop" : "end", task->id);
}

static void read_command(struct task *task, const char *command)
{
	unsigned int ms = 0;
	char verb[16] = "";

	sscanf(command, "%15s %u %255[^\n]", verb, &ms, task->result);
	task->fails = !strcmp(verb, "fail");
	task->serves = !strcmp(verb, "serve");
	task->serve_ms = ms;
	task->ends = zr_time_add_ms(now(), ms);
}

static uint32_t read_number(json_t *request, const char *field)
{
	return (uint32_t)json_integer_value(json_object_get(request, field));
}

static const char *read_string(json_t *request, const char *field)
{
	const char *text = json_string_value(json_object_get(request, field));

	return text ? text : "";
}

/* A token is the time of its issue, so that it needs no record. */
static struct timespec lease_end(const struct worker *worker, json_t *request)
{
	int64_t boot = json_integer_value(json_object_get(request, "boot"));
	int64_t token = json_integer_value(json_object_get(request, "token"));

	if ((uint64_t)boot != worker->boot)
		token = 0;
	return zr_time_from_ms(token ? token + read_number(request, "lease_ms")
				     : 0);
}

static void renew(struct worker *worker, struct timespec until)
{
	if (zr_time_cmp(worker->lease, until) < 0)
		worker->lease = until;
}

static void serve_start(struct worker *worker,
			struct zr_http_exchange *exchange, json_t *request)
{
	struct timespec until = lease_end(worker, request);
	const char *id = read_string(request, "id");
	struct task *task;

	HASH_FIND_STR(worker->tasks, id, task);
	if (task || zr_time_cmp(until, now()) <= 0) {
		reply_status(exchange, task ? 200 : 412);
		return;
	}
	task = calloc(1, sizeof(*task));
	snprintf(task->id, sizeof(task->id), "%s", id);
	snprintf(task->service, sizeof(task->service), "%s",
		 read_string(request, "service"));
	task->size.millicpus = read_number(request, "millicpus");
	task->size.memory_mb = read_number(request, "memory_mb");
	task->size.accelerators = read_number(request, "accelerators");
	read_command(task, read_string(request, "command"));
	HASH_ADD_STR(worker->tasks, id, task);
	renew(worker, until);
	note(worker, "start", task->id);
	reply_status(exchange, 201);
}

static void serve_stop(struct worker *worker, struct zr_http_exchange *exchange,
		       json_t *request)
{
	struct task *task;
	const char *id = read_string(request, "id");

	HASH_FIND_STR(worker->tasks, id, task);
	if (task && strcmp(read_string(request, "mode"), "throttle"))
		end_task(worker, task, false, true);
	reply_status(exchange, task ? 200 : 404);
}

/* Syncs */

/* A task uses part of what it is given, whatever it is given. */
static int used(uint32_t given)
{
	return (int)((uint64_t)given * USED_PERCENT / 100);
}

static json_t *report_json(const struct worker *worker, uint64_t acknowledged)
{
	json_t *tasks = json_array();
	json_t *ends = json_array();
	const struct task *task;

	for (task = worker->tasks; task; task = task->hh.next) {
		if (!task->ended)
			json_array_append_new(
				tasks, json_pack("{s:s, s:i, s:i, s:i}", "id",
						 task->id, "millicpus",
						 used(task->size.millicpus),
						 "memory_mb",
						 used(task->size.memory_mb),
						 "accelerators",
						 (int)task->size.accelerators));
		else if (task->sequence > acknowledged)
			json_array_append_new(
				ends,
				json_pack("{s:s, s:I, s:b, s:b, s:s}", "id",
					  task->id, "sequence",
					  (json_int_t)task->sequence,
					  "succeeded", (int)task->succeeded,
					  "stopped", (int)task->stopped,
					  "result", task->result));
	}
	return json_pack("{s:I, s:I, s:I, s:b, s:o, s:o}", "epoch",
			 (json_int_t)worker->epoch, "boot",
			 (json_int_t)worker->boot, "token",
			 (json_int_t)zr_time_to_ms(now()), "fences", 1, "tasks",
			 tasks, "ends", ends);
}

static void on_sync_gone(void *ctx)
{
	struct held_sync *sync = ctx;

	DL_DELETE(sync->worker->syncs, sync);
	free(sync);
}

static void serve_sync(struct worker *worker, struct zr_http_exchange *exchange,
		       json_t *request)
{
	struct held_sync *sync = calloc(1, sizeof(*sync));

	renew(worker, lease_end(worker, request));
	sync->worker = worker;
	sync->exchange = exchange;
	sync->acknowledged = read_number(request, "acknowledged");
	sync->seen = read_number(request, "seen");
	sync->until = zr_time_add_ms(now(), read_number(request, "wait_ms"));
	DL_APPEND(worker->syncs, sync);
	zr_http_set_on_disconnect(exchange, on_sync_gone, sync);
}

static void answer_syncs(struct worker *worker)
{
	struct held_sync *sync;
	struct held_sync *next;

	DL_FOREACH_SAFE(worker->syncs, sync, next)
	{
		if (worker->sequence <= sync->seen &&
		    zr_time_cmp(now(), sync->until) < 0)
			continue;
		DL_DELETE(worker->syncs, sync);
		reply_json(sync->exchange, 200,
			   report_json(worker, sync->acknowledged));
		free(sync);
	}
}

/* Short requests */

static void on_timer_closed(uv_handle_t *handle)
{
	free(handle->data);
}

static void on_served(uv_timer_t *timer)
{
	struct served *served = timer->data;
	size_t length = 0;
	const void *body;
	const char *id;

	served->worker->serving--;
	if (served->exchange && served->abandoned)
		zr_http_set_on_disconnect(served->exchange, NULL, NULL);
	else if (served->exchange) {
		body = zr_http_get_body(served->exchange, &length);
		id = zr_http_get_header(served->exchange, "x-request-id");
		zr_http_add_reply_header(served->exchange, "x-request-id",
					 id ? id : "");
		zr_http_reply(served->exchange, 200, "application/octet-stream",
			      body, length);
	}
	uv_close((uv_handle_t *)timer, on_timer_closed);
}

static void on_served_gone(void *ctx)
{
	struct served *served = ctx;

	served->exchange = NULL;
}

static const struct task *find_service(const struct worker *worker,
				       const char *service)
{
	const struct task *task;

	for (task = worker->tasks; task; task = task->hh.next) {
		if (!task->ended && !strcmp(task->service, service))
			return task;
	}
	return NULL;
}

static void serve_request(struct worker *worker,
			  struct zr_http_exchange *exchange,
			  const char *service)
{
	const struct task *task = find_service(worker, service);
	struct served *served;
	const char *deadline;
	unsigned int ms;

	if (!task) {
		reply_status(exchange, 404);
		return;
	}
	served = calloc(1, sizeof(*served));
	served->worker = worker;
	deadline = zr_http_get_header(exchange, "x-deadline-ms");
	ms = task->serve_ms;
	served->abandoned = !strcmp(task->result, "silent");
	if (deadline &&
	    (served->abandoned || strtoul(deadline, NULL, 10) < ms)) {
		served->abandoned = true;
		ms = (unsigned int)strtoul(deadline, NULL, 10);
	}
	served->exchange = exchange;
	worker->served++;
	if (++worker->serving > worker->most_serving)
		worker->most_serving = worker->serving;
	zr_http_set_on_disconnect(exchange, on_served_gone, served);
	uv_timer_init(uv_default_loop(), &served->timer);
	served->timer.data = served;
	uv_timer_start(&served->timer, on_served, ms, 0);
}

/* Dispatch */

static bool fenced(struct worker *worker, json_t *request)
{
	uint64_t epoch =
		(uint64_t)json_integer_value(json_object_get(request, "epoch"));

	if (epoch < worker->epoch)
		return true;
	worker->epoch = epoch;
	return false;
}

static void end_tasks(struct worker *worker);

static void dispatch(struct worker *worker, struct zr_http_exchange *exchange,
		     json_t *request)
{
	const char *path = zr_http_get_path(exchange);

	/* Leases that ended while this process was stopped have ended. */
	end_tasks(worker);
	if (fenced(worker, request))
		reply_status(exchange, 409);
	else if (!strcmp(path, "/v1/sync"))
		serve_sync(worker, exchange, request);
	else if (!strcmp(path, "/v1/start"))
		serve_start(worker, exchange, request);
	else if (!strcmp(path, "/v1/stop"))
		serve_stop(worker, exchange, request);
	else
		reply_status(exchange, 404);
}

static void on_request(void *ctx, struct zr_http_exchange *exchange)
{
	static const char serve[] = "/v1/serve/";
	const char *path = zr_http_get_path(exchange);
	struct worker *worker = ctx;
	json_t *request;
	const void *body;
	size_t length;

	if (!strcmp(path, "/v1/serving")) {
		reply_json(exchange, 200,
			   json_pack("{s:i, s:i, s:i}", "now",
				     (int)worker->serving, "most",
				     (int)worker->most_serving, "served",
				     (int)worker->served));
		return;
	}
	if (!strncmp(path, serve, sizeof(serve) - 1)) {
		serve_request(worker, exchange, path + sizeof(serve) - 1);
		return;
	}
	body = zr_http_get_body(exchange, &length);
	request = json_loadb(body ? body : "", length, 0, NULL);
	if (request)
		dispatch(worker, exchange, request);
	else
		reply_status(exchange, 400);
	json_decref(request);
}

static void end_tasks(struct worker *worker)
{
	bool lapsed = zr_time_cmp(now(), worker->lease) > 0;
	struct task *task;

	for (task = worker->tasks; task; task = task->hh.next) {
		if (task->ended)
			continue;
		if (lapsed)
			end_task(worker, task, false, true);
		else if (!task->serves && zr_time_cmp(now(), task->ends) >= 0)
			end_task(worker, task, !task->fails, false);
	}
}

static void tick_worker(struct worker *worker)
{
	end_tasks(worker);
	answer_syncs(worker);
}

static void on_tick(uv_timer_t *timer)
{
	unsigned int i;

	(void)timer;
	for (i = 0; i < state.count; i++)
		tick_worker(&state.workers[i]);
}

static error_t parse_option(int key, char *arg, struct argp_state *argp_state)
{
	switch (key) {
	case 'p':
		state.base_port = (unsigned int)atoi(arg);
		return 0;
	case 'n':
		state.count = (unsigned int)atoi(arg);
		if (state.count > WORKERS_MAX)
			argp_error(argp_state, "at most %d", WORKERS_MAX);
		return 0;
	case 'l':
		state.ledger_path = arg;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static int open_worker(unsigned int index)
{
	struct worker *worker = &state.workers[index];
	char address[ADDRESS_MAX];

	snprintf(address, sizeof(address), "127.0.0.1:%u",
		 state.base_port + index);
	snprintf(worker->name, sizeof(worker->name), "%s", address);
	worker->boot = (uint64_t)zr_time_to_ms(now());
	return zr_http_server_new(&worker->server, uv_default_loop(), address,
				  NULL, on_request, worker);
}

int main(int argc, char **argv)
{
	static const struct argp_option options[] = {
		{"base-port", 'p', "PORT", 0, "Port of the first worker", 0},
		{"count", 'n', "N", 0, "How many workers", 0},
		{"ledger", 'l', "FILE", 0, "Add a line a task event", 0},
		{0},
	};
	static const struct argp argp = {
		options, parse_option, NULL, "Stands in for workers.",
		NULL,	 NULL,	       NULL};
	uv_timer_t timer;
	unsigned int i;

	signal(SIGPIPE, SIG_IGN);
	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	if (state.ledger_path)
		state.ledger = fopen(state.ledger_path, "a");
	for (i = 0; i < state.count; i++) {
		if (open_worker(i) < 0) {
			fprintf(stderr, "%s\n", zr_error_last());
			return 1;
		}
	}
	uv_timer_init(uv_default_loop(), &timer);
	uv_timer_start(&timer, on_tick, TICK_MS, TICK_MS);
	return uv_run(uv_default_loop(), UV_RUN_DEFAULT);
}

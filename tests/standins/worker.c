/*
 * Stand-in for workers in tests. One process simulates several workers, each on
 * a port of its own. The command of a task is one of:
 *
 *	run MS [RESULT]		succeeds after MS milliseconds
 *	fail MS			fails after MS milliseconds
 *	serve MS [silent]	a service, which answers each short request with
 *				its own body after MS milliseconds, or never
 *
 * A start, end or stop of a task adds the line `EVENT TASK WORKER TIME` to the
 * ledger, a file from which tests count runs. EVENT is "start", "end" or
 * "stop", and TIME is the monotonic time in milliseconds.
 *
 * Short requests aren't in the ledger. GET /v1/serving returns the number of
 * open ones, the highest number that was open at once, and the total. A request
 * whose deadline passes before its answer is due stays without an answer.
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

/**
 * struct task - a task that was started on a worker
 * @service: name of its service, or empty
 * @resources: what its start requested
 * @ends_at: when it ends, unless it is a service
 * @will_fail: whether it ends as failed
 * @is_service: whether it serves requests until it is stopped
 * @serve_ms: time that a service takes to answer a request
 * @result: last part of the command: the result, or "silent" for a service that
 * never answers
 * @stopped: whether it was stopped, by a request or as the lease expired
 * @sequence: sequence number of its end
 */
struct task {
	UT_hash_handle hh;
	char id[ZR_TASK_ID_MAX];
	char service[ZR_NAME_MAX];
	struct zr_resources resources;
	struct timespec ends_at;
	bool will_fail;
	bool is_service;
	unsigned int serve_ms;
	char result[RESULT_MAX];
	bool has_ended;
	bool succeeded;
	bool stopped;
	uint64_t sequence;
};

/**
 * struct pending_sync - a sync call that waits for the end of a task
 * @expires_at: when to answer it although no task has ended
 * @acknowledged: ends up to this sequence number aren't reported again
 * @last_sequence_seen: an end after this sequence number is answered at once
 */
struct pending_sync {
	struct pending_sync *prev;
	struct pending_sync *next;
	struct worker *worker;
	struct zr_http_exchange *exchange;
	struct timespec expires_at;
	uint64_t acknowledged;
	uint64_t last_sequence_seen;
};

/**
 * struct open_request - a short request that a service processes
 * @timer: fires when the answer is due or the deadline has passed
 * @will_not_answer: its service is silent, or its deadline passes before the
 *	answer is due
 * @exchange: NULL once the caller has disconnected
 */
struct open_request {
	uv_timer_t timer;
	bool will_not_answer;
	struct worker *worker;
	struct zr_http_exchange *exchange;
};

/**
 * struct worker - a simulated worker
 * @syncs: sync calls that wait for an answer
 * @epoch: highest fencing token seen; requests with a lower one are refused
 * @boot: monotonic time in ms when it started; tells its incarnations apart
 * @sequence: sequence number of the latest end
 * @lease_expires_at: when its tasks are stopped if the lease isn't renewed
 * @open_requests: short requests that it processes now
 * @max_open_requests: highest number of them at once
 * @request_count: number of short requests so far
 */
struct worker {
	char name[ZR_NAME_MAX];
	struct zr_http_server *server;
	struct task *tasks;
	struct pending_sync *syncs;
	uint64_t epoch;
	uint64_t boot;
	uint64_t sequence;
	struct timespec lease_expires_at;
	unsigned int open_requests;
	unsigned int max_open_requests;
	unsigned int request_count;
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

static void log_event(const struct worker *worker, const char *event,
		      const char *id)
{
	if (!state.ledger)
		return;
	fprintf(state.ledger, "%s %s %s %" PRId64 "\n", event, id, worker->name,
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
	if (task->has_ended)
		return;
	task->has_ended = true;
	task->succeeded = succeeded;
	task->stopped = stopped;
	task->sequence = ++worker->sequence;
	log_event(worker, stopped ? "stop" : "end", task->id);
}

static void parse_command(struct task *task, const char *command)
{
	unsigned int ms = 0;
	char verb[16] = "";

	sscanf(command, "%15s %u %255[^\n]", verb, &ms, task->result);
	task->will_fail = !strcmp(verb, "fail");
	task->is_service = !strcmp(verb, "serve");
	task->serve_ms = ms;
	task->ends_at = zr_time_add_ms(now(), ms);
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

/*
 * Returns when the lease that a request grants expires. The lease starts when
 * the worker issued the token in the request. The token is this time in ms, so
 * that the worker needn't store it. A token of another incarnation grants none.
 */
static struct timespec lease_expiry(const struct worker *worker,
				    json_t *request)
{
	int64_t boot = json_integer_value(json_object_get(request, "boot"));
	int64_t token = json_integer_value(json_object_get(request, "token"));

	if ((uint64_t)boot != worker->boot)
		token = 0;
	return zr_time_from_ms(token ? token + read_number(request, "lease_ms")
				     : 0);
}

static void renew_lease(struct worker *worker, struct timespec expiry)
{
	if (zr_time_cmp(worker->lease_expires_at, expiry) < 0)
		worker->lease_expires_at = expiry;
}

static void serve_start(struct worker *worker,
			struct zr_http_exchange *exchange, json_t *request)
{
	struct timespec expiry = lease_expiry(worker, request);
	const char *id = read_string(request, "id");
	struct task *task;

	HASH_FIND_STR(worker->tasks, id, task);
	if (task || zr_time_cmp(expiry, now()) <= 0) {
		reply_status(exchange, task ? 200 : 412);
		return;
	}
	task = calloc(1, sizeof(*task));
	snprintf(task->id, sizeof(task->id), "%s", id);
	snprintf(task->service, sizeof(task->service), "%s",
		 read_string(request, "service"));
	task->resources.millicpus = read_number(request, "millicpus");
	task->resources.memory_mb = read_number(request, "memory_mb");
	task->resources.accelerators = read_number(request, "accelerators");
	parse_command(task, read_string(request, "command"));
	HASH_ADD_STR(worker->tasks, id, task);
	renew_lease(worker, expiry);
	log_event(worker, "start", task->id);
	reply_status(exchange, 201);
}

static void serve_stop(struct worker *worker, struct zr_http_exchange *exchange,
		       json_t *request)
{
	struct task *task;
	const char *id = read_string(request, "id");

	HASH_FIND_STR(worker->tasks, id, task);
	/* Throttling has no effect here. */
	if (task && strcmp(read_string(request, "mode"), "throttle"))
		end_task(worker, task, false, true);
	reply_status(exchange, task ? 200 : 404);
}

/* Syncs */

/* A task uses a fixed share of the processors and memory that it requested. */
static int used_share(uint32_t requested)
{
	return (int)((uint64_t)requested * USED_PERCENT / 100);
}

static json_t *report_json(const struct worker *worker, uint64_t acknowledged)
{
	json_t *tasks = json_array();
	json_t *ends = json_array();
	const struct task *task;

	for (task = worker->tasks; task; task = task->hh.next) {
		if (!task->has_ended)
			json_array_append_new(
				tasks,
				json_pack("{s:s, s:i, s:i, s:i}", "id",
					  task->id, "millicpus",
					  used_share(task->resources.millicpus),
					  "memory_mb",
					  used_share(task->resources.memory_mb),
					  "accelerators",
					  (int)task->resources.accelerators));
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

static void on_sync_disconnect(void *ctx)
{
	struct pending_sync *sync = ctx;

	DL_DELETE(sync->worker->syncs, sync);
	free(sync);
}

static void serve_sync(struct worker *worker, struct zr_http_exchange *exchange,
		       json_t *request)
{
	struct pending_sync *sync = calloc(1, sizeof(*sync));

	renew_lease(worker, lease_expiry(worker, request));
	sync->worker = worker;
	sync->exchange = exchange;
	sync->acknowledged = read_number(request, "acknowledged");
	sync->last_sequence_seen = read_number(request, "seen");
	sync->expires_at =
		zr_time_add_ms(now(), read_number(request, "wait_ms"));
	DL_APPEND(worker->syncs, sync);
	zr_http_set_on_disconnect(exchange, on_sync_disconnect, sync);
}

static void reply_to_syncs(struct worker *worker)
{
	struct pending_sync *sync;
	struct pending_sync *next;

	DL_FOREACH_SAFE(worker->syncs, sync, next)
	{
		if (worker->sequence <= sync->last_sequence_seen &&
		    zr_time_cmp(now(), sync->expires_at) < 0)
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

static void on_request_timer(uv_timer_t *timer)
{
	struct open_request *open_request = timer->data;
	size_t length = 0;
	const void *body;
	const char *id;

	open_request->worker->open_requests--;
	/* The callback must not use @open_request, which is freed below. */
	if (open_request->exchange && open_request->will_not_answer)
		zr_http_set_on_disconnect(open_request->exchange, NULL, NULL);
	else if (open_request->exchange) {
		body = zr_http_get_body(open_request->exchange, &length);
		id = zr_http_get_header(open_request->exchange, "x-request-id");
		zr_http_add_reply_header(open_request->exchange, "x-request-id",
					 id ? id : "");
		zr_http_reply(open_request->exchange, 200,
			      "application/octet-stream", body, length);
	}
	uv_close((uv_handle_t *)timer, on_timer_closed);
}

static void on_request_disconnect(void *ctx)
{
	struct open_request *open_request = ctx;

	open_request->exchange = NULL;
}

static const struct task *find_service(const struct worker *worker,
				       const char *service)
{
	const struct task *task;

	for (task = worker->tasks; task; task = task->hh.next) {
		if (!task->has_ended && !strcmp(task->service, service))
			return task;
	}
	return NULL;
}

static void serve_request(struct worker *worker,
			  struct zr_http_exchange *exchange,
			  const char *service)
{
	const struct task *task = find_service(worker, service);
	struct open_request *open_request;
	const char *deadline;
	unsigned int ms;

	if (!task) {
		reply_status(exchange, 404);
		return;
	}
	open_request = calloc(1, sizeof(*open_request));
	open_request->worker = worker;
	deadline = zr_http_get_header(exchange, "x-deadline-ms");
	ms = task->serve_ms;
	open_request->will_not_answer = !strcmp(task->result, "silent");
	if (deadline && (open_request->will_not_answer ||
			 strtoul(deadline, NULL, 10) < ms)) {
		open_request->will_not_answer = true;
		ms = (unsigned int)strtoul(deadline, NULL, 10);
	}
	open_request->exchange = exchange;
	worker->request_count++;
	if (++worker->open_requests > worker->max_open_requests)
		worker->max_open_requests = worker->open_requests;
	zr_http_set_on_disconnect(exchange, on_request_disconnect,
				  open_request);
	uv_timer_init(uv_default_loop(), &open_request->timer);
	open_request->timer.data = open_request;
	uv_timer_start(&open_request->timer, on_request_timer, ms, 0);
}

/* Calls of schedulers */

/* Whether a request is from a stale owner; records a higher fencing token. */
static bool is_fenced(struct worker *worker, json_t *request)
{
	uint64_t epoch =
		(uint64_t)json_integer_value(json_object_get(request, "epoch"));

	if (epoch < worker->epoch)
		return true;
	worker->epoch = epoch;
	return false;
}

static void end_due_tasks(struct worker *worker);

static void handle_call(struct worker *worker,
			struct zr_http_exchange *exchange, json_t *request)
{
	const char *path = zr_http_get_path(exchange);

	/* This process may have been paused until after the lease expired. */
	end_due_tasks(worker);
	if (is_fenced(worker, request))
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
	static const char serve_prefix[] = "/v1/serve/";
	const char *path = zr_http_get_path(exchange);
	struct worker *worker = ctx;
	json_t *request;
	const void *body;
	size_t length;

	if (!strcmp(path, "/v1/serving")) {
		reply_json(exchange, 200,
			   json_pack("{s:i, s:i, s:i}", "now",
				     (int)worker->open_requests, "most",
				     (int)worker->max_open_requests, "served",
				     (int)worker->request_count));
		return;
	}
	if (!strncmp(path, serve_prefix, sizeof(serve_prefix) - 1)) {
		serve_request(worker, exchange,
			      path + sizeof(serve_prefix) - 1);
		return;
	}
	body = zr_http_get_body(exchange, &length);
	request = json_loadb(body ? body : "", length, 0, NULL);
	if (request)
		handle_call(worker, exchange, request);
	else
		reply_status(exchange, 400);
	json_decref(request);
}

/* Stops all tasks if the lease has expired, and ends those that are done. */
static void end_due_tasks(struct worker *worker)
{
	bool lease_expired = zr_time_cmp(now(), worker->lease_expires_at) > 0;
	struct task *task;

	for (task = worker->tasks; task; task = task->hh.next) {
		if (task->has_ended)
			continue;
		if (lease_expired)
			end_task(worker, task, false, true);
		else if (!task->is_service &&
			 zr_time_cmp(now(), task->ends_at) >= 0)
			end_task(worker, task, !task->will_fail, false);
	}
}

static void tick_worker(struct worker *worker)
{
	end_due_tasks(worker);
	reply_to_syncs(worker);
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
			argp_error(argp_state, "--count is at most %d",
				   WORKERS_MAX);
		return 0;
	case 'l':
		state.ledger_path = arg;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static int start_worker(unsigned int index)
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
		{"count", 'n', "N", 0, "Number of workers", 0},
		{"ledger", 'l', "FILE", 0,
		 "File to which each start and end of a task is added", 0},
		{0},
	};
	static const struct argp argp = {
		options, parse_option, NULL, "Stand-in for workers in tests.",
		NULL,	 NULL,	       NULL};
	uv_timer_t timer;
	unsigned int i;

	signal(SIGPIPE, SIG_IGN);
	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	if (state.ledger_path)
		state.ledger = fopen(state.ledger_path, "a");
	for (i = 0; i < state.count; i++) {
		if (start_worker(i) < 0) {
			fprintf(stderr, "%s\n", zr_error_last());
			return 1;
		}
	}
	uv_timer_init(uv_default_loop(), &timer);
	uv_timer_start(&timer, on_tick, TICK_MS, TICK_MS);
	return uv_run(uv_default_loop(), UV_RUN_DEFAULT);
}

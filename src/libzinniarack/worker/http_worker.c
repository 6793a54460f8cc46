#include "worker/http_worker.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net/http_client.h"
#include "zinniarack/errors.h"

#define CALL_TIMEOUT_MS 2000
/* More than one, so that a waiting sync does not delay starts and stops. */
#define MAX_CONNECTIONS 3
#define STATUS_FENCED 409
#define STATUS_LEASE_EXPIRED 412
#define STATUS_NO_CAPACITY 507

struct http_worker {
	struct zr_http_client *client;
};

struct pending_call {
	zr_worker_report_fn report; /* of a sync */
	zr_worker_done_fn done;	    /* of a start or stop */
	void *ctx;
};

static int error_from_status(int error, const struct zr_http_response *response)
{
	if (error < 0)
		return error;
	if (response->status == STATUS_FENCED)
		return ZR_E_FENCED;
	if (response->status == STATUS_LEASE_EXPIRED)
		return ZR_E_TIMEOUT;
	if (response->status == STATUS_NO_CAPACITY)
		return ZR_E_FULL;
	if (response->status == 404)
		return ZR_E_NOT_FOUND;
	if (response->status < 200 || response->status > 299)
		return ZR_E_PROTOCOL;
	return 0;
}

static void on_done_response(void *ctx, int error,
			     const struct zr_http_response *response)
{
	struct pending_call *pending = ctx;

	pending->done(pending->ctx, error_from_status(error, response));
	free(pending);
}

static uint32_t get_uint32(json_t *object, const char *field)
{
	json_int_t value = json_integer_value(json_object_get(object, field));

	return value > 0 && value <= UINT32_MAX ? (uint32_t)value : 0;
}

static uint64_t get_uint64(json_t *object, const char *field)
{
	return (uint64_t)json_integer_value(json_object_get(object, field));
}

static bool copy_task_id(char out[ZR_TASK_ID_MAX], json_t *object)
{
	const char *id = json_string_value(json_object_get(object, "id"));

	if (!id || strlen(id) >= ZR_TASK_ID_MAX)
		return false;
	snprintf(out, ZR_TASK_ID_MAX, "%s", id);
	return true;
}

static size_t decode_tasks(struct zr_worker_task *tasks, json_t *list)
{
	size_t count = 0;
	json_t *object;
	size_t index;

	json_array_foreach (list, index, object) {
		struct zr_worker_task *task = &tasks[count];

		if (!copy_task_id(task->id, object))
			continue;
		task->used.millicpus = get_uint32(object, "millicpus");
		task->used.memory_mb = get_uint32(object, "memory_mb");
		task->used.accelerators = get_uint32(object, "accelerators");
		count++;
	}
	return count;
}

static size_t decode_ends(struct zr_worker_end *ends, json_t *list)
{
	size_t count = 0;
	json_t *object;
	size_t index;

	json_array_foreach (list, index, object) {
		json_t *result = json_object_get(object, "result");
		struct zr_worker_end *end = &ends[count];

		if (!copy_task_id(end->id, object))
			continue;
		end->sequence = get_uint64(object, "sequence");
		end->succeeded =
			json_is_true(json_object_get(object, "succeeded"));
		end->stopped = json_is_true(json_object_get(object, "stopped"));
		/* Owned by the JSON body, which outlives the callback. */
		end->result = (char *)json_string_value(result);
		count++;
	}
	return count;
}

static int compare_sequences(const void *a, const void *b)
{
	const struct zr_worker_end *first = a;
	const struct zr_worker_end *second = b;

	return (first->sequence > second->sequence) -
	       (first->sequence < second->sequence);
}

/* Decodes a report and calls the sync's callback with it. */
static int deliver_report(struct pending_call *pending, json_t *body)
{
	json_t *task_list = json_object_get(body, "tasks");
	json_t *end_list = json_object_get(body, "ends");
	struct zr_worker_report report = {0};
	struct zr_worker_task *tasks;
	struct zr_worker_end *ends;

	if (!json_is_array(task_list) || !json_is_array(end_list))
		return ZR_E_PROTOCOL;
	tasks = calloc(json_array_size(task_list) + 1, sizeof(*tasks));
	ends = calloc(json_array_size(end_list) + 1, sizeof(*ends));
	if (!tasks || !ends)
		abort();
	report.epoch = get_uint64(body, "epoch");
	report.incarnation = get_uint64(body, "boot");
	report.lease_token = get_uint64(body, "token");
	report.supports_fencing = json_is_true(json_object_get(body, "fences"));
	report.tasks = tasks;
	report.task_count = decode_tasks(tasks, task_list);
	report.ends = ends;
	report.end_count = decode_ends(ends, end_list);
	qsort(ends, report.end_count, sizeof(*ends), compare_sequences);
	pending->report(pending->ctx, 0, &report);
	free(tasks);
	free(ends);
	return 0;
}

static void on_report_response(void *ctx, int error,
			       const struct zr_http_response *response)
{
	struct pending_call *pending = ctx;
	json_t *body = NULL;

	error = error_from_status(error, response);
	if (!error) {
		body = json_loadb(response->body, response->body_length, 0,
				  NULL);
		error = deliver_report(pending, body);
	}
	if (error < 0)
		pending->report(pending->ctx, error, NULL);
	json_decref(body);
	free(pending);
}

static void send_post(struct http_worker *worker, const char *path,
		      json_t *request, unsigned int timeout_ms,
		      zr_http_done_fn on_response,
		      const struct pending_call *template)
{
	struct pending_call *pending = malloc(sizeof(*pending));
	char *body = json_dumps(request, JSON_COMPACT);
	/*
	 * All three calls are safe to repeat: the worker recognizes task ids
	 * and sequence numbers that it has processed.
	 */
	struct zr_http_call call = {
		.method = "POST",
		.path = path,
		.content_type = "application/json",
		.body = body,
		.timeout_ms = timeout_ms,
		.idempotent = true,
	};

	if (!pending || !body)
		abort();
	*pending = *template;
	call.body_length = strlen(body);
	zr_http_client_call(worker->client, &call, on_response, pending);
	free(body);
	json_decref(request);
}

static void http_sync(void *impl, const struct zr_worker_sync *sync,
		      zr_worker_report_fn done, void *ctx)
{
	const struct pending_call template = {.report = done, .ctx = ctx};
	json_t *request = json_pack("{s:I, s:I, s:I, s:I, s:I, s:I, s:I}",
				    "epoch", (json_int_t)sync->epoch, "boot",
				    (json_int_t)sync->incarnation, "token",
				    (json_int_t)sync->lease_token, "lease_ms",
				    (json_int_t)sync->lease_ms, "acknowledged",
				    (json_int_t)sync->last_end_acked, "seen",
				    (json_int_t)sync->last_end_received,
				    "wait_ms", (json_int_t)sync->wait_ms);

	send_post(impl, "/v1/sync", request, CALL_TIMEOUT_MS + sync->wait_ms,
		  on_report_response, &template);
}

static void http_start(void *impl, const struct zr_worker_start *start,
		       zr_worker_done_fn done, void *ctx)
{
	const struct pending_call template = {.done = done, .ctx = ctx};
	json_t *request =
		json_pack("{s:I, s:I, s:I, s:s, s:I, s:I, s:I, s:I, s:s, s:s}",
			  "epoch", (json_int_t)start->epoch, "boot",
			  (json_int_t)start->incarnation, "token",
			  (json_int_t)start->lease_token, "id", start->id,
			  "millicpus", (json_int_t)start->size.millicpus,
			  "memory_mb", (json_int_t)start->size.memory_mb,
			  "accelerators", (json_int_t)start->size.accelerators,
			  "lease_ms", (json_int_t)start->lease_ms, "service",
			  start->service, "command", start->command);

	send_post(impl, "/v1/start", request, CALL_TIMEOUT_MS, on_done_response,
		  &template);
}

static void http_stop(void *impl, uint64_t epoch, const char *id,
		      enum zr_worker_stop_mode mode, zr_worker_done_fn done,
		      void *ctx)
{
	static const char *const modes[] = {"stop", "checkpoint", "throttle"};
	const struct pending_call template = {.done = done, .ctx = ctx};
	json_t *request =
		json_pack("{s:I, s:s, s:s}", "epoch", (json_int_t)epoch, "id",
			  id, "mode", modes[mode]);

	send_post(impl, "/v1/stop", request, CALL_TIMEOUT_MS, on_done_response,
		  &template);
}

static void http_free(void *impl)
{
	struct http_worker *worker = impl;

	zr_http_client_free(worker->client);
	free(worker);
}

static const struct zr_worker_ops http_ops = {
	.sync = http_sync,
	.start = http_start,
	.stop = http_stop,
	.free = http_free,
};

int zr_http_worker_new(struct zr_worker *out, void *loop, const char *address)
{
	struct zr_http_client_options options = ZR_HTTP_CLIENT_OPTIONS_INIT;
	struct http_worker *worker = calloc(1, sizeof(*worker));
	int error;

	if (!worker)
		return ZR_E_NOMEM;
	options.max_connections = MAX_CONNECTIONS;
	error = zr_http_client_new(&worker->client, loop, address, &options);
	if (error < 0) {
		free(worker);
		return error;
	}
	out->ops = &http_ops;
	out->impl = worker;
	return 0;
}

#include "worker/http_host_list.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net/http_client.h"
#include "zinniarack/errors.h"

#define CALL_TIMEOUT_MS 2000

struct http_host_list {
	struct zr_http_client *client;
};

struct pending_call {
	zr_host_list_done_fn done;
	void *ctx;
};

static void copy_string(char *out, size_t size, json_t *object,
			const char *field)
{
	const char *text = json_string_value(json_object_get(object, field));

	out[0] = '\0';
	if (text && strlen(text) < size)
		snprintf(out, size, "%s", text);
}

static uint32_t get_uint32(json_t *object, const char *field)
{
	json_int_t value = json_integer_value(json_object_get(object, field));

	return value > 0 && value <= UINT32_MAX ? (uint32_t)value : 0;
}

static void decode_host(struct zr_host *out, json_t *object)
{
	const char *kind = json_string_value(json_object_get(object, "kind"));

	memset(out, 0, sizeof(*out));
	out->kind =
		kind && !strcmp(kind, "entry") ? ZR_HOST_ENTRY : ZR_HOST_WORKER;
	copy_string(out->name, sizeof(out->name), object, "name");
	copy_string(out->domain, sizeof(out->domain), object, "domain");
	copy_string(out->rack, sizeof(out->rack), object, "rack");
	copy_string(out->address, sizeof(out->address), object, "address");
	copy_string(out->scheduler_address, sizeof(out->scheduler_address),
		    object, "scheduler");
	out->leaving = json_is_true(json_object_get(object, "leaving"));
	out->capacity.millicpus = get_uint32(object, "millicpus");
	out->capacity.memory_mb = get_uint32(object, "memory_mb");
	out->capacity.accelerators = get_uint32(object, "accelerators");
	out->slots = get_uint32(object, "slots");
}

static int decode_hosts(struct zr_host **out, size_t *out_count,
			const struct zr_http_response *response)
{
	json_t *body =
		json_loadb(response->body, response->body_length, 0, NULL);
	json_t *list = json_object_get(body, "hosts");
	struct zr_host *hosts;
	json_t *object;
	size_t index;

	if (!json_is_array(list)) {
		json_decref(body);
		return zr_error_set(ZR_E_PROTOCOL,
				    "host list: no array 'hosts'");
	}
	hosts = calloc(json_array_size(list) + 1, sizeof(*hosts));
	if (!hosts)
		abort();
	json_array_foreach (list, index, object)
		decode_host(&hosts[index], object);
	*out_count = json_array_size(list);
	*out = hosts;
	json_decref(body);
	return 0;
}

static void on_response(void *ctx, int error,
			const struct zr_http_response *response)
{
	struct pending_call *pending = ctx;
	struct zr_host *hosts = NULL;
	size_t count = 0;

	if (!error && response->status != 200)
		error = ZR_E_PROTOCOL;
	if (!error)
		error = decode_hosts(&hosts, &count, response);
	pending->done(pending->ctx, error, hosts, count);
	free(hosts);
	free(pending);
}

static void http_read(void *impl, zr_host_list_done_fn done, void *ctx)
{
	struct http_host_list *list = impl;
	struct pending_call *pending = malloc(sizeof(*pending));
	const struct zr_http_call call = {
		.method = "GET",
		.path = "/v1/hosts",
		.timeout_ms = CALL_TIMEOUT_MS,
		.idempotent = true,
	};

	if (!pending)
		abort();
	pending->done = done;
	pending->ctx = ctx;
	zr_http_client_call(list->client, &call, on_response, pending);
}

static void http_free(void *impl)
{
	struct http_host_list *list = impl;

	zr_http_client_free(list->client);
	free(list);
}

static const struct zr_host_list_ops http_ops = {
	.read = http_read,
	.free = http_free,
};

int zr_http_host_list_new(struct zr_host_list *out, uv_loop_t *loop,
			  const char *address)
{
	struct http_host_list *list = calloc(1, sizeof(*list));
	int error;

	if (!list)
		return ZR_E_NOMEM;
	error = zr_http_client_new(&list->client, loop, address, NULL);
	if (error < 0) {
		free(list);
		return error;
	}
	out->ops = &http_ops;
	out->impl = list;
	return 0;
}

#include "store/etcd.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base64.h"
#include "net/http_client.h"
#include "zinniarack/errors.h"

#define CALL_TIMEOUT_MS 1000
#define MS_PER_S 1000
#define INT64_TEXT_MAX 24 /* with the final NUL */

struct etcd {
	struct zr_http_client *client;
	struct zr_metric *call_count[ZR_STORE_PURPOSE_COUNT];
	struct zr_metric *failure_count;
};

/**
 * struct pending_call - a call whose response has not come yet
 * @etcd: the adapter
 * @parse: parses the fields of a response that depend on the kind of call
 * @writes: whether the call changes the store, so that its outcome is unknown
 *	without a valid response
 * @done: callback
 * @ctx: passed to @done
 * @values: keys and values of the response
 * @value_count: number of values
 */
struct pending_call {
	struct etcd *etcd;
	void (*parse)(struct zr_store_reply *reply, json_t *body);
	bool writes;
	zr_store_done_fn done;
	void *ctx;
	struct zr_store_value *values;
	size_t value_count;
};

static json_t *encode_base64(const void *data, size_t length)
{
	char *text = zr_base64_encode(data, length);
	json_t *value;

	if (!text)
		abort();
	value = json_string(text);
	free(text);
	return value;
}

static json_t *encode_int64(int64_t number)
{
	char text[INT64_TEXT_MAX];

	/* The gateway represents 64-bit integers as JSON strings. */
	snprintf(text, sizeof(text), "%" PRId64, number);
	return json_string(text);
}

static int64_t get_int64(json_t *object, const char *field)
{
	json_t *value = json_object_get(object, field);

	if (json_is_integer(value))
		return json_integer_value(value);
	if (json_is_string(value))
		return strtoll(json_string_value(value), NULL, 10);
	return 0;
}

/* Responses */

static void free_values(struct pending_call *pending)
{
	size_t i;

	for (i = 0; i < pending->value_count; i++) {
		free(pending->values[i].key);
		free(pending->values[i].data);
	}
	free(pending->values);
}

static int parse_value(struct zr_store_value *out, json_t *kv)
{
	const char *key = json_string_value(json_object_get(kv, "key"));
	const char *data = json_string_value(json_object_get(kv, "value"));
	void *key_bytes = NULL;
	size_t key_length;
	int error;

	if (!key)
		return ZR_E_PROTOCOL;
	error = zr_base64_decode(&key_bytes, &key_length, key);
	if (error < 0)
		return error;
	error = zr_base64_decode(&out->data, &out->length, data ? data : "");
	if (error < 0) {
		free(key_bytes);
		return error;
	}
	out->key = key_bytes;
	out->mod_revision = get_int64(kv, "mod_revision");
	return 0;
}

static int parse_kvs(struct pending_call *pending, json_t *kvs)
{
	size_t count = json_array_size(kvs);
	struct zr_store_value *grown;
	size_t index;
	json_t *kv;

	if (!count)
		return 0;
	grown = realloc(pending->values,
			(pending->value_count + count) * sizeof(*grown));
	if (!grown)
		return ZR_E_NOMEM;
	pending->values = grown;
	json_array_foreach (kvs, index, kv) {
		int error = parse_value(&grown[pending->value_count], kv);

		if (error < 0)
			return error;
		pending->value_count++;
	}
	return 0;
}

static int parse_all_kvs(struct pending_call *pending, json_t *body)
{
	json_t *responses = json_object_get(body, "responses");
	int error = parse_kvs(pending, json_object_get(body, "kvs"));
	json_t *response;
	size_t index;

	json_array_foreach (responses, index, response) {
		json_t *range = json_object_get(response, "response_range");

		if (!error)
			error = parse_kvs(pending,
					  json_object_get(range, "kvs"));
	}
	return error;
}

static void parse_kv_reply(struct zr_store_reply *reply, json_t *body)
{
	json_t *header = json_object_get(body, "header");

	reply->revision = get_int64(header, "revision");
	reply->succeeded = json_is_true(json_object_get(body, "succeeded"));
}

static void parse_lease_reply(struct zr_store_reply *reply, json_t *body)
{
	json_t *result = json_object_get(body, "result");

	/* Keepalive is a stream, whose messages are wrapped in "result". */
	if (!result)
		result = body;
	reply->lease = get_int64(result, "ID");
	reply->ttl_ms = get_int64(result, "TTL") * MS_PER_S;
}

static int error_from_response(const struct pending_call *pending, int error,
			       const struct zr_http_response *response)
{
	if (error == ZR_E_UNREACHABLE || error == ZR_E_FULL)
		return ZR_E_STORE_DOWN;
	if (error == ZR_E_CANCELLED)
		return error;
	if (error < 0)
		return pending->writes ? ZR_E_OUTCOME_UNKNOWN : ZR_E_STORE_DOWN;
	if (response->status == 404)
		return ZR_E_NOT_FOUND;
	if (response->status != 200)
		return pending->writes ? ZR_E_OUTCOME_UNKNOWN : ZR_E_STORE_DOWN;
	return 0;
}

static int parse_reply(struct pending_call *pending,
		       struct zr_store_reply *reply,
		       const struct zr_http_response *response)
{
	json_t *body = json_loadb(response->body, response->body_length,
				  JSON_DISABLE_EOF_CHECK, NULL);
	int error;

	if (!body)
		return pending->writes ? ZR_E_OUTCOME_UNKNOWN : ZR_E_PROTOCOL;
	pending->parse(reply, body);
	error = parse_all_kvs(pending, body);
	json_decref(body);
	reply->values = pending->values;
	reply->count = pending->value_count;
	return error;
}

static void on_response(void *ctx, int error,
			const struct zr_http_response *response)
{
	struct pending_call *pending = ctx;
	struct zr_store_reply reply;

	memset(&reply, 0, sizeof(reply));
	error = error_from_response(pending, error, response);
	if (!error)
		error = parse_reply(pending, &reply, response);
	if (error < 0 && error != ZR_E_NOT_FOUND && error != ZR_E_CANCELLED &&
	    pending->etcd->failure_count)
		pending->etcd->failure_count->value++;
	pending->done(pending->ctx, error, error < 0 ? NULL : &reply);
	free_values(pending);
	free(pending);
}

/* Takes ownership of the request. */
static void send_call(struct etcd *etcd, enum zr_store_purpose purpose,
		      const char *path, json_t *request,
		      const struct pending_call *template)
{
	struct pending_call *pending = malloc(sizeof(*pending));
	char *body = json_dumps(request, JSON_COMPACT);
	struct zr_http_call call = {
		.method = "POST",
		.path = path,
		.content_type = "application/json",
		.body = body,
		.timeout_ms = CALL_TIMEOUT_MS,
		.idempotent = !template->writes,
	};

	if (!pending || !body)
		abort();
	*pending = *template;
	pending->etcd = etcd;
	call.body_length = strlen(body);
	if (etcd->call_count[purpose])
		etcd->call_count[purpose]->value++;
	zr_http_client_call(etcd->client, &call, on_response, pending);
	free(body);
	json_decref(request);
}

/* Operations */

/* The exclusive end of a prefix: the prefix with its last byte incremented. */
static json_t *encode_prefix_end(const char *prefix)
{
	size_t length = strlen(prefix);
	char *end = strdup(prefix);
	json_t *value;

	if (!end)
		abort();
	if (length)
		end[length - 1]++;
	value = encode_base64(end, length);
	free(end);
	return value;
}

static void etcd_range(void *impl, enum zr_store_purpose purpose,
		       const char *key, bool prefix, zr_store_done_fn done,
		       void *ctx)
{
	const struct pending_call template = {
		.parse = parse_kv_reply,
		.done = done,
		.ctx = ctx,
	};
	json_t *request = json_object();

	json_object_set_new(request, "key", encode_base64(key, strlen(key)));
	if (prefix)
		json_object_set_new(request, "range_end",
				    encode_prefix_end(key));
	send_call(impl, purpose, "/v3/kv/range", request, &template);
}

static json_t *build_compare(const struct zr_store_compare *compare)
{
	json_t *object = json_object();

	json_object_set_new(object, "key",
			    encode_base64(compare->key, strlen(compare->key)));
	json_object_set_new(object, "target", json_string("MOD"));
	json_object_set_new(object, "result", json_string("EQUAL"));
	json_object_set_new(object, "mod_revision",
			    encode_int64(compare->mod_revision));
	return object;
}

static json_t *build_put(const struct zr_store_put *put)
{
	json_t *key = encode_base64(put->key, strlen(put->key));
	json_t *object = json_object();

	json_object_set_new(object, "key", key);
	if (!put->data)
		return json_pack("{s:o}", "request_delete_range", object);
	json_object_set_new(object, "value",
			    encode_base64(put->data, put->length));
	if (put->lease)
		json_object_set_new(object, "lease", encode_int64(put->lease));
	return json_pack("{s:o}", "request_put", object);
}

/* The read of a compared key, run if a comparison of the transaction fails. */
static json_t *build_compared_read(const struct zr_store_compare *compare)
{
	return json_pack("{s:{s:o}}", "request_range", "key",
			 encode_base64(compare->key, strlen(compare->key)));
}

static void etcd_commit(void *impl, enum zr_store_purpose purpose,
			const struct zr_store_txn *txn, zr_store_done_fn done,
			void *ctx)
{
	const struct pending_call template = {
		.parse = parse_kv_reply,
		.writes = true,
		.done = done,
		.ctx = ctx,
	};
	json_t *compares = json_array();
	json_t *success = json_array();
	json_t *failure = json_array();
	size_t i;

	for (i = 0; i < txn->compare_count; i++) {
		json_array_append_new(compares,
				      build_compare(&txn->compares[i]));
		json_array_append_new(failure,
				      build_compared_read(&txn->compares[i]));
	}
	for (i = 0; i < txn->put_count; i++)
		json_array_append_new(success, build_put(&txn->puts[i]));
	send_call(impl, purpose, "/v3/kv/txn",
		  json_pack("{s:o, s:o, s:o}", "compare", compares, "success",
			    success, "failure", failure),
		  &template);
}

static void send_lease_call(struct etcd *etcd, const char *path,
			    json_t *request, zr_store_done_fn done, void *ctx)
{
	const struct pending_call template = {
		.parse = parse_lease_reply,
		.writes = true,
		.done = done,
		.ctx = ctx,
	};

	send_call(etcd, ZR_STORE_LEASE, path, request, &template);
}

static void etcd_lease_grant(void *impl, int64_t ttl_ms, zr_store_done_fn done,
			     void *ctx)
{
	int64_t ttl_s = (ttl_ms + MS_PER_S - 1) / MS_PER_S;

	send_lease_call(impl, "/v3/lease/grant",
			json_pack("{s:o}", "TTL", encode_int64(ttl_s)), done,
			ctx);
}

static void etcd_lease_renew(void *impl, int64_t lease, zr_store_done_fn done,
			     void *ctx)
{
	send_lease_call(impl, "/v3/lease/keepalive",
			json_pack("{s:o}", "ID", encode_int64(lease)), done,
			ctx);
}

static void etcd_lease_revoke(void *impl, int64_t lease, zr_store_done_fn done,
			      void *ctx)
{
	send_lease_call(impl, "/v3/lease/revoke",
			json_pack("{s:o}", "ID", encode_int64(lease)), done,
			ctx);
}

static void etcd_free(void *impl)
{
	struct etcd *etcd = impl;

	zr_http_client_free(etcd->client);
	free(etcd);
}

static const struct zr_store_ops etcd_ops = {
	.range = etcd_range,
	.commit = etcd_commit,
	.lease_grant = etcd_lease_grant,
	.lease_renew = etcd_lease_renew,
	.lease_revoke = etcd_lease_revoke,
	.free = etcd_free,
};

static void register_metrics(struct etcd *etcd, struct zr_metrics *metrics)
{
	char labels[64];
	int i;

	for (i = 0; i < ZR_STORE_PURPOSE_COUNT; i++) {
		snprintf(labels, sizeof(labels), "purpose=\"%s\"",
			 zr_store_purpose_name(i));
		etcd->call_count[i] = zr_metrics_get_or_add_counter(
			metrics, "zinniarack_store_calls_total", labels,
			"Calls to the key-value store.");
	}
	etcd->failure_count = zr_metrics_get_or_add_counter(
		metrics, "zinniarack_store_failures_total", NULL,
		"Store calls that failed.");
}

int zr_etcd_new(struct zr_store *out, uv_loop_t *loop, const char *address,
		struct zr_metrics *metrics)
{
	struct etcd *etcd = calloc(1, sizeof(*etcd));
	int error;

	if (!etcd)
		return ZR_E_NOMEM;
	error = zr_http_client_new(&etcd->client, loop, address, NULL);
	if (error < 0) {
		free(etcd);
		return error;
	}
	if (metrics)
		register_metrics(etcd, metrics);
	out->ops = &etcd_ops;
	out->impl = etcd;
	return 0;
}

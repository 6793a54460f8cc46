/*
 * Stand-in for the platform in tests. It serves the part of etcd's v3 JSON
 * gateway that the store adapter uses, and the host list, which it reads from a
 * file for each request.
 */
#include <argp.h>
#include <inttypes.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "net/http_server.h"
#include "zinniarack/clock.h"
#include "zinniarack/errors.h"

#define TICK_MS 50
#define MS_PER_S 1000
#define BODY_BYTES_MAX (64u << 20)
#define INT64_TEXT_MAX 32

/**
 * struct value - a key in the store and its value
 * @key: the key as on the wire, base64
 * @data: the value as on the wire, base64
 * @mod_revision: revision of the store that wrote the value
 * @lease_id: lease that the key is attached to, or 0
 */
struct value {
	UT_hash_handle hh;
	char *key;
	char *data;
	int64_t mod_revision;
	int64_t lease_id;
};

struct lease {
	UT_hash_handle hh;
	int64_t id;
	int64_t ttl_ms;
	struct timespec expires_at;
};

static struct {
	const char *store_address;
	const char *hosts_address;
	const char *hosts_file;
	struct value *values;
	struct lease *leases;
	int64_t revision;
	int64_t last_lease_id;
	uint64_t call_count;
	/* Number of transactions that will be applied, but not answered. */
	unsigned int replies_to_drop;
	/* Whether the request that is processed now is one of them. */
	bool dropping_reply;
} state;

static struct timespec now(void)
{
	return zr_clock_now(zr_clock_system());
}

/* For an exchange that stays without an answer: nothing to release. */
static void ignore_disconnect(void *ctx)
{
	(void)ctx;
}

static void reply_json(struct zr_http_exchange *exchange, int status,
		       json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT | JSON_ENCODE_ANY);

	if (state.dropping_reply)
		zr_http_set_on_disconnect(exchange, ignore_disconnect, NULL);
	else
		zr_http_reply(exchange, status, "application/json", text,
			      strlen(text));
	free(text);
	json_decref(json);
}

static json_t *int64_json(int64_t number)
{
	char text[INT64_TEXT_MAX];

	snprintf(text, sizeof(text), "%" PRId64, number);
	return json_string(text);
}

/* Reads a 64-bit number, which etcd's JSON has as a string. */
static int64_t read_int64(json_t *object, const char *field)
{
	json_t *value = json_object_get(object, field);

	if (json_is_string(value))
		return strtoll(json_string_value(value), NULL, 10);
	return json_integer_value(value);
}

static json_t *response_header(void)
{
	return json_pack("{s:o}", "revision", int64_json(state.revision));
}

/* Values */

static struct value *find_value(const char *key)
{
	struct value *value;

	HASH_FIND_STR(state.values, key, value);
	return value;
}

static void put(const char *key, const char *data, int64_t lease_id)
{
	struct value *value = find_value(key);

	if (!value) {
		value = calloc(1, sizeof(*value));
		value->key = strdup(key);
		HASH_ADD_KEYPTR(hh, state.values, value->key,
				strlen(value->key), value);
	}
	free(value->data);
	value->data = strdup(data ? data : "");
	value->mod_revision = state.revision;
	value->lease_id = lease_id;
}

static void delete_value(struct value *value)
{
	HASH_DEL(state.values, value);
	free(value->key);
	free(value->data);
	free(value);
}

static json_t *value_json(const struct value *value)
{
	return json_pack("{s:s, s:s, s:o}", "key", value->key, "value",
			 value->data, "mod_revision",
			 int64_json(value->mod_revision));
}

/*
 * Decodes base64. Keys are compared decoded, since the encoded ones sort in a
 * different order.
 */
static void decode_base64(char *out, size_t size, const char *text)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmno"
				     "pqrstuvwxyz0123456789+/";
	unsigned int bits = 0;
	unsigned int buffer = 0;
	size_t used = 0;

	for (; *text && *text != '=' && used + 1 < size; text++) {
		const char *digit = strchr(digits, *text);

		buffer = buffer << 6 | (unsigned int)(digit - digits);
		bits += 6;
		if (bits >= 8) {
			bits -= 8;
			out[used++] = (char)(buffer >> bits);
		}
	}
	out[used] = '\0';
}

static int compare_values(struct value *a, struct value *b)
{
	char key_a[256];
	char key_b[256];

	decode_base64(key_a, sizeof(key_a), a->key);
	decode_base64(key_b, sizeof(key_b), b->key);
	return strcmp(key_a, key_b);
}

static json_t *range_kvs(json_t *request)
{
	const char *from = json_string_value(json_object_get(request, "key"));
	const char *to =
		json_string_value(json_object_get(request, "range_end"));
	char low[256];
	char high[256];
	char key[256];
	json_t *kvs = json_array();
	struct value *value;
	struct value *next;

	if (!to) {
		value = find_value(from);
		if (value)
			json_array_append_new(kvs, value_json(value));
		return kvs;
	}
	decode_base64(low, sizeof(low), from);
	decode_base64(high, sizeof(high), to);
	HASH_SORT(state.values, compare_values);
	HASH_ITER (hh, state.values, value, next) {
		decode_base64(key, sizeof(key), value->key);
		if (strcmp(key, low) >= 0 && strcmp(key, high) < 0)
			json_array_append_new(kvs, value_json(value));
	}
	return kvs;
}

static void serve_range(struct zr_http_exchange *exchange, json_t *request)
{
	reply_json(exchange, 200,
		   json_pack("{s:o, s:o}", "header", response_header(), "kvs",
			     range_kvs(request)));
}

/* Transactions */

static bool compare_succeeds(json_t *compare)
{
	const struct value *value =
		find_value(json_string_value(json_object_get(compare, "key")));
	int64_t revision = value ? value->mod_revision : 0;

	return revision == read_int64(compare, "mod_revision");
}

static bool all_compares_succeed(json_t *compares)
{
	json_t *compare;
	size_t index;

	json_array_foreach (compares, index, compare) {
		if (!compare_succeeds(compare))
			return false;
	}
	return true;
}

static json_t *run_op(json_t *op)
{
	json_t *range_request = json_object_get(op, "request_range");
	json_t *put_request = json_object_get(op, "request_put");
	json_t *delete_request = json_object_get(op, "request_delete_range");

	if (range_request)
		return json_pack("{s:{s:o}}", "response_range", "kvs",
				 range_kvs(range_request));
	if (put_request)
		put(json_string_value(json_object_get(put_request, "key")),
		    json_string_value(json_object_get(put_request, "value")),
		    read_int64(put_request, "lease"));
	if (delete_request) {
		struct value *value = find_value(json_string_value(
			json_object_get(delete_request, "key")));

		if (value)
			delete_value(value);
	}
	return json_object();
}

static void serve_txn(struct zr_http_exchange *exchange, json_t *request)
{
	bool succeeded =
		all_compares_succeed(json_object_get(request, "compare"));
	json_t *ops =
		json_object_get(request, succeeded ? "success" : "failure");
	json_t *responses = json_array();
	size_t index;
	json_t *op;

	if (succeeded)
		state.revision++;
	json_array_foreach (ops, index, op)
		json_array_append_new(responses, run_op(op));
	reply_json(exchange, 200,
		   json_pack("{s:o, s:b, s:o}", "header", response_header(),
			     "succeeded", (int)succeeded, "responses",
			     responses));
}

/* Leases */

static struct lease *find_lease(json_t *request)
{
	int64_t id = read_int64(request, "ID");
	struct lease *lease;

	HASH_FIND(hh, state.leases, &id, sizeof(id), lease);
	return lease;
}

static void serve_grant(struct zr_http_exchange *exchange, json_t *request)
{
	struct lease *lease = calloc(1, sizeof(*lease));

	lease->id = ++state.last_lease_id;
	lease->ttl_ms = read_int64(request, "TTL") * MS_PER_S;
	lease->expires_at = zr_time_add_ms(now(), lease->ttl_ms);
	HASH_ADD(hh, state.leases, id, sizeof(lease->id), lease);
	reply_json(exchange, 200,
		   json_pack("{s:o, s:o, s:o}", "header", response_header(),
			     "ID", int64_json(lease->id), "TTL",
			     int64_json(lease->ttl_ms / MS_PER_S)));
}

static void serve_keepalive(struct zr_http_exchange *exchange, json_t *request)
{
	struct lease *lease = find_lease(request);
	int64_t ttl_ms = lease ? lease->ttl_ms : 0;

	if (lease)
		lease->expires_at = zr_time_add_ms(now(), lease->ttl_ms);
	reply_json(exchange, 200,
		   json_pack("{s:{s:o, s:o}}", "result", "ID",
			     int64_json(read_int64(request, "ID")), "TTL",
			     int64_json(ttl_ms / MS_PER_S)));
}

/* Removes a lease and the keys that are attached to it. */
static void delete_lease(struct lease *lease)
{
	struct value *value;
	struct value *next;

	state.revision++;
	HASH_ITER (hh, state.values, value, next) {
		if (value->lease_id == lease->id)
			delete_value(value);
	}
	HASH_DEL(state.leases, lease);
	free(lease);
}

static void serve_revoke(struct zr_http_exchange *exchange, json_t *request)
{
	struct lease *lease = find_lease(request);

	if (lease)
		delete_lease(lease);
	reply_json(exchange, lease ? 200 : 404,
		   json_pack("{s:o}", "header", response_header()));
}

static void on_tick(uv_timer_t *timer)
{
	struct timespec at = now();
	struct lease *lease;
	struct lease *next;

	(void)timer;
	HASH_ITER (hh, state.leases, lease, next) {
		if (zr_time_cmp(at, lease->expires_at) > 0)
			delete_lease(lease);
	}
}

/* Requests */

/*
 * `/fault?lose=N`: the next N transactions are applied, but not answered. The
 * answer, also without `lose`, is the number of those still to come.
 */
static void serve_fault(struct zr_http_exchange *exchange)
{
	const char *count = zr_http_get_query_param(exchange, "lose");

	if (count)
		state.replies_to_drop = (unsigned int)atoi(count);
	reply_json(exchange, 200, json_integer(state.replies_to_drop));
}

/* Whether to leave this request without an answer; if so, counts it. */
static bool take_dropped_reply(const char *path)
{
	if (!state.replies_to_drop || strcmp(path, "/v3/kv/txn"))
		return false;
	state.replies_to_drop--;
	return true;
}

static void on_store(void *ctx, struct zr_http_exchange *exchange)
{
	static const struct {
		const char *path;
		void (*serve)(struct zr_http_exchange *exchange,
			      json_t *request);
	} routes[] = {
		{"/v3/kv/range", serve_range},
		{"/v3/kv/txn", serve_txn},
		{"/v3/lease/grant", serve_grant},
		{"/v3/lease/keepalive", serve_keepalive},
		{"/v3/lease/revoke", serve_revoke},
	};
	const char *path = zr_http_get_path(exchange);
	size_t length;
	const char *body = zr_http_get_body(exchange, &length);
	json_t *request = json_loadb(body ? body : "", length, 0, NULL);
	size_t i;

	(void)ctx;
	if (!strncmp(path, "/fault", strlen("/fault"))) {
		json_decref(request);
		serve_fault(exchange);
		return;
	}
	state.call_count++;
	state.dropping_reply = take_dropped_reply(path);
	for (i = 0; i < sizeof(routes) / sizeof(routes[0]); i++) {
		if (request && !strcmp(path, routes[i].path)) {
			routes[i].serve(exchange, request);
			state.dropping_reply = false;
			json_decref(request);
			return;
		}
	}
	json_decref(request);
	state.dropping_reply = false;
	reply_json(exchange, 400, json_pack("{s:s}", "error", "bad request"));
}

static void on_hosts(void *ctx, struct zr_http_exchange *exchange)
{
	json_t *hosts = json_load_file(state.hosts_file, 0, NULL);

	(void)ctx;
	if (hosts)
		reply_json(exchange, 200, hosts);
	else
		reply_json(exchange, 503, json_object());
}

static error_t parse_option(int key, char *arg, struct argp_state *argp_state)
{
	(void)argp_state;
	switch (key) {
	case 's':
		state.store_address = arg;
		return 0;
	case 'l':
		state.hosts_address = arg;
		return 0;
	case 'f':
		state.hosts_file = arg;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int main(int argc, char **argv)
{
	static const struct argp_option options[] = {
		{"store", 's', "ADDRESS", 0,
		 "Address on which to serve the store", 0},
		{"hosts", 'l', "ADDRESS", 0,
		 "Address on which to serve the host list", 0},
		{"hosts-file", 'f', "FILE", 0,
		 "File with the host list, as JSON", 0},
		{0},
	};
	static const struct argp argp = {
		options, parse_option,
		NULL,	 "Stand-in for the platform in tests.",
		NULL,	 NULL,
		NULL};
	struct zr_http_server_options server_options =
		ZR_HTTP_SERVER_OPTIONS_INIT;
	struct zr_http_server *store;
	struct zr_http_server *hosts;
	uv_loop_t *loop = uv_default_loop();
	uv_timer_t timer;

	signal(SIGPIPE, SIG_IGN);
	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	server_options.max_body_bytes = BODY_BYTES_MAX;
	if (zr_http_server_new(&store, loop, state.store_address,
			       &server_options, on_store, NULL) < 0 ||
	    zr_http_server_new(&hosts, loop, state.hosts_address,
			       &server_options, on_hosts, NULL) < 0) {
		fprintf(stderr, "%s\n", zr_error_last());
		return 1;
	}
	uv_timer_init(loop, &timer);
	uv_timer_start(&timer, on_tick, TICK_MS, TICK_MS);
	return uv_run(loop, UV_RUN_DEFAULT);
}

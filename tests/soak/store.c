#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>

#include "soak.h"
#include "base64.h"

#define KEY_MAX 256
#define PAGE_MAX 500
#define WATCH_EVENTS_MAX 500
#define HISTORY_MS 20000
#define IN_PREFIX "zr/cell/in/"
#define JOB_MAX 64

struct item {
	char key[KEY_MAX];
	char *value; /* base64, as on the wire; NULL in an event: deleted */
	int64_t revision;
	int64_t created;
	int64_t lease;
	int64_t at; /* of an event: when */
	struct item *prev;
	struct item *next;
	UT_hash_handle hh;
};

struct lease {
	int64_t id;
	int64_t ttl_ms;
	int64_t until;
	UT_hash_handle hh;
};

/* A watch that waits, or an answer that is late. */
struct held {
	struct zr_http_exchange *exchange;
	char prefix[KEY_MAX];
	int64_t after;
	int64_t until;
	int status;
	json_t *body; /* of a late answer */
	struct held *prev;
	struct held *next;
};

struct job {
	char id[JOB_MAX];
	UT_hash_handle hh;
};

static struct item *items;
static struct item *history;
static struct lease *leases;
static struct held *watches;
static struct held *late;
static struct job *jobs;
static int64_t revision = 1;
static int64_t oldest = 1; /* events up to it are gone */
static int64_t next_lease = 1;
static int64_t down_until;
static bool down_silent;
static int64_t slow_until;
static int64_t slow_ms;
static unsigned int lose_writes;

/* Data */

static struct item *find(const char *key)
{
	struct item *item;

	HASH_FIND_STR(items, key, item);
	return item;
}

static void remember(const char *key, const char *value)
{
	struct item *event = calloc(1, sizeof(*event));

	snprintf(event->key, sizeof(event->key), "%s", key);
	event->value = value ? strdup(value) : NULL;
	event->revision = revision;
	event->at = soak_now_ms();
	DL_APPEND(history, event);
}

static void note_job(const char *key)
{
	const char *id = key + strlen(IN_PREFIX);
	struct job *job;

	if (strncmp(key, IN_PREFIX, strlen(IN_PREFIX)) || strchr(id, '.'))
		return;
	HASH_FIND_STR(jobs, id, job);
	if (job)
		return;
	job = calloc(1, sizeof(*job));
	snprintf(job->id, sizeof(job->id), "%s", id);
	HASH_ADD_STR(jobs, id, job);
}

bool soak_store_has_accepted(const char *id)
{
	struct job *job;

	HASH_FIND_STR(jobs, id, job);
	return job != NULL;
}

static void write_item(const char *key, const char *value, int64_t lease)
{
	struct item *item = find(key);

	if (!item) {
		item = calloc(1, sizeof(*item));
		snprintf(item->key, sizeof(item->key), "%s", key);
		item->created = revision;
		HASH_ADD_STR(items, key, item);
	}
	free(item->value);
	item->value = strdup(value);
	item->revision = revision;
	item->lease = lease;
	remember(key, value);
	note_job(key);
}

static void remove_item(const char *key)
{
	struct item *item = find(key);

	if (!item)
		return;
	remember(key, NULL);
	HASH_DEL(items, item);
	free(item->value);
	free(item);
}

static json_t *item_json(const struct item *item)
{
	if (!item->value)
		return json_pack("{s:s, s:I, s:b}", "key", item->key,
				 "revision", (json_int_t)item->revision,
				 "deleted", 1);
	return json_pack("{s:s, s:s, s:I, s:I, s:I}", "key", item->key, "value",
			 item->value, "revision", (json_int_t)item->revision,
			 "created", (json_int_t)item->created, "lease",
			 (json_int_t)item->lease);
}

/* Answers */

static void drop_late(void *ctx)
{
	struct held *held = ctx;

	DL_DELETE(late, held);
	json_decref(held->body);
	free(held);
}

static void answer(struct zr_http_exchange *exchange, int status, json_t *body)
{
	struct held *held;

	if (soak_now_ms() >= slow_until) {
		soak_reply(exchange, status, body);
		return;
	}
	held = calloc(1, sizeof(*held));
	held->exchange = exchange;
	held->status = status;
	held->body = body;
	held->until = soak_now_ms() + slow_ms;
	zr_http_set_on_disconnect(exchange, drop_late, held);
	DL_APPEND(late, held);
}

static void serve_key(struct zr_http_exchange *exchange)
{
	const char *key = zr_http_get_query_param(exchange, "key");
	const struct item *item = key ? find(key) : NULL;
	json_t *body;

	if (!item) {
		answer(exchange, 404, json_object());
		return;
	}
	body = item_json(item);
	json_object_set_new(body, "store_revision", json_integer(revision));
	answer(exchange, 200, body);
}

static int by_key(struct item *a, struct item *b)
{
	return strcmp(a->key, b->key);
}

static void serve_range(struct zr_http_exchange *exchange)
{
	char prefix[KEY_MAX];
	char after[KEY_MAX] = "";
	const char *text = zr_http_get_query_param(exchange, "prefix");
	json_t *rows = json_array();
	struct item *item;
	struct item *next;
	bool more = false;

	snprintf(prefix, sizeof(prefix), "%s", text ? text : "");
	text = zr_http_get_query_param(exchange, "after");
	if (text)
		snprintf(after, sizeof(after), "%s", text);
	HASH_SORT(items, by_key);
	HASH_ITER (hh, items, item, next) {
		if (strncmp(item->key, prefix, strlen(prefix)) ||
		    strcmp(item->key, after) <= 0)
			continue;
		if (json_array_size(rows) == PAGE_MAX) {
			more = true;
			break;
		}
		json_array_append_new(rows, item_json(item));
	}
	answer(exchange, 200,
	       json_pack("{s:o, s:b, s:I}", "items", rows, "has_more",
			 (int)more, "store_revision", (json_int_t)revision));
}

/* Watches */

static json_t *events_of(const struct held *watch)
{
	json_t *rows = json_array();
	const struct item *event;

	DL_FOREACH(history, event)
	{
		if (event->revision > watch->after &&
		    !strncmp(event->key, watch->prefix,
			     strlen(watch->prefix)) &&
		    json_array_size(rows) < WATCH_EVENTS_MAX)
			json_array_append_new(rows, item_json(event));
	}
	return rows;
}

static bool end_watch(struct held *watch)
{
	json_t *rows;

	if (watch->after < oldest) {
		soak_reply(watch->exchange, 410, json_object());
		return true;
	}
	rows = events_of(watch);
	if (!json_array_size(rows) && soak_now_ms() < watch->until) {
		json_decref(rows);
		return false;
	}
	soak_reply(watch->exchange, 200,
		   json_pack("{s:o, s:I}", "events", rows, "store_revision",
			     (json_int_t)revision));
	return true;
}

static void drop_watch(void *ctx)
{
	struct held *watch = ctx;

	DL_DELETE(watches, watch);
	free(watch);
}

static void look_at_watches(void)
{
	struct held *watch;
	struct held *next;

	DL_FOREACH_SAFE(watches, watch, next)
	{
		if (!end_watch(watch))
			continue;
		DL_DELETE(watches, watch);
		free(watch);
	}
}

static void serve_watch(struct zr_http_exchange *exchange)
{
	struct held *watch = calloc(1, sizeof(*watch));
	const char *text = zr_http_get_query_param(exchange, "prefix");

	snprintf(watch->prefix, sizeof(watch->prefix), "%s", text ? text : "");
	text = zr_http_get_query_param(exchange, "after");
	watch->after = text ? atoll(text) : 0;
	text = zr_http_get_query_param(exchange, "wait_ms");
	watch->until = soak_now_ms() + (text ? atoll(text) : 0);
	watch->exchange = exchange;
	if (end_watch(watch)) {
		free(watch);
		return;
	}
	zr_http_set_on_disconnect(exchange, drop_watch, watch);
	DL_APPEND(watches, watch);
}

/* Writes */

static json_t *conflicts(json_t *rows)
{
	json_t *found = json_array();
	bool conflict = false;
	json_t *row;
	size_t i;

	json_array_foreach (rows, i, row) {
		const struct item *item =
			find(json_string_value(json_object_get(row, "key")));
		int64_t want =
			json_integer_value(json_object_get(row, "revision"));

		conflict |= (item ? item->revision : 0) != want;
		if (item)
			json_array_append_new(found, item_json(item));
	}
	if (conflict)
		return found;
	json_decref(found);
	return NULL;
}

static bool lease_missing(json_t *puts)
{
	struct lease *lease;
	json_t *row;
	size_t i;

	json_array_foreach (puts, i, row) {
		int64_t id = json_integer_value(json_object_get(row, "lease"));

		HASH_FIND(hh, leases, &id, sizeof(id), lease);
		if (id && !lease)
			return true;
	}
	return false;
}

static void apply(json_t *puts, json_t *removals)
{
	json_t *row;
	size_t i;

	revision++;
	json_array_foreach (puts, i, row)
		write_item(json_string_value(json_object_get(row, "key")),
			   json_string_value(json_object_get(row, "value")),
			   json_integer_value(json_object_get(row, "lease")));
	json_array_foreach (removals, i, row)
		remove_item(json_string_value(row));
}

/* An answer is lost: the caller's connection stays silent. */
static void lose(void *ctx)
{
	(void)ctx;
}

static void serve_txn(struct zr_http_exchange *exchange, json_t *request)
{
	json_t *puts = json_object_get(request, "puts");
	json_t *found = conflicts(json_object_get(request, "expected_rev"));

	if (found) {
		answer(exchange, 412, json_pack("{s:o}", "items", found));
		return;
	}
	if (lease_missing(puts)) {
		answer(exchange, 404, json_object());
		return;
	}
	apply(puts, json_object_get(request, "remove"));
	if (lose_writes) {
		lose_writes--;
		zr_http_set_on_disconnect(exchange, lose, NULL);
	} else {
		answer(exchange, 200,
		       json_pack("{s:I}", "revision", (json_int_t)revision));
	}
	look_at_watches();
}

/* Leases */

static void end_lease(struct lease *lease)
{
	struct item *item;
	struct item *next;

	revision++;
	HASH_ITER (hh, items, item, next) {
		if (item->lease == lease->id)
			remove_item(item->key);
	}
	HASH_DEL(leases, lease);
	free(lease);
}

static void serve_grant(struct zr_http_exchange *exchange, json_t *request)
{
	struct lease *lease = calloc(1, sizeof(*lease));

	lease->id = next_lease++;
	lease->ttl_ms = json_integer_value(json_object_get(request, "ttl_ms"));
	lease->until = soak_now_ms() + lease->ttl_ms;
	HASH_ADD(hh, leases, id, sizeof(lease->id), lease);
	answer(exchange, 200,
	       json_pack("{s:I, s:I}", "lease", (json_int_t)lease->id, "ttl_ms",
			 (json_int_t)lease->ttl_ms));
}

static void serve_lease(struct zr_http_exchange *exchange, const char *id_text,
			bool keep)
{
	int64_t id = atoll(id_text);
	struct lease *lease;
	int64_t ttl_ms;

	HASH_FIND(hh, leases, &id, sizeof(id), lease);
	if (!lease) {
		answer(exchange, 404, json_object());
		return;
	}
	ttl_ms = lease->ttl_ms;
	if (keep)
		lease->until = soak_now_ms() + ttl_ms;
	else
		end_lease(lease);
	answer(exchange, 200, json_pack("{s:I}", "ttl_ms", (json_int_t)ttl_ms));
	look_at_watches();
}

/* Calls */

static void serve_write(struct zr_http_exchange *exchange, const char *path)
{
	size_t length;
	const char *text = zr_http_get_body(exchange, &length);
	json_t *request = json_loadb(text ? text : "", length, 0, NULL);

	if (!strncmp(path, "/-/kv-keep/", 11))
		serve_lease(exchange, path + 11, true);
	else if (!strncmp(path, "/-/kv-lease-end/", 16))
		serve_lease(exchange, path + 16, false);
	else if (request && !strcmp(path, "/-/kv-txn"))
		serve_txn(exchange, request);
	else if (request && !strcmp(path, "/-/kv-lease"))
		serve_grant(exchange, request);
	else
		soak_reply(exchange, 400, json_object());
	json_decref(request);
}

void soak_store_serve(void *ctx, struct zr_http_exchange *exchange)
{
	const char *path = zr_http_get_path(exchange);

	(void)ctx;
	if (soak_now_ms() < down_until) {
		if (down_silent)
			zr_http_set_on_disconnect(exchange, lose, NULL);
		else
			soak_reply(exchange, 503, json_object());
		return;
	}
	if (!strcmp(path, "/-/kv-key"))
		serve_key(exchange);
	else if (!strcmp(path, "/-/kv-range"))
		serve_range(exchange);
	else if (!strcmp(path, "/-/kv-watch"))
		serve_watch(exchange);
	else
		serve_write(exchange, path);
}

static void forget_before(int64_t at)
{
	struct item *event;
	struct item *next;

	DL_FOREACH_SAFE(history, event, next)
	{
		if (event->at > at)
			return;
		oldest = event->revision;
		DL_DELETE(history, event);
		free(event->value);
		free(event);
	}
}

void soak_store_tick(void)
{
	int64_t now = soak_now_ms();
	struct lease *lease;
	struct lease *next_row;
	struct held *held;
	struct held *next;

	/* Leases pause while the store is down. */
	HASH_ITER (hh, leases, lease, next_row) {
		if (now >= lease->until && now >= down_until)
			end_lease(lease);
	}
	DL_FOREACH_SAFE(late, held, next)
	{
		if (now < held->until)
			continue;
		DL_DELETE(late, held);
		soak_reply(held->exchange, held->status, held->body);
		free(held);
	}
	forget_before(now - HISTORY_MS);
	look_at_watches();
}

void soak_store_put(const char *key, json_t *value)
{
	char *text = json_dumps(value, JSON_COMPACT);
	char *encoded = zr_base64_encode(text, strlen(text));

	revision++;
	write_item(key, encoded, 0);
	free(encoded);
	free(text);
	json_decref(value);
	look_at_watches();
}

void soak_store_remove(const char *key)
{
	revision++;
	remove_item(key);
	look_at_watches();
}

void soak_store_down(int64_t ms, bool silent)
{
	down_until = soak_now_ms() + ms;
	down_silent = silent;
}

void soak_store_slow(int64_t ms, int64_t delay_ms)
{
	slow_until = soak_now_ms() + ms;
	slow_ms = delay_ms;
}

void soak_store_drop_replies(unsigned int count)
{
	lose_writes += count;
}

void soak_store_compact(void)
{
	forget_before(soak_now_ms());
	oldest = revision;
	look_at_watches();
}

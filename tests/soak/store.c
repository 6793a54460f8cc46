#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>

#include "soak.h"
#include "base64.h"

#define KEY_MAX 256
/* Max number of items in an answer to a range request. */
#define PAGE_MAX 500
#define WATCH_EVENTS_MAX 500
/* How long the history keeps an event. */
#define HISTORY_MS 20000
#define JOB_KEY_PREFIX "zr/cell/in/"
#define JOB_ID_MAX 64

/**
 * struct item - a key in the store, or an event in the history
 * @key: the key
 * @value: base64, as on the wire; NULL in an event that removed the key
 * @revision: revision of the store that wrote the value or removed the key
 * @created_revision: revision that created the key; 0 in an event
 * @lease_id: lease that the key is attached to, or 0
 * @recorded_at: when the event was recorded
 */
struct item {
	char key[KEY_MAX];
	char *value;
	int64_t revision;
	int64_t created_revision;
	int64_t lease_id;
	int64_t recorded_at;
	struct item *prev;
	struct item *next;
	UT_hash_handle hh;
};

struct lease {
	int64_t id;
	int64_t ttl_ms;
	int64_t expires_at;
	UT_hash_handle hh;
};

/**
 * struct pending - a watch that waits for events, or a delayed answer
 * @prefix: prefix of the watched keys
 * @after_revision: the watch wants events with a later revision
 * @due_at: when to answer the watch without an event, or to send the answer
 * @status: HTTP status of the delayed answer
 * @body: body of the delayed answer
 */
struct pending {
	struct zr_http_exchange *exchange;
	char prefix[KEY_MAX];
	int64_t after_revision;
	int64_t due_at;
	int status;
	json_t *body;
	struct pending *prev;
	struct pending *next;
};

/* A job that was ever written to the store. */
struct job {
	char id[JOB_ID_MAX];
	UT_hash_handle hh;
};

static struct item *items;
static struct item *history;
static struct lease *leases;
static struct pending *watches;
static struct pending *delayed_replies;
static struct job *jobs;
static int64_t revision = 1;
static int64_t compacted_revision = 1; /* no events up to this one are left */
static int64_t next_lease_id = 1;
static int64_t down_until;
static bool is_silent;
static int64_t slow_until;
static int64_t reply_delay_ms;
static unsigned int replies_to_drop;

/* Data */

static struct item *find_item(const char *key)
{
	struct item *item;

	HASH_FIND_STR(items, key, item);
	return item;
}

static void record_event(const char *key, const char *value)
{
	struct item *event = calloc(1, sizeof(*event));

	snprintf(event->key, sizeof(event->key), "%s", key);
	event->value = value ? strdup(value) : NULL;
	event->revision = revision;
	event->recorded_at = soak_now_ms();
	DL_APPEND(history, event);
}

/* Notes a job when its record is written, which has a key without a suffix. */
static void record_job(const char *key)
{
	const char *id = key + strlen(JOB_KEY_PREFIX);
	struct job *job;

	if (strncmp(key, JOB_KEY_PREFIX, strlen(JOB_KEY_PREFIX)) ||
	    strchr(id, '.'))
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

static void write_item(const char *key, const char *value, int64_t lease_id)
{
	struct item *item = find_item(key);

	if (!item) {
		item = calloc(1, sizeof(*item));
		snprintf(item->key, sizeof(item->key), "%s", key);
		item->created_revision = revision;
		HASH_ADD_STR(items, key, item);
	}
	free(item->value);
	item->value = strdup(value);
	item->revision = revision;
	item->lease_id = lease_id;
	record_event(key, value);
	record_job(key);
}

static void remove_item(const char *key)
{
	struct item *item = find_item(key);

	if (!item)
		return;
	record_event(key, NULL);
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
			 "created", (json_int_t)item->created_revision, "lease",
			 (json_int_t)item->lease_id);
}

/* Answers */

/* Called when the caller has disconnected before its delayed answer. */
static void drop_delayed_reply(void *ctx)
{
	struct pending *pending = ctx;

	DL_DELETE(delayed_replies, pending);
	json_decref(pending->body);
	free(pending);
}

/* Sends an answer, late while the store is slow. */
static void reply(struct zr_http_exchange *exchange, int status, json_t *body)
{
	struct pending *pending;

	if (soak_now_ms() >= slow_until) {
		soak_reply(exchange, status, body);
		return;
	}
	pending = calloc(1, sizeof(*pending));
	pending->exchange = exchange;
	pending->status = status;
	pending->body = body;
	pending->due_at = soak_now_ms() + reply_delay_ms;
	zr_http_set_on_disconnect(exchange, drop_delayed_reply, pending);
	DL_APPEND(delayed_replies, pending);
}

static void serve_get(struct zr_http_exchange *exchange)
{
	const char *key = zr_http_get_query_param(exchange, "key");
	const struct item *item = key ? find_item(key) : NULL;
	json_t *body;

	if (!item) {
		reply(exchange, 404, json_object());
		return;
	}
	body = item_json(item);
	json_object_set_new(body, "store_revision", json_integer(revision));
	reply(exchange, 200, body);
}

static int compare_keys(struct item *a, struct item *b)
{
	return strcmp(a->key, b->key);
}

static void serve_range(struct zr_http_exchange *exchange)
{
	char prefix[KEY_MAX];
	char after[KEY_MAX] = "";
	const char *text = zr_http_get_query_param(exchange, "prefix");
	json_t *page = json_array();
	struct item *item;
	struct item *next;
	bool more = false;

	snprintf(prefix, sizeof(prefix), "%s", text ? text : "");
	text = zr_http_get_query_param(exchange, "after");
	if (text)
		snprintf(after, sizeof(after), "%s", text);
	HASH_SORT(items, compare_keys);
	HASH_ITER (hh, items, item, next) {
		if (strncmp(item->key, prefix, strlen(prefix)) ||
		    strcmp(item->key, after) <= 0)
			continue;
		if (json_array_size(page) == PAGE_MAX) {
			more = true;
			break;
		}
		json_array_append_new(page, item_json(item));
	}
	reply(exchange, 200,
	      json_pack("{s:o, s:b, s:I}", "items", page, "has_more", (int)more,
			"store_revision", (json_int_t)revision));
}

/* Watches */

/* The events that a watch hasn't received yet. */
static json_t *watch_events(const struct pending *watch)
{
	json_t *events = json_array();
	const struct item *event;

	DL_FOREACH(history, event)
	{
		if (event->revision > watch->after_revision &&
		    !strncmp(event->key, watch->prefix,
			     strlen(watch->prefix)) &&
		    json_array_size(events) < WATCH_EVENTS_MAX)
			json_array_append_new(events, item_json(event));
	}
	return events;
}

/* Answers a watch if it has to be answered now. Returns whether it was. */
static bool try_reply_watch(struct pending *watch)
{
	json_t *events;

	if (watch->after_revision < compacted_revision) {
		soak_reply(watch->exchange, 410, json_object());
		return true;
	}
	events = watch_events(watch);
	if (!json_array_size(events) && soak_now_ms() < watch->due_at) {
		json_decref(events);
		return false;
	}
	soak_reply(watch->exchange, 200,
		   json_pack("{s:o, s:I}", "events", events, "store_revision",
			     (json_int_t)revision));
	return true;
}

/* Called when the caller of a watch has disconnected. */
static void drop_watch(void *ctx)
{
	struct pending *watch = ctx;

	DL_DELETE(watches, watch);
	free(watch);
}

/* Answers the watches that have events, timed out or lost their history. */
static void reply_to_watches(void)
{
	struct pending *watch;
	struct pending *next;

	DL_FOREACH_SAFE(watches, watch, next)
	{
		if (!try_reply_watch(watch))
			continue;
		DL_DELETE(watches, watch);
		free(watch);
	}
}

static void serve_watch(struct zr_http_exchange *exchange)
{
	struct pending *watch = calloc(1, sizeof(*watch));
	const char *text = zr_http_get_query_param(exchange, "prefix");

	snprintf(watch->prefix, sizeof(watch->prefix), "%s", text ? text : "");
	text = zr_http_get_query_param(exchange, "after");
	watch->after_revision = text ? atoll(text) : 0;
	text = zr_http_get_query_param(exchange, "wait_ms");
	watch->due_at = soak_now_ms() + (text ? atoll(text) : 0);
	watch->exchange = exchange;
	if (try_reply_watch(watch)) {
		free(watch);
		return;
	}
	zr_http_set_on_disconnect(exchange, drop_watch, watch);
	DL_APPEND(watches, watch);
}

/* Writes */

/*
 * Returns the current items of all keys of a transaction if one of them doesn't
 * have its expected revision (0: absent), otherwise NULL.
 */
static json_t *find_conflicts(json_t *expected_revisions)
{
	json_t *items_read = json_array();
	bool conflict = false;
	json_t *entry;
	size_t i;

	json_array_foreach (expected_revisions, i, entry) {
		const struct item *item = find_item(
			json_string_value(json_object_get(entry, "key")));
		int64_t expected =
			json_integer_value(json_object_get(entry, "revision"));

		conflict |= (item ? item->revision : 0) != expected;
		if (item)
			json_array_append_new(items_read, item_json(item));
	}
	if (conflict)
		return items_read;
	json_decref(items_read);
	return NULL;
}

static bool has_unknown_lease(json_t *puts)
{
	struct lease *lease;
	json_t *entry;
	size_t i;

	json_array_foreach (puts, i, entry) {
		int64_t id =
			json_integer_value(json_object_get(entry, "lease"));

		HASH_FIND(hh, leases, &id, sizeof(id), lease);
		if (id && !lease)
			return true;
	}
	return false;
}

/* Writes and removes keys under one new revision. */
static void apply_txn(json_t *puts, json_t *removals)
{
	json_t *entry;
	size_t i;

	revision++;
	json_array_foreach (puts, i, entry)
		write_item(json_string_value(json_object_get(entry, "key")),
			   json_string_value(json_object_get(entry, "value")),
			   json_integer_value(json_object_get(entry, "lease")));
	json_array_foreach (removals, i, entry)
		remove_item(json_string_value(entry));
}

/* For an exchange that stays without an answer: nothing to release. */
static void ignore_disconnect(void *ctx)
{
	(void)ctx;
}

static void serve_txn(struct zr_http_exchange *exchange, json_t *request)
{
	json_t *puts = json_object_get(request, "puts");
	json_t *conflicts =
		find_conflicts(json_object_get(request, "expected_rev"));

	if (conflicts) {
		reply(exchange, 412, json_pack("{s:o}", "items", conflicts));
		return;
	}
	if (has_unknown_lease(puts)) {
		reply(exchange, 404, json_object());
		return;
	}
	apply_txn(puts, json_object_get(request, "remove"));
	if (replies_to_drop) {
		replies_to_drop--;
		zr_http_set_on_disconnect(exchange, ignore_disconnect, NULL);
	} else {
		reply(exchange, 200,
		      json_pack("{s:I}", "revision", (json_int_t)revision));
	}
	reply_to_watches();
}

/* Leases */

/* Removes a lease and the keys that are attached to it. */
static void delete_lease(struct lease *lease)
{
	struct item *item;
	struct item *next;

	revision++;
	HASH_ITER (hh, items, item, next) {
		if (item->lease_id == lease->id)
			remove_item(item->key);
	}
	HASH_DEL(leases, lease);
	free(lease);
}

static void serve_grant(struct zr_http_exchange *exchange, json_t *request)
{
	struct lease *lease = calloc(1, sizeof(*lease));

	lease->id = next_lease_id++;
	lease->ttl_ms = json_integer_value(json_object_get(request, "ttl_ms"));
	lease->expires_at = soak_now_ms() + lease->ttl_ms;
	HASH_ADD(hh, leases, id, sizeof(lease->id), lease);
	reply(exchange, 200,
	      json_pack("{s:I, s:I}", "lease", (json_int_t)lease->id, "ttl_ms",
			(json_int_t)lease->ttl_ms));
}

/* Renews or revokes a lease. */
static void serve_lease(struct zr_http_exchange *exchange, const char *id_text,
			bool renew)
{
	int64_t id = atoll(id_text);
	struct lease *lease;
	int64_t ttl_ms;

	HASH_FIND(hh, leases, &id, sizeof(id), lease);
	if (!lease) {
		reply(exchange, 404, json_object());
		return;
	}
	ttl_ms = lease->ttl_ms;
	if (renew)
		lease->expires_at = soak_now_ms() + ttl_ms;
	else
		delete_lease(lease);
	reply(exchange, 200, json_pack("{s:I}", "ttl_ms", (json_int_t)ttl_ms));
	reply_to_watches();
}

/* Requests */

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
		if (is_silent)
			zr_http_set_on_disconnect(exchange, ignore_disconnect,
						  NULL);
		else
			soak_reply(exchange, 503, json_object());
		return;
	}
	if (!strcmp(path, "/-/kv-key"))
		serve_get(exchange);
	else if (!strcmp(path, "/-/kv-range"))
		serve_range(exchange);
	else if (!strcmp(path, "/-/kv-watch"))
		serve_watch(exchange);
	else
		serve_write(exchange, path);
}

/* Removes the events that were recorded up to a time. */
static void compact_until(int64_t until)
{
	struct item *event;
	struct item *next;

	DL_FOREACH_SAFE(history, event, next)
	{
		if (event->recorded_at > until)
			return;
		compacted_revision = event->revision;
		DL_DELETE(history, event);
		free(event->value);
		free(event);
	}
}

void soak_store_tick(void)
{
	int64_t now = soak_now_ms();
	struct lease *lease;
	struct lease *next_lease;
	struct pending *pending;
	struct pending *next;

	/* Leases don't expire while the store is down. */
	HASH_ITER (hh, leases, lease, next_lease) {
		if (now >= lease->expires_at && now >= down_until)
			delete_lease(lease);
	}
	DL_FOREACH_SAFE(delayed_replies, pending, next)
	{
		if (now < pending->due_at)
			continue;
		DL_DELETE(delayed_replies, pending);
		soak_reply(pending->exchange, pending->status, pending->body);
		free(pending);
	}
	compact_until(now - HISTORY_MS);
	reply_to_watches();
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
	reply_to_watches();
}

void soak_store_remove(const char *key)
{
	revision++;
	remove_item(key);
	reply_to_watches();
}

void soak_store_down(int64_t ms, bool silent)
{
	down_until = soak_now_ms() + ms;
	is_silent = silent;
}

void soak_store_slow(int64_t ms, int64_t delay_ms)
{
	slow_until = soak_now_ms() + ms;
	reply_delay_ms = delay_ms;
}

void soak_store_drop_replies(unsigned int count)
{
	replies_to_drop += count;
}

void soak_store_compact(void)
{
	compact_until(soak_now_ms());
	compacted_revision = revision;
	reply_to_watches();
}

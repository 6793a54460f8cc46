#include "fakes/fake_store.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "zinniarack/errors.h"

#define TIMEOUT_MS 1000
#define TICK_MS 10

struct value {
	UT_hash_handle hh;
	char *key;
	char *data;
	size_t length;
	int64_t revision;
	int64_t lease;
};

struct lease {
	UT_hash_handle hh;
	int64_t id;
	int64_t ttl_ms;
	int64_t expires_at;
};

struct fake_store {
	struct fake_node *node;
	struct zr_timer *timer;
	struct value *values;
	struct lease *leases;
	int64_t revision;
	int64_t compacted_revision; /* the history begins after this one */
	int64_t next_lease;
	char *denied_key; /* reads and watches of it fail; NULL: none */
	struct pending_watch *pending_watches;
	struct tombstone *tombstones;
	struct fake_store_counts counts;
};

/* A deleted key, for the replies to watches. */
struct tombstone {
	struct tombstone *next;
	char *key;
	int64_t revision;
};

/* A watch that is not answered until a change or the end of its wait time. */
struct pending_watch {
	struct pending_watch *next;
	int64_t checked_revision; /* no change up to this one; -1: unknown */
	struct fake_call *net_call;
	struct call *call;
	int64_t expires_at;
};

struct client {
	struct fake_store *store;
	struct fake_node *node;
};

enum call_kind {
	CALL_RANGE,
	CALL_COMMIT,
	CALL_GRANT,
	CALL_RENEW,
	CALL_REVOKE,
	CALL_WATCH,
};

/* A call owns copies of its parameters and of its reply. */
struct call {
	struct fake_store *store;
	enum call_kind kind;
	enum zr_store_purpose purpose;
	char *key;
	bool prefix;
	int64_t lease;
	int64_t ttl_ms;
	int64_t after_revision;
	unsigned int wait_ms;
	struct zr_store_compare *compares;
	size_t compare_count;
	struct zr_store_put *puts;
	size_t put_count;
	zr_store_done_fn done;
	void *ctx;
	bool served;
	int error;
	struct zr_store_reply reply;
	struct zr_store_value *values;
};

static int64_t now_ms(const struct fake_store *store)
{
	return fake_time_now_ms(fake_node_time(store->node));
}

static void delete_value(struct fake_store *store, struct value *value)
{
	HASH_DEL(store->values, value);
	free(value->key);
	free(value->data);
	free(value);
}

/* Deletes a key at the current revision and records that for watches. */
static void delete_with_tombstone(struct fake_store *store, struct value *value)
{
	struct tombstone *tombstone = calloc(1, sizeof(*tombstone));

	if (!tombstone)
		abort();
	tombstone->key = strdup(value->key);
	tombstone->revision = store->revision;
	tombstone->next = store->tombstones;
	store->tombstones = tombstone;
	delete_value(store, value);
}

static struct value *find_value(const struct fake_store *store, const char *key)
{
	struct value *value;

	HASH_FIND_STR(store->values, key, value);
	return value;
}

/* Replies */

static void clear_reply(struct call *call)
{
	size_t i;

	for (i = 0; i < call->reply.count; i++) {
		free(call->values[i].key);
		free(call->values[i].data);
	}
	free(call->values);
	call->values = NULL;
	memset(&call->reply, 0, sizeof(call->reply));
}

static void reply_value(struct call *call, const struct value *value)
{
	size_t count = call->reply.count;
	struct zr_store_value *out;

	call->values =
		realloc(call->values, (count + 1) * sizeof(*call->values));
	if (!call->values)
		abort();
	out = &call->values[count];
	out->key = strdup(value->key);
	out->data = malloc(value->length + 1);
	if (!out->key || !out->data)
		abort();
	if (value->length)
		memcpy(out->data, value->data, value->length);
	((char *)out->data)[value->length] = 0;
	out->length = value->length;
	out->mod_revision = value->revision;
	call->reply.values = call->values;
	call->reply.count = count + 1;
	call->store->counts.bytes_read += value->length;
}

/* Operations */

static bool is_denied(const struct call *call)
{
	const char *denied = call->store->denied_key;

	return denied && call->key && !strcmp(call->key, denied);
}

static int by_key(struct value *a, struct value *b)
{
	return strcmp(a->key, b->key);
}

static void serve_range(struct fake_store *store, struct call *call)
{
	size_t length = strlen(call->key);
	struct value *value;

	store->counts.reads[call->purpose]++;
	if (!call->prefix) {
		value = find_value(store, call->key);
		if (value)
			reply_value(call, value);
		return;
	}
	HASH_SORT(store->values, by_key);
	for (value = store->values; value; value = value->hh.next) {
		if (!strncmp(value->key, call->key, length))
			reply_value(call, value);
	}
}

static bool compare_matches(const struct fake_store *store,
			    const struct zr_store_compare *compare)
{
	const struct value *value = find_value(store, compare->key);

	return (value ? value->revision : 0) == compare->mod_revision;
}

static void put_value(struct fake_store *store, const struct zr_store_put *put)
{
	struct value *value = find_value(store, put->key);

	if (value && put->data)
		delete_value(store, value);
	else if (value)
		delete_with_tombstone(store, value);
	if (!put->data)
		return;
	value = calloc(1, sizeof(*value));
	value->key = strdup(put->key);
	value->data = malloc(put->length + 1);
	memcpy(value->data, put->data, put->length);
	value->length = put->length;
	value->lease = put->lease;
	value->revision = store->revision;
	HASH_ADD_KEYPTR(hh, store->values, value->key, strlen(value->key),
			value);
	store->counts.bytes_written += put->length;
	if (store->counts.largest < put->length)
		store->counts.largest = put->length;
}

static struct lease *find_lease(const struct fake_store *store, int64_t id)
{
	struct lease *lease;

	HASH_FIND(hh, store->leases, &id, sizeof(id), lease);
	return lease;
}

static bool leases_exist(const struct fake_store *store,
			 const struct call *call)
{
	size_t i;

	for (i = 0; i < call->put_count; i++) {
		if (call->puts[i].lease &&
		    !find_lease(store, call->puts[i].lease))
			return false;
	}
	return true;
}

static void serve_commit(struct fake_store *store, struct call *call)
{
	bool succeeded = true;
	size_t i;

	store->counts.writes[call->purpose]++;
	for (i = 0; i < call->compare_count; i++)
		succeeded =
			succeeded && compare_matches(store, &call->compares[i]);
	if (succeeded && !leases_exist(store, call)) {
		call->error = ZR_E_NOT_FOUND;
		return;
	}
	if (succeeded)
		store->revision++;
	for (i = 0; succeeded && i < call->put_count; i++)
		put_value(store, &call->puts[i]);
	for (i = 0; !succeeded && i < call->compare_count; i++) {
		struct value *value = find_value(store, call->compares[i].key);

		if (value)
			reply_value(call, value);
	}
	call->reply.succeeded = succeeded;
}

static void end_lease(struct fake_store *store, struct lease *lease)
{
	struct value *value;
	struct value *next;

	store->revision++;
	HASH_ITER (hh, store->values, value, next) {
		if (value->lease == lease->id)
			delete_with_tombstone(store, value);
	}
	HASH_DEL(store->leases, lease);
	free(lease);
}

static void serve_lease(struct fake_store *store, struct call *call)
{
	struct lease *lease = find_lease(store, call->lease);

	store->counts.writes[ZR_STORE_LEASE]++;
	if (call->kind == CALL_GRANT) {
		lease = calloc(1, sizeof(*lease));
		lease->id = ++store->next_lease;
		lease->ttl_ms = call->ttl_ms;
		HASH_ADD(hh, store->leases, id, sizeof(lease->id), lease);
	}
	if (!lease) {
		call->error = ZR_E_NOT_FOUND;
		return;
	}
	call->reply.lease = lease->id;
	call->reply.ttl_ms = lease->ttl_ms;
	lease->expires_at = now_ms(store) + lease->ttl_ms;
	if (call->kind == CALL_REVOKE)
		end_lease(store, lease);
}

static void reply_deleted(struct call *call, const struct tombstone *tombstone)
{
	struct value deleted = {.key = tombstone->key,
				.revision = tombstone->revision};
	struct zr_store_value *out;

	reply_value(call, &deleted);
	out = &call->values[call->reply.count - 1];
	free(out->data);
	out->data = NULL;
}

/* Adds the changes after the revision of a watch to its reply. */
static void reply_changes(struct call *call)
{
	size_t length = strlen(call->key);
	const struct tombstone *tombstone;
	struct value *value;

	for (tombstone = call->store->tombstones; tombstone;
	     tombstone = tombstone->next) {
		if (tombstone->revision > call->after_revision &&
		    !strncmp(tombstone->key, call->key, length))
			reply_deleted(call, tombstone);
	}
	HASH_SORT(call->store->values, by_key);
	for (value = call->store->values; value; value = value->hh.next) {
		if (value->revision > call->after_revision &&
		    !strncmp(value->key, call->key, length))
			reply_value(call, value);
	}
	call->reply.revision = call->store->revision;
}

/* Size of a reply to a range or a watch; other replies are small. */
static unsigned long reply_bytes(const struct call *call)
{
	unsigned long bytes = 0;
	size_t i;

	for (i = 0; i < call->reply.count; i++)
		bytes += strlen(call->values[i].key) + call->values[i].length;
	return bytes;
}

static void answer_watches(struct fake_store *store)
{
	struct pending_watch **link = &store->pending_watches;

	while (*link) {
		struct pending_watch *watch = *link;

		if (is_denied(watch->call))
			watch->call->error = ZR_E_STORE_DOWN;
		else if (watch->call->after_revision <
			 store->compacted_revision)
			watch->call->error = ZR_E_NOT_FOUND;
		else if (watch->checked_revision != store->revision)
			reply_changes(watch->call);
		watch->checked_revision = store->revision;
		if (!watch->call->error && !watch->call->reply.count &&
		    now_ms(store) < watch->expires_at) {
			link = &watch->next;
			continue;
		}
		*link = watch->next;
		fake_call_reply_bytes(watch->net_call,
				      reply_bytes(watch->call));
		fake_call_unref(watch->net_call);
		free(watch);
	}
}

static void serve_watch(struct fake_call *net_call, struct call *call)
{
	struct pending_watch *watch = calloc(1, sizeof(*watch));

	if (!watch)
		abort();
	watch->checked_revision = -1;
	watch->net_call = net_call;
	watch->call = call;
	watch->expires_at = now_ms(call->store) + call->wait_ms;
	watch->next = call->store->pending_watches;
	call->store->pending_watches = watch;
	fake_call_ref(net_call);
	answer_watches(call->store);
}

static void serve_call(struct call *call)
{
	call->error = is_denied(call) ? ZR_E_STORE_DOWN : 0;
	if (call->error)
		return;
	if (call->kind == CALL_RANGE)
		serve_range(call->store, call);
	else if (call->kind == CALL_COMMIT)
		serve_commit(call->store, call);
	else
		serve_lease(call->store, call);
	call->reply.revision = call->store->revision;
}

/*
 * A duplicated request takes effect twice. The caller gets the reply to the
 * first, which arrives first.
 */
static void serve(struct fake_call *net_call, void *ctx)
{
	struct call *call = ctx;
	struct call again = *call;

	if (call->kind == CALL_WATCH) {
		/* A duplicate would only be answered twice. */
		if (!call->served)
			serve_watch(net_call, call);
		call->served = true;
		return;
	}
	if (call->served) {
		memset(&again.reply, 0, sizeof(again.reply));
		again.values = NULL;
		serve_call(&again);
		clear_reply(&again);
	} else {
		call->served = true;
		serve_call(call);
	}
	fake_call_reply_bytes(net_call, reply_bytes(call));
	answer_watches(call->store);
}

static void finish(void *ctx, enum fake_result result)
{
	struct call *call = ctx;
	int error = call->error;

	if (result == FAKE_CANCELLED)
		error = ZR_E_CANCELLED;
	else if (result == FAKE_REFUSED)
		error = ZR_E_STORE_DOWN;
	else if (result == FAKE_TIMED_OUT)
		error = call->kind == CALL_RANGE || call->kind == CALL_WATCH
				? ZR_E_STORE_DOWN
				: ZR_E_OUTCOME_UNKNOWN;
	call->done(call->ctx, error, error < 0 ? NULL : &call->reply);
}

static void free_call(void *ctx)
{
	struct call *call = ctx;
	size_t i;

	clear_reply(call);
	for (i = 0; i < call->compare_count; i++)
		free((char *)call->compares[i].key);
	for (i = 0; i < call->put_count; i++) {
		free((char *)call->puts[i].key);
		free((void *)call->puts[i].data);
	}
	free(call->compares);
	free(call->puts);
	free(call->key);
	free(call);
}

static const struct fake_call_ops call_ops = {serve, finish, free_call};

/* Implementation of struct zr_store_ops */

static struct call *new_call(struct client *client, enum call_kind kind,
			     zr_store_done_fn done, void *ctx)
{
	struct call *call = calloc(1, sizeof(*call));

	if (!call)
		abort();
	call->store = client->store;
	call->kind = kind;
	call->done = done;
	call->ctx = ctx;
	return call;
}

static void send_call(struct client *client, struct call *call)
{
	fake_call_send(client->node, client->store->node, &call_ops, call,
		       TIMEOUT_MS);
}

static void store_range(void *impl, enum zr_store_purpose purpose,
			const char *key, bool prefix, zr_store_done_fn done,
			void *ctx)
{
	struct call *call = new_call(impl, CALL_RANGE, done, ctx);

	call->purpose = purpose;
	call->key = strdup(key);
	call->prefix = prefix;
	send_call(impl, call);
}

static void store_watch(void *impl, const char *prefix, int64_t after_revision,
			unsigned int wait_ms, zr_store_done_fn done, void *ctx)
{
	struct call *call = new_call(impl, CALL_WATCH, done, ctx);
	struct client *client = impl;

	call->key = strdup(prefix);
	call->after_revision = after_revision;
	call->wait_ms = wait_ms;
	fake_call_send(client->node, client->store->node, &call_ops, call,
		       wait_ms + TIMEOUT_MS);
}

static void copy_txn(struct call *call, const struct zr_store_txn *txn)
{
	size_t i;

	call->compares =
		calloc(txn->compare_count + 1, sizeof(*call->compares));
	call->puts = calloc(txn->put_count + 1, sizeof(*call->puts));
	call->compare_count = txn->compare_count;
	call->put_count = txn->put_count;
	for (i = 0; i < txn->compare_count; i++) {
		call->compares[i] = txn->compares[i];
		call->compares[i].key = strdup(txn->compares[i].key);
	}
	for (i = 0; i < txn->put_count; i++) {
		struct zr_store_put *put = &call->puts[i];

		*put = txn->puts[i];
		put->key = strdup(put->key);
		if (!put->data)
			continue;
		put->data = malloc(put->length + 1);
		memcpy((void *)put->data, txn->puts[i].data, put->length);
	}
}

static void store_commit(void *impl, enum zr_store_purpose purpose,
			 const struct zr_store_txn *txn, zr_store_done_fn done,
			 void *ctx)
{
	struct call *call = new_call(impl, CALL_COMMIT, done, ctx);

	call->purpose = purpose;
	copy_txn(call, txn);
	send_call(impl, call);
}

static void store_grant(void *impl, int64_t ttl_ms, zr_store_done_fn done,
			void *ctx)
{
	struct call *call = new_call(impl, CALL_GRANT, done, ctx);

	call->ttl_ms = ttl_ms;
	send_call(impl, call);
}

static void store_renew(void *impl, int64_t lease, zr_store_done_fn done,
			void *ctx)
{
	struct call *call = new_call(impl, CALL_RENEW, done, ctx);

	call->lease = lease;
	send_call(impl, call);
}

static void store_revoke(void *impl, int64_t lease, zr_store_done_fn done,
			 void *ctx)
{
	struct call *call = new_call(impl, CALL_REVOKE, done, ctx);

	call->lease = lease;
	send_call(impl, call);
}

static bool store_receiving(void *impl)
{
	const struct client *client = impl;

	return fake_net_receiving(client->node, client->store->node);
}

static void store_free(void *impl)
{
	struct client *client = impl;

	fake_calls_cancel(client->node, client->store->node);
	free(client);
}

static const struct zr_store_ops store_ops = {
	.range = store_range,
	.commit = store_commit,
	.lease_grant = store_grant,
	.lease_renew = store_renew,
	.lease_revoke = store_revoke,
	.watch = store_watch,
	.receiving = store_receiving,
	.free = store_free,
};

void fake_store_client(struct zr_store *out, struct fake_store *store,
		       struct fake_node *node)
{
	struct client *client = calloc(1, sizeof(*client));

	if (!client)
		abort();
	client->store = store;
	client->node = node;
	out->ops = &store_ops;
	out->impl = client;
}

/* The store */

static void on_tick(void *ctx)
{
	struct fake_store *store = ctx;
	struct lease *lease;
	struct lease *next;

	HASH_ITER (hh, store->leases, lease, next) {
		if (now_ms(store) > lease->expires_at)
			end_lease(store, lease);
	}
	answer_watches(store);
}

struct fake_store *fake_store_new(struct fake_net *net, const char *name)
{
	struct fake_store *store = calloc(1, sizeof(*store));

	if (!store)
		abort();
	store->node = fake_node_new(net, name);
	store->timer = zr_timer_new(
		fake_time_timers(fake_node_time(store->node)), on_tick, store);
	zr_timer_start(store->timer, TICK_MS, TICK_MS);
	return store;
}

const struct fake_store_counts *
fake_store_counts(const struct fake_store *store)
{
	return &store->counts;
}

static void free_tombstones(struct fake_store *store)
{
	struct tombstone *tombstone;

	while ((tombstone = store->tombstones)) {
		store->tombstones = tombstone->next;
		free(tombstone->key);
		free(tombstone);
	}
}

void fake_store_deny(struct fake_store *store, const char *key)
{
	free(store->denied_key);
	store->denied_key = key ? strdup(key) : NULL;
	answer_watches(store);
}

void fake_store_lose_history(struct fake_store *store)
{
	store->compacted_revision = store->revision;
	free_tombstones(store);
	answer_watches(store);
}

unsigned long fake_store_size(const struct fake_store *store,
			      const char *prefix)
{
	const struct value *value;
	unsigned long bytes = 0;

	for (value = store->values; value; value = value->hh.next) {
		if (!strncmp(value->key, prefix, strlen(prefix)))
			bytes += value->length;
	}
	return bytes;
}

void fake_store_for_each(const struct fake_store *store, const char *prefix,
			 void (*each)(void *ctx, const char *key,
				      const void *data, size_t length),
			 void *ctx)
{
	const struct value *value;

	for (value = store->values; value; value = value->hh.next) {
		if (!strncmp(value->key, prefix, strlen(prefix)))
			each(ctx, value->key, value->data, value->length);
	}
}

unsigned int fake_store_count_keys(const struct fake_store *store,
				   const char *prefix, const char *not_suffix)
{
	const struct value *value;
	unsigned int count = 0;

	for (value = store->values; value; value = value->hh.next) {
		size_t length = strlen(value->key);
		size_t suffix_length = strlen(not_suffix);

		if (!strncmp(value->key, prefix, strlen(prefix)) &&
		    (length < suffix_length ||
		     strcmp(value->key + length - suffix_length, not_suffix)))
			count++;
	}
	return count;
}

void fake_store_free(struct fake_store *store)
{
	struct value *value;
	struct value *next_value;
	struct lease *lease;
	struct lease *next_lease;

	free_tombstones(store);
	while (store->pending_watches) {
		struct pending_watch *watch = store->pending_watches;

		store->pending_watches = watch->next;
		fake_call_unref(watch->net_call);
		free(watch);
	}
	HASH_ITER (hh, store->values, value, next_value)
		delete_value(store, value);
	HASH_ITER (hh, store->leases, lease, next_lease) {
		HASH_DEL(store->leases, lease);
		free(lease);
	}
	zr_timer_free(store->timer);
	free(store->denied_key);
	free(store);
}

#include "fakes/fake_config_store.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "zinniarack/errors.h"

#define REPLY_DELAY_MS 1
/* Time until a call whose reply is lost ends with ZR_E_OUTCOME_UNKNOWN. */
#define LOST_REPLY_MS 100

struct client {
	struct client *prev;
	struct client *next;
	struct fake_config_store *store;
	char name[64];
	bool disconnected;
	bool replies_held;
	unsigned int replies_to_lose;
};

struct call {
	struct call *prev;
	struct call *next;
	struct client *client;
	struct zr_timer *timer;
	bool due; /* only its reply is held */
	int error;
	struct zr_store_reply reply;
	struct zr_store_value value;
	zr_store_done_fn done;
	void *ctx;
};

struct fake_config_store {
	struct fake_time *time;
	struct client *clients;
	struct call *calls;
	char *data;
	size_t length;
	int64_t revision;
	unsigned int reads;
};

static void deliver(struct call *call)
{
	DL_DELETE(call->client->store->calls, call);
	call->reply.values = call->reply.count ? &call->value : NULL;
	call->done(call->ctx, call->error, call->error ? NULL : &call->reply);
	zr_timer_free(call->timer);
	free(call->value.data);
	free(call);
}

static void on_due(void *ctx)
{
	struct call *call = ctx;

	call->due = true;
	if (!call->client->replies_held)
		deliver(call);
}

static struct call *begin_call(struct client *client, zr_store_done_fn done,
			       void *ctx)
{
	struct fake_config_store *store = client->store;
	struct call *call = calloc(1, sizeof(*call));

	if (!call)
		abort();
	call->client = client;
	call->done = done;
	call->ctx = ctx;
	call->error = client->disconnected ? ZR_E_STORE_DOWN : 0;
	call->timer = zr_timer_new(fake_time_timers(store->time), on_due, call);
	zr_timer_start(call->timer, REPLY_DELAY_MS, 0);
	DL_APPEND(store->calls, call);
	return call;
}

static void reply_value(struct call *call)
{
	const struct fake_config_store *store = call->client->store;

	if (!store->data)
		return;
	call->value.key = "zr/config";
	call->value.data = malloc(store->length);
	memcpy(call->value.data, store->data, store->length);
	call->value.length = store->length;
	call->value.mod_revision = store->revision;
	call->reply.count = 1;
}

static void range(void *impl, enum zr_store_purpose purpose, const char *key,
		  bool prefix, zr_store_done_fn done, void *ctx)
{
	struct client *client = impl;
	struct call *call = begin_call(client, done, ctx);

	(void)purpose;
	(void)key;
	(void)prefix;
	if (call->error)
		return;
	client->store->reads++;
	reply_value(call);
}

static void commit(void *impl, enum zr_store_purpose purpose,
		   const struct zr_store_txn *txn, zr_store_done_fn done,
		   void *ctx)
{
	struct client *client = impl;
	struct fake_config_store *store = client->store;
	struct call *call = begin_call(client, done, ctx);

	(void)purpose;
	if (call->error)
		return;
	call->reply.succeeded =
		txn->compares[0].mod_revision == store->revision;
	if (!call->reply.succeeded) {
		reply_value(call);
	} else {
		free(store->data);
		store->data = malloc(txn->puts[0].length);
		memcpy(store->data, txn->puts[0].data, txn->puts[0].length);
		store->length = txn->puts[0].length;
		store->revision++;
	}
	if (client->replies_to_lose) {
		client->replies_to_lose--;
		call->error = ZR_E_OUTCOME_UNKNOWN;
		zr_timer_start(call->timer, LOST_REPLY_MS, 0);
	}
}

static const struct zr_store_ops ops = {.range = range, .commit = commit};

static struct client *client_get_or_add(struct fake_config_store *store,
					const char *name)
{
	struct client *client;

	DL_FOREACH(store->clients, client)
	{
		if (!strcmp(client->name, name))
			return client;
	}
	client = calloc(1, sizeof(*client));
	if (!client)
		abort();
	client->store = store;
	snprintf(client->name, sizeof(client->name), "%s", name);
	DL_APPEND(store->clients, client);
	return client;
}

void fake_config_store_client(struct zr_store *out,
			      struct fake_config_store *store, const char *name)
{
	out->ops = &ops;
	out->impl = client_get_or_add(store, name);
}

void fake_config_store_set_disconnected(struct fake_config_store *store,
					const char *name, bool disconnected)
{
	client_get_or_add(store, name)->disconnected = disconnected;
}

void fake_config_store_hold_replies(struct fake_config_store *store,
				    const char *name, bool hold)
{
	struct client *client = client_get_or_add(store, name);
	struct call *call;
	struct call *next;

	client->replies_held = hold;
	DL_FOREACH_SAFE(store->calls, call, next)
	{
		if (call->client == client && call->due && !hold)
			deliver(call);
	}
}

void fake_config_store_lose_replies(struct fake_config_store *store,
				    const char *name, unsigned int count)
{
	client_get_or_add(store, name)->replies_to_lose = count;
}

unsigned int fake_config_store_take_read_count(struct fake_config_store *store)
{
	unsigned int reads = store->reads;

	store->reads = 0;
	return reads;
}

struct fake_config_store *fake_config_store_new(struct fake_time *time)
{
	struct fake_config_store *store = calloc(1, sizeof(*store));

	if (!store)
		abort();
	store->time = time;
	return store;
}

void fake_config_store_free(struct fake_config_store *store)
{
	struct call *call;
	struct call *next_call;
	struct client *client;
	struct client *next;

	DL_FOREACH_SAFE(store->calls, call, next_call)
	{
		call->error = ZR_E_CANCELLED;
		deliver(call);
	}
	DL_FOREACH_SAFE(store->clients, client, next)
	free(client);
	free(store->data);
	free(store);
}

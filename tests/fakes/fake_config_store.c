#include "fakes/fake_config_store.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "zinniarack/errors.h"

#define ANSWER_MS 1
#define LOST_MS 100

struct client {
	struct client *prev;
	struct client *next;
	struct fake_config_store *store;
	char name[64];
	bool cut;
	bool hold;
	unsigned int lose;
};

struct answer {
	struct answer *prev;
	struct answer *next;
	struct client *client;
	struct zr_timer *timer;
	bool due;
	int error;
	struct zr_store_reply reply;
	struct zr_store_value value;
	zr_store_done_fn done;
	void *ctx;
};

struct fake_config_store {
	struct fake_time *time;
	struct client *clients;
	struct answer *answers;
	char *data;
	size_t length;
	int64_t revision;
	unsigned int reads;
};

static void deliver(struct answer *answer)
{
	DL_DELETE(answer->client->store->answers, answer);
	answer->reply.values = answer->reply.count ? &answer->value : NULL;
	answer->done(answer->ctx, answer->error,
		     answer->error ? NULL : &answer->reply);
	zr_timer_free(answer->timer);
	free(answer->value.data);
	free(answer);
}

static void on_due(void *ctx)
{
	struct answer *answer = ctx;

	answer->due = true;
	if (!answer->client->hold)
		deliver(answer);
}

static struct answer *begin(struct client *client, zr_store_done_fn done,
			    void *ctx)
{
	struct fake_config_store *store = client->store;
	struct answer *answer = calloc(1, sizeof(*answer));

	if (!answer)
		abort();
	answer->client = client;
	answer->done = done;
	answer->ctx = ctx;
	answer->error = client->cut ? ZR_E_STORE_DOWN : 0;
	answer->timer =
		zr_timer_new(fake_time_timers(store->time), on_due, answer);
	zr_timer_start(answer->timer, ANSWER_MS, 0);
	DL_APPEND(store->answers, answer);
	return answer;
}

static void add_value(struct answer *answer)
{
	const struct fake_config_store *store = answer->client->store;

	if (!store->data)
		return;
	answer->value.key = "zr/config";
	answer->value.data = malloc(store->length);
	memcpy(answer->value.data, store->data, store->length);
	answer->value.length = store->length;
	answer->value.mod_revision = store->revision;
	answer->reply.count = 1;
}

static void range(void *impl, enum zr_store_purpose purpose, const char *key,
		  bool prefix, zr_store_done_fn done, void *ctx)
{
	struct client *client = impl;
	struct answer *answer = begin(client, done, ctx);

	(void)purpose;
	(void)key;
	(void)prefix;
	if (answer->error)
		return;
	client->store->reads++;
	add_value(answer);
}

static void commit(void *impl, enum zr_store_purpose purpose,
		   const struct zr_store_txn *txn, zr_store_done_fn done,
		   void *ctx)
{
	struct client *client = impl;
	struct fake_config_store *store = client->store;
	struct answer *answer = begin(client, done, ctx);

	(void)purpose;
	if (answer->error)
		return;
	answer->reply.succeeded =
		txn->compares[0].mod_revision == store->revision;
	if (!answer->reply.succeeded) {
		add_value(answer);
	} else {
		free(store->data);
		store->data = malloc(txn->puts[0].length);
		memcpy(store->data, txn->puts[0].data, txn->puts[0].length);
		store->length = txn->puts[0].length;
		store->revision++;
	}
	if (client->lose) {
		client->lose--;
		answer->error = ZR_E_OUTCOME_UNKNOWN;
		zr_timer_start(answer->timer, LOST_MS, 0);
	}
}

static const struct zr_store_ops ops = {.range = range, .commit = commit};

static struct client *find(struct fake_config_store *store, const char *name)
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
	out->impl = find(store, name);
}

void fake_config_store_set_disconnected(struct fake_config_store *store,
					const char *name, bool cut)
{
	find(store, name)->cut = cut;
}

void fake_config_store_hold_replies(struct fake_config_store *store,
				    const char *name, bool hold)
{
	struct client *client = find(store, name);
	struct answer *answer;
	struct answer *next;

	client->hold = hold;
	DL_FOREACH_SAFE(store->answers, answer, next)
	{
		if (answer->client == client && answer->due && !hold)
			deliver(answer);
	}
}

void fake_config_store_lose_replies(struct fake_config_store *store,
				    const char *name, unsigned int count)
{
	find(store, name)->lose = count;
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
	struct answer *answer;
	struct answer *next_answer;
	struct client *client;
	struct client *next;

	DL_FOREACH_SAFE(store->answers, answer, next_answer)
	{
		answer->error = ZR_E_CANCELLED;
		deliver(answer);
	}
	DL_FOREACH_SAFE(store->clients, client, next)
	free(client);
	free(store->data);
	free(store);
}

#include "fakes/fake_once.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "zinniarack/errors.h"

#define TEXT_MAX 128

struct record {
	struct record *prev;
	struct record *next;
	char team[TEXT_MAX];
	char key[TEXT_MAX];
	char request_id[TEXT_MAX];
	char body[TEXT_MAX];
	uint64_t digest;
	struct zr_once_response response;
	bool answered;
};

struct fake_once {
	struct record *records;
	bool down;
	bool lossy;
};

static struct record *find_record(const struct fake_once *once,
				  const struct zr_once_key *key)
{
	struct record *record;

	DL_FOREACH(once->records, record)
	{
		if (!strcmp(record->team, key->team) &&
		    !strcmp(record->key, key->key))
			return record;
	}
	return NULL;
}

static void add_record(struct fake_once *once, const struct zr_once_key *key)
{
	struct record *record = calloc(1, sizeof(*record));

	if (!record)
		abort();
	snprintf(record->team, TEXT_MAX, "%s", key->team);
	snprintf(record->key, TEXT_MAX, "%s", key->key);
	snprintf(record->request_id, TEXT_MAX, "%s", key->request_id);
	record->digest = key->digest;
	DL_APPEND(once->records, record);
}

static void record_intent(void *impl, const struct zr_once_key *key,
			  unsigned int timeout_ms, zr_once_intent_fn done,
			  void *ctx)
{
	struct fake_once *once = impl;
	const struct record *record =
		once->down ? NULL : find_record(once, key);
	bool is_new = !once->down && !record;

	(void)timeout_ms;
	if (is_new)
		add_record(once, key);
	if (once->down)
		done(ctx, ZR_E_STORE_DOWN, ZR_ONCE_UNCONFIRMED, 0, NULL);
	else if (once->lossy)
		done(ctx, ZR_E_OUTCOME_UNKNOWN, ZR_ONCE_UNCONFIRMED, 0, NULL);
	else if (is_new)
		done(ctx, 0, ZR_ONCE_NEW, 1, NULL);
	else if (record->digest != key->digest)
		done(ctx, ZR_E_CONFLICT, ZR_ONCE_UNCONFIRMED, 0, NULL);
	else if (record->answered)
		done(ctx, 0, ZR_ONCE_ANSWERED, 0, &record->response);
	else
		done(ctx, 0, ZR_ONCE_UNCONFIRMED, 0, NULL);
}

static void record_response(void *impl, const struct zr_once_key *key,
			    const struct zr_once_response *response)
{
	struct fake_once *once = impl;
	struct record *record = once->down ? NULL : find_record(once, key);

	if (!record)
		return;
	snprintf(record->body, TEXT_MAX, "%.*s", (int)response->length,
		 (const char *)response->body);
	record->response.status = response->status;
	record->response.body = record->body;
	record->response.length = strlen(record->body);
	record->answered = true;
}

static void delete_intent(void *impl, const struct zr_once_key *key)
{
	struct fake_once *once = impl;
	struct record *record = once->down ? NULL : find_record(once, key);

	if (!record || strcmp(record->request_id, key->request_id))
		return;
	DL_DELETE(once->records, record);
	free(record);
}

struct fake_once *fake_once_new(struct zr_once_backend *out)
{
	static const struct zr_once_ops ops = {
		.record_intent = record_intent,
		.record_response = record_response,
		.delete_intent = delete_intent,
	};
	struct fake_once *once = calloc(1, sizeof(*once));

	if (!once)
		abort();
	out->ops = &ops;
	out->impl = once;
	return once;
}

void fake_once_set_failure(struct fake_once *once, bool down, bool lossy)
{
	once->down = down;
	once->lossy = lossy;
}

void fake_once_free(struct fake_once *once)
{
	struct record *record;
	struct record *next;

	DL_FOREACH_SAFE(once->records, record, next)
	free(record);
	free(once);
}

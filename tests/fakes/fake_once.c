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
	char run[TEXT_MAX];
	char body[TEXT_MAX];
	uint64_t digest;
	struct zr_once_response answer;
	bool answered;
};

struct fake_once {
	struct record *records;
	bool down;
	bool lossy;
};

static struct record *find(const struct fake_once *homes,
			   const struct zr_once_key *key)
{
	struct record *record;

	DL_FOREACH(homes->records, record)
	{
		if (!strcmp(record->team, key->team) &&
		    !strcmp(record->key, key->key))
			return record;
	}
	return NULL;
}

static void add(struct fake_once *homes, const struct zr_once_key *key)
{
	struct record *record = calloc(1, sizeof(*record));

	if (!record)
		abort();
	snprintf(record->team, TEXT_MAX, "%s", key->team);
	snprintf(record->key, TEXT_MAX, "%s", key->key);
	snprintf(record->run, TEXT_MAX, "%s", key->request_id);
	record->digest = key->digest;
	DL_APPEND(homes->records, record);
}

static void record_intent(void *impl, const struct zr_once_key *key,
			  unsigned int timeout_ms, zr_once_intent_fn done,
			  void *ctx)
{
	struct fake_once *homes = impl;
	const struct record *record = homes->down ? NULL : find(homes, key);
	bool fresh = !homes->down && !record;

	(void)timeout_ms;
	if (fresh)
		add(homes, key);
	if (homes->down)
		done(ctx, ZR_E_STORE_DOWN, ZR_ONCE_UNCONFIRMED, 0, NULL);
	else if (homes->lossy)
		done(ctx, ZR_E_OUTCOME_UNKNOWN, ZR_ONCE_UNCONFIRMED, 0, NULL);
	else if (fresh)
		done(ctx, 0, ZR_ONCE_NEW, 1, NULL);
	else if (record->digest != key->digest)
		done(ctx, ZR_E_CONFLICT, ZR_ONCE_UNCONFIRMED, 0, NULL);
	else if (record->answered)
		done(ctx, 0, ZR_ONCE_ANSWERED, 0, &record->answer);
	else
		done(ctx, 0, ZR_ONCE_UNCONFIRMED, 0, NULL);
}

static void record_response(void *impl, const struct zr_once_key *key,
			    const struct zr_once_response *answer)
{
	struct fake_once *homes = impl;
	struct record *record = homes->down ? NULL : find(homes, key);

	if (!record)
		return;
	snprintf(record->body, TEXT_MAX, "%.*s", (int)answer->length,
		 (const char *)answer->body);
	record->answer.status = answer->status;
	record->answer.body = record->body;
	record->answer.length = strlen(record->body);
	record->answered = true;
}

static void delete_intent(void *impl, const struct zr_once_key *key)
{
	struct fake_once *homes = impl;
	struct record *record = homes->down ? NULL : find(homes, key);

	if (!record || strcmp(record->run, key->request_id))
		return;
	DL_DELETE(homes->records, record);
	free(record);
}

struct fake_once *fake_once_new(struct zr_once_backend *out)
{
	static const struct zr_once_ops ops = {
		.record_intent = record_intent,
		.record_response = record_response,
		.delete_intent = delete_intent,
	};
	struct fake_once *homes = calloc(1, sizeof(*homes));

	if (!homes)
		abort();
	out->ops = &ops;
	out->impl = homes;
	return homes;
}

void fake_once_set_failure(struct fake_once *homes, bool down, bool lossy)
{
	homes->down = down;
	homes->lossy = lossy;
}

void fake_once_free(struct fake_once *homes)
{
	struct record *record;
	struct record *next;

	DL_FOREACH_SAFE(homes->records, record, next)
	free(record);
	free(homes);
}

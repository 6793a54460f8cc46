#include "route/grant_changes.h"

#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <xxhash.h>

#include "zinniarack/errors.h"
#include "zinniarack/job.h"

struct kept_grant {
	char worker[ZR_NAME_MAX];
	uint32_t slots;
	XXH64_hash_t address;
	XXH64_hash_t services;
};

/* The last answer to an entry daemon. */
struct answer {
	UT_hash_handle hh;
	char entry[ZR_NAME_MAX];
	uint64_t incarnation;
	uint64_t sequence;
	struct kept_grant *grants;
	u_int count;
};

struct zr_grant_changes {
	struct answer *answers;
};

int zr_grant_changes_new(struct zr_grant_changes **out)
{
	*out = calloc(1, sizeof(**out));
	return *out ? 0 : ZR_E_NOMEM;
}

static const struct answer *find_base(const struct zr_grant_changes *changes,
				      const zx_grant_args *ask)
{
	struct answer *answer;

	HASH_FIND_STR(changes->answers, ask->entry, answer);
	if (!answer || answer->incarnation != ask->incarnation ||
	    answer->sequence != ask->base)
		return NULL;
	return answer;
}

/* Lists keep their order from ask to ask, so the place is tried first. */
static const struct kept_grant *find_kept(const struct answer *answer,
					  const char *worker, u_int place)
{
	u_int i;

	if (place < answer->count &&
	    !strcmp(answer->grants[place].worker, worker))
		return &answer->grants[place];
	for (i = 0; i < answer->count; i++) {
		if (!strcmp(answer->grants[i].worker, worker))
			return &answer->grants[i];
	}
	return NULL;
}

/* Asks */

static void put_held(zx_grant_args *out, char *worker, u_int slots)
{
	zx_held *held = out->held.held_val;
	u_int i;

	for (i = 0; i < out->held.held_len; i++) {
		if (!strcmp(held[i].worker, worker))
			break;
	}
	if (i == out->held.held_len)
		out->held.held_len++;
	held[i].worker = worker;
	held[i].slots = slots;
}

int zr_grant_changes_expand(zx_grant_args *out,
			    const struct zr_grant_changes *changes,
			    const zx_grant_args *ask)
{
	const struct answer *base = ask->base ? find_base(changes, ask) : NULL;
	u_int kept = base ? base->count : 0;
	u_int i;

	if (ask->base && !base)
		return ZR_E_CONFLICT;
	*out = *ask;
	out->held.held_val =
		calloc(kept + ask->held.held_len + 1, sizeof(zx_held));
	if (!out->held.held_val)
		abort();
	out->held.held_len = kept;
	for (i = 0; i < kept; i++) {
		out->held.held_val[i].worker = base->grants[i].worker;
		out->held.held_val[i].slots = base->grants[i].slots;
	}
	if (!base) {
		/* A worker may be listed under two addresses. */
		for (i = 0; i < ask->held.held_len; i++)
			out->held.held_val[i] = ask->held.held_val[i];
		out->held.held_len = ask->held.held_len;
		return 0;
	}
	for (i = 0; i < ask->held.held_len; i++)
		put_held(out, ask->held.held_val[i].worker,
			 ask->held.held_val[i].slots);
	return 0;
}

/* Answers */

static struct kept_grant keep(const zx_grant *grant)
{
	struct kept_grant kept = {.slots = grant->slots};
	u_int i;

	snprintf(kept.worker, sizeof(kept.worker), "%s", grant->worker);
	kept.address = XXH64(grant->address, strlen(grant->address), 0);
	for (i = 0; i < grant->services.services_len; i++) {
		const char *name = grant->services.services_val[i];

		kept.services = XXH64(name, strlen(name), kept.services + 1);
	}
	return kept;
}

/* Changes can't say that a worker or its address is gone. */
static bool can_reduce(const struct answer *base, const struct kept_grant *now,
		       u_int count)
{
	const struct answer next = {.grants = (struct kept_grant *)now,
				    .count = count};
	const struct kept_grant *found;
	u_int i;

	for (i = 0; i < base->count; i++) {
		found = find_kept(&next, base->grants[i].worker, i);
		if (!found || found->address != base->grants[i].address)
			return false;
	}
	return true;
}

static void drop_unchanged(zx_grant_result *answer, const struct answer *base,
			   const struct kept_grant *now)
{
	zx_grant *grants = answer->grants.grants_val;
	zx_held *resized =
		calloc(answer->grants.grants_len + 1, sizeof(*resized));
	const struct kept_grant *old;
	u_int count = answer->grants.grants_len;
	u_int left = 0;
	u_int i;

	if (!resized)
		abort();
	answer->resized.resized_val = resized;
	for (i = 0; i < count; i++) {
		old = find_kept(base, now[i].worker, i);
		if (!old || old->services != now[i].services) {
			grants[left++] = grants[i];
			continue;
		}
		if (old->slots != now[i].slots)
			resized[answer->resized.resized_len++] =
				(zx_held){grants[i].worker, grants[i].slots};
		free(grants[i].services.services_val);
	}
	answer->grants.grants_len = left;
	answer->changes_only = true;
}

static void store(struct zr_grant_changes *changes, const zx_grant_args *ask,
		  struct kept_grant *grants, u_int count)
{
	struct answer *answer;

	HASH_FIND_STR(changes->answers, ask->entry, answer);
	if (!answer) {
		answer = calloc(1, sizeof(*answer));
		if (!answer)
			abort();
		snprintf(answer->entry, sizeof(answer->entry), "%s",
			 ask->entry);
		HASH_ADD_STR(changes->answers, entry, answer);
	}
	free(answer->grants);
	answer->grants = grants;
	answer->count = count;
	answer->incarnation = ask->incarnation;
	answer->sequence = ask->sequence;
}

void zr_grant_changes_reduce(zx_grant_result *answer,
			     struct zr_grant_changes *changes,
			     const zx_grant_args *ask)
{
	const struct answer *base = ask->base ? find_base(changes, ask) : NULL;
	u_int count = answer->grants.grants_len;
	struct kept_grant *now = calloc(count + 1, sizeof(*now));
	u_int i;

	if (!now)
		abort();
	for (i = 0; i < count; i++)
		now[i] = keep(&answer->grants.grants_val[i]);
	if (base && !answer->partial && can_reduce(base, now, count))
		drop_unchanged(answer, base, now);
	store(changes, ask, now, count);
}

void zr_grant_changes_clear(struct zr_grant_changes *changes)
{
	struct answer *answer;
	struct answer *next;

	HASH_ITER (hh, changes->answers, answer, next) {
		HASH_DEL(changes->answers, answer);
		free(answer->grants);
		free(answer);
	}
}

void zr_grant_changes_free(struct zr_grant_changes *changes)
{
	if (!changes)
		return;
	zr_grant_changes_clear(changes);
	free(changes);
}

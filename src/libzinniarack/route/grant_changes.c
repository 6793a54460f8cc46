#include "route/grant_changes.h"

#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <xxhash.h>

#include "zinniarack/errors.h"
#include "zinniarack/job.h"

/* The part of a grant that is compared with the next result. */
struct stored_grant {
	char worker[ZR_NAME_MAX];
	uint32_t slots;
	XXH64_hash_t address_hash;
	XXH64_hash_t services_hash;
};

/* The last result for an entry daemon. */
struct stored_result {
	UT_hash_handle hh;
	char entry[ZR_NAME_MAX];
	uint64_t incarnation;
	uint64_t sequence;
	struct stored_grant *grants;
	u_int count;
};

struct zr_grant_changes {
	struct stored_result *results;
};

int zr_grant_changes_new(struct zr_grant_changes **out)
{
	*out = calloc(1, sizeof(**out));
	return *out ? 0 : ZR_E_NOMEM;
}

static const struct stored_result *
find_base(const struct zr_grant_changes *changes, const zx_grant_args *request)
{
	struct stored_result *result;

	HASH_FIND_STR(changes->results, request->entry, result);
	if (!result || result->incarnation != request->incarnation ||
	    result->sequence != request->base)
		return NULL;
	return result;
}

/*
 * Finds the grant on a worker. Results usually list workers in the same order,
 * so the given position is tried first.
 */
static const struct stored_grant *find_grant(const struct stored_result *result,
					     const char *worker, u_int position)
{
	u_int i;

	if (position < result->count &&
	    !strcmp(result->grants[position].worker, worker))
		return &result->grants[position];
	for (i = 0; i < result->count; i++) {
		if (!strcmp(result->grants[i].worker, worker))
			return &result->grants[i];
	}
	return NULL;
}

/* Grant requests */

/* Sets the held slots of a worker, which is added if it isn't listed. */
static void set_held(zx_grant_args *out, char *worker, u_int slots)
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
			    const zx_grant_args *request)
{
	const struct stored_result *base =
		request->base ? find_base(changes, request) : NULL;
	u_int base_count = base ? base->count : 0;
	u_int i;

	if (request->base && !base)
		return ZR_E_CONFLICT;
	*out = *request;
	out->held.held_val = calloc(base_count + request->held.held_len + 1,
				    sizeof(zx_held));
	if (!out->held.held_val)
		abort();
	out->held.held_len = base_count;
	for (i = 0; i < base_count; i++) {
		out->held.held_val[i].worker = base->grants[i].worker;
		out->held.held_val[i].slots = base->grants[i].slots;
	}
	if (!base) {
		/* Keep duplicates: a worker may be held at two addresses. */
		for (i = 0; i < request->held.held_len; i++)
			out->held.held_val[i] = request->held.held_val[i];
		out->held.held_len = request->held.held_len;
		return 0;
	}
	for (i = 0; i < request->held.held_len; i++)
		set_held(out, request->held.held_val[i].worker,
			 request->held.held_val[i].slots);
	return 0;
}

/* Grant results */

static struct stored_grant summarize_grant(const zx_grant *grant)
{
	struct stored_grant stored = {.slots = grant->slots};
	u_int i;

	snprintf(stored.worker, sizeof(stored.worker), "%s", grant->worker);
	stored.address_hash = XXH64(grant->address, strlen(grant->address), 0);
	for (i = 0; i < grant->services.services_len; i++) {
		const char *name = grant->services.services_val[i];

		stored.services_hash =
			XXH64(name, strlen(name), stored.services_hash + 1);
	}
	return stored;
}

/*
 * Returns whether the changes can be expressed: an incremental result can't
 * remove a worker or change its address.
 */
static bool can_reduce(const struct stored_result *base,
		       const struct stored_grant *new_grants, u_int count)
{
	const struct stored_result next = {
		.grants = (struct stored_grant *)new_grants, .count = count};
	const struct stored_grant *found;
	u_int i;

	for (i = 0; i < base->count; i++) {
		found = find_grant(&next, base->grants[i].worker, i);
		if (!found ||
		    found->address_hash != base->grants[i].address_hash)
			return false;
	}
	return true;
}

/* Turns a full result into an incremental one. */
static void remove_unchanged(zx_grant_result *result,
			     const struct stored_result *base,
			     const struct stored_grant *new_grants)
{
	zx_grant *grants = result->grants.grants_val;
	zx_held *resized =
		calloc(result->grants.grants_len + 1, sizeof(*resized));
	const struct stored_grant *old;
	u_int count = result->grants.grants_len;
	u_int changed_count = 0;
	u_int i;

	if (!resized)
		abort();
	result->resized.resized_val = resized;
	for (i = 0; i < count; i++) {
		old = find_grant(base, new_grants[i].worker, i);
		if (!old || old->services_hash != new_grants[i].services_hash) {
			grants[changed_count++] = grants[i];
			continue;
		}
		if (old->slots != new_grants[i].slots)
			resized[result->resized.resized_len++] =
				(zx_held){grants[i].worker, grants[i].slots};
		free(grants[i].services.services_val);
	}
	result->grants.grants_len = changed_count;
	result->changes_only = true;
}

static void store_result(struct zr_grant_changes *changes,
			 const zx_grant_args *request,
			 struct stored_grant *grants, u_int count)
{
	struct stored_result *result;

	HASH_FIND_STR(changes->results, request->entry, result);
	if (!result) {
		result = calloc(1, sizeof(*result));
		if (!result)
			abort();
		snprintf(result->entry, sizeof(result->entry), "%s",
			 request->entry);
		HASH_ADD_STR(changes->results, entry, result);
	}
	free(result->grants);
	result->grants = grants;
	result->count = count;
	result->incarnation = request->incarnation;
	result->sequence = request->sequence;
}

void zr_grant_changes_reduce(zx_grant_result *result,
			     struct zr_grant_changes *changes,
			     const zx_grant_args *request)
{
	const struct stored_result *base =
		request->base ? find_base(changes, request) : NULL;
	u_int count = result->grants.grants_len;
	struct stored_grant *new_grants =
		calloc(count + 1, sizeof(*new_grants));
	u_int i;

	if (!new_grants)
		abort();
	for (i = 0; i < count; i++)
		new_grants[i] = summarize_grant(&result->grants.grants_val[i]);
	if (base && !result->partial && can_reduce(base, new_grants, count))
		remove_unchanged(result, base, new_grants);
	store_result(changes, request, new_grants, count);
}

void zr_grant_changes_clear(struct zr_grant_changes *changes)
{
	struct stored_result *result;
	struct stored_result *next;

	HASH_ITER (hh, changes->results, result, next) {
		HASH_DEL(changes->results, result);
		free(result->grants);
		free(result);
	}
}

void zr_grant_changes_free(struct zr_grant_changes *changes)
{
	if (!changes)
		return;
	zr_grant_changes_clear(changes);
	free(changes);
}

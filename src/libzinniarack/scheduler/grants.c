#include "scheduler/grants.h"

#include <stdlib.h>
#include <string.h>

#include "route/grant_changes.h"
#include "route/grant_message.h"
#include "zinniarack/errors.h"

/* Growth of the array of a worker's services, in elements. */
#define SERVICES_STEP 4
/* In its first epoch, a failure domain has no previous owner. */
#define FIRST_EPOCH 1
/* Time after which a new owner is assumed to know all running replicas. */
#define INVENTORY_MS 5000

struct zr_grants {
	struct zr_domain *domain;
	const char *domain_name;
	struct zr_slot_escrow *escrow;
	struct zr_grant_changes *changes;
	const struct zr_clock *clock;
	uint64_t epoch;
	struct timespec epoch_started_at;
};

struct response_builder {
	struct zr_grants *grants;
	zx_grant_result *result;
};

int zr_grants_new(struct zr_grants **out, struct zr_domain *domain,
		  const struct zr_clock *clock, const char *domain_name)
{
	struct zr_grants *grants = calloc(1, sizeof(*grants));
	int error;

	if (!grants)
		return ZR_E_NOMEM;
	grants->domain = domain;
	grants->domain_name = domain_name;
	grants->clock = clock;
	error = zr_slot_escrow_new(&grants->escrow, clock);
	if (error < 0) {
		free(grants);
		return error;
	}
	error = zr_grant_changes_new(&grants->changes);
	if (error < 0) {
		zr_slot_escrow_free(grants->escrow);
		free(grants);
		return error;
	}
	*out = grants;
	return 0;
}

/* Workers with replicas */

static zx_grant *get_or_add_grant(zx_grant_result *result,
				  const struct zr_host *host)
{
	zx_grant *grants = result->grants.grants_val;
	u_int i;

	for (i = 0; i < result->grants.grants_len; i++) {
		if (!strcmp(grants[i].worker, host->name))
			return &grants[i];
	}
	if (i == ZX_LIST_MAX)
		return NULL;
	result->grants.grants_len++;
	grants[i].worker = (char *)host->name;
	grants[i].address = (char *)host->address;
	return &grants[i];
}

static void add_service(zx_grant *grant, const char *service)
{
	u_int count = grant->services.services_len;
	zx_name *names = grant->services.services_val;
	u_int i;

	for (i = 0; i < count; i++) {
		if (!strcmp(names[i], service))
			return;
	}
	if (count % SERVICES_STEP == 0) {
		names = reallocarray(names, count + SERVICES_STEP,
				     sizeof(*names));
		if (!names)
			abort();
		grant->services.services_val = names;
	}
	names[count] = (char *)service;
	grant->services.services_len++;
}

static void add_replica(void *ctx, const struct zr_domain_replica *replica)
{
	struct response_builder *builder = ctx;
	const struct zr_host *host = replica->host;
	zx_grant *grant = get_or_add_grant(builder->result, host);

	if (!grant)
		return;
	add_service(grant, replica->service);
	zr_slot_escrow_set_capacity(builder->grants->escrow, host->name,
				    host->leaving ? 0 : host->slots);
}

/* Responses */

static void update_epoch(struct zr_grants *grants, uint64_t epoch)
{
	if (epoch == grants->epoch)
		return;
	grants->epoch = epoch;
	grants->epoch_started_at = zr_clock_now(grants->clock);
	zr_slot_escrow_begin_term(grants->escrow, epoch > FIRST_EPOCH);
	zr_grant_changes_clear(grants->changes);
}

static bool inventory_incomplete(const struct zr_grants *grants)
{
	struct timespec now = zr_clock_now(grants->clock);

	return grants->epoch > FIRST_EPOCH &&
	       zr_time_diff_ms(now, grants->epoch_started_at) < INVENTORY_MS;
}

void zr_grants_answer(zx_grant_result *out, struct zr_grants *grants,
		      const zx_grant_args *request)
{
	struct response_builder builder = {.grants = grants, .result = out};
	uint64_t epoch = zr_domain_epoch(grants->domain);
	zx_grant_args full_request;
	uint32_t holder;

	memset(out, 0, sizeof(*out));
	out->epoch = epoch;
	out->lease_ms = ZR_GRANT_LEASE_MS;
	if (!epoch) {
		out->error = ZR_E_NOT_OWNER;
		return;
	}
	update_epoch(grants, epoch);
	out->partial = inventory_incomplete(grants);
	out->error = zr_grant_changes_expand(&full_request, grants->changes,
					     request);
	if (out->error < 0)
		return;
	out->error = zr_grant_message_process(
		&holder, grants->escrow, &full_request, grants->domain_name);
	free(full_request.held.held_val);
	if (out->error < 0)
		return;
	out->grants.grants_val = calloc(ZX_LIST_MAX, sizeof(zx_grant));
	if (!out->grants.grants_val)
		abort();
	zr_slot_escrow_clear_capacity(grants->escrow);
	zr_domain_for_each_replica(grants->domain, add_replica, &builder);
	zr_grant_message_fill_slots(out, grants->escrow, holder);
	zr_grant_changes_reduce(out, grants->changes, request);
}

void zr_grants_answer_free(zx_grant_result *result)
{
	u_int i;

	for (i = 0; i < result->grants.grants_len; i++)
		free(result->grants.grants_val[i].services.services_val);
	free(result->grants.grants_val);
	free(result->resized.resized_val);
}

void zr_grants_free(struct zr_grants *grants)
{
	if (!grants)
		return;
	zr_slot_escrow_free(grants->escrow);
	zr_grant_changes_free(grants->changes);
	free(grants);
}

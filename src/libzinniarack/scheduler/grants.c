#include "scheduler/grants.h"

#include <stdlib.h>
#include <string.h>

#include "zinniarack/errors.h"

struct zr_grants {
	struct zr_domain *domain;
	char (*entries)[ZR_NAME_MAX];
	size_t entry_count;
};

struct builder {
	struct zr_grants *grants;
	size_t position;
	zx_grant_result *result;
};

int zr_grants_new(struct zr_grants **out, struct zr_domain *domain)
{
	struct zr_grants *grants = calloc(1, sizeof(*grants));

	if (!grants)
		return ZR_E_NOMEM;
	grants->domain = domain;
	*out = grants;
	return 0;
}

static int compare_names(const void *a, const void *b)
{
	return strcmp(a, b);
}

void zr_grants_hosts(struct zr_grants *grants, const struct zr_host *hosts,
		     size_t count)
{
	char(*entries)[ZR_NAME_MAX] = calloc(count + 1, sizeof(*entries));
	size_t entry_count = 0;
	size_t i;

	if (!entries)
		return;
	for (i = 0; i < count; i++) {
		if (hosts[i].kind == ZR_HOST_ENTRY)
			memcpy(entries[entry_count++], hosts[i].name,
			       ZR_NAME_MAX);
	}
	qsort(entries, entry_count, sizeof(*entries), compare_names);
	free(grants->entries);
	grants->entries = entries;
	grants->entry_count = entry_count;
}

static uint32_t share_of(const struct builder *builder, uint32_t slots)
{
	uint32_t hosts = (uint32_t)builder->grants->entry_count;

	return slots / hosts + (builder->position < slots % hosts ? 1 : 0);
}

static void add_replica(void *ctx, const struct zr_domain_replica *replica)
{
	struct builder *builder = ctx;
	zx_grant_result *result = builder->result;
	uint32_t slots = share_of(builder, replica->host->slots);
	zx_grant *grant;

	if (!slots || replica->host->leaving ||
	    result->grants.grants_len == ZX_LIST_MAX)
		return;
	grant = &result->grants.grants_val[result->grants.grants_len++];
	grant->service = (char *)replica->service;
	grant->worker = (char *)replica->host->name;
	grant->address = (char *)replica->host->address;
	grant->slots = slots;
}

static size_t position_of(const struct zr_grants *grants, const char *entry)
{
	size_t i;

	for (i = 0; i < grants->entry_count; i++) {
		if (!strcmp(grants->entries[i], entry))
			break;
	}
	return i;
}

void zr_grants_answer(zx_grant_result *out, struct zr_grants *grants,
		      const char *entry)
{
	struct builder builder = {
		.grants = grants,
		.position = position_of(grants, entry),
		.result = out,
	};

	memset(out, 0, sizeof(*out));
	out->epoch = zr_domain_epoch(grants->domain);
	out->lease_ms = ZR_GRANT_LEASE_MS;
	if (!out->epoch) {
		out->error = ZR_E_NOT_OWNER;
		return;
	}
	if (builder.position == grants->entry_count) {
		out->error = ZR_E_NOT_FOUND;
		return;
	}
	out->grants.grants_val = calloc(ZX_LIST_MAX, sizeof(zx_grant));
	if (!out->grants.grants_val)
		abort();
	zr_domain_replicas(grants->domain, add_replica, &builder);
}

void zr_grants_free(struct zr_grants *grants)
{
	if (!grants)
		return;
	free(grants->entries);
	free(grants);
}

#include "domain/allotment_record.h"

#include <stdlib.h>
#include <string.h>

#include "domain/convert.h"
#include "zinniarack/errors.h"

size_t zr_allotment_record_encode(char **bytes, const zx_allotments *record)
{
	u_int size =
		(u_int)xdr_sizeof((xdrproc_t)xdr_zx_allotments, (void *)record);
	XDR xdrs;

	*bytes = malloc(size);
	if (!*bytes)
		abort();
	xdrmem_create(&xdrs, *bytes, size, XDR_ENCODE);
	if (!xdr_zx_allotments(&xdrs, (zx_allotments *)record))
		abort(); /* a field of the record exceeds its XDR bound */
	return size;
}

int zr_allotment_record_decode(zx_allotments *out,
			       const struct zr_store_value *value)
{
	XDR xdrs;

	memset(out, 0, sizeof(*out));
	xdrmem_create(&xdrs, value->data, (u_int)value->length, XDR_DECODE);
	if (xdr_zx_allotments(&xdrs, out))
		return 0;
	zr_allotment_record_clear(out);
	return zr_error_set(ZR_E_PROTOCOL,
			    "%s: record of allotments could not be decoded",
			    value->key);
}

void zr_allotment_record_clear(zx_allotments *record)
{
	xdr_free((xdrproc_t)xdr_zx_allotments, (void *)record);
	memset(record, 0, sizeof(*record));
}

static zx_team_allotments *find_team(const zx_allotments *record,
				     const char *team)
{
	u_int i;

	for (i = 0; i < record->teams.teams_len; i++) {
		if (!strcmp(record->teams.teams_val[i].team, team))
			return &record->teams.teams_val[i];
	}
	return NULL;
}

static void add_resources(struct zr_resources *total,
			  const zx_resources *amount)
{
	total->millicpus += amount->millicpus;
	total->memory_mb += amount->memory_mb;
	total->accelerators += amount->accelerators;
}

/* Sum of a team's allotments: of @domain if @own is set, else of all others. */
static struct zr_resources sum_allotments(const zx_allotments *record,
					  const char *team, const char *domain,
					  bool own)
{
	const zx_team_allotments *entry = find_team(record, team);
	struct zr_resources total = {0};
	u_int i;

	for (i = 0; entry && i < entry->domains.domains_len; i++) {
		const zx_allotment *allotment = &entry->domains.domains_val[i];

		if (!strcmp(allotment->domain, domain) == own)
			add_resources(&total, &allotment->amount);
	}
	return total;
}

struct zr_resources zr_allotment_record_get(const zx_allotments *record,
					    const char *team,
					    const char *domain)
{
	return sum_allotments(record, team, domain, true);
}

struct zr_resources zr_allotment_record_get_others(const zx_allotments *record,
						   const char *team,
						   const char *domain)
{
	return sum_allotments(record, team, domain, false);
}

static zx_team_allotments *add_team(zx_allotments *record, const char *team)
{
	u_int count = record->teams.teams_len;
	zx_team_allotments *entry;

	record->teams.teams_val =
		realloc(record->teams.teams_val, (count + 1) * sizeof(*entry));
	if (!record->teams.teams_val)
		abort();
	record->teams.teams_len++;
	entry = &record->teams.teams_val[count];
	memset(entry, 0, sizeof(*entry));
	entry->team = strdup(team);
	if (!entry->team)
		abort();
	return entry;
}

static zx_allotment *add_domain(zx_team_allotments *entry, const char *domain)
{
	u_int count = entry->domains.domains_len;
	zx_allotment *allotment;

	entry->domains.domains_val = realloc(entry->domains.domains_val,
					     (count + 1) * sizeof(*allotment));
	if (!entry->domains.domains_val)
		abort();
	entry->domains.domains_len++;
	allotment = &entry->domains.domains_val[count];
	memset(allotment, 0, sizeof(*allotment));
	allotment->domain = strdup(domain);
	if (!allotment->domain)
		abort();
	return allotment;
}

void zr_allotment_record_set(zx_allotments *record, const char *team,
			     const char *domain,
			     const struct zr_resources *amount)
{
	zx_team_allotments *entry = find_team(record, team);
	zx_allotment *allotment = NULL;
	u_int i;

	if (!entry)
		entry = add_team(record, team);
	for (i = 0; i < entry->domains.domains_len; i++) {
		if (!strcmp(entry->domains.domains_val[i].domain, domain))
			allotment = &entry->domains.domains_val[i];
	}
	if (!allotment)
		allotment = add_domain(entry, domain);
	zr_convert_resources_to_xdr(&allotment->amount, amount);
}

bool zr_allotment_record_drop_domain(zx_allotments *record, const char *domain)
{
	const struct zr_resources nothing = {0};
	bool dropped = false;
	u_int i;

	for (i = 0; i < record->teams.teams_len; i++) {
		const char *team = record->teams.teams_val[i].team;
		struct zr_resources allotment =
			zr_allotment_record_get(record, team, domain);

		if (!memcmp(&allotment, &nothing, sizeof(allotment)))
			continue;
		zr_allotment_record_set(record, team, domain, &nothing);
		dropped = true;
	}
	return dropped;
}

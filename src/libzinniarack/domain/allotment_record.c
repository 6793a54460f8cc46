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
		abort(); /* our own record, out of the bounds of its fields */
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
	return zr_error_set(ZR_E_PROTOCOL, "%s: not a record of allotments",
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

static void add(struct zr_resources *total, const zx_resources *amount)
{
	total->millicpus += amount->millicpus;
	total->memory_mb += amount->memory_mb;
	total->accelerators += amount->accelerators;
}

/* What those domains hold that are, or are not, the one named. */
static struct zr_resources sum(const zx_allotments *record, const char *team,
			       const char *domain, bool own)
{
	const zx_team_allotments *row = find_team(record, team);
	struct zr_resources total = {0};
	u_int i;

	for (i = 0; row && i < row->domains.domains_len; i++) {
		const zx_allotment *held = &row->domains.domains_val[i];

		if (!strcmp(held->domain, domain) == own)
			add(&total, &held->amount);
	}
	return total;
}

struct zr_resources zr_allotment_held(const zx_allotments *record,
				      const char *team, const char *domain)
{
	return sum(record, team, domain, true);
}

struct zr_resources zr_allotment_others(const zx_allotments *record,
					const char *team, const char *domain)
{
	return sum(record, team, domain, false);
}

static zx_team_allotments *add_team(zx_allotments *record, const char *team)
{
	u_int count = record->teams.teams_len;
	zx_team_allotments *row;

	record->teams.teams_val =
		realloc(record->teams.teams_val, (count + 1) * sizeof(*row));
	if (!record->teams.teams_val)
		abort();
	record->teams.teams_len++;
	row = &record->teams.teams_val[count];
	memset(row, 0, sizeof(*row));
	row->team = strdup(team);
	if (!row->team)
		abort();
	return row;
}

static zx_allotment *add_domain(zx_team_allotments *row, const char *domain)
{
	u_int count = row->domains.domains_len;
	zx_allotment *held;

	row->domains.domains_val =
		realloc(row->domains.domains_val, (count + 1) * sizeof(*held));
	if (!row->domains.domains_val)
		abort();
	row->domains.domains_len++;
	held = &row->domains.domains_val[count];
	memset(held, 0, sizeof(*held));
	held->domain = strdup(domain);
	if (!held->domain)
		abort();
	return held;
}

void zr_allotment_hold(zx_allotments *record, const char *team,
		       const char *domain, const struct zr_resources *amount)
{
	zx_team_allotments *row = find_team(record, team);
	zx_allotment *held = NULL;
	u_int i;

	if (!row)
		row = add_team(record, team);
	for (i = 0; i < row->domains.domains_len; i++) {
		if (!strcmp(row->domains.domains_val[i].domain, domain))
			held = &row->domains.domains_val[i];
	}
	if (!held)
		held = add_domain(row, domain);
	zr_convert_resources_to_xdr(&held->amount, amount);
}

bool zr_allotment_drop(zx_allotments *record, const char *domain)
{
	const struct zr_resources nothing = {0};
	bool dropped = false;
	u_int i;

	for (i = 0; i < record->teams.teams_len; i++) {
		const char *team = record->teams.teams_val[i].team;
		struct zr_resources held =
			zr_allotment_held(record, team, domain);

		if (!memcmp(&held, &nothing, sizeof(held)))
			continue;
		zr_allotment_hold(record, team, domain, &nothing);
		dropped = true;
	}
	return dropped;
}

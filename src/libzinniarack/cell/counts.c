#include "cell/counts.h"

#include <string.h>

#include "cell/policy/admission.h"
#include "zinniarack/errors.h"

/*
 * Time for which the numbers of an owner that is no more are told: callers
 * expect them to be two seconds old at most.
 */
#define LAST_KNOWN_MS 2000

bool zr_cell_known_counts_update(struct zr_cell_known_counts *counts,
				 const struct zr_store_value *value,
				 int64_t term_revision, int64_t now)
{
	zx_cell_counts record = {0};

	if (value && term_revision && value->mod_revision > term_revision &&
	    !zr_cell_decode(&record, (xdrproc_t)xdr_zx_cell_counts, value->data,
			    value->length)) {
		xdr_free((xdrproc_t)xdr_zx_cell_counts, &counts->record);
		counts->record = record;
		counts->known = true;
		counts->confirmed_at = now;
		return true;
	}
	return counts->known && now - counts->confirmed_at < LAST_KNOWN_MS;
}

uint32_t zr_cell_known_counts_get(const struct zr_cell_known_counts *counts,
				  const char *queue)
{
	const zx_cell_counts *record = &counts->record;
	u_int i;

	for (i = 0; i < record->queues.queues_len; i++) {
		if (!strcmp(record->queues.queues_val[i].queue, queue))
			return record->queues.queues_val[i].jobs;
	}
	return 0;
}

void zr_cell_known_counts_clear(struct zr_cell_known_counts *counts)
{
	xdr_free((xdrproc_t)xdr_zx_cell_counts, &counts->record);
	memset(counts, 0, sizeof(*counts));
}

/* The record */

int zr_cell_encode_counts(struct zr_cell_buffer *out,
			  zx_cell_stored_counts *record)
{
	if (!record->load.pools.pools_len)
		return zr_cell_encode(out, (xdrproc_t)xdr_zx_cell_counts,
				      &record->counts);
	return zr_cell_encode(out, (xdrproc_t)xdr_zx_cell_stored_counts,
			      record);
}

int zr_cell_decode_counts(zx_cell_stored_counts *out, const void *data,
			  size_t length)
{
	XDR xdr;

	if (!data || length > UINT32_MAX)
		return ZR_E_PROTOCOL;
	xdrmem_create(&xdr, (char *)data, (u_int)length, XDR_DECODE);
	if (xdr_zx_cell_counts(&xdr, &out->counts) &&
	    (xdr_getpos(&xdr) == length || xdr_zx_cell_load(&xdr, &out->load)))
		return 0;
	xdr_free((xdrproc_t)xdr_zx_cell_stored_counts, out);
	return ZR_E_PROTOCOL;
}

/* The summary of the load */

static bool pool_is_full(const zx_cell_pool_load *pool)
{
	struct zr_admission_pool load = {0};
	int i;

	for (i = 0; i < ZR_ADMISSION_RESOURCES; i++) {
		load.capacity[i] = pool->capacity[i];
		load.used_permille[i] = pool->used_permille[i];
	}
	return zr_admission_is_full(&load);
}

bool zr_cell_load_is_full(const zx_cell_load *load)
{
	u_int i;

	for (i = 0; i < load->pools.pools_len; i++) {
		if (pool_is_full(&load->pools.pools_val[i]))
			return true;
	}
	for (i = 0; i < load->accounts.accounts_len; i++) {
		if (load->accounts.accounts_val[i].limits.limits_len)
			return true;
	}
	return false;
}

void zr_cell_known_load_update(struct zr_cell_known_load *load,
			       const struct zr_store_value *value,
			       int64_t sent_at)
{
	zx_cell_stored_counts record = {0};

	if (value && value->mod_revision > load->revision &&
	    !zr_cell_decode_counts(&record, value->data, value->length)) {
		xdr_free((xdrproc_t)xdr_zx_cell_counts, &record.counts);
		xdr_free((xdrproc_t)xdr_zx_cell_load, &load->record);
		load->record = record.load;
		load->revision = value->mod_revision;
		load->written_after = load->has_read ? load->read_sent_at
						     : ZR_CELL_AGE_UNKNOWN;
	}
	load->has_read = true;
	load->read_sent_at = sent_at;
}

int64_t zr_cell_known_load_age_ms(const struct zr_cell_known_load *load,
				  int64_t term_revision, int64_t now)
{
	if (!load->revision || !term_revision ||
	    load->revision <= term_revision ||
	    load->written_after == ZR_CELL_AGE_UNKNOWN ||
	    now < load->written_after)
		return -1;
	return now - load->written_after;
}

void zr_cell_known_load_clear(struct zr_cell_known_load *load)
{
	xdr_free((xdrproc_t)xdr_zx_cell_load, &load->record);
	memset(load, 0, sizeof(*load));
}

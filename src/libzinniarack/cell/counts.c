#include "cell/counts.h"

#include <string.h>

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

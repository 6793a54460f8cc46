#ifndef ZR_CELL_COUNTS_H
#define ZR_CELL_COUNTS_H

#include <stdbool.h>
#include <stdint.h>

#include "cell/records.h"
#include "zinniarack/store.h"

/**
 * DOC: Numbers of waiting jobs, as a frontend knows them
 *
 * The owner publishes the numbers. They leave out what was accepted since, so
 * they are of use only while it goes on publishing: those of an earlier owner
 * are too low, for as long as the new one has not loaded its jobs.
 */

/**
 * struct zr_cell_known_counts - the numbers that were read last; zeroed at
 * first
 * @record: the numbers
 * @known: @record was published by the owner of that time
 * @confirmed_at: when that was last known, in milliseconds
 */
struct zr_cell_known_counts {
	zx_cell_counts record;
	bool known;
	int64_t confirmed_at;
};

/**
 * zr_cell_known_counts_update() - apply a read of the numbers
 * @counts: the numbers that are known
 * @value: what was read; NULL: the store has none
 * @term_revision: store revision up to which a former owner may have written,
 *as far as this host knows; 0: unknown
 * @now: monotonic time in milliseconds
 *
 * Return: whether the numbers may be told. Those of an earlier term may for a
 * short time, so that a takeover is not noticed.
 */
bool zr_cell_known_counts_update(struct zr_cell_known_counts *counts,
				 const struct zr_store_value *value,
				 int64_t term_revision, int64_t now);

/** zr_cell_known_counts_get() - the number of waiting jobs of a queue */
uint32_t zr_cell_known_counts_get(const struct zr_cell_known_counts *counts,
				  const char *queue);

/** zr_cell_known_counts_clear() - free the memory */
void zr_cell_known_counts_clear(struct zr_cell_known_counts *counts);

#endif

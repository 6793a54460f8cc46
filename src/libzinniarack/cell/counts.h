#ifndef ZR_CELL_COUNTS_H
#define ZR_CELL_COUNTS_H

#include <stdbool.h>
#include <stdint.h>

#include "cell/records.h"
#include "zinniarack/store.h"

/**
 * DOC: Numbers of waiting jobs and the load, as a frontend knows them
 *
 * The owner publishes the numbers, and behind them in the same record a summary
 * of the load. A reader that knows only the numbers ignores the rest.
 *
 * The numbers are those of one moment. They leave out what was accepted since,
 * so they are of use only while it goes on publishing: those of an earlier
 * owner are too low, for as long as the new one has not loaded its jobs.
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

/**
 * zr_cell_encode_counts() - encode the numbers and the summary of the load
 * @out: the encoding; its data is to be freed with free()
 * @record: the record; without pools, the summary is left out
 *
 * Return: 0, or ZR_E_TOO_LARGE.
 */
int zr_cell_encode_counts(struct zr_cell_buffer *out,
			  zx_cell_stored_counts *record);

/**
 * zr_cell_decode_counts() - decode the numbers and the summary of the load
 * @out: zeroed by the caller; to be freed with xdr_free()
 * @data: the encoding
 * @length: size of @data in bytes
 *
 * Return: 0, or ZR_E_PROTOCOL with nothing to free.
 */
int zr_cell_decode_counts(zx_cell_stored_counts *out, const void *data,
			  size_t length);

/**
 * zr_cell_load_is_full() - whether a pool, or the upper limit of an account, is
 * used up
 */
bool zr_cell_load_is_full(const zx_cell_load *load);

/**
 * struct zr_cell_known_load - the summary of the load that was read last;
 *zeroed at first
 * @record: the summary
 * @revision: store revision of @record; 0: none is known
 * @written_after: time after which it was written; ZR_CELL_AGE_UNKNOWN: not
 *	known
 * @has_read: a read has succeeded
 * @read_sent_at: when the last read that succeeded was sent
 */
struct zr_cell_known_load {
	zx_cell_load record;
	int64_t revision;
	int64_t written_after;
	bool has_read;
	int64_t read_sent_at;
};

/** &struct zr_cell_known_load.written_after of the first summary. */
#define ZR_CELL_AGE_UNKNOWN INT64_MIN

/**
 * zr_cell_known_load_update() - apply a read of the summary
 * @load: the summary that is known
 * @value: what was read; NULL: the store has none
 * @sent_at: monotonic time at which the read was sent, in milliseconds
 *
 * A summary that an earlier read did not show was written after that read was
 * sent. This bounds its age without a comparison of clocks.
 */
void zr_cell_known_load_update(struct zr_cell_known_load *load,
			       const struct zr_store_value *value,
			       int64_t sent_at);

/**
 * zr_cell_known_load_age_ms() - maximum age of the summary
 * @load: the summary
 * @term_revision: as for zr_cell_known_counts_update()
 * @now: monotonic time in milliseconds
 *
 * Return: its age; -1: none of the current owner is known, or not its age.
 */
int64_t zr_cell_known_load_age_ms(const struct zr_cell_known_load *load,
				  int64_t term_revision, int64_t now);

/** zr_cell_known_load_clear() - free the memory */
void zr_cell_known_load_clear(struct zr_cell_known_load *load);

#endif

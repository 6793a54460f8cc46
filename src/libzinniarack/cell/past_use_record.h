#ifndef ZR_CELL_PAST_USE_RECORD_H
#define ZR_CELL_PAST_USE_RECORD_H

#include "cell/model.h"
#include "cell/policy/past_use.h"
#include "cell/records.h"
#include "zinniarack/clock.h"

/**
 * DOC: Records of past use
 *
 * The use of a run is charged to its job when the run ends, and persisted in
 * the job's progress record, in the same write as that end. The charge names a
 * generation. The record of past use holds the sums of all charges up to its
 * own generation; it is written when the progress records with these charges
 * are persisted. A new owner adds to it the charges of higher generations,
 * which it finds in the progress records: each charge counts once, in whichever
 * of the two. docs/design/past-use.md has the argument.
 */

/**
 * zr_cell_use_encode() - fill in what a progress record says of the job's use
 * @out: to be freed with zr_cell_use_clear(); empty if past use is off
 * @model: the model
 * @job: the job
 * @clock: monotonic clock of the model's times, with the time of day
 */
void zr_cell_use_encode(zx_cell_job_use *out, const struct zr_cell_model *model,
			const struct zr_cell_job *job,
			const struct zr_clock *clock);

/** zr_cell_use_clear() - free what zr_cell_use_encode() allocated */
void zr_cell_use_clear(zx_cell_job_use *record);

/**
 * zr_cell_use_restore() - read what a progress record says of the job's use
 * @model: the model, with the generations of this term
 * @job: the job, with its runs
 * @record: its progress record
 * @clock: as for zr_cell_use_encode()
 *
 * Charges that the record of past use includes are left out. The others become
 * one charge of the generation before that of this term's first charge.
 */
void zr_cell_use_restore(const struct zr_cell_model *model,
			 struct zr_cell_job *job,
			 const zx_cell_stored_progress *record,
			 const struct zr_clock *clock);

/**
 * struct zr_cell_past_use_header - what a record holds beside the use
 * @generation: generation up to which all charges are included
 * @runs: number of runs included, not decayed
 */
struct zr_cell_past_use_header {
	uint64_t generation;
	int64_t runs;
};

/**
 * zr_cell_past_use_encode() - encode the record of past use
 * @out: the encoding; its data is to be freed with free()
 * @use: the use; its accounts are reordered
 * @header: the rest of the record
 * @clock: clock of &struct zr_past_use.at, with the time of day
 *
 * Return: 0 or ZR_E_TOO_LARGE.
 */
int zr_cell_past_use_encode(struct zr_cell_buffer *out, struct zr_past_use *use,
			    const struct zr_cell_past_use_header *header,
			    const struct zr_clock *clock);

/**
 * zr_cell_past_use_decode() - decode the record of past use
 * @use: initialized and empty; receives the use as of the time of the record
 * @header: the rest of the record
 * @value: the record
 * @clock: as for zr_cell_past_use_encode()
 *
 * Return: 0 or ZR_E_PROTOCOL.
 */
int zr_cell_past_use_decode(struct zr_past_use *use,
			    struct zr_cell_past_use_header *header,
			    const struct zr_store_value *value,
			    const struct zr_clock *clock);

#endif

#ifndef ZR_CELL_RECORDS_H
#define ZR_CELL_RECORDS_H

#include "msg_cell.h"
#include "zinniarack/cell.h"

/**
 * DOC: What a cell keeps in the store
 *
 * - zr/cell/in/JOB: a job as it was accepted; written by entry hosts, removed
 *   when the job has ended
 * - zr/cell/in/JOB.cancel: it has been cancelled
 * - zr/cell/at/JOB: where it stands; written by the active scheduler
 * - zr/cell/counts: waiting jobs of each queue
 * - zr/cell/host/NAME: RPC address of a live host, under a lease
 *
 * Values are XDR, as on the RPC programs.
 */

#define ZR_CELL_IN_PREFIX "zr/cell/in/"
#define ZR_CELL_AT_PREFIX "zr/cell/at/"
#define ZR_CELL_HOST_PREFIX "zr/cell/host/"
#define ZR_CELL_COUNTS_KEY "zr/cell/counts"
#define ZR_CELL_CANCEL_SUFFIX ".cancel"
/** Longest key, with the final NUL. */
#define ZR_CELL_KEY_MAX (ZR_NAME_MAX + 32)

/** struct zr_cell_bytes - an encoded record */
struct zr_cell_bytes {
	char *data;
	size_t length;
};

/**
 * zr_cell_encode() - encode a record
 * @out: the bytes, to be freed with free()
 * @codec: the XDR codec of the record
 * @record: the record
 *
 * Return: 0, or ZR_E_TOO_LARGE.
 */
int zr_cell_encode(struct zr_cell_bytes *out, xdrproc_t codec, void *record);

/**
 * zr_cell_decode() - decode a record
 * @record: zeroed by the caller; to be freed with xdr_free()
 * @codec: the XDR codec of the record
 * @data: the bytes
 * @length: how many
 *
 * Return: 0, or ZR_E_PROTOCOL with nothing to free.
 */
int zr_cell_decode(void *record, xdrproc_t codec, const void *data,
		   size_t length);

/** zr_cell_record_of() - a record that borrows the strings of @spec */
void zr_cell_record_of(zx_cell_job *out, const struct zr_cell_job_spec *spec);

/** zr_cell_record_clear() - free what zr_cell_record_of() allocated */
void zr_cell_record_clear(zx_cell_job *record);

/** zr_cell_spec_of() - the specification that a record holds, as a copy */
int zr_cell_spec_of(struct zr_cell_job_spec *out, const zx_cell_job *record);

#endif

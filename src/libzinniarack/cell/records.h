#ifndef ZR_CELL_RECORDS_H
#define ZR_CELL_RECORDS_H

#include "msg_cell.h"
#include "zinniarack/cell.h"

/**
 * DOC: Records of a cell in the store
 *
 * - zr/cell/in/JOB: an accepted job; written by the host that accepted it,
 *   deleted when the job has ended and no task has an unfinished run
 * - zr/cell/in/JOB.cancel: present if the job's caller has cancelled it
 * - zr/cell/at/JOB: progress of a job; written by the active scheduler
 * - zr/cell/at//past_use: past use of the client accounts; under the prefix of
 *   the progress records, so that one read returns both as of one revision. Job
 *   ids have no slash
 * - zr/cell/counts: number of waiting jobs of each queue
 * - zr/cell/host/NAME: RPC address and size of a live host, under a lease
 *
 * Values are XDR-encoded with the types of the RPC programs, except for
 * cancellations and hosts, which are text.
 */

#define ZR_CELL_JOB_PREFIX "zr/cell/in/"
#define ZR_CELL_PROGRESS_PREFIX "zr/cell/at/"
#define ZR_CELL_HOST_PREFIX "zr/cell/host/"
#define ZR_CELL_COUNTS_KEY "zr/cell/counts"
#define ZR_CELL_PAST_USE_KEY ZR_CELL_PROGRESS_PREFIX "/past_use"
#define ZR_CELL_CANCEL_SUFFIX ".cancel"
/** Maximum size of a key in bytes, including the terminating NUL. */
#define ZR_CELL_KEY_MAX (ZR_NAME_MAX + 32)

/**
 * struct zr_cell_buffer - an encoded record
 * @data: the encoding, allocated with malloc()
 * @length: size of @data in bytes
 */
struct zr_cell_buffer {
	char *data;
	size_t length;
};

/**
 * zr_cell_encode() - encode a record
 * @out: the encoding; its data is to be freed with free()
 * @codec: XDR function of the record's type
 * @record: the record
 *
 * Return: 0, or ZR_E_TOO_LARGE.
 */
int zr_cell_encode(struct zr_cell_buffer *out, xdrproc_t codec, void *record);

/**
 * zr_cell_encode_job() - encode a job, as zr_cell_encode()
 *
 * Without its advice if the queue needs none, as earlier versions write it.
 */
int zr_cell_encode_job(struct zr_cell_buffer *out, zx_cell_stored_job *record);

/**
 * zr_cell_decode_job() - decode a job
 * @out: the job, zeroed by the caller; to be freed with xdr_free(). Its advice
 *	is empty if none was stored
 * @data: the encoding
 * @length: size of @data in bytes
 *
 * Return: 0, or ZR_E_PROTOCOL with nothing to free.
 */
int zr_cell_decode_job(zx_cell_stored_job *out, const void *data,
		       size_t length);

/**
 * zr_cell_decode() - decode a record
 * @record: zeroed by the caller; to be freed with xdr_free()
 * @codec: XDR function of the record's type
 * @data: the encoding
 * @length: size of @data in bytes
 *
 * Return: 0, or ZR_E_PROTOCOL with nothing to free.
 */
int zr_cell_decode(void *record, xdrproc_t codec, const void *data,
		   size_t length);

/**
 * zr_cell_encode_progress() - encode the progress record of a job
 * @out: the encoding; its data is to be freed with free()
 * @record: the record; its packed list of tasks and its list of long
 *checkpoints have to be empty
 *
 * A record of more than ZX_CELL_RECORD_MAX bytes is packed, and its last
 * checkpoints are left out if it still has more than ZX_CELL_VALUE_MAX. Without
 * checkpoints, a job of ZR_CELL_JOB_TASKS_MAX tasks on 4,096 workers fits.
 *
 * Return: the number of checkpoints that were left out, or ZR_E_TOO_LARGE.
 */
int zr_cell_encode_progress(struct zr_cell_buffer *out,
			    const zx_cell_stored_progress *record);

/**
 * zr_cell_decode_progress() - decode the progress record of a job
 * @out: zeroed by the caller; to be freed with zr_cell_progress_clear()
 * @data: the encoding
 * @length: size of @data in bytes
 *
 * The tasks of a packed list are unpacked, and long checkpoints are moved to
 * the list of tasks.
 *
 * Return: 0, or ZR_E_PROTOCOL with nothing to free.
 */
int zr_cell_decode_progress(zx_cell_stored_progress *out, const void *data,
			    size_t length);

/** zr_cell_progress_clear() - free what zr_cell_decode_progress() allocated */
void zr_cell_progress_clear(zx_cell_stored_progress *record);

/**
 * zr_cell_record_from_spec() - fill a record from a job specification
 * @out: the record; only the fields of the specification are set, and its
 *	strings are those of @spec
 * @spec: the specification; must outlive @out
 */
void zr_cell_record_from_spec(zx_cell_job *out,
			      const struct zr_cell_job_spec *spec);

/** zr_cell_record_clear() - free what zr_cell_record_from_spec() allocated */
void zr_cell_record_clear(zx_cell_job *record);

/**
 * zr_cell_spec_from_record() - copy the job specification out of a record
 * @out: to be freed with zr_cell_job_spec_clear()
 * @record: the record
 *
 * Return: 0, or ZR_E_PROTOCOL if the job is none that a host accepts: without
 * tasks, with more than ZR_CELL_JOB_TASKS_MAX, with a step that depends on a
 * later one, or with times that are not from 0 to ZR_CELL_DUE_MS_MAX.
 */
int zr_cell_spec_from_record(struct zr_cell_job_spec *out,
			     const zx_cell_job *record);

#endif

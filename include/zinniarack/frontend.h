#ifndef ZINNIARACK_FRONT_H
#define ZINNIARACK_FRONT_H

#include "zinniarack/cell.h"

/**
 * DOC: Callers of a cell
 *
 * The adapter reads a caller's request into &struct zr_call and writes the
 * outcome; the cell decides.
 */

enum zr_call_kind {
	ZR_CALL_SUBMIT,
	ZR_CALL_STATE,
	ZR_CALL_CANCEL,
	ZR_CALL_COUNT,
	ZR_CALL_UNKNOWN,
};

/** Where a job of a cell stands, as callers see it. */
enum zr_cell_job_state {
	ZR_CELL_JOB_QUEUED,
	ZR_CELL_JOB_ACTIVE,
	ZR_CELL_JOB_COMPLETED,
	ZR_CELL_JOB_FAILED,
	ZR_CELL_JOB_CANCELLED,
};

/** What became of a call. */
enum zr_call_outcome {
	ZR_CALL_OK,
	ZR_CALL_BAD_REQUEST,
	ZR_CALL_UNAUTHORIZED,
	ZR_CALL_NO_QUEUE,
	ZR_CALL_NO_JOB,
	ZR_CALL_NOT_RUN,     /* refused, and it will not run */
	ZR_CALL_UNKNOWN_END, /* it may have been accepted: ask again */
};

/**
 * struct zr_call - one request of a caller
 * @kind: what it asks
 * @host: the virtual host
 * @path: the path
 * @key: the key that came with it, or ""
 * @deadline_ms: how long the caller waits, 0 when it does not say
 * @body: the body, for a submission
 * @body_length: its length
 */
struct zr_call {
	enum zr_call_kind kind;
	char host[2 * ZR_NAME_MAX];
	const char *path;
	char key[ZR_NAME_MAX];
	unsigned int deadline_ms;
	const void *body;
	size_t body_length;
};

/**
 * struct zr_call_result - the outcome
 * @outcome: what became of it
 * @has_state: whether @state is told
 * @state: of a job
 * @has_count: whether @count is told
 * @count: waiting jobs
 * @retry_after_ms: when to come back, 0: not told
 * @reason: a short word for the caller's log
 */
struct zr_call_result {
	enum zr_call_outcome outcome;
	bool has_state;
	enum zr_cell_job_state state;
	bool has_count;
	uint32_t count;
	unsigned int retry_after_ms;
	const char *reason;
};

#endif

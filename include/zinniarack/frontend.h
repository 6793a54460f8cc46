#ifndef ZINNIARACK_FRONTEND_H
#define ZINNIARACK_FRONTEND_H

#include "zinniarack/cell.h"

/**
 * DOC: Calls of a cell's callers
 *
 * A call is one HTTP request of a caller: it submits a job, reads its state,
 * cancels it, or reads the number of waiting jobs of a queue. The platform's
 * adapter parses the request into &struct zr_call and writes
 * &struct zr_call_result as the response; the cell handles the call.
 */

/** Maximum size of a DNS name with a port, including the NUL. */
#define ZR_HOST_MAX 260

/**
 * enum zr_call_kind - type of a call
 * @ZR_CALL_SUBMIT: submit a job
 * @ZR_CALL_STATE: read the state of a job
 * @ZR_CALL_CANCEL: cancel a job
 * @ZR_CALL_COUNT: read the number of waiting jobs of a queue
 * @ZR_CALL_UNKNOWN: a request of any other method
 */
enum zr_call_kind {
	ZR_CALL_SUBMIT,
	ZR_CALL_STATE,
	ZR_CALL_CANCEL,
	ZR_CALL_COUNT,
	ZR_CALL_UNKNOWN,
};

/**
 * enum zr_cell_job_state - state of a job, as reported to callers
 * @ZR_CELL_JOB_QUEUED: no task has been placed on a worker yet
 * @ZR_CELL_JOB_ACTIVE: a task has been placed
 * @ZR_CELL_JOB_COMPLETED: all tasks are done
 * @ZR_CELL_JOB_FAILED: a task has failed as often as the queue allows
 * @ZR_CELL_JOB_CANCELLED: the caller has cancelled the job
 */
enum zr_cell_job_state {
	ZR_CELL_JOB_QUEUED,
	ZR_CELL_JOB_ACTIVE,
	ZR_CELL_JOB_COMPLETED,
	ZR_CELL_JOB_FAILED,
	ZR_CELL_JOB_CANCELLED,
};

/**
 * enum zr_call_outcome - result of a call
 * @ZR_CALL_OK: the call succeeded
 * @ZR_CALL_BAD_REQUEST: the request is malformed or too large
 * @ZR_CALL_UNAUTHORIZED: the queue requires a key and the caller's is not valid
 * @ZR_CALL_NO_QUEUE: no queue has this virtual host and path
 * @ZR_CALL_NO_JOB: no job has this id
 * @ZR_CALL_REFUSED: the call was refused and has had no effect; a refused job
 *	will not run
 * @ZR_CALL_OVER_SHARE: as ZR_CALL_REFUSED, because the caller's client account
 *	is above its share of a full cell
 * @ZR_CALL_UNDECIDED: the store did not answer, so the call may or may not
 *	take effect; the caller should repeat it
 */
enum zr_call_outcome {
	ZR_CALL_OK,
	ZR_CALL_BAD_REQUEST,
	ZR_CALL_UNAUTHORIZED,
	ZR_CALL_NO_QUEUE,
	ZR_CALL_NO_JOB,
	ZR_CALL_REFUSED,
	ZR_CALL_OVER_SHARE,
	ZR_CALL_UNDECIDED,
};

/**
 * struct zr_call - a parsed request of a caller
 * @kind: type of the call
 * @host: virtual host named by the request, or ""
 * @path: URL path; valid as long as the request, like @key
 * @key: API key presented by the caller, or ""
 * @deadline_ms: how long the caller waits for the response, from now; 0 if the
 *	request does not say
 * @body: request body of a submission
 * @body_length: size of @body in bytes
 */
struct zr_call {
	enum zr_call_kind kind;
	char host[ZR_HOST_MAX];
	const char *path;
	const char *key;
	unsigned int deadline_ms;
	const void *body;
	size_t body_length;
};

/**
 * struct zr_call_result - response to a call
 * @outcome: result of the call
 * @has_state: whether @state is set
 * @state: state of the job
 * @has_count: whether @count is set
 * @count: number of waiting jobs of the queue
 * @retry_after_ms: delay after which the caller should try again; 0: none
 * @reason: short machine-readable reason, for the response and the log
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

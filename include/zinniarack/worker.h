#ifndef ZINNIARACK_WORKER_H
#define ZINNIARACK_WORKER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "zinniarack/job.h"

/**
 * DOC: Workers
 *
 * The calls that a scheduler makes to a worker of its failure domain. A worker
 * runs tasks under a lease, reports which tasks run, which have ended and what
 * they use, and stops, checkpoints or throttles a task on request.
 * Adapters implement &struct zr_worker_ops.
 *
 * Lease tokens: each report carries a token that the worker issued with it. A
 * start or sync echoes the latest token, and the worker counts the lease from
 * when it issued that token, not from the arrival of the call. Before the
 * worker processes a call, it ends the tasks whose lease has expired. A delayed
 * call therefore never grants a lease that ends later than its sender assumes.
 *
 * Fencing: each call carries the epoch of the domain's owner, which is the
 * fencing token of that ownership. A worker that supports fencing refuses the
 * call with ZR_E_FENCED if it has seen a higher epoch.
 *
 * Other errors: ZR_E_UNREACHABLE if the call did not reach the worker;
 * ZR_E_OUTCOME_UNKNOWN if it may have; ZR_E_TIMEOUT if the lease that a start
 * asked for had already expired, so that nothing was started; ZR_E_FULL if a
 * start does not fit the worker's free resources; ZR_E_NOT_FOUND if the worker
 * does not know the task.
 */

/**
 * struct zr_worker_task - a task that runs on a worker
 * @id: task id
 * @used: resources that it used when last measured
 */
struct zr_worker_task {
	char id[ZR_TASK_ID_MAX];
	struct zr_resources used;
};

/**
 * struct zr_worker_end - a task that has ended on a worker
 * @sequence: sequence number of this end on this worker
 * @id: task id
 * @succeeded: whether the command succeeded
 * @stopped: whether the worker ended the task because the scheduler stopped it
 *	or its lease expired
 * @result: result of the command, or NULL
 */
struct zr_worker_end {
	uint64_t sequence;
	char id[ZR_TASK_ID_MAX];
	bool succeeded;
	bool stopped;
	char *result;
};

/**
 * struct zr_worker_report - a worker's response to a sync
 * @epoch: the highest epoch that the worker has seen
 * @incarnation: identifies the worker process; another value after a restart,
 *	which no task survives
 * @lease_token: token to echo in later calls, not 0; a lease is counted from
 *	the time of its issue
 * @supports_fencing: whether the worker refuses calls with an epoch below
 *	@epoch
 * @tasks: all tasks that run on the worker
 * @task_count: number of @tasks
 * @ends: tasks that ended after &struct zr_worker_sync.last_end_acked, sorted
 *	by sequence number
 * @end_count: number of @ends
 */
struct zr_worker_report {
	uint64_t epoch;
	uint64_t incarnation;
	uint64_t lease_token;
	bool supports_fencing;
	const struct zr_worker_task *tasks;
	size_t task_count;
	const struct zr_worker_end *ends;
	size_t end_count;
};

/**
 * struct zr_worker_sync - renews leases and requests a report
 * @epoch: epoch of the owner
 * @incarnation: incarnation that issued @lease_token
 * @lease_token: the latest token received; 0 renews no lease
 * @lease_ms: duration of the leases, counted from the issue of @lease_token
 * @last_end_acked: the worker may discard the ends up to this sequence number,
 *	since they have been persisted
 * @last_end_received: highest sequence number received, perhaps not persisted
 *	yet
 * @wait_ms: the worker may delay its response for this long, until a task ends
 *	with a sequence number above @last_end_received
 */
struct zr_worker_sync {
	uint64_t epoch;
	uint64_t incarnation;
	uint64_t lease_token;
	uint32_t lease_ms;
	uint64_t last_end_acked;
	uint64_t last_end_received;
	uint32_t wait_ms;
};

/**
 * struct zr_worker_start - starts a task
 * @epoch: epoch of the owner
 * @incarnation: incarnation that issued @lease_token
 * @lease_token: the latest token received
 * @id: task id; the worker does not start a task that it already runs, nor one
 *	that has ended there while a lease counted from @lease_token is valid
 * @size: resources that the task may use
 * @lease_ms: duration of the lease, counted from the issue of @lease_token
 * @service: name under which the task receives short requests, or ""
 * @command: command to run
 */
struct zr_worker_start {
	uint64_t epoch;
	uint64_t incarnation;
	uint64_t lease_token;
	const char *id;
	struct zr_resources size;
	uint32_t lease_ms;
	const char *service;
	const char *command;
};

/**
 * enum zr_worker_stop_mode - what a stop call does to a running task
 * @ZR_WORKER_STOP: stops it at once
 * @ZR_WORKER_CHECKPOINT: saves its progress, then stops it
 * @ZR_WORKER_THROTTLE: lets it go on with less processor time
 */
enum zr_worker_stop_mode {
	ZR_WORKER_STOP,
	ZR_WORKER_CHECKPOINT,
	ZR_WORKER_THROTTLE,
};

/** Called once for each sync; @report is NULL on an error. */
typedef void (*zr_worker_report_fn)(void *ctx, int error,
				    const struct zr_worker_report *report);

/** Called once for each start or stop, with 0 or a negative error number. */
typedef void (*zr_worker_done_fn)(void *ctx, int error);

/**
 * struct zr_worker_ops - operations that an adapter implements
 * @sync: renew leases and read a report
 * @start: start a task
 * @stop: stop, checkpoint or throttle a task
 * @free: end open calls with ZR_E_CANCELLED and free the adapter
 */
struct zr_worker_ops {
	void (*sync)(void *impl, const struct zr_worker_sync *sync,
		     zr_worker_report_fn done, void *ctx);
	void (*start)(void *impl, const struct zr_worker_start *start,
		      zr_worker_done_fn done, void *ctx);
	void (*stop)(void *impl, uint64_t epoch, const char *id,
		     enum zr_worker_stop_mode mode, zr_worker_done_fn done,
		     void *ctx);
	void (*free)(void *impl);
};

/**
 * struct zr_worker - a connection to a worker
 * @ops: operations of the worker's adapter
 * @impl: the adapter's state, passed to each operation
 */
struct zr_worker {
	const struct zr_worker_ops *ops;
	void *impl;
};

#endif

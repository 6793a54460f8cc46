#ifndef ZINNIARACK_WORKER_H
#define ZINNIARACK_WORKER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "zinniarack/job.h"

/**
 * DOC: Workers
 *
 * What a worker offers to the scheduler of its failure domain: it runs tasks
 * under a lease, reports what runs, what ended and what is used, and stops,
 * checkpoints or throttles a task. Adapters fill &struct zr_worker_ops.
 *
 * A worker counts a lease from when it issued the token that the call echoes,
 * never from the call's arrival, and ends tasks whose lease is over before it
 * reads a call. So a call that was delayed gives no lease that its sender has
 * not counted.
 *
 * Each call carries the epoch of the domain's owner. A worker that has seen a
 * higher epoch refuses with ZR_E_FENCED, if it offers fencing.
 * ZR_E_UNREACHABLE: the call did not reach the worker; ZR_E_OUTCOME_UNKNOWN: it
 * may have; ZR_E_TIMEOUT: the lease of the token of a start was over, nothing
 * was started.
 */

/**
 * struct zr_worker_task - a task that a worker holds
 * @id: the task
 * @used: what it was last seen to use
 */
struct zr_worker_task {
	char id[ZR_TASK_ID_MAX];
	struct zr_resources used;
};

/**
 * struct zr_worker_end - a task that has ended on a worker
 * @sequence: number of this event on this worker
 * @id: the task
 * @succeeded: whether the command ended well
 * @stopped: whether it ended because the scheduler stopped it or its lease
 *	lapsed
 * @result: what the command gave
 */
struct zr_worker_end {
	uint64_t sequence;
	char id[ZR_TASK_ID_MAX];
	bool succeeded;
	bool stopped;
	char *result;
};

/**
 * struct zr_worker_report - a worker's answer to a sync
 * @epoch: the highest epoch it has seen
 * @incarnation: differs after each restart; tasks of earlier boots run no more
 * @lease_token: to be echoed in calls, not 0; a lease counts from its issue
 * @supports_fencing: whether it refuses epochs lower than @epoch
 * @tasks: all tasks it holds
 * @task_count: how many
 * @ends: tasks that ended after the acknowledged sequence, in its order
 * @end_count: how many
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
 * struct zr_worker_sync - renew leases and ask for news
 * @epoch: epoch of the owner
 * @incarnation: the boot that issued @lease_token
 * @lease_token: the latest token seen; 0: renews no lease
 * @lease_ms: from the issue of @lease_token, all tasks may run on for this long
 * @last_end_acked: ends up to this sequence need not be told again
 * @last_end_received: ends up to this sequence have been told, but may not be
 *kept yet
 * @wait_ms: the worker may hold its answer this long until a task ends that
 *	has not been seen
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
 * struct zr_worker_start - start a task
 * @epoch: epoch of the owner
 * @incarnation: the boot that issued @lease_token
 * @lease_token: the latest token seen
 * @id: the task; a worker that holds it, or held it while a lease from
 *@lease_token lasts, does not start it again
 * @size: what it may use
 * @lease_ms: as in &struct zr_worker_sync
 * @service: name under which short requests reach it, or empty
 * @command: what to run
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
 * enum zr_worker_stop_mode - what to do with a running task
 */
enum zr_worker_stop_mode {
	ZR_WORKER_STOP,
	ZR_WORKER_CHECKPOINT, /* save its progress, then stop */
	ZR_WORKER_THROTTLE,   /* go on with less processor time */
};

/** Called once for each sync; @report is NULL on an error. */
typedef void (*zr_worker_report_fn)(void *ctx, int error,
				    const struct zr_worker_report *report);

/** Called once for each start or stop. */
typedef void (*zr_worker_done_fn)(void *ctx, int error);

/**
 * struct zr_worker_ops - what an adapter implements
 * @sync: renew leases, take news
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
 * struct zr_worker - a worker and its adapter
 * @ops: the adapter
 * @impl: passed to each operation
 */
struct zr_worker {
	const struct zr_worker_ops *ops;
	void *impl;
};

#endif

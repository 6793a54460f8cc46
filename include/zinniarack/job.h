#ifndef ZINNIARACK_JOB_H
#define ZINNIARACK_JOB_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: Jobs
 *
 * The unit of work that a caller submits. A job has one or more tasks that need
 * the same resources; its kind determines how they are scheduled.
 *
 * A job's priority is called `worth` in requests, settings and records.
 */

/** Size of the name of a job, team, queue or worker, with the final NUL. */
#define ZR_NAME_MAX 64
/** Size of a job id, with the final NUL. */
#define ZR_JOB_ID_MAX 96
/** Size of a task id, with the final NUL. */
#define ZR_TASK_ID_MAX 128
/** Size of an idempotency key, with the final NUL. */
#define ZR_IDEMPOTENCY_KEY_MAX 128
/** Maximum number of tasks of a job. */
#define ZR_JOB_TASKS_MAX 4096
/** Maximum length of a task's command, in bytes. */
#define ZR_COMMAND_MAX 65536
/** Highest priority that a caller may set. */
#define ZR_WORTH_MAX 100

/**
 * struct zr_resources - amounts of the resources of a worker
 * @millicpus: processor time, in thousandths of a processor
 * @memory_mb: memory, in MiB
 * @accelerators: number of accelerators
 */
struct zr_resources {
	uint32_t millicpus;
	uint32_t memory_mb;
	uint32_t accelerators;
};

/**
 * enum zr_job_kind - how a job's tasks are scheduled
 * @ZR_JOB_BATCH: each task is started independently and runs to completion
 * @ZR_JOB_SERVICE: the tasks are replicas, which are restarted when they end
 * @ZR_JOB_GANG: all tasks are started together or none is
 */
enum zr_job_kind {
	ZR_JOB_BATCH,
	ZR_JOB_SERVICE,
	ZR_JOB_GANG,
};

/**
 * enum zr_job_state - state of a job
 * @ZR_JOB_WAITING: no task is running, at least one is to be started
 * @ZR_JOB_RUNNING: at least one task is running
 * @ZR_JOB_PARKED: it could not run even if no other job ran, as it is larger
 *	than the workers or than its team's limit
 * @ZR_JOB_SUCCEEDED: all its tasks have succeeded
 * @ZR_JOB_FAILED: a task failed too often, or may have run and must not be
 *	started again
 * @ZR_JOB_CANCELLED: it was cancelled and no task is running any more
 */
enum zr_job_state {
	ZR_JOB_WAITING,
	ZR_JOB_RUNNING,
	ZR_JOB_PARKED,
	ZR_JOB_SUCCEEDED,
	ZR_JOB_FAILED,
	ZR_JOB_CANCELLED,
};

/**
 * struct zr_job_spec - specification of a job
 * @name: name of the job; jobs of one team and name share the estimates of
 *	resources and run time that come from their past runs
 * @team: team that owns the job
 * @queue: queue to which it was submitted
 * @kind: how its tasks are scheduled
 * @tasks: number of tasks; for a service, of replicas
 * @size: declared resources of each task
 * @worth: priority, 0 to ZR_WORTH_MAX; the highest is scheduled first
 * @urgent: may preempt tasks of lower priority
 * @at_most_once: a task that may have started is never started again
 * @run_ms: declared run time of a task in milliseconds, 0 when unknown
 * @deadline_ms: wall-clock time by which the job should have finished, in
 *	milliseconds since the Unix epoch; 0 for none
 * @idempotency_key: identifies the request across retries; empty for none
 * @command: command that the worker runs
 */
struct zr_job_spec {
	char name[ZR_NAME_MAX];
	char team[ZR_NAME_MAX];
	char queue[ZR_NAME_MAX];
	enum zr_job_kind kind;
	uint32_t tasks;
	struct zr_resources size;
	uint32_t worth;
	bool urgent;
	bool at_most_once;
	uint64_t run_ms;
	int64_t deadline_ms;
	char idempotency_key[ZR_IDEMPOTENCY_KEY_MAX];
	char *command;
};

/**
 * zr_job_spec_parse() - parse a job specification from JSON
 * @out: the specification; to be freed with zr_job_spec_clear()
 * @text: a JSON object as docs/API.md describes it
 * @length: length of @text in bytes
 *
 * The team is left empty: it comes from the caller's key or the queue.
 *
 * Return: 0, ZR_E_NOMEM, or ZR_E_INVALID with the field in zr_error_last().
 */
int zr_job_spec_parse(struct zr_job_spec *out, const void *text, size_t length);

/** zr_job_spec_clear() - free the command of a specification */
void zr_job_spec_clear(struct zr_job_spec *spec);

/** zr_job_kind_name() - name of a kind: "batch", "service" or "gang" */
const char *zr_job_kind_name(enum zr_job_kind kind);

/** zr_job_state_name() - name of a state, such as "waiting" */
const char *zr_job_state_name(enum zr_job_state state);

/** zr_job_state_is_final() - whether a job in this state has ended */
bool zr_job_state_is_final(enum zr_job_state state);

/** zr_resources_fit() - whether no member of @need exceeds @available */
bool zr_resources_fit(const struct zr_resources *need,
		      const struct zr_resources *available);

/** zr_resources_add() - add @amount to @total */
void zr_resources_add(struct zr_resources *total,
		      const struct zr_resources *amount);

/** zr_resources_sub() - subtract @amount from @total, but not below 0 */
void zr_resources_sub(struct zr_resources *total,
		      const struct zr_resources *amount);

#endif

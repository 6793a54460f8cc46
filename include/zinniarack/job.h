#ifndef ZINNIARACK_JOB_H
#define ZINNIARACK_JOB_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: Jobs
 *
 * What callers submit. A job is one or more tasks of the same size; its kind
 * says how they are placed.
 */

/** Longest name of a job, team, queue or worker, with the final NUL. */
#define ZR_NAME_MAX 64
/** Longest job id, with the final NUL. */
#define ZR_JOB_ID_MAX 96
/** Longest task id, with the final NUL. */
#define ZR_TASK_ID_MAX 128
/** Longest idempotency key, with the final NUL. */
#define ZR_IDEMPOTENCY_KEY_MAX 128
/** Most tasks of one job. */
#define ZR_JOB_TASKS_MAX 4096
/** Longest command of a task, in bytes. */
#define ZR_COMMAND_MAX 65536
/** Highest worth a caller may give. */
#define ZR_WORTH_MAX 100

/**
 * struct zr_resources - an amount of what workers hold
 * @millicpus: thousandths of a processor
 * @memory_mb: memory, in MiB
 * @accelerators: whole accelerators
 */
struct zr_resources {
	uint32_t millicpus;
	uint32_t memory_mb;
	uint32_t accelerators;
};

/**
 * enum zr_job_kind - how a job's tasks are placed
 * @ZR_JOB_BATCH: each task starts when it can and ends once
 * @ZR_JOB_SERVICE: replicas that are kept running
 * @ZR_JOB_GANG: all tasks start together or none does
 */
enum zr_job_kind {
	ZR_JOB_BATCH,
	ZR_JOB_SERVICE,
	ZR_JOB_GANG,
};

/**
 * enum zr_job_state - where a job stands
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
 * struct zr_job_spec - what a caller asks for
 * @name: name of the job; runs of one name are learned from together
 * @team: whose job it is
 * @queue: the queue it was submitted to
 * @kind: how its tasks are placed
 * @tasks: how many tasks; for a service, replicas
 * @size: what each task is declared to need
 * @worth: higher is placed first
 * @urgent: may preempt work of less worth
 * @at_most_once: a task that may have started is never started again
 * @run_ms: declared run time of a task, 0 when unknown
 * @deadline_ms: time of day to finish by, in ms since the epoch; 0 for none
 * @idempotency_key: names the request across retries, or empty
 * @command: what the worker runs
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
 * zr_job_spec_parse() - read a job from JSON
 * @out: the job; free @out->command with zr_job_spec_clear()
 * @text: a JSON object as docs/API.md describes it
 * @length: its length in bytes
 *
 * The team is left empty: it comes from the caller's key or the queue.
 *
 * Return: 0, or ZR_E_INVALID with the field in zr_error_last().
 */
int zr_job_spec_parse(struct zr_job_spec *out, const void *text, size_t length);

/** zr_job_spec_clear() - free what a job holds */
void zr_job_spec_clear(struct zr_job_spec *spec);

/** zr_job_kind_name() - "batch", "service" or "gang" */
const char *zr_job_kind_name(enum zr_job_kind kind);

/** zr_job_state_name() - such as "waiting" */
const char *zr_job_state_name(enum zr_job_state state);

/** zr_job_state_final() - whether a job in this state has ended */
bool zr_job_state_final(enum zr_job_state state);

/** zr_resources_fit() - whether @need is no more than @room in each member */
bool zr_resources_fit(const struct zr_resources *need,
		      const struct zr_resources *room);

/** zr_resources_add() - add @amount to @total */
void zr_resources_add(struct zr_resources *total,
		      const struct zr_resources *amount);

/** zr_resources_sub() - take @amount from @total, stopping at zero */
void zr_resources_sub(struct zr_resources *total,
		      const struct zr_resources *amount);

#endif

#ifndef ZINNIARACK_SCHED_H
#define ZINNIARACK_SCHED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "zinniarack/clock.h"
#include "zinniarack/config.h"
#include "zinniarack/job.h"
#include "zinniarack/table.h"

/**
 * DOC: Scheduler core
 *
 * Decides which tasks run on which workers of one failure domain. The core does
 * no I/O: the caller reports events through the functions below and receives
 * decisions through &struct zr_sched_sink. It is deterministic: the same events
 * at the same times lead to the same decisions.
 *
 * Resources are reserved on a worker before a task starts there and released
 * when the task has ended. The reservation is the larger of an estimate and of
 * the usage that was reported for the task. The estimate is the declared size,
 * or is derived from past runs of jobs of the same team and name.
 *
 * A placement is one attempt to run a task on a worker.
 *
 * A claim holds resources on a worker for one task until the tasks that are
 * being stopped for it have ended. A reservation holds them for all tasks of a
 * gang.
 *
 * A parked job could not run even if no other job ran. It is not scheduled, but
 * checked again when a worker or a limit changes.
 *
 * A held job is not scheduled until the caller releases it.
 *
 * A suspect worker is one on which tasks of several jobs failed in a row. It
 * gets one task at a time, called a probe, until one succeeds.
 *
 * The effective priority of a job is its own priority, the field worth, plus
 * that of its queue. Jobs are compared by effective priority.
 *
 * An allotment is the part of a team's limit that this failure domain may use.
 *
 * Handles are of type &zr_handle. Times are on the monotonic clock of the core,
 * unless another clock is named.
 */

struct zr_sched;

/**
 * struct zr_sched_task - the task that a decision is about
 * @job: handle of the job
 * @job_id: id of the job
 * @index: index of the task within the job, from 0
 * @attempt: number of this attempt to run the task, from 1
 * @worker: handle of the worker
 * @reserved: resources reserved for it, which it may use
 */
struct zr_sched_task {
	zr_handle job;
	const char *job_id;
	uint32_t index;
	uint32_t attempt;
	zr_handle worker;
	struct zr_resources reserved;
};

/**
 * enum zr_sched_stop_reason - why a running task is to be stopped or throttled
 * @ZR_SCHED_STOP_CANCELLED: its job was cancelled
 * @ZR_SCHED_STOP_PREEMPTED: an urgent job or a gang needs its resources; it is
 *	checkpointed and runs again later
 * @ZR_SCHED_STOP_OVERCOMMIT: its worker is overcommitted or its team over its
 *	limit; it is checkpointed and runs again later
 * @ZR_SCHED_STOP_DRAINED: its worker is leaving; it moves to another one
 * @ZR_SCHED_STOP_THROTTLE: not stopped, but limited to the processor time that
 *	was reserved at its start
 * @ZR_SCHED_STOP_OVERDUE: it has not ended within the grace period after an
 *	earlier stop; it is stopped without a checkpoint
 */
enum zr_sched_stop_reason {
	ZR_SCHED_STOP_CANCELLED,
	ZR_SCHED_STOP_PREEMPTED,
	ZR_SCHED_STOP_OVERCOMMIT,
	ZR_SCHED_STOP_DRAINED,
	ZR_SCHED_STOP_THROTTLE,
	ZR_SCHED_STOP_OVERDUE,
};

/** zr_sched_stop_reason_name() - name of a reason, such as "preempted" */
const char *zr_sched_stop_reason_name(enum zr_sched_stop_reason reason);

/**
 * struct zr_sched_sink - callbacks that receive decisions
 * @start: start a task, whose resources are already reserved
 * @stop: stop, checkpoint or throttle a task; its resources stay reserved until
 *	zr_sched_task_ended()
 * @job_changed: the state of a job has changed, for the reason given
 * @ctx: passed to each callback
 *
 * A callback must not call into the core. The specification passed to @start is
 * valid only during the call; its command and idempotency key are empty, as the
 * core does not keep them.
 */
struct zr_sched_sink {
	void (*start)(void *ctx, const struct zr_sched_task *task,
		      const struct zr_job_spec *spec, const char *reason);
	void (*stop)(void *ctx, const struct zr_sched_task *task,
		     enum zr_sched_stop_reason reason);
	void (*job_changed)(void *ctx, zr_handle job, const char *job_id,
			    enum zr_job_state state, const char *reason);
	void *ctx;
};

/**
 * struct zr_sched_worker - description of a worker
 * @name: name of the worker, for queries and explanations
 * @rack: name of its rack
 * @capacity: its total resources
 */
struct zr_sched_worker {
	const char *name;
	const char *rack;
	struct zr_resources capacity;
};

/**
 * enum zr_sched_worker_state - whether a worker may get new tasks
 * @ZR_SCHED_WORKER_UP: it may
 * @ZR_SCHED_WORKER_LEAVING: it is being drained and gets no new tasks; replicas
 *	of services move to other workers, its other tasks go on
 * @ZR_SCHED_WORKER_UNRESPONSIVE: it does not respond and gets no new tasks; its
 *	tasks may still be running
 */
enum zr_sched_worker_state {
	ZR_SCHED_WORKER_UP,
	ZR_SCHED_WORKER_LEAVING,
	ZR_SCHED_WORKER_UNRESPONSIVE,
};

/**
 * enum zr_sched_outcome - how a task ended
 * @ZR_SCHED_SUCCEEDED: its command succeeded
 * @ZR_SCHED_FAILED: its command failed
 * @ZR_SCHED_NOT_STARTED: the worker is known not to have started it
 * @ZR_SCHED_STOPPED: it was stopped as the core decided
 * @ZR_SCHED_LOST: its worker is gone and the worker's lease has expired
 */
enum zr_sched_outcome {
	ZR_SCHED_SUCCEEDED,
	ZR_SCHED_FAILED,
	ZR_SCHED_NOT_STARTED,
	ZR_SCHED_STOPPED,
	ZR_SCHED_LOST,
};

/**
 * struct zr_sched_options - options of zr_sched_new()
 * @version: ZR_SCHED_OPTIONS_VERSION
 * @clock: source of time
 * @sink: callbacks for decisions
 */
struct zr_sched_options {
	unsigned int version;
	const struct zr_clock *clock;
	struct zr_sched_sink sink;
};

#define ZR_SCHED_OPTIONS_VERSION 1
#define ZR_SCHED_OPTIONS_INIT                   \
	{                                       \
		ZR_SCHED_OPTIONS_VERSION, NULL, \
		{                               \
			0                       \
		}                               \
	}

/**
 * zr_sched_new() - create a core without workers or jobs
 * @out: the core, to be freed with zr_sched_free()
 * @options: options; copied
 *
 * Return: 0 or ZR_E_NOMEM.
 */
int zr_sched_new(struct zr_sched **out, const struct zr_sched_options *options);

void zr_sched_free(struct zr_sched *sched);

/**
 * zr_sched_configure() - apply a configuration
 * @sched: the core
 * @config: teams, queues and policy; kept by reference until the next call
 *
 * Return: 0 or ZR_E_NOMEM.
 */
int zr_sched_configure(struct zr_sched *sched, const struct zr_config *config);

/**
 * zr_sched_set_allotment() - set the part of a team's limit for this domain
 * @sched: the core
 * @team_name: name of the team
 * @allotment: limit in this failure domain; a zero member means no limit
 *
 * Running tasks of a team that is over its new limit are stopped.
 *
 * Return: 0, ZR_E_NOT_FOUND or ZR_E_NOMEM.
 */
int zr_sched_set_allotment(struct zr_sched *sched, const char *team_name,
			   const struct zr_resources *allotment);

/**
 * zr_sched_worker_add() - add a worker, in the state ZR_SCHED_WORKER_UP
 * @out: handle of the worker
 * @sched: the core
 * @worker: its description; copied
 *
 * Return: 0, ZR_E_NOMEM or ZR_E_FULL.
 */
int zr_sched_worker_add(zr_handle *out, struct zr_sched *sched,
			const struct zr_sched_worker *worker);

/** zr_sched_worker_set_state() - set the state of a worker */
void zr_sched_worker_set_state(struct zr_sched *sched, zr_handle worker,
			       enum zr_sched_worker_state state);

/**
 * zr_sched_worker_remove() - remove a worker that is gone
 * @sched: the core
 * @worker: handle of the worker
 *
 * To be called once the last lease of the worker has expired: its tasks end as
 * ZR_SCHED_LOST and may start elsewhere.
 */
void zr_sched_worker_remove(struct zr_sched *sched, zr_handle worker);

/**
 * zr_sched_job_check() - check that a job could run if no other job ran
 * @sched: the core
 * @spec: specification of the job
 *
 * Return: 0, ZR_E_NOT_FOUND for an unknown queue or team, ZR_E_NEVER_FITS if it
 * does not fit on the workers, ZR_E_LIMIT if it exceeds its team's limit;
 * zr_error_last() holds the reason.
 */
int zr_sched_job_check(const struct zr_sched *sched,
		       const struct zr_job_spec *spec);

/**
 * zr_sched_job_add() - add an accepted job
 * @out: handle of the job
 * @sched: the core
 * @id: id of the job; copied
 * @spec: its specification; copied, except command and idempotency key
 *
 * Return: 0, ZR_E_NOMEM or ZR_E_FULL.
 */
int zr_sched_job_add(zr_handle *out, struct zr_sched *sched, const char *id,
		     const struct zr_job_spec *spec);

/**
 * zr_sched_job_cancel() - cancel a job and stop its running tasks
 * @sched: the core
 * @job: handle of the job
 *
 * Return: 0, or ZR_E_STATE when it has already ended.
 */
int zr_sched_job_cancel(struct zr_sched *sched, zr_handle job);

/**
 * zr_sched_job_hold() - hold or release a job
 * @sched: the core
 * @job: handle of the job
 * @held: true to stop scheduling its tasks, false to resume
 *
 * After a takeover, a job is held while one of its tasks may still be running
 * on a worker that has not responded yet.
 */
void zr_sched_job_hold(struct zr_sched *sched, zr_handle job, bool held);

/** zr_sched_job_remove() - remove a job none of whose tasks is running */
void zr_sched_job_remove(struct zr_sched *sched, zr_handle job);

/**
 * zr_sched_task_adopt() - add a task that was found running after a takeover
 * @sched: the core
 * @job: handle of the job
 * @index: index of the task
 * @attempt: number of the attempt that is running
 * @worker: handle of the worker on which it runs
 *
 * Its resources are reserved even if the worker's capacity is exceeded.
 *
 * Return: 0, ZR_E_NOT_FOUND for an unknown task or worker, ZR_E_STATE when the
 * job has ended, ZR_E_EXISTS when the task is not waiting, as it runs elsewhere
 * or has ended, ZR_E_NOMEM or ZR_E_FULL.
 */
int zr_sched_task_adopt(struct zr_sched *sched, zr_handle job, uint32_t index,
			uint32_t attempt, zr_handle worker);

/**
 * zr_sched_task_ended() - report the end of a running task
 * @sched: the core
 * @job: handle of the job
 * @index: index of the task
 * @attempt: number of the attempt; the call has no effect unless it is the
 *	latest one
 * @outcome: how it ended
 */
void zr_sched_task_ended(struct zr_sched *sched, zr_handle job, uint32_t index,
			 uint32_t attempt, enum zr_sched_outcome outcome);

/**
 * zr_sched_task_replay() - restore the end of a task from the journal
 * @sched: the core
 * @job: handle of the job
 * @index: index of the task
 * @attempt: number of the attempt that ended
 * @outcome: how it ended; ZR_SCHED_LOST for a task of an at-most-once job that
 *	may have started and whose outcome is unknown
 *
 * Used after a takeover. Has no effect on a task that is not waiting.
 */
void zr_sched_task_replay(struct zr_sched *sched, zr_handle job, uint32_t index,
			  uint32_t attempt, enum zr_sched_outcome outcome);

/**
 * zr_sched_task_report_usage() - report the resource usage of a running task
 * @sched: the core
 * @job: handle of the job
 * @index: index of the task
 * @attempt: number of the attempt; the call has no effect unless it is the
 *	latest one
 * @used: resources that the task was using
 * @at: time of the measurement on the monotonic clock
 *
 * Reports may be late and out of order. The reservation of the task is never
 * below any reported usage; a report older than a previous one can only raise
 * it. If the reservations on the worker then exceed its capacity, tasks are
 * throttled or stopped.
 */
void zr_sched_task_report_usage(struct zr_sched *sched, zr_handle job,
				uint32_t index, uint32_t attempt,
				const struct zr_resources *used,
				struct timespec at);

/**
 * zr_sched_decide() - run one scheduling pass
 * @sched: the core
 * @max_starts: maximum number of start decisions
 *
 * The work of a pass is bounded; zr_sched_has_more() returns whether some is
 * left. Since all tasks of a gang start together, a gang with more tasks than
 * @max_starts waits for a call that allows that many starts. The pass also
 * handles timeouts and delays, so it should run about every 200 ms.
 *
 * Return: the number of start decisions passed to the sink.
 */
unsigned int zr_sched_decide(struct zr_sched *sched, unsigned int max_starts);

/** zr_sched_has_more() - whether the last scheduling pass left work undone */
bool zr_sched_has_more(const struct zr_sched *sched);

/**
 * enum zr_sched_wait - why a job has tasks that are not running
 * @ZR_SCHED_WAIT_NONE: it has no such task
 * @ZR_SCHED_WAIT_QUEUED: it is to be tried: it has not been tried yet, or
 *	resources have been freed since
 * @ZR_SCHED_WAIT_NO_CAPACITY: no worker has enough free resources
 * @ZR_SCHED_WAIT_LIMIT: its team is at its limit
 * @ZR_SCHED_WAIT_HELD: held after a takeover
 * @ZR_SCHED_WAIT_RETRY: failed; tried again after a delay
 * @ZR_SCHED_WAIT_GANG: resources for all tasks of the gang are being reserved
 * @ZR_SCHED_WAIT_PREEMPTION: resources are claimed for it, until they are free
 * @ZR_SCHED_WAIT_NEVER_FITS: parked: does not fit on the workers
 * @ZR_SCHED_WAIT_OVER_LIMIT: parked: larger than its team's limit
 * @ZR_SCHED_WAITS: number of values
 */
enum zr_sched_wait {
	ZR_SCHED_WAIT_NONE,
	ZR_SCHED_WAIT_QUEUED,
	ZR_SCHED_WAIT_NO_CAPACITY,
	ZR_SCHED_WAIT_LIMIT,
	ZR_SCHED_WAIT_HELD,
	ZR_SCHED_WAIT_RETRY,
	ZR_SCHED_WAIT_GANG,
	ZR_SCHED_WAIT_PREEMPTION,
	ZR_SCHED_WAIT_NEVER_FITS,
	ZR_SCHED_WAIT_OVER_LIMIT,
	ZR_SCHED_WAITS,
};

/** zr_sched_wait_name() - name of a value, such as "no_room" */
const char *zr_sched_wait_name(enum zr_sched_wait wait);

/**
 * struct zr_sched_job_info - current state of a job
 * @id: id of the job
 * @spec: its specification, without command and idempotency key
 * @state: its current state
 * @reason: why it is in that state; for a waiting job, the text for @wait
 * @wait: why some of its tasks are not running
 * @running: number of tasks on workers
 * @ended: number of tasks that have succeeded
 */
struct zr_sched_job_info {
	const char *id;
	const struct zr_job_spec *spec;
	enum zr_job_state state;
	const char *reason;
	enum zr_sched_wait wait;
	uint32_t running;
	uint32_t ended;
};

/**
 * zr_sched_job_info() - get the current state of a job
 * @out: the state; what it points to is valid until the next call
 * @sched: the core
 * @job: handle of the job
 *
 * Return: 0 or ZR_E_NOT_FOUND.
 */
int zr_sched_job_info(struct zr_sched_job_info *out,
		      const struct zr_sched *sched, zr_handle job);

/**
 * enum zr_sched_task_state - state of a task
 * @ZR_SCHED_TASK_WAITING: to be started
 * @ZR_SCHED_TASK_RUNNING: started on a worker
 * @ZR_SCHED_TASK_STOPPING: being stopped; its resources are still reserved
 * @ZR_SCHED_TASK_ENDED: succeeded
 * @ZR_SCHED_TASK_ABANDONED: failed too often, or may have run and must not be
 *	started again
 */
enum zr_sched_task_state {
	ZR_SCHED_TASK_WAITING,
	ZR_SCHED_TASK_RUNNING,
	ZR_SCHED_TASK_STOPPING,
	ZR_SCHED_TASK_ENDED,
	ZR_SCHED_TASK_ABANDONED,
};

/**
 * struct zr_sched_task_info - current state of a task
 * @state: waiting, running, stopping, ended or abandoned
 * @attempt: number of its latest attempt, 0 before the first
 * @worker: handle of the worker on which it runs, or ZR_HANDLE_NONE
 * @reserved: resources reserved for it there
 */
struct zr_sched_task_info {
	enum zr_sched_task_state state;
	uint32_t attempt;
	zr_handle worker;
	struct zr_resources reserved;
};

/**
 * zr_sched_task_info() - get the current state of a task
 * @out: the state
 * @sched: the core
 * @job: handle of the job
 * @index: index of the task
 *
 * Return: 0 or ZR_E_NOT_FOUND.
 */
int zr_sched_task_info(struct zr_sched_task_info *out,
		       const struct zr_sched *sched, zr_handle job,
		       uint32_t index);

/**
 * struct zr_sched_worker_info - current state of a worker
 * @name: name of the worker, as given to zr_sched_worker_add()
 * @rack: name of its rack
 * @state: whether it may get new tasks
 * @capacity: its total resources
 * @reserved: sum of the reservations of its tasks
 * @tasks: number of tasks on it
 * @suspect: whether it gets one task at a time, since too many failed on it
 */
struct zr_sched_worker_info {
	const char *name;
	const char *rack;
	enum zr_sched_worker_state state;
	struct zr_resources capacity;
	struct zr_resources reserved;
	uint32_t tasks;
	bool suspect;
};

/**
 * zr_sched_worker_next() - iterate over the workers
 * @out: state of the worker; valid until the next event
 * @sched: the core
 * @previous: handle of the previous worker, ZR_HANDLE_NONE to begin
 *
 * Return: handle of the worker, ZR_HANDLE_NONE after the last one.
 */
zr_handle zr_sched_worker_next(struct zr_sched_worker_info *out,
			       const struct zr_sched *sched,
			       zr_handle previous);

/** zr_sched_job_next() - iterate over the jobs; see zr_sched_worker_next() */
zr_handle zr_sched_job_next(struct zr_sched_job_info *out,
			    const struct zr_sched *sched, zr_handle previous);

/**
 * enum zr_sched_refusal - why a worker cannot take a task now
 * @ZR_SCHED_REFUSED_MILLICPUS: not enough free processor time
 * @ZR_SCHED_REFUSED_MEMORY: not enough free memory
 * @ZR_SCHED_REFUSED_ACCELERATORS: not enough free accelerators
 * @ZR_SCHED_REFUSED_LEAVING: it is leaving
 * @ZR_SCHED_REFUSED_UNRESPONSIVE: it does not respond
 * @ZR_SCHED_REFUSED_SUSPECT: it is suspect
 * @ZR_SCHED_REFUSED_RESERVED: enough resources are free, but held for others
 * @ZR_SCHED_REFUSALS: number of values
 */
enum zr_sched_refusal {
	ZR_SCHED_REFUSED_MILLICPUS,
	ZR_SCHED_REFUSED_MEMORY,
	ZR_SCHED_REFUSED_ACCELERATORS,
	ZR_SCHED_REFUSED_LEAVING,
	ZR_SCHED_REFUSED_UNRESPONSIVE,
	ZR_SCHED_REFUSED_SUSPECT,
	ZR_SCHED_REFUSED_RESERVED,
	ZR_SCHED_REFUSALS,
};

/** zr_sched_refusal_name() - name of a value, such as "memory" */
const char *zr_sched_refusal_name(enum zr_sched_refusal refusal);

/**
 * struct zr_sched_explanation - why a job is waiting
 * @by_reason: number of workers that cannot take one of its tasks, by
 *	&enum zr_sched_refusal
 * @fitting: number of workers that could take one of its tasks now
 * @jobs_before: number of queued jobs with a higher effective priority
 * @hint: what would let it start, as a text
 */
struct zr_sched_explanation {
	uint32_t by_reason[ZR_SCHED_REFUSALS];
	uint32_t fitting;
	uint32_t jobs_before;
	char hint[256];
};

/**
 * zr_sched_explain() - explain why a job is waiting
 * @out: the explanation
 * @sched: the core
 * @job: handle of the job
 *
 * Return: 0 or ZR_E_NOT_FOUND.
 */
int zr_sched_explain(struct zr_sched_explanation *out,
		     const struct zr_sched *sched, zr_handle job);

/**
 * zr_sched_team_usage() - get the resources reserved for a team
 * @out: sum of the reservations of its tasks in this failure domain
 * @sched: the core
 * @team_name: name of the team
 *
 * Return: 0 or ZR_E_NOT_FOUND.
 */
int zr_sched_team_usage(struct zr_resources *out, const struct zr_sched *sched,
			const char *team_name);

/**
 * struct zr_sched_stats - counters and gauges of the core
 * @decisions: start decisions so far
 * @placement_attempts: searches for a worker for a task so far
 * @workers_examined: workers examined so far
 * @jobs_examined: jobs examined so far
 * @preemptions: tasks preempted so far, for urgent jobs or for a gang
 * @overcommit_actions: tasks stopped or throttled so far because a worker was
 *	overcommitted or a team over its limit
 * @backfills: tasks started so far on resources reserved for a gang
 * @waiting: number of jobs in queues
 * @parked: number of parked jobs
 * @running: number of tasks on workers
 * @job_bytes: memory used by jobs and queues
 * @task_bytes: memory used by placements
 */
struct zr_sched_stats {
	uint64_t decisions;
	uint64_t placement_attempts;
	uint64_t workers_examined;
	uint64_t jobs_examined;
	uint64_t preemptions;
	uint64_t overcommit_actions;
	uint64_t backfills;
	uint32_t waiting;
	uint32_t parked;
	uint32_t running;
	uint64_t job_bytes;
	uint64_t task_bytes;
};

/** zr_sched_stats() - get the counters and gauges */
void zr_sched_stats(struct zr_sched_stats *out, const struct zr_sched *sched);

#endif

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
 * Decides for one failure domain which task runs on which worker. It knows no
 * sockets, files or processes: events go in by the functions below, decisions
 * come out through &struct zr_sched_sink. The same events at the same times
 * lead to the same decisions.
 */

struct zr_sched;

/**
 * struct zr_sched_task - names a task in decisions
 * @job: the job's handle
 * @job_id: the job's id
 * @index: which of the job's tasks, from 0
 * @attempt: how often it has been started, from 1
 * @worker: the worker's handle
 * @reserved: the room kept for it now; what a start may use
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
 * enum zr_sched_stop - why and how a running task is to end
 */
enum zr_sched_stop {
	ZR_SCHED_STOP_CANCELLED, /* its job was cancelled */
	ZR_SCHED_STOP_PREEMPTED, /* checkpoint it; it runs again later */
	ZR_SCHED_STOP_RELIEF,	 /* its worker nears its limit */
	ZR_SCHED_STOP_DRAINED,	 /* its worker leaves */
	ZR_SCHED_STOP_THROTTLE,	 /* go on with less processor time */
	ZR_SCHED_STOP_OVERDUE,	 /* its checkpoint took too long: stop it */
};

/** zr_sched_stop_name() - such as "preempted" */
const char *zr_sched_stop_name(enum zr_sched_stop why);

/**
 * struct zr_sched_sink - where decisions go
 * @start: start a task; its room is already reserved
 * @stop: stop, checkpoint or throttle a task; its room stays reserved until
 *	zr_sched_task_ended()
 * @job_changed: a job has another state, with the reason
 * @ctx: passed to each
 *
 * A sink must not call back into the core. The specification that @start gets
 * is valid during the call; its command and idempotency key are empty, as the
 * core does not keep them.
 */
struct zr_sched_sink {
	void (*start)(void *ctx, const struct zr_sched_task *task,
		      const struct zr_job_spec *spec, const char *reason);
	void (*stop)(void *ctx, const struct zr_sched_task *task,
		     enum zr_sched_stop why);
	void (*job_changed)(void *ctx, zr_handle job, const char *job_id,
			    enum zr_job_state state, const char *reason);
	void *ctx;
};

/**
 * struct zr_sched_worker - what the core must know of a worker
 * @name: its name
 * @rack: its rack
 * @capacity: what it holds
 */
struct zr_sched_worker {
	const char *name;
	const char *rack;
	struct zr_resources capacity;
};

/**
 * enum zr_sched_worker_state - whether a worker may get work
 * @ZR_SCHED_WORKER_UP: it may
 * @ZR_SCHED_WORKER_LEAVING: it gets no new work; its tasks go on
 * @ZR_SCHED_WORKER_UNHEARD: it does not answer; its tasks may still run
 */
enum zr_sched_worker_state {
	ZR_SCHED_WORKER_UP,
	ZR_SCHED_WORKER_LEAVING,
	ZR_SCHED_WORKER_UNHEARD,
};

/**
 * enum zr_sched_outcome - how a task ended
 * @ZR_SCHED_SUCCEEDED: its command ended well
 * @ZR_SCHED_FAILED: its command ended badly; may be tried again
 * @ZR_SCHED_NOT_STARTED: the worker surely never started it
 * @ZR_SCHED_STOPPED: it was stopped on the core's word
 * @ZR_SCHED_LOST: its worker is gone and its lease has lapsed
 */
enum zr_sched_outcome {
	ZR_SCHED_SUCCEEDED,
	ZR_SCHED_FAILED,
	ZR_SCHED_NOT_STARTED,
	ZR_SCHED_STOPPED,
	ZR_SCHED_LOST,
};

/**
 * struct zr_sched_options - how to make a core
 * @version: ZR_SCHED_OPTIONS_VERSION
 * @clock: where the time comes from
 * @sink: where decisions go
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
 * zr_sched_new() - make a core without workers or jobs
 * @out: the core, to be freed with zr_sched_free()
 * @options: how
 *
 * Return: 0 or ZR_E_NOMEM.
 */
int zr_sched_new(struct zr_sched **out, const struct zr_sched_options *options);

void zr_sched_free(struct zr_sched *sched);

/**
 * zr_sched_configure() - take a configuration into force
 * @sched: the core
 * @config: teams, queues and policy; kept by reference until the next call
 *
 * Return: 0 or ZR_E_NOMEM.
 */
int zr_sched_configure(struct zr_sched *sched, const struct zr_config *config);

/**
 * zr_sched_set_allotment() - how much of a team's upper limit holds here
 * @sched: the core
 * @team: the team's name
 * @allotment: upper limit in this failure domain; a zero member: no limit
 *
 * Return: 0, ZR_E_NOT_FOUND or ZR_E_NOMEM.
 */
int zr_sched_set_allotment(struct zr_sched *sched, const char *team,
			   const struct zr_resources *allotment);

/**
 * zr_sched_worker_add() - a worker is known; it may get work at once
 * @out: its handle
 * @sched: the core
 * @worker: what it is; copied
 *
 * Return: 0, ZR_E_NOMEM or ZR_E_FULL.
 */
int zr_sched_worker_add(zr_handle *out, struct zr_sched *sched,
			const struct zr_sched_worker *worker);

/** zr_sched_worker_set() - a worker's state has changed */
void zr_sched_worker_set(struct zr_sched *sched, zr_handle worker,
			 enum zr_sched_worker_state state);

/**
 * zr_sched_worker_remove() - a worker is gone and its last lease has lapsed
 * @sched: the core
 * @worker: its handle; tasks still on it end as ZR_SCHED_LOST
 */
void zr_sched_worker_remove(struct zr_sched *sched, zr_handle worker);

/**
 * zr_sched_job_check() - whether a job could ever run
 * @sched: the core
 * @spec: the job
 *
 * Return: 0, ZR_E_NOT_FOUND for an unknown queue, ZR_E_NEVER_FITS or
 * ZR_E_LIMIT; zr_error_last() holds the reason.
 */
int zr_sched_job_check(const struct zr_sched *sched,
		       const struct zr_job_spec *spec);

/**
 * zr_sched_job_add() - an accepted job arrives
 * @out: its handle
 * @sched: the core
 * @id: its id; copied
 * @spec: what it asks for; copied, but for its command and idempotency key
 *
 * Return: 0, ZR_E_NOMEM or ZR_E_FULL.
 */
int zr_sched_job_add(zr_handle *out, struct zr_sched *sched, const char *id,
		     const struct zr_job_spec *spec);

/**
 * zr_sched_job_cancel() - a job is no longer wanted
 * @sched: the core
 * @job: its handle; running tasks get a stop decision
 *
 * Return: 0, or ZR_E_STATE when it has ended already.
 */
int zr_sched_job_cancel(struct zr_sched *sched, zr_handle job);

/**
 * zr_sched_job_hold() - keep a job from being placed, or no longer
 * @sched: the core
 * @job: its handle
 * @held: whether it is held
 *
 * After a take-over, a job stays held while one of its tasks may still run on
 * a worker that has not been heard.
 */
void zr_sched_job_hold(struct zr_sched *sched, zr_handle job, bool held);

/** zr_sched_job_forget() - drop the record of a job that has ended */
void zr_sched_job_forget(struct zr_sched *sched, zr_handle job);

/**
 * zr_sched_task_adopt() - a task was found running at a take-over
 * @sched: the core
 * @job: the job's handle
 * @index: which task
 * @attempt: its attempt
 * @worker: where it runs; its room is reserved, even past the capacity
 *
 * Return: 0, ZR_E_NOT_FOUND, or ZR_E_EXISTS when the core has that task
 * running elsewhere.
 */
int zr_sched_task_adopt(struct zr_sched *sched, zr_handle job, uint32_t index,
			uint32_t attempt, zr_handle worker);

/**
 * zr_sched_task_ended() - a task runs no more
 * @sched: the core
 * @job: the job's handle
 * @index: which task
 * @attempt: its attempt; an end of another attempt is ignored
 * @outcome: how it ended
 */
void zr_sched_task_ended(struct zr_sched *sched, zr_handle job, uint32_t index,
			 uint32_t attempt, enum zr_sched_outcome outcome);

/**
 * zr_sched_task_replay() - take a task's end from the journal at a take-over
 * @sched: the core
 * @job: the job's handle
 * @index: which task
 * @attempt: its attempt
 * @outcome: how it ended; ZR_SCHED_LOST for a task of an at-most-once job
 *	that may have begun and of which nothing more is known
 */
void zr_sched_task_replay(struct zr_sched *sched, zr_handle job, uint32_t index,
			  uint32_t attempt, enum zr_sched_outcome outcome);

/**
 * zr_sched_task_usage() - a late report of what a task uses
 * @sched: the core
 * @job: the job's handle
 * @index: which task
 * @attempt: its attempt
 * @used: what it was seen to use
 * @at: when it was seen, on the core's monotonic clock; a report that is older
 *	than one taken before can only raise what is reserved
 *
 * The room reserved for the task is never under what was reported. It may grow
 * past the worker's capacity; the worker is then relieved by stop decisions.
 */
void zr_sched_task_usage(struct zr_sched *sched, zr_handle job, uint32_t index,
			 uint32_t attempt, const struct zr_resources *used,
			 struct timespec at);

/**
 * zr_sched_decide() - decide now
 * @sched: the core
 * @most_starts: end after so many start decisions
 *
 * A gang is started whole or not at all: one of more tasks than @most_starts
 * waits for a call that may start it. Does bounded work; zr_sched_more() tells
 * whether work is left. It also does what falls due with time, so call it about
 * each 200 ms.
 *
 * Return: the number of start decisions given to the sink.
 */
unsigned int zr_sched_decide(struct zr_sched *sched, unsigned int most_starts);

/** zr_sched_more() - whether the last decide ended on a bound, work being left
 */
bool zr_sched_more(const struct zr_sched *sched);

/**
 * enum zr_sched_wait - why a job has tasks that are not running
 */
enum zr_sched_wait {
	ZR_SCHED_WAIT_NONE,    /* none waits */
	ZR_SCHED_WAIT_QUEUED,  /* not tried since it came or room was freed */
	ZR_SCHED_WAIT_NO_ROOM, /* no worker has room now */
	ZR_SCHED_WAIT_LIMIT,   /* the team is at its upper limit */
	ZR_SCHED_WAIT_HELD,    /* held after a take-over */
	ZR_SCHED_WAIT_RETRY,   /* failed; tried again after a delay */
	ZR_SCHED_WAIT_GANG,    /* room for its members is being reserved */
	ZR_SCHED_WAIT_VICTIMS, /* tasks are being stopped for it */
	ZR_SCHED_WAIT_NEVER_FITS, /* parked: larger than any worker */
	ZR_SCHED_WAIT_OVER_LIMIT, /* parked: larger than its team's limit */
	ZR_SCHED_WAITS,
};

/** zr_sched_wait_name() - such as "no_room" */
const char *zr_sched_wait_name(enum zr_sched_wait wait);

/**
 * struct zr_sched_job_info - a job as it stands
 * @id: its id
 * @spec: what it asked for
 * @state: its state
 * @reason: why it is in that state
 * @wait: why tasks of it wait
 * @running: tasks that run
 * @ended: tasks that have ended well
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
 * zr_sched_job_info() - read a job
 * @out: the job; what it points to is valid until the next call
 * @sched: the core
 * @job: its handle
 *
 * Return: 0 or ZR_E_NOT_FOUND.
 */
int zr_sched_job_info(struct zr_sched_job_info *out,
		      const struct zr_sched *sched, zr_handle job);

/**
 * enum zr_sched_task_state - where a task stands
 */
enum zr_sched_task_state {
	ZR_SCHED_TASK_WAITING,
	ZR_SCHED_TASK_RUNNING,
	ZR_SCHED_TASK_STOPPING, /* told to stop; its room is still reserved */
	ZR_SCHED_TASK_ENDED,	/* ended well */
	ZR_SCHED_TASK_GIVEN_UP, /* may have begun and must not begin again */
};

/**
 * struct zr_sched_task_info - a task as it stands
 * @state: its state
 * @attempt: its last attempt, 0 before the first
 * @worker: where it runs, or ZR_HANDLE_NONE
 * @reserved: the room kept for it there: the larger of what is declared, or
 *	learned of its job's name, and what was reported of it
 */
struct zr_sched_task_info {
	enum zr_sched_task_state state;
	uint32_t attempt;
	zr_handle worker;
	struct zr_resources reserved;
};

/**
 * zr_sched_task_info() - read a task
 * @out: the task
 * @sched: the core
 * @job: the job's handle
 * @index: which task
 *
 * Return: 0 or ZR_E_NOT_FOUND.
 */
int zr_sched_task_info(struct zr_sched_task_info *out,
		       const struct zr_sched *sched, zr_handle job,
		       uint32_t index);

/**
 * struct zr_sched_worker_info - a worker as it stands
 * @name: its name
 * @rack: its rack
 * @state: its state
 * @capacity: what it holds
 * @reserved: what its tasks may use: the sum of what each has reserved
 * @tasks: tasks on it
 * @suspect: whether it is tried by one task at a time, as all failed on it
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
 * zr_sched_worker_next() - walk the workers
 * @out: the worker, valid until the next event
 * @sched: the core
 * @previous: the handle before, or ZR_HANDLE_NONE
 *
 * Return: the next worker's handle, ZR_HANDLE_NONE at the end.
 */
zr_handle zr_sched_worker_next(struct zr_sched_worker_info *out,
			       const struct zr_sched *sched,
			       zr_handle previous);

/** zr_sched_job_next() - walk the jobs, as zr_sched_worker_next() */
zr_handle zr_sched_job_next(struct zr_sched_job_info *out,
			    const struct zr_sched *sched, zr_handle previous);

/**
 * enum zr_sched_refusal - why a worker does not take a task now
 */
enum zr_sched_refusal {
	ZR_SCHED_REFUSED_MILLICPUS,
	ZR_SCHED_REFUSED_MEMORY,
	ZR_SCHED_REFUSED_ACCELERATORS,
	ZR_SCHED_REFUSED_LEAVING,
	ZR_SCHED_REFUSED_UNHEARD,
	ZR_SCHED_REFUSED_SUSPECT,
	ZR_SCHED_REFUSED_RESERVED,
	ZR_SCHED_REFUSALS,
};

/** zr_sched_refusal_name() - such as "memory" */
const char *zr_sched_refusal_name(enum zr_sched_refusal refusal);

/**
 * struct zr_sched_explanation - why a job waits
 * @by_reason: workers that pass it over, counted by reason
 * @fitting: workers that would take a task of it now
 * @jobs_before: jobs of more worth that wait too
 * @hint: what would let it start
 */
struct zr_sched_explanation {
	uint32_t by_reason[ZR_SCHED_REFUSALS];
	uint32_t fitting;
	uint32_t jobs_before;
	char hint[256];
};

/**
 * zr_sched_explain() - say why a job waits
 * @out: the explanation
 * @sched: the core
 * @job: its handle
 *
 * Return: 0 or ZR_E_NOT_FOUND.
 */
int zr_sched_explain(struct zr_sched_explanation *out,
		     const struct zr_sched *sched, zr_handle job);

/**
 * zr_sched_team_usage() - what a team has running in this domain
 * @out: the sum of what its tasks may use
 * @sched: the core
 * @team: its name
 *
 * Return: 0 or ZR_E_NOT_FOUND.
 */
int zr_sched_team_usage(struct zr_resources *out, const struct zr_sched *sched,
			const char *team);

/**
 * struct zr_sched_stats - counted work and memory since the core was made
 * @decisions: start decisions
 * @tries: times that a task was matched against workers
 * @workers_examined: workers looked at in all tries
 * @jobs_examined: jobs looked at in all tries
 * @preemptions: tasks stopped for urgent work or for a gang
 * @reliefs: tasks stopped or throttled as their worker neared its limit
 * @backfills: tasks started on room that is reserved for a gang
 * @waiting: jobs in queues now
 * @parked: jobs parked now
 * @running: tasks running now
 * @job_bytes: memory kept for jobs and queues
 * @task_bytes: memory kept for running tasks
 */
struct zr_sched_stats {
	uint64_t decisions;
	uint64_t tries;
	uint64_t workers_examined;
	uint64_t jobs_examined;
	uint64_t preemptions;
	uint64_t reliefs;
	uint64_t backfills;
	uint32_t waiting;
	uint32_t parked;
	uint32_t running;
	uint64_t job_bytes;
	uint64_t task_bytes;
};

/** zr_sched_stats() - read what has been counted */
void zr_sched_stats(struct zr_sched_stats *out, const struct zr_sched *sched);

#endif

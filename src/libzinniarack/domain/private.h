#ifndef ZR_DOMAIN_PRIVATE_H
#define ZR_DOMAIN_PRIVATE_H

#include <stdbool.h>
#include <uthash.h>

#include "domain/allotment.h"
#include "domain/domain.h"
#include "domain/journal.h"
#include "domain/owner.h"
#include "zinniarack/timer.h"

/**
 * DOC: Private declarations of the domain module
 *
 * domain.c reacts to changes of ownership. recovery.c replays the journal and
 * waits for the workers after a takeover. jobs.c holds the jobs and the callers
 * that wait for them. tasks.c applies decisions of the scheduler core (&struct
 * zr_sched, "the core" below). reports.c handles what workers report about
 * tasks.
 */

/** Time for which an ended job can be read. */
#define DOMAIN_RETAIN_MS 3600000
/** Time for which an ended job with an idempotency key is retained. */
#define DOMAIN_RETAIN_KEYED_MS 86400000
/**
 * Maximum number of ended jobs without an idempotency key that are retained;
 * the oldest are removed first.
 */
#define DOMAIN_RETAIN_JOBS 20000
/**
 * While fewer jobs than this have not sent a task yet, the acceptance record of
 * a new job also allows its first start, which saves a ZX_RECORD_BEGUN. After a
 * takeover, such a job is held until the workers have reported, even if no task
 * of it was started.
 */
#define DOMAIN_EARLY_START_JOBS 64

/**
 * struct domain_placement - the latest attempt of a task
 * @attempt: number of the attempt
 * @worker: worker that it was assigned to; ZR_HANDLE_NONE when it does not run
 * @intent_pending: whether the journal holds an intent to start the attempt and
 *	it is not known yet whether the worker has started it
 * @ended: whether the end of the attempt has been processed
 * @succeeded: whether it ended with success
 * @stop_requested: whether the core has requested to stop it
 * @stop_mode: how to stop it, if @stop_requested
 * @result: output of the task, or NULL
 */
struct domain_placement {
	uint32_t attempt;
	zr_handle worker;
	bool intent_pending;
	bool ended;
	bool succeeded;
	bool stop_requested;
	enum zr_worker_stop_mode stop_mode;
	char *result;
};

/** A caller that waits for the end of a job; @timer ends the wait. */
struct domain_waiter {
	struct domain_waiter *prev;
	struct domain_waiter *next;
	struct domain_job *job;
	struct zr_timer *timer;
	zr_domain_job_fn done;
	void *ctx;
};

/**
 * struct domain_job - a job
 * @number: epoch of its acceptance in the upper 32 bits, sequence number in the
 *	lower 32 bits; @id is made from it
 * @id: id for callers
 * @spec: specification from the submission
 * @handle: handle in the core; ZR_HANDLE_NONE before the job is accepted and
 *	after it has ended
 * @start_recorded: whether a record in the journal allows the first start of a
 *	task, so that the next owner assumes that tasks may run
 * @on_hold: whether its tasks are not placed after a takeover, as some may run
 *	on a worker that has not reported yet
 * @unsent: whether no task of it has been sent to a worker under this epoch
 * @final_state: final state, once the core has decided it
 * @final_persisted: whether @final_state is persisted
 * @ended_ms: wall clock time of its end, in milliseconds
 * @reason: reason of its final state; "accepted" before it has one
 * @result: last result that a task of it returned, or ""
 * @placements: latest attempt of each task, by index
 * @waiters: callers that wait for its end
 * @ended_prev: link in the list of ended jobs, oldest first
 * @ended_next: link in the list of ended jobs
 */
struct domain_job {
	UT_hash_handle hh;
	UT_hash_handle hh_key;
	struct zr_domain *domain;
	uint64_t number;
	char id[ZR_JOB_ID_MAX];
	struct zr_job_spec spec;
	zr_handle handle;
	bool start_recorded;
	bool on_hold;
	bool unsent;
	enum zr_job_state final_state;
	bool final_persisted;
	int64_t ended_ms;
	char *reason;
	const char *result;
	struct domain_placement *placements;
	struct domain_waiter *waiters;
	struct domain_job *ended_prev;
	struct domain_job *ended_next;
};

/**
 * struct domain_worker - a worker that is recorded in the journal
 * @name: its name
 * @persisted: whether the record is persisted
 */
struct domain_worker {
	UT_hash_handle hh;
	char name[ZR_NAME_MAX];
	bool persisted;
};

struct domain_decision;
struct domain_start;

/**
 * struct zr_domain - a failure domain
 * @name: name of the failure domain
 * @journal: journal of the current term; NULL if not the owner
 * @sched: scheduler core of the current term; NULL if not the owner
 * @jobs: known jobs by number
 * @jobs_by_key: known jobs with an idempotency key, by that key
 * @ended_jobs: ended jobs, oldest first
 * @ended_count: number of @ended_jobs
 * @ended_keyed: number of @ended_jobs that have an idempotency key
 * @unsent_count: number of jobs with @unsent set
 * @workers: workers that are recorded in the journal, by name
 * @epoch: epoch of the current term; 0 if not the owner
 * @loaded: whether the journal has been replayed
 * @handed_over: whether the previous owner released the domain
 * @next_sequence: sequence number of the last job accepted under @epoch
 * @recovering: whether workers of previous owners have still to report
 * @next_expiry_at: time of the next removal of expired jobs
 * @timer: periodic timer of the recovery, the removal of expired jobs and the
 *	scheduling passes
 * @decide_timer: runs the core again after a pass that reached its work limit
 * @decisions: decisions of the core that are not applied yet
 * @starts: starts of tasks that are in progress
 * @stop_done: @done of zr_domain_stop(), called with @stop_ctx; NULL unless a
 *	stop is in progress
 * @stop_deadline: time at which the ownership is released even if journal
 *	records are not committed yet
 * @accepted: counts accepted jobs
 * @refused: counts rejected submissions
 * @starts_sent: counts start decisions that were applied
 */
struct zr_domain {
	struct zr_domain_options options;
	char name[ZR_NAME_MAX];
	struct zr_owner *owner;
	struct zr_journal *journal;
	struct zr_fleet *fleet;
	struct zr_allotments *allotments;
	struct zr_sched *sched;
	const struct zr_config *config;
	struct domain_job *jobs;
	struct domain_job *jobs_by_key;
	struct domain_job *ended_jobs;
	unsigned int ended_count;
	unsigned int ended_keyed;
	unsigned int unsent_count;
	struct domain_worker *workers;
	uint64_t epoch;
	bool loaded;
	bool handed_over;
	uint32_t next_sequence;
	bool recovering;
	struct timespec next_expiry_at;
	struct zr_timer *timer;
	struct zr_timer *decide_timer;
	struct domain_decision *decisions;
	struct domain_start *starts;
	void (*stop_done)(void *ctx);
	void *stop_ctx;
	struct timespec stop_deadline;
	struct zr_metric *accepted;
	struct zr_metric *refused;
	struct zr_metric *starts_sent;
};

/* jobs.c */

/**
 * zr_domain_job_new() - add a job that is not in the core yet
 * @domain: the domain
 * @number: number of the job
 * @spec: its specification; copied
 *
 * Return: the job.
 */
struct domain_job *zr_domain_job_new(struct zr_domain *domain, uint64_t number,
				     const struct zr_job_spec *spec);

/** zr_domain_job_find() - find a job by its number; NULL if there is none */
struct domain_job *zr_domain_job_find(const struct zr_domain *domain,
				      uint64_t number);

/** zr_domain_job_find_by_id() - find a job by its id; NULL if there is none */
struct domain_job *zr_domain_job_find_by_id(const struct zr_domain *domain,
					    const char *id);

/** zr_domain_job_remove() - free a job; its waiters get ZR_E_NOT_OWNER */
void zr_domain_job_remove(struct domain_job *job);

/** zr_domain_jobs_clear() - remove all jobs */
void zr_domain_jobs_clear(struct zr_domain *domain);

/** zr_domain_job_admit() - add a job to the core; see zr_sched_job_add() */
int zr_domain_job_admit(struct domain_job *job);

/** zr_domain_job_mark_sent() - clear &struct domain_job.unsent */
void zr_domain_job_mark_sent(struct domain_job *job);

/**
 * zr_domain_job_set_result() - store the result of a task
 * @job: the job
 * @index: index of the task
 * @result: the result; copied up to ZX_RESULT_MAX bytes, ignored if empty
 */
void zr_domain_job_set_result(struct domain_job *job, uint32_t index,
			      const char *result);

/**
 * zr_domain_job_set_final() - persist the final state of a job
 * @job: the job
 * @state: final state that the core decided
 * @reason: its reason
 *
 * Callers see the state once it is persisted.
 */
void zr_domain_job_set_final(struct domain_job *job, enum zr_job_state state,
			     const char *reason);

/**
 * zr_domain_job_final_persisted() - make a persisted final state visible
 * @job: the job
 * @ended_ms: wall clock time of its end, in milliseconds
 *
 * Answers the waiters and removes the job from the core.
 */
void zr_domain_job_final_persisted(struct domain_job *job, int64_t ended_ms);

/** zr_domain_jobs_remove_expired() - remove ended jobs past their retention */
void zr_domain_jobs_remove_expired(struct zr_domain *domain);

/**
 * zr_domain_persist() - append a record that is retried until it is committed
 * @domain: the domain
 * @record: the record; copied
 * @done: called once: with error 0 when the record is committed, with another
 *	if the ownership ended first
 * @ctx: passed to @done
 */
void zr_domain_persist(struct zr_domain *domain, const zx_record *record,
		       zr_journal_done_fn done, void *ctx);

/** zr_domain_wall_ms() - wall clock time in milliseconds */
int64_t zr_domain_wall_ms(const struct zr_domain *domain);

/* recovery.c */

/** zr_domain_start_recovery() - replay the journal after gaining ownership */
void zr_domain_start_recovery(struct zr_domain *domain);

/** zr_domain_on_allotments_ready() - &struct zr_allotments_events.ready */
void zr_domain_on_allotments_ready(void *ctx);

/**
 * zr_domain_check_recovery() - release held jobs whose tasks are all known
 * @domain: the domain
 *
 * Releases all held jobs, and ends the recovery, once all workers of previous
 * owners have reported.
 */
void zr_domain_check_recovery(struct zr_domain *domain);

/** zr_domain_on_worker_up() - &struct zr_fleet_events.up */
zr_handle zr_domain_on_worker_up(void *ctx, const struct zr_host *host);

/** zr_domain_on_worker_gone() - &struct zr_fleet_events.gone */
void zr_domain_on_worker_gone(void *ctx, const char *name);

/** zr_domain_workers_clear() - free the list of recorded workers */
void zr_domain_workers_clear(struct zr_domain *domain);

/* tasks.c */

/** zr_domain_sink() - sink that queues the decisions of the core */
struct zr_sched_sink zr_domain_sink(struct zr_domain *domain);

/** zr_domain_apply_decisions() - apply all queued decisions */
void zr_domain_apply_decisions(struct zr_domain *domain);

/**
 * zr_domain_decide() - run the core and apply its decisions
 * @domain: the domain
 *
 * If the core reached its work limit, a timer runs it again after 1 ms.
 */
void zr_domain_decide(struct zr_domain *domain);

/** zr_domain_decisions_clear() - discard all queued decisions */
void zr_domain_decisions_clear(struct zr_domain *domain);

/** zr_domain_starts_clear() - discard all starts in progress */
void zr_domain_starts_clear(struct zr_domain *domain);

/**
 * zr_domain_task_ended() - update the core and the allotments for an ended task
 * @job: the job
 * @index: index of the task
 * @attempt: number of the attempt that ended
 * @outcome: how it ended
 */
void zr_domain_task_ended(struct domain_job *job, uint32_t index,
			  uint32_t attempt, enum zr_sched_outcome outcome);

/* reports.c */

/** zr_domain_on_report() - &struct zr_fleet_events.report */
void zr_domain_on_report(void *ctx, zr_handle worker,
			 const struct zr_worker_report *report);

/** zr_domain_persist_task_end() - zr_domain_persist() for the end of a task */
void zr_domain_persist_task_end(struct domain_job *job,
				const zx_task_ended *ended,
				zr_journal_done_fn done, void *ctx);

#endif

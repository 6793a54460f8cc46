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
 * DOC: What the files of the domain module share
 *
 * domain.c: ownership. recovery.c: what a take-over learns. jobs.c: job
 * records, waiters and what is kept of them. tasks.c: decisions of the core
 * carried out. reports.c: what workers tell of tasks.
 */

/** Time for which a job that has ended can be read. */
#define DOMAIN_RETAIN_MS 3600000
/** Time for which a job is kept that has an idempotency key. */
#define DOMAIN_RETAIN_KEYED_MS 86400000
/** Ended jobs that are kept; those that ended first go first. */
#define DOMAIN_RETAIN_JOBS 20000
/** While fewer jobs wait than this, a job may start without a further write. */
#define DOMAIN_BEGIN_AHEAD 64

/**
 * struct domain_placement - where a task was last placed
 * @attempt: the attempt
 * @worker: its worker, ZR_HANDLE_NONE when it does not run
 * @intent: found in the journal as about to start, not yet accounted for
 * @ended: whether the end of @attempt has been taken
 * @succeeded: whether that end was a success
 * @stopping: the core wants it stopped
 * @stop_mode: how
 * @result: what it gave, or NULL
 */
struct domain_placement {
	uint32_t attempt;
	zr_handle worker;
	bool intent;
	bool ended;
	bool succeeded;
	bool stopping;
	enum zr_worker_stop_mode stop_mode;
	char *result;
};

struct domain_waiter {
	struct domain_waiter *prev;
	struct domain_waiter *next;
	struct domain_job *job;
	struct zr_timer *timer;
	zr_domain_job_fn done;
	void *ctx;
};

/**
 * struct domain_job - the record of a job
 * @number: epoch of its acceptance and a sequence; makes its id
 * @id: its id
 * @spec: what was asked for
 * @handle: its handle in the core
 * @begun: the journal holds that a task of it may have been sent
 * @held: not placed, as a task of it may run on a worker not yet heard
 * @unsent: no task of it has been sent under this epoch
 * @final: its end as the core decided it
 * @final_kept: whether that end is in the store
 * @ended_ms: when it ended, by the time of day
 * @reason: why it is in that state
 * @result: what its last task gave
 * @placements: one per task
 * @waiters: callers that wait for its end
 * @ended_prev: the list of ended jobs, oldest first
 * @ended_next: see @ended_prev
 */
struct domain_job {
	UT_hash_handle hh;
	UT_hash_handle hh_key;
	struct zr_domain *domain;
	uint64_t number;
	char id[ZR_JOB_ID_MAX];
	struct zr_job_spec spec;
	zr_handle handle;
	bool begun;
	bool held;
	bool unsent;
	enum zr_job_state final;
	bool final_kept;
	int64_t ended_ms;
	char *reason;
	const char *result;
	struct domain_placement *placements;
	struct domain_waiter *waiters;
	struct domain_job *ended_prev;
	struct domain_job *ended_next;
};

/** A worker that has a record in the journal, or will have. */
struct domain_worker {
	UT_hash_handle hh;
	char name[ZR_NAME_MAX];
	bool kept;
};

struct domain_decision;
struct domain_start;

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
	struct domain_job *ended;
	unsigned int ended_count;
	unsigned int ended_keyed;
	unsigned int unsent_count;
	struct domain_worker *workers;
	uint64_t epoch;
	bool loaded;
	bool handed_over;
	uint32_t next_sequence;
	bool recovering;
	struct timespec expire_at;
	struct zr_timer *timer;
	struct zr_timer *decide_timer;
	struct domain_decision *decisions;
	struct domain_start *starts;
	void (*stopped)(void *ctx);
	void *stopped_ctx;
	struct timespec stop_deadline;
	struct zr_metric *accepted;
	struct zr_metric *refused;
	struct zr_metric *starts_sent;
};

/* jobs.c */
struct domain_job *zr_domain_job_new(struct zr_domain *domain, uint64_t number,
				     const struct zr_job_spec *spec);
struct domain_job *zr_domain_job_find(const struct zr_domain *domain,
				      uint64_t number);
struct domain_job *zr_domain_job_by_id(const struct zr_domain *domain,
				       const char *id);
void zr_domain_job_remove(struct domain_job *job);
void zr_domain_jobs_clear(struct zr_domain *domain);
int zr_domain_job_admit(struct domain_job *job);
void zr_domain_job_sent(struct domain_job *job);
void zr_domain_job_set_result(struct domain_job *job, uint32_t index,
			      const char *result);
void zr_domain_job_final(struct domain_job *job, enum zr_job_state state,
			 const char *reason);
void zr_domain_job_finished(struct domain_job *job, int64_t ended_ms);
void zr_domain_jobs_expire(struct zr_domain *domain);

/**
 * zr_domain_keep() - append a record until it is kept or ownership ends
 * @domain: the domain
 * @record: the record; copied
 * @done: called once: error 0 when it is kept, another when ownership ended
 *	first
 * @ctx: passed to @done
 */
void zr_domain_keep(struct zr_domain *domain, const zx_record *record,
		    zr_journal_done_fn done, void *ctx);

/** zr_domain_realtime_ms() - the time of day */
int64_t zr_domain_realtime_ms(const struct zr_domain *domain);

/* recovery.c */
void zr_domain_recover(struct zr_domain *domain);
void zr_domain_limits_ready(void *ctx);
void zr_domain_check_recovery(struct zr_domain *domain);
zr_handle zr_domain_worker_up(void *ctx, const struct zr_host *host);
void zr_domain_worker_gone(void *ctx, const char *name);
void zr_domain_workers_clear(struct zr_domain *domain);

/* tasks.c */
struct zr_sched_sink zr_domain_sink(struct zr_domain *domain);
void zr_domain_drain(struct zr_domain *domain);
/** zr_domain_decide() - let the core decide, and again soon if work is left */
void zr_domain_decide(struct zr_domain *domain);
void zr_domain_decisions_clear(struct zr_domain *domain);
void zr_domain_starts_clear(struct zr_domain *domain);
void zr_domain_task_end(struct domain_job *job, uint32_t index,
			uint32_t attempt, enum zr_sched_outcome outcome);

/* reports.c */
void zr_domain_report(void *ctx, zr_handle worker,
		      const struct zr_worker_report *report);
void zr_domain_keep_end(struct domain_job *job, const zx_task_ended *ended,
			zr_journal_done_fn done, void *ctx);

#endif

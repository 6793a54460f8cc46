#ifndef ZR_DOMAIN_PRIVATE_H
#define ZR_DOMAIN_PRIVATE_H

#include <stdbool.h>
#include <uthash.h>

#include "domain/domain.h"
#include "domain/journal.h"
#include "domain/owner.h"
#include "zinniarack/timer.h"

/**
 * DOC: What the files of the domain module share
 *
 * domain.c: ownership and recovery. jobs.c: job records, waiters and what is
 * kept of them. tasks.c: decisions of the core and ends of tasks.
 */

/**
 * struct domain_placement - where a task was last placed
 * @attempt: the attempt
 * @worker: its worker, ZR_HANDLE_NONE when it does not run
 * @intent: found in the journal as about to start, not yet accounted for
 */
struct domain_placement {
	uint32_t attempt;
	zr_handle worker;
	bool intent;
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
 * @final: its end as the core decided it
 * @final_kept: whether that end is in the store
 * @reason: why it is in that state
 * @result: what its last task gave
 * @placements: one per task
 * @waiters: callers that wait for its end
 */
struct domain_job {
	UT_hash_handle hh;
	UT_hash_handle hh_key;
	struct zr_domain *domain;
	uint64_t number;
	char id[ZR_JOB_ID_MAX];
	struct zr_job_spec spec;
	zr_handle handle;
	enum zr_job_state final;
	bool final_kept;
	const char *reason;
	char *result;
	struct domain_placement *placements;
	struct domain_waiter *waiters;
};

struct domain_decision;

struct zr_domain {
	struct zr_domain_options options;
	char name[ZR_NAME_MAX];
	struct zr_owner *owner;
	struct zr_journal *journal;
	struct zr_fleet *fleet;
	struct zr_sched *sched;
	const struct zr_config *config;
	struct domain_job *jobs;
	struct domain_job *jobs_by_key;
	uint64_t epoch;
	uint32_t next_sequence;
	bool loaded;
	bool recovering;
	struct timespec recovery_deadline;
	struct zr_timer *timer;
	struct domain_decision *decisions;
	struct zr_metric *accepted;
	struct zr_metric *refused;
	struct zr_metric *starts;
};

/* jobs.c */
struct domain_job *zr_domain_job_new(struct zr_domain *domain, uint64_t number,
				     const struct zr_job_spec *spec);
struct domain_job *zr_domain_job_find(const struct zr_domain *domain,
				      uint64_t number);
void zr_domain_job_remove(struct domain_job *job);
void zr_domain_jobs_clear(struct zr_domain *domain);
int zr_domain_job_admit(struct domain_job *job);
void zr_domain_job_final(struct domain_job *job, enum zr_job_state state,
			 const char *reason);
void zr_domain_job_finished(struct domain_job *job);

/**
 * zr_domain_keep() - append a record until it is kept or ownership ends
 * @domain: the domain
 * @record: the record; copied
 * @done: called once: error 0 when it is kept, ZR_E_NOT_OWNER when ownership
 *	ended first
 * @ctx: passed to @done
 */
void zr_domain_keep(struct zr_domain *domain, const zx_record *record,
		    zr_journal_done_fn done, void *ctx);

/* tasks.c */
struct zr_sched_sink zr_domain_sink(struct zr_domain *domain);
void zr_domain_drain(struct zr_domain *domain);
void zr_domain_decisions_clear(struct zr_domain *domain);
void zr_domain_report(void *ctx, zr_handle worker,
		      const struct zr_worker_report *report);

#endif

#ifndef ZR_CELL_POLICY_ADMISSION_H
#define ZR_CELL_POLICY_ADMISSION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "zinniarack/cell.h"

/**
 * DOC: Admission of jobs to a full cell
 *
 * Estimates when a job that is submitted now would end, from what waits in its
 * pool and ranks before it, and rejects it if that is too late for its caller.
 *
 * A job of a client account within its share is rejected only if it cannot end
 * within three times its objective, by an estimate that errs on the early side.
 * A job above the share ranks behind all work within the shares. It is rejected
 * if it is not likely to end within three times its objective. While other work
 * above the shares waits, it must be likely to end before its objective: of the
 * work that competes for what the shares leave, a late job has the least value
 * per core-second.
 *
 * The work that ranks before a job drains with that part of the capacity which
 * is left by new work that ranks before the job as well.
 *
 * Whatever is not known counts as zero, so that it never causes a rejection.
 * Docs: docs/design/admission.md.
 */

/** enum zr_admission_resource - resources whose load is known */
enum zr_admission_resource {
	ZR_ADMISSION_MILLICPUS,
	ZR_ADMISSION_MEMORY,
	ZR_ADMISSION_ACCELERATORS,
	ZR_ADMISSION_RESOURCES,
};

/**
 * enum zr_admission_tier - groups of waiting jobs, in the order in which they
 * are placed; priorities count within a group
 * @ZR_ADMISSION_ON_TIME: can still end before their objective
 * @ZR_ADMISSION_LATE: cannot
 * @ZR_ADMISSION_OVER_SHARE: above the share of their client account
 * @ZR_ADMISSION_TIERS: number of groups
 */
enum zr_admission_tier {
	ZR_ADMISSION_ON_TIME,
	ZR_ADMISSION_LATE,
	ZR_ADMISSION_OVER_SHARE,
	ZR_ADMISSION_TIERS,
};

/** enum zr_admission_share - whether an account is above its share */
enum zr_admission_share {
	ZR_ADMISSION_WITHIN,
	ZR_ADMISSION_ABOVE,
	ZR_ADMISSION_SHARES,
};

/**
 * struct zr_admission_class - load of one priority in a pool
 * @priority: the priority; 0 is the highest
 * @run_permille: median run time, in thousandths of the estimate; 0: not known
 * @tail_permille: 95th percentile of the run times, likewise
 * @waiting_ms: for each tier and resource, time that the pool's whole capacity
 *	needs for the tasks that wait
 * @arriving_permille: processor time that was lately accepted per time, in
 *	thousandths of the pool's capacity: that of accounts within their share,
 *	and of accounts above it
 */
struct zr_admission_class {
	uint32_t priority;
	uint32_t run_permille;
	uint32_t tail_permille;
	uint32_t waiting_ms[ZR_ADMISSION_TIERS][ZR_ADMISSION_RESOURCES];
	uint32_t arriving_permille[ZR_ADMISSION_SHARES];
};

/**
 * struct zr_admission_pool - load of a pool
 * @capacity: capacity of the workers in use
 * @used_permille: used part of it
 * @classes: what waits, by priority
 * @class_count: number of @classes
 * @age_ms: age of this information
 */
struct zr_admission_pool {
	uint64_t capacity[ZR_ADMISSION_RESOURCES];
	uint32_t used_permille[ZR_ADMISSION_RESOURCES];
	const struct zr_admission_class *classes;
	size_t class_count;
	int64_t age_ms;
};

/**
 * struct zr_admission_limit - load of one priority within an account's limit
 * @priority: the priority; 0 is the highest
 * @on_time_ms: time that the whole limit needs for the tasks that wait and can
 *	still end before their objective
 * @behind_ms: the same for those of later tiers
 */
struct zr_admission_limit {
	uint32_t priority;
	uint32_t on_time_ms;
	uint32_t behind_ms;
};

/**
 * struct zr_admission_job - a job that is submitted
 * @spec: the job
 * @priority: priority of its queue
 * @objective_ms: time objective of the job
 * @over_share: its client account is above its share
 * @advised: the placement adviser has to permit its workers
 * @limits: what waits because its client account has used up its upper limit
 * @limit_count: number of @limits; 0: the limit is not used up
 * @hash: hash of its id, which spreads the times of retries
 */
struct zr_admission_job {
	const struct zr_cell_job_spec *spec;
	uint32_t priority;
	int64_t objective_ms;
	bool over_share;
	bool advised;
	const struct zr_admission_limit *limits;
	size_t limit_count;
	uint64_t hash;
};

/**
 * enum zr_admission_reason - outcome of a decision
 * @ZR_ADMISSION_ACCEPTED: the job is accepted
 * @ZR_ADMISSION_REJECTED_OVERLOAD: it cannot end in time
 * @ZR_ADMISSION_REJECTED_OVER_SHARE: its client account is above its share, and
 *	it is not likely to end in time
 */
enum zr_admission_reason {
	ZR_ADMISSION_ACCEPTED,
	ZR_ADMISSION_REJECTED_OVERLOAD,
	ZR_ADMISSION_REJECTED_OVER_SHARE,
};

/**
 * struct zr_admission_verdict - a decision and its grounds
 * @reason: the outcome
 * @wait_ms: expected time until the job's first task starts
 * @finish_ms: expected time until the job ends
 * @limit_ms: time until which it has to end; 0: not computed
 * @retry_after_ms: of a rejected job, time after which a new attempt is
 *	expected to be accepted
 */
struct zr_admission_verdict {
	enum zr_admission_reason reason;
	int64_t wait_ms;
	int64_t finish_ms;
	int64_t limit_ms;
	uint32_t retry_after_ms;
};

/** Maximum age of a &struct zr_admission_pool with which a job is rejected. */
#define ZR_ADMISSION_AGE_MAX_MS 2000

/** zr_admission_is_full() - whether a pool lacks free capacity of a resource */
bool zr_admission_is_full(const struct zr_admission_pool *pool);

/**
 * zr_admission_decide() - decide whether a job is accepted
 * @out: the decision
 * @pool: load of the job's pool
 * @job: the job
 */
void zr_admission_decide(struct zr_admission_verdict *out,
			 const struct zr_admission_pool *pool,
			 const struct zr_admission_job *job);

/**
 * zr_admission_over_share() - whether a client account is above its share
 * @credit: its allowance in thousandths of a job; negative after a flood
 * @weight: its share in jobs per second; 0: any rate
 * @age_ms: age of @credit
 *
 * Return: whether the allowance, refilled since, is less than one job.
 */
bool zr_admission_over_share(int64_t credit, uint32_t weight, int64_t age_ms);

#endif

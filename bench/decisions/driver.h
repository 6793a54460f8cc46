#ifndef BENCH_DRIVER_H
#define BENCH_DRIVER_H

#include "decisions/arrivals.h"
#include "decisions/engine.h"

/**
 * DOC: Driver of the decisions bench
 *
 * Submits a list of jobs to an engine under a fake clock and carries out the
 * engine's decisions as workers would, after fixed delays. Points in time are
 * milliseconds of the fake clock since the start of the run.
 */

/**
 * struct samples - a growing list of numbers for computing percentiles
 * @list: the numbers
 * @count: number of them
 * @alloc: allocated length of @list
 */
struct samples {
	uint32_t *list;
	uint32_t count;
	uint32_t alloc;
};

/** samples_add() - add a value; aborts if there is no memory */
void samples_add(struct samples *samples, uint32_t value);
/**
 * samples_percentile() - compute a percentile
 * @samples: the samples; their list gets sorted
 * @percent: the percentile, 0 to 100
 *
 * Return: the nearest-rank percentile, 0 if there are no samples
 */
uint32_t samples_percentile(struct samples *samples, uint32_t percent);
void samples_clear(struct samples *samples);

/**
 * struct driver_result - results of one run
 * @wait_ms: time from arrival to first start, by kind, of jobs without fault;
 *	urgent jobs that have not started count with their wait so far
 * @unstarted: jobs without fault that had not started at the end, by kind
 * @deadlines_due: deadlines that passed during the run
 * @deadlines_missed: number of them whose job had not succeeded in time
 * @packing: mean share of the capacity that was reserved while the domain was
 *	full, of processors or memory, whichever is larger; 0 to 1, NAN if the
 *	domain was never full; without workers on which every task fails
 * @used: mean share of the capacity that tasks used, otherwise as @packing
 * @overloaded_share: mean share of workers whose tasks used more than the
 *	capacity, while the domain was full
 * @share_error_mean: mean relative deviation of the teams from their weighted
 *	share
 * @share_error_max: largest deviation of a team
 * @starts: start decisions
 * @preemptions: tasks stopped in favour of other work
 * @overcommit_actions: tasks stopped or throttled because the usage of their
 *	worker came near its capacity
 * @wasted: processor time of attempts whose work was lost over that of all
 *	ended attempts; lost work of faulty or cancelled jobs does not count
 * @too_large: jobs larger than any worker
 * @parked: number of these jobs that were parked at the end
 * @failing_jobs: started jobs whose tasks fail on every worker
 * @failing_job_starts: task starts of these jobs
 * @failing_worker_starts: task starts on workers on which every task fails
 * @examined_per_start: workers and jobs examined per start decision
 * @running: tasks running at the end
 * @task_bytes: memory per running task as counted by the engine, in bytes
 * @job_bytes: memory per waiting or parked job as counted by the engine, in
 *	bytes
 * @violations: broken invariants
 * @first_violation: description of the first broken invariant
 * @engine_ns: wall time spent in the engine
 * @decide_ns: wall times of the decide calls that started a task
 *
 * The domain counts as full while at least 32 jobs that a worker could hold
 * have not started. A job has an injected fault or none, see &enum
 * arrival_fault.
 */
struct driver_result {
	struct samples wait_ms[ARRIVAL_KIND_COUNT];
	uint32_t unstarted[ARRIVAL_KIND_COUNT];
	uint32_t deadlines_due;
	uint32_t deadlines_missed;
	double packing;
	double used;
	double overloaded_share;
	double share_error_mean;
	double share_error_max;
	uint64_t starts;
	uint64_t preemptions;
	uint64_t overcommit_actions;
	double wasted;
	uint32_t too_large;
	uint32_t parked;
	uint32_t failing_jobs;
	uint32_t failing_job_starts;
	uint32_t failing_worker_starts;
	double examined_per_start;
	uint32_t running;
	double task_bytes;
	double job_bytes;
	unsigned int violations;
	char first_violation[512];
	uint64_t engine_ns;
	struct samples decide_ns;
};

/**
 * driver_run() - run one engine through one scenario
 * @out: the result, to be cleared with driver_result_clear()
 * @engine: the engine
 * @scenario: the scenario
 * @arrivals: the jobs of the scenario
 * @checked: whether to check the invariants; the checker sits between driver
 *	and engine and its time counts as the engine's, so wall times are only
 *	valid without it
 */
void driver_run(struct driver_result *out, const struct engine *engine,
		const struct scenario *scenario,
		const struct arrivals *arrivals, bool checked);
void driver_result_clear(struct driver_result *result);

#endif

#ifndef BENCH_SCENARIO_H
#define BENCH_SCENARIO_H

#include <stdbool.h>
#include <stdint.h>

#include "zinniarack/config.h"

/**
 * DOC: Scenarios of the decisions bench
 *
 * A scenario gives the size of a simulated failure domain and the load on it.
 * The mix of work is the same in every scenario, so that failure domains of
 * different sizes can be compared.
 */

/** Number of workers in a rack. */
#define SCENARIO_WORKERS_PER_RACK 8

/**
 * struct scenario - one failure domain under load
 * @name: title of the scenario in the output
 * @policy: scheduling policy
 * @workers: number of workers
 * @capacity: capacity of each worker; accelerators are given by @accelerators
 * @accelerators: number of accelerators in the whole failure domain
 * @teams: number of teams, each with one queue
 * @running_tasks: tasks that the load keeps running when the domain is full;
 *	a fifth of them belong to services
 * @backlog_jobs: jobs that are waiting when the run begins
 * @starts_per_second: task starts per second that the arriving jobs need
 * @duration_ms: length of the run in virtual time
 * @priority_levels: number of different priorities (worths) of batch and gang
 *	jobs
 * @inject_faults: whether declared sizes and run times are wrong, some workers
 *	and jobs always fail, some jobs are larger than any worker, and a part
 *	of the backlog is cancelled during the run
 */
struct scenario {
	const char *name;
	enum zr_policy policy;
	uint32_t workers;
	struct zr_resources capacity;
	uint32_t accelerators;
	uint32_t teams;
	uint32_t running_tasks;
	uint32_t backlog_jobs;
	uint32_t starts_per_second;
	uint32_t duration_ms;
	uint32_t priority_levels;
	bool inject_faults;
};

/** Maximum factor by which declared sizes and run times are wrong. */
#define SCENARIO_DECLARED_ERROR_MAX 5.0
/** Percentage of jobs that can never succeed: too large or always failing. */
#define SCENARIO_FAULTY_JOBS_PERCENT 5
/** Percentage of workers on which every task fails. */
#define SCENARIO_FAILING_WORKERS_PERCENT 3
/** One in this many backlog jobs is cancelled by the mass cancellation. */
#define SCENARIO_CANCELLED_DIVISOR 20

/**
 * scenario_config() - create the configuration of a scenario
 * @scenario: the scenario
 *
 * Teams have shares of 1 to 4 and one queue each.
 *
 * Return: the configuration, to be freed with scenario_config_free()
 */
struct zr_config *scenario_config(const struct scenario *scenario);
void scenario_config_free(struct zr_config *config);

/** scenario_failing_workers() - number of workers on which every task fails */
uint32_t scenario_failing_workers(const struct scenario *scenario);

#endif

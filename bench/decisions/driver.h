#ifndef BENCH_DRIVER_H
#define BENCH_DRIVER_H

#include "decisions/arrivals.h"
#include "decisions/engine.h"

/**
 * DOC: Driver of the decisions bench
 *
 * Feeds a list of arrivals to an engine under a fake clock and answers its
 * decisions as workers would, after fixed delays.
 */

/** A growing list of numbers, of which percentiles are read. */
struct samples {
	uint32_t *list;
	uint32_t count;
	uint32_t room;
};

void samples_add(struct samples *samples, uint32_t value);
/** samples_percentile() - 0 without samples; sorts the list */
uint32_t samples_percentile(struct samples *samples, uint32_t percent);
void samples_clear(struct samples *samples);

/**
 * struct driver_result - what a run gave
 * @wait_ms: waits until the first start by kind; urgent jobs that have not
 *	started count with their wait so far
 * @unstarted: sound jobs by kind that had not started at the end
 * @deadlines: deadlines that fell due
 * @missed: those not met
 * @packing: room given out over room usable while full, the larger of
 *	processors and memory, 0 to 1; NAN for a cell that was never full
 * @used: the same of what tasks really used
 * @overloaded: share of worker samples in which tasks really used more than
 *	the worker holds
 * @share_mean: mean distance of the teams from their weighted share, 0 to 1
 * @share_worst: that of the farthest team
 * @starts: start decisions
 * @preemptions: tasks stopped for other work
 * @reliefs: tasks stopped or throttled as their worker was near its limit
 * @thrown: processor time of attempts thrown away over all that was spent
 * @too_large: jobs larger than any worker
 * @parked: those of them that were parked
 * @hopeless: jobs that fail everywhere and were tried
 * @hopeless_starts: tasks of them started
 * @bad_starts: tasks started on workers that fail everything
 * @examined: workers and jobs looked at per start decision
 * @running: tasks running at the end
 * @task_bytes: bytes per running task, by the engine's count
 * @job_bytes: bytes per job in its queues, by the engine's count
 * @breaks: broken invariants
 * @first_break: the first of them
 * @engine_ns: wall time spent in the engine
 * @decide_ns: wall times of the decide calls that started something
 */
struct driver_result {
	struct samples wait_ms[ARRIVAL_KINDS];
	uint32_t unstarted[ARRIVAL_KINDS];
	uint32_t deadlines;
	uint32_t missed;
	double packing;
	double used;
	double overloaded;
	double share_mean;
	double share_worst;
	uint64_t starts;
	uint64_t preemptions;
	uint64_t reliefs;
	double thrown;
	uint32_t too_large;
	uint32_t parked;
	uint32_t hopeless;
	uint32_t hopeless_starts;
	uint32_t bad_starts;
	double examined;
	uint32_t running;
	double task_bytes;
	double job_bytes;
	unsigned int breaks;
	char first_break[512];
	uint64_t engine_ns;
	struct samples decide_ns;
};

/**
 * driver_run() - one engine through one scenario
 * @out: the result, to be cleared with driver_result_clear()
 * @engine: the engine
 * @scenario: the cell
 * @arrivals: its arrivals
 * @checked: whether the invariant checker stands in between; its time counts
 *	as the engine's, so wall figures are read from a run without it
 */
void driver_run(struct driver_result *out, const struct engine *engine,
		const struct scenario *scenario,
		const struct arrivals *arrivals, bool checked);
void driver_result_clear(struct driver_result *result);

#endif

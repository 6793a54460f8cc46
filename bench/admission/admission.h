#ifndef BENCH_ADMISSION_H
#define BENCH_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Parts of the admission bench
 *
 * flood.c runs callers against a pool of slots and the real decision; cost.c
 * measures the decision and the summary of the load.
 */

/** Classes of jobs, by priority: urgent short jobs, gangs, batches. */
#define CLASS_COUNT 3

/**
 * struct flood_options - a day of callers and a pool
 * @admission: jobs are rejected
 * @load_percent: usual load in percent of the pool
 * @flood_factor: rate of two of ten client accounts in the flood, as a multiple
 *	of their usual one; 1: no flood
 * @urgent_factor: the same for the urgent jobs of all accounts
 * @tail_percent: tasks that take seven times as long
 * @seconds: length of the day; the flood is its middle half
 * @seed: seed of the arrivals and run times
 */
struct flood_options {
	bool admission;
	unsigned int load_percent;
	double flood_factor;
	double urgent_factor;
	unsigned int tail_percent;
	unsigned int seconds;
	uint64_t seed;
};

/**
 * struct flood_class - what became of the jobs of a class
 * @submitted: jobs, each counted once
 * @accepted: of those, accepted at their first or a later attempt
 * @on_time: of those, ended before their objective, counted from the first send
 * @late: ended after that, before three times the objective
 * @worthless: ended after that, or not at all
 */
struct flood_class {
	unsigned int submitted;
	unsigned int accepted;
	unsigned int on_time;
	unsigned int late;
	unsigned int worthless;
};

/**
 * struct flood_result - outcome of a day
 * @calm: classes of the accounts within their share
 * @hot: classes of the two accounts that flood
 * @value_percent: value of what ended, in percent of the value of all jobs
 * @rejected: rejections
 * @returned: attempts at the time that Retry-After had named
 * @held: of those, accepted
 */
struct flood_result {
	struct flood_class calm[CLASS_COUNT];
	struct flood_class hot[CLASS_COUNT];
	double value_percent;
	unsigned int rejected;
	unsigned int returned;
	unsigned int held;
};

struct flood_result run_flood(const struct flood_options *options);

/**
 * struct cost - cost of admission control in a full cell
 * @workers: number of workers
 * @waiting: number of waiting tasks
 * @summary_bytes: size of the record with the summary
 * @counts_bytes: size of the record without it
 * @summary_us: processor time for each record, in microseconds
 * @counts_us: the same without the summary
 * @decisions_per_s: decisions per second of processor time
 */
struct cost {
	unsigned int workers;
	unsigned int waiting;
	unsigned long summary_bytes;
	unsigned long counts_bytes;
	double summary_us;
	double counts_us;
	double decisions_per_s;
};

/** run_cost() - measure with this many workers, each record @repeats times */
struct cost run_cost(unsigned int workers, unsigned int repeats);

#endif

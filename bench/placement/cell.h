#ifndef BENCH_PLACEMENT_CELL_H
#define BENCH_PLACEMENT_CELL_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: A cell under load, for the placement benchmark
 *
 * One scheduler on a fake store, fake workers of speeds 0.6, 1.0 and 1.6 and a
 * fake adviser that permits a quarter of the workers. Callers submit urgent
 * jobs (3 tasks of 0.75 s), gangs (20 tasks of 5 s) and batches (25 tasks of
 * 2.5 s, half of them with one that takes seven times as long); the submitters'
 * estimates are off by class. The processor time of the planning passes is
 * measured; all other times are virtual.
 */

enum cell_class {
	CELL_URGENT,
	CELL_GANG,
	CELL_BATCH,
	CELL_CLASSES,
};

/**
 * struct cell_load - what to run
 * @workers: number of workers, with two slots each
 * @starts_per_s: rate at which tasks are submitted
 * @seconds: duration, without that of the warm-up
 * @worker_speed: place by expected finish
 */
struct cell_load {
	uint32_t workers;
	uint32_t starts_per_s;
	uint32_t seconds;
	bool worker_speed;
};

/**
 * struct cell_result - what was measured after the warm-up
 * @plan_ns: processor time of all planning passes
 * @passes: number of passes
 * @starts: starts sent
 * @named: workers named in queries to the adviser
 * @jobs: jobs submitted, by class
 * @on_time: those that ended before their objective
 * @violations: violations that the fake workers report
 */
struct cell_result {
	uint64_t plan_ns;
	uint64_t passes;
	uint64_t starts;
	uint64_t named;
	uint32_t jobs[CELL_CLASSES];
	uint32_t on_time[CELL_CLASSES];
	uint32_t violations;
};

/**
 * cell_run_pair() - run two cells side by side
 * @out: results
 * @loads: what to run, for the same time
 *
 * The cells take turns every virtual millisecond, so that whatever else uses
 * the machine slows both in the same way. The same for each run of a load.
 */
void cell_run_pair(struct cell_result out[2], const struct cell_load loads[2]);

#endif

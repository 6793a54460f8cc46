#ifndef BENCH_SCENARIO_H
#define BENCH_SCENARIO_H

#include <stdbool.h>
#include <stdint.h>

#include "zinniarack/config.h"

/**
 * DOC: Cells of the decisions bench
 *
 * A scenario gives the size of a cell and the load on it; the mix of work is
 * the same in each, so that cells of unlike size can be compared.
 */

/** Workers of one rack. */
#define SCENARIO_RACK 8

/**
 * struct scenario - one cell under load
 * @name: its name in the table
 * @policy: the order of worth
 * @workers: workers
 * @capacity: what each holds
 * @accelerators: accelerators in the whole cell
 * @teams: teams
 * @tasks: tasks to be running when full, a fifth of them services
 * @backlog: jobs that wait from the beginning
 * @starts_per_second: task starts that arrivals ask for
 * @duration_ms: length of the run
 * @worths: levels of worth that teams use
 * @faults: wrong sizes, failing workers, jobs that can never run, and a wave
 *	of cancellations
 */
struct scenario {
	const char *name;
	enum zr_policy policy;
	uint32_t workers;
	struct zr_resources capacity;
	uint32_t accelerators;
	uint32_t teams;
	uint32_t tasks;
	uint32_t backlog;
	uint32_t starts_per_second;
	uint32_t duration_ms;
	uint32_t worths;
	bool faults;
};

/** Declared sizes are wrong by a factor of up to this, either way. */
#define SCENARIO_WRONG_FACTOR 5.0
/** Jobs of a hundred that can never run. */
#define SCENARIO_NEVER_PERCENT 5
/** Workers of a hundred that fail everything. */
#define SCENARIO_FAILING_PERCENT 3
/** One of so many backlogged jobs is cancelled in the wave. */
#define SCENARIO_WAVE_DIVISOR 20

/** scenario_config() - teams, one queue each, shares of 1 to 4 */
struct zr_config *scenario_config(const struct scenario *scenario);
void scenario_config_free(struct zr_config *config);

/** scenario_failing_workers() - how many workers fail everything */
uint32_t scenario_failing_workers(const struct scenario *scenario);

#endif

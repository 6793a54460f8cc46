#ifndef BENCH_REPORT_H
#define BENCH_REPORT_H

#include "decisions/driver.h"

/**
 * DOC: Output of the decisions bench
 */

/**
 * report_print() - print the results of the core and the baseline side by side
 * @scenario: the scenario
 * @core: result of the core
 * @baseline: result of the baseline
 */
void report_print(const struct scenario *scenario, struct driver_result *core,
		  struct driver_result *baseline);

#endif

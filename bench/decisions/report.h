#ifndef BENCH_REPORT_H
#define BENCH_REPORT_H

#include "decisions/driver.h"

/**
 * DOC: The printed table of the decisions bench
 */

/** report_print() - the core's result next to the baseline's */
void report_print(const struct scenario *scenario, struct driver_result *core,
		  struct driver_result *baseline);

#endif

#ifndef ZR_CELL_POLICY_RUN_TIMES_H
#define ZR_CELL_POLICY_RUN_TIMES_H

#include <stddef.h>
#include <stdint.h>

/**
 * DOC: Learned run times
 *
 * Keeps the ratios of the last run times of a class of tasks to their
 * estimates. Quantiles of these are not moved by a few tasks that take much
 * longer, and follow a change within as many runs as are kept.
 */

/** Number of runs that are kept. */
#define ZR_RUN_TIMES_KEPT 128

/**
 * struct zr_run_times - run times of a class of tasks; zeroed at first
 * @permille: ratios of the last runs to their estimates, in thousandths
 * @count: number of ratios
 * @next: index of the oldest one, once all are in use
 */
struct zr_run_times {
	uint32_t permille[ZR_RUN_TIMES_KEPT];
	size_t count;
	size_t next;
};

/**
 * zr_run_times_add() - record a run
 * @times: the run times of its class
 * @estimate_ms: the submitter's estimate; 0: the run is ignored
 * @run_ms: its run time
 */
void zr_run_times_add(struct zr_run_times *times, uint32_t estimate_ms,
		      int64_t run_ms);

/**
 * zr_run_times_quantile() - quantile of the ratios
 * @times: the run times
 * @percent: part of the runs that took at most the result
 *
 * Return: run time in thousandths of the estimate, at least 1; 0 if too few
 * runs are known.
 */
uint32_t zr_run_times_quantile(const struct zr_run_times *times,
			       unsigned int percent);

#endif

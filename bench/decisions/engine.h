#ifndef BENCH_ENGINE_H
#define BENCH_ENGINE_H

#include "zinniarack/sched.h"

/**
 * DOC: Engines of the decisions bench
 *
 * An engine makes the scheduling decisions. The driver runs either the
 * scheduler core or a baseline to compare it with.
 */

/**
 * struct engine - the functions of a scheduler core that the bench calls
 * @name: name in the output
 *
 * @create does what zr_sched_new() and zr_sched_configure() do, @task_usage
 * what zr_sched_task_report_usage() does; each other function does what the
 * zr_sched function of its name does, see zinniarack/sched.h.
 */
struct engine {
	const char *name;
	int (*create)(void **out, const struct zr_sched_options *options,
		      const struct zr_config *config);
	void (*free)(void *engine);
	int (*worker_add)(zr_handle *out, void *engine,
			  const struct zr_sched_worker *worker);
	int (*job_add)(zr_handle *out, void *engine, const char *id,
		       const struct zr_job_spec *spec);
	int (*job_cancel)(void *engine, zr_handle job);
	void (*task_ended)(void *engine, zr_handle job, uint32_t index,
			   uint32_t attempt, enum zr_sched_outcome outcome);
	void (*task_usage)(void *engine, zr_handle job, uint32_t index,
			   uint32_t attempt, const struct zr_resources *used,
			   struct timespec at);
	unsigned int (*decide)(void *engine, unsigned int max_starts);
	bool (*has_more)(const void *engine);
	zr_handle (*worker_next)(struct zr_sched_worker_info *out,
				 const void *engine, zr_handle previous);
	int (*team_usage)(struct zr_resources *out, const void *engine,
			  const char *team);
	void (*stats)(struct zr_sched_stats *out, const void *engine);
};

/** engine_core - the scheduler core */
extern const struct engine engine_core;

/**
 * engine_first_fit - the baseline: jobs in the order of their arrival, each
 * task on the first worker whose unreserved capacity holds its declared size
 */
extern const struct engine engine_first_fit;

#endif

#ifndef BENCH_ENGINE_H
#define BENCH_ENGINE_H

#include "zinniarack/sched.h"

/**
 * DOC: What the driver runs: the core or the baseline
 */

/**
 * struct engine - the part of the core's interface that the bench uses
 * @name: its name in the table
 *
 * The functions are those of the core, see zinniarack/sched.h.
 */
struct engine {
	const char *name;
	int (*make)(void **out, const struct zr_sched_options *options,
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
	unsigned int (*decide)(void *engine, unsigned int most);
	bool (*more)(const void *engine);
	zr_handle (*worker_next)(struct zr_sched_worker_info *out,
				 const void *engine, zr_handle previous);
	int (*team_usage)(struct zr_resources *out, const void *engine,
			  const char *team);
	void (*stats)(struct zr_sched_stats *out, const void *engine);
};

/** engine_core - the scheduler core */
extern const struct engine engine_core;

/** engine_first_fit - first come, first fit, by declared sizes */
extern const struct engine engine_first_fit;

#endif

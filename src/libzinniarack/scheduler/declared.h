#ifndef ZR_SCHEDULER_DECLARED_H
#define ZR_SCHEDULER_DECLARED_H

#include <stdbool.h>

#include "domain/domain.h"
#include "zinniarack/clock.h"
#include "zinniarack/config.h"
#include "zinniarack/timer.h"

/**
 * DOC: Declared jobs
 *
 * Keeps the jobs of the configuration in being: each exists once in each
 * failure domain that it names. The jobs of the domain are the only record of
 * what has been done, so that a new owner goes on where the last one stopped.
 * Each job made from a declaration carries the idempotency key
 * `declared/<name>/<domain>/<instance>`.
 */

struct zr_declared;

/**
 * struct zr_declared_target - the domain in which the jobs are kept
 * @ready: whether all jobs are known and may be changed
 * @each: call @each for every job
 * @submit: see zr_domain_submit()
 * @cancel: see zr_domain_cancel()
 */
struct zr_declared_target {
	bool (*ready)(void *impl);
	void (*each)(void *impl, zr_domain_job_fn each, void *ctx);
	void (*submit)(void *impl, const struct zr_job_spec *spec,
		       zr_domain_submit_fn done, void *ctx);
	void (*cancel)(void *impl, const char *id, zr_domain_job_fn done,
		       void *ctx);
};

/**
 * struct zr_declared_options - how to keep declared jobs
 * @version: ZR_DECLARED_OPTIONS_VERSION
 * @timers: where timers come from
 * @clock: the clock
 * @target: where the jobs are kept
 * @impl: passed to @target
 * @domain: the failure domain's name
 */
struct zr_declared_options {
	unsigned int version;
	const struct zr_timers *timers;
	const struct zr_clock *clock;
	const struct zr_declared_target *target;
	void *impl;
	const char *domain;
};

#define ZR_DECLARED_OPTIONS_VERSION 1

int zr_declared_new(struct zr_declared **out,
		    const struct zr_declared_options *options);

/** zr_declared_new_for() - keep declared jobs in a domain of this process */
int zr_declared_new_for(struct zr_declared **out,
			const struct zr_timers *timers,
			const struct zr_clock *clock, struct zr_domain *domain,
			const char *name);

/** zr_declared_configure() - follow a configuration; kept by reference */
void zr_declared_configure(struct zr_declared *declared,
			   const struct zr_config *config);

/** zr_declared_free() - end; calls in progress must have been answered */
void zr_declared_free(struct zr_declared *declared);

#endif

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
 * Reconciles the jobs that the configuration declares with those that exist.
 * Each declaration has one job in each failure domain that it names. The
 * domain's jobs are the only record of this state, so a new owner continues
 * where the previous one stopped. A job made from a declaration has the
 * idempotency key `declared/<name>/<domain>/<instance>`; a new instance is
 * submitted when the declaration changes, a service ends or the job is
 * cancelled.
 */

struct zr_declared;

/**
 * struct zr_declared_target - access to the jobs of a failure domain
 * @ready: returns whether all jobs are loaded and may be changed
 * @each: calls the given function for every job
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
 * struct zr_declared_options - options of zr_declared_new()
 * @version: ZR_DECLARED_OPTIONS_VERSION
 * @timers: source of timers
 * @clock: clock for retries
 * @target: access to the domain's jobs
 * @impl: passed to the functions of @target
 * @domain: name of the failure domain
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

/**
 * zr_declared_new() - start to reconcile declared jobs
 * @out: to be freed with zr_declared_free()
 * @options: options; copied
 *
 * Return: 0 or ZR_E_NOMEM.
 */
int zr_declared_new(struct zr_declared **out,
		    const struct zr_declared_options *options);

/** zr_declared_new_for() - reconcile in a failure domain of this process */
int zr_declared_new_for(struct zr_declared **out,
			const struct zr_timers *timers,
			const struct zr_clock *clock, struct zr_domain *domain,
			const char *name);

/** zr_declared_configure() - set the configuration; kept by reference */
void zr_declared_configure(struct zr_declared *declared,
			   const struct zr_config *config);

/**
 * zr_declared_free() - stop reconciling and free
 * @declared: may be NULL; none of its calls may still be in progress
 */
void zr_declared_free(struct zr_declared *declared);

#endif

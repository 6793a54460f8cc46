#ifndef ZR_DOMAIN_DOMAIN_H
#define ZR_DOMAIN_DOMAIN_H

#include "domain/fleet.h"
#include "zinniarack/clock.h"
#include "zinniarack/config.h"
#include "zinniarack/metrics.h"
#include "zinniarack/sched.h"
#include "zinniarack/store.h"
#include "zinniarack/timer.h"

/**
 * DOC: Failure domain
 *
 * Ties ownership, journal, workers and scheduler core together: the active
 * scheduler of a failure domain, or a warm one that waits to take over.
 */

struct zr_domain;

/**
 * struct zr_domain_options - how to make a domain
 * @version: ZR_DOMAIN_OPTIONS_VERSION
 * @timers: where timers come from
 * @clock: the clock
 * @store: the store, kept by reference
 * @domain: the failure domain's name
 * @name: this host's name
 * @worker_new: makes the adapter of a worker
 * @worker_ctx: passed to @worker_new
 * @metrics: where it counts
 * @journal_shards: groups of jobs in the journal; 0 for the usual number
 */
struct zr_domain_options {
	unsigned int version;
	const struct zr_timers *timers;
	const struct zr_clock *clock;
	const struct zr_store *store;
	const char *domain;
	const char *name;
	zr_worker_new_fn worker_new;
	void *worker_ctx;
	struct zr_metrics *metrics;
	unsigned int journal_shards;
};

#define ZR_DOMAIN_OPTIONS_VERSION 1

/**
 * struct zr_domain_result - what a task gave
 * @index: which task of the job
 * @succeeded: whether its command ended well
 * @result: what it gave, at most ZX_RESULT_MAX bytes
 */
struct zr_domain_result {
	uint32_t index;
	bool succeeded;
	const char *result;
};

/**
 * struct zr_domain_job - a job as callers see it
 * @id: its id
 * @spec: what was asked for
 * @state: its state; final only once that is kept in the store
 * @reason: why it is in that state
 * @result: what its last task gave, or empty
 * @running: tasks that run
 * @ended: tasks that have ended well
 * @results: what each task gave that has ended, by index; NULL in lists
 * @result_count: how many
 */
struct zr_domain_job {
	const char *id;
	const struct zr_job_spec *spec;
	enum zr_job_state state;
	const char *reason;
	const char *result;
	uint32_t running;
	uint32_t ended;
	const struct zr_domain_result *results;
	uint32_t result_count;
};

/**
 * typedef zr_domain_submit_fn - the fate of a submission
 * @ctx: as given with it
 * @error: 0: accepted, kept in the store; ZR_E_OUTCOME_UNKNOWN: it may have
 *	been accepted; any other error: not accepted, will not run
 * @id: the job's id when accepted
 */
typedef void (*zr_domain_submit_fn)(void *ctx, int error, const char *id);

/** Called once; @job is NULL on an error and valid during the call. */
typedef void (*zr_domain_job_fn)(void *ctx, int error,
				 const struct zr_domain_job *job);

int zr_domain_new(struct zr_domain **out,
		  const struct zr_domain_options *options);

/** zr_domain_epoch() - the epoch while this process is active, else 0 */
uint64_t zr_domain_epoch(const struct zr_domain *domain);

/** zr_domain_loaded() - whether every job that is kept is known here */
bool zr_domain_loaded(const struct zr_domain *domain);

/** zr_domain_configure() - take a configuration into force; kept by reference
 */
void zr_domain_configure(struct zr_domain *domain,
			 const struct zr_config *config);

/** zr_domain_set_hosts() - take a new reading of the host list */
void zr_domain_set_hosts(struct zr_domain *domain, const struct zr_host *hosts,
			 size_t count);

/** zr_domain_submit() - accept a job; @done is called exactly once */
void zr_domain_submit(struct zr_domain *domain, const struct zr_job_spec *spec,
		      zr_domain_submit_fn done, void *ctx);

/**
 * zr_domain_read() - read a job, or wait for its end
 * @domain: the domain
 * @id: the job
 * @team: only if it is this team's; empty for any
 * @wait_ms: answer when it has ended, or after so long
 * @done: called exactly once
 * @ctx: passed to @done
 */
void zr_domain_read(struct zr_domain *domain, const char *id, const char *team,
		    unsigned int wait_ms, zr_domain_job_fn done, void *ctx);

/** zr_domain_cancel() - cancel a job; answers as zr_domain_read() */
void zr_domain_cancel(struct zr_domain *domain, const char *id,
		      const char *team, zr_domain_job_fn done, void *ctx);

/** zr_domain_for_each_job() - call @each for every job of a team, or all when
 * empty */
void zr_domain_for_each_job(struct zr_domain *domain, const char *team,
			    zr_domain_job_fn each, void *ctx);

/** zr_domain_job_handle() - a job's handle in the core, or ZR_HANDLE_NONE */
zr_handle zr_domain_job_handle(const struct zr_domain *domain, const char *id);

/** zr_domain_sched() - the core, NULL while this process is not active */
const struct zr_sched *zr_domain_sched(const struct zr_domain *domain);

/**
 * struct zr_domain_replica - a running task of a service
 * @service: the service's name
 * @host: the worker it runs on
 */
struct zr_domain_replica {
	const char *service;
	const struct zr_host *host;
};

/** zr_domain_for_each_replica() - call @each for every replica running on a
 * worker */
void zr_domain_for_each_replica(
	struct zr_domain *domain,
	void (*each)(void *ctx, const struct zr_domain_replica *replica),
	void *ctx);

/**
 * zr_domain_stop() - hand the domain over
 * @domain: the domain
 * @done: called once the ownership has been given back
 * @ctx: passed to @done
 */
void zr_domain_stop(struct zr_domain *domain, void (*done)(void *ctx),
		    void *ctx);

void zr_domain_free(struct zr_domain *domain);

#endif

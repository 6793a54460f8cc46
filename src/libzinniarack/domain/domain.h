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
 * The scheduler of a failure domain. It connects the leader election, the
 * journal, the workers and the scheduler core. While it owns the domain it is
 * active: it accepts jobs and runs them on the workers. Otherwise it is a
 * standby that waits until the domain has no owner, and then competes for it.
 */

struct zr_domain;

/**
 * struct zr_domain_options - parameters of a domain
 * @version: ZR_DOMAIN_OPTIONS_VERSION
 * @timers: timer factory
 * @clock: source of monotonic and wall-clock time
 * @store: store; must outlive the domain
 * @domain: name of the failure domain
 * @name: name of this host
 * @worker_new: creates the adapter of a worker
 * @worker_ctx: passed to @worker_new
 * @metrics: registry of the domain's metrics
 * @journal_shards: number of job shards in the journal; 0 for the default
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
 * struct zr_domain_result - result of a task that has ended
 * @index: index of the task in its job
 * @succeeded: whether its command succeeded
 * @result: output of the command, at most ZX_RESULT_MAX bytes
 */
struct zr_domain_result {
	uint32_t index;
	bool succeeded;
	const char *result;
};

/**
 * struct zr_domain_job_info - a job as callers see it
 * @id: id of the job
 * @spec: specification from the submission
 * @state: state; a final state is shown only after it was persisted
 * @reason: reason of the last change of state
 * @result: last result that a task of it returned, or ""
 * @running: number of running tasks
 * @ended: number of tasks that have succeeded
 * @results: results of the tasks that have ended, by index; NULL in lists
 * @result_count: number of @results
 */
struct zr_domain_job_info {
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
 * typedef zr_domain_submit_fn - called with the outcome of a submission
 * @ctx: the context passed with the submission
 * @error: 0: accepted and persisted; ZR_E_OUTCOME_UNKNOWN: it may have been
 *	accepted; any other error: it was not accepted and will not run
 * @id: id of the accepted job; NULL on an error
 */
typedef void (*zr_domain_submit_fn)(void *ctx, int error, const char *id);

/** Called with a job; @job is NULL on an error, else valid during the call. */
typedef void (*zr_domain_job_fn)(void *ctx, int error,
				 const struct zr_domain_job_info *job);

/**
 * zr_domain_new() - create a domain and compete for its ownership
 * @out: the domain; free it with zr_domain_free()
 * @options: parameters; copied
 *
 * Return: 0 or ZR_E_NOMEM.
 */
int zr_domain_new(struct zr_domain **out,
		  const struct zr_domain_options *options);

/** zr_domain_epoch() - epoch while this process owns the domain, else 0 */
uint64_t zr_domain_epoch(const struct zr_domain *domain);

/** zr_domain_loaded() - whether all persisted jobs have been loaded */
bool zr_domain_loaded(const struct zr_domain *domain);

/**
 * zr_domain_configure() - apply a configuration
 * @domain: the domain
 * @config: the configuration; must stay valid until the next call
 */
void zr_domain_configure(struct zr_domain *domain,
			 const struct zr_config *config);

/**
 * zr_domain_set_hosts() - update the host list
 * @domain: the domain
 * @hosts: all hosts of the cluster; copied
 * @count: number of @hosts
 */
void zr_domain_set_hosts(struct zr_domain *domain, const struct zr_host *hosts,
			 size_t count);

/**
 * zr_domain_submit() - submit a job
 * @domain: the domain
 * @spec: specification of the job; copied. If its idempotency key is that of a
 *	known job of the same team, the result is the id of that job
 * @done: called exactly once, possibly before this function returns
 * @ctx: passed to @done
 */
void zr_domain_submit(struct zr_domain *domain, const struct zr_job_spec *spec,
		      zr_domain_submit_fn done, void *ctx);

/**
 * zr_domain_read() - read a job, or wait for its end
 * @domain: the domain
 * @id: id of the job
 * @team: team that the job must belong to; "" for any team
 * @wait_ms: maximum time to wait for the end of a job that has not ended, in
 *	milliseconds; 0 does not wait
 * @done: called exactly once; with ZR_E_NOT_OWNER if this process is not
 *	active, or ZR_E_NOT_FOUND if the team has no such job
 * @ctx: passed to @done
 */
void zr_domain_read(struct zr_domain *domain, const char *id, const char *team,
		    unsigned int wait_ms, zr_domain_job_fn done, void *ctx);

/**
 * zr_domain_cancel() - cancel a job
 * @domain: the domain
 * @id: id of the job
 * @team: team that the job must belong to; "" for any team
 * @done: called exactly once, with the job after the cancellation; with an
 *	error of zr_domain_read(), or ZR_E_STATE if the job has ended
 * @ctx: passed to @done
 */
void zr_domain_cancel(struct zr_domain *domain, const char *id,
		      const char *team, zr_domain_job_fn done, void *ctx);

/**
 * zr_domain_for_each_job() - visit all known jobs
 * @domain: the domain
 * @team: visit only jobs of this team; "" for all teams
 * @each: called for each job, without the results of its tasks
 * @ctx: passed to @each
 */
void zr_domain_for_each_job(struct zr_domain *domain, const char *team,
			    zr_domain_job_fn each, void *ctx);

/** zr_domain_job_handle() - handle of a job in the core, or ZR_HANDLE_NONE */
zr_handle zr_domain_job_handle(const struct zr_domain *domain, const char *id);

/** zr_domain_sched() - the scheduler core, NULL unless active */
const struct zr_sched *zr_domain_sched(const struct zr_domain *domain);

/**
 * struct zr_domain_replica - a running task of a service
 * @service: name of the service
 * @host: worker that the task runs on
 */
struct zr_domain_replica {
	const char *service;
	const struct zr_host *host;
};

/**
 * zr_domain_for_each_replica() - visit all running tasks of services
 * @domain: the domain
 * @each: called for each of them
 * @ctx: passed to @each
 */
void zr_domain_for_each_replica(
	struct zr_domain *domain,
	void (*each)(void *ctx, const struct zr_domain_replica *replica),
	void *ctx);

/**
 * zr_domain_stop() - hand the domain over and stop competing for it
 * @domain: the domain
 * @done: called once the ownership has been released
 * @ctx: passed to @done
 *
 * Waits up to 2 s for appended journal records to be committed.
 */
void zr_domain_stop(struct zr_domain *domain, void (*done)(void *ctx),
		    void *ctx);

/** zr_domain_free() - free without releasing the ownership; NULL is allowed */
void zr_domain_free(struct zr_domain *domain);

#endif

#ifndef ZR_CELL_SCHEDULER_H
#define ZR_CELL_SCHEDULER_H

#include "zinniarack/cell.h"
#include "zinniarack/clock.h"
#include "zinniarack/frontend.h"
#include "zinniarack/metrics.h"
#include "zinniarack/timer.h"

/**
 * DOC: Scheduler of a cell
 *
 * Every host of a cell runs one scheduler; the schedulers compete for the
 * ownership of the cell. The owner is the active scheduler: it loads accepted
 * jobs from the store, places their tasks on workers, sends start and stop
 * requests to the workers, and writes the progress of the jobs back to the
 * store. The scheduler opens no sockets itself; it reaches the store, the
 * workers and the other hosts through tables of callbacks.
 */

struct zr_cell_scheduler;

/**
 * struct zr_cell_limits - durations taken from the host's settings
 * @lease_ms: duration of the run leases granted to workers
 * @lease_max_ms: maximum duration of a run lease, including those that other
 *	schedulers granted
 * @keep_ended_ms: retention of the state of ended jobs
 * @evacuation_ms: time after which no task may start in a failure domain whose
 *	evacuation was requested; 0: requests are not read
 */
struct zr_cell_limits {
	unsigned int lease_ms;
	unsigned int lease_max_ms;
	unsigned int keep_ended_ms;
	unsigned int evacuation_ms;
};

/**
 * struct zr_cell_adviser_proxy - a host that forwards queries to the placement
 * adviser
 * @name: name of the host
 * @query: like &struct zr_cell_platform.advise, but sent through that host
 * @ctx: passed to @query
 */
struct zr_cell_adviser_proxy {
	char name[ZR_NAME_MAX];
	void (*query)(void *ctx, const char *job, uint32_t occurrence,
		      uint32_t step, const char *const *workers, size_t count,
		      unsigned int timeout_ms, zr_cell_advise_fn done,
		      void *done_ctx);
	void *ctx;
};

/**
 * struct zr_cell_scheduler_options - dependencies and settings of a scheduler
 * @timers: timer factory
 * @clock: a clock that keeps running while the host is suspended
 * @platform: callbacks into the platform; must outlive the scheduler
 * @limits: configured durations
 * @host: name of this host
 * @cell: name of the cell
 * @metrics: registry for the scheduler's metrics
 * @past_use: half-life of past use in seconds, and the weight of its effect on
 *	the order of waiting work in percent; a member of 0: past use is off
 * @worker_speed: learn speeds of workers and place tasks by expected finish
 * @admission: publish a summary of the load, for admission control
 * @move_leaving: stop runs that cannot finish before their worker leaves
 */
struct zr_cell_scheduler_options {
	const struct zr_timers *timers;
	const struct zr_clock *clock;
	const struct zr_cell_platform *platform;
	struct zr_cell_limits limits;
	const char *host;
	const char *cell;
	struct zr_metrics *metrics;
	struct {
		unsigned int half_life_s;
		unsigned int weight_percent;
	} past_use;
	bool worker_speed;
	bool admission;
	bool move_leaving;
};

/**
 * zr_cell_scheduler_new() - create a scheduler and start to compete
 * @out: the scheduler, to be freed with zr_cell_scheduler_free()
 * @options: copied
 *
 * Return: 0 or ZR_E_NOMEM.
 */
int zr_cell_scheduler_new(struct zr_cell_scheduler **out,
			  const struct zr_cell_scheduler_options *options);

/**
 * zr_cell_scheduler_configure() - apply a new version of the configuration
 * @scheduler: the scheduler
 * @config: the configuration; must stay valid until the next call
 */
void zr_cell_scheduler_configure(struct zr_cell_scheduler *scheduler,
				 const struct zr_cell_config *config);

/**
 * zr_cell_scheduler_set_proxies() - set the hosts that can query the adviser
 * @scheduler: the scheduler
 * @proxies: the hosts; copied
 * @count: number of @proxies
 */
void zr_cell_scheduler_set_proxies(struct zr_cell_scheduler *scheduler,
				   const struct zr_cell_adviser_proxy *proxies,
				   size_t count);

/**
 * zr_cell_scheduler_set_sizes() - set the rank of this host
 * @scheduler: the scheduler
 * @own: this host's processors, in thousandths
 * @largest: those of the largest other host; if they are more, this scheduler
 *	waits before it campaigns for the cell, the longer the smaller it is
 */
void zr_cell_scheduler_set_sizes(struct zr_cell_scheduler *scheduler,
				 uint32_t own, uint32_t largest);

/**
 * zr_cell_scheduler_set_successor() - set which host could own the cell instead
 * @scheduler: the scheduler
 * @largest: processors of the largest other host that is registered now, in
 *	thousandths; if they are twice this host's for some time, an owner hands
 *	the cell over
 */
void zr_cell_scheduler_set_successor(struct zr_cell_scheduler *scheduler,
				     uint32_t largest);

/**
 * zr_cell_scheduler_set_suspect() - set whether this host's own connection to
 * the store is suspect, so that others suit better as the owner
 */
void zr_cell_scheduler_set_suspect(struct zr_cell_scheduler *scheduler,
				   bool suspect);

/**
 * zr_cell_scheduler_set_settling() - set whether the other hosts are unknown
 *yet
 * @scheduler: the scheduler
 * @settling: this host has just started; it waits before it campaigns, so that
 *	it knows by then whether another host suits better
 */
void zr_cell_scheduler_set_settling(struct zr_cell_scheduler *scheduler,
				    bool settling);

/**
 * zr_cell_scheduler_active() - whether the scheduler owns the cell and has
 * loaded its state
 */
bool zr_cell_scheduler_active(const struct zr_cell_scheduler *scheduler);

/** zr_cell_scheduler_holder() - name of the owning host, "" if unknown */
const char *zr_cell_scheduler_holder(const struct zr_cell_scheduler *scheduler);

/**
 * zr_cell_scheduler_holder_revision() - store revision that tells what the
 * owning host has written from what a former one has; see
 * zr_owner_holder_revision()
 */
int64_t
zr_cell_scheduler_holder_revision(const struct zr_cell_scheduler *scheduler);

/**
 * zr_cell_scheduler_notify_job() - process a job or a cancellation that a host
 * has written to the store
 * @scheduler: the scheduler
 * @id: job id
 * @record: encoded job record; NULL for a cancellation
 * @length: size of @record in bytes
 *
 * Saves the delay of the watch on the store, which delivers the same change
 * later.
 *
 * Return: whether the scheduler is active and, for a cancellation, knows the
 * job.
 */
bool zr_cell_scheduler_notify_job(struct zr_cell_scheduler *scheduler,
				  const char *id, const void *record,
				  size_t length);

/**
 * typedef zr_cell_state_fn - receives the persisted state of a job
 * @ctx: as passed with the query
 * @error: 0, or an error such as ZR_E_NOT_OWNER or ZR_E_NOT_FOUND, after which
 *	the state has to be read from the store
 * @state: the job's state; valid if @error is 0
 */
typedef void (*zr_cell_state_fn)(void *ctx, int error,
				 enum zr_cell_job_state state);

/**
 * zr_cell_client_may_know() - whether a client account may read or cancel a job
 * @client: the account; empty: the caller needs none
 * @owner: the account of the job; empty: it was accepted without one
 */
bool zr_cell_client_may_know(const char *client, const char *owner);

/**
 * zr_cell_scheduler_query_state() - query the state of a job
 * @scheduler: the scheduler
 * @id: job id
 * @client: client account that may know it; empty: any
 * @done: called once, possibly before this function returns and at the latest
 *	250 ms later
 * @ctx: passed to @done
 */
void zr_cell_scheduler_query_state(struct zr_cell_scheduler *scheduler,
				   const char *id, const char *client,
				   zr_cell_state_fn done, void *ctx);

/**
 * zr_cell_scheduler_release() - give up the ownership so that another host
 * takes over
 * @scheduler: the scheduler
 * @done: called once when the ownership has been released
 * @ctx: passed to @done
 */
void zr_cell_scheduler_release(struct zr_cell_scheduler *scheduler,
			       void (*done)(void *ctx), void *ctx);

void zr_cell_scheduler_free(struct zr_cell_scheduler *scheduler);

#endif

#ifndef ZR_CELL_PRIVATE_H
#define ZR_CELL_PRIVATE_H

#include "cell/advice.h"
#include "cell/journal.h"
#include "cell/model.h"
#include "cell/policy/past_use.h"
#include "cell/policy/run_times.h"
#include "cell/scheduler.h"
#include "domain/owner.h"

/**
 * DOC: Internals of the cell scheduler
 *
 * State of the scheduler, and the functions that its source files share. A term
 * is the time from winning the ownership of the cell until losing it. A poll is
 * defined in cell/model.h.
 */

/** Maximum number of slow runs that a pass considers; a poll lists them again.
 */
#define ZR_CELL_SLOW_RUNS_MAX 32
/** Number of priorities that are told apart; lower ones count as the last. */
#define ZR_CELL_PRIORITIES 16

/** Number of pools of which the load is known; jobs of others are accepted. */
#define ZR_CELL_POOLS_MAX 6

/**
 * struct zr_cell_arrivals - work that was accepted lately for a pool
 * @pool: name of the pool
 * @accepted: by priority, processors times estimated milliseconds since the
 *last summary, of accounts within their share and above it
 * @millicpus: likewise, processors that this work keeps busy, smoothed
 */
struct zr_cell_arrivals {
	char pool[ZR_NAME_MAX];
	double accepted[ZR_CELL_PRIORITIES][2];
	double millicpus[ZR_CELL_PRIORITIES][2];
};

/**
 * struct zr_cell_pool_use - use of a pool, and reservations in it
 * @pool: name of the pool
 * @capacity: thousandths of a processor of its registered workers
 * @used: part of it that is in use
 * @reserved_at: when a step last reserved capacity; 0: never
 * @underused_since: since when steps have done so while most of the pool was
 *	not in use; 0: they have not
 * @paused_until: time before which no step reserves capacity
 */
struct zr_cell_pool_use {
	char pool[ZR_NAME_MAX];
	uint64_t capacity;
	uint64_t used;
	int64_t reserved_at;
	int64_t underused_since;
	int64_t paused_until;
};

/** enum zr_cell_phase - phase of a scheduler */
enum zr_cell_phase {
	ZR_CELL_STANDBY, /* does not own the cell */
	ZR_CELL_LOADING, /* owns it and reads its state from the store */
	ZR_CELL_ACTIVE,	 /* places tasks and sends requests to workers */
};

/**
 * struct zr_cell_load_read - a read of the load after a takeover
 * @pending: it has been sent and has no reply
 * @done: it has succeeded
 * @sent_at: when it was sent
 * @revision: revision of the store that was read
 * @values: what was read, copies
 * @count: number of @values
 */
struct zr_cell_load_read {
	bool pending;
	bool done;
	int64_t sent_at;
	int64_t revision;
	struct zr_store_value *values;
	size_t count;
};

/**
 * struct zr_cell_loading - state of the load of all jobs after a takeover
 * @epoch: epoch of this host's last term since the reads began; 0: none
 * @generation: increases when the reads begin anew; replies to those of an
 *	earlier value are ignored
 * @began_at: when the current term began
 * @deadline_at: when the cell is given back unless the load has ended
 * @extended_until: until when it is kept after that, if no other host is larger
 *	and the store's responses go on arriving
 * @kept_until: when the reads are discarded, if the term has been lost
 * @error: error of a read since the last attempt began; 0: none
 * @jobs: read of the jobs
 * @progress: read of their progress
 */
struct zr_cell_loading {
	uint64_t epoch;
	uint64_t generation;
	int64_t began_at;
	int64_t deadline_at;
	int64_t extended_until;
	int64_t kept_until;
	int error;
	struct zr_cell_load_read jobs;
	struct zr_cell_load_read progress;
};

/**
 * struct zr_cell_evacuation - request to evacuate a failure domain
 * @domain: name of the domain
 * @requested: the request is in the store; it has been withdrawn otherwise
 * @revision: store revision of the change that was last applied
 * @in_current_read: it is in the copy of the requests that is being processed
 * @announced: the runs in the domain have been counted, and placements there
 *	taken back
 * @starts_settled: no start sent before the request is without an answer
 * @drained: the domain has had no runs since the request
 * @known_at: when this owner learned of the request
 * @withdrawn_at: when it learned of the withdrawal
 */
struct zr_cell_evacuation {
	char domain[ZR_NAME_MAX];
	bool requested;
	int64_t revision;
	bool in_current_read;
	bool announced;
	bool starts_settled;
	bool drained;
	int64_t known_at;
	int64_t withdrawn_at;
	UT_hash_handle hh;
};

/**
 * struct zr_cell_evacuations - what the owner knows of the evacuation requests
 * @by_domain: the requests, also withdrawn ones
 * @revision: store revision up to which the requests are known; 0: they have to
 *	be read before they can be watched
 * @confirmed_at: time up to which no other request had been made
 * @confirmed: @confirmed_at is set
 * @reading: a read is pending
 * @read_sent_at: when the last read was sent
 * @watching: a watch is pending
 * @none_left_logged: that no domain is left for tasks has been logged
 * @unknown_logged: that nothing is started, because the requests are not known,
 *	has been logged
 * @checked_at: when the runs in evacuated domains were last counted
 * @decided_at: when it was last decided what is moved
 * @pass: number of that decision
 */
struct zr_cell_evacuations {
	struct zr_cell_evacuation *by_domain;
	int64_t revision;
	int64_t confirmed_at;
	bool confirmed;
	bool reading;
	int64_t read_sent_at;
	bool watching;
	bool none_left_logged;
	bool unknown_logged;
	int64_t checked_at;
	int64_t decided_at;
	uint64_t pass;
};

/**
 * struct zr_cell_evacuation_metrics - metrics of evacuations
 * @runs: runs in domains that are being evacuated
 * @start_age_ms: age of the oldest start without an answer in such a domain
 * @taken_back: placements taken back before their start was sent
 * @stopped: runs stopped so that they resume in another domain
 * @moved: those of them that have been started again
 */
struct zr_cell_evacuation_metrics {
	struct zr_metric *runs;
	struct zr_metric *start_age_ms;
	struct zr_metric *taken_back;
	struct zr_metric *stopped;
	struct zr_metric *moved;
};

/**
 * struct zr_cell_past_use - past use of the client accounts; see past_use.c
 * @totals: all charges of this term and what was loaded, also those that are
 *	not persisted yet
 * @runs: number of runs charged, not decayed
 * @charged: there are charges of the current generation
 * @closed_at: when the last generation was closed
 * @snapshot: record of the closing generation, until the journal has it
 * @judged_at: when the accounts were last judged
 * @logged_at: when accounts that wait were last logged
 */
struct zr_cell_past_use {
	struct zr_past_use totals;
	int64_t runs;
	bool charged;
	int64_t closed_at;
	struct zr_cell_buffer snapshot;
	int64_t judged_at;
	int64_t logged_at;
};

/**
 * enum zr_unanswered_outcome - what followed a start without a response in time
 * @ZR_UNANSWERED_ANSWERED: its response, late
 * @ZR_UNANSWERED_RUNNING: a poll has listed the run, which goes on
 * @ZR_UNANSWERED_STOPPED: a poll has listed the run, which is being stopped
 * @ZR_UNANSWERED_ENDED: a poll has reported the end of the run
 * @ZR_UNANSWERED_VOIDED: it was stopped before it began
 * @ZR_UNANSWERED_LOST: the worker has restarted or did not respond
 */
enum zr_unanswered_outcome {
	ZR_UNANSWERED_ANSWERED,
	ZR_UNANSWERED_RUNNING,
	ZR_UNANSWERED_STOPPED,
	ZR_UNANSWERED_ENDED,
	ZR_UNANSWERED_VOIDED,
	ZR_UNANSWERED_LOST,
	ZR_UNANSWERED_OUTCOMES,
};

/**
 * struct zr_cell_unanswered_metrics - counters of requests without a response
 * @starts: starts without a response in time, by outcome
 * @core_ms: processor time that was reserved for them in vain until the outcome
 *           was known, in milliseconds of one processor
 * @stops: stops without a response
 * @orphans: runs that were found and stopped after they were given up
 */
struct zr_cell_unanswered_metrics {
	struct zr_metric *starts[ZR_UNANSWERED_OUTCOMES];
	struct zr_metric *core_ms[ZR_UNANSWERED_OUTCOMES];
	struct zr_metric *stops;
	struct zr_metric *orphans;
};

/**
 * struct zr_cell_term - what belongs to a term of ownership
 *
 * It is cleared whole when the term ends, so that nothing of a term is found in
 * the next: what is meant to last is in &struct zr_cell_scheduler.
 *
 * @number: increases whenever a term begins or ends; answers to calls of an
 *	earlier value are ignored
 * @fencing_token: fencing token of the ownership
 * @model: jobs, workers and client accounts
 * @watch_revision: store revision up to which accepted jobs are known
 * @watch_failures: number of consecutive watches that failed
 * @successor_since: when this active owner found a much larger host; 0: none
 * @hand_over_deadline_at: when the cell is handed over at the latest, after the
 *	journal is idle; 0: it is not
 * @registry_reading: a read of the worker registry is pending
 * @registry_requested_at: when the last read of the registry was sent
 * @registry_read_at: when the registry was last read successfully
 * @registry_watching: a watch of the registry is pending
 * @refused_revision: revision of the last entry that could not be used
 * @refused_logged_at: when one was last logged; 0: never
 * @registry_watched_at: when the last watch was sent
 * @registry_revision: store revision up to which the registry is known; 0: it
 *                     has to be read before it can be watched
 * @jobs_outdated: the read of the jobs is old, and the watch has not delivered
 *	what was accepted since, so that the numbers of waiting jobs are too low
 * @counts_published_at: when the numbers of waiting jobs and the summary of the
 *	load were last published
 * @starts_deferred: starts have been persisted but not sent, because the
 *                   ownership lease was not valid
 * @evacuations: requests to evacuate failure domains
 * @past_use: past use of the client accounts
 * @slow_runs: slow runs that the next pass may move to other workers
 * @slow_run_count: number of @slow_runs
 * @moves_due_at: when they are considered next
 * @run_times: run times in this term by priority
 * @summary_due_at: time before which no summary of the load is published; 0:
 *not set in this term
 * @arrivals: work that was accepted lately, by pool
 * @arrival_count: number of @arrivals
 * @pool_use: use of the pools in the last planning pass, and reservations
 * @pool_use_count: number of @pool_use
 * @summary_full: the last summary shows a pool or a limit that is full
 */
struct zr_cell_term {
	uint64_t number;
	uint64_t fencing_token;
	struct zr_cell_model model;
	int64_t watch_revision;
	uint32_t watch_failures;
	int64_t successor_since;
	int64_t hand_over_deadline_at;
	bool registry_reading;
	int64_t registry_requested_at;
	int64_t registry_read_at;
	bool registry_watching;
	int64_t refused_revision;
	int64_t refused_logged_at;
	int64_t registry_watched_at;
	int64_t registry_revision;
	bool jobs_outdated;
	int64_t counts_published_at;
	bool starts_deferred;
	struct zr_cell_evacuations evacuations;
	struct zr_cell_past_use past_use;
	struct zr_cell_ref slow_runs[ZR_CELL_SLOW_RUNS_MAX];
	size_t slow_run_count;
	int64_t moves_due_at;
	struct zr_run_times run_times[ZR_CELL_PRIORITIES];
	int64_t summary_due_at;
	struct zr_cell_arrivals arrivals[ZR_CELL_POOLS_MAX];
	size_t arrival_count;
	struct zr_cell_pool_use pool_use[ZR_CELL_POOLS_MAX];
	size_t pool_use_count;
	bool summary_full;
};

/**
 * struct zr_cell_scheduler - the scheduler
 * @options: as passed to zr_cell_scheduler_new()
 * @config: configuration in use; NULL before the first one
 * @owner: competes for the ownership of the cell
 * @phase: current phase
 * @own_size: processors of this host, in thousandths
 * @largest_size: those of the largest other host; 0: none is known
 * @suspect: this host's own connection to the store is suspect
 * @settling: the other hosts are not known yet
 * @event_count: counter that puts polls and responses of workers in order
 * @term: what belongs to the current term
 * @journal: writes the progress of jobs to the store
 * @advice: proxies through which the adviser is queried
 * @tick: timer of the periodic work
 * @plan: timer of the next planning pass
 * @rewatch: timer after which the watch of accepted jobs is restarted
 * @plan_scheduled: @plan has been started
 * @failed_loads: number of own terms in a row that ended before the load did
 * @successor_size: processors of the largest other host that is registered, in
 *	thousandths
 * @hand_overs: number of times that the cell was handed over to a larger host
 * @loading: reads of the jobs and their progress, in ZR_CELL_LOADING
 * @released: called once the cell has been released
 * @released_ctx: passed to @released
 * @releasing: a release has been requested and the journal is being flushed
 * @release_deadline_at: when it is released even if the journal is not flushed
 * @state_waits: callers that wait until the end of a job is persisted
 * @pending_calls: number of pending calls to workers, the store and the adviser
 * @freeing: zr_cell_scheduler_free() has been called; memory is freed after the
 *           last pending call
 * @starts: starts sent to workers
 * @refused: starts that the worker refused or never received
 * @unanswered: start and stop requests without a response
 * @polls: polls sent
 * @lost: runs that were lost with their worker or did not start
 * @crashes: workers that crashed, by what their responses show
 * @unfit_steps: steps that wait and do not fit on the idle workers
 * @expired_reservations: reservations that were given up
 * @refused_checkpoints: checkpoints that were too long
 * @refused_tickets: tickets that were too long
 * @refused_registrations: changes of the registry that could not be used
 * @takeovers: times the ownership was won
 * @load_timeouts: times the cell was given back because the load took too long
 * @loaded_bytes: bytes of jobs and progress read after takeovers
 * @departure_stops: runs and gangs stopped because a worker leaves
 * @wait_ms: time from the readiness of a step to the confirmed start of a task
 * @run_ms: run time of successful runs
 * @visible_ms: time from the acceptance of a job until its end is persisted
 * @speeds: learned run times and speeds by queue, size and kind of worker,
 *which the next term would have to learn again; holds no handles
 * @evacuation_metrics: metrics of evacuations
 * @past_use_runs: gauge of the runs in the past use
 * @moved: runs moved, by &enum zr_speed_cause
 * @load_logged_at: when the load was last logged
 * @unanswered_metrics: counters of requests without a response
 */
struct zr_cell_scheduler {
	struct zr_cell_scheduler_options options;
	const struct zr_cell_config *config;
	struct zr_owner *owner;
	enum zr_cell_phase phase;
	uint32_t own_size;
	uint32_t largest_size;
	bool suspect;
	bool settling;
	uint64_t event_count;
	struct zr_cell_term term;
	struct zr_cell_journal *journal;
	struct zr_cell_advice advice;
	struct zr_timer *tick;
	struct zr_timer *plan;
	struct zr_timer *rewatch;
	bool plan_scheduled;
	unsigned int failed_loads;
	uint32_t successor_size;
	unsigned int hand_overs;
	struct zr_cell_loading loading;
	void (*released)(void *ctx);
	void *released_ctx;
	bool releasing;
	int64_t release_deadline_at;
	struct zr_cell_state_wait *state_waits;
	unsigned int pending_calls;
	bool freeing;
	struct zr_metric *starts;
	struct zr_metric *refused;
	struct zr_metric *unanswered;
	struct zr_metric *polls;
	struct zr_metric *lost;
	struct zr_metric *crashes;
	struct zr_metric *unfit_steps;
	struct zr_metric *expired_reservations;
	struct zr_metric *refused_checkpoints;
	struct zr_metric *refused_tickets;
	struct zr_metric *refused_registrations;
	struct zr_metric *takeovers;
	struct zr_metric *load_timeouts;
	struct zr_metric *loaded_bytes;
	struct zr_metric *departure_stops;
	struct zr_histogram *wait_ms;
	struct zr_histogram *run_ms;
	struct zr_histogram *visible_ms;
	struct zr_speed_table speeds;
	struct zr_cell_evacuation_metrics evacuation_metrics;
	struct zr_metric *past_use_runs;
	struct zr_metric *moved[ZR_SPEED_CAUSE_WORKER + 1];
	int64_t load_logged_at;
	struct zr_cell_unanswered_metrics unanswered_metrics;
};

/* scheduler.c */
/** zr_cell_now_ms() - monotonic clock in milliseconds */
int64_t zr_cell_now_ms(const struct zr_cell_scheduler *scheduler);
/** zr_cell_wall_ms() - time of day, in milliseconds since 1970 */
int64_t zr_cell_wall_ms(const struct zr_cell_scheduler *scheduler);
/**
 * zr_cell_is_owner() - whether the scheduler is active and its ownership lease
 * is valid
 */
bool zr_cell_is_owner(const struct zr_cell_scheduler *scheduler);
/**
 * zr_cell_refresh_client_limits() - copy the client accounts' limits to the
 * model
 */
void zr_cell_refresh_client_limits(struct zr_cell_scheduler *scheduler);
/** zr_cell_schedule_plan() - schedule a planning pass after a change */
void zr_cell_schedule_plan(struct zr_cell_scheduler *scheduler);
/**
 * zr_cell_call_done() - count a pending call as completed
 * @scheduler: the scheduler; not to be used any more if false is returned
 *
 * Return: false if the scheduler is being freed.
 */
bool zr_cell_call_done(struct zr_cell_scheduler *scheduler);

/**
 * struct zr_cell_call - a pending call, the first member of what a module keeps
 *	for it
 * @scheduler: the scheduler
 * @term: number of the term in which it was sent
 */
struct zr_cell_call {
	struct zr_cell_scheduler *scheduler;
	uint64_t term;
};

/**
 * zr_cell_call_new() - begin a call
 * @scheduler: the scheduler
 * @size: size of the struct that begins with the &struct zr_cell_call
 *
 * Return: that struct, with all other members 0; to be freed by the caller once
 * zr_cell_call_end() has been called.
 */
void *zr_cell_call_new(struct zr_cell_scheduler *scheduler, size_t size);

/** zr_cell_call_is_current() - whether the term of a call has not ended */
bool zr_cell_call_is_current(const struct zr_cell_call *call);

/**
 * zr_cell_call_end() - count a call as completed
 *
 * Return: its scheduler; NULL if the scheduler is being freed or the term of
 * the call has ended, so that its answer is to be ignored.
 */
struct zr_cell_scheduler *zr_cell_call_end(const struct zr_cell_call *call);

/* load_summary.c */
/** zr_cell_class_of() - priority under which jobs of a priority are counted */
uint32_t zr_cell_class_of(uint32_t priority);
/**
 * zr_cell_summary_process() - publish the numbers of waiting jobs and the
 * summary of the load, if due
 */
void zr_cell_summary_process(struct zr_cell_scheduler *scheduler, int64_t now);
/**
 * zr_cell_summary_add_run() - record the run time of a successful run
 * @scheduler: the scheduler
 * @job: its job
 * @estimate_ms: the submitter's estimate
 * @run_ms: its run time
 */
void zr_cell_summary_add_run(struct zr_cell_scheduler *scheduler,
			     const struct zr_cell_job *job,
			     uint32_t estimate_ms, int64_t run_ms);

/* job_loader.c */
/**
 * zr_cell_load_jobs() - load all jobs from the store, then become active
 * @scheduler: the scheduler
 * @term: the term of ownership that has just begun
 * @timeout_ms: time after which the load has failed, in milliseconds
 * @extended_ms: the same for a load that goes on, if no other host is larger
 */
void zr_cell_load_jobs(struct zr_cell_scheduler *scheduler,
		       const struct zr_owner_term *term,
		       unsigned int timeout_ms, unsigned int extended_ms);
/** zr_cell_load_process() - end a load that takes too long, free old reads */
void zr_cell_load_process(struct zr_cell_scheduler *scheduler);
/** zr_cell_load_lost() - the term has ended before the load did */
void zr_cell_load_lost(struct zr_cell_scheduler *scheduler);
/** zr_cell_loading_clear() - free what has been read and ignore open reads */
void zr_cell_loading_clear(struct zr_cell_loading *loading);
/** zr_cell_watch_jobs() - watch the store for accepted jobs */
void zr_cell_watch_jobs(struct zr_cell_scheduler *scheduler);
/** zr_cell_resume_watch() - timer callback that restarts the watch */
void zr_cell_resume_watch(void *ctx);

/* registry.c */
/** zr_cell_registry_read() - start a read of the worker registry */
void zr_cell_registry_read(struct zr_cell_scheduler *scheduler);
/** zr_cell_registry_process() - read or watch the registry, as is due */
void zr_cell_registry_process(struct zr_cell_scheduler *scheduler);

/* evacuations.c */
/** zr_cell_evacuations_register_metrics() - register the metrics */
void zr_cell_evacuations_register_metrics(struct zr_cell_scheduler *scheduler,
					  struct zr_metrics *metrics);
/**
 * zr_cell_evacuations_clear() - forget the requests
 *
 * Called when a term ends; replies of earlier terms are ignored.
 */
void zr_cell_evacuations_clear(struct zr_cell_scheduler *scheduler);
/**
 * zr_cell_evacuations_process() - read or watch the requests, as is due, and
 * count what is left in the domains
 */
void zr_cell_evacuations_process(struct zr_cell_scheduler *scheduler);
/**
 * zr_cell_evacuations_known() - whether the requests are known well enough to
 * start tasks
 *
 * Return: true if requests are not read at all, or if the last confirmation of
 * what is known is recent.
 */
bool zr_cell_evacuations_known(const struct zr_cell_scheduler *scheduler);
/**
 * zr_cell_evacuations_allow() - whether tasks may start on a worker
 * @scheduler: the scheduler
 * @worker: the worker
 * @now: the current time in milliseconds
 *
 * Return: false if the requests are not known, if the worker's domain is being
 * evacuated, or if the worker does not return yet after an evacuation.
 */
bool zr_cell_evacuations_allow(const struct zr_cell_scheduler *scheduler,
			       const struct zr_cell_worker *worker,
			       int64_t now);

/** zr_cell_evacuations_requested() - whether a worker's domain is evacuated */
bool zr_cell_evacuations_requested(const struct zr_cell_scheduler *scheduler,
				   const struct zr_cell_worker *worker);

/* evacuation_moves.c */
/**
 * zr_cell_evacuations_move() - decide what happens to the runs in evacuated
 * domains, and stop those that are moved
 */
void zr_cell_evacuations_move(struct zr_cell_scheduler *scheduler);

/* job_state.c */
/**
 * zr_cell_state_queries_job_persisted() - answer callers waiting for the end
 * of a job
 */
void zr_cell_state_queries_job_persisted(struct zr_cell_scheduler *scheduler,
					 const struct zr_cell_job *job);
/** zr_cell_state_queries_process() - answer callers whose wait has timed out */
void zr_cell_state_queries_process(struct zr_cell_scheduler *scheduler);
/**
 * zr_cell_state_queries_abort() - fail all waits; the callers read the store
 * instead
 */
void zr_cell_state_queries_abort(struct zr_cell_scheduler *scheduler);

/* plan.c */
/** zr_cell_plan() - run a planning pass */
void zr_cell_plan(struct zr_cell_scheduler *scheduler);

/* runs.c */
/**
 * zr_cell_place_task() - reserve resources for a task and mark the job dirty
 * @scheduler: the scheduler
 * @job: its job
 * @task: index of the task in the job's tasks
 * @worker: the worker
 * @attempt: number of the new run
 *
 * The start is sent by zr_cell_starts_send_persisted().
 */
void zr_cell_place_task(struct zr_cell_scheduler *scheduler,
			struct zr_cell_job *job, uint32_t task,
			struct zr_cell_worker *worker, uint32_t attempt);
/** zr_cell_starts_send_persisted() - send starts of persisted placements */
void zr_cell_starts_send_persisted(struct zr_cell_scheduler *scheduler,
				   struct zr_cell_job *job);
/** zr_cell_starts_send_deferred() - send the starts that were deferred */
void zr_cell_starts_send_deferred(struct zr_cell_scheduler *scheduler);
/** Time for which a run that is stopped to resume elsewhere avoids its worker
 */
#define ZR_CELL_AVOID_STOPPED_MS 2000
/**
 * zr_cell_task_avoid_worker() - let the next run of a task avoid a worker
 * @scheduler: the scheduler
 * @task: the task
 * @worker: the worker
 * @ms: time from now after which the task may be placed there again, in
 *	milliseconds
 */
void zr_cell_task_avoid_worker(const struct zr_cell_scheduler *scheduler,
			       struct zr_cell_task *task, zr_handle worker,
			       int64_t ms);
/**
 * zr_cell_task_remaining_ms() - estimated time until a run ends
 * @task: the task, whose run is active
 * @estimate_ms: its run time as estimated by the submitter
 * @now: the current time in milliseconds
 *
 * Return: what is left by the progress of the run or, if none is known, by its
 * age. A run that exceeds its estimate is taken to end soon.
 */
int64_t zr_cell_task_remaining_ms(const struct zr_cell_task *task,
				  uint32_t estimate_ms, int64_t now);
/** zr_cell_stop_run() - stop the active run of a task, if it has one */
void zr_cell_stop_run(struct zr_cell_scheduler *scheduler,
		      struct zr_cell_job *job, uint32_t task,
		      const char *reason);
/** zr_cell_stop_job() - stop all active runs of a job */
void zr_cell_stop_job(struct zr_cell_scheduler *scheduler,
		      struct zr_cell_job *job, const char *reason);
/**
 * zr_cell_run_ended() - handle the end of a task's active run
 * @scheduler: the scheduler
 * @job: its job
 * @task: index of the task in the job's tasks
 * @reason: for the log
 *
 * Called when the worker has reported the end, or when the run cannot exist
 * there any more.
 */
void zr_cell_run_ended(struct zr_cell_scheduler *scheduler,
		       struct zr_cell_job *job, uint32_t task,
		       const char *reason);
/** zr_cell_gang_can_be_completed() - whether waiting members can join a run */
bool zr_cell_gang_can_be_completed(const struct zr_cell_scheduler *scheduler,
				   const struct zr_cell_job *job,
				   const struct zr_cell_step_state *step);
/** zr_cell_stop_incomplete_gangs() - stop gangs that cannot be completed */
void zr_cell_stop_incomplete_gangs(struct zr_cell_scheduler *scheduler,
				   struct zr_cell_job *job);
/** zr_cell_stop_gang() - stop all members of a gang that have a run */
void zr_cell_stop_gang(struct zr_cell_scheduler *scheduler,
		       struct zr_cell_job *job, struct zr_cell_step_state *step,
		       const char *reason);
/** zr_cell_gang_finish_waiting() - finish waiting members of a gang */
void zr_cell_gang_finish_waiting(struct zr_cell_model *model,
				 struct zr_cell_job *job,
				 const struct zr_cell_step_state *step);
/**
 * zr_cell_run_saved() - record the checkpoint that a run has saved
 * @scheduler: the scheduler
 * @job: its job
 * @task: index of the task in the job's tasks
 * @worker: the worker of the run
 * @checkpoint: the checkpoint; "": none. One that is too long is refused and
 *	logged, and the task keeps the one before
 *
 * Return: whether it is a new one.
 */
bool zr_cell_run_saved(struct zr_cell_scheduler *scheduler,
		       struct zr_cell_job *job, uint32_t task,
		       const struct zr_cell_worker *worker,
		       const char *checkpoint);
/** zr_cell_process_end() - process an ended run that a worker has reported */
void zr_cell_process_end(struct zr_cell_scheduler *scheduler,
			 struct zr_cell_worker *worker,
			 const struct zr_cell_run_end *end);
/** zr_cell_job_cancel() - cancel a job and stop its active runs */
void zr_cell_job_cancel(struct zr_cell_scheduler *scheduler,
			struct zr_cell_job *job);
/**
 * zr_cell_stop_orphaned_run() - stop a run that the model doesn't have
 *
 * Not retried: if the next poll still lists the run, it is stopped again.
 */
void zr_cell_stop_orphaned_run(struct zr_cell_scheduler *scheduler,
			       struct zr_cell_worker *worker,
			       const struct zr_cell_task_name *task,
			       uint32_t attempt);
/**
 * zr_cell_stops_resend() - resend stops that failed, and poll for the outcomes
 * of starts without a response
 */
void zr_cell_stops_resend(struct zr_cell_scheduler *scheduler,
			  struct zr_cell_worker *worker);
/**
 * zr_cell_lease_renew() - renew the lease of a worker
 * @scheduler: the scheduler
 * @worker: the worker
 *
 * Return: end of the lease, in milliseconds of the worker's clock.
 */
int64_t zr_cell_lease_renew(struct zr_cell_scheduler *scheduler,
			    struct zr_cell_worker *worker);
/**
 * zr_cell_worker_responded() - record a response of a worker
 * @scheduler: the scheduler
 * @worker: the worker
 * @clock_ms: the clock in the response; -1: none
 */
void zr_cell_worker_responded(struct zr_cell_scheduler *scheduler,
			      struct zr_cell_worker *worker, int64_t clock_ms);

/* departures.c */
/** zr_cell_departure_announced() - note when a worker leaves, by its report */
void zr_cell_departure_announced(struct zr_cell_worker *worker, int64_t now);
/** zr_cell_departure_process() - stop what cannot finish on a leaving worker */
void zr_cell_departure_process(struct zr_cell_scheduler *scheduler,
			       struct zr_cell_worker *worker);

/* crashes.c */
/**
 * zr_cell_worker_crashed() - record that a worker crashed
 * @scheduler: the scheduler
 * @worker: the worker, whose runs have not been ended yet
 * @replaced: another worker uses its address; otherwise it has restarted, and
 *            its report has the new incarnation
 */
void zr_cell_worker_crashed(struct zr_cell_scheduler *scheduler,
			    struct zr_cell_worker *worker, bool replaced);
/**
 * zr_cell_worker_lost() - record that the runs of a silent worker have expired
 *
 * It may have crashed. Called before the runs are ended.
 */
void zr_cell_worker_lost(struct zr_cell_scheduler *scheduler,
			 struct zr_cell_worker *worker);
/**
 * zr_cell_crash_run_missing() - record that a worker does not have a run
 * @scheduler: the scheduler
 * @worker: the worker
 * @job: its job
 * @task: index of the task, whose run has not been ended yet
 *
 * If the worker has restarted since the placement, it may have crashed under
 * the run, also when an earlier scheduler was to start it.
 */
void zr_cell_crash_run_missing(const struct zr_cell_scheduler *scheduler,
			       const struct zr_cell_worker *worker,
			       struct zr_cell_job *job, uint32_t task);
/**
 * zr_cell_crash_charge() - count the crash under a run that has ended
 * @job: its job
 * @task: its task
 *
 * Return: whether the task is given up, so that its job fails.
 */
bool zr_cell_crash_charge(struct zr_cell_job *job, struct zr_cell_task *task);
/**
 * zr_cell_crash_run_seen() - record that a worker has listed an active run
 *
 * Ends the suspicion of a task whose start has not crashed the worker.
 */
void zr_cell_crash_run_seen(struct zr_cell_scheduler *scheduler,
			    struct zr_cell_worker *worker,
			    struct zr_cell_job *job, uint32_t task);
/**
 * zr_cell_crash_process() - poll a worker whose isolated runs have lasted long
 * enough for their suspicion to end
 */
void zr_cell_crash_process(struct zr_cell_scheduler *scheduler,
			   struct zr_cell_worker *worker);

/* past_use.c */
/**
 * zr_cell_past_use_begin_load() - load the record of past use
 * @scheduler: the scheduler
 * @values: what a read of ZR_CELL_PROGRESS_PREFIX has returned
 * @count: number of @values
 */
void zr_cell_past_use_begin_load(struct zr_cell_scheduler *scheduler,
				 const struct zr_store_value *values,
				 size_t count);
/** zr_cell_past_use_load_job() - add what a loaded progress record charges */
void zr_cell_past_use_load_job(struct zr_cell_scheduler *scheduler,
			       struct zr_cell_job *job,
			       const zx_cell_stored_progress *record);
/** zr_cell_past_use_end_load() - all progress records have been loaded */
void zr_cell_past_use_end_load(struct zr_cell_scheduler *scheduler);
/**
 * zr_cell_past_use_charge() - charge the active run of a task, which ends
 *
 * Does nothing if it has been charged. The caller must have made sure that the
 * run has existed.
 */
void zr_cell_past_use_charge(struct zr_cell_scheduler *scheduler,
			     struct zr_cell_job *job, uint32_t task);
/** zr_cell_past_use_job_persisted() - note which charges are persisted */
void zr_cell_past_use_job_persisted(struct zr_cell_scheduler *scheduler,
				    struct zr_cell_job *job);
/**
 * zr_cell_past_use_has_charges() - whether the progress record of a job holds
 * charges that the record of past use may not include
 */
bool zr_cell_past_use_has_charges(const struct zr_cell_scheduler *scheduler,
				  const struct zr_cell_job *job);
/** zr_cell_past_use_record_persisted() - the record of past use is persisted */
void zr_cell_past_use_record_persisted(struct zr_cell_scheduler *scheduler);
/** zr_cell_past_use_process() - judge the accounts and write the record */
void zr_cell_past_use_process(struct zr_cell_scheduler *scheduler, int64_t now);
/** zr_cell_past_use_end_term() - forget the use */
void zr_cell_past_use_end_term(struct zr_cell_scheduler *scheduler);
/* unanswered.c */
/** zr_cell_unanswered_register() - register the metrics */
void zr_cell_unanswered_register(struct zr_cell_unanswered_metrics *out,
				 struct zr_metrics *metrics);

/* bounds.c */
/** zr_cell_bound_placement() - set when a placement is taken back */
void zr_cell_bound_placement(const struct zr_cell_scheduler *scheduler,
			     struct zr_cell_task *task);
/** zr_cell_bound_stop() - set when a stop of a run is overdue */
void zr_cell_bound_stop(const struct zr_cell_scheduler *scheduler,
			struct zr_cell_task *task);
/** zr_cell_bounds_process() - end the states of its runs whose bound is over */
void zr_cell_bounds_process(struct zr_cell_scheduler *scheduler,
			    struct zr_cell_worker *worker);
/**
 * zr_cell_worker_may_have_runs() - whether a run exists, or may exist, on a
 * worker
 */
bool zr_cell_worker_may_have_runs(const struct zr_cell_scheduler *scheduler,
				  const struct zr_cell_worker *worker);
/**
 * zr_cell_worker_needs_poll() - whether a worker may have runs that only a poll
 * can show
 */
bool zr_cell_worker_needs_poll(const struct zr_cell_scheduler *scheduler,
			       const struct zr_cell_worker *worker);
/** zr_cell_worker_lose_runs() - end all runs of a worker that were started */
void zr_cell_worker_lose_runs(struct zr_cell_scheduler *scheduler,
			      struct zr_cell_worker *worker,
			      const char *reason);
/**
 * zr_cell_worker_replaced() - handle a response that another worker has sent
 *
 * It uses the address of @worker, which is gone with its runs.
 */
void zr_cell_worker_replaced(struct zr_cell_scheduler *scheduler,
			     struct zr_cell_worker *worker);
/**
 * zr_cell_retry_delay_ms() - exponential backoff
 * @failures: number of consecutive failures, at least 1
 * @min_ms: delay after the first
 * @max_ms: longest delay
 */
int64_t zr_cell_retry_delay_ms(uint32_t failures, int64_t min_ms,
			       int64_t max_ms);

/* lasting.c */
/** zr_cell_step_is_lasting() - whether the tasks of a step are long-running */
bool zr_cell_step_is_lasting(const struct zr_cell_step_state *step);
/**
 * zr_cell_lasting_run_ended() - note when a long-running task may start again
 * @scheduler: the scheduler
 * @step: its step
 * @task: the task, whose run has ended in whatever way
 * @stopped: the scheduler has stopped it
 */
void zr_cell_lasting_run_ended(const struct zr_cell_scheduler *scheduler,
			       struct zr_cell_step_state *step,
			       struct zr_cell_task *task, bool stopped);

/* polls.c */
/**
 * zr_cell_worker_set_unconfirmed() - note that the worker may have restarted
 * @scheduler: the scheduler
 * @worker: the worker
 * @broke: the connection of the request broke before its timeout
 *
 * Polls acknowledge no ends until one has been answered, since the numbers may
 * be those of ends that a later incarnation has not reported yet.
 */
void zr_cell_worker_set_unconfirmed(struct zr_cell_scheduler *scheduler,
				    struct zr_cell_worker *worker, bool broke);
/** zr_cell_poll_soon() - send a poll to a worker within @after_ms */
void zr_cell_poll_soon(struct zr_cell_scheduler *scheduler,
		       struct zr_cell_worker *worker, int64_t after_ms);
/** zr_cell_poll_extra() - send a poll now, even if another one is pending */
void zr_cell_poll_extra(struct zr_cell_scheduler *scheduler,
			struct zr_cell_worker *worker);
/**
 * zr_cell_poll_outcomes() - send a poll now that shows the outcomes of starts
 *
 * Does nothing while another such poll is in flight.
 */
void zr_cell_poll_outcomes(struct zr_cell_scheduler *scheduler,
			   struct zr_cell_worker *worker);
/**
 * zr_cell_polls_process() - send a poll if due, and end runs whose lease
 * expired
 */
void zr_cell_polls_process(struct zr_cell_scheduler *scheduler,
			   struct zr_cell_worker *worker);
/** zr_cell_acks_process() - confirm ended runs whose changes are persisted */
void zr_cell_acks_process(struct zr_cell_scheduler *scheduler);
/** zr_cell_worker_restarted() - handle the restart of a worker */
void zr_cell_worker_restarted(struct zr_cell_scheduler *scheduler,
			      struct zr_cell_worker *worker,
			      int64_t incarnation);

/* speeds.c */
/** zr_cell_speed_worker_changed() - take over a worker's kind and incarnation
 */
void zr_cell_speed_worker_changed(struct zr_cell_scheduler *scheduler,
				  struct zr_cell_worker *worker);
/**
 * zr_cell_speed_update_metrics() - count the workers by believed speed
 *
 * Without a term there are none.
 */
void zr_cell_speed_update_metrics(struct zr_cell_scheduler *scheduler);
/** zr_cell_speed_run_started() - a run has been confirmed; @percent: progress
 */
void zr_cell_speed_run_started(const struct zr_cell_scheduler *scheduler,
			       struct zr_cell_task *task, uint32_t percent);
/** zr_cell_speed_run_done() - learn from a run that has succeeded */
void zr_cell_speed_run_done(struct zr_cell_scheduler *scheduler,
			    struct zr_cell_worker *worker,
			    struct zr_cell_job *job, uint32_t task);
/** zr_cell_speed_run_listed() - learn from the progress of an active run */
void zr_cell_speed_run_listed(struct zr_cell_scheduler *scheduler,
			      struct zr_cell_worker *worker,
			      struct zr_cell_job *job, uint32_t task);
/** zr_cell_speed_poll_done() - judge a worker by the reply just processed */
void zr_cell_speed_poll_done(struct zr_cell_scheduler *scheduler,
			     struct zr_cell_worker *worker);

#endif

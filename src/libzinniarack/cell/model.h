#ifndef ZR_CELL_MODEL_H
#define ZR_CELL_MODEL_H

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#include "cell/policy/worker_speed.h"
#include "zinniarack/cell.h"
#include "zinniarack/charts.h"
#include "zinniarack/frontend.h"
#include "zinniarack/table.h"

/**
 * DOC: Model of a cell
 *
 * What the active scheduler knows: jobs with their steps and tasks, workers
 * with their runs, and client accounts with their usage. The functions keep the
 * totals consistent; they make no decisions and send nothing. Times are in
 * milliseconds of the scheduler's monotonic clock unless stated otherwise.
 *
 * A run is one attempt to execute a task on a worker. It is active from its
 * placement until its end is known. A poll is a request to a worker for its
 * active and ended runs, which also renews its lease. A change is persisted
 * once the store holds it.
 */

/** A time that is not set. */
#define ZR_CELL_NEVER INT64_MAX

/** &struct zr_cell_task.visible_after while a start may still be in flight. */
#define ZR_CELL_START_PENDING UINT64_MAX

/**
 * enum zr_suspicion - whether a task is suspected to crash its workers
 * @ZR_SUSPECT_NOT: it is not
 * @ZR_SUSPECT_AT_START: a worker crashed soon after a start of it
 * @ZR_SUSPECT_ALWAYS: workers crashed while it was running
 */
enum zr_suspicion {
	ZR_SUSPECT_NOT,
	ZR_SUSPECT_AT_START,
	ZR_SUSPECT_ALWAYS,
};

/** Flags of &struct zr_cell_task.crash_evidence. */
enum zr_crash_evidence {
	ZR_CRASH_COUNTED = 1, /* its worker crashed, or was lost, under it */
	ZR_CRASH_SUSPECT = 2, /* its start may have been the cause */
	ZR_CRASH_CERTAIN = 4, /* it was running when the worker crashed */
	ZR_CRASH_APART = 8, /* no other job had a run, or a fresh one, there */
	ZR_CRASH_POSSIBLE = 16, /* the same, if its start reached the worker */
};

/** struct zr_cell_ref - a task: its job and its index in the job's tasks */
struct zr_cell_ref {
	zr_handle job;
	uint32_t task;
};

/**
 * struct zr_cell_task - a task and its active run
 * @state: &enum zr_task_state
 * @attempt: number of its latest run
 * @failures: number of runs that failed; of a member of a gang, of those in
 *            which it was among the members that failed
 * @failed_attempt: attempt of the latest run whose failure has been counted; 0:
 *                  there is none
 * @crashes: number of workers that crashed, or were lost, under its runs
 * @certain_crashes: number of those that are certain to have crashed under one
 * @possible_crashes: number of workers that crashed, or were lost, when it is
 *                    not known whether its run was there
 * @suspicion: &enum zr_suspicion; if set, its next run is isolated
 * @isolated: no other job may have a run on the worker of its active run
 * @settle_polled: a poll was sent that ends the isolation of its active run
 * @crash_evidence: flags of &enum zr_crash_evidence about its active run; 0:
 *                  none
 * @worker: worker of its active run; ZR_HANDLE_NONE without one
 * @incarnation: incarnation of that worker when the run was placed, or last
 *               seen there, the low 32 bits; 0: not known
 * @change: value of &struct zr_cell_job.change for its placement
 * @visible_after: value of the scheduler's event counter; if a poll sent later
 *                 does not list the run, the run is lost. ZR_CELL_START_PENDING
 *                 while a start may still be in flight
 * @sent_at: when its start was sent; 0 if an earlier scheduler sent it
 * @started_at: when its start was confirmed; 0 if it was not
 * @stop_sent: a stop has been sent and has not failed
 * @finished: a run of the task, or of another member of its gang, has succeeded
 * @avoided_worker: worker on which its last run has ended, if the next one has
 *                  to avoid it
 * @avoided_until: when runs that join no gang may be placed there again
 * @percent: progress last reported by the worker
 * @percent_at: when @percent last changed
 * @checkpoint: checkpoint to resume from; NULL: there is none. Set with
 *              zr_cell_task_set_checkpoint()
 * @refused_checkpoint_attempt: attempt of the last run of which a checkpoint
 * was too long
 * @evacuating: its run was stopped so that it resumes in another domain
 * @evacuation_logged: decision about its active run in an evacuated domain that
 *                     was last logged; 0: none
 * @placed_at: when its active run was placed; 0: there is none, it has been
 *             charged, or past use is off
 * @progress: progress of its active run, from which speeds are learned
 * @whole_run: its active run began without a checkpoint, and @started_at is
 *             when; not known of runs that an earlier scheduler started
 * @saved_percent: progress when @checkpoint last changed, or a little more
 * @slow_logged: its active run has been logged as slow
 * @uncertain_event: event number from which polls show the outcome of its
 *                   start, which had no response in time; 0: it had, or a poll
 *                   has shown the outcome
 * @stops: number of stops of its active run that were sent
 * @stop_sent_at: when the last of them was sent
 * @overdue_at: placed: when the placement is taken back; stopping: when the
 *              worker's lease is no longer renewed
 * @start_expires_at: when a worker certainly refuses its start, which carries
 *                    the end of a lease
 * @refused_starts: number of its last runs that did not begin
 * @short_runs: number of its last runs that lasted only briefly, of a
 *              long-running task
 * @retry_at: time before which it is not placed again
 */
struct zr_cell_task {
	int state;
	uint32_t attempt;
	uint32_t failures;
	uint32_t failed_attempt;
	uint32_t crashes;
	uint32_t certain_crashes;
	uint32_t possible_crashes;
	enum zr_suspicion suspicion;
	bool isolated;
	bool settle_polled;
	uint32_t crash_evidence;
	zr_handle worker;
	uint32_t incarnation;
	uint64_t change;
	uint64_t visible_after;
	int64_t sent_at;
	int64_t started_at;
	bool stop_sent;
	bool finished;
	zr_handle avoided_worker;
	int64_t avoided_until;
	uint32_t percent;
	int64_t percent_at;
	char *checkpoint;
	uint32_t refused_checkpoint_attempt;
	bool evacuating;
	uint8_t evacuation_logged;
	int64_t placed_at;
	struct zr_speed_progress progress;
	bool whole_run;
	uint8_t saved_percent;
	bool slow_logged;
	uint64_t uncertain_event;
	uint32_t stops;
	int64_t stop_sent_at;
	int64_t overdue_at;
	int64_t start_expires_at;
	uint32_t refused_starts;
	uint32_t short_runs;
	int64_t retry_at;
};

/**
 * struct zr_cell_permission - the adviser's answer for a step and a worker
 * @worker: the worker
 * @permitted: the step may run there; this never changes
 * @expires_at: when @ticket expires
 * @ticket: permit that a start has to carry; NULL: there is none
 */
struct zr_cell_permission {
	zr_handle worker;
	bool permitted;
	int64_t expires_at;
	char *ticket;
};

/**
 * struct zr_cell_reservation - capacity that a waiting step keeps from others
 * @since: when it began; 0: there is none
 * @renewed_at: last pass that has renewed it
 * @retry_at: time before which the step reserves nothing
 * @expired: number of reservations that were given up since the step was last
 *           placed
 */
struct zr_cell_reservation {
	int64_t since;
	int64_t renewed_at;
	int64_t retry_at;
	uint32_t expired;
};

/**
 * struct zr_cell_step_state - state of one occurrence of a step
 * @spec: the step as submitted
 * @job: its job
 * @occurrence: occurrence of the job's steps, counted from 0
 * @number: index of the step in the specification of the job
 * @first_task: index of its first task in &struct zr_cell_job.tasks
 * @waiting: number of tasks that wait to be placed
 * @active_tasks: number of tasks with an active run
 * @done: number of completed tasks
 * @failed_runs: of a gang, number of its runs that failed, each counted once
 *               however many of its members have failed
 * @failed_attempt: of a gang, attempt of the last of those; 0: there is none
 * @due_at: time before which it must not start
 * @ready_at: when it became ready, all earlier steps being done; ZR_CELL_NEVER
 *            before
 * @waiting_since: of long-running tasks, when the last run of one ended; 0:
 * none has
 * @retry_at: time before which the adviser is not queried for it
 * @permissions: the adviser's answers, one for each worker that was queried
 * @permission_count: number of answers
 * @permission_index: by the index of a worker's handle, the position of its
 *                    answer in @permissions, counted from 1; 0: no answer
 * @permission_index_size: number of elements of @permission_index
 * @pending_queries: number of queries to the adviser that are not answered
 * @gang_placed_at: of a gang, when its current run was placed; 0: never
 * @gang_stopping: of a gang, all members of that run are being stopped
 * @gang_domain: of a gang, number of the failure domain in which it reserves
 *               capacity; 0: none chosen
 * @reservation: capacity that it reserves while it waits
 * @unfit: in the last pass it did not fit on the workers even if all runs that
 *         end had ended
 * @unfit_since: first pass in a row in which it did not; 0: it does
 * @unfit_logged: that it does not fit has been logged
 * @isolation_wanted_since: when a suspect of it first found no worker of its
 *                          own; 0: none waits for one
 * @prev: previous step in the list of ready steps
 * @next: next step in that list
 * @in_ready_list: it is in that list
 * @rank: position in that list, computed before each pass; the lowest is first
 * @evacuation_pass: number of the last decision about evacuated domains that
 *                   has considered it, if it is a gang
 * @speed_class: number of its class of run times; 0: not looked up, or none
 * @has_moved: a task of it was slow and has been moved to a faster worker
 * @gang_attempt: of a gang, attempt of its current run
 * @gang_answered: of a gang, number of members of that run whose start has had
 *                 a response
 * @gang_answer_ms: of a gang, time that the response took of the member with
 *                  which half of them had one; 0: fewer have
 * @gang_complete: of a gang, all members of that run have been running
 */
struct zr_cell_step_state {
	const struct zr_cell_step_spec *spec;
	zr_handle job;
	uint32_t occurrence;
	uint32_t number;
	uint32_t first_task;
	uint32_t waiting;
	uint32_t active_tasks;
	uint32_t done;
	uint32_t failed_runs;
	uint32_t failed_attempt;
	int64_t due_at;
	int64_t ready_at;
	int64_t waiting_since;
	int64_t retry_at;
	struct zr_cell_permission *permissions;
	size_t permission_count;
	uint16_t *permission_index;
	size_t permission_index_size;
	uint32_t pending_queries;
	int64_t gang_placed_at;
	bool gang_stopping;
	uint32_t gang_domain;
	struct zr_cell_reservation reservation;
	bool unfit;
	int64_t unfit_since;
	bool unfit_logged;
	int64_t isolation_wanted_since;
	struct zr_cell_step_state *prev;
	struct zr_cell_step_state *next;
	bool in_ready_list;
	int64_t rank;
	uint64_t evacuation_pass;
	uint32_t speed_class;
	bool has_moved;
	uint32_t gang_attempt;
	uint32_t gang_answered;
	int64_t gang_answer_ms;
	bool gang_complete;
};

/**
 * struct zr_cell_use_charge - use of runs of a job that have ended
 * @generation: generation of the record of past use that includes it
 * @core_ms: core-milliseconds
 * @runs: number of runs
 * @change: number of the change of the job that persists it
 * @pending: that change is not persisted yet
 */
struct zr_cell_use_charge {
	uint64_t generation;
	int64_t core_ms;
	uint32_t runs;
	uint64_t change;
	bool pending;
};

/**
 * struct zr_cell_terms - what a queue requires of the workers of its jobs
 *
 * Those of the configuration in force or, once the queue has been removed,
 * those that were last in force; after a change of the owner, those of the
 * acceptance.
 *
 * @pool: pool of the workers
 * @advised: the adviser has to permit them
 * @advise_ms: base duration of a query to the adviser
 * @advise_worker_us: additional duration for each worker that it names
 * @permit_ms: validity of a ticket
 */
struct zr_cell_terms {
	char pool[ZR_NAME_MAX];
	bool advised;
	uint32_t advise_ms;
	uint32_t advise_worker_us;
	uint32_t permit_ms;
};

/**
 * struct zr_cell_job - a job
 * @id: its id
 * @self: its handle
 * @queue: name of its queue
 * @client: its client account
 * @terms: what its queue requires of the workers
 * @spec: what was submitted
 * @steps: its steps, once for each occurrence
 * @step_count: number of entries in @steps
 * @occurrence_count: number of occurrences of its steps
 * @first_open: first occurrence that is not done
 * @next_occurrence: first occurrence that has not become due, or whose steps
 * are not listed yet because too many are
 * @ready_steps: number of its steps in the list of ready steps
 * @in_timed_list: it is in the list of jobs with such an occurrence
 * @timed_prev: previous job in that list
 * @timed_next: next job in that list
 * @tasks: tasks of all steps; NULL once only the result is needed
 * @task_count: number of tasks
 * @done_tasks: number of completed tasks
 * @lasts: a step of it is long-running
 * @priority: priority of the queue; 0 is the highest
 * @attempts: number of failed runs of a task, or of a gang, that fail the job
 * @stretch_permille: objective of the job's time, as a multiple of the sum of
 *                    the estimates of its steps
 * @latency_target_ms: added to that objective
 * @accepted_at: when it was accepted
 * @over_share: the client account exceeded its rate when the job was accepted
 * @state: current state, as callers see it
 * @persisted_state: state that is persisted
 * @has_started: a worker has started a task of it, as far as is known
 * @cancel_found: loading found a cancellation in the store
 * @end_logged: its end has been logged
 * @has_suspects: a task of it is, or was, suspected to crash its workers
 * @active_tasks: number of tasks with an active run
 * @ended_at: when it ended, in milliseconds since 1970
 * @change: number of the latest change
 * @persisted_change: number of the latest change that is persisted
 * @pending_change: number of the change that is being committed; 0: none
 * @rejected_change: number of the change that did not fit into a record; 0:
 * none
 * @revision: revision of its progress record in the store; 0: no record
 * @dirty: it is in the list of jobs with changes to commit
 * @prev: previous job in that list
 * @next: next job in that list
 * @use: charges of two generations, by the last bit of the generation; the
 *       record of past use may not include them yet
 * @arrival_counted: the summary of the load has counted its work
 */
struct zr_cell_job {
	char id[ZR_NAME_MAX];
	zr_handle self;
	char queue[ZR_NAME_MAX];
	zr_handle client;
	struct zr_cell_terms terms;
	struct zr_cell_job_spec spec;
	struct zr_cell_step_state *steps;
	uint32_t step_count;
	uint32_t occurrence_count;
	uint32_t first_open;
	uint32_t next_occurrence;
	uint32_t ready_steps;
	bool in_timed_list;
	struct zr_cell_job *timed_prev;
	struct zr_cell_job *timed_next;
	struct zr_cell_task *tasks;
	uint32_t task_count;
	uint32_t done_tasks;
	bool lasts;
	uint32_t priority;
	uint32_t attempts;
	uint32_t stretch_permille;
	uint32_t latency_target_ms;
	int64_t accepted_at;
	bool over_share;
	enum zr_cell_job_state state;
	enum zr_cell_job_state persisted_state;
	bool has_started;
	bool cancel_found;
	bool end_logged;
	bool has_suspects;
	uint32_t active_tasks;
	int64_t ended_at;
	uint64_t change;
	uint64_t persisted_change;
	uint64_t pending_change;
	uint64_t rejected_change;
	int64_t revision;
	bool dirty;
	struct zr_cell_job *prev;
	struct zr_cell_job *next;
	struct zr_cell_use_charge use[2];
	bool arrival_counted;
	UT_hash_handle hh;
};

/**
 * struct zr_cell_client_state - usage of a client account
 * @name: its name
 * @used_millicpus: processors reserved for its active runs
 * @used_memory_mb: memory reserved for them
 * @used_accelerators: accelerators reserved for them
 * @limit: maximum usage; a member of 0 means no limit
 * @weight: its share when the cell is full, in jobs per second; 0: any rate
 * @credit: token bucket of its job rate, in thousandths of a job
 * @credit_updated_at: acceptance time up to which @credit has been refilled
 * @past_use_permille: how far its past use delays its jobs; 0: not at all
 * @waiting_steps: number of ready steps when past use was last judged
 * @balance: @credit minus the jobs that exceeded the rate, in thousandths of a
 *           job; at least minus the largest credit
 */
struct zr_cell_client_state {
	char name[ZR_NAME_MAX];
	uint64_t used_millicpus;
	uint64_t used_memory_mb;
	uint64_t used_accelerators;
	struct zr_resources limit;
	uint32_t weight;
	int64_t credit;
	int64_t credit_updated_at;
	uint32_t past_use_permille;
	uint32_t waiting_steps;
	int64_t balance;
};

/** &struct zr_cell_ack.task if the change alone has to be persisted */
#define ZR_CELL_ACK_NO_TASK UINT32_MAX

/**
 * struct zr_cell_ack - what to persist before ended runs are confirmed
 * @job: a job
 * @change: number of the change
 * @task: task that has succeeded in an earlier run and has an active one, until
 *        it is done; ZR_CELL_ACK_NO_TASK: none
 */
struct zr_cell_ack {
	zr_handle job;
	uint64_t change;
	uint32_t task;
};

/**
 * struct zr_cell_worker - a worker
 * @report: its registration
 * @self: its handle
 * @registered: it is in the registry
 * @registered_at: when a change of its entry in the registry was last applied
 * @registry_revision: store revision of the entry that was last applied, or of
 *                     its deletion
 * @in_current_read: it is in the copy of the registry that is being processed
 * @state: &enum zr_worker_state
 * @conn: connection to the worker
 * @used_millicpus: processors reserved for its active runs
 * @used_memory_mb: memory reserved for them
 * @used_accelerators: accelerators reserved for them
 * @runs: tasks with an active run on the worker
 * @run_count: number of runs
 * @run_alloc: allocated size of @runs
 * @clock_ms: its clock in its last response; -1: not known
 * @clock_at: when that was received
 * @responded_at: when it last responded to a request
 * @silent_since: when the first request after that failed; ZR_CELL_NEVER: none
 *                has failed
 * @silence_broke: the connection of that request broke before its timeout, as
 *                 in a crash
 * @last_silent_since: the same before its last response; 0: none has failed
 * @last_silence_broke: likewise
 * @lease_expires_ms: end of its latest lease, on its own clock
 * @runs_expire_at: when its runs have certainly ended if it does not respond
 *                before
 * @last_end_processed: number of the last ended run that was processed
 * @last_end_acked: number of the last ended run whose effects are persisted
 * @last_ack_delivered: highest acknowledgement in a poll that was answered
 * @unconfirmed_event: event number of the last request that failed, or response
 *                     with an earlier clock, as after a restart
 * @confirmed_event: event number of the latest poll that was answered by
 *                   &struct zr_cell_worker_report.incarnation
 * @confirmed_at: when that answer was received
 * @acks: changes to persist before @last_end_processed is confirmed
 * @ack_count: number of changes
 * @ack_alloc: allocated size of @acks
 * @poll_in_flight: a poll is in flight
 * @poll_sent_at: when the last poll was sent
 * @failed_polls: number of consecutive polls that failed
 * @lost_polls: the same, whatever the worker has answered in between
 * @poll_due_at: when the next poll is due; ZR_CELL_NEVER: none
 * @backoff_until: time until which no tasks are placed there
 * @unanswered_until: the same because of a start that was not answered
 * @unanswered: share of its starts that were not answered, smoothed
 * @last_failed_job: job that failed there last; reset by a successful run
 * @failures: number of consecutive failures, each of another job than the last
 * @slowdown: ratio of run times to their estimates, smoothed; 0: not known
 * @slowdown_at: when @slowdown was last updated
 * @reserved_for_job: job of the step that reserves capacity there
 * @reserved_for_step: number of that step
 * @reserved_until: when the reservation expires unless it is renewed
 * @isolation_job: the only job that may place tasks there; ZR_HANDLE_NONE: any
 *                 job may
 * @isolated_runs: number of its runs that are isolated
 * @isolation_until: when @isolation_job ends, without isolated runs
 * @domain: number of its failure domain, counted from 1; 0: not known
 * @candidate_index: its position in &struct zr_cell_plan.candidates, counted
 *                   from 1; 0: none
 * @speed: its learned speed
 * @logged_band: band of its speed that was logged last
 * @logged_faulty: whether it was logged as faulty
 * @outcome_poll_in_flight: a poll is in flight that shows the outcomes of
 *                          starts without a response
 * @late_ack_until: until when a poll that acknowledges ends and has no response
 *                  may be carried out; 0: there is none
 * @leaves_at: when it leaves, as it has announced; ZR_CELL_NEVER: not known
 * @incarnation_confirmed: the incarnation in @report is that of an answer; it
 * is that of the registration otherwise
 * @announced_event: event number at which the registration began to have a
 * later incarnation than the confirmed one; 0: it has not, or a later answer
 * has shown that it is not that of the worker
 * @announced_incarnation: that incarnation
 * @announced_poll_at: when the last poll was requested to confirm it
 * @described_incarnation: incarnation of the registration in @report; 0: the
 *                         registration names none
 * @lease_withheld: its lease is not renewed, and nothing is placed there, since
 *                  it has not carried out a stop in time
 * @outcome_polls: number of the last polls for outcomes that had no response
 * @outcome_poll_sent_at: when the last of them was sent
 */
struct zr_cell_worker {
	struct zr_cell_worker_report report;
	zr_handle self;
	bool registered;
	int64_t registered_at;
	int64_t registry_revision;
	bool in_current_read;
	int state;
	struct zr_cell_worker_conn conn;
	uint64_t used_millicpus;
	uint64_t used_memory_mb;
	uint64_t used_accelerators;
	struct zr_cell_ref *runs;
	size_t run_count;
	size_t run_alloc;
	int64_t clock_ms;
	int64_t clock_at;
	int64_t responded_at;
	int64_t silent_since;
	bool silence_broke;
	int64_t last_silent_since;
	bool last_silence_broke;
	int64_t lease_expires_ms;
	int64_t runs_expire_at;
	int64_t last_end_processed;
	int64_t last_end_acked;
	int64_t last_ack_delivered;
	uint64_t unconfirmed_event;
	uint64_t confirmed_event;
	int64_t confirmed_at;
	struct zr_cell_ack *acks;
	size_t ack_count;
	size_t ack_alloc;
	bool poll_in_flight;
	int64_t poll_sent_at;
	uint32_t failed_polls;
	uint32_t lost_polls;
	int64_t poll_due_at;
	int64_t backoff_until;
	int64_t unanswered_until;
	double unanswered;
	zr_handle last_failed_job;
	uint32_t failures;
	double slowdown;
	int64_t slowdown_at;
	zr_handle reserved_for_job;
	uint32_t reserved_for_step;
	int64_t reserved_until;
	zr_handle isolation_job;
	uint32_t isolated_runs;
	int64_t isolation_until;
	uint32_t domain;
	size_t candidate_index;
	struct zr_worker_speed speed;
	int logged_band;
	bool logged_faulty;
	bool outcome_poll_in_flight;
	int64_t late_ack_until;
	int64_t leaves_at;
	bool incarnation_confirmed;
	uint64_t announced_event;
	int64_t announced_incarnation;
	int64_t announced_poll_at;
	int64_t described_incarnation;
	bool lease_withheld;
	uint32_t outcome_polls;
	int64_t outcome_poll_sent_at;
	UT_hash_handle hh;
};

/** Maximum number of failure domains; workers of others belong to none. */
#define ZR_CELL_DOMAINS_MAX 32

/**
 * struct zr_cell_domain - a failure domain
 * @name: its name
 * @unanswered_since: when the first start was sent after the last response from
 *                    the domain; ZR_CELL_NEVER: none was sent
 */
struct zr_cell_domain {
	char name[ZR_NAME_MAX];
	int64_t unanswered_since;
};

/**
 * struct zr_cell_use_marks - which charges the record of past use includes
 * @enabled: past use is recorded
 * @generation: generation of charges made now; the term's fencing token in the
 *              high bits, so that a later owner's generations are higher
 * @closing: generation whose record is to be persisted next; 0: none
 * @persisted: generation of the record in the store
 * @pending: number of jobs with charges that are not persisted yet, by the last
 *           bit of the generation
 */
struct zr_cell_use_marks {
	bool enabled;
	uint64_t generation;
	uint64_t closing;
	uint64_t persisted;
	uint32_t pending[2];
};

/**
 * struct zr_cell_model - jobs, workers and client accounts of a cell
 * @jobs: &struct zr_cell_job pointers by handle
 * @job_by_id: jobs by id
 * @workers: &struct zr_cell_worker pointers by handle
 * @worker_by_name: workers by name
 * @clients: &struct zr_cell_client_state pointers by handle
 * @ready: ready steps with waiting tasks, of occurrences that are due; sorted
 * by rank during a pass
 * @timed: jobs with an occurrence whose steps are not listed yet
 * @dirty: jobs with changes to commit
 * @slowdown: ratio of run times to their estimates on all workers, smoothed;
 *            0: not known
 * @unanswered: share of the starts on all workers that were not answered,
 *              smoothed
 * @domains: failure domains of the workers
 * @domain_count: number of failure domains
 * @use: what the record of past use includes
 * @start_ms: time until a start had its response, smoothed; 0: not known
 */
struct zr_cell_model {
	struct zr_table *jobs;
	struct zr_cell_job *job_by_id;
	struct zr_table *workers;
	struct zr_cell_worker *worker_by_name;
	struct zr_table *clients;
	struct zr_cell_step_state *ready;
	struct zr_cell_job *timed;
	struct zr_cell_job *dirty;
	double slowdown;
	double unanswered;
	struct zr_cell_domain domains[ZR_CELL_DOMAINS_MAX];
	uint32_t domain_count;
	struct zr_cell_use_marks use;
	double start_ms;
};

int zr_cell_model_init(struct zr_cell_model *model);
/**
 * zr_cell_model_reset() - remove everything
 *
 * The tables go on: the handle of a removed entry never names a later one.
 */
void zr_cell_model_reset(struct zr_cell_model *model);
/** zr_cell_model_clear() - free the model */
void zr_cell_model_clear(struct zr_cell_model *model);

struct zr_cell_job *zr_cell_job(const struct zr_cell_model *model,
				zr_handle job);
/**
 * zr_cell_ref_job() - the job of a task that was referred to earlier
 *
 * Return: NULL if the job is gone, or only its result is left: it has no steps
 * and no tasks then.
 */
struct zr_cell_job *zr_cell_ref_job(const struct zr_cell_model *model,
				    struct zr_cell_ref ref);
struct zr_cell_job *zr_cell_job_find(const struct zr_cell_model *model,
				     const char *id);
struct zr_cell_worker *zr_cell_worker(const struct zr_cell_model *model,
				      zr_handle worker);
struct zr_cell_worker *zr_cell_worker_find(const struct zr_cell_model *model,
					   const char *name);
struct zr_cell_client_state *zr_cell_client(const struct zr_cell_model *model,
					    zr_handle client);

/** zr_cell_worker_get_or_add() - find a worker by name; add it if it is new */
struct zr_cell_worker *zr_cell_worker_get_or_add(struct zr_cell_model *model,
						 const char *name);
void zr_cell_worker_remove(struct zr_cell_model *model,
			   struct zr_cell_worker *worker);
/**
 * zr_cell_worker_disconnect() - close the connection to a worker, if any
 * @worker: the worker
 *
 * It has no connection when the callbacks of the requests in flight run.
 */
void zr_cell_worker_disconnect(struct zr_cell_worker *worker);
/** zr_cell_client_get_or_add() - find a client account; add it if it is new */
zr_handle zr_cell_client_get_or_add(struct zr_cell_model *model,
				    const char *name);

/**
 * zr_cell_job_add() - add a job
 * @model: the model
 * @id: its id
 * @spec: what was submitted; cleared, since the job takes its contents
 * @client: name of its client account
 *
 * Return: the job, with all tasks waiting and no step ready.
 */
struct zr_cell_job *zr_cell_job_add(struct zr_cell_model *model, const char *id,
				    struct zr_cell_job_spec *spec,
				    const char *client);
void zr_cell_job_remove(struct zr_cell_model *model, struct zr_cell_job *job);

/**
 * zr_cell_task_set_checkpoint() - set the checkpoint that a task resumes from
 * @task: the task
 * @checkpoint: the checkpoint, which is copied; "": there is none
 *
 * Return: 0, or ZR_E_TOO_LARGE if it has ZR_CELL_CHECKPOINT_MAX bytes or more.
 * The task then keeps the earlier one.
 */
int zr_cell_task_set_checkpoint(struct zr_cell_task *task,
				const char *checkpoint);
/** zr_cell_task_checkpoint() - the checkpoint of a task; "": there is none */
static inline const char *
zr_cell_task_checkpoint(const struct zr_cell_task *task)
{
	return task->checkpoint ? task->checkpoint : "";
}
/** zr_cell_job_free_tasks() - free the steps and tasks of an ended job */
void zr_cell_job_free_tasks(struct zr_cell_model *model,
			    struct zr_cell_job *job);

/**
 * zr_cell_job_has_ended() - whether a job completed, failed or was cancelled
 */
bool zr_cell_job_has_ended(const struct zr_cell_job *job);

/** zr_cell_job_mark_dirty() - count a change and list the job as dirty */
void zr_cell_job_mark_dirty(struct zr_cell_model *model,
			    struct zr_cell_job *job);

/**
 * zr_cell_job_update() - complete a job if all tasks are done, list ready steps
 * @model: the model
 * @job: the job
 * @now: the current time in milliseconds
 * @wall_ms: wall clock time, in milliseconds since 1970
 *
 * Only steps of occurrences that are due are listed, and no further occurrence
 * while 256 steps of the job are.
 */
void zr_cell_job_update(struct zr_cell_model *model, struct zr_cell_job *job,
			int64_t now, int64_t wall_ms);

/**
 * zr_cell_model_update_due() - update the jobs with an occurrence that has
 * become due
 * @model: the model
 * @now: the current time in milliseconds
 * @wall_ms: wall clock time, in milliseconds since 1970
 */
void zr_cell_model_update_due(struct zr_cell_model *model, int64_t now,
			      int64_t wall_ms);

/**
 * zr_cell_step_unlist_placed() - remove a step from the list of ready steps if
 * none of its tasks waits
 */
void zr_cell_step_unlist_placed(struct zr_cell_model *model,
				struct zr_cell_step_state *step);

/** zr_cell_task_step() - the step of a task given by its index in the job */
struct zr_cell_step_state *zr_cell_task_step(const struct zr_cell_job *job,
					     uint32_t task);
struct zr_cell_task_name zr_cell_task_name(const struct zr_cell_job *job,
					   uint32_t task);
/**
 * zr_cell_task_find() - find a task by name
 * @out: set to the index of the task in the job's tasks
 * @model: the model
 * @name: the name
 *
 * Return: its job; NULL if there is no such task.
 */
struct zr_cell_job *zr_cell_task_find(uint32_t *out,
				      const struct zr_cell_model *model,
				      const struct zr_cell_task_name *name);

/**
 * zr_cell_task_begin_run() - begin a run of a task and reserve its resources
 * @model: the model
 * @job: the job
 * @task: index of the task in the job's tasks
 * @worker: where it runs
 * @event: ZR_TASK_EVENT_PLACED or ZR_TASK_EVENT_FOUND
 *
 * Does nothing if the state of the task does not allow @event.
 */
void zr_cell_task_begin_run(struct zr_cell_model *model,
			    struct zr_cell_job *job, uint32_t task,
			    struct zr_cell_worker *worker,
			    enum zr_task_event event);
/**
 * zr_cell_task_end_run() - end the active run of a task, if it has one
 * @model: the model
 * @job: the job
 * @task: index of the task in the job's tasks
 * @event: ZR_TASK_EVENT_DONE: the task is done; ZR_TASK_EVENT_GONE: it waits
 *
 * Does nothing if the state of the task does not allow @event.
 */
void zr_cell_task_end_run(struct zr_cell_model *model, struct zr_cell_job *job,
			  uint32_t task, enum zr_task_event event);
/**
 * zr_cell_worker_end_isolation() - let other jobs join an isolated run
 * @worker: worker of the run
 * @task: the task
 */
void zr_cell_worker_end_isolation(struct zr_cell_worker *worker,
				  struct zr_cell_task *task);
/**
 * zr_cell_task_event() - change the state of a task whose run stays active
 * @task: the task
 * @event: the event
 *
 * Return: as zr_chart_step().
 */
int zr_cell_task_event(struct zr_cell_task *task, enum zr_task_event event);

/**
 * zr_cell_worker_overcommitted() - whether the runs need more than the capacity
 *
 * The capacity of a worker may shrink while it has runs.
 */
bool zr_cell_worker_overcommitted(const struct zr_cell_worker *worker);

/** zr_cell_worker_unresponsive() - whether a worker's latest poll failed */
bool zr_cell_worker_unresponsive(const struct zr_cell_worker *worker);
/**
 * zr_cell_worker_free_resources() - capacity of a worker minus what its active
 * runs reserve
 */
struct zr_resources
zr_cell_worker_free_resources(const struct zr_cell_worker *worker);
/** zr_cell_need() - resources that a task of a step reserves on its worker */
struct zr_resources zr_cell_need(const struct zr_cell_step_spec *step);
/**
 * zr_cell_client_remaining_tasks() - number of tasks that the limit of a client
 * account still allows
 */
uint32_t
zr_cell_client_remaining_tasks(const struct zr_cell_client_state *client,
			       const struct zr_resources *need);

#endif

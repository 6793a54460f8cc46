#ifndef ZR_CELL_MODEL_H
#define ZR_CELL_MODEL_H

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#include "zinniarack/cell.h"
#include "zinniarack/charts.h"
#include "zinniarack/frontend.h"
#include "zinniarack/table.h"

/**
 * DOC: What the active scheduler of a cell knows
 *
 * Jobs with their steps and tasks, workers with what they hold, client accounts
 * with what they use. Functions here keep the sums right; they decide nothing
 * and call nobody. Times are milliseconds of the scheduler's clock unless said
 * otherwise.
 */

/** Marks a time that has not come. */
#define ZR_CELL_NEVER INT64_MAX

/** No look tells whether a run is there. */
#define ZR_CELL_UNSETTLED UINT64_MAX

/** struct zr_cell_ref - names a task: a job, and the place among its tasks */
struct zr_cell_ref {
	zr_handle job;
	uint32_t task;
};

/**
 * struct zr_cell_task - a task and its open run
 * @state: &enum zr_task_state
 * @attempt: number of its latest run
 * @failures: runs that ended as failed
 * @worker: where its open run is
 * @change: the job's change number at which it was placed
 * @settled: a look sent after this many events must show the run if it is
 *there; ZR_CELL_UNSETTLED while a start may still be on its way
 * @started_at: when its start was confirmed
 * @stop_sent: a stop is on its way
 * @finished: a run of it has ended as done
 * @avoid: a worker on which it has failed
 * @percent: how far it has come, as last reported
 * @percent_at: when that changed
 * @checkpoint: where it can resume, or ""
 */
struct zr_cell_task {
	int state;
	uint32_t attempt;
	uint32_t failures;
	zr_handle worker;
	uint64_t change;
	uint64_t settled;
	int64_t started_at;
	bool stop_sent;
	bool finished;
	zr_handle avoid;
	uint32_t percent;
	int64_t percent_at;
	char checkpoint[ZR_CELL_TOKEN_MAX];
};

/**
 * struct zr_cell_pass - the adviser's word on a worker for a step
 * @worker: the worker
 * @permitted: whether the step may run there, which does not change
 * @until: the ticket is valid until then
 * @ticket: what a start must carry
 */
struct zr_cell_pass {
	zr_handle worker;
	bool permitted;
	int64_t until;
	char ticket[ZR_CELL_TOKEN_MAX];
};

/**
 * struct zr_cell_step_row - one occurrence of a step
 * @spec: the step
 * @job: its job
 * @occurrence: which occurrence
 * @number: its number in the job
 * @first: its first task among the job's
 * @waiting: tasks that wait
 * @open: tasks with an open run
 * @done: tasks that are done
 * @failures: of a gang, runs that ended as failed
 * @due_at: not to start before
 * @ready_at: since when its earlier steps are done; ZR_CELL_NEVER before
 * @retry_at: not to be tried before
 * @passes: what the adviser said of each worker that it was asked about
 * @pass_count: how many
 * @pass_index: place in @passes, counted from 1, by a worker's index
 * @pass_index_size: how many
 * @asking: questions to the adviser that are open
 * @begun_at: of a gang, when all its members were placed last; 0: never
 * @breaking: of a gang, all members of that run are being stopped
 * @home: of a gang, the failure domain in which it gathers; 0: none yet
 * @prev: in the list of ready steps
 * @next: likewise
 * @listed: whether it is there
 * @rank: order in that list, computed before each pass
 */
struct zr_cell_step_row {
	const struct zr_cell_step *spec;
	zr_handle job;
	uint32_t occurrence;
	uint32_t number;
	uint32_t first;
	uint32_t waiting;
	uint32_t open;
	uint32_t done;
	uint32_t failures;
	int64_t due_at;
	int64_t ready_at;
	int64_t retry_at;
	struct zr_cell_pass *passes;
	size_t pass_count;
	uint16_t *pass_index;
	size_t pass_index_size;
	uint32_t asking;
	int64_t begun_at;
	bool breaking;
	uint32_t home;
	struct zr_cell_step_row *prev;
	struct zr_cell_step_row *next;
	bool listed;
	int64_t rank;
};

/**
 * struct zr_cell_job - a job
 * @id: its id
 * @self: its handle
 * @queue: its queue's name
 * @client: its client account
 * @pool: the pool that its queue named at acceptance
 * @spec: what was submitted
 * @steps: occurrences of its steps
 * @step_count: how many
 * @tasks: tasks of all steps
 * @task_count: how many
 * @priority: 0 comes first
 * @attempts: failed runs after which it has failed
 * @stretch_permille: its objective, as a multiple of its work
 * @latency_target_ms: added to that objective
 * @accepted_at: when it was accepted
 * @excess: its client account had sent more than its weight by then
 * @state: as callers see it
 * @kept_state: the same, as the store holds it
 * @begun: a worker has begun a task of it, as far as is known
 * @cancel_found: a cancellation was found while loading
 * @told: its end has been logged
 * @open: tasks with an open run
 * @ended_at: when it ended, of the time of day
 * @change: counts changes that must be kept
 * @written: the change that the store holds
 * @writing: the change that is on its way
 * @revision: of its record in the store, 0: none
 * @dirty: in the journal's list
 * @prev: in that list
 * @next: likewise
 */
struct zr_cell_job {
	char id[ZR_NAME_MAX];
	zr_handle self;
	char queue[ZR_NAME_MAX];
	zr_handle client;
	char pool[ZR_NAME_MAX];
	struct zr_cell_job_spec spec;
	struct zr_cell_step_row *steps;
	uint32_t step_count;
	struct zr_cell_task *tasks;
	uint32_t task_count;
	uint32_t priority;
	uint32_t attempts;
	uint32_t stretch_permille;
	uint32_t latency_target_ms;
	int64_t accepted_at;
	bool excess;
	enum zr_cell_job_state state;
	enum zr_cell_job_state kept_state;
	bool begun;
	bool cancel_found;
	bool told;
	uint32_t open;
	int64_t ended_at;
	uint64_t change;
	uint64_t written;
	uint64_t writing;
	int64_t revision;
	bool dirty;
	struct zr_cell_job *prev;
	struct zr_cell_job *next;
	UT_hash_handle hh;
};

/**
 * struct zr_cell_client_row - a client account
 * @name: its name
 * @used: what its open runs hold
 * @limit: its upper limit; a zero member sets none
 * @weight: its share when all is full, in jobs a second
 * @credit: jobs that it may send within its weight, in thousandths
 * @charged_at: when the last of them was accepted
 */
struct zr_cell_client_row {
	char name[ZR_NAME_MAX];
	uint64_t used_millicpus;
	uint64_t used_memory_mb;
	uint64_t used_accelerators;
	struct zr_resources limit;
	uint32_t weight;
	int64_t credit;
	int64_t charged_at;
};

/** struct zr_cell_ack - a job's change that a worker's ends wait for */
struct zr_cell_ack {
	zr_handle job;
	uint64_t change;
};

/**
 * struct zr_cell_worker - a worker
 * @report: what the registry says
 * @self: its handle
 * @listed: whether the registry holds it
 * @seen_listed: the read in hand holds it
 * @state: &enum zr_worker_state
 * @orders: how it is called
 * @used: what open runs hold
 * @runs: open runs
 * @run_count: how many
 * @run_room: room of @runs
 * @clock_ms: its clock when it was last heard, -1: never
 * @clock_at: when that was
 * @lease_until_ms: end of the lease given last, on its clock
 * @silent_until: nothing of ours can run there from then on if it stays silent
 * @seen: the last end that was taken in
 * @confirmed: the last end whose effects the store holds
 * @acks: changes that must be kept before @seen is confirmed
 * @ack_count: how many
 * @ack_room: room of @acks
 * @looking: a look is open
 * @look_sent_at: since when
 * @unanswered: looks in a row that were not answered
 * @look_due: when the next one is due; ZR_CELL_NEVER: none
 * @suspect_until: gets no work until then
 * @blamed: the job that failed there last
 * @failures: failures in a row, of different jobs
 * @pace: run times there over estimates, smoothed; 0: not known
 * @pace_at: when that was last seen
 * @keeper: the job of the gang that gathers room there
 * @keeper_step: its step
 * @kept_until: until then, if it does not renew that
 * @domain: its failure domain, counted from 1; 0: not known
 * @spot: its place among the spots of the pass in hand, from 1; 0: none
 */
struct zr_cell_worker {
	struct zr_worker_report report;
	zr_handle self;
	bool listed;
	bool seen_listed;
	int state;
	struct zr_cell_orders orders;
	uint64_t used_millicpus;
	uint64_t used_memory_mb;
	uint64_t used_accelerators;
	struct zr_cell_ref *runs;
	size_t run_count;
	size_t run_room;
	int64_t clock_ms;
	int64_t clock_at;
	int64_t lease_until_ms;
	int64_t silent_until;
	int64_t seen;
	int64_t confirmed;
	struct zr_cell_ack *acks;
	size_t ack_count;
	size_t ack_room;
	bool looking;
	int64_t look_sent_at;
	uint32_t unanswered;
	int64_t look_due;
	int64_t suspect_until;
	zr_handle blamed;
	uint32_t failures;
	double pace;
	int64_t pace_at;
	zr_handle keeper;
	uint32_t keeper_step;
	int64_t kept_until;
	uint32_t domain;
	size_t spot;
	UT_hash_handle hh;
};

/** Failure domains that are told apart. */
#define ZR_CELL_DOMAINS_MAX 32

/**
 * struct zr_cell_domain - a failure domain
 * @name: its name
 * @asked_at: when the first order was sent since a worker there last answered;
 *            ZR_CELL_NEVER: none was
 */
struct zr_cell_domain {
	char name[ZR_NAME_MAX];
	int64_t asked_at;
};

/**
 * struct zr_cell_model - all of it
 * @jobs: &struct zr_cell_job pointers by handle
 * @job_by_id: the same by id
 * @workers: &struct zr_cell_worker pointers by handle
 * @worker_by_name: the same by name
 * @clients: &struct zr_cell_client_row pointers by handle
 * @client_by_name: the same by name
 * @ready: steps with waiting tasks whose turn has come, by rank
 * @dirty: jobs with changes that the store does not hold
 * @pace: run times over estimates on all workers, smoothed; 0: not known
 * @domains: failure domains of the workers
 * @domain_count: how many
 */
struct zr_cell_model {
	struct zr_table *jobs;
	struct zr_cell_job *job_by_id;
	struct zr_table *workers;
	struct zr_cell_worker *worker_by_name;
	struct zr_table *clients;
	struct zr_cell_step_row *ready;
	struct zr_cell_job *dirty;
	double pace;
	struct zr_cell_domain domains[ZR_CELL_DOMAINS_MAX];
	uint32_t domain_count;
};

int zr_cell_model_init(struct zr_cell_model *model);
void zr_cell_model_clear(struct zr_cell_model *model);

struct zr_cell_job *zr_cell_job(const struct zr_cell_model *model,
				zr_handle job);
struct zr_cell_job *zr_cell_job_find(const struct zr_cell_model *model,
				     const char *id);
struct zr_cell_worker *zr_cell_worker(const struct zr_cell_model *model,
				      zr_handle worker);
struct zr_cell_worker *zr_cell_worker_find(const struct zr_cell_model *model,
					   const char *name);
struct zr_cell_client_row *zr_cell_client(const struct zr_cell_model *model,
					  zr_handle client);

/** zr_cell_worker_obtain() - the worker of that name, made when it is new */
struct zr_cell_worker *zr_cell_worker_obtain(struct zr_cell_model *model,
					     const char *name);
void zr_cell_worker_remove(struct zr_cell_model *model,
			   struct zr_cell_worker *worker);
zr_handle zr_cell_client_obtain(struct zr_cell_model *model, const char *name);

/**
 * zr_cell_job_add() - take in a job
 * @model: the model
 * @id: its id
 * @spec: what was submitted; taken over
 * @client: its client account
 *
 * Return: the job, with all tasks waiting and no step ready.
 */
struct zr_cell_job *zr_cell_job_add(struct zr_cell_model *model, const char *id,
				    struct zr_cell_job_spec *spec,
				    const char *client);
void zr_cell_job_remove(struct zr_cell_model *model, struct zr_cell_job *job);

/** zr_cell_job_shrink() - keep no more of an ended job than its end */
void zr_cell_job_shrink(struct zr_cell_model *model, struct zr_cell_job *job);

/** zr_cell_job_over() - whether it has completed, failed or been cancelled */
bool zr_cell_job_over(const struct zr_cell_job *job);

/** zr_cell_job_changed() - it has a change that must be kept */
void zr_cell_job_changed(struct zr_cell_model *model, struct zr_cell_job *job);

/** zr_cell_job_review() - find steps whose turn has come, and its end */
void zr_cell_job_review(struct zr_cell_model *model, struct zr_cell_job *job,
			int64_t now, int64_t today_ms);

/** zr_cell_step_unlist_placed() - a step without waiting tasks is not ready */
void zr_cell_step_unlist_placed(struct zr_cell_model *model,
				struct zr_cell_step_row *step);

struct zr_cell_step_row *zr_cell_task_step(const struct zr_cell_job *job,
					   uint32_t task);
struct zr_cell_task_name zr_cell_task_name(const struct zr_cell_job *job,
					   uint32_t task);
/** zr_cell_task_find() - the job of a name and the task's place in it */
struct zr_cell_job *zr_cell_task_find(uint32_t *out,
				      const struct zr_cell_model *model,
				      const struct zr_cell_task_name *name);

/** zr_cell_task_open() - it has an open run on a worker from now on */
void zr_cell_task_open(struct zr_cell_model *model, struct zr_cell_job *job,
		       uint32_t task, struct zr_cell_worker *worker,
		       enum zr_task_event event);
/** zr_cell_task_close() - its run is over; it waits, or is done */
void zr_cell_task_close(struct zr_cell_model *model, struct zr_cell_job *job,
			uint32_t task, enum zr_task_event event);
/** zr_cell_task_event() - move a task that stays open */
int zr_cell_task_event(struct zr_cell_task *task, enum zr_task_event event);

/** zr_cell_worker_silent() - whether it does not answer, as far as is known */
bool zr_cell_worker_silent(const struct zr_cell_worker *worker);
/** zr_cell_worker_free() - what a worker has left */
struct zr_resources zr_cell_worker_free(const struct zr_cell_worker *worker);
/** zr_cell_need() - what a task of a step takes from its worker */
struct zr_resources zr_cell_need(const struct zr_cell_step *step);
/** zr_cell_client_room() - how many tasks more a client account may run */
uint32_t zr_cell_client_room(const struct zr_cell_client_row *client,
			     const struct zr_resources *need);

#endif

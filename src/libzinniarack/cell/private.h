#ifndef ZR_CELL_PRIVATE_H
#define ZR_CELL_PRIVATE_H

#include "cell/advice.h"
#include "cell/journal.h"
#include "cell/model.h"
#include "cell/scheduler.h"
#include "domain/owner.h"

/**
 * DOC: Inside of the scheduler of a cell
 */

/** enum zr_cell_phase - how far a scheduler is */
enum zr_cell_phase {
	ZR_CELL_STANDBY,
	ZR_CELL_LOADING,
	ZR_CELL_ACTIVE,
};

/**
 * struct zr_cell_scheduler - the scheduler
 * @outsized: a larger host could own the cell
 * @reign: counts ownerships; an answer to a call of an earlier one is ignored
 * @events: counts answers of workers and looks sent, to tell which came first
 * @watch_revision: changes of accepted jobs are known up to it
 * @watch_failures: watches that failed since the last one that did not
 * @starts_held: starts were kept by the journal while nothing may be ordered
 * @state_waits: callers who wait until the end of a job is written
 * @registry_asked_at: when it was last asked for
 * @registry_read_at: when the registry was last read with success
 */
struct zr_cell_scheduler {
	struct zr_cell_scheduler_options options;
	const struct zr_cell_config *config;
	struct zr_owner *owner;
	enum zr_cell_phase phase;
	bool outsized;
	uint64_t reign;
	uint64_t token;
	uint64_t events;
	struct zr_cell_model model;
	struct zr_cell_journal *journal;
	struct zr_cell_advice advice;
	struct zr_timer *tick;
	struct zr_timer *plan;
	struct zr_timer *rewatch;
	bool plan_due;
	int64_t watch_revision;
	uint32_t watch_failures;
	bool registry_reading;
	int64_t registry_asked_at;
	int64_t registry_read_at;
	int64_t counts_at;
	void (*released)(void *ctx);
	void *released_ctx;
	bool releasing;
	int64_t release_by;
	bool starts_held;
	struct zr_cell_state_wait *state_waits;
	unsigned int open_calls;
	bool freeing;
	struct zr_metric *starts;
	struct zr_metric *refused;
	struct zr_metric *unanswered;
	struct zr_metric *looks;
	struct zr_metric *lost;
	struct zr_metric *take_overs;
	struct zr_histogram *wait_ms;
	struct zr_histogram *run_ms;
	struct zr_histogram *visible_ms;
};

/* scheduler.c */
int64_t zr_cell_now_ms(const struct zr_cell_scheduler *scheduler);
int64_t zr_cell_wall_ms(const struct zr_cell_scheduler *scheduler);
/** zr_cell_is_owner() - whether its ownership holds at this moment */
bool zr_cell_is_owner(const struct zr_cell_scheduler *scheduler);
/** zr_cell_refresh_client_limits() - client accounts may be new to the model */
void zr_cell_refresh_client_limits(struct zr_cell_scheduler *scheduler);
/** zr_cell_schedule_plan() - something has changed that may let a task start */
void zr_cell_schedule_plan(struct zr_cell_scheduler *scheduler);
/** zr_cell_call_done() - an answer came; false when nobody is left to take it
 */
bool zr_cell_call_done(struct zr_cell_scheduler *scheduler);

/* job_loader.c */
/** zr_cell_load_jobs() - read what the store holds, then become active */
void zr_cell_load_jobs(struct zr_cell_scheduler *scheduler);
void zr_cell_watch_jobs(struct zr_cell_scheduler *scheduler);
/** zr_cell_resume_watch() - go on after a pause, as a timer's function */
void zr_cell_resume_watch(void *ctx);

/* registry.c */
void zr_cell_registry_read(struct zr_cell_scheduler *scheduler);

/* job_state.c */
/** zr_cell_state_queries_job_persisted() - answer those who wait for a job's
 * end */
void zr_cell_state_queries_job_persisted(struct zr_cell_scheduler *scheduler,
					 const struct zr_cell_job *job);
/** zr_cell_state_queries_process() - answer those who have waited long enough
 */
void zr_cell_state_queries_process(struct zr_cell_scheduler *scheduler);
/** zr_cell_state_queries_abort() - the ownership is over: the store has to be
 * asked */
void zr_cell_state_queries_abort(struct zr_cell_scheduler *scheduler);

/* plan.c */
void zr_cell_plan(struct zr_cell_scheduler *scheduler);

/* runs.c */
/** zr_cell_place() - reserve room for a task and let the journal keep it */
void zr_cell_place(struct zr_cell_scheduler *scheduler, struct zr_cell_job *job,
		   uint32_t task, struct zr_cell_worker *worker,
		   uint32_t attempt);
/** zr_cell_start_written() - send the starts that the journal has kept */
void zr_cell_start_written(struct zr_cell_scheduler *scheduler,
			   struct zr_cell_job *job);
/** zr_cell_start_held() - send those that could not be sent when written */
void zr_cell_start_held(struct zr_cell_scheduler *scheduler);
/** zr_cell_stop_run() - end a task's open run */
void zr_cell_stop_run(struct zr_cell_scheduler *scheduler,
		      struct zr_cell_job *job, uint32_t task,
		      const char *reason);
/** zr_cell_stop_job() - end all open runs of a job */
void zr_cell_stop_job(struct zr_cell_scheduler *scheduler,
		      struct zr_cell_job *job, const char *reason);
/** zr_cell_run_over() - a task's open run has ended or cannot be there */
void zr_cell_run_over(struct zr_cell_scheduler *scheduler,
		      struct zr_cell_job *job, uint32_t task,
		      const char *reason);
/** zr_cell_gang_mends() - whether missing members can still join their run */
bool zr_cell_gang_mends(const struct zr_cell_scheduler *scheduler,
			const struct zr_cell_job *job,
			const struct zr_cell_step_row *step);
/** zr_cell_repair_gangs() - stop gangs that were found without a member */
void zr_cell_repair_gangs(struct zr_cell_scheduler *scheduler,
			  struct zr_cell_job *job);
/** zr_cell_finish_waiting() - members that wait although their gang is done */
void zr_cell_finish_waiting(struct zr_cell_model *model,
			    struct zr_cell_job *job,
			    const struct zr_cell_step_row *step);
/** zr_cell_take_end() - a worker lists an ended run */
void zr_cell_take_end(struct zr_cell_scheduler *scheduler,
		      struct zr_cell_worker *worker,
		      const struct zr_cell_end *end);
void zr_cell_job_cancel(struct zr_cell_scheduler *scheduler,
			struct zr_cell_job *job);
/** zr_cell_send_stray_stop() - stop a run that is in no row; not repeated */
void zr_cell_send_stray_stop(struct zr_cell_scheduler *scheduler,
			     struct zr_cell_worker *worker,
			     const struct zr_cell_task_name *task,
			     uint32_t attempt);
/** zr_cell_runs_due() - repeat stops that were not answered */
void zr_cell_runs_due(struct zr_cell_scheduler *scheduler,
		      struct zr_cell_worker *worker);
/** zr_cell_lease_until() - the end of a lease given now, on its clock */
int64_t zr_cell_lease_until(struct zr_cell_scheduler *scheduler,
			    struct zr_cell_worker *worker);
/** zr_cell_heard() - a worker answered and told its clock */
void zr_cell_heard(struct zr_cell_scheduler *scheduler,
		   struct zr_cell_worker *worker, int64_t clock_ms);

/* polls.c */
/** zr_cell_poll_soon() - look at a worker within @after_ms */
void zr_cell_poll_soon(struct zr_cell_scheduler *scheduler,
		       struct zr_cell_worker *worker, int64_t after_ms);
/** zr_cell_poll_extra() - look at once, also while a look waits for an end */
void zr_cell_poll_extra(struct zr_cell_scheduler *scheduler,
			struct zr_cell_worker *worker);
/** zr_cell_polls_process() - send the look that is due, and give up the silent
 */
void zr_cell_polls_process(struct zr_cell_scheduler *scheduler,
			   struct zr_cell_worker *worker);
/** zr_cell_acks_process() - the journal has moved on */
void zr_cell_acks_process(struct zr_cell_scheduler *scheduler);
/** zr_cell_worker_restarted() - a worker started again: nothing of before is
 * there */
void zr_cell_worker_restarted(struct zr_cell_scheduler *scheduler,
			      struct zr_cell_worker *worker,
			      int64_t incarnation);

#endif

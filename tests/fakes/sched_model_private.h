#ifndef SCHED_MODEL_PRIVATE_H
#define SCHED_MODEL_PRIVATE_H

#include <uthash.h>
#include <utlist.h>

#include "fakes/sched_model.h"

/**
 * DOC: State of the scheduler model, shared by its files
 */

enum model_task_state {
	MODEL_WAITING,
	MODEL_RUNNING,
	MODEL_STOPPING,
	MODEL_ENDED,
};

struct model_job;

/**
 * struct model_task - a task
 * @prev: previous task on its worker
 * @next: next task on its worker
 * @name_prev: previous running task of its name
 * @name_next: next running task of its name
 * @job: its job
 * @worker: worker that it runs on; NULL: it does not run
 * @state: its state
 * @attempt: number of the current attempt
 * @last_attempt: highest attempt number so far
 * @may_have_begun: it belongs to an at-most-once job and must not start again
 * @reported: usage was reported for the current attempt
 * @charge: resources charged to its worker and team
 * @peak: largest usage reported for the current attempt
 */
struct model_task {
	struct model_task *prev;
	struct model_task *next;
	struct model_task *name_prev;
	struct model_task *name_next;
	struct model_job *job;
	struct model_worker *worker;
	enum model_task_state state;
	uint32_t attempt;
	uint32_t last_attempt;
	bool may_have_begun;
	bool reported;
	struct zr_resources charge;
	struct zr_resources peak;
};

/**
 * struct model_name - usage reported for the tasks of one team and job name
 * @hh: entry in the table of names
 * @key: `TEAM/NAME`
 * @reported_tasks: number of attempts that have reported usage
 * @smallest: smallest usage reported
 * @running: list of running tasks of this name
 */
struct model_name {
	UT_hash_handle hh;
	char key[2 * ZR_NAME_MAX];
	uint32_t reported_tasks;
	struct zr_resources smallest;
	struct model_task *running;
};

/**
 * struct model_team - a team
 * @hh: entry in the table of teams
 * @name: its name
 * @limit: its limit in the configuration; a member of 0 means no limit
 * @allotment: its allotment; a member of 0 means no limit
 * @has_allotment: whether an allotment was set
 * @used: charges of its running tasks
 * @stopping: the part of @used that belongs to tasks that are being stopped
 * @over_since_ms: time since which @used may exceed a changed limit; 0: it does
 *	not
 */
struct model_team {
	UT_hash_handle hh;
	char name[ZR_NAME_MAX];
	struct zr_resources limit;
	struct zr_resources allotment;
	bool has_allotment;
	struct zr_resources used;
	struct zr_resources stopping;
	int64_t over_since_ms;
};

/**
 * struct model_worker - a worker
 * @hh: entry in the table of workers
 * @handle: its handle in the core
 * @name: its name
 * @state: its state
 * @capacity: its resources
 * @used: charges of its running tasks
 * @tasks: list of its running tasks
 */
struct model_worker {
	UT_hash_handle hh;
	zr_handle handle;
	char name[ZR_NAME_MAX];
	enum zr_sched_worker_state state;
	struct zr_resources capacity;
	struct zr_resources used;
	struct model_task *tasks;
};

/**
 * struct model_job - a job
 * @hh: entry in the table of jobs
 * @changed_prev: previous changed job
 * @changed_next: next changed job
 * @changed: whether it is in the list of changed jobs
 * @id: its id
 * @team: its team
 * @name: usage reported for tasks of its name
 * @kind: its kind
 * @count: number of its tasks
 * @size: declared size of a task
 * @at_most_once: whether its tasks must not start again once they may have
 *	begun
 * @cancelled: whether it was cancelled
 * @held: whether it is held
 * @state: its state as last reported by the core
 * @running: number of tasks that run, including @stopping
 * @stopping: number of running tasks that are being stopped
 * @ended: number of tasks that have succeeded
 * @failures: number of ended attempts for which an at-most-once job may fail
 * @failed_runs: number of failed tasks, or of failed runs of a gang, each
 *	counted once however many of its members fail
 * @run_failed: whether the current run of the gang is in @failed_runs
 * @starts_now: not used
 * @tasks: its tasks
 */
struct model_job {
	UT_hash_handle hh;
	struct model_job *changed_prev;
	struct model_job *changed_next;
	bool changed;
	char id[ZR_JOB_ID_MAX];
	struct model_team *team;
	struct model_name *name;
	enum zr_job_kind kind;
	uint32_t count;
	struct zr_resources size;
	bool at_most_once;
	bool cancelled;
	bool held;
	enum zr_job_state state;
	uint32_t running;
	uint32_t stopping;
	uint32_t ended;
	uint32_t failures;
	uint32_t failed_runs;
	bool run_failed;
	uint32_t starts_now;
	struct model_task *tasks;
};

/**
 * struct sched_model - the model
 * @clock: clock of the core
 * @next: sink of the test
 * @jobs: table of jobs
 * @changed_jobs: list of jobs to check after the next decision
 * @teams: table of teams
 * @workers: table of workers
 * @names: table of job names
 * @violations: number of violations of each rule
 * @first_violation: the first violation as text
 */
struct sched_model {
	const struct zr_clock *clock;
	struct zr_sched_sink next;
	struct model_job *jobs;
	struct model_job *changed_jobs;
	struct model_team *teams;
	struct model_worker *workers;
	struct model_name *names;
	unsigned int violations[SCHED_MODEL_RULE_COUNT];
	char first_violation[512];
};

/** sched_model_violation() - count a violation; the first is kept as text */
void sched_model_violation(struct sched_model *model,
			   enum sched_model_rule rule, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/** sched_model_job_mark_changed() - check a job after the next decision */
void sched_model_job_mark_changed(struct sched_model *model,
				  struct model_job *job);

/**
 * sched_model_check_start() - check a start decision
 * @model: the model
 * @job: job of the task
 * @decided: task, attempt, worker and resources of the decision
 *
 * Return: whether the model can assign the task to the worker.
 */
bool sched_model_check_start(struct sched_model *model, struct model_job *job,
			     const struct zr_sched_task *decided);

/** sched_model_job() - find a job, or NULL */
struct model_job *sched_model_job(const struct sched_model *model,
				  const char *id);
/** sched_model_worker() - find a worker, or NULL */
struct model_worker *sched_model_worker(const struct sched_model *model,
					zr_handle handle);
/** sched_model_team_get_or_add() - find a team, or add it without a limit */
struct model_team *sched_model_team_get_or_add(struct sched_model *model,
					       const char *name);
/** sched_model_name_get_or_add() - find the usage of a team's job name */
struct model_name *sched_model_name_get_or_add(struct sched_model *model,
					       const char *team,
					       const char *job_name);

/** sched_model_task_assign() - charge a task to a worker and its team */
void sched_model_task_assign(struct model_task *task,
			     struct model_worker *worker, uint32_t attempt);
/** sched_model_task_unassign() - end the charges of a task that has ended */
void sched_model_task_unassign(struct model_task *task);
/** sched_model_task_stopping() - mark a task as being stopped */
void sched_model_task_stopping(struct model_task *task);
/** sched_model_min_charge() - charge of a task that starts now */
struct zr_resources sched_model_min_charge(const struct model_job *job);
/** sched_model_task_report() - process a usage report of a running task */
void sched_model_task_report(struct model_task *task,
			     const struct zr_resources *used);

#endif

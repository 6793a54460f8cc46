#ifndef SCHED_MODEL_PRIVATE_H
#define SCHED_MODEL_PRIVATE_H

#include <uthash.h>
#include <utlist.h>

#include "fakes/sched_model.h"

/**
 * DOC: Records of the invariant checker, shared by its files
 */

enum model_task_state {
	MODEL_WAITING,
	MODEL_RUNNING,
	MODEL_STOPPING,
	MODEL_ENDED,
};

struct model_job;

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
	bool spent;
	bool reported;
	struct zr_resources charge;
	struct zr_resources peak;
};

/* Sizes reported by tasks of one team and name. */
struct model_name {
	UT_hash_handle hh;
	char key[2 * ZR_NAME_MAX];
	uint32_t reported_tasks;
	struct zr_resources smallest;
	struct model_task *running;
};

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

struct model_worker {
	UT_hash_handle hh;
	zr_handle handle;
	char name[ZR_NAME_MAX];
	enum zr_sched_worker_state state;
	struct zr_resources capacity;
	struct zr_resources used;
	struct model_task *tasks;
};

struct model_job {
	UT_hash_handle hh;
	struct model_job *touched_prev;
	struct model_job *touched_next;
	bool touched;
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
	uint32_t starts_now;
	struct model_task *tasks;
};

struct sched_model {
	const struct zr_clock *clock;
	struct zr_sched_sink next;
	struct model_job *jobs;
	struct model_job *touched;
	struct model_team *teams;
	struct model_worker *workers;
	struct model_name *names;
	unsigned int breaks[SCHED_MODEL_RULES];
	char first[512];
};

/** sched_model_violation() - count a break and keep the first as text */
void sched_model_violation(struct sched_model *model,
			   enum sched_model_rule rule, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/** sched_model_touch() - look at a job again after the next decision */
void sched_model_touch(struct sched_model *model, struct model_job *job);

/** sched_model_start_check() - the rules for a start decision */
bool sched_model_start_check(struct sched_model *model, struct model_job *job,
			     const struct zr_sched_task *named);

struct model_job *sched_model_job(const struct sched_model *model,
				  const char *id);
struct model_worker *sched_model_worker(const struct sched_model *model,
					zr_handle handle);
struct model_team *sched_model_team(struct sched_model *model,
				    const char *name);
struct model_name *sched_model_name(struct sched_model *model, const char *team,
				    const char *name);

/** sched_model_task_assign() - charge a task to a worker and its team */
void sched_model_task_assign(struct model_task *task,
			     struct model_worker *worker, uint32_t attempt);
/** sched_model_task_unassign() - a task runs no more */
void sched_model_task_unassign(struct model_task *task);
/** sched_model_task_stopping() - a task has been told to stop */
void sched_model_task_stopping(struct model_task *task);
/** sched_model_min_charge() - the least charge of a task that begins now */
struct zr_resources sched_model_min_charge(const struct model_job *job);
/** sched_model_task_report() - take a report of a running task */
void sched_model_task_report(struct model_task *task,
			     const struct zr_resources *used);

#endif

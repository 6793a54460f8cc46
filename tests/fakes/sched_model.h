#ifndef SCHED_MODEL_H
#define SCHED_MODEL_H

#include "zinniarack/sched.h"

/**
 * DOC: Invariant checker of the scheduler core
 *
 * The model tracks the state of jobs, workers and teams independently of the
 * core. The test passes each event to the model before it passes it to the
 * core. The model's sink receives the core's decisions, checks them and passes
 * them on to the test's own sink. Violations are counted by rule, and the first
 * one is described as text.
 *
 * The model charges a task to its worker and its team from its start until its
 * end. The charge is a lower bound; the core may charge more. It is the
 * declared size until usage was reported for a task of the same team and name,
 * then the smallest usage reported for that name (while fewer than
 * SCHED_MODEL_KNOWN_TASKS of its tasks have reported: not more than the
 * declared size). Once the current attempt has reported usage, it is charged
 * with its own largest report. The charged accelerators are never fewer than
 * declared.
 */

struct sched_model;

/** Number of tasks of a name that must report usage until its size is known. */
#define SCHED_MODEL_KNOWN_TASKS 8
/** Time until a team must be within a lowered limit, in milliseconds. */
#define SCHED_MODEL_LOWERED_MS 5000

/**
 * enum sched_model_rule - invariants
 * @SCHED_MODEL_CAPACITY: the charges of a worker do not exceed its capacity,
 *	and a start reserves at least the charge of its task
 * @SCHED_MODEL_LIMIT: the charges of a team do not exceed its limit and its
 *	allotment
 * @SCHED_MODEL_ONE_PLACE: a task runs on one worker at most, and its attempt
 *	numbers increase
 * @SCHED_MODEL_GANG: either all members of a gang run or none, and no member
 *	starts while another one is being stopped
 * @SCHED_MODEL_AT_MOST_ONCE: a task of an at-most-once job does not start again
 *	if it may have begun
 * @SCHED_MODEL_LOST: a job ends with a cause, with no running task, and as soon
 *	as no task is left; it is removed only after its end
 * @SCHED_MODEL_WORKER: tasks start only on known workers that are up
 * @SCHED_MODEL_ENDED: no decision concerns an unknown or ended job, no start a
 *	cancelled or held one, and no stop a task that does not run
 * @SCHED_MODEL_REASON: each decision has a reason
 */
enum sched_model_rule {
	SCHED_MODEL_CAPACITY,
	SCHED_MODEL_LIMIT,
	SCHED_MODEL_ONE_PLACE,
	SCHED_MODEL_GANG,
	SCHED_MODEL_AT_MOST_ONCE,
	SCHED_MODEL_LOST,
	SCHED_MODEL_WORKER,
	SCHED_MODEL_ENDED,
	SCHED_MODEL_REASON,
	SCHED_MODEL_RULE_COUNT,
};

/**
 * sched_model_new() - create a model without workers or jobs
 * @clock: the core's clock
 * @next: the test's sink, called after each check; copied, members may be NULL
 */
struct sched_model *sched_model_new(const struct zr_clock *clock,
				    const struct zr_sched_sink *next);
void sched_model_free(struct sched_model *model);

/** sched_model_sink() - the sink to pass to the core */
struct zr_sched_sink sched_model_sink(struct sched_model *model);

/* Events; pass each to the model before it is passed to the core. */

void sched_model_configure(struct sched_model *model,
			   const struct zr_config *config);
void sched_model_set_allotment(struct sched_model *model, const char *team,
			       const struct zr_resources *allotment);
/** sched_model_worker_add() - add a worker, after the core gave its handle */
void sched_model_worker_add(struct sched_model *model, zr_handle handle,
			    const struct zr_sched_worker *worker);
void sched_model_worker_set_state(struct sched_model *model, zr_handle handle,
				  enum zr_sched_worker_state state);
void sched_model_worker_remove(struct sched_model *model, zr_handle handle);
void sched_model_job_add(struct sched_model *model, const char *id,
			 const struct zr_job_spec *spec);
void sched_model_job_cancel(struct sched_model *model, const char *id);
void sched_model_job_hold(struct sched_model *model, const char *id, bool held);
void sched_model_job_remove(struct sched_model *model, const char *id);
void sched_model_task_adopt(struct sched_model *model, const char *id,
			    uint32_t index, uint32_t attempt, zr_handle worker);
void sched_model_task_ended(struct sched_model *model, const char *id,
			    uint32_t index, uint32_t attempt,
			    enum zr_sched_outcome outcome);
void sched_model_task_replay(struct sched_model *model, const char *id,
			     uint32_t index, uint32_t attempt,
			     enum zr_sched_outcome outcome);
void sched_model_task_usage(struct sched_model *model, const char *id,
			    uint32_t index, uint32_t attempt,
			    const struct zr_resources *used);

/** sched_model_check_decisions() - check the state after zr_sched_decide() */
void sched_model_check_decisions(struct sched_model *model);

/**
 * sched_model_check_drained() - check that no job is left waiting or running
 * @model: the model
 *
 * To be called at the end of a test, when nothing is left to be scheduled. Each
 * job other than a service must have ended or be parked.
 */
void sched_model_check_drained(struct sched_model *model);

/** sched_model_rule_violations() - number of violations of a rule */
unsigned int sched_model_rule_violations(const struct sched_model *model,
					 enum sched_model_rule rule);

/** sched_model_total_violations() - number of violations of all rules */
unsigned int sched_model_total_violations(const struct sched_model *model);

/** sched_model_first_violation() - the first violation as text, or "" */
const char *sched_model_first_violation(const struct sched_model *model);

/** sched_model_rule_name() - name of a rule, such as "capacity" */
const char *sched_model_rule_name(enum sched_model_rule rule);

#endif

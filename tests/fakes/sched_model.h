#ifndef SCHED_MODEL_H
#define SCHED_MODEL_H

#include "zinniarack/sched.h"

/**
 * DOC: Invariant checker of the scheduler core
 *
 * A shadow of the core's state that knows it only from outside: the test tells
 * the model each event before it gives it to the core, and the model's sink
 * stands between the core and the test's own sink. Each decision and event is
 * checked as it comes; breaks are counted by rule and the first is kept as
 * text.
 *
 * A task is charged to its worker and team from its start until its end: with
 * the declared size while no report of its team and name has come, then with
 * at least the smallest report of that name, and always with at least the
 * largest report of its own attempt. The core may charge more.
 */

struct sched_model;

/** Reports of so many tasks of a name make its size known. */
#define SCHED_MODEL_KNOWN_TASKS 8
/** A team must be back within a lowered allotment after this time. */
#define SCHED_MODEL_LOWERED_MS 5000

/**
 * enum sched_model_rule - what must hold
 * @SCHED_MODEL_CAPACITY: no worker is given more than it holds
 * @SCHED_MODEL_LIMIT: no team is over its allotment
 * @SCHED_MODEL_ONE_PLACE: no task is in two places or attempts repeat
 * @SCHED_MODEL_GANG: a gang runs whole or not at all
 * @SCHED_MODEL_AT_MOST_ONCE: what may have begun does not begin again
 * @SCHED_MODEL_LOST: each job ends once, for a cause, with no task running
 * @SCHED_MODEL_WORKER: starts go to known workers that are up
 * @SCHED_MODEL_ENDED: no decision about a job that has ended, is cancelled or
 *	held, or that is not known
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
	SCHED_MODEL_RULES,
};

/**
 * sched_model_new() - make a model without workers or jobs
 * @clock: the core's clock
 * @next: the test's sink, called after each check; members may be NULL
 */
struct sched_model *sched_model_new(const struct zr_clock *clock,
				    const struct zr_sched_sink *next);
void sched_model_free(struct sched_model *model);

/** sched_model_sink() - the sink to give to the core */
struct zr_sched_sink sched_model_sink(struct sched_model *model);

/* Events, each to be told before the core is given the same event. */

void sched_model_configure(struct sched_model *model,
			   const struct zr_config *config);
void sched_model_allotment(struct sched_model *model, const char *team,
			   const struct zr_resources *allotment);
/** sched_model_worker_add() - told after the core, which gives the handle */
void sched_model_worker_add(struct sched_model *model, zr_handle handle,
			    const struct zr_sched_worker *worker);
void sched_model_worker_set(struct sched_model *model, zr_handle handle,
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

/** sched_model_check_decisions() - check after each zr_sched_decide() */
void sched_model_check_decisions(struct sched_model *model);

/**
 * sched_model_check_drained() - check at the end, when the cell has come to
 * rest
 * @model: the model
 *
 * Every job but services must have ended or be parked.
 */
void sched_model_check_drained(struct sched_model *model);

/** sched_model_rule_violations() - how often a rule was broken */
unsigned int sched_model_rule_violations(const struct sched_model *model,
					 enum sched_model_rule rule);

/** sched_model_total_violations() - how often any rule was broken */
unsigned int sched_model_total_violations(const struct sched_model *model);

/** sched_model_first_violation() - the first break as text, empty when there is
 * none */
const char *sched_model_first_violation(const struct sched_model *model);

/** sched_model_rule_name() - such as "capacity" */
const char *sched_model_rule_name(enum sched_model_rule rule);

#endif

#ifndef ZR_CELL_PLAN_H
#define ZR_CELL_PLAN_H

#include "cell/private.h"

/**
 * DOC: One pass over the steps whose turn has come
 *
 * plan.c orders the steps and tries them one after the other; spots.c knows
 * where there is room; ask.c asks the adviser; order.c says which step is
 * worth most. A pass sees the workers as they were at its begin, less what it
 * has placed itself.
 */

/**
 * struct zr_cell_spot - a worker that takes tasks in this pass
 * @worker: the worker
 * @left: what it has left
 * @slow: it is slower than the others by far
 * @reserved_for: the gang that gathers room there, or NULL
 */
struct zr_cell_spot {
	struct zr_cell_worker *worker;
	struct zr_resources left;
	bool slow;
	const struct zr_cell_step_row *reserved_for;
};

/**
 * struct zr_cell_plan - a pass
 * @scheduler: whose pass it is
 * @now: the time
 * @spots: workers that take tasks
 * @spot_count: how many
 * @reserved: how many of them are reserved
 */
struct zr_cell_plan {
	struct zr_cell_scheduler *scheduler;
	int64_t now;
	struct zr_cell_spot *spots;
	size_t spot_count;
	size_t reserved;
};

/**
 * struct zr_cell_try - a step that is being tried
 * @job: its job
 * @step: the step
 * @queue: its queue as configured now, or as it was at acceptance
 * @need: what a task takes from its worker
 * @most: how many tasks its client account allows
 */
struct zr_cell_try {
	struct zr_cell_job *job;
	struct zr_cell_step_row *step;
	struct zr_cell_queue queue;
	struct zr_resources need;
	uint32_t most;
};

/** struct zr_cell_room - tasks of a step that there is room for */
struct zr_cell_room {
	uint32_t now;	  /* where a ticket is valid */
	uint32_t allowed; /* where the step is known to be permitted */
	uint32_t unasked; /* where the adviser has not been asked */
};

bool zr_cell_step_is_gang(const struct zr_cell_step_row *step);

/* order.c */
/**
 * zr_cell_order_rank() - the rank of a step; the least is tried first
 * @job: its job
 * @now: the time
 */
int64_t zr_cell_order_rank(const struct zr_cell_job *job, int64_t now);
/** zr_cell_order_objective_ms() - time after acceptance until a job is late */
int64_t zr_cell_order_objective_ms(const struct zr_cell_job *job);
/**
 * zr_cell_order_charge() - whether a job is within its client account's share
 * @client: the client account
 * @accepted_at: when the job was accepted
 */
bool zr_cell_order_charge(struct zr_cell_client_row *client,
			  int64_t accepted_at);

/* spots.c */
void zr_cell_spots_find(struct zr_cell_plan *plan);
/** zr_cell_spot_slots() - how many tasks a spot can take now */
uint32_t zr_cell_spot_slots(const struct zr_cell_try *try,
			    const struct zr_cell_spot *spot);
/** zr_cell_spot_suits() - whether a worker may run a step when it has room */
bool zr_cell_spot_suits(const struct zr_cell_try *try,
			const struct zr_cell_spot *spot);
bool zr_cell_spot_permitted(const struct zr_cell_try *try,
			    const struct zr_cell_spot *spot, int64_t now);
struct zr_cell_room zr_cell_spots_room(const struct zr_cell_plan *plan,
				       const struct zr_cell_try *try);
/** Longest list of workers in a log line, with the final NUL. */
#define ZR_CELL_NAMES_MAX 200

/**
 * zr_cell_spots_place() - place up to @most waiting tasks
 * @plan: the pass
 * @try: the step
 * @most: how many
 * @names: the workers, separated by commas, as far as there is room
 *
 * Return: how many were placed.
 */
uint32_t zr_cell_spots_place(struct zr_cell_plan *plan,
			     const struct zr_cell_try *try, uint32_t most,
			     char names[ZR_CELL_NAMES_MAX]);
/** zr_cell_spots_reserve() - keep later steps off workers a gang waits for */
void zr_cell_spots_reserve(struct zr_cell_plan *plan,
			   const struct zr_cell_try *try);

/* pace.c */
/** zr_cell_pace_sample() - a run on a worker has ended as done */
void zr_cell_pace_sample(struct zr_cell_model *model,
			 struct zr_cell_worker *worker, uint32_t estimate_ms,
			 int64_t run_ms, int64_t now);
/** zr_cell_pace_progress() - how far an open run has come */
void zr_cell_pace_progress(struct zr_cell_model *model,
			   struct zr_cell_worker *worker, uint32_t estimate_ms,
			   int64_t ran_ms, uint32_t percent, int64_t now);
/** zr_cell_pace_slow() - whether a worker is slower than the others by far */
bool zr_cell_pace_slow(const struct zr_cell_model *model,
		       const struct zr_cell_worker *worker, int64_t now);
/** zr_cell_pace_stalled() - whether a run makes no progress any more */
bool zr_cell_pace_stalled(const struct zr_cell_task *task, int64_t now);

/* ask.c */
/** zr_cell_ask() - ask the adviser about workers that have room for a step */
void zr_cell_ask(struct zr_cell_plan *plan, const struct zr_cell_try *try);

/* passes.c */
const struct zr_cell_pass *
zr_cell_pass_find(const struct zr_cell_step_row *step, zr_handle worker);
/** zr_cell_pass_obtain() - the row of a worker, made when it is new */
struct zr_cell_pass *zr_cell_pass_obtain(struct zr_cell_step_row *step,
					 zr_handle worker);

#endif

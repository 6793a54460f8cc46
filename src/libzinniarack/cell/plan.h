#ifndef ZR_CELL_PLAN_H
#define ZR_CELL_PLAN_H

#include "cell/private.h"

/**
 * DOC: One pass over the steps whose turn has come
 *
 * plan.c orders the steps and tries them one after the other; spots.c knows
 * where there is room, reach.c where there could be; gather.c makes room for
 * all-at-once steps; ask.c asks the adviser; domains.c knows which failure
 * domains answer; order.c says which step is worth most. A pass sees the
 * workers as they were at its begin, less what it has placed itself.
 */

/**
 * struct zr_cell_spot - a worker that takes tasks in this pass
 * @worker: the worker
 * @left: what it has left
 * @held: what gangs that were tried before keep of that, or of what comes free
 * @soon: what it will have left once its open stops are done
 * @reach: the same, if all tasks that yield to @reach_class were stopped too
 * @reach_class: for which class @soon and @reach were summed up; -1: none
 * @slow: it is slower than the others by far
 * @kept: a gang gathers room there since an earlier pass
 */
struct zr_cell_spot {
	struct zr_cell_worker *worker;
	struct zr_resources left;
	struct zr_resources held;
	struct zr_resources soon;
	struct zr_resources reach;
	int64_t reach_class;
	bool slow;
	bool kept;
};

/**
 * struct zr_cell_known - a worker where a step is known to be permitted
 * @spot: the worker
 * @pass: the adviser's word; NULL when none is needed
 */
struct zr_cell_known {
	struct zr_cell_spot *spot;
	const struct zr_cell_pass *pass;
};

/**
 * struct zr_cell_plan - a pass
 * @scheduler: whose pass it is
 * @now: the time
 * @spots: workers that take tasks
 * @spot_count: how many
 * @draining: millicpus that gangs wait for without an end in sight
 * @capacity: millicpus of all spots
 * @known: room for what is known of the step that is being tried
 */
struct zr_cell_plan {
	struct zr_cell_scheduler *scheduler;
	int64_t now;
	struct zr_cell_spot *spots;
	size_t spot_count;
	uint64_t draining;
	uint64_t capacity;
	struct zr_cell_known *known;
};

/**
 * struct zr_cell_try - a step that is being tried
 * @job: its job
 * @step: the step
 * @queue: its queue as configured now, or as it was at acceptance
 * @need: what a task takes from its worker
 * @most: how many tasks its client account allows
 * @known: workers that suit it, where it is permitted
 * @known_count: how many
 */
struct zr_cell_try {
	struct zr_cell_job *job;
	struct zr_cell_step_row *step;
	struct zr_cell_queue queue;
	struct zr_resources need;
	uint32_t most;
	struct zr_cell_known *known;
	size_t known_count;
};

/** How long a stop and the read of its end take, with some to spare. */
#define ZR_CELL_STOP_MS 450

bool zr_cell_step_is_gang(const struct zr_cell_step_row *step);

/* order.c */
/**
 * zr_cell_order_rank() - the rank of a step; the least is tried first
 * @job: its job
 * @now: the time
 */
int64_t zr_cell_order_rank(const struct zr_cell_job *job, int64_t now);
/** zr_cell_order_class() - rank without age: a task yields to lesser classes */
int64_t zr_cell_order_class(const struct zr_cell_job *job, int64_t now);
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
/** zr_cell_spots_known() - fill in @try->known */
void zr_cell_spots_known(struct zr_cell_plan *plan, struct zr_cell_try *try);
/** zr_cell_known_valid() - whether a start at @then would carry a valid ticket
 */
bool zr_cell_known_valid(const struct zr_cell_known *known, int64_t then);
/** zr_cell_spots_room() - how many tasks could start now */
uint32_t zr_cell_spots_room(const struct zr_cell_plan *plan,
			    const struct zr_cell_try *try);
/** Longest list of workers in a log line, with the final NUL. */
#define ZR_CELL_NAMES_MAX 200

/**
 * zr_cell_spots_mend() - place members of a gang whose starts came to nothing
 * @plan: the pass
 * @try: the gang, of which the other members are open
 * @names: as for zr_cell_spots_place()
 *
 * They join the run that the others wait in, on other workers.
 *
 * Return: how many were placed.
 */
uint32_t zr_cell_spots_mend(struct zr_cell_plan *plan,
			    const struct zr_cell_try *try,
			    char names[ZR_CELL_NAMES_MAX]);
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
/** zr_cell_fits() - how many times @need fits into @have */
uint32_t zr_cell_fits(const struct zr_resources *have,
		      const struct zr_resources *need);

/** zr_cell_spot_left() - what a step may use of what a spot has left */
struct zr_resources zr_cell_spot_left(const struct zr_cell_spot *spot);
/** zr_cell_left_of() - @have less @held, no less than nothing */
struct zr_resources zr_cell_left_of(const struct zr_resources *have,
				    const struct zr_resources *held);

/* reach.c */
/** zr_cell_spot_soon() - how many tasks fit once open stops are done */
uint32_t zr_cell_spot_soon(struct zr_cell_plan *plan,
			   const struct zr_cell_try *try,
			   struct zr_cell_spot *spot);
/** zr_cell_spot_reach() - how many fit if all that yields is stopped too */
uint32_t zr_cell_spot_reach(struct zr_cell_plan *plan,
			    const struct zr_cell_try *try,
			    struct zr_cell_spot *spot);
/** zr_cell_spot_stop() - stop what yields there until @wanted members fit */
void zr_cell_spot_stop(struct zr_cell_plan *plan, const struct zr_cell_try *try,
		       struct zr_cell_spot *spot, uint32_t wanted);

/* gather.c */
/**
 * struct zr_cell_place - a worker where a gang may run
 * @known: the worker, and the adviser's word on it
 * @spot: the worker
 * @soon: members that fit once open stops are done
 * @reach: members that fit if all that yields is stopped too
 * @kept: it was chosen in an earlier pass
 * @home: it is in the gang's home
 * @chosen: members that it is to hold
 */
struct zr_cell_place {
	const struct zr_cell_known *known;
	struct zr_cell_spot *spot;
	uint32_t soon;
	uint32_t reach;
	bool kept;
	bool home;
	uint32_t chosen;
};

/**
 * struct zr_cell_gathered - how much room a gang has
 * @places: workers where it is known to be permitted
 * @count: how many
 * @near: all its room will be there when the adviser has answered
 * @missing: for so many tasks more it should learn where it is permitted
 */
struct zr_cell_gathered {
	struct zr_cell_place *places;
	size_t count;
	bool near;
	uint32_t missing;
};

/** zr_cell_is_home() - whether a spot is in the home of a gang */
bool zr_cell_is_home(const struct zr_cell_try *try,
		     const struct zr_cell_spot *spot);
/**
 * zr_cell_choose_home() - choose the failure domain in which a gang gathers
 * @plan: the pass
 * @try: the gang
 *
 * A gang in one domain is not broken when another one is cut off.
 */
void zr_cell_choose_home(struct zr_cell_plan *plan,
			 const struct zr_cell_try *try);
/**
 * zr_cell_gather() - make room for a gang and keep later steps off it
 * @out: the room; freed with zr_cell_gathered_clear()
 * @plan: the pass
 * @try: the gang
 *
 * Waits for open stops, lets workers drain, or stops tasks that yield.
 */
void zr_cell_gather(struct zr_cell_gathered *out, struct zr_cell_plan *plan,
		    const struct zr_cell_try *try);
void zr_cell_gathered_clear(struct zr_cell_gathered *gathered);

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

/* domains.c */
/** zr_cell_domain_obtain() - the number of a failure domain, from 1; 0: none */
uint32_t zr_cell_domain_obtain(struct zr_cell_model *model, const char *name);
/** zr_cell_domain_asked() - an order was sent to a worker */
void zr_cell_domain_asked(struct zr_cell_model *model,
			  const struct zr_cell_worker *worker, int64_t now);
/** zr_cell_domain_heard() - a worker answered */
void zr_cell_domain_heard(struct zr_cell_model *model,
			  const struct zr_cell_worker *worker);
/** zr_cell_domain_silent() - whether no worker of its domain answers */
bool zr_cell_domain_silent(struct zr_cell_model *model,
			   const struct zr_cell_worker *worker, int64_t now);

/* ask.c */
/** zr_cell_ask() - ask the adviser about workers that have room for a step */
void zr_cell_ask(struct zr_cell_plan *plan, const struct zr_cell_try *try);
/**
 * zr_cell_ask_gang() - ask the adviser about workers that can hold a gang
 * @plan: the pass
 * @try: the gang
 * @gathered: the room that it has in this pass
 */
void zr_cell_ask_gang(struct zr_cell_plan *plan, const struct zr_cell_try *try,
		      const struct zr_cell_gathered *gathered);

/* passes.c */
const struct zr_cell_pass *
zr_cell_pass_find(const struct zr_cell_step_row *step, zr_handle worker);
/** zr_cell_pass_obtain() - the row of a worker, made when it is new */
struct zr_cell_pass *zr_cell_pass_obtain(struct zr_cell_step_row *step,
					 zr_handle worker);

#endif

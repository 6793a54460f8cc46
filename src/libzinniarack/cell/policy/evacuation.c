#include "cell/policy/evacuation.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "zinniarack/errors.h"

/*
 * Time that a task loses by a move: until the end of its run is known after a
 * stop, and until it is placed, persisted and started again.
 */
#define RESTART_MS 700
/*
 * A run that ends within this multiple of that time empties the domain about as
 * soon as a move does, and loses nothing.
 */
#define ENDS_SOON_FACTOR 2
/* A task that has been started more often is not moved. */
#define STARTS_MAX 2
/* A job has no value after this multiple of its objective. */
#define WORTHLESS_FACTOR 3
/* The adviser permits about one in this many workers. */
#define PERMITTED_DIVISOR 4

/* Value that a job has if it ends at some time. */
enum value {
	VALUE_NONE,
	VALUE_LATE,
	VALUE_FULL,
};

static enum value value_at(int64_t end_ms, int64_t objective_ms)
{
	if (end_ms <= objective_ms)
		return VALUE_FULL;
	return end_ms <= WORTHLESS_FACTOR * objective_ms ? VALUE_LATE
							 : VALUE_NONE;
}

static bool loses_value(const struct zr_evacuation_group *group)
{
	int64_t end_ms = group->age_ms + group->remaining_ms + group->later_ms;

	return group->objective_ms && !group->long_running &&
	       value_at(end_ms, group->objective_ms) !=
		       value_at(end_ms + RESTART_MS, group->objective_ms);
}

static struct zr_evacuation_decision
decision(enum zr_evacuation_verdict verdict, enum zr_evacuation_reason reason)
{
	return (struct zr_evacuation_decision){verdict, reason};
}

/* Decides from the group alone; ZR_EVACUATION_TURN if it could be moved. */
static struct zr_evacuation_decision
decide_alone(const struct zr_evacuation_group *group)
{
	/* A long-running step never ends, so that nothing is discarded. */
	if (!group->long_running) {
		if (!group->checkpoints)
			return decision(ZR_EVACUATION_FINISH,
					ZR_EVACUATION_NO_CHECKPOINTS);
		if (group->remaining_ms <=
		    (int64_t)ENDS_SOON_FACTOR * RESTART_MS)
			return decision(ZR_EVACUATION_FINISH,
					ZR_EVACUATION_ENDS_SOON);
		if (group->starts > STARTS_MAX)
			return decision(ZR_EVACUATION_FINISH,
					ZR_EVACUATION_MOVED_OFTEN);
	}
	if (loses_value(group))
		return decision(ZR_EVACUATION_FINISH,
				ZR_EVACUATION_LOSES_VALUE);
	if (!group->running)
		return decision(ZR_EVACUATION_WAIT, ZR_EVACUATION_NOT_RUNNING);
	return decision(ZR_EVACUATION_WAIT, ZR_EVACUATION_TURN);
}

/* Capacity */

static uint32_t fit_count(uint32_t have, uint32_t need)
{
	return need ? have / need : UINT32_MAX;
}

static uint32_t slots(const struct zr_evacuation_worker *worker,
		      const struct zr_evacuation_group *group)
{
	uint32_t count;
	uint32_t other;

	if (!(worker->classes & (UINT64_C(1) << group->class)))
		return 0;
	count = fit_count(worker->free.millicpus, group->need.millicpus);
	other = fit_count(worker->free.memory_mb, group->need.memory_mb);
	if (other < count)
		count = other;
	other = fit_count(worker->free.accelerators, group->need.accelerators);
	if (other < count)
		count = other;
	return group->max_per_worker && group->max_per_worker < count
		       ? group->max_per_worker
		       : count;
}

/*
 * Which workers have tasks of the step already is not known. With a maximum for
 * each worker there must be slots for these as well.
 */
static bool fits(const struct zr_evacuation_view *view,
		 const struct zr_evacuation_group *group)
{
	uint64_t wanted = (uint64_t)group->tasks *
			  (group->advised ? PERMITTED_DIVISOR : 1);
	uint64_t found = 0;
	size_t i;

	if (group->max_per_worker)
		wanted += group->tasks_elsewhere;
	for (i = 0; i < view->worker_count && found < wanted; i++)
		found += slots(&view->workers[i], group);
	return found >= wanted;
}

/* Counts the group against the free resources of the first that fit it. */
static void reserve(const struct zr_evacuation_view *view,
		    const struct zr_evacuation_group *group)
{
	uint32_t left = group->tasks;
	size_t i;

	for (i = 0; i < view->worker_count && left; i++) {
		struct zr_evacuation_worker *worker = &view->workers[i];
		uint32_t count = slots(worker, group);

		if (count > left)
			count = left;
		worker->free.millicpus -= count * group->need.millicpus;
		worker->free.memory_mb -= count * group->need.memory_mb;
		worker->free.accelerators -= count * group->need.accelerators;
		left -= count;
	}
}

/* Moves */

/** struct candidate - a group that could be moved */
struct candidate {
	const struct zr_evacuation_group *group;
};

/**
 * struct pass - state of one decision
 * @view: the groups and workers
 * @out: the decisions
 * @order: the groups that could be moved, those that end last first
 * @order_count: number of @order
 * @spare_millicpus: free processors for which no ready task waits
 * @moved_tasks: number of tasks moved so far
 */
struct pass {
	const struct zr_evacuation_view *view;
	struct zr_evacuation_decision *out;
	struct candidate *order;
	size_t order_count;
	uint64_t spare_millicpus;
	uint32_t moved_tasks;
};

static int by_remaining(const void *a, const void *b)
{
	const struct zr_evacuation_group *x =
		((const struct candidate *)a)->group;
	const struct zr_evacuation_group *y =
		((const struct candidate *)b)->group;

	if (x->long_running != y->long_running)
		return x->long_running ? -1 : 1;
	if (x->remaining_ms != y->remaining_ms)
		return x->remaining_ms > y->remaining_ms ? -1 : 1;
	return x < y ? -1 : x > y;
}

static uint64_t spare_millicpus(const struct zr_evacuation_view *view)
{
	uint64_t free = 0;
	size_t i;

	for (i = 0; i < view->worker_count; i++)
		free += view->workers[i].free.millicpus;
	return free > view->waiting_millicpus ? free - view->waiting_millicpus
					      : 0;
}

/* Number of tasks of a step that this decision has moved so far. */
static uint32_t moved_of_step(const struct pass *pass, size_t until,
			      uint64_t step)
{
	uint32_t count = 0;
	size_t i;

	for (i = 0; i < until; i++) {
		const struct zr_evacuation_group *group = pass->order[i].group;

		if (group->step == step &&
		    pass->out[group - pass->view->groups].verdict ==
			    ZR_EVACUATION_MOVE)
			count += group->tasks;
	}
	return count;
}

static struct zr_evacuation_decision decide_move(struct pass *pass,
						 size_t index)
{
	const struct zr_evacuation_group *group = pass->order[index].group;
	uint64_t millicpus = (uint64_t)group->tasks * group->need.millicpus;

	if (group->long_running &&
	    group->unavailable + moved_of_step(pass, index, group->step) +
			    group->tasks >
		    group->unavailable_max)
		return decision(ZR_EVACUATION_WAIT,
				ZR_EVACUATION_UNAVAILABLE_MAX);
	/* Ready tasks would take the capacity first; a replica takes its own.
	 */
	if (!group->long_running && millicpus > pass->spare_millicpus)
		return decision(ZR_EVACUATION_WAIT, ZR_EVACUATION_NO_CAPACITY);
	if (!fits(pass->view, group))
		return decision(ZR_EVACUATION_WAIT, ZR_EVACUATION_NO_CAPACITY);
	reserve(pass->view, group);
	pass->spare_millicpus -= millicpus < pass->spare_millicpus
					 ? millicpus
					 : pass->spare_millicpus;
	pass->moved_tasks += group->tasks;
	return decision(ZR_EVACUATION_MOVE, ZR_EVACUATION_RESUMES);
}

/*
 * Groups that do not fit count against the maximum too, which bounds the time
 * of a decision.
 */
static void decide_moves(struct pass *pass)
{
	const struct zr_evacuation_view *view = pass->view;
	uint32_t refused = 0;
	size_t i;

	pass->spare_millicpus = spare_millicpus(view);
	qsort(pass->order, pass->order_count, sizeof(*pass->order),
	      by_remaining);
	for (i = 0; i < pass->order_count; i++) {
		const struct zr_evacuation_group *group = pass->order[i].group;
		struct zr_evacuation_decision *out =
			&pass->out[group - view->groups];

		if (refused >= view->tasks_max ||
		    pass->moved_tasks >= view->tasks_max ||
		    (pass->moved_tasks &&
		     pass->moved_tasks + group->tasks > view->tasks_max))
			return;
		*out = decide_move(pass, i);
		refused += out->verdict != ZR_EVACUATION_MOVE;
	}
}

int zr_evacuation_decide(struct zr_evacuation_decision *out,
			 const struct zr_evacuation_view *view)
{
	struct pass pass = {.view = view, .out = out};
	size_t i;

	pass.order = calloc(view->group_count + 1, sizeof(*pass.order));
	if (!pass.order)
		return ZR_E_NOMEM;
	for (i = 0; i < view->group_count; i++) {
		out[i] = decide_alone(&view->groups[i]);
		if (out[i].reason == ZR_EVACUATION_TURN)
			pass.order[pass.order_count++].group = &view->groups[i];
	}
	decide_moves(&pass);
	free(pass.order);
	return 0;
}

const char *zr_evacuation_verdict_name(enum zr_evacuation_verdict verdict)
{
	static const char *const names[] = {
		[ZR_EVACUATION_FINISH] = "finish",
		[ZR_EVACUATION_MOVE] = "move",
		[ZR_EVACUATION_WAIT] = "wait",
	};

	return names[verdict];
}

const char *zr_evacuation_reason_name(enum zr_evacuation_reason reason)
{
	static const char *const names[] = {
		[ZR_EVACUATION_NO_CHECKPOINTS] = "no_checkpoints",
		[ZR_EVACUATION_ENDS_SOON] = "ends_soon",
		[ZR_EVACUATION_MOVED_OFTEN] = "moved_often",
		[ZR_EVACUATION_LOSES_VALUE] = "loses_value",
		[ZR_EVACUATION_NOT_RUNNING] = "not_running",
		[ZR_EVACUATION_UNAVAILABLE_MAX] = "unavailable_max",
		[ZR_EVACUATION_NO_CAPACITY] = "no_capacity",
		[ZR_EVACUATION_TURN] = "turn",
		[ZR_EVACUATION_RESUMES] = "resumes",
	};

	return names[reason];
}

int64_t zr_evacuation_return_ms(const char *worker, int64_t window_ms)
{
	uint64_t hash = XXH64(worker, strlen(worker), 0);

	return window_ms > 0 ? (int64_t)(hash % (uint64_t)window_ms) : 0;
}

#ifndef ZR_CELL_POLICY_EVACUATION_H
#define ZR_CELL_POLICY_EVACUATION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "zinniarack/cell.h"

/**
 * DOC: Evacuation of a failure domain
 *
 * Decides what happens to the runs in a domain that operators want to have
 * empty, and in which order its workers return once they do not. The functions
 * make no calls and read no clock.
 *
 * A group is what is moved as a whole: a run of a single task, or the runs of
 * all members of a gang.
 */

/**
 * enum zr_evacuation_verdict - what happens to a group
 * @ZR_EVACUATION_FINISH: it runs to its end where it is
 * @ZR_EVACUATION_MOVE: it is stopped now, to resume in another domain
 * @ZR_EVACUATION_WAIT: it goes on, and is to be moved once that is possible
 */
enum zr_evacuation_verdict {
	ZR_EVACUATION_FINISH,
	ZR_EVACUATION_MOVE,
	ZR_EVACUATION_WAIT,
};

/**
 * enum zr_evacuation_reason - why
 * @ZR_EVACUATION_NO_CHECKPOINTS: a stop would discard its work
 * @ZR_EVACUATION_ENDS_SOON: it ends about as soon as it would resume elsewhere
 * @ZR_EVACUATION_MOVED_OFTEN: it has been started too often
 * @ZR_EVACUATION_LOSES_VALUE: its job would lose value by the restart
 * @ZR_EVACUATION_NOT_RUNNING: a start of it is not confirmed, or a worker of it
 *	does not respond
 * @ZR_EVACUATION_UNAVAILABLE_MAX: too many tasks of its step are unavailable
 * @ZR_EVACUATION_NO_CAPACITY: the other domains have no capacity to spare
 * @ZR_EVACUATION_TURN: others are moved first
 * @ZR_EVACUATION_RESUMES: it resumes elsewhere
 */
enum zr_evacuation_reason {
	ZR_EVACUATION_NO_CHECKPOINTS,
	ZR_EVACUATION_ENDS_SOON,
	ZR_EVACUATION_MOVED_OFTEN,
	ZR_EVACUATION_LOSES_VALUE,
	ZR_EVACUATION_NOT_RUNNING,
	ZR_EVACUATION_UNAVAILABLE_MAX,
	ZR_EVACUATION_NO_CAPACITY,
	ZR_EVACUATION_TURN,
	ZR_EVACUATION_RESUMES,
};

/** Maximum number of classes of workers. */
#define ZR_EVACUATION_CLASSES_MAX 64

/**
 * struct zr_evacuation_group - a group in an evacuated domain
 * @step: identifies its step among all groups
 * @tasks: number of its active runs, in all domains
 * @need: resources that each of them reserves
 * @class: number of the class of workers on which it may run, below
 *	ZR_EVACUATION_CLASSES_MAX
 * @advised: the adviser permits only part of these workers
 * @max_per_worker: maximum number of tasks of its step on a worker; 0: no limit
 * @tasks_elsewhere: number of active runs of its step in other domains
 * @starts: number of times that its tasks have been started, the highest
 * @running: all its runs are confirmed and all its workers respond
 * @checkpoints: it resumes from a checkpoint
 * @long_running: it runs until its job is cancelled
 * @unavailable: number of tasks of a long-running step that do not run
 * @unavailable_max: maximum number of these
 * @remaining_ms: estimated time until it ends
 * @later_ms: estimated time of the later steps of its job
 * @age_ms: time since the acceptance of its job
 * @objective_ms: time after acceptance from which its job is late; 0: none
 */
struct zr_evacuation_group {
	uint64_t step;
	uint32_t tasks;
	struct zr_resources need;
	uint32_t class;
	bool advised;
	uint32_t max_per_worker;
	uint32_t tasks_elsewhere;
	uint32_t starts;
	bool running;
	bool checkpoints;
	bool long_running;
	uint32_t unavailable;
	uint32_t unavailable_max;
	int64_t remaining_ms;
	int64_t later_ms;
	int64_t age_ms;
	int64_t objective_ms;
};

/**
 * struct zr_evacuation_worker - a worker that may start tasks
 * @free: its free resources; reduced by what is decided to move there
 * @classes: bit for each class that it belongs to
 */
struct zr_evacuation_worker {
	struct zr_resources free;
	uint64_t classes;
};

/**
 * struct zr_evacuation_view - what the decision takes into account
 * @groups: the groups in evacuated domains
 * @group_count: number of @groups
 * @workers: workers in the other domains; changed
 * @worker_count: number of @workers
 * @waiting_millicpus: processors for which ready tasks wait, in thousandths
 * @tasks_max: number of tasks that may be moved now; a larger gang is moved if
 *	it is the first
 */
struct zr_evacuation_view {
	const struct zr_evacuation_group *groups;
	size_t group_count;
	struct zr_evacuation_worker *workers;
	size_t worker_count;
	uint64_t waiting_millicpus;
	uint32_t tasks_max;
};

/** struct zr_evacuation_decision - decision about a group */
struct zr_evacuation_decision {
	enum zr_evacuation_verdict verdict;
	enum zr_evacuation_reason reason;
};

/**
 * zr_evacuation_decide() - decide about all groups
 * @out: the decisions, in the order of the groups
 * @view: the groups and workers
 *
 * Nothing is moved that would lose work or value by it. Of the others, those
 * that would occupy the domain longest are moved first, as far as capacity
 * elsewhere is free and not waited for.
 *
 * Return: 0 or ZR_E_NOMEM.
 */
int zr_evacuation_decide(struct zr_evacuation_decision *out,
			 const struct zr_evacuation_view *view);

/** zr_evacuation_verdict_name() - name of a verdict, for logs */
const char *zr_evacuation_verdict_name(enum zr_evacuation_verdict verdict);

/** zr_evacuation_reason_name() - name of a reason, for logs */
const char *zr_evacuation_reason_name(enum zr_evacuation_reason reason);

/**
 * zr_evacuation_return_ms() - when a worker returns after an evacuation
 * @worker: name of the worker
 * @window_ms: time within which all workers return
 *
 * The order is pseudo-random, so that the capacity returns in all racks and
 * pools alike, and fixed, so that each evaluation gives the same.
 *
 * Return: time after the withdrawal of the request, below @window_ms.
 */
int64_t zr_evacuation_return_ms(const char *worker, int64_t window_ms);

#endif

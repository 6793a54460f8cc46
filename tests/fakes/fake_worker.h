#ifndef FAKE_WORKER_H
#define FAKE_WORKER_H

#include "fakes/fake_net.h"
#include "zinniarack/worker.h"

/**
 * DOC: Simulated worker of a failure domain
 *
 * A worker is a node of the fake network. A task's command is `run MS RESULT`
 * or `fail MS RESULT`: the task succeeds or fails after MS milliseconds, with
 * RESULT as its result. An observer sees each begin and end of a task, from
 * which a test knows what really ran.
 */

struct fake_worker;

enum fake_worker_event {
	FAKE_TASK_BEGUN,
	FAKE_TASK_ENDED,
	FAKE_TASK_STOPPED,
	FAKE_TASK_KILLED, /* by a restart of the worker */
};

/**
 * struct fake_worker_observer - callback for the events of a worker
 * @event: a task on @worker has begun or ended; @epoch is the epoch of the
 *	latest call that the worker accepted, @result the last word of the
 *	task's command
 * @ctx: passed to @event
 */
struct fake_worker_observer {
	void (*event)(void *ctx, const char *worker,
		      enum fake_worker_event event, const char *task,
		      uint64_t epoch, const char *result);
	void *ctx;
};

/**
 * fake_worker_new() - create a worker
 * @net: the network
 * @name: name of the worker and of its node
 * @supports_fencing: whether it refuses calls with an old epoch
 * @observer: receives the worker's events; copied
 */
struct fake_worker *
fake_worker_new(struct fake_net *net, const char *name, bool supports_fencing,
		const struct fake_worker_observer *observer);
void fake_worker_free(struct fake_worker *worker);

/** fake_worker_restart() - start a new incarnation, which has no tasks */
void fake_worker_restart(struct fake_worker *worker);

/** fake_worker_task_count() - number of running tasks; 0 while it is paused */
unsigned int fake_worker_task_count(const struct fake_worker *worker);

/** fake_worker_for_each() - call @each for each task of the count above */
void fake_worker_for_each(const struct fake_worker *worker,
			  void (*each)(void *ctx, const char *worker,
				       const char *task),
			  void *ctx);

const char *fake_worker_name(const struct fake_worker *worker);

/** fake_worker_client() - connect a node to the worker */
void fake_worker_client(struct zr_worker *out, struct fake_worker *worker,
			struct fake_node *client);

#endif

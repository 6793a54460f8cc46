#ifndef FAKE_WORKER_H
#define FAKE_WORKER_H

#include "fakes/fake_net.h"
#include "zinniarack/worker.h"

/**
 * DOC: Workers for tests
 *
 * A worker is a node of the fake network that runs tasks for a while. A
 * command is `run MS RESULT` or `fail MS RESULT`. What it does goes to an
 * observer, which tests use as the ledger of truth.
 */

struct fake_worker;

enum fake_worker_event {
	FAKE_TASK_BEGUN,
	FAKE_TASK_ENDED,
	FAKE_TASK_STOPPED,
	FAKE_TASK_KILLED, /* the worker restarted under it */
};

/**
 * struct fake_worker_observer - sees what workers do
 * @event: a task on @worker has begun or ended; @epoch is the owner's that
 *	sent it, @result the last word of its command
 * @ctx: passed to it
 */
struct fake_worker_observer {
	void (*event)(void *ctx, const char *worker,
		      enum fake_worker_event event, const char *task,
		      uint64_t epoch, const char *result);
	void *ctx;
};

struct fake_worker *
fake_worker_new(struct fake_net *net, const char *name, bool fences,
		const struct fake_worker_observer *observer);
void fake_worker_free(struct fake_worker *worker);

/** fake_worker_restart() - all tasks are gone, the boot is another */
void fake_worker_restart(struct fake_worker *worker);

/** fake_worker_task_count() - tasks that run here */
unsigned int fake_worker_task_count(const struct fake_worker *worker);

/** fake_worker_for_each() - call @each for every task that runs here */
void fake_worker_for_each(const struct fake_worker *worker,
			  void (*each)(void *ctx, const char *worker,
				       const char *task),
			  void *ctx);

const char *fake_worker_name(const struct fake_worker *worker);

/** fake_worker_client() - the worker as a node sees it */
void fake_worker_client(struct zr_worker *out, struct fake_worker *worker,
			struct fake_node *client);

#endif

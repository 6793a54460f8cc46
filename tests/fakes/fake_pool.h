#ifndef FAKE_POOL_H
#define FAKE_POOL_H

#include "fakes/fake_net.h"
#include "zinniarack/cell.h"

/**
 * DOC: Workers of a cell for tests
 *
 * Workers that hold leases, fence, list runs and ends, and start what they are
 * told, over the fake network. Each task runs as long as its step's entry in
 * the payload says: `MS` for each step, separated by commas; `fMS` fails.
 * The pool sees all workers, so it tells when a task runs twice at once or
 * starts again after its end was confirmed, and when a worker is overloaded.
 */

struct fake_pool;

/** Called with a line for each start, end and stop, and for violations. */
typedef void (*fake_pool_event_fn)(void *ctx, const char *text);

struct fake_pool *fake_pool_new(struct fake_net *net, fake_pool_event_fn event,
				void *ctx);
void fake_pool_free(struct fake_pool *pool);

/** fake_pool_add() - a worker of so many thousandths of a processor */
void fake_pool_add(struct fake_pool *pool, const char *name,
		   uint32_t millicpus);

/** fake_pool_restart() - it begins a new life under its name */
void fake_pool_restart(struct fake_pool *pool, const char *name);

/** fake_pool_replace() - another worker has its address: it answers so */
void fake_pool_replace(struct fake_pool *pool, const char *name);

/** fake_pool_hang() - what runs on a worker stands still from now on */
void fake_pool_hang(struct fake_pool *pool, const char *name);

/** fake_pool_set_domain() - the failure domain that the registry tells */
void fake_pool_set_domain(struct fake_pool *pool, const char *name,
			  const char *domain);

/** fake_pool_tick() - let tasks end and leases lapse; once a millisecond */
void fake_pool_tick(struct fake_pool *pool);

/** fake_pool_report() - what the registry says of a worker; -1: not listed */
int fake_pool_report(const struct fake_pool *pool, const char *name,
		     struct zr_worker_report *out);

/** fake_pool_open() - a host's connection to a worker */
int fake_pool_open(struct fake_pool *pool, struct fake_node *client,
		   struct zr_cell_worker_conn *out, const char *worker);

/** fake_pool_violations() - how often a rule was broken */
unsigned int fake_pool_violations(const struct fake_pool *pool);

#endif

#ifndef FAKE_POOL_H
#define FAKE_POOL_H

#include "fakes/fake_net.h"
#include "zinniarack/cell.h"

/**
 * DOC: Simulated workers of a cell
 *
 * The workers are nodes of the fake network. They start and stop runs, list
 * active and ended runs, end runs whose lease has expired, and refuse requests
 * with an old fencing token.
 *
 * The payload of a job has an entry `MS:MILLICPUS[:MEMBERS]` for each step,
 * separated by commas. A run of a task takes that many milliseconds of time and
 * thousandths of a processor; a gang has MEMBERS. A letter before MS changes
 * what the tasks do:
 *
 * - `l`, before another one: they are to be started again however they end.
 * - `f`: their runs fail at the end.
 * - `o`: their first run fails at the end.
 * - `r`: each of their runs fails at the end or does not, as drawn for it.
 * - `t`: the first task of the step takes seven times as long.
 * - `x`: the first task of the step crashes each worker that starts it.
 * - `X`: the same, and the crash ends the other members of its gang.
 *
 * The pool reports a violation if a task runs twice concurrently (TWICE), if it
 * starts again after a poll has acknowledged its successful end (AGAIN), if the
 * runs of a worker use more than its capacity (LIMIT), if a task that crashes
 * its workers is started three times more after three workers have crashed
 * while they ran it (BUDGET), if a task or gang starts again after as many of
 * its runs have failed as its job allows (ATTEMPTS), if a start carries a
 * checkpoint that no run of its task, or of its gang, has saved (UNASKED), or
 * if a host sends a start to an evacuated domain later than 5,000 ms after the
 * request (EVAC).
 */

struct fake_pool;

/** Called with a line of text for each begin and end of a run and violation. */
typedef void (*fake_pool_event_fn)(void *ctx, const char *text);

struct fake_pool *fake_pool_new(struct fake_net *net, fake_pool_event_fn event,
				void *ctx);
void fake_pool_free(struct fake_pool *pool);

/** fake_pool_add() - add a worker; capacity in thousandths of a processor */
void fake_pool_add(struct fake_pool *pool, const char *name,
		   uint32_t millicpus);

/** fake_pool_restart() - start a new incarnation of a worker, without runs */
void fake_pool_restart(struct fake_pool *pool, const char *name);

/**
 * fake_pool_replace() - let another worker take over the address of a worker
 * @pool: the pool
 * @name: the replaced worker
 *
 * Requests for the replaced worker then get ZR_REQUEST_WRONG_WORKER.
 */
void fake_pool_replace(struct fake_pool *pool, const char *name);

/**
 * fake_pool_set_unhealthy() - set which requests a worker refuses
 * @pool: the pool
 * @name: the worker
 * @stops: it refuses stops, and has then done nothing
 * @polls: likewise polls
 */
void fake_pool_set_unhealthy(struct fake_pool *pool, const char *name,
			     bool stops, bool polls);

/**
 * fake_pool_owner_killed() - note that the owner of the cell was killed
 *
 * A gang that waits meanwhile may wait in vain: by the users' rule a run must
 * not end as `alone` with its sender in touch and no disruption near.
 */
void fake_pool_owner_killed(struct fake_pool *pool);

/** fake_pool_set_ticket() - set the ticket of the adviser; it is not copied */
void fake_pool_set_ticket(struct fake_pool *pool, const char *ticket);
/** fake_pool_need_tickets() - let a worker refuse starts without that ticket */
void fake_pool_need_tickets(struct fake_pool *pool, const char *name);

/**
 * fake_pool_set_crashes() - set how tasks crash their workers
 * @pool: the pool
 * @after_ms: time from the start of the task to the crash
 * @down_ms: time for which the worker then refuses connections
 * @replaces: whether another worker uses its address afterwards, instead of a
 *	new incarnation
 */
void fake_pool_set_crashes(struct fake_pool *pool, unsigned int after_ms,
			   unsigned int down_ms, bool replaces);

/**
 * fake_pool_set_shrink_grace_ms() - set for how long starts need not fit a
 * capacity that has decreased, since schedulers have to learn of it; 0 at first
 */
void fake_pool_set_shrink_grace_ms(struct fake_pool *pool, unsigned int ms);

/**
 * fake_pool_set_capacity() - change the capacity of a running worker
 * @pool: the pool
 * @name: the worker
 * @millicpus: in thousandths of a processor
 */
void fake_pool_set_capacity(struct fake_pool *pool, const char *name,
			    uint32_t millicpus);

/**
 * fake_pool_set_speed() - set the speed of a worker, also for active runs
 * @pool: the pool
 * @name: the worker
 * @permille: its speed, in thousandths
 * @kind: label for its kind; "": as it is
 */
void fake_pool_set_speed(struct fake_pool *pool, const char *name,
			 uint32_t permille, const char *kind);

/**
 * fake_pool_save_checkpoints() - save one at each tenth of a run from now on
 * @pool: the pool
 * @bytes: their length; they have more if that is needed to tell them apart
 */
void fake_pool_save_checkpoints(struct fake_pool *pool, size_t bytes);

/**
 * fake_pool_leave() - let a worker announce its departure, then leave
 * @pool: the pool
 * @name: the worker
 * @notice_ms: time until it ends its runs and responds no more
 */
void fake_pool_leave(struct fake_pool *pool, const char *name,
		     unsigned int notice_ms);

/** fake_pool_hang() - let a worker's runs make no more progress, nor end */
void fake_pool_hang(struct fake_pool *pool, const char *name);

/** fake_pool_set_stop_ms() - set the time from a stop until the run's end */
void fake_pool_set_stop_ms(struct fake_pool *pool, unsigned int stop_ms);

/**
 * fake_pool_set_late() - let requests be carried out late, without a response
 * @pool: the pool
 * @percent: percentage of the requests; they arrive 2 to 12 s late
 * @seed: selects which
 */
void fake_pool_set_late(struct fake_pool *pool, unsigned int percent,
			uint64_t seed);

/**
 * fake_pool_set_gangs_wait() - let the members of a gang wait for each other
 * @pool: the pool
 * @may_time_out: a member may end as `alone`, since workers are cut off
 *
 * A member runs once all have begun. It ends as `alone` if that takes 4,000 ms,
 * which is a violation (GANG) unless the owner was killed meanwhile, and as
 * `broken` if another does not succeed. If members fail, all of those end
 * together.
 */
void fake_pool_set_gangs_wait(struct fake_pool *pool, bool may_time_out);

/**
 * fake_pool_wasted_core_s() - core-seconds of runs that did not end as done, or
 * of tasks that were done before
 */
unsigned int fake_pool_wasted_core_s(const struct fake_pool *pool);

/** fake_pool_set_domain() - set a worker's failure domain */
void fake_pool_set_domain(struct fake_pool *pool, const char *name,
			  const char *domain);

/**
 * fake_pool_set_evacuated() - set whether a failure domain is to be evacuated
 * @pool: the pool
 * @domain: name of the domain
 * @evacuated: the request has just been confirmed, or is being withdrawn
 */
void fake_pool_set_evacuated(struct fake_pool *pool, const char *domain,
			     bool evacuated);

/** fake_pool_tick() - end due runs and answer polls; call every millisecond */
void fake_pool_tick(struct fake_pool *pool);

/**
 * fake_pool_restart_as() - start a new incarnation of another kind
 * @pool: the pool
 * @name: the worker
 * @millicpus: its capacity
 * @registers_after_ms: time until it writes its registration
 */
void fake_pool_restart_as(struct fake_pool *pool, const char *name,
			  uint32_t millicpus, unsigned int registers_after_ms);

/**
 * fake_pool_next_registration() - get a worker that writes its registration now
 *
 * Return: its name; NULL: there is none, or no further one.
 */
const char *fake_pool_next_registration(struct fake_pool *pool);

/**
 * fake_pool_report() - get the registration of a worker
 * @pool: the pool
 * @name: name of the worker
 * @out: the registration
 *
 * Return: 0, or ZR_E_PROTOCOL if the worker does not exist or was replaced.
 */
int fake_pool_report(const struct fake_pool *pool, const char *name,
		     struct zr_cell_worker_report *out);

/** fake_pool_open() - connect a host to a worker; returns 0 */
int fake_pool_open(struct fake_pool *pool, struct fake_node *client,
		   struct zr_cell_worker_conn *out, const char *worker);

/**
 * fake_pool_set_attempts() - set how many runs of a task may fail
 * @pool: the pool
 * @attempts: number of failed runs of a task, or of a gang, after whose
 *	acknowledgement it may not start again; 0: this is not checked
 */
void fake_pool_set_attempts(struct fake_pool *pool, unsigned int attempts);

/**
 * fake_pool_check_failed() - check that a job that has failed had a reason to
 * @pool: the pool
 * @job: id of the job
 * @attempts: number of failed runs that fail it
 *
 * Reports a violation (FAILED) unless that many runs of one of its tasks or
 * gangs have failed, or two workers have crashed under one of its tasks that is
 * not known to have succeeded. A run of a gang counts once, however many of its
 * members ended as failed.
 */
void fake_pool_check_failed(struct fake_pool *pool, const char *job,
			    unsigned int attempts);

/** fake_pool_crash_count() - number of workers that tasks have crashed */
unsigned int fake_pool_crash_count(const struct fake_pool *pool);

/** fake_pool_violations() - number of violations so far */
unsigned int fake_pool_violations(const struct fake_pool *pool);

#endif

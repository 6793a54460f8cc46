#ifndef FAKE_CELL_H
#define FAKE_CELL_H

#include <stdbool.h>

#include "domain/domain.h"
#include "fakes/fake_net.h"
#include "fakes/fake_store.h"
#include "fakes/fake_worker.h"

/**
 * DOC: A simulated failure domain
 *
 * Runs real schedulers on a fake store and fake workers, under a clock that the
 * test advances, and checks these invariants:
 *
 * - A task runs on one worker at most.
 * - No accepted job is lost.
 * - No task of an at-most-once job begins twice.
 * - No owner starts a task on a worker after a later owner has started one.
 * - No task of a job begins if the submission of the job failed with an error
 *   that says that the job does not run.
 */

struct fake_cell;

/** Called with a line of text for each event and each violation. */
typedef void (*fake_cell_event_fn)(void *ctx, const char *text);

struct fake_cell *fake_cell_new(fake_cell_event_fn event, void *ctx);
void fake_cell_free(struct fake_cell *cell);

struct fake_net *fake_cell_net(struct fake_cell *cell);
struct fake_store *fake_cell_store(struct fake_cell *cell);
/** fake_cell_now_ms() - milliseconds since the cell was created */
long fake_cell_now_ms(const struct fake_cell *cell);

/**
 * fake_cell_set_journal_shards() - set the number of job shards of the journal
 * @cell: the cell
 * @count: number of shards; 0 for the default; applies to hosts added later
 */
void fake_cell_set_journal_shards(struct fake_cell *cell, unsigned int count);

/** fake_cell_add_host() - add a host that runs a scheduler */
void fake_cell_add_host(struct fake_cell *cell, const char *name);
/**
 * fake_cell_add_worker() - add a worker to the cell and to the host list
 * @cell: the cell
 * @name: name and address of the worker
 * @millicpus: capacity, in thousandths of a processor
 * @supports_fencing: whether it refuses calls with an old epoch
 */
void fake_cell_add_worker(struct fake_cell *cell, const char *name,
			  unsigned int millicpus, bool supports_fencing);
/** fake_cell_set_listed() - set whether the host list contains a worker */
void fake_cell_set_listed(struct fake_cell *cell, const char *worker,
			  bool listed);
/**
 * fake_cell_set_evacuated() - set whether the domain is evacuated
 *
 * Its workers are then set as leaving, as zinniarack-schedulerd does.
 */
void fake_cell_set_evacuated(struct fake_cell *cell, bool evacuated);
/** fake_cell_run() - advance the time by @ms and check the invariants */
void fake_cell_run(struct fake_cell *cell, unsigned int ms);
/** fake_cell_kill() - end a scheduler without a shutdown */
void fake_cell_kill(struct fake_cell *cell, const char *host);
/** fake_cell_kill_active() - kill the owner and add a new host of its name */
void fake_cell_kill_active(struct fake_cell *cell);
/** fake_cell_stop() - shut a scheduler down, which hands its ownership over */
void fake_cell_stop(struct fake_cell *cell, const char *host);
/** fake_cell_restart_worker() - start a new incarnation without tasks */
void fake_cell_restart_worker(struct fake_cell *cell, const char *worker);

/**
 * struct fake_cell_job - a job to submit
 * @name: identifies the submission in later calls and in the result of a task
 * @spec_name: name of the job in its specification; NULL: the same as @name
 * @run_ms: duration of each task, in milliseconds
 * @tasks: number of tasks
 * @key: idempotency key
 * @at_most_once: whether its tasks must not begin twice
 * @fails: whether its tasks fail
 * @service: whether it is a service job; else a batch job
 */
struct fake_cell_job {
	const char *name;
	const char *spec_name;
	unsigned int run_ms;
	unsigned int tasks;
	const char *key;
	bool at_most_once;
	bool fails;
	bool service;
};

/** fake_cell_submit() - submit a job through a host */
void fake_cell_submit(struct fake_cell *cell, const char *host,
		      const struct fake_cell_job *job);
/** fake_cell_read() - read a submitted job and report its state as an event */
void fake_cell_read(struct fake_cell *cell, const char *host, const char *name);
/** fake_cell_cancel() - cancel a submitted job and report its state likewise */
void fake_cell_cancel(struct fake_cell *cell, const char *host,
		      const char *name);

/**
 * fake_cell_get_active() - get the scheduler that owns the failure domain
 * @cell: the cell
 *
 * Return: the one with the highest epoch, or NULL if there is no owner.
 */
struct zr_domain *fake_cell_get_active(struct fake_cell *cell);

/** fake_cell_check_accepted() - check that the owner knows all accepted jobs */
void fake_cell_check_accepted(struct fake_cell *cell);

/** fake_cell_violations() - number of invariant violations so far */
unsigned int fake_cell_violations(const struct fake_cell *cell);

/**
 * struct fake_cell_counts - counters since the cell was created
 * @accepted: submissions accepted
 * @refused: submissions that failed with an error that says that the job does
 *	not run
 * @unknown: submissions that failed with ZR_E_OUTCOME_UNKNOWN
 * @begun: task attempts begun
 * @reruns: task attempts begun after an earlier attempt of the same task
 * @ended: task attempts that ended without being stopped or killed
 * @first_begun_ms: time at which the first task of the highest epoch so far
 *	began, in milliseconds since the cell was created
 */
struct fake_cell_counts {
	unsigned int accepted;
	unsigned int refused;
	unsigned int unknown;
	unsigned int begun;
	unsigned int reruns;
	unsigned int ended;
	long first_begun_ms;
};

const struct fake_cell_counts *fake_cell_counts(const struct fake_cell *cell);

/**
 * fake_cell_accept_delays_ms() - get the durations of accepted submissions
 * @cell: the cell
 * @count: receives the number of elements
 *
 * Return: the time from submission to acceptance of each, in milliseconds.
 */
const unsigned int *fake_cell_accept_delays_ms(const struct fake_cell *cell,
					       size_t *count);

/**
 * fake_cell_count_unfinished() - count accepted jobs that have not ended
 * @cell: the cell
 * @failed: receives the number of accepted jobs that ended in a state other
 *	than succeeded
 *
 * Return: the number of jobs; all accepted ones if the domain has no owner.
 */
unsigned int fake_cell_count_unfinished(struct fake_cell *cell,
					unsigned int *failed);

/** fake_cell_count_running() - count the running tasks of all workers */
unsigned int fake_cell_count_running(const struct fake_cell *cell);

#endif

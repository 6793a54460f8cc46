#ifndef FAKE_CELL_H
#define FAKE_CELL_H

#include <stdbool.h>

#include "domain/domain.h"
#include "fakes/fake_net.h"
#include "fakes/fake_store.h"
#include "fakes/fake_worker.h"

/**
 * DOC: One failure domain for tests
 *
 * Real schedulers over a fake store and fake workers, all moved by hand, and
 * a checker of what must always hold: no task runs in two places, no accepted
 * job is lost, no task of an at-most-once job begins twice, no owner starts
 * work on a worker after a later owner did, and nothing that was refused as
 * not run has run.
 */

struct fake_cell;

/** Called with a line for each thing that happened. */
typedef void (*fake_cell_event_fn)(void *ctx, const char *text);

struct fake_cell *fake_cell_new(fake_cell_event_fn event, void *ctx);
void fake_cell_free(struct fake_cell *cell);

struct fake_net *fake_cell_net(struct fake_cell *cell);
struct fake_store *fake_cell_store(struct fake_cell *cell);
long fake_cell_now_ms(const struct fake_cell *cell);

/** fake_cell_set_journal_shards() - groups of the journal, for hosts added from
 * now on */
void fake_cell_set_journal_shards(struct fake_cell *cell, unsigned int groups);

void fake_cell_add_host(struct fake_cell *cell, const char *name);
void fake_cell_add_worker(struct fake_cell *cell, const char *name,
			  unsigned int millicpus, bool fences);
void fake_cell_set_listed(struct fake_cell *cell, const char *worker,
			  bool listed);
void fake_cell_run(struct fake_cell *cell, unsigned int ms);
void fake_cell_kill(struct fake_cell *cell, const char *host);
/** fake_cell_kill_active() - kill the owner; another host comes in its place */
void fake_cell_kill_active(struct fake_cell *cell);
void fake_cell_stop(struct fake_cell *cell, const char *host);
void fake_cell_restart_worker(struct fake_cell *cell, const char *worker);

/**
 * struct fake_cell_job - a submission; its name names it later
 * @shown: the name that the scheduler sees, or NULL for @name
 */
struct fake_cell_job {
	const char *name;
	const char *shown;
	unsigned int run_ms;
	unsigned int tasks;
	const char *key;
	bool at_most_once;
	bool fails;
	bool service;
};

void fake_cell_submit(struct fake_cell *cell, const char *host,
		      const struct fake_cell_job *job);
void fake_cell_read(struct fake_cell *cell, const char *host, const char *name);
void fake_cell_cancel(struct fake_cell *cell, const char *host,
		      const char *name);

/** fake_cell_get_active() - the domain of the one owner, or NULL */
struct zr_domain *fake_cell_get_active(struct fake_cell *cell);

/** fake_cell_check_accepted() - every accepted job is known to the owner */
void fake_cell_check_accepted(struct fake_cell *cell);

unsigned int fake_cell_violations(const struct fake_cell *cell);

/**
 * struct fake_cell_counts - what has happened
 * @accepted: jobs accepted
 * @refused: jobs refused as not run
 * @unknown: jobs whose acceptance is open
 * @begun: tasks begun
 * @reruns: tasks begun again
 * @ended: tasks that have ended
 * @first_begun_ms: when a task last began as the first under its epoch
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

/** fake_cell_accept_delays_ms() - how long each acceptance took, in
 * milliseconds */
const unsigned int *fake_cell_accept_delays_ms(const struct fake_cell *cell,
					       size_t *count);

/**
 * fake_cell_count_unfinished() - accepted jobs that have not ended
 * @cell: the cell
 * @failed: how many have ended otherwise than well
 */
unsigned int fake_cell_count_unfinished(struct fake_cell *cell,
					unsigned int *failed);

/** fake_cell_count_running() - tasks that run now, on all workers */
unsigned int fake_cell_count_running(const struct fake_cell *cell);

#endif

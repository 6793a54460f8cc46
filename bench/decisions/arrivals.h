#ifndef BENCH_ARRIVALS_H
#define BENCH_ARRIVALS_H

#include "decisions/scenario.h"

/**
 * DOC: The fixed, seeded list of arrivals
 */

/**
 * enum arrival_kind - kinds of work that the table tells apart
 */
enum arrival_kind {
	ARRIVAL_URGENT,
	ARRIVAL_BATCH,
	ARRIVAL_GANG,
	ARRIVAL_SERVICE,
	ARRIVAL_KINDS,
};

/**
 * enum arrival_fault - what is wrong with a job
 * @ARRIVAL_TOO_LARGE: larger than any worker
 * @ARRIVAL_FAILS: its tasks fail wherever they run
 */
enum arrival_fault {
	ARRIVAL_SOUND,
	ARRIVAL_TOO_LARGE,
	ARRIVAL_FAILS,
};

/**
 * struct arrival - one job
 * @at_ms: when it arrives
 * @kind: kind of work
 * @fault: what is wrong with it
 * @team: number of its team
 * @name: number of its name within the team; names share a wrong factor
 * @tasks: how many tasks
 * @declared: declared size of a task
 * @used: what a task really uses
 * @run_ms: how long a task really runs; services run on
 * @declared_run_ms: declared run time
 * @deadline_ms: when it must have ended, 0 for none
 * @worth: its worth
 * @at_most_once: whether it must not run twice
 * @cancel: whether the wave cancels it
 */
struct arrival {
	int64_t at_ms;
	enum arrival_kind kind;
	enum arrival_fault fault;
	uint32_t team;
	uint32_t name;
	uint32_t tasks;
	struct zr_resources declared;
	struct zr_resources used;
	int64_t run_ms;
	int64_t declared_run_ms;
	int64_t deadline_ms;
	uint32_t worth;
	bool at_most_once;
	bool cancel;
};

struct arrivals {
	struct arrival *list;
	uint32_t count;
	uint32_t room;
};

/** arrivals_make() - the arrivals of a scenario, in the order of time */
void arrivals_make(struct arrivals *out, const struct scenario *scenario,
		   uint64_t seed);
void arrivals_clear(struct arrivals *arrivals);

/** arrival_kind_name() - such as "urgent" */
const char *arrival_kind_name(enum arrival_kind kind);

/** arrival_spec() - the job as a caller would submit it */
struct zr_job_spec arrival_spec(const struct arrival *arrival,
				int64_t epoch_ms);

#endif

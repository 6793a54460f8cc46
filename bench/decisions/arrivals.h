#ifndef BENCH_ARRIVALS_H
#define BENCH_ARRIVALS_H

#include "decisions/scenario.h"

/**
 * DOC: Jobs that arrive during a run of the decisions bench
 *
 * The list is generated from a seed before the run, so that every engine gets
 * the same jobs. Points in time are milliseconds since the start of the run.
 */

/**
 * enum arrival_kind - kinds of jobs, reported separately in the output
 */
enum arrival_kind {
	ARRIVAL_URGENT,
	ARRIVAL_BATCH,
	ARRIVAL_GANG,
	ARRIVAL_SERVICE,
	ARRIVAL_KIND_COUNT,
};

/**
 * enum arrival_fault - injected fault of a job
 * @ARRIVAL_NO_FAULT: none
 * @ARRIVAL_TOO_LARGE: its tasks are larger than any worker
 * @ARRIVAL_FAILS: its tasks fail on every worker
 */
enum arrival_fault {
	ARRIVAL_NO_FAULT,
	ARRIVAL_TOO_LARGE,
	ARRIVAL_FAILS,
};

/**
 * struct arrival - one job
 * @arrives_at: time of its submission
 * @kind: kind of the job
 * @fault: injected fault
 * @team: number of its team
 * @name: number of its name within the team; jobs of one name and kind declare
 *	the same size, which is wrong by the same factor
 * @tasks: number of tasks
 * @declared: declared size of a task
 * @used: resources that a task uses
 * @run_ms: time that a task runs; tasks of services do not end
 * @declared_run_ms: declared run time of a task
 * @deadline_ms: time by which the job must have ended, 0 for none
 * @worth: priority, higher first
 * @at_most_once: whether no task may be started a second time
 * @in_mass_cancel: whether the mass cancellation includes it
 */
struct arrival {
	int64_t arrives_at;
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
	bool in_mass_cancel;
};

/**
 * struct arrivals - a growing list of jobs in the order of their arrival
 * @list: the jobs
 * @count: number of jobs
 * @alloc: allocated length of @list
 */
struct arrivals {
	struct arrival *list;
	uint32_t count;
	uint32_t alloc;
};

/**
 * arrivals_generate() - generate the jobs of a scenario
 * @out: the jobs, to be freed with arrivals_clear()
 * @scenario: the scenario
 * @seed: seed of the random numbers
 */
void arrivals_generate(struct arrivals *out, const struct scenario *scenario,
		       uint64_t seed);
void arrivals_clear(struct arrivals *arrivals);

/** arrival_kind_name() - name of a kind in the output, such as "urgent" */
const char *arrival_kind_name(enum arrival_kind kind);

/**
 * arrival_to_spec() - convert a job to the spec that a client would submit
 * @arrival: the job
 * @epoch_ms: wall-clock time at which the run starts
 *
 * Return: the spec
 */
struct zr_job_spec arrival_to_spec(const struct arrival *arrival,
				   int64_t epoch_ms);

#endif

#ifndef BENCH_RECOVERY_H
#define BENCH_RECOVERY_H

#include <stdbool.h>
#include <stdint.h>

#include "fakes/fake_cell.h"

/**
 * DOC: Recovery bench
 *
 * Runs real schedulers over a fake store, fake workers and a fake network.
 * Everything is counted or in virtual time, so the results are the same on
 * every host. Rates are per second of virtual time.
 */

/** Number of failure domains of the whole system at the target size. */
#define DOMAIN_COUNT 4
/** Workers of a failure domain at the target size, and processors of each. */
#define WORKERS_PER_DOMAIN 200
#define WORKER_MILLICPUS 25000

/**
 * struct rates - store calls per second of one domain
 * @writes: transactions and lease calls
 * @reads: reads
 * @by_purpose: reads and writes, by purpose
 * @bytes_written: bytes of written values
 */
struct rates {
	double writes;
	double reads;
	double by_purpose[ZR_STORE_PURPOSE_COUNT];
	double bytes_written;
};

/**
 * struct meter - start of a measurement
 * @counts: counters of the store at the start
 * @started_at: virtual time of the start, in milliseconds
 */
struct meter {
	struct fake_store_counts counts;
	long started_at;
};

/** meter_start() - start a measurement of store calls */
struct meter meter_start(struct fake_cell *cell);
/** meter_read() - rates since the start of a measurement */
struct rates meter_read(const struct meter *meter, struct fake_cell *cell);

/**
 * bench_cell_new() - create a domain with three hosts, a to c
 * @workers: number of workers
 * @millicpus: processor capacity of each worker
 *
 * Host a becomes the owner.
 *
 * Return: the domain, to be freed with fake_cell_free()
 */
struct fake_cell *bench_cell_new(unsigned int workers, unsigned int millicpus);

/** bench_cell_new_sharded() - the same, with @shards journal shards */
struct fake_cell *bench_cell_new_sharded(unsigned int shards,
					 unsigned int workers,
					 unsigned int millicpus);

/**
 * struct load - store calls of one domain at a rate of submissions
 * @rates: store calls
 * @accept_median_ms: median time from submission to acceptance of a job
 * @accept_p99_ms: 99th percentile of it
 * @unbatched_writes: writes per second that it would take to write each state
 *	transition on its own
 */
struct load {
	struct rates rates;
	unsigned int accept_median_ms;
	unsigned int accept_p99_ms;
	double unbatched_writes;
};

/** run_load() - submit one-task jobs at a rate for a time */
struct load run_load(unsigned int per_s, unsigned int seconds);

/**
 * struct takeover - a full domain whose owner is killed several times
 * @running: tasks running before the first kill
 * @waiting: tasks waiting before the first kill
 * @bytes_per_job: bytes of the journal per job
 * @largest_value: size of the largest value written, in bytes
 * @rates: store calls under load, before the first kill
 * @unbatched_writes: as in &struct load
 * @first_start_ms: maximum time from a kill to the first task start by the new
 *	owner
 * @reads: store reads of the last takeover to read the persisted state
 * @bytes_read: bytes read since the last kill
 * @violations: broken invariants, see fakes/fake_cell.h
 */
struct takeover {
	unsigned int running;
	unsigned int waiting;
	double bytes_per_job;
	unsigned long largest_value;
	struct rates rates;
	double unbatched_writes;
	long first_start_ms;
	unsigned long reads;
	unsigned long bytes_read;
	unsigned int violations;
};

/**
 * run_takeover() - fill a domain, measure its load, then kill its owners
 * @shards: number of journal shards
 * @running: tasks to run
 * @waiting: tasks to wait
 * @load_s: duration of the load, in seconds
 */
struct takeover run_takeover(unsigned int shards, unsigned int running,
			     unsigned int waiting, unsigned int load_s);

/**
 * struct kills - runs in each of which the owner is killed at a random time
 * @points: number of runs
 * @accepted: jobs accepted
 * @violations: broken invariants
 * @unfinished: accepted jobs that had not ended
 * @failed: jobs that failed, since it is unknown whether a task of theirs ran
 * @reruns: tasks started again
 */
struct kills {
	unsigned int points;
	unsigned int accepted;
	unsigned int violations;
	unsigned int unfinished;
	unsigned int failed;
	unsigned int reruns;
};

/** run_kills() - one run for each seed, beginning with @first_seed */
struct kills run_kills(unsigned int points, unsigned int first_seed);

/**
 * struct outage - an outage of the store
 * @refused: jobs refused during the outage, certain not to have run
 * @ended: tasks that had ended when the store came back
 * @max_writes_per_s: maximum number of writes in a second after the outage
 * @unfinished: accepted jobs that had not ended a minute after the outage
 * @violations: broken invariants, and jobs that ended other than with success
 */
struct outage {
	unsigned int refused;
	unsigned int ended;
	unsigned long max_writes_per_s;
	unsigned int unfinished;
	unsigned int violations;
};

/** run_outage() - cut the domain off from the store for a number of seconds */
struct outage run_outage(unsigned int seconds);

#endif

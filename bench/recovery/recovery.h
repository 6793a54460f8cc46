#ifndef BENCH_RECOVERY_H
#define BENCH_RECOVERY_H

#include <stdbool.h>
#include <stdint.h>

#include "fakes/fake_cell.h"

/**
 * DOC: Parts of the bench of state and recovery
 *
 * Everything is counted or in virtual time, so that it is the same on every
 * machine.
 */

/** Failure domains of the whole system at the target size. */
#define DOMAINS 4
#define WORKERS 200
#define WORKER_MILLICPUS 25000

/** struct rates - store calls a second of one domain */
struct rates {
	double writes;
	double reads;
	double by_purpose[ZR_STORE_PURPOSE_COUNT];
	double bytes_written;
};

/** struct meter - counts at the begin of a span */
struct meter {
	struct fake_store_counts counts;
	long begun_ms;
};

struct meter meter_begin(struct fake_cell *cell);
struct rates meter_end(const struct meter *meter, struct fake_cell *cell);

/** bench_cell() - a domain with workers and three hosts, a to c */
struct fake_cell *bench_cell(unsigned int workers, unsigned int millicpus);

/** bench_cell_grouped() - the same with another number of journal groups */
struct fake_cell *bench_cell_grouped(unsigned int groups, unsigned int workers,
				     unsigned int millicpus);

/** struct load - what one domain does at a rate of submissions */
struct load {
	struct rates rates;
	unsigned int median_ms;
	unsigned int p99_ms;
	double naive_writes;
};

struct load run_load(unsigned int per_s, unsigned int seconds);

/** struct takeover - a domain at its target size, and deaths of its owner */
struct takeover {
	unsigned int running;
	unsigned int waiting;
	double bytes_per_job;
	unsigned long largest;
	struct rates rates;
	double naive_writes;
	long first_placed_ms;
	unsigned long reads;
	unsigned long bytes_read;
	unsigned int violations;
};

struct takeover run_takeover(unsigned int groups, unsigned int running,
			     unsigned int waiting, unsigned int load_s);

/** struct kills - owners killed at seeded moments */
struct kills {
	unsigned int points;
	unsigned int accepted;
	unsigned int violations;
	unsigned int unfinished;
	unsigned int failed;
	unsigned int reruns;
};

struct kills run_kills(unsigned int points, unsigned int first_seed);

/** struct outage - the store is out, and comes back */
struct outage {
	unsigned int refused;
	unsigned int ended;
	unsigned long most_writes_in_a_second;
	unsigned int unfinished;
	unsigned int violations;
};

struct outage run_outage(unsigned int seconds);

#endif

#ifndef BENCH_REQUESTS_H
#define BENCH_REQUESTS_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "net/address.h"

/**
 * DOC: Parts of the bench of short requests
 *
 * Three processes on loopback, each with one loop: fake workers, an entry
 * daemon's server and router on fixed grants, and the load, which measures.
 */

#define BENCH_WORKERS 10
#define BENCH_SLOTS 8
#define BENCH_SERVICE "faces"

/** How the first worker behaves; the others are well. */
enum bench_fault {
	BENCH_WELL,
	BENCH_SILENT,
	BENCH_SLOW,
	BENCH_FAILING,
};

/**
 * struct bench_setup - what a run is made of
 * @serve_ms: time a worker takes for a request
 * @fault: how the first worker behaves
 * @admission: as in &struct zr_router_options
 * @protection: as there
 */
struct bench_setup {
	unsigned int serve_ms;
	enum bench_fault fault;
	bool admission;
	bool protection;
};

/**
 * struct bench_cell - running processes of a setup
 * @workers: addresses of the workers
 * @entry: address of the entry daemon's part
 * @pids: the two processes
 */
struct bench_cell {
	char workers[BENCH_WORKERS][ZR_ADDRESS_MAX];
	char entry[ZR_ADDRESS_MAX];
	pid_t pids[2];
};

void bench_cell_start(struct bench_cell *cell, const struct bench_setup *setup);
void bench_cell_stop(struct bench_cell *cell);

/* Run in a process of their own; do not return. */
void bench_workers_run(const struct bench_cell *cell,
		       const struct bench_setup *setup);
void bench_entry_run(const struct bench_cell *cell,
		     const struct bench_setup *setup);

/** Counters that a process of the cell tells over HTTP. */
struct bench_counts {
	long long served;    /* workers: requests taken */
	long long most;	     /* workers: most at once on any of them */
	long long cpu_us;    /* entry: processor time used */
	long long memory_kb; /* entry: largest resident set */
};

void bench_counts_read(struct bench_counts *out, const struct bench_cell *cell);

/**
 * struct bench_load - how a load is offered
 * @direct: to the workers in turn, past the entry daemon
 * @per_second: requests a second; 0: as many as are answered
 * @in_flight: with @per_second 0, how many at once
 * @timeout_ms: deadline of a request
 * @seconds: for how long
 */
struct bench_load {
	bool direct;
	unsigned int per_second;
	unsigned int in_flight;
	unsigned int timeout_ms;
	double seconds;
};

/**
 * struct bench_result - what became of the requests
 * @offered: requests sent
 * @good: answered well before their deadline
 * @late: answered well, after it
 * @failed: the service's answer was an error
 * @refused: refused as not run
 * @unknown: outcome unknown
 * @broken: any other end
 * @wrong: answered with what another request asked
 * @seconds: time taken
 * @p50_ms: median latency of answered ones
 * @p99_ms: 99th percentile
 */
struct bench_result {
	unsigned int offered;
	unsigned int good;
	unsigned int late;
	unsigned int failed;
	unsigned int refused;
	unsigned int unknown;
	unsigned int broken;
	unsigned int wrong;
	double seconds;
	double p50_ms;
	double p99_ms;
};

void bench_load_run(struct bench_result *out, const struct bench_cell *cell,
		    const struct bench_load *load);

#endif

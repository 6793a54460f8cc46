#ifndef BENCH_REQUESTS_H
#define BENCH_REQUESTS_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "net/address.h"

/**
 * DOC: Requests bench
 *
 * Runs three processes on loopback, each with one event loop: fake workers, an
 * entry daemon's HTTP server and router with fixed slot grants, and the load
 * generator, which measures.
 */

/** Number of workers. */
#define BENCH_WORKERS 10
/** Slots of a worker, all granted to the entry daemon. */
#define BENCH_SLOTS_PER_WORKER 8
/** Service that the requests are for. */
#define BENCH_SERVICE "faces"

/**
 * enum bench_fault - fault of the first worker; the others have none
 * @BENCH_FAULT_NONE: answers after the service time
 * @BENCH_FAULT_UNRESPONSIVE: accepts requests and never answers
 * @BENCH_FAULT_SLOW: takes 20 times the service time
 * @BENCH_FAULT_ERRORS: answers with status 500
 */
enum bench_fault {
	BENCH_FAULT_NONE,
	BENCH_FAULT_UNRESPONSIVE,
	BENCH_FAULT_SLOW,
	BENCH_FAULT_ERRORS,
};

/**
 * struct bench_setup - configuration of the workers and the entry daemon
 * @serve_ms: service time of a request on a worker
 * @fault: fault of the first worker
 * @admission_control: as in &struct zr_router_options
 * @outlier_ejection: as in &struct zr_router_options
 */
struct bench_setup {
	unsigned int serve_ms;
	enum bench_fault fault;
	bool admission_control;
	bool outlier_ejection;
};

/**
 * struct bench_cell - running workers and entry daemon
 * @workers: addresses of the workers
 * @entry: address of the entry daemon
 * @pids: process of the workers, process of the entry daemon
 */
struct bench_cell {
	char workers[BENCH_WORKERS][ZR_ADDRESS_MAX];
	char entry[ZR_ADDRESS_MAX];
	pid_t pids[2];
};

/** bench_cell_start() - start the processes and wait until they listen */
void bench_cell_start(struct bench_cell *cell, const struct bench_setup *setup);
/** bench_cell_stop() - kill the processes */
void bench_cell_stop(struct bench_cell *cell);

/** bench_workers_run() - run the workers in this process; does not return */
void bench_workers_run(const struct bench_cell *cell,
		       const struct bench_setup *setup);
/** bench_entry_run() - run the entry daemon in this process; does not return */
void bench_entry_run(const struct bench_cell *cell,
		     const struct bench_setup *setup);

/**
 * struct bench_counts - counters of the processes
 * @served: requests that the workers received
 * @max_in_progress: maximum number of requests in progress on one worker
 * @cpu_us: processor time of the entry daemon, in microseconds
 * @max_resident_kb: maximum resident set size of the entry daemon
 *
 * A counter is 0 if its process did not respond, -1 if the response lacks it.
 */
struct bench_counts {
	long long served;
	long long max_in_progress;
	long long cpu_us;
	long long max_resident_kb;
};

/** bench_counts_read() - read the counters over HTTP */
void bench_counts_read(struct bench_counts *out, const struct bench_cell *cell);

/**
 * struct bench_load - a load of requests
 * @direct: whether to send the requests to the workers in turn, without the
 *	entry daemon
 * @requests_per_s: requests per second; 0 to send the next one whenever one has
 *	been answered
 * @in_flight: number of requests in flight, if @requests_per_s is 0
 * @timeout_ms: timeout of a request
 * @seconds: duration
 */
struct bench_load {
	bool direct;
	unsigned int requests_per_s;
	unsigned int in_flight;
	unsigned int timeout_ms;
	double seconds;
};

/**
 * struct bench_result - outcomes of the requests of a load
 * @offered: requests sent
 * @in_time: successful responses within the timeout
 * @late: successful responses after the timeout
 * @failed: error responses of the service
 * @refused: requests refused by the entry daemon, certain not to have run
 * @outcome_unknown: requests that may or may not have run
 * @no_response: requests that ended without an HTTP response
 * @mismatched: responses that belong to another request
 * @seconds: time taken
 * @p50_ms: median latency of the requests that a worker answered
 * @p99_ms: 99th percentile of it
 */
struct bench_result {
	unsigned int offered;
	unsigned int in_time;
	unsigned int late;
	unsigned int failed;
	unsigned int refused;
	unsigned int outcome_unknown;
	unsigned int no_response;
	unsigned int mismatched;
	double seconds;
	double p50_ms;
	double p99_ms;
};

/** bench_load_run() - apply a load and measure it */
void bench_load_run(struct bench_result *out, const struct bench_cell *cell,
		    const struct bench_load *load);

#endif

#ifndef BENCH_CAPACITY_H
#define BENCH_CAPACITY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: Parts of the capacity bench
 *
 * Each part measures at several sizes and fits a straight line;
 * docs/CAPACITY.md is worked out from these lines.
 */

/** Most sizes of one measurement. */
#define LINE_POINTS 8

/**
 * struct line - a measured line
 * @name: what was measured
 * @x: the sizes
 * @y: what was measured at them
 * @count: how many, at least 4
 * @slope: of the fitted line
 * @base: of the fitted line at size 0
 * @residual: the farthest point from the line over the largest point
 */
struct line {
	const char *name;
	double x[LINE_POINTS];
	double y[LINE_POINTS];
	size_t count;
	double slope;
	double base;
	double residual;
};

/** line_add() - add a point */
void line_add(struct line *line, double x, double y);

/** line_fit() - fit by least squares and print points, fit and residual */
void line_fit(struct line *line);

/** line_at() - the fitted value at a size */
double line_at(const struct line *line, double x);

/**
 * struct capacity - all measured lines
 * @worker_bytes: memory of the core by workers
 * @waiting_bytes: memory of the core by waiting jobs
 * @running_bytes: memory of the core by running tasks
 * @start_us: processor time of a start and end by workers, in microseconds
 * @report_us: processor time of a usage report by tasks running
 * @sync_out: bytes of a sync's request by tasks on the worker
 * @sync_in: bytes of a sync's answer by tasks on the worker
 * @sync_us: processor time of a sync by tasks, both ends of the connection
 * @start_out: bytes of a start's request by bytes of the command
 * @accepted_bytes: bytes of a job's ACCEPTED record by bytes of its command
 * @grant_bytes: bytes of an ask for slots and its answer by workers
 * @hosts_bytes: bytes of the host list by hosts
 * @config_bytes: bytes of the configuration by teams, one queue and key each
 * @domain_bytes: memory of an active scheduler by jobs, without the core's
 * @store_writes: store writes a second of a domain by jobs a second
 * @store_bound: the same past the journal's bound on writes
 * @store_reads: store reads a second of a domain by jobs a second
 * @store_bytes: bytes written to the store a second by jobs a second
 * @standby_reads: store reads a second of a domain by its hosts
 * @lost_ms: time until a lost worker's tasks run again, by tasks
 * @takeover_ms: time until a job submitted after its owner's death runs, by
 *	jobs kept
 * @takeover_reads: store reads of that take-over
 */
struct capacity {
	struct line worker_bytes;
	struct line waiting_bytes;
	struct line running_bytes;
	struct line start_us;
	struct line report_us;
	struct line sync_out;
	struct line sync_in;
	struct line sync_us;
	struct line start_out;
	struct line accepted_bytes;
	struct line grant_bytes;
	struct line hosts_bytes;
	struct line config_bytes;
	struct line domain_bytes;
	struct line store_writes;
	struct line store_bound;
	struct line store_reads;
	struct line store_bytes;
	struct line standby_reads;
	struct line lost_ms;
	struct line takeover_ms;
	struct line takeover_reads;
};

void capacity_core(struct capacity *out);
void capacity_wire(struct capacity *out);
void capacity_store(struct capacity *out, bool brief);

void capacity_failure(struct capacity *out);

/** capacity_cpu_us() - processor time of this process, in microseconds */
double capacity_cpu_us(void);

/** capacity_roles() - print each role at the target; false past a bound */
bool capacity_roles(const struct capacity *capacity);

/**
 * slots_bytes_at() - mean bytes of an answer to an ask for slots
 * @out_ask: mean bytes of the ask
 * @workers: of the failure domain
 * @changes_only: asks have a base
 * @steady: demand is the same at each ask
 */
double slots_bytes_at(double *out_ask, uint32_t workers, bool changes_only,
		      bool steady);

#endif

#ifndef BENCH_CAPACITY_H
#define BENCH_CAPACITY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: Capacity bench
 *
 * Each part measures costs at several sizes and fits a straight line to them.
 * roles.c computes from these lines what each daemon needs at the target size;
 * docs/CAPACITY.md explains the results.
 */

/** Maximum number of points of a line. */
#define LINE_POINTS_MAX 8

/**
 * struct line - measured points and the line fitted to them
 * @name: what was measured, with the unit; title of the plot
 * @x: sizes
 * @y: values measured at these sizes
 * @count: number of points, at least 4
 * @slope: slope of the fitted line
 * @intercept: value of the fitted line at size 0
 * @residual: maximum distance of a point from the line, relative to the largest
 *	value
 */
struct line {
	const char *name;
	double x[LINE_POINTS_MAX];
	double y[LINE_POINTS_MAX];
	size_t count;
	double slope;
	double intercept;
	double residual;
};

/** line_add() - add a point; aborts if there are too many */
void line_add(struct line *line, double x, double y);

/** line_fit() - fit by least squares and print points, fit and residual */
void line_fit(struct line *line);

/** line_at() - the fitted value at a size */
double line_at(const struct line *line, double x);

/**
 * struct capacity - all measured lines
 * @worker_bytes: memory of the scheduler core by workers
 * @waiting_bytes: memory of the scheduler core by waiting jobs
 * @running_bytes: memory of the scheduler core by running tasks
 * @job_cpu_us: processor time to add, start and end a one-task job by workers
 * @usage_report_us: processor time of a usage report by running tasks
 * @sync_request_bytes: size of a sync request by tasks on the worker
 * @sync_response_bytes: size of a sync response by tasks on the worker
 * @sync_cpu_us: processor time of a sync by tasks on the worker, including the
 *	bench's server
 * @start_request_bytes: size of a start request by bytes of the command
 * @accepted_bytes: size of a job's ACCEPTED record by bytes of the command
 * @grant_bytes: size of a grant request and its result by workers
 * @host_list_bytes: size of the host list by hosts
 * @config_bytes: size of the configuration by teams, with one queue and one key
 *	each
 * @scheduler_bytes: memory of an active scheduler by accepted jobs, including
 *	its core
 * @store_writes: store writes per second of a domain by jobs per second, below
 *	the journal's write limit
 * @store_writes_limited: the same at the journal's write limit
 * @store_reads: store reads per second of a domain by jobs per second
 * @store_bytes_written: bytes written to the store per second, by jobs per
 *	second
 * @standby_reads: store reads per second of an idle domain by its hosts
 * @worker_loss_ms: time from the loss of a worker until all its tasks run on
 *	another one, by tasks
 * @takeover_ms: time from the death of the owner until a job is accepted again,
 *	by persisted jobs
 * @takeover_reads: store reads of that takeover by persisted jobs
 *
 * Processor times are in microseconds.
 */
struct capacity {
	struct line worker_bytes;
	struct line waiting_bytes;
	struct line running_bytes;
	struct line job_cpu_us;
	struct line usage_report_us;
	struct line sync_request_bytes;
	struct line sync_response_bytes;
	struct line sync_cpu_us;
	struct line start_request_bytes;
	struct line accepted_bytes;
	struct line grant_bytes;
	struct line host_list_bytes;
	struct line config_bytes;
	struct line scheduler_bytes;
	struct line store_writes;
	struct line store_writes_limited;
	struct line store_reads;
	struct line store_bytes_written;
	struct line standby_reads;
	struct line worker_loss_ms;
	struct line takeover_ms;
	struct line takeover_reads;
};

/** capacity_core() - measure the scheduler core */
void capacity_core(struct capacity *out);
/** capacity_wire() - measure messages */
void capacity_wire(struct capacity *out);
/** capacity_store() - measure store calls, for a shorter time if @quick */
void capacity_store(struct capacity *out, bool quick);

/** capacity_failure() - measure lost workers and takeovers */
void capacity_failure(struct capacity *out);

/** capacity_cpu_us() - processor time of this process, in microseconds */
double capacity_cpu_us(void);

/**
 * capacity_roles() - compute and print the needs of each daemon at the target
 * size
 *
 * Return: whether all bounds are met
 */
bool capacity_roles(const struct capacity *capacity);

/**
 * grant_message_bytes() - measure the size of grant messages
 * @out_request: mean size of a grant request
 * @workers: number of workers of the failure domain
 * @incremental: whether requests have a base, see &struct zr_grant_changes
 * @constant_demand: whether each request reports the same demand
 *
 * Return: the mean size of a grant result
 */
double grant_message_bytes(double *out_request, uint32_t workers,
			   bool incremental, bool constant_demand);

#endif

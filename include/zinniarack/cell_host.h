#ifndef ZINNIARACK_CELL_HOST_H
#define ZINNIARACK_CELL_HOST_H

#include <uv.h>

#include "zinniarack/cell.h"
#include "zinniarack/clock.h"
#include "zinniarack/log.h"
#include "zinniarack/metrics.h"

/**
 * DOC: Host of a cell
 *
 * The one process that each host of a cell runs: it serves callers, and
 * competes to be the cell's active scheduler. Hosts keep nothing on disk.
 */

/**
 * struct zr_cell_settings - settings of a host of a cell
 * @name: the host's name, unique in the cell
 * @cell: the cell's name
 * @failure_domain: the failure domain it stands in
 * @store: address of the store
 * @adviser: address of the placement adviser, NULL without one
 * @listen: addresses to listen on
 * @processors: how large the host is; the largest ones own the cell
 * @lease_ms: length of the leases given to workers
 * @lease_max_ms: workers cut longer leases to this
 * @keep_ended_ms: how long an ended job's state can be read
 * @key_age_max_ms: keys are not taken on an older confirmation
 * @leave_ms: time for a graceful shutdown
 * @log: level and format of the log
 */
struct zr_cell_settings {
	char *name;
	char *cell;
	char *failure_domain;
	char *store;
	char *adviser;
	struct {
		char *callers;
		char *readiness;
		char *peers;
		char *metrics;
	} listen;
	double processors;
	uint32_t lease_ms;
	uint32_t lease_max_ms;
	uint32_t keep_ended_ms;
	uint32_t key_age_max_ms;
	uint32_t leave_ms;
	struct {
		enum zr_log_level level;
		enum zr_log_format format;
	} log;
};

/**
 * zr_cell_settings_load() - read and check a settings file
 * @out: the settings, to be freed with zr_cell_settings_free()
 * @path: the file
 *
 * Return: 0, ZR_E_NOT_FOUND or ZR_E_INVALID; zr_error_last() names file, line,
 * field and what is allowed.
 */
int zr_cell_settings_load(struct zr_cell_settings **out, const char *path);

void zr_cell_settings_free(struct zr_cell_settings *settings);

struct zr_call_codec;
struct zr_cell_host;

/**
 * struct zr_cell_host_options - what a host works with
 * @loop: the loop it runs on
 * @clock: a clock that goes on while the host is suspended
 * @settings: its settings; kept by reference
 * @surroundings: what it calls; copied
 * @codec: how callers speak; kept by reference
 * @readiness_path: path at which readiness is asked
 * @metrics: the metrics to serve
 */
struct zr_cell_host_options {
	uv_loop_t *loop;
	const struct zr_clock *clock;
	const struct zr_cell_settings *settings;
	struct zr_cell_surroundings surroundings;
	const struct zr_call_codec *codec;
	const char *readiness_path;
	struct zr_metrics *metrics;
};

int zr_cell_host_new(struct zr_cell_host **out,
		     const struct zr_cell_host_options *options);

/**
 * zr_cell_host_stop() - begin a graceful shutdown
 * @host: the host
 * @done: called once when nothing is open, or when the time is over
 * @ctx: passed to @done
 */
void zr_cell_host_stop(struct zr_cell_host *host, void (*done)(void *ctx),
		       void *ctx);

#endif

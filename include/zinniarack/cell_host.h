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
 * Each host of a cell runs one process. It serves the HTTP requests of callers
 * and runs a scheduler that competes for the ownership of the cell. The process
 * keeps nothing on disk; all persistent state is in the store.
 */

/**
 * struct zr_cell_settings - settings of a host of a cell
 * @name: host name, unique in the cell
 * @cell: name of the cell
 * @failure_domain: failure domain that contains the host
 * @store: address of the store
 * @adviser: address of the placement adviser, NULL without one
 * @listen: addresses to listen on
 * @processors: number of processors; the hosts with the most campaign first for
 *	the ownership of the cell
 * @lease_ms: duration of the run leases granted to workers
 * @lease_max_ms: maximum duration of a run lease; workers shorten longer ones
 * @keep_ended_ms: retention of the state of ended jobs
 * @key_age_max_ms: calls are refused while the last successful read of the
 *	configuration is older, because it may have withdrawn the caller's key
 * @leave_ms: timeout of a graceful shutdown
 * @log: level and format of the log
 * @evacuation_ms: time after which no task may start in a failure domain whose
 *	evacuation operators have requested; 0: such requests are not read
 * @past_use: half-life of the past use of client accounts in seconds, and the
 *	weight of its effect on the order of waiting work in percent; a member
 *	of 0: past use is off
 * @worker_speed: whether speeds of workers are learned and tasks placed where
 *	they are expected to finish in time
 * @admission: admission control: whether jobs that cannot end in time are
 *	rejected
 * @message_memory_mb: memory for requests and replies that are being received,
 *	handled or sent, over all connections, in MiB; 0: a quarter of the
 *	memory that the process may use
 * @departures: what is done with runs of workers that announce their departure
 * @departures.move_runs: stop those that cannot finish in time, so that they
 *	start again elsewhere; otherwise they end with their worker
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
	uint32_t message_memory_mb;
	struct {
		enum zr_log_level level;
		enum zr_log_format format;
	} log;
	uint32_t evacuation_ms;
	struct {
		uint32_t half_life_s;
		uint32_t weight_percent;
	} past_use;
	struct {
		bool enabled;
	} worker_speed;
	struct {
		bool enabled;
	} admission;
	struct {
		bool move_runs;
	} departures;
};

/**
 * zr_cell_settings_load() - read and validate a settings file
 * @out: the settings, to be freed with zr_cell_settings_free()
 * @path: path of the file
 *
 * Return: 0, ZR_E_NOT_FOUND or ZR_E_INVALID; zr_error_last() then names the
 * file, the line, the field and its allowed values.
 */
int zr_cell_settings_load(struct zr_cell_settings **out, const char *path);

void zr_cell_settings_free(struct zr_cell_settings *settings);

struct zr_call_codec;
struct zr_cell_host;

/**
 * struct zr_cell_host_options - dependencies and settings of a host
 * @loop: event loop
 * @clock: a clock that keeps running while the host is suspended
 * @settings: settings; must outlive the host
 * @platform: callbacks into the platform; copied
 * @codec: parser and writer of the callers' protocol; must outlive the host
 * @readiness_path: URL path of the readiness probe
 * @metrics: metrics registry to use and to serve
 */
struct zr_cell_host_options {
	uv_loop_t *loop;
	const struct zr_clock *clock;
	const struct zr_cell_settings *settings;
	struct zr_cell_platform platform;
	const struct zr_call_codec *codec;
	const char *readiness_path;
	struct zr_metrics *metrics;
};

/**
 * zr_cell_host_new() - start a host
 * @out: the host
 * @options: copied
 *
 * On an error the process is expected to exit: what was already started is not
 * freed.
 *
 * Return: 0 or an error, such as ZR_E_ADDRESS_IN_USE.
 */
int zr_cell_host_new(struct zr_cell_host **out,
		     const struct zr_cell_host_options *options);

/**
 * zr_cell_host_stop() - begin a graceful shutdown
 * @host: the host
 * @done: called once when the cell has been released and no request is in
 *	progress, or after &zr_cell_settings.leave_ms
 * @ctx: passed to @done
 */
void zr_cell_host_stop(struct zr_cell_host *host, void (*done)(void *ctx),
		       void *ctx);

#endif

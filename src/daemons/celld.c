#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <uv.h>

#include "cell/frontend.h"
#include "daemon.h"
#include "platform.h"
#include "zinniarack/cell_host.h"
#include "zinniarack/errors.h"

/* Holds the path of the settings when none is named on the command line. */
#define SETTINGS_VARIABLE "ZINNIARACK_CONFIG"

static const char *settings_path;
static struct zr_cell_host *host;

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	switch (key) {
	case ARGP_KEY_ARG:
		if (settings_path)
			argp_usage(state);
		settings_path = arg;
		return 0;
	case ARGP_KEY_END:
		if (!settings_path)
			settings_path = getenv(SETTINGS_VARIABLE);
		if (!settings_path)
			argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static int fail(int error, int status)
{
	fprintf(stderr, "zinniarack-celld: %s: %s\n", zr_error_name(error),
		zr_error_last());
	return status;
}

static void on_stopped(void *ctx)
{
	uv_stop(ctx);
}

static void on_terminate(uv_signal_t *handle, int signum)
{
	(void)signum;
	zr_cell_host_stop(host, on_stopped, handle->loop);
}

/* Addresses and names hold until a restart; the level of the log does not. */
static void on_reload(uv_signal_t *handle, int signum)
{
	struct zr_cell_settings *settings;
	int error = zr_cell_settings_load(&settings, settings_path);

	(void)handle;
	(void)signum;
	if (error < 0) {
		zr_log(ZR_LOG_ERROR, "host.reload_refused error=%s fault=%s",
		       zr_error_name(error), zr_error_last());
		return;
	}
	zr_log_set_level(settings->log.level);
	zr_log(ZR_LOG_INFO, "host.reloaded path=%s", settings_path);
	zr_cell_settings_free(settings);
}

static void catch_signals(uv_loop_t *loop)
{
	static const struct {
		int signum;
		uv_signal_cb handler;
	} signals[] = {
		{SIGTERM, on_terminate},
		{SIGINT, on_terminate},
		{SIGHUP, on_reload},
	};
	static uv_signal_t handles[3];
	size_t i;

	signal(SIGPIPE, SIG_IGN);
	for (i = 0; i < 3; i++) {
		uv_signal_init(loop, &handles[i]);
		uv_signal_start(&handles[i], signals[i].handler,
				signals[i].signum);
	}
}

static int start(uv_loop_t *loop, const struct zr_cell_settings *settings)
{
	static const struct zr_call_codec codec = {
		pf_call_read, pf_call_job_id, pf_call_job_spec, pf_call_reply};
	struct zr_cell_host_options options = {
		.loop = loop,
		.clock = zr_clock_boottime(),
		.settings = settings,
		.codec = &codec,
		.readiness_path = PF_READINESS_PATH,
	};
	struct pf_platform *platform = NULL;
	int error = zr_metrics_new(&options.metrics);

	if (!error)
		error = pf_platform_new(&platform, loop, settings->store,
					settings->adviser, options.metrics);
	if (error < 0)
		return error;
	options.surroundings = pf_platform_surroundings(platform);
	return zr_cell_host_new(&host, &options);
}

int main(int argc, char **argv)
{
	static const struct argp argp = {
		.parser = parse_option,
		.args_doc = "[SETTINGS.yaml]",
		.doc = "Serves callers on one host of a cell and competes to "
		       "schedule the cell's work.",
	};
	uv_loop_t *loop = uv_default_loop();
	struct zr_cell_settings *settings;
	int error;

	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	error = zr_cell_settings_load(&settings, settings_path);
	if (error < 0)
		return fail(error, DAEMON_EXIT_SETTINGS);
	zr_log_use_stdout();
	if (zr_log_init(settings->name, settings->log.level,
			settings->log.format) < 0)
		return DAEMON_EXIT_FAILED;
	catch_signals(loop);
	error = start(loop, settings);
	if (error < 0)
		return fail(error, DAEMON_EXIT_FAILED);
	zr_log(ZR_LOG_INFO, "host.started host=%s cell=%s domain=%s",
	       settings->name, settings->cell, settings->failure_domain);
	uv_run(loop, UV_RUN_DEFAULT);
	zr_log_close();
	return DAEMON_EXIT_OK;
}

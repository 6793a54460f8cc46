#include "daemon.h"

#include <argp.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include "zinniarack/charts.h"
#include "zinniarack/errors.h"
#include "zinniarack/log.h"

const char *argp_program_version = "zinniarack 0.1";

static const struct daemon_info *current_daemon;
/* Set by the first signal; further signals are ignored. */
static bool is_stopping;

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	const char **path = state->input;

	switch (key) {
	case ARGP_KEY_ARG:
		if (*path)
			argp_usage(state);
		*path = arg;
		return 0;
	case ARGP_KEY_END:
		if (!*path)
			argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static void on_terminate(uv_signal_t *handle, int signum)
{
	(void)signum;
	if (is_stopping)
		return;
	is_stopping = true;
	current_daemon->stop(handle->loop);
}

static void install_signal_handlers(uv_loop_t *loop)
{
	static uv_signal_t handles[2];

	signal(SIGPIPE, SIG_IGN);
	uv_signal_init(loop, &handles[0]);
	uv_signal_start(&handles[0], on_terminate, SIGTERM);
	uv_signal_init(loop, &handles[1]);
	uv_signal_start(&handles[1], on_terminate, SIGINT);
}

static int run_daemon(const struct zr_settings *settings)
{
	uv_loop_t *loop = uv_default_loop();
	int error;

	if (zr_log_init(settings->name, settings->log.level,
			settings->log.format) < 0)
		return DAEMON_EXIT_FAILED;
	install_signal_handlers(loop);
	error = current_daemon->start(loop, settings);
	if (error < 0) {
		fprintf(stderr, "%s: %s: %s\n", current_daemon->name,
			zr_error_name(error), zr_error_last());
		return DAEMON_EXIT_FAILED;
	}
	zr_log(ZR_LOG_INFO, "daemon.started daemon=%s domain=%s",
	       current_daemon->name, settings->failure_domain);
	uv_run(loop, UV_RUN_DEFAULT);
	zr_log_close();
	return DAEMON_EXIT_OK;
}

int daemon_main(const struct daemon_info *info, int argc, char **argv)
{
	const struct argp argp = {
		.parser = parse_option,
		.args_doc = "SETTINGS.yaml",
		.doc = info->doc,
	};
	struct zr_settings *settings;
	const char *path = NULL;
	int error;

	argp_parse(&argp, argc, argv, 0, NULL, &path);
	current_daemon = info;
	error = zr_settings_load(&settings, path);
	if (error < 0) {
		fprintf(stderr, "%s: %s: %s\n", info->name,
			zr_error_name(error), zr_error_last());
		return DAEMON_EXIT_SETTINGS;
	}
	error = zr_charts_use(settings->charts);
	if (error < 0) {
		fprintf(stderr, "%s: %s: %s\n", info->name,
			zr_error_name(error), zr_error_last());
		return DAEMON_EXIT_SETTINGS;
	}
	error = run_daemon(settings);
	zr_settings_free(settings);
	return error;
}

#ifndef DAEMON_H
#define DAEMON_H

#include <uv.h>

#include "zinniarack/settings.h"

/**
 * DOC: Common main function of the daemons
 *
 * Parses the command line, loads the settings, starts the log and the daemon,
 * and shuts the daemon down on SIGTERM or SIGINT. zinniarack-entryd and
 * zinniarack-schedulerd use it; zinniarack-celld has settings of its own and
 * shares only the exit codes.
 */

/** Exit codes of the daemons. */
enum daemon_exit {
	DAEMON_EXIT_OK = 0,
	DAEMON_EXIT_FAILED = 1,	  /* the daemon could not start */
	DAEMON_EXIT_SETTINGS = 2, /* the settings are invalid */
};

/**
 * struct daemon_info - what daemon_main() needs to know of a daemon
 * @name: program name, for log lines and error messages
 * @doc: one-line description, for --help
 * @start: starts the daemon on the loop; returns 0 or a negative error number,
 *	with details in zr_error_last()
 * @stop: begins a graceful shutdown, at the end of which it calls uv_stop()
 */
struct daemon_info {
	const char *name;
	const char *doc;
	int (*start)(uv_loop_t *loop, const struct zr_settings *settings);
	void (*stop)(uv_loop_t *loop);
};

/**
 * daemon_main() - run a daemon until it has shut down
 * @info: the daemon
 * @argc: number of arguments of main()
 * @argv: arguments of main(); the settings file is the only one
 *
 * Return: an enum daemon_exit, to be returned by main().
 */
int daemon_main(const struct daemon_info *info, int argc, char **argv);

#endif

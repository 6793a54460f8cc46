#ifndef DAEMON_H
#define DAEMON_H

#include <uv.h>

#include "zinniarack/settings.h"

/**
 * DOC: What both daemons share: command line, settings, signals, exit codes
 */

/** Exit codes of the daemons. */
enum daemon_exit {
	DAEMON_EXIT_OK = 0,
	DAEMON_EXIT_FAILED = 1,	  /* it could not start */
	DAEMON_EXIT_SETTINGS = 2, /* the settings were refused */
};

/**
 * struct daemon_info - one daemon
 * @name: its name
 * @doc: one line for --help
 * @start: start it on the loop
 * @stop: begin a graceful shutdown that ends in uv_stop()
 */
struct daemon_info {
	const char *name;
	const char *doc;
	int (*start)(uv_loop_t *loop, const struct zr_settings *settings);
	void (*stop)(uv_loop_t *loop);
};

int daemon_main(const struct daemon_info *info, int argc, char **argv);

#endif

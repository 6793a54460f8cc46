#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli.h"

#define METRIC_PREFIX "zinniarack_"

/*
 * Parses a line `name value` of the Prometheus text format. Adds the metric to
 * @rows if @module is NULL or the name after METRIC_PREFIX starts with @module.
 */
static void add_counter(json_t *rows, char *line, const char *module)
{
	char *space = strrchr(line, ' ');

	if (*line == '#' || !space)
		return;
	*space = '\0';
	if (module &&
	    (strncmp(line, METRIC_PREFIX, strlen(METRIC_PREFIX)) ||
	     strncmp(line + strlen(METRIC_PREFIX), module, strlen(module))))
		return;
	json_array_append_new(rows, json_pack("{s:s, s:s}", "counter", line,
					      "value", space + 1));
}

static int run_counters(const struct cli_options *options, int argc,
			char **argv)
{
	static const char *const columns[] = {"value", "counter", NULL};
	struct cli_response response;
	json_t *rows;
	char *saveptr = NULL;
	char *line;
	int error;

	if (argc > 1)
		return cli_print_usage(&cli_counters);
	error = cli_call(&response, options, "GET", "/metrics", NULL, 0);
	if (error < 0)
		return cli_print_error(error);
	if (response.status != 200)
		return cli_print_response(&response);
	rows = json_array();
	for (line = strtok_r(response.body, "\n", &saveptr); line;
	     line = strtok_r(NULL, "\n", &saveptr))
		add_counter(rows, line, argc ? argv[0] : NULL);
	cli_print_table(options, rows, columns);
	json_decref(rows);
	free(response.body);
	return CLI_EXIT_OK;
}

const struct cli_command cli_counters = {
	.name = "counters",
	.args = "[MODULE]",
	.help = "Show the metrics of the daemon at --entry, which may also be "
		"the metrics address of a scheduler. With MODULE, show only "
		"those of that module.",
	.examples = "zinniarack counters config\n",
	.run = run_counters,
};

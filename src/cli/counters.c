#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli.h"

#define PREFIX "zinniarack_"

/* Adds `name value` of a line of the exposition format. */
static void add_counter(json_t *rows, char *line, const char *module)
{
	char *space = strrchr(line, ' ');

	if (*line == '#' || !space)
		return;
	*space = '\0';
	if (module && (strncmp(line, PREFIX, strlen(PREFIX)) ||
		       strncmp(line + strlen(PREFIX), module, strlen(module))))
		return;
	json_array_append_new(rows, json_pack("{s:s, s:s}", "counter", line,
					      "value", space + 1));
}

static int run(const struct cli_options *options, int argc, char **argv)
{
	static const char *const columns[] = {"value", "counter", NULL};
	struct cli_answer answer;
	json_t *rows;
	char *rest = NULL;
	char *line;
	int error;

	if (argc > 1)
		return cli_usage(&cli_counters);
	error = cli_call(&answer, options, "GET", "/metrics", NULL, 0);
	if (error < 0)
		return cli_fail(error);
	if (answer.status != 200)
		return cli_show(&answer);
	rows = json_array();
	for (line = strtok_r(answer.body, "\n", &rest); line;
	     line = strtok_r(NULL, "\n", &rest))
		add_counter(rows, line, argc ? argv[0] : NULL);
	cli_table(options, rows, columns);
	json_decref(rows);
	free(answer.body);
	return CLI_EXIT_OK;
}

const struct cli_command cli_counters = {
	.name = "counters",
	.args = "[MODULE]",
	.help = "Show the counters of the daemon at --entry, which may also be "
		"a scheduler's metrics address.",
	.examples = "zinniarack counters config\n",
	.run = run,
};

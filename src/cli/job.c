#include <stdio.h>
#include <string.h>

#include "cli.h"

#define URL_PATH_SIZE 256

/* Sends a request about job @id, or about all jobs when @id is empty. */
static int call_job(const struct cli_options *options, const char *method,
		    const char *id, const char *suffix)
{
	char path[URL_PATH_SIZE];
	struct cli_response response;
	int error;

	snprintf(path, sizeof(path), "/v1/jobs%s%s%s", *id ? "/" : "", id,
		 suffix);
	error = cli_call(&response, options, method, path, NULL, 0);
	return error < 0 ? cli_print_error(error)
			 : cli_print_response(&response);
}

static int run_job(const struct cli_options *options, int argc, char **argv)
{
	if (argc == 1 && !strcmp(argv[0], "list"))
		return call_job(options, "GET", "", "");
	if (argc != 2)
		return cli_print_usage(&cli_job);
	if (!strcmp(argv[0], "show"))
		return call_job(options, "GET", argv[1], "");
	if (!strcmp(argv[0], "wait"))
		return call_job(options, "GET", argv[1], "?wait_ms=30000");
	if (!strcmp(argv[0], "explain"))
		return call_job(options, "GET", argv[1], "/explain");
	if (!strcmp(argv[0], "cancel"))
		return call_job(options, "DELETE", argv[1], "");
	return cli_print_usage(&cli_job);
}

const struct cli_command cli_job = {
	.name = "job",
	.args = "list | show ID | wait ID | explain ID | cancel ID",
	.help = "List your team's jobs, show one, wait until it ends, explain "
		"why it waits, or cancel it.",
	.examples = "zinniarack job wait sapporo-1-42\n",
	.run = run_job,
};

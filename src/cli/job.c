#include <stdio.h>
#include <string.h>

#include "cli.h"

#define PATH_MAX_BYTES 256

static int call(const struct cli_options *options, const char *method,
		const char *id, const char *suffix)
{
	char path[PATH_MAX_BYTES];
	struct cli_answer answer;
	int error;

	snprintf(path, sizeof(path), "/v1/jobs%s%s%s", *id ? "/" : "", id,
		 suffix);
	error = cli_call(&answer, options, method, path, NULL, 0);
	return error < 0 ? cli_fail(error) : cli_show(&answer);
}

static int run(const struct cli_options *options, int argc, char **argv)
{
	if (argc == 1 && !strcmp(argv[0], "list"))
		return call(options, "GET", "", "");
	if (argc != 2)
		return cli_usage(&cli_job);
	if (!strcmp(argv[0], "show"))
		return call(options, "GET", argv[1], "");
	if (!strcmp(argv[0], "wait"))
		return call(options, "GET", argv[1], "?wait_ms=30000");
	if (!strcmp(argv[0], "explain"))
		return call(options, "GET", argv[1], "/explain");
	if (!strcmp(argv[0], "cancel"))
		return call(options, "DELETE", argv[1], "");
	return cli_usage(&cli_job);
}

const struct cli_command cli_job = {
	.name = "job",
	.args = "list | show ID | wait ID | explain ID | cancel ID",
	.help = "List a team's jobs, show one, wait for its end, say why it "
		"waits, or cancel it.",
	.examples = "zinniarack job wait sapporo-1-42\n",
	.run = run,
};

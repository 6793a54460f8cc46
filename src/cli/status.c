#include "cli.h"

static int run(const struct cli_options *options, int argc, char **argv)
{
	struct cli_answer answer;
	int error;

	(void)argv;
	if (argc)
		return cli_usage(&cli_status);
	error = cli_call(&answer, options, "GET", "/v1/status", NULL, 0);
	return error < 0 ? cli_fail(error) : cli_show(&answer);
}

const struct cli_command cli_status = {
	.name = "status",
	.args = "",
	.help = "Show the schedulers and the configuration in force.",
	.run = run,
};

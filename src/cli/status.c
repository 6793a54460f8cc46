#include "cli.h"

static int run_status(const struct cli_options *options, int argc, char **argv)
{
	struct cli_response response;
	int error;

	(void)argv;
	if (argc)
		return cli_print_usage(&cli_status);
	error = cli_call(&response, options, "GET", "/v1/status", NULL, 0);
	return error < 0 ? cli_print_error(error)
			 : cli_print_response(&response);
}

const struct cli_command cli_status = {
	.name = "status",
	.args = "",
	.help = "Show the schedulers and the applied configuration, as JSON.",
	.examples = "zinniarack status\n",
	.run = run_status,
};

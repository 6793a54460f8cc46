#include <stdio.h>
#include <string.h>

#include "cli.h"

#define URL_PATH_SIZE 128

static int run_recover(const struct cli_options *options, int argc, char **argv)
{
	char path[URL_PATH_SIZE];
	struct cli_response response;
	int error;

	if (argc != 2 || strcmp(argv[1], "--lost"))
		return cli_print_usage(&cli_recover);
	snprintf(path, sizeof(path), "/v1/domains/%.63s/recover?lost=yes",
		 argv[0]);
	error = cli_call_as_operator(&response, options, "POST", path, "", 0);
	return error < 0 ? cli_print_error(error)
			 : cli_print_response(&response);
}

const struct cli_command cli_recover = {
	.name = "recover",
	.args = "DOMAIN --lost",
	.help = "Release the part of the teams' limits that is allotted to a "
		"failure domain. Only for a failure domain that is lost for "
		"good: if it still runs, teams can exceed their limits by that "
		"part.",
	.examples = "zinniarack recover hakodate --lost\n",
	.run = run_recover,
};

#include <stdio.h>
#include <string.h>

#include "cli.h"

#define PATH_MAX_BYTES 128

static int run(const struct cli_options *options, int argc, char **argv)
{
	char path[PATH_MAX_BYTES];
	struct cli_answer answer;
	int error;

	if (argc != 2 || strcmp(argv[1], "--lost"))
		return cli_usage(&cli_recover);
	snprintf(path, sizeof(path), "/v1/domains/%.63s/recover?lost=yes",
		 argv[0]);
	error = cli_call_operator(&answer, options, "POST", path, "", 0);
	return error < 0 ? cli_fail(error) : cli_show(&answer);
}

const struct cli_command cli_recover = {
	.name = "recover",
	.args = "DOMAIN --lost",
	.help = "Give back what a failure domain held of the teams' limits. "
		"Only for one that is lost for good: if it still runs, teams "
		"can have that much running over their limits.",
	.examples = "zinniarack recover hakodate --lost\n",
	.run = run,
};

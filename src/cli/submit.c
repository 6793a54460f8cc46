#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli.h"
#include "zinniarack/errors.h"

#define FILE_BYTES_MAX (1u << 20)

static int read_file(char **out, size_t *out_length, const char *path)
{
	FILE *file = strcmp(path, "-") ? fopen(path, "r") : stdin;
	char *text = malloc(FILE_BYTES_MAX);

	if (!file || !text) {
		free(text);
		return zr_error_set(ZR_E_NOT_FOUND, "%s: cannot be opened",
				    path);
	}
	*out_length = fread(text, 1, FILE_BYTES_MAX, file);
	*out = text;
	if (file != stdin)
		fclose(file);
	return 0;
}

static int run(const struct cli_options *options, int argc, char **argv)
{
	struct cli_answer answer;
	size_t length = 0;
	char *text = NULL;
	int error;

	if (argc != 1)
		return cli_usage(&cli_submit);
	error = read_file(&text, &length, argv[0]);
	if (error < 0)
		return cli_fail(error);
	error = cli_call(&answer, options, "POST", "/v1/jobs", text, length);
	free(text);
	return error < 0 ? cli_fail(error) : cli_show(&answer);
}

const struct cli_command cli_submit = {
	.name = "submit",
	.args = "FILE.json",
	.help = "Submit a job; '-' reads standard input.",
	.examples = "zinniarack submit job.json\n",
	.run = run,
};

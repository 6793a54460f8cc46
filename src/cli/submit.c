#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli.h"
#include "zinniarack/errors.h"

#define FILE_SIZE_MAX (1u << 20)

static int read_file(char **out, size_t *out_length, const char *path)
{
	FILE *file = strcmp(path, "-") ? fopen(path, "r") : stdin;
	char *text = malloc(FILE_SIZE_MAX);

	if (!file || !text) {
		free(text);
		return zr_error_set(ZR_E_NOT_FOUND, "%s: cannot be opened",
				    path);
	}
	*out_length = fread(text, 1, FILE_SIZE_MAX, file);
	*out = text;
	if (file != stdin)
		fclose(file);
	return 0;
}

static int run_submit(const struct cli_options *options, int argc, char **argv)
{
	struct cli_response response;
	size_t length = 0;
	char *text = NULL;
	int error;

	if (argc != 1)
		return cli_print_usage(&cli_submit);
	error = read_file(&text, &length, argv[0]);
	if (error < 0)
		return cli_print_error(error);
	error = cli_call(&response, options, "POST", "/v1/jobs", text, length);
	free(text);
	return error < 0 ? cli_print_error(error)
			 : cli_print_response(&response);
}

const struct cli_command cli_submit = {
	.name = "submit",
	.args = "FILE.json",
	.help = "Submit a job; '-' reads it from standard input.",
	.examples = "zinniarack submit job.json\n",
	.run = run_submit,
};

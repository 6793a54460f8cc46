#include <limits.h>
#include <stdio.h>
#include <unistd.h>

#include "cli.h"
#include "zinniarack/errors.h"

#define PATH_MAX_BYTES 160
#define TEXT_MAX 256
#define FILE_MAX (ZR_NAME_MAX + 32)

static int run_workers(const struct cli_options *options, int argc, char **argv)
{
	static const char *const columns[] = {"name",
					      "rack",
					      "state",
					      "tasks",
					      "reserved.millicpus",
					      "capacity.millicpus",
					      "reserved.memory_mb",
					      "capacity.memory_mb",
					      NULL};
	char path[PATH_MAX_BYTES] = "/v1/workers";
	json_t *answer;
	int result;

	if (argc > 1)
		return cli_usage(&cli_workers);
	if (argc)
		snprintf(path, sizeof(path), "/v1/workers?domain=%.63s",
			 argv[0]);
	result = cli_get_operator(&answer, options, path);
	if (result == CLI_EXIT_OK)
		cli_table(options, json_object_get(answer, "workers"), columns);
	json_decref(answer);
	return result;
}

static void name_file(char out[FILE_MAX], const char *worker)
{
	snprintf(out, FILE_MAX, "95-drained-%.64s.yaml", worker);
}

static int run_drain(const struct cli_options *options, int argc, char **argv)
{
	char text[TEXT_MAX];
	char file[FILE_MAX];

	if (argc != 1 && argc != 2)
		return cli_usage(&cli_drain);
	snprintf(text, sizeof(text), "drained:\n  - name: %.64s\n", argv[0]);
	name_file(file, argv[0]);
	return cli_config_change(options, argc == 2 ? argv[1] : NULL, file,
				 text);
}

/* With a folder, the file that drained the worker goes. */
static int undrain_in_folder(const struct cli_options *options,
			     const char *worker, const char *folder)
{
	char path[PATH_MAX];
	char file[FILE_MAX];

	name_file(file, worker);
	snprintf(path, sizeof(path), "%s/%s", folder, file);
	if (unlink(path)) {
		zr_error_set(ZR_E_NOT_FOUND, "%s: cannot be removed", path);
		return cli_fail(ZR_E_NOT_FOUND);
	}
	return cli_config_apply(options, folder, false);
}

static int run_undrain(const struct cli_options *options, int argc, char **argv)
{
	char text[TEXT_MAX];

	if (argc != 1 && argc != 2)
		return cli_usage(&cli_undrain);
	if (argc == 2)
		return undrain_in_folder(options, argv[0], argv[1]);
	snprintf(text, sizeof(text),
		 "drained:\n  - name: %.64s\n    remove: true\n", argv[0]);
	return cli_config_change(options, NULL, "undrain", text);
}

const struct cli_command cli_workers = {
	.name = "workers",
	.args = "[DOMAIN]",
	.help = "List the workers of a failure domain; without a name, of the "
		"entry daemon's own.",
	.examples = "zinniarack workers sapporo\n",
	.run = run_workers,
};

const struct cli_command cli_drain = {
	.name = "drain",
	.args = "WORKER [FOLDER]",
	.help = "Give a worker no new work, as a new file of the folder or, "
		"without one, in force only.",
	.examples = "zinniarack drain w7 folder\n",
	.run = run_drain,
};

const struct cli_command cli_undrain = {
	.name = "undrain",
	.args = "WORKER [FOLDER]",
	.help = "Give a drained worker work again.",
	.examples = "zinniarack undrain w7 folder\n",
	.run = run_undrain,
};

#include <stdio.h>

#include "cli.h"

#define URL_PATH_SIZE 160
#define YAML_SIZE 256
#define FILE_NAME_SIZE (ZR_NAME_MAX + 32)

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
	char path[URL_PATH_SIZE] = "/v1/workers";
	json_t *response;
	int result;

	if (argc > 1)
		return cli_print_usage(&cli_workers);
	if (argc)
		snprintf(path, sizeof(path), "/v1/workers?domain=%.63s",
			 argv[0]);
	result = cli_get_json_as_operator(&response, options, path);
	if (result == CLI_EXIT_OK)
		cli_print_table(options, json_object_get(response, "workers"),
				columns);
	json_decref(response);
	return result;
}

/* Adds the names of the workers of a failure domain. */
static bool add_worker_names(json_t *names, const struct cli_options *options,
			     const char *domain)
{
	char path[URL_PATH_SIZE];
	const json_t *worker;
	json_t *response;
	size_t i;

	snprintf(path, sizeof(path), "/v1/workers?domain=%.63s", domain);
	if (cli_get_json_as_operator(&response, options, path) != CLI_EXIT_OK)
		return false;
	json_array_foreach (json_object_get(response, "workers"), i, worker) {
		const char *name =
			json_string_value(json_object_get(worker, "name"));

		if (name)
			json_object_set_new(names, name, json_true());
	}
	json_decref(response);
	return true;
}

int cli_collect_workers(json_t **out, const struct cli_options *options)
{
	const json_t *scheduler;
	json_t *domains = json_object();
	json_t *status;
	const char *domain;
	json_t *none;
	size_t i;
	int result = cli_get_json_as_operator(&status, options, "/v1/status");

	*out = json_object();
	json_array_foreach (json_object_get(status, "schedulers"), i, scheduler)
		json_object_set_new(
			domains,
			json_string_value(json_object_get(scheduler, "domain")),
			json_null());
	json_object_foreach (domains, domain, none) {
		if (*out && !add_worker_names(*out, options, domain)) {
			json_decref(*out);
			*out = NULL;
		}
	}
	json_decref(domains);
	json_decref(status);
	return result;
}

/* Formats the name of the file that drains the worker. */
static void format_drain_file_name(char out[FILE_NAME_SIZE], const char *worker)
{
	snprintf(out, FILE_NAME_SIZE, "95-drained-%.64s.yaml", worker);
}

static int run_drain(const struct cli_options *options, int argc, char **argv)
{
	char yaml[YAML_SIZE];
	char file[FILE_NAME_SIZE];

	if (argc != 1 && argc != 2)
		return cli_print_usage(&cli_drain);
	snprintf(yaml, sizeof(yaml), "drained:\n  - name: %.64s\n", argv[0]);
	format_drain_file_name(file, argv[0]);
	return cli_config_apply_file(options, argc == 2 ? argv[1] : NULL, file,
				     yaml);
}

static int run_undrain(const struct cli_options *options, int argc, char **argv)
{
	char yaml[YAML_SIZE];
	char file[FILE_NAME_SIZE];

	if (argc != 1 && argc != 2)
		return cli_print_usage(&cli_undrain);
	if (argc == 2) {
		format_drain_file_name(file, argv[0]);
		return cli_config_apply_without_file(options, argv[1], file);
	}
	snprintf(yaml, sizeof(yaml),
		 "drained:\n  - name: %.64s\n    remove: true\n", argv[0]);
	return cli_config_apply_file(options, NULL, "undrain", yaml);
}

const struct cli_command cli_workers = {
	.name = "workers",
	.args = "[DOMAIN]",
	.help = "List the workers of a failure domain; without DOMAIN, of the "
		"entry daemon's own.",
	.examples = "zinniarack workers sapporo\n",
	.run = run_workers,
};

const struct cli_command cli_drain = {
	.name = "drain",
	.args = "WORKER [FOLDER]",
	.help = "Start no new tasks on a worker. The change is applied as a "
		"new file in FOLDER or, without it, to the applied "
		"configuration only.",
	.examples = "zinniarack drain w7 folder\n",
	.run = run_drain,
};

const struct cli_command cli_undrain = {
	.name = "undrain",
	.args = "WORKER [FOLDER]",
	.help = "Let a drained worker get new tasks again. With FOLDER, the "
		"file that 'drain' added is removed from it.",
	.examples = "zinniarack undrain w7 folder\n",
	.run = run_undrain,
};

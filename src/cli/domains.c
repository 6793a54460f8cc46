#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli.h"
#include "zinniarack/errors.h"

#define URL_PATH_SIZE 160
#define YAML_SIZE 256
#define FILE_NAME_SIZE (ZR_NAME_MAX + 32)

/* List */

static json_int_t sum_tasks(const json_t *workers)
{
	json_int_t tasks = 0;
	const json_t *worker;
	size_t i;

	json_array_foreach (workers, i, worker)
		tasks += json_integer_value(json_object_get(worker, "tasks"));
	return tasks;
}

/* Number of tasks that run in a failure domain, or "unknown". */
static json_t *count_tasks(const struct cli_options *options,
			   const char *domain)
{
	struct cli_response response;
	char path[URL_PATH_SIZE];
	json_t *body = NULL;
	json_t *tasks;

	snprintf(path, sizeof(path), "/v1/workers?domain=%.63s", domain);
	if (cli_call_as_operator(&response, options, "GET", path, NULL, 0) < 0)
		return json_string("unknown");
	if (response.status == 200)
		body = json_loadb(response.body, response.length, 0, NULL);
	free(response.body);
	if (!body)
		return json_string("unknown");
	tasks = json_integer(sum_tasks(json_object_get(body, "workers")));
	json_decref(body);
	return tasks;
}

/* Adds the number of tasks to the active schedulers of evacuated domains. */
static void add_tasks(const struct cli_options *options, json_t *schedulers)
{
	json_t *row;
	size_t i;

	json_array_foreach (schedulers, i, row) {
		bool counts = json_is_true(json_object_get(row, "evacuated")) &&
			      json_is_true(json_object_get(row, "active"));

		json_object_set_new(
			row, "tasks",
			counts ? count_tasks(options,
					     json_string_value(json_object_get(
						     row, "domain")))
			       : json_string("-"));
	}
}

static int run_domains(const struct cli_options *options, int argc, char **argv)
{
	static const char *const columns[] = {"domain",	   "name",   "address",
					      "heard",	   "active", "epoch",
					      "evacuated", "tasks",  NULL};
	json_t *status;
	json_t *schedulers;
	int result;

	(void)argv;
	if (argc)
		return cli_print_usage(&cli_domains);
	result = cli_get_json_as_operator(&status, options, "/v1/status");
	if (result == CLI_EXIT_OK) {
		schedulers = json_object_get(status, "schedulers");
		add_tasks(options, schedulers);
		cli_print_table(options, schedulers, columns);
	}
	json_decref(status);
	return result;
}

/* Evacuate and restore */

typedef int (*check_fn)(const struct zr_config *config, const char *domain);

/*
 * Checks a change against the folder, or the applied configuration without one,
 * so that a refused change leaves both as they are.
 */
static int check_change(const struct cli_options *options, const char *folder,
			const char *domain, check_fn check)
{
	struct zr_config *config = NULL;
	int result = CLI_EXIT_OK;
	int error = 0;

	if (folder)
		error = zr_config_load_folder(&config, folder);
	else
		result = cli_config_fetch(&config, options);
	if (result != CLI_EXIT_OK)
		return result;
	if (!error && !config)
		error = zr_error_set(ZR_E_NOT_FOUND,
				     "no configuration has been applied yet");
	if (!error)
		error = check(config, domain);
	zr_config_free(config);
	return error < 0 ? cli_print_error(error) : CLI_EXIT_OK;
}

/* Formats the name of the file that evacuates the failure domain. */
static void format_file_name(char out[FILE_NAME_SIZE], const char *domain)
{
	snprintf(out, FILE_NAME_SIZE, "95-evacuated-%.64s.yaml", domain);
}

static int evacuate(const struct cli_options *options, const char *domain,
		    const char *folder)
{
	char yaml[YAML_SIZE];
	char file[FILE_NAME_SIZE];
	int result =
		check_change(options, folder, domain, zr_config_check_evacuate);

	if (result != CLI_EXIT_OK)
		return result;
	snprintf(yaml, sizeof(yaml), "evacuated:\n  - name: %.64s\n", domain);
	format_file_name(file, domain);
	return cli_config_apply_file(options, folder, file, yaml);
}

static int restore(const struct cli_options *options, const char *domain,
		   const char *folder)
{
	char yaml[YAML_SIZE];
	char file[FILE_NAME_SIZE];
	int result =
		check_change(options, folder, domain, zr_config_check_restore);

	if (result != CLI_EXIT_OK)
		return result;
	format_file_name(file, domain);
	if (folder)
		return cli_config_apply_without_file(options, folder, file);
	snprintf(yaml, sizeof(yaml),
		 "evacuated:\n  - name: %.64s\n    remove: true\n", domain);
	return cli_config_apply_file(options, NULL, "restore", yaml);
}

static int run_domain(const struct cli_options *options, int argc, char **argv)
{
	const char *folder = argc == 3 ? argv[2] : NULL;

	if ((argc == 2 || argc == 3) && !strcmp(argv[0], "evacuate"))
		return evacuate(options, argv[1], folder);
	if ((argc == 2 || argc == 3) && !strcmp(argv[0], "restore"))
		return restore(options, argv[1], folder);
	return cli_print_usage(&cli_domain);
}

const struct cli_command cli_domain = {
	.name = "domain",
	.args = "evacuate NAME [FOLDER] | restore NAME [FOLDER]",
	.help = "Start nothing more in a failure domain, or use it again. The "
		"change is applied as a file in FOLDER or, without it, to the "
		"applied configuration only. 'domains' shows how many tasks "
		"still run there.",
	.examples = "zinniarack domain evacuate sapporo folder\n"
		    "zinniarack domain restore sapporo folder\n",
	.run = run_domain,
};

const struct cli_command cli_domains = {
	.name = "domains",
	.args = "",
	.help = "List the schedulers of each failure domain and show which one "
		"is active, which domains are evacuated, and how many tasks "
		"still run in those.",
	.examples = "zinniarack domains\n",
	.run = run_domains,
};

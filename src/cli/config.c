#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli.h"
#include "zinniarack/config.h"
#include "zinniarack/errors.h"

static int check_folder(const char *folder)
{
	struct zr_config *config;
	int error = zr_config_load_folder(&config, folder);

	if (error < 0)
		return cli_print_error(error);
	printf("%s: valid: %u teams, %u queues, %u keys, %u jobs\n", folder,
	       config->teams_count, config->queues_count, config->keys_count,
	       config->jobs_count);
	zr_config_free(config);
	return CLI_EXIT_OK;
}

static int print_applied_config(const struct cli_options *options)
{
	struct cli_response response;
	int error = cli_call_as_operator(&response, options, "GET",
					 "/v1/config", NULL, 0);

	return error < 0 ? cli_print_error(error)
			 : cli_print_response(&response);
}

static void add_difference(void *ctx, const char *section, const char *name,
			   enum zr_config_difference difference)
{
	json_array_append_new(ctx,
			      json_pack("{s:s, s:s, s:s}", "section", section,
					"name", name ? name : "", "difference",
					zr_config_difference_name(difference)));
}

/* Prints what applying the folder would change. */
static int diff_folder(const struct cli_options *options, const char *folder)
{
	static const char *const columns[] = {"section", "name", "difference",
					      NULL};
	struct zr_config *applied;
	struct zr_config *config;
	json_t *rows = json_array();
	int error = zr_config_load_folder(&config, folder);
	int result;

	if (error < 0) {
		json_decref(rows);
		return cli_print_error(error);
	}
	result = cli_config_fetch(&applied, options);
	if (result == CLI_EXIT_OK) {
		zr_config_diff(applied, config, add_difference, rows);
		cli_print_table(options, rows, columns);
	}
	json_decref(rows);
	zr_config_free(applied);
	zr_config_free(config);
	return result;
}

/* Prints the latest accepted changes and who made them. */
static int print_history(const struct cli_options *options)
{
	static const char *const columns[] = {"version", "author", NULL};
	struct zr_config *config;
	json_t *rows = json_array();
	int result = cli_config_fetch(&config, options);
	uint32_t i;

	for (i = 0; config && i < config->history_count; i++)
		json_array_append_new(
			rows, json_pack("{s:I, s:s}", "version",
					(json_int_t)config->history[i].version,
					"author", config->history[i].author));
	if (result == CLI_EXIT_OK)
		cli_print_table(options, rows, columns);
	json_decref(rows);
	zr_config_free(config);
	return result;
}

/* Prints the version that each process uses, as one entry daemon knows it. */
static int print_versions(const struct cli_options *options)
{
	static const char *const columns[] = {"process", "name",    "domain",
					      "address", "version", NULL};
	json_t *rows = json_array();
	json_t *status;
	json_t *row;
	size_t i;
	int result = cli_get_json_as_operator(&status, options, "/v1/status");

	json_array_foreach (json_object_get(status, "entries"), i, row) {
		json_object_set_new(row, "process", json_string("entry"));
		json_array_append(rows, row);
	}
	json_array_foreach (json_object_get(status, "schedulers"), i, row) {
		json_object_set_new(row, "process", json_string("scheduler"));
		json_object_set(row, "version",
				json_object_get(row, "config_version"));
		json_array_append(rows, row);
	}
	if (result == CLI_EXIT_OK)
		cli_print_table(options, rows, columns);
	json_decref(rows);
	json_decref(status);
	return result;
}

static int run_config(const struct cli_options *options, int argc, char **argv)
{
	if (argc == 2 && !strcmp(argv[0], "check"))
		return check_folder(argv[1]);
	if (argc == 2 && !strcmp(argv[0], "apply"))
		return cli_config_apply_folder(options, argv[1], false);
	if (argc == 3 && !strcmp(argv[0], "apply") &&
	    !strcmp(argv[1], "--move-keys"))
		return cli_config_apply_folder(options, argv[2], true);
	if (argc == 2 && !strcmp(argv[0], "diff"))
		return diff_folder(options, argv[1]);
	if (argc == 1 && !strcmp(argv[0], "show"))
		return print_applied_config(options);
	if (argc == 1 && !strcmp(argv[0], "history"))
		return print_history(options);
	if (argc == 1 && !strcmp(argv[0], "where"))
		return print_versions(options);
	return cli_print_usage(&cli_config);
}

const struct cli_command cli_config = {
	.name = "config",
	.args = "check FOLDER | diff FOLDER | apply [--move-keys] FOLDER | "
		"show | where | history",
	.help = "Check a configuration folder, show what applying it would "
		"change, or apply it; show the applied configuration, the "
		"version that each process uses, or who changed it.",
	.examples = "zinniarack config check examples/kitakaze\n"
		    "zinniarack config diff examples/kitakaze\n"
		    "zinniarack --json config where\n",
	.run = run_config,
};

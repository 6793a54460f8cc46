#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli.h"
#include "zinniarack/config.h"
#include "zinniarack/errors.h"

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
static int print_differences(const struct cli_options *options,
			     const struct zr_config *config)
{
	static const char *const columns[] = {"section", "name", "difference",
					      NULL};
	struct zr_config *applied;
	json_t *rows = json_array();
	int result = cli_config_fetch(&applied, options);
	if (result == CLI_EXIT_OK) {
		zr_config_diff(applied, config, add_difference, rows);
		cli_print_table(options, rows, columns);
	}
	json_decref(rows);
	zr_config_free(applied);
	return result;
}

static int diff_folder(const struct cli_options *options, const char *folder)
{
	struct zr_config *config;
	int error = zr_config_load_folder(&config, folder);
	int result;

	if (error < 0)
		return cli_print_error(error);
	result = print_differences(options, config);
	zr_config_free(config);
	return result;
}

/* A check of a folder: the workers that are known, and what was found. */
struct folder_check {
	json_t *workers; /* names as keys; NULL: not known */
	unsigned int findings;
};

static void print_finding(void *ctx, const char *path, size_t line,
			  const char *detail)
{
	struct folder_check *check = ctx;

	check->findings++;
	fprintf(stderr, "zinniarack: no effect: %s:%zu: %s\n", path, line,
		detail);
}

static bool knows_worker(void *ctx, const char *worker)
{
	const struct folder_check *check = ctx;

	return json_object_get(check->workers, worker) != NULL;
}

/* Reviews the folder; @check has the known workers, and counts findings. */
static int review_folder(struct zr_config **out, const char *folder,
			 struct folder_check *check)
{
	const struct zr_config_review review = {
		.found = print_finding,
		.knows_worker = check->workers ? knows_worker : NULL,
		.ctx = check,
	};
	int error = zr_config_review_folder(out, folder, &review);

	if (error < 0)
		return cli_print_error(error);
	printf("%s: valid: %u teams, %u queues, %u keys, %u jobs\n", folder,
	       (*out)->teams_count, (*out)->queues_count, (*out)->keys_count,
	       (*out)->jobs_count);
	return check->findings ? CLI_EXIT_INVALID : CLI_EXIT_OK;
}

static int check_folder(const char *folder)
{
	struct folder_check check = {0};
	struct zr_config *config = NULL;
	int result = review_folder(&config, folder, &check);

	zr_config_free(config);
	return result;
}

/*
 * Checks a folder, also against the workers that the schedulers know, and
 * prints the differences from the applied configuration.
 */
static int check_against_applied(const struct cli_options *options,
				 const char *folder)
{
	struct folder_check check = {0};
	struct zr_config *config = NULL;
	int result = cli_collect_workers(&check.workers, options);
	int checked;

	if (result != CLI_EXIT_OK)
		return result;
	checked = review_folder(&config, folder, &check);
	if (config)
		result = print_differences(options, config);
	zr_config_free(config);
	json_decref(check.workers);
	return checked != CLI_EXIT_OK ? checked : result;
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
	if (argc == 3 && !strcmp(argv[0], "check") &&
	    !strcmp(argv[1], "--applied"))
		return check_against_applied(options, argv[2]);
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
	.args = "check [--applied] FOLDER | diff FOLDER | apply [--move-keys] "
		"FOLDER | "
		"show | where | history",
	.help = "Check a configuration folder for errors and for entries "
		"without effect (exit code 3), with --applied also against "
		"the known workers and the applied configuration; show what "
		"applying it would change, or apply it; show the applied "
		"configuration, the "
		"version that each process uses, or who changed it.",
	.examples = "zinniarack config check examples/kitakaze\n"
		    "zinniarack config diff examples/kitakaze\n"
		    "zinniarack --json config where\n",
	.run = run_config,
};

#include <stdio.h>

#include "cli.h"

#define URL_PATH_SIZE 256

static int run_jobs(const struct cli_options *options, int argc, char **argv)
{
	static const char *const columns[] = {
		"id",	 "name",    "team",  "queue",  "kind", "state",
		"tasks", "running", "ended", "reason", NULL};
	json_t *response;
	int result;

	(void)argv;
	if (argc)
		return cli_print_usage(&cli_jobs);
	result = cli_get_json_as_operator(&response, options, "/v1/jobs");
	if (result == CLI_EXIT_OK)
		cli_print_table(options, json_object_get(response, "jobs"),
				columns);
	if (json_array_size(json_object_get(response, "domains_missing")))
		fprintf(stderr, "zinniarack: incomplete: some failure domains "
				"did not respond\n");
	json_decref(response);
	return result;
}

static int call_job(const struct cli_options *options, const char *method,
		    const char *id, const char *suffix)
{
	char path[URL_PATH_SIZE];
	struct cli_response response;
	int error;

	snprintf(path, sizeof(path), "/v1/jobs/%.128s%s", id, suffix);
	error = cli_call_as_operator(&response, options, method, path, NULL, 0);
	return error < 0 ? cli_print_error(error)
			 : cli_print_response(&response);
}

static void print_explanation(const json_t *response)
{
	json_t *rejections = json_object_get(response, "workers_refusing");
	const char *hint = json_string_value(json_object_get(response, "hint"));
	const char *reason;
	json_t *count;

	printf("%s\n",
	       hint && *hint ? hint : "nothing prevents it from running");
	printf("workers that fit: %" JSON_INTEGER_FORMAT "\n",
	       json_integer_value(
		       json_object_get(response, "workers_fitting")));
	printf("jobs ahead of it: %" JSON_INTEGER_FORMAT "\n",
	       json_integer_value(json_object_get(response, "jobs_before")));
	json_object_foreach (rejections, reason, count) {
		printf("workers rejected, %s: %" JSON_INTEGER_FORMAT "\n",
		       reason, json_integer_value(count));
	}
}

static int run_explain(const struct cli_options *options, int argc, char **argv)
{
	char path[URL_PATH_SIZE];
	json_t *response;
	int result;

	if (argc != 1)
		return cli_print_usage(&cli_explain);
	snprintf(path, sizeof(path), "/v1/jobs/%.128s/explain", argv[0]);
	result = cli_get_json_as_operator(&response, options, path);
	if (result == CLI_EXIT_OK && options->json)
		cli_print_json(response);
	else if (result == CLI_EXIT_OK)
		print_explanation(response);
	json_decref(response);
	return result;
}

static int run_cancel(const struct cli_options *options, int argc, char **argv)
{
	if (argc != 1)
		return cli_print_usage(&cli_cancel);
	return call_job(options, "DELETE", argv[0], "");
}

const struct cli_command cli_jobs = {
	.name = "jobs",
	.args = "",
	.help = "List the jobs of every team.",
	.examples = "zinniarack jobs\nzinniarack --json jobs\n",
	.run = run_jobs,
};

const struct cli_command cli_explain = {
	.name = "explain",
	.args = "ID",
	.help = "Explain why a job waits and why workers were rejected.",
	.examples = "zinniarack explain sapporo-1-42\n",
	.run = run_explain,
};

const struct cli_command cli_cancel = {
	.name = "cancel",
	.args = "ID",
	.help = "Cancel a job of any team. A job that the configuration "
		"declares is started again until it is removed there.",
	.examples = "zinniarack cancel sapporo-1-42\n",
	.run = run_cancel,
};

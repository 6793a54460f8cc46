#include <stdio.h>

#include "cli.h"

#define PATH_MAX_BYTES 256

static int run_jobs(const struct cli_options *options, int argc, char **argv)
{
	static const char *const columns[] = {
		"id",	 "name",    "team",  "queue",  "kind", "state",
		"tasks", "running", "ended", "reason", NULL};
	json_t *answer;
	int result;

	(void)argv;
	if (argc)
		return cli_usage(&cli_jobs);
	result = cli_get_operator(&answer, options, "/v1/jobs");
	if (result == CLI_EXIT_OK)
		cli_table(options, json_object_get(answer, "jobs"), columns);
	if (json_array_size(json_object_get(answer, "domains_missing")))
		fprintf(stderr, "zinniarack: not every failure domain "
				"answered\n");
	json_decref(answer);
	return result;
}

static int call(const struct cli_options *options, const char *method,
		const char *id, const char *suffix)
{
	char path[PATH_MAX_BYTES];
	struct cli_answer answer;
	int error;

	snprintf(path, sizeof(path), "/v1/jobs/%.128s%s", id, suffix);
	error = cli_call_operator(&answer, options, method, path, NULL, 0);
	return error < 0 ? cli_fail(error) : cli_show(&answer);
}

static void print_explanation(const json_t *answer)
{
	json_t *refusals = json_object_get(answer, "workers_refusing");
	const char *hint = json_string_value(json_object_get(answer, "hint"));
	const char *reason;
	json_t *count;

	printf("%s\n", hint && *hint ? hint : "nothing keeps it");
	printf("workers that fit: %" JSON_INTEGER_FORMAT "\n",
	       json_integer_value(json_object_get(answer, "workers_fitting")));
	printf("jobs before it: %" JSON_INTEGER_FORMAT "\n",
	       json_integer_value(json_object_get(answer, "jobs_before")));
	json_object_foreach (refusals, reason, count) {
		printf("workers passed over, %s: %" JSON_INTEGER_FORMAT "\n",
		       reason, json_integer_value(count));
	}
}

static int run_explain(const struct cli_options *options, int argc, char **argv)
{
	char path[PATH_MAX_BYTES];
	json_t *answer;
	int result;

	if (argc != 1)
		return cli_usage(&cli_explain);
	snprintf(path, sizeof(path), "/v1/jobs/%.128s/explain", argv[0]);
	result = cli_get_operator(&answer, options, path);
	if (result == CLI_EXIT_OK && options->json)
		cli_print_json(answer);
	else if (result == CLI_EXIT_OK)
		print_explanation(answer);
	json_decref(answer);
	return result;
}

static int run_cancel(const struct cli_options *options, int argc, char **argv)
{
	if (argc != 1)
		return cli_usage(&cli_cancel);
	return call(options, "DELETE", argv[0], "");
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
	.help = "Say why a job waits, and why each worker was passed over.",
	.examples = "zinniarack explain sapporo-1-42\n",
	.run = run_explain,
};

const struct cli_command cli_cancel = {
	.name = "cancel",
	.args = "ID",
	.help = "Cancel any team's job. A declared job is started again as "
		"long as it is declared.",
	.examples = "zinniarack cancel sapporo-1-42\n",
	.run = run_cancel,
};

#include "cli.h"

static json_t *team_to_json(const struct zr_config_team *team)
{
	return json_pack("{s:s, s:I, s:{s:I, s:I, s:I}}", "name", team->name,
			 "share", (json_int_t)team->share, "limit", "millicpus",
			 (json_int_t)team->limit.millicpus, "memory_mb",
			 (json_int_t)team->limit.memory_mb, "accelerators",
			 (json_int_t)team->limit.accelerators);
}

static int run_teams(const struct cli_options *options, int argc, char **argv)
{
	static const char *const columns[] = {"name",
					      "share",
					      "limit.millicpus",
					      "limit.memory_mb",
					      "limit.accelerators",
					      NULL};
	struct zr_config *config;
	json_t *rows;
	uint32_t i;
	int result;

	(void)argv;
	if (argc)
		return cli_print_usage(&cli_teams);
	rows = json_array();
	result = cli_config_fetch(&config, options);
	for (i = 0; config && i < config->teams_count; i++)
		json_array_append_new(rows, team_to_json(&config->teams[i]));
	if (result == CLI_EXIT_OK)
		cli_print_table(options, rows, columns);
	json_decref(rows);
	zr_config_free(config);
	return result;
}

static int run_queues(const struct cli_options *options, int argc, char **argv)
{
	static const char *const columns[] = {"name", "team", "open", "worth",
					      NULL};
	struct zr_config *config;
	json_t *rows;
	uint32_t i;
	int result;

	(void)argv;
	if (argc)
		return cli_print_usage(&cli_queues);
	rows = json_array();
	result = cli_config_fetch(&config, options);
	for (i = 0; config && i < config->queues_count; i++) {
		const struct zr_config_queue *queue = &config->queues[i];

		json_array_append_new(
			rows,
			json_pack("{s:s, s:s, s:b, s:I}", "name", queue->name,
				  "team", queue->team ? queue->team : "",
				  "open", (int)queue->open, "worth",
				  (json_int_t)queue->worth));
	}
	if (result == CLI_EXIT_OK)
		cli_print_table(options, rows, columns);
	json_decref(rows);
	zr_config_free(config);
	return result;
}

const struct cli_command cli_teams = {
	.name = "teams",
	.args = "",
	.help = "List the teams with their shares and limits; a limit of 0 "
		"means unlimited.",
	.examples = "zinniarack teams\n",
	.run = run_teams,
};

const struct cli_command cli_queues = {
	.name = "queues",
	.args = "",
	.help = "List the queues; one without a team accepts jobs of any team.",
	.examples = "zinniarack queues\n",
	.run = run_queues,
};

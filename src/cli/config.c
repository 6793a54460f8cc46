#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli.h"
#include "zinniarack/config.h"
#include "zinniarack/errors.h"

#define PATH_MAX_BYTES 64

static int check(const char *folder)
{
	struct zr_config *config;
	int error = zr_config_load_folder(&config, folder);

	if (error < 0)
		return cli_fail(error);
	printf("%s: valid: %u teams, %u queues, %u keys, %u jobs\n", folder,
	       config->teams_count, config->queues_count, config->keys_count,
	       config->jobs_count);
	zr_config_free(config);
	return CLI_EXIT_OK;
}

static int show(const struct cli_options *options)
{
	struct cli_answer answer;
	int error = cli_call_operator(&answer, options, "GET", "/v1/config",
				      NULL, 0);

	return error < 0 ? cli_fail(error) : cli_show(&answer);
}

/* The version in force, so that a change made meanwhile is a conflict. */
static int read_version(uint64_t *out, const struct cli_options *options)
{
	struct zr_config *config;
	struct cli_answer answer;
	int error = cli_call_operator(&answer, options, "GET", "/v1/config",
				      NULL, 0);

	*out = 0;
	if (error < 0)
		return error;
	if (answer.status == 200)
		error = zr_config_parse(&config, "configuration in force",
					answer.body, answer.length);
	if (!error && answer.status == 200) {
		*out = config->version;
		zr_config_free(config);
	}
	free(answer.body);
	return error;
}

static int put(const struct cli_options *options,
	       const struct zr_config *config)
{
	char path[PATH_MAX_BYTES];
	struct cli_answer answer;
	uint64_t version;
	size_t length = 0;
	char *text = NULL;
	int error = read_version(&version, options);

	if (!error)
		error = zr_config_print(&text, &length, config);
	if (error < 0)
		return cli_fail(error);
	snprintf(path, sizeof(path), "/v1/config?expected=%" PRIu64, version);
	error = cli_call_operator(&answer, options, "PUT", path, text, length);
	free(text);
	return error < 0 ? cli_fail(error) : cli_show(&answer);
}

static int apply(const struct cli_options *options, const char *folder)
{
	struct zr_config *config;
	int result;
	int error = zr_config_load_folder(&config, folder);

	if (error < 0)
		return cli_fail(error);
	result = put(options, config);
	zr_config_free(config);
	return result;
}

static int run(const struct cli_options *options, int argc, char **argv)
{
	if (argc == 2 && !strcmp(argv[0], "check"))
		return check(argv[1]);
	if (argc == 2 && !strcmp(argv[0], "apply"))
		return apply(options, argv[1]);
	if (argc == 1 && !strcmp(argv[0], "show"))
		return show(options);
	return cli_usage(&cli_config);
}

const struct cli_command cli_config = {
	.name = "config",
	.args = "check FOLDER | apply FOLDER | show",
	.help = "Check or apply a configuration folder, or show what is in "
		"force.",
	.run = run,
};

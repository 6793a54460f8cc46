#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli.h"

#define HELP_SIZE 8192
#define DEFAULT_ENTRY_ADDRESS "127.0.0.1:8080"

const char *argp_program_version = "zinniarack 0.1";

static const struct cli_command *const commands[] = {
	&cli_config,  &cli_teams,   &cli_queues,  &cli_key,	 &cli_status,
	&cli_domains, &cli_recover, &cli_workers, &cli_drain,	 &cli_undrain,
	&cli_jobs,    &cli_explain, &cli_cancel,  &cli_counters, &cli_submit,
	&cli_job,     &cli_trace,   &cli_domain,
};

#define COMMAND_COUNT (sizeof(commands) / sizeof(commands[0]))

struct command_line {
	struct cli_options options;
	/* The subcommand and its arguments. */
	int argc;
	char **argv;
};

static const struct argp_option options[] = {
	{"entry", 'e', "ADDRESS", 0,
	 "Entry daemon to call (default: $ZINNIARACK_ENTRY "
	 "or " DEFAULT_ENTRY_ADDRESS ")",
	 0},
	{"key", 'k', "KEY", 0, "Caller's API key (default: $ZINNIARACK_KEY)",
	 0},
	{"operator-key", 'o', "KEY", 0,
	 "Operator's API key (default: $ZINNIARACK_OPERATOR_KEY)", 0},
	{"json", 'j', NULL, 0, "Print JSON instead of tables", 0},
	{0},
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct command_line *line = state->input;

	switch (key) {
	case 'e':
		line->options.entry_address = arg;
		return 0;
	case 'k':
		line->options.key = arg;
		return 0;
	case 'o':
		line->options.operator_key = arg;
		return 0;
	case 'j':
		line->options.json = true;
		return 0;
	case ARGP_KEY_ARG:
		/* Leave the subcommand and its arguments unparsed. */
		line->argv = &state->argv[state->next - 1];
		line->argc = state->argc - state->next + 1;
		state->next = state->argc;
		return 0;
	case ARGP_KEY_END:
		if (!line->argc)
			argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const char exit_codes[] =
	"Exit codes: 0 done, 1 refused, 2 wrong command line, 3 invalid "
	"file,\n4 no entry daemon responded, 5 conflict with another change.\n";

static void format_help(char *out, size_t size)
{
	size_t used;
	size_t i;

	used = (size_t)snprintf(
		out, size,
		"Command-line client of zinniarack.\vSubcommands:\n");
	for (i = 0; i < COMMAND_COUNT; i++)
		used += (size_t)snprintf(out + used, size - used,
					 "  %s %s\n      %s\n",
					 commands[i]->name, commands[i]->args,
					 commands[i]->help);
	snprintf(out + used, size - used, "\n%s", exit_codes);
}

static int print_command_help(const struct cli_command *command)
{
	printf("usage: zinniarack %s %s\n\n%s\n\nExamples:\n%s\n%s",
	       command->name, command->args, command->help, command->examples,
	       exit_codes);
	return CLI_EXIT_OK;
}

static bool is_help_request(const struct command_line *line)
{
	return line->argc == 2 && (!strcmp(line->argv[1], "--help") ||
				   !strcmp(line->argv[1], "help"));
}

static int run_command(const struct command_line *line)
{
	size_t i;

	for (i = 0; i < COMMAND_COUNT; i++) {
		if (strcmp(line->argv[0], commands[i]->name))
			continue;
		if (is_help_request(line))
			return print_command_help(commands[i]);
		return commands[i]->run(&line->options, line->argc - 1,
					line->argv + 1);
	}
	fprintf(stderr, "zinniarack: unknown subcommand '%s'; see --help\n",
		line->argv[0]);
	return CLI_EXIT_USAGE;
}

int main(int argc, char **argv)
{
	static char doc[HELP_SIZE];
	const struct argp argp = {
		.options = options,
		.parser = parse_option,
		.args_doc = "SUBCOMMAND [ARGUMENTS]",
		.doc = doc,
	};
	struct command_line line = {0};

	line.options.entry_address = getenv("ZINNIARACK_ENTRY");
	line.options.key = getenv("ZINNIARACK_KEY");
	line.options.operator_key = getenv("ZINNIARACK_OPERATOR_KEY");
	if (!line.options.entry_address)
		line.options.entry_address = DEFAULT_ENTRY_ADDRESS;
	format_help(doc, sizeof(doc));
	argp_err_exit_status = CLI_EXIT_USAGE;
	argp_parse(&argp, argc, argv, ARGP_IN_ORDER, NULL, &line);
	return run_command(&line);
}

#include "cli.h"

static int run_status(const struct cli_options *options, int argc, char **argv)
{
	struct cli_response response;
	int error;

	(void)argv;
	if (argc)
		return cli_print_usage(&cli_status);
	error = cli_call(&response, options, "GET", "/v1/status", NULL, 0);
	return error < 0 ? cli_print_error(error)
			 : cli_print_response(&response);
}

static int run_domains(const struct cli_options *options, int argc, char **argv)
{
	static const char *const columns[] = {
		"domain", "name", "address", "heard", "active", "epoch", NULL};
	json_t *status;
	int result;

	(void)argv;
	if (argc)
		return cli_print_usage(&cli_domains);
	result = cli_get_json_as_operator(&status, options, "/v1/status");
	if (result == CLI_EXIT_OK)
		cli_print_table(options, json_object_get(status, "schedulers"),
				columns);
	json_decref(status);
	return result;
}

const struct cli_command cli_status = {
	.name = "status",
	.args = "",
	.help = "Show the schedulers and the applied configuration, as JSON.",
	.examples = "zinniarack status\n",
	.run = run_status,
};

const struct cli_command cli_domains = {
	.name = "domains",
	.args = "",
	.help = "List the schedulers of each failure domain and show which one "
		"is active.",
	.examples = "zinniarack domains\n",
	.run = run_domains,
};

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uv.h>

#include "cli.h"
#include "net/http_client.h"
#include "zinniarack/errors.h"

#define TIMEOUT_MS 40000
#define AUTHORIZATION_MAX 256

struct waiting {
	struct cli_answer *answer;
	struct zr_http_client *client;
	int error;
};

static void on_answer(void *ctx, int error,
		      const struct zr_http_response *answer)
{
	struct waiting *waiting = ctx;

	waiting->error = error;
	if (!error) {
		waiting->answer->status = answer->status;
		waiting->answer->length = answer->body_length;
		waiting->answer->body = malloc(answer->body_length + 1);
		if (!waiting->answer->body)
			abort();
		memcpy(waiting->answer->body, answer->body,
		       answer->body_length);
		waiting->answer->body[answer->body_length] = '\0';
	}
	zr_http_client_free(waiting->client);
}

int cli_call(struct cli_answer *out, const struct cli_options *options,
	     const char *method, const char *path, const void *body,
	     size_t length)
{
	char authorization[AUTHORIZATION_MAX];
	struct zr_http_header_field header = {"Authorization", authorization};
	struct waiting waiting = {.answer = out};
	struct zr_http_call call = {
		.method = method,
		.path = path,
		.content_type = body ? "application/octet-stream" : NULL,
		.headers = &header,
		.header_count = options->key ? 1 : 0,
		.body = body,
		.body_length = length,
		.timeout_ms = TIMEOUT_MS,
	};
	uv_loop_t *loop = uv_default_loop();
	int error;

	memset(out, 0, sizeof(*out));
	if (options->key)
		snprintf(authorization, sizeof(authorization), "Bearer %s",
			 options->key);
	error = zr_http_client_new(&waiting.client, loop, options->entry, NULL);
	if (error < 0)
		return error;
	zr_http_client_call(waiting.client, &call, on_answer, &waiting);
	uv_run(loop, UV_RUN_DEFAULT);
	if (waiting.error == ZR_E_UNREACHABLE)
		return zr_error_set(ZR_E_UNREACHABLE,
				    "no entry daemon answers at %s",
				    options->entry);
	if (waiting.error < 0)
		return zr_error_set(waiting.error, "%s %s", method, path);
	return 0;
}

int cli_call_operator(struct cli_answer *out, const struct cli_options *options,
		      const char *method, const char *path, const void *body,
		      size_t length)
{
	struct cli_options with_key = *options;

	if (options->operator_key)
		with_key.key = options->operator_key;
	return cli_call(out, &with_key, method, path, body, length);
}

int cli_get_operator(json_t **out, const struct cli_options *options,
		     const char *path)
{
	struct cli_answer answer;
	int error = cli_call_operator(&answer, options, "GET", path, NULL, 0);

	*out = NULL;
	if (error < 0)
		return cli_fail(error);
	if (answer.status != 200)
		return cli_show(&answer);
	*out = json_loadb(answer.body, answer.length, 0, NULL);
	free(answer.body);
	if (*out)
		return CLI_EXIT_OK;
	zr_error_set(ZR_E_PROTOCOL, "%s: the answer is not JSON", path);
	return cli_fail(ZR_E_PROTOCOL);
}

int cli_show(struct cli_answer *answer)
{
	int status = answer->status;
	bool raced = strstr(answer->body, "\"error\":\"conflict\"") != NULL;

	fwrite(answer->body, 1, answer->length, stdout);
	if (answer->length && answer->body[answer->length - 1] != '\n')
		putchar('\n');
	free(answer->body);
	if (raced)
		return CLI_EXIT_CONFLICT;
	return status < 300 ? CLI_EXIT_OK : CLI_EXIT_REFUSED;
}

int cli_fail(int error)
{
	fprintf(stderr, "zinniarack: %s: %s\n", zr_error_name(error),
		zr_error_last());
	switch (error) {
	case ZR_E_UNREACHABLE:
	case ZR_E_OUTCOME_UNKNOWN:
		return CLI_EXIT_UNREACHABLE;
	case ZR_E_INVALID:
	case ZR_E_NOT_FOUND:
	case ZR_E_CONFLICT:
		return CLI_EXIT_INVALID;
	default:
		return CLI_EXIT_REFUSED;
	}
}

int cli_usage(const struct cli_command *command)
{
	fprintf(stderr,
		"usage: zinniarack %s %s\nTry 'zinniarack %s --help'.\n",
		command->name, command->args, command->name);
	return CLI_EXIT_USAGE;
}

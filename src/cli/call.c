#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uv.h>

#include "cli.h"
#include "net/http_client.h"
#include "zinniarack/errors.h"

/* Longer than the 30 s for which `job wait` lets the daemon wait. */
#define CALL_TIMEOUT_MS 40000
/* Size of an Authorization header value, with the final NUL. */
#define AUTHORIZATION_SIZE 256

struct pending_call {
	struct cli_response *response;
	struct zr_http_client *client;
	int error;
};

static void on_response(void *ctx, int error,
			const struct zr_http_response *response)
{
	struct pending_call *pending = ctx;

	pending->error = error;
	if (!error) {
		pending->response->status = response->status;
		pending->response->length = response->body_length;
		pending->response->body = malloc(response->body_length + 1);
		if (!pending->response->body)
			abort();
		memcpy(pending->response->body, response->body,
		       response->body_length);
		pending->response->body[response->body_length] = '\0';
	}
	zr_http_client_free(pending->client);
}

int cli_call(struct cli_response *out, const struct cli_options *options,
	     const char *method, const char *path, const void *body,
	     size_t length)
{
	char authorization[AUTHORIZATION_SIZE];
	struct zr_http_header_field header = {"Authorization", authorization};
	struct pending_call pending = {.response = out};
	struct zr_http_call call = {
		.method = method,
		.path = path,
		.content_type = body ? "application/octet-stream" : NULL,
		.headers = &header,
		.header_count = options->key ? 1 : 0,
		.body = body,
		.body_length = length,
		.timeout_ms = CALL_TIMEOUT_MS,
	};
	uv_loop_t *loop = uv_default_loop();
	int error;

	memset(out, 0, sizeof(*out));
	if (options->key)
		snprintf(authorization, sizeof(authorization), "Bearer %s",
			 options->key);
	error = zr_http_client_new(&pending.client, loop,
				   options->entry_address, NULL);
	if (error < 0)
		return error;
	zr_http_client_call(pending.client, &call, on_response, &pending);
	uv_run(loop, UV_RUN_DEFAULT);
	if (pending.error == ZR_E_UNREACHABLE)
		return zr_error_set(ZR_E_UNREACHABLE,
				    "no entry daemon responds at %s",
				    options->entry_address);
	if (pending.error < 0)
		return zr_error_set(pending.error, "%s %s", method, path);
	return 0;
}

int cli_call_as_operator(struct cli_response *out,
			 const struct cli_options *options, const char *method,
			 const char *path, const void *body, size_t length)
{
	struct cli_options operator_options = *options;

	if (options->operator_key)
		operator_options.key = options->operator_key;
	return cli_call(out, &operator_options, method, path, body, length);
}

int cli_get_json_as_operator(json_t **out, const struct cli_options *options,
			     const char *path)
{
	struct cli_response response;
	int error =
		cli_call_as_operator(&response, options, "GET", path, NULL, 0);

	*out = NULL;
	if (error < 0)
		return cli_print_error(error);
	if (response.status != 200)
		return cli_print_response(&response);
	*out = json_loadb(response.body, response.length, 0, NULL);
	free(response.body);
	if (*out)
		return CLI_EXIT_OK;
	zr_error_set(ZR_E_PROTOCOL, "%s: the response is not valid JSON", path);
	return cli_print_error(ZR_E_PROTOCOL);
}

int cli_print_response(struct cli_response *response)
{
	int status = response->status;
	bool is_conflict =
		strstr(response->body, "\"error\":\"conflict\"") != NULL;

	fwrite(response->body, 1, response->length, stdout);
	if (response->length && response->body[response->length - 1] != '\n')
		putchar('\n');
	free(response->body);
	if (is_conflict)
		return CLI_EXIT_CONFLICT;
	return status < 300 ? CLI_EXIT_OK : CLI_EXIT_REFUSED;
}

int cli_print_error(int error)
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

int cli_print_usage(const struct cli_command *command)
{
	fprintf(stderr,
		"usage: zinniarack %s %s\nTry 'zinniarack %s --help'.\n",
		command->name, command->args, command->name);
	return CLI_EXIT_USAGE;
}

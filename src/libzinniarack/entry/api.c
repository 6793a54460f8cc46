#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "entry/private.h"
#include "net/metrics_page.h"
#include "zinniarack/errors.h"

#define RETRY_AFTER_S "1"
/* Operators evacuate a failure domain for minutes or longer. */
#define RETRY_AFTER_EVACUATED_S "10"

static int http_status(int error)
{
	switch (error) {
	case ZR_E_INVALID:
		return 400;
	case ZR_E_UNAUTHORIZED:
		return 401;
	case ZR_E_FORBIDDEN:
		return 403;
	case ZR_E_NOT_FOUND:
		return 404;
	case ZR_E_CONFLICT:
	case ZR_E_EXISTS:
	case ZR_E_STATE:
		return 409;
	case ZR_E_TOO_LARGE:
		return 413;
	case ZR_E_NEVER_FITS:
	case ZR_E_LIMIT:
		return 422;
	case ZR_E_OUTCOME_UNKNOWN:
	case ZR_E_PROTOCOL:
	case ZR_E_CANCELLED:
	case ZR_E_TIMEOUT:
		return 502;
	default:
		return 503;
	}
}

/* Returns whether the request certainly had no effect. */
static bool did_not_run(int error)
{
	/* A call that was cancelled or timed out may have been sent before. */
	return http_status(error) != 502;
}

void entry_reply_json(struct zr_http_exchange *exchange, int status, void *json)
{
	char *text = json_dumps(json, JSON_COMPACT);

	if (!text)
		abort();
	zr_http_reply(exchange, status, "application/json", text, strlen(text));
	free(text);
	json_decref(json);
}

void entry_reply_error(struct zr_http_exchange *exchange, int error,
		       const char *detail)
{
	int status = http_status(error);

	if (status == 503)
		zr_http_add_reply_header(exchange, "retry-after",
					 error == ZR_E_EVACUATED
						 ? RETRY_AFTER_EVACUATED_S
						 : RETRY_AFTER_S);
	entry_reply_json(exchange, status,
			 json_pack("{s:s, s:s, s:b}", "error",
				   zr_error_name(error), "detail", detail,
				   "not_run", (int)did_not_run(error)));
}

/* Requests that wait for a result */

static void on_disconnect(void *ctx)
{
	struct entry_call *call = ctx;

	call->exchange = NULL;
}

struct entry_call *entry_call_new(struct zr_entry *entry,
				  struct zr_http_exchange *exchange)
{
	struct entry_call *call = calloc(1, sizeof(*call));

	if (!call)
		abort();
	call->entry = entry;
	call->exchange = exchange;
	zr_http_set_on_disconnect(exchange, on_disconnect, call);
	return call;
}

void entry_call_finish_error(struct entry_call *call, int error,
			     const char *detail)
{
	if (call->exchange)
		entry_reply_error(call->exchange, error, detail);
	free(call);
}

void entry_call_finish_json(struct entry_call *call, int status, void *json)
{
	if (call->exchange)
		entry_reply_json(call->exchange, status, json);
	else
		json_decref(json);
	free(call);
}

/* Dispatch */

/* Returns the rest of the path, or NULL if it doesn't have the prefix. */
static const char *skip_prefix(const char *path, const char *prefix)
{
	size_t length = strlen(prefix);

	if (strncmp(path, prefix, length) ||
	    (path[length] && path[length] != '/'))
		return NULL;
	return path + length;
}

void entry_handle(void *ctx, struct zr_http_exchange *exchange)
{
	const char *path = zr_http_get_path(exchange);
	struct zr_entry *entry = ctx;
	const char *rest;

	if (zr_http_server_is_draining(entry->http))
		entry_reply_error(exchange, ZR_E_SHUTTING_DOWN,
				  "this host is shutting down");
	else if ((rest = skip_prefix(path, "/v1/jobs")))
		entry_handle_jobs(entry, exchange, rest);
	else if ((rest = skip_prefix(path, "/v1/services")))
		entry_handle_requests(entry, exchange, rest);
	else if ((rest = skip_prefix(path, "/v1/domains")))
		entry_handle_domains(entry, exchange, rest);
	else if (!strcmp(path, "/v1/config"))
		entry_handle_config(entry, exchange);
	else if (!strcmp(path, "/v1/status"))
		entry_handle_status(entry, exchange);
	else if (!strcmp(path, "/v1/workers"))
		entry_handle_workers(entry, exchange);
	else if (!strcmp(path, "/metrics"))
		zr_metrics_page_serve(entry->metrics, exchange);
	else
		entry_reply_error(exchange, ZR_E_NOT_FOUND, "no such path");
}

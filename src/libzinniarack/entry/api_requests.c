#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry/private.h"
#include "zinniarack/errors.h"

#define DEFAULT_TIMEOUT_MS 2000
#define TIMEOUT_MS_MAX 10000
#define MS_PER_S 1000
#define SECONDS_LENGTH_MAX 16
#define PATH_SUFFIX "/requests"

/* A short request that waits for its response. */
struct request {
	struct zr_entry *entry;
	struct zr_http_exchange *exchange;
	zr_handle handle;
	/* Whether zr_router_send() or zr_once_send() has returned. */
	bool send_returned;
	bool done;
	bool has_key;
};

/* Replies */

static const char *error_detail(int error)
{
	switch (error) {
	case ZR_E_OUTCOME_UNKNOWN:
		return "the request was sent, but no complete response arrived";
	case ZR_E_OVERLOADED:
		return "the response would miss the deadline";
	case ZR_E_NOT_FOUND:
		return "no such service";
	case ZR_E_CONFLICT:
		return "the idempotency key was used for a different request";
	case ZR_E_FULL:
		return "too many requests with an idempotency key";
	case ZR_E_STORE_DOWN:
		return "the idempotency key cannot be stored";
	default:
		return "the request was not sent to any worker";
	}
}

static void reply_overloaded(struct zr_http_exchange *exchange,
			     unsigned int retry_after_ms)
{
	char seconds[SECONDS_LENGTH_MAX];

	snprintf(seconds, sizeof(seconds), "%u",
		 (retry_after_ms + MS_PER_S - 1) / MS_PER_S);
	zr_http_add_reply_header(exchange, "retry-after", seconds);
	entry_reply_json(exchange, 503,
			 json_pack("{s:s, s:s, s:b, s:i}", "error",
				   zr_error_name(ZR_E_OVERLOADED), "detail",
				   error_detail(ZR_E_OVERLOADED), "not_run", 1,
				   "retry_after_ms", (int)retry_after_ms));
}

static void reply_response(struct zr_http_exchange *exchange,
			   const struct zr_route_response *response)
{
	if (response->error == ZR_E_OVERLOADED)
		reply_overloaded(exchange, response->retry_after_ms);
	else if (response->error < 0)
		entry_reply_error(exchange, response->error,
				  error_detail(response->error));
	else
		zr_http_reply(exchange, response->status,
			      "application/octet-stream", response->body,
			      response->length);
}

static void on_response(void *ctx, const struct zr_route_response *response)
{
	struct request *request = ctx;

	request->done = true;
	if (request->exchange)
		reply_response(request->exchange, response);
	if (request->send_returned)
		free(request);
}

/*
 * Cancels the request, unless it has an idempotency key: then a repeated
 * request needs its response.
 */
static void on_disconnect(void *ctx)
{
	struct request *request = ctx;

	request->exchange = NULL;
	if (request->has_key)
		return;
	zr_router_cancel(request->entry->router, request->handle);
	free(request);
}

/* Parsing */

/* Parses a query parameter. Without a number above 0 returns the default. */
static unsigned int parse_number(struct zr_http_exchange *exchange,
				 const char *name, unsigned int max,
				 unsigned int default_value)
{
	const char *text = zr_http_get_query_param(exchange, name);
	unsigned long number = text ? strtoul(text, NULL, 10) : 0;

	if (!number)
		return default_value;
	return number > max ? max : (unsigned int)number;
}

/* Parses `/NAME/requests`. */
static bool parse_service(char out[ZR_NAME_MAX], const char *rest)
{
	size_t length = strlen(rest);
	size_t suffix = strlen(PATH_SUFFIX);

	if (length < suffix + 2 || strcmp(rest + length - suffix, PATH_SUFFIX))
		return false;
	length -= suffix + 1;
	if (length >= ZR_NAME_MAX)
		return false;
	memcpy(out, rest + 1, length);
	out[length] = '\0';
	return !strpbrk(out, "/ \r\n");
}

static uint32_t team_share(const struct zr_entry *entry, const char *team)
{
	const struct zr_config_team *config_team = zr_config_find_team(
		zr_config_watch_current(entry->config), team);

	return config_team && config_team->share ? config_team->share : 1;
}

static bool has_once_parameter(struct zr_http_exchange *exchange)
{
	const char *value = zr_http_get_query_param(exchange, "once");

	return value && !strcmp(value, "true");
}

/*
 * Reads the idempotency key, or NULL if there is none. A key consists of
 * printable characters other than the space and the slash.
 */
static int read_idempotency_key(const char **out,
				struct zr_http_exchange *exchange)
{
	const char *key = zr_http_get_header(exchange, "idempotency-key");
	const char *at;

	*out = key;
	if (!key)
		return 0;
	for (at = key; *at; at++) {
		if (*at <= ' ' || *at > '~' || *at == '/')
			return ZR_E_INVALID;
	}
	return at == key || at - key >= ZR_IDEMPOTENCY_KEY_MAX ? ZR_E_INVALID
							       : 0;
}

/* Routing */

static void send_request(struct zr_entry *entry,
			 struct zr_http_exchange *exchange,
			 const struct zr_route_request *route, const char *key)
{
	struct request *request = calloc(1, sizeof(*request));

	if (!request)
		abort();
	request->entry = entry;
	request->exchange = exchange;
	request->has_key = key != NULL;
	if (key)
		zr_once_send(entry->router, &entry->once_backend, entry->clock,
			     route, key, on_response, request);
	else
		request->handle = zr_router_send(entry->router, route,
						 on_response, request);
	request->send_returned = true;
	if (request->done)
		free(request);
	else
		zr_http_set_on_disconnect(exchange, on_disconnect, request);
}

static void route_request(struct zr_entry *entry,
			  struct zr_http_exchange *exchange,
			  const char *service, const char *team,
			  const char *key)
{
	char id[ZR_ROUTE_ID_MAX];
	struct zr_route_request route = {
		.service = service,
		.id = id,
		.team = team,
		.share = team_share(entry, team),
		.worth = parse_number(exchange, "worth", ZR_WORTH_MAX, 0),
		.timeout_ms = parse_number(exchange, "timeout_ms",
					   TIMEOUT_MS_MAX, DEFAULT_TIMEOUT_MS),
		.idempotent = !has_once_parameter(exchange),
	};

	snprintf(id, sizeof(id), "%.40s-%" PRIu64, entry->settings->name,
		 ++entry->request_sequence);
	route.body = zr_http_get_body(exchange, &route.length);
	send_request(entry, exchange, &route, key);
}

void entry_handle_requests(struct zr_entry *entry,
			   struct zr_http_exchange *exchange, const char *rest)
{
	char service[ZR_NAME_MAX];
	const char *team;
	const char *key;
	int error = entry_authenticate_team(&team, entry, exchange);

	if (error < 0)
		entry_reply_error(exchange, error, zr_error_last());
	else if (strcmp(zr_http_get_method(exchange), "POST") ||
		 !parse_service(service, rest))
		entry_reply_error(exchange, ZR_E_NOT_FOUND,
				  "POST /v1/services/NAME/requests");
	else if (read_idempotency_key(&key, exchange) < 0)
		entry_reply_error(exchange, ZR_E_INVALID,
				  "Idempotency-Key must be 1 to 127 printable "
				  "characters without spaces and slashes");
	else
		route_request(entry, exchange, service, team, key);
}

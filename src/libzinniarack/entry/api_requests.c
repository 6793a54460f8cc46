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
#define NUMBER_MAX 16
#define SUFFIX "/requests"

/* A request on its way, until it is answered or its caller is gone. */
struct request {
	struct zr_entry *entry;
	struct zr_http_exchange *exchange;
	zr_handle handle;
	bool sent; /* the call that sends it has returned */
	bool done;
	bool keyed;
};

/* Replies */

static const char *detail_of(int error)
{
	switch (error) {
	case ZR_E_OUTCOME_UNKNOWN:
		return "sent, and no whole answer came";
	case ZR_E_OVERLOADED:
		return "cannot be answered in time";
	case ZR_E_NOT_FOUND:
		return "no such service";
	case ZR_E_CONFLICT:
		return "the key was used for another request";
	case ZR_E_FULL:
		return "too many requests with a key";
	case ZR_E_STORE_DOWN:
		return "the key cannot be kept";
	default:
		return "not sent to any worker";
	}
}

static void reply_overloaded(struct zr_http_exchange *exchange,
			     unsigned int retry_after_ms)
{
	char seconds[NUMBER_MAX];

	snprintf(seconds, sizeof(seconds), "%u",
		 (retry_after_ms + MS_PER_S - 1) / MS_PER_S);
	zr_http_reply_header(exchange, "retry-after", seconds);
	entry_reply_json(exchange, 503,
			 json_pack("{s:s, s:s, s:b, s:i}", "error",
				   zr_error_name(ZR_E_OVERLOADED), "detail",
				   detail_of(ZR_E_OVERLOADED), "not_run", 1,
				   "retry_after_ms", (int)retry_after_ms));
}

static void reply(struct zr_http_exchange *exchange,
		  const struct zr_route_response *answer)
{
	if (answer->error == ZR_E_OVERLOADED)
		reply_overloaded(exchange, answer->retry_after_ms);
	else if (answer->error < 0)
		entry_reply_error(exchange, answer->error,
				  detail_of(answer->error));
	else
		zr_http_reply(exchange, answer->status,
			      "application/octet-stream", answer->body,
			      answer->length);
}

static void on_answer(void *ctx, const struct zr_route_response *answer)
{
	struct request *request = ctx;

	request->done = true;
	if (request->exchange)
		reply(request->exchange, answer);
	if (request->sent)
		free(request);
}

/* What must run once for a key goes on: a repeat wants its answer. */
static void on_gone(void *ctx)
{
	struct request *request = ctx;

	request->exchange = NULL;
	if (request->keyed)
		return;
	zr_router_cancel(request->entry->router, request->handle);
	free(request);
}

/* Reading */

static unsigned int read_number(struct zr_http_exchange *exchange,
				const char *name, unsigned int most,
				unsigned int otherwise)
{
	const char *text = zr_http_query(exchange, name);
	unsigned long number = text ? strtoul(text, NULL, 10) : 0;

	if (!number)
		return otherwise;
	return number > most ? most : (unsigned int)number;
}

static bool read_service(char out[ZR_NAME_MAX], const char *rest)
{
	size_t length = strlen(rest);
	size_t suffix = strlen(SUFFIX);

	if (length < suffix + 2 || strcmp(rest + length - suffix, SUFFIX))
		return false;
	length -= suffix + 1;
	if (length >= ZR_NAME_MAX)
		return false;
	memcpy(out, rest + 1, length);
	out[length] = '\0';
	return !strpbrk(out, "/ \r\n");
}

static uint32_t share_of(const struct zr_entry *entry, const char *team)
{
	const struct zr_config_team *row = zr_config_find_team(
		zr_config_watch_current(entry->config), team);

	return row && row->share ? row->share : 1;
}

static bool once(struct zr_http_exchange *exchange)
{
	const char *value = zr_http_query(exchange, "once");

	return value && !strcmp(value, "true");
}

/* A key of printable characters without spaces, or none. */
static int read_key(const char **out, struct zr_http_exchange *exchange)
{
	const char *key = zr_http_header(exchange, "idempotency-key");
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
	request->keyed = key != NULL;
	if (key)
		zr_once_send(entry->router, &entry->once, entry->clock, route,
			     key, on_answer, request);
	else
		request->handle = zr_router_send(entry->router, route,
						 on_answer, request);
	request->sent = true;
	if (request->done)
		free(request);
	else
		zr_http_on_gone(exchange, on_gone, request);
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
		.share = share_of(entry, team),
		.worth = read_number(exchange, "worth", ZR_WORTH_MAX, 0),
		.timeout_ms = read_number(exchange, "timeout_ms",
					  TIMEOUT_MS_MAX, DEFAULT_TIMEOUT_MS),
		.idempotent = !once(exchange),
	};

	snprintf(id, sizeof(id), "%.40s-%" PRIu64, entry->settings->name,
		 ++entry->request_sequence);
	route.body = zr_http_body(exchange, &route.length);
	send_request(entry, exchange, &route, key);
}

void entry_requests(struct zr_entry *entry, struct zr_http_exchange *exchange,
		    const char *rest)
{
	char service[ZR_NAME_MAX];
	const char *team;
	const char *key;
	int error = entry_authenticate(&team, entry, exchange);

	if (error < 0)
		entry_reply_error(exchange, error, zr_error_last());
	else if (strcmp(zr_http_method(exchange), "POST") ||
		 !read_service(service, rest))
		entry_reply_error(exchange, ZR_E_NOT_FOUND,
				  "POST /v1/services/NAME/requests");
	else if (read_key(&key, exchange) < 0)
		entry_reply_error(exchange, ZR_E_INVALID,
				  "Idempotency-Key: 1 to 127 printable "
				  "characters, no space, no slash");
	else
		route_request(entry, exchange, service, team, key);
}

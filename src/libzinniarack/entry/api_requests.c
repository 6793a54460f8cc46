#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry/private.h"
#include "zinniarack/errors.h"

#define DEFAULT_TIMEOUT_MS 2000
#define TIMEOUT_MS_MAX 30000
#define REQUEST_ID_MAX 64
#define SUFFIX "/requests"

static void on_answer(void *ctx, int error, int status, const void *body,
		      size_t length)
{
	struct entry_call *call = ctx;

	if (error < 0) {
		entry_call_end_error(call, error,
				     error == ZR_E_OUTCOME_UNKNOWN
					     ? "sent, and no whole answer came"
					     : "not sent to any worker");
		return;
	}
	if (call->exchange)
		zr_http_reply(call->exchange, status,
			      "application/octet-stream", body, length);
	free(call);
}

static unsigned int timeout_of(struct zr_http_exchange *exchange)
{
	const char *text = zr_http_query(exchange, "timeout_ms");
	unsigned long timeout = text ? strtoul(text, NULL, 10) : 0;

	if (!timeout)
		return DEFAULT_TIMEOUT_MS;
	return timeout > TIMEOUT_MS_MAX ? TIMEOUT_MS_MAX
					: (unsigned int)timeout;
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

void entry_requests(struct zr_entry *entry, struct zr_http_exchange *exchange,
		    const char *rest)
{
	char service[ZR_NAME_MAX];
	char id[REQUEST_ID_MAX];
	struct zr_route_request request = {
		.service = service,
		.id = id,
		.idempotent = true,
	};
	const char *team;
	int error = entry_authenticate(&team, entry, exchange);

	if (error < 0) {
		entry_reply_error(exchange, error, zr_error_last());
		return;
	}
	if (strcmp(zr_http_method(exchange), "POST") ||
	    !read_service(service, rest)) {
		entry_reply_error(exchange, ZR_E_NOT_FOUND,
				  "POST /v1/services/NAME/requests");
		return;
	}
	snprintf(id, sizeof(id), "%.40s-%" PRIu64, entry->settings->name,
		 ++entry->request_sequence);
	request.body = zr_http_body(exchange, &request.length);
	request.timeout_ms = timeout_of(exchange);
	zr_router_send(entry->router, &request, on_answer,
		       entry_call_new(entry, exchange));
}

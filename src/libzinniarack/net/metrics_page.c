#include "net/metrics_page.h"

#include <stdlib.h>
#include <string.h>

#include "zinniarack/metrics.h"

#define PROMETHEUS_CONTENT_TYPE "text/plain; version=0.0.4"

void zr_metrics_page_serve(void *ctx, struct zr_http_exchange *exchange)
{
	size_t length;
	char *text;

	if (strcmp(zr_http_get_path(exchange), "/metrics")) {
		zr_http_reply(exchange, 404, "text/plain", "not found\n", 10);
		return;
	}
	if (zr_metrics_format(&text, &length, ctx) < 0)
		abort();
	zr_http_reply(exchange, 200, PROMETHEUS_CONTENT_TYPE, text, length);
	free(text);
}

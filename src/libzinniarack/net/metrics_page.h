#ifndef ZR_NET_METRICS_PAGE_H
#define ZR_NET_METRICS_PAGE_H

#include "net/http_server.h"

/**
 * zr_metrics_page_serve() - HTTP handler that serves the metrics of the process
 * @ctx: the &struct zr_metrics to serve
 * @exchange: the exchange; any path other than /metrics gets status 404
 */
void zr_metrics_page_serve(void *ctx, struct zr_http_exchange *exchange);

#endif

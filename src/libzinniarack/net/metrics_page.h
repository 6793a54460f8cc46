#ifndef ZR_NET_METRICS_PAGE_H
#define ZR_NET_METRICS_PAGE_H

#include "net/http_server.h"

/**
 * zr_metrics_page_serve() - HTTP handler that serves a process's counters
 * @ctx: a &struct zr_metrics
 * @exchange: the exchange; any path but /metrics is answered 404
 */
void zr_metrics_page_serve(void *ctx, struct zr_http_exchange *exchange);

#endif

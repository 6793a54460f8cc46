#ifndef ZR_NET_HTTP_SERVER_H
#define ZR_NET_HTTP_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <uv.h>

#include "net/budget.h"

/**
 * DOC: HTTP server
 *
 * Serves HTTP/1.1 on a libuv loop with h2o. An exchange is a request and its
 * reply. The handler may reply before or after it returns. The strings and the
 * body of the request stay valid until the reply is sent or the caller has
 * disconnected. Requests of one connection are handled one after the other.
 */

struct zr_http_server;
struct zr_http_exchange;

/** Handles a complete request, which needs exactly one zr_http_reply(). */
typedef void (*zr_http_handler_fn)(void *ctx,
				   struct zr_http_exchange *exchange);

/** Called when the connection was closed before zr_http_reply(). */
typedef void (*zr_http_disconnect_fn)(void *ctx);

/**
 * struct zr_http_server_options - limits of a server
 * @version: ZR_HTTP_SERVER_OPTIONS_VERSION
 * @max_body_bytes: maximum length of a request body; a longer one gets status
 *	413
 * @request_timeout_ms: time in which a caller must send a complete request, and
 *	again time in which it must read the reply
 * @max_connections: maximum number of open connections; when it is exceeded,
 *	the least recently used connection without a request in progress is
 *	closed, or the new one if all have a request in progress
 * @budget: budget of the process for what connections hold, which must outlive
 *	the server; NULL: they are not accounted for. A request that does not
 *	fit gets status 503, or its connection is closed; it has not been
 *	handled then
 */
struct zr_http_server_options {
	unsigned int version;
	size_t max_body_bytes;
	unsigned int request_timeout_ms;
	unsigned int max_connections;
	struct zr_net_budget *budget;
};

#define ZR_HTTP_SERVER_OPTIONS_VERSION 2
#define ZR_HTTP_SERVER_OPTIONS_INIT                                        \
	{                                                                  \
		ZR_HTTP_SERVER_OPTIONS_VERSION, 1 << 20, 10000, 1024, NULL \
	}

/**
 * zr_http_server_new() - create a server that listens on an address
 * @out: receives the server, to be freed with zr_http_server_free()
 * @loop: the loop that the server runs on
 * @address: IP address and port to listen on
 * @options: limits, or NULL for the defaults
 * @handler: called for each request
 * @ctx: passed to @handler
 *
 * Return: 0, ZR_E_NOMEM, ZR_E_INVALID, ZR_E_ADDRESS_IN_USE or ZR_E_IO.
 */
int zr_http_server_new(struct zr_http_server **out, uv_loop_t *loop,
		       const char *address,
		       const struct zr_http_server_options *options,
		       zr_http_handler_fn handler, void *ctx);

/**
 * zr_http_server_drain() - close each connection after its next reply
 * @server: the server
 *
 * The first step of a graceful shutdown. The server still accepts connections,
 * so that the handler can refuse a new caller with a reply.
 */
void zr_http_server_drain(struct zr_http_server *server);

/** zr_http_server_is_draining() - whether zr_http_server_drain() was called */
bool zr_http_server_is_draining(const struct zr_http_server *server);

/**
 * zr_http_server_stop() - drain the server and close its listener
 * @server: the server
 *
 * Open exchanges continue.
 */
void zr_http_server_stop(struct zr_http_server *server);

/**
 * zr_http_server_open_exchanges() - number of exchanges whose reply has not
 * been sent completely
 * @server: the server
 */
unsigned int zr_http_server_open_exchanges(const struct zr_http_server *server);

/**
 * zr_http_server_free() - free a server
 * @server: the server, or NULL; its loop must no longer run
 */
void zr_http_server_free(struct zr_http_server *server);

/** zr_http_get_method() - the request method, such as "GET" */
const char *zr_http_get_method(const struct zr_http_exchange *exchange);

/** zr_http_get_path() - the request path without the query, percent-encoded */
const char *zr_http_get_path(const struct zr_http_exchange *exchange);

/** zr_http_get_host() - the host and port of the request's Host field */
const char *zr_http_get_host(struct zr_http_exchange *exchange);

/**
 * zr_http_get_query_param() - the value of a query parameter
 * @exchange: the exchange
 * @name: parameter name
 *
 * Return: the value, still percent-encoded, or NULL if it is absent.
 */
const char *zr_http_get_query_param(struct zr_http_exchange *exchange,
				    const char *name);

/**
 * zr_http_get_header() - the value of a request header field
 * @exchange: the exchange
 * @name: field name; case is ignored
 *
 * Return: the value, or NULL if the request has no such field.
 */
const char *zr_http_get_header(struct zr_http_exchange *exchange,
			       const char *name);

/**
 * zr_http_get_body() - the request body
 * @exchange: the exchange
 * @out_length: receives the length of the body in bytes
 */
const void *zr_http_get_body(const struct zr_http_exchange *exchange,
			     size_t *out_length);

/**
 * zr_http_set_on_disconnect() - set a callback for a disconnect of the caller
 * @exchange: the exchange, which must not be used after the callback
 * @on_disconnect: called at most once, and never after zr_http_reply()
 * @ctx: passed to @on_disconnect
 *
 * h2o does not read from a connection while a request is in progress, so the
 * disconnect may be noticed only when the reply is sent.
 */
void zr_http_set_on_disconnect(struct zr_http_exchange *exchange,
			       zr_http_disconnect_fn on_disconnect, void *ctx);

/** zr_http_add_reply_header() - add a header field to the reply */
void zr_http_add_reply_header(struct zr_http_exchange *exchange,
			      const char *name, const char *value);

/**
 * zr_http_reply() - send the complete reply, which ends the exchange
 * @exchange: the exchange
 * @status: HTTP status code
 * @content_type: media type of @body
 * @body: reply body, copied
 * @length: length of @body in bytes
 */
void zr_http_reply(struct zr_http_exchange *exchange, int status,
		   const char *content_type, const void *body, size_t length);

#endif

#ifndef ZR_NET_HTTP_SERVER_H
#define ZR_NET_HTTP_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <uv.h>

/**
 * DOC: HTTP server
 *
 * Serves HTTP/1.1 on a libuv loop through h2o. A handler gets one exchange at
 * a time and replies at once or later; the request's parts stay valid until
 * it has replied or the caller is gone.
 */

struct zr_http_server;
struct zr_http_exchange;

/** Called for each whole request; must lead to one zr_http_reply(). */
typedef void (*zr_http_handler_fn)(void *ctx,
				   struct zr_http_exchange *exchange);

/** Called when the caller closed its connection before the reply. */
typedef void (*zr_http_disconnect_fn)(void *ctx);

/**
 * struct zr_http_server_options - limits of a server
 * @version: ZR_HTTP_SERVER_OPTIONS_VERSION
 * @max_body_bytes: a larger request body is answered 413
 * @request_timeout_ms: time a caller has to send a whole request, and to read
 *	the reply
 * @max_connections: beyond it, the connection unused for longest is closed; the
 *	new one if a request is in progress on each
 */
struct zr_http_server_options {
	unsigned int version;
	size_t max_body_bytes;
	unsigned int request_timeout_ms;
	unsigned int max_connections;
};

#define ZR_HTTP_SERVER_OPTIONS_VERSION 1
#define ZR_HTTP_SERVER_OPTIONS_INIT                                  \
	{                                                            \
		ZR_HTTP_SERVER_OPTIONS_VERSION, 1 << 20, 10000, 1024 \
	}

/**
 * zr_http_server_new() - listen and serve
 * @out: the server, to be freed with zr_http_server_free()
 * @loop: the loop it runs on
 * @address: IP number and port to listen on
 * @options: limits, or NULL for the defaults
 * @handler: called for each request
 * @ctx: passed to @handler
 *
 * Return: 0, ZR_E_INVALID, ZR_E_ADDRESS_IN_USE or ZR_E_IO.
 */
int zr_http_server_new(struct zr_http_server **out, uv_loop_t *loop,
		       const char *address,
		       const struct zr_http_server_options *options,
		       zr_http_handler_fn handler, void *ctx);

/**
 * zr_http_server_drain() - begin to stop: connections end with their reply
 * @server: the server
 *
 * Connections are still accepted, so that a caller is told to go elsewhere.
 */
void zr_http_server_drain(struct zr_http_server *server);

/** zr_http_server_is_draining() - whether new requests are to be refused */
bool zr_http_server_is_draining(const struct zr_http_server *server);

/** zr_http_server_stop() - accept no more; open exchanges go on */
void zr_http_server_stop(struct zr_http_server *server);

/** zr_http_server_open_exchanges() - exchanges that wait for their reply */
unsigned int zr_http_server_open_exchanges(const struct zr_http_server *server);

/** zr_http_server_free() - free a server whose loop no longer runs */
void zr_http_server_free(struct zr_http_server *server);

const char *zr_http_get_method(const struct zr_http_exchange *exchange);

/** zr_http_get_path() - the path without its query, still percent-encoded */
const char *zr_http_get_path(const struct zr_http_exchange *exchange);

/** zr_http_get_host() - the host and port that the caller addressed */
const char *zr_http_get_host(struct zr_http_exchange *exchange);

/** zr_http_get_query_param() - the value of a query parameter, or NULL */
const char *zr_http_get_query_param(struct zr_http_exchange *exchange,
				    const char *name);

/** zr_http_get_header() - the value of a header field, or NULL */
const char *zr_http_get_header(struct zr_http_exchange *exchange,
			       const char *name);

const void *zr_http_get_body(const struct zr_http_exchange *exchange,
			     size_t *out_length);

/**
 * zr_http_set_on_disconnect() - be told when the caller leaves before the reply
 * @exchange: the exchange, which must not be used after the call
 * @gone: called once, not after zr_http_reply()
 * @ctx: passed to @gone
 */
void zr_http_set_on_disconnect(struct zr_http_exchange *exchange,
			       zr_http_disconnect_fn gone, void *ctx);

/** zr_http_add_reply_header() - add a field to the reply to come */
void zr_http_add_reply_header(struct zr_http_exchange *exchange,
			      const char *name, const char *value);

/**
 * zr_http_reply() - send the whole reply; ends the exchange
 * @exchange: the exchange
 * @status: HTTP status
 * @content_type: media type of @body
 * @body: the body, which is copied
 * @length: bytes of @body
 */
void zr_http_reply(struct zr_http_exchange *exchange, int status,
		   const char *content_type, const void *body, size_t length);

#endif

#ifndef ZR_NET_HTTP_CLIENT_H
#define ZR_NET_HTTP_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <uv.h>

#include "zinniarack/clock.h"

/**
 * DOC: HTTP client
 *
 * Calls one HTTP/1.1 server over a bounded pool of connections. An answer is
 * buffered whole before the caller sees it. The errors say what may have
 * happened at the server:
 *
 * - ZR_E_UNREACHABLE, ZR_E_FULL, ZR_E_CANCELLED before sending: no byte left.
 * - ZR_E_OUTCOME_UNKNOWN: bytes left and no whole answer came in time.
 * - ZR_E_PROTOCOL, ZR_E_TOO_LARGE: an answer came that cannot be used.
 *
 * A connection whose call missed its deadline is closed, never reused: it may
 * be one that has gone silent for good. The idle ones to the same server are
 * closed with it. An answer that only the end of its connection delimits is
 * refused: it could not be told from a truncated one.
 */

struct zr_http_client;
struct zr_http_request;

/**
 * struct zr_http_header_field - a header field to send
 * @name: field name
 * @value: field value; must hold no line break
 */
struct zr_http_header_field {
	const char *name;
	const char *value;
};

/**
 * struct zr_http_call - one request
 * @method: HTTP method
 * @path: path and query
 * @content_type: media type of @body, or NULL without a body
 * @headers: further fields
 * @header_count: how many
 * @request_id: value that the answer's X-Request-Id field must have, or NULL;
 *	another answer is a ZR_E_PROTOCOL error and ends the connection
 * @body: the body, copied
 * @body_length: its length in bytes
 * @timeout_ms: from now until the call is given up
 * @idempotent: may be sent again on a new connection when a reused one was
 *	closed by the server before it answered
 */
struct zr_http_call {
	const char *method;
	const char *path;
	const char *content_type;
	const struct zr_http_header_field *headers;
	size_t header_count;
	const char *request_id;
	const void *body;
	size_t body_length;
	unsigned int timeout_ms;
	bool idempotent;
};

/**
 * struct zr_http_response - a whole answer
 * @status: HTTP status
 * @body: the body, followed by a NUL byte
 * @body_length: its length without that NUL
 * @request_id: value of the X-Request-Id field, empty without one
 */
struct zr_http_response {
	int status;
	const char *body;
	size_t body_length;
	const char *request_id;
};

/**
 * typedef zr_http_done_fn - called once for each call
 * @ctx: as given with the call
 * @error: 0 or a negative error number
 * @answer: the answer, NULL on an error; valid during the call
 */
typedef void (*zr_http_done_fn)(void *ctx, int error,
				const struct zr_http_response *answer);

/**
 * struct zr_http_client_options - limits of a client
 * @version: ZR_HTTP_CLIENT_OPTIONS_VERSION
 * @max_connections: connections open at once
 * @max_waiting: calls that wait for a connection; more are refused ZR_E_FULL
 * @connect_timeout_ms: time for a connection to open
 * @idle_timeout_ms: an unused connection is closed after it
 * @max_response_bytes: a longer answer body is an error
 */
struct zr_http_client_options {
	unsigned int version;
	unsigned int max_connections;
	unsigned int max_waiting;
	unsigned int connect_timeout_ms;
	unsigned int idle_timeout_ms;
	size_t max_response_bytes;
};

#define ZR_HTTP_CLIENT_OPTIONS_VERSION 1
#define ZR_HTTP_CLIENT_OPTIONS_INIT                                            \
	{                                                                      \
		ZR_HTTP_CLIENT_OPTIONS_VERSION, 4, 1024, 1000, 30000, 16 << 20 \
	}

/**
 * zr_http_client_new() - prepare calls to one server; connects on first use
 * @out: the client, to be freed with zr_http_client_free()
 * @loop: the loop it runs on
 * @address: IP number and port of the server
 * @options: limits, or NULL for the defaults
 *
 * Return: 0, ZR_E_INVALID or ZR_E_NOMEM.
 */
int zr_http_client_new(struct zr_http_client **out, uv_loop_t *loop,
		       const char *address,
		       const struct zr_http_client_options *options);

/** zr_http_client_free() - end open calls with ZR_E_CANCELLED and free */
void zr_http_client_free(struct zr_http_client *client);

/**
 * zr_http_client_call() - send a request
 * @client: the client
 * @call: what to send; copied
 * @done: called once, never before this function returns
 * @ctx: passed to @done
 *
 * Return: the request for zr_http_request_cancel(), valid until @done.
 */
struct zr_http_request *zr_http_client_call(struct zr_http_client *client,
					    const struct zr_http_call *call,
					    zr_http_done_fn done, void *ctx);

/** zr_http_client_set_max_connections() - keep at most so many connections from
 * now on */
void zr_http_client_set_max_connections(struct zr_http_client *client,
					unsigned int connections);

/** zr_http_request_cancel() - forget a request; its done is not called */
void zr_http_request_cancel(struct zr_http_request *request);

#endif

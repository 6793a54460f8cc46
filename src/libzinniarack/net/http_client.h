#ifndef ZR_NET_HTTP_CLIENT_H
#define ZR_NET_HTTP_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "zinniarack/clock.h"

/**
 * DOC: HTTP client
 *
 * Sends requests to one HTTP/1.1 server over a connection pool of limited size.
 * A response is buffered completely before the caller gets it. The error of a
 * failed call tells whether the server may have processed the request:
 *
 * - ZR_E_UNREACHABLE, ZR_E_FULL, ZR_E_CANCELLED: nothing was sent.
 * - ZR_E_OUTCOME_UNKNOWN: the request may have been sent, and no complete
 *   response was received.
 * - ZR_E_PROTOCOL, ZR_E_TOO_LARGE: a response was received but cannot be used.
 *
 * A call fails at a timeout of the whole call, so that the caller can rely on
 * it. For a large response over a thin link, the caller may ask instead that
 * the timeout counts silence: zr_http_call.silence_ms.
 *
 * A connection whose request missed its deadline is closed and never reused,
 * since the peer may have become unreachable without closing it. If no byte of
 * the response had been received, the client also closes its idle connections.
 *
 * A response that ends only when the server closes the connection is rejected,
 * because it cannot be distinguished from a truncated one.
 */

struct zr_http_client;
struct zr_http_request;

/**
 * struct zr_http_header_field - a header field to send
 * @name: field name, sent unchanged
 * @value: field value, without line breaks
 */
struct zr_http_header_field {
	const char *name;
	const char *value;
};

/**
 * struct zr_http_call - a request to send
 * @method: HTTP method
 * @path: path and query
 * @content_type: media type of @body, or NULL without a body
 * @headers: additional header fields
 * @header_count: number of @headers
 * @request_id: value that the X-Request-Id field of the response must have, or
 *	NULL to accept any; on a mismatch the call fails with ZR_E_PROTOCOL and
 *	the connection is closed
 * @body: request body
 * @body_length: length of @body in bytes
 * @timeout_ms: timeout of the whole call, from zr_http_client_call() on; if
 *	@silence_ms is set, only of the time until the response begins
 * @silence_ms: if not 0, the call goes on after @timeout_ms while its response
 *	arrives, and fails when no byte of it arrives for this time
 * @max_ms: if @silence_ms is set, timeout of the whole call, from
 *	zr_http_client_call() on
 * @received: increased by the bytes of the response as they arrive, also if the
 *	call fails, until its callback is called; NULL if not needed
 * @idempotent: whether the request may be sent again, once, if the server
 *	closes a reused connection before it sends any byte of the response
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
	unsigned int silence_ms;
	unsigned int max_ms;
	int64_t *received;
	bool idempotent;
};

/**
 * struct zr_http_response - a complete response
 * @status: HTTP status code
 * @body: response body, followed by a NUL byte
 * @body_length: length of @body in bytes, without the NUL byte
 * @request_id: value of the X-Request-Id field, or an empty string
 */
struct zr_http_response {
	int status;
	const char *body;
	size_t body_length;
	const char *request_id;
};

/**
 * typedef zr_http_done_fn - called once when a call has completed or failed
 * @ctx: the pointer given to zr_http_client_call()
 * @error: 0 or a negative &enum zr_error_code
 * @response: the response, or NULL on an error; valid until the callback
 *	returns
 */
typedef void (*zr_http_done_fn)(void *ctx, int error,
				const struct zr_http_response *response);

/**
 * struct zr_http_client_options - limits of a client
 * @version: ZR_HTTP_CLIENT_OPTIONS_VERSION
 * @max_connections: maximum number of connections open at the same time
 * @max_waiting: maximum number of calls that wait for a connection; further
 *	calls fail with ZR_E_FULL
 * @connect_timeout_ms: timeout of opening a connection
 * @idle_timeout_ms: time after which an idle connection is closed
 * @max_response_bytes: maximum length of a response body; a longer one fails
 *	the call with ZR_E_TOO_LARGE
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
 * zr_http_client_new() - create a client of one server
 * @out: receives the client, to be freed with zr_http_client_free()
 * @loop: the loop that the client runs on
 * @address: IP address and port of the server
 * @options: limits, or NULL for the defaults
 *
 * Connections are opened only when a call needs one.
 *
 * Return: 0, ZR_E_INVALID or ZR_E_NOMEM.
 */
int zr_http_client_new(struct zr_http_client **out, uv_loop_t *loop,
		       const char *address,
		       const struct zr_http_client_options *options);

/**
 * zr_http_client_free() - fail all open calls and free the client
 * @client: the client, or NULL
 *
 * A call that has been sent fails with ZR_E_OUTCOME_UNKNOWN, any other with
 * ZR_E_CANCELLED.
 */
void zr_http_client_free(struct zr_http_client *client);

/**
 * zr_http_client_call() - send a request
 * @client: the client
 * @call: the request, copied
 * @done: called once, never before this function returns
 * @ctx: passed to @done
 *
 * Return: a handle for zr_http_request_cancel(), valid until @done is called.
 */
struct zr_http_request *zr_http_client_call(struct zr_http_client *client,
					    const struct zr_http_call *call,
					    zr_http_done_fn done, void *ctx);

/**
 * zr_http_client_set_max_connections() - change the limit of open connections
 * @client: the client
 * @max_connections: maximum number of connections from now on
 *
 * Idle connections above the limit are closed at once, busy ones when their
 * response is complete.
 */
void zr_http_client_set_max_connections(struct zr_http_client *client,
					unsigned int max_connections);

/**
 * zr_http_client_receiving() - whether a response is arriving in parts
 * @client: the client
 * @within_ms: longest time since its last bytes, in milliseconds
 *
 * Return: whether a response has begun, is not complete, and its last bytes
 * came within this time.
 */
bool zr_http_client_receiving(const struct zr_http_client *client,
			      unsigned int within_ms);

/**
 * zr_http_request_cancel() - cancel a request without calling its callback
 * @request: the request; its connection, if it has one, is closed
 */
void zr_http_request_cancel(struct zr_http_request *request);

#endif

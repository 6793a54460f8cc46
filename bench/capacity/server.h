#ifndef BENCH_CAPACITY_SERVER_H
#define BENCH_CAPACITY_SERVER_H

#include <stddef.h>
#include <uv.h>

/**
 * DOC: Fake HTTP server of a worker
 *
 * Sends the same response to every request and counts requests and bytes.
 */

struct server;

/** server_new() - listen on a free port of the loopback address */
struct server *server_new(uv_loop_t *loop);
/** server_address() - IP address and port */
const char *server_address(const struct server *server);
/** server_set_response() - set the response body, which isn't copied */
void server_set_response(struct server *server, const char *body,
			 size_t length);
/** server_get_counts() - bytes, headers included, and requests so far */
void server_get_counts(const struct server *server, size_t *bytes_in,
		       size_t *bytes_out, size_t *requests);
/** server_free() - close the listener; it is freed when the loop runs next */
void server_free(struct server *server);

#endif

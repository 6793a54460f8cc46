#ifndef BENCH_CAPACITY_SERVER_H
#define BENCH_CAPACITY_SERVER_H

#include <stddef.h>
#include <uv.h>

/**
 * DOC: A worker's end of a connection, for counting bytes
 *
 * Answers every request with the same text and counts what passes.
 */

struct server;

struct server *server_new(uv_loop_t *loop);
/** server_address() - IP number and port */
const char *server_address(const struct server *server);
/** server_answer() - the body to answer with; kept by reference */
void server_answer(struct server *server, const char *body, size_t length);
/** server_counts() - bytes so far, headers included, and requests */
void server_counts(const struct server *server, size_t *bytes_in,
		   size_t *bytes_out, size_t *requests);
/** server_free() - close; freed as the loop runs on */
void server_free(struct server *server);

#endif

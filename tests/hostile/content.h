#ifndef HOSTILE_CONTENT_H
#define HOSTILE_CONTENT_H

#include <stdbool.h>
#include <stddef.h>

#include "fakes/rng.h"

/**
 * DOC: What a connection of a crowd sends
 *
 * A content is produced piece by piece. It may stop a number of bytes short of
 * the end of its body, so that the request stays incomplete.
 */

/** Maximum size in bytes of a piece. */
#define CONTENT_PIECE_MAX ((size_t)192 << 10)
/** Maximum length in bytes of a path. */
#define CONTENT_PATH_MAX 256

enum content_framing {
	FRAMING_LENGTH,
	FRAMING_CHUNKED,
	FRAMING_HEADERS,
	FRAMING_REQUESTS,
	FRAMING_RECORD,
	FRAMING_NONE,
};

/**
 * struct content_mode - a kind of content
 * @name: its name on the command line
 * @framing: how the end of the body is marked
 * @piece_bytes: size of a piece that is written at once
 * @chunk_min_bytes: minimum size of a chunk
 * @chunk_max_bytes: maximum size of a chunk
 * @announced_bytes: length of the body in the header; 0: @body_bytes
 * @body_bytes: default length of the body, or of all headers or requests
 * @reads_replies: whether the connection reads what it receives
 */
struct content_mode {
	const char *name;
	enum content_framing framing;
	size_t piece_bytes;
	size_t chunk_min_bytes;
	size_t chunk_max_bytes;
	size_t announced_bytes;
	size_t body_bytes;
	bool reads_replies;
};

/**
 * struct content - what one connection sends
 * @path: path of its requests
 * @body_bytes: length of the body
 * @stop_bytes: bytes of the body that are sent; less than @body_bytes if the
 *	request stays incomplete
 * @sent_bytes: bytes of the body that were produced
 * @has_begun: whether the header was produced
 * @has_ended: whether there are no more pieces
 */
struct content {
	const struct content_mode *mode;
	struct rng *rng;
	const char *path;
	size_t body_bytes;
	size_t stop_bytes;
	size_t sent_bytes;
	bool has_begun;
	bool has_ended;
};

/**
 * content_mode_find() - find a kind of content
 * @name: its name
 * @length: length of @name in bytes
 *
 * Return: the mode, or NULL.
 */
const struct content_mode *content_mode_find(const char *name, size_t length);

/**
 * content_init() - begin a content
 * @body_bytes: length of the body, or 0 for the default of @mode
 * @short_bytes: how many bytes short of the end it stops; no end without a body
 */
void content_init(struct content *content, const struct content_mode *mode,
		  const char *path, size_t body_bytes, size_t short_bytes,
		  struct rng *rng);

/**
 * content_next() - produce the next piece
 * @out: receives at most CONTENT_PIECE_MAX bytes
 *
 * Return: length of the piece in bytes, 0 if there are no more.
 */
size_t content_next(struct content *content, char *out);

#endif

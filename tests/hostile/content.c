#include "content.h"

#include <arpa/inet.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#define KIB ((size_t)1 << 10)
#define MIB ((size_t)1 << 20)
#define GIB ((size_t)1 << 30)
#define HEADER_MAX 1024
#define FIELD_MAX 4096
#define FIELD_VALUE_BYTES 4000
#define CHUNK_OVERHEAD_MAX 32
#define LAST_FRAGMENT_BIT 0x80000000u
/* A body is a JSON object of one field of this text and padding. */
#define BODY_BEGIN "{\"padding\":\""
#define BODY_END "\"}"
#define LAST_CHUNK "0\r\n\r\n"

static const struct content_mode modes[] = {
	{"announced", FRAMING_LENGTH, 64 * KIB, 0, 0, GIB, 4 * MIB, true},
	{"sent", FRAMING_CHUNKED, 64 * KIB, 64 * KIB, 64 * KIB, 0, 4 * MIB,
	 true},
	{"at-once", FRAMING_LENGTH, 128 * KIB, 0, 0, 0, 1000000, true},
	{"pieces", FRAMING_LENGTH, 4 * KIB, 0, 0, 0, 1000000, true},
	{"large-chunks", FRAMING_CHUNKED, 64 * KIB, 64 * KIB, 64 * KIB, 0,
	 1000000, true},
	{"small-chunks", FRAMING_CHUNKED, 4 * KIB, 1, 16, 0, 1000000, true},
	{"headers", FRAMING_HEADERS, 8 * KIB, 0, 0, 0, 4 * MIB, true},
	{"open-headers", FRAMING_HEADERS, 8 * KIB, 0, 0, 0, 400000, true},
	{"unread", FRAMING_REQUESTS, 64 * KIB, 0, 0, 0, 4 * MIB, false},
	{"records", FRAMING_RECORD, 64 * KIB, 0, 0, 0, 4000000, true},
	{"idle", FRAMING_NONE, 0, 0, 0, 0, 0, true},
};

static size_t min_size(size_t a, size_t b)
{
	return a < b ? a : b;
}

const struct content_mode *content_mode_find(const char *name, size_t length)
{
	size_t i;

	for (i = 0; i < sizeof(modes) / sizeof(modes[0]); i++) {
		if (strlen(modes[i].name) == length &&
		    !strncmp(modes[i].name, name, length))
			return &modes[i];
	}
	return NULL;
}

void content_init(struct content *content, const struct content_mode *mode,
		  const char *path, size_t body_bytes, size_t short_bytes,
		  struct rng *rng)
{
	memset(content, 0, sizeof(*content));
	content->mode = mode;
	content->path = path;
	content->rng = rng;
	content->body_bytes = body_bytes ? body_bytes : mode->body_bytes;
	content->stop_bytes = content->body_bytes -
			      min_size(short_bytes, content->body_bytes);
	content->has_ended = mode->framing == FRAMING_NONE;
}

/* Copies the next @length bytes of the body. */
static void copy_body(struct content *content, char *out, size_t length)
{
	const size_t begin_length = strlen(BODY_BEGIN);
	const size_t end_length = strlen(BODY_END);
	size_t i;

	for (i = 0; i < length; i++) {
		size_t at = content->sent_bytes + i;
		size_t left = content->body_bytes - at;

		if (at < begin_length)
			out[i] = BODY_BEGIN[at];
		else if (left <= end_length)
			out[i] = BODY_END[end_length - left];
		else
			out[i] = 'a';
	}
	content->sent_bytes += length;
}

static size_t write_header(const struct content *content, char *out)
{
	const struct content_mode *mode = content->mode;
	uint32_t mark =
		htonl(LAST_FRAGMENT_BIT | (uint32_t)content->body_bytes);
	int length;

	if (mode->framing == FRAMING_RECORD) {
		memcpy(out, &mark, sizeof(mark));
		return sizeof(mark);
	}
	if (mode->framing == FRAMING_REQUESTS)
		return 0;
	length = snprintf(out, HEADER_MAX,
			  "%s %s HTTP/1.1\r\nHost: q.example\r\n"
			  "Authorization: Bearer key-1\r\n",
			  mode->framing == FRAMING_HEADERS ? "GET" : "POST",
			  content->path);
	if (mode->framing == FRAMING_LENGTH)
		length += snprintf(out + length, HEADER_MAX - (size_t)length,
				   "Content-Length: %zu\r\n\r\n",
				   mode->announced_bytes ? mode->announced_bytes
							 : content->body_bytes);
	if (mode->framing == FRAMING_CHUNKED)
		length += snprintf(out + length, HEADER_MAX - (size_t)length,
				   "Transfer-Encoding: chunked\r\n\r\n");
	return (size_t)length;
}

/* Fills a piece with whole chunks; the last one is followed by the end. */
static size_t write_chunks(struct content *content, char *out)
{
	const struct content_mode *mode = content->mode;
	size_t used = 0;

	while (used < mode->piece_bytes &&
	       content->sent_bytes < content->stop_bytes) {
		size_t span = mode->chunk_max_bytes - mode->chunk_min_bytes;
		size_t size = mode->chunk_min_bytes +
			      rng_below(content->rng, (uint32_t)span + 1);

		size = min_size(size,
				content->stop_bytes - content->sent_bytes);
		used += (size_t)snprintf(out + used, CHUNK_OVERHEAD_MAX,
					 "%zx\r\n", size);
		copy_body(content, out + used, size);
		used += size;
		out[used++] = '\r';
		out[used++] = '\n';
	}
	if (content->sent_bytes == content->body_bytes) {
		used += (size_t)snprintf(out + used, CHUNK_OVERHEAD_MAX, "%s",
					 LAST_CHUNK);
	}
	return used;
}

/* Fills a piece with copies of a line or a request. */
static size_t write_copies(struct content *content, char *out)
{
	char text[FIELD_MAX];
	size_t used = 0;
	size_t length;

	if (content->mode->framing == FRAMING_HEADERS)
		length =
			(size_t)snprintf(text, sizeof(text), "X-%08x: %0*d\r\n",
					 (unsigned int)rng_next(content->rng),
					 FIELD_VALUE_BYTES, 0);
	else
		length = (size_t)snprintf(
			text, sizeof(text),
			"GET %s HTTP/1.1\r\nHost: q.example\r\n"
			"Authorization: Bearer key-1\r\n\r\n",
			content->path);
	while (used + length <= content->mode->piece_bytes) {
		memcpy(out + used, text, length);
		used += length;
	}
	content->sent_bytes += used;
	return used;
}

static size_t write_body(struct content *content, char *out)
{
	size_t length;

	switch (content->mode->framing) {
	case FRAMING_CHUNKED:
		return write_chunks(content, out);
	case FRAMING_HEADERS:
	case FRAMING_REQUESTS:
		return write_copies(content, out);
	default:
		length = min_size(content->mode->piece_bytes,
				  content->stop_bytes - content->sent_bytes);
		copy_body(content, out, length);
		return length;
	}
}

size_t content_next(struct content *content, char *out)
{
	size_t length;

	if (content->has_ended)
		return 0;
	if (!content->has_begun) {
		content->has_begun = true;
		length = write_header(content, out);
		if (length)
			return length;
	}
	length = write_body(content, out);
	content->has_ended = content->sent_bytes >= content->stop_bytes;
	return length;
}

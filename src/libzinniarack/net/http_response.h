#ifndef ZR_NET_HTTP_ANSWER_H
#define ZR_NET_HTTP_ANSWER_H

#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>
#include <utstring.h>

/**
 * DOC: Reader of one HTTP/1.1 answer
 *
 * Collects the body and the X-Request-Id field of an answer, by http_parser,
 * until the answer is whole.
 */

#define ZR_HTTP_FIELD_NAME_MAX 32
#define ZR_HTTP_REQUEST_ID_MAX 96

/**
 * enum zr_http_reading - how far an answer has been read
 */
enum zr_http_reading {
	ZR_HTTP_MORE,	   /* it goes on */
	ZR_HTTP_WHOLE,	   /* it is whole */
	ZR_HTTP_TOO_LARGE, /* its body is over the limit */
	ZR_HTTP_BROKEN,	   /* it is not HTTP */
};

/**
 * struct zr_http_answer_reader - an answer as it is read
 * @parser: the parser; tells status and whether the connection may stay
 * @body_max: longest body, in bytes
 * @begun: whether a byte of the answer has come
 * @body: the body so far
 * @request_id: value of X-Request-Id, empty without one
 */
struct zr_http_answer_reader {
	http_parser parser;
	size_t body_max;
	bool begun;
	UT_string body;
	char request_id[ZR_HTTP_REQUEST_ID_MAX];
	/* private */
	size_t request_id_length;
	char field[ZR_HTTP_FIELD_NAME_MAX];
	size_t field_length;
	bool reading_value;
	bool complete;
	bool too_large;
};

/** zr_http_answer_init() - make ready; cleared with zr_http_answer_clear() */
void zr_http_answer_init(struct zr_http_answer_reader *reader, size_t body_max);

/**
 * zr_http_answer_read() - read on
 * @reader: the answer
 * @bytes: what came; NULL with @length 0: the connection has ended
 * @length: bytes of @bytes
 * @out_surplus: whether bytes came after the end of the answer
 */
enum zr_http_reading zr_http_answer_read(struct zr_http_answer_reader *reader,
					 const char *bytes, size_t length,
					 bool *out_surplus);

/** zr_http_answer_clear() - free what the reader holds */
void zr_http_answer_clear(struct zr_http_answer_reader *reader);

#endif

#ifndef ZR_NET_HTTP_RESPONSE_H
#define ZR_NET_HTTP_RESPONSE_H

#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>
#include <utstring.h>

/**
 * DOC: Incremental reader of an HTTP/1.1 response
 *
 * Parses one response with http_parser and collects its body and its
 * X-Request-Id field until the response is complete.
 */

#define ZR_HTTP_FIELD_NAME_MAX 32
#define ZR_HTTP_REQUEST_ID_MAX 96

/**
 * enum zr_http_read_status - result of zr_http_response_reader_read()
 */
enum zr_http_read_status {
	ZR_HTTP_READ_INCOMPLETE, /* more bytes are needed */
	ZR_HTTP_READ_COMPLETE,	 /* the response is complete */
	ZR_HTTP_READ_TOO_LARGE,	 /* the body is longer than body_max */
	ZR_HTTP_READ_MALFORMED,	 /* the bytes are not a valid response */
};

/**
 * struct zr_http_response_reader - state of a response that is being read
 * @parser: the parser; knows the status code and whether the connection may be
 *	reused
 * @body_max: maximum length of the body in bytes
 * @started: whether any byte of the response has been received
 * @body: the part of the body received so far
 * @request_id: value of the X-Request-Id field, or an empty string
 */
struct zr_http_response_reader {
	http_parser parser;
	size_t body_max;
	bool started;
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

/**
 * zr_http_response_reader_init() - initialise a reader
 * @reader: the reader, to be cleared with zr_http_response_reader_clear()
 * @body_max: maximum length of the body in bytes
 */
void zr_http_response_reader_init(struct zr_http_response_reader *reader,
				  size_t body_max);

/**
 * zr_http_response_reader_read() - parse the next bytes of a response
 * @reader: the reader
 * @bytes: the received bytes; NULL with @length 0 at the end of the connection
 * @length: number of @bytes
 * @out_surplus: set to whether @bytes continue after the end of the response
 *
 * Return: whether the response is complete, incomplete or invalid.
 */
enum zr_http_read_status
zr_http_response_reader_read(struct zr_http_response_reader *reader,
			     const char *bytes, size_t length,
			     bool *out_surplus);

/** zr_http_response_reader_clear() - free the memory that a reader holds */
void zr_http_response_reader_clear(struct zr_http_response_reader *reader);

#endif

#include "net/http_response.h"

#include <string.h>
#include <strings.h>

#define REQUEST_ID_FIELD "x-request-id"

static int on_header_field(http_parser *parser, const char *bytes,
			   size_t length)
{
	struct zr_http_response_reader *reader = parser->data;

	if (reader->reading_value)
		reader->field_length = 0;
	reader->reading_value = false;
	if (reader->field_length + length >= sizeof(reader->field))
		length = sizeof(reader->field) - 1 - reader->field_length;
	memcpy(reader->field + reader->field_length, bytes, length);
	reader->field_length += length;
	reader->field[reader->field_length] = '\0';
	return 0;
}

static int on_header_value(http_parser *parser, const char *bytes,
			   size_t length)
{
	struct zr_http_response_reader *reader = parser->data;

	reader->reading_value = true;
	if (strcasecmp(reader->field, REQUEST_ID_FIELD))
		return 0;
	if (reader->request_id_length + length >= sizeof(reader->request_id))
		return 1;
	memcpy(reader->request_id + reader->request_id_length, bytes, length);
	reader->request_id_length += length;
	reader->request_id[reader->request_id_length] = '\0';
	return 0;
}

/* Doubles the capacity, since a large body arrives in thousands of parts. */
static void reserve(UT_string *body, size_t length)
{
	size_t used = utstring_len(body);

	if (body->n - used <= length)
		utstring_reserve(body, used > length ? used : length);
}

static int on_body(http_parser *parser, const char *bytes, size_t length)
{
	struct zr_http_response_reader *reader = parser->data;

	if (utstring_len(&reader->body) + length > reader->body_max) {
		reader->too_large = true;
		return 1;
	}
	reserve(&reader->body, length);
	utstring_bincpy(&reader->body, bytes, length);
	return 0;
}

static int on_message_complete(http_parser *parser)
{
	struct zr_http_response_reader *reader = parser->data;

	reader->complete = true;
	http_parser_pause(parser, 1);
	return 0;
}

void zr_http_response_reader_init(struct zr_http_response_reader *reader,
				  size_t body_max)
{
	memset(reader, 0, sizeof(*reader));
	reader->body_max = body_max;
	utstring_init(&reader->body);
	http_parser_init(&reader->parser, HTTP_RESPONSE);
}

enum zr_http_read_status
zr_http_response_reader_read(struct zr_http_response_reader *reader,
			     const char *bytes, size_t length,
			     bool *out_surplus)
{
	static const http_parser_settings settings = {
		.on_header_field = on_header_field,
		.on_header_value = on_header_value,
		.on_body = on_body,
		.on_message_complete = on_message_complete,
	};
	size_t parsed;

	reader->started = true;
	reader->parser.data = reader;
	parsed = http_parser_execute(&reader->parser, &settings, bytes, length);
	*out_surplus = parsed < length;
	if (reader->complete)
		return ZR_HTTP_READ_COMPLETE;
	if (reader->too_large)
		return ZR_HTTP_READ_TOO_LARGE;
	if (HTTP_PARSER_ERRNO(&reader->parser) != HPE_OK)
		return ZR_HTTP_READ_MALFORMED;
	return ZR_HTTP_READ_INCOMPLETE;
}

void zr_http_response_reader_clear(struct zr_http_response_reader *reader)
{
	utstring_done(&reader->body);
}

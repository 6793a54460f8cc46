#include "net/http_response.h"

#include <string.h>
#include <strings.h>

#define REQUEST_ID_FIELD "x-request-id"

static int on_header_field(http_parser *parser, const char *at, size_t length)
{
	struct zr_http_answer_reader *reader = parser->data;

	if (reader->reading_value)
		reader->field_length = 0;
	reader->reading_value = false;
	if (reader->field_length + length >= sizeof(reader->field))
		length = sizeof(reader->field) - 1 - reader->field_length;
	memcpy(reader->field + reader->field_length, at, length);
	reader->field_length += length;
	reader->field[reader->field_length] = '\0';
	return 0;
}

static int on_header_value(http_parser *parser, const char *at, size_t length)
{
	struct zr_http_answer_reader *reader = parser->data;

	reader->reading_value = true;
	if (strcasecmp(reader->field, REQUEST_ID_FIELD))
		return 0;
	if (reader->request_id_length + length >= sizeof(reader->request_id))
		return 1;
	memcpy(reader->request_id + reader->request_id_length, at, length);
	reader->request_id_length += length;
	reader->request_id[reader->request_id_length] = '\0';
	return 0;
}

static int on_body(http_parser *parser, const char *at, size_t length)
{
	struct zr_http_answer_reader *reader = parser->data;

	if (utstring_len(&reader->body) + length > reader->body_max) {
		reader->too_large = true;
		return 1;
	}
	utstring_bincpy(&reader->body, at, length);
	return 0;
}

static int on_message_complete(http_parser *parser)
{
	struct zr_http_answer_reader *reader = parser->data;

	reader->complete = true;
	http_parser_pause(parser, 1);
	return 0;
}

void zr_http_answer_init(struct zr_http_answer_reader *reader, size_t body_max)
{
	memset(reader, 0, sizeof(*reader));
	reader->body_max = body_max;
	utstring_init(&reader->body);
	http_parser_init(&reader->parser, HTTP_RESPONSE);
}

enum zr_http_reading zr_http_answer_read(struct zr_http_answer_reader *reader,
					 const char *bytes, size_t length,
					 bool *out_surplus)
{
	static const http_parser_settings settings = {
		.on_header_field = on_header_field,
		.on_header_value = on_header_value,
		.on_body = on_body,
		.on_message_complete = on_message_complete,
	};
	size_t used;

	reader->begun = true;
	reader->parser.data = reader;
	used = http_parser_execute(&reader->parser, &settings, bytes, length);
	*out_surplus = used < length;
	if (reader->complete)
		return ZR_HTTP_WHOLE;
	if (reader->too_large)
		return ZR_HTTP_TOO_LARGE;
	if (HTTP_PARSER_ERRNO(&reader->parser) != HPE_OK)
		return ZR_HTTP_BROKEN;
	return ZR_HTTP_MORE;
}

void zr_http_answer_clear(struct zr_http_answer_reader *reader)
{
	utstring_done(&reader->body);
}

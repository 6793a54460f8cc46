#include "capacity/server.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define REQUEST_MAX 131072
#define ADDRESS_MAX 64

struct server {
	uv_tcp_t listener;
	char address[ADDRESS_MAX];
	const char *body;
	size_t body_length;
	size_t bytes_in;
	size_t bytes_out;
	size_t requests;
};

/* A connection with the part of a request that it has received. */
struct connection {
	uv_tcp_t stream;
	uv_write_t write;
	struct server *server;
	char request[REQUEST_MAX];
	size_t length;
	char *response;
};

static void on_closed(uv_handle_t *handle)
{
	struct connection *connection = handle->data;

	free(connection->response);
	free(connection);
}

static void on_written(uv_write_t *write, int status)
{
	(void)write;
	(void)status;
}

static void respond(struct connection *connection)
{
	struct server *server = connection->server;
	size_t alloc = server->body_length + 256;
	uv_buf_t buffer;
	int head_length;

	free(connection->response);
	connection->response = malloc(alloc);
	if (!connection->response)
		abort();
	head_length =
		snprintf(connection->response, alloc,
			 "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
			 "Content-Length: %zu\r\n\r\n",
			 server->body_length);
	memcpy(connection->response + head_length, server->body,
	       server->body_length);
	buffer = uv_buf_init(
		connection->response,
		(unsigned int)((size_t)head_length + server->body_length));
	server->bytes_out += buffer.len;
	server->requests++;
	uv_write(&connection->write, (uv_stream_t *)&connection->stream,
		 &buffer, 1, on_written);
}

/* Returns the size of the received request, or 0 if it is not complete yet. */
static size_t complete_request_size(const struct connection *connection)
{
	const char *headers_end =
		memmem(connection->request, connection->length, "\r\n\r\n", 4);
	const char *length_header;
	size_t head_length;
	size_t body_length = 0;

	if (!headers_end)
		return 0;
	head_length = (size_t)(headers_end - connection->request) + 4;
	length_header = strcasestr(connection->request, "content-length:");
	if (length_header && length_header < headers_end)
		body_length = strtoul(length_header + strlen("content-length:"),
				      NULL, 10);
	return connection->length >= head_length + body_length
		       ? head_length + body_length
		       : 0;
}

static void on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buffer)
{
	struct connection *connection = handle->data;

	(void)size;
	*buffer = uv_buf_init(
		connection->request + connection->length,
		(unsigned int)(REQUEST_MAX - 1 - connection->length));
}

static void on_read(uv_stream_t *stream, ssize_t count, const uv_buf_t *buffer)
{
	struct connection *connection = stream->data;

	(void)buffer;
	if (count < 0) {
		uv_close((uv_handle_t *)stream, on_closed);
		return;
	}
	connection->server->bytes_in += (size_t)count;
	connection->length += (size_t)count;
	connection->request[connection->length] = '\0';
	if (!complete_request_size(connection))
		return;
	connection->length = 0;
	respond(connection);
}

static void on_connection(uv_stream_t *listener, int status)
{
	struct connection *connection = calloc(1, sizeof(*connection));

	if (!connection || status < 0)
		abort();
	connection->server = listener->data;
	uv_tcp_init(listener->loop, &connection->stream);
	connection->stream.data = connection;
	if (uv_accept(listener, (uv_stream_t *)&connection->stream) < 0)
		abort();
	uv_read_start((uv_stream_t *)&connection->stream, on_alloc, on_read);
}

struct server *server_new(uv_loop_t *loop)
{
	struct server *server = calloc(1, sizeof(*server));
	struct sockaddr_in address;
	int length = sizeof(address);

	if (!server)
		abort();
	uv_tcp_init(loop, &server->listener);
	server->listener.data = server;
	uv_ip4_addr("127.0.0.1", 0, &address);
	if (uv_tcp_bind(&server->listener, (struct sockaddr *)&address, 0) <
		    0 ||
	    uv_listen((uv_stream_t *)&server->listener, 16, on_connection) < 0)
		abort();
	uv_tcp_getsockname(&server->listener, (struct sockaddr *)&address,
			   &length);
	snprintf(server->address, ADDRESS_MAX, "127.0.0.1:%u",
		 ntohs(address.sin_port));
	return server;
}

const char *server_address(const struct server *server)
{
	return server->address;
}

void server_set_response(struct server *server, const char *body, size_t length)
{
	server->body = body;
	server->body_length = length;
}

void server_get_counts(const struct server *server, size_t *bytes_in,
		       size_t *bytes_out, size_t *requests)
{
	*bytes_in = server->bytes_in;
	*bytes_out = server->bytes_out;
	*requests = server->requests;
}

static void on_listener_closed(uv_handle_t *handle)
{
	free(handle->data);
}

void server_free(struct server *server)
{
	uv_close((uv_handle_t *)&server->listener, on_listener_closed);
}

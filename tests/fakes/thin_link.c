#include "fakes/thin_link.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "net/address.h"

/* Interval at which data is forwarded. */
#define TICK_MS 5
/* Largest part of a connection's data that is forwarded at a time, in bytes. */
#define PART_BYTES 1460
#define READ_BUFFER_BYTES 65536

struct connection {
	struct connection *prev;
	struct connection *next;
	struct thin_link *link;
	uv_tcp_t client;
	uv_tcp_t server;
	uv_connect_t connect;
	char *data; /* from the server */
	size_t data_length;
	size_t data_alloc;
	size_t forwarded; /* bytes of @data that the client has got */
	bool server_closed;
	bool closing;
	int open_handles;
};

struct thin_link {
	uv_loop_t *loop;
	struct sockaddr_storage target;
	uv_tcp_t listener;
	uv_timer_t timer;
	uint64_t forwarded_until; /* time of the loop, in milliseconds */
	size_t bytes_per_s;
	size_t budget; /* bytes that may be forwarded now */
	struct connection *connections;
	int open_handles;
};

struct write_request {
	uv_write_t write;
	char bytes[];
};

static void on_handle_closed(uv_handle_t *handle)
{
	struct connection *connection = handle->data;

	if (--connection->open_handles)
		return;
	DL_DELETE(connection->link->connections, connection);
	free(connection->data);
	free(connection);
}

static void close_connection(struct connection *connection)
{
	if (connection->closing)
		return;
	connection->closing = true;
	uv_close((uv_handle_t *)&connection->client, on_handle_closed);
	uv_close((uv_handle_t *)&connection->server, on_handle_closed);
}

static void on_written(uv_write_t *write, int status)
{
	/* A failed write is also reported as a read error of the stream. */
	(void)status;
	free(write);
}

static void send_bytes(uv_tcp_t *to, const char *bytes, size_t length)
{
	struct write_request *request = malloc(sizeof(*request) + length);
	uv_buf_t buf;

	if (!request)
		abort();
	memcpy(request->bytes, bytes, length);
	buf = uv_buf_init(request->bytes, (unsigned int)length);
	if (uv_write(&request->write, (uv_stream_t *)to, &buf, 1, on_written))
		free(request);
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	static char buffer[READ_BUFFER_BYTES];

	(void)handle;
	(void)suggested;
	*buf = uv_buf_init(buffer, sizeof(buffer));
}

static void on_client_read(uv_stream_t *stream, ssize_t nread,
			   const uv_buf_t *buf)
{
	struct connection *connection = stream->data;

	if (nread < 0)
		close_connection(connection);
	else if (nread > 0)
		send_bytes(&connection->server, buf->base, (size_t)nread);
}

static void on_server_read(uv_stream_t *stream, ssize_t nread,
			   const uv_buf_t *buf)
{
	struct connection *connection = stream->data;
	size_t needed = connection->data_length + (size_t)nread;

	if (nread < 0) {
		connection->server_closed = true;
		uv_read_stop(stream);
		return;
	}
	if (needed > connection->data_alloc) {
		connection->data_alloc = 2 * needed;
		connection->data =
			realloc(connection->data, connection->data_alloc);
		if (!connection->data)
			abort();
	}
	memcpy(connection->data + connection->data_length, buf->base,
	       (size_t)nread);
	connection->data_length = needed;
}

static void on_connected(uv_connect_t *connect, int status)
{
	struct connection *connection = connect->data;

	if (status < 0 || connection->closing) {
		close_connection(connection);
		return;
	}
	uv_read_start((uv_stream_t *)&connection->client, on_alloc,
		      on_client_read);
	uv_read_start((uv_stream_t *)&connection->server, on_alloc,
		      on_server_read);
}

static void on_connection(uv_stream_t *listener, int status)
{
	struct thin_link *link = listener->data;
	struct connection *connection = calloc(1, sizeof(*connection));

	(void)status;
	if (!connection)
		abort();
	connection->link = link;
	connection->open_handles = 2;
	uv_tcp_init(link->loop, &connection->client);
	uv_tcp_init(link->loop, &connection->server);
	connection->client.data = connection;
	connection->server.data = connection;
	connection->connect.data = connection;
	DL_APPEND(link->connections, connection);
	if (uv_accept(listener, (uv_stream_t *)&connection->client) ||
	    uv_tcp_connect(&connection->connect, &connection->server,
			   (struct sockaddr *)&link->target, on_connected))
		close_connection(connection);
}

static void forward_part(struct connection *connection)
{
	struct thin_link *link = connection->link;
	size_t length = connection->data_length - connection->forwarded;

	if (length > PART_BYTES)
		length = PART_BYTES;
	if (length > link->budget)
		length = link->budget;
	send_bytes(&connection->client,
		   connection->data + connection->forwarded, length);
	link->budget -= length;
	connection->forwarded += length;
	if (connection->forwarded < connection->data_length)
		return;
	connection->forwarded = 0;
	connection->data_length = 0;
}

/* The connection with waiting data that has waited longest; NULL: none. */
static struct connection *next_connection(const struct thin_link *link)
{
	struct connection *connection;

	DL_FOREACH(link->connections, connection)
	{
		if (!connection->closing && connection->data_length)
			return connection;
	}
	return NULL;
}

static void on_tick(uv_timer_t *timer)
{
	struct thin_link *link = timer->data;
	uint64_t now = uv_now(link->loop);
	struct connection *connection;
	struct connection *next;

	/* An idle link saves no bandwidth for later. */
	link->budget = (now - link->forwarded_until) * link->bytes_per_s / 1000;
	link->forwarded_until = now;
	while (link->budget && (connection = next_connection(link))) {
		forward_part(connection);
		DL_DELETE(link->connections, connection);
		DL_APPEND(link->connections, connection);
	}
	DL_FOREACH_SAFE(link->connections, connection, next)
	{
		if (connection->server_closed && !connection->data_length)
			close_connection(connection);
	}
}

static void on_link_handle_closed(uv_handle_t *handle)
{
	struct thin_link *link = handle->data;

	link->open_handles--;
}

struct thin_link *thin_link_new(uv_loop_t *loop, const char *address,
				const char *target, size_t bytes_per_s)
{
	struct thin_link *link = calloc(1, sizeof(*link));

	if (!link || zr_address_parse(&link->target, target) < 0)
		abort();
	link->loop = loop;
	link->bytes_per_s = bytes_per_s;
	link->open_handles = 2;
	uv_tcp_init(loop, &link->listener);
	uv_timer_init(loop, &link->timer);
	link->listener.data = link;
	link->timer.data = link;
	if (zr_address_listen(&link->listener, address, on_connection) < 0) {
		thin_link_free(link);
		return NULL;
	}
	link->forwarded_until = uv_now(loop);
	uv_timer_start(&link->timer, on_tick, TICK_MS, TICK_MS);
	return link;
}

void thin_link_free(struct thin_link *link)
{
	struct connection *connection;

	uv_close((uv_handle_t *)&link->listener, on_link_handle_closed);
	uv_close((uv_handle_t *)&link->timer, on_link_handle_closed);
	DL_FOREACH(link->connections, connection)
	close_connection(connection);
	while (link->open_handles || link->connections)
		uv_run(link->loop, UV_RUN_ONCE);
	free(link);
}

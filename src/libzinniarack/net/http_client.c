#include "net/http_client.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include <utstring.h>

#include "net/address.h"
#include "net/http_response.h"
#include "zinniarack/charts.h"
#include "zinniarack/errors.h"

#define READ_BUFFER_BYTES 65536
/* Time from the deadline of a call to its end. */
#define LAST_READ_MS 1

struct connection {
	struct connection *prev;
	struct connection *next;
	struct zr_http_client *client;
	struct zr_http_request *request;
	int state;   /* enum zr_connection_state */
	bool reused; /* has carried a complete response before */
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_timer_t timer;
	int open_handles;
};

struct zr_http_request {
	struct zr_http_request *prev;
	struct zr_http_request *next;
	struct zr_http_client *client;
	struct connection *connection;
	zr_http_done_fn done;
	void *ctx;
	uv_timer_t timer;
	UT_string message;
	unsigned int silence_ms;
	uint64_t ends_at_ms; /* end of the whole call, if silence_ms is set */
	uint64_t received_at_ms; /* last bytes of the response */
	int64_t *received;	 /* counts its bytes; or NULL */
	bool idempotent;
	bool sent;
	bool resent;
	bool expired; /* the deadline has passed, the last read is to come */
	/* error found by zr_http_client_call(), reported after it returns */
	int immediate_error;
	struct zr_http_response_reader reader;
	char expected_id[ZR_HTTP_REQUEST_ID_MAX];
};

struct zr_http_client {
	uv_loop_t *loop;
	struct sockaddr_storage address;
	char host[ZR_ADDRESS_MAX];
	struct zr_http_client_options options;
	struct connection *connections;
	unsigned int connection_count;
	struct zr_http_request *waiting;
	unsigned int waiting_count;
	bool freeing;
	uv_timer_t deferred_free;
	bool deferred_free_closed;
};

struct pending_write {
	uv_write_t write;
	UT_string message;
};

static void dispatch_waiting(struct zr_http_client *client);
static void on_deadline(uv_timer_t *timer);

/* Connections */

static void maybe_free_client(struct zr_http_client *client)
{
	if (client->deferred_free_closed && !client->connections)
		free(client);
}

/*
 * Closing this handle delays the free of the client until the loop has returned
 * from the current callback, which may still use the client.
 */
static void on_deferred_free_closed(uv_handle_t *handle)
{
	struct zr_http_client *client = handle->data;

	client->deferred_free_closed = true;
	maybe_free_client(client);
}

static void on_connection_handle_closed(uv_handle_t *handle)
{
	struct connection *connection = handle->data;
	struct zr_http_client *client = connection->client;

	if (--connection->open_handles)
		return;
	DL_DELETE(client->connections, connection);
	free(connection);
	maybe_free_client(client);
}

static void apply_event(struct connection *connection,
			enum zr_connection_event event)
{
	zr_chart_step(&connection->state, zr_charts()->connection, event);
}

static void close_connection(struct connection *connection)
{
	if (connection->state == ZR_CONNECTION_CLOSING)
		return;
	apply_event(connection, ZR_CONNECTION_EVENT_CLOSED);
	connection->client->connection_count--;
	uv_close((uv_handle_t *)&connection->tcp, on_connection_handle_closed);
	uv_close((uv_handle_t *)&connection->timer,
		 on_connection_handle_closed);
}

static void on_request_timer_closed(uv_handle_t *handle)
{
	struct zr_http_request *request = handle->data;

	utstring_done(&request->message);
	zr_http_response_reader_clear(&request->reader);
	free(request);
}

static void detach_request(struct zr_http_request *request)
{
	struct zr_http_client *client = request->client;

	if (request->connection) {
		request->connection->request = NULL;
		request->connection = NULL;
		return;
	}
	if (request->prev) {
		DL_DELETE(client->waiting, request);
		request->prev = NULL;
		client->waiting_count--;
	}
}

static void release_request(struct zr_http_request *request)
{
	uv_close((uv_handle_t *)&request->timer, on_request_timer_closed);
}

static void finish_request(struct zr_http_request *request, int error)
{
	struct zr_http_response response = {
		.status = (int)request->reader.parser.status_code,
		.body = utstring_body(&request->reader.body),
		.body_length = utstring_len(&request->reader.body),
		.request_id = request->reader.request_id,
	};

	detach_request(request);
	request->done(request->ctx, error, error < 0 ? NULL : &response);
	release_request(request);
}

/* A request that may have been sent in part has an unknown outcome. */
static int request_error(const struct zr_http_request *request, int error)
{
	if (request->sent && error == ZR_E_UNREACHABLE)
		return ZR_E_OUTCOME_UNKNOWN;
	return error;
}

static bool can_resend(const struct connection *connection)
{
	const struct zr_http_request *request = connection->request;

	return connection->reused && request->idempotent && !request->resent &&
	       !request->reader.started;
}

static void requeue_request(struct zr_http_request *request)
{
	detach_request(request);
	request->resent = true;
	request->sent = false;
	DL_PREPEND(request->client->waiting, request);
	request->client->waiting_count++;
}

static void fail_connection(struct connection *connection, int error)
{
	struct zr_http_client *client = connection->client;
	struct zr_http_request *request = connection->request;

	if (request && error == ZR_E_UNREACHABLE && can_resend(connection))
		requeue_request(request);
	else if (request)
		finish_request(request, request_error(request, error));
	close_connection(connection);
	dispatch_waiting(client);
}

static void on_connection_timer(uv_timer_t *timer)
{
	fail_connection(timer->data, ZR_E_UNREACHABLE);
}

/* Responses */

/*
 * (Re)starts the timer of a request for @ms, but not beyond the end of the
 * whole call.
 */
static void start_timer(struct zr_http_request *request, uint64_t ms)
{
	uint64_t now_ms = uv_now(request->client->loop);
	uint64_t left_ms =
		request->ends_at_ms > now_ms ? request->ends_at_ms - now_ms : 0;

	if (request->silence_ms && ms > left_ms)
		ms = left_ms;
	request->expired &= !ms;
	uv_timer_start(&request->timer, on_deadline, ms, 0);
}

static void set_idle(struct connection *connection,
		     enum zr_connection_event event)
{
	apply_event(connection, event);
	connection->reused = event == ZR_CONNECTION_EVENT_RESPONDED;
	uv_timer_start(&connection->timer, on_connection_timer,
		       connection->client->options.idle_timeout_ms, 0);
}

static void complete_response(struct connection *connection, bool surplus)
{
	struct zr_http_client *client = connection->client;
	struct zr_http_request *request = connection->request;
	bool keep_open =
		http_should_keep_alive(&request->reader.parser) && !surplus &&
		client->connection_count <= client->options.max_connections;

	if (request->expected_id[0] &&
	    strcmp(request->expected_id, request->reader.request_id)) {
		fail_connection(connection, ZR_E_PROTOCOL);
		return;
	}
	if (keep_open)
		set_idle(connection, ZR_CONNECTION_EVENT_RESPONDED);
	finish_request(request, 0);
	if (!keep_open)
		close_connection(connection);
	dispatch_waiting(client);
}

static void parse_response(struct connection *connection, const char *bytes,
			   size_t length)
{
	struct zr_http_request *request = connection->request;
	bool surplus;

	request->received_at_ms = uv_now(request->client->loop);
	if (request->received)
		*request->received += (int64_t)length;
	switch (zr_http_response_reader_read(&request->reader, bytes, length,
					     &surplus)) {
	case ZR_HTTP_READ_INCOMPLETE:
		if (request->silence_ms)
			start_timer(request, request->silence_ms);
		break;
	case ZR_HTTP_READ_COMPLETE:
		complete_response(connection, surplus);
		break;
	case ZR_HTTP_READ_TOO_LARGE:
		fail_connection(connection, ZR_E_TOO_LARGE);
		break;
	case ZR_HTTP_READ_MALFORMED:
		fail_connection(connection, ZR_E_PROTOCOL);
		break;
	}
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	/* Shared by all reads, which the loop runs one after the other. */
	static char buffer[READ_BUFFER_BYTES];

	(void)handle;
	(void)suggested;
	*buf = uv_buf_init(buffer, sizeof(buffer));
}

static void on_read(uv_stream_t *stream, ssize_t nread, const uv_buf_t *buf)
{
	struct connection *connection = stream->data;

	if (connection->state == ZR_CONNECTION_CLOSING || !nread)
		return;
	if (nread < 0)
		fail_connection(connection, ZR_E_UNREACHABLE);
	else if (connection->state == ZR_CONNECTION_BUSY && connection->request)
		parse_response(connection, buf->base, (size_t)nread);
	else
		/* No request is waiting for a response on this connection. */
		fail_connection(connection, ZR_E_PROTOCOL);
}

/* Sending */

static void on_write_done(uv_write_t *write, int status)
{
	struct pending_write *pending = (struct pending_write *)write;

	/* A failed write is also reported as a read error of the stream. */
	(void)status;
	utstring_done(&pending->message);
	free(pending);
}

static void send_request(struct connection *connection,
			 struct zr_http_request *request)
{
	struct pending_write *pending = calloc(1, sizeof(*pending));
	uv_buf_t buf;

	if (!pending)
		abort();
	apply_event(connection, ZR_CONNECTION_EVENT_SENT);
	connection->request = request;
	request->connection = connection;
	request->sent = true;
	uv_timer_stop(&connection->timer);
	utstring_init(&pending->message);
	utstring_concat(&pending->message, &request->message);
	buf = uv_buf_init(utstring_body(&pending->message),
			  (unsigned int)utstring_len(&pending->message));
	if (uv_write(&pending->write, (uv_stream_t *)&connection->tcp, &buf, 1,
		     on_write_done)) {
		on_write_done(&pending->write, 0);
		request->sent = false;
		fail_connection(connection, ZR_E_UNREACHABLE);
	}
}

static struct zr_http_request *
pop_waiting_request(struct zr_http_client *client)
{
	struct zr_http_request *request = client->waiting;

	DL_DELETE(client->waiting, request);
	request->prev = NULL;
	client->waiting_count--;
	return request;
}

static void on_connected(uv_connect_t *connect, int status)
{
	struct connection *connection = connect->data;

	if (connection->state == ZR_CONNECTION_CLOSING)
		return;
	if (status < 0) {
		fail_connection(connection, ZR_E_UNREACHABLE);
		return;
	}
	uv_read_start((uv_stream_t *)&connection->tcp, on_alloc, on_read);
	set_idle(connection, ZR_CONNECTION_EVENT_CONNECTED);
	if (connection->request) {
		send_request(connection, connection->request);
		return;
	}
	dispatch_waiting(connection->client);
}

static void open_connection(struct zr_http_client *client,
			    struct zr_http_request *request)
{
	struct connection *connection = calloc(1, sizeof(*connection));

	if (!connection)
		abort();
	connection->client = client;
	connection->state = zr_chart_initial(zr_charts()->connection);
	connection->request = request;
	request->connection = connection;
	connection->open_handles = 2;
	uv_tcp_init(client->loop, &connection->tcp);
	uv_timer_init(client->loop, &connection->timer);
	connection->tcp.data = connection;
	connection->timer.data = connection;
	connection->connect.data = connection;
	uv_tcp_nodelay(&connection->tcp, 1);
	DL_APPEND(client->connections, connection);
	client->connection_count++;
	uv_timer_start(&connection->timer, on_connection_timer,
		       client->options.connect_timeout_ms, 0);
	if (uv_tcp_connect(&connection->connect, &connection->tcp,
			   (struct sockaddr *)&client->address, on_connected))
		uv_timer_start(&connection->timer, on_connection_timer, 0, 0);
}

static struct connection *find_idle_connection(struct zr_http_client *client)
{
	struct connection *connection;

	DL_FOREACH(client->connections, connection)
	{
		if (connection->state == ZR_CONNECTION_IDLE &&
		    !connection->request)
			return connection;
	}
	return NULL;
}

static void dispatch_waiting(struct zr_http_client *client)
{
	struct connection *connection;

	while (client->waiting && !client->freeing) {
		connection = find_idle_connection(client);
		if (connection)
			send_request(connection, pop_waiting_request(client));
		else if (client->connection_count <
			 client->options.max_connections)
			open_connection(client, pop_waiting_request(client));
		else
			return;
	}
}

/* Closes idle connections until at most @max_open connections are open. */
static void close_idle_connections(struct zr_http_client *client,
				   unsigned int max_open)
{
	struct connection *connection;

	DL_FOREACH(client->connections, connection)
	{
		if (client->connection_count <= max_open)
			return;
		if (connection->state == ZR_CONNECTION_IDLE &&
		    !connection->request)
			close_connection(connection);
	}
}

void zr_http_client_set_max_connections(struct zr_http_client *client,
					unsigned int max_connections)
{
	client->options.max_connections = max_connections;
	close_idle_connections(client, max_connections);
}

bool zr_http_client_receiving(const struct zr_http_client *client,
			      unsigned int within_ms)
{
	uint64_t now_ms = uv_now(client->loop);
	const struct connection *connection;

	DL_FOREACH(client->connections, connection)
	{
		const struct zr_http_request *request = connection->request;

		if (request && request->reader.started &&
		    now_ms - request->received_at_ms <= within_ms)
			return true;
	}
	return false;
}

/* Requests */

static void on_deadline(uv_timer_t *timer)
{
	struct zr_http_request *request = timer->data;
	struct connection *connection = request->connection;
	struct zr_http_client *client = request->client;
	bool no_response;

	if (request->immediate_error) {
		finish_request(request, request->immediate_error);
		return;
	}
	/*
	 * The loop runs timers before it reads. If the process did not run for
	 * a while, the response may be waiting.
	 */
	if (!request->expired) {
		request->expired = true;
		uv_timer_start(timer, on_deadline, LAST_READ_MS, 0);
		return;
	}
	no_response = connection && request->sent && !request->reader.started;
	finish_request(request, request_error(request, ZR_E_UNREACHABLE));
	if (connection)
		close_connection(connection);
	if (no_response)
		close_idle_connections(client, 0);
	dispatch_waiting(client);
}

static void format_request(UT_string *message, const char *host,
			   const struct zr_http_call *call)
{
	size_t i;

	utstring_printf(message, "%s %s HTTP/1.1\r\nHost: %s\r\n", call->method,
			call->path, host);
	for (i = 0; i < call->header_count; i++)
		utstring_printf(message, "%s: %s\r\n", call->headers[i].name,
				call->headers[i].value);
	if (call->content_type)
		utstring_printf(message, "Content-Type: %s\r\n",
				call->content_type);
	utstring_printf(message, "Content-Length: %zu\r\n\r\n",
			call->body_length);
	if (call->body_length)
		utstring_bincpy(message, call->body, call->body_length);
}

static struct zr_http_request *new_request(struct zr_http_client *client,
					   const struct zr_http_call *call)
{
	struct zr_http_request *request = calloc(1, sizeof(*request));

	if (!request)
		abort();
	request->client = client;
	request->idempotent = call->idempotent;
	request->silence_ms = call->silence_ms;
	request->received = call->received;
	request->ends_at_ms = uv_now(client->loop) + call->max_ms;
	if (call->request_id)
		snprintf(request->expected_id, sizeof(request->expected_id),
			 "%s", call->request_id);
	utstring_init(&request->message);
	zr_http_response_reader_init(&request->reader,
				     client->options.max_response_bytes);
	format_request(&request->message, client->host, call);
	uv_timer_init(client->loop, &request->timer);
	request->timer.data = request;
	return request;
}

struct zr_http_request *zr_http_client_call(struct zr_http_client *client,
					    const struct zr_http_call *call,
					    zr_http_done_fn done, void *ctx)
{
	struct zr_http_request *request = new_request(client, call);

	request->done = done;
	request->ctx = ctx;
	if (client->freeing)
		request->immediate_error = ZR_E_CANCELLED;
	else if (client->waiting_count >= client->options.max_waiting)
		request->immediate_error = ZR_E_FULL;
	if (request->immediate_error) {
		uv_timer_start(&request->timer, on_deadline, 0, 0);
		return request;
	}
	start_timer(request, call->timeout_ms);
	DL_APPEND(client->waiting, request);
	client->waiting_count++;
	dispatch_waiting(client);
	return request;
}

void zr_http_request_cancel(struct zr_http_request *request)
{
	struct connection *connection = request->connection;
	struct zr_http_client *client = request->client;

	detach_request(request);
	release_request(request);
	if (connection)
		close_connection(connection);
	dispatch_waiting(client);
}

int zr_http_client_new(struct zr_http_client **out, uv_loop_t *loop,
		       const char *address,
		       const struct zr_http_client_options *options)
{
	static const struct zr_http_client_options defaults =
		ZR_HTTP_CLIENT_OPTIONS_INIT;
	struct zr_http_client *client = calloc(1, sizeof(*client));
	int error;

	if (!client)
		return ZR_E_NOMEM;
	client->loop = loop;
	client->options = options ? *options : defaults;
	error = zr_address_parse(&client->address, address);
	if (error < 0) {
		free(client);
		return error;
	}
	strncpy(client->host, address, sizeof(client->host) - 1);
	uv_timer_init(loop, &client->deferred_free);
	client->deferred_free.data = client;
	*out = client;
	return 0;
}

void zr_http_client_free(struct zr_http_client *client)
{
	struct connection *connection;
	struct connection *next;

	if (!client)
		return;
	client->freeing = true;
	while (client->waiting)
		finish_request(client->waiting, ZR_E_CANCELLED);
	DL_FOREACH_SAFE(client->connections, connection, next)
	{
		if (connection->request)
			finish_request(connection->request,
				       connection->request->sent
					       ? ZR_E_OUTCOME_UNKNOWN
					       : ZR_E_CANCELLED);
		close_connection(connection);
	}
	uv_close((uv_handle_t *)&client->deferred_free,
		 on_deferred_free_closed);
}

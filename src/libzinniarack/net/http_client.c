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

#define READ_CHUNK_BYTES 65536

struct connection {
	struct connection *prev;
	struct connection *next;
	struct zr_http_client *client;
	struct zr_http_request *request;
	int state; /* enum zr_connection_state */
	bool reused;
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
	UT_string bytes;
	bool idempotent;
	bool sent;
	bool retried;
	int early_error;
	struct zr_http_answer_reader reader;
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
	uv_timer_t guard;
	bool guard_closed;
};

struct write_job {
	uv_write_t write;
	UT_string bytes;
};

static void serve_waiting(struct zr_http_client *client);

/* Connections */

static void maybe_free_client(struct zr_http_client *client)
{
	if (client->guard_closed && !client->connections)
		free(client);
}

/* The guard keeps the client until the loop has left the current callback. */
static void on_guard_closed(uv_handle_t *handle)
{
	struct zr_http_client *client = handle->data;

	client->guard_closed = true;
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

static void step(struct connection *connection, enum zr_connection_event event)
{
	zr_chart_step(&connection->state, zr_charts()->connection, event);
}

static void close_connection(struct connection *connection)
{
	if (connection->state == ZR_CONNECTION_CLOSING)
		return;
	step(connection, ZR_CONNECTION_CLOSED);
	connection->client->connection_count--;
	uv_close((uv_handle_t *)&connection->tcp, on_connection_handle_closed);
	uv_close((uv_handle_t *)&connection->timer,
		 on_connection_handle_closed);
}

static void on_request_timer_closed(uv_handle_t *handle)
{
	struct zr_http_request *request = handle->data;

	utstring_done(&request->bytes);
	zr_http_answer_clear(&request->reader);
	free(request);
}

static void detach(struct zr_http_request *request)
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

static void release(struct zr_http_request *request)
{
	uv_close((uv_handle_t *)&request->timer, on_request_timer_closed);
}

static void finish(struct zr_http_request *request, int error)
{
	struct zr_http_answer answer = {
		.status = (int)request->reader.parser.status_code,
		.body = utstring_body(&request->reader.body),
		.body_length = utstring_len(&request->reader.body),
		.request_id = request->reader.request_id,
	};

	detach(request);
	request->done(request->ctx, error, error < 0 ? NULL : &answer);
	release(request);
}

/* A request whose bytes may have left has an unknown outcome. */
static int failure_of(const struct zr_http_request *request, int error)
{
	if (request->sent && error == ZR_E_UNREACHABLE)
		return ZR_E_OUTCOME_UNKNOWN;
	return error;
}

static bool may_retry(const struct connection *connection)
{
	const struct zr_http_request *request = connection->request;

	return connection->reused && request->idempotent && !request->retried &&
	       !request->reader.begun;
}

static void wait_again(struct zr_http_request *request)
{
	detach(request);
	request->retried = true;
	request->sent = false;
	DL_PREPEND(request->client->waiting, request);
	request->client->waiting_count++;
}

static void fail_connection(struct connection *connection, int error)
{
	struct zr_http_client *client = connection->client;
	struct zr_http_request *request = connection->request;

	if (request && error == ZR_E_UNREACHABLE && may_retry(connection))
		wait_again(request);
	else if (request)
		finish(request, failure_of(request, error));
	close_connection(connection);
	serve_waiting(client);
}

static void on_connection_timer(uv_timer_t *timer)
{
	fail_connection(timer->data, ZR_E_UNREACHABLE);
}

/* Answers */

static void become_idle(struct connection *connection,
			enum zr_connection_event event)
{
	step(connection, event);
	connection->reused = event == ZR_CONNECTION_ANSWERED;
	uv_timer_start(&connection->timer, on_connection_timer,
		       connection->client->options.idle_timeout_ms, 0);
}

static void complete_answer(struct connection *connection, bool surplus)
{
	struct zr_http_client *client = connection->client;
	struct zr_http_request *request = connection->request;
	bool keep = http_should_keep_alive(&request->reader.parser) &&
		    !surplus &&
		    client->connection_count <= client->options.max_connections;

	if (request->expected_id[0] &&
	    strcmp(request->expected_id, request->reader.request_id)) {
		fail_connection(connection, ZR_E_PROTOCOL);
		return;
	}
	if (keep)
		become_idle(connection, ZR_CONNECTION_ANSWERED);
	finish(request, 0);
	if (!keep)
		close_connection(connection);
	serve_waiting(client);
}

static void parse(struct connection *connection, const char *bytes,
		  size_t length)
{
	bool surplus;

	switch (zr_http_answer_read(&connection->request->reader, bytes, length,
				    &surplus)) {
	case ZR_HTTP_MORE:
		break;
	case ZR_HTTP_WHOLE:
		complete_answer(connection, surplus);
		break;
	case ZR_HTTP_TOO_LARGE:
		fail_connection(connection, ZR_E_TOO_LARGE);
		break;
	case ZR_HTTP_BROKEN:
		fail_connection(connection, ZR_E_PROTOCOL);
		break;
	}
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	/* One loop, one thread: reads never overlap. */
	static char chunk[READ_CHUNK_BYTES];

	(void)handle;
	(void)suggested;
	*buf = uv_buf_init(chunk, sizeof(chunk));
}

static void on_read(uv_stream_t *stream, ssize_t got, const uv_buf_t *buf)
{
	struct connection *connection = stream->data;

	if (connection->state == ZR_CONNECTION_CLOSING || !got)
		return;
	if (got < 0)
		fail_connection(connection, ZR_E_UNREACHABLE);
	else if (connection->state == ZR_CONNECTION_BUSY && connection->request)
		parse(connection, buf->base, (size_t)got);
	else
		/* Bytes that answer no request: this peer is out of step. */
		fail_connection(connection, ZR_E_PROTOCOL);
}

/* Sending */

static void on_written(uv_write_t *write, int status)
{
	struct write_job *job = (struct write_job *)write;

	/* A failed write shows up as a read error on the same stream. */
	(void)status;
	utstring_done(&job->bytes);
	free(job);
}

static void send_request(struct connection *connection,
			 struct zr_http_request *request)
{
	struct write_job *job = calloc(1, sizeof(*job));
	uv_buf_t buf;

	if (!job)
		abort();
	step(connection, ZR_CONNECTION_SENT);
	connection->request = request;
	request->connection = connection;
	request->sent = true;
	uv_timer_stop(&connection->timer);
	utstring_init(&job->bytes);
	utstring_concat(&job->bytes, &request->bytes);
	buf = uv_buf_init(utstring_body(&job->bytes),
			  (unsigned int)utstring_len(&job->bytes));
	if (uv_write(&job->write, (uv_stream_t *)&connection->tcp, &buf, 1,
		     on_written)) {
		on_written(&job->write, 0);
		request->sent = false;
		fail_connection(connection, ZR_E_UNREACHABLE);
	}
}

static struct zr_http_request *pop_waiting(struct zr_http_client *client)
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
	become_idle(connection, ZR_CONNECTION_CONNECTED);
	if (connection->request) {
		send_request(connection, connection->request);
		return;
	}
	serve_waiting(connection->client);
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

static struct connection *find_idle(struct zr_http_client *client)
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

static void serve_waiting(struct zr_http_client *client)
{
	struct connection *connection;

	while (client->waiting && !client->freeing) {
		connection = find_idle(client);
		if (connection)
			send_request(connection, pop_waiting(client));
		else if (client->connection_count <
			 client->options.max_connections)
			open_connection(client, pop_waiting(client));
		else
			return;
	}
}

/* Close idle connections until no more than @most are open. */
static void close_idle(struct zr_http_client *client, unsigned int most)
{
	struct connection *connection;

	DL_FOREACH(client->connections, connection)
	{
		if (client->connection_count <= most)
			return;
		if (connection->state == ZR_CONNECTION_IDLE &&
		    !connection->request)
			close_connection(connection);
	}
}

void zr_http_client_limit(struct zr_http_client *client,
			  unsigned int connections)
{
	client->options.max_connections = connections;
	close_idle(client, connections);
}

/* Requests */

static void on_deadline(uv_timer_t *timer)
{
	struct zr_http_request *request = timer->data;
	struct connection *connection = request->connection;
	struct zr_http_client *client = request->client;
	bool silent;

	if (request->early_error) {
		finish(request, request->early_error);
		return;
	}
	silent = connection && request->sent && !request->reader.begun;
	finish(request, failure_of(request, ZR_E_UNREACHABLE));
	if (connection)
		close_connection(connection);
	if (silent)
		close_idle(client, 0);
	serve_waiting(client);
}

static void format_request(UT_string *bytes, const char *host,
			   const struct zr_http_call *call)
{
	size_t i;

	utstring_printf(bytes, "%s %s HTTP/1.1\r\nHost: %s\r\n", call->method,
			call->path, host);
	for (i = 0; i < call->header_count; i++)
		utstring_printf(bytes, "%s: %s\r\n", call->headers[i].name,
				call->headers[i].value);
	if (call->content_type)
		utstring_printf(bytes, "Content-Type: %s\r\n",
				call->content_type);
	utstring_printf(bytes, "Content-Length: %zu\r\n\r\n",
			call->body_length);
	if (call->body_length)
		utstring_bincpy(bytes, call->body, call->body_length);
}

static struct zr_http_request *new_request(struct zr_http_client *client,
					   const struct zr_http_call *call)
{
	struct zr_http_request *request = calloc(1, sizeof(*request));

	if (!request)
		abort();
	request->client = client;
	request->idempotent = call->idempotent;
	if (call->request_id)
		snprintf(request->expected_id, sizeof(request->expected_id),
			 "%s", call->request_id);
	utstring_init(&request->bytes);
	zr_http_answer_init(&request->reader, client->options.max_answer_bytes);
	format_request(&request->bytes, client->host, call);
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
		request->early_error = ZR_E_CANCELLED;
	else if (client->waiting_count >= client->options.max_waiting)
		request->early_error = ZR_E_FULL;
	if (request->early_error) {
		uv_timer_start(&request->timer, on_deadline, 0, 0);
		return request;
	}
	uv_timer_start(&request->timer, on_deadline, call->timeout_ms, 0);
	DL_APPEND(client->waiting, request);
	client->waiting_count++;
	serve_waiting(client);
	return request;
}

void zr_http_request_cancel(struct zr_http_request *request)
{
	struct connection *connection = request->connection;
	struct zr_http_client *client = request->client;

	detach(request);
	release(request);
	if (connection)
		close_connection(connection);
	serve_waiting(client);
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
	uv_timer_init(loop, &client->guard);
	client->guard.data = client;
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
		finish(client->waiting, ZR_E_CANCELLED);
	DL_FOREACH_SAFE(client->connections, connection, next)
	{
		if (connection->request)
			finish(connection->request,
			       connection->request->sent ? ZR_E_OUTCOME_UNKNOWN
							 : ZR_E_CANCELLED);
		close_connection(connection);
	}
	uv_close((uv_handle_t *)&client->guard, on_guard_closed);
}

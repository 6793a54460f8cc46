#include "net/http_server.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <uthash.h>
#include <utlist.h>
#include <h2o.h>
#include <h2o/http1.h>

#include "net/address.h"
#include "zinniarack/errors.h"
#include "zinniarack/log.h"

#define HOST_PORT_ANY 65535
#define REPLY_CHECK_INTERVAL_MS 250
/*
 * Maximum of the bytes that wait in the kernel for each connection. They are
 * read in one go, before the memory budget is enforced.
 */
#define RECEIVE_BUFFER_BYTES 32768
/* Memory of a connection beside the bytes that it has received. */
#define CONNECTION_BYTES 8192
/* Time after which a rejected caller should try again. */
#define RETRY_AFTER_S "1"

struct zr_http_server {
	uv_loop_t *loop;
	struct zr_http_server_options options;
	zr_http_handler_fn handler;
	void *ctx;
	uv_tcp_t listener;
	bool listening;
	bool draining;
	uv_check_t after_poll;
	uv_check_t account_check;
	uv_timer_t reply_check;
	unsigned int open_exchanges;
	unsigned int open_connections;
	h2o_globalconf_t config;
	h2o_context_t context;
	h2o_accept_ctx_t accept;
	/* Ordered by last use, least recently used first. */
	struct connection *connections;
	struct connection *connection_by_socket;
};

struct zr_http_exchange {
	struct zr_http_server *server;
	h2o_req_t *req;
	struct connection *connection;
	char *method;
	char *path;
	char *query;
	zr_http_disconnect_fn on_disconnect;
	void *disconnect_ctx;
	bool replied;
};

/* The h2o handler of all paths. */
struct server_handler {
	h2o_handler_t super;
	struct zr_http_server *server;
};

struct connection {
	uv_tcp_t tcp; /* must be first: h2o passes its address on close */
	struct connection *prev;
	struct connection *next;
	UT_hash_handle hh;
	struct zr_http_server *server;
	h2o_socket_t *sock;
	bool busy; /* a request is in progress */
	bool is_shut_down;
	bool replying;		   /* the reply has not been sent completely */
	uint64_t reply_started_at; /* ms, uv_now() */
	size_t reply_bytes;
	size_t input_bytes; /* received and not consumed at the last check */
	uint64_t moved;	    /* bytes received so far */
	zr_handle account;
};

static const char *reason_phrase(int status)
{
	switch (status) {
	case 200:
		return "OK";
	case 201:
		return "Created";
	case 202:
		return "Accepted";
	case 400:
		return "Bad Request";
	case 401:
		return "Unauthorized";
	case 403:
		return "Forbidden";
	case 404:
		return "Not Found";
	case 405:
		return "Method Not Allowed";
	case 409:
		return "Conflict";
	case 413:
		return "Payload Too Large";
	case 422:
		return "Unprocessable Entity";
	case 429:
		return "Too Many Requests";
	case 502:
		return "Bad Gateway";
	case 503:
		return "Service Unavailable";
	case 504:
		return "Gateway Timeout";
	default:
		return "Status";
	}
}

static void dispose_exchange(void *data)
{
	struct zr_http_exchange *exchange = data;

	exchange->server->open_exchanges--;
	if (exchange->connection) {
		exchange->connection->busy = exchange->connection->replying =
			false;
		exchange->connection->reply_bytes = 0;
	}
	if (!exchange->replied && exchange->on_disconnect)
		exchange->on_disconnect(exchange->disconnect_ctx);
}

static char *copy_text(h2o_mem_pool_t *pool, const char *base, size_t length)
{
	return h2o_strdup(pool, base, length).base;
}

/* Marks the connection of the exchange as busy and as most recently used. */
static void mark_connection_busy(struct zr_http_exchange *exchange)
{
	struct zr_http_server *server = exchange->server;
	h2o_conn_t *conn = exchange->req->conn;
	h2o_socket_t *sock = conn->callbacks->get_socket(conn);
	struct connection *connection;

	HASH_FIND_PTR(server->connection_by_socket, &sock, connection);
	exchange->connection = connection;
	if (!connection)
		return;
	connection->busy = true;
	DL_DELETE(server->connections, connection);
	DL_APPEND(server->connections, connection);
}

static enum zr_net_state memory_state(const struct connection *connection)
{
	if (connection->replying)
		return ZR_NET_REPLYING;
	return connection->busy ? ZR_NET_HANDLING : ZR_NET_RECEIVING;
}

static void update_account(struct connection *connection)
{
	const struct zr_http_server *server = connection->server;
	size_t bytes = 0;

	/* h2o has freed what the socket of a closed connection held. */
	if (!uv_is_closing((const uv_handle_t *)&connection->tcp)) {
		const h2o_buffer_t *input = connection->sock->input;

		if (input->size > connection->input_bytes)
			connection->moved +=
				input->size - connection->input_bytes;
		connection->input_bytes = input->size;
		bytes = CONNECTION_BYTES + input->capacity +
			connection->reply_bytes;
	}
	zr_net_account_set(server->options.budget, connection->account, bytes,
			   connection->moved, memory_state(connection));
}

/* Whether there is memory to handle a complete request. */
static bool fits_budget(const struct zr_http_exchange *exchange)
{
	if (exchange->connection)
		update_account(exchange->connection);
	return zr_net_budget_enforce(exchange->server->options.budget);
}

static int on_request(h2o_handler_t *self, h2o_req_t *req)
{
	struct zr_http_server *server = ((struct server_handler *)self)->server;
	struct zr_http_exchange *exchange;
	size_t path_end = req->path.len;

	exchange = h2o_mem_alloc_shared(&req->pool, sizeof(*exchange),
					dispose_exchange);
	memset(exchange, 0, sizeof(*exchange));
	exchange->server = server;
	exchange->req = req;
	server->open_exchanges++;
	mark_connection_busy(exchange);
	if (req->query_at != SIZE_MAX) {
		path_end = req->query_at;
		exchange->query =
			copy_text(&req->pool, req->path.base + path_end + 1,
				  req->path.len - path_end - 1);
	}
	exchange->method =
		copy_text(&req->pool, req->method.base, req->method.len);
	exchange->path = copy_text(&req->pool, req->path.base, path_end);
	if (fits_budget(exchange)) {
		server->handler(server->ctx, exchange);
		return 0;
	}
	req->http1_is_persistent = 0;
	zr_http_add_reply_header(exchange, "retry-after", RETRY_AFTER_S);
	zr_http_reply(exchange, 503, "text/plain", NULL, 0);
	return 0;
}

static void on_connection_closed(uv_handle_t *handle)
{
	struct connection *connection = (struct connection *)handle;

	connection->server->open_connections--;
	if (connection->sock) {
		zr_net_account_close(connection->server->options.budget,
				     connection->account);
		DL_DELETE(connection->server->connections, connection);
		HASH_DEL(connection->server->connection_by_socket, connection);
	}
	free(connection);
}

/* Shuts the socket down; h2o then handles it as a disconnect of the caller. */
static bool shut_down_connection(struct connection *connection)
{
	uv_os_fd_t fd;

	connection->is_shut_down = true;
	return !uv_fileno((uv_handle_t *)&connection->tcp, &fd) &&
	       !shutdown(fd, SHUT_RDWR);
}

/*
 * Closes a connection for its memory. A request that is not complete has not
 * been handled, so its caller is told to try again.
 */
static void on_reclaim(void *ctx)
{
	static char reply[] = "HTTP/1.1 503 Service Unavailable\r\n"
			      "Connection: close\r\n"
			      "Retry-After: " RETRY_AFTER_S "\r\n"
			      "Content-Length: 0\r\n\r\n";
	struct connection *connection = ctx;
	uv_buf_t buf = uv_buf_init(reply, sizeof(reply) - 1);

	if (connection->is_shut_down)
		return;
	/* On an idle connection it might seem to be that of a request. */
	if (!connection->busy && connection->input_bytes)
		uv_try_write((uv_stream_t *)&connection->tcp, &buf, 1);
	shut_down_connection(connection);
}

/* Runs after each poll for events, which may have received data. */
static void on_account_check(uv_check_t *check)
{
	struct zr_http_server *server = check->data;
	struct connection *connection;

	DL_FOREACH(server->connections, connection)
	{
		update_account(connection);
	}
	zr_net_budget_enforce(server->options.budget);
}

/*
 * Closes the least recently used connection without a request in progress, so
 * that a flood of idle connections cannot keep out callers with requests.
 */
static bool close_lru_connection(struct zr_http_server *server)
{
	struct connection *connection;

	DL_FOREACH(server->connections, connection)
	{
		if (!connection->busy && !connection->is_shut_down &&
		    shut_down_connection(connection))
			return true;
	}
	return false;
}

/* Closes connections whose caller has not read the reply in time. */
static void on_reply_timeout_check(uv_timer_t *timer)
{
	struct zr_http_server *server = timer->data;
	uint64_t now_ms = uv_now(server->loop);
	struct connection *connection;

	DL_FOREACH(server->connections, connection)
	{
		if (connection->replying && !connection->is_shut_down &&
		    now_ms - connection->reply_started_at >
			    server->options.request_timeout_ms)
			shut_down_connection(connection);
	}
}

static void on_accept(uv_stream_t *listener, int status)
{
	struct zr_http_server *server = listener->data;
	struct connection *connection;
	h2o_socket_t *sock;

	if (status)
		return;
	connection = h2o_mem_alloc(sizeof(*connection));
	memset(connection, 0, sizeof(*connection));
	connection->server = server;
	uv_tcp_init(server->loop, &connection->tcp);
	server->open_connections++;
	if (uv_accept(listener, (uv_stream_t *)&connection->tcp) ||
	    (server->open_connections > server->options.max_connections &&
	     !close_lru_connection(server)) ||
	    !zr_net_budget_admit(server->options.budget)) {
		uv_close((uv_handle_t *)&connection->tcp, on_connection_closed);
		return;
	}
	uv_tcp_nodelay(&connection->tcp, 1);
	sock = h2o_uv_socket_create((uv_stream_t *)&connection->tcp,
				    on_connection_closed);
	connection->sock = sock;
	connection->account = zr_net_account_open(
		server->options.budget, ZR_NET_CALLER, on_reclaim, connection);
	DL_APPEND(server->connections, connection);
	HASH_ADD_PTR(server->connection_by_socket, sock, connection);
	h2o_accept(&server->accept, sock);
}

static int start_listening(struct zr_http_server *server, const char *address)
{
	int bytes = RECEIVE_BUFFER_BYTES;
	int error;

	uv_timer_init(server->loop, &server->reply_check);
	server->reply_check.data = server;
	uv_timer_start(&server->reply_check, on_reply_timeout_check,
		       REPLY_CHECK_INTERVAL_MS, REPLY_CHECK_INTERVAL_MS);
	if (server->options.budget) {
		uv_check_init(server->loop, &server->account_check);
		server->account_check.data = server;
		uv_check_start(&server->account_check, on_account_check);
		uv_unref((uv_handle_t *)&server->account_check);
	}
	uv_tcp_init(server->loop, &server->listener);
	server->listener.data = server;
	server->listening = true;
	error = zr_address_listen(&server->listener, address, on_accept);
	/* Accepted connections inherit it. */
	if (!error && server->options.budget)
		uv_recv_buffer_size((uv_handle_t *)&server->listener, &bytes);
	return error;
}

static void configure_h2o(struct zr_http_server *server)
{
	h2o_hostconf_t *host;
	h2o_pathconf_t *path;
	struct server_handler *handler;

	h2o_config_init(&server->config);
	server->config.max_request_entity_size = server->options.max_body_bytes;
	server->config.http1.req_timeout = server->options.request_timeout_ms;
	server->config.http1.upgrade_to_http2 = 0;
	server->config.server_name = h2o_iovec_init(H2O_STRLIT("zinniarack"));
	host = h2o_config_register_host(&server->config,
					h2o_iovec_init(H2O_STRLIT("default")),
					HOST_PORT_ANY);
	path = h2o_config_register_path(host, "/", 0);
	handler = (struct server_handler *)h2o_create_handler(path,
							      sizeof(*handler));
	handler->super.on_req = on_request;
	handler->server = server;
	h2o_context_init(&server->context, server->loop, &server->config);
	server->accept.ctx = &server->context;
	server->accept.hosts = server->config.hosts;
}

int zr_http_server_new(struct zr_http_server **out, uv_loop_t *loop,
		       const char *address,
		       const struct zr_http_server_options *options,
		       zr_http_handler_fn handler, void *ctx)
{
	static const struct zr_http_server_options defaults =
		ZR_HTTP_SERVER_OPTIONS_INIT;
	struct zr_http_server *server = calloc(1, sizeof(*server));
	int error;

	if (!server)
		return ZR_E_NOMEM;
	server->loop = loop;
	server->options = options ? *options : defaults;
	server->handler = handler;
	server->ctx = ctx;
	configure_h2o(server);
	error = start_listening(server, address);
	if (error < 0) {
		zr_http_server_stop(server);
		return error;
	}
	*out = server;
	return 0;
}

void zr_http_server_drain(struct zr_http_server *server)
{
	if (server->draining)
		return;
	server->draining = true;
	h2o_context_request_shutdown(&server->context);
}

bool zr_http_server_is_draining(const struct zr_http_server *server)
{
	return server->draining;
}

/*
 * Runs after the loop has polled for events once and has accepted all waiting
 * connections. Closing the listener earlier would make the kernel reset them.
 */
static void on_poll_finished(uv_check_t *after_poll)
{
	struct zr_http_server *server = after_poll->data;

	uv_close((uv_handle_t *)after_poll, NULL);
	uv_close((uv_handle_t *)&server->listener, NULL);
	uv_close((uv_handle_t *)&server->reply_check, NULL);
	if (server->options.budget)
		uv_close((uv_handle_t *)&server->account_check, NULL);
}

void zr_http_server_stop(struct zr_http_server *server)
{
	if (!server->listening)
		return;
	server->listening = false;
	zr_http_server_drain(server);
	uv_check_init(server->loop, &server->after_poll);
	server->after_poll.data = server;
	uv_check_start(&server->after_poll, on_poll_finished);
}

unsigned int zr_http_server_open_exchanges(const struct zr_http_server *server)
{
	return server->open_exchanges;
}

void zr_http_server_free(struct zr_http_server *server)
{
	if (!server)
		return;
	h2o_context_dispose(&server->context);
	h2o_config_dispose(&server->config);
	free(server);
}

const char *zr_http_get_method(const struct zr_http_exchange *exchange)
{
	return exchange->method;
}

const char *zr_http_get_path(const struct zr_http_exchange *exchange)
{
	return exchange->path;
}

const char *zr_http_get_host(struct zr_http_exchange *exchange)
{
	h2o_req_t *req = exchange->req;

	return copy_text(&req->pool, req->authority.base, req->authority.len);
}

const char *zr_http_get_query_param(struct zr_http_exchange *exchange,
				    const char *name)
{
	size_t name_length = strlen(name);
	const char *param = exchange->query;
	size_t length;

	while (param && *param) {
		length = strcspn(param, "&");
		if (!strncmp(param, name, name_length) &&
		    param[name_length] == '=')
			return copy_text(&exchange->req->pool,
					 param + name_length + 1,
					 length - name_length - 1);
		param += length;
		if (*param == '&')
			param++;
	}
	return NULL;
}

const char *zr_http_get_header(struct zr_http_exchange *exchange,
			       const char *name)
{
	const h2o_headers_t *headers = &exchange->req->headers;
	size_t length = strlen(name);
	size_t i;

	for (i = 0; i < headers->size; i++) {
		const h2o_header_t *header = &headers->entries[i];

		if (header->name->len == length &&
		    !strncasecmp(header->name->base, name, length))
			return copy_text(&exchange->req->pool,
					 header->value.base, header->value.len);
	}
	return NULL;
}

const void *zr_http_get_body(const struct zr_http_exchange *exchange,
			     size_t *out_length)
{
	*out_length = exchange->req->entity.len;
	return exchange->req->entity.base;
}

void zr_http_set_on_disconnect(struct zr_http_exchange *exchange,
			       zr_http_disconnect_fn on_disconnect, void *ctx)
{
	exchange->on_disconnect = on_disconnect;
	exchange->disconnect_ctx = ctx;
}

void zr_http_add_reply_header(struct zr_http_exchange *exchange,
			      const char *name, const char *value)
{
	h2o_req_t *req = exchange->req;
	h2o_iovec_t name_copy = h2o_strdup(&req->pool, name, SIZE_MAX);
	h2o_iovec_t value_copy = h2o_strdup(&req->pool, value, SIZE_MAX);

	h2o_add_header_by_str(&req->pool, &req->res.headers, name_copy.base,
			      name_copy.len, 1, NULL, value_copy.base,
			      value_copy.len);
}

void zr_http_reply(struct zr_http_exchange *exchange, int status,
		   const char *content_type, const void *body, size_t length)
{
	h2o_req_t *req = exchange->req;

	exchange->replied = true;
	if (exchange->connection) {
		exchange->connection->replying = true;
		exchange->connection->reply_started_at =
			uv_now(exchange->server->loop);
		exchange->connection->reply_bytes = length;
		update_account(exchange->connection);
	}
	req->res.status = status;
	req->res.reason = reason_phrase(status);
	/* Without a length, a truncated reply would look complete. */
	req->res.content_length = length;
	zr_http_add_reply_header(exchange, "content-type", content_type);
	h2o_send_inline(req, length ? body : "", length);
}

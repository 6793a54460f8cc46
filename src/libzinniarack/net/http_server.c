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
#define SWEEP_MS 250

struct zr_http_server {
	uv_loop_t *loop;
	struct zr_http_server_options options;
	zr_http_handler_fn handler;
	void *ctx;
	uv_tcp_t listener;
	bool listening;
	bool draining;
	uv_check_t check;
	uv_timer_t sweep;
	unsigned int open_exchanges;
	unsigned int open_connections;
	h2o_globalconf_t config;
	h2o_context_t context;
	h2o_accept_ctx_t accept;
	/* In the order in which they were last used. */
	struct connection *connections;
	struct connection *by_socket;
};

struct zr_http_exchange {
	struct zr_http_server *server;
	h2o_req_t *req;
	struct connection *connection;
	char *method;
	char *path;
	char *query;
	zr_http_disconnect_fn gone;
	void *gone_ctx;
	bool replied;
};

struct handler {
	h2o_handler_t super;
	struct zr_http_server *server;
};

struct connection {
	uv_tcp_t tcp; /* first: h2o hands it back as a handle */
	struct connection *prev;
	struct connection *next;
	UT_hash_handle hh;
	struct zr_http_server *server;
	h2o_socket_t *sock;
	bool busy;
	bool evicted;
	bool replying;
	uint64_t replied_ms;
};

static const char *reason_of(int status)
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
	if (exchange->connection)
		exchange->connection->busy = exchange->connection->replying =
			false;
	if (!exchange->replied && exchange->gone)
		exchange->gone(exchange->gone_ctx);
}

static char *copy_text(h2o_mem_pool_t *pool, const char *base, size_t length)
{
	return h2o_strdup(pool, base, length).base;
}

/* Its connection is busy, and the last one used. */
static void mark_busy(struct zr_http_exchange *exchange)
{
	struct zr_http_server *server = exchange->server;
	h2o_conn_t *conn = exchange->req->conn;
	h2o_socket_t *sock = conn->callbacks->get_socket(conn);
	struct connection *connection;

	HASH_FIND_PTR(server->by_socket, &sock, connection);
	exchange->connection = connection;
	if (!connection)
		return;
	connection->busy = true;
	DL_DELETE(server->connections, connection);
	DL_APPEND(server->connections, connection);
}

static int on_request(h2o_handler_t *self, h2o_req_t *req)
{
	struct zr_http_server *server = ((struct handler *)self)->server;
	struct zr_http_exchange *exchange;
	size_t path_end = req->path.len;

	exchange = h2o_mem_alloc_shared(&req->pool, sizeof(*exchange),
					dispose_exchange);
	memset(exchange, 0, sizeof(*exchange));
	exchange->server = server;
	exchange->req = req;
	server->open_exchanges++;
	mark_busy(exchange);
	if (req->query_at != SIZE_MAX) {
		path_end = req->query_at;
		exchange->query =
			copy_text(&req->pool, req->path.base + path_end + 1,
				  req->path.len - path_end - 1);
	}
	exchange->method =
		copy_text(&req->pool, req->method.base, req->method.len);
	exchange->path = copy_text(&req->pool, req->path.base, path_end);
	server->handler(server->ctx, exchange);
	return 0;
}

static void on_connection_closed(uv_handle_t *handle)
{
	struct connection *connection = (struct connection *)handle;

	connection->server->open_connections--;
	if (connection->sock) {
		DL_DELETE(connection->server->connections, connection);
		HASH_DEL(connection->server->by_socket, connection);
	}
	free(connection);
}

/* Ends a connection; to h2o its caller has gone. */
static bool evict(struct connection *connection)
{
	uv_os_fd_t fd;

	connection->evicted = true;
	return !uv_fileno((uv_handle_t *)&connection->tcp, &fd) &&
	       !shutdown(fd, SHUT_RDWR);
}

/*
 * A flood of connections that ask nothing must not keep out those that ask:
 * the one unused for longest makes room.
 */
static bool make_room(struct zr_http_server *server)
{
	struct connection *connection;

	DL_FOREACH(server->connections, connection)
	{
		if (!connection->busy && !connection->evicted &&
		    evict(connection))
			return true;
	}
	return false;
}

/* A caller that does not read its reply is cut off. */
static void on_sweep(uv_timer_t *timer)
{
	struct zr_http_server *server = timer->data;
	uint64_t now_ms = uv_now(server->loop);
	struct connection *connection;

	DL_FOREACH(server->connections, connection)
	{
		if (connection->replying && !connection->evicted &&
		    now_ms - connection->replied_ms >
			    server->options.request_timeout_ms)
			evict(connection);
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
	     !make_room(server))) {
		uv_close((uv_handle_t *)&connection->tcp, on_connection_closed);
		return;
	}
	uv_tcp_nodelay(&connection->tcp, 1);
	sock = h2o_uv_socket_create((uv_stream_t *)&connection->tcp,
				    on_connection_closed);
	connection->sock = sock;
	DL_APPEND(server->connections, connection);
	HASH_ADD_PTR(server->by_socket, sock, connection);
	h2o_accept(&server->accept, sock);
}

static int start_listening(struct zr_http_server *server, const char *address)
{
	uv_timer_init(server->loop, &server->sweep);
	server->sweep.data = server;
	uv_timer_start(&server->sweep, on_sweep, SWEEP_MS, SWEEP_MS);
	uv_tcp_init(server->loop, &server->listener);
	server->listener.data = server;
	server->listening = true;
	return zr_address_listen(&server->listener, address, on_accept);
}

static void configure_h2o(struct zr_http_server *server)
{
	h2o_hostconf_t *host;
	h2o_pathconf_t *path;
	struct handler *handler;

	h2o_config_init(&server->config);
	server->config.max_request_entity_size = server->options.max_body_bytes;
	server->config.http1.req_timeout = server->options.request_timeout_ms;
	server->config.http1.upgrade_to_http2 = 0;
	server->config.server_name = h2o_iovec_init(H2O_STRLIT("zinniarack"));
	host = h2o_config_register_host(&server->config,
					h2o_iovec_init(H2O_STRLIT("default")),
					HOST_PORT_ANY);
	path = h2o_config_register_path(host, "/", 0);
	handler = (struct handler *)h2o_create_handler(path, sizeof(*handler));
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
 * The kernel resets connections that were not accepted when their listener is
 * closed. After polling all that had come have been accepted.
 */
static void on_polled(uv_check_t *check)
{
	struct zr_http_server *server = check->data;

	uv_close((uv_handle_t *)check, NULL);
	uv_close((uv_handle_t *)&server->listener, NULL);
	uv_close((uv_handle_t *)&server->sweep, NULL);
}

void zr_http_server_stop(struct zr_http_server *server)
{
	if (!server->listening)
		return;
	server->listening = false;
	zr_http_server_drain(server);
	uv_check_init(server->loop, &server->check);
	server->check.data = server;
	uv_check_start(&server->check, on_polled);
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
	const char *at = exchange->query;
	size_t length;

	while (at && *at) {
		length = strcspn(at, "&");
		if (!strncmp(at, name, name_length) && at[name_length] == '=')
			return copy_text(&exchange->req->pool,
					 at + name_length + 1,
					 length - name_length - 1);
		at += length;
		if (*at == '&')
			at++;
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
			       zr_http_disconnect_fn gone, void *ctx)
{
	exchange->gone = gone;
	exchange->gone_ctx = ctx;
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
		exchange->connection->replied_ms =
			uv_now(exchange->server->loop);
	}
	req->res.status = status;
	req->res.reason = reason_of(status);
	/* Without a length a truncated answer would look whole. */
	req->res.content_length = length;
	zr_http_add_reply_header(exchange, "content-type", content_type);
	h2o_send_inline(req, length ? body : "", length);
}

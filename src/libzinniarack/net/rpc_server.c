#include "net/rpc_server.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "net/address.h"
#include "net/rpc_stream.h"
#include "zinniarack/errors.h"

/* Only the daemons of the entry hosts connect; they are far fewer. */
#define CONNECTIONS_MAX 512

struct connection {
	struct connection *prev;
	struct connection *next;
	struct zr_rpc_server *server;
	struct zr_rpc_stream *stream;
	unsigned int open_calls;
};

struct zr_rpc_call {
	struct connection *connection;
	const struct zr_rpc_procedure *procedure;
	uint32_t xid;
};

struct zr_rpc_server {
	uv_loop_t *loop;
	uv_tcp_t listener;
	bool listening;
	bool listener_closed;
	bool freeing;
	rpcprog_t program;
	rpcvers_t version;
	const struct zr_rpc_dispatch_entry *dispatch_table;
	void *ctx;
	struct zr_net_budget *budget;
	/* Ordered by last use, least recently used first. */
	struct connection *connections;
	unsigned int connection_count;
	unsigned int open_calls;
};

static void maybe_free_server(struct zr_rpc_server *server)
{
	if (server->freeing && server->listener_closed && !server->connections)
		free(server);
}

/* Frees a connection whose stream is closed and whose calls have a reply. */
static void maybe_free_connection(struct connection *connection)
{
	struct zr_rpc_server *server = connection->server;

	if (connection->stream || connection->open_calls)
		return;
	DL_DELETE(server->connections, connection);
	free(connection);
	maybe_free_server(server);
}

static void on_stream_closed(void *ctx)
{
	struct connection *connection = ctx;

	connection->stream = NULL;
	connection->server->connection_count--;
	maybe_free_connection(connection);
}

static bool_t encode_no_result(XDR *xdrs, void *data)
{
	(void)xdrs;
	(void)data;
	return TRUE;
}

static const struct zr_rpc_dispatch_entry *
find_dispatch_entry(struct zr_rpc_server *server, rpcproc_t number)
{
	const struct zr_rpc_dispatch_entry *entry;

	for (entry = server->dispatch_table; entry->procedure; entry++) {
		if (entry->procedure->number == number)
			return entry;
	}
	return NULL;
}

static void send_reply(struct connection *connection, uint32_t xid,
		       enum accept_stat status, xdrproc_t encode, void *result)
{
	struct rpc_msg reply;

	if (!connection->stream)
		return;
	memset(&reply, 0, sizeof(reply));
	reply.rm_xid = xid;
	reply.rm_direction = REPLY;
	reply.rm_reply.rp_stat = MSG_ACCEPTED;
	reply.acpted_rply.ar_verf = _null_auth;
	reply.acpted_rply.ar_stat = status;
	reply.acpted_rply.ar_results.where = result;
	reply.acpted_rply.ar_results.proc = encode;
	zr_rpc_stream_send(connection->stream, &reply, encode, result);
}

void zr_rpc_reply(struct zr_rpc_call *call, void *result)
{
	struct connection *connection = call->connection;

	send_reply(connection, call->xid, SUCCESS,
		   call->procedure->result_codec, result);
	connection->open_calls--;
	connection->server->open_calls--;
	if (!connection->open_calls && connection->stream)
		zr_rpc_stream_set_handling(connection->stream, false);
	free(call);
	maybe_free_connection(connection);
}

static void dispatch_call(struct connection *connection, uint32_t xid,
			  const struct zr_rpc_dispatch_entry *entry, XDR *xdrs)
{
	const struct zr_rpc_procedure *procedure = entry->procedure;
	void *args = calloc(1, procedure->args_size);
	struct zr_rpc_call *call = calloc(1, sizeof(*call));

	if (!args || !call)
		abort();
	if (!procedure->args_codec(xdrs, args)) {
		send_reply(connection, xid, GARBAGE_ARGS,
			   (xdrproc_t)encode_no_result, NULL);
		free(call);
	} else {
		call->connection = connection;
		call->procedure = procedure;
		call->xid = xid;
		if (!connection->open_calls++)
			zr_rpc_stream_set_handling(connection->stream, true);
		connection->server->open_calls++;
		entry->handler(connection->server->ctx, call, args);
	}
	xdr_free(procedure->args_codec, args);
	free(args);
}

static void on_record(void *ctx, void *data, size_t length)
{
	struct connection *connection = ctx;
	struct zr_rpc_server *server = connection->server;
	const struct zr_rpc_dispatch_entry *entry = NULL;
	char cred[MAX_AUTH_BYTES];
	char verf[MAX_AUTH_BYTES];
	struct rpc_msg message;
	XDR xdrs;

	DL_DELETE(server->connections, connection);
	DL_APPEND(server->connections, connection);
	memset(&message, 0, sizeof(message));
	message.rm_call.cb_cred.oa_base = cred;
	message.rm_call.cb_verf.oa_base = verf;
	xdrmem_create(&xdrs, data, (u_int)length, XDR_DECODE);
	if (!xdr_callmsg(&xdrs, &message)) {
		zr_rpc_stream_close(connection->stream);
		return;
	}
	if (message.rm_call.cb_prog == server->program &&
	    message.rm_call.cb_vers == server->version)
		entry = find_dispatch_entry(server, message.rm_call.cb_proc);
	if (entry)
		dispatch_call(connection, message.rm_xid, entry, &xdrs);
	else
		send_reply(connection, message.rm_xid, PROC_UNAVAIL,
			   (xdrproc_t)encode_no_result, NULL);
}

/*
 * Closes the least recently used connection without an open call. Returns false
 * if there is none.
 */
static bool close_lru_connection(struct zr_rpc_server *server)
{
	struct connection *connection;

	DL_FOREACH(server->connections, connection)
	{
		if (!connection->stream || connection->open_calls ||
		    zr_rpc_stream_is_closing(connection->stream))
			continue;
		zr_rpc_stream_close(connection->stream);
		return true;
	}
	return false;
}

/* Makes room for a connection. Returns false if it must be closed at once. */
static bool admit_connection(struct zr_rpc_server *server)
{
	return (server->connection_count < CONNECTIONS_MAX ||
		close_lru_connection(server)) &&
	       zr_net_budget_admit(server->budget);
}

static void on_accept(uv_stream_t *listener, int status)
{
	static const struct zr_rpc_stream_events events = {
		.record = on_record,
		.closed = on_stream_closed,
	};
	struct zr_rpc_server *server = listener->data;
	struct connection *connection;
	bool admitted;

	if (status < 0)
		return;
	admitted = admit_connection(server);
	connection = calloc(1, sizeof(*connection));
	if (!connection)
		abort();
	connection->server = server;
	if (zr_rpc_stream_new(&connection->stream, server->loop, &events,
			      connection))
		abort();
	zr_rpc_stream_set_budget(connection->stream, server->budget);
	DL_APPEND(server->connections, connection);
	server->connection_count++;
	if (uv_accept(listener,
		      (uv_stream_t *)zr_rpc_stream_tcp(connection->stream)) ||
	    !admitted)
		zr_rpc_stream_close(connection->stream);
	else
		zr_rpc_stream_start_reading(connection->stream);
}

static void on_listener_closed(uv_handle_t *handle)
{
	struct zr_rpc_server *server = handle->data;

	server->listener_closed = true;
	maybe_free_server(server);
}

void zr_rpc_server_set_budget(struct zr_rpc_server *server,
			      struct zr_net_budget *budget)
{
	server->budget = budget;
}

unsigned int zr_rpc_server_open_calls(const struct zr_rpc_server *server)
{
	return server->open_calls;
}

void zr_rpc_server_stop(struct zr_rpc_server *server)
{
	if (!server->listening)
		return;
	server->listening = false;
	uv_close((uv_handle_t *)&server->listener, on_listener_closed);
}

void zr_rpc_server_free(struct zr_rpc_server *server)
{
	struct connection *connection;
	struct connection *next;

	if (!server)
		return;
	zr_rpc_server_stop(server);
	server->freeing = true;
	DL_FOREACH_SAFE(server->connections, connection, next)
	{
		if (connection->stream)
			zr_rpc_stream_close(connection->stream);
	}
	maybe_free_server(server);
}

int zr_rpc_server_new(struct zr_rpc_server **out, uv_loop_t *loop,
		      const char *address, rpcprog_t program, rpcvers_t version,
		      const struct zr_rpc_dispatch_entry *dispatch_table,
		      void *ctx)
{
	struct zr_rpc_server *server = calloc(1, sizeof(*server));
	int error;

	if (!server)
		return ZR_E_NOMEM;
	server->loop = loop;
	server->program = program;
	server->version = version;
	server->dispatch_table = dispatch_table;
	server->ctx = ctx;
	uv_tcp_init(loop, &server->listener);
	server->listener.data = server;
	server->listening = true;
	error = zr_address_listen(&server->listener, address, on_accept);
	if (error < 0) {
		zr_rpc_server_free(server);
		return error;
	}
	*out = server;
	return 0;
}

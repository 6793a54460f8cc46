#include "net/rpc_client.h"

#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "net/address.h"
#include "net/rpc_stream.h"
#include "zinniarack/errors.h"

struct call {
	struct call *prev;
	struct call *next;
	struct zr_rpc_client *client;
	const struct zr_rpc_procedure *procedure;
	uint32_t xid;
	char *args;
	u_int args_length;
	bool sent;
	int early_error;
	zr_rpc_done_fn done;
	void *ctx;
	uv_timer_t timer;
};

struct zr_rpc_client {
	uv_loop_t *loop;
	char address[ZR_ADDRESS_MAX];
	struct sockaddr_storage sockaddr;
	rpcprog_t program;
	rpcvers_t version;
	uint32_t next_xid;
	struct zr_rpc_stream *stream;
	uv_connect_t connect;
	bool connected;	  /* calls may be sent */
	bool established; /* the stream has been connected */
	bool freeing;
	uv_timer_t guard;
	bool guard_closed;
	struct call *calls;
};

static void maybe_free_client(struct zr_rpc_client *client)
{
	if (client->guard_closed && !client->stream)
		free(client);
}

static void on_guard_closed(uv_handle_t *handle)
{
	struct zr_rpc_client *client = handle->data;

	client->guard_closed = true;
	maybe_free_client(client);
}

static void on_call_closed(uv_handle_t *handle)
{
	struct call *call = handle->data;

	free(call->args);
	free(call);
}

static void finish(struct call *call, int error, void *result)
{
	DL_DELETE(call->client->calls, call);
	call->done(call->ctx, error, result);
	uv_close((uv_handle_t *)&call->timer, on_call_closed);
}

static int failure_of(const struct call *call)
{
	return call->sent ? ZR_E_OUTCOME_UNKNOWN : ZR_E_UNREACHABLE;
}

static void open_stream(struct zr_rpc_client *client);

static void fail_calls(struct zr_rpc_client *client, bool unsent_too)
{
	struct call *call;
	struct call *next;

	DL_FOREACH_SAFE(client->calls, call, next)
	{
		if (!call->early_error && (call->sent || unsent_too))
			finish(call, failure_of(call), NULL);
	}
}

static bool has_unsent(const struct zr_rpc_client *client)
{
	const struct call *call;

	DL_FOREACH(client->calls, call)
	{
		if (!call->early_error && !call->sent)
			return true;
	}
	return false;
}

/* Calls made while a stream that had worked was closing go over a new one. */
static void on_stream_closed(void *ctx)
{
	struct zr_rpc_client *client = ctx;
	bool had_worked = client->established;

	client->stream = NULL;
	client->connected = false;
	client->established = false;
	fail_calls(client, !had_worked);
	if (!client->freeing && !client->stream && has_unsent(client))
		open_stream(client);
	maybe_free_client(client);
}

static struct call *find_call(struct zr_rpc_client *client, uint32_t xid)
{
	struct call *call;

	DL_FOREACH(client->calls, call)
	{
		if (call->xid == xid)
			return call;
	}
	return NULL;
}

static void decode_result(struct call *call, void *data, size_t length)
{
	const struct zr_rpc_procedure *procedure = call->procedure;
	void *result = calloc(1, procedure->result_size);
	struct rpc_msg reply;
	bool ok;
	XDR xdrs;

	if (!result)
		abort();
	memset(&reply, 0, sizeof(reply));
	reply.acpted_rply.ar_verf = _null_auth;
	reply.acpted_rply.ar_results.where = result;
	reply.acpted_rply.ar_results.proc = procedure->result_codec;
	xdrmem_create(&xdrs, data, (u_int)length, XDR_DECODE);
	ok = xdr_replymsg(&xdrs, &reply) &&
	     reply.rm_reply.rp_stat == MSG_ACCEPTED &&
	     reply.acpted_rply.ar_stat == SUCCESS;
	finish(call, ok ? 0 : ZR_E_PROTOCOL, ok ? result : NULL);
	xdr_free(procedure->result_codec, result);
	free(result);
}

static void on_record(void *ctx, void *data, size_t length)
{
	struct zr_rpc_client *client = ctx;
	struct call *call;
	uint32_t xid;

	if (length < sizeof(xid)) {
		zr_rpc_stream_close(client->stream);
		return;
	}
	memcpy(&xid, data, sizeof(xid));
	call = find_call(client, ntohl(xid));
	/* The answer to a call that was given up is dropped here. */
	if (call)
		decode_result(call, data, length);
}

static bool_t copy_args(XDR *xdrs, void *data)
{
	struct call *call = data;

	return xdr_opaque(xdrs, call->args, call->args_length);
}

static void send_call(struct call *call)
{
	struct zr_rpc_client *client = call->client;
	struct rpc_msg message;

	memset(&message, 0, sizeof(message));
	message.rm_xid = call->xid;
	message.rm_direction = CALL;
	message.rm_call.cb_rpcvers = RPC_MSG_VERSION;
	message.rm_call.cb_prog = client->program;
	message.rm_call.cb_vers = client->version;
	message.rm_call.cb_proc = call->procedure->number;
	message.rm_call.cb_cred = _null_auth;
	message.rm_call.cb_verf = _null_auth;
	if (!zr_rpc_stream_send(client->stream, &message, (xdrproc_t)copy_args,
				call))
		call->sent = true;
}

static void on_connected(uv_connect_t *connect, int status)
{
	struct zr_rpc_client *client = connect->data;
	struct call *call;

	if (status < 0) {
		if (client->stream)
			zr_rpc_stream_close(client->stream);
		return;
	}
	client->connected = true;
	client->established = true;
	zr_rpc_stream_start_reading(client->stream);
	DL_FOREACH(client->calls, call)
	{
		if (!call->early_error)
			send_call(call);
	}
}

static void open_stream(struct zr_rpc_client *client)
{
	static const struct zr_rpc_stream_events events = {
		.record = on_record,
		.closed = on_stream_closed,
	};

	if (zr_rpc_stream_new(&client->stream, client->loop, &events, client))
		abort();
	client->connect.data = client;
	if (uv_tcp_connect(&client->connect, zr_rpc_stream_tcp(client->stream),
			   (struct sockaddr *)&client->sockaddr, on_connected))
		zr_rpc_stream_close(client->stream);
}

static void on_deadline(uv_timer_t *timer)
{
	struct call *call = timer->data;
	struct zr_rpc_client *client = call->client;

	if (call->early_error) {
		finish(call, call->early_error, NULL);
		return;
	}
	/*
	 * It may be a connection gone silent for good: open a new one. It is
	 * closed first, so that no call made by the one that ends goes over it.
	 */
	if (client->stream) {
		client->connected = false;
		zr_rpc_stream_close(client->stream);
	}
	finish(call, failure_of(call), NULL);
}

static int encode_args(struct call *call, void *args)
{
	xdrproc_t encode = call->procedure->args_codec;
	u_int size = (u_int)xdr_sizeof(encode, args);
	XDR xdrs;

	call->args = malloc(size ? size : 1);
	if (!call->args)
		return ZR_E_NOMEM;
	xdrmem_create(&xdrs, call->args, size, XDR_ENCODE);
	if (!encode(&xdrs, args))
		return ZR_E_PROTOCOL;
	call->args_length = xdr_getpos(&xdrs);
	return 0;
}

void zr_rpc_client_call(struct zr_rpc_client *client,
			const struct zr_rpc_procedure *procedure, void *args,
			unsigned int timeout_ms, zr_rpc_done_fn done, void *ctx)
{
	struct call *call = calloc(1, sizeof(*call));

	if (!call)
		abort();
	call->client = client;
	call->procedure = procedure;
	call->xid = ++client->next_xid;
	call->done = done;
	call->ctx = ctx;
	call->early_error = encode_args(call, args);
	if (client->freeing)
		call->early_error = ZR_E_CANCELLED;
	uv_timer_init(client->loop, &call->timer);
	call->timer.data = call;
	DL_APPEND(client->calls, call);
	uv_timer_start(&call->timer, on_deadline,
		       call->early_error ? 0 : timeout_ms, 0);
	if (call->early_error)
		return;
	if (!client->stream)
		open_stream(client);
	else if (client->connected)
		send_call(call);
}

const char *zr_rpc_client_address(const struct zr_rpc_client *client)
{
	return client->address;
}

int zr_rpc_client_new(struct zr_rpc_client **out, uv_loop_t *loop,
		      const char *address, rpcprog_t program, rpcvers_t version)
{
	struct zr_rpc_client *client = calloc(1, sizeof(*client));
	int error;

	if (!client)
		return ZR_E_NOMEM;
	error = zr_address_parse(&client->sockaddr, address);
	if (error < 0) {
		free(client);
		return error;
	}
	client->loop = loop;
	strncpy(client->address, address, sizeof(client->address) - 1);
	client->program = program;
	client->version = version;
	uv_timer_init(loop, &client->guard);
	client->guard.data = client;
	*out = client;
	return 0;
}

void zr_rpc_client_free(struct zr_rpc_client *client)
{
	if (!client)
		return;
	client->freeing = true;
	while (client->calls)
		finish(client->calls, ZR_E_CANCELLED, NULL);
	if (client->stream)
		zr_rpc_stream_close(client->stream);
	uv_close((uv_handle_t *)&client->guard, on_guard_closed);
}

#include "net/rpc_client.h"

#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "net/address.h"
#include "net/rpc_stream.h"
#include "zinniarack/errors.h"

/* A reply whose last bytes came within this time is arriving. */
#define RECEIVING_WITHIN_MS 500
/* Time from the deadline of a call to its end. */
#define LAST_READ_MS 1

struct call {
	struct call *prev;
	struct call *next;
	struct zr_rpc_client *client;
	const struct zr_rpc_procedure *procedure;
	uint32_t xid;
	char *args;
	u_int args_length;
	bool sent;
	bool expired; /* the deadline has passed, the last read is to come */
	uint64_t ends_at_ms; /* end of a call that goes on after its timeout */
	/* error found by zr_rpc_client_call(), reported after it returns */
	int immediate_error;
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
	bool can_send;		   /* calls can be sent over the stream */
	bool stream_has_connected; /* also true while the stream is closing */
	bool freeing;
	uv_timer_t deferred_free;
	bool deferred_free_closed;
	struct call *calls;
};

static void maybe_free_client(struct zr_rpc_client *client)
{
	if (client->deferred_free_closed && !client->stream)
		free(client);
}

/*
 * Closing this handle delays the free of the client until the loop has returned
 * from the current callback, which may still use the client.
 */
static void on_deferred_free_closed(uv_handle_t *handle)
{
	struct zr_rpc_client *client = handle->data;

	client->deferred_free_closed = true;
	maybe_free_client(client);
}

static void on_call_timer_closed(uv_handle_t *handle)
{
	struct call *call = handle->data;

	free(call->args);
	free(call);
}

static void finish_call(struct call *call, int error, void *result)
{
	DL_DELETE(call->client->calls, call);
	call->done(call->ctx, error, result);
	uv_close((uv_handle_t *)&call->timer, on_call_timer_closed);
}

static int call_error(const struct call *call)
{
	return call->sent ? ZR_E_OUTCOME_UNKNOWN : ZR_E_UNREACHABLE;
}

static void open_stream(struct zr_rpc_client *client);

static void fail_calls(struct zr_rpc_client *client, bool include_unsent)
{
	struct call *call;
	struct call *next;

	DL_FOREACH_SAFE(client->calls, call, next)
	{
		if (!call->immediate_error && (call->sent || include_unsent))
			finish_call(call, call_error(call), NULL);
	}
}

static bool has_unsent_call(const struct zr_rpc_client *client)
{
	const struct call *call;

	DL_FOREACH(client->calls, call)
	{
		if (!call->immediate_error && !call->sent)
			return true;
	}
	return false;
}

/*
 * Unsent calls fail if the stream could not be connected. Otherwise they were
 * made while the stream was closing and are sent over a new one.
 */
static void on_stream_closed(void *ctx)
{
	struct zr_rpc_client *client = ctx;
	bool had_connected = client->stream_has_connected;

	client->stream = NULL;
	client->can_send = false;
	client->stream_has_connected = false;
	fail_calls(client, !had_connected);
	if (!client->freeing && !client->stream && has_unsent_call(client))
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

static void process_reply(struct call *call, void *data, size_t length)
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
	finish_call(call, ok ? 0 : ZR_E_PROTOCOL, ok ? result : NULL);
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
	/* The call is not found if it has timed out: discard the reply. */
	if (call)
		process_reply(call, data, length);
}

static bool_t put_encoded_args(XDR *xdrs, void *data)
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
	if (!zr_rpc_stream_send(client->stream, &message,
				(xdrproc_t)put_encoded_args, call))
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
	client->can_send = true;
	client->stream_has_connected = true;
	zr_rpc_stream_start_reading(client->stream);
	DL_FOREACH(client->calls, call)
	{
		if (!call->immediate_error)
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

static void on_deadline(uv_timer_t *timer);

/*
 * Lets a call go on after its timeout while a reply is arriving, which may be
 * one that its own reply waits for. Returns false if the call must end.
 */
static bool extend_call(struct call *call)
{
	struct zr_rpc_client *client = call->client;
	uint64_t now_ms = uv_now(client->loop);
	uint64_t silence_ms = call->procedure->silence_ms;
	int64_t age_ms = -1;
	uint64_t wait_ms;

	if (call->sent && client->stream)
		age_ms = zr_rpc_stream_receiving_ms(client->stream);
	if (age_ms < 0 || (uint64_t)age_ms >= silence_ms ||
	    now_ms >= call->ends_at_ms)
		return false;
	wait_ms = silence_ms - (uint64_t)age_ms;
	if (wait_ms > call->ends_at_ms - now_ms)
		wait_ms = call->ends_at_ms - now_ms;
	call->expired = false;
	uv_timer_start(&call->timer, on_deadline, wait_ms, 0);
	return true;
}

/* Whether the connection is bringing a reply that an open call waits for. */
static bool is_receiving(const struct zr_rpc_client *client)
{
	int64_t age_ms = zr_rpc_stream_receiving_ms(client->stream);
	const struct call *call;

	if (age_ms < 0 || age_ms > RECEIVING_WITHIN_MS)
		return false;
	DL_FOREACH(client->calls, call)
	{
		if (call->sent && call->procedure->silence_ms)
			return true;
	}
	return false;
}

static void on_deadline(uv_timer_t *timer)
{
	struct call *call = timer->data;
	struct zr_rpc_client *client = call->client;

	if (call->immediate_error) {
		finish_call(call, call->immediate_error, NULL);
		return;
	}
	/*
	 * The loop runs timers before it reads. If the process did not run for
	 * a while, the reply may be waiting.
	 */
	if (!call->expired) {
		call->expired = true;
		uv_timer_start(timer, on_deadline, LAST_READ_MS, 0);
		return;
	}
	if (extend_call(call))
		return;
	/*
	 * The peer may have become unreachable without closing the connection,
	 * so close it here; the next call opens a new one. Close it before
	 * finish_call(), whose callback may make a call. A short call that
	 * waits behind a large reply does not close it.
	 */
	if (client->stream &&
	    (call->procedure->silence_ms || !is_receiving(client))) {
		client->can_send = false;
		zr_rpc_stream_close(client->stream);
	}
	finish_call(call, call_error(call), NULL);
}

static int encode_call_args(struct call *call, void *args)
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
	call->immediate_error = encode_call_args(call, args);
	call->ends_at_ms =
		uv_now(client->loop) + timeout_ms + procedure->transfer_max_ms;
	if (client->freeing)
		call->immediate_error = ZR_E_CANCELLED;
	uv_timer_init(client->loop, &call->timer);
	call->timer.data = call;
	DL_APPEND(client->calls, call);
	uv_timer_start(&call->timer, on_deadline,
		       call->immediate_error ? 0 : timeout_ms, 0);
	if (call->immediate_error)
		return;
	if (!client->stream)
		open_stream(client);
	else if (client->can_send)
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
	uv_timer_init(loop, &client->deferred_free);
	client->deferred_free.data = client;
	*out = client;
	return 0;
}

void zr_rpc_client_free(struct zr_rpc_client *client)
{
	if (!client)
		return;
	client->freeing = true;
	while (client->calls)
		finish_call(client->calls, ZR_E_CANCELLED, NULL);
	if (client->stream)
		zr_rpc_stream_close(client->stream);
	uv_close((uv_handle_t *)&client->deferred_free,
		 on_deferred_free_closed);
}

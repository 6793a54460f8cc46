#include "net/rpc_stream.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "zinniarack/errors.h"

#define RECORD_MARK_BYTES 4u
#define LAST_FRAGMENT_BIT 0x80000000u
#define READ_BUFFER_BYTES 65536
#define RECEIVED_ALLOC_MIN 4096
#define MESSAGE_HEADER_MAX_BYTES 512u
/* If more bytes are unsent, the peer counts as dead: the stream is closed. */
#define WRITE_QUEUE_MAX_BYTES (32u << 20)

struct zr_rpc_stream {
	uv_tcp_t tcp;
	struct zr_rpc_stream_events events;
	void *ctx;
	bool closing;
	/* bytes received and not delivered yet */
	char *received;
	size_t received_length;
	size_t received_alloc;
	uint64_t received_at_ms;
	struct zr_net_budget *budget;
	zr_handle account;
	uint64_t received_total;
	bool handling; /* a received call has no reply yet */
};

struct pending_write {
	uv_write_t write;
	char *bytes;
};

int zr_rpc_stream_new(struct zr_rpc_stream **out, uv_loop_t *loop,
		      const struct zr_rpc_stream_events *events, void *ctx)
{
	struct zr_rpc_stream *stream = calloc(1, sizeof(*stream));

	if (!stream)
		return ZR_E_NOMEM;
	stream->events = *events;
	stream->ctx = ctx;
	uv_tcp_init(loop, &stream->tcp);
	stream->tcp.data = stream;
	uv_tcp_nodelay(&stream->tcp, 1);
	*out = stream;
	return 0;
}

uv_tcp_t *zr_rpc_stream_tcp(struct zr_rpc_stream *stream)
{
	return &stream->tcp;
}

void *zr_rpc_stream_ctx(const struct zr_rpc_stream *stream)
{
	return stream->ctx;
}

static void on_closed(uv_handle_t *handle)
{
	struct zr_rpc_stream *stream = handle->data;

	stream->events.closed(stream->ctx);
	zr_net_account_close(stream->budget, stream->account);
	free(stream->received);
	free(stream);
}

void zr_rpc_stream_close(struct zr_rpc_stream *stream)
{
	if (stream->closing)
		return;
	stream->closing = true;
	uv_close((uv_handle_t *)&stream->tcp, on_closed);
}

static void on_reclaim(void *ctx)
{
	zr_rpc_stream_close(ctx);
}

void zr_rpc_stream_set_budget(struct zr_rpc_stream *stream,
			      struct zr_net_budget *budget)
{
	stream->budget = budget;
	stream->account =
		zr_net_account_open(budget, ZR_NET_PEER, on_reclaim, stream);
}

static void update_account(struct zr_rpc_stream *stream)
{
	size_t unsent = uv_stream_get_write_queue_size(
		(const uv_stream_t *)&stream->tcp);
	enum zr_net_state state = ZR_NET_RECEIVING;

	if (stream->handling)
		state = ZR_NET_HANDLING;
	else if (unsent)
		state = ZR_NET_REPLYING;
	zr_net_account_set(stream->budget, stream->account,
			   stream->received_alloc + unsent,
			   stream->received_total, state);
	zr_net_budget_enforce(stream->budget);
}

void zr_rpc_stream_set_handling(struct zr_rpc_stream *stream, bool handling)
{
	stream->handling = handling;
	update_account(stream);
}

bool zr_rpc_stream_is_closing(const struct zr_rpc_stream *stream)
{
	return stream->closing;
}

static int append_bytes(struct zr_rpc_stream *stream, const char *bytes,
			size_t length)
{
	size_t needed = stream->received_length + length;
	size_t alloc = stream->received_alloc;
	char *received;

	if (needed > alloc) {
		while (alloc < needed)
			alloc = alloc ? alloc * 2 : RECEIVED_ALLOC_MIN;
		received = realloc(stream->received, alloc);
		if (!received)
			return ZR_E_NOMEM;
		stream->received = received;
		stream->received_alloc = alloc;
	}
	memcpy(stream->received + stream->received_length, bytes, length);
	stream->received_length = needed;
	stream->received_total += length;
	return 0;
}

static uint32_t read_record_mark(const char *bytes)
{
	uint32_t mark;

	memcpy(&mark, bytes, sizeof(mark));
	return ntohl(mark);
}

/*
 * Delivers all complete records. zr_rpc_stream_send() writes each record as a
 * single fragment; records of several fragments are rejected.
 */
static int deliver_records(struct zr_rpc_stream *stream)
{
	size_t offset = 0;

	while (!stream->closing &&
	       stream->received_length - offset >= RECORD_MARK_BYTES) {
		uint32_t mark = read_record_mark(stream->received + offset);
		size_t size = mark & ~LAST_FRAGMENT_BIT;

		if (!(mark & LAST_FRAGMENT_BIT) || size > ZR_RPC_RECORD_MAX)
			return ZR_E_PROTOCOL;
		if (stream->received_length - offset - RECORD_MARK_BYTES < size)
			break;
		stream->events.record(
			stream->ctx,
			stream->received + offset + RECORD_MARK_BYTES, size);
		offset += RECORD_MARK_BYTES + size;
	}
	memmove(stream->received, stream->received + offset,
		stream->received_length - offset);
	stream->received_length -= offset;
	return 0;
}

/* A large record leaves no large buffer behind. */
static void shrink_buffer(struct zr_rpc_stream *stream)
{
	if (stream->received_length ||
	    stream->received_alloc <= READ_BUFFER_BYTES)
		return;
	free(stream->received);
	stream->received = NULL;
	stream->received_alloc = 0;
}

static int receive_bytes(struct zr_rpc_stream *stream, const char *bytes,
			 size_t length)
{
	int error = append_bytes(stream, bytes, length);

	update_account(stream);
	if (!error)
		error = deliver_records(stream);
	shrink_buffer(stream);
	update_account(stream);
	return error;
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	/* Shared by all reads, which the loop runs one after the other. */
	static char buffer[READ_BUFFER_BYTES];

	(void)handle;
	(void)suggested;
	*buf = uv_buf_init(buffer, sizeof(buffer));
}

static void on_read(uv_stream_t *tcp, ssize_t nread, const uv_buf_t *buf)
{
	struct zr_rpc_stream *stream = tcp->data;

	if (!nread || stream->closing)
		return;
	stream->received_at_ms = uv_now(tcp->loop);
	if (nread < 0 || receive_bytes(stream, buf->base, (size_t)nread) < 0)
		zr_rpc_stream_close(stream);
}

void zr_rpc_stream_start_reading(struct zr_rpc_stream *stream)
{
	uv_read_start((uv_stream_t *)&stream->tcp, on_alloc, on_read);
}

int64_t zr_rpc_stream_receiving_ms(const struct zr_rpc_stream *stream)
{
	if (stream->closing || !stream->received_length)
		return -1;
	return (int64_t)(uv_now(stream->tcp.loop) - stream->received_at_ms);
}

static void on_write_done(uv_write_t *write, int status)
{
	struct pending_write *pending = (struct pending_write *)write;

	update_account(write->handle->data);
	/* A failed write is also reported as a read error of the stream. */
	(void)status;
	free(pending->bytes);
	free(pending);
}

static bool encode_message(XDR *xdrs, struct rpc_msg *message, xdrproc_t body,
			   void *data)
{
	if (message->rm_direction == REPLY)
		return xdr_replymsg(xdrs, message);
	return xdr_callmsg(xdrs, message) && body(xdrs, data);
}

static int write_message(struct zr_rpc_stream *stream, char *bytes,
			 size_t length)
{
	struct pending_write *pending = calloc(1, sizeof(*pending));
	uv_buf_t buf = uv_buf_init(bytes, (unsigned int)length);

	if (!pending) {
		free(bytes);
		return ZR_E_NOMEM;
	}
	pending->bytes = bytes;
	if (uv_write(&pending->write, (uv_stream_t *)&stream->tcp, &buf, 1,
		     on_write_done)) {
		free(pending->bytes);
		free(pending);
		return ZR_E_UNREACHABLE;
	}
	update_account(stream);
	return 0;
}

int zr_rpc_stream_send(struct zr_rpc_stream *stream, struct rpc_msg *message,
		       xdrproc_t body, void *data)
{
	size_t max_bytes = MESSAGE_HEADER_MAX_BYTES + xdr_sizeof(body, data);
	uint32_t mark;
	char *bytes;
	XDR xdrs;
	u_int length;

	if (stream->closing)
		return ZR_E_UNREACHABLE;
	if (max_bytes > ZR_RPC_RECORD_MAX)
		return ZR_E_TOO_LARGE;
	if (uv_stream_get_write_queue_size((uv_stream_t *)&stream->tcp) >
	    WRITE_QUEUE_MAX_BYTES) {
		zr_rpc_stream_close(stream);
		return ZR_E_UNREACHABLE;
	}
	bytes = malloc(RECORD_MARK_BYTES + max_bytes);
	if (!bytes)
		return ZR_E_NOMEM;
	xdrmem_create(&xdrs, bytes + RECORD_MARK_BYTES, (u_int)max_bytes,
		      XDR_ENCODE);
	if (!encode_message(&xdrs, message, body, data)) {
		free(bytes);
		return zr_error_set(ZR_E_PROTOCOL,
				    "cannot encode the RPC message");
	}
	length = xdr_getpos(&xdrs);
	mark = htonl(LAST_FRAGMENT_BIT | length);
	memcpy(bytes, &mark, sizeof(mark));
	return write_message(stream, bytes, RECORD_MARK_BYTES + length);
}

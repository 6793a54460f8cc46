#include "net/rpc_stream.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "zinniarack/errors.h"

#define MARK_BYTES 4u
#define LAST_FRAGMENT 0x80000000u
#define READ_CHUNK_BYTES 65536
#define MESSAGE_HEAD_MAX 512u
/* A reader this far behind is taken for dead rather than buffered for. */
#define WRITE_QUEUE_MAX (32u << 20)

struct zr_rpc_stream {
	uv_tcp_t tcp;
	struct zr_rpc_stream_events events;
	void *ctx;
	bool closing;
	char *record;
	size_t length;
	size_t capacity;
};

struct write_job {
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
	free(stream->record);
	free(stream);
}

void zr_rpc_stream_close(struct zr_rpc_stream *stream)
{
	if (stream->closing)
		return;
	stream->closing = true;
	uv_close((uv_handle_t *)&stream->tcp, on_closed);
}

static int append(struct zr_rpc_stream *stream, const char *bytes,
		  size_t length)
{
	size_t needed = stream->length + length;
	size_t capacity = stream->capacity;
	char *record;

	if (needed > capacity) {
		while (capacity < needed)
			capacity = capacity ? capacity * 2 : READ_CHUNK_BYTES;
		record = realloc(stream->record, capacity);
		if (!record)
			return ZR_E_NOMEM;
		stream->record = record;
		stream->capacity = capacity;
	}
	memcpy(stream->record + stream->length, bytes, length);
	stream->length = needed;
	return 0;
}

static uint32_t read_mark(const char *bytes)
{
	uint32_t mark;

	memcpy(&mark, bytes, sizeof(mark));
	return ntohl(mark);
}

/* Our own senders write each record as one fragment; others are refused. */
static int deliver_records(struct zr_rpc_stream *stream)
{
	size_t at = 0;

	while (!stream->closing && stream->length - at >= MARK_BYTES) {
		uint32_t mark = read_mark(stream->record + at);
		size_t size = mark & ~LAST_FRAGMENT;

		if (!(mark & LAST_FRAGMENT) || size > ZR_RPC_RECORD_MAX)
			return ZR_E_PROTOCOL;
		if (stream->length - at - MARK_BYTES < size)
			break;
		stream->events.record(stream->ctx,
				      stream->record + at + MARK_BYTES, size);
		at += MARK_BYTES + size;
	}
	memmove(stream->record, stream->record + at, stream->length - at);
	stream->length -= at;
	return 0;
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	/* One loop, one thread: reads never overlap. */
	static char chunk[READ_CHUNK_BYTES];

	(void)handle;
	(void)suggested;
	*buf = uv_buf_init(chunk, sizeof(chunk));
}

static void on_read(uv_stream_t *tcp, ssize_t got, const uv_buf_t *buf)
{
	struct zr_rpc_stream *stream = tcp->data;

	if (!got || stream->closing)
		return;
	if (got < 0 || append(stream, buf->base, (size_t)got) < 0 ||
	    deliver_records(stream) < 0)
		zr_rpc_stream_close(stream);
}

void zr_rpc_stream_start_reading(struct zr_rpc_stream *stream)
{
	uv_read_start((uv_stream_t *)&stream->tcp, on_alloc, on_read);
}

static void on_written(uv_write_t *write, int status)
{
	struct write_job *job = (struct write_job *)write;

	/* A failed write shows up as a read error on the same stream. */
	(void)status;
	free(job->bytes);
	free(job);
}

static bool encode_message(XDR *xdrs, struct rpc_msg *message, xdrproc_t body,
			   void *data)
{
	if (message->rm_direction == REPLY)
		return xdr_replymsg(xdrs, message);
	return xdr_callmsg(xdrs, message) && body(xdrs, data);
}

static int write_bytes(struct zr_rpc_stream *stream, char *bytes, size_t length)
{
	struct write_job *job = calloc(1, sizeof(*job));
	uv_buf_t buf = uv_buf_init(bytes, (unsigned int)length);

	if (!job) {
		free(bytes);
		return ZR_E_NOMEM;
	}
	job->bytes = bytes;
	if (uv_write(&job->write, (uv_stream_t *)&stream->tcp, &buf, 1,
		     on_written)) {
		on_written(&job->write, 0);
		return ZR_E_UNREACHABLE;
	}
	return 0;
}

int zr_rpc_stream_send(struct zr_rpc_stream *stream, struct rpc_msg *message,
		       xdrproc_t body, void *data)
{
	size_t capacity = MESSAGE_HEAD_MAX + xdr_sizeof(body, data);
	uint32_t mark;
	char *bytes;
	XDR xdrs;
	u_int length;

	if (stream->closing)
		return ZR_E_UNREACHABLE;
	if (capacity > ZR_RPC_RECORD_MAX)
		return ZR_E_TOO_LARGE;
	if (uv_stream_get_write_queue_size((uv_stream_t *)&stream->tcp) >
	    WRITE_QUEUE_MAX) {
		zr_rpc_stream_close(stream);
		return ZR_E_UNREACHABLE;
	}
	bytes = malloc(MARK_BYTES + capacity);
	if (!bytes)
		return ZR_E_NOMEM;
	xdrmem_create(&xdrs, bytes + MARK_BYTES, (u_int)capacity, XDR_ENCODE);
	if (!encode_message(&xdrs, message, body, data)) {
		free(bytes);
		return zr_error_set(ZR_E_PROTOCOL, "XDR encoding refused");
	}
	length = xdr_getpos(&xdrs);
	mark = htonl(LAST_FRAGMENT | length);
	memcpy(bytes, &mark, sizeof(mark));
	return write_bytes(stream, bytes, MARK_BYTES + length);
}

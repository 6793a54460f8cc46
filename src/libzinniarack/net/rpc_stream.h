#ifndef ZR_NET_RPC_STREAM_H
#define ZR_NET_RPC_STREAM_H

#include <rpc/rpc.h>
#include <rpc/rpc_msg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

/**
 * DOC: ONC RPC record stream
 *
 * Carries whole ONC RPC messages over TCP with the record marking of RFC 5531.
 * The message codec is libtirpc's; its blocking transports are not used.
 */

/** A longer record closes the stream. */
#define ZR_RPC_RECORD_MAX (8u << 20)

struct zr_rpc_stream;

/**
 * struct zr_rpc_stream_events - what a stream tells its owner
 * @record: a whole record came
 * @closed: the stream ended; called once, after which it is freed
 */
struct zr_rpc_stream_events {
	void (*record)(void *ctx, void *data, size_t length);
	void (*closed)(void *ctx);
};

/**
 * zr_rpc_stream_new() - make a stream that is not yet connected
 * @out: the stream; ends by zr_rpc_stream_close() or by its peer
 * @loop: the loop it runs on
 * @events: called with @ctx
 * @ctx: the owner
 *
 * Return: 0 or ZR_E_NOMEM.
 */
int zr_rpc_stream_new(struct zr_rpc_stream **out, uv_loop_t *loop,
		      const struct zr_rpc_stream_events *events, void *ctx);

/** zr_rpc_stream_tcp() - the TCP handle, to accept or connect it */
uv_tcp_t *zr_rpc_stream_tcp(struct zr_rpc_stream *stream);

/** zr_rpc_stream_ctx() - the owner given to zr_rpc_stream_new() */
void *zr_rpc_stream_ctx(const struct zr_rpc_stream *stream);

/** zr_rpc_stream_start_reading() - begin to read; the TCP handle is connected
 */
void zr_rpc_stream_start_reading(struct zr_rpc_stream *stream);

/**
 * zr_rpc_stream_send() - send a message head followed by a body
 * @stream: the stream
 * @message: the RPC message; for a reply its results are encoded with it
 * @body: encodes @data, or xdr_void
 * @data: the arguments or results
 *
 * Return: 0, ZR_E_PROTOCOL when the codec refuses, ZR_E_TOO_LARGE, or
 * ZR_E_UNREACHABLE when the stream is closed. On an error nothing was sent.
 */
int zr_rpc_stream_send(struct zr_rpc_stream *stream, struct rpc_msg *message,
		       xdrproc_t body, void *data);

/** zr_rpc_stream_close() - end the stream; its owner is told once */
void zr_rpc_stream_close(struct zr_rpc_stream *stream);

#endif

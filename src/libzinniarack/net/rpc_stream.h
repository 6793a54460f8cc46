#ifndef ZR_NET_RPC_STREAM_H
#define ZR_NET_RPC_STREAM_H

#include <rpc/rpc.h>
#include <rpc/rpc_msg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "net/budget.h"

/**
 * DOC: ONC RPC record stream
 *
 * Sends and receives complete ONC RPC messages over TCP with the record marking
 * of RFC 5531. Messages are encoded by libtirpc, but its transports are not
 * used because they block.
 */

/** Maximum length of a record in bytes; a longer one closes the stream. */
#define ZR_RPC_RECORD_MAX (8u << 20)

struct zr_rpc_stream;

/**
 * struct zr_rpc_stream_events - callbacks of a stream
 * @record: called for each complete record received
 * @closed: called once when the stream has been closed; it is freed afterwards
 */
struct zr_rpc_stream_events {
	void (*record)(void *ctx, void *data, size_t length);
	void (*closed)(void *ctx);
};

/**
 * zr_rpc_stream_new() - create a stream that is not connected yet
 * @out: receives the stream, which frees itself once it is closed
 * @loop: the loop that the stream runs on
 * @events: the callbacks, copied
 * @ctx: passed to the callbacks
 *
 * A stream is closed by zr_rpc_stream_close(), by its peer or by an error.
 *
 * Return: 0 or ZR_E_NOMEM.
 */
int zr_rpc_stream_new(struct zr_rpc_stream **out, uv_loop_t *loop,
		      const struct zr_rpc_stream_events *events, void *ctx);

/**
 * zr_rpc_stream_set_budget() - account for what the stream holds
 * @stream: the stream
 * @budget: budget of the process, which must outlive the stream; NULL: none
 *
 * The stream is closed if a record that is not complete, or messages that the
 * peer has not read, do not fit into the budget.
 */
void zr_rpc_stream_set_budget(struct zr_rpc_stream *stream,
			      struct zr_net_budget *budget);

/** zr_rpc_stream_tcp() - the TCP handle, to be connected by the owner */
uv_tcp_t *zr_rpc_stream_tcp(struct zr_rpc_stream *stream);

/** zr_rpc_stream_ctx() - the @ctx given to zr_rpc_stream_new() */
void *zr_rpc_stream_ctx(const struct zr_rpc_stream *stream);

/**
 * zr_rpc_stream_set_handling() - set whether a received call has no reply yet
 *
 * Its memory budget does not close the stream meanwhile.
 */
void zr_rpc_stream_set_handling(struct zr_rpc_stream *stream, bool handling);

/** zr_rpc_stream_is_closing() - whether the stream has been closed */
bool zr_rpc_stream_is_closing(const struct zr_rpc_stream *stream);

/** zr_rpc_stream_start_reading() - start reading from a connected stream */
void zr_rpc_stream_start_reading(struct zr_rpc_stream *stream);

/**
 * zr_rpc_stream_receiving_ms() - time since the last bytes of a record that is
 * not complete yet
 * @stream: the stream
 *
 * Return: the time in milliseconds, or -1 if no record is arriving.
 */
int64_t zr_rpc_stream_receiving_ms(const struct zr_rpc_stream *stream);

/**
 * zr_rpc_stream_send() - send one RPC message
 * @stream: the stream
 * @message: the message header; that of a reply includes @body and @data in
 *	its ar_results member
 * @body: XDR routine that encodes @data, or xdr_void
 * @data: the arguments of a call or the result of a reply
 *
 * Nothing is sent on an error.
 *
 * Return: 0; ZR_E_PROTOCOL if the message cannot be encoded; ZR_E_TOO_LARGE;
 * ZR_E_NOMEM; ZR_E_UNREACHABLE if the stream is closed or the peer reads too
 * slowly.
 */
int zr_rpc_stream_send(struct zr_rpc_stream *stream, struct rpc_msg *message,
		       xdrproc_t body, void *data);

/**
 * zr_rpc_stream_close() - close the stream
 * @stream: the stream; its closed callback is called later from the loop
 */
void zr_rpc_stream_close(struct zr_rpc_stream *stream);

#endif

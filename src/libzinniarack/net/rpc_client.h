#ifndef ZR_NET_RPC_CLIENT_H
#define ZR_NET_RPC_CLIENT_H

#include <rpc/rpc.h>
#include <stddef.h>
#include <uv.h>

/**
 * DOC: ONC RPC client
 *
 * Calls one server over one connection. The connection is opened when a call
 * first needs it, and opened again after a failure. Several calls may be in
 * progress at the same time: replies are matched by transaction id, and a reply
 * to a call that has timed out is discarded.
 */

struct zr_rpc_client;

/**
 * struct zr_rpc_procedure - number and message types of a procedure
 * @number: procedure number in the RPC program
 * @args_codec: XDR routine that encodes and decodes the arguments
 * @result_codec: XDR routine that encodes and decodes the result
 * @args_size: size in bytes of the struct that holds the arguments
 * @result_size: size in bytes of the struct that holds the result
 * @silence_ms: for replies that may be large: if not 0, a call goes on after
 *	its timeout while a reply is arriving over the connection, and ends when
 *	none of its bytes arrives for this time
 * @transfer_max_ms: if @silence_ms is set, the longest time that a call goes on
 *	after its timeout
 */
struct zr_rpc_procedure {
	rpcproc_t number;
	xdrproc_t args_codec;
	xdrproc_t result_codec;
	size_t args_size;
	size_t result_size;
	unsigned int silence_ms;
	unsigned int transfer_max_ms;
};

/**
 * typedef zr_rpc_done_fn - called once when a call has completed or failed
 * @ctx: the pointer given to zr_rpc_client_call()
 * @error: 0; ZR_E_UNREACHABLE if the call was not sent; ZR_E_OUTCOME_UNKNOWN
 *	if it was sent and no reply was received; ZR_E_PROTOCOL if the arguments
 *	cannot be encoded or the reply cannot be decoded; ZR_E_NOMEM;
 *	ZR_E_CANCELLED from zr_rpc_client_free()
 * @result: the decoded result, or NULL on an error; valid until the callback
 *	returns
 */
typedef void (*zr_rpc_done_fn)(void *ctx, int error, void *result);

/**
 * zr_rpc_client_new() - create a client of one server
 * @out: receives the client, to be freed with zr_rpc_client_free()
 * @loop: the loop that the client runs on
 * @address: IP address and port of the server
 * @program: RPC program number
 * @version: version of the RPC program
 *
 * Return: 0, ZR_E_INVALID or ZR_E_NOMEM.
 */
int zr_rpc_client_new(struct zr_rpc_client **out, uv_loop_t *loop,
		      const char *address, rpcprog_t program,
		      rpcvers_t version);

/** zr_rpc_client_free() - fail open calls with ZR_E_CANCELLED, then free */
void zr_rpc_client_free(struct zr_rpc_client *client);

/**
 * zr_rpc_client_call() - call a procedure
 * @client: the client
 * @procedure: the procedure
 * @args: the arguments, encoded before this function returns
 * @timeout_ms: timeout of the whole call, unless @procedure has a silence_ms;
 *	when it expires, the connection is closed as well, unless it is bringing
 *	a large reply to another call
 * @done: called once, never before this function returns
 * @ctx: passed to @done
 */
void zr_rpc_client_call(struct zr_rpc_client *client,
			const struct zr_rpc_procedure *procedure, void *args,
			unsigned int timeout_ms, zr_rpc_done_fn done,
			void *ctx);

/** zr_rpc_client_address() - the address of the server, for log lines */
const char *zr_rpc_client_address(const struct zr_rpc_client *client);

#endif

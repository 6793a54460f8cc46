#ifndef ZR_NET_RPC_CLIENT_H
#define ZR_NET_RPC_CLIENT_H

#include <rpc/rpc.h>
#include <stddef.h>
#include <uv.h>

/**
 * DOC: ONC RPC client
 *
 * Calls one server over one connection that is opened on first use and again
 * after it broke. Calls overlap; answers are matched by transaction id, and an
 * answer to a call that has been given up is dropped.
 */

struct zr_rpc_client;

/**
 * struct zr_rpc_procedure - how a procedure's messages are coded
 * @number: procedure number
 * @args_codec: codec of the arguments
 * @result_codec: codec of the result
 * @args_size: bytes of the arguments' struct
 * @result_size: bytes of the result's struct
 */
struct zr_rpc_procedure {
	rpcproc_t number;
	xdrproc_t args_codec;
	xdrproc_t result_codec;
	size_t args_size;
	size_t result_size;
};

/**
 * typedef zr_rpc_done_fn - called once for each call
 * @ctx: as given with the call
 * @error: 0; ZR_E_UNREACHABLE when nothing was sent; ZR_E_OUTCOME_UNKNOWN
 *	when no answer came; ZR_E_PROTOCOL when it cannot be read
 * @result: the decoded result, valid during the call; NULL on an error
 */
typedef void (*zr_rpc_done_fn)(void *ctx, int error, void *result);

/**
 * zr_rpc_client_new() - prepare calls to a server
 * @out: the client, to be freed with zr_rpc_client_free()
 * @loop: the loop it runs on
 * @address: IP number and port of the server
 * @program: RPC program number
 * @version: its version
 *
 * Return: 0, ZR_E_INVALID or ZR_E_NOMEM.
 */
int zr_rpc_client_new(struct zr_rpc_client **out, uv_loop_t *loop,
		      const char *address, rpcprog_t program,
		      rpcvers_t version);

/** zr_rpc_client_free() - end open calls with ZR_E_CANCELLED and free */
void zr_rpc_client_free(struct zr_rpc_client *client);

/**
 * zr_rpc_client_call() - send a call
 * @client: the client
 * @procedure: what to call
 * @args: its arguments, encoded before this function returns
 * @timeout_ms: time for the whole call
 * @done: called once, never before this function returns
 * @ctx: passed to @done
 */
void zr_rpc_client_call(struct zr_rpc_client *client,
			const struct zr_rpc_procedure *procedure, void *args,
			unsigned int timeout_ms, zr_rpc_done_fn done,
			void *ctx);

/** zr_rpc_client_address() - the server's address, for log lines */
const char *zr_rpc_client_address(const struct zr_rpc_client *client);

#endif

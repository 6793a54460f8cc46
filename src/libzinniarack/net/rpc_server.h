#ifndef ZR_NET_RPC_SERVER_H
#define ZR_NET_RPC_SERVER_H

#include <rpc/rpc.h>
#include <stddef.h>
#include <uv.h>

#include "net/rpc_client.h"

/**
 * DOC: ONC RPC server
 *
 * Serves one RPC program. A handler may reply at once or later; a reply to a
 * peer that has gone is dropped.
 */

struct zr_rpc_server;
struct zr_rpc_call;

/**
 * typedef zr_rpc_handler_fn - serve one call; leads to one zr_rpc_reply()
 * @ctx: as given to zr_rpc_server_new()
 * @call: names the call in zr_rpc_reply()
 * @args: decoded arguments, valid until the handler returns
 */
typedef void (*zr_rpc_handler_fn)(void *ctx, struct zr_rpc_call *call,
				  void *args);

/**
 * struct zr_rpc_dispatch_entry - a procedure and what serves it
 * @procedure: the procedure
 * @handler: serves it
 */
struct zr_rpc_dispatch_entry {
	const struct zr_rpc_procedure *procedure;
	zr_rpc_handler_fn handler;
};

/**
 * zr_rpc_server_new() - listen and serve
 * @out: the server
 * @loop: the loop it runs on
 * @address: IP number and port to listen on
 * @program: RPC program number
 * @version: its version
 * @services: procedures served, ended by one without a procedure
 * @ctx: passed to the handlers
 *
 * Return: 0, ZR_E_INVALID, ZR_E_ADDRESS_IN_USE or ZR_E_IO.
 */
int zr_rpc_server_new(struct zr_rpc_server **out, uv_loop_t *loop,
		      const char *address, rpcprog_t program, rpcvers_t version,
		      const struct zr_rpc_dispatch_entry *services, void *ctx);

/**
 * zr_rpc_reply() - answer a call; the call ends
 * @call: the call
 * @result: its result, encoded before this function returns
 */
void zr_rpc_reply(struct zr_rpc_call *call, void *result);

/** zr_rpc_server_open_calls() - calls that wait for their reply */
unsigned int zr_rpc_server_open_calls(const struct zr_rpc_server *server);

/** zr_rpc_server_stop() - accept no more connections */
void zr_rpc_server_stop(struct zr_rpc_server *server);

/** zr_rpc_server_free() - close all connections and free */
void zr_rpc_server_free(struct zr_rpc_server *server);

#endif

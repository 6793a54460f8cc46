#ifndef ZR_NET_RPC_SERVER_H
#define ZR_NET_RPC_SERVER_H

#include <rpc/rpc.h>
#include <stddef.h>
#include <uv.h>

#include "net/budget.h"
#include "net/rpc_client.h"

/**
 * DOC: ONC RPC server
 *
 * Serves one RPC program. A handler may reply before or after it returns. If
 * the peer has disconnected by then, the reply is discarded.
 */

struct zr_rpc_server;
struct zr_rpc_call;

/**
 * typedef zr_rpc_handler_fn - handle one call
 * @ctx: the pointer given to zr_rpc_server_new()
 * @call: the call, which needs exactly one zr_rpc_reply()
 * @args: the decoded arguments, valid until the handler returns
 */
typedef void (*zr_rpc_handler_fn)(void *ctx, struct zr_rpc_call *call,
				  void *args);

/**
 * struct zr_rpc_dispatch_entry - a procedure and its handler
 * @procedure: the procedure, or NULL in the last entry of a table
 * @handler: called for each call of the procedure
 */
struct zr_rpc_dispatch_entry {
	const struct zr_rpc_procedure *procedure;
	zr_rpc_handler_fn handler;
};

/**
 * zr_rpc_server_new() - create a server that listens on an address
 * @out: receives the server, to be freed with zr_rpc_server_free()
 * @loop: the loop that the server runs on
 * @address: IP address and port to listen on
 * @program: RPC program number
 * @version: version of the RPC program
 * @dispatch_table: the procedures of the program, kept by reference; an entry
 *	without a procedure ends it
 * @ctx: passed to the handlers
 *
 * Return: 0, ZR_E_NOMEM, ZR_E_INVALID, ZR_E_ADDRESS_IN_USE or ZR_E_IO.
 */
int zr_rpc_server_new(struct zr_rpc_server **out, uv_loop_t *loop,
		      const char *address, rpcprog_t program, rpcvers_t version,
		      const struct zr_rpc_dispatch_entry *dispatch_table,
		      void *ctx);

/**
 * zr_rpc_server_set_budget() - account for what connections hold
 * @server: the server
 * @budget: budget of the process, which must outlive the server
 *
 * Applies to connections that are accepted afterwards.
 */
void zr_rpc_server_set_budget(struct zr_rpc_server *server,
			      struct zr_net_budget *budget);

/**
 * zr_rpc_reply() - reply to a call and free it
 * @call: the call
 * @result: the result, encoded before this function returns
 */
void zr_rpc_reply(struct zr_rpc_call *call, void *result);

/** zr_rpc_server_open_calls() - number of calls that have no reply yet */
unsigned int zr_rpc_server_open_calls(const struct zr_rpc_server *server);

/** zr_rpc_server_stop() - close the listener; open connections stay open */
void zr_rpc_server_stop(struct zr_rpc_server *server);

/**
 * zr_rpc_server_free() - close all connections and free the server
 * @server: the server, or NULL
 */
void zr_rpc_server_free(struct zr_rpc_server *server);

#endif

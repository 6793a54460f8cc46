#ifndef ZR_SCHEDULER_HANDLERS_H
#define ZR_SCHEDULER_HANDLERS_H

#include "scheduler/service.h"

/**
 * DOC: RPC handlers of the scheduler
 *
 * Each is a &zr_rpc_handler_fn whose context is a &struct zr_scheduler_service.
 */

void zr_serve_submit(void *ctx, struct zr_rpc_call *call, void *data);
void zr_serve_job(void *ctx, struct zr_rpc_call *call, void *data);
void zr_serve_cancel(void *ctx, struct zr_rpc_call *call, void *data);
void zr_serve_list(void *ctx, struct zr_rpc_call *call, void *data);
void zr_serve_explain(void *ctx, struct zr_rpc_call *call, void *data);
void zr_serve_status(void *ctx, struct zr_rpc_call *call, void *data);
void zr_serve_grants(void *ctx, struct zr_rpc_call *call, void *data);
void zr_serve_workers(void *ctx, struct zr_rpc_call *call, void *data);

#endif

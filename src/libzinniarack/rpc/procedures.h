#ifndef ZR_RPC_PROCEDURES_H
#define ZR_RPC_PROCEDURES_H

#include "msg_grants.h"
#include "msg_jobs.h"
#include "net/rpc_client.h"
#include "msg_scheduler.h"

/**
 * DOC: Procedures of the scheduler's RPC program
 *
 * Message types of the program ZX_SCHEDULER in rpc/msg_scheduler.x, one
 * &struct zr_rpc_procedure for each procedure.
 */

extern const struct zr_rpc_procedure zr_proc_submit;
extern const struct zr_rpc_procedure zr_proc_job;
extern const struct zr_rpc_procedure zr_proc_cancel;
extern const struct zr_rpc_procedure zr_proc_list;
extern const struct zr_rpc_procedure zr_proc_explain;
extern const struct zr_rpc_procedure zr_proc_status;
extern const struct zr_rpc_procedure zr_proc_grants;
extern const struct zr_rpc_procedure zr_proc_workers;

#endif

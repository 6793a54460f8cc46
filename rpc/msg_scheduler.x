/*
 * The RPC program that schedulers serve to entry daemons. script/rpcgen
 * generates the C code.
 */

#ifdef RPC_HDR
%#include "msg_grants.h"
%#include "msg_jobs.h"
#endif

program ZX_SCHEDULER {
	version ZX_SCHEDULER_V1 {
		zx_submit_result ZX_SUBMIT(zx_submit_args) = 1;
		zx_job_result ZX_JOB(zx_job_args) = 2;
		zx_job_result ZX_CANCEL(zx_job_args) = 3;
		zx_list_result ZX_LIST(zx_list_args) = 4;
		zx_explain_result ZX_EXPLAIN(zx_job_args) = 5;
		zx_status_result ZX_STATUS(zx_status_args) = 6;
		zx_grant_result ZX_GRANTS(zx_grant_args) = 7;
		zx_workers_result ZX_WORKERS(zx_list_args) = 8;
	} = 1;
} = 0x20005a01;

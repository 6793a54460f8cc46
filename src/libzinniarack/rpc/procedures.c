#include "rpc/procedures.h"

#define PROCEDURE(name, id, args, result)                \
	const struct zr_rpc_procedure name = {           \
		.number = (id),                          \
		.args_codec = (xdrproc_t)xdr_##args,     \
		.result_codec = (xdrproc_t)xdr_##result, \
		.args_size = sizeof(args),               \
		.result_size = sizeof(result),           \
	}

PROCEDURE(zr_proc_submit, ZX_SUBMIT, zx_submit_args, zx_submit_result);
PROCEDURE(zr_proc_job, ZX_JOB, zx_job_args, zx_job_result);
PROCEDURE(zr_proc_cancel, ZX_CANCEL, zx_job_args, zx_job_result);
PROCEDURE(zr_proc_list, ZX_LIST, zx_list_args, zx_list_result);
PROCEDURE(zr_proc_explain, ZX_EXPLAIN, zx_job_args, zx_explain_result);
PROCEDURE(zr_proc_status, ZX_STATUS, zx_status_args, zx_status_result);
PROCEDURE(zr_proc_grants, ZX_GRANTS, zx_grant_args, zx_grant_result);
PROCEDURE(zr_proc_workers, ZX_WORKERS, zx_list_args, zx_workers_result);

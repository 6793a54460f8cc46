#include "scheduler/service.h"

#include "rpc/procedures.h"
#include "scheduler/handlers.h"

void zr_serve_status(void *ctx, struct zr_rpc_call *call, void *data)
{
	struct zr_scheduler_service *service = ctx;
	zx_status_result result = {
		.name = (char *)service->name,
		.domain = (char *)service->domain_name,
		.epoch = zr_domain_epoch(service->domain),
		.config_version = service->config_version,
	};

	(void)data;
	result.active = result.epoch != 0;
	zr_rpc_reply(call, &result);
}

const struct zr_rpc_dispatch_entry zr_scheduler_dispatch_table[] = {
	{&zr_proc_submit, zr_serve_submit},
	{&zr_proc_job, zr_serve_job},
	{&zr_proc_cancel, zr_serve_cancel},
	{&zr_proc_list, zr_serve_list},
	{&zr_proc_explain, zr_serve_explain},
	{&zr_proc_status, zr_serve_status},
	{&zr_proc_grants, zr_serve_grants},
	{&zr_proc_workers, zr_serve_workers},
	{NULL, NULL},
};

#include <stdlib.h>

#include "domain/convert.h"
#include "scheduler/handlers.h"
#include "zinniarack/errors.h"

static void add_workers(zx_workers_result *result, const struct zr_sched *sched)
{
	struct zr_sched_worker_info info;
	zr_handle handle = ZR_HANDLE_NONE;

	while ((handle = zr_sched_worker_next(&info, sched, handle)) &&
	       result->workers.workers_len < ZX_LIST_MAX) {
		zx_worker *worker =
			&result->workers
				 .workers_val[result->workers.workers_len++];

		worker->name = (char *)info.name;
		worker->rack = (char *)info.rack;
		worker->state = info.state;
		worker->tasks = info.tasks;
		zr_convert_resources_to_xdr(&worker->capacity, &info.capacity);
		zr_convert_resources_to_xdr(&worker->reserved, &info.reserved);
	}
}

void zr_serve_workers(void *ctx, struct zr_rpc_call *call, void *data)
{
	struct zr_scheduler_service *service = ctx;
	const struct zr_sched *sched = zr_domain_sched(service->domain);
	zx_workers_result result = {0};

	(void)data;
	result.workers.workers_val = calloc(ZX_LIST_MAX, sizeof(zx_worker));
	if (!result.workers.workers_val)
		abort();
	if (sched)
		add_workers(&result, sched);
	else
		result.error = ZR_E_NOT_OWNER;
	zr_rpc_reply(call, &result);
	free(result.workers.workers_val);
}

#include <stdlib.h>

#include "scheduler/handlers.h"

void zr_serve_grants(void *ctx, struct zr_rpc_call *call, void *data)
{
	struct zr_scheduler_service *service = ctx;
	zx_grant_args *args = data;
	zx_grant_result result;

	zr_grants_answer(&result, service->grants, args->entry);
	zr_rpc_reply(call, &result);
	free(result.grants.grants_val);
}

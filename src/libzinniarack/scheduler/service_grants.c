#include "scheduler/handlers.h"

void zr_serve_grants(void *ctx, struct zr_rpc_call *call, void *data)
{
	struct zr_scheduler_service *service = ctx;
	zx_grant_result result;

	zr_grants_answer(&result, service->grants, data);
	zr_rpc_reply(call, &result);
	zr_grants_answer_free(&result);
}

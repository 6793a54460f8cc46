#include <stdlib.h>
#include <string.h>

#include "domain/convert.h"
#include "scheduler/handlers.h"
#include "zinniarack/errors.h"

static char *empty_text = "";

static char *error_detail(int error)
{
	return error < 0 ? (char *)zr_error_last() : empty_text;
}

/* Submit */

static void on_submitted(void *ctx, int error, const char *id)
{
	zx_submit_result result = {
		.error = error,
		.detail = error_detail(error),
		.id = id ? (char *)id : empty_text,
	};

	zr_rpc_reply(ctx, &result);
}

void zr_serve_submit(void *ctx, struct zr_rpc_call *call, void *data)
{
	struct zr_scheduler_service *service = ctx;
	zx_submit_args *args = data;
	struct zr_job_spec spec;
	int error = zr_convert_spec_from_xdr(&spec, &args->spec);

	if (error < 0)
		on_submitted(call, error, NULL);
	else
		zr_domain_submit(service->domain, &spec, on_submitted, call);
}

/* Jobs */

static void fill_job(zx_job *out, const struct zr_domain_job_info *job)
{
	out->id = (char *)job->id;
	out->name = (char *)job->spec->name;
	out->team = (char *)job->spec->team;
	out->queue = (char *)job->spec->queue;
	out->kind = job->spec->kind;
	out->state = job->state;
	out->tasks = job->spec->tasks;
	out->running = job->running;
	out->ended = job->ended;
	out->reason = (char *)job->reason;
	out->result = (char *)job->result;
}

static const zx_job no_job = {.id = "",
			      .name = "",
			      .team = "",
			      .queue = "",
			      .reason = "",
			      .result = ""};

static void add_results(zx_job *out, const struct zr_domain_job_info *job)
{
	zx_task_result *results =
		calloc(job->result_count + 1, sizeof(*results));
	uint32_t i;

	if (!results)
		abort();
	for (i = 0; i < job->result_count; i++) {
		results[i].index = job->results[i].index;
		results[i].succeeded = job->results[i].succeeded;
		results[i].result = (char *)job->results[i].result;
	}
	out->results.results_len = job->result_count;
	out->results.results_val = results;
}

static void on_job(void *ctx, int error, const struct zr_domain_job_info *job)
{
	zx_job_result result = {
		.error = error,
		.detail = error_detail(error),
		.job = no_job,
	};

	if (job) {
		fill_job(&result.job, job);
		add_results(&result.job, job);
	}
	zr_rpc_reply(ctx, &result);
	free(result.job.results.results_val);
}

void zr_serve_job(void *ctx, struct zr_rpc_call *call, void *data)
{
	struct zr_scheduler_service *service = ctx;
	zx_job_args *args = data;

	zr_domain_read(service->domain, args->id, args->team, args->wait_ms,
		       on_job, call);
}

void zr_serve_cancel(void *ctx, struct zr_rpc_call *call, void *data)
{
	struct zr_scheduler_service *service = ctx;
	zx_job_args *args = data;

	zr_domain_cancel(service->domain, args->id, args->team, on_job, call);
}

static void add_job(void *ctx, int error, const struct zr_domain_job_info *job)
{
	zx_list_result *result = ctx;

	if (error < 0 || result->jobs.jobs_len == ZX_LIST_MAX)
		return;
	fill_job(&result->jobs.jobs_val[result->jobs.jobs_len++], job);
}

void zr_serve_list(void *ctx, struct zr_rpc_call *call, void *data)
{
	struct zr_scheduler_service *service = ctx;
	zx_list_args *args = data;
	zx_list_result result = {0};

	if (!zr_domain_epoch(service->domain))
		result.error = ZR_E_NOT_OWNER;
	result.jobs.jobs_val = calloc(ZX_LIST_MAX, sizeof(zx_job));
	if (!result.jobs.jobs_val)
		abort();
	zr_domain_for_each_job(service->domain, args->team, add_job, &result);
	zr_rpc_reply(call, &result);
	free(result.jobs.jobs_val);
}

/* The read only checks that the job exists and that the team may see it. */
static void record_error(void *ctx, int error,
			 const struct zr_domain_job_info *job)
{
	(void)job;
	*(int *)ctx = error;
}

void zr_serve_explain(void *ctx, struct zr_rpc_call *call, void *data)
{
	struct zr_scheduler_service *service = ctx;
	const struct zr_sched *sched = zr_domain_sched(service->domain);
	struct zr_sched_explanation explanation = {0};
	zx_job_args *args = data;
	zx_explain_result result = {0};

	if (!sched)
		result.error = zr_error_set(
			ZR_E_NOT_OWNER,
			"this scheduler does not own the failure domain");
	else
		zr_domain_read(service->domain, args->id, args->team, 0,
			       record_error, &result.error);
	if (!result.error)
		result.error = zr_sched_explain(
			&explanation, sched,
			zr_domain_job_handle(service->domain, args->id));
	result.detail = error_detail(result.error);
	result.fitting = explanation.fitting;
	result.jobs_before = explanation.jobs_before;
	result.by_reason.by_reason_len = ZR_SCHED_REFUSALS;
	result.by_reason.by_reason_val = explanation.by_reason;
	result.hint = explanation.hint;
	zr_rpc_reply(call, &result);
}

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "domain/convert.h"
#include "entry/private.h"
#include "rpc/procedures.h"
#include "zinniarack/errors.h"
#include "zinniarack/log.h"
#include "zinniarack/sched.h"

#define SUBMIT_TIMEOUT_MS 5000
#define READ_TIMEOUT_MS 2000
#define WAIT_MS_MAX 30000

static json_t *job_to_json(const zx_job *job)
{
	return json_pack("{s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:i, s:i, s:i, "
			 "s:s}",
			 "id", job->id, "name", job->name, "team", job->team,
			 "queue", job->queue, "kind",
			 zr_job_kind_name((enum zr_job_kind)job->kind), "state",
			 zr_job_state_name((enum zr_job_state)job->state),
			 "reason", job->reason, "tasks", (int)job->tasks,
			 "running", (int)job->running, "ended", (int)job->ended,
			 "result", job->result);
}

static json_t *job_with_results_to_json(const zx_job *job)
{
	json_t *json = job_to_json(job);
	json_t *results = json_array();
	u_int i;

	for (i = 0; i < job->results.results_len; i++) {
		const zx_task_result *task = &job->results.results_val[i];

		json_array_append_new(results,
				      json_pack("{s:i, s:b, s:s}", "task",
						(int)task->index, "succeeded",
						(int)task->succeeded, "result",
						task->result));
	}
	json_object_set_new(json, "results", results);
	return json;
}

/* Choice of the failure domain */

static bool accepts_jobs(const struct zr_entry *entry, const char *domain)
{
	return zr_directory_get_active(entry->directory, domain) &&
	       !zr_config_is_evacuated(zr_config_watch_current(entry->config),
				       domain);
}

/*
 * Chooses the domain of a job with an idempotency key. Every entry daemon must
 * send the same key to the same domain, also while that is evacuated: its
 * scheduler knows whether the job has been accepted before.
 */
static int choose_home(const char **out, const struct zr_entry *entry,
		       const char *key)
{
	*out = zr_config_home_domain(zr_config_watch_current(entry->config),
				     key);
	if (*out)
		return 0;
	return zr_error_set(
		ZR_E_NOT_FOUND,
		"no declared failure domain accepts idempotency keys");
}

static int choose_domain(const char **out, const struct zr_entry *entry,
			 const struct zr_job_spec *spec)
{
	const char *own = entry->settings->failure_domain;
	size_t i;

	if (*spec->idempotency_key)
		return choose_home(out, entry, spec->idempotency_key);
	*out = own;
	if (accepts_jobs(entry, own))
		return 0;
	for (i = 0; (*out = zr_directory_get_domain(entry->directory, i));
	     i++) {
		if (accepts_jobs(entry, *out))
			return 0;
	}
	*out = own;
	if (!zr_config_is_evacuated(zr_config_watch_current(entry->config),
				    own))
		return 0;
	return zr_error_set(ZR_E_EVACUATED,
			    "failure domain '%s' is evacuated, and no other "
			    "one has an active scheduler",
			    own);
}

/* Parses the failure domain in a job's id. */
static bool parse_domain(char out[ZR_NAME_MAX], const char *id)
{
	const char *end = strrchr(id, '-');

	while (end && end > id && end[-1] != '-')
		end--;
	if (!end || end <= id + 1 || (size_t)(end - 1 - id) >= ZR_NAME_MAX)
		return false;
	memcpy(out, id, (size_t)(end - 1 - id));
	out[end - 1 - id] = '\0';
	return true;
}

/* Submit */

static void on_submitted(void *ctx, int error, void *data)
{
	struct entry_call *call = ctx;
	const zx_submit_result *result = data;

	if (error < 0) {
		entry_call_finish_error(call, error,
					"the scheduler did not respond");
		return;
	}
	if (result->error < 0) {
		entry_call_finish_error(call, result->error, result->detail);
		return;
	}
	entry_call_finish_json(call, 201,
			       json_pack("{s:s, s:s}", "id", result->id,
					 "domain", call->domain));
}

/* Sets the job's team, which must be allowed to use the job's queue. */
static int resolve_team(struct zr_job_spec *spec, struct zr_entry *entry,
			struct zr_http_exchange *exchange)
{
	const struct zr_config *config = zr_config_watch_current(entry->config);
	const struct zr_config_queue *queue;
	const char *team;
	int error;

	if (!config)
		return zr_error_set(ZR_E_STALE_CONFIG,
				    "no configuration has been applied yet");
	queue = zr_config_find_queue(config, spec->queue);
	if (!queue)
		return zr_error_set(ZR_E_NOT_FOUND, "queue '%s' does not exist",
				    spec->queue);
	if (queue->open) {
		snprintf(spec->team, ZR_NAME_MAX, "%s", queue->team);
		return 0;
	}
	error = entry_authenticate_team(&team, entry, exchange);
	if (error < 0)
		return error;
	if (queue->team && strcmp(queue->team, team))
		return zr_error_set(ZR_E_FORBIDDEN,
				    "queue '%s' belongs to another team",
				    queue->name);
	snprintf(spec->team, ZR_NAME_MAX, "%s", team);
	return 0;
}

/* Submits a job to the scheduler of the failure domain chosen for it. */
static void forward_job(struct zr_entry *entry,
			struct zr_http_exchange *exchange,
			const struct zr_job_spec *spec)
{
	const char *domain;
	struct zr_rpc_client *client;
	struct entry_call *call;
	zx_submit_args args;
	int error = choose_domain(&domain, entry, spec);

	if (error < 0) {
		entry_reply_error(exchange, error, zr_error_last());
		return;
	}
	client = zr_directory_get_active(entry->directory, domain);
	if (!client) {
		entry_reply_error(
			exchange, ZR_E_UNREACHABLE,
			"the job's failure domain has no active scheduler");
		return;
	}
	call = entry_call_new(entry, exchange);
	snprintf(call->domain, sizeof(call->domain), "%s", domain);
	zr_log_decision("forward job=%s team=%s domain=%s reason=%s",
			spec->name, spec->team, domain,
			*spec->idempotency_key ? "home_of_key"
					       : "own_domain_first");
	zr_convert_spec_to_xdr(&args.spec, spec);
	zr_rpc_client_call(client, &zr_proc_submit, &args, SUBMIT_TIMEOUT_MS,
			   on_submitted, call);
}

static void submit_job(struct zr_entry *entry,
		       struct zr_http_exchange *exchange)
{
	struct zr_job_spec spec;
	size_t length;
	const void *body = zr_http_get_body(exchange, &length);
	int error = zr_job_spec_parse(&spec, body, length);

	if (!error)
		error = resolve_team(&spec, entry, exchange);
	if (error < 0)
		entry_reply_error(exchange, error, zr_error_last());
	else
		forward_job(entry, exchange, &spec);
	zr_job_spec_clear(&spec);
}

/* Read, wait for, cancel and explain a job */

static void on_job(void *ctx, int error, void *data)
{
	struct entry_call *call = ctx;
	const zx_job_result *result = data;

	if (error < 0)
		entry_call_finish_error(call, error,
					"the scheduler did not respond");
	else if (result->error < 0)
		entry_call_finish_error(call, result->error, result->detail);
	else
		entry_call_finish_json(call, 200,
				       job_with_results_to_json(&result->job));
}

static json_t *refusals_to_json(const zx_explain_result *result)
{
	json_t *refusals = json_object();
	u_int i;

	for (i = 0; i < result->by_reason.by_reason_len; i++) {
		if (i >= ZR_SCHED_REFUSALS ||
		    !result->by_reason.by_reason_val[i])
			continue;
		json_object_set_new(
			refusals, zr_sched_refusal_name(i),
			json_integer(result->by_reason.by_reason_val[i]));
	}
	return refusals;
}

static void on_explained(void *ctx, int error, void *data)
{
	struct entry_call *call = ctx;
	const zx_explain_result *result = data;

	if (error < 0)
		entry_call_finish_error(call, error,
					"the scheduler did not respond");
	else if (result->error < 0)
		entry_call_finish_error(call, result->error, result->detail);
	else
		entry_call_finish_json(
			call, 200,
			json_pack("{s:i, s:i, s:o, s:s}", "workers_fitting",
				  (int)result->fitting, "jobs_before",
				  (int)result->jobs_before, "workers_refusing",
				  refusals_to_json(result), "hint",
				  result->hint));
}

static unsigned int parse_wait_ms(struct zr_http_exchange *exchange)
{
	const char *text = zr_http_get_query_param(exchange, "wait_ms");
	unsigned long wait_ms = text ? strtoul(text, NULL, 10) : 0;

	return wait_ms > WAIT_MS_MAX ? WAIT_MS_MAX : (unsigned int)wait_ms;
}

/* Calls the scheduler of a job's failure domain. */
static void send_job_call(struct zr_entry *entry,
			  struct zr_http_exchange *exchange,
			  const struct zr_rpc_procedure *procedure,
			  zx_job_args *args, zr_rpc_done_fn done)
{
	struct zr_rpc_client *client = NULL;
	char domain[ZR_NAME_MAX];

	if (!parse_domain(domain, args->id)) {
		entry_reply_error(exchange, ZR_E_NOT_FOUND, "no such job");
		return;
	}
	client = zr_directory_get_active(entry->directory, domain);
	if (!client) {
		entry_reply_error(
			exchange, ZR_E_UNREACHABLE,
			"the job's failure domain has no active scheduler");
		return;
	}
	zr_rpc_client_call(client, procedure, args,
			   READ_TIMEOUT_MS + args->wait_ms, done,
			   entry_call_new(entry, exchange));
}

/* Handles /v1/jobs/ID and /v1/jobs/ID/explain. */
static void handle_job(struct zr_entry *entry,
		       struct zr_http_exchange *exchange, char *id,
		       const char *team)
{
	const char *method = zr_http_get_method(exchange);
	char *slash = strchr(id, '/');
	zx_job_args args = {.id = id, .team = (char *)team};

	if (slash)
		*slash = '\0';
	if (strlen(id) >= ZR_JOB_ID_MAX)
		entry_reply_error(exchange, ZR_E_NOT_FOUND, "no such job");
	else if (slash && !strcmp(slash + 1, "explain"))
		send_job_call(entry, exchange, &zr_proc_explain, &args,
			      on_explained);
	else if (slash)
		entry_reply_error(exchange, ZR_E_NOT_FOUND, "no such path");
	else if (!strcmp(method, "DELETE"))
		send_job_call(entry, exchange, &zr_proc_cancel, &args, on_job);
	else if (!strcmp(method, "GET")) {
		args.wait_ms = parse_wait_ms(exchange);
		send_job_call(entry, exchange, &zr_proc_job, &args, on_job);
	} else
		entry_reply_error(exchange, ZR_E_INVALID, "use GET or DELETE");
}

/* List of jobs: queries every failure domain and waits for all responses. */

/* A list of jobs that is being collected. */
struct listing {
	struct entry_call *call;
	json_t *jobs;
	/* Failure domains whose jobs are missing. */
	json_t *missing;
	/* Calls in flight, plus one until all are sent. */
	unsigned int open_calls;
};

/* A call to the scheduler of one failure domain. */
struct listing_part {
	struct listing *listing;
	const char *domain;
};

static void finish_listing(struct listing *listing)
{
	if (--listing->open_calls)
		return;
	entry_call_finish_json(listing->call, 200,
			       json_pack("{s:o, s:o}", "jobs", listing->jobs,
					 "domains_missing", listing->missing));
	free(listing);
}

static void on_domain_listed(void *ctx, int error, void *data)
{
	struct listing_part *part = ctx;
	const zx_list_result *result = data;
	u_int i;

	if (error < 0 || result->error < 0)
		json_array_append_new(part->listing->missing,
				      json_string(part->domain));
	for (i = 0; !error && i < result->jobs.jobs_len; i++)
		json_array_append_new(part->listing->jobs,
				      job_to_json(&result->jobs.jobs_val[i]));
	finish_listing(part->listing);
	free(part);
}

static void list_domain(struct listing *listing, struct zr_entry *entry,
			const char *domain, const char *team)
{
	struct zr_rpc_client *client =
		zr_directory_get_active(entry->directory, domain);
	zx_list_args args = {.team = (char *)team};
	struct listing_part *part;

	if (!client) {
		json_array_append_new(listing->missing, json_string(domain));
		return;
	}
	part = calloc(1, sizeof(*part));
	if (!part)
		abort();
	part->listing = listing;
	part->domain = domain;
	listing->open_calls++;
	zr_rpc_client_call(client, &zr_proc_list, &args, READ_TIMEOUT_MS,
			   on_domain_listed, part);
}

static void list_jobs(struct zr_entry *entry, struct zr_http_exchange *exchange,
		      const char *team)
{
	struct listing *listing = calloc(1, sizeof(*listing));
	const char *domain;
	size_t i;

	if (!listing)
		abort();
	listing->call = entry_call_new(entry, exchange);
	listing->jobs = json_array();
	listing->missing = json_array();
	listing->open_calls = 1;
	for (i = 0; (domain = zr_directory_get_domain(entry->directory, i));
	     i++)
		list_domain(listing, entry, domain, team);
	finish_listing(listing);
}

void entry_handle_jobs(struct zr_entry *entry,
		       struct zr_http_exchange *exchange, const char *rest)
{
	const char *method = zr_http_get_method(exchange);
	const char *team;
	int error;
	char *id;

	if (!*rest && !strcmp(method, "POST")) {
		submit_job(entry, exchange);
		return;
	}
	error = entry_authenticate_reader(&team, entry, exchange);
	if (error < 0) {
		entry_reply_error(exchange, error, zr_error_last());
		return;
	}
	if (!*rest && !strcmp(method, "GET")) {
		list_jobs(entry, exchange, team);
		return;
	}
	id = strdup(*rest ? rest + 1 : "");
	if (!id)
		abort();
	handle_job(entry, exchange, id, team);
	free(id);
}

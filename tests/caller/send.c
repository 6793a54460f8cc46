#include "caller.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "zinniarack/errors.h"

/* Interval at which the jobs of the plan are submitted first. */
#define SUBMIT_INTERVAL_MS 2
/* Pause before the next call for a job, be it a submission or a wait. */
#define RETRY_MS 250
#define SUBMITS_MAX 80
#define SUBMIT_TIMEOUT_MS 6000
/* How long an entry daemon may wait for the end of a job before it answers. */
#define WAIT_MS 5000
#define WAIT_TIMEOUT_MS 9000
#define REQUEST_TIMEOUT_MS 2000

/**
 * struct submission - the calls for a job, from its submission to its end
 * @authorization: value of the Authorization field
 * @header: the Authorization field
 * @timer: ends the pause before the next call
 * @cancel_sent: whether a cancel of the job was sent and may take effect
 */
struct submission {
	struct caller *caller;
	struct caller_job *job;
	char authorization[300];
	struct zr_http_header_field header;
	uv_timer_t timer;
	bool cancel_sent;
};

/**
 * struct open_request - a short request that waits for its answer
 * @body: its body, which the answer must repeat
 * @refused_connections: number of entry daemons that couldn't be connected to
 * @is_probe: whether it only finds out if the service is ready
 */
struct open_request {
	struct caller_request_series *series;
	char body[ZR_NAME_MAX + 16];
	char authorization[300];
	struct zr_http_header_field header;
	int64_t sent_ms;
	size_t refused_connections;
	bool is_probe;
};

static void send_job(struct submission *submission);
static void wait_for_job(struct submission *submission);

static struct zr_http_client *next_entry(struct caller *caller)
{
	return caller->entries[caller->next_entry++ % caller->entry_count];
}

static void stop_if_finished(struct caller *caller)
{
	if (!caller->unfinished_jobs && !caller->open_series)
		uv_stop(caller->loop);
}

static void on_submission_closed(uv_handle_t *handle)
{
	free(handle->data);
}

/* Ends the calls for a job, which stays in @state. */
static void finish_job(struct submission *submission,
		       enum caller_job_state state)
{
	submission->job->state = state;
	submission->caller->unfinished_jobs--;
	uv_close((uv_handle_t *)&submission->timer, on_submission_closed);
	stop_if_finished(submission->caller);
}

static void on_submit_again(uv_timer_t *timer)
{
	send_job(timer->data);
}

static void on_wait_again(uv_timer_t *timer)
{
	wait_for_job(timer->data);
}

static json_t *parse_body(const struct zr_http_response *answer)
{
	return json_loadb(answer->body, answer->body_length, 0, NULL);
}

static void copy_field(char *out, size_t size, json_t *body, const char *field)
{
	const char *text = json_string_value(json_object_get(body, field));

	snprintf(out, size, "%s", text ? text : "");
}

/* Waiting for the end of a job */

static void on_waited(void *ctx, int error,
		      const struct zr_http_response *answer)
{
	static const char *const final_states[] = {"succeeded", "failed",
						   "cancelled"};
	struct submission *submission = ctx;
	json_t *body = error ? NULL : parse_body(answer);
	size_t i;

	/* Send the cancel again if no entry daemon has accepted it. */
	if (error || answer->status >= 500)
		submission->cancel_sent = false;
	copy_field(submission->job->final_state,
		   sizeof(submission->job->final_state), body, "state");
	json_decref(body);
	for (i = 0; i < sizeof(final_states) / sizeof(final_states[0]); i++) {
		if (!strcmp(submission->job->final_state, final_states[i])) {
			finish_job(submission, CALLER_JOB_ENDED);
			return;
		}
	}
	uv_timer_start(&submission->timer, on_wait_again, RETRY_MS, 0);
}

static void wait_for_job(struct submission *submission)
{
	char path[256];
	struct zr_http_call call = {
		.method = "GET",
		.path = path,
		.headers = &submission->header,
		.header_count = 1,
		.timeout_ms = WAIT_TIMEOUT_MS,
		.idempotent = true,
	};

	snprintf(path, sizeof(path), "/v1/jobs/%s?wait_ms=%d",
		 submission->job->id, WAIT_MS);
	/*
	 * A service runs until it is cancelled. Cancel it once only services
	 * are left; a plan has at most one for each team.
	 */
	if (submission->job->kind == ZR_JOB_SERVICE &&
	    !submission->cancel_sent) {
		submission->cancel_sent =
			submission->caller->unfinished_jobs <=
				submission->caller->team_count &&
			!submission->caller->open_series;
		snprintf(path, sizeof(path), "/v1/jobs/%s",
			 submission->job->id);
		if (submission->cancel_sent)
			call.method = "DELETE";
	}
	zr_http_client_call(next_entry(submission->caller), &call, on_waited,
			    submission);
}

/* Submitting */

static bool is_definite_refusal(const struct zr_http_response *answer)
{
	return answer->status >= 400 && answer->status < 500;
}

static void on_submitted(void *ctx, int error,
			 const struct zr_http_response *answer)
{
	struct submission *submission = ctx;
	json_t *body;

	if (!error && answer->status == 201) {
		body = parse_body(answer);
		copy_field(submission->job->id, sizeof(submission->job->id),
			   body, "id");
		json_decref(body);
		submission->job->state = CALLER_JOB_ACCEPTED;
		wait_for_job(submission);
		return;
	}
	if (!error && is_definite_refusal(answer)) {
		fprintf(stderr, "job refused: %.*s\n", (int)answer->body_length,
			answer->body);
		finish_job(submission, CALLER_JOB_REFUSED);
		return;
	}
	if (submission->job->submit_count >= SUBMITS_MAX) {
		finish_job(submission, CALLER_JOB_SENT);
		return;
	}
	/* The idempotency key makes it safe to submit the job again. */
	uv_timer_start(&submission->timer, on_submit_again, RETRY_MS, 0);
}

static void send_job(struct submission *submission)
{
	const struct zr_http_call call = {
		.method = "POST",
		.path = "/v1/jobs",
		.content_type = "application/json",
		.headers = &submission->header,
		.header_count = 1,
		.body = submission->job->body,
		.body_length = strlen(submission->job->body),
		.timeout_ms = SUBMIT_TIMEOUT_MS,
	};

	if (!submission->job->submit_count++)
		submission->job->sent_ms = caller_now_ms();
	submission->job->state = CALLER_JOB_SENT;
	zr_http_client_call(next_entry(submission->caller), &call, on_submitted,
			    submission);
}

static void set_authorization(char *out, size_t size,
			      struct zr_http_header_field *header,
			      const struct caller_team *team)
{
	snprintf(out, size, "Bearer %s", team->key);
	header->name = "Authorization";
	header->value = out;
}

/* Submits the next job of the plan. */
static void on_submit_timer(uv_timer_t *timer)
{
	struct caller *caller = timer->data;
	struct submission *submission;

	if (caller->next_job == caller->job_count) {
		uv_timer_stop(timer);
		return;
	}
	submission = calloc(1, sizeof(*submission));
	if (!submission)
		abort();
	submission->caller = caller;
	submission->job = &caller->jobs[caller->next_job++];
	set_authorization(
		submission->authorization, sizeof(submission->authorization),
		&submission->header, &caller->teams[submission->job->team]);
	uv_timer_init(caller->loop, &submission->timer);
	submission->timer.data = submission;
	send_job(submission);
}

/* Short requests */

/* Closes a series once each of its requests has an outcome. */
static void finish_series_if_done(struct caller_request_series *series)
{
	struct caller *caller = series->caller;

	if (series->answered + series->not_run + series->unknown +
		    series->wrong <
	    series->count)
		return;
	caller->open_series--;
	stop_if_finished(caller);
}

static void count_outcome(struct open_request *request, int error,
			  const struct zr_http_response *answer)
{
	struct caller_request_series *series = request->series;
	json_t *body = error ? NULL : parse_body(answer);

	if (!error && answer->status == 200) {
		if (strcmp(answer->body, request->body))
			series->wrong++;
		else
			series->waits_ms[series->answered++] =
				caller_now_ms() - request->sent_ms;
	} else if (error == ZR_E_UNREACHABLE ||
		   json_is_true(json_object_get(body, "not_run"))) {
		series->not_run++;
	} else {
		series->unknown++;
	}
	json_decref(body);
}

static void send_request(struct open_request *request);

static void on_request_done(void *ctx, int error,
			    const struct zr_http_response *answer)
{
	struct open_request *request = ctx;
	struct caller *caller = request->series->caller;

	/*
	 * Like a load balancer, try the next entry daemon if one can't be
	 * connected to.
	 */
	if (error == ZR_E_UNREACHABLE &&
	    ++request->refused_connections < caller->entry_count) {
		send_request(request);
		return;
	}
	if (request->is_probe) {
		if (!error && answer->status == 200)
			request->series->is_ready = true;
	} else {
		count_outcome(request, error, answer);
		finish_series_if_done(request->series);
	}
	free(request);
}

static void send_request(struct open_request *request)
{
	struct caller *caller = request->series->caller;
	char path[ZR_NAME_MAX + 32];
	const struct zr_http_call call = {
		.method = "POST",
		.path = path,
		.content_type = "text/plain",
		.headers = &request->header,
		.header_count = 1,
		.body = request->body,
		.body_length = strlen(request->body),
		.timeout_ms = REQUEST_TIMEOUT_MS,
	};

	snprintf(path, sizeof(path), "/v1/services/%s/requests",
		 request->series->service);
	zr_http_client_call(caller->request_entries[caller->next_entry++ %
						    caller->entry_count],
			    &call, on_request_done, request);
}

/* Sends the next request, or a probe until the service has answered one. */
static void on_request_due(uv_timer_t *timer)
{
	struct caller_request_series *series = timer->data;
	struct open_request *request = calloc(1, sizeof(*request));

	if (!request)
		abort();
	request->series = series;
	request->is_probe = !series->is_ready;
	request->sent_ms = caller_now_ms();
	if (!request->is_probe)
		series->sent++;
	snprintf(request->body, sizeof(request->body), "%s %u", series->service,
		 series->sent);
	set_authorization(request->authorization,
			  sizeof(request->authorization), &request->header,
			  &series->caller->teams[series->team]);
	send_request(request);
	if (series->sent == series->count)
		uv_timer_stop(timer);
}

void caller_begin(struct caller *caller)
{
	size_t i;

	caller->unfinished_jobs = caller->job_count;
	caller->open_series = caller->series_count;
	uv_timer_init(caller->loop, &caller->submit_timer);
	caller->submit_timer.data = caller;
	uv_timer_start(&caller->submit_timer, on_submit_timer, 0,
		       SUBMIT_INTERVAL_MS);
	for (i = 0; i < caller->series_count; i++) {
		struct caller_request_series *series = &caller->series[i];

		series->caller = caller;
		uv_timer_init(caller->loop, &series->timer);
		series->timer.data = series;
		uv_timer_start(&series->timer, on_request_due,
			       series->interval_ms, series->interval_ms);
	}
}

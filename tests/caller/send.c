#include "caller.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "zinniarack/errors.h"

#define PACE_MS 2
#define RETRY_MS 250
#define TRIES_MAX 80
#define SUBMIT_TIMEOUT_MS 6000
#define WAIT_MS 5000
#define WAIT_TIMEOUT_MS 9000
#define REQUEST_TIMEOUT_MS 2000

/* One step of one job, kept over its HTTP call and its pause before a retry. */
struct step {
	struct caller *caller;
	struct caller_job *job;
	char authorization[300];
	struct zr_http_header_field header;
	uv_timer_t timer;
	bool cancelling;
};

struct one_request {
	struct caller_requests *requests;
	char body[ZR_NAME_MAX + 16];
	char authorization[300];
	struct zr_http_header_field header;
	int64_t sent_ms;
	size_t refused_connections;
	bool probe;
};

static void send_job(struct step *step);
static void wait_for_job(struct step *step);

static struct zr_http_client *next_entry(struct caller *caller)
{
	return caller->entries[caller->next_entry++ % caller->entry_count];
}

static void maybe_finish(struct caller *caller)
{
	if (!caller->unsettled && !caller->requests_open)
		uv_stop(caller->loop);
}

static void on_step_closed(uv_handle_t *handle)
{
	free(handle->data);
}

static void settle(struct step *step, enum caller_job_state state)
{
	step->job->state = state;
	step->caller->unsettled--;
	uv_close((uv_handle_t *)&step->timer, on_step_closed);
	maybe_finish(step->caller);
}

static void on_retry_submit(uv_timer_t *timer)
{
	send_job(timer->data);
}

static void on_retry_wait(uv_timer_t *timer)
{
	wait_for_job(timer->data);
}

static json_t *parse(const struct zr_http_response *answer)
{
	return json_loadb(answer->body, answer->body_length, 0, NULL);
}

static void copy_field(char *out, size_t size, json_t *body, const char *field)
{
	const char *text = json_string_value(json_object_get(body, field));

	snprintf(out, size, "%s", text ? text : "");
}

/* Waiting for the end */

static void on_waited(void *ctx, int error,
		      const struct zr_http_response *answer)
{
	static const char *const ends[] = {"succeeded", "failed", "cancelled"};
	struct step *step = ctx;
	json_t *body = error ? NULL : parse(answer);
	size_t i;

	/* A cancel that no host has taken is sent again. */
	if (error || answer->status >= 500)
		step->cancelling = false;
	copy_field(step->job->final, sizeof(step->job->final), body, "state");
	json_decref(body);
	for (i = 0; i < sizeof(ends) / sizeof(ends[0]); i++) {
		if (!strcmp(step->job->final, ends[i])) {
			settle(step, CALLER_JOB_ENDED);
			return;
		}
	}
	uv_timer_start(&step->timer, on_retry_wait, RETRY_MS, 0);
}

static void wait_for_job(struct step *step)
{
	char path[256];
	struct zr_http_call call = {
		.method = "GET",
		.path = path,
		.headers = &step->header,
		.header_count = 1,
		.timeout_ms = WAIT_TIMEOUT_MS,
		.idempotent = true,
	};

	snprintf(path, sizeof(path), "/v1/jobs/%s?wait_ms=%d", step->job->id,
		 WAIT_MS);
	/* Services end when all else has ended and this caller cancels them. */
	if (step->job->kind == ZR_JOB_SERVICE && !step->cancelling) {
		step->cancelling =
			step->caller->unsettled <= step->caller->team_count &&
			!step->caller->requests_open;
		snprintf(path, sizeof(path), "/v1/jobs/%s", step->job->id);
		if (step->cancelling)
			call.method = "DELETE";
	}
	zr_http_client_call(next_entry(step->caller), &call, on_waited, step);
}

/* Submitting */

static bool definite_refusal(const struct zr_http_response *answer)
{
	return answer->status >= 400 && answer->status < 500;
}

static void on_submitted(void *ctx, int error,
			 const struct zr_http_response *answer)
{
	struct step *step = ctx;
	json_t *body;

	if (!error && answer->status == 201) {
		body = parse(answer);
		copy_field(step->job->id, sizeof(step->job->id), body, "id");
		json_decref(body);
		step->job->state = CALLER_JOB_ACCEPTED;
		wait_for_job(step);
		return;
	}
	if (!error && definite_refusal(answer)) {
		fprintf(stderr, "refused: %.*s\n", (int)answer->body_length,
			answer->body);
		settle(step, CALLER_JOB_REFUSED);
		return;
	}
	if (step->job->tries >= TRIES_MAX) {
		settle(step, CALLER_JOB_SENT);
		return;
	}
	/* The idempotency key makes another try safe whatever happened. */
	uv_timer_start(&step->timer, on_retry_submit, RETRY_MS, 0);
}

static void send_job(struct step *step)
{
	const struct zr_http_call call = {
		.method = "POST",
		.path = "/v1/jobs",
		.content_type = "application/json",
		.headers = &step->header,
		.header_count = 1,
		.body = step->job->body,
		.body_length = strlen(step->job->body),
		.timeout_ms = SUBMIT_TIMEOUT_MS,
	};

	if (!step->job->tries++)
		step->job->sent_ms = caller_now_ms();
	step->job->state = CALLER_JOB_SENT;
	zr_http_client_call(next_entry(step->caller), &call, on_submitted,
			    step);
}

static void authorize(char *out, size_t size,
		      struct zr_http_header_field *header,
		      const struct caller_team *team)
{
	snprintf(out, size, "Bearer %s", team->key);
	header->name = "Authorization";
	header->value = out;
}

static void on_pace(uv_timer_t *timer)
{
	struct caller *caller = timer->data;
	struct step *step;

	if (caller->next_job == caller->job_count) {
		uv_timer_stop(timer);
		return;
	}
	step = calloc(1, sizeof(*step));
	if (!step)
		abort();
	step->caller = caller;
	step->job = &caller->jobs[caller->next_job++];
	authorize(step->authorization, sizeof(step->authorization),
		  &step->header, &caller->teams[step->job->team]);
	uv_timer_init(caller->loop, &step->timer);
	step->timer.data = step;
	send_job(step);
}

/* Short requests */

static void end_requests(struct caller_requests *requests)
{
	struct caller *caller = requests->caller;

	if (requests->answered + requests->not_run + requests->unknown +
		    requests->wrong <
	    requests->count)
		return;
	caller->requests_open--;
	maybe_finish(caller);
}

static void judge(struct one_request *one, int error,
		  const struct zr_http_response *answer)
{
	struct caller_requests *requests = one->requests;
	json_t *body = error ? NULL : parse(answer);

	if (!error && answer->status == 200) {
		if (strcmp(answer->body, one->body))
			requests->wrong++;
		else
			requests->waits_ms[requests->answered++] =
				caller_now_ms() - one->sent_ms;
	} else if (error == ZR_E_UNREACHABLE ||
		   json_is_true(json_object_get(body, "not_run"))) {
		requests->not_run++;
	} else {
		requests->unknown++;
	}
	json_decref(body);
}

static void send_request(struct one_request *one);

static void on_request_done(void *ctx, int error,
			    const struct zr_http_response *answer)
{
	struct one_request *one = ctx;
	struct caller *caller = one->requests->caller;

	/* As behind a balancer: a host that takes no connection is passed by.
	 */
	if (error == ZR_E_UNREACHABLE &&
	    ++one->refused_connections < caller->entry_count) {
		send_request(one);
		return;
	}
	if (one->probe) {
		if (!error && answer->status == 200)
			one->requests->ready = true;
	} else {
		judge(one, error, answer);
		end_requests(one->requests);
	}
	free(one);
}

static void send_request(struct one_request *one)
{
	struct caller *caller = one->requests->caller;
	char path[ZR_NAME_MAX + 32];
	const struct zr_http_call call = {
		.method = "POST",
		.path = path,
		.content_type = "text/plain",
		.headers = &one->header,
		.header_count = 1,
		.body = one->body,
		.body_length = strlen(one->body),
		.timeout_ms = REQUEST_TIMEOUT_MS,
	};

	snprintf(path, sizeof(path), "/v1/services/%s/requests",
		 one->requests->service);
	zr_http_client_call(caller->request_entries[caller->next_entry++ %
						    caller->entry_count],
			    &call, on_request_done, one);
}

/* Until the service has answered once, requests only probe for it. */
static void on_request_due(uv_timer_t *timer)
{
	struct caller_requests *requests = timer->data;
	struct one_request *one = calloc(1, sizeof(*one));

	if (!one)
		abort();
	one->requests = requests;
	one->probe = !requests->ready;
	one->sent_ms = caller_now_ms();
	if (!one->probe)
		requests->sent++;
	snprintf(one->body, sizeof(one->body), "%s %u", requests->service,
		 requests->sent);
	authorize(one->authorization, sizeof(one->authorization), &one->header,
		  &requests->caller->teams[requests->team]);
	send_request(one);
	if (requests->sent == requests->count)
		uv_timer_stop(timer);
}

void caller_begin(struct caller *caller)
{
	size_t i;

	caller->unsettled = caller->job_count;
	caller->requests_open = caller->request_lines;
	uv_timer_init(caller->loop, &caller->pace);
	caller->pace.data = caller;
	uv_timer_start(&caller->pace, on_pace, 0, PACE_MS);
	for (i = 0; i < caller->request_lines; i++) {
		struct caller_requests *requests = &caller->requests[i];

		requests->caller = caller;
		uv_timer_init(caller->loop, &requests->timer);
		requests->timer.data = requests;
		uv_timer_start(&requests->timer, on_request_due,
			       requests->interval_ms, requests->interval_ms);
	}
}

/*
 * Submits random jobs to the hosts of a cell over connections that it keeps,
 * asks where they stand until they have ended, and checks what it is told: an
 * accepted job is known and completes, a refused one is never accepted. Prints
 * `refused ID` for each job of which every attempt was rejected.
 */
#include <argp.h>
#include <inttypes.h>
#include <jansson.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <uv.h>

#include "fakes/rng.h"
#include "net/http_client.h"
#include "zinniarack/clock.h"
#include "zinniarack/errors.h"

#define HOSTS_MAX 64
#define CALL_TIMEOUT_MS 3000
#define TICK_MS 10
#define ASK_MS 300
#define ASK_SPAN_MS 400
#define RETRY_MS 250
/* Jobs of any length must have completed this long after the last fault. */
#define FINISH_MS 30000
/* A job is known everywhere this long after it was accepted. */
#define VISIBLE_MS 3000
#define CANCEL_PERCENT 4
#define GANG_PERCENT 25
#define SECOND_STEP_PERCENT 30
#define AGAIN_PERCENT 5
#define PERCENT 100
#define TEXT_MAX 64
#define MS_PER_S INT64_C(1000)

enum job_state {
	JOB_SUBMITTING,
	JOB_ACCEPTED,
	JOB_CANCELLING,
	JOB_ENDED,
	JOB_REFUSED,
};

struct job {
	char id[17];
	char *body;
	enum job_state state;
	bool calling;
	bool unsure; /* an attempt had no answer, or one that settles nothing */
	int64_t due;
	int64_t accepted_at;
	int64_t cancel_at;
	struct job *next;
};

static struct {
	char *hosts;
	uint64_t seed;
	int seconds;
	int rate;
	struct zr_http_client *clients[HOSTS_MAX];
	int host_count;
	struct rng rng;
	struct job *jobs;
	int64_t began;
	int64_t next_job;
	uint64_t made;
	unsigned int violations;
	uv_timer_t timer;
} state = {.seed = 1, .seconds = 10, .rate = 20};

static int64_t now_ms(void)
{
	return zr_time_to_ms(zr_clock_now(zr_clock_system()));
}

static int pick(int below)
{
	return (int)rng_below(&state.rng, (uint32_t)below);
}

static void violation(const char *format, ...)
{
	va_list args;

	state.violations++;
	printf("VIOLATION ");
	va_start(args, format);
	vprintf(format, args);
	va_end(args);
	printf(" at %" PRId64 "\n", now_ms());
}

/* Calls */

static void call(struct job *job, const char *method, zr_http_done_fn done)
{
	static const struct zr_http_header_field headers[] = {
		{"Host", "q.example"}, {"Authorization", "Bearer key-1"}};
	bool submits = !strcmp(method, "POST");
	char path[32];
	const struct zr_http_call request = {
		.method = method,
		.path = path,
		.content_type = submits ? "application/json" : NULL,
		.headers = headers,
		.header_count = 2,
		.body = submits ? job->body : NULL,
		.body_length = submits ? strlen(job->body) : 0,
		.timeout_ms = CALL_TIMEOUT_MS,
	};

	snprintf(path, sizeof(path), "/q/%s", job->id);
	job->calling = true;
	zr_http_client_call(state.clients[pick(state.host_count)], &request,
			    done, job);
}

static void again(struct job *job)
{
	job->due = now_ms() + RETRY_MS + pick(ASK_SPAN_MS);
}

static void on_submitted(void *ctx, int error,
			 const struct zr_http_response *answer)
{
	struct job *job = ctx;
	int status = error < 0 ? 0 : answer->status;

	job->calling = false;
	again(job);
	if (status == 200) {
		job->state = JOB_ACCEPTED;
		job->accepted_at = now_ms();
		if (pick(PERCENT) < CANCEL_PERCENT)
			job->cancel_at = now_ms() + pick(2000);
	} else if (status == 503 || status == 429) {
		/* Earlier attempts without an answer may yet be accepted. */
		if (!job->unsure)
			job->state = JOB_REFUSED;
	} else if (status == 400 || status == 401 || status == 404) {
		violation("SUBMIT %s answered %d", job->id, status);
		job->state = JOB_REFUSED;
	} else {
		job->unsure |= error != ZR_E_UNREACHABLE;
	}
}

static void check_state(struct job *job, const char *text)
{
	if (!text)
		return;
	if (!strcmp(text, "completed") || !strcmp(text, "cancelled")) {
		if (!strcmp(text, "cancelled") && !job->cancel_at)
			violation("LOST %s is cancelled by nobody", job->id);
		job->state = JOB_ENDED;
	} else if (!strcmp(text, "failed")) {
		violation("LOST %s is failed without a cause", job->id);
		job->state = JOB_ENDED;
	}
}

static void on_asked(void *ctx, int error,
		     const struct zr_http_response *answer)
{
	struct job *job = ctx;
	json_t *body;

	job->calling = false;
	again(job);
	if (error < 0)
		return;
	if (answer->status == 410 && now_ms() - job->accepted_at > VISIBLE_MS &&
	    !job->cancel_at) {
		violation("LOST %s is not known", job->id);
		job->state = JOB_ENDED;
	}
	if (answer->status != 200)
		return;
	body = json_loadb(answer->body, answer->body_length, 0, NULL);
	check_state(job, json_string_value(json_object_get(body, "state")));
	json_decref(body);
}

static void on_cancelled(void *ctx, int error,
			 const struct zr_http_response *answer)
{
	struct job *job = ctx;

	job->calling = false;
	again(job);
	if (!error && (answer->status == 200 || answer->status == 410))
		job->state = JOB_ENDED;
}

static void act(struct job *job)
{
	if (job->calling || now_ms() < job->due)
		return;
	if (job->cancel_at && now_ms() >= job->cancel_at &&
	    job->state == JOB_ACCEPTED)
		job->state = JOB_CANCELLING;
	switch (job->state) {
	case JOB_SUBMITTING:
		call(job, "POST", on_submitted);
		return;
	case JOB_ACCEPTED:
		call(job, "GET", on_asked);
		return;
	case JOB_CANCELLING:
		call(job, "DELETE", on_cancelled);
		return;
	default:
		return;
	}
}

/* Jobs */

/* Adds a step, and to the job's text how large a gang it is. */
static void add_step(json_t *steps, char *text, int millicpus, int after)
{
	bool gang = pick(PERCENT) < GANG_PERCENT;
	json_t *step = json_pack("{s:i, s:i, s:i, s:i}", "count",
				 gang ? 2 + pick(2) : 1 + pick(4), "cpu",
				 millicpus, "mem_mb", 64, "estimate_ms", 400);

	snprintf(text + strlen(text), TEXT_MAX - strlen(text), " %d",
		 gang ? (int)json_integer_value(json_object_get(step, "count"))
		      : 0);
	if (gang)
		json_object_set_new(step, "gang", json_true());
	else
		json_object_set_new(step, "checkpointing", json_true());
	if (after >= 0)
		json_object_set_new(step, "after", json_pack("[i]", after));
	json_array_append_new(steps, step);
}

static void make_job(void)
{
	static const int sizes[] = {250, 500, 1000, 2000};
	struct job *job = calloc(1, sizeof(*job));
	int millicpus = sizes[pick(4)];
	json_t *steps = json_array();
	char text[TEXT_MAX];
	json_t *body;

	snprintf(job->id, sizeof(job->id), "%08" PRIx32 "%08" PRIx64,
		 (uint32_t)state.seed, ++state.made);
	snprintf(text, sizeof(text), "%d %d", millicpus, 50 + pick(1000));
	add_step(steps, text, millicpus, -1);
	if (pick(PERCENT) < SECOND_STEP_PERCENT)
		add_step(steps, text, millicpus, 0);
	body = json_pack("{s:s, s:o}", "task_spec", text, "steps", steps);
	job->body = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	job->next = state.jobs;
	state.jobs = job;
}

static bool all_settled(void)
{
	const struct job *job;

	for (job = state.jobs; job; job = job->next) {
		if (job->calling ||
		    (job->state != JOB_ENDED && job->state != JOB_REFUSED))
			return false;
	}
	return true;
}

static int report(void)
{
	unsigned int counts[JOB_REFUSED + 1] = {0};
	const struct job *job;

	for (job = state.jobs; job; job = job->next) {
		counts[job->state]++;
		if (job->state == JOB_REFUSED && !job->unsure)
			printf("refused %s\n", job->id);
		if (job->state == JOB_ACCEPTED || job->state == JOB_CANCELLING)
			violation("LOST %s has not ended", job->id);
		if (job->state == JOB_SUBMITTING)
			violation("SUBMIT %s was never settled", job->id);
	}
	printf("jobs %" PRIu64 " ended %u refused %u violations %u\n",
	       state.made, counts[JOB_ENDED], counts[JOB_REFUSED],
	       state.violations);
	return state.violations ? 1 : 0;
}

static void on_tick(uv_timer_t *timer)
{
	int64_t since = now_ms() - state.began;
	struct job *job;

	(void)timer;
	while (since < state.seconds * MS_PER_S && now_ms() >= state.next_job) {
		make_job();
		state.next_job += MS_PER_S / state.rate;
	}
	for (job = state.jobs; job; job = job->next)
		act(job);
	if (since >= state.seconds * MS_PER_S &&
	    (all_settled() || since >= state.seconds * MS_PER_S + FINISH_MS))
		exit(report());
}

static error_t parse_option(int key, char *arg, struct argp_state *argp_state)
{
	(void)argp_state;
	switch (key) {
	case 'h':
		state.hosts = arg;
		return 0;
	case 's':
		state.seed = strtoull(arg, NULL, 10);
		return 0;
	case 't':
		state.seconds = atoi(arg);
		return 0;
	case 'r':
		state.rate = atoi(arg);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int main(int argc, char **argv)
{
	static const struct argp_option options[] = {
		{"hosts", 'h', "ADDRESS,...", 0, "Hosts of the cell", 0},
		{"seed", 's', "N", 0, "Seed of the jobs", 0},
		{"seconds", 't', "N", 0, "How long jobs are submitted", 0},
		{"rate", 'r', "N", 0, "Jobs a second", 0},
		{0},
	};
	static const struct argp argp = {
		options, parse_option, NULL, "Submits jobs in soaks.",
		NULL,	 NULL,	       NULL};
	uv_loop_t *loop = uv_default_loop();
	char *address;

	signal(SIGPIPE, SIG_IGN);
	setvbuf(stdout, NULL, _IOLBF, 0);
	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	state.rng.state = state.seed;
	for (address = strtok(state.hosts, ","); address;
	     address = strtok(NULL, ",")) {
		if (zr_http_client_new(&state.clients[state.host_count++], loop,
				       address, NULL) < 0)
			return 2;
	}
	state.began = now_ms();
	state.next_job = state.began;
	uv_timer_init(loop, &state.timer);
	uv_timer_start(&state.timer, on_tick, TICK_MS, TICK_MS);
	return uv_run(loop, UV_RUN_DEFAULT);
}

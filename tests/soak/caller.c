/*
 * Submits random jobs to the hosts of a cell over persistent connections and
 * polls their states until they have ended. Checks that each accepted job stays
 * known and completes (LOST), and that each valid submission gets a definite
 * answer (SUBMIT). Prints `refused ID` for each job whose submission was
 * definitely refused; run.sh checks that none of them started. Prints `failed
 * ID MS` for each job that failed; run.sh checks that by then two workers had
 * crashed under one of its tasks, or enough runs of one had failed.
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
#define POLL_MS 300
#define RETRY_SPAN_MS 400
/* Pause between two calls for a job: RETRY_MS plus a random part. */
#define RETRY_MS 250
/*
 * Every accepted job, however long it runs, must have ended this long after the
 * submissions; run.sh injects the last fault shortly before they end.
 */
#define COMPLETION_TIMEOUT_MS 30000
/* Every host must know a job this long after it was accepted. */
#define VISIBLE_AFTER_MS 3000
#define CANCEL_PERCENT 4
#define GANG_PERCENT 25
#define SECOND_STEP_PERCENT 30
#define RESUBMIT_PERCENT 5
#define CRASH_PERMILLE 15
#define FAIL_PERMILLE 40
/* Jobs that never run, beside the others. */
#define UNFIT_PERMILLE 40
/* So long that they are in time, and come before later jobs, to the end. */
#define UNFIT_ESTIMATE_MS 60000
#define PERMILLE 1000
#define PERCENT 100
#define SPEC_MAX 64
#define MS_PER_S INT64_C(1000)

enum job_state {
	JOB_SUBMITTING,
	JOB_ACCEPTED,
	JOB_CANCELLING,
	JOB_ENDED,
	JOB_REFUSED,
};

/**
 * struct job - a job that this program submits
 * @body: body of the submission, as JSON
 * @never_completes: every run of one of its tasks crashes its worker or fails
 * @is_unfit: it cannot run on the workers; cancelled once the others have ended
 * @call_in_flight: whether a call for it waits for an answer
 * @unconfirmed: a submission may have been accepted: it had no answer, or one
 *	that leaves this open
 * @due_at: when to send the next call
 * @accepted_at: when a host accepted it
 * @is_cancelled: whether to cancel it once it is accepted
 * @cancel_after_ms: how long after that
 * @cancel_at: when to cancel it; 0: never
 */
struct job {
	char id[17];
	char *body;
	enum job_state state;
	bool never_completes;
	bool is_unfit;
	bool call_in_flight;
	bool unconfirmed;
	int64_t due_at;
	int64_t accepted_at;
	bool is_cancelled;
	int cancel_after_ms;
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
	struct rng job_rng;
	struct rng unfit_rng;
	struct job *jobs;
	int64_t started_at;
	int64_t next_job_at;
	uint64_t job_count;
	unsigned int violations;
	uv_timer_t timer;
} state = {.seed = 1, .seconds = 10, .rate = 20};

static int64_t now_ms(void)
{
	return zr_time_to_ms(zr_clock_now(zr_clock_system()));
}

static int random_below(int below)
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
	bool is_submit = !strcmp(method, "POST");
	char path[32];
	const struct zr_http_call request = {
		.method = method,
		.path = path,
		.content_type = is_submit ? "application/json" : NULL,
		.headers = headers,
		.header_count = 2,
		.body = is_submit ? job->body : NULL,
		.body_length = is_submit ? strlen(job->body) : 0,
		.timeout_ms = CALL_TIMEOUT_MS,
	};

	snprintf(path, sizeof(path), "/%s/%s", job->is_unfit ? "plain" : "q",
		 job->id);
	job->call_in_flight = true;
	zr_http_client_call(state.clients[random_below(state.host_count)],
			    &request, done, job);
}

/* Sets when the next call for a job is due. */
static void schedule_next(struct job *job)
{
	job->due_at = now_ms() + RETRY_MS + random_below(RETRY_SPAN_MS);
}

static void on_submitted(void *ctx, int error,
			 const struct zr_http_response *answer)
{
	struct job *job = ctx;
	int status = error < 0 ? 0 : answer->status;

	job->call_in_flight = false;
	schedule_next(job);
	if (status == 200) {
		job->state = JOB_ACCEPTED;
		job->accepted_at = now_ms();
		if (job->is_cancelled)
			job->cancel_at = now_ms() + job->cancel_after_ms;
	} else if (status == 503 || status == 429) {
		/* An earlier submission without an answer may take effect. */
		if (!job->unconfirmed)
			job->state = JOB_REFUSED;
	} else if (status == 400 || status == 401 || status == 404) {
		violation("SUBMIT %s was answered with status %d", job->id,
			  status);
		job->state = JOB_REFUSED;
	} else {
		job->unconfirmed |= error != ZR_E_UNREACHABLE;
	}
}

/* Processes the state that a host has reported for an accepted job. */
static void check_state(struct job *job, const char *job_state)
{
	if (!job_state)
		return;
	if (!strcmp(job_state, "completed") ||
	    !strcmp(job_state, "cancelled")) {
		if (!strcmp(job_state, "cancelled") && !job->cancel_at)
			violation("LOST %s ended as cancelled, but nobody "
				  "cancelled it",
				  job->id);
		job->state = JOB_ENDED;
		if (!strcmp(job_state, "completed") && job->never_completes)
			violation("MIXED %s crashes its workers or fails in "
				  "every run, but is shown as completed",
				  job->id);
	} else if (!strcmp(job_state, "failed")) {
		printf("failed %s %" PRId64 "\n", job->id, now_ms());
		job->state = JOB_ENDED;
	}
}

static void on_polled(void *ctx, int error,
		      const struct zr_http_response *answer)
{
	struct job *job = ctx;
	json_t *body;

	job->call_in_flight = false;
	schedule_next(job);
	if (error < 0)
		return;
	if (answer->status == 410 &&
	    now_ms() - job->accepted_at > VISIBLE_AFTER_MS && !job->cancel_at) {
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

	job->call_in_flight = false;
	schedule_next(job);
	if (!error && (answer->status == 200 || answer->status == 410))
		job->state = JOB_ENDED;
}

/* Sends the next call for a job if it is due. */
static void send_next_call(struct job *job)
{
	if (job->call_in_flight || now_ms() < job->due_at)
		return;
	if (job->cancel_at && now_ms() >= job->cancel_at &&
	    job->state == JOB_ACCEPTED)
		job->state = JOB_CANCELLING;
	switch (job->state) {
	case JOB_SUBMITTING:
		call(job, "POST", on_submitted);
		return;
	case JOB_ACCEPTED:
		call(job, "GET", on_polled);
		return;
	case JOB_CANCELLING:
		call(job, "DELETE", on_cancelled);
		return;
	default:
		return;
	}
}

/* Jobs */

/*
 * The jobs have a series of random numbers of their own: that of the calls
 * depends on when they are answered.
 */
static int draw_below(int below)
{
	return (int)rng_below(&state.job_rng, (uint32_t)below);
}

/* Adds a step, and its gang size (0: not a gang) to the job's task_spec. */
static void add_step(json_t *steps, char *spec, int millicpus, int depends_on)
{
	bool is_gang = draw_below(PERCENT) < GANG_PERCENT;
	json_t *step =
		json_pack("{s:i, s:i, s:i, s:i}", "count",
			  is_gang ? 2 + draw_below(2) : 1 + draw_below(4),
			  "cpu", millicpus, "mem_mb", 64, "estimate_ms", 400);

	snprintf(spec + strlen(spec), SPEC_MAX - strlen(spec), " %d",
		 is_gang ? (int)json_integer_value(
				   json_object_get(step, "count"))
			 : 0);
	if (is_gang)
		json_object_set_new(step, "gang", json_true());
	else
		json_object_set_new(step, "checkpointing", json_true());
	if (depends_on >= 0)
		json_object_set_new(step, "after",
				    json_pack("[i]", depends_on));
	json_array_append_new(steps, step);
}

/* Draws which runs of a job fail, see workers.c; 0: none. */
static char draw_failures(void)
{
	int kind = draw_below(3);

	return draw_below(PERMILLE) < FAIL_PERMILLE ? "for"[kind] : 0;
}

static void make_job(void)
{
	static const int sizes[] = {250, 500, 1000, 2000};
	struct job *job = calloc(1, sizeof(*job));
	int millicpus = sizes[draw_below(4)];
	json_t *steps = json_array();
	bool crashes_workers;
	char kind;
	char spec[SPEC_MAX];
	json_t *body;

	snprintf(job->id, sizeof(job->id), "%08" PRIx32 "%08" PRIx64,
		 (uint32_t)state.seed, ++state.job_count);
	crashes_workers = draw_below(PERMILLE) < CRASH_PERMILLE;
	snprintf(spec, sizeof(spec), "%d %d", millicpus,
		 (crashes_workers ? -1 : 1) * (50 + draw_below(1000)));
	add_step(steps, spec, millicpus, -1);
	if (draw_below(PERCENT) < SECOND_STEP_PERCENT)
		add_step(steps, spec, millicpus, 0);
	kind = crashes_workers ? 0 : draw_failures();
	if (kind)
		snprintf(spec + strlen(spec), SPEC_MAX - strlen(spec), " %c",
			 kind);
	job->never_completes = crashes_workers || kind == 'f';
	job->is_cancelled = draw_below(PERCENT) < CANCEL_PERCENT;
	job->cancel_after_ms = draw_below(2000);
	body = json_pack("{s:s, s:o}", "task_spec", spec, "steps", steps);
	job->body = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	job->next = state.jobs;
	state.jobs = job;
}

/*
 * Makes a job that does not fit on the workers: a gang with too many members,
 * one with too many for the number of workers, a task that is too large, or one
 * for a kind of worker that there is not. It needs no permits, so that it may
 * reserve any worker.
 */
static void make_unfit_job(void)
{
	struct job *job = calloc(1, sizeof(*job));
	json_t *step =
		json_pack("{s:i, s:i, s:i, s:i}", "count", 1, "cpu", 1000,
			  "mem_mb", 64, "estimate_ms", UNFIT_ESTIMATE_MS);
	json_t *body;

	switch (rng_below(&state.unfit_rng, 4)) {
	case 0:
		json_object_set_new(step, "gang", json_true());
		json_object_set_new(step, "count", json_integer(400));
		break;
	case 1:
		json_object_set_new(step, "gang", json_true());
		json_object_set_new(step, "count", json_integer(20));
		json_object_set_new(step, "anti_affinity", json_integer(1));
		break;
	case 2:
		json_object_set_new(step, "cpu", json_integer(500000));
		break;
	default:
		json_object_set_new(step, "constraints", json_string("none"));
	}
	snprintf(job->id, sizeof(job->id), "%08" PRIx32 "%08" PRIx64,
		 (uint32_t)state.seed, ++state.job_count);
	job->is_unfit = true;
	job->never_completes = true;
	body = json_pack("{s:s, s:[o]}", "task_spec", "1000 400 0", "steps",
			 step);
	job->body = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	job->next = state.jobs;
	state.jobs = job;
}

static void cancel_unfit_jobs(void)
{
	struct job *job;

	for (job = state.jobs; job; job = job->next) {
		if (job->is_unfit && job->accepted_at && !job->cancel_at)
			job->cancel_at = now_ms();
	}
}

/* Whether every job that can run, or every one, has ended or was refused. */
static bool all_jobs_final(bool also_unfit)
{
	const struct job *job;

	for (job = state.jobs; job; job = job->next) {
		if (job->is_unfit && !also_unfit)
			continue;
		if (job->call_in_flight ||
		    (job->state != JOB_ENDED && job->state != JOB_REFUSED))
			return false;
	}
	return true;
}

/* Prints the result and returns the exit code. */
static int report(void)
{
	unsigned int counts[JOB_REFUSED + 1] = {0};
	const struct job *job;

	for (job = state.jobs; job; job = job->next) {
		counts[job->state]++;
		if (job->state == JOB_REFUSED && !job->unconfirmed)
			printf("refused %s\n", job->id);
		/* An unfit job waits for the others. */
		if ((job->state == JOB_ACCEPTED && !job->is_unfit) ||
		    job->state == JOB_CANCELLING)
			violation("LOST %s has not ended", job->id);
		if (job->state == JOB_SUBMITTING)
			violation("SUBMIT %s never had a definite answer",
				  job->id);
	}
	printf("jobs %" PRIu64 " ended %u refused %u violations %u\n",
	       state.job_count, counts[JOB_ENDED], counts[JOB_REFUSED],
	       state.violations);
	return state.violations ? 1 : 0;
}

static void on_tick(uv_timer_t *timer)
{
	int64_t elapsed_ms = now_ms() - state.started_at;
	struct job *job;

	(void)timer;
	while (elapsed_ms < state.seconds * MS_PER_S &&
	       now_ms() >= state.next_job_at) {
		make_job();
		if (rng_below(&state.unfit_rng, PERMILLE) < UNFIT_PERMILLE)
			make_unfit_job();
		state.next_job_at += MS_PER_S / state.rate;
	}
	if (elapsed_ms >= state.seconds * MS_PER_S && all_jobs_final(false))
		cancel_unfit_jobs();
	for (job = state.jobs; job; job = job->next)
		send_next_call(job);
	if (elapsed_ms >= state.seconds * MS_PER_S &&
	    (all_jobs_final(true) ||
	     elapsed_ms >= state.seconds * MS_PER_S + COMPLETION_TIMEOUT_MS))
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
		{"hosts", 'h', "ADDRESS,...", 0,
		 "Addresses of the hosts of the cell", 0},
		{"seed", 's', "N", 0, "Seed of the random jobs", 0},
		{"seconds", 't', "N", 0,
		 "Duration of the submissions in seconds", 0},
		{"rate", 'r', "N", 0, "Submissions per second", 0},
		{0},
	};
	static const struct argp argp = {
		options, parse_option, NULL, "Submits jobs in soak tests.",
		NULL,	 NULL,	       NULL};
	uv_loop_t *loop = uv_default_loop();
	char *address;

	signal(SIGPIPE, SIG_IGN);
	setvbuf(stdout, NULL, _IOLBF, 0);
	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	state.rng.state = state.seed;
	state.job_rng.state = state.seed + 3000000;
	state.unfit_rng.state = state.seed + 6000000;
	for (address = strtok(state.hosts, ","); address;
	     address = strtok(NULL, ",")) {
		if (zr_http_client_new(&state.clients[state.host_count++], loop,
				       address, NULL) < 0)
			return 2;
	}
	state.started_at = now_ms();
	state.next_job_at = state.started_at;
	uv_timer_init(loop, &state.timer);
	uv_timer_start(&state.timer, on_tick, TICK_MS, TICK_MS);
	return uv_run(loop, UV_RUN_DEFAULT);
}

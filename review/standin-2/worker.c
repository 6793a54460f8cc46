/*
 * A worker: one process, which registers itself in the platform's store, runs
 * work items and writes what it does to standard output, one line each:
 *
 *	TIME WORKER BORN EVENT TASK ATTEMPT DETAIL
 *
 * TIME is in milliseconds since 1970. EVENT is "boot", "start", "end" (DETAIL:
 * how) or "reject" (DETAIL: the reason).
 *
 * The specification of a work item is a list of words:
 *
 *	serve		it lasts
 *	work=MS		it is done after MS of work
 *	save=LENGTH	it saves a checkpoint of that length each half second
 *	cpu=N		what it takes of the worker, for the log
 *
 * SIGUSR1 makes all work items that last end as done, as if their programs had
 * returned.
 *
 * usage: worker ID ADDRESS CONTROL ZONE KIND RACK CPU MEM_MB DELAY_MS [tickets]
 *
 * CONTROL is where the platform takes what workers write, DELAY_MS the time
 * from the start to the first check-in. With "tickets", a start needs a ticket
 * of the adviser.
 */
#include <inttypes.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/time.h>
#include <utlist.h>

#include "call.h"
#include "net/http_server.h"
#include "zinniarack/clock.h"
#include "zinniarack/errors.h"

#define TICK_MS 5
#define CHECK_IN_MS 1500
#define CHECK_IN_TIMEOUT_MS 300
#define HOLD_MAX_MS 6000
#define SAVE_MS 500
#define STARTUP_MS 300
#define TEXT_MAX 160
#define PERCENT 100

struct run {
	char task[TEXT_MAX];
	int64_t attempt;
	bool lasts;
	int64_t work_ms;
	int64_t cpu;
	int save_length;
	int64_t started_at;
	int64_t resumed_ms; /* work that the checkpoint has brought */
	struct run *prev;
	struct run *next;
};

struct end {
	int64_t number;
	char task[TEXT_MAX];
	int64_t attempt;
	const char *how;
	char saved[TEXT_MAX];
	bool seen;
	struct end *prev;
	struct end *next;
};

struct hold {
	struct zr_http_exchange *exchange;
	int64_t due_at;
	struct hold *prev;
	struct hold *next;
};

static struct {
	const char *id;
	const char *address;
	const char *control;
	const char *zone;
	const char *kind;
	const char *rack;
	int cpu;
	int mem_mb;
	bool tickets;
	int64_t born;
	int64_t base;
	int64_t fence;
	int64_t hold_until;
	int64_t last_number;
	int64_t sequence;
	struct run *runs;
	struct end *ends; /* all of them, also those that were seen */
	struct hold *holds;
} worker;

static int64_t clock_ms(void)
{
	return zr_time_to_ms(zr_clock_now(zr_clock_system())) - worker.base;
}

static int64_t unix_ms(void)
{
	struct timeval now;

	gettimeofday(&now, NULL);
	return (int64_t)now.tv_sec * 1000 + now.tv_usec / 1000;
}

static void note(const char *event, const char *task, int64_t attempt,
		 const char *detail)
{
	printf("%" PRId64 " %s %" PRId64 " %s %s %" PRId64 " %s\n", unix_ms(),
	       worker.id, worker.born, event, task, attempt, detail);
}

/* Runs */

static int64_t done_ms(const struct run *run)
{
	return run->resumed_ms + clock_ms() - run->started_at;
}

/* A checkpoint is the work done in digits, filled up to its length. */
static void format_saved(char out[TEXT_MAX], const struct run *run)
{
	int64_t saved_ms = done_ms(run) / SAVE_MS * SAVE_MS;

	out[0] = '\0';
	if (run->save_length && saved_ms > 0)
		snprintf(out, TEXT_MAX, "%0*" PRId64, run->save_length,
			 saved_ms);
}

static void end_run(struct run *run, const char *how)
{
	struct end *end = calloc(1, sizeof(*end));

	if (!end)
		abort();
	end->number = ++worker.last_number;
	memcpy(end->task, run->task, sizeof(end->task));
	end->attempt = run->attempt;
	end->how = how;
	format_saved(end->saved, run);
	DL_APPEND(worker.ends, end);
	note("end", run->task, run->attempt, how);
	DL_DELETE(worker.runs, run);
	free(run);
}

static struct run *find_run(const char *task)
{
	struct run *run;

	DL_FOREACH(worker.runs, run)
	{
		if (!strcmp(run->task, task))
			return run;
	}
	return NULL;
}

/* Whether a run of the work item that is not lower was stopped or has ended. */
static bool has_ended(const char *task, int64_t attempt)
{
	const struct end *end;

	DL_FOREACH(worker.ends, end)
	{
		if (!strcmp(end->task, task) && end->attempt >= attempt)
			return true;
	}
	return false;
}

static int64_t word(const char *spec, const char *name)
{
	const char *at = strstr(spec, name);

	return at ? strtoll(at + strlen(name), NULL, 10) : 0;
}

static int64_t used_cpu(void)
{
	const struct run *run;
	int64_t sum = 0;

	DL_FOREACH(worker.runs, run)
	sum += run->cpu;
	return sum;
}

static void begin_run(const char *task, int64_t attempt, const char *spec,
		      const char *checkpoint)
{
	struct run *run = calloc(1, sizeof(*run));
	char detail[2 * TEXT_MAX];

	if (!run)
		abort();
	snprintf(run->task, sizeof(run->task), "%s", task);
	run->attempt = attempt;
	run->lasts = strstr(spec, "serve") != NULL;
	run->work_ms = word(spec, "work=");
	run->cpu = word(spec, "cpu=");
	run->save_length = (int)word(spec, "save=");
	run->started_at = clock_ms();
	run->resumed_ms = strtoll(checkpoint, NULL, 10);
	DL_APPEND(worker.runs, run);
	snprintf(detail, sizeof(detail),
		 "kind=%s used=%" PRId64 " capacity=%d checkpoint=%s",
		 worker.kind, used_cpu(), worker.cpu, checkpoint);
	note("start", task, attempt, detail);
}

/* Requests */

static void reply(struct zr_http_exchange *exchange, int status, json_t *body)
{
	char *text;

	json_object_set_new(body, "clock_ms", json_integer(clock_ms()));
	json_object_set_new(body, "born", json_integer(worker.born));
	text = json_dumps(body, JSON_COMPACT);
	zr_http_reply(exchange, status, "application/json", text, strlen(text));
	free(text);
	json_decref(body);
}

static int64_t number(const json_t *request, const char *field)
{
	return json_integer_value(json_object_get(request, field));
}

static const char *text_of(const json_t *request, const char *field)
{
	const char *text = json_string_value(json_object_get(request, field));

	return text ? text : "";
}

static void renew(const json_t *request)
{
	int64_t until = number(request, "deadline_ms");
	int64_t max = clock_ms() + HOLD_MAX_MS;

	if (until > max)
		until = max;
	if (until > worker.hold_until)
		worker.hold_until = until;
}

static bool is_fenced(const json_t *request)
{
	int64_t fence = number(request, "fencing_token");

	if (fence < worker.fence)
		return true;
	worker.fence = fence;
	return false;
}

/* A ticket is "STEP/WORKER"; a work item's name begins with its step's. */
static bool has_ticket(const json_t *request)
{
	const char *task = text_of(request, "task");
	const char *ticket = text_of(request, "ticket");
	size_t length = (size_t)(strrchr(task, '.') - task);

	return !strncmp(ticket, task, length) && ticket[length] == '/' &&
	       !strcmp(ticket + length + 1, worker.id);
}

static const char *start_refusal(const json_t *request)
{
	const char *task = text_of(request, "task");
	int64_t attempt = number(request, "attempt");
	const struct run *run = find_run(task);

	if (is_fenced(request))
		return "fence";
	if (has_ended(task, attempt) || (run && run->attempt > attempt)) {
		renew(request);
		return "old";
	}
	if (number(request, "deadline_ms") <= clock_ms())
		return "late";
	if (worker.tickets && !has_ticket(request))
		return "ticket";
	return NULL;
}

static void serve_start(struct zr_http_exchange *exchange,
			const json_t *request)
{
	const char *refusal;

	if (!strchr(text_of(request, "task"), '.')) {
		reply(exchange, 400, json_object());
		return;
	}
	refusal = start_refusal(request);
	if (refusal) {
		note("reject", text_of(request, "task"),
		     number(request, "attempt"), refusal);
		reply(exchange, 409, json_pack("{s:s}", "reason", refusal));
		return;
	}
	renew(request);
	if (!find_run(text_of(request, "task")))
		begin_run(text_of(request, "task"), number(request, "attempt"),
			  text_of(request, "task_spec"),
			  text_of(request, "checkpoint"));
	reply(exchange, 200, json_object());
}

static void serve_stop(struct zr_http_exchange *exchange, const json_t *request)
{
	const char *task = text_of(request, "task");
	int64_t attempt = number(request, "attempt");
	struct run *run = find_run(task);
	struct end *end;

	if (is_fenced(request)) {
		reply(exchange, 409, json_pack("{s:s}", "reason", "fence"));
		return;
	}
	if (run && run->attempt <= attempt) {
		end_run(run, "stopped");
	} else if (!has_ended(task, attempt)) {
		/* A run that is not there yet is rejected from now on. */
		end = calloc(1, sizeof(*end));
		if (!end)
			abort();
		snprintf(end->task, sizeof(end->task), "%s", task);
		end->attempt = attempt;
		end->how = "stopped";
		end->seen = true;
		DL_APPEND(worker.ends, end);
	}
	reply(exchange, 200, json_object());
}

static void reply_lists(struct zr_http_exchange *exchange)
{
	json_t *running = json_array();
	json_t *finished = json_array();
	const struct run *run;
	const struct end *end;
	char saved[TEXT_MAX];

	DL_FOREACH(worker.runs, run)
	{
		int64_t total = run->lasts ? STARTUP_MS : run->work_ms + 1;
		int64_t percent = done_ms(run) * PERCENT / total;

		format_saved(saved, run);
		json_array_append_new(
			running,
			json_pack("[s, I, s, I, I]", run->task,
				  (json_int_t)run->attempt, saved,
				  (json_int_t)(percent < PERCENT ? percent
								 : PERCENT),
				  (json_int_t)run->cpu));
	}
	DL_FOREACH(worker.ends, end)
	{
		if (!end->seen)
			json_array_append_new(
				finished,
				json_pack("[I, s, I, s, s]",
					  (json_int_t)end->number, end->task,
					  (json_int_t)end->attempt, end->how,
					  end->saved));
	}
	reply(exchange, 200,
	      json_pack("{s:o, s:o}", "running", running, "finished",
			finished));
}

static bool has_unseen_end(void)
{
	const struct end *end;

	DL_FOREACH(worker.ends, end)
	{
		if (!end->seen)
			return true;
	}
	return false;
}

static void drop_hold(void *ctx)
{
	struct hold *hold = ctx;

	DL_DELETE(worker.holds, hold);
	free(hold);
}

static void serve_hold(struct zr_http_exchange *exchange, const json_t *request)
{
	int64_t last_seen = number(request, "last_seen");
	int64_t wait_ms = number(request, "wait_ms");
	struct hold *hold;
	struct end *end;

	if (is_fenced(request)) {
		reply(exchange, 409, json_pack("{s:s}", "reason", "fence"));
		return;
	}
	renew(request);
	DL_FOREACH(worker.ends, end)
	end->seen |= end->number <= last_seen;
	if (!wait_ms || has_unseen_end()) {
		reply_lists(exchange);
		return;
	}
	hold = calloc(1, sizeof(*hold));
	if (!hold)
		abort();
	hold->exchange = exchange;
	hold->due_at = clock_ms() + wait_ms;
	zr_http_set_on_disconnect(exchange, drop_hold, hold);
	DL_APPEND(worker.holds, hold);
}

static void serve(void *ctx, struct zr_http_exchange *exchange)
{
	const char *path = zr_http_get_path(exchange);
	const char *target = zr_http_get_header(exchange, "x-target-instance");
	size_t length;
	const char *text = zr_http_get_body(exchange, &length);
	json_t *request = json_loadb(text ? text : "", length, 0, NULL);

	(void)ctx;
	if (target && strcmp(target, worker.id))
		reply(exchange, 421, json_object());
	else if (!request && strcmp(path, "/health"))
		reply(exchange, 400, json_object());
	else if (!strcmp(path, "/-/run-start"))
		serve_start(exchange, request);
	else if (!strcmp(path, "/-/run-stop"))
		serve_stop(exchange, request);
	else if (!strcmp(path, "/-/hold"))
		serve_hold(exchange, request);
	else
		reply(exchange, 200, json_object());
	json_decref(request);
}

/* Time */

static void on_tick(uv_timer_t *timer)
{
	struct run *run;
	struct run *next;
	struct hold *hold;
	struct hold *next_hold;
	bool lapsed = clock_ms() >= worker.hold_until;

	(void)timer;
	DL_FOREACH_SAFE(worker.runs, run, next)
	{
		if (!run->lasts && done_ms(run) >= run->work_ms)
			end_run(run, "done");
		else if (lapsed)
			end_run(run, "lapsed");
	}
	DL_FOREACH_SAFE(worker.holds, hold, next_hold)
	{
		if (!has_unseen_end() && clock_ms() < hold->due_at)
			continue;
		DL_DELETE(worker.holds, hold);
		reply_lists(hold->exchange);
		free(hold);
	}
}

static void check_in(uv_timer_t *timer)
{
	char request[TEXT_MAX];
	char answer[TEXT_MAX];
	json_t *entry = json_pack(
		"{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:{s:i, s:i, s:i}, "
		"s:[s, s], s:I, s:I, s:I}",
		"service", "booths", "address", worker.address, "zone",
		worker.zone, "version", "v1", "slots", 8, "state", "ready",
		"cold_remaining_ms", 0, "capacity", "cpu", worker.cpu, "mem_mb",
		worker.mem_mb, "gpu", 0, "labels", worker.kind, worker.rack,
		"clock_ms", (json_int_t)clock_ms(), "seq",
		(json_int_t)++worker.sequence, "born", (json_int_t)worker.born);
	char *text = json_dumps(entry, JSON_COMPACT);

	(void)timer;
	snprintf(request, sizeof(request),
		 "POST /put/servers/%s HTTP/1.1\r\nHost: platform\r\n",
		 worker.id);
	if (call_http(answer, sizeof(answer), worker.control, request, text,
		      CHECK_IN_TIMEOUT_MS) != 200)
		fprintf(stderr, "check-in failed\n");
	free(text);
	json_decref(entry);
}

static void on_signal(uv_signal_t *handle, int signum)
{
	struct run *run;
	struct run *next;

	(void)handle;
	(void)signum;
	DL_FOREACH_SAFE(worker.runs, run, next)
	{
		if (run->lasts)
			end_run(run, "done");
	}
}

static void read_arguments(char **argv)
{
	worker.id = argv[1];
	worker.address = argv[2];
	worker.control = argv[3];
	worker.zone = argv[4];
	worker.kind = argv[5];
	worker.rack = argv[6];
	worker.cpu = (int)strtol(argv[7], NULL, 10);
	worker.mem_mb = (int)strtol(argv[8], NULL, 10);
	worker.born = unix_ms();
	worker.base = zr_time_to_ms(zr_clock_now(zr_clock_system()));
}

int main(int argc, char **argv)
{
	uv_loop_t *loop = uv_default_loop();
	struct zr_http_server *server;
	uv_signal_t signals;
	uv_timer_t tick;
	uv_timer_t timer;

	if (argc < 10)
		return 2;
	signal(SIGPIPE, SIG_IGN);
	setvbuf(stdout, NULL, _IOLBF, 0);
	read_arguments(argv);
	worker.tickets = argc > 10;
	note("boot", "-", 0, worker.kind);
	if (zr_http_server_new(&server, loop, worker.address, NULL, serve,
			       NULL) < 0) {
		fprintf(stderr, "%s\n", zr_error_last());
		return 2;
	}
	uv_signal_init(loop, &signals);
	uv_signal_start(&signals, on_signal, SIGUSR1);
	uv_timer_init(loop, &tick);
	uv_timer_start(&tick, on_tick, TICK_MS, TICK_MS);
	uv_timer_init(loop, &timer);
	uv_timer_start(&timer, check_in, strtoull(argv[9], NULL, 10),
		       CHECK_IN_MS);
	return uv_run(loop, UV_RUN_DEFAULT);
}

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <uthash.h>
#include <utlist.h>

#include "net/http_server.h"
#include "../../tests/soak/soak.h"
#include "world.h"

#define LEASE_MAX_MS 6000
#define HEARTBEAT_MS 1500
#define CHECKPOINT_MS 1000
#define ENDS_MAX 500
#define FAIL_AFTER_MS 100
#define RACK_SIZE 8
#define CHECKPOINT_MAX 32
#define SPREAD_STEP_MS 37
#define PERCENT 100

/* A run; the work item, its duration and the rest stand in the task_spec. */
struct run {
	size_t start; /* index in starts */
	char task[WORLD_NAME_MAX];
	int64_t attempt;
	int64_t began_at;
	int64_t duration_ms;
	bool saves;
	bool fails;
	char checkpoint[CHECKPOINT_MAX];
	struct run *prev;
	struct run *next;
	UT_hash_handle hh;
};

struct end {
	size_t start; /* index in starts */
	int64_t at;
	int64_t number;
	char task[WORLD_NAME_MAX];
	int64_t attempt;
	const char *outcome;
	char checkpoint[CHECKPOINT_MAX];
	struct end *prev;
	struct end *next;
};

/* Starts up to this attempt are rejected. */
struct rejected {
	char task[WORLD_NAME_MAX];
	int64_t attempt;
	UT_hash_handle hh;
};

struct poll {
	struct worker *worker;
	struct zr_http_exchange *exchange;
	int64_t due_at;
	struct poll *prev;
	struct poll *next;
};

struct worker {
	int index;
	int port;
	char name[32];
	int64_t born;
	int64_t born_at; /* its clock counts from here */
	int64_t sequence;
	int64_t registered_at;
	int64_t token;
	int64_t lease_until; /* of its own clock */
	int64_t lapsed_at;   /* when its lease was last seen to have lapsed */
	int64_t last_end;
	struct run *runs;
	struct run *run_by_task;
	struct end *ends;
	struct rejected *rejected;
	struct poll *polls;
	struct zr_http_server *server;
};

static struct world_options options;
static struct worker workers[WORLD_WORKERS];
static struct world_start *starts;
static size_t start_count;
static size_t start_alloc;
static int64_t failing_attempt;

static int64_t clock_ms(const struct worker *worker)
{
	return world_now_ms() - worker->born_at;
}

static int64_t wall_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

/* Registration */

static const char *zone_of(const struct worker *worker)
{
	static const char *const zones[] = {"north", "south", "west"};

	return zones[worker->index % 3];
}

static void register_worker(struct worker *worker)
{
	char key[64];
	char address[64];
	char rack[32];

	worker->registered_at = world_now_ms();
	snprintf(key, sizeof(key), "servers/%s", worker->name);
	snprintf(address, sizeof(address), "127.0.0.1:%d", worker->port);
	snprintf(rack, sizeof(rack), "r1-%d", worker->index / RACK_SIZE);
	soak_store_put(
		key,
		json_pack("{s:s, s:s, s:s, s:s, s:s, s:i, s:i, s:I, s:I, s:I, "
			  "s:{s:I, s:I, s:i}, s:[s, s]}",
			  "service", "pool", "address", address, "zone",
			  zone_of(worker), "version", "v1", "state", "ready",
			  "slots", 8, "cold_remaining_ms", 0, "born",
			  (json_int_t)worker->born, "clock_ms",
			  (json_int_t)clock_ms(worker), "seq",
			  (json_int_t)++worker->sequence, "capacity", "cpu",
			  (json_int_t)options.millicpus, "mem_mb",
			  (json_int_t)options.memory_mb, "gpu", 0, "labels",
			  worker->index < options.rare_workers ? "b" : "a",
			  rack));
}

static void begin_life(struct worker *worker)
{
	worker->born = wall_ms();
	worker->born_at = world_now_ms();
	worker->sequence = 0;
	register_worker(worker);
}

/* Runs */

static int64_t spec_number(const char *spec, const char *name)
{
	const char *at = strstr(spec, name);

	return at ? atoll(at + strlen(name)) : 0;
}

static void reject(struct worker *worker, const char *task, int64_t attempt)
{
	struct rejected *rejected;

	HASH_FIND_STR(worker->rejected, task, rejected);
	if (!rejected) {
		rejected = calloc(1, sizeof(*rejected));
		if (!rejected)
			abort();
		snprintf(rejected->task, sizeof(rejected->task), "%s", task);
		HASH_ADD_STR(worker->rejected, task, rejected);
	}
	if (attempt > rejected->attempt)
		rejected->attempt = attempt;
}

static void drop_run(struct worker *worker, struct run *run,
		     const char *outcome)
{
	struct world_start *start = &starts[run->start];

	start->ended_at = world_now_ms();
	start->outcome = outcome;
	world_record("end %s attempt=%" PRId64 " on=%s how=%s", run->task,
		     run->attempt, worker->name, outcome);
	HASH_DEL(worker->run_by_task, run);
	DL_DELETE(worker->runs, run);
	free(run);
}

static void end_run(struct worker *worker, struct run *run, const char *outcome)
{
	struct end *end = calloc(1, sizeof(*end));

	if (!end)
		abort();
	end->start = run->start;
	end->at = world_now_ms();
	end->number = ++worker->last_end;
	snprintf(end->task, sizeof(end->task), "%s", run->task);
	end->attempt = run->attempt;
	end->outcome = outcome;
	if (run->saves)
		snprintf(end->checkpoint, sizeof(end->checkpoint), "%s",
			 run->checkpoint);
	DL_APPEND(worker->ends, end);
	reject(worker, run->task, run->attempt);
	drop_run(worker, run, outcome);
}

/* Work items of one step take different times. */
static int64_t spread_of(const char *task)
{
	return atoll(strrchr(task, '.') + 1);
}

static void begin_run(struct worker *worker, json_t *request)
{
	const char *task = json_string_value(json_object_get(request, "task"));
	const char *spec =
		json_string_value(json_object_get(request, "task_spec"));
	const char *checkpoint =
		json_string_value(json_object_get(request, "checkpoint"));
	int64_t spread_ms = spec_number(spec, "spread=");
	struct run *run = calloc(1, sizeof(*run));

	if (!run)
		abort();
	if (start_count == start_alloc) {
		start_alloc = start_alloc ? 2 * start_alloc : 256;
		starts = realloc(starts, start_alloc * sizeof(*starts));
		if (!starts)
			abort();
	}
	if (!checkpoint)
		checkpoint = "";
	snprintf(run->task, sizeof(run->task), "%s", task);
	run->attempt = json_integer_value(json_object_get(request, "attempt"));
	run->start = start_count;
	run->began_at = world_now_ms();
	run->duration_ms = spec_number(spec, "ms=");
	if (spread_ms > 0)
		run->duration_ms +=
			spread_of(task) * SPREAD_STEP_MS % spread_ms;
	run->saves = spec_number(spec, "saves=") != 0;
	run->fails = failing_attempt && run->attempt == failing_attempt;
	snprintf(run->checkpoint, sizeof(run->checkpoint), "%s", checkpoint);
	starts[start_count] = (struct world_start){
		.attempt = run->attempt,
		.worker = worker->index,
		.at = world_now_ms(),
	};
	snprintf(starts[start_count].task, WORLD_NAME_MAX, "%s", task);
	start_count++;
	world_record("start %s attempt=%" PRId64 " on=%s checkpoint=%s", task,
		     run->attempt, worker->name, checkpoint);
	DL_APPEND(worker->runs, run);
	HASH_ADD_STR(worker->run_by_task, task, run);
}

/* Requests */

static void reply(const struct worker *worker,
		  struct zr_http_exchange *exchange, int status,
		  const char *reason)
{
	json_t *body = json_pack("{s:I, s:I}", "clock_ms",
				 (json_int_t)clock_ms(worker), "born",
				 (json_int_t)worker->born);

	if (reason)
		json_object_set_new(body, "reason", json_string(reason));
	soak_reply(exchange, status, body);
}

static int64_t number_of(json_t *request, const char *field)
{
	return json_integer_value(json_object_get(request, field));
}

static bool is_fenced(struct worker *worker, json_t *request)
{
	int64_t token = number_of(request, "fencing_token");

	if (token < worker->token)
		return true;
	worker->token = token;
	return false;
}

static void renew(struct worker *worker, json_t *request)
{
	int64_t until = number_of(request, "deadline_ms");

	if (until > clock_ms(worker) + LEASE_MAX_MS)
		until = clock_ms(worker) + LEASE_MAX_MS;
	if (until > worker->lease_until)
		worker->lease_until = until;
}

static void serve_start(struct worker *worker,
			struct zr_http_exchange *exchange, json_t *request)
{
	const char *task = json_string_value(json_object_get(request, "task"));
	int64_t attempt = number_of(request, "attempt");
	struct rejected *rejected;
	struct run *run;

	if (is_fenced(worker, request)) {
		reply(worker, exchange, 409, "fence");
		return;
	}
	HASH_FIND_STR(worker->rejected, task, rejected);
	HASH_FIND_STR(worker->run_by_task, task, run);
	if (run && run->attempt == attempt)
		reply(worker, exchange, 200, NULL);
	else if (run || (rejected && attempt <= rejected->attempt))
		reply(worker, exchange, 409, "old");
	else if (number_of(request, "deadline_ms") <= clock_ms(worker))
		reply(worker, exchange, 409, "late");
	else {
		renew(worker, request);
		begin_run(worker, request);
		reply(worker, exchange, 200, NULL);
	}
}

static void serve_stop(struct worker *worker, struct zr_http_exchange *exchange,
		       json_t *request)
{
	const char *task = json_string_value(json_object_get(request, "task"));
	int64_t attempt = number_of(request, "attempt");
	struct run *run;

	if (is_fenced(worker, request)) {
		reply(worker, exchange, 409, "fence");
		return;
	}
	reject(worker, task, attempt);
	HASH_FIND_STR(worker->run_by_task, task, run);
	if (run && run->attempt <= attempt)
		end_run(worker, run, "stopped");
	reply(worker, exchange, 200, NULL);
}

static int64_t percent_of(const struct run *run)
{
	int64_t elapsed_ms = world_now_ms() - run->began_at;

	return elapsed_ms * PERCENT / (run->duration_ms + 1);
}

static void reply_with_lists(const struct worker *worker,
			     struct zr_http_exchange *exchange)
{
	json_t *running = json_array();
	json_t *finished = json_array();
	const struct run *run;
	const struct end *end;

	DL_FOREACH(worker->runs, run)
	json_array_append_new(
		running, json_pack("[s, I, s, I, i]", run->task,
				   (json_int_t)run->attempt, run->checkpoint,
				   (json_int_t)percent_of(run), 0));
	DL_FOREACH(worker->ends, end)
	{
		if (json_array_size(finished) == ENDS_MAX)
			break;
		json_array_append_new(
			finished,
			json_pack("[I, s, I, s, s]", (json_int_t)end->number,
				  end->task, (json_int_t)end->attempt,
				  end->outcome, end->checkpoint));
	}
	soak_reply(exchange, 200,
		   json_pack("{s:I, s:I, s:o, s:o}", "clock_ms",
			     (json_int_t)clock_ms(worker), "born",
			     (json_int_t)worker->born, "running", running,
			     "finished", finished));
}

static void drop_poll(void *ctx)
{
	struct poll *poll = ctx;

	DL_DELETE(poll->worker->polls, poll);
	free(poll);
}

static void serve_hold(struct worker *worker, struct zr_http_exchange *exchange,
		       json_t *request)
{
	struct poll *poll;
	struct end *end;
	struct end *next;

	if (is_fenced(worker, request)) {
		reply(worker, exchange, 409, "fence");
		return;
	}
	renew(worker, request);
	DL_FOREACH_SAFE(worker->ends, end, next)
	{
		if (end->number > number_of(request, "last_seen"))
			break;
		starts[end->start].noted |= !strcmp(end->outcome, "done") &&
					    end->at > worker->lapsed_at;
		world_record("noted %s attempt=%" PRId64 " how=%s", end->task,
			     end->attempt, end->outcome);
		DL_DELETE(worker->ends, end);
		free(end);
	}
	if (worker->ends || !number_of(request, "wait_ms")) {
		reply_with_lists(worker, exchange);
		return;
	}
	poll = calloc(1, sizeof(*poll));
	if (!poll)
		abort();
	poll->worker = worker;
	poll->exchange = exchange;
	poll->due_at = world_now_ms() + number_of(request, "wait_ms");
	zr_http_set_on_disconnect(exchange, drop_poll, poll);
	DL_APPEND(worker->polls, poll);
}

static void serve(void *ctx, struct zr_http_exchange *exchange)
{
	struct worker *worker = ctx;
	const char *path = zr_http_get_path(exchange);
	const char *target = zr_http_get_header(exchange, "x-target-instance");
	size_t length;
	const char *text = zr_http_get_body(exchange, &length);
	json_t *request = json_loadb(text ? text : "", length, 0, NULL);

	if (target && strcmp(target, worker->name))
		reply(worker, exchange, 421, NULL);
	else if (!request)
		reply(worker, exchange, 400, NULL);
	else if (!strcmp(path, "/-/run-start"))
		serve_start(worker, exchange, request);
	else if (!strcmp(path, "/-/run-stop"))
		serve_stop(worker, exchange, request);
	else if (!strcmp(path, "/-/hold"))
		serve_hold(worker, exchange, request);
	else
		reply(worker, exchange, 404, NULL);
	json_decref(request);
}

/* Time */

static void tick_run(struct worker *worker, struct run *run)
{
	int64_t worked_ms = world_now_ms() - run->began_at;

	if (run->saves && worked_ms >= CHECKPOINT_MS)
		snprintf(run->checkpoint, sizeof(run->checkpoint),
			 "%016" PRIx64,
			 run->began_at + worked_ms / CHECKPOINT_MS);
	if (run->fails && worked_ms >= FAIL_AFTER_MS)
		end_run(worker, run, "failed");
	else if (worked_ms >= run->duration_ms)
		end_run(worker, run, "done");
	else if (clock_ms(worker) >= worker->lease_until)
		end_run(worker, run, "lapsed");
}

static void tick_worker(struct worker *worker)
{
	int64_t now = world_now_ms();
	struct poll *poll;
	struct poll *next_poll;
	struct run *run;
	struct run *next;

	if (now - worker->registered_at >= HEARTBEAT_MS)
		register_worker(worker);
	if (clock_ms(worker) >= worker->lease_until)
		worker->lapsed_at = now;
	DL_FOREACH_SAFE(worker->runs, run, next)
	tick_run(worker, run);
	DL_FOREACH_SAFE(worker->polls, poll, next_poll)
	{
		if (!worker->ends && now < poll->due_at)
			continue;
		DL_DELETE(worker->polls, poll);
		reply_with_lists(worker, poll->exchange);
		free(poll);
	}
}

void workers_tick(void)
{
	int i;

	for (i = 0; i < WORLD_WORKERS; i++)
		tick_worker(&workers[i]);
}

void workers_fail_attempt(int64_t attempt)
{
	failing_attempt = attempt;
}

const struct world_start *workers_starts(size_t *out_count)
{
	*out_count = start_count;
	return starts;
}

int workers_begin(const struct world_options *world_options, int port)
{
	struct zr_http_server_options server_options =
		ZR_HTTP_SERVER_OPTIONS_INIT;
	char address[64];
	int error = 0;
	int i;

	options = *world_options;
	for (i = 0; i < WORLD_WORKERS && !error; i++) {
		struct worker *worker = &workers[i];

		worker->index = i;
		worker->port = port + i;
		snprintf(worker->name, sizeof(worker->name), "i-7f3a%04d", i);
		snprintf(address, sizeof(address), "127.0.0.1:%d", port + i);
		error = zr_http_server_new(&worker->server, uv_default_loop(),
					   address, &server_options, serve,
					   worker);
		begin_life(worker);
	}
	return error;
}

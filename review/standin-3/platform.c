#include <inttypes.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <utlist.h>
#include <uv.h>

#include "base64.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "world.h"
#include "zinniarack/clock.h"
#include "zinniarack/errors.h"

#define TICK_MS 2
#define HOSTS_MAX 4
#define WORKERS_MAX 48
/* Longest lease that a worker grants: max_hold_ms of the small sites. */
#define LEASE_MAX_MS 6000
#define GANG_TIMEOUT_MS 3000
#define HEARTBEAT_MS 1500
#define CHECKPOINT_MS 500
#define REPORTED_ENDS_MAX 500
#define READY_WITHIN_MS 20000
#define ASK_INTERVAL_MS 400
#define OWNER_INTERVAL_MS 100
#define CLIENT_TIMEOUT_MS 3000
#define PERCENT 100
#define FDS_MAX 4096
#define HOST_PORT(i) (20 + 5 * (i))
#define WORKER_PORT(i) (60 + (i))
/* An unhealthy worker needs this long for its refusal. */
#define REFUSAL_MS 150

struct end {
	int64_t number;
	char task[WORLD_NAME_MAX];
	int64_t attempt;
	const char *how;
	struct end *prev;
	struct end *next;
};

/* The highest attempt of a work item that was stopped or has ended. */
struct ended {
	char task[WORLD_NAME_MAX];
	int64_t attempt;
	UT_hash_handle hh;
};

/* A call that is answered later: a poll that waits, or a late refusal. */
struct waiting {
	struct zr_http_exchange *exchange;
	struct world_worker *worker;
	int64_t due_at;
	int status; /* of a refusal; 0: a poll */
	struct waiting *prev;
	struct waiting *next;
};

struct world_worker {
	char name[32];
	int64_t born;
	int64_t clock_base;
	int64_t token;
	int64_t lease_ends_at; /* on its own clock */
	int64_t last_number;
	int64_t down_until;
	bool dark;
	int cpu;
	int64_t heartbeat_at;
	int64_t seq;
	struct world_run *runs;
	struct end *ends;
	struct ended *ended;
	struct zr_http_server *server;
};

/* A checkpoint that a run has saved. */
struct saved {
	char task[WORLD_NAME_MAX];
	char checkpoint[WORLD_NAME_MAX];
	struct saved *next;
};

static struct {
	const struct world_case *the_case;
	struct saved *saved;
	bool trouble;
	int port;
	int hosts;
	pid_t relays[HOSTS_MAX];
	FILE *record;
	bool broken;
	struct world_worker workers[WORKERS_MAX];
	struct waiting *waiting;
	struct world_job *jobs;
	struct zr_http_client *clients[HOSTS_MAX];
	struct zr_http_client *probes[HOSTS_MAX];
	bool ready[HOSTS_MAX];
	bool probing[HOSTS_MAX];
	int64_t began_at;
	int64_t ready_at;
	int64_t store_back_at;
	int version;
	int owner;
	bool asking_owner;
	struct zr_http_client *store;
} world = {.owner = -1};

int64_t soak_now_ms(void)
{
	return zr_time_to_ms(zr_clock_now(zr_clock_system()));
}

static int64_t wall_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void soak_violation(const char *format, ...)
{
	(void)format;
}

void soak_reply(struct zr_http_exchange *exchange, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	zr_http_reply(exchange, status, "application/json", text, strlen(text));
	free(text);
	json_decref(body);
}

bool world_trouble(void)
{
	return world.trouble;
}

int world_hosts(void)
{
	return world.hosts;
}

static void write_line(const char *word, const char *format, va_list args)
{
	fprintf(world.record, "%7" PRId64 " %s", soak_now_ms() - world.began_at,
		word);
	vfprintf(world.record, format, args);
	fputc('\n', world.record);
}

void world_record(const char *format, ...)
{
	va_list args;

	va_start(args, format);
	write_line("", format, args);
	va_end(args);
}

void world_broken(const char *format, ...)
{
	va_list args;

	world.broken = true;
	va_start(args, format);
	write_line("BROKEN ", format, args);
	va_end(args);
}

static void end_with(int status)
{
	fclose(world.record);
	exit(status);
}

void world_finish(void)
{
	world_record("result %s", world.broken ? "broken" : "held");
	end_with(world.broken);
}

void world_cannot_run(const char *why)
{
	world_record("cannot run: %s", why);
	end_with(2);
}

/* Jobs and clients */

struct world_job *world_new_job(const char *tenant, const char *key,
				const char *prefix)
{
	static unsigned int count;
	struct world_job *job = calloc(1, sizeof(*job));

	count++;
	snprintf(job->id, sizeof(job->id), "%08x%08x", count * 2654435761U,
		 count);
	snprintf(job->tenant, sizeof(job->tenant), "%s", tenant);
	snprintf(job->key, sizeof(job->key), "%s", key);
	snprintf(job->prefix, sizeof(job->prefix), "%s", prefix);
	HASH_ADD_STR(world.jobs, id, job);
	return job;
}

struct world_step *world_add_step(struct world_job *job, int count, int cpu,
				  bool gang, int work_ms)
{
	struct world_step *step = &job->steps[job->step_count++];

	*step = (struct world_step){
		.count = count, .cpu = cpu, .gang = gang, .work_ms = work_ms};
	return step;
}

struct world_job *world_jobs(void)
{
	return world.jobs;
}

static void call_host(const struct world_job *job, int host, const char *method,
		      const char *body, zr_http_done_fn done)
{
	char path[64];
	char authorization[64];
	const struct zr_http_header_field headers[] = {
		{"X-Request-Deadline", "3000"},
		{"Authorization", authorization},
	};
	const struct zr_http_call call = {
		.method = method,
		.path = path,
		.content_type = "application/json",
		.headers = headers,
		.header_count = 2,
		.body = body,
		.body_length = body ? strlen(body) : 0,
		.timeout_ms = CLIENT_TIMEOUT_MS,
	};

	snprintf(path, sizeof(path), "%s%s", job->prefix, job->id);
	snprintf(authorization, sizeof(authorization), "Bearer %s", job->key);
	zr_http_client_call(world.clients[host], &call, done, (void *)job);
}

static void on_submitted(void *ctx, int error,
			 const struct zr_http_response *response)
{
	struct world_job *job = ctx;

	job->status = error < 0 ? -1 : response->status;
	if (job->status / 100 == 2 && !job->accepted_at)
		job->accepted_at = soak_now_ms();
	world_record("answer POST %s %d %s", job->id, job->status,
		     error < 0 ? "" : response->body);
}

void world_submit(struct world_job *job, int host)
{
	json_t *steps = json_array();
	json_t *body;
	char spec[32];
	char *text;
	int i;

	for (i = 0; i < job->step_count; i++) {
		const struct world_step *from = &job->steps[i];
		json_t *step = json_pack(
			"{s:i, s:i, s:i, s:i}", "count", from->count, "cpu",
			from->cpu, "mem_mb", 16, "estimate_ms", from->work_ms);

		if (from->gang)
			json_object_set_new(step, "gang", json_true());
		if (from->lasts)
			json_object_set_new(step, "long_running", json_true());
		if (from->saves)
			json_object_set_new(step, "checkpointing", json_true());
		if (from->label[0])
			json_object_set_new(step, "constraints",
					    json_string(from->label));
		if (i)
			json_object_set_new(step, "after",
					    json_pack("[i]", i - 1));
		json_array_append_new(steps, step);
	}
	snprintf(spec, sizeof(spec), "work %s", job->id);
	body = json_pack("{s:s, s:o}", "task_spec", spec, "steps", steps);
	text = json_dumps(body, JSON_COMPACT);
	job->status = 0;
	world_record("sent POST %s%s to host %d: %s", job->prefix, job->id,
		     host, text);
	call_host(job, host, "POST", text, on_submitted);
	free(text);
	json_decref(body);
}

static void on_state(void *ctx, int error,
		     const struct zr_http_response *response)
{
	struct world_job *job = ctx;
	json_t *body = NULL;
	const char *state;

	job->asking = false;
	if (!error && response->status == 200)
		body = json_loads(response->body, 0, NULL);
	state = json_string_value(json_object_get(body, "state"));
	if (state && strcmp(state, job->state)) {
		snprintf(job->state, sizeof(job->state), "%s", state);
		world_record("answer GET %s %s", job->id, state);
	} else if (!error && response->status != 200) {
		world_record("answer GET %s %d", job->id, response->status);
	}
	json_decref(body);
}

static bool has_ended(const struct world_job *job)
{
	return !strcmp(job->state, "completed") ||
	       !strcmp(job->state, "failed") ||
	       !strcmp(job->state, "cancelled");
}

static void ask_for_states(int64_t now)
{
	struct world_job *job;
	struct world_job *next;
	static int host;

	HASH_ITER (hh, world.jobs, job, next) {
		if (!job->accepted_at || job->asking || has_ended(job) ||
		    now - job->asked_at < ASK_INTERVAL_MS)
			continue;
		job->asking = true;
		job->asked_at = now;
		call_host(job, host++ % world.hosts, "GET", NULL, on_state);
	}
}

/* Workers */

static int64_t clock_of(const struct world_worker *worker)
{
	return soak_now_ms() - worker->clock_base;
}

static bool is_up(const struct world_worker *worker)
{
	return !worker->down_until;
}

bool world_worker_is_up(int worker)
{
	return is_up(&world.workers[worker]);
}

/* A worker cannot write while the store is down, and tries again later. */
static void register_worker(struct world_worker *worker)
{
	int index = (int)(worker - world.workers);
	char address[32];
	char key[64];
	char rack[16];

	snprintf(address, sizeof(address), "127.0.0.1:%d",
		 world.port + WORKER_PORT(index));
	snprintf(key, sizeof(key), "servers/%s", worker->name);
	snprintf(rack, sizeof(rack), "r1-%d", index / 4);
	worker->heartbeat_at = soak_now_ms() + HEARTBEAT_MS;
	if (soak_now_ms() < world.store_back_at)
		return;
	soak_store_put(
		key,
		json_pack("{s:s, s:s, s:s, s:s, s:s, s:i, s:i, s:I, s:I, s:I, "
			  "s:{s:i, s:i, s:i}, s:[s, s]}",
			  "service", "pool", "address", address, "zone", "z1",
			  "version", "1", "state", "ready", "slots", 8,
			  "cold_remaining_ms", 0, "seq",
			  (json_int_t)++worker->seq, "born",
			  (json_int_t)worker->born, "clock_ms",
			  (json_int_t)clock_of(worker), "capacity", "cpu",
			  worker->cpu, "mem_mb", 65536, "gpu", 0, "labels",
			  world.the_case->kinds ? world.the_case->kinds[index]
						: "a",
			  rack));
}

/*
 * Resets the open connections to a worker: those sockets of this process that
 * have its port. The server closes them when they are shut down.
 */
static void reset_connections(const struct world_worker *worker)
{
	const struct linger reset = {.l_onoff = 1, .l_linger = 0};
	int port = world.port + WORKER_PORT((int)(worker - world.workers));
	int fd;

	for (fd = 3; fd < FDS_MAX; fd++) {
		struct sockaddr_in address = {0};
		socklen_t size = sizeof(address);

		if (getsockname(fd, (struct sockaddr *)&address, &size) < 0 ||
		    address.sin_family != AF_INET ||
		    ntohs(address.sin_port) != port)
			continue;
		size = sizeof(address);
		if (getpeername(fd, (struct sockaddr *)&address, &size) < 0)
			continue;
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
		shutdown(fd, SHUT_RDWR);
	}
}

static struct zr_http_server *listen_on(uv_loop_t *loop, int port,
					zr_http_handler_fn handler, void *ctx);
static void serve_worker(void *ctx, struct zr_http_exchange *exchange);

static void start_server(struct world_worker *worker)
{
	int index = (int)(worker - world.workers);

	worker->server =
		listen_on(uv_default_loop(), world.port + WORKER_PORT(index),
			  serve_worker, worker);
}

static void boot(struct world_worker *worker)
{
	if (worker->dark)
		reset_connections(worker);
	if (!worker->server)
		start_server(worker);
	worker->down_until = 0;
	worker->dark = false;
	worker->born = wall_ms();
	worker->clock_base = soak_now_ms();
	register_worker(worker);
	world_record("worker %s is up, born %" PRId64, worker->name,
		     worker->born);
}

static void reject_up_to(struct world_worker *worker, const char *task,
			 int64_t attempt)
{
	struct ended *ended;

	HASH_FIND_STR(worker->ended, task, ended);
	if (!ended) {
		ended = calloc(1, sizeof(*ended));
		snprintf(ended->task, sizeof(ended->task), "%s", task);
		HASH_ADD_STR(worker->ended, task, ended);
	}
	if (attempt > ended->attempt)
		ended->attempt = attempt;
}

static void end_run(struct world_worker *worker, struct world_run *run,
		    const char *how)
{
	struct end *end = calloc(1, sizeof(*end));

	end->number = ++worker->last_number;
	snprintf(end->task, sizeof(end->task), "%s", run->task);
	end->attempt = run->attempt;
	end->how = how;
	DL_APPEND(worker->ends, end);
	reject_up_to(worker, run->task, run->attempt);
	run->job->failed_runs += !strcmp(how, "failed");
	run->job->lost_runs += !strcmp(how, "lost");
	world_record("ended %s run %" PRId64 " on %s %s", run->task,
		     run->attempt, worker->name, how);
	DL_DELETE(worker->runs, run);
	free(run);
}

static bool same_gang(const struct world_run *a, const struct world_run *b)
{
	size_t length = (size_t)(strrchr(a->task, '.') - a->task) + 1;

	return a->step->gang && b->step->gang && a->attempt == b->attempt &&
	       !strncmp(a->task, b->task, length);
}

/* Ends the other members of a gang of which one has ended. */
static void end_gang(const struct world_run *of, const char *how)
{
	struct world_run copy = *of;
	int i;

	for (i = 0; copy.step->gang && i < world.the_case->workers; i++) {
		struct world_run *run;
		struct world_run *next;

		DL_FOREACH_SAFE(world.workers[i].runs, run, next)
		{
			if (run != of && same_gang(&copy, run))
				end_run(&world.workers[i], run, how);
		}
	}
}

static void end_with_gang(struct world_worker *worker, struct world_run *run,
			  const char *how)
{
	end_gang(run, strcmp(how, "done") ? "broken" : "done");
	end_run(worker, run, how);
}

static void begin_gang_if_complete(const struct world_run *of)
{
	int64_t now = soak_now_ms();
	int members = 0;
	int pass;
	int i;

	for (pass = 0; pass < 2; pass++) {
		if (pass && members < of->step->count)
			return;
		for (i = 0; i < world.the_case->workers; i++) {
			struct world_run *run;

			DL_FOREACH(world.workers[i].runs, run)
			{
				if (!same_gang(of, run))
					continue;
				if (pass)
					run->ends_at = now + run->step->work_ms;
				else
					members++;
			}
		}
	}
}

int64_t world_tenant_cpu(const char *tenant)
{
	const struct world_run *run;
	int64_t sum = 0;
	int i;

	for (i = 0; i < world.the_case->workers; i++) {
		DL_FOREACH(world.workers[i].runs, run)
		{
			if (!strcmp(run->job->tenant, tenant))
				sum += run->step->cpu;
		}
	}
	return sum;
}

static struct world_run *find_run(const struct world_worker *worker,
				  const char *task)
{
	struct world_run *run;

	DL_FOREACH(worker->runs, run)
	{
		if (!strcmp(run->task, task))
			return run;
	}
	return NULL;
}

/* For a call that stays without an answer. */
static void ignore_disconnect(void *ctx)
{
	(void)ctx;
}

void world_crash(int index, int down_ms)
{
	struct world_worker *worker = &world.workers[index];
	struct waiting *call;
	struct waiting *next_call;
	struct ended *ended;
	struct ended *next_ended;
	struct end *end;
	struct end *next;

	world_record("worker %s crashes", worker->name);
	while (worker->runs)
		end_with_gang(worker, worker->runs, "lost");
	DL_FOREACH_SAFE(worker->ends, end, next)
	{
		DL_DELETE(worker->ends, end);
		free(end);
	}
	HASH_ITER (hh, worker->ended, ended, next_ended) {
		HASH_DEL(worker->ended, ended);
		free(ended);
	}
	DL_FOREACH_SAFE(world.waiting, call, next_call)
	{
		if (call->worker != worker)
			continue;
		DL_DELETE(world.waiting, call);
		zr_http_set_on_disconnect(call->exchange, ignore_disconnect,
					  NULL);
		free(call);
	}
	if (!worker->dark) {
		reset_connections(worker);
		zr_http_server_stop(worker->server);
		worker->server = NULL;
	}
	worker->token = 0;
	worker->lease_ends_at = 0;
	worker->last_number = 0;
	worker->down_until = soak_now_ms() + down_ms;
}

void world_shrink(int index, int cpu)
{
	struct world_worker *worker = &world.workers[index];

	world_record("worker %s has %d instead of %d", worker->name, cpu,
		     worker->cpu);
	worker->cpu = cpu;
	if (soak_now_ms() >= world.store_back_at)
		register_worker(worker);
}

int world_worker_capacity(int index)
{
	return world.workers[index].cpu;
}

int64_t world_worker_cpu(int index)
{
	const struct world_run *run;
	int64_t sum = 0;

	DL_FOREACH(world.workers[index].runs, run)
	{
		sum += run->step->cpu;
	}
	return sum;
}

void world_store_is_down(int ms)
{
	world_record("the store is down for %d ms", ms);
	world.store_back_at = soak_now_ms() + ms;
	soak_store_down(ms, true);
}

void world_go_dark(int index, int down_ms)
{
	world.workers[index].dark = true;
	world_crash(index, down_ms);
}

bool world_has_saved(const char *task, const char *checkpoint)
{
	const struct saved *saved;

	LL_FOREACH(world.saved, saved)
	{
		if (!strcmp(saved->task, task) &&
		    !strcmp(saved->checkpoint, checkpoint))
			return true;
	}
	return false;
}

/* A checkpoint is the digest of what was saved, 64 hexadecimal digits. */
static void save(struct world_run *run, int64_t now)
{
	struct saved *saved = calloc(1, sizeof(*saved));
	uint64_t digest = 1469598103934665603U;
	const char *c;
	size_t used = 0;

	run->saved_at = now;
	for (c = run->task; *c; c++)
		digest = (digest ^ (unsigned char)*c) * 1099511628211U;
	digest += (uint64_t)(now - run->started_at);
	while (used < 64) {
		digest = digest * 6364136223846793005U + 1442695040888963407U;
		used += (size_t)snprintf(run->checkpoint + used,
					 sizeof(run->checkpoint) - used,
					 "%016" PRIx64, digest);
	}
	snprintf(saved->task, sizeof(saved->task), "%s", run->task);
	snprintf(saved->checkpoint, sizeof(saved->checkpoint), "%s",
		 run->checkpoint);
	LL_PREPEND(world.saved, saved);
	world_record("saved %s on run %" PRId64 ": %s", run->task, run->attempt,
		     run->checkpoint);
}

/* Calls of the hosts to a worker */

static json_t *clock_body(const struct world_worker *worker)
{
	return json_pack("{s:I, s:I}", "clock_ms", (json_int_t)clock_of(worker),
			 "born", (json_int_t)worker->born);
}

static void refuse(struct zr_http_exchange *exchange,
		   const struct world_worker *worker, const char *reason)
{
	json_t *body = clock_body(worker);

	json_object_set_new(body, "reason", json_string(reason));
	soak_reply(exchange, 409, body);
}

static int64_t number(json_t *request, const char *field)
{
	return json_integer_value(json_object_get(request, field));
}

static const char *text_of(json_t *request, const char *field)
{
	const char *text = json_string_value(json_object_get(request, field));

	return text ? text : "";
}

static bool is_fenced(struct world_worker *worker, json_t *request)
{
	int64_t token = number(request, "fencing_token");

	if (token < worker->token)
		return true;
	worker->token = token;
	return false;
}

static void renew(struct world_worker *worker, json_t *request)
{
	int64_t until = number(request, "deadline_ms");
	int64_t longest = clock_of(worker) + LEASE_MAX_MS;

	if (until > longest)
		until = longest;
	if (until > worker->lease_ends_at)
		worker->lease_ends_at = until;
}

static struct world_job *job_of(const char *task)
{
	struct world_job *job;
	char id[20];

	snprintf(id, sizeof(id), "%.16s", task);
	HASH_FIND_STR(world.jobs, id, job);
	return job;
}

static void on_dropped(void *ctx)
{
	struct waiting *call = ctx;

	DL_DELETE(world.waiting, call);
	free(call);
}

static void wait_with(struct zr_http_exchange *exchange,
		      struct world_worker *worker, int64_t ms, int status)
{
	struct waiting *call = calloc(1, sizeof(*call));

	call->exchange = exchange;
	call->worker = worker;
	call->due_at = soak_now_ms() + ms;
	call->status = status;
	zr_http_set_on_disconnect(exchange, on_dropped, call);
	DL_APPEND(world.waiting, call);
}

static void begin_run(struct world_worker *worker, struct world_job *job,
		      json_t *request)
{
	struct world_run *run = calloc(1, sizeof(*run));
	int step = 0;

	snprintf(run->task, sizeof(run->task), "%s", text_of(request, "task"));
	sscanf(run->task + 17, "%*d.%d", &step);
	run->attempt = number(request, "attempt");
	run->job = job;
	run->step = &job->steps[step < job->step_count ? step : 0];
	run->started_at = soak_now_ms();
	run->saved_at = run->started_at;
	if (!run->step->gang && !run->step->lasts)
		run->ends_at = run->started_at + run->step->work_ms;
	DL_APPEND(worker->runs, run);
	world_record("began %s run %" PRId64 " on %s: %s has %" PRId64
		     " running",
		     run->task, run->attempt, worker->name, job->tenant,
		     world_tenant_cpu(job->tenant));
	if (run->step->gang)
		begin_gang_if_complete(run);
	if (world.the_case->run_begun)
		world.the_case->run_begun(run);
	if (world.the_case->run_begun_on)
		world.the_case->run_begun_on((int)(worker - world.workers),
					     run);
	if (world.the_case->checkpoint_given &&
	    text_of(request, "checkpoint")[0])
		world.the_case->checkpoint_given(
			run, text_of(request, "checkpoint"));
}

static void serve_start(struct world_worker *worker,
			struct zr_http_exchange *exchange, json_t *request)
{
	const char *task = text_of(request, "task");
	struct world_job *job = job_of(task);
	const struct world_run *run = find_run(worker, task);
	int64_t attempt = number(request, "attempt");
	struct ended *ended;
	int status = 0;

	if (!job) {
		soak_reply(exchange, 400, clock_body(worker));
		return;
	}
	if (world.the_case->start_arrives)
		status = world.the_case->start_arrives(
			(int)(worker - world.workers), job);
	if (status) {
		world_record("start of %s refused by %s with %d", task,
			     worker->name, status);
		wait_with(exchange, worker, REFUSAL_MS, status);
		return;
	}
	if (is_fenced(worker, request)) {
		refuse(exchange, worker, "fence");
		return;
	}
	renew(worker, request);
	HASH_FIND_STR(worker->ended, task, ended);
	if ((ended && ended->attempt >= attempt) ||
	    (run && run->attempt > attempt)) {
		refuse(exchange, worker, "old");
		return;
	}
	if (number(request, "deadline_ms") <= clock_of(worker)) {
		refuse(exchange, worker, "late");
		return;
	}
	if (!run)
		begin_run(worker, job, request);
	soak_reply(exchange, 200, clock_body(worker));
}

static void serve_stop(struct world_worker *worker,
		       struct zr_http_exchange *exchange, json_t *request)
{
	const char *task = text_of(request, "task");
	int64_t attempt = number(request, "attempt");
	struct world_run *run = find_run(worker, task);

	if (is_fenced(worker, request)) {
		refuse(exchange, worker, "fence");
		return;
	}
	reject_up_to(worker, task, attempt);
	if (run && run->attempt <= attempt)
		end_with_gang(worker, run, "stopped");
	soak_reply(exchange, 200, clock_body(worker));
}

static void answer_poll(struct world_worker *worker,
			struct zr_http_exchange *exchange)
{
	json_t *body = clock_body(worker);
	json_t *running = json_array();
	json_t *finished = json_array();
	const struct world_run *run;
	const struct end *end;

	DL_FOREACH(worker->runs, run)
	{
		int64_t worked = run->ends_at ? soak_now_ms() - run->ends_at +
							run->step->work_ms
					      : 0;

		json_array_append_new(
			running,
			json_pack(
				"[s, I, s, I, i]", run->task,
				(json_int_t)run->attempt, run->checkpoint,
				(json_int_t)(run->step->lasts
						     ? PERCENT
						     : worked * PERCENT /
							       (run->step
									->work_ms +
								1)),
				run->step->cpu));
	}
	DL_FOREACH(worker->ends, end)
	{
		if (json_array_size(finished) == REPORTED_ENDS_MAX)
			break;
		json_array_append_new(
			finished,
			json_pack("[I, s, I, s, s]", (json_int_t)end->number,
				  end->task, (json_int_t)end->attempt, end->how,
				  ""));
	}
	json_object_set_new(body, "running", running);
	json_object_set_new(body, "finished", finished);
	soak_reply(exchange, 200, body);
}

static void serve_poll(struct world_worker *worker,
		       struct zr_http_exchange *exchange, json_t *request)
{
	int64_t seen = number(request, "last_seen");
	struct end *end;
	struct end *next;

	if (is_fenced(worker, request)) {
		refuse(exchange, worker, "fence");
		return;
	}
	renew(worker, request);
	DL_FOREACH_SAFE(worker->ends, end, next)
	{
		if (end->number > seen)
			break;
		DL_DELETE(worker->ends, end);
		free(end);
	}
	if (worker->ends || !number(request, "wait_ms"))
		answer_poll(worker, exchange);
	else
		wait_with(exchange, worker, number(request, "wait_ms"), 0);
}

static void serve_worker(void *ctx, struct zr_http_exchange *exchange)
{
	struct world_worker *worker = ctx;
	const char *path = zr_http_get_path(exchange);
	const char *target = zr_http_get_header(exchange, "x-target-instance");
	size_t length;
	const char *text = zr_http_get_body(exchange, &length);
	json_t *request = json_loadb(text ? text : "", length, 0, NULL);

	if (!is_up(worker))
		zr_http_set_on_disconnect(exchange, ignore_disconnect, NULL);
	else if (target && strcmp(target, worker->name))
		soak_reply(exchange, 421, clock_body(worker));
	else if (!request)
		soak_reply(exchange, 400, clock_body(worker));
	else if (!strcmp(path, "/-/hold"))
		serve_poll(worker, exchange, request);
	else if (!strcmp(path, "/-/run-stop"))
		serve_stop(worker, exchange, request);
	else
		serve_start(worker, exchange, request);
	json_decref(request);
}

static bool end_one_due(struct world_worker *worker, int64_t now)
{
	struct world_run *run;

	DL_FOREACH(worker->runs, run)
	{
		if (run->ends_at && now >= run->ends_at)
			end_with_gang(worker, run, "done");
		else if (run->step->gang && !run->ends_at &&
			 now >= run->started_at + GANG_TIMEOUT_MS)
			end_run(worker, run, "alone");
		else if (clock_of(worker) >= worker->lease_ends_at)
			end_with_gang(worker, run, "lapsed");
		else
			continue;
		return true;
	}
	return false;
}

static void tick_workers(int64_t now)
{
	struct waiting *call;
	struct waiting *next;
	int i;

	for (i = 0; i < world.the_case->workers; i++) {
		struct world_worker *worker = &world.workers[i];
		struct world_run *run;

		if (worker->down_until && now >= worker->down_until)
			boot(worker);
		if (!is_up(worker))
			continue;
		while (end_one_due(worker, now))
			;
		DL_FOREACH(worker->runs, run)
		{
			run->job->last_run_at = now;
			if (run->step->saves &&
			    now - run->saved_at >= CHECKPOINT_MS)
				save(run, now);
		}
		if (now >= worker->heartbeat_at)
			register_worker(worker);
	}
	DL_FOREACH_SAFE(world.waiting, call, next)
	{
		if (now < call->due_at && (call->status || !call->worker->ends))
			continue;
		DL_DELETE(world.waiting, call);
		if (call->status)
			soak_reply(call->exchange, call->status,
				   clock_body(call->worker));
		else
			answer_poll(call->worker, call->exchange);
		free(call);
	}
}

/* The store and the operator */

/* Reads who owns the cell, "host-N", from the store. */
static void on_owner(void *ctx, int error,
		     const struct zr_http_response *response)
{
	json_t *item = NULL;
	char *value = NULL;
	size_t size = 0;

	(void)ctx;
	world.asking_owner = false;
	if (!error && response->status == 200)
		item = json_loads(response->body, 0, NULL);
	if (item &&
	    !zr_base64_decode((void **)&value, &size, text_of(item, "value")) &&
	    size > 5 && !memcmp(value, "host-", 5))
		world.owner = atoi(value + 5);
	free(value);
	json_decref(item);
}

static void ask_for_owner(int64_t now)
{
	static int64_t asked_at;
	static const struct zr_http_call call = {
		.method = "GET",
		.path = "/-/kv-key?key=zr/domain/main/lead/owner",
		.timeout_ms = 500};

	if (world.asking_owner || now - asked_at < OWNER_INTERVAL_MS)
		return;
	asked_at = now;
	world.asking_owner = true;
	zr_http_client_call(world.store, &call, on_owner, NULL);
}

int world_owner(void)
{
	return world.owner;
}

void world_silence(int host)
{
	world_record("open channels of host %d to the store go silent", host);
	kill(world.relays[host], SIGUSR1);
}

json_t *world_route(const char *name, const char *prefix, int priority,
		    int attempts)
{
	return json_pack("{s:s, s:s, s:s, s:s, s:i, s:i, s:f, s:i}", "name",
			 name, "hostname", "127.0.0.1", "prefix", prefix,
			 "service", "pool", "priority", priority, "attempts",
			 attempts, "stretch", 2.0, "latency_target_ms", 1000);
}

json_t *world_tenant(const char *name, int weight, const char *key, int cpu)
{
	return json_pack("{s:s, s:i, s:[s], s:{s:i, s:i, s:i}}", "name", name,
			 "weight", weight, "api_keys", key, "upper_limit",
			 "cpu", cpu, "mem_mb", 0, "gpu", 0);
}

void world_configure(json_t *routes, json_t *tenants)
{
	json_t *config =
		json_pack("{s:i, s:o, s:[{s:s, s:b}], s:o, s:{s:i}}", "version",
			  ++world.version, "routes", routes, "services", "name",
			  "pool", "admission_check", 0, "tenants", tenants,
			  "limits", "max_body_bytes", 262144);
	char *text = json_dumps(config, JSON_COMPACT);

	world_record("operator writes %s", text);
	free(text);
	soak_store_put("op/config", config);
}

/* The run */

static void on_probed(void *ctx, int error,
		      const struct zr_http_response *response)
{
	int host = (int)(intptr_t)ctx;

	world.probing[host] = false;
	world.ready[host] = !error && response->status == 200;
}

static bool are_ready(int64_t now)
{
	static int64_t probed_at;
	bool ready = world.owner >= 0;
	int i;

	for (i = 0; i < world.hosts; i++)
		ready &= world.ready[i];
	if (ready || now - probed_at < 100)
		return ready;
	probed_at = now;
	for (i = 0; i < world.hosts; i++) {
		const struct zr_http_call call = {.method = "GET",
						  .path = "/-/readiness",
						  .timeout_ms = 500};

		if (world.probing[i])
			continue;
		world.probing[i] = true;
		zr_http_client_call(world.probes[i], &call, on_probed,
				    (void *)(intptr_t)i);
	}
	return false;
}

static void on_tick(uv_timer_t *timer)
{
	int64_t now = soak_now_ms();

	(void)timer;
	soak_store_tick();
	tick_workers(now);
	ask_for_owner(now);
	if (!world.ready_at && are_ready(now)) {
		world.ready_at = now;
		world_record("all hosts are ready, host %d owns the cell",
			     world.owner);
	}
	if (!world.ready_at && now - world.began_at > READY_WITHIN_MS)
		world_cannot_run("the hosts are not ready");
	if (!world.ready_at)
		return;
	ask_for_states(now);
	world.the_case->tick(now - world.ready_at);
}

static struct zr_http_client *new_client(uv_loop_t *loop, int port)
{
	struct zr_http_client_options options = ZR_HTTP_CLIENT_OPTIONS_INIT;
	struct zr_http_client *client;
	char address[32];

	options.max_connections = 16;
	snprintf(address, sizeof(address), "127.0.0.1:%d", port);
	if (zr_http_client_new(&client, loop, address, &options) < 0)
		world_cannot_run("no client");
	return client;
}

static struct zr_http_server *listen_on(uv_loop_t *loop, int port,
					zr_http_handler_fn handler, void *ctx)
{
	struct zr_http_server_options options = ZR_HTTP_SERVER_OPTIONS_INIT;
	struct zr_http_server *server;
	char address[32];

	options.max_connections = 1024;
	options.max_body_bytes = 8 << 20;
	snprintf(address, sizeof(address), "127.0.0.1:%d", port);
	if (zr_http_server_new(&server, loop, address, &options, handler, ctx) <
	    0) {
		world_record("port %d is in use", port);
		end_with(3);
	}
	return server;
}

static const struct world_case *find_case(const char *name)
{
	static const struct world_case *const cases[] = {
		&world_quota_gang, &world_unfit,  &world_lasting_restart,
		&world_checkpoint, &world_shrunk, NULL};
	size_t i;

	for (i = 0; cases[i]; i++) {
		if (!strcmp(cases[i]->name, name))
			return cases[i];
	}
	return NULL;
}

/* Usage: world CASE TROUBLE PORT RECORD RELAY-PID... */
int main(int argc, char **argv)
{
	uv_loop_t *loop = uv_default_loop();
	uv_timer_t timer;
	int i;

	if (argc < 6 || argc > 5 + HOSTS_MAX)
		return 2;
	world.the_case = find_case(argv[1]);
	world.trouble = atoi(argv[2]) != 0;
	world.port = atoi(argv[3]);
	world.record = fopen(argv[4], "w");
	world.hosts = argc - 5;
	if (!world.the_case || !world.record)
		return 2;
	setvbuf(world.record, NULL, _IOLBF, 0);
	signal(SIGPIPE, SIG_IGN);
	world.began_at = soak_now_ms();
	world_record("case %s, trouble %d", argv[1], world.trouble);
	listen_on(loop, world.port, soak_store_serve, NULL);
	world.store = new_client(loop, world.port);
	for (i = 0; i < world.hosts; i++) {
		world.relays[i] = atoi(argv[5 + i]);
		world.clients[i] = new_client(loop, world.port + HOST_PORT(i));
		world.probes[i] =
			new_client(loop, world.port + HOST_PORT(i) + 1);
	}
	world.the_case->configure();
	for (i = 0; i < world.the_case->workers; i++) {
		struct world_worker *worker = &world.workers[i];

		snprintf(worker->name, sizeof(worker->name), "w-%02d", i);
		worker->cpu = world.the_case->worker_cpu;
		boot(worker);
	}
	uv_timer_init(loop, &timer);
	uv_timer_start(&timer, on_tick, TICK_MS, TICK_MS);
	uv_run(loop, UV_RUN_DEFAULT);
	return 2;
}

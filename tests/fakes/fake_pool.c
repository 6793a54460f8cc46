#include "fakes/fake_pool.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "zinniarack/errors.h"

#define TEXT_MAX 256
#define LEASE_MAX_MS 6000

struct run {
	struct run *prev;
	struct run *next;
	struct zr_cell_task_name task;
	uint32_t attempt;
	uint32_t millicpus;
	int64_t began_at;
	int64_t ends_at;
	bool fails;
};

struct ended {
	struct ended *prev;
	struct ended *next;
	struct zr_cell_run_end end;
};

/* A look that waits for an end. */
struct waiter {
	struct waiter *next;
	struct fake_call *net_call;
	struct call *call;
	int64_t until;
};

struct box {
	char domain[ZR_NAME_MAX];
	struct box *next;
	struct fake_pool *pool;
	struct fake_node *node;
	char name[ZR_NAME_MAX];
	uint32_t millicpus;
	uint32_t used;
	int64_t incarnation;
	int64_t born_at;
	uint64_t fencing_token;
	int64_t lease_until;
	int64_t last_number;
	bool replaced;
	bool hung;
	struct run *runs;
	struct ended *ends;
	struct waiter *waiters;
};

/* A task that has ended as done, and whether its host knows. */
struct done_task {
	struct done_task *next;
	struct zr_cell_task_name task;
	bool confirmed;
};

struct fake_pool {
	struct fake_net *net;
	struct box *boxes;
	struct done_task *done;
	fake_pool_event_fn event;
	void *ctx;
	unsigned int violations;
};

enum call_kind {
	CALL_START,
	CALL_STOP,
	CALL_LOOK,
};

struct call {
	struct box *box;
	enum call_kind kind;
	struct zr_cell_task_name task;
	uint32_t attempt;
	char payload[TEXT_MAX];
	int64_t lease_until;
	uint64_t fencing_token;
	int64_t seen;
	unsigned int wait_ms;
	struct zr_cell_request_reply order;
	struct zr_cell_poll_reply poll;
	struct zr_cell_run *runs;
	struct zr_cell_run_end *ends;
	bool served;
	zr_cell_request_fn order_done;
	zr_cell_poll_fn look_done;
	void *ctx;
};

struct client {
	struct box *box;
	struct fake_node *node;
};

static void tell(struct fake_pool *pool, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

static void tell(struct fake_pool *pool, const char *fmt, ...)
{
	char text[TEXT_MAX];
	va_list args;

	va_start(args, fmt);
	vsnprintf(text, sizeof(text), fmt, args);
	va_end(args);
	pool->event(pool->ctx, text);
}

static void violate(struct fake_pool *pool, const char *rule,
		    const struct zr_cell_task_name *task, const char *worker)
{
	pool->violations++;
	tell(pool, "VIOLATION %s %s.%u.%u.%u on %s", rule, task->job,
	     task->occurrence, task->step, task->index, worker);
}

static bool same_task(const struct zr_cell_task_name *a,
		      const struct zr_cell_task_name *b)
{
	return !strcmp(a->job, b->job) && a->occurrence == b->occurrence &&
	       a->step == b->step && a->index == b->index;
}

static int64_t true_now(const struct fake_pool *pool)
{
	return fake_net_now_ms(pool->net);
}

static int64_t clock_of(const struct box *box)
{
	return true_now(box->pool) - box->born_at;
}

/* Runs */

static struct run *find_run(const struct box *box,
			    const struct zr_cell_task_name *task)
{
	struct run *run;

	DL_FOREACH(box->runs, run)
	{
		if (same_task(&run->task, task))
			return run;
	}
	return NULL;
}

static struct done_task *find_done(const struct fake_pool *pool,
				   const struct zr_cell_task_name *task)
{
	struct done_task *done;

	LL_FOREACH(pool->done, done)
	{
		if (same_task(&done->task, task))
			return done;
	}
	return NULL;
}

static const char *const hows[] = {
	[ZR_RUN_DONE] = "done",		 [ZR_RUN_FAILED] = "failed",
	[ZR_RUN_STOPPED] = "stopped",	 [ZR_RUN_LEASE_EXPIRED] = "expired",
	[ZR_RUN_GANG_BROKEN] = "broken", [ZR_RUN_GANG_TIMEOUT] = "alone",
};

static void end_run(struct box *box, struct run *run, enum zr_run_outcome how)
{
	struct ended *ended = calloc(1, sizeof(*ended));
	struct done_task *done;

	tell(box->pool, "%s %s.%u.%u.%u run %u %s", box->name, run->task.job,
	     run->task.occurrence, run->task.step, run->task.index,
	     run->attempt, hows[how]);
	ended->end.number = ++box->last_number;
	ended->end.task = run->task;
	ended->end.attempt = run->attempt;
	ended->end.outcome = how;
	DL_APPEND(box->ends, ended);
	if (how == ZR_RUN_DONE && !find_done(box->pool, &run->task)) {
		done = calloc(1, sizeof(*done));
		done->task = run->task;
		LL_PREPEND(box->pool->done, done);
	}
	box->used -= run->millicpus;
	DL_DELETE(box->runs, run);
	free(run);
}

static void check_start(struct box *box, const struct zr_cell_task_name *task)
{
	const struct done_task *done = find_done(box->pool, task);
	const struct box *other;

	LL_FOREACH(box->pool->boxes, other)
	{
		if (find_run(other, task))
			violate(box->pool, "TWICE", task, box->name);
	}
	if (done && done->confirmed)
		violate(box->pool, "AGAIN", task, box->name);
}

/* The entry `[f]MS:MILLICPUS` of a step in a payload. */
static void read_payload(struct run *run, const char *payload, int64_t now)
{
	const char *entry = payload;
	uint32_t step;

	for (step = 0; step < run->task.step && entry; step++) {
		entry = strchr(entry, ',');
		entry = entry ? entry + 1 : NULL;
	}
	run->fails = entry && *entry == 'f';
	if (run->fails)
		entry++;
	run->began_at = now;
	run->ends_at = now + (entry ? atoi(entry) : 0);
	entry = entry ? strchr(entry, ':') : NULL;
	run->millicpus = entry ? (uint32_t)atoi(entry + 1) : 0;
}

static enum zr_request_status take_start(struct box *box,
					 const struct call *call)
{
	struct run *run = find_run(box, &call->task);
	const struct ended *ended;

	if (run && run->attempt == call->attempt)
		return ZR_REQUEST_ACCEPTED;
	if (clock_of(box) >= call->lease_until)
		return ZR_REQUEST_LEASE_EXPIRED;
	DL_FOREACH(box->ends, ended)
	{
		if (same_task(&ended->end.task, &call->task) &&
		    ended->end.attempt >= call->attempt)
			return ZR_REQUEST_SUPERSEDED;
	}
	check_start(box, &call->task);
	run = calloc(1, sizeof(*run));
	run->task = call->task;
	run->attempt = call->attempt;
	read_payload(run, call->payload, true_now(box->pool));
	box->used += run->millicpus;
	if (box->used > box->millicpus)
		violate(box->pool, "LIMIT", &run->task, box->name);
	DL_APPEND(box->runs, run);
	tell(box->pool, "%s %s.%u.%u.%u run %u begun", box->name, run->task.job,
	     run->task.occurrence, run->task.step, run->task.index,
	     run->attempt);
	return ZR_REQUEST_ACCEPTED;
}

static enum zr_request_status take_stop(struct box *box,
					const struct call *call)
{
	struct run *run = find_run(box, &call->task);
	struct ended *bar;

	if (run && run->attempt <= call->attempt) {
		end_run(box, run, ZR_RUN_STOPPED);
		return ZR_REQUEST_ACCEPTED;
	}
	/* Number 0 is never listed: it only bars a start that comes later. */
	bar = calloc(1, sizeof(*bar));
	bar->end.task = call->task;
	bar->end.attempt = call->attempt;
	DL_APPEND(box->ends, bar);
	return ZR_REQUEST_ACCEPTED;
}

static void confirm_ends(struct box *box, int64_t seen)
{
	struct ended *ended;
	struct done_task *done;

	DL_FOREACH(box->ends, ended)
	{
		if (!ended->end.number || ended->end.number > seen)
			continue;
		done = find_done(box->pool, &ended->end.task);
		if (done && ended->end.outcome == ZR_RUN_DONE)
			done->confirmed = true;
		ended->end.number = 0;
	}
}

static uint32_t percent_of(const struct box *box, const struct run *run)
{
	int64_t ran = true_now(box->pool) - run->began_at;
	int64_t all = run->ends_at - run->began_at;

	return all > 0 ? (uint32_t)(ran * 100 / all) : 0;
}

static void list_box(const struct box *box, struct call *call)
{
	const struct run *run;
	const struct ended *ended;
	size_t count;

	DL_COUNT(box->runs, run, count);
	call->runs = calloc(count + 1, sizeof(*call->runs));
	call->poll.runs = call->runs;
	DL_FOREACH(box->runs, run)
	{
		struct zr_cell_run *row = &call->runs[call->poll.run_count++];

		row->task = run->task;
		row->attempt = run->attempt;
		row->percent = box->hung ? 0 : percent_of(box, run);
	}
	DL_COUNT(box->ends, ended, count);
	call->ends = calloc(count + 1, sizeof(*call->ends));
	call->poll.ends = call->ends;
	DL_FOREACH(box->ends, ended)
	{
		if (ended->end.number)
			call->ends[call->poll.end_count++] = ended->end;
	}
	call->poll.clock_ms = clock_of(box);
	call->poll.incarnation = box->incarnation;
}

static bool has_ends(const struct box *box)
{
	const struct ended *ended;

	DL_FOREACH(box->ends, ended)
	{
		if (ended->end.number)
			return true;
	}
	return false;
}

static void answer_waiters(struct box *box)
{
	struct waiter **link = &box->waiters;

	while (*link) {
		struct waiter *waiter = *link;

		if (!has_ends(box) && true_now(box->pool) < waiter->until) {
			link = &waiter->next;
			continue;
		}
		*link = waiter->next;
		list_box(box, waiter->call);
		fake_call_reply(waiter->net_call);
		fake_call_unref(waiter->net_call);
		free(waiter);
	}
}

static void wait_for_end(struct box *box, struct fake_call *net_call,
			 struct call *call)
{
	struct waiter *waiter = calloc(1, sizeof(*waiter));

	waiter->net_call = net_call;
	waiter->call = call;
	waiter->until = true_now(box->pool) + call->wait_ms;
	waiter->next = box->waiters;
	box->waiters = waiter;
	fake_call_ref(net_call);
	answer_waiters(box);
}

static enum zr_request_status admit(struct box *box, const struct call *call)
{
	int64_t most = clock_of(box) + LEASE_MAX_MS;
	int64_t until = call->lease_until < most ? call->lease_until : most;

	if (box->replaced)
		return ZR_REQUEST_OTHER_INCARNATION;
	if (call->fencing_token < box->fencing_token)
		return ZR_REQUEST_FENCED;
	box->fencing_token = call->fencing_token;
	if (until > box->lease_until)
		box->lease_until = until;
	return ZR_REQUEST_ACCEPTED;
}

static void serve(struct fake_call *net_call, void *ctx)
{
	struct call *call = ctx;
	struct box *box = call->box;
	enum zr_request_status refusal = admit(box, call);

	if (refusal == ZR_REQUEST_ACCEPTED && call->kind == CALL_START)
		refusal = take_start(box, call);
	else if (refusal == ZR_REQUEST_ACCEPTED && call->kind == CALL_STOP)
		refusal = take_stop(box, call);
	call->order.status = refusal;
	call->order.clock_ms = clock_of(box);
	call->poll.status = refusal;
	call->poll.clock_ms = clock_of(box);
	if (call->kind == CALL_LOOK && refusal == ZR_REQUEST_ACCEPTED &&
	    !call->served) {
		call->served = true;
		confirm_ends(box, call->seen);
		wait_for_end(box, net_call, call);
		return;
	}
	fake_call_reply(net_call);
	answer_waiters(box);
}

static void finish(void *ctx, enum fake_result result)
{
	struct call *call = ctx;
	int error = 0;

	if (result == FAKE_CANCELLED)
		error = ZR_E_CANCELLED;
	else if (result == FAKE_REFUSED)
		error = ZR_E_UNREACHABLE;
	else if (result == FAKE_TIMED_OUT)
		error = ZR_E_OUTCOME_UNKNOWN;
	if (call->kind == CALL_LOOK)
		call->look_done(call->ctx, error, error ? NULL : &call->poll);
	else
		call->order_done(call->ctx, error, error ? NULL : &call->order);
}

static void free_call(void *ctx)
{
	struct call *call = ctx;

	free(call->runs);
	free(call->ends);
	free(call);
}

static const struct fake_call_ops call_ops = {serve, finish, free_call};

/* The adapter */

static struct call *new_call(struct client *client, enum call_kind kind,
			     uint64_t token, void *ctx)
{
	struct call *call = calloc(1, sizeof(*call));

	call->box = client->box;
	call->kind = kind;
	call->fencing_token = token;
	call->ctx = ctx;
	return call;
}

static void send_call(struct client *client, struct call *call,
		      unsigned int timeout_ms)
{
	fake_call_send(client->node, client->box->node, &call_ops, call,
		       timeout_ms);
}

static void pool_start(void *impl, const struct zr_cell_start *start,
		       unsigned int timeout_ms, zr_cell_request_fn done,
		       void *ctx)
{
	struct call *call =
		new_call(impl, CALL_START, start->fencing_token, ctx);

	call->task = start->task;
	call->attempt = start->attempt;
	snprintf(call->payload, sizeof(call->payload), "%s", start->payload);
	call->lease_until = start->lease_expires_ms;
	call->order_done = done;
	send_call(impl, call, timeout_ms);
}

static void pool_stop(void *impl, const struct zr_cell_task_name *task,
		      uint32_t attempt, uint64_t token, unsigned int timeout_ms,
		      zr_cell_request_fn done, void *ctx)
{
	struct call *call = new_call(impl, CALL_STOP, token, ctx);

	call->task = *task;
	call->attempt = attempt;
	call->order_done = done;
	send_call(impl, call, timeout_ms);
}

static void pool_look(void *impl, uint64_t token, int64_t lease_expires_ms,
		      int64_t seen, unsigned int wait_ms,
		      unsigned int timeout_ms, zr_cell_poll_fn done, void *ctx)
{
	struct call *call = new_call(impl, CALL_LOOK, token, ctx);

	call->lease_until = lease_expires_ms;
	call->seen = seen;
	call->wait_ms = wait_ms;
	call->look_done = done;
	send_call(impl, call, timeout_ms);
}

static void pool_close(void *impl)
{
	struct client *client = impl;

	fake_calls_cancel(client->node, client->box->node);
	free(client);
}

static const struct zr_cell_worker_conn_ops orders_ops = {
	.start = pool_start,
	.stop = pool_stop,
	.poll = pool_look,
	.free = pool_close,
};

static struct box *find_box(const struct fake_pool *pool, const char *name)
{
	struct box *box;

	LL_FOREACH(pool->boxes, box)
	{
		if (!strcmp(box->name, name))
			return box;
	}
	return NULL;
}

int fake_pool_open(struct fake_pool *pool, struct fake_node *node,
		   struct zr_cell_worker_conn *out, const char *worker)
{
	struct client *client = calloc(1, sizeof(*client));

	client->box = find_box(pool, worker);
	client->node = node;
	out->ops = &orders_ops;
	out->impl = client;
	return 0;
}

/* Workers */

/* Its connections end with its life: looks that wait are not answered. */
static void drop_waiters(struct box *box)
{
	struct waiter *waiter;

	while ((waiter = box->waiters)) {
		box->waiters = waiter->next;
		fake_call_unref(waiter->net_call);
		free(waiter);
	}
}

void fake_pool_add(struct fake_pool *pool, const char *name, uint32_t millicpus)
{
	struct box *box = calloc(1, sizeof(*box));

	snprintf(box->name, sizeof(box->name), "%s", name);
	box->pool = pool;
	box->node = fake_node_new(pool->net, name);
	box->millicpus = millicpus;
	box->incarnation = 1;
	box->born_at = true_now(pool);
	LL_APPEND(pool->boxes, box);
}

void fake_pool_restart(struct fake_pool *pool, const char *name)
{
	struct box *box = find_box(pool, name);
	struct run *run;
	struct run *next_run;
	struct ended *ended;
	struct ended *next_ended;

	DL_FOREACH_SAFE(box->runs, run, next_run)
	{
		tell(pool, "%s %s.%u.%u.%u run %u gone", name, run->task.job,
		     run->task.occurrence, run->task.step, run->task.index,
		     run->attempt);
		DL_DELETE(box->runs, run);
		free(run);
	}
	DL_FOREACH_SAFE(box->ends, ended, next_ended)
	{
		DL_DELETE(box->ends, ended);
		free(ended);
	}
	drop_waiters(box);
	box->used = 0;
	box->incarnation++;
	box->born_at = true_now(pool);
	box->fencing_token = 0;
	box->lease_until = 0;
	box->last_number = 0;
}

void fake_pool_replace(struct fake_pool *pool, const char *name)
{
	fake_pool_restart(pool, name);
	find_box(pool, name)->replaced = true;
}

void fake_pool_set_domain(struct fake_pool *pool, const char *name,
			  const char *domain)
{
	struct box *box = find_box(pool, name);

	snprintf(box->domain, sizeof(box->domain), "%s", domain);
}

void fake_pool_hang(struct fake_pool *pool, const char *name)
{
	find_box(pool, name)->hung = true;
}

static void tick_box(struct box *box)
{
	struct run *run;
	struct run *next;

	DL_FOREACH_SAFE(box->runs, run, next)
	{
		if (clock_of(box) >= box->lease_until)
			end_run(box, run, ZR_RUN_LEASE_EXPIRED);
		else if (!box->hung && true_now(box->pool) >= run->ends_at)
			end_run(box, run,
				run->fails ? ZR_RUN_FAILED : ZR_RUN_DONE);
	}
	answer_waiters(box);
}

void fake_pool_tick(struct fake_pool *pool)
{
	struct box *box;

	LL_FOREACH(pool->boxes, box)
	{
		tick_box(box);
	}
}

int fake_pool_report(const struct fake_pool *pool, const char *name,
		     struct zr_worker_report *out)
{
	const struct box *box = find_box(pool, name);

	memset(out, 0, sizeof(*out));
	if (!box || box->replaced)
		return ZR_E_PROTOCOL;
	snprintf(out->name, sizeof(out->name), "%s", name);
	snprintf(out->address, sizeof(out->address), "%s", name);
	snprintf(out->pool, sizeof(out->pool), "pool");
	snprintf(out->domain, sizeof(out->domain), "%s", box->domain);
	out->leaves_in_ms = -1;
	out->capacity.millicpus = box->millicpus;
	out->capacity.memory_mb = box->millicpus;
	out->incarnation = box->incarnation;
	out->clock_ms = clock_of(box);
	return 0;
}

unsigned int fake_pool_violations(const struct fake_pool *pool)
{
	return pool->violations;
}

struct fake_pool *fake_pool_new(struct fake_net *net, fake_pool_event_fn event,
				void *ctx)
{
	struct fake_pool *pool = calloc(1, sizeof(*pool));

	if (!pool)
		abort();
	pool->net = net;
	pool->event = event;
	pool->ctx = ctx;
	return pool;
}

static void free_box(struct box *box)
{
	struct run *run;
	struct ended *ended;

	drop_waiters(box);
	while ((run = box->runs)) {
		DL_DELETE(box->runs, run);
		free(run);
	}
	while ((ended = box->ends)) {
		DL_DELETE(box->ends, ended);
		free(ended);
	}
	free(box);
}

void fake_pool_free(struct fake_pool *pool)
{
	struct done_task *done;
	struct box *box;

	while ((box = pool->boxes)) {
		pool->boxes = box->next;
		free_box(box);
	}
	while ((done = pool->done)) {
		pool->done = done->next;
		free(done);
	}
	free(pool);
}

#include "fakes/fake_worker.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>

#include "zinniarack/errors.h"

#define TIMEOUT_MS 2000
#define TICK_MS 10
#define RESULT_MAX 64
/* Time for which an acknowledged task is kept: no start can arrive later. */
#define RETAIN_MS 20000

struct task {
	UT_hash_handle hh;
	char id[ZR_TASK_ID_MAX];
	char result[RESULT_MAX];
	int64_t ends_at;
	int64_t ended_at;
	bool fails;
	bool ended;
	bool succeeded;
	bool stopped;
	bool acked;
	uint64_t sequence;
};

struct fake_worker {
	struct fake_node *node;
	struct zr_timer *timer;
	struct fake_worker_observer observer;
	bool supports_fencing;
	uint64_t incarnation;
	uint64_t epoch;
	uint64_t last_sequence;
	int64_t lease_expires_at;
	struct task *tasks;
	struct call *pending_syncs;
};

struct client {
	struct fake_worker *worker;
	struct fake_node *node;
};

enum call_kind {
	CALL_SYNC,
	CALL_START,
	CALL_STOP,
};

struct call {
	struct call *prev;
	struct call *next;
	struct fake_call *net_call;
	struct fake_worker *worker;
	enum call_kind kind;
	struct zr_worker_sync sync;
	struct zr_worker_start start;
	char id[ZR_TASK_ID_MAX];
	char *command;
	enum zr_worker_stop_mode mode;
	int64_t reply_due_at;
	zr_worker_report_fn report_done;
	zr_worker_done_fn done;
	void *ctx;
	bool served;
	int error;
	struct zr_worker_report report;
	struct zr_worker_task *tasks;
	struct zr_worker_end *ends;
};

static int64_t now_ms(const struct fake_worker *worker)
{
	return fake_time_now_ms(fake_node_time(worker->node));
}

static void observe(struct fake_worker *worker, enum fake_worker_event event,
		    const struct task *task)
{
	if (worker->observer.event)
		worker->observer.event(worker->observer.ctx,
				       fake_node_name(worker->node), event,
				       task->id, worker->epoch, task->result);
}

/* Tasks */

static void end_task(struct fake_worker *worker, struct task *task,
		     bool succeeded, bool stopped)
{
	if (task->ended)
		return;
	task->ended = true;
	task->succeeded = succeeded;
	task->stopped = stopped;
	task->sequence = ++worker->last_sequence;
	task->ended_at = now_ms(worker);
	observe(worker, stopped ? FAKE_TASK_STOPPED : FAKE_TASK_ENDED, task);
}

static void end_tasks(struct fake_worker *worker)
{
	bool expired = now_ms(worker) >= worker->lease_expires_at;
	struct task *task;

	for (task = worker->tasks; task; task = task->hh.next) {
		if (!task->ended && expired)
			end_task(worker, task, false, true);
		else if (!task->ended && now_ms(worker) >= task->ends_at)
			end_task(worker, task, !task->fails, false);
	}
}

/* An ended task is kept while a delayed start of it may still arrive. */
static void remove_old_tasks(struct fake_worker *worker)
{
	struct task *task;
	struct task *next;

	HASH_ITER (hh, worker->tasks, task, next) {
		if (!task->ended || !task->acked ||
		    task->ended_at + RETAIN_MS > now_ms(worker))
			continue;
		HASH_DEL(worker->tasks, task);
		free(task);
	}
}

/* A lease token is the time at which it was issued, so none is stored. */
static int64_t lease_expiry(const struct fake_worker *worker,
			    uint64_t incarnation, uint64_t lease_token,
			    uint32_t lease_ms)
{
	if (incarnation != worker->incarnation || !lease_token)
		return 0;
	return (int64_t)lease_token + lease_ms;
}

static void renew_lease(struct fake_worker *worker, int64_t expires_at)
{
	if (worker->lease_expires_at < expires_at)
		worker->lease_expires_at = expires_at;
}

static bool is_fenced(struct fake_worker *worker, uint64_t epoch)
{
	if (worker->supports_fencing && epoch < worker->epoch)
		return true;
	if (worker->epoch < epoch || !worker->supports_fencing)
		worker->epoch = epoch;
	return false;
}

static int start_task(struct fake_worker *worker, const struct call *call)
{
	const struct zr_worker_start *start = &call->start;
	int64_t expires_at = lease_expiry(worker, start->incarnation,
					  start->lease_token, start->lease_ms);
	struct task *task;
	char verb[RESULT_MAX] = "";
	long ms = 0;

	HASH_FIND_STR(worker->tasks, call->id, task);
	if (task)
		return 0;
	if (expires_at <= now_ms(worker))
		return ZR_E_TIMEOUT;
	task = calloc(1, sizeof(*task));
	if (!task)
		abort();
	snprintf(task->id, sizeof(task->id), "%s", call->id);
	sscanf(call->command, "%63s %ld %63s", verb, &ms, task->result);
	task->fails = !strcmp(verb, "fail");
	task->ends_at = now_ms(worker) + ms;
	HASH_ADD_STR(worker->tasks, id, task);
	renew_lease(worker, expires_at);
	observe(worker, FAKE_TASK_BEGUN, task);
	return 0;
}

static int stop_task(struct fake_worker *worker, const struct call *call)
{
	struct task *task;

	HASH_FIND_STR(worker->tasks, call->id, task);
	if (!task)
		return ZR_E_NOT_FOUND;
	if (call->mode != ZR_WORKER_THROTTLE)
		end_task(worker, task, false, true);
	return 0;
}

/* Reports */

static void clear_report(struct call *call)
{
	free(call->tasks);
	free(call->ends);
	call->tasks = NULL;
	call->ends = NULL;
	memset(&call->report, 0, sizeof(call->report));
}

static void add_end(struct call *call, struct task *task)
{
	struct zr_worker_end *end = &call->ends[call->report.end_count++];

	end->sequence = task->sequence;
	snprintf(end->id, sizeof(end->id), "%s", task->id);
	end->succeeded = task->succeeded;
	end->stopped = task->stopped;
	end->result = task->result;
}

static int by_sequence(const void *a, const void *b)
{
	const struct zr_worker_end *first = a;
	const struct zr_worker_end *second = b;

	return (first->sequence > second->sequence) -
	       (first->sequence < second->sequence);
}

static void fill_report(struct call *call)
{
	struct fake_worker *worker = call->worker;
	size_t count = HASH_COUNT(worker->tasks) + 1;
	struct task *task;

	clear_report(call);
	call->tasks = calloc(count, sizeof(*call->tasks));
	call->ends = calloc(count, sizeof(*call->ends));
	if (!call->tasks || !call->ends)
		abort();
	for (task = worker->tasks; task; task = task->hh.next) {
		if (task->ended && task->sequence <= call->sync.last_end_acked)
			task->acked = true;
		if (!task->ended)
			snprintf(call->tasks[call->report.task_count++].id,
				 ZR_TASK_ID_MAX, "%s", task->id);
		else if (!task->acked)
			add_end(call, task);
	}
	qsort(call->ends, call->report.end_count, sizeof(*call->ends),
	      by_sequence);
	call->report.epoch = worker->epoch;
	call->report.incarnation = worker->incarnation;
	call->report.lease_token = (uint64_t)now_ms(worker);
	call->report.supports_fencing = worker->supports_fencing;
	call->report.tasks = call->tasks;
	call->report.ends = call->ends;
}

static void answer_sync(struct call *call)
{
	fill_report(call);
	fake_call_reply(call->net_call);
}

static void serve_sync(struct fake_worker *worker, struct call *call)
{
	renew_lease(worker,
		    lease_expiry(worker, call->sync.incarnation,
				 call->sync.lease_token, call->sync.lease_ms));
	if (!call->sync.wait_ms ||
	    worker->last_sequence > call->sync.last_end_received ||
	    call->reply_due_at) {
		answer_sync(call);
		return;
	}
	call->reply_due_at = now_ms(worker) + call->sync.wait_ms;
	fake_call_ref(call->net_call);
	DL_APPEND(worker->pending_syncs, call);
}

static void answer_pending_syncs(struct fake_worker *worker)
{
	struct call *call;
	struct call *next;

	DL_FOREACH_SAFE(worker->pending_syncs, call, next)
	{
		if (worker->last_sequence <= call->sync.last_end_received &&
		    now_ms(worker) < call->reply_due_at)
			continue;
		DL_DELETE(worker->pending_syncs, call);
		answer_sync(call);
		fake_call_unref(call->net_call);
	}
}

static uint64_t call_epoch(const struct call *call)
{
	return call->kind == CALL_SYNC ? call->sync.epoch : call->start.epoch;
}

static void serve(struct fake_call *net_call, void *ctx)
{
	struct call *call = ctx;
	struct fake_worker *worker = call->worker;
	int error;

	call->net_call = net_call;
	/* The lease may have expired while this worker was paused. */
	end_tasks(worker);
	error = is_fenced(worker, call_epoch(call)) ? ZR_E_FENCED : 0;
	if (!error && call->kind == CALL_SYNC) {
		serve_sync(worker, call);
		return;
	}
	if (!error && call->kind == CALL_START)
		error = start_task(worker, call);
	else if (!error && call->kind == CALL_STOP)
		error = stop_task(worker, call);
	/*
	 * A duplicated request takes effect twice; the caller gets the result
	 * of the first.
	 */
	if (!call->served)
		call->error = error;
	call->served = true;
	fake_call_reply(net_call);
}

static void finish(void *ctx, enum fake_result result)
{
	struct call *call = ctx;
	int error = call->error;

	if (result == FAKE_CANCELLED)
		error = ZR_E_CANCELLED;
	else if (result == FAKE_REFUSED)
		error = ZR_E_UNREACHABLE;
	else if (result == FAKE_TIMED_OUT)
		error = ZR_E_OUTCOME_UNKNOWN;
	if (call->kind == CALL_SYNC)
		call->report_done(call->ctx, error,
				  error < 0 ? NULL : &call->report);
	else
		call->done(call->ctx, error);
}

static void free_call(void *ctx)
{
	struct call *call = ctx;

	clear_report(call);
	free(call->command);
	free(call);
}

static const struct fake_call_ops call_ops = {serve, finish, free_call};

/* Implementation of struct zr_worker_ops */

static struct call *new_call(struct client *client, enum call_kind kind,
			     void *ctx)
{
	struct call *call = calloc(1, sizeof(*call));

	if (!call)
		abort();
	call->worker = client->worker;
	call->kind = kind;
	call->ctx = ctx;
	return call;
}

static void send_call(struct client *client, struct call *call,
		      unsigned int timeout_ms)
{
	fake_call_send(client->node, client->worker->node, &call_ops, call,
		       timeout_ms);
}

static void worker_sync(void *impl, const struct zr_worker_sync *sync,
			zr_worker_report_fn done, void *ctx)
{
	struct call *call = new_call(impl, CALL_SYNC, ctx);

	call->sync = *sync;
	call->report_done = done;
	send_call(impl, call, TIMEOUT_MS + sync->wait_ms);
}

static void worker_start(void *impl, const struct zr_worker_start *start,
			 zr_worker_done_fn done, void *ctx)
{
	struct call *call = new_call(impl, CALL_START, ctx);

	call->start = *start;
	snprintf(call->id, sizeof(call->id), "%s", start->id);
	call->command = strdup(start->command);
	call->done = done;
	send_call(impl, call, TIMEOUT_MS);
}

static void worker_stop(void *impl, uint64_t epoch, const char *id,
			enum zr_worker_stop_mode mode, zr_worker_done_fn done,
			void *ctx)
{
	struct call *call = new_call(impl, CALL_STOP, ctx);

	call->start.epoch = epoch;
	snprintf(call->id, sizeof(call->id), "%s", id);
	call->mode = mode;
	call->done = done;
	send_call(impl, call, TIMEOUT_MS);
}

static void worker_client_free(void *impl)
{
	struct client *client = impl;

	fake_calls_cancel(client->node, client->worker->node);
	free(client);
}

static const struct zr_worker_ops worker_ops = {
	.sync = worker_sync,
	.start = worker_start,
	.stop = worker_stop,
	.free = worker_client_free,
};

void fake_worker_client(struct zr_worker *out, struct fake_worker *worker,
			struct fake_node *node)
{
	struct client *client = calloc(1, sizeof(*client));

	if (!client)
		abort();
	client->worker = worker;
	client->node = node;
	out->ops = &worker_ops;
	out->impl = client;
}

/* The worker */

static void on_tick(void *ctx)
{
	struct fake_worker *worker = ctx;

	end_tasks(worker);
	remove_old_tasks(worker);
	answer_pending_syncs(worker);
}

struct fake_worker *fake_worker_new(struct fake_net *net, const char *name,
				    bool supports_fencing,
				    const struct fake_worker_observer *observer)
{
	struct fake_worker *worker = calloc(1, sizeof(*worker));

	if (!worker)
		abort();
	worker->node = fake_node_new(net, name);
	worker->supports_fencing = supports_fencing;
	worker->incarnation = 1;
	worker->observer = *observer;
	worker->timer =
		zr_timer_new(fake_time_timers(fake_node_time(worker->node)),
			     on_tick, worker);
	zr_timer_start(worker->timer, TICK_MS, TICK_MS);
	return worker;
}

static void clear_tasks(struct fake_worker *worker)
{
	struct task *task;
	struct task *next;

	HASH_ITER (hh, worker->tasks, task, next) {
		HASH_DEL(worker->tasks, task);
		if (!task->ended)
			observe(worker, FAKE_TASK_KILLED, task);
		free(task);
	}
}

void fake_worker_restart(struct fake_worker *worker)
{
	struct call *call;
	struct call *next;

	clear_tasks(worker);
	worker->incarnation++;
	worker->epoch = 0;
	worker->last_sequence = 0;
	worker->lease_expires_at = 0;
	DL_FOREACH_SAFE(worker->pending_syncs, call, next)
	{
		DL_DELETE(worker->pending_syncs, call);
		fake_call_unref(call->net_call);
	}
}

void fake_worker_for_each(const struct fake_worker *worker,
			  void (*each)(void *ctx, const char *worker,
				       const char *task),
			  void *ctx)
{
	const struct task *task;

	if (fake_node_paused(worker->node))
		return;
	for (task = worker->tasks; task; task = task->hh.next) {
		if (!task->ended)
			each(ctx, fake_node_name(worker->node), task->id);
	}
}

static void count_task(void *ctx, const char *worker, const char *task)
{
	(void)worker;
	(void)task;
	(*(unsigned int *)ctx)++;
}

unsigned int fake_worker_task_count(const struct fake_worker *worker)
{
	unsigned int count = 0;

	fake_worker_for_each(worker, count_task, &count);
	return count;
}

const char *fake_worker_name(const struct fake_worker *worker)
{
	return fake_node_name(worker->node);
}

void fake_worker_free(struct fake_worker *worker)
{
	worker->observer.event = NULL;
	clear_tasks(worker);
	zr_timer_free(worker->timer);
	free(worker);
}

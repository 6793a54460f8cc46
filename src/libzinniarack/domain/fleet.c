#include "domain/fleet.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>

#include "zinniarack/charts.h"
#include "zinniarack/errors.h"
#include "zinniarack/log.h"

#define TICK_MS 250
#define SYNC_WAIT_MS 500
#define ASK_AGAIN_MS 50
#define RETRY_MS 500
#define UNHEARD_AFTER_MS 3000

/* An end that was told and is not acknowledged yet. */
struct open_end {
	struct open_end *next;
	uint64_t sequence;
};

/**
 * struct worker - a worker of the domain
 * @heard: it has answered under this epoch
 * @owed: earlier owners have used it, and it has not answered since
 * @fences: it refuses lower epochs
 * @boot: boot of its last answer
 * @token: token of its last answer
 * @token_at: when that answer came
 * @sync_epoch: epoch under which the open sync was sent
 * @told: the last end told under this handle
 * @open_ends: ends told and not acknowledged, oldest first
 * @last_lease: end of the last lease that it can have been given
 */
struct worker {
	UT_hash_handle hh;
	struct zr_fleet *fleet;
	struct zr_host host;
	struct zr_worker adapter;
	zr_handle handle;
	int state; /* enum zr_worker_state */
	bool listed;
	bool sync_open;
	bool heard;
	bool owed;
	bool fences;
	uint64_t boot;
	uint64_t token;
	uint64_t sync_epoch;
	uint64_t told;
	struct open_end *open_ends;
	struct timespec token_at;
	struct timespec last_sent;
	struct timespec last_heard;
	struct timespec last_lease;
};

struct zr_fleet {
	struct zr_fleet_options options;
	char domain[ZR_NAME_MAX];
	struct zr_timer *timer;
	uint64_t epoch;
	struct timespec rival_end;
	struct timespec unfenced_from;
	struct worker *workers;
};

static struct timespec now(const struct zr_fleet *fleet)
{
	return zr_clock_now(fleet->options.clock);
}

static void step(struct worker *worker, enum zr_worker_event event)
{
	zr_chart_step(&worker->state, zr_charts()->worker, event);
}

static void tell_state(const struct worker *worker)
{
	static const struct {
		const char *name;
		enum zr_sched_worker_state state;
	} states[] = {
		[ZR_WORKER_UNKNOWN] = {"unknown", ZR_SCHED_WORKER_UNRESPONSIVE},
		[ZR_WORKER_UP] = {"up", ZR_SCHED_WORKER_UP},
		[ZR_WORKER_LEAVING] = {"leaving", ZR_SCHED_WORKER_LEAVING},
		[ZR_WORKER_UNHEARD] = {"unheard", ZR_SCHED_WORKER_UNRESPONSIVE},
	};
	const struct zr_fleet *fleet = worker->fleet;

	zr_log(ZR_LOG_INFO, "worker.state worker=%s state=%s",
	       worker->host.name, states[worker->state].name);
	fleet->options.events.state(fleet->options.ctx, worker->handle,
				    states[worker->state].state);
}

static void take_event(struct worker *worker, enum zr_worker_event event)
{
	int former = worker->state;

	if (!worker->handle)
		return;
	step(worker, event);
	if (worker->state == former)
		return;
	/* The core takes a worker that it was just given as up. */
	if (former != ZR_WORKER_UNKNOWN || worker->state != ZR_WORKER_UP)
		tell_state(worker);
}

/* A worker that doesn't fence may still get tasks from the owner before. */
static bool rival_may_start(const struct worker *worker)
{
	const struct zr_fleet *fleet = worker->fleet;

	return !worker->fences &&
	       zr_time_cmp(now(fleet), fleet->unfenced_from) < 0;
}

static enum zr_worker_event heard_event(const struct worker *worker)
{
	if (worker->host.leaving || !worker->listed || rival_may_start(worker))
		return ZR_WORKER_HEARD_LEAVING;
	return ZR_WORKER_HEARD;
}

static bool may_send(const struct worker *worker)
{
	const struct zr_fleet *fleet = worker->fleet;
	enum zr_owner_lease_state standing =
		fleet->options.events.standing(fleet->options.ctx);

	return standing == ZR_OWNER_LEASE_VALID ||
	       (standing == ZR_OWNER_LEASE_UNCONFIRMED && worker->fences);
}

static void clear_ends(struct worker *worker)
{
	struct open_end *end;
	struct open_end *next;

	LL_FOREACH_SAFE(worker->open_ends, end, next)
	{
		free(end);
	}
	worker->open_ends = NULL;
	worker->told = 0;
}

static uint64_t acknowledged(const struct worker *worker)
{
	return worker->open_ends ? worker->open_ends->sequence - 1
				 : worker->told;
}

static void forget(struct worker *worker)
{
	struct zr_fleet *fleet = worker->fleet;

	if (fleet->epoch)
		fleet->options.events.gone(fleet->options.ctx,
					   worker->host.name);
	HASH_DEL(fleet->workers, worker);
	clear_ends(worker);
	worker->adapter.ops->free(worker->adapter.impl);
	free(worker);
}

/* Syncs */

static void send_sync(struct worker *worker);

static void lose(struct worker *worker, const char *reason)
{
	struct zr_fleet *fleet = worker->fleet;
	zr_handle handle = worker->handle;

	zr_log(ZR_LOG_WARN, "worker.lost worker=%s reason=%s",
	       worker->host.name, reason);
	step(worker, ZR_WORKER_GONE);
	worker->handle = ZR_HANDLE_NONE;
	clear_ends(worker);
	if (handle)
		fleet->options.events.lost(fleet->options.ctx, handle);
}

static void note_report(struct worker *worker,
			const struct zr_worker_report *report)
{
	worker->last_heard = now(worker->fleet);
	if (worker->heard && worker->boot != report->boot)
		lose(worker, "restarted");
	worker->boot = report->boot;
	worker->token = report->token;
	worker->token_at = worker->last_heard;
	worker->fences = report->fences;
	worker->heard = true;
}

/* Passes on only those ends that were not told before. */
static void tell_report(struct worker *worker,
			const struct zr_worker_report *report)
{
	const struct zr_fleet_events *events = &worker->fleet->options.events;
	struct zr_worker_report news = *report;
	struct open_end *end;
	size_t i;

	while (news.end_count && news.ends->sequence <= worker->told) {
		news.ends++;
		news.end_count--;
	}
	for (i = 0; i < news.end_count; i++) {
		end = calloc(1, sizeof(*end));
		if (!end)
			abort();
		end->sequence = news.ends[i].sequence;
		worker->told = end->sequence;
		LL_APPEND(worker->open_ends, end);
	}
	events->report(worker->fleet->options.ctx, worker->handle, &news);
}

static void take_report(struct worker *worker,
			const struct zr_worker_report *report)
{
	struct zr_fleet *fleet = worker->fleet;

	note_report(worker, report);
	if (!worker->handle) {
		worker->handle = fleet->options.events.up(fleet->options.ctx,
							  &worker->host);
		if (!worker->handle)
			return;
	}
	take_event(worker, heard_event(worker));
	worker->owed = false;
	tell_report(worker, report);
}

static void on_report(void *ctx, int error,
		      const struct zr_worker_report *report)
{
	struct worker *worker = ctx;
	struct zr_fleet *fleet = worker->fleet;

	worker->sync_open = false;
	if (error == ZR_E_CANCELLED || !fleet->epoch)
		return;
	if (worker->sync_epoch != fleet->epoch) {
		/* Another owner may have been here since. */
		send_sync(worker);
		return;
	}
	if (error == ZR_E_FENCED) {
		fleet->options.events.fenced(fleet->options.ctx);
		return;
	}
	if (error < 0)
		return;
	take_report(worker, report);
	if (fleet->epoch && !worker->sync_open)
		send_sync(worker);
}

/* Whatever arrives late counts its lease from the token that it echoes. */
static void extend_lease(struct worker *worker)
{
	if (worker->token)
		worker->last_lease =
			zr_time_add_ms(worker->token_at,
				       ZR_FLEET_LEASE_MS + ZR_FLEET_MARGIN_MS);
}

static unsigned int wait_ms(const struct worker *worker)
{
	if (worker->handle)
		return SYNC_WAIT_MS;
	return worker->heard ? ASK_AGAIN_MS : 0;
}

static void send_sync(struct worker *worker)
{
	struct zr_fleet *fleet = worker->fleet;
	bool renews = may_send(worker);
	const struct zr_worker_sync sync = {
		.epoch = fleet->epoch,
		.boot = worker->boot,
		.token = renews ? worker->token : 0,
		.lease_ms = ZR_FLEET_LEASE_MS,
		.acknowledged = acknowledged(worker),
		.seen = worker->told,
		.wait_ms = wait_ms(worker),
	};

	worker->sync_open = true;
	worker->sync_epoch = fleet->epoch;
	worker->last_sent = now(fleet);
	if (renews)
		extend_lease(worker);
	worker->adapter.ops->sync(worker->adapter.impl, &sync, on_report,
				  worker);
}

static bool lease_lapsed(const struct worker *worker)
{
	const struct zr_fleet *fleet = worker->fleet;

	return zr_time_cmp(now(fleet), worker->last_lease) > 0 &&
	       (worker->heard || zr_time_cmp(now(fleet), fleet->rival_end) > 0);
}

/* Without answers there are no further tokens, and so no further leases. */
static void check_silence(struct worker *worker)
{
	int64_t silent =
		zr_time_diff_ms(now(worker->fleet), worker->last_heard);

	if (silent < UNHEARD_AFTER_MS)
		return;
	take_event(worker, ZR_WORKER_SILENT);
	if ((worker->handle || worker->owed) && lease_lapsed(worker)) {
		worker->owed = false;
		lose(worker, "lease_lapsed");
	}
}

static void maybe_sync(struct worker *worker)
{
	struct zr_fleet *fleet = worker->fleet;
	int64_t since = zr_time_diff_ms(now(fleet), worker->last_sent);

	if (!worker->sync_open && since >= RETRY_MS)
		send_sync(worker);
}

static bool may_forget(const struct worker *worker)
{
	return !worker->listed && !worker->handle && !worker->owed &&
	       !worker->sync_open;
}

static void on_tick(void *ctx)
{
	struct zr_fleet *fleet = ctx;
	struct worker *worker;
	struct worker *next;

	HASH_ITER (hh, fleet->workers, worker, next) {
		if (fleet->epoch)
			check_silence(worker);
		if (fleet->epoch && worker->state == ZR_WORKER_LEAVING)
			take_event(worker, heard_event(worker));
		if (may_forget(worker))
			forget(worker);
		else if (fleet->epoch)
			maybe_sync(worker);
	}
}

/* Host list */

static struct worker *add_worker(struct zr_fleet *fleet,
				 const struct zr_host *host)
{
	struct worker *worker = calloc(1, sizeof(*worker));
	int error;

	if (!worker)
		abort();
	worker->fleet = fleet;
	worker->host = *host;
	worker->state = zr_chart_initial(zr_charts()->worker);
	error = fleet->options.worker_new(
		&worker->adapter, fleet->options.worker_ctx, host->address);
	if (error < 0) {
		zr_log(ZR_LOG_ERROR, "worker.refused worker=%s error=%s",
		       host->name, zr_error_name(error));
		free(worker);
		return NULL;
	}
	worker->last_heard = now(fleet);
	HASH_ADD_STR(fleet->workers, host.name, worker);
	return worker;
}

static void take_host(struct zr_fleet *fleet, const struct zr_host *host)
{
	struct worker *worker;

	if (host->kind != ZR_HOST_WORKER || strcmp(host->domain, fleet->domain))
		return;
	HASH_FIND_STR(fleet->workers, host->name, worker);
	if (!worker)
		worker = add_worker(fleet, host);
	if (!worker)
		return;
	worker->listed = true;
	worker->host.leaving = host->leaving;
}

void zr_fleet_hosts(struct zr_fleet *fleet, const struct zr_host *hosts,
		    size_t count)
{
	struct worker *worker;
	struct worker *next;
	size_t i;

	HASH_ITER (hh, fleet->workers, worker, next)
		worker->listed = false;
	for (i = 0; i < count; i++)
		take_host(fleet, &hosts[i]);
	HASH_ITER (hh, fleet->workers, worker, next) {
		if (worker->state != ZR_WORKER_UNHEARD)
			take_event(worker, heard_event(worker));
	}
}

/* Ownership */

static void begin_worker(struct worker *worker)
{
	worker->handle = ZR_HANDLE_NONE;
	worker->state = zr_chart_initial(zr_charts()->worker);
	clear_ends(worker);
	worker->heard = false;
	worker->token = 0;
	worker->last_heard = now(worker->fleet);
	worker->last_lease = worker->last_heard;
	if (!worker->sync_open)
		send_sync(worker);
}

void zr_fleet_begin(struct zr_fleet *fleet, uint64_t epoch, int64_t rival_ms)
{
	const int64_t lease_ms = ZR_FLEET_LEASE_MS + ZR_FLEET_MARGIN_MS;
	struct worker *worker;
	struct worker *next;

	fleet->epoch = epoch;
	/* Under the first epoch there was nobody before. */
	fleet->unfenced_from =
		zr_time_add_ms(now(fleet), epoch > 1 ? lease_ms : 0);
	fleet->rival_end = zr_time_add_ms(now(fleet), rival_ms + lease_ms);
	HASH_ITER (hh, fleet->workers, worker, next)
		begin_worker(worker);
}

void zr_fleet_end(struct zr_fleet *fleet)
{
	struct worker *worker;
	struct worker *next;

	fleet->epoch = 0;
	HASH_ITER (hh, fleet->workers, worker, next) {
		worker->handle = ZR_HANDLE_NONE;
		worker->owed = false;
		clear_ends(worker);
	}
}

void zr_fleet_owe(struct zr_fleet *fleet, const struct zr_host *host)
{
	struct worker *worker;

	HASH_FIND_STR(fleet->workers, host->name, worker);
	if (!worker)
		worker = add_worker(fleet, host);
	if (worker)
		worker->owed = true;
}

bool zr_fleet_complete(const struct zr_fleet *fleet)
{
	const struct worker *worker;

	for (worker = fleet->workers; worker; worker = worker->hh.next) {
		if (worker->owed)
			return false;
	}
	return true;
}

static struct worker *find(const struct zr_fleet *fleet, zr_handle handle)
{
	struct worker *worker = handle ? fleet->workers : NULL;

	while (worker && worker->handle != handle)
		worker = worker->hh.next;
	return worker;
}

const struct zr_host *zr_fleet_host(const struct zr_fleet *fleet,
				    zr_handle handle)
{
	const struct worker *worker = find(fleet, handle);

	return worker ? &worker->host : NULL;
}

void zr_fleet_start(struct zr_fleet *fleet, zr_handle handle,
		    const struct zr_worker_start *start, zr_worker_done_fn done,
		    void *ctx)
{
	struct worker *worker = find(fleet, handle);
	struct zr_worker_start sent = *start;

	if (!worker) {
		done(ctx, ZR_E_NOT_FOUND);
		return;
	}
	if (!may_send(worker)) {
		done(ctx, ZR_E_NOT_OWNER);
		return;
	}
	sent.epoch = fleet->epoch;
	sent.boot = worker->boot;
	sent.token = worker->token;
	sent.lease_ms = ZR_FLEET_LEASE_MS;
	extend_lease(worker);
	worker->adapter.ops->start(worker->adapter.impl, &sent, done, ctx);
}

void zr_fleet_acknowledge(struct zr_fleet *fleet, zr_handle handle,
			  uint64_t sequence)
{
	struct worker *worker = find(fleet, handle);
	struct open_end *end;
	struct open_end *next;

	if (!worker)
		return;
	LL_FOREACH_SAFE(worker->open_ends, end, next)
	{
		if (end->sequence != sequence)
			continue;
		LL_DELETE(worker->open_ends, end);
		free(end);
	}
}

static void on_stop_sent(void *ctx, int error)
{
	/* The worker's next inventory shows whether the task has ended. */
	(void)ctx;
	(void)error;
}

void zr_fleet_stop(struct zr_fleet *fleet, zr_handle handle, const char *id,
		   enum zr_worker_stop_mode mode)
{
	struct worker *worker = find(fleet, handle);

	if (worker && may_send(worker))
		worker->adapter.ops->stop(worker->adapter.impl, fleet->epoch,
					  id, mode, on_stop_sent, NULL);
}

int zr_fleet_new(struct zr_fleet **out, const struct zr_fleet_options *options)
{
	struct zr_fleet *fleet = calloc(1, sizeof(*fleet));

	if (!fleet)
		return ZR_E_NOMEM;
	fleet->options = *options;
	snprintf(fleet->domain, sizeof(fleet->domain), "%s", options->domain);
	fleet->timer = zr_timer_new(options->timers, on_tick, fleet);
	zr_timer_start(fleet->timer, TICK_MS, TICK_MS);
	*out = fleet;
	return 0;
}

void zr_fleet_free(struct zr_fleet *fleet)
{
	struct worker *worker;
	struct worker *next;

	if (!fleet)
		return;
	fleet->epoch = 0;
	HASH_ITER (hh, fleet->workers, worker, next)
		forget(worker);
	zr_timer_free(fleet->timer);
	free(fleet);
}

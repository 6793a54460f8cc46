#include "domain/fleet.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "zinniarack/errors.h"
#include "zinniarack/log.h"

#define TICK_MS 250
#define SYNC_WAIT_MS 500
#define RETRY_MS 500
#define UNHEARD_AFTER_MS 3000
#define CLOCK_RATE_MARGIN_MS 500

struct worker {
	UT_hash_handle hh;
	struct zr_fleet *fleet;
	struct zr_host host;
	struct zr_worker adapter;
	zr_handle handle;
	enum zr_sched_worker_state state;
	bool listed;
	bool sync_open;
	uint64_t acknowledged;
	struct timespec last_sent;
	struct timespec last_heard;
	struct timespec last_lease;
};

struct zr_fleet {
	struct zr_fleet_options options;
	char domain[ZR_NAME_MAX];
	struct zr_timer *timer;
	uint64_t epoch;
	struct worker *workers;
};

static struct timespec now(const struct zr_fleet *fleet)
{
	return zr_clock_now(fleet->options.clock);
}

static void set_state(struct worker *worker, enum zr_sched_worker_state state)
{
	struct zr_fleet *fleet = worker->fleet;

	if (worker->state == state || !worker->handle)
		return;
	worker->state = state;
	zr_log(ZR_LOG_INFO, "worker.state worker=%s state=%s",
	       worker->host.name,
	       state == ZR_SCHED_WORKER_UP	  ? "up"
	       : state == ZR_SCHED_WORKER_LEAVING ? "leaving"
						  : "unheard");
	fleet->options.events.state(fleet->options.ctx, worker->handle, state);
}

static enum zr_sched_worker_state heard_state(const struct worker *worker)
{
	return worker->host.leaving || !worker->listed ? ZR_SCHED_WORKER_LEAVING
						       : ZR_SCHED_WORKER_UP;
}

static void forget(struct worker *worker)
{
	struct zr_fleet *fleet = worker->fleet;

	HASH_DEL(fleet->workers, worker);
	worker->adapter.ops->free(worker->adapter.impl);
	free(worker);
}

/* Syncs */

static void send_sync(struct worker *worker);

static void take_report(struct worker *worker,
			const struct zr_worker_report *report)
{
	struct zr_fleet *fleet = worker->fleet;

	worker->last_heard = now(fleet);
	if (!worker->handle) {
		worker->handle = fleet->options.events.up(fleet->options.ctx,
							  &worker->host);
		worker->state = ZR_SCHED_WORKER_UP;
		if (!worker->handle)
			return;
	}
	set_state(worker, heard_state(worker));
	fleet->options.events.report(fleet->options.ctx, worker->handle,
				     report);
}

static void on_report(void *ctx, int error,
		      const struct zr_worker_report *report)
{
	struct worker *worker = ctx;
	struct zr_fleet *fleet = worker->fleet;

	worker->sync_open = false;
	if (error == ZR_E_CANCELLED || !fleet->epoch)
		return;
	if (error == ZR_E_FENCED) {
		fleet->options.events.fenced(fleet->options.ctx);
		return;
	}
	if (error < 0)
		return;
	take_report(worker, report);
	if (fleet->epoch)
		send_sync(worker);
}

static void extend_lease(struct worker *worker)
{
	worker->last_lease = zr_time_add_ms(
		now(worker->fleet), ZR_FLEET_LEASE_MS + CLOCK_RATE_MARGIN_MS);
}

static void send_sync(struct worker *worker)
{
	struct zr_fleet *fleet = worker->fleet;
	const struct zr_worker_sync sync = {
		.epoch = fleet->epoch,
		.lease_ms = ZR_FLEET_LEASE_MS,
		.acknowledged = worker->acknowledged,
		.wait_ms = worker->handle ? SYNC_WAIT_MS : 0,
	};

	worker->sync_open = true;
	worker->last_sent = now(fleet);
	worker->adapter.ops->sync(worker->adapter.impl, &sync, on_report,
				  worker);
	extend_lease(worker);
}

static bool lease_lapsed(const struct worker *worker)
{
	return zr_time_cmp(now(worker->fleet), worker->last_lease) > 0;
}

/* Without answers there are no further leases: syncs that fail give none. */
static void check_silence(struct worker *worker)
{
	struct zr_fleet *fleet = worker->fleet;
	int64_t silent = zr_time_diff_ms(now(fleet), worker->last_heard);

	if (silent < UNHEARD_AFTER_MS)
		return;
	set_state(worker, ZR_SCHED_WORKER_UNHEARD);
	if (worker->handle && lease_lapsed(worker)) {
		zr_log(ZR_LOG_WARN, "worker.lost worker=%s silent_ms=%lld",
		       worker->host.name, (long long)silent);
		fleet->options.events.lost(fleet->options.ctx, worker->handle);
		worker->handle = ZR_HANDLE_NONE;
		worker->acknowledged = 0;
	}
}

static void maybe_sync(struct worker *worker)
{
	struct zr_fleet *fleet = worker->fleet;
	int64_t since = zr_time_diff_ms(now(fleet), worker->last_sent);

	if (!worker->sync_open && since >= RETRY_MS)
		send_sync(worker);
}

static void on_tick(void *ctx)
{
	struct zr_fleet *fleet = ctx;
	struct worker *worker;
	struct worker *next;

	HASH_ITER (hh, fleet->workers, worker, next) {
		if (!fleet->epoch)
			return;
		check_silence(worker);
		if (!worker->listed && !worker->handle && !worker->sync_open)
			forget(worker);
		else
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
		if (worker->state != ZR_SCHED_WORKER_UNHEARD)
			set_state(worker, heard_state(worker));
	}
}

/* Ownership */

void zr_fleet_begin(struct zr_fleet *fleet, uint64_t epoch)
{
	struct worker *worker;
	struct worker *next;

	fleet->epoch = epoch;
	HASH_ITER (hh, fleet->workers, worker, next) {
		worker->handle = ZR_HANDLE_NONE;
		worker->acknowledged = 0;
		worker->last_heard = now(fleet);
		if (!worker->sync_open)
			send_sync(worker);
	}
}

void zr_fleet_end(struct zr_fleet *fleet)
{
	struct worker *worker;
	struct worker *next;

	fleet->epoch = 0;
	HASH_ITER (hh, fleet->workers, worker, next)
		worker->handle = ZR_HANDLE_NONE;
}

bool zr_fleet_complete(const struct zr_fleet *fleet)
{
	const struct worker *worker;

	for (worker = fleet->workers; worker; worker = worker->hh.next) {
		if (worker->listed && !worker->handle)
			return false;
	}
	return fleet->workers != NULL;
}

static struct worker *find(const struct zr_fleet *fleet, zr_handle handle)
{
	struct worker *worker;

	for (worker = fleet->workers; worker; worker = worker->hh.next) {
		if (worker->handle == handle)
			return worker;
	}
	return NULL;
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
	sent.epoch = fleet->epoch;
	sent.lease_ms = ZR_FLEET_LEASE_MS;
	extend_lease(worker);
	worker->adapter.ops->start(worker->adapter.impl, &sent, done, ctx);
}

void zr_fleet_acknowledge(struct zr_fleet *fleet, zr_handle handle,
			  uint64_t sequence)
{
	struct worker *worker = find(fleet, handle);

	if (worker && worker->acknowledged < sequence)
		worker->acknowledged = sequence;
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

	if (worker)
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

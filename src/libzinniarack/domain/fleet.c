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
/* Maximum time for which a worker holds its response to a sync. */
#define SYNC_WAIT_MS 500
/*
 * The same for a worker without a handle. Its journal record is being
 * persisted, and each response checks whether it can get a handle now.
 */
#define NO_HANDLE_WAIT_MS 50
/* Minimum time between the sending of a failed sync and of the next one. */
#define SYNC_RETRY_MS 500
/* A worker is unresponsive after this time without a response. */
#define UNRESPONSIVE_AFTER_MS 3000

/* An ended task that was passed to the caller and is not acknowledged yet. */
struct unacked_end {
	struct unacked_end *next;
	uint64_t sequence;
};

/**
 * struct worker - a worker of the domain
 * @host: its entry in the host list or in the journal
 * @adapter: connection to the worker
 * @handle: its handle in the core; ZR_HANDLE_NONE if it has none
 * @listed: whether the host list contains it
 * @sync_in_flight: whether a sync was sent and has no response yet
 * @responded: whether it has responded under this epoch
 * @report_pending: whether previous owners have used it and it has not
 *	reported to this owner yet
 * @supports_fencing: whether it rejects calls with a lower epoch than it has
 *	seen
 * @incarnation: incarnation in its last response; differs after a restart
 * @lease_token: lease token of its last response under this epoch, or 0
 * @sync_epoch: epoch of the sync in flight
 * @last_end: sequence number of the last end delivered under this handle
 * @unacked_ends: delivered ends that are not acknowledged, oldest first
 * @token_received_at: time of the response with @lease_token
 * @sync_sent_at: time at which the last sync was sent
 * @responded_at: time of its last response, or of the start of this epoch
 * @lease_expires_at: end of the last lease that this owner may have granted
 */
struct worker {
	UT_hash_handle hh;
	struct zr_fleet *fleet;
	struct zr_host host;
	struct zr_worker adapter;
	zr_handle handle;
	int state; /* enum zr_worker_state */
	bool listed;
	bool sync_in_flight;
	bool responded;
	bool report_pending;
	bool supports_fencing;
	uint64_t incarnation;
	uint64_t lease_token;
	uint64_t sync_epoch;
	uint64_t last_end;
	struct unacked_end *unacked_ends;
	struct timespec token_received_at;
	struct timespec sync_sent_at;
	struct timespec responded_at;
	struct timespec lease_expires_at;
};

/**
 * struct zr_fleet - the workers of a domain
 * @epoch: epoch of the current term; 0 if not the owner
 * @predecessor_lease_end: time by which all leases that the previous owner may
 *	have granted have expired
 * @unfenced_start_at: time from which a worker that does not reject lower
 *	epochs may get tasks, as it accepts no start from the previous owner any
 *	more
 * @workers: workers by name
 */
struct zr_fleet {
	struct zr_fleet_options options;
	char domain[ZR_NAME_MAX];
	struct zr_timer *timer;
	uint64_t epoch;
	struct timespec predecessor_lease_end;
	struct timespec unfenced_start_at;
	struct worker *workers;
};

static struct timespec now(const struct zr_fleet *fleet)
{
	return zr_clock_now(fleet->options.clock);
}

static void apply_event(struct worker *worker, enum zr_worker_event event)
{
	zr_chart_step(&worker->state, zr_charts()->worker, event);
}

static void report_state(const struct worker *worker)
{
	static const struct {
		const char *name;
		enum zr_sched_worker_state state;
	} states[] = {
		[ZR_WORKER_UNKNOWN] = {"unknown", ZR_SCHED_WORKER_UNRESPONSIVE},
		[ZR_WORKER_UP] = {"up", ZR_SCHED_WORKER_UP},
		[ZR_WORKER_LEAVING] = {"leaving", ZR_SCHED_WORKER_LEAVING},
		[ZR_WORKER_UNRESPONSIVE] = {"unheard",
					    ZR_SCHED_WORKER_UNRESPONSIVE},
	};
	const struct zr_fleet *fleet = worker->fleet;

	zr_log(ZR_LOG_INFO, "worker.state worker=%s state=%s",
	       worker->host.name, states[worker->state].name);
	fleet->options.events.state(fleet->options.ctx, worker->handle,
				    states[worker->state].state);
}

static void handle_event(struct worker *worker, enum zr_worker_event event)
{
	int previous = worker->state;

	if (!worker->handle)
		return;
	apply_event(worker, event);
	if (worker->state == previous)
		return;
	/* The core treats a worker that was just added as up. */
	if (previous != ZR_WORKER_UNKNOWN || worker->state != ZR_WORKER_UP)
		report_state(worker);
}

/*
 * Whether the previous owner may still start tasks on a worker that does not
 * reject its calls. The worker gets no tasks while this is the case.
 */
static bool predecessor_may_start(const struct worker *worker)
{
	const struct zr_fleet *fleet = worker->fleet;

	return !worker->supports_fencing &&
	       zr_time_cmp(now(fleet), fleet->unfenced_start_at) < 0;
}

static enum zr_worker_event response_event(const struct worker *worker)
{
	if (worker->host.leaving || !worker->listed ||
	    predecessor_may_start(worker))
		return ZR_WORKER_EVENT_RESPONDED_LEAVING;
	return ZR_WORKER_EVENT_RESPONDED;
}

/* Whether the state of the ownership lease allows a call to the worker. */
static bool may_send(const struct worker *worker)
{
	const struct zr_fleet *fleet = worker->fleet;
	enum zr_owner_lease_state lease_state =
		fleet->options.events.lease_state(fleet->options.ctx);

	return lease_state == ZR_OWNER_LEASE_VALID ||
	       (lease_state == ZR_OWNER_LEASE_UNCONFIRMED &&
		worker->supports_fencing);
}

static void clear_ends(struct worker *worker)
{
	struct unacked_end *end;
	struct unacked_end *next;

	LL_FOREACH_SAFE(worker->unacked_ends, end, next)
	{
		free(end);
	}
	worker->unacked_ends = NULL;
	worker->last_end = 0;
}

/* The highest sequence number up to which all ends are acknowledged. */
static uint64_t acked_sequence(const struct worker *worker)
{
	return worker->unacked_ends ? worker->unacked_ends->sequence - 1
				    : worker->last_end;
}

static void remove_worker(struct worker *worker)
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

static void mark_lost(struct worker *worker, const char *reason)
{
	struct zr_fleet *fleet = worker->fleet;
	zr_handle handle = worker->handle;

	zr_log(ZR_LOG_WARN, "worker.lost worker=%s reason=%s",
	       worker->host.name, reason);
	apply_event(worker, ZR_WORKER_EVENT_GONE);
	worker->handle = ZR_HANDLE_NONE;
	clear_ends(worker);
	if (handle)
		fleet->options.events.lost(fleet->options.ctx, handle);
}

static void update_from_report(struct worker *worker,
			       const struct zr_worker_report *report)
{
	worker->responded_at = now(worker->fleet);
	if (worker->responded && worker->incarnation != report->incarnation)
		mark_lost(worker, "restarted");
	worker->incarnation = report->incarnation;
	worker->lease_token = report->lease_token;
	worker->token_received_at = worker->responded_at;
	worker->supports_fencing = report->supports_fencing;
	worker->responded = true;
}

/* Delivers a report without the ends that were delivered before. */
static void forward_report(struct worker *worker,
			   const struct zr_worker_report *report)
{
	const struct zr_fleet_events *events = &worker->fleet->options.events;
	struct zr_worker_report update = *report;
	struct unacked_end *end;
	size_t i;

	while (update.end_count && update.ends->sequence <= worker->last_end) {
		update.ends++;
		update.end_count--;
	}
	for (i = 0; i < update.end_count; i++) {
		end = calloc(1, sizeof(*end));
		if (!end)
			abort();
		end->sequence = update.ends[i].sequence;
		worker->last_end = end->sequence;
		LL_APPEND(worker->unacked_ends, end);
	}
	events->report(worker->fleet->options.ctx, worker->handle, &update);
}

static void handle_report(struct worker *worker,
			  const struct zr_worker_report *report)
{
	struct zr_fleet *fleet = worker->fleet;

	update_from_report(worker, report);
	if (!worker->handle) {
		worker->handle = fleet->options.events.up(fleet->options.ctx,
							  &worker->host);
		if (!worker->handle)
			return;
	}
	handle_event(worker, response_event(worker));
	worker->report_pending = false;
	forward_report(worker, report);
}

static void on_report(void *ctx, int error,
		      const struct zr_worker_report *report)
{
	struct worker *worker = ctx;
	struct zr_fleet *fleet = worker->fleet;

	worker->sync_in_flight = false;
	if (error == ZR_E_CANCELLED || !fleet->epoch)
		return;
	if (worker->sync_epoch != fleet->epoch) {
		/* Sent in an earlier term; another owner may have followed. */
		send_sync(worker);
		return;
	}
	if (error == ZR_E_FENCED) {
		fleet->options.events.fenced(fleet->options.ctx);
		return;
	}
	if (error < 0)
		return;
	handle_report(worker, report);
	if (fleet->epoch && !worker->sync_in_flight)
		send_sync(worker);
}

/*
 * Updates the expiry for a call that echoes the lease token. The worker counts
 * the lease from when it issued the token, however late the call arrives there.
 * It issued the token before this host received it, so the lease ends no later
 * than when counted from the receipt.
 */
static void extend_lease(struct worker *worker)
{
	if (worker->lease_token)
		worker->lease_expires_at = zr_time_add_ms(
			worker->token_received_at,
			ZR_FLEET_LEASE_MS + ZR_FLEET_CLOCK_MARGIN_MS);
}

static unsigned int wait_ms(const struct worker *worker)
{
	if (worker->handle)
		return SYNC_WAIT_MS;
	return worker->responded ? NO_HANDLE_WAIT_MS : 0;
}

static void send_sync(struct worker *worker)
{
	struct zr_fleet *fleet = worker->fleet;
	bool renew = may_send(worker);
	const struct zr_worker_sync sync = {
		.epoch = fleet->epoch,
		.incarnation = worker->incarnation,
		.lease_token = renew ? worker->lease_token : 0,
		.lease_ms = ZR_FLEET_LEASE_MS,
		.last_end_acked = acked_sequence(worker),
		.last_end_received = worker->last_end,
		.wait_ms = wait_ms(worker),
	};

	worker->sync_in_flight = true;
	worker->sync_epoch = fleet->epoch;
	worker->sync_sent_at = now(fleet);
	if (renew)
		extend_lease(worker);
	worker->adapter.ops->sync(worker->adapter.impl, &sync, on_report,
				  worker);
}

/*
 * Whether all leases of the worker's tasks have expired. Leases of the previous
 * owner count until the worker has responded under this epoch.
 */
static bool leases_expired(const struct worker *worker)
{
	const struct zr_fleet *fleet = worker->fleet;

	return zr_time_cmp(now(fleet), worker->lease_expires_at) > 0 &&
	       (worker->responded ||
		zr_time_cmp(now(fleet), fleet->predecessor_lease_end) > 0);
}

/*
 * Marks a worker that does not respond as unresponsive and, once its leases
 * have expired, as lost. It gets no further leases meanwhile, as those need the
 * lease token of a new response.
 */
static void check_responding(struct worker *worker)
{
	int64_t unresponsive_ms =
		zr_time_diff_ms(now(worker->fleet), worker->responded_at);

	if (unresponsive_ms < UNRESPONSIVE_AFTER_MS)
		return;
	handle_event(worker, ZR_WORKER_EVENT_UNRESPONSIVE);
	if ((worker->handle || worker->report_pending) &&
	    leases_expired(worker)) {
		worker->report_pending = false;
		mark_lost(worker, "lease_lapsed");
	}
}

static void sync_if_due(struct worker *worker)
{
	struct zr_fleet *fleet = worker->fleet;
	int64_t elapsed_ms = zr_time_diff_ms(now(fleet), worker->sync_sent_at);

	if (!worker->sync_in_flight && elapsed_ms >= SYNC_RETRY_MS)
		send_sync(worker);
}

static bool may_remove(const struct worker *worker)
{
	return !worker->listed && !worker->handle && !worker->report_pending &&
	       !worker->sync_in_flight;
}

static void on_tick(void *ctx)
{
	struct zr_fleet *fleet = ctx;
	struct worker *worker;
	struct worker *next;

	HASH_ITER (hh, fleet->workers, worker, next) {
		if (fleet->epoch)
			check_responding(worker);
		/* Leaving may be due to predecessor_may_start(), which ends. */
		if (fleet->epoch && worker->state == ZR_WORKER_LEAVING)
			handle_event(worker, response_event(worker));
		if (may_remove(worker))
			remove_worker(worker);
		else if (fleet->epoch)
			sync_if_due(worker);
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
		zr_log(ZR_LOG_ERROR, "worker.add_failed worker=%s error=%s",
		       host->name, zr_error_name(error));
		free(worker);
		return NULL;
	}
	worker->responded_at = now(fleet);
	HASH_ADD_STR(fleet->workers, host.name, worker);
	return worker;
}

static void update_host(struct zr_fleet *fleet, const struct zr_host *host)
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

void zr_fleet_set_hosts(struct zr_fleet *fleet, const struct zr_host *hosts,
			size_t count)
{
	struct worker *worker;
	struct worker *next;
	size_t i;

	HASH_ITER (hh, fleet->workers, worker, next)
		worker->listed = false;
	for (i = 0; i < count; i++)
		update_host(fleet, &hosts[i]);
	HASH_ITER (hh, fleet->workers, worker, next) {
		if (worker->state != ZR_WORKER_UNRESPONSIVE)
			handle_event(worker, response_event(worker));
	}
}

/* Ownership */

static void reset_worker(struct worker *worker)
{
	worker->handle = ZR_HANDLE_NONE;
	worker->state = zr_chart_initial(zr_charts()->worker);
	clear_ends(worker);
	worker->responded = false;
	worker->lease_token = 0;
	worker->responded_at = now(worker->fleet);
	worker->lease_expires_at = worker->responded_at;
	if (!worker->sync_in_flight)
		send_sync(worker);
}

void zr_fleet_begin(struct zr_fleet *fleet, uint64_t epoch,
		    int64_t predecessor_ms)
{
	const int64_t lease_ms = ZR_FLEET_LEASE_MS + ZR_FLEET_CLOCK_MARGIN_MS;
	struct worker *worker;
	struct worker *next;

	fleet->epoch = epoch;
	/* There is no previous owner before the first epoch. */
	fleet->unfenced_start_at =
		zr_time_add_ms(now(fleet), epoch > 1 ? lease_ms : 0);
	fleet->predecessor_lease_end =
		zr_time_add_ms(now(fleet), predecessor_ms + lease_ms);
	HASH_ITER (hh, fleet->workers, worker, next)
		reset_worker(worker);
}

void zr_fleet_end(struct zr_fleet *fleet)
{
	struct worker *worker;
	struct worker *next;

	fleet->epoch = 0;
	HASH_ITER (hh, fleet->workers, worker, next) {
		worker->handle = ZR_HANDLE_NONE;
		worker->report_pending = false;
		clear_ends(worker);
	}
}

void zr_fleet_expect_report(struct zr_fleet *fleet, const struct zr_host *host)
{
	struct worker *worker;

	HASH_FIND_STR(fleet->workers, host->name, worker);
	if (!worker)
		worker = add_worker(fleet, host);
	if (worker)
		worker->report_pending = true;
}

bool zr_fleet_reconciled(const struct zr_fleet *fleet)
{
	const struct worker *worker;

	for (worker = fleet->workers; worker; worker = worker->hh.next) {
		if (worker->report_pending)
			return false;
	}
	return true;
}

static struct worker *find_worker(const struct zr_fleet *fleet,
				  zr_handle handle)
{
	struct worker *worker = handle ? fleet->workers : NULL;

	while (worker && worker->handle != handle)
		worker = worker->hh.next;
	return worker;
}

const struct zr_host *zr_fleet_host(const struct zr_fleet *fleet,
				    zr_handle handle)
{
	const struct worker *worker = find_worker(fleet, handle);

	return worker ? &worker->host : NULL;
}

void zr_fleet_start(struct zr_fleet *fleet, zr_handle handle,
		    const struct zr_worker_start *start, zr_worker_done_fn done,
		    void *ctx)
{
	struct worker *worker = find_worker(fleet, handle);
	struct zr_worker_start message = *start;

	if (!worker) {
		done(ctx, ZR_E_NOT_FOUND);
		return;
	}
	if (!may_send(worker)) {
		done(ctx, ZR_E_NOT_OWNER);
		return;
	}
	message.epoch = fleet->epoch;
	message.incarnation = worker->incarnation;
	message.lease_token = worker->lease_token;
	message.lease_ms = ZR_FLEET_LEASE_MS;
	extend_lease(worker);
	worker->adapter.ops->start(worker->adapter.impl, &message, done, ctx);
}

void zr_fleet_acknowledge(struct zr_fleet *fleet, zr_handle handle,
			  uint64_t sequence)
{
	struct worker *worker = find_worker(fleet, handle);
	struct unacked_end *end;
	struct unacked_end *next;

	if (!worker)
		return;
	LL_FOREACH_SAFE(worker->unacked_ends, end, next)
	{
		if (end->sequence != sequence)
			continue;
		LL_DELETE(worker->unacked_ends, end);
		free(end);
	}
}

static void on_stop_sent(void *ctx, int error)
{
	/* The next report of the worker shows whether the task still runs. */
	(void)ctx;
	(void)error;
}

void zr_fleet_stop(struct zr_fleet *fleet, zr_handle handle, const char *id,
		   enum zr_worker_stop_mode mode)
{
	struct worker *worker = find_worker(fleet, handle);

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
		remove_worker(worker);
	zr_timer_free(fleet->timer);
	free(fleet);
}

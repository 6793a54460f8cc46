#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cell/plan.h"
#include "zinniarack/errors.h"
#include "zinniarack/log.h"

/*
 * The registry of a large fleet is large, so it is read in full only at this
 * interval, and changes are watched in between. If the watch fails, the
 * registry is read as often as changes have to be known.
 */
#define FULL_READ_INTERVAL_MS 4000
#define READ_INTERVAL_MS 500
/* Longest time that a watch waits for a change. */
#define WATCH_WAIT_MS 1500
/*
 * Pause between watches. Workers write to the registry with each heartbeat, so
 * that on a large fleet a watch returns at once with a single change.
 */
#define WATCH_PAUSE_MS 250
/* Interval of the polls that confirm a later incarnation of a registration. */
#define ANNOUNCED_POLL_MS 250
/* Entries that cannot be used are logged at most this often. */
#define REFUSED_LOG_INTERVAL_MS 10000

static void connect_worker(struct zr_cell_scheduler *scheduler,
			   struct zr_cell_worker *worker, const char *address)
{
	const struct zr_cell_platform *platform = scheduler->options.platform;

	if (worker->conn.ops && !strcmp(worker->report.address, address))
		return;
	zr_cell_worker_disconnect(worker);
	if (platform->worker_conn_open(platform->ctx, &worker->conn, address,
				       worker->report.name) < 0) {
		worker->conn.ops = NULL;
		zr_log(ZR_LOG_WARN, "worker.bad_address worker=%s",
		       worker->report.name);
	}
}

/*
 * Other programs write to the registry too, so an incarnation is only taken for
 * that of the worker until the worker has answered in this term, or has been
 * sent a start. After that a later one is a reason to poll the worker, and to
 * place nothing there until it has answered.
 */
static void apply_incarnation(struct zr_cell_scheduler *scheduler,
			      struct zr_cell_worker *worker,
			      int64_t incarnation)
{
	int64_t now = zr_cell_now_ms(scheduler);

	if (!worker->incarnation_confirmed &&
	    (!worker->report.incarnation ||
	     !zr_cell_worker_may_have_runs(scheduler, worker))) {
		worker->report.incarnation = incarnation;
		return;
	}
	if (incarnation <= worker->report.incarnation) {
		worker->announced_event = 0;
		worker->announced_incarnation = 0;
		return;
	}
	if (incarnation == worker->announced_incarnation &&
	    (!worker->announced_event ||
	     now - worker->announced_poll_at < ANNOUNCED_POLL_MS))
		return;
	if (!worker->announced_event)
		worker->announced_event = ++scheduler->event_count;
	worker->announced_incarnation = incarnation;
	worker->announced_poll_at = now;
	zr_cell_poll_extra(scheduler, worker);
}

static void apply_report(struct zr_cell_scheduler *scheduler,
			 const struct zr_cell_worker_report *report)
{
	struct zr_cell_worker *worker =
		zr_cell_worker_get_or_add(&scheduler->term.model, report->name);
	bool was_leaving = worker->report.leaving && worker->registered;
	int64_t incarnation;

	connect_worker(scheduler, worker, report->address);
	apply_incarnation(scheduler, worker, report->incarnation);
	incarnation = worker->report.incarnation;
	if (!worker->registered)
		zr_log_decision("worker.registered worker=%s domain=%s pool=%s "
				"cpus=%u",
				report->name, report->domain, report->pool,
				report->capacity.millicpus);
	if (report->leaving && !was_leaving)
		zr_log_decision(
			"worker.leaving worker=%s left_ms=%lld runs=%zu",
			report->name, (long long)report->leaves_in_ms,
			worker->run_count);
	if (report->ignored_labels != worker->report.ignored_labels)
		zr_log(ZR_LOG_WARN,
		       "worker.labels_ignored worker=%s labels=%zu error=%s",
		       report->name, report->ignored_labels,
		       zr_error_name(ZR_E_TOO_LARGE));
	worker->report = *report;
	worker->report.incarnation = incarnation;
	worker->described_incarnation = report->incarnation;
	zr_cell_speed_worker_changed(scheduler, worker);
	worker->domain = zr_cell_domain_get_or_add(&scheduler->term.model,
						   report->domain);
	worker->registered = true;
	if (worker->clock_ms < 0 && report->clock_ms >= 0 &&
	    report->incarnation == incarnation) {
		worker->clock_ms = report->clock_ms;
		worker->clock_at = zr_cell_now_ms(scheduler);
	}
	zr_cell_departure_announced(worker, zr_cell_now_ms(scheduler));
	if (worker->run_count || worker->poll_due_at != ZR_CELL_NEVER)
		zr_cell_polls_process(scheduler, worker);
}

static void remove_unregistered(struct zr_cell_scheduler *scheduler)
{
	struct zr_cell_worker *worker;
	struct zr_cell_worker *next;

	HASH_ITER (hh, scheduler->term.model.worker_by_name, worker, next) {
		if (worker->registered)
			continue;
		if (worker->run_count || worker->poll_in_flight)
			continue;
		zr_log_decision("worker.removed worker=%s",
				worker->report.name);
		zr_cell_worker_remove(&scheduler->term.model, worker);
	}
}

static void set_unregistered(struct zr_cell_worker *worker)
{
	if (worker->registered)
		zr_log_decision("worker.unregistered worker=%s runs=%zu",
				worker->report.name, worker->run_count);
	worker->registered = false;
}

/*
 * An entry that cannot be used is logged when it has changed, but not each
 * heartbeat of its worker.
 */
static void log_refused(struct zr_cell_scheduler *scheduler,
			const struct zr_store_value *value, int error)
{
	struct zr_cell_term *term = &scheduler->term;
	int64_t now = zr_cell_now_ms(scheduler);

	if (value->mod_revision <= term->refused_revision)
		return;
	term->refused_revision = value->mod_revision;
	scheduler->refused_registrations->value++;
	if (term->refused_logged_at &&
	    now - term->refused_logged_at < REFUSED_LOG_INTERVAL_MS)
		return;
	term->refused_logged_at = now;
	zr_log(ZR_LOG_WARN, "registry.entry_refused key=%s error=%s",
	       value->key, zr_error_name(error));
}

/*
 * Applies an entry unless a later change of it is known: reads and watches may
 * overtake each other. @revision is that of the reply. If a later one is known,
 * a worker that is not may have left in between.
 */
static void apply_entry(struct zr_cell_scheduler *scheduler,
			const struct zr_store_value *value, int64_t revision)
{
	const struct zr_cell_platform *platform = scheduler->options.platform;
	const char *name = value->key + strlen(platform->worker_prefix);
	struct zr_cell_worker *worker =
		zr_cell_worker_find(&scheduler->term.model, name);
	struct zr_cell_worker_report report;
	int error = 0;

	if (worker ? value->mod_revision < worker->registry_revision
		   : revision < scheduler->term.registry_revision)
		return;
	if (value->data)
		error = platform->worker_decode(&report, value);
	if (error < 0)
		log_refused(scheduler, value, error);
	if (!value->data || error < 0) {
		if (!worker)
			return;
		set_unregistered(worker);
		worker->registry_revision = value->mod_revision;
		return;
	}
	apply_report(scheduler, &report);
	worker = zr_cell_worker_find(&scheduler->term.model, report.name);
	if (value->mod_revision > worker->registry_revision)
		worker->registered_at = zr_cell_now_ms(scheduler);
	worker->registry_revision = value->mod_revision;
	worker->in_current_read = true;
}

/* A worker that has registered since the read is not in it. */
static void unregister_missing(struct zr_cell_scheduler *scheduler,
			       int64_t revision)
{
	struct zr_cell_worker *worker;
	struct zr_cell_worker *next;

	HASH_ITER (hh, scheduler->term.model.worker_by_name, worker, next) {
		if (!worker->in_current_read &&
		    worker->registry_revision <= revision)
			set_unregistered(worker);
	}
}

static void on_registry_read(void *ctx, int error,
			     const struct zr_store_reply *reply)
{
	struct zr_cell_scheduler *scheduler = zr_cell_call_end(ctx);
	struct zr_cell_worker *worker;
	struct zr_cell_worker *next;
	size_t i;

	free(ctx);
	if (!scheduler)
		return;
	scheduler->term.registry_reading = false;
	if (error < 0)
		zr_log(ZR_LOG_WARN, "registry.read_failed error=%s age_ms=%lld",
		       zr_error_name(error),
		       (long long)(zr_cell_now_ms(scheduler) -
				   scheduler->term.registry_read_at));
	if (error < 0 || scheduler->phase == ZR_CELL_STANDBY)
		return;
	scheduler->term.registry_read_at = zr_cell_now_ms(scheduler);
	HASH_ITER (hh, scheduler->term.model.worker_by_name, worker, next)
		worker->in_current_read = false;
	for (i = 0; i < reply->count; i++)
		apply_entry(scheduler, &reply->values[i], reply->revision);
	unregister_missing(scheduler, reply->revision);
	remove_unregistered(scheduler);
	if (reply->revision > scheduler->term.registry_revision)
		scheduler->term.registry_revision = reply->revision;
	zr_cell_registry_process(scheduler);
	zr_cell_schedule_plan(scheduler);
}

void zr_cell_registry_read(struct zr_cell_scheduler *scheduler)
{
	const struct zr_cell_platform *platform = scheduler->options.platform;

	if (scheduler->term.registry_reading)
		return;
	scheduler->term.registry_reading = true;
	scheduler->term.registry_requested_at = zr_cell_now_ms(scheduler);
	zr_store_range(
		&platform->store, ZR_STORE_OTHER, platform->worker_prefix, true,
		on_registry_read,
		zr_cell_call_new(scheduler, sizeof(struct zr_cell_call)));
}

static void on_registry_watch(void *ctx, int error,
			      const struct zr_store_reply *reply)
{
	struct zr_cell_scheduler *scheduler = zr_cell_call_end(ctx);
	size_t i;

	free(ctx);
	if (!scheduler)
		return;
	scheduler->term.registry_watching = false;
	if (error < 0) {
		/* The next read shows what the watch has missed. */
		scheduler->term.registry_revision = 0;
		return;
	}
	for (i = 0; i < reply->count; i++)
		apply_entry(scheduler, &reply->values[i], reply->revision);
	if (reply->count) {
		remove_unregistered(scheduler);
		zr_cell_schedule_plan(scheduler);
	}
	if (reply->revision > scheduler->term.registry_revision)
		scheduler->term.registry_revision = reply->revision;
}

static void watch_registry(struct zr_cell_scheduler *scheduler)
{
	const struct zr_cell_platform *platform = scheduler->options.platform;

	scheduler->term.registry_watching = true;
	scheduler->term.registry_watched_at = zr_cell_now_ms(scheduler);
	zr_store_watch(
		&platform->store, platform->worker_prefix,
		scheduler->term.registry_revision, WATCH_WAIT_MS,
		on_registry_watch,
		zr_cell_call_new(scheduler, sizeof(struct zr_cell_call)));
}

void zr_cell_registry_process(struct zr_cell_scheduler *scheduler)
{
	int64_t now = zr_cell_now_ms(scheduler);
	int64_t read_interval_ms = scheduler->term.registry_revision
					   ? FULL_READ_INTERVAL_MS
					   : READ_INTERVAL_MS;

	if (now - scheduler->term.registry_requested_at >= read_interval_ms)
		zr_cell_registry_read(scheduler);
	if (scheduler->term.registry_revision &&
	    !scheduler->term.registry_watching &&
	    now - scheduler->term.registry_watched_at >= WATCH_PAUSE_MS)
		watch_registry(scheduler);
}

#include <stdio.h>
#include <string.h>

#include "cell/plan.h"
#include "zinniarack/errors.h"
#include "zinniarack/log.h"

static void connect_worker(struct zr_cell_scheduler *scheduler,
			   struct zr_cell_worker *worker, const char *address)
{
	const struct zr_cell_platform *platform = scheduler->options.platform;

	if (worker->conn.ops && !strcmp(worker->report.address, address))
		return;
	if (worker->conn.ops) {
		/* Cancels the requests in flight; their callbacks still run. */
		worker->conn.ops->free(worker->conn.impl);
		worker->conn.ops = NULL;
	}
	if (platform->worker_conn_open(platform->ctx, &worker->conn, address,
				       worker->report.name) < 0) {
		worker->conn.ops = NULL;
		zr_log(ZR_LOG_WARN, "worker.bad_address worker=%s",
		       worker->report.name);
	}
}

static void apply_report(struct zr_cell_scheduler *scheduler,
			 const struct zr_cell_worker_report *report)
{
	struct zr_cell_worker *worker =
		zr_cell_worker_get_or_add(&scheduler->model, report->name);
	int64_t incarnation = worker->report.incarnation;
	bool was_leaving = worker->report.leaving && worker->registered;

	connect_worker(scheduler, worker, report->address);
	if (incarnation && report->incarnation > incarnation) {
		zr_cell_worker_restarted(scheduler, worker,
					 report->incarnation);
		zr_cell_poll_soon(scheduler, worker, 0);
	}
	if (report->incarnation > incarnation)
		incarnation = report->incarnation;
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
	worker->report = *report;
	worker->report.incarnation = incarnation;
	worker->domain =
		zr_cell_domain_get_or_add(&scheduler->model, report->domain);
	worker->registered = true;
	if (worker->clock_ms < 0 && report->clock_ms >= 0 &&
	    report->incarnation >= incarnation) {
		worker->clock_ms = report->clock_ms;
		worker->clock_at = zr_cell_now_ms(scheduler);
	}
	if (worker->run_count || worker->poll_due_at != ZR_CELL_NEVER)
		zr_cell_polls_process(scheduler, worker);
}

static void remove_unregistered(struct zr_cell_scheduler *scheduler)
{
	struct zr_cell_worker *worker;
	struct zr_cell_worker *next;

	HASH_ITER (hh, scheduler->model.worker_by_name, worker, next) {
		if (worker->registered)
			continue;
		if (worker->run_count || worker->poll_in_flight)
			continue;
		zr_log_decision("worker.removed worker=%s",
				worker->report.name);
		zr_cell_worker_remove(&scheduler->model, worker);
	}
}

static void on_registry_read(void *ctx, int error,
			     const struct zr_store_reply *reply)
{
	struct zr_cell_scheduler *scheduler = ctx;
	const struct zr_cell_platform *platform = scheduler->options.platform;
	struct zr_cell_worker_report report;
	struct zr_cell_worker *worker;
	struct zr_cell_worker *next;
	size_t i;

	if (!zr_cell_call_done(scheduler))
		return;
	scheduler->registry_reading = false;
	if (error < 0)
		zr_log(ZR_LOG_WARN, "registry.read_failed error=%s age_ms=%lld",
		       zr_error_name(error),
		       (long long)(zr_cell_now_ms(scheduler) -
				   scheduler->registry_read_at));
	if (error < 0 || scheduler->phase != ZR_CELL_ACTIVE)
		return;
	scheduler->registry_read_at = zr_cell_now_ms(scheduler);
	HASH_ITER (hh, scheduler->model.worker_by_name, worker, next)
		worker->in_current_read = false;
	for (i = 0; i < reply->count; i++) {
		if (platform->worker_decode(&report, &reply->values[i]) < 0)
			continue;
		apply_report(scheduler, &report);
		worker = zr_cell_worker_find(&scheduler->model, report.name);
		worker->in_current_read = true;
	}
	HASH_ITER (hh, scheduler->model.worker_by_name, worker, next) {
		if (worker->registered && !worker->in_current_read)
			zr_log_decision(
				"worker.unregistered worker=%s runs=%zu",
				worker->report.name, worker->run_count);
		worker->registered = worker->in_current_read;
	}
	remove_unregistered(scheduler);
	zr_cell_schedule_plan(scheduler);
}

void zr_cell_registry_read(struct zr_cell_scheduler *scheduler)
{
	const struct zr_cell_platform *platform = scheduler->options.platform;

	if (scheduler->registry_reading)
		return;
	scheduler->registry_reading = true;
	scheduler->registry_requested_at = zr_cell_now_ms(scheduler);
	scheduler->pending_calls++;
	zr_store_range(&platform->store, ZR_STORE_OTHER,
		       platform->worker_prefix, true, on_registry_read,
		       scheduler);
}

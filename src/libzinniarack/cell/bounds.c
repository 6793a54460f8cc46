#include <inttypes.h>

#include "cell/plan.h"
#include "zinniarack/log.h"

/*
 * A state of a task that waits for an answer, or for the store, also ends
 * without one: charts/task.yaml names what bounds it. A run that may exist ends
 * with its lease, whatever its worker has answered since. The lease ends
 * because it is not renewed while the worker does not respond, nor while it
 * does not carry out a stop.
 */

/* Time in which a placement has to be persisted and its start sent. */
#define COMMIT_MAX_MS 5000

#define DOUBLINGS_MAX 16

int64_t zr_cell_retry_delay_ms(uint32_t failures, int64_t min_ms,
			       int64_t max_ms)
{
	uint32_t doublings =
		failures - 1 < DOUBLINGS_MAX ? failures - 1 : DOUBLINGS_MAX;
	int64_t delay_ms = min_ms << doublings;

	return delay_ms < max_ms ? delay_ms : max_ms;
}

void zr_cell_bound_placement(const struct zr_cell_scheduler *scheduler,
			     struct zr_cell_task *task)
{
	task->overdue_at = zr_cell_now_ms(scheduler) + COMMIT_MAX_MS;
}

void zr_cell_bound_stop(const struct zr_cell_scheduler *scheduler,
			struct zr_cell_task *task)
{
	task->overdue_at = zr_cell_now_ms(scheduler) +
			   scheduler->options.limits.lease_max_ms;
}

static enum zr_task_bound bound_of(const struct zr_cell_task *task)
{
	return (enum zr_task_bound)zr_chart_bound(zr_charts()->task,
						  task->state);
}

static struct zr_cell_task *task_of(const struct zr_cell_scheduler *scheduler,
				    struct zr_cell_ref ref)
{
	return &zr_cell_job(&scheduler->term.model, ref.job)->tasks[ref.task];
}

bool zr_cell_worker_may_have_runs(const struct zr_cell_scheduler *scheduler,
				  const struct zr_cell_worker *worker)
{
	size_t i;

	for (i = 0; i < worker->run_count; i++) {
		if (bound_of(task_of(scheduler, worker->runs[i])) ==
		    ZR_TASK_BOUND_LEASE)
			return true;
	}
	return false;
}

bool zr_cell_worker_needs_poll(const struct zr_cell_scheduler *scheduler,
			       const struct zr_cell_worker *worker)
{
	size_t i;

	for (i = 0; i < worker->run_count; i++) {
		const struct zr_cell_task *task =
			task_of(scheduler, worker->runs[i]);

		/* The response to a start is awaited first. */
		if (task->state != ZR_TASK_STARTING &&
		    bound_of(task) == ZR_TASK_BOUND_LEASE)
			return true;
	}
	return false;
}

void zr_cell_worker_lose_runs(struct zr_cell_scheduler *scheduler,
			      struct zr_cell_worker *worker, const char *reason)
{
	size_t i = 0;

	while (i < worker->run_count) {
		struct zr_cell_ref ref = worker->runs[i];

		i++;
		if (bound_of(task_of(scheduler, ref)) != ZR_TASK_BOUND_LEASE)
			continue;
		scheduler->lost->value++;
		zr_cell_unanswered_settle(
			scheduler, zr_cell_job(&scheduler->term.model, ref.job),
			ref.task, ZR_UNANSWERED_LOST);
		zr_cell_run_ended(scheduler,
				  zr_cell_job(&scheduler->term.model, ref.job),
				  ref.task, reason);
		i = 0;
	}
}

void zr_cell_worker_replaced(struct zr_cell_scheduler *scheduler,
			     struct zr_cell_worker *worker)
{
	worker->registered = false;
	if (!worker->report.leaving)
		zr_cell_worker_crashed(scheduler, worker, true);
	zr_cell_worker_lose_runs(scheduler, worker, "worker_replaced");
}

static void end_expired_runs(struct zr_cell_scheduler *scheduler,
			     struct zr_cell_worker *worker, int64_t now)
{
	if (now <= worker->runs_expire_at ||
	    !zr_cell_worker_may_have_runs(scheduler, worker))
		return;
	zr_log_decision("worker.lease_expired worker=%s runs=%zu state=%d",
			worker->report.name, worker->run_count, worker->state);
	/* A worker that responds has not crashed. */
	if (worker->silent_since != ZR_CELL_NEVER ||
	    worker->state == ZR_WORKER_UNKNOWN)
		zr_cell_worker_lost(scheduler, worker);
	zr_cell_worker_lose_runs(scheduler, worker, "lease_over");
}

static void take_back_placements(struct zr_cell_scheduler *scheduler,
				 struct zr_cell_worker *worker, int64_t now)
{
	size_t i = 0;

	while (i < worker->run_count) {
		struct zr_cell_ref ref = worker->runs[i];
		const struct zr_cell_task *task = task_of(scheduler, ref);

		i++;
		if (bound_of(task) != ZR_TASK_BOUND_COMMIT ||
		    now < task->overdue_at)
			continue;
		zr_cell_run_ended(scheduler,
				  zr_cell_job(&scheduler->term.model, ref.job),
				  ref.task, "not_persisted");
		i = 0;
	}
}

static bool has_overdue_stop(const struct zr_cell_scheduler *scheduler,
			     const struct zr_cell_worker *worker, int64_t now)
{
	size_t i;

	for (i = 0; i < worker->run_count; i++) {
		const struct zr_cell_task *task =
			task_of(scheduler, worker->runs[i]);

		if (task->state == ZR_TASK_STOPPING && now >= task->overdue_at)
			return true;
	}
	return false;
}

void zr_cell_bounds_process(struct zr_cell_scheduler *scheduler,
			    struct zr_cell_worker *worker)
{
	int64_t now = zr_cell_now_ms(scheduler);
	bool withheld;

	take_back_placements(scheduler, worker, now);
	end_expired_runs(scheduler, worker, now);
	withheld = has_overdue_stop(scheduler, worker, now);
	if (withheld && !worker->lease_withheld)
		zr_log_decision("worker.lease_withheld worker=%s runs=%zu",
				worker->report.name, worker->run_count);
	worker->lease_withheld = withheld;
}

#include <inttypes.h>

#include "cell/plan.h"
#include "zinniarack/log.h"

/*
 * A task can crash each worker that starts it. When a worker crashes, this
 * finds the runs that may have caused it. A worker that does not respond may
 * also be cut off or stopped, so a crash is known only when the worker is back
 * without its runs, or another one uses its address.
 */

/*
 * A run that was running for this long when its worker last responded has not
 * crashed the worker by its start.
 */
#define SETTLED_MS 250

/* When the worker stopped responding, or now if that was not noticed. */
static int64_t crashed_before(const struct zr_cell_scheduler *scheduler,
			      const struct zr_cell_worker *worker)
{
	int64_t now = zr_cell_now_ms(scheduler);

	return worker->silent_since < now ? worker->silent_since : now;
}

/* Whether the start was sent while the worker responded. */
static bool may_have_started(const struct zr_cell_task *entry,
			     int64_t crashed_at)
{
	return entry->state != ZR_TASK_PLACED && entry->sent_at <= crashed_at;
}

/* The age of a run of an earlier scheduler is not known, so it is not fresh. */
static bool is_fresh(const struct zr_cell_task *entry,
		     const struct zr_cell_worker *worker)
{
	if (!entry->started_at)
		return entry->sent_at != 0;
	return worker->responded_at - entry->started_at < SETTLED_MS;
}

void zr_cell_worker_crashed(struct zr_cell_scheduler *scheduler,
			    struct zr_cell_worker *worker, const char *reason)
{
	int64_t crashed_at = crashed_before(scheduler, worker);
	size_t fresh = 0;
	size_t runs = 0;
	size_t i;

	for (i = 0; i < worker->run_count; i++) {
		struct zr_cell_ref ref = worker->runs[i];
		const struct zr_cell_task *entry =
			&zr_cell_job(&scheduler->model, ref.job)
				 ->tasks[ref.task];

		if (!may_have_started(entry, crashed_at))
			continue;
		runs++;
		fresh += is_fresh(entry, worker);
	}
	scheduler->crashes->value++;
	zr_log_decision("worker.crashed worker=%s reason=%s runs=%zu "
			"fresh=%zu silent_ms=%" PRId64,
			worker->report.name, reason, runs, fresh,
			zr_cell_now_ms(scheduler) - crashed_at);
}

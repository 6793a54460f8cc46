#include <inttypes.h>

#include "cell/plan.h"
#include "cell/policy/departure.h"
#include "zinniarack/log.h"

/*
 * Moves the runs of workers that have announced when they leave. The decision
 * is in policy/departure.c.
 */

static int64_t max_int64(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

static bool is_active(const struct zr_cell_task *entry)
{
	return entry->state == ZR_TASK_STARTING ||
	       entry->state == ZR_TASK_RUNNING ||
	       entry->state == ZR_TASK_UNCONFIRMED;
}

static int64_t remaining_ms(const struct zr_cell_job *job, uint32_t task,
			    int64_t now)
{
	const struct zr_cell_task *entry = &job->tasks[task];
	struct zr_departure_run run = {
		.estimate_ms = zr_cell_task_step(job, task)->spec->estimate_ms,
	};

	if (entry->started_at) {
		run.elapsed_ms = now - entry->started_at;
		run.percent = entry->percent;
		run.percent_elapsed_ms = entry->percent_at - entry->started_at;
	}
	return zr_departure_remaining_ms(&run);
}

/* Remaining time of a run, or of the longest active member of its gang. */
static int64_t step_remaining_ms(const struct zr_cell_job *job, uint32_t task,
				 int64_t now)
{
	const struct zr_cell_step_state *step = zr_cell_task_step(job, task);
	int64_t longest = 0;
	uint32_t i;

	if (!zr_cell_step_is_gang(step))
		return remaining_ms(job, task, now);
	for (i = step->first_task; i < step->first_task + step->spec->count;
	     i++) {
		int64_t member;

		if (!is_active(&job->tasks[i]))
			continue;
		member = remaining_ms(job, i, now);
		if (member == ZR_DEPARTURE_UNKNOWN)
			return member;
		longest = max_int64(longest, member);
	}
	return longest;
}

static void process_run(struct zr_cell_scheduler *scheduler,
			const struct zr_cell_worker *worker,
			struct zr_cell_ref ref, int64_t now)
{
	struct zr_cell_job *job = zr_cell_job(&scheduler->term.model, ref.job);
	struct zr_cell_step_state *step = zr_cell_task_step(job, ref.task);
	struct zr_departure_view view = {
		.remaining_ms = step_remaining_ms(job, ref.task, now),
		.left_ms = max_int64(worker->leaves_at - now, 0),
		.saves_checkpoints = step->spec->flags & ZR_STEP_CHECKPOINTS,
		.stop_ms = ZR_CELL_STOP_MS,
	};
	enum zr_departure_verdict verdict = zr_departure_decide(&view);

	if (verdict == ZR_DEPARTURE_CONTINUE)
		return;
	zr_log_decision("departure.stop job=%s task=%" PRIu32
			" worker=%s verdict=%s remaining_ms=%" PRId64
			" left_ms=%" PRId64,
			job->id, ref.task, worker->report.name,
			verdict == ZR_DEPARTURE_SAVE ? "save" : "restart",
			view.remaining_ms, view.left_ms);
	if (zr_cell_step_is_gang(step))
		zr_cell_stop_gang(scheduler, job, step, "worker_leaves");
	else
		zr_cell_stop_run(scheduler, job, ref.task, "worker_leaves");
	scheduler->departure_stops->value++;
}

/*
 * Long-running tasks are not moved here: how many of them may be unavailable at
 * the same time is limited.
 */
static bool may_move(const struct zr_cell_job *job, uint32_t task)
{
	return is_active(&job->tasks[task]) && !job->tasks[task].finished &&
	       !(zr_cell_task_step(job, task)->spec->flags &
		 ZR_STEP_LONG_RUNNING);
}

void zr_cell_departure_process(struct zr_cell_scheduler *scheduler,
			       struct zr_cell_worker *worker)
{
	int64_t now = zr_cell_now_ms(scheduler);
	size_t i;

	if (!scheduler->options.move_leaving || !worker->report.leaving ||
	    worker->leaves_at == ZR_CELL_NEVER || now >= worker->leaves_at ||
	    zr_cell_worker_unresponsive(worker))
		return;
	/* Stops of runs that have not begun remove them from the list. */
	for (i = worker->run_count; i-- > 0;) {
		struct zr_cell_ref ref;

		if (i >= worker->run_count)
			continue;
		ref = worker->runs[i];
		if (may_move(zr_cell_job(&scheduler->term.model, ref.job),
			     ref.task))
			process_run(scheduler, worker, ref, now);
	}
}

void zr_cell_departure_announced(struct zr_cell_worker *worker, int64_t now)
{
	const struct zr_cell_worker_report *report = &worker->report;
	int64_t age_ms = 0;

	worker->leaves_at = ZR_CELL_NEVER;
	if (!report->leaving || report->leaves_in_ms < 0)
		return;
	/* The announcement may have taken some time to arrive. */
	if (report->clock_ms >= 0 && worker->clock_ms >= 0)
		age_ms = max_int64(worker->clock_ms + now - worker->clock_at -
					   report->clock_ms,
				   0);
	worker->leaves_at = now + max_int64(report->leaves_in_ms - age_ms, 0);
}

#include "cell/plan.h"

/*
 * The slowdown of a worker is the average ratio of run times to their
 * estimates. Estimates are rough, so a single run says little, but a slow
 * worker is slow for all its runs. The average of all workers changes slowly
 * with each run; that of one worker changes faster and is valid for
 * SLOWDOWN_VALID_MS.
 */
#define WORKER_WEIGHT 0.35
#define CELL_WEIGHT 0.02
#define SLOW_FACTOR 2.2
#define SLOWDOWN_VALID_MS 4000
/* A run whose progress has not changed for this time is stalled. */
#define STALL_MS 1500
#define PERCENT 100

static void smooth(double *value, double sample, double weight)
{
	if (*value == 0)
		*value = sample;
	else
		*value += (sample - *value) * weight;
}

void zr_cell_slowdown_add_run(struct zr_cell_model *model,
			      struct zr_cell_worker *worker,
			      uint32_t estimate_ms, int64_t run_ms, int64_t now)
{
	double sample;

	if (!estimate_ms)
		return;
	sample = (double)run_ms / estimate_ms;
	if (now - worker->slowdown_at > SLOWDOWN_VALID_MS)
		worker->slowdown = 0;
	smooth(&worker->slowdown, sample, WORKER_WEIGHT);
	smooth(&model->slowdown, sample, CELL_WEIGHT);
	worker->slowdown_at = now;
}

void zr_cell_slowdown_add_progress(struct zr_cell_model *model,
				   struct zr_cell_worker *worker,
				   uint32_t estimate_ms, int64_t elapsed_ms,
				   uint32_t percent, int64_t now)
{
	/* Before its estimate has passed, a run may still be on time. */
	if (elapsed_ms < estimate_ms || percent >= PERCENT)
		return;
	zr_cell_slowdown_add_run(model, worker, estimate_ms,
				 elapsed_ms * PERCENT / (percent ? percent : 1),
				 now);
}

bool zr_cell_slowdown_is_slow(const struct zr_cell_model *model,
			      const struct zr_cell_worker *worker, int64_t now)
{
	return worker->slowdown > 0 &&
	       now - worker->slowdown_at <= SLOWDOWN_VALID_MS &&
	       worker->slowdown > SLOW_FACTOR * model->slowdown;
}

bool zr_cell_slowdown_is_stalled(const struct zr_cell_task *task, int64_t now)
{
	return task->percent < PERCENT && now - task->percent_at >= STALL_MS;
}

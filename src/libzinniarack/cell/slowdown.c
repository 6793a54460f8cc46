#include "cell/plan.h"

/*
 * Estimates are rough, so one run tells little; a worker that is slow is so for
 * all that it runs. What is known of a worker is old after a few seconds.
 */
#define WORKER_PART 0.35
#define FLEET_PART 0.02
#define SLOW_FACTOR 2.2
#define KNOWN_MS 4000
/* A run whose progress has not changed for so long stands still. */
#define STALL_MS 1500
#define PERCENT 100

static void smooth(double *value, double sample, double part)
{
	if (*value == 0)
		*value = sample;
	else
		*value += (sample - *value) * part;
}

void zr_cell_pace_sample(struct zr_cell_model *model,
			 struct zr_cell_worker *worker, uint32_t estimate_ms,
			 int64_t run_ms, int64_t now)
{
	double sample;

	if (!estimate_ms)
		return;
	sample = (double)run_ms / estimate_ms;
	if (now - worker->pace_at > KNOWN_MS)
		worker->pace = 0;
	smooth(&worker->pace, sample, WORKER_PART);
	smooth(&model->pace, sample, FLEET_PART);
	worker->pace_at = now;
}

void zr_cell_pace_progress(struct zr_cell_model *model,
			   struct zr_cell_worker *worker, uint32_t estimate_ms,
			   int64_t ran_ms, uint32_t percent, int64_t now)
{
	/* Before its time is over a run says nothing of its worker. */
	if (ran_ms < estimate_ms || percent >= PERCENT)
		return;
	zr_cell_pace_sample(model, worker, estimate_ms,
			    ran_ms * PERCENT / (percent ? percent : 1), now);
}

bool zr_cell_pace_slow(const struct zr_cell_model *model,
		       const struct zr_cell_worker *worker, int64_t now)
{
	return worker->pace > 0 && now - worker->pace_at <= KNOWN_MS &&
	       worker->pace > SLOW_FACTOR * model->pace;
}

bool zr_cell_pace_stalled(const struct zr_cell_task *task, int64_t now)
{
	return task->percent < PERCENT && now - task->percent_at >= STALL_MS;
}

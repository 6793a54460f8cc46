#include "decisions/engine.h"

static int create(void **out, const struct zr_sched_options *options,
		  const struct zr_config *config)
{
	struct zr_sched *sched;
	int error = zr_sched_new(&sched, options);

	if (error < 0)
		return error;
	*out = sched;
	return zr_sched_configure(sched, config);
}

static void engine_free(void *engine)
{
	zr_sched_free(engine);
}

static int worker_add(zr_handle *out, void *engine,
		      const struct zr_sched_worker *worker)
{
	return zr_sched_worker_add(out, engine, worker);
}

static int job_add(zr_handle *out, void *engine, const char *id,
		   const struct zr_job_spec *spec)
{
	return zr_sched_job_add(out, engine, id, spec);
}

static int job_cancel(void *engine, zr_handle job)
{
	return zr_sched_job_cancel(engine, job);
}

static void task_ended(void *engine, zr_handle job, uint32_t index,
		       uint32_t attempt, enum zr_sched_outcome outcome)
{
	zr_sched_task_ended(engine, job, index, attempt, outcome);
}

static void task_usage(void *engine, zr_handle job, uint32_t index,
		       uint32_t attempt, const struct zr_resources *used,
		       struct timespec at)
{
	zr_sched_task_report_usage(engine, job, index, attempt, used, at);
}

static unsigned int decide(void *engine, unsigned int max_starts)
{
	return zr_sched_decide(engine, max_starts);
}

static bool has_more(const void *engine)
{
	return zr_sched_has_more(engine);
}

static zr_handle worker_next(struct zr_sched_worker_info *out,
			     const void *engine, zr_handle previous)
{
	return zr_sched_worker_next(out, engine, previous);
}

static int team_usage(struct zr_resources *out, const void *engine,
		      const char *team)
{
	return zr_sched_team_usage(out, engine, team);
}

static void stats(struct zr_sched_stats *out, const void *engine)
{
	zr_sched_stats(out, engine);
}

const struct engine engine_core = {
	.name = "core",
	.create = create,
	.free = engine_free,
	.worker_add = worker_add,
	.job_add = job_add,
	.job_cancel = job_cancel,
	.task_ended = task_ended,
	.task_usage = task_usage,
	.decide = decide,
	.has_more = has_more,
	.worker_next = worker_next,
	.team_usage = team_usage,
	.stats = stats,
};

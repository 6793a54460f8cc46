#include <stdio.h>
#include <stdlib.h>
#include <utlist.h>

#include "cell/private.h"
#include "zinniarack/errors.h"

/*
 * Callers often ask for a job's state in the moment in which it ends. An end
 * counts once the store holds it, so those who ask while it is being written
 * are answered when that is done: else they would learn of it when they ask
 * next.
 */

/* An answer waits so long for a write; the host that asked gives up later. */
#define WAIT_MS 200

struct zr_cell_state_wait {
	zr_handle job;
	int64_t until;
	zr_cell_state_fn done;
	void *ctx;
	struct zr_cell_state_wait *prev;
	struct zr_cell_state_wait *next;
};

static bool end_is_being_written(const struct zr_cell_job *job)
{
	return zr_cell_job_over(job) && job->state != job->kept_state;
}

static void wait_for_write(struct zr_cell_scheduler *scheduler,
			   const struct zr_cell_job *job, zr_cell_state_fn done,
			   void *ctx)
{
	struct zr_cell_state_wait *wait = calloc(1, sizeof(*wait));

	if (!wait)
		abort();
	wait->job = job->self;
	wait->until = zr_cell_now(scheduler) + WAIT_MS;
	wait->done = done;
	wait->ctx = ctx;
	DL_APPEND(scheduler->state_waits, wait);
}

static void finish(struct zr_cell_scheduler *scheduler,
		   struct zr_cell_state_wait *wait, int error,
		   enum zr_cell_job_state state)
{
	DL_DELETE(scheduler->state_waits, wait);
	wait->done(wait->ctx, error, state);
	free(wait);
}

void zr_cell_scheduler_state(struct zr_cell_scheduler *scheduler,
			     const char *id, zr_cell_state_fn done, void *ctx)
{
	const struct zr_cell_job *job;

	if (!zr_cell_may_order(scheduler)) {
		done(ctx, ZR_E_NOT_OWNER, ZR_CELL_JOB_QUEUED);
		return;
	}
	job = zr_cell_job_find(&scheduler->model, id);
	if (!job)
		done(ctx, ZR_E_NOT_FOUND, ZR_CELL_JOB_QUEUED);
	else if (end_is_being_written(job))
		wait_for_write(scheduler, job, done, ctx);
	else
		done(ctx, 0, job->kept_state);
}

void zr_cell_states_written(struct zr_cell_scheduler *scheduler,
			    const struct zr_cell_job *job)
{
	struct zr_cell_state_wait *wait;
	struct zr_cell_state_wait *next;

	DL_FOREACH_SAFE(scheduler->state_waits, wait, next)
	{
		if (wait->job == job->self && !end_is_being_written(job))
			finish(scheduler, wait, 0, job->kept_state);
	}
}

void zr_cell_states_due(struct zr_cell_scheduler *scheduler)
{
	int64_t now = zr_cell_now(scheduler);
	struct zr_cell_state_wait *wait;
	struct zr_cell_state_wait *next;

	DL_FOREACH_SAFE(scheduler->state_waits, wait, next)
	{
		const struct zr_cell_job *job =
			zr_cell_job(&scheduler->model, wait->job);

		if (!job)
			finish(scheduler, wait, ZR_E_NOT_FOUND,
			       ZR_CELL_JOB_QUEUED);
		else if (now >= wait->until)
			finish(scheduler, wait, 0, job->kept_state);
	}
}

void zr_cell_states_end(struct zr_cell_scheduler *scheduler)
{
	while (scheduler->state_waits)
		finish(scheduler, scheduler->state_waits, ZR_E_NOT_OWNER,
		       ZR_CELL_JOB_QUEUED);
}

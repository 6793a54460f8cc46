#include <stdio.h>
#include <stdlib.h>
#include <utlist.h>

#include "cell/private.h"
#include "zinniarack/errors.h"

/*
 * Callers often query the state of a job just when it ends. The end is reported
 * only once it is persisted, so a query that arrives while it is being written
 * waits for the write. Otherwise the caller would get the old state and see the
 * end only with its next query.
 */

/* Maximum wait of a query; less than the RPC timeout of the querying host. */
#define WAIT_MAX_MS 200

/* A query that waits until the end of a job is persisted. */
struct zr_cell_state_wait {
	zr_handle job;
	int64_t expires_at;
	zr_cell_state_fn done;
	void *ctx;
	struct zr_cell_state_wait *prev;
	struct zr_cell_state_wait *next;
};

static bool end_is_being_written(const struct zr_cell_job *job)
{
	return zr_cell_job_has_ended(job) && job->state != job->persisted_state;
}

static void add_wait(struct zr_cell_scheduler *scheduler,
		     const struct zr_cell_job *job, zr_cell_state_fn done,
		     void *ctx)
{
	struct zr_cell_state_wait *wait = calloc(1, sizeof(*wait));

	if (!wait)
		abort();
	wait->job = job->self;
	wait->expires_at = zr_cell_now_ms(scheduler) + WAIT_MAX_MS;
	wait->done = done;
	wait->ctx = ctx;
	DL_APPEND(scheduler->state_waits, wait);
}

static void finish_query(struct zr_cell_scheduler *scheduler,
			 struct zr_cell_state_wait *wait, int error,
			 enum zr_cell_job_state state)
{
	DL_DELETE(scheduler->state_waits, wait);
	wait->done(wait->ctx, error, state);
	free(wait);
}

bool zr_cell_client_may_know(const char *client, const char *owner)
{
	return !client[0] || !owner[0] || !strcmp(client, owner);
}

static bool is_of_client(const struct zr_cell_scheduler *scheduler,
			 const struct zr_cell_job *job, const char *client)
{
	return zr_cell_client_may_know(
		client,
		zr_cell_client(&scheduler->term.model, job->client)->name);
}

void zr_cell_scheduler_query_state(struct zr_cell_scheduler *scheduler,
				   const char *id, const char *client,
				   zr_cell_state_fn done, void *ctx)
{
	const struct zr_cell_job *job;

	if (!zr_cell_is_owner(scheduler)) {
		done(ctx, ZR_E_NOT_OWNER, ZR_CELL_JOB_QUEUED);
		return;
	}
	job = zr_cell_job_find(&scheduler->term.model, id);
	if (!job || !is_of_client(scheduler, job, client))
		done(ctx, ZR_E_NOT_FOUND, ZR_CELL_JOB_QUEUED);
	else if (end_is_being_written(job))
		add_wait(scheduler, job, done, ctx);
	else
		done(ctx, 0, job->persisted_state);
}

void zr_cell_state_queries_job_persisted(struct zr_cell_scheduler *scheduler,
					 const struct zr_cell_job *job)
{
	struct zr_cell_state_wait *wait;
	struct zr_cell_state_wait *next;

	DL_FOREACH_SAFE(scheduler->state_waits, wait, next)
	{
		if (wait->job == job->self && !end_is_being_written(job))
			finish_query(scheduler, wait, 0, job->persisted_state);
	}
}

void zr_cell_state_queries_process(struct zr_cell_scheduler *scheduler)
{
	int64_t now = zr_cell_now_ms(scheduler);
	struct zr_cell_state_wait *wait;
	struct zr_cell_state_wait *next;

	DL_FOREACH_SAFE(scheduler->state_waits, wait, next)
	{
		const struct zr_cell_job *job =
			zr_cell_job(&scheduler->term.model, wait->job);

		if (!job)
			finish_query(scheduler, wait, ZR_E_NOT_FOUND,
				     ZR_CELL_JOB_QUEUED);
		else if (now >= wait->expires_at)
			finish_query(scheduler, wait, 0, job->persisted_state);
	}
}

void zr_cell_state_queries_abort(struct zr_cell_scheduler *scheduler)
{
	while (scheduler->state_waits)
		finish_query(scheduler, scheduler->state_waits, ZR_E_NOT_OWNER,
			     ZR_CELL_JOB_QUEUED);
}

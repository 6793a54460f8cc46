#include "sched/internal.h"

#include <stdio.h>
#include <string.h>

/**
 * DOC: Reading the core
 *
 * Jobs, tasks, workers and counted work as they stand.
 */

const char *zr_sched_wait_name(enum zr_sched_wait wait)
{
	static const char *const names[] = {
		"none",	 "queued", "no_room", "limit",	    "held",
		"retry", "gang",   "victims", "never_fits", "over_limit",
	};

	return names[wait];
}

static const char *wait_reason(enum zr_sched_wait wait)
{
	static const char *const reasons[] = {
		"nothing of it waits",
		"to be placed",
		"no worker has room",
		"its team is at its upper limit",
		"held until all workers are heard",
		"tried again after a delay",
		"room for all its tasks is being reserved",
		"tasks of less worth are being stopped for it",
		"larger than the workers can hold",
		"larger than its team's upper limit",
	};

	return reasons[wait];
}

static enum zr_sched_wait wait_of(const struct zr_sched_job *job)
{
	if (job->place == ZR_SCHED_PLACE_QUEUE && job->class->blocked)
		return job->class->blocked;
	return (enum zr_sched_wait)job->wait;
}

int zr_sched_job_info(struct zr_sched_job_info *out,
		      const struct zr_sched *sched, zr_handle handle)
{
	const struct zr_sched_job *job = zr_sched_job_row(sched, handle);

	if (!job)
		return zr_error_set(ZR_E_NOT_FOUND, "no such job");
	out->id = job->id;
	/* The specification is rebuilt in a buffer that belongs to the core. */
	out->spec = zr_sched_job_spec((struct zr_sched *)sched, job);
	out->state = (enum zr_job_state)job->state;
	out->wait = wait_of(job);
	out->reason = out->state == ZR_JOB_WAITING ? wait_reason(out->wait)
						   : job->reason;
	out->running = job->running;
	out->ended = job->ended;
	return 0;
}

zr_handle zr_sched_job_next(struct zr_sched_job_info *out,
			    const struct zr_sched *sched, zr_handle previous)
{
	zr_handle handle = zr_table_next(sched->jobs, previous);

	if (handle)
		zr_sched_job_info(out, sched, handle);
	return handle;
}

int zr_sched_task_info(struct zr_sched_task_info *out,
		       const struct zr_sched *sched, zr_handle handle,
		       uint32_t index)
{
	const struct zr_sched_job *job = zr_sched_job_row(sched, handle);
	const struct zr_sched_placement *placement;

	memset(out, 0, sizeof(*out));
	if (!job || index >= job->tasks)
		return zr_error_set(ZR_E_NOT_FOUND, "no such task");
	if (!job->slots)
		return 0;
	out->state = (enum zr_sched_task_state)job->slots[index].state;
	out->attempt = job->slots[index].attempt;
	placement = zr_sched_placement_row(sched, job->slots[index].placement);
	if (!placement)
		return 0;
	out->worker = placement->worker;
	out->reserved = placement->reserved;
	return 0;
}

zr_handle zr_sched_worker_next(struct zr_sched_worker_info *out,
			       const struct zr_sched *sched, zr_handle previous)
{
	zr_handle handle = zr_table_next(sched->workers, previous);
	const struct zr_sched_host *host = zr_sched_host_row(sched, handle);
	const struct zr_sched_rack *rack;

	if (!host)
		return ZR_HANDLE_NONE;
	rack = zr_table_get(sched->racks, host->rack);
	out->name = host->name->text;
	out->rack = rack->name->text;
	out->state = host->state;
	out->capacity = host->capacity;
	out->reserved = host->reserved;
	out->tasks = host->tasks;
	out->suspect = host->suspect;
	return handle;
}

void zr_sched_stats(struct zr_sched_stats *out, const struct zr_sched *sched)
{
	*out = sched->stats;
}

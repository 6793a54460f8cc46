#include "sched/internal.h"

#include <stdio.h>
#include <string.h>

/**
 * DOC: Queries
 *
 * Read the current state of jobs, tasks and workers, and the statistics.
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
		"no task is waiting",
		"waiting to be scheduled",
		"no worker has enough free resources",
		"its team is at its limit",
		"held until all workers have responded",
		"will be retried after a delay",
		"resources for all its tasks are being reserved",
		"tasks of lower priority are being stopped for it",
		"does not fit on the workers",
		"exceeds its team's limit",
	};

	return reasons[wait];
}

static enum zr_sched_wait current_wait(const struct zr_sched_job *job)
{
	if (job->list == ZR_SCHED_LIST_QUEUE && job->class->blocked)
		return job->class->blocked;
	return (enum zr_sched_wait)job->wait;
}

int zr_sched_job_info(struct zr_sched_job_info *out,
		      const struct zr_sched *sched, zr_handle handle)
{
	const struct zr_sched_job *job = zr_sched_job_get(sched, handle);

	if (!job)
		return zr_error_set(ZR_E_NOT_FOUND, "no such job");
	out->id = job->id;
	/*
	 * Casts const away: the specification is rebuilt in a scratch buffer of
	 * the core.
	 */
	out->spec = zr_sched_job_spec((struct zr_sched *)sched, job);
	out->state = (enum zr_job_state)job->state;
	out->wait = current_wait(job);
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
	const struct zr_sched_job *job = zr_sched_job_get(sched, handle);
	const struct zr_sched_placement *placement;

	memset(out, 0, sizeof(*out));
	if (!job || index >= job->tasks)
		return zr_error_set(ZR_E_NOT_FOUND, "no such task");
	if (!job->task_entries)
		return 0;
	out->state = (enum zr_sched_task_state)job->task_entries[index].state;
	out->attempt = job->task_entries[index].attempt;
	placement = zr_sched_placement_get(sched,
					   job->task_entries[index].placement);
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
	const struct zr_sched_worker_entry *entry =
		zr_sched_worker_entry_get(sched, handle);
	const struct zr_sched_rack *rack;

	if (!entry)
		return ZR_HANDLE_NONE;
	rack = zr_table_get(sched->racks, entry->rack);
	out->name = entry->name->text;
	out->rack = rack->name->text;
	out->state = entry->state;
	out->capacity = entry->capacity;
	out->reserved = entry->reserved;
	out->tasks = entry->tasks;
	out->suspect = entry->suspect;
	return handle;
}

void zr_sched_stats(struct zr_sched_stats *out, const struct zr_sched *sched)
{
	*out = sched->stats;
}

#include "sched/internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/**
 * DOC: Jobs
 *
 * Adds, holds, cancels and removes jobs, and keeps each on the list for its
 * state: a list of its class, the parked jobs, or those in backoff.
 */

struct zr_sched_job *zr_sched_job_get(const struct zr_sched *sched,
				      zr_handle job)
{
	return zr_table_get(sched->jobs, job);
}

/* Checking new jobs */

static int check_limit(const struct zr_sched *sched,
		       const struct zr_job_spec *spec)
{
	zr_handle team = zr_sched_team_find(sched, spec->team);
	uint32_t concurrent = spec->kind == ZR_JOB_GANG ? spec->tasks : 1;

	if (!team)
		return zr_error_set(ZR_E_NOT_FOUND, "team '%s' does not exist",
				    spec->team);
	if (!zr_sched_team_limit_fits(zr_sched_team_get(sched, team),
				      &spec->size, concurrent))
		return zr_error_set(ZR_E_LIMIT,
				    "tasks that must run together exceed the "
				    "upper limit of team '%s'",
				    spec->team);
	return 0;
}

int zr_sched_job_check(const struct zr_sched *sched,
		       const struct zr_job_spec *spec)
{
	uint32_t concurrent = spec->kind == ZR_JOB_GANG ? spec->tasks : 1;
	int error;

	if (!sched->config || !zr_config_find_queue(sched->config, spec->queue))
		return zr_error_set(ZR_E_NOT_FOUND, "queue '%s' does not exist",
				    spec->queue);
	error = check_limit(sched, spec);
	if (error < 0)
		return error;
	if (!zr_sched_fits_idle(sched, &spec->size, 1))
		return zr_error_set(ZR_E_NEVER_FITS,
				    "a task is larger than any worker of this "
				    "failure domain");
	if (!zr_sched_fits_idle(sched, &spec->size, concurrent))
		return zr_error_set(ZR_E_NEVER_FITS,
				    "the workers of this failure domain cannot "
				    "hold all tasks at once");
	return 0;
}

/* Adding jobs */

static size_t task_entry_bytes(const struct zr_sched_job *job)
{
	return job->task_entries ? job->tasks * sizeof(*job->task_entries) : 0;
}

void zr_sched_job_clear(struct zr_sched *sched, struct zr_sched_job *job)
{
	sched->stats.job_bytes -= sizeof(*job) + task_entry_bytes(job);
	if (job->id)
		sched->stats.job_bytes -= strlen(job->id) + 1;
	free(job->id);
	free(job->task_entries);
	free(job->tasks_per_rack);
	zr_sched_profile_release(sched, job->profile);
	zr_sched_name_release(sched, job->queue);
}

static int fill_job(struct zr_sched *sched, struct zr_sched_job *job,
		    zr_handle team, const char *id,
		    const struct zr_job_spec *spec)
{
	job->id = strdup(id);
	job->queue = zr_sched_name_acquire(sched, spec->queue);
	job->profile =
		zr_sched_profile_acquire(sched, team, spec->team, spec->name);
	job->tasks = spec->tasks;
	job->size = spec->size;
	job->run_ms = spec->run_ms;
	job->deadline_ms = spec->deadline_ms;
	job->worth = (uint8_t)spec->worth;
	job->kind = (uint8_t)spec->kind;
	job->urgent = spec->urgent;
	job->at_most_once = spec->at_most_once;
	job->reason = "accepted";
	job->arrival = sched->next_arrival++;
	if (job->queue)
		job->effective_priority =
			zr_sched_job_effective_priority(sched, job);
	sched->stats.job_bytes += sizeof(*job) + strlen(id) + 1;
	return job->id && job->queue && job->profile ? 0 : ZR_E_NOMEM;
}

int zr_sched_job_add(zr_handle *out, struct zr_sched *sched, const char *id,
		     const struct zr_job_spec *spec)
{
	struct zr_sched_job *job;
	zr_handle team;
	int error = zr_sched_team_get_or_add(&team, sched, spec->team);

	if (error < 0)
		return error;
	error = zr_table_add(out, sched->jobs);
	if (error < 0)
		return error;
	zr_sched_now_refresh(sched);
	job = zr_sched_job_get(sched, *out);
	error = fill_job(sched, job, team, id, spec);
	if (error < 0) {
		zr_sched_job_clear(sched, job);
		zr_table_remove(sched->jobs, *out);
		return error;
	}
	zr_sched_job_update_list(sched, *out, false);
	return 0;
}

int zr_sched_job_alloc_task_entries(struct zr_sched *sched,
				    struct zr_sched_job *job)
{
	if (job->task_entries)
		return 0;
	job->task_entries = calloc(job->tasks, sizeof(*job->task_entries));
	if (!job->task_entries)
		return ZR_E_NOMEM;
	sched->stats.job_bytes += task_entry_bytes(job);
	return 0;
}

const struct zr_job_spec *zr_sched_job_spec(struct zr_sched *sched,
					    const struct zr_sched_job *job)
{
	static char no_command[] = "";
	struct zr_job_spec *spec = &sched->spec;
	const struct zr_sched_team *team =
		zr_sched_team_get(sched, job->profile->team);

	snprintf(spec->name, sizeof(spec->name), "%s", job->profile->name);
	snprintf(spec->team, sizeof(spec->team), "%s", team->name->text);
	snprintf(spec->queue, sizeof(spec->queue), "%s", job->queue->text);
	spec->kind = (enum zr_job_kind)job->kind;
	spec->tasks = job->tasks;
	spec->size = job->size;
	spec->worth = job->worth;
	spec->urgent = job->urgent;
	spec->at_most_once = job->at_most_once;
	spec->run_ms = job->run_ms;
	spec->deadline_ms = job->deadline_ms;
	spec->command = no_command;
	return spec;
}

/* Lists of jobs */

uint32_t zr_sched_job_waiting_count(const struct zr_sched_job *job)
{
	uint32_t not_waiting =
		job->running + job->ended + job->abandoned + job->claim_count;

	return not_waiting < job->tasks ? job->tasks - not_waiting : 0;
}

uint32_t zr_sched_job_next_task(struct zr_sched_job *job)
{
	if (!job->task_entries)
		return 0;
	while (job->first_waiting < job->tasks &&
	       job->task_entries[job->first_waiting].state !=
		       ZR_SCHED_TASK_WAITING)
		job->first_waiting++;
	return job->first_waiting;
}

/* Whether the job has tasks that may be started now. */
static bool is_startable(const struct zr_sched_job *job)
{
	/* A gang restarts only when all tasks of its last run have ended. */
	if (job->kind == ZR_JOB_GANG && job->running)
		return false;
	return !job->cancelled && !job->held && !job->abandoned &&
	       !job->reserving && !zr_job_state_is_final(job->state) &&
	       zr_sched_job_waiting_count(job);
}

void zr_sched_job_leave_list(struct zr_sched *sched, zr_handle handle)
{
	struct zr_sched_job *job = zr_sched_job_get(sched, handle);

	switch ((enum zr_sched_list)job->list) {
	case ZR_SCHED_LIST_QUEUE:
		zr_sched_queue_remove(sched, handle);
		break;
	case ZR_SCHED_LIST_PARKED:
		zr_sched_job_list_remove(sched, &sched->parked, handle);
		sched->stats.parked--;
		break;
	case ZR_SCHED_LIST_BACKOFF:
		zr_sched_job_list_remove(
			sched, &sched->backoff_lists[job->backoff_list],
			handle);
		break;
	default:
		break;
	}
	job->list = ZR_SCHED_LIST_NONE;
}

static void add_to_backoff(struct zr_sched *sched, zr_handle handle)
{
	struct zr_sched_job *job = zr_sched_job_get(sched, handle);

	job->list = ZR_SCHED_LIST_BACKOFF;
	job->wait = ZR_SCHED_WAIT_RETRY;
	job->backoff_list = job->backoff_level ? job->backoff_level - 1 : 0;
	zr_sched_job_list_insert(
		sched, &sched->backoff_lists[job->backoff_list], handle, false);
}

void zr_sched_job_update_list(struct zr_sched *sched, zr_handle handle,
			      bool requeue)
{
	struct zr_sched_job *job = zr_sched_job_get(sched, handle);

	if (!is_startable(job)) {
		zr_sched_job_leave_list(sched, handle);
		if (job->held)
			job->wait = ZR_SCHED_WAIT_HELD;
		else if (!job->reserving)
			job->wait = job->claim_count ? ZR_SCHED_WAIT_PREEMPTION
						     : ZR_SCHED_WAIT_NONE;
		return;
	}
	if (job->list != ZR_SCHED_LIST_NONE)
		return;
	job->wait = ZR_SCHED_WAIT_QUEUED;
	if (sched->shape_count && !zr_sched_job_is_schedulable(sched, job))
		zr_sched_job_park(
			sched, handle,
			zr_sched_job_unschedulable_reason(sched, job));
	else if (job->retry_at > sched->now)
		add_to_backoff(sched, handle);
	else if (zr_sched_queue_push(sched, handle, requeue) < 0)
		zr_sched_job_event(sched, handle, ZR_JOB_EVENT_FAILED,
				   "out of memory");
}

void zr_sched_job_back_off(const struct zr_sched *sched,
			   struct zr_sched_job *job)
{
	/* A backoff list is sorted by the retry times of its jobs. */
	if (job->list == ZR_SCHED_LIST_BACKOFF)
		return;
	if (job->backoff_level < ZR_SCHED_BACKOFF_LEVELS)
		job->backoff_level++;
	job->retry_at = sched->now + ((int64_t)ZR_SCHED_BACKOFF_MIN_MS
				      << (job->backoff_level - 1));
}

void zr_sched_backoff_process(struct zr_sched *sched)
{
	zr_handle handle;
	unsigned int i;

	for (i = 0; i < ZR_SCHED_BACKOFF_LEVELS; i++) {
		/*
		 * Sorted by retry time, as all jobs of a list have one delay.
		 */
		while ((handle = sched->backoff_lists[i].head) &&
		       zr_sched_job_get(sched, handle)->retry_at <=
			       sched->now) {
			zr_sched_job_leave_list(sched, handle);
			zr_sched_job_update_list(sched, handle, true);
			sched->stats.jobs_examined++;
		}
	}
}

/* States of jobs */

void zr_sched_job_event(struct zr_sched *sched, zr_handle handle,
			enum zr_job_event event, const char *reason)
{
	struct zr_sched_job *job = zr_sched_job_get(sched, handle);
	int state = job->state;

	if (zr_chart_step(&state, zr_charts()->job, event) < 0)
		return;
	job->reason = reason;
	if (job->state == state)
		return;
	job->state = (uint8_t)state;
	sched->sink.job_changed(sched->sink.ctx, handle, job->id,
				(enum zr_job_state)state, reason);
}

void zr_sched_job_update_state(struct zr_sched *sched, zr_handle handle)
{
	const struct zr_sched_job *job = zr_sched_job_get(sched, handle);

	if (job->running || zr_job_state_is_final(job->state))
		return;
	if (job->cancelled)
		zr_sched_job_event(sched, handle, ZR_JOB_EVENT_CANCELLED,
				   "cancelled");
	else if (job->ended == job->tasks)
		zr_sched_job_event(sched, handle, ZR_JOB_EVENT_SUCCEEDED,
				   "all tasks ended");
	else if (job->abandoned)
		zr_sched_job_event(sched, handle, ZR_JOB_EVENT_FAILED,
				   job->at_most_once
					   ? "it may have begun and must "
					     "not begin again"
					   : "its tasks fail");
	else if (job->state == ZR_JOB_RUNNING)
		zr_sched_job_event(sched, handle, ZR_JOB_EVENT_DISPLACED,
				   "to be placed again");
}

/* Holding, cancelling and removing jobs */

void zr_sched_job_release_holds(struct zr_sched *sched, zr_handle handle)
{
	const struct zr_sched_job *job = zr_sched_job_get(sched, handle);

	if (job->claim_count)
		zr_sched_claims_remove(sched, handle, ZR_HANDLE_NONE);
	if (job->reserving)
		zr_sched_gang_release(sched, handle, ZR_HANDLE_NONE);
}

static void stop_tasks(struct zr_sched *sched, zr_handle handle)
{
	const struct zr_sched_job *job = zr_sched_job_get(sched, handle);
	uint32_t i;

	for (i = 0; job->task_entries && i < job->tasks; i++) {
		if (job->task_entries[i].state == ZR_SCHED_TASK_RUNNING)
			zr_sched_stop_cancelled(sched,
						job->task_entries[i].placement);
	}
}

int zr_sched_job_cancel(struct zr_sched *sched, zr_handle handle)
{
	struct zr_sched_job *job = zr_sched_job_get(sched, handle);

	if (!job || zr_job_state_is_final(job->state))
		return zr_error_set(ZR_E_STATE, "the job has ended");
	zr_sched_now_refresh(sched);
	job->cancelled = true;
	zr_sched_job_release_holds(sched, handle);
	zr_sched_job_update_list(sched, handle, false);
	if (job->running)
		stop_tasks(sched, handle);
	zr_sched_job_update_state(sched, handle);
	return 0;
}

void zr_sched_job_hold(struct zr_sched *sched, zr_handle handle, bool held)
{
	struct zr_sched_job *job = zr_sched_job_get(sched, handle);

	if (!job || job->held == held)
		return;
	zr_sched_now_refresh(sched);
	job->held = held;
	if (held)
		zr_sched_job_release_holds(sched, handle);
	if (!held)
		zr_sched_gang_stop_incomplete(sched, handle);
	zr_sched_job_update_list(sched, handle, false);
}

void zr_sched_job_remove(struct zr_sched *sched, zr_handle handle)
{
	struct zr_sched_job *job = zr_sched_job_get(sched, handle);

	if (!job || job->running)
		return;
	zr_sched_now_refresh(sched);
	job->cancelled = true;
	zr_sched_job_release_holds(sched, handle);
	zr_sched_job_update_list(sched, handle, false);
	zr_sched_job_clear(sched, job);
	zr_table_remove(sched->jobs, handle);
}

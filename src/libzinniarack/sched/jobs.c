#include "sched/internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/**
 * DOC: Jobs
 *
 * Takes jobs in, cancels and drops them, and keeps each on the list where it
 * belongs: a queue, the parked ones, or those whose next try is delayed.
 */

struct zr_sched_job *zr_sched_job_row(const struct zr_sched *sched,
				      zr_handle job)
{
	return zr_table_get(sched->jobs, job);
}

/* Whether a job could run */

static int check_limit(const struct zr_sched *sched,
		       const struct zr_job_spec *spec)
{
	zr_handle handle = zr_sched_team_find(sched, spec->team);
	uint32_t together = spec->kind == ZR_JOB_GANG ? spec->tasks : 1;

	if (!handle)
		return zr_error_set(ZR_E_NOT_FOUND, "no team '%s'", spec->team);
	if (!zr_sched_team_could(zr_sched_team_row(sched, handle), &spec->size,
				 together))
		return zr_error_set(ZR_E_LIMIT,
				    "what must run together is over the upper "
				    "limit of team '%s'",
				    spec->team);
	return 0;
}

int zr_sched_job_check(const struct zr_sched *sched,
		       const struct zr_job_spec *spec)
{
	uint32_t together = spec->kind == ZR_JOB_GANG ? spec->tasks : 1;
	int error;

	if (!sched->config || !zr_config_queue(sched->config, spec->queue))
		return zr_error_set(ZR_E_NOT_FOUND, "no queue '%s'",
				    spec->queue);
	error = check_limit(sched, spec);
	if (error < 0)
		return error;
	if (!zr_sched_fits_empty(sched, &spec->size, 1))
		return zr_error_set(ZR_E_NEVER_FITS,
				    "a task is larger than any worker of this "
				    "failure domain");
	if (!zr_sched_fits_empty(sched, &spec->size, together))
		return zr_error_set(ZR_E_NEVER_FITS,
				    "the workers of this failure domain do not "
				    "hold all tasks at once");
	return 0;
}

/* Records */

static size_t slot_bytes(const struct zr_sched_job *job)
{
	return job->slots ? job->tasks * sizeof(*job->slots) : 0;
}

void zr_sched_job_clear(struct zr_sched *sched, struct zr_sched_job *job)
{
	sched->stats.job_bytes -= sizeof(*job) + slot_bytes(job);
	if (job->id)
		sched->stats.job_bytes -= strlen(job->id) + 1;
	free(job->id);
	free(job->slots);
	free(job->rack_tasks);
	zr_sched_profile_drop(sched, job->profile);
	zr_sched_name_drop(sched, job->queue);
}

static int fill_job(struct zr_sched *sched, struct zr_sched_job *job,
		    zr_handle team, const char *id,
		    const struct zr_job_spec *spec)
{
	job->id = strdup(id);
	job->queue = zr_sched_name_take(sched, spec->queue);
	job->profile =
		zr_sched_profile_take(sched, team, spec->team, spec->name);
	job->tasks = spec->tasks;
	job->size = spec->size;
	job->run_ms = spec->run_ms;
	job->deadline_ms = spec->deadline_ms;
	job->worth = (uint8_t)spec->worth;
	job->kind = (uint8_t)spec->kind;
	job->urgent = spec->urgent;
	job->at_most_once = spec->at_most_once;
	job->reason = "accepted";
	job->arrival = sched->arrivals++;
	if (job->queue)
		job->rank = zr_sched_job_rank(sched, job);
	sched->stats.job_bytes += sizeof(*job) + strlen(id) + 1;
	return job->id && job->queue && job->profile ? 0 : ZR_E_NOMEM;
}

int zr_sched_job_add(zr_handle *out, struct zr_sched *sched, const char *id,
		     const struct zr_job_spec *spec)
{
	struct zr_sched_job *job;
	zr_handle team;
	int error = zr_sched_team_obtain(&team, sched, spec->team);

	if (error < 0)
		return error;
	error = zr_table_add(out, sched->jobs);
	if (error < 0)
		return error;
	zr_sched_now_refresh(sched);
	job = zr_sched_job_row(sched, *out);
	error = fill_job(sched, job, team, id, spec);
	if (error < 0) {
		zr_sched_job_clear(sched, job);
		zr_table_remove(sched->jobs, *out);
		return error;
	}
	zr_sched_job_route(sched, *out, false);
	return 0;
}

int zr_sched_slots_obtain(struct zr_sched *sched, struct zr_sched_job *job)
{
	if (job->slots)
		return 0;
	job->slots = calloc(job->tasks, sizeof(*job->slots));
	if (!job->slots)
		return ZR_E_NOMEM;
	sched->stats.job_bytes += slot_bytes(job);
	return 0;
}

const struct zr_job_spec *zr_sched_job_spec(struct zr_sched *sched,
					    const struct zr_sched_job *job)
{
	static char no_command[] = "";
	struct zr_job_spec *spec = &sched->spec;
	const struct zr_sched_team *team =
		zr_sched_team_row(sched, job->profile->team);

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

/* Lists */

uint32_t zr_sched_job_waiting(const struct zr_sched_job *job)
{
	uint32_t busy = job->running + job->ended + job->given_up + job->claims;

	return busy < job->tasks ? job->tasks - busy : 0;
}

uint32_t zr_sched_job_next_task(struct zr_sched_job *job)
{
	if (!job->slots)
		return 0;
	while (job->first_waiting < job->tasks &&
	       job->slots[job->first_waiting].state != ZR_SCHED_TASK_WAITING)
		job->first_waiting++;
	return job->first_waiting;
}

static bool may_be_placed(const struct zr_sched_job *job)
{
	/* A gang starts when none of its tasks runs any more. */
	if (job->kind == ZR_JOB_GANG && job->running)
		return false;
	return !job->cancelled && !job->held && !job->given_up &&
	       !job->reserving && !zr_job_state_final(job->state) &&
	       zr_sched_job_waiting(job);
}

void zr_sched_job_leave_list(struct zr_sched *sched, zr_handle handle)
{
	struct zr_sched_job *job = zr_sched_job_row(sched, handle);

	switch ((enum zr_sched_place)job->place) {
	case ZR_SCHED_PLACE_QUEUE:
		zr_sched_queue_remove(sched, handle);
		break;
	case ZR_SCHED_PLACE_PARKED:
		zr_sched_lane_remove(sched, &sched->parked, handle);
		sched->stats.parked--;
		break;
	case ZR_SCHED_PLACE_DELAYED:
		zr_sched_lane_remove(sched, &sched->delayed[job->delay_list],
				     handle);
		break;
	default:
		break;
	}
	job->place = ZR_SCHED_PLACE_NONE;
}

static void delay(struct zr_sched *sched, zr_handle handle)
{
	struct zr_sched_job *job = zr_sched_job_row(sched, handle);

	job->place = ZR_SCHED_PLACE_DELAYED;
	job->wait = ZR_SCHED_WAIT_RETRY;
	job->delay_list = job->delay ? job->delay - 1 : 0;
	zr_sched_lane_append(sched, &sched->delayed[job->delay_list], handle,
			     false);
}

void zr_sched_job_route(struct zr_sched *sched, zr_handle handle, bool first)
{
	struct zr_sched_job *job = zr_sched_job_row(sched, handle);

	if (!may_be_placed(job)) {
		zr_sched_job_leave_list(sched, handle);
		if (job->held)
			job->wait = ZR_SCHED_WAIT_HELD;
		else if (!job->reserving)
			job->wait = job->claims ? ZR_SCHED_WAIT_VICTIMS
						: ZR_SCHED_WAIT_NONE;
		return;
	}
	if (job->place != ZR_SCHED_PLACE_NONE)
		return;
	job->wait = ZR_SCHED_WAIT_QUEUED;
	if (sched->shape_count && !zr_sched_job_could_run(sched, job))
		zr_sched_job_park(sched, handle,
				  zr_sched_job_obstacle(sched, job));
	else if (job->not_before > sched->now)
		delay(sched, handle);
	else if (zr_sched_queue_push(sched, handle, first) < 0)
		zr_sched_job_event(sched, handle, ZR_JOB_EVENT_FAILED,
				   "out of memory");
}

void zr_sched_job_delay(const struct zr_sched *sched, struct zr_sched_job *job)
{
	/* On a list of delayed jobs it stays where it is. */
	if (job->place == ZR_SCHED_PLACE_DELAYED)
		return;
	if (job->delay < ZR_SCHED_DELAYS)
		job->delay++;
	job->not_before =
		sched->now + ((int64_t)ZR_SCHED_DELAY_MS << (job->delay - 1));
}

void zr_sched_jobs_due(struct zr_sched *sched)
{
	zr_handle handle;
	unsigned int i;

	for (i = 0; i < ZR_SCHED_DELAYS; i++) {
		/* All on a list have the same delay, so it is in order. */
		while ((handle = sched->delayed[i].head) &&
		       zr_sched_job_row(sched, handle)->not_before <=
			       sched->now) {
			zr_sched_job_leave_list(sched, handle);
			zr_sched_job_route(sched, handle, true);
			sched->stats.jobs_examined++;
		}
	}
}

/* States */

void zr_sched_job_event(struct zr_sched *sched, zr_handle handle,
			enum zr_job_event event, const char *reason)
{
	struct zr_sched_job *job = zr_sched_job_row(sched, handle);
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

void zr_sched_job_settle(struct zr_sched *sched, zr_handle handle)
{
	const struct zr_sched_job *job = zr_sched_job_row(sched, handle);

	if (job->running || zr_job_state_final(job->state))
		return;
	if (job->cancelled)
		zr_sched_job_event(sched, handle, ZR_JOB_EVENT_CANCELLED,
				   "cancelled");
	else if (job->ended == job->tasks)
		zr_sched_job_event(sched, handle, ZR_JOB_EVENT_SUCCEEDED,
				   "all tasks ended");
	else if (job->given_up)
		zr_sched_job_event(sched, handle, ZR_JOB_EVENT_FAILED,
				   job->at_most_once
					   ? "it may have begun and must "
					     "not begin again"
					   : "its tasks fail");
	else if (job->state == ZR_JOB_RUNNING)
		zr_sched_job_event(sched, handle, ZR_JOB_EVENT_DISPLACED,
				   "to be placed again");
}

/* Cancelling */

void zr_sched_job_unreserve(struct zr_sched *sched, zr_handle handle)
{
	const struct zr_sched_job *job = zr_sched_job_row(sched, handle);

	if (job->claims)
		zr_sched_claims_drop(sched, handle, ZR_HANDLE_NONE);
	if (job->reserving)
		zr_sched_gang_drop(sched, handle, ZR_HANDLE_NONE);
}

static void stop_all(struct zr_sched *sched, zr_handle handle)
{
	const struct zr_sched_job *job = zr_sched_job_row(sched, handle);
	uint32_t i;

	for (i = 0; job->slots && i < job->tasks; i++) {
		if (job->slots[i].state == ZR_SCHED_TASK_RUNNING)
			zr_sched_stop_paced(sched, job->slots[i].placement);
	}
}

int zr_sched_job_cancel(struct zr_sched *sched, zr_handle handle)
{
	struct zr_sched_job *job = zr_sched_job_row(sched, handle);

	if (!job || zr_job_state_final(job->state))
		return zr_error_set(ZR_E_STATE, "the job has ended");
	zr_sched_now_refresh(sched);
	job->cancelled = true;
	zr_sched_job_unreserve(sched, handle);
	zr_sched_job_route(sched, handle, false);
	if (job->running)
		stop_all(sched, handle);
	zr_sched_job_settle(sched, handle);
	return 0;
}

void zr_sched_job_hold(struct zr_sched *sched, zr_handle handle, bool held)
{
	struct zr_sched_job *job = zr_sched_job_row(sched, handle);

	if (!job || job->held == held)
		return;
	zr_sched_now_refresh(sched);
	job->held = held;
	if (held)
		zr_sched_job_unreserve(sched, handle);
	if (!held)
		zr_sched_gang_check(sched, handle);
	zr_sched_job_route(sched, handle, false);
}

void zr_sched_job_forget(struct zr_sched *sched, zr_handle handle)
{
	struct zr_sched_job *job = zr_sched_job_row(sched, handle);

	if (!job || job->running)
		return;
	zr_sched_now_refresh(sched);
	job->cancelled = true;
	zr_sched_job_unreserve(sched, handle);
	zr_sched_job_route(sched, handle, false);
	zr_sched_job_clear(sched, job);
	zr_table_remove(sched->jobs, handle);
}

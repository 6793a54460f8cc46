#include "sched/internal.h"

#include <stdlib.h>
#include <string.h>

/**
 * DOC: Tasks
 *
 * A placement is one run of a task on a worker. Its resources are reserved
 * before the task starts, resized as usage is reported, and released when the
 * task ends.
 */

struct zr_sched_placement *zr_sched_placement_get(const struct zr_sched *sched,
						  zr_handle placement)
{
	return zr_table_get(sched->placements, placement);
}

struct zr_sched_task zr_sched_task_describe(const struct zr_sched *sched,
					    zr_handle handle)
{
	const struct zr_sched_placement *placement =
		zr_sched_placement_get(sched, handle);
	const struct zr_sched_job *job =
		zr_sched_job_get(sched, placement->job);
	const struct zr_sched_task task = {
		.job = placement->job,
		.job_id = job->id,
		.index = placement->index,
		.attempt = job->task_entries[placement->index].attempt,
		.worker = placement->worker,
		.reserved = placement->reserved,
	};

	return task;
}

/* Placements */

static const struct zr_resources no_resources;

static void link_to_worker(struct zr_sched *sched, zr_handle handle)
{
	struct zr_sched_placement *placement =
		zr_sched_placement_get(sched, handle);
	struct zr_sched_worker_entry *entry =
		zr_sched_worker_entry_get(sched, placement->worker);

	placement->next = entry->first_placement;
	if (entry->first_placement)
		zr_sched_placement_get(sched, entry->first_placement)
			->previous = handle;
	entry->first_placement = handle;
	entry->tasks++;
}

static void unlink_from_worker(struct zr_sched *sched,
			       const struct zr_sched_placement *placement)
{
	struct zr_sched_worker_entry *entry =
		zr_sched_worker_entry_get(sched, placement->worker);

	if (placement->previous)
		zr_sched_placement_get(sched, placement->previous)->next =
			placement->next;
	else
		entry->first_placement = placement->next;
	if (placement->next)
		zr_sched_placement_get(sched, placement->next)->previous =
			placement->previous;
	entry->tasks--;
}

void zr_sched_placement_resize(struct zr_sched *sched, zr_handle handle,
			       const struct zr_resources *reserved)
{
	struct zr_sched_placement *placement =
		zr_sched_placement_get(sched, handle);
	struct zr_sched_worker_entry *entry =
		zr_sched_worker_entry_get(sched, placement->worker);
	const struct zr_sched_job *job =
		zr_sched_job_get(sched, placement->job);

	zr_resources_sub(&entry->reserved, &placement->reserved);
	zr_resources_add(&entry->reserved, reserved);
	zr_sched_team_update_usage(sched,
				   zr_sched_team_get(sched, job->profile->team),
				   &placement->reserved, reserved);
	placement->reserved = *reserved;
	zr_sched_index_update(sched, placement->worker);
}

/*
 * Adds @change to the number of a service's replicas in the worker's rack. Does
 * nothing for other kinds of jobs.
 */
static int count_in_rack(struct zr_sched *sched, struct zr_sched_job *job,
			 zr_handle worker, int change)
{
	uint32_t rack =
		zr_handle_index(zr_sched_worker_entry_get(sched, worker)->rack);
	uint32_t count = (uint32_t)zr_table_count(sched->racks);
	uint16_t *racks;

	if (job->kind != ZR_JOB_SERVICE)
		return 0;
	if (rack >= job->rack_count) {
		racks = realloc(job->tasks_per_rack, count * sizeof(*racks));
		if (!racks)
			return ZR_E_NOMEM;
		memset(racks + job->rack_count, 0,
		       (count - job->rack_count) * sizeof(*racks));
		job->tasks_per_rack = racks;
		job->rack_count = count;
	}
	job->tasks_per_rack[rack] =
		(uint16_t)(job->tasks_per_rack[rack] + change);
	return 0;
}

static int add_placement(zr_handle *out, struct zr_sched *sched, zr_handle job,
			 uint32_t index, zr_handle worker)
{
	struct zr_sched_placement *placement;
	int error = zr_table_add(out, sched->placements);

	if (error < 0)
		return error;
	placement = zr_sched_placement_get(sched, *out);
	placement->job = job;
	placement->index = index;
	placement->worker = worker;
	placement->started_at = sched->now;
	return 0;
}

int zr_sched_task_reserve(zr_handle *out, struct zr_sched *sched,
			  zr_handle handle, uint32_t index, zr_handle worker)
{
	struct zr_sched_job *job = zr_sched_job_get(sched, handle);
	struct zr_resources need = zr_sched_job_need(job);
	int error = zr_sched_job_alloc_task_entries(sched, job);

	if (!error)
		error = count_in_rack(sched, job, worker, 1);
	if (!error)
		error = add_placement(out, sched, handle, index, worker);
	if (error)
		return error;
	link_to_worker(sched, *out);
	zr_sched_placement_get(sched, *out)->initial_reserved = need;
	zr_sched_placement_resize(sched, *out, &need);
	job->task_entries[index].placement = *out;
	job->task_entries[index].state = ZR_SCHED_TASK_RUNNING;
	job->running++;
	zr_sched_team_get(sched, job->profile->team)->running++;
	sched->stats.running++;
	sched->stats.task_bytes += sizeof(struct zr_sched_placement);
	return 0;
}

static void release_placement(struct zr_sched *sched, zr_handle handle)
{
	struct zr_sched_placement *placement =
		zr_sched_placement_get(sched, handle);
	struct zr_sched_job *job = zr_sched_job_get(sched, placement->job);

	zr_sched_stop_ended(sched, handle);
	zr_sched_drain_release(sched, placement);
	unlink_from_worker(sched, placement);
	zr_sched_placement_resize(sched, handle, &no_resources);
	count_in_rack(sched, job, placement->worker, -1);
	job->task_entries[placement->index].placement = ZR_HANDLE_NONE;
	job->running--;
	zr_sched_team_get(sched, job->profile->team)->running--;
	sched->stats.running--;
	sched->stats.task_bytes -= sizeof(*placement);
	zr_table_remove(sched->placements, handle);
}

/* Starting */

int zr_sched_task_start(zr_handle *out, struct zr_sched *sched,
			zr_handle handle, zr_handle worker, const char *reason)
{
	struct zr_sched_job *job = zr_sched_job_get(sched, handle);
	uint32_t index = zr_sched_job_next_task(job);
	struct zr_sched_task task;
	int error = zr_sched_task_reserve(out, sched, handle, index, worker);

	if (error < 0)
		return error;
	job->task_entries[index].attempt++;
	sched->stats.decisions++;
	task = zr_sched_task_describe(sched, *out);
	sched->sink.start(sched->sink.ctx, &task, zr_sched_job_spec(sched, job),
			  reason);
	zr_sched_job_event(sched, handle, ZR_JOB_EVENT_PLACED, "placed");
	return 0;
}

struct zr_sched_job *zr_sched_task_find(struct zr_sched *sched,
					zr_handle handle, uint32_t index)
{
	struct zr_sched_job *job = zr_sched_job_get(sched, handle);

	return job && index < job->tasks ? job : NULL;
}

int zr_sched_task_adopt(struct zr_sched *sched, zr_handle handle,
			uint32_t index, uint32_t attempt, zr_handle worker)
{
	struct zr_sched_job *job = zr_sched_task_find(sched, handle, index);
	zr_handle placement;
	int error;

	if (!job || !zr_sched_worker_entry_get(sched, worker))
		return ZR_E_NOT_FOUND;
	if (zr_job_state_is_final(job->state))
		return ZR_E_STATE;
	if (zr_sched_job_alloc_task_entries(sched, job) < 0)
		return ZR_E_NOMEM;
	if (job->task_entries[index].state != ZR_SCHED_TASK_WAITING)
		return ZR_E_EXISTS;
	zr_sched_now_refresh(sched);
	zr_sched_job_release_holds(sched, handle);
	error = zr_sched_task_reserve(&placement, sched, handle, index, worker);
	if (error)
		return error;
	job->task_entries[index].attempt = attempt;
	/* The ends that were replayed are of an earlier run of the gang. */
	if (attempt > job->backoff_attempt)
		job->backoff_attempt = 0;
	zr_sched_job_event(sched, handle, ZR_JOB_EVENT_PLACED, "found running");
	zr_sched_job_update_list(sched, handle, false);
	if (job->cancelled)
		zr_sched_stop_cancelled(sched, placement);
	return 0;
}

/* Ends */

static void abandon_task(struct zr_sched_job *job,
			 struct zr_sched_task_entry *task_entry)
{
	task_entry->state = ZR_SCHED_TASK_ABANDONED;
	job->abandoned++;
}

static void return_to_waiting(struct zr_sched_job *job, uint32_t index)
{
	job->task_entries[index].state = ZR_SCHED_TASK_WAITING;
	if (index < job->first_waiting)
		job->first_waiting = index;
}

static bool has_failed_too_often(const struct zr_sched_job *job)
{
	return job->kind != ZR_JOB_SERVICE &&
	       (job->failed_on_count >= ZR_SCHED_FAILED_ON_MAX ||
		job->consecutive_failures >= ZR_SCHED_FAILURES_MAX);
}

static void update_task_state(struct zr_sched_job *job, uint32_t index,
			      enum zr_sched_outcome outcome)
{
	struct zr_sched_task_entry *task_entry = &job->task_entries[index];

	if (outcome == ZR_SCHED_SUCCEEDED && job->kind != ZR_JOB_SERVICE) {
		task_entry->state = ZR_SCHED_TASK_ENDED;
		job->ended++;
		job->backoff_level = 0;
		return;
	}
	/* An at-most-once task that may have started must not be restarted. */
	if ((job->at_most_once && outcome != ZR_SCHED_NOT_STARTED) ||
	    (outcome == ZR_SCHED_FAILED && has_failed_too_often(job))) {
		abandon_task(job, task_entry);
		return;
	}
	return_to_waiting(job, index);
}

/* Whether the job is delayed after the end of a task. */
static bool causes_delay(const struct zr_sched_job *job, uint32_t index,
			 enum zr_sched_outcome outcome)
{
	return job->task_entries[index].state == ZR_SCHED_TASK_WAITING &&
	       outcome != ZR_SCHED_STOPPED && outcome != ZR_SCHED_LOST;
}

/* A run of a gang causes one delay, however many of its members fail. */
static void back_off_once(const struct zr_sched *sched,
			  struct zr_sched_job *job, uint32_t index)
{
	if (job->backoff_attempt)
		return;
	if (job->kind == ZR_JOB_GANG)
		job->backoff_attempt = job->task_entries[index].attempt;
	zr_sched_job_back_off(sched, job);
}

/*
 * The ends in a journal do not tell which tasks failed in one run of a gang, or
 * during one delay. The number of delays is at least that of the task with the
 * most.
 */
static void replay_delay(const struct zr_sched *sched, struct zr_sched_job *job,
			 uint32_t index)
{
	struct zr_sched_task_entry *entry = &job->task_entries[index];

	if (entry->replayed_delays < UINT8_MAX)
		entry->replayed_delays++;
	if (job->kind == ZR_JOB_GANG && entry->attempt > job->backoff_attempt)
		job->backoff_attempt = entry->attempt;
	if (entry->replayed_delays > job->backoff_level)
		zr_sched_job_back_off(sched, job);
}

static void record_run(struct zr_sched *sched, zr_handle handle,
		       const struct zr_sched_placement *placement,
		       enum zr_sched_outcome outcome)
{
	const struct zr_sched_job *job = zr_sched_job_get(sched, handle);

	if (outcome == ZR_SCHED_SUCCEEDED)
		zr_sched_profile_add_run(job->profile, &placement->peak,
					 &placement->initial_reserved,
					 sched->now - placement->started_at);
}

static void update_health(struct zr_sched *sched, zr_handle handle,
			  const struct zr_sched_placement *placement,
			  enum zr_sched_outcome outcome)
{
	if (outcome == ZR_SCHED_SUCCEEDED)
		zr_sched_health_task_succeeded(sched, handle, placement->worker,
					       placement->probe);
	else if (outcome == ZR_SCHED_FAILED || outcome == ZR_SCHED_NOT_STARTED)
		zr_sched_health_task_failed(sched, handle, placement->worker,
					    placement->probe, outcome);
	else if (placement->probe)
		zr_sched_worker_entry_get(sched, placement->worker)->probing =
			false;
}

void zr_sched_task_ended(struct zr_sched *sched, zr_handle handle,
			 uint32_t index, uint32_t attempt,
			 enum zr_sched_outcome outcome)
{
	struct zr_sched_job *job = zr_sched_task_find(sched, handle, index);
	struct zr_sched_placement placement;
	zr_handle team;

	if (!job || !job->task_entries ||
	    job->task_entries[index].attempt != attempt ||
	    !job->task_entries[index].placement)
		return;
	zr_sched_now_refresh(sched);
	placement = *zr_sched_placement_get(sched,
					    job->task_entries[index].placement);
	team = job->profile->team;
	record_run(sched, handle, &placement, outcome);
	release_placement(sched, job->task_entries[index].placement);
	update_health(sched, handle, &placement, outcome);
	update_task_state(job, index, outcome);
	if (causes_delay(job, index, outcome))
		back_off_once(sched, job, index);
	if (job->abandoned)
		zr_sched_job_release_holds(sched, handle);
	if (outcome != ZR_SCHED_SUCCEEDED)
		zr_sched_gang_stop_incomplete(sched, handle);
	zr_sched_job_update_state(sched, handle);
	if (outcome == ZR_SCHED_STOPPED || outcome == ZR_SCHED_LOST)
		zr_sched_drain_claim(sched, &placement);
	zr_sched_job_update_list(sched, handle, true);
	zr_sched_freed_add(sched, placement.worker);
	zr_sched_classes_unblock(sched, team, ZR_SCHED_WAIT_LIMIT);
}

void zr_sched_task_replay(struct zr_sched *sched, zr_handle handle,
			  uint32_t index, uint32_t attempt,
			  enum zr_sched_outcome outcome)
{
	struct zr_sched_job *job = zr_sched_task_find(sched, handle, index);

	if (!job || zr_sched_job_alloc_task_entries(sched, job) < 0 ||
	    job->task_entries[index].state != ZR_SCHED_TASK_WAITING)
		return;
	zr_sched_now_refresh(sched);
	zr_sched_job_release_holds(sched, handle);
	job->task_entries[index].attempt = attempt;
	update_task_state(job, index, outcome);
	if (causes_delay(job, index, outcome))
		replay_delay(sched, job, index);
	zr_sched_job_update_state(sched, handle);
	zr_sched_job_update_list(sched, handle, true);
}

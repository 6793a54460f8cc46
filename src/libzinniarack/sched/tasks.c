#include "sched/internal.h"

#include <stdlib.h>
#include <string.h>

/**
 * DOC: Tasks
 *
 * Reserves room before a task starts, keeps what is reserved at least at what
 * was reported, and takes its end.
 */

struct zr_sched_placement *zr_sched_placement_row(const struct zr_sched *sched,
						  zr_handle placement)
{
	return zr_table_get(sched->placements, placement);
}

struct zr_sched_task zr_sched_task_name(const struct zr_sched *sched,
					zr_handle handle)
{
	const struct zr_sched_placement *placement =
		zr_sched_placement_row(sched, handle);
	const struct zr_sched_job *job =
		zr_sched_job_row(sched, placement->job);
	const struct zr_sched_task task = {
		.job = placement->job,
		.job_id = job->id,
		.index = placement->index,
		.attempt = job->slots[placement->index].attempt,
		.worker = placement->worker,
		.reserved = placement->reserved,
	};

	return task;
}

/* Room */

static const struct zr_resources nothing;

static void enter_worker(struct zr_sched *sched, zr_handle handle)
{
	struct zr_sched_placement *placement =
		zr_sched_placement_row(sched, handle);
	struct zr_sched_host *host =
		zr_sched_host_row(sched, placement->worker);

	placement->next = host->first;
	if (host->first)
		zr_sched_placement_row(sched, host->first)->previous = handle;
	host->first = handle;
	host->tasks++;
}

static void leave_worker(struct zr_sched *sched,
			 const struct zr_sched_placement *placement)
{
	struct zr_sched_host *host =
		zr_sched_host_row(sched, placement->worker);

	if (placement->previous)
		zr_sched_placement_row(sched, placement->previous)->next =
			placement->next;
	else
		host->first = placement->next;
	if (placement->next)
		zr_sched_placement_row(sched, placement->next)->previous =
			placement->previous;
	host->tasks--;
}

void zr_sched_placement_resize(struct zr_sched *sched, zr_handle handle,
			       const struct zr_resources *reserved)
{
	struct zr_sched_placement *placement =
		zr_sched_placement_row(sched, handle);
	struct zr_sched_host *host =
		zr_sched_host_row(sched, placement->worker);
	const struct zr_sched_job *job =
		zr_sched_job_row(sched, placement->job);

	zr_resources_sub(&host->reserved, &placement->reserved);
	zr_resources_add(&host->reserved, reserved);
	zr_sched_team_use(sched, zr_sched_team_row(sched, job->profile->team),
			  &placement->reserved, reserved);
	placement->reserved = *reserved;
	zr_sched_index_update(sched, placement->worker);
}

/* How many replicas of a service each rack has. */
static int count_rack(struct zr_sched *sched, struct zr_sched_job *job,
		      zr_handle worker, int step)
{
	uint32_t rack = zr_handle_index(zr_sched_host_row(sched, worker)->rack);
	uint32_t count = (uint32_t)zr_table_count(sched->racks);
	uint16_t *racks;

	if (job->kind != ZR_JOB_SERVICE)
		return 0;
	if (rack >= job->rack_count) {
		racks = realloc(job->rack_tasks, count * sizeof(*racks));
		if (!racks)
			return ZR_E_NOMEM;
		memset(racks + job->rack_count, 0,
		       (count - job->rack_count) * sizeof(*racks));
		job->rack_tasks = racks;
		job->rack_count = count;
	}
	job->rack_tasks[rack] = (uint16_t)(job->rack_tasks[rack] + step);
	return 0;
}

static int add_placement(zr_handle *out, struct zr_sched *sched, zr_handle job,
			 uint32_t index, zr_handle worker)
{
	struct zr_sched_placement *placement;
	int error = zr_table_add(out, sched->placements);

	if (error < 0)
		return error;
	placement = zr_sched_placement_row(sched, *out);
	placement->job = job;
	placement->index = index;
	placement->worker = worker;
	placement->started_ms = sched->now;
	return 0;
}

int zr_sched_task_reserve(zr_handle *out, struct zr_sched *sched,
			  zr_handle handle, uint32_t index, zr_handle worker)
{
	struct zr_sched_job *job = zr_sched_job_row(sched, handle);
	struct zr_resources need = zr_sched_job_need(job);
	int error = zr_sched_slots_obtain(sched, job);

	if (!error)
		error = count_rack(sched, job, worker, 1);
	if (!error)
		error = add_placement(out, sched, handle, index, worker);
	if (error)
		return error;
	enter_worker(sched, *out);
	zr_sched_placement_row(sched, *out)->base = need;
	zr_sched_placement_resize(sched, *out, &need);
	job->slots[index].placement = *out;
	job->slots[index].state = ZR_SCHED_TASK_RUNNING;
	job->running++;
	zr_sched_team_row(sched, job->profile->team)->running++;
	sched->stats.running++;
	sched->stats.task_bytes += sizeof(struct zr_sched_placement);
	return 0;
}

static void release(struct zr_sched *sched, zr_handle handle)
{
	struct zr_sched_placement *placement =
		zr_sched_placement_row(sched, handle);
	struct zr_sched_job *job = zr_sched_job_row(sched, placement->job);

	zr_sched_stop_ended(sched, handle);
	zr_sched_drain_ended(sched, placement);
	leave_worker(sched, placement);
	zr_sched_placement_resize(sched, handle, &nothing);
	count_rack(sched, job, placement->worker, -1);
	job->slots[placement->index].placement = ZR_HANDLE_NONE;
	job->running--;
	zr_sched_team_row(sched, job->profile->team)->running--;
	sched->stats.running--;
	sched->stats.task_bytes -= sizeof(*placement);
	zr_table_remove(sched->placements, handle);
}

/* Starting */

int zr_sched_task_start(zr_handle *out, struct zr_sched *sched,
			zr_handle handle, zr_handle worker, const char *reason)
{
	struct zr_sched_job *job = zr_sched_job_row(sched, handle);
	uint32_t index = zr_sched_job_next_task(job);
	struct zr_sched_task task;
	int error = zr_sched_task_reserve(out, sched, handle, index, worker);

	if (error < 0)
		return error;
	job->slots[index].attempt++;
	sched->stats.decisions++;
	task = zr_sched_task_name(sched, *out);
	sched->sink.start(sched->sink.ctx, &task, zr_sched_job_spec(sched, job),
			  reason);
	zr_sched_job_event(sched, handle, ZR_JOB_EVENT_PLACED, "placed");
	return 0;
}

struct zr_sched_job *zr_sched_task_find(struct zr_sched *sched,
					zr_handle handle, uint32_t index)
{
	struct zr_sched_job *job = zr_sched_job_row(sched, handle);

	return job && index < job->tasks ? job : NULL;
}

int zr_sched_task_adopt(struct zr_sched *sched, zr_handle handle,
			uint32_t index, uint32_t attempt, zr_handle worker)
{
	struct zr_sched_job *job = zr_sched_task_find(sched, handle, index);
	zr_handle placement;
	int error;

	if (!job || !zr_sched_host_row(sched, worker))
		return ZR_E_NOT_FOUND;
	if (zr_job_state_final(job->state))
		return ZR_E_STATE;
	if (zr_sched_slots_obtain(sched, job) < 0)
		return ZR_E_NOMEM;
	if (job->slots[index].state != ZR_SCHED_TASK_WAITING)
		return ZR_E_EXISTS;
	zr_sched_now_refresh(sched);
	zr_sched_job_unreserve(sched, handle);
	error = zr_sched_task_reserve(&placement, sched, handle, index, worker);
	if (error)
		return error;
	job->slots[index].attempt = attempt;
	zr_sched_job_event(sched, handle, ZR_JOB_EVENT_PLACED, "found running");
	zr_sched_job_route(sched, handle, false);
	if (job->cancelled)
		zr_sched_stop_paced(sched, placement);
	return 0;
}

/* Ends */

static void give_up(struct zr_sched_job *job, struct zr_sched_slot *slot)
{
	slot->state = ZR_SCHED_TASK_GIVEN_UP;
	job->given_up++;
}

static void wait_again(struct zr_sched_job *job, uint32_t index)
{
	job->slots[index].state = ZR_SCHED_TASK_WAITING;
	if (index < job->first_waiting)
		job->first_waiting = index;
}

static bool fails_everywhere(const struct zr_sched_job *job)
{
	return job->kind != ZR_JOB_SERVICE &&
	       (job->failed_on_count >= ZR_SCHED_FAILED_ON_MAX ||
		job->failures >= ZR_SCHED_FAILURES_MAX);
}

static void end_slot(const struct zr_sched *sched, struct zr_sched_job *job,
		     uint32_t index, enum zr_sched_outcome outcome)
{
	struct zr_sched_slot *slot = &job->slots[index];

	if (outcome == ZR_SCHED_SUCCEEDED && job->kind != ZR_JOB_SERVICE) {
		slot->state = ZR_SCHED_TASK_ENDED;
		job->ended++;
		job->delay = 0;
		return;
	}
	/* What may have begun must not begin again. */
	if ((job->at_most_once && outcome != ZR_SCHED_NOT_STARTED) ||
	    (outcome == ZR_SCHED_FAILED && fails_everywhere(job))) {
		give_up(job, slot);
		return;
	}
	wait_again(job, index);
	if (outcome != ZR_SCHED_STOPPED && outcome != ZR_SCHED_LOST)
		zr_sched_job_delay(sched, job);
}

static void learn(struct zr_sched *sched, zr_handle handle,
		  const struct zr_sched_placement *placement,
		  enum zr_sched_outcome outcome)
{
	const struct zr_sched_job *job = zr_sched_job_row(sched, handle);

	if (outcome == ZR_SCHED_SUCCEEDED)
		zr_sched_profile_learn(job->profile, &placement->peak,
				       &placement->base,
				       sched->now - placement->started_ms);
}

static void blame(struct zr_sched *sched, zr_handle handle,
		  const struct zr_sched_placement *placement,
		  enum zr_sched_outcome outcome)
{
	if (outcome == ZR_SCHED_SUCCEEDED)
		zr_sched_blame_succeeded(sched, handle, placement->worker,
					 placement->probe);
	else if (outcome == ZR_SCHED_FAILED || outcome == ZR_SCHED_NOT_STARTED)
		zr_sched_blame_failed(sched, handle, placement->worker,
				      placement->probe, outcome);
	else if (placement->probe)
		zr_sched_host_row(sched, placement->worker)->probing = false;
}

void zr_sched_task_ended(struct zr_sched *sched, zr_handle handle,
			 uint32_t index, uint32_t attempt,
			 enum zr_sched_outcome outcome)
{
	struct zr_sched_job *job = zr_sched_task_find(sched, handle, index);
	struct zr_sched_placement placement;
	zr_handle team;

	if (!job || !job->slots || job->slots[index].attempt != attempt ||
	    !job->slots[index].placement)
		return;
	zr_sched_now_refresh(sched);
	placement = *zr_sched_placement_row(sched, job->slots[index].placement);
	team = job->profile->team;
	learn(sched, handle, &placement, outcome);
	release(sched, job->slots[index].placement);
	blame(sched, handle, &placement, outcome);
	end_slot(sched, job, index, outcome);
	if (job->given_up)
		zr_sched_job_unreserve(sched, handle);
	if (outcome != ZR_SCHED_SUCCEEDED)
		zr_sched_gang_check(sched, handle);
	zr_sched_job_settle(sched, handle);
	if (outcome == ZR_SCHED_STOPPED || outcome == ZR_SCHED_LOST)
		zr_sched_drain_moved(sched, &placement);
	zr_sched_job_route(sched, handle, true);
	zr_sched_queue_freed(sched, placement.worker);
	zr_sched_queue_unblock(sched, team, ZR_SCHED_WAIT_LIMIT);
}

void zr_sched_task_replay(struct zr_sched *sched, zr_handle handle,
			  uint32_t index, uint32_t attempt,
			  enum zr_sched_outcome outcome)
{
	struct zr_sched_job *job = zr_sched_task_find(sched, handle, index);

	if (!job || zr_sched_slots_obtain(sched, job) < 0 ||
	    job->slots[index].state != ZR_SCHED_TASK_WAITING)
		return;
	zr_sched_now_refresh(sched);
	zr_sched_job_unreserve(sched, handle);
	job->slots[index].attempt = attempt;
	end_slot(sched, job, index, outcome);
	zr_sched_job_settle(sched, handle);
	zr_sched_job_route(sched, handle, true);
}

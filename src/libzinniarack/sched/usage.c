#include "sched/internal.h"

/**
 * DOC: Usage
 *
 * Takes reports of what tasks use, late and out of order as they come: what is
 * reserved for a task only grows.
 */

static uint32_t larger(uint32_t a, uint32_t b)
{
	return a > b ? a : b;
}

/* What was used once may be used again: room is never taken back. */
static struct zr_resources room_for(const struct zr_sched_placement *placement)
{
	const struct zr_resources *peak = &placement->peak;
	struct zr_resources room = placement->base;

	room.millicpus = larger(room.millicpus, peak->millicpus);
	room.memory_mb = larger(room.memory_mb, peak->memory_mb);
	room.accelerators = larger(room.accelerators, peak->accelerators);
	return room;
}

static void take_peak(struct zr_resources *peak,
		      const struct zr_resources *used)
{
	peak->millicpus = larger(peak->millicpus, used->millicpus);
	peak->memory_mb = larger(peak->memory_mb, used->memory_mb);
	peak->accelerators = larger(peak->accelerators, used->accelerators);
}

/* A running task of which nothing was heard is not smaller than the smallest
 * of its name. */
static void raise_unheard(struct zr_sched *sched,
			  const struct zr_sched_profile *profile)
{
	zr_handle handle = ZR_HANDLE_NONE;

	while ((handle = zr_table_next(sched->placements, handle))) {
		struct zr_sched_placement *placement =
			zr_sched_placement_row(sched, handle);
		struct zr_resources room;

		if (placement->reported ||
		    zr_sched_job_row(sched, placement->job)->profile != profile)
			continue;
		take_peak(&placement->base, &profile->least);
		room = room_for(placement);
		zr_sched_placement_resize(sched, handle, &room);
		zr_sched_relieve(sched, placement->worker);
	}
}

static void keep_report(struct zr_sched *sched,
			struct zr_sched_placement *placement,
			const struct zr_resources *used, int64_t at)
{
	const struct zr_sched_job *job =
		zr_sched_job_row(sched, placement->job);
	bool first = !placement->reported;

	take_peak(&placement->peak, used);
	placement->reported = true;
	if (at >= placement->seen_ms) {
		placement->seen_ms = at;
		placement->millicpus = used->millicpus;
	}
	if (zr_sched_profile_saw(job->profile, used, &placement->base, first))
		raise_unheard(sched, job->profile);
}

static void take_usage(struct zr_sched *sched, zr_handle handle,
		       const struct zr_resources *used, int64_t at)
{
	struct zr_sched_placement *placement =
		zr_sched_placement_row(sched, handle);
	const struct zr_sched_job *job =
		zr_sched_job_row(sched, placement->job);
	const struct zr_sched_team *team =
		zr_sched_team_row(sched, job->profile->team);
	zr_handle worker = placement->worker;
	struct zr_resources room;

	keep_report(sched, placement, used, at);
	room = room_for(placement);
	zr_sched_placement_resize(sched, handle, &room);
	/* A task that grows past its team's limit makes way. */
	if (zr_sched_team_over(team) &&
	    job->slots[placement->index].state == ZR_SCHED_TASK_RUNNING)
		zr_sched_stop(sched, handle, ZR_SCHED_STOP_RELIEF);
	zr_sched_relieve(sched, worker);
}

void zr_sched_task_usage(struct zr_sched *sched, zr_handle handle,
			 uint32_t index, uint32_t attempt,
			 const struct zr_resources *used, struct timespec at)
{
	const struct zr_sched_job *job =
		zr_sched_task_find(sched, handle, index);

	if (!job || !job->slots || job->slots[index].attempt != attempt ||
	    !job->slots[index].placement)
		return;
	zr_sched_now_refresh(sched);
	take_usage(sched, job->slots[index].placement, used, zr_time_to_ms(at));
}

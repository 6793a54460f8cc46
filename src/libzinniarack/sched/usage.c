#include "sched/internal.h"

/**
 * DOC: Usage reports
 *
 * Usage reports arrive late and out of order. Therefore the reservation of a
 * running task never shrinks.
 */

static uint32_t max_of(uint32_t a, uint32_t b)
{
	return a > b ? a : b;
}

/*
 * Returns what to reserve for a task. A peak counts for the rest of the run, as
 * the task may use as much again.
 */
static struct zr_resources
required_reservation(const struct zr_sched_placement *placement)
{
	const struct zr_resources *peak = &placement->peak;
	struct zr_resources reservation = placement->initial_reserved;

	reservation.millicpus = max_of(reservation.millicpus, peak->millicpus);
	reservation.memory_mb = max_of(reservation.memory_mb, peak->memory_mb);
	reservation.accelerators =
		max_of(reservation.accelerators, peak->accelerators);
	return reservation;
}

static void update_peak(struct zr_resources *peak,
			const struct zr_resources *used)
{
	peak->millicpus = max_of(peak->millicpus, used->millicpus);
	peak->memory_mb = max_of(peak->memory_mb, used->memory_mb);
	peak->accelerators = max_of(peak->accelerators, used->accelerators);
}

/*
 * Raises the reservations of those running tasks of the profile that have not
 * reported to at least the lowest usage in any report of the profile.
 */
static void raise_unreported(struct zr_sched *sched,
			     const struct zr_sched_profile *profile)
{
	zr_handle handle = ZR_HANDLE_NONE;

	while ((handle = zr_table_next(sched->placements, handle))) {
		struct zr_sched_placement *placement =
			zr_sched_placement_get(sched, handle);
		struct zr_resources reservation;

		if (placement->reported ||
		    zr_sched_job_get(sched, placement->job)->profile != profile)
			continue;
		update_peak(&placement->initial_reserved,
			    &profile->min_reported);
		reservation = required_reservation(placement);
		zr_sched_placement_resize(sched, handle, &reservation);
		zr_sched_overcommit_resolve(sched, placement->worker);
	}
}

static void record_report(struct zr_sched *sched,
			  struct zr_sched_placement *placement,
			  const struct zr_resources *used, int64_t at)
{
	const struct zr_sched_job *job =
		zr_sched_job_get(sched, placement->job);
	bool first = !placement->reported;

	update_peak(&placement->peak, used);
	placement->reported = true;
	if (at >= placement->reported_at) {
		placement->reported_at = at;
		placement->millicpus = used->millicpus;
	}
	if (zr_sched_profile_add_report(job->profile, used,
					&placement->initial_reserved, first))
		raise_unreported(sched, job->profile);
}

static void apply_report(struct zr_sched *sched, zr_handle handle,
			 const struct zr_resources *used, int64_t at)
{
	struct zr_sched_placement *placement =
		zr_sched_placement_get(sched, handle);
	const struct zr_sched_job *job =
		zr_sched_job_get(sched, placement->job);
	const struct zr_sched_team *team =
		zr_sched_team_get(sched, job->profile->team);
	zr_handle worker = placement->worker;
	struct zr_resources reservation;

	record_report(sched, placement, used, at);
	reservation = required_reservation(placement);
	zr_sched_placement_resize(sched, handle, &reservation);
	/* Stop the task if its growth puts the team over its limit. */
	if (zr_sched_team_is_over_limit(team) &&
	    job->task_entries[placement->index].state == ZR_SCHED_TASK_RUNNING)
		zr_sched_stop(sched, handle, ZR_SCHED_STOP_OVERCOMMIT);
	zr_sched_overcommit_resolve(sched, worker);
}

void zr_sched_task_report_usage(struct zr_sched *sched, zr_handle handle,
				uint32_t index, uint32_t attempt,
				const struct zr_resources *used,
				struct timespec at)
{
	const struct zr_sched_job *job =
		zr_sched_task_find(sched, handle, index);

	if (!job || !job->task_entries ||
	    job->task_entries[index].attempt != attempt ||
	    !job->task_entries[index].placement)
		return;
	zr_sched_now_refresh(sched);
	apply_report(sched, job->task_entries[index].placement, used,
		     zr_time_to_ms(at));
}

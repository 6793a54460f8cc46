#include "sched/internal.h"

/**
 * DOC: Parking
 *
 * Jobs that cannot run as the cell and their team's limit stand are told apart
 * from those that only wait, and come back when a worker or a limit changes.
 */

/* Parked jobs that one decide looks at again. */
#define PARKED_REVIEW_MAX 64

void zr_sched_job_park(struct zr_sched *sched, zr_handle handle,
		       enum zr_sched_wait wait)
{
	struct zr_sched_job *job = zr_sched_job_row(sched, handle);
	const char *reason = wait == ZR_SCHED_WAIT_OVER_LIMIT
				     ? "larger than its team's upper limit"
				     : "larger than the workers can hold";

	zr_sched_job_leave_list(sched, handle);
	job->place = ZR_SCHED_PLACE_PARKED;
	job->wait = (uint8_t)wait;
	zr_sched_lane_append(sched, &sched->parked, handle, false);
	sched->stats.parked++;
	if (!job->running)
		zr_sched_job_event(sched, handle, ZR_JOB_EVENT_PARKED, reason);
}

enum zr_sched_wait zr_sched_job_obstacle(const struct zr_sched *sched,
					 const struct zr_sched_job *job)
{
	struct zr_resources need = zr_sched_job_need(job);
	uint32_t together = job->kind == ZR_JOB_GANG ? job->tasks : 1;
	const struct zr_sched_team *team =
		zr_sched_team_row(sched, job->profile->team);

	if (!zr_sched_fits_empty(sched, &need, together))
		return ZR_SCHED_WAIT_NEVER_FITS;
	if (!zr_sched_team_could(team, &need, together))
		return ZR_SCHED_WAIT_OVER_LIMIT;
	return ZR_SCHED_WAIT_NONE;
}

bool zr_sched_job_could_run(const struct zr_sched *sched,
			    const struct zr_sched_job *job)
{
	return zr_sched_job_obstacle(sched, job) == ZR_SCHED_WAIT_NONE;
}

static void review(struct zr_sched *sched, zr_handle handle)
{
	struct zr_sched_job *job = zr_sched_job_row(sched, handle);

	sched->stats.jobs_examined++;
	if (!zr_sched_job_could_run(sched, job)) {
		zr_sched_lane_remove(sched, &sched->parked, handle);
		zr_sched_lane_append(sched, &sched->parked, handle, false);
		return;
	}
	zr_sched_job_leave_list(sched, handle);
	if (!job->running)
		zr_sched_job_event(sched, handle, ZR_JOB_EVENT_UNPARKED,
				   "it can run now");
	zr_sched_job_route(sched, handle, false);
}

void zr_sched_parked_review(struct zr_sched *sched)
{
	unsigned int reviewed = 0;

	while (sched->parked_to_review && sched->parked.head &&
	       reviewed++ < PARKED_REVIEW_MAX) {
		sched->parked_to_review--;
		review(sched, sched->parked.head);
	}
	if (!sched->parked.head)
		sched->parked_to_review = 0;
	sched->more |= sched->parked_to_review > 0;
}

void zr_sched_parked_reconsider(struct zr_sched *sched)
{
	sched->parked_to_review = sched->stats.parked;
}

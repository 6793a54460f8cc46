#include "sched/internal.h"

/**
 * DOC: Parked jobs
 *
 * A job is parked when it could not run even if no other job ran: it is larger
 * than the workers or than its team's limit. It is not scheduled, but checked
 * again when a worker or a limit changes.
 */

/* Maximum number of parked jobs that one scheduling pass checks again. */
#define RECHECKS_MAX 64

void zr_sched_job_park(struct zr_sched *sched, zr_handle handle,
		       enum zr_sched_wait wait)
{
	struct zr_sched_job *job = zr_sched_job_get(sched, handle);
	const char *reason = wait == ZR_SCHED_WAIT_OVER_LIMIT
				     ? "exceeds its team's limit"
				     : "does not fit on the workers";

	zr_sched_job_leave_list(sched, handle);
	job->list = ZR_SCHED_LIST_PARKED;
	job->wait = (uint8_t)wait;
	zr_sched_job_list_insert(sched, &sched->parked, handle, false);
	sched->stats.parked++;
	if (!job->running)
		zr_sched_job_event(sched, handle, ZR_JOB_EVENT_PARKED, reason);
}

enum zr_sched_wait
zr_sched_job_unschedulable_reason(const struct zr_sched *sched,
				  const struct zr_sched_job *job)
{
	struct zr_resources need = zr_sched_job_need(job);
	uint32_t task_count = job->kind == ZR_JOB_GANG ? job->tasks : 1;
	const struct zr_sched_team *team =
		zr_sched_team_get(sched, job->profile->team);

	if (!zr_sched_fits_idle(sched, &need, task_count))
		return ZR_SCHED_WAIT_NEVER_FITS;
	if (!zr_sched_team_limit_fits(team, &need, task_count))
		return ZR_SCHED_WAIT_OVER_LIMIT;
	return ZR_SCHED_WAIT_NONE;
}

bool zr_sched_job_is_schedulable(const struct zr_sched *sched,
				 const struct zr_sched_job *job)
{
	return zr_sched_job_unschedulable_reason(sched, job) ==
	       ZR_SCHED_WAIT_NONE;
}

/* Unparks a job that can run now; moves any other to the end of the list. */
static void recheck_job(struct zr_sched *sched, zr_handle handle)
{
	struct zr_sched_job *job = zr_sched_job_get(sched, handle);

	sched->stats.jobs_examined++;
	if (!zr_sched_job_is_schedulable(sched, job)) {
		zr_sched_job_list_remove(sched, &sched->parked, handle);
		zr_sched_job_list_insert(sched, &sched->parked, handle, false);
		return;
	}
	zr_sched_job_leave_list(sched, handle);
	if (!job->running)
		zr_sched_job_event(sched, handle, ZR_JOB_EVENT_UNPARKED,
				   "it can run now");
	zr_sched_job_update_list(sched, handle, false);
}

void zr_sched_parked_recheck(struct zr_sched *sched)
{
	unsigned int checked = 0;

	while (sched->parked_to_recheck && sched->parked.head &&
	       checked++ < RECHECKS_MAX) {
		sched->parked_to_recheck--;
		recheck_job(sched, sched->parked.head);
	}
	if (!sched->parked.head)
		sched->parked_to_recheck = 0;
	sched->has_more |= sched->parked_to_recheck > 0;
}

void zr_sched_parked_recheck_all(struct zr_sched *sched)
{
	sched->parked_to_recheck = sched->stats.parked;
}

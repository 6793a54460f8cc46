#include "sched/internal.h"

#include <stdio.h>
#include <string.h>

/**
 * DOC: Explaining
 *
 * Why a job waits: how many workers pass it over, for which reason, and the
 * least that would let a task of it start.
 */

const char *zr_sched_refusal_name(enum zr_sched_refusal refusal)
{
	static const char *const names[] = {
		"processors", "memory",	 "accelerators", "leaving",
		"unheard",    "suspect", "reserved",
	};

	return names[refusal];
}

/* The first reason, or ZR_SCHED_REFUSALS when the worker has room. */
static enum zr_sched_refusal refusal_of(const struct zr_sched_host *host,
					const struct zr_resources *need)
{
	struct zr_resources room = zr_sched_host_free(host);
	struct zr_resources used = host->reserved;

	zr_resources_add(&used, need);
	if (host->state == ZR_SCHED_WORKER_LEAVING)
		return ZR_SCHED_REFUSED_LEAVING;
	if (host->state == ZR_SCHED_WORKER_UNHEARD)
		return ZR_SCHED_REFUSED_UNHEARD;
	if (host->suspect)
		return ZR_SCHED_REFUSED_SUSPECT;
	if (zr_resources_fit(need, &room))
		return ZR_SCHED_REFUSALS;
	if (zr_resources_fit(&used, &host->capacity))
		return ZR_SCHED_REFUSED_RESERVED;
	if (used.accelerators > host->capacity.accelerators)
		return ZR_SCHED_REFUSED_ACCELERATORS;
	if (used.millicpus > host->capacity.millicpus)
		return ZR_SCHED_REFUSED_MILLICPUS;
	return ZR_SCHED_REFUSED_MEMORY;
}

static uint32_t lack(uint32_t need, uint32_t room)
{
	return need > room ? need - room : 0;
}

/* The worker that lacks least, by the sum of parts of its capacity. */
static uint64_t lack_of(const struct zr_sched_host *host,
			const struct zr_resources *need,
			struct zr_resources *lacks)
{
	struct zr_resources room = zr_sched_host_free(host);
	uint64_t sum;

	lacks->millicpus = lack(need->millicpus, room.millicpus);
	lacks->memory_mb = lack(need->memory_mb, room.memory_mb);
	lacks->accelerators = lack(need->accelerators, room.accelerators);
	sum = (uint64_t)lacks->millicpus * 1000 /
	      (host->capacity.millicpus + 1);
	sum += (uint64_t)lacks->memory_mb * 1000 /
	       (host->capacity.memory_mb + 1);
	return sum + (uint64_t)lacks->accelerators * 1000 /
			     (host->capacity.accelerators + 1);
}

static void hint_at_worker(struct zr_sched_explanation *out,
			   const struct zr_sched *sched,
			   const struct zr_resources *need)
{
	const struct zr_sched_host *nearest = NULL;
	struct zr_resources nearest_lacks = {0};
	struct zr_resources lacks;
	uint64_t least = UINT64_MAX;
	zr_handle worker = ZR_HANDLE_NONE;

	while ((worker = zr_table_next(sched->workers, worker))) {
		const struct zr_sched_host *host =
			zr_sched_host_row(sched, worker);
		uint64_t sum = lack_of(host, need, &lacks);

		if (host->state != ZR_SCHED_WORKER_UP || host->suspect ||
		    !zr_resources_fit(need, &host->capacity) || sum >= least)
			continue;
		least = sum;
		nearest = host;
		nearest_lacks = lacks;
	}
	if (!nearest)
		snprintf(out->hint, sizeof(out->hint),
			 "starts when a worker that holds it is up");
	else
		snprintf(out->hint, sizeof(out->hint),
			 "starts when worker %s has %u millicpus, %u MiB and "
			 "%u accelerators more free",
			 nearest->name->text, nearest_lacks.millicpus,
			 nearest_lacks.memory_mb, nearest_lacks.accelerators);
}

static void hint_at_limit(struct zr_sched_explanation *out,
			  const struct zr_sched *sched,
			  const struct zr_sched_job *job)
{
	const struct zr_sched_team *team =
		zr_sched_team_row(sched, job->profile->team);

	snprintf(out->hint, sizeof(out->hint),
		 "starts when team %s has less running or a higher upper limit",
		 team->name->text);
}

static void hint(struct zr_sched_explanation *out, const struct zr_sched *sched,
		 const struct zr_sched_job *job,
		 const struct zr_sched_job_info *info,
		 const struct zr_resources *need)
{
	if (info->wait == ZR_SCHED_WAIT_LIMIT ||
	    info->wait == ZR_SCHED_WAIT_OVER_LIMIT)
		hint_at_limit(out, sched, job);
	else if (info->wait == ZR_SCHED_WAIT_NO_ROOM)
		hint_at_worker(out, sched, need);
	else if (info->wait == ZR_SCHED_WAIT_NEVER_FITS)
		snprintf(out->hint, sizeof(out->hint),
			 "starts when a larger worker, or more workers, join");
	else
		snprintf(out->hint, sizeof(out->hint), "%s", info->reason);
}

static uint32_t jobs_above(const struct zr_sched_class *class, uint32_t rank)
{
	uint32_t jobs = 0;
	uint32_t i;

	for (i = 0; i < class->lane_count; i++) {
		if (class->lanes[i].rank > rank)
			jobs += class->lanes[i].count;
	}
	return jobs;
}

static uint32_t jobs_before(const struct zr_sched *sched,
			    const struct zr_sched_job *job)
{
	struct zr_sched_class *class;
	struct zr_sched_class *next;
	uint32_t jobs = 0;

	HASH_ITER (hh, sched->classes, class, next)
		jobs += jobs_above(class, job->rank);
	return jobs;
}

int zr_sched_explain(struct zr_sched_explanation *out,
		     const struct zr_sched *sched, zr_handle handle)
{
	const struct zr_sched_job *job = zr_sched_job_row(sched, handle);
	struct zr_sched_job_info info;
	zr_handle worker = ZR_HANDLE_NONE;
	struct zr_resources need;

	memset(out, 0, sizeof(*out));
	if (!job)
		return zr_error_set(ZR_E_NOT_FOUND, "no such job");
	need = zr_sched_job_need(job);
	while ((worker = zr_table_next(sched->workers, worker))) {
		enum zr_sched_refusal refusal =
			refusal_of(zr_sched_host_row(sched, worker), &need);

		if (refusal == ZR_SCHED_REFUSALS)
			out->fitting++;
		else
			out->by_reason[refusal]++;
	}
	out->jobs_before = jobs_before(sched, job);
	zr_sched_job_info(&info, sched, handle);
	hint(out, sched, job, &info, &need);
	return 0;
}

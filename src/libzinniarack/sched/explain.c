#include "sched/internal.h"

#include <stdio.h>
#include <string.h>

/**
 * DOC: Explanations
 *
 * Explains why a job waits: the number of workers that refuse a task of it, by
 * reason, and a hint at what would let a task start.
 */

const char *zr_sched_refusal_name(enum zr_sched_refusal refusal)
{
	static const char *const names[] = {
		"processors", "memory",	 "accelerators", "leaving",
		"unheard",    "suspect", "reserved",
	};

	return names[refusal];
}

/*
 * Returns why a worker cannot take a task, ZR_SCHED_REFUSALS when it can. Of
 * several reasons, the one checked first is returned.
 */
static enum zr_sched_refusal
refusal_of(const struct zr_sched_worker_entry *entry,
	   const struct zr_resources *need)
{
	struct zr_resources available =
		zr_sched_worker_entry_free_resources(entry);
	struct zr_resources used = entry->reserved;

	zr_resources_add(&used, need);
	if (entry->state == ZR_SCHED_WORKER_LEAVING)
		return ZR_SCHED_REFUSED_LEAVING;
	if (entry->state == ZR_SCHED_WORKER_UNRESPONSIVE)
		return ZR_SCHED_REFUSED_UNRESPONSIVE;
	if (entry->suspect)
		return ZR_SCHED_REFUSED_SUSPECT;
	if (zr_resources_fit(need, &available))
		return ZR_SCHED_REFUSALS;
	/* The task would fit but for resources held for claims and gangs. */
	if (zr_resources_fit(&used, &entry->capacity))
		return ZR_SCHED_REFUSED_RESERVED;
	if (used.accelerators > entry->capacity.accelerators)
		return ZR_SCHED_REFUSED_ACCELERATORS;
	if (used.millicpus > entry->capacity.millicpus)
		return ZR_SCHED_REFUSED_MILLICPUS;
	return ZR_SCHED_REFUSED_MEMORY;
}

static uint32_t shortfall(uint32_t need, uint32_t available)
{
	return need > available ? need - available : 0;
}

/*
 * Sets @lacking to the amounts by which a worker's free resources fall short of
 * @need. Returns the sum of these amounts, each in thousandths of the worker's
 * capacity.
 */
static uint64_t missing_resources(const struct zr_sched_worker_entry *entry,
				  const struct zr_resources *need,
				  struct zr_resources *lacking)
{
	struct zr_resources available =
		zr_sched_worker_entry_free_resources(entry);
	uint64_t sum;

	lacking->millicpus = shortfall(need->millicpus, available.millicpus);
	lacking->memory_mb = shortfall(need->memory_mb, available.memory_mb);
	lacking->accelerators =
		shortfall(need->accelerators, available.accelerators);
	sum = (uint64_t)lacking->millicpus * 1000 /
	      (entry->capacity.millicpus + 1);
	sum += (uint64_t)lacking->memory_mb * 1000 /
	       (entry->capacity.memory_mb + 1);
	return sum + (uint64_t)lacking->accelerators * 1000 /
			     (entry->capacity.accelerators + 1);
}

/* Names the worker whose free resources fall short by the smallest amount. */
static void hint_worker(struct zr_sched_explanation *out,
			const struct zr_sched *sched,
			const struct zr_resources *need)
{
	const struct zr_sched_worker_entry *nearest = NULL;
	struct zr_resources nearest_lacking = {0};
	struct zr_resources lacking;
	uint64_t nearest_sum = UINT64_MAX;
	zr_handle worker = ZR_HANDLE_NONE;

	while ((worker = zr_table_next(sched->workers, worker))) {
		const struct zr_sched_worker_entry *entry =
			zr_sched_worker_entry_get(sched, worker);
		uint64_t sum = missing_resources(entry, need, &lacking);

		if (entry->state != ZR_SCHED_WORKER_UP || entry->suspect ||
		    !zr_resources_fit(need, &entry->capacity) ||
		    sum >= nearest_sum)
			continue;
		nearest_sum = sum;
		nearest = entry;
		nearest_lacking = lacking;
	}
	if (!nearest)
		snprintf(out->hint, sizeof(out->hint),
			 "starts when a worker large enough is up");
	else
		snprintf(out->hint, sizeof(out->hint),
			 "starts when worker %s frees %u millicpus, %u MiB and "
			 "%u accelerators",
			 nearest->name->text, nearest_lacking.millicpus,
			 nearest_lacking.memory_mb,
			 nearest_lacking.accelerators);
}

static void hint_limit(struct zr_sched_explanation *out,
		       const struct zr_sched *sched,
		       const struct zr_sched_job *job)
{
	const struct zr_sched_team *team =
		zr_sched_team_get(sched, job->profile->team);

	snprintf(out->hint, sizeof(out->hint),
		 "starts when team %s uses less or has a higher upper limit",
		 team->name->text);
}

static void fill_hint(struct zr_sched_explanation *out,
		      const struct zr_sched *sched,
		      const struct zr_sched_job *job,
		      const struct zr_sched_job_info *info,
		      const struct zr_resources *need)
{
	if (info->wait == ZR_SCHED_WAIT_LIMIT ||
	    info->wait == ZR_SCHED_WAIT_OVER_LIMIT)
		hint_limit(out, sched, job);
	else if (info->wait == ZR_SCHED_WAIT_NO_CAPACITY)
		hint_worker(out, sched, need);
	else if (info->wait == ZR_SCHED_WAIT_NEVER_FITS)
		snprintf(out->hint, sizeof(out->hint),
			 "starts when a larger worker or more workers join");
	else
		snprintf(out->hint, sizeof(out->hint), "%s", info->reason);
}

static uint32_t jobs_above_priority(const struct zr_sched_class *class,
				    uint32_t priority)
{
	uint32_t jobs = 0;
	uint32_t i;

	for (i = 0; i < class->list_count; i++) {
		if (class->lists[i].effective_priority > priority)
			jobs += class->lists[i].count;
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
		jobs += jobs_above_priority(class, job->effective_priority);
	return jobs;
}

int zr_sched_explain(struct zr_sched_explanation *out,
		     const struct zr_sched *sched, zr_handle handle)
{
	const struct zr_sched_job *job = zr_sched_job_get(sched, handle);
	struct zr_sched_job_info info;
	zr_handle worker = ZR_HANDLE_NONE;
	struct zr_resources need;

	memset(out, 0, sizeof(*out));
	if (!job)
		return zr_error_set(ZR_E_NOT_FOUND, "no such job");
	need = zr_sched_job_need(job);
	while ((worker = zr_table_next(sched->workers, worker))) {
		enum zr_sched_refusal refusal = refusal_of(
			zr_sched_worker_entry_get(sched, worker), &need);

		if (refusal == ZR_SCHED_REFUSALS)
			out->fitting++;
		else
			out->by_reason[refusal]++;
	}
	out->jobs_before = jobs_before(sched, job);
	zr_sched_job_info(&info, sched, handle);
	fill_hint(out, sched, job, &info, &need);
	return 0;
}

#include "sched/internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/**
 * DOC: Estimated sizes and run times
 *
 * Declared sizes and run times are often far from the actual ones. A profile
 * collects, for the jobs of one team and name, histograms of the processor use
 * and of the run times of past runs, and the highest memory use. Once there are
 * enough runs, the scheduler reserves a high percentile of processor use and
 * the highest memory use, each with a margin, instead of the declared size.
 * Before that, it only raises the declared memory to the highest memory use.
 * Memory is never reserved below the highest use, since a task that lacks
 * memory cannot be slowed down.
 *
 * A task may use all that is reserved for it, however much that is. Use of part
 * of the margin therefore shows only that the reservation was enough, not that
 * the task needs more, and does not raise the estimate.
 */

/* Number of successful runs after which estimates replace declarations. */
#define RUNS_MIN 5
/*
 * Number of reporting tasks at which running tasks that have not reported are
 * assumed to use at least the minimum of the reports.
 */
#define REPORTERS_MIN 8
/* Quantile of processor use and of run times that is used as estimate. */
#define QUANTILE_PERMILLE 950
/* Margin added to estimates, in per cent. */
#define MARGIN_PERCENT 10
/* Upper bound of an estimate, as a multiple of the declared size. */
#define ESTIMATE_FACTOR_MAX 8
/* At this many runs, counts are halved so that older runs weigh less. */
#define RUNS_MAX 1024
/* Number of profiles above which the oldest that no job uses is evicted. */
#define PROFILES_MAX 8192
/* Size of a key: team, separator and job name, with the final NUL. */
#define KEY_MAX (2 * ZR_NAME_MAX)

static uint32_t with_margin(uint64_t value)
{
	value += value * MARGIN_PERCENT / 100;
	return value < UINT32_MAX ? (uint32_t)value : UINT32_MAX;
}

/* Returns @value / (1 + margin), rounded up. */
static uint64_t without_margin(uint32_t value)
{
	uint64_t percent = 100 + MARGIN_PERCENT;

	return ((uint64_t)value * 100 + percent - 1) / percent;
}

/*
 * Returns the usage to record for a task that used @used of its reservation
 * @given. Use of the margin is not recorded; use beyond the reservation is.
 */
static uint32_t usage_to_record(uint32_t used, uint32_t given)
{
	uint64_t base = without_margin(given);

	return used > base && used <= given ? (uint32_t)base : used;
}

/* Profiles */

static void evict_oldest(struct zr_sched *sched)
{
	struct zr_sched_profile *profile;
	struct zr_sched_profile *next;

	HASH_ITER (hh, sched->profiles, profile, next) {
		if (profile->refs)
			continue;
		HASH_DELETE(hh, sched->profiles, profile);
		free(profile);
		return;
	}
}

static struct zr_sched_profile *create_profile(struct zr_sched *sched,
					       zr_handle team, const char *key,
					       size_t length,
					       size_t name_offset)
{
	struct zr_sched_profile *profile;

	profile = calloc(1, sizeof(*profile) + length + 1);
	if (!profile)
		return NULL;
	memcpy(profile->key, key, length + 1);
	profile->name = profile->key + name_offset;
	profile->team = team;
	HASH_ADD_KEYPTR(hh, sched->profiles, profile->key, length, profile);
	return profile;
}

struct zr_sched_profile *zr_sched_profile_acquire(struct zr_sched *sched,
						  zr_handle team,
						  const char *team_name,
						  const char *name)
{
	struct zr_sched_profile *profile;
	char key[KEY_MAX];
	size_t length =
		(size_t)snprintf(key, sizeof(key), "%s\n%s", team_name, name);

	HASH_FIND(hh, sched->profiles, key, length, profile);
	if (!profile)
		profile = create_profile(sched, team, key, length,
					 strlen(team_name) + 1);
	if (profile)
		profile->refs++;
	if (HASH_COUNT(sched->profiles) > PROFILES_MAX)
		evict_oldest(sched);
	return profile;
}

void zr_sched_profile_release(struct zr_sched *sched,
			      struct zr_sched_profile *profile)
{
	(void)sched;
	/* The profile is kept for the next job of that name until evicted. */
	if (profile)
		profile->refs--;
}

static uint32_t min_of(uint32_t a, uint32_t b)
{
	return a < b ? a : b;
}

bool zr_sched_profile_add_report(struct zr_sched_profile *profile,
				 const struct zr_resources *used,
				 const struct zr_resources *given, bool first)
{
	struct zr_resources *min_reported = &profile->min_reported;
	uint32_t memory_mb = usage_to_record(used->memory_mb, given->memory_mb);

	if (memory_mb > profile->peak_memory_mb)
		profile->peak_memory_mb = memory_mb;
	if (!profile->reported_tasks)
		*min_reported = *used;
	min_reported->millicpus =
		min_of(min_reported->millicpus, used->millicpus);
	min_reported->memory_mb =
		min_of(min_reported->memory_mb, used->memory_mb);
	profile->reported_tasks += first;
	return first && profile->reported_tasks == REPORTERS_MIN;
}

void zr_sched_profile_add_run(struct zr_sched_profile *profile,
			      const struct zr_resources *peak,
			      const struct zr_resources *given, int64_t run_ms)
{
	zr_value_histogram_add(&profile->run_ms_histogram,
			       run_ms > 0 ? (uint64_t)run_ms : 0, RUNS_MAX);
	if (peak->millicpus && peak->memory_mb)
		zr_value_histogram_add(
			&profile->millicpus_histogram,
			usage_to_record(peak->millicpus, given->millicpus),
			RUNS_MAX);
	if (profile->run_ms_histogram.total >= RUNS_MIN)
		profile->estimated_run_ms = (int64_t)zr_value_histogram_upper(
			&profile->run_ms_histogram, QUANTILE_PERMILLE);
	if (profile->millicpus_histogram.total >= RUNS_MIN)
		profile->estimated_millicpus = with_margin(
			zr_value_histogram_upper(&profile->millicpus_histogram,
						 QUANTILE_PERMILLE));
}

/* Estimates */

static uint32_t clamp_estimate(uint64_t estimated, uint32_t declared)
{
	uint64_t max = (uint64_t)declared * ESTIMATE_FACTOR_MAX;

	if (declared && estimated > max)
		estimated = max;
	return estimated < UINT32_MAX ? (uint32_t)estimated : UINT32_MAX;
}

struct zr_resources zr_sched_job_need(const struct zr_sched_job *job)
{
	const struct zr_sched_profile *profile = job->profile;
	const struct zr_resources *declared = &job->size;
	struct zr_resources need = *declared;
	uint32_t memory_mb = profile->peak_memory_mb;

	if (profile->estimated_millicpus) {
		need.millicpus = clamp_estimate(profile->estimated_millicpus,
						declared->millicpus);
		need.memory_mb = clamp_estimate(with_margin(memory_mb),
						declared->memory_mb);
	} else if (memory_mb > need.memory_mb) {
		need.memory_mb = clamp_estimate(memory_mb, declared->memory_mb);
	}
	/* All tasks of this profile that sent a report used at least this. */
	if (profile->min_reported.millicpus > need.millicpus)
		need.millicpus = profile->min_reported.millicpus;
	if (profile->min_reported.memory_mb > need.memory_mb)
		need.memory_mb = profile->min_reported.memory_mb;
	return need;
}

int64_t zr_sched_job_run_ms(const struct zr_sched_job *job)
{
	const struct zr_sched_profile *profile = job->profile;

	if (job->kind == ZR_JOB_SERVICE)
		return INT64_MAX;
	if (profile->estimated_run_ms)
		return profile->estimated_run_ms;
	return job->run_ms ? (int64_t)job->run_ms : INT64_MAX;
}

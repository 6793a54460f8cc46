#include "sched/internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/**
 * DOC: Learned sizes and run times
 *
 * Declared sizes and run times are far off. What runs of one team and job name
 * used is kept in logarithmic buckets; an upper quantile, with a margin, takes
 * the place of what was declared. Memory is never lent below the most that was
 * seen, since a task that needs more than it has cannot be slowed down.
 *
 * A task may use all that it is given, however much that is. So what is used of
 * the margin teaches that the size given is enough, not that more is needed.
 */

/* Runs that must have succeeded before what was learned is used. */
#define RUNS_MIN 5
/* Tasks that must have reported before the least of them holds for all. */
#define REPORTERS_MIN 8
/* The quantile that is used, in per cent. */
#define QUANTILE_PERCENT 95
/* Added to what was learned, in per cent. */
#define MARGIN_PERCENT 10
/* What was learned counts up to this multiple of what was declared. */
#define LEARNED_MAX 8
/* Counts are halved beyond this many runs, so that old runs fade. */
#define RUNS_MAX 1024
/* Profiles that are kept; beyond, the oldest one without a job goes. */
#define PROFILES_MAX 8192
/* Steps of a bucket within an octave. */
#define STEPS 4
/* Longest key: team and job name, with separators. */
#define KEY_MAX (2 * ZR_NAME_MAX)

static unsigned int bucket_of(uint64_t value)
{
	unsigned int octave;
	unsigned int bucket;

	if (value < STEPS)
		return (unsigned int)value;
	octave = 63 - (unsigned int)__builtin_clzll(value);
	bucket = (octave - 1) * STEPS +
		 (unsigned int)(value >> (octave - 2) & (STEPS - 1));
	return bucket < ZR_SCHED_QUANTILE_BUCKETS
		       ? bucket
		       : ZR_SCHED_QUANTILE_BUCKETS - 1;
}

/* The highest value of a bucket. */
static uint64_t bucket_top(unsigned int bucket)
{
	unsigned int octave = bucket / STEPS + 1;

	if (bucket < STEPS)
		return bucket;
	return ((uint64_t)(STEPS + bucket % STEPS + 1) << (octave - 2)) - 1;
}

static void count_value(struct zr_sched_quantile *quantile, uint64_t value)
{
	unsigned int i;

	if (quantile->total >= RUNS_MAX) {
		quantile->total = 0;
		for (i = 0; i < ZR_SCHED_QUANTILE_BUCKETS; i++) {
			quantile->counts[i] /= 2;
			quantile->total += quantile->counts[i];
		}
	}
	quantile->counts[bucket_of(value)]++;
	quantile->total++;
}

static uint64_t read_quantile(const struct zr_sched_quantile *quantile)
{
	uint64_t below = 0;
	unsigned int i;

	for (i = 0; i < ZR_SCHED_QUANTILE_BUCKETS; i++) {
		below += quantile->counts[i];
		if (below * 100 >= (uint64_t)quantile->total * QUANTILE_PERCENT)
			break;
	}
	return bucket_top(i);
}

static uint32_t with_margin(uint64_t value)
{
	value += value * MARGIN_PERCENT / 100;
	return value < UINT32_MAX ? (uint32_t)value : UINT32_MAX;
}

/* The least that comes to @value with the margin. */
static uint64_t without_margin(uint32_t value)
{
	uint64_t part = 100 + MARGIN_PERCENT;

	return ((uint64_t)value * 100 + part - 1) / part;
}

/* Use of the margin asks for no more; use beyond what was given does. */
static uint32_t taught(uint32_t used, uint32_t given)
{
	uint64_t enough = without_margin(given);

	return used > enough && used <= given ? (uint32_t)enough : used;
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

static struct zr_sched_profile *add_profile(struct zr_sched *sched,
					    zr_handle team, const char *key,
					    size_t length, size_t name_at)
{
	struct zr_sched_profile *profile;

	profile = calloc(1, sizeof(*profile) + length + 1);
	if (!profile)
		return NULL;
	memcpy(profile->key, key, length + 1);
	profile->name = profile->key + name_at;
	profile->team = team;
	HASH_ADD_KEYPTR(hh, sched->profiles, profile->key, length, profile);
	return profile;
}

struct zr_sched_profile *zr_sched_profile_take(struct zr_sched *sched,
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
		profile = add_profile(sched, team, key, length,
				      strlen(team_name) + 1);
	if (profile)
		profile->refs++;
	if (HASH_COUNT(sched->profiles) > PROFILES_MAX)
		evict_oldest(sched);
	return profile;
}

void zr_sched_profile_drop(struct zr_sched *sched,
			   struct zr_sched_profile *profile)
{
	(void)sched;
	/* It stays, for the next run of that name. */
	if (profile)
		profile->refs--;
}

static uint32_t lower(uint32_t a, uint32_t b)
{
	return a < b ? a : b;
}

bool zr_sched_profile_saw(struct zr_sched_profile *profile,
			  const struct zr_resources *used,
			  const struct zr_resources *given, bool first)
{
	struct zr_resources *least = &profile->least;
	uint32_t memory_mb = taught(used->memory_mb, given->memory_mb);

	if (memory_mb > profile->memory_mb)
		profile->memory_mb = memory_mb;
	if (!profile->reporters)
		*least = *used;
	least->millicpus = lower(least->millicpus, used->millicpus);
	least->memory_mb = lower(least->memory_mb, used->memory_mb);
	profile->reporters += first;
	return first && profile->reporters == REPORTERS_MIN;
}

void zr_sched_profile_learn(struct zr_sched_profile *profile,
			    const struct zr_resources *peak,
			    const struct zr_resources *given, int64_t run_ms)
{
	count_value(&profile->run_ms, run_ms > 0 ? (uint64_t)run_ms : 0);
	if (peak->millicpus && peak->memory_mb)
		count_value(&profile->millicpus,
			    taught(peak->millicpus, given->millicpus));
	if (profile->run_ms.total >= RUNS_MIN)
		profile->learned_run_ms =
			(int64_t)read_quantile(&profile->run_ms);
	if (profile->millicpus.total >= RUNS_MIN)
		profile->learned_millicpus =
			with_margin(read_quantile(&profile->millicpus));
}

/* Estimates */

static uint32_t bounded(uint64_t learned, uint32_t declared)
{
	uint64_t most = (uint64_t)declared * LEARNED_MAX;

	if (declared && learned > most)
		learned = most;
	return learned < UINT32_MAX ? (uint32_t)learned : UINT32_MAX;
}

struct zr_resources zr_sched_job_need(const struct zr_sched_job *job)
{
	const struct zr_sched_profile *profile = job->profile;
	const struct zr_resources *declared = &job->size;
	struct zr_resources need = *declared;
	uint32_t memory_mb = profile->memory_mb;

	if (profile->learned_millicpus) {
		need.millicpus = bounded(profile->learned_millicpus,
					 declared->millicpus);
		need.memory_mb =
			bounded(with_margin(memory_mb), declared->memory_mb);
	} else if (memory_mb > need.memory_mb) {
		need.memory_mb = bounded(memory_mb, declared->memory_mb);
	}
	/* No task of the name was heard to need less. */
	if (profile->least.millicpus > need.millicpus)
		need.millicpus = profile->least.millicpus;
	if (profile->least.memory_mb > need.memory_mb)
		need.memory_mb = profile->least.memory_mb;
	return need;
}

int64_t zr_sched_job_run_ms(const struct zr_sched_job *job)
{
	const struct zr_sched_profile *profile = job->profile;

	if (job->kind == ZR_JOB_SERVICE)
		return INT64_MAX;
	if (profile->learned_run_ms)
		return profile->learned_run_ms;
	return job->run_ms ? (int64_t)job->run_ms : INT64_MAX;
}

#include "sched/internal.h"

#include <stdlib.h>
#include <string.h>

/**
 * DOC: Queues
 *
 * Waiting jobs of one team, one kind and similar size form a class. A class
 * keeps them in lists, sorted by the latest start time that meets the deadline
 * and then by priority. Jobs without a deadline are therefore tried in order of
 * priority. Jobs with a deadline are in classes of their own, one for each
 * range of priorities, so that within a range the most pressing deadline goes
 * first.
 *
 * A scheduling pass tries only the first jobs of a class. If none of them can
 * be placed, the class is blocked until a worker has free, of each resource, at
 * least the lowest amount that any of them needs. So a long backlog is never
 * scanned.
 */

/* Latest start times are rounded down to a multiple of this. */
#define LATEST_START_STEP_MS 60000
/* Size of the priority ranges that separate the classes with deadlines. */
#define PRIORITY_BAND_WIDTH 10

/* Classes */

/* Returns the number of bits of @amount. */
static uint8_t bit_width(uint32_t amount)
{
	return (uint8_t)(amount ? 32 - __builtin_clz(amount) : 0);
}

static void make_key(struct zr_sched_class_key *key,
		     const struct zr_sched_job *job)
{
	struct zr_resources need = zr_sched_job_need(job);

	memset(key, 0, sizeof(*key));
	key->team = job->profile->team;
	key->accelerators = need.accelerators;
	if (job->deadline_ms)
		key->priority_band = (uint8_t)(1 + job->effective_priority /
							   PRIORITY_BAND_WIDTH);
	key->urgent = job->urgent;
	key->kind = job->kind;
	key->cpu_log2 = bit_width(need.millicpus);
	key->memory_log2 = bit_width(need.memory_mb);
}

bool zr_sched_class_matches(const struct zr_sched_job *job)
{
	struct zr_sched_class_key key;

	make_key(&key, job);
	return !memcmp(&key, &job->class->key, sizeof(key));
}

uint32_t zr_sched_job_effective_priority(const struct zr_sched *sched,
					 const struct zr_sched_job *job)
{
	const struct zr_config_queue *queue = NULL;

	if (sched->config)
		queue = zr_config_find_queue(sched->config, job->queue->text);
	return job->worth + (queue ? queue->worth : 0);
}

static int append_to_team(struct zr_sched_team *team,
			  struct zr_sched_class *class)
{
	if (team->class_count == team->class_alloc) {
		uint32_t alloc = team->class_alloc ? team->class_alloc * 2 : 4;
		struct zr_sched_class **classes = realloc(
			team->classes, alloc * sizeof(struct zr_sched_class *));

		if (!classes)
			return ZR_E_NOMEM;
		team->classes = classes;
		team->class_alloc = alloc;
	}
	class->position = team->class_count;
	team->classes[team->class_count++] = class;
	return 0;
}

static int get_or_add_class(struct zr_sched_class **out, struct zr_sched *sched,
			    const struct zr_sched_class_key *key)
{
	struct zr_sched_team *team = zr_sched_team_get(sched, key->team);
	struct zr_sched_class *class;

	HASH_FIND(hh, sched->classes, key, sizeof(*key), class);
	*out = class;
	if (class)
		return 0;
	class = calloc(1, sizeof(*class));
	if (!class || append_to_team(team, class) < 0) {
		free(class);
		return ZR_E_NOMEM;
	}
	class->key = *key;
	HASH_ADD(hh, sched->classes, key, sizeof(class->key), class);
	sched->stats.job_bytes += sizeof(*class);
	*out = class;
	return 0;
}

static void remove_class(struct zr_sched *sched, struct zr_sched_class *class)
{
	struct zr_sched_team *team = zr_sched_team_get(sched, class->key.team);
	struct zr_sched_class *last = team->classes[--team->class_count];

	team->classes[class->position] = last;
	last->position = class->position;
	team->best_stale = true;
	HASH_DELETE(hh, sched->classes, class);
	free(class->lists);
	free(class);
	sched->stats.job_bytes -= sizeof(*class);
}

/* Jobs */

/*
 * Returns the latest start time that meets the deadline, in milliseconds on the
 * monotonic clock, or INT64_MAX without a deadline.
 */
static int64_t latest_start_ms(const struct zr_sched *sched,
			       const struct zr_sched_job *job)
{
	const struct zr_clock *clock = sched->clock;
	int64_t run_ms = zr_sched_job_run_ms(job);
	int64_t remaining_ms;

	if (!job->deadline_ms)
		return INT64_MAX;
	remaining_ms =
		job->deadline_ms - zr_time_to_ms(clock->realtime(clock->ctx));
	if (run_ms != INT64_MAX)
		remaining_ms -= run_ms;
	return (sched->now + remaining_ms) / LATEST_START_STEP_MS *
	       LATEST_START_STEP_MS;
}

int zr_sched_queue_push(struct zr_sched *sched, zr_handle handle, bool requeue)
{
	struct zr_sched_job *job = zr_sched_job_get(sched, handle);
	struct zr_resources need = zr_sched_job_need(job);
	struct zr_sched_class_key key;
	struct zr_sched_class *class;
	uint32_t list = 0;
	int error;

	make_key(&key, job);
	error = get_or_add_class(&class, sched, &key);
	if (error < 0)
		return error;
	job->latest_start = latest_start_ms(sched, job);
	error = zr_sched_class_get_or_add_list(&list, class, job->latest_start,
					       job->effective_priority);
	if (error < 0)
		return error;
	zr_sched_job_list_insert(sched, &class->lists[list], handle, requeue);
	job->class = class;
	job->list = ZR_SCHED_LIST_QUEUE;
	if (job->wait == ZR_SCHED_WAIT_NONE)
		job->wait = ZR_SCHED_WAIT_QUEUED;
	class->job_count++;
	sched->stats.waiting++;
	/*
	 * The new job may fit although the jobs tried before did not: it may be
	 * ahead of them, be the only one, or need less of some resource.
	 */
	if (class->blocked && (requeue || class->job_count == 1 ||
			       !zr_resources_fit(&class->min_refused, &need)))
		class->blocked = ZR_SCHED_WAIT_NONE;
	zr_sched_team_get(sched, key.team)->best_stale = true;
	return 0;
}

void zr_sched_queue_remove(struct zr_sched *sched, zr_handle handle)
{
	struct zr_sched_job *job = zr_sched_job_get(sched, handle);
	struct zr_sched_class *class = job->class;
	uint32_t list = zr_sched_class_find_list(class, job->latest_start,
						 job->effective_priority);

	zr_sched_job_list_remove(sched, &class->lists[list], handle);
	job->class = NULL;
	job->list = ZR_SCHED_LIST_NONE;
	sched->stats.waiting--;
	zr_sched_team_get(sched, class->key.team)->best_stale = true;
	if (!class->lists[list].head)
		zr_sched_class_remove_list(class, list);
	if (!--class->job_count)
		remove_class(sched, class);
}

/* Blocking */

void zr_sched_class_block(struct zr_sched *sched, struct zr_sched_class *class,
			  enum zr_sched_wait wait,
			  const struct zr_resources *refused)
{
	class->blocked = wait;
	class->min_refused = *refused;
	zr_sched_team_get(sched, class->key.team)->best_stale = true;
}

void zr_sched_class_unblock(struct zr_sched *sched,
			    struct zr_sched_class *class)
{
	class->blocked = ZR_SCHED_WAIT_NONE;
	zr_sched_team_get(sched, class->key.team)->best_stale = true;
}

void zr_sched_classes_unblock(struct zr_sched *sched, zr_handle team,
			      enum zr_sched_wait wait)
{
	const struct zr_sched_team *entry = zr_sched_team_get(sched, team);
	struct zr_sched_class *class;
	struct zr_sched_class *next;
	uint32_t i;

	for (i = 0; entry && i < entry->class_count; i++) {
		if (entry->classes[i]->blocked == wait)
			zr_sched_class_unblock(sched, entry->classes[i]);
	}
	if (entry)
		return;
	HASH_ITER (hh, sched->classes, class, next) {
		if (class->blocked == wait)
			zr_sched_class_unblock(sched, class);
	}
}

void zr_sched_classes_unblock_urgent(struct zr_sched *sched)
{
	struct zr_sched_class *class;
	struct zr_sched_class *next;

	HASH_ITER (hh, sched->classes, class, next) {
		if (!class->key.urgent ||
		    class->blocked != ZR_SCHED_WAIT_NO_CAPACITY)
			continue;
		zr_sched_class_unblock(sched, class);
	}
}

#include "sched/internal.h"

#include <stdlib.h>
#include <string.h>

/**
 * DOC: Queues
 *
 * Waiting jobs of one team, kind and rough size form a class. A class has one
 * lane for each worth; jobs with a deadline are in classes by bands of worth,
 * in which the earliest latest start goes first. Only the head of a class is
 * tried. A class that was refused is left alone until a worker has room for
 * the least that was refused, so that a long backlog is never scanned.
 */

/* Width of a lane, in milliseconds. */
#define LANE_MS 60000
/* Worth of jobs with a deadline that counts as alike. */
#define WORTH_BAND 10

/* Classes */

static uint8_t octave_of(uint32_t amount)
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
		key->worth_band = (uint8_t)(1 + job->rank / WORTH_BAND);
	key->urgent = job->urgent;
	key->kind = job->kind;
	key->cpu_octave = octave_of(need.millicpus);
	key->memory_octave = octave_of(need.memory_mb);
}

bool zr_sched_class_matches(const struct zr_sched_job *job)
{
	struct zr_sched_class_key key;

	make_key(&key, job);
	return !memcmp(&key, &job->class->key, sizeof(key));
}

uint32_t zr_sched_job_rank(const struct zr_sched *sched,
			   const struct zr_sched_job *job)
{
	const struct zr_config_queue *queue = NULL;

	if (sched->config)
		queue = zr_config_queue(sched->config, job->queue->text);
	return job->worth + (queue ? queue->worth : 0);
}

static int list_class(struct zr_sched_team *team, struct zr_sched_class *class)
{
	if (team->class_count == team->class_room) {
		uint32_t room = team->class_room ? team->class_room * 2 : 4;
		struct zr_sched_class **classes = realloc(
			team->classes, room * sizeof(struct zr_sched_class *));

		if (!classes)
			return ZR_E_NOMEM;
		team->classes = classes;
		team->class_room = room;
	}
	class->position = team->class_count;
	team->classes[team->class_count++] = class;
	return 0;
}

static int obtain_class(struct zr_sched_class **out, struct zr_sched *sched,
			const struct zr_sched_class_key *key)
{
	struct zr_sched_team *team = zr_sched_team_row(sched, key->team);
	struct zr_sched_class *class;

	HASH_FIND(hh, sched->classes, key, sizeof(*key), class);
	*out = class;
	if (class)
		return 0;
	class = calloc(1, sizeof(*class));
	if (!class || list_class(team, class) < 0) {
		free(class);
		return ZR_E_NOMEM;
	}
	class->key = *key;
	HASH_ADD(hh, sched->classes, key, sizeof(class->key), class);
	sched->stats.job_bytes += sizeof(*class);
	*out = class;
	return 0;
}

static void drop_class(struct zr_sched *sched, struct zr_sched_class *class)
{
	struct zr_sched_team *team = zr_sched_team_row(sched, class->key.team);
	struct zr_sched_class *last = team->classes[--team->class_count];

	team->classes[class->position] = last;
	last->position = class->position;
	team->stale = true;
	HASH_DELETE(hh, sched->classes, class);
	free(class->lanes);
	free(class);
	sched->stats.job_bytes -= sizeof(*class);
}

/* Jobs */

/* The latest start that meets the deadline, on the monotonic clock. */
static int64_t latest_start(const struct zr_sched *sched,
			    const struct zr_sched_job *job)
{
	const struct zr_clock *clock = sched->clock;
	int64_t run = zr_sched_job_run_ms(job);
	int64_t left;

	if (!job->deadline_ms)
		return INT64_MAX;
	left = job->deadline_ms - zr_time_to_ms(clock->realtime(clock->ctx));
	if (run != INT64_MAX)
		left -= run;
	return (sched->now + left) / LANE_MS * LANE_MS;
}

int zr_sched_queue_push(struct zr_sched *sched, zr_handle handle, bool first)
{
	struct zr_sched_job *job = zr_sched_job_row(sched, handle);
	struct zr_resources need = zr_sched_job_need(job);
	struct zr_sched_class_key key;
	struct zr_sched_class *class;
	uint32_t lane = 0;
	int error;

	make_key(&key, job);
	error = obtain_class(&class, sched, &key);
	if (error < 0)
		return error;
	job->start_by = latest_start(sched, job);
	error = zr_sched_lane_obtain(&lane, class, job->start_by, job->rank);
	if (error < 0)
		return error;
	zr_sched_lane_append(sched, &class->lanes[lane], handle, first);
	job->class = class;
	job->place = ZR_SCHED_PLACE_QUEUE;
	if (job->wait == ZR_SCHED_WAIT_NONE)
		job->wait = ZR_SCHED_WAIT_QUEUED;
	class->jobs++;
	sched->stats.waiting++;
	/* A smaller or more pressing job than the refused ones may fit. */
	if (class->blocked && (first || class->jobs == 1 ||
			       !zr_resources_fit(&class->refused, &need)))
		class->blocked = ZR_SCHED_WAIT_NONE;
	zr_sched_team_row(sched, key.team)->stale = true;
	return 0;
}

void zr_sched_queue_remove(struct zr_sched *sched, zr_handle handle)
{
	struct zr_sched_job *job = zr_sched_job_row(sched, handle);
	struct zr_sched_class *class = job->class;
	uint32_t lane = zr_sched_lane_find(class, job->start_by, job->rank);

	zr_sched_lane_remove(sched, &class->lanes[lane], handle);
	job->class = NULL;
	job->place = ZR_SCHED_PLACE_NONE;
	sched->stats.waiting--;
	zr_sched_team_row(sched, class->key.team)->stale = true;
	if (!class->lanes[lane].head)
		zr_sched_lane_drop(class, lane);
	if (!--class->jobs)
		drop_class(sched, class);
}

/* Blocking */

void zr_sched_queue_block(struct zr_sched *sched, struct zr_sched_class *class,
			  enum zr_sched_wait wait,
			  const struct zr_resources *refused)
{
	class->blocked = wait;
	class->refused = *refused;
	zr_sched_team_row(sched, class->key.team)->stale = true;
}

void zr_sched_class_unblock(struct zr_sched *sched,
			    struct zr_sched_class *class)
{
	class->blocked = ZR_SCHED_WAIT_NONE;
	zr_sched_team_row(sched, class->key.team)->stale = true;
}

void zr_sched_queue_unblock(struct zr_sched *sched, zr_handle team,
			    enum zr_sched_wait wait)
{
	const struct zr_sched_team *row = zr_sched_team_row(sched, team);
	struct zr_sched_class *class;
	struct zr_sched_class *next;
	uint32_t i;

	for (i = 0; row && i < row->class_count; i++) {
		if (row->classes[i]->blocked == wait)
			zr_sched_class_unblock(sched, row->classes[i]);
	}
	if (row)
		return;
	HASH_ITER (hh, sched->classes, class, next) {
		if (class->blocked == wait)
			zr_sched_class_unblock(sched, class);
	}
}

void zr_sched_queue_unblock_urgent(struct zr_sched *sched)
{
	struct zr_sched_class *class;
	struct zr_sched_class *next;

	HASH_ITER (hh, sched->classes, class, next) {
		if (!class->key.urgent ||
		    class->blocked != ZR_SCHED_WAIT_NO_ROOM)
			continue;
		zr_sched_class_unblock(sched, class);
	}
}

#include "sched/core.h"

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
/* Longest time for which the order of classes holds, in milliseconds. */
#define ORDER_MS 250

/* Lanes: lists of jobs linked by handles */

void zr_sched_lane_append(struct zr_sched *sched, struct zr_sched_lane *lane,
			  zr_handle handle, bool first)
{
	struct zr_sched_job *job = zr_sched_job_row(sched, handle);

	job->previous = first ? ZR_HANDLE_NONE : lane->tail;
	job->next = first ? lane->head : ZR_HANDLE_NONE;
	if (job->previous)
		zr_sched_job_row(sched, job->previous)->next = handle;
	else
		lane->head = handle;
	if (job->next)
		zr_sched_job_row(sched, job->next)->previous = handle;
	else
		lane->tail = handle;
}

void zr_sched_lane_remove(struct zr_sched *sched, struct zr_sched_lane *lane,
			  zr_handle handle)
{
	const struct zr_sched_job *job = zr_sched_job_row(sched, handle);

	if (job->previous)
		zr_sched_job_row(sched, job->previous)->next = job->next;
	else
		lane->head = job->next;
	if (job->next)
		zr_sched_job_row(sched, job->next)->previous = job->previous;
	else
		lane->tail = job->previous;
}

/* Earliest latest start first, then most worth. */
static bool lane_before(const struct zr_sched_lane *lane, int64_t start_by,
			uint32_t rank)
{
	if (lane->start_by != start_by)
		return lane->start_by < start_by;
	return lane->rank > rank;
}

static uint32_t find_lane(const struct zr_sched_class *class, int64_t start_by,
			  uint32_t rank)
{
	uint32_t low = 0;
	uint32_t high = class->lane_count;

	while (low < high) {
		uint32_t middle = (low + high) / 2;

		if (lane_before(&class->lanes[middle], start_by, rank))
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static int obtain_lane(uint32_t *out, struct zr_sched_class *class,
		       int64_t start_by, uint32_t rank)
{
	uint32_t at = find_lane(class, start_by, rank);
	struct zr_sched_lane *lanes = class->lanes;

	*out = at;
	if (at < class->lane_count && lanes[at].start_by == start_by &&
	    lanes[at].rank == rank)
		return 0;
	if (class->lane_count == class->lane_room) {
		uint32_t room = class->lane_room ? class->lane_room * 2 : 1;

		lanes = realloc(lanes, room * sizeof(*lanes));
		if (!lanes)
			return ZR_E_NOMEM;
		class->lanes = lanes;
		class->lane_room = room;
	}
	memmove(&lanes[at + 1], &lanes[at],
		(class->lane_count - at) * sizeof(*lanes));
	memset(&lanes[at], 0, sizeof(lanes[at]));
	lanes[at].start_by = start_by;
	lanes[at].rank = rank;
	class->lane_count++;
	return 0;
}

static void drop_lane(struct zr_sched_class *class, uint32_t at)
{
	class->lane_count--;
	memmove(&class->lanes[at], &class->lanes[at + 1],
		(class->lane_count - at) * sizeof(*class->lanes));
}

/* Classes */

static uint8_t octave_of(uint32_t amount)
{
	return (uint8_t)(amount ? 32 - __builtin_clz(amount) : 0);
}

static void make_key(struct zr_sched_class_key *key,
		     const struct zr_sched_job *job)
{
	struct zr_resources need = zr_sched_job_need(job);

	/* Padding is hashed too. */
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

	job->rank = zr_sched_job_rank(sched, job);
	make_key(&key, job);
	error = obtain_class(&class, sched, &key);
	if (error < 0)
		return error;
	job->start_by = latest_start(sched, job);
	error = obtain_lane(&lane, class, job->start_by, job->rank);
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
	uint32_t lane = find_lane(class, job->start_by, job->rank);

	zr_sched_lane_remove(sched, &class->lanes[lane], handle);
	job->class = NULL;
	job->place = ZR_SCHED_PLACE_NONE;
	sched->stats.waiting--;
	zr_sched_team_row(sched, class->key.team)->stale = true;
	if (!class->lanes[lane].head)
		drop_lane(class, lane);
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

static void unblock(struct zr_sched *sched, struct zr_sched_class *class)
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
			unblock(sched, row->classes[i]);
	}
	if (row)
		return;
	HASH_ITER (hh, sched->classes, class, next) {
		if (class->blocked == wait)
			unblock(sched, class);
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
		unblock(sched, class);
	}
}

/* Order */

static struct zr_sched_candidate make_candidate(const struct zr_sched *sched,
						struct zr_sched_class *class)
{
	const struct zr_sched_team *team =
		zr_sched_team_row(sched, class->key.team);
	const struct zr_sched_lane *lane = &class->lanes[0];
	const struct zr_sched_job *job = zr_sched_job_row(sched, lane->head);
	struct zr_sched_candidate candidate = {
		.class = class,
		.urgent = class->key.urgent,
		.rank = lane->rank,
		.start_by = lane->start_by,
		.slack_ms = INT64_MAX,
		.weighted = team->dominant / team->share,
		.arrival = job->arrival,
	};

	if (lane->start_by != INT64_MAX)
		candidate.slack_ms = lane->start_by - sched->now;
	candidate.under_share = team->dominant * sched->total_share <
				(uint64_t)team->share * 1000000000u;
	return candidate;
}

static bool goes_first(const struct zr_sched *sched,
		       struct zr_sched_class *class,
		       const struct zr_sched_candidate *best,
		       struct zr_sched_candidate *candidate)
{
	const struct zr_sched_policy *policy = &sched->policy;

	*candidate = make_candidate(sched, class);
	return !best->class ||
	       policy->compare(policy->ctx, candidate, best) < 0;
}

static void order_team(const struct zr_sched *sched, struct zr_sched_team *team)
{
	struct zr_sched_candidate best = {0};
	struct zr_sched_candidate candidate;
	uint32_t i;

	for (i = 0; i < team->class_count; i++) {
		struct zr_sched_class *class = team->classes[i];

		if (!class->blocked &&
		    goes_first(sched, class, &best, &candidate))
			best = candidate;
	}
	team->best = best.class;
	team->stale = false;
}

static void order_all_again(struct zr_sched *sched)
{
	zr_handle team = ZR_HANDLE_NONE;

	sched->ordered_at = sched->now;
	while ((team = zr_table_next(sched->teams, team)))
		zr_sched_team_row(sched, team)->stale = true;
}

/* The best of the classes that are not blocked. */
static void take_best(struct zr_sched *sched, struct zr_sched_candidate *best)
{
	struct zr_sched_candidate candidate;
	zr_handle handle = ZR_HANDLE_NONE;

	if (sched->now - sched->ordered_at >= ORDER_MS)
		order_all_again(sched);
	while ((handle = zr_table_next(sched->teams, handle))) {
		struct zr_sched_team *team = zr_sched_team_row(sched, handle);

		if (team->stale)
			order_team(sched, team);
		if (team->best &&
		    goes_first(sched, team->best, best, &candidate))
			*best = candidate;
	}
}

/* Workers with freed room. One has room for few tasks, so that of the classes
 * that wait for room only the best that fits is tried, then the next. */

void zr_sched_queue_freed(struct zr_sched *sched, zr_handle handle)
{
	struct zr_sched_host *host = zr_sched_host_row(sched, handle);

	if (host->freed || host->state != ZR_SCHED_WORKER_UP || host->suspect)
		return;
	host->freed = true;
	host->next_freed = ZR_HANDLE_NONE;
	if (sched->freed_tail)
		zr_sched_host_row(sched, sched->freed_tail)->next_freed =
			handle;
	else
		sched->freed_head = handle;
	sched->freed_tail = handle;
	if (sched->freed_head == handle)
		sched->round++;
}

static void pop_freed(struct zr_sched *sched)
{
	struct zr_sched_host *host =
		zr_sched_host_row(sched, sched->freed_head);

	host->freed = false;
	sched->freed_head = host->next_freed;
	if (!sched->freed_head)
		sched->freed_tail = ZR_HANDLE_NONE;
	sched->round++;
}

void zr_sched_freed_drop(struct zr_sched *sched, zr_handle worker)
{
	zr_handle previous = ZR_HANDLE_NONE;
	zr_handle handle = sched->freed_head;
	const struct zr_sched_host *host = zr_sched_host_row(sched, worker);

	if (!host->freed)
		return;
	while (handle != worker) {
		previous = handle;
		handle = zr_sched_host_row(sched, handle)->next_freed;
	}
	if (!previous) {
		pop_freed(sched);
		return;
	}
	zr_sched_host_row(sched, previous)->next_freed = host->next_freed;
	if (sched->freed_tail == worker)
		sched->freed_tail = previous;
}

static bool may_use(const struct zr_sched *sched,
		    const struct zr_sched_class *class,
		    const struct zr_resources *room)
{
	return class->blocked == ZR_SCHED_WAIT_NO_ROOM &&
	       class->round != sched->round &&
	       zr_resources_fit(&class->refused, room);
}

/* The best of the classes that wait for room and may fit the first worker. */
static bool take_best_freed(struct zr_sched *sched,
			    struct zr_sched_candidate *best)
{
	const struct zr_sched_host *host =
		zr_sched_host_row(sched, sched->freed_head);
	struct zr_resources room = zr_sched_host_free(host);
	struct zr_sched_candidate candidate;
	struct zr_sched_class *class;
	struct zr_sched_class *next;

	if (host->state != ZR_SCHED_WORKER_UP || host->suspect)
		return false;
	HASH_ITER (hh, sched->classes, class, next) {
		if (may_use(sched, class, &room) &&
		    goes_first(sched, class, best, &candidate))
			*best = candidate;
	}
	return best->class != NULL;
}

struct zr_sched_class *zr_sched_queue_best(struct zr_sched *sched)
{
	struct zr_sched_candidate best = {0};

	while (sched->freed_head && !take_best_freed(sched, &best))
		pop_freed(sched);
	take_best(sched, &best);
	if (best.class && best.class->blocked) {
		best.class->round = sched->round;
		unblock(sched, best.class);
	}
	return best.class;
}

/* A queue's worth has changed: its jobs take their place anew. */
static void queue_again(struct zr_sched *sched, zr_handle handle)
{
	const struct zr_sched_job *job = zr_sched_job_row(sched, handle);

	if (job->place != ZR_SCHED_PLACE_QUEUE ||
	    job->rank == zr_sched_job_rank(sched, job))
		return;
	zr_sched_queue_remove(sched, handle);
	zr_sched_job_route(sched, handle, false);
}

void zr_sched_queues_configure(struct zr_sched *sched)
{
	struct zr_sched_class *class;
	struct zr_sched_class *next;
	zr_handle job = ZR_HANDLE_NONE;

	while ((job = zr_table_next(sched->jobs, job)))
		queue_again(sched, job);
	HASH_ITER (hh, sched->classes, class, next)
		class->blocked = ZR_SCHED_WAIT_NONE;
	order_all_again(sched);
}

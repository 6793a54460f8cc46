#include "sched/internal.h"

#include <stdlib.h>
#include <string.h>

/**
 * DOC: Preemption
 *
 * Urgent work that finds no room takes the place of work of less worth: least
 * worth first, the youngest first among equals. Victims checkpoint, then stop;
 * their room is claimed, so that nothing else takes it. A task is preempted a
 * few times at most, and a team loses a part of its tasks in a minute at most.
 */

/* Times that one task may be preempted. */
#define VICTIM_BUDGET 3
/* Part of a team's running tasks that may be preempted, one in so many... */
#define TEAM_BUDGET_PART 4
/* ...but at least this many... */
#define TEAM_BUDGET_LEAST 4
/* ...in so many milliseconds. */
#define TEAM_BUDGET_MS 60000
/* Workers looked at in one search for victims. */
#define SEARCH_MAX 128
/* Workers that could be cleared which are compared in one search. */
#define CHOICE_MAX 4
/* Victims on one worker for one task. */
#define VICTIMS_MAX 16
/* Room may be claimed so long, in milliseconds. */
#define CLAIM_MS 10000
/* Claims at a time. */
#define CLAIMS_MAX 1024

struct choice {
	zr_handle worker;
	zr_handle victims[VICTIMS_MAX];
	unsigned int count;
	uint64_t cost;
};

/* Victims */

static bool team_has_budget(struct zr_sched *sched, struct zr_sched_team *team)
{
	uint32_t budget = team->running / TEAM_BUDGET_PART;

	if (sched->now - team->preempted_from >= TEAM_BUDGET_MS) {
		team->preempted_from = sched->now;
		team->preempted = 0;
	}
	if (budget < TEAM_BUDGET_LEAST)
		budget = TEAM_BUDGET_LEAST;
	return team->preempted < budget;
}

static bool may_be_victim(struct zr_sched *sched,
			  const struct zr_sched_placement *placement,
			  uint32_t rank)
{
	const struct zr_sched_job *job =
		zr_sched_job_row(sched, placement->job);
	const struct zr_sched_slot *slot = &job->slots[placement->index];

	return slot->state == ZR_SCHED_TASK_RUNNING && !job->urgent &&
	       !job->at_most_once && job->kind != ZR_JOB_GANG &&
	       slot->preempted < VICTIM_BUDGET && job->rank < rank &&
	       team_has_budget(sched,
			       zr_sched_team_row(sched, job->profile->team));
}

/* Worth weighs most, then the work that is thrown away. */
static uint64_t cost_of(const struct zr_sched *sched,
			const struct zr_sched_placement *placement)
{
	uint64_t rank = zr_sched_job_row(sched, placement->job)->rank;
	int64_t ran = sched->now - placement->started_ms;

	return rank << 32 | (ran < UINT32_MAX ? (uint64_t)ran : UINT32_MAX);
}

static bool chosen(const struct choice *choice, zr_handle handle)
{
	unsigned int i;

	for (i = 0; i < choice->count; i++) {
		if (choice->victims[i] == handle)
			return true;
	}
	return false;
}

static zr_handle cheapest_victim(struct zr_sched *sched,
				 const struct zr_sched_host *host,
				 const struct choice *choice, uint32_t rank)
{
	zr_handle handle = host->first;
	zr_handle best = ZR_HANDLE_NONE;
	uint64_t best_cost = UINT64_MAX;

	for (; handle; handle = zr_sched_placement_row(sched, handle)->next) {
		const struct zr_sched_placement *placement =
			zr_sched_placement_row(sched, handle);

		if (!may_be_victim(sched, placement, rank) ||
		    cost_of(sched, placement) >= best_cost ||
		    chosen(choice, handle))
			continue;
		best = handle;
		best_cost = cost_of(sched, placement);
	}
	return best;
}

static bool choose_on(struct choice *choice, struct zr_sched *sched,
		      zr_handle worker, const struct zr_resources *need,
		      uint32_t rank)
{
	const struct zr_sched_host *host = zr_sched_host_row(sched, worker);
	struct zr_resources room = zr_sched_host_free(host);

	memset(choice, 0, sizeof(*choice));
	choice->worker = worker;
	while (!zr_resources_fit(need, &room)) {
		const struct zr_sched_placement *placement;
		zr_handle victim = cheapest_victim(sched, host, choice, rank);

		if (!victim || choice->count == VICTIMS_MAX)
			return false;
		placement = zr_sched_placement_row(sched, victim);
		choice->victims[choice->count++] = victim;
		choice->cost += cost_of(sched, placement);
		zr_resources_add(&room, &placement->reserved);
	}
	return true;
}

static bool may_clear(const struct zr_sched_host *host,
		      const struct zr_sched_job *job, zr_handle worker,
		      const struct zr_resources *need)
{
	return host->state == ZR_SCHED_WORKER_UP && !host->suspect &&
	       zr_resources_fit(need, &host->capacity) &&
	       zr_resources_fit(&host->reserved, &host->capacity) &&
	       !zr_sched_blame_avoids(job, worker);
}

static zr_handle next_worker(struct zr_sched *sched)
{
	sched->preempt_cursor =
		zr_table_next(sched->workers, sched->preempt_cursor);
	if (!sched->preempt_cursor)
		sched->preempt_cursor =
			zr_table_next(sched->workers, ZR_HANDLE_NONE);
	return sched->preempt_cursor;
}

static bool choose(struct choice *best, struct zr_sched *sched,
		   const struct zr_sched_job *job,
		   const struct zr_resources *need)
{
	uint32_t rank = job->rank;
	unsigned int found = 0;
	struct choice choice = {0};
	unsigned int i;

	best->worker = ZR_HANDLE_NONE;
	for (i = 0; i < SEARCH_MAX && found < CHOICE_MAX; i++) {
		zr_handle worker = next_worker(sched);
		const struct zr_sched_host *host =
			zr_sched_host_row(sched, worker);

		sched->stats.workers_examined++;
		if (!host || !may_clear(host, job, worker, need) ||
		    !choose_on(&choice, sched, worker, need, rank))
			continue;
		found++;
		if (!best->worker || choice.cost < best->cost)
			*best = choice;
	}
	return found > 0;
}

static void stop_victim(struct zr_sched *sched, zr_handle victim)
{
	const struct zr_sched_placement *placement =
		zr_sched_placement_row(sched, victim);
	struct zr_sched_job *job = zr_sched_job_row(sched, placement->job);

	job->slots[placement->index].preempted++;
	zr_sched_team_row(sched, job->profile->team)->preempted++;
	sched->stats.preemptions++;
	zr_sched_stop(sched, victim, ZR_SCHED_STOP_PREEMPTED);
}

/* Claims */

bool zr_sched_claim_add(struct zr_sched *sched, zr_handle handle,
			zr_handle worker, const struct zr_resources *need,
			const char *reason)
{
	struct zr_sched_claim *claim;

	if (sched->claim_count == CLAIMS_MAX)
		return false;
	if (!sched->claims)
		sched->claims = calloc(CLAIMS_MAX, sizeof(*sched->claims));
	if (!sched->claims)
		return false;
	claim = &sched->claims[sched->claim_count++];
	claim->job = handle;
	claim->worker = worker;
	claim->size = *need;
	claim->reason = reason;
	claim->until = sched->now + CLAIM_MS;
	zr_sched_job_row(sched, handle)->claims++;
	zr_sched_host_hold(sched, worker, need);
	return true;
}

static void drop_claim(struct zr_sched *sched, uint32_t at)
{
	const struct zr_sched_claim claim = sched->claims[at];

	sched->claims[at] = sched->claims[--sched->claim_count];
	zr_sched_job_row(sched, claim.job)->claims--;
	zr_sched_host_unhold(sched, claim.worker, &claim.size);
	zr_sched_queue_freed(sched, claim.worker);
}

bool zr_sched_preempt(struct zr_sched *sched, zr_handle handle,
		      const struct zr_resources *need)
{
	const struct zr_sched_job *job = zr_sched_job_row(sched, handle);
	struct choice choice = {0};
	unsigned int i;

	if (!choose(&choice, sched, job, need) ||
	    !zr_sched_claim_add(sched, handle, choice.worker, need,
				"room of preempted tasks"))
		return false;
	for (i = 0; i < choice.count; i++)
		stop_victim(sched, choice.victims[i]);
	return true;
}

void zr_sched_claims_drop(struct zr_sched *sched, zr_handle job,
			  zr_handle worker)
{
	uint32_t i = 0;

	while (i < sched->claim_count) {
		zr_handle owner = sched->claims[i].job;

		if (owner != job && sched->claims[i].worker != worker) {
			i++;
			continue;
		}
		drop_claim(sched, i);
		zr_sched_job_route(sched, owner, true);
	}
}

/* What the task needs may have been learned anew since the claim. */
static bool is_ready(const struct zr_sched *sched,
		     const struct zr_sched_claim *claim)
{
	const struct zr_sched_host *host =
		zr_sched_host_row(sched, claim->worker);
	const struct zr_sched_job *job = zr_sched_job_row(sched, claim->job);
	struct zr_resources need = zr_sched_job_need(job);
	struct zr_resources used = host->reserved;

	zr_resources_add(&used, &need);
	return zr_resources_fit(&used, &host->capacity) &&
	       zr_sched_team_allows(
		       zr_sched_team_row(sched, job->profile->team), &need, 1);
}

/* All victims have ended and other tasks have grown into their room. */
static bool in_vain(const struct zr_sched *sched,
		    const struct zr_sched_claim *claim)
{
	return !zr_sched_host_row(sched, claim->worker)->stops;
}

static bool start_claim(struct zr_sched *sched, uint32_t at)
{
	const struct zr_sched_claim claim = sched->claims[at];
	zr_handle placement;

	drop_claim(sched, at);
	if (zr_sched_task_start(&placement, sched, claim.job, claim.worker,
				claim.reason) < 0)
		return false;
	zr_sched_job_route(sched, claim.job, true);
	return true;
}

unsigned int zr_sched_claims_due(struct zr_sched *sched, unsigned int most)
{
	unsigned int starts = 0;
	uint32_t i = 0;

	while (i < sched->claim_count && starts < most) {
		const struct zr_sched_claim claim = sched->claims[i];

		if (is_ready(sched, &claim)) {
			starts += start_claim(sched, i);
		} else if (claim.until <= sched->now ||
			   in_vain(sched, &claim)) {
			drop_claim(sched, i);
			zr_sched_job_route(sched, claim.job, true);
		} else {
			i++;
		}
	}
	return starts;
}

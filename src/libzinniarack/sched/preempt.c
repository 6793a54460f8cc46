#include "sched/internal.h"

#include <stdlib.h>
#include <string.h>

/**
 * DOC: Preemption
 *
 * An urgent task that fits on no worker preempts running tasks of lower
 * priority. Victims are taken in order of priority, lowest first, then of run
 * time, shortest first. They checkpoint and stop; a claim holds the resources
 * that they free, so that no other task takes them. Budgets limit how often one
 * task is preempted and how many tasks a team loses within a minute.
 */

/* Maximum number of times that one task is preempted. */
#define TASK_PREEMPTIONS_MAX 3
/* A team may lose 1/TEAM_BUDGET_DIVISOR of its running tasks per window. */
#define TEAM_BUDGET_DIVISOR 4
/* Lower bound of that budget, in tasks. */
#define TEAM_BUDGET_MIN 4
/* Length of the budget window, in milliseconds. */
#define TEAM_BUDGET_WINDOW_MS 60000
/* Maximum number of workers examined in one search for victims. */
#define WORKERS_EXAMINED_MAX 128
/* Maximum number of workers with enough victims that a search compares. */
#define CANDIDATES_MAX 4
/* Maximum number of victims on one worker for one task. */
#define VICTIMS_MAX 16
/* Time until a claim expires, in milliseconds. */
#define CLAIM_TIMEOUT_MS 10000
/* Maximum number of claims at a time. */
#define CLAIMS_MAX 1024

/* A worker and the tasks to preempt on it. */
struct candidate {
	zr_handle worker;
	zr_handle victims[VICTIMS_MAX];
	unsigned int victim_count;
	uint64_t cost; /* sum of preemption_cost() of the victims */
};

/* Victims */

static bool team_has_budget(struct zr_sched *sched, struct zr_sched_team *team)
{
	uint32_t budget = team->running / TEAM_BUDGET_DIVISOR;

	if (sched->now - team->preempt_window_started_at >=
	    TEAM_BUDGET_WINDOW_MS) {
		team->preempt_window_started_at = sched->now;
		team->preempt_count = 0;
	}
	if (budget < TEAM_BUDGET_MIN)
		budget = TEAM_BUDGET_MIN;
	return team->preempt_count < budget;
}

static bool can_preempt(struct zr_sched *sched,
			const struct zr_sched_placement *placement,
			uint32_t priority)
{
	const struct zr_sched_job *job =
		zr_sched_job_get(sched, placement->job);
	const struct zr_sched_task_entry *task_entry =
		&job->task_entries[placement->index];

	return task_entry->state == ZR_SCHED_TASK_RUNNING && !job->urgent &&
	       !job->at_most_once && job->kind != ZR_JOB_GANG &&
	       task_entry->preempt_count < TASK_PREEMPTIONS_MAX &&
	       job->effective_priority < priority &&
	       team_has_budget(sched,
			       zr_sched_team_get(sched, job->profile->team));
}

/*
 * The high 32 bits hold the priority, the low 32 bits the run time so far in
 * milliseconds.
 */
static uint64_t preemption_cost(const struct zr_sched *sched,
				const struct zr_sched_placement *placement)
{
	uint64_t priority =
		zr_sched_job_get(sched, placement->job)->effective_priority;
	int64_t ran_ms = sched->now - placement->started_at;

	return priority << 32 |
	       (ran_ms < UINT32_MAX ? (uint64_t)ran_ms : UINT32_MAX);
}

static bool is_selected(const struct candidate *candidate, zr_handle handle)
{
	unsigned int i;

	for (i = 0; i < candidate->victim_count; i++) {
		if (candidate->victims[i] == handle)
			return true;
	}
	return false;
}

static zr_handle find_cheapest_victim(struct zr_sched *sched,
				      const struct zr_sched_worker_entry *entry,
				      const struct candidate *candidate,
				      uint32_t priority)
{
	zr_handle handle = entry->first_placement;
	zr_handle best = ZR_HANDLE_NONE;
	uint64_t best_cost = UINT64_MAX;

	for (; handle; handle = zr_sched_placement_get(sched, handle)->next) {
		const struct zr_sched_placement *placement =
			zr_sched_placement_get(sched, handle);

		if (!can_preempt(sched, placement, priority) ||
		    preemption_cost(sched, placement) >= best_cost ||
		    is_selected(candidate, handle))
			continue;
		best = handle;
		best_cost = preemption_cost(sched, placement);
	}
	return best;
}

/* Returns false if preemption cannot free enough on the worker. */
static bool select_victims(struct candidate *candidate, struct zr_sched *sched,
			   zr_handle worker, const struct zr_resources *need,
			   uint32_t priority)
{
	const struct zr_sched_worker_entry *entry =
		zr_sched_worker_entry_get(sched, worker);
	struct zr_resources available =
		zr_sched_worker_entry_free_resources(entry);

	memset(candidate, 0, sizeof(*candidate));
	candidate->worker = worker;
	while (!zr_resources_fit(need, &available)) {
		const struct zr_sched_placement *placement;
		zr_handle victim =
			find_cheapest_victim(sched, entry, candidate, priority);

		if (!victim || candidate->victim_count == VICTIMS_MAX)
			return false;
		placement = zr_sched_placement_get(sched, victim);
		candidate->victims[candidate->victim_count++] = victim;
		candidate->cost += preemption_cost(sched, placement);
		zr_resources_add(&available, &placement->reserved);
	}
	return true;
}

/*
 * Whether stopping tasks on a worker could let a task of the job start there.
 */
static bool may_free_enough(const struct zr_sched_worker_entry *entry,
			    const struct zr_sched_job *job, zr_handle worker,
			    const struct zr_resources *need)
{
	return entry->state == ZR_SCHED_WORKER_UP && !entry->suspect &&
	       zr_resources_fit(need, &entry->capacity) &&
	       zr_resources_fit(&entry->reserved, &entry->capacity) &&
	       !zr_sched_job_avoids_worker(job, worker);
}

/* Continues after the last search, so that all workers get their turn. */
static zr_handle next_worker(struct zr_sched *sched)
{
	sched->preempt_cursor =
		zr_table_next(sched->workers, sched->preempt_cursor);
	if (!sched->preempt_cursor)
		sched->preempt_cursor =
			zr_table_next(sched->workers, ZR_HANDLE_NONE);
	return sched->preempt_cursor;
}

/* Finds the worker with the lowest cost among the first few candidates. */
static bool find_candidate(struct candidate *best, struct zr_sched *sched,
			   const struct zr_sched_job *job,
			   const struct zr_resources *need)
{
	uint32_t priority = job->effective_priority;
	unsigned int candidate_count = 0;
	struct candidate candidate = {0};
	unsigned int i;

	best->worker = ZR_HANDLE_NONE;
	for (i = 0;
	     i < WORKERS_EXAMINED_MAX && candidate_count < CANDIDATES_MAX;
	     i++) {
		zr_handle worker = next_worker(sched);
		const struct zr_sched_worker_entry *entry =
			zr_sched_worker_entry_get(sched, worker);

		sched->stats.workers_examined++;
		if (!entry || !may_free_enough(entry, job, worker, need) ||
		    !select_victims(&candidate, sched, worker, need, priority))
			continue;
		candidate_count++;
		if (!best->worker || candidate.cost < best->cost)
			*best = candidate;
	}
	return candidate_count > 0;
}

static void preempt_task(struct zr_sched *sched, zr_handle victim)
{
	const struct zr_sched_placement *placement =
		zr_sched_placement_get(sched, victim);
	struct zr_sched_job *job = zr_sched_job_get(sched, placement->job);

	job->task_entries[placement->index].preempt_count++;
	zr_sched_team_get(sched, job->profile->team)->preempt_count++;
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
	claim->expires_at = sched->now + CLAIM_TIMEOUT_MS;
	zr_sched_job_get(sched, handle)->claim_count++;
	zr_sched_worker_entry_hold(sched, worker, need);
	return true;
}

static void remove_claim(struct zr_sched *sched, uint32_t index)
{
	const struct zr_sched_claim claim = sched->claims[index];

	sched->claims[index] = sched->claims[--sched->claim_count];
	zr_sched_job_get(sched, claim.job)->claim_count--;
	zr_sched_worker_entry_unhold(sched, claim.worker, &claim.size);
	zr_sched_freed_add(sched, claim.worker);
}

bool zr_sched_preempt(struct zr_sched *sched, zr_handle handle,
		      const struct zr_resources *need)
{
	const struct zr_sched_job *job = zr_sched_job_get(sched, handle);
	struct candidate candidate = {0};
	unsigned int i;

	if (!find_candidate(&candidate, sched, job, need) ||
	    !zr_sched_claim_add(sched, handle, candidate.worker, need,
				"resources freed by preemption"))
		return false;
	for (i = 0; i < candidate.victim_count; i++)
		preempt_task(sched, candidate.victims[i]);
	return true;
}

void zr_sched_claims_remove(struct zr_sched *sched, zr_handle job,
			    zr_handle worker)
{
	uint32_t i = 0;

	while (i < sched->claim_count) {
		zr_handle owner = sched->claims[i].job;

		if (owner != job && sched->claims[i].worker != worker) {
			i++;
			continue;
		}
		remove_claim(sched, i);
		zr_sched_job_update_list(sched, owner, true);
	}
}

/* Checks the current estimate, which may differ from the claimed size. */
static bool can_start(const struct zr_sched *sched,
		      const struct zr_sched_claim *claim)
{
	const struct zr_sched_worker_entry *entry =
		zr_sched_worker_entry_get(sched, claim->worker);
	const struct zr_sched_job *job = zr_sched_job_get(sched, claim->job);
	struct zr_resources need = zr_sched_job_need(job);
	struct zr_resources used = entry->reserved;

	zr_resources_add(&used, &need);
	return zr_resources_fit(&used, &entry->capacity) &&
	       zr_sched_team_has_quota(
		       zr_sched_team_get(sched, job->profile->team), &need, 1);
}

/*
 * Without pending stops on the worker, all victims have ended. If the task
 * still does not fit, the remaining tasks have grown into the freed resources,
 * so that waiting longer cannot help.
 */
static bool has_no_pending_stops(const struct zr_sched *sched,
				 const struct zr_sched_claim *claim)
{
	return !zr_sched_worker_entry_get(sched, claim->worker)
			->unfinished_stops;
}

static bool start_claim(struct zr_sched *sched, uint32_t index)
{
	const struct zr_sched_claim claim = sched->claims[index];
	zr_handle placement;

	remove_claim(sched, index);
	if (zr_sched_task_start(&placement, sched, claim.job, claim.worker,
				claim.reason) < 0)
		return false;
	zr_sched_job_update_list(sched, claim.job, true);
	return true;
}

unsigned int zr_sched_claims_process(struct zr_sched *sched,
				     unsigned int max_starts)
{
	unsigned int starts = 0;
	uint32_t i = 0;

	while (i < sched->claim_count && starts < max_starts) {
		const struct zr_sched_claim claim = sched->claims[i];

		if (can_start(sched, &claim)) {
			starts += start_claim(sched, i);
		} else if (claim.expires_at <= sched->now ||
			   has_no_pending_stops(sched, &claim)) {
			remove_claim(sched, i);
			zr_sched_job_update_list(sched, claim.job, true);
		} else {
			i++;
		}
	}
	return starts;
}

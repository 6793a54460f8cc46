#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cell/plan.h"

/*
 * Time for a start request to reach the worker, where its ticket must still be
 * valid.
 */
#define TICKET_MARGIN_MS 120

/* How many times @need fits into @have; UINT32_MAX if @need is 0. */
static uint32_t fit_count(uint32_t have, uint32_t need)
{
	return need ? have / need : UINT32_MAX;
}

uint32_t zr_cell_fit_count(const struct zr_resources *have,
			   const struct zr_resources *need)
{
	uint32_t slots = fit_count(have->millicpus, need->millicpus);
	uint32_t memory = fit_count(have->memory_mb, need->memory_mb);
	uint32_t accelerators =
		fit_count(have->accelerators, need->accelerators);

	if (memory < slots)
		slots = memory;
	return accelerators < slots ? accelerators : slots;
}

static uint32_t subtract(uint32_t have, uint32_t used)
{
	return have > used ? have - used : 0;
}

struct zr_resources zr_cell_resources_subtract(const struct zr_resources *have,
					       const struct zr_resources *used)
{
	return (struct zr_resources){
		.millicpus = subtract(have->millicpus, used->millicpus),
		.memory_mb = subtract(have->memory_mb, used->memory_mb),
		.accelerators =
			subtract(have->accelerators, used->accelerators),
	};
}

void zr_cell_resources_add(struct zr_resources *sum,
			   const struct zr_resources *amount)
{
	sum->millicpus += amount->millicpus;
	sum->memory_mb += amount->memory_mb;
	sum->accelerators += amount->accelerators;
}

struct zr_resources
zr_cell_candidate_free(const struct zr_cell_candidate *candidate)
{
	return zr_cell_resources_subtract(&candidate->free,
					  &candidate->reserved);
}

bool zr_cell_worker_has_label(const struct zr_cell_worker *worker,
			      const char *label)
{
	const char *each = worker->report.labels;

	if (!label[0])
		return true;
	for (; *each; each += strlen(each) + 1) {
		if (!strcmp(each, label))
			return true;
	}
	return false;
}

/*
 * Whether the registration describes the incarnation that answers: a later one
 * may be of another kind, also at the same address.
 */
static bool is_described(const struct zr_cell_worker *worker)
{
	return !worker->described_incarnation ||
	       worker->described_incarnation >= worker->report.incarnation;
}

bool zr_cell_worker_accepts_tasks(struct zr_cell_scheduler *scheduler,
				  const struct zr_cell_worker *worker,
				  int64_t now)
{
	return zr_cell_evacuations_allow(scheduler, worker, now) &&
	       worker->registered && !worker->report.leaving &&
	       !worker->announced_event && is_described(worker) &&
	       worker->conn.ops && worker->clock_ms >= 0 &&
	       !worker->lease_withheld && now >= worker->backoff_until &&
	       now >= worker->unanswered_until &&
	       !zr_cell_worker_unresponsive(worker) &&
	       !zr_cell_domain_unresponsive(&scheduler->term.model, worker,
					    now);
}

static void add_candidate(struct zr_cell_plan *plan,
			  struct zr_cell_worker *worker)
{
	struct zr_cell_candidate *candidate =
		&plan->candidates[plan->candidate_count++];

	candidate->worker = worker;
	candidate->free = zr_cell_worker_free_resources(worker);
	candidate->preemption_class = -1;
	candidate->gang_reserved = plan->now < worker->reserved_until;
	zr_cell_speed_set_candidate(plan, candidate);
	plan->capacity_millicpus += worker->report.capacity.millicpus;
	worker->candidate_index = plan->candidate_count;
}

void zr_cell_candidates_collect(struct zr_cell_plan *plan)
{
	struct zr_cell_model *model = &plan->scheduler->term.model;
	size_t size = HASH_COUNT(model->worker_by_name) + 1;
	struct zr_cell_worker *worker;
	struct zr_cell_worker *next;

	plan->candidates = calloc(size, sizeof(*plan->candidates));
	plan->eligible = calloc(size, sizeof(*plan->eligible));
	if (!plan->candidates || !plan->eligible)
		abort();
	zr_cell_reservation_begin_pass(plan);
	HASH_ITER (hh, model->worker_by_name, worker, next) {
		zr_cell_reservation_add_worker(plan, worker);
		worker->candidate_index = 0;
		if (!worker->isolated_runs &&
		    plan->now >= worker->isolation_until)
			worker->isolation_job = ZR_HANDLE_NONE;
		plan->draining_count +=
			worker->isolation_job && !worker->isolated_runs;
		if (zr_cell_worker_accepts_tasks(plan->scheduler, worker,
						 plan->now))
			add_candidate(plan, worker);
	}
	zr_cell_reservation_update_pauses(plan);
}

bool zr_cell_candidate_matches(const struct zr_cell_plan_item *item,
			       const struct zr_cell_candidate *candidate)
{
	const struct zr_cell_worker *worker = candidate->worker;
	const char *label = item->step->spec->label;

	if (worker->isolation_job && worker->isolation_job != item->job->self)
		return false;
	return zr_cell_fit_count(&worker->report.capacity, &item->need) &&
	       !strcmp(worker->report.pool, item->queue.pool) &&
	       zr_cell_worker_has_label(worker, label);
}

uint32_t zr_cell_tasks_on(const struct zr_cell_plan_item *item,
			  zr_handle worker)
{
	const struct zr_cell_step_state *step = item->step;
	uint32_t count = 0;
	uint32_t i;

	for (i = step->first_task; i < step->first_task + step->spec->count;
	     i++) {
		if (item->job->tasks[i].worker == worker)
			count++;
	}
	return count;
}

uint32_t zr_cell_candidate_slots(const struct zr_cell_plan_item *item,
				 const struct zr_cell_candidate *candidate)
{
	uint32_t max_per_worker = item->step->spec->max_per_worker;
	struct zr_resources available;
	uint32_t slots;
	uint32_t present;

	available = zr_cell_candidate_free(candidate);
	slots = zr_cell_fit_count(&available, &item->need);
	if (!slots || !max_per_worker)
		return slots;
	present = zr_cell_tasks_on(item, candidate->worker->self);
	if (present >= max_per_worker)
		return 0;
	return slots < max_per_worker - present ? slots
						: max_per_worker - present;
}

static void add_eligible(struct zr_cell_plan_item *item,
			 struct zr_cell_candidate *candidate,
			 const struct zr_cell_permission *permission)
{
	if (!zr_cell_candidate_matches(item, candidate))
		return;
	zr_cell_speed_set_order(item, candidate);
	item->eligible[item->eligible_count++] =
		(struct zr_cell_eligible){candidate, permission};
}

void zr_cell_plan_item_find_eligible(struct zr_cell_plan *plan,
				     struct zr_cell_plan_item *item)
{
	const struct zr_cell_model *model = &plan->scheduler->term.model;
	size_t i;

	item->eligible = plan->eligible;
	item->eligible_count = 0;
	for (i = 0; !item->queue.advised && i < plan->candidate_count; i++)
		add_eligible(item, &plan->candidates[i], NULL);
	for (i = 0; item->queue.advised && i < item->step->permission_count;
	     i++) {
		const struct zr_cell_permission *permission =
			&item->step->permissions[i];
		const struct zr_cell_worker *worker =
			permission->permitted
				? zr_cell_worker(model, permission->worker)
				: NULL;

		if (worker && worker->candidate_index)
			add_eligible(
				item,
				&plan->candidates[worker->candidate_index - 1],
				permission);
	}
}

bool zr_cell_eligible_is_valid(const struct zr_cell_eligible *eligible,
			       int64_t start_at)
{
	return !eligible->permission ||
	       eligible->permission->expires_at > start_at + TICKET_MARGIN_MS;
}

uint32_t zr_cell_plan_item_slots(const struct zr_cell_plan *plan,
				 const struct zr_cell_plan_item *item)
{
	uint32_t slots = 0;
	size_t i;

	for (i = 0; i < item->eligible_count; i++) {
		if (zr_cell_eligible_is_valid(&item->eligible[i], plan->now))
			slots += zr_cell_candidate_slots(
				item, item->eligible[i].candidate);
	}
	return slots;
}

/*
 * Whether @candidate is better for a task than @best. If nothing else differs,
 * the one with fewer free processors is better, which leaves whole workers free
 * for large tasks.
 */
static bool is_better(const struct zr_cell_plan_item *item,
		      const struct zr_cell_candidate *candidate,
		      const struct zr_cell_candidate *best)
{
	bool gang = zr_cell_step_is_gang(item->step);

	if (!best)
		return true;
	if (candidate->slow != best->slow)
		return best->slow;
	if (!gang && candidate->gang_reserved != best->gang_reserved)
		return best->gang_reserved;
	if (gang && candidate->shortfall != best->shortfall)
		return candidate->shortfall < best->shortfall;
	if (gang && zr_cell_in_gang_domain(item, candidate) !=
			    zr_cell_in_gang_domain(item, best))
		return zr_cell_in_gang_domain(item, candidate);
	if (candidate->order != best->order)
		return candidate->order < best->order;
	return zr_cell_candidate_free(candidate).millicpus <
	       zr_cell_candidate_free(best).millicpus;
}

static struct zr_cell_candidate *
best_candidate(const struct zr_cell_plan *plan,
	       const struct zr_cell_plan_item *item, zr_handle avoided_worker)
{
	struct zr_cell_candidate *best = NULL;
	size_t i;

	for (i = 0; i < item->eligible_count; i++) {
		struct zr_cell_candidate *candidate =
			item->eligible[i].candidate;

		if (candidate->worker->self != avoided_worker &&
		    zr_cell_eligible_is_valid(&item->eligible[i], plan->now) &&
		    zr_cell_candidate_slots(item, candidate) &&
		    is_better(item, candidate, best))
			best = candidate;
	}
	return best;
}

/* For a suspect, few runs of other jobs come before all else. */
static struct zr_cell_candidate *
best_candidate_for_suspect(const struct zr_cell_plan *plan,
			   const struct zr_cell_plan_item *item)
{
	bool required = zr_cell_isolation_required(plan, item);
	struct zr_cell_candidate *best = NULL;
	size_t i;

	for (i = 0; i < item->eligible_count; i++) {
		struct zr_cell_candidate *candidate =
			item->eligible[i].candidate;
		const struct zr_cell_worker *worker = candidate->worker;

		if (!zr_cell_isolation_allows(item, worker, required) ||
		    !zr_cell_eligible_is_valid(&item->eligible[i], plan->now) ||
		    !zr_cell_candidate_slots(item, candidate))
			continue;
		if (!best ||
		    zr_cell_isolation_prefers(item, worker, best->worker) ||
		    (!zr_cell_isolation_prefers(item, best->worker, worker) &&
		     is_better(item, candidate, best)))
			best = candidate;
	}
	return best;
}

/* Returns the next attempt number, which is the same for all members. */
static uint32_t next_gang_attempt(const struct zr_cell_plan_item *item)
{
	const struct zr_cell_step_state *step = item->step;
	uint32_t highest = 0;
	uint32_t i;

	for (i = step->first_task; i < step->first_task + step->spec->count;
	     i++) {
		if (item->job->tasks[i].attempt > highest)
			highest = item->job->tasks[i].attempt;
	}
	return highest + 1;
}

static void subtract_free(struct zr_cell_candidate *candidate,
			  const struct zr_resources *need)
{
	candidate->free.millicpus -= need->millicpus;
	candidate->free.memory_mb -= need->memory_mb;
	candidate->free.accelerators -= need->accelerators;
	candidate->preemption_class = -1;
}

static void add_name(char names[ZR_CELL_NAMES_MAX], const char *name)
{
	size_t used = strlen(names);

	if (used + strlen(name) + 2 <= ZR_CELL_NAMES_MAX)
		snprintf(names + used, ZR_CELL_NAMES_MAX - used, "%s%s",
			 used ? "," : "", name);
}

/* Returns false if no worker has a slot for the task. */
static bool place_on_best(struct zr_cell_plan *plan,
			  const struct zr_cell_plan_item *item, uint32_t task,
			  zr_handle avoided_worker, uint32_t attempt,
			  char names[ZR_CELL_NAMES_MAX])
{
	bool suspect = item->job->tasks[task].suspicion != ZR_SUSPECT_NOT;
	struct zr_cell_candidate *candidate =
		suspect ? best_candidate_for_suspect(plan, item)
			: best_candidate(plan, item, avoided_worker);

	if (!candidate)
		return false;
	if (suspect)
		item->step->isolation_wanted_since = 0;
	zr_cell_place_task(plan->scheduler, item->job, task, candidate->worker,
			   attempt);
	subtract_free(candidate, &item->need);
	add_name(names, candidate->worker->report.name);
	return true;
}

/* The worker on which no new run of the task may be placed now. */
static zr_handle avoided_worker(const struct zr_cell_plan *plan,
				const struct zr_cell_task *task)
{
	return plan->now < task->avoided_until ? task->avoided_worker
					       : ZR_HANDLE_NONE;
}

/* Places waiting tasks that are suspects, or those that are not. */
static uint32_t place_waiting(struct zr_cell_plan *plan,
			      const struct zr_cell_plan_item *item,
			      bool suspects, uint32_t gang_attempt,
			      uint32_t max_tasks, char names[ZR_CELL_NAMES_MAX])
{
	const struct zr_cell_step_state *step = item->step;
	uint32_t end = step->first_task + step->spec->count;
	uint32_t placed = 0;
	uint32_t task;

	for (task = step->first_task; task < end && placed < max_tasks;
	     task++) {
		struct zr_cell_task *entry = &item->job->tasks[task];
		zr_handle avoided = gang_attempt ? ZR_HANDLE_NONE
						 : avoided_worker(plan, entry);

		if (entry->state != ZR_TASK_WAITING ||
		    plan->now < entry->retry_at ||
		    (entry->suspicion != ZR_SUSPECT_NOT) != suspects)
			continue;
		if (place_on_best(plan, item, task, avoided,
				  gang_attempt ? gang_attempt
					       : entry->attempt + 1,
				  names))
			placed++;
		else if (!avoided)
			break;
	}
	return placed;
}

uint32_t zr_cell_place_tasks(struct zr_cell_plan *plan,
			     const struct zr_cell_plan_item *item,
			     uint32_t max_tasks, char names[ZR_CELL_NAMES_MAX])
{
	struct zr_cell_step_state *step = item->step;
	bool gang = zr_cell_step_is_gang(step);
	uint32_t attempt = gang ? next_gang_attempt(item) : 0;
	uint32_t placed = 0;

	names[0] = '\0';
	/* Suspects come first: others of the same job may join them. */
	if (item->job->has_suspects)
		placed = place_waiting(plan, item, true, attempt, max_tasks,
				       names);
	placed += place_waiting(plan, item, false, attempt, max_tasks - placed,
				names);
	if (placed)
		zr_cell_reservation_end(step);
	if (gang) {
		step->gang_placed_at = plan->now;
		step->gang_stopping = false;
	}
	return placed;
}

uint32_t zr_cell_place_missing_members(struct zr_cell_plan *plan,
				       const struct zr_cell_plan_item *item,
				       char names[ZR_CELL_NAMES_MAX])
{
	const struct zr_cell_step_state *step = item->step;
	uint32_t end = step->first_task + step->spec->count;
	uint32_t placed = 0;
	uint32_t task;

	names[0] = '\0';
	for (task = step->first_task; task < end; task++) {
		struct zr_cell_task *entry = &item->job->tasks[task];

		if (entry->state == ZR_TASK_WAITING &&
		    plan->now >= entry->retry_at &&
		    place_on_best(plan, item, task, entry->avoided_worker,
				  step->gang_attempt, names))
			placed++;
	}
	return placed;
}

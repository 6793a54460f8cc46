#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cell/plan.h"

/* A permit must still be valid when the start arrives. */
#define PERMIT_SLACK_MS 120
/* Gangs, but for the first, keep at most this part of the workers together. */
#define RESERVED_PART 3

static uint32_t times(uint32_t have, uint32_t need)
{
	return need ? have / need : UINT32_MAX;
}

static uint32_t fits(const struct zr_resources *have,
		     const struct zr_resources *need)
{
	uint32_t slots = times(have->millicpus, need->millicpus);
	uint32_t memory = times(have->memory_mb, need->memory_mb);
	uint32_t accelerators = times(have->accelerators, need->accelerators);

	if (memory < slots)
		slots = memory;
	return accelerators < slots ? accelerators : slots;
}

static bool has_label(const struct zr_cell_worker *worker, const char *label)
{
	const char *each = worker->report.labels;

	for (; *each; each += strlen(each) + 1) {
		if (!strcmp(each, label))
			return true;
	}
	return false;
}

static bool takes_tasks(const struct zr_cell_worker *worker, int64_t now)
{
	return worker->listed && !worker->report.leaving &&
	       worker->orders.ops && worker->clock_ms >= 0 &&
	       now >= worker->suspect_until &&
	       worker->state != ZR_WORKER_UNHEARD;
}

void zr_cell_spots_find(struct zr_cell_plan *plan)
{
	struct zr_cell_model *model = &plan->scheduler->model;
	struct zr_cell_worker *worker;
	struct zr_cell_worker *next;

	plan->spots = calloc(HASH_COUNT(model->worker_by_name) + 1,
			     sizeof(*plan->spots));
	if (!plan->spots)
		abort();
	HASH_ITER (hh, model->worker_by_name, worker, next) {
		if (!takes_tasks(worker, plan->now))
			continue;
		plan->spots[plan->spot_count].worker = worker;
		plan->spots[plan->spot_count].left =
			zr_cell_worker_free(worker);
		plan->spots[plan->spot_count].slow =
			zr_cell_pace_slow(model, worker, plan->now);
		plan->spot_count++;
	}
}

bool zr_cell_spot_suits(const struct zr_cell_try *try,
			const struct zr_cell_spot *spot)
{
	const struct zr_cell_worker *worker = spot->worker;
	const char *label = try->step->spec->label;

	return fits(&worker->report.capacity, &try->need) &&
	       !strcmp(worker->report.pool, try->queue.pool) &&
	       (!label[0] || has_label(worker, label));
}

/* Tasks of a step on a worker, for its spread. */
static uint32_t tasks_on(const struct zr_cell_try *try, zr_handle worker)
{
	const struct zr_cell_step_row *step = try->step;
	uint32_t count = 0;
	uint32_t i;

	for (i = step->first; i < step->first + step->spec->count; i++) {
		if (try->job->tasks[i].worker == worker)
			count++;
	}
	return count;
}

uint32_t zr_cell_spot_slots(const struct zr_cell_try *try,
			    const struct zr_cell_spot *spot)
{
	uint32_t spread = try->step->spec->spread;
	uint32_t slots;
	uint32_t there;

	if (spot->reserved_for && spot->reserved_for != try->step)
		return 0;
	slots = fits(&spot->left, &try->need);
	if (!slots || !spread)
		return slots;
	there = tasks_on(try, spot->worker->self);
	if (there >= spread)
		return 0;
	return slots < spread - there ? slots : spread - there;
}

bool zr_cell_spot_permitted(const struct zr_cell_try *try,
			    const struct zr_cell_spot *spot, int64_t now)
{
	const struct zr_cell_pass *pass;

	if (!try->queue.advised)
		return true;
	pass = zr_cell_pass_find(try->step, spot->worker->self);
	return pass && pass->permitted && pass->until > now + PERMIT_SLACK_MS;
}

struct zr_cell_room zr_cell_spots_room(const struct zr_cell_plan *plan,
				       const struct zr_cell_try *try)
{
	struct zr_cell_room room = {0};
	size_t i;

	for (i = 0; i < plan->spot_count; i++) {
		const struct zr_cell_spot *spot = &plan->spots[i];
		uint32_t slots = zr_cell_spot_slots(try, spot);
		const struct zr_cell_pass *pass;

		if (!slots || !zr_cell_spot_suits(try, spot))
			continue;
		pass = zr_cell_pass_find(try->step, spot->worker->self);
		if (zr_cell_spot_permitted(try, spot, plan->now))
			room.now += slots;
		if (!try->queue.advised || (pass && pass->permitted))
			room.allowed += slots;
		if (!pass)
			room.unasked += slots;
	}
	return room;
}

/* The least that would be left is best: wide tasks need whole workers. */
static bool better(const struct zr_cell_try *try,
		   const struct zr_cell_spot *spot,
		   const struct zr_cell_spot *best)
{
	const char *rack = try->step->spec->rack;

	if (!best)
		return true;
	if (spot->slow != best->slow)
		return best->slow;
	if (rack[0]) {
		bool near = !strcmp(spot->worker->report.rack, rack);
		bool best_near = !strcmp(best->worker->report.rack, rack);

		if (near != best_near)
			return near;
	}
	return spot->left.millicpus < best->left.millicpus;
}

static struct zr_cell_spot *best_spot(struct zr_cell_plan *plan,
				      const struct zr_cell_try *try,
				      zr_handle avoid)
{
	struct zr_cell_spot *best = NULL;
	size_t i;

	for (i = 0; i < plan->spot_count; i++) {
		struct zr_cell_spot *spot = &plan->spots[i];

		if (spot->worker->self != avoid &&
		    zr_cell_spot_slots(try, spot) &&
		    zr_cell_spot_permitted(try, spot, plan->now) &&
		    zr_cell_spot_suits(try, spot) && better(try, spot, best))
			best = spot;
	}
	return best;
}

/* Members of a gang have one attempt, above all that they had. */
static uint32_t next_attempt(const struct zr_cell_try *try, uint32_t task)
{
	const struct zr_cell_step_row *step = try->step;
	uint32_t highest = try->job->tasks[task].attempt;
	uint32_t i;

	for (i = step->first;
	     zr_cell_step_is_gang(step) && i < step->first + step->spec->count;
	     i++) {
		if (try->job->tasks[i].attempt > highest)
			highest = try->job->tasks[i].attempt;
	}
	return highest + 1;
}

static void take(struct zr_cell_spot *spot, const struct zr_resources *need)
{
	spot->left.millicpus -= need->millicpus;
	spot->left.memory_mb -= need->memory_mb;
	spot->left.accelerators -= need->accelerators;
}

static void add_name(char names[ZR_CELL_NAMES_MAX], const char *name)
{
	size_t used = strlen(names);

	if (used + strlen(name) + 2 <= ZR_CELL_NAMES_MAX)
		snprintf(names + used, ZR_CELL_NAMES_MAX - used, "%s%s",
			 used ? "," : "", name);
}

uint32_t zr_cell_spots_place(struct zr_cell_plan *plan,
			     const struct zr_cell_try *try, uint32_t most,
			     char names[ZR_CELL_NAMES_MAX])
{
	const struct zr_cell_step_row *step = try->step;
	bool gang = zr_cell_step_is_gang(step);
	uint32_t attempt = gang ? next_attempt(try, step->first) : 0;
	uint32_t end = step->first + step->spec->count;
	uint32_t placed = 0;
	uint32_t task;

	names[0] = '\0';
	for (task = step->first; task < end && placed < most; task++) {
		struct zr_cell_task *row = &try->job->tasks[task];
		struct zr_cell_spot *spot;

		if (row->state != ZR_TASK_WAITING)
			continue;
		spot = best_spot(plan, try, gang ? ZR_HANDLE_NONE : row->avoid);
		if (!spot)
			break;
		zr_cell_place(plan->scheduler, try->job, task, spot->worker,
			      gang ? attempt : row->attempt + 1);
		take(spot, &try->need);
		add_name(names, spot->worker->report.name);
		placed++;
	}
	return placed;
}

static int by_room(const void *a, const void *b)
{
	const struct zr_cell_spot *const *x = a;
	const struct zr_cell_spot *const *y = b;

	if ((*x)->left.millicpus != (*y)->left.millicpus)
		return (*x)->left.millicpus > (*y)->left.millicpus ? -1 : 1;
	return strcmp((*x)->worker->report.name, (*y)->worker->report.name);
}

static size_t find_reservable(struct zr_cell_spot **out,
			      struct zr_cell_plan *plan,
			      const struct zr_cell_try *try)
{
	size_t count = 0;
	size_t i;

	for (i = 0; i < plan->spot_count; i++) {
		struct zr_cell_spot *spot = &plan->spots[i];
		const struct zr_cell_pass *pass =
			zr_cell_pass_find(try->step, spot->worker->self);

		if (!spot->reserved_for && zr_cell_spot_suits(try, spot) &&
		    (!try->queue.advised || (pass && pass->permitted)))
			out[count++] = spot;
	}
	qsort(out, count, sizeof(struct zr_cell_spot *), by_room);
	return count;
}

/* All that a gang needs or nothing: a part of it would only stand idle. */
void zr_cell_spots_reserve(struct zr_cell_plan *plan,
			   const struct zr_cell_try *try)
{
	uint32_t wanted = try->step->spec->count;
	struct zr_cell_spot **spots;
	uint32_t held = 0;
	size_t needed = 0;
	size_t count;
	size_t i;

	spots = calloc(plan->spot_count + 1, sizeof(struct zr_cell_spot *));
	if (!spots)
		abort();
	count = find_reservable(spots, plan, try);
	for (; needed < count && held < wanted; needed++)
		held += fits(&spots[needed]->worker->report.capacity,
			     &try->need);
	if (held >= wanted &&
	    (!plan->reserved ||
	     (plan->reserved + needed) * RESERVED_PART <= plan->spot_count)) {
		for (i = 0; i < needed; i++)
			spots[i]->reserved_for = try->step;
		plan->reserved += needed;
	}
	free(spots);
}

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cell/plan.h"

/* A permit must still be valid when the start arrives. */
#define PERMIT_SLACK_MS 120

static uint32_t times(uint32_t have, uint32_t need)
{
	return need ? have / need : UINT32_MAX;
}

uint32_t zr_cell_fits(const struct zr_resources *have,
		      const struct zr_resources *need)
{
	uint32_t slots = times(have->millicpus, need->millicpus);
	uint32_t memory = times(have->memory_mb, need->memory_mb);
	uint32_t accelerators = times(have->accelerators, need->accelerators);

	if (memory < slots)
		slots = memory;
	return accelerators < slots ? accelerators : slots;
}

static uint32_t less(uint32_t have, uint32_t held)
{
	return have > held ? have - held : 0;
}

struct zr_resources zr_cell_left_of(const struct zr_resources *have,
				    const struct zr_resources *held)
{
	return (struct zr_resources){
		.millicpus = less(have->millicpus, held->millicpus),
		.memory_mb = less(have->memory_mb, held->memory_mb),
		.accelerators = less(have->accelerators, held->accelerators),
	};
}

struct zr_resources zr_cell_spot_left(const struct zr_cell_spot *spot)
{
	return zr_cell_left_of(&spot->left, &spot->held);
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
	       now >= worker->suspect_until && !zr_cell_worker_silent(worker);
}

static void add_spot(struct zr_cell_plan *plan, struct zr_cell_worker *worker)
{
	struct zr_cell_spot *spot = &plan->spots[plan->spot_count++];

	spot->worker = worker;
	spot->left = zr_cell_worker_free(worker);
	spot->reach_class = -1;
	spot->kept = plan->now < worker->kept_until;
	spot->slow =
		zr_cell_pace_slow(&plan->scheduler->model, worker, plan->now);
	plan->capacity += worker->report.capacity.millicpus;
	worker->spot = plan->spot_count;
}

void zr_cell_spots_find(struct zr_cell_plan *plan)
{
	struct zr_cell_model *model = &plan->scheduler->model;
	size_t most = HASH_COUNT(model->worker_by_name) + 1;
	struct zr_cell_worker *worker;
	struct zr_cell_worker *next;

	plan->spots = calloc(most, sizeof(*plan->spots));
	plan->known = calloc(most, sizeof(*plan->known));
	if (!plan->spots || !plan->known)
		abort();
	HASH_ITER (hh, model->worker_by_name, worker, next) {
		worker->spot = 0;
		if (takes_tasks(worker, plan->now) &&
		    !zr_cell_domain_silent(model, worker, plan->now))
			add_spot(plan, worker);
	}
}

bool zr_cell_spot_suits(const struct zr_cell_try *try,
			const struct zr_cell_spot *spot)
{
	const struct zr_cell_worker *worker = spot->worker;
	const char *label = try->step->spec->label;

	return zr_cell_fits(&worker->report.capacity, &try->need) &&
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
	struct zr_resources left;
	uint32_t slots;
	uint32_t there;

	left = zr_cell_spot_left(spot);
	slots = zr_cell_fits(&left, &try->need);
	if (!slots || !spread)
		return slots;
	there = tasks_on(try, spot->worker->self);
	if (there >= spread)
		return 0;
	return slots < spread - there ? slots : spread - there;
}

static void know(struct zr_cell_try *try, struct zr_cell_spot *spot,
		 const struct zr_cell_pass *pass)
{
	if (zr_cell_spot_suits(try, spot))
		try->known[try->known_count++] =
			(struct zr_cell_known){spot, pass};
}

void zr_cell_spots_known(struct zr_cell_plan *plan, struct zr_cell_try *try)
{
	const struct zr_cell_model *model = &plan->scheduler->model;
	size_t i;

	try->known = plan->known;
	try->known_count = 0;
	for (i = 0; !try->queue.advised && i < plan->spot_count; i++)
		know(try, &plan->spots[i], NULL);
	for (i = 0; try->queue.advised && i < try->step->pass_count; i++) {
		const struct zr_cell_pass *pass = &try->step->passes[i];
		const struct zr_cell_worker *worker =
			pass->permitted ? zr_cell_worker(model, pass->worker)
					: NULL;

		if (worker && worker->spot)
			know(try, &plan->spots[worker->spot - 1], pass);
	}
}

bool zr_cell_known_valid(const struct zr_cell_known *known, int64_t then)
{
	return !known->pass || known->pass->until > then + PERMIT_SLACK_MS;
}

uint32_t zr_cell_spots_room(const struct zr_cell_plan *plan,
			    const struct zr_cell_try *try)
{
	uint32_t room = 0;
	size_t i;

	for (i = 0; i < try->known_count; i++) {
		if (zr_cell_known_valid(&try->known[i], plan->now))
			room += zr_cell_spot_slots(try, try->known[i].spot);
	}
	return room;
}

/* The least that would be left is best: wide tasks need whole workers. */
static bool better(const struct zr_cell_try *try,
		   const struct zr_cell_spot *spot,
		   const struct zr_cell_spot *best)
{
	const char *rack = try->step->spec->rack;
	bool gang = zr_cell_step_is_gang(try->step);

	if (!best)
		return true;
	if (spot->slow != best->slow)
		return best->slow;
	if (!gang && spot->kept != best->kept)
		return best->kept;
	if (gang && zr_cell_is_home(try, spot) != zr_cell_is_home(try, best))
		return zr_cell_is_home(try, spot);
	if (rack[0]) {
		bool near = !strcmp(spot->worker->report.rack, rack);
		bool best_near = !strcmp(best->worker->report.rack, rack);

		if (near != best_near)
			return near;
	}
	return zr_cell_spot_left(spot).millicpus <
	       zr_cell_spot_left(best).millicpus;
}

static struct zr_cell_spot *best_spot(const struct zr_cell_plan *plan,
				      const struct zr_cell_try *try,
				      zr_handle avoid)
{
	struct zr_cell_spot *best = NULL;
	size_t i;

	for (i = 0; i < try->known_count; i++) {
		struct zr_cell_spot *spot = try->known[i].spot;

		if (spot->worker->self != avoid &&
		    zr_cell_known_valid(&try->known[i], plan->now) &&
		    zr_cell_spot_slots(try, spot) && better(try, spot, best))
			best = spot;
	}
	return best;
}

/* Members of a gang have one attempt, above all that they had. */
static uint32_t next_gang_attempt(const struct zr_cell_try *try)
{
	const struct zr_cell_step_row *step = try->step;
	uint32_t highest = 0;
	uint32_t i;

	for (i = step->first; i < step->first + step->spec->count; i++) {
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
	spot->reach_class = -1;
}

static void add_name(char names[ZR_CELL_NAMES_MAX], const char *name)
{
	size_t used = strlen(names);

	if (used + strlen(name) + 2 <= ZR_CELL_NAMES_MAX)
		snprintf(names + used, ZR_CELL_NAMES_MAX - used, "%s%s",
			 used ? "," : "", name);
}

/* Returns whether there was a worker for the task. */
static bool place_on_best(struct zr_cell_plan *plan,
			  const struct zr_cell_try *try, uint32_t task,
			  zr_handle avoid, uint32_t attempt,
			  char names[ZR_CELL_NAMES_MAX])
{
	struct zr_cell_spot *spot = best_spot(plan, try, avoid);

	if (!spot)
		return false;
	zr_cell_place(plan->scheduler, try->job, task, spot->worker, attempt);
	take(spot, &try->need);
	add_name(names, spot->worker->report.name);
	return true;
}

uint32_t zr_cell_spots_place(struct zr_cell_plan *plan,
			     const struct zr_cell_try *try, uint32_t most,
			     char names[ZR_CELL_NAMES_MAX])
{
	struct zr_cell_step_row *step = try->step;
	bool gang = zr_cell_step_is_gang(step);
	uint32_t attempt = gang ? next_gang_attempt(try) : 0;
	uint32_t end = step->first + step->spec->count;
	uint32_t placed = 0;
	uint32_t task;

	names[0] = '\0';
	for (task = step->first; task < end && placed < most; task++) {
		struct zr_cell_task *row = &try->job->tasks[task];

		if (row->state != ZR_TASK_WAITING)
			continue;
		if (!place_on_best(plan, try, task,
				   gang ? ZR_HANDLE_NONE : row->avoid,
				   gang ? attempt : row->attempt + 1, names))
			break;
		placed++;
	}
	if (gang) {
		step->begun_at = plan->now;
		step->breaking = false;
	}
	return placed;
}

uint32_t zr_cell_spots_mend(struct zr_cell_plan *plan,
			    const struct zr_cell_try *try,
			    char names[ZR_CELL_NAMES_MAX])
{
	const struct zr_cell_step_row *step = try->step;
	uint32_t end = step->first + step->spec->count;
	uint32_t placed = 0;
	uint32_t task;

	names[0] = '\0';
	for (task = step->first; task < end; task++) {
		struct zr_cell_task *row = &try->job->tasks[task];

		if (row->state == ZR_TASK_WAITING &&
		    place_on_best(plan, try, task, row->avoid, row->attempt,
				  names))
			placed++;
	}
	return placed;
}

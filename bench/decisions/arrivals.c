#include "decisions/arrivals.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "fakes/rng.h"

#define NAMES_PER_TEAM 20
#define SERVICE_PERCENT 20
#define SERVICE_REPLICAS 5
#define URGENT_PERCENT 5
#define URGENT_RUN_MS 1000
#define URGENT_MILLICPUS 500
#define GANG_PERCENT 2
#define GANG_MEMBERS_MIN 4
#define GANG_MEMBERS_MAX 16
#define BATCH_TASKS_MAX 4
#define AT_MOST_ONCE_PERCENT 20
#define ACCELERATOR_PERCENT 2
#define DEADLINE_PERCENT 20
#define DEADLINE_SLACK_MIN_MS 30000
#define DEADLINE_SLACK_MS 240000
#define RUN_MIN_MS 2000
/* Urgent work has this worth, other work less. */
#define URGENT_WORTH 50
#define JITTER_PERCENT 10
#define MB_PER_CORE_MIN 2048
#define MB_PER_CORE_MORE 1536
/* Of the worker to which the two numbers above belong. */
#define MB_PER_CORE_USUAL 4437
/* A task really uses at most one of so many parts of a worker. */
#define USED_PARTS 3

struct maker {
	struct rng rng;
	const struct scenario *scenario;
	struct arrivals *out;
	double run_mean_ms;
	uint32_t shares;
};

static struct arrival *append(struct arrivals *out)
{
	if (out->count == out->room) {
		out->room = out->room ? out->room * 2 : 1024;
		out->list = realloc(out->list, out->room * sizeof(*out->list));
		if (!out->list)
			abort();
	}
	out->list[out->count] = (struct arrival){0};
	return &out->list[out->count++];
}

/* A team drawn in proportion to the shares, so that each has a backlog. */
static uint32_t draw_team(struct maker *maker)
{
	uint32_t ticket = rng_below(&maker->rng, maker->shares);
	uint32_t team = 0;

	while (ticket >= 1 + team % 4) {
		ticket -= 1 + team % 4;
		team++;
	}
	return team;
}

/* How far declared sizes of a name are off, the same for all its jobs. */
static double wrong_factor(const struct maker *maker,
			   const struct arrival *arrival)
{
	struct rng rng = {arrival->team * 7919u + arrival->name * 104729u +
			  arrival->kind};
	double exponent;

	if (!maker->scenario->faults)
		return 1.0;
	rng_next(&rng);
	exponent = 2 * rng_unit(&rng) - 1;
	return pow(SCENARIO_WRONG_FACTOR, exponent);
}

static uint32_t scaled(uint32_t amount, double factor, uint32_t most)
{
	double value = amount * factor;

	return value > most ? most : (uint32_t)(value + 0.5);
}

static void draw_used(struct maker *maker, struct arrival *arrival)
{
	const struct zr_resources *capacity = &maker->scenario->capacity;
	double factor = wrong_factor(maker, arrival);

	if (maker->scenario->faults)
		factor *= 1 + (rng_unit(&maker->rng) - 0.5) * 2 *
				      JITTER_PERCENT / 100.0;
	arrival->used.millicpus = scaled(arrival->declared.millicpus, factor,
					 capacity->millicpus / USED_PARTS);
	arrival->used.memory_mb = scaled(arrival->declared.memory_mb, factor,
					 capacity->memory_mb / USED_PARTS);
	arrival->used.accelerators = arrival->declared.accelerators;
}

/* Jobs of one name declare the same size. */
static void draw_size(struct maker *maker, struct arrival *arrival)
{
	static const uint32_t millicpus[] = {250, 500, 1000, 2000};
	static const uint32_t percent[] = {30, 30, 25, 15};
	struct rng rng = {arrival->team * 31337u + arrival->name * 271u +
			  arrival->kind};
	uint32_t ticket = rng_below(&rng, 100);
	uint64_t per_core = MB_PER_CORE_MIN + rng_below(&rng, MB_PER_CORE_MORE);
	uint32_t i = 0;

	while (ticket >= percent[i])
		ticket -= percent[i++];
	/* Memory follows the worker's own proportion of it to processors. */
	per_core = per_core * maker->scenario->capacity.memory_mb /
		   maker->scenario->capacity.millicpus * 1000 /
		   MB_PER_CORE_USUAL;
	arrival->declared.millicpus = millicpus[i];
	arrival->declared.memory_mb =
		(uint32_t)(millicpus[i] * per_core / 1000);
	arrival->declared.accelerators = rng_chance(&rng, ACCELERATOR_PERCENT);
	draw_used(maker, arrival);
}

static void draw_run(struct maker *maker, struct arrival *arrival)
{
	double run = rng_exponential(&maker->rng, maker->run_mean_ms);

	arrival->run_ms = RUN_MIN_MS + (int64_t)run;
	arrival->declared_run_ms =
		(int64_t)(arrival->run_ms * pow(SCENARIO_WRONG_FACTOR,
						2 * rng_unit(&maker->rng) - 1));
	if (!maker->scenario->faults)
		arrival->declared_run_ms = arrival->run_ms;
}

static void draw_fault(struct maker *maker, struct arrival *arrival)
{
	uint32_t ticket = rng_below(&maker->rng, 200);

	if (!maker->scenario->faults || ticket >= 2 * SCENARIO_NEVER_PERCENT)
		return;
	/* Names of faulty jobs are their own: nothing is learned for others. */
	arrival->name += NAMES_PER_TEAM;
	arrival->fault = ticket % 2 ? ARRIVAL_TOO_LARGE : ARRIVAL_FAILS;
	if (arrival->fault == ARRIVAL_TOO_LARGE)
		arrival->declared.millicpus =
			maker->scenario->capacity.millicpus + 1;
}

static void draw_kind(struct maker *maker, struct arrival *arrival)
{
	uint32_t ticket = rng_below(&maker->rng, 100);

	arrival->kind = ARRIVAL_BATCH;
	arrival->tasks = 1 + rng_below(&maker->rng, BATCH_TASKS_MAX);
	if (ticket < GANG_PERCENT) {
		arrival->kind = ARRIVAL_GANG;
		arrival->tasks = GANG_MEMBERS_MIN +
				 rng_below(&maker->rng,
					   GANG_MEMBERS_MAX - GANG_MEMBERS_MIN);
	} else {
		arrival->at_most_once =
			rng_chance(&maker->rng, AT_MOST_ONCE_PERCENT);
	}
}

static struct arrival *draw_work(struct maker *maker, int64_t at_ms)
{
	struct arrival *arrival = append(maker->out);

	arrival->at_ms = at_ms;
	arrival->team = draw_team(maker);
	arrival->name = rng_below(&maker->rng, NAMES_PER_TEAM);
	arrival->worth = URGENT_WORTH / maker->scenario->worths *
			 rng_below(&maker->rng, maker->scenario->worths);
	draw_kind(maker, arrival);
	draw_size(maker, arrival);
	draw_run(maker, arrival);
	draw_fault(maker, arrival);
	if (at_ms && rng_chance(&maker->rng, DEADLINE_PERCENT))
		arrival->deadline_ms =
			at_ms + arrival->run_ms + DEADLINE_SLACK_MIN_MS +
			rng_below(&maker->rng, DEADLINE_SLACK_MS);
	return arrival;
}

static void draw_urgent(struct maker *maker, int64_t at_ms)
{
	struct arrival *arrival = append(maker->out);

	arrival->at_ms = at_ms;
	arrival->kind = ARRIVAL_URGENT;
	arrival->team = draw_team(maker);
	arrival->name = rng_below(&maker->rng, NAMES_PER_TEAM);
	arrival->worth = URGENT_WORTH;
	arrival->tasks = 1;
	arrival->declared.millicpus = URGENT_MILLICPUS;
	arrival->declared.memory_mb = 256;
	arrival->run_ms = URGENT_RUN_MS;
	arrival->declared_run_ms = URGENT_RUN_MS;
	draw_used(maker, arrival);
}

static void draw_services(struct maker *maker)
{
	uint32_t tasks = maker->scenario->tasks * SERVICE_PERCENT / 100;
	uint32_t i;

	for (i = 0; i < tasks; i += SERVICE_REPLICAS) {
		struct arrival *arrival = append(maker->out);

		arrival->kind = ARRIVAL_SERVICE;
		arrival->team = draw_team(maker);
		arrival->name = i;
		arrival->worth = 60;
		arrival->tasks = SERVICE_REPLICAS;
		draw_size(maker, arrival);
		arrival->declared.accelerators = 0;
		arrival->used.accelerators = 0;
	}
}

static void draw_backlog(struct maker *maker)
{
	uint32_t i;

	for (i = 0; i < maker->scenario->backlog; i++) {
		struct arrival *arrival = draw_work(maker, 0);

		arrival->cancel = maker->scenario->faults &&
				  i % SCENARIO_WAVE_DIVISOR == 0;
	}
}

static void draw_stream(struct maker *maker)
{
	double mean = 1000.0 / maker->scenario->starts_per_second;
	double at = 0;

	/* The wait to the next arrival grows with the tasks of this one. */
	for (;;) {
		uint32_t tasks = 1;

		if (at >= maker->scenario->duration_ms)
			return;
		if (rng_chance(&maker->rng, URGENT_PERCENT))
			draw_urgent(maker, (int64_t)at);
		else
			tasks = draw_work(maker, 1 + (int64_t)at)->tasks;
		at += rng_exponential(&maker->rng, mean * tasks);
	}
}

void arrivals_make(struct arrivals *out, const struct scenario *scenario,
		   uint64_t seed)
{
	uint32_t passing = scenario->tasks * (100 - SERVICE_PERCENT) / 100;
	struct maker maker = {{seed}, scenario, out, 0, 0};
	uint32_t i;

	*out = (struct arrivals){0};
	maker.run_mean_ms = 1000.0 * passing / scenario->starts_per_second;
	for (i = 0; i < scenario->teams; i++)
		maker.shares += 1 + i % 4;
	draw_services(&maker);
	draw_backlog(&maker);
	draw_stream(&maker);
}

void arrivals_clear(struct arrivals *arrivals)
{
	free(arrivals->list);
	*arrivals = (struct arrivals){0};
}

const char *arrival_kind_name(enum arrival_kind kind)
{
	static const char *const names[] = {"urgent", "batch", "gang",
					    "service"};

	return names[kind];
}

struct zr_job_spec arrival_spec(const struct arrival *arrival, int64_t epoch_ms)
{
	struct zr_job_spec spec = {
		.kind = arrival->kind == ARRIVAL_SERVICE ? ZR_JOB_SERVICE
			: arrival->kind == ARRIVAL_GANG	 ? ZR_JOB_GANG
							 : ZR_JOB_BATCH,
		.tasks = arrival->tasks,
		.size = arrival->declared,
		.worth = arrival->worth,
		.urgent = arrival->kind == ARRIVAL_URGENT,
		.at_most_once = arrival->at_most_once,
		.run_ms = (uint64_t)arrival->declared_run_ms,
		.command = "true",
	};

	if (arrival->deadline_ms)
		spec.deadline_ms = epoch_ms + arrival->deadline_ms;
	snprintf(spec.name, sizeof(spec.name), "%s%u",
		 arrival_kind_name(arrival->kind), arrival->name);
	snprintf(spec.team, sizeof(spec.team), "team%u", arrival->team);
	snprintf(spec.queue, sizeof(spec.queue), "queue%u", arrival->team);
	return spec;
}

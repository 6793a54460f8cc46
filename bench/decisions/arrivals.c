#include "decisions/arrivals.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "fakes/rng.h"

#define NAMES_PER_TEAM 20
#define SERVICE_TASKS_PERCENT 20
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
#define DEADLINE_SLACK_SPREAD_MS 240000
#define RUN_MIN_MS 2000
/* Batch jobs and gangs have a lower worth, services a higher one. */
#define URGENT_WORTH 50
#define USAGE_JITTER_PERCENT 10
#define MB_PER_CORE_MIN 2048
#define MB_PER_CORE_SPREAD 1536
/*
 * Memory per core of the worker for which MB_PER_CORE_MIN and
 * MB_PER_CORE_SPREAD are given.
 */
#define MB_PER_CORE_REFERENCE 4437
/* A task uses at most the capacity of a worker divided by this number. */
#define USED_MAX_DIVISOR 3

/* State of the generation of a list of jobs. */
struct generator {
	struct rng rng;
	const struct scenario *scenario;
	struct arrivals *out;
	double run_mean_ms;
	uint32_t share_sum;
};

static struct arrival *append(struct arrivals *out)
{
	if (out->count == out->alloc) {
		out->alloc = out->alloc ? out->alloc * 2 : 1024;
		out->list = realloc(out->list, out->alloc * sizeof(*out->list));
		if (!out->list)
			abort();
	}
	out->list[out->count] = (struct arrival){0};
	return &out->list[out->count++];
}

/* Draws a team in proportion to the shares, so that each has a backlog. */
static uint32_t draw_team(struct generator *generator)
{
	uint32_t ticket = rng_below(&generator->rng, generator->share_sum);
	uint32_t team = 0;

	while (ticket >= 1 + team % 4) {
		ticket -= 1 + team % 4;
		team++;
	}
	return team;
}

/*
 * Returns the ratio of used to declared size, which is the same for all jobs of
 * one team, name and kind.
 */
static double declared_error(const struct generator *generator,
			     const struct arrival *arrival)
{
	struct rng rng = {arrival->team * 7919u + arrival->name * 104729u +
			  arrival->kind};
	double exponent;

	if (!generator->scenario->inject_faults)
		return 1.0;
	rng_next(&rng);
	exponent = 2 * rng_unit(&rng) - 1;
	return pow(SCENARIO_DECLARED_ERROR_MAX, exponent);
}

static uint32_t scaled(uint32_t amount, double factor, uint32_t max)
{
	double value = amount * factor;

	return value > max ? max : (uint32_t)(value + 0.5);
}

static void draw_usage(struct generator *generator, struct arrival *arrival)
{
	const struct zr_resources *capacity = &generator->scenario->capacity;
	double factor = declared_error(generator, arrival);

	if (generator->scenario->inject_faults)
		factor *= 1 + (rng_unit(&generator->rng) - 0.5) * 2 *
				      USAGE_JITTER_PERCENT / 100.0;
	arrival->used.millicpus =
		scaled(arrival->declared.millicpus, factor,
		       capacity->millicpus / USED_MAX_DIVISOR);
	arrival->used.memory_mb =
		scaled(arrival->declared.memory_mb, factor,
		       capacity->memory_mb / USED_MAX_DIVISOR);
	arrival->used.accelerators = arrival->declared.accelerators;
}

/* Jobs of one team, name and kind declare the same size. */
static void draw_size(struct generator *generator, struct arrival *arrival)
{
	static const uint32_t millicpus[] = {250, 500, 1000, 2000};
	static const uint32_t percent[] = {30, 30, 25, 15};
	struct rng rng = {arrival->team * 31337u + arrival->name * 271u +
			  arrival->kind};
	uint32_t ticket = rng_below(&rng, 100);
	uint64_t mb_per_core =
		MB_PER_CORE_MIN + rng_below(&rng, MB_PER_CORE_SPREAD);
	uint32_t i = 0;

	while (ticket >= percent[i])
		ticket -= percent[i++];
	/* Scale to the memory per core of this scenario's workers. */
	mb_per_core = mb_per_core * generator->scenario->capacity.memory_mb /
		      generator->scenario->capacity.millicpus * 1000 /
		      MB_PER_CORE_REFERENCE;
	arrival->declared.millicpus = millicpus[i];
	arrival->declared.memory_mb =
		(uint32_t)(millicpus[i] * mb_per_core / 1000);
	arrival->declared.accelerators = rng_chance(&rng, ACCELERATOR_PERCENT);
	draw_usage(generator, arrival);
}

static void draw_run_time(struct generator *generator, struct arrival *arrival)
{
	double run = rng_exponential(&generator->rng, generator->run_mean_ms);

	arrival->run_ms = RUN_MIN_MS + (int64_t)run;
	arrival->declared_run_ms =
		(int64_t)(arrival->run_ms *
			  pow(SCENARIO_DECLARED_ERROR_MAX,
			      2 * rng_unit(&generator->rng) - 1));
	if (!generator->scenario->inject_faults)
		arrival->declared_run_ms = arrival->run_ms;
}

static void draw_fault(struct generator *generator, struct arrival *arrival)
{
	uint32_t ticket = rng_below(&generator->rng, 200);

	if (!generator->scenario->inject_faults ||
	    ticket >= 2 * SCENARIO_FAULTY_JOBS_PERCENT)
		return;
	/*
	 * Faulty jobs have names of their own, so that what the scheduler
	 * learns from their usage and failures does not affect other jobs.
	 */
	arrival->name += NAMES_PER_TEAM;
	arrival->fault = ticket % 2 ? ARRIVAL_TOO_LARGE : ARRIVAL_FAILS;
	if (arrival->fault == ARRIVAL_TOO_LARGE)
		arrival->declared.millicpus =
			generator->scenario->capacity.millicpus + 1;
}

static void draw_kind(struct generator *generator, struct arrival *arrival)
{
	uint32_t ticket = rng_below(&generator->rng, 100);

	arrival->kind = ARRIVAL_BATCH;
	arrival->tasks = 1 + rng_below(&generator->rng, BATCH_TASKS_MAX);
	if (ticket < GANG_PERCENT) {
		arrival->kind = ARRIVAL_GANG;
		arrival->tasks = GANG_MEMBERS_MIN +
				 rng_below(&generator->rng,
					   GANG_MEMBERS_MAX - GANG_MEMBERS_MIN);
	} else {
		arrival->at_most_once =
			rng_chance(&generator->rng, AT_MOST_ONCE_PERCENT);
	}
}

static struct arrival *draw_job(struct generator *generator, int64_t at_ms)
{
	struct arrival *arrival = append(generator->out);

	arrival->arrives_at = at_ms;
	arrival->team = draw_team(generator);
	arrival->name = rng_below(&generator->rng, NAMES_PER_TEAM);
	arrival->worth = URGENT_WORTH / generator->scenario->priority_levels *
			 rng_below(&generator->rng,
				   generator->scenario->priority_levels);
	draw_kind(generator, arrival);
	draw_size(generator, arrival);
	draw_run_time(generator, arrival);
	draw_fault(generator, arrival);
	if (at_ms && rng_chance(&generator->rng, DEADLINE_PERCENT))
		arrival->deadline_ms =
			at_ms + arrival->run_ms + DEADLINE_SLACK_MIN_MS +
			rng_below(&generator->rng, DEADLINE_SLACK_SPREAD_MS);
	return arrival;
}

static void draw_urgent_job(struct generator *generator, int64_t at_ms)
{
	struct arrival *arrival = append(generator->out);

	arrival->arrives_at = at_ms;
	arrival->kind = ARRIVAL_URGENT;
	arrival->team = draw_team(generator);
	arrival->name = rng_below(&generator->rng, NAMES_PER_TEAM);
	arrival->worth = URGENT_WORTH;
	arrival->tasks = 1;
	arrival->declared.millicpus = URGENT_MILLICPUS;
	arrival->declared.memory_mb = 256;
	arrival->run_ms = URGENT_RUN_MS;
	arrival->declared_run_ms = URGENT_RUN_MS;
	draw_usage(generator, arrival);
}

static void draw_services(struct generator *generator)
{
	uint32_t tasks = generator->scenario->running_tasks *
			 SERVICE_TASKS_PERCENT / 100;
	uint32_t i;

	for (i = 0; i < tasks; i += SERVICE_REPLICAS) {
		struct arrival *arrival = append(generator->out);

		arrival->kind = ARRIVAL_SERVICE;
		arrival->team = draw_team(generator);
		arrival->name = i;
		arrival->worth = 60;
		arrival->tasks = SERVICE_REPLICAS;
		draw_size(generator, arrival);
		arrival->declared.accelerators = 0;
		arrival->used.accelerators = 0;
	}
}

static void draw_backlog(struct generator *generator)
{
	uint32_t i;

	for (i = 0; i < generator->scenario->backlog_jobs; i++) {
		struct arrival *arrival = draw_job(generator, 0);

		arrival->in_mass_cancel = generator->scenario->inject_faults &&
					  i % SCENARIO_CANCELLED_DIVISOR == 0;
	}
}

static void draw_stream(struct generator *generator)
{
	double mean_ms = 1000.0 / generator->scenario->starts_per_second;
	double now_ms = 0;

	/*
	 * The mean time to the next arrival is proportional to the number of
	 * tasks of this one, which keeps the rate of task starts.
	 */
	for (;;) {
		uint32_t tasks = 1;

		if (now_ms >= generator->scenario->duration_ms)
			return;
		if (rng_chance(&generator->rng, URGENT_PERCENT))
			draw_urgent_job(generator, (int64_t)now_ms);
		else
			tasks = draw_job(generator, 1 + (int64_t)now_ms)->tasks;
		now_ms += rng_exponential(&generator->rng, mean_ms * tasks);
	}
}

void arrivals_generate(struct arrivals *out, const struct scenario *scenario,
		       uint64_t seed)
{
	uint32_t finite_tasks =
		scenario->running_tasks * (100 - SERVICE_TASKS_PERCENT) / 100;
	struct generator generator = {{seed}, scenario, out, 0, 0};
	uint32_t i;

	*out = (struct arrivals){0};
	generator.run_mean_ms =
		1000.0 * finite_tasks / scenario->starts_per_second;
	for (i = 0; i < scenario->teams; i++)
		generator.share_sum += 1 + i % 4;
	draw_services(&generator);
	draw_backlog(&generator);
	draw_stream(&generator);
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

struct zr_job_spec arrival_to_spec(const struct arrival *arrival,
				   int64_t epoch_ms)
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

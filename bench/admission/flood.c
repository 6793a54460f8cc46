#include <stdlib.h>
#include <string.h>

#include "admission/admission.h"
#include "cell/plan.h"
#include "cell/policy/admission.h"
#include "cell/policy/run_times.h"
#include "fakes/rng.h"

/*
 * A pool of equal slots. Jobs are placed in the order of the planner's ranks.
 * The owner's summary and the hosts' decisions are the real ones.
 */

#define SLOTS 2000
#define SLOT_MILLICPUS 1000
#define ACCOUNTS 10
#define HOT_ACCOUNTS 2
#define TICK_MS 10
#define SORT_INTERVAL_MS 50
#define SUMMARY_INTERVAL_MS 200
#define ARRIVAL_MEMORY_MS 2000
/* From the owner's summary to the decision of a host that has read it. */
#define SUMMARY_DELAY_MS 150
/* Callers make five attempts at most, within this time of the first. */
#define ATTEMPTS_MAX 5
#define CALLER_TIMEOUT_MS 3000
/* The share of an account is this multiple of its usual rate. */
#define SHARE_FACTOR 1.3
#define START_MS 1000000
#define WORTHLESS_FACTOR 3
#define LATE_VALUE 0.2

struct class
{
	uint32_t tasks;
	uint32_t estimate_ms;
	double run_factor; /* of the estimate: estimates are off by class */
	uint32_t stretch_permille;
	uint32_t latency_target_ms;
	bool gang;
	double load_part;
};

static const struct class classes[CLASS_COUNT] = {
	{3, 750, 1.1, 1500, 250, false, 0.1},
	{20, 5000, 0.9, 2200, 1000, true, 0.45},
	{25, 2500, 1.2, 4000, 3000, false, 0.45},
};

struct job {
	int class;
	int account;
	uint64_t hash;
	int64_t first_sent_at;
	unsigned int attempts;
	bool obeyed; /* the next attempt is at the time that it was told */
	int64_t accepted_at;
	bool over_share;
	uint32_t waiting;
	uint32_t done;
	int64_t rank;
	struct job
		*next; /* in a list of arrivals, of waiting jobs, or of ends */
};

struct end {
	struct job *job;
	uint32_t run_ms;
	struct end *next;
};

struct day {
	const struct flood_options *options;
	struct flood_result result;
	struct rng rng;
	int64_t now;
	struct job **arrivals; /* by tick */
	struct end **ends;     /* by tick */
	size_t tick_count;
	struct job **waiting;
	size_t waiting_count;
	size_t waiting_alloc;
	uint32_t free_slots;
	double value;
	double total_value;
	struct zr_cell_client_state accounts[ACCOUNTS];
	struct zr_run_times run_times[CLASS_COUNT];
	/* The last two summaries: the latter is not known to the hosts yet. */
	struct zr_admission_class loads[2][CLASS_COUNT];
	struct zr_admission_pool pools[2];
	int64_t balances[2][ACCOUNTS];
	int64_t summed_at[2];
	/* Work that was accepted since the last summary, and its rate. */
	double accepted_ms[CLASS_COUNT][ZR_ADMISSION_SHARES];
	double arriving[CLASS_COUNT][ZR_ADMISSION_SHARES];
};

static int64_t objective_ms(const struct class *class)
{
	return (int64_t) class->estimate_ms * class->stretch_permille / 1000 +
	       class->latency_target_ms;
}

static double job_value(const struct class *class)
{
	return (double)class->tasks * class->estimate_ms;
}

static size_t tick_of(const struct day *day, int64_t at)
{
	size_t tick = (size_t)((at - START_MS + TICK_MS - 1) / TICK_MS);

	return tick < day->tick_count ? tick : day->tick_count - 1;
}

static struct flood_class *class_result(struct day *day, const struct job *job)
{
	return job->account < HOT_ACCOUNTS ? &day->result.hot[job->class]
					   : &day->result.calm[job->class];
}

/* Arrivals */

static void add_arrival(struct day *day, struct job *job, int64_t at)
{
	size_t tick = tick_of(day, at);

	job->next = day->arrivals[tick];
	day->arrivals[tick] = job;
}

/* Usual rate of an account, in jobs of a class per second. */
static double usual_rate(const struct day *day, int class)
{
	double slot_s = SLOTS * day->options->load_percent / 100.0 *
			classes[class].load_part / ACCOUNTS;

	return slot_s * 1000 / job_value(&classes[class]) /
	       classes[class].run_factor;
}

static bool in_flood(const struct day *day, double at_s)
{
	double seconds = day->options->seconds;

	return at_s >= seconds / 4 && at_s < seconds * 3 / 4;
}

static double rate_at(const struct day *day, int account, int class,
		      double at_s)
{
	double rate = usual_rate(day, class);

	if (!in_flood(day, at_s))
		return rate;
	if (account < HOT_ACCOUNTS)
		rate *= day->options->flood_factor;
	if (!class)
		rate *= day->options->urgent_factor;
	return rate;
}

static void add_arrivals(struct day *day, int account, int class)
{
	double at_s = 0;
	double rate = rate_at(day, account, class, 0);

	for (;;) {
		struct job *job;

		at_s += rng_exponential(&day->rng, 1 / rate);
		if (at_s >= day->options->seconds)
			return;
		rate = rate_at(day, account, class, at_s);
		job = calloc(1, sizeof(*job));
		if (!job)
			abort();
		job->class = class;
		job->account = account;
		job->hash = rng_next(&day->rng);
		job->first_sent_at = START_MS + (int64_t)(at_s * 1000);
		job->waiting = classes[class].tasks;
		class_result(day, job)->submitted++;
		day->total_value += job_value(&classes[class]);
		add_arrival(day, job, job->first_sent_at);
	}
}

/* The owner's summary */

/* As load_summary.c smooths the rate. */
static void sum_arrivals(struct day *day, struct zr_admission_class *load,
			 int class)
{
	int share;

	for (share = 0; share < ZR_ADMISSION_SHARES; share++) {
		double rate =
			day->accepted_ms[class][share] / SUMMARY_INTERVAL_MS;

		day->arriving[class][share] +=
			(rate - day->arriving[class][share]) *
			SUMMARY_INTERVAL_MS / ARRIVAL_MEMORY_MS;
		day->accepted_ms[class][share] = 0;
		load->arriving_permille[share] =
			(uint32_t)(day->arriving[class][share] *
				   load->run_permille);
	}
}

static enum zr_cell_tier tier_of(const struct day *day, const struct job *job)
{
	const struct class *class = &classes[job->class];
	struct zr_cell_step_spec step = {.count = class->tasks,
					 .estimate_ms = class->estimate_ms};
	struct zr_cell_step_state state = {.spec = &step,
					   .waiting = job->waiting};
	const struct zr_cell_job cell_job = {
		.spec = {.steps = &step, .step_count = 1},
		.steps = &state,
		.step_count = 1,
		.priority = (uint32_t)job->class,
		.stretch_permille = class->stretch_permille,
		.latency_target_ms = class->latency_target_ms,
		.accepted_at = job->accepted_at,
		.over_share = job->over_share,
	};

	return zr_cell_priority_tier(&cell_job, day->now);
}

static void sum_waiting(struct day *day, double sums[][ZR_ADMISSION_TIERS])
{
	size_t i;

	for (i = 0; i < day->waiting_count; i++) {
		const struct job *job = day->waiting[i];
		const struct class *class = &classes[job->class];
		enum zr_cell_tier tier = tier_of(day, job);

		if (tier == ZR_CELL_TIER_WORTHLESS)
			continue;
		sums[job->class][tier] +=
			(double)job->waiting * class->estimate_ms / SLOTS;
	}
}

static void make_summary(struct day *day)
{
	double sums[CLASS_COUNT][ZR_ADMISSION_TIERS] = {{0}};
	struct zr_admission_pool *pool = &day->pools[1];
	int class;
	int tier;
	int i;

	day->pools[0] = day->pools[1];
	day->pools[0].classes = day->loads[0];
	day->summed_at[0] = day->summed_at[1];
	memcpy(day->loads[0], day->loads[1], sizeof(day->loads[0]));
	memcpy(day->balances[0], day->balances[1], sizeof(day->balances[0]));
	day->summed_at[1] = day->now;
	sum_waiting(day, sums);
	pool->capacity[0] = (uint64_t)SLOTS * SLOT_MILLICPUS;
	pool->used_permille[0] = 1000 - day->free_slots * 1000 / SLOTS;
	pool->classes = day->loads[1];
	pool->class_count = CLASS_COUNT;
	for (class = 0; class < CLASS_COUNT; class ++) {
		struct zr_admission_class *load = &day->loads[1][class];

		load->priority = (uint32_t) class;
		load->run_permille =
			zr_run_times_quantile(&day->run_times[class], 50);
		load->tail_permille =
			zr_run_times_quantile(&day->run_times[class], 95);
		for (tier = 0; tier < ZR_ADMISSION_TIERS; tier++)
			load->waiting_ms[tier][0] =
				(uint32_t)(sums[class][tier] *
					   load->run_permille / 1000);
		sum_arrivals(day, load, class);
	}
	for (i = 0; i < ACCOUNTS; i++)
		day->balances[1][i] =
			zr_cell_priority_balance(&day->accounts[i], day->now);
}

/* Attempts */

static enum zr_admission_reason decide(struct zr_admission_verdict *out,
				       struct day *day, const struct job *job)
{
	const struct class *class = &classes[job->class];
	struct zr_cell_step_spec step = {
		.count = class->tasks,
		.need = {.millicpus = SLOT_MILLICPUS},
		.estimate_ms = class->estimate_ms,
	};
	const struct zr_cell_job_spec spec = {.steps = &step, .step_count = 1};
	int which = day->now - day->summed_at[1] >= SUMMARY_DELAY_MS;
	struct zr_admission_job submission = {
		.spec = &spec,
		.priority = (uint32_t)job->class,
		.objective_ms = objective_ms(class),
		.advised = true,
		.hash = job->hash,
	};

	day->pools[which].age_ms = day->now - day->summed_at[which];
	submission.over_share = zr_admission_over_share(
		day->balances[which][job->account],
		day->accounts[job->account].weight, day->pools[which].age_ms);
	zr_admission_decide(out, &day->pools[which], &submission);
	return out->reason;
}

static void append_waiting(struct day *day, struct job *job)
{
	if (day->waiting_count == day->waiting_alloc) {
		day->waiting_alloc =
			day->waiting_alloc ? 2 * day->waiting_alloc : 1024;
		day->waiting =
			realloc(day->waiting,
				day->waiting_alloc * sizeof(struct job *));
		if (!day->waiting)
			abort();
	}
	day->waiting[day->waiting_count++] = job;
}

static void accept_job(struct day *day, struct job *job)
{
	day->result.held += job->obeyed;
	class_result(day, job)->accepted++;
	job->accepted_at = day->now;
	job->over_share = !zr_cell_priority_charge(&day->accounts[job->account],
						   day->now);
	job->rank = INT64_MAX;
	day->accepted_ms[job->class][job->over_share] +=
		job_value(&classes[job->class]) / SLOTS;
	append_waiting(day, job);
}

/* Retry-After is in whole seconds. */
static void retry_later(struct day *day, struct job *job,
			uint32_t retry_after_ms)
{
	int64_t due_at =
		day->now + ((int64_t)retry_after_ms + 999) / 1000 * 1000;

	day->result.rejected++;
	if (++job->attempts == ATTEMPTS_MAX ||
	    due_at > job->first_sent_at + CALLER_TIMEOUT_MS) {
		free(job);
		return;
	}
	job->obeyed = true;
	add_arrival(day, job, due_at);
}

static void process_arrivals(struct day *day)
{
	size_t tick = tick_of(day, day->now);
	struct job *job = day->arrivals[tick];

	day->arrivals[tick] = NULL;
	while (job) {
		struct zr_admission_verdict verdict;
		struct job *next = job->next;

		day->result.returned += job->obeyed;
		if (day->options->admission &&
		    decide(&verdict, day, job) != ZR_ADMISSION_ACCEPTED)
			retry_later(day, job, verdict.retry_after_ms);
		else
			accept_job(day, job);
		job = next;
	}
}

/* Runs */

static void start_task(struct day *day, struct job *job)
{
	const struct class *class = &classes[job->class];
	struct end *end = calloc(1, sizeof(*end));
	double factor = class->run_factor * (0.9 + 0.2 * rng_unit(&day->rng));
	size_t tick;

	if (!end)
		abort();
	if (!class->gang &&
	    rng_below(&day->rng, 100) < day->options->tail_percent)
		factor *= 7;
	end->job = job;
	end->run_ms = (uint32_t)(class->estimate_ms * factor);
	/* From the end of a run until the owner knows of it. */
	tick = tick_of(day, day->now + end->run_ms + 30);
	end->next = day->ends[tick];
	day->ends[tick] = end;
	day->free_slots--;
	job->waiting--;
}

static int by_rank(const void *a, const void *b)
{
	const struct job *first = *(struct job *const *)a;
	const struct job *second = *(struct job *const *)b;

	if (first->rank != second->rank)
		return first->rank < second->rank ? -1 : 1;
	return (first->accepted_at > second->accepted_at) -
	       (first->accepted_at < second->accepted_at);
}

static void sort_waiting(struct day *day)
{
	size_t i;

	for (i = 0; i < day->waiting_count; i++)
		day->waiting[i]->rank =
			(int64_t)tier_of(day, day->waiting[i]) * CLASS_COUNT +
			day->waiting[i]->class;
	if (day->waiting_count)
		qsort(day->waiting, day->waiting_count, sizeof(struct job *),
		      by_rank);
}

/* A gang waits for all its slots, which others cannot take meanwhile. */
static void place(struct day *day)
{
	size_t kept = 0;
	size_t i;

	for (i = 0; i < day->waiting_count; i++) {
		struct job *job = day->waiting[i];
		bool fits = !classes[job->class].gang ||
			    day->free_slots >= job->waiting;

		while (fits && day->free_slots && job->waiting)
			start_task(day, job);
		if (job->waiting)
			day->waiting[kept++] = job;
		if (!fits || !day->free_slots) {
			i++;
			break;
		}
	}
	for (; i < day->waiting_count; i++)
		day->waiting[kept++] = day->waiting[i];
	day->waiting_count = kept;
}

static void end_job(struct day *day, struct job *job)
{
	const struct class *class = &classes[job->class];
	struct flood_class *result = class_result(day, job);
	int64_t took_ms = day->now - job->first_sent_at;

	if (took_ms <= objective_ms(class)) {
		result->on_time++;
		day->value += job_value(class);
	} else if (took_ms <= WORTHLESS_FACTOR * objective_ms(class)) {
		result->late++;
		day->value += LATE_VALUE * job_value(class);
	}
	free(job);
}

static void process_ends(struct day *day)
{
	size_t tick = tick_of(day, day->now);
	struct end *end = day->ends[tick];

	day->ends[tick] = NULL;
	while (end) {
		struct end *next = end->next;
		struct job *job = end->job;

		day->free_slots++;
		zr_run_times_add(&day->run_times[job->class],
				 classes[job->class].estimate_ms, end->run_ms);
		if (++job->done == classes[job->class].tasks)
			end_job(day, job);
		free(end);
		end = next;
	}
}

static void count_worthless(struct flood_class *class)
{
	class->worthless = class->accepted - class->on_time - class->late;
}

static void set_up(struct day *day)
{
	int account;
	int class;

	/* Arrivals and what is left of them after the day's end. */
	day->tick_count = (day->options->seconds + 120) * 1000 / TICK_MS + 1;
	day->arrivals = calloc(day->tick_count, sizeof(struct job *));
	day->ends = calloc(day->tick_count, sizeof(struct end *));
	if (!day->arrivals || !day->ends)
		abort();
	for (account = 0; account < ACCOUNTS; account++) {
		double rate = 0;

		for (class = 0; class < CLASS_COUNT; class ++) {
			rate += usual_rate(day, class);
			add_arrivals(day, account, class);
		}
		day->accounts[account].weight =
			(uint32_t)(rate * SHARE_FACTOR + 1);
	}
}

struct flood_result run_flood(const struct flood_options *options)
{
	struct day day = {
		.options = options,
		.rng = {options->seed},
		.now = START_MS,
		.free_slots = SLOTS,
		.summed_at = {START_MS, START_MS},
	};
	int i;

	set_up(&day);
	for (; tick_of(&day, day.now) + 1 < day.tick_count;
	     day.now += TICK_MS) {
		process_ends(&day);
		process_arrivals(&day);
		if ((day.now - START_MS) % SORT_INTERVAL_MS == 0)
			sort_waiting(&day);
		place(&day);
		if ((day.now - START_MS) % SUMMARY_INTERVAL_MS == 0)
			make_summary(&day);
	}
	for (i = 0; i < CLASS_COUNT; i++) {
		count_worthless(&day.result.calm[i]);
		count_worthless(&day.result.hot[i]);
	}
	day.result.value_percent = 100 * day.value / day.total_value;
	free(day.arrivals);
	free(day.ends);
	free(day.waiting);
	return day.result;
}

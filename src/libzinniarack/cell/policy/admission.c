#include "admission.h"

#include <string.h>

/* A job has no value after this multiple of its objective. */
#define WORTHLESS_FACTOR 3
#define PERMILLE 1000
/*
 * Used part of a resource from which the pool is full. A full pool does not
 * reach 1000: the adviser permits only some workers for a step, gangs reserve
 * capacity, and the next task starts some time after the end of the last.
 */
#define FULL_PERMILLE 700
/*
 * Part of the waiting work that counts against jobs within the share. Some of
 * it is cancelled, ends early or can run only later.
 */
#define EARLY_PERMILLE 800
/* Part of the workers that the adviser permits for a step. */
#define PERMITTED_PERMILLE 250
/*
 * Part of a job's objective: if work above the shares waits for longer, jobs
 * above the shares compete with each other.
 */
#define CONTENTION_PERMILLE 100
/* More steps than these are not examined. */
#define STEPS_MAX 64
/*
 * Part of the capacity that is left for waiting work in any case; that which is
 * left for jobs within the share, since the jobs of higher priorities may cease
 * to arrive.
 */
#define DRAIN_PERMILLE_MIN 100
#define EARLY_DRAIN_PERMILLE_MIN 500
/*
 * Retries: time beyond that in which the surplus drains, and the width over
 * which callers are spread at least. If less than RETRY_DRAIN_PERMILLE of the
 * capacity drains it, the rate of arrivals has to change first: that takes
 * RETRY_LATER_MS at least, and RETRY_LATER_PERMILLE is assumed to drain it
 * then.
 */
#define RETRY_MARGIN_MS 250
#define RETRY_SPREAD_MIN_MS 1000
#define RETRY_DRAIN_PERMILLE 250
#define RETRY_LATER_PERMILLE 500
#define RETRY_LATER_MS 10000
#define RETRY_MAX_MS 60000

/* What is known of a job before it runs. */
struct demand {
	bool needed[ZR_ADMISSION_RESOURCES];
	int64_t path_ms; /* longest chain of steps, by the estimates */
	int64_t work_ms; /* time that the whole pool needs, by the estimates */
};

static int64_t max_int64(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

static int64_t min_int64(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

static int64_t scale(int64_t value, int64_t permille)
{
	return value * permille / PERMILLE;
}

bool zr_admission_is_full(const struct zr_admission_pool *pool)
{
	int i;

	for (i = 0; i < ZR_ADMISSION_RESOURCES; i++) {
		if (pool->capacity[i] &&
		    pool->used_permille[i] >= FULL_PERMILLE)
			return true;
	}
	return false;
}

/*
 * Steps whose run time or workers are not known: without an estimate, without
 * an end, or with a label, whose workers may be less loaded than the pool.
 */
static bool is_predictable(const struct zr_cell_step_spec *step)
{
	return step->estimate_ms && !step->label[0] &&
	       !(step->flags & (ZR_STEP_LONG_RUNNING | ZR_STEP_BEST_EFFORT));
}

static void add_work(struct demand *demand, int64_t *work_ms,
		     const struct zr_cell_step_spec *step,
		     const struct zr_admission_pool *pool)
{
	const uint32_t need[ZR_ADMISSION_RESOURCES] = {step->need.millicpus,
						       step->need.memory_mb,
						       step->need.accelerators};
	int i;

	for (i = 0; i < ZR_ADMISSION_RESOURCES; i++) {
		if (!need[i] || !pool->capacity[i])
			continue;
		demand->needed[i] = true;
		work_ms[i] += (int64_t)((double)step->count * need[i] *
					step->estimate_ms /
					(double)pool->capacity[i]);
	}
}

/* Returns whether the demand of the job is known. */
static bool measure_demand(struct demand *out,
			   const struct zr_cell_job_spec *spec,
			   const struct zr_admission_pool *pool)
{
	int64_t work_ms[ZR_ADMISSION_RESOURCES] = {0};
	int64_t ends[STEPS_MAX];
	uint32_t i;
	uint32_t j;

	memset(out, 0, sizeof(*out));
	if (spec->repeats || !spec->step_count || spec->step_count > STEPS_MAX)
		return false;
	for (i = 0; i < spec->step_count; i++) {
		const struct zr_cell_step_spec *step = &spec->steps[i];

		if (!is_predictable(step))
			return false;
		ends[i] = 0;
		for (j = 0; j < step->depends_on_count; j++) {
			if (step->depends_on[j] < i)
				ends[i] = max_int64(ends[i],
						    ends[step->depends_on[j]]);
		}
		ends[i] += step->estimate_ms;
		out->path_ms = max_int64(out->path_ms, ends[i]);
		add_work(out, work_ms, step, pool);
	}
	for (i = 0; i < ZR_ADMISSION_RESOURCES; i++)
		out->work_ms = max_int64(out->work_ms, work_ms[i]);
	return true;
}

static const struct zr_admission_class *
find_class(const struct zr_admission_pool *pool, uint32_t priority)
{
	size_t i;

	for (i = 0; i < pool->class_count; i++) {
		if (pool->classes[i].priority == priority)
			return &pool->classes[i];
	}
	return NULL;
}

/*
 * Time until the tasks of a tier have been placed. Resources that the job does
 * not need, or of which the pool has free capacity, do not delay it.
 */
static int64_t drain_ms(const struct zr_admission_pool *pool,
			const struct demand *demand,
			enum zr_admission_tier tier, uint32_t max_priority)
{
	int64_t max = 0;
	size_t j;
	int i;

	for (i = 0; i < ZR_ADMISSION_RESOURCES; i++) {
		int64_t sum = 0;

		if (!demand->needed[i] ||
		    pool->used_permille[i] < FULL_PERMILLE)
			continue;
		for (j = 0; j < pool->class_count; j++) {
			if (pool->classes[j].priority <= max_priority)
				sum += pool->classes[j].waiting_ms[tier][i];
		}
		max = max_int64(max, sum);
	}
	return max;
}

/*
 * Time until the account's own limit has capacity for the job; 0 if the limit
 * is not used up.
 */
static int64_t limit_wait_ms(const struct zr_admission_job *job)
{
	int64_t sum = 0;
	size_t i;

	for (i = 0; i < job->limit_count; i++) {
		const struct zr_admission_limit *limit = &job->limits[i];
		bool ranks_before = limit->priority <= job->priority;

		if (ranks_before || job->over_share)
			sum += limit->on_time_ms;
		if (ranks_before && job->over_share)
			sum += limit->behind_ms;
	}
	return sum;
}

/*
 * Capacity that new work of higher priorities than @priority leaves: of
 * accounts within their share, or @above it.
 */
static int64_t left_permille(const struct zr_admission_pool *pool,
			     enum zr_admission_share share, uint32_t priority)
{
	int64_t left = PERMILLE;
	size_t i;

	for (i = 0; i < pool->class_count; i++) {
		const struct zr_admission_class *class = &pool->classes[i];

		if (class->priority < priority)
			left -= class->arriving_permille[share];
		if (share == ZR_ADMISSION_ABOVE)
			left -= class->arriving_permille[ZR_ADMISSION_WITHIN];
	}
	return max_int64(left, DRAIN_PERMILLE_MIN);
}

/*
 * @left: capacity that new work leaves which ranks before the job, and @drain:
 * that which leaves new work of the job's own class too. The limit is met when
 * the surplus has drained.
 */
static void reject(struct zr_admission_verdict *out,
		   enum zr_admission_reason reason, int64_t left, int64_t drain,
		   const struct zr_admission_job *job)
{
	int64_t surplus_ms = (out->finish_ms - out->limit_ms) * left;
	int64_t retry_ms = surplus_ms / drain;

	if (drain < RETRY_DRAIN_PERMILLE)
		retry_ms = max_int64(surplus_ms / RETRY_LATER_PERMILLE,
				     RETRY_LATER_MS);
	retry_ms = min_int64(retry_ms, WORTHLESS_FACTOR * job->objective_ms);
	retry_ms += (int64_t)(job->hash %
			      (uint64_t)max_int64(retry_ms / 2,
						  RETRY_SPREAD_MIN_MS)) +
		    RETRY_MARGIN_MS;
	out->reason = reason;
	out->retry_after_ms = (uint32_t)min_int64(retry_ms, RETRY_MAX_MS);
}

/*
 * Only work of the same or a higher priority delays a job within the share.
 * That which is late already does so only if the job becomes late itself.
 */
static void decide_within_share(struct zr_admission_verdict *out,
				const struct zr_admission_pool *pool,
				const struct zr_admission_job *job,
				const struct zr_admission_class *class,
				const struct demand *demand)
{
	int64_t run_ms = scale(max_int64(demand->path_ms, demand->work_ms),
			       class->run_permille);
	int64_t left = max_int64(
		left_permille(pool, ZR_ADMISSION_WITHIN, job->priority),
		EARLY_DRAIN_PERMILLE_MIN);
	int64_t ahead_ms =
		drain_ms(pool, demand, ZR_ADMISSION_ON_TIME, job->priority);

	if (ahead_ms + run_ms > job->objective_ms)
		ahead_ms += drain_ms(pool, demand, ZR_ADMISSION_LATE,
				     job->priority);
	ahead_ms = max_int64(ahead_ms * PERMILLE / left, limit_wait_ms(job));
	out->wait_ms =
		max_int64(0, scale(ahead_ms, EARLY_PERMILLE) - pool->age_ms);
	out->finish_ms = out->wait_ms + run_ms;
	out->limit_ms = WORTHLESS_FACTOR * job->objective_ms;
	if (out->wait_ms && out->finish_ms > out->limit_ms)
		reject(out, ZR_ADMISSION_REJECTED_OVERLOAD,
		       left * PERMILLE / EARLY_PERMILLE,
		       left_permille(pool, ZR_ADMISSION_WITHIN,
				     job->priority + 1),
		       job);
}

/* Run time of a job above the share, most of whose steps find few workers. */
static int64_t slow_run_ms(const struct zr_admission_job *job,
			   const struct demand *demand)
{
	int64_t work_ms = demand->work_ms;

	if (job->advised)
		work_ms = work_ms * PERMILLE / PERMITTED_PERMILLE;
	return max_int64(demand->path_ms, work_ms);
}

/*
 * All work within the shares and that of the same or a higher priority above
 * them delays a job above the share. A run time that exceeds the limit by
 * itself is no ground for a rejection, since waiting is not the cause.
 */
static void decide_over_share(struct zr_admission_verdict *out,
			      const struct zr_admission_pool *pool,
			      const struct zr_admission_job *job,
			      const struct zr_admission_class *class,
			      const struct demand *demand)
{
	int64_t over_ms =
		drain_ms(pool, demand, ZR_ADMISSION_OVER_SHARE, job->priority);
	int64_t left = left_permille(pool, ZR_ADMISSION_ABOVE, job->priority);
	int64_t run_ms = slow_run_ms(job, demand);
	int64_t tail_ms = scale(run_ms, class->tail_permille);

	run_ms = scale(run_ms, class->run_permille);
	out->wait_ms =
		over_ms +
		drain_ms(pool, demand, ZR_ADMISSION_ON_TIME, UINT32_MAX) +
		drain_ms(pool, demand, ZR_ADMISSION_LATE, UINT32_MAX);
	out->wait_ms =
		max_int64(out->wait_ms * PERMILLE / left, limit_wait_ms(job));
	out->limit_ms = job->objective_ms;
	out->finish_ms = out->wait_ms + run_ms;
	over_ms = max_int64(over_ms, limit_wait_ms(job));
	if (run_ms > job->objective_ms ||
	    over_ms <= scale(job->objective_ms, CONTENTION_PERMILLE)) {
		out->limit_ms = WORTHLESS_FACTOR * job->objective_ms;
		if (tail_ms <= out->limit_ms)
			out->finish_ms = out->wait_ms + tail_ms;
	}
	if (out->wait_ms && out->finish_ms > out->limit_ms)
		reject(out, ZR_ADMISSION_REJECTED_OVER_SHARE, left,
		       left_permille(pool, ZR_ADMISSION_ABOVE,
				     job->priority + 1),
		       job);
}

void zr_admission_decide(struct zr_admission_verdict *out,
			 const struct zr_admission_pool *pool,
			 const struct zr_admission_job *job)
{
	const struct zr_admission_class *class =
		find_class(pool, job->priority);
	struct demand demand;

	memset(out, 0, sizeof(*out));
	if (pool->age_ms < 0 || pool->age_ms > ZR_ADMISSION_AGE_MAX_MS ||
	    job->objective_ms <= 0 || !class || !class->run_permille ||
	    (!zr_admission_is_full(pool) && !job->limit_count) ||
	    !measure_demand(&demand, job->spec, pool))
		return;
	if (job->over_share)
		decide_over_share(out, pool, job, class, &demand);
	else
		decide_within_share(out, pool, job, class, &demand);
}

bool zr_admission_over_share(int64_t credit, uint32_t weight, int64_t age_ms)
{
	return weight && credit + age_ms * weight < PERMILLE;
}

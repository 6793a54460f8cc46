#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "cell/counts.h"
#include "cell/plan.h"
#include "cell/policy/admission.h"
#include "zinniarack/log.h"

/*
 * Publishes, for the front ends of all hosts, the number of waiting jobs of
 * each queue and, if admission control is on, a summary of the load. Both are
 * one record, which the journal adds to a transaction that it sends anyway.
 *
 * The summary errs on the side of too little load: of an account's waiting work
 * only what its upper limit allows to run at once is counted, steps whose
 * earlier steps have not ended are left out, and so is work whose run times are
 * not known.
 */

#define INTERVAL_MS 600
/* While the cell is full, decisions depend on a recent summary. */
#define FULL_INTERVAL_MS 200
/*
 * Time from the load of the jobs after a takeover until the first summary, in
 * which the owner polls the workers and places what has waited.
 */
#define SETTLE_MS 2000
/* Classes of all pools together, so that the summary stays below 4 KiB. */
#define CLASSES_MAX 24
/* Used part of an upper limit from which the limit delays an account's work. */
#define LIMIT_FULL_PERMILLE 900
/* Time constant of the rate at which work arrives. */
#define ARRIVAL_MEMORY_MS 2000
#define MEDIAN_PERCENT 50
#define TAIL_PERCENT 95
#define PERMILLE 1000

_Static_assert(ZR_CELL_POOLS_MAX == ZX_CELL_LOAD_POOLS_MAX,
	       "the record has room for all pools");

/* Sums of one priority: need times run time, in milliseconds. */
struct class_sum {
	bool present;
	double waiting[ZR_ADMISSION_TIERS][ZR_ADMISSION_RESOURCES];
};

struct pool_sum {
	const char *name;
	double capacity[ZR_ADMISSION_RESOURCES];
	double used[ZR_ADMISSION_RESOURCES];
	struct class_sum classes[ZR_CELL_PRIORITIES];
};

/* Waiting work of a client account, whatever its upper limit is. */
struct account_sum {
	struct zr_cell_client_state *client;
	uint64_t counted[ZR_ADMISSION_RESOURCES]; /* of its limit, by waiting */
	double on_time[ZR_CELL_PRIORITIES][ZR_ADMISSION_RESOURCES];
	double behind[ZR_CELL_PRIORITIES][ZR_ADMISSION_RESOURCES];
};

struct summary {
	struct zr_cell_scheduler *scheduler;
	int64_t now;
	uint32_t run_permille[ZR_CELL_PRIORITIES];
	uint32_t tail_permille[ZR_CELL_PRIORITIES];
	struct pool_sum pools[ZR_CELL_POOLS_MAX];
	size_t pool_count;
	struct account_sum *accounts;
	size_t account_count;
};

/* Numbers of waiting jobs */

struct queue_count {
	char name[ZR_NAME_MAX];
	uint32_t jobs;
	UT_hash_handle hh;
};

static void count_job(struct queue_count **counts,
		      const struct zr_cell_job *job)
{
	struct queue_count *count;

	if (job->has_started || zr_cell_job_has_ended(job))
		return;
	HASH_FIND_STR(*counts, job->queue, count);
	if (!count) {
		count = calloc(1, sizeof(*count));
		if (!count)
			abort();
		snprintf(count->name, sizeof(count->name), "%s", job->queue);
		HASH_ADD_STR(*counts, name, count);
	}
	count->jobs++;
}

/* Lists the queues in which jobs wait. The names are those of @counts. */
static void list_counts(zx_cell_counts *record, struct queue_count *counts)
{
	struct queue_count *count;
	struct queue_count *next;

	record->queues.queues_val = calloc(HASH_COUNT(counts) + 1,
					   sizeof(*record->queues.queues_val));
	if (!record->queues.queues_val)
		abort();
	HASH_ITER (hh, counts, count, next) {
		zx_cell_count *entry =
			&record->queues.queues_val[record->queues.queues_len++];

		entry->queue = count->name;
		entry->jobs = count->jobs;
	}
}

static void free_counts(struct queue_count *counts)
{
	struct queue_count *count;
	struct queue_count *next;

	HASH_ITER (hh, counts, count, next) {
		HASH_DEL(counts, count);
		free(count);
	}
}

/* Sums */

uint32_t zr_cell_class_of(uint32_t priority)
{
	return priority < ZR_CELL_PRIORITIES ? priority
					     : ZR_CELL_PRIORITIES - 1;
}

static struct pool_sum *get_or_add_pool(struct summary *summary,
					const char *name)
{
	struct pool_sum *pool;
	size_t i;

	for (i = 0; i < summary->pool_count; i++) {
		if (!strcmp(summary->pools[i].name, name))
			return &summary->pools[i];
	}
	if (summary->pool_count == ZR_CELL_POOLS_MAX)
		return NULL;
	pool = &summary->pools[summary->pool_count++];
	pool->name = name;
	return pool;
}

/* Counts the workers that accepted tasks in the last planning pass. */
static void add_workers(struct summary *summary)
{
	struct zr_cell_worker *worker;
	struct zr_cell_worker *next;

	HASH_ITER (hh, summary->scheduler->term.model.worker_by_name, worker,
		   next) {
		const struct zr_resources *capacity = &worker->report.capacity;
		struct pool_sum *pool;

		if (!worker->registered || !worker->candidate_index)
			continue;
		pool = get_or_add_pool(summary, worker->report.pool);
		if (!pool)
			continue;
		pool->capacity[ZR_ADMISSION_MILLICPUS] += capacity->millicpus;
		pool->capacity[ZR_ADMISSION_MEMORY] += capacity->memory_mb;
		pool->capacity[ZR_ADMISSION_ACCELERATORS] +=
			capacity->accelerators;
		pool->used[ZR_ADMISSION_MILLICPUS] +=
			(double)worker->used_millicpus;
		pool->used[ZR_ADMISSION_MEMORY] +=
			(double)worker->used_memory_mb;
		pool->used[ZR_ADMISSION_ACCELERATORS] +=
			(double)worker->used_accelerators;
	}
}

static void list_accounts(struct summary *summary)
{
	struct zr_cell_model *model = &summary->scheduler->term.model;
	zr_handle handle = ZR_HANDLE_NONE;

	summary->accounts = calloc(zr_table_count(model->clients) + 1,
				   sizeof(*summary->accounts));
	if (!summary->accounts)
		abort();
	while ((handle = zr_table_next(model->clients, handle)))
		summary->accounts[summary->account_count++].client =
			zr_cell_client(model, handle);
}

static struct account_sum *
find_account(const struct summary *summary,
	     const struct zr_cell_client_state *client)
{
	size_t i;

	for (i = 0; i < summary->account_count; i++) {
		if (summary->accounts[i].client == client)
			return &summary->accounts[i];
	}
	return NULL;
}

/* Number of waiting tasks that the limit of their account allows to run. */
static uint32_t count_allowed(struct account_sum *account,
			      const struct zr_cell_step_state *step)
{
	const struct zr_resources *need = &step->spec->need;
	struct zr_cell_client_state client = *account->client;
	uint32_t count;

	client.used_millicpus += account->counted[ZR_ADMISSION_MILLICPUS];
	client.used_memory_mb += account->counted[ZR_ADMISSION_MEMORY];
	client.used_accelerators += account->counted[ZR_ADMISSION_ACCELERATORS];
	count = zr_cell_client_remaining_tasks(&client, need);
	if (count > step->waiting)
		count = step->waiting;
	account->counted[ZR_ADMISSION_MILLICPUS] +=
		(uint64_t)count * need->millicpus;
	account->counted[ZR_ADMISSION_MEMORY] +=
		(uint64_t)count * need->memory_mb;
	account->counted[ZR_ADMISSION_ACCELERATORS] +=
		(uint64_t)count * need->accelerators;
	return count;
}

static void add_need(double sums[ZR_ADMISSION_RESOURCES],
		     const struct zr_resources *need, double task_ms)
{
	sums[ZR_ADMISSION_MILLICPUS] += need->millicpus * task_ms;
	sums[ZR_ADMISSION_MEMORY] += need->memory_mb * task_ms;
	sums[ZR_ADMISSION_ACCELERATORS] += need->accelerators * task_ms;
}

/* Whether a step exceeds the limit of its account even if nothing else runs. */
static bool exceeds_limit(const struct zr_cell_client_state *client,
			  const struct zr_cell_step_state *step)
{
	const struct zr_cell_client_state idle = {.limit = client->limit};

	return zr_cell_client_remaining_tasks(&idle, &step->spec->need) <
	       zr_cell_step_least_tasks(step);
}

static void add_step(struct summary *summary,
		     const struct zr_cell_step_state *step)
{
	struct zr_cell_model *model = &summary->scheduler->term.model;
	const struct zr_cell_job *job = zr_cell_job(model, step->job);
	enum zr_cell_tier tier = zr_cell_priority_tier(job, summary->now);
	uint32_t class = zr_cell_class_of(job->priority);
	struct pool_sum *pool = get_or_add_pool(summary, job->terms.pool);
	const struct zr_cell_client_state *client =
		zr_cell_client(model, job->client);
	struct account_sum *account = find_account(summary, client);
	double task_ms = (double)step->spec->estimate_ms *
			 summary->run_permille[class] / PERMILLE;

	if (tier == ZR_CELL_TIER_WORTHLESS || !pool || !account ||
	    !step->waiting || summary->now < step->ready_at)
		return;
	/* It delays nobody as long as it cannot run. */
	if (step->unfit || exceeds_limit(client, step))
		return;
	add_need(tier == ZR_CELL_TIER_ON_TIME ? account->on_time[class]
					      : account->behind[class],
		 &step->spec->need, step->waiting * task_ms);
	/* The tiers of the policy are the first three of the planner. */
	add_need(pool->classes[class].waiting[tier], &step->spec->need,
		 count_allowed(account, step) * task_ms);
}

static void collect(struct summary *summary)
{
	struct zr_cell_scheduler *scheduler = summary->scheduler;
	struct zr_cell_step_state *step;
	uint32_t i;
	size_t j;

	for (i = 0; i < ZR_CELL_PRIORITIES; i++) {
		summary->run_permille[i] = zr_run_times_quantile(
			&scheduler->term.run_times[i], MEDIAN_PERCENT);
		summary->tail_permille[i] = zr_run_times_quantile(
			&scheduler->term.run_times[i], TAIL_PERCENT);
	}
	add_workers(summary);
	list_accounts(summary);
	/* Sorted by rank in the last planning pass. */
	DL_FOREACH(scheduler->term.model.ready, step)
	{
		add_step(summary, step);
	}
	/* Classes of which runs are known, so that their jobs can be judged. */
	for (j = 0; j < summary->pool_count; j++) {
		for (i = 0; i < ZR_CELL_PRIORITIES; i++)
			summary->pools[j].classes[i].present =
				summary->run_permille[i] != 0;
	}
}

/* Rate at which work arrives */

static struct zr_cell_arrivals *
get_or_add_arrivals(struct zr_cell_scheduler *scheduler, const char *pool)
{
	struct zr_cell_arrivals *arrivals;
	size_t i;

	for (i = 0; i < scheduler->term.arrival_count; i++) {
		if (!strcmp(scheduler->term.arrivals[i].pool, pool))
			return &scheduler->term.arrivals[i];
	}
	if (scheduler->term.arrival_count == ZR_CELL_POOLS_MAX)
		return NULL;
	arrivals = &scheduler->term.arrivals[scheduler->term.arrival_count++];
	memset(arrivals, 0, sizeof(*arrivals));
	snprintf(arrivals->pool, sizeof(arrivals->pool), "%s", pool);
	return arrivals;
}

/* A job that was loaded after a takeover is not counted as a new one. */
static void add_arrival(struct zr_cell_scheduler *scheduler,
			struct zr_cell_job *job)
{
	struct zr_cell_arrivals *arrivals =
		get_or_add_arrivals(scheduler, job->terms.pool);
	uint32_t i;

	job->arrival_counted = true;
	if (!scheduler->term.summary_due_at || !arrivals || job->spec.repeats)
		return;
	for (i = 0; i < job->spec.step_count; i++) {
		const struct zr_cell_step_spec *step = &job->spec.steps[i];

		if (!(step->flags & ZR_STEP_LONG_RUNNING) &&
		    !job->steps[i].unfit)
			arrivals->accepted[zr_cell_class_of(job->priority)]
					  [job->over_share] +=
				(double)step->count * step->need.millicpus *
				step->estimate_ms;
	}
}

static void update_rates(struct zr_cell_arrivals *arrivals, double interval_ms)
{
	double weight = interval_ms < ARRIVAL_MEMORY_MS
				? interval_ms / ARRIVAL_MEMORY_MS
				: 1;
	uint32_t i;
	int share;

	for (i = 0; i < ZR_CELL_PRIORITIES; i++) {
		for (share = 0; share < ZR_ADMISSION_SHARES; share++) {
			double *rate = &arrivals->millicpus[i][share];
			double *accepted = &arrivals->accepted[i][share];

			*rate += (*accepted / interval_ms - *rate) * weight;
			*accepted = 0;
		}
	}
}

/* The record */

static uint32_t to_uint32(double value)
{
	if (value >= UINT32_MAX)
		return UINT32_MAX;
	return value > 0 ? (uint32_t)value : 0;
}

static void fill_arriving(zx_cell_class_load *out,
			  const struct summary *summary,
			  const struct pool_sum *pool, uint32_t class)
{
	const struct zr_cell_arrivals *arrivals =
		get_or_add_arrivals(summary->scheduler, pool->name);
	double capacity = pool->capacity[ZR_ADMISSION_MILLICPUS];
	int share;

	for (share = 0; share < ZR_ADMISSION_SHARES; share++) {
		if (arrivals && capacity > 0)
			out->arriving_permille[share] =
				to_uint32(arrivals->millicpus[class][share] *
					  out->run_permille / capacity);
	}
}

static void fill_class(zx_cell_class_load *out, const struct summary *summary,
		       const struct pool_sum *pool, uint32_t class)
{
	int tier;
	int i;

	out->priority = class;
	out->run_permille = summary->run_permille[class];
	out->tail_permille = summary->tail_permille[class];
	fill_arriving(out, summary, pool, class);
	for (tier = 0; tier < ZR_ADMISSION_TIERS; tier++) {
		for (i = 0; i < ZR_ADMISSION_RESOURCES; i++) {
			double ms = 0;

			if (pool->capacity[i] > 0)
				ms = pool->classes[class].waiting[tier][i] /
				     pool->capacity[i];
			out->waiting_ms[tier * ZR_ADMISSION_RESOURCES + i] =
				to_uint32(ms);
		}
	}
}

static void fill_pool(zx_cell_pool_load *out, const struct summary *summary,
		      const struct pool_sum *pool, size_t *class_count)
{
	uint32_t i;

	out->pool = (char *)pool->name;
	for (i = 0; i < ZR_ADMISSION_RESOURCES; i++) {
		out->capacity[i] = (uint64_t)pool->capacity[i];
		if (pool->capacity[i] > 0)
			out->used_permille[i] = to_uint32(
				pool->used[i] * PERMILLE / pool->capacity[i]);
	}
	out->classes.classes_val = calloc(ZX_CELL_LOAD_CLASSES_MAX,
					  sizeof(*out->classes.classes_val));
	if (!out->classes.classes_val)
		abort();
	for (i = 0; i < ZR_CELL_PRIORITIES && *class_count < CLASSES_MAX; i++) {
		if (!pool->classes[i].present)
			continue;
		fill_class(
			&out->classes.classes_val[out->classes.classes_len++],
			summary, pool, i);
		(*class_count)++;
	}
}

static uint64_t used_part(uint64_t used, uint32_t limit)
{
	return limit ? used * PERMILLE / limit : 0;
}

/* Time that the whole limit needs, by the resource that it needs longest. */
static double limit_ms(const struct zr_cell_client_state *client,
		       const double sums[ZR_ADMISSION_RESOURCES])
{
	const uint32_t limits[ZR_ADMISSION_RESOURCES] = {
		client->limit.millicpus, client->limit.memory_mb,
		client->limit.accelerators};
	const uint64_t used[ZR_ADMISSION_RESOURCES] = {
		client->used_millicpus, client->used_memory_mb,
		client->used_accelerators};
	double max = 0;
	int i;

	for (i = 0; i < ZR_ADMISSION_RESOURCES; i++) {
		if (used_part(used[i], limits[i]) >= LIMIT_FULL_PERMILLE &&
		    sums[i] / limits[i] > max)
			max = sums[i] / limits[i];
	}
	return max;
}

static void fill_account(zx_cell_account_load *out,
			 const struct account_sum *account, int64_t now)
{
	const struct zr_cell_client_state *client = account->client;
	uint32_t i;

	out->client = (char *)client->name;
	out->credit = zr_cell_priority_balance(client, now);
	out->weight = client->weight;
	out->limits.limits_val = calloc(ZX_CELL_LOAD_LIMITS_MAX,
					sizeof(*out->limits.limits_val));
	if (!out->limits.limits_val)
		abort();
	for (i = 0; i < ZR_CELL_PRIORITIES &&
		    out->limits.limits_len < ZX_CELL_LOAD_LIMITS_MAX;
	     i++) {
		zx_cell_limit_load *limit =
			&out->limits.limits_val[out->limits.limits_len];

		limit->priority = i;
		limit->on_time_ms =
			to_uint32(limit_ms(client, account->on_time[i]));
		limit->behind_ms =
			to_uint32(limit_ms(client, account->behind[i]));
		if (limit->on_time_ms || limit->behind_ms)
			out->limits.limits_len++;
	}
}

static void fill_load(zx_cell_load *out, const struct summary *summary)
{
	size_t class_count = 0;
	size_t i;

	out->pools.pools_val =
		calloc(ZX_CELL_LOAD_POOLS_MAX, sizeof(*out->pools.pools_val));
	out->accounts.accounts_val = calloc(
		ZX_CELL_LOAD_ACCOUNTS_MAX, sizeof(*out->accounts.accounts_val));
	if (!out->pools.pools_val || !out->accounts.accounts_val)
		abort();
	for (i = 0; i < summary->pool_count; i++)
		fill_pool(&out->pools.pools_val[out->pools.pools_len++],
			  summary, &summary->pools[i], &class_count);
	for (i = 0; i < summary->account_count &&
		    out->accounts.accounts_len < ZX_CELL_LOAD_ACCOUNTS_MAX;
	     i++) {
		zx_cell_account_load *account =
			&out->accounts.accounts_val[out->accounts.accounts_len];

		fill_account(account, &summary->accounts[i], summary->now);
		if (account->limits.limits_len ||
		    zr_admission_over_share(account->credit, account->weight,
					    0))
			out->accounts.accounts_len++;
		else
			free(account->limits.limits_val);
	}
}

/* Frees the lists, not the names, which are those of the model. */
static void free_load(zx_cell_load *load)
{
	u_int i;

	for (i = 0; i < load->pools.pools_len; i++)
		free(load->pools.pools_val[i].classes.classes_val);
	for (i = 0; i < load->accounts.accounts_len; i++)
		free(load->accounts.accounts_val[i].limits.limits_val);
	free(load->pools.pools_val);
	free(load->accounts.accounts_val);
}

static bool has_settled(struct zr_cell_scheduler *scheduler, int64_t now)
{
	if (!scheduler->term.summary_due_at)
		scheduler->term.summary_due_at = now + SETTLE_MS;
	return now >= scheduler->term.summary_due_at;
}

static void publish(struct zr_cell_scheduler *scheduler, int64_t now,
		    int64_t interval_ms)
{
	struct summary summary = {.scheduler = scheduler, .now = now};
	struct queue_count *counts = NULL;
	zx_cell_stored_counts record = {0};
	struct zr_cell_buffer bytes;
	struct zr_cell_job *job;
	struct zr_cell_job *next;
	size_t i;

	HASH_ITER (hh, scheduler->term.model.job_by_id, job, next) {
		count_job(&counts, job);
		if (!job->arrival_counted)
			add_arrival(scheduler, job);
	}
	list_counts(&record.counts, counts);
	for (i = 0; i < scheduler->term.arrival_count; i++)
		update_rates(&scheduler->term.arrivals[i], (double)interval_ms);
	if (scheduler->options.admission && has_settled(scheduler, now)) {
		collect(&summary);
		fill_load(&record.load, &summary);
		scheduler->term.summary_full =
			zr_cell_load_is_full(&record.load);
	}
	if (!zr_cell_encode_counts(&bytes, &record))
		zr_cell_journal_set_counts(scheduler->journal, bytes);
	free_load(&record.load);
	free(summary.accounts);
	free(record.counts.queues.queues_val);
	free_counts(counts);
}

void zr_cell_summary_process(struct zr_cell_scheduler *scheduler, int64_t now)
{
	int64_t due_ms =
		scheduler->term.summary_full ? FULL_INTERVAL_MS : INTERVAL_MS;
	int64_t interval_ms = now - scheduler->term.counts_published_at;

	if (interval_ms < due_ms)
		return;
	scheduler->term.counts_published_at = now;
	if (!scheduler->term.jobs_outdated)
		publish(scheduler, now, interval_ms);
}

void zr_cell_summary_add_run(struct zr_cell_scheduler *scheduler,
			     const struct zr_cell_job *job,
			     uint32_t estimate_ms, int64_t run_ms)
{
	zr_run_times_add(
		&scheduler->term.run_times[zr_cell_class_of(job->priority)],
		estimate_ms, run_ms);
}

#include <math.h>
#include <stdio.h>

#include "decisions/driver_private.h"

/* Samples of the domain while it is full, and the results at the end. */

/* Number of unstarted jobs from which on the domain counts as full. */
#define FULL_UNSTARTED_JOBS 32

/* Accelerators count as full when this part of them is reserved. */
#define FULL_SHARE 0.9

static double max_of(double a, double b)
{
	return a > b ? a : b;
}

static double min_of(double a, double b)
{
	return a < b ? a : b;
}

/* The larger of the shares of processors and of memory. */
static double dominant_share(const double used[2], const double total[2])
{
	return max_of(used[0] / total[0], used[1] / total[1]);
}

static void sample_workers(struct driver *driver)
{
	struct zr_sched_worker_info info;
	zr_handle handle = ZR_HANDLE_NONE;
	double reserved[2] = {0};
	double used[2] = {0};
	double total[2] = {0};
	uint32_t accelerators = 0;
	uint32_t overloaded_count = 0;

	while ((handle = driver->engine->worker_next(&info, driver->state,
						     handle))) {
		const struct bench_worker *worker =
			driver_worker_get(driver, handle);

		if (worker->fails)
			continue;
		/*
		 * What is reserved beyond the capacity does not count as
		 * packing.
		 */
		reserved[0] += min_of(info.reserved.millicpus,
				      info.capacity.millicpus);
		reserved[1] += min_of(info.reserved.memory_mb,
				      info.capacity.memory_mb);
		used[0] += worker->used.millicpus;
		used[1] += worker->used.memory_mb;
		accelerators += info.reserved.accelerators;
		total[0] += info.capacity.millicpus;
		total[1] += info.capacity.memory_mb;
		overloaded_count +=
			!zr_resources_fit(&worker->used, &info.capacity);
	}
	driver->accelerators_full =
		accelerators >= FULL_SHARE * driver->scenario->accelerators;
	driver->packing_sum += dominant_share(reserved, total);
	driver->used_sum += dominant_share(used, total);
	driver->overloaded_sum +=
		(double)overloaded_count / driver->scenario->workers;
}

static double ratio(double used, double total)
{
	return total > 0 ? used / total : 0;
}

/*
 * Returns the dominant share of a team over its weight. Shares limit teams only
 * where a resource is scarce, so accelerators do not count while some are free.
 */
static double weighted_share(const struct driver *driver, uint32_t team)
{
	const struct zr_resources *capacity = &driver->scenario->capacity;
	double workers = driver->scenario->workers;
	struct zr_resources usage;
	double share;

	if (driver->engine->team_usage(&usage, driver->state,
				       driver->config->teams[team].name) < 0)
		return 0;
	share = ratio(usage.millicpus, capacity->millicpus * workers);
	share = max_of(share,
		       ratio(usage.memory_mb, capacity->memory_mb * workers));
	if (driver->accelerators_full)
		share = max_of(share, ratio(usage.accelerators,
					    driver->scenario->accelerators));
	return share / driver->config->teams[team].share;
}

void driver_sample(struct driver *driver)
{
	uint32_t i;

	if (driver->unstarted < FULL_UNSTARTED_JOBS)
		return;
	driver->sample_count++;
	sample_workers(driver);
	for (i = 0; i < driver->scenario->teams; i++)
		driver->team_share_sum[i] += weighted_share(driver, i);
}

static void finish_shares(struct driver *driver)
{
	uint32_t teams = driver->scenario->teams;
	double mean = 0;
	uint32_t i;

	for (i = 0; i < teams; i++)
		mean += driver->team_share_sum[i] / teams;
	if (mean <= 0)
		return;
	for (i = 0; i < teams; i++) {
		double error = fabs(driver->team_share_sum[i] / mean - 1);

		driver->out->share_error_mean += error / teams;
		driver->out->share_error_max =
			max_of(driver->out->share_error_max, error);
	}
}

static void finish_deadline(struct driver *driver, const struct bench_job *job)
{
	int64_t deadline = job->arrival->deadline_ms;

	if (!deadline || deadline > driver->scenario->duration_ms)
		return;
	driver->out->deadlines_due++;
	if (!job->succeeded || job->final_at > deadline)
		driver->out->deadlines_missed++;
}

static void finish_job(struct driver *driver, const struct bench_job *job)
{
	struct driver_result *out = driver->out;
	const struct arrival *arrival = job->arrival;

	if (arrival->in_mass_cancel)
		return;
	if (arrival->fault == ARRIVAL_TOO_LARGE) {
		out->too_large++;
		out->parked += job->parked;
		return;
	}
	if (arrival->fault == ARRIVAL_FAILS) {
		out->failing_jobs += job->started;
		out->failing_job_starts += job->starts;
		return;
	}
	finish_deadline(driver, job);
	if (job->started)
		return;
	out->unstarted[arrival->kind]++;
	if (arrival->kind == ARRIVAL_URGENT)
		samples_add(&out->wait_ms[arrival->kind],
			    (uint32_t)(driver->scenario->duration_ms -
				       arrival->arrives_at));
}

static void finish_stats(struct driver *driver)
{
	struct driver_result *out = driver->out;
	struct zr_sched_stats stats;
	uint32_t jobs;

	driver->engine->stats(&stats, driver->state);
	jobs = stats.waiting + stats.parked;
	out->running = stats.running;
	if (stats.decisions)
		out->examined_per_start =
			(double)(stats.workers_examined + stats.jobs_examined) /
			(double)stats.decisions;
	if (stats.running)
		out->task_bytes = (double)stats.task_bytes / stats.running;
	if (jobs)
		out->job_bytes = (double)stats.job_bytes / jobs;
}

void driver_finish(struct driver *driver)
{
	struct driver_result *out = driver->out;
	double samples = driver->sample_count ? driver->sample_count : NAN;
	uint32_t i;

	out->packing = driver->packing_sum / samples;
	out->used = driver->used_sum / samples;
	out->overloaded_share = driver->overloaded_sum / samples;
	out->wasted = driver->cpu_spent > 0
			      ? driver->cpu_wasted / driver->cpu_spent
			      : 0;
	finish_shares(driver);
	for (i = 0; i < driver->jobs_count; i++)
		finish_job(driver, &driver->jobs[i]);
	finish_stats(driver);
	if (driver->model) {
		out->violations = sched_model_total_violations(driver->model);
		snprintf(out->first_violation, sizeof(out->first_violation),
			 "%s", sched_model_first_violation(driver->model));
	}
}

#include <math.h>
#include <stdio.h>

#include "decisions/driver_private.h"

/* What the driver reads off the cell. */

/* The cell counts as full while so many jobs have not started. */
#define FULL_JOBS 32

/* A resource counts as full when this part of it has been given out. */
#define FULL_PART 0.9

static double larger(double a, double b)
{
	return a > b ? a : b;
}

/* Room given past what a worker holds is no packing. */
static double smaller(double a, double b)
{
	return a < b ? a : b;
}

/* The larger part of processors and memory. */
static double dominant(const double used[2], const double whole[2])
{
	return larger(used[0] / whole[0], used[1] / whole[1]);
}

static void sample_workers(struct driver *driver)
{
	struct zr_sched_worker_info info;
	zr_handle handle = ZR_HANDLE_NONE;
	double reserved[2] = {0};
	double used[2] = {0};
	double whole[2] = {0};
	uint32_t accelerators = 0;
	uint32_t over = 0;

	while ((handle = driver->engine->worker_next(&info, driver->state,
						     handle))) {
		const struct bench_worker *worker =
			driver_worker(driver, handle);

		if (worker->fails)
			continue;
		reserved[0] += smaller(info.reserved.millicpus,
				       info.capacity.millicpus);
		reserved[1] += smaller(info.reserved.memory_mb,
				       info.capacity.memory_mb);
		used[0] += worker->used.millicpus;
		used[1] += worker->used.memory_mb;
		accelerators += info.reserved.accelerators;
		whole[0] += info.capacity.millicpus;
		whole[1] += info.capacity.memory_mb;
		over += !zr_resources_fit(&worker->used, &info.capacity);
	}
	driver->accelerators_full =
		accelerators >= FULL_PART * driver->scenario->accelerators;
	driver->packing += dominant(reserved, whole);
	driver->used += dominant(used, whole);
	driver->overloaded += (double)over / driver->scenario->workers;
}

static double part(double used, double whole)
{
	return whole > 0 ? used / whole : 0;
}

/*
 * The largest part of the cell that a team holds of a resource. Shares are for
 * when all is full: idle accelerators count for no team.
 */
static double team_share(const struct driver *driver, uint32_t team)
{
	const struct zr_resources *capacity = &driver->scenario->capacity;
	double workers = driver->scenario->workers;
	struct zr_resources usage;
	double most;

	if (driver->engine->team_usage(&usage, driver->state,
				       driver->config->teams[team].name) < 0)
		return 0;
	most = part(usage.millicpus, capacity->millicpus * workers);
	most = larger(most,
		      part(usage.memory_mb, capacity->memory_mb * workers));
	if (driver->accelerators_full)
		most = larger(most, part(usage.accelerators,
					 driver->scenario->accelerators));
	return most / driver->config->teams[team].share;
}

void driver_sample(struct driver *driver)
{
	uint32_t i;

	if (driver->unstarted < FULL_JOBS)
		return;
	driver->samples++;
	sample_workers(driver);
	for (i = 0; i < driver->scenario->teams; i++)
		driver->team_share[i] += team_share(driver, i);
}

static void finish_shares(struct driver *driver)
{
	uint32_t teams = driver->scenario->teams;
	double mean = 0;
	uint32_t i;

	for (i = 0; i < teams; i++)
		mean += driver->team_share[i] / teams;
	if (mean <= 0)
		return;
	for (i = 0; i < teams; i++) {
		double off = fabs(driver->team_share[i] / mean - 1);

		driver->out->share_mean += off / teams;
		driver->out->share_worst =
			larger(driver->out->share_worst, off);
	}
}

static void finish_deadline(struct driver *driver, const struct bench_job *job)
{
	int64_t deadline = job->arrival->deadline_ms;

	if (!deadline || deadline > driver->scenario->duration_ms)
		return;
	driver->out->deadlines++;
	if (!job->done || job->done_ms > deadline)
		driver->out->missed++;
}

static void finish_job(struct driver *driver, const struct bench_job *job)
{
	struct driver_result *out = driver->out;
	const struct arrival *arrival = job->arrival;

	if (arrival->cancel)
		return;
	if (arrival->fault == ARRIVAL_TOO_LARGE) {
		out->too_large++;
		out->parked += job->parked;
		return;
	}
	if (arrival->fault == ARRIVAL_FAILS) {
		out->hopeless += job->started;
		out->hopeless_starts += job->starts;
		return;
	}
	finish_deadline(driver, job);
	if (job->started)
		return;
	out->unstarted[arrival->kind]++;
	if (arrival->kind == ARRIVAL_URGENT)
		samples_add(&out->wait_ms[arrival->kind],
			    (uint32_t)(driver->scenario->duration_ms -
				       arrival->at_ms));
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
		out->examined =
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
	double samples = driver->samples ? driver->samples : NAN;
	uint32_t i;

	out->packing = driver->packing / samples;
	out->used = driver->used / samples;
	out->overloaded = driver->overloaded / samples;
	out->thrown = driver->spent > 0 ? driver->thrown / driver->spent : 0;
	finish_shares(driver);
	for (i = 0; i < driver->jobs_count; i++)
		finish_job(driver, &driver->jobs[i]);
	finish_stats(driver);
	if (driver->model) {
		out->breaks = sched_model_total_violations(driver->model);
		snprintf(out->first_break, sizeof(out->first_break), "%s",
			 sched_model_first_violation(driver->model));
	}
}

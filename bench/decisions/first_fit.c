#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "decisions/engine.h"

/*
 * The baseline: takes jobs in the order of their arrival and puts each task on
 * the first worker whose unreserved capacity holds its declared size. It starts
 * a gang as a whole, never runs a task twice at a time and parks jobs larger
 * than any worker. A job that does not fit now does not block those behind it.
 * The baseline ignores shares and limits of teams, usage reports and the health
 * of workers, and preempts nothing.
 */

/* Number of waiting jobs examined in one call of decide(). */
#define LOOKAHEAD_JOBS 256
/* Number of failed tasks at which a job fails. */
#define TASK_FAILURES_MAX 3

struct ff_task {
	uint32_t attempt;
	zr_handle worker;
	bool succeeded;
};

/*
 * @queued: the job is in the queue, as a task of it has to be started.
 * @running, @succeeded: numbers of tasks.
 * @failures: number of failed attempts of its tasks.
 * @team: index of its team.
 */
struct ff_job {
	struct ff_job *prev;
	struct ff_job *next;
	bool queued;
	zr_handle handle;
	char id[ZR_JOB_ID_MAX];
	struct zr_job_spec spec;
	struct ff_task *tasks;
	uint32_t running;
	uint32_t succeeded;
	uint32_t failures;
	bool cancelled;
	bool final;
	uint32_t team;
};

/* @used: declared sizes of the running tasks of the team. */
struct ff_team {
	char name[ZR_NAME_MAX];
	struct zr_resources used;
};

/* The handle of a job or worker is its index in the array plus 1. */
struct first_fit {
	struct zr_sched_sink sink;
	struct ff_job **jobs;
	uint32_t jobs_count;
	uint32_t jobs_alloc;
	struct zr_sched_worker_info *workers;
	uint32_t workers_count;
	struct ff_team *teams;
	uint32_t teams_count;
	struct ff_job *queue;
	struct zr_sched_stats stats;
	bool has_more;
};

static int create(void **out, const struct zr_sched_options *options,
		  const struct zr_config *config)
{
	struct first_fit *ff = calloc(1, sizeof(*ff));
	uint32_t i;

	if (!ff)
		return -1;
	ff->sink = options->sink;
	ff->teams = calloc(config->teams_count, sizeof(*ff->teams));
	ff->teams_count = config->teams_count;
	for (i = 0; ff->teams && i < config->teams_count; i++)
		snprintf(ff->teams[i].name, ZR_NAME_MAX, "%s",
			 config->teams[i].name);
	*out = ff;
	return ff->teams ? 0 : -1;
}

static void engine_free(void *engine)
{
	struct first_fit *ff = engine;
	uint32_t i;

	for (i = 0; i < ff->jobs_count; i++) {
		free(ff->jobs[i]->tasks);
		free(ff->jobs[i]);
	}
	free(ff->jobs);
	free(ff->workers);
	free(ff->teams);
	free(ff);
}

static void *resize_array(void *array, uint32_t count, size_t size)
{
	array = realloc(array, count * size);
	if (!array)
		abort();
	return array;
}

static int worker_add(zr_handle *out, void *engine,
		      const struct zr_sched_worker *info)
{
	struct first_fit *ff = engine;
	struct zr_sched_worker_info *worker;

	ff->workers = resize_array(ff->workers, ff->workers_count + 1,
				   sizeof(*ff->workers));
	worker = &ff->workers[ff->workers_count++];
	*worker = (struct zr_sched_worker_info){0};
	worker->capacity = info->capacity;
	*out = ff->workers_count;
	return 0;
}

static uint32_t find_team(const struct first_fit *ff, const char *name)
{
	uint32_t i;

	for (i = 0; i < ff->teams_count; i++) {
		if (!strcmp(ff->teams[i].name, name))
			return i;
	}
	abort();
}

static void enqueue(struct first_fit *ff, struct ff_job *job)
{
	if (job->queued || job->final || job->cancelled)
		return;
	job->queued = true;
	DL_APPEND(ff->queue, job);
}

static void dequeue(struct first_fit *ff, struct ff_job *job)
{
	if (job->queued)
		DL_DELETE(ff->queue, job);
	job->queued = false;
}

static bool fits_idle_worker(const struct first_fit *ff,
			     const struct zr_resources *size)
{
	uint32_t i;

	for (i = 0; i < ff->workers_count; i++) {
		if (zr_resources_fit(size, &ff->workers[i].capacity))
			return true;
	}
	return false;
}

static int job_add(zr_handle *out, void *engine, const char *id,
		   const struct zr_job_spec *spec)
{
	struct first_fit *ff = engine;
	struct ff_job *job = calloc(1, sizeof(*job));

	if (!job)
		abort();
	if (ff->jobs_count == ff->jobs_alloc) {
		ff->jobs_alloc = ff->jobs_alloc ? ff->jobs_alloc * 2 : 1024;
		ff->jobs = resize_array(ff->jobs, ff->jobs_alloc,
					sizeof(struct ff_job *));
	}
	ff->jobs[ff->jobs_count++] = job;
	job->handle = ff->jobs_count;
	job->spec = *spec;
	job->team = find_team(ff, spec->team);
	job->tasks = calloc(spec->tasks, sizeof(*job->tasks));
	snprintf(job->id, sizeof(job->id), "%s", id);
	if (fits_idle_worker(ff, &spec->size))
		enqueue(ff, job);
	else
		ff->sink.job_changed(ff->sink.ctx, job->handle, job->id,
				     ZR_JOB_PARKED, "larger than any worker");
	*out = job->handle;
	return 0;
}

static void set_final_state(struct first_fit *ff, struct ff_job *job,
			    enum zr_job_state state)
{
	dequeue(ff, job);
	job->final = true;
	ff->sink.job_changed(ff->sink.ctx, job->handle, job->id, state,
			     zr_job_state_name(state));
}

static void update_state(struct first_fit *ff, struct ff_job *job)
{
	if (job->final || job->running)
		return;
	if (job->cancelled)
		set_final_state(ff, job, ZR_JOB_CANCELLED);
	else if (job->succeeded == job->spec.tasks)
		set_final_state(ff, job, ZR_JOB_SUCCEEDED);
	else if (job->failures >= TASK_FAILURES_MAX &&
		 job->spec.kind != ZR_JOB_SERVICE)
		set_final_state(ff, job, ZR_JOB_FAILED);
}

static struct zr_sched_task task_info(const struct ff_job *job, uint32_t index)
{
	const struct zr_sched_task info = {
		.job = job->handle,
		.job_id = job->id,
		.index = index,
		.attempt = job->tasks[index].attempt,
		.worker = job->tasks[index].worker,
		.reserved = job->spec.size,
	};

	return info;
}

static int job_cancel(void *engine, zr_handle handle)
{
	struct first_fit *ff = engine;
	struct ff_job *job = ff->jobs[handle - 1];
	uint32_t i;

	if (job->final)
		return -1;
	job->cancelled = true;
	dequeue(ff, job);
	for (i = 0; i < job->spec.tasks; i++) {
		struct zr_sched_task info = task_info(job, i);

		if (info.worker)
			ff->sink.stop(ff->sink.ctx, &info,
				      ZR_SCHED_STOP_CANCELLED);
	}
	update_state(ff, job);
	return 0;
}

static void task_ended(void *engine, zr_handle handle, uint32_t index,
		       uint32_t attempt, enum zr_sched_outcome outcome)
{
	struct first_fit *ff = engine;
	struct ff_job *job = ff->jobs[handle - 1];
	struct ff_task *task = &job->tasks[index];

	if (!task->worker || task->attempt != attempt)
		return;
	zr_resources_sub(&ff->workers[task->worker - 1].reserved,
			 &job->spec.size);
	zr_resources_sub(&ff->teams[job->team].used, &job->spec.size);
	task->worker = ZR_HANDLE_NONE;
	job->running--;
	ff->stats.running--;
	if (outcome == ZR_SCHED_SUCCEEDED) {
		task->succeeded = true;
		job->succeeded++;
	} else {
		job->failures++;
		if (job->spec.at_most_once)
			job->failures = TASK_FAILURES_MAX;
		enqueue(ff, job);
	}
	update_state(ff, job);
}

static void task_usage(void *engine, zr_handle job, uint32_t index,
		       uint32_t attempt, const struct zr_resources *used,
		       struct timespec at)
{
	(void)engine;
	(void)job;
	(void)index;
	(void)attempt;
	(void)used;
	(void)at;
}

static zr_handle find_worker(struct first_fit *ff,
			     const struct zr_resources *size)
{
	uint32_t i;

	for (i = 0; i < ff->workers_count; i++) {
		struct zr_resources free_resources = ff->workers[i].capacity;

		ff->stats.workers_examined++;
		zr_resources_sub(&free_resources, &ff->workers[i].reserved);
		if (zr_resources_fit(size, &free_resources))
			return i + 1;
	}
	return ZR_HANDLE_NONE;
}

static void reserve(struct first_fit *ff, struct ff_job *job, uint32_t index,
		    zr_handle worker)
{
	zr_resources_add(&ff->workers[worker - 1].reserved, &job->spec.size);
	zr_resources_add(&ff->teams[job->team].used, &job->spec.size);
	job->tasks[index].worker = worker;
}

static void unreserve(struct first_fit *ff, struct ff_job *job, uint32_t index)
{
	struct ff_task *task = &job->tasks[index];

	zr_resources_sub(&ff->workers[task->worker - 1].reserved,
			 &job->spec.size);
	zr_resources_sub(&ff->teams[job->team].used, &job->spec.size);
	task->worker = ZR_HANDLE_NONE;
}

static void start_task(struct first_fit *ff, struct ff_job *job, uint32_t index)
{
	struct zr_sched_task info;

	job->tasks[index].attempt++;
	job->running++;
	ff->stats.running++;
	ff->stats.decisions++;
	info = task_info(job, index);
	ff->sink.start(ff->sink.ctx, &info, &job->spec, "first fit");
}

static unsigned int start_gang(struct first_fit *ff, struct ff_job *job)
{
	uint32_t i;

	if (job->running)
		return 0;
	for (i = 0; i < job->spec.tasks; i++) {
		zr_handle worker = job->tasks[i].succeeded
					   ? ZR_HANDLE_NONE
					   : find_worker(ff, &job->spec.size);

		if (worker)
			reserve(ff, job, i, worker);
		else if (!job->tasks[i].succeeded)
			break;
	}
	if (i < job->spec.tasks) {
		while (i-- > 0) {
			if (job->tasks[i].worker)
				unreserve(ff, job, i);
		}
		return 0;
	}
	for (i = 0; i < job->spec.tasks; i++) {
		if (job->tasks[i].worker)
			start_task(ff, job, i);
	}
	return job->running;
}

static unsigned int start_tasks(struct first_fit *ff, struct ff_job *job)
{
	unsigned int started = 0;
	uint32_t i;

	for (i = 0; i < job->spec.tasks; i++) {
		zr_handle worker;

		if (job->tasks[i].worker || job->tasks[i].succeeded)
			continue;
		worker = find_worker(ff, &job->spec.size);
		if (!worker)
			break;
		reserve(ff, job, i, worker);
		start_task(ff, job, i);
		started++;
	}
	return started;
}

static unsigned int decide(void *engine, unsigned int max_starts)
{
	struct first_fit *ff = engine;
	unsigned int started = 0;
	uint32_t examined = 0;
	struct ff_job *job;
	struct ff_job *next;

	DL_FOREACH_SAFE(ff->queue, job, next)
	{
		if (examined++ == LOOKAHEAD_JOBS || started >= max_starts)
			break;
		ff->stats.jobs_examined++;
		started += job->spec.kind == ZR_JOB_GANG ? start_gang(ff, job)
							 : start_tasks(ff, job);
		if (job->running + job->succeeded == job->spec.tasks)
			dequeue(ff, job);
	}
	ff->has_more = started > 0;
	return started;
}

static bool has_more(const void *engine)
{
	return ((const struct first_fit *)engine)->has_more;
}

static zr_handle worker_next(struct zr_sched_worker_info *out,
			     const void *engine, zr_handle previous)
{
	const struct first_fit *ff = engine;

	if (previous == ff->workers_count)
		return ZR_HANDLE_NONE;
	*out = ff->workers[previous];
	return previous + 1;
}

static int team_usage(struct zr_resources *out, const void *engine,
		      const char *team)
{
	const struct first_fit *ff = engine;

	*out = ff->teams[find_team(ff, team)].used;
	return 0;
}

static void stats(struct zr_sched_stats *out, const void *engine)
{
	*out = ((const struct first_fit *)engine)->stats;
}

const struct engine engine_first_fit = {
	.name = "first-fit",
	.create = create,
	.free = engine_free,
	.worker_add = worker_add,
	.job_add = job_add,
	.job_cancel = job_cancel,
	.task_ended = task_ended,
	.task_usage = task_usage,
	.decide = decide,
	.has_more = has_more,
	.worker_next = worker_next,
	.team_usage = team_usage,
	.stats = stats,
};

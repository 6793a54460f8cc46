#include "zinniarack/sched.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "zinniarack/errors.h"

/* A job whose tasks failed this often in a row is given up. */
#define FAILURES_MAX 3

enum task_state {
	TASK_WAITING,
	TASK_RUNNING,
	TASK_STOPPING,
	TASK_ENDED,
};

struct task {
	enum task_state state;
	uint32_t attempt;
	zr_handle worker;
};

struct job {
	char id[ZR_JOB_ID_MAX];
	struct zr_job_spec spec;
	enum zr_job_state state;
	const char *reason;
	struct task *tasks;
	uint32_t running;
	uint32_t ended;
	uint32_t failures;
	bool cancelled;
	bool held;
};

struct worker {
	char name[ZR_NAME_MAX];
	char rack[ZR_NAME_MAX];
	enum zr_sched_worker_state state;
	struct zr_resources capacity;
	struct zr_resources reserved;
	uint32_t tasks;
};

struct team {
	char name[ZR_NAME_MAX];
	struct zr_resources allotment;
	struct zr_resources used;
};

struct zr_sched {
	const struct zr_clock *clock;
	struct zr_sched_sink sink;
	const struct zr_config *config;
	struct zr_table *jobs;
	struct zr_table *workers;
	struct zr_table *teams;
};

int zr_sched_new(struct zr_sched **out, const struct zr_sched_options *options)
{
	struct zr_sched *sched = calloc(1, sizeof(*sched));

	if (!sched)
		return ZR_E_NOMEM;
	sched->clock = options->clock;
	sched->sink = options->sink;
	if (zr_table_new(&sched->jobs, sizeof(struct job)) < 0 ||
	    zr_table_new(&sched->workers, sizeof(struct worker)) < 0 ||
	    zr_table_new(&sched->teams, sizeof(struct team)) < 0) {
		zr_sched_free(sched);
		return ZR_E_NOMEM;
	}
	*out = sched;
	return 0;
}

static void clear_job(struct job *job)
{
	zr_job_spec_clear(&job->spec);
	free(job->tasks);
}

void zr_sched_free(struct zr_sched *sched)
{
	zr_handle job = ZR_HANDLE_NONE;

	if (!sched)
		return;
	while (sched->jobs && (job = zr_table_next(sched->jobs, job)))
		clear_job(zr_table_get(sched->jobs, job));
	zr_table_free(sched->jobs);
	zr_table_free(sched->workers);
	zr_table_free(sched->teams);
	free(sched);
}

/* Teams */

static struct team *find_team(const struct zr_sched *sched, const char *name)
{
	zr_handle handle = ZR_HANDLE_NONE;

	while ((handle = zr_table_next(sched->teams, handle))) {
		struct team *team = zr_table_get(sched->teams, handle);

		if (!strcmp(team->name, name))
			return team;
	}
	return NULL;
}

static int obtain_team(struct team **out, struct zr_sched *sched,
		       const char *name)
{
	zr_handle handle;
	int error;

	*out = find_team(sched, name);
	if (*out)
		return 0;
	error = zr_table_add(&handle, sched->teams);
	if (error < 0)
		return error;
	*out = zr_table_get(sched->teams, handle);
	snprintf((*out)->name, sizeof((*out)->name), "%s", name);
	return 0;
}

int zr_sched_configure(struct zr_sched *sched, const struct zr_config *config)
{
	struct team *team;
	uint32_t i;
	int error;

	sched->config = config;
	for (i = 0; i < config->teams_count; i++) {
		error = obtain_team(&team, sched, config->teams[i].name);
		if (error < 0)
			return error;
		team->allotment = config->teams[i].limit;
	}
	return 0;
}

int zr_sched_set_allotment(struct zr_sched *sched, const char *name,
			   const struct zr_resources *allotment)
{
	struct team *team = find_team(sched, name);

	if (!team)
		return zr_error_set(ZR_E_NOT_FOUND, "no team '%s'", name);
	team->allotment = *allotment;
	return 0;
}

static bool within(uint32_t used, uint32_t more, uint32_t limit)
{
	return !limit || (uint64_t)used + more <= limit;
}

static bool within_limit(const struct team *team,
			 const struct zr_resources *more)
{
	const struct zr_resources *limit = &team->allotment;
	const struct zr_resources *used = &team->used;

	return within(used->millicpus, more->millicpus, limit->millicpus) &&
	       within(used->memory_mb, more->memory_mb, limit->memory_mb) &&
	       within(used->accelerators, more->accelerators,
		      limit->accelerators);
}

int zr_sched_team_usage(struct zr_resources *out, const struct zr_sched *sched,
			const char *name)
{
	const struct team *team = find_team(sched, name);

	if (!team)
		return zr_error_set(ZR_E_NOT_FOUND, "no team '%s'", name);
	*out = team->used;
	return 0;
}

/* Workers */

int zr_sched_worker_add(zr_handle *out, struct zr_sched *sched,
			const struct zr_sched_worker *info)
{
	struct worker *worker;
	int error = zr_table_add(out, sched->workers);

	if (error < 0)
		return error;
	worker = zr_table_get(sched->workers, *out);
	snprintf(worker->name, sizeof(worker->name), "%s", info->name);
	snprintf(worker->rack, sizeof(worker->rack), "%s", info->rack);
	worker->capacity = info->capacity;
	return 0;
}

void zr_sched_worker_set(struct zr_sched *sched, zr_handle handle,
			 enum zr_sched_worker_state state)
{
	struct worker *worker = zr_table_get(sched->workers, handle);

	if (worker)
		worker->state = state;
}

static void lose_tasks(struct zr_sched *sched, zr_handle job_handle,
		       zr_handle worker)
{
	struct job *job = zr_table_get(sched->jobs, job_handle);
	uint32_t i;

	for (i = 0; i < job->spec.tasks; i++) {
		if (job->tasks[i].worker == worker)
			zr_sched_task_ended(sched, job_handle, i,
					    job->tasks[i].attempt,
					    ZR_SCHED_LOST);
	}
}

void zr_sched_worker_remove(struct zr_sched *sched, zr_handle worker)
{
	zr_handle job = ZR_HANDLE_NONE;

	while ((job = zr_table_next(sched->jobs, job)))
		lose_tasks(sched, job, worker);
	zr_table_remove(sched->workers, worker);
}

/* Jobs */

static bool fits_an_empty_worker(const struct zr_sched *sched,
				 const struct zr_resources *size)
{
	zr_handle handle = ZR_HANDLE_NONE;

	while ((handle = zr_table_next(sched->workers, handle))) {
		const struct worker *worker =
			zr_table_get(sched->workers, handle);

		if (zr_resources_fit(size, &worker->capacity))
			return true;
	}
	return false;
}

static int check_limit(const struct zr_sched *sched,
		       const struct zr_job_spec *spec)
{
	const struct team *team = find_team(sched, spec->team);
	struct team empty;

	if (!team)
		return zr_error_set(ZR_E_NOT_FOUND, "no team '%s'", spec->team);
	empty = *team;
	memset(&empty.used, 0, sizeof(empty.used));
	if (!within_limit(&empty, &spec->size))
		return zr_error_set(ZR_E_LIMIT,
				    "one task is over the upper limit of team "
				    "'%s'",
				    spec->team);
	return 0;
}

int zr_sched_job_check(const struct zr_sched *sched,
		       const struct zr_job_spec *spec)
{
	int error;

	if (!sched->config || !zr_config_queue(sched->config, spec->queue))
		return zr_error_set(ZR_E_NOT_FOUND, "no queue '%s'",
				    spec->queue);
	error = check_limit(sched, spec);
	if (error < 0)
		return error;
	if (!fits_an_empty_worker(sched, &spec->size))
		return zr_error_set(ZR_E_NEVER_FITS,
				    "a task is larger than any worker of this "
				    "failure domain");
	return 0;
}

static int fill_job(struct job *job, const char *id,
		    const struct zr_job_spec *spec)
{
	snprintf(job->id, sizeof(job->id), "%s", id);
	job->spec = *spec;
	job->spec.command = strdup(spec->command);
	job->tasks = calloc(spec->tasks, sizeof(*job->tasks));
	job->reason = "accepted";
	if (job->spec.command && job->tasks)
		return 0;
	clear_job(job);
	return ZR_E_NOMEM;
}

int zr_sched_job_add(zr_handle *out, struct zr_sched *sched, const char *id,
		     const struct zr_job_spec *spec)
{
	struct team *team;
	int error = obtain_team(&team, sched, spec->team);

	if (error < 0)
		return error;
	error = zr_table_add(out, sched->jobs);
	if (error < 0)
		return error;
	error = fill_job(zr_table_get(sched->jobs, *out), id, spec);
	if (error < 0)
		zr_table_remove(sched->jobs, *out);
	return error;
}

static void set_state(struct zr_sched *sched, zr_handle handle,
		      enum zr_job_state state, const char *reason)
{
	struct job *job = zr_table_get(sched->jobs, handle);

	job->reason = reason;
	if (job->state == state)
		return;
	job->state = state;
	sched->sink.job_changed(sched->sink.ctx, handle, job->id, state,
				reason);
}

static struct zr_sched_task name_task(const struct job *job, zr_handle handle,
				      uint32_t index)
{
	const struct zr_sched_task task = {
		.job = handle,
		.job_id = job->id,
		.index = index,
		.attempt = job->tasks[index].attempt,
		.worker = job->tasks[index].worker,
		.reserved = job->spec.size,
	};

	return task;
}

static void stop_task(struct zr_sched *sched, zr_handle handle, uint32_t index,
		      enum zr_sched_stop why)
{
	struct job *job = zr_table_get(sched->jobs, handle);
	struct zr_sched_task task = name_task(job, handle, index);

	job->tasks[index].state = TASK_STOPPING;
	sched->sink.stop(sched->sink.ctx, &task, why);
}

int zr_sched_job_cancel(struct zr_sched *sched, zr_handle handle)
{
	struct job *job = zr_table_get(sched->jobs, handle);
	uint32_t i;

	if (!job || zr_job_state_final(job->state))
		return zr_error_set(ZR_E_STATE, "the job has ended");
	job->cancelled = true;
	for (i = 0; i < job->spec.tasks; i++) {
		if (job->tasks[i].state == TASK_RUNNING)
			stop_task(sched, handle, i, ZR_SCHED_STOP_CANCELLED);
	}
	if (!job->running)
		set_state(sched, handle, ZR_JOB_CANCELLED, "cancelled");
	return 0;
}

void zr_sched_job_hold(struct zr_sched *sched, zr_handle handle, bool held)
{
	struct job *job = zr_table_get(sched->jobs, handle);

	if (job)
		job->held = held;
}

void zr_sched_job_forget(struct zr_sched *sched, zr_handle handle)
{
	struct job *job = zr_table_get(sched->jobs, handle);

	if (!job)
		return;
	clear_job(job);
	zr_table_remove(sched->jobs, handle);
}

/* Tasks */

static int reserve(struct zr_sched *sched, struct job *job, uint32_t index,
		   zr_handle worker_handle)
{
	struct worker *worker = zr_table_get(sched->workers, worker_handle);
	struct team *team = find_team(sched, job->spec.team);

	if (!worker || !team)
		return ZR_E_NOT_FOUND;
	zr_resources_add(&worker->reserved, &job->spec.size);
	worker->tasks++;
	zr_resources_add(&team->used, &job->spec.size);
	job->tasks[index].state = TASK_RUNNING;
	job->tasks[index].worker = worker_handle;
	job->running++;
	return 0;
}

static void release(struct zr_sched *sched, struct job *job, uint32_t index)
{
	struct task *task = &job->tasks[index];
	struct worker *worker = zr_table_get(sched->workers, task->worker);
	struct team *team = find_team(sched, job->spec.team);

	if (worker) {
		zr_resources_sub(&worker->reserved, &job->spec.size);
		worker->tasks--;
	}
	zr_resources_sub(&team->used, &job->spec.size);
	task->worker = ZR_HANDLE_NONE;
	job->running--;
}

int zr_sched_task_adopt(struct zr_sched *sched, zr_handle handle,
			uint32_t index, uint32_t attempt, zr_handle worker)
{
	struct job *job = zr_table_get(sched->jobs, handle);
	int error;

	if (!job || index >= job->spec.tasks)
		return ZR_E_NOT_FOUND;
	if (job->tasks[index].state != TASK_WAITING)
		return ZR_E_EXISTS;
	error = reserve(sched, job, index, worker);
	if (error < 0)
		return error;
	job->tasks[index].attempt = attempt;
	set_state(sched, handle, ZR_JOB_RUNNING, "found running");
	return 0;
}

static void settle_job(struct zr_sched *sched, zr_handle handle)
{
	struct job *job = zr_table_get(sched->jobs, handle);

	if (job->cancelled && !job->running)
		set_state(sched, handle, ZR_JOB_CANCELLED, "cancelled");
	else if (job->ended == job->spec.tasks)
		set_state(sched, handle, ZR_JOB_SUCCEEDED, "all tasks ended");
	else if (job->failures >= FAILURES_MAX && !job->running)
		set_state(sched, handle, ZR_JOB_FAILED, "its tasks fail");
	else if (!job->running)
		set_state(sched, handle, ZR_JOB_WAITING, "to be placed again");
}

static void end_task(struct job *job, struct task *task,
		     enum zr_sched_outcome outcome)
{
	if (outcome == ZR_SCHED_SUCCEEDED) {
		task->state = TASK_ENDED;
		job->ended++;
		return;
	}
	task->state = TASK_WAITING;
	if (outcome == ZR_SCHED_FAILED)
		job->failures++;
	/* What may have begun must not begin again. */
	if (job->spec.at_most_once && outcome != ZR_SCHED_NOT_STARTED)
		job->failures = FAILURES_MAX;
}

void zr_sched_task_ended(struct zr_sched *sched, zr_handle handle,
			 uint32_t index, uint32_t attempt,
			 enum zr_sched_outcome outcome)
{
	struct job *job = zr_table_get(sched->jobs, handle);
	struct task *task;

	if (!job || index >= job->spec.tasks)
		return;
	task = &job->tasks[index];
	if (task->attempt != attempt ||
	    (task->state != TASK_RUNNING && task->state != TASK_STOPPING))
		return;
	release(sched, job, index);
	end_task(job, task, outcome);
	settle_job(sched, handle);
}

void zr_sched_task_replay(struct zr_sched *sched, zr_handle handle,
			  uint32_t index, uint32_t attempt,
			  enum zr_sched_outcome outcome)
{
	struct job *job = zr_table_get(sched->jobs, handle);

	if (!job || index >= job->spec.tasks)
		return;
	if (job->tasks[index].state != TASK_WAITING)
		return;
	job->tasks[index].attempt = attempt;
	end_task(job, &job->tasks[index], outcome);
	settle_job(sched, handle);
}

void zr_sched_task_usage(struct zr_sched *sched, zr_handle job, uint32_t index,
			 uint32_t attempt, const struct zr_resources *used,
			 struct timespec at)
{
	(void)at;
	(void)sched;
	(void)job;
	(void)index;
	(void)attempt;
	(void)used;
}

/* Placement */

static bool may_take(const struct worker *worker,
		     const struct zr_resources *size)
{
	struct zr_resources free_room = worker->capacity;

	zr_resources_sub(&free_room, &worker->reserved);
	return worker->state == ZR_SCHED_WORKER_UP &&
	       zr_resources_fit(size, &free_room);
}

static zr_handle find_worker(const struct zr_sched *sched,
			     const struct zr_resources *size)
{
	zr_handle handle = ZR_HANDLE_NONE;

	while ((handle = zr_table_next(sched->workers, handle))) {
		if (may_take(zr_table_get(sched->workers, handle), size))
			break;
	}
	return handle;
}

static bool place_task(struct zr_sched *sched, zr_handle handle, uint32_t index)
{
	struct job *job = zr_table_get(sched->jobs, handle);
	struct team *team = find_team(sched, job->spec.team);
	struct zr_sched_task task;
	zr_handle worker;

	if (!within_limit(team, &job->spec.size)) {
		job->reason = "the team is at its upper limit";
		return false;
	}
	worker = find_worker(sched, &job->spec.size);
	if (!worker || reserve(sched, job, index, worker) < 0) {
		job->reason = "no worker has room";
		return false;
	}
	job->tasks[index].attempt++;
	task = name_task(job, handle, index);
	sched->sink.start(sched->sink.ctx, &task, &job->spec, "first fit");
	return true;
}

static unsigned int place_job(struct zr_sched *sched, zr_handle handle,
			      unsigned int most)
{
	struct job *job = zr_table_get(sched->jobs, handle);
	unsigned int started = 0;
	uint32_t i;

	for (i = 0; i < job->spec.tasks && started < most; i++) {
		if (job->tasks[i].state != TASK_WAITING)
			continue;
		if (!place_task(sched, handle, i))
			break;
		started++;
	}
	if (started)
		set_state(sched, handle, ZR_JOB_RUNNING, "placed");
	return started;
}

static bool wants_placing(const struct job *job)
{
	return !job->cancelled && !job->held &&
	       !zr_job_state_final(job->state) &&
	       job->failures < FAILURES_MAX &&
	       job->running + job->ended < job->spec.tasks;
}

unsigned int zr_sched_decide(struct zr_sched *sched, unsigned int most_starts)
{
	zr_handle handle = ZR_HANDLE_NONE;
	unsigned int started = 0;

	while (started < most_starts &&
	       (handle = zr_table_next(sched->jobs, handle))) {
		if (wants_placing(zr_table_get(sched->jobs, handle)))
			started +=
				place_job(sched, handle, most_starts - started);
	}
	return started;
}

/* Reading */

int zr_sched_job_info(struct zr_sched_job_info *out,
		      const struct zr_sched *sched, zr_handle handle)
{
	const struct job *job = zr_table_get(sched->jobs, handle);

	if (!job)
		return zr_error_set(ZR_E_NOT_FOUND, "no such job");
	out->id = job->id;
	out->spec = &job->spec;
	out->state = job->state;
	out->reason = job->reason;
	out->wait = ZR_SCHED_WAIT_NONE;
	out->running = job->running;
	out->ended = job->ended;
	return 0;
}

zr_handle zr_sched_job_next(struct zr_sched_job_info *out,
			    const struct zr_sched *sched, zr_handle previous)
{
	zr_handle handle = zr_table_next(sched->jobs, previous);

	if (handle)
		zr_sched_job_info(out, sched, handle);
	return handle;
}

zr_handle zr_sched_worker_next(struct zr_sched_worker_info *out,
			       const struct zr_sched *sched, zr_handle previous)
{
	zr_handle handle = zr_table_next(sched->workers, previous);
	const struct worker *worker = zr_table_get(sched->workers, handle);

	if (!worker)
		return ZR_HANDLE_NONE;
	out->name = worker->name;
	out->rack = worker->rack;
	out->state = worker->state;
	out->capacity = worker->capacity;
	out->reserved = worker->reserved;
	out->tasks = worker->tasks;
	out->suspect = false;
	return handle;
}

const char *zr_sched_refusal_name(enum zr_sched_refusal refusal)
{
	static const char *const names[] = {
		"processors", "memory",	 "accelerators", "leaving",
		"unheard",    "suspect", "reserved",
	};

	return names[refusal];
}

static int refusal_of(const struct worker *worker,
		      const struct zr_resources *size)
{
	struct zr_resources free_room = worker->capacity;

	zr_resources_sub(&free_room, &worker->reserved);
	if (worker->state == ZR_SCHED_WORKER_LEAVING)
		return ZR_SCHED_REFUSED_LEAVING;
	if (worker->state == ZR_SCHED_WORKER_UNHEARD)
		return ZR_SCHED_REFUSED_UNHEARD;
	if (size->millicpus > free_room.millicpus)
		return ZR_SCHED_REFUSED_MILLICPUS;
	if (size->memory_mb > free_room.memory_mb)
		return ZR_SCHED_REFUSED_MEMORY;
	if (size->accelerators > free_room.accelerators)
		return ZR_SCHED_REFUSED_ACCELERATORS;
	return -1;
}

int zr_sched_explain(struct zr_sched_explanation *out,
		     const struct zr_sched *sched, zr_handle handle)
{
	const struct job *job = zr_table_get(sched->jobs, handle);
	zr_handle worker = ZR_HANDLE_NONE;

	memset(out, 0, sizeof(*out));
	if (!job)
		return zr_error_set(ZR_E_NOT_FOUND, "no such job");
	while ((worker = zr_table_next(sched->workers, worker))) {
		int refusal = refusal_of(zr_table_get(sched->workers, worker),
					 &job->spec.size);

		if (refusal < 0)
			out->fitting++;
		else
			out->by_reason[refusal]++;
	}
	snprintf(out->hint, sizeof(out->hint), "%s", job->reason);
	return 0;
}

const char *zr_sched_stop_name(enum zr_sched_stop why)
{
	static const char *const names[] = {
		"cancelled", "preempted", "relief",
		"drained",   "throttle",  "overdue",
	};

	return names[why];
}

const char *zr_sched_wait_name(enum zr_sched_wait wait)
{
	static const char *const names[] = {
		"none",	 "queued", "no_room", "limit",	    "held",
		"retry", "gang",   "victims", "never_fits", "over_limit",
	};

	return names[wait];
}

int zr_sched_task_info(struct zr_sched_task_info *out,
		       const struct zr_sched *sched, zr_handle handle,
		       uint32_t index)
{
	static const enum zr_sched_task_state states[] = {
		ZR_SCHED_TASK_WAITING,
		ZR_SCHED_TASK_RUNNING,
		ZR_SCHED_TASK_STOPPING,
		ZR_SCHED_TASK_ENDED,
	};
	const struct job *job = zr_table_get(sched->jobs, handle);

	if (!job || index >= job->spec.tasks)
		return zr_error_set(ZR_E_NOT_FOUND, "no such task");
	out->state = states[job->tasks[index].state];
	out->attempt = job->tasks[index].attempt;
	out->worker = job->tasks[index].worker;
	memset(&out->reserved, 0, sizeof(out->reserved));
	if (out->worker)
		out->reserved = job->spec.size;
	return 0;
}

void zr_sched_stats(struct zr_sched_stats *out, const struct zr_sched *sched)
{
	memset(out, 0, sizeof(*out));
	out->waiting = (uint32_t)zr_table_count(sched->jobs);
}

bool zr_sched_more(const struct zr_sched *sched)
{
	(void)sched;
	return false;
}

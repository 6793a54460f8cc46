#include "fakes/sched_model.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fakes/sched_model_private.h"

/* A job fails after failures on this many workers at the earliest. */
#define FAILED_RUNS_MIN 3

static void *allocate(size_t count, size_t size)
{
	void *memory = calloc(count, size);

	if (!memory)
		abort();
	return memory;
}

struct sched_model *sched_model_new(const struct zr_clock *clock,
				    const struct zr_sched_sink *next)
{
	struct sched_model *model = allocate(1, sizeof(*model));

	model->clock = clock;
	model->next = *next;
	return model;
}

static void free_job(struct sched_model *model, struct model_job *job)
{
	if (job->changed)
		DL_DELETE2(model->changed_jobs, job, changed_prev,
			   changed_next);
	HASH_DEL(model->jobs, job);
	free(job->tasks);
	free(job);
}

void sched_model_free(struct sched_model *model)
{
	struct model_job *job;
	struct model_job *next_job;
	struct model_team *team;
	struct model_team *next_team;
	struct model_worker *worker;
	struct model_worker *next_worker;
	struct model_name *name;
	struct model_name *next_name;

	HASH_ITER (hh, model->jobs, job, next_job) {
		free_job(model, job);
	}
	HASH_ITER (hh, model->teams, team, next_team) {
		HASH_DEL(model->teams, team);
		free(team);
	}
	HASH_ITER (hh, model->workers, worker, next_worker) {
		HASH_DEL(model->workers, worker);
		free(worker);
	}
	HASH_ITER (hh, model->names, name, next_name) {
		HASH_DEL(model->names, name);
		free(name);
	}
	free(model);
}

/* Records */

struct model_job *sched_model_job(const struct sched_model *model,
				  const char *id)
{
	struct model_job *job;

	HASH_FIND_STR(model->jobs, id, job);
	return job;
}

struct model_worker *sched_model_worker(const struct sched_model *model,
					zr_handle handle)
{
	struct model_worker *worker;

	HASH_FIND(hh, model->workers, &handle, sizeof(handle), worker);
	return worker;
}

struct model_team *sched_model_team_get_or_add(struct sched_model *model,
					       const char *name)
{
	struct model_team *team;

	HASH_FIND_STR(model->teams, name, team);
	if (team)
		return team;
	team = allocate(1, sizeof(*team));
	snprintf(team->name, sizeof(team->name), "%s", name);
	HASH_ADD_STR(model->teams, name, team);
	return team;
}

struct model_name *sched_model_name_get_or_add(struct sched_model *model,
					       const char *team,
					       const char *job_name)
{
	char key[2 * ZR_NAME_MAX];
	struct model_name *name;

	snprintf(key, sizeof(key), "%s/%s", team, job_name);
	HASH_FIND_STR(model->names, key, name);
	if (name)
		return name;
	name = allocate(1, sizeof(*name));
	memcpy(name->key, key, sizeof(key));
	HASH_ADD_STR(model->names, key, name);
	return name;
}

void sched_model_job_mark_changed(struct sched_model *model,
				  struct model_job *job)
{
	if (job->changed)
		return;
	job->changed = true;
	DL_APPEND2(model->changed_jobs, job, changed_prev, changed_next);
}

/* Events */

static void mark_limit_changed(struct sched_model *model,
			       struct model_team *team)
{
	if (!team->over_since_ms)
		team->over_since_ms = zr_time_to_ms(zr_clock_now(model->clock));
}

void sched_model_configure(struct sched_model *model,
			   const struct zr_config *config)
{
	struct model_team *team;
	uint32_t i;

	for (i = 0; i < config->teams_count; i++) {
		team = sched_model_team_get_or_add(model,
						   config->teams[i].name);
		team->limit = config->teams[i].limit;
		mark_limit_changed(model, team);
	}
}

void sched_model_set_allotment(struct sched_model *model, const char *name,
			       const struct zr_resources *allotment)
{
	struct model_team *team = sched_model_team_get_or_add(model, name);

	team->allotment = *allotment;
	team->has_allotment = true;
	mark_limit_changed(model, team);
}

void sched_model_worker_add(struct sched_model *model, zr_handle handle,
			    const struct zr_sched_worker *info)
{
	struct model_worker *worker = allocate(1, sizeof(*worker));

	worker->handle = handle;
	worker->capacity = info->capacity;
	snprintf(worker->name, sizeof(worker->name), "%s", info->name);
	HASH_ADD(hh, model->workers, handle, sizeof(handle), worker);
}

void sched_model_worker_set_state(struct sched_model *model, zr_handle handle,
				  enum zr_sched_worker_state state)
{
	struct model_worker *worker = sched_model_worker(model, handle);

	if (worker)
		worker->state = state;
}

static void process_end(struct sched_model *model, struct model_task *task,
			enum zr_sched_outcome outcome)
{
	struct model_job *job = task->job;

	if (outcome == ZR_SCHED_FAILED || outcome == ZR_SCHED_LOST ||
	    (outcome == ZR_SCHED_STOPPED && job->at_most_once))
		job->failures++;
	if (job->at_most_once && outcome != ZR_SCHED_NOT_STARTED)
		task->may_have_begun = true;
	if (outcome == ZR_SCHED_SUCCEEDED && job->kind != ZR_JOB_SERVICE) {
		task->state = MODEL_ENDED;
		job->ended++;
	}
	sched_model_job_mark_changed(model, job);
}

void sched_model_worker_remove(struct sched_model *model, zr_handle handle)
{
	struct model_worker *worker = sched_model_worker(model, handle);
	struct model_task *task;

	if (!worker)
		return;
	while ((task = worker->tasks)) {
		sched_model_task_unassign(task);
		process_end(model, task, ZR_SCHED_LOST);
	}
	HASH_DEL(model->workers, worker);
	free(worker);
}

void sched_model_job_add(struct sched_model *model, const char *id,
			 const struct zr_job_spec *spec)
{
	struct model_job *job = allocate(1, sizeof(*job));
	uint32_t i;

	snprintf(job->id, sizeof(job->id), "%s", id);
	job->team = sched_model_team_get_or_add(model, spec->team);
	job->name = sched_model_name_get_or_add(model, spec->team, spec->name);
	job->kind = spec->kind;
	job->count = spec->tasks;
	job->size = spec->size;
	job->at_most_once = spec->at_most_once;
	job->tasks = allocate(spec->tasks, sizeof(*job->tasks));
	for (i = 0; i < spec->tasks; i++)
		job->tasks[i].job = job;
	HASH_ADD_STR(model->jobs, id, job);
}

void sched_model_job_cancel(struct sched_model *model, const char *id)
{
	struct model_job *job = sched_model_job(model, id);

	if (!job || zr_job_state_is_final(job->state))
		return;
	job->cancelled = true;
	sched_model_job_mark_changed(model, job);
}

void sched_model_job_hold(struct sched_model *model, const char *id, bool held)
{
	struct model_job *job = sched_model_job(model, id);

	if (job)
		job->held = held;
}

void sched_model_job_remove(struct sched_model *model, const char *id)
{
	struct model_job *job = sched_model_job(model, id);

	if (!job)
		return;
	if (!zr_job_state_is_final(job->state) || job->running)
		sched_model_violation(model, SCHED_MODEL_LOST,
				      "%s is removed before its end", id);
	else
		free_job(model, job);
}

static struct model_task *find_task(const struct sched_model *model,
				    const char *id, uint32_t index)
{
	struct model_job *job = sched_model_job(model, id);

	return job && index < job->count ? &job->tasks[index] : NULL;
}

static struct model_task *find_running(const struct sched_model *model,
				       const char *id, uint32_t index,
				       uint32_t attempt)
{
	struct model_task *task = find_task(model, id, index);

	if (!task || !task->worker || task->attempt != attempt)
		return NULL;
	return task;
}

void sched_model_task_adopt(struct sched_model *model, const char *id,
			    uint32_t index, uint32_t attempt, zr_handle handle)
{
	struct model_worker *worker = sched_model_worker(model, handle);
	struct model_task *task = find_task(model, id, index);

	if (worker && task && task->state == MODEL_WAITING)
		sched_model_task_assign(task, worker, attempt);
}

static void count_failed_run(struct model_job *job)
{
	if (job->run_failed)
		return;
	job->run_failed = job->kind == ZR_JOB_GANG;
	job->failed_runs++;
}

void sched_model_task_ended(struct sched_model *model, const char *id,
			    uint32_t index, uint32_t attempt,
			    enum zr_sched_outcome outcome)
{
	struct model_task *task = find_running(model, id, index, attempt);

	if (!task)
		return;
	sched_model_task_unassign(task);
	if (outcome == ZR_SCHED_FAILED)
		count_failed_run(task->job);
	process_end(model, task, outcome);
}

void sched_model_task_replay(struct sched_model *model, const char *id,
			     uint32_t index, uint32_t attempt,
			     enum zr_sched_outcome outcome)
{
	struct model_task *task = find_task(model, id, index);

	if (!task || task->state != MODEL_WAITING)
		return;
	task->last_attempt = attempt;
	process_end(model, task, outcome);
}

void sched_model_task_usage(struct sched_model *model, const char *id,
			    uint32_t index, uint32_t attempt,
			    const struct zr_resources *used)
{
	struct model_task *task = find_running(model, id, index, attempt);

	if (task)
		sched_model_task_report(task, used);
}

/* Decisions */

static void on_start(void *ctx, const struct zr_sched_task *decided,
		     const struct zr_job_spec *spec, const char *reason)
{
	struct sched_model *model = ctx;
	struct model_job *job = sched_model_job(model, decided->job_id);

	if (!reason || !*reason)
		sched_model_violation(model, SCHED_MODEL_REASON,
				      "start of %s without a reason",
				      decided->job_id);
	if (!job || decided->index >= job->count)
		sched_model_violation(model, SCHED_MODEL_ENDED,
				      "start of unknown task %s/%u",
				      decided->job_id, decided->index);
	else if (sched_model_check_start(model, job, decided))
		sched_model_task_assign(
			&job->tasks[decided->index],
			sched_model_worker(model, decided->worker),
			decided->attempt);
	if (job)
		sched_model_job_mark_changed(model, job);
	if (model->next.start)
		model->next.start(model->next.ctx, decided, spec, reason);
}

static void on_stop(void *ctx, const struct zr_sched_task *decided,
		    enum zr_sched_stop_reason stop_reason)
{
	struct sched_model *model = ctx;
	struct model_task *task = find_running(
		model, decided->job_id, decided->index, decided->attempt);

	if (!task || task->worker->handle != decided->worker)
		sched_model_violation(
			model, SCHED_MODEL_ENDED,
			"stop of %s/%u, which does not run on that worker",
			decided->job_id, decided->index);
	else if (stop_reason != ZR_SCHED_STOP_THROTTLE) {
		sched_model_task_stopping(task);
		sched_model_job_mark_changed(model, task->job);
	}
	if (model->next.stop)
		model->next.stop(model->next.ctx, decided, stop_reason);
}

/* Whether the events of a job allow it to end in this state. */
static bool end_has_cause(const struct model_job *job, enum zr_job_state state)
{
	if (state == ZR_JOB_SUCCEEDED)
		return job->ended == job->count;
	if (state == ZR_JOB_CANCELLED)
		return job->cancelled;
	if (job->at_most_once)
		return job->failures > 0;
	return job->failed_runs >= FAILED_RUNS_MIN;
}

static void check_state_change(struct sched_model *model,
			       const struct model_job *job,
			       enum zr_job_state state)
{
	if (zr_job_state_is_final(job->state))
		sched_model_violation(model, SCHED_MODEL_ENDED,
				      "%s becomes %s after it ended as %s",
				      job->id, zr_job_state_name(state),
				      zr_job_state_name(job->state));
	if (!zr_job_state_is_final(state))
		return;
	if (job->running)
		sched_model_violation(model, SCHED_MODEL_LOST,
				      "%s ends as %s with %u running tasks",
				      job->id, zr_job_state_name(state),
				      job->running);
	if (!end_has_cause(job, state))
		sched_model_violation(model, SCHED_MODEL_LOST,
				      "%s ends as %s without a cause", job->id,
				      zr_job_state_name(state));
}

static void on_job_changed(void *ctx, zr_handle handle, const char *id,
			   enum zr_job_state state, const char *reason)
{
	struct sched_model *model = ctx;
	struct model_job *job = sched_model_job(model, id);

	if (!reason || !*reason)
		sched_model_violation(model, SCHED_MODEL_REASON,
				      "change of %s without a reason", id);
	if (!job) {
		sched_model_violation(model, SCHED_MODEL_ENDED,
				      "change of unknown job %s", id);
	} else {
		check_state_change(model, job, state);
		job->state = state;
	}
	if (model->next.job_changed)
		model->next.job_changed(model->next.ctx, handle, id, state,
					reason);
}

struct zr_sched_sink sched_model_sink(struct sched_model *model)
{
	const struct zr_sched_sink sink = {
		.start = on_start,
		.stop = on_stop,
		.job_changed = on_job_changed,
		.ctx = model,
	};

	return sink;
}

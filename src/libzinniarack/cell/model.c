#include "cell/model.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "zinniarack/errors.h"

/*
 * Number of ready steps of a job from which no further occurrence is listed, so
 * that a pass does not take longer the more of them are behind.
 */
#define READY_STEPS_MAX 256

static void *get_entry(const struct zr_table *table, zr_handle handle)
{
	void **element = handle ? zr_table_get(table, handle) : NULL;

	return element ? *element : NULL;
}

static zr_handle add_entry(struct zr_table *table, void *pointer)
{
	zr_handle handle;

	if (zr_table_add(&handle, table) < 0)
		abort();
	*(void **)zr_table_get(table, handle) = pointer;
	return handle;
}

struct zr_cell_job *zr_cell_job(const struct zr_cell_model *model,
				zr_handle job)
{
	return get_entry(model->jobs, job);
}

struct zr_cell_job *zr_cell_ref_job(const struct zr_cell_model *model,
				    struct zr_cell_ref ref)
{
	struct zr_cell_job *job = zr_cell_job(model, ref.job);

	return job && job->tasks && ref.task < job->task_count ? job : NULL;
}

struct zr_cell_worker *zr_cell_worker(const struct zr_cell_model *model,
				      zr_handle worker)
{
	return get_entry(model->workers, worker);
}

struct zr_cell_client_state *zr_cell_client(const struct zr_cell_model *model,
					    zr_handle client)
{
	return get_entry(model->clients, client);
}

int zr_cell_model_init(struct zr_cell_model *model)
{
	int error;

	memset(model, 0, sizeof(*model));
	if ((error = zr_table_new(&model->jobs, sizeof(void *))) < 0 ||
	    (error = zr_table_new(&model->workers, sizeof(void *))) < 0 ||
	    (error = zr_table_new(&model->clients, sizeof(void *))) < 0)
		zr_cell_model_clear(model);
	return error;
}

void zr_cell_model_reset(struct zr_cell_model *model)
{
	struct zr_table *jobs = model->jobs;
	struct zr_table *workers = model->workers;
	struct zr_table *clients = model->clients;
	struct zr_cell_worker *worker;
	struct zr_cell_worker *next_worker;
	struct zr_cell_job *job;
	struct zr_cell_job *next_job;
	zr_handle client;

	HASH_ITER (hh, model->job_by_id, job, next_job)
		zr_cell_job_remove(model, job);
	HASH_ITER (hh, model->worker_by_name, worker, next_worker)
		zr_cell_worker_remove(model, worker);
	while ((client = zr_table_next(clients, ZR_HANDLE_NONE))) {
		free(zr_cell_client(model, client));
		zr_table_remove(clients, client);
	}
	*model = (struct zr_cell_model){
		.jobs = jobs, .workers = workers, .clients = clients};
}

void zr_cell_model_clear(struct zr_cell_model *model)
{
	if (model->clients)
		zr_cell_model_reset(model);
	zr_table_free(model->jobs);
	zr_table_free(model->workers);
	zr_table_free(model->clients);
	memset(model, 0, sizeof(*model));
}

/* Workers */

struct zr_cell_worker *zr_cell_worker_find(const struct zr_cell_model *model,
					   const char *name)
{
	struct zr_cell_worker *worker;

	HASH_FIND_STR(model->worker_by_name, name, worker);
	return worker;
}

struct zr_cell_worker *zr_cell_worker_get_or_add(struct zr_cell_model *model,
						 const char *name)
{
	struct zr_cell_worker *worker = zr_cell_worker_find(model, name);

	if (worker)
		return worker;
	worker = calloc(1, sizeof(*worker));
	if (!worker)
		abort();
	snprintf(worker->report.name, sizeof(worker->report.name), "%s", name);
	worker->clock_ms = -1;
	worker->poll_due_at = ZR_CELL_NEVER;
	worker->silent_since = ZR_CELL_NEVER;
	worker->state = zr_chart_initial(zr_charts()->worker);
	worker->self = add_entry(model->workers, worker);
	HASH_ADD_STR(model->worker_by_name, report.name, worker);
	return worker;
}

void zr_cell_worker_disconnect(struct zr_cell_worker *worker)
{
	struct zr_cell_worker_conn conn = worker->conn;

	/* The callbacks of the requests in flight must not use it any more. */
	worker->conn.ops = NULL;
	if (conn.ops)
		conn.ops->free(conn.impl);
}

void zr_cell_worker_remove(struct zr_cell_model *model,
			   struct zr_cell_worker *worker)
{
	zr_cell_worker_disconnect(worker);
	HASH_DEL(model->worker_by_name, worker);
	zr_table_remove(model->workers, worker->self);
	free(worker->runs);
	free(worker->acks);
	free(worker);
}

bool zr_cell_worker_unresponsive(const struct zr_cell_worker *worker)
{
	/*
	 * The state is unknown until the first response in this term, so failed
	 * polls count too.
	 */
	return worker->state == ZR_WORKER_UNRESPONSIVE || worker->failed_polls;
}

struct zr_resources
zr_cell_worker_free_resources(const struct zr_cell_worker *worker)
{
	const struct zr_resources *capacity = &worker->report.capacity;
	struct zr_resources free_resources = {0};

	if (capacity->millicpus > worker->used_millicpus)
		free_resources.millicpus = (uint32_t)(capacity->millicpus -
						      worker->used_millicpus);
	if (capacity->memory_mb > worker->used_memory_mb)
		free_resources.memory_mb = (uint32_t)(capacity->memory_mb -
						      worker->used_memory_mb);
	if (capacity->accelerators > worker->used_accelerators)
		free_resources.accelerators =
			(uint32_t)(capacity->accelerators -
				   worker->used_accelerators);
	return free_resources;
}

bool zr_cell_worker_overcommitted(const struct zr_cell_worker *worker)
{
	const struct zr_resources *capacity = &worker->report.capacity;

	return worker->used_millicpus > capacity->millicpus ||
	       worker->used_memory_mb > capacity->memory_mb ||
	       worker->used_accelerators > capacity->accelerators;
}

/* Client accounts */

zr_handle zr_cell_client_get_or_add(struct zr_cell_model *model,
				    const char *name)
{
	struct zr_cell_client_state *client;
	zr_handle handle;

	/* A linear search is enough for a few dozen client accounts. */
	for (handle = zr_table_next(model->clients, ZR_HANDLE_NONE); handle;
	     handle = zr_table_next(model->clients, handle)) {
		client = zr_cell_client(model, handle);
		if (client && !strcmp(client->name, name))
			return handle;
	}
	client = calloc(1, sizeof(*client));
	if (!client)
		abort();
	snprintf(client->name, sizeof(client->name), "%s", name);
	return add_entry(model->clients, client);
}

static uint32_t remaining_count(uint64_t used, uint32_t limit, uint32_t need)
{
	if (!limit || !need)
		return UINT32_MAX;
	return used >= limit ? 0 : (uint32_t)((limit - used) / need);
}

uint32_t
zr_cell_client_remaining_tasks(const struct zr_cell_client_state *client,
			       const struct zr_resources *need)
{
	uint32_t count =
		remaining_count(client->used_millicpus, client->limit.millicpus,
				need->millicpus);
	uint32_t memory =
		remaining_count(client->used_memory_mb, client->limit.memory_mb,
				need->memory_mb);
	uint32_t accelerators =
		remaining_count(client->used_accelerators,
				client->limit.accelerators, need->accelerators);

	if (memory < count)
		count = memory;
	return accelerators < count ? accelerators : count;
}

/* Jobs */

struct zr_cell_job *zr_cell_job_find(const struct zr_cell_model *model,
				     const char *id)
{
	struct zr_cell_job *job;

	HASH_FIND_STR(model->job_by_id, id, job);
	return job;
}

static void add_steps(struct zr_cell_job *job)
{
	const struct zr_cell_job_spec *spec = &job->spec;
	uint32_t occurrences = spec->repeats ? spec->repeats : 1;
	uint32_t i;

	/* An ended job of which only the result is left has no steps. */
	job->occurrence_count = spec->step_count ? occurrences : 0;
	job->step_count = occurrences * spec->step_count;
	job->steps = calloc((size_t)job->step_count + 1, sizeof(*job->steps));
	if (!job->steps)
		abort();
	for (i = 0; i < job->step_count; i++) {
		struct zr_cell_step_state *step = &job->steps[i];

		step->occurrence = i / spec->step_count;
		step->number = i % spec->step_count;
		step->spec = &spec->steps[step->number];
		step->job = job->self;
		step->first_task = job->task_count;
		step->waiting = step->spec->count;
		step->ready_at = ZR_CELL_NEVER;
		job->task_count += step->spec->count;
		job->lasts |= (step->spec->flags & ZR_STEP_LONG_RUNNING) != 0;
	}
	if (!job->task_count)
		return;
	job->tasks = calloc(job->task_count, sizeof(*job->tasks));
	if (!job->tasks)
		abort();
}

struct zr_cell_job *zr_cell_job_add(struct zr_cell_model *model, const char *id,
				    struct zr_cell_job_spec *spec,
				    const char *client)
{
	struct zr_cell_job *job = calloc(1, sizeof(*job));

	if (!job)
		abort();
	snprintf(job->id, sizeof(job->id), "%s", id);
	/* The job now owns what the specification refers to. */
	job->spec = *spec;
	memset(spec, 0, sizeof(*spec));
	job->client = zr_cell_client_get_or_add(model, client);
	job->self = add_entry(model->jobs, job);
	add_steps(job);
	HASH_ADD_STR(model->job_by_id, id, job);
	return job;
}

static void unlist_step(struct zr_cell_model *model,
			struct zr_cell_step_state *step)
{
	if (!step->in_ready_list)
		return;
	DL_DELETE(model->ready, step);
	step->in_ready_list = false;
	zr_cell_job(model, step->job)->ready_steps--;
}

static void list_step(struct zr_cell_model *model,
		      struct zr_cell_step_state *step)
{
	if (step->in_ready_list)
		return;
	DL_APPEND(model->ready, step);
	step->in_ready_list = true;
	zr_cell_job(model, step->job)->ready_steps++;
}

static void unlist_timed(struct zr_cell_model *model, struct zr_cell_job *job)
{
	if (!job->in_timed_list)
		return;
	DL_DELETE2(model->timed, job, timed_prev, timed_next);
	job->in_timed_list = false;
}

static void list_timed(struct zr_cell_model *model, struct zr_cell_job *job)
{
	if (job->in_timed_list)
		return;
	DL_APPEND2(model->timed, job, timed_prev, timed_next);
	job->in_timed_list = true;
}

void zr_cell_step_unlist_placed(struct zr_cell_model *model,
				struct zr_cell_step_state *step)
{
	if (!step->waiting)
		unlist_step(model, step);
}

static void free_permissions(struct zr_cell_step_state *step)
{
	size_t i;

	for (i = 0; i < step->permission_count; i++)
		free(step->permissions[i].ticket);
	free(step->permissions);
	free(step->permission_index);
}

static void free_steps(struct zr_cell_model *model, struct zr_cell_job *job)
{
	uint32_t i;

	unlist_timed(model, job);
	for (i = 0; i < job->step_count; i++) {
		unlist_step(model, &job->steps[i]);
		free_permissions(&job->steps[i]);
	}
	free(job->steps);
	job->steps = NULL;
	job->step_count = 0;
	job->occurrence_count = 0;
	job->first_open = 0;
	job->next_occurrence = 0;
}

int zr_cell_task_set_checkpoint(struct zr_cell_task *task,
				const char *checkpoint)
{
	size_t length = strlen(checkpoint);
	char *copy = NULL;

	if (length >= ZR_CELL_CHECKPOINT_MAX)
		return ZR_E_TOO_LARGE;
	if (length) {
		copy = strdup(checkpoint);
		if (!copy)
			abort();
	}
	free(task->checkpoint);
	task->checkpoint = copy;
	return 0;
}

void zr_cell_job_free_tasks(struct zr_cell_model *model,
			    struct zr_cell_job *job)
{
	uint32_t i;

	free_steps(model, job);
	zr_cell_job_spec_clear(&job->spec);
	for (i = 0; i < job->task_count; i++)
		free(job->tasks[i].checkpoint);
	free(job->tasks);
	job->tasks = NULL;
	job->task_count = 0;
}

void zr_cell_job_remove(struct zr_cell_model *model, struct zr_cell_job *job)
{
	zr_cell_job_free_tasks(model, job);
	if (job->dirty)
		DL_DELETE(model->dirty, job);
	HASH_DEL(model->job_by_id, job);
	zr_table_remove(model->jobs, job->self);
	free(job);
}

bool zr_cell_job_has_ended(const struct zr_cell_job *job)
{
	return job->state != ZR_CELL_JOB_QUEUED &&
	       job->state != ZR_CELL_JOB_ACTIVE;
}

void zr_cell_job_mark_dirty(struct zr_cell_model *model,
			    struct zr_cell_job *job)
{
	job->change++;
	if (job->dirty)
		return;
	job->dirty = true;
	DL_APPEND(model->dirty, job);
}

static struct zr_cell_step_state *
occurrence_steps(const struct zr_cell_job *job, uint32_t occurrence)
{
	return &job->steps[(size_t)occurrence * job->spec.step_count];
}

static bool dependencies_done(const struct zr_cell_job *job,
			      const struct zr_cell_step_state *step)
{
	const struct zr_cell_step_state *steps =
		occurrence_steps(job, step->occurrence);
	uint32_t i;

	for (i = 0; i < step->spec->depends_on_count; i++) {
		const struct zr_cell_step_state *dependency =
			&steps[step->spec->depends_on[i]];

		if (dependency->done < dependency->spec->count)
			return false;
	}
	return true;
}

static bool is_occurrence_done(const struct zr_cell_job *job,
			       uint32_t occurrence)
{
	const struct zr_cell_step_state *steps =
		occurrence_steps(job, occurrence);
	uint32_t i;

	for (i = 0; i < job->spec.step_count; i++) {
		if (steps[i].done < steps[i].spec->count)
			return false;
	}
	return true;
}

static bool next_is_due(const struct zr_cell_job *job, int64_t now)
{
	return job->next_occurrence < job->occurrence_count &&
	       job->ready_steps < READY_STEPS_MAX &&
	       occurrence_steps(job, job->next_occurrence)->due_at <= now;
}

static void update_step(struct zr_cell_model *model,
			const struct zr_cell_job *job,
			struct zr_cell_step_state *step, int64_t now)
{
	if (zr_cell_job_has_ended(job) || !step->waiting) {
		unlist_step(model, step);
		return;
	}
	if (step->ready_at == ZR_CELL_NEVER && dependencies_done(job, step))
		step->ready_at = now > step->due_at ? now : step->due_at;
	if (step->ready_at != ZR_CELL_NEVER)
		list_step(model, step);
}

static void update_occurrence(struct zr_cell_model *model,
			      const struct zr_cell_job *job,
			      uint32_t occurrence, int64_t now)
{
	struct zr_cell_step_state *steps = occurrence_steps(job, occurrence);
	uint32_t i;

	for (i = 0; i < job->spec.step_count; i++)
		update_step(model, job, &steps[i], now);
}

/* Updates the occurrences that are due and not done, and adds those now due. */
static void update_occurrences(struct zr_cell_model *model,
			       struct zr_cell_job *job, int64_t now)
{
	uint32_t i;

	while (job->first_open < job->next_occurrence &&
	       is_occurrence_done(job, job->first_open))
		job->first_open++;
	for (i = job->first_open; i < job->next_occurrence; i++)
		update_occurrence(model, job, i, now);
	while (next_is_due(job, now))
		update_occurrence(model, job, job->next_occurrence++, now);
	if (zr_cell_job_has_ended(job) ||
	    job->next_occurrence == job->occurrence_count)
		unlist_timed(model, job);
	else
		list_timed(model, job);
}

void zr_cell_job_update(struct zr_cell_model *model, struct zr_cell_job *job,
			int64_t now, int64_t wall_ms)
{
	if (!zr_cell_job_has_ended(job) && job->done_tasks == job->task_count) {
		job->state = ZR_CELL_JOB_COMPLETED;
		job->ended_at = wall_ms;
		zr_cell_job_mark_dirty(model, job);
	}
	update_occurrences(model, job, now);
}

void zr_cell_model_update_due(struct zr_cell_model *model, int64_t now,
			      int64_t wall_ms)
{
	struct zr_cell_job *job;
	struct zr_cell_job *next;

	DL_FOREACH_SAFE2(model->timed, job, next, timed_next)
	{
		if (next_is_due(job, now))
			zr_cell_job_update(model, job, now, wall_ms);
	}
}

/* Tasks */

struct zr_cell_step_state *zr_cell_task_step(const struct zr_cell_job *job,
					     uint32_t task)
{
	uint32_t tasks = job->task_count / job->occurrence_count;
	uint32_t i = task / tasks * job->spec.step_count;

	while (i + 1 < job->step_count && task >= job->steps[i + 1].first_task)
		i++;
	return &job->steps[i];
}

struct zr_cell_task_name zr_cell_task_name(const struct zr_cell_job *job,
					   uint32_t task)
{
	const struct zr_cell_step_state *step = zr_cell_task_step(job, task);
	struct zr_cell_task_name name = {
		.occurrence = step->occurrence,
		.step = step->number,
		.index = task - step->first_task,
	};

	snprintf(name.job, sizeof(name.job), "%s", job->id);
	return name;
}

struct zr_cell_job *zr_cell_task_find(uint32_t *out,
				      const struct zr_cell_model *model,
				      const struct zr_cell_task_name *name)
{
	struct zr_cell_job *job = zr_cell_job_find(model, name->job);
	uint64_t step_index;

	if (!job || name->step >= job->spec.step_count)
		return NULL;
	step_index =
		(uint64_t)name->occurrence * job->spec.step_count + name->step;
	if (step_index >= job->step_count ||
	    name->index >= job->steps[step_index].spec->count)
		return NULL;
	*out = job->steps[step_index].first_task + name->index;
	return job;
}

struct zr_resources zr_cell_need(const struct zr_cell_step_spec *step)
{
	struct zr_resources need = step->need;

	/* Best-effort tasks use idle processors and reserve none. */
	if (step->flags & ZR_STEP_BEST_EFFORT)
		need.millicpus = 0;
	return need;
}

/*
 * Adds a run's resources to the usage of its worker and client account;
 * subtracts them if @sign is -1. A best-effort task counts in full for the
 * account, although it reserves no processors of the worker.
 */
static void charge(struct zr_cell_model *model, const struct zr_cell_job *job,
		   const struct zr_cell_step_spec *step,
		   struct zr_cell_worker *worker, int64_t sign)
{
	struct zr_cell_client_state *client =
		zr_cell_client(model, job->client);
	struct zr_resources need = zr_cell_need(step);

	worker->used_millicpus += (uint64_t)(sign * need.millicpus);
	worker->used_memory_mb += (uint64_t)(sign * need.memory_mb);
	worker->used_accelerators += (uint64_t)(sign * need.accelerators);
	client->used_millicpus += (uint64_t)(sign * step->need.millicpus);
	client->used_memory_mb += (uint64_t)(sign * step->need.memory_mb);
	client->used_accelerators += (uint64_t)(sign * step->need.accelerators);
}

int zr_cell_task_event(struct zr_cell_task *task, enum zr_task_event event)
{
	return zr_chart_step(&task->state, zr_charts()->task, event);
}

static void add_run(struct zr_cell_worker *worker, zr_handle job, uint32_t task)
{
	if (worker->run_count == worker->run_alloc) {
		worker->run_alloc =
			worker->run_alloc ? 2 * worker->run_alloc : 8;
		worker->runs =
			realloc(worker->runs,
				worker->run_alloc * sizeof(*worker->runs));
		if (!worker->runs)
			abort();
	}
	worker->runs[worker->run_count++] = (struct zr_cell_ref){job, task};
}

static void remove_run(struct zr_cell_worker *worker, zr_handle job,
		       uint32_t task)
{
	size_t i;

	for (i = 0; i < worker->run_count; i++) {
		if (worker->runs[i].job == job &&
		    worker->runs[i].task == task) {
			worker->runs[i] = worker->runs[--worker->run_count];
			return;
		}
	}
}

static void begin_isolation(struct zr_cell_worker *worker, zr_handle job,
			    struct zr_cell_task *task)
{
	task->isolated = true;
	task->settle_polled = false;
	worker->isolated_runs++;
	worker->isolation_job = job;
}

void zr_cell_worker_end_isolation(struct zr_cell_worker *worker,
				  struct zr_cell_task *task)
{
	if (!task->isolated)
		return;
	task->isolated = false;
	if (!--worker->isolated_runs)
		worker->isolation_job = ZR_HANDLE_NONE;
}

void zr_cell_task_begin_run(struct zr_cell_model *model,
			    struct zr_cell_job *job, uint32_t task,
			    struct zr_cell_worker *worker,
			    enum zr_task_event event)
{
	struct zr_cell_task *entry = &job->tasks[task];
	struct zr_cell_step_state *step = zr_cell_task_step(job, task);

	if (zr_cell_task_event(entry, event) < 0)
		return;
	entry->worker = worker->self;
	entry->incarnation = (uint32_t)worker->report.incarnation;
	entry->visible_after = ZR_CELL_START_PENDING;
	entry->stop_sent = false;
	entry->sent_at = 0;
	entry->uncertain_event = 0;
	entry->stops = 0;
	entry->crash_evidence = 0;
	entry->percent = 0;
	entry->whole_run = false;
	entry->slow_logged = false;
	step->waiting--;
	step->active_tasks++;
	job->active_tasks++;
	if (job->state == ZR_CELL_JOB_QUEUED)
		job->state = ZR_CELL_JOB_ACTIVE;
	charge(model, job, step->spec, worker, 1);
	add_run(worker, job->self, task);
	if (entry->suspicion)
		begin_isolation(worker, job->self, entry);
}

void zr_cell_task_end_run(struct zr_cell_model *model, struct zr_cell_job *job,
			  uint32_t task, enum zr_task_event event)
{
	struct zr_cell_task *entry = &job->tasks[task];
	struct zr_cell_step_state *step = zr_cell_task_step(job, task);
	struct zr_cell_worker *worker = zr_cell_worker(model, entry->worker);
	bool was_active = entry->state != ZR_TASK_WAITING;

	if (zr_cell_task_event(entry, event) < 0)
		return;
	if (was_active) {
		step->active_tasks--;
		job->active_tasks--;
		charge(model, job, step->spec, worker, -1);
		remove_run(worker, job->self, task);
		zr_cell_worker_end_isolation(worker, entry);
	} else {
		step->waiting--;
	}
	entry->worker = ZR_HANDLE_NONE;
	if (event == ZR_TASK_EVENT_DONE) {
		step->done++;
		job->done_tasks++;
	} else {
		step->waiting++;
	}
}

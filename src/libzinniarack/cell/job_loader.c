#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cell/plan.h"
#include "zinniarack/errors.h"
#include "zinniarack/log.h"

/*
 * Timeout of a watch call. It also bounds the time for which a connection that
 * hangs delays the watch.
 */
#define WATCH_TIMEOUT_MS 1500
#define RETRY_DELAY_MS 100
/*
 * Pause between watches. Hosts notify the owner of the jobs that they accept,
 * so the watch only has to deliver those whose notification was lost.
 */
#define WATCH_PAUSE_MS 250
/*
 * Time for which the reads of a load that did not end are kept, for the next
 * term. Other hosts may own the cell in between without becoming active.
 */
#define READS_KEPT_MS 60000
/*
 * Age of the read of the jobs at the end of the load up to which the numbers of
 * waiting jobs are published before the watch has delivered the rest.
 */
#define JOBS_AGE_MAX_MS 1000
/*
 * Margins added to the maximum duration of a lease that the previous owner may
 * have granted, because the worker's clock may be slower than ours.
 */
#define PREVIOUS_LEASE_DRIFT_PERMILLE 30
#define PREVIOUS_LEASE_MARGIN_MS 300
#define PERMILLE 1000

/* Frees a call. Returns NULL if its reply is stale and must be ignored. */
static struct zr_cell_scheduler *finish_store_call(struct zr_cell_call *call)
{
	struct zr_cell_scheduler *scheduler = zr_cell_call_end(call);

	free(call);
	return scheduler && scheduler->phase != ZR_CELL_STANDBY ? scheduler
								: NULL;
}

/* Keys */

/* Extract the job id from a key under @prefix and detect a cancellation key. */
static int parse_job_key(char out[ZR_NAME_MAX], bool *out_cancel,
			 const char *key, const char *prefix)
{
	const char *id = key + strlen(prefix);
	const char *suffix = strstr(id, ZR_CELL_CANCEL_SUFFIX);
	size_t length = suffix ? (size_t)(suffix - id) : strlen(id);

	if (strncmp(key, prefix, strlen(prefix)) || !length ||
	    length >= ZR_NAME_MAX)
		return ZR_E_INVALID;
	memcpy(out, id, length);
	out[length] = '\0';
	*out_cancel = suffix != NULL;
	return 0;
}

/* Accepted jobs */

static void charge_client(struct zr_cell_scheduler *scheduler,
			  struct zr_cell_job *job)
{
	job->over_share = !zr_cell_priority_charge(
		zr_cell_client(&scheduler->term.model, job->client),
		job->accepted_at);
}

static int compare_acceptance(struct zr_cell_job *a, struct zr_cell_job *b)
{
	if (a->accepted_at != b->accepted_at)
		return a->accepted_at < b->accepted_at ? -1 : 1;
	return 0;
}

static void init_job(struct zr_cell_scheduler *scheduler,
		     struct zr_cell_job *job, const zx_cell_stored_job *stored)
{
	const zx_cell_job *record = &stored->job;
	int64_t now = zr_cell_now_ms(scheduler);
	int64_t wall_now_ms = zr_cell_wall_ms(scheduler);
	uint32_t i;

	snprintf(job->queue, sizeof(job->queue), "%s", record->queue);
	snprintf(job->terms.pool, sizeof(job->terms.pool), "%s", record->pool);
	job->terms.advised = stored->advice.advised;
	job->terms.advise_ms = stored->advice.advise_ms;
	job->terms.advise_worker_us = stored->advice.advise_worker_us;
	job->terms.permit_ms = stored->advice.permit_ms;
	job->priority = record->priority;
	job->attempts = record->attempts ? record->attempts : 1;
	job->stretch_permille = record->stretch_permille;
	job->latency_target_ms = record->latency_target_ms;
	/* The clock of the accepting host may be ahead of ours. */
	job->accepted_at = now - (wall_now_ms > record->accepted_ms
					  ? wall_now_ms - record->accepted_ms
					  : 0);
	/* become_active() charges loaded jobs, in the order of acceptance. */
	if (scheduler->phase == ZR_CELL_ACTIVE)
		charge_client(scheduler, job);
	for (i = 0; i < job->step_count; i++) {
		if (job->spec.repeats)
			job->steps[i].due_at = now + job->spec.first_ms +
					       job->steps[i].occurrence *
						       job->spec.interval_ms -
					       wall_now_ms;
	}
}

static struct zr_cell_job *add_job(struct zr_cell_scheduler *scheduler,
				   const char *id, const void *data,
				   size_t length)
{
	struct zr_cell_job_spec spec;
	struct zr_cell_job *job = NULL;
	zx_cell_stored_job record = {0};

	if (zr_cell_decode_job(&record, data, length) < 0) {
		zr_log(ZR_LOG_ERROR, "job.unreadable job=%s bytes=%zu", id,
		       length);
		return NULL;
	}
	if (!zr_cell_spec_from_record(&spec, &record.job)) {
		job = zr_cell_job_add(&scheduler->term.model, id, &spec,
				      record.job.client);
		init_job(scheduler, job, &record);
	}
	xdr_free((xdrproc_t)xdr_zx_cell_stored_job, &record);
	return job;
}

static void update_job(struct zr_cell_scheduler *scheduler,
		       struct zr_cell_job *job)
{
	zr_cell_job_update(&scheduler->term.model, job,
			   zr_cell_now_ms(scheduler),
			   zr_cell_wall_ms(scheduler));
}

static void handle_job(struct zr_cell_scheduler *scheduler, const char *id,
		       const void *data, size_t length, const char *by)
{
	struct zr_cell_job *job = zr_cell_job_find(&scheduler->term.model, id);

	if (job)
		return;
	job = add_job(scheduler, id, data, length);
	if (!job)
		return;
	zr_log_decision(
		"job.received job=%s queue=%s client=%s tasks=%" PRIu32
		" steps=%" PRIu32 " age_ms=%" PRId64 " objective_ms=%" PRId64
		" excess=%d by=%s",
		id, job->queue,
		zr_cell_client(&scheduler->term.model, job->client)->name,
		job->task_count, job->step_count,
		zr_cell_now_ms(scheduler) - job->accepted_at,
		zr_cell_priority_objective_ms(job), job->over_share, by);
	update_job(scheduler, job);
	zr_cell_schedule_plan(scheduler);
}

static bool handle_cancel(struct zr_cell_scheduler *scheduler, const char *id)
{
	struct zr_cell_job *job = zr_cell_job_find(&scheduler->term.model, id);

	if (job)
		zr_cell_job_cancel(scheduler, job);
	return job != NULL;
}

static void handle_accepted_key(struct zr_cell_scheduler *scheduler,
				const struct zr_store_value *value)
{
	char id[ZR_NAME_MAX];
	bool cancel;

	if (!value->data ||
	    parse_job_key(id, &cancel, value->key, ZR_CELL_JOB_PREFIX) < 0)
		return;
	if (cancel)
		handle_cancel(scheduler, id);
	else
		handle_job(scheduler, id, value->data, value->length, "store");
}

bool zr_cell_scheduler_notify_job(struct zr_cell_scheduler *scheduler,
				  const char *id, const void *record,
				  size_t length)
{
	if (scheduler->phase != ZR_CELL_ACTIVE)
		return false;
	if (!record)
		return handle_cancel(scheduler, id);
	handle_job(scheduler, id, record, length, "host");
	return true;
}

/* Process cancellations last, because their jobs must be in the model. */
static void handle_accepted_keys(struct zr_cell_scheduler *scheduler,
				 const struct zr_store_reply *reply)
{
	size_t i;

	for (i = 0; i < reply->count; i++) {
		if (!strstr(reply->values[i].key, ZR_CELL_CANCEL_SUFFIX))
			handle_accepted_key(scheduler, &reply->values[i]);
	}
	for (i = 0; i < reply->count; i++) {
		if (strstr(reply->values[i].key, ZR_CELL_CANCEL_SUFFIX))
			handle_accepted_key(scheduler, &reply->values[i]);
	}
}

/* Watch on accepted jobs */

static void on_resync(void *ctx, int error, const struct zr_store_reply *reply)
{
	struct zr_cell_scheduler *scheduler = finish_store_call(ctx);

	if (!scheduler)
		return;
	if (!error) {
		handle_accepted_keys(scheduler, reply);
		scheduler->term.watch_revision = reply->revision;
		scheduler->term.jobs_outdated = false;
		zr_log(ZR_LOG_INFO, "watch.resync revision=%" PRId64,
		       reply->revision);
	}
	zr_timer_start(scheduler->rewatch, error ? RETRY_DELAY_MS : 0, 0);
}

static void resync(struct zr_cell_scheduler *scheduler)
{
	zr_store_range(
		&scheduler->options.platform->store, ZR_STORE_RECOVERY,
		ZR_CELL_JOB_PREFIX, true, on_resync,
		zr_cell_call_new(scheduler, sizeof(struct zr_cell_call)));
}

static void on_watch(void *ctx, int error, const struct zr_store_reply *reply)
{
	struct zr_cell_scheduler *scheduler = finish_store_call(ctx);

	if (!scheduler)
		return;
	if (error == ZR_E_NOT_FOUND) {
		/* The store no longer has the history since our revision. */
		resync(scheduler);
		return;
	}
	if (error < 0) {
		scheduler->term.watch_failures++;
		zr_timer_start(scheduler->rewatch, RETRY_DELAY_MS, 0);
		return;
	}
	handle_accepted_keys(scheduler, reply);
	scheduler->term.jobs_outdated = false;
	if (reply->revision > scheduler->term.watch_revision)
		scheduler->term.watch_revision = reply->revision;
	zr_timer_start(scheduler->rewatch, WATCH_PAUSE_MS, 0);
}

void zr_cell_watch_jobs(struct zr_cell_scheduler *scheduler)
{
	if (scheduler->phase == ZR_CELL_STANDBY)
		return;
	/* After a failure, changes may have been missed; read all keys. */
	if (scheduler->term.watch_failures) {
		scheduler->term.watch_failures = 0;
		resync(scheduler);
		return;
	}
	zr_store_watch(
		&scheduler->options.platform->store, ZR_CELL_JOB_PREFIX,
		scheduler->term.watch_revision, WATCH_TIMEOUT_MS, on_watch,
		zr_cell_call_new(scheduler, sizeof(struct zr_cell_call)));
}

/* Loading of the persisted state after a takeover */

static void read_next(struct zr_cell_scheduler *scheduler);

static void restore_task(struct zr_cell_scheduler *scheduler,
			 struct zr_cell_job *job, uint32_t index,
			 const zx_cell_task *record)
{
	struct zr_cell_task *task = &job->tasks[index];
	struct zr_cell_worker *worker;
	int64_t lease_max_ms = scheduler->options.limits.lease_max_ms;

	job->has_started |=
		record->done || record->failures || record->checkpoint[0];
	task->attempt = record->attempt;
	task->failures = record->failures;
	/* Which of its runs failed is not known: an active one has not yet. */
	if (record->failures)
		task->failed_attempt = record->attempt - !!record->worker[0];
	/* The codec has the same limit. */
	zr_cell_task_set_checkpoint(task, record->checkpoint);
	if (record->done) {
		zr_cell_task_end_run(&scheduler->term.model, job, index,
				     ZR_TASK_EVENT_DONE);
		return;
	}
	if (!record->worker[0])
		return;
	worker = zr_cell_worker_get_or_add(&scheduler->term.model,
					   record->worker);
	zr_cell_task_begin_run(&scheduler->term.model, job, index, worker,
			       ZR_TASK_EVENT_FOUND);
	/*
	 * Workers reject the previous owner's requests once they have seen this
	 * owner's fencing token, so any poll shows whether the run exists.
	 */
	task->visible_after = 0;
	worker->runs_expire_at =
		zr_cell_now_ms(scheduler) + lease_max_ms +
		lease_max_ms * PREVIOUS_LEASE_DRIFT_PERMILLE / PERMILLE +
		PREVIOUS_LEASE_MARGIN_MS;
	worker->poll_due_at = 0;
}

/* A gang is done as soon as one of its members is. */
static void restore_gangs(struct zr_cell_model *model, struct zr_cell_job *job)
{
	uint32_t i;
	uint32_t j;

	for (i = 0; i < job->step_count; i++) {
		const struct zr_cell_step_state *step = &job->steps[i];

		if (!(step->spec->flags & ZR_STEP_GANG) || !step->done)
			continue;
		for (j = step->first_task;
		     j < step->first_task + step->spec->count; j++)
			job->tasks[j].finished = true;
		zr_cell_gang_finish_waiting(model, job, step);
	}
}

/*
 * The record of an earlier version, or one that is full, has the failures of
 * the members only, and several of them may have failed in one run: at least as
 * many runs have failed as of the member with the most failures.
 */
static void estimate_gang_failures(const struct zr_cell_job *job,
				   struct zr_cell_step_state *step)
{
	uint32_t i;

	for (i = step->first_task; i < step->first_task + step->spec->count;
	     i++) {
		const struct zr_cell_task *task = &job->tasks[i];
		/* An active run has not failed. */
		uint32_t attempt =
			task->attempt - (task->worker != ZR_HANDLE_NONE);

		if (!task->failures)
			continue;
		if (task->failures > step->failed_runs)
			step->failed_runs = task->failures;
		if (attempt > step->failed_attempt)
			step->failed_attempt = attempt;
	}
}

static void restore_gang_failures(struct zr_cell_job *job,
				  const zx_cell_gang_list *list)
{
	u_int i;

	for (i = 0; i < job->step_count; i++) {
		if (zr_cell_step_is_gang(&job->steps[i]))
			estimate_gang_failures(job, &job->steps[i]);
	}
	for (i = 0; i < list->gangs.gangs_len; i++) {
		const zx_cell_gang_failures *gang = &list->gangs.gangs_val[i];

		if (gang->step >= job->step_count)
			continue;
		job->steps[gang->step].failed_runs = gang->runs;
		job->steps[gang->step].failed_attempt = gang->attempt;
	}
}

/* Called before the runs are restored: those of suspects are isolated. */
static void restore_crashes(struct zr_cell_job *job,
			    const zx_cell_stored_progress *record)
{
	u_int i;

	for (i = 0; i < record->crashes.tasks.tasks_len; i++) {
		const zx_cell_crashes *entry =
			&record->crashes.tasks.tasks_val[i];
		struct zr_cell_task *task;

		if (entry->task >= job->task_count)
			continue;
		task = &job->tasks[entry->task];
		task->crashes = entry->crashes;
		task->certain_crashes = entry->certain_crashes;
		if (i < record->runs.possible_crashes.possible_crashes_len)
			task->possible_crashes =
				record->runs.possible_crashes
					.possible_crashes_val[i];
		task->suspicion = entry->suspicion <= ZR_SUSPECT_ALWAYS
					  ? entry->suspicion
					  : ZR_SUSPECT_ALWAYS;
		job->has_suspects |= task->suspicion != ZR_SUSPECT_NOT;
	}
}

/* Called after the runs are restored. */
static void restore_incarnations(struct zr_cell_job *job,
				 const zx_cell_run_list *runs)
{
	u_int count = 0;
	uint32_t i;

	for (i = 0; i < job->task_count; i++) {
		if (!job->tasks[i].worker)
			continue;
		job->tasks[i].incarnation =
			count < runs->incarnations.incarnations_len
				? runs->incarnations.incarnations_val[count]
				: 0;
		count++;
	}
}

static void restore_job(struct zr_cell_scheduler *scheduler,
			struct zr_cell_job *job,
			const zx_cell_stored_progress *stored)
{
	const zx_cell_progress *record = &stored->progress;
	uint32_t i;

	restore_crashes(job, stored);
	job->ended_at = record->ended_ms;
	for (i = 0; i < job->task_count && i < record->tasks.tasks_len; i++)
		restore_task(scheduler, job, i, &record->tasks.tasks_val[i]);
	restore_incarnations(job, &stored->runs);
	restore_gang_failures(job, &stored->gangs);
	job->state = (enum zr_cell_job_state)record->state;
	job->persisted_state = job->state;
	restore_gangs(&scheduler->term.model, job);
}

/*
 * Add an ended job, of which only the progress record is left in the store. It
 * stays in the model until its retention expires, to answer state queries and
 * to ignore a late notification of the job.
 */
static struct zr_cell_job *add_ended_job(struct zr_cell_scheduler *scheduler,
					 const char *id,
					 const zx_cell_progress *record)
{
	struct zr_cell_job_spec empty_spec = {0};
	struct zr_cell_job *job = zr_cell_job_add(&scheduler->term.model, id,
						  &empty_spec, record->client);

	snprintf(job->queue, sizeof(job->queue), "%s", record->queue);
	return job;
}

static void load_progress(struct zr_cell_scheduler *scheduler,
			  const struct zr_store_value *value)
{
	zx_cell_stored_progress record = {0};
	struct zr_cell_job *job;
	char id[ZR_NAME_MAX];
	bool cancel;

	if (!strcmp(value->key, ZR_CELL_PAST_USE_KEY) ||
	    parse_job_key(id, &cancel, value->key, ZR_CELL_PROGRESS_PREFIX) <
		    0 ||
	    cancel)
		return;
	if (zr_cell_decode_progress(&record, value->data, value->length) < 0) {
		zr_log(ZR_LOG_ERROR, "progress.unreadable job=%s bytes=%zu", id,
		       value->length);
		return;
	}
	job = zr_cell_job_find(&scheduler->term.model, id);
	if (!job)
		job = add_ended_job(scheduler, id, &record.progress);
	restore_job(scheduler, job, &record);
	zr_cell_past_use_load_job(scheduler, job, &record);
	job->revision = value->mod_revision;
	zr_cell_progress_clear(&record);
}

static void become_active(struct zr_cell_scheduler *scheduler)
{
	struct zr_cell_job *job;
	struct zr_cell_job *next;
	size_t active_runs = 0;

	zr_cell_refresh_client_limits(scheduler);
	HASH_SORT(scheduler->term.model.job_by_id, compare_acceptance);
	HASH_ITER (hh, scheduler->term.model.job_by_id, job, next) {
		if (!zr_cell_job_has_ended(job))
			charge_client(scheduler, job);
		active_runs += job->active_tasks;
		update_job(scheduler, job);
		zr_cell_stop_incomplete_gangs(scheduler, job);
	}
	scheduler->phase = ZR_CELL_ACTIVE;
	scheduler->failed_loads = 0;
	/* The first planning pass needs the order that past use entails. */
	zr_cell_past_use_process(scheduler, zr_cell_now_ms(scheduler));
	zr_log(ZR_LOG_INFO,
	       "cell.active token=%" PRIu64
	       " jobs=%u open=%zu took_ms=%" PRId64,
	       scheduler->term.fencing_token,
	       HASH_COUNT(scheduler->term.model.job_by_id), active_runs,
	       zr_cell_now_ms(scheduler) - scheduler->loading.began_at);
	if (!scheduler->term.registry_revision)
		zr_cell_registry_read(scheduler);
	zr_cell_watch_jobs(scheduler);
	zr_cell_schedule_plan(scheduler);
}

static void retry_load(struct zr_cell_scheduler *scheduler, int error)
{
	const struct zr_cell_loading *loading = &scheduler->loading;

	zr_log(ZR_LOG_WARN,
	       "cell.load_failed error=%s jobs_read=%d progress_read=%d "
	       "age_ms=%" PRId64,
	       zr_error_name(error), loading->jobs.done, loading->progress.done,
	       zr_cell_now_ms(scheduler) - loading->began_at);
	zr_timer_start(scheduler->rewatch, RETRY_DELAY_MS, 0);
}

/* Loads a job or a cancellation, which keys sort behind its job. */
static void load_job(struct zr_cell_scheduler *scheduler,
		     const struct zr_store_value *value)
{
	struct zr_cell_job *job;
	char id[ZR_NAME_MAX];
	bool cancel;

	if (parse_job_key(id, &cancel, value->key, ZR_CELL_JOB_PREFIX) < 0)
		return;
	job = zr_cell_job_find(&scheduler->term.model, id);
	if (cancel && job)
		job->cancel_found = true;
	else if (!cancel && !job)
		add_job(scheduler, id, value->data, value->length);
}

/*
 * The jobs and their progress are read at the same time. Nothing but an active
 * owner writes progress or deletes a job, so the reads need not be of one
 * revision: what one has brought is kept when the other fails, and also when
 * the term ends before the load, until another owner has been active. A job
 * that was accepted since its read is found by the watch.
 */

static void clear_read(struct zr_cell_load_read *read)
{
	size_t i;

	for (i = 0; i < read->count; i++) {
		free(read->values[i].key);
		free(read->values[i].data);
	}
	free(read->values);
	memset(read, 0, sizeof(*read));
}

void zr_cell_loading_clear(struct zr_cell_loading *loading)
{
	loading->generation++;
	clear_read(&loading->jobs);
	clear_read(&loading->progress);
}

static void keep_values(struct zr_cell_load_read *read,
			const struct zr_store_reply *reply)
{
	size_t i;

	read->values = calloc(reply->count + 1, sizeof(*read->values));
	if (!read->values)
		abort();
	for (i = 0; i < reply->count; i++) {
		const struct zr_store_value *value = &reply->values[i];
		struct zr_store_value *kept = &read->values[i];

		*kept = *value;
		kept->key = strdup(value->key);
		kept->data = malloc(value->length + 1);
		if (!kept->key || !kept->data)
			abort();
		if (value->length)
			memcpy(kept->data, value->data, value->length);
	}
	read->count = reply->count;
	read->revision = reply->revision;
	read->done = true;
}

static void finish_loading(struct zr_cell_scheduler *scheduler)
{
	struct zr_cell_loading *loading = &scheduler->loading;
	struct zr_cell_job *job;
	struct zr_cell_job *next;
	size_t i;

	for (i = 0; i < loading->jobs.count; i++)
		load_job(scheduler, &loading->jobs.values[i]);
	zr_cell_past_use_begin_load(scheduler, loading->progress.values,
				    loading->progress.count);
	for (i = 0; i < loading->progress.count; i++)
		load_progress(scheduler, &loading->progress.values[i]);
	zr_cell_past_use_end_load(scheduler);
	HASH_ITER (hh, scheduler->term.model.job_by_id, job, next) {
		if (job->cancel_found)
			zr_cell_job_cancel(scheduler, job);
	}
	scheduler->term.watch_revision = loading->jobs.revision;
	scheduler->term.jobs_outdated =
		zr_cell_now_ms(scheduler) - loading->jobs.sent_at >
		JOBS_AGE_MAX_MS;
	zr_cell_loading_clear(loading);
	loading->epoch = 0;
	become_active(scheduler);
}

/* Called when no read is pending any more. */
static void continue_loading(struct zr_cell_scheduler *scheduler)
{
	struct zr_cell_loading *loading = &scheduler->loading;

	if (loading->jobs.pending || loading->progress.pending)
		return;
	if (loading->error < 0)
		retry_load(scheduler, loading->error);
	else if (loading->jobs.done && loading->progress.done)
		finish_loading(scheduler);
	else
		read_next(scheduler);
}

/* One of the two reads in flight. */
struct load_call {
	struct zr_cell_scheduler *scheduler;
	struct zr_cell_load_read *read;
	uint64_t generation;
	int64_t sent_at;
};

static void note_read(const struct load_call *call,
		      const struct zr_store_reply *reply)
{
	struct zr_cell_scheduler *scheduler = call->scheduler;
	size_t bytes = 0;
	size_t i;

	for (i = 0; i < reply->count; i++)
		bytes += strlen(reply->values[i].key) + reply->values[i].length;
	scheduler->loaded_bytes->value += (int64_t)bytes;
	zr_log(ZR_LOG_INFO,
	       "cell.load_read what=%s count=%zu bytes=%zu revision=%" PRId64
	       " took_ms=%" PRId64,
	       call->read == &scheduler->loading.jobs ? "jobs" : "progress",
	       reply->count, bytes, reply->revision,
	       zr_cell_now_ms(scheduler) - call->sent_at);
}

static void on_load_read(void *ctx, int error,
			 const struct zr_store_reply *reply)
{
	struct load_call call = *(struct load_call *)ctx;
	struct zr_cell_scheduler *scheduler = call.scheduler;

	free(ctx);
	if (!zr_cell_call_done(scheduler))
		return;
	if (!error)
		note_read(&call, reply);
	if (call.generation != scheduler->loading.generation)
		return;
	call.read->pending = false;
	if (error < 0)
		scheduler->loading.error = error;
	else
		keep_values(call.read, reply);
	if (scheduler->phase == ZR_CELL_LOADING)
		continue_loading(scheduler);
}

static void send_read(struct zr_cell_scheduler *scheduler,
		      struct zr_cell_load_read *read, const char *prefix)
{
	struct load_call *call;

	if (read->pending || read->done)
		return;
	call = calloc(1, sizeof(*call));
	if (!call)
		abort();
	call->scheduler = scheduler;
	call->read = read;
	call->generation = scheduler->loading.generation;
	call->sent_at = zr_cell_now_ms(scheduler);
	read->pending = true;
	read->sent_at = call->sent_at;
	scheduler->pending_calls++;
	zr_store_range(&scheduler->options.platform->store, ZR_STORE_RECOVERY,
		       prefix, true, on_load_read, call);
}

static void read_jobs(struct zr_cell_scheduler *scheduler)
{
	send_read(scheduler, &scheduler->loading.jobs, ZR_CELL_JOB_PREFIX);
}

static void read_progress(struct zr_cell_scheduler *scheduler)
{
	send_read(scheduler, &scheduler->loading.progress,
		  ZR_CELL_PROGRESS_PREFIX);
}

/*
 * After a failure the reads are made one after the other, because they may have
 * failed for sharing a thin link. The registry, which is smaller, is read along
 * with the last.
 */
static void read_next(struct zr_cell_scheduler *scheduler)
{
	const struct zr_cell_loading *loading = &scheduler->loading;
	bool is_last = loading->jobs.done || loading->progress.done;

	if (!loading->jobs.done)
		read_jobs(scheduler);
	else
		read_progress(scheduler);
	if (is_last && !scheduler->term.registry_revision)
		zr_cell_registry_read(scheduler);
}

/*
 * Whether no owner has been active since the reads began: all terms since the
 * last own one were given back unused.
 */
static bool reads_are_valid(const struct zr_cell_loading *loading,
			    const struct zr_owner_term *term)
{
	return loading->epoch && loading->epoch < term->epoch &&
	       term->epoch - 1 - loading->epoch <= term->unused_terms;
}

void zr_cell_load_jobs(struct zr_cell_scheduler *scheduler,
		       const struct zr_owner_term *term,
		       unsigned int timeout_ms, unsigned int extended_ms)
{
	struct zr_cell_loading *loading = &scheduler->loading;

	loading->began_at = zr_cell_now_ms(scheduler);
	loading->deadline_at = loading->began_at + timeout_ms;
	loading->extended_until = loading->began_at + extended_ms;
	loading->error = 0;
	if (reads_are_valid(loading, term)) {
		loading->epoch = term->epoch;
		continue_loading(scheduler);
		return;
	}
	zr_cell_loading_clear(loading);
	loading->epoch = term->epoch;
	read_jobs(scheduler);
	read_progress(scheduler);
	zr_cell_registry_read(scheduler);
}

void zr_cell_load_lost(struct zr_cell_scheduler *scheduler)
{
	scheduler->failed_loads++;
	scheduler->loading.kept_until =
		zr_cell_now_ms(scheduler) + READS_KEPT_MS;
	/* It must not replace its own key before others could campaign. */
	zr_owner_give_back(scheduler->owner);
}

/* An owner that cannot load the state leaves the cell to a host that can. */
static void give_up_load(struct zr_cell_scheduler *scheduler)
{
	const struct zr_cell_loading *loading = &scheduler->loading;

	zr_log(ZR_LOG_WARN,
	       "cell.load_given_up jobs_read=%d progress_read=%d "
	       "age_ms=%" PRId64 " failed_before=%u",
	       loading->jobs.done, loading->progress.done,
	       zr_cell_now_ms(scheduler) - loading->began_at,
	       scheduler->failed_loads);
	scheduler->load_timeouts->value++;
	zr_owner_give_back(scheduler->owner);
}

static bool load_is_overdue(const struct zr_cell_scheduler *scheduler,
			    int64_t now)
{
	const struct zr_cell_loading *loading = &scheduler->loading;

	if (now < loading->deadline_at || scheduler->releasing)
		return false;
	return now >= loading->extended_until ||
	       scheduler->largest_size > scheduler->own_size ||
	       !zr_store_receiving(&scheduler->options.platform->store);
}

void zr_cell_load_process(struct zr_cell_scheduler *scheduler)
{
	struct zr_cell_loading *loading = &scheduler->loading;
	int64_t now = zr_cell_now_ms(scheduler);

	if (scheduler->phase == ZR_CELL_LOADING) {
		if (load_is_overdue(scheduler, now))
			give_up_load(scheduler);
	} else if (loading->epoch && now >= loading->kept_until) {
		zr_cell_loading_clear(loading);
		loading->epoch = 0;
		scheduler->failed_loads = 0;
	}
}

void zr_cell_resume_watch(void *ctx)
{
	struct zr_cell_scheduler *scheduler = ctx;

	if (scheduler->phase == ZR_CELL_LOADING) {
		scheduler->loading.error = 0;
		read_next(scheduler);
	} else if (scheduler->phase == ZR_CELL_ACTIVE) {
		zr_cell_watch_jobs(scheduler);
	}
}

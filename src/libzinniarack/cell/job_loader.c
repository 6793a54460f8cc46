#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cell/plan.h"
#include "zinniarack/errors.h"
#include "zinniarack/log.h"

/* A watch waits this long; a connection that went silent costs no more. */
#define WATCH_WAIT_MS 1500
#define RETRY_MS 100
/* Hosts tell of the jobs that they accept; the watch finds what they could not.
 */
#define PAUSE_MS 250
/* A lease of the scheduler before may run this much longer by our clock. */
#define OLD_LEASE_PERMILLE 30
#define OLD_LEASE_SLACK_MS 300
#define PERMILLE 1000

/* An open read of this module. */
struct reading {
	struct zr_cell_scheduler *scheduler;
	uint64_t reign;
};

static struct reading *new_reading(struct zr_cell_scheduler *scheduler)
{
	struct reading *reading = calloc(1, sizeof(*reading));

	if (!reading)
		abort();
	reading->scheduler = scheduler;
	reading->reign = scheduler->reign;
	scheduler->open_calls++;
	return reading;
}

/* Whether the answer is still wanted; frees the reading. */
static struct zr_cell_scheduler *take_reading(struct reading *reading)
{
	struct zr_cell_scheduler *scheduler = reading->scheduler;
	bool wanted = zr_cell_call_ended(scheduler) &&
		      reading->reign == scheduler->reign &&
		      scheduler->phase != ZR_CELL_STANDBY;

	free(reading);
	return wanted ? scheduler : NULL;
}

/* Keys */

/* The id of a key under @prefix; whether it is that of a cancellation. */
static int key_id(char out[ZR_NAME_MAX], bool *out_cancel, const char *key,
		  const char *prefix)
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

static void charge(struct zr_cell_scheduler *scheduler, struct zr_cell_job *job)
{
	job->excess = !zr_cell_order_charge(
		zr_cell_client(&scheduler->model, job->client),
		job->accepted_at);
}

static int by_acceptance(struct zr_cell_job *a, struct zr_cell_job *b)
{
	if (a->accepted_at != b->accepted_at)
		return a->accepted_at < b->accepted_at ? -1 : 1;
	return 0;
}

static void fill_job(struct zr_cell_scheduler *scheduler,
		     struct zr_cell_job *job, const zx_cell_job *record)
{
	int64_t now = zr_cell_now(scheduler);
	int64_t today = zr_cell_today(scheduler);
	uint32_t i;

	snprintf(job->queue, sizeof(job->queue), "%s", record->queue);
	snprintf(job->pool, sizeof(job->pool), "%s", record->pool);
	job->priority = record->priority;
	job->attempts = record->attempts ? record->attempts : 1;
	job->stretch_permille = record->stretch_permille;
	job->latency_target_ms = record->latency_target_ms;
	/* Clocks of hosts differ: a job is not older than it can be. */
	job->accepted_at =
		now -
		(today > record->accepted_ms ? today - record->accepted_ms : 0);
	/* Found jobs are charged in the order of their acceptance, later. */
	if (scheduler->phase == ZR_CELL_ACTIVE)
		charge(scheduler, job);
	for (i = 0; i < job->step_count; i++) {
		if (job->spec.repeats)
			job->steps[i].due_at = now + job->spec.first_ms +
					       job->steps[i].occurrence *
						       job->spec.interval_ms -
					       today;
	}
}

static struct zr_cell_job *add_job(struct zr_cell_scheduler *scheduler,
				   const char *id, const void *data,
				   size_t length)
{
	struct zr_cell_job_spec spec;
	struct zr_cell_job *job = NULL;
	zx_cell_job record = {0};

	if (zr_cell_decode(&record, (xdrproc_t)xdr_zx_cell_job, data, length) <
	    0) {
		zr_log(ZR_LOG_ERROR, "job.unreadable job=%s bytes=%zu", id,
		       length);
		return NULL;
	}
	if (!zr_cell_spec_of(&spec, &record)) {
		job = zr_cell_job_add(&scheduler->model, id, &spec,
				      record.client);
		fill_job(scheduler, job, &record);
	}
	xdr_free((xdrproc_t)xdr_zx_cell_job, &record);
	return job;
}

static void review(struct zr_cell_scheduler *scheduler, struct zr_cell_job *job)
{
	zr_cell_job_review(&scheduler->model, job, zr_cell_now(scheduler),
			   zr_cell_today(scheduler));
}

static void take_job(struct zr_cell_scheduler *scheduler, const char *id,
		     const void *data, size_t length, const char *by)
{
	struct zr_cell_job *job = zr_cell_job_find(&scheduler->model, id);

	if (job)
		return;
	job = add_job(scheduler, id, data, length);
	if (!job)
		return;
	zr_log_decision("job.taken job=%s queue=%s client=%s tasks=%" PRIu32
			" steps=%" PRIu32 " age_ms=%" PRId64
			" objective_ms=%" PRId64 " excess=%d by=%s",
			id, job->queue,
			zr_cell_client(&scheduler->model, job->client)->name,
			job->task_count, job->step_count,
			zr_cell_now(scheduler) - job->accepted_at,
			zr_cell_order_objective_ms(job), job->excess, by);
	review(scheduler, job);
	zr_cell_plan_soon(scheduler);
}

static bool take_cancel(struct zr_cell_scheduler *scheduler, const char *id)
{
	struct zr_cell_job *job = zr_cell_job_find(&scheduler->model, id);

	if (job)
		zr_cell_job_cancel(scheduler, job);
	return job != NULL;
}

static void take_accepted(struct zr_cell_scheduler *scheduler,
			  const struct zr_store_value *value)
{
	char id[ZR_NAME_MAX];
	bool cancel;

	if (!value->data ||
	    key_id(id, &cancel, value->key, ZR_CELL_IN_PREFIX) < 0)
		return;
	if (cancel)
		take_cancel(scheduler, id);
	else
		take_job(scheduler, id, value->data, value->length, "store");
}

bool zr_cell_scheduler_news(struct zr_cell_scheduler *scheduler, const char *id,
			    const void *record, size_t length)
{
	if (scheduler->phase != ZR_CELL_ACTIVE)
		return false;
	if (!record)
		return take_cancel(scheduler, id);
	take_job(scheduler, id, record, length, "host");
	return true;
}

/* Cancellations come last: their jobs must be known. */
static void take_all(struct zr_cell_scheduler *scheduler,
		     const struct zr_store_reply *reply)
{
	size_t i;

	for (i = 0; i < reply->count; i++) {
		if (!strstr(reply->values[i].key, ZR_CELL_CANCEL_SUFFIX))
			take_accepted(scheduler, &reply->values[i]);
	}
	for (i = 0; i < reply->count; i++) {
		if (strstr(reply->values[i].key, ZR_CELL_CANCEL_SUFFIX))
			take_accepted(scheduler, &reply->values[i]);
	}
}

/* The watch */

static void on_reread(void *ctx, int error, const struct zr_store_reply *reply)
{
	struct zr_cell_scheduler *scheduler = take_reading(ctx);

	if (!scheduler)
		return;
	if (!error) {
		take_all(scheduler, reply);
		scheduler->watch_revision = reply->revision;
		zr_log(ZR_LOG_INFO, "watch.reread revision=%" PRId64,
		       reply->revision);
	}
	zr_timer_start(scheduler->rewatch, error ? RETRY_MS : 0, 0);
}

static void reread(struct zr_cell_scheduler *scheduler)
{
	zr_store_range(&scheduler->options.surroundings->store,
		       ZR_STORE_RECOVERY, ZR_CELL_IN_PREFIX, true, on_reread,
		       new_reading(scheduler));
}

static void on_events(void *ctx, int error, const struct zr_store_reply *reply)
{
	struct zr_cell_scheduler *scheduler = take_reading(ctx);

	if (!scheduler)
		return;
	if (error == ZR_E_NOT_FOUND) {
		/* The store has dropped the history since our revision. */
		reread(scheduler);
		return;
	}
	if (error < 0) {
		scheduler->watch_failures++;
		zr_timer_start(scheduler->rewatch, RETRY_MS, 0);
		return;
	}
	take_all(scheduler, reply);
	if (reply->revision > scheduler->watch_revision)
		scheduler->watch_revision = reply->revision;
	zr_timer_start(scheduler->rewatch, PAUSE_MS, 0);
}

void zr_cell_watch_jobs(struct zr_cell_scheduler *scheduler)
{
	if (scheduler->phase == ZR_CELL_STANDBY)
		return;
	/* After trouble the watch may have missed changes: read them all. */
	if (scheduler->watch_failures) {
		scheduler->watch_failures = 0;
		reread(scheduler);
		return;
	}
	zr_store_watch(&scheduler->options.surroundings->store,
		       ZR_CELL_IN_PREFIX, scheduler->watch_revision,
		       WATCH_WAIT_MS, on_events, new_reading(scheduler));
}

/* Loading */

static void restore_task(struct zr_cell_scheduler *scheduler,
			 struct zr_cell_job *job, uint32_t index,
			 const zx_cell_task *record)
{
	struct zr_cell_task *task = &job->tasks[index];
	struct zr_cell_worker *worker;
	int64_t lease_max = scheduler->options.limits.lease_max_ms;

	job->begun |= record->done || record->failures || record->checkpoint[0];
	task->attempt = record->attempt;
	task->failures = record->failures;
	snprintf(task->checkpoint, sizeof(task->checkpoint), "%s",
		 record->checkpoint);
	if (record->done) {
		zr_cell_task_close(&scheduler->model, job, index,
				   ZR_TASK_EVENT_DONE);
		return;
	}
	if (!record->worker[0])
		return;
	worker = zr_cell_worker_obtain(&scheduler->model, record->worker);
	zr_cell_task_open(&scheduler->model, job, index, worker,
			  ZR_TASK_EVENT_FOUND);
	/* Our token bars what was sent before: any look tells. */
	task->settled = 0;
	worker->silent_until = zr_cell_now(scheduler) + lease_max +
			       lease_max * OLD_LEASE_PERMILLE / PERMILLE +
			       OLD_LEASE_SLACK_MS;
	worker->look_due = 0;
}

/* A done member stands for its whole gang. */
static void restore_gangs(struct zr_cell_model *model, struct zr_cell_job *job)
{
	uint32_t i;
	uint32_t j;

	for (i = 0; i < job->step_count; i++) {
		const struct zr_cell_step_row *step = &job->steps[i];

		if (!(step->spec->flags & ZR_STEP_GANG) || !step->done)
			continue;
		for (j = step->first; j < step->first + step->spec->count; j++)
			job->tasks[j].finished = true;
		zr_cell_finish_waiting(model, job, step);
	}
}

static void restore_job(struct zr_cell_scheduler *scheduler,
			struct zr_cell_job *job, const zx_cell_progress *record)
{
	uint32_t i;

	job->ended_at = record->ended_ms;
	for (i = 0; i < job->task_count && i < record->tasks.tasks_len; i++)
		restore_task(scheduler, job, i, &record->tasks.tasks_val[i]);
	job->state = (enum zr_cell_job_state)record->state;
	job->kept_state = job->state;
	restore_gangs(&scheduler->model, job);
}

/* An ended job is kept to answer callers and to know its id again. */
static struct zr_cell_job *add_ended(struct zr_cell_scheduler *scheduler,
				     const char *id,
				     const zx_cell_progress *record)
{
	struct zr_cell_job_spec none = {0};
	struct zr_cell_job *job =
		zr_cell_job_add(&scheduler->model, id, &none, record->client);

	snprintf(job->queue, sizeof(job->queue), "%s", record->queue);
	return job;
}

static void take_progress(struct zr_cell_scheduler *scheduler,
			  const struct zr_store_value *value)
{
	zx_cell_progress record = {0};
	struct zr_cell_job *job;
	char id[ZR_NAME_MAX];
	bool cancel;

	if (key_id(id, &cancel, value->key, ZR_CELL_AT_PREFIX) < 0 || cancel)
		return;
	if (zr_cell_decode(&record, (xdrproc_t)xdr_zx_cell_progress,
			   value->data, value->length) < 0) {
		zr_log(ZR_LOG_ERROR, "progress.unreadable job=%s bytes=%zu", id,
		       value->length);
		return;
	}
	job = zr_cell_job_find(&scheduler->model, id);
	if (!job)
		job = add_ended(scheduler, id, &record);
	restore_job(scheduler, job, &record);
	job->revision = value->mod_revision;
	xdr_free((xdrproc_t)xdr_zx_cell_progress, &record);
}

static void become_active(struct zr_cell_scheduler *scheduler)
{
	struct zr_cell_job *job;
	struct zr_cell_job *next;
	size_t open = 0;

	zr_cell_limits_refresh(scheduler);
	HASH_SORT(scheduler->model.job_by_id, by_acceptance);
	HASH_ITER (hh, scheduler->model.job_by_id, job, next) {
		if (!zr_cell_job_over(job))
			charge(scheduler, job);
		open += job->open;
		review(scheduler, job);
		zr_cell_repair_gangs(scheduler, job);
	}
	scheduler->phase = ZR_CELL_ACTIVE;
	zr_log(ZR_LOG_INFO, "cell.active token=%" PRIu64 " jobs=%u open=%zu",
	       scheduler->token, HASH_COUNT(scheduler->model.job_by_id), open);
	zr_cell_registry_read(scheduler);
	zr_cell_watch_jobs(scheduler);
	zr_cell_plan_soon(scheduler);
}

static void load_again(struct zr_cell_scheduler *scheduler, int error)
{
	zr_log(ZR_LOG_WARN, "cell.load_failed error=%s", zr_error_name(error));
	zr_timer_start(scheduler->rewatch, RETRY_MS, 0);
}

static void on_progress(void *ctx, int error,
			const struct zr_store_reply *reply)
{
	struct zr_cell_scheduler *scheduler = take_reading(ctx);
	struct zr_cell_job *job;
	struct zr_cell_job *next;
	size_t i;

	if (!scheduler)
		return;
	if (error < 0) {
		load_again(scheduler, error);
		return;
	}
	for (i = 0; i < reply->count; i++)
		take_progress(scheduler, &reply->values[i]);
	HASH_ITER (hh, scheduler->model.job_by_id, job, next) {
		if (job->cancel_found)
			zr_cell_job_cancel(scheduler, job);
	}
	become_active(scheduler);
}

static void load_job(struct zr_cell_scheduler *scheduler,
		     const struct zr_store_value *value)
{
	struct zr_cell_job *job;
	char id[ZR_NAME_MAX];
	bool cancel;

	if (key_id(id, &cancel, value->key, ZR_CELL_IN_PREFIX) < 0)
		return;
	job = zr_cell_job_find(&scheduler->model, id);
	/* Keys are sorted: a job comes before its cancellation. */
	if (cancel && job)
		job->cancel_found = true;
	else if (!cancel && !job)
		add_job(scheduler, id, value->data, value->length);
}

static void on_accepted(void *ctx, int error,
			const struct zr_store_reply *reply)
{
	struct zr_cell_scheduler *scheduler = take_reading(ctx);
	size_t i;

	if (!scheduler)
		return;
	if (error < 0) {
		load_again(scheduler, error);
		return;
	}
	for (i = 0; i < reply->count; i++)
		load_job(scheduler, &reply->values[i]);
	scheduler->watch_revision = reply->revision;
	zr_store_range(&scheduler->options.surroundings->store,
		       ZR_STORE_RECOVERY, ZR_CELL_AT_PREFIX, true, on_progress,
		       new_reading(scheduler));
}

void zr_cell_load(struct zr_cell_scheduler *scheduler)
{
	zr_store_range(&scheduler->options.surroundings->store,
		       ZR_STORE_RECOVERY, ZR_CELL_IN_PREFIX, true, on_accepted,
		       new_reading(scheduler));
}

void zr_cell_rewatch(void *ctx)
{
	struct zr_cell_scheduler *scheduler = ctx;

	if (scheduler->phase == ZR_CELL_LOADING)
		zr_cell_load(scheduler);
	else if (scheduler->phase == ZR_CELL_ACTIVE)
		zr_cell_watch_jobs(scheduler);
}

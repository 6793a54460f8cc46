#include "cell/journal.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "cell/past_use_record.h"
#include "cell/records.h"
#include "zinniarack/errors.h"
#include "zinniarack/log.h"

/*
 * Maximum number of transactions in flight: enough for the starts and ends of a
 * full cell while the store takes 250 ms to respond.
 */
#define BATCHES_IN_FLIGHT_MAX 16
/* Delay after a failed transaction, in milliseconds. */
#define RETRY_DELAY_MS 60
/*
 * Interval at which changes are batched, in milliseconds: the store limits the
 * number of calls, not their size.
 */
#define BATCH_INTERVAL_MS 14
/*
 * Maximum number of jobs in a transaction. A job takes two entries of it, or
 * four when the job has ended.
 */
#define BATCH_JOBS_MAX 14
/* Size in bytes of the records from which a transaction takes no more jobs. */
#define BATCH_BYTES_MAX 1048576
/* Maximum number of pending deletions of progress records. */
#define DELETIONS_MAX 64

/* The change number and state of a job that a transaction writes. */
struct batch_job {
	zr_handle job;
	uint64_t change;
	enum zr_cell_job_state state;
};

/* A transaction in flight. */
struct batch {
	struct zr_cell_journal *journal;
	uint64_t generation;
	struct batch_job jobs[BATCH_JOBS_MAX];
	size_t job_count;
	bool has_past_use;
};

/* A transaction under construction, with its keys and values. */
struct txn_builder {
	char keys[ZR_CELL_TXN_ENTRIES_MAX][ZR_CELL_KEY_MAX];
	size_t key_count;
	struct zr_store_compare compares[ZR_CELL_TXN_ENTRIES_MAX];
	size_t compare_count;
	struct zr_store_put puts[ZR_CELL_TXN_ENTRIES_MAX];
	size_t put_count;
	/* Progress records, the counts and the record of past use. */
	struct zr_cell_buffer bytes[BATCH_JOBS_MAX + 2];
	size_t byte_count;
	size_t record_bytes; /* total size of the progress records */
};

struct zr_cell_journal {
	const struct zr_store *store;
	struct zr_cell_model *model;
	struct zr_cell_journal_events events;
	void *ctx;
	const struct zr_clock *clock;
	struct zr_timer *timer;
	bool timer_armed;
	struct timespec sent_at;
	const char *owner_key; /* NULL while the journal is closed */
	int64_t owner_revision;
	uint64_t generation; /* number of times the journal was opened */
	unsigned int batches_in_flight;
	struct zr_cell_buffer counts;
	struct zr_cell_buffer past_use; /* kept until it is persisted */
	bool past_use_in_flight;
	int64_t past_use_revision;
	char deletions[DELETIONS_MAX][ZR_NAME_MAX];
	size_t deletion_count;
	bool freeing;
	struct zr_metric *writes;
	struct zr_metric *rejected;
};

/* Building transactions */

static const char *add_key(struct txn_builder *builder, const char *prefix,
			   const char *id, const char *suffix)
{
	char *key = builder->keys[builder->key_count++];

	snprintf(key, ZR_CELL_KEY_MAX, "%s%s%s", prefix, id, suffix);
	return key;
}

static void add_compare(struct txn_builder *builder, const char *key,
			int64_t revision)
{
	builder->compares[builder->compare_count++] =
		(struct zr_store_compare){key, revision};
}

static void add_put(struct txn_builder *builder, const char *key,
		    const struct zr_cell_buffer *bytes)
{
	builder->puts[builder->put_count++] = (struct zr_store_put){
		key, bytes ? bytes->data : NULL, bytes ? bytes->length : 0, 0};
}

static size_t entry_count(const struct txn_builder *builder)
{
	return builder->compare_count + builder->put_count;
}

static void clear_builder(struct txn_builder *builder)
{
	while (builder->byte_count)
		free(builder->bytes[--builder->byte_count].data);
}

/* Progress records */

static bool has_finished(const struct zr_cell_job *job)
{
	return zr_cell_job_has_ended(job) && !job->active_tasks;
}

static void encode_tasks(struct zr_cell_journal *journal,
			 const struct zr_cell_job *job, zx_cell_progress *out)
{
	uint32_t i;

	out->tasks.tasks_val =
		calloc(job->task_count + 1, sizeof(*out->tasks.tasks_val));
	if (!out->tasks.tasks_val)
		abort();
	out->tasks.tasks_len = job->task_count;
	for (i = 0; i < job->task_count; i++) {
		const struct zr_cell_task *task = &job->tasks[i];
		const struct zr_cell_worker *worker =
			zr_cell_worker(journal->model, task->worker);
		zx_cell_task *record = &out->tasks.tasks_val[i];

		record->attempt = task->attempt;
		record->failures = task->failures;
		record->done = task->state == ZR_TASK_DONE;
		record->worker = worker ? (char *)worker->report.name : "";
		record->checkpoint = (char *)zr_cell_task_checkpoint(task);
	}
}

static bool has_crashes(const struct zr_cell_task *task)
{
	return (task->crashes || task->possible_crashes) &&
	       task->state != ZR_TASK_DONE;
}

static void encode_crashes(const struct zr_cell_job *job,
			   zx_cell_stored_progress *out)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < job->task_count; i++)
		count += has_crashes(&job->tasks[i]);
	if (!count)
		return;
	out->crashes.tasks.tasks_val =
		calloc(count, sizeof(*out->crashes.tasks.tasks_val));
	out->runs.possible_crashes.possible_crashes_val = calloc(
		count,
		sizeof(*out->runs.possible_crashes.possible_crashes_val));
	if (!out->crashes.tasks.tasks_val ||
	    !out->runs.possible_crashes.possible_crashes_val)
		abort();
	out->runs.possible_crashes.possible_crashes_len = count;
	for (i = 0; i < job->task_count; i++) {
		const struct zr_cell_task *task = &job->tasks[i];
		u_int entry = out->crashes.tasks.tasks_len;

		if (!has_crashes(task))
			continue;
		out->crashes.tasks.tasks_val[entry] = (zx_cell_crashes){
			i, task->crashes, task->certain_crashes,
			task->suspicion};
		out->runs.possible_crashes.possible_crashes_val[entry] =
			task->possible_crashes;
		out->crashes.tasks.tasks_len++;
	}
}

static bool has_failed_runs(const struct zr_cell_step_state *step)
{
	return step->failed_runs && step->done < step->spec->count;
}

static void encode_gang_failures(const struct zr_cell_job *job,
				 zx_cell_stored_progress *out)
{
	u_int count = 0;
	uint32_t i;

	for (i = 0; i < job->step_count; i++)
		count += has_failed_runs(&job->steps[i]);
	if (!count)
		return;
	out->gangs.gangs.gangs_val =
		calloc(count, sizeof(*out->gangs.gangs.gangs_val));
	if (!out->gangs.gangs.gangs_val)
		abort();
	for (i = 0; i < job->step_count; i++) {
		const struct zr_cell_step_state *step = &job->steps[i];

		if (!has_failed_runs(step))
			continue;
		out->gangs.gangs.gangs_val[out->gangs.gangs.gangs_len++] =
			(zx_cell_gang_failures){i, step->failed_runs,
						step->failed_attempt};
	}
}

/* restore_incarnations() reads them in the same order. */
static void encode_incarnations(const struct zr_cell_job *job,
				zx_cell_stored_progress *out)
{
	u_int count = 0;
	uint32_t i;

	out->runs.incarnations.incarnations_val =
		calloc((size_t)job->active_tasks + 1,
		       sizeof(*out->runs.incarnations.incarnations_val));
	if (!out->runs.incarnations.incarnations_val)
		abort();
	for (i = 0; i < job->task_count; i++) {
		if (job->tasks[i].worker && count < job->active_tasks)
			out->runs.incarnations.incarnations_val[count++] =
				job->tasks[i].incarnation;
	}
	out->runs.incarnations.incarnations_len = count;
}

static int encode_progress(struct zr_cell_buffer *out,
			   struct zr_cell_journal *journal,
			   const struct zr_cell_job *job)
{
	zx_cell_stored_progress record = {
		.progress =
			{
				.state = job->state,
				.client = zr_cell_client(journal->model,
							 job->client)
						  ->name,
				.queue = (char *)job->queue,
				.ended_ms = job->ended_at,
			},
	};
	int error;

	if (!has_finished(job)) {
		encode_tasks(journal, job, &record.progress);
		encode_crashes(job, &record);
		encode_incarnations(job, &record);
		encode_gang_failures(job, &record);
	}
	zr_cell_use_encode(&record.use, journal->model, job, journal->clock);
	error = zr_cell_encode_progress(out, &record);
	free(record.progress.tasks.tasks_val);
	free(record.crashes.tasks.tasks_val);
	zr_cell_use_clear(&record.use);
	free(record.gangs.gangs.gangs_val);
	free(record.runs.incarnations.incarnations_val);
	free(record.runs.possible_crashes.possible_crashes_val);
	return error;
}

/* Leaves the transaction as it is if the record cannot be encoded. */
static int add_job_record(struct txn_builder *builder,
			  struct zr_cell_journal *journal,
			  struct zr_cell_job *job)
{
	struct zr_cell_buffer *bytes = &builder->bytes[builder->byte_count];
	int left_out = encode_progress(bytes, journal, job);
	const char *key;

	if (left_out < 0)
		return left_out;
	if (left_out)
		zr_log(ZR_LOG_WARN,
		       "journal.checkpoints_left_out job=%s tasks=%" PRIu32
		       " left_out=%d",
		       job->id, job->task_count, left_out);
	key = add_key(builder, ZR_CELL_PROGRESS_PREFIX, job->id, "");
	builder->byte_count++;
	builder->record_bytes += bytes->length;
	add_compare(builder, key, job->revision);
	add_put(builder, key, bytes);
	if (!has_finished(job))
		return 0;
	add_put(builder, add_key(builder, ZR_CELL_JOB_PREFIX, job->id, ""),
		NULL);
	add_put(builder,
		add_key(builder, ZR_CELL_JOB_PREFIX, job->id,
			ZR_CELL_CANCEL_SUFFIX),
		NULL);
	return 0;
}

/* Transaction results */

static void retry_later(struct zr_cell_journal *journal)
{
	journal->timer_armed = true;
	zr_timer_start(journal->timer, RETRY_DELAY_MS, 0);
}

static void mark_dirty(struct zr_cell_journal *journal, struct zr_cell_job *job)
{
	if (job->dirty)
		return;
	job->dirty = true;
	DL_APPEND(journal->model->dirty, job);
}

static void complete_batch(struct zr_cell_journal *journal, struct batch *batch,
			   int64_t revision)
{
	size_t i;

	if (batch->has_past_use) {
		free(journal->past_use.data);
		journal->past_use.data = NULL;
		journal->past_use_in_flight = false;
		journal->past_use_revision = revision;
		journal->events.past_use_persisted(journal->ctx);
	}
	for (i = 0; i < batch->job_count; i++) {
		struct zr_cell_job *job =
			zr_cell_job(journal->model, batch->jobs[i].job);

		if (!job)
			continue;
		job->pending_change = 0;
		job->revision = revision;
		job->persisted_change = batch->jobs[i].change;
		job->persisted_state = batch->jobs[i].state;
		if (job->change != job->persisted_change)
			mark_dirty(journal, job);
		journal->events.persisted(journal->ctx, job);
	}
}

static void requeue_batch(struct zr_cell_journal *journal, struct batch *batch)
{
	size_t i;

	if (batch->has_past_use)
		journal->past_use_in_flight = false;
	for (i = 0; i < batch->job_count; i++) {
		struct zr_cell_job *job =
			zr_cell_job(journal->model, batch->jobs[i].job);

		if (!job)
			continue;
		job->pending_change = 0;
		mark_dirty(journal, job);
	}
}

static const struct zr_store_value *find_key(const struct zr_store_reply *reply,
					     const char *key)
{
	size_t i;

	for (i = 0; i < reply->count; i++) {
		if (reply->values[i].data && !strcmp(reply->values[i].key, key))
			return &reply->values[i];
	}
	return NULL;
}

/*
 * While the owner key is unchanged, only this scheduler writes these records. A
 * record with an unexpected revision was therefore written by this scheduler in
 * a transaction whose reply was lost.
 */
static void adopt_revisions(struct zr_cell_journal *journal,
			    struct batch *batch,
			    const struct zr_store_reply *reply)
{
	const struct zr_store_value *value;
	char key[ZR_CELL_KEY_MAX];
	size_t i;

	if (batch->has_past_use) {
		value = find_key(reply, ZR_CELL_PAST_USE_KEY);
		journal->past_use_revision = value ? value->mod_revision : 0;
	}
	for (i = 0; i < batch->job_count; i++) {
		struct zr_cell_job *job =
			zr_cell_job(journal->model, batch->jobs[i].job);

		if (!job)
			continue;
		snprintf(key, sizeof(key), "%s%s", ZR_CELL_PROGRESS_PREFIX,
			 job->id);
		value = find_key(reply, key);
		job->revision = value ? value->mod_revision : 0;
	}
}

static void on_conflict(struct zr_cell_journal *journal, struct batch *batch,
			const struct zr_store_reply *reply)
{
	const struct zr_store_value *owner =
		find_key(reply, journal->owner_key);

	if (!owner || owner->mod_revision != journal->owner_revision) {
		zr_log(ZR_LOG_WARN, "journal.ownership_lost guard=%" PRId64,
		       journal->owner_revision);
		journal->events.ownership_lost(journal->ctx);
		return;
	}
	adopt_revisions(journal, batch, reply);
	requeue_batch(journal, batch);
	zr_cell_journal_flush(journal);
}

static void free_journal(struct zr_cell_journal *journal)
{
	zr_timer_free(journal->timer);
	free(journal->counts.data);
	free(journal->past_use.data);
	free(journal);
}

static void on_committed(void *ctx, int error,
			 const struct zr_store_reply *reply)
{
	struct batch *batch = ctx;
	struct zr_cell_journal *journal = batch->journal;

	journal->batches_in_flight--;
	if (journal->freeing) {
		if (!journal->batches_in_flight)
			free_journal(journal);
	} else if (batch->generation == journal->generation &&
		   journal->owner_key) {
		if (error < 0) {
			zr_log(ZR_LOG_WARN,
			       "journal.commit_failed error=%s jobs=%zu",
			       zr_error_name(error), batch->job_count);
			requeue_batch(journal, batch);
			retry_later(journal);
		} else if (!reply->succeeded) {
			on_conflict(journal, batch, reply);
		} else {
			complete_batch(journal, batch, reply->revision);
			zr_cell_journal_flush(journal);
		}
	}
	free(batch);
}

/* Sending transactions */

static void reject_change(struct zr_cell_journal *journal,
			  struct zr_cell_job *job)
{
	job->rejected_change = job->change;
	journal->rejected->value++;
	zr_log(ZR_LOG_ERROR, "journal.record_too_large job=%s tasks=%" PRIu32,
	       job->id, job->task_count);
}

/*
 * A job whose record cannot be written keeps its change: it is not persisted,
 * so that no start is sent and no end acknowledged.
 */
static void add_jobs(struct zr_cell_journal *journal,
		     struct txn_builder *builder, struct batch *batch)
{
	struct zr_cell_job *job;
	struct zr_cell_job *next;

	DL_FOREACH_SAFE(journal->model->dirty, job, next)
	{
		if (batch->job_count == BATCH_JOBS_MAX ||
		    builder->record_bytes >= BATCH_BYTES_MAX ||
		    entry_count(builder) + 4 > ZR_CELL_TXN_ENTRIES_MAX)
			return;
		if (job->pending_change || job->rejected_change == job->change)
			continue;
		if (add_job_record(builder, journal, job) < 0) {
			reject_change(journal, job);
			continue;
		}
		DL_DELETE(journal->model->dirty, job);
		job->dirty = false;
		job->pending_change = job->change;
		batch->jobs[batch->job_count].job = job->self;
		batch->jobs[batch->job_count].change = job->change;
		batch->jobs[batch->job_count].state = job->state;
		batch->job_count++;
	}
}

/*
 * The record has a condition of its own: an earlier write without a response
 * may still be applied and must not replace it.
 */
static void add_past_use(struct zr_cell_journal *journal,
			 struct txn_builder *builder, struct batch *batch)
{
	if (!journal->past_use.data || journal->past_use_in_flight ||
	    entry_count(builder) + 2 > ZR_CELL_TXN_ENTRIES_MAX)
		return;
	add_compare(builder, ZR_CELL_PAST_USE_KEY, journal->past_use_revision);
	add_put(builder, ZR_CELL_PAST_USE_KEY, &journal->past_use);
	journal->past_use_in_flight = true;
	batch->has_past_use = true;
}

static void add_counts_and_deletions(struct zr_cell_journal *journal,
				     struct txn_builder *builder)
{
	if (journal->counts.data &&
	    entry_count(builder) < ZR_CELL_TXN_ENTRIES_MAX) {
		builder->bytes[builder->byte_count++] = journal->counts;
		add_put(builder, ZR_CELL_COUNTS_KEY, &journal->counts);
		journal->counts.data = NULL;
	}
	while (journal->deletion_count &&
	       entry_count(builder) < ZR_CELL_TXN_ENTRIES_MAX)
		add_put(builder,
			add_key(builder, ZR_CELL_PROGRESS_PREFIX,
				journal->deletions[--journal->deletion_count],
				""),
			NULL);
}

static bool send_batch(struct zr_cell_journal *journal)
{
	struct txn_builder builder = {0};
	struct batch *batch = calloc(1, sizeof(*batch));
	struct zr_store_txn txn;

	if (!batch)
		abort();
	add_compare(&builder, journal->owner_key, journal->owner_revision);
	add_jobs(journal, &builder, batch);
	add_past_use(journal, &builder, batch);
	add_counts_and_deletions(journal, &builder);
	if (!builder.put_count) {
		free(batch);
		return false;
	}
	batch->journal = journal;
	batch->generation = journal->generation;
	journal->batches_in_flight++;
	journal->writes->value++;
	txn = (struct zr_store_txn){builder.compares, builder.compare_count,
				    builder.puts, builder.put_count};
	zr_store_commit(journal->store, ZR_STORE_INTENT, &txn, on_committed,
			batch);
	clear_builder(&builder);
	return true;
}

static bool has_pending_changes(const struct zr_cell_journal *journal)
{
	return journal->model->dirty || journal->counts.data ||
	       (journal->past_use.data && !journal->past_use_in_flight) ||
	       journal->deletion_count;
}

void zr_cell_journal_flush(struct zr_cell_journal *journal)
{
	struct timespec now = zr_clock_now(journal->clock);
	int64_t since_last_ms = zr_time_diff_ms(now, journal->sent_at);

	if (!journal->owner_key || journal->timer_armed ||
	    !has_pending_changes(journal))
		return;
	if (since_last_ms < BATCH_INTERVAL_MS) {
		journal->timer_armed = true;
		zr_timer_start(
			journal->timer,
			(unsigned int)(BATCH_INTERVAL_MS - since_last_ms), 0);
		return;
	}
	journal->sent_at = now;
	while (journal->batches_in_flight < BATCHES_IN_FLIGHT_MAX &&
	       send_batch(journal))
		;
}

static void on_timer(void *ctx)
{
	struct zr_cell_journal *journal = ctx;

	journal->timer_armed = false;
	zr_cell_journal_flush(journal);
}

bool zr_cell_journal_idle(const struct zr_cell_journal *journal)
{
	return !journal->batches_in_flight && !journal->model->dirty;
}

void zr_cell_journal_set_counts(struct zr_cell_journal *journal,
				struct zr_cell_buffer counts)
{
	free(journal->counts.data);
	journal->counts = counts;
}

void zr_cell_journal_set_past_use(struct zr_cell_journal *journal,
				  struct zr_cell_buffer record)
{
	free(journal->past_use.data);
	journal->past_use = record;
}

void zr_cell_journal_set_past_use_revision(struct zr_cell_journal *journal,
					   int64_t revision)
{
	journal->past_use_revision = revision;
}

void zr_cell_journal_remove(struct zr_cell_journal *journal, const char *id)
{
	if (journal->deletion_count < DELETIONS_MAX)
		snprintf(journal->deletions[journal->deletion_count++],
			 ZR_NAME_MAX, "%s", id);
}

void zr_cell_journal_open(struct zr_cell_journal *journal,
			  const char *owner_key, int64_t owner_revision)
{
	journal->owner_key = owner_key;
	journal->owner_revision = owner_revision;
	journal->generation++;
	/* What an earlier term has not written, the next owner counts anew. */
	free(journal->past_use.data);
	journal->past_use.data = NULL;
	journal->past_use_in_flight = false;
	journal->past_use_revision = 0;
}

void zr_cell_journal_close(struct zr_cell_journal *journal)
{
	journal->owner_key = NULL;
	journal->timer_armed = false;
	zr_timer_stop(journal->timer);
}

int zr_cell_journal_new(struct zr_cell_journal **out,
			const struct zr_timers *timers,
			const struct zr_clock *clock,
			const struct zr_store *store,
			struct zr_cell_model *model, struct zr_metrics *metrics,
			const struct zr_cell_journal_events *events, void *ctx)
{
	struct zr_cell_journal *journal = calloc(1, sizeof(*journal));

	if (!journal)
		return ZR_E_NOMEM;
	journal->clock = clock;
	journal->store = store;
	journal->model = model;
	journal->events = *events;
	journal->ctx = ctx;
	journal->timer = zr_timer_new(timers, on_timer, journal);
	journal->writes = zr_metrics_get_or_add_counter(
		metrics, "zinniarack_cell_journal_writes_total", NULL,
		"Transactions of the journal");
	journal->rejected = zr_metrics_get_or_add_counter(
		metrics, "zinniarack_cell_journal_rejected_total", NULL,
		"Changes of jobs whose record was too large to be written");
	*out = journal;
	return 0;
}

void zr_cell_journal_free(struct zr_cell_journal *journal)
{
	if (!journal)
		return;
	journal->freeing = true;
	zr_cell_journal_close(journal);
	if (!journal->batches_in_flight)
		free_journal(journal);
}

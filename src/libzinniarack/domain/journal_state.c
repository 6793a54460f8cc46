#include "domain/journal_state.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>

#include "zinniarack/errors.h"
#include "zinniarack/job.h"
#include "zinniarack/sched.h"

/* Number of the latest attempts of a task whose failures stay recorded. */
#define FAILURES_MAX 3
/* Shard of the worker records, which belong to no job. */
#define WORKER_SHARD 0

/**
 * struct entry - a record
 * @kind: its kind
 * @index: its task; for intents and ends of tasks only
 * @attempt: the attempt of the task; for intents and ends of tasks only
 * @outcome: &enum zr_sched_outcome; for ends of tasks only
 * @length: number of @bytes
 * @bytes: its encoding
 */
struct entry {
	struct entry *prev;
	struct entry *next;
	zx_record_kind kind;
	uint32_t index;
	uint32_t attempt;
	uint32_t outcome;
	u_int length;
	char *bytes;
};

/* Records of a job in the order of commit; the first is its acceptance. */
struct job_records {
	UT_hash_handle hh;
	uint64_t number;
	struct entry *entries;
};

struct worker_record {
	UT_hash_handle hh;
	char name[ZR_NAME_MAX];
	struct entry *entry;
};

/* The live records; @bytes is the total size of their encodings. */
struct zr_journal_state {
	unsigned int shard_count;
	struct job_records *jobs;
	struct worker_record *workers;
	size_t bytes;
};

int zr_journal_state_new(struct zr_journal_state **out,
			 unsigned int shard_count)
{
	struct zr_journal_state *state = calloc(1, sizeof(*state));

	if (!state)
		return ZR_E_NOMEM;
	state->shard_count = shard_count;
	*out = state;
	return 0;
}

/* Number of the job that a record belongs to, 0 for a worker record. */
static uint64_t job_number(const zx_record *record)
{
	switch (record->kind) {
	case ZX_RECORD_ACCEPTED:
		return record->zx_record_u.accepted.number;
	case ZX_RECORD_INTENT:
		return record->zx_record_u.intent.number;
	case ZX_RECORD_TASK_ENDED:
		return record->zx_record_u.task_ended.number;
	case ZX_RECORD_JOB_ENDED:
		return record->zx_record_u.job_ended.number;
	case ZX_RECORD_BEGUN:
		return record->zx_record_u.begun.number;
	case ZX_RECORD_WORKER:
		break;
	}
	return 0;
}

unsigned int zr_journal_state_shard_of_job(const struct zr_journal_state *state,
					   uint64_t number)
{
	return (unsigned int)(number % state->shard_count);
}

unsigned int zr_journal_state_shard_of(const struct zr_journal_state *state,
				       const zx_record *record)
{
	if (record->kind == ZX_RECORD_WORKER)
		return WORKER_SHARD;
	return zr_journal_state_shard_of_job(state, job_number(record));
}

/* Entries */

static struct entry *new_entry(struct zr_journal_state *state,
			       const zx_record *record, const char *bytes,
			       u_int length)
{
	struct entry *entry = calloc(1, sizeof(*entry));

	if (!entry || !(entry->bytes = malloc(length)))
		abort();
	memcpy(entry->bytes, bytes, length);
	entry->length = length;
	entry->kind = record->kind;
	state->bytes += length;
	return entry;
}

static void free_entry(struct zr_journal_state *state, struct entry *entry)
{
	state->bytes -= entry->length;
	free(entry->bytes);
	free(entry);
}

static void remove_entry(struct zr_journal_state *state,
			 struct job_records *job, struct entry *entry)
{
	DL_DELETE(job->entries, entry);
	free_entry(state, entry);
}

static void remove_kind(struct zr_journal_state *state, struct job_records *job,
			zx_record_kind kind)
{
	struct entry *entry;
	struct entry *next;

	DL_FOREACH_SAFE(job->entries, entry, next)
	{
		if (entry->kind == kind)
			remove_entry(state, job, entry);
	}
}

/*
 * Whether a new intent or end makes an older record of the task obsolete. An
 * older end stays only if it is one of the last failures, since the scheduler
 * core counts those after a recovery.
 */
static bool is_superseded(const struct entry *old, const struct entry *entry)
{
	if (old->index != entry->index)
		return false;
	if (old->kind == ZX_RECORD_INTENT)
		return old->attempt <= entry->attempt;
	if (old->kind != ZX_RECORD_TASK_ENDED ||
	    entry->kind != ZX_RECORD_TASK_ENDED)
		return false;
	return old->outcome != ZR_SCHED_FAILED ||
	       old->attempt + FAILURES_MAX <= entry->attempt ||
	       old->attempt == entry->attempt;
}

static void add_task_entry(struct zr_journal_state *state,
			   struct job_records *job, struct entry *entry)
{
	struct entry *old;
	struct entry *next;

	DL_FOREACH_SAFE(job->entries, old, next)
	{
		if (is_superseded(old, entry))
			remove_entry(state, job, old);
	}
	DL_APPEND(job->entries, entry);
}

/* Records */

static struct job_records *find_job(const struct zr_journal_state *state,
				    uint64_t number)
{
	struct job_records *job;

	HASH_FIND(hh, state->jobs, &number, sizeof(number), job);
	return job;
}

static void apply_accepted(struct zr_journal_state *state, uint64_t number,
			   struct entry *entry)
{
	struct job_records *job = calloc(1, sizeof(*job));

	if (!job)
		abort();
	job->number = number;
	HASH_ADD(hh, state->jobs, number, sizeof(number), job);
	DL_APPEND(job->entries, entry);
}

static void apply_job_ended(struct zr_journal_state *state,
			    struct job_records *job, struct entry *entry)
{
	remove_kind(state, job, ZX_RECORD_BEGUN);
	remove_kind(state, job, ZX_RECORD_INTENT);
	remove_kind(state, job, ZX_RECORD_JOB_ENDED);
	DL_APPEND(job->entries, entry);
}

static void apply_task(struct zr_journal_state *state, struct job_records *job,
		       struct entry *entry, const zx_record *record)
{
	const zx_intent *intent = &record->zx_record_u.intent;
	const zx_task_ended *ended = &record->zx_record_u.task_ended;

	if (record->kind == ZX_RECORD_INTENT) {
		entry->index = intent->index;
		entry->attempt = intent->attempt;
	} else {
		entry->index = ended->index;
		entry->attempt = ended->attempt;
		entry->outcome = ended->outcome;
	}
	add_task_entry(state, job, entry);
}

static void apply_worker(struct zr_journal_state *state,
			 const zx_record *record, const char *bytes,
			 u_int length)
{
	const zx_worker_record *from = &record->zx_record_u.worker;
	struct worker_record *worker;

	HASH_FIND_STR(state->workers, from->name, worker);
	if (worker) {
		HASH_DEL(state->workers, worker);
		free_entry(state, worker->entry);
		free(worker);
	}
	if (from->gone)
		return;
	worker = calloc(1, sizeof(*worker));
	if (!worker)
		abort();
	strncpy(worker->name, from->name, sizeof(worker->name) - 1);
	worker->entry = new_entry(state, record, bytes, length);
	HASH_ADD_STR(state->workers, name, worker);
}

void zr_journal_state_apply(struct zr_journal_state *state,
			    const zx_record *record, const char *bytes,
			    u_int length)
{
	uint64_t number = job_number(record);
	struct job_records *job = find_job(state, number);
	struct entry *entry;

	if (record->kind == ZX_RECORD_WORKER) {
		apply_worker(state, record, bytes, length);
		return;
	}
	if ((record->kind == ZX_RECORD_ACCEPTED) == (job != NULL))
		return; /* the job is known already, or was removed */
	entry = new_entry(state, record, bytes, length);
	if (record->kind == ZX_RECORD_ACCEPTED)
		apply_accepted(state, number, entry);
	else if (record->kind == ZX_RECORD_JOB_ENDED)
		apply_job_ended(state, job, entry);
	else if (record->kind == ZX_RECORD_BEGUN)
		DL_APPEND(job->entries, entry);
	else
		apply_task(state, job, entry, record);
}

static void remove_job(struct zr_journal_state *state, struct job_records *job)
{
	HASH_DEL(state->jobs, job);
	while (job->entries)
		remove_entry(state, job, job->entries);
	free(job);
}

void zr_journal_state_remove_job(struct zr_journal_state *state,
				 uint64_t number)
{
	struct job_records *job = find_job(state, number);

	if (job)
		remove_job(state, job);
}

/* Reading */

size_t zr_journal_state_bytes(const struct zr_journal_state *state)
{
	return state->bytes;
}

size_t zr_journal_state_job_count(const struct zr_journal_state *state)
{
	return HASH_COUNT(state->jobs);
}

static int compare_numbers(struct job_records *a, struct job_records *b)
{
	return (a->number > b->number) - (a->number < b->number);
}

static void for_each_worker(struct zr_journal_state *state,
			    zr_journal_state_record_fn each, void *ctx)
{
	struct worker_record *worker;
	struct worker_record *next;

	HASH_ITER (hh, state->workers, worker, next)
		each(ctx, worker->entry->bytes, worker->entry->length);
}

static void for_each_entry(struct job_records *job,
			   zr_journal_state_record_fn each, void *ctx)
{
	struct entry *entry;

	DL_FOREACH(job->entries, entry)
	{
		each(ctx, entry->bytes, entry->length);
	}
}

void zr_journal_state_for_each_in_shard(struct zr_journal_state *state,
					unsigned int shard,
					zr_journal_state_record_fn each,
					void *ctx)
{
	struct job_records *job;
	struct job_records *next;

	if (shard == WORKER_SHARD)
		for_each_worker(state, each, ctx);
	HASH_SORT(state->jobs, compare_numbers);
	HASH_ITER (hh, state->jobs, job, next) {
		if (zr_journal_state_shard_of_job(state, job->number) == shard)
			for_each_entry(job, each, ctx);
	}
}

void zr_journal_state_for_each(struct zr_journal_state *state,
			       zr_journal_state_record_fn each, void *ctx)
{
	struct job_records *job;
	struct job_records *next;

	for_each_worker(state, each, ctx);
	HASH_SORT(state->jobs, compare_numbers);
	HASH_ITER (hh, state->jobs, job, next)
		for_each_entry(job, each, ctx);
}

void zr_journal_state_free(struct zr_journal_state *state)
{
	struct worker_record *worker;
	struct worker_record *next;

	if (!state)
		return;
	while (state->jobs)
		remove_job(state, state->jobs);
	HASH_ITER (hh, state->workers, worker, next) {
		HASH_DEL(state->workers, worker);
		free_entry(state, worker->entry);
		free(worker);
	}
	free(state);
}

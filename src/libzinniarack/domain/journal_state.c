#include "domain/image.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>

#include "zinniarack/errors.h"
#include "zinniarack/job.h"
#include "zinniarack/sched.h"

/* Failed attempts of a task that are told at a take-over. */
#define FAILURES_KEPT 3
/* Group of the records that belong to no job. */
#define WORKER_GROUP 0

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

struct image_job {
	UT_hash_handle hh;
	uint64_t number;
	struct entry *entries;
};

struct image_worker {
	UT_hash_handle hh;
	char name[ZR_NAME_MAX];
	struct entry *entry;
};

struct zr_image {
	unsigned int groups;
	struct image_job *jobs;
	struct image_worker *workers;
	size_t bytes;
};

int zr_image_new(struct zr_image **out, unsigned int groups)
{
	struct zr_image *image = calloc(1, sizeof(*image));

	if (!image)
		return ZR_E_NOMEM;
	image->groups = groups;
	*out = image;
	return 0;
}

static uint64_t number_of(const zx_record *record)
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

unsigned int zr_image_group(const struct zr_image *image, uint64_t number)
{
	return (unsigned int)(number % image->groups);
}

unsigned int zr_image_group_of(const struct zr_image *image,
			       const zx_record *record)
{
	if (record->kind == ZX_RECORD_WORKER)
		return WORKER_GROUP;
	return zr_image_group(image, number_of(record));
}

/* Entries */

static struct entry *new_entry(struct zr_image *image, const zx_record *record,
			       const char *bytes, u_int length)
{
	struct entry *entry = calloc(1, sizeof(*entry));

	if (!entry || !(entry->bytes = malloc(length)))
		abort();
	memcpy(entry->bytes, bytes, length);
	entry->length = length;
	entry->kind = record->kind;
	image->bytes += length;
	return entry;
}

static void free_entry(struct zr_image *image, struct entry *entry)
{
	image->bytes -= entry->length;
	free(entry->bytes);
	free(entry);
}

static void drop_entry(struct zr_image *image, struct image_job *job,
		       struct entry *entry)
{
	DL_DELETE(job->entries, entry);
	free_entry(image, entry);
}

static void drop_kind(struct zr_image *image, struct image_job *job,
		      zx_record_kind kind)
{
	struct entry *entry;
	struct entry *next;

	DL_FOREACH_SAFE(job->entries, entry, next)
	{
		if (entry->kind == kind)
			drop_entry(image, job, entry);
	}
}

/* Whether a new intent or end of a task leaves an older record without use. */
static bool superseded(const struct entry *old, const struct entry *entry)
{
	if (old->index != entry->index)
		return false;
	if (old->kind == ZX_RECORD_INTENT)
		return old->attempt <= entry->attempt;
	if (old->kind != ZX_RECORD_TASK_ENDED ||
	    entry->kind != ZX_RECORD_TASK_ENDED)
		return false;
	return old->outcome != ZR_SCHED_FAILED ||
	       old->attempt + FAILURES_KEPT <= entry->attempt ||
	       old->attempt == entry->attempt;
}

static void add_task_entry(struct zr_image *image, struct image_job *job,
			   struct entry *entry)
{
	struct entry *old;
	struct entry *next;

	DL_FOREACH_SAFE(job->entries, old, next)
	{
		if (superseded(old, entry))
			drop_entry(image, job, old);
	}
	DL_APPEND(job->entries, entry);
}

/* Records */

static struct image_job *find_job(const struct zr_image *image, uint64_t number)
{
	struct image_job *job;

	HASH_FIND(hh, image->jobs, &number, sizeof(number), job);
	return job;
}

static void apply_accepted(struct zr_image *image, uint64_t number,
			   struct entry *entry)
{
	struct image_job *job = calloc(1, sizeof(*job));

	if (!job)
		abort();
	job->number = number;
	HASH_ADD(hh, image->jobs, number, sizeof(number), job);
	DL_APPEND(job->entries, entry);
}

static void apply_job_ended(struct zr_image *image, struct image_job *job,
			    struct entry *entry)
{
	drop_kind(image, job, ZX_RECORD_BEGUN);
	drop_kind(image, job, ZX_RECORD_INTENT);
	drop_kind(image, job, ZX_RECORD_JOB_ENDED);
	DL_APPEND(job->entries, entry);
}

static void apply_task(struct zr_image *image, struct image_job *job,
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
	add_task_entry(image, job, entry);
}

static void apply_worker(struct zr_image *image, const zx_record *record,
			 const char *bytes, u_int length)
{
	const zx_worker_record *known = &record->zx_record_u.worker;
	struct image_worker *worker;

	HASH_FIND_STR(image->workers, known->name, worker);
	if (worker) {
		HASH_DEL(image->workers, worker);
		free_entry(image, worker->entry);
		free(worker);
	}
	if (known->gone)
		return;
	worker = calloc(1, sizeof(*worker));
	if (!worker)
		abort();
	strncpy(worker->name, known->name, sizeof(worker->name) - 1);
	worker->entry = new_entry(image, record, bytes, length);
	HASH_ADD_STR(image->workers, name, worker);
}

void zr_image_apply(struct zr_image *image, const zx_record *record,
		    const char *bytes, u_int length)
{
	uint64_t number = number_of(record);
	struct image_job *job = find_job(image, number);
	struct entry *entry;

	if (record->kind == ZX_RECORD_WORKER) {
		apply_worker(image, record, bytes, length);
		return;
	}
	if ((record->kind == ZX_RECORD_ACCEPTED) == (job != NULL))
		return; /* known already, or of a job that is forgotten */
	entry = new_entry(image, record, bytes, length);
	if (record->kind == ZX_RECORD_ACCEPTED)
		apply_accepted(image, number, entry);
	else if (record->kind == ZX_RECORD_JOB_ENDED)
		apply_job_ended(image, job, entry);
	else if (record->kind == ZX_RECORD_BEGUN)
		DL_APPEND(job->entries, entry);
	else
		apply_task(image, job, entry, record);
}

static void remove_job(struct zr_image *image, struct image_job *job)
{
	HASH_DEL(image->jobs, job);
	while (job->entries)
		drop_entry(image, job, job->entries);
	free(job);
}

void zr_image_forget(struct zr_image *image, uint64_t number)
{
	struct image_job *job = find_job(image, number);

	if (job)
		remove_job(image, job);
}

/* Reading */

size_t zr_image_bytes(const struct zr_image *image)
{
	return image->bytes;
}

size_t zr_image_jobs(const struct zr_image *image)
{
	return HASH_COUNT(image->jobs);
}

static int by_number(struct image_job *a, struct image_job *b)
{
	return (a->number > b->number) - (a->number < b->number);
}

static void each_worker(struct zr_image *image, zr_image_bytes_fn each,
			void *ctx)
{
	struct image_worker *worker;
	struct image_worker *next;

	HASH_ITER (hh, image->workers, worker, next)
		each(ctx, worker->entry->bytes, worker->entry->length);
}

static void each_entry(struct image_job *job, zr_image_bytes_fn each, void *ctx)
{
	struct entry *entry;

	DL_FOREACH(job->entries, entry)
	{
		each(ctx, entry->bytes, entry->length);
	}
}

void zr_image_each(struct zr_image *image, unsigned int group,
		   zr_image_bytes_fn each, void *ctx)
{
	struct image_job *job;
	struct image_job *next;

	if (group == WORKER_GROUP)
		each_worker(image, each, ctx);
	HASH_SORT(image->jobs, by_number);
	HASH_ITER (hh, image->jobs, job, next) {
		if (zr_image_group(image, job->number) == group)
			each_entry(job, each, ctx);
	}
}

void zr_image_all(struct zr_image *image, zr_image_bytes_fn each, void *ctx)
{
	struct image_job *job;
	struct image_job *next;

	each_worker(image, each, ctx);
	HASH_SORT(image->jobs, by_number);
	HASH_ITER (hh, image->jobs, job, next)
		each_entry(job, each, ctx);
}

void zr_image_free(struct zr_image *image)
{
	struct image_worker *worker;
	struct image_worker *next;

	if (!image)
		return;
	while (image->jobs)
		remove_job(image, image->jobs);
	HASH_ITER (hh, image->workers, worker, next) {
		HASH_DEL(image->workers, worker);
		free_entry(image, worker->entry);
		free(worker);
	}
	free(image);
}

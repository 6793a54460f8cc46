#include "cell/records.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "zinniarack/errors.h"

/*
 * Maximum sizes of encoded records in bytes. Hosts send each other all records
 * but those of progress, of which the larger ones are packed.
 */
#define RECORD_BYTES_MAX ((unsigned long)ZX_CELL_RECORD_MAX)
#define PACKED_BYTES_MAX ((unsigned long)ZX_CELL_VALUE_MAX)
/* What a long checkpoint takes beside its text, and the list of them. */
#define LONG_CHECKPOINT_BYTES 8
#define EMPTY_SECTIONS_BYTES 64

int zr_cell_encode(struct zr_cell_buffer *out, xdrproc_t codec, void *record)
{
	unsigned long size = xdr_sizeof(codec, record);
	XDR xdr;

	if (!size || size > RECORD_BYTES_MAX)
		return ZR_E_TOO_LARGE;
	out->data = malloc(size);
	if (!out->data)
		abort();
	out->length = size;
	xdrmem_create(&xdr, out->data, (u_int)size, XDR_ENCODE);
	if (codec(&xdr, record))
		return 0;
	free(out->data);
	return ZR_E_TOO_LARGE;
}

int zr_cell_decode(void *record, xdrproc_t codec, const void *data,
		   size_t length)
{
	XDR xdr;

	if (!data || length > PACKED_BYTES_MAX)
		return ZR_E_PROTOCOL;
	xdrmem_create(&xdr, (char *)data, (u_int)length, XDR_DECODE);
	if (codec(&xdr, record))
		return 0;
	xdr_free(codec, record);
	return ZR_E_PROTOCOL;
}

int zr_cell_encode_job(struct zr_cell_buffer *out, zx_cell_stored_job *record)
{
	if (!record->advice.advised)
		return zr_cell_encode(out, (xdrproc_t)xdr_zx_cell_job,
				      &record->job);
	return zr_cell_encode(out, (xdrproc_t)xdr_zx_cell_stored_job, record);
}

int zr_cell_decode_job(zx_cell_stored_job *out, const void *data, size_t length)
{
	XDR xdr;

	if (!data || length > PACKED_BYTES_MAX)
		return ZR_E_PROTOCOL;
	xdrmem_create(&xdr, (char *)data, (u_int)length, XDR_DECODE);
	if (xdr_zx_cell_job(&xdr, &out->job) &&
	    (xdr_getpos(&xdr) == length ||
	     xdr_zx_cell_job_advice(&xdr, &out->advice)))
		return 0;
	xdr_free((xdrproc_t)xdr_zx_cell_stored_job, out);
	return ZR_E_PROTOCOL;
}

/* Packed lists of tasks */

/* Position of a worker's name in a packed list, counted from 1. */
struct name_position {
	const char *name;
	u_int position;
	UT_hash_handle hh;
};

static u_int add_worker_name(struct name_position **positions,
			     zx_cell_packed_list *out, char *name)
{
	struct name_position *entry;

	HASH_FIND_STR(*positions, name, entry);
	if (entry)
		return entry->position;
	entry = calloc(1, sizeof(*entry));
	if (!entry)
		abort();
	out->workers.workers_val[out->workers.workers_len++].name = name;
	entry->name = name;
	entry->position = out->workers.workers_len;
	HASH_ADD_KEYPTR(hh, *positions, entry->name, strlen(entry->name),
			entry);
	return entry->position;
}

static void free_positions(struct name_position *positions)
{
	struct name_position *entry;
	struct name_position *next;

	HASH_ITER (hh, positions, entry, next) {
		HASH_DEL(positions, entry);
		free(entry);
	}
}

/* Packs all but the checkpoints. The strings remain those of @progress. */
static void pack_tasks(zx_cell_packed_list *out,
		       const zx_cell_progress *progress)
{
	struct name_position *positions = NULL;
	u_int count = progress->tasks.tasks_len;
	u_int i;

	out->workers.workers_val =
		calloc(count + 1, sizeof(*out->workers.workers_val));
	out->tasks.tasks_val = calloc(count + 1, sizeof(*out->tasks.tasks_val));
	if (!out->workers.workers_val || !out->tasks.tasks_val)
		abort();
	out->tasks.tasks_len = count;
	for (i = 0; i < count; i++) {
		const zx_cell_task *task = &progress->tasks.tasks_val[i];

		out->tasks.tasks_val[i] = (zx_cell_packed_task){
			.attempt = task->attempt,
			.failures_done = 2 * task->failures + !!task->done,
			.worker = task->worker[0]
					  ? add_worker_name(&positions, out,
							    task->worker)
					  : 0,
			.checkpoint = "",
		};
	}
	free_positions(positions);
}

/* Takes the size of a checkpoint from @size if it fits. */
static bool take_bytes(unsigned long *size, const char *checkpoint,
		       size_t overhead)
{
	size_t bytes = RNDUP(strlen(checkpoint)) + overhead;

	if (bytes > *size)
		return false;
	*size -= bytes;
	return true;
}

/*
 * Adds the checkpoints of @record that fit into @size bytes. Returns how many
 * do not.
 */
static int pack_checkpoints(zx_cell_stored_progress *out,
			    const zx_cell_stored_progress *record,
			    unsigned long size)
{
	const zx_cell_long_checkpoints *longer = &record->checkpoints;
	int left_out = 0;
	u_int i;

	for (i = 0; i < out->packed.tasks.tasks_len; i++) {
		char *text = record->progress.tasks.tasks_val[i].checkpoint;

		if (take_bytes(&size, text, 0))
			out->packed.tasks.tasks_val[i].checkpoint = text;
		else
			left_out++;
	}
	for (i = 0; i < longer->tasks.tasks_len; i++) {
		const zx_cell_long_checkpoint *entry =
			&longer->tasks.tasks_val[i];
		u_int *count = &out->checkpoints.tasks.tasks_len;
		/* The list itself, and empty lists before it. */
		size_t overhead = *count ? 0 : EMPTY_SECTIONS_BYTES;

		if (take_bytes(&size, entry->checkpoint,
			       overhead + LONG_CHECKPOINT_BYTES))
			out->checkpoints.tasks.tasks_val[(*count)++] = *entry;
		else
			left_out++;
	}
	return left_out;
}

static char *copy_text(const char *text)
{
	char *copy = strdup(text);

	if (!copy)
		abort();
	return copy;
}

static int unpack_tasks(zx_cell_progress *out,
			const zx_cell_packed_list *packed)
{
	u_int i;

	if (!packed->tasks.tasks_len)
		return 0;
	if (out->tasks.tasks_len)
		return ZR_E_PROTOCOL;
	for (i = 0; i < packed->tasks.tasks_len; i++) {
		if (packed->tasks.tasks_val[i].worker >
		    packed->workers.workers_len)
			return ZR_E_PROTOCOL;
	}
	free(out->tasks.tasks_val);
	out->tasks.tasks_val =
		calloc(packed->tasks.tasks_len, sizeof(*out->tasks.tasks_val));
	if (!out->tasks.tasks_val)
		abort();
	out->tasks.tasks_len = packed->tasks.tasks_len;
	for (i = 0; i < packed->tasks.tasks_len; i++) {
		const zx_cell_packed_task *task = &packed->tasks.tasks_val[i];
		const char *worker =
			task->worker
				? packed->workers.workers_val[task->worker - 1]
					  .name
				: "";

		out->tasks.tasks_val[i] = (zx_cell_task){
			.attempt = task->attempt,
			.failures = task->failures_done / 2,
			.done = task->failures_done % 2,
			.worker = copy_text(worker),
			.checkpoint = copy_text(task->checkpoint),
		};
	}
	return 0;
}

/* Progress records */

/* A part of a stored progress record. */
struct section {
	xdrproc_t codec;
	void *value;
	bool present;
};

#define PROGRESS_SECTIONS 7

/* The sections of a progress record in the order of the encoding. */
static void list_sections(struct section out[PROGRESS_SECTIONS],
			  zx_cell_stored_progress *record)
{
	out[0] = (struct section){(xdrproc_t)xdr_zx_cell_progress,
				  &record->progress, true};
	out[1] = (struct section){(xdrproc_t)xdr_zx_cell_crash_list,
				  &record->crashes,
				  record->crashes.tasks.tasks_len != 0};
	out[2] = (struct section){
		(xdrproc_t)xdr_zx_cell_run_list, &record->runs,
		record->runs.incarnations.incarnations_len ||
			record->runs.possible_crashes.possible_crashes_len};
	out[3] = (struct section){(xdrproc_t)xdr_zx_cell_job_use, &record->use,
				  record->use.charges.charges_len ||
					  record->use.placed_ms};
	out[4] = (struct section){(xdrproc_t)xdr_zx_cell_packed_list,
				  &record->packed,
				  record->packed.tasks.tasks_len != 0};
	out[5] = (struct section){(xdrproc_t)xdr_zx_cell_gang_list,
				  &record->gangs,
				  record->gangs.gangs.gangs_len != 0};
	out[6] = (struct section){(xdrproc_t)xdr_zx_cell_long_checkpoints,
				  &record->checkpoints,
				  record->checkpoints.tasks.tasks_len != 0};
}

/* Lists the sections up to the last one with a content; returns their size. */
static unsigned long measure_sections(struct section out[PROGRESS_SECTIONS],
				      size_t *out_count,
				      zx_cell_stored_progress *record)
{
	unsigned long size = 0;
	size_t i;

	list_sections(out, record);
	*out_count = PROGRESS_SECTIONS;
	while (!out[*out_count - 1].present)
		--*out_count;
	for (i = 0; i < *out_count; i++)
		size += xdr_sizeof(out[i].codec, out[i].value);
	return size;
}

static int encode_sections(struct zr_cell_buffer *out,
			   zx_cell_stored_progress *record,
			   unsigned long max_bytes)
{
	struct section sections[PROGRESS_SECTIONS];
	size_t count;
	unsigned long size = measure_sections(sections, &count, record);
	size_t i;
	XDR xdr;

	if (size > max_bytes)
		return ZR_E_TOO_LARGE;
	out->data = malloc(size);
	if (!out->data)
		abort();
	out->length = size;
	xdrmem_create(&xdr, out->data, (u_int)size, XDR_ENCODE);
	for (i = 0; i < count; i++) {
		if (!sections[i].codec(&xdr, sections[i].value)) {
			free(out->data);
			return ZR_E_TOO_LARGE;
		}
	}
	return 0;
}

static int encode_packed(struct zr_cell_buffer *out,
			 const zx_cell_stored_progress *record)
{
	zx_cell_stored_progress packed = *record;
	struct section sections[PROGRESS_SECTIONS];
	unsigned long size;
	int left_out = 0;
	int error;
	size_t count;

	packed.progress.tasks.tasks_len = 0;
	pack_tasks(&packed.packed, &record->progress);
	packed.checkpoints.tasks.tasks_len = 0;
	packed.checkpoints.tasks.tasks_val =
		calloc((size_t)record->checkpoints.tasks.tasks_len + 1,
		       sizeof(*packed.checkpoints.tasks.tasks_val));
	if (!packed.checkpoints.tasks.tasks_val)
		abort();
	size = measure_sections(sections, &count, &packed);
	if (size > PACKED_BYTES_MAX) {
		/* A reader then estimates them from the failures of members. */
		packed.gangs.gangs.gangs_len = 0;
		size = measure_sections(sections, &count, &packed);
	}
	if (size < PACKED_BYTES_MAX)
		left_out = pack_checkpoints(&packed, record,
					    PACKED_BYTES_MAX - size);
	error = encode_sections(out, &packed, PACKED_BYTES_MAX);
	free(packed.packed.workers.workers_val);
	free(packed.packed.tasks.tasks_val);
	free(packed.checkpoints.tasks.tasks_val);
	return error < 0 ? error : left_out;
}

static bool is_long(const zx_cell_task *task)
{
	return strlen(task->checkpoint) > ZX_CELL_NAME_MAX;
}

static u_int count_long(const zx_cell_progress *progress)
{
	u_int count = 0;
	u_int i;

	for (i = 0; i < progress->tasks.tasks_len; i++)
		count += is_long(&progress->tasks.tasks_val[i]);
	return count;
}

/* Moves the checkpoints that are too long for the list of tasks. */
static void move_long(zx_cell_progress *progress, zx_cell_long_checkpoints *out)
{
	u_int i;

	for (i = 0; i < progress->tasks.tasks_len; i++) {
		zx_cell_task *task = &progress->tasks.tasks_val[i];

		if (!is_long(task))
			continue;
		out->tasks.tasks_val[out->tasks.tasks_len++] =
			(zx_cell_long_checkpoint){i, task->checkpoint};
		task->checkpoint = "";
	}
}

/* Moves them back. */
static int restore_long(zx_cell_progress *out, zx_cell_long_checkpoints *list)
{
	u_int i;

	for (i = 0; i < list->tasks.tasks_len; i++) {
		zx_cell_long_checkpoint *entry = &list->tasks.tasks_val[i];
		zx_cell_task *task;

		if (entry->task >= out->tasks.tasks_len)
			return ZR_E_PROTOCOL;
		task = &out->tasks.tasks_val[entry->task];
		free(task->checkpoint);
		task->checkpoint = entry->checkpoint;
		entry->checkpoint = NULL;
	}
	list->tasks.tasks_len = 0;
	return 0;
}

static int encode_whole(struct zr_cell_buffer *out,
			zx_cell_stored_progress *record)
{
	if (!encode_sections(out, record, RECORD_BYTES_MAX))
		return 0;
	return encode_packed(out, record);
}

int zr_cell_encode_progress(struct zr_cell_buffer *out,
			    const zx_cell_stored_progress *record)
{
	zx_cell_stored_progress copy = *record;
	size_t task_bytes = record->progress.tasks.tasks_len *
			    sizeof(*record->progress.tasks.tasks_val);
	u_int count = count_long(&record->progress);
	int result;

	if (!count)
		return encode_whole(out, &copy);
	copy.progress.tasks.tasks_val = malloc(task_bytes);
	copy.checkpoints.tasks.tasks_val =
		calloc(count, sizeof(*copy.checkpoints.tasks.tasks_val));
	if (!copy.progress.tasks.tasks_val || !copy.checkpoints.tasks.tasks_val)
		abort();
	memcpy(copy.progress.tasks.tasks_val, record->progress.tasks.tasks_val,
	       task_bytes);
	move_long(&copy.progress, &copy.checkpoints);
	result = encode_whole(out, &copy);
	free(copy.progress.tasks.tasks_val);
	free(copy.checkpoints.tasks.tasks_val);
	return result;
}

void zr_cell_progress_clear(zx_cell_stored_progress *record)
{
	zx_cell_task *tasks = record->progress.tasks.tasks_val;
	u_int i;

	/*
	 * xdr_free() gives up at a text that is longer than the codec allows.
	 * There is no list if the decoder failed before it.
	 */
	for (i = 0; tasks && i < record->progress.tasks.tasks_len; i++) {
		free(tasks[i].checkpoint);
		tasks[i].checkpoint = NULL;
	}
	xdr_free((xdrproc_t)xdr_zx_cell_stored_progress, record);
}

int zr_cell_decode_progress(zx_cell_stored_progress *out, const void *data,
			    size_t length)
{
	struct section sections[PROGRESS_SECTIONS];
	bool decoded = true;
	size_t i = 0;
	XDR xdr;

	if (!data || length > PACKED_BYTES_MAX)
		return ZR_E_PROTOCOL;
	list_sections(sections, out);
	xdrmem_create(&xdr, (char *)data, (u_int)length, XDR_DECODE);
	do
		decoded = sections[i].codec(&xdr, sections[i].value);
	while (decoded && ++i < PROGRESS_SECTIONS &&
	       xdr_getpos(&xdr) != length);
	if (decoded && !unpack_tasks(&out->progress, &out->packed) &&
	    !restore_long(&out->progress, &out->checkpoints))
		return 0;
	zr_cell_progress_clear(out);
	return ZR_E_PROTOCOL;
}

static void encode_step(zx_cell_step *out, const struct zr_cell_step_spec *step)
{
	out->count = step->count;
	out->millicpus = step->need.millicpus;
	out->memory_mb = step->need.memory_mb;
	out->accelerators = step->need.accelerators;
	out->estimate_ms = step->estimate_ms;
	out->after.after_len = step->depends_on_count;
	out->after.after_val = step->depends_on;
	out->flags = step->flags;
	out->spread = step->max_per_worker;
	out->unavailable_max = step->unavailable_max;
	out->target_ms = step->target_ms;
	out->label = (char *)step->label;
	out->rack = (char *)step->rack;
}

void zr_cell_record_from_spec(zx_cell_job *out,
			      const struct zr_cell_job_spec *spec)
{
	uint32_t i;

	out->payload = spec->payload;
	out->repeats = spec->repeats;
	out->first_ms = spec->first_ms;
	out->interval_ms = spec->interval_ms;
	out->steps.steps_len = spec->step_count;
	out->steps.steps_val = calloc((size_t)spec->step_count + 1,
				      sizeof(*out->steps.steps_val));
	if (!out->steps.steps_val)
		abort();
	for (i = 0; i < spec->step_count; i++)
		encode_step(&out->steps.steps_val[i], &spec->steps[i]);
}

void zr_cell_record_clear(zx_cell_job *record)
{
	free(record->steps.steps_val);
	record->steps.steps_val = NULL;
	record->steps.steps_len = 0;
}

static void decode_step(struct zr_cell_step_spec *out, const zx_cell_step *step)
{
	out->count = step->count;
	out->need.millicpus = step->millicpus;
	out->need.memory_mb = step->memory_mb;
	out->need.accelerators = step->accelerators;
	out->estimate_ms = step->estimate_ms;
	out->depends_on_count = step->after.after_len;
	out->depends_on = calloc((size_t)step->after.after_len + 1,
				 sizeof(*out->depends_on));
	if (!out->depends_on)
		abort();
	if (step->after.after_len)
		memcpy(out->depends_on, step->after.after_val,
		       step->after.after_len * sizeof(*out->depends_on));
	out->flags = step->flags;
	out->max_per_worker = step->spread;
	out->unavailable_max = step->unavailable_max;
	out->target_ms = step->target_ms;
	snprintf(out->label, sizeof(out->label), "%s", step->label);
	snprintf(out->rack, sizeof(out->rack), "%s", step->rack);
}

/* A step depends on earlier ones only. */
static bool is_valid_step(const zx_cell_step *step, uint32_t index)
{
	u_int i;

	for (i = 0; i < step->after.after_len; i++) {
		if (step->after.after_val[i] >= index)
			return false;
	}
	return step->count && step->count <= ZR_CELL_JOB_TASKS_MAX;
}

/* Checks what the model relies on. */
static bool is_valid_job(const zx_cell_job *record)
{
	uint64_t repeats = record->repeats ? record->repeats : 1;
	uint64_t tasks = 0;
	u_int i;

	for (i = 0; i < record->steps.steps_len; i++) {
		if (!is_valid_step(&record->steps.steps_val[i], i))
			return false;
		tasks += record->steps.steps_val[i].count;
	}
	return tasks && tasks * repeats <= ZR_CELL_JOB_TASKS_MAX &&
	       record->first_ms >= 0 &&
	       record->first_ms <= ZR_CELL_DUE_MS_MAX &&
	       record->interval_ms >= 0 &&
	       record->interval_ms <= ZR_CELL_DUE_MS_MAX;
}

int zr_cell_spec_from_record(struct zr_cell_job_spec *out,
			     const zx_cell_job *record)
{
	uint32_t i;

	memset(out, 0, sizeof(*out));
	if (!is_valid_job(record))
		return ZR_E_PROTOCOL;
	out->payload = strdup(record->payload);
	out->repeats = record->repeats;
	out->first_ms = record->first_ms;
	out->interval_ms = record->interval_ms;
	out->step_count = record->steps.steps_len;
	out->steps = calloc(out->step_count, sizeof(*out->steps));
	if (!out->steps || !out->payload)
		abort();
	for (i = 0; i < out->step_count; i++)
		decode_step(&out->steps[i], &record->steps.steps_val[i]);
	return 0;
}

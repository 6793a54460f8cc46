#include "cell/records.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "zinniarack/errors.h"

/* Maximum size of an encoded record in bytes. */
#define RECORD_BYTES_MAX 524288UL

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

	if (!data || length > RECORD_BYTES_MAX)
		return ZR_E_PROTOCOL;
	xdrmem_create(&xdr, (char *)data, (u_int)length, XDR_DECODE);
	if (codec(&xdr, record))
		return 0;
	xdr_free(codec, record);
	return ZR_E_PROTOCOL;
}

/* A part of a stored progress record. */
struct section {
	xdrproc_t codec;
	void *value;
	bool present;
};

#define PROGRESS_SECTIONS 4

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
}

int zr_cell_encode_progress(struct zr_cell_buffer *out,
			    zx_cell_stored_progress *record)
{
	struct section sections[PROGRESS_SECTIONS];
	size_t count = PROGRESS_SECTIONS;
	unsigned long size = 0;
	size_t i;
	XDR xdr;

	list_sections(sections, record);
	while (!sections[count - 1].present)
		count--;
	for (i = 0; i < count; i++)
		size += xdr_sizeof(sections[i].codec, sections[i].value);
	if (size > RECORD_BYTES_MAX)
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

int zr_cell_decode_progress(zx_cell_stored_progress *out, const void *data,
			    size_t length)
{
	struct section sections[PROGRESS_SECTIONS];
	size_t i = 0;
	XDR xdr;

	if (!data || length > RECORD_BYTES_MAX)
		return ZR_E_PROTOCOL;
	list_sections(sections, out);
	xdrmem_create(&xdr, (char *)data, (u_int)length, XDR_DECODE);
	do {
		if (!sections[i].codec(&xdr, sections[i].value)) {
			xdr_free((xdrproc_t)xdr_zx_cell_stored_progress, out);
			return ZR_E_PROTOCOL;
		}
	} while (++i < PROGRESS_SECTIONS && xdr_getpos(&xdr) != length);
	return 0;
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

int zr_cell_spec_from_record(struct zr_cell_job_spec *out,
			     const zx_cell_job *record)
{
	uint32_t i;

	memset(out, 0, sizeof(*out));
	if (!record->steps.steps_len)
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

#include "cell/past_use_record.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "zinniarack/errors.h"

/* Time of day minus the monotonic clock, in milliseconds. */
static int64_t wall_offset_ms(const struct zr_clock *clock)
{
	return zr_time_to_ms(clock->realtime(clock->ctx)) -
	       zr_time_to_ms(zr_clock_now(clock));
}

static int64_t monotonic_ms(const struct zr_clock *clock, int64_t wall_ms)
{
	int64_t now = zr_time_to_ms(zr_clock_now(clock));
	int64_t at = wall_ms - wall_offset_ms(clock);

	/* The clock of the host that wrote it may be ahead of ours. */
	return at < now ? at : now;
}

/* Progress records */

static void encode_charges(zx_cell_job_use *out,
			   const struct zr_cell_use_marks *marks,
			   const struct zr_cell_job *job)
{
	size_t i;

	for (i = 0; i < 2; i++) {
		const struct zr_cell_use_charge *charge = &job->use[i];

		if (!charge->runs || charge->generation <= marks->persisted)
			continue;
		if (!out->charges.charges_val)
			out->charges.charges_val =
				calloc(2, sizeof(*out->charges.charges_val));
		if (!out->charges.charges_val)
			abort();
		out->charges.charges_val[out->charges.charges_len++] =
			(zx_cell_use_charge){(int64_t)charge->generation,
					     charge->core_ms, charge->runs};
	}
}

static int64_t earliest_placement(const struct zr_cell_job *job)
{
	int64_t earliest = 0;
	uint32_t i;

	for (i = 0; i < job->task_count; i++) {
		int64_t placed_at = job->tasks[i].placed_at;

		if (placed_at && (!earliest || placed_at < earliest))
			earliest = placed_at;
	}
	return earliest;
}

static void encode_placements(zx_cell_job_use *out,
			      const struct zr_cell_job *job, int64_t earliest)
{
	bool differ = false;
	u_int *after_ms;
	uint32_t i;

	after_ms = calloc(job->active_tasks + 1, sizeof(*after_ms));
	if (!after_ms)
		abort();
	out->placed_after_ms.placed_after_ms_val = after_ms;
	for (i = 0; i < job->task_count; i++) {
		const struct zr_cell_task *task = &job->tasks[i];

		if (!task->worker)
			continue;
		*after_ms = task->placed_at
				    ? (u_int)(task->placed_at - earliest)
				    : 0;
		differ |= *after_ms++ != 0;
	}
	if (differ)
		out->placed_after_ms.placed_after_ms_len = job->active_tasks;
}

void zr_cell_use_encode(zx_cell_job_use *out, const struct zr_cell_model *model,
			const struct zr_cell_job *job,
			const struct zr_clock *clock)
{
	int64_t earliest;

	if (!model->use.enabled)
		return;
	encode_charges(out, &model->use, job);
	earliest = earliest_placement(job);
	if (!earliest)
		return;
	out->placed_ms = earliest + wall_offset_ms(clock);
	encode_placements(out, job, earliest);
}

void zr_cell_use_clear(zx_cell_job_use *record)
{
	free(record->charges.charges_val);
	free(record->placed_after_ms.placed_after_ms_val);
}

static void restore_charges(const struct zr_cell_use_marks *marks,
			    struct zr_cell_job *job,
			    const zx_cell_job_use *record)
{
	/* The generation before the first of this term is even. */
	struct zr_cell_use_charge *kept = &job->use[0];
	u_int i;

	for (i = 0; i < record->charges.charges_len; i++) {
		const zx_cell_use_charge *charge =
			&record->charges.charges_val[i];

		if ((uint64_t)charge->generation <= marks->persisted)
			continue;
		kept->generation = marks->generation - 1;
		kept->core_ms += charge->core_ms;
		kept->runs += charge->runs;
	}
}

static void restore_placements(struct zr_cell_job *job,
			       const zx_cell_job_use *record,
			       const struct zr_clock *clock)
{
	const u_int *after_ms = record->placed_after_ms.placed_after_ms_val;
	u_int count = record->placed_after_ms.placed_after_ms_len;
	u_int run = 0;
	uint32_t i;

	for (i = 0; i < job->task_count; i++) {
		struct zr_cell_task *task = &job->tasks[i];

		if (!task->worker)
			continue;
		task->placed_at = monotonic_ms(
			clock,
			record->placed_ms + (run < count ? after_ms[run] : 0));
		/* A host that has just started: 0 stands for no placement. */
		if (!task->placed_at)
			task->placed_at = 1;
		run++;
	}
}

void zr_cell_use_restore(const struct zr_cell_model *model,
			 struct zr_cell_job *job,
			 const zx_cell_stored_progress *record,
			 const struct zr_clock *clock)
{
	if (!model->use.enabled)
		return;
	restore_charges(&model->use, job, &record->use);
	if (record->use.placed_ms)
		restore_placements(job, &record->use, clock);
}

/* The record of past use */

int zr_cell_past_use_encode(struct zr_cell_buffer *out, struct zr_past_use *use,
			    const struct zr_cell_past_use_header *header,
			    const struct zr_clock *clock)
{
	zx_cell_client_use clients[ZR_PAST_USE_KEPT_MAX];
	zx_cell_past_use record = {
		.at_ms = use->at + wall_offset_ms(clock),
		.generation = (int64_t)header->generation,
		.runs = header->runs,
		.clients = {0, clients},
	};
	double rest_core_ms;
	size_t count = zr_past_use_keep_largest(use, &rest_core_ms);
	size_t i;

	for (i = 0; i < count; i++)
		clients[record.clients.clients_len++] =
			(zx_cell_client_use){use->accounts[i].name,
					     llround(use->accounts[i].core_ms)};
	record.rest_core_ms = llround(rest_core_ms);
	return zr_cell_encode(out, (xdrproc_t)xdr_zx_cell_past_use, &record);
}

int zr_cell_past_use_decode(struct zr_past_use *use,
			    struct zr_cell_past_use_header *header,
			    const struct zr_store_value *value,
			    const struct zr_clock *clock)
{
	zx_cell_past_use record = {0};
	int error = zr_cell_decode(&record, (xdrproc_t)xdr_zx_cell_past_use,
				   value->data, value->length);
	u_int i;

	if (error < 0)
		return error;
	use->at = monotonic_ms(clock, record.at_ms);
	use->rest_core_ms = (double)record.rest_core_ms;
	for (i = 0; i < record.clients.clients_len; i++)
		zr_past_use_add(use, record.clients.clients_val[i].client,
				(double)record.clients.clients_val[i].core_ms);
	header->generation = (uint64_t)record.generation;
	header->runs = record.runs;
	xdr_free((xdrproc_t)xdr_zx_cell_past_use, &record);
	return 0;
}

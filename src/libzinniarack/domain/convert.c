#include "domain/convert.h"

#include <stdio.h>
#include <string.h>

#include "zinniarack/errors.h"

void zr_convert_resources_to_xdr(zx_resources *out,
				 const struct zr_resources *resources)
{
	out->millicpus = resources->millicpus;
	out->memory_mb = resources->memory_mb;
	out->accelerators = resources->accelerators;
}

void zr_convert_spec_to_xdr(zx_job_spec *out, const struct zr_job_spec *spec)
{
	out->name = (char *)spec->name;
	out->team = (char *)spec->team;
	out->queue = (char *)spec->queue;
	out->kind = spec->kind;
	out->tasks = spec->tasks;
	zr_convert_resources_to_xdr(&out->size, &spec->size);
	out->worth = spec->worth;
	out->urgent = spec->urgent;
	out->at_most_once = spec->at_most_once;
	out->run_ms = spec->run_ms;
	out->deadline_ms = spec->deadline_ms;
	out->idempotency_key = (char *)spec->idempotency_key;
	out->command = spec->command;
}

int zr_convert_spec_from_xdr(struct zr_job_spec *out,
			     const zx_job_spec *message)
{
	memset(out, 0, sizeof(*out));
	if (message->kind > ZR_JOB_GANG || !message->tasks ||
	    message->tasks > ZR_JOB_TASKS_MAX)
		return zr_error_set(ZR_E_PROTOCOL,
				    "job specification: kind or number of "
				    "tasks out of range");
	snprintf(out->name, sizeof(out->name), "%s", message->name);
	snprintf(out->team, sizeof(out->team), "%s", message->team);
	snprintf(out->queue, sizeof(out->queue), "%s", message->queue);
	snprintf(out->idempotency_key, sizeof(out->idempotency_key), "%s",
		 message->idempotency_key);
	out->kind = (enum zr_job_kind)message->kind;
	out->tasks = message->tasks;
	out->size.millicpus = message->size.millicpus;
	out->size.memory_mb = message->size.memory_mb;
	out->size.accelerators = message->size.accelerators;
	out->worth = message->worth;
	out->urgent = message->urgent;
	out->at_most_once = message->at_most_once;
	out->run_ms = message->run_ms;
	out->deadline_ms = message->deadline_ms;
	out->command = message->command;
	return 0;
}

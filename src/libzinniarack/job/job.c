#include "zinniarack/job.h"

#include <stdlib.h>

const char *zr_job_kind_name(enum zr_job_kind kind)
{
	static const char *const names[] = {"batch", "service", "gang"};

	return names[kind];
}

const char *zr_job_state_name(enum zr_job_state state)
{
	static const char *const names[] = {
		"waiting",   "running", "parked",
		"succeeded", "failed",	"cancelled",
	};

	return names[state];
}

bool zr_job_state_is_final(enum zr_job_state state)
{
	return state >= ZR_JOB_SUCCEEDED;
}

void zr_job_spec_clear(struct zr_job_spec *spec)
{
	free(spec->command);
	spec->command = NULL;
}

bool zr_resources_fit(const struct zr_resources *need,
		      const struct zr_resources *available)
{
	return need->millicpus <= available->millicpus &&
	       need->memory_mb <= available->memory_mb &&
	       need->accelerators <= available->accelerators;
}

void zr_resources_add(struct zr_resources *total,
		      const struct zr_resources *amount)
{
	total->millicpus += amount->millicpus;
	total->memory_mb += amount->memory_mb;
	total->accelerators += amount->accelerators;
}

static uint32_t subtract_to_zero(uint32_t total, uint32_t amount)
{
	return amount < total ? total - amount : 0;
}

void zr_resources_sub(struct zr_resources *total,
		      const struct zr_resources *amount)
{
	total->millicpus =
		subtract_to_zero(total->millicpus, amount->millicpus);
	total->memory_mb =
		subtract_to_zero(total->memory_mb, amount->memory_mb);
	total->accelerators =
		subtract_to_zero(total->accelerators, amount->accelerators);
}

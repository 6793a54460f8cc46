#include "zinniarack/config.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/schema.h"
#include "config/yaml.h"
#include "zinniarack/errors.h"

#define MILLICPUS_PER_CPU 1000

void zr_config_fill_defaults(struct zr_config *config)
{
	uint32_t i;

	if (!config->key_check.confirm_within_ms)
		config->key_check.confirm_within_ms =
			ZR_CONFIRM_WITHIN_DEFAULT_MS;
	for (i = 0; i < config->jobs_count; i++) {
		if (!config->jobs[i].tasks)
			config->jobs[i].tasks = 1;
	}
}

int zr_config_parse(struct zr_config **out, const char *source,
		    const void *text, size_t length)
{
	struct zr_config_error found;
	struct zr_config *config;
	void *loaded;
	int error = zr_yaml_load_checked(&loaded, source, text, length,
					 &zr_config_schema, zr_config_rules);

	if (error < 0)
		return error;
	config = loaded;
	zr_config_fill_defaults(config);
	error = zr_config_check(&found, config);
	if (error < 0) {
		zr_error_set(error, "%s: %s '%s': field '%s': %s", source,
			     found.section, found.name, found.field,
			     found.detail);
		zr_config_free(config);
		return error;
	}
	*out = config;
	return 0;
}

int zr_config_print(char **out, size_t *out_length,
		    const struct zr_config *config)
{
	return zr_yaml_save_text(out, out_length, &zr_config_schema, config);
}

void zr_config_free(struct zr_config *config)
{
	zr_yaml_free(&zr_config_schema, config);
}

const struct zr_config_team *zr_config_find_team(const struct zr_config *config,
						 const char *name)
{
	uint32_t i;

	for (i = 0; i < config->teams_count; i++) {
		if (!strcmp(config->teams[i].name, name))
			return &config->teams[i];
	}
	return NULL;
}

const struct zr_config_queue *
zr_config_find_queue(const struct zr_config *config, const char *name)
{
	uint32_t i;

	for (i = 0; i < config->queues_count; i++) {
		if (!strcmp(config->queues[i].name, name))
			return &config->queues[i];
	}
	return NULL;
}

bool zr_config_is_drained(const struct zr_config *config, const char *worker)
{
	uint32_t i;

	for (i = 0; i < config->drained_count; i++) {
		if (!strcmp(config->drained[i].name, worker))
			return true;
	}
	return false;
}

bool zr_config_is_evacuated(const struct zr_config *config, const char *domain)
{
	uint32_t i;

	for (i = 0; i < config->evacuated_count; i++) {
		if (!strcmp(config->evacuated[i].name, domain))
			return true;
	}
	return false;
}

int zr_config_job_spec(struct zr_job_spec *out, const struct zr_config_job *job,
		       const char *domain, uint32_t instance)
{
	memset(out, 0, sizeof(*out));
	snprintf(out->name, sizeof(out->name), "%s", job->name);
	snprintf(out->team, sizeof(out->team), "%s", job->team);
	snprintf(out->queue, sizeof(out->queue), "%s", job->queue);
	snprintf(out->idempotency_key, sizeof(out->idempotency_key),
		 "declared/%s/%s/%" PRIu32, job->name, domain, instance);
	out->kind = job->kind;
	out->tasks = job->tasks;
	out->size.millicpus = (uint32_t)(job->cpus * MILLICPUS_PER_CPU + 0.5);
	out->size.memory_mb = job->memory_mb;
	out->size.accelerators = job->accelerators;
	out->worth = job->worth;
	out->urgent = job->urgent;
	out->run_ms = job->run_ms;
	out->command = strdup(job->command);
	return out->command ? 0 : ZR_E_NOMEM;
}

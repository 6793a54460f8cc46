#include <stdlib.h>
#include <string.h>

#include "zinniarack/cell.h"
#include "zinniarack/errors.h"
#include "zinniarack/log.h"

void zr_cell_job_spec_clear(struct zr_cell_job_spec *spec)
{
	uint32_t i;

	for (i = 0; i < spec->step_count; i++)
		free(spec->steps[i].depends_on);
	free(spec->steps);
	free(spec->payload);
	memset(spec, 0, sizeof(*spec));
}

void zr_cell_config_free(struct zr_cell_config *config)
{
	size_t i;

	if (!config)
		return;
	for (i = 0; i < config->queue_count; i++) {
		free(config->queues[i].host);
		free(config->queues[i].prefix);
	}
	for (i = 0; i < config->key_count; i++)
		free(config->keys[i].key);
	free(config->queues);
	free(config->clients);
	free(config->keys);
	free(config);
}

const struct zr_cell_queue *
zr_cell_config_route(const struct zr_cell_config *config, const char *host,
		     const char *path)
{
	const struct zr_cell_queue *best = NULL;
	size_t i;

	for (i = 0; i < config->queue_count; i++) {
		const struct zr_cell_queue *queue = &config->queues[i];
		size_t length = strlen(queue->prefix);

		if (strcmp(queue->host, host) ||
		    strncmp(queue->prefix, path, length))
			continue;
		if (!best || length > strlen(best->prefix))
			best = queue;
	}
	return best;
}

const struct zr_cell_queue *
zr_cell_config_queue(const struct zr_cell_config *config, const char *name)
{
	size_t i;

	for (i = 0; config && i < config->queue_count; i++) {
		if (!strcmp(config->queues[i].name, name))
			return &config->queues[i];
	}
	return NULL;
}

const struct zr_cell_client *
zr_cell_config_client(const struct zr_cell_config *config, const char *name)
{
	size_t i;

	for (i = 0; config && i < config->client_count; i++) {
		if (!strcmp(config->clients[i].name, name))
			return &config->clients[i];
	}
	return NULL;
}

const struct zr_cell_client *
zr_cell_config_key(const struct zr_cell_config *config, const char *key)
{
	size_t i;

	for (i = 0; *key && i < config->key_count; i++) {
		if (!strcmp(config->keys[i].key, key))
			return &config->clients[config->keys[i].client];
	}
	return NULL;
}

int zr_cell_permit_check(const struct zr_cell_permit *permit)
{
	size_t worker_bytes = strlen(permit->worker);
	size_t ticket_bytes = strlen(permit->ticket);

	if (worker_bytes < ZR_NAME_MAX && ticket_bytes < ZR_CELL_TICKET_MAX)
		return 0;
	zr_log(ZR_LOG_WARN,
	       "permit.refused worker=%.*s worker_bytes=%zu ticket_bytes=%zu "
	       "error=%s",
	       ZR_NAME_MAX - 1, permit->worker, worker_bytes, ticket_bytes,
	       zr_error_name(ZR_E_TOO_LARGE));
	return ZR_E_TOO_LARGE;
}

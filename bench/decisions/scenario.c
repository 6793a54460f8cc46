#include "decisions/scenario.h"

#include <stdio.h>
#include <stdlib.h>

#define SHARES 4
/* A team's upper limit, as a multiple of its weighted share. */
#define LIMIT_FACTOR 2

static char *numbered(const char *prefix, uint32_t number)
{
	char *name = malloc(ZR_NAME_MAX);

	if (!name)
		abort();
	snprintf(name, ZR_NAME_MAX, "%s%u", prefix, number);
	return name;
}

static uint32_t share_of(uint32_t team)
{
	return 1 + team % SHARES;
}

static uint32_t limit_of(const struct scenario *scenario, uint32_t team,
			 uint32_t each, uint32_t sum)
{
	uint64_t whole = (uint64_t)each * scenario->workers;

	return (uint32_t)(whole * LIMIT_FACTOR * share_of(team) / sum);
}

struct zr_config *scenario_config(const struct scenario *scenario)
{
	struct zr_config *config = calloc(1, sizeof(*config));
	uint32_t sum = 0;
	uint32_t i;

	if (!config)
		abort();
	config->version = 1;
	config->policy = scenario->policy;
	config->teams_count = scenario->teams;
	config->queues_count = scenario->teams;
	config->teams = calloc(scenario->teams, sizeof(*config->teams));
	config->queues = calloc(scenario->teams, sizeof(*config->queues));
	if (!config->teams || !config->queues)
		abort();
	for (i = 0; i < scenario->teams; i++)
		sum += share_of(i);
	for (i = 0; i < scenario->teams; i++) {
		struct zr_config_team *team = &config->teams[i];

		team->name = numbered("team", i);
		team->share = share_of(i);
		team->limit.millicpus = limit_of(
			scenario, i, scenario->capacity.millicpus, sum);
		team->limit.memory_mb = limit_of(
			scenario, i, scenario->capacity.memory_mb, sum);
		config->queues[i].name = numbered("queue", i);
		config->queues[i].open = true;
		config->queues[i].team = team->name;
	}
	return config;
}

void scenario_config_free(struct zr_config *config)
{
	uint32_t i;

	for (i = 0; i < config->teams_count; i++) {
		free(config->teams[i].name);
		free(config->queues[i].name);
	}
	free(config->teams);
	free(config->queues);
	free(config);
}

uint32_t scenario_failing_workers(const struct scenario *scenario)
{
	if (!scenario->faults)
		return 0;
	return (scenario->workers * SCENARIO_FAILING_PERCENT + 99) / 100;
}

#include "decisions/scenario.h"

#include <stdio.h>
#include <stdlib.h>

#define SHARE_MAX 4
/* Upper limit of a team as a multiple of its weighted share. */
#define LIMIT_FACTOR 2

static char *make_name(const char *prefix, uint32_t number)
{
	char *name = malloc(ZR_NAME_MAX);

	if (!name)
		abort();
	snprintf(name, ZR_NAME_MAX, "%s%u", prefix, number);
	return name;
}

static uint32_t team_share(uint32_t team)
{
	return 1 + team % SHARE_MAX;
}

static uint32_t team_limit(const struct scenario *scenario, uint32_t team,
			   uint32_t per_worker, uint32_t share_sum)
{
	uint64_t total = (uint64_t)per_worker * scenario->workers;

	return (uint32_t)(total * LIMIT_FACTOR * team_share(team) / share_sum);
}

struct zr_config *scenario_config(const struct scenario *scenario)
{
	struct zr_config *config = calloc(1, sizeof(*config));
	uint32_t share_sum = 0;
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
		share_sum += team_share(i);
	for (i = 0; i < scenario->teams; i++) {
		struct zr_config_team *team = &config->teams[i];

		team->name = make_name("team", i);
		team->share = team_share(i);
		team->limit.millicpus = team_limit(
			scenario, i, scenario->capacity.millicpus, share_sum);
		team->limit.memory_mb = team_limit(
			scenario, i, scenario->capacity.memory_mb, share_sum);
		config->queues[i].name = make_name("queue", i);
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
	if (!scenario->inject_faults)
		return 0;
	return (scenario->workers * SCENARIO_FAILING_WORKERS_PERCENT + 99) /
	       100;
}

#include "sched/internal.h"

#include <stdlib.h>
#include <string.h>

/**
 * DOC: Teams
 *
 * Keeps, for each team, the resources that its tasks reserve, its limit in this
 * failure domain and its dominant share. The dominant share is the largest of
 * the fractions that the team uses of each resource of the domain.
 */

#define PARTS_PER_BILLION 1000000000u
/* Accelerators are scarce when at least this percentage of them is in use. */
#define SCARCE_PERCENT 90

struct zr_sched_team *zr_sched_team_get(const struct zr_sched *sched,
					zr_handle team)
{
	return zr_table_get(sched->teams, team);
}

zr_handle zr_sched_team_find(const struct zr_sched *sched, const char *name)
{
	zr_handle team = ZR_HANDLE_NONE;

	while ((team = zr_table_next(sched->teams, team))) {
		if (!strcmp(zr_sched_team_get(sched, team)->name->text, name))
			break;
	}
	return team;
}

int zr_sched_team_get_or_add(zr_handle *out, struct zr_sched *sched,
			     const char *name)
{
	struct zr_sched_team *team;
	int error;

	*out = zr_sched_team_find(sched, name);
	if (*out)
		return 0;
	error = zr_table_add(out, sched->teams);
	if (error < 0)
		return error;
	team = zr_sched_team_get(sched, *out);
	team->share = 1;
	team->name = zr_sched_name_acquire(sched, name);
	if (team->name)
		return 0;
	zr_table_remove(sched->teams, *out);
	return ZR_E_NOMEM;
}

/* Limits */

/* A zero @limit means no limit. With @more zero, the result is always true. */
static bool is_within(uint64_t used, uint64_t more, uint64_t limit)
{
	return !limit || !more || used + more <= limit;
}

static bool fits_limit(const struct zr_resources *limit,
		       const struct zr_resources *used,
		       const struct zr_resources *size, uint64_t count)
{
	return is_within(used->millicpus, size->millicpus * count,
			 limit->millicpus) &&
	       is_within(used->memory_mb, size->memory_mb * count,
			 limit->memory_mb) &&
	       is_within(used->accelerators, size->accelerators * count,
			 limit->accelerators);
}

/* Returns the smaller of two limits; 0 means no limit. */
static uint32_t smaller_limit(uint32_t a, uint32_t b)
{
	if (!a || !b)
		return a + b;
	return a < b ? a : b;
}

struct zr_resources zr_sched_team_limit(const struct zr_sched_team *team)
{
	const struct zr_resources limit = {
		.millicpus = smaller_limit(team->limit.millicpus,
					   team->allotment.millicpus),
		.memory_mb = smaller_limit(team->limit.memory_mb,
					   team->allotment.memory_mb),
		.accelerators = smaller_limit(team->limit.accelerators,
					      team->allotment.accelerators),
	};

	return limit;
}

bool zr_sched_team_is_over_limit(const struct zr_sched_team *team)
{
	struct zr_resources limit = zr_sched_team_limit(team);

	return (limit.millicpus && team->used.millicpus > limit.millicpus) ||
	       (limit.memory_mb && team->used.memory_mb > limit.memory_mb) ||
	       (limit.accelerators &&
		team->used.accelerators > limit.accelerators);
}

bool zr_sched_team_has_quota(const struct zr_sched_team *team,
			     const struct zr_resources *size, uint32_t count)
{
	struct zr_resources limit = zr_sched_team_limit(team);

	return fits_limit(&limit, &team->used, size, count);
}

bool zr_sched_team_limit_fits(const struct zr_sched_team *team,
			      const struct zr_resources *size, uint32_t count)
{
	static const struct zr_resources none = {0};

	struct zr_resources limit = zr_sched_team_limit(team);

	return fits_limit(&limit, &none, size, count);
}

/* Shares */

static uint64_t share_ppb(uint32_t used, uint32_t total)
{
	return total ? (uint64_t)used * PARTS_PER_BILLION / total : 0;
}

static uint64_t max_of(uint64_t a, uint64_t b)
{
	return a > b ? a : b;
}

static bool accelerators_are_scarce(const struct zr_sched *sched)
{
	return (uint64_t)sched->accelerators_in_use * 100 >=
	       (uint64_t)sched->total_capacity.accelerators * SCARCE_PERCENT;
}

/*
 * Shares decide which team gets a scarce resource. While accelerators are not
 * scarce, their use does not count against a team.
 */
static void update_share(const struct zr_sched *sched,
			 struct zr_sched_team *team)
{
	const struct zr_resources *total = &sched->total_capacity;

	team->dominant_share =
		max_of(share_ppb(team->used.millicpus, total->millicpus),
		       share_ppb(team->used.memory_mb, total->memory_mb));
	if (sched->accelerators_scarce)
		team->dominant_share = max_of(team->dominant_share,
					      share_ppb(team->used.accelerators,
							total->accelerators));
}

void zr_sched_teams_update_shares(struct zr_sched *sched)
{
	zr_handle handle = ZR_HANDLE_NONE;

	sched->total_share = 0;
	sched->accelerators_scarce = accelerators_are_scarce(sched);
	while ((handle = zr_table_next(sched->teams, handle))) {
		struct zr_sched_team *team = zr_sched_team_get(sched, handle);

		update_share(sched, team);
		sched->total_share += team->share;
	}
}

void zr_sched_team_update_usage(struct zr_sched *sched,
				struct zr_sched_team *team,
				const struct zr_resources *before,
				const struct zr_resources *after)
{
	zr_resources_sub(&team->used, before);
	zr_resources_add(&team->used, after);
	sched->accelerators_in_use +=
		after->accelerators - before->accelerators;
	if (sched->accelerators_scarce != accelerators_are_scarce(sched))
		zr_sched_teams_update_shares(sched);
	update_share(sched, team);
}

/* Configuration */

static int configure_team(struct zr_sched *sched,
			  const struct zr_config_team *config)
{
	struct zr_sched_team *team;
	zr_handle handle;
	int error = zr_sched_team_get_or_add(&handle, sched, config->name);

	if (error < 0)
		return error;
	team = zr_sched_team_get(sched, handle);
	team->limit = config->limit;
	team->share = config->share ? config->share : 1;
	zr_sched_team_enforce_limit(sched, handle);
	return 0;
}

int zr_sched_configure(struct zr_sched *sched, const struct zr_config *config)
{
	uint32_t i;
	int error;

	zr_sched_now_refresh(sched);
	sched->config = config;
	sched->policy = zr_sched_policy_get(config->policy);
	for (i = 0; i < config->teams_count; i++) {
		error = configure_team(sched, &config->teams[i]);
		if (error < 0)
			return error;
	}
	zr_sched_teams_update_shares(sched);
	zr_sched_queues_configure(sched);
	zr_sched_parked_recheck_all(sched);
	return 0;
}

int zr_sched_set_allotment(struct zr_sched *sched, const char *team_name,
			   const struct zr_resources *allotment)
{
	zr_handle team = zr_sched_team_find(sched, team_name);

	if (!team)
		return zr_error_set(ZR_E_NOT_FOUND, "team '%s' does not exist",
				    team_name);
	zr_sched_now_refresh(sched);
	zr_sched_team_get(sched, team)->allotment = *allotment;
	zr_sched_team_enforce_limit(sched, team);
	zr_sched_classes_unblock(sched, team, ZR_SCHED_WAIT_LIMIT);
	zr_sched_classes_unblock(sched, team, ZR_SCHED_WAIT_NO_CAPACITY);
	zr_sched_parked_recheck_all(sched);
	return 0;
}

int zr_sched_team_usage(struct zr_resources *out, const struct zr_sched *sched,
			const char *team_name)
{
	zr_handle team = zr_sched_team_find(sched, team_name);

	if (!team)
		return zr_error_set(ZR_E_NOT_FOUND, "team '%s' does not exist",
				    team_name);
	*out = zr_sched_team_get(sched, team)->used;
	return 0;
}

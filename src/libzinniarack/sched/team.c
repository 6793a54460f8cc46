#include "sched/internal.h"

#include <stdlib.h>
#include <string.h>

/**
 * DOC: Teams
 *
 * What each team has running, its upper limit here and its dominant share: the
 * largest part that it has of any resource of the cell.
 */

#define PARTS_PER_BILLION 1000000000u
/* Accelerators are short when so much of them is in use, in per cent. */
#define SHORT_PERCENT 90

struct zr_sched_team *zr_sched_team_row(const struct zr_sched *sched,
					zr_handle team)
{
	return zr_table_get(sched->teams, team);
}

zr_handle zr_sched_team_find(const struct zr_sched *sched, const char *name)
{
	zr_handle team = ZR_HANDLE_NONE;

	while ((team = zr_table_next(sched->teams, team))) {
		if (!strcmp(zr_sched_team_row(sched, team)->name->text, name))
			break;
	}
	return team;
}

int zr_sched_team_obtain(zr_handle *out, struct zr_sched *sched,
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
	team = zr_sched_team_row(sched, *out);
	team->share = 1;
	team->name = zr_sched_name_take(sched, name);
	if (team->name)
		return 0;
	zr_table_remove(sched->teams, *out);
	return ZR_E_NOMEM;
}

/* Limits */

static bool within(uint64_t used, uint64_t more, uint64_t limit)
{
	return !limit || !more || used + more <= limit;
}

static bool allows(const struct zr_resources *limit,
		   const struct zr_resources *used,
		   const struct zr_resources *size, uint64_t count)
{
	return within(used->millicpus, size->millicpus * count,
		      limit->millicpus) &&
	       within(used->memory_mb, size->memory_mb * count,
		      limit->memory_mb) &&
	       within(used->accelerators, size->accelerators * count,
		      limit->accelerators);
}

static uint32_t tighter(uint32_t a, uint32_t b)
{
	if (!a || !b)
		return a + b;
	return a < b ? a : b;
}

struct zr_resources zr_sched_team_limit(const struct zr_sched_team *team)
{
	const struct zr_resources limit = {
		.millicpus = tighter(team->limit.millicpus,
				     team->allotment.millicpus),
		.memory_mb = tighter(team->limit.memory_mb,
				     team->allotment.memory_mb),
		.accelerators = tighter(team->limit.accelerators,
					team->allotment.accelerators),
	};

	return limit;
}

bool zr_sched_team_over(const struct zr_sched_team *team)
{
	struct zr_resources limit = zr_sched_team_limit(team);

	return (limit.millicpus && team->used.millicpus > limit.millicpus) ||
	       (limit.memory_mb && team->used.memory_mb > limit.memory_mb) ||
	       (limit.accelerators &&
		team->used.accelerators > limit.accelerators);
}

bool zr_sched_team_allows(const struct zr_sched_team *team,
			  const struct zr_resources *size, uint32_t count)
{
	struct zr_resources limit = zr_sched_team_limit(team);

	return allows(&limit, &team->used, size, count);
}

bool zr_sched_team_could(const struct zr_sched_team *team,
			 const struct zr_resources *size, uint32_t count)
{
	static const struct zr_resources none = {0};

	struct zr_resources limit = zr_sched_team_limit(team);

	return allows(&limit, &none, size, count);
}

/* Shares */

static uint64_t part_of(uint32_t used, uint32_t total)
{
	return total ? (uint64_t)used * PARTS_PER_BILLION / total : 0;
}

static uint64_t most(uint64_t a, uint64_t b)
{
	return a > b ? a : b;
}

/* Whether nearly all accelerators are in use. */
static bool are_short(const struct zr_sched *sched)
{
	return (uint64_t)sched->accelerators * 100 >=
	       (uint64_t)sched->total.accelerators * SHORT_PERCENT;
}

/* Shares are for when all is full: accelerators that nobody lacks do not count
 * against the team that uses them. */
static void weigh(const struct zr_sched *sched, struct zr_sched_team *team)
{
	const struct zr_resources *total = &sched->total;

	team->dominant = most(part_of(team->used.millicpus, total->millicpus),
			      part_of(team->used.memory_mb, total->memory_mb));
	if (sched->accelerators_short)
		team->dominant =
			most(team->dominant, part_of(team->used.accelerators,
						     total->accelerators));
}

void zr_sched_teams_weigh(struct zr_sched *sched)
{
	zr_handle handle = ZR_HANDLE_NONE;

	sched->total_share = 0;
	sched->accelerators_short = are_short(sched);
	while ((handle = zr_table_next(sched->teams, handle))) {
		struct zr_sched_team *team = zr_sched_team_row(sched, handle);

		weigh(sched, team);
		sched->total_share += team->share;
	}
}

void zr_sched_team_use(struct zr_sched *sched, struct zr_sched_team *team,
		       const struct zr_resources *before,
		       const struct zr_resources *after)
{
	zr_resources_sub(&team->used, before);
	zr_resources_add(&team->used, after);
	sched->accelerators += after->accelerators - before->accelerators;
	if (sched->accelerators_short != are_short(sched))
		zr_sched_teams_weigh(sched);
	weigh(sched, team);
}

/* Configuration */

static int configure_team(struct zr_sched *sched,
			  const struct zr_config_team *config)
{
	struct zr_sched_team *team;
	zr_handle handle;
	int error = zr_sched_team_obtain(&handle, sched, config->name);

	if (error < 0)
		return error;
	team = zr_sched_team_row(sched, handle);
	team->limit = config->limit;
	team->share = config->share ? config->share : 1;
	zr_sched_team_relieve(sched, handle);
	return 0;
}

int zr_sched_configure(struct zr_sched *sched, const struct zr_config *config)
{
	uint32_t i;
	int error;

	zr_sched_now_refresh(sched);
	sched->config = config;
	sched->policy = zr_sched_policy_of(config->policy);
	for (i = 0; i < config->teams_count; i++) {
		error = configure_team(sched, &config->teams[i]);
		if (error < 0)
			return error;
	}
	zr_sched_teams_weigh(sched);
	zr_sched_queues_configure(sched);
	zr_sched_parked_reconsider(sched);
	return 0;
}

int zr_sched_set_allotment(struct zr_sched *sched, const char *name,
			   const struct zr_resources *allotment)
{
	zr_handle team = zr_sched_team_find(sched, name);

	if (!team)
		return zr_error_set(ZR_E_NOT_FOUND, "no team '%s'", name);
	zr_sched_now_refresh(sched);
	zr_sched_team_row(sched, team)->allotment = *allotment;
	zr_sched_team_relieve(sched, team);
	zr_sched_queue_unblock(sched, team, ZR_SCHED_WAIT_LIMIT);
	zr_sched_queue_unblock(sched, team, ZR_SCHED_WAIT_NO_ROOM);
	zr_sched_parked_reconsider(sched);
	return 0;
}

int zr_sched_team_usage(struct zr_resources *out, const struct zr_sched *sched,
			const char *name)
{
	zr_handle team = zr_sched_team_find(sched, name);

	if (!team)
		return zr_error_set(ZR_E_NOT_FOUND, "no team '%s'", name);
	*out = zr_sched_team_row(sched, team)->used;
	return 0;
}

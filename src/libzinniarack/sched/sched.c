#include "sched/internal.h"

#include <stdlib.h>

/**
 * DOC: The core's life
 *
 * Makes the tables and frees them.
 */

static int make_tables(struct zr_sched *sched)
{
	const struct {
		struct zr_table **table;
		size_t row;
	} tables[] = {
		{&sched->jobs, sizeof(struct zr_sched_job)},
		{&sched->workers, sizeof(struct zr_sched_host)},
		{&sched->teams, sizeof(struct zr_sched_team)},
		{&sched->racks, sizeof(struct zr_sched_rack)},
		{&sched->placements, sizeof(struct zr_sched_placement)},
	};
	size_t i;

	for (i = 0; i < sizeof(tables) / sizeof(*tables); i++) {
		int error = zr_table_new(tables[i].table, tables[i].row);

		if (error < 0)
			return error;
	}
	sched->index = calloc(1, sizeof(*sched->index));
	return sched->index ? 0 : ZR_E_NOMEM;
}

int zr_sched_new(struct zr_sched **out, const struct zr_sched_options *options)
{
	struct zr_sched *sched = calloc(1, sizeof(*sched));

	if (!sched)
		return ZR_E_NOMEM;
	sched->clock = options->clock;
	sched->sink = options->sink;
	sched->policy = zr_sched_policy_of(ZR_POLICY_WAITING_FIRST);
	if (make_tables(sched) < 0) {
		zr_sched_free(sched);
		return ZR_E_NOMEM;
	}
	zr_sched_now_refresh(sched);
	*out = sched;
	return 0;
}

static void free_jobs(struct zr_sched *sched)
{
	zr_handle job = ZR_HANDLE_NONE;

	while (sched->jobs && (job = zr_table_next(sched->jobs, job)))
		zr_sched_job_clear(sched, zr_sched_job_row(sched, job));
	zr_table_free(sched->jobs);
}

static void free_teams(struct zr_sched *sched)
{
	zr_handle team = ZR_HANDLE_NONE;

	while (sched->teams && (team = zr_table_next(sched->teams, team)))
		free(zr_sched_team_row(sched, team)->classes);
	zr_table_free(sched->teams);
}

static void free_classes(struct zr_sched *sched)
{
	struct zr_sched_class *class = sched->classes;
	struct zr_sched_class *next;

	HASH_CLEAR(hh, sched->classes);
	for (; class; class = next) {
		next = class->hh.next;
		free(class->lanes);
		free(class);
	}
}

static void free_profiles(struct zr_sched *sched)
{
	struct zr_sched_profile *profile = sched->profiles;
	struct zr_sched_profile *next;

	HASH_CLEAR(hh, sched->profiles);
	for (; profile; profile = next) {
		next = profile->hh.next;
		free(profile);
	}
}

static void free_names(struct zr_sched *sched)
{
	struct zr_sched_name *name = sched->names;
	struct zr_sched_name *next;

	HASH_CLEAR(hh, sched->names);
	for (; name; name = next) {
		next = name->hh.next;
		free(name);
	}
}

void zr_sched_free(struct zr_sched *sched)
{
	if (!sched)
		return;
	free_jobs(sched);
	free_teams(sched);
	free_classes(sched);
	free_profiles(sched);
	free_names(sched);
	zr_table_free(sched->workers);
	zr_table_free(sched->racks);
	zr_table_free(sched->placements);
	free(sched->gang.members);
	free(sched->claims);
	free(sched->index);
	free(sched);
}

#include "sched/internal.h"

#include <string.h>

/**
 * DOC: Fit
 *
 * Finds the worker on which a task leaves the least room over. Work without
 * accelerators goes to workers without free ones while such have room.
 * Replicas of a service go to the rack that has fewest of them.
 */

/* Workers with room that are compared in one search. */
#define FITTING_MAX 8
/* Workers without room that are looked at in one search. */
#define MISSES_MAX 24
/* Workers looked at to spread a replica before the plain search takes over. */
#define SPREAD_MAX 64

struct search {
	struct zr_sched *sched;
	const struct zr_sched_job *job;
	const struct zr_resources *need;
	zr_handle best;
	uint64_t best_left;
	unsigned int fitting;
	unsigned int misses;
};

static uint32_t left_over(uint32_t capacity, uint32_t used)
{
	return used < capacity ? capacity - used : 0;
}

struct zr_resources zr_sched_host_free(const struct zr_sched_host *host)
{
	const struct zr_resources *capacity = &host->capacity;
	struct zr_resources used = host->reserved;
	struct zr_resources room = {0};

	/* A worker that is over in one resource gets nothing at all. */
	if (!zr_resources_fit(&used, capacity))
		return room;
	zr_resources_add(&used, &host->held);
	room.millicpus = left_over(capacity->millicpus, used.millicpus);
	room.memory_mb = left_over(capacity->memory_mb, used.memory_mb);
	room.accelerators =
		left_over(capacity->accelerators, used.accelerators);
	return room;
}

/* What would be left over, each resource as a part of the worker. */
static uint64_t left_after(const struct zr_sched_host *host,
			   const struct zr_resources *room,
			   const struct zr_resources *need)
{
	const struct zr_resources *all = &host->capacity;
	uint64_t left = 0;

	if (all->millicpus)
		left += (uint64_t)(room->millicpus - need->millicpus) * 1000 /
			all->millicpus;
	if (all->memory_mb)
		left += (uint64_t)(room->memory_mb - need->memory_mb) * 1000 /
			all->memory_mb;
	if (all->accelerators)
		left += (uint64_t)(room->accelerators - need->accelerators) *
			1000 / all->accelerators;
	return left;
}

static bool done(const struct search *search)
{
	return search->fitting >= FITTING_MAX || search->misses >= MISSES_MAX;
}

static void examine(struct search *search, zr_handle handle)
{
	const struct zr_sched_host *host =
		zr_sched_host_row(search->sched, handle);
	struct zr_resources room = zr_sched_host_free(host);
	uint64_t left;

	search->sched->stats.workers_examined++;
	if (!zr_resources_fit(search->need, &room) ||
	    zr_sched_blame_avoids(search->job, handle)) {
		search->misses++;
		return;
	}
	search->fitting++;
	left = left_after(host, &room, search->need);
	if (!search->best || left < search->best_left) {
		search->best = handle;
		search->best_left = left;
	}
}

static void search_cell(struct search *search, zr_handle handle)
{
	while (handle && !done(search)) {
		examine(search, handle);
		handle = zr_sched_host_row(search->sched, handle)->next;
	}
}

/* Bits @from and above. */
static uint64_t bits_from(uint64_t bits, unsigned int from)
{
	return bits & (UINT64_MAX << from);
}

static void search_row(struct search *search, unsigned int group,
		       unsigned int row)
{
	const struct zr_sched_index *index = search->sched->index;
	uint64_t columns = bits_from(index->columns[group][row],
				     zr_sched_level(search->need->memory_mb));

	while (columns && !done(search)) {
		unsigned int column = (unsigned int)__builtin_ctzll(columns);

		columns &= columns - 1;
		search_cell(search, index->heads[group][row][column]);
	}
}

static void search_group(struct search *search, unsigned int group)
{
	uint64_t rows = bits_from(search->sched->index->rows[group],
				  zr_sched_level(search->need->millicpus));

	search->fitting = 0;
	search->misses = 0;
	while (rows && !done(search)) {
		unsigned int row = (unsigned int)__builtin_ctzll(rows);

		rows &= rows - 1;
		search_row(search, group, row);
	}
	/* Full of near misses at the lowest level: look from the roomiest. */
	if (search->misses < MISSES_MAX || search->best)
		return;
	search->misses = 0;
	rows = bits_from(search->sched->index->rows[group],
			 zr_sched_level(search->need->millicpus) + 1);
	while (rows && !done(search)) {
		unsigned int row = 63 - (unsigned int)__builtin_clzll(rows);

		rows &= ~(UINT64_C(1) << row);
		search_row(search, group, row);
	}
}

static unsigned int first_group(const struct zr_resources *need)
{
	if (!need->accelerators)
		return 0;
	if (need->accelerators < 2)
		return 2;
	return need->accelerators < 4 ? 3 : 4;
}

static zr_handle find_best(struct search *search)
{
	unsigned int group = first_group(search->need);

	for (; group < ZR_SCHED_GROUPS && !search->best; group++)
		search_group(search, group);
	return search->best;
}

/* Spread over racks */

static uint32_t tasks_in_rack(const struct zr_sched_job *job, zr_handle rack)
{
	uint32_t index = zr_handle_index(rack);

	return index < job->rack_count ? job->rack_tasks[index] : 0;
}

static void search_rack(struct search *search, zr_handle rack)
{
	const struct zr_sched_rack *row =
		zr_table_get(search->sched->racks, rack);
	zr_handle handle = row->first;

	while (handle) {
		const struct zr_sched_host *host =
			zr_sched_host_row(search->sched, handle);

		if (host->state == ZR_SCHED_WORKER_UP && !host->suspect)
			examine(search, handle);
		handle = host->rack_next;
	}
}

/* The rack that follows @after in the order of fewest tasks of the job. */
static zr_handle next_rack(const struct search *search, zr_handle after)
{
	zr_handle rack = ZR_HANDLE_NONE;
	zr_handle found = ZR_HANDLE_NONE;
	uint32_t floor = after ? tasks_in_rack(search->job, after) : 0;
	uint32_t fewest = UINT32_MAX;

	while ((rack = zr_table_next(search->sched->racks, rack))) {
		uint32_t tasks = tasks_in_rack(search->job, rack);
		bool before = tasks < floor ||
			      (tasks == floor && after &&
			       zr_handle_index(rack) <= zr_handle_index(after));

		if (before || tasks >= fewest)
			continue;
		fewest = tasks;
		found = rack;
	}
	return found;
}

static zr_handle find_spread(struct search *search)
{
	zr_handle rack = ZR_HANDLE_NONE;

	while (search->fitting + search->misses < SPREAD_MAX &&
	       (rack = next_rack(search, rack))) {
		search_rack(search, rack);
		if (search->best)
			return search->best;
	}
	return find_best(search);
}

zr_handle zr_sched_fit_find(struct zr_sched *sched,
			    const struct zr_sched_job *job,
			    const struct zr_resources *need)
{
	struct search search = {
		.sched = sched,
		.job = job,
		.need = need,
	};

	sched->stats.tries++;
	if (job->kind == ZR_JOB_SERVICE && job->tasks > 1)
		return find_spread(&search);
	return find_best(&search);
}

/* Empty workers */

static uint64_t times(uint32_t capacity, uint32_t need)
{
	return need ? capacity / need : UINT32_MAX;
}

static uint64_t tasks_of_shape(const struct zr_resources *capacity,
			       const struct zr_resources *need)
{
	uint64_t tasks = times(capacity->millicpus, need->millicpus);
	uint64_t by_memory = times(capacity->memory_mb, need->memory_mb);
	uint64_t by_accelerators =
		times(capacity->accelerators, need->accelerators);

	if (by_memory < tasks)
		tasks = by_memory;
	return by_accelerators < tasks ? by_accelerators : tasks;
}

bool zr_sched_fits_empty(const struct zr_sched *sched,
			 const struct zr_resources *need, uint32_t count)
{
	uint64_t tasks = 0;
	uint32_t i;

	for (i = 0; i < sched->shape_count; i++)
		tasks += sched->shapes[i].workers *
			 tasks_of_shape(&sched->shapes[i].capacity, need);
	return tasks >= count;
}

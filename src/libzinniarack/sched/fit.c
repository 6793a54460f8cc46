#include "sched/internal.h"

#include <string.h>

/**
 * DOC: Best fit
 *
 * Finds the worker on which a task leaves the least free resources. A task that
 * needs no accelerators goes to a worker with free accelerators only when no
 * other worker is found. Replicas of a service go to the rack that has the
 * fewest of them. Every search examines a limited number of workers.
 */

/* Number of fitting workers after which a search ends with the best of them. */
#define FITTING_MAX 8
/* Number of workers that do not fit after which a search ends. */
#define MISSES_MAX 24
/*
 * Number of examined workers after which a search for a replica takes the best
 * fit on any rack.
 */
#define SPREAD_MAX 64

/**
 * struct search - a search for the best fit
 * @sched: the core
 * @job: the job
 * @need: resources of one of its tasks
 * @best: the best worker found, or ZR_HANDLE_NONE
 * @best_remaining: what the task leaves free on @best, see remaining_after()
 * @fitting: number of examined workers that fit
 * @misses: number of examined workers that do not fit
 */
struct search {
	struct zr_sched *sched;
	const struct zr_sched_job *job;
	const struct zr_resources *need;
	zr_handle best;
	uint64_t best_remaining;
	unsigned int fitting;
	unsigned int misses;
};

static uint32_t saturating_sub(uint32_t a, uint32_t b)
{
	return b < a ? a - b : 0;
}

struct zr_resources
zr_sched_worker_entry_free_resources(const struct zr_sched_worker_entry *entry)
{
	const struct zr_resources *capacity = &entry->capacity;
	struct zr_resources used = entry->reserved;
	struct zr_resources available = {0};

	/* A worker that is overcommitted in any resource gets no tasks. */
	if (!zr_resources_fit(&used, capacity))
		return available;
	zr_resources_add(&used, &entry->held);
	available.millicpus =
		saturating_sub(capacity->millicpus, used.millicpus);
	available.memory_mb =
		saturating_sub(capacity->memory_mb, used.memory_mb);
	available.accelerators =
		saturating_sub(capacity->accelerators, used.accelerators);
	return available;
}

/*
 * Returns what remains free when the task is placed: the sum, over the
 * resources, of the free part of the worker's capacity in thousandths.
 */
static uint64_t remaining_after(const struct zr_sched_worker_entry *entry,
				const struct zr_resources *available,
				const struct zr_resources *need)
{
	const struct zr_resources *capacity = &entry->capacity;
	uint64_t remaining = 0;

	if (capacity->millicpus)
		remaining +=
			(uint64_t)(available->millicpus - need->millicpus) *
			1000 / capacity->millicpus;
	if (capacity->memory_mb)
		remaining +=
			(uint64_t)(available->memory_mb - need->memory_mb) *
			1000 / capacity->memory_mb;
	if (capacity->accelerators)
		remaining += (uint64_t)(available->accelerators -
					need->accelerators) *
			     1000 / capacity->accelerators;
	return remaining;
}

static bool is_done(const struct search *search)
{
	return search->fitting >= FITTING_MAX || search->misses >= MISSES_MAX;
}

static void examine(struct search *search, zr_handle worker)
{
	const struct zr_sched_worker_entry *entry =
		zr_sched_worker_entry_get(search->sched, worker);
	struct zr_resources available =
		zr_sched_worker_entry_free_resources(entry);
	uint64_t remaining;

	search->sched->stats.workers_examined++;
	if (!zr_resources_fit(search->need, &available) ||
	    zr_sched_job_avoids_worker(search->job, worker)) {
		search->misses++;
		return;
	}
	search->fitting++;
	remaining = remaining_after(entry, &available, search->need);
	if (!search->best || remaining < search->best_remaining) {
		search->best = worker;
		search->best_remaining = remaining;
	}
}

static void search_bucket(struct search *search, zr_handle worker)
{
	while (worker && !is_done(search)) {
		examine(search, worker);
		worker = zr_sched_worker_entry_get(search->sched, worker)->next;
	}
}

/* Clears the bits below @from. */
static uint64_t bits_from(uint64_t bits, unsigned int from)
{
	return bits & (UINT64_MAX << from);
}

static void search_cpu_level(struct search *search, unsigned int group,
			     unsigned int cpu_level)
{
	const struct zr_sched_index *index = search->sched->index;
	uint64_t levels =
		bits_from(index->memory_levels[group][cpu_level],
			  zr_sched_index_level(search->need->memory_mb));

	while (levels && !is_done(search)) {
		unsigned int memory_level =
			(unsigned int)__builtin_ctzll(levels);

		levels &= levels - 1;
		search_bucket(search,
			      index->heads[group][cpu_level][memory_level]);
	}
}

/*
 * Searches the workers of one accelerator group, from the lowest level that may
 * fit upwards, so that the best fit comes first.
 */
static void search_group(struct search *search, unsigned int group)
{
	uint64_t levels =
		bits_from(search->sched->index->cpu_levels[group],
			  zr_sched_index_level(search->need->millicpus));

	search->fitting = 0;
	search->misses = 0;
	while (levels && !is_done(search)) {
		unsigned int cpu_level = (unsigned int)__builtin_ctzll(levels);

		levels &= levels - 1;
		search_cpu_level(search, group, cpu_level);
	}
	/*
	 * The search ended at too many workers of the lowest levels that
	 * narrowly do not fit: search again, from the highest level down.
	 */
	if (search->misses < MISSES_MAX || search->best)
		return;
	search->misses = 0;
	levels = bits_from(search->sched->index->cpu_levels[group],
			   zr_sched_index_level(search->need->millicpus) + 1);
	while (levels && !is_done(search)) {
		unsigned int cpu_level =
			63 - (unsigned int)__builtin_clzll(levels);

		levels &= ~(UINT64_C(1) << cpu_level);
		search_cpu_level(search, group, cpu_level);
	}
}

/* The first group that may have the free accelerators, see index.c. */
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

	for (; group < ZR_SCHED_ACCELERATOR_GROUPS && !search->best; group++)
		search_group(search, group);
	return search->best;
}

/* Spreading over racks */

static uint32_t tasks_in_rack(const struct zr_sched_job *job, zr_handle rack)
{
	uint32_t index = zr_handle_index(rack);

	return index < job->rack_count ? job->tasks_per_rack[index] : 0;
}

static void search_rack(struct search *search, zr_handle rack)
{
	const struct zr_sched_rack *rack_entry =
		zr_table_get(search->sched->racks, rack);
	zr_handle worker = rack_entry->first_worker;

	while (worker) {
		const struct zr_sched_worker_entry *entry =
			zr_sched_worker_entry_get(search->sched, worker);

		if (entry->state == ZR_SCHED_WORKER_UP && !entry->suspect)
			examine(search, worker);
		worker = entry->rack_next;
	}
}

/*
 * Returns the rack that follows @after when racks are sorted by the number of
 * the job's tasks, then by index; the first rack for ZR_HANDLE_NONE.
 */
static zr_handle next_rack(const struct search *search, zr_handle after)
{
	zr_handle rack = ZR_HANDLE_NONE;
	zr_handle found = ZR_HANDLE_NONE;
	uint32_t min_tasks = after ? tasks_in_rack(search->job, after) : 0;
	uint32_t fewest = UINT32_MAX;

	while ((rack = zr_table_next(search->sched->racks, rack))) {
		uint32_t tasks = tasks_in_rack(search->job, rack);
		bool before = tasks < min_tasks ||
			      (tasks == min_tasks && after &&
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

	sched->stats.placement_attempts++;
	if (job->kind == ZR_JOB_SERVICE && job->tasks > 1)
		return find_spread(&search);
	return find_best(&search);
}

/* Idle workers */

/* Number of tasks that one resource of a worker can hold. */
static uint64_t tasks_by(uint32_t capacity, uint32_t need)
{
	return need ? capacity / need : UINT32_MAX;
}

static uint64_t tasks_of_shape(const struct zr_resources *capacity,
			       const struct zr_resources *need)
{
	uint64_t tasks = tasks_by(capacity->millicpus, need->millicpus);
	uint64_t by_memory = tasks_by(capacity->memory_mb, need->memory_mb);
	uint64_t by_accelerators =
		tasks_by(capacity->accelerators, need->accelerators);

	if (by_memory < tasks)
		tasks = by_memory;
	return by_accelerators < tasks ? by_accelerators : tasks;
}

bool zr_sched_fits_idle(const struct zr_sched *sched,
			const struct zr_resources *need, uint32_t count)
{
	uint64_t tasks = 0;
	uint32_t i;

	for (i = 0; i < sched->shape_count; i++)
		tasks += sched->shapes[i].worker_count *
			 tasks_of_shape(&sched->shapes[i].capacity, need);
	return tasks >= count;
}

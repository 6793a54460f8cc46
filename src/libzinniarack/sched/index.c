#include "sched/internal.h"

/**
 * DOC: Index of workers by free resources
 *
 * Workers that may get tasks are in buckets by three values: the level of their
 * free processors, the level of their free memory and the group of their free
 * accelerators. Levels are logarithmic. A worker at a higher level than that of
 * the task surely has enough; one at the same level has to be examined. Bitmaps
 * tell which buckets have workers, so that a search examines few workers,
 * however many there are.
 */

/* Amounts are counted in units of 2^4 = 16 millicpus or MiB. */
#define LEVEL_UNIT_BITS 4
/* Each power of two is divided into 2^2 = 4 levels. */
#define LEVEL_STEP_BITS 2
#define NO_BUCKET (-1)

unsigned int zr_sched_index_level(uint32_t amount)
{
	uint32_t units = amount >> LEVEL_UNIT_BITS;
	unsigned int exponent;
	unsigned int level;

	if (units < 1u << LEVEL_STEP_BITS)
		return units;
	exponent = 31 - (unsigned int)__builtin_clz(units);
	level = (exponent - 1) << LEVEL_STEP_BITS |
		(units >> (exponent - LEVEL_STEP_BITS) &
		 ((1u << LEVEL_STEP_BITS) - 1));
	return level < ZR_SCHED_INDEX_LEVELS ? level
					     : ZR_SCHED_INDEX_LEVELS - 1;
}

/*
 * Workers without accelerators are in group 0, those with none free in group 1.
 * The other groups have 1, 2 to 3, and 4 or more free.
 */
static unsigned int group_of(const struct zr_sched_worker_entry *entry,
			     uint32_t free_accelerators)
{
	if (!entry->capacity.accelerators)
		return 0;
	if (free_accelerators < 2)
		return 1 + free_accelerators;
	return free_accelerators < 4 ? 3 : 4;
}

/* Returns the worker's bucket, NO_BUCKET if it may not get ordinary tasks. */
static int32_t bucket_of(const struct zr_sched_worker_entry *entry)
{
	struct zr_resources available;

	if (entry->state != ZR_SCHED_WORKER_UP || entry->suspect)
		return NO_BUCKET;
	available = zr_sched_worker_entry_free_resources(entry);
	return (int32_t)((group_of(entry, available.accelerators) *
				  ZR_SCHED_INDEX_LEVELS +
			  zr_sched_index_level(available.millicpus)) *
				 ZR_SCHED_INDEX_LEVELS +
			 zr_sched_index_level(available.memory_mb));
}

static zr_handle *bucket_head(struct zr_sched_index *index, int32_t bucket)
{
	return &index->heads[0][0][0] + bucket;
}

static void set_bucket_used(struct zr_sched_index *index, int32_t bucket,
			    bool used)
{
	unsigned int memory_level =
		(unsigned int)bucket % ZR_SCHED_INDEX_LEVELS;
	unsigned int cpu_level = (unsigned int)bucket / ZR_SCHED_INDEX_LEVELS %
				 ZR_SCHED_INDEX_LEVELS;
	unsigned int group = (unsigned int)bucket / ZR_SCHED_INDEX_LEVELS /
			     ZR_SCHED_INDEX_LEVELS;
	uint64_t *memory_levels = &index->memory_levels[group][cpu_level];

	if (used)
		*memory_levels |= UINT64_C(1) << memory_level;
	else
		*memory_levels &= ~(UINT64_C(1) << memory_level);
	if (*memory_levels)
		index->cpu_levels[group] |= UINT64_C(1) << cpu_level;
	else
		index->cpu_levels[group] &= ~(UINT64_C(1) << cpu_level);
}

static void remove_from_bucket(struct zr_sched *sched,
			       struct zr_sched_worker_entry *entry)
{
	zr_handle *head = bucket_head(sched->index, entry->bucket);

	if (entry->previous)
		zr_sched_worker_entry_get(sched, entry->previous)->next =
			entry->next;
	else
		*head = entry->next;
	if (entry->next)
		zr_sched_worker_entry_get(sched, entry->next)->previous =
			entry->previous;
	if (!*head)
		set_bucket_used(sched->index, entry->bucket, false);
}

static void add_to_bucket(struct zr_sched *sched,
			  struct zr_sched_worker_entry *entry, zr_handle worker)
{
	zr_handle *head = bucket_head(sched->index, entry->bucket);

	entry->previous = ZR_HANDLE_NONE;
	entry->next = *head;
	if (*head)
		zr_sched_worker_entry_get(sched, *head)->previous = worker;
	*head = worker;
	set_bucket_used(sched->index, entry->bucket, true);
}

void zr_sched_index_update(struct zr_sched *sched, zr_handle worker)
{
	struct zr_sched_worker_entry *entry =
		zr_sched_worker_entry_get(sched, worker);
	int32_t bucket = bucket_of(entry);

	if (bucket == entry->bucket)
		return;
	if (entry->bucket != NO_BUCKET)
		remove_from_bucket(sched, entry);
	entry->bucket = bucket;
	if (bucket != NO_BUCKET)
		add_to_bucket(sched, entry, worker);
}

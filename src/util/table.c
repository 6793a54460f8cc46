#include "zinniarack/table.h"

#include <stdlib.h>
#include <string.h>

#include "zinniarack/errors.h"

#define INDEX_COUNT_MAX (1u << ZR_HANDLE_INDEX_BITS)
#define GENERATION_COUNT (1u << (32 - ZR_HANDLE_INDEX_BITS))
#define FIRST_ALLOC 16u
#define NO_INDEX UINT32_MAX

/* State of one index of the table. */
struct slot {
	uint32_t generation; /* that of the current or next entry; never 0 */
	uint32_t next_free;  /* next index in the free list, or NO_INDEX */
	int used;
};

struct zr_table {
	size_t entry_size;
	uint32_t alloc;	     /* allocated length of slots and entries */
	uint32_t high_water; /* number of indexes that were ever used */
	uint32_t free_head;  /* free list, longest free first */
	uint32_t free_tail;
	size_t count;
	struct slot *slots;
	unsigned char *entries;
};

int zr_table_new(struct zr_table **out, size_t entry_size)
{
	struct zr_table *table = calloc(1, sizeof(*table));

	if (!table)
		return ZR_E_NOMEM;
	table->entry_size = entry_size;
	table->free_head = NO_INDEX;
	table->free_tail = NO_INDEX;
	*out = table;
	return 0;
}

void zr_table_free(struct zr_table *table)
{
	if (!table)
		return;
	free(table->slots);
	free(table->entries);
	free(table);
}

static int grow_arrays(struct zr_table *table)
{
	uint32_t alloc = table->alloc * 2;
	struct slot *slots;
	unsigned char *entries;

	if (!alloc)
		alloc = FIRST_ALLOC;
	if (alloc > INDEX_COUNT_MAX)
		return ZR_E_FULL;
	slots = realloc(table->slots, alloc * sizeof(*slots));
	if (!slots)
		return ZR_E_NOMEM;
	table->slots = slots;
	entries = realloc(table->entries, alloc * table->entry_size);
	if (!entries)
		return ZR_E_NOMEM;
	table->entries = entries;
	table->alloc = alloc;
	return 0;
}

static uint32_t pop_free_slot(struct zr_table *table)
{
	uint32_t index = table->free_head;

	table->free_head = table->slots[index].next_free;
	if (table->free_head == NO_INDEX)
		table->free_tail = NO_INDEX;
	return index;
}

static int allocate_index(uint32_t *out, struct zr_table *table)
{
	int error;

	if (table->free_head != NO_INDEX) {
		*out = pop_free_slot(table);
		return 0;
	}
	if (table->high_water == table->alloc) {
		error = grow_arrays(table);
		if (error < 0)
			return error;
	}
	*out = table->high_water++;
	table->slots[*out].generation = 1;
	return 0;
}

int zr_table_add(zr_handle *out, struct zr_table *table)
{
	uint32_t index;
	int error = allocate_index(&index, table);

	if (error < 0)
		return error;
	table->slots[index].used = 1;
	memset(table->entries + index * table->entry_size, 0,
	       table->entry_size);
	table->count++;
	*out = table->slots[index].generation << ZR_HANDLE_INDEX_BITS | index;
	return 0;
}

static struct slot *find_slot(const struct zr_table *table, zr_handle handle)
{
	uint32_t index = zr_handle_index(handle);
	struct slot *slot;

	if (handle == ZR_HANDLE_NONE || index >= table->high_water)
		return NULL;
	slot = &table->slots[index];
	if (!slot->used || slot->generation != handle >> ZR_HANDLE_INDEX_BITS)
		return NULL;
	return slot;
}

void *zr_table_get(const struct zr_table *table, zr_handle handle)
{
	if (!find_slot(table, handle))
		return NULL;
	return table->entries + zr_handle_index(handle) * table->entry_size;
}

void zr_table_remove(struct zr_table *table, zr_handle handle)
{
	struct slot *slot = find_slot(table, handle);
	uint32_t index = zr_handle_index(handle);

	if (!slot)
		return;
	slot->used = 0;
	slot->generation = (slot->generation + 1) % GENERATION_COUNT;
	if (!slot->generation)
		slot->generation = 1;
	slot->next_free = NO_INDEX;
	/*
	 * Reuse the index that has been free for longest first, so that the
	 * generation numbers wrap around as late as possible.
	 */
	if (table->free_tail == NO_INDEX)
		table->free_head = index;
	else
		table->slots[table->free_tail].next_free = index;
	table->free_tail = index;
	table->count--;
}

zr_handle zr_table_next(const struct zr_table *table, zr_handle previous)
{
	uint32_t index = 0;

	if (previous != ZR_HANDLE_NONE)
		index = zr_handle_index(previous) + 1;
	for (; index < table->high_water; index++) {
		const struct slot *slot = &table->slots[index];

		if (slot->used)
			return slot->generation << ZR_HANDLE_INDEX_BITS | index;
	}
	return ZR_HANDLE_NONE;
}

size_t zr_table_count(const struct zr_table *table)
{
	return table->count;
}

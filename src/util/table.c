#include "zinniarack/table.h"

#include <stdlib.h>
#include <string.h>

#include "zinniarack/errors.h"

#define INDEX_LIMIT (1u << ZR_HANDLE_INDEX_BITS)
#define GENERATION_LIMIT (1u << (32 - ZR_HANDLE_INDEX_BITS))
#define FIRST_CAPACITY 16u
#define NO_SLOT UINT32_MAX

struct slot {
	uint32_t generation;
	uint32_t next_free;
	int used;
};

struct zr_table {
	size_t row_size;
	uint32_t capacity;
	uint32_t high_water;
	uint32_t free_head;
	uint32_t free_tail;
	size_t count;
	struct slot *slots;
	unsigned char *rows;
};

int zr_table_new(struct zr_table **out, size_t row_size)
{
	struct zr_table *table = calloc(1, sizeof(*table));

	if (!table)
		return ZR_E_NOMEM;
	table->row_size = row_size;
	table->free_head = NO_SLOT;
	table->free_tail = NO_SLOT;
	*out = table;
	return 0;
}

void zr_table_free(struct zr_table *table)
{
	if (!table)
		return;
	free(table->slots);
	free(table->rows);
	free(table);
}

static int grow(struct zr_table *table)
{
	uint32_t capacity = table->capacity * 2;
	struct slot *slots;
	unsigned char *rows;

	if (!capacity)
		capacity = FIRST_CAPACITY;
	if (capacity > INDEX_LIMIT)
		return ZR_E_FULL;
	slots = realloc(table->slots, capacity * sizeof(*slots));
	if (!slots)
		return ZR_E_NOMEM;
	table->slots = slots;
	rows = realloc(table->rows, capacity * table->row_size);
	if (!rows)
		return ZR_E_NOMEM;
	table->rows = rows;
	table->capacity = capacity;
	return 0;
}

static uint32_t take_free_slot(struct zr_table *table)
{
	uint32_t index = table->free_head;

	table->free_head = table->slots[index].next_free;
	if (table->free_head == NO_SLOT)
		table->free_tail = NO_SLOT;
	return index;
}

static int take_slot(uint32_t *out, struct zr_table *table)
{
	int error;

	if (table->free_head != NO_SLOT) {
		*out = take_free_slot(table);
		return 0;
	}
	if (table->high_water == table->capacity) {
		error = grow(table);
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
	int error = take_slot(&index, table);

	if (error < 0)
		return error;
	table->slots[index].used = 1;
	memset(table->rows + index * table->row_size, 0, table->row_size);
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
	return table->rows + zr_handle_index(handle) * table->row_size;
}

void zr_table_remove(struct zr_table *table, zr_handle handle)
{
	struct slot *slot = find_slot(table, handle);
	uint32_t index = zr_handle_index(handle);

	if (!slot)
		return;
	slot->used = 0;
	slot->generation = (slot->generation + 1) % GENERATION_LIMIT;
	if (!slot->generation)
		slot->generation = 1;
	slot->next_free = NO_SLOT;
	/* The oldest free slot is reused first, so generations last longest. */
	if (table->free_tail == NO_SLOT)
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

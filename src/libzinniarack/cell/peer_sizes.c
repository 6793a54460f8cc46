#include "cell/peer_sizes.h"

#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Time for which the size of a host is remembered without a registration. */
#define REMEMBERED_MS 60000
/*
 * Longest time between two reads in which the store counts as readable. Hosts
 * that aren't the owner read every four seconds.
 */
#define READ_GAP_MAX_MS 5000

struct zr_cell_peer_size {
	char name[ZR_NAME_MAX];
	uint32_t millicpus;
	int64_t absent_ms;
	bool in_current_read;
};

void zr_cell_peer_sizes_begin(struct zr_cell_peer_sizes *sizes)
{
	size_t i;

	for (i = 0; i < sizes->count; i++)
		sizes->entries[i].in_current_read = false;
}

static struct zr_cell_peer_size *get_or_add(struct zr_cell_peer_sizes *sizes,
					    const char *name)
{
	struct zr_cell_peer_size *entry;
	size_t i;

	for (i = 0; i < sizes->count; i++) {
		if (!strcmp(sizes->entries[i].name, name))
			return &sizes->entries[i];
	}
	if (sizes->count == sizes->alloc) {
		sizes->alloc = sizes->alloc ? 2 * sizes->alloc : 16;
		sizes->entries =
			realloc(sizes->entries, sizes->alloc * sizeof(*entry));
		if (!sizes->entries)
			abort();
	}
	entry = &sizes->entries[sizes->count++];
	memset(entry, 0, sizeof(*entry));
	snprintf(entry->name, sizeof(entry->name), "%s", name);
	return entry;
}

void zr_cell_peer_sizes_add(struct zr_cell_peer_sizes *sizes, const char *name,
			    uint32_t millicpus)
{
	struct zr_cell_peer_size *entry = get_or_add(sizes, name);

	entry->millicpus = millicpus;
	entry->absent_ms = 0;
	entry->in_current_read = true;
}

void zr_cell_peer_sizes_end(struct zr_cell_peer_sizes *sizes, int64_t now)
{
	int64_t passed_ms = sizes->read_at ? now - sizes->read_at : 0;
	size_t kept = 0;
	size_t i;

	if (passed_ms > READ_GAP_MAX_MS)
		passed_ms = READ_GAP_MAX_MS;
	sizes->read_at = now;
	for (i = 0; i < sizes->count; i++) {
		struct zr_cell_peer_size *entry = &sizes->entries[i];

		if (!entry->in_current_read)
			entry->absent_ms += passed_ms;
		if (entry->absent_ms < REMEMBERED_MS)
			sizes->entries[kept++] = *entry;
	}
	sizes->count = kept;
}

uint32_t zr_cell_peer_sizes_largest(const struct zr_cell_peer_sizes *sizes)
{
	uint32_t largest = 0;
	size_t i;

	for (i = 0; i < sizes->count; i++) {
		if (sizes->entries[i].millicpus > largest)
			largest = sizes->entries[i].millicpus;
	}
	return largest;
}

void zr_cell_peer_sizes_clear(struct zr_cell_peer_sizes *sizes)
{
	free(sizes->entries);
	memset(sizes, 0, sizeof(*sizes));
}

#include "sched/internal.h"

/**
 * DOC: Index over free room
 *
 * Workers that may get work stand in cells by the level of their free
 * processors, the level of their free memory and the group of their
 * accelerators. A worker at a higher level than a task's own surely has room;
 * at the same level it has to be looked at. Bitmaps tell which cells hold
 * workers, so that a search touches few workers however many there are.
 */

/* Below this many units (millicpus, MiB) room counts as none. */
#define LEVEL_UNIT_BITS 4
/* Levels in an octave, as a power of two. */
#define LEVEL_STEP_BITS 2
#define NO_CELL (-1)

/* Levels grow with the binary logarithm, four to an octave. */
unsigned int zr_sched_level(uint32_t amount)
{
	uint32_t units = amount >> LEVEL_UNIT_BITS;
	unsigned int octave;
	unsigned int level;

	if (units < 1u << LEVEL_STEP_BITS)
		return units;
	octave = 31 - (unsigned int)__builtin_clz(units);
	level = (octave - 1) << LEVEL_STEP_BITS |
		(units >> (octave - LEVEL_STEP_BITS) &
		 ((1u << LEVEL_STEP_BITS) - 1));
	return level < ZR_SCHED_LEVELS ? level : ZR_SCHED_LEVELS - 1;
}

/* Group 0 has no accelerators at all, group 1 none that is free. */
static unsigned int group_of(const struct zr_sched_host *host, uint32_t free)
{
	if (!host->capacity.accelerators)
		return 0;
	if (free < 2)
		return 1 + free;
	return free < 4 ? 3 : 4;
}

static int32_t cell_of(const struct zr_sched_host *host)
{
	struct zr_resources room;

	if (host->state != ZR_SCHED_WORKER_UP || host->suspect)
		return NO_CELL;
	room = zr_sched_host_free(host);
	return (int32_t)((group_of(host, room.accelerators) * ZR_SCHED_LEVELS +
			  zr_sched_level(room.millicpus)) *
				 ZR_SCHED_LEVELS +
			 zr_sched_level(room.memory_mb));
}

static zr_handle *head_of(struct zr_sched_index *index, int32_t cell)
{
	return &index->heads[0][0][0] + cell;
}

static void mark(struct zr_sched_index *index, int32_t cell, bool used)
{
	unsigned int column = (unsigned int)cell % ZR_SCHED_LEVELS;
	unsigned int row =
		(unsigned int)cell / ZR_SCHED_LEVELS % ZR_SCHED_LEVELS;
	unsigned int group =
		(unsigned int)cell / ZR_SCHED_LEVELS / ZR_SCHED_LEVELS;
	uint64_t *columns = &index->columns[group][row];

	if (used)
		*columns |= UINT64_C(1) << column;
	else
		*columns &= ~(UINT64_C(1) << column);
	if (*columns)
		index->rows[group] |= UINT64_C(1) << row;
	else
		index->rows[group] &= ~(UINT64_C(1) << row);
}

static void take_out(struct zr_sched *sched, struct zr_sched_host *host)
{
	zr_handle *head = head_of(sched->index, host->cell);

	if (host->previous)
		zr_sched_host_row(sched, host->previous)->next = host->next;
	else
		*head = host->next;
	if (host->next)
		zr_sched_host_row(sched, host->next)->previous = host->previous;
	if (!*head)
		mark(sched->index, host->cell, false);
}

static void put_in(struct zr_sched *sched, struct zr_sched_host *host,
		   zr_handle handle)
{
	zr_handle *head = head_of(sched->index, host->cell);

	host->previous = ZR_HANDLE_NONE;
	host->next = *head;
	if (*head)
		zr_sched_host_row(sched, *head)->previous = handle;
	*head = handle;
	mark(sched->index, host->cell, true);
}

void zr_sched_index_update(struct zr_sched *sched, zr_handle handle)
{
	struct zr_sched_host *host = zr_sched_host_row(sched, handle);
	int32_t cell = cell_of(host);

	if (cell == host->cell)
		return;
	if (host->cell != NO_CELL)
		take_out(sched, host);
	host->cell = cell;
	if (cell != NO_CELL)
		put_in(sched, host, handle);
}

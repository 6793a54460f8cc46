#include <stdlib.h>
#include <string.h>

#include "cell/plan.h"

/* Rows are found by the worker's index; 0 marks a worker without a row. */
static size_t index_of(zr_handle worker)
{
	return zr_handle_index(worker);
}

const struct zr_cell_permission *
zr_cell_permission_find(const struct zr_cell_step_state *step, zr_handle worker)
{
	size_t index = index_of(worker);
	const struct zr_cell_permission *row;

	if (index >= step->permission_index_size ||
	    !step->permission_index[index])
		return NULL;
	row = &step->permissions[step->permission_index[index] - 1];
	/* The index may be that of a worker which took a gone one's row. */
	return row->worker == worker ? row : NULL;
}

static void grow_index(struct zr_cell_step_state *step, size_t index)
{
	size_t size = step->permission_index_size;

	if (index < size)
		return;
	step->permission_index_size = index + 64;
	step->permission_index = realloc(
		step->permission_index,
		step->permission_index_size * sizeof(*step->permission_index));
	if (!step->permission_index)
		abort();
	memset(step->permission_index + size, 0,
	       (step->permission_index_size - size) *
		       sizeof(*step->permission_index));
}

struct zr_cell_permission *
zr_cell_permission_get_or_add(struct zr_cell_step_state *step, zr_handle worker)
{
	size_t index = index_of(worker);
	struct zr_cell_permission *row =
		(struct zr_cell_permission *)zr_cell_permission_find(step,
								     worker);

	if (row)
		return row;
	grow_index(step, index);
	step->permissions =
		realloc(step->permissions, (step->permission_count + 1) *
						   sizeof(*step->permissions));
	if (!step->permissions)
		abort();
	row = &step->permissions[step->permission_count++];
	memset(row, 0, sizeof(*row));
	row->worker = worker;
	step->permission_index[index] = (uint16_t)step->permission_count;
	return row;
}

#include <stdlib.h>
#include <string.h>

#include "cell/plan.h"

/* Rows are found by the worker's index; 0 marks a worker without a row. */
static size_t index_of(zr_handle worker)
{
	return zr_handle_index(worker);
}

const struct zr_cell_pass *
zr_cell_pass_find(const struct zr_cell_step_row *step, zr_handle worker)
{
	size_t index = index_of(worker);
	const struct zr_cell_pass *row;

	if (index >= step->pass_index_size || !step->pass_index[index])
		return NULL;
	row = &step->passes[step->pass_index[index] - 1];
	/* The index may be that of a worker which took a gone one's row. */
	return row->worker == worker ? row : NULL;
}

static void grow_index(struct zr_cell_step_row *step, size_t index)
{
	size_t size = step->pass_index_size;

	if (index < size)
		return;
	step->pass_index_size = index + 64;
	step->pass_index =
		realloc(step->pass_index,
			step->pass_index_size * sizeof(*step->pass_index));
	if (!step->pass_index)
		abort();
	memset(step->pass_index + size, 0,
	       (step->pass_index_size - size) * sizeof(*step->pass_index));
}

struct zr_cell_pass *zr_cell_pass_obtain(struct zr_cell_step_row *step,
					 zr_handle worker)
{
	size_t index = index_of(worker);
	struct zr_cell_pass *row =
		(struct zr_cell_pass *)zr_cell_pass_find(step, worker);

	if (row)
		return row;
	grow_index(step, index);
	step->passes = realloc(step->passes,
			       (step->pass_count + 1) * sizeof(*step->passes));
	if (!step->passes)
		abort();
	row = &step->passes[step->pass_count++];
	memset(row, 0, sizeof(*row));
	row->worker = worker;
	step->pass_index[index] = (uint16_t)step->pass_count;
	return row;
}

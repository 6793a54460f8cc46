#include <stdlib.h>
#include <string.h>

#include "cell/plan.h"

/* Index of a worker in &struct zr_cell_step_state.permission_index. */
static size_t index_of(zr_handle worker)
{
	return zr_handle_index(worker);
}

const struct zr_cell_permission *
zr_cell_permission_find(const struct zr_cell_step_state *step, zr_handle worker)
{
	size_t index = index_of(worker);
	const struct zr_cell_permission *permission;

	if (index >= step->permission_index_size ||
	    !step->permission_index[index])
		return NULL;
	permission = &step->permissions[step->permission_index[index] - 1];
	/* A new worker may have reused the handle index of a removed one. */
	return permission->worker == worker ? permission : NULL;
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
	struct zr_cell_permission *permission =
		(struct zr_cell_permission *)zr_cell_permission_find(step,
								     worker);

	if (permission)
		return permission;
	grow_index(step, index);
	step->permissions =
		realloc(step->permissions, (step->permission_count + 1) *
						   sizeof(*step->permissions));
	if (!step->permissions)
		abort();
	permission = &step->permissions[step->permission_count++];
	memset(permission, 0, sizeof(*permission));
	permission->worker = worker;
	step->permission_index[index] = (uint16_t)step->permission_count;
	return permission;
}

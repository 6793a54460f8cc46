#include "sched/internal.h"

#include <string.h>

/**
 * DOC: Workers
 *
 * Adds and removes workers, and keeps what each holds for claims and gangs.
 */

struct zr_sched_host *zr_sched_host_row(const struct zr_sched *sched,
					zr_handle worker)
{
	return zr_table_get(sched->workers, worker);
}

/* Racks */

static zr_handle find_rack(const struct zr_sched *sched, const char *name)
{
	zr_handle handle = ZR_HANDLE_NONE;

	while ((handle = zr_table_next(sched->racks, handle))) {
		const struct zr_sched_rack *rack =
			zr_table_get(sched->racks, handle);

		if (!strcmp(rack->name->text, name))
			break;
	}
	return handle;
}

static int obtain_rack(zr_handle *out, struct zr_sched *sched, const char *name)
{
	struct zr_sched_rack *rack;
	int error;

	*out = find_rack(sched, name);
	if (*out)
		return 0;
	error = zr_table_add(out, sched->racks);
	if (error < 0)
		return error;
	rack = zr_table_get(sched->racks, *out);
	rack->name = zr_sched_name_take(sched, name);
	if (rack->name)
		return 0;
	zr_table_remove(sched->racks, *out);
	return ZR_E_NOMEM;
}

static void enter_rack(struct zr_sched *sched, zr_handle handle)
{
	struct zr_sched_host *host = zr_sched_host_row(sched, handle);
	struct zr_sched_rack *rack = zr_table_get(sched->racks, host->rack);

	host->rack_next = rack->first;
	if (rack->first)
		zr_sched_host_row(sched, rack->first)->rack_previous = handle;
	rack->first = handle;
}

static void leave_rack(struct zr_sched *sched, const struct zr_sched_host *host)
{
	struct zr_sched_rack *rack = zr_table_get(sched->racks, host->rack);

	if (host->rack_previous)
		zr_sched_host_row(sched, host->rack_previous)->rack_next =
			host->rack_next;
	else
		rack->first = host->rack_next;
	if (host->rack_next)
		zr_sched_host_row(sched, host->rack_next)->rack_previous =
			host->rack_previous;
}

/* Capacity of the cell */

static struct zr_sched_shape *find_shape(struct zr_sched *sched,
					 const struct zr_resources *capacity)
{
	uint32_t i;

	for (i = 0; i < sched->shape_count; i++) {
		if (!memcmp(&sched->shapes[i].capacity, capacity,
			    sizeof(*capacity)))
			return &sched->shapes[i];
	}
	return NULL;
}

static int count_in(struct zr_sched *sched, const struct zr_resources *capacity)
{
	struct zr_sched_shape *shape = find_shape(sched, capacity);

	if (!shape) {
		if (sched->shape_count == ZR_SCHED_SHAPES_MAX)
			return zr_error_set(ZR_E_FULL,
					    "too many kinds of worker");
		shape = &sched->shapes[sched->shape_count++];
		shape->capacity = *capacity;
		shape->workers = 0;
	}
	shape->workers++;
	zr_resources_add(&sched->total, capacity);
	zr_sched_teams_weigh(sched);
	return 0;
}

static void count_out(struct zr_sched *sched,
		      const struct zr_resources *capacity)
{
	struct zr_sched_shape *shape = find_shape(sched, capacity);

	if (!--shape->workers)
		*shape = sched->shapes[--sched->shape_count];
	zr_resources_sub(&sched->total, capacity);
	zr_sched_teams_weigh(sched);
}

/* Workers */

static int fill_host(struct zr_sched *sched, zr_handle handle,
		     const struct zr_sched_worker *worker)
{
	struct zr_sched_host *host = zr_sched_host_row(sched, handle);
	int error;

	host->capacity = worker->capacity;
	host->cell = -1;
	host->name = zr_sched_name_take(sched, worker->name);
	if (!host->name)
		return ZR_E_NOMEM;
	error = obtain_rack(&host->rack, sched, worker->rack);
	if (!error)
		error = count_in(sched, &host->capacity);
	if (error < 0)
		zr_sched_name_drop(sched, host->name);
	return error;
}

int zr_sched_worker_add(zr_handle *out, struct zr_sched *sched,
			const struct zr_sched_worker *worker)
{
	int error = zr_table_add(out, sched->workers);

	if (error < 0)
		return error;
	zr_sched_now_refresh(sched);
	error = fill_host(sched, *out, worker);
	if (error < 0) {
		zr_table_remove(sched->workers, *out);
		return error;
	}
	enter_rack(sched, *out);
	zr_sched_index_update(sched, *out);
	zr_sched_queue_freed(sched, *out);
	zr_sched_parked_reconsider(sched);
	return 0;
}

void zr_sched_worker_set(struct zr_sched *sched, zr_handle handle,
			 enum zr_sched_worker_state state)
{
	struct zr_sched_host *host = zr_sched_host_row(sched, handle);

	if (!host || host->state == state)
		return;
	zr_sched_now_refresh(sched);
	sched->leaving -= host->state == ZR_SCHED_WORKER_LEAVING;
	sched->leaving += state == ZR_SCHED_WORKER_LEAVING;
	host->state = state;
	zr_sched_index_update(sched, handle);
	if (state == ZR_SCHED_WORKER_UP) {
		zr_sched_queue_freed(sched, handle);
		return;
	}
	zr_sched_claims_drop(sched, ZR_HANDLE_NONE, handle);
	zr_sched_gang_drop(sched, ZR_HANDLE_NONE, handle);
}

static void lose_tasks(struct zr_sched *sched, zr_handle handle)
{
	zr_handle task;

	while ((task = zr_sched_host_row(sched, handle)->first)) {
		const struct zr_sched_placement *placement =
			zr_sched_placement_row(sched, task);
		const struct zr_sched_job *job =
			zr_sched_job_row(sched, placement->job);

		zr_sched_task_ended(sched, placement->job, placement->index,
				    job->slots[placement->index].attempt,
				    ZR_SCHED_LOST);
	}
}

void zr_sched_worker_remove(struct zr_sched *sched, zr_handle handle)
{
	struct zr_sched_host *host = zr_sched_host_row(sched, handle);

	if (!host)
		return;
	zr_sched_worker_set(sched, handle, ZR_SCHED_WORKER_UNHEARD);
	zr_sched_freed_drop(sched, handle);
	host->gone = true;
	lose_tasks(sched, handle);
	host = zr_sched_host_row(sched, handle);
	if (host->suspect)
		sched->suspects--;
	leave_rack(sched, host);
	count_out(sched, &host->capacity);
	zr_sched_name_drop(sched, host->name);
	zr_table_remove(sched->workers, handle);
}

/* Held room */

void zr_sched_host_hold(struct zr_sched *sched, zr_handle worker,
			const struct zr_resources *size)
{
	zr_resources_add(&zr_sched_host_row(sched, worker)->held, size);
	zr_sched_index_update(sched, worker);
}

void zr_sched_host_unhold(struct zr_sched *sched, zr_handle worker,
			  const struct zr_resources *size)
{
	struct zr_sched_host *host = zr_sched_host_row(sched, worker);

	if (!host)
		return;
	zr_resources_sub(&host->held, size);
	zr_sched_index_update(sched, worker);
}

#include "sched/internal.h"

#include <string.h>

/**
 * DOC: Workers
 *
 * Adds and removes workers and their racks, changes their states, and counts
 * the resources that are held on each.
 */

struct zr_sched_worker_entry *
zr_sched_worker_entry_get(const struct zr_sched *sched, zr_handle worker)
{
	return zr_table_get(sched->workers, worker);
}

/* Racks */

static zr_handle find_rack(const struct zr_sched *sched, const char *name)
{
	zr_handle rack_handle = ZR_HANDLE_NONE;

	while ((rack_handle = zr_table_next(sched->racks, rack_handle))) {
		const struct zr_sched_rack *rack =
			zr_table_get(sched->racks, rack_handle);

		if (!strcmp(rack->name->text, name))
			break;
	}
	return rack_handle;
}

static int get_or_add_rack(zr_handle *out, struct zr_sched *sched,
			   const char *name)
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
	rack->name = zr_sched_name_acquire(sched, name);
	if (rack->name)
		return 0;
	zr_table_remove(sched->racks, *out);
	return ZR_E_NOMEM;
}

static void add_to_rack(struct zr_sched *sched, zr_handle worker)
{
	struct zr_sched_worker_entry *entry =
		zr_sched_worker_entry_get(sched, worker);
	struct zr_sched_rack *rack = zr_table_get(sched->racks, entry->rack);

	entry->rack_next = rack->first_worker;
	if (rack->first_worker)
		zr_sched_worker_entry_get(sched, rack->first_worker)
			->rack_previous = worker;
	rack->first_worker = worker;
}

static void remove_from_rack(struct zr_sched *sched,
			     const struct zr_sched_worker_entry *entry)
{
	struct zr_sched_rack *rack = zr_table_get(sched->racks, entry->rack);

	if (entry->rack_previous)
		zr_sched_worker_entry_get(sched, entry->rack_previous)
			->rack_next = entry->rack_next;
	else
		rack->first_worker = entry->rack_next;
	if (entry->rack_next)
		zr_sched_worker_entry_get(sched, entry->rack_next)
			->rack_previous = entry->rack_previous;
}

/* Capacity of the failure domain */

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

static int add_capacity(struct zr_sched *sched,
			const struct zr_resources *capacity)
{
	struct zr_sched_shape *shape = find_shape(sched, capacity);

	if (!shape) {
		if (sched->shape_count == ZR_SCHED_SHAPES_MAX)
			return zr_error_set(
				ZR_E_FULL,
				"too many different worker capacities");
		shape = &sched->shapes[sched->shape_count++];
		shape->capacity = *capacity;
		shape->worker_count = 0;
	}
	shape->worker_count++;
	zr_resources_add(&sched->total_capacity, capacity);
	zr_sched_teams_update_shares(sched);
	return 0;
}

static void remove_capacity(struct zr_sched *sched,
			    const struct zr_resources *capacity)
{
	struct zr_sched_shape *shape = find_shape(sched, capacity);

	if (!--shape->worker_count)
		*shape = sched->shapes[--sched->shape_count];
	zr_resources_sub(&sched->total_capacity, capacity);
	zr_sched_teams_update_shares(sched);
}

/* Workers */

static int fill_entry(struct zr_sched *sched, zr_handle handle,
		      const struct zr_sched_worker *worker)
{
	struct zr_sched_worker_entry *entry =
		zr_sched_worker_entry_get(sched, handle);
	int error;

	entry->capacity = worker->capacity;
	entry->bucket = -1;
	entry->name = zr_sched_name_acquire(sched, worker->name);
	if (!entry->name)
		return ZR_E_NOMEM;
	error = get_or_add_rack(&entry->rack, sched, worker->rack);
	if (!error)
		error = add_capacity(sched, &entry->capacity);
	if (error < 0)
		zr_sched_name_release(sched, entry->name);
	return error;
}

int zr_sched_worker_add(zr_handle *out, struct zr_sched *sched,
			const struct zr_sched_worker *worker)
{
	int error = zr_table_add(out, sched->workers);

	if (error < 0)
		return error;
	zr_sched_now_refresh(sched);
	error = fill_entry(sched, *out, worker);
	if (error < 0) {
		zr_table_remove(sched->workers, *out);
		return error;
	}
	add_to_rack(sched, *out);
	zr_sched_index_update(sched, *out);
	zr_sched_freed_add(sched, *out);
	zr_sched_parked_recheck_all(sched);
	return 0;
}

void zr_sched_worker_set_state(struct zr_sched *sched, zr_handle worker,
			       enum zr_sched_worker_state state)
{
	struct zr_sched_worker_entry *entry =
		zr_sched_worker_entry_get(sched, worker);

	if (!entry || entry->state == state)
		return;
	zr_sched_now_refresh(sched);
	sched->leaving_count -= entry->state == ZR_SCHED_WORKER_LEAVING;
	sched->leaving_count += state == ZR_SCHED_WORKER_LEAVING;
	entry->state = state;
	zr_sched_index_update(sched, worker);
	if (state == ZR_SCHED_WORKER_UP) {
		zr_sched_freed_add(sched, worker);
		return;
	}
	zr_sched_claims_remove(sched, ZR_HANDLE_NONE, worker);
	zr_sched_gang_release(sched, ZR_HANDLE_NONE, worker);
}

static void end_tasks_as_lost(struct zr_sched *sched, zr_handle worker)
{
	zr_handle handle;

	while ((handle = zr_sched_worker_entry_get(sched, worker)
				 ->first_placement)) {
		const struct zr_sched_placement *placement =
			zr_sched_placement_get(sched, handle);
		const struct zr_sched_job *job =
			zr_sched_job_get(sched, placement->job);

		zr_sched_task_ended(sched, placement->job, placement->index,
				    job->task_entries[placement->index].attempt,
				    ZR_SCHED_LOST);
	}
}

void zr_sched_worker_remove(struct zr_sched *sched, zr_handle worker)
{
	struct zr_sched_worker_entry *entry =
		zr_sched_worker_entry_get(sched, worker);

	if (!entry)
		return;
	zr_sched_worker_set_state(sched, worker, ZR_SCHED_WORKER_UNRESPONSIVE);
	zr_sched_freed_remove(sched, worker);
	entry->removing = true;
	end_tasks_as_lost(sched, worker);
	entry = zr_sched_worker_entry_get(sched, worker);
	if (entry->suspect)
		sched->suspect_count--;
	remove_from_rack(sched, entry);
	remove_capacity(sched, &entry->capacity);
	zr_sched_name_release(sched, entry->name);
	zr_table_remove(sched->workers, worker);
}

/* Held resources */

void zr_sched_worker_entry_hold(struct zr_sched *sched, zr_handle worker,
				const struct zr_resources *size)
{
	zr_resources_add(&zr_sched_worker_entry_get(sched, worker)->held, size);
	zr_sched_index_update(sched, worker);
}

void zr_sched_worker_entry_unhold(struct zr_sched *sched, zr_handle worker,
				  const struct zr_resources *size)
{
	struct zr_sched_worker_entry *entry =
		zr_sched_worker_entry_get(sched, worker);

	if (!entry)
		return;
	zr_resources_sub(&entry->held, size);
	zr_sched_index_update(sched, worker);
}

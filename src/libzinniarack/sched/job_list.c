#include "sched/internal.h"

#include <stdlib.h>
#include <string.h>

/**
 * DOC: Lanes
 *
 * Lists of jobs linked by handles, and the lanes of a class, which are sorted
 * by the latest start and then by worth.
 */

/* Jobs of a lane passed over to find the place of one that comes back. */
#define RETURN_SEARCH_MAX 16

/* Whose place a job takes that comes back: that of the first younger one, but
 * for a bounded search. */
static zr_handle younger_than(const struct zr_sched *sched,
			      const struct zr_sched_lane *lane,
			      uint64_t arrival)
{
	zr_handle handle = lane->head;
	unsigned int i;

	for (i = 0; handle && i < RETURN_SEARCH_MAX; i++) {
		const struct zr_sched_job *job =
			zr_sched_job_row(sched, handle);

		if (job->arrival > arrival)
			break;
		handle = job->next;
	}
	return handle;
}

void zr_sched_lane_append(struct zr_sched *sched, struct zr_sched_lane *lane,
			  zr_handle handle, bool first)
{
	struct zr_sched_job *job = zr_sched_job_row(sched, handle);

	job->next = ZR_HANDLE_NONE;
	if (first)
		job->next = younger_than(sched, lane, job->arrival);
	job->previous = lane->tail;
	if (job->next)
		job->previous = zr_sched_job_row(sched, job->next)->previous;
	if (job->previous)
		zr_sched_job_row(sched, job->previous)->next = handle;
	else
		lane->head = handle;
	if (job->next)
		zr_sched_job_row(sched, job->next)->previous = handle;
	else
		lane->tail = handle;
	lane->count++;
}

void zr_sched_lane_remove(struct zr_sched *sched, struct zr_sched_lane *lane,
			  zr_handle handle)
{
	const struct zr_sched_job *job = zr_sched_job_row(sched, handle);

	if (job->previous)
		zr_sched_job_row(sched, job->previous)->next = job->next;
	else
		lane->head = job->next;
	if (job->next)
		zr_sched_job_row(sched, job->next)->previous = job->previous;
	else
		lane->tail = job->previous;
	lane->count--;
}

/* Earliest latest start first, then most worth. */
static bool lane_before(const struct zr_sched_lane *lane, int64_t start_by,
			uint32_t rank)
{
	if (lane->start_by != start_by)
		return lane->start_by < start_by;
	return lane->rank > rank;
}

uint32_t zr_sched_lane_find(const struct zr_sched_class *class,
			    int64_t start_by, uint32_t rank)
{
	uint32_t low = 0;
	uint32_t high = class->lane_count;

	while (low < high) {
		uint32_t middle = (low + high) / 2;

		if (lane_before(&class->lanes[middle], start_by, rank))
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

int zr_sched_lane_obtain(uint32_t *out, struct zr_sched_class *class,
			 int64_t start_by, uint32_t rank)
{
	uint32_t at = zr_sched_lane_find(class, start_by, rank);
	struct zr_sched_lane *lanes = class->lanes;

	*out = at;
	if (at < class->lane_count && lanes[at].start_by == start_by &&
	    lanes[at].rank == rank)
		return 0;
	if (class->lane_count == class->lane_room) {
		uint32_t room = class->lane_room ? class->lane_room * 2 : 1;

		lanes = realloc(lanes, room * sizeof(*lanes));
		if (!lanes)
			return ZR_E_NOMEM;
		class->lanes = lanes;
		class->lane_room = room;
	}
	memmove(&lanes[at + 1], &lanes[at],
		(class->lane_count - at) * sizeof(*lanes));
	memset(&lanes[at], 0, sizeof(lanes[at]));
	lanes[at].start_by = start_by;
	lanes[at].rank = rank;
	class->lane_count++;
	return 0;
}

void zr_sched_lane_drop(struct zr_sched_class *class, uint32_t at)
{
	class->lane_count--;
	memmove(&class->lanes[at], &class->lanes[at + 1],
		(class->lane_count - at) * sizeof(*class->lanes));
}

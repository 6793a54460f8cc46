#include "sched/internal.h"

#include <stdlib.h>
#include <string.h>

/**
 * DOC: Lists of jobs
 *
 * Lists of jobs linked by handles. The lists of a class are sorted by latest
 * start, then by priority.
 */

/* Maximum number of jobs examined to find the position of a requeued one. */
#define REQUEUE_SEARCH_MAX 16

/*
 * Returns the job before which a requeued job is inserted, ZR_HANDLE_NONE for
 * the end of the list. This is the first job that arrived later than the
 * requeued one or, when there is none among the first REQUEUE_SEARCH_MAX jobs,
 * the job after these.
 */
static zr_handle find_position(const struct zr_sched *sched,
			       const struct zr_sched_job_list *list,
			       uint64_t arrival)
{
	zr_handle handle = list->head;
	unsigned int i;

	for (i = 0; handle && i < REQUEUE_SEARCH_MAX; i++) {
		const struct zr_sched_job *job =
			zr_sched_job_get(sched, handle);

		if (job->arrival > arrival)
			break;
		handle = job->next;
	}
	return handle;
}

void zr_sched_job_list_insert(struct zr_sched *sched,
			      struct zr_sched_job_list *list, zr_handle handle,
			      bool requeue)
{
	struct zr_sched_job *job = zr_sched_job_get(sched, handle);

	job->next = ZR_HANDLE_NONE;
	if (requeue)
		job->next = find_position(sched, list, job->arrival);
	job->previous = list->tail;
	if (job->next)
		job->previous = zr_sched_job_get(sched, job->next)->previous;
	if (job->previous)
		zr_sched_job_get(sched, job->previous)->next = handle;
	else
		list->head = handle;
	if (job->next)
		zr_sched_job_get(sched, job->next)->previous = handle;
	else
		list->tail = handle;
	list->count++;
}

void zr_sched_job_list_remove(struct zr_sched *sched,
			      struct zr_sched_job_list *list, zr_handle handle)
{
	const struct zr_sched_job *job = zr_sched_job_get(sched, handle);

	if (job->previous)
		zr_sched_job_get(sched, job->previous)->next = job->next;
	else
		list->head = job->next;
	if (job->next)
		zr_sched_job_get(sched, job->next)->previous = job->previous;
	else
		list->tail = job->previous;
	list->count--;
}

/* The list with the earlier latest start goes first, then by priority. */
static bool goes_before(const struct zr_sched_job_list *list,
			int64_t latest_start, uint32_t effective_priority)
{
	if (list->latest_start != latest_start)
		return list->latest_start < latest_start;
	return list->effective_priority > effective_priority;
}

uint32_t zr_sched_class_find_list(const struct zr_sched_class *class,
				  int64_t latest_start,
				  uint32_t effective_priority)
{
	uint32_t low = 0;
	uint32_t high = class->list_count;

	while (low < high) {
		uint32_t middle = (low + high) / 2;

		if (goes_before(&class->lists[middle], latest_start,
				effective_priority))
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

int zr_sched_class_get_or_add_list(uint32_t *out, struct zr_sched_class *class,
				   int64_t latest_start,
				   uint32_t effective_priority)
{
	uint32_t index = zr_sched_class_find_list(class, latest_start,
						  effective_priority);
	struct zr_sched_job_list *lists = class->lists;

	*out = index;
	if (index < class->list_count &&
	    lists[index].latest_start == latest_start &&
	    lists[index].effective_priority == effective_priority)
		return 0;
	if (class->list_count == class->list_alloc) {
		uint32_t alloc = class->list_alloc ? class->list_alloc * 2 : 1;

		lists = realloc(lists, alloc * sizeof(*lists));
		if (!lists)
			return ZR_E_NOMEM;
		class->lists = lists;
		class->list_alloc = alloc;
	}
	memmove(&lists[index + 1], &lists[index],
		(class->list_count - index) * sizeof(*lists));
	memset(&lists[index], 0, sizeof(lists[index]));
	lists[index].latest_start = latest_start;
	lists[index].effective_priority = effective_priority;
	class->list_count++;
	return 0;
}

void zr_sched_class_remove_list(struct zr_sched_class *class, uint32_t index)
{
	class->list_count--;
	memmove(&class->lists[index], &class->lists[index + 1],
		(class->list_count - index) * sizeof(*class->lists));
}

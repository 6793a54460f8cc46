#include "sched/internal.h"

/**
 * DOC: Stopping tasks
 *
 * Sends stop requests to workers. Tasks of cancelled jobs are stopped a few per
 * worker at a time; the requests for the others wait in a queue of the worker.
 * For a task that has not ended within the grace period, a request to stop
 * without a checkpoint is sent, and again after each further period.
 */

/*
 * Number of unfinished stops of a worker from which on stops of cancelled tasks
 * are queued.
 */
#define CONCURRENT_STOPS_MAX 8
/* Maximum number of stop requests that one scheduling pass repeats. */
#define REPEATED_STOPS_MAX 256

const char *zr_sched_stop_reason_name(enum zr_sched_stop_reason reason)
{
	static const char *const names[] = {
		"cancelled", "preempted", "relief",
		"drained",   "throttle",  "overdue",
	};

	return names[reason];
}

/* Lists of placements to stop. A placement is on at most one of them. */

struct list {
	zr_handle *head;
	zr_handle *tail;
};

static void append(struct zr_sched *sched, struct list list, zr_handle handle)
{
	struct zr_sched_placement *placement =
		zr_sched_placement_get(sched, handle);

	placement->next_stop = ZR_HANDLE_NONE;
	placement->previous_stop = *list.tail;
	if (*list.tail)
		zr_sched_placement_get(sched, *list.tail)->next_stop = handle;
	else
		*list.head = handle;
	*list.tail = handle;
}

static void unlink_placement(struct zr_sched *sched, struct list list,
			     const struct zr_sched_placement *placement)
{
	if (placement->previous_stop)
		zr_sched_placement_get(sched, placement->previous_stop)
			->next_stop = placement->next_stop;
	else
		*list.head = placement->next_stop;
	if (placement->next_stop)
		zr_sched_placement_get(sched, placement->next_stop)
			->previous_stop = placement->previous_stop;
	else
		*list.tail = placement->previous_stop;
}

/*
 * Placements for which a stop request was sent. The grace period is the same
 * for all and new ones are appended, so the list is sorted by @stop_resend_at.
 */
static struct list stopping_list(struct zr_sched *sched)
{
	const struct list list = {&sched->stop_head, &sched->stop_tail};

	return list;
}

/* Placements on a worker for which the stop request is not sent yet. */
static struct list queued_list(const struct zr_sched *sched, zr_handle worker)
{
	struct zr_sched_worker_entry *entry =
		zr_sched_worker_entry_get(sched, worker);
	const struct list list = {&entry->stop_head, &entry->stop_tail};

	return list;
}

/* Stop requests */

static void send_stop(struct zr_sched *sched, zr_handle handle,
		      enum zr_sched_stop_reason reason)
{
	struct zr_sched_task task = zr_sched_task_describe(sched, handle);

	if (zr_sched_worker_entry_get(sched, task.worker)->removing)
		return;
	sched->sink.stop(sched->sink.ctx, &task, reason);
}

static void set_stopping(struct zr_sched *sched, zr_handle handle)
{
	const struct zr_sched_placement *placement =
		zr_sched_placement_get(sched, handle);

	zr_sched_job_get(sched, placement->job)
		->task_entries[placement->index]
		.state = ZR_SCHED_TASK_STOPPING;
}

void zr_sched_stop(struct zr_sched *sched, zr_handle handle,
		   enum zr_sched_stop_reason reason)
{
	struct zr_sched_placement *placement =
		zr_sched_placement_get(sched, handle);

	if (reason == ZR_SCHED_STOP_THROTTLE) {
		placement->throttled_at = sched->now;
		send_stop(sched, handle, reason);
		return;
	}
	set_stopping(sched, handle);
	placement->stop_sent = true;
	placement->stop_resend_at = sched->now + ZR_SCHED_STOP_GRACE_MS;
	zr_sched_worker_entry_get(sched, placement->worker)->unfinished_stops++;
	append(sched, stopping_list(sched), handle);
	send_stop(sched, handle, reason);
}

void zr_sched_stop_cancelled(struct zr_sched *sched, zr_handle handle)
{
	struct zr_sched_placement *placement =
		zr_sched_placement_get(sched, handle);
	const struct zr_sched_worker_entry *entry =
		zr_sched_worker_entry_get(sched, placement->worker);

	if (entry->unfinished_stops < CONCURRENT_STOPS_MAX) {
		zr_sched_stop(sched, handle, ZR_SCHED_STOP_CANCELLED);
		return;
	}
	set_stopping(sched, handle);
	placement->stop_queued = true;
	append(sched, queued_list(sched, placement->worker), handle);
}

static void send_next_queued(struct zr_sched *sched, zr_handle worker)
{
	const struct zr_sched_worker_entry *entry =
		zr_sched_worker_entry_get(sched, worker);
	zr_handle handle = entry->stop_head;
	struct zr_sched_placement *placement;

	if (!handle || entry->unfinished_stops >= CONCURRENT_STOPS_MAX)
		return;
	placement = zr_sched_placement_get(sched, handle);
	unlink_placement(sched, queued_list(sched, worker), placement);
	placement->stop_queued = false;
	zr_sched_stop(sched, handle, ZR_SCHED_STOP_CANCELLED);
}

void zr_sched_stop_ended(struct zr_sched *sched, zr_handle handle)
{
	struct zr_sched_placement *placement =
		zr_sched_placement_get(sched, handle);

	if (placement->stop_queued)
		unlink_placement(sched, queued_list(sched, placement->worker),
				 placement);
	if (!placement->stop_sent)
		return;
	unlink_placement(sched, stopping_list(sched), placement);
	placement->stop_sent = false;
	zr_sched_worker_entry_get(sched, placement->worker)->unfinished_stops--;
	send_next_queued(sched, placement->worker);
}

static void repeat_stop(struct zr_sched *sched, zr_handle handle)
{
	struct zr_sched_placement *placement =
		zr_sched_placement_get(sched, handle);
	const struct zr_sched_worker_entry *entry =
		zr_sched_worker_entry_get(sched, placement->worker);

	unlink_placement(sched, stopping_list(sched), placement);
	append(sched, stopping_list(sched), handle);
	placement->stop_resend_at = sched->now + ZR_SCHED_STOP_GRACE_MS;
	if (entry->state != ZR_SCHED_WORKER_UNRESPONSIVE)
		send_stop(sched, handle, ZR_SCHED_STOP_OVERDUE);
}

void zr_sched_stops_process(struct zr_sched *sched)
{
	unsigned int repeated = 0;

	while (sched->stop_head &&
	       zr_sched_placement_get(sched, sched->stop_head)
			       ->stop_resend_at <= sched->now) {
		if (repeated++ == REPEATED_STOPS_MAX) {
			sched->has_more = true;
			return;
		}
		repeat_stop(sched, sched->stop_head);
	}
}

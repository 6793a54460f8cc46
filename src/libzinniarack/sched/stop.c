#include "sched/internal.h"

/**
 * DOC: Stops
 *
 * Stop decisions. A wave of cancellations is paced: each worker is told of a
 * few stops at a time. A task that has not ended some time after a decision is
 * told again, this time to stop without a checkpoint.
 */

/* Stop decisions of cancelled jobs that a worker works on at a time. */
#define PACED_MAX 8
/* Stops that one decide tells again. */
#define DUE_MAX 256

const char *zr_sched_stop_name(enum zr_sched_stop why)
{
	static const char *const names[] = {
		"cancelled", "preempted", "relief",
		"drained",   "throttle",  "overdue",
	};

	return names[why];
}

/* Lists of placements */

struct list {
	zr_handle *head;
	zr_handle *tail;
};

static void append(struct zr_sched *sched, struct list list, zr_handle handle)
{
	struct zr_sched_placement *placement =
		zr_sched_placement_row(sched, handle);

	placement->next_stop = ZR_HANDLE_NONE;
	placement->previous_stop = *list.tail;
	if (*list.tail)
		zr_sched_placement_row(sched, *list.tail)->next_stop = handle;
	else
		*list.head = handle;
	*list.tail = handle;
}

static void take_out(struct zr_sched *sched, struct list list,
		     const struct zr_sched_placement *placement)
{
	if (placement->previous_stop)
		zr_sched_placement_row(sched, placement->previous_stop)
			->next_stop = placement->next_stop;
	else
		*list.head = placement->next_stop;
	if (placement->next_stop)
		zr_sched_placement_row(sched, placement->next_stop)
			->previous_stop = placement->previous_stop;
	else
		*list.tail = placement->previous_stop;
}

/* Told to stop. All wait equally long, so the list is in order of time. */
static struct list told(struct zr_sched *sched)
{
	const struct list list = {&sched->stop_head, &sched->stop_tail};

	return list;
}

/* Still to be told, when it is the worker's turn. */
static struct list untold(const struct zr_sched *sched, zr_handle worker)
{
	struct zr_sched_host *host = zr_sched_host_row(sched, worker);
	const struct list list = {&host->stop_head, &host->stop_tail};

	return list;
}

/* Telling workers */

static void send(struct zr_sched *sched, zr_handle handle,
		 enum zr_sched_stop why)
{
	struct zr_sched_task task = zr_sched_task_name(sched, handle);

	if (zr_sched_host_row(sched, task.worker)->gone)
		return;
	sched->sink.stop(sched->sink.ctx, &task, why);
}

static void set_stopping(struct zr_sched *sched, zr_handle handle)
{
	const struct zr_sched_placement *placement =
		zr_sched_placement_row(sched, handle);

	zr_sched_job_row(sched, placement->job)->slots[placement->index].state =
		ZR_SCHED_TASK_STOPPING;
}

void zr_sched_stop(struct zr_sched *sched, zr_handle handle,
		   enum zr_sched_stop why)
{
	struct zr_sched_placement *placement =
		zr_sched_placement_row(sched, handle);

	if (why == ZR_SCHED_STOP_THROTTLE) {
		placement->throttled_ms = sched->now;
		send(sched, handle, why);
		return;
	}
	set_stopping(sched, handle);
	placement->told_to_stop = true;
	placement->stop_at = sched->now + ZR_SCHED_STOP_GRACE_MS;
	zr_sched_host_row(sched, placement->worker)->stops++;
	append(sched, told(sched), handle);
	send(sched, handle, why);
}

void zr_sched_stop_paced(struct zr_sched *sched, zr_handle handle)
{
	struct zr_sched_placement *placement =
		zr_sched_placement_row(sched, handle);
	const struct zr_sched_host *host =
		zr_sched_host_row(sched, placement->worker);

	if (host->stops < PACED_MAX) {
		zr_sched_stop(sched, handle, ZR_SCHED_STOP_CANCELLED);
		return;
	}
	set_stopping(sched, handle);
	placement->stop_waits = true;
	append(sched, untold(sched, placement->worker), handle);
}

static void tell_next(struct zr_sched *sched, zr_handle worker)
{
	const struct zr_sched_host *host = zr_sched_host_row(sched, worker);
	zr_handle handle = host->stop_head;
	struct zr_sched_placement *placement;

	if (!handle || host->stops >= PACED_MAX)
		return;
	placement = zr_sched_placement_row(sched, handle);
	take_out(sched, untold(sched, worker), placement);
	placement->stop_waits = false;
	zr_sched_stop(sched, handle, ZR_SCHED_STOP_CANCELLED);
}

void zr_sched_stop_ended(struct zr_sched *sched, zr_handle handle)
{
	struct zr_sched_placement *placement =
		zr_sched_placement_row(sched, handle);

	if (placement->stop_waits)
		take_out(sched, untold(sched, placement->worker), placement);
	if (!placement->told_to_stop)
		return;
	take_out(sched, told(sched), placement);
	placement->told_to_stop = false;
	zr_sched_host_row(sched, placement->worker)->stops--;
	tell_next(sched, placement->worker);
}

static void tell_again(struct zr_sched *sched, zr_handle handle)
{
	struct zr_sched_placement *placement =
		zr_sched_placement_row(sched, handle);
	const struct zr_sched_host *host =
		zr_sched_host_row(sched, placement->worker);

	take_out(sched, told(sched), placement);
	append(sched, told(sched), handle);
	placement->stop_at = sched->now + ZR_SCHED_STOP_GRACE_MS;
	if (host->state != ZR_SCHED_WORKER_UNHEARD)
		send(sched, handle, ZR_SCHED_STOP_OVERDUE);
}

void zr_sched_stops_due(struct zr_sched *sched)
{
	unsigned int told_again = 0;

	while (sched->stop_head &&
	       zr_sched_placement_row(sched, sched->stop_head)->stop_at <=
		       sched->now) {
		if (told_again++ == DUE_MAX) {
			sched->more = true;
			return;
		}
		tell_again(sched, sched->stop_head);
	}
}

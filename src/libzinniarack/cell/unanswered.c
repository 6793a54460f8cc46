#include <stdio.h>

#include "cell/plan.h"
#include "cell/policy/order_state.h"

/*
 * The share of a worker's starts that get no answer tells whether the worker is
 * the cause, or whatever lies between it and this host: if many workers leave
 * starts without an answer, none of them is worse than the others. Both shares
 * are smoothed; that of all workers changes slowly with each start.
 */
#define WORKER_WEIGHT 0.1
#define CELL_WEIGHT 0.01
/* A worker is worse if its share exceeds this multiple of the cell's share. */
#define WORSE_FACTOR 2.5
/* Below this share of the cell, every worker that leaves one out is worse. */
#define CELL_SHARE_MIN 0.02
/*
 * From this share of the cell on, a start is overdue before its request has
 * failed, by the usual time of a response. Otherwise this holds only for
 * members of a gang, by the time of the others.
 */
#define EARLY_SHARE 0.03
#define START_MS_WEIGHT 0.02
#define MILLI 1000

void zr_cell_unanswered_add_start(struct zr_cell_model *model,
				  struct zr_cell_worker *worker, bool answered)
{
	double sample = answered ? 0 : 1;

	worker->unanswered += (sample - worker->unanswered) * WORKER_WEIGHT;
	model->unanswered += (sample - model->unanswered) * CELL_WEIGHT;
}

bool zr_cell_unanswered_is_worse(const struct zr_cell_model *model,
				 const struct zr_cell_worker *worker)
{
	return model->unanswered < CELL_SHARE_MIN ||
	       worker->unanswered > WORSE_FACTOR * model->unanswered;
}

void zr_cell_unanswered_begin_run(struct zr_cell_step_state *step,
				  uint32_t attempt)
{
	/* Members that are missing join the run with its attempt number. */
	if (step->gang_attempt == attempt)
		return;
	step->gang_attempt = attempt;
	step->gang_answered = 0;
	step->gang_answer_ms = 0;
	step->gang_complete = false;
}

void zr_cell_unanswered_add_answer(struct zr_cell_model *model,
				   struct zr_cell_job *job, uint32_t task,
				   int64_t now)
{
	struct zr_cell_step_state *step = zr_cell_task_step(job, task);
	int64_t answer_ms = now - job->tasks[task].sent_at;

	if (model->start_ms == 0)
		model->start_ms = (double)answer_ms;
	model->start_ms +=
		((double)answer_ms - model->start_ms) * START_MS_WEIGHT;
	if (!zr_cell_step_is_gang(step))
		return;
	step->gang_answered++;
	if (!step->gang_answer_ms &&
	    2 * step->gang_answered >= step->spec->count)
		step->gang_answer_ms = answer_ms > 0 ? answer_ms : 1;
}

void zr_cell_unanswered_set_uncertain(struct zr_cell_scheduler *scheduler,
				      struct zr_cell_task *entry)
{
	zr_cell_task_event(entry, ZR_TASK_EVENT_UNANSWERED);
	if (!entry->uncertain_event)
		entry->uncertain_event = ++scheduler->event_count;
}

/* The state of the start of a task with an active run. */
static enum zr_order_state order_state(const struct zr_cell_task *entry)
{
	switch (entry->state) {
	case ZR_TASK_STARTING:
		return ZR_ORDER_SENT;
	case ZR_TASK_UNCONFIRMED:
		return ZR_ORDER_UNCERTAIN;
	case ZR_TASK_STOPPING:
		return entry->visible_after == ZR_CELL_START_PENDING
			       ? ZR_ORDER_STOPPING
			       : ZR_ORDER_VOIDED;
	default:
		return ZR_ORDER_RUNNING;
	}
}

static int64_t overdue_ms(const struct zr_cell_model *model,
			  const struct zr_cell_step_state *step)
{
	if (step->gang_answer_ms)
		return zr_order_overdue_ms(step->gang_answer_ms);
	if (model->unanswered < EARLY_SHARE)
		return ZR_ORDER_NEVER;
	return zr_order_overdue_ms((int64_t)model->start_ms + 1);
}

bool zr_cell_unanswered_needs_poll(struct zr_cell_scheduler *scheduler,
				   struct zr_cell_worker *worker,
				   struct zr_cell_job *job, uint32_t task)
{
	struct zr_cell_task *entry = &job->tasks[task];
	struct zr_order order = {
		.state = order_state(entry),
		.sent_at = entry->sent_at,
		.is_asking = worker->outcome_poll_in_flight,
		.overdue_ms = overdue_ms(&scheduler->term.model,
					 zr_cell_task_step(job, task)),
	};

	if (entry->state == ZR_TASK_PLACED ||
	    (entry->state != ZR_TASK_STARTING && !entry->uncertain_event) ||
	    zr_order_next(&order, zr_cell_now_ms(scheduler)) != ZR_ORDER_POLL)
		return false;
	if (entry->state == ZR_TASK_STARTING)
		zr_cell_unanswered_set_uncertain(scheduler, entry);
	return true;
}

/* Accounting */

static const char *const outcome_names[] = {
	[ZR_UNANSWERED_ANSWERED] = "answered",
	[ZR_UNANSWERED_RUNNING] = "running",
	[ZR_UNANSWERED_STOPPED] = "stopped",
	[ZR_UNANSWERED_ENDED] = "ended",
	[ZR_UNANSWERED_VOIDED] = "voided",
	[ZR_UNANSWERED_LOST] = "lost",
};

void zr_cell_unanswered_register(struct zr_cell_unanswered_metrics *out,
				 struct zr_metrics *metrics)
{
	char label[ZR_NAME_MAX];
	size_t i;

	for (i = 0; i < ZR_UNANSWERED_OUTCOMES; i++) {
		snprintf(label, sizeof(label), "outcome=\"%s\"",
			 outcome_names[i]);
		out->starts[i] = zr_metrics_get_or_add_counter(
			metrics, "zinniarack_cell_unanswered_starts_total",
			label,
			"Starts without a response in time, by what followed");
		out->core_ms[i] = zr_metrics_get_or_add_counter(
			metrics, "zinniarack_cell_unanswered_core_ms_total",
			label,
			"Processor time that was reserved for them in vain");
	}
	out->stops = zr_metrics_get_or_add_counter(
		metrics, "zinniarack_cell_unanswered_stops_total", NULL,
		"Stops without a response");
	out->orphans = zr_metrics_get_or_add_counter(
		metrics, "zinniarack_cell_runs_orphaned_total", NULL,
		"Runs that were found and stopped after they were given up");
}

static bool is_lost(enum zr_unanswered_outcome outcome)
{
	return outcome == ZR_UNANSWERED_STOPPED ||
	       outcome == ZR_UNANSWERED_VOIDED || outcome == ZR_UNANSWERED_LOST;
}

void zr_cell_unanswered_settle(struct zr_cell_scheduler *scheduler,
			       const struct zr_cell_job *job, uint32_t task,
			       enum zr_unanswered_outcome outcome)
{
	struct zr_cell_unanswered_metrics *metrics =
		&scheduler->unanswered_metrics;
	struct zr_cell_task *entry = &job->tasks[task];
	int64_t reserved_ms = zr_cell_now_ms(scheduler) - entry->sent_at;
	uint32_t millicpus = zr_cell_task_step(job, task)->spec->need.millicpus;

	if (!entry->uncertain_event)
		return;
	entry->uncertain_event = 0;
	metrics->starts[outcome]->value++;
	if (is_lost(outcome))
		metrics->core_ms[outcome]->value +=
			reserved_ms * millicpus / MILLI;
}

#include "fakes/sched_model_private.h"

/* The charges of tasks to their workers and teams. */

static uint32_t max32(uint32_t a, uint32_t b)
{
	return a > b ? a : b;
}

static uint32_t min32(uint32_t a, uint32_t b)
{
	return a < b ? a : b;
}

struct zr_resources sched_model_min_charge(const struct model_job *job)
{
	const struct model_name *name = job->name;
	struct zr_resources charge = name->smallest;

	if (!name->reported_tasks)
		return job->size;
	if (name->reported_tasks < SCHED_MODEL_KNOWN_TASKS) {
		charge.millicpus = min32(charge.millicpus, job->size.millicpus);
		charge.memory_mb = min32(charge.memory_mb, job->size.memory_mb);
	}
	charge.accelerators = job->size.accelerators;
	return charge;
}

static void add_charge(struct model_task *task)
{
	struct model_team *team = task->job->team;

	zr_resources_add(&task->worker->used, &task->charge);
	zr_resources_add(&team->used, &task->charge);
	if (task->state == MODEL_STOPPING)
		zr_resources_add(&team->stopping, &task->charge);
}

static void subtract_charge(struct model_task *task)
{
	struct model_team *team = task->job->team;

	zr_resources_sub(&task->worker->used, &task->charge);
	zr_resources_sub(&team->used, &task->charge);
	if (task->state == MODEL_STOPPING)
		zr_resources_sub(&team->stopping, &task->charge);
}

void sched_model_task_assign(struct model_task *task,
			     struct model_worker *worker, uint32_t attempt)
{
	if (!task->job->running)
		task->job->run_failed = false;
	task->worker = worker;
	task->state = MODEL_RUNNING;
	task->attempt = attempt;
	task->last_attempt = attempt;
	task->reported = false;
	task->peak = (struct zr_resources){0};
	task->charge = sched_model_min_charge(task->job);
	add_charge(task);
	DL_APPEND(worker->tasks, task);
	DL_APPEND2(task->job->name->running, task, name_prev, name_next);
	task->job->running++;
}

void sched_model_task_unassign(struct model_task *task)
{
	subtract_charge(task);
	DL_DELETE(task->worker->tasks, task);
	DL_DELETE2(task->job->name->running, task, name_prev, name_next);
	task->job->running--;
	if (task->state == MODEL_STOPPING)
		task->job->stopping--;
	task->worker = NULL;
	task->state = MODEL_WAITING;
}

void sched_model_task_stopping(struct model_task *task)
{
	if (task->state != MODEL_RUNNING)
		return;
	task->state = MODEL_STOPPING;
	task->job->stopping++;
	zr_resources_add(&task->job->team->stopping, &task->charge);
}

static void update_charge(struct model_task *task)
{
	struct zr_resources charge = sched_model_min_charge(task->job);
	const struct zr_resources *peak = &task->peak;

	subtract_charge(task);
	if (task->reported) {
		charge.millicpus = peak->millicpus;
		charge.memory_mb = peak->memory_mb;
		charge.accelerators =
			max32(peak->accelerators, charge.accelerators);
	}
	task->charge = charge;
	add_charge(task);
}

/* Adds a report to a name; returns whether the smallest usage has changed. */
static bool add_report(struct model_name *name, const struct model_task *task,
		       const struct zr_resources *used)
{
	struct zr_resources *smallest = &name->smallest;
	struct zr_resources before = *smallest;
	bool first = !name->reported_tasks;

	if (!task->reported)
		name->reported_tasks++;
	if (first) {
		*smallest = *used;
		return true;
	}
	smallest->millicpus = min32(before.millicpus, used->millicpus);
	smallest->memory_mb = min32(before.memory_mb, used->memory_mb);
	return smallest->millicpus != before.millicpus ||
	       smallest->memory_mb != before.memory_mb;
}

void sched_model_task_report(struct model_task *task,
			     const struct zr_resources *used)
{
	struct model_name *name = task->job->name;
	bool changed = add_report(name, task, used);
	struct model_task *other;

	task->reported = true;
	task->peak.millicpus = max32(task->peak.millicpus, used->millicpus);
	task->peak.memory_mb = max32(task->peak.memory_mb, used->memory_mb);
	task->peak.accelerators =
		max32(task->peak.accelerators, used->accelerators);
	update_charge(task);
	if (!changed)
		return;
	DL_FOREACH2(name->running, other, name_next)
	{
		if (!other->reported)
			update_charge(other);
	}
}

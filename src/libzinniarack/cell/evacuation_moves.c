#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "cell/plan.h"
#include "cell/policy/evacuation.h"
#include "zinniarack/log.h"

/**
 * DOC: Moves out of evacuated failure domains
 *
 * Collects the runs in the domains and the capacity elsewhere, lets
 * policy/evacuation.c decide, and stops the runs that are moved. These are then
 * placed like other waiting tasks, and resume from their checkpoints.
 */

/* Interval between decisions. */
#define DECIDE_INTERVAL_MS 500
/*
 * Number of tasks stopped at once. Their starts come on top of the usual ones:
 * 40 each second are a third of the most that a deployment has.
 */
#define MOVES_MAX 20
/* Decisions that are logged at once; the others are logged with later ones. */
#define LOGGED_MAX 200

/* A class of workers: what the groups of a queue and label may run on. */
struct class
{
	const char *pool;
	const char *label;
};

/* The task whose index is that of a group; of a gang, the first member. */
struct group_ref {
	struct zr_cell_job *job;
	uint32_t task;
};

struct pass {
	struct zr_cell_scheduler *scheduler;
	int64_t now;
	struct class classes[ZR_EVACUATION_CLASSES_MAX];
	uint32_t class_count;
	struct zr_evacuation_group *groups;
	struct group_ref *refs;
	size_t count;
	size_t alloc;
};

/* Groups */

/* Returns ZR_EVACUATION_CLASSES_MAX if there are too many classes. */
static uint32_t class_of(struct pass *pass, const char *pool, const char *label)
{
	uint32_t i;

	for (i = 0; i < pass->class_count; i++) {
		if (!strcmp(pass->classes[i].pool, pool) &&
		    !strcmp(pass->classes[i].label, label))
			return i;
	}
	if (i < ZR_EVACUATION_CLASSES_MAX)
		pass->classes[pass->class_count++] =
			(struct class){pool, label};
	return i;
}

static void fill_queue(struct pass *pass, struct zr_evacuation_group *group,
		       const struct zr_cell_job *job,
		       const struct zr_cell_step_spec *spec)
{
	const struct zr_cell_config *config = pass->scheduler->config;
	const struct zr_cell_queue *queue =
		config ? zr_cell_config_queue(config, job->queue) : NULL;

	group->class = class_of(pass, queue ? queue->pool : job->terms.pool,
				spec->label);
	group->advised = queue && queue->advised;
}

static bool runs_confirmed(const struct zr_cell_scheduler *scheduler,
			   const struct zr_cell_task *task)
{
	const struct zr_cell_worker *worker =
		zr_cell_worker(&scheduler->term.model, task->worker);

	return task->state == ZR_TASK_RUNNING && worker &&
	       !zr_cell_worker_unresponsive(worker);
}

static void add_member(const struct pass *pass,
		       struct zr_evacuation_group *group,
		       const struct zr_cell_task *task, uint32_t estimate_ms)
{
	int64_t left = zr_cell_task_remaining_ms(task, estimate_ms, pass->now);

	group->tasks++;
	if (left > group->remaining_ms)
		group->remaining_ms = left;
	if (task->attempt > group->starts)
		group->starts = task->attempt;
	group->running = group->running &&
			 runs_confirmed(pass->scheduler, task) &&
			 !task->finished;
}

/* Counts the tasks of a step that do not run, and those that run elsewhere. */
static void fill_step(const struct pass *pass,
		      struct zr_evacuation_group *group,
		      const struct zr_cell_job *job,
		      const struct zr_cell_step_state *step)
{
	uint32_t i;

	if (!step->spec->max_per_worker && !group->long_running)
		return;
	for (i = step->first_task; i < step->first_task + step->spec->count;
	     i++) {
		const struct zr_cell_task *task = &job->tasks[i];
		const struct zr_cell_worker *worker = zr_cell_worker(
			&pass->scheduler->term.model, task->worker);

		group->unavailable += !runs_confirmed(pass->scheduler, task);
		group->tasks_elsewhere +=
			worker &&
			!zr_cell_evacuations_requested(pass->scheduler, worker);
	}
}

static struct zr_evacuation_group *
new_group(struct pass *pass, struct zr_cell_job *job, uint32_t task)
{
	if (pass->count == pass->alloc) {
		pass->alloc = pass->alloc ? 2 * pass->alloc : 64;
		pass->groups = realloc(pass->groups,
				       pass->alloc * sizeof(*pass->groups));
		pass->refs =
			realloc(pass->refs, pass->alloc * sizeof(*pass->refs));
		if (!pass->groups || !pass->refs)
			abort();
	}
	pass->refs[pass->count] = (struct group_ref){job, task};
	return &pass->groups[pass->count++];
}

static void add_group(struct pass *pass, struct zr_cell_job *job, uint32_t task)
{
	struct zr_cell_step_state *step = zr_cell_task_step(job, task);
	const struct zr_cell_step_spec *spec = step->spec;
	bool gang = zr_cell_step_is_gang(step);
	struct zr_evacuation_group group = {
		.step = ((uint64_t)job->self << 32) ^ step->first_task,
		.need = zr_cell_need(spec),
		.max_per_worker = spec->max_per_worker,
		.running = !gang || (!step->waiting && !step->gang_stopping),
		.checkpoints = spec->flags & ZR_STEP_CHECKPOINTS,
		.long_running = spec->flags & ZR_STEP_LONG_RUNNING,
		.unavailable_max = spec->unavailable_max,
		.later_ms = zr_cell_priority_unstarted_ms(job),
		.age_ms = pass->now - job->accepted_at,
		.objective_ms = zr_cell_priority_objective_ms(job),
	};
	uint32_t first = gang ? step->first_task : task;
	uint32_t end = gang ? first + spec->count : task + 1;
	uint32_t i;

	if (gang &&
	    step->evacuation_pass == pass->scheduler->term.evacuations.pass)
		return;
	step->evacuation_pass = pass->scheduler->term.evacuations.pass;
	fill_queue(pass, &group, job, spec);
	if (group.class == ZR_EVACUATION_CLASSES_MAX)
		return;
	for (i = first; i < end; i++) {
		if (job->tasks[i].worker)
			add_member(pass, &group, &job->tasks[i],
				   spec->estimate_ms);
	}
	fill_step(pass, &group, job, step);
	*new_group(pass, job, first) = group;
}

static void add_groups_on(struct pass *pass,
			  const struct zr_cell_worker *worker)
{
	const struct zr_cell_model *model = &pass->scheduler->term.model;
	size_t i;

	for (i = 0; i < worker->run_count; i++) {
		struct zr_cell_ref ref = worker->runs[i];
		struct zr_cell_job *job = zr_cell_job(model, ref.job);

		if (job->tasks[ref.task].state != ZR_TASK_STOPPING &&
		    !zr_cell_job_has_ended(job))
			add_group(pass, job, ref.task);
	}
}

/* Capacity elsewhere */

static uint64_t classes_of(const struct pass *pass,
			   const struct zr_cell_worker *worker)
{
	uint64_t classes = 0;
	uint32_t i;

	for (i = 0; i < pass->class_count; i++) {
		const struct class *class = &pass->classes[i];

		if (!strcmp(worker->report.pool, class->pool) &&
		    zr_cell_worker_has_label(worker, class->label))
			classes |= UINT64_C(1) << i;
	}
	return classes;
}

static size_t collect_workers(const struct pass *pass,
			      struct zr_evacuation_worker *out)
{
	struct zr_cell_model *model = &pass->scheduler->term.model;
	struct zr_cell_worker *worker;
	struct zr_cell_worker *next;
	size_t count = 0;

	HASH_ITER (hh, model->worker_by_name, worker, next) {
		if (!zr_cell_worker_accepts_tasks(pass->scheduler, worker,
						  pass->now) ||
		    worker->isolation_job || pass->now < worker->reserved_until)
			continue;
		out[count++] = (struct zr_evacuation_worker){
			zr_cell_worker_free_resources(worker),
			classes_of(pass, worker)};
	}
	return count;
}

/* Tasks beyond the upper limit of their client account do not count. */
static uint32_t startable_tasks(const struct zr_cell_model *model,
				const struct zr_cell_step_state *step)
{
	const struct zr_cell_job *job = zr_cell_job(model, step->job);
	uint32_t remaining = zr_cell_client_remaining_tasks(
		zr_cell_client(model, job->client), &step->spec->need);

	return remaining < step->waiting ? remaining : step->waiting;
}

static uint64_t waiting_millicpus(const struct pass *pass)
{
	const struct zr_cell_model *model = &pass->scheduler->term.model;
	const struct zr_cell_step_state *step;
	uint64_t sum = 0;

	DL_FOREACH(model->ready, step)
	{
		if (pass->now >= step->ready_at && !step->unfit)
			sum += (uint64_t)startable_tasks(model, step) *
			       step->spec->need.millicpus;
	}
	return sum;
}

/* Results */

/* Logs a decision once for each run, and again if the verdict has changed. */
static bool log_decision(const struct group_ref *ref,
			 const struct zr_evacuation_group *group,
			 const struct zr_evacuation_decision *decision)
{
	struct zr_cell_task *task = &ref->job->tasks[ref->task];
	uint8_t logged = (uint8_t)(1 + decision->verdict);

	if (task->evacuation_logged == logged)
		return false;
	task->evacuation_logged = logged;
	zr_log_decision("evacuation.run job=%s task=%" PRIu32
			" verdict=%s reason=%s tasks=%" PRIu32
			" remaining_ms=%" PRId64,
			ref->job->id, ref->task,
			zr_evacuation_verdict_name(decision->verdict),
			zr_evacuation_reason_name(decision->reason),
			group->tasks, group->remaining_ms);
	return true;
}

static void move(struct zr_cell_scheduler *scheduler,
		 const struct group_ref *ref)
{
	struct zr_cell_step_state *step =
		zr_cell_task_step(ref->job, ref->task);
	bool gang = zr_cell_step_is_gang(step);
	uint32_t end = ref->task + (gang ? step->spec->count : 1);
	uint32_t i;

	for (i = ref->task; i < end; i++) {
		ref->job->tasks[i].evacuating = true;
		scheduler->evacuation_metrics.stopped->value++;
	}
	if (gang)
		zr_cell_stop_gang(scheduler, ref->job, step, "evacuation");
	else
		zr_cell_stop_run(scheduler, ref->job, ref->task, "evacuation");
}

static void carry_out(const struct pass *pass,
		      const struct zr_evacuation_decision *decisions)
{
	unsigned int logged = 0;
	size_t i;

	for (i = 0; i < pass->count; i++) {
		bool moves = decisions[i].verdict == ZR_EVACUATION_MOVE;

		if (moves || logged < LOGGED_MAX)
			logged += log_decision(&pass->refs[i], &pass->groups[i],
					       &decisions[i]);
		if (moves)
			move(pass->scheduler, &pass->refs[i]);
	}
}

static void decide(struct pass *pass)
{
	const struct zr_cell_model *model = &pass->scheduler->term.model;
	struct zr_evacuation_view view = {
		.groups = pass->groups,
		.group_count = pass->count,
		.waiting_millicpus = waiting_millicpus(pass),
		.tasks_max = MOVES_MAX,
	};
	struct zr_evacuation_decision *decisions =
		calloc(pass->count + 1, sizeof(*decisions));

	view.workers = calloc(HASH_COUNT(model->worker_by_name) + 1,
			      sizeof(*view.workers));
	if (!decisions || !view.workers)
		abort();
	view.worker_count = collect_workers(pass, view.workers);
	if (zr_evacuation_decide(decisions, &view) < 0)
		abort();
	carry_out(pass, decisions);
	free(view.workers);
	free(decisions);
}

void zr_cell_evacuations_move(struct zr_cell_scheduler *scheduler)
{
	struct zr_cell_evacuations *evacuations = &scheduler->term.evacuations;
	struct pass pass = {.scheduler = scheduler,
			    .now = zr_cell_now_ms(scheduler)};
	struct zr_cell_worker *worker;
	struct zr_cell_worker *next;

	/* An owner that leaves would not place again what it stops. */
	if (scheduler->releasing || scheduler->term.hand_over_deadline_at)
		return;
	if (!scheduler->evacuation_metrics.runs->value ||
	    !zr_cell_is_owner(scheduler) ||
	    !zr_cell_evacuations_known(scheduler) ||
	    pass.now - evacuations->decided_at < DECIDE_INTERVAL_MS)
		return;
	evacuations->decided_at = pass.now;
	evacuations->pass++;
	HASH_ITER (hh, scheduler->term.model.worker_by_name, worker, next) {
		if (worker->run_count &&
		    zr_cell_evacuations_requested(scheduler, worker))
			add_groups_on(&pass, worker);
	}
	if (pass.count)
		decide(&pass);
	free(pass.groups);
	free(pass.refs);
}

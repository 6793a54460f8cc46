#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "cell/plan.h"
#include "zinniarack/log.h"

/*
 * Connects the cell with policy/worker_speed.h: what a run tells about its
 * worker, and in which order the workers suit a step.
 */

/* A late job has a fifth of its value until this multiple of its objective. */
#define WORTHLESS_FACTOR 3

/* The kind of a worker is its first label that is not its rack. */
static const char *kind_of(const struct zr_cell_worker *worker)
{
	const char *label = worker->report.labels;

	while (*label && !strcmp(label, worker->report.rack))
		label += strlen(label) + 1;
	return label;
}

void zr_cell_speed_worker_changed(struct zr_cell_scheduler *scheduler,
				  struct zr_cell_worker *worker)
{
	if (scheduler->options.worker_speed)
		zr_speed_worker_set(&scheduler->speeds, &worker->speed,
				    kind_of(worker),
				    worker->report.incarnation);
}

static uint32_t class_of(struct zr_cell_scheduler *scheduler,
			 const struct zr_cell_job *job,
			 struct zr_cell_step_state *step)
{
	if (!step->speed_class)
		step->speed_class = zr_speed_class_get_or_add(
			&scheduler->speeds, job->queue,
			step->spec->estimate_ms);
	return step->speed_class;
}

static struct zr_speed_task speed_task(struct zr_cell_scheduler *scheduler,
				       const struct zr_cell_worker *worker,
				       const struct zr_cell_job *job,
				       uint32_t task)
{
	struct zr_cell_step_state *step = zr_cell_task_step(job, task);

	return (struct zr_speed_task){
		.class = class_of(scheduler, job, step),
		.place = zr_cell_speed_place(step, worker),
		.estimate_ms = step->spec->estimate_ms,
	};
}

/* Learning */

static void log_change(struct zr_cell_scheduler *scheduler,
		       struct zr_cell_worker *worker)
{
	int64_t now = zr_cell_now_ms(scheduler);
	bool faulty = zr_speed_is_faulty(&worker->speed, now);
	int band = zr_speed_band(&scheduler->speeds, &worker->speed, now);

	if (faulty == worker->logged_faulty && band == worker->logged_band)
		return;
	worker->logged_faulty = faulty;
	worker->logged_band = band;
	zr_log_decision(
		"worker.speed worker=%s kind=%s permille=%" PRIu32
		" band=%d faulty=%d runs=%zu",
		worker->report.name, kind_of(worker),
		zr_speed_permille(&scheduler->speeds, &worker->speed, now),
		band, faulty, worker->run_count);
}

void zr_cell_speed_run_started(const struct zr_cell_scheduler *scheduler,
			       struct zr_cell_task *task, uint32_t percent)
{
	task->progress = (struct zr_speed_progress){
		.at = zr_cell_now_ms(scheduler), .percent = (uint8_t)percent};
}

void zr_cell_speed_run_done(struct zr_cell_scheduler *scheduler,
			    struct zr_cell_worker *worker,
			    struct zr_cell_job *job, uint32_t task)
{
	const struct zr_cell_task *entry = &job->tasks[task];
	struct zr_speed_run run = {
		.task = speed_task(scheduler, worker, job, task),
		.run_ms = zr_cell_now_ms(scheduler) - entry->started_at,
		.gang = zr_cell_step_is_gang(zr_cell_task_step(job, task)),
	};

	if (entry->whole_run)
		zr_speed_add_run(&scheduler->speeds, &worker->speed, &run,
				 zr_cell_now_ms(scheduler));
}

void zr_cell_speed_run_listed(struct zr_cell_scheduler *scheduler,
			      struct zr_cell_worker *worker,
			      struct zr_cell_job *job, uint32_t task)
{
	struct zr_cell_task *entry = &job->tasks[task];
	struct zr_speed_task of = speed_task(scheduler, worker, job, task);

	if (entry->percent < 100)
		zr_speed_observe(&scheduler->speeds, &worker->speed,
				 &entry->progress, &of, entry->percent,
				 zr_cell_now_ms(scheduler));
}

/* Logs a run once that is slow, and lists it for the next pass. */
static void check_run(struct zr_cell_scheduler *scheduler,
		      const struct zr_cell_worker *worker,
		      struct zr_cell_ref ref)
{
	struct zr_cell_job *job = zr_cell_job(&scheduler->term.model, ref.job);
	struct zr_cell_task *entry = &job->tasks[ref.task];
	int64_t now = zr_cell_now_ms(scheduler);
	enum zr_speed_cause cause;

	if (entry->state != ZR_TASK_RUNNING)
		return;
	cause = zr_speed_cause_of(&scheduler->speeds, &worker->speed,
				  &entry->progress, now);
	if (cause == ZR_SPEED_CAUSE_NONE)
		return;
	if (!entry->slow_logged)
		zr_log_decision(
			"run.slow job=%s task=%" PRIu32 " attempt=%" PRIu32
			" worker=%s cause=%s percent=%" PRIu32
			" run_ms=%" PRId64,
			job->id, ref.task, entry->attempt, worker->report.name,
			cause == ZR_SPEED_CAUSE_TAIL ? "tail" : "worker",
			entry->percent, now - entry->started_at);
	entry->slow_logged = true;
	if (entry->attempt == 1 &&
	    scheduler->term.slow_run_count < ZR_CELL_SLOW_RUNS_MAX)
		scheduler->term.slow_runs[scheduler->term.slow_run_count++] =
			ref;
}

void zr_cell_speed_poll_done(struct zr_cell_scheduler *scheduler,
			     struct zr_cell_worker *worker)
{
	size_t i;

	if (!scheduler->options.worker_speed)
		return;
	zr_speed_judge(&worker->speed, zr_cell_now_ms(scheduler));
	log_change(scheduler, worker);
	for (i = 0; i < worker->run_count; i++)
		check_run(scheduler, worker, worker->runs[i]);
}

/* Metrics */

static void set_gauge(struct zr_cell_scheduler *scheduler, const char *name,
		      const char *label, const char *value, int64_t number,
		      const char *help)
{
	char labels[2 * ZR_NAME_MAX];

	snprintf(labels, sizeof(labels), "%s=\"%s\"", label, value);
	zr_metrics_get_or_add_gauge(scheduler->options.metrics, name, labels,
				    help)
		->value = number;
}

void zr_cell_speed_update_metrics(struct zr_cell_scheduler *scheduler)
{
	const struct zr_speed_table *speeds = &scheduler->speeds;
	int64_t counts[ZR_SPEED_BANDS] = {0};
	int64_t faulty = 0;
	int64_t now = zr_cell_now_ms(scheduler);
	struct zr_cell_worker *worker;
	struct zr_cell_worker *next;
	char band[8];
	uint32_t i;

	if (!scheduler->options.worker_speed)
		return;
	HASH_ITER (hh, scheduler->term.model.worker_by_name, worker, next) {
		if (zr_speed_is_faulty(&worker->speed, now))
			faulty++;
		else if (worker->registered)
			counts[zr_speed_band(speeds, &worker->speed, now) -
			       ZR_SPEED_BAND_MIN]++;
	}
	for (i = 0; i < ZR_SPEED_BANDS; i++) {
		snprintf(band, sizeof(band), "%d", (int)i + ZR_SPEED_BAND_MIN);
		set_gauge(scheduler, "zinniarack_cell_workers", "speed_band",
			  band, counts[i], "Workers by band of speed");
	}
	set_gauge(scheduler, "zinniarack_cell_workers", "speed_band", "faulty",
		  faulty, "Workers by band of speed");
	for (i = 0; i < speeds->kind_count; i++)
		set_gauge(scheduler, "zinniarack_cell_kind_speed_permille",
			  "kind", speeds->kinds[i].name,
			  (int64_t)(1000 * exp2f(speeds->kinds[i].log2)),
			  "Speed of a kind of workers, in thousandths of that "
			  "of an average run");
}

/* Placement */

void zr_cell_speed_set_candidate(struct zr_cell_plan *plan,
				 struct zr_cell_candidate *candidate)
{
	const struct zr_cell_scheduler *scheduler = plan->scheduler;
	const struct zr_cell_worker *worker = candidate->worker;

	if (!scheduler->options.worker_speed) {
		candidate->slow = zr_cell_slowdown_is_slow(
			&scheduler->term.model, worker, plan->now);
		return;
	}
	candidate->slow = zr_speed_is_faulty(&worker->speed, plan->now);
	candidate->speed_band =
		zr_speed_band(&scheduler->speeds, &worker->speed, plan->now);
	if (candidate->speed_band > plan->fastest_band)
		plan->fastest_band = candidate->speed_band;
}

/* Whether later steps of the job have to wait for this one. */
static bool has_successors(const struct zr_cell_job *job,
			   const struct zr_cell_step_state *step)
{
	const struct zr_cell_job_spec *spec = &job->spec;
	uint32_t i;
	uint32_t j;

	for (i = step->number + 1; i < spec->step_count; i++) {
		for (j = 0; j < spec->steps[i].depends_on_count; j++) {
			if (spec->steps[i].depends_on[j] == step->number)
				return true;
		}
	}
	return false;
}

/* Time until the job loses value, of which a late job has some left. */
static int64_t left_ms(const struct zr_cell_job *job, int64_t now)
{
	int64_t objective = zr_cell_priority_objective_ms(job);
	int64_t age = now - job->accepted_at;

	return (age < objective ? objective : WORTHLESS_FACTOR * objective) -
	       age;
}

void zr_cell_speed_set_item(struct zr_cell_plan *plan,
			    struct zr_cell_plan_item *item)
{
	struct zr_cell_scheduler *scheduler = plan->scheduler;
	const struct zr_cell_step_spec *spec = item->step->spec;
	struct zr_speed_need need = {
		.urgent = !item->job->priority || item->step->has_moved ||
			  has_successors(item->job, item->step)};
	uint32_t class;

	if (!scheduler->options.worker_speed || !spec->estimate_ms ||
	    spec->flags & (ZR_STEP_LONG_RUNNING | ZR_STEP_BEST_EFFORT))
		return;
	class = class_of(scheduler, item->job, item->step);
	item->by_speed = true;
	if (spec->rack[0])
		item->far_bands = zr_speed_far_bands(&scheduler->speeds, class);
	if (!need.urgent) {
		need.left_ms = left_ms(item->job, plan->now);
		need.usual_ms =
			zr_speed_usual_ms(&scheduler->speeds, class,
					  ZR_SPEED_NEAR, spec->estimate_ms);
		need.longest_ms =
			zr_speed_longest_ms(&scheduler->speeds, class,
					    spec->estimate_ms, spec->count);
	}
	item->needed_band = zr_speed_wanted_band(&need, plan->fastest_band);
	item->wanted_band = item->needed_band;
}

#include "fakes/cell_stays.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "cell/plan.h"

#define PLACED_MAX_MS 6000
#define LEASE_MAX_MS 8200
#define STOPPING_MAX_MS 14200
#define QUERY_MAX_MS 2000
#define WAITING_MAX_MS 3000
#define RATE_MAX 8
#define RATE_SPAN_MS 1000
/* Longest time between two checks. */
#define INTERVAL_MAX_MS 20
#define NAME_BYTES 96

/* The times of the last RATE_MAX + 1 repetitions, the oldest at @next. */
struct repetitions {
	int64_t at[RATE_MAX + 1];
	unsigned int next;
	uint32_t count; /* value of the counter at the last check */
};

/* What has been seen of a task, or of a step with queries. */
struct stay {
	char name[NAME_BYTES];
	int state;
	uint32_t attempt;
	int64_t since;
	int64_t seen_at; /* last check in which it had a run or a query */
	bool reported;
	struct repetitions starts;
	struct repetitions stops;
	UT_hash_handle hh;
};

struct cell_stays {
	cell_stays_violation_fn violation;
	void *ctx;
	uint64_t term;
	struct stay *seen;
};

struct cell_stays *cell_stays_new(cell_stays_violation_fn violation, void *ctx)
{
	struct cell_stays *stays = calloc(1, sizeof(*stays));

	if (!stays)
		abort();
	stays->violation = violation;
	stays->ctx = ctx;
	return stays;
}

void cell_stays_forget(struct cell_stays *stays)
{
	struct stay *stay;
	struct stay *next;

	HASH_ITER (hh, stays->seen, stay, next) {
		HASH_DEL(stays->seen, stay);
		free(stay);
	}
}

void cell_stays_free(struct cell_stays *stays)
{
	cell_stays_forget(stays);
	free(stays);
}

static struct stay *find_stay(struct cell_stays *stays, const char *name,
			      int64_t now)
{
	struct stay *stay;

	HASH_FIND_STR(stays->seen, name, stay);
	if (!stay) {
		stay = calloc(1, sizeof(*stay));
		if (!stay)
			abort();
		snprintf(stay->name, sizeof(stay->name), "%s", name);
		stay->state = -1;
		HASH_ADD_STR(stays->seen, name, stay);
	}
	if (now - stay->seen_at > INTERVAL_MAX_MS)
		stay->since = now;
	stay->seen_at = now;
	return stay;
}

/* Returns whether the counter has risen too often lately. */
static bool is_too_often(struct repetitions *repetitions, uint32_t count,
			 int64_t now)
{
	bool too_often = false;

	for (; repetitions->count < count; repetitions->count++) {
		int64_t oldest = repetitions->at[repetitions->next];

		repetitions->at[repetitions->next] = now;
		repetitions->next = (repetitions->next + 1) % (RATE_MAX + 1);
		too_often |= oldest && now - oldest < RATE_SPAN_MS;
	}
	repetitions->count = count;
	return too_often;
}

static void report(struct cell_stays *stays, struct stay *stay,
		   const char *rule)
{
	if (stay->reported)
		return;
	stay->reported = true;
	stays->violation(stays->ctx, rule, stay->name);
}

/* What bounds a state: the rule that is broken when @max_ms are over. */
static const char *rule_of(int64_t *max_ms, int state)
{
	*max_ms = LEASE_MAX_MS;
	switch (state) {
	case ZR_TASK_PLACED:
		*max_ms = PLACED_MAX_MS;
		return "PLACED";
	case ZR_TASK_STARTING:
		return "STARTING";
	case ZR_TASK_UNCONFIRMED:
		return "UNSURE";
	case ZR_TASK_STOPPING:
		*max_ms = STOPPING_MAX_MS;
		return "STOPPING";
	default:
		return NULL;
	}
}

static bool is_silent(const struct zr_cell_scheduler *scheduler,
		      const struct zr_cell_task *task, const struct stay *stay,
		      int64_t now)
{
	const struct zr_cell_worker *worker =
		zr_cell_worker(&scheduler->term.model, task->worker);

	return task->state == ZR_TASK_RUNNING &&
	       now - stay->since > LEASE_MAX_MS &&
	       now - worker->responded_at > LEASE_MAX_MS;
}

static void check_task(struct cell_stays *stays,
		       const struct zr_cell_scheduler *scheduler,
		       struct zr_cell_ref ref, int64_t now)
{
	const struct zr_cell_job *job =
		zr_cell_job(&scheduler->term.model, ref.job);
	const struct zr_cell_task *task = &job->tasks[ref.task];
	char name[NAME_BYTES];
	struct stay *stay;
	const char *rule;
	int64_t max_ms;

	snprintf(name, sizeof(name), "%s.%" PRIu32, job->id, ref.task);
	stay = find_stay(stays, name, now);
	/* What was repeated before is not known. */
	if (stay->state < 0)
		stay->stops.count = task->stops;
	if (stay->state != task->state || stay->attempt != task->attempt) {
		stay->state = task->state;
		stay->since = now;
	}
	if (stay->attempt && stay->attempt < task->attempt &&
	    is_too_often(&stay->starts, stay->starts.count + 1, now))
		report(stays, stay, "STARTS");
	if (stay->attempt && stay->attempt != task->attempt)
		stay->stops = (struct repetitions){0};
	stay->attempt = task->attempt;
	if (is_too_often(&stay->stops, task->stops, now))
		report(stays, stay, "STOPS");
	rule = rule_of(&max_ms, task->state);
	if (rule && now - stay->since > max_ms)
		report(stays, stay, rule);
	if (is_silent(scheduler, task, stay, now))
		report(stays, stay, "RUNNING");
}

/* Polls that fail are repeated with a pause too. */
static void check_worker(struct cell_stays *stays,
			 const struct zr_cell_worker *worker, int64_t now)
{
	char name[NAME_BYTES];
	struct stay *stay;

	snprintf(name, sizeof(name), "worker %s", worker->report.name);
	stay = find_stay(stays, name, now);
	if (stay->state < 0 || worker->failed_polls < stay->stops.count)
		stay->stops =
			(struct repetitions){.count = worker->failed_polls};
	stay->state = 0;
	if (is_too_often(&stay->stops, worker->failed_polls, now))
		report(stays, stay, "POLLS");
}

/* Tasks that wait and may be placed on the worker now. */
static uint32_t count_startable(const struct zr_cell_job *job,
				const struct zr_cell_step_state *step,
				const struct zr_cell_worker *worker,
				int64_t now)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = step->first_task; i < step->first_task + step->spec->count;
	     i++) {
		const struct zr_cell_task *task = &job->tasks[i];

		count += task->state == ZR_TASK_WAITING &&
			 task->suspicion == ZR_SUSPECT_NOT &&
			 now >= task->retry_at &&
			 (now >= task->avoided_until ||
			  task->avoided_worker != worker->self);
	}
	return count;
}

/* How many times a need fits into what a worker has free. */
static uint32_t count_fits(const struct zr_cell_worker *worker,
			   const struct zr_cell_step_spec *spec)
{
	struct zr_resources free = zr_cell_worker_free_resources(worker);
	uint32_t need = spec->need.millicpus;
	uint32_t fits = need ? free.millicpus / need : UINT16_MAX;

	return spec->max_per_worker && fits > spec->max_per_worker
		       ? spec->max_per_worker
		       : fits;
}

static bool has_label(const struct zr_cell_worker *worker, const char *label)
{
	const char *each = worker->report.labels;

	while (*each && strcmp(each, label))
		each += strlen(each) + 1;
	return !*label || *each;
}

/*
 * Whether the step could start: twice what it may start fits into what is free,
 * and less than half of the pool is in use.
 */
static bool has_capacity(struct zr_cell_scheduler *scheduler,
			 const struct zr_cell_job *job,
			 const struct zr_cell_step_state *step, int64_t now)
{
	uint32_t wanted =
		step->spec->flags & ZR_STEP_GANG ? step->spec->count : 1;
	struct zr_cell_worker *worker;
	struct zr_cell_worker *next;
	uint64_t capacity = 0;
	uint64_t used = 0;
	uint32_t fits = 0;

	HASH_ITER (hh, scheduler->term.model.worker_by_name, worker, next) {
		if (!worker->registered ||
		    strcmp(worker->report.pool, job->terms.pool))
			continue;
		capacity += worker->report.capacity.millicpus;
		used += worker->used_millicpus;
		if (!worker->isolated_runs &&
		    has_label(worker, step->spec->label) &&
		    zr_cell_worker_accepts_tasks(scheduler, worker, now) &&
		    count_startable(job, step, worker, now) >= wanted)
			fits += count_fits(worker, step->spec);
	}
	return fits >= 2 * wanted && 2 * used < capacity;
}

static bool is_within_limit(const struct zr_cell_scheduler *scheduler,
			    const struct zr_cell_job *job,
			    const struct zr_cell_step_state *step)
{
	const struct zr_cell_client_state *client =
		zr_cell_client(&scheduler->term.model, job->client);
	uint32_t tasks =
		step->spec->flags & ZR_STEP_GANG ? step->spec->count : 1;
	uint64_t need = (uint64_t)tasks * step->spec->need.millicpus;

	return !client->limit.millicpus ||
	       (2 * client->used_millicpus < client->limit.millicpus &&
		client->used_millicpus + need <= client->limit.millicpus);
}

/* Whether a step waits although it could start. */
static bool is_kept_waiting(struct zr_cell_scheduler *scheduler,
			    const struct zr_cell_job *job,
			    const struct zr_cell_step_state *step, int64_t now)
{
	return step->waiting && now >= step->ready_at && !job->active_tasks &&
	       !job->terms.advised && !zr_cell_job_has_ended(job) &&
	       scheduler->config && !scheduler->releasing &&
	       !scheduler->term.hand_over_deadline_at &&
	       zr_cell_is_owner(scheduler) &&
	       is_within_limit(scheduler, job, step) &&
	       has_capacity(scheduler, job, step, now);
}

static void check_waiting(struct cell_stays *stays,
			  struct zr_cell_scheduler *scheduler,
			  const struct zr_cell_job *job,
			  const struct zr_cell_step_state *step, int64_t now)
{
	char name[NAME_BYTES];
	struct stay *stay;

	snprintf(name, sizeof(name), "%s waiting step %td", job->id,
		 step - job->steps);
	stay = find_stay(stays, name, now);
	if (!is_kept_waiting(scheduler, job, step, now))
		stay->since = now;
	if (now - stay->since > WAITING_MAX_MS)
		report(stays, stay, "WAITING");
}

static void check_step(struct cell_stays *stays, const struct zr_cell_job *job,
		       const struct zr_cell_step_state *step, int64_t now)
{
	char name[NAME_BYTES];
	struct stay *stay;

	snprintf(name, sizeof(name), "%s step %td", job->id, step - job->steps);
	stay = find_stay(stays, name, now);
	if (!step->pending_queries)
		stay->since = now;
	if (now - stay->since > QUERY_MAX_MS)
		report(stays, stay, "QUERY");
}

void cell_stays_check(struct cell_stays *stays,
		      struct zr_cell_scheduler *scheduler)
{
	int64_t now = zr_cell_now_ms(scheduler);
	struct zr_cell_worker *worker;
	struct zr_cell_worker *next;
	const struct zr_cell_step_state *step;
	size_t i;

	if (scheduler->phase != ZR_CELL_ACTIVE ||
	    scheduler->term.number != stays->term)
		cell_stays_forget(stays);
	stays->term = scheduler->term.number;
	if (scheduler->phase != ZR_CELL_ACTIVE)
		return;
	HASH_ITER (hh, scheduler->term.model.worker_by_name, worker, next) {
		check_worker(stays, worker, now);
		for (i = 0; i < worker->run_count; i++)
			check_task(stays, scheduler, worker->runs[i], now);
	}
	for (step = scheduler->term.model.ready; step; step = step->next) {
		const struct zr_cell_job *job =
			zr_cell_job(&scheduler->term.model, step->job);

		check_step(stays, job, step, now);
		check_waiting(stays, scheduler, job, step, now);
	}
}

#include <stdarg.h>
#include <stdio.h>

#include "fakes/sched_model_private.h"

/* The invariants and the count of their violations. */

static const char *const rule_names[SCHED_MODEL_RULE_COUNT] = {
	[SCHED_MODEL_CAPACITY] = "capacity",
	[SCHED_MODEL_LIMIT] = "limit",
	[SCHED_MODEL_ONE_PLACE] = "one_place",
	[SCHED_MODEL_GANG] = "gang",
	[SCHED_MODEL_AT_MOST_ONCE] = "at_most_once",
	[SCHED_MODEL_LOST] = "lost",
	[SCHED_MODEL_WORKER] = "worker",
	[SCHED_MODEL_ENDED] = "ended",
	[SCHED_MODEL_REASON] = "reason",
};

const char *sched_model_rule_name(enum sched_model_rule rule)
{
	return rule_names[rule];
}

void sched_model_violation(struct sched_model *model,
			   enum sched_model_rule rule, const char *fmt, ...)
{
	char text[384];
	va_list args;

	if (model->violations[rule]++ || *model->first_violation)
		return;
	va_start(args, fmt);
	vsnprintf(text, sizeof(text), fmt, args);
	va_end(args);
	snprintf(model->first_violation, sizeof(model->first_violation),
		 "%s: %s (clock %lld ms)", rule_names[rule], text,
		 (long long)zr_time_to_ms(zr_clock_now(model->clock)));
}

unsigned int sched_model_rule_violations(const struct sched_model *model,
					 enum sched_model_rule rule)
{
	return model->violations[rule];
}

unsigned int sched_model_total_violations(const struct sched_model *model)
{
	unsigned int total = 0;
	int rule;

	for (rule = 0; rule < SCHED_MODEL_RULE_COUNT; rule++)
		total += model->violations[rule];
	return total;
}

const char *sched_model_first_violation(const struct sched_model *model)
{
	return model->first_violation;
}

/* The lower of two limits; 0 means no limit. */
static uint32_t min_limit(uint32_t a, uint32_t b)
{
	if (!a || !b)
		return a + b;
	return a < b ? a : b;
}

static struct zr_resources team_limit(const struct model_team *team)
{
	struct zr_resources limit = team->limit;

	if (!team->has_allotment)
		return limit;
	limit.millicpus = min_limit(limit.millicpus, team->allotment.millicpus);
	limit.memory_mb = min_limit(limit.memory_mb, team->allotment.memory_mb);
	limit.accelerators =
		min_limit(limit.accelerators, team->allotment.accelerators);
	return limit;
}

static bool exceeds(uint32_t used, uint32_t limit)
{
	return limit && used > limit;
}

static bool is_over_limit(const struct zr_resources *used,
			  const struct zr_resources *limit)
{
	return exceeds(used->millicpus, limit->millicpus) ||
	       exceeds(used->memory_mb, limit->memory_mb) ||
	       exceeds(used->accelerators, limit->accelerators);
}

static void check_limit(struct sched_model *model, const struct model_job *job,
			const struct zr_resources *more)
{
	struct zr_resources limit = team_limit(job->team);
	struct zr_resources used = job->team->used;

	zr_resources_add(&used, more);
	if (is_over_limit(&used, &limit))
		sched_model_violation(
			model, SCHED_MODEL_LIMIT,
			"team %s uses %u/%u/%u of %u/%u/%u with %s",
			job->team->name, used.millicpus, used.memory_mb,
			used.accelerators, limit.millicpus, limit.memory_mb,
			limit.accelerators, job->id);
}

static void check_capacity(struct sched_model *model,
			   const struct model_job *job,
			   const struct model_worker *worker,
			   const struct zr_resources *more)
{
	struct zr_resources used = worker->used;

	zr_resources_add(&used, more);
	if (!zr_resources_fit(&used, &worker->capacity))
		sched_model_violation(
			model, SCHED_MODEL_CAPACITY,
			"worker %s uses %u/%u/%u of %u/%u/%u with %s",
			worker->name, used.millicpus, used.memory_mb,
			used.accelerators, worker->capacity.millicpus,
			worker->capacity.memory_mb,
			worker->capacity.accelerators, job->id);
}

static void check_job(struct sched_model *model, const struct model_job *job)
{
	if (zr_job_state_is_final(job->state) || job->cancelled || job->held)
		sched_model_violation(model, SCHED_MODEL_ENDED,
				      "start of %s, which is %s", job->id,
				      job->held	       ? "held"
				      : job->cancelled ? "cancelled"
						       : "ended");
	if (job->kind == ZR_JOB_GANG && job->stopping)
		sched_model_violation(
			model, SCHED_MODEL_GANG,
			"start of %s while members are being stopped", job->id);
}

static bool check_task(struct sched_model *model, const struct model_job *job,
		       const struct zr_sched_task *decided)
{
	const struct model_task *task = &job->tasks[decided->index];

	if (task->may_have_begun)
		sched_model_violation(model, SCHED_MODEL_AT_MOST_ONCE,
				      "start of %s/%u, which may have begun",
				      job->id, decided->index);
	if (task->state != MODEL_WAITING) {
		sched_model_violation(model, SCHED_MODEL_ONE_PLACE,
				      "start of %s/%u, which runs or has ended",
				      job->id, decided->index);
		return false;
	}
	if (decided->attempt <= task->last_attempt)
		sched_model_violation(model, SCHED_MODEL_ONE_PLACE,
				      "attempt %u of %s/%u after attempt %u",
				      decided->attempt, job->id, decided->index,
				      task->last_attempt);
	return true;
}

bool sched_model_check_start(struct sched_model *model, struct model_job *job,
			     const struct zr_sched_task *decided)
{
	struct zr_resources more = sched_model_min_charge(job);
	struct model_worker *worker;

	check_job(model, job);
	if (!check_task(model, job, decided))
		return false;
	worker = sched_model_worker(model, decided->worker);
	if (!worker || worker->state != ZR_SCHED_WORKER_UP)
		sched_model_violation(
			model, SCHED_MODEL_WORKER,
			"start of %s/%u on worker %s, which is not up", job->id,
			decided->index, worker ? worker->name : "(unknown)");
	if (!worker)
		return false;
	if (!zr_resources_fit(&more, &decided->reserved))
		sched_model_violation(
			model, SCHED_MODEL_CAPACITY,
			"start of %s/%u reserves less than the task needs",
			job->id, decided->index);
	check_capacity(model, job, worker, &more);
	check_limit(model, job, &more);
	return true;
}

static void check_gang(struct sched_model *model, const struct model_job *job)
{
	uint32_t waiting = job->count - job->ended - job->running;

	if (job->kind != ZR_JOB_GANG || job->cancelled)
		return;
	if (waiting && job->running > job->stopping)
		sched_model_violation(model, SCHED_MODEL_GANG,
				      "%s runs %u members while %u wait",
				      job->id, job->running - job->stopping,
				      waiting);
}

static void check_job_end(struct sched_model *model,
			  const struct model_job *job)
{
	bool done = job->ended == job->count;

	if (zr_job_state_is_final(job->state))
		return;
	if (done || (job->cancelled && !job->running))
		sched_model_violation(
			model, SCHED_MODEL_LOST,
			"%s has not ended although no task is left", job->id);
}

static void check_lowered_limit(struct sched_model *model,
				struct model_team *team)
{
	int64_t now = zr_time_to_ms(zr_clock_now(model->clock));
	struct zr_resources limit = team_limit(team);
	struct zr_resources used = team->used;

	zr_resources_sub(&used, &team->stopping);
	if (!is_over_limit(&used, &limit)) {
		team->over_since_ms = 0;
		return;
	}
	if (now - team->over_since_ms <= SCHED_MODEL_LOWERED_MS)
		return;
	team->over_since_ms = now;
	sched_model_violation(model, SCHED_MODEL_LIMIT,
			      "team %s stays over its lowered limit",
			      team->name);
}

void sched_model_check_decisions(struct sched_model *model)
{
	struct model_job *job;
	struct model_job *next;
	struct model_team *team;
	struct model_team *next_team;

	DL_FOREACH_SAFE2(model->changed_jobs, job, next, changed_next)
	{
		check_gang(model, job);
		check_job_end(model, job);
		job->changed = false;
		DL_DELETE2(model->changed_jobs, job, changed_prev,
			   changed_next);
	}
	HASH_ITER (hh, model->teams, team, next_team) {
		if (team->over_since_ms)
			check_lowered_limit(model, team);
	}
}

void sched_model_check_drained(struct sched_model *model)
{
	struct model_job *job;
	struct model_job *next;

	HASH_ITER (hh, model->jobs, job, next) {
		if (job->kind == ZR_JOB_SERVICE ||
		    job->state == ZR_JOB_PARKED ||
		    zr_job_state_is_final(job->state))
			continue;
		sched_model_violation(model, SCHED_MODEL_LOST,
				      "%s has neither ended nor is parked: %u "
				      "of %u tasks run, %u have ended",
				      job->id, job->running, job->count,
				      job->ended);
	}
}

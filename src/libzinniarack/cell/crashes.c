#include <inttypes.h>

#include "cell/plan.h"
#include "zinniarack/log.h"

/*
 * A task can crash each worker that starts it, and with the worker the runs of
 * other jobs end. When a worker crashes, this finds the runs that may have
 * caused it and counts the crash for them. Those that had only just started are
 * suspects: they run apart next, on a worker without runs of other jobs, so
 * that a second crash shows which job is the cause and costs no other job a
 * run. A job is given up when a worker crashes under a task that runs apart and
 * has crashed another worker before.
 *
 * A worker that does not respond may also be cut off or stopped, so a crash is
 * known only when the worker is back without its runs, or another one uses its
 * address. If that never happens, the runs end with their lease. If the worker
 * goes on to renew its registration, it has not crashed; otherwise the crash is
 * possible.
 *
 * A run whose start was not confirmed may never have been there: the response
 * to the start was lost, or an earlier scheduler has persisted the placement
 * and has not reported what followed. If its worker has restarted since, the
 * crash is possible. Possible crashes are counted apart, and give up a task
 * only if they are so many that a task which is not the cause hardly gets them.
 */

/*
 * A run that was running for this long when its worker last responded has not
 * crashed the worker by its start.
 */
#define SETTLED_MS 100
/*
 * If a worker stops responding this soon after a start was sent, the run has
 * not ended before, unless it is short. Less than the timeout of a request, so
 * that only a connection that breaks is noticed in time.
 */
#define CERTAIN_MS 300
/*
 * A task is given up at CERTAIN_CRASHES if it runs apart. If fewer are certain,
 * or if it runs beside other jobs, this takes more crashes; without both, more
 * still.
 */
#define CERTAIN_CRASHES 2
#define UNCERTAIN_CRASHES 3
#define SHARED_UNCERTAIN_CRASHES 5
/*
 * Number of crashes, possible ones included, at which a task is given up in any
 * case. After three crashes a task may be started twice more.
 */
#define ALL_CRASHES 5
/* Number of crashes after which a task is a suspect in any case. */
#define SUSPECT_CRASHES 2
/*
 * The same with possible ones. The runs of a whole failure domain have one such
 * crash in common if it is cut off while the owner changes.
 */
#define SUSPECT_ALL_CRASHES 3

/*
 * A registration that was renewed this long after a worker stopped responding
 * was written by a worker that has not crashed. The last one before a crash may
 * arrive later than the crash is noticed.
 */
#define ALIVE_MS 2000

/* How it is known that a worker has crashed. */
enum crash_knowledge {
	CRASH_ASSUMED,	 /* the leases of its runs have expired */
	CRASH_RESTARTED, /* its next incarnation is known */
	CRASH_REPLACED,	 /* another worker uses its address */
};

/* When the worker stopped responding; now if no request has failed. */
static int64_t silence_began_at(const struct zr_cell_scheduler *scheduler,
				const struct zr_cell_worker *worker)
{
	int64_t now = zr_cell_now_ms(scheduler);

	return worker->silent_since < now ? worker->silent_since : now;
}

/* Whether the start was sent while the worker responded. */
static bool may_have_started(const struct zr_cell_task *entry,
			     int64_t silent_since)
{
	return entry->state != ZR_TASK_PLACED && entry->sent_at <= silent_since;
}

/* The age of a run of an earlier scheduler is not known, so it is not fresh. */
static bool is_fresh(const struct zr_cell_task *entry,
		     const struct zr_cell_worker *worker)
{
	if (!entry->sent_at)
		return false;
	return !entry->started_at ||
	       worker->responded_at - entry->started_at < SETTLED_MS;
}

/* Whether the run was running when the worker stopped responding. */
static bool is_certain(const struct zr_cell_job *job, uint32_t task,
		       int64_t silent_since)
{
	const struct zr_cell_task *entry = &job->tasks[task];
	uint32_t estimate_ms = zr_cell_task_step(job, task)->spec->estimate_ms;
	int64_t max_age_ms = CERTAIN_MS;

	if (estimate_ms && estimate_ms / 2 < max_age_ms)
		max_age_ms = estimate_ms / 2;
	return entry->sent_at && entry->started_at &&
	       silent_since - entry->sent_at <= max_age_ms;
}

/*
 * Whether the run may have ended before the worker crashed, which it did before
 * @until: its end is not known if the worker did not respond any more.
 * Estimates are rough.
 */
static bool may_have_ended(const struct zr_cell_job *job, uint32_t task,
			   int64_t until)
{
	const struct zr_cell_task *entry = &job->tasks[task];
	uint32_t estimate_ms = zr_cell_task_step(job, task)->spec->estimate_ms;

	return estimate_ms && until - entry->started_at > estimate_ms / 2;
}

/*
 * Whether all runs that may have started are of the same job; with @fresh, all
 * of them that are fresh.
 */
static bool has_one_job(const struct zr_cell_model *model,
			const struct zr_cell_worker *worker,
			int64_t silent_since, bool fresh)
{
	zr_handle job = ZR_HANDLE_NONE;
	size_t i;

	for (i = 0; i < worker->run_count; i++) {
		struct zr_cell_ref ref = worker->runs[i];
		const struct zr_cell_task *entry =
			&zr_cell_job(model, ref.job)->tasks[ref.task];

		if (!may_have_started(entry, silent_since) ||
		    (fresh && !is_fresh(entry, worker)))
			continue;
		if (job && job != ref.job)
			return false;
		job = ref.job;
	}
	return true;
}

/* Whether a run was placed on, or seen on, another incarnation of a worker. */
static bool is_of_other_incarnation(const struct zr_cell_task *entry,
				    const struct zr_cell_worker *worker)
{
	return entry->incarnation &&
	       entry->incarnation != (uint32_t)worker->report.incarnation;
}

/*
 * A start that was not confirmed may not have arrived, and a worker of which
 * only the leases have expired may be cut off.
 */
static uint32_t count_flag(const struct zr_cell_job *job, uint32_t task,
			   enum crash_knowledge knowledge, int64_t until)
{
	return job->tasks[task].started_at && knowledge != CRASH_ASSUMED &&
			       !may_have_ended(job, task, until)
		       ? ZR_CRASH_COUNTED
		       : ZR_CRASH_POSSIBLE;
}

/* Whether a worker that does not respond has renewed its registration since. */
static bool is_alive(const struct zr_cell_worker *worker)
{
	return worker->silent_since != ZR_CELL_NEVER &&
	       worker->registered_at - worker->silent_since > ALIVE_MS;
}

/* Whether it is not known if an earlier scheduler has started the run. */
static bool is_unproven(const struct zr_cell_task *entry)
{
	return !entry->sent_at && !entry->started_at;
}

/* Notes what a crash says about each run. Returns how many runs are fresh. */
static size_t note_evidence(struct zr_cell_scheduler *scheduler,
			    struct zr_cell_worker *worker,
			    enum crash_knowledge knowledge)
{
	struct zr_cell_model *model = &scheduler->term.model;
	int64_t silent_since = silence_began_at(scheduler, worker);
	bool apart = has_one_job(model, worker, silent_since, false);
	bool fresh_apart = has_one_job(model, worker, silent_since, true);
	bool known = knowledge != CRASH_ASSUMED;
	/* A worker that is only cut off goes on with its runs meanwhile. */
	int64_t until = worker->silence_broke ? silent_since
					      : zr_cell_now_ms(scheduler);
	size_t fresh = 0;
	size_t i;

	for (i = 0; i < worker->run_count; i++) {
		struct zr_cell_ref ref = worker->runs[i];
		struct zr_cell_job *job = zr_cell_job(model, ref.job);
		struct zr_cell_task *entry = &job->tasks[ref.task];
		uint32_t evidence = count_flag(job, ref.task, knowledge, until);

		if (entry->crash_evidence ||
		    !may_have_started(entry, silent_since))
			continue;
		/* It was placed after the restart, by an earlier scheduler. */
		if (knowledge == CRASH_RESTARTED && entry->incarnation &&
		    !is_of_other_incarnation(entry, worker))
			continue;
		if (is_fresh(entry, worker)) {
			fresh++;
			if (known)
				evidence |= ZR_CRASH_SUSPECT;
			if (fresh_apart)
				evidence |= ZR_CRASH_APART;
		} else if (!known && !is_unproven(entry)) {
			continue;
		}
		if (apart)
			evidence |= ZR_CRASH_APART;
		if (known && is_certain(job, ref.task, silent_since))
			evidence |= ZR_CRASH_CERTAIN;
		entry->crash_evidence = evidence;
	}
	return fresh;
}

void zr_cell_worker_crashed(struct zr_cell_scheduler *scheduler,
			    struct zr_cell_worker *worker, bool replaced)
{
	size_t fresh = note_evidence(
		scheduler, worker, replaced ? CRASH_REPLACED : CRASH_RESTARTED);

	scheduler->crashes->value++;
	zr_log_decision("worker.crashed worker=%s reason=%s runs=%zu "
			"fresh=%zu silent_ms=%" PRId64,
			worker->report.name,
			replaced ? "replaced" : "restarted", worker->run_count,
			fresh,
			zr_cell_now_ms(scheduler) -
				silence_began_at(scheduler, worker));
}

void zr_cell_worker_lost(struct zr_cell_scheduler *scheduler,
			 struct zr_cell_worker *worker)
{
	if (!is_alive(worker))
		note_evidence(scheduler, worker, CRASH_ASSUMED);
}

void zr_cell_crash_run_missing(const struct zr_cell_scheduler *scheduler,
			       const struct zr_cell_worker *worker,
			       struct zr_cell_job *job, uint32_t task)
{
	struct zr_cell_task *entry = &job->tasks[task];
	int64_t until = zr_cell_now_ms(scheduler);

	/* The worker has responded by now. */
	if (worker->last_silent_since > entry->started_at &&
	    worker->last_silence_broke)
		until = worker->last_silent_since;
	if (!entry->crash_evidence && is_of_other_incarnation(entry, worker))
		entry->crash_evidence =
			count_flag(job, task, CRASH_RESTARTED, until);
}

/* Whether a crash that counts, rather than a possible one, gives up a task. */
static bool is_given_up(const struct zr_cell_task *entry, bool apart)
{
	bool certain = entry->certain_crashes >= CERTAIN_CRASHES;

	if (apart && certain)
		return true;
	if (apart || certain)
		return entry->crashes >= UNCERTAIN_CRASHES;
	return entry->crashes >= SHARED_UNCERTAIN_CRASHES;
}

static enum zr_suspicion next_suspicion(const struct zr_cell_task *entry,
					uint32_t evidence)
{
	if (evidence & ZR_CRASH_SUSPECT)
		return ZR_SUSPECT_AT_START;
	if (entry->crashes >= SUSPECT_CRASHES ||
	    entry->crashes + entry->possible_crashes >= SUSPECT_ALL_CRASHES)
		return ZR_SUSPECT_ALWAYS;
	return entry->suspicion;
}

bool zr_cell_crash_charge(struct zr_cell_job *job, struct zr_cell_task *entry)
{
	uint32_t evidence = entry->crash_evidence;
	bool lasting = zr_cell_step_is_lasting(
		zr_cell_task_step(job, (uint32_t)(entry - job->tasks)));
	bool given_up;

	if (!evidence)
		return false;
	entry->crash_evidence = 0;
	if (evidence & ZR_CRASH_COUNTED)
		entry->crashes++;
	if (evidence & ZR_CRASH_CERTAIN)
		entry->certain_crashes++;
	if (evidence & ZR_CRASH_POSSIBLE)
		entry->possible_crashes++;
	entry->suspicion = next_suspicion(entry, evidence);
	job->has_suspects |= entry->suspicion != ZR_SUSPECT_NOT;
	/* A long-running task is started again however it ends. */
	given_up = !lasting &&
		   (entry->crashes + entry->possible_crashes >= ALL_CRASHES ||
		    (evidence & ZR_CRASH_COUNTED &&
		     is_given_up(entry, evidence & ZR_CRASH_APART)));
	zr_log_decision(
		"task.crashed_worker job=%s task=%td attempt=%" PRIu32
		" crashes=%" PRIu32 " certain=%" PRIu32 " possible=%" PRIu32
		" apart=%d suspicion=%d given_up=%d",
		job->id, entry - job->tasks, entry->attempt, entry->crashes,
		entry->certain_crashes, entry->possible_crashes,
		(evidence & ZR_CRASH_APART) != 0, entry->suspicion, given_up);
	return given_up;
}

/* Whether a run that may crash its worker by its start has not done so. */
static bool is_settled(const struct zr_cell_task *entry, int64_t now)
{
	return entry->isolated && entry->started_at &&
	       entry->suspicion == ZR_SUSPECT_AT_START &&
	       now - entry->started_at >= SETTLED_MS;
}

void zr_cell_crash_run_seen(struct zr_cell_scheduler *scheduler,
			    struct zr_cell_worker *worker,
			    struct zr_cell_job *job, uint32_t task)
{
	struct zr_cell_task *entry = &job->tasks[task];

	entry->crash_evidence = 0;
	entry->incarnation = (uint32_t)worker->report.incarnation;
	if (!is_settled(entry, zr_cell_now_ms(scheduler)))
		return;
	entry->suspicion = ZR_SUSPECT_NOT;
	zr_cell_worker_end_isolation(worker, entry);
	zr_log_decision("task.cleared job=%s task=%" PRIu32 " worker=%s",
			job->id, task, worker->report.name);
	zr_cell_schedule_plan(scheduler);
}

void zr_cell_crash_process(struct zr_cell_scheduler *scheduler,
			   struct zr_cell_worker *worker)
{
	int64_t now = zr_cell_now_ms(scheduler);
	bool has_settled = false;
	size_t i;

	if (!worker->isolated_runs)
		return;
	for (i = 0; i < worker->run_count; i++) {
		struct zr_cell_ref ref = worker->runs[i];
		struct zr_cell_task *entry =
			&zr_cell_job(&scheduler->term.model, ref.job)
				 ->tasks[ref.task];

		if (entry->settle_polled || !is_settled(entry, now))
			continue;
		entry->settle_polled = true;
		has_settled = true;
	}
	if (has_settled)
		zr_cell_poll_extra(scheduler, worker);
}

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "domain/convert.h"
#include "domain/private.h"
#include "zinniarack/errors.h"
#include "zinniarack/log.h"

/*
 * New jobs with an idempotency key are rejected while more ended jobs with one
 * than this are retained, as those must not be removed before
 * DOMAIN_RETAIN_KEYED_MS has passed.
 */
#define RETAIN_KEYED_JOBS_MAX 50000
/* Bits of a job number for the sequence number; the epoch is above them. */
#define SEQUENCE_BITS 32

/* Jobs */

struct domain_job *zr_domain_job_new(struct zr_domain *domain, uint64_t number,
				     const struct zr_job_spec *spec)
{
	struct domain_job *job = calloc(1, sizeof(*job));

	if (!job)
		abort();
	job->domain = domain;
	job->number = number;
	job->spec = *spec;
	job->spec.command = strdup(spec->command);
	job->reason = strdup("accepted");
	job->result = "";
	job->placements = calloc(spec->tasks, sizeof(*job->placements));
	if (!job->spec.command || !job->reason || !job->placements)
		abort();
	job->unsent = true;
	domain->unsent_count++;
	snprintf(job->id, sizeof(job->id), "%s-%" PRIu64 "-%" PRIu64,
		 domain->name, number >> SEQUENCE_BITS, number & UINT32_MAX);
	HASH_ADD(hh, domain->jobs, number, sizeof(job->number), job);
	if (*job->spec.idempotency_key)
		HASH_ADD_KEYPTR(hh_key, domain->jobs_by_key,
				job->spec.idempotency_key,
				strlen(job->spec.idempotency_key), job);
	return job;
}

struct domain_job *zr_domain_job_find(const struct zr_domain *domain,
				      uint64_t number)
{
	struct domain_job *job;

	HASH_FIND(hh, domain->jobs, &number, sizeof(number), job);
	return job;
}

struct domain_job *zr_domain_job_find_by_id(const struct zr_domain *domain,
					    const char *id)
{
	size_t length = strlen(domain->name);
	struct domain_job *job;
	uint64_t epoch;
	uint64_t sequence;
	char *end;

	if (strncmp(id, domain->name, length) || id[length] != '-')
		return NULL;
	epoch = strtoull(id + length + 1, &end, 10);
	if (*end != '-')
		return NULL;
	sequence = strtoull(end + 1, &end, 10);
	job = zr_domain_job_find(domain, epoch << SEQUENCE_BITS | sequence);
	return job && !strcmp(job->id, id) ? job : NULL;
}

zr_handle zr_domain_job_handle(const struct zr_domain *domain, const char *id)
{
	const struct domain_job *job = zr_domain_job_find_by_id(domain, id);

	return job ? job->handle : ZR_HANDLE_NONE;
}

void zr_domain_job_mark_sent(struct domain_job *job)
{
	if (!job->unsent)
		return;
	job->unsent = false;
	job->domain->unsent_count--;
}

void zr_domain_job_set_result(struct domain_job *job, uint32_t index,
			      const char *result)
{
	struct domain_placement *placement = &job->placements[index];

	if (!*result)
		return;
	if (job->result == placement->result)
		job->result = "";
	free(placement->result);
	placement->result = strndup(result, ZX_RESULT_MAX);
	if (!placement->result)
		abort();
	job->result = placement->result;
}

int64_t zr_domain_wall_ms(const struct zr_domain *domain)
{
	const struct zr_clock *clock = domain->options.clock;

	return zr_time_to_ms(clock->realtime(clock->ctx));
}

/* Reading and waiting */

static struct zr_domain_result *collect_results(uint32_t *count,
						const struct domain_job *job)
{
	struct zr_domain_result *results =
		calloc(job->spec.tasks, sizeof(*results));
	uint32_t i;

	if (!results)
		abort();
	for (i = 0; i < job->spec.tasks; i++) {
		const struct domain_placement *placement = &job->placements[i];

		if (!placement->ended)
			continue;
		results[*count].index = i;
		results[*count].succeeded = placement->succeeded;
		results[*count].result =
			placement->result ? placement->result : "";
		(*count)++;
	}
	return results;
}

static uint32_t count_succeeded(const struct domain_job *job)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < job->spec.tasks; i++)
		count += job->placements[i].succeeded;
	return count;
}

static void fill_view(struct zr_domain_job_info *view,
		      const struct domain_job *job)
{
	struct zr_sched_job_info info = {0};

	view->id = job->id;
	view->spec = &job->spec;
	view->state = job->final_state;
	view->reason = job->reason;
	view->result = job->result;
	if (job->handle)
		zr_sched_job_info(&info, job->domain->sched, job->handle);
	view->running = info.running;
	view->ended = job->final_persisted ? count_succeeded(job) : info.ended;
	if (job->final_persisted || !info.id)
		return;
	view->reason = info.reason;
	view->state =
		zr_job_state_is_final(info.state) ? ZR_JOB_RUNNING : info.state;
}

static void call_with_view(const struct domain_job *job, zr_domain_job_fn done,
			   void *ctx)
{
	struct zr_domain_job_info view = {0};
	struct zr_domain_result *results =
		collect_results(&view.result_count, job);

	fill_view(&view, job);
	view.results = results;
	done(ctx, 0, &view);
	free(results);
}

static void answer_waiter(struct domain_waiter *waiter, int error)
{
	DL_DELETE(waiter->job->waiters, waiter);
	if (error < 0)
		waiter->done(waiter->ctx, error, NULL);
	else
		call_with_view(waiter->job, waiter->done, waiter->ctx);
	zr_timer_free(waiter->timer);
	free(waiter);
}

static void answer_waiters(struct domain_job *job, int error)
{
	struct domain_waiter *waiter;
	struct domain_waiter *next;

	DL_FOREACH_SAFE(job->waiters, waiter, next)
	{
		answer_waiter(waiter, error);
	}
}

static void on_wait_timeout(void *ctx)
{
	answer_waiter(ctx, 0);
}

static void add_waiter(struct domain_job *job, unsigned int wait_ms,
		       zr_domain_job_fn done, void *ctx)
{
	struct domain_waiter *waiter = calloc(1, sizeof(*waiter));

	if (!waiter)
		abort();
	waiter->job = job;
	waiter->done = done;
	waiter->ctx = ctx;
	waiter->timer = zr_timer_new(job->domain->options.timers,
				     on_wait_timeout, waiter);
	zr_timer_start(waiter->timer, wait_ms, 0);
	DL_APPEND(job->waiters, waiter);
}

static int find_for_team(struct domain_job **out,
			 const struct zr_domain *domain, const char *id,
			 const char *team)
{
	struct domain_job *found;

	if (!domain->epoch || !domain->loaded) {
		zr_error_set(ZR_E_NOT_OWNER,
			     "this scheduler does not own the failure domain");
		return ZR_E_NOT_OWNER;
	}
	found = zr_domain_job_find_by_id(domain, id);
	if (!found || (*team && strcmp(found->spec.team, team))) {
		zr_error_set(ZR_E_NOT_FOUND, "job '%s' does not exist", id);
		return ZR_E_NOT_FOUND;
	}
	*out = found;
	return 0;
}

void zr_domain_read(struct zr_domain *domain, const char *id, const char *team,
		    unsigned int wait_ms, zr_domain_job_fn done, void *ctx)
{
	struct domain_job *job = NULL;
	int error = find_for_team(&job, domain, id, team);

	if (error < 0)
		done(ctx, error, NULL);
	else if (wait_ms && !job->final_persisted)
		add_waiter(job, wait_ms, done, ctx);
	else
		call_with_view(job, done, ctx);
}

void zr_domain_for_each_job(struct zr_domain *domain, const char *team,
			    zr_domain_job_fn each, void *ctx)
{
	struct domain_job *job;
	struct domain_job *next;

	HASH_ITER (hh, domain->jobs, job, next) {
		struct zr_domain_job_info view = {0};

		if (*team && strcmp(job->spec.team, team))
			continue;
		fill_view(&view, job);
		each(ctx, 0, &view);
	}
}

void zr_domain_for_each_replica(
	struct zr_domain *domain,
	void (*each)(void *ctx, const struct zr_domain_replica *replica),
	void *ctx)
{
	struct domain_job *job;
	struct domain_job *next;
	uint32_t i;

	HASH_ITER (hh, domain->jobs, job, next) {
		struct zr_domain_replica replica = {job->spec.name, NULL};

		if (job->spec.kind != ZR_JOB_SERVICE)
			continue;
		for (i = 0; i < job->spec.tasks; i++) {
			replica.host = zr_fleet_host(domain->fleet,
						     job->placements[i].worker);
			if (job->placements[i].worker && replica.host)
				each(ctx, &replica);
		}
	}
}

/* Removing jobs */

void zr_domain_job_remove(struct domain_job *job)
{
	struct zr_domain *domain = job->domain;
	uint32_t i;

	answer_waiters(job, ZR_E_NOT_OWNER);
	HASH_DELETE(hh, domain->jobs, job);
	if (*job->spec.idempotency_key)
		HASH_DELETE(hh_key, domain->jobs_by_key, job);
	zr_domain_job_mark_sent(job);
	if (job->final_persisted) {
		DL_DELETE2(domain->ended_jobs, job, ended_prev, ended_next);
		domain->ended_count--;
		domain->ended_keyed -= *job->spec.idempotency_key != 0;
	}
	for (i = 0; i < job->spec.tasks; i++)
		free(job->placements[i].result);
	zr_job_spec_clear(&job->spec);
	free(job->reason);
	free(job->placements);
	free(job);
}

void zr_domain_jobs_clear(struct zr_domain *domain)
{
	struct domain_job *job;
	struct domain_job *next;

	HASH_ITER (hh, domain->jobs, job, next)
		zr_domain_job_remove(job);
}

/* Ending and expiring jobs */

static bool is_expired(const struct domain_job *job, int64_t now_ms)
{
	int64_t retain_ms = *job->spec.idempotency_key ? DOMAIN_RETAIN_KEYED_MS
						       : DOMAIN_RETAIN_MS;

	if (job->ended_ms + retain_ms < now_ms)
		return true;
	return !*job->spec.idempotency_key &&
	       job->domain->ended_count - job->domain->ended_keyed >
		       DOMAIN_RETAIN_JOBS;
}

void zr_domain_jobs_remove_expired(struct zr_domain *domain)
{
	int64_t now_ms = zr_domain_wall_ms(domain);
	struct domain_job *job;
	struct domain_job *next;

	DL_FOREACH_SAFE2(domain->ended_jobs, job, next, ended_next)
	{
		if (!is_expired(job, now_ms))
			continue;
		zr_journal_remove_job(domain->journal, job->number);
		zr_domain_job_remove(job);
	}
}

void zr_domain_job_final_persisted(struct domain_job *job, int64_t ended_ms)
{
	struct zr_domain *domain = job->domain;

	job->final_persisted = true;
	job->ended_ms = ended_ms;
	zr_domain_job_mark_sent(job);
	DL_APPEND2(domain->ended_jobs, job, ended_prev, ended_next);
	domain->ended_count++;
	domain->ended_keyed += *job->spec.idempotency_key != 0;
	answer_waiters(job, 0);
	zr_sched_job_remove(domain->sched, job->handle);
	job->handle = ZR_HANDLE_NONE;
}

static void on_final_persisted(void *ctx, int error)
{
	struct domain_job *job = ctx;

	/* On an error the ownership has ended, and the job is freed. */
	if (!error)
		zr_domain_job_final_persisted(job, job->ended_ms);
}

void zr_domain_job_set_final(struct domain_job *job, enum zr_job_state state,
			     const char *reason)
{
	zx_record record = {.kind = ZX_RECORD_JOB_ENDED};
	zx_job_ended *ended = &record.zx_record_u.job_ended;

	/*
	 * During a replay, the core decides the end of a job again from the
	 * ends of its tasks. Do not persist that end a second time.
	 */
	if (job->final_persisted)
		return;
	job->final_state = state;
	free(job->reason);
	job->reason = strdup(reason);
	job->ended_ms = zr_domain_wall_ms(job->domain);
	ended->number = job->number;
	ended->state = state;
	ended->ended_ms = job->ended_ms;
	ended->reason = job->reason;
	zr_domain_persist(job->domain, &record, on_final_persisted, job);
}

void zr_domain_persist(struct zr_domain *domain, const zx_record *record,
		       zr_journal_done_fn done, void *ctx)
{
	if (zr_journal_append(domain->journal, ZR_JOURNAL_RETRY, record, done,
			      ctx) < 0)
		abort(); /* a field of the record exceeds its XDR bound */
}

/* Accepting jobs */

/* A submission in progress; @number is that of its job, once it has one. */
struct submission {
	struct zr_domain *domain;
	uint64_t number;
	zr_domain_submit_fn done;
	void *ctx;
};

int zr_domain_job_admit(struct domain_job *job)
{
	return zr_sched_job_add(&job->handle, job->domain->sched, job->id,
				&job->spec);
}

static void reject(struct submission *submission, int error)
{
	submission->domain->refused->value++;
	submission->done(submission->ctx, error, NULL);
	free(submission);
}

static void on_accepted_persisted(void *ctx, int error)
{
	struct submission *submission = ctx;
	struct zr_domain *domain = submission->domain;
	struct domain_job *job;

	job = zr_domain_job_find(domain, submission->number);
	if (error < 0 || !job) {
		if (job)
			zr_domain_job_remove(job);
		reject(submission, error < 0 ? error : ZR_E_OUTCOME_UNKNOWN);
		return;
	}
	domain->accepted->value++;
	submission->done(submission->ctx, 0, job->id);
	free(submission);
	if (zr_domain_job_admit(job) < 0)
		zr_log(ZR_LOG_ERROR, "job.not_admitted job=%s", job->id);
	zr_domain_decide(domain);
}

/* A limit of 0 means no limit. */
static bool is_within(uint32_t limit, uint32_t size)
{
	return !limit || size <= limit;
}

/*
 * Whether a task fits the team's limit in the whole cluster. A task that only
 * exceeds the allotment of this domain waits until the allotment has grown.
 */
static bool task_within_limit(const struct zr_domain *domain,
			      const struct zr_job_spec *spec)
{
	const struct zr_config_team *team =
		zr_config_find_team(domain->config, spec->team);

	return team && is_within(team->limit.millicpus, spec->size.millicpus) &&
	       is_within(team->limit.memory_mb, spec->size.memory_mb) &&
	       is_within(team->limit.accelerators, spec->size.accelerators);
}

/* Fails unless this process owns the domain and has loaded all its jobs. */
static int check_active(const struct zr_domain *domain)
{
	if (!domain->epoch || !domain->loaded)
		return zr_error_set(
			ZR_E_NOT_OWNER,
			"this scheduler does not own the failure domain");
	return 0;
}

static int check_submission(struct zr_domain *domain,
			    const struct zr_job_spec *spec)
{
	int error;

	if (domain->stop_done)
		return zr_error_set(ZR_E_SHUTTING_DOWN,
				    "this scheduler is handing the failure "
				    "domain over");
	/* A submission's outcome would be unknown until the store responds. */
	if (zr_owner_lease_state(domain->owner) != ZR_OWNER_LEASE_VALID)
		return zr_error_set(ZR_E_STORE_DOWN,
				    "the store has not responded recently");
	if (*spec->idempotency_key &&
	    domain->ended_keyed > RETAIN_KEYED_JOBS_MAX)
		return zr_error_set(ZR_E_FULL,
				    "too many idempotency keys are in use");
	if (!domain->config)
		return zr_error_set(ZR_E_STALE_CONFIG,
				    "no configuration has been applied yet");
	if (zr_config_is_evacuated(domain->config, domain->name))
		return zr_error_set(ZR_E_EVACUATED,
				    "failure domain '%s' is evacuated and "
				    "accepts no new jobs",
				    domain->name);
	error = zr_sched_job_check(domain->sched, spec);
	if (error == ZR_E_LIMIT && task_within_limit(domain, spec))
		return 0;
	/* A worker that is large enough may not have reported yet. */
	if (error == ZR_E_NEVER_FITS && domain->recovering)
		return zr_error_set(ZR_E_OVERLOADED,
				    "not all workers have reported since the "
				    "takeover");
	return error;
}

static struct domain_job *find_by_key(const struct zr_domain *domain,
				      const struct zr_job_spec *spec)
{
	struct domain_job *job = NULL;

	if (*spec->idempotency_key)
		HASH_FIND(hh_key, domain->jobs_by_key, spec->idempotency_key,
			  strlen(spec->idempotency_key), job);
	return job;
}

static void accept_job(struct zr_domain *domain, const struct zr_job_spec *spec,
		       struct submission *submission)
{
	zx_record record = {.kind = ZX_RECORD_ACCEPTED};
	zx_accepted *accepted = &record.zx_record_u.accepted;
	struct domain_job *job;
	int error;

	submission->number =
		domain->epoch << SEQUENCE_BITS | ++domain->next_sequence;
	accepted->number = submission->number;
	accepted->accepted_ms = zr_domain_wall_ms(domain);
	accepted->begun = domain->unsent_count < DOMAIN_EARLY_START_JOBS;
	zr_convert_spec_to_xdr(&accepted->spec, spec);
	job = zr_domain_job_new(domain, submission->number, spec);
	job->start_recorded = accepted->begun;
	error = zr_journal_append(domain->journal, ZR_JOURNAL_FAIL_FAST,
				  &record, on_accepted_persisted, submission);
	if (error < 0)
		on_accepted_persisted(submission, error);
}

/* A repeated submission gets the id of the job that the first one created. */
static void answer_repeated(struct submission *submission,
			    const struct domain_job *earlier,
			    const struct zr_job_spec *spec)
{
	if (strcmp(earlier->spec.team, spec->team)) {
		reject(submission, ZR_E_FORBIDDEN);
		return;
	}
	if (earlier->handle || earlier->final_persisted)
		submission->done(submission->ctx, 0, earlier->id);
	else
		submission->done(submission->ctx, ZR_E_OUTCOME_UNKNOWN, NULL);
	free(submission);
}

void zr_domain_submit(struct zr_domain *domain, const struct zr_job_spec *spec,
		      zr_domain_submit_fn done, void *ctx)
{
	struct submission *submission = calloc(1, sizeof(*submission));
	const struct domain_job *earlier = NULL;
	int error = check_active(domain);

	if (!submission)
		abort();
	submission->domain = domain;
	submission->done = done;
	submission->ctx = ctx;
	/*
	 * Look up the idempotency key before any check: a rejection says that
	 * the job won't run, which would be wrong if it was accepted before.
	 */
	if (!error)
		earlier = find_by_key(domain, spec);
	if (!error && !earlier)
		error = check_submission(domain, spec);
	if (error < 0)
		reject(submission, error);
	else if (earlier)
		answer_repeated(submission, earlier, spec);
	else
		accept_job(domain, spec, submission);
}

void zr_domain_cancel(struct zr_domain *domain, const char *id,
		      const char *team, zr_domain_job_fn done, void *ctx)
{
	struct domain_job *job = NULL;
	int error = find_for_team(&job, domain, id, team);

	if (!error)
		error = zr_sched_job_cancel(domain->sched, job->handle);
	if (error < 0) {
		done(ctx, error, NULL);
		return;
	}
	zr_domain_apply_decisions(domain);
	call_with_view(job, done, ctx);
}

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "domain/convert.h"
#include "domain/private.h"
#include "zinniarack/errors.h"
#include "zinniarack/log.h"

#define KEEP_RETRY_MS 500
#define SEQUENCE_BITS 32

/* Records */

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
	job->reason = "accepted";
	job->result = strdup("");
	job->placements = calloc(spec->tasks, sizeof(*job->placements));
	if (!job->spec.command || !job->result || !job->placements)
		abort();
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

static struct domain_job *find_id(const struct zr_domain *domain,
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

zr_handle zr_domain_handle(const struct zr_domain *domain, const char *id)
{
	const struct domain_job *job = find_id(domain, id);

	return job ? job->handle : ZR_HANDLE_NONE;
}

/* Reading and waiting */

static void show(const struct domain_job *job, zr_domain_job_fn done, void *ctx)
{
	struct zr_sched_job_info info = {0};
	struct zr_domain_job view = {
		.id = job->id,
		.spec = &job->spec,
		.state = job->final,
		.reason = job->reason,
		.result = job->result,
	};

	if (job->handle)
		zr_sched_job_info(&info, job->domain->sched, job->handle);
	view.running = info.running;
	view.ended = info.ended;
	if (!job->final_kept && info.id) {
		view.reason = info.reason;
		view.state = zr_job_state_final(info.state) ? ZR_JOB_RUNNING
							    : info.state;
	}
	done(ctx, 0, &view);
}

static void answer_waiter(struct domain_waiter *waiter, int error)
{
	DL_DELETE(waiter->job->waiters, waiter);
	if (error < 0)
		waiter->done(waiter->ctx, error, NULL);
	else
		show(waiter->job, waiter->done, waiter->ctx);
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

static void on_wait_over(void *ctx)
{
	answer_waiter(ctx, 0);
}

static void wait_for_end(struct domain_job *job, unsigned int wait_ms,
			 zr_domain_job_fn done, void *ctx)
{
	struct domain_waiter *waiter = calloc(1, sizeof(*waiter));

	if (!waiter)
		abort();
	waiter->job = job;
	waiter->done = done;
	waiter->ctx = ctx;
	waiter->timer =
		zr_timer_new(job->domain->options.timers, on_wait_over, waiter);
	zr_timer_start(waiter->timer, wait_ms, 0);
	DL_APPEND(job->waiters, waiter);
}

static int find_for_team(struct domain_job **out,
			 const struct zr_domain *domain, const char *id,
			 const char *team)
{
	struct domain_job *found;

	if (!domain->epoch) {
		zr_error_set(ZR_E_NOT_OWNER, "not active");
		return ZR_E_NOT_OWNER;
	}
	found = find_id(domain, id);
	if (!found || (*team && strcmp(found->spec.team, team))) {
		zr_error_set(ZR_E_NOT_FOUND, "no job '%s'", id);
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
	else if (wait_ms && !job->final_kept)
		wait_for_end(job, wait_ms, done, ctx);
	else
		show(job, done, ctx);
}

void zr_domain_each(struct zr_domain *domain, const char *team,
		    zr_domain_job_fn each, void *ctx)
{
	struct domain_job *job;
	struct domain_job *next;

	HASH_ITER (hh, domain->jobs, job, next) {
		if (!*team || !strcmp(job->spec.team, team))
			show(job, each, ctx);
	}
}

void zr_domain_replicas(struct zr_domain *domain,
			void (*each)(void *ctx,
				     const struct zr_domain_replica *replica),
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

/* Removal */

void zr_domain_job_remove(struct domain_job *job)
{
	struct zr_domain *domain = job->domain;

	answer_waiters(job, ZR_E_NOT_OWNER);
	HASH_DELETE(hh, domain->jobs, job);
	if (*job->spec.idempotency_key)
		HASH_DELETE(hh_key, domain->jobs_by_key, job);
	zr_job_spec_clear(&job->spec);
	free(job->result);
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

/* Keeping records */

struct kept {
	struct zr_domain *domain;
	uint64_t epoch;
	zx_record record;
	zr_journal_done_fn done;
	void *ctx;
	struct zr_timer *timer;
};

static void append(struct kept *kept);

static void free_kept(struct kept *kept)
{
	xdr_free((xdrproc_t)xdr_zx_record, (void *)&kept->record);
	zr_timer_free(kept->timer);
	free(kept);
}

static void on_retry(void *ctx)
{
	append(ctx);
}

static void on_kept(void *ctx, int error)
{
	struct kept *kept = ctx;

	if (error == ZR_E_STORE_DOWN) {
		zr_timer_start(kept->timer, KEEP_RETRY_MS, 0);
		return;
	}
	kept->done(kept->ctx, error);
	free_kept(kept);
}

static void append(struct kept *kept)
{
	struct zr_domain *domain = kept->domain;

	if (domain->epoch != kept->epoch) {
		on_kept(kept, ZR_E_NOT_OWNER);
		return;
	}
	if (zr_journal_append(domain->journal, &kept->record, on_kept, kept))
		zr_timer_start(kept->timer, KEEP_RETRY_MS, 0);
}

static int copy_record(zx_record *out, const zx_record *record)
{
	u_int size =
		(u_int)xdr_sizeof((xdrproc_t)xdr_zx_record, (void *)record);
	char *bytes = malloc(size);
	bool ok;
	XDR xdrs;

	if (!bytes)
		return ZR_E_NOMEM;
	xdrmem_create(&xdrs, bytes, size, XDR_ENCODE);
	ok = xdr_zx_record(&xdrs, (zx_record *)record);
	memset(out, 0, sizeof(*out));
	xdrmem_create(&xdrs, bytes, size, XDR_DECODE);
	ok = ok && xdr_zx_record(&xdrs, out);
	free(bytes);
	return ok ? 0 : ZR_E_PROTOCOL;
}

void zr_domain_keep(struct zr_domain *domain, const zx_record *record,
		    zr_journal_done_fn done, void *ctx)
{
	struct kept *kept = calloc(1, sizeof(*kept));

	if (!kept || copy_record(&kept->record, record) < 0)
		abort();
	kept->domain = domain;
	kept->epoch = domain->epoch;
	kept->done = done;
	kept->ctx = ctx;
	kept->timer = zr_timer_new(domain->options.timers, on_retry, kept);
	append(kept);
}

/* The end of a job */

void zr_domain_job_finished(struct domain_job *job)
{
	job->final_kept = true;
	answer_waiters(job, 0);
	zr_sched_job_forget(job->domain->sched, job->handle);
	job->handle = ZR_HANDLE_NONE;
}

static void on_end_kept(void *ctx, int error)
{
	/* Without ownership the record of the job is gone. */
	if (!error)
		zr_domain_job_finished(ctx);
}

void zr_domain_job_final(struct domain_job *job, enum zr_job_state state,
			 const char *reason)
{
	zx_record record = {.kind = ZX_RECORD_JOB_ENDED};
	zx_job_ended *ended = &record.zx_record_u.job_ended;

	job->final = state;
	job->reason = reason;
	ended->number = job->number;
	ended->state = state;
	ended->reason = (char *)reason;
	zr_domain_keep(job->domain, &record, on_end_kept, job);
}

/* Acceptance */

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

static void refuse(struct submission *submission, int error)
{
	submission->domain->refused->value++;
	submission->done(submission->ctx, error, NULL);
	free(submission);
}

static void on_accepted(void *ctx, int error)
{
	struct submission *submission = ctx;
	struct zr_domain *domain = submission->domain;
	struct domain_job *job;

	job = zr_domain_job_find(domain, submission->number);
	if (error < 0 || !job) {
		if (job)
			zr_domain_job_remove(job);
		refuse(submission, error < 0 ? error : ZR_E_OUTCOME_UNKNOWN);
		return;
	}
	domain->accepted->value++;
	submission->done(submission->ctx, 0, job->id);
	free(submission);
	if (zr_domain_job_admit(job) < 0)
		zr_log(ZR_LOG_ERROR, "job.not_admitted job=%s", job->id);
	zr_sched_decide(domain->sched, UINT32_MAX);
	zr_domain_drain(domain);
}

static int check_submission(struct zr_domain *domain,
			    const struct zr_job_spec *spec)
{
	if (!domain->epoch)
		return zr_error_set(ZR_E_NOT_OWNER, "not active");
	/* Before that, a job of the same idempotency key may be unknown. */
	if (!domain->loaded)
		return zr_error_set(ZR_E_NOT_OWNER, "still taking over");
	if (!domain->config)
		return zr_error_set(ZR_E_STALE_CONFIG, "no configuration yet");
	return zr_sched_job_check(domain->sched, spec);
}

static struct domain_job *find_key(const struct zr_domain *domain,
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
	const struct zr_clock *clock = domain->options.clock;
	int error;

	submission->number =
		domain->epoch << SEQUENCE_BITS | ++domain->next_sequence;
	accepted->number = submission->number;
	accepted->accepted_ms = zr_time_to_ms(clock->realtime(clock->ctx));
	zr_convert_from_spec(&accepted->spec, spec);
	zr_domain_job_new(domain, submission->number, spec);
	error = zr_journal_append(domain->journal, &record, on_accepted,
				  submission);
	if (error < 0)
		on_accepted(submission, error);
}

void zr_domain_submit(struct zr_domain *domain, const struct zr_job_spec *spec,
		      zr_domain_submit_fn done, void *ctx)
{
	struct submission *submission = calloc(1, sizeof(*submission));
	const struct domain_job *earlier;
	int error = check_submission(domain, spec);

	if (!submission)
		abort();
	submission->domain = domain;
	submission->done = done;
	submission->ctx = ctx;
	if (error < 0) {
		refuse(submission, error);
		return;
	}
	earlier = find_key(domain, spec);
	if (!earlier) {
		accept_job(domain, spec, submission);
		return;
	}
	/* A repeated request gets the job that its first one made. */
	if (strcmp(earlier->spec.team, spec->team)) {
		refuse(submission, ZR_E_FORBIDDEN);
		return;
	}
	if (earlier->handle || earlier->final_kept)
		done(ctx, 0, earlier->id);
	else
		done(ctx, ZR_E_OUTCOME_UNKNOWN, NULL);
	free(submission);
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
	zr_domain_drain(domain);
	show(job, done, ctx);
}

#include "domain/domain.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "domain/convert.h"
#include "domain/private.h"
#include "zinniarack/errors.h"
#include "zinniarack/log.h"

#define TICK_MS 200
#define CLOCK_RATE_MARGIN_MS 500

static struct timespec now(const struct zr_domain *domain)
{
	return zr_clock_now(domain->options.clock);
}

/* Recovery */

static void replay_accepted(struct zr_domain *domain,
			    const zx_accepted *accepted)
{
	struct zr_job_spec spec;
	struct domain_job *job;

	if (zr_convert_to_spec(&spec, &accepted->spec) < 0)
		return;
	job = zr_domain_job_new(domain, accepted->number, &spec);
	if (zr_domain_job_admit(job) == 0)
		zr_sched_job_hold(domain->sched, job->handle, true);
}

static void replay_intent(struct zr_domain *domain, const zx_intent *intent)
{
	struct domain_job *job = zr_domain_job_find(domain, intent->number);

	if (!job || intent->index >= job->spec.tasks)
		return;
	job->placements[intent->index].attempt = intent->attempt;
	job->placements[intent->index].intent = true;
}

static void replay_task_ended(struct zr_domain *domain,
			      const zx_task_ended *ended)
{
	struct domain_job *job = zr_domain_job_find(domain, ended->number);
	struct domain_placement *placement;

	if (!job || !job->handle || ended->index >= job->spec.tasks)
		return;
	placement = &job->placements[ended->index];
	placement->attempt = ended->attempt;
	placement->intent = false;
	if (*ended->result) {
		free(job->result);
		job->result = strdup(ended->result);
	}
	zr_sched_task_replay(domain->sched, job->handle, ended->index,
			     ended->attempt,
			     (enum zr_sched_outcome)ended->outcome);
}

static void replay_job_ended(struct zr_domain *domain,
			     const zx_job_ended *ended)
{
	struct domain_job *job = zr_domain_job_find(domain, ended->number);

	if (!job)
		return;
	job->final = (enum zr_job_state)ended->state;
	job->reason = "ended under an earlier owner";
	zr_domain_job_finished(job);
}

static void on_record(void *ctx, const zx_record *record)
{
	struct zr_domain *domain = ctx;

	switch (record->kind) {
	case ZX_RECORD_ACCEPTED:
		replay_accepted(domain, &record->zx_record_u.accepted);
		break;
	case ZX_RECORD_INTENT:
		replay_intent(domain, &record->zx_record_u.intent);
		break;
	case ZX_RECORD_TASK_ENDED:
		replay_task_ended(domain, &record->zx_record_u.task_ended);
		break;
	case ZX_RECORD_JOB_ENDED:
		replay_job_ended(domain, &record->zx_record_u.job_ended);
		break;
	}
}

static void on_loaded(void *ctx, int error)
{
	struct zr_domain *domain = ctx;

	if (error < 0) {
		zr_log(ZR_LOG_ERROR, "journal.load_failed domain=%s error=%s",
		       domain->name, zr_error_name(error));
		zr_owner_give_up(domain->owner);
		return;
	}
	zr_log(ZR_LOG_INFO, "journal.loaded domain=%s jobs=%u", domain->name,
	       HASH_COUNT(domain->jobs));
	/* Ends that completed a job whose own end was not kept. */
	zr_domain_drain(domain);
	domain->loaded = true;
	domain->recovering = true;
	domain->recovery_deadline = zr_time_add_ms(
		now(domain), ZR_FLEET_LEASE_MS + CLOCK_RATE_MARGIN_MS);
	zr_fleet_begin(domain->fleet, domain->epoch);
}

/* A task that may have begun and is nowhere to be found is taken for lost. */
static void settle_intents(struct domain_job *job)
{
	uint32_t i;

	for (i = 0; i < job->spec.tasks; i++) {
		struct domain_placement *placement = &job->placements[i];

		if (!placement->intent)
			continue;
		placement->intent = false;
		zr_sched_task_replay(job->domain->sched, job->handle, i,
				     placement->attempt, ZR_SCHED_LOST);
	}
}

static void end_recovery(struct zr_domain *domain)
{
	struct domain_job *job;
	struct domain_job *next;

	domain->recovering = false;
	zr_log(ZR_LOG_INFO, "domain.recovered domain=%s epoch=%" PRIu64,
	       domain->name, domain->epoch);
	HASH_ITER (hh, domain->jobs, job, next) {
		if (!job->handle)
			continue;
		settle_intents(job);
		zr_sched_job_hold(domain->sched, job->handle, false);
	}
}

static void on_tick(void *ctx)
{
	struct zr_domain *domain = ctx;

	if (!domain->epoch)
		return;
	if (domain->recovering &&
	    (zr_fleet_complete(domain->fleet) ||
	     zr_time_cmp(now(domain), domain->recovery_deadline) > 0))
		end_recovery(domain);
	zr_sched_decide(domain->sched, UINT32_MAX);
	zr_domain_drain(domain);
}

/* Ownership */

static void on_gained(void *ctx, uint64_t epoch, int64_t guard)
{
	struct zr_sched_options options = ZR_SCHED_OPTIONS_INIT;
	struct zr_domain *domain = ctx;

	domain->epoch = epoch;
	domain->next_sequence = 0;
	options.clock = domain->options.clock;
	options.sink = zr_domain_sink(domain);
	if (zr_sched_new(&domain->sched, &options) < 0 ||
	    zr_journal_new(&domain->journal, domain->options.timers,
			   domain->options.store, domain->name,
			   zr_owner_key(domain->owner), epoch, guard) < 0)
		abort();
	if (domain->config)
		zr_sched_configure(domain->sched, domain->config);
	zr_journal_load(domain->journal, on_record, on_loaded, domain);
}

static void on_lost(void *ctx)
{
	struct zr_domain *domain = ctx;

	domain->epoch = 0;
	domain->loaded = false;
	domain->recovering = false;
	zr_fleet_end(domain->fleet);
	zr_journal_free(domain->journal);
	domain->journal = NULL;
	zr_domain_decisions_clear(domain);
	zr_domain_jobs_clear(domain);
	zr_sched_free(domain->sched);
	domain->sched = NULL;
}

/* Workers */

static zr_handle on_worker_up(void *ctx, const struct zr_host *host)
{
	const struct zr_sched_worker worker = {
		.name = host->name,
		.rack = host->rack,
		.capacity = host->capacity,
	};
	struct zr_domain *domain = ctx;
	zr_handle handle;

	if (zr_sched_worker_add(&handle, domain->sched, &worker) < 0)
		return ZR_HANDLE_NONE;
	zr_log(ZR_LOG_INFO, "worker.up worker=%s", host->name);
	return handle;
}

static void on_worker_state(void *ctx, zr_handle worker,
			    enum zr_sched_worker_state state)
{
	struct zr_domain *domain = ctx;

	zr_sched_worker_set(domain->sched, worker, state);
	zr_domain_drain(domain);
}

static void on_worker_lost(void *ctx, zr_handle worker)
{
	struct zr_domain *domain = ctx;
	struct domain_job *job;
	struct domain_job *next;
	uint32_t i;

	HASH_ITER (hh, domain->jobs, job, next) {
		for (i = 0; i < job->spec.tasks; i++) {
			if (job->placements[i].worker == worker)
				job->placements[i].worker = ZR_HANDLE_NONE;
		}
	}
	zr_sched_worker_remove(domain->sched, worker);
	zr_domain_drain(domain);
}

static void on_fenced(void *ctx)
{
	struct zr_domain *domain = ctx;

	zr_owner_give_up(domain->owner);
}

static int make_fleet(struct zr_domain *domain)
{
	const struct zr_fleet_options options = {
		.version = ZR_FLEET_OPTIONS_VERSION,
		.timers = domain->options.timers,
		.clock = domain->options.clock,
		.domain = domain->name,
		.worker_new = domain->options.worker_new,
		.worker_ctx = domain->options.worker_ctx,
		.events =
			{
				.up = on_worker_up,
				.report = zr_domain_report,
				.state = on_worker_state,
				.lost = on_worker_lost,
				.fenced = on_fenced,
			},
		.ctx = domain,
	};

	return zr_fleet_new(&domain->fleet, &options);
}

static void register_metrics(struct zr_domain *domain)
{
	struct zr_metrics *metrics = domain->options.metrics;

	domain->accepted = zr_metrics_counter(
		metrics, "zinniarack_domain_jobs_accepted_total", NULL,
		"Jobs accepted and kept in the store.");
	domain->refused = zr_metrics_counter(
		metrics, "zinniarack_domain_jobs_refused_total", NULL,
		"Submissions refused.");
	domain->starts = zr_metrics_counter(
		metrics, "zinniarack_domain_task_starts_total", NULL,
		"Start decisions carried out.");
}

int zr_domain_new(struct zr_domain **out,
		  const struct zr_domain_options *options)
{
	static const struct zr_owner_events owner_events = {
		.gained = on_gained,
		.lost = on_lost,
	};
	struct zr_domain *domain = calloc(1, sizeof(*domain));
	int error;

	if (!domain)
		return ZR_E_NOMEM;
	domain->options = *options;
	snprintf(domain->name, sizeof(domain->name), "%s", options->domain);
	register_metrics(domain);
	domain->timer = zr_timer_new(options->timers, on_tick, domain);
	error = make_fleet(domain);
	if (!error)
		error = zr_owner_new(&domain->owner, options->timers,
				     options->clock, options->store,
				     domain->name, options->name, &owner_events,
				     domain);
	if (error < 0) {
		zr_domain_free(domain);
		return error;
	}
	zr_timer_start(domain->timer, TICK_MS, TICK_MS);
	*out = domain;
	return 0;
}

uint64_t zr_domain_epoch(const struct zr_domain *domain)
{
	return domain->epoch;
}

bool zr_domain_loaded(const struct zr_domain *domain)
{
	return domain->loaded;
}

const struct zr_sched *zr_domain_sched(const struct zr_domain *domain)
{
	return domain->sched;
}

void zr_domain_configure(struct zr_domain *domain,
			 const struct zr_config *config)
{
	domain->config = config;
	if (domain->sched)
		zr_sched_configure(domain->sched, config);
}

void zr_domain_hosts(struct zr_domain *domain, const struct zr_host *hosts,
		     size_t count)
{
	zr_fleet_hosts(domain->fleet, hosts, count);
}

void zr_domain_stop(struct zr_domain *domain, void (*done)(void *ctx),
		    void *ctx)
{
	zr_owner_release(domain->owner, done, ctx);
}

void zr_domain_free(struct zr_domain *domain)
{
	if (!domain)
		return;
	if (domain->epoch)
		on_lost(domain);
	zr_owner_free(domain->owner);
	zr_fleet_free(domain->fleet);
	zr_timer_free(domain->timer);
	free(domain);
}

#include "domain/domain.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "domain/private.h"
#include "zinniarack/errors.h"
#include "zinniarack/log.h"

#define TICK_MS 200
#define EXPIRE_EVERY_MS 10000
/* Maximum time that a planned stop waits for the journal to commit records. */
#define STOP_FLUSH_MAX_MS 2000

static struct timespec now(const struct zr_domain *domain)
{
	return zr_clock_now(domain->options.clock);
}

/* Planned stop */

static void release_if_flushed(struct zr_domain *domain)
{
	void (*stop_done)(void *ctx) = domain->stop_done;

	if (!zr_journal_idle(domain->journal) &&
	    zr_time_cmp(now(domain), domain->stop_deadline) < 0)
		return;
	domain->stop_done = NULL;
	zr_owner_release(domain->owner, stop_done, domain->stop_ctx);
}

void zr_domain_stop(struct zr_domain *domain, void (*done)(void *ctx),
		    void *ctx)
{
	if (!domain->epoch) {
		zr_owner_release(domain->owner, done, ctx);
		return;
	}
	domain->stop_done = done;
	domain->stop_ctx = ctx;
	domain->stop_deadline = zr_time_add_ms(now(domain), STOP_FLUSH_MAX_MS);
}

static void on_decide_timer(void *ctx)
{
	struct zr_domain *domain = ctx;

	if (domain->epoch && domain->loaded && !domain->stop_done)
		zr_domain_decide(domain);
}

static void on_tick(void *ctx)
{
	struct zr_domain *domain = ctx;

	if (domain->epoch && domain->stop_done) {
		release_if_flushed(domain);
		return;
	}
	if (!domain->epoch || !domain->loaded)
		return;
	if (domain->recovering)
		zr_domain_check_recovery(domain);
	if (zr_time_cmp(now(domain), domain->next_expiry_at) >= 0) {
		domain->next_expiry_at =
			zr_time_add_ms(now(domain), EXPIRE_EVERY_MS);
		zr_domain_jobs_remove_expired(domain);
	}
	zr_domain_decide(domain);
}

/* Ownership */

static int create_core(struct zr_domain *domain,
		       const struct zr_owner_term *term)
{
	struct zr_sched_options options = ZR_SCHED_OPTIONS_INIT;
	const struct zr_journal_options journal = {
		.version = ZR_JOURNAL_OPTIONS_VERSION,
		.timers = domain->options.timers,
		.clock = domain->options.clock,
		.store = domain->options.store,
		.domain = domain->name,
		.owner_key = zr_owner_key(domain->owner),
		.epoch = term->epoch,
		.owner_revision = term->owner_revision,
		.shard_count = domain->options.journal_shards,
	};
	int error;

	options.clock = domain->options.clock;
	options.sink = zr_domain_sink(domain);
	error = zr_sched_new(&domain->sched, &options);
	return error ? error : zr_journal_new(&domain->journal, &journal);
}

static void on_gained(void *ctx, const struct zr_owner_term *term)
{
	struct zr_domain *domain = ctx;

	domain->epoch = term->epoch;
	domain->handed_over = term->handed_over;
	domain->next_sequence = 0;
	if (create_core(domain, term) < 0)
		abort();
	if (domain->config)
		zr_sched_configure(domain->sched, domain->config);
	zr_domain_start_recovery(domain);
}

static void on_lost(void *ctx)
{
	struct zr_domain *domain = ctx;

	domain->epoch = 0;
	domain->loaded = false;
	domain->recovering = false;
	zr_fleet_end(domain->fleet);
	zr_allotments_end(domain->allotments);
	zr_journal_free(domain->journal);
	domain->journal = NULL;
	zr_domain_starts_clear(domain);
	zr_domain_decisions_clear(domain);
	zr_domain_jobs_clear(domain);
	zr_domain_workers_clear(domain);
	zr_sched_free(domain->sched);
	domain->sched = NULL;
}

/* Workers */

static enum zr_owner_lease_state on_lease_state(void *ctx)
{
	const struct zr_domain *domain = ctx;

	return zr_owner_lease_state(domain->owner);
}

static void on_worker_state(void *ctx, zr_handle worker,
			    enum zr_sched_worker_state state)
{
	struct zr_domain *domain = ctx;

	zr_sched_worker_set_state(domain->sched, worker, state);
	zr_domain_apply_decisions(domain);
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
	zr_domain_apply_decisions(domain);
}

static void on_fenced(void *ctx)
{
	struct zr_domain *domain = ctx;

	zr_owner_step_down(domain->owner);
}

static int create_fleet(struct zr_domain *domain)
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
				.lease_state = on_lease_state,
				.up = zr_domain_on_worker_up,
				.report = zr_domain_on_report,
				.state = on_worker_state,
				.lost = on_worker_lost,
				.gone = zr_domain_on_worker_gone,
				.fenced = on_fenced,
			},
		.ctx = domain,
	};

	return zr_fleet_new(&domain->fleet, &options);
}

/* Team limits */

/* Returns each * count + sum, at most UINT32_MAX. */
static uint32_t multiply_add(uint32_t each, uint32_t count, uint32_t sum)
{
	uint64_t total = (uint64_t)each * count + sum;

	return total > UINT32_MAX ? UINT32_MAX : (uint32_t)total;
}

static void add_waiting_tasks(struct zr_resources *demand,
			      const struct domain_job *job)
{
	struct zr_sched_job_info info;
	uint32_t waiting;

	if (!job->handle ||
	    zr_sched_job_info(&info, job->domain->sched, job->handle) < 0)
		return;
	waiting = job->spec.tasks - info.running - info.ended;
	demand->millicpus = multiply_add(job->spec.size.millicpus, waiting,
					 demand->millicpus);
	demand->memory_mb = multiply_add(job->spec.size.memory_mb, waiting,
					 demand->memory_mb);
	demand->accelerators = multiply_add(job->spec.size.accelerators,
					    waiting, demand->accelerators);
}

static void on_usage(void *ctx, const char *team, struct zr_resources *used,
		     struct zr_resources *demand)
{
	const struct zr_domain *domain = ctx;
	const struct domain_job *job;

	memset(used, 0, sizeof(*used));
	zr_sched_team_usage(used, domain->sched, team);
	*demand = *used;
	for (job = domain->jobs; job; job = job->hh.next) {
		if (!strcmp(job->spec.team, team))
			add_waiting_tasks(demand, job);
	}
}

static void on_allotment(void *ctx, const char *team,
			 const struct zr_resources *allotment)
{
	struct zr_domain *domain = ctx;

	zr_log(ZR_LOG_INFO,
	       "allotment team=%s millicpus=%u memory_mb=%u accelerators=%u",
	       team, allotment->millicpus, allotment->memory_mb,
	       allotment->accelerators);
	zr_sched_set_allotment(domain->sched, team, allotment);
	zr_domain_apply_decisions(domain);
}

static int create_allotments(struct zr_domain *domain)
{
	const struct zr_allotments_options options = {
		.version = ZR_ALLOTMENTS_OPTIONS_VERSION,
		.timers = domain->options.timers,
		.store = domain->options.store,
		.domain = domain->name,
		.events =
			{
				.usage = on_usage,
				.set = on_allotment,
				.ready = zr_domain_on_allotments_ready,
			},
		.ctx = domain,
	};

	return zr_allotments_new(&domain->allotments, &options);
}

static unsigned int count_domains(const struct zr_host *hosts, size_t count)
{
	unsigned int domains = 0;
	size_t i;
	size_t j;

	for (i = 0; i < count; i++) {
		for (j = 0; j < i; j++) {
			if (!strcmp(hosts[i].domain, hosts[j].domain))
				break;
		}
		domains += i == j;
	}
	return domains;
}

static void register_metrics(struct zr_domain *domain)
{
	struct zr_metrics *metrics = domain->options.metrics;

	domain->accepted = zr_metrics_get_or_add_counter(
		metrics, "zinniarack_domain_jobs_accepted_total", NULL,
		"Jobs accepted and kept in the store.");
	domain->refused = zr_metrics_get_or_add_counter(
		metrics, "zinniarack_domain_jobs_refused_total", NULL,
		"Submissions refused.");
	domain->starts_sent = zr_metrics_get_or_add_counter(
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
	domain->decide_timer =
		zr_timer_new(options->timers, on_decide_timer, domain);
	error = create_fleet(domain);
	if (!error)
		error = create_allotments(domain);
	if (!error)
		error = zr_owner_new(&domain->owner, options->timers,
				     options->clock, options->store,
				     domain->name, options->name, NULL,
				     &owner_events, domain);
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
	zr_allotments_configure(domain->allotments, config);
}

void zr_domain_set_hosts(struct zr_domain *domain, const struct zr_host *hosts,
			 size_t count)
{
	zr_fleet_set_hosts(domain->fleet, hosts, count);
	zr_allotments_set_domain_count(domain->allotments,
				       count_domains(hosts, count));
}

void zr_domain_free(struct zr_domain *domain)
{
	if (!domain)
		return;
	if (domain->epoch)
		on_lost(domain);
	zr_owner_free(domain->owner);
	zr_allotments_free(domain->allotments);
	zr_fleet_free(domain->fleet);
	zr_timer_free(domain->timer);
	zr_timer_free(domain->decide_timer);
	free(domain);
}

#include "scheduler/declared.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "zinniarack/errors.h"
#include "zinniarack/log.h"

#define RECONCILE_INTERVAL_MS 500
#define RETRY_MIN_MS 1000
#define RETRY_MAX_MS 60000
#define KEY_PREFIX "declared/"

/* State of one declared job: its name and the newest job made from it. */
struct entry {
	struct entry *prev;
	struct entry *next;
	struct zr_declared *declared;
	char name[ZR_NAME_MAX];
	bool submitting;       /* a submission is in progress */
	unsigned int retry_ms; /* current backoff, 0 when none */
	struct timespec retry_at;
	/* Found by the last scan: */
	uint32_t instance; /* number of the newest job, 0 when there is none */
	char id[ZR_JOB_ID_MAX];
	enum zr_job_state state;
	bool is_up_to_date; /* the job has the declared specification */
};

struct zr_declared {
	struct zr_declared_options options;
	struct zr_timer *timer;
	const struct zr_config *config;
	struct entry *entries;
};

/* Entries */

static struct entry *get_or_add_entry(struct zr_declared *declared,
				      const char *name)
{
	struct entry *entry;

	DL_FOREACH(declared->entries, entry)
	{
		if (!strcmp(entry->name, name))
			return entry;
	}
	entry = calloc(1, sizeof(*entry));
	if (!entry)
		abort();
	entry->declared = declared;
	snprintf(entry->name, sizeof(entry->name), "%s", name);
	DL_APPEND(declared->entries, entry);
	return entry;
}

static bool is_declared_in(const struct zr_config_job *job, const char *domain)
{
	uint32_t i;

	for (i = 0; i < job->failure_domains_count; i++) {
		if (!strcmp(job->failure_domains[i], domain))
			return true;
	}
	return false;
}

static const struct zr_config_job *
find_declaration(const struct zr_declared *declared, const char *name)
{
	const struct zr_config *config = declared->config;
	uint32_t i;

	for (i = 0; i < config->jobs_count; i++) {
		if (!strcmp(config->jobs[i].name, name) &&
		    is_declared_in(&config->jobs[i], declared->options.domain))
			return &config->jobs[i];
	}
	return NULL;
}

/* Scan of the failure domain's jobs */

static bool specs_equal(const struct zr_job_spec *a,
			const struct zr_job_spec *b)
{
	return !strcmp(a->team, b->team) && !strcmp(a->queue, b->queue) &&
	       a->kind == b->kind && a->tasks == b->tasks &&
	       !memcmp(&a->size, &b->size, sizeof(a->size)) &&
	       a->worth == b->worth && a->urgent == b->urgent &&
	       a->run_ms == b->run_ms && !strcmp(a->command, b->command);
}

static bool matches_declaration(const struct zr_declared *declared,
				const char *name,
				const struct zr_job_spec *spec)
{
	const struct zr_config_job *job = find_declaration(declared, name);
	struct zr_job_spec declared_spec;
	bool equal;

	if (!job || zr_config_job_spec(&declared_spec, job,
				       declared->options.domain, 0) < 0)
		return false;
	equal = specs_equal(&declared_spec, spec);
	zr_job_spec_clear(&declared_spec);
	return equal;
}

/*
 * Returns the instance number of the idempotency key
 * `declared/<name>/<domain>/<instance>`, or 0 for any other key.
 */
static uint32_t parse_instance(const struct zr_job_spec *spec)
{
	const char *instance_text = strrchr(spec->idempotency_key, '/');

	if (!instance_text ||
	    strncmp(spec->idempotency_key, KEY_PREFIX, strlen(KEY_PREFIX)))
		return 0;
	return (uint32_t)strtoul(instance_text + 1, NULL, 10);
}

static void on_cancelled(void *ctx, int error,
			 const struct zr_domain_job_info *job)
{
	(void)ctx;
	if (error < 0)
		zr_log(ZR_LOG_WARN, "declared.cancel_failed error=%s",
		       zr_error_name(error));
	else
		zr_log(ZR_LOG_INFO, "declared.cancelled job=%s", job->id);
}

/* Keeps the newest job of each declaration in its entry. */
static void record_job(void *ctx, int error,
		       const struct zr_domain_job_info *job)
{
	struct zr_declared *declared = ctx;
	uint32_t instance = parse_instance(job->spec);
	struct entry *entry;

	if (error < 0 || !instance)
		return;
	entry = get_or_add_entry(declared, job->spec->name);
	if (instance <= entry->instance)
		return;
	entry->instance = instance;
	entry->state = job->state;
	entry->is_up_to_date =
		matches_declaration(declared, job->spec->name, job->spec);
	snprintf(entry->id, sizeof(entry->id), "%s", job->id);
}

static void scan_jobs(struct zr_declared *declared)
{
	struct entry *entry;

	DL_FOREACH(declared->entries, entry)
	entry->instance = 0;
	declared->options.target->each(declared->options.impl, record_job,
				       declared);
}

/* Reconciliation */

static void increase_backoff(struct entry *entry)
{
	struct timespec now = zr_clock_now(entry->declared->options.clock);

	entry->retry_ms = entry->retry_ms ? entry->retry_ms * 2 : RETRY_MIN_MS;
	if (entry->retry_ms > RETRY_MAX_MS)
		entry->retry_ms = RETRY_MAX_MS;
	entry->retry_at = zr_time_add_ms(now, entry->retry_ms);
}

static void on_submitted(void *ctx, int error, const char *id)
{
	struct entry *entry = ctx;

	entry->submitting = false;
	if (error < 0)
		zr_log(ZR_LOG_WARN, "declared.submit_failed name=%s error=%s",
		       entry->name, zr_error_name(error));
	else
		zr_log(ZR_LOG_INFO, "declared.submitted name=%s job=%s",
		       entry->name, id);
}

static void submit(struct entry *entry, const struct zr_config_job *job)
{
	struct zr_declared *declared = entry->declared;
	struct zr_job_spec spec;

	if (zr_config_job_spec(&spec, job, declared->options.domain,
			       entry->instance + 1) < 0)
		return;
	entry->submitting = true;
	increase_backoff(entry);
	declared->options.target->submit(declared->options.impl, &spec,
					 on_submitted, entry);
	zr_job_spec_clear(&spec);
}

static bool has_completed(const struct entry *entry,
			  const struct zr_config_job *job)
{
	return job->kind != ZR_JOB_SERVICE && entry->is_up_to_date &&
	       (entry->state == ZR_JOB_SUCCEEDED ||
		entry->state == ZR_JOB_FAILED);
}

/*
 * Takes the next step towards the declaration, if one is needed: cancels a live
 * job that does not match it, or submits a job when none is live.
 */
static void reconcile(struct entry *entry)
{
	struct zr_declared *declared = entry->declared;
	const struct zr_config_job *job =
		find_declaration(declared, entry->name);
	bool is_live = entry->instance && !zr_job_state_is_final(entry->state);

	if (entry->submitting)
		return;
	if (is_live && job && entry->is_up_to_date) {
		entry->retry_ms = 0;
		return;
	}
	if (is_live) {
		declared->options.target->cancel(declared->options.impl,
						 entry->id, on_cancelled, NULL);
		return;
	}
	if (!job || has_completed(entry, job) ||
	    zr_config_is_evacuated(declared->config, declared->options.domain))
		return;
	if (entry->retry_ms &&
	    zr_time_cmp(zr_clock_now(declared->options.clock),
			entry->retry_at) < 0)
		return;
	submit(entry, job);
}

static void remove_entry(struct entry *entry)
{
	DL_DELETE(entry->declared->entries, entry);
	free(entry);
}

static void remove_stale_entries(struct zr_declared *declared)
{
	struct entry *entry;
	struct entry *next;

	DL_FOREACH_SAFE(declared->entries, entry, next)
	{
		if (!entry->submitting && !entry->instance &&
		    !find_declaration(declared, entry->name))
			remove_entry(entry);
	}
}

static void on_tick(void *ctx)
{
	struct zr_declared *declared = ctx;
	const struct zr_config *config = declared->config;
	struct entry *entry;
	uint32_t i;

	if (!config || !declared->options.target->ready(declared->options.impl))
		return;
	scan_jobs(declared);
	for (i = 0; i < config->jobs_count; i++) {
		if (is_declared_in(&config->jobs[i], declared->options.domain))
			get_or_add_entry(declared, config->jobs[i].name);
	}
	DL_FOREACH(declared->entries, entry)
	reconcile(entry);
	remove_stale_entries(declared);
}

int zr_declared_new(struct zr_declared **out,
		    const struct zr_declared_options *options)
{
	struct zr_declared *declared = calloc(1, sizeof(*declared));

	if (!declared)
		return ZR_E_NOMEM;
	declared->options = *options;
	declared->timer = zr_timer_new(options->timers, on_tick, declared);
	zr_timer_start(declared->timer, RECONCILE_INTERVAL_MS,
		       RECONCILE_INTERVAL_MS);
	*out = declared;
	return 0;
}

void zr_declared_configure(struct zr_declared *declared,
			   const struct zr_config *config)
{
	declared->config = config;
}

void zr_declared_free(struct zr_declared *declared)
{
	struct entry *entry;
	struct entry *next;

	if (!declared)
		return;
	zr_timer_free(declared->timer);
	DL_FOREACH_SAFE(declared->entries, entry, next)
	free(entry);
	free(declared);
}

/* Target: a failure domain of this process */

static bool domain_ready(void *impl)
{
	return zr_domain_loaded(impl);
}

static void domain_each(void *impl, zr_domain_job_fn callback, void *ctx)
{
	zr_domain_for_each_job(impl, "", callback, ctx);
}

static void domain_submit(void *impl, const struct zr_job_spec *spec,
			  zr_domain_submit_fn done, void *ctx)
{
	zr_domain_submit(impl, spec, done, ctx);
}

static void domain_cancel(void *impl, const char *id, zr_domain_job_fn done,
			  void *ctx)
{
	zr_domain_cancel(impl, id, "", done, ctx);
}

int zr_declared_new_for(struct zr_declared **out,
			const struct zr_timers *timers,
			const struct zr_clock *clock, struct zr_domain *domain,
			const char *name)
{
	static const struct zr_declared_target target = {
		.ready = domain_ready,
		.each = domain_each,
		.submit = domain_submit,
		.cancel = domain_cancel,
	};
	const struct zr_declared_options options = {
		.version = ZR_DECLARED_OPTIONS_VERSION,
		.timers = timers,
		.clock = clock,
		.target = &target,
		.impl = domain,
		.domain = name,
	};

	return zr_declared_new(out, &options);
}

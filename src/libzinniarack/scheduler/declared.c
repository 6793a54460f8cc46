#include "scheduler/declared.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "zinniarack/errors.h"
#include "zinniarack/log.h"

#define TICK_MS 500
#define RETRY_MS_MIN 1000
#define RETRY_MS_MAX 60000
#define KEY_PREFIX "declared/"

/* A declared name and the newest job that was made from it. */
struct row {
	struct row *prev;
	struct row *next;
	struct zr_declared *declared;
	char name[ZR_NAME_MAX];
	bool open; /* a submission has not been answered */
	unsigned int retry_ms;
	struct timespec retry_at;
	/* Found by the last scan: */
	uint32_t instance; /* 0: there is none */
	char id[ZR_JOB_ID_MAX];
	enum zr_job_state state;
	bool matches;
};

struct zr_declared {
	struct zr_declared_options options;
	struct zr_timer *timer;
	const struct zr_config *config;
	struct row *rows;
};

/* Rows */

static struct row *find_row(struct zr_declared *declared, const char *name)
{
	struct row *row;

	DL_FOREACH(declared->rows, row)
	{
		if (!strcmp(row->name, name))
			return row;
	}
	row = calloc(1, sizeof(*row));
	if (!row)
		abort();
	row->declared = declared;
	snprintf(row->name, sizeof(row->name), "%s", name);
	DL_APPEND(declared->rows, row);
	return row;
}

static bool stands_in(const struct zr_config_job *job, const char *domain)
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
		    stands_in(&config->jobs[i], declared->options.domain))
			return &config->jobs[i];
	}
	return NULL;
}

/* Scan of the domain's jobs */

static bool same_work(const struct zr_job_spec *a, const struct zr_job_spec *b)
{
	return !strcmp(a->team, b->team) && !strcmp(a->queue, b->queue) &&
	       a->kind == b->kind && a->tasks == b->tasks &&
	       !memcmp(&a->size, &b->size, sizeof(a->size)) &&
	       a->worth == b->worth && a->urgent == b->urgent &&
	       a->run_ms == b->run_ms && !strcmp(a->command, b->command);
}

static bool matches(const struct zr_declared *declared, const char *name,
		    const struct zr_job_spec *spec)
{
	const struct zr_config_job *job = find_declaration(declared, name);
	struct zr_job_spec wanted;
	bool same;

	if (!job ||
	    zr_config_job_spec(&wanted, job, declared->options.domain, 0) < 0)
		return false;
	same = same_work(&wanted, spec);
	zr_job_spec_clear(&wanted);
	return same;
}

/* Reads `declared/<name>/<domain>/<instance>`; 0 for any other key. */
static uint32_t read_instance(const struct zr_job_spec *spec)
{
	const char *last = strrchr(spec->idempotency_key, '/');

	if (!last ||
	    strncmp(spec->idempotency_key, KEY_PREFIX, strlen(KEY_PREFIX)))
		return 0;
	return (uint32_t)strtoul(last + 1, NULL, 10);
}

static void on_cancelled(void *ctx, int error, const struct zr_domain_job *job)
{
	(void)ctx;
	if (error < 0)
		zr_log(ZR_LOG_WARN, "declared.cancel_failed error=%s",
		       zr_error_name(error));
	else
		zr_log(ZR_LOG_INFO, "declared.cancelled job=%s", job->id);
}

static void note_job(void *ctx, int error, const struct zr_domain_job *job)
{
	struct zr_declared *declared = ctx;
	uint32_t instance = read_instance(job->spec);
	struct row *row;

	if (error < 0 || !instance)
		return;
	row = find_row(declared, job->spec->name);
	if (instance <= row->instance)
		return;
	row->instance = instance;
	row->state = job->state;
	row->matches = matches(declared, job->spec->name, job->spec);
	snprintf(row->id, sizeof(row->id), "%s", job->id);
}

static void scan(struct zr_declared *declared)
{
	struct row *row;

	DL_FOREACH(declared->rows, row)
	row->instance = 0;
	declared->options.target->each(declared->options.impl, note_job,
				       declared);
}

/* Changes */

static void delay_retry(struct row *row)
{
	struct timespec now = zr_clock_now(row->declared->options.clock);

	row->retry_ms = row->retry_ms ? row->retry_ms * 2 : RETRY_MS_MIN;
	if (row->retry_ms > RETRY_MS_MAX)
		row->retry_ms = RETRY_MS_MAX;
	row->retry_at = zr_time_add_ms(now, row->retry_ms);
}

static void on_submitted(void *ctx, int error, const char *id)
{
	struct row *row = ctx;

	row->open = false;
	if (error < 0)
		zr_log(ZR_LOG_WARN, "declared.not_submitted name=%s error=%s",
		       row->name, zr_error_name(error));
	else
		zr_log(ZR_LOG_INFO, "declared.submitted name=%s job=%s",
		       row->name, id);
}

static void submit(struct row *row, const struct zr_config_job *job)
{
	struct zr_declared *declared = row->declared;
	struct zr_job_spec spec;

	if (zr_config_job_spec(&spec, job, declared->options.domain,
			       row->instance + 1) < 0)
		return;
	row->open = true;
	delay_retry(row);
	declared->options.target->submit(declared->options.impl, &spec,
					 on_submitted, row);
	zr_job_spec_clear(&spec);
}

static bool has_done_its_work(const struct row *row,
			      const struct zr_config_job *job)
{
	return job->kind != ZR_JOB_SERVICE && row->matches &&
	       (row->state == ZR_JOB_SUCCEEDED || row->state == ZR_JOB_FAILED);
}

/* One step towards what is declared: cancel, or submit, or nothing. */
static void settle(struct row *row)
{
	struct zr_declared *declared = row->declared;
	const struct zr_config_job *job = find_declaration(declared, row->name);
	bool lives = row->instance && !zr_job_state_final(row->state);

	if (row->open)
		return;
	if (lives && job && row->matches) {
		row->retry_ms = 0;
		return;
	}
	if (lives) {
		declared->options.target->cancel(declared->options.impl,
						 row->id, on_cancelled, NULL);
		return;
	}
	if (!job || has_done_its_work(row, job))
		return;
	if (row->retry_ms && zr_time_cmp(zr_clock_now(declared->options.clock),
					 row->retry_at) < 0)
		return;
	submit(row, job);
}

static void drop_row(struct row *row)
{
	DL_DELETE(row->declared->rows, row);
	free(row);
}

static void forget_gone(struct zr_declared *declared)
{
	struct row *row;
	struct row *next;

	DL_FOREACH_SAFE(declared->rows, row, next)
	{
		if (!row->open && !row->instance &&
		    !find_declaration(declared, row->name))
			drop_row(row);
	}
}

static void on_tick(void *ctx)
{
	struct zr_declared *declared = ctx;
	const struct zr_config *config = declared->config;
	struct row *row;
	uint32_t i;

	if (!config || !declared->options.target->ready(declared->options.impl))
		return;
	scan(declared);
	for (i = 0; i < config->jobs_count; i++) {
		if (stands_in(&config->jobs[i], declared->options.domain))
			find_row(declared, config->jobs[i].name);
	}
	DL_FOREACH(declared->rows, row)
	settle(row);
	forget_gone(declared);
}

int zr_declared_new(struct zr_declared **out,
		    const struct zr_declared_options *options)
{
	struct zr_declared *declared = calloc(1, sizeof(*declared));

	if (!declared)
		return ZR_E_NOMEM;
	declared->options = *options;
	declared->timer = zr_timer_new(options->timers, on_tick, declared);
	zr_timer_start(declared->timer, TICK_MS, TICK_MS);
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
	struct row *row;
	struct row *next;

	if (!declared)
		return;
	zr_timer_free(declared->timer);
	DL_FOREACH_SAFE(declared->rows, row, next)
	free(row);
	free(declared);
}

/* A domain of this process */

static bool domain_ready(void *impl)
{
	return zr_domain_loaded(impl);
}

static void domain_each(void *impl, zr_domain_job_fn each, void *ctx)
{
	zr_domain_each(impl, "", each, ctx);
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

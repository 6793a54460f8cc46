#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "config/schema.h"

/**
 * DOC: Review of a configuration
 *
 * Finds entries that are allowed but can never match anything, and limits that
 * contradict each other: keys of teams that no queue admits, declared jobs that
 * their team's limit keeps from running, drained workers that do not exist.
 */

#define MILLICPUS_PER_CPU 1000

/* A review in progress. */
struct review {
	const struct zr_config *config;
	bool (*knows_worker)(void *ctx, const char *worker);
	void *worker_ctx;
	void (*found)(void *ctx, const struct zr_config_error *finding);
	void *ctx;
};

static void report(const struct review *review, const char *section,
		   const char *name, const char *field, const char *fmt, ...)
	__attribute__((format(printf, 5, 6)));

static void report(const struct review *review, const char *section,
		   const char *name, const char *field, const char *fmt, ...)
{
	struct zr_config_error finding = {section, name, field, ""};
	va_list args;

	va_start(args, fmt);
	vsnprintf(finding.detail, sizeof(finding.detail), fmt, args);
	va_end(args);
	review->found(review->ctx, &finding);
}

/* Teams and keys */

static bool is_admitted(const struct zr_config *config, const char *team)
{
	uint32_t i;

	for (i = 0; i < config->queues_count; i++) {
		const struct zr_config_queue *queue = &config->queues[i];

		if (!queue->team || !strcmp(queue->team, team))
			return true;
	}
	return false;
}

static void review_keys(const struct review *review)
{
	const struct zr_config *config = review->config;
	uint32_t i;

	for (i = 0; i < config->keys_count; i++) {
		const struct zr_config_key *key = &config->keys[i];

		if (key->team && !is_admitted(config, key->team))
			report(review, "keys", key->id, "team",
			       "no queue admits team '%s'; the key can submit "
			       "no jobs",
			       key->team);
	}
}

/* A folder without queues is one that is still being written. */
static void review_teams(const struct review *review)
{
	const struct zr_config *config = review->config;
	uint32_t i;

	for (i = 0; config->queues_count && i < config->teams_count; i++) {
		if (!is_admitted(config, config->teams[i].name))
			report(review, "teams", config->teams[i].name, "name",
			       "no queue admits this team; it can run nothing");
	}
}

/* Limits */

struct amount {
	const char *resource;
	uint64_t task;
	uint64_t limit;
};

static void review_amount(const struct review *review,
			  const struct zr_config_job *job,
			  const struct amount *amount)
{
	uint64_t in_domain = amount->task * job->tasks;
	uint64_t in_all = in_domain * job->failure_domains_count;

	if (!amount->limit)
		return;
	if (amount->task > amount->limit)
		report(review, "jobs", job->name, "team",
		       "a task needs %" PRIu64 " %s, but the limit of team "
		       "'%s' is %" PRIu64 "; it never runs",
		       amount->task, amount->resource, job->team,
		       amount->limit);
	else if (job->kind == ZR_JOB_GANG && in_domain > amount->limit)
		report(review, "jobs", job->name, "tasks",
		       "the gang needs %" PRIu64 " %s, but the limit of team "
		       "'%s' is %" PRIu64 "; it never starts",
		       in_domain, amount->resource, job->team, amount->limit);
	else if (job->kind == ZR_JOB_SERVICE && in_all > amount->limit)
		report(review, "jobs", job->name, "tasks",
		       "all replicas need %" PRIu64 " %s, but the limit of "
		       "team '%s' is %" PRIu64 "; some never run",
		       in_all, amount->resource, job->team, amount->limit);
}

static void review_jobs(const struct review *review)
{
	const struct zr_config *config = review->config;
	uint32_t i;
	size_t j;

	for (i = 0; i < config->jobs_count; i++) {
		const struct zr_config_job *job = &config->jobs[i];
		const struct zr_resources *limit =
			&zr_config_find_team(config, job->team)->limit;
		const struct amount amounts[] = {
			{"millicpus",
			 (uint64_t)(job->cpus * MILLICPUS_PER_CPU + 0.5),
			 limit->millicpus},
			{"memory_mb", job->memory_mb, limit->memory_mb},
			{"accelerators", job->accelerators,
			 limit->accelerators},
		};

		for (j = 0; j < sizeof(amounts) / sizeof(amounts[0]); j++)
			review_amount(review, job, &amounts[j]);
	}
}

/* Failure domains and workers */

static void review_domains(const struct review *review)
{
	const struct zr_config *config = review->config;

	if (config->failure_domains_count && !zr_config_home_domain(config, ""))
		report(review, "failure_domains",
		       config->failure_domains[0].name, "no_keys",
		       "every failure domain has no_keys; each request with an "
		       "idempotency key is refused");
}

static void review_drained(const struct review *review)
{
	const struct zr_config *config = review->config;
	uint32_t i;

	for (i = 0; review->knows_worker && i < config->drained_count; i++) {
		const char *name = config->drained[i].name;

		if (!review->knows_worker(review->worker_ctx, name))
			report(review, "drained", name, "name",
			       "no failure domain has a worker '%s'", name);
	}
}

void zr_config_find_ineffective(
	const struct zr_config *config,
	bool (*knows_worker)(void *ctx, const char *worker), void *worker_ctx,
	void (*found)(void *ctx, const struct zr_config_error *finding),
	void *ctx)
{
	const struct review review = {config, knows_worker, worker_ctx, found,
				      ctx};

	review_domains(&review);
	review_teams(&review);
	review_keys(&review);
	review_jobs(&review);
	review_drained(&review);
}

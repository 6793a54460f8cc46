#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "config/schema.h"
#include "zinniarack/errors.h"

/* Describes an error and returns @error. */
static int set_error(struct zr_config_error *out, int error,
		     const char *section, const char *name, const char *field,
		     const char *fmt, ...)
	__attribute__((format(printf, 6, 7)));

static int set_error(struct zr_config_error *out, int error,
		     const char *section, const char *name, const char *field,
		     const char *fmt, ...)
{
	va_list args;

	out->section = section;
	out->name = name;
	out->field = field;
	va_start(args, fmt);
	vsnprintf(out->detail, sizeof(out->detail), fmt, args);
	va_end(args);
	return error;
}

/* The first member of each item must be the pointer to its name or id. */
static int check_unique(struct zr_config_error *out, const char *section,
			const char *field, const void *items, uint32_t count,
			size_t size)
{
	const char *bytes = items;
	uint32_t i;
	uint32_t j;

	for (i = 0; i < count; i++) {
		const char *name = *(char *const *)(bytes + i * size);

		for (j = 0; j < i; j++) {
			if (!strcmp(name, *(char *const *)(bytes + j * size)))
				return set_error(
					out, ZR_E_CONFLICT, section, name,
					field,
					"'%s' is declared twice; expected "
					"once",
					name);
		}
	}
	return 0;
}

static int check_names(struct zr_config_error *out,
		       const struct zr_config *config)
{
	int error;

	if ((error = check_unique(out, "failure_domains", "name",
				  config->failure_domains,
				  config->failure_domains_count,
				  sizeof(*config->failure_domains))) < 0 ||
	    (error = check_unique(out, "teams", "name", config->teams,
				  config->teams_count,
				  sizeof(*config->teams))) < 0 ||
	    (error = check_unique(out, "queues", "name", config->queues,
				  config->queues_count,
				  sizeof(*config->queues))) < 0 ||
	    (error = check_unique(out, "keys", "id", config->keys,
				  config->keys_count, sizeof(*config->keys))) <
		    0 ||
	    (error = check_unique(out, "jobs", "name", config->jobs,
				  config->jobs_count, sizeof(*config->jobs))) <
		    0)
		return error;
	if ((error = check_unique(out, "drained", "name", config->drained,
				  config->drained_count,
				  sizeof(*config->drained))) < 0)
		return error;
	return check_unique(out, "evacuated", "name", config->evacuated,
			    config->evacuated_count,
			    sizeof(*config->evacuated));
}

static int check_queue(struct zr_config_error *out,
		       const struct zr_config *config,
		       const struct zr_config_queue *queue)
{
	if (queue->open && !queue->team)
		return set_error(out, ZR_E_INVALID, "queues", queue->name,
				 "team",
				 "missing; an open queue must name its team");
	if (queue->team && !zr_config_find_team(config, queue->team))
		return set_error(
			out, ZR_E_INVALID, "queues", queue->name, "team",
			"'%s' is not allowed; expected a declared team",
			queue->team);
	return 0;
}

static int check_key(struct zr_config_error *out,
		     const struct zr_config *config,
		     const struct zr_config_key *key)
{
	if (key->role == ZR_KEY_OPERATOR && key->team)
		return set_error(
			out, ZR_E_INVALID, "keys", key->id, "team",
			"'%s' is not allowed; an operator's key has no "
			"team",
			key->team);
	if (key->role == ZR_KEY_TEAM && !key->team)
		return set_error(out, ZR_E_INVALID, "keys", key->id, "team",
				 "missing; a team's key must name its team");
	if (key->team && !zr_config_find_team(config, key->team))
		return set_error(
			out, ZR_E_INVALID, "keys", key->id, "team",
			"'%s' is not allowed; expected a declared team",
			key->team);
	return 0;
}

static bool is_declared_domain(const struct zr_config *config, const char *name)
{
	uint32_t i;

	for (i = 0; i < config->failure_domains_count; i++) {
		if (!strcmp(config->failure_domains[i].name, name))
			return true;
	}
	return !config->failure_domains_count;
}

static int check_job_domains(struct zr_config_error *out,
			     const struct zr_config *config,
			     const struct zr_config_job *job)
{
	uint32_t i;
	uint32_t j;

	for (i = 0; i < job->failure_domains_count; i++) {
		const char *domain = job->failure_domains[i];

		if (!is_declared_domain(config, domain))
			return set_error(
				out, ZR_E_INVALID, "jobs", job->name,
				"failure_domains",
				"'%s' is not allowed; expected a declared "
				"failure domain",
				domain);
		if (strlen(job->name) + strlen(domain) > ZR_DECLARED_NAMES_MAX)
			return set_error(
				out, ZR_E_INVALID, "jobs", job->name, "name",
				"too long; expected at most %d bytes "
				"together with the failure domain's name",
				ZR_DECLARED_NAMES_MAX);
		for (j = 0; j < i; j++) {
			if (!strcmp(job->failure_domains[j], domain))
				return set_error(
					out, ZR_E_INVALID, "jobs", job->name,
					"failure_domains",
					"'%s' is named twice; expected "
					"once",
					domain);
		}
	}
	return 0;
}

static int check_job(struct zr_config_error *out,
		     const struct zr_config *config,
		     const struct zr_config_job *job)
{
	const struct zr_config_queue *queue =
		zr_config_find_queue(config, job->queue);

	if (!zr_config_find_team(config, job->team))
		return set_error(
			out, ZR_E_INVALID, "jobs", job->name, "team",
			"'%s' is not allowed; expected a declared team",
			job->team);
	if (!queue)
		return set_error(
			out, ZR_E_INVALID, "jobs", job->name, "queue",
			"'%s' is not allowed; expected a declared queue",
			job->queue);
	if (queue->team && strcmp(queue->team, job->team))
		return set_error(out, ZR_E_INVALID, "jobs", job->name, "queue",
				 "'%s' is not allowed; it is the queue of team "
				 "'%s'",
				 job->queue, queue->team);
	return check_job_domains(out, config, job);
}

/* Without declared failure domains it is not known whether one is left. */
static int check_evacuated(struct zr_config_error *out,
			   const struct zr_config *config)
{
	const char *name = NULL;
	uint32_t i;

	for (i = 0; i < config->evacuated_count; i++) {
		name = config->evacuated[i].name;
		if (!config->failure_domains_count ||
		    !is_declared_domain(config, name))
			return set_error(
				out, ZR_E_INVALID, "evacuated", name, "name",
				"'%s' is not allowed; expected a declared "
				"failure domain",
				name);
	}
	if (name && config->evacuated_count == config->failure_domains_count)
		return set_error(out, ZR_E_INVALID, "evacuated", name, "name",
				 "'%s' is not allowed; no failure domain would "
				 "be left",
				 name);
	return 0;
}

int zr_config_check(struct zr_config_error *out, const struct zr_config *config)
{
	int error = check_names(out, config);
	uint32_t i;

	for (i = 0; !error && i < config->queues_count; i++)
		error = check_queue(out, config, &config->queues[i]);
	for (i = 0; !error && i < config->keys_count; i++)
		error = check_key(out, config, &config->keys[i]);
	for (i = 0; !error && i < config->jobs_count; i++)
		error = check_job(out, config, &config->jobs[i]);
	return error < 0 ? error : check_evacuated(out, config);
}

#include "caller.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A `job` line of a plan, see caller.h. */
struct job_line {
	char team[ZR_NAME_MAX];
	char queue[ZR_NAME_MAX];
	char kind[16];
	char name[ZR_NAME_MAX];
	unsigned int count;
	unsigned int tasks;
	double cpus;
	unsigned int memory_mb;
	char flags[32];
	char command[256];
};

size_t caller_find_team(struct caller *caller, const char *name)
{
	size_t i;

	for (i = 0; i < caller->team_count; i++) {
		if (!strcmp(caller->teams[i].name, name))
			return i;
	}
	fprintf(stderr,
		"the plan names team '%s', which has no --team option\n", name);
	exit(2);
}

static enum zr_job_kind parse_kind(const char *name)
{
	int kind;

	for (kind = ZR_JOB_BATCH; kind <= ZR_JOB_GANG; kind++) {
		if (!strcmp(name, zr_job_kind_name((enum zr_job_kind)kind)))
			return (enum zr_job_kind)kind;
	}
	fprintf(stderr, "unknown job kind '%s'\n", name);
	exit(2);
}

static char *build_job_body(const struct job_line *line, unsigned int number)
{
	char key[128];
	json_t *body;
	char *text;

	snprintf(key, sizeof(key), "%s-%u", line->name, number);
	body = json_pack("{s:s, s:s, s:s, s:i, s:f, s:i, s:b, s:b, s:s, s:s}",
			 "name", line->name, "queue", line->queue, "kind",
			 line->kind, "tasks", (int)line->tasks, "cpus",
			 line->cpus, "memory_mb", (int)line->memory_mb,
			 "urgent", strstr(line->flags, "urgent") != NULL,
			 "at_most_once", strstr(line->flags, "once") != NULL,
			 "idempotency_key", key, "command", line->command);
	text = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	return text;
}

static void add_jobs(struct caller *caller, const struct job_line *line)
{
	size_t total = caller->job_count + line->count;
	unsigned int i;

	caller->jobs = realloc(caller->jobs, total * sizeof(*caller->jobs));
	if (!caller->jobs)
		abort();
	for (i = 0; i < line->count; i++) {
		struct caller_job *job = &caller->jobs[caller->job_count++];

		memset(job, 0, sizeof(*job));
		job->team = caller_find_team(caller, line->team);
		job->kind = parse_kind(line->kind);
		job->millicpus = (uint32_t)(line->cpus * 1000);
		job->urgent = strstr(line->flags, "urgent") != NULL;
		job->first_start_ms = -1;
		job->body = build_job_body(line, i);
	}
}

static int parse_job_line(struct caller *caller, const char *text)
{
	struct job_line line;

	if (sscanf(text, "job %63s %63s %15s %63s %u %u %lf %u %31s %255[^\n]",
		   line.team, line.queue, line.kind, line.name, &line.count,
		   &line.tasks, &line.cpus, &line.memory_mb, line.flags,
		   line.command) != 10)
		return -1;
	add_jobs(caller, &line);
	return 0;
}

static int parse_request_line(struct caller *caller, const char *text)
{
	struct caller_request_series *series;
	char team[ZR_NAME_MAX];

	caller->series = realloc(caller->series, (caller->series_count +
						  1) * sizeof(*caller->series));
	if (!caller->series)
		abort();
	series = &caller->series[caller->series_count++];
	memset(series, 0, sizeof(*series));
	if (sscanf(text, "request %63s %63s %u %u", team, series->service,
		   &series->count, &series->interval_ms) != 4)
		return -1;
	series->team = caller_find_team(caller, team);
	series->waits_ms = calloc(series->count + 1, sizeof(int64_t));
	return series->waits_ms ? 0 : -1;
}

static int parse_line(struct caller *caller, const char *text)
{
	if (*text == '#' || *text == '\n')
		return 0;
	if (!strncmp(text, "job ", 4))
		return parse_job_line(caller, text);
	if (!strncmp(text, "request ", 8))
		return parse_request_line(caller, text);
	return -1;
}

int caller_read_plan(struct caller *caller, const char *path)
{
	char text[CALLER_LINE_MAX];
	FILE *file = fopen(path, "r");
	int error = file ? 0 : -1;

	while (!error && fgets(text, sizeof(text), file)) {
		error = parse_line(caller, text);
		if (error)
			fprintf(stderr, "%s: invalid line: %s", path, text);
	}
	if (file)
		fclose(file);
	return error;
}

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli.h"

/*
 * Reads the logs of any number of hosts, one line an event, and prints those of
 * a job as one timeline, with what happened to the workers it ran on.
 */

#define NAME_SIZE 64
#define WORKERS_MAX 128
#define GROW 256

struct line {
	char *text;
	const char *time; /* begins like 2026-04-11T20:09:17.909Z */
};

struct trace {
	struct line *lines;
	size_t count;
	size_t room;
	char workers[WORKERS_MAX][NAME_SIZE];
	size_t worker_count;
};

static const char *find_time(const char *text)
{
	const char *at;

	for (at = text; *at; at++) {
		if (!strncmp(at, "20", 2) && strlen(at) > 24 && at[4] == '-' &&
		    at[10] == 'T' && at[23] == 'Z')
			return at;
	}
	return text;
}

static int add_line(struct trace *trace, const char *text)
{
	struct line *line;

	if (trace->count == trace->room) {
		size_t room = trace->room + GROW;
		struct line *grown =
			realloc(trace->lines, room * sizeof(*grown));

		if (!grown)
			return -1;
		trace->lines = grown;
		trace->room = room;
	}
	line = &trace->lines[trace->count];
	line->text = strdup(text);
	if (!line->text)
		return -1;
	line->time = find_time(line->text);
	trace->count++;
	return 0;
}

/* Whether a line has the field @name with that value. */
static bool has_field(const char *text, const char *name, const char *value)
{
	char field[2 * NAME_SIZE];
	const char *at = text;
	size_t length =
		(size_t)snprintf(field, sizeof(field), "%s=%s", name, value);

	while ((at = strstr(at, field))) {
		if ((at == text || at[-1] == ' ') && strchr(" ,\n", at[length]))
			return true;
		at += length;
	}
	return false;
}

static void note_worker(struct trace *trace, const char *name, size_t length)
{
	size_t i;

	if (!length || length >= NAME_SIZE ||
	    trace->worker_count == WORKERS_MAX)
		return;
	for (i = 0; i < trace->worker_count; i++) {
		if (!strncmp(trace->workers[i], name, length) &&
		    !trace->workers[i][length])
			return;
	}
	memcpy(trace->workers[trace->worker_count], name, length);
	trace->workers[trace->worker_count++][length] = '\0';
}

/* Workers stand in `worker=NAME` and in `on=NAME,NAME`. */
static void note_workers(struct trace *trace, const char *text)
{
	const char *at = strstr(text, " worker=");

	if (at)
		note_worker(trace, at + 8, strcspn(at + 8, " \n"));
	at = strstr(text, " on=");
	if (!at)
		return;
	for (at += 4; *at && *at != ' ' && *at != '\n';) {
		size_t length = strcspn(at, ", \n");

		note_worker(trace, at, length);
		at += length;
		if (*at == ',')
			at++;
	}
}

static bool about_worker(const struct trace *trace, const char *text)
{
	size_t i;

	if (!strstr(text, " worker."))
		return false;
	for (i = 0; i < trace->worker_count; i++) {
		if (has_field(text, "worker", trace->workers[i]))
			return true;
	}
	return false;
}

typedef int (*line_fn)(struct trace *trace, const char *text, const char *job);

static int take_job_line(struct trace *trace, const char *text, const char *job)
{
	if (!has_field(text, "job", job))
		return 0;
	note_workers(trace, text);
	return add_line(trace, text);
}

static int take_worker_line(struct trace *trace, const char *text,
			    const char *job)
{
	(void)job;
	return about_worker(trace, text) ? add_line(trace, text) : 0;
}

static int each_line(struct trace *trace, FILE *file, line_fn take,
		     const char *job)
{
	char *text = NULL;
	size_t size = 0;
	int error = 0;

	while (!error && getline(&text, &size, file) >= 0)
		error = take(trace, text, job);
	free(text);
	return error;
}

static int by_time(const void *a, const void *b)
{
	const struct line *x = a;
	const struct line *y = b;

	return strncmp(x->time, y->time, 24);
}

/* Worker lines from long before or after the job tell nothing of it. */
static void print_trace(const struct trace *trace, size_t job_lines,
			const char *first, const char *last)
{
	size_t i;

	for (i = 0; i < trace->count; i++) {
		const struct line *line = &trace->lines[i];

		if (strncmp(line->time, first, 24) < 0 ||
		    strncmp(line->time, last, 24) > 0)
			continue;
		fputs(line->time, stdout);
	}
	fprintf(stderr, "%zu lines of the job\n", job_lines);
}

static int trace_file(struct trace *trace, FILE *file, const char *job)
{
	char first[32];
	char last[32];
	size_t job_lines;
	size_t i;

	if (each_line(trace, file, take_job_line, job) < 0)
		return CLI_EXIT_REFUSED;
	if (!trace->count) {
		fprintf(stderr, "zinniarack: no line of job '%s'\n", job);
		return CLI_EXIT_REFUSED;
	}
	job_lines = trace->count;
	qsort(trace->lines, trace->count, sizeof(*trace->lines), by_time);
	snprintf(first, sizeof(first), "%.24s", trace->lines[0].time);
	snprintf(last, sizeof(last), "%.24s",
		 trace->lines[trace->count - 1].time);
	rewind(file);
	if (each_line(trace, file, take_worker_line, job) < 0)
		return CLI_EXIT_REFUSED;
	qsort(trace->lines, trace->count, sizeof(*trace->lines), by_time);
	print_trace(trace, job_lines, first, last);
	for (i = 0; i < trace->count; i++)
		free(trace->lines[i].text);
	free(trace->lines);
	return CLI_EXIT_OK;
}

static int run(const struct cli_options *options, int argc, char **argv)
{
	struct trace trace = {0};
	FILE *file;
	int status;

	(void)options;
	if (argc != 2)
		return cli_usage(&cli_trace);
	file = fopen(argv[1], "r");
	if (!file) {
		fprintf(stderr, "zinniarack: cannot read '%s'\n", argv[1]);
		return CLI_EXIT_INVALID;
	}
	status = trace_file(&trace, file, argv[0]);
	fclose(file);
	return status;
}

const struct cli_command cli_trace = {
	.name = "trace",
	.args = "JOB FILE",
	.help = "Print what the logs of a cell's hosts, gathered in one file, "
		"tell of a job: one timeline, with what happened to the "
		"workers it ran on.",
	.examples = "zinniarack trace 5c0e7a21d94b36f8 all-hosts.log\n",
	.run = run,
};

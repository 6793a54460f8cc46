#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli.h"

/*
 * Reads a file with the logs of any number of hosts, one event per line, and
 * prints the events of a job in order of time, together with the `worker.*`
 * events of the workers that it ran on.
 */

/* Size of a worker name, with the final NUL. */
#define NAME_SIZE 64
/* Maximum number of workers whose events are printed. */
#define WORKERS_MAX 128
#define ALLOC_STEP 256
/* Length of a timestamp like 2026-04-11T20:09:17.909Z. */
#define TIMESTAMP_LENGTH 24

struct line {
	char *text;
	/* Points into @text; the line is printed from here on. */
	const char *timestamp;
};

struct trace {
	struct line *lines;
	size_t line_count;
	size_t lines_alloc;
	char workers[WORKERS_MAX][NAME_SIZE];
	size_t worker_count;
};

/* Returns the start of the line if it holds no timestamp. */
static const char *find_timestamp(const char *text)
{
	const char *at;

	for (at = text; *at; at++) {
		if (!strncmp(at, "20", 2) && strlen(at) > TIMESTAMP_LENGTH &&
		    at[4] == '-' && at[10] == 'T' && at[23] == 'Z')
			return at;
	}
	return text;
}

static int add_line(struct trace *trace, const char *text)
{
	struct line *line;

	if (trace->line_count == trace->lines_alloc) {
		size_t alloc = trace->lines_alloc + ALLOC_STEP;
		struct line *grown =
			realloc(trace->lines, alloc * sizeof(*grown));

		if (!grown)
			return -1;
		trace->lines = grown;
		trace->lines_alloc = alloc;
	}
	line = &trace->lines[trace->line_count];
	line->text = strdup(text);
	if (!line->text)
		return -1;
	line->timestamp = find_timestamp(line->text);
	trace->line_count++;
	return 0;
}

/* Whether the line has the field NAME=VALUE. */
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

/*
 * Ignores a worker whose name does not fit into NAME_SIZE, and any after the
 * first WORKERS_MAX.
 */
static void add_worker(struct trace *trace, const char *name, size_t length)
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

/* Adds the workers that the line names, as worker=NAME or on=NAME,NAME. */
static void add_workers(struct trace *trace, const char *text)
{
	const char *at = strstr(text, " worker=");

	if (at)
		add_worker(trace, at + 8, strcspn(at + 8, " \n"));
	at = strstr(text, " on=");
	if (!at)
		return;
	for (at += 4; *at && *at != ' ' && *at != '\n';) {
		size_t length = strcspn(at, ", \n");

		add_worker(trace, at, length);
		at += length;
		if (*at == ',')
			at++;
	}
}

/* Whether the line is a `worker.*` event of a worker in @trace. */
static bool is_worker_event(const struct trace *trace, const char *text)
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

/* Processes one line of the log; returns a negative value to stop reading. */
typedef int (*line_fn)(struct trace *trace, const char *text, const char *job);

static int process_job_line(struct trace *trace, const char *text,
			    const char *job)
{
	if (!has_field(text, "job", job))
		return 0;
	add_workers(trace, text);
	return add_line(trace, text);
}

static int process_worker_line(struct trace *trace, const char *text,
			       const char *job)
{
	(void)job;
	return is_worker_event(trace, text) ? add_line(trace, text) : 0;
}

static int for_each_line(struct trace *trace, FILE *file, line_fn process,
			 const char *job)
{
	char *text = NULL;
	size_t size = 0;
	int error = 0;

	while (!error && getline(&text, &size, file) >= 0)
		error = process(trace, text, job);
	free(text);
	return error;
}

static int compare_timestamps(const void *a, const void *b)
{
	const struct line *x = a;
	const struct line *y = b;

	return strncmp(x->timestamp, y->timestamp, TIMESTAMP_LENGTH);
}

/*
 * Leaves out worker events from before @first and after @last, the first and
 * the last timestamp of the job, since they cannot have affected it.
 */
static void print_trace(const struct trace *trace, size_t job_line_count,
			const char *first, const char *last)
{
	size_t i;

	for (i = 0; i < trace->line_count; i++) {
		const struct line *line = &trace->lines[i];

		if (strncmp(line->timestamp, first, TIMESTAMP_LENGTH) < 0 ||
		    strncmp(line->timestamp, last, TIMESTAMP_LENGTH) > 0)
			continue;
		fputs(line->timestamp, stdout);
	}
	fprintf(stderr, "%zu log lines of the job\n", job_line_count);
}

static int trace_file(struct trace *trace, FILE *file, const char *job)
{
	char first[32];
	char last[32];
	size_t job_line_count;
	size_t i;

	if (for_each_line(trace, file, process_job_line, job) < 0)
		return CLI_EXIT_REFUSED;
	if (!trace->line_count) {
		fprintf(stderr, "zinniarack: no log line of job '%s'\n", job);
		return CLI_EXIT_REFUSED;
	}
	job_line_count = trace->line_count;
	qsort(trace->lines, trace->line_count, sizeof(*trace->lines),
	      compare_timestamps);
	snprintf(first, sizeof(first), "%.24s", trace->lines[0].timestamp);
	snprintf(last, sizeof(last), "%.24s",
		 trace->lines[trace->line_count - 1].timestamp);
	rewind(file);
	if (for_each_line(trace, file, process_worker_line, job) < 0)
		return CLI_EXIT_REFUSED;
	qsort(trace->lines, trace->line_count, sizeof(*trace->lines),
	      compare_timestamps);
	print_trace(trace, job_line_count, first, last);
	for (i = 0; i < trace->line_count; i++)
		free(trace->lines[i].text);
	free(trace->lines);
	return CLI_EXIT_OK;
}

static int run_trace(const struct cli_options *options, int argc, char **argv)
{
	struct trace trace = {0};
	FILE *file;
	int status;

	(void)options;
	if (argc != 2)
		return cli_print_usage(&cli_trace);
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
	.help = "Print the log events of a job in order of time, together with "
		"the events of the workers it ran on. FILE holds the logs of "
		"all hosts of the cell.",
	.examples = "zinniarack trace 5c0e7a21d94b36f8 all-hosts.log\n",
	.run = run_trace,
};

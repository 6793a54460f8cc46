#include "caller.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#define PERCENT 100

/**
 * struct ledger_task - what the ledger says about a task
 * @id: id of the task without the attempt
 * @job: its job, or NULL if this program doesn't know it
 * @started_ms: time of the latest start
 * @running_count: number of workers that run it
 * @end_count: number of runs to the end
 */
struct ledger_task {
	UT_hash_handle hh;
	char id[ZR_TASK_ID_MAX];
	struct caller_job *job;
	int64_t started_ms;
	unsigned int running_count;
	unsigned int end_count;
};

/* Processor time of a team's tasks, in millicpus times ms; not used. */
struct usage {
	int64_t from_ms;
	int64_t until_ms;
	double held;
};

struct ledger {
	struct caller *caller;
	struct ledger_task *tasks;
	unsigned int overlaps;
};

/**
 * struct table_row - a line of the printed table
 * @sent: number of jobs submitted, or of requests sent
 * @unknown: number without a definite answer
 * @repeated: number of tasks that ran to their end more than once, or of
 *	requests with a wrong answer
 * @waits_ms: for each started job the time until its first task started, for
 *	each answered request the time until the answer
 * @wait_count: number of elements in @waits_ms
 */
struct table_row {
	unsigned int sent;
	unsigned int accepted;
	unsigned int ended;
	unsigned int refused;
	unsigned int unknown;
	unsigned int repeated;
	int64_t *waits_ms;
	unsigned int wait_count;
};

static struct caller_job *find_job(struct caller *caller, const char *task)
{
	size_t length = strcspn(task, "/");
	size_t i;

	for (i = 0; i < caller->job_count; i++) {
		struct caller_job *job = &caller->jobs[i];

		if (strlen(job->id) == length &&
		    !strncmp(job->id, task, length))
			return job;
	}
	return NULL;
}

static struct ledger_task *get_or_add_task(struct ledger *ledger,
					   const char *id)
{
	char *attempt = strrchr(id, '/');
	struct ledger_task *task;

	if (attempt)
		*attempt = '\0';
	HASH_FIND_STR(ledger->tasks, id, task);
	if (task)
		return task;
	task = calloc(1, sizeof(*task));
	if (!task)
		abort();
	snprintf(task->id, sizeof(task->id), "%s", id);
	task->job = find_job(ledger->caller, id);
	HASH_ADD_STR(ledger->tasks, id, task);
	return task;
}

static void process_start(struct ledger *ledger, struct ledger_task *task,
			  int64_t at_ms)
{
	struct caller_job *job = task->job;

	if (task->running_count++)
		ledger->overlaps++;
	task->started_ms = at_ms;
	if (!job)
		return;
	job->starts++;
	if (job->first_start_ms < 0)
		job->first_start_ms = at_ms;
}

static void process_line(struct ledger *ledger, const char *text)
{
	char event[16];
	char id[ZR_TASK_ID_MAX];
	struct ledger_task *task;
	int64_t at_ms;

	if (sscanf(text, "%15s %127s %*s %" SCNd64, event, id, &at_ms) != 3)
		return;
	task = get_or_add_task(ledger, id);
	if (!strcmp(event, "start")) {
		process_start(ledger, task, at_ms);
		return;
	}
	if (task->running_count)
		task->running_count--;
	if (!strcmp(event, "end") && ++task->end_count > 1 && task->job)
		task->job->repeated_tasks++;
}

static void free_tasks(struct ledger *ledger)
{
	struct ledger_task *task = ledger->tasks;
	struct ledger_task *next;

	HASH_CLEAR(hh, ledger->tasks);
	for (; task; task = next) {
		next = task->hh.next;
		free(task);
	}
}

int caller_read_ledger(struct caller *caller, const char *path)
{
	struct ledger ledger = {.caller = caller};
	char text[CALLER_LINE_MAX];
	FILE *file = fopen(path, "r");

	if (!file)
		return -1;
	while (fgets(text, sizeof(text), file))
		process_line(&ledger, text);
	fclose(file);
	free_tasks(&ledger);
	return (int)ledger.overlaps;
}

/*
 * Shares: processor time of each team while every team had jobs waiting
 *
 * This time begins when the last job was submitted, and ends when the first
 * team's last batch job started.
 */

static int64_t share_window_end(const struct caller *caller)
{
	int64_t last_start_ms[CALLER_TEAMS_MAX] = {0};
	int64_t end_ms = INT64_MAX;
	size_t i;

	for (i = 0; i < caller->job_count; i++) {
		const struct caller_job *job = &caller->jobs[i];

		if (job->kind == ZR_JOB_BATCH &&
		    job->first_start_ms > last_start_ms[job->team])
			last_start_ms[job->team] = job->first_start_ms;
	}
	for (i = 0; i < caller->team_count; i++) {
		if (last_start_ms[i] && last_start_ms[i] < end_ms)
			end_ms = last_start_ms[i];
	}
	return end_ms;
}

static int64_t share_window_begin(const struct caller *caller)
{
	int64_t begin_ms = 0;
	size_t i;

	for (i = 0; i < caller->job_count; i++) {
		if (caller->jobs[i].sent_ms > begin_ms)
			begin_ms = caller->jobs[i].sent_ms;
	}
	return begin_ms;
}

/* Processor time in millicpus times ms. */
struct team_usage {
	double by_team[CALLER_TEAMS_MAX];
	double total;
};

static void add_usage(struct team_usage *usage, const struct caller_job *job,
		      int64_t from_ms, int64_t until_ms, int64_t begin_ms,
		      int64_t end_ms)
{
	if (from_ms < begin_ms)
		from_ms = begin_ms;
	if (until_ms > end_ms)
		until_ms = end_ms;
	if (until_ms <= from_ms)
		return;
	usage->by_team[job->team] +=
		(double)job->millicpus * (double)(until_ms - from_ms);
	usage->total += (double)job->millicpus * (double)(until_ms - from_ms);
}

static void read_usage(struct team_usage *usage, struct caller *caller,
		       const char *path, int64_t begin_ms, int64_t end_ms)
{
	struct ledger ledger = {.caller = caller};
	char text[CALLER_LINE_MAX];
	char event[16];
	char id[ZR_TASK_ID_MAX];
	FILE *file = fopen(path, "r");
	struct ledger_task *task;
	int64_t at_ms;

	while (file && fgets(text, sizeof(text), file)) {
		if (sscanf(text, "%15s %127s %*s %" SCNd64, event, id,
			   &at_ms) != 3)
			continue;
		task = get_or_add_task(&ledger, id);
		if (!strcmp(event, "start"))
			task->started_ms = at_ms;
		else if (task->job && task->job->kind != ZR_JOB_SERVICE)
			add_usage(usage, task->job, task->started_ms, at_ms,
				  begin_ms, end_ms);
	}
	if (file)
		fclose(file);
	free_tasks(&ledger);
}

static void report_shares(const struct caller *caller, const char *ledger)
{
	int64_t begin_ms = share_window_begin(caller);
	int64_t end_ms = share_window_end(caller);
	struct team_usage usage = {0};
	uint32_t shares = 0;
	size_t i;

	for (i = 0; i < caller->team_count; i++)
		shares += caller->teams[i].share;
	if (end_ms > begin_ms && end_ms != INT64_MAX)
		read_usage(&usage, (struct caller *)caller, ledger, begin_ms,
			   end_ms);
	printf("\n%-14s %12s %12s\n", "team", "entitled", "had");
	for (i = 0; i < caller->team_count; i++) {
		const struct caller_team *team = &caller->teams[i];
		double entitled = (double)PERCENT * team->share / shares;

		if (usage.total > 0)
			printf("%-14s %11.1f%% %11.1f%%\n", team->name,
			       entitled,
			       PERCENT * usage.by_team[i] / usage.total);
		else
			printf("%-14s %11.1f%% %12s\n", team->name, entitled,
			       "uncontended");
	}
	if (usage.total > 0)
		printf("(share of the processor time of batches and gangs in "
		       "the %.1f s while every team had jobs waiting)\n",
		       (double)(end_ms - begin_ms) / 1000);
}

/* The table */

static int compare_ms(const void *a, const void *b)
{
	int64_t left = *(const int64_t *)a;
	int64_t right = *(const int64_t *)b;

	return left < right ? -1 : left > right;
}

static int64_t quantile(int64_t *values, unsigned int count,
			unsigned int percent)
{
	if (!count)
		return 0;
	qsort(values, count, sizeof(*values), compare_ms);
	return values[(uint64_t)(count - 1) * percent / PERCENT];
}

static void print_row(const char *name, struct table_row *row)
{
	printf("%-22s %6u %9u %9u %8u %8u %6u %9" PRId64 " %9" PRId64 "\n",
	       name, row->sent, row->accepted, row->ended, row->refused,
	       row->unknown, row->repeated,
	       quantile(row->waits_ms, row->wait_count, 50),
	       quantile(row->waits_ms, row->wait_count, 99));
}

static void add_job(struct table_row *row, const struct caller_job *job)
{
	row->sent++;
	row->accepted += *job->id != '\0';
	row->ended += job->state == CALLER_JOB_ENDED;
	row->refused += job->state == CALLER_JOB_REFUSED;
	row->unknown += job->state == CALLER_JOB_SENT;
	row->repeated += job->repeated_tasks;
	if (job->first_start_ms >= 0)
		row->waits_ms[row->wait_count++] =
			job->first_start_ms - job->sent_ms;
}

/* Prints the row of a kind of jobs. Returns whether it shows no fault. */
static bool report_kind(const struct caller *caller, const char *name,
			enum zr_job_kind kind, bool urgent)
{
	struct table_row row = {0};
	bool ok;
	size_t i;

	row.waits_ms = calloc(caller->job_count + 1, sizeof(int64_t));
	if (!row.waits_ms)
		abort();
	for (i = 0; i < caller->job_count; i++) {
		const struct caller_job *job = &caller->jobs[i];

		if (job->kind == kind && job->urgent == urgent)
			add_job(&row, job);
	}
	if (row.sent)
		print_row(name, &row);
	ok = row.accepted == row.ended && !row.repeated && !row.unknown;
	free(row.waits_ms);
	return ok;
}

static bool report_requests(const struct caller *caller)
{
	bool ok = true;
	size_t i;

	for (i = 0; i < caller->series_count; i++) {
		const struct caller_request_series *series = &caller->series[i];
		struct table_row row = {
			.sent = series->sent,
			.accepted = series->answered,
			.ended = series->answered,
			.refused = series->not_run,
			.unknown = series->unknown,
			.repeated = series->wrong,
			.waits_ms = series->waits_ms,
			.wait_count = series->answered,
		};
		char name[ZR_NAME_MAX + 16];

		snprintf(name, sizeof(name), "requests %s", series->service);
		print_row(name, &row);
		ok = ok && !series->wrong && series->answered;
	}
	return ok;
}

int caller_report(const struct caller *caller, const char *ledger)
{
	bool ok;

	printf("%-22s %6s %9s %9s %8s %8s %6s %9s %9s\n", "work", "sent",
	       "accepted", "finished", "not run", "unknown", "twice",
	       "wait p50", "wait p99");
	ok = report_kind(caller, "services", ZR_JOB_SERVICE, false);
	ok &= report_kind(caller, "batches", ZR_JOB_BATCH, false);
	ok &= report_kind(caller, "batches, urgent", ZR_JOB_BATCH, true);
	ok &= report_kind(caller, "gangs", ZR_JOB_GANG, false);
	ok &= report_requests(caller);
	printf("(waits in ms: for jobs until the first task started, "
	       "for requests until the answer)\n");
	report_shares(caller, ledger);
	return ok ? 0 : 1;
}

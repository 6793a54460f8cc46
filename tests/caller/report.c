#include "caller.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#define PERCENT 100

/* A task by the worker stand-in's ledger; id without its attempt. */
struct ledger_task {
	UT_hash_handle hh;
	char id[ZR_TASK_ID_MAX];
	struct caller_job *job;
	int64_t open_since_ms;
	unsigned int open;
	unsigned int ends;
};

/* What a team's tasks held, in thousandths of a processor times ms. */
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

struct row {
	unsigned int sent;
	unsigned int accepted;
	unsigned int ended;
	unsigned int refused;
	unsigned int unknown;
	unsigned int twice;
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

static struct ledger_task *obtain(struct ledger *ledger, const char *id)
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

static void take_start(struct ledger *ledger, struct ledger_task *task,
		       int64_t at_ms)
{
	struct caller_job *job = task->job;

	if (task->open++)
		ledger->overlaps++;
	task->open_since_ms = at_ms;
	if (!job)
		return;
	job->starts++;
	if (job->first_start_ms < 0)
		job->first_start_ms = at_ms;
}

static void take_line(struct ledger *ledger, const char *text)
{
	char what[16];
	char id[ZR_TASK_ID_MAX];
	struct ledger_task *task;
	int64_t at_ms;

	if (sscanf(text, "%15s %127s %*s %" SCNd64, what, id, &at_ms) != 3)
		return;
	task = obtain(ledger, id);
	if (!strcmp(what, "start")) {
		take_start(ledger, task, at_ms);
		return;
	}
	if (task->open)
		task->open--;
	if (!strcmp(what, "end") && ++task->ends > 1 && task->job)
		task->job->twice++;
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

/* Returns how often a task ran in two places at once, or -1. */
int caller_read_ledger(struct caller *caller, const char *path)
{
	struct ledger ledger = {.caller = caller};
	char text[CALLER_LINE_MAX];
	FILE *file = fopen(path, "r");

	if (!file)
		return -1;
	while (fgets(text, sizeof(text), file))
		take_line(&ledger, text);
	fclose(file);
	free_tasks(&ledger);
	return (int)ledger.overlaps;
}

/* Shares: what each team held while every team had work that waited */

static int64_t share_window_end(const struct caller *caller)
{
	int64_t last[CALLER_TEAMS_MAX] = {0};
	int64_t end = INT64_MAX;
	size_t i;

	for (i = 0; i < caller->job_count; i++) {
		const struct caller_job *job = &caller->jobs[i];

		if (job->kind == ZR_JOB_BATCH &&
		    job->first_start_ms > last[job->team])
			last[job->team] = job->first_start_ms;
	}
	for (i = 0; i < caller->team_count; i++) {
		if (last[i] && last[i] < end)
			end = last[i];
	}
	return end;
}

static int64_t share_window_begin(const struct caller *caller)
{
	int64_t begin = 0;
	size_t i;

	for (i = 0; i < caller->job_count; i++) {
		if (caller->jobs[i].sent_ms > begin)
			begin = caller->jobs[i].sent_ms;
	}
	return begin;
}

struct held {
	double by_team[CALLER_TEAMS_MAX];
	double total;
};

static void add_held(struct held *held, const struct caller_job *job,
		     int64_t from_ms, int64_t until_ms, int64_t begin_ms,
		     int64_t end_ms)
{
	if (from_ms < begin_ms)
		from_ms = begin_ms;
	if (until_ms > end_ms)
		until_ms = end_ms;
	if (until_ms <= from_ms)
		return;
	held->by_team[job->team] +=
		(double)job->millicpus * (double)(until_ms - from_ms);
	held->total += (double)job->millicpus * (double)(until_ms - from_ms);
}

static void read_held(struct held *held, struct caller *caller,
		      const char *path, int64_t begin_ms, int64_t end_ms)
{
	struct ledger ledger = {.caller = caller};
	char text[CALLER_LINE_MAX];
	char what[16];
	char id[ZR_TASK_ID_MAX];
	FILE *file = fopen(path, "r");
	struct ledger_task *task;
	int64_t at_ms;

	while (file && fgets(text, sizeof(text), file)) {
		if (sscanf(text, "%15s %127s %*s %" SCNd64, what, id, &at_ms) !=
		    3)
			continue;
		task = obtain(&ledger, id);
		if (!strcmp(what, "start"))
			task->open_since_ms = at_ms;
		else if (task->job && task->job->kind != ZR_JOB_SERVICE)
			add_held(held, task->job, task->open_since_ms, at_ms,
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
	struct held held = {0};
	uint32_t shares = 0;
	size_t i;

	for (i = 0; i < caller->team_count; i++)
		shares += caller->teams[i].share;
	if (end_ms > begin_ms && end_ms != INT64_MAX)
		read_held(&held, (struct caller *)caller, ledger, begin_ms,
			  end_ms);
	printf("\n%-14s %12s %12s\n", "team", "entitled", "had");
	for (i = 0; i < caller->team_count; i++) {
		const struct caller_team *team = &caller->teams[i];
		double entitled = (double)PERCENT * team->share / shares;

		if (held.total > 0)
			printf("%-14s %11.1f%% %11.1f%%\n", team->name,
			       entitled,
			       PERCENT * held.by_team[i] / held.total);
		else
			printf("%-14s %11.1f%% %12s\n", team->name, entitled,
			       "never full");
	}
	if (held.total > 0)
		printf("(processor time of batches and gangs while every team "
		       "had work waiting: %.1f s)\n",
		       (double)(end_ms - begin_ms) / 1000);
}

/* The table */

static int compare_ms(const void *a, const void *b)
{
	int64_t left = *(const int64_t *)a;
	int64_t right = *(const int64_t *)b;

	return left < right ? -1 : left > right;
}

static int64_t quantile(int64_t *values, unsigned int count, unsigned int part)
{
	if (!count)
		return 0;
	qsort(values, count, sizeof(*values), compare_ms);
	return values[(uint64_t)(count - 1) * part / PERCENT];
}

static void print_row(const char *name, struct row *row)
{
	printf("%-22s %6u %9u %9u %8u %8u %6u %9" PRId64 " %9" PRId64 "\n",
	       name, row->sent, row->accepted, row->ended, row->refused,
	       row->unknown, row->twice,
	       quantile(row->waits_ms, row->wait_count, 50),
	       quantile(row->waits_ms, row->wait_count, 99));
}

static void add_job(struct row *row, const struct caller_job *job)
{
	row->sent++;
	row->accepted += *job->id != '\0';
	row->ended += job->state == CALLER_JOB_ENDED;
	row->refused += job->state == CALLER_JOB_REFUSED;
	row->unknown += job->state == CALLER_JOB_SENT;
	row->twice += job->twice;
	if (job->first_start_ms >= 0)
		row->waits_ms[row->wait_count++] =
			job->first_start_ms - job->sent_ms;
}

static bool report_kind(const struct caller *caller, const char *name,
			enum zr_job_kind kind, bool urgent)
{
	struct row row = {0};
	bool good;
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
	good = row.accepted == row.ended && !row.twice && !row.unknown;
	free(row.waits_ms);
	return good;
}

static bool report_requests(const struct caller *caller)
{
	bool good = true;
	size_t i;

	for (i = 0; i < caller->request_lines; i++) {
		const struct caller_requests *requests = &caller->requests[i];
		struct row row = {
			.sent = requests->sent,
			.accepted = requests->answered,
			.ended = requests->answered,
			.refused = requests->not_run,
			.unknown = requests->unknown,
			.twice = requests->wrong,
			.waits_ms = requests->waits_ms,
			.wait_count = requests->answered,
		};
		char name[ZR_NAME_MAX + 16];

		snprintf(name, sizeof(name), "requests %s", requests->service);
		print_row(name, &row);
		good = good && !requests->wrong && requests->answered;
	}
	return good;
}

int caller_report(const struct caller *caller, const char *ledger)
{
	bool good;

	printf("%-22s %6s %9s %9s %8s %8s %6s %9s %9s\n", "work", "sent",
	       "accepted", "finished", "not run", "unknown", "twice",
	       "wait p50", "wait p99");
	good = report_kind(caller, "services", ZR_JOB_SERVICE, false);
	good &= report_kind(caller, "batches", ZR_JOB_BATCH, false);
	good &= report_kind(caller, "batches, urgent", ZR_JOB_BATCH, true);
	good &= report_kind(caller, "all-at-once jobs", ZR_JOB_GANG, false);
	good &= report_requests(caller);
	printf("(waits in ms: for jobs until the first task starts, for "
	       "requests until the answer)\n");
	report_shares(caller, ledger);
	return good ? 0 : 1;
}

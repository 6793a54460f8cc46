#include "fakes/fake_cell.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>

#include "zinniarack/errors.h"
#include "zinniarack/metrics.h"

#define DOMAIN_NAME "sapporo"
#define HOSTS_MAX 512
#define TEXT_MAX 512
#define HOST_LIST_INTERVAL_MS 1000
#define MEMORY_MB 1000000
/* Time for which the scheduler keeps an ended job. */
#define RETAIN_MS 3600000L
/*
 * Number of tasks up to which the running copies of each are counted after
 * every millisecond; with more tasks, only when a task begins.
 */
#define SCAN_MAX_TASKS 300

static const char config_text[] = "teams:\n"
				  "- name: photos\n"
				  "  share: 1\n"
				  "queues:\n"
				  "- name: prints\n";

/* Appended to config_text if the domain is evacuated. */
static const char evacuated_text[] = "failure_domains:\n"
				     "- name: " DOMAIN_NAME "\n"
				     "- name: other\n"
				     "evacuated:\n"
				     "- name: " DOMAIN_NAME "\n";

struct host {
	struct host *next;
	struct fake_cell *cell;
	struct fake_node *node;
	struct zr_store store;
	struct zr_domain *domain;
	struct zr_metrics *metrics;
	uint64_t epoch;
	bool dead;
};

struct worker {
	struct worker *next;
	struct fake_worker *fake;
	struct zr_host entry; /* in the host list */
	bool listed;
	uint64_t epoch; /* of the owner that started the latest task */
};

/* A submission and its outcome. */
struct submission {
	UT_hash_handle hh;
	struct fake_cell *cell;
	char name[ZR_NAME_MAX];
	char id[ZR_JOB_ID_MAX];
	bool at_most_once;
	bool answered;
	int error;
	bool begun;
	long sent_ms;
	long ended_ms;
};

/* A task, over all its attempts; the ledger holds all tasks that have begun. */
struct ledger_task {
	UT_hash_handle hh;
	char id[ZR_TASK_ID_MAX]; /* without the attempt */
	unsigned int begun;	 /* number of attempts that have begun */
	unsigned int running;	 /* number of attempts that run */
};

struct fake_cell {
	fake_cell_event_fn event;
	void *ctx;
	struct fake_net *net;
	struct fake_store *store;
	struct zr_config *config;
	struct host *hosts;
	struct worker *workers;
	struct submission *submissions;
	struct ledger_task *ledger;
	struct fake_cell_counts counts;
	unsigned int violations;
	uint64_t epoch;
	unsigned int *delays;
	size_t delay_count;
	unsigned int unfinished;
	unsigned int failed;
	unsigned int journal_shards;
};

static void *allocate(size_t size)
{
	void *memory = calloc(1, size);

	if (!memory)
		abort();
	return memory;
}

__attribute__((format(printf, 2, 3))) static void
report_event(struct fake_cell *cell, const char *fmt, ...)
{
	char text[TEXT_MAX];
	va_list args;

	if (!cell->event)
		return;
	va_start(args, fmt);
	vsnprintf(text, sizeof(text), fmt, args);
	va_end(args);
	cell->event(cell->ctx, text);
}

static void violation(struct fake_cell *cell, const char *what, const char *id)
{
	cell->violations++;
	report_event(cell, "VIOLATION %s: %s", what, id);
}

/* The ledger */

/* The task's name is the id without the attempt number. */
static struct ledger_task *ledger_get_or_add(struct fake_cell *cell,
					     const char *id)
{
	const char *attempt = strrchr(id, '/');
	char name[ZR_TASK_ID_MAX] = "";
	struct ledger_task *task;

	memcpy(name, id, attempt ? (size_t)(attempt - id) : 0);
	HASH_FIND_STR(cell->ledger, name, task);
	if (task)
		return task;
	task = allocate(sizeof(*task));
	snprintf(task->id, sizeof(task->id), "%s", name);
	HASH_ADD_STR(cell->ledger, id, task);
	return task;
}

static struct worker *find_worker(struct fake_cell *cell, const char *name)
{
	struct worker *worker;

	LL_FOREACH(cell->workers, worker)
	{
		if (!strcmp(worker->entry.name, name))
			return worker;
	}
	abort();
}

static void check_begin(struct fake_cell *cell, const char *worker_name,
			const struct ledger_task *task, uint64_t epoch,
			const char *job)
{
	struct worker *worker = find_worker(cell, worker_name);
	struct submission *submission;

	HASH_FIND_STR(cell->submissions, job, submission);
	if (epoch < worker->epoch)
		violation(cell, "start by an earlier owner", worker_name);
	worker->epoch = epoch;
	if (!submission)
		return;
	submission->begun = true;
	if (submission->at_most_once && task->begun > 1)
		violation(cell, "at-most-once task begun again", task->id);
	if (submission->answered && submission->error < 0 &&
	    submission->error != ZR_E_OUTCOME_UNKNOWN)
		violation(cell, "refused job runs", job);
}

static void record_end(struct fake_cell *cell, const char *job)
{
	struct submission *submission;

	HASH_FIND_STR(cell->submissions, job, submission);
	if (submission)
		submission->ended_ms = fake_cell_now_ms(cell);
}

static void on_task(void *ctx, const char *worker, enum fake_worker_event event,
		    const char *id, uint64_t epoch, const char *result)
{
	static const char *const names[] = {"begun", "ended", "stopped",
					    "killed"};
	struct fake_cell *cell = ctx;
	struct ledger_task *task = ledger_get_or_add(cell, id);

	report_event(cell, "%s task %s %s", worker, id, names[event]);
	if (event != FAKE_TASK_BEGUN) {
		task->running--;
		cell->counts.ended += event == FAKE_TASK_ENDED;
		record_end(cell, result);
		return;
	}
	if (epoch > cell->epoch) {
		cell->epoch = epoch;
		cell->counts.first_begun_ms = fake_cell_now_ms(cell);
	}
	cell->counts.begun++;
	cell->counts.reruns += task->begun > 0;
	task->begun++;
	if (++task->running > 1 && HASH_COUNT(cell->ledger) > SCAN_MAX_TASKS)
		violation(cell, "runs on two workers", task->id);
	check_begin(cell, worker, task, epoch, result);
}

/* Not called for the tasks of a paused worker, which make no progress. */
static void count_running(void *ctx, const char *worker, const char *id)
{
	struct fake_cell *cell = ctx;

	(void)worker;
	ledger_get_or_add(cell, id)->running++;
}

static void check_running(struct fake_cell *cell)
{
	struct ledger_task *task;
	struct worker *worker;

	if (HASH_COUNT(cell->ledger) > SCAN_MAX_TASKS)
		return;
	for (task = cell->ledger; task; task = task->hh.next)
		task->running = 0;
	LL_FOREACH(cell->workers, worker)
	{
		fake_worker_for_each(worker->fake, count_running, cell);
	}
	for (task = cell->ledger; task; task = task->hh.next) {
		if (task->running > 1)
			violation(cell, "runs on two workers", task->id);
	}
}

unsigned int fake_cell_count_running(const struct fake_cell *cell)
{
	const struct worker *worker;
	unsigned int count = 0;

	LL_FOREACH(cell->workers, worker)
	{
		count += fake_worker_task_count(worker->fake);
	}
	return count;
}

/* Hosts */

static struct host *find_host(struct fake_cell *cell, const char *name)
{
	struct host *host;

	LL_FOREACH(cell->hosts, host)
	{
		if (!host->dead && !strcmp(fake_node_name(host->node), name))
			return host;
	}
	abort();
}

static int make_worker(struct zr_worker *out, void *ctx, const char *address)
{
	struct host *host = ctx;

	fake_worker_client(out, find_worker(host->cell, address)->fake,
			   host->node);
	return 0;
}

static void send_host_list(struct fake_cell *cell, struct host *host)
{
	struct zr_host hosts[HOSTS_MAX];
	struct worker *worker;
	size_t count = 0;

	LL_FOREACH(cell->workers, worker)
	{
		if (!worker->listed || count == HOSTS_MAX)
			continue;
		hosts[count] = worker->entry;
		hosts[count++].leaving = zr_config_is_evacuated(
			cell->config, worker->entry.domain);
	}
	zr_domain_set_hosts(host->domain, hosts, count);
}

void fake_cell_add_host(struct fake_cell *cell, const char *name)
{
	struct host *host = allocate(sizeof(*host));
	struct zr_domain_options options = {
		.version = ZR_DOMAIN_OPTIONS_VERSION,
		.domain = DOMAIN_NAME,
		.name = name,
		.worker_new = make_worker,
		.worker_ctx = host,
		.journal_shards = cell->journal_shards,
	};

	host->cell = cell;
	host->node = fake_node_new(cell->net, name);
	fake_store_client(&host->store, cell->store, host->node);
	zr_metrics_new(&host->metrics);
	options.timers = fake_time_timers(fake_node_time(host->node));
	options.clock = fake_time_clock(fake_node_time(host->node));
	options.store = &host->store;
	options.metrics = host->metrics;
	if (zr_domain_new(&host->domain, &options) < 0)
		abort();
	zr_domain_configure(host->domain, cell->config);
	send_host_list(cell, host);
	LL_APPEND(cell->hosts, host);
}

static void kill_host(struct host *host)
{
	if (host->dead)
		return;
	host->dead = true;
	zr_domain_free(host->domain);
	zr_store_free(&host->store);
	fake_node_kill(host->node);
	zr_metrics_free(host->metrics);
}

void fake_cell_kill(struct fake_cell *cell, const char *name)
{
	report_event(cell, "%s killed", name);
	kill_host(find_host(cell, name));
}

static void on_stopped(void *ctx)
{
	struct host *host = ctx;

	report_event(host->cell, "%s has handed over",
		     fake_node_name(host->node));
}

void fake_cell_stop(struct fake_cell *cell, const char *name)
{
	struct host *host = find_host(cell, name);

	zr_domain_stop(host->domain, on_stopped, host);
}

static struct host *active_host(const struct fake_cell *cell)
{
	struct host *active = NULL;
	struct host *host;

	LL_FOREACH(cell->hosts, host)
	{
		if (host->dead || !zr_domain_epoch(host->domain))
			continue;
		if (!active || zr_domain_epoch(active->domain) <
				       zr_domain_epoch(host->domain))
			active = host;
	}
	return active;
}

struct zr_domain *fake_cell_get_active(struct fake_cell *cell)
{
	struct host *host = active_host(cell);

	return host ? host->domain : NULL;
}

void fake_cell_kill_active(struct fake_cell *cell)
{
	struct host *host = active_host(cell);
	char name[ZR_NAME_MAX];

	if (!host)
		abort();
	snprintf(name, sizeof(name), "%s", fake_node_name(host->node));
	fake_cell_kill(cell, name);
	fake_cell_add_host(cell, name);
}

/* Workers */

void fake_cell_add_worker(struct fake_cell *cell, const char *name,
			  unsigned int millicpus, bool supports_fencing)
{
	const struct fake_worker_observer observer = {on_task, cell};
	struct worker *worker = allocate(sizeof(*worker));

	worker->fake =
		fake_worker_new(cell->net, name, supports_fencing, &observer);
	worker->entry.kind = ZR_HOST_WORKER;
	snprintf(worker->entry.name, ZR_NAME_MAX, "%s", name);
	snprintf(worker->entry.address, ZR_NAME_MAX, "%s", name);
	snprintf(worker->entry.domain, ZR_NAME_MAX, "%s", DOMAIN_NAME);
	worker->entry.capacity.millicpus = millicpus;
	worker->entry.capacity.memory_mb = MEMORY_MB;
	worker->listed = true;
	LL_APPEND(cell->workers, worker);
}

void fake_cell_set_listed(struct fake_cell *cell, const char *name, bool listed)
{
	find_worker(cell, name)->listed = listed;
}

void fake_cell_restart_worker(struct fake_cell *cell, const char *name)
{
	struct worker *worker = find_worker(cell, name);

	report_event(cell, "%s restarts", name);
	fake_worker_restart(worker->fake);
	worker->epoch = 0;
}

/* Submissions */

static void record_delay(struct fake_cell *cell,
			 const struct submission *submission)
{
	cell->delays = realloc(cell->delays,
			       (cell->delay_count + 1) * sizeof(*cell->delays));
	if (!cell->delays)
		abort();
	cell->delays[cell->delay_count++] =
		(unsigned int)(fake_cell_now_ms(cell) - submission->sent_ms);
}

const unsigned int *fake_cell_accept_delays_ms(const struct fake_cell *cell,
					       size_t *count)
{
	*count = cell->delay_count;
	return cell->delays;
}

static void on_submitted(void *ctx, int error, const char *id)
{
	struct submission *submission = ctx;
	struct fake_cell *cell = submission->cell;

	submission->answered = true;
	submission->error = error;
	snprintf(submission->id, sizeof(submission->id), "%s", id ? id : "");
	report_event(cell, "submit %s: %s", submission->name,
		     error < 0 ? zr_error_name(error) : id);
	if (!error) {
		cell->counts.accepted++;
		record_delay(cell, submission);
	} else if (error == ZR_E_OUTCOME_UNKNOWN)
		cell->counts.unknown++;
	else
		cell->counts.refused++;
	if (submission->begun && error < 0 && error != ZR_E_OUTCOME_UNKNOWN)
		violation(cell, "running job refused", submission->name);
}

static struct submission *find_submission(struct fake_cell *cell,
					  const char *name)
{
	struct submission *submission;

	HASH_FIND_STR(cell->submissions, name, submission);
	if (!submission)
		abort();
	return submission;
}

static struct submission *add_submission(struct fake_cell *cell,
					 const struct fake_cell_job *job)
{
	struct submission *submission = allocate(sizeof(*submission));

	submission->cell = cell;
	snprintf(submission->name, ZR_NAME_MAX, "%s", job->name);
	submission->at_most_once = job->at_most_once;
	submission->sent_ms = fake_cell_now_ms(cell);
	HASH_ADD_STR(cell->submissions, name, submission);
	return submission;
}

void fake_cell_submit(struct fake_cell *cell, const char *host,
		      const struct fake_cell_job *job)
{
	struct zr_job_spec spec = {
		.team = "photos",
		.queue = "prints",
		.kind = job->service ? ZR_JOB_SERVICE : ZR_JOB_BATCH,
		.tasks = job->tasks,
		.size = {1000, 1, 0},
		.at_most_once = job->at_most_once,
	};
	char command[TEXT_MAX];

	snprintf(spec.name, ZR_NAME_MAX, "%s",
		 job->spec_name ? job->spec_name : job->name);
	snprintf(spec.idempotency_key, ZR_IDEMPOTENCY_KEY_MAX, "%s", job->key);
	snprintf(command, sizeof(command), "%s %u %s",
		 job->fails ? "fail" : "run", job->run_ms, job->name);
	spec.command = command;
	zr_domain_submit(find_host(cell, host)->domain, &spec, on_submitted,
			 add_submission(cell, job));
}

static void on_read(void *ctx, int error, const struct zr_domain_job_info *job)
{
	struct submission *submission = ctx;
	uint32_t results = 0;
	uint32_t i;

	if (error < 0) {
		report_event(submission->cell, "read %s: %s", submission->name,
			     zr_error_name(error));
		return;
	}
	for (i = 0; i < job->result_count; i++)
		results += *job->results[i].result != '\0';
	report_event(submission->cell,
		     "read %s: %s, %u running, %u ended, %u results",
		     submission->name, zr_job_state_name(job->state),
		     job->running, job->ended, results);
}

void fake_cell_read(struct fake_cell *cell, const char *host, const char *name)
{
	struct submission *submission = find_submission(cell, name);

	zr_domain_read(find_host(cell, host)->domain, submission->id, "", 0,
		       on_read, submission);
}

void fake_cell_cancel(struct fake_cell *cell, const char *host,
		      const char *name)
{
	struct submission *submission = find_submission(cell, name);

	zr_domain_cancel(find_host(cell, host)->domain, submission->id, "",
			 on_read, submission);
}

static void on_accepted_read(void *ctx, int error,
			     const struct zr_domain_job_info *job)
{
	struct submission *submission = ctx;

	(void)job;
	if (error < 0)
		violation(submission->cell, "accepted job lost",
			  submission->name);
}

void fake_cell_check_accepted(struct fake_cell *cell)
{
	struct zr_domain *domain = fake_cell_get_active(cell);
	struct submission *submission;

	if (!domain)
		return;
	for (submission = cell->submissions; submission;
	     submission = submission->hh.next) {
		/* The scheduler may have removed it after this time. */
		if (submission->ended_ms &&
		    submission->ended_ms + RETAIN_MS < fake_cell_now_ms(cell))
			continue;
		if (submission->answered && !submission->error)
			zr_domain_read(domain, submission->id, "", 0,
				       on_accepted_read, submission);
	}
}

static void count_job(void *ctx, int error,
		      const struct zr_domain_job_info *job)
{
	struct fake_cell *cell = ctx;

	if (error < 0 || !zr_job_state_is_final(job->state))
		cell->unfinished++;
	else if (job->state != ZR_JOB_SUCCEEDED)
		cell->failed++;
}

unsigned int fake_cell_count_unfinished(struct fake_cell *cell,
					unsigned int *failed)
{
	struct zr_domain *domain = fake_cell_get_active(cell);
	struct submission *submission;

	cell->unfinished = 0;
	cell->failed = 0;
	for (submission = cell->submissions; submission;
	     submission = submission->hh.next) {
		if (!submission->answered || submission->error)
			continue;
		if (domain)
			zr_domain_read(domain, submission->id, "", 0, count_job,
				       cell);
		else
			cell->unfinished++;
	}
	*failed = cell->failed;
	return cell->unfinished;
}

/* Time */

static void report_ownership(struct fake_cell *cell)
{
	struct host *host;

	LL_FOREACH(cell->hosts, host)
	{
		uint64_t epoch = host->dead ? 0 : zr_domain_epoch(host->domain);

		if (epoch == host->epoch)
			continue;
		host->epoch = epoch;
		if (epoch)
			report_event(cell, "%s owns the domain, epoch %lu",
				     fake_node_name(host->node), epoch);
		else
			report_event(cell, "%s lost ownership",
				     fake_node_name(host->node));
	}
}

void fake_cell_run(struct fake_cell *cell, unsigned int ms)
{
	struct host *host;

	for (; ms; ms--) {
		fake_net_advance(cell->net, 1);
		report_ownership(cell);
		check_running(cell);
		if (fake_cell_now_ms(cell) % HOST_LIST_INTERVAL_MS)
			continue;
		LL_FOREACH(cell->hosts, host)
		{
			if (!host->dead && !fake_node_paused(host->node))
				send_host_list(cell, host);
		}
	}
}

long fake_cell_now_ms(const struct fake_cell *cell)
{
	return fake_net_now_ms(cell->net);
}

struct fake_net *fake_cell_net(struct fake_cell *cell)
{
	return cell->net;
}

struct fake_store *fake_cell_store(struct fake_cell *cell)
{
	return cell->store;
}

void fake_cell_set_journal_shards(struct fake_cell *cell, unsigned int count)
{
	cell->journal_shards = count;
}

unsigned int fake_cell_violations(const struct fake_cell *cell)
{
	return cell->violations;
}

const struct fake_cell_counts *fake_cell_counts(const struct fake_cell *cell)
{
	return &cell->counts;
}

static struct zr_config *parse_config(bool evacuated)
{
	char text[sizeof(config_text) + sizeof(evacuated_text)];
	struct zr_config *config;

	snprintf(text, sizeof(text), "%s%s", config_text,
		 evacuated ? evacuated_text : "");
	if (zr_config_parse(&config, "test", text, strlen(text)) < 0) {
		fprintf(stderr, "%s\n", zr_error_last());
		abort();
	}
	return config;
}

void fake_cell_set_evacuated(struct fake_cell *cell, bool evacuated)
{
	struct zr_config *before = cell->config;
	struct host *host;

	cell->config = parse_config(evacuated);
	LL_FOREACH(cell->hosts, host)
	{
		if (host->dead)
			continue;
		zr_domain_configure(host->domain, cell->config);
		send_host_list(cell, host);
	}
	zr_config_free(before);
}

struct fake_cell *fake_cell_new(fake_cell_event_fn event, void *ctx)
{
	struct fake_cell *cell = allocate(sizeof(*cell));

	cell->event = event;
	cell->ctx = ctx;
	cell->net = fake_net_new();
	cell->store = fake_store_new(cell->net, "store");
	cell->config = parse_config(false);
	return cell;
}

static void free_ledger(struct fake_cell *cell)
{
	struct submission *submission;
	struct submission *next_submission;
	struct ledger_task *task;
	struct ledger_task *next_task;

	HASH_ITER (hh, cell->submissions, submission, next_submission) {
		HASH_DEL(cell->submissions, submission);
		free(submission);
	}
	HASH_ITER (hh, cell->ledger, task, next_task) {
		HASH_DEL(cell->ledger, task);
		free(task);
	}
}

void fake_cell_free(struct fake_cell *cell)
{
	struct host *host;
	struct host *next_host;
	struct worker *worker;
	struct worker *next_worker;

	cell->event = NULL;
	LL_FOREACH_SAFE(cell->hosts, host, next_host)
	{
		kill_host(host);
		free(host);
	}
	LL_FOREACH_SAFE(cell->workers, worker, next_worker)
	{
		fake_worker_free(worker->fake);
		free(worker);
	}
	fake_store_free(cell->store);
	fake_net_free(cell->net);
	free_ledger(cell);
	zr_config_free(cell->config);
	free(cell->delays);
	free(cell);
}

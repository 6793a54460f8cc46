#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "fakes/fake_time.h"
#include "fakes/sched_model.h"
#include "zinniarack/errors.h"

/*
 * Runs a script of events through the scheduler core, under the invariant
 * checker, and prints each decision. Each line is a verb and its arguments:
 *
 *   policy NAME                    set the scheduling policy
 *   team NAME SHARE CPU MEM ACC    set a team's share and upper limit
 *   queue NAME TEAM WORTH          set a queue's team and priority
 *   configure                      apply the policy, teams and queues
 *   allotment TEAM CPU MEM ACC     set the part of a team's limit that this
 *                                  failure domain may use
 *   worker NAME RACK CPU MEM ACC   add a worker
 *   up|leaving|unresponsive NAME   set the state of a worker
 *   remove NAME                    remove a worker
 *   job ID QUEUE [OPTION]...       submit a job
 *   jobs PREFIX COUNT QUEUE [OPTION]...
 *                                  submit jobs PREFIX0, PREFIX1 and so on
 *   check QUEUE [OPTION]...        print whether such a job would be accepted
 *   cancel|hold|release|remove-jobs PREFIX
 *                                  do so with all jobs whose id starts with it
 *   end ID INDEX OUTCOME           report the end of a task
 *   end-all PREFIX OUTCOME         report it for all running tasks of the jobs
 *   end-stopping                   report all tasks that are being stopped as
 *                                  stopped
 *   usage ID INDEX CPU MEM [AGE_MS]
 *                                  report a task's usage, measured AGE_MS ago
 *   usage-percent PREFIX PERCENT   report that each running task of the jobs
 *                                  uses that part of its reservation
 *   adopt ID INDEX ATTEMPT WORKER  report a task found running on a worker
 *   replay ID INDEX ATTEMPT OUTCOME
 *                                  restore the end of a task from the journal
 *   decide [MAX]                   make all decisions, or at most MAX
 *   advance MS                     advance the clock, deciding each TICK_MS
 *   quiet, verbose                 stop or resume printing decisions
 *   show ID                        print the state of a job
 *   explain ID                     print why a job waits
 *   workers                        print all workers
 *   team-usage TEAM                print what a team uses
 *   counts                         print the numbers of starts and stops since
 *                                  the last counts
 *
 * An OPTION is urgent, at-most-once, kind=batch|service|gang, name=NAME, or one
 * of tasks, cpu, mem, acc, worth, run_ms and deadline_ms (from now) with =N.
 * CPU is in thousandths of a processor, MEM in MiB, ACC in accelerators. Lines
 * that begin with "#" are printed.
 */

#define TICK_MS 200
#define WORDS_MAX 16
#define LIST_MAX 16
#define STOP_REASONS 6 /* number of enum zr_sched_stop_reason values */

/* The handle of a job or worker. */
struct entry {
	UT_hash_handle hh;
	char name[ZR_JOB_ID_MAX];
	zr_handle handle;
};

struct runner {
	struct fake_time *time;
	struct sched_model *model;
	struct zr_sched *sched;
	struct entry *jobs;
	struct entry *workers;
	struct zr_config config;
	struct zr_config_team teams[LIST_MAX];
	struct zr_config_queue queues[LIST_MAX];
	bool quiet;
	unsigned int starts;
	unsigned int stops[STOP_REASONS];
};

static const char *const outcomes[] = {
	"succeeded", "failed", "not-started", "stopped", "lost",
};

static void die(const char *what, const char *word)
{
	fprintf(stderr, "run_sched: %s: %s\n", what, word);
	exit(2);
}

static uint32_t parse_number(const char *word)
{
	char *end;
	unsigned long value = strtoul(word, &end, 10);

	if (*end || !*word)
		die("not a number", word);
	return (uint32_t)value;
}

static enum zr_sched_outcome parse_outcome(const char *word)
{
	unsigned int i;

	for (i = 0; i < sizeof(outcomes) / sizeof(*outcomes); i++) {
		if (!strcmp(outcomes[i], word))
			return (enum zr_sched_outcome)i;
	}
	die("not an outcome", word);
	return ZR_SCHED_LOST;
}

static struct entry *find_entry(struct entry *list, const char *name)
{
	struct entry *entry;

	HASH_FIND_STR(list, name, entry);
	if (!entry)
		die("no such name", name);
	return entry;
}

static void add_entry(struct entry **list, const char *name, zr_handle handle)
{
	struct entry *entry = calloc(1, sizeof(*entry));

	if (!entry)
		abort();
	snprintf(entry->name, sizeof(entry->name), "%s", name);
	entry->handle = handle;
	HASH_ADD_STR(*list, name, entry);
}

static const char *worker_name(const struct runner *runner, zr_handle handle)
{
	const struct entry *entry;

	for (entry = runner->workers; entry; entry = entry->hh.next) {
		if (entry->handle == handle)
			return entry->name;
	}
	return "none";
}

/* Sink */

static void on_start(void *ctx, const struct zr_sched_task *task,
		     const struct zr_job_spec *spec, const char *reason)
{
	struct runner *runner = ctx;

	(void)spec;
	runner->starts++;
	if (!runner->quiet)
		printf("start %s/%u/%u %s (%s)\n", task->job_id, task->index,
		       task->attempt, worker_name(runner, task->worker),
		       reason);
}

static void on_stop(void *ctx, const struct zr_sched_task *task,
		    enum zr_sched_stop_reason reason)
{
	struct runner *runner = ctx;

	runner->stops[reason]++;
	if (!runner->quiet)
		printf("stop %s/%u/%u %s\n", task->job_id, task->index,
		       task->attempt, zr_sched_stop_reason_name(reason));
}

static void on_job_changed(void *ctx, zr_handle job, const char *job_id,
			   enum zr_job_state state, const char *reason)
{
	const struct runner *runner = ctx;

	(void)job;
	if (!runner->quiet)
		printf("job %s %s (%s)\n", job_id, zr_job_state_name(state),
		       reason);
}

/* Configuration */

static struct zr_resources parse_resources(char **words)
{
	const struct zr_resources resources = {parse_number(words[0]),
					       parse_number(words[1]),
					       parse_number(words[2])};

	return resources;
}

static void do_policy(struct runner *runner, char **words)
{
	runner->config.policy = strcmp(words[1], "shares-first")
					? ZR_POLICY_WAITING_FIRST
					: ZR_POLICY_SHARES_FIRST;
}

static void do_team(struct runner *runner, char **words)
{
	uint32_t i = 0;

	while (i < runner->config.teams_count &&
	       strcmp(runner->teams[i].name, words[1]))
		i++;
	if (i == runner->config.teams_count) {
		runner->config.teams_count++;
		runner->teams[i].name = strdup(words[1]);
	}
	runner->teams[i].share = parse_number(words[2]);
	runner->teams[i].limit = parse_resources(words + 3);
}

static void do_queue(struct runner *runner, char **words)
{
	uint32_t i = 0;

	while (i < runner->config.queues_count &&
	       strcmp(runner->queues[i].name, words[1]))
		i++;
	if (i == runner->config.queues_count) {
		runner->config.queues_count++;
		runner->queues[i].name = strdup(words[1]);
		runner->queues[i].team = strdup(words[2]);
	}
	runner->queues[i].worth = parse_number(words[3]);
}

static void do_configure(struct runner *runner, char **words)
{
	(void)words;
	sched_model_configure(runner->model, &runner->config);
	zr_sched_configure(runner->sched, &runner->config);
}

static void do_allotment(struct runner *runner, char **words)
{
	struct zr_resources allotment = parse_resources(words + 2);

	sched_model_set_allotment(runner->model, words[1], &allotment);
	zr_sched_set_allotment(runner->sched, words[1], &allotment);
}

/* Workers */

static void do_worker(struct runner *runner, char **words)
{
	const struct zr_sched_worker info = {
		.name = words[1],
		.rack = words[2],
		.capacity = parse_resources(words + 3),
	};
	zr_handle handle;

	if (zr_sched_worker_add(&handle, runner->sched, &info) < 0)
		die("can't add worker", words[1]);
	sched_model_worker_add(runner->model, handle, &info);
	add_entry(&runner->workers, words[1], handle);
}

static void do_worker_state(struct runner *runner, char **words)
{
	zr_handle handle = find_entry(runner->workers, words[1])->handle;
	enum zr_sched_worker_state state = ZR_SCHED_WORKER_UP;

	if (!strcmp(words[0], "leaving"))
		state = ZR_SCHED_WORKER_LEAVING;
	if (!strcmp(words[0], "unresponsive"))
		state = ZR_SCHED_WORKER_UNRESPONSIVE;
	sched_model_worker_set_state(runner->model, handle, state);
	zr_sched_worker_set_state(runner->sched, handle, state);
}

static void do_worker_remove(struct runner *runner, char **words)
{
	struct entry *entry = find_entry(runner->workers, words[1]);

	sched_model_worker_remove(runner->model, entry->handle);
	zr_sched_worker_remove(runner->sched, entry->handle);
	HASH_DEL(runner->workers, entry);
	free(entry);
}

/* Jobs */

static enum zr_job_kind parse_kind(const char *word)
{
	if (!strcmp(word, "service"))
		return ZR_JOB_SERVICE;
	return strcmp(word, "gang") ? ZR_JOB_BATCH : ZR_JOB_GANG;
}

static void set_number_field(struct runner *runner, struct zr_job_spec *spec,
			     const char *key, uint32_t value)
{
	const struct zr_clock *clock = fake_time_clock(runner->time);

	if (!strcmp(key, "tasks"))
		spec->tasks = value;
	else if (!strcmp(key, "cpu"))
		spec->size.millicpus = value;
	else if (!strcmp(key, "mem"))
		spec->size.memory_mb = value;
	else if (!strcmp(key, "acc"))
		spec->size.accelerators = value;
	else if (!strcmp(key, "worth"))
		spec->worth = value;
	else if (!strcmp(key, "run_ms"))
		spec->run_ms = value;
	else if (!strcmp(key, "deadline_ms"))
		spec->deadline_ms =
			zr_time_to_ms(clock->realtime(clock->ctx)) + value;
	else
		die("no such option", key);
}

static void set_field(struct runner *runner, struct zr_job_spec *spec,
		      char *word)
{
	char *value = strchr(word, '=');

	if (!strcmp(word, "urgent")) {
		spec->urgent = true;
		return;
	}
	if (!strcmp(word, "at-most-once")) {
		spec->at_most_once = true;
		return;
	}
	if (!value)
		die("option without a value", word);
	*value++ = '\0';
	if (!strcmp(word, "kind"))
		spec->kind = parse_kind(value);
	else if (!strcmp(word, "name"))
		snprintf(spec->name, sizeof(spec->name), "%s", value);
	else
		set_number_field(runner, spec, word, parse_number(value));
}

static void parse_spec(struct runner *runner, struct zr_job_spec *spec,
		       const char *id, char **words)
{
	const struct zr_config_queue *queue =
		zr_config_find_queue(&runner->config, words[0]);

	memset(spec, 0, sizeof(*spec));
	snprintf(spec->queue, sizeof(spec->queue), "%s", words[0]);
	snprintf(spec->name, sizeof(spec->name), "%s", id);
	if (queue)
		snprintf(spec->team, sizeof(spec->team), "%s", queue->team);
	spec->tasks = 1;
	spec->size.millicpus = 1000;
	spec->size.memory_mb = 1000;
	for (words++; *words; words++)
		set_field(runner, spec, *words);
}

static void add_job(struct runner *runner, const char *id,
		    const struct zr_job_spec *spec)
{
	zr_handle handle;

	sched_model_job_add(runner->model, id, spec);
	if (zr_sched_job_add(&handle, runner->sched, id, spec) < 0)
		die("can't add job", id);
	add_entry(&runner->jobs, id, handle);
}

static void do_job(struct runner *runner, char **words)
{
	struct zr_job_spec spec;

	parse_spec(runner, &spec, words[1], words + 2);
	add_job(runner, words[1], &spec);
}

static void do_jobs(struct runner *runner, char **words)
{
	struct zr_job_spec spec;
	char id[ZR_JOB_ID_MAX];
	uint32_t i;

	parse_spec(runner, &spec, words[1], words + 3);
	for (i = 0; i < parse_number(words[2]); i++) {
		snprintf(id, sizeof(id), "%s%u", words[1], i);
		add_job(runner, id, &spec);
	}
}

static void do_check(struct runner *runner, char **words)
{
	struct zr_job_spec spec;
	int error;

	parse_spec(runner, &spec, "check", words + 1);
	error = zr_sched_job_check(runner->sched, &spec);
	printf("check %s%s%s\n", error ? zr_error_name(error) : "ok",
	       error ? ": " : "", error ? zr_error_last() : "");
}

static void apply_job_verb(struct runner *runner, const char *verb,
			   struct entry *entry)
{
	zr_handle handle = entry->handle;

	if (!strcmp(verb, "cancel")) {
		sched_model_job_cancel(runner->model, entry->name);
		zr_sched_job_cancel(runner->sched, handle);
	} else if (!strcmp(verb, "remove-jobs")) {
		sched_model_job_remove(runner->model, entry->name);
		zr_sched_job_remove(runner->sched, handle);
	} else {
		sched_model_job_hold(runner->model, entry->name, *verb == 'h');
		zr_sched_job_hold(runner->sched, handle, *verb == 'h');
	}
}

static void do_job_verb(struct runner *runner, char **words)
{
	struct entry *entry;
	struct entry *next;

	HASH_ITER (hh, runner->jobs, entry, next) {
		if (!strncmp(entry->name, words[1], strlen(words[1])))
			apply_job_verb(runner, words[0], entry);
	}
}

/* Tasks */

static void end_task(struct runner *runner, const struct entry *entry,
		     uint32_t index, enum zr_sched_outcome outcome)
{
	struct zr_sched_task_info info;

	zr_sched_task_info(&info, runner->sched, entry->handle, index);
	sched_model_task_ended(runner->model, entry->name, index, info.attempt,
			       outcome);
	zr_sched_task_ended(runner->sched, entry->handle, index, info.attempt,
			    outcome);
}

static void do_end(struct runner *runner, char **words)
{
	end_task(runner, find_entry(runner->jobs, words[1]),
		 parse_number(words[2]), parse_outcome(words[3]));
}

/* Ends the tasks of jobs with @prefix; @stopping: only those being stopped. */
static void end_tasks(struct runner *runner, const char *prefix,
		      enum zr_sched_outcome outcome, bool stopping)
{
	struct zr_sched_task_info info;
	const struct entry *entry;
	uint32_t i;

	for (entry = runner->jobs; entry; entry = entry->hh.next) {
		if (strncmp(entry->name, prefix, strlen(prefix)))
			continue;
		for (i = 0; !zr_sched_task_info(&info, runner->sched,
						entry->handle, i);
		     i++) {
			if (info.state == ZR_SCHED_TASK_STOPPING ||
			    (info.state == ZR_SCHED_TASK_RUNNING && !stopping))
				end_task(runner, entry, i, outcome);
		}
	}
}

static void do_end_all(struct runner *runner, char **words)
{
	end_tasks(runner, words[1], parse_outcome(words[2]), false);
}

static void do_end_stopping(struct runner *runner, char **words)
{
	(void)words;
	end_tasks(runner, "", ZR_SCHED_STOPPED, true);
}

static void report_usage(struct runner *runner, const struct entry *entry,
			 uint32_t index, const struct zr_resources *used,
			 int64_t age_ms)
{
	struct zr_sched_task_info info;
	struct timespec at = zr_time_add_ms(
		zr_clock_now(fake_time_clock(runner->time)), -age_ms);

	zr_sched_task_info(&info, runner->sched, entry->handle, index);
	sched_model_task_usage(runner->model, entry->name, index, info.attempt,
			       used);
	zr_sched_task_report_usage(runner->sched, entry->handle, index,
				   info.attempt, used, at);
}

static void do_usage(struct runner *runner, char **words)
{
	const struct zr_resources used = {parse_number(words[3]),
					  parse_number(words[4]), 0};

	report_usage(runner, find_entry(runner->jobs, words[1]),
		     parse_number(words[2]), &used,
		     words[5] ? parse_number(words[5]) : 0);
}

static void do_usage_percent(struct runner *runner, char **words)
{
	struct zr_sched_task_info info;
	const struct entry *entry;
	uint64_t percent = parse_number(words[2]);
	uint32_t i;

	for (entry = runner->jobs; entry; entry = entry->hh.next) {
		if (strncmp(entry->name, words[1], strlen(words[1])))
			continue;
		for (i = 0; !zr_sched_task_info(&info, runner->sched,
						entry->handle, i);
		     i++) {
			struct zr_resources *used = &info.reserved;

			used->millicpus = used->millicpus * percent / 100;
			used->memory_mb = used->memory_mb * percent / 100;
			if (info.state == ZR_SCHED_TASK_RUNNING)
				report_usage(runner, entry, i, used, 0);
		}
	}
}

static void do_adopt(struct runner *runner, char **words)
{
	const struct entry *entry = find_entry(runner->jobs, words[1]);
	zr_handle worker = find_entry(runner->workers, words[4])->handle;
	uint32_t index = parse_number(words[2]);
	int error = zr_sched_task_adopt(runner->sched, entry->handle, index,
					parse_number(words[3]), worker);

	if (!error)
		sched_model_task_adopt(runner->model, entry->name, index,
				       parse_number(words[3]), worker);
	printf("adopt %s\n", error ? zr_error_name(error) : "ok");
}

static void do_replay(struct runner *runner, char **words)
{
	const struct entry *entry = find_entry(runner->jobs, words[1]);

	sched_model_task_replay(runner->model, entry->name,
				parse_number(words[2]), parse_number(words[3]),
				parse_outcome(words[4]));
	zr_sched_task_replay(runner->sched, entry->handle,
			     parse_number(words[2]), parse_number(words[3]),
			     parse_outcome(words[4]));
}

/* Decisions */

static void do_decide(struct runner *runner, char **words)
{
	zr_sched_decide(runner->sched,
			words[1] ? parse_number(words[1]) : UINT32_MAX);
	sched_model_check_decisions(runner->model);
}

static void do_advance(struct runner *runner, char **words)
{
	char *no_words[2] = {0};
	uint32_t left_ms = parse_number(words[1]);

	while (left_ms) {
		uint32_t step_ms = left_ms < TICK_MS ? left_ms : TICK_MS;

		fake_time_advance(runner->time, step_ms);
		left_ms -= step_ms;
		do_decide(runner, no_words);
	}
}

/* Output */

static void do_quiet(struct runner *runner, char **words)
{
	runner->quiet = !strcmp(words[0], "quiet");
}

static void do_show(struct runner *runner, char **words)
{
	struct zr_sched_job_info info;

	zr_sched_job_info(&info, runner->sched,
			  find_entry(runner->jobs, words[1])->handle);
	printf("%s: %s wait=%s running=%u ended=%u (%s)\n", info.id,
	       zr_job_state_name(info.state), zr_sched_wait_name(info.wait),
	       info.running, info.ended, info.reason);
}

static void do_explain(struct runner *runner, char **words)
{
	struct zr_sched_explanation explanation;
	unsigned int i;

	zr_sched_explain(&explanation, runner->sched,
			 find_entry(runner->jobs, words[1])->handle);
	printf("%s: fitting=%u before=%u", words[1], explanation.fitting,
	       explanation.jobs_before);
	for (i = 0; i < ZR_SCHED_REFUSALS; i++) {
		if (explanation.by_reason[i])
			printf(" %s=%u",
			       zr_sched_refusal_name((enum zr_sched_refusal)i),
			       explanation.by_reason[i]);
	}
	printf("; %s\n", explanation.hint);
}

static void do_workers(struct runner *runner, char **words)
{
	static const char *const states[] = {"up", "leaving", "unresponsive"};
	struct zr_sched_worker_info info;
	zr_handle handle = ZR_HANDLE_NONE;

	(void)words;
	while ((handle = zr_sched_worker_next(&info, runner->sched, handle)))
		printf("worker %s %s%s tasks=%u reserved=%u/%u/%u\n", info.name,
		       states[info.state], info.suspect ? " suspect" : "",
		       info.tasks, info.reserved.millicpus,
		       info.reserved.memory_mb, info.reserved.accelerators);
}

static void do_team_usage(struct runner *runner, char **words)
{
	struct zr_resources used;

	zr_sched_team_usage(&used, runner->sched, words[1]);
	printf("team %s uses %u/%u/%u\n", words[1], used.millicpus,
	       used.memory_mb, used.accelerators);
}

static void do_counts(struct runner *runner, char **words)
{
	unsigned int i;

	(void)words;
	printf("starts=%u", runner->starts);
	for (i = 0; i < STOP_REASONS; i++) {
		if (runner->stops[i])
			printf(" %s=%u",
			       zr_sched_stop_reason_name(
				       (enum zr_sched_stop_reason)i),
			       runner->stops[i]);
	}
	printf("\n");
	runner->starts = 0;
	memset(runner->stops, 0, sizeof(runner->stops));
}

/* Verbs */

static const struct {
	const char *name;
	int words_min;
	void (*run)(struct runner *runner, char **words);
} verbs[] = {
	{"policy", 2, do_policy},
	{"team", 6, do_team},
	{"queue", 4, do_queue},
	{"configure", 1, do_configure},
	{"allotment", 5, do_allotment},
	{"worker", 6, do_worker},
	{"up", 2, do_worker_state},
	{"leaving", 2, do_worker_state},
	{"unresponsive", 2, do_worker_state},
	{"remove", 2, do_worker_remove},
	{"job", 3, do_job},
	{"jobs", 4, do_jobs},
	{"check", 2, do_check},
	{"cancel", 2, do_job_verb},
	{"hold", 2, do_job_verb},
	{"release", 2, do_job_verb},
	{"remove-jobs", 2, do_job_verb},
	{"end", 4, do_end},
	{"end-all", 3, do_end_all},
	{"end-stopping", 1, do_end_stopping},
	{"usage", 5, do_usage},
	{"usage-percent", 3, do_usage_percent},
	{"adopt", 5, do_adopt},
	{"replay", 5, do_replay},
	{"decide", 1, do_decide},
	{"advance", 2, do_advance},
	{"quiet", 1, do_quiet},
	{"verbose", 1, do_quiet},
	{"show", 2, do_show},
	{"explain", 2, do_explain},
	{"workers", 1, do_workers},
	{"team-usage", 2, do_team_usage},
	{"counts", 1, do_counts},
};

static int split(char **words, char *line)
{
	char *save = NULL;
	char *word = strtok_r(line, " \t\n", &save);
	int count = 0;

	memset(words, 0, WORDS_MAX * sizeof(*words));
	for (; word && count < WORDS_MAX - 1;
	     word = strtok_r(NULL, " \t\n", &save))
		words[count++] = word;
	return count;
}

static void run_line(struct runner *runner, char *line)
{
	char *words[WORDS_MAX];
	int count;
	size_t i;

	if (*line == '#') {
		fputs(line, stdout);
		return;
	}
	count = split(words, line);
	if (!count)
		return;
	for (i = 0; i < sizeof(verbs) / sizeof(*verbs); i++) {
		if (!strcmp(verbs[i].name, words[0]) &&
		    count >= verbs[i].words_min) {
			verbs[i].run(runner, words);
			return;
		}
	}
	die("unknown verb or too few arguments", words[0]);
}

static void runner_init(struct runner *runner)
{
	struct zr_sched_options options = ZR_SCHED_OPTIONS_INIT;
	const struct zr_sched_sink sink = {
		.start = on_start,
		.stop = on_stop,
		.job_changed = on_job_changed,
		.ctx = runner,
	};

	runner->time = fake_time_new();
	runner->model = sched_model_new(fake_time_clock(runner->time), &sink);
	options.clock = fake_time_clock(runner->time);
	options.sink = sched_model_sink(runner->model);
	if (zr_sched_new(&runner->sched, &options) < 0)
		die("can't create", "scheduler core");
}

static void free_entries(struct entry *entry)
{
	struct entry *next;

	for (; entry; entry = next) {
		next = entry->hh.next;
		free(entry);
	}
}

static void runner_clear(struct runner *runner)
{
	struct entry *jobs = runner->jobs;
	struct entry *workers = runner->workers;
	uint32_t i;

	zr_sched_free(runner->sched);
	sched_model_free(runner->model);
	fake_time_free(runner->time);
	HASH_CLEAR(hh, runner->jobs);
	HASH_CLEAR(hh, runner->workers);
	free_entries(jobs);
	free_entries(workers);
	for (i = 0; i < runner->config.teams_count; i++)
		free(runner->teams[i].name);
	for (i = 0; i < runner->config.queues_count; i++) {
		free(runner->queues[i].name);
		free(runner->queues[i].team);
	}
}

int main(int argc, char **argv)
{
	struct runner runner = {0};
	char line[512];
	FILE *script = argc > 1 ? fopen(argv[1], "r") : NULL;
	bool violated;

	if (!script)
		die("usage", "run_sched SCRIPT");
	runner.config.teams = runner.teams;
	runner.config.queues = runner.queues;
	runner_init(&runner);
	while (fgets(line, sizeof(line), script))
		run_line(&runner, line);
	fclose(script);
	violated = sched_model_total_violations(runner.model) > 0;
	printf("violations: %u%s%s\n",
	       sched_model_total_violations(runner.model), violated ? ": " : "",
	       sched_model_first_violation(runner.model));
	runner_clear(&runner);
	return violated;
}

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
 * checker, and prints each decision. One verb a line:
 *
 *   policy NAME / team NAME SHARE CPU MEM ACC / queue NAME TEAM WORTH /
 *   configure / allot TEAM CPU MEM ACC
 *   worker NAME RACK CPU MEM ACC / up|leaving|unheard|remove NAME
 *   job ID QUEUE [KEY=VALUE]... / jobs PREFIX COUNT QUEUE [KEY=VALUE]...
 *   check QUEUE [KEY=VALUE]...
 *   cancel|hold|release|forget PREFIX
 *   end ID INDEX OUTCOME / end-all PREFIX OUTCOME / end-stopping
 *   usage ID INDEX CPU MEM [AGO_MS] /
 *   use PREFIX PER-CENT / adopt ID INDEX ATTEMPT WORKER /
 *   replay ID INDEX ATTEMPT OUTCOME
 *   decide [MOST] / wait MS / quiet / loud
 *   show ID / explain ID / workers / usage-of TEAM / counts
 *
 * PREFIX names all jobs whose id begins with it; a line that begins with "#" is
 * printed; CPU is in thousandths of a processor, MEM in MiB.
 */

#define TICK_MS 200
#define WORDS_MAX 16
#define LIST_MAX 16
#define STOP_REASONS 6

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

static uint32_t number(const char *word)
{
	char *end;
	unsigned long value = strtoul(word, &end, 10);

	if (*end || !*word)
		die("not a number", word);
	return (uint32_t)value;
}

static enum zr_sched_outcome outcome_of(const char *word)
{
	unsigned int i;

	for (i = 0; i < sizeof(outcomes) / sizeof(*outcomes); i++) {
		if (!strcmp(outcomes[i], word))
			return (enum zr_sched_outcome)i;
	}
	die("not an outcome", word);
	return ZR_SCHED_LOST;
}

static struct entry *find(struct entry *list, const char *name)
{
	struct entry *entry;

	HASH_FIND_STR(list, name, entry);
	if (!entry)
		die("no such name", name);
	return entry;
}

static void keep(struct entry **list, const char *name, zr_handle handle)
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
		    enum zr_sched_stop_reason why)
{
	struct runner *runner = ctx;

	runner->stops[why]++;
	if (!runner->quiet)
		printf("stop %s/%u/%u %s\n", task->job_id, task->index,
		       task->attempt, zr_sched_stop_reason_name(why));
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

static struct zr_resources amount(char **words)
{
	const struct zr_resources resources = {
		number(words[0]), number(words[1]), number(words[2])};

	return resources;
}

static void policy(struct runner *runner, char **words)
{
	runner->config.policy = strcmp(words[1], "shares-first")
					? ZR_POLICY_WAITING_FIRST
					: ZR_POLICY_SHARES_FIRST;
}

static void team(struct runner *runner, char **words)
{
	uint32_t i = 0;

	while (i < runner->config.teams_count &&
	       strcmp(runner->teams[i].name, words[1]))
		i++;
	if (i == runner->config.teams_count) {
		runner->config.teams_count++;
		runner->teams[i].name = strdup(words[1]);
	}
	runner->teams[i].share = number(words[2]);
	runner->teams[i].limit = amount(words + 3);
}

static void queue(struct runner *runner, char **words)
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
	runner->queues[i].worth = number(words[3]);
}

static void configure(struct runner *runner, char **words)
{
	(void)words;
	sched_model_configure(runner->model, &runner->config);
	zr_sched_configure(runner->sched, &runner->config);
}

static void allot(struct runner *runner, char **words)
{
	struct zr_resources allotment = amount(words + 2);

	sched_model_allotment(runner->model, words[1], &allotment);
	zr_sched_set_allotment(runner->sched, words[1], &allotment);
}

/* Workers */

static void worker(struct runner *runner, char **words)
{
	const struct zr_sched_worker info = {
		.name = words[1],
		.rack = words[2],
		.capacity = amount(words + 3),
	};
	zr_handle handle;

	if (zr_sched_worker_add(&handle, runner->sched, &info) < 0)
		die("worker", words[1]);
	sched_model_worker_add(runner->model, handle, &info);
	keep(&runner->workers, words[1], handle);
}

static void worker_state(struct runner *runner, char **words)
{
	zr_handle handle = find(runner->workers, words[1])->handle;
	enum zr_sched_worker_state state = ZR_SCHED_WORKER_UP;

	if (!strcmp(words[0], "leaving"))
		state = ZR_SCHED_WORKER_LEAVING;
	if (!strcmp(words[0], "unheard"))
		state = ZR_SCHED_WORKER_UNRESPONSIVE;
	sched_model_worker_set(runner->model, handle, state);
	zr_sched_worker_set_state(runner->sched, handle, state);
}

static void worker_remove(struct runner *runner, char **words)
{
	struct entry *entry = find(runner->workers, words[1]);

	sched_model_worker_remove(runner->model, entry->handle);
	zr_sched_worker_remove(runner->sched, entry->handle);
	HASH_DEL(runner->workers, entry);
	free(entry);
}

/* Jobs */

static enum zr_job_kind kind_of(const char *word)
{
	if (!strcmp(word, "service"))
		return ZR_JOB_SERVICE;
	return strcmp(word, "gang") ? ZR_JOB_BATCH : ZR_JOB_GANG;
}

static void set_number(struct runner *runner, struct zr_job_spec *spec,
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
	else if (!strcmp(key, "run"))
		spec->run_ms = value;
	else if (!strcmp(key, "deadline"))
		spec->deadline_ms =
			zr_time_to_ms(clock->realtime(clock->ctx)) + value;
	else
		die("no such key", key);
}

static void set_field(struct runner *runner, struct zr_job_spec *spec,
		      char *word)
{
	char *value = strchr(word, '=');

	if (!strcmp(word, "urgent")) {
		spec->urgent = true;
		return;
	}
	if (!strcmp(word, "once")) {
		spec->at_most_once = true;
		return;
	}
	if (!value)
		die("no value", word);
	*value++ = '\0';
	if (!strcmp(word, "kind"))
		spec->kind = kind_of(value);
	else if (!strcmp(word, "name"))
		snprintf(spec->name, sizeof(spec->name), "%s", value);
	else
		set_number(runner, spec, word, number(value));
}

static void read_spec(struct runner *runner, struct zr_job_spec *spec,
		      const char *id, char **words)
{
	const struct zr_config_queue *row =
		zr_config_find_queue(&runner->config, words[0]);

	memset(spec, 0, sizeof(*spec));
	snprintf(spec->queue, sizeof(spec->queue), "%s", words[0]);
	snprintf(spec->name, sizeof(spec->name), "%s", id);
	if (row)
		snprintf(spec->team, sizeof(spec->team), "%s", row->team);
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
		die("job", id);
	keep(&runner->jobs, id, handle);
}

static void job(struct runner *runner, char **words)
{
	struct zr_job_spec spec;

	read_spec(runner, &spec, words[1], words + 2);
	add_job(runner, words[1], &spec);
}

static void many_jobs(struct runner *runner, char **words)
{
	struct zr_job_spec spec;
	char id[ZR_JOB_ID_MAX];
	uint32_t i;

	read_spec(runner, &spec, words[1], words + 3);
	for (i = 0; i < number(words[2]); i++) {
		snprintf(id, sizeof(id), "%s%u", words[1], i);
		add_job(runner, id, &spec);
	}
}

static void check(struct runner *runner, char **words)
{
	struct zr_job_spec spec;
	int error;

	read_spec(runner, &spec, "check", words + 1);
	error = zr_sched_job_check(runner->sched, &spec);
	printf("check %s%s%s\n", error ? zr_error_name(error) : "ok",
	       error ? ": " : "", error ? zr_error_last() : "");
}

static void act(struct runner *runner, const char *verb, struct entry *entry)
{
	zr_handle handle = entry->handle;

	if (!strcmp(verb, "cancel")) {
		sched_model_job_cancel(runner->model, entry->name);
		zr_sched_job_cancel(runner->sched, handle);
	} else if (!strcmp(verb, "forget")) {
		sched_model_job_forget(runner->model, entry->name);
		zr_sched_job_remove(runner->sched, handle);
	} else {
		sched_model_job_hold(runner->model, entry->name, *verb == 'h');
		zr_sched_job_hold(runner->sched, handle, *verb == 'h');
	}
}

static void act_on_jobs(struct runner *runner, char **words)
{
	struct entry *entry;
	struct entry *next;

	HASH_ITER (hh, runner->jobs, entry, next) {
		if (!strncmp(entry->name, words[1], strlen(words[1])))
			act(runner, words[0], entry);
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

static void end(struct runner *runner, char **words)
{
	end_task(runner, find(runner->jobs, words[1]), number(words[2]),
		 outcome_of(words[3]));
}

/* Ends all tasks of jobs with a prefix, or all that have been told to stop. */
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

static void end_all(struct runner *runner, char **words)
{
	end_tasks(runner, words[1], outcome_of(words[2]), false);
}

static void end_stopping(struct runner *runner, char **words)
{
	(void)words;
	end_tasks(runner, "", ZR_SCHED_STOPPED, true);
}

static void report(struct runner *runner, const struct entry *entry,
		   uint32_t index, const struct zr_resources *used, int64_t ago)
{
	struct zr_sched_task_info info;
	struct timespec at = zr_time_add_ms(
		zr_clock_now(fake_time_clock(runner->time)), -ago);

	zr_sched_task_info(&info, runner->sched, entry->handle, index);
	sched_model_task_usage(runner->model, entry->name, index, info.attempt,
			       used);
	zr_sched_task_report_usage(runner->sched, entry->handle, index,
				   info.attempt, used, at);
}

static void usage(struct runner *runner, char **words)
{
	const struct zr_resources used = {number(words[3]), number(words[4]),
					  0};

	report(runner, find(runner->jobs, words[1]), number(words[2]), &used,
	       words[5] ? number(words[5]) : 0);
}

/* Each running task uses PER-CENT of what is reserved for it. */
static void use_part(struct runner *runner, char **words)
{
	struct zr_sched_task_info info;
	const struct entry *entry;
	uint64_t part = number(words[2]);
	uint32_t i;

	for (entry = runner->jobs; entry; entry = entry->hh.next) {
		if (strncmp(entry->name, words[1], strlen(words[1])))
			continue;
		for (i = 0; !zr_sched_task_info(&info, runner->sched,
						entry->handle, i);
		     i++) {
			struct zr_resources *used = &info.reserved;

			used->millicpus = used->millicpus * part / 100;
			used->memory_mb = used->memory_mb * part / 100;
			if (info.state == ZR_SCHED_TASK_RUNNING)
				report(runner, entry, i, used, 0);
		}
	}
}

static void adopt(struct runner *runner, char **words)
{
	const struct entry *entry = find(runner->jobs, words[1]);
	zr_handle host = find(runner->workers, words[4])->handle;
	uint32_t index = number(words[2]);
	int error = zr_sched_task_adopt(runner->sched, entry->handle, index,
					number(words[3]), host);

	if (!error)
		sched_model_task_adopt(runner->model, entry->name, index,
				       number(words[3]), host);
	printf("adopt %s\n", error ? zr_error_name(error) : "ok");
}

static void replay(struct runner *runner, char **words)
{
	const struct entry *entry = find(runner->jobs, words[1]);

	sched_model_task_replay(runner->model, entry->name, number(words[2]),
				number(words[3]), outcome_of(words[4]));
	zr_sched_task_replay(runner->sched, entry->handle, number(words[2]),
			     number(words[3]), outcome_of(words[4]));
}

/* Deciding */

static void decide(struct runner *runner, char **words)
{
	zr_sched_decide(runner->sched,
			words[1] ? number(words[1]) : UINT32_MAX);
	sched_model_decided(runner->model);
}

static void wait_ms(struct runner *runner, char **words)
{
	char *no_words[2] = {0};
	uint32_t left = number(words[1]);

	while (left) {
		uint32_t step = left < TICK_MS ? left : TICK_MS;

		fake_time_advance(runner->time, step);
		left -= step;
		decide(runner, no_words);
	}
}

/* Reading */

static void set_quiet(struct runner *runner, char **words)
{
	runner->quiet = !strcmp(words[0], "quiet");
}

static void show(struct runner *runner, char **words)
{
	struct zr_sched_job_info info;

	zr_sched_job_info(&info, runner->sched,
			  find(runner->jobs, words[1])->handle);
	printf("%s: %s wait=%s running=%u ended=%u (%s)\n", info.id,
	       zr_job_state_name(info.state), zr_sched_wait_name(info.wait),
	       info.running, info.ended, info.reason);
}

static void explain(struct runner *runner, char **words)
{
	struct zr_sched_explanation explanation;
	unsigned int i;

	zr_sched_explain(&explanation, runner->sched,
			 find(runner->jobs, words[1])->handle);
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

static void show_workers(struct runner *runner, char **words)
{
	static const char *const states[] = {"up", "leaving", "unheard"};
	struct zr_sched_worker_info info;
	zr_handle handle = ZR_HANDLE_NONE;

	(void)words;
	while ((handle = zr_sched_worker_next(&info, runner->sched, handle)))
		printf("worker %s %s%s tasks=%u reserved=%u/%u/%u\n", info.name,
		       states[info.state], info.suspect ? " suspect" : "",
		       info.tasks, info.reserved.millicpus,
		       info.reserved.memory_mb, info.reserved.accelerators);
}

static void usage_of(struct runner *runner, char **words)
{
	struct zr_resources used;

	zr_sched_team_usage(&used, runner->sched, words[1]);
	printf("team %s uses %u/%u/%u\n", words[1], used.millicpus,
	       used.memory_mb, used.accelerators);
}

static void counts(struct runner *runner, char **words)
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

/* Lines */

static const struct {
	const char *name;
	int words_min;
	void (*run)(struct runner *runner, char **words);
} verbs[] = {
	{"policy", 2, policy},
	{"team", 6, team},
	{"queue", 4, queue},
	{"configure", 1, configure},
	{"allot", 5, allot},
	{"worker", 6, worker},
	{"up", 2, worker_state},
	{"leaving", 2, worker_state},
	{"unheard", 2, worker_state},
	{"remove", 2, worker_remove},
	{"job", 3, job},
	{"jobs", 4, many_jobs},
	{"check", 2, check},
	{"cancel", 2, act_on_jobs},
	{"hold", 2, act_on_jobs},
	{"release", 2, act_on_jobs},
	{"forget", 2, act_on_jobs},
	{"end", 4, end},
	{"end-all", 3, end_all},
	{"end-stopping", 1, end_stopping},
	{"usage", 5, usage},
	{"use", 3, use_part},
	{"adopt", 5, adopt},
	{"replay", 5, replay},
	{"decide", 1, decide},
	{"wait", 2, wait_ms},
	{"quiet", 1, set_quiet},
	{"loud", 1, set_quiet},
	{"show", 2, show},
	{"explain", 2, explain},
	{"workers", 1, show_workers},
	{"usage-of", 2, usage_of},
	{"counts", 1, counts},
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
	die("no such verb, or too few words", words[0]);
}

static void make_core(struct runner *runner)
{
	struct zr_sched_options options = ZR_SCHED_OPTIONS_INIT;
	const struct zr_sched_sink own = {
		.start = on_start,
		.stop = on_stop,
		.job_changed = on_job_changed,
		.ctx = runner,
	};

	runner->time = fake_time_new();
	runner->model = sched_model_new(fake_time_clock(runner->time), &own);
	options.clock = fake_time_clock(runner->time);
	options.sink = sched_model_sink(runner->model);
	if (zr_sched_new(&runner->sched, &options) < 0)
		die("no memory", "core");
}

static void free_entries(struct entry *entry)
{
	struct entry *next;

	for (; entry; entry = next) {
		next = entry->hh.next;
		free(entry);
	}
}

static void free_runner(struct runner *runner)
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
	bool broken;

	if (!script)
		die("usage", "run_sched SCRIPT");
	runner.config.teams = runner.teams;
	runner.config.queues = runner.queues;
	make_core(&runner);
	while (fgets(line, sizeof(line), script))
		run_line(&runner, line);
	fclose(script);
	broken = sched_model_total(runner.model) > 0;
	printf("broken invariants: %u%s%s\n", sched_model_total(runner.model),
	       broken ? ": " : "", sched_model_first(runner.model));
	free_runner(&runner);
	return broken;
}

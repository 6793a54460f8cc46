/*
 * Runs a script against the reconciler of declared jobs, with a fake failure
 * domain that does what the script says. Each line is a verb and its arguments:
 *
 *   config          apply the YAML text that follows, up to a line "."
 *   advance MS      advance the fake clock
 *   ready yes|no    set whether the domain's jobs are loaded and may be changed
 *   lose-answer     apply the next submission but report its outcome as unknown
 *   refuse          refuse the next submission
 *   hold            hold the next submission until "answer"
 *   answer          apply the held submission and answer it
 *   end ID STATE    set the state of a job
 *   restart         start a new reconciler for the same domain
 *   jobs            print the jobs
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fakes/fake_time.h"
#include "scheduler/declared.h"
#include "zinniarack/errors.h"

#define JOBS_MAX 32
#define LINE_MAX_BYTES 256
#define TEXT_MAX_BYTES 4096

struct job {
	char id[ZR_JOB_ID_MAX];
	struct zr_job_spec spec;
	enum zr_job_state state;
};

struct runner {
	struct fake_time *time;
	struct zr_declared *declared;
	struct zr_config *config;
	struct job jobs[JOBS_MAX];
	size_t job_count;
	bool ready;
	bool lose_answer;
	bool refuse;
	bool hold;
	zr_domain_submit_fn held_done;
	void *held_ctx;
	struct zr_job_spec held_spec;
};

static bool is_ready(void *impl)
{
	return ((struct runner *)impl)->ready;
}

static void report_job(const struct job *job, zr_domain_job_fn done, void *ctx)
{
	const struct zr_domain_job_info view = {
		.id = job->id, .spec = &job->spec, .state = job->state};

	done(ctx, 0, &view);
}

static void each_job(void *impl, zr_domain_job_fn done, void *ctx)
{
	struct runner *runner = impl;
	size_t i;

	for (i = 0; i < runner->job_count; i++)
		report_job(&runner->jobs[i], done, ctx);
}

static struct job *add_job(struct runner *runner,
			   const struct zr_job_spec *spec)
{
	struct job *job = &runner->jobs[runner->job_count++];

	snprintf(job->id, sizeof(job->id), "j%zu", runner->job_count);
	job->spec = *spec;
	job->spec.command = strdup(spec->command);
	return job;
}

static void submit_job(void *impl, const struct zr_job_spec *spec,
		       zr_domain_submit_fn done, void *ctx)
{
	struct runner *runner = impl;
	struct job *job;

	printf("submit %s tasks=%u cpus=%u\n", spec->idempotency_key,
	       spec->tasks, spec->size.millicpus);
	if (runner->refuse) {
		runner->refuse = false;
		done(ctx, ZR_E_STORE_DOWN, NULL);
		return;
	}
	if (runner->hold) {
		runner->held_done = done;
		runner->held_ctx = ctx;
		runner->held_spec = *spec;
		runner->held_spec.command = strdup(spec->command);
		return;
	}
	job = add_job(runner, spec);
	if (runner->lose_answer) {
		runner->lose_answer = false;
		done(ctx, ZR_E_OUTCOME_UNKNOWN, NULL);
	} else {
		done(ctx, 0, job->id);
	}
}

static struct job *find_job(struct runner *runner, const char *id)
{
	size_t i;

	for (i = 0; i < runner->job_count; i++) {
		if (!strcmp(runner->jobs[i].id, id))
			return &runner->jobs[i];
	}
	printf("run_declared: no job %s\n", id);
	exit(2);
}

static void cancel_job(void *impl, const char *id, zr_domain_job_fn done,
		       void *ctx)
{
	printf("cancel %s\n", id);
	report_job(find_job(impl, id), done, ctx);
}

static void start_reconciler(struct runner *runner)
{
	static const struct zr_declared_target target = {
		.ready = is_ready,
		.each = each_job,
		.submit = submit_job,
		.cancel = cancel_job,
	};
	const struct zr_declared_options options = {
		.version = ZR_DECLARED_OPTIONS_VERSION,
		.timers = fake_time_timers(runner->time),
		.clock = fake_time_clock(runner->time),
		.target = &target,
		.impl = runner,
		.domain = "sapporo",
	};

	zr_declared_free(runner->declared);
	if (zr_declared_new(&runner->declared, &options) < 0)
		abort();
	if (runner->config)
		zr_declared_configure(runner->declared, runner->config);
}

static void read_config(struct runner *runner, FILE *script)
{
	char text[TEXT_MAX_BYTES] = "";
	char line[LINE_MAX_BYTES];
	struct zr_config *config;
	size_t used = 0;

	while (fgets(line, sizeof(line), script) && strcmp(line, ".\n"))
		used += (size_t)snprintf(text + used, sizeof(text) - used, "%s",
					 line);
	if (zr_config_parse(&config, "script", text, used) < 0) {
		printf("%s\n", zr_error_last());
		exit(2);
	}
	zr_declared_configure(runner->declared, config);
	zr_config_free(runner->config);
	runner->config = config;
}

static void set_job_state(struct runner *runner, const char *id,
			  const char *state)
{
	enum zr_job_state i;

	for (i = ZR_JOB_WAITING; i <= ZR_JOB_CANCELLED; i++) {
		if (!strcmp(zr_job_state_name(i), state))
			find_job(runner, id)->state = i;
	}
}

static void print_jobs(const struct runner *runner)
{
	size_t i;

	for (i = 0; i < runner->job_count; i++)
		printf("  %s %s %s\n", runner->jobs[i].id,
		       runner->jobs[i].spec.idempotency_key,
		       zr_job_state_name(runner->jobs[i].state));
}

/* The held job appears in the domain only now. */
static void answer_held(struct runner *runner)
{
	const struct job *job = add_job(runner, &runner->held_spec);

	zr_job_spec_clear(&runner->held_spec);
	runner->hold = false;
	runner->held_done(runner->held_ctx, 0, job->id);
}

static void run_line(struct runner *runner, const char *line, FILE *script)
{
	char verb[LINE_MAX_BYTES] = "";
	char arg1[LINE_MAX_BYTES] = "";
	char arg2[LINE_MAX_BYTES] = "";

	sscanf(line, "%255s %255s %255s", verb, arg1, arg2);
	printf("> %s", line);
	if (!strcmp(verb, "config"))
		read_config(runner, script);
	else if (!strcmp(verb, "advance"))
		fake_time_advance(runner->time,
				  (unsigned int)strtoul(arg1, NULL, 10));
	else if (!strcmp(verb, "ready"))
		runner->ready = !strcmp(arg1, "yes");
	else if (!strcmp(verb, "lose-answer"))
		runner->lose_answer = true;
	else if (!strcmp(verb, "refuse"))
		runner->refuse = true;
	else if (!strcmp(verb, "hold"))
		runner->hold = true;
	else if (!strcmp(verb, "answer"))
		answer_held(runner);
	else if (!strcmp(verb, "end"))
		set_job_state(runner, arg1, arg2);
	else if (!strcmp(verb, "restart"))
		start_reconciler(runner);
	else if (!strcmp(verb, "jobs"))
		print_jobs(runner);
	else
		exit(2);
}

int main(int argc, char **argv)
{
	struct runner runner = {.ready = true};
	char line[LINE_MAX_BYTES];
	FILE *script = argc == 2 ? fopen(argv[1], "r") : NULL;

	if (!script)
		return 2;
	runner.time = fake_time_new();
	start_reconciler(&runner);
	while (fgets(line, sizeof(line), script)) {
		if (*line != '#' && *line != '\n')
			run_line(&runner, line, script);
	}
	fclose(script);
	zr_declared_free(runner.declared);
	zr_config_free(runner.config);
	fake_time_free(runner.time);
	while (runner.job_count)
		zr_job_spec_clear(&runner.jobs[--runner.job_count].spec);
	return 0;
}

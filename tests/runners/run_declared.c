/*
 * Runs a script against the keeper of declared jobs and a domain that does
 * what the script says. Verbs, one a line:
 *
 * config            the YAML that follows, up to a line ".", is in force
 * tick MS           the clock moves
 * ready yes|no      whether the domain may be changed
 * lose              the next submission takes effect, its answer is lost
 * refuse            the next submission is refused
 * hold              submissions are not answered until "answer"
 * answer            answer the held submission
 * end ID STATE      a job ends
 * restart           a new keeper takes over the same domain
 * jobs              print the jobs
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

struct run {
	struct fake_time *time;
	struct zr_declared *declared;
	struct zr_config *config;
	struct job jobs[JOBS_MAX];
	size_t count;
	bool ready;
	bool lose;
	bool refuse;
	bool hold;
	zr_domain_submit_fn held;
	void *held_ctx;
	struct zr_job_spec held_spec;
};

static bool ready(void *impl)
{
	return ((struct run *)impl)->ready;
}

static void show(const struct job *job, zr_domain_job_fn done, void *ctx)
{
	const struct zr_domain_job view = {
		.id = job->id, .spec = &job->spec, .state = job->state};

	done(ctx, 0, &view);
}

static void each(void *impl, zr_domain_job_fn done, void *ctx)
{
	struct run *run = impl;
	size_t i;

	for (i = 0; i < run->count; i++)
		show(&run->jobs[i], done, ctx);
}

static struct job *add_job(struct run *run, const struct zr_job_spec *spec)
{
	struct job *job = &run->jobs[run->count++];

	snprintf(job->id, sizeof(job->id), "j%zu", run->count);
	job->spec = *spec;
	job->spec.command = strdup(spec->command);
	return job;
}

static void submit(void *impl, const struct zr_job_spec *spec,
		   zr_domain_submit_fn done, void *ctx)
{
	struct run *run = impl;
	struct job *job;

	printf("submit %s tasks=%u cpus=%u\n", spec->idempotency_key,
	       spec->tasks, spec->size.millicpus);
	if (run->refuse) {
		run->refuse = false;
		done(ctx, ZR_E_STORE_DOWN, NULL);
		return;
	}
	if (run->hold) {
		run->held = done;
		run->held_ctx = ctx;
		run->held_spec = *spec;
		run->held_spec.command = strdup(spec->command);
		return;
	}
	job = add_job(run, spec);
	if (run->lose) {
		run->lose = false;
		done(ctx, ZR_E_OUTCOME_UNKNOWN, NULL);
	} else {
		done(ctx, 0, job->id);
	}
}

static struct job *find(struct run *run, const char *id)
{
	size_t i;

	for (i = 0; i < run->count; i++) {
		if (!strcmp(run->jobs[i].id, id))
			return &run->jobs[i];
	}
	printf("no job %s\n", id);
	exit(2);
}

static void cancel(void *impl, const char *id, zr_domain_job_fn done, void *ctx)
{
	printf("cancel %s\n", id);
	show(find(impl, id), done, ctx);
}

static void start(struct run *run)
{
	static const struct zr_declared_target target = {
		.ready = ready,
		.each = each,
		.submit = submit,
		.cancel = cancel,
	};
	const struct zr_declared_options options = {
		.version = ZR_DECLARED_OPTIONS_VERSION,
		.timers = fake_time_timers(run->time),
		.clock = fake_time_clock(run->time),
		.target = &target,
		.impl = run,
		.domain = "sapporo",
	};

	zr_declared_free(run->declared);
	if (zr_declared_new(&run->declared, &options) < 0)
		abort();
	if (run->config)
		zr_declared_configure(run->declared, run->config);
}

static void read_config(struct run *run, FILE *script)
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
	zr_declared_configure(run->declared, config);
	zr_config_free(run->config);
	run->config = config;
}

static void end_job(struct run *run, const char *id, const char *state)
{
	enum zr_job_state i;

	for (i = ZR_JOB_WAITING; i <= ZR_JOB_CANCELLED; i++) {
		if (!strcmp(zr_job_state_name(i), state))
			find(run, id)->state = i;
	}
}

static void print_jobs(const struct run *run)
{
	size_t i;

	for (i = 0; i < run->count; i++)
		printf("  %s %s %s\n", run->jobs[i].id,
		       run->jobs[i].spec.idempotency_key,
		       zr_job_state_name(run->jobs[i].state));
}

/* The job is seen in the domain only from here on. */
static void answer(struct run *run)
{
	const struct job *job = add_job(run, &run->held_spec);

	zr_job_spec_clear(&run->held_spec);
	run->hold = false;
	run->held(run->held_ctx, 0, job->id);
}

static void step(struct run *run, const char *line, FILE *script)
{
	char verb[LINE_MAX_BYTES] = "";
	char a[LINE_MAX_BYTES] = "";
	char b[LINE_MAX_BYTES] = "";

	sscanf(line, "%255s %255s %255s", verb, a, b);
	printf("> %s", line);
	if (!strcmp(verb, "config"))
		read_config(run, script);
	else if (!strcmp(verb, "tick"))
		fake_time_advance(run->time,
				  (unsigned int)strtoul(a, NULL, 10));
	else if (!strcmp(verb, "ready"))
		run->ready = !strcmp(a, "yes");
	else if (!strcmp(verb, "lose"))
		run->lose = true;
	else if (!strcmp(verb, "refuse"))
		run->refuse = true;
	else if (!strcmp(verb, "hold"))
		run->hold = true;
	else if (!strcmp(verb, "answer"))
		answer(run);
	else if (!strcmp(verb, "end"))
		end_job(run, a, b);
	else if (!strcmp(verb, "restart"))
		start(run);
	else if (!strcmp(verb, "jobs"))
		print_jobs(run);
	else
		exit(2);
}

int main(int argc, char **argv)
{
	struct run run = {.ready = true};
	char line[LINE_MAX_BYTES];
	FILE *script = argc == 2 ? fopen(argv[1], "r") : NULL;

	if (!script)
		return 2;
	run.time = fake_time_new();
	start(&run);
	while (fgets(line, sizeof(line), script)) {
		if (*line != '#' && *line != '\n')
			step(&run, line, script);
	}
	fclose(script);
	zr_declared_free(run.declared);
	zr_config_free(run.config);
	fake_time_free(run.time);
	while (run.count)
		zr_job_spec_clear(&run.jobs[--run.count].spec);
	return 0;
}

/*
 * Runs a script against the schedulers of one failure domain, which share a
 * fake store and fake workers. Each line is a verb and its arguments:
 *
 *   host NAME                  start a scheduler that competes for the domain
 *   worker NAME MILLICPUS [no-fencing]
 *                              start a worker; with no-fencing, it does not
 *                              compare fencing tokens
 *   listed NAME yes|no         set whether the host list has a worker
 *   advance MS                 advance the fake clock
 *   submit HOST NAME MS [OPTION]...
 *                              submit a job whose tasks run for MS. An OPTION
 *                              is tasks=N, at-most-once, key=K (idempotency
 *                              key), fail, service, or times=N (submit jobs
 *                              NAME-1 to NAME-N)
 *   read HOST NAME             read the job that was submitted as NAME
 *   cancel HOST NAME           cancel that job
 *   link FROM TO pass|hold|drop|duplicate|refuse
 *                              set what happens to messages; `*` is any node;
 *                              refuse: the sender gets an error at once
 *   release FROM TO [reverse]  deliver the held messages, the last one first
 *                              with reverse
 *   pause NODE, resume NODE    suspend and continue a process
 *   kill HOST                  end a scheduler without a shutdown
 *   stop HOST                  shut a scheduler down
 *   restart WORKER             start a new incarnation of a worker
 *   evacuated yes|no           set whether the domain is evacuated
 *   clock-drift NODE PPM       set how much too fast a node's clock runs
 *
 * After each millisecond it checks the invariants of fakes/fake_cell.h and
 * prints `VIOLATION` when one does not hold.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fakes/fake_cell.h"
#include "zinniarack/errors.h"

#define LINE_MAX_BYTES 256
#define WORDS_MAX 10

struct script {
	struct fake_cell *cell;
	char *words[WORDS_MAX];
	int word_count;
};

static void print_event(void *ctx, const char *text)
{
	struct script *script = ctx;

	printf("%6ld %s\n", fake_cell_now_ms(script->cell), text);
}

static const char *word(const struct script *script, int index)
{
	return index < script->word_count ? script->words[index] : "";
}

static bool has_option(const struct script *script, const char *option)
{
	int i;

	for (i = 0; i < script->word_count; i++) {
		if (!strcmp(script->words[i], option))
			return true;
	}
	return false;
}

static const char *option_value(const struct script *script, const char *name)
{
	size_t length = strlen(name);
	int i;

	for (i = 0; i < script->word_count; i++) {
		if (!strncmp(script->words[i], name, length) &&
		    script->words[i][length] == '=')
			return script->words[i] + length + 1;
	}
	return NULL;
}

static const char *link_endpoint(const char *name)
{
	return strcmp(name, "*") ? name : NULL;
}

/* Verbs */

static void do_host(struct script *script)
{
	fake_cell_add_host(script->cell, word(script, 1));
}

static void do_worker(struct script *script)
{
	fake_cell_add_worker(script->cell, word(script, 1),
			     (unsigned int)atoi(word(script, 2)),
			     !has_option(script, "no-fencing"));
}

static void do_listed(struct script *script)
{
	fake_cell_set_listed(script->cell, word(script, 1),
			     !strcmp(word(script, 2), "yes"));
}

static void do_advance(struct script *script)
{
	fake_cell_run(script->cell, (unsigned int)atoi(word(script, 1)));
}

static void do_submit(struct script *script)
{
	const char *tasks = option_value(script, "tasks");
	const char *times = option_value(script, "times");
	const char *key = option_value(script, "key");
	char name[LINE_MAX_BYTES];
	int i;
	struct fake_cell_job job = {
		.name = word(script, 2),
		.run_ms = (unsigned int)atoi(word(script, 3)),
		.tasks = tasks ? (unsigned int)atoi(tasks) : 1,
		.key = key ? key : "",
		.at_most_once = has_option(script, "at-most-once"),
		.fails = has_option(script, "fail"),
		.service = has_option(script, "service"),
	};

	if (!times)
		fake_cell_submit(script->cell, word(script, 1), &job);
	for (i = 1; times && i <= atoi(times); i++) {
		snprintf(name, sizeof(name), "%s-%d", word(script, 2), i);
		job.name = name;
		fake_cell_submit(script->cell, word(script, 1), &job);
	}
}

static void do_read(struct script *script)
{
	fake_cell_read(script->cell, word(script, 1), word(script, 2));
}

static void do_cancel(struct script *script)
{
	fake_cell_cancel(script->cell, word(script, 1), word(script, 2));
}

static void do_link(struct script *script)
{
	static const char *const modes[] = {"pass", "hold", "drop", "duplicate",
					    "refuse"};
	int mode;

	for (mode = 0; mode < 5; mode++) {
		if (!strcmp(modes[mode], word(script, 3)))
			break;
	}
	if (mode == 5)
		abort();
	fake_net_set_link(fake_cell_net(script->cell),
			  link_endpoint(word(script, 1)),
			  link_endpoint(word(script, 2)), (enum fake_link)mode);
}

static void do_release(struct script *script)
{
	fake_net_release(
		fake_cell_net(script->cell), link_endpoint(word(script, 1)),
		link_endpoint(word(script, 2)), has_option(script, "reverse"));
}

static struct fake_node *find_node(const struct script *script)
{
	struct fake_node *node =
		fake_node_find(fake_cell_net(script->cell), word(script, 1));

	if (!node)
		abort();
	return node;
}

static void do_pause(struct script *script)
{
	fake_node_pause(find_node(script), true);
}

static void do_resume(struct script *script)
{
	fake_node_pause(find_node(script), false);
}

static void do_clock_drift(struct script *script)
{
	fake_node_set_rate(find_node(script), atoi(word(script, 2)));
}

static void do_kill(struct script *script)
{
	fake_cell_kill(script->cell, word(script, 1));
}

static void do_stop(struct script *script)
{
	fake_cell_stop(script->cell, word(script, 1));
}

static void do_restart(struct script *script)
{
	fake_cell_restart_worker(script->cell, word(script, 1));
}

static void do_evacuated(struct script *script)
{
	fake_cell_set_evacuated(script->cell, !strcmp(word(script, 1), "yes"));
}

static const struct {
	const char *name;
	void (*run)(struct script *script);
} verbs[] = {
	{"host", do_host},	 {"worker", do_worker},
	{"listed", do_listed},	 {"advance", do_advance},
	{"submit", do_submit},	 {"read", do_read},
	{"cancel", do_cancel},	 {"link", do_link},
	{"pause", do_pause},	 {"release", do_release},
	{"resume", do_resume},	 {"clock-drift", do_clock_drift},
	{"kill", do_kill},	 {"stop", do_stop},
	{"restart", do_restart}, {"evacuated", do_evacuated},
};

/* Scripts */

static void split_words(struct script *script, char *line)
{
	char *save = NULL;
	char *text = strtok_r(line, " \n", &save);

	script->word_count = 0;
	for (; text && script->word_count < WORDS_MAX;
	     text = strtok_r(NULL, " \n", &save))
		script->words[script->word_count++] = text;
}

static int run_line(struct script *script, char *line)
{
	size_t i;

	if (*line == '#')
		return 0;
	split_words(script, line);
	if (!script->word_count)
		return 0;
	for (i = 0; i < sizeof(verbs) / sizeof(verbs[0]); i++) {
		if (!strcmp(verbs[i].name, script->words[0])) {
			verbs[i].run(script);
			return 0;
		}
	}
	printf("run_domain: unknown verb '%s'\n", script->words[0]);
	return 1;
}

int main(int argc, char **argv)
{
	struct script script = {0};
	char line[LINE_MAX_BYTES];
	FILE *file = argc > 1 ? fopen(argv[1], "r") : NULL;
	int error = 0;

	if (!file)
		return 2;
	script.cell = fake_cell_new(print_event, &script);
	while (!error && fgets(line, sizeof(line), file))
		error = run_line(&script, line);
	fclose(file);
	fake_cell_check_accepted(script.cell);
	printf("violations: %u\n", fake_cell_violations(script.cell));
	fake_cell_free(script.cell);
	return error;
}

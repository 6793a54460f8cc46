/*
 * Runs a script over schedulers of one failure domain that share a fake store
 * and fake workers. One verb a line:
 *
 *   host NAME                 a process that competes for the domain
 *   worker NAME MILLICPUS [nofence]
 *   list NAME yes|no          whether the host list shows a worker
 *   run MS                    let time pass
 *   submit HOST NAME MS [tasks=N] [once] [key=K] [fail] [service] [times=N]
 *   read HOST NAME            read the job that was submitted as NAME
 *   cancel HOST NAME
 *   link FROM TO pass|hold|drop|double|refuse   `*` stands for any
 *   release FROM TO [reverse] let held messages go
 *   pause NODE, resume NODE, kill HOST, stop HOST, restart WORKER
 *   rate NODE PPM             let a node's clock drift
 *
 * After each millisecond it checks what must always hold and prints
 * `VIOLATION` when it does not.
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
	int count;
};

static void print_event(void *ctx, const char *text)
{
	struct script *script = ctx;

	printf("%6ld %s\n", fake_cell_now_ms(script->cell), text);
}

static const char *word(const struct script *script, int index)
{
	return index < script->count ? script->words[index] : "";
}

static bool has(const struct script *script, const char *flag)
{
	int i;

	for (i = 0; i < script->count; i++) {
		if (!strcmp(script->words[i], flag))
			return true;
	}
	return false;
}

static const char *value_of(const struct script *script, const char *name)
{
	size_t length = strlen(name);
	int i;

	for (i = 0; i < script->count; i++) {
		if (!strncmp(script->words[i], name, length) &&
		    script->words[i][length] == '=')
			return script->words[i] + length + 1;
	}
	return NULL;
}

static const char *link_end(const char *name)
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
			     !has(script, "nofence"));
}

static void do_list(struct script *script)
{
	fake_cell_list(script->cell, word(script, 1),
		       !strcmp(word(script, 2), "yes"));
}

static void do_run(struct script *script)
{
	fake_cell_run(script->cell, (unsigned int)atoi(word(script, 1)));
}

static void do_submit(struct script *script)
{
	const char *tasks = value_of(script, "tasks");
	const char *times = value_of(script, "times");
	const char *key = value_of(script, "key");
	char name[LINE_MAX_BYTES];
	int i;
	struct fake_cell_job job = {
		.name = word(script, 2),
		.run_ms = (unsigned int)atoi(word(script, 3)),
		.tasks = tasks ? (unsigned int)atoi(tasks) : 1,
		.key = key ? key : "",
		.at_most_once = has(script, "once"),
		.fails = has(script, "fail"),
		.service = has(script, "service"),
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
	static const char *const modes[] = {"pass", "hold", "drop", "double",
					    "refuse"};
	int mode;

	for (mode = 0; mode < 5; mode++) {
		if (!strcmp(modes[mode], word(script, 3)))
			break;
	}
	if (mode == 5)
		abort();
	fake_net_link(fake_cell_net(script->cell), link_end(word(script, 1)),
		      link_end(word(script, 2)), (enum fake_link)mode);
}

static void do_release(struct script *script)
{
	fake_net_release(fake_cell_net(script->cell), link_end(word(script, 1)),
			 link_end(word(script, 2)), has(script, "reverse"));
}

static struct fake_node *node_of(const struct script *script)
{
	struct fake_node *node =
		fake_node_find(fake_cell_net(script->cell), word(script, 1));

	if (!node)
		abort();
	return node;
}

static void do_pause(struct script *script)
{
	fake_node_pause(node_of(script), true);
}

static void do_resume(struct script *script)
{
	fake_node_pause(node_of(script), false);
}

static void do_rate(struct script *script)
{
	fake_node_rate(node_of(script), atoi(word(script, 2)));
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

static const struct {
	const char *name;
	void (*run)(struct script *script);
} verbs[] = {
	{"host", do_host},	 {"worker", do_worker}, {"list", do_list},
	{"run", do_run},	 {"submit", do_submit}, {"read", do_read},
	{"cancel", do_cancel},	 {"link", do_link},	{"pause", do_pause},
	{"release", do_release}, {"resume", do_resume}, {"rate", do_rate},
	{"kill", do_kill},	 {"stop", do_stop},	{"restart", do_restart},
};

/* Scripts */

static void split(struct script *script, char *line)
{
	char *save = NULL;
	char *text = strtok_r(line, " \n", &save);

	script->count = 0;
	for (; text && script->count < WORDS_MAX;
	     text = strtok_r(NULL, " \n", &save))
		script->words[script->count++] = text;
}

static int run_line(struct script *script, char *line)
{
	size_t i;

	if (*line == '#')
		return 0;
	split(script, line);
	if (!script->count)
		return 0;
	for (i = 0; i < sizeof(verbs) / sizeof(verbs[0]); i++) {
		if (!strcmp(verbs[i].name, script->words[0])) {
			verbs[i].run(script);
			return 0;
		}
	}
	printf("unknown verb '%s'\n", script->words[0]);
	return 1;
}

int main(int argc, char **argv)
{
	struct script script = {0};
	char line[LINE_MAX_BYTES];
	FILE *file = argc > 1 ? fopen(argv[1], "r") : NULL;
	int failed = 0;

	if (!file)
		return 2;
	script.cell = fake_cell_new(print_event, &script);
	while (!failed && fgets(line, sizeof(line), file))
		failed = run_line(&script, line);
	fclose(file);
	fake_cell_check_accepted(script.cell);
	printf("violations: %u\n", fake_cell_violations(script.cell));
	fake_cell_free(script.cell);
	return failed;
}

#include <check.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fakes/cell_script.h"
#include "fakes/rng.h"

/*
 * Runs cells whose owners are killed, stopped and cut off from the store, also
 * so that only the store's responses are lost. Each run that has begun must be
 * in the stored past use exactly once when all have ended: the use of a run is
 * lost if its end is persisted without it, and counted twice if the record of
 * past use includes a charge that the next owner takes for a newer one.
 *
 * ZR_SEED=N runs seed N alone and writes its script, which run_cell replays, to
 * standard output.
 */

#ifdef __SANITIZE_ADDRESS__
#define SEEDS 40
#else
#define SEEDS 300
#endif
#define HOSTS 3
#define WORKERS 4
#define ACTIONS 60
#define LINE_MAX_BYTES 256
#define QUIET_MS 40000

struct scenario {
	struct rng rng;
	struct cell_script *script;
	FILE *lines;
	unsigned int job_count;
};

__attribute__((format(printf, 2, 3))) static void
run_line(struct scenario *scenario, const char *fmt, ...)
{
	char line[LINE_MAX_BYTES];
	va_list args;

	va_start(args, fmt);
	vsnprintf(line, sizeof(line), fmt, args);
	va_end(args);
	fprintf(scenario->lines, "%s\n", line);
	cell_script_run(scenario->script, line);
}

static uint32_t below(struct scenario *scenario, uint32_t bound)
{
	return rng_below(&scenario->rng, bound);
}

static void submit(struct scenario *scenario)
{
	const char *kind;
	uint32_t host;
	uint32_t count;

	run_line(scenario, "client c%u", below(scenario, 3));
	host = below(scenario, HOSTS);
	kind = rng_chance(&scenario->rng, 20) ? "gang," : "";
	count = 1 + below(scenario, 4);
	run_line(scenario, "submit h%u j%u %s%ux500:%u", host,
		 scenario->job_count++, kind, count,
		 20 + below(scenario, 3000));
}

static void kill_host(struct scenario *scenario)
{
	uint32_t host = below(scenario, HOSTS);

	run_line(scenario, "kill h%u", host);
	run_line(scenario, "advance %u", 1 + below(scenario, 300));
	run_line(scenario, "host h%u", host);
}

/* A link that drops loses requests, or only their responses. */
static void cut_off(struct scenario *scenario)
{
	uint32_t host = below(scenario, HOSTS);
	bool only_responses = rng_chance(&scenario->rng, 60);
	const char *mode = rng_chance(&scenario->rng, 50) ? "hold" : "drop";
	char from[16];
	char to[16];

	snprintf(from, sizeof(from), "%s", "store");
	snprintf(to, sizeof(to), "h%u", host);
	if (!only_responses) {
		snprintf(from, sizeof(from), "h%u", host);
		snprintf(to, sizeof(to), "%s", "store");
	}
	run_line(scenario, "link %s %s %s", from, to, mode);
	run_line(scenario, "advance %u", 1 + below(scenario, 1500));
	run_line(scenario, "link %s %s pass", from, to);
	run_line(scenario, "release %s %s%s", from, to,
		 rng_chance(&scenario->rng, 50) ? " reverse" : "");
}

static void act(struct scenario *scenario)
{
	uint32_t action = below(scenario, 100);

	if (action < 60)
		submit(scenario);
	else if (action < 75)
		kill_host(scenario);
	else
		cut_off(scenario);
	run_line(scenario, "advance %u", 1 + below(scenario, 400));
}

static void run_seed(uint64_t seed)
{
	struct scenario scenario = {.rng = {seed}};
	FILE *out = fopen("/dev/null", "w");
	int i;

	scenario.lines = getenv("ZR_SEED") ? stdout : out;
	scenario.script = cell_script_new(out);
	run_line(&scenario, "past-use 3600 50");
	for (i = 0; i < HOSTS; i++)
		run_line(&scenario, "host h%d", i);
	run_line(&scenario, "advance 100");
	for (i = 0; i < WORKERS; i++)
		run_line(&scenario, "worker w%d 4000", i);
	run_line(&scenario, "advance 700");
	for (i = 0; i < ACTIONS; i++)
		act(&scenario);
	run_line(&scenario, "advance %d", QUIET_MS);
	ck_assert_msg(!cell_script_violations(scenario.script) &&
			      !cell_script_open_jobs(scenario.script),
		      "seed %lu: violations or jobs that did not end",
		      (unsigned long)seed);
	ck_assert_msg(cell_script_used_runs(scenario.script) ==
			      cell_script_begun_runs(scenario.script),
		      "seed %lu: %u runs began, %u are in the past use",
		      (unsigned long)seed,
		      cell_script_begun_runs(scenario.script),
		      cell_script_used_runs(scenario.script));
	cell_script_free(scenario.script);
	fclose(out);
}

START_TEST(test_each_run_counts_once)
{
	const char *seed = getenv("ZR_SEED");
	uint64_t i;

	if (seed) {
		run_seed(strtoul(seed, NULL, 10));
		return;
	}
	for (i = 1; i <= SEEDS; i++)
		run_seed(i);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("cell_past_use");
	TCase *tcase = tcase_create("cell_past_use");
	SRunner *runner;
	int failed;

	tcase_add_test(tcase, test_each_run_counts_once);
	tcase_set_timeout(tcase, 600);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

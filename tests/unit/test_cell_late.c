#include <check.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fakes/cell_script.h"
#include "fakes/rng.h"

/*
 * Runs cells whose workers carry out a part of the requests 2 to 12 s late,
 * without a response: starts, stops and polls. A task must not run twice, no
 * worker may be overloaded, and no member of a gang may end because the others
 * did not start in time. In the second series, owners die and workers restart;
 * a gang may then wait in vain. When the faults are over, every job must end.
 *
 * ZR_SEED=N runs seed N alone and writes its scripts, which run_cell replays,
 * to standard output. ZR_SEEDS=N sets the number of seeds.
 */

#ifdef __SANITIZE_ADDRESS__
#define SEEDS 10
#else
#define SEEDS 60
#endif
#define WORKERS 12
#define MILLICPUS 6000
#define ACTIONS 50
#define PAUSE_MAX_MS 500
/* Late requests arrive, leases expire, then all jobs run. */
#define QUIET_MS 40000
#define LINE_MAX_BYTES 128

struct scenario {
	struct rng rng;
	struct cell_script *script;
	FILE *lines;
	bool kills;
	unsigned int jobs;
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
	unsigned int job = scenario->jobs++;
	uint32_t count;

	switch (below(scenario, 3)) {
	case 0:
		run_line(scenario, "submit c u%u 3x1000:%u", job,
			 640 + below(scenario, 210));
		break;
	case 1:
		count = 2 + below(scenario, 19);
		run_line(scenario, "submit c g%u gang,%ux1000:%u", job, count,
			 500 + below(scenario, 4500));
		break;
	default:
		run_line(scenario, "submit c b%u checkpoints,10x1000:%u", job,
			 1000 + below(scenario, 1700));
	}
}

static void restart_host(struct scenario *scenario, char host)
{
	run_line(scenario, "kill %c", host);
	run_line(scenario, "advance %u", 1 + below(scenario, PAUSE_MAX_MS));
	run_line(scenario, "host %c", host);
}

static void act(struct scenario *scenario)
{
	uint32_t choice = below(scenario, 100);

	if (!scenario->kills || choice < 85)
		submit(scenario);
	else if (choice < 92)
		run_line(scenario, "restart w%u", below(scenario, WORKERS));
	else
		restart_host(scenario, (char)('a' + below(scenario, 2)));
}

static void start_cell(struct scenario *scenario)
{
	uint32_t percent;
	int i;

	run_line(scenario, "gangs-wait");
	run_line(scenario, "stop-ms %u", below(scenario, 400));
	run_line(scenario, "latency-target 60000");
	run_line(scenario, "host a");
	run_line(scenario, "advance 50");
	run_line(scenario, "host b");
	run_line(scenario, "host c");
	run_line(scenario, "advance 50");
	for (i = 0; i < WORKERS; i++)
		run_line(scenario, "worker w%d %u d%d", i, MILLICPUS, i % 2);
	run_line(scenario, "advance 700");
	percent = 5 + below(scenario, 30);
	run_line(scenario, "late %u %u", percent, 1 + below(scenario, 100000));
}

/* Returns 0 if no rule was violated and all jobs have ended. */
static unsigned int run_seed(uint64_t seed, bool kills, FILE *lines)
{
	struct scenario scenario = {
		.rng = {seed}, .lines = lines, .kills = kills};
	FILE *out = fopen("/dev/null", "w");
	unsigned int failures;
	int i;

	scenario.script = cell_script_new(out);
	start_cell(&scenario);
	for (i = 0; i < ACTIONS; i++) {
		act(&scenario);
		run_line(&scenario, "advance %u",
			 1 + below(&scenario, PAUSE_MAX_MS));
	}
	run_line(&scenario, "late 0 0");
	run_line(&scenario, "advance %d", QUIET_MS);
	failures = cell_script_violations(scenario.script) +
		   cell_script_open_jobs(scenario.script);
	cell_script_free(scenario.script);
	fclose(out);
	return failures;
}

static void run_seeds(bool kills)
{
	const char *seed = getenv("ZR_SEED");
	const char *seeds = getenv("ZR_SEEDS");
	uint64_t first = seed ? strtoull(seed, NULL, 10) : 1;
	uint64_t count = seeds ? strtoull(seeds, NULL, 10) : SEEDS;
	FILE *lines = seed ? stdout : fopen("/dev/null", "w");
	unsigned int failed = 0;
	uint64_t i;

	for (i = first; i <= (seed ? first : count); i++) {
		unsigned int failures = run_seed(i, kills, lines);

		if (failures)
			printf("seed %lu fails: %u, kills: %d\n",
			       (unsigned long)i, failures, kills);
		failed += failures != 0;
	}
	ck_assert_uint_eq(failed, 0);
}

START_TEST(test_late_requests)
{
	run_seeds(false);
}
END_TEST

START_TEST(test_late_requests_and_kills)
{
	run_seeds(true);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("cell_late");
	TCase *tcase = tcase_create("cell_late");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_set_timeout(tcase, 0);
	tcase_add_test(tcase, test_late_requests);
	tcase_add_test(tcase, test_late_requests_and_kills);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

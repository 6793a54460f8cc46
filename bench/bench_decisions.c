#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#include "decisions/driver.h"
#include "decisions/report.h"

/*
 * Compares the scheduler core with a first-fit baseline. Both get the same
 * jobs, which are generated from a seed. The bounds are on virtual time and
 * counted work; wall times are only printed. With --check the runs are shorter,
 * the core alone is run and no wall time is printed.
 */

#define DEFAULT_SEED 1

#define PACKING_MIN 0.90
#define SHARE_ERROR_MAX 0.05
#define URGENT_WAIT_P99_MAX_MS 3500
#define EXAMINED_GROWTH_MAX 2.0

/* Capacity of a worker: millicpus, memory in MB, accelerators. */
#define KITAKAZE_WORKER          \
	{                        \
		30000, 133120, 0 \
	}
#define MAJAN_WORKER            \
	{                       \
		16000, 32768, 0 \
	}

enum {
	KITAKAZE,
	MAJAN,
	TARGET_WAITING,
	TARGET_SHARES,
	KITAKAZE_PRIORITIES,
	SCENARIO_COUNT,
};

static const struct scenario scenarios[SCENARIO_COUNT] = {
	{"kitakaze, waiting first", ZR_POLICY_WAITING_FIRST, 50,
	 KITAKAZE_WORKER, 51, 6, 1190, 6250, 8, 900000, 5, true},
	{"majan, shares first", ZR_POLICY_SHARES_FIRST, 50, MAJAN_WORKER, 0, 6,
	 630, 6250, 5, 900000, 5, true},
	{"target, waiting first", ZR_POLICY_WAITING_FIRST, 800, KITAKAZE_WORKER,
	 820, 32, 19000, 100000, 120, 600000, 5, true},
	{"target, shares first", ZR_POLICY_SHARES_FIRST, 800, KITAKAZE_WORKER,
	 820, 32, 19000, 100000, 120, 600000, 5, true},
	{"kitakaze, 50 priorities", ZR_POLICY_WAITING_FIRST, 50,
	 KITAKAZE_WORKER, 51, 6, 1190, 6250, 8, 300000, 50, true},
};

/* Length of each run with --check in virtual time; 0 skips the scenario. */
static const uint32_t check_duration_ms[SCENARIO_COUNT] = {900000, 900000,
							   240000, 240000, 0};

struct arguments {
	bool check;
	int only;
	uint64_t seed;
};

static error_t parse(int key, char *value, struct argp_state *state)
{
	struct arguments *arguments = state->input;

	switch (key) {
	case 'c':
		arguments->check = true;
		return 0;
	case 'o':
		arguments->only = atoi(value);
		return 0;
	case 's':
		arguments->seed = strtoull(value, NULL, 10);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp_option options[] = {
	{"check", 'c', NULL, 0, "Do shorter runs of the core alone", 0},
	{"only", 'o', "N", 0, "Run only scenario N, counted from 0", 0},
	{"seed", 's', "N", 0, "Seed of the generated jobs", 0},
	{0},
};

static const struct argp argp = {options, parse, NULL, NULL, NULL, NULL, NULL};

static bool check_bound(bool met, const char *name, double measured,
			double bound)
{
	printf("%s %s: %.4g, bound %.4g\n", met ? "ok  " : "FAIL", name,
	       measured, bound);
	return met;
}

static bool check_result(const struct scenario *scenario,
			 struct driver_result *core)
{
	double urgent_wait_ms =
		samples_percentile(&core->wait_ms[ARRIVAL_URGENT], 99);
	bool met = true;

	printf("%s: %llu starts, %.1f examined per start\n", scenario->name,
	       (unsigned long long)core->starts, core->examined_per_start);
	if (core->violations)
		printf("  first broken invariant: %s\n", core->first_violation);
	met &= check_bound(!core->violations, "broken invariants",
			   core->violations, 0);
	met &= check_bound(core->packing >= PACKING_MIN, "packing when full",
			   core->packing, PACKING_MIN);
	met &= check_bound(core->parked == core->too_large,
			   "parked jobs of those too large for any worker",
			   core->parked, core->too_large);
	if (scenario->policy == ZR_POLICY_WAITING_FIRST)
		met &= check_bound(urgent_wait_ms < URGENT_WAIT_P99_MAX_MS,
				   "99th percentile of urgent jobs' wait, ms",
				   urgent_wait_ms, URGENT_WAIT_P99_MAX_MS);
	else
		met &= check_bound(
			core->share_error_max <= SHARE_ERROR_MAX,
			"largest deviation of a team from its weighted share",
			core->share_error_max, SHARE_ERROR_MAX);
	return met;
}

static bool check_growth(const struct driver_result *core)
{
	double growth = core[TARGET_WAITING].examined_per_start /
			core[KITAKAZE].examined_per_start;

	/* If nothing was counted, growth is NAN and the bound isn't met. */
	return check_bound(growth < EXAMINED_GROWTH_MAX,
			   "growth of workers and jobs examined per start, 50 "
			   "to 800 workers",
			   growth, EXAMINED_GROWTH_MAX);
}

/* Wall times come from a second run, since the checker adds to them. */
static void run_scenario(struct driver_result *core,
			 const struct scenario *scenario,
			 const struct arguments *arguments)
{
	struct driver_result baseline;
	struct driver_result timed;
	struct arrivals arrivals;

	arrivals_generate(&arrivals, scenario, arguments->seed);
	driver_run(core, &engine_core, scenario, &arrivals, true);
	if (!arguments->check) {
		driver_run(&baseline, &engine_first_fit, scenario, &arrivals,
			   false);
		driver_run(&timed, &engine_core, scenario, &arrivals, false);
		core->engine_ns = timed.engine_ns;
		samples_clear(&core->decide_ns);
		core->decide_ns = timed.decide_ns;
		timed.decide_ns = (struct samples){0};
		driver_result_clear(&timed);
		report_print(scenario, core, &baseline);
		driver_result_clear(&baseline);
	}
	arrivals_clear(&arrivals);
}

int main(int argc, char **argv)
{
	struct arguments arguments = {false, -1, DEFAULT_SEED};
	struct driver_result core[SCENARIO_COUNT] = {0};
	bool met = true;
	int i;

	argp_parse(&argp, argc, argv, 0, NULL, &arguments);
	setvbuf(stdout, NULL, _IOLBF, 0);
	printf("seed %llu\n", (unsigned long long)arguments.seed);
	for (i = 0; i < SCENARIO_COUNT; i++) {
		struct scenario scenario = scenarios[i];

		if (arguments.only >= 0 && arguments.only != i)
			continue;
		if (arguments.check)
			scenario.duration_ms = check_duration_ms[i];
		if (!scenario.duration_ms)
			continue;
		run_scenario(&core[i], &scenario, &arguments);
		met &= check_result(&scenario, &core[i]);
	}
	if (arguments.only < 0)
		met &= check_growth(core);
	for (i = 0; i < SCENARIO_COUNT; i++)
		driver_result_clear(&core[i]);
	return met ? EXIT_SUCCESS : EXIT_FAILURE;
}

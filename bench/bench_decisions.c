#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#include "decisions/driver.h"
#include "decisions/report.h"

/*
 * The scheduler core against first come, first fit, over a fixed, seeded list
 * of arrivals. With --check it is brief and judges virtual time and counted
 * work only; wall figures are printed.
 */

#define DEFAULT_SEED 1

#define PACKING_MIN 0.90
#define SHARE_OFF_MAX 0.05
#define URGENT_WAIT_MAX_MS 3500
#define COST_GROWTH_MAX 2.0

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
	MANY_WORTHS,
	SCENARIOS,
};

static const struct scenario full[SCENARIOS] = {
	{"kitakaze, waiting first", ZR_POLICY_WAITING_FIRST, 50,
	 KITAKAZE_WORKER, 51, 6, 1190, 6250, 8, 900000, 5, true},
	{"majan, shares first", ZR_POLICY_SHARES_FIRST, 50, MAJAN_WORKER, 0, 6,
	 630, 6250, 5, 900000, 5, true},
	{"target, waiting first", ZR_POLICY_WAITING_FIRST, 800, KITAKAZE_WORKER,
	 820, 32, 19000, 100000, 120, 600000, 5, true},
	{"target, shares first", ZR_POLICY_SHARES_FIRST, 800, KITAKAZE_WORKER,
	 820, 32, 19000, 100000, 120, 600000, 5, true},
	{"kitakaze, 50 levels of worth", ZR_POLICY_WAITING_FIRST, 50,
	 KITAKAZE_WORKER, 51, 6, 1190, 6250, 8, 300000, 50, true},
};

/* Length of each run with --check; 0: only in a full run. */
static const uint32_t brief_ms[SCENARIOS] = {900000, 900000, 240000, 240000, 0};

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
	{"check", 'c', NULL, 0, "Brief runs; fail past a bound", 0},
	{"only", 'o', "N", 0, "Run scenario N alone, from 0", 0},
	{"seed", 's', "N", 0, "Seed of the arrivals", 0},
	{0},
};

static const struct argp argp = {options, parse, NULL, NULL, NULL, NULL, NULL};

static bool expect(bool met, const char *what, double seen, double bound)
{
	printf("%s %s: %.4g, bound %.4g\n", met ? "ok  " : "FAIL", what, seen,
	       bound);
	return met;
}

static bool judge(const struct scenario *scenario, struct driver_result *core)
{
	double urgent = samples_percentile(&core->wait_ms[ARRIVAL_URGENT], 99);
	bool met = true;

	printf("%s: %llu starts, %.1f examined per start\n", scenario->name,
	       (unsigned long long)core->starts, core->examined);
	if (core->breaks)
		printf("  first broken: %s\n", core->first_break);
	met &= expect(!core->breaks, "broken invariants", core->breaks, 0);
	met &= expect(core->packing >= PACKING_MIN, "packing when full",
		      core->packing, PACKING_MIN);
	met &= expect(core->parked == core->too_large,
		      "parked of the jobs that can never run", core->parked,
		      core->too_large);
	if (scenario->policy == ZR_POLICY_WAITING_FIRST)
		met &= expect(urgent < URGENT_WAIT_MAX_MS,
			      "99th wait of urgent work, ms", urgent,
			      URGENT_WAIT_MAX_MS);
	else
		met &= expect(core->share_worst <= SHARE_OFF_MAX,
			      "worst team off its weighted share",
			      core->share_worst, SHARE_OFF_MAX);
	return met;
}

static bool judge_growth(const struct driver_result *core)
{
	double growth = core[TARGET_WAITING].examined / core[KITAKAZE].examined;

	/* Also false when nothing was counted. */
	return expect(growth < COST_GROWTH_MAX,
		      "growth of examined per start, 50 to 800 workers", growth,
		      COST_GROWTH_MAX);
}

/* The wall figures are read from a second run, without the checker. */
static void run(struct driver_result *core, const struct scenario *scenario,
		const struct arguments *arguments)
{
	struct driver_result baseline;
	struct driver_result timed;
	struct arrivals arrivals;

	arrivals_make(&arrivals, scenario, arguments->seed);
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
	struct driver_result core[SCENARIOS] = {0};
	bool met = true;
	int i;

	argp_parse(&argp, argc, argv, 0, NULL, &arguments);
	setvbuf(stdout, NULL, _IOLBF, 0);
	printf("seed %llu\n", (unsigned long long)arguments.seed);
	for (i = 0; i < SCENARIOS; i++) {
		struct scenario scenario = full[i];

		if (arguments.only >= 0 && arguments.only != i)
			continue;
		if (arguments.check)
			scenario.duration_ms = brief_ms[i];
		if (!scenario.duration_ms)
			continue;
		run(&core[i], &scenario, &arguments);
		met &= judge(&scenario, &core[i]);
	}
	if (arguments.only < 0)
		met &= judge_growth(core);
	for (i = 0; i < SCENARIOS; i++)
		driver_result_clear(&core[i]);
	return met ? EXIT_SUCCESS : EXIT_FAILURE;
}

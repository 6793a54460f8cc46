#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#include "placement/cell.h"

/*
 * Compares placement by expected finish with placement by free capacity: the
 * processor time of the planning passes, the queries to the adviser, and the
 * jobs that end on time. With --check the runs are shorter.
 */

/* The setting may add a tenth to the processor time for each start. */
#define GROWTH_MAX 1.1
#define PERCENT 100

/*
 * Starts per second are in percent of the workers; at 50, six slots of ten are
 * in use. At 5,000 workers the fakes would take too long at that rate, and for
 * --check also at a lower one.
 */
static const struct {
	uint32_t workers;
	uint32_t percent;
	uint32_t seconds;
	uint32_t check_seconds;
} sizes[] = {{350, 50, 30, 8}, {800, 50, 20, 5}, {5000, 10, 4, 0}};

static const char *const class_names[CELL_CLASSES] = {"urgent jobs", "gangs",
						      "batches"};

struct arguments {
	bool check;
	uint32_t only;
	uint32_t percent;
};

static error_t parse(int key, char *value, struct argp_state *state)
{
	struct arguments *arguments = state->input;

	switch (key) {
	case 'c':
		arguments->check = true;
		return 0;
	case 'o':
		arguments->only = (uint32_t)atoi(value);
		return 0;
	case 'r':
		arguments->percent = (uint32_t)atoi(value);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp_option options[] = {
	{"check", 'c', NULL, 0, "Do shorter runs", 0},
	{"only", 'o', "N", 0, "Run only the size of N workers", 0},
	{"rate", 'r', "N", 0, "Starts per second, in percent of the workers",
	 0},
	{0},
};

static const struct argp argp = {options, parse, NULL, NULL, NULL, NULL, NULL};

static double us_per_start(const struct cell_result *result)
{
	return (double)result->plan_ns / 1000 / (double)result->starts;
}

static void print(const char *name, const struct cell_result *result)
{
	int i;

	printf("  %-16s %6.1f us per start, %.1f us per pass, %llu starts, "
	       "%.1f workers named per start; on time:",
	       name, us_per_start(result),
	       (double)result->plan_ns / 1000 / (double)result->passes,
	       (unsigned long long)result->starts,
	       (double)result->named / (double)result->starts);
	for (i = 0; i < CELL_CLASSES; i++)
		printf(" %s %u of %u%s", class_names[i], result->on_time[i],
		       result->jobs[i], i < CELL_CLASSES - 1 ? "," : "\n");
}

static bool check(bool met, const char *name, double measured, double bound)
{
	printf("%s %s: %.4g, bound %.4g\n", met ? "ok  " : "FAIL", name,
	       measured, bound);
	return met;
}

static bool run_size(uint32_t workers, uint32_t seconds, uint32_t percent)
{
	struct cell_load loads[2] = {{
		.workers = workers,
		.starts_per_s = workers * percent / PERCENT,
		.seconds = seconds,
	}};
	struct cell_result results[2];
	double growth;
	bool met;

	loads[1] = loads[0];
	loads[1].worker_speed = true;
	cell_run_pair(results, loads);
	printf("%u workers, %u starts/s\n", workers, loads[0].starts_per_s);
	print("by capacity", &results[0]);
	print("by finish", &results[1]);
	growth = us_per_start(&results[1]) / us_per_start(&results[0]);
	met = check(growth <= GROWTH_MAX,
		    "growth of processor time for each start", growth,
		    GROWTH_MAX);
	met &= check(!results[1].violations, "violations",
		     results[1].violations, 0);
	return met;
}

int main(int argc, char **argv)
{
	struct arguments arguments = {0};
	bool met = true;
	size_t i;

	argp_parse(&argp, argc, argv, 0, NULL, &arguments);
	setvbuf(stdout, NULL, _IOLBF, 0);
	for (i = 0; i < sizeof(sizes) / sizeof(*sizes); i++) {
		uint32_t seconds = arguments.check ? sizes[i].check_seconds
						   : sizes[i].seconds;

		if (seconds &&
		    (!arguments.only || arguments.only == sizes[i].workers))
			met &= run_size(sizes[i].workers, seconds,
					arguments.percent ? arguments.percent
							  : sizes[i].percent);
	}
	return met ? EXIT_SUCCESS : EXIT_FAILURE;
}

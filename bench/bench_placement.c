#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#include "placement/cell.h"

/*
 * Compares placement by expected finish with placement by free capacity: the
 * processor time of the planning passes, the queries to the adviser, and the
 * jobs that end on time. Each size is run several times with and without the
 * setting in turn, and the lowest processor time counts, since other processes
 * only add to it. With --check the runs are shorter.
 */

/* The setting may add a tenth to the processor time for each start. */
#define GROWTH_MAX 1.1
#define STARTS_PER_S_PERCENT 50
#define REPEATS 3
#define PERCENT 100

static const struct {
	uint32_t workers;
	uint32_t seconds;
	uint32_t check_seconds;
} sizes[] = {{350, 30, 5}, {800, 20, 3}, {5000, 4, 1}};

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

static void keep_lowest(struct cell_result *lowest,
			const struct cell_result *result)
{
	if (!lowest->starts || us_per_start(result) < us_per_start(lowest))
		*lowest = *result;
}

static bool check(bool met, const char *name, double measured, double bound)
{
	printf("%s %s: %.4g, bound %.4g\n", met ? "ok  " : "FAIL", name,
	       measured, bound);
	return met;
}

static bool run_size(uint32_t workers, uint32_t seconds, uint32_t percent)
{
	struct cell_load load = {
		.workers = workers,
		.starts_per_s = workers * percent / PERCENT,
		.seconds = seconds,
	};
	struct cell_result by_capacity = {0};
	struct cell_result by_finish = {0};
	struct cell_result result;
	double growth;
	bool met;
	int i;

	for (i = 0; i < REPEATS; i++) {
		load.worker_speed = false;
		cell_run(&result, &load);
		keep_lowest(&by_capacity, &result);
		load.worker_speed = true;
		cell_run(&result, &load);
		keep_lowest(&by_finish, &result);
	}
	printf("%u workers, %u starts/s\n", workers, load.starts_per_s);
	print("by capacity", &by_capacity);
	print("by finish", &by_finish);
	growth = us_per_start(&by_finish) / us_per_start(&by_capacity);
	met = check(growth <= GROWTH_MAX,
		    "growth of processor time for each start", growth,
		    GROWTH_MAX);
	met &= check(!by_finish.violations, "violations", by_finish.violations,
		     0);
	return met;
}

int main(int argc, char **argv)
{
	struct arguments arguments = {.percent = STARTS_PER_S_PERCENT};
	bool met = true;
	size_t i;

	argp_parse(&argp, argc, argv, 0, NULL, &arguments);
	setvbuf(stdout, NULL, _IOLBF, 0);
	for (i = 0; i < sizeof(sizes) / sizeof(*sizes); i++) {
		if (!arguments.only || arguments.only == sizes[i].workers)
			met &= run_size(sizes[i].workers,
					arguments.check ? sizes[i].check_seconds
							: sizes[i].seconds,
					arguments.percent);
	}
	return met ? EXIT_SUCCESS : EXIT_FAILURE;
}

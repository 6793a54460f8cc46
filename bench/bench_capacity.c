#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#include "capacity/capacity.h"

/*
 * Measures how the costs of the daemons grow and computes what each daemon
 * needs at the target size, for docs/CAPACITY.md. Memory, messages and store
 * calls, which are counted, have bounds; processor time is only printed. With
 * --check the measurements are shorter and a missed bound fails the bench.
 */

struct arguments {
	bool check;
};

static error_t parse(int key, char *value, struct argp_state *state)
{
	struct arguments *arguments = state->input;

	(void)value;
	if (key != 'c')
		return ARGP_ERR_UNKNOWN;
	arguments->check = true;
	return 0;
}

static const struct argp_option options[] = {
	{"check", 'c', NULL, 0,
	 "Measure for a shorter time; fail if a bound is exceeded", 0},
	{0},
};

static const struct argp argp = {options, parse, NULL, NULL, NULL, NULL, NULL};

int main(int argc, char **argv)
{
	struct arguments arguments = {false};
	struct capacity capacity = {0};
	bool met;

	argp_parse(&argp, argc, argv, 0, NULL, &arguments);
	capacity_core(&capacity);
	capacity_wire(&capacity);
	capacity_store(&capacity, arguments.check);
	capacity_failure(&capacity);
	met = capacity_roles(&capacity);
	return met || !arguments.check ? EXIT_SUCCESS : EXIT_FAILURE;
}

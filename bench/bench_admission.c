#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#include "admission/admission.h"

/*
 * Measures what admission control does for callers in floods, and what it
 * costs. With --check the days are shorter, and the requirements are checked.
 */

/* Requirements of docs/design/2026-12-hard-load.md, part 3. */
#define WORTHLESS_PERCENT_MAX 10
#define HELD_PERCENT_MIN 90
#define SUMMARY_BYTES_MAX 4096

static unsigned int failure_count;

static void check_requirement(bool check, bool met, const char *requirement)
{
	if (!check)
		return;
	printf("%s %s\n", met ? "ok  " : "FAIL", requirement);
	failure_count += !met;
}

static void print_classes(const char *name, const struct flood_class *classes)
{
	static const char *const names[CLASS_COUNT] = {"urgent", "gang",
						       "batch"};
	int i;

	for (i = 0; i < CLASS_COUNT; i++)
		printf("    %s %-6s submitted %6u accepted %6u on time %6u "
		       "late %6u worthless %6u\n",
		       name, names[i], classes[i].submitted,
		       classes[i].accepted, classes[i].on_time, classes[i].late,
		       classes[i].worthless);
}

static void print_result(const struct flood_options *options,
			 const struct flood_result *result)
{
	printf("  %s: value %.1f%%, %u rejections, %u of %u callers that "
	       "obeyed Retry-After were accepted\n",
	       options->admission ? "admission" : "accept all",
	       result->value_percent, result->rejected, result->held,
	       result->returned);
	print_classes("calm", result->calm);
	print_classes("hot ", result->hot);
}

static struct flood_result run_and_print(struct flood_options *options,
					 bool admission)
{
	struct flood_result result;

	options->admission = admission;
	result = run_flood(options);
	print_result(options, &result);
	return result;
}

static unsigned int percent(unsigned int part, unsigned int whole)
{
	return whole ? (part * 100 + whole - 1) / whole : 0;
}

/* Returns the gain in value, in percentage points. */
static double report_day(bool check, const char *name,
			 struct flood_options options)
{
	struct flood_result before;
	struct flood_result after;
	unsigned int accepted;
	unsigned int worthless;

	printf("%s\n", name);
	before = run_and_print(&options, false);
	after = run_and_print(&options, true);
	accepted = after.calm[0].accepted + after.hot[0].accepted;
	worthless = after.calm[0].worthless + after.hot[0].worthless;
	check_requirement(check,
			  percent(worthless, accepted) < WORTHLESS_PERCENT_MAX,
			  "fewer than one in ten accepted urgent jobs without "
			  "value");
	check_requirement(check,
			  after.held * 100 >= after.returned * HELD_PERCENT_MIN,
			  "Retry-After holds for nine in ten callers");
	return after.value_percent - before.value_percent;
}

static void report_usual_load(bool check, struct flood_options options,
			      unsigned int load_percent)
{
	struct flood_result result;

	printf("usual load, %u%% of the capacity\n", load_percent);
	options.load_percent = load_percent;
	result = run_and_print(&options, true);
	check_requirement(check, !result.rejected,
			  "nothing is rejected below full load");
}

static void report_days(bool check, uint64_t seed)
{
	const unsigned int seconds = check ? 60 : 240;
	const struct flood_options calm = {false, 65, 1, 1, 0, seconds, seed};
	struct flood_options options = calm;
	double gain;

	report_usual_load(check, calm, 65);
	report_usual_load(check, calm, 85);
	options.flood_factor = 7.5;
	gain = report_day(check, "flood by two accounts, 7.5 times their rate",
			  options);
	check_requirement(check, gain > 0, "more value in a flood");
	options.tail_percent = 3;
	/* A run in the tail takes longer than an urgent job may. */
	report_day(false, "the same; 3 in 100 tasks take 7 times as long",
		   options);
	options = calm;
	options.urgent_factor = 8;
	report_day(check, "burst of the urgent class, 8 times its rate",
		   options);
	options = calm;
	options.load_percent = 110;
	report_day(check, "all accounts together above the capacity", options);
}

static void report_cost(bool check, unsigned int workers)
{
	struct cost cost = run_cost(workers, check ? 20 : 200);

	printf("%u workers, %u tasks wait: record %lu bytes (%lu without the "
	       "summary), %.0f us of processor time (%.0f us), %.0f decisions "
	       "per second\n",
	       cost.workers, cost.waiting, cost.summary_bytes,
	       cost.counts_bytes, cost.summary_us, cost.counts_us,
	       cost.decisions_per_s);
	check_requirement(check,
			  cost.summary_bytes - cost.counts_bytes <=
				  SUMMARY_BYTES_MAX,
			  "summary of at most 4 KiB");
}

struct arguments {
	bool check;
	uint64_t seed;
};

static error_t parse(int key, char *value, struct argp_state *state)
{
	struct arguments *arguments = state->input;

	if (key == 'c')
		arguments->check = true;
	else if (key == 's')
		arguments->seed = strtoull(value, NULL, 10);
	else
		return ARGP_ERR_UNKNOWN;
	return 0;
}

int main(int argc, char **argv)
{
	static const struct argp_option options[] = {
		{"check", 'c', NULL, 0, "Run shorter days; check requirements",
		 0},
		{"seed", 's', "N", 0, "Seed of the days; 1 by default", 0},
		{0},
	};
	static const struct argp argp = {
		options, parse,
		NULL,	 "Admission bench: outcome of floods, and costs.",
		NULL,	 NULL,
		NULL};
	struct arguments arguments = {.seed = 1};

	argp_parse(&argp, argc, argv, 0, NULL, &arguments);
	report_days(arguments.check, arguments.seed);
	report_cost(arguments.check, 350);
	report_cost(arguments.check, 800);
	report_cost(arguments.check, 5000);
	return failure_count != 0;
}

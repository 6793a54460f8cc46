#include "decisions/report.h"

#include <math.h>
#include <stdio.h>

static void value(double number, int digits)
{
	if (isnan(number))
		printf(" %12s", "-");
	else
		printf(" %12.*f", digits, number);
}

static void row(const char *name, double core, double baseline,
		const char *unit, int digits)
{
	printf("  %-34s", name);
	value(core, digits);
	value(baseline, digits);
	printf("  %s\n", unit);
}

static void print_waits(struct driver_result *core,
			struct driver_result *baseline)
{
	char name[64];
	int kind;

	for (kind = 0; kind < ARRIVAL_KINDS; kind++) {
		struct samples *a = &core->wait_ms[kind];
		struct samples *b = &baseline->wait_ms[kind];

		snprintf(name, sizeof(name), "wait %s, median",
			 arrival_kind_name(kind));
		row(name, samples_percentile(a, 50) / 1000.0,
		    samples_percentile(b, 50) / 1000.0, "s", 2);
		snprintf(name, sizeof(name), "wait %s, 99th",
			 arrival_kind_name(kind));
		row(name, samples_percentile(a, 99) / 1000.0,
		    samples_percentile(b, 99) / 1000.0, "s", 2);
		snprintf(name, sizeof(name), "wait %s, longest",
			 arrival_kind_name(kind));
		row(name, samples_percentile(a, 100) / 1000.0,
		    samples_percentile(b, 100) / 1000.0, "s", 2);
		snprintf(name, sizeof(name), "not started %s",
			 arrival_kind_name(kind));
		row(name, core->unstarted[kind], baseline->unstarted[kind],
		    "jobs", 0);
	}
}

static void print_cell(const struct driver_result *core,
		       const struct driver_result *baseline)
{
	row("deadlines due", core->deadlines, baseline->deadlines, "jobs", 0);
	row("deadlines missed", core->missed, baseline->missed, "jobs", 0);
	row("packing when full, room given out", 100 * core->packing,
	    100 * baseline->packing, "%", 1);
	row("packing when full, really used", 100 * core->used,
	    100 * baseline->used, "%", 1);
	row("workers overloaded", 100 * core->overloaded,
	    100 * baseline->overloaded, "%", 2);
	row("off the weighted share, mean", 100 * core->share_mean,
	    100 * baseline->share_mean, "%", 1);
	row("off the weighted share, worst team", 100 * core->share_worst,
	    100 * baseline->share_worst, "%", 1);
	row("preemptions", (double)core->preemptions,
	    (double)baseline->preemptions, "tasks", 0);
	row("relief stops and throttles", (double)core->reliefs,
	    (double)baseline->reliefs, "tasks", 0);
	row("work thrown away", 100 * core->thrown, 100 * baseline->thrown, "%",
	    2);
	row("jobs too large for any worker", core->too_large,
	    baseline->too_large, "jobs", 0);
	row("of them parked", core->parked, baseline->parked, "jobs", 0);
	row("starts of jobs that fail everywhere", core->hopeless_starts,
	    baseline->hopeless_starts, "tasks", 0);
	row("starts on workers that fail all", core->bad_starts,
	    baseline->bad_starts, "tasks", 0);
}

static double per_second(const struct driver_result *result)
{
	double seconds = (double)result->engine_ns / 1e9;

	return seconds > 0 ? (double)result->starts / seconds : 0;
}

static void print_cost(struct driver_result *core,
		       struct driver_result *baseline)
{
	row("starts", (double)core->starts, (double)baseline->starts, "tasks",
	    0);
	row("running at the end", core->running, baseline->running, "tasks", 0);
	row("examined per start", core->examined, baseline->examined,
	    "workers and jobs", 2);
	row("bytes per running task", core->task_bytes, baseline->task_bytes,
	    "bytes", 0);
	row("bytes per waiting job", core->job_bytes, baseline->job_bytes,
	    "bytes", 0);
	row("starts a second of engine time", per_second(core),
	    per_second(baseline), "(wall)", 0);
	row("decide call, 99th", samples_percentile(&core->decide_ns, 99) / 1e6,
	    samples_percentile(&baseline->decide_ns, 99) / 1e6, "ms (wall)", 3);
	row("broken invariants", core->breaks, baseline->breaks, "", 0);
	if (core->breaks)
		printf("  first broken by the core: %s\n", core->first_break);
}

void report_print(const struct scenario *scenario, struct driver_result *core,
		  struct driver_result *baseline)
{
	printf("%s: %u workers, %u accelerators, %u teams, backlog %u, "
	       "%u starts/s asked, %u s\n",
	       scenario->name, scenario->workers, scenario->accelerators,
	       scenario->teams, scenario->backlog, scenario->starts_per_second,
	       scenario->duration_ms / 1000);
	printf("  %-34s %12s %12s\n", "", "core", "first-fit");
	print_waits(core, baseline);
	print_cell(core, baseline);
	print_cost(core, baseline);
	printf("  Workers given too much do not slow down here, which flatters "
	       "first-fit.\n");
}

#include "decisions/report.h"

#include <math.h>
#include <stdio.h>

static void print_value(double number, int decimals)
{
	if (isnan(number))
		printf(" %12s", "-");
	else
		printf(" %12.*f", decimals, number);
}

static void print_row(const char *name, double core, double baseline,
		      const char *unit, int decimals)
{
	printf("  %-34s", name);
	print_value(core, decimals);
	print_value(baseline, decimals);
	printf("  %s\n", unit);
}

static void print_wait_times(struct driver_result *core,
			     struct driver_result *baseline)
{
	char name[64];
	int kind;

	for (kind = 0; kind < ARRIVAL_KIND_COUNT; kind++) {
		struct samples *a = &core->wait_ms[kind];
		struct samples *b = &baseline->wait_ms[kind];

		snprintf(name, sizeof(name), "wait %s, median",
			 arrival_kind_name(kind));
		print_row(name, samples_percentile(a, 50) / 1000.0,
			  samples_percentile(b, 50) / 1000.0, "s", 2);
		snprintf(name, sizeof(name), "wait %s, 99th percentile",
			 arrival_kind_name(kind));
		print_row(name, samples_percentile(a, 99) / 1000.0,
			  samples_percentile(b, 99) / 1000.0, "s", 2);
		snprintf(name, sizeof(name), "wait %s, maximum",
			 arrival_kind_name(kind));
		print_row(name, samples_percentile(a, 100) / 1000.0,
			  samples_percentile(b, 100) / 1000.0, "s", 2);
		snprintf(name, sizeof(name), "not started %s",
			 arrival_kind_name(kind));
		print_row(name, core->unstarted[kind],
			  baseline->unstarted[kind], "jobs", 0);
	}
}

static void print_scheduling(const struct driver_result *core,
			     const struct driver_result *baseline)
{
	print_row("deadlines due", core->deadlines_due, baseline->deadlines_due,
		  "jobs", 0);
	print_row("deadlines missed", core->deadlines_missed,
		  baseline->deadlines_missed, "jobs", 0);
	print_row("packing when full, reserved", 100 * core->packing,
		  100 * baseline->packing, "%", 1);
	print_row("packing when full, used", 100 * core->used,
		  100 * baseline->used, "%", 1);
	print_row("workers overloaded", 100 * core->overloaded_share,
		  100 * baseline->overloaded_share, "%", 2);
	print_row("deviation from share, mean", 100 * core->share_error_mean,
		  100 * baseline->share_error_mean, "%", 1);
	print_row("deviation from share, worst team",
		  100 * core->share_error_max, 100 * baseline->share_error_max,
		  "%", 1);
	print_row("preemptions", (double)core->preemptions,
		  (double)baseline->preemptions, "tasks", 0);
	print_row("overcommit stops and throttles",
		  (double)core->overcommit_actions,
		  (double)baseline->overcommit_actions, "tasks", 0);
	print_row("work wasted", 100 * core->wasted, 100 * baseline->wasted,
		  "%", 2);
	print_row("jobs too large for any worker", core->too_large,
		  baseline->too_large, "jobs", 0);
	print_row("of them parked", core->parked, baseline->parked, "jobs", 0);
	print_row("starts of jobs that always fail", core->failing_job_starts,
		  baseline->failing_job_starts, "tasks", 0);
	print_row("starts on workers that always fail",
		  core->failing_worker_starts, baseline->failing_worker_starts,
		  "tasks", 0);
}

static double starts_per_second(const struct driver_result *result)
{
	double seconds = (double)result->engine_ns / 1e9;

	return seconds > 0 ? (double)result->starts / seconds : 0;
}

static void print_cost(struct driver_result *core,
		       struct driver_result *baseline)
{
	print_row("starts", (double)core->starts, (double)baseline->starts,
		  "tasks", 0);
	print_row("running at the end", core->running, baseline->running,
		  "tasks", 0);
	print_row("examined per start", core->examined_per_start,
		  baseline->examined_per_start, "workers and jobs", 2);
	print_row("bytes per running task", core->task_bytes,
		  baseline->task_bytes, "bytes", 0);
	print_row("bytes per waiting job", core->job_bytes, baseline->job_bytes,
		  "bytes", 0);
	print_row("starts a second of engine time", starts_per_second(core),
		  starts_per_second(baseline), "(wall)", 0);
	print_row("decide call, 99th percentile",
		  samples_percentile(&core->decide_ns, 99) / 1e6,
		  samples_percentile(&baseline->decide_ns, 99) / 1e6,
		  "ms (wall)", 3);
	print_row("broken invariants", core->violations, baseline->violations,
		  "", 0);
	if (core->violations)
		printf("  first broken invariant of the core: %s\n",
		       core->first_violation);
}

void report_print(const struct scenario *scenario, struct driver_result *core,
		  struct driver_result *baseline)
{
	printf("%s: %u workers, %u accelerators, %u teams, backlog %u, "
	       "%u starts/s offered, %u s\n",
	       scenario->name, scenario->workers, scenario->accelerators,
	       scenario->teams, scenario->backlog_jobs,
	       scenario->starts_per_second, scenario->duration_ms / 1000);
	printf("  %-34s %12s %12s\n", "", "core", "first-fit");
	print_wait_times(core, baseline);
	print_scheduling(core, baseline);
	print_cost(core, baseline);
	printf("  Overloaded workers do not slow down here, which favours "
	       "first-fit.\n");
}

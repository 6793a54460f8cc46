#include <stdio.h>

#include "capacity/capacity.h"

/* Needs of each daemon at the target size, computed from the measured lines. */

/* The target size. */
#define DOMAINS 4
#define WORKERS 800
#define RUNNING_TASKS 19000
#define WAITING_JOBS 8100 /* the jobs of a day */
#define BACKLOG_JOBS 100000
#define STARTS_PER_S 120
#define TEAMS 32
#define ENTRY_HOSTS 12
#define KB 1024.0
#define MB (1024.0 * 1024.0)

/*
 * How often the daemons do what, from the constants in their code: syncs for
 * each worker, configuration reads in each process, grant requests to each
 * domain.
 */
#define SYNCS_PER_S 2.0		       /* domain/fleet.c: SYNC_WAIT_MS */
#define SCHEDULER_HOST_READS_PER_S 1.0 /* scheduler.c: HOST_LIST_POLL_MS */
#define ENTRY_HOST_READS_PER_S 2.0     /* entry/entry.c: TICK_MS */
#define CONFIG_READS_PER_S 1.0	       /* config/watch.c: READ_PERIOD_MS */
#define GRANT_REQUESTS_PER_S 2.0       /* entry/entry.c: TICK_MS */
#define STATUS_POLLS_PER_S 2.0	       /* entry/directory.c: POLL_MS */
#define RPC_OVERHEAD_BYTES 200.0 /* headers and addresses of call and reply */
#define COMMAND_BYTES 256
#define BASE64_FACTOR (4.0 / 3.0)

/* Limits that the users set for the control processes of a host. */
#define CPU_PERCENT_MAX 2.8
#define MEMORY_MB_MAX 64.0
#define WIRE_KB_PER_S_MAX 27.0
/* Budget of store calls, a part of what the users' store can serve. */
#define STORE_WRITES_PER_S_MAX 100.0
#define STORE_READS_PER_S_MAX 500.0

/* Network traffic of a daemon by cause, in bytes per second. */
struct wire {
	double syncs;
	double starts;
	double grants;
	double status;
	double hosts;
	double config;
	double store;
};

static double wire_total(const struct wire *wire)
{
	return wire->syncs + wire->starts + wire->grants + wire->status +
	       wire->hosts + wire->config + wire->store;
}

static void print_wire(const char *role, const struct wire *wire)
{
	printf("%s, KB/s: syncs %.1f, starts %.1f, grants %.1f, status %.1f, "
	       "host list %.1f, configuration %.1f, store %.1f, total %.1f\n",
	       role, wire->syncs / KB, wire->starts / KB, wire->grants / KB,
	       wire->status / KB, wire->hosts / KB, wire->config / KB,
	       wire->store / KB, wire_total(wire) / KB);
}

static bool check_bound(const char *name, double measured, double bound)
{
	bool met = measured <= bound;

	printf("%s %s: %.4g, bound %.4g\n", met ? "ok  " : "FAIL", name,
	       measured, bound);
	return met;
}

static double tasks_per_worker(void)
{
	return (double)RUNNING_TASKS / WORKERS;
}

/*
 * A worker answers a sync early when a task ends, so each started task causes
 * one more sync.
 */
static double syncs_per_s(void)
{
	return SYNCS_PER_S * WORKERS / DOMAINS + (double)STARTS_PER_S / DOMAINS;
}

static double sync_bytes(const struct capacity *c)
{
	return line_at(&c->sync_request_bytes, tasks_per_worker()) +
	       line_at(&c->sync_response_bytes, tasks_per_worker());
}

/* Fills in the traffic of the lists that a daemon polls; returns its sum. */
static double add_polled_lists(const struct capacity *c, struct wire *wire,
			       double host_reads)
{
	wire->hosts = host_reads *
		      line_at(&c->host_list_bytes, WORKERS + ENTRY_HOSTS);
	wire->config = CONFIG_READS_PER_S * BASE64_FACTOR *
		       line_at(&c->config_bytes, TEAMS);
	return wire->hosts + wire->config;
}

static struct wire active_wire(const struct capacity *c)
{
	double starts = (double)STARTS_PER_S / DOMAINS;
	struct wire wire = {
		.syncs = syncs_per_s() * sync_bytes(c),
		.starts = starts *
			  (line_at(&c->start_request_bytes, COMMAND_BYTES) +
			   RPC_OVERHEAD_BYTES),
		.grants = GRANT_REQUESTS_PER_S * ENTRY_HOSTS *
			  (line_at(&c->grant_bytes, (double)WORKERS / DOMAINS) +
			   RPC_OVERHEAD_BYTES),
		.status = STATUS_POLLS_PER_S * ENTRY_HOSTS * RPC_OVERHEAD_BYTES,
		.store = BASE64_FACTOR *
			 line_at(&c->store_bytes_written, starts),
	};

	add_polled_lists(c, &wire, SCHEDULER_HOST_READS_PER_S);
	return wire;
}

static struct wire warm_wire(const struct capacity *c)
{
	struct wire wire = {
		.status = STATUS_POLLS_PER_S * ENTRY_HOSTS * RPC_OVERHEAD_BYTES,
		.store = c->standby_reads.slope * RPC_OVERHEAD_BYTES,
	};

	add_polled_lists(c, &wire, SCHEDULER_HOST_READS_PER_S);
	return wire;
}

static struct wire entry_wire(const struct capacity *c)
{
	struct wire wire = {
		.grants = GRANT_REQUESTS_PER_S * DOMAINS *
			  (line_at(&c->grant_bytes, (double)WORKERS / DOMAINS) +
			   RPC_OVERHEAD_BYTES),
		.status = STATUS_POLLS_PER_S * ENTRY_HOSTS * RPC_OVERHEAD_BYTES,
	};

	add_polled_lists(c, &wire, ENTRY_HOST_READS_PER_S);
	return wire;
}

static double core_memory(const struct capacity *c, double waiting)
{
	return line_at(&c->worker_bytes, (double)WORKERS / DOMAINS) +
	       line_at(&c->waiting_bytes, waiting / DOMAINS) +
	       line_at(&c->running_bytes, (double)RUNNING_TASKS / DOMAINS);
}

static double domain_memory(const struct capacity *c, double waiting)
{
	return line_at(&c->scheduler_bytes,
		       (waiting + RUNNING_TASKS) / DOMAINS);
}

static void print_memory(const struct capacity *c, double waiting)
{
	printf("with %.0f jobs waiting: scheduler core of a domain %.1f MB, "
	       "active scheduler with its core %.1f MB\n",
	       waiting, core_memory(c, waiting) / MB,
	       domain_memory(c, waiting) / MB);
}

static double min_of(double a, double b)
{
	return a < b ? a : b;
}

static double store_writes(const struct capacity *c, double starts)
{
	return min_of(line_at(&c->store_writes, starts),
		      line_at(&c->store_writes_limited, starts));
}

static void print_cpu(const struct capacity *c)
{
	double starts = (double)STARTS_PER_S / DOMAINS;
	double start_us =
		starts * line_at(&c->job_cpu_us, (double)WORKERS / DOMAINS);
	double sync_us =
		syncs_per_s() * line_at(&c->sync_cpu_us, tasks_per_worker());
	double report_us =
		syncs_per_s() * tasks_per_worker() *
		line_at(&c->usage_report_us, (double)RUNNING_TASKS / DOMAINS);
	double percent = (start_us + sync_us + report_us) / 1e4;

	printf("active scheduler, %% of a core: starts %.2f, syncs %.2f, "
	       "reports %.2f, total %.2f (limit %.1f, not checked)\n",
	       start_us / 1e4, sync_us / 1e4, report_us / 1e4, percent,
	       CPU_PERCENT_MAX);
}

bool capacity_roles(const struct capacity *c)
{
	double starts = (double)STARTS_PER_S / DOMAINS;
	struct wire active = active_wire(c);
	struct wire warm = warm_wire(c);
	struct wire entry = entry_wire(c);
	struct wire worker = {.syncs = SYNCS_PER_S * sync_bytes(c)};
	/* Two processes on each entry host read the configuration. */
	double config_reads = 2 * CONFIG_READS_PER_S * ENTRY_HOSTS;
	bool met = true;

	printf("\nat the target: %d domains, %d workers, %d tasks, %d waiting, "
	       "%d starts/s, %d entry hosts\n",
	       DOMAINS, WORKERS, RUNNING_TASKS, WAITING_JOBS, STARTS_PER_S,
	       ENTRY_HOSTS);
	print_cpu(c);
	print_wire("active scheduler", &active);
	print_wire("warm scheduler", &warm);
	print_wire("entry daemon", &entry);
	print_wire("worker, control traffic", &worker);
	print_memory(c, WAITING_JOBS);
	print_memory(c, BACKLOG_JOBS);
	met &= check_bound("active scheduler, memory, MB",
			   domain_memory(c, WAITING_JOBS) / MB, MEMORY_MB_MAX);
	met &= check_bound("active scheduler, KB/s", wire_total(&active) / KB,
			   WIRE_KB_PER_S_MAX);
	met &= check_bound("warm scheduler, KB/s", wire_total(&warm) / KB,
			   WIRE_KB_PER_S_MAX);
	met &= check_bound("entry daemon, KB/s", wire_total(&entry) / KB,
			   WIRE_KB_PER_S_MAX);
	met &= check_bound("worker, KB/s", wire_total(&worker) / KB,
			   WIRE_KB_PER_S_MAX);
	met &= check_bound("store writes/s, all domains",
			   DOMAINS * store_writes(c, starts),
			   STORE_WRITES_PER_S_MAX);
	met &= check_bound("store reads/s, all domains and configuration",
			   DOMAINS * line_at(&c->store_reads, starts) +
				   config_reads,
			   STORE_READS_PER_S_MAX);
	return met;
}

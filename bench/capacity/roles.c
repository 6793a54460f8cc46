#include <stdio.h>

#include "capacity/capacity.h"

/* Each role at the target size, worked out from the measured lines. */

#define DOMAINS 4
#define WORKERS 800
#define RUNNING 19000
#define WAITING 8100 /* all jobs of a day */
#define BACKLOG 100000
#define STARTS_PER_S 120
#define TEAMS 32
#define ENTRY_HOSTS 12
#define KB 1024.0
#define MB (1024.0 * 1024.0)

/* What the code does how often, from its own constants. */
#define SYNCS_PER_S 2.0		 /* domain/fleet.c: SYNC_WAIT_MS */
#define SCHEDULER_HOST_READS 1.0 /* scheduler.c: HOST_LIST_POLL_MS */
#define ENTRY_HOST_READS 2.0	 /* entry/entry.c: TICK_MS */
#define CONFIG_READS 1.0	 /* config/watch.c: POLL_MS, each process */
#define GRANT_ASKS_PER_S 2.0	 /* entry/entry.c: TICK_MS, each domain */
#define STATUS_POLLS_PER_S 2.0	 /* entry/directory.c: POLL_MS */
#define RPC_BYTES 200.0		 /* head and addresses of call and reply */
#define COMMAND_BYTES 256
#define BASE64 (4.0 / 3.0)

/* The users' limits for one node's control. */
#define CORE_PERCENT_MAX 2.8
#define MEMORY_MB_MAX 64.0
#define WIRE_KB_MAX 27.0
/* The users' store, and the part of it that the design allows itself. */
#define STORE_WRITES_MAX 100.0
#define STORE_READS_MAX 500.0

struct wire {
	double syncs;
	double starts;
	double grants;
	double status;
	double hosts;
	double config;
	double store;
};

static double sum(const struct wire *wire)
{
	return wire->syncs + wire->starts + wire->grants + wire->status +
	       wire->hosts + wire->config + wire->store;
}

static void print_wire(const char *role, const struct wire *wire)
{
	printf("%s, KB/s: syncs %.1f, starts %.1f, slots %.1f, status %.1f, "
	       "host list %.1f, configuration %.1f, store %.1f, sum %.1f\n",
	       role, wire->syncs / KB, wire->starts / KB, wire->grants / KB,
	       wire->status / KB, wire->hosts / KB, wire->config / KB,
	       wire->store / KB, sum(wire) / KB);
}

static bool judge(const char *what, double seen, double bound)
{
	bool met = seen <= bound;

	printf("%s %s: %.4g, bound %.4g\n", met ? "ok  " : "FAIL", what, seen,
	       bound);
	return met;
}

static double tasks_per_worker(void)
{
	return (double)RUNNING / WORKERS;
}

/* Ends of tasks bring a sync forward: one for each start that was. */
static double syncs_per_s(void)
{
	return SYNCS_PER_S * WORKERS / DOMAINS + (double)STARTS_PER_S / DOMAINS;
}

static double sync_bytes(const struct capacity *c)
{
	return line_at(&c->sync_out, tasks_per_worker()) +
	       line_at(&c->sync_in, tasks_per_worker());
}

static double poll_bytes(const struct capacity *c, struct wire *wire,
			 double host_reads)
{
	wire->hosts =
		host_reads * line_at(&c->hosts_bytes, WORKERS + ENTRY_HOSTS);
	wire->config = CONFIG_READS * BASE64 * line_at(&c->config_bytes, TEAMS);
	return wire->hosts + wire->config;
}

static struct wire active_wire(const struct capacity *c)
{
	double starts = (double)STARTS_PER_S / DOMAINS;
	struct wire wire = {
		.syncs = syncs_per_s() * sync_bytes(c),
		.starts = starts *
			  (line_at(&c->start_out, COMMAND_BYTES) + RPC_BYTES),
		.grants = GRANT_ASKS_PER_S * ENTRY_HOSTS *
			  (line_at(&c->grant_bytes, (double)WORKERS / DOMAINS) +
			   RPC_BYTES),
		.status = STATUS_POLLS_PER_S * ENTRY_HOSTS * RPC_BYTES,
		.store = BASE64 * line_at(&c->store_bytes, starts),
	};

	poll_bytes(c, &wire, SCHEDULER_HOST_READS);
	return wire;
}

static struct wire warm_wire(const struct capacity *c)
{
	struct wire wire = {
		.status = STATUS_POLLS_PER_S * ENTRY_HOSTS * RPC_BYTES,
		.store = c->standby_reads.slope * RPC_BYTES,
	};

	poll_bytes(c, &wire, SCHEDULER_HOST_READS);
	return wire;
}

static struct wire entry_wire(const struct capacity *c)
{
	struct wire wire = {
		.grants = GRANT_ASKS_PER_S * DOMAINS *
			  (line_at(&c->grant_bytes, (double)WORKERS / DOMAINS) +
			   RPC_BYTES),
		.status = STATUS_POLLS_PER_S * ENTRY_HOSTS * RPC_BYTES,
	};

	poll_bytes(c, &wire, ENTRY_HOST_READS);
	return wire;
}

static double core_memory(const struct capacity *c, double waiting)
{
	return line_at(&c->worker_bytes, (double)WORKERS / DOMAINS) +
	       line_at(&c->waiting_bytes, waiting / DOMAINS) +
	       line_at(&c->running_bytes, (double)RUNNING / DOMAINS);
}

static double domain_memory(const struct capacity *c, double waiting)
{
	return line_at(&c->domain_bytes, (waiting + RUNNING) / DOMAINS);
}

static void print_memory(const struct capacity *c, double waiting)
{
	printf("with %.0f jobs waiting: core of a domain %.1f MB, active "
	       "scheduler with its records of jobs %.1f MB\n",
	       waiting, core_memory(c, waiting) / MB,
	       domain_memory(c, waiting) / MB);
}

static double smaller(double a, double b)
{
	return a < b ? a : b;
}

static double store_writes(const struct capacity *c, double starts)
{
	return smaller(line_at(&c->store_writes, starts),
		       line_at(&c->store_bound, starts));
}

static void print_processor(const struct capacity *c)
{
	double starts = (double)STARTS_PER_S / DOMAINS;
	double placing =
		starts * line_at(&c->start_us, (double)WORKERS / DOMAINS);
	double syncs = syncs_per_s() * line_at(&c->sync_us, tasks_per_worker());
	double reports = syncs_per_s() * tasks_per_worker() *
			 line_at(&c->report_us, (double)RUNNING / DOMAINS);
	double percent = (placing + syncs + reports) / 1e4;

	printf("active scheduler, %% of a core: starts %.2f, syncs %.2f, "
	       "reports %.2f, sum %.2f (allowed %.1f, not judged)\n",
	       placing / 1e4, syncs / 1e4, reports / 1e4, percent,
	       CORE_PERCENT_MAX);
}

bool capacity_roles(const struct capacity *c)
{
	double starts = (double)STARTS_PER_S / DOMAINS;
	struct wire active = active_wire(c);
	struct wire warm = warm_wire(c);
	struct wire entry = entry_wire(c);
	struct wire worker = {.syncs = SYNCS_PER_S * sync_bytes(c)};
	double polls = 2 * CONFIG_READS * ENTRY_HOSTS;
	bool met = true;

	printf("\nat the target: %d domains, %d workers, %d tasks, %d waiting, "
	       "%d starts/s, %d entry hosts\n",
	       DOMAINS, WORKERS, RUNNING, WAITING, STARTS_PER_S, ENTRY_HOSTS);
	print_processor(c);
	print_wire("active scheduler", &active);
	print_wire("warm scheduler", &warm);
	print_wire("entry daemon", &entry);
	print_wire("a worker's control traffic", &worker);
	print_memory(c, WAITING);
	print_memory(c, BACKLOG);
	met &= judge("active scheduler, memory by slopes, MB",
		     domain_memory(c, WAITING) / MB, MEMORY_MB_MAX);
	met &= judge("active scheduler, KB/s", sum(&active) / KB, WIRE_KB_MAX);
	met &= judge("warm scheduler, KB/s", sum(&warm) / KB, WIRE_KB_MAX);
	met &= judge("entry daemon, KB/s", sum(&entry) / KB, WIRE_KB_MAX);
	met &= judge("worker, KB/s", sum(&worker) / KB, WIRE_KB_MAX);
	met &= judge("store writes/s, all domains",
		     DOMAINS * store_writes(c, starts), STORE_WRITES_MAX);
	met &= judge("store reads/s, all domains and processes",
		     DOMAINS * line_at(&c->store_reads, starts) + polls,
		     STORE_READS_MAX);
	return met;
}

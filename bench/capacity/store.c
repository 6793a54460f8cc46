#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>

#include "capacity/capacity.h"
#include "fakes/fake_cell.h"

/* Store calls of one failure domain: real schedulers, a fake store. */

#define WORKERS 8
#define WORKER_MILLICPUS 60000
#define RUN_MS 2000
#define LONG_RUN_MS 100000000
#define WARM_UP_MS 15000
#define STEP_MS 100
#define MEASURE_MS 60000
#define BRIEF_MS 20000
#define HOSTS 3
#define IDEMPOTENCY_KEY ""

struct totals {
	double reads;
	double writes;
	double bytes;
};

static void ignore(void *ctx, const char *text)
{
	(void)ctx;
	(void)text;
}

static struct fake_cell *make_cell(int hosts)
{
	struct fake_cell *cell = fake_cell_new(ignore, NULL);
	char name[16];
	int i;

	for (i = 0; i < WORKERS; i++) {
		snprintf(name, sizeof(name), "w%d", i);
		fake_cell_add_worker(cell, name, WORKER_MILLICPUS, true);
		fake_cell_set_listed(cell, name, true);
	}
	for (i = 0; i < hosts; i++) {
		snprintf(name, sizeof(name), "h%d", i);
		fake_cell_add_host(cell, name);
		/* The first host becomes the owner, the others stand by. */
		fake_cell_run(cell, WARM_UP_MS / hosts);
	}
	return cell;
}

static struct totals read_totals(struct fake_cell *cell)
{
	const struct fake_store_counts *counts =
		fake_store_counts(fake_cell_store(cell));
	struct totals totals = {0};
	int i;

	for (i = 0; i < ZR_STORE_PURPOSE_COUNT; i++) {
		totals.reads += (double)counts->reads[i];
		totals.writes += (double)counts->writes[i];
	}
	totals.bytes = (double)counts->bytes_written;
	return totals;
}

static void submit(struct fake_cell *cell, unsigned int number,
		   unsigned int run_ms)
{
	char name[16];
	const struct fake_cell_job job = {
		.name = name,
		.run_ms = run_ms,
		.tasks = 1,
		.key = IDEMPOTENCY_KEY,
	};

	snprintf(name, sizeof(name), "j%u", number);
	fake_cell_submit(cell, "h0", &job);
}

/* Store calls a second at so many jobs a second. */
static struct totals run_at(unsigned int hosts, unsigned int jobs_per_second,
			    unsigned int ms)
{
	struct fake_cell *cell = make_cell((int)hosts);
	struct totals before = read_totals(cell);
	unsigned int steps = ms / STEP_MS;
	unsigned int sent = 0;
	struct totals after;
	unsigned int i;

	for (i = 1; i <= steps; i++) {
		while (sent < i * jobs_per_second * STEP_MS / 1000)
			submit(cell, sent++, RUN_MS);
		fake_cell_run(cell, STEP_MS);
	}
	after = read_totals(cell);
	if (fake_cell_violations(cell) ||
	    fake_cell_counts(cell)->accepted + jobs_per_second < sent)
		fprintf(stderr, "capacity: %u of %u jobs accepted\n",
			fake_cell_counts(cell)->accepted, sent);
	fake_cell_free(cell);
	after.reads = (after.reads - before.reads) * 1000 / ms;
	after.writes = (after.writes - before.writes) * 1000 / ms;
	after.bytes = (after.bytes - before.bytes) * 1000 / ms;
	return after;
}

/*
 * An active scheduler's records of jobs that wait: with the core's own and the
 * test's note of each submission, so it is an upper bound.
 */
static void memory_at(struct capacity *out, unsigned int jobs)
{
	struct fake_cell *cell = fake_cell_new(ignore, NULL);
	struct mallinfo2 before;
	struct mallinfo2 after;
	unsigned int i;

	/* Room for one job, which does not end. */
	fake_cell_add_worker(cell, "w0", 1000, true);
	fake_cell_add_host(cell, "h0");
	fake_cell_set_listed(cell, "w0", true);
	fake_cell_run(cell, WARM_UP_MS);
	before = mallinfo2();
	for (i = 0; i < jobs; i++)
		submit(cell, i, LONG_RUN_MS);
	fake_cell_run(cell, WARM_UP_MS);
	if (fake_cell_counts(cell)->accepted != jobs)
		abort();
	after = mallinfo2();
	line_add(&out->domain_bytes, jobs,
		 (double)(after.uordblks + after.hblkhd) -
			 (double)(before.uordblks + before.hblkhd));
	fake_cell_free(cell);
}

static void measure_memory(struct capacity *out)
{
	static const unsigned int sizes[] = {500, 1000, 2000, 4000};
	size_t i;

	out->domain_bytes.name =
		"memory of an active scheduler by accepted jobs, bytes";
	for (i = 0; i < 4; i++)
		memory_at(out, sizes[i]);
	line_fit(&out->domain_bytes);
}

/* Below the journal's own bound on writes, and well past it. */
static void measure_jobs(struct capacity *out, unsigned int ms)
{
	static const unsigned int rates[] = {0, 2, 4, 6, 8};
	static const unsigned int high[] = {15, 20, 30, 60};
	size_t i;

	out->store_writes.name =
		"store writes a second of a domain by jobs a second";
	out->store_bound.name =
		"store writes a second of a domain past the journal's bound, "
		"by jobs a second";
	out->store_reads.name =
		"store reads a second of a domain of 3 hosts by jobs a second";
	out->store_bytes.name =
		"bytes written a second of a domain by jobs a second";
	for (i = 0; i < 5; i++) {
		struct totals totals = run_at(HOSTS, rates[i], ms);

		line_add(&out->store_writes, rates[i], totals.writes);
		line_add(&out->store_reads, rates[i], totals.reads);
	}
	for (i = 0; i < 4; i++) {
		struct totals totals = run_at(HOSTS, high[i], ms);

		line_add(&out->store_bound, high[i], totals.writes);
		line_add(&out->store_bytes, high[i], totals.bytes);
	}
	line_fit(&out->store_writes);
	line_fit(&out->store_bound);
	line_fit(&out->store_reads);
	line_fit(&out->store_bytes);
}

static void measure_standby(struct capacity *out, unsigned int ms)
{
	static const unsigned int hosts[] = {1, 2, 3, 4};
	size_t i;

	out->standby_reads.name =
		"store reads a second of an idle domain by hosts";
	for (i = 0; i < 4; i++)
		line_add(&out->standby_reads, hosts[i],
			 run_at(hosts[i], 0, ms).reads);
	line_fit(&out->standby_reads);
}

void capacity_store(struct capacity *out, bool brief)
{
	unsigned int ms = brief ? BRIEF_MS : MEASURE_MS;

	measure_jobs(out, ms);
	measure_standby(out, ms);
	measure_memory(out);
}

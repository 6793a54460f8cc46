#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>

#include "capacity/capacity.h"
#include "fakes/fake_cell.h"

/* Store calls and memory of real schedulers over a fake store. */

#define WORKERS 8
#define WORKER_MILLICPUS 60000
#define RUN_MS 2000
#define LONG_RUN_MS 100000000
#define WARM_UP_MS 15000
#define STEP_MS 100
#define MEASURE_MS 60000
#define QUICK_MEASURE_MS 20000
#define HOSTS 3
#define IDEMPOTENCY_KEY ""

/* Numbers of store calls and bytes written, in total or per second. */
struct store_calls {
	double reads;
	double writes;
	double bytes_written;
};

static void ignore_event(void *ctx, const char *text)
{
	(void)ctx;
	(void)text;
}

static struct fake_cell *create_cell(int hosts)
{
	struct fake_cell *cell = fake_cell_new(ignore_event, NULL);
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

static struct store_calls read_store_calls(struct fake_cell *cell)
{
	const struct fake_store_counts *counts =
		fake_store_counts(fake_cell_store(cell));
	struct store_calls store_calls = {0};
	int i;

	for (i = 0; i < ZR_STORE_PURPOSE_COUNT; i++) {
		store_calls.reads += (double)counts->reads[i];
		store_calls.writes += (double)counts->writes[i];
	}
	store_calls.bytes_written = (double)counts->bytes_written;
	return store_calls;
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

/* Returns the store calls per second at a rate of submitted jobs. */
static struct store_calls
measure_rate(unsigned int hosts, unsigned int jobs_per_second, unsigned int ms)
{
	struct fake_cell *cell = create_cell((int)hosts);
	struct store_calls before = read_store_calls(cell);
	unsigned int steps = ms / STEP_MS;
	unsigned int submitted = 0;
	struct store_calls after;
	unsigned int i;

	for (i = 1; i <= steps; i++) {
		while (submitted < i * jobs_per_second * STEP_MS / 1000)
			submit(cell, submitted++, RUN_MS);
		fake_cell_run(cell, STEP_MS);
	}
	after = read_store_calls(cell);
	if (fake_cell_violations(cell) ||
	    fake_cell_counts(cell)->accepted + jobs_per_second < submitted)
		fprintf(stderr, "capacity: %u of %u jobs accepted\n",
			fake_cell_counts(cell)->accepted, submitted);
	fake_cell_free(cell);
	after.reads = (after.reads - before.reads) * 1000 / ms;
	after.writes = (after.writes - before.writes) * 1000 / ms;
	after.bytes_written =
		(after.bytes_written - before.bytes_written) * 1000 / ms;
	return after;
}

/*
 * Measures the memory of an active scheduler by accepted jobs. The fake cell's
 * own record of each submission is included, so this is an upper bound.
 */
static void measure_memory_at(struct capacity *out, unsigned int jobs)
{
	struct fake_cell *cell = fake_cell_new(ignore_event, NULL);
	struct mallinfo2 before;
	struct mallinfo2 after;
	unsigned int i;

	/* Resources for one job, which does not end. */
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
	line_add(&out->scheduler_bytes, jobs,
		 (double)(after.uordblks + after.hblkhd) -
			 (double)(before.uordblks + before.hblkhd));
	fake_cell_free(cell);
}

static void measure_memory(struct capacity *out)
{
	static const unsigned int sizes[] = {500, 1000, 2000, 4000};
	size_t i;

	out->scheduler_bytes.name =
		"memory of an active scheduler by accepted jobs, bytes";
	for (i = 0; i < 4; i++)
		measure_memory_at(out, sizes[i]);
	line_fit(&out->scheduler_bytes);
}

/* Rates of jobs well below and well above the journal's write limit. */
static void measure_store_calls(struct capacity *out, unsigned int ms)
{
	static const unsigned int rates[] = {0, 2, 4, 6, 8};
	static const unsigned int limited_rates[] = {15, 20, 30, 60};
	size_t i;

	out->store_writes.name =
		"store writes per second of a domain by jobs per second";
	out->store_writes_limited.name =
		"store writes per second of a domain at the journal's write "
		"limit, by jobs per second";
	out->store_reads.name =
		"store reads per second of a domain of 3 hosts by jobs per "
		"second";
	out->store_bytes_written.name =
		"bytes written per second of a domain by jobs per second";
	for (i = 0; i < 5; i++) {
		struct store_calls store_calls =
			measure_rate(HOSTS, rates[i], ms);

		line_add(&out->store_writes, rates[i], store_calls.writes);
		line_add(&out->store_reads, rates[i], store_calls.reads);
	}
	for (i = 0; i < 4; i++) {
		struct store_calls store_calls =
			measure_rate(HOSTS, limited_rates[i], ms);

		line_add(&out->store_writes_limited, limited_rates[i],
			 store_calls.writes);
		line_add(&out->store_bytes_written, limited_rates[i],
			 store_calls.bytes_written);
	}
	line_fit(&out->store_writes);
	line_fit(&out->store_writes_limited);
	line_fit(&out->store_reads);
	line_fit(&out->store_bytes_written);
}

static void measure_standby(struct capacity *out, unsigned int ms)
{
	static const unsigned int hosts[] = {1, 2, 3, 4};
	size_t i;

	out->standby_reads.name =
		"store reads per second of an idle domain by hosts";
	for (i = 0; i < 4; i++)
		line_add(&out->standby_reads, hosts[i],
			 measure_rate(hosts[i], 0, ms).reads);
	line_fit(&out->standby_reads);
}

void capacity_store(struct capacity *out, bool quick)
{
	unsigned int ms = quick ? QUICK_MEASURE_MS : MEASURE_MS;

	measure_store_calls(out, ms);
	measure_standby(out, ms);
	measure_memory(out);
}

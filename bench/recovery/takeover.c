#include <stdio.h>

#include "recovery/recovery.h"

#define MS_PER_S 1000
#define TASK_MILLICPUS 1000
#define JOURNAL_PREFIX "zr/domain/sapporo/"
/*
 * Run times of 1 to 167 s: of 5,000 tasks that start together, about 30 end per
 * second.
 */
#define RUN_MIN_MS 1000
#define RUN_SPREAD_MS 166000
#define SUBMITS_PER_MS 10
#define SETTLE_MS 5000
#define FIRST_START_TIMEOUT_MS 5000
#define KILL_COUNT 5
/* Shifts each kill against the renewals of the store lease. */
#define KILL_PHASE_MS 110
/* State transitions: job accepted, task started, task ended, job ended. */
#define TRANSITIONS_PER_JOB 4.0

static void submit(struct fake_cell *cell, unsigned int number)
{
	char name[32];
	const struct fake_cell_job job = {
		.name = name,
		.spec_name = "reprint",
		.run_ms = RUN_MIN_MS + number * 7919 % RUN_SPREAD_MS,
		.tasks = 1,
		.key = "",
	};

	snprintf(name, sizeof(name), "j%u", number);
	fake_cell_submit(cell, "a", &job);
}

static void fill(struct fake_cell *cell, unsigned int jobs)
{
	unsigned int i;

	for (i = 0; i < jobs; i++) {
		submit(cell, i);
		if (i % SUBMITS_PER_MS == 0)
			fake_cell_run(cell, 1);
	}
	fake_cell_run(cell, SETTLE_MS);
}

/* Submits a job for each task that ends, so that the domain stays full. */
static unsigned int keep_full(struct fake_cell *cell, unsigned int number,
			      unsigned int seconds)
{
	unsigned int ended = fake_cell_counts(cell)->ended;
	unsigned int ms;

	for (ms = 0; ms < seconds * MS_PER_S; ms++) {
		fake_cell_run(cell, 1);
		for (; ended < fake_cell_counts(cell)->ended; ended++)
			submit(cell, number++);
	}
	return number;
}

static void measure_load(struct takeover *out, struct fake_cell *cell,
			 unsigned int jobs, unsigned int seconds)
{
	unsigned int ended = fake_cell_counts(cell)->ended;
	struct meter meter = meter_start(cell);
	double per_s;

	keep_full(cell, jobs, seconds);
	out->rates = meter_read(&meter, cell);
	per_s = (double)(fake_cell_counts(cell)->ended - ended) / seconds;
	out->unbatched_writes = per_s * TRANSITIONS_PER_JOB +
				out->rates.by_purpose[ZR_STORE_LEASE];
}

/* Kills owners at different moments between two renewals of the store lease. */
static void measure_takeovers(struct takeover *out, struct fake_cell *cell)
{
	unsigned int i;

	for (i = 0; i < KILL_COUNT; i++) {
		const struct fake_store_counts *counts =
			fake_store_counts(fake_cell_store(cell));
		const struct fake_store_counts before = *counts;
		long killed_ms = fake_cell_now_ms(cell);
		long first_start_ms;

		fake_cell_kill_active(cell);
		fake_cell_run(cell, FIRST_START_TIMEOUT_MS + KILL_PHASE_MS);
		first_start_ms =
			fake_cell_counts(cell)->first_begun_ms - killed_ms;
		if (first_start_ms < 0)
			first_start_ms = FIRST_START_TIMEOUT_MS;
		if (first_start_ms > out->first_start_ms)
			out->first_start_ms = first_start_ms;
		out->reads = counts->reads[ZR_STORE_RECOVERY] -
			     before.reads[ZR_STORE_RECOVERY];
		out->bytes_read = counts->bytes_read - before.bytes_read;
	}
}

struct takeover run_takeover(unsigned int shards, unsigned int running,
			     unsigned int waiting, unsigned int load_s)
{
	unsigned int workers = running * TASK_MILLICPUS / WORKER_MILLICPUS;
	struct takeover out = {0};
	struct fake_cell *cell;

	cell = bench_cell_new_sharded(shards, workers, WORKER_MILLICPUS);
	fill(cell, running + waiting);
	measure_load(&out, cell, running + waiting, load_s);
	out.running = fake_cell_count_running(cell);
	out.waiting = fake_cell_counts(cell)->accepted -
		      fake_cell_counts(cell)->begun;
	out.bytes_per_job =
		(double)fake_store_size(fake_cell_store(cell), JOURNAL_PREFIX) /
		(double)fake_cell_counts(cell)->accepted;
	out.largest_value = fake_store_counts(fake_cell_store(cell))->largest;
	measure_takeovers(&out, cell);
	fake_cell_check_accepted(cell);
	out.violations = fake_cell_violations(cell);
	fake_cell_free(cell);
	return out;
}

#include <stdio.h>

#include "recovery/recovery.h"

#define MS_PER_S 1000
#define TASK_MILLICPUS 1000
#define JOURNAL "zr/domain/sapporo/"
/* Of 5,000 tasks about 30 a second end. */
#define RUN_MIN_MS 1000
#define RUN_SPREAD_MS 166000
#define SUBMIT_PER_MS 10
#define SETTLE_MS 5000
#define PATIENCE_MS 5000
#define DEATHS 5
#define DEATH_PHASE_MS 110
#define NAIVE_WRITES_PER_JOB 4.0

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
		if (i % SUBMIT_PER_MS == 0)
			fake_cell_run(cell, 1);
	}
	fake_cell_run(cell, SETTLE_MS);
}

/* As many come as end, so that the domain stays full. */
static unsigned int hold(struct fake_cell *cell, unsigned int number,
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
	struct meter meter = meter_begin(cell);
	double per_s;

	hold(cell, jobs, seconds);
	out->rates = meter_end(&meter, cell);
	per_s = (double)(fake_cell_counts(cell)->ended - ended) / seconds;
	out->naive_writes = per_s * NAIVE_WRITES_PER_JOB +
			    out->rates.by_purpose[ZR_STORE_LEASE];
}

/* Deaths at several moments between two renewals of the store lease. */
static void measure_deaths(struct takeover *out, struct fake_cell *cell)
{
	unsigned int i;

	for (i = 0; i < DEATHS; i++) {
		const struct fake_store_counts *counts =
			fake_store_counts(fake_cell_store(cell));
		const struct fake_store_counts before = *counts;
		long killed_ms = fake_cell_now_ms(cell);
		long placed_ms;

		fake_cell_kill_active(cell);
		fake_cell_run(cell, PATIENCE_MS + DEATH_PHASE_MS);
		placed_ms = fake_cell_counts(cell)->first_begun_ms - killed_ms;
		if (placed_ms < 0)
			placed_ms = PATIENCE_MS;
		if (placed_ms > out->first_placed_ms)
			out->first_placed_ms = placed_ms;
		out->reads = counts->reads[ZR_STORE_RECOVERY] -
			     before.reads[ZR_STORE_RECOVERY];
		out->bytes_read = counts->bytes_read - before.bytes_read;
	}
}

struct takeover run_takeover(unsigned int groups, unsigned int running,
			     unsigned int waiting, unsigned int load_s)
{
	unsigned int workers = running * TASK_MILLICPUS / WORKER_MILLICPUS;
	struct takeover out = {0};
	struct fake_cell *cell;

	cell = bench_cell_grouped(groups, workers, WORKER_MILLICPUS);
	fill(cell, running + waiting);
	measure_load(&out, cell, running + waiting, load_s);
	out.running = fake_cell_count_running(cell);
	out.waiting = fake_cell_counts(cell)->accepted -
		      fake_cell_counts(cell)->begun;
	out.bytes_per_job =
		(double)fake_store_size(fake_cell_store(cell), JOURNAL) /
		(double)fake_cell_counts(cell)->accepted;
	out.largest = fake_store_counts(fake_cell_store(cell))->largest;
	measure_deaths(&out, cell);
	fake_cell_check_accepted(cell);
	out.violations = fake_cell_violations(cell);
	fake_cell_free(cell);
	return out;
}

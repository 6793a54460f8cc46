#include <stdio.h>
#include <stdlib.h>

#include "recovery/recovery.h"

#define MS_PER_S 1000u
#define RUN_MS 5000
/* State transitions: job accepted, task started, task ended, job ended. */
#define TRANSITIONS_PER_JOB 4

static int compare_delays(const void *a, const void *b)
{
	unsigned int first = *(const unsigned int *)a;
	unsigned int second = *(const unsigned int *)b;

	return (first > second) - (first < second);
}

static void fill_accept_delays(struct load *load, const struct fake_cell *cell)
{
	size_t count;
	const unsigned int *delays = fake_cell_accept_delays_ms(cell, &count);
	unsigned int *sorted;
	size_t i;

	if (!count)
		return;
	sorted = calloc(count, sizeof(*sorted));
	if (!sorted)
		abort();
	for (i = 0; i < count; i++)
		sorted[i] = delays[i];
	qsort(sorted, count, sizeof(*sorted), compare_delays);
	load->accept_median_ms = sorted[count / 2];
	load->accept_p99_ms = sorted[count * 99 / 100];
	free(sorted);
}

static void submit(struct fake_cell *cell, unsigned int number)
{
	char name[32];
	const struct fake_cell_job job = {
		.name = name,
		.spec_name = "reprint",
		.run_ms = RUN_MS,
		.tasks = 1,
		.key = "",
		.at_most_once = number % 4 == 0,
	};

	snprintf(name, sizeof(name), "j%u", number);
	fake_cell_submit(cell, "a", &job);
}

/* Submits @per_s jobs per second for @ms; returns the next job number. */
static unsigned int submit_at_rate(struct fake_cell *cell, unsigned int per_s,
				   unsigned int ms, unsigned int number)
{
	unsigned int due_thousandths = 0;

	for (; ms; ms--) {
		for (due_thousandths += per_s; due_thousandths >= MS_PER_S;
		     due_thousandths -= MS_PER_S)
			submit(cell, number++);
		fake_cell_run(cell, 1);
	}
	return number;
}

struct load run_load(unsigned int per_s, unsigned int seconds)
{
	struct fake_cell *cell =
		bench_cell_new(WORKERS_PER_DOMAIN, WORKER_MILLICPUS);
	struct load load = {0};
	unsigned int number = submit_at_rate(cell, per_s, 10 * MS_PER_S, 0);
	struct meter meter = meter_start(cell);

	submit_at_rate(cell, per_s, seconds * MS_PER_S, number);
	load.rates = meter_read(&meter, cell);
	load.unbatched_writes = (double)per_s * TRANSITIONS_PER_JOB +
				load.rates.by_purpose[ZR_STORE_LEASE];
	fill_accept_delays(&load, cell);
	fake_cell_free(cell);
	return load;
}

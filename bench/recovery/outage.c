#include <stdio.h>

#include "recovery/recovery.h"

#define MS_PER_S 1000
#define WORKER_COUNT 50
#define MILLICPUS_PER_WORKER 30000
#define SUBMITS_PER_S 20
#define MEASURE_AFTER_S 60

static void submit(struct fake_cell *cell, const char *host,
		   unsigned int number, unsigned int run_ms)
{
	char name[32];
	const struct fake_cell_job job = {
		.name = name,
		.spec_name = "reprint",
		.run_ms = run_ms,
		.tasks = 1,
		.key = "",
	};

	snprintf(name, sizeof(name), "j%u", number);
	fake_cell_submit(cell, host, &job);
}

static unsigned long count_writes(struct fake_cell *cell)
{
	const struct fake_store_counts *counts =
		fake_store_counts(fake_cell_store(cell));
	unsigned long sum = 0;
	int i;

	for (i = 0; i < ZR_STORE_PURPOSE_COUNT; i++)
		sum += counts->writes[i];
	return sum;
}

static unsigned long max_writes_per_s(struct fake_cell *cell)
{
	unsigned long max_writes = 0;
	int second;

	for (second = 0; second < MEASURE_AFTER_S; second++) {
		unsigned long before = count_writes(cell);

		fake_cell_run(cell, MS_PER_S);
		if (count_writes(cell) - before > max_writes)
			max_writes = count_writes(cell) - before;
	}
	return max_writes;
}

struct outage run_outage(unsigned int seconds)
{
	struct fake_cell *cell =
		bench_cell_new(WORKER_COUNT, MILLICPUS_PER_WORKER);
	struct outage out = {0};
	unsigned int number = 0;
	unsigned int failed;
	unsigned int i;

	/* Tasks that end at an even rate during the outage. */
	for (i = 0; i < 1000; i++)
		submit(cell, "a", number++, i * seconds);
	fake_cell_run(cell, 2 * MS_PER_S);
	fake_net_set_link(fake_cell_net(cell), NULL, "store", FAKE_LINK_REFUSE);
	for (i = 0; i < seconds * SUBMITS_PER_S; i++) {
		submit(cell, "a", number++, 100);
		fake_cell_run(cell, MS_PER_S / SUBMITS_PER_S);
	}
	out.refused = fake_cell_counts(cell)->refused;
	out.ended = fake_cell_counts(cell)->ended;
	fake_net_set_link(fake_cell_net(cell), NULL, "store", FAKE_LINK_PASS);
	out.max_writes_per_s = max_writes_per_s(cell);
	out.unfinished = fake_cell_count_unfinished(cell, &failed);
	out.violations = fake_cell_violations(cell) + failed;
	fake_cell_free(cell);
	return out;
}

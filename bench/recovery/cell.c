#include <stdio.h>

#include "recovery/recovery.h"

#define MS_PER_S 1000.0
#define START_MS 1500

struct meter meter_start(struct fake_cell *cell)
{
	const struct meter meter = {
		*fake_store_counts(fake_cell_store(cell)),
		fake_cell_now_ms(cell),
	};

	return meter;
}

struct rates meter_read(const struct meter *meter, struct fake_cell *cell)
{
	const struct fake_store_counts *counts =
		fake_store_counts(fake_cell_store(cell));
	double seconds =
		(double)(fake_cell_now_ms(cell) - meter->started_at) / MS_PER_S;
	struct rates rates = {0};
	int i;

	for (i = 0; i < ZR_STORE_PURPOSE_COUNT; i++) {
		double writes =
			(double)(counts->writes[i] - meter->counts.writes[i]);
		double reads =
			(double)(counts->reads[i] - meter->counts.reads[i]);

		rates.writes += writes / seconds;
		rates.reads += reads / seconds;
		rates.by_purpose[i] = (writes + reads) / seconds;
	}
	rates.bytes_written =
		(double)(counts->bytes_written - meter->counts.bytes_written) /
		seconds;
	return rates;
}

struct fake_cell *bench_cell_new(unsigned int workers, unsigned int millicpus)
{
	return bench_cell_new_sharded(0, workers, millicpus);
}

struct fake_cell *bench_cell_new_sharded(unsigned int shards,
					 unsigned int workers,
					 unsigned int millicpus)
{
	struct fake_cell *cell = fake_cell_new(NULL, NULL);
	char name[32];
	unsigned int i;

	for (i = 0; i < workers; i++) {
		snprintf(name, sizeof(name), "w%u", i);
		fake_cell_add_worker(cell, name, millicpus, true);
	}
	fake_cell_set_journal_shards(cell, shards);
	fake_cell_add_host(cell, "a");
	fake_cell_add_host(cell, "b");
	fake_cell_add_host(cell, "c");
	fake_cell_run(cell, START_MS);
	return cell;
}

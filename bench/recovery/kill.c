#include <stdio.h>
#include <stdlib.h>

#include "recovery/recovery.h"

#define WORKER_COUNT 4
#define MILLICPUS_PER_WORKER 4000
#define SUBMIT_COUNT 45
#define SUBMIT_INTERVAL_MS 100
#define KILL_SPREAD_MS 4000
/*
 * Distance of the second fault from the kill: responses are lost this long
 * before it, a worker restarts this long after it.
 */
#define FAULT_OFFSET_MS 150
#define RECOVERY_MS 25000

enum fault {
	FAULT_NONE,
	FAULT_LOST_RESPONSES,
	FAULT_WORKER_RESTART,
	FAULT_COUNT,
};

/* Not rand(), so that a seed gives the same run with every C library. */
static uint32_t next_random(uint32_t *seed)
{
	*seed = *seed * 1664525u + 1013904223u;
	return *seed >> 8;
}

static void submit(struct fake_cell *cell, const char *host,
		   unsigned int number, uint32_t *seed)
{
	char name[32];
	char key[32] = "";
	const struct fake_cell_job job = {
		.name = name,
		.run_ms = 20 + next_random(seed) % 1500,
		.tasks = 1 + next_random(seed) % 3,
		.key = key,
		.at_most_once = next_random(seed) % 3 == 0,
	};

	snprintf(name, sizeof(name), "j%u", number);
	if (next_random(seed) % 2)
		snprintf(key, sizeof(key), "k%u", number);
	fake_cell_submit(cell, host, &job);
}

/* Injects the second fault: none, lost responses of the store or a restart. */
static void inject_second_fault(struct fake_cell *cell, unsigned int fault,
				unsigned int ms, unsigned int kill_ms)
{
	if (fault == FAULT_LOST_RESPONSES && ms + FAULT_OFFSET_MS == kill_ms)
		fake_net_set_link(fake_cell_net(cell), "store", "a",
				  FAKE_LINK_DROP);
	if (fault == FAULT_WORKER_RESTART && ms == kill_ms + FAULT_OFFSET_MS)
		fake_cell_restart_worker(cell, "w0");
}

/*
 * Submits jobs at a fixed interval and kills the owner at a random millisecond;
 * from then on the jobs go to another host.
 */
static void run_kill_point(struct fake_cell *cell, uint32_t seed)
{
	unsigned int fault = seed % FAULT_COUNT;
	unsigned int kill_ms =
		FAULT_OFFSET_MS + next_random(&seed) % KILL_SPREAD_MS;
	const char *host = "a";
	unsigned int ms;

	for (ms = 0; ms < SUBMIT_COUNT * SUBMIT_INTERVAL_MS; ms++) {
		inject_second_fault(cell, fault, ms, kill_ms);
		if (ms == kill_ms) {
			fake_cell_kill(cell, "a");
			fake_cell_add_host(cell, "d");
			host = "b";
		}
		if (ms % SUBMIT_INTERVAL_MS == 0)
			submit(cell, host, ms / SUBMIT_INTERVAL_MS, &seed);
		fake_cell_run(cell, 1);
	}
	fake_cell_run(cell, RECOVERY_MS);
}

static void add_kill_point(struct kills *out, uint32_t seed)
{
	struct fake_cell *cell =
		bench_cell_new(WORKER_COUNT, MILLICPUS_PER_WORKER);
	unsigned int failed;

	run_kill_point(cell, seed);
	fake_cell_check_accepted(cell);
	out->points++;
	out->unfinished += fake_cell_count_unfinished(cell, &failed);
	out->failed += failed;
	out->accepted += fake_cell_counts(cell)->accepted;
	out->reruns += fake_cell_counts(cell)->reruns;
	out->violations += fake_cell_violations(cell);
	fake_cell_free(cell);
}

struct kills run_kills(unsigned int points, unsigned int first_seed)
{
	struct kills out = {0};
	unsigned int i;

	for (i = 0; i < points; i++)
		add_kill_point(&out, first_seed + i);
	return out;
}

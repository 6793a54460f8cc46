#include <stdio.h>
#include <stdlib.h>

#include "recovery/recovery.h"

#define SMALL_WORKERS 4
#define SMALL_MILLICPUS 4000
#define STEPS 45
#define STEP_MS 100
#define KILL_SPREAD_MS 4000
#define LOST_MS 150
#define RECOVER_MS 25000

enum fault {
	FAULT_NONE,
	FAULT_LOST_ANSWERS,
	FAULT_WORKER,
	FAULTS,
};

/* A generator of its own, so that a seed gives the same run anywhere. */
static uint32_t next(uint32_t *seed)
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
		.run_ms = 20 + next(seed) % 1500,
		.tasks = 1 + next(seed) % 3,
		.key = key,
		.at_most_once = next(seed) % 3 == 0,
	};

	snprintf(name, sizeof(name), "j%u", number);
	if (next(seed) % 2)
		snprintf(key, sizeof(key), "k%u", number);
	fake_cell_submit(cell, host, &job);
}

/* A second fault: none, answers of the store lost, or a worker restarts. */
static void trouble(struct fake_cell *cell, unsigned int fault, unsigned int ms,
		    unsigned int kill_ms)
{
	if (fault == FAULT_LOST_ANSWERS && ms + LOST_MS == kill_ms)
		fake_net_set_link(fake_cell_net(cell), "store", "a",
				  FAKE_LINK_DROP);
	if (fault == FAULT_WORKER && ms == kill_ms + LOST_MS)
		fake_cell_restart_worker(cell, "w0");
}

/* Work comes while the owner is killed at any millisecond of it. */
static void run_point(struct fake_cell *cell, uint32_t seed)
{
	unsigned int fault = seed % FAULTS;
	unsigned int kill_ms = LOST_MS + next(&seed) % KILL_SPREAD_MS;
	const char *host = "a";
	unsigned int ms;

	for (ms = 0; ms < STEPS * STEP_MS; ms++) {
		trouble(cell, fault, ms, kill_ms);
		if (ms == kill_ms) {
			fake_cell_kill(cell, "a");
			fake_cell_add_host(cell, "d");
			host = "b";
		}
		if (ms % STEP_MS == 0)
			submit(cell, host, ms / STEP_MS, &seed);
		fake_cell_run(cell, 1);
	}
	fake_cell_run(cell, RECOVER_MS);
}

static void add_point(struct kills *out, uint32_t seed)
{
	struct fake_cell *cell = bench_cell(SMALL_WORKERS, SMALL_MILLICPUS);
	unsigned int failed;

	run_point(cell, seed);
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
		add_point(&out, first_seed + i);
	return out;
}

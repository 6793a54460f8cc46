#include <stdio.h>
#include <stdlib.h>

#include "capacity/capacity.h"
#include "fakes/fake_cell.h"

/* Recovery times: real schedulers, fake workers and a fake store. */

#define MILLICPUS_PER_TASK 1000 /* set by fake_cell_submit() */
#define RUN_MS 100000000	/* longer than any measurement */
#define WARM_UP_MS 10000
#define STEP_MS 100
#define TIMEOUT_MS 120000

static void ignore_event(void *ctx, const char *text)
{
	(void)ctx;
	(void)text;
}

static void submit(struct fake_cell *cell, const char *host,
		   unsigned int number)
{
	char name[16];
	const struct fake_cell_job job = {
		.name = name,
		.run_ms = RUN_MS,
		.tasks = 1,
		.key = "",
	};

	snprintf(name, sizeof(name), "j%u", number);
	fake_cell_submit(cell, host, &job);
}

static void add_worker(struct fake_cell *cell, const char *name,
		       unsigned int tasks)
{
	fake_cell_add_worker(cell, name, tasks * MILLICPUS_PER_TASK, true);
	fake_cell_set_listed(cell, name, true);
}

static struct fake_cell *create_cell(unsigned int tasks)
{
	struct fake_cell *cell = fake_cell_new(ignore_event, NULL);

	add_worker(cell, "w0", tasks);
	fake_cell_add_host(cell, "h0");
	fake_cell_run(cell, WARM_UP_MS);
	return cell;
}

/* Runs until @begun tasks have begun; returns the time it took. */
static double run_until_begun(struct fake_cell *cell, unsigned int begun)
{
	unsigned int ms;

	for (ms = 0; fake_cell_counts(cell)->begun < begun; ms += STEP_MS) {
		if (ms >= TIMEOUT_MS)
			abort();
		fake_cell_run(cell, STEP_MS);
	}
	return ms;
}

/* Cuts off one worker from the network; another can take all its tasks. */
static void measure_worker_loss(struct capacity *out, unsigned int tasks)
{
	struct fake_cell *cell = create_cell(tasks);
	struct fake_net *net = fake_cell_net(cell);
	unsigned int i;

	for (i = 0; i < tasks; i++)
		submit(cell, "h0", i);
	run_until_begun(cell, tasks);
	add_worker(cell, "w1", tasks);
	fake_cell_run(cell, WARM_UP_MS);
	fake_net_set_link(net, NULL, "w0", FAKE_LINK_DROP);
	fake_net_set_link(net, "w0", NULL, FAKE_LINK_DROP);
	line_add(&out->worker_loss_ms, tasks, run_until_begun(cell, 2 * tasks));
	if (fake_cell_violations(cell))
		abort();
	fake_cell_free(cell);
}

static double recovery_reads(struct fake_cell *cell)
{
	const struct fake_store_counts *counts =
		fake_store_counts(fake_cell_store(cell));

	return (double)counts->reads[ZR_STORE_RECOVERY];
}

/* Kills the owner; a client submits to the other host until it accepts. */
static void measure_takeover(struct capacity *out, unsigned int jobs)
{
	struct fake_cell *cell = create_cell(1);
	double before;
	unsigned int i;
	unsigned int ms;

	for (i = 0; i < jobs; i++)
		submit(cell, "h0", i);
	run_until_begun(cell, 1);
	fake_cell_add_host(cell, "h1");
	fake_cell_run(cell, WARM_UP_MS);
	if (fake_cell_counts(cell)->accepted != jobs)
		abort();
	before = recovery_reads(cell);
	fake_cell_kill(cell, "h0");
	for (ms = 0; fake_cell_counts(cell)->accepted == jobs; ms += STEP_MS) {
		if (ms >= TIMEOUT_MS)
			abort();
		submit(cell, "h1", i++);
		fake_cell_run(cell, STEP_MS);
	}
	line_add(&out->takeover_ms, jobs, ms);
	line_add(&out->takeover_reads, jobs, recovery_reads(cell) - before);
	if (fake_cell_violations(cell))
		abort();
	fake_cell_free(cell);
}

void capacity_failure(struct capacity *out)
{
	static const unsigned int tasks[] = {6, 12, 24, 48};
	static const unsigned int jobs[] = {500, 1000, 2000, 4000};
	size_t i;

	out->worker_loss_ms.name =
		"time until all tasks of an unresponsive worker run "
		"elsewhere, by tasks, ms";
	out->takeover_ms.name =
		"time until a domain whose owner died accepts jobs, by "
		"persisted jobs, ms";
	out->takeover_reads.name =
		"store reads of a takeover by persisted jobs";
	for (i = 0; i < 4; i++) {
		measure_worker_loss(out, tasks[i]);
		measure_takeover(out, jobs[i]);
	}
	line_fit(&out->worker_loss_ms);
	line_fit(&out->takeover_ms);
	line_fit(&out->takeover_reads);
}

#include <stdio.h>
#include <stdlib.h>

#include "capacity/capacity.h"
#include "fakes/fake_cell.h"

/* What failures cost: real schedulers, fake workers and a fake store. */

#define MILLICPUS 1000 /* of each task of a fake cell */
#define RUN_MS 100000000
#define WARM_UP_MS 10000
#define STEP_MS 100
#define GIVE_UP_MS 120000

static void ignore(void *ctx, const char *text)
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
	fake_cell_add_worker(cell, name, tasks * MILLICPUS, true);
	fake_cell_set_listed(cell, name, true);
}

static struct fake_cell *make_cell(unsigned int tasks)
{
	struct fake_cell *cell = fake_cell_new(ignore, NULL);

	add_worker(cell, "w0", tasks);
	fake_cell_add_host(cell, "h0");
	fake_cell_run(cell, WARM_UP_MS);
	return cell;
}

/* Steps until so many tasks have begun; gives the time it took. */
static double run_until_begun(struct fake_cell *cell, unsigned int begun)
{
	unsigned int ms;

	for (ms = 0; fake_cell_counts(cell)->begun < begun; ms += STEP_MS) {
		if (ms >= GIVE_UP_MS)
			abort();
		fake_cell_run(cell, STEP_MS);
	}
	return ms;
}

/* The network loses one worker; another has room for all its tasks. */
static void lose_worker(struct capacity *out, unsigned int tasks)
{
	struct fake_cell *cell = make_cell(tasks);
	struct fake_net *net = fake_cell_net(cell);
	unsigned int i;

	for (i = 0; i < tasks; i++)
		submit(cell, "h0", i);
	run_until_begun(cell, tasks);
	add_worker(cell, "w1", tasks);
	fake_cell_run(cell, WARM_UP_MS);
	fake_net_set_link(net, NULL, "w0", FAKE_LINK_DROP);
	fake_net_set_link(net, "w0", NULL, FAKE_LINK_DROP);
	line_add(&out->lost_ms, tasks, run_until_begun(cell, 2 * tasks));
	if (fake_cell_violations(cell))
		abort();
	fake_cell_free(cell);
}

static double reads(struct fake_cell *cell)
{
	const struct fake_store_counts *counts =
		fake_store_counts(fake_cell_store(cell));

	return (double)counts->reads[ZR_STORE_RECOVERY];
}

/* The owner dies; a caller asks the other host again and again. */
static void take_over(struct capacity *out, unsigned int jobs)
{
	struct fake_cell *cell = make_cell(1);
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
	before = reads(cell);
	fake_cell_kill(cell, "h0");
	for (ms = 0; fake_cell_counts(cell)->accepted == jobs; ms += STEP_MS) {
		if (ms >= GIVE_UP_MS)
			abort();
		submit(cell, "h1", i++);
		fake_cell_run(cell, STEP_MS);
	}
	line_add(&out->takeover_ms, jobs, ms);
	line_add(&out->takeover_reads, jobs, reads(cell) - before);
	if (fake_cell_violations(cell))
		abort();
	fake_cell_free(cell);
}

void capacity_failure(struct capacity *out)
{
	static const unsigned int tasks[] = {6, 12, 24, 48};
	static const unsigned int jobs[] = {500, 1000, 2000, 4000};
	size_t i;

	out->lost_ms.name =
		"time until all tasks of a worker that went silent run "
		"elsewhere, by tasks, ms";
	out->takeover_ms.name =
		"time until a domain whose owner died accepts jobs, by jobs "
		"kept, ms";
	out->takeover_reads.name = "store reads of a take-over by jobs kept";
	for (i = 0; i < 4; i++) {
		lose_worker(out, tasks[i]);
		take_over(out, jobs[i]);
	}
	line_fit(&out->lost_ms);
	line_fit(&out->takeover_ms);
	line_fit(&out->takeover_reads);
}

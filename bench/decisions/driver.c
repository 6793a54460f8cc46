#include "decisions/driver.h"

#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "decisions/driver_private.h"

#define DECIDE_STARTS 64
/* Decide calls within one tick. */
#define DECIDES_MAX 4096
#define SAMPLE_TICKS 20
/* The first part of a run is not sampled: one of so many. */
#define WARM_UP_PARTS 3
/* The wave of cancellations comes after so many parts of a hundred. */
#define WAVE_PERCENT 60

void *driver_make(size_t count, size_t size)
{
	void *block = calloc(count ? count : 1, size);

	if (!block)
		abort();
	return block;
}

uint64_t driver_wall_ns(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (uint64_t)now.tv_sec * 1000000000u + (uint64_t)now.tv_nsec;
}

struct bench_worker *driver_worker(const struct driver *driver,
				   zr_handle handle)
{
	return &driver->workers[driver->worker_of_index[zr_handle_index(
		handle)]];
}

static void map_worker(struct driver *driver, uint32_t number)
{
	uint32_t index = zr_handle_index(driver->workers[number].handle);

	if (index >= driver->worker_indexes)
		abort();
	driver->worker_of_index[index] = number;
}

/* Spread over the cell, as hosts go bad anywhere. */
static bool worker_fails(const struct scenario *scenario, uint32_t number)
{
	uint32_t failing = scenario_failing_workers(scenario);
	uint32_t stride = failing ? scenario->workers / failing : 0;

	return failing && number % stride == stride / 2 &&
	       number / stride < failing;
}

static void add_worker(struct driver *driver, uint32_t number)
{
	const struct scenario *scenario = driver->scenario;
	struct bench_worker *worker = &driver->workers[number];
	char name[ZR_NAME_MAX];
	char rack[ZR_NAME_MAX];
	struct zr_sched_worker info = {name, rack, scenario->capacity};

	snprintf(name, sizeof(name), "w%u", number);
	snprintf(rack, sizeof(rack), "r%u", number / SCENARIO_RACK);
	info.capacity.accelerators =
		scenario->accelerators / scenario->workers +
		(number < scenario->accelerators % scenario->workers);
	worker->fails = worker_fails(scenario, number);
	if (driver->engine->worker_add(&worker->handle, driver->state, &info))
		abort();
	map_worker(driver, number);
	if (driver->model)
		sched_model_worker_add(driver->model, worker->handle, &info);
}

static void add_job(struct driver *driver, const struct arrival *arrival)
{
	uint32_t number = driver->jobs_count++;
	struct bench_job *job = &driver->jobs[number];
	struct zr_job_spec spec = arrival_spec(arrival, FAKE_TIME_START_MS);
	char id[ZR_JOB_ID_MAX];
	uint64_t before;
	int error;

	snprintf(id, sizeof(id), "j%u", number);
	job->arrival = arrival;
	job->tasks = driver->tasks;
	driver->tasks += arrival->tasks;
	if (arrival->fault != ARRIVAL_TOO_LARGE)
		driver->unstarted++;
	if (driver->model)
		sched_model_job_add(driver->model, id, &spec);
	before = driver_wall_ns();
	error = driver->engine->job_add(&job->handle, driver->state, id, &spec);
	driver->out->engine_ns += driver_wall_ns() - before;
	if (error)
		abort();
}

static void take_arrivals(struct driver *driver, int64_t now)
{
	const struct arrivals *arrivals = driver->arrivals;

	while (driver->jobs_count < arrivals->count &&
	       arrivals->list[driver->jobs_count].at_ms <= now)
		add_job(driver, &arrivals->list[driver->jobs_count]);
}

static void cancel_wave(struct driver *driver)
{
	char id[ZR_JOB_ID_MAX];
	uint64_t before;
	uint32_t i;

	for (i = 0; i < driver->jobs_count; i++) {
		struct bench_job *job = &driver->jobs[i];

		if (!job->arrival->cancel || job->final)
			continue;
		snprintf(id, sizeof(id), "j%u", i);
		if (driver->model)
			sched_model_job_cancel(driver->model, id);
		before = driver_wall_ns();
		driver->engine->job_cancel(driver->state, job->handle);
		driver->out->engine_ns += driver_wall_ns() - before;
	}
}

static void decide(struct driver *driver)
{
	struct driver_result *out = driver->out;
	unsigned int calls = 0;

	do {
		uint64_t before = driver_wall_ns();
		unsigned int started =
			driver->engine->decide(driver->state, DECIDE_STARTS);
		uint64_t took = driver_wall_ns() - before;

		out->engine_ns += took;
		if (started)
			samples_add(&out->decide_ns, (uint32_t)took);
		if (driver->model)
			sched_model_check_decisions(driver->model);
	} while (driver->engine->more(driver->state) && ++calls < DECIDES_MAX);
}

static void run_ticks(struct driver *driver)
{
	uint32_t ticks = driver->scenario->duration_ms / TICK_MS;
	uint32_t wave = ticks / 100 * WAVE_PERCENT;
	uint32_t tick;

	for (tick = 0; tick < ticks; tick++) {
		take_arrivals(driver, (int64_t)tick * TICK_MS);
		driver_events_run(driver, tick);
		if (tick == wave)
			cancel_wave(driver);
		decide(driver);
		if (tick > ticks / WARM_UP_PARTS && tick % SAMPLE_TICKS == 0)
			driver_sample(driver);
		fake_time_advance(driver->time, TICK_MS);
	}
}

static void set_up(struct driver *driver)
{
	struct zr_sched_options options = ZR_SCHED_OPTIONS_INIT;
	struct zr_sched_sink sink = driver_sink(driver);
	const struct scenario *scenario = driver->scenario;
	uint32_t i;

	driver->time = fake_time_new();
	driver->config = scenario_config(scenario);
	options.clock = fake_time_clock(driver->time);
	options.sink = sink;
	if (driver->model) {
		driver->model = sched_model_new(options.clock, &sink);
		options.sink = sched_model_sink(driver->model);
		sched_model_configure(driver->model, driver->config);
	}
	if (driver->engine->make(&driver->state, &options, driver->config) < 0)
		abort();
	for (i = 0; i < scenario->workers; i++)
		add_worker(driver, i);
}

static void allocate(struct driver *driver)
{
	const struct scenario *scenario = driver->scenario;
	uint32_t tasks = 0;
	uint32_t i;

	for (i = 0; i < driver->arrivals->count; i++)
		tasks += driver->arrivals->list[i].tasks;
	driver->jobs =
		driver_make(driver->arrivals->count, sizeof(*driver->jobs));
	driver->tasks = driver_make(tasks, sizeof(*driver->tasks));
	driver->workers =
		driver_make(scenario->workers, sizeof(*driver->workers));
	driver->worker_indexes = 2 * scenario->workers + 2;
	driver->worker_of_index =
		driver_make(driver->worker_indexes, sizeof(uint32_t));
	driver->buckets_count = scenario->duration_ms / TICK_MS;
	driver->buckets = driver_make(driver->buckets_count, sizeof(uint32_t));
	driver->team_share = driver_make(scenario->teams, sizeof(double));
}

void driver_run(struct driver_result *out, const struct engine *engine,
		const struct scenario *scenario,
		const struct arrivals *arrivals, bool checked)
{
	static struct sched_model *const wanted = (struct sched_model *)1;
	struct driver driver = {
		.engine = engine,
		.scenario = scenario,
		.arrivals = arrivals,
		.out = out,
		.model = checked ? wanted : NULL,
		.rng = {arrivals->count},
	};
	struct bench_task *tasks;

	*out = (struct driver_result){0};
	allocate(&driver);
	tasks = driver.tasks;
	set_up(&driver);
	run_ticks(&driver);
	driver_finish(&driver);
	engine->free(driver.state);
	if (driver.model)
		sched_model_free(driver.model);
	fake_time_free(driver.time);
	scenario_config_free(driver.config);
	free(driver.jobs);
	free(tasks);
	free(driver.workers);
	free(driver.worker_of_index);
	free(driver.events);
	free(driver.buckets);
	free(driver.team_share);
}

void driver_result_clear(struct driver_result *result)
{
	int kind;

	for (kind = 0; kind < ARRIVAL_KINDS; kind++)
		samples_clear(&result->wait_ms[kind]);
	samples_clear(&result->decide_ns);
}

#include "decisions/driver.h"

#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "decisions/driver_private.h"

#define MAX_STARTS_PER_DECIDE 64
#define DECIDES_PER_TICK_MAX 4096
#define SAMPLE_INTERVAL_TICKS 20
/* The run is not sampled before duration / WARM_UP_DIVISOR. */
#define WARM_UP_DIVISOR 3
/* Part of the run after which the mass cancellation comes. */
#define MASS_CANCEL_PERCENT 60

void *driver_calloc(size_t count, size_t size)
{
	void *memory = calloc(count ? count : 1, size);

	if (!memory)
		abort();
	return memory;
}

uint64_t driver_wall_ns(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (uint64_t)now.tv_sec * 1000000000u + (uint64_t)now.tv_nsec;
}

struct bench_worker *driver_worker_get(const struct driver *driver,
				       zr_handle handle)
{
	return &driver->workers[driver->worker_by_index[zr_handle_index(
		handle)]];
}

static void index_worker(struct driver *driver, uint32_t number)
{
	uint32_t index = zr_handle_index(driver->workers[number].handle);

	if (index >= driver->worker_by_index_alloc)
		abort();
	driver->worker_by_index[index] = number;
}

/* The failing workers are spread evenly over the domain and its racks. */
static bool is_failing_worker(const struct scenario *scenario, uint32_t number)
{
	uint32_t failing_count = scenario_failing_workers(scenario);
	uint32_t stride = failing_count ? scenario->workers / failing_count : 0;

	return failing_count && number % stride == stride / 2 &&
	       number / stride < failing_count;
}

static void add_worker(struct driver *driver, uint32_t number)
{
	const struct scenario *scenario = driver->scenario;
	struct bench_worker *worker = &driver->workers[number];
	char name[ZR_NAME_MAX];
	char rack[ZR_NAME_MAX];
	struct zr_sched_worker info = {name, rack, scenario->capacity};

	snprintf(name, sizeof(name), "w%u", number);
	snprintf(rack, sizeof(rack), "r%u", number / SCENARIO_WORKERS_PER_RACK);
	info.capacity.accelerators =
		scenario->accelerators / scenario->workers +
		(number < scenario->accelerators % scenario->workers);
	worker->fails = is_failing_worker(scenario, number);
	if (driver->engine->worker_add(&worker->handle, driver->state, &info))
		abort();
	index_worker(driver, number);
	if (driver->model)
		sched_model_worker_add(driver->model, worker->handle, &info);
}

static void add_job(struct driver *driver, const struct arrival *arrival)
{
	uint32_t number = driver->jobs_count++;
	struct bench_job *job = &driver->jobs[number];
	struct zr_job_spec spec = arrival_to_spec(arrival, FAKE_TIME_START_MS);
	char id[ZR_JOB_ID_MAX];
	uint64_t started_ns;
	int error;

	snprintf(id, sizeof(id), "j%u", number);
	job->arrival = arrival;
	job->tasks = driver->next_tasks;
	driver->next_tasks += arrival->tasks;
	if (arrival->fault != ARRIVAL_TOO_LARGE)
		driver->unstarted++;
	if (driver->model)
		sched_model_job_add(driver->model, id, &spec);
	started_ns = driver_wall_ns();
	error = driver->engine->job_add(&job->handle, driver->state, id, &spec);
	driver->out->engine_ns += driver_wall_ns() - started_ns;
	if (error)
		abort();
}

static void submit_arrivals(struct driver *driver, int64_t now)
{
	const struct arrivals *arrivals = driver->arrivals;

	while (driver->jobs_count < arrivals->count &&
	       arrivals->list[driver->jobs_count].arrives_at <= now)
		add_job(driver, &arrivals->list[driver->jobs_count]);
}

static void mass_cancel(struct driver *driver)
{
	char id[ZR_JOB_ID_MAX];
	uint64_t started_ns;
	uint32_t i;

	for (i = 0; i < driver->jobs_count; i++) {
		struct bench_job *job = &driver->jobs[i];

		if (!job->arrival->in_mass_cancel || job->final)
			continue;
		snprintf(id, sizeof(id), "j%u", i);
		if (driver->model)
			sched_model_job_cancel(driver->model, id);
		started_ns = driver_wall_ns();
		driver->engine->job_cancel(driver->state, job->handle);
		driver->out->engine_ns += driver_wall_ns() - started_ns;
	}
}

static void decide(struct driver *driver)
{
	struct driver_result *out = driver->out;
	unsigned int call_count = 0;

	do {
		uint64_t started_ns = driver_wall_ns();
		unsigned int started = driver->engine->decide(
			driver->state, MAX_STARTS_PER_DECIDE);
		uint64_t elapsed_ns = driver_wall_ns() - started_ns;

		out->engine_ns += elapsed_ns;
		if (started)
			samples_add(&out->decide_ns, (uint32_t)elapsed_ns);
		if (driver->model)
			sched_model_check_decisions(driver->model);
	} while (driver->engine->has_more(driver->state) &&
		 ++call_count < DECIDES_PER_TICK_MAX);
}

static void run_ticks(struct driver *driver)
{
	uint32_t ticks = driver->scenario->duration_ms / TICK_MS;
	uint32_t mass_cancel_tick = ticks / 100 * MASS_CANCEL_PERCENT;
	uint32_t tick;

	for (tick = 0; tick < ticks; tick++) {
		submit_arrivals(driver, (int64_t)tick * TICK_MS);
		driver_deliver_events(driver, tick);
		if (tick == mass_cancel_tick)
			mass_cancel(driver);
		decide(driver);
		if (tick > ticks / WARM_UP_DIVISOR &&
		    tick % SAMPLE_INTERVAL_TICKS == 0)
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
	if (driver->engine->create(&driver->state, &options, driver->config) <
	    0)
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
		driver_calloc(driver->arrivals->count, sizeof(*driver->jobs));
	driver->next_tasks = driver_calloc(tasks, sizeof(*driver->next_tasks));
	driver->workers =
		driver_calloc(scenario->workers, sizeof(*driver->workers));
	driver->worker_by_index_alloc = 2 * scenario->workers + 2;
	driver->worker_by_index =
		driver_calloc(driver->worker_by_index_alloc, sizeof(uint32_t));
	driver->tick_count = scenario->duration_ms / TICK_MS;
	driver->tick_events =
		driver_calloc(driver->tick_count, sizeof(uint32_t));
	driver->team_share_sum = driver_calloc(scenario->teams, sizeof(double));
}

void driver_run(struct driver_result *out, const struct engine *engine,
		const struct scenario *scenario,
		const struct arrivals *arrivals, bool checked)
{
	/* Replaced by the real model in set_up(). */
	static struct sched_model *const model_requested =
		(struct sched_model *)1;
	struct driver driver = {
		.engine = engine,
		.scenario = scenario,
		.arrivals = arrivals,
		.out = out,
		.model = checked ? model_requested : NULL,
		.rng = {arrivals->count},
	};
	struct bench_task *tasks;

	*out = (struct driver_result){0};
	allocate(&driver);
	tasks = driver.next_tasks;
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
	free(driver.worker_by_index);
	free(driver.events);
	free(driver.tick_events);
	free(driver.team_share_sum);
}

void driver_result_clear(struct driver_result *result)
{
	int kind;

	for (kind = 0; kind < ARRIVAL_KIND_COUNT; kind++)
		samples_clear(&result->wait_ms[kind]);
	samples_clear(&result->decide_ns);
}

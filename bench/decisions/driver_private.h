#ifndef BENCH_DRIVER_PRIVATE_H
#define BENCH_DRIVER_PRIVATE_H

#include "decisions/driver.h"
#include "fakes/fake_time.h"
#include "fakes/rng.h"
#include "fakes/sched_model.h"

/**
 * DOC: State of the driver, shared by its files
 */

/** Events are carried out at the next multiple of this time. */
#define TICK_MS 50

enum event_type {
	EVENT_END,
	EVENT_STOPPED,
	EVENT_REPORT,
};

/* Something that a worker will say of a task. */
struct event {
	uint32_t next;
	uint32_t job;
	uint32_t index;
	uint32_t attempt;
	enum event_type type;
};

struct bench_task {
	uint32_t attempt;
	zr_handle worker;
	int64_t started_ms;
	int64_t left_ms;
	bool stopping;
};

struct bench_job {
	const struct arrival *arrival;
	zr_handle handle;
	struct bench_task *tasks;
	bool started;
	bool final;
	bool parked;
	bool done;
	int64_t done_ms;
	uint32_t starts;
};

struct bench_worker {
	zr_handle handle;
	bool fails;
	struct zr_resources used;
};

struct driver {
	const struct engine *engine;
	const struct scenario *scenario;
	const struct arrivals *arrivals;
	struct driver_result *out;
	void *state;
	struct sched_model *model;
	struct fake_time *time;
	struct rng rng;
	struct zr_config *config;
	struct bench_job *jobs;
	struct bench_task *tasks;
	uint32_t jobs_count;
	struct bench_worker *workers;
	uint32_t *worker_of_index;
	uint32_t worker_indexes;
	struct event *events;
	uint32_t events_room;
	uint32_t events_free;
	uint32_t *buckets;
	uint32_t buckets_count;
	uint32_t unstarted;
	double spent;
	double thrown;
	uint32_t samples;
	double packing;
	double used;
	double overloaded;
	double *team_share;
	bool accelerators_full;
};

/** driver_sink() - the sink by which the engine's decisions reach workers */
struct zr_sched_sink driver_sink(struct driver *driver);

/** driver_event_run() - carry out what falls due in the tick @bucket */
void driver_events_run(struct driver *driver, uint32_t bucket);

/** driver_sample() - look at the cell while it is full */
void driver_sample(struct driver *driver);

/** driver_result() - fill in the result at the end */
void driver_finish(struct driver *driver);

struct bench_worker *driver_worker(const struct driver *driver,
				   zr_handle handle);

/** driver_wall_ns() - for the printed wall figures only */
uint64_t driver_wall_ns(void);

void *driver_make(size_t count, size_t size);

#endif

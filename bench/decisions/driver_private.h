#ifndef BENCH_DRIVER_PRIVATE_H
#define BENCH_DRIVER_PRIVATE_H

#include "decisions/driver.h"
#include "fakes/fake_time.h"
#include "fakes/rng.h"
#include "fakes/sched_model.h"

/**
 * DOC: State of the driver, shared by its files
 *
 * The driver advances the fake clock in ticks of TICK_MS and delivers the
 * messages of workers at the start of the first tick after their time.
 */

/** Length of a tick. */
#define TICK_MS 50

/**
 * enum event_type - types of messages from workers
 * @EVENT_ENDED: the task ended by itself
 * @EVENT_STOPPED: the task ended after a stop order
 * @EVENT_USAGE: usage report of the task
 */
enum event_type {
	EVENT_ENDED,
	EVENT_STOPPED,
	EVENT_USAGE,
};

/**
 * struct event - a message that a worker will send about a task
 * @next: index of the next event of the tick or of the free list, 0 for none
 * @job: number of the job
 * @task_index: index of the task in its job
 * @attempt: attempt that the message is about; it is dropped if the task has
 *	another one by then
 * @type: type of the message
 */
struct event {
	uint32_t next;
	uint32_t job;
	uint32_t task_index;
	uint32_t attempt;
	enum event_type type;
};

/**
 * struct bench_task - a task on its worker
 * @attempt: number of the last attempt
 * @worker: worker that runs it, ZR_HANDLE_NONE for none
 * @started_at: start of the last attempt
 * @remaining_ms: run time left after its checkpoints, 0 before the first start
 * @stopping: whether it is writing a checkpoint to stop
 */
struct bench_task {
	uint32_t attempt;
	zr_handle worker;
	int64_t started_at;
	int64_t remaining_ms;
	bool stopping;
};

/**
 * struct bench_job - a submitted job
 * @arrival: the job as generated
 * @handle: its handle in the engine
 * @tasks: its tasks
 * @started: whether a task has ever been started
 * @final: whether it has reached a final state
 * @parked: whether the engine has parked it
 * @succeeded: whether its final state is ZR_JOB_SUCCEEDED
 * @final_at: time at which it reached its final state
 * @starts: number of task starts
 */
struct bench_job {
	const struct arrival *arrival;
	zr_handle handle;
	struct bench_task *tasks;
	bool started;
	bool final;
	bool parked;
	bool succeeded;
	int64_t final_at;
	uint32_t starts;
};

/**
 * struct bench_worker - a worker
 * @handle: its handle in the engine
 * @fails: whether every task on it fails
 * @used: resources that its tasks use
 */
struct bench_worker {
	zr_handle handle;
	bool fails;
	struct zr_resources used;
};

/**
 * struct driver - one run
 * @engine: the engine
 * @scenario: the scenario
 * @arrivals: the jobs to submit
 * @out: the result
 * @state: state of the engine
 * @model: the invariant checker, NULL for none
 * @time: the fake clock
 * @rng: random numbers of the workers' behaviour
 * @config: configuration of the engine
 * @jobs: submitted jobs
 * @next_tasks: tasks not yet assigned to a job
 * @jobs_count: number of submitted jobs
 * @workers: the workers
 * @worker_by_index: number of a worker by the index of its handle
 * @worker_by_index_alloc: allocated length of @worker_by_index
 * @events: pool of events; index 0 is not used
 * @events_alloc: allocated length of @events
 * @free_event: first event of the free list, 0 for none
 * @tick_events: first event of each tick, 0 for none
 * @tick_count: number of ticks of the run
 * @unstarted: jobs that have not started, without those larger than any worker
 *	and those that reached a final state
 * @cpu_spent: processor time of ended attempts, in milliseconds times millicpus
 * @cpu_wasted: part of @cpu_spent whose work was lost
 * @sample_count: samples taken while the domain was full
 * @packing_sum: sum over the samples, see &struct driver_result
 * @used_sum: sum over the samples
 * @overloaded_sum: sum over the samples
 * @team_share_sum: sums over the samples by team: dominant share over the
 *	team's weight
 * @accelerators_full: whether accelerators were full at the last sample
 */
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
	struct bench_task *next_tasks;
	uint32_t jobs_count;
	struct bench_worker *workers;
	uint32_t *worker_by_index;
	uint32_t worker_by_index_alloc;
	struct event *events;
	uint32_t events_alloc;
	uint32_t free_event;
	uint32_t *tick_events;
	uint32_t tick_count;
	uint32_t unstarted;
	double cpu_spent;
	double cpu_wasted;
	uint32_t sample_count;
	double packing_sum;
	double used_sum;
	double overloaded_sum;
	double *team_share_sum;
	bool accelerators_full;
};

/** driver_sink() - sink that carries out the engine's decisions */
struct zr_sched_sink driver_sink(struct driver *driver);

/** driver_deliver_events() - deliver the events of the tick @tick */
void driver_deliver_events(struct driver *driver, uint32_t tick);

/** driver_sample() - sample the domain, if it is full */
void driver_sample(struct driver *driver);

/** driver_finish() - fill in the result at the end of the run */
void driver_finish(struct driver *driver);

/** driver_worker_get() - worker of a handle */
struct bench_worker *driver_worker_get(const struct driver *driver,
				       zr_handle handle);

/**
 * driver_wall_ns() - read the monotonic clock, in nanoseconds
 *
 * Only for the wall times that are printed; all else uses the fake clock.
 */
uint64_t driver_wall_ns(void);

/** driver_calloc() - allocate zeroed memory; aborts if there is none */
void *driver_calloc(size_t count, size_t size);

#endif

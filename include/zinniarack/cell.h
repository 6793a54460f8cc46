#ifndef ZINNIARACK_CELL_H
#define ZINNIARACK_CELL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "zinniarack/job.h"
#include "zinniarack/store.h"

/**
 * DOC: Cell
 *
 * A cell is the set of failure domains that one active scheduler serves. This
 * header holds the types that the cell shares with the adapters of its
 * platform: jobs of several steps, the configuration, the registration of
 * workers, and the requests to workers and to the placement adviser.
 *
 * The placement adviser is a service of the platform that decides which workers
 * a step may run on; its permits carry a ticket that the start has to present.
 */

/** Maximum number of entries (compares and puts) of a store transaction. */
#define ZR_CELL_TXN_ENTRIES_MAX 32
/**
 * Maximum size of a checkpoint or a ticket in bytes, including the NUL. The
 * platform sets no limit; a longer one is refused, never cut.
 */
#define ZR_CELL_CHECKPOINT_MAX 4096
#define ZR_CELL_TICKET_MAX 4096
/**
 * Maximum number of tasks of a job, of all steps and repetitions: all of them
 * are in memory and in one record of the store.
 */
#define ZR_CELL_JOB_TASKS_MAX 16384
/**
 * Upper bound of the due time and the interval of a job in milliseconds, so
 * that the due times of all occurrences can be computed.
 */
#define ZR_CELL_DUE_MS_MAX (1LL << 48)
/** Maximum number of workers in a query to the placement adviser. */
#define ZR_CELL_ADVISE_MAX 100

/** Flags of &struct zr_cell_step_spec.flags. */
enum zr_cell_step_flag {
	ZR_STEP_GANG = 1,	   /* all tasks run at the same time, or none */
	ZR_STEP_SAME_RACK = 2,	   /* runs slowly if spread over racks */
	ZR_STEP_CHECKPOINTS = 4,   /* tasks resume from their last checkpoint */
	ZR_STEP_SPECULATIVE = 8,   /* a task may have several runs at once */
	ZR_STEP_LONG_RUNNING = 16, /* runs until its job is cancelled */
	ZR_STEP_BEST_EFFORT = 32,  /* uses processors that others leave idle */
};

/**
 * struct zr_cell_step_spec - step of a job: tasks of equal size
 * @count: number of tasks
 * @need: resources that each task reserves
 * @estimate_ms: run time of a task as estimated by the submitter; 0: none
 * @depends_on: indices of the earlier steps that must have completed before
 * @depends_on_count: number of such steps
 * @flags: of &enum zr_cell_step_flag
 * @max_per_worker: maximum number of its tasks on one worker; 0: no limit
 * @unavailable_max: of a long-running step, maximum number of tasks that may be
 *                   unavailable at the same time
 * @target_ms: of a long-running step, its latency objective; 0: none
 * @label: label that the worker must have, or ""
 * @rack: rack that holds the data, or ""
 */
struct zr_cell_step_spec {
	uint32_t count;
	struct zr_resources need;
	uint32_t estimate_ms;
	uint32_t *depends_on;
	uint32_t depends_on_count;
	uint32_t flags;
	uint32_t max_per_worker;
	uint32_t unavailable_max;
	uint32_t target_ms;
	char label[ZR_NAME_MAX];
	char rack[ZR_NAME_MAX];
};

/**
 * struct zr_cell_job_spec - specification of a job as submitted
 * @payload: text passed to the workers; the cell does not interpret it
 * @steps: the steps
 * @step_count: number of steps
 * @repeats: number of times that the steps run; 0: once, without a due time
 * @first_ms: due time of the first occurrence, in milliseconds since 1970
 * @interval_ms: time between the due times of two occurrences
 */
struct zr_cell_job_spec {
	char *payload;
	struct zr_cell_step_spec *steps;
	uint32_t step_count;
	uint32_t repeats;
	int64_t first_ms;
	int64_t interval_ms;
};

/** zr_cell_job_spec_clear() - free the contents of a specification */
void zr_cell_job_spec_clear(struct zr_cell_job_spec *spec);

/**
 * struct zr_cell_queue - queue that callers submit jobs to
 * @name: its name
 * @host: name of the virtual host that callers address; owned by the
 *        configuration, like @prefix
 * @prefix: prefix of the paths that belong to the queue
 * @pool: pool of the workers that run its jobs
 * @open: jobs are accepted without a key
 * @priority: priority of its jobs; 0 is the highest
 * @attempts: number of failed runs of a task after which its job fails
 * @stretch_permille: objective of a job's time, as a multiple of the sum of its
 *                    steps' estimates
 * @latency_target_ms: added to that objective
 * @advised: the adviser has to permit the workers
 * @advise_ms: base duration of a query to the adviser
 * @advise_worker_us: additional duration for each worker that it names
 * @permit_ms: validity of a ticket
 */
struct zr_cell_queue {
	char name[ZR_NAME_MAX];
	char *host;
	char *prefix;
	char pool[ZR_NAME_MAX];
	bool open;
	uint32_t priority;
	uint32_t attempts;
	uint32_t stretch_permille;
	uint32_t latency_target_ms;
	bool advised;
	uint32_t advise_ms;
	uint32_t advise_worker_us;
	uint32_t permit_ms;
};

/**
 * struct zr_cell_client - client account
 * @name: its name
 * @weight: its share when the cell is full, in jobs per second; 0: any rate
 * @limit: maximum resources of its active runs; a member of 0 means no limit
 */
struct zr_cell_client {
	char name[ZR_NAME_MAX];
	uint32_t weight;
	struct zr_resources limit;
};

/**
 * struct zr_cell_key - valid key
 * @key: key that callers present; owned by the configuration
 * @client: index of its client account
 */
struct zr_cell_key {
	char *key;
	uint32_t client;
};

/**
 * struct zr_cell_config - one version of the operators' configuration
 * @version: increases with each change
 * @queues: the queues
 * @queue_count: number of queues
 * @clients: the client accounts
 * @client_count: number of client accounts
 * @keys: the valid keys
 * @key_count: number of keys
 * @body_bytes_max: maximum size of a submission
 * @ignored: number of queues, client accounts and keys that were left out
 * because they could not be used
 * @first_ignored: where the first of them is, or ""
 */
struct zr_cell_config {
	uint64_t version;
	struct zr_cell_queue *queues;
	size_t queue_count;
	struct zr_cell_client *clients;
	size_t client_count;
	struct zr_cell_key *keys;
	size_t key_count;
	size_t body_bytes_max;
	size_t ignored;
	char first_ignored[ZR_NAME_MAX];
};

void zr_cell_config_free(struct zr_cell_config *config);

/**
 * zr_cell_config_route() - find the queue of a request
 * @config: the configuration
 * @host: the virtual host
 * @path: the path
 *
 * Return: the queue of @host with the longest matching prefix, or NULL.
 */
const struct zr_cell_queue *
zr_cell_config_route(const struct zr_cell_config *config, const char *host,
		     const char *path);

/** zr_cell_config_queue() - find a queue by name; NULL if there is none */
const struct zr_cell_queue *
zr_cell_config_queue(const struct zr_cell_config *config, const char *name);

/** zr_cell_config_client() - find a client account by name, or NULL */
const struct zr_cell_client *
zr_cell_config_client(const struct zr_cell_config *config, const char *name);

/** zr_cell_config_key() - find the client account of a key, or NULL */
const struct zr_cell_client *
zr_cell_config_key(const struct zr_cell_config *config, const char *key);

/** Maximum size of the labels of a worker, in bytes. */
#define ZR_CELL_LABELS_MAX (16 * ZR_NAME_MAX)

/**
 * struct zr_cell_worker_report - registration of a worker
 * @name: unique name
 * @address: address that accepts requests
 * @pool: its pool
 * @domain: its failure domain
 * @rack: its rack, or ""
 * @leaving: it is about to leave and must not get new tasks
 * @leaves_in_ms: minimum time until it leaves; -1: not known
 * @capacity: total resources
 * @labels: its labels, each terminated by a NUL, followed by an empty one
 * @ignored_labels: number of labels that were left out for lack of space
 * @incarnation: increases with each restart under the same name; 0: not known
 * @clock_ms: its clock when the registration was written; -1: not known
 */
struct zr_cell_worker_report {
	char name[ZR_NAME_MAX];
	char address[ZR_NAME_MAX];
	char pool[ZR_NAME_MAX];
	char domain[ZR_NAME_MAX];
	char rack[ZR_NAME_MAX];
	bool leaving;
	int64_t leaves_in_ms;
	struct zr_resources capacity;
	char labels[ZR_CELL_LABELS_MAX];
	size_t ignored_labels;
	int64_t incarnation;
	int64_t clock_ms;
};

/**
 * struct zr_cell_task_name - name of a task
 * @job: id of its job
 * @occurrence: occurrence of a repeated job, counted from 0
 * @step: index of its step
 * @index: index of the task in the step
 */
struct zr_cell_task_name {
	char job[ZR_NAME_MAX];
	uint32_t occurrence;
	uint32_t step;
	uint32_t index;
};

/**
 * enum zr_request_status - status of a request, from the worker's response
 * @ZR_REQUEST_ACCEPTED: the request has been carried out
 * @ZR_REQUEST_FENCED: the worker has seen a higher fencing token
 * @ZR_REQUEST_SUPERSEDED: this attempt, or a later one of the task, was stopped
 *                         or has ended
 * @ZR_REQUEST_LEASE_EXPIRED: the lease in the request has expired
 * @ZR_REQUEST_NO_CAPACITY: the worker lacks free resources
 * @ZR_REQUEST_NO_PERMIT: the ticket is missing or not valid
 * @ZR_REQUEST_UNHEALTHY: the worker cannot serve requests now and did nothing
 * @ZR_REQUEST_WRONG_WORKER: another worker uses the address
 * @ZR_REQUEST_INVALID: any other response
 */
enum zr_request_status {
	ZR_REQUEST_ACCEPTED,
	ZR_REQUEST_FENCED,
	ZR_REQUEST_SUPERSEDED,
	ZR_REQUEST_LEASE_EXPIRED,
	ZR_REQUEST_NO_CAPACITY,
	ZR_REQUEST_NO_PERMIT,
	ZR_REQUEST_UNHEALTHY,
	ZR_REQUEST_WRONG_WORKER,
	ZR_REQUEST_INVALID,
};

/** Outcome of a run. */
enum zr_run_outcome {
	ZR_RUN_DONE,
	ZR_RUN_FAILED,
	ZR_RUN_STOPPED,
	ZR_RUN_LEASE_EXPIRED, /* the worker's lease expired */
	ZR_RUN_GANG_BROKEN,   /* another member of its gang ended */
	ZR_RUN_GANG_TIMEOUT,  /* other members did not start in time */
};

/**
 * struct zr_cell_start - request to start a run
 * @task: the task
 * @attempt: number of the run, increasing with each run of the task
 * @payload: payload of the job
 * @lease_expires_ms: when the lease expires, on the worker's clock
 * @fencing_token: fencing token of the scheduler's ownership
 * @checkpoint: checkpoint to resume from, or ""
 * @ticket: ticket of the adviser's permit, or ""
 */
struct zr_cell_start {
	struct zr_cell_task_name task;
	uint32_t attempt;
	const char *payload;
	int64_t lease_expires_ms;
	uint64_t fencing_token;
	const char *checkpoint;
	const char *ticket;
};

/**
 * struct zr_cell_run - active run in a poll reply
 * @task: the task
 * @attempt: number of the run
 * @checkpoint: its latest checkpoint, of any length, or ""; valid as long as
 *the reply
 * @percent: its progress
 */
struct zr_cell_run {
	struct zr_cell_task_name task;
	uint32_t attempt;
	const char *checkpoint;
	uint32_t percent;
};

/**
 * struct zr_cell_run_end - ended run in a poll reply
 * @number: number of the entry, increasing on each worker; confirmed in polls
 * @task: the task
 * @attempt: number of the run
 * @outcome: how it ended
 * @checkpoint: its last checkpoint, of any length, or ""; valid as long as the
 *	reply
 */
struct zr_cell_run_end {
	int64_t number;
	struct zr_cell_task_name task;
	uint32_t attempt;
	enum zr_run_outcome outcome;
	const char *checkpoint;
};

/**
 * struct zr_cell_request_reply - response to a start or stop request
 * @status: whether the worker accepted the request
 * @clock_ms: the worker's clock; -1: not in the response
 */
struct zr_cell_request_reply {
	enum zr_request_status status;
	int64_t clock_ms;
};

/**
 * struct zr_cell_poll_reply - response to a poll
 * @status: whether the worker accepted the request
 * @clock_ms: the worker's clock; -1: not in the response
 * @incarnation: incarnation of the worker; 0: not known
 * @runs: active runs
 * @run_count: number of active runs
 * @ends: ended runs that have not been confirmed yet
 * @end_count: number of ended runs
 */
struct zr_cell_poll_reply {
	enum zr_request_status status;
	int64_t clock_ms;
	int64_t incarnation;
	const struct zr_cell_run *runs;
	size_t run_count;
	const struct zr_cell_run_end *ends;
	size_t end_count;
};

/** Completion of a request; @reply is NULL if @error is not 0. */
typedef void (*zr_cell_request_fn)(void *ctx, int error,
				   const struct zr_cell_request_reply *reply);
typedef void (*zr_cell_poll_fn)(void *ctx, int error,
				const struct zr_cell_poll_reply *reply);

/**
 * struct zr_cell_worker_conn_ops - requests to one worker
 * @start: start a run
 * @stop: stop a run, or prevent it if its start has not arrived yet
 * @poll: list active and ended runs; confirm ended runs up to number
 *        @last_end_acked; renew the lease unless @lease_expires_ms is -1;
 *        respond as soon as a run has ended, or after @wait_ms
 * @free: close the connection, which completes pending requests with an error
 *
 * Errors are those of the HTTP client.
 */
struct zr_cell_worker_conn_ops {
	void (*start)(void *impl, const struct zr_cell_start *start,
		      unsigned int timeout_ms, zr_cell_request_fn done,
		      void *ctx);
	void (*stop)(void *impl, const struct zr_cell_task_name *task,
		     uint32_t attempt, uint64_t fencing_token,
		     unsigned int timeout_ms, zr_cell_request_fn done,
		     void *ctx);
	void (*poll)(void *impl, uint64_t fencing_token,
		     int64_t lease_expires_ms, int64_t last_end_acked,
		     unsigned int wait_ms, unsigned int timeout_ms,
		     zr_cell_poll_fn done, void *ctx);
	void (*free)(void *impl);
};

/** struct zr_cell_worker_conn - connection to a worker */
struct zr_cell_worker_conn {
	const struct zr_cell_worker_conn_ops *ops;
	void *impl;
};

/**
 * struct zr_cell_permit - permit of the adviser to run a step on a worker
 * @worker: name of the worker; valid until the completion returns, as @ticket
 * @ticket: text that the start has to present, of any length
 */
struct zr_cell_permit {
	const char *worker;
	const char *ticket;
};

/**
 * zr_cell_permit_check() - check that a permit can be passed on whole
 *
 * Return: 0, or ZR_E_TOO_LARGE, which is logged, if the name has ZR_NAME_MAX
 * bytes or more, or the ticket ZR_CELL_TICKET_MAX.
 */
int zr_cell_permit_check(const struct zr_cell_permit *permit);

/**
 * typedef zr_cell_advise_fn - completion of a query to the adviser
 * @ctx: as passed
 * @error: 0, or a negative error code
 * @permits: the workers that are permitted
 * @count: number of permits
 * @validity_ms: validity of the tickets; 0: not given
 */
typedef void (*zr_cell_advise_fn)(void *ctx, int error,
				  const struct zr_cell_permit *permits,
				  size_t count, uint32_t validity_ms);

/**
 * struct zr_cell_platform - interface of the platform that a cell runs on
 * @store: the store
 * @config_prefix: prefix of the keys that hold the operators' configuration
 * @config_decode: decode the value of such a key; ZR_E_NOT_FOUND if the key
 *                 holds something else
 * @worker_prefix: prefix of the keys of the worker registry
 * @worker_decode: decode the value of such a key
 * @worker_conn_open: open a connection to a worker
 * @advise: query the adviser for the workers that a step may run on
 * @ctx: passed to the functions
 * @evacuation_prefix: prefix of the keys with which operators request the
 *                     evacuation of a failure domain; NULL: there are none
 * @evacuation_decode: decode such a key into the name of the domain
 */
struct zr_cell_platform {
	struct zr_store store;
	const char *config_prefix;
	int (*config_decode)(struct zr_cell_config **out,
			     const struct zr_store_value *value);
	const char *worker_prefix;
	int (*worker_decode)(struct zr_cell_worker_report *out,
			     const struct zr_store_value *value);
	int (*worker_conn_open)(void *ctx, struct zr_cell_worker_conn *out,
				const char *address, const char *worker);
	void (*advise)(void *ctx, const char *job, uint32_t occurrence,
		       uint32_t step, const char *const *workers, size_t count,
		       unsigned int timeout_ms, zr_cell_advise_fn done,
		       void *done_ctx);
	void *ctx;
	const char *evacuation_prefix;
	int (*evacuation_decode)(char out[ZR_NAME_MAX],
				 const struct zr_store_value *value);
};

#endif

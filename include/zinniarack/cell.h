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
 * header holds the types that the cell and the adapters of its platform
 * share: jobs of several steps, the configuration in force, what a worker says
 * of itself, and the calls to workers and to the placement adviser.
 */

/** Most entries (conditions and writes) of one store transaction. */
#define ZR_CELL_TXN_ENTRIES_MAX 32
/** Longest checkpoint or permit, with the final NUL. */
#define ZR_CELL_TICKET_MAX 48
/** Most workers of one question to the placement adviser. */
#define ZR_CELL_ADVISE_MAX 100

/** Flags of &struct zr_cell_step_spec.flags. */
enum zr_cell_step_flag {
	ZR_STEP_GANG = 1,	   /* all tasks run together or none does */
	ZR_STEP_SAME_RACK = 2,	   /* slow when spread over racks */
	ZR_STEP_CHECKPOINTS = 4,   /* resumes from its last checkpoint */
	ZR_STEP_SPECULATIVE = 8,   /* copies may run in parallel */
	ZR_STEP_LONG_RUNNING = 16, /* runs until the job is cancelled */
	ZR_STEP_BEST_EFFORT = 32,  /* takes what others leave unused */
};

/**
 * struct zr_cell_step_spec - tasks of one size
 * @count: how many tasks
 * @need: what each reserves
 * @estimate_ms: the submitter's guess of a task's run time
 * @depends_on: numbers of earlier steps that must have ended
 * @depends_on_count: how many
 * @flags: of &enum zr_cell_step_flag
 * @max_per_worker: most tasks on one worker; 0: any number
 * @unavailable_max: of a lasting step, how many tasks may be away at once
 * @target_ms: of a lasting step, its latency objective; 0: none
 * @label: a label that the worker must have, or ""
 * @rack: where the data is, or ""
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
 * struct zr_cell_job_spec - what a caller submits
 * @payload: text for the workers, which the cell does not read
 * @steps: the steps
 * @step_count: how many
 * @repeats: how often the steps run; 0: once, at once
 * @first_ms: due time of the first occurrence, milliseconds since 1970
 * @interval_ms: from one occurrence to the next
 */
struct zr_cell_job_spec {
	char *payload;
	struct zr_cell_step_spec *steps;
	uint32_t step_count;
	uint32_t repeats;
	int64_t first_ms;
	int64_t interval_ms;
};

/** zr_cell_job_spec_clear() - free the parts of a specification */
void zr_cell_job_spec_clear(struct zr_cell_job_spec *spec);

/**
 * struct zr_cell_queue - a queue that callers submit to
 * @name: its name
 * @host: the name of the virtual host that callers address
 * @prefix: what its paths begin with
 * @pool: the pool of workers that runs its jobs
 * @open: whether it takes jobs without a key
 * @priority: 0 comes first
 * @attempts: failed runs after which a task's job has failed
 * @stretch_permille: objective of a job's time, as a multiple of its work
 * @latency_target_ms: added to that objective
 * @advised: whether the adviser must permit its workers
 * @advise_ms: time of a question
 * @advise_worker_us: and of each worker named in it
 * @permit_ms: how long a permit is valid
 */
struct zr_cell_queue {
	char name[ZR_NAME_MAX];
	char host[2 * ZR_NAME_MAX];
	char prefix[2 * ZR_NAME_MAX];
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
 * struct zr_cell_client - a client account
 * @name: its name
 * @weight: its share when all is full
 * @limit: what it may have running; a zero member sets no limit
 */
struct zr_cell_client {
	char name[ZR_NAME_MAX];
	uint32_t weight;
	struct zr_resources limit;
};

/**
 * struct zr_cell_key - a key in force
 * @key: what callers present
 * @client: index of its client account
 */
struct zr_cell_key {
	char key[ZR_NAME_MAX];
	uint32_t client;
};

/**
 * struct zr_cell_config - one version of what operators declare
 * @version: rises with each change
 * @queues: the queues
 * @queue_count: how many
 * @clients: client accounts
 * @client_count: how many
 * @keys: keys in force
 * @key_count: how many
 * @body_bytes_max: a larger submission is refused
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
};

void zr_cell_config_free(struct zr_cell_config *config);

/** zr_cell_config_queue() - the queue of a virtual host's path, or NULL */
const struct zr_cell_queue *
zr_cell_config_route(const struct zr_cell_config *config, const char *host,
		     const char *path);

const struct zr_cell_queue *
zr_cell_config_queue(const struct zr_cell_config *config, const char *name);

const struct zr_cell_client *
zr_cell_config_client(const struct zr_cell_config *config, const char *name);

/** zr_cell_config_key() - the client account of a key, or NULL */
const struct zr_cell_client *
zr_cell_config_key(const struct zr_cell_config *config, const char *key);

/**
 * struct zr_worker_report - a worker as the registry shows it
 * @name: unique name
 * @address: where it takes orders
 * @pool: the pool it belongs to
 * @domain: its failure domain
 * @rack: its rack, or ""
 * @leaving: it is to get no new work
 * @leaves_in_ms: least time until it is gone, -1 when not known
 * @capacity: what it holds
 * @labels: its labels, each followed by a NUL, ended by an empty one
 * @incarnation: tells apart two lives under one name; 0 when not known
 * @clock_ms: its clock when it wrote this, -1 when not known
 */
struct zr_worker_report {
	char name[ZR_NAME_MAX];
	char address[ZR_NAME_MAX];
	char pool[ZR_NAME_MAX];
	char domain[ZR_NAME_MAX];
	char rack[ZR_NAME_MAX];
	bool leaving;
	int64_t leaves_in_ms;
	struct zr_resources capacity;
	char labels[4 * ZR_NAME_MAX];
	int64_t incarnation;
	int64_t clock_ms;
};

/**
 * struct zr_cell_task_name - names a task
 * @job: its job
 * @occurrence: of a repeated job, counted from 0
 * @step: its step
 * @index: its place in the step
 */
struct zr_cell_task_name {
	char job[ZR_NAME_MAX];
	uint32_t occurrence;
	uint32_t step;
	uint32_t index;
};

/** Why a worker turned an order down. */
enum zr_request_status {
	ZR_REQUEST_ACCEPTED,
	ZR_REQUEST_FENCED,     /* a higher fencing token has been seen */
	ZR_REQUEST_SUPERSEDED, /* a run as high has been stopped or has ended */
	ZR_REQUEST_LEASE_EXPIRED, /* its lease is over */
	ZR_REQUEST_NO_CAPACITY,
	ZR_REQUEST_NO_PERMIT,
	ZR_REQUEST_UNHEALTHY,	      /* the worker did nothing */
	ZR_REQUEST_OTHER_INCARNATION, /* another incarnation answered */
	ZR_REQUEST_INVALID,
};

/** How a run ended. */
enum zr_run_outcome {
	ZR_RUN_DONE,
	ZR_RUN_FAILED,
	ZR_RUN_STOPPED,
	ZR_RUN_LEASE_EXPIRED, /* its lease was over */
	ZR_RUN_GANG_BROKEN,   /* another member of its gang ended */
	ZR_RUN_GANG_TIMEOUT,  /* the other members of its gang did not come */
};

/**
 * struct zr_cell_start - an order to start a run
 * @task: the task
 * @attempt: numbers its runs
 * @payload: the job's text
 * @lease_expires_ms: end of the lease, on the worker's clock
 * @fencing_token: the sender's fencing token
 * @checkpoint: where to resume, or ""
 * @ticket: the adviser's permit, or ""
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

/** struct zr_cell_run - a run that a worker lists */
struct zr_cell_run {
	struct zr_cell_task_name task;
	uint32_t attempt;
	char checkpoint[ZR_CELL_TICKET_MAX];
	uint32_t percent;
};

/** struct zr_cell_run_end - an ended run that a worker lists */
struct zr_cell_run_end {
	int64_t number;
	struct zr_cell_task_name task;
	uint32_t attempt;
	enum zr_run_outcome outcome;
	char checkpoint[ZR_CELL_TICKET_MAX];
};

/**
 * struct zr_cell_request_reply - a worker's answer to an order
 * @status: whether it was taken
 * @clock_ms: the worker's clock, -1 without one
 */
struct zr_cell_request_reply {
	enum zr_request_status status;
	int64_t clock_ms;
};

/**
 * struct zr_cell_poll_reply - what runs on a worker
 * @status: whether the worker took the order
 * @clock_ms: its clock, -1 without one
 * @incarnation: tells its lives apart, 0 when not known
 * @runs: open runs
 * @run_count: how many
 * @ends: ends that were not confirmed yet
 * @end_count: how many
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

/** On an error @reply is NULL. */
typedef void (*zr_cell_request_fn)(void *ctx, int error,
				   const struct zr_cell_request_reply *reply);
typedef void (*zr_cell_poll_fn)(void *ctx, int error,
				const struct zr_cell_poll_reply *reply);

/** Orders to one worker. Errors are those of the HTTP client. */
struct zr_cell_worker_conn_ops {
	void (*start)(void *impl, const struct zr_cell_start *start,
		      unsigned int timeout_ms, zr_cell_request_fn done,
		      void *ctx);
	void (*stop)(void *impl, const struct zr_cell_task_name *task,
		     uint32_t attempt, uint64_t token, unsigned int timeout_ms,
		     zr_cell_request_fn done, void *ctx);
	/* Confirms ends up to @seen; answers at an end or after @wait_ms. */
	void (*poll)(void *impl, uint64_t token, int64_t lease_expires_ms,
		     int64_t seen, unsigned int wait_ms,
		     unsigned int timeout_ms, zr_cell_poll_fn done, void *ctx);
	void (*free)(void *impl);
};

/** struct zr_cell_worker_conn - a worker's orders and their adapter */
struct zr_cell_worker_conn {
	const struct zr_cell_worker_conn_ops *ops;
	void *impl;
};

/** struct zr_cell_permit - the adviser permits a step on a worker */
struct zr_cell_permit {
	char worker[ZR_NAME_MAX];
	char ticket[ZR_CELL_TICKET_MAX];
};

typedef void (*zr_cell_advise_fn)(void *ctx, int error,
				  const struct zr_cell_permit *permits,
				  size_t count, uint32_t validity_ms);

/**
 * struct zr_cell_platform - what a cell calls and reads of its platform
 * @store: the store
 * @config_prefix: keys of what operators declare
 * @config_decode: read such a key; ZR_E_NOT_FOUND when it is another one
 * @worker_prefix: keys of the worker registry
 * @worker_decode: read such a key
 * @worker_conn_open: connect to a worker
 * @advise: ask which workers a step may run on
 * @ctx: passed to the functions
 */
struct zr_cell_platform {
	struct zr_store store;
	const char *config_prefix;
	int (*config_decode)(struct zr_cell_config **out,
			     const struct zr_store_value *value);
	const char *worker_prefix;
	int (*worker_decode)(struct zr_worker_report *out,
			     const struct zr_store_value *value);
	int (*worker_conn_open)(void *ctx, struct zr_cell_worker_conn *out,
				const char *address, const char *worker);
	void (*advise)(void *ctx, const char *job, uint32_t occurrence,
		       uint32_t step, const char *const *workers, size_t count,
		       unsigned int timeout_ms, zr_cell_advise_fn done,
		       void *done_ctx);
	void *ctx;
};

#endif

/*
 * Records that a cell persists in the store, and the RPC program that the hosts
 * of a cell serve to each other. script/rpcgen generates the C code.
 */

const ZX_CELL_NAME_MAX = 63;
const ZX_CELL_PAYLOAD_MAX = 65536;
const ZX_CELL_STEPS_MAX = 4096;
const ZX_CELL_TASKS_MAX = 65536;
const ZX_CELL_LIST_MAX = 4096;
const ZX_CELL_RECORD_MAX = 524288;
/* Checkpoints and tickets, without the NUL. */
const ZX_CELL_TEXT_MAX = 4095;
const ZX_CELL_KEY_MAX = 255;
const ZX_CELL_VALUE_MAX = 1048576;
const ZX_CELL_RANGE_MAX = 65536;
const ZX_CELL_CHARGES_MAX = 4;
const ZX_CELL_KEPT_CLIENTS_MAX = 32;

/* A step of a job: a number of tasks of the same size. */
struct zx_cell_step {
	/* Number of tasks. */
	unsigned int count;
	/* Resources that each task reserves. */
	unsigned int millicpus;
	unsigned int memory_mb;
	unsigned int accelerators;
	/* Run time of a task as estimated by the submitter. */
	unsigned int estimate_ms;
	/* Numbers of the steps that must end before this one starts. */
	unsigned int after<ZX_CELL_STEPS_MAX>;
	/* Step flags of <zinniarack/cell.h>. */
	unsigned int flags;
	/* Maximum number of tasks on one worker; 0: no limit. */
	unsigned int spread;
	/* Long-running step: maximum number of tasks unavailable at once. */
	unsigned int unavailable_max;
	/* Long-running step: latency objective; 0: none. */
	unsigned int target_ms;
	/* Label that a worker must have; empty: any worker. */
	string label<ZX_CELL_NAME_MAX>;
	/* Rack that holds the input data; empty: none. */
	string rack<ZX_CELL_NAME_MAX>;
};

/* Specification of an accepted job. */
struct zx_cell_job {
	string queue<ZX_CELL_NAME_MAX>;
	string client<ZX_CELL_NAME_MAX>;
	string pool<ZX_CELL_NAME_MAX>;
	hyper accepted_ms;
	/* Text for the workers, which the cell does not interpret. */
	string payload<ZX_CELL_PAYLOAD_MAX>;
	zx_cell_step steps<ZX_CELL_STEPS_MAX>;
	/* Number of times that the steps run; 0: once, immediately. */
	unsigned int repeats;
	/* Due time of the first run, in milliseconds since 1970. */
	hyper first_ms;
	/* Interval between the due times. */
	hyper interval_ms;
	/* Priority of the queue; 0 is the highest. */
	unsigned int priority;
	/* Number of failed runs of one task after which the job fails. */
	unsigned int attempts;
	/*
	 * Objective for the time until the job ends: the sum of estimate_ms of
	 * its steps times stretch_permille / 1000, plus latency_target_ms.
	 */
	unsigned int stretch_permille;
	unsigned int latency_target_ms;
};

/* What the queue required of the workers when the job was accepted. */
struct zx_cell_job_advice {
	/* The adviser has to permit the workers. */
	bool advised;
	/* Base duration of a query to the adviser. */
	unsigned int advise_ms;
	/* Additional duration for each worker that it names. */
	unsigned int advise_worker_us;
	/* Validity of a ticket. */
	unsigned int permit_ms;
};

/*
 * A job as it is stored. The advice is left out if the queue needs none. Earlier
 * versions write the job alone, and ignore what follows it.
 */
struct zx_cell_stored_job {
	zx_cell_job job;
	zx_cell_job_advice advice;
};

/* Progress of a task; worker is empty while the task has no open run. */
struct zx_cell_task {
	unsigned int attempt;
	unsigned int failures;
	bool done;
	string worker<ZX_CELL_NAME_MAX>;
	string checkpoint<ZX_CELL_NAME_MAX>;
};

/* Progress of a job; tasks is empty once the job has ended. */
struct zx_cell_progress {
	unsigned int state;
	string client<ZX_CELL_NAME_MAX>;
	string queue<ZX_CELL_NAME_MAX>;
	hyper ended_ms;
	zx_cell_task tasks<ZX_CELL_TASKS_MAX>;
};

/* A task under whose runs workers crashed; suspicion as in the scheduler. */
struct zx_cell_crashes {
	unsigned int task;
	unsigned int crashes;
	unsigned int certain_crashes;
	unsigned int suspicion;
};

struct zx_cell_crash_list {
	zx_cell_crashes tasks<ZX_CELL_TASKS_MAX>;
};

/* What a later owner needs to tell whether a worker restarted during a run. */
struct zx_cell_run_list {
	/*
	 * Incarnation of the worker of each task with an open run, in the order
	 * of the tasks: the low 32 bits; 0: not known.
	 */
	unsigned int incarnations<ZX_CELL_TASKS_MAX>;
	/* For each entry of the crash list, the number of possible crashes. */
	unsigned int possible_crashes<ZX_CELL_TASKS_MAX>;
};

/* Use of runs of a job that have ended, by the record of use that counts it. */
struct zx_cell_use_charge {
	hyper generation;
	hyper core_ms;
	unsigned int runs;
};

/*
 * What a job has used, as far as the record of use may not include it, and
 * since when its active runs have been placed.
 */
struct zx_cell_job_use {
	zx_cell_use_charge charges<ZX_CELL_CHARGES_MAX>;
	/* Milliseconds since 1970; the earliest placement of an active run. */
	hyper placed_ms;
	/*
	 * Time from placed_ms to the placement of each active run, in the order
	 * of the tasks; empty if all are 0.
	 */
	unsigned int placed_after_ms<ZX_CELL_TASKS_MAX>;
};

struct zx_cell_worker_name {
	string name<ZX_CELL_NAME_MAX>;
};

/* Progress of a task in a packed list. */
struct zx_cell_packed_task {
	unsigned int attempt;
	/* Twice the number of failures, plus 1 if the task is done. */
	unsigned int failures_done;
	/* Position of its worker in the list, from 1; 0: no open run. */
	unsigned int worker;
	string checkpoint<ZX_CELL_NAME_MAX>;
};

/* The tasks of a job with many of them; the name of a worker is there once. */
struct zx_cell_packed_list {
	zx_cell_worker_name workers<ZX_CELL_TASKS_MAX>;
	zx_cell_packed_task tasks<ZX_CELL_TASKS_MAX>;
};

/* Failed runs of a gang, of which each counts once. */
struct zx_cell_gang_failures {
	/* Index among the steps of all occurrences of the job. */
	unsigned int step;
	unsigned int runs;
	/* Attempt of the last of them, whose other members may still end. */
	unsigned int attempt;
};

struct zx_cell_gang_list {
	zx_cell_gang_failures gangs<ZX_CELL_TASKS_MAX>;
};

/*
 * A checkpoint that is longer than those in the list of tasks, where it is empty:
 * earlier versions cannot decode a longer one.
 */
struct zx_cell_long_checkpoint {
	unsigned int task;
	string checkpoint<ZX_CELL_TEXT_MAX>;
};

struct zx_cell_long_checkpoints {
	zx_cell_long_checkpoint tasks<ZX_CELL_TASKS_MAX>;
};

/*
 * A progress record as it is stored. It ends after the last member that has a
 * content, and after progress if no other has. If packed has tasks, those of
 * progress are empty.
 */
struct zx_cell_stored_progress {
	zx_cell_progress progress;
	zx_cell_crash_list crashes;
	zx_cell_run_list runs;
	zx_cell_job_use use;
	zx_cell_packed_list packed;
	zx_cell_gang_list gangs;
	zx_cell_long_checkpoints checkpoints;
};

struct zx_cell_client_use {
	string client<ZX_CELL_NAME_MAX>;
	hyper core_ms;
};

/* Past use of the client accounts, decayed to at_ms (since 1970). */
struct zx_cell_past_use {
	hyper at_ms;
	/* All charges of this and earlier generations are included. */
	hyper generation;
	/* Number of runs included, not decayed. */
	hyper runs;
	hyper rest_core_ms;
	zx_cell_client_use clients<ZX_CELL_KEPT_CLIENTS_MAX>;
};

struct zx_cell_count {
	string queue<ZX_CELL_NAME_MAX>;
	unsigned int jobs;
};

/* Number of jobs in each queue that have not started any task. */
struct zx_cell_counts {
	zx_cell_count queues<ZX_CELL_LIST_MAX>;
};

/*
 * Summary of the load of the cell, with which the hosts decide whether to accept
 * jobs. The limits of its lists keep it below 4 KiB.
 */
const ZX_CELL_LOAD_POOLS_MAX = 6;
const ZX_CELL_LOAD_CLASSES_MAX = 16;
const ZX_CELL_LOAD_ACCOUNTS_MAX = 14;
const ZX_CELL_LOAD_LIMITS_MAX = 4;

/* Load of a priority in a pool, as in struct zr_admission_class. */
struct zx_cell_class_load {
	unsigned int priority;
	unsigned int run_permille;
	unsigned int tail_permille;
	/* By tier, and within a tier by resource. */
	unsigned int waiting_ms[9];
	/* Of accounts within their share, and above it. */
	unsigned int arriving_permille[2];
};

/* Load of a pool, as in struct zr_admission_pool. */
struct zx_cell_pool_load {
	string pool<ZX_CELL_NAME_MAX>;
	unsigned hyper capacity[3];
	unsigned int used_permille[3];
	zx_cell_class_load classes<ZX_CELL_LOAD_CLASSES_MAX>;
};

/* Load of a priority within an upper limit, as in struct zr_admission_limit. */
struct zx_cell_limit_load {
	unsigned int priority;
	unsigned int on_time_ms;
	unsigned int behind_ms;
};

/* A client account above its share, or which has used up its upper limit. */
struct zx_cell_account_load {
	string client<ZX_CELL_NAME_MAX>;
	/* Allowance in thousandths of a job, and its increase per millisecond. */
	hyper credit;
	unsigned int weight;
	zx_cell_limit_load limits<ZX_CELL_LOAD_LIMITS_MAX>;
};

struct zx_cell_load {
	zx_cell_pool_load pools<ZX_CELL_LOAD_POOLS_MAX>;
	zx_cell_account_load accounts<ZX_CELL_LOAD_ACCOUNTS_MAX>;
};

/* The record as it is stored; it ends after counts if no load is published. */
struct zx_cell_stored_counts {
	zx_cell_counts counts;
	zx_cell_load load;
};

/* A query that the scheduler sends to the placement adviser through a host. */
struct zx_cell_advise_args {
	string job<ZX_CELL_NAME_MAX>;
	unsigned int occurrence;
	unsigned int step;
	zx_cell_worker_name workers<ZX_CELL_LIST_MAX>;
	unsigned int timeout_ms;
};

/* Permission of the adviser to start a task of the step on a worker. */
struct zx_cell_permit {
	string worker<ZX_CELL_NAME_MAX>;
	string ticket<ZX_CELL_TEXT_MAX>;
};

/* error is 0 or a negative error code of <zinniarack/errors.h>. */
struct zx_cell_advise_result {
	int error;
	unsigned int validity_ms;
	zx_cell_permit permits<ZX_CELL_LIST_MAX>;
};

/*
 * Notifies the scheduler of a change that has been persisted: a new job with
 * its record, or a cancelled job with an empty record.
 */
struct zx_cell_news {
	string job<ZX_CELL_NAME_MAX>;
	opaque record<ZX_CELL_RECORD_MAX>;
};

/* taken: whether the receiver is the scheduler and processed the change. */
struct zx_cell_taken {
	bool taken;
};

struct zx_cell_state_args {
	string job<ZX_CELL_NAME_MAX>;
};

/* A query on behalf of a client account; the job of another is not known. */
struct zx_cell_account_state_args {
	string job<ZX_CELL_NAME_MAX>;
	string client<ZX_CELL_NAME_MAX>;
};

/* If known is false, the caller must read the state from the store. */
struct zx_cell_state_result {
	bool known;
	unsigned int state;
};

/* A key of the store; present is false if it has been deleted. */
struct zx_store_value {
	string key<ZX_CELL_KEY_MAX>;
	bool present;
	opaque data<ZX_CELL_VALUE_MAX>;
	hyper revision;
};

/* A condition of a transaction; revision 0: the key does not exist. */
struct zx_store_compare {
	string key<ZX_CELL_KEY_MAX>;
	hyper revision;
};

/* A write of a transaction; a deletion if present is false. */
struct zx_store_put {
	string key<ZX_CELL_KEY_MAX>;
	bool present;
	opaque data<ZX_CELL_VALUE_MAX>;
	hyper lease;
};

/*
 * A call to the store on behalf of a host that does not reach it. kind is an
 * enum zr_cell_relay_kind and purpose an enum zr_store_purpose.
 */
struct zx_cell_store_args {
	unsigned int kind;
	unsigned int purpose;
	/* Key or prefix of a read, prefix of a watch. */
	string key<ZX_CELL_KEY_MAX>;
	bool prefix;
	/* Duration of a new lease, id of a lease, or revision of a watch. */
	hyper number;
	unsigned int wait_ms;
	zx_store_compare compares<ZX_CELL_LIST_MAX>;
	zx_store_put puts<ZX_CELL_LIST_MAX>;
};

/* error is 0 or a negative error code of <zinniarack/errors.h>. */
struct zx_cell_store_result {
	int error;
	bool succeeded;
	hyper revision;
	hyper lease;
	hyper ttl_ms;
	zx_store_value values<ZX_CELL_RANGE_MAX>;
};

program ZX_CELL {
	version ZX_CELL_V1 {
		zx_cell_advise_result ZX_CELL_ADVISE(zx_cell_advise_args) = 1;
		zx_cell_taken ZX_CELL_NEWS(zx_cell_news) = 2;
		zx_cell_state_result ZX_CELL_STATE(zx_cell_state_args) = 3;
		zx_cell_store_result ZX_CELL_STORE(zx_cell_store_args) = 4;
		zx_cell_state_result ZX_CELL_ACCOUNT_STATE(
			zx_cell_account_state_args) = 5;
	} = 1;
} = 0x20005a03;

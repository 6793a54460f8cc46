/*
 * What a cell keeps in the store, and the program that its hosts serve to each
 * other. Generate with script/rpcgen.
 */

const ZX_CELL_NAME_MAX = 63;
const ZX_CELL_PAYLOAD_MAX = 65536;
const ZX_CELL_STEPS_MAX = 4096;
const ZX_CELL_TASKS_MAX = 65536;
const ZX_CELL_LIST_MAX = 4096;
const ZX_CELL_RECORD_MAX = 524288;

struct zx_cell_step {
	unsigned int count;
	unsigned int millicpus;
	unsigned int memory_mb;
	unsigned int accelerators;
	unsigned int estimate_ms;
	unsigned int after<ZX_CELL_STEPS_MAX>;
	unsigned int flags;
	unsigned int spread;
	unsigned int unavailable_max;
	unsigned int target_ms;
	string label<ZX_CELL_NAME_MAX>;
	string rack<ZX_CELL_NAME_MAX>;
};

/* A job as it was accepted. */
struct zx_cell_job {
	string queue<ZX_CELL_NAME_MAX>;
	string client<ZX_CELL_NAME_MAX>;
	string pool<ZX_CELL_NAME_MAX>;
	hyper accepted_ms;
	string payload<ZX_CELL_PAYLOAD_MAX>;
	zx_cell_step steps<ZX_CELL_STEPS_MAX>;
	unsigned int repeats;
	hyper first_ms;
	hyper interval_ms;
	unsigned int priority;
	unsigned int attempts;
	unsigned int stretch_permille;
	unsigned int latency_target_ms;
};

/* worker is empty while no run of the task is open. */
struct zx_cell_task {
	unsigned int attempt;
	unsigned int failures;
	bool done;
	string worker<ZX_CELL_NAME_MAX>;
	string checkpoint<ZX_CELL_NAME_MAX>;
};

/* Where a job stands. tasks is empty once the job has ended. */
struct zx_cell_progress {
	unsigned int state;
	string client<ZX_CELL_NAME_MAX>;
	string queue<ZX_CELL_NAME_MAX>;
	hyper ended_ms;
	zx_cell_task tasks<ZX_CELL_TASKS_MAX>;
};

struct zx_cell_count {
	string queue<ZX_CELL_NAME_MAX>;
	unsigned int jobs;
};

/* Jobs of each queue of which no task has begun. */
struct zx_cell_counts {
	zx_cell_count queues<ZX_CELL_LIST_MAX>;
};

struct zx_cell_worker_name {
	string name<ZX_CELL_NAME_MAX>;
};

struct zx_cell_advise_args {
	string job<ZX_CELL_NAME_MAX>;
	unsigned int occurrence;
	unsigned int step;
	zx_cell_worker_name workers<ZX_CELL_LIST_MAX>;
	unsigned int timeout_ms;
};

struct zx_cell_permit {
	string worker<ZX_CELL_NAME_MAX>;
	string ticket<ZX_CELL_NAME_MAX>;
};

/* error is 0 or a negative number of <zinniarack/errors.h>. */
struct zx_cell_advise_result {
	int error;
	unsigned int validity_ms;
	zx_cell_permit permits<ZX_CELL_LIST_MAX>;
};

/* A job that the store holds; record is empty for a cancellation. */
struct zx_cell_news {
	string job<ZX_CELL_NAME_MAX>;
	opaque record<ZX_CELL_RECORD_MAX>;
};

struct zx_cell_taken {
	bool taken;
};

struct zx_cell_state_args {
	string job<ZX_CELL_NAME_MAX>;
};

/* known is false where the store has to be asked. */
struct zx_cell_state_result {
	bool known;
	unsigned int state;
};

program ZX_CELL {
	version ZX_CELL_V1 {
		zx_cell_advise_result ZX_CELL_ADVISE(zx_cell_advise_args) = 1;
		zx_cell_taken ZX_CELL_NEWS(zx_cell_news) = 2;
		zx_cell_state_result ZX_CELL_STATE(zx_cell_state_args) = 3;
	} = 1;
} = 0x20005a03;

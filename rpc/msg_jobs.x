/*
 * Messages about jobs between entry daemons and schedulers. script/rpcgen
 * generates the C code.
 */

const ZX_NAME_MAX = 63;
const ZX_ID_MAX = 127;
const ZX_TEXT_MAX = 65536;
const ZX_LIST_MAX = 4096;
/* Maximum length of the persisted result of a task. */
const ZX_RESULT_MAX = 1024;

struct zx_resources {
	unsigned int millicpus;
	unsigned int memory_mb;
	unsigned int accelerators;
};

struct zx_job_spec {
	string name<ZX_NAME_MAX>;
	string team<ZX_NAME_MAX>;
	string queue<ZX_NAME_MAX>;
	unsigned int kind;
	unsigned int tasks;
	zx_resources size;
	unsigned int worth;
	bool urgent;
	bool at_most_once;
	unsigned hyper run_ms;
	hyper deadline_ms;
	string idempotency_key<ZX_ID_MAX>;
	string command<ZX_TEXT_MAX>;
};

struct zx_submit_args {
	zx_job_spec spec;
};

/*
 * error, in this and the other results, is 0 or a negative error code of
 * <zinniarack/errors.h>.
 */
struct zx_submit_result {
	int error;
	string detail<ZX_TEXT_MAX>;
	string id<ZX_ID_MAX>;
};

struct zx_job_args {
	string id<ZX_ID_MAX>;
	string team<ZX_NAME_MAX>;
	unsigned int wait_ms;
};

struct zx_task_result {
	unsigned int index;
	bool succeeded;
	string result<ZX_RESULT_MAX>;
};

/*
 * State of a job; results holds those of the ended tasks in the order of their
 * indexes, and is empty in lists of jobs.
 */
struct zx_job {
	string id<ZX_ID_MAX>;
	string name<ZX_NAME_MAX>;
	string team<ZX_NAME_MAX>;
	string queue<ZX_NAME_MAX>;
	unsigned int kind;
	unsigned int state;
	unsigned int tasks;
	unsigned int running;
	unsigned int ended;
	string reason<ZX_TEXT_MAX>;
	string result<ZX_TEXT_MAX>;
	zx_task_result results<ZX_LIST_MAX>;
};

struct zx_job_result {
	int error;
	string detail<ZX_TEXT_MAX>;
	zx_job job;
};

struct zx_list_args {
	string team<ZX_NAME_MAX>;
};

struct zx_list_result {
	int error;
	zx_job jobs<ZX_LIST_MAX>;
};

struct zx_explain_result {
	int error;
	string detail<ZX_TEXT_MAX>;
	unsigned int fitting;
	unsigned int jobs_before;
	unsigned int by_reason<16>;
	string hint<ZX_TEXT_MAX>;
};

struct zx_status_args {
	unsigned hyper config_version;
};

struct zx_status_result {
	string name<ZX_NAME_MAX>;
	string domain<ZX_NAME_MAX>;
	bool active;
	unsigned hyper epoch;
	unsigned hyper config_version;
};

struct zx_worker {
	string name<ZX_NAME_MAX>;
	string rack<ZX_NAME_MAX>;
	unsigned int state;
	zx_resources capacity;
	zx_resources reserved;
	unsigned int tasks;
};

struct zx_workers_result {
	int error;
	zx_worker workers<ZX_LIST_MAX>;
};

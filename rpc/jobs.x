/*
 * Messages between entry daemons and schedulers, and the records that
 * schedulers keep in the store. Generate with script/rpcgen.
 */

const ZX_NAME_MAX = 63;
const ZX_ID_MAX = 127;
const ZX_TEXT_MAX = 65536;
const ZX_LIST_MAX = 4096;

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

/* error is 0 or a negative number of <zinniarack/errors.h>. */
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

struct zx_grant_args {
	string entry<ZX_NAME_MAX>;
};

/* Slots that an entry daemon may use on a worker until the grant lapses. */
struct zx_grant {
	string service<ZX_NAME_MAX>;
	string worker<ZX_NAME_MAX>;
	string address<ZX_NAME_MAX>;
	unsigned int slots;
};

struct zx_grant_result {
	int error;
	unsigned hyper epoch;
	unsigned int lease_ms;
	zx_grant grants<ZX_LIST_MAX>;
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

/* Records of a failure domain's journal. */

enum zx_record_kind {
	ZX_RECORD_ACCEPTED = 1,
	ZX_RECORD_INTENT = 2,
	ZX_RECORD_TASK_ENDED = 3,
	ZX_RECORD_JOB_ENDED = 4
};

struct zx_accepted {
	unsigned hyper number;
	hyper accepted_ms;
	zx_job_spec spec;
};

/* Kept before the start of a task that must not run twice. */
struct zx_intent {
	unsigned hyper number;
	unsigned int index;
	unsigned int attempt;
};

struct zx_task_ended {
	unsigned hyper number;
	unsigned int index;
	unsigned int attempt;
	unsigned int outcome;
	string result<ZX_TEXT_MAX>;
};

struct zx_job_ended {
	unsigned hyper number;
	unsigned int state;
	string reason<ZX_TEXT_MAX>;
};

union zx_record switch (zx_record_kind kind) {
case ZX_RECORD_ACCEPTED:
	zx_accepted accepted;
case ZX_RECORD_INTENT:
	zx_intent intent;
case ZX_RECORD_TASK_ENDED:
	zx_task_ended task_ended;
case ZX_RECORD_JOB_ENDED:
	zx_job_ended job_ended;
};

struct zx_chunk {
	unsigned hyper epoch;
	unsigned hyper sequence;
	zx_record records<ZX_LIST_MAX>;
};

program ZX_SCHEDULER {
	version ZX_SCHEDULER_V1 {
		zx_submit_result ZX_SUBMIT(zx_submit_args) = 1;
		zx_job_result ZX_JOB(zx_job_args) = 2;
		zx_job_result ZX_CANCEL(zx_job_args) = 3;
		zx_list_result ZX_LIST(zx_list_args) = 4;
		zx_explain_result ZX_EXPLAIN(zx_job_args) = 5;
		zx_status_result ZX_STATUS(zx_status_args) = 6;
		zx_grant_result ZX_GRANTS(zx_grant_args) = 7;
		zx_workers_result ZX_WORKERS(zx_list_args) = 8;
	} = 1;
} = 0x20005a01;

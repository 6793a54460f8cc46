/*
 * Records that schedulers keep in the store. Generate with script/rpcgen.
 */

#ifdef RPC_HDR
%#include "msg_jobs.h"
#endif

enum zx_record_kind {
	ZX_RECORD_ACCEPTED = 1,
	ZX_RECORD_INTENT = 2,
	ZX_RECORD_TASK_ENDED = 3,
	ZX_RECORD_JOB_ENDED = 4,
	ZX_RECORD_BEGUN = 5,
	ZX_RECORD_WORKER = 6
};

/* begun: a task of it may be sent without a further record. */
struct zx_accepted {
	unsigned hyper number;
	hyper accepted_ms;
	bool begun;
	zx_job_spec spec;
};

/* Kept before the first start of a task of a job. */
struct zx_begun {
	unsigned hyper number;
};

/* Kept before the first start on a worker; gone: none of its tasks is left. */
struct zx_worker_record {
	string name<ZX_NAME_MAX>;
	string rack<ZX_NAME_MAX>;
	string address<ZX_NAME_MAX>;
	zx_resources capacity;
	unsigned int slots;
	bool gone;
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
	string result<ZX_RESULT_MAX>;
};

struct zx_job_ended {
	unsigned hyper number;
	unsigned int state;
	hyper ended_ms;
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
case ZX_RECORD_BEGUN:
	zx_begun begun;
case ZX_RECORD_WORKER:
	zx_worker_record worker;
};

struct zx_chunk {
	unsigned hyper epoch;
	unsigned hyper sequence;
	zx_record records<ZX_LIST_MAX>;
};


/*
 * A snapshot of the jobs of one group, in parts. It holds what chunks up to
 * epoch and sequence have said of them. Further parts lie in one of two slots,
 * so that a snapshot that is not finished leaves the one before whole.
 */
struct zx_snapshot {
	unsigned hyper epoch;
	unsigned hyper sequence;
	unsigned int parts;
	unsigned int slot;
	zx_record records<ZX_LIST_MAX>;
};

/* How much of a team's upper limit holds in a failure domain. */
struct zx_allotment {
	string domain<ZX_NAME_MAX>;
	zx_resources amount;
};

struct zx_team_allotments {
	string team<ZX_NAME_MAX>;
	zx_allotment domains<64>;
};

/* One record for all teams, changed by compare-and-swap. */
struct zx_allotments {
	zx_team_allotments teams<1024>;
};

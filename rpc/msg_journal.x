/*
 * Records that schedulers persist in the store. script/rpcgen generates the C
 * code.
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

/* An accepted job; begun: its tasks may be sent without a zx_begun record. */
struct zx_accepted {
	unsigned hyper number;
	hyper accepted_ms;
	bool begun;
	zx_job_spec spec;
};

/* Persisted before the first start of a task of a job. */
struct zx_begun {
	unsigned hyper number;
};

/*
 * Persisted before the first start on a worker. gone: the worker was removed,
 * and no task on it is left.
 */
struct zx_worker_record {
	string name<ZX_NAME_MAX>;
	string rack<ZX_NAME_MAX>;
	string address<ZX_NAME_MAX>;
	zx_resources capacity;
	unsigned int slots;
	bool gone;
};

/* Persisted before the start of a task that must run at most once. */
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

/* One entry of the journal, identified by epoch and sequence. */
struct zx_chunk {
	unsigned hyper epoch;
	unsigned hyper sequence;
	zx_record records<ZX_LIST_MAX>;
};

/*
 * One part of a snapshot of the jobs of a group. The snapshot covers all chunks
 * up to epoch and sequence. Parts other than the first are stored under one of
 * two slots in turn, so that an unfinished snapshot leaves the previous one
 * complete.
 */
struct zx_snapshot {
	unsigned hyper epoch;
	unsigned hyper sequence;
	unsigned int parts;
	unsigned int slot;
	zx_record records<ZX_LIST_MAX>;
};

/* The part of a team's upper limit that a failure domain may use. */
struct zx_allotment {
	string domain<ZX_NAME_MAX>;
	zx_resources amount;
};

struct zx_team_allotments {
	string team<ZX_NAME_MAX>;
	zx_allotment domains<64>;
};

/* The single record of all teams, updated by compare-and-swap. */
struct zx_allotments {
	zx_team_allotments teams<1024>;
};

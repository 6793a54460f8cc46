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


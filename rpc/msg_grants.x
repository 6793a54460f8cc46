/*
 * Slots for short requests, between entry daemons and schedulers. Generate
 * with script/rpcgen.
 */

#ifdef RPC_HDR
%#include "msg_jobs.h"
#endif

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


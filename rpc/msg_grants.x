/*
 * Slots for short requests, between entry daemons and schedulers. Generate
 * with script/rpcgen.
 */

#ifdef RPC_HDR
%#include "msg_jobs.h"
#endif

typedef string zx_name<ZX_NAME_MAX>;

/* Slots that an entry daemon could use for a service at its peak. */
struct zx_demand {
	string service<ZX_NAME_MAX>;
	unsigned int slots;
};

/* Slots that an entry daemon may still use, or uses, on a worker. */
struct zx_held {
	string worker<ZX_NAME_MAX>;
	unsigned int slots;
};

/*
 * An ask without a base lists all that is held; the rest was given back.
 * The sequence rises with each ask of one incarnation of the daemon.
 */
struct zx_grant_args {
	string entry<ZX_NAME_MAX>;
	string domain<ZX_NAME_MAX>;
	unsigned hyper incarnation;
	unsigned hyper sequence;
	/*
	 * Sequence of the ask whose answer was taken last: held lists only
	 * what differs from that answer. 0: held lists all.
	 */
	unsigned hyper base;
	/* The daemon stops: it gets nothing more. */
	bool leaving;
	zx_demand demand<ZX_LIST_MAX>;
	zx_held held<ZX_LIST_MAX>;
};

/* Slots that an entry daemon may use on a worker until the grant lapses. */
struct zx_grant {
	string worker<ZX_NAME_MAX>;
	string address<ZX_NAME_MAX>;
	unsigned int slots;
	zx_name services<ZX_LIST_MAX>;
};

const ZX_ANSWER_MAX = 262144;

/*
 * Kept for an idempotency key: the intent to run its request, and then the
 * answer. The digest tells another request under the same key.
 */
struct zx_once {
	unsigned hyper digest;
	string run<ZX_ID_MAX>;
	bool answered;
	int status;
	opaque body<ZX_ANSWER_MAX>;
};

struct zx_grant_result {
	int error;
	/* Not all replicas are known yet: workers not named keep their slots. */
	bool partial;
	/* Workers not named are as in the answer to the ask's base. */
	bool changes_only;
	/* Workers of which only the number of slots changed. */
	zx_held resized<ZX_LIST_MAX>;
	unsigned hyper epoch;
	unsigned int lease_ms;
	zx_grant grants<ZX_LIST_MAX>;
};

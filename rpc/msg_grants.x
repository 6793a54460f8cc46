/*
 * Messages with which entry daemons request slots for short requests from
 * schedulers. A slot is the right to have one request in progress on a worker;
 * a grant is a number of slots on one worker until a deadline. script/rpcgen
 * generates the C code.
 */

#ifdef RPC_HDR
%#include "msg_jobs.h"
#endif

typedef string zx_name<ZX_NAME_MAX>;

/* Peak number of slots that an entry daemon could have used for a service. */
struct zx_demand {
	string service<ZX_NAME_MAX>;
	unsigned int slots;
};

/* Number of slots on a worker that an entry daemon may use or is using. */
struct zx_held {
	string worker<ZX_NAME_MAX>;
	unsigned int slots;
};

/* A grant request of an entry daemon. */
struct zx_grant_args {
	string entry<ZX_NAME_MAX>;
	string domain<ZX_NAME_MAX>;
	/* Identifies one run of the daemon's process. */
	unsigned hyper incarnation;
	/* Increases with each request of the same incarnation. */
	unsigned hyper sequence;
	/*
	 * Sequence of the request whose response was processed last; held then
	 * lists only the differences from that response. 0: held lists all
	 * slots in use or still granted, and all other slots are returned.
	 */
	unsigned hyper base;
	/* The daemon is shutting down and must get no further grants. */
	bool leaving;
	zx_demand demand<ZX_LIST_MAX>;
	zx_held held<ZX_LIST_MAX>;
};

/* Slots that an entry daemon may use on a worker until the grant expires. */
struct zx_grant {
	string worker<ZX_NAME_MAX>;
	string address<ZX_NAME_MAX>;
	unsigned int slots;
	zx_name services<ZX_LIST_MAX>;
};

const ZX_ANSWER_MAX = 262144;

/*
 * Record of an idempotency key in the store: first the intent to run the
 * request, later its response.
 */
struct zx_once {
	/* Digest of the request, to detect another one with the same key. */
	unsigned hyper digest;
	/* Id of the request together with the incarnation of its daemon. */
	string run<ZX_ID_MAX>;
	/* Whether status and body hold the response. */
	bool answered;
	int status;
	opaque body<ZX_ANSWER_MAX>;
};

/* The response to a grant request. */
struct zx_grant_result {
	int error;
	/*
	 * The scheduler does not know all replicas yet: workers that are not
	 * listed keep the number of slots that the request reported as held.
	 */
	bool partial;
	/*
	 * Workers that are not listed have the same grant as in the response to
	 * the request named as base.
	 */
	bool changes_only;
	/* Workers whose grant changed only in its number of slots. */
	zx_held resized<ZX_LIST_MAX>;
	/* Fencing token of the scheduler's ownership of the domain. */
	unsigned hyper epoch;
	/* Validity of all grants, counted from the sending of the request. */
	unsigned int lease_ms;
	zx_grant grants<ZX_LIST_MAX>;
};

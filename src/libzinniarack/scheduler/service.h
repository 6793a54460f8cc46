#ifndef ZR_SCHEDULER_SERVICE_H
#define ZR_SCHEDULER_SERVICE_H

#include "domain/domain.h"
#include "net/rpc_server.h"
#include "scheduler/grants.h"

/**
 * DOC: RPC service of the scheduler
 */

/**
 * struct zr_scheduler_service - context of the RPC handlers
 * @domain: the failure domain
 * @grants: slots granted to entry daemons
 * @name: name of this host
 * @domain_name: name of the failure domain
 * @config_version: version of the configuration that this scheduler uses
 */
struct zr_scheduler_service {
	struct zr_domain *domain;
	struct zr_grants *grants;
	const char *name;
	const char *domain_name;
	uint64_t config_version;
};

/** The handlers; their context is a &struct zr_scheduler_service. */
extern const struct zr_rpc_dispatch_entry zr_scheduler_dispatch_table[];

#endif

#ifndef ZR_SCHEDULER_SERVICE_H
#define ZR_SCHEDULER_SERVICE_H

#include "domain/domain.h"
#include "net/rpc_server.h"
#include "scheduler/grants.h"

/**
 * DOC: What a scheduler serves over RPC
 */

/**
 * struct zr_scheduler_service - what the RPC handlers work on
 * @domain: the failure domain
 * @grants: slots given to entry daemons
 * @name: this host's name
 * @domain_name: the failure domain's name
 * @config_version: version of the configuration in force here
 */
struct zr_scheduler_service {
	struct zr_domain *domain;
	struct zr_grants *grants;
	const char *name;
	const char *domain_name;
	uint64_t config_version;
};

/** The handlers; their context is a &struct zr_scheduler_service. */
extern const struct zr_rpc_service zr_scheduler_services[];

#endif

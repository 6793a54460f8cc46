#ifndef ZR_SCHEDULER_GRANTS_H
#define ZR_SCHEDULER_GRANTS_H

#include "domain/domain.h"
#include "msg_grants.h"

/**
 * DOC: Slots granted to entry daemons
 *
 * A worker serves a bounded number of short requests at once. The scheduler
 * divides these slots among the entry daemons of all failure domains, so that
 * all together never use more than the worker has.
 */

struct zr_grants;

/** Time for which a grant holds after the entry daemon asked. */
#define ZR_GRANT_LEASE_MS 3000

int zr_grants_new(struct zr_grants **out, struct zr_domain *domain);

/** zr_grants_hosts() - take a new reading of the host list */
void zr_grants_hosts(struct zr_grants *grants, const struct zr_host *hosts,
		     size_t count);

/**
 * zr_grants_answer() - the slots that an entry daemon may use
 * @out: free out->grants.grants_val with free()
 * @grants: the grants
 * @entry: name of the entry daemon's host
 */
void zr_grants_answer(zx_grant_result *out, struct zr_grants *grants,
		      const char *entry);

void zr_grants_free(struct zr_grants *grants);

#endif

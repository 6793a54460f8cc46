#ifndef ZR_SCHEDULER_GRANTS_H
#define ZR_SCHEDULER_GRANTS_H

#include "domain/domain.h"
#include "msg_grants.h"

/**
 * DOC: Slots granted to entry daemons
 *
 * A worker serves a bounded number of short requests at once. The scheduler
 * divides these slots among the entry daemons of all failure domains, so that
 * all together never use more than the worker has; see route/slot_escrow.h.
 * All services of a worker share its slots.
 */

struct zr_grants;

int zr_grants_new(struct zr_grants **out, struct zr_domain *domain,
		  const struct zr_clock *clock, const char *domain_name);

/**
 * zr_grants_answer() - the slots that an entry daemon may use
 * @out: to be freed with zr_grants_answer_free()
 * @grants: the grants
 * @ask: what it holds and could use
 */
void zr_grants_answer(zx_grant_result *out, struct zr_grants *grants,
		      const zx_grant_args *ask);

void zr_grants_answer_free(zx_grant_result *result);

void zr_grants_free(struct zr_grants *grants);

#endif

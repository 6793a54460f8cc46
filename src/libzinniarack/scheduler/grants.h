#ifndef ZR_SCHEDULER_GRANTS_H
#define ZR_SCHEDULER_GRANTS_H

#include "domain/domain.h"
#include "msg_grants.h"

/**
 * DOC: Slots granted to entry daemons
 *
 * A worker serves a limited number of short requests at a time; its slots. The
 * scheduler divides the slots of each worker among the entry daemons of all
 * failure domains, so that together they never use more than the worker has;
 * see route/slot_escrow.h. The services on a worker share its slots.
 */

struct zr_grants;

/**
 * zr_grants_new() - create the grants of a failure domain
 * @out: to be freed with zr_grants_free()
 * @domain: the failure domain; kept by reference
 * @clock: clock for leases
 * @domain_name: name of the failure domain; kept by reference
 *
 * Return: 0 or ZR_E_NOMEM.
 */
int zr_grants_new(struct zr_grants **out, struct zr_domain *domain,
		  const struct zr_clock *clock, const char *domain_name);

/**
 * zr_grants_answer() - answer an entry daemon's request for slots
 * @out: the slots that it may use; to be freed with zr_grants_answer_free()
 * @grants: the grants
 * @request: the slots that the entry daemon holds and those it demands
 */
void zr_grants_answer(zx_grant_result *out, struct zr_grants *grants,
		      const zx_grant_args *request);

void zr_grants_answer_free(zx_grant_result *result);

void zr_grants_free(struct zr_grants *grants);

#endif

#ifndef ZR_ROUTE_GRANT_CHANGES_H
#define ZR_ROUTE_GRANT_CHANGES_H

#include "msg_grants.h"

/**
 * DOC: Incremental grant requests and results
 *
 * The scheduler stores its last result for each entry daemon, together with the
 * sequence number of the request. The next request may name that number as its
 * base. Such a request lists only slots that differ from the stored result, and
 * the scheduler's new result lists only grants that differ from the stored one.
 *
 * A request with any other base is refused before the slot escrow processes it.
 * The entry daemon then sends a full request, which has base 0.
 */

struct zr_grant_changes;

int zr_grant_changes_new(struct zr_grant_changes **out);

/** zr_grant_changes_clear() - remove all results, at a new term of ownership */
void zr_grant_changes_clear(struct zr_grant_changes *changes);

/**
 * zr_grant_changes_expand() - turn a request into a full one
 * @out: the request with all slots that are held; free out->held.held_val, the
 *	rest belongs to @request and @changes
 * @changes: the stored results
 * @request: the request as received
 *
 * Return: 0, or ZR_E_CONFLICT if its base isn't the stored result.
 */
int zr_grant_changes_expand(zx_grant_args *out,
			    const struct zr_grant_changes *changes,
			    const zx_grant_args *request);

/**
 * zr_grant_changes_reduce() - store a full result and reduce it to its changes
 * @result: the full result; grants that are removed from it are freed, so each
 *	must have a list of services of its own on the heap. Free
 *	result->resized.resized_val afterwards
 * @changes: the stored results
 * @request: the request as received
 *
 * The result stays complete if the request has no base or if the changes can't
 * be expressed.
 */
void zr_grant_changes_reduce(zx_grant_result *result,
			     struct zr_grant_changes *changes,
			     const zx_grant_args *request);

void zr_grant_changes_free(struct zr_grant_changes *changes);

#endif

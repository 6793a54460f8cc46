#ifndef ZR_ROUTE_GRANT_CHANGES_H
#define ZR_ROUTE_GRANT_CHANGES_H

#include "msg_grants.h"

/**
 * DOC: Asks and answers that carry changes only
 *
 * The scheduler keeps the last answer to each entry daemon under the sequence
 * of its ask. An ask that names this sequence as its base lists only what
 * differs from that answer, and its own answer does likewise. Any other base is
 * refused before the escrow sees it; the daemon then lists all.
 */

struct zr_grant_changes;

int zr_grant_changes_new(struct zr_grant_changes **out);

/** zr_grant_changes_clear() - know no answers, as at a new ownership */
void zr_grant_changes_clear(struct zr_grant_changes *changes);

/**
 * zr_grant_changes_expand() - the whole ask
 * @out: the ask with all that is held; free out->held.held_val, the rest
 *       belongs to @ask and @changes
 * @changes: the answers
 * @ask: the ask as it came
 *
 * Return: 0, or ZR_E_CONFLICT if its base isn't the answer kept.
 */
int zr_grant_changes_expand(zx_grant_args *out,
			    const struct zr_grant_changes *changes,
			    const zx_grant_args *ask);

/**
 * zr_grant_changes_reduce() - keep a whole answer, leave in it what changed
 * @answer: the answer; what is left out of it is freed, so that the lists of
 *          services must be its own and on the heap; free its
 *          resized.resized_val
 * @changes: the answers
 * @ask: the ask that it answers, as it came
 */
void zr_grant_changes_reduce(zx_grant_result *answer,
			     struct zr_grant_changes *changes,
			     const zx_grant_args *ask);

void zr_grant_changes_free(struct zr_grant_changes *changes);

#endif

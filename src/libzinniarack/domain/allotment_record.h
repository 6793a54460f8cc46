#ifndef ZR_DOMAIN_ALLOTMENT_RECORD_H
#define ZR_DOMAIN_ALLOTMENT_RECORD_H

#include <stdbool.h>

#include "msg_journal.h"
#include "zinniarack/job.h"
#include "zinniarack/store.h"

/**
 * DOC: The record of allotments, one for all teams
 */

#define ZR_ALLOTMENT_KEY "zr/allotments"

/** zr_allotment_record_encode() - @bytes is to be freed; returns its length */
size_t zr_allotment_record_encode(char **bytes, const zx_allotments *record);

/** zr_allotment_record_decode() - 0 or ZR_E_PROTOCOL */
int zr_allotment_record_decode(zx_allotments *out,
			       const struct zr_store_value *value);

void zr_allotment_record_clear(zx_allotments *record);

/** zr_allotment_held() - what a domain holds of a team's limit */
struct zr_resources zr_allotment_held(const zx_allotments *record,
				      const char *team, const char *domain);

/** zr_allotment_others() - what all other domains hold of it */
struct zr_resources zr_allotment_others(const zx_allotments *record,
					const char *team, const char *domain);

/** zr_allotment_hold() - set what a domain holds */
void zr_allotment_hold(zx_allotments *record, const char *team,
		       const char *domain, const struct zr_resources *amount);

/** zr_allotment_drop() - a domain holds nothing; returns whether it did */
bool zr_allotment_drop(zx_allotments *record, const char *domain);

#endif

#ifndef ZR_DOMAIN_ALLOTMENT_RECORD_H
#define ZR_DOMAIN_ALLOTMENT_RECORD_H

#include <stdbool.h>

#include "msg_journal.h"
#include "zinniarack/job.h"
#include "zinniarack/store.h"

/**
 * DOC: Record of allotments
 *
 * The value in the store that holds the allotments of all teams in all failure
 * domains.
 */

#define ZR_ALLOTMENT_KEY "zr/allotments"

/**
 * zr_allotment_record_encode() - encode a record
 * @bytes: the encoding; free it with free()
 * @record: the record
 *
 * Return: length of @bytes.
 */
size_t zr_allotment_record_encode(char **bytes, const zx_allotments *record);

/**
 * zr_allotment_record_decode() - decode a record
 * @out: the record; free it with zr_allotment_record_clear()
 * @value: value from the store
 *
 * Return: 0 or ZR_E_PROTOCOL.
 */
int zr_allotment_record_decode(zx_allotments *out,
			       const struct zr_store_value *value);

/** zr_allotment_record_clear() - free the contents of a record and empty it */
void zr_allotment_record_clear(zx_allotments *record);

/** zr_allotment_record_get() - allotment of a domain for a team, 0 if none */
struct zr_resources zr_allotment_record_get(const zx_allotments *record,
					    const char *team,
					    const char *domain);

/** zr_allotment_record_get_others() - sum of all other domains' allotments */
struct zr_resources zr_allotment_record_get_others(const zx_allotments *record,
						   const char *team,
						   const char *domain);

/** zr_allotment_record_set() - set the allotment of a domain for a team */
void zr_allotment_record_set(zx_allotments *record, const char *team,
			     const char *domain,
			     const struct zr_resources *amount);

/**
 * zr_allotment_record_drop_domain() - set all allotments of a domain to 0
 * @record: the record
 * @domain: name of the domain
 *
 * Return: whether the domain had an allotment.
 */
bool zr_allotment_record_drop_domain(zx_allotments *record, const char *domain);

#endif

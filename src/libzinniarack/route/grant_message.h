#ifndef ZR_ROUTE_GRANT_MESSAGE_H
#define ZR_ROUTE_GRANT_MESSAGE_H

#include "msg_grants.h"
#include "route/slot_escrow.h"

/**
 * DOC: Asks and grants as messages
 */

/**
 * zr_grant_message_process() - take an ask that came as a message
 * @out_holder: as in zr_slot_escrow_process_request()
 * @escrow: the escrow
 * @message: the ask
 * @domain: the scheduler's failure domain
 *
 * Return: as zr_slot_escrow_process_request().
 */
int zr_grant_message_process(uint32_t *out_holder,
			     struct zr_slot_escrow *escrow,
			     const zx_grant_args *message, const char *domain);

/** zr_grant_message_fill_slots() - fill in the slots of the workers named there
 */
void zr_grant_message_fill_slots(zx_grant_result *out,
				 struct zr_slot_escrow *escrow,
				 uint32_t holder);

#endif

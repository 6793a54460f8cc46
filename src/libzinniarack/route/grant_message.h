#ifndef ZR_ROUTE_GRANT_MESSAGE_H
#define ZR_ROUTE_GRANT_MESSAGE_H

#include "msg_grants.h"
#include "route/slot_escrow.h"

/**
 * DOC: Conversion of grant requests and results
 *
 * Connects the messages of the RPC interface with the slot escrow.
 */

/**
 * zr_grant_message_process() - process a received grant request
 * @out_holder: id of the entry daemon, for zr_grant_message_fill_slots()
 * @escrow: the escrow
 * @message: the request; it lists all held slots
 * @domain: the scheduler's failure domain
 *
 * Return: 0 or ZR_E_CONFLICT, as zr_slot_escrow_process_request().
 */
int zr_grant_message_process(uint32_t *out_holder,
			     struct zr_slot_escrow *escrow,
			     const zx_grant_args *message, const char *domain);

/** zr_grant_message_fill_slots() - set the slots of the workers in a result */
void zr_grant_message_fill_slots(zx_grant_result *out,
				 struct zr_slot_escrow *escrow,
				 uint32_t holder);

#endif

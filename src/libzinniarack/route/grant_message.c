#include "route/grant_message.h"

#include <stdlib.h>
#include <string.h>

static struct zr_slot_demand *copy_demand(const zx_grant_args *message)
{
	u_int count = message->demand.demand_len;
	struct zr_slot_demand *demand = calloc(count + 1, sizeof(*demand));
	u_int i;

	if (!demand)
		abort();
	for (i = 0; i < count; i++) {
		demand[i].service = message->demand.demand_val[i].service;
		demand[i].slots = message->demand.demand_val[i].slots;
	}
	return demand;
}

static struct zr_slot_held *copy_held(const zx_grant_args *message)
{
	u_int count = message->held.held_len;
	struct zr_slot_held *held = calloc(count + 1, sizeof(*held));
	u_int i;

	if (!held)
		abort();
	for (i = 0; i < count; i++) {
		held[i].worker = message->held.held_val[i].worker;
		held[i].slots = message->held.held_val[i].slots;
	}
	return held;
}

int zr_grant_message_process(uint32_t *out_holder,
			     struct zr_slot_escrow *escrow,
			     const zx_grant_args *message, const char *domain)
{
	struct zr_slot_demand *demand = copy_demand(message);
	struct zr_slot_held *held = copy_held(message);
	const struct zr_slot_request request = {
		.entry = message->entry,
		.local = !strcmp(message->domain, domain),
		.incarnation = message->incarnation,
		.sequence = message->sequence,
		.leaving = message->leaving,
		.demand = demand,
		.demand_count = message->demand.demand_len,
		.held = held,
		.held_count = message->held.held_len,
	};
	int error =
		zr_slot_escrow_process_request(out_holder, escrow, &request);

	free(demand);
	free(held);
	return error;
}

void zr_grant_message_fill_slots(zx_grant_result *out,
				 struct zr_slot_escrow *escrow, uint32_t holder)
{
	u_int i;

	for (i = 0; i < out->grants.grants_len; i++) {
		zx_grant *grant = &out->grants.grants_val[i];

		grant->slots = zr_slot_escrow_grant(
			escrow, holder, grant->worker,
			(const char *const *)grant->services.services_val,
			grant->services.services_len);
	}
}

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "capacity/capacity.h"
#include "fakes/fake_time.h"
#include "route/grant_changes.h"
#include "route/grant_message.h"

/*
 * Bytes of asks and answers for slots between real escrow and entry hosts that
 * hold what they were granted, with a demand that differs at each ask.
 */

#define HOSTS 12u
#define SERVICES 4u
#define ASKS 100u
#define SETTLE_ASKS 40u
#define ASK_MS 500
#define SLOTS 8u
#define NAME_BYTES 32
#define INCARNATION 1
#define DEMAND_MEAN 10u
#define DEMAND_SPREAD 3u

static char service_names[SERVICES][NAME_BYTES] = {
	"face-size-check", "face-type-check", "face-tone-check",
	"face-rank-check"};

struct bench {
	struct fake_time *time;
	struct zr_slot_escrow *escrow;
	struct zr_grant_changes *changes;
	uint32_t workers;
	char (*names)[NAME_BYTES];
	bool steady;
	bool changes_only;
	double ask_bytes;
	double answer_bytes;
	/* What each host was granted of each worker. */
	u_int *granted;
};

static u_int demand_of(const struct bench *bench)
{
	if (bench->steady)
		return DEMAND_MEAN;
	return DEMAND_MEAN - DEMAND_SPREAD +
	       (u_int)rand() % (2 * DEMAND_SPREAD + 1);
}

static void fill_answer(zx_grant_result *out, struct bench *bench,
			uint32_t holder)
{
	uint32_t i;

	out->lease_ms = ZR_GRANT_LEASE_MS;
	out->grants.grants_len = bench->workers;
	out->grants.grants_val = calloc(bench->workers, sizeof(zx_grant));
	for (i = 0; i < bench->workers; i++) {
		zx_grant *grant = &out->grants.grants_val[i];

		zr_slot_escrow_set_capacity(bench->escrow, bench->names[i],
					    SLOTS);
		grant->worker = bench->names[i];
		grant->address = "10.20.30.40:8080";
		grant->services.services_len = 1;
		grant->services.services_val = malloc(sizeof(zx_name));
		grant->services.services_val[0] = service_names[i % SERVICES];
	}
	zr_grant_message_fill_slots(out, bench->escrow, holder);
}

static void take_answer(struct bench *bench, u_int *granted,
			zx_grant_result *answer)
{
	u_int i;

	for (i = 0; i < answer->grants.grants_len; i++) {
		zx_grant *grant = &answer->grants.grants_val[i];
		long place =
			((char *)grant->worker - bench->names[0]) / NAME_BYTES;

		granted[place] = grant->slots;
		free(grant->services.services_val);
	}
	for (i = 0; i < answer->resized.resized_len; i++) {
		zx_held *resized = &answer->resized.resized_val[i];
		long place = ((char *)resized->worker - bench->names[0]) /
			     NAME_BYTES;

		granted[place] = resized->slots;
	}
	free(answer->grants.grants_val);
	free(answer->resized.resized_val);
}

static void list_held(zx_grant_args *out, struct bench *bench,
		      const u_int *granted)
{
	uint32_t i;

	out->held.held_val = calloc(bench->workers, sizeof(zx_held));
	for (i = 0; i < bench->workers && !out->base; i++) {
		zx_held *held = &out->held.held_val[out->held.held_len];

		held->worker = bench->names[i];
		held->slots = granted[i];
		out->held.held_len += granted[i] > 0;
	}
}

static void ask(struct bench *bench, u_int host, u_int number)
{
	char entry[] = {'e', (char)('a' + host), '\0'};
	u_int *granted = bench->granted + (size_t)host * bench->workers;
	zx_demand demand[SERVICES];
	zx_grant_result answer = {0};
	zx_grant_args whole;
	zx_grant_args args = {.entry = entry,
			      .domain = "sapporo",
			      .incarnation = INCARNATION,
			      .sequence = number,
			      .demand = {SERVICES, demand}};
	uint32_t holder;
	u_int i;

	for (i = 0; i < SERVICES; i++)
		demand[i] = (zx_demand){service_names[i], demand_of(bench)};
	args.base = bench->changes_only ? number - 1 : 0;
	list_held(&args, bench, granted);
	if (zr_grant_changes_expand(&whole, bench->changes, &args) < 0 ||
	    zr_grant_message_process(&holder, bench->escrow, &whole,
				     "sapporo") < 0)
		abort();
	fill_answer(&answer, bench, holder);
	zr_grant_changes_reduce(&answer, bench->changes, &args);
	if (number > SETTLE_ASKS) {
		bench->ask_bytes +=
			(double)xdr_sizeof((xdrproc_t)xdr_zx_grant_args, &args);
		bench->answer_bytes += (double)xdr_sizeof(
			(xdrproc_t)xdr_zx_grant_result, &answer);
	}
	take_answer(bench, granted, &answer);
	free(whole.held.held_val);
	free(args.held.held_val);
}

double slots_bytes_at(double *out_ask, uint32_t workers, bool changes_only,
		      bool steady)
{
	const double asks = (double)HOSTS * (ASKS - SETTLE_ASKS);
	struct bench bench = {.workers = workers,
			      .steady = steady,
			      .changes_only = changes_only,
			      .time = fake_time_new()};
	u_int number;
	u_int host;
	uint32_t i;

	srand(1);
	bench.names = calloc(workers, NAME_BYTES);
	bench.granted = calloc((size_t)workers * HOSTS, sizeof(u_int));
	for (i = 0; i < workers; i++)
		snprintf(bench.names[i], NAME_BYTES, "worker-%03u", i);
	if (zr_slot_escrow_new(&bench.escrow, fake_time_clock(bench.time)) <
		    0 ||
	    zr_grant_changes_new(&bench.changes) < 0)
		abort();
	zr_slot_escrow_begin_term(bench.escrow, false);
	for (number = 1; number <= ASKS; number++) {
		for (host = 0; host < HOSTS; host++)
			ask(&bench, host, number);
		fake_time_advance(bench.time, ASK_MS);
	}
	zr_grant_changes_free(bench.changes);
	zr_slot_escrow_free(bench.escrow);
	fake_time_free(bench.time);
	free(bench.names);
	free(bench.granted);
	*out_ask = bench.ask_bytes / asks;
	return bench.answer_bytes / asks;
}

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "capacity/capacity.h"
#include "fakes/fake_time.h"
#include "route/grant_changes.h"
#include "route/grant_message.h"

/*
 * Sizes of grant requests and results between the real slot escrow and entry
 * hosts that hold all slots they were granted. The demand that they report is
 * random in each request or constant.
 */

#define ENTRY_HOSTS 12u
#define SERVICES 4u
#define REQUESTS 100u
#define WARM_UP_REQUESTS 40u
#define REQUEST_INTERVAL_MS 500
#define SLOTS_PER_WORKER 8u
#define NAME_SIZE 32
#define INCARNATION 1
#define DEMAND_MEAN 10u
#define DEMAND_SPREAD 3u

static char service_names[SERVICES][NAME_SIZE] = {
	"face-size-check", "face-type-check", "face-tone-check",
	"face-rank-check"};

/* The slot escrow of a domain, and the sums of the message sizes. */
struct escrow_bench {
	struct fake_time *time;
	struct zr_slot_escrow *escrow;
	struct zr_grant_changes *changes;
	uint32_t worker_count;
	char (*worker_names)[NAME_SIZE];
	bool constant_demand;
	bool incremental;
	double request_bytes;
	double result_bytes;
	/* Slots granted by entry host and worker. */
	u_int *granted;
};

static u_int draw_demand(const struct escrow_bench *bench)
{
	if (bench->constant_demand)
		return DEMAND_MEAN;
	return DEMAND_MEAN - DEMAND_SPREAD +
	       (u_int)rand() % (2 * DEMAND_SPREAD + 1);
}

static void fill_result(zx_grant_result *out, struct escrow_bench *bench,
			uint32_t holder)
{
	uint32_t i;

	out->lease_ms = ZR_GRANT_LEASE_MS;
	out->grants.grants_len = bench->worker_count;
	out->grants.grants_val = calloc(bench->worker_count, sizeof(zx_grant));
	for (i = 0; i < bench->worker_count; i++) {
		zx_grant *grant = &out->grants.grants_val[i];

		zr_slot_escrow_set_capacity(bench->escrow,
					    bench->worker_names[i],
					    SLOTS_PER_WORKER);
		grant->worker = bench->worker_names[i];
		grant->address = "10.20.30.40:8080";
		grant->services.services_len = 1;
		grant->services.services_val = malloc(sizeof(zx_name));
		grant->services.services_val[0] = service_names[i % SERVICES];
	}
	zr_grant_message_fill_slots(out, bench->escrow, holder);
}

static void store_granted(struct escrow_bench *bench, u_int *granted,
			  zx_grant_result *result)
{
	u_int i;

	for (i = 0; i < result->grants.grants_len; i++) {
		zx_grant *grant = &result->grants.grants_val[i];
		long index = ((char *)grant->worker - bench->worker_names[0]) /
			     NAME_SIZE;

		granted[index] = grant->slots;
		free(grant->services.services_val);
	}
	for (i = 0; i < result->resized.resized_len; i++) {
		zx_held *resized = &result->resized.resized_val[i];
		long index =
			((char *)resized->worker - bench->worker_names[0]) /
			NAME_SIZE;

		granted[index] = resized->slots;
	}
	free(result->grants.grants_val);
	free(result->resized.resized_val);
}

static void list_held_slots(zx_grant_args *out, struct escrow_bench *bench,
			    const u_int *granted)
{
	uint32_t i;

	out->held.held_val = calloc(bench->worker_count, sizeof(zx_held));
	for (i = 0; i < bench->worker_count && !out->base; i++) {
		zx_held *held = &out->held.held_val[out->held.held_len];

		held->worker = bench->worker_names[i];
		held->slots = granted[i];
		out->held.held_len += granted[i] > 0;
	}
}

static void send_grant_request(struct escrow_bench *bench, u_int host,
			       u_int sequence)
{
	char entry[] = {'e', (char)('a' + host), '\0'};
	u_int *granted = bench->granted + (size_t)host * bench->worker_count;
	zx_demand demand[SERVICES];
	zx_grant_result result = {0};
	zx_grant_args full;
	zx_grant_args request = {.entry = entry,
				 .domain = "sapporo",
				 .incarnation = INCARNATION,
				 .sequence = sequence,
				 .demand = {SERVICES, demand}};
	uint32_t holder;
	u_int i;

	for (i = 0; i < SERVICES; i++)
		demand[i] = (zx_demand){service_names[i], draw_demand(bench)};
	request.base = bench->incremental ? sequence - 1 : 0;
	list_held_slots(&request, bench, granted);
	if (zr_grant_changes_expand(&full, bench->changes, &request) < 0 ||
	    zr_grant_message_process(&holder, bench->escrow, &full, "sapporo") <
		    0)
		abort();
	fill_result(&result, bench, holder);
	zr_grant_changes_reduce(&result, bench->changes, &request);
	if (sequence > WARM_UP_REQUESTS) {
		bench->request_bytes += (double)xdr_sizeof(
			(xdrproc_t)xdr_zx_grant_args, &request);
		bench->result_bytes += (double)xdr_sizeof(
			(xdrproc_t)xdr_zx_grant_result, &result);
	}
	store_granted(bench, granted, &result);
	free(full.held.held_val);
	free(request.held.held_val);
}

double grant_message_bytes(double *out_request, uint32_t workers,
			   bool incremental, bool constant_demand)
{
	const double request_count =
		(double)ENTRY_HOSTS * (REQUESTS - WARM_UP_REQUESTS);
	struct escrow_bench bench = {.worker_count = workers,
				     .constant_demand = constant_demand,
				     .incremental = incremental,
				     .time = fake_time_new()};
	u_int sequence;
	u_int host;
	uint32_t i;

	srand(1);
	bench.worker_names = calloc(workers, NAME_SIZE);
	bench.granted = calloc((size_t)workers * ENTRY_HOSTS, sizeof(u_int));
	for (i = 0; i < workers; i++)
		snprintf(bench.worker_names[i], NAME_SIZE, "worker-%03u", i);
	if (zr_slot_escrow_new(&bench.escrow, fake_time_clock(bench.time)) <
		    0 ||
	    zr_grant_changes_new(&bench.changes) < 0)
		abort();
	zr_slot_escrow_begin_term(bench.escrow, false);
	for (sequence = 1; sequence <= REQUESTS; sequence++) {
		for (host = 0; host < ENTRY_HOSTS; host++)
			send_grant_request(&bench, host, sequence);
		fake_time_advance(bench.time, REQUEST_INTERVAL_MS);
	}
	zr_grant_changes_free(bench.changes);
	zr_slot_escrow_free(bench.escrow);
	fake_time_free(bench.time);
	free(bench.worker_names);
	free(bench.granted);
	*out_request = bench.request_bytes / request_count;
	return bench.result_bytes / request_count;
}

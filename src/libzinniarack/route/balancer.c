#include "route/private.h"

/* Added to the expected latency of a worker in another failure domain. */
#define SPILL_COST_MS 2.0
/* A worker in another domain is chosen if it is this many times faster. */
#define SPILL_FACTOR 2.0

static bool is_usable(const struct route_worker *worker,
		      const struct route_call *call, struct timespec now)
{
	return !worker->leaving && worker->in_use < worker->slots &&
	       worker->serial != call->avoid_serial &&
	       zr_time_cmp(now, worker->expires_at) < 0 &&
	       route_health_allows(worker, call->idempotent, now);
}

/* Returns the first usable worker at or after a random position. */
static struct route_worker *pick_usable(const struct route_call *call,
					bool local,
					const struct route_worker *excluded,
					struct timespec now)
{
	const struct route_service *service = call->service;
	size_t count = service->worker_count;
	size_t at = (size_t)(route_random(call->router) * (double)count);
	size_t i;

	for (i = 0; i < count; i++) {
		struct route_worker *worker =
			service->workers[(at + i) % count];

		if (worker != excluded && worker->domain->local == local &&
		    is_usable(worker, call, now))
			return worker;
	}
	return NULL;
}

/* Assumes that the latency grows with the fraction of slots in use. */
static double expected_latency_ms(const struct route_service *service,
				  const struct route_worker *worker)
{
	double latency = worker->latency_ms > 0 ? worker->latency_ms
						: service->latency_ms;

	if (latency <= 0)
		latency = 1;
	return latency * (1 + (double)worker->in_use / worker->slots);
}

/*
 * Power of two choices: picks two random workers and returns the one with the
 * lower expected latency. If the first one is due for a trial, it is returned
 * without a comparison.
 */
static struct route_worker *choose_of_two(const struct route_call *call,
					  bool local, struct timespec now)
{
	struct route_worker *a = pick_usable(call, local, NULL, now);
	struct route_worker *b = a ? pick_usable(call, local, a, now) : NULL;

	if (!b || a->health == ROUTE_ON_TRIAL || a->health == ROUTE_EJECTED)
		return a;
	return expected_latency_ms(call->service, a) <=
			       expected_latency_ms(call->service, b)
		       ? a
		       : b;
}

struct route_worker *route_choose_worker(const char **out_reason,
					 const struct route_call *call)
{
	struct timespec now = route_now(call->router);
	struct route_worker *local = choose_of_two(call, true, now);
	struct route_worker *remote = choose_of_two(call, false, now);
	struct route_worker *chosen = local;

	*out_reason = "two_choices";
	if (!local) {
		chosen = remote;
		*out_reason = "spill_no_free_slot";
	} else if (remote &&
		   SPILL_FACTOR * (expected_latency_ms(call->service, remote) +
				   SPILL_COST_MS) <
			   expected_latency_ms(call->service, local)) {
		chosen = remote;
		*out_reason = "spill_faster";
	}
	if (chosen && chosen->health != ROUTE_HEALTHY)
		*out_reason = "trial";
	return chosen;
}

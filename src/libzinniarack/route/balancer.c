#include "route/private.h"

/* What a request to another failure domain costs over one's own. */
#define SPILL_COST_MS 2.0
/* Another domain must be expected to answer so much sooner. */
#define SPILL_FACTOR 2.0

static bool usable(const struct route_worker *worker,
		   const struct route_call *call, struct timespec now)
{
	return !worker->leaving && worker->in_use < worker->slots &&
	       worker->serial != call->avoid &&
	       zr_time_cmp(now, worker->expires) < 0 &&
	       route_healthy(worker, call->idempotent, now);
}

/* The first usable worker at or after a random place of the list. */
static struct route_worker *pick(const struct route_call *call, bool local,
				 const struct route_worker * not,
				 struct timespec now)
{
	const struct route_service *service = call->service;
	size_t count = service->worker_count;
	size_t at = (size_t)(route_random(call->router) * (double)count);
	size_t i;

	for (i = 0; i < count; i++) {
		struct route_worker *worker =
			service->workers[(at + i) % count];

		if (worker != not &&worker->domain->local == local &&
		    usable(worker, call, now))
			return worker;
	}
	return NULL;
}

/* Expected time to answer, in milliseconds. */
static double score(const struct route_service *service,
		    const struct route_worker *worker)
{
	double latency = worker->latency_ms > 0 ? worker->latency_ms
						: service->latency_ms;

	if (latency <= 0)
		latency = 1;
	return latency * (1 + (double)worker->in_use / worker->slots);
}

static struct route_worker *two_choices(const struct route_call *call,
					bool local, struct timespec now)
{
	struct route_worker *a = pick(call, local, NULL, now);
	struct route_worker *b = a ? pick(call, local, a, now) : NULL;

	if (!b || a->health == ROUTE_ON_TRIAL || a->health == ROUTE_EJECTED)
		return a;
	return score(call->service, a) <= score(call->service, b) ? a : b;
}

struct route_worker *route_choose(const char **out_reason,
				  const struct route_call *call)
{
	struct timespec now = route_now(call->router);
	struct route_worker *local = two_choices(call, true, now);
	struct route_worker *remote = two_choices(call, false, now);
	struct route_worker *chosen = local;

	*out_reason = "two_choices";
	if (!local) {
		chosen = remote;
		*out_reason = "spill_no_free_slot";
	} else if (remote && SPILL_FACTOR * (score(call->service, remote) +
					     SPILL_COST_MS) <
				     score(call->service, local)) {
		chosen = remote;
		*out_reason = "spill_faster";
	}
	if (chosen && chosen->health != ROUTE_HEALTHY)
		*out_reason = "trial";
	return chosen;
}

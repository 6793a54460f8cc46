#include "route/private.h"
#include "zinniarack/log.h"

/* A worker is ejected at this many failures in a row or this failure rate. */
#define EJECT_FAILURES 5
#define EJECT_FAILURE_RATE 0.5
/* Weight of a new sample in the moving average of the failure rate. */
#define FAILURE_RATE_WEIGHT 0.1
/* At most this percentage of a domain's workers is ejected, rounded up. */
#define EJECTED_PERCENT_MAX 30
/* Duration of an ejection; doubled with each further one. */
#define EJECT_MS 1000
#define EJECT_MS_MAX 30000
/* Successful trials in a row after which a worker is healthy again. */
#define TRIAL_SUCCESSES 3

bool route_health_allows(const struct route_worker *worker, bool idempotent,
			 struct timespec now)
{
	if (worker->health == ROUTE_HEALTHY)
		return true;
	/* Only a request that may be sent again is used for a trial. */
	return idempotent && !worker->in_use &&
	       zr_time_cmp(now, worker->ejected_until) >= 0;
}

static bool may_eject(const struct zr_router *router,
		      const struct route_domain *domain)
{
	const struct route_worker *worker;
	unsigned int ejected = 0;
	unsigned int total = 0;
	unsigned int max;

	for (worker = router->workers; worker; worker = worker->hh.next) {
		if (worker->domain != domain || !worker->in_last_result)
			continue;
		total++;
		if (worker->health != ROUTE_HEALTHY)
			ejected++;
	}
	max = (total * EJECTED_PERCENT_MAX + 99) / 100;
	return total > 1 && ejected < max;
}

static void eject(struct zr_router *router, struct route_worker *worker,
		  const char *reason)
{
	unsigned int ms = EJECT_MS;
	unsigned int i;

	for (i = 0; i < worker->ejections && ms < EJECT_MS_MAX; i++)
		ms *= 2;
	worker->ejections++;
	worker->health = ROUTE_EJECTED;
	worker->trial_successes = 0;
	worker->ejected_until = zr_time_add_ms(
		route_now(router), ms < EJECT_MS_MAX ? ms : EJECT_MS_MAX);
	router->ejected_total->value++;
	route_report_decision(router, "eject", "", NULL, worker, reason);
}

void route_health_record_failure(struct zr_router *router,
				 struct route_worker *worker)
{
	worker->failures_in_a_row++;
	worker->failure_rate +=
		FAILURE_RATE_WEIGHT * (1 - worker->failure_rate);
	/* During an ejection, only attempts sent before it can fail. */
	if (!router->options.outlier_ejection || router->freeing ||
	    worker->health == ROUTE_EJECTED)
		return;
	if (worker->health == ROUTE_ON_TRIAL) {
		eject(router, worker, "trial_failed");
		return;
	}
	if (worker->failures_in_a_row < EJECT_FAILURES &&
	    worker->failure_rate < EJECT_FAILURE_RATE)
		return;
	if (may_eject(router, worker->domain))
		eject(router, worker,
		      worker->failures_in_a_row < EJECT_FAILURES
			      ? "failure_rate"
			      : "failures_in_a_row");
}

void route_health_record_success(struct zr_router *router,
				 struct route_worker *worker)
{
	worker->failures_in_a_row = 0;
	worker->failure_rate -= FAILURE_RATE_WEIGHT * worker->failure_rate;
	if (worker->health != ROUTE_ON_TRIAL)
		return;
	if (++worker->trial_successes < TRIAL_SUCCESSES)
		return;
	worker->health = ROUTE_HEALTHY;
	worker->ejections = 0;
	worker->failure_rate = 0;
	route_report_decision(router, "reinstate", "", NULL, worker,
			      "trials_passed");
}

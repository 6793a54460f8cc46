#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "route/private.h"
#include "zinniarack/errors.h"

#define WAITING_MAX 1024
/* Without a slot: until others have given some back and an ask has got them. */
#define GRANT_WAIT_MS 1000
#define RETRY_AFTER_MS_MIN 50
#define RETRY_AFTER_MS_MAX 10000
/* How far above its mean a latency is to be expected. */
#define DEVIATIONS 2.0

double route_expected_ms(const struct route_service *service)
{
	return service->latency_ms + DEVIATIONS * service->deviation_ms;
}

static double remaining_ms(const struct route_call *call)
{
	return (double)zr_time_diff_ms(call->deadline, route_now(call->router));
}

/* Teams */

static struct route_team *get_team(struct route_service *service,
				   const struct route_call *call)
{
	struct route_team *team;

	DL_FOREACH(service->teams, team)
	{
		if (!strcmp(team->name, call->team_name))
			break;
	}
	if (!team) {
		team = calloc(1, sizeof(*team));
		if (!team)
			abort();
		snprintf(team->name, sizeof(team->name), "%s", call->team_name);
		DL_APPEND(service->teams, team);
	}
	team->share = call->share ? call->share : 1;
	/* A team that was away does not come back with a claim. */
	if (!team->count && team->served < service->served_floor)
		team->served = service->served_floor;
	return team;
}

static void insert(struct route_team *team, struct route_call *call)
{
	struct route_call *before;

	DL_FOREACH(team->calls, before)
	{
		if (before->worth < call->worth)
			break;
	}
	if (before)
		DL_PREPEND_ELEM(team->calls, before, call);
	else
		DL_APPEND(team->calls, call);
	call->team = team;
	team->count++;
	call->service->waiting++;
	call->router->waiting++;
}

void route_queue_remove(struct route_call *call)
{
	struct route_team *team = call->team;

	if (!team)
		return;
	DL_DELETE(team->calls, call);
	call->team = NULL;
	team->count--;
	call->service->waiting--;
	call->router->waiting--;
}

void route_queue_free(struct route_service *service)
{
	struct route_team *team;
	struct route_team *next;

	DL_FOREACH_SAFE(service->teams, team, next)
	{
		DL_DELETE(service->teams, team);
		free(team);
	}
}

/* Admission */

static double wait_per_call(const struct zr_router *router,
			    const struct route_service *service)
{
	uint32_t slots = route_service_slots(service, route_now(router));

	if (!slots)
		return GRANT_WAIT_MS + service->latency_ms;
	return service->latency_ms / slots;
}

/* Requests served before one at this place of its team's queue. */
static double calls_before(const struct route_service *service,
			   const struct route_team *own, unsigned int place)
{
	const struct route_team *team;
	double before = place;

	DL_FOREACH(service->teams, team)
	{
		double most = (double)(place + 1) * team->share / own->share;

		if (team != own)
			before += team->count < most ? team->count : most;
	}
	return before;
}

static bool in_time(const struct route_call *call,
		    const struct route_team *team, unsigned int place,
		    unsigned int slack, double wait_ms)
{
	const struct route_service *service = call->service;
	double wait = (calls_before(service, team, place) + slack) * wait_ms;

	return wait + route_expected_ms(service) < remaining_ms(call);
}

unsigned int route_queue_retry_after(struct zr_router *router,
				     const struct route_service *service)
{
	double ms = service->waiting * wait_per_call(router, service) +
		    service->latency_ms;

	if (ms < RETRY_AFTER_MS_MIN)
		ms = RETRY_AFTER_MS_MIN;
	if (ms > RETRY_AFTER_MS_MAX)
		ms = RETRY_AFTER_MS_MAX;
	/* Spread, so that those refused together do not come back together. */
	return (unsigned int)(ms * (1 + route_random(router)));
}

/*
 * Refuses what cannot be answered in time. A newcomer (@slack 1) must allow for
 * one that has just begun; what waits has seen it go on.
 */
static void refuse_late(const struct zr_router *router,
			const struct route_service *service,
			struct route_team *team, unsigned int slack)
{
	double wait_ms = wait_per_call(router, service);
	struct route_call *call;
	struct route_call *next;
	unsigned int place = 0;

	DL_FOREACH_SAFE(team->calls, call, next)
	{
		if (in_time(call, team, place, slack, wait_ms))
			place++;
		else
			route_call_refuse(call, ZR_E_OVERLOADED, "not_in_time");
	}
}

/* The team that has most waiting for its share. */
static struct route_team *longest(const struct route_service *service)
{
	struct route_team *best = NULL;
	struct route_team *team;

	DL_FOREACH(service->teams, team)
	{
		if (!best || (uint64_t)team->count * best->share >
				     (uint64_t)best->count * team->share)
			best = team;
	}
	return best;
}

void route_queue_add(struct route_call *call)
{
	struct route_service *service = call->service;
	struct zr_router *router = call->router;
	struct route_team *team = get_team(service, call);

	route_unmet(service);
	if (!route_service_granted(service, route_now(router))) {
		route_call_refuse(call, ZR_E_OVERLOADED, "grants_lapsed");
		return;
	}
	insert(team, call);
	route_decided(router, "wait", call->id, service, NULL, "no_free_slot");
	if (service->waiting > WAITING_MAX)
		route_call_refuse(longest(service)->calls->prev,
				  ZR_E_OVERLOADED, "queue_full");
	if (router->options.admission)
		refuse_late(router, service, team, 1);
}

/* Service */

static struct route_team *next_team(const struct route_service *service)
{
	struct route_team *best = NULL;
	struct route_team *team;

	DL_FOREACH(service->teams, team)
	{
		if (team->count && (!best || team->served < best->served))
			best = team;
	}
	return best;
}

void route_queue_pump(struct zr_router *router, struct route_service *service)
{
	struct route_worker *worker;
	struct route_call *call;
	struct route_team *team;
	const char *reason;

	while (!router->freeing && (team = next_team(service))) {
		call = team->calls;
		worker = route_choose(&reason, call);
		if (!worker)
			return;
		service->served_floor = team->served;
		team->served += 1.0 / team->share;
		route_queue_remove(call);
		route_call_start(call, worker, reason);
	}
}

void route_queue_pump_worker(struct zr_router *router,
			     const struct route_worker *worker)
{
	struct route_service *service;
	size_t i;

	if (!router->waiting)
		return;
	for (i = 0; i < worker->service_count; i++) {
		service = route_service_find(router, worker->services[i]);
		if (service && service->waiting)
			route_queue_pump(router, service);
	}
}

static void expire_all(struct route_team *team)
{
	struct route_call *call;
	struct route_call *next;

	DL_FOREACH_SAFE(team->calls, call, next)
	{
		if (remaining_ms(call) <= 0)
			route_call_refuse(call, ZR_E_OVERLOADED, "not_in_time");
	}
}

void route_queue_tick(struct zr_router *router)
{
	struct route_service *service;
	struct route_team *team;

	if (!router->waiting)
		return;
	for (service = router->services; service; service = service->hh.next) {
		route_queue_pump(router, service);
		DL_FOREACH(service->teams, team)
		{
			if (router->options.admission)
				refuse_late(router, service, team, 0);
			else
				expire_all(team);
		}
	}
}

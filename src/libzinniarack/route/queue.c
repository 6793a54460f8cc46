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
/*
 * Part of the time left that a newcomer's expected answer may take. The rest
 * covers what the estimate does not see: a queue filled up to its deadlines
 * turns each small delay into an answer that comes too late.
 */
#define ADMITTED_PART 0.6

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

/* Puts a request behind those of no less worth; returns its place. */
static unsigned int insert(struct route_team *team, struct route_call *call)
{
	unsigned int place = team->count;
	struct route_call *after = team->calls ? team->calls->prev : NULL;

	while (after && place && after->worth < call->worth) {
		after = after->prev;
		place--;
	}
	if (after && place)
		DL_APPEND_ELEM(team->calls, after, call);
	else
		DL_PREPEND(team->calls, call);
	call->team = team;
	team->count++;
	call->service->waiting++;
	call->router->waiting++;
	return place;
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

/* Time until so many requests have got a slot. */
static double wait_of(const struct route_service *service, double calls)
{
	if (!service->usable)
		return GRANT_WAIT_MS + calls * service->latency_ms;
	return calls * service->latency_ms / service->usable;
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
		    double part)
{
	const struct route_service *service = call->service;
	double wait = wait_of(service, calls_before(service, team, place));

	return wait + route_expected_ms(service) < part * remaining_ms(call);
}

unsigned int route_queue_retry_after(struct zr_router *router,
				     const struct route_service *service)
{
	double ms = wait_of(service, service->waiting) + service->latency_ms;

	if (ms < RETRY_AFTER_MS_MIN)
		ms = RETRY_AFTER_MS_MIN;
	if (ms > RETRY_AFTER_MS_MAX)
		ms = RETRY_AFTER_MS_MAX;
	/* Spread, so that those refused together do not come back together. */
	return (unsigned int)(ms * (1 + route_random(router)));
}

static void refuse_late(struct route_team *team)
{
	struct route_call *call;
	struct route_call *next;
	unsigned int place = 0;

	DL_FOREACH_SAFE(team->calls, call, next)
	{
		if (in_time(call, team, place, 1))
			place++;
		else
			route_call_refuse(call, ZR_E_OVERLOADED, "not_in_time");
	}
}

/*
 * Admits a request that has been put in its place, or refuses it. It allows for
 * one request that has just begun. Then the last of its team may be too late.
 */
static void admit(struct route_call *call, unsigned int place)
{
	struct route_team *team = call->team;
	struct route_call *last;

	if (!in_time(call, team, place + 1, ADMITTED_PART)) {
		route_call_refuse(call, ZR_E_OVERLOADED, "not_in_time");
		return;
	}
	last = team->calls->prev;
	if (last != call && !in_time(last, team, team->count - 1, 1))
		route_call_refuse(last, ZR_E_OVERLOADED, "not_in_time");
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
	unsigned int place;

	route_unmet(service);
	if (!route_service_granted(service, route_now(router))) {
		route_call_refuse(call, ZR_E_OVERLOADED, "grants_lapsed");
		return;
	}
	place = insert(team, call);
	route_decided(router, "wait", call->id, service, NULL, "no_free_slot");
	if (service->waiting > WAITING_MAX)
		route_call_refuse(longest(service)->calls->prev,
				  ZR_E_OVERLOADED, "queue_full");
	else if (router->options.admission_control)
		admit(call, place);
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
		if (router->options.admission_control &&
		    remaining_ms(call) < route_expected_ms(service)) {
			route_call_refuse(call, ZR_E_OVERLOADED, "not_in_time");
			continue;
		}
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
		route_service_count(service, route_now(router));
		route_queue_pump(router, service);
		DL_FOREACH(service->teams, team)
		{
			if (router->options.admission_control)
				refuse_late(team);
			else
				expire_all(team);
		}
	}
}

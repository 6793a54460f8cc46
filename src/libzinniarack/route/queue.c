#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "route/private.h"
#include "zinniarack/errors.h"

/* Maximum number of waiting requests per service. */
#define WAITING_CALLS_MAX 1024
/*
 * Expected wait while the service has no slot: until other entry daemons have
 * released slots and the scheduler has granted them to this one.
 */
#define GRANT_WAIT_MS 1000
#define RETRY_AFTER_MS_MIN 50
#define RETRY_AFTER_MS_MAX 10000
/* Number of deviations added to the mean latency for an upper estimate. */
#define LATENCY_DEVIATIONS 2.0
/*
 * A new request is admitted if its response is expected within this fraction of
 * its remaining time. In a queue filled up to the deadlines, any small delay
 * that the estimate doesn't include would make responses late.
 */
#define ADMISSION_TIME_FRACTION 0.6

double route_expected_ms(const struct route_service *service)
{
	return service->latency_ms + LATENCY_DEVIATIONS * service->deviation_ms;
}

static double remaining_ms(const struct route_call *call)
{
	return (double)zr_time_diff_ms(call->deadline, route_now(call->router));
}

/* Teams */

static struct route_team *get_or_add_team(struct route_service *service,
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
	/* An idle team gets no credit for the time in which it sent nothing. */
	if (!team->call_count && team->virtual_time < service->virtual_time)
		team->virtual_time = service->virtual_time;
	return team;
}

/*
 * Inserts a request behind those of the same or a higher priority. Returns its
 * position in its team's queue.
 */
static unsigned int insert(struct route_team *team, struct route_call *call)
{
	unsigned int position = team->call_count;
	struct route_call *after = team->calls ? team->calls->prev : NULL;

	while (after && position && after->worth < call->worth) {
		after = after->prev;
		position--;
	}
	if (after && position)
		DL_APPEND_ELEM(team->calls, after, call);
	else
		DL_PREPEND(team->calls, call);
	call->team = team;
	team->call_count++;
	call->service->waiting_calls++;
	call->router->waiting_calls++;
	return position;
}

void route_queue_remove(struct route_call *call)
{
	struct route_team *team = call->team;

	if (!team)
		return;
	DL_DELETE(team->calls, call);
	call->team = NULL;
	team->call_count--;
	call->service->waiting_calls--;
	call->router->waiting_calls--;
}

void route_queue_free_teams(struct route_service *service)
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

/* Returns the expected time until this number of requests have got a slot. */
static double expected_wait_ms(const struct route_service *service,
			       double calls)
{
	if (!service->usable_slots)
		return GRANT_WAIT_MS + calls * service->latency_ms;
	return calls * service->latency_ms / service->usable_slots;
}

/*
 * Returns how many requests are served before the one at this position of its
 * team's queue: other teams are served in proportion to their shares.
 */
static double count_calls_ahead(const struct route_service *service,
				const struct route_team *own,
				unsigned int position)
{
	const struct route_team *team;
	double ahead = position;

	DL_FOREACH(service->teams, team)
	{
		double max = (double)(position + 1) * team->share / own->share;

		if (team != own)
			ahead +=
				team->call_count < max ? team->call_count : max;
	}
	return ahead;
}

/*
 * Returns whether the response to a request at this position is expected within
 * a fraction of its remaining time.
 */
static bool meets_deadline(const struct route_call *call,
			   const struct route_team *team, unsigned int position,
			   double time_fraction)
{
	const struct route_service *service = call->service;
	double wait = expected_wait_ms(
		service, count_calls_ahead(service, team, position));

	return wait + route_expected_ms(service) <
	       time_fraction * remaining_ms(call);
}

unsigned int route_queue_retry_after_ms(struct zr_router *router,
					const struct route_service *service)
{
	double ms = expected_wait_ms(service, service->waiting_calls) +
		    service->latency_ms;

	if (ms < RETRY_AFTER_MS_MIN)
		ms = RETRY_AFTER_MS_MIN;
	if (ms > RETRY_AFTER_MS_MAX)
		ms = RETRY_AFTER_MS_MAX;
	/* Jitter, so that callers refused together don't retry together. */
	return (unsigned int)(ms * (1 + route_random(router)));
}

/* Refuses the waiting requests that are expected to miss their deadlines. */
static void refuse_late(struct route_team *team)
{
	struct route_call *call;
	struct route_call *next;
	unsigned int position = 0;

	DL_FOREACH_SAFE(team->calls, call, next)
	{
		if (meets_deadline(call, team, position, 1))
			position++;
		else
			route_call_refuse(call, ZR_E_OVERLOADED, "not_in_time");
	}
}

/*
 * Refuses a request that was just inserted at this position if it would miss
 * its deadline. The estimate counts one more request ahead of it, which a
 * worker may have just started. If the request is kept, the last one of the
 * team's queue is refused if it would miss its deadline now.
 */
static void admit(struct route_call *call, unsigned int position)
{
	struct route_team *team = call->team;
	struct route_call *last;

	if (!meets_deadline(call, team, position + 1,
			    ADMISSION_TIME_FRACTION)) {
		route_call_refuse(call, ZR_E_OVERLOADED, "not_in_time");
		return;
	}
	last = team->calls->prev;
	if (last != call &&
	    !meets_deadline(last, team, team->call_count - 1, 1))
		route_call_refuse(last, ZR_E_OVERLOADED, "not_in_time");
}

/* Returns the team with the most waiting requests relative to its share. */
static struct route_team *
find_longest_queue(const struct route_service *service)
{
	struct route_team *best = NULL;
	struct route_team *team;

	DL_FOREACH(service->teams, team)
	{
		if (!best || (uint64_t)team->call_count * best->share >
				     (uint64_t)best->call_count * team->share)
			best = team;
	}
	return best;
}

void route_queue_add(struct route_call *call)
{
	struct route_service *service = call->service;
	struct zr_router *router = call->router;
	struct route_team *team = get_or_add_team(service, call);
	unsigned int position;

	route_service_add_unmet(service);
	if (!route_service_has_grant(service, route_now(router))) {
		route_call_refuse(call, ZR_E_OVERLOADED, "grants_lapsed");
		return;
	}
	position = insert(team, call);
	route_report_decision(router, "wait", call->id, service, NULL,
			      "no_free_slot");
	if (service->waiting_calls > WAITING_CALLS_MAX)
		route_call_refuse(find_longest_queue(service)->calls->prev,
				  ZR_E_OVERLOADED, "queue_full");
	else if (router->options.admission_control)
		admit(call, position);
}

/* Dispatch */

/* Returns the team to serve next, or NULL if no request waits. */
static struct route_team *find_next_team(const struct route_service *service)
{
	struct route_team *best = NULL;
	struct route_team *team;

	DL_FOREACH(service->teams, team)
	{
		if (team->call_count &&
		    (!best || team->virtual_time < best->virtual_time))
			best = team;
	}
	return best;
}

void route_queue_dispatch(struct zr_router *router,
			  struct route_service *service)
{
	struct route_worker *worker;
	struct route_call *call;
	struct route_team *team;
	const char *reason;

	while (!router->freeing && (team = find_next_team(service))) {
		call = team->calls;
		if (router->options.admission_control &&
		    remaining_ms(call) < route_expected_ms(service)) {
			route_call_refuse(call, ZR_E_OVERLOADED, "not_in_time");
			continue;
		}
		worker = route_choose_worker(&reason, call);
		if (!worker)
			return;
		service->virtual_time = team->virtual_time;
		team->virtual_time += 1.0 / team->share;
		route_queue_remove(call);
		route_call_start(call, worker, reason);
	}
}

void route_queue_dispatch_worker(struct zr_router *router,
				 const struct route_worker *worker)
{
	struct route_service *service;
	size_t i;

	if (!router->waiting_calls)
		return;
	for (i = 0; i < worker->service_count; i++) {
		service = route_service_find(router, worker->services[i]);
		if (service && service->waiting_calls)
			route_queue_dispatch(router, service);
	}
}

/* Refuses the waiting requests whose deadline has passed. */
static void refuse_expired(struct route_team *team)
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

	if (!router->waiting_calls)
		return;
	for (service = router->services; service; service = service->hh.next) {
		route_service_update_usable_slots(service, route_now(router));
		route_queue_dispatch(router, service);
		DL_FOREACH(service->teams, team)
		{
			if (router->options.admission_control)
				refuse_late(team);
			else
				refuse_expired(team);
		}
	}
}

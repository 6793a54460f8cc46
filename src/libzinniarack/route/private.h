#ifndef ZR_ROUTE_PRIVATE_H
#define ZR_ROUTE_PRIVATE_H

#include <uthash.h>

#include "route/router.h"

/**
 * DOC: Internals of the router
 *
 * router.c: construction, metrics and the decision log. grants.c: grant
 * requests and results, with the workers and services that they name.
 * balancer.c: choice of a worker. health.c: ejection of workers whose attempts
 * fail. calls.c: requests, attempts and retries. queue.c: requests that wait
 * for a slot. retry_budget.c: limit on the number of retries.
 *
 * A request is sent to a worker in one or more attempts. Each attempt occupies
 * one slot of its worker.
 */

#define ROUTE_KEY_MAX (3 * ZR_NAME_MAX)

/**
 * struct route_domain - a failure domain whose scheduler grants slots
 * @prev: previous domain
 * @next: next domain
 * @name: name of the domain
 * @local: whether the entry daemon is in this domain
 * @epoch: highest fencing token seen in a result; older results are ignored
 * @sequence: sequence number of the last grant request
 * @base_sequence: sequence number of the request whose result is applied; 0:
 *	the next request lists all held slots
 * @request_is_incremental: whether the last request listed changes only
 * @request_in_flight: whether the last request has no result yet
 */
struct route_domain {
	struct route_domain *prev;
	struct route_domain *next;
	char name[ZR_NAME_MAX];
	bool local;
	uint64_t epoch;
	uint64_t sequence;
	uint64_t base_sequence;
	bool request_is_incremental;
	bool request_in_flight;
};

/**
 * enum route_health - state of a worker's circuit breaker
 *
 * A trial is an attempt that tests whether an ejected worker has recovered.
 */
enum route_health {
	ROUTE_HEALTHY,
	ROUTE_EJECTED,	/* gets no attempt until its ejection has ended */
	ROUTE_ON_TRIAL, /* gets one trial at a time */
};

/**
 * struct route_worker - a worker on which slots were granted
 * @hh: entry of the router's table
 * @key: failure domain, name and address
 * @serial: unique number of this record; never reused, unlike @key
 * @name: name of its host
 * @domain: its failure domain
 * @client: client that sends attempts to the worker
 * @services: names of the services that run on it
 * @service_count: number of @services
 * @slots: granted slots that may be used
 * @in_use: slots occupied by attempts; may exceed @slots after a reduction
 * @expires_at: end of the lease of the grant
 * @reported_slots: slots reported as held in the last grant request
 * @granted_slots: slots in the last result that listed it
 * @in_last_result: whether the last result listed it
 * @leaving: its host is being drained; it gets no further attempt
 * @latency_ms: moving average of its response times; 0: none known
 * @health: state of its circuit breaker
 * @failures_in_a_row: failed attempts since the last success
 * @failure_rate: moving average, 0 to 1
 * @ejections: number of ejections since it was last reinstated
 * @trial_successes: successful attempts in a row on trial
 * @ejected_until: end of the last ejection
 */
struct route_worker {
	UT_hash_handle hh;
	char key[ROUTE_KEY_MAX];
	uint32_t serial;
	char name[ZR_NAME_MAX];
	struct route_domain *domain;
	struct zr_worker_client client;
	char (*services)[ZR_NAME_MAX];
	size_t service_count;
	uint32_t slots;
	uint32_t in_use;
	struct timespec expires_at;
	uint32_t reported_slots;
	uint32_t granted_slots;
	bool in_last_result;
	bool leaving;
	double latency_ms;
	enum route_health health;
	unsigned int failures_in_a_row;
	double failure_rate;
	unsigned int ejections;
	unsigned int trial_successes;
	struct timespec ejected_until;
};

/**
 * struct route_domain_usage - one service's use of slots in one failure domain
 * @next: usage in the next domain
 * @domain: the failure domain
 * @in_use: slots in use now
 * @peak_in_use: maximum of @in_use since the last grant request
 * @unmet: requests that found no free slot since the last grant request
 */
struct route_domain_usage {
	struct route_domain_usage *next;
	struct route_domain *domain;
	uint32_t in_use;
	uint32_t peak_in_use;
	uint32_t unmet;
};

struct route_call;

/**
 * struct route_team - queue of one team's requests for one service
 * @prev: previous team
 * @next: next team
 * @name: name of the team
 * @share: weight of the team
 * @virtual_time: for weighted fair queueing: grows by 1 / @share with each
 *	request sent; the team with the lowest value is served next
 * @calls: waiting requests, highest priority first
 * @call_count: number of @calls
 */
struct route_team {
	struct route_team *prev;
	struct route_team *next;
	char name[ZR_NAME_MAX];
	uint32_t share;
	double virtual_time;
	struct route_call *calls;
	unsigned int call_count;
};

/**
 * struct route_service - a service that runs on workers with granted slots
 * @hh: entry of the router's table
 * @name: name of the service
 * @workers: workers that it runs on
 * @worker_count: number of @workers
 * @usable_slots: granted slots on its healthy workers
 * @domain_usage: use of slots, by failure domain
 * @latency_ms: moving average of its response times; 0: none known
 * @deviation_ms: moving average of their absolute deviation
 * @ref_count: requests and attempts that point to it
 * @teams: queues of waiting requests, by team
 * @waiting_calls: waiting requests of all teams
 * @virtual_time: virtual time of the team that was served last
 */
struct route_service {
	UT_hash_handle hh;
	char name[ZR_NAME_MAX];
	struct route_worker **workers;
	size_t worker_count;
	uint32_t usable_slots;
	struct route_domain_usage *domain_usage;
	double latency_ms;
	double deviation_ms;
	unsigned int ref_count;
	struct route_team *teams;
	unsigned int waiting_calls;
	double virtual_time;
};

/**
 * struct route_call - a request in progress
 * @prev: previous request of the team's queue
 * @next: next request of the team's queue
 * @router: the router
 * @handle: handle of the request, for zr_router_cancel()
 * @service: service that the request is for
 * @team: the queue that it waits in; NULL while it doesn't wait
 * @id: id of the request
 * @team_name: name of the team that sent the request
 * @share: weight of the team
 * @worth: priority of the request within its team, higher first
 * @body: body of the request
 * @length: bytes of @body
 * @deadline: when the caller no longer needs a response
 * @idempotent: whether the request may be sent again after an attempt with
 *	unknown outcome
 * @attempts: number of attempts so far
 * @may_have_run: whether an attempt's outcome is unknown
 * @avoid_serial: serial number of the worker on which the last attempt failed;
 *	0: none
 * @retry_timer: starts the next attempt
 * @done: called with the response
 * @ctx: passed to @done
 */
struct route_call {
	struct route_call *prev;
	struct route_call *next;
	struct zr_router *router;
	zr_handle handle;
	struct route_service *service;
	struct route_team *team;
	char id[ZR_ROUTE_ID_MAX];
	char team_name[ZR_NAME_MAX];
	uint32_t share;
	uint32_t worth;
	char *body;
	size_t length;
	struct timespec deadline;
	bool idempotent;
	unsigned int attempts;
	bool may_have_run;
	uint32_t avoid_serial;
	struct zr_timer *retry_timer;
	zr_route_done_fn done;
	void *ctx;
};

struct route_retry_budget;
struct route_attempt;

/**
 * struct zr_router - the router
 * @options: its options
 * @random_state: state of route_random()
 * @last_serial: last serial number given to a worker
 * @freeing: whether the router is being freed: nothing is sent or retried
 * @leaving: whether the router returns its slots and ignores further grants
 * @domains: failure domains whose schedulers it requests grants from
 * @workers: workers, by key
 * @services: services, by name
 * @calls: requests in progress, by handle
 * @budgets: retry budgets, by team and service
 * @held_attempts: failed attempts whose slot is held until their deadline
 * @tick: timer of route_queue_tick()
 * @waiting_calls: requests that wait for a slot
 * @active_attempts: attempts that occupy a slot
 * @sent_total: counter of attempts sent
 * @refused_total: counter of requests that were refused and did not run
 * @unknown_total: counter of requests whose outcome is unknown
 * @mismatched_total: counter of responses that were invalid or had the id of
 *	another attempt
 * @retried_total: counter of attempts after a request's first
 * @ejected_total: counter of ejections of workers
 */
struct zr_router {
	struct zr_router_options options;
	uint64_t random_state;
	uint32_t last_serial;
	bool freeing;
	bool leaving;
	struct route_domain *domains;
	struct route_worker *workers;
	struct route_service *services;
	struct zr_table *calls;
	struct route_retry_budget *budgets;
	struct route_attempt *held_attempts;
	struct zr_timer *tick;
	unsigned int waiting_calls;
	unsigned int active_attempts;
	struct zr_metric *sent_total;
	struct zr_metric *refused_total;
	struct zr_metric *unknown_total;
	struct zr_metric *mismatched_total;
	struct zr_metric *retried_total;
	struct zr_metric *ejected_total;
};

/* router.c */

struct timespec route_now(const struct zr_router *router);

/** route_random() - a random number, uniform in [0, 1) */
double route_random(struct zr_router *router);

/**
 * route_report_decision() - report a decision to the callback in the options
 * @router: the router
 * @action: see struct zr_route_decision
 * @request: id of the request, or ""
 * @service: the service, or NULL
 * @worker: the worker, or NULL
 * @reason: reason of the decision
 */
void route_report_decision(struct zr_router *router, const char *action,
			   const char *request,
			   const struct route_service *service,
			   const struct route_worker *worker,
			   const char *reason);

/* grants.c */

struct route_service *route_service_find(const struct zr_router *router,
					 const char *name);

/** Recomputes the number of granted slots on the service's healthy workers. */
void route_service_update_usable_slots(struct route_service *service,
				       struct timespec now);

/** Returns whether any grant for the service is valid, even one of 0 slots. */
bool route_service_has_grant(const struct route_service *service,
			     struct timespec now);

struct route_domain_usage *route_usage_get_or_add(struct route_service *service,
						  struct route_domain *domain);

/** Counts a request that found no free slot, in every failure domain. */
void route_service_add_unmet(struct route_service *service);

void route_workers_free(struct zr_router *router);

/** Frees the services and the failure domains. */
void route_services_free(struct zr_router *router);

/* balancer.c */

/**
 * route_choose_worker() - choose a worker for a request
 * @out_reason: reason of the choice, for the decision log
 * @call: the request
 *
 * Return: the worker, or NULL when no granted slot is free.
 */
struct route_worker *route_choose_worker(const char **out_reason,
					 const struct route_call *call);

/* health.c */

/** Returns whether a worker's health allows an attempt to be sent to it. */
bool route_health_allows(const struct route_worker *worker, bool idempotent,
			 struct timespec now);

void route_health_record_success(struct zr_router *router,
				 struct route_worker *worker);
void route_health_record_failure(struct zr_router *router,
				 struct route_worker *worker);

/* calls.c */

/** Sends the next attempt of a request; @reason is for the decision log. */
void route_call_start(struct route_call *call, struct route_worker *worker,
		      const char *reason);

/**
 * route_call_refuse() - end a request with an error
 * @call: the request; freed
 * @error: reported unless an earlier attempt may have run, in which case the
 *	outcome is reported as unknown
 * @reason: for the decision log
 */
void route_call_refuse(struct route_call *call, int error, const char *reason);

/** Frees the failed attempts whose slots are still held. */
void route_attempts_free(struct zr_router *router);

/* queue.c */

/** Queues a request, or refuses it if it would miss its deadline. */
void route_queue_add(struct route_call *call);

/** Removes a request from its queue, if it is in one. */
void route_queue_remove(struct route_call *call);

/** Sends waiting requests of the service while slots are free. */
void route_queue_dispatch(struct zr_router *router,
			  struct route_service *service);

/** Sends waiting requests of every service that runs on the worker. */
void route_queue_dispatch_worker(struct zr_router *router,
				 const struct route_worker *worker);

/** Sends what can be sent and refuses requests that would miss a deadline. */
void route_queue_tick(struct zr_router *router);

/** Returns the time in ms after which a refused caller should try again. */
unsigned int route_queue_retry_after_ms(struct zr_router *router,
					const struct route_service *service);

/** Returns an upper estimate of the service's response time in ms. */
double route_expected_ms(const struct route_service *service);

/** Frees the team queues of a service; they must be empty. */
void route_queue_free_teams(struct route_service *service);

/* retry_budget.c */

/** Adds the allowance for one new request to its team's budget. */
void route_retry_budget_deposit(struct zr_router *router,
				const struct route_call *call);

/** Takes one retry from the budget; returns false if none is left. */
bool route_retry_budget_withdraw(struct zr_router *router,
				 const struct route_call *call);

void route_retry_budgets_free(struct zr_router *router);

#endif

#ifndef ZR_ROUTE_PRIVATE_H
#define ZR_ROUTE_PRIVATE_H

#include <uthash.h>

#include "route/router.h"

/**
 * DOC: What the files of the router share
 *
 * router.c: life of a router. grants.c: workers, services, grants, asks.
 * balancer.c: which worker. health.c: ejection by outcome. calls.c: requests,
 * tries, retries. queue.c: requests that wait for a slot. retry_budget.c: how
 * many retries.
 */

#define ROUTE_KEY_MAX (3 * ZR_NAME_MAX)

struct route_domain {
	struct route_domain *prev;
	struct route_domain *next;
	char name[ZR_NAME_MAX];
	bool local;
	uint64_t epoch;
	uint64_t sequence;
	/* Sequence of the ask whose answer holds; 0: the next lists all. */
	uint64_t base;
	/* The open ask lists changes only. */
	bool ask_reduced;
	bool ask_open;
};

enum route_health {
	ROUTE_HEALTHY,
	ROUTE_EJECTED,
	ROUTE_ON_TRIAL, /* one try at a time, to see whether it is well */
};

struct route_worker {
	UT_hash_handle hh;
	char key[ROUTE_KEY_MAX];
	uint32_t serial;
	char name[ZR_NAME_MAX];
	struct route_domain *domain;
	struct zr_worker_client peer;
	char (*services)[ZR_NAME_MAX];
	size_t service_count;
	uint32_t slots;
	uint32_t in_use;
	struct timespec expires;
	/* Slots named in the last ask as held. */
	uint32_t reported;
	/* Slots in the last answer that named it. */
	uint32_t granted;
	bool named;
	bool leaving;
	double latency_ms;
	enum route_health health;
	unsigned int failures;
	double failure_rate;
	unsigned int ejections;
	unsigned int trial_successes;
	struct timespec ejected_until;
};

/* Slots of one failure domain that one service uses. */
struct route_use {
	struct route_use *next;
	struct route_domain *domain;
	uint32_t in_use;
	uint32_t peak;
	uint32_t unmet;
};

struct route_call;

/* Requests of one team that wait for a slot of one service. */
struct route_team {
	struct route_team *prev;
	struct route_team *next;
	char name[ZR_NAME_MAX];
	uint32_t share;
	double served;
	struct route_call *calls;
	unsigned int count;
};

struct route_service {
	UT_hash_handle hh;
	char name[ZR_NAME_MAX];
	struct route_worker **workers;
	size_t worker_count;
	uint32_t usable;
	struct route_use *uses;
	double latency_ms;
	double deviation_ms;
	unsigned int calls;
	struct route_team *teams;
	unsigned int waiting;
	double served_floor;
};

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
	unsigned int tries;
	bool may_have_run;
	uint32_t avoid;
	struct zr_timer *retry;
	zr_route_done_fn done;
	void *ctx;
};

struct route_budget;
struct route_try;

struct zr_router {
	struct zr_router_options options;
	uint64_t random;
	uint32_t last_serial;
	bool freeing;
	bool leaving;
	struct route_domain *domains;
	struct route_worker *workers;
	struct route_service *services;
	struct zr_table *calls;
	struct route_budget *budgets;
	struct route_try *held;
	struct zr_timer *tick;
	unsigned int waiting;
	unsigned int busy;
	struct zr_metric *routed;
	struct zr_metric *refused;
	struct zr_metric *unknown;
	struct zr_metric *mismatched;
	struct zr_metric *retried;
	struct zr_metric *ejected;
};

/* router.c */
struct timespec route_now(const struct zr_router *router);
double route_random(struct zr_router *router);
void route_decided(struct zr_router *router, const char *action,
		   const char *request, const struct route_service *service,
		   const struct route_worker *worker, const char *reason);

/* grants.c */
struct route_service *route_service_find(const struct zr_router *router,
					 const char *name);
/** Count the slots that the service may use now. */
void route_service_count(struct route_service *service, struct timespec now);
/** Whether any grant for the service is in force, be it of no slots. */
bool route_service_granted(const struct route_service *service,
			   struct timespec now);
struct route_use *route_use_of(struct route_service *service,
			       struct route_domain *domain);
void route_unmet(struct route_service *service);
void route_workers_free(struct zr_router *router);
void route_services_free(struct zr_router *router);

/* balancer.c */

/**
 * route_choose() - choose a worker for a request
 * @out_reason: why this one
 * @call: the request
 *
 * Return: the worker, or NULL when no granted slot is free.
 */
struct route_worker *route_choose(const char **out_reason,
				  const struct route_call *call);

/* health.c */
bool route_healthy(const struct route_worker *worker, bool idempotent,
		   struct timespec now);
void route_succeeded(struct zr_router *router, struct route_worker *worker);
void route_failed(struct zr_router *router, struct route_worker *worker);

/* calls.c */
void route_call_start(struct route_call *call, struct route_worker *worker,
		      const char *reason);
void route_call_refuse(struct route_call *call, int error, const char *reason);
/** Forget tries that were given up and whose slots are still in use. */
void route_tries_free(struct zr_router *router);

/* queue.c */

/** Queue a request or refuse it at once. */
void route_queue_add(struct route_call *call);
void route_queue_remove(struct route_call *call);
/** Send what waits for the service while slots are free. */
void route_queue_pump(struct zr_router *router, struct route_service *service);
void route_queue_pump_worker(struct zr_router *router,
			     const struct route_worker *worker);
/** Send what can be sent, refuse what can no longer be answered in time. */
void route_queue_tick(struct zr_router *router);
unsigned int route_queue_retry_after(struct zr_router *router,
				     const struct route_service *service);
/** Milliseconds in which the service is expected to answer. */
double route_expected_ms(const struct route_service *service);
/** Free the teams of a service for which nothing waits. */
void route_queue_free(struct route_service *service);

/* retry_budget.c */
void route_budget_earn(struct zr_router *router, const struct route_call *call);
bool route_budget_spend(struct zr_router *router,
			const struct route_call *call);
void route_budget_free(struct zr_router *router);

#endif

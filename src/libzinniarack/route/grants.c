#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "route/private.h"
#include "route/slot_escrow.h"
#include "zinniarack/errors.h"
#include "zinniarack/log.h"

/* A result that took longer is ignored: other grants may have replaced it. */
#define RESULT_AGE_MS_MAX 1000

/* Domains */

static struct route_domain *get_or_add_domain(struct zr_router *router,
					      const char *name)
{
	struct route_domain *domain;

	DL_FOREACH(router->domains, domain)
	{
		if (!strcmp(domain->name, name))
			return domain;
	}
	domain = calloc(1, sizeof(*domain));
	if (!domain)
		abort();
	snprintf(domain->name, sizeof(domain->name), "%s", name);
	domain->local = !strcmp(name, router->options.domain);
	DL_APPEND(router->domains, domain);
	return domain;
}

/* Services */

struct route_service *route_service_find(const struct zr_router *router,
					 const char *name)
{
	struct route_service *service;

	HASH_FIND_STR(router->services, name, service);
	return service;
}

static struct route_service *get_or_add_service(struct zr_router *router,
						const char *name)
{
	struct route_service *service = route_service_find(router, name);

	if (service)
		return service;
	service = calloc(1, sizeof(*service));
	if (!service)
		abort();
	snprintf(service->name, sizeof(service->name), "%s", name);
	HASH_ADD_STR(router->services, name, service);
	return service;
}

static void free_service(struct zr_router *router,
			 struct route_service *service)
{
	struct route_domain_usage *usage;
	struct route_domain_usage *next;

	HASH_DEL(router->services, service);
	LL_FOREACH_SAFE(service->domain_usage, usage, next)
	free(usage);
	route_queue_free_teams(service);
	free(service->workers);
	free(service);
}

void route_service_update_usable_slots(struct route_service *service,
				       struct timespec now)
{
	size_t i;

	service->usable_slots = 0;
	for (i = 0; i < service->worker_count; i++) {
		const struct route_worker *worker = service->workers[i];

		if (!worker->leaving && worker->health == ROUTE_HEALTHY &&
		    zr_time_cmp(now, worker->expires_at) < 0)
			service->usable_slots += worker->slots;
	}
}

bool route_service_has_grant(const struct route_service *service,
			     struct timespec now)
{
	size_t i;

	for (i = 0; i < service->worker_count; i++) {
		if (zr_time_cmp(now, service->workers[i]->expires_at) < 0)
			return true;
	}
	return false;
}

struct route_domain_usage *route_usage_get_or_add(struct route_service *service,
						  struct route_domain *domain)
{
	struct route_domain_usage *usage;

	LL_SEARCH_SCALAR(service->domain_usage, usage, domain, domain);
	if (usage)
		return usage;
	usage = calloc(1, sizeof(*usage));
	if (!usage)
		abort();
	usage->domain = domain;
	LL_PREPEND(service->domain_usage, usage);
	return usage;
}

void route_service_add_unmet(struct route_service *service)
{
	struct route_domain_usage *usage;

	LL_FOREACH(service->domain_usage, usage)
	usage->unmet++;
}

/* Grant requests */

/*
 * Returns the slots held on a worker: those of its grant while the lease is
 * valid, but at least those in use.
 */
static uint32_t held_slots(const struct route_worker *worker,
			   struct timespec now)
{
	bool usable = zr_time_cmp(now, worker->expires_at) < 0;

	return usable && worker->slots > worker->in_use ? worker->slots
							: worker->in_use;
}

/*
 * Adds the slots held on a worker to a request. An incremental request lists
 * only numbers that differ from the last result.
 */
static void add_held(zx_grant_args *out, struct route_worker *worker,
		     struct timespec now)
{
	uint32_t slots = held_slots(worker, now);
	zx_held *held;

	worker->reported_slots = slots;
	if (out->base ? slots == worker->granted_slots : !slots)
		return;
	if (out->held.held_len == ZX_LIST_MAX)
		return;
	held = &out->held.held_val[out->held.held_len++];
	held->worker = worker->name;
	held->slots = slots;
}

/* Adds the peak demand for a service to a request and starts a new peak. */
static void add_demand(zx_grant_args *out, struct route_service *service,
		       struct route_domain *domain)
{
	struct route_domain_usage *usage =
		route_usage_get_or_add(service, domain);
	uint32_t slots = usage->peak_in_use + usage->unmet;
	zx_demand *demand;

	usage->peak_in_use = usage->in_use;
	usage->unmet = 0;
	if (!slots || out->demand.demand_len == ZX_LIST_MAX)
		return;
	demand = &out->demand.demand_val[out->demand.demand_len++];
	demand->service = service->name;
	demand->slots = slots;
}

/*
 * Returns the base of the next request, or 0 if it must list all held slots. An
 * incremental request identifies workers by name, so every record must be in
 * the last result. The record of a worker's old address is not.
 */
static uint64_t choose_base_sequence(const struct zr_router *router,
				     const struct route_domain *domain)
{
	const struct route_worker *worker;

	if (router->leaving)
		return 0;
	for (worker = router->workers; worker; worker = worker->hh.next) {
		if (worker->domain == domain && !worker->in_last_result)
			return 0;
	}
	return domain->base_sequence;
}

int zr_router_build_grant_request(zx_grant_args *out, struct zr_router *router,
				  const char *domain_name)
{
	struct route_domain *domain = get_or_add_domain(router, domain_name);
	struct timespec now = route_now(router);
	struct route_service *service;
	struct route_worker *worker;

	if (domain->request_in_flight)
		return ZR_E_STATE;
	domain->request_in_flight = true;
	memset(out, 0, sizeof(*out));
	out->entry = (char *)router->options.entry;
	out->domain = (char *)router->options.domain;
	out->incarnation = router->options.incarnation;
	out->sequence = ++domain->sequence;
	out->base = choose_base_sequence(router, domain);
	domain->request_is_incremental = out->base > 0;
	out->leaving = router->leaving;
	out->held.held_val =
		calloc(HASH_COUNT(router->workers) + 1, sizeof(zx_held));
	out->demand.demand_val =
		calloc(HASH_COUNT(router->services) + 1, sizeof(zx_demand));
	if (!out->held.held_val || !out->demand.demand_val)
		abort();
	for (worker = router->workers; worker; worker = worker->hh.next) {
		if (worker->domain == domain)
			add_held(out, worker, now);
	}
	for (service = router->services; service; service = service->hh.next)
		add_demand(out, service, domain);
	return 0;
}

void zr_router_free_grant_request(zx_grant_args *request)
{
	free(request->held.held_val);
	free(request->demand.demand_val);
}

/* Workers */

static struct route_worker *get_or_add_worker(struct zr_router *router,
					      struct route_domain *domain,
					      const zx_grant *grant)
{
	struct route_worker *worker;
	char key[ROUTE_KEY_MAX];

	snprintf(key, sizeof(key), "%s/%s/%s", domain->name, grant->worker,
		 grant->address);
	HASH_FIND_STR(router->workers, key, worker);
	if (worker)
		return worker;
	worker = calloc(1, sizeof(*worker));
	if (!worker)
		abort();
	if (router->options.worker_client_new(&worker->client,
					      router->options.worker_client_ctx,
					      grant->address) < 0) {
		zr_log(ZR_LOG_ERROR, "route.worker_client_failed worker=%s",
		       grant->worker);
		free(worker);
		return NULL;
	}
	memcpy(worker->key, key, sizeof(key));
	worker->serial = ++router->last_serial;
	worker->domain = domain;
	snprintf(worker->name, sizeof(worker->name), "%s", grant->worker);
	HASH_ADD_STR(router->workers, key, worker);
	return worker;
}

static void free_worker(struct zr_router *router, struct route_worker *worker)
{
	HASH_DEL(router->workers, worker);
	worker->client.ops->free(worker->client.impl);
	free(worker->services);
	free(worker);
}

static void copy_services(struct route_worker *worker, const zx_grant *grant)
{
	size_t count = grant->services.services_len;
	size_t i;

	free(worker->services);
	worker->services = calloc(count + 1, sizeof(*worker->services));
	if (!worker->services)
		abort();
	worker->service_count = count;
	for (i = 0; i < count; i++)
		snprintf(worker->services[i], ZR_NAME_MAX, "%s",
			 grant->services.services_val[i]);
}

/* Returns false if no client could be created for the worker. */
static bool apply_grant(struct zr_router *router, struct route_domain *domain,
			const zx_grant *grant, struct timespec expires_at)
{
	struct route_worker *worker = get_or_add_worker(router, domain, grant);

	if (!worker)
		return false;
	worker->in_last_result = true;
	worker->expires_at = expires_at;
	worker->slots = grant->slots;
	worker->granted_slots = grant->slots;
	worker->client.ops->limit(worker->client.impl, grant->slots);
	copy_services(worker, grant);
	return true;
}

/* Renews the lease on the workers that an incremental result leaves out. */
static void renew_unlisted(struct zr_router *router,
			   const struct route_domain *domain,
			   struct timespec expires_at)
{
	struct route_worker *worker;

	for (worker = router->workers; worker; worker = worker->hh.next) {
		if (worker->domain != domain || worker->in_last_result)
			continue;
		worker->in_last_result = true;
		worker->expires_at = expires_at;
	}
}

/* Returns false if the resized worker is unknown. */
static bool apply_resize(struct zr_router *router,
			 const struct route_domain *domain,
			 const zx_held *resized, struct timespec expires_at)
{
	struct route_worker *worker;

	for (worker = router->workers; worker; worker = worker->hh.next) {
		if (worker->domain != domain ||
		    strcmp(worker->name, resized->worker) != 0)
			continue;
		worker->in_last_result = true;
		worker->expires_at = expires_at;
		worker->slots = resized->slots;
		worker->granted_slots = resized->slots;
		worker->client.ops->limit(worker->client.impl, resized->slots);
		return true;
	}
	return false;
}

/*
 * Updates the workers that a full result doesn't list. They may not be used any
 * more, unless the result is partial: then they keep the reported slots.
 */
static void update_unlisted(struct zr_router *router,
			    struct route_domain *domain, bool partial,
			    struct timespec expires_at)
{
	struct route_worker *worker;
	struct route_worker *next;

	HASH_ITER (hh, router->workers, worker, next) {
		if (worker->domain != domain || worker->in_last_result)
			continue;
		if (partial) {
			worker->expires_at = expires_at;
			worker->slots = worker->reported_slots;
			continue;
		}
		worker->slots = 0;
		worker->service_count = 0;
		worker->client.ops->limit(worker->client.impl, 0);
		if (!worker->in_use)
			free_worker(router, worker);
	}
}

/* Workers of each service */

/* Adds a worker to the lists of the services that run on it. */
static void add_to_services(struct zr_router *router,
			    struct route_worker *worker)
{
	struct route_service *service;
	size_t i;

	for (i = 0; i < worker->service_count; i++) {
		service = get_or_add_service(router, worker->services[i]);
		service->workers = reallocarray(service->workers,
						service->worker_count + 1,
						sizeof(struct route_worker *));
		if (!service->workers)
			abort();
		service->workers[service->worker_count++] = worker;
		route_usage_get_or_add(service, worker->domain);
	}
}

/* Rebuilds all services' lists of workers and frees unused services. */
static void rebuild_service_workers(struct zr_router *router)
{
	struct route_service *service;
	struct route_service *next;
	struct route_worker *worker;

	for (service = router->services; service; service = service->hh.next)
		service->worker_count = 0;
	for (worker = router->workers; worker; worker = worker->hh.next)
		add_to_services(router, worker);
	HASH_ITER (hh, router->services, service, next) {
		if (!service->worker_count && !service->ref_count)
			free_service(router, service);
	}
}

bool zr_router_process_grants(struct zr_router *router, const char *domain_name,
			      const zx_grant_result *result,
			      struct timespec requested_at)
{
	struct route_domain *domain = get_or_add_domain(router, domain_name);
	struct route_service *service;
	struct route_worker *worker;
	struct timespec expires_at;
	u_int i;

	domain->request_in_flight = false;
	domain->base_sequence = 0;
	if (!result || result->error || router->leaving ||
	    result->epoch < domain->epoch ||
	    zr_time_diff_ms(route_now(router), requested_at) >
		    RESULT_AGE_MS_MAX)
		/* If the base was refused, a full request must follow. */
		return result && result->error == ZR_E_CONFLICT &&
		       domain->request_is_incremental;
	domain->epoch = result->epoch;
	domain->base_sequence = result->partial ? 0 : domain->sequence;
	expires_at = zr_time_add_ms(requested_at, result->lease_ms);
	for (worker = router->workers; worker; worker = worker->hh.next) {
		if (worker->domain == domain)
			worker->in_last_result = false;
	}
	for (i = 0; i < result->grants.grants_len; i++)
		if (!apply_grant(router, domain, &result->grants.grants_val[i],
				 expires_at))
			domain->base_sequence = 0;
	for (i = 0; i < result->resized.resized_len; i++) {
		if (!apply_resize(router, domain,
				  &result->resized.resized_val[i], expires_at))
			domain->base_sequence = 0;
	}
	if (result->changes_only)
		renew_unlisted(router, domain, expires_at);
	else
		update_unlisted(router, domain, result->partial, expires_at);
	rebuild_service_workers(router);
	for (service = router->services; service; service = service->hh.next) {
		route_service_update_usable_slots(service, route_now(router));
		route_queue_dispatch(router, service);
	}
	return false;
}

void zr_router_leave(struct zr_router *router)
{
	struct route_worker *worker;

	router->leaving = true;
	for (worker = router->workers; worker; worker = worker->hh.next)
		worker->slots = 0;
}

/* Host list */

void zr_router_set_hosts(struct zr_router *router, const struct zr_host *hosts,
			 size_t count)
{
	struct route_service *service;
	struct route_worker *worker;
	size_t i;

	for (worker = router->workers; worker; worker = worker->hh.next) {
		for (i = 0; i < count; i++) {
			if (hosts[i].kind == ZR_HOST_WORKER &&
			    !strcmp(hosts[i].name, worker->name))
				worker->leaving = hosts[i].leaving;
		}
	}
	for (service = router->services; service; service = service->hh.next)
		route_service_update_usable_slots(service, route_now(router));
}

void route_workers_free(struct zr_router *router)
{
	struct route_worker *worker;
	struct route_worker *next;

	HASH_ITER (hh, router->workers, worker, next)
		free_worker(router, worker);
}

void route_services_free(struct zr_router *router)
{
	struct route_service *service;
	struct route_service *next_service;
	struct route_domain *domain;
	struct route_domain *next_domain;

	HASH_ITER (hh, router->services, service, next_service)
		free_service(router, service);
	DL_FOREACH_SAFE(router->domains, domain, next_domain)
	free(domain);
}

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "route/private.h"
#include "route/slot_escrow.h"
#include "zinniarack/errors.h"
#include "zinniarack/log.h"

/* An answer that took longer may have been overtaken by another's grants. */
#define ANSWER_WITHIN_MS 1000

/* Domains */

static struct route_domain *get_domain(struct zr_router *router,
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

static struct route_service *get_service(struct zr_router *router,
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
	struct route_use *use;
	struct route_use *next;

	HASH_DEL(router->services, service);
	LL_FOREACH_SAFE(service->uses, use, next)
	free(use);
	route_queue_free(service);
	free(service->workers);
	free(service);
}

void route_service_count(struct route_service *service, struct timespec now)
{
	size_t i;

	service->usable = 0;
	for (i = 0; i < service->worker_count; i++) {
		const struct route_worker *worker = service->workers[i];

		if (!worker->leaving && worker->health == ROUTE_HEALTHY &&
		    zr_time_cmp(now, worker->expires) < 0)
			service->usable += worker->slots;
	}
}

bool route_service_granted(const struct route_service *service,
			   struct timespec now)
{
	size_t i;

	for (i = 0; i < service->worker_count; i++) {
		if (zr_time_cmp(now, service->workers[i]->expires) < 0)
			return true;
	}
	return false;
}

struct route_use *route_use_of(struct route_service *service,
			       struct route_domain *domain)
{
	struct route_use *use;

	LL_SEARCH_SCALAR(service->uses, use, domain, domain);
	if (use)
		return use;
	use = calloc(1, sizeof(*use));
	if (!use)
		abort();
	use->domain = domain;
	LL_PREPEND(service->uses, use);
	return use;
}

void route_unmet(struct route_service *service)
{
	struct route_use *use;

	LL_FOREACH(service->uses, use)
	use->unmet++;
}

/* Asks */

static uint32_t held_of(const struct route_worker *worker, struct timespec now)
{
	bool usable = zr_time_cmp(now, worker->expires) < 0;

	return usable && worker->slots > worker->in_use ? worker->slots
							: worker->in_use;
}

static void add_held(zx_grant_args *out, struct route_worker *worker,
		     struct timespec now)
{
	uint32_t slots = held_of(worker, now);
	zx_held *held;

	worker->reported = slots;
	if (out->base ? slots == worker->granted : !slots)
		return;
	if (out->held.held_len == ZX_LIST_MAX)
		return;
	held = &out->held.held_val[out->held.held_len++];
	held->worker = worker->name;
	held->slots = slots;
}

static void add_demand(zx_grant_args *out, struct route_service *service,
		       struct route_domain *domain)
{
	struct route_use *use = route_use_of(service, domain);
	uint32_t slots = use->peak + use->unmet;
	zx_demand *demand;

	use->peak = use->in_use;
	use->unmet = 0;
	if (!slots || out->demand.demand_len == ZX_LIST_MAX)
		return;
	demand = &out->demand.demand_val[out->demand.demand_len++];
	demand->service = service->name;
	demand->slots = slots;
}

/* Changes are told by worker name, so each must be in the last answer once. */
static uint64_t base_of(const struct zr_router *router,
			const struct route_domain *domain)
{
	const struct route_worker *worker;

	if (router->leaving)
		return 0;
	for (worker = router->workers; worker; worker = worker->hh.next) {
		if (worker->domain == domain && !worker->named)
			return 0;
	}
	return domain->base;
}

int zr_router_ask(zx_grant_args *out, struct zr_router *router,
		  const char *domain_name)
{
	struct route_domain *domain = get_domain(router, domain_name);
	struct timespec now = route_now(router);
	struct route_service *service;
	struct route_worker *worker;

	if (domain->ask_open)
		return ZR_E_STATE;
	domain->ask_open = true;
	memset(out, 0, sizeof(*out));
	out->entry = (char *)router->options.entry;
	out->domain = (char *)router->options.domain;
	out->incarnation = router->options.incarnation;
	out->sequence = ++domain->sequence;
	out->base = base_of(router, domain);
	domain->ask_reduced = out->base > 0;
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

void zr_router_ask_free(zx_grant_args *ask)
{
	free(ask->held.held_val);
	free(ask->demand.demand_val);
}

/* Workers */

static struct route_worker *get_worker(struct zr_router *router,
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
	if (router->options.peer_new(&worker->peer, router->options.peer_ctx,
				     grant->address) < 0) {
		zr_log(ZR_LOG_ERROR, "route.address_refused worker=%s",
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
	worker->peer.ops->free(worker->peer.impl);
	free(worker->services);
	free(worker);
}

static void take_services(struct route_worker *worker, const zx_grant *grant)
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

static bool take_grant(struct zr_router *router, struct route_domain *domain,
		       const zx_grant *grant, struct timespec expires)
{
	struct route_worker *worker = get_worker(router, domain, grant);

	if (!worker)
		return false;
	worker->named = true;
	worker->expires = expires;
	worker->slots = grant->slots;
	worker->granted = grant->slots;
	worker->peer.ops->limit(worker->peer.impl, grant->slots);
	take_services(worker, grant);
	return true;
}

static void renew_unnamed(struct zr_router *router,
			  const struct route_domain *domain,
			  struct timespec expires)
{
	struct route_worker *worker;

	for (worker = router->workers; worker; worker = worker->hh.next) {
		if (worker->domain != domain || worker->named)
			continue;
		worker->named = true;
		worker->expires = expires;
	}
}

static bool take_resized(struct zr_router *router,
			 const struct route_domain *domain,
			 const zx_held *resized, struct timespec expires)
{
	struct route_worker *worker;

	for (worker = router->workers; worker; worker = worker->hh.next) {
		if (worker->domain != domain ||
		    strcmp(worker->name, resized->worker) != 0)
			continue;
		worker->named = true;
		worker->expires = expires;
		worker->slots = resized->slots;
		worker->granted = resized->slots;
		worker->peer.ops->limit(worker->peer.impl, resized->slots);
		return true;
	}
	return false;
}

/* A worker that a whole answer does not name may not be used any more. */
static void settle_unnamed(struct zr_router *router,
			   struct route_domain *domain, bool partial,
			   struct timespec expires)
{
	struct route_worker *worker;
	struct route_worker *next;

	HASH_ITER (hh, router->workers, worker, next) {
		if (worker->domain != domain || worker->named)
			continue;
		if (partial) {
			worker->expires = expires;
			worker->slots = worker->reported;
			continue;
		}
		worker->slots = 0;
		worker->service_count = 0;
		worker->peer.ops->limit(worker->peer.impl, 0);
		if (!worker->in_use)
			free_worker(router, worker);
	}
}

/* Services' lists of workers */

static void list_worker(struct zr_router *router, struct route_worker *worker)
{
	struct route_service *service;
	size_t i;

	for (i = 0; i < worker->service_count; i++) {
		service = get_service(router, worker->services[i]);
		service->workers = reallocarray(service->workers,
						service->worker_count + 1,
						sizeof(struct route_worker *));
		if (!service->workers)
			abort();
		service->workers[service->worker_count++] = worker;
		route_use_of(service, worker->domain);
	}
}

static void list_workers(struct zr_router *router)
{
	struct route_service *service;
	struct route_service *next;
	struct route_worker *worker;

	for (service = router->services; service; service = service->hh.next)
		service->worker_count = 0;
	for (worker = router->workers; worker; worker = worker->hh.next)
		list_worker(router, worker);
	HASH_ITER (hh, router->services, service, next) {
		if (!service->worker_count && !service->calls)
			free_service(router, service);
	}
}

bool zr_router_grants(struct zr_router *router, const char *domain_name,
		      const zx_grant_result *result, struct timespec asked)
{
	struct route_domain *domain = get_domain(router, domain_name);
	struct route_service *service;
	struct route_worker *worker;
	struct timespec expires;
	u_int i;

	domain->ask_open = false;
	domain->base = 0;
	if (!result || result->error || router->leaving ||
	    result->epoch < domain->epoch ||
	    zr_time_diff_ms(route_now(router), asked) > ANSWER_WITHIN_MS)
		return result && result->error == ZR_E_CONFLICT &&
		       domain->ask_reduced;
	domain->epoch = result->epoch;
	domain->base = result->partial ? 0 : domain->sequence;
	expires = zr_time_add_ms(asked, result->lease_ms);
	for (worker = router->workers; worker; worker = worker->hh.next) {
		if (worker->domain == domain)
			worker->named = false;
	}
	for (i = 0; i < result->grants.grants_len; i++)
		if (!take_grant(router, domain, &result->grants.grants_val[i],
				expires))
			domain->base = 0;
	for (i = 0; i < result->resized.resized_len; i++) {
		if (!take_resized(router, domain,
				  &result->resized.resized_val[i], expires))
			domain->base = 0;
	}
	if (result->changes_only)
		renew_unnamed(router, domain, expires);
	else
		settle_unnamed(router, domain, result->partial, expires);
	list_workers(router);
	for (service = router->services; service; service = service->hh.next) {
		route_service_count(service, route_now(router));
		route_queue_pump(router, service);
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

void zr_router_hosts(struct zr_router *router, const struct zr_host *hosts,
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
		route_service_count(service, route_now(router));
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

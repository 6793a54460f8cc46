#include "zinniarack/scheduler.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "config/peers.h"
#include "config/watch.h"
#include "domain/domain.h"
#include "net/http_server.h"
#include "net/metrics_page.h"
#include "net/rpc_server.h"
#include "net/uv_timers.h"
#include "rpc/procedures.h"
#include "scheduler/declared.h"
#include "scheduler/grants.h"
#include "scheduler/service.h"
#include "store/rate_limit.h"
#include "store/etcd.h"
#include "worker/http_host_list.h"
#include "worker/http_worker.h"
#include "zinniarack/errors.h"
#include "zinniarack/log.h"

#define HOST_LIST_POLL_MS 1000
/* Limits on the calls that one scheduler makes to the store. */
#define STORE_WRITES_PER_S 25
#define STORE_READS_PER_S 40
#define STORE_BURST 60
#define STORE_WAITING_MAX 256
#define STORE_WAIT_MS 1000

struct zr_scheduler {
	uv_loop_t *loop;
	struct zr_timers timers;
	const struct zr_settings *settings;
	struct zr_metrics *metrics;
	struct zr_store store;
	struct zr_host_list host_list;
	bool host_list_pending;
	struct timespec host_list_requested_at;
	struct zr_host *hosts; /* the last host list; NULL before the first */
	size_t host_count;
	const struct zr_clock *clock;
	uv_timer_t timer;
	struct zr_config_watch *config;
	bool evacuated; /* the failure domain, by the last configuration */
	struct zr_config_peers *peers;
	struct zr_domain *domain;
	struct zr_declared *declared;
	struct zr_scheduler_service service;
	struct zr_rpc_server *rpc;
	struct zr_http_server *http;
	struct zr_net_budget *budget;
};

/*
 * Passes the hosts to the domain. Drained workers and those of an evacuated
 * failure domain are set as leaving.
 */
static void set_hosts(struct zr_scheduler *scheduler)
{
	const struct zr_host *hosts = scheduler->hosts;
	size_t count = scheduler->host_count;
	const struct zr_config *config =
		zr_config_watch_current(scheduler->config);
	struct zr_host *copy = zr_hosts_copy(hosts, count);
	size_t i;

	for (i = 0; i < count; i++) {
		copy[i].leaving |=
			config && hosts[i].kind == ZR_HOST_WORKER &&
			(zr_config_is_drained(config, hosts[i].name) ||
			 zr_config_is_evacuated(config, hosts[i].domain));
	}
	zr_domain_set_hosts(scheduler->domain, copy, count);
	free(copy);
}

static void log_evacuation(struct zr_scheduler *scheduler,
			   const struct zr_config *config)
{
	const char *domain = scheduler->settings->failure_domain;
	bool evacuated = zr_config_is_evacuated(config, domain);

	if (evacuated == scheduler->evacuated)
		return;
	scheduler->evacuated = evacuated;
	zr_log_decision("%s domain=%s version=%" PRIu64,
			evacuated ? "domain.evacuated" : "domain.restored",
			domain, config->version);
}

static void on_config(void *ctx, const struct zr_config *config)
{
	struct zr_scheduler *scheduler = ctx;

	log_evacuation(scheduler, config);
	scheduler->service.config_version = config->version;
	zr_domain_configure(scheduler->domain, config);
	zr_declared_configure(scheduler->declared, config);
	/* Do not wait for the host list, which may not respond. */
	if (scheduler->hosts)
		set_hosts(scheduler);
}

static void on_hosts(void *ctx, int error, const struct zr_host *hosts,
		     size_t count)
{
	struct zr_scheduler *scheduler = ctx;

	scheduler->host_list_pending = false;
	if (error < 0)
		return;
	free(scheduler->hosts);
	scheduler->hosts = zr_hosts_copy(hosts, count);
	scheduler->host_count = count;
	set_hosts(scheduler);
	zr_config_peers_set_hosts(scheduler->peers, hosts, count,
				  scheduler->host_list_requested_at);
}

static void on_tick(uv_timer_t *timer)
{
	struct zr_scheduler *scheduler = timer->data;

	if (scheduler->host_list_pending)
		return;
	scheduler->host_list_pending = true;
	scheduler->host_list_requested_at = zr_clock_now(scheduler->clock);
	scheduler->host_list.ops->read(scheduler->host_list.impl, on_hosts,
				       scheduler);
}

static int start_config_watch(struct zr_scheduler *scheduler)
{
	const struct zr_settings *settings = scheduler->settings;
	const struct zr_config_watch_options options = {
		.version = ZR_CONFIG_WATCH_OPTIONS_VERSION,
		.timers = &scheduler->timers,
		.clock = scheduler->clock,
		.store = &scheduler->store,
		.metrics = scheduler->metrics,
		.name = settings->name,
		.domain = settings->failure_domain,
		.changed = on_config,
		.ctx = scheduler,
	};
	int error = zr_config_watch_new(&scheduler->config, &options);

	if (error < 0)
		return error;
	return zr_config_peers_new(&scheduler->peers, scheduler->loop,
				   &scheduler->timers, scheduler->clock,
				   scheduler->config, false, settings->name,
				   settings->failure_domain);
}

static int create_domain(struct zr_scheduler *scheduler,
			 const struct zr_clock *clock)
{
	const struct zr_settings *settings = scheduler->settings;
	const struct zr_domain_options options = {
		.version = ZR_DOMAIN_OPTIONS_VERSION,
		.timers = &scheduler->timers,
		.clock = clock,
		.store = &scheduler->store,
		.domain = settings->failure_domain,
		.name = settings->name,
		.worker_new = zr_http_worker_new,
		.worker_ctx = scheduler->loop,
		.metrics = scheduler->metrics,
	};

	return zr_domain_new(&scheduler->domain, &options);
}

static int create_store(struct zr_scheduler *scheduler,
			const struct zr_clock *clock)
{
	const struct zr_store_rate_limit_options options = {
		.version = ZR_STORE_RATE_LIMIT_OPTIONS_VERSION,
		.timers = &scheduler->timers,
		.clock = clock,
		.writes_per_s = STORE_WRITES_PER_S,
		.reads_per_s = STORE_READS_PER_S,
		.burst = STORE_BURST,
		.max_waiting = STORE_WAITING_MAX,
		.max_wait_ms = STORE_WAIT_MS,
		.metrics = scheduler->metrics,
	};
	struct zr_store inner;
	int error = zr_etcd_new(&inner, scheduler->loop,
				scheduler->settings->store, scheduler->metrics);

	if (error < 0)
		return error;
	error = zr_store_rate_limit_new(&scheduler->store, &inner, &options);
	if (error < 0)
		zr_store_free(&inner);
	return error;
}

static int create_service(struct zr_scheduler *scheduler,
			  const struct zr_clock *clock)
{
	const struct zr_settings *settings = scheduler->settings;
	struct zr_scheduler_service *service = &scheduler->service;
	struct zr_http_server_options options = ZR_HTTP_SERVER_OPTIONS_INIT;
	int error;

	service->domain = scheduler->domain;
	service->name = settings->name;
	service->domain_name = settings->failure_domain;
	error = zr_grants_new(&service->grants, scheduler->domain, clock,
			      settings->failure_domain);
	if (error < 0)
		return error;
	error = zr_rpc_server_new(&scheduler->rpc, scheduler->loop,
				  settings->scheduler.rpc, ZX_SCHEDULER,
				  ZX_SCHEDULER_V1, zr_scheduler_dispatch_table,
				  service);
	if (error < 0)
		return error;
	zr_rpc_server_set_budget(scheduler->rpc, scheduler->budget);
	options.budget = scheduler->budget;
	return zr_http_server_new(&scheduler->http, scheduler->loop,
				  settings->scheduler.http, &options,
				  zr_metrics_page_serve, scheduler->metrics);
}

int zr_scheduler_new(struct zr_scheduler **out, uv_loop_t *loop,
		     const struct zr_clock *clock,
		     const struct zr_settings *settings)
{
	struct zr_scheduler *scheduler = calloc(1, sizeof(*scheduler));
	int error;

	if (!scheduler)
		return ZR_E_NOMEM;
	scheduler->loop = loop;
	scheduler->timers = zr_uv_timers_for_loop(loop);
	scheduler->clock = clock;
	scheduler->settings = settings;
	if ((error = zr_metrics_new(&scheduler->metrics)) < 0 ||
	    (error = zr_net_budget_new(
		     &scheduler->budget,
		     (size_t)settings->limits.message_memory_mb << 20, clock,
		     scheduler->metrics)) < 0 ||
	    (error = create_store(scheduler, clock)) < 0 ||
	    (error = zr_http_host_list_new(&scheduler->host_list, loop,
					   settings->host_list)) < 0 ||
	    (error = create_domain(scheduler, clock)) < 0 ||
	    (error = zr_declared_new_for(
		     &scheduler->declared, &scheduler->timers, clock,
		     scheduler->domain, settings->failure_domain)) < 0 ||
	    (error = create_service(scheduler, clock)) < 0 ||
	    (error = start_config_watch(scheduler)) < 0)
		return error;
	uv_timer_init(loop, &scheduler->timer);
	scheduler->timer.data = scheduler;
	uv_timer_start(&scheduler->timer, on_tick, 0, HOST_LIST_POLL_MS);
	*out = scheduler;
	return 0;
}

void zr_scheduler_stop(struct zr_scheduler *scheduler, void (*done)(void *ctx),
		       void *ctx)
{
	zr_domain_stop(scheduler->domain, done, ctx);
}

unsigned int zr_scheduler_busy(const struct zr_scheduler *scheduler)
{
	return zr_rpc_server_open_calls(scheduler->rpc);
}

void zr_scheduler_free(struct zr_scheduler *scheduler)
{
	if (!scheduler)
		return;
	uv_close((uv_handle_t *)&scheduler->timer, NULL);
	zr_rpc_server_free(scheduler->rpc);
	zr_http_server_stop(scheduler->http);
	zr_config_peers_free(scheduler->peers);
	zr_config_watch_free(scheduler->config);
	zr_domain_free(scheduler->domain);
	zr_declared_free(scheduler->declared);
	zr_grants_free(scheduler->service.grants);
	scheduler->host_list.ops->free(scheduler->host_list.impl);
	zr_store_free(&scheduler->store);
	/*
	 * Run the loop until all handles are closed: their close callbacks use
	 * the memory that is freed below.
	 */
	uv_run(scheduler->loop, UV_RUN_DEFAULT);
	zr_http_server_free(scheduler->http);
	zr_net_budget_free(scheduler->budget);
	zr_metrics_free(scheduler->metrics);
	free(scheduler->hosts);
	free(scheduler);
}

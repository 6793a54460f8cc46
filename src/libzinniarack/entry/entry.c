#include "zinniarack/entry.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry/private.h"
#include "msg_peers.h"
#include "net/uv_timers.h"
#include "route/once_store.h"
#include "rpc/procedures.h"
#include "store/etcd.h"
#include "worker/http_host_list.h"
#include "zinniarack/errors.h"
#include "zinniarack/log.h"

#define TICK_MS 500
#define GRANTS_TIMEOUT_MS 1000
/* Number of bodies of the largest size that the memory budget allows. */
#define LARGEST_BODIES 4

/* A grant request in flight. */
struct grant_call {
	struct zr_entry *entry;
	char domain[ZR_NAME_MAX];
	struct timespec requested_at;
};

static void request_grants(struct zr_entry *entry, const char *domain);

static void on_grants(void *ctx, int error, void *data)
{
	struct grant_call *call = ctx;

	/* Request again at once if the base of the request was refused. */
	if (zr_router_process_grants(call->entry->router, call->domain,
				     error < 0 ? NULL : data,
				     call->requested_at))
		request_grants(call->entry, call->domain);
	free(call);
}

static void request_grants(struct zr_entry *entry, const char *domain)
{
	struct zr_rpc_client *client =
		zr_directory_get_active(entry->directory, domain);
	struct grant_call *call;
	zx_grant_args args;

	if (!client ||
	    zr_router_build_grant_request(&args, entry->router, domain) < 0)
		return;
	call = calloc(1, sizeof(*call));
	if (!call)
		abort();
	call->entry = entry;
	call->requested_at = zr_clock_now(entry->clock);
	snprintf(call->domain, sizeof(call->domain), "%s", domain);
	zr_rpc_client_call(client, &zr_proc_grants, &args, GRANTS_TIMEOUT_MS,
			   on_grants, call);
	zr_router_free_grant_request(&args);
}

static void request_grants_from_all(struct zr_entry *entry)
{
	const char *domain;
	size_t i;

	for (i = 0; (domain = zr_directory_get_domain(entry->directory, i));
	     i++)
		request_grants(entry, domain);
}

/* Workers of evacuated failure domains get no new requests. */
static void set_router_hosts(struct zr_entry *entry)
{
	const struct zr_config *config = zr_config_watch_current(entry->config);
	const struct zr_host *hosts = entry->hosts;
	size_t count = entry->host_count;
	struct zr_host *copy = zr_hosts_copy(hosts, count);
	size_t i;

	for (i = 0; i < count; i++) {
		copy[i].leaving |=
			config && hosts[i].kind == ZR_HOST_WORKER &&
			zr_config_is_evacuated(config, hosts[i].domain);
	}
	zr_router_set_hosts(entry->router, copy, count);
	free(copy);
}

static void on_host_list(void *ctx, int error, const struct zr_host *hosts,
			 size_t count)
{
	struct zr_entry *entry = ctx;

	entry->host_list_read_in_flight = false;
	if (error < 0)
		return;
	zr_directory_set_hosts(entry->directory, hosts, count);
	zr_config_peers_set_hosts(entry->peers, hosts, count,
				  entry->host_list_requested_at);
	free(entry->hosts);
	entry->hosts = zr_hosts_copy(hosts, count);
	entry->host_count = count;
	set_router_hosts(entry);
}

static void on_tick(uv_timer_t *timer)
{
	struct zr_entry *entry = timer->data;

	if (!entry->host_list_read_in_flight) {
		entry->host_list_read_in_flight = true;
		entry->host_list_requested_at = zr_clock_now(entry->clock);
		entry->host_list.ops->read(entry->host_list.impl, on_host_list,
					   entry);
	}
	request_grants_from_all(entry);
}

static void on_config(void *ctx, const struct zr_config *config)
{
	struct zr_entry *entry = ctx;

	/*
	 * Nothing else to update: each request reads the configuration that is
	 * applied when the request arrives.
	 */
	(void)config;
	if (entry->hosts)
		set_router_hosts(entry);
}

static void notify_config_peers(void *ctx)
{
	struct zr_entry *entry = ctx;

	if (entry->peers)
		zr_config_peers_notify(entry->peers);
}

static int start_config(struct zr_entry *entry)
{
	const struct zr_settings *settings = entry->settings;
	const struct zr_config_watch_options options = {
		.version = ZR_CONFIG_WATCH_OPTIONS_VERSION,
		.timers = &entry->timers,
		.clock = entry->clock,
		.store = &entry->store,
		.metrics = entry->metrics,
		.name = settings->name,
		.domain = settings->failure_domain,
		.address = settings->entry.rpc,
		.changed = on_config,
		.notify_peers = notify_config_peers,
		.ctx = entry,
	};
	int error = zr_config_watch_new(&entry->config, &options);

	if (error < 0)
		return error;
	error = zr_config_peers_new(&entry->peers, entry->loop, &entry->timers,
				    entry->clock, entry->config, true,
				    settings->name, settings->failure_domain);
	if (error < 0)
		return error;
	error = zr_rpc_server_new(
		&entry->rpc, entry->loop, settings->entry.rpc, ZX_PEERS,
		ZX_PEERS_V1, zr_config_peers_dispatch_table, entry->config);
	if (!error)
		zr_rpc_server_set_budget(entry->rpc, entry->budget);
	return error;
}

static int start_http(struct zr_entry *entry)
{
	const struct zr_settings *settings = entry->settings;
	struct zr_http_server_options options = ZR_HTTP_SERVER_OPTIONS_INIT;

	options.max_body_bytes = settings->limits.body_bytes;
	options.request_timeout_ms = settings->limits.request_timeout_ms;
	options.max_connections = settings->limits.connections;
	options.budget = entry->budget;
	return zr_http_server_new(&entry->http, entry->loop,
				  settings->entry.http, &options, entry_handle,
				  entry);
}

/* The budget of all servers. A request of the largest size fits in any case. */
static int create_budget(struct zr_entry *entry)
{
	size_t least =
		(size_t)LARGEST_BODIES * entry->settings->limits.body_bytes;
	size_t bytes = (size_t)entry->settings->limits.message_memory_mb << 20;

	if (!bytes)
		bytes = zr_net_budget_default();
	return zr_net_budget_new(&entry->budget, bytes > least ? bytes : least,
				 entry->clock, entry->metrics);
}

static int create_metrics(struct zr_entry *entry)
{
	int error = zr_metrics_new(&entry->metrics);

	if (error < 0)
		return error;
	entry->keys_unconfirmed_total = zr_metrics_get_or_add_counter(
		entry->metrics, "zinniarack_entry_keys_unconfirmed_total", NULL,
		"Requests refused since nobody could confirm that keys are in "
		"force.");
	return 0;
}

static int create_once(struct zr_entry *entry, uint64_t incarnation)
{
	struct zr_once_store_options options = ZR_ONCE_STORE_OPTIONS_INIT;

	options.store = &entry->store;
	options.clock = entry->clock;
	options.entry = entry->settings->name;
	options.incarnation = incarnation;
	return zr_once_store_new(&entry->once_backend, &options);
}

static int create_router(struct zr_entry *entry)
{
	int error;

	struct zr_router_options options = ZR_ROUTER_OPTIONS_INIT;
	struct timespec started = entry->clock->realtime(entry->clock->ctx);

	options.clock = entry->clock;
	options.timers = &entry->timers;
	options.metrics = entry->metrics;
	options.entry = entry->settings->name;
	options.domain = entry->settings->failure_domain;
	options.incarnation = (uint64_t)started.tv_sec * 1000000000u +
			      (uint64_t)started.tv_nsec;
	options.worker_client_ctx = entry->loop;
	error = create_once(entry, options.incarnation);
	if (error < 0)
		return error;
	return zr_router_new(&entry->router, &options);
}

int zr_entry_new(struct zr_entry **out, uv_loop_t *loop,
		 const struct zr_clock *clock,
		 const struct zr_settings *settings)
{
	struct zr_entry *entry = calloc(1, sizeof(*entry));
	int error;

	if (!entry)
		return ZR_E_NOMEM;
	entry->loop = loop;
	entry->timers = zr_uv_timers_for_loop(loop);
	entry->clock = clock;
	entry->settings = settings;
	if ((error = create_metrics(entry)) < 0 ||
	    (error = create_budget(entry)) < 0 ||
	    (error = zr_etcd_new(&entry->store, loop, settings->store,
				 entry->metrics)) < 0 ||
	    (error = zr_http_host_list_new(&entry->host_list, loop,
					   settings->host_list)) < 0 ||
	    (error = zr_directory_new(&entry->directory, loop, clock)) < 0 ||
	    (error = create_router(entry)) < 0 ||
	    (error = start_config(entry)) < 0 ||
	    (error = start_http(entry)) < 0)
		return error;
	uv_timer_init(loop, &entry->timer);
	entry->timer.data = entry;
	uv_timer_start(&entry->timer, on_tick, 0, TICK_MS);
	*out = entry;
	return 0;
}

void zr_entry_begin_shutdown(struct zr_entry *entry)
{
	zr_config_watch_leave(entry->config);
	zr_http_server_drain(entry->http);
}

void zr_entry_finish_shutdown(struct zr_entry *entry)
{
	zr_router_leave(entry->router);
	request_grants_from_all(entry);
	zr_http_server_stop(entry->http);
}

unsigned int zr_entry_active_requests(const struct zr_entry *entry)
{
	return zr_http_server_open_exchanges(entry->http);
}

void zr_entry_free(struct zr_entry *entry)
{
	if (!entry)
		return;
	uv_close((uv_handle_t *)&entry->timer, NULL);
	zr_directory_free(entry->directory);
	zr_router_free(entry->router);
	zr_rpc_server_free(entry->rpc);
	zr_config_peers_free(entry->peers);
	zr_config_watch_free(entry->config);
	entry->host_list.ops->free(entry->host_list.impl);
	zr_store_free(&entry->store);
	/*
	 * Handles that are being closed still refer to the modules: run the
	 * loop until all are closed.
	 */
	uv_run(entry->loop, UV_RUN_DEFAULT);
	zr_http_server_free(entry->http);
	zr_once_store_free(&entry->once_backend);
	zr_net_budget_free(entry->budget);
	zr_metrics_free(entry->metrics);
	free(entry->hosts);
	free(entry);
}

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "cell/acceptor.h"
#include "cell/admitter.h"
#include "cell/config_poller.h"
#include "cell/frontend.h"
#include "cell/peers.h"
#include "cell/relay.h"
#include "cell/scheduler.h"
#include "net/http_server.h"
#include "net/metrics_page.h"
#include "net/uv_timers.h"
#include "store/health.h"
#include "zinniarack/cell_host.h"
#include "zinniarack/errors.h"
#include "zinniarack/log.h"

/* Interval at which on_update() passes state between scheduler and peers. */
#define UPDATE_INTERVAL_MS 100
/* Stalls of this process of at least this time are logged. */
#define STALL_LOGGED_MS 500
/* Maximum age of the last read of the configuration for a ready host. */
#define READY_AGE_MAX_MS 2000
/*
 * A host is not ready when a failure of the connection to the store has been
 * suspected for longer than this.
 */
#define READY_SUSPECT_MAX_MS 500
/*
 * After the readiness probe starts to fail, connections are still served for
 * this time, so that load balancers can direct callers to other hosts.
 */
#define DRAIN_DELAY_MS 2600
#define STOP_POLL_MS 50
#define CONNECTIONS_MAX 1500
/* Readiness probes and readers of metrics are few, and send no body. */
#define PROBE_CONNECTIONS_MAX 64
#define PROBE_BODY_BYTES_MAX 4096
#define BODY_BYTES_MAX (1 << 20)
#define REQUEST_TIMEOUT_MS 10000

struct zr_cell_host {
	struct zr_cell_host_options options;
	struct zr_cell_platform platform;
	struct zr_timers timers;
	struct zr_store direct_store;
	/* Health of this host's own connection to the store. */
	struct zr_store_health *direct_health;
	struct zr_cell_relay *relay;
	/* Health of its access to the store, also through other hosts. */
	struct zr_store_health *health;
	struct zr_cell_config_poller *config_poller;
	struct zr_cell_acceptor *acceptor;
	struct zr_cell_admitter *admitter; /* NULL without admission control */
	struct zr_cell_scheduler *scheduler;
	struct zr_cell_peers *peers;
	struct zr_cell_frontend *frontend;
	struct zr_http_server *caller_server;
	struct zr_http_server *readiness_server;
	struct zr_http_server *metrics_server;
	struct zr_net_budget *budget;
	struct zr_timer *update_timer;
	struct timespec update_due_at;
	struct zr_timer *stop_timer;
	bool stopping;
	bool released;
	bool ready;
	unsigned int stop_elapsed_ms;
	void (*stopped)(void *ctx);
	void *stopped_ctx;
};

static bool is_ready(const struct zr_cell_host *host)
{
	return !host->stopping &&
	       zr_cell_config_poller_config(host->config_poller) &&
	       zr_cell_config_poller_age_ms(host->config_poller) <
		       READY_AGE_MAX_MS &&
	       zr_store_health_suspect_ms(host->direct_health) <
		       READY_SUSPECT_MAX_MS;
}

static void on_readiness(void *ctx, struct zr_http_exchange *exchange)
{
	struct zr_cell_host *host = ctx;
	bool ready = is_ready(host);

	if (strcmp(zr_http_get_path(exchange), host->options.readiness_path)) {
		zr_http_reply(exchange, 404, "text/plain", "not found\n", 10);
		return;
	}
	if (ready != host->ready)
		zr_log(ZR_LOG_INFO, "host.readiness ready=%d age_ms=%" PRId64,
		       ready,
		       zr_cell_config_poller_age_ms(host->config_poller));
	host->ready = ready;
	zr_http_reply(exchange, ready ? 200 : 503, "text/plain",
		      ready ? "ready\n" : "unready\n", ready ? 6 : 8);
}

static void on_config(void *ctx, const struct zr_cell_config *config)
{
	struct zr_cell_host *host = ctx;

	zr_cell_scheduler_configure(host->scheduler, config);
}

static void on_proxies_changed(void *ctx,
			       const struct zr_cell_adviser_proxy *proxies,
			       size_t count)
{
	struct zr_cell_host *host = ctx;

	zr_cell_scheduler_set_proxies(host->scheduler, proxies, count);
}

static bool on_job(void *ctx, const char *job, const void *record,
		   size_t length)
{
	struct zr_cell_host *host = ctx;

	return zr_cell_scheduler_notify_job(host->scheduler, job, record,
					    length);
}

static void on_state_query(void *ctx, const char *job, const char *client,
			   zr_cell_state_fn done, void *done_ctx)
{
	struct zr_cell_host *host = ctx;

	zr_cell_scheduler_query_state(host->scheduler, job, client, done,
				      done_ctx);
}

static void on_store_call(void *ctx, const zx_cell_store_args *args,
			  zr_cell_relay_done_fn done, void *done_ctx)
{
	struct zr_cell_host *host = ctx;

	zr_cell_relay_serve(host->relay, args, done, done_ctx);
}

/* After a stall of this process, the store's responses are still to be read. */
static void check_stall(struct zr_cell_host *host)
{
	struct timespec now = zr_clock_now(host->options.clock);
	int64_t late_ms = zr_time_diff_ms(now, host->update_due_at);

	host->update_due_at = zr_time_add_ms(now, UPDATE_INTERVAL_MS);
	if (!zr_store_health_is_stall(late_ms))
		return;
	zr_store_health_resumed(host->direct_health);
	zr_store_health_resumed(host->health);
	if (late_ms >= STALL_LOGGED_MS)
		zr_log(ZR_LOG_INFO, "host.stalled late_ms=%" PRId64, late_ms);
}

static void on_update(void *ctx)
{
	struct zr_cell_host *host = ctx;

	check_stall(host);
	zr_cell_peers_set_active(host->peers,
				 zr_cell_scheduler_active(host->scheduler));
	zr_cell_scheduler_set_settling(host->scheduler,
				       zr_cell_peers_settling(host->peers));
	zr_cell_scheduler_set_sizes(host->scheduler,
				    zr_cell_peers_own_size(host->peers),
				    zr_cell_peers_largest(host->peers));
	zr_cell_scheduler_set_successor(
		host->scheduler, zr_cell_peers_largest_registered(host->peers));
	zr_cell_scheduler_set_suspect(
		host->scheduler,
		zr_store_health_suspect_ms(host->direct_health) > 0);
}

/* Start */

/* Wraps the platform's store: its health, the relay, the health of both. */
static int create_store(struct zr_cell_host *host)
{
	const struct zr_cell_host_options *options = &host->options;
	struct zr_store relayed;
	int error;

	error = zr_store_health_new(&host->direct_health, &host->direct_store,
				    &options->platform.store, options->clock);
	if (!error)
		error = zr_cell_relay_new(&host->relay, &relayed,
					  &host->direct_store,
					  host->direct_health, &host->timers,
					  options->clock, options->metrics);
	if (!error)
		error = zr_store_health_new(&host->health,
					    &host->platform.store, &relayed,
					    options->clock);
	return error;
}

static int create_store_clients(struct zr_cell_host *host)
{
	static const struct zr_cell_peers_events events = {
		on_job, on_state_query, on_store_call};
	const struct zr_cell_host_options *options = &host->options;
	const struct zr_cell_settings *settings = options->settings;
	const struct zr_cell_scheduler_options scheduler_options = {
		.timers = &host->timers,
		.clock = options->clock,
		.platform = &host->platform,
		.limits = {settings->lease_ms, settings->lease_max_ms,
			   settings->keep_ended_ms, settings->evacuation_ms},
		.host = settings->name,
		.cell = settings->cell,
		.metrics = options->metrics,
		.past_use = {settings->past_use.half_life_s,
			     settings->past_use.weight_percent},
		.worker_speed = settings->worker_speed.enabled,
		.admission = settings->admission.enabled,
		.move_leaving = settings->departures.move_runs,
	};
	int error;

	error = zr_cell_scheduler_new(&host->scheduler, &scheduler_options);
	if (!error)
		error = zr_cell_config_poller_new(
			&host->config_poller, &host->timers, options->clock,
			&host->platform, options->metrics, on_config, host);
	if (!error)
		error = zr_cell_acceptor_new(
			&host->acceptor, &host->timers, options->clock,
			&host->platform.store, host->health, options->metrics);
	if (!error)
		error = zr_cell_peers_new(
			&host->peers, options->loop, &host->timers,
			options->clock, &host->platform, settings->name,
			settings->listen.peers, settings->processors,
			on_proxies_changed, &events, host);
	return error;
}

static int create_admitter(struct zr_cell_host *host)
{
	const struct zr_cell_host_options *options = &host->options;
	const struct zr_cell_admitter_options admitter_options = {
		.timers = &host->timers,
		.clock = options->clock,
		.store = &host->platform.store,
		.health = host->health,
		.acceptor = host->acceptor,
		.metrics = options->metrics,
	};

	if (!options->settings->admission.enabled)
		return 0;
	return zr_cell_admitter_new(&host->admitter, &admitter_options);
}

static int create_frontend(struct zr_cell_host *host)
{
	const struct zr_cell_host_options *options = &host->options;
	const struct zr_cell_frontend_options frontend_options = {
		.codec = options->codec,
		.config_poller = host->config_poller,
		.acceptor = host->acceptor,
		.store = &host->platform.store,
		.peers = host->peers,
		.scheduler = host->scheduler,
		.clock = options->clock,
		.health = host->health,
		.key_age_max_ms = options->settings->key_age_max_ms,
		.metrics = options->metrics,
		.admitter = host->admitter,
	};

	return zr_cell_frontend_new(&host->frontend, &frontend_options);
}

/* The budget is that of all servers. */
static int create_budget(struct zr_cell_host *host)
{
	const struct zr_cell_host_options *options = &host->options;

	return zr_net_budget_new(&host->budget,
				 (size_t)options->settings->message_memory_mb
					 << 20,
				 options->clock, options->metrics);
}

static int start_servers(struct zr_cell_host *host)
{
	const struct zr_cell_host_options *options = &host->options;
	const struct zr_cell_settings *settings = options->settings;
	const struct zr_http_server_options limits = {
		ZR_HTTP_SERVER_OPTIONS_VERSION, BODY_BYTES_MAX,
		REQUEST_TIMEOUT_MS, CONNECTIONS_MAX, host->budget};
	const struct zr_http_server_options probe_limits = {
		ZR_HTTP_SERVER_OPTIONS_VERSION, PROBE_BODY_BYTES_MAX,
		REQUEST_TIMEOUT_MS, PROBE_CONNECTIONS_MAX, host->budget};
	int error;

	error = zr_http_server_new(&host->metrics_server, options->loop,
				   settings->listen.metrics, &probe_limits,
				   zr_metrics_page_serve, options->metrics);
	if (!error)
		error = zr_http_server_new(&host->readiness_server,
					   options->loop,
					   settings->listen.readiness,
					   &probe_limits, on_readiness, host);
	if (!error)
		error = zr_http_server_new(&host->caller_server, options->loop,
					   settings->listen.callers, &limits,
					   zr_cell_frontend_handle,
					   host->frontend);
	return error;
}

int zr_cell_host_new(struct zr_cell_host **out,
		     const struct zr_cell_host_options *options)
{
	struct zr_cell_host *host = calloc(1, sizeof(*host));
	int error;

	if (!host)
		return ZR_E_NOMEM;
	host->options = *options;
	host->platform = options->platform;
	host->timers = zr_uv_timers_for_loop(options->loop);
	error = create_budget(host);
	if (!error)
		error = create_store(host);
	if (!error)
		error = create_store_clients(host);
	if (!error)
		zr_cell_peers_set_budget(host->peers, host->budget);
	host->update_due_at = zr_clock_now(options->clock);
	if (!error)
		on_update(host);
	if (!error)
		zr_cell_relay_set_sender(host->relay, zr_cell_peers_relay,
					 host->peers);
	if (!error)
		error = create_admitter(host);
	if (!error)
		error = create_frontend(host);
	if (!error)
		error = start_servers(host);
	/* The process exits on an error, which frees what was created. */
	if (error < 0)
		return error;
	host->update_timer = zr_timer_new(&host->timers, on_update, host);
	zr_timer_start(host->update_timer, UPDATE_INTERVAL_MS,
		       UPDATE_INTERVAL_MS);
	*out = host;
	return 0;
}

/* Graceful shutdown */

static bool is_idle(const struct zr_cell_host *host)
{
	return host->released && host->stop_elapsed_ms >= DRAIN_DELAY_MS &&
	       !zr_http_server_open_exchanges(host->caller_server) &&
	       !zr_cell_acceptor_pending(host->acceptor);
}

static void on_stop_poll(void *ctx)
{
	struct zr_cell_host *host = ctx;

	host->stop_elapsed_ms += STOP_POLL_MS;
	if (host->stop_elapsed_ms == DRAIN_DELAY_MS)
		zr_http_server_drain(host->caller_server);
	if (!is_idle(host) &&
	    host->stop_elapsed_ms < host->options.settings->leave_ms)
		return;
	zr_timer_stop(host->stop_timer);
	zr_log(ZR_LOG_INFO, "host.stopped waited_ms=%u cut_off=%u",
	       host->stop_elapsed_ms,
	       zr_http_server_open_exchanges(host->caller_server));
	host->stopped(host->stopped_ctx);
}

static void on_released(void *ctx)
{
	struct zr_cell_host *host = ctx;

	host->released = true;
}

void zr_cell_host_stop(struct zr_cell_host *host, void (*done)(void *ctx),
		       void *ctx)
{
	if (host->stopping)
		return;
	host->stopping = true;
	host->stopped = done;
	host->stopped_ctx = ctx;
	zr_log(ZR_LOG_INFO, "host.stopping open=%u",
	       zr_http_server_open_exchanges(host->caller_server));
	zr_cell_peers_leave(host->peers);
	zr_cell_scheduler_release(host->scheduler, on_released, host);
	host->stop_timer = zr_timer_new(&host->timers, on_stop_poll, host);
	zr_timer_start(host->stop_timer, STOP_POLL_MS, STOP_POLL_MS);
}

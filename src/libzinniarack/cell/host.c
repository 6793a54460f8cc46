#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "cell/acceptor.h"
#include "cell/config_poller.h"
#include "cell/frontend.h"
#include "cell/peers.h"
#include "cell/scheduler.h"
#include "net/http_server.h"
#include "net/metrics_page.h"
#include "net/uv_timers.h"
#include "store/health.h"
#include "zinniarack/cell_host.h"
#include "zinniarack/errors.h"
#include "zinniarack/log.h"

#define FOLLOW_MS 100
/* Ready while the store has confirmed the configuration within this time. */
#define READY_AGE_MAX_MS 1300
/* A way to the store that has been suspect for longer is taken as lost. */
#define READY_SUSPECT_MAX_MS 500
/* Callers are sent elsewhere for this long before connections are closed. */
#define LINGER_MS 2600
#define STOP_POLL_MS 50
#define CONNECTIONS_MAX 1500
#define BODY_BYTES_MAX (1 << 20)
#define REQUEST_TIMEOUT_MS 10000

struct zr_cell_host {
	struct zr_cell_host_options options;
	struct zr_cell_surroundings surroundings;
	struct zr_timers timers;
	struct zr_store_health *health;
	struct zr_cell_current *current;
	struct zr_cell_accept *accept;
	struct zr_cell_scheduler *scheduler;
	struct zr_cell_members *members;
	struct zr_cell_front *front;
	struct zr_http_server *callers;
	struct zr_http_server *readiness;
	struct zr_http_server *metrics;
	struct zr_timer *follow;
	struct zr_timer *stop;
	bool stopping;
	bool handed_over;
	bool ready;
	unsigned int stopping_ms;
	void (*stopped)(void *ctx);
	void *stopped_ctx;
};

static bool is_ready(const struct zr_cell_host *host)
{
	return !host->stopping && zr_cell_current_config(host->current) &&
	       zr_cell_current_age_ms(host->current) < READY_AGE_MAX_MS &&
	       zr_store_health_suspect_ms(host->health) < READY_SUSPECT_MAX_MS;
}

static void on_readiness(void *ctx, struct zr_http_exchange *exchange)
{
	struct zr_cell_host *host = ctx;
	bool ready = is_ready(host);

	if (strcmp(zr_http_path(exchange), host->options.readiness_path)) {
		zr_http_reply(exchange, 404, "text/plain", "not found\n", 10);
		return;
	}
	if (ready != host->ready)
		zr_log(ZR_LOG_INFO, "host.readiness ready=%d age_ms=%" PRId64,
		       ready, zr_cell_current_age_ms(host->current));
	host->ready = ready;
	zr_http_reply(exchange, ready ? 200 : 503, "text/plain",
		      ready ? "ready\n" : "unready\n", ready ? 6 : 8);
}

static void on_config(void *ctx, const struct zr_cell_config *config)
{
	struct zr_cell_host *host = ctx;

	zr_cell_scheduler_configure(host->scheduler, config);
}

static void on_helpers(void *ctx, const struct zr_cell_helper *helpers,
		       size_t count)
{
	struct zr_cell_host *host = ctx;

	zr_cell_scheduler_helpers(host->scheduler, helpers, count);
}

static bool on_news(void *ctx, const char *job, const void *record,
		    size_t length)
{
	struct zr_cell_host *host = ctx;

	return zr_cell_scheduler_news(host->scheduler, job, record, length);
}

static void on_state(void *ctx, const char *job, zr_cell_state_fn done,
		     void *done_ctx)
{
	struct zr_cell_host *host = ctx;

	zr_cell_scheduler_state(host->scheduler, job, done, done_ctx);
}

static void on_follow(void *ctx)
{
	struct zr_cell_host *host = ctx;

	zr_cell_members_follow(host->members,
			       zr_cell_scheduler_active(host->scheduler));
	zr_cell_scheduler_outsized(host->scheduler,
				   zr_cell_members_larger(host->members));
}

/* Start */

static int start_store_users(struct zr_cell_host *host)
{
	static const struct zr_cell_members_events events = {on_news, on_state};
	const struct zr_cell_host_options *options = &host->options;
	const struct zr_cell_settings *settings = options->settings;
	const struct zr_cell_scheduler_options scheduler = {
		.timers = &host->timers,
		.clock = options->clock,
		.surroundings = &host->surroundings,
		.limits = {settings->lease_ms, settings->lease_max_ms,
			   settings->keep_ended_ms},
		.host = settings->name,
		.cell = settings->cell,
		.metrics = options->metrics,
	};
	int error;

	error = zr_cell_scheduler_new(&host->scheduler, &scheduler);
	if (!error)
		error = zr_cell_current_new(&host->current, &host->timers,
					    options->clock, &host->surroundings,
					    options->metrics, on_config, host);
	if (!error)
		error = zr_cell_accept_new(&host->accept, &host->timers,
					   options->clock,
					   &host->surroundings.store,
					   host->health, options->metrics);
	if (!error)
		error = zr_cell_members_new(
			&host->members, options->loop, &host->timers,
			&host->surroundings, settings->name,
			settings->listen.peers, settings->processors,
			on_helpers, &events, host);
	return error;
}

static int start_front(struct zr_cell_host *host)
{
	const struct zr_cell_host_options *options = &host->options;
	const struct zr_cell_front_options front = {
		.codec = options->codec,
		.current = host->current,
		.accept = host->accept,
		.store = &host->surroundings.store,
		.members = host->members,
		.scheduler = host->scheduler,
		.clock = options->clock,
		.health = host->health,
		.key_age_max_ms = options->settings->key_age_max_ms,
		.metrics = options->metrics,
	};

	return zr_cell_front_new(&host->front, &front);
}

static int start_servers(struct zr_cell_host *host)
{
	const struct zr_cell_host_options *options = &host->options;
	const struct zr_cell_settings *settings = options->settings;
	const struct zr_http_server_options limits = {
		ZR_HTTP_SERVER_OPTIONS_VERSION, BODY_BYTES_MAX,
		REQUEST_TIMEOUT_MS, CONNECTIONS_MAX};
	int error;

	error = zr_http_server_new(&host->metrics, options->loop,
				   settings->listen.metrics, NULL,
				   zr_metrics_page, options->metrics);
	if (!error)
		error = zr_http_server_new(&host->readiness, options->loop,
					   settings->listen.readiness, NULL,
					   on_readiness, host);
	if (!error)
		error = zr_http_server_new(&host->callers, options->loop,
					   settings->listen.callers, &limits,
					   zr_cell_front_handle, host->front);
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
	host->surroundings = options->surroundings;
	host->timers = zr_uv_timers(options->loop);
	error = zr_store_health_new(&host->health, &host->surroundings.store,
				    &options->surroundings.store,
				    options->clock);
	if (!error)
		error = start_store_users(host);
	if (!error)
		error = start_front(host);
	if (!error)
		error = start_servers(host);
	/* A start that fails ends the process, and with it what was begun. */
	if (error < 0)
		return error;
	host->follow = zr_timer_new(&host->timers, on_follow, host);
	zr_timer_start(host->follow, FOLLOW_MS, FOLLOW_MS);
	*out = host;
	return 0;
}

/* Graceful shutdown */

static bool quiet(const struct zr_cell_host *host)
{
	return host->handed_over && host->stopping_ms >= LINGER_MS &&
	       !zr_http_server_open(host->callers) &&
	       !zr_cell_accept_open(host->accept);
}

static void on_stop_poll(void *ctx)
{
	struct zr_cell_host *host = ctx;

	host->stopping_ms += STOP_POLL_MS;
	if (host->stopping_ms == LINGER_MS)
		zr_http_server_drain(host->callers);
	if (!quiet(host) &&
	    host->stopping_ms < host->options.settings->leave_ms)
		return;
	zr_timer_stop(host->stop);
	zr_log(ZR_LOG_INFO, "host.stopped waited_ms=%u cut_off=%u",
	       host->stopping_ms, zr_http_server_open(host->callers));
	host->stopped(host->stopped_ctx);
}

static void on_handed_over(void *ctx)
{
	struct zr_cell_host *host = ctx;

	host->handed_over = true;
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
	       zr_http_server_open(host->callers));
	zr_cell_members_leave(host->members);
	zr_cell_scheduler_release(host->scheduler, on_handed_over, host);
	host->stop = zr_timer_new(&host->timers, on_stop_poll, host);
	zr_timer_start(host->stop, STOP_POLL_MS, STOP_POLL_MS);
}

/*
 * Checks from a client's side that hosts serve with the newest configuration
 * (CONFIG). Asks the stand-in platform how far the configuration has grown, and
 * each host, again and again, for the last route that was added. The time from
 * the growth, from when the host was last down, and from one answer that shows
 * that it knows route and key to the next one, must each be within a bound.
 */
#include <argp.h>
#include <inttypes.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uv.h>

#include "net/http_client.h"
#include "zinniarack/clock.h"
#include "zinniarack/errors.h"

#define HOSTS_MAX 64
#define TICK_MS 20
#define PROBE_INTERVAL_MS 100
#define PROBE_TIMEOUT_MS 1000
#define MS_PER_S INT64_C(1000)
/* Bound config_apply on a link with at least CONFIG_APPLY_MBPS. */
#define CONFIG_APPLY_MS 3000
#define CONFIG_APPLY_MBPS 10
/* What a busy machine may add to the bound. */
#define GRACE_MS 1000
/* A host answers so when it knows route and key, but not the job's id. */
#define STATUS_SERVED 400

/**
 * struct host - a host under test
 * @bound_ms: time in which it must serve with the newest configuration
 * @up_since: when it was last seen to be down
 * @sent_at: when the probe in flight, or the last one, was sent
 * @routes: routes that the probe in flight, or the last one, asked for
 * @served_routes: routes that it has last served with
 * @served_at: when it last served with them
 * @reported_routes: routes whose violation was reported, to report it once
 * @slowest_ms: longest time that it took to serve
 */
struct host {
	struct zr_http_client *client;
	int64_t bound_ms;
	int64_t up_since;
	int64_t sent_at;
	bool in_flight;
	int routes;
	int served_routes;
	int64_t served_at;
	int reported_routes;
	int64_t slowest_ms;
};

static struct {
	char *addresses;
	const char *control_address;
	int mbps;
	int wide;
	int seconds;
	struct host hosts[HOSTS_MAX];
	int host_count;
	struct zr_http_client *control;
	bool control_in_flight;
	int routes;	  /* that were added, as far as the platform says */
	int64_t grown_at; /* when it first said so */
	int growths;
	unsigned int violations;
	int64_t started_at;
	int64_t asked_at;
	uv_timer_t timer;
} state = {.mbps = CONFIG_APPLY_MBPS};

static int64_t now_ms(void)
{
	return zr_time_to_ms(zr_clock_now(zr_clock_system()));
}

/* Growth */

static void on_growth(void *ctx, int error,
		      const struct zr_http_response *answer)
{
	json_t *body;
	int routes;

	(void)ctx;
	state.control_in_flight = false;
	if (error < 0 || answer->status != 200)
		return;
	body = json_loadb(answer->body, answer->body_length, 0, NULL);
	routes = (int)json_integer_value(json_object_get(body, "routes"));
	json_decref(body);
	if (routes == state.routes)
		return;
	state.routes = routes;
	state.grown_at = now_ms();
	state.growths++;
	printf("configuration grew to %d routes at %" PRId64 "\n", routes,
	       state.grown_at - state.started_at);
}

static void ask_growth(void)
{
	const struct zr_http_call request = {
		.method = "GET", .path = "/", .timeout_ms = PROBE_TIMEOUT_MS};

	state.control_in_flight = true;
	zr_http_client_call(state.control, &request, on_growth, NULL);
}

/* Probes */

static int host_index(const struct host *host)
{
	return (int)(host - state.hosts);
}

/* From when on the time counts in which @host must serve. */
static int64_t counts_from(const struct host *host)
{
	int64_t from = state.grown_at;

	if (host->up_since > from)
		from = host->up_since;
	if (host->served_routes == host->routes && host->served_at > from)
		from = host->served_at;
	return from;
}

static void record_served(struct host *host)
{
	int64_t took_ms = now_ms() - counts_from(host);

	if (took_ms > host->slowest_ms)
		host->slowest_ms = took_ms;
	if (host->served_routes != host->routes)
		printf("host%d serves with %d routes after %" PRId64 " ms\n",
		       host_index(host), host->routes, took_ms);
	host->served_routes = host->routes;
	host->served_at = now_ms();
}

static void check_missed(struct host *host, int error, int status)
{
	int64_t from = counts_from(host);

	if (host->sent_at <= from + host->bound_ms ||
	    host->reported_routes == host->routes)
		return;
	host->reported_routes = host->routes;
	state.violations++;
	printf("VIOLATION CONFIG host%d hasn't served with %d routes for "
	       "%" PRId64 " ms: status %d error %s\n",
	       host_index(host), host->routes, now_ms() - from, status,
	       zr_error_name(error));
}

static void on_probed(void *ctx, int error,
		      const struct zr_http_response *answer)
{
	struct host *host = ctx;
	int status = error < 0 ? 0 : answer->status;

	host->in_flight = false;
	/* Refused or reset: the host is down. One that hangs has no excuse. */
	if (error < 0 && now_ms() - host->sent_at < PROBE_TIMEOUT_MS)
		host->up_since = now_ms();
	else if (host->routes != state.routes)
		return;
	else if (status == STATUS_SERVED)
		record_served(host);
	else
		check_missed(host, error, status);
}

static void probe(struct host *host)
{
	static const struct zr_http_header_field headers[] = {
		{"Host", "q.example"}, {"Authorization", "Bearer key-1"}};
	char path[64];
	const struct zr_http_call request = {
		.method = "GET",
		.path = path,
		.headers = headers,
		.header_count = 2,
		.timeout_ms = PROBE_TIMEOUT_MS,
	};

	snprintf(path, sizeof(path), "/added/%d/no-job", state.routes - 1);
	host->in_flight = true;
	host->sent_at = now_ms();
	host->routes = state.routes;
	zr_http_client_call(host->client, &request, on_probed, host);
}

/* Prints the result and returns the exit code. */
static int report(void)
{
	int64_t slowest_ms = 0;
	int i;

	for (i = 0; i < state.host_count; i++) {
		const struct host *host = &state.hosts[i];

		if (host->slowest_ms > slowest_ms)
			slowest_ms = host->slowest_ms;
		if (host->served_routes == state.routes)
			continue;
		state.violations++;
		printf("VIOLATION CONFIG host%d has not served with %d routes "
		       "at the end\n",
		       i, state.routes);
	}
	printf("growths %d slowest %" PRId64 " ms violations %u\n",
	       state.growths, slowest_ms, state.violations);
	return state.violations || !state.growths ? 1 : 0;
}

static void on_tick(uv_timer_t *timer)
{
	int64_t now = now_ms();
	int i;

	(void)timer;
	if (now - state.asked_at >= PROBE_INTERVAL_MS &&
	    !state.control_in_flight) {
		state.asked_at = now;
		ask_growth();
	}
	for (i = 0; i < state.host_count && state.routes; i++) {
		struct host *host = &state.hosts[i];

		if (!host->in_flight &&
		    now - host->sent_at >= PROBE_INTERVAL_MS)
			probe(host);
	}
	if (now - state.started_at >= state.seconds * MS_PER_S)
		exit(report());
}

static error_t parse_option(int key, char *arg, struct argp_state *argp_state)
{
	(void)argp_state;
	switch (key) {
	case 'h':
		state.addresses = arg;
		return 0;
	case 'c':
		state.control_address = arg;
		return 0;
	case 'b':
		state.mbps = atoi(arg);
		return 0;
	case 'w':
		state.wide = atoi(arg);
		return 0;
	case 't':
		state.seconds = atoi(arg);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static int add_host(uv_loop_t *loop, const char *address)
{
	struct host *host = &state.hosts[state.host_count];
	bool is_limited = state.host_count++ >= state.wide &&
			  state.mbps < CONFIG_APPLY_MBPS;

	host->bound_ms =
		GRACE_MS +
		(is_limited ? CONFIG_APPLY_MS * CONFIG_APPLY_MBPS / state.mbps
			    : CONFIG_APPLY_MS);
	return zr_http_client_new(&host->client, loop, address, NULL);
}

int main(int argc, char **argv)
{
	static const struct argp_option options[] = {
		{"hosts", 'h', "ADDRESS,...", 0,
		 "Addresses of the hosts of the cell", 0},
		{"control", 'c', "ADDRESS", 0,
		 "Control address of the platform", 0},
		{"mbps", 'b', "N", 0, "Bandwidth of the limited links", 0},
		{"wide", 'w', "N", 0,
		 "Number of hosts, the first ones, without a limited link", 0},
		{"seconds", 't', "N", 0, "Duration in seconds", 0},
		{0},
	};
	static const struct argp argp = {
		options, parse_option,
		NULL,	 "Checks the configuration of hosts in soak tests.",
		NULL,	 NULL,
		NULL};
	uv_loop_t *loop = uv_default_loop();
	char *address;

	signal(SIGPIPE, SIG_IGN);
	setvbuf(stdout, NULL, _IOLBF, 0);
	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	for (address = strtok(state.addresses, ",");
	     address && state.host_count < HOSTS_MAX;
	     address = strtok(NULL, ",")) {
		if (add_host(loop, address) < 0)
			return 2;
	}
	if (zr_http_client_new(&state.control, loop, state.control_address,
			       NULL) < 0)
		return 2;
	state.started_at = now_ms();
	uv_timer_init(loop, &state.timer);
	uv_timer_start(&state.timer, on_tick, TICK_MS, TICK_MS);
	return uv_run(loop, UV_RUN_DEFAULT);
}

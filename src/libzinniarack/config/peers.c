#include "config/peers.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "msg_peers.h"
#include "net/rpc_client.h"
#include "zinniarack/errors.h"
#include "zinniarack/log.h"

#define TICK_MS 500
#define FAR_EACH_TICKS 2 /* peers of other failure domains: each second */
#define TIMEOUT_MS 1000
#define SILENT_MS 2500

struct peer {
	struct peer *prev;
	struct peer *next;
	struct zr_config_peers *peers;
	struct zr_rpc_client *client;
	char name[ZR_NAME_MAX];
	bool near; /* of this failure domain */
	bool listed;
	bool call_open;
	struct timespec asked;
	uint64_t held; /* version it is known to hold; UINT64_MAX: unknown */
};

struct zr_config_peers {
	uv_loop_t *loop;
	const struct zr_clock *clock;
	struct zr_config_watch *watch;
	struct zr_timer *timer;
	bool entry;
	const char *name;
	const char *domain;
	struct peer *list;
	unsigned int ticks;
	struct timespec near_heard;
};

static const struct zr_rpc_procedure exchange = {
	.number = ZX_EXCHANGE,
	.encode_args = (xdrproc_t)xdr_zx_peer_news,
	.decode_result = (xdrproc_t)xdr_zx_peer_news,
	.args_size = sizeof(zx_peer_news),
	.result_size = sizeof(zx_peer_news),
};

/* Messages */

static void to_message(zx_peer_news *out,
		       const struct zr_config_peer_status *news)
{
	*out = (zx_peer_news){
		.name = (char *)news->name,
		.domain = (char *)news->domain,
		.address = (char *)news->address,
		.incarnation = news->incarnation,
		.held_version = news->version,
		.age_ms = news->age_ms,
		.trusted_age_ms = news->trusted_age_ms,
		.unsettled = news->unsettled,
		.leaving = news->leaving,
	};
	out->text.text_val = (char *)news->text;
	out->text.text_len = news->text ? (u_int)news->length : 0;
}

static int64_t read_age(int64_t age_ms)
{
	return age_ms < 0 ? ZR_CONFIG_NEVER_CONFIRMED : age_ms;
}

static void from_message(struct zr_config_peer_status *out,
			 const zx_peer_news *message)
{
	*out = (struct zr_config_peer_status){
		.name = message->name,
		.domain = message->domain,
		.address = message->address,
		.incarnation = message->incarnation,
		.version = message->held_version,
		.age_ms = read_age(message->age_ms),
		.trusted_age_ms = read_age(message->trusted_age_ms),
		.unsettled = message->unsettled,
		.leaving = message->leaving,
		.text = message->text.text_len ? message->text.text_val : NULL,
		.length = message->text.text_len,
	};
}

static void serve(void *ctx, struct zr_rpc_call *call, void *data)
{
	struct zr_config_watch *watch = ctx;
	struct zr_config_peer_status news;
	zx_peer_news *message = data;
	zx_peer_news result;

	from_message(&news, message);
	zr_config_watch_process_request(watch, &news);
	zr_config_watch_fill_status(&news, watch, message->held_version);
	to_message(&result, &news);
	zr_rpc_reply(call, &result);
}

const struct zr_rpc_service zr_config_peers_services[] = {
	{&exchange, serve},
	{NULL, NULL},
};

/* Calls */

static void on_answer(void *ctx, int error, void *data)
{
	struct peer *peer = ctx;
	struct zr_config_peers *peers = peer->peers;
	struct zr_config_peer_status news;
	const zx_peer_news *message = data;

	peer->call_open = false;
	if (error < 0)
		return;
	if (peer->near)
		peers->near_heard = zr_clock_now(peers->clock);
	peer->held = message->held_version;
	from_message(&news, message);
	zr_config_watch_process_response(peers->watch, &news,
					 zr_rpc_client_address(peer->client),
					 peer->asked);
}

static void ask(struct peer *peer)
{
	struct zr_config_peer_status news;
	zx_peer_news message;

	if (peer->call_open)
		return;
	peer->call_open = true;
	peer->asked = zr_clock_now(peer->peers->clock);
	zr_config_watch_fill_status(&news, peer->peers->watch, peer->held);
	to_message(&message, &news);
	zr_rpc_client_call(peer->client, &exchange, &message, TIMEOUT_MS,
			   on_answer, peer);
}

/* A scheduler asks other failure domains only when its own is silent. */
static bool asks_far(const struct zr_config_peers *peers)
{
	struct timespec now = zr_clock_now(peers->clock);

	if (peers->ticks % FAR_EACH_TICKS)
		return false;
	return peers->entry ||
	       zr_time_diff_ms(now, peers->near_heard) > SILENT_MS;
}

static void on_tick(void *ctx)
{
	struct zr_config_peers *peers = ctx;
	bool far = asks_far(peers);
	struct peer *peer;

	peers->ticks++;
	DL_FOREACH(peers->list, peer)
	{
		if (peer->near || far)
			ask(peer);
	}
}

void zr_config_peers_notify(struct zr_config_peers *peers)
{
	struct peer *peer;

	DL_FOREACH(peers->list, peer)
	ask(peer);
}

/* Host list */

static struct peer *find(const struct zr_config_peers *peers,
			 const struct zr_host *host)
{
	struct peer *peer;

	DL_FOREACH(peers->list, peer)
	{
		if (!strcmp(peer->name, host->name) &&
		    !strcmp(zr_rpc_client_address(peer->client), host->address))
			return peer;
	}
	return NULL;
}

static struct peer *add(struct zr_config_peers *peers,
			const struct zr_host *host)
{
	struct peer *peer = calloc(1, sizeof(*peer));

	if (!peer)
		abort();
	if (zr_rpc_client_new(&peer->client, peers->loop, host->address,
			      ZX_PEERS, ZX_PEERS_V1) < 0) {
		zr_log(ZR_LOG_ERROR, "peers.refused host=%s detail=\"%s\"",
		       host->name, zr_error_last());
		free(peer);
		return NULL;
	}
	peer->peers = peers;
	memcpy(peer->name, host->name, sizeof(peer->name));
	peer->near = !strcmp(host->domain, peers->domain);
	peer->held = UINT64_MAX;
	DL_APPEND(peers->list, peer);
	return peer;
}

static void drop(struct peer *peer)
{
	DL_DELETE(peer->peers->list, peer);
	zr_rpc_client_free(peer->client);
	free(peer);
}

void zr_config_peers_set_hosts(struct zr_config_peers *peers,
			       const struct zr_host *hosts, size_t count,
			       struct timespec asked)
{
	struct peer *peer;
	struct peer *next;
	size_t i;

	DL_FOREACH(peers->list, peer)
	peer->listed = false;
	for (i = 0; i < count; i++) {
		if (hosts[i].kind != ZR_HOST_ENTRY ||
		    (peers->entry && !strcmp(hosts[i].name, peers->name)))
			continue;
		peer = find(peers, &hosts[i]);
		if (!peer)
			peer = add(peers, &hosts[i]);
		if (peer)
			peer->listed = true;
	}
	DL_FOREACH_SAFE(peers->list, peer, next)
	{
		if (!peer->listed)
			drop(peer);
	}
	zr_config_watch_set_hosts(peers->watch, hosts, count, asked);
}

int zr_config_peers_new(struct zr_config_peers **out, uv_loop_t *loop,
			const struct zr_timers *timers,
			const struct zr_clock *clock,
			struct zr_config_watch *watch, bool entry,
			const char *name, const char *domain)
{
	struct zr_config_peers *peers = calloc(1, sizeof(*peers));

	if (!peers)
		return ZR_E_NOMEM;
	peers->loop = loop;
	peers->clock = clock;
	peers->watch = watch;
	peers->entry = entry;
	peers->name = name;
	peers->domain = domain;
	peers->near_heard = zr_clock_now(clock);
	peers->timer = zr_timer_new(timers, on_tick, peers);
	zr_timer_start(peers->timer, TICK_MS, TICK_MS);
	*out = peers;
	return 0;
}

void zr_config_peers_free(struct zr_config_peers *peers)
{
	struct peer *peer;
	struct peer *next;

	if (!peers)
		return;
	zr_timer_free(peers->timer);
	DL_FOREACH_SAFE(peers->list, peer, next)
	drop(peer);
	free(peers);
}

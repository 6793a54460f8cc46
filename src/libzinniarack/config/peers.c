#include "config/peers.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "msg_peers.h"
#include "net/rpc_client.h"
#include "zinniarack/errors.h"
#include "zinniarack/log.h"

/* Period of requests to the peers of the own failure domain. */
#define EXCHANGE_MS 500
/* Period of requests to the other peers, in multiples of EXCHANGE_MS. */
#define OTHER_DOMAINS_TICKS 2
#define CALL_TIMEOUT_MS 1000
/* A scheduler queries other domains after this time without a response. */
#define OWN_DOMAIN_TIMEOUT_MS 2500

/**
 * struct peer - an entry daemon that this process sends requests to
 * @prev: previous peer of the list
 * @next: next peer of the list
 * @peers: the exchange
 * @client: RPC client for its address
 * @name: name of its host
 * @in_own_domain: whether it is in this host's failure domain
 * @listed: whether the last read of the host list contained it
 * @call_in_flight: whether a request awaits its response
 * @sent_at: when the last request was sent
 * @version: last version that it reported; UINT64_MAX if it never has
 */
struct peer {
	struct peer *prev;
	struct peer *next;
	struct zr_config_peers *peers;
	struct zr_rpc_client *client;
	char name[ZR_NAME_MAX];
	bool in_own_domain;
	bool listed;
	bool call_in_flight;
	struct timespec sent_at;
	uint64_t version;
};

/**
 * struct zr_config_peers - the exchange of a process with its peers
 * @loop: event loop of the RPC clients
 * @clock: the clock
 * @watch: the configuration watch
 * @timer: timer with the period EXCHANGE_MS
 * @entry: whether this process is an entry daemon, not a scheduler
 * @name: name of this host
 * @domain: failure domain of this host
 * @list: the peers
 * @ticks: number of times that the timer expired
 * @own_domain_responded_at: when a peer of this failure domain last responded;
 *	at first, when the exchange was started
 */
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
	struct timespec own_domain_responded_at;
};

static const struct zr_rpc_procedure exchange = {
	.number = ZX_EXCHANGE,
	.args_codec = (xdrproc_t)xdr_zx_peer_news,
	.result_codec = (xdrproc_t)xdr_zx_peer_news,
	.args_size = sizeof(zx_peer_news),
	.result_size = sizeof(zx_peer_news),
};

/* Messages */

static void encode_status(zx_peer_news *out,
			  const struct zr_config_peer_status *status)
{
	*out = (zx_peer_news){
		.name = (char *)status->name,
		.domain = (char *)status->domain,
		.address = (char *)status->address,
		.incarnation = status->incarnation,
		.held_version = status->version,
		.age_ms = status->confirmed_age_ms,
		.trusted_age_ms = status->trusted_age_ms,
		.unsettled = status->proposal_pending,
		.leaving = status->leaving,
	};
	out->text.text_val = (char *)status->text;
	out->text.text_len = status->text ? (u_int)status->length : 0;
}

static int64_t decode_age(int64_t age_ms)
{
	return age_ms < 0 ? ZR_CONFIG_NEVER_CONFIRMED : age_ms;
}

static void decode_status(struct zr_config_peer_status *out,
			  const zx_peer_news *message)
{
	*out = (struct zr_config_peer_status){
		.name = message->name,
		.domain = message->domain,
		.address = message->address,
		.incarnation = message->incarnation,
		.version = message->held_version,
		.confirmed_age_ms = decode_age(message->age_ms),
		.trusted_age_ms = decode_age(message->trusted_age_ms),
		.proposal_pending = message->unsettled,
		.leaving = message->leaving,
		.text = message->text.text_len ? message->text.text_val : NULL,
		.length = message->text.text_len,
	};
}

static void process_request(void *ctx, struct zr_rpc_call *call, void *data)
{
	struct zr_config_watch *watch = ctx;
	struct zr_config_peer_status status;
	zx_peer_news *message = data;
	zx_peer_news result;

	decode_status(&status, message);
	zr_config_watch_process_request(watch, &status);
	zr_config_watch_fill_status(&status, watch, message->held_version);
	encode_status(&result, &status);
	zr_rpc_reply(call, &result);
}

const struct zr_rpc_dispatch_entry zr_config_peers_dispatch_table[] = {
	{&exchange, process_request},
	{NULL, NULL},
};

/* Requests */

static void on_response(void *ctx, int error, void *data)
{
	struct peer *peer = ctx;
	struct zr_config_peers *peers = peer->peers;
	struct zr_config_peer_status status;
	const zx_peer_news *message = data;

	peer->call_in_flight = false;
	if (error < 0)
		return;
	if (peer->in_own_domain)
		peers->own_domain_responded_at = zr_clock_now(peers->clock);
	peer->version = message->held_version;
	decode_status(&status, message);
	zr_config_watch_process_response(peers->watch, &status,
					 zr_rpc_client_address(peer->client),
					 peer->sent_at);
}

static void send_request(struct peer *peer)
{
	struct zr_config_peer_status status;
	zx_peer_news message;

	if (peer->call_in_flight)
		return;
	peer->call_in_flight = true;
	peer->sent_at = zr_clock_now(peer->peers->clock);
	zr_config_watch_fill_status(&status, peer->peers->watch, peer->version);
	encode_status(&message, &status);
	zr_rpc_client_call(peer->client, &exchange, &message, CALL_TIMEOUT_MS,
			   on_response, peer);
}

/*
 * Whether to query other domains in this tick; a scheduler does so only while
 * its own domain doesn't respond.
 */
static bool queries_other_domains(const struct zr_config_peers *peers)
{
	struct timespec now = zr_clock_now(peers->clock);

	if (peers->ticks % OTHER_DOMAINS_TICKS)
		return false;
	return peers->entry ||
	       zr_time_diff_ms(now, peers->own_domain_responded_at) >
		       OWN_DOMAIN_TIMEOUT_MS;
}

static void on_tick(void *ctx)
{
	struct zr_config_peers *peers = ctx;
	bool others = queries_other_domains(peers);
	struct peer *peer;

	peers->ticks++;
	DL_FOREACH(peers->list, peer)
	{
		if (peer->in_own_domain || others)
			send_request(peer);
	}
}

void zr_config_peers_notify(struct zr_config_peers *peers)
{
	struct peer *peer;

	DL_FOREACH(peers->list, peer)
	send_request(peer);
}

/* Host list */

static struct peer *find_peer(const struct zr_config_peers *peers,
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

static struct peer *add_peer(struct zr_config_peers *peers,
			     const struct zr_host *host)
{
	struct peer *peer = calloc(1, sizeof(*peer));

	if (!peer)
		abort();
	if (zr_rpc_client_new(&peer->client, peers->loop, host->address,
			      ZX_PEERS, ZX_PEERS_V1) < 0) {
		zr_log(ZR_LOG_ERROR,
		       "peers.invalid_address host=%s detail=\"%s\"",
		       host->name, zr_error_last());
		free(peer);
		return NULL;
	}
	peer->peers = peers;
	memcpy(peer->name, host->name, sizeof(peer->name));
	peer->in_own_domain = !strcmp(host->domain, peers->domain);
	peer->version = UINT64_MAX;
	DL_APPEND(peers->list, peer);
	return peer;
}

static void remove_peer(struct peer *peer)
{
	DL_DELETE(peer->peers->list, peer);
	zr_rpc_client_free(peer->client);
	free(peer);
}

void zr_config_peers_set_hosts(struct zr_config_peers *peers,
			       const struct zr_host *hosts, size_t count,
			       struct timespec sent_at)
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
		peer = find_peer(peers, &hosts[i]);
		if (!peer)
			peer = add_peer(peers, &hosts[i]);
		if (peer)
			peer->listed = true;
	}
	DL_FOREACH_SAFE(peers->list, peer, next)
	{
		if (!peer->listed)
			remove_peer(peer);
	}
	zr_config_watch_set_hosts(peers->watch, hosts, count, sent_at);
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
	peers->own_domain_responded_at = zr_clock_now(clock);
	peers->timer = zr_timer_new(timers, on_tick, peers);
	zr_timer_start(peers->timer, EXCHANGE_MS, EXCHANGE_MS);
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
	remove_peer(peer);
	free(peers);
}

#include "cell/peers.h"

#include <ctype.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cell/peer_sizes.h"
#include "cell/records.h"
#include "net/rpc_client.h"
#include "net/rpc_server.h"
#include "zinniarack/errors.h"
#include "zinniarack/log.h"

/*
 * Duration of the lease on a host's registration. Requests to a host that has
 * failed time out until its lease expires.
 */
#define LEASE_MS 3000
/* Interval at which the lease is renewed, in milliseconds. */
#define TICK_MS 800
/*
 * Interval of the ticks and number of the reads after the start, when hosts
 * that started together learn of each other.
 */
#define SETTLING_TICK_MS 100
#define SETTLING_READS 10
/* Added to the adviser's timeout for the RPC to the host. */
#define RPC_TIMEOUT_MARGIN_MS 100
/*
 * If a notification times out, the owner's watch on the store delivers the job.
 * If a state query times out, the state is read from the store.
 */
#define NOTIFY_TIMEOUT_MS 400
#define STATE_TIMEOUT_MS 250
/*
 * A reply to a call to the store may bring a configuration over a thin link:
 * time without a byte of it, and time for all of it, in milliseconds.
 */
#define STORE_SILENCE_MS 500
#define STORE_TRANSFER_MAX_MS 60000
/* Ticks between reads of the registrations on a host that is not the owner. */
#define STANDBY_READ_TICKS 5
#define MILLICPUS_PER_CPU 1000
/* Largest size of a host in a registration. */
#define MILLICPUS_MAX 10000000

/*
 * A peer is removed when this number of reads in a row did not find it. Until
 * then its connection is kept, since registrations expire during an outage of
 * the store and are back soon after it.
 */
#define ABSENT_READS_MAX 8

/* Another host; allocated separately, because calls in flight refer to it. */
struct peer {
	char name[ZR_NAME_MAX];
	char address[ZR_NAME_MAX];
	struct zr_rpc_client *client;
	uint32_t millicpus;
	unsigned int absent_reads; /* 0: it is registered */
	/* Calls that were open at the time of a failure count with it. */
	unsigned int relay_failures;
	uint64_t relays_until_failure; /* number of the last call before it */
};

struct zr_cell_peers {
	uv_loop_t *loop;
	const struct zr_clock *clock;
	const struct zr_cell_platform *platform;
	char name[ZR_NAME_MAX];
	char address[ZR_NAME_MAX];
	uint32_t millicpus;
	zr_cell_adviser_proxies_fn on_proxies_changed;
	struct zr_cell_peers_events events;
	void *ctx;
	unsigned int ticks;
	unsigned int settling_reads; /* that are left */
	struct zr_timer *timer;
	struct zr_rpc_server *server;
	struct zr_cell_peer_sizes sizes;
	struct peer **peers;
	size_t count;
	size_t alloc;
	int64_t lease;
	uint64_t relay_count; /* calls relayed so far */
	bool registered;
	bool request_in_flight;
	bool active;
	bool reported; /* the scheduler has a list of proxies */
	bool read_in_flight;
	bool leaving;
};

static const struct zr_rpc_procedure advise_procedure = {
	.number = ZX_CELL_ADVISE,
	.args_codec = (xdrproc_t)xdr_zx_cell_advise_args,
	.result_codec = (xdrproc_t)xdr_zx_cell_advise_result,
	.args_size = sizeof(zx_cell_advise_args),
	.result_size = sizeof(zx_cell_advise_result),
};

static const struct zr_rpc_procedure notify_procedure = {
	.number = ZX_CELL_NEWS,
	.args_codec = (xdrproc_t)xdr_zx_cell_news,
	.result_codec = (xdrproc_t)xdr_zx_cell_taken,
	.args_size = sizeof(zx_cell_news),
	.result_size = sizeof(zx_cell_taken),
};

static const struct zr_rpc_procedure state_procedure = {
	.number = ZX_CELL_STATE,
	.args_codec = (xdrproc_t)xdr_zx_cell_state_args,
	.result_codec = (xdrproc_t)xdr_zx_cell_state_result,
	.args_size = sizeof(zx_cell_state_args),
	.result_size = sizeof(zx_cell_state_result),
};

static const struct zr_rpc_procedure account_state_procedure = {
	.number = ZX_CELL_ACCOUNT_STATE,
	.args_codec = (xdrproc_t)xdr_zx_cell_account_state_args,
	.result_codec = (xdrproc_t)xdr_zx_cell_state_result,
	.args_size = sizeof(zx_cell_account_state_args),
	.result_size = sizeof(zx_cell_state_result),
};

static const struct zr_rpc_procedure store_procedure = {
	.number = ZX_CELL_STORE,
	.args_codec = (xdrproc_t)xdr_zx_cell_store_args,
	.result_codec = (xdrproc_t)xdr_zx_cell_store_result,
	.args_size = sizeof(zx_cell_store_args),
	.result_size = sizeof(zx_cell_store_result),
	.silence_ms = STORE_SILENCE_MS,
	.transfer_max_ms = STORE_TRANSFER_MAX_MS,
};

/* Registration */

static void on_registered(void *ctx, int error,
			  const struct zr_store_reply *reply)
{
	struct zr_cell_peers *peers = ctx;

	peers->request_in_flight = false;
	peers->registered = !error && reply->succeeded;
}

static void on_lease_granted(void *ctx, int error,
			     const struct zr_store_reply *reply)
{
	struct zr_cell_peers *peers = ctx;
	char key[ZR_CELL_KEY_MAX];
	char value[2 * ZR_NAME_MAX];
	struct zr_store_put put = {key, value, 0, 0};
	const struct zr_store_txn txn = {NULL, 0, &put, 1};

	if (error < 0) {
		peers->request_in_flight = false;
		return;
	}
	peers->lease = reply->lease;
	put.lease = reply->lease;
	put.length = (size_t)snprintf(value, sizeof(value), "%s %" PRIu32,
				      peers->address, peers->millicpus);
	snprintf(key, sizeof(key), "%s%s", ZR_CELL_HOST_PREFIX, peers->name);
	zr_store_commit(&peers->platform->store, ZR_STORE_LEASE, &txn,
			on_registered, peers);
}

static void on_lease_renewed(void *ctx, int error,
			     const struct zr_store_reply *reply)
{
	struct zr_cell_peers *peers = ctx;

	(void)reply;
	peers->request_in_flight = false;
	if (error == ZR_E_NOT_FOUND)
		peers->registered = false;
}

static void renew_registration(struct zr_cell_peers *peers)
{
	const struct zr_store *store = &peers->platform->store;

	if (peers->request_in_flight || peers->leaving)
		return;
	peers->request_in_flight = true;
	if (peers->registered)
		zr_store_lease_renew(store, peers->lease, on_lease_renewed,
				     peers);
	else
		zr_store_lease_grant(store, LEASE_MS, on_lease_granted, peers);
}

/* Adviser queries that another host's scheduler sends through this host */

struct forwarded_query {
	struct zr_rpc_call *call;
};

static void on_advised(void *ctx, int error,
		       const struct zr_cell_permit *permits, size_t count,
		       uint32_t validity_ms)
{
	struct forwarded_query *query = ctx;
	zx_cell_advise_result result = {.error = error,
					.validity_ms = validity_ms};
	size_t i;

	result.permits.permits_val =
		calloc(count + 1, sizeof(*result.permits.permits_val));
	if (!result.permits.permits_val)
		abort();
	for (i = 0; i < count; i++) {
		zx_cell_permit *permit =
			&result.permits.permits_val[result.permits.permits_len];

		/* One that cannot be encoded would fail the whole reply. */
		if (zr_cell_permit_check(&permits[i]) < 0)
			continue;
		permit->worker = (char *)permits[i].worker;
		permit->ticket = (char *)permits[i].ticket;
		result.permits.permits_len++;
	}
	zr_rpc_reply(query->call, &result);
	free(result.permits.permits_val);
	free(query);
}

static void serve_advise(void *ctx, struct zr_rpc_call *call, void *data)
{
	struct zr_cell_peers *peers = ctx;
	const struct zr_cell_platform *platform = peers->platform;
	const zx_cell_advise_args *args = data;
	struct forwarded_query *query = calloc(1, sizeof(*query));
	const char *names[ZR_CELL_ADVISE_MAX];
	u_int count = args->workers.workers_len;
	u_int i;

	if (!query)
		abort();
	query->call = call;
	if (!platform->advise || peers->leaving) {
		on_advised(query, ZR_E_SHUTTING_DOWN, NULL, 0, 0);
		return;
	}
	if (count > ZR_CELL_ADVISE_MAX)
		count = ZR_CELL_ADVISE_MAX;
	for (i = 0; i < count; i++)
		names[i] = args->workers.workers_val[i].name;
	platform->advise(platform->ctx, args->job, args->occurrence, args->step,
			 names, count, args->timeout_ms, on_advised, query);
}

/* Job notifications and state queries */

static void serve_notification(void *ctx, struct zr_rpc_call *call, void *data)
{
	struct zr_cell_peers *peers = ctx;
	const zx_cell_news *notification = data;
	bool cancel = !notification->record.record_len;
	zx_cell_taken result = {peers->events.on_job(
		peers->ctx, notification->job,
		cancel ? NULL : notification->record.record_val,
		notification->record.record_len)};

	zr_rpc_reply(call, &result);
}

static void on_local_state(void *ctx, int error, enum zr_cell_job_state state)
{
	zx_cell_state_result result = {.known = !error, .state = state};

	zr_rpc_reply(ctx, &result);
}

static void serve_state(void *ctx, struct zr_rpc_call *call, void *data)
{
	struct zr_cell_peers *peers = ctx;
	const zx_cell_state_args *args = data;

	peers->events.query_state(peers->ctx, args->job, "", on_local_state,
				  call);
}

static void serve_account_state(void *ctx, struct zr_rpc_call *call, void *data)
{
	struct zr_cell_peers *peers = ctx;
	const zx_cell_account_state_args *args = data;

	peers->events.query_state(peers->ctx, args->job, args->client,
				  on_local_state, call);
}

static void on_store_served(void *ctx, int error,
			    const zx_cell_store_result *result)
{
	(void)error;
	/* The codec does not change what it encodes. */
	zr_rpc_reply(ctx, (void *)result);
}

static void serve_store(void *ctx, struct zr_rpc_call *call, void *data)
{
	struct zr_cell_peers *peers = ctx;

	peers->events.serve_store(peers->ctx, data, on_store_served, call);
}

static struct peer *find_registered(struct zr_cell_peers *peers,
				    const char *name)
{
	size_t i;

	for (i = 0; i < peers->count; i++) {
		if (!peers->peers[i]->absent_reads &&
		    !strcmp(peers->peers[i]->name, name))
			return peers->peers[i];
	}
	return NULL;
}

static void on_notified(void *ctx, int error, void *data)
{
	const zx_cell_taken *result = data;
	char *job = ctx;

	if (error < 0 || !result->taken)
		zr_log_decision("job.notify_failed job=%s error=%s", job,
				error < 0 ? zr_error_name(error) : "not_taken");
	free(job);
}

void zr_cell_peers_notify(struct zr_cell_peers *peers, const char *host,
			  const char *job, const void *record, size_t length)
{
	struct peer *peer = find_registered(peers, host);
	zx_cell_news notification = {(char *)job,
				     {(u_int)length, (char *)record}};

	if (!strcmp(host, peers->name))
		peers->events.on_job(peers->ctx, job, record, length);
	else if (peer)
		zr_rpc_client_call(peer->client, &notify_procedure,
				   &notification, NOTIFY_TIMEOUT_MS,
				   on_notified, strdup(job));
}

struct state_query {
	zr_cell_state_fn done;
	void *ctx;
};

static void on_state_reply(void *ctx, int error, void *data)
{
	struct state_query *query = ctx;
	const zx_cell_state_result *result = data;

	if (!error && !result->known)
		error = ZR_E_NOT_FOUND;
	query->done(query->ctx, error,
		    error < 0 ? ZR_CELL_JOB_QUEUED
			      : (enum zr_cell_job_state)result->state);
	free(query);
}

void zr_cell_peers_query_state(struct zr_cell_peers *peers, const char *host,
			       const char *job, const char *client,
			       zr_cell_state_fn done, void *ctx)
{
	struct peer *peer = find_registered(peers, host);
	zx_cell_account_state_args args = {(char *)job, (char *)client};
	struct state_query *query;

	if (!strcmp(host, peers->name)) {
		peers->events.query_state(peers->ctx, job, client, done, ctx);
		return;
	}
	if (!peer) {
		done(ctx, ZR_E_UNREACHABLE, ZR_CELL_JOB_QUEUED);
		return;
	}
	query = calloc(1, sizeof(*query));
	if (!query)
		abort();
	query->done = done;
	query->ctx = ctx;
	/*
	 * A host of the version before does not serve this; its error leads to
	 * the store.
	 */
	zr_rpc_client_call(peer->client, &account_state_procedure, &args,
			   STATE_TIMEOUT_MS, on_state_reply, query);
}

/* Calls to the store through another host */

struct relayed_call {
	struct zr_cell_peers *peers;
	char host[ZR_NAME_MAX];
	uint64_t number;
	zr_cell_relay_done_fn done;
	void *ctx;
};

/*
 * Chooses the host with the fewest failures, and of these the one with most
 * processors. The search begins at a place of its own for each host, so that
 * hosts that lose the store together do not all choose the same one.
 */
static struct peer *choose_relay(const struct zr_cell_peers *peers)
{
	size_t first = 0;
	struct peer *best = NULL;
	const char *letter;
	size_t i;

	for (letter = peers->name; *letter; letter++)
		first = first * 31 + (unsigned char)*letter;
	for (i = 0; i < peers->count; i++) {
		struct peer *peer = peers->peers[(first + i) % peers->count];

		if (peer->absent_reads)
			continue;
		if (!best || peer->relay_failures < best->relay_failures ||
		    (peer->relay_failures == best->relay_failures &&
		     peer->millicpus > best->millicpus))
			best = peer;
	}
	return best;
}

static void count_relay_failure(const struct relayed_call *relayed)
{
	struct peer *peer = find_registered(relayed->peers, relayed->host);

	if (!peer || relayed->number <= peer->relays_until_failure)
		return;
	peer->relay_failures++;
	peer->relays_until_failure = relayed->peers->relay_count;
}

static void on_store_reply(void *ctx, int error, void *data)
{
	struct relayed_call *relayed = ctx;
	const zx_cell_store_result *result = data;

	if (error < 0 || result->error == ZR_E_STORE_DOWN)
		count_relay_failure(relayed);
	relayed->done(relayed->ctx, error, result);
	free(relayed);
}

bool zr_cell_peers_relay(void *ctx, const zx_cell_store_args *args,
			 unsigned int timeout_ms, zr_cell_relay_done_fn done,
			 void *done_ctx)
{
	struct zr_cell_peers *peers = ctx;
	struct peer *peer = choose_relay(peers);
	struct relayed_call *relayed;

	if (!peer)
		return false;
	relayed = calloc(1, sizeof(*relayed));
	if (!relayed)
		abort();
	relayed->peers = peers;
	relayed->number = ++peers->relay_count;
	relayed->done = done;
	relayed->ctx = done_ctx;
	snprintf(relayed->host, sizeof(relayed->host), "%s", peer->name);
	/* The codec does not change what it encodes. */
	zr_rpc_client_call(peer->client, &store_procedure, (void *)args,
			   timeout_ms, on_store_reply, relayed);
	return true;
}

/* Adviser queries through another host */

struct advise_query {
	zr_cell_advise_fn done;
	void *ctx;
};

static void on_forwarded_reply(void *ctx, int error, void *data)
{
	struct advise_query *query = ctx;
	const zx_cell_advise_result *result = data;
	struct zr_cell_permit *permits;
	u_int count;
	u_int i;

	if (!error)
		error = result->error;
	if (error < 0) {
		query->done(query->ctx, error, NULL, 0, 0);
		free(query);
		return;
	}
	count = result->permits.permits_len;
	permits = calloc(count + 1, sizeof(*permits));
	if (!permits)
		abort();
	for (i = 0; i < count; i++) {
		permits[i].worker = result->permits.permits_val[i].worker;
		permits[i].ticket = result->permits.permits_val[i].ticket;
	}
	query->done(query->ctx, 0, permits, count, result->validity_ms);
	free(permits);
	free(query);
}

static void query_through_host(void *ctx, const char *job, uint32_t occurrence,
			       uint32_t step, const char *const *workers,
			       size_t count, unsigned int timeout_ms,
			       zr_cell_advise_fn done, void *done_ctx)
{
	struct peer *peer = ctx;
	struct advise_query *query = calloc(1, sizeof(*query));
	zx_cell_worker_name names[ZR_CELL_ADVISE_MAX];
	zx_cell_advise_args args = {
		.job = (char *)job,
		.occurrence = occurrence,
		.step = step,
		.timeout_ms = timeout_ms,
		.workers = {(u_int)count, names},
	};
	size_t i;

	if (!query)
		abort();
	query->done = done;
	query->ctx = done_ctx;
	for (i = 0; i < count; i++)
		names[i].name = (char *)workers[i];
	zr_rpc_client_call(peer->client, &advise_procedure, &args,
			   timeout_ms + RPC_TIMEOUT_MARGIN_MS,
			   on_forwarded_reply, query);
}

static void query_adviser(void *ctx, const char *job, uint32_t occurrence,
			  uint32_t step, const char *const *workers,
			  size_t count, unsigned int timeout_ms,
			  zr_cell_advise_fn done, void *done_ctx)
{
	const struct zr_cell_peers *peers = ctx;
	const struct zr_cell_platform *platform = peers->platform;

	platform->advise(platform->ctx, job, occurrence, step, workers, count,
			 timeout_ms, done, done_ctx);
}

/* Registered hosts */

static struct peer *find_peer(struct zr_cell_peers *peers, const char *name,
			      const char *address)
{
	size_t i;

	for (i = 0; i < peers->count; i++) {
		if (!strcmp(peers->peers[i]->name, name) &&
		    !strcmp(peers->peers[i]->address, address))
			return peers->peers[i];
	}
	return NULL;
}

static struct peer *new_peer(struct zr_cell_peers *peers, const char *name,
			     const char *address)
{
	struct peer *peer = calloc(1, sizeof(*peer));

	if (!peer)
		abort();
	if (zr_rpc_client_new(&peer->client, peers->loop, address, ZX_CELL,
			      ZX_CELL_V1) < 0) {
		zr_log(ZR_LOG_WARN, "host.bad_address host=%s address=%s", name,
		       address);
		free(peer);
		return NULL;
	}
	snprintf(peer->name, sizeof(peer->name), "%s", name);
	snprintf(peer->address, sizeof(peer->address), "%s", address);
	if (peers->count == peers->alloc) {
		peers->alloc = peers->alloc ? 2 * peers->alloc : 16;
		peers->peers =
			realloc(peers->peers, peers->alloc * sizeof(void *));
		if (!peers->peers)
			abort();
	}
	peers->peers[peers->count++] = peer;
	return peer;
}

static void update_peer(struct zr_cell_peers *peers, const char *name,
			const char *address, uint32_t millicpus)
{
	struct peer *peer = find_peer(peers, name, address);

	if (!peer) {
		peer = new_peer(peers, name, address);
		if (!peer)
			return;
		zr_log(ZR_LOG_INFO,
		       "host.found host=%s address=%s size=%" PRIu32, name,
		       address, millicpus);
	}
	peer->millicpus = millicpus;
	peer->absent_reads = 0;
}

/* Takes an absent peer out of the list; NULL if there is none. */
static struct peer *take_absent_peer(struct zr_cell_peers *peers)
{
	size_t i;

	for (i = 0; i < peers->count; i++) {
		struct peer *peer = peers->peers[i];

		if (peer->absent_reads < ABSENT_READS_MAX)
			continue;
		peers->peers[i] = peers->peers[--peers->count];
		return peer;
	}
	return NULL;
}

/*
 * To be called after report_proxies(), when the scheduler uses them no more.
 * The calls in flight end while a client is freed, and may look for another
 * peer.
 */
static void remove_absent_peers(struct zr_cell_peers *peers)
{
	struct peer *peer;

	while ((peer = take_absent_peer(peers))) {
		zr_log(ZR_LOG_INFO, "host.removed host=%s address=%s",
		       peer->name, peer->address);
		zr_rpc_client_free(peer->client);
		free(peer);
	}
}

/* Peers come and go unreported while the scheduler is not active. */
static void withdraw_proxies(struct zr_cell_peers *peers)
{
	if (!peers->reported)
		return;
	peers->reported = false;
	peers->on_proxies_changed(peers->ctx, NULL, 0);
}

static void report_proxies(struct zr_cell_peers *peers)
{
	struct zr_cell_adviser_proxy *proxies;
	size_t count = 0;
	size_t i;

	if (!peers->platform->advise)
		return;
	if (!peers->active) {
		withdraw_proxies(peers);
		return;
	}
	proxies = calloc(peers->count + 1, sizeof(*proxies));
	if (!proxies)
		abort();
	snprintf(proxies[0].name, sizeof(proxies[0].name), "%s", peers->name);
	proxies[0].query = query_adviser;
	proxies[0].ctx = peers;
	count = 1;
	for (i = 0; i < peers->count; i++) {
		struct peer *peer = peers->peers[i];

		if (peer->absent_reads)
			continue;
		memcpy(proxies[count].name, peer->name, ZR_NAME_MAX);
		proxies[count].query = query_through_host;
		proxies[count].ctx = peer;
		count++;
	}
	peers->reported = true;
	peers->on_proxies_changed(peers->ctx, proxies, count);
	free(proxies);
}

/* Parse a registration: address and size in millicpus, separated by a space. */
static int parse_registration(char out[ZR_NAME_MAX], uint32_t *out_millicpus,
			      const char *value)
{
	size_t length = strcspn(value, " ");
	unsigned long long millicpus = 0;
	char *end = "";

	if (!length || length >= ZR_NAME_MAX)
		return ZR_E_PROTOCOL;
	if (isdigit((unsigned char)value[length + !!value[length]]))
		millicpus = strtoull(value + length + 1, &end, 10);
	else if (value[length])
		return ZR_E_PROTOCOL;
	if (*end || millicpus > MILLICPUS_MAX)
		return ZR_E_PROTOCOL;
	memcpy(out, value, length);
	out[length] = '\0';
	*out_millicpus = (uint32_t)millicpus;
	return 0;
}

uint32_t zr_cell_peers_own_size(const struct zr_cell_peers *peers)
{
	return peers->millicpus;
}

uint32_t zr_cell_peers_largest(const struct zr_cell_peers *peers)
{
	return zr_cell_peer_sizes_largest(&peers->sizes);
}

uint32_t zr_cell_peers_largest_registered(const struct zr_cell_peers *peers)
{
	uint32_t largest = 0;
	size_t i;

	for (i = 0; i < peers->count; i++) {
		const struct peer *peer = peers->peers[i];

		if (!peer->absent_reads && peer->millicpus > largest)
			largest = peer->millicpus;
	}
	return largest;
}

bool zr_cell_peers_settling(const struct zr_cell_peers *peers)
{
	return peers->settling_reads > 0;
}

/* Hosts that started together are known after some reads. */
static void settle(struct zr_cell_peers *peers)
{
	if (peers->settling_reads && !--peers->settling_reads)
		zr_timer_start(peers->timer, TICK_MS, TICK_MS);
}

static void on_registrations(void *ctx, int error,
			     const struct zr_store_reply *reply)
{
	struct zr_cell_peers *peers = ctx;
	char address[ZR_NAME_MAX];
	uint32_t millicpus;
	size_t i;

	peers->read_in_flight = false;
	if (error < 0)
		return;
	for (i = 0; i < peers->count; i++)
		peers->peers[i]->absent_reads++;
	zr_cell_peer_sizes_begin(&peers->sizes);
	for (i = 0; i < reply->count; i++) {
		const struct zr_store_value *value = &reply->values[i];
		const char *name = value->key + strlen(ZR_CELL_HOST_PREFIX);

		if (!value->data || strlen(name) >= ZR_NAME_MAX ||
		    !strcmp(name, peers->name) ||
		    parse_registration(address, &millicpus, value->data) < 0)
			continue;
		update_peer(peers, name, address, millicpus);
		zr_cell_peer_sizes_add(&peers->sizes, name, millicpus);
	}
	zr_cell_peer_sizes_end(&peers->sizes,
			       zr_time_to_ms(zr_clock_now(peers->clock)));
	settle(peers);
	report_proxies(peers);
	remove_absent_peers(peers);
}

static void on_tick(void *ctx)
{
	struct zr_cell_peers *peers = ctx;
	bool settling = zr_cell_peers_settling(peers);

	renew_registration(peers);
	if (peers->read_in_flight || (!peers->active && !settling &&
				      peers->ticks++ % STANDBY_READ_TICKS))
		return;
	peers->read_in_flight = true;
	zr_store_range(&peers->platform->store, ZR_STORE_OTHER,
		       ZR_CELL_HOST_PREFIX, true, on_registrations, peers);
}

void zr_cell_peers_set_active(struct zr_cell_peers *peers, bool active)
{
	if (peers->active == active)
		return;
	peers->active = active;
	report_proxies(peers);
	if (active)
		on_tick(peers);
}

static void on_lease_revoked(void *ctx, int error,
			     const struct zr_store_reply *reply)
{
	(void)ctx;
	(void)reply;
	if (error < 0)
		zr_log(ZR_LOG_INFO, "host.lease_revoke_failed error=%s",
		       zr_error_name(error));
}

void zr_cell_peers_leave(struct zr_cell_peers *peers)
{
	peers->leaving = true;
	if (peers->registered)
		zr_store_lease_revoke(&peers->platform->store, peers->lease,
				      on_lease_revoked, peers);
}

int zr_cell_peers_new(struct zr_cell_peers **out, uv_loop_t *loop,
		      const struct zr_timers *timers,
		      const struct zr_clock *clock,
		      const struct zr_cell_platform *platform, const char *name,
		      const char *address, double processors,
		      zr_cell_adviser_proxies_fn on_proxies_changed,
		      const struct zr_cell_peers_events *events, void *ctx)
{
	static const struct zr_rpc_dispatch_entry dispatch_table[] = {
		{&advise_procedure, serve_advise},
		{&notify_procedure, serve_notification},
		{&state_procedure, serve_state},
		{&account_state_procedure, serve_account_state},
		{&store_procedure, serve_store},
		{NULL, NULL},
	};
	struct zr_cell_peers *peers = calloc(1, sizeof(*peers));
	int error;

	if (!peers)
		return ZR_E_NOMEM;
	peers->loop = loop;
	peers->clock = clock;
	peers->platform = platform;
	peers->on_proxies_changed = on_proxies_changed;
	peers->events = *events;
	peers->millicpus = (uint32_t)(processors * MILLICPUS_PER_CPU);
	peers->ctx = ctx;
	snprintf(peers->name, sizeof(peers->name), "%s", name);
	snprintf(peers->address, sizeof(peers->address), "%s", address);
	error = zr_rpc_server_new(&peers->server, loop, address, ZX_CELL,
				  ZX_CELL_V1, dispatch_table, peers);
	if (error < 0) {
		free(peers);
		return error;
	}
	peers->timer = zr_timer_new(timers, on_tick, peers);
	peers->settling_reads = SETTLING_READS;
	zr_timer_start(peers->timer, 0, SETTLING_TICK_MS);
	*out = peers;
	return 0;
}

void zr_cell_peers_set_budget(struct zr_cell_peers *peers,
			      struct zr_net_budget *budget)
{
	zr_rpc_server_set_budget(peers->server, budget);
}

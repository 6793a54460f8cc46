#include "fakes/fake_peer.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "zinniarack/errors.h"

#define TEXT_MAX 96

struct attempt {
	struct attempt *prev;
	struct attempt *next;
	struct fake_peers *peers;
	struct peer *peer; /* NULL once the attempt has ended for its sender */
	char address[TEXT_MAX];
	char id[TEXT_MAX];
	struct timespec deadline;
	struct zr_timer *timer;
	bool in_process; /* the worker has neither answered nor refused it */
	zr_worker_client_done_fn done;
	void *ctx;
};

/* A client of one worker. */
struct peer {
	struct fake_peers *peers;
	char address[TEXT_MAX];
};

struct worker_stats {
	struct worker_stats *next;
	char address[TEXT_MAX];
	unsigned int max_attempts; /* processed concurrently */
};

struct fake_peers {
	struct fake_time *time;
	struct attempt *attempts;
	struct worker_stats *stats;
	fake_peers_sent_fn sent;
	void *sent_ctx;
};

struct fake_peers *fake_peers_new(struct fake_time *time)
{
	struct fake_peers *peers = calloc(1, sizeof(*peers));

	if (!peers)
		abort();
	peers->time = time;
	return peers;
}

void fake_peers_on_sent(struct fake_peers *peers, fake_peers_sent_fn sent,
			void *ctx)
{
	peers->sent = sent;
	peers->sent_ctx = ctx;
}

static struct worker_stats *stats_get_or_add(struct fake_peers *peers,
					     const char *address)
{
	struct worker_stats *stats;

	LL_FOREACH(peers->stats, stats)
	{
		if (!strcmp(stats->address, address))
			return stats;
	}
	stats = calloc(1, sizeof(*stats));
	if (!stats)
		abort();
	snprintf(stats->address, sizeof(stats->address), "%s", address);
	LL_PREPEND(peers->stats, stats);
	return stats;
}

static void update_stats(struct fake_peers *peers, const char *address)
{
	struct timespec now = zr_clock_now(fake_time_clock(peers->time));
	struct worker_stats *stats = stats_get_or_add(peers, address);
	const struct attempt *attempt;
	unsigned int count = 0;

	DL_FOREACH(peers->attempts, attempt)
	{
		if (attempt->in_process && !strcmp(attempt->address, address) &&
		    zr_time_cmp(now, attempt->deadline) < 0)
			count++;
	}
	if (count > stats->max_attempts)
		stats->max_attempts = count;
}

static void end_attempt(struct attempt *attempt, int error,
			const struct zr_worker_client_response *response)
{
	attempt->peer = NULL;
	zr_timer_stop(attempt->timer);
	attempt->done(attempt->ctx, error, response);
}

static void on_timeout(void *ctx)
{
	struct attempt *attempt = ctx;

	if (attempt->peer)
		end_attempt(attempt, ZR_E_OUTCOME_UNKNOWN, NULL);
}

static void call_peer(void *impl, const struct zr_worker_client_call *call,
		      zr_worker_client_done_fn done, void *ctx)
{
	struct peer *peer = impl;
	struct fake_peers *peers = peer->peers;
	struct attempt *attempt = calloc(1, sizeof(*attempt));
	struct timespec now = zr_clock_now(fake_time_clock(peers->time));

	if (!attempt)
		abort();
	attempt->peers = peers;
	attempt->peer = peer;
	attempt->in_process = true;
	attempt->done = done;
	attempt->ctx = ctx;
	snprintf(attempt->address, sizeof(attempt->address), "%s",
		 peer->address);
	snprintf(attempt->id, sizeof(attempt->id), "%s", call->id);
	attempt->deadline = zr_time_add_ms(now, call->timeout_ms);
	attempt->timer = zr_timer_new(fake_time_timers(peers->time), on_timeout,
				      attempt);
	zr_timer_start(attempt->timer, call->timeout_ms, 0);
	DL_APPEND(peers->attempts, attempt);
	update_stats(peers, attempt->address);
	if (peers->sent)
		peers->sent(peers->sent_ctx, peer->address, call);
}

static void limit_peer(void *impl, unsigned int connections)
{
	(void)impl;
	(void)connections;
}

static void free_peer(void *impl)
{
	struct peer *peer = impl;
	struct attempt *attempt;

	DL_FOREACH(peer->peers->attempts, attempt)
	{
		if (attempt->peer == peer)
			end_attempt(attempt, ZR_E_OUTCOME_UNKNOWN, NULL);
	}
	free(peer);
}

int fake_peers_connect(struct zr_worker_client *out, void *ctx,
		       const char *address)
{
	static const struct zr_worker_client_ops ops = {
		.call = call_peer,
		.limit = limit_peer,
		.free = free_peer,
	};
	struct peer *peer = calloc(1, sizeof(*peer));

	if (!peer)
		abort();
	peer->peers = ctx;
	snprintf(peer->address, sizeof(peer->address), "%s", address);
	out->ops = &ops;
	out->impl = peer;
	return 0;
}

bool fake_peers_answer(struct fake_peers *peers, const char *id, int error,
		       int status, const char *response_id)
{
	const struct zr_worker_client_response response = {
		.id = response_id,
		.status = status,
		.body = id,
		.length = strlen(id),
	};
	struct attempt *attempt;

	DL_FOREACH(peers->attempts, attempt)
	{
		if (!strcmp(attempt->id, id))
			break;
	}
	if (!attempt)
		return false;
	if (!error || error == ZR_E_UNREACHABLE)
		attempt->in_process = false;
	if (!attempt->peer)
		return false;
	end_attempt(attempt, error, error ? NULL : &response);
	return true;
}

const char *fake_peers_oldest_attempt(struct fake_peers *peers,
				      const char *address)
{
	const struct attempt *attempt;

	DL_FOREACH(peers->attempts, attempt)
	{
		if (attempt->peer && !strcmp(attempt->address, address))
			return attempt->id;
	}
	return NULL;
}

unsigned int fake_peers_max_attempts(struct fake_peers *peers,
				     const char *address)
{
	return stats_get_or_add(peers, address)->max_attempts;
}

unsigned int fake_peers_count_attempts(struct fake_peers *peers,
				       const char *request)
{
	size_t length = strlen(request);
	const struct attempt *attempt;
	unsigned int count = 0;

	DL_FOREACH(peers->attempts, attempt)
	{
		if (!strncmp(attempt->id, request, length) &&
		    attempt->id[length] == '.')
			count++;
	}
	return count;
}

void fake_peers_free(struct fake_peers *peers)
{
	struct attempt *attempt;
	struct attempt *next_attempt;
	struct worker_stats *stats;
	struct worker_stats *next_stats;

	DL_FOREACH_SAFE(peers->attempts, attempt, next_attempt)
	{
		zr_timer_free(attempt->timer);
		free(attempt);
	}
	LL_FOREACH_SAFE(peers->stats, stats, next_stats)
	free(stats);
	free(peers);
}

#include "fakes/fake_peer.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "zinniarack/errors.h"

#define TEXT_MAX 96

struct work {
	struct work *prev;
	struct work *next;
	struct fake_peers *peers;
	struct peer *peer; /* NULL once the sender has its end */
	char address[TEXT_MAX];
	char id[TEXT_MAX];
	struct timespec deadline;
	struct zr_timer *timer;
	bool working;
	zr_worker_client_done_fn done;
	void *ctx;
};

struct peer {
	struct fake_peers *peers;
	char address[TEXT_MAX];
};

struct most {
	struct most *next;
	char address[TEXT_MAX];
	unsigned int tries;
};

struct fake_peers {
	struct fake_time *time;
	struct work *work;
	struct most *most;
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

static struct most *get_most(struct fake_peers *peers, const char *address)
{
	struct most *most;

	LL_FOREACH(peers->most, most)
	{
		if (!strcmp(most->address, address))
			return most;
	}
	most = calloc(1, sizeof(*most));
	if (!most)
		abort();
	snprintf(most->address, sizeof(most->address), "%s", address);
	LL_PREPEND(peers->most, most);
	return most;
}

static void count_most(struct fake_peers *peers, const char *address)
{
	struct timespec now = zr_clock_now(fake_time_clock(peers->time));
	struct most *most = get_most(peers, address);
	const struct work *work;
	unsigned int tries = 0;

	DL_FOREACH(peers->work, work)
	{
		if (work->working && !strcmp(work->address, address) &&
		    zr_time_cmp(now, work->deadline) < 0)
			tries++;
	}
	if (tries > most->tries)
		most->tries = tries;
}

static void tell(struct work *work, int error,
		 const struct zr_worker_client_response *answer)
{
	work->peer = NULL;
	zr_timer_stop(work->timer);
	work->done(work->ctx, error, answer);
}

static void on_timeout(void *ctx)
{
	struct work *work = ctx;

	if (work->peer)
		tell(work, ZR_E_OUTCOME_UNKNOWN, NULL);
}

static void call_peer(void *impl, const struct zr_worker_client_call *call,
		      zr_worker_client_done_fn done, void *ctx)
{
	struct peer *peer = impl;
	struct fake_peers *peers = peer->peers;
	struct work *work = calloc(1, sizeof(*work));
	struct timespec now = zr_clock_now(fake_time_clock(peers->time));

	if (!work)
		abort();
	work->peers = peers;
	work->peer = peer;
	work->working = true;
	work->done = done;
	work->ctx = ctx;
	snprintf(work->address, sizeof(work->address), "%s", peer->address);
	snprintf(work->id, sizeof(work->id), "%s", call->id);
	work->deadline = zr_time_add_ms(now, call->timeout_ms);
	work->timer =
		zr_timer_new(fake_time_timers(peers->time), on_timeout, work);
	zr_timer_start(work->timer, call->timeout_ms, 0);
	DL_APPEND(peers->work, work);
	count_most(peers, work->address);
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
	struct work *work;

	DL_FOREACH(peer->peers->work, work)
	{
		if (work->peer == peer)
			tell(work, ZR_E_OUTCOME_UNKNOWN, NULL);
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
		       int status, const char *answer_id)
{
	const struct zr_worker_client_response answer = {
		.id = answer_id,
		.status = status,
		.body = id,
		.length = strlen(id),
	};
	struct work *work;

	DL_FOREACH(peers->work, work)
	{
		if (!strcmp(work->id, id))
			break;
	}
	if (!work)
		return false;
	if (!error || error == ZR_E_UNREACHABLE)
		work->working = false;
	if (!work->peer)
		return false;
	tell(work, error, error ? NULL : &answer);
	return true;
}

const char *fake_peers_oldest_attempt(struct fake_peers *peers,
				      const char *address)
{
	const struct work *work;

	DL_FOREACH(peers->work, work)
	{
		if (work->peer && !strcmp(work->address, address))
			return work->id;
	}
	return NULL;
}

unsigned int fake_peers_max_attempts(struct fake_peers *peers,
				     const char *address)
{
	return get_most(peers, address)->tries;
}

unsigned int fake_peers_count_attempts(struct fake_peers *peers,
				       const char *request)
{
	size_t length = strlen(request);
	const struct work *work;
	unsigned int runs = 0;

	DL_FOREACH(peers->work, work)
	{
		if (!strncmp(work->id, request, length) &&
		    work->id[length] == '.')
			runs++;
	}
	return runs;
}

void fake_peers_free(struct fake_peers *peers)
{
	struct work *work;
	struct work *next_work;
	struct most *most;
	struct most *next_most;

	DL_FOREACH_SAFE(peers->work, work, next_work)
	{
		zr_timer_free(work->timer);
		free(work);
	}
	LL_FOREACH_SAFE(peers->most, most, next_most)
	free(most);
	free(peers);
}

#ifndef FAKE_PEER_H
#define FAKE_PEER_H

#include <stdbool.h>

#include "fakes/fake_time.h"
#include "route/worker_client.h"

/**
 * DOC: Peers whose answers a test gives by hand
 *
 * Stands in for all workers of a test. A worker is at work on a try until the
 * test answers it or the deadline it was told has passed, whatever the sender
 * has made of it. The most tries that a worker had at once are counted.
 */

struct fake_peers;

struct fake_peers *fake_peers_new(struct fake_time *time);
void fake_peers_free(struct fake_peers *peers);

/** fake_peers_connect() - a &zr_peer_new_fn; @ctx is the fake_peers */
int fake_peers_connect(struct zr_peer *out, void *ctx, const char *address);

/** Told of each try that reaches a worker. */
typedef void (*fake_peers_sent_fn)(void *ctx, const char *address,
				   const struct zr_peer_call *call);
void fake_peers_on_sent(struct fake_peers *peers, fake_peers_sent_fn sent,
			void *ctx);

/**
 * fake_peers_answer() - end a try
 * @peers: the peers
 * @id: the try
 * @error: 0, or how it failed for the sender; an error but ZR_E_UNREACHABLE
 *	leaves the worker at work
 * @status: HTTP status of the answer
 * @answer_id: the id that the answer bears
 *
 * Return: whether the sender still waited for it.
 */
bool fake_peers_answer(struct fake_peers *peers, const char *id, int error,
		       int status, const char *answer_id);

/** fake_peers_oldest() - the oldest unanswered try on a worker, or NULL */
const char *fake_peers_oldest(struct fake_peers *peers, const char *address);

/** fake_peers_most() - the most tries a worker had at once */
unsigned int fake_peers_most(struct fake_peers *peers, const char *address);

/** fake_peers_runs() - how many tries of a request reached a worker */
unsigned int fake_peers_runs(struct fake_peers *peers, const char *request);

#endif

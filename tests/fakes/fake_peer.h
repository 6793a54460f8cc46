#ifndef FAKE_PEER_H
#define FAKE_PEER_H

#include <stdbool.h>

#include "fakes/fake_time.h"
#include "route/worker_client.h"

/**
 * DOC: Workers whose responses are scripted
 *
 * Implements &struct zr_worker_client for all workers of a test. A worker
 * processes an attempt until the test answers it or the deadline of the attempt
 * has passed. An attempt that ended with an error for its sender may thus still
 * be in process. The maximum number of attempts that a worker processed
 * concurrently is recorded.
 */

struct fake_peers;

struct fake_peers *fake_peers_new(struct fake_time *time);
void fake_peers_free(struct fake_peers *peers);

/** fake_peers_connect() - zr_worker_client_new_fn; @ctx is the fake_peers */
int fake_peers_connect(struct zr_worker_client *out, void *ctx,
		       const char *address);

/** Called for each attempt that is sent to a worker. */
typedef void (*fake_peers_sent_fn)(void *ctx, const char *address,
				   const struct zr_worker_client_call *call);
/** fake_peers_on_sent() - set the callback for sent attempts */
void fake_peers_on_sent(struct fake_peers *peers, fake_peers_sent_fn sent,
			void *ctx);

/**
 * fake_peers_answer() - end an attempt
 * @peers: the workers
 * @id: id of the attempt
 * @error: 0, or the error for the sender; after an error other than
 *	ZR_E_UNREACHABLE the worker still processes the attempt
 * @status: HTTP status of the response
 * @response_id: attempt id that the response contains
 *
 * Return: whether the sender was still waiting for a response.
 */
bool fake_peers_answer(struct fake_peers *peers, const char *id, int error,
		       int status, const char *response_id);

/**
 * fake_peers_oldest_attempt() - find a worker's oldest unanswered attempt
 * @peers: the workers
 * @address: address of the worker
 *
 * Return: its id, or NULL if there is none.
 */
const char *fake_peers_oldest_attempt(struct fake_peers *peers,
				      const char *address);

/** fake_peers_max_attempts() - maximum of a worker's concurrent attempts */
unsigned int fake_peers_max_attempts(struct fake_peers *peers,
				     const char *address);

/** fake_peers_count_attempts() - count the attempts sent for a request */
unsigned int fake_peers_count_attempts(struct fake_peers *peers,
				       const char *request);

#endif

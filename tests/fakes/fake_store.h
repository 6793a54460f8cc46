#ifndef FAKE_STORE_H
#define FAKE_STORE_H

#include "fakes/fake_net.h"
#include "zinniarack/store.h"

/**
 * DOC: Simulated key-value store
 *
 * A node of the fake network that other nodes call. It has revisions,
 * transactions, watches and leases, which expire by the store's own clock. It
 * counts the calls that it serves.
 */

struct fake_store;

/**
 * struct fake_store_counts - counters of the store
 * @reads: range calls, by purpose
 * @writes: transactions by purpose; lease calls count as ZR_STORE_LEASE
 * @bytes_read: bytes of values in replies
 * @bytes_written: bytes of values put
 * @largest: size of the largest value put, in bytes
 */
struct fake_store_counts {
	unsigned long reads[ZR_STORE_PURPOSE_COUNT];
	unsigned long writes[ZR_STORE_PURPOSE_COUNT];
	unsigned long bytes_read;
	unsigned long bytes_written;
	unsigned long largest;
};

/** fake_store_new() - create a store as node @name of the network */
struct fake_store *fake_store_new(struct fake_net *net, const char *name);
void fake_store_free(struct fake_store *store);

/** fake_store_client() - connect a node to the store */
void fake_store_client(struct zr_store *out, struct fake_store *store,
		       struct fake_node *client);

const struct fake_store_counts *
fake_store_counts(const struct fake_store *store);

/**
 * fake_store_lose_history() - discard the history of changes
 *
 * Watches from an earlier revision than the current one fail with
 * ZR_E_NOT_FOUND.
 */
void fake_store_lose_history(struct fake_store *store);

/** fake_store_deny() - let reads and watches of a key fail; NULL: of none */
void fake_store_deny(struct fake_store *store, const char *key);

/** fake_store_size() - bytes of all values whose keys have a prefix */
unsigned long fake_store_size(const struct fake_store *store,
			      const char *prefix);

/** fake_store_count_keys() - count the keys with a prefix, without a suffix */
unsigned int fake_store_count_keys(const struct fake_store *store,
				   const char *prefix, const char *not_suffix);

/** fake_store_for_each() - call @each for each key with a prefix */
void fake_store_for_each(const struct fake_store *store, const char *prefix,
			 void (*each)(void *ctx, const char *key,
				      const void *data, size_t length),
			 void *ctx);

#endif

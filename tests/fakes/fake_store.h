#ifndef FAKE_STORE_H
#define FAKE_STORE_H

#include "fakes/fake_net.h"
#include "zinniarack/store.h"

/**
 * DOC: Key-value store for tests
 *
 * One store that several nodes call over the fake network, with revisions,
 * transactions and leases by its own clock. Counts what it served.
 */

struct fake_store;

/**
 * struct fake_store_counts - what the store has served
 * @reads: range calls, by purpose
 * @writes: transactions and lease calls, by purpose
 * @bytes_read: bytes of values in answers
 * @bytes_written: bytes of values put
 * @largest: the largest value put, in bytes
 */
struct fake_store_counts {
	unsigned long reads[ZR_STORE_PURPOSE_COUNT];
	unsigned long writes[ZR_STORE_PURPOSE_COUNT];
	unsigned long bytes_read;
	unsigned long bytes_written;
	unsigned long largest;
};

/** fake_store_new() - a store that is the node @name of the network */
struct fake_store *fake_store_new(struct fake_net *net, const char *name);
void fake_store_free(struct fake_store *store);

/** fake_store_client() - the store as a node sees it */
void fake_store_client(struct zr_store *out, struct fake_store *store,
		       struct fake_node *client);

const struct fake_store_counts *
fake_store_counts(const struct fake_store *store);

/** fake_store_size() - bytes held under a prefix */
unsigned long fake_store_size(const struct fake_store *store,
			      const char *prefix);

#endif

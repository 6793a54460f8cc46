#ifndef ZINNIARACK_STORE_H
#define ZINNIARACK_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: Key-value store
 *
 * Interface to the platform's key-value store: reads, transactions that compare
 * revisions, leases and watches. Adapters implement &struct zr_store_ops; the
 * rest of the code uses only this interface.
 *
 * All operations are asynchronous. Each one calls its &zr_store_done_fn exactly
 * once, after the function that started it has returned.
 *
 * Errors of all operations: ZR_E_STORE_DOWN if the request certainly had no
 * effect; ZR_E_OUTCOME_UNKNOWN if it may have had one, so that the caller must
 * read back what it wrote.
 */

/**
 * enum zr_store_purpose - what a call is made for
 * @ZR_STORE_LEASE: leases, ownership and the registration of hosts
 * @ZR_STORE_INTENT: a cell's record of its runs, and idempotency keys
 * @ZR_STORE_ACCEPT: accepted and cancelled jobs, and a domain's journal
 * @ZR_STORE_CONFIG: reads and writes of the configuration
 * @ZR_STORE_RECOVERY: reads of the persisted state after a takeover
 * @ZR_STORE_OTHER: all other calls
 * @ZR_STORE_PURPOSE_COUNT: number of purposes
 *
 * Calls are counted by purpose. When the rate limit delays calls, those with
 * the lower value are sent first.
 */
enum zr_store_purpose {
	ZR_STORE_LEASE,
	ZR_STORE_INTENT,
	ZR_STORE_ACCEPT,
	ZR_STORE_CONFIG,
	ZR_STORE_RECOVERY,
	ZR_STORE_OTHER,
	ZR_STORE_PURPOSE_COUNT,
};

/**
 * struct zr_store_value - a key and its value
 * @key: the key, NUL-terminated
 * @data: the value; NULL for a key that a watch reports as deleted
 * @length: length of @data in bytes
 * @mod_revision: store revision of the last change to this key
 */
struct zr_store_value {
	char *key;
	void *data;
	size_t length;
	int64_t mod_revision;
};

/**
 * struct zr_store_reply - the result of a call
 * @succeeded: for a transaction, whether all comparisons held
 * @revision: the store's revision at the time of the call
 * @lease: for a grant, the id of the lease
 * @ttl_ms: remaining time of the lease, in milliseconds
 * @values: the values that were read, sorted by key; for a transaction that
 *	did not succeed, those of the compared keys that exist
 * @count: number of @values
 */
struct zr_store_reply {
	bool succeeded;
	int64_t revision;
	int64_t lease;
	int64_t ttl_ms;
	const struct zr_store_value *values;
	size_t count;
};

/**
 * typedef zr_store_done_fn - called once with the result of a call
 * @ctx: as given with the call
 * @error: 0 or a negative error number
 * @reply: the result, valid during this call; NULL on an error
 */
typedef void (*zr_store_done_fn)(void *ctx, int error,
				 const struct zr_store_reply *reply);

/**
 * struct zr_store_compare - a condition of a transaction
 * @key: key whose revision is compared
 * @mod_revision: revision that @key must have; 0 if it must not exist
 */
struct zr_store_compare {
	const char *key;
	int64_t mod_revision;
};

/**
 * struct zr_store_put - a write or a deletion in a transaction
 * @key: key to write or delete
 * @data: the new value, or NULL to delete the key
 * @length: length of @data in bytes
 * @lease: lease that the key is attached to: the store deletes the key when the
 *	lease ends; 0 for none
 */
struct zr_store_put {
	const char *key;
	const void *data;
	size_t length;
	int64_t lease;
};

/**
 * struct zr_store_txn - writes that are applied only if all comparisons hold
 * @compares: conditions, all of which must hold
 * @compare_count: number of @compares
 * @puts: writes and deletions
 * @put_count: number of @puts
 */
struct zr_store_txn {
	const struct zr_store_compare *compares;
	size_t compare_count;
	const struct zr_store_put *puts;
	size_t put_count;
};

/**
 * struct zr_store_ops - operations that an adapter implements
 * @range: read @key, or all keys that start with it if @prefix is set
 * @commit: run a transaction
 * @lease_grant: create a lease that ends after @ttl_ms unless it is renewed
 * @lease_renew: renew a lease; ZR_E_NOT_FOUND if it has ended
 * @lease_revoke: end a lease and delete the keys attached to it
 * @watch: wait up to @wait_ms for changes after @after_revision to keys that
 *	start with @prefix; NULL if the adapter does not support it.
 *	ZR_E_NOT_FOUND if the store has discarded the changes since that
 *	revision, so that the caller must read the keys again
 * @receiving: whether a response is arriving in parts; NULL if the adapter
 *	cannot tell
 * @free: end open calls with ZR_E_CANCELLED and free the adapter
 */
struct zr_store_ops {
	void (*range)(void *impl, enum zr_store_purpose purpose,
		      const char *key, bool prefix, zr_store_done_fn done,
		      void *ctx);
	void (*commit)(void *impl, enum zr_store_purpose purpose,
		       const struct zr_store_txn *txn, zr_store_done_fn done,
		       void *ctx);
	void (*lease_grant)(void *impl, int64_t ttl_ms, zr_store_done_fn done,
			    void *ctx);
	void (*lease_renew)(void *impl, int64_t lease, zr_store_done_fn done,
			    void *ctx);
	void (*lease_revoke)(void *impl, int64_t lease, zr_store_done_fn done,
			     void *ctx);
	void (*watch)(void *impl, const char *prefix, int64_t after_revision,
		      unsigned int wait_ms, zr_store_done_fn done, void *ctx);
	bool (*receiving)(void *impl);
	void (*free)(void *impl);
};

/**
 * struct zr_store - a store
 * @ops: operations of the store's adapter
 * @impl: the adapter's state, passed to each operation
 */
struct zr_store {
	const struct zr_store_ops *ops;
	void *impl;
};

/** zr_store_range() - read a key or a prefix; &struct zr_store_ops.range */
void zr_store_range(const struct zr_store *store, enum zr_store_purpose purpose,
		    const char *key, bool prefix, zr_store_done_fn done,
		    void *ctx);

/** zr_store_commit() - run a transaction; &struct zr_store_ops.commit */
void zr_store_commit(const struct zr_store *store,
		     enum zr_store_purpose purpose,
		     const struct zr_store_txn *txn, zr_store_done_fn done,
		     void *ctx);

/** zr_store_lease_grant() - create a lease; &struct zr_store_ops.lease_grant */
void zr_store_lease_grant(const struct zr_store *store, int64_t ttl_ms,
			  zr_store_done_fn done, void *ctx);

/** zr_store_lease_renew() - renew a lease; &struct zr_store_ops.lease_renew */
void zr_store_lease_renew(const struct zr_store *store, int64_t lease,
			  zr_store_done_fn done, void *ctx);

/** zr_store_lease_revoke() - end a lease; &struct zr_store_ops.lease_revoke */
void zr_store_lease_revoke(const struct zr_store *store, int64_t lease,
			   zr_store_done_fn done, void *ctx);

/** zr_store_watch() - wait for changes; &struct zr_store_ops.watch */
void zr_store_watch(const struct zr_store *store, const char *prefix,
		    int64_t after_revision, unsigned int wait_ms,
		    zr_store_done_fn done, void *ctx);

/**
 * zr_store_receiving() - whether a response is arriving in parts
 * @store: the store
 *
 * Return: false if none is, or if the adapter cannot tell.
 */
bool zr_store_receiving(const struct zr_store *store);

/** zr_store_free() - free the adapter; does nothing on a zeroed store */
void zr_store_free(struct zr_store *store);

/** zr_store_purpose_name() - the label of a purpose in metrics, like "lease" */
const char *zr_store_purpose_name(enum zr_store_purpose purpose);

#endif

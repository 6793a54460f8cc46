#ifndef ZINNIARACK_STORE_H
#define ZINNIARACK_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: Key-value store
 *
 * What the platform's store offers: reads, transactions on compared versions,
 * and leases. Adapters fill &struct zr_store_ops; the rest of the code sees
 * only this interface. Every call ends in one call of its &zr_store_done_fn,
 * never before the call returns.
 *
 * Errors: ZR_E_STORE_DOWN when the request surely took no effect;
 * ZR_E_OUTCOME_UNKNOWN when its effect is open and must be read back.
 */

/**
 * enum zr_store_purpose - what a call is for, for its budget and counters
 *
 * Lower values go first when calls must wait.
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
 * @data: the value
 * @length: bytes of @data
 * @mod_revision: store revision of the last change to this key
 */
struct zr_store_value {
	char *key;
	void *data;
	size_t length;
	int64_t mod_revision;
};

/**
 * struct zr_store_reply - the outcome of a call
 * @succeeded: for a transaction, whether its comparisons held
 * @revision: the store's revision
 * @lease: the lease's id, for a grant
 * @ttl_ms: time the lease has left, in milliseconds
 * @values: what was read, sorted by key; for a transaction that did not
 *	succeed, the compared keys that exist
 * @count: how many
 */
struct zr_store_reply {
	bool succeeded;
	int64_t revision;
	int64_t lease;
	int64_t ttl_ms;
	const struct zr_store_value *values;
	size_t count;
};

typedef void (*zr_store_done_fn)(void *ctx, int error,
				 const struct zr_store_reply *reply);

/**
 * struct zr_store_compare - a condition of a transaction
 * @key: the key
 * @mod_revision: its expected revision; 0: the key must not exist
 */
struct zr_store_compare {
	const char *key;
	int64_t mod_revision;
};

/**
 * struct zr_store_put - a write of a transaction
 * @key: the key
 * @data: the new value; NULL deletes the key
 * @length: bytes of @data
 * @lease: the key is deleted when this lease ends; 0 for none
 */
struct zr_store_put {
	const char *key;
	const void *data;
	size_t length;
	int64_t lease;
};

/**
 * struct zr_store_txn - all writes, if all comparisons hold
 * @compares: conditions
 * @compare_count: how many
 * @puts: writes
 * @put_count: how many
 */
struct zr_store_txn {
	const struct zr_store_compare *compares;
	size_t compare_count;
	const struct zr_store_put *puts;
	size_t put_count;
};

/**
 * struct zr_store_ops - what an adapter implements
 * @range: read @key, or all keys that start with it when @prefix is set
 * @commit: run a transaction
 * @lease_grant: make a lease of @ttl_ms
 * @lease_renew: renew a lease; ZR_E_NOT_FOUND when it has ended
 * @lease_revoke: end a lease and delete its keys
 * @watch: wait for changes of keys under a prefix after a revision; NULL when
 *	the adapter offers none. A deleted key has no data. ZR_E_NOT_FOUND: the
 *	store no longer keeps that history
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
	void (*watch)(void *impl, const char *prefix, int64_t after,
		      unsigned int wait_ms, zr_store_done_fn done, void *ctx);
	void (*free)(void *impl);
};

/**
 * struct zr_store - a store and its adapter
 * @ops: the adapter
 * @impl: passed to each operation
 */
struct zr_store {
	const struct zr_store_ops *ops;
	void *impl;
};

/** zr_store_range() - see &struct zr_store_ops.range */
void zr_store_range(const struct zr_store *store, enum zr_store_purpose purpose,
		    const char *key, bool prefix, zr_store_done_fn done,
		    void *ctx);

/** zr_store_commit() - see &struct zr_store_ops.commit */
void zr_store_commit(const struct zr_store *store,
		     enum zr_store_purpose purpose,
		     const struct zr_store_txn *txn, zr_store_done_fn done,
		     void *ctx);

void zr_store_lease_grant(const struct zr_store *store, int64_t ttl_ms,
			  zr_store_done_fn done, void *ctx);
void zr_store_lease_renew(const struct zr_store *store, int64_t lease,
			  zr_store_done_fn done, void *ctx);
void zr_store_lease_revoke(const struct zr_store *store, int64_t lease,
			   zr_store_done_fn done, void *ctx);

/** zr_store_watch() - see &struct zr_store_ops.watch */
void zr_store_watch(const struct zr_store *store, const char *prefix,
		    int64_t after, unsigned int wait_ms, zr_store_done_fn done,
		    void *ctx);

/** zr_store_free() - free the adapter */
void zr_store_free(struct zr_store *store);

/** zr_store_purpose_name() - such as "lease", for counters */
const char *zr_store_purpose_name(enum zr_store_purpose purpose);

#endif

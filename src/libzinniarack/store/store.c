#include "zinniarack/store.h"

void zr_store_range(const struct zr_store *store, enum zr_store_purpose purpose,
		    const char *key, bool prefix, zr_store_done_fn done,
		    void *ctx)
{
	store->ops->range(store->impl, purpose, key, prefix, done, ctx);
}

void zr_store_commit(const struct zr_store *store,
		     enum zr_store_purpose purpose,
		     const struct zr_store_txn *txn, zr_store_done_fn done,
		     void *ctx)
{
	store->ops->commit(store->impl, purpose, txn, done, ctx);
}

void zr_store_lease_grant(const struct zr_store *store, int64_t ttl_ms,
			  zr_store_done_fn done, void *ctx)
{
	store->ops->lease_grant(store->impl, ttl_ms, done, ctx);
}

void zr_store_lease_renew(const struct zr_store *store, int64_t lease,
			  zr_store_done_fn done, void *ctx)
{
	store->ops->lease_renew(store->impl, lease, done, ctx);
}

void zr_store_lease_revoke(const struct zr_store *store, int64_t lease,
			   zr_store_done_fn done, void *ctx)
{
	store->ops->lease_revoke(store->impl, lease, done, ctx);
}

void zr_store_watch(const struct zr_store *store, const char *prefix,
		    int64_t after_revision, unsigned int wait_ms,
		    zr_store_done_fn done, void *ctx)
{
	store->ops->watch(store->impl, prefix, after_revision, wait_ms, done,
			  ctx);
}

bool zr_store_receiving(const struct zr_store *store)
{
	return store->ops->receiving && store->ops->receiving(store->impl);
}

void zr_store_free(struct zr_store *store)
{
	if (store->ops)
		store->ops->free(store->impl);
	store->ops = NULL;
	store->impl = NULL;
}

const char *zr_store_purpose_name(enum zr_store_purpose purpose)
{
	static const char *const names[] = {
		"lease", "intent", "accept", "config", "recovery", "other",
	};

	return names[purpose];
}

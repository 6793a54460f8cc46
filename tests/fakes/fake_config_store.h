#ifndef FAKE_CONFIG_STORE_H
#define FAKE_CONFIG_STORE_H

#include <stdbool.h>

#include "fakes/fake_time.h"
#include "zinniarack/store.h"

/**
 * DOC: A fake store that holds only the configuration
 *
 * Has several clients. A call takes effect at once and is answered a
 * millisecond later, unless a function below changes that.
 */

struct fake_config_store;

struct fake_config_store *fake_config_store_new(struct fake_time *time);
void fake_config_store_free(struct fake_config_store *store);

/** fake_config_store_client() - open the store for a client */
void fake_config_store_client(struct zr_store *out,
			      struct fake_config_store *store,
			      const char *name);

/** fake_config_store_set_disconnected() - let a client's calls fail unserved */
void fake_config_store_set_disconnected(struct fake_config_store *store,
					const char *name, bool disconnected);

/** fake_config_store_hold_replies() - hold a client's replies, or send them */
void fake_config_store_hold_replies(struct fake_config_store *store,
				    const char *name, bool hold);

/** fake_config_store_lose_replies() - drop the replies to the next writes */
void fake_config_store_lose_replies(struct fake_config_store *store,
				    const char *name, unsigned int count);

/** fake_config_store_take_read_count() - reads served since the last call */
unsigned int fake_config_store_take_read_count(struct fake_config_store *store);

#endif

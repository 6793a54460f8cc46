#ifndef FAKE_CONFIG_STORE_H
#define FAKE_CONFIG_STORE_H

#include <stdbool.h>

#include "fakes/fake_time.h"
#include "zinniarack/store.h"

/**
 * DOC: A store of one key, for the runs of the configuration
 *
 * Several clients call it. Effects come at once, answers a millisecond later,
 * unless the script says otherwise.
 */

struct fake_config_store;

struct fake_config_store *fake_config_store_new(struct fake_time *time);
void fake_config_store_free(struct fake_config_store *store);

/** fake_config_store_client() - the store as the client @name sees it */
void fake_config_store_client(struct zr_store *out,
			      struct fake_config_store *store,
			      const char *name);

/** fake_config_store_set_disconnected() - whether calls of a client fail before
 * an effect */
void fake_config_store_set_disconnected(struct fake_config_store *store,
					const char *name, bool cut);

/** fake_config_store_hold_replies() - keep a client's answers until it is let
 * go */
void fake_config_store_hold_replies(struct fake_config_store *store,
				    const char *name, bool hold);

/** fake_config_store_lose_replies() - lose the answers of a client's next
 * writes */
void fake_config_store_lose_replies(struct fake_config_store *store,
				    const char *name, unsigned int count);

/** fake_config_store_take_read_count() - reads that reached the store since
 * last asked */
unsigned int fake_config_store_take_read_count(struct fake_config_store *store);

#endif

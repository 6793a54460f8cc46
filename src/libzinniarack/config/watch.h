#ifndef ZR_CONFIG_WATCH_H
#define ZR_CONFIG_WATCH_H

#include <stdbool.h>

#include "zinniarack/clock.h"
#include "zinniarack/config.h"
#include "zinniarack/host_list.h"
#include "zinniarack/metrics.h"
#include "zinniarack/store.h"
#include "zinniarack/timer.h"

/**
 * DOC: Configuration in force
 *
 * Holds the version in force in this process. News of a higher one comes from
 * the store and from peers; a lower one is never taken. Besides the version it
 * holds the latest time at which that version was confirmed as the newest, on
 * which the trust in keys rests. docs/decisions/configuration.md has the
 * reasons.
 */

struct zr_config_watch;

/** Called with each higher version; @config lives until the next call. */
typedef void (*zr_config_changed_fn)(void *ctx, const struct zr_config *config);

/**
 * struct zr_config_watch_options - how to follow the configuration
 * @version: ZR_CONFIG_WATCH_OPTIONS_VERSION
 * @timers: where timers come from
 * @clock: the clock
 * @store: the store, kept by reference
 * @metrics: where it counts
 * @name: this host's name
 * @domain: this host's failure domain
 * @address: where peers reach this entry daemon; NULL for a scheduler, which
 *	accepts no changes
 * @changed: called with each higher version
 * @notify_peers: called when this process should tell its peers at once, or
 *NULL
 * @ctx: passed to both
 */
struct zr_config_watch_options {
	unsigned int version;
	const struct zr_timers *timers;
	const struct zr_clock *clock;
	const struct zr_store *store;
	struct zr_metrics *metrics;
	const char *name;
	const char *domain;
	const char *address;
	zr_config_changed_fn changed;
	void (*notify_peers)(void *ctx);
	void *ctx;
};

#define ZR_CONFIG_WATCH_OPTIONS_VERSION 1

int zr_config_watch_new(struct zr_config_watch **out,
			const struct zr_config_watch_options *options);

/** zr_config_watch_current() - the version in force here, or NULL */
const struct zr_config *
zr_config_watch_current(const struct zr_config_watch *watch);

/** zr_config_watch_find_previous() - an earlier version that is still known, or
 * NULL
 */
const struct zr_config *
zr_config_watch_find_previous(const struct zr_config_watch *watch,
			      uint64_t version);

/** The age of a configuration that was never confirmed. */
#define ZR_CONFIG_NEVER_CONFIRMED (-1)

/**
 * struct zr_config_peer_status - what one process tells another
 * @name: the sender's host
 * @domain: its failure domain
 * @address: where an entry daemon is reached; "" for a scheduler
 * @incarnation: differs between a process and the one that replaces it
 * @version: the version it holds; 0 for none
 * @age_ms: how long ago the store confirmed that nothing newer was accepted,
 *	or ZR_CONFIG_NEVER_CONFIRMED
 * @trusted_age_ms: the same, by the store or by the word of all entry daemons
 * @unsettled: it proposed a change whose effect it does not know
 * @leaving: it accepts no change from now on
 * @text: the document, or NULL when it is no news to the receiver
 * @length: bytes of @text
 */
struct zr_config_peer_status {
	const char *name;
	const char *domain;
	const char *address;
	uint64_t incarnation;
	uint64_t version;
	int64_t age_ms;
	int64_t trusted_age_ms;
	bool unsettled;
	bool leaving;
	const char *text;
	size_t length;
};

/**
 * zr_config_watch_fill_status() - what to tell a peer
 * @out: the news, valid until the loop goes on
 * @watch: the watch
 * @held: the version that the peer is known to hold; UINT64_MAX if unknown
 */
void zr_config_watch_fill_status(struct zr_config_peer_status *out,
				 const struct zr_config_watch *watch,
				 uint64_t held);

/**
 * zr_config_watch_process_request() - take news that a peer sent of itself
 * @watch: the watch
 * @news: the news; how long it was on the way is unknown, so that it confirms
 *	nothing
 */
void zr_config_watch_process_request(struct zr_config_watch *watch,
				     const struct zr_config_peer_status *news);

/**
 * zr_config_watch_process_response() - take news that a peer gave as an answer
 * @watch: the watch
 * @news: the news
 * @address: address of the peer
 * @asked: when it was asked; what it says held then or later
 */
void zr_config_watch_process_response(struct zr_config_watch *watch,
				      const struct zr_config_peer_status *news,
				      const char *address,
				      struct timespec asked);

/**
 * zr_config_watch_set_hosts() - take a reading of the host list
 * @watch: the watch
 * @hosts: its rows
 * @count: how many
 * @asked: when the list was asked for
 */
void zr_config_watch_set_hosts(struct zr_config_watch *watch,
			       const struct zr_host *hosts, size_t count,
			       struct timespec asked);

/**
 * struct zr_config_peer_info - an entry daemon as it was last heard
 * @name: its host
 * @domain: its failure domain
 * @address: its address
 * @response_age_ms: how long ago it was heard, or ZR_CONFIG_NEVER_CONFIRMED
 * @version: the version it held
 */
struct zr_config_peer_info {
	const char *name;
	const char *domain;
	const char *address;
	int64_t response_age_ms;
	uint64_t version;
};

/** zr_config_watch_each_peer() - call @each for every listed entry daemon */
void zr_config_watch_each_peer(
	const struct zr_config_watch *watch,
	void (*each)(void *ctx, const struct zr_config_peer_info *info),
	void *ctx);

/** zr_config_watch_leave() - accept no change from now on, and tell so */
void zr_config_watch_leave(struct zr_config_watch *watch);

/**
 * zr_config_watch_age_ms() - since when something newer may have been accepted
 *
 * Return: milliseconds, or ZR_CONFIG_NEVER_CONFIRMED.
 */
int64_t zr_config_watch_age_ms(const struct zr_config_watch *watch);

/**
 * zr_config_watch_check_keys() - whether keys can be trusted now
 *
 * Return: 0, or ZR_E_STALE_CONFIG when a key may have been withdrawn unseen
 * and the configuration says to refuse then.
 */
int zr_config_watch_check_keys(const struct zr_config_watch *watch);

/**
 * typedef zr_config_proposal_done_fn - the fate of a proposal
 * @ctx: as given with it
 * @error: 0: accepted; ZR_E_CONFLICT: another change was first, nothing is
 *	lost; ZR_E_STORE_DOWN: not changed; ZR_E_OUTCOME_UNKNOWN: it may yet
 *	take effect
 * @version: the version accepted, or the one in force
 */
typedef void (*zr_config_proposal_done_fn)(void *ctx, int error,
					   uint64_t version);

/**
 * zr_config_watch_propose() - make a document the next version
 * @watch: the watch
 * @config: the document; its version and history are set
 * @expected: the version it was made from
 * @author: id of the key that came with it
 * @done: called once, never before this function returns
 * @ctx: passed to @done
 *
 * Return: 0 when @done will be called, else a negative error number.
 */
int zr_config_watch_propose(struct zr_config_watch *watch,
			    struct zr_config *config, uint64_t expected,
			    const char *author, zr_config_proposal_done_fn done,
			    void *ctx);

void zr_config_watch_free(struct zr_config_watch *watch);

#endif

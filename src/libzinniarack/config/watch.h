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
 * DOC: Configuration watch
 *
 * Keeps a process at the newest version of the configuration, which it learns
 * from the store and from peers, and never goes back to a lower one. The
 * version in use is called the applied version. The watch also records the
 * latest time at which the applied version was confirmed as the newest:
 * zr_config_watch_check_keys() accepts API keys only while that time is recent.
 * docs/decisions/configuration.md has the reasons.
 *
 * A confirmation comes from the store, either directly or through a peer. While
 * the store can't be reached, it comes from all entry daemons together, since
 * only they accept changes.
 */

struct zr_config_watch;

/**
 * typedef zr_config_changed_fn - called for each version that is applied
 * @ctx: context from the options
 * @config: the applied version, valid until the next call
 */
typedef void (*zr_config_changed_fn)(void *ctx, const struct zr_config *config);

/**
 * struct zr_config_watch_options - options of zr_config_watch_new()
 * @version: ZR_CONFIG_WATCH_OPTIONS_VERSION
 * @timers: source of timers
 * @clock: the clock
 * @store: the store; must outlive the watch
 * @metrics: registry for the watch's metrics
 * @name: name of this host
 * @domain: failure domain of this host
 * @address: address of this entry daemon for peers; NULL in a scheduler, which
 *	accepts no changes
 * @changed: called for each version that is applied
 * @notify_peers: called when this process should send its status to all peers
 *	at once, or NULL
 * @ctx: passed to both callbacks
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

/**
 * zr_config_watch_new() - create a watch and start to read the store
 * @out: the watch; free with zr_config_watch_free()
 * @options: the options, which are copied; the strings must outlive the watch
 *
 * Return: 0, ZR_E_NOMEM, or ZR_E_IO when the random number generator fails.
 */
int zr_config_watch_new(struct zr_config_watch **out,
			const struct zr_config_watch_options *options);

/** zr_config_watch_current() - return the applied version, or NULL */
const struct zr_config *
zr_config_watch_current(const struct zr_config_watch *watch);

/**
 * zr_config_watch_find_previous() - return a version applied earlier
 * @watch: the watch
 * @version: number of the version
 *
 * Return: the version, or NULL if it isn't among the last few.
 */
const struct zr_config *
zr_config_watch_find_previous(const struct zr_config_watch *watch,
			      uint64_t version);

/** Age of a version that was never confirmed as the newest. */
#define ZR_CONFIG_NEVER_CONFIRMED (-1)

/**
 * struct zr_config_peer_status - status that a process sends to its peers
 * @name: name of the sender's host
 * @domain: failure domain of the sender
 * @address: address of the sender, if it is an entry daemon; "" for a scheduler
 * @incarnation: random id of the sender's process, which changes with a restart
 * @version: version that the sender has applied; 0 for none
 * @confirmed_age_ms: time since the store last confirmed that @version is the
 *	newest, or ZR_CONFIG_NEVER_CONFIRMED
 * @trusted_age_ms: the same for a confirmation by the store or by all entry
 *	daemons
 * @proposal_pending: whether the sender has a proposal with an unknown outcome
 * @leaving: whether the sender accepts no more changes
 * @text: YAML of @version; NULL when the receiver has that version already or
 *	its version is unknown
 * @length: length of @text in bytes
 */
struct zr_config_peer_status {
	const char *name;
	const char *domain;
	const char *address;
	uint64_t incarnation;
	uint64_t version;
	int64_t confirmed_age_ms;
	int64_t trusted_age_ms;
	bool proposal_pending;
	bool leaving;
	const char *text;
	size_t length;
};

/**
 * zr_config_watch_fill_status() - make the status to send to a peer
 * @out: the status, which points into the watch; valid until the caller returns
 *	to the event loop
 * @watch: the watch
 * @peer_version: last version that the peer reported, or UINT64_MAX if it never
 *	has; the document is included if this version is older
 */
void zr_config_watch_fill_status(struct zr_config_peer_status *out,
				 const struct zr_config_watch *watch,
				 uint64_t peer_version);

/**
 * zr_config_watch_process_request() - process a peer's request
 * @watch: the watch
 * @status: the peer's status; it confirms no version, because it is unknown how
 *	long the request was in transit
 */
void zr_config_watch_process_request(
	struct zr_config_watch *watch,
	const struct zr_config_peer_status *status);

/**
 * zr_config_watch_process_response() - process a peer's response
 * @watch: the watch
 * @status: the peer's status
 * @address: address of the peer
 * @sent_at: when the request was sent; @status was true at that time or later
 */
void zr_config_watch_process_response(
	struct zr_config_watch *watch,
	const struct zr_config_peer_status *status, const char *address,
	struct timespec sent_at);

/**
 * zr_config_watch_set_hosts() - process a read of the host list
 * @watch: the watch
 * @hosts: entries of the list
 * @count: number of entries
 * @sent_at: when the read was sent
 */
void zr_config_watch_set_hosts(struct zr_config_watch *watch,
			       const struct zr_host *hosts, size_t count,
			       struct timespec sent_at);

/**
 * struct zr_config_peer_info - an entry daemon and its last response
 * @name: name of its host
 * @domain: its failure domain
 * @address: its address
 * @response_age_ms: time since the request was sent that it last responded to,
 *	or ZR_CONFIG_NEVER_CONFIRMED if it never has; 0 for this process
 * @version: version that it had applied
 */
struct zr_config_peer_info {
	const char *name;
	const char *domain;
	const char *address;
	int64_t response_age_ms;
	uint64_t version;
};

/**
 * zr_config_watch_each_peer() - call a function for every entry daemon
 * @watch: the watch
 * @callback: called for each entry daemon in the host list, with this one
 * @ctx: passed to @callback
 */
void zr_config_watch_each_peer(
	const struct zr_config_watch *watch,
	void (*callback)(void *ctx, const struct zr_config_peer_info *info),
	void *ctx);

/** zr_config_watch_leave() - accept no more changes and notify the peers */
void zr_config_watch_leave(struct zr_config_watch *watch);

/**
 * zr_config_watch_age_ms() - return the age of the last confirmation
 * @watch: the watch
 *
 * Return: time in ms since the applied version was last confirmed as the
 * newest, or ZR_CONFIG_NEVER_CONFIRMED.
 */
int64_t zr_config_watch_age_ms(const struct zr_config_watch *watch);

/**
 * zr_config_watch_check_keys() - check whether the API keys can be trusted
 * @watch: the watch
 *
 * Return: 0, or ZR_E_STALE_CONFIG when no configuration has been applied yet,
 * or when a newer version may have withdrawn a key and &struct
 * zr_config.key_check says to refuse keys then.
 */
int zr_config_watch_check_keys(const struct zr_config_watch *watch);

/**
 * typedef zr_config_proposal_done_fn - called with the outcome of a proposal
 * @ctx: context passed to zr_config_watch_propose()
 * @error: 0 when the proposal was accepted; ZR_E_CONFLICT when another change
 *	was accepted first, so that this one has no effect; ZR_E_STORE_DOWN
 *	when the store can't be reached and nothing was changed;
 *	ZR_E_OUTCOME_UNKNOWN when the proposal may still take effect
 * @version: the accepted version, or on an error the applied one
 */
typedef void (*zr_config_proposal_done_fn)(void *ctx, int error,
					   uint64_t version);

/**
 * zr_config_watch_propose() - propose a document as the next version
 * @watch: the watch
 * @config: the document; its version and history are set here
 * @expected: version that the document was made from
 * @author: id of the API key that authorized the change
 * @done: called once, after this function has returned
 * @ctx: passed to @done
 *
 * Return: 0 when @done will be called; else ZR_E_SHUTTING_DOWN,
 * ZR_E_UNREACHABLE when the host list doesn't contain this host,
 * ZR_E_STALE_CONFIG when no configuration has been applied yet, ZR_E_CONFLICT
 * if the applied version isn't @expected, ZR_E_NOMEM, ZR_E_IO or ZR_E_INVALID.
 */
int zr_config_watch_propose(struct zr_config_watch *watch,
			    struct zr_config *config, uint64_t expected,
			    const char *author, zr_config_proposal_done_fn done,
			    void *ctx);

/**
 * zr_config_watch_free() - free a watch, or do nothing for NULL
 * @watch: the watch
 *
 * Pending proposals end with ZR_E_OUTCOME_UNKNOWN.
 */
void zr_config_watch_free(struct zr_config_watch *watch);

#endif

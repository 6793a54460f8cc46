#ifndef ZR_CONFIG_WATCH_PRIVATE_H
#define ZR_CONFIG_WATCH_PRIVATE_H

#include "config/watch.h"

/**
 * DOC: Parts of a configuration watch
 *
 * Shared by watch.c (versions and reads of the store), freshness.c (what the
 * peers and the host list confirm) and propose.c (changes).
 */

/** Key of the store that holds the configuration. */
#define CONFIG_KEY "zr/config"
/** Number of previous versions that stay available. */
#define CONFIG_PREVIOUS_MAX 4

/**
 * struct config_peer - an entry daemon and its last response
 * @prev: previous peer of the list
 * @next: next peer of the list
 * @address: its address
 * @name: name of its host
 * @domain: its failure domain
 * @in_host_list: whether the last read of the host list contained it
 * @added_at: when the read of the host list that first contained it was sent
 * @has_responded: whether it has responded; status_at, incarnation, version and
 *	proposal_pending are set only then
 * @status_at: when the request was sent that it last responded to, which is the
 *	earliest time at which the response can be true
 * @incarnation: identifies the process that responded
 * @version: version that it had applied
 * @proposal_pending: whether it had a proposal with an unknown outcome
 * @leaving: whether it announced, in a request or response, that it accepts no
 *	more changes
 */
struct config_peer {
	struct config_peer *prev;
	struct config_peer *next;
	char address[ZR_NAME_MAX];
	char name[ZR_NAME_MAX];
	char domain[ZR_NAME_MAX];
	bool in_host_list;
	struct timespec added_at;
	bool has_responded;
	struct timespec status_at;
	uint64_t incarnation;
	uint64_t version;
	bool proposal_pending;
	bool leaving;
};

/**
 * struct config_timestamp - a point in time that may be unset
 * @is_set: whether @time is valid
 * @time: the time
 */
struct config_timestamp {
	bool is_set;
	struct timespec time;
};

struct config_proposal;

/**
 * struct zr_config_watch - a configuration watch
 * @options: as passed to zr_config_watch_new()
 * @started_at: when the watch was created
 * @incarnation: random id of this process, sent to peers
 * @timer: periodic timer that applies the candidate and reads the store
 * @read_in_flight: whether a read of the store awaits its response
 * @free_after_read: whether the response to the read frees the memory, because
 *	zr_config_watch_free() was called
 * @has_read: whether a read was ever sent
 * @read_sent_at: when the last read was sent
 * @current: the applied version, or NULL
 * @text: YAML of @current, sent to peers
 * @length: length of @text in bytes
 * @previous: versions applied before @current, newest first
 * @mod_revision: highest revision of CONFIG_KEY that was read
 * @last_parsed: whether the last document received could be parsed
 * @candidate: newest document received from peers before it may be applied; see
 *	config_apply_candidate()
 * @candidate_length: length of @candidate in bytes
 * @candidate_version: version of @candidate
 * @leaving: whether this process accepts no more changes
 * @confirmed_at: latest time at which no version newer than the applied one had
 *	been accepted, as read from the store by this process or a peer
 * @trusted_at: the same, as read from the store or reported by all entry
 *	daemons
 * @in_host_list: whether the last read of the host list contained this host
 * @hosts_first_read_at: when the first read of the host list was sent
 * @hosts_last_read_at: when the last read of the host list was sent
 * @removed_responded_at: earliest last response among the entry daemons that
 *	disappeared without announcing that they leave
 * @removed_at: when the last of these was found to have disappeared
 * @peers: the entry daemons in the host list, with this host's own
 * @proposals: proposals without a known outcome
 * @reads: counter of reads of the store
 * @relayed: counter of versions received from peers
 * @version: gauge of the applied version
 */
struct zr_config_watch {
	struct zr_config_watch_options options;
	struct timespec started_at;
	uint64_t incarnation;
	struct zr_timer *timer;
	bool read_in_flight;
	bool free_after_read;
	bool has_read;
	struct timespec read_sent_at;

	struct zr_config *current;
	char *text;
	size_t length;
	struct zr_config *previous[CONFIG_PREVIOUS_MAX];
	int64_t mod_revision;
	bool last_parsed;

	char *candidate;
	size_t candidate_length;
	uint64_t candidate_version;

	bool leaving;
	struct config_timestamp confirmed_at;
	struct config_timestamp trusted_at;
	bool in_host_list;
	struct config_timestamp hosts_first_read_at;
	struct config_timestamp hosts_last_read_at;
	struct config_timestamp removed_responded_at;
	struct config_timestamp removed_at;
	struct config_peer *peers;
	struct config_proposal *proposals;

	struct zr_metric *reads;
	struct zr_metric *relayed;
	struct zr_metric *version;
};

/** config_now() - return the current time of the watch's clock */
struct timespec config_now(const struct zr_config_watch *watch);

/** config_version() - return the applied version; 0 for none */
uint64_t config_version(const struct zr_config_watch *watch);

/**
 * config_apply_text() - apply a document if its version is higher
 * @watch: the watch
 * @source: where the document comes from, for the log
 * @text: YAML of the document
 * @length: length of @text in bytes
 *
 * Return: whether the document was applied.
 */
bool config_apply_text(struct zr_config_watch *watch, const char *source,
		       const char *text, size_t length);

/**
 * config_apply_value() - apply a value read from the store if it is newer
 * @watch: the watch
 * @value: value of CONFIG_KEY
 *
 * Return: whether the value was applied.
 */
bool config_apply_value(struct zr_config_watch *watch,
			const struct zr_store_value *value);

/**
 * config_confirm() - record that the store confirmed the applied version
 * @watch: the watch
 * @as_of: a time at which no version newer than the applied one had been
 *	accepted; this stays true when a higher version is applied later
 */
void config_confirm(struct zr_config_watch *watch, struct timespec as_of);

/**
 * config_apply_candidate() - apply the candidate if it is old enough
 * @watch: the watch
 *
 * Does nothing until this process has had time to query its peers.
 */
void config_apply_candidate(struct zr_config_watch *watch);

/**
 * config_read_rank() - return this process's rank among the readers of the
 * store
 * @watch: the watch
 *
 * Return: number of responsive processes of the failure domain that read the
 * store before this one; 0 for the first reader.
 */
unsigned int config_read_rank(const struct zr_config_watch *watch);

/**
 * config_complete_proposals() - report the accepted proposals
 * @watch: the watch
 *
 * Ends every proposal that is in the history of the applied version.
 */
void config_complete_proposals(struct zr_config_watch *watch);

void config_peers_free(struct zr_config_watch *watch);
void config_proposals_free(struct zr_config_watch *watch);

#endif

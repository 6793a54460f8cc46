#ifndef ZR_CONFIG_PRIVATE_H
#define ZR_CONFIG_PRIVATE_H

#include "config/watch.h"

/**
 * DOC: What the files of the configuration in force share
 *
 * watch.c: versions and reads of the store. freshness.c: what peers and host
 * list confirm. propose.c: changes.
 */

/** Where the store keeps the configuration. */
#define CONFIG_KEY "zr/config"
/** Versions that are kept after they went out of force. */
#define CONFIG_FORMER_MAX 4

/**
 * struct config_peer - an entry daemon as it was last heard
 * @address: its address
 * @name: its host
 * @domain: its failure domain
 * @listed: whether the host list names it
 * @added: when the host list was asked that named it first
 * @heard: whether it has answered
 * @as_of: when it was asked for its last answer
 * @incarnation: which process it was
 * @version: the version it held
 * @unsettled: it did not know the effect of a proposal
 * @leaving: it has said that it accepts no change any more
 */
struct config_peer {
	struct config_peer *prev;
	struct config_peer *next;
	char address[ZR_NAME_MAX];
	char name[ZR_NAME_MAX];
	char domain[ZR_NAME_MAX];
	bool listed;
	struct timespec added;
	bool heard;
	struct timespec as_of;
	uint64_t incarnation;
	uint64_t version;
	bool unsettled;
	bool leaving;
};

/** struct config_time - a point in time that may be unset */
struct config_time {
	bool set;
	struct timespec at;
};

struct config_proposal;

struct zr_config_watch {
	struct zr_config_watch_options options;
	struct timespec started;
	uint64_t incarnation;
	struct zr_timer *timer;
	bool reading;
	bool freed; /* free it when the store answers the open read */
	bool ever_read;
	struct timespec asked; /* when the last read was sent */

	struct zr_config *current;
	char *text; /* of current, for peers */
	size_t length;
	struct zr_config *former[CONFIG_FORMER_MAX]; /* newest first */
	int64_t mod_revision;			     /* highest that was read */
	bool readable; /* whether the last document met was one */

	/* The newest document heard of while it is too early to trust it. */
	char *candidate;
	size_t candidate_length;
	uint64_t candidate_version;

	bool leaving;
	struct config_time confirmed; /* by the store, also through peers */
	struct config_time trusted;   /* by that, or by the word of all */
	bool listed; /* whether the last reading names this host */
	struct config_time hosts_first;
	struct config_time hosts_last;
	/* Hosts that went from the list without a word: when last heard of one,
	 * and when the last one had gone. */
	struct config_time gone_heard;
	struct config_time gone;
	struct config_peer *peers;
	struct config_proposal *proposals;

	struct zr_metric *reads;
	struct zr_metric *relayed;
	struct zr_metric *version;
};

/** config_now() - the time */
struct timespec config_now(const struct zr_config_watch *watch);

/** config_version() - the version in force here; 0 for none */
uint64_t config_version(const struct zr_config_watch *watch);

/**
 * config_take_text() - put a document in force if its version is higher
 * @watch: the watch
 * @source: where it came from, for the log
 * @text: the document
 * @length: its length in bytes
 *
 * Return: whether it is now in force.
 */
bool config_take_text(struct zr_config_watch *watch, const char *source,
		      const char *text, size_t length);

/** config_take_value() - the same for a value read from the store */
bool config_take_value(struct zr_config_watch *watch,
		       const struct zr_store_value *value);

/**
 * config_confirm() - note that nothing newer than what is held was accepted
 * @watch: the watch
 * @as_of: by that time, as the store says; it stays true when a higher version
 *	is taken later
 */
void config_confirm(struct zr_config_watch *watch, struct timespec as_of);

/** config_try_candidate() - take the candidate once there was time to ask */
void config_try_candidate(struct zr_config_watch *watch);

/** config_rank() - how many peers read the store before this process */
unsigned int config_rank(const struct zr_config_watch *watch);

/** config_settle_proposals() - end those that the version in force holds */
void config_settle_proposals(struct zr_config_watch *watch);

void config_peers_free(struct zr_config_watch *watch);
void config_proposals_free(struct zr_config_watch *watch);

#endif

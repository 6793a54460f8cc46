#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "config/watch_private.h"
#include "zinniarack/errors.h"

/*
 * A new process queries its peers for this long before it applies the newest
 * version that they reported, if none of them can confirm that version.
 */
#define QUERY_PEERS_MS 10000
/* Time for which a host may accept changes after its removal from the list. */
#define HOST_LIST_GRACE_MS 2000
/* Time for which a peer counts as running after a request it responded to. */
#define RESPONSIVE_MS 2500

static void advance_trusted(struct zr_config_watch *watch,
			    struct timespec as_of);

static int64_t elapsed_ms(const struct zr_config_watch *watch,
			  struct timespec at)
{
	return zr_time_diff_ms(config_now(watch), at);
}

static void set_timestamp(struct config_timestamp *out, struct timespec at)
{
	out->is_set = true;
	out->time = at;
}

/* Sets a timestamp unless it is later already. */
static void advance_timestamp(struct config_timestamp *out, struct timespec at)
{
	if (!out->is_set || zr_time_cmp(at, out->time) > 0)
		set_timestamp(out, at);
}

static void keep_earlier(struct timespec *out, struct timespec at)
{
	if (zr_time_cmp(at, *out) < 0)
		*out = at;
}

/* Peers */

static struct config_peer *find_peer(const struct zr_config_watch *watch,
				     const char *address)
{
	struct config_peer *peer;

	DL_FOREACH(watch->peers, peer)
	{
		if (!strcmp(peer->address, address))
			return peer;
	}
	return NULL;
}

static void peer_add_or_update(struct zr_config_watch *watch,
			       const struct zr_host *host,
			       struct timespec sent_at)
{
	struct config_peer *peer = find_peer(watch, host->address);

	if (!peer) {
		peer = calloc(1, sizeof(*peer));
		if (!peer)
			abort();
		snprintf(peer->address, sizeof(peer->address), "%s",
			 host->address);
		peer->added_at = sent_at;
		DL_APPEND(watch->peers, peer);
	}
	snprintf(peer->name, sizeof(peer->name), "%s", host->name);
	snprintf(peer->domain, sizeof(peer->domain), "%s", host->domain);
	peer->in_host_list = true;
}

static void remove_peer(struct zr_config_watch *watch, struct config_peer *peer)
{
	if (watch->peers)
		DL_DELETE(watch->peers, peer);
	free(peer);
}

/*
 * Records a host that disappeared without announcing that it leaves: it may
 * have accepted a change after its last response.
 */
static void record_removed(struct zr_config_watch *watch,
			   const struct config_peer *peer,
			   struct timespec sent_at)
{
	struct timespec responded_at =
		peer->has_responded ? peer->status_at : peer->added_at;

	if (peer->leaving)
		return;
	if (!watch->removed_responded_at.is_set ||
	    zr_time_cmp(responded_at, watch->removed_responded_at.time) < 0)
		set_timestamp(&watch->removed_responded_at, responded_at);
	set_timestamp(&watch->removed_at, sent_at);
}

static void remove_unlisted_peers(struct zr_config_watch *watch,
				  struct timespec sent_at)
{
	struct config_peer *peer;
	struct config_peer *next;

	DL_FOREACH_SAFE(watch->peers, peer, next)
	{
		if (peer->in_host_list)
			continue;
		record_removed(watch, peer, sent_at);
		remove_peer(watch, peer);
	}
}

void zr_config_watch_set_hosts(struct zr_config_watch *watch,
			       const struct zr_host *hosts, size_t count,
			       struct timespec sent_at)
{
	struct config_peer *peer;
	size_t i;

	watch->in_host_list = false;
	DL_FOREACH(watch->peers, peer)
	peer->in_host_list = false;
	for (i = 0; i < count; i++) {
		if (hosts[i].kind != ZR_HOST_ENTRY)
			continue;
		peer_add_or_update(watch, &hosts[i], sent_at);
		watch->in_host_list |=
			!strcmp(hosts[i].name, watch->options.name);
	}
	remove_unlisted_peers(watch, sent_at);
	if (!watch->hosts_first_read_at.is_set)
		set_timestamp(&watch->hosts_first_read_at, sent_at);
	set_timestamp(&watch->hosts_last_read_at, sent_at);
}

unsigned int config_read_rank(const struct zr_config_watch *watch)
{
	const struct config_peer *peer;
	unsigned int rank = 0;

	DL_FOREACH(watch->peers, peer)
	{
		if (strcmp(peer->domain, watch->options.domain) ||
		    !peer->has_responded ||
		    elapsed_ms(watch, peer->status_at) > RESPONSIVE_MS)
			continue;
		/* Schedulers read after all entry daemons of the domain. */
		if (!watch->options.address ||
		    strcmp(peer->name, watch->options.name) < 0)
			rank++;
	}
	return rank;
}

void config_peers_free(struct zr_config_watch *watch)
{
	struct config_peer *peer;
	struct config_peer *next;

	DL_FOREACH_SAFE(watch->peers, peer, next)
	free(peer);
}

/* Status exchange with peers */

static int64_t timestamp_age_ms(const struct zr_config_watch *watch,
				const struct config_timestamp *time)
{
	return time->is_set ? elapsed_ms(watch, time->time)
			    : ZR_CONFIG_NEVER_CONFIRMED;
}

void zr_config_watch_fill_status(struct zr_config_peer_status *out,
				 const struct zr_config_watch *watch,
				 uint64_t peer_version)
{
	*out = (struct zr_config_peer_status){
		.name = watch->options.name,
		.domain = watch->options.domain,
		.address = watch->options.address ? watch->options.address : "",
		.incarnation = watch->incarnation,
		.version = config_version(watch),
		.confirmed_age_ms =
			timestamp_age_ms(watch, &watch->confirmed_at),
		.trusted_age_ms = zr_config_watch_age_ms(watch),
		.proposal_pending = watch->proposals != NULL,
		.leaving = watch->leaving,
	};
	if (peer_version < out->version) {
		out->text = watch->text;
		out->length = watch->length;
	}
}

static void keep_candidate(struct zr_config_watch *watch,
			   const struct zr_config_peer_status *status)
{
	char *copy;

	if (status->version <= watch->candidate_version)
		return;
	copy = malloc(status->length);
	if (!copy)
		return;
	memcpy(copy, status->text, status->length);
	free(watch->candidate);
	watch->candidate = copy;
	watch->candidate_length = status->length;
	watch->candidate_version = status->version;
}

void config_apply_candidate(struct zr_config_watch *watch)
{
	if (!watch->candidate ||
	    elapsed_ms(watch, watch->started_at) < QUERY_PEERS_MS)
		return;
	if (config_apply_text(watch, "peer", watch->candidate,
			      watch->candidate_length))
		watch->relayed->value++;
	free(watch->candidate);
	watch->candidate = NULL;
	watch->candidate_length = 0;
	watch->candidate_version = 0;
}

/*
 * Applies the version that a peer sent. The process that this one replaces may
 * have applied a higher version than that peer has. As long as no version is
 * applied here, one that wasn't confirmed since this process started is only
 * kept as the candidate.
 */
static void apply_status_text(struct zr_config_watch *watch,
			      const struct zr_config_peer_status *status,
			      bool is_confirmed)
{
	if (!status->text || status->version <= config_version(watch))
		return;
	if (!watch->current && !is_confirmed)
		keep_candidate(watch, status);
	else if (config_apply_text(watch, "peer", status->text, status->length))
		watch->relayed->value++;
}

void zr_config_watch_process_request(struct zr_config_watch *watch,
				     const struct zr_config_peer_status *status)
{
	struct config_peer *peer = find_peer(watch, status->address);

	if (peer && status->leaving)
		peer->leaving = true;
	apply_status_text(watch, status, false);
}

/* Whether a peer's version was confirmed after this process started. */
static bool confirmed_since_start(const struct zr_config_watch *watch,
				  const struct zr_config_peer_status *status,
				  struct timespec sent_at)
{
	return status->trusted_age_ms != ZR_CONFIG_NEVER_CONFIRMED &&
	       zr_time_cmp(zr_time_add_ms(sent_at, -status->trusted_age_ms),
			   watch->started_at) >= 0;
}

static bool is_self(const struct zr_config_watch *watch,
		    const struct config_peer *peer)
{
	return watch->options.address &&
	       !strcmp(peer->address, watch->options.address);
}

static void update_peer(struct zr_config_watch *watch, struct config_peer *peer,
			const struct zr_config_peer_status *status,
			struct timespec sent_at)
{
	if (peer->has_responded && zr_time_cmp(sent_at, peer->status_at) <= 0)
		return;
	/* Restarted: the earlier process ended without an announcement. */
	if (peer->has_responded && peer->incarnation != status->incarnation)
		record_removed(watch, peer, sent_at);
	peer->incarnation = status->incarnation;
	peer->has_responded = true;
	peer->status_at = sent_at;
	peer->version = status->version;
	peer->proposal_pending = status->proposal_pending;
	peer->leaving = status->leaving;
}

/*
 * The ages in a response are relative to a time after the request was sent, so
 * taking them from @sent_at gives a time that is never too late.
 */
static void apply_confirmations(struct zr_config_watch *watch,
				const struct zr_config_peer_status *status,
				struct timespec sent_at)
{
	if (status->version > config_version(watch))
		return;
	if (status->confirmed_age_ms != ZR_CONFIG_NEVER_CONFIRMED)
		config_confirm(
			watch,
			zr_time_add_ms(sent_at, -status->confirmed_age_ms));
	if (status->trusted_age_ms != ZR_CONFIG_NEVER_CONFIRMED)
		advance_trusted(watch, zr_time_add_ms(sent_at,
						      -status->trusted_age_ms));
}

void zr_config_watch_process_response(
	struct zr_config_watch *watch,
	const struct zr_config_peer_status *status, const char *address,
	struct timespec sent_at)
{
	struct config_peer *peer = find_peer(watch, address);

	if (peer)
		update_peer(watch, peer, status, sent_at);
	apply_status_text(watch, status,
			  confirmed_since_start(watch, status, sent_at));
	apply_confirmations(watch, status, sent_at);
}

void zr_config_watch_each_peer(
	const struct zr_config_watch *watch,
	void (*callback)(void *ctx, const struct zr_config_peer_info *info),
	void *ctx)
{
	const struct config_peer *peer;

	DL_FOREACH(watch->peers, peer)
	{
		struct zr_config_peer_info info = {
			.name = peer->name,
			.domain = peer->domain,
			.address = peer->address,
			.response_age_ms =
				peer->has_responded
					? elapsed_ms(watch, peer->status_at)
					: ZR_CONFIG_NEVER_CONFIRMED,
			.version = peer->version,
		};

		if (is_self(watch, peer)) {
			info.response_age_ms = 0;
			info.version = config_version(watch);
		}
		callback(ctx, &info);
	}
}

void zr_config_watch_leave(struct zr_config_watch *watch)
{
	watch->leaving = true;
	if (watch->options.notify_peers)
		watch->options.notify_peers(watch->options.ctx);
}

/* Confirmations */

/*
 * Finds the latest time at which all entry daemons together confirm the applied
 * version, without the store. Only entry daemons in the host list accept
 * changes. Suppose that at trusted_at no newer version had been accepted, and
 * all daemons that may accept one were known here. If every one of them
 * responds that it still has no newer version, then none was accepted up to the
 * earliest of the times at which these requests were sent.
 */
static bool confirmed_by_all(struct timespec *out,
			     const struct zr_config_watch *watch)
{
	const struct config_peer *peer;

	if (!watch->trusted_at.is_set || !watch->hosts_first_read_at.is_set ||
	    watch->proposals || !watch->current ||
	    zr_time_diff_ms(watch->trusted_at.time,
			    watch->hosts_first_read_at.time) <
		    HOST_LIST_GRACE_MS)
		return false;
	*out = zr_time_add_ms(watch->hosts_last_read_at.time,
			      -HOST_LIST_GRACE_MS);
	if (watch->removed_responded_at.is_set)
		keep_earlier(out, watch->removed_responded_at.time);
	DL_FOREACH(watch->peers, peer)
	{
		if (is_self(watch, peer))
			continue;
		if (peer->has_responded &&
		    (peer->proposal_pending ||
		     peer->version > config_version(watch)))
			return false;
		keep_earlier(out, peer->has_responded ? peer->status_at
						      : peer->added_at);
	}
	return true;
}

/*
 * Advances trusted_at. Hosts that disappeared HOST_LIST_GRACE_MS or more before
 * the new time no longer count: it covers all that they can have accepted.
 */
static void advance_trusted(struct zr_config_watch *watch,
			    struct timespec as_of)
{
	advance_timestamp(&watch->trusted_at, as_of);
	if (watch->removed_at.is_set &&
	    zr_time_diff_ms(watch->trusted_at.time, watch->removed_at.time) >=
		    HOST_LIST_GRACE_MS) {
		watch->removed_at.is_set = false;
		watch->removed_responded_at.is_set = false;
	}
}

void config_confirm(struct zr_config_watch *watch, struct timespec as_of)
{
	advance_timestamp(&watch->confirmed_at, as_of);
	advance_trusted(watch, as_of);
}

int64_t zr_config_watch_age_ms(const struct zr_config_watch *watch)
{
	struct timespec by_all;

	if (confirmed_by_all(&by_all, watch) &&
	    zr_time_cmp(by_all, watch->trusted_at.time) > 0)
		return elapsed_ms(watch, by_all);
	return timestamp_age_ms(watch, &watch->trusted_at);
}

int zr_config_watch_check_keys(const struct zr_config_watch *watch)
{
	const struct zr_config *config = watch->current;
	int64_t age_ms = zr_config_watch_age_ms(watch);

	if (!config)
		return zr_error_set(ZR_E_STALE_CONFIG,
				    "no configuration has been applied yet");
	if (config->key_check.when_unconfirmed == ZR_UNCONFIRMED_ACCEPT ||
	    (age_ms != ZR_CONFIG_NEVER_CONFIRMED &&
	     age_ms <= config->key_check.confirm_within_ms))
		return 0;
	return zr_error_set(ZR_E_STALE_CONFIG,
			    "cannot confirm that the API keys are still valid");
}

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "config/watch_private.h"
#include "zinniarack/errors.h"

/* Time that a new process asks its peers before it trusts the newest it heard
 * of, when nobody can confirm that. */
#define SETTLE_MS 10000
/* A host may accept changes so long after it was last listed */
#define LISTED_MS 2000
#define HEARD_MS 2500

static void trust(struct zr_config_watch *watch, struct timespec as_of);

static int64_t since_ms(const struct zr_config_watch *watch, struct timespec at)
{
	return zr_time_diff_ms(config_now(watch), at);
}

static void set_time(struct config_time *out, struct timespec at)
{
	out->set = true;
	out->at = at;
}

/* Raises a time that only moves on. */
static void raise_time(struct config_time *out, struct timespec at)
{
	if (!out->set || zr_time_cmp(at, out->at) > 0)
		set_time(out, at);
}

static void lower(struct timespec *out, struct timespec at)
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

static void obtain_peer(struct zr_config_watch *watch,
			const struct zr_host *host, struct timespec asked)
{
	struct config_peer *peer = find_peer(watch, host->address);

	if (!peer) {
		peer = calloc(1, sizeof(*peer));
		if (!peer)
			abort();
		snprintf(peer->address, sizeof(peer->address), "%s",
			 host->address);
		peer->added = asked;
		DL_APPEND(watch->peers, peer);
	}
	snprintf(peer->name, sizeof(peer->name), "%s", host->name);
	snprintf(peer->domain, sizeof(peer->domain), "%s", host->domain);
	peer->listed = true;
}

static void drop_peer(struct zr_config_watch *watch, struct config_peer *peer)
{
	if (watch->peers)
		DL_DELETE(watch->peers, peer);
	free(peer);
}

/* A host that went without a word may have accepted a change unheard. */
static void note_gone(struct zr_config_watch *watch,
		      const struct config_peer *peer, struct timespec asked)
{
	struct timespec heard = peer->heard ? peer->as_of : peer->added;

	if (peer->leaving)
		return;
	if (!watch->gone_heard.set ||
	    zr_time_cmp(heard, watch->gone_heard.at) < 0)
		set_time(&watch->gone_heard, heard);
	set_time(&watch->gone, asked);
}

static void drop_unlisted(struct zr_config_watch *watch, struct timespec asked)
{
	struct config_peer *peer;
	struct config_peer *next;

	DL_FOREACH_SAFE(watch->peers, peer, next)
	{
		if (peer->listed)
			continue;
		note_gone(watch, peer, asked);
		drop_peer(watch, peer);
	}
}

void zr_config_watch_hosts(struct zr_config_watch *watch,
			   const struct zr_host *hosts, size_t count,
			   struct timespec asked)
{
	struct config_peer *peer;
	size_t i;

	watch->listed = false;
	DL_FOREACH(watch->peers, peer)
	peer->listed = false;
	for (i = 0; i < count; i++) {
		if (hosts[i].kind != ZR_HOST_ENTRY)
			continue;
		obtain_peer(watch, &hosts[i], asked);
		watch->listed |= !strcmp(hosts[i].name, watch->options.name);
	}
	drop_unlisted(watch, asked);
	if (!watch->hosts_first.set)
		set_time(&watch->hosts_first, asked);
	set_time(&watch->hosts_last, asked);
}

unsigned int config_rank(const struct zr_config_watch *watch)
{
	const struct config_peer *peer;
	unsigned int rank = 0;

	DL_FOREACH(watch->peers, peer)
	{
		if (strcmp(peer->domain, watch->options.domain) ||
		    !peer->heard || since_ms(watch, peer->as_of) > HEARD_MS)
			continue;
		/* Schedulers come after all entry daemons. */
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

/* News */

static int64_t age_of(const struct zr_config_watch *watch,
		      const struct config_time *time)
{
	return time->set ? since_ms(watch, time->at)
			 : ZR_CONFIG_NEVER_CONFIRMED;
}

void zr_config_watch_news(struct zr_config_news *out,
			  const struct zr_config_watch *watch, uint64_t held)
{
	*out = (struct zr_config_news){
		.name = watch->options.name,
		.domain = watch->options.domain,
		.address = watch->options.address ? watch->options.address : "",
		.incarnation = watch->incarnation,
		.version = config_version(watch),
		.age_ms = age_of(watch, &watch->confirmed),
		.trusted_age_ms = zr_config_watch_age_ms(watch),
		.unsettled = watch->proposals != NULL,
		.leaving = watch->leaving,
	};
	if (held < out->version) {
		out->text = watch->text;
		out->length = watch->length;
	}
}

static void keep_candidate(struct zr_config_watch *watch,
			   const struct zr_config_news *news)
{
	char *copy;

	if (news->version <= watch->candidate_version)
		return;
	copy = malloc(news->length);
	if (!copy)
		return;
	memcpy(copy, news->text, news->length);
	free(watch->candidate);
	watch->candidate = copy;
	watch->candidate_length = news->length;
	watch->candidate_version = news->version;
}

void config_try_candidate(struct zr_config_watch *watch)
{
	if (!watch->candidate || since_ms(watch, watch->started) < SETTLE_MS)
		return;
	if (config_take_text(watch, "peer", watch->candidate,
			     watch->candidate_length))
		watch->relayed->value++;
	free(watch->candidate);
	watch->candidate = NULL;
	watch->candidate_length = 0;
	watch->candidate_version = 0;
}

/*
 * A new process may follow one that held a higher version than some peer does:
 * until it has one of its own, it takes only what was confirmed since.
 */
static void take_news(struct zr_config_watch *watch,
		      const struct zr_config_news *news, bool fresh)
{
	if (!news->text || news->version <= config_version(watch))
		return;
	if (!watch->current && !fresh)
		keep_candidate(watch, news);
	else if (config_take_text(watch, "peer", news->text, news->length))
		watch->relayed->value++;
}

void zr_config_watch_told(struct zr_config_watch *watch,
			  const struct zr_config_news *news)
{
	struct config_peer *peer = find_peer(watch, news->address);

	if (peer && news->leaving)
		peer->leaving = true;
	take_news(watch, news, false);
}

/* Whether it was confirmed since this process began. */
static bool is_fresh(const struct zr_config_watch *watch,
		     const struct zr_config_news *news, struct timespec asked)
{
	return news->trusted_age_ms != ZR_CONFIG_NEVER_CONFIRMED &&
	       zr_time_cmp(zr_time_add_ms(asked, -news->trusted_age_ms),
			   watch->started) >= 0;
}

static bool is_self(const struct zr_config_watch *watch,
		    const struct config_peer *peer)
{
	return watch->options.address &&
	       !strcmp(peer->address, watch->options.address);
}

static void note_heard(struct zr_config_watch *watch, struct config_peer *peer,
		       const struct zr_config_news *news, struct timespec asked)
{
	if (peer->heard && zr_time_cmp(asked, peer->as_of) <= 0)
		return;
	/* The process before it went without a word, as a host may. */
	if (peer->heard && peer->incarnation != news->incarnation)
		note_gone(watch, peer, asked);
	peer->incarnation = news->incarnation;
	peer->heard = true;
	peer->as_of = asked;
	peer->version = news->version;
	peer->unsettled = news->unsettled;
	peer->leaving = news->leaving;
}

/* Its ages are those of its answer, which came after it was asked. */
static void adopt(struct zr_config_watch *watch,
		  const struct zr_config_news *news, struct timespec asked)
{
	if (news->version > config_version(watch))
		return;
	if (news->age_ms != ZR_CONFIG_NEVER_CONFIRMED)
		config_confirm(watch, zr_time_add_ms(asked, -news->age_ms));
	if (news->trusted_age_ms != ZR_CONFIG_NEVER_CONFIRMED)
		trust(watch, zr_time_add_ms(asked, -news->trusted_age_ms));
}

void zr_config_watch_answered(struct zr_config_watch *watch,
			      const struct zr_config_news *news,
			      const char *address, struct timespec asked)
{
	struct config_peer *peer = find_peer(watch, address);

	if (peer)
		note_heard(watch, peer, news, asked);
	take_news(watch, news, is_fresh(watch, news, asked));
	adopt(watch, news, asked);
}

void zr_config_watch_each(const struct zr_config_watch *watch,
			  void (*each)(void *ctx,
				       const struct zr_config_peer_info *info),
			  void *ctx)
{
	const struct config_peer *peer;

	DL_FOREACH(watch->peers, peer)
	{
		struct zr_config_peer_info info = {
			.name = peer->name,
			.domain = peer->domain,
			.address = peer->address,
			.heard_ms = peer->heard ? since_ms(watch, peer->as_of)
						: ZR_CONFIG_NEVER_CONFIRMED,
			.version = peer->version,
		};

		if (is_self(watch, peer)) {
			info.heard_ms = 0;
			info.version = config_version(watch);
		}
		each(ctx, &info);
	}
}

void zr_config_watch_leave(struct zr_config_watch *watch)
{
	watch->leaving = true;
	if (watch->options.spread)
		watch->options.spread(watch->options.ctx);
}

/* Trust in keys */

/*
 * Changes are accepted by listed entry daemons alone. From a time on at which
 * nothing newer was accepted, and all who may accept are known here, it goes on
 * to be so up to the time at which the last of them was asked and still held
 * nothing newer. The store is not needed to know that.
 */
static bool confirmed_by_all(struct timespec *out,
			     const struct zr_config_watch *watch)
{
	const struct config_peer *peer;

	if (!watch->trusted.set || !watch->hosts_first.set ||
	    watch->proposals || !watch->current ||
	    zr_time_diff_ms(watch->trusted.at, watch->hosts_first.at) <
		    LISTED_MS)
		return false;
	*out = zr_time_add_ms(watch->hosts_last.at, -LISTED_MS);
	if (watch->gone_heard.set)
		lower(out, watch->gone_heard.at);
	DL_FOREACH(watch->peers, peer)
	{
		if (is_self(watch, peer))
			continue;
		if (peer->heard &&
		    (peer->unsettled || peer->version > config_version(watch)))
			return false;
		lower(out, peer->heard ? peer->as_of : peer->added);
	}
	return true;
}

/* Moves the trust on; what went without a word before it matters no more. */
static void trust(struct zr_config_watch *watch, struct timespec as_of)
{
	raise_time(&watch->trusted, as_of);
	if (watch->gone.set &&
	    zr_time_diff_ms(watch->trusted.at, watch->gone.at) >= LISTED_MS) {
		watch->gone.set = false;
		watch->gone_heard.set = false;
	}
}

void config_confirm(struct zr_config_watch *watch, struct timespec as_of)
{
	raise_time(&watch->confirmed, as_of);
	trust(watch, as_of);
}

int64_t zr_config_watch_age_ms(const struct zr_config_watch *watch)
{
	struct timespec by_all;

	if (confirmed_by_all(&by_all, watch) &&
	    zr_time_cmp(by_all, watch->trusted.at) > 0)
		return since_ms(watch, by_all);
	return age_of(watch, &watch->trusted);
}

int zr_config_watch_check_keys(const struct zr_config_watch *watch)
{
	const struct zr_config *config = watch->current;
	int64_t age_ms = zr_config_watch_age_ms(watch);

	if (!config)
		return zr_error_set(ZR_E_STALE_CONFIG, "no configuration yet");
	if (config->key_check.when_unconfirmed == ZR_UNCONFIRMED_ACCEPT ||
	    (age_ms != ZR_CONFIG_NEVER_CONFIRMED &&
	     age_ms <= config->key_check.confirm_within_ms))
		return 0;
	return zr_error_set(ZR_E_STALE_CONFIG,
			    "nobody can confirm that keys are in force");
}

#include <inttypes.h>
#include <openssl/rand.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "config/watch_private.h"
#include "zinniarack/errors.h"
#include "zinniarack/log.h"

#define RETRY_MS 500
/* How long the proposer waits; an unsettled proposal is settled after it. */
#define ANSWER_MS 8000
#define PROPOSAL_ID_BYTES 12
#define PROPOSAL_ID_MAX (2 * PROPOSAL_ID_BYTES + 1)

/* A change on its way: read the key, then compare and swap. */
struct config_proposal {
	struct config_proposal *prev;
	struct config_proposal *next;
	struct zr_config_watch *watch;
	char id[PROPOSAL_ID_MAX];
	uint64_t expected;
	char *text;
	size_t length;
	int64_t mod_revision;
	bool sent;	/* a write may have taken effect */
	bool call_open; /* the store has not answered */
	bool settling;	/* its own answer is being looked at */
	bool freed;	/* it has ended; free it when the store answers */
	struct timespec asked; /* when the open call was sent */
	struct timespec deadline;
	struct zr_timer *timer;
	zr_config_proposed_fn done;
	void *ctx;
};

/* Documents */

static char *copy_text(const char *text)
{
	char *copy = strdup(text);

	if (!copy)
		abort();
	return copy;
}

static void clear_history(struct zr_config *config)
{
	uint32_t i;

	for (i = 0; i < config->history_count; i++) {
		free(config->history[i].proposal);
		free(config->history[i].author);
	}
	free(config->history);
	config->history = NULL;
	config->history_count = 0;
}

/* The history of @base with one more change. */
static void set_history(struct zr_config *config, const struct zr_config *base,
			const char *id, const char *author)
{
	uint32_t known = base ? base->history_count : 0;
	uint32_t skipped = known < ZR_CONFIG_HISTORY_MAX
				   ? 0
				   : known - ZR_CONFIG_HISTORY_MAX + 1;
	struct zr_config_change *change;
	uint32_t i;

	clear_history(config);
	config->history = calloc(ZR_CONFIG_HISTORY_MAX, sizeof(*change));
	if (!config->history)
		abort();
	for (i = skipped; i < known; i++) {
		change = &config->history[config->history_count++];
		change->proposal = copy_text(base->history[i].proposal);
		change->version = base->history[i].version;
		change->author = copy_text(base->history[i].author);
	}
	change = &config->history[config->history_count++];
	change->proposal = copy_text(id);
	change->version = config->version;
	change->author = copy_text(author);
}

static bool holds_proposal(const struct zr_config *config, const char *id)
{
	uint32_t i;

	for (i = 0; config && i < config->history_count; i++) {
		if (!strcmp(config->history[i].proposal, id))
			return true;
	}
	return false;
}

/* Ends */

static void answer(struct config_proposal *proposal, int error)
{
	struct zr_config_watch *watch = proposal->watch;
	zr_config_proposed_fn done = proposal->done;
	uint64_t version =
		error ? config_version(watch) : proposal->expected + 1;

	proposal->done = NULL;
	if (done)
		done(proposal->ctx, error, version);
}

static void free_proposal(struct config_proposal *proposal)
{
	zr_timer_free(proposal->timer);
	free(proposal->text);
	free(proposal);
}

/* The store still answers an open call. */
static void release(struct config_proposal *proposal)
{
	proposal->freed = true;
	zr_timer_stop(proposal->timer);
	if (!proposal->call_open)
		free_proposal(proposal);
}

static void end(struct config_proposal *proposal, int error)
{
	zr_log(ZR_LOG_INFO, "config.proposal expected=%" PRIu64 " outcome=%s",
	       proposal->expected, zr_error_name(error));
	DL_DELETE(proposal->watch->proposals, proposal);
	answer(proposal, error);
	release(proposal);
}

void config_settle_proposals(struct zr_config_watch *watch)
{
	struct config_proposal *proposal;
	struct config_proposal *next;

	DL_FOREACH_SAFE(watch->proposals, proposal, next)
	{
		if (!proposal->settling &&
		    holds_proposal(watch->current, proposal->id))
			end(proposal, 0);
	}
}

/* Steps */

static void on_committed(void *ctx, int error,
			 const struct zr_store_reply *reply);

/* Whether the watch has gone meanwhile; the proposal is then freed. */
static bool abandoned(struct config_proposal *proposal)
{
	proposal->call_open = false;
	if (!proposal->freed)
		return false;
	free_proposal(proposal);
	return true;
}

static void commit(struct config_proposal *proposal)
{
	const struct zr_store_compare compare = {CONFIG_KEY,
						 proposal->mod_revision};
	const struct zr_store_put put = {CONFIG_KEY, proposal->text,
					 proposal->length, 0};
	const struct zr_store_txn txn = {&compare, 1, &put, 1};

	proposal->call_open = true;
	proposal->asked = config_now(proposal->watch);
	zr_store_commit(proposal->watch->options.store, ZR_STORE_CONFIG, &txn,
			on_committed, proposal);
}

static void take_own(struct config_proposal *proposal)
{
	struct zr_config_watch *watch = proposal->watch;

	bool taken = config_take_text(watch, "store", proposal->text,
				      proposal->length);

	config_confirm(watch, proposal->asked);
	if (taken && watch->options.spread)
		watch->options.spread(watch->options.ctx);
}

/*
 * The key is not what was compared: either an earlier try took effect, which
 * the history then shows, or another change was first, and then no try of this
 * proposal can take effect any more.
 */
static int settle(struct config_proposal *proposal,
		  const struct zr_store_reply *reply)
{
	struct zr_config_watch *watch = proposal->watch;
	struct zr_config *found;
	bool ours;

	if (!reply->count)
		return ZR_E_CONFLICT;
	if (zr_config_parse(&found, CONFIG_KEY, reply->values[0].data,
			    reply->values[0].length) < 0)
		return ZR_E_CONFLICT;
	ours = holds_proposal(found, proposal->id);
	zr_config_free(found);
	if (config_take_value(watch, &reply->values[0]) &&
	    watch->options.spread)
		watch->options.spread(watch->options.ctx);
	return ours ? 0 : ZR_E_CONFLICT;
}

static void on_committed(void *ctx, int error,
			 const struct zr_store_reply *reply)
{
	struct config_proposal *proposal = ctx;

	if (abandoned(proposal))
		return;
	proposal->settling = true;
	if (!error && reply->succeeded) {
		take_own(proposal);
		end(proposal, 0);
		return;
	}
	if (!error) {
		end(proposal, settle(proposal, reply));
		return;
	}
	if (error == ZR_E_STORE_DOWN && !proposal->sent) {
		end(proposal, error);
		return;
	}
	/* The same comparison again: it tells whether a try took effect. */
	proposal->settling = false;
	proposal->sent = true;
	zr_timer_start(proposal->timer, RETRY_MS, 0);
}

static void on_timer(void *ctx)
{
	struct config_proposal *proposal = ctx;

	if (zr_time_cmp(config_now(proposal->watch), proposal->deadline) > 0)
		answer(proposal, ZR_E_OUTCOME_UNKNOWN);
	commit(proposal);
}

static void on_base_read(void *ctx, int error,
			 const struct zr_store_reply *reply)
{
	struct config_proposal *proposal = ctx;
	struct zr_config_watch *watch;

	if (abandoned(proposal))
		return;
	watch = proposal->watch;
	if (error < 0) {
		end(proposal, ZR_E_STORE_DOWN);
		return;
	}
	if (reply->count) {
		proposal->mod_revision = reply->values[0].mod_revision;
		if (config_take_value(watch, &reply->values[0]) &&
		    watch->options.spread)
			watch->options.spread(watch->options.ctx);
	}
	if (config_version(watch) != proposal->expected)
		end(proposal, ZR_E_CONFLICT);
	else
		commit(proposal);
}

static int print(struct config_proposal *proposal, struct zr_config *config,
		 const char *author)
{
	unsigned char random[PROPOSAL_ID_BYTES];
	size_t i;

	if (RAND_bytes(random, sizeof(random)) != 1)
		return zr_error_set(ZR_E_IO, "no randomness to be had");
	for (i = 0; i < sizeof(random); i++)
		snprintf(proposal->id + 2 * i, 3, "%02x", random[i]);
	config->version = proposal->expected + 1;
	set_history(config, proposal->watch->current, proposal->id, author);
	return zr_config_print(&proposal->text, &proposal->length, config);
}

/*
 * Peers take it that nobody accepts changes whom the host list does not name;
 * see confirmed_by_all().
 */
int zr_config_watch_propose(struct zr_config_watch *watch,
			    struct zr_config *config, uint64_t expected,
			    const char *author, zr_config_proposed_fn done,
			    void *ctx)
{
	struct config_proposal *proposal;
	int error;

	if (watch->leaving)
		return zr_error_set(ZR_E_SHUTTING_DOWN,
				    "stopping; ask another");
	if (!watch->listed)
		return zr_error_set(ZR_E_UNREACHABLE,
				    "the host list does not name this host "
				    "yet; ask another");
	if (!watch->current && expected)
		return zr_error_set(ZR_E_STALE_CONFIG,
				    "no configuration here yet; ask again");
	if (expected != config_version(watch))
		return zr_error_set(ZR_E_CONFLICT,
				    "version %" PRIu64 " is in force, not "
				    "%" PRIu64,
				    config_version(watch), expected);
	proposal = calloc(1, sizeof(*proposal));
	if (!proposal)
		return ZR_E_NOMEM;
	proposal->watch = watch;
	proposal->expected = expected;
	error = print(proposal, config, author);
	if (error < 0) {
		free(proposal);
		return error;
	}
	proposal->done = done;
	proposal->ctx = ctx;
	proposal->deadline = zr_time_add_ms(config_now(watch), ANSWER_MS);
	proposal->timer =
		zr_timer_new(watch->options.timers, on_timer, proposal);
	DL_APPEND(watch->proposals, proposal);
	proposal->call_open = true;
	zr_store_range(watch->options.store, ZR_STORE_CONFIG, CONFIG_KEY, false,
		       on_base_read, proposal);
	return 0;
}

void config_proposals_free(struct zr_config_watch *watch)
{
	struct config_proposal *proposal;
	struct config_proposal *next;

	DL_FOREACH_SAFE(watch->proposals, proposal, next)
	{
		answer(proposal, ZR_E_OUTCOME_UNKNOWN);
		release(proposal);
	}
	watch->proposals = NULL;
}

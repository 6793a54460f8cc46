#include <inttypes.h>
#include <openssl/rand.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "config/watch_private.h"
#include "zinniarack/errors.h"
#include "zinniarack/log.h"

#define RETRY_MS 500 /* from a failed write to the next */
/*
 * After this time, the proposer gets ZR_E_OUTCOME_UNKNOWN. The proposal is
 * still retried until its outcome is known.
 */
#define OUTCOME_TIMEOUT_MS 8000
#define PROPOSAL_ID_BYTES 12
#define PROPOSAL_ID_MAX (2 * PROPOSAL_ID_BYTES + 1)

/**
 * struct config_proposal - a change that is being proposed
 * @prev: previous proposal of the watch
 * @next: next proposal of the watch
 * @watch: the watch
 * @id: random id, which the history of the document contains
 * @expected: version that the document was made from
 * @text: YAML of the document
 * @length: length of @text in bytes
 * @mod_revision: revision of CONFIG_KEY that was read; 0 if it didn't exist
 * @write_sent: whether an earlier write may have taken effect
 * @call_in_flight: whether a call of the store awaits its response
 * @in_response: whether the response to a write is being processed, which ends
 *	the proposal itself
 * @closed: whether the response to the call in flight frees the memory, because
 *	the proposal has ended
 * @sent_at: when the last write was sent
 * @deadline: when the proposer stops waiting
 * @timer: timer for the next write
 * @done: called with the outcome; NULL once it was
 * @ctx: passed to @done
 *
 * A proposal reads CONFIG_KEY, then writes it if its revision hasn't changed.
 */
struct config_proposal {
	struct config_proposal *prev;
	struct config_proposal *next;
	struct zr_config_watch *watch;
	char id[PROPOSAL_ID_MAX];
	uint64_t expected;
	char *text;
	size_t length;
	int64_t mod_revision;
	bool write_sent;
	bool call_in_flight;
	bool in_response;
	bool closed;
	struct timespec sent_at;
	struct timespec deadline;
	struct zr_timer *timer;
	zr_config_proposal_done_fn done;
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

/* Sets the history to that of @base and one more change. */
static void set_history(struct zr_config *config, const struct zr_config *base,
			const char *id, const char *author)
{
	uint32_t count = base ? base->history_count : 0;
	uint32_t skipped = count < ZR_CONFIG_HISTORY_MAX
				   ? 0
				   : count - ZR_CONFIG_HISTORY_MAX + 1;
	struct zr_config_change *change;
	uint32_t i;

	clear_history(config);
	config->history = calloc(ZR_CONFIG_HISTORY_MAX, sizeof(*change));
	if (!config->history)
		abort();
	for (i = skipped; i < count; i++) {
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

static bool contains_proposal(const struct zr_config *config, const char *id)
{
	uint32_t i;

	for (i = 0; config && i < config->history_count; i++) {
		if (!strcmp(config->history[i].proposal, id))
			return true;
	}
	return false;
}

/* End of a proposal */

static void report_outcome(struct config_proposal *proposal, int error)
{
	struct zr_config_watch *watch = proposal->watch;
	zr_config_proposal_done_fn done = proposal->done;
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

/* Frees a proposal, or leaves that to the response of the store. */
static void close_proposal(struct config_proposal *proposal)
{
	proposal->closed = true;
	zr_timer_stop(proposal->timer);
	if (!proposal->call_in_flight)
		free_proposal(proposal);
}

static void end_proposal(struct config_proposal *proposal, int error)
{
	zr_log(ZR_LOG_INFO, "config.proposal expected=%" PRIu64 " outcome=%s",
	       proposal->expected, zr_error_name(error));
	DL_DELETE(proposal->watch->proposals, proposal);
	report_outcome(proposal, error);
	close_proposal(proposal);
}

void config_complete_proposals(struct zr_config_watch *watch)
{
	struct config_proposal *proposal;
	struct config_proposal *next;

	DL_FOREACH_SAFE(watch->proposals, proposal, next)
	{
		if (!proposal->in_response &&
		    contains_proposal(watch->current, proposal->id))
			end_proposal(proposal, 0);
	}
}

/* Calls of the store */

static void on_committed(void *ctx, int error,
			 const struct zr_store_reply *reply);

/*
 * Notes that the store responded; frees the proposal and returns true if it was
 * closed while the call was in flight.
 */
static bool free_if_closed(struct config_proposal *proposal)
{
	proposal->call_in_flight = false;
	if (!proposal->closed)
		return false;
	free_proposal(proposal);
	return true;
}

static void send_commit(struct config_proposal *proposal)
{
	const struct zr_store_compare compare = {CONFIG_KEY,
						 proposal->mod_revision};
	const struct zr_store_put put = {CONFIG_KEY, proposal->text,
					 proposal->length, 0};
	const struct zr_store_txn txn = {&compare, 1, &put, 1};

	proposal->call_in_flight = true;
	proposal->sent_at = config_now(proposal->watch);
	zr_store_commit(proposal->watch->options.store, ZR_STORE_CONFIG, &txn,
			on_committed, proposal);
}

static void apply_own(struct config_proposal *proposal)
{
	struct zr_config_watch *watch = proposal->watch;

	bool applied = config_apply_text(watch, "store", proposal->text,
					 proposal->length);

	config_confirm(watch, proposal->sent_at);
	if (applied && watch->options.notify_peers)
		watch->options.notify_peers(watch->options.ctx);
}

/*
 * Handles a write whose comparison failed. Either an earlier write of this
 * proposal took effect, and the stored document's history contains it; or
 * another change was accepted first, and no write of this proposal can take
 * effect any more.
 */
static int resolve_conflict(struct config_proposal *proposal,
			    const struct zr_store_reply *reply)
{
	struct zr_config_watch *watch = proposal->watch;
	struct zr_config *found;
	bool is_own;

	if (!reply->count)
		return ZR_E_CONFLICT;
	if (zr_config_parse(&found, CONFIG_KEY, reply->values[0].data,
			    reply->values[0].length) < 0)
		return ZR_E_CONFLICT;
	is_own = contains_proposal(found, proposal->id);
	zr_config_free(found);
	if (config_apply_value(watch, &reply->values[0]) &&
	    watch->options.notify_peers)
		watch->options.notify_peers(watch->options.ctx);
	return is_own ? 0 : ZR_E_CONFLICT;
}

static void on_committed(void *ctx, int error,
			 const struct zr_store_reply *reply)
{
	struct config_proposal *proposal = ctx;

	if (free_if_closed(proposal))
		return;
	proposal->in_response = true;
	if (!error && reply->succeeded) {
		apply_own(proposal);
		end_proposal(proposal, 0);
		return;
	}
	if (!error) {
		end_proposal(proposal, resolve_conflict(proposal, reply));
		return;
	}
	if (error == ZR_E_STORE_DOWN && !proposal->write_sent) {
		end_proposal(proposal, error);
		return;
	}
	/* The response to a retry shows whether this write took effect. */
	proposal->in_response = false;
	proposal->write_sent = true;
	zr_timer_start(proposal->timer, RETRY_MS, 0);
}

static void on_timer(void *ctx)
{
	struct config_proposal *proposal = ctx;

	if (zr_time_cmp(config_now(proposal->watch), proposal->deadline) > 0)
		report_outcome(proposal, ZR_E_OUTCOME_UNKNOWN);
	send_commit(proposal);
}

static void on_read(void *ctx, int error, const struct zr_store_reply *reply)
{
	struct config_proposal *proposal = ctx;
	struct zr_config_watch *watch;

	if (free_if_closed(proposal))
		return;
	watch = proposal->watch;
	if (error < 0) {
		end_proposal(proposal, ZR_E_STORE_DOWN);
		return;
	}
	if (reply->count) {
		proposal->mod_revision = reply->values[0].mod_revision;
		if (config_apply_value(watch, &reply->values[0]) &&
		    watch->options.notify_peers)
			watch->options.notify_peers(watch->options.ctx);
	}
	if (config_version(watch) != proposal->expected)
		end_proposal(proposal, ZR_E_CONFLICT);
	else
		send_commit(proposal);
}

static int make_document(struct config_proposal *proposal,
			 struct zr_config *config, const char *author)
{
	unsigned char random[PROPOSAL_ID_BYTES];
	size_t i;

	if (RAND_bytes(random, sizeof(random)) != 1)
		return zr_error_set(ZR_E_IO,
				    "the random number generator failed");
	for (i = 0; i < sizeof(random); i++)
		snprintf(proposal->id + 2 * i, 3, "%02x", random[i]);
	config->version = proposal->expected + 1;
	set_history(config, proposal->watch->current, proposal->id, author);
	return zr_config_print(&proposal->text, &proposal->length, config);
}

/*
 * Refuses changes while the host list doesn't contain this host: its peers rely
 * on that; see confirmed_by_all().
 */
int zr_config_watch_propose(struct zr_config_watch *watch,
			    struct zr_config *config, uint64_t expected,
			    const char *author, zr_config_proposal_done_fn done,
			    void *ctx)
{
	struct config_proposal *proposal;
	int error;

	if (watch->leaving)
		return zr_error_set(
			ZR_E_SHUTTING_DOWN,
			"this process is stopping; retry with another "
			"entry daemon");
	if (!watch->in_host_list)
		return zr_error_set(ZR_E_UNREACHABLE,
				    "the host list does not contain this host "
				    "yet; retry with another entry daemon");
	if (!watch->current && expected)
		return zr_error_set(ZR_E_STALE_CONFIG,
				    "no configuration has been applied yet, "
				    "retry later");
	if (expected != config_version(watch))
		return zr_error_set(ZR_E_CONFLICT,
				    "the applied version is %" PRIu64 ", not "
				    "%" PRIu64,
				    config_version(watch), expected);
	proposal = calloc(1, sizeof(*proposal));
	if (!proposal)
		return ZR_E_NOMEM;
	proposal->watch = watch;
	proposal->expected = expected;
	error = make_document(proposal, config, author);
	if (error < 0) {
		free(proposal);
		return error;
	}
	proposal->done = done;
	proposal->ctx = ctx;
	proposal->deadline =
		zr_time_add_ms(config_now(watch), OUTCOME_TIMEOUT_MS);
	proposal->timer =
		zr_timer_new(watch->options.timers, on_timer, proposal);
	DL_APPEND(watch->proposals, proposal);
	proposal->call_in_flight = true;
	zr_store_range(watch->options.store, ZR_STORE_CONFIG, CONFIG_KEY, false,
		       on_read, proposal);
	return 0;
}

void config_proposals_free(struct zr_config_watch *watch)
{
	struct config_proposal *proposal;
	struct config_proposal *next;

	DL_FOREACH_SAFE(watch->proposals, proposal, next)
	{
		report_outcome(proposal, ZR_E_OUTCOME_UNKNOWN);
		close_proposal(proposal);
	}
	watch->proposals = NULL;
}

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "entry/private.h"
#include "rpc/procedures.h"
#include "zinniarack/errors.h"

#define READ_TIMEOUT_MS 2000

/* Configuration */

/* A change of the configuration that waits for its result. */
struct config_call {
	struct entry_call *call;
	uint64_t expected;
};

static void add_difference(void *ctx, const char *section, const char *name,
			   enum zr_config_difference difference)
{
	json_array_append_new(ctx,
			      json_pack("{s:s, s:s*, s:s}", "section", section,
					"name", name, "difference",
					zr_config_difference_name(difference)));
}

/*
 * Lists who has changed the configuration since the expected version, and the
 * differences from that version.
 */
static json_t *conflict_to_json(const struct zr_entry *entry, uint64_t expected)
{
	const struct zr_config *config = zr_config_watch_current(entry->config);
	const struct zr_config *base =
		zr_config_watch_find_previous(entry->config, expected);
	json_t *changes = json_array();
	json_t *differences = NULL;
	uint32_t i;

	for (i = 0; config && i < config->history_count; i++) {
		const struct zr_config_change *change = &config->history[i];

		if (change->version <= expected)
			continue;
		json_array_append_new(changes,
				      json_pack("{s:I, s:s}", "version",
						(json_int_t)change->version,
						"author", change->author));
	}
	if (config && (base || !expected)) {
		differences = json_array();
		zr_config_diff(base, config, add_difference, differences);
	}
	return json_pack("{s:s, s:s, s:b, s:I, s:o, s:o*}", "error",
			 zr_error_name(ZR_E_CONFLICT), "detail",
			 "the configuration was changed since that version; "
			 "the other change was kept, and this one was not "
			 "made",
			 "not_run", 1, "version",
			 (json_int_t)(config ? config->version : 0), "changes",
			 changes, "differences", differences);
}

static void on_proposed(void *ctx, int error, uint64_t version)
{
	struct config_call *config_call = ctx;
	struct entry_call *call = config_call->call;

	if (error == ZR_E_CONFLICT)
		entry_call_finish_json(
			call, 409,
			conflict_to_json(call->entry, config_call->expected));
	else if (error == ZR_E_OUTCOME_UNKNOWN)
		entry_call_finish_error(call, error,
					"the change may still take effect; "
					"check 'zinniarack config show'");
	else if (error < 0)
		entry_call_finish_error(call, error,
					"the configuration was not changed");
	else
		entry_call_finish_json(
			call, 200,
			json_pack("{s:I}", "version", (json_int_t)version));
	free(config_call);
}

/* Proposes a configuration that is based on version @expected. */
static void propose(struct zr_entry *entry, struct zr_http_exchange *exchange,
		    struct zr_config *config, uint64_t expected,
		    const char *author)
{
	struct config_call *call = calloc(1, sizeof(*call));
	int error;

	if (!call)
		abort();
	call->expected = expected;
	call->call = entry_call_new(entry, exchange);
	error = zr_config_watch_propose(entry->config, config, expected, author,
					on_proposed, call);
	if (error == ZR_E_CONFLICT) {
		on_proposed(call, error, 0);
	} else if (error < 0) {
		entry_call_finish_error(call->call, error, zr_error_last());
		free(call);
	}
}

static bool parse_number(uint64_t *out, const char *text)
{
	char *end;

	if (!text || *text < '0' || *text > '9')
		return false;
	*out = strtoull(text, &end, 10);
	return !*end;
}

static void put_config(struct zr_entry *entry,
		       struct zr_http_exchange *exchange)
{
	const char *expected = zr_http_get_query_param(exchange, "expected");
	const struct zr_config_key *key;
	struct zr_config *config;
	uint64_t version;
	size_t length;
	const void *body = zr_http_get_body(exchange, &length);
	int error = entry_authenticate_operator(&key, entry, exchange);

	if (error < 0) {
		entry_reply_error(exchange, error, zr_error_last());
		return;
	}
	if (!parse_number(&version, expected)) {
		entry_reply_error(exchange, ZR_E_INVALID,
				  "parameter 'expected' must be the version "
				  "that the change is based on");
		return;
	}
	error = zr_config_parse(&config, "body", body, length);
	if (error < 0) {
		entry_reply_error(exchange, error, zr_error_last());
		return;
	}
	if (zr_config_moves_keys(zr_config_watch_current(entry->config),
				 config) &&
	    !zr_http_get_query_param(exchange, "move_keys"))
		entry_reply_error(
			exchange, ZR_E_STATE,
			"the set of failure domains that accept idempotency "
			"keys would change, and a repeated request could run "
			"twice; declare a new domain with 'no_keys: true', or "
			"see 'failure domains' in "
			"docs/OPERATIONS.md");
	else
		propose(entry, exchange, config, version, key->id);
	zr_config_free(config);
}

static void get_config(struct zr_entry *entry,
		       struct zr_http_exchange *exchange)
{
	const struct zr_config *config = zr_config_watch_current(entry->config);
	const struct zr_config_key *key;
	size_t length;
	char *text;
	/* Only operators may see the hashes of keys in the configuration. */
	int error = entry_authenticate_operator(&key, entry, exchange);

	if (error < 0) {
		entry_reply_error(exchange, error, zr_error_last());
		return;
	}
	if (!config) {
		entry_reply_error(exchange, ZR_E_NOT_FOUND,
				  "no configuration has been applied yet");
		return;
	}
	if (zr_config_print(&text, &length, config) < 0)
		abort();
	zr_http_reply(exchange, 200, "application/yaml", text, length);
	free(text);
}

void entry_handle_config(struct zr_entry *entry,
			 struct zr_http_exchange *exchange)
{
	const char *method = zr_http_get_method(exchange);

	if (!strcmp(method, "PUT"))
		put_config(entry, exchange);
	else if (!strcmp(method, "GET"))
		get_config(entry, exchange);
	else
		entry_reply_error(exchange, ZR_E_INVALID, "use GET or PUT");
}

/* Status */

/* The schedulers in a reply about the status. */
struct scheduler_list {
	const struct zr_config *config;
	json_t *schedulers;
};

static void add_scheduler(void *ctx,
			  const struct zr_directory_scheduler *scheduler)
{
	const struct scheduler_list *list = ctx;
	bool evacuated =
		list->config &&
		zr_config_is_evacuated(list->config, scheduler->domain);

	json_array_append_new(
		list->schedulers,
		json_pack("{s:s, s:s, s:s, s:b, s:b, s:I, s:I, s:b}", "name",
			  scheduler->name, "domain", scheduler->domain,
			  "address", scheduler->address, "heard",
			  (int)scheduler->responded, "active",
			  (int)scheduler->active, "epoch",
			  (json_int_t)scheduler->epoch, "config_version",
			  (json_int_t)scheduler->config_version, "evacuated",
			  (int)evacuated));
}

static void add_entry(void *ctx, const struct zr_config_peer_info *info)
{
	json_array_append_new(
		ctx, json_pack("{s:s, s:s, s:s, s:I, s:I}", "name", info->name,
			       "domain", info->domain, "address", info->address,
			       "heard_ms", (json_int_t)info->response_age_ms,
			       "version", (json_int_t)info->version));
}

void entry_handle_status(struct zr_entry *entry,
			 struct zr_http_exchange *exchange)
{
	const struct zr_config *config = zr_config_watch_current(entry->config);
	json_t *schedulers = json_array();
	json_t *entries = json_array();
	struct scheduler_list list = {config, schedulers};

	zr_config_watch_each_peer(entry->config, add_entry, entries);
	zr_directory_each(entry->directory, add_scheduler, &list);
	entry_reply_json(
		exchange, 200,
		json_pack("{s:s, s:s, s:I, s:I, s:o, s:o}", "name",
			  entry->settings->name, "domain",
			  entry->settings->failure_domain, "config_version",
			  (json_int_t)(config ? config->version : 0),
			  "config_age_ms",
			  (json_int_t)zr_config_watch_age_ms(entry->config),
			  "schedulers", schedulers, "entries", entries));
}

/* Workers of one failure domain */

static json_t *resources_to_json(const zx_resources *resources)
{
	return json_pack("{s:I, s:I, s:I}", "millicpus",
			 (json_int_t)resources->millicpus, "memory_mb",
			 (json_int_t)resources->memory_mb, "accelerators",
			 (json_int_t)resources->accelerators);
}

static void on_workers(void *ctx, int error, void *data)
{
	static const char *const states[] = {"up", "leaving", "unheard"};
	const zx_workers_result *result = data;
	struct entry_call *call = ctx;
	json_t *workers;
	u_int i;

	if (error < 0 || result->error < 0) {
		entry_call_finish_error(
			call, error < 0 ? error : result->error,
			"the scheduler did not list its workers");
		return;
	}
	workers = json_array();
	for (i = 0; i < result->workers.workers_len; i++) {
		const zx_worker *worker = &result->workers.workers_val[i];

		json_array_append_new(
			workers,
			json_pack("{s:s, s:s, s:s, s:o, s:o, s:i}", "name",
				  worker->name, "rack", worker->rack, "state",
				  worker->state < 3 ? states[worker->state]
						    : "unknown",
				  "capacity",
				  resources_to_json(&worker->capacity),
				  "reserved",
				  resources_to_json(&worker->reserved), "tasks",
				  (int)worker->tasks));
	}
	entry_call_finish_json(call, 200,
			       json_pack("{s:o}", "workers", workers));
}

void entry_handle_workers(struct zr_entry *entry,
			  struct zr_http_exchange *exchange)
{
	const char *domain = zr_http_get_query_param(exchange, "domain");
	zx_list_args args = {.team = ""};
	struct zr_rpc_client *client;

	if (!domain)
		domain = entry->settings->failure_domain;
	client = zr_directory_get_active(entry->directory, domain);
	if (!client) {
		entry_reply_error(exchange, ZR_E_UNREACHABLE,
				  "the failure domain has no active scheduler");
		return;
	}
	zr_rpc_client_call(client, &zr_proc_workers, &args, READ_TIMEOUT_MS,
			   on_workers, entry_call_new(entry, exchange));
}

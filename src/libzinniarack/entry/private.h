#ifndef ZR_ENTRY_PRIVATE_H
#define ZR_ENTRY_PRIVATE_H

#include <stdbool.h>

#include "config/peers.h"
#include "config/watch.h"
#include "entry/directory.h"
#include "net/http_server.h"
#include "net/rpc_server.h"
#include "route/once.h"
#include "route/router.h"
#include "zinniarack/entry.h"
#include "zinniarack/metrics.h"
#include "zinniarack/timer.h"

/**
 * DOC: Internals of the entry daemon
 *
 * entry.c: construction, grant requests and shutdown. api.c: dispatch of HTTP
 * requests and their replies. api_keys.c: authentication. api_jobs.c,
 * api_requests.c, api_domains.c and api_operators.c: the HTTP interface for
 * jobs, short requests, failure domains and operators.
 */

/**
 * struct zr_entry - the entry daemon
 * @loop: event loop
 * @timers: timers of the event loop
 * @clock: clock for leases and timeouts
 * @settings: the host's settings
 * @metrics: registry of metrics
 * @store: connection to the store
 * @host_list: source of the host list
 * @host_list_read_in_flight: whether a read of the host list has no result yet
 * @host_list_requested_at: when the last read started
 * @hosts: the last host list; NULL before the first
 * @host_count: number of @hosts
 * @timer: polls the host list and requests grants
 * @config: the configuration
 * @peers: exchange of the configuration with other hosts
 * @rpc: server for that exchange
 * @directory: schedulers of all failure domains
 * @router: router of short requests
 * @once_backend: storage for idempotency keys of short requests
 * @http: server for callers and operators
 * @request_sequence: number of the last short request, for its id
 * @keys_unconfirmed_total: counter of requests refused because nobody could
 *	confirm that the configuration's keys are still valid
 */
struct zr_entry {
	uv_loop_t *loop;
	struct zr_timers timers;
	const struct zr_clock *clock;
	const struct zr_settings *settings;
	struct zr_metrics *metrics;
	struct zr_store store;
	struct zr_host_list host_list;
	bool host_list_read_in_flight;
	struct timespec host_list_requested_at;
	struct zr_host *hosts;
	size_t host_count;
	uv_timer_t timer;
	struct zr_config_watch *config;
	struct zr_config_peers *peers;
	struct zr_rpc_server *rpc;
	struct zr_directory *directory;
	struct zr_router *router;
	struct zr_once_backend once_backend;
	struct zr_http_server *http;
	struct zr_net_budget *budget;
	uint64_t request_sequence;
	struct zr_metric *keys_unconfirmed_total;
};

/**
 * struct entry_call - an HTTP request that waits for a result
 * @entry: the daemon
 * @exchange: the HTTP exchange; NULL after the caller has disconnected
 * @domain: failure domain that the request is for, if a handler needs it
 */
struct entry_call {
	struct zr_entry *entry;
	struct zr_http_exchange *exchange;
	char domain[ZR_NAME_MAX];
};

/* api.c */

/** Handles an HTTP request; @ctx is the entry daemon. */
void entry_handle(void *ctx, struct zr_http_exchange *exchange);

/** Replies with an error as JSON; the HTTP status depends on @error. */
void entry_reply_error(struct zr_http_exchange *exchange, int error,
		       const char *detail);

/** Replies with a json_t, which is released. */
void entry_reply_json(struct zr_http_exchange *exchange, int status,
		      void *json);

/** Creates a call, which one of the two functions below frees. */
struct entry_call *entry_call_new(struct zr_entry *entry,
				  struct zr_http_exchange *exchange);

/** Replies, unless the caller has disconnected, and frees the call. */
void entry_call_finish_error(struct entry_call *call, int error,
			     const char *detail);
void entry_call_finish_json(struct entry_call *call, int status, void *json);

/**
 * entry_authenticate_team() - find the team whose key a request has
 * @out: name of the team, valid as long as the configuration
 * @entry: the daemon
 * @exchange: the request
 *
 * Return: 0, ZR_E_UNAUTHORIZED, ZR_E_STALE_CONFIG, or ZR_E_FORBIDDEN for an
 * operator's key.
 */
int entry_authenticate_team(const char **out, struct zr_entry *entry,
			    struct zr_http_exchange *exchange);

/**
 * entry_authenticate_reader() - find whose jobs a caller may access
 * @out: name of the team; empty for an operator, who may read and cancel the
 *	jobs of every team
 * @entry: the daemon
 * @exchange: the request
 *
 * Return: 0, ZR_E_UNAUTHORIZED, or ZR_E_STALE_CONFIG.
 */
int entry_authenticate_reader(const char **out, struct zr_entry *entry,
			      struct zr_http_exchange *exchange);

/**
 * entry_authenticate_key() - find the key of a request
 * @out: the key, valid as long as the configuration
 * @entry: the daemon
 * @exchange: the request
 *
 * Unlike the other entry_authenticate functions, this one doesn't check whether
 * the configuration's keys are confirmed to be still valid.
 *
 * Return: 0, ZR_E_UNAUTHORIZED, or ZR_E_STALE_CONFIG.
 */
int entry_authenticate_key(const struct zr_config_key **out,
			   struct zr_entry *entry,
			   struct zr_http_exchange *exchange);

/** entry_is_operator() - whether an authenticated key is an operator's */
bool entry_is_operator(const struct zr_config_key *key,
		       const struct zr_entry *entry);

/**
 * entry_authenticate_operator() - find the operator's key of a request
 * @out: the key, valid as long as the configuration
 * @entry: the daemon
 * @exchange: the request
 *
 * Return: 0, ZR_E_UNAUTHORIZED, ZR_E_STALE_CONFIG, or ZR_E_FORBIDDEN for a
 * team's key.
 */
int entry_authenticate_operator(const struct zr_config_key **out,
				struct zr_entry *entry,
				struct zr_http_exchange *exchange);

/*
 * HTTP handlers. @rest is the part of the path after the common prefix.
 */

/* api_jobs.c */
void entry_handle_jobs(struct zr_entry *entry,
		       struct zr_http_exchange *exchange, const char *rest);

/* api_requests.c */
void entry_handle_requests(struct zr_entry *entry,
			   struct zr_http_exchange *exchange, const char *rest);

/* api_operators.c */
void entry_handle_config(struct zr_entry *entry,
			 struct zr_http_exchange *exchange);
void entry_handle_status(struct zr_entry *entry,
			 struct zr_http_exchange *exchange);
void entry_handle_workers(struct zr_entry *entry,
			  struct zr_http_exchange *exchange);

/* api_domains.c */
void entry_handle_domains(struct zr_entry *entry,
			  struct zr_http_exchange *exchange, const char *rest);

#endif

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
 * DOC: What the files of the entry module share
 *
 * entry.c: the daemon's parts. api.c: dispatch, replies. api_keys.c: whose
 * request it is. api_jobs.c, api_requests.c, api_operators.c: the HTTP
 * interface by subject.
 */

struct zr_entry {
	uv_loop_t *loop;
	struct zr_timers timers;
	const struct zr_clock *clock;
	const struct zr_settings *settings;
	struct zr_metrics *metrics;
	struct zr_store store;
	struct zr_host_list host_list;
	bool host_list_open;
	struct timespec host_list_asked;
	uv_timer_t timer;
	struct zr_config_watch *config;
	struct zr_config_peers *peers;
	struct zr_rpc_server *rpc;
	struct zr_directory *directory;
	struct zr_router *router;
	struct zr_once_backend once;
	struct zr_http_server *http;
	uint64_t request_sequence;
	struct zr_metric *unconfirmed;
};

/**
 * struct entry_call - an HTTP request that waits for others
 * @entry: the daemon
 * @exchange: the exchange, NULL once the caller is gone
 * @domain: failure domain that serves it
 */
struct entry_call {
	struct zr_entry *entry;
	struct zr_http_exchange *exchange;
	char domain[ZR_NAME_MAX];
};

/* api.c */
void entry_handle(void *ctx, struct zr_http_exchange *exchange);
void entry_reply_error(struct zr_http_exchange *exchange, int error,
		       const char *detail);
void entry_reply_json(struct zr_http_exchange *exchange, int status,
		      void *json);
struct entry_call *entry_call_new(struct zr_entry *entry,
				  struct zr_http_exchange *exchange);
void entry_call_end_error(struct entry_call *call, int error,
			  const char *detail);
void entry_call_end_json(struct entry_call *call, int status, void *json);

/**
 * entry_authenticate() - find the team whose key came with a request
 * @out: the team's name, valid as long as the configuration
 * @entry: the daemon
 * @exchange: the request
 *
 * Return: 0, ZR_E_UNAUTHORIZED, ZR_E_STALE_CONFIG, or ZR_E_FORBIDDEN for an
 * operator's key.
 */
int entry_authenticate(const char **out, struct zr_entry *entry,
		       struct zr_http_exchange *exchange);

/**
 * entry_authenticate_reader() - whose jobs a caller may read and cancel
 * @out: the team's name; empty for an operator, who may any team's
 * @entry: the daemon
 * @exchange: the request
 *
 * Return: as entry_authenticate().
 */
int entry_authenticate_reader(const char **out, struct zr_entry *entry,
			      struct zr_http_exchange *exchange);

/**
 * entry_caller() - find the key that came with a request
 * @out: the key, valid as long as the configuration
 * @entry: the daemon
 * @exchange: the request
 *
 * Return: 0, ZR_E_UNAUTHORIZED, or ZR_E_STALE_CONFIG.
 */
int entry_caller(const struct zr_config_key **out, struct zr_entry *entry,
		 struct zr_http_exchange *exchange);

/** entry_is_operator() - whether a key that entry_caller() gave is one */
bool entry_is_operator(const struct zr_config_key *key,
		       const struct zr_entry *entry);

/** entry_operator() - as entry_caller(), ZR_E_FORBIDDEN for a team's key */
int entry_operator(const struct zr_config_key **out, struct zr_entry *entry,
		   struct zr_http_exchange *exchange);

/* api_jobs.c */
void entry_jobs(struct zr_entry *entry, struct zr_http_exchange *exchange,
		const char *rest);

/* api_requests.c */
void entry_requests(struct zr_entry *entry, struct zr_http_exchange *exchange,
		    const char *rest);

/* api_operators.c */
void entry_config(struct zr_entry *entry, struct zr_http_exchange *exchange);
void entry_status(struct zr_entry *entry, struct zr_http_exchange *exchange);
/* api_domains.c */
void entry_domains(struct zr_entry *entry, struct zr_http_exchange *exchange,
		   const char *rest);

void entry_workers(struct zr_entry *entry, struct zr_http_exchange *exchange);

#endif

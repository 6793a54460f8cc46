#ifndef ZR_CELL_FRONTEND_H
#define ZR_CELL_FRONTEND_H

#include "cell/acceptor.h"
#include "cell/admitter.h"
#include "cell/config_poller.h"
#include "cell/peers.h"
#include "net/http_server.h"
#include "zinniarack/frontend.h"

/**
 * DOC: Front end of a host
 *
 * Serves the calls of the cell's callers. Checks the caller's key and the queue
 * against the current configuration, accepts and cancels jobs in the store, and
 * reports job states and queue lengths. It needs no ownership of the cell, so
 * every host serves callers. &struct zr_call_codec parses requests and writes
 * responses.
 */

struct zr_cell_frontend;

/**
 * struct zr_call_codec - protocol adapter between HTTP and calls
 * @parse_call: parse a request
 * @parse_job_id: extract the job id that follows @prefix, the queue's path
 *	prefix, in @path; returns 0, ZR_E_NOT_FOUND without an id, or
 *	ZR_E_INVALID
 * @parse_job_spec: parse the body of a submission; returns 0 or an error, which
 *	zr_error_last() describes
 * @write_reply: write the response
 */
struct zr_call_codec {
	void (*parse_call)(struct zr_call *out,
			   struct zr_http_exchange *exchange);
	int (*parse_job_id)(char out[ZR_NAME_MAX], const char *path,
			    const char *prefix);
	int (*parse_job_spec)(struct zr_cell_job_spec *out, const void *body,
			      size_t length);
	void (*write_reply)(struct zr_http_exchange *exchange,
			    const struct zr_call_result *result);
};

/**
 * struct zr_cell_frontend_options - dependencies and settings of the front end
 * @codec: protocol adapter
 * @config_poller: source of the current configuration
 * @acceptor: writes accepted jobs to the store
 * @store: the store, for reads and cancellations
 * @peers: the hosts of the cell
 * @scheduler: the scheduler of this host, which knows the owner of the cell
 * @clock: monotonic clock
 * @health: health of the connection to the store
 * @key_age_max_ms: maximum age of the last successful read of the configuration
 *	for calls to be served
 * @metrics: registry for the front end's metrics
 * @admitter: decides which jobs are accepted; NULL: all are
 */
struct zr_cell_frontend_options {
	const struct zr_call_codec *codec;
	const struct zr_cell_config_poller *config_poller;
	struct zr_cell_acceptor *acceptor;
	const struct zr_store *store;
	struct zr_cell_peers *peers;
	const struct zr_cell_scheduler *scheduler;
	const struct zr_clock *clock;
	const struct zr_store_health *health;
	unsigned int key_age_max_ms;
	struct zr_metrics *metrics;
	struct zr_cell_admitter *admitter;
};

/**
 * zr_cell_frontend_new() - create a front end
 * @out: the front end, to be freed with zr_cell_frontend_free()
 * @options: copied; what it refers to must outlive the front end
 *
 * Return: 0 or ZR_E_NOMEM.
 */
int zr_cell_frontend_new(struct zr_cell_frontend **out,
			 const struct zr_cell_frontend_options *options);

/** zr_cell_frontend_handle() - serve a request; a &zr_http_handler_fn */
void zr_cell_frontend_handle(void *frontend, struct zr_http_exchange *exchange);

void zr_cell_frontend_free(struct zr_cell_frontend *frontend);

#endif

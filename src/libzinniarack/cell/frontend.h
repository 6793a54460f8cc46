#ifndef ZR_CELL_FRONT_H
#define ZR_CELL_FRONT_H

#include "cell/acceptor.h"
#include "cell/config_poller.h"
#include "cell/peers.h"
#include "net/http_server.h"
#include "zinniarack/frontend.h"

/**
 * DOC: Calls of a cell's callers at one host
 *
 * Checks key and queue against the configuration in force, accepts and cancels
 * jobs, and tells where they stand. The adapter reads requests and writes
 * replies.
 */

struct zr_cell_front;

/** struct zr_call_codec - how callers speak */
struct zr_call_codec {
	void (*read)(struct zr_call *out, struct zr_http_exchange *exchange);
	int (*job_id)(char out[ZR_NAME_MAX], const char *path,
		      const char *prefix);
	int (*job_spec)(struct zr_cell_job_spec *out, const void *body,
			size_t length);
	void (*reply)(struct zr_http_exchange *exchange,
		      const struct zr_call_result *result);
};

/**
 * struct zr_cell_front_options - what the front works with
 * @codec: how callers speak
 * @current: the configuration in force
 * @accept: where jobs are written
 * @store: where they are read
 * @members: the hosts of the cell
 * @scheduler: knows which of them owns it
 * @clock: the clock
 * @health: of the way to the store
 * @key_age_max_ms: a key is not taken on an older confirmation
 * @metrics: where calls are counted
 */
struct zr_cell_front_options {
	const struct zr_call_codec *codec;
	const struct zr_cell_current *current;
	struct zr_cell_accept *accept;
	const struct zr_store *store;
	struct zr_cell_members *members;
	const struct zr_cell_scheduler *scheduler;
	const struct zr_clock *clock;
	const struct zr_store_health *health;
	unsigned int key_age_max_ms;
	struct zr_metrics *metrics;
};

int zr_cell_front_new(struct zr_cell_front **out,
		      const struct zr_cell_front_options *options);

/** zr_cell_front_handle() - serve a call, as a &zr_http_handler_fn */
void zr_cell_front_handle(void *front, struct zr_http_exchange *exchange);

void zr_cell_front_free(struct zr_cell_front *front);

#endif

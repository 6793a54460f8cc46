#include "cell/accept.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "zinniarack/errors.h"
#include "zinniarack/log.h"

/* Each job takes two conditions and a write of the entries of a transaction. */
#define BATCH_JOBS_MAX (ZR_CELL_TXN_ENTRIES_MAX / 3)
#define BATCHES_MAX 3
#define RETRY_MS 40
/* Tries after which a store that refuses is believed to be down. */
#define REFUSALS_MAX 3

struct write {
	struct write *prev;
	struct write *next;
	char in_key[ZR_CELL_KEY_MAX];
	char at_key[ZR_CELL_KEY_MAX];
	struct zr_cell_bytes record;
	struct timespec give_up_at;
	unsigned int refusals;
	bool undecided;
	zr_cell_accept_fn done;
	void *ctx;
};

struct batch {
	struct zr_cell_accept *accept;
	struct write *writes[BATCH_JOBS_MAX];
	size_t count;
};

struct zr_cell_accept {
	const struct zr_clock *clock;
	const struct zr_store *store;
	struct zr_timer *retry;
	bool waiting;
	struct write *pending;
	unsigned int open_writes;
	unsigned int open_batches;
	bool freeing;
	struct zr_metric *accepted;
	struct zr_metric *refused;
	struct zr_metric *undecided;
};

static void flush(struct zr_cell_accept *accept);

static void free_accept(struct zr_cell_accept *accept)
{
	zr_timer_free(accept->retry);
	free(accept);
}

static void settle(struct zr_cell_accept *accept, struct write *write,
		   enum zr_cell_accepted outcome)
{
	accept->open_writes--;
	if (outcome == ZR_CELL_REFUSED)
		accept->refused->value++;
	else if (outcome == ZR_CELL_UNDECIDED)
		accept->undecided->value++;
	else
		accept->accepted->value++;
	write->done(write->ctx, outcome);
	free(write->record.data);
	free(write);
}

/* Whether a write that failed is given up; its answer is final then. */
static bool give_up(struct zr_cell_accept *accept, struct write *write)
{
	bool late = zr_time_cmp(zr_clock_now(accept->clock),
				write->give_up_at) >= 0;

	if (write->undecided)
		return late;
	return late || write->refusals >= REFUSALS_MAX;
}

static void try_again(struct zr_cell_accept *accept, struct write *write)
{
	if (give_up(accept, write)) {
		settle(accept, write,
		       write->undecided ? ZR_CELL_UNDECIDED : ZR_CELL_REFUSED);
		return;
	}
	DL_APPEND(accept->pending, write);
}

static void fail_batch(struct zr_cell_accept *accept, struct batch *batch,
		       int error)
{
	size_t i;

	for (i = 0; i < batch->count; i++) {
		if (error == ZR_E_STORE_DOWN)
			batch->writes[i]->refusals++;
		else
			batch->writes[i]->undecided = true;
		try_again(accept, batch->writes[i]);
	}
	if (accept->pending && !accept->waiting) {
		accept->waiting = true;
		zr_timer_start(accept->retry, RETRY_MS, 0);
	}
}

static bool found(const struct zr_store_reply *reply, const char *key)
{
	size_t i;

	for (i = 0; i < reply->count; i++) {
		if (reply->values[i].data && !strcmp(reply->values[i].key, key))
			return true;
	}
	return false;
}

/* One id that the store holds has stopped its whole transaction. */
static void split_batch(struct zr_cell_accept *accept, struct batch *batch,
			const struct zr_store_reply *reply)
{
	size_t i;

	for (i = 0; i < batch->count; i++) {
		struct write *write = batch->writes[i];

		if (found(reply, write->in_key) || found(reply, write->at_key))
			settle(accept, write, ZR_CELL_ACCEPTED_BEFORE);
		else
			DL_APPEND(accept->pending, write);
	}
}

static void cancel_batch(struct zr_cell_accept *accept, struct batch *batch)
{
	size_t i;

	for (i = 0; i < batch->count; i++)
		settle(accept, batch->writes[i], ZR_CELL_UNDECIDED);
}

static void on_committed(void *ctx, int error,
			 const struct zr_store_reply *reply)
{
	struct batch *batch = ctx;
	struct zr_cell_accept *accept = batch->accept;
	size_t i;

	accept->open_batches--;
	if (accept->freeing)
		cancel_batch(accept, batch);
	else if (error < 0)
		fail_batch(accept, batch, error);
	else if (!reply->succeeded)
		split_batch(accept, batch, reply);
	else
		for (i = 0; i < batch->count; i++)
			settle(accept, batch->writes[i], ZR_CELL_ACCEPTED);
	free(batch);
	if (!accept->freeing)
		flush(accept);
	else if (!accept->open_batches)
		free_accept(accept);
}

static void send_batch(struct zr_cell_accept *accept)
{
	struct batch *batch = calloc(1, sizeof(*batch));
	struct zr_store_compare compares[2 * BATCH_JOBS_MAX];
	struct zr_store_put puts[BATCH_JOBS_MAX];
	struct zr_store_txn txn = {compares, 0, puts, 0};

	if (!batch)
		abort();
	batch->accept = accept;
	while (accept->pending && batch->count < BATCH_JOBS_MAX) {
		struct write *write = accept->pending;

		DL_DELETE(accept->pending, write);
		compares[txn.compare_count++] =
			(struct zr_store_compare){write->in_key, 0};
		compares[txn.compare_count++] =
			(struct zr_store_compare){write->at_key, 0};
		puts[txn.put_count++] =
			(struct zr_store_put){write->in_key, write->record.data,
					      write->record.length, 0};
		batch->writes[batch->count++] = write;
	}
	accept->open_batches++;
	zr_store_commit(accept->store, ZR_STORE_ACCEPT, &txn, on_committed,
			batch);
}

static void flush(struct zr_cell_accept *accept)
{
	while (accept->pending && !accept->waiting &&
	       accept->open_batches < BATCHES_MAX)
		send_batch(accept);
}

static void on_retry(void *ctx)
{
	struct zr_cell_accept *accept = ctx;

	accept->waiting = false;
	flush(accept);
}

void zr_cell_accept_job(struct zr_cell_accept *accept, const char *id,
			struct zr_cell_bytes record, unsigned int wait_ms,
			zr_cell_accept_fn done, void *ctx)
{
	struct write *write = calloc(1, sizeof(*write));

	if (!write)
		abort();
	snprintf(write->in_key, ZR_CELL_KEY_MAX, "%s%s", ZR_CELL_IN_PREFIX, id);
	snprintf(write->at_key, ZR_CELL_KEY_MAX, "%s%s", ZR_CELL_AT_PREFIX, id);
	write->record = record;
	write->give_up_at =
		zr_time_add_ms(zr_clock_now(accept->clock), wait_ms);
	write->done = done;
	write->ctx = ctx;
	accept->open_writes++;
	DL_APPEND(accept->pending, write);
	flush(accept);
}

unsigned int zr_cell_accept_open(const struct zr_cell_accept *accept)
{
	return accept->open_writes;
}

int zr_cell_accept_new(struct zr_cell_accept **out,
		       const struct zr_timers *timers,
		       const struct zr_clock *clock,
		       const struct zr_store *store, struct zr_metrics *metrics)
{
	static const char name[] = "zinniarack_cell_accepts_total";
	static const char help[] = "Jobs written into the store";
	struct zr_cell_accept *accept = calloc(1, sizeof(*accept));

	if (!accept)
		return ZR_E_NOMEM;
	accept->clock = clock;
	accept->store = store;
	accept->retry = zr_timer_new(timers, on_retry, accept);
	accept->accepted =
		zr_metrics_counter(metrics, name, "outcome=\"accepted\"", help);
	accept->refused =
		zr_metrics_counter(metrics, name, "outcome=\"refused\"", help);
	accept->undecided = zr_metrics_counter(metrics, name,
					       "outcome=\"undecided\"", help);
	*out = accept;
	return 0;
}

void zr_cell_accept_free(struct zr_cell_accept *accept)
{
	struct write *write;

	if (!accept)
		return;
	accept->freeing = true;
	while ((write = accept->pending)) {
		DL_DELETE(accept->pending, write);
		settle(accept, write,
		       write->undecided ? ZR_CELL_UNDECIDED : ZR_CELL_REFUSED);
	}
	if (!accept->open_batches)
		free_accept(accept);
}

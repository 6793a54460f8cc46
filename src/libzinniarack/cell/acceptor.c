#include "cell/acceptor.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "zinniarack/errors.h"
#include "zinniarack/log.h"

/* Each job takes two conditions and a write of the entries of a transaction. */
#define BATCH_JOBS_MAX (ZR_CELL_TXN_ENTRIES_MAX / 3)
#define BATCHES_MAX 3
/* Pause after a failure, and between looks at the health of the store. */
#define RETRY_MS 25
/* A write that was never sent waits so long for the way to the store. */
#define UNSENT_MS_MAX 250

struct write {
	struct write *prev;
	struct write *next;
	char in_key[ZR_CELL_KEY_MAX];
	char at_key[ZR_CELL_KEY_MAX];
	struct zr_cell_bytes record;
	struct timespec came_at;
	struct timespec give_up_at;
	struct batch *batch; /* that it is in, NULL while it waits */
	size_t slot;
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
	const struct zr_store_health *health;
	struct zr_timer *retry;
	bool waiting;
	struct write *pending;
	struct write *sent;
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

/* Whether a write is given up; its answer is final then. */
static bool give_up(const struct zr_cell_accept *accept,
		    const struct write *write)
{
	struct timespec now = zr_clock_now(accept->clock);

	if (zr_time_cmp(now, write->give_up_at) >= 0)
		return true;
	return !write->undecided && !write->batch &&
	       zr_store_health_suspect_ms(accept->health) &&
	       zr_time_diff_ms(now, write->came_at) >= UNSENT_MS_MAX;
}

static void leave_batch(struct zr_cell_accept *accept, struct write *write)
{
	DL_DELETE(accept->sent, write);
	write->batch->writes[write->slot] = NULL;
	write->batch = NULL;
}

static void settle_late(struct zr_cell_accept *accept)
{
	struct write *write;
	struct write *next;

	DL_FOREACH_SAFE(accept->pending, write, next)
	{
		if (!give_up(accept, write))
			continue;
		DL_DELETE(accept->pending, write);
		settle(accept, write,
		       write->undecided ? ZR_CELL_UNDECIDED : ZR_CELL_REFUSED);
	}
	DL_FOREACH_SAFE(accept->sent, write, next)
	{
		if (!give_up(accept, write))
			continue;
		leave_batch(accept, write);
		settle(accept, write, ZR_CELL_UNDECIDED);
	}
}

/* Later tries of a write that may have been carried out find its record. */
static void fail_batch(struct zr_cell_accept *accept, struct batch *batch,
		       int error)
{
	size_t i;

	for (i = 0; i < batch->count; i++) {
		struct write *write = batch->writes[i];

		if (!write)
			continue;
		leave_batch(accept, write);
		if (error != ZR_E_STORE_DOWN)
			write->undecided = true;
		DL_APPEND(accept->pending, write);
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

		if (!write)
			continue;
		leave_batch(accept, write);
		if (found(reply, write->in_key) || found(reply, write->at_key))
			settle(accept, write, ZR_CELL_ACCEPTED_BEFORE);
		else
			DL_APPEND(accept->pending, write);
	}
}

static void settle_batch(struct zr_cell_accept *accept, struct batch *batch,
			 enum zr_cell_accepted outcome)
{
	size_t i;

	for (i = 0; i < batch->count; i++) {
		struct write *write = batch->writes[i];

		if (!write)
			continue;
		leave_batch(accept, write);
		settle(accept, write, outcome);
	}
}

static void on_committed(void *ctx, int error,
			 const struct zr_store_reply *reply)
{
	struct batch *batch = ctx;
	struct zr_cell_accept *accept = batch->accept;

	accept->open_batches--;
	if (accept->freeing)
		settle_batch(accept, batch, ZR_CELL_UNDECIDED);
	else if (error < 0)
		fail_batch(accept, batch, error);
	else if (!reply->succeeded)
		split_batch(accept, batch, reply);
	else
		settle_batch(accept, batch, ZR_CELL_ACCEPTED);
	free(batch);
	if (!accept->freeing)
		flush(accept);
	else if (!accept->open_batches)
		free_accept(accept);
}

static struct write *first_undecided(struct zr_cell_accept *accept)
{
	struct write *write;

	DL_FOREACH(accept->pending, write)
	{
		if (write->undecided)
			return write;
	}
	return NULL;
}

/* A suspect way is only for writes that may have been carried out already. */
static struct write *next_write(struct zr_cell_accept *accept)
{
	return zr_store_health_suspect_ms(accept->health)
		       ? first_undecided(accept)
		       : accept->pending;
}

static void send_batch(struct zr_cell_accept *accept)
{
	struct batch *batch = calloc(1, sizeof(*batch));
	struct zr_store_compare compares[2 * BATCH_JOBS_MAX];
	struct zr_store_put puts[BATCH_JOBS_MAX];
	struct zr_store_txn txn = {compares, 0, puts, 0};
	struct write *write;

	if (!batch)
		abort();
	batch->accept = accept;
	while (batch->count < BATCH_JOBS_MAX && (write = next_write(accept))) {
		DL_DELETE(accept->pending, write);
		compares[txn.compare_count++] =
			(struct zr_store_compare){write->in_key, 0};
		compares[txn.compare_count++] =
			(struct zr_store_compare){write->at_key, 0};
		puts[txn.put_count++] =
			(struct zr_store_put){write->in_key, write->record.data,
					      write->record.length, 0};
		DL_APPEND(accept->sent, write);
		write->batch = batch;
		write->slot = batch->count;
		batch->writes[batch->count++] = write;
	}
	accept->open_batches++;
	zr_store_commit(accept->store, ZR_STORE_ACCEPT, &txn, on_committed,
			batch);
}

static void watch_over(struct zr_cell_accept *accept)
{
	if (accept->waiting || !accept->open_writes)
		return;
	accept->waiting = true;
	zr_timer_start(accept->retry, RETRY_MS, 0);
}

static void flush(struct zr_cell_accept *accept)
{
	while (accept->open_batches < BATCHES_MAX && next_write(accept))
		send_batch(accept);
	watch_over(accept);
}

static void on_retry(void *ctx)
{
	struct zr_cell_accept *accept = ctx;

	accept->waiting = false;
	settle_late(accept);
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
	write->came_at = zr_clock_now(accept->clock);
	write->give_up_at = zr_time_add_ms(write->came_at, wait_ms);
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
		       const struct zr_store *store,
		       const struct zr_store_health *health,
		       struct zr_metrics *metrics)
{
	static const char name[] = "zinniarack_cell_accepts_total";
	static const char help[] = "Jobs written into the store";
	struct zr_cell_accept *accept = calloc(1, sizeof(*accept));

	if (!accept)
		return ZR_E_NOMEM;
	accept->clock = clock;
	accept->store = store;
	accept->health = health;
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

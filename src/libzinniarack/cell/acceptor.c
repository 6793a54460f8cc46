#include "cell/acceptor.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "zinniarack/errors.h"
#include "zinniarack/log.h"

/* A job uses three entries of a transaction: two conditions and one write. */
#define BATCH_JOBS_MAX (ZR_CELL_TXN_ENTRIES_MAX / 3)
#define BATCHES_IN_FLIGHT_MAX 3
/* Interval at which pending writes are sent again or given up. */
#define RETRY_INTERVAL_MS 25
/*
 * Maximum age of a write that was never sent, while the connection to the store
 * is suspected to have failed.
 */
#define UNSENT_AGE_MAX_MS 250

struct write {
	struct write *prev;
	struct write *next;
	char job_key[ZR_CELL_KEY_MAX];
	char progress_key[ZR_CELL_KEY_MAX];
	struct zr_cell_buffer record;
	struct timespec received_at;
	struct timespec deadline;
	struct batch *batch; /* transaction in flight, NULL while pending */
	size_t index;	     /* index in the batch */
	bool maybe_applied;  /* sent before, and may have been applied */
	zr_cell_acceptor_fn done;
	void *ctx;
};

/* A transaction in flight. */
struct batch {
	struct zr_cell_acceptor *accept;
	struct write *writes[BATCH_JOBS_MAX];
	size_t count;
};

struct zr_cell_acceptor {
	const struct zr_clock *clock;
	const struct zr_store *store;
	const struct zr_store_health *health;
	struct zr_timer *timer;
	bool timer_armed;
	struct write *pending;
	struct write *sent;
	unsigned int unsettled_writes;
	unsigned int batches_in_flight;
	bool freeing;
	struct zr_metric *accepted;
	struct zr_metric *refused;
	struct zr_metric *undecided;
};

static void flush(struct zr_cell_acceptor *accept);

static void free_accept(struct zr_cell_acceptor *accept)
{
	zr_timer_free(accept->timer);
	free(accept);
}

static void settle(struct zr_cell_acceptor *accept, struct write *write,
		   enum zr_cell_accept_outcome outcome)
{
	accept->unsettled_writes--;
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

/* Whether a write must be given up now. */
static bool must_give_up(const struct zr_cell_acceptor *accept,
			 const struct write *write)
{
	struct timespec now = zr_clock_now(accept->clock);

	if (zr_time_cmp(now, write->deadline) >= 0)
		return true;
	return !write->maybe_applied && !write->batch &&
	       zr_store_health_suspect_ms(accept->health) &&
	       zr_time_diff_ms(now, write->received_at) >= UNSENT_AGE_MAX_MS;
}

static void detach_from_batch(struct zr_cell_acceptor *accept,
			      struct write *write)
{
	DL_DELETE(accept->sent, write);
	write->batch->writes[write->index] = NULL;
	write->batch = NULL;
}

static void settle_overdue(struct zr_cell_acceptor *accept)
{
	struct write *write;
	struct write *next;

	DL_FOREACH_SAFE(accept->pending, write, next)
	{
		if (!must_give_up(accept, write))
			continue;
		DL_DELETE(accept->pending, write);
		settle(accept, write,
		       write->maybe_applied ? ZR_CELL_UNDECIDED
					    : ZR_CELL_REFUSED);
	}
	DL_FOREACH_SAFE(accept->sent, write, next)
	{
		if (!must_give_up(accept, write))
			continue;
		detach_from_batch(accept, write);
		settle(accept, write, ZR_CELL_UNDECIDED);
	}
}

/*
 * Queue the writes again. If one of them has been applied in spite of the
 * error, its retry finds the record in the store.
 */
static void requeue_batch(struct zr_cell_acceptor *accept, struct batch *batch,
			  int error)
{
	size_t i;

	for (i = 0; i < batch->count; i++) {
		struct write *write = batch->writes[i];

		if (!write)
			continue;
		detach_from_batch(accept, write);
		if (error != ZR_E_STORE_DOWN)
			write->maybe_applied = true;
		DL_APPEND(accept->pending, write);
	}
}

static bool has_key(const struct zr_store_reply *reply, const char *key)
{
	size_t i;

	for (i = 0; i < reply->count; i++) {
		if (reply->values[i].data && !strcmp(reply->values[i].key, key))
			return true;
	}
	return false;
}

/*
 * The transaction failed because the store already holds some of its jobs.
 * Settle those and queue the others again.
 */
static void split_batch(struct zr_cell_acceptor *accept, struct batch *batch,
			const struct zr_store_reply *reply)
{
	size_t i;

	for (i = 0; i < batch->count; i++) {
		struct write *write = batch->writes[i];

		if (!write)
			continue;
		detach_from_batch(accept, write);
		if (has_key(reply, write->job_key) ||
		    has_key(reply, write->progress_key))
			settle(accept, write, ZR_CELL_ALREADY_ACCEPTED);
		else
			DL_APPEND(accept->pending, write);
	}
}

static void settle_batch(struct zr_cell_acceptor *accept, struct batch *batch,
			 enum zr_cell_accept_outcome outcome)
{
	size_t i;

	for (i = 0; i < batch->count; i++) {
		struct write *write = batch->writes[i];

		if (!write)
			continue;
		detach_from_batch(accept, write);
		settle(accept, write, outcome);
	}
}

static void on_committed(void *ctx, int error,
			 const struct zr_store_reply *reply)
{
	struct batch *batch = ctx;
	struct zr_cell_acceptor *accept = batch->accept;

	accept->batches_in_flight--;
	if (accept->freeing)
		settle_batch(accept, batch, ZR_CELL_UNDECIDED);
	else if (error < 0)
		requeue_batch(accept, batch, error);
	else if (!reply->succeeded)
		split_batch(accept, batch, reply);
	else
		settle_batch(accept, batch, ZR_CELL_ACCEPTED);
	free(batch);
	if (!accept->freeing)
		flush(accept);
	else if (!accept->batches_in_flight)
		free_accept(accept);
}

static struct write *first_undecided(struct zr_cell_acceptor *accept)
{
	struct write *write;

	DL_FOREACH(accept->pending, write)
	{
		if (write->maybe_applied)
			return write;
	}
	return NULL;
}

/*
 * While the connection to the store is suspected to have failed, send only
 * writes that were sent before; the others can still be refused.
 */
static struct write *next_sendable_write(struct zr_cell_acceptor *accept)
{
	return zr_store_health_suspect_ms(accept->health)
		       ? first_undecided(accept)
		       : accept->pending;
}

static void send_batch(struct zr_cell_acceptor *accept)
{
	struct batch *batch = calloc(1, sizeof(*batch));
	struct zr_store_compare compares[2 * BATCH_JOBS_MAX];
	struct zr_store_put puts[BATCH_JOBS_MAX];
	struct zr_store_txn txn = {compares, 0, puts, 0};
	struct write *write;

	if (!batch)
		abort();
	batch->accept = accept;
	while (batch->count < BATCH_JOBS_MAX &&
	       (write = next_sendable_write(accept))) {
		DL_DELETE(accept->pending, write);
		compares[txn.compare_count++] =
			(struct zr_store_compare){write->job_key, 0};
		compares[txn.compare_count++] =
			(struct zr_store_compare){write->progress_key, 0};
		puts[txn.put_count++] = (struct zr_store_put){
			write->job_key, write->record.data,
			write->record.length, 0};
		DL_APPEND(accept->sent, write);
		write->batch = batch;
		write->index = batch->count;
		batch->writes[batch->count++] = write;
	}
	accept->batches_in_flight++;
	zr_store_commit(accept->store, ZR_STORE_ACCEPT, &txn, on_committed,
			batch);
}

static void arm_timer(struct zr_cell_acceptor *accept)
{
	if (accept->timer_armed || !accept->unsettled_writes)
		return;
	accept->timer_armed = true;
	zr_timer_start(accept->timer, RETRY_INTERVAL_MS, 0);
}

static void flush(struct zr_cell_acceptor *accept)
{
	while (accept->batches_in_flight < BATCHES_IN_FLIGHT_MAX &&
	       next_sendable_write(accept))
		send_batch(accept);
	arm_timer(accept);
}

static void on_timer(void *ctx)
{
	struct zr_cell_acceptor *accept = ctx;

	accept->timer_armed = false;
	settle_overdue(accept);
	flush(accept);
}

void zr_cell_acceptor_write_job(struct zr_cell_acceptor *accept, const char *id,
				struct zr_cell_buffer record,
				unsigned int wait_ms, zr_cell_acceptor_fn done,
				void *ctx)
{
	struct write *write = calloc(1, sizeof(*write));

	if (!write)
		abort();
	snprintf(write->job_key, ZR_CELL_KEY_MAX, "%s%s", ZR_CELL_JOB_PREFIX,
		 id);
	snprintf(write->progress_key, ZR_CELL_KEY_MAX, "%s%s",
		 ZR_CELL_PROGRESS_PREFIX, id);
	write->record = record;
	write->received_at = zr_clock_now(accept->clock);
	write->deadline = zr_time_add_ms(write->received_at, wait_ms);
	write->done = done;
	write->ctx = ctx;
	accept->unsettled_writes++;
	DL_APPEND(accept->pending, write);
	flush(accept);
}

unsigned int zr_cell_acceptor_pending(const struct zr_cell_acceptor *accept)
{
	return accept->unsettled_writes;
}

int zr_cell_acceptor_new(struct zr_cell_acceptor **out,
			 const struct zr_timers *timers,
			 const struct zr_clock *clock,
			 const struct zr_store *store,
			 const struct zr_store_health *health,
			 struct zr_metrics *metrics)
{
	static const char name[] = "zinniarack_cell_accepts_total";
	static const char help[] = "Jobs written into the store";
	struct zr_cell_acceptor *accept = calloc(1, sizeof(*accept));

	if (!accept)
		return ZR_E_NOMEM;
	accept->clock = clock;
	accept->store = store;
	accept->health = health;
	accept->timer = zr_timer_new(timers, on_timer, accept);
	accept->accepted =
		zr_metrics_counter(metrics, name, "outcome=\"accepted\"", help);
	accept->refused =
		zr_metrics_counter(metrics, name, "outcome=\"refused\"", help);
	accept->undecided = zr_metrics_counter(metrics, name,
					       "outcome=\"undecided\"", help);
	*out = accept;
	return 0;
}

void zr_cell_acceptor_free(struct zr_cell_acceptor *accept)
{
	struct write *write;

	if (!accept)
		return;
	accept->freeing = true;
	while ((write = accept->pending)) {
		DL_DELETE(accept->pending, write);
		settle(accept, write,
		       write->maybe_applied ? ZR_CELL_UNDECIDED
					    : ZR_CELL_REFUSED);
	}
	if (!accept->batches_in_flight)
		free_accept(accept);
}

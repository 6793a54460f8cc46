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
/* Interval at which writes are retried or given up, in milliseconds. */
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
	struct zr_cell_acceptor *acceptor;
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
	unsigned int incomplete_writes;
	unsigned int batches_in_flight;
	bool freeing;
	struct zr_metric *accepted;
	struct zr_metric *refused;
	struct zr_metric *undecided;
};

static void flush(struct zr_cell_acceptor *acceptor);

static void free_acceptor(struct zr_cell_acceptor *acceptor)
{
	zr_timer_free(acceptor->timer);
	free(acceptor);
}

static void complete_write(struct zr_cell_acceptor *acceptor,
			   struct write *write,
			   enum zr_cell_accept_outcome outcome)
{
	acceptor->incomplete_writes--;
	if (outcome == ZR_CELL_REFUSED)
		acceptor->refused->value++;
	else if (outcome == ZR_CELL_UNDECIDED)
		acceptor->undecided->value++;
	else
		acceptor->accepted->value++;
	write->done(write->ctx, outcome);
	free(write->record.data);
	free(write);
}

/* Whether a write must be given up now. */
static bool must_give_up(const struct zr_cell_acceptor *acceptor,
			 const struct write *write)
{
	struct timespec now = zr_clock_now(acceptor->clock);

	if (zr_time_cmp(now, write->deadline) >= 0)
		return true;
	return !write->maybe_applied && !write->batch &&
	       zr_store_health_suspect_ms(acceptor->health) &&
	       zr_time_diff_ms(now, write->received_at) >= UNSENT_AGE_MAX_MS;
}

static void detach_from_batch(struct zr_cell_acceptor *acceptor,
			      struct write *write)
{
	DL_DELETE(acceptor->sent, write);
	write->batch->writes[write->index] = NULL;
	write->batch = NULL;
}

static void complete_overdue_writes(struct zr_cell_acceptor *acceptor)
{
	struct write *write;
	struct write *next;

	DL_FOREACH_SAFE(acceptor->pending, write, next)
	{
		if (!must_give_up(acceptor, write))
			continue;
		DL_DELETE(acceptor->pending, write);
		complete_write(acceptor, write,
			       write->maybe_applied ? ZR_CELL_UNDECIDED
						    : ZR_CELL_REFUSED);
	}
	DL_FOREACH_SAFE(acceptor->sent, write, next)
	{
		if (!must_give_up(acceptor, write))
			continue;
		detach_from_batch(acceptor, write);
		complete_write(acceptor, write, ZR_CELL_UNDECIDED);
	}
}

/*
 * Queue the writes again. If one of them has been applied in spite of the
 * error, its retry finds the record in the store. With ZR_E_STORE_DOWN,
 * the transaction certainly had no effect.
 */
static void requeue_batch(struct zr_cell_acceptor *acceptor,
			  struct batch *batch, int error)
{
	size_t i;

	for (i = 0; i < batch->count; i++) {
		struct write *write = batch->writes[i];

		if (!write)
			continue;
		detach_from_batch(acceptor, write);
		if (error != ZR_E_STORE_DOWN)
			write->maybe_applied = true;
		DL_APPEND(acceptor->pending, write);
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
 * Complete those and queue the others again.
 */
static void split_batch(struct zr_cell_acceptor *acceptor, struct batch *batch,
			const struct zr_store_reply *reply)
{
	size_t i;

	for (i = 0; i < batch->count; i++) {
		struct write *write = batch->writes[i];

		if (!write)
			continue;
		detach_from_batch(acceptor, write);
		if (has_key(reply, write->job_key) ||
		    has_key(reply, write->progress_key))
			complete_write(acceptor, write,
				       ZR_CELL_ALREADY_ACCEPTED);
		else
			DL_APPEND(acceptor->pending, write);
	}
}

static void complete_batch(struct zr_cell_acceptor *acceptor,
			   struct batch *batch,
			   enum zr_cell_accept_outcome outcome)
{
	size_t i;

	for (i = 0; i < batch->count; i++) {
		struct write *write = batch->writes[i];

		if (!write)
			continue;
		detach_from_batch(acceptor, write);
		complete_write(acceptor, write, outcome);
	}
}

static void on_committed(void *ctx, int error,
			 const struct zr_store_reply *reply)
{
	struct batch *batch = ctx;
	struct zr_cell_acceptor *acceptor = batch->acceptor;

	acceptor->batches_in_flight--;
	if (acceptor->freeing)
		complete_batch(acceptor, batch, ZR_CELL_UNDECIDED);
	else if (error < 0)
		requeue_batch(acceptor, batch, error);
	else if (!reply->succeeded)
		split_batch(acceptor, batch, reply);
	else
		complete_batch(acceptor, batch, ZR_CELL_ACCEPTED);
	free(batch);
	if (!acceptor->freeing)
		flush(acceptor);
	else if (!acceptor->batches_in_flight)
		free_acceptor(acceptor);
}

static struct write *first_maybe_applied(struct zr_cell_acceptor *acceptor)
{
	struct write *write;

	DL_FOREACH(acceptor->pending, write)
	{
		if (write->maybe_applied)
			return write;
	}
	return NULL;
}

/*
 * While the connection to the store is suspected to have failed, retry only
 * writes that were sent before. A write that was never sent can be refused.
 */
static struct write *next_sendable_write(struct zr_cell_acceptor *acceptor)
{
	return zr_store_health_suspect_ms(acceptor->health)
		       ? first_maybe_applied(acceptor)
		       : acceptor->pending;
}

static void send_batch(struct zr_cell_acceptor *acceptor)
{
	struct batch *batch = calloc(1, sizeof(*batch));
	struct zr_store_compare compares[2 * BATCH_JOBS_MAX];
	struct zr_store_put puts[BATCH_JOBS_MAX];
	struct zr_store_txn txn = {compares, 0, puts, 0};
	struct write *write;

	if (!batch)
		abort();
	batch->acceptor = acceptor;
	while (batch->count < BATCH_JOBS_MAX &&
	       (write = next_sendable_write(acceptor))) {
		DL_DELETE(acceptor->pending, write);
		compares[txn.compare_count++] =
			(struct zr_store_compare){write->job_key, 0};
		compares[txn.compare_count++] =
			(struct zr_store_compare){write->progress_key, 0};
		puts[txn.put_count++] = (struct zr_store_put){
			write->job_key, write->record.data,
			write->record.length, 0};
		DL_APPEND(acceptor->sent, write);
		write->batch = batch;
		write->index = batch->count;
		batch->writes[batch->count++] = write;
	}
	acceptor->batches_in_flight++;
	zr_store_commit(acceptor->store, ZR_STORE_ACCEPT, &txn, on_committed,
			batch);
}

static void arm_timer(struct zr_cell_acceptor *acceptor)
{
	if (acceptor->timer_armed || !acceptor->incomplete_writes)
		return;
	acceptor->timer_armed = true;
	zr_timer_start(acceptor->timer, RETRY_INTERVAL_MS, 0);
}

static void flush(struct zr_cell_acceptor *acceptor)
{
	while (acceptor->batches_in_flight < BATCHES_IN_FLIGHT_MAX &&
	       next_sendable_write(acceptor))
		send_batch(acceptor);
	arm_timer(acceptor);
}

static void on_timer(void *ctx)
{
	struct zr_cell_acceptor *acceptor = ctx;

	acceptor->timer_armed = false;
	complete_overdue_writes(acceptor);
	flush(acceptor);
}

void zr_cell_acceptor_write_job(struct zr_cell_acceptor *acceptor,
				const char *id, struct zr_cell_buffer record,
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
	write->received_at = zr_clock_now(acceptor->clock);
	write->deadline = zr_time_add_ms(write->received_at, wait_ms);
	write->done = done;
	write->ctx = ctx;
	acceptor->incomplete_writes++;
	DL_APPEND(acceptor->pending, write);
	flush(acceptor);
}

unsigned int zr_cell_acceptor_pending(const struct zr_cell_acceptor *acceptor)
{
	return acceptor->incomplete_writes;
}

static bool has_write(const struct write *list, const char *id)
{
	const struct write *write;

	DL_FOREACH(list, write)
	{
		if (!strcmp(write->job_key + strlen(ZR_CELL_JOB_PREFIX), id))
			return true;
	}
	return false;
}

bool zr_cell_acceptor_is_writing(const struct zr_cell_acceptor *acceptor,
				 const char *id)
{
	return has_write(acceptor->pending, id) ||
	       has_write(acceptor->sent, id);
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
	struct zr_cell_acceptor *acceptor = calloc(1, sizeof(*acceptor));

	if (!acceptor)
		return ZR_E_NOMEM;
	acceptor->clock = clock;
	acceptor->store = store;
	acceptor->health = health;
	acceptor->timer = zr_timer_new(timers, on_timer, acceptor);
	acceptor->accepted = zr_metrics_get_or_add_counter(
		metrics, name, "outcome=\"accepted\"", help);
	acceptor->refused = zr_metrics_get_or_add_counter(
		metrics, name, "outcome=\"refused\"", help);
	acceptor->undecided = zr_metrics_get_or_add_counter(
		metrics, name, "outcome=\"undecided\"", help);
	*out = acceptor;
	return 0;
}

void zr_cell_acceptor_free(struct zr_cell_acceptor *acceptor)
{
	struct write *write;

	if (!acceptor)
		return;
	acceptor->freeing = true;
	while ((write = acceptor->pending)) {
		DL_DELETE(acceptor->pending, write);
		complete_write(acceptor, write,
			       write->maybe_applied ? ZR_CELL_UNDECIDED
						    : ZR_CELL_REFUSED);
	}
	if (!acceptor->batches_in_flight)
		free_acceptor(acceptor);
}

#include "cell/admitter.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "cell/counts.h"
#include "cell/plan.h"
#include "zinniarack/errors.h"
#include "zinniarack/log.h"

/*
 * Minimum interval of the reads of the summary: while the cell is full, as
 * often as the owner publishes it, and otherwise, when jobs are submitted.
 */
#define FULL_READ_INTERVAL_MS 200
#define READ_INTERVAL_MS 500
/* Time after the last submission in which the summary is read. */
#define READ_ON_MS 3000
/*
 * Timeout of the check whether a job was accepted before. A rejection has to be
 * decided within 25 ms of the call.
 */
#define CHECK_TIMEOUT_MS 20

struct zr_cell_admitter {
	struct zr_cell_admitter_options options;
	struct zr_timer *timer;
	struct zr_cell_known_load load;
	bool reading;
	int64_t last_read_at;
	int64_t last_submission_at;
	int64_t read_sent_at; /* of the read in flight */
	unsigned int pending_calls;
	bool freeing;
	struct zr_metric *repeated;
	struct zr_metric *unanswered;
	struct zr_metric *age_ms;
};

/* A job that is rejected unless the store has it. */
struct check {
	struct zr_cell_admitter *admitter;
	char id[ZR_NAME_MAX];
	struct zr_admission_verdict verdict;
	uint32_t priority;
	struct zr_timer *timer;
	zr_cell_admitter_fn done; /* NULL once it has been called */
	void *ctx;
};

static int64_t now_ms(const struct zr_cell_admitter *admitter)
{
	return zr_time_to_ms(zr_clock_now(admitter->options.clock));
}

/*
 * Counts a call to the store as answered. Returns false if the admitter has
 * been freed, which ends with the last call.
 */
static bool end_call(struct zr_cell_admitter *admitter)
{
	admitter->pending_calls--;
	if (!admitter->freeing)
		return true;
	if (!admitter->pending_calls)
		free(admitter);
	return false;
}

/* Reads of the summary */

/* Reads again later if more jobs are likely to be submitted. */
static void schedule_read(struct zr_cell_admitter *admitter)
{
	const struct zr_cell_known_load *load = &admitter->load;
	bool urgent = load->written_after == ZR_CELL_AGE_UNKNOWN ||
		      zr_cell_load_is_full(&load->record);

	if (now_ms(admitter) - admitter->last_submission_at < READ_ON_MS)
		zr_timer_start(
			admitter->timer,
			urgent ? FULL_READ_INTERVAL_MS : READ_INTERVAL_MS, 0);
}

static void on_load(void *ctx, int error, const struct zr_store_reply *reply)
{
	struct zr_cell_admitter *admitter = ctx;

	if (!end_call(admitter))
		return;
	admitter->reading = false;
	if (!error)
		zr_cell_known_load_update(&admitter->load,
					  reply->count ? &reply->values[0]
						       : NULL,
					  admitter->read_sent_at);
	schedule_read(admitter);
}

static void read_load(struct zr_cell_admitter *admitter)
{
	if (admitter->reading)
		return;
	admitter->reading = true;
	admitter->pending_calls++;
	admitter->read_sent_at = now_ms(admitter);
	admitter->last_read_at = admitter->read_sent_at;
	zr_store_range(admitter->options.store, ZR_STORE_OTHER,
		       ZR_CELL_COUNTS_KEY, false, on_load, admitter);
}

static void on_timer(void *ctx)
{
	read_load(ctx);
}

static void read_if_due(struct zr_cell_admitter *admitter)
{
	admitter->last_submission_at = now_ms(admitter);
	if (!admitter->last_read_at ||
	    admitter->last_submission_at - admitter->last_read_at >=
		    READ_INTERVAL_MS)
		read_load(admitter);
}

/* The check whether a job was accepted before */

static void count_rejection(struct zr_cell_admitter *admitter,
			    const struct check *check)
{
	char labels[64];

	snprintf(labels, sizeof(labels),
		 "reason=\"%s\",priority=\"%" PRIu32 "\"",
		 check->verdict.reason == ZR_ADMISSION_REJECTED_OVER_SHARE
			 ? "over_share"
			 : "overload",
		 check->priority);
	zr_metrics_get_or_add_counter(admitter->options.metrics,
				      "zinniarack_cell_rejected_total", labels,
				      "Jobs that were rejected because they "
				      "could not end in time")
		->value++;
}

static void finish_check(struct check *check, bool reject)
{
	zr_cell_admitter_fn done = check->done;

	check->done = NULL;
	zr_timer_stop(check->timer);
	if (reject)
		count_rejection(check->admitter, check);
	else
		check->verdict.reason = ZR_ADMISSION_ACCEPTED;
	done(check->ctx, &check->verdict);
}

static void on_check_timeout(void *ctx)
{
	struct check *check = ctx;

	if (check->admitter->freeing)
		return;
	check->admitter->unanswered->value++;
	finish_check(check, false);
}

static void free_check(struct check *check)
{
	zr_timer_free(check->timer);
	free(check);
}

/* Returns whether the check goes on: the store does not have the key. */
static bool is_absent(struct check *check, int error,
		      const struct zr_store_reply *reply)
{
	struct zr_cell_admitter *admitter = check->admitter;

	if (!end_call(admitter)) {
		free_check(check);
		return false;
	}
	if (check->done && !error && !reply->count)
		return true;
	if (check->done) {
		if (error < 0)
			admitter->unanswered->value++;
		else
			admitter->repeated->value++;
		finish_check(check, false);
	}
	free_check(check);
	return false;
}

static void on_progress_checked(void *ctx, int error,
				const struct zr_store_reply *reply)
{
	struct check *check = ctx;

	if (!is_absent(check, error, reply))
		return;
	finish_check(check, true);
	free_check(check);
}

static void check_key(struct check *check, const char *prefix,
		      zr_store_done_fn done)
{
	char key[ZR_CELL_KEY_MAX];

	snprintf(key, sizeof(key), "%s%s", prefix, check->id);
	check->admitter->pending_calls++;
	zr_store_range(check->admitter->options.store, ZR_STORE_OTHER, key,
		       false, done, check);
}

/*
 * The progress is read after the job: a job that has ended by the first read
 * has its progress in the store since.
 */
static void on_job_checked(void *ctx, int error,
			   const struct zr_store_reply *reply)
{
	struct check *check = ctx;

	if (is_absent(check, error, reply))
		check_key(check, ZR_CELL_PROGRESS_PREFIX, on_progress_checked);
}

static void start_check(struct zr_cell_admitter *admitter,
			const struct zr_cell_submission *submission,
			const struct zr_admission_verdict *verdict,
			zr_cell_admitter_fn done, void *ctx)
{
	struct check *check = calloc(1, sizeof(*check));

	if (!check)
		abort();
	check->admitter = admitter;
	snprintf(check->id, sizeof(check->id), "%s", submission->id);
	check->verdict = *verdict;
	check->priority = submission->queue->priority;
	check->done = done;
	check->ctx = ctx;
	check->timer =
		zr_timer_new(admitter->options.timers, on_check_timeout, check);
	zr_timer_start(check->timer, CHECK_TIMEOUT_MS, 0);
	check_key(check, ZR_CELL_JOB_PREFIX, on_job_checked);
}

/* Decisions */

static const zx_cell_pool_load *find_pool(const zx_cell_load *load,
					  const char *name)
{
	u_int i;

	for (i = 0; i < load->pools.pools_len; i++) {
		if (!strcmp(load->pools.pools_val[i].pool, name))
			return &load->pools.pools_val[i];
	}
	return NULL;
}

static const zx_cell_account_load *find_account(const zx_cell_load *load,
						const char *client)
{
	u_int i;

	for (i = 0; i < load->accounts.accounts_len; i++) {
		if (!strcmp(load->accounts.accounts_val[i].client, client))
			return &load->accounts.accounts_val[i];
	}
	return NULL;
}

static void to_class(struct zr_admission_class *out,
		     const zx_cell_class_load *class)
{
	int tier;
	int i;

	out->priority = class->priority;
	out->run_permille = class->run_permille;
	out->tail_permille = class->tail_permille;
	for (i = 0; i < ZR_ADMISSION_SHARES; i++)
		out->arriving_permille[i] = class->arriving_permille[i];
	for (tier = 0; tier < ZR_ADMISSION_TIERS; tier++) {
		for (i = 0; i < ZR_ADMISSION_RESOURCES; i++)
			out->waiting_ms[tier][i] =
				class->waiting_ms
					[tier * ZR_ADMISSION_RESOURCES + i];
	}
}

/* @classes: buffer for the classes of the pool */
static void to_pool(struct zr_admission_pool *out,
		    struct zr_admission_class *classes,
		    const zx_cell_pool_load *pool, int64_t age_ms)
{
	u_int i;

	*out = (struct zr_admission_pool){
		.classes = classes,
		.class_count = pool->classes.classes_len,
		.age_ms = age_ms,
	};
	for (i = 0; i < ZR_ADMISSION_RESOURCES; i++) {
		out->capacity[i] = pool->capacity[i];
		out->used_permille[i] = pool->used_permille[i];
	}
	for (i = 0; i < pool->classes.classes_len; i++)
		to_class(&classes[i], &pool->classes.classes_val[i]);
}

/* @limits: buffer for what waits within the limit of the account */
static void apply_account(struct zr_admission_job *out,
			  struct zr_admission_limit *limits,
			  const zx_cell_account_load *account, int64_t age_ms)
{
	u_int i;

	if (!account)
		return;
	out->over_share = zr_admission_over_share(account->credit,
						  account->weight, age_ms);
	out->limits = limits;
	out->limit_count = account->limits.limits_len;
	for (i = 0; i < account->limits.limits_len; i++) {
		const zx_cell_limit_load *limit =
			&account->limits.limits_val[i];

		limits[i] = (struct zr_admission_limit){
			limit->priority, limit->on_time_ms, limit->behind_ms};
	}
}

static int64_t objective_ms(const struct zr_cell_submission *submission)
{
	const struct zr_cell_job job = {
		.spec = *submission->spec,
		.stretch_permille = submission->queue->stretch_permille,
		.latency_target_ms = submission->queue->latency_target_ms,
	};

	return zr_cell_priority_objective_ms(&job);
}

static void decide(struct zr_admission_verdict *out,
		   const struct zr_cell_admitter *admitter,
		   const struct zr_cell_submission *submission)
{
	const zx_cell_load *load = &admitter->load.record;
	const struct zr_cell_queue *queue = submission->queue;
	const zx_cell_pool_load *pool_load = find_pool(load, queue->pool);
	struct zr_admission_class classes[ZX_CELL_LOAD_CLASSES_MAX];
	struct zr_admission_limit limits[ZX_CELL_LOAD_LIMITS_MAX];
	struct zr_admission_pool pool;
	struct zr_admission_job job = {
		.spec = submission->spec,
		.priority = zr_cell_class_of(queue->priority),
		.objective_ms = objective_ms(submission),
		.advised = queue->advised,
		.hash = XXH64(submission->id, strlen(submission->id), 0),
	};
	int64_t age_ms = zr_cell_known_load_age_ms(
		&admitter->load, submission->term_revision, now_ms(admitter));

	memset(out, 0, sizeof(*out));
	admitter->age_ms->value = age_ms;
	if (age_ms < 0 || !pool_load)
		return;
	to_pool(&pool, classes, pool_load, age_ms);
	apply_account(&job, limits, find_account(load, submission->client),
		      age_ms);
	zr_admission_decide(out, &pool, &job);
}

void zr_cell_admitter_decide(struct zr_cell_admitter *admitter,
			     const struct zr_cell_submission *submission,
			     zr_cell_admitter_fn done, void *ctx)
{
	struct zr_admission_verdict verdict;

	read_if_due(admitter);
	decide(&verdict, admitter, submission);
	if (verdict.reason != ZR_ADMISSION_ACCEPTED &&
	    (zr_store_health_suspect_ms(admitter->options.health) ||
	     zr_cell_acceptor_is_writing(admitter->options.acceptor,
					 submission->id)))
		verdict.reason = ZR_ADMISSION_ACCEPTED;
	if (verdict.reason == ZR_ADMISSION_ACCEPTED)
		done(ctx, &verdict);
	else
		start_check(admitter, submission, &verdict, done, ctx);
}

/* Creation and release */

int zr_cell_admitter_new(struct zr_cell_admitter **out,
			 const struct zr_cell_admitter_options *options)
{
	static const char name[] = "zinniarack_cell_admission_checks_total";
	static const char help[] =
		"Jobs accepted after the check before a rejection";
	struct zr_cell_admitter *admitter = calloc(1, sizeof(*admitter));

	if (!admitter)
		return ZR_E_NOMEM;
	admitter->options = *options;
	admitter->timer = zr_timer_new(options->timers, on_timer, admitter);
	admitter->repeated = zr_metrics_get_or_add_counter(
		options->metrics, name, "outcome=\"repeated\"", help);
	admitter->unanswered = zr_metrics_get_or_add_counter(
		options->metrics, name, "outcome=\"unanswered\"", help);
	admitter->age_ms = zr_metrics_get_or_add_gauge(
		options->metrics, "zinniarack_cell_load_age_ms", NULL,
		"Age of the summary of the load at the last submission; -1: "
		"none is known");
	*out = admitter;
	return 0;
}

void zr_cell_admitter_free(struct zr_cell_admitter *admitter)
{
	if (!admitter)
		return;
	zr_timer_free(admitter->timer);
	zr_cell_known_load_clear(&admitter->load);
	admitter->freeing = true;
	if (!admitter->pending_calls)
		free(admitter);
}

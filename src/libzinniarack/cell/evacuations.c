#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cell/plan.h"
#include "cell/policy/evacuation.h"
#include "zinniarack/errors.h"
#include "zinniarack/log.h"

/**
 * DOC: Requests to evacuate failure domains
 *
 * Operators write a key for each failure domain in which nothing more is to be
 * started. The owner of the cell reads and watches these keys. It starts
 * nothing while it does not know them, nor on the workers of such a domain.
 */

/*
 * Maximum age of the owner's knowledge, and its maximum part of the time after
 * which no task may start in an evacuated domain. The rest is for the commit of
 * a placement, for the request to the worker, and for a pause of this process
 * between a check and a start.
 */
#define KNOWN_MAX_MS 2000
#define KNOWN_MAX_PERCENT 40
/*
 * A watch waits for at most half the age, so that the next one ends before what
 * the last one has confirmed is too old.
 */
#define WATCH_DIVISOR 2
/* Clocks may run at different rates, so part of the wait is not counted. */
#define WATCH_COUNTED_PERCENT 95
/*
 * Part of the age from which the requests are read although a watch is pending:
 * it may hang on a connection that is lost.
 */
#define OVERDUE_PERCENT 65
#define PERCENT 100
/* The history that a watch relies on may be lost without notice. */
#define FULL_READ_INTERVAL_MS 4000
/* Interval of reads without a working watch. */
#define READ_INTERVAL_MS 400
/* Time in which the workers of a domain return after its evacuation. */
#define RETURN_MS 2000
/* Interval at which the runs in evacuated domains are counted. */
#define CHECK_INTERVAL_MS 200

/* A read or a watch in flight. */
struct evacuation_call {
	struct zr_cell_call base;
	int64_t sent_at;
	int64_t wait_ms; /* 0: a read */
};

static bool is_enabled(const struct zr_cell_scheduler *scheduler)
{
	return scheduler->options.limits.evacuation_ms &&
	       scheduler->options.platform->evacuation_decode;
}

static int64_t known_max_ms(const struct zr_cell_scheduler *scheduler)
{
	int64_t max = (int64_t)scheduler->options.limits.evacuation_ms *
		      KNOWN_MAX_PERCENT / PERCENT;

	return max < KNOWN_MAX_MS ? max : KNOWN_MAX_MS;
}

static int64_t age_ms(const struct zr_cell_scheduler *scheduler, int64_t now)
{
	const struct zr_cell_evacuations *evacuations =
		&scheduler->term.evacuations;

	return evacuations->confirmed ? now - evacuations->confirmed_at
				      : INT64_MAX;
}

bool zr_cell_evacuations_known(const struct zr_cell_scheduler *scheduler)
{
	return !is_enabled(scheduler) ||
	       age_ms(scheduler, zr_cell_now_ms(scheduler)) <=
		       known_max_ms(scheduler);
}

bool zr_cell_evacuations_requested(const struct zr_cell_scheduler *scheduler,
				   const struct zr_cell_worker *worker)
{
	const struct zr_cell_evacuation *entry;

	HASH_FIND_STR(scheduler->term.evacuations.by_domain,
		      worker->report.domain, entry);
	return entry && entry->requested;
}

bool zr_cell_evacuations_allow(const struct zr_cell_scheduler *scheduler,
			       const struct zr_cell_worker *worker, int64_t now)
{
	const struct zr_cell_evacuations *evacuations =
		&scheduler->term.evacuations;
	const struct zr_cell_evacuation *entry;

	if (!zr_cell_evacuations_known(scheduler))
		return false;
	if (!evacuations->by_domain)
		return true;
	HASH_FIND_STR(evacuations->by_domain, worker->report.domain, entry);
	if (!entry)
		return true;
	return !entry->requested &&
	       now - entry->withdrawn_at >=
		       zr_evacuation_return_ms(worker->report.name, RETURN_MS);
}

void zr_cell_evacuations_clear(struct zr_cell_scheduler *scheduler)
{
	struct zr_cell_evacuations *evacuations = &scheduler->term.evacuations;
	struct zr_cell_evacuation *entry;
	struct zr_cell_evacuation *next;

	HASH_ITER (hh, evacuations->by_domain, entry, next) {
		HASH_DEL(evacuations->by_domain, entry);
		free(entry);
	}
	scheduler->evacuation_metrics.runs->value = 0;
	scheduler->evacuation_metrics.start_age_ms->value = 0;
}

/* Runs in a domain */

static bool is_in(const struct zr_cell_worker *worker,
		  const struct zr_cell_evacuation *entry)
{
	return !strcmp(worker->report.domain, entry->domain);
}

static bool any_member_sent(const struct zr_cell_job *job,
			    const struct zr_cell_step_state *step)
{
	uint32_t i;

	for (i = step->first_task; i < step->first_task + step->spec->count;
	     i++) {
		if (job->tasks[i].state != ZR_TASK_WAITING &&
		    job->tasks[i].state != ZR_TASK_PLACED)
			return true;
	}
	return false;
}

/*
 * Takes back a placement whose start has not been sent. A gang of which nothing
 * has been sent is placed anew as a whole, so that no member waits for others.
 */
static void take_back(struct zr_cell_scheduler *scheduler,
		      struct zr_cell_job *job, uint32_t task)
{
	const struct zr_cell_step_state *step = zr_cell_task_step(job, task);
	uint32_t first = task;
	uint32_t end = task + 1;
	uint32_t i;

	if (zr_cell_step_is_gang(step) && !any_member_sent(job, step)) {
		first = step->first_task;
		end = first + step->spec->count;
	}
	for (i = first; i < end; i++) {
		if (job->tasks[i].state != ZR_TASK_PLACED)
			continue;
		scheduler->evacuation_metrics.taken_back->value++;
		zr_cell_stop_run(scheduler, job, i, "evacuation");
	}
}

static void take_back_placements(struct zr_cell_scheduler *scheduler,
				 const struct zr_cell_worker *worker)
{
	size_t i = 0;

	while (i < worker->run_count) {
		struct zr_cell_ref ref = worker->runs[i];
		struct zr_cell_job *job =
			zr_cell_job(&scheduler->term.model, ref.job);

		i++;
		if (job->tasks[ref.task].state != ZR_TASK_PLACED)
			continue;
		take_back(scheduler, job, ref.task);
		i = 0;
	}
}

/* What is left in a domain. */
struct domain_load {
	size_t runs;
	size_t starts;	      /* without an answer */
	int64_t start_age_ms; /* of the oldest of these */
};

static void add_run(struct domain_load *load, const struct zr_cell_task *task,
		    int64_t now)
{
	load->runs++;
	if (task->state != ZR_TASK_STARTING)
		return;
	load->starts++;
	if (now - task->sent_at > load->start_age_ms)
		load->start_age_ms = now - task->sent_at;
}

static struct domain_load load_of(const struct zr_cell_scheduler *scheduler,
				  const struct zr_cell_evacuation *entry,
				  int64_t now)
{
	const struct zr_cell_model *model = &scheduler->term.model;
	struct domain_load load = {0};
	struct zr_cell_worker *worker;
	struct zr_cell_worker *next;
	size_t i;

	HASH_ITER (hh, model->worker_by_name, worker, next) {
		for (i = 0; is_in(worker, entry) && i < worker->run_count; i++)
			add_run(&load,
				&zr_cell_job(model, worker->runs[i].job)
					 ->tasks[worker->runs[i].task],
				now);
	}
	return load;
}

/* An owner that still loads its state does not know what runs where. */
static void announce(struct zr_cell_scheduler *scheduler,
		     struct zr_cell_evacuation *entry)
{
	struct zr_cell_worker *worker;
	struct zr_cell_worker *next;
	struct domain_load load;
	int64_t taken_back = scheduler->evacuation_metrics.taken_back->value;

	if (entry->announced || scheduler->phase != ZR_CELL_ACTIVE)
		return;
	entry->announced = true;
	HASH_ITER (hh, scheduler->term.model.worker_by_name, worker, next) {
		if (is_in(worker, entry))
			take_back_placements(scheduler, worker);
	}
	taken_back =
		scheduler->evacuation_metrics.taken_back->value - taken_back;
	load = load_of(scheduler, entry, zr_cell_now_ms(scheduler));
	zr_log_decision("evacuation.begun domain=%s runs=%zu revision=%" PRId64
			" starts_in_flight=%zu taken_back=%" PRId64,
			entry->domain, load.runs, entry->revision, load.starts,
			taken_back);
}

/* Requests */

static void begin(struct zr_cell_scheduler *scheduler,
		  struct zr_cell_evacuation *entry)
{
	entry->requested = true;
	entry->announced = false;
	entry->starts_settled = false;
	entry->drained = false;
	entry->known_at = zr_cell_now_ms(scheduler);
	announce(scheduler, entry);
}

static void withdraw(struct zr_cell_scheduler *scheduler,
		     struct zr_cell_evacuation *entry, int64_t revision)
{
	int64_t now = zr_cell_now_ms(scheduler);

	entry->revision = revision;
	if (!entry->requested)
		return;
	entry->requested = false;
	entry->withdrawn_at = now;
	zr_log_decision("evacuation.ended domain=%s revision=%" PRId64
			" known_ms=%" PRId64 " drained=%d",
			entry->domain, revision, now - entry->known_at,
			entry->drained);
}

static struct zr_cell_evacuation *
add_entry(struct zr_cell_evacuations *evacuations, const char *domain)
{
	struct zr_cell_evacuation *entry = calloc(1, sizeof(*entry));

	if (!entry)
		abort();
	snprintf(entry->domain, sizeof(entry->domain), "%s", domain);
	HASH_ADD_STR(evacuations->by_domain, domain, entry);
	return entry;
}

/*
 * Applies a key unless a later change of it is known: reads and watches may
 * overtake each other. @revision is that of the reply. If a later one is known,
 * a request that is not may have been withdrawn in between.
 */
static void apply_key(struct zr_cell_scheduler *scheduler,
		      const struct zr_store_value *value, bool exists,
		      int64_t revision)
{
	struct zr_cell_evacuations *evacuations = &scheduler->term.evacuations;
	struct zr_cell_evacuation *entry;
	char domain[ZR_NAME_MAX];

	if (scheduler->options.platform->evacuation_decode(domain, value) < 0) {
		zr_log(ZR_LOG_WARN, "evacuation.unreadable key=%s", value->key);
		return;
	}
	HASH_FIND_STR(evacuations->by_domain, domain, entry);
	if (entry ? value->mod_revision < entry->revision
		  : !exists || revision < evacuations->revision)
		return;
	if (!entry)
		entry = add_entry(evacuations, domain);
	entry->in_current_read = true;
	if (!exists) {
		withdraw(scheduler, entry, value->mod_revision);
		return;
	}
	entry->revision = value->mod_revision;
	if (!entry->requested)
		begin(scheduler, entry);
}

/* A request that was made since the read is not in it. */
static void withdraw_missing(struct zr_cell_scheduler *scheduler,
			     int64_t revision)
{
	struct zr_cell_evacuation *entry;
	struct zr_cell_evacuation *next;

	HASH_ITER (hh, scheduler->term.evacuations.by_domain, entry, next) {
		if (!entry->in_current_read && entry->requested &&
		    entry->revision <= revision)
			withdraw(scheduler, entry, revision);
	}
}

/* Reads and watches */

static void confirm(struct zr_cell_scheduler *scheduler, int64_t at)
{
	struct zr_cell_evacuations *evacuations = &scheduler->term.evacuations;
	bool known = zr_cell_evacuations_known(scheduler);

	if (evacuations->confirmed && at <= evacuations->confirmed_at)
		return;
	if (!evacuations->confirmed)
		zr_log(ZR_LOG_INFO, "evacuation.read requests=%u",
		       HASH_COUNT(evacuations->by_domain));
	evacuations->confirmed = true;
	evacuations->confirmed_at = at;
	evacuations->unknown_logged = false;
	if (known || scheduler->phase != ZR_CELL_ACTIVE)
		return;
	zr_cell_starts_send_deferred(scheduler);
	zr_cell_schedule_plan(scheduler);
}

static struct evacuation_call *new_call(struct zr_cell_scheduler *scheduler,
					int64_t wait_ms)
{
	struct evacuation_call *call =
		zr_cell_call_new(scheduler, sizeof(*call));

	call->sent_at = zr_cell_now_ms(scheduler);
	call->wait_ms = wait_ms;
	return call;
}

/* Frees a call. Returns NULL if it is of an earlier term. */
static struct zr_cell_scheduler *finish_call(struct evacuation_call *call)
{
	struct zr_cell_scheduler *scheduler = zr_cell_call_end(&call->base);

	free(call);
	return scheduler && scheduler->phase != ZR_CELL_STANDBY ? scheduler
								: NULL;
}

static void set_revision(struct zr_cell_evacuations *evacuations,
			 int64_t revision)
{
	if (revision > evacuations->revision)
		evacuations->revision = revision;
}

static void on_read(void *ctx, int error, const struct zr_store_reply *reply)
{
	int64_t sent_at = ((struct evacuation_call *)ctx)->sent_at;
	struct zr_cell_scheduler *scheduler = finish_call(ctx);
	struct zr_cell_evacuation *entry;
	struct zr_cell_evacuation *next;
	size_t i;

	if (!scheduler)
		return;
	scheduler->term.evacuations.reading = false;
	if (error < 0) {
		zr_log(ZR_LOG_WARN, "evacuation.read_failed error=%s",
		       zr_error_name(error));
		return;
	}
	HASH_ITER (hh, scheduler->term.evacuations.by_domain, entry, next)
		entry->in_current_read = false;
	for (i = 0; i < reply->count; i++)
		apply_key(scheduler, &reply->values[i], true, reply->revision);
	withdraw_missing(scheduler, reply->revision);
	set_revision(&scheduler->term.evacuations, reply->revision);
	confirm(scheduler, sent_at);
	zr_cell_evacuations_process(scheduler);
}

static void on_watch(void *ctx, int error, const struct zr_store_reply *reply)
{
	struct evacuation_call call = *(struct evacuation_call *)ctx;
	struct zr_cell_scheduler *scheduler = finish_call(ctx);
	int64_t counted_ms = 0;
	bool waited;
	size_t i;

	if (!scheduler)
		return;
	scheduler->term.evacuations.watching = false;
	if (error < 0) {
		/* The next read shows what the watch has missed. */
		scheduler->term.evacuations.revision = 0;
		zr_cell_evacuations_process(scheduler);
		return;
	}
	for (i = 0; i < reply->count; i++)
		apply_key(scheduler, &reply->values[i],
			  reply->values[i].data != NULL, reply->revision);
	waited = zr_cell_now_ms(scheduler) - call.sent_at >= call.wait_ms;
	if (!reply->count && waited)
		counted_ms = call.wait_ms * WATCH_COUNTED_PERCENT / PERCENT;
	set_revision(&scheduler->term.evacuations, reply->revision);
	confirm(scheduler, call.sent_at + counted_ms);
	if (reply->count)
		zr_cell_schedule_plan(scheduler);
	/* One that ends early without a change is followed by the next tick. */
	if (reply->count || waited)
		zr_cell_evacuations_process(scheduler);
}

static void read_requests(struct zr_cell_scheduler *scheduler, int64_t now)
{
	const struct zr_cell_platform *platform = scheduler->options.platform;

	scheduler->term.evacuations.reading = true;
	scheduler->term.evacuations.read_sent_at = now;
	zr_store_range(&platform->store, ZR_STORE_OTHER,
		       platform->evacuation_prefix, true, on_read,
		       new_call(scheduler, 0));
}

static void watch_requests(struct zr_cell_scheduler *scheduler)
{
	const struct zr_cell_platform *platform = scheduler->options.platform;
	int64_t wait_ms = known_max_ms(scheduler) / WATCH_DIVISOR;

	scheduler->term.evacuations.watching = true;
	zr_store_watch(&platform->store, platform->evacuation_prefix,
		       scheduler->term.evacuations.revision,
		       (unsigned int)wait_ms, on_watch,
		       new_call(scheduler, wait_ms));
}

static bool read_is_due(const struct zr_cell_scheduler *scheduler, int64_t now)
{
	const struct zr_cell_evacuations *evacuations =
		&scheduler->term.evacuations;
	bool overdue = age_ms(scheduler, now) >
		       known_max_ms(scheduler) * OVERDUE_PERCENT / PERCENT;
	int64_t interval_ms = evacuations->revision && !overdue
				      ? FULL_READ_INTERVAL_MS
				      : READ_INTERVAL_MS;

	return !evacuations->reading &&
	       (!evacuations->read_sent_at ||
		now - evacuations->read_sent_at >= interval_ms);
}

/* Progress of the evacuations */

static void check_domain(struct zr_cell_scheduler *scheduler,
			 struct zr_cell_evacuation *entry, int64_t now)
{
	struct domain_load load = load_of(scheduler, entry, now);

	scheduler->evacuation_metrics.runs->value += (int64_t)load.runs;
	if (load.start_age_ms >
	    scheduler->evacuation_metrics.start_age_ms->value)
		scheduler->evacuation_metrics.start_age_ms->value =
			load.start_age_ms;
	if (!load.starts && !entry->starts_settled) {
		entry->starts_settled = true;
		zr_log_decision("evacuation.starts_settled domain=%s "
				"took_ms=%" PRId64,
				entry->domain, now - entry->known_at);
	}
	if (!load.runs && !entry->drained) {
		entry->drained = true;
		zr_log_decision("evacuation.drained domain=%s took_ms=%" PRId64,
				entry->domain, now - entry->known_at);
	}
}

/* Logs once that nothing is started until the requests can be read. */
static void check_known(struct zr_cell_scheduler *scheduler, int64_t now)
{
	struct zr_cell_evacuations *evacuations = &scheduler->term.evacuations;

	if (zr_cell_evacuations_known(scheduler) || evacuations->unknown_logged)
		return;
	evacuations->unknown_logged = true;
	zr_log_decision("evacuation.unknown age_ms=%" PRId64,
			evacuations->confirmed ? age_ms(scheduler, now) : -1);
}

/* Logs once that jobs wait because no worker is left for them. */
static void check_none_left(struct zr_cell_scheduler *scheduler, int64_t now)
{
	struct zr_cell_evacuations *evacuations = &scheduler->term.evacuations;
	struct zr_cell_worker *worker;
	struct zr_cell_worker *next;
	size_t registered = 0;

	HASH_ITER (hh, scheduler->term.model.worker_by_name, worker, next) {
		registered += worker->registered;
		if (worker->registered &&
		    zr_cell_evacuations_allow(scheduler, worker, now)) {
			evacuations->none_left_logged = false;
			return;
		}
	}
	if (!registered || evacuations->none_left_logged ||
	    !zr_cell_evacuations_known(scheduler))
		return;
	evacuations->none_left_logged = true;
	zr_log_decision("evacuation.none_left workers=%zu", registered);
}

static void check_domains(struct zr_cell_scheduler *scheduler, int64_t now)
{
	struct zr_cell_evacuations *evacuations = &scheduler->term.evacuations;
	struct zr_cell_evacuation *entry;
	struct zr_cell_evacuation *next;

	evacuations->checked_at = now;
	check_known(scheduler, now);
	scheduler->evacuation_metrics.runs->value = 0;
	scheduler->evacuation_metrics.start_age_ms->value = 0;
	if (!evacuations->by_domain)
		return;
	HASH_ITER (hh, evacuations->by_domain, entry, next) {
		if (!entry->requested)
			continue;
		announce(scheduler, entry);
		check_domain(scheduler, entry, now);
	}
	check_none_left(scheduler, now);
	zr_cell_evacuations_move(scheduler);
}

void zr_cell_evacuations_process(struct zr_cell_scheduler *scheduler)
{
	struct zr_cell_evacuations *evacuations = &scheduler->term.evacuations;
	int64_t now = zr_cell_now_ms(scheduler);

	if (!is_enabled(scheduler) || scheduler->phase == ZR_CELL_STANDBY)
		return;
	if (read_is_due(scheduler, now))
		read_requests(scheduler, now);
	if (evacuations->revision && !evacuations->watching)
		watch_requests(scheduler);
	if (scheduler->phase == ZR_CELL_ACTIVE &&
	    now - evacuations->checked_at >= CHECK_INTERVAL_MS)
		check_domains(scheduler, now);
}

void zr_cell_evacuations_register_metrics(struct zr_cell_scheduler *scheduler,
					  struct zr_metrics *metrics)
{
	scheduler->evacuation_metrics.runs = zr_metrics_get_or_add_gauge(
		metrics, "zinniarack_cell_evacuation_runs", NULL,
		"Runs left in failure domains that are being evacuated");
	scheduler->evacuation_metrics
		.start_age_ms = zr_metrics_get_or_add_gauge(
		metrics, "zinniarack_cell_evacuation_start_age_ms", NULL,
		"Age of the oldest start without an answer in such a domain");
	scheduler->evacuation_metrics.taken_back =
		zr_metrics_get_or_add_counter(
			metrics, "zinniarack_cell_evacuation_taken_back_total",
			NULL,
			"Placements taken back before their start was sent");
	scheduler->evacuation_metrics.stopped = zr_metrics_get_or_add_counter(
		metrics, "zinniarack_cell_evacuation_stopped_total", NULL,
		"Runs stopped so that they resume in another domain");
	scheduler->evacuation_metrics.moved = zr_metrics_get_or_add_counter(
		metrics, "zinniarack_cell_evacuation_moved_total", NULL,
		"Those of them that have been started again");
}

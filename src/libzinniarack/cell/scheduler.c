#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "cell/private.h"
#include "zinniarack/errors.h"
#include "zinniarack/log.h"

#define TICK_MS 50
/*
 * Duration and renewal of the ownership lease. Callers time out after 3 s, so a
 * takeover must take less. A slow store responds within 250 ms.
 */
#define OWNER_LEASE_MS 1200
#define OWNER_RENEW_MS 250
#define OWNER_RENEWALS_MAX 4
/* Poll interval of a standby while its watch on the owner key fails. */
#define OWNER_POLL_MS 400
/*
 * The scheduler of a large cell needs a large host, so smaller hosts delay
 * their campaign by this time, and by as much again for each time that the
 * largest host has twice their size. The watch reports a vacant cell to all
 * hosts within milliseconds; when the store returns, they find it vacant within
 * OWNER_POLL_MS and the timeout of a call.
 */
#define SMALL_HOST_DELAY_MS 350
/*
 * Longest delay: what the lease leaves of the callers' timeout, but for the
 * time of the load.
 */
#define CALLER_TIMEOUT_MS 3000
#define LOAD_RESERVE_MS 600
#define SMALL_HOST_DELAY_MAX_MS \
	(CALLER_TIMEOUT_MS - OWNER_LEASE_MS - LOAD_RESERVE_MS)
/*
 * A host that has just started does not know yet whether others are larger.
 * When all hosts restart together, they learn of each other within this time.
 */
#define SETTLING_DELAY_MS 250
/*
 * The users want the cell to work again this long after the loss of its owner
 * at the latest.
 */
#define RECOVERY_TARGET_MS 12000
/*
 * Time that a new owner has to load the state, before it gives the cell back to
 * a host that can. Expired lease, a failed load, another campaign and a load
 * that succeeds have to fit into the recovery target. Each failed load doubles
 * the time of the next, up to that target, so that a load that takes longer on
 * any host succeeds too.
 */
#define LOAD_TIMEOUT_MS (RECOVERY_TARGET_MS / 4)
#define LOAD_TIMEOUT_DOUBLINGS_MAX 2
/*
 * Delay of the campaigns of a host whose last load failed, in which each other
 * host can take the cell; doubled by each further failed load.
 */
#define LOAD_BACKOFF_MS 1000
#define LOAD_BACKOFF_MAX_MS 4000
/*
 * Maximum time that a release waits for the journal. No tasks are placed
 * meanwhile.
 */
#define RELEASE_TIMEOUT_MS 250
/*
 * Time for which a much larger host has been registered before the cell is
 * handed over to it: the registration of one that has failed expires in this
 * time. Doubled by each hand-over of this host.
 */
#define HAND_OVER_DELAY_MS 3000
#define HAND_OVER_DOUBLINGS_MAX 4
/* Delay of a planning pass after a change, to cover several changes at once. */
#define PLAN_DELAY_MS 1
#define LOAD_LOG_INTERVAL_MS 600

int64_t zr_cell_now_ms(const struct zr_cell_scheduler *scheduler)
{
	return zr_time_to_ms(zr_clock_now(scheduler->options.clock));
}

int64_t zr_cell_wall_ms(const struct zr_cell_scheduler *scheduler)
{
	const struct zr_clock *clock = scheduler->options.clock;

	return zr_time_to_ms(clock->realtime(clock->ctx));
}

bool zr_cell_is_owner(const struct zr_cell_scheduler *scheduler)
{
	return scheduler->phase == ZR_CELL_ACTIVE &&
	       zr_owner_lease_state(scheduler->owner) == ZR_OWNER_LEASE_VALID;
}

void zr_cell_scheduler_set_sizes(struct zr_cell_scheduler *scheduler,
				 uint32_t own, uint32_t largest)
{
	if (scheduler->own_size == own && scheduler->largest_size == largest)
		return;
	scheduler->own_size = own;
	scheduler->largest_size = largest;
	zr_owner_reconsider(scheduler->owner);
}

void zr_cell_scheduler_set_successor(struct zr_cell_scheduler *scheduler,
				     uint32_t largest)
{
	scheduler->successor_size = largest;
}

void zr_cell_scheduler_set_suspect(struct zr_cell_scheduler *scheduler,
				   bool suspect)
{
	if (scheduler->suspect == suspect)
		return;
	scheduler->suspect = suspect;
	zr_owner_reconsider(scheduler->owner);
}

void zr_cell_scheduler_set_settling(struct zr_cell_scheduler *scheduler,
				    bool settling)
{
	scheduler->settling = settling;
}

bool zr_cell_scheduler_active(const struct zr_cell_scheduler *scheduler)
{
	return scheduler->phase == ZR_CELL_ACTIVE;
}

static void on_plan(void *ctx)
{
	zr_cell_plan(ctx);
}

void zr_cell_schedule_plan(struct zr_cell_scheduler *scheduler)
{
	if (scheduler->plan_scheduled || scheduler->phase != ZR_CELL_ACTIVE)
		return;
	scheduler->plan_scheduled = true;
	zr_timer_start(scheduler->plan, PLAN_DELAY_MS, 0);
}

/* Log the load of the cell, which explains why jobs wait. */
static void log_load(const struct zr_cell_scheduler *scheduler, int64_t now)
{
	const struct zr_cell_model *model = &scheduler->term.model;
	uint64_t capacity = 0;
	uint64_t used = 0;
	size_t reserved_workers = 0;
	size_t tasks = 0;
	size_t gangs = 0;
	size_t unfit = 0;
	struct zr_cell_step_state *step;
	struct zr_cell_worker *worker;
	struct zr_cell_worker *next;

	HASH_ITER (hh, model->worker_by_name, worker, next) {
		used += worker->used_millicpus;
		if (worker->registered)
			capacity += worker->report.capacity.millicpus;
		reserved_workers += now < worker->reserved_until;
	}
	DL_FOREACH(model->ready, step)
	{
		tasks += step->waiting;
		gangs += (step->spec->flags & ZR_STEP_GANG) != 0;
		unfit += step->unfit;
	}
	scheduler->unfit_steps->value = (int64_t)unfit;
	zr_log_decision("cell.load used=%" PRIu64 " capacity=%" PRIu64
			" waiting_tasks=%zu waiting_gangs=%zu unfit=%zu "
			"kept=%zu idle_hosts=%zu",
			used, capacity, tasks, gangs, unfit, reserved_workers,
			zr_cell_advice_idle_count(&scheduler->advice, now));
}

/* Ended jobs */

/* Free the tasks of a job whose end is persisted; only its state is needed. */
static void shrink_ended_job(struct zr_cell_scheduler *scheduler,
			     struct zr_cell_job *job)
{
	if (!job->tasks || !zr_cell_job_has_ended(job) || job->active_tasks ||
	    job->persisted_change != job->change)
		return;
	zr_cell_job_free_tasks(&scheduler->term.model, job);
}

static void remove_expired_jobs(struct zr_cell_scheduler *scheduler)
{
	int64_t expired_before = zr_cell_wall_ms(scheduler) -
				 scheduler->options.limits.keep_ended_ms;
	struct zr_cell_job *job;
	struct zr_cell_job *next;

	HASH_ITER (hh, scheduler->term.model.job_by_id, job, next) {
		if (!zr_cell_job_has_ended(job) || job->active_tasks ||
		    job->dirty || job->pending_change ||
		    zr_cell_past_use_has_charges(scheduler, job) ||
		    job->ended_at > expired_before)
			continue;
		zr_cell_journal_remove(scheduler->journal, job->id);
		zr_cell_job_remove(&scheduler->term.model, job);
	}
}

static void on_persisted(void *ctx, struct zr_cell_job *job)
{
	struct zr_cell_scheduler *scheduler = ctx;

	zr_cell_past_use_job_persisted(scheduler, job);
	zr_cell_starts_send_persisted(scheduler, job);
	if (zr_cell_job_has_ended(job) && !job->end_logged &&
	    job->persisted_change == job->change) {
		job->end_logged = true;
		zr_histogram_observe(
			scheduler->visible_ms,
			(double)(zr_cell_now_ms(scheduler) - job->accepted_at));
		zr_log_decision(
			"job.ended job=%s queue=%s state=%d age_ms=%" PRId64,
			job->id, job->queue, job->state,
			zr_cell_now_ms(scheduler) - job->accepted_at);
	}
	zr_cell_state_queries_job_persisted(scheduler, job);
	shrink_ended_job(scheduler, job);
	zr_cell_acks_process(scheduler);
}

static void on_past_use_persisted(void *ctx)
{
	zr_cell_past_use_record_persisted(ctx);
}

/* Ownership */

/*
 * Ends what belongs to the term and begins to count anew. The number changes
 * first, so that the calls that are cancelled with the connections are ignored.
 */
static void clear_term(struct zr_cell_scheduler *scheduler)
{
	struct zr_cell_term *term = &scheduler->term;

	term->number++;
	zr_cell_state_queries_abort(scheduler);
	zr_cell_evacuations_clear(scheduler);
	zr_cell_past_use_end_term(scheduler);
	zr_cell_model_reset(&term->model);
	*term = (struct zr_cell_term){.number = term->number,
				      .model = term->model};
}

static void end_term(struct zr_cell_scheduler *scheduler)
{
	scheduler->phase = ZR_CELL_STANDBY;
	zr_cell_journal_close(scheduler->journal);
	zr_timer_stop(scheduler->rewatch);
	clear_term(scheduler);
	zr_cell_speed_update_metrics(scheduler);
}

static unsigned int min_uint(unsigned int a, unsigned int b)
{
	return a < b ? a : b;
}

/* Failed loads of other hosts count as well: each of them would try in turn. */
static unsigned int load_timeout_ms(const struct zr_cell_scheduler *scheduler,
				    const struct zr_owner_term *term)
{
	unsigned int failed = scheduler->failed_loads > term->unused_terms
				      ? scheduler->failed_loads
				      : term->unused_terms;

	return LOAD_TIMEOUT_MS << min_uint(failed, LOAD_TIMEOUT_DOUBLINGS_MAX);
}

static unsigned int load_backoff_ms(const struct zr_cell_scheduler *scheduler)
{
	if (!scheduler->failed_loads)
		return 0;
	return (unsigned int)zr_cell_retry_delay_ms(
		scheduler->failed_loads, LOAD_BACKOFF_MS, LOAD_BACKOFF_MAX_MS);
}

static void on_gained(void *ctx, const struct zr_owner_term *term)
{
	struct zr_cell_scheduler *scheduler = ctx;

	scheduler->term.number++;
	scheduler->term.fencing_token = term->epoch;
	scheduler->phase = ZR_CELL_LOADING;
	scheduler->takeovers->value++;
	zr_cell_journal_open(scheduler->journal, zr_owner_key(scheduler->owner),
			     term->owner_revision);
	zr_cell_evacuations_process(scheduler);
	zr_cell_load_jobs(scheduler, term, load_timeout_ms(scheduler, term),
			  RECOVERY_TARGET_MS);
}

static void on_lost(void *ctx)
{
	struct zr_cell_scheduler *scheduler = ctx;

	if (scheduler->phase == ZR_CELL_LOADING)
		zr_cell_load_lost(scheduler);
	end_term(scheduler);
}

static unsigned int
small_host_delay_ms(const struct zr_cell_scheduler *scheduler)
{
	unsigned int delay_ms = 0;
	uint64_t size = scheduler->own_size ? scheduler->own_size : 1;

	if (scheduler->suspect)
		delay_ms = SMALL_HOST_DELAY_MS;
	if (size >= scheduler->largest_size)
		return delay_ms;
	for (delay_ms = SMALL_HOST_DELAY_MS;
	     2 * size <= scheduler->largest_size &&
	     delay_ms < SMALL_HOST_DELAY_MAX_MS;
	     size *= 2)
		delay_ms += SMALL_HOST_DELAY_MS;
	return min_uint(delay_ms, SMALL_HOST_DELAY_MAX_MS);
}

static unsigned int campaign_delay_ms(void *ctx)
{
	const struct zr_cell_scheduler *scheduler = ctx;

	return (scheduler->settling ? SETTLING_DELAY_MS : 0) +
	       small_host_delay_ms(scheduler) + load_backoff_ms(scheduler);
}

static void on_ownership_lost(void *ctx)
{
	struct zr_cell_scheduler *scheduler = ctx;

	zr_owner_step_down(scheduler->owner);
}

/* Periodic work */

static void tick_worker(struct zr_cell_scheduler *scheduler,
			struct zr_cell_worker *worker)
{
	zr_cell_bounds_process(scheduler, worker);
	zr_cell_polls_process(scheduler, worker);
	zr_cell_stops_resend(scheduler, worker);
	zr_cell_crash_process(scheduler, worker);
	zr_cell_departure_process(scheduler, worker);
}

/*
 * Release the ownership once the journal is idle or the timeout has expired.
 * The next owner learns from the workers what was not persisted in time.
 */
static void try_release(struct zr_cell_scheduler *scheduler)
{
	if (!zr_cell_journal_idle(scheduler->journal) &&
	    zr_cell_is_owner(scheduler) &&
	    zr_cell_now_ms(scheduler) < scheduler->release_deadline_at)
		return;
	scheduler->releasing = false;
	zr_owner_release(scheduler->owner, scheduler->released,
			 scheduler->released_ctx);
}

/*
 * Whether a much larger host has been registered for some time, so that it is
 * likely to take the cell. If it did not, the next attempt waits longer.
 */
static bool successor_waits(struct zr_cell_scheduler *scheduler, int64_t now)
{
	if (!scheduler->successor_size ||
	    scheduler->successor_size < 2 * scheduler->own_size) {
		scheduler->term.successor_since = 0;
		return false;
	}
	if (!scheduler->term.successor_since)
		scheduler->term.successor_since = now;
	return now - scheduler->term.successor_since >=
	       (int64_t)HAND_OVER_DELAY_MS << min_uint(scheduler->hand_overs,
						       HAND_OVER_DOUBLINGS_MAX);
}

/* An owner hands the cell over to a host that can do more of the work. */
static void process_hand_over(struct zr_cell_scheduler *scheduler, int64_t now)
{
	if (!scheduler->term.hand_over_deadline_at) {
		if (!successor_waits(scheduler, now))
			return;
		zr_log(ZR_LOG_INFO, "cell.handing_over size=%u successor=%u",
		       scheduler->own_size, scheduler->successor_size);
		scheduler->term.hand_over_deadline_at =
			now + RELEASE_TIMEOUT_MS;
	}
	if (!zr_cell_journal_idle(scheduler->journal) &&
	    now < scheduler->term.hand_over_deadline_at)
		return;
	scheduler->hand_overs++;
	zr_owner_hand_over(scheduler->owner);
}

static void on_tick(void *ctx)
{
	struct zr_cell_scheduler *scheduler = ctx;
	int64_t now = zr_cell_now_ms(scheduler);
	struct zr_cell_worker *worker;
	struct zr_cell_worker *next;

	if (scheduler->releasing)
		try_release(scheduler);
	zr_cell_load_process(scheduler);
	zr_cell_evacuations_process(scheduler);
	if (scheduler->phase == ZR_CELL_ACTIVE && !scheduler->releasing)
		process_hand_over(scheduler, now);
	if (scheduler->phase != ZR_CELL_ACTIVE)
		return;
	zr_cell_state_queries_process(scheduler);
	zr_cell_starts_send_deferred(scheduler);
	HASH_ITER (hh, scheduler->term.model.worker_by_name, worker, next)
		tick_worker(scheduler, worker);
	zr_cell_registry_process(scheduler);
	zr_cell_summary_process(scheduler, now);
	if (now - scheduler->load_logged_at >= LOAD_LOG_INTERVAL_MS) {
		scheduler->load_logged_at = now;
		log_load(scheduler, now);
		zr_cell_speed_update_metrics(scheduler);
		remove_expired_jobs(scheduler);
	}
	zr_cell_past_use_process(scheduler, now);
	zr_cell_schedule_plan(scheduler);
	zr_cell_journal_flush(scheduler->journal);
}

/* Creation and release */

static void register_advice_metrics(struct zr_cell_advice *advice,
				    struct zr_metrics *metrics)
{
	advice->queries = zr_metrics_get_or_add_counter(
		metrics, "zinniarack_cell_advice_total", "outcome=\"asked\"",
		"Questions to the adviser");
	advice->failed_queries = zr_metrics_get_or_add_counter(
		metrics, "zinniarack_cell_advice_total", "outcome=\"failed\"",
		"Questions to the adviser");
	advice->answer_ms = zr_metrics_get_or_add_histogram(
		metrics, "zinniarack_cell_advice_ms", NULL,
		"Time until the adviser answered");
}

static void register_move_metrics(struct zr_cell_scheduler *scheduler,
				  struct zr_metrics *metrics)
{
	scheduler->moved[ZR_SPEED_CAUSE_TAIL] = zr_metrics_get_or_add_counter(
		metrics, "zinniarack_cell_runs_moved_total", "cause=\"tail\"",
		"Slow runs that were moved to a faster worker");
	scheduler->moved[ZR_SPEED_CAUSE_WORKER] = zr_metrics_get_or_add_counter(
		metrics, "zinniarack_cell_runs_moved_total", "cause=\"worker\"",
		"Slow runs that were moved to a faster worker");
}

static void register_plan_metrics(struct zr_cell_scheduler *scheduler,
				  struct zr_metrics *metrics)
{
	scheduler->unfit_steps = zr_metrics_get_or_add_gauge(
		metrics, "zinniarack_cell_unfit_steps", NULL,
		"Steps that wait and do not fit on the idle workers");
	scheduler->expired_reservations = zr_metrics_get_or_add_counter(
		metrics, "zinniarack_cell_reservations_expired_total", NULL,
		"Reservations given up since their step could not be placed");
}

static void register_text_metrics(struct zr_cell_scheduler *scheduler,
				  struct zr_metrics *metrics)
{
	scheduler->refused_checkpoints = zr_metrics_get_or_add_counter(
		metrics, "zinniarack_cell_texts_refused_total",
		"kind=\"checkpoint\"",
		"Texts of the platform that were too long");
	scheduler->refused_tickets = zr_metrics_get_or_add_counter(
		metrics, "zinniarack_cell_texts_refused_total",
		"kind=\"ticket\"", "Texts of the platform that were too long");
	scheduler->refused_registrations = zr_metrics_get_or_add_counter(
		metrics, "zinniarack_cell_registrations_refused_total", NULL,
		"Registrations of workers that could not be used");
}

static void register_metrics(struct zr_cell_scheduler *scheduler,
			     struct zr_metrics *metrics)
{
	scheduler->starts = zr_metrics_get_or_add_counter(
		metrics, "zinniarack_cell_starts_total", NULL,
		"Starts sent to workers");
	scheduler->refused = zr_metrics_get_or_add_counter(
		metrics, "zinniarack_cell_starts_undone_total", NULL,
		"Starts of which the worker did nothing");
	scheduler->unanswered = zr_metrics_get_or_add_counter(
		metrics, "zinniarack_cell_orders_unanswered_total", NULL,
		"Orders to workers that were not answered");
	zr_cell_unanswered_register(&scheduler->unanswered_metrics, metrics);
	scheduler->polls = zr_metrics_get_or_add_counter(
		metrics, "zinniarack_cell_looks_total", NULL,
		"Looks at workers");
	scheduler->lost = zr_metrics_get_or_add_counter(
		metrics, "zinniarack_cell_runs_lost_total", NULL,
		"Runs that were lost with their worker or never began");
	scheduler->crashes = zr_metrics_get_or_add_counter(
		metrics, "zinniarack_cell_worker_crashes_total", NULL,
		"Workers that crashed while they had runs or were known");
	scheduler->takeovers = zr_metrics_get_or_add_counter(
		metrics, "zinniarack_cell_take_overs_total", NULL,
		"Times this host took the cell over");
	scheduler->load_timeouts = zr_metrics_get_or_add_counter(
		metrics, "zinniarack_cell_load_given_up_total", NULL,
		"Times this host gave the cell back because the load took too "
		"long");
	scheduler->loaded_bytes = zr_metrics_get_or_add_counter(
		metrics, "zinniarack_cell_load_bytes_total", NULL,
		"Bytes of jobs and their progress read after take-overs");
	scheduler->departure_stops = zr_metrics_get_or_add_counter(
		metrics, "zinniarack_cell_departure_stops_total", NULL,
		"Runs and gangs stopped because a worker leaves");
	scheduler->wait_ms = zr_metrics_get_or_add_histogram(
		metrics, "zinniarack_cell_task_wait_ms", NULL,
		"Time from a task's turn until it was started");
	scheduler->run_ms = zr_metrics_get_or_add_histogram(
		metrics, "zinniarack_cell_task_run_ms", NULL,
		"Run time of tasks that ended as done");
	scheduler->visible_ms = zr_metrics_get_or_add_histogram(
		metrics, "zinniarack_cell_job_ms", NULL,
		"Time from a job's acceptance until its end could be read");
	register_advice_metrics(&scheduler->advice, metrics);
	register_move_metrics(scheduler, metrics);
	register_plan_metrics(scheduler, metrics);
	register_text_metrics(scheduler, metrics);
	zr_cell_evacuations_register_metrics(scheduler, metrics);
	scheduler->past_use_runs = zr_metrics_get_or_add_gauge(
		metrics, "zinniarack_cell_past_use_runs", NULL,
		"Runs charged to the past use of client accounts");
}

int zr_cell_scheduler_new(struct zr_cell_scheduler **out,
			  const struct zr_cell_scheduler_options *options)
{
	static const struct zr_owner_events owner_events = {on_gained, on_lost,
							    campaign_delay_ms};
	static const struct zr_cell_journal_events journal_events = {
		on_persisted, on_ownership_lost, on_past_use_persisted};
	static const struct zr_owner_options owner_options = {
		.version = ZR_OWNER_OPTIONS_VERSION,
		.lease_ms = OWNER_LEASE_MS,
		.renew_ms = OWNER_RENEW_MS,
		.renewals_max = OWNER_RENEWALS_MAX,
		.poll_ms = OWNER_POLL_MS,
		.watch = true,
		.single_instance = true,
	};
	struct zr_cell_scheduler *scheduler = calloc(1, sizeof(*scheduler));
	const struct zr_store *store = &options->platform->store;
	int error;

	if (!scheduler)
		return ZR_E_NOMEM;
	scheduler->options = *options;
	register_metrics(scheduler, options->metrics);
	scheduler->tick = zr_timer_new(options->timers, on_tick, scheduler);
	scheduler->plan = zr_timer_new(options->timers, on_plan, scheduler);
	scheduler->rewatch =
		zr_timer_new(options->timers, zr_cell_resume_watch, scheduler);
	error = zr_cell_model_init(&scheduler->term.model);
	if (!error)
		error = zr_cell_journal_new(
			&scheduler->journal, options->timers, options->clock,
			store, &scheduler->term.model, options->metrics,
			&journal_events, scheduler);
	if (!error)
		error = zr_owner_new(&scheduler->owner, options->timers,
				     options->clock, store, options->cell,
				     options->host, &owner_options,
				     &owner_events, scheduler);
	if (error < 0) {
		zr_cell_scheduler_free(scheduler);
		return error;
	}
	zr_timer_start(scheduler->tick, TICK_MS, TICK_MS);
	*out = scheduler;
	return 0;
}

void zr_cell_refresh_client_limits(struct zr_cell_scheduler *scheduler)
{
	const struct zr_cell_config *config = scheduler->config;
	struct zr_cell_model *model = &scheduler->term.model;
	size_t i;

	for (i = 0; config && i < config->client_count; i++) {
		struct zr_cell_client_state *entry = zr_cell_client(
			model, zr_cell_client_get_or_add(
				       model, config->clients[i].name));

		entry->limit = config->clients[i].limit;
		entry->weight = config->clients[i].weight;
	}
}

void zr_cell_scheduler_configure(struct zr_cell_scheduler *scheduler,
				 const struct zr_cell_config *config)
{
	scheduler->config = config;
	zr_cell_refresh_client_limits(scheduler);
	zr_cell_schedule_plan(scheduler);
}

const char *zr_cell_scheduler_holder(const struct zr_cell_scheduler *scheduler)
{
	return zr_owner_holder(scheduler->owner);
}

int64_t
zr_cell_scheduler_holder_revision(const struct zr_cell_scheduler *scheduler)
{
	return zr_owner_holder_revision(scheduler->owner);
}

void zr_cell_scheduler_set_proxies(struct zr_cell_scheduler *scheduler,
				   const struct zr_cell_adviser_proxy *proxies,
				   size_t count)
{
	zr_cell_advice_set_proxies(&scheduler->advice, proxies, count);
	zr_cell_schedule_plan(scheduler);
}

void zr_cell_scheduler_release(struct zr_cell_scheduler *scheduler,
			       void (*done)(void *ctx), void *ctx)
{
	zr_log(ZR_LOG_INFO, "cell.releasing active=%d",
	       zr_cell_scheduler_active(scheduler));
	scheduler->releasing = true;
	scheduler->release_deadline_at =
		zr_cell_now_ms(scheduler) + RELEASE_TIMEOUT_MS;
	scheduler->released = done;
	scheduler->released_ctx = ctx;
}

static void free_scheduler(struct zr_cell_scheduler *scheduler)
{
	zr_cell_advice_clear(&scheduler->advice);
	zr_cell_model_clear(&scheduler->term.model);
	zr_cell_loading_clear(&scheduler->loading);
	free(scheduler);
}

bool zr_cell_call_done(struct zr_cell_scheduler *scheduler)
{
	scheduler->pending_calls--;
	if (!scheduler->freeing)
		return true;
	if (!scheduler->pending_calls)
		free_scheduler(scheduler);
	return false;
}

void *zr_cell_call_new(struct zr_cell_scheduler *scheduler, size_t size)
{
	struct zr_cell_call *call = calloc(1, size);

	if (!call)
		abort();
	call->scheduler = scheduler;
	call->term = scheduler->term.number;
	scheduler->pending_calls++;
	return call;
}

bool zr_cell_call_is_current(const struct zr_cell_call *call)
{
	return call->term == call->scheduler->term.number;
}

struct zr_cell_scheduler *zr_cell_call_end(const struct zr_cell_call *call)
{
	struct zr_cell_scheduler *scheduler = call->scheduler;

	return zr_cell_call_done(scheduler) && zr_cell_call_is_current(call)
		       ? scheduler
		       : NULL;
}

void zr_cell_scheduler_free(struct zr_cell_scheduler *scheduler)
{
	if (!scheduler)
		return;
	zr_timer_free(scheduler->tick);
	zr_timer_free(scheduler->plan);
	zr_timer_free(scheduler->rewatch);
	zr_owner_free(scheduler->owner);
	zr_cell_journal_free(scheduler->journal);
	scheduler->freeing = true;
	/*
	 * Clearing the term closes the connections to the workers, which ends
	 * their calls. Hold a reference until all have ended.
	 */
	scheduler->pending_calls++;
	if (scheduler->term.model.clients)
		clear_term(scheduler);
	if (!--scheduler->pending_calls)
		free_scheduler(scheduler);
}
